/* Distribution of configuration versions to a node: from the store, from
   peers, and into force as a whole.

   A version that a node learnt from the store (or accepted itself) is held by
   two other members of its data centre, as far as there are that many, before
   the node puts it in force.  So a replaced node that asks every member of
   its data centre cannot miss a version that its predecessor had in force
   unless three hosts were lost together while the store was down.  */
#ifndef CARDAMOM_DIST_H
#define CARDAMOM_DIST_H

#include "cardamom/accept.h"
#include "cardamom/members.h"

#define CS_DIST_RING 256 /* Changes kept in memory for peers.  */

typedef enum
{
  CS_DIST_HOLD,    /* I hold VERSION.  */
  CS_DIST_PULL,    /* Send me what comes after VERSION.  */
  CS_DIST_CHANGES, /* The changes that lead to VERSION.  */
  CS_DIST_FULL,    /* All documents of VERSION.  */
  CS_DIST_STAGED,  /* I hold VERSION since your message.  */
  CS_DIST_BUSY     /* Ask again later; too many joins at once.  */
} cs_dist_type_t;

/* A message between two nodes.  */
typedef struct
{
  cs_dist_type_t type;
  int64_t version;
  uint64_t digest;
  bool ready;         /* The sender has a configuration in force.  */
  bool forward;       /* The receiver passes the change on.  */
  GPtrArray *changes; /* cs_change_t, for CHANGES.  */
  cs_docs_t *docs;    /* For FULL.  */
} cs_dist_message_t;

void cs_dist_message_clear (cs_ctx_t *ctx, cs_dist_message_t *message);

/* Append MESSAGE to PACK as one array, and read it back.  */
void cs_dist_message_pack (cs_pack_t *pack, const cs_dist_message_t *message);
cs_status_t cs_dist_message_take (cs_ctx_t *ctx, cs_cursor_t *cursor,
                                  cs_dist_message_t *message);

/* What the machine asks of its surroundings.  None may call back into it.  */
typedef struct
{
  /* Start reading the head, or with FULL all documents, or else the changes
     after AFTER; the result comes by cs_dist_store_*.  */
  void (*read_head) (void *user);
  void (*read_changes) (void *user, int64_t after);
  void (*read_docs) (void *user);
  void (*send) (void *user, const char *node,
                const cs_dist_message_t *message);
  /* Put SNAPSHOT, now the receiver's, in force.  Versions only grow.  */
  void (*in_force) (void *user, cs_snapshot_t *snapshot);
} cs_dist_ops_t;

typedef struct
{
  cs_usec_t lead_poll;     /* Store poll of a region's leading reader.  */
  cs_usec_t reader_poll;   /* Store poll of the other readers.  */
  unsigned readers;        /* Members of a data centre that poll.  */
  cs_usec_t resend;        /* Of a staged version not yet acknowledged.  */
  cs_usec_t join_patience; /* Wait for silent members when joining.  */
  cs_usec_t join_lonely;   /* Wait for any member of the data centre.  */
  unsigned joins_per_s;    /* Full answers given to joining nodes.  */
} cs_dist_options_t;

extern const cs_dist_options_t cs_dist_defaults;

typedef struct cs_dist cs_dist_t;

/* A machine that holds version 0 and is joining.  MEMBERS is borrowed.  */
cs_dist_t *cs_dist_new (cs_ctx_t *ctx, cs_members_t *members,
                        const cs_dist_options_t *options,
                        const cs_dist_ops_t *ops, void *user);
void cs_dist_drop (cs_ctx_t *ctx, cs_dist_t *dist);

/* Do what is due; call it several times a second.  */
void cs_dist_tick (cs_ctx_t *ctx, cs_dist_t *dist);

/* Results of store reads.  STATUS other than CS_OK makes the rest void.  */
void cs_dist_store_head (cs_ctx_t *ctx, cs_dist_t *dist, cs_status_t status,
                         const cs_head_t *head);
void cs_dist_store_changes (cs_ctx_t *ctx, cs_dist_t *dist, cs_status_t status,
                            const GPtrArray *changes);
/* DOCS is taken over.  */
void cs_dist_store_docs (cs_ctx_t *ctx, cs_dist_t *dist, cs_status_t status,
                         const cs_head_t *head, cs_docs_t *docs);

/* MESSAGE came from member FROM; it stays the caller's.  */
void cs_dist_receive (cs_ctx_t *ctx, cs_dist_t *dist, const char *from,
                      const cs_dist_message_t *message);

/* This node has just accepted CHANGE on an operator's behalf.  */
void cs_dist_accepted (cs_ctx_t *ctx, cs_dist_t *dist,
                       const cs_change_t *change);

/* Whether HEARD of a data centre lately; by default any counts.  Asked to
   find the region's leader.  */
void cs_dist_set_heard (cs_dist_t *dist,
                        bool (*heard) (void *user, const char *dc),
                        void *user);

/* Whether the node has joined: it holds all that it must not fall behind.  */
bool cs_dist_ready (const cs_dist_t *dist);

/* Whether the last store read succeeded.  */
bool cs_dist_store_ok (const cs_dist_t *dist);

/* The version in force, 0 before the first.  */
int64_t cs_dist_version (const cs_dist_t *dist);
uint64_t cs_dist_digest (const cs_dist_t *dist);

#endif
