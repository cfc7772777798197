/* What keeper.c, handover.c and absence.c share.  */
#ifndef CARDAMOM_KEEPER_INTERNAL_H
#define CARDAMOM_KEEPER_INTERNAL_H

#include "once-node.h"

#define RESEND_INTERVAL (500 * CS_MSEC)
#define ALIVE_INTERVAL (30 * CS_SEC)

typedef enum
{
  OP_CLAIM = 1,
  OP_COPY,
  OP_FINISH,
  OP_RELEASE,
  OP_HANDED,    /* All is handed over; the id is the sender's start.  */
  OP_ASK_HANDED /* Please hand over (again).  */
} op_t;

/* A claim that waits for the second keeper.  */
typedef struct
{
  uint64_t id;
  char *asker;
  uint64_t asker_id;
  cs_usec_t started;
} copying_t;

/* A FINISH or RELEASE until it is answered.  */
typedef struct
{
  uint64_t id;
  op_t op;
  cs_idempotency_record_t *record;
  cs_usec_t sent_at;
  int times;
} outgoing_t;

typedef struct
{
  char *name;
  cs_usec_t at;
} death_t;

struct keeper
{
  cs_idempotency_table_t *table;
  uint64_t next_id;
  GHashTable *copying;  /* id -> copying_t.  */
  GHashTable *outgoing; /* id -> outgoing_t.  */
  GHashTable *serving;  /* name -> boot, in service in this DC.  */
  GHashTable *handed;   /* name -> boot, that handed over to this node.  */
  GQueue deaths;        /* death_t *, oldest first.  */
  GPtrArray *losses;    /* cs_replica_loss_t *.  */
  uint64_t generation;
  cs_usec_t alive_at, expired_at, asked_at;
  bool warned; /* That --dcs is incomplete.  */
};

/* Send operation OP about RECORD (may be NULL) to the member TO.  */
void keeper_send_op (control_t *control, const char *to, op_t op, uint64_t id,
                     const cs_idempotency_record_t *record);

/* handover.c */

/* Tables from a member's name to its start.  */
GHashTable *keeper_new_boots (void);
void keeper_set_boot (GHashTable *boots, const char *name, uint64_t boot);
bool keeper_has_boot (GHashTable *boots, const char *name, uint64_t boot);

/* The members of this data centre in service by this node's view.  */
GHashTable *keeper_members_in_service (control_t *control);

/* Whether every other member in service has handed over to this node.  */
bool keeper_all_have_handed (control_t *control);

/* Ask those that have not, as when their word was lost.  */
void keeper_ask_for_handover (control_t *control, cs_usec_t now);

/* Send the member NAME all that it keeps by this node's view.  */
void keeper_hand_over_to (control_t *control, const char *name);

/* Look for changes of the members in service, and do what they ask for.  */
void keeper_follow_members (control_t *control);

/* Whether the record of KEY may be among those that were lost.  */
bool keeper_may_have_lost (control_t *control, const char *key);

/* Tell all members of this data centre of LOSS, under the record KEY.  */
void keeper_publish_loss (control_t *control, const cs_replica_loss_t *loss,
                          const char *key);
void keeper_drop_old_losses (control_t *control);
void keeper_free_death (gpointer death);

/* absence.c */

/* Write that this data centre is in service; runs in the store's thread.  */
void keeper_write_alive (node_t *node, cs_ctx_t *ctx, cs_platform_t *platform,
                         void *arg);

#endif
