/* Distribution of configuration versions to a node of cardamomd: it reads them
   from the store or receives them from peers, and activates each as a whole.

   A version that a node read from the store (or accepted itself) is replicated
   to two other members of its data centre before the node activates it.  Where
   fewer are alive, as failure detection sees it, that many are enough.  So a
   replacement node that asks every member of its data centre cannot miss a
   version that its predecessor had active, unless all hosts that held it,
   three or as many as were alive, were lost together while the store was
   down.  */
#ifndef CARDAMOM_DIST_H
#define CARDAMOM_DIST_H

#include "cardamom/config-store.h"
#include "cardamom/members.h"

#define CS_DIST_CHANGES_KEPT 256 /* Changes kept in memory for peers.  */

typedef enum
{
  CS_DIST_ANNOUNCE, /* The sender holds VERSION.  */
  CS_DIST_PULL,     /* Asks for what comes after VERSION.  */
  CS_DIST_CHANGES,  /* The changes up to VERSION.  */
  CS_DIST_FULL,     /* All documents of VERSION.  */
  CS_DIST_ACK,      /* Acknowledges that the sender holds VERSION.  */
  CS_DIST_BUSY      /* Too many nodes are joining; ask again later.  */
} cs_dist_type_t;

/* A message between two nodes.  */
typedef struct
{
  cs_dist_type_t type;
  int64_t version;
  uint64_t digest;
  bool ready; /* The sender has joined.  */
  /* The receiver forwards the version in its data centre and, when the sender
     is in another region, to the other data centres of its own region.  */
  bool forward;
  GPtrArray *changes; /* cs_change_t, for CHANGES.  */
  cs_docs_t *docs;    /* For FULL.  */
} cs_dist_message_t;

/* Free what MESSAGE owns and reset it.  */
void cs_dist_message_clear (cs_ctx_t *ctx, cs_dist_message_t *message);

/* Append MESSAGE to PACK as one array, and read one back.  Reading a malformed
   message fails and leaves MESSAGE empty; otherwise the caller clears it.  */
void cs_dist_message_pack (cs_pack_t *pack, const cs_dist_message_t *message);
cs_status_t cs_dist_message_unpack (cs_ctx_t *ctx, cs_unpack_cursor_t *cursor,
                                    cs_dist_message_t *message);

/* The callbacks of the state machine.  None may call back into it.  */
typedef struct
{
  /* Start reading from the store the head (newest version number and digest),
     the changes after version AFTER, or all documents.  The result is passed
     to cs_dist_on_store_head, cs_dist_on_store_changes or
     cs_dist_on_store_docs.  */
  void (*read_head) (void *user);
  void (*read_changes) (void *user, int64_t after);
  void (*read_docs) (void *user);
  /* Send MESSAGE, which is borrowed, to the member NODE.  */
  void (*send) (void *user, const char *node,
                const cs_dist_message_t *message);
  /* Activate SNAPSHOT, which the callee owns from now on.  Versions only
     increase.  */
  void (*activate) (void *user, cs_snapshot_t *snapshot);
} cs_dist_ops_t;

typedef struct
{
  /* Poll interval of a region's leading reader.  */
  cs_usec_t leader_poll_interval;
  cs_usec_t reader_poll_interval; /* Poll interval of the other readers.  */
  unsigned readers_per_dc; /* Members of a data centre that poll the store.  */
  cs_usec_t resend_interval; /* Between sends of an unacknowledged version.  */
  cs_usec_t join_timeout;    /* Time a joining node waits for answers.  */
  cs_usec_t join_discovery_wait; /* Time it waits to discover peers in its data
                                    centre.  */
  unsigned full_answers_per_s;   /* Maximum CS_DIST_FULL sent per second.  */
} cs_dist_options_t;

extern const cs_dist_options_t cs_dist_defaults;

typedef struct cs_dist cs_dist_t;

/* The state machine of a joining node that holds version 0.  MEMBERS and OPS
   are borrowed.  */
cs_dist_t *cs_dist_new (cs_ctx_t *ctx, cs_members_t *members,
                        const cs_dist_options_t *options,
                        const cs_dist_ops_t *ops, void *user);
void cs_dist_drop (cs_ctx_t *ctx, cs_dist_t *dist);

/* Do the work that is due; call it several times a second.  */
void cs_dist_tick (cs_ctx_t *ctx, cs_dist_t *dist);

/* Results of store reads.  The other arguments are valid only if STATUS is
   CS_OK.  */
void cs_dist_on_store_head (cs_ctx_t *ctx, cs_dist_t *dist, cs_status_t status,
                            const cs_config_head_t *head);
void cs_dist_on_store_changes (cs_ctx_t *ctx, cs_dist_t *dist,
                               cs_status_t status, const GPtrArray *changes);
/* Takes ownership of DOCS.  */
void cs_dist_on_store_docs (cs_ctx_t *ctx, cs_dist_t *dist, cs_status_t status,
                            const cs_config_head_t *head, cs_docs_t *docs);

/* Handle MESSAGE from the member FROM.  The caller still owns it.  */
void cs_dist_receive (cs_ctx_t *ctx, cs_dist_t *dist, const char *from,
                      const cs_dist_message_t *message);

/* This node has just accepted CHANGE on an operator's behalf.  */
void cs_dist_on_accepted (cs_ctx_t *ctx, cs_dist_t *dist,
                          const cs_change_t *change);

/* Set the function that returns whether a data centre was reachable recently.
   It is used to find the region's leading reader.  Without it this node's data
   centre counts as the leader.  */
void cs_dist_set_dc_reachable (cs_dist_t *dist,
                               bool (*dc_reachable) (void *user,
                                                     const char *dc),
                               void *user);

/* Whether the node has joined: it holds the newest version that it could learn
   of, so that its active version cannot go back.  */
bool cs_dist_ready (const cs_dist_t *dist);

/* Whether the last store read succeeded.  */
bool cs_dist_store_ok (const cs_dist_t *dist);

/* The active version, 0 before the first, and the digest of its documents.  */
int64_t cs_dist_active_version (const cs_dist_t *dist);
uint64_t cs_dist_active_digest (const cs_dist_t *dist);

#endif
