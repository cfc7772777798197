/* The state and functions that dist.c and join.c share.  */
#ifndef CARDAMOM_DIST_INTERNAL_H
#define CARDAMOM_DIST_INTERNAL_H

#include "cardamom/dist.h"

/* Random delay before a joining node may poll the store, so that nodes that
   start together do not all read it.  */
#define DIST_POLL_JITTER_MAX (200 * CS_MSEC)

/* The last answer of a member to this joining node.  */
typedef struct
{
  bool ready;
  int64_t version;
} join_answer_t;

struct cs_dist
{
  cs_members_t *members;
  cs_dist_options_t options;
  const cs_dist_ops_t *ops;
  void *user;
  bool (*dc_reachable) (void *user, const char *dc);
  void *dc_reachable_user;

  cs_docs_t *docs;      /* Documents of HELD_VERSION.  */
  int64_t held_version; /* Newest held, active or staged.  */
  int64_t active_version;
  uint64_t active_digest;
  GQueue recent_changes; /* cs_change_t up to HELD_VERSION, no gaps.  */

  cs_snapshot_t *staged; /* Not yet active; NULL for none.  */
  bool from_dc_peer;     /* STAGED came from this data centre.  */
  GHashTable *acked_by;  /* Names of members that acknowledged STAGED.  */
  cs_usec_t pushed_at;   /* When STAGED was last sent to this data centre.  */
  int64_t refused_version; /* Newest version that this node refused.  */
  cs_usec_t refused_at;

  bool ready; /* The node has joined.  */
  cs_usec_t join_started;
  cs_usec_t pulled_at; /* When members were last asked, with CS_DIST_PULL.  */
  GHashTable *join_answers; /* name -> join_answer_t.  */
  bool store_answered;      /* At least once since the start.  */
  int64_t store_head;       /* Newest version in the store, as last read.  */

  bool store_ok;       /* The last read of the store's head succeeded.  */
  bool reading;        /* A read from the store is under way.  */
  cs_usec_t polled_at; /* When a read of the store's head was last started.  */
  cs_usec_t poll_jitter; /* See DIST_POLL_JITTER_MAX.  */
  /* Answers with all documents asked for in the second that began at
     FULL_ANSWERS_SINCE: those sent as CS_DIST_FULL and, beyond the limit,
     those refused with CS_DIST_BUSY.  */
  cs_usec_t full_answers_since;
  unsigned full_answers;
};

/* The reachable members of this node's data centre without the node itself.
   The caller unrefs the list.  */
GPtrArray *dist_dc_peers (const cs_dist_t *dist);

/* Send NODE a message without changes or documents.  */
void dist_send (cs_dist_t *dist, const char *node, cs_dist_type_t type,
                int64_t version);

/* Start reading the head from the store.  */
void dist_poll_store (cs_ctx_t *ctx, cs_dist_t *dist);

/* Activate the staged version if enough members hold it.  */
void dist_try_activate (cs_ctx_t *ctx, cs_dist_t *dist);

/* Ask the members and the store for the newest version, and finish the join
   when this node holds it.  In join.c.  */
void dist_tick_join (cs_ctx_t *ctx, cs_dist_t *dist);

/* Record the version that FROM reports to hold.  In join.c.  */
void dist_record_answer (cs_dist_t *dist, const char *from,
                         const cs_dist_message_t *message);

#endif
