/* What the parts of the control thread share.  */
#ifndef CARDAMOM_CONTROL_INTERNAL_H
#define CARDAMOM_CONTROL_INTERNAL_H

#include "node.h"
#include "view.h"

typedef struct keeper keeper_t;
typedef struct moves moves_t;

struct control
{
  node_t *node;
  cs_ctx_t *ctx;
  pthread_t thread;
  cs_queue_t mailbox; /* letter_t *.  */
  atomic_bool stopping;
  cs_members_t *members;
  cs_prober_t *prober;
  cs_dist_t *dist;
  keeper_t *keeper;
  moves_t *moves;
  cs_snapshot_t *snapshot; /* In force; NULL before the first.  */
  view_store_t view_store;
  bool view_stale, view_urgent;
  cs_usec_t gossiped_at, expired_at, refilled_at;
  /* gossip.c */
  GPtrArray *hot;     /* Records to pass on in this data centre.  */
  GPtrArray *bridged; /* Records of this data centre for the others.  */
  GHashTable *heard;  /* dc -> cs_usec_t of the last frame.  */
  GPtrArray *seeds;   /* peer_address_t *.  */
  guint next_seed;
  bool from_mate, from_other_dc; /* Whose records are being merged.  */
  cs_usec_t compared_at, compared_far_at, healed_at, bridged_at;
};

/* The view must be rebuilt at the next tick.  */
void control_view_changed (control_t *control);

/* gossip.c: records among the members.  */
void gossip_init (control_t *control);
void gossip_clear (control_t *control);
void gossip_tick (control_t *control);
void gossip_on_record (void *user, const cs_record_t *record);
void gossip_take_digest (control_t *control, const char *from,
                         cs_unpack_cursor_t *in);
void gossip_take_records (control_t *control, const char *from,
                          cs_unpack_cursor_t *in);
void gossip_heard (control_t *control, const char *from);
bool gossip_heard_of_dc (void *user, const char *dc);

/* reader.c: store reads for dist.  */
void reader_read_head (void *user);
void reader_read_changes (void *user, int64_t after);
void reader_read_docs (void *user);

/* moves.c: version moves.  Add the paths of moves taken back to BACKS.  */
void moves_collect_backs (control_t *control, GHashTable *backs);

#endif
