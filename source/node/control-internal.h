/* The state of the control thread, and the functions of the files that run in
   it.  */
#ifndef CARDAMOM_CONTROL_INTERNAL_H
#define CARDAMOM_CONTROL_INTERNAL_H

#include "node.h"
#include "view.h"

typedef struct replica replica_t;
typedef struct moves moves_t;

struct control
{
  node_t *node;
  cs_ctx_t *ctx;
  pthread_t thread;
  cs_queue_t mailbox; /* control_message_t *, of control.c.  */
  atomic_bool stopping;
  cs_members_t *members;
  cs_prober_t *prober;
  cs_dist_t *dist;
  replica_t *replica;
  moves_t *moves;
  cs_snapshot_t *snapshot; /* In force, owned; NULL before the first.  */
  view_cache_t view_cache;
  /* Rebuild the routing view: at the next tick, or after the message that is
     being handled.  */
  bool rebuild_view_at_tick, rebuild_view_now;
  /* When gossip_tick was last called, expired records were last removed, and
     the tokens of the region link were last refilled.  */
  cs_usec_t gossiped_at, records_expired_at, link_refilled_at;

  /* The state of gossip.c.  */

  /* Records to send to other members of this data centre at the next tick.  */
  GPtrArray *unsent_records;
  /* Records of this data centre's nodes to send to other data centres.  */
  GPtrArray *unsent_cross_dc_records;
  /* Name of another data centre -> cs_usec_t of the last frame from it.  */
  GHashTable *dc_last_frame_at;
  GPtrArray *seed_addresses; /* peer_address_t *, of the setting "seeds".  */
  guint next_seed_index;     /* Modulo the number of seeds.  */
  /* Set while records from another node are merged: where it is.  */
  bool merging_from_own_dc, merging_from_other_dc;
  /* Times of the last digest sent within the data centre and to the others,
     the last attempt to heal a partition, and the last send of
     UNSENT_CROSS_DC_RECORDS.  */
  cs_usec_t own_dc_compared_at, other_dcs_compared_at, partition_heal_at,
      cross_dc_sent_at;
};

/* Have the routing view rebuilt at the next tick.  */
void control_rebuild_view_at_tick (control_t *control);

/* gossip.c: exchange of records with the other members.  */

/* Initialise and free the fields of CONTROL that gossip.c uses.  */
void gossip_init (control_t *control);
void gossip_clear (control_t *control);

/* Send the records and digests that are due.  */
void gossip_tick (control_t *control);

/* The cs_record_callback_t of the membership: RECORD is new; USER is the
   control_t.  */
void gossip_on_record (void *user, const cs_record_t *record);

/* Handle a frame FRAME_DIGEST or FRAME_RECORDS of the node FROM; CURSOR is
   behind its type.  */
void gossip_handle_digest (control_t *control, const char *from,
                           cs_unpack_cursor_t *cursor);
void gossip_handle_records (control_t *control, const char *from,
                            cs_unpack_cursor_t *cursor);

/* Record the time of a frame of the node FROM, of any type.  */
void gossip_frame_received (control_t *control, const char *from);

/* Whether a frame has come from the data centre DC recently; USER is the
   control_t.  */
bool gossip_dc_reachable (void *user, const char *dc);

/* The read callbacks of cs_dist_ops_t, with the control_t as USER.  The reads
   run in the platform thread.  */
void config_load_head (void *user);
void config_load_changes (void *user, int64_t after);
void config_load_docs (void *user);

/* Add the paths of the moves that are rolled back to the set PATHS, which owns
   its strings.  */
void moves_collect_rolled_back (control_t *control, GHashTable *paths);

#endif
