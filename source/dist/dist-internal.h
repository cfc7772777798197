/* What dist.c and join.c share.  */
#ifndef CARDAMOM_DIST_INTERNAL_H
#define CARDAMOM_DIST_INTERNAL_H

#include "cardamom/dist.h"

#define DIST_JOIN_JITTER (200 * CS_MSEC)

/* What a member has said since this node began to join.  */
typedef struct
{
  bool ready;
  int64_t version;
} answer_t;

struct cs_dist
{
  cs_members_t *members;
  cs_dist_options_t options;
  const cs_dist_ops_t *ops;
  void *user;
  bool (*heard) (void *user, const char *dc);
  void *heard_user;

  cs_docs_t *docs; /* Newest documents held, in force or staged.  */
  int64_t held;
  int64_t version; /* In force.  */
  uint64_t digest; /* In force.  */
  GQueue ring;     /* cs_change_t up to HELD, without gaps.  */

  cs_snapshot_t *staged; /* Waits for holders; NULL for none.  */
  bool from_mate;        /* STAGED came from the own data centre.  */
  GHashTable *holders;   /* Names that acknowledged STAGED.  */
  cs_usec_t pushed_at;
  int64_t refused; /* Newest version refused.  */
  cs_usec_t refused_at;

  bool ready;
  cs_usec_t started, asked_at;
  GHashTable *answers; /* name -> answer_t.  */
  bool store_answered; /* Since the start.  */
  int64_t store_head;

  bool store_ok, reading;
  cs_usec_t polled_at, poll_jitter;
  cs_usec_t joins_since;
  unsigned joins_answered;
};

/* The live members of the own data centre without this node; the caller
   unrefs the list.  */
GPtrArray *dist_own_mates (const cs_dist_t *dist);

/* Send a message that holds nothing but a version.  */
void dist_send (cs_dist_t *dist, const char *node, cs_dist_type_t type,
                int64_t version);

/* Start reading the head.  */
void dist_poll_store (cs_ctx_t *ctx, cs_dist_t *dist);

/* Put the staged version in force if enough members hold it.  */
void dist_try_force (cs_ctx_t *ctx, cs_dist_t *dist);

/* join.c: ask who is to be asked, and end the join when all is known.  */
void dist_tick_joining (cs_ctx_t *ctx, cs_dist_t *dist);

/* Note what FROM says of the version it holds.  */
void dist_note_answer (cs_dist_t *dist, const char *from,
                       const cs_dist_message_t *message);

#endif
