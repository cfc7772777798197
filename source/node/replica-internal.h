/* Shared by replica.c, handover.c and dc-liveness.c.  */
#ifndef CARDAMOM_REPLICA_INTERNAL_H
#define CARDAMOM_REPLICA_INTERNAL_H

#include "replica.h"

/* Between two sends of a message that is not answered.  */
#define RESEND_INTERVAL (500 * CS_MSEC)
/* Between two writes of the row "cs/dc/DC".  */
#define DC_ROW_INTERVAL (30 * CS_SEC)

/* The operation of a FRAME_IDEMPOTENCY.  */
typedef enum
{
  OP_CLAIM = 1,       /* Claim the key of the record.  */
  OP_COPY,            /* Store a copy of the record.  */
  OP_FINISH,          /* The request of the claim ran or may have run.  */
  OP_RELEASE,         /* The request of the claim has certainly not run.  */
  OP_HANDOVER_DONE,   /* The sender has sent all records that the receiver is a
                         replica of; the id is the sender's boot.  */
  OP_REQUEST_HANDOVER /* Asks for these records and for OP_HANDOVER_DONE.  */
} replica_op_t;

/* An OP_COPY for a claim, until the second replica has answered.  */
typedef struct
{
  uint64_t id;
  char *claimant; /* Node that sent the claim.  */
  uint64_t claimant_call_id;
  cs_usec_t sent_at;
} pending_copy_t;

/* An OP_FINISH or OP_RELEASE of this node, until a replica has answered.  */
typedef struct
{
  uint64_t id;
  replica_op_t op;
  cs_idempotency_record_t *record;
  cs_usec_t sent_at; /* The last time.  */
  int send_count;
} pending_outcome_t;

/* A member that died or restarted without an orderly shutdown, and with it the
   records that it held.  */
typedef struct
{
  char *name;
  cs_usec_t detected_at;
} member_loss_t;

/* The state of this node as a replica, which stores the records of keys, and
   as a claimant, which sends claims and their outcomes.  */
struct replica
{
  cs_idempotency_table_t *table; /* Records that this node is a replica of.  */
  uint64_t last_id;              /* Last id of a pending copy or outcome.  */
  GHashTable *pending_copies;    /* id -> pending_copy_t.  */
  GHashTable *pending_outcomes;  /* id -> pending_outcome_t.  */
  /* The members in service of this data centre, name -> boot.  */
  GHashTable *members_in_service;
  /* The senders of OP_HANDOVER_DONE to this node, name -> boot.  */
  GHashTable *handovers_done;
  GQueue recent_member_losses; /* member_loss_t *, oldest first.  */
  GPtrArray *replica_losses;   /* cs_replica_loss_t *, published ones.  */
  uint64_t members_generation; /* That members_in_service is of.  */
  cs_usec_t dc_row_written_at, expired_at, handover_requested_at;
  bool dcs_warning_logged; /* That --dcs is incomplete.  */
};

/* Send operation OP on RECORD, which may be NULL, to the member TO.  */
void replica_send_message (control_t *control, const char *to, replica_op_t op,
                           uint64_t id, const cs_idempotency_record_t *record);

/* handover.c */

/* A table from the name of a member to its boot (cs_member_t).  The caller
   unrefs it; names are copied.  */
GHashTable *boot_table_new (void);
void boot_table_set (GHashTable *boots, const char *name, uint64_t boot);
bool boot_table_contains (GHashTable *boots, const char *name, uint64_t boot);

/* The members in service of this data centre, as this node sees them, as a
   boot table that the caller unrefs.  */
GHashTable *handover_members_in_service (control_t *control);

/* Whether every other member in service has sent OP_HANDOVER_DONE since its
   start.  */
bool handover_is_complete (control_t *control);

/* Send OP_REQUEST_HANDOVER to the members that have not, every
   RESEND_INTERVAL: their OP_HANDOVER_DONE may have been lost.  */
void handover_request_missing (control_t *control, cs_usec_t now);

/* Send the member NAME all records that it is a replica of, and then
   OP_HANDOVER_DONE.  Does nothing if NAME is not in service by this node's
   view.  */
void handover_send_all (control_t *control, const char *name);

/* If the members in service have changed, detect the losses of records and
   send records to their new replicas.  */
void handover_update_members (control_t *control);

/* Whether the record of KEY may have been lost by all its replicas.  */
bool replica_may_have_lost (control_t *control, const char *key);

/* Publish LOSS to all members as the record KEY, which begins with the name of
   this data centre.  */
void replica_publish_loss (control_t *control, const cs_replica_loss_t *loss,
                           const char *key);
/* Remove the losses whose records would have expired by now.  */
void replica_expire_losses (control_t *control);
/* Free a member_loss_t.  */
void member_loss_free (gpointer data);

/* dc-liveness.c */

/* Write to the row "cs/dc/DC" that this data centre is in service now.  A
   function for the platform thread; ARG is unused.  */
void dc_row_write (node_t *node, cs_ctx_t *ctx, cs_platform_t *platform,
                   void *arg);

#endif
