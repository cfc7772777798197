/* The control thread.  It alone uses the membership, the prober, the
   configuration distribution and the version moves, and alone replaces the
   routing view.  Its only inputs are its mailbox and the clock.  */
#include <string.h>

#include "control-internal.h"
#include "moves.h"
#include "offers.h"
#include "rcu.h"
#include "replica.h"

#define TICK_INTERVAL (20 * CS_MSEC)
/* Between calls of gossip_tick, and between refills of the tokens of the
   region link.  */
#define GOSSIP_INTERVAL (200 * CS_MSEC)
/* Between removals of expired records.  */
#define EXPIRE_INTERVAL (1 * CS_SEC)

static const cs_prober_options_t prober_options = {
  .probe_interval = 500 * CS_MSEC,
  .probe_timeout = 150 * CS_MSEC,
  .suspicion_timeout = 1500 * CS_MSEC,
  .indirect_probes = 3,
};

/* A message in the mailbox: a frame of another node, or a function to run.  */
typedef struct
{
  control_function_t function;
  void *arg;
  GDestroyNotify free_arg;
  char from[NODE_NAME_SIZE]; /* The sender of a frame.  */
  GString *payload;          /* The frame; NULL for a function.  */
} control_message_t;

cs_ctx_t *
control_ctx (control_t *control)
{
  return control->ctx;
}

cs_members_t *
control_members (control_t *control)
{
  return control->members;
}

cs_dist_t *
control_dist (control_t *control)
{
  return control->dist;
}

node_t *
control_node (control_t *control)
{
  return control->node;
}

/* The mailbox.  */

void
control_post_frame (control_t *control, const char *from, cs_str_t payload)
{
  control_message_t *message = g_new0 (control_message_t, 1);
  g_strlcpy (message->from, from, sizeof message->from);
  message->payload = g_string_new_len (payload.data, (gssize)payload.len);
  cs_queue_push (&control->mailbox, message);
}

void
control_post (control_t *control, control_function_t function, void *arg,
              GDestroyNotify free_arg)
{
  control_message_t *message = g_new0 (control_message_t, 1);
  message->function = function;
  message->arg = arg;
  message->free_arg = free_arg;
  cs_queue_push (&control->mailbox, message);
}

/* A function that another thread waits for; on that thread's stack.  */
typedef struct
{
  control_function_t function;
  void *arg;
  pthread_mutex_t lock; /* Protects DONE.  */
  pthread_cond_t done_cond;
  bool done;
} sync_call_t;

static void
run_sync_call (control_t *control, void *arg)
{
  sync_call_t *sync_call = arg;
  sync_call->function (control, sync_call->arg);
  pthread_mutex_lock (&sync_call->lock);
  sync_call->done = true;
  pthread_cond_signal (&sync_call->done_cond);
  pthread_mutex_unlock (&sync_call->lock);
}

void
control_run_sync (control_t *control, control_function_t function, void *arg)
{
  sync_call_t sync_call = { .function = function,
                            .arg = arg,
                            .lock = PTHREAD_MUTEX_INITIALIZER,
                            .done_cond = PTHREAD_COND_INITIALIZER };
  control_post (control, run_sync_call, &sync_call, NULL);
  pthread_mutex_lock (&sync_call.lock);
  while (!sync_call.done)
    pthread_cond_wait (&sync_call.done_cond, &sync_call.lock);
  pthread_mutex_unlock (&sync_call.lock);
  pthread_mutex_destroy (&sync_call.lock);
  pthread_cond_destroy (&sync_call.done_cond);
}

/* Sending.  */

void
control_send (control_t *control, const char *name, cs_str_t payload)
{
  const cs_member_t *member = cs_members_find (control->members, name);
  if (member == cs_members_self (control->members))
    {
      control_post_frame (control, name, payload);
      return;
    }
  cs_counter_add (CS_C_CONTROL_BYTES_OUT, payload.len + FRAME_LENGTH_BYTES);
  if (!member)
    {
      /* A node that is not a member yet can only be answered over the
         connection that it has opened.  */
      peers_reply (control->node->peers, name, payload);
      return;
    }
  peer_address_t address = { .port = member->port };
  g_strlcpy (address.name, member->name, sizeof address.name);
  g_strlcpy (address.host, member->host, sizeof address.host);
  peers_send (control->node->peers, &address, payload, 0);
}

/* The cs_prober_send_t.  The requester is named in the frame and in its
   FRAME_ACK, so that an ack of an indirect probe is passed back to it.  */
static void
send_probe (void *user, const char *via, const char *target, uint64_t seq)
{
  control_t *control = user;
  cs_pack_t pack;
  bool direct = strcmp (via, target) == 0;
  cs_pack_init (&pack);
  cs_pack_array (&pack, direct ? 3 : 4);
  cs_pack_int64 (&pack, direct ? FRAME_PING : FRAME_INDIRECT_PROBE);
  cs_pack_uint64 (&pack, seq);
  cs_pack_text (&pack, control->node->settings.node);
  if (!direct)
    cs_pack_text (&pack, target);
  control_send (control, via, cs_pack_payload (&pack));
  cs_pack_clear (&pack);
}

static void
send_dist (void *user, const char *node, const cs_dist_message_t *message)
{
  cs_pack_t pack;
  cs_pack_init (&pack);
  cs_pack_array (&pack, 2);
  cs_pack_int64 (&pack, FRAME_DIST);
  cs_dist_message_pack (&pack, message);
  control_send (user, node, cs_pack_payload (&pack));
  cs_pack_clear (&pack);
}

/* The routing view.  */

/* Replace the routing view, and free the old one once no thread reads it.  */
static void
rebuild_view (control_t *control)
{
  GHashTable *rolled_back_moves
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  moves_collect_rolled_back (control, rolled_back_moves);
  view_t *new_view
      = view_new (&control->view_cache, control->members, control->snapshot,
                  rolled_back_moves, cs_dist_ready (control->dist));
  new_view->crash_counts
      = cs_crashes_by_fingerprint (cs_members_records (control->members));
  view_t *old_view = RCU_EXCHANGE (control->node->view, new_view);
  control->rebuild_view_at_tick = control->rebuild_view_now = false;
  RCU_SYNCHRONIZE ();
  view_free (old_view);
}

static void
activate_snapshot (void *user, cs_snapshot_t *snapshot)
{
  control_t *control = user;
  cs_snapshot_t *old_snapshot = control->snapshot;
  control->snapshot = snapshot;
  moves_on_snapshot (control);
  rebuild_view (control);
  if (old_snapshot)
    cs_snapshot_drop (control->ctx, old_snapshot);
  cs_log (CS_LOG_INFO, "config-in-force", "version=%lld digest=%016llx",
          (long long)snapshot->version, (unsigned long long)snapshot->digest);
}

void
control_rebuild_view_at_tick (control_t *control)
{
  control->rebuild_view_at_tick = true;
}

/* Frames.  */

/* Ping the target of an indirect probe on behalf of the requester.  */
static void
handle_indirect_probe (control_t *control, cs_unpack_cursor_t *cursor)
{
  uint64_t seq = cs_unpack_uint64 (cursor);
  char *requester = cs_unpack_text (cursor), *target = cs_unpack_text (cursor);
  cs_pack_t pack;
  cs_pack_init (&pack);
  cs_pack_array (&pack, 3);
  cs_pack_int64 (&pack, FRAME_PING);
  cs_pack_uint64 (&pack, seq);
  cs_pack_text (&pack, requester);
  if (!cursor->failed)
    control_send (control, target, cs_pack_payload (&pack));
  cs_pack_clear (&pack);
  g_free (requester);
  g_free (target);
}

/* Answer a ping that control_send has posted to this node itself.  Pings of
   other nodes are answered by the peer thread.  */
static void
handle_ping (control_t *control, const char *from, cs_unpack_cursor_t *cursor)
{
  cs_pack_t pack;
  uint64_t seq = cs_unpack_uint64 (cursor);
  cs_str_t requester = cs_unpack_str (cursor);
  cs_pack_init (&pack);
  cs_pack_array (&pack, 3);
  cs_pack_int64 (&pack, FRAME_ACK);
  cs_pack_uint64 (&pack, seq);
  cs_pack_str (&pack, requester);
  control_send (control, from, cs_pack_payload (&pack));
  cs_pack_clear (&pack);
}

/* Handle the answer to a probe of this node, or pass it on to the requester of
   an indirect one.  */
static void
handle_ack (control_t *control, cs_unpack_cursor_t *cursor)
{
  uint64_t seq = cs_unpack_uint64 (cursor);
  char *requester = cs_unpack_text (cursor);
  if (strcmp (requester, control->node->settings.node) == 0)
    cs_prober_ack (control->prober, seq);
  else if (!cursor->failed)
    {
      cs_pack_t pack;
      cs_pack_init (&pack);
      cs_pack_array (&pack, 3);
      cs_pack_int64 (&pack, FRAME_ACK);
      cs_pack_uint64 (&pack, seq);
      cs_pack_text (&pack, requester);
      control_send (control, requester, cs_pack_payload (&pack));
      cs_pack_clear (&pack);
    }
  g_free (requester);
}

static void
handle_dist (control_t *control, const char *from, cs_unpack_cursor_t *cursor)
{
  cs_dist_message_t message;
  if (cs_dist_message_unpack (control->ctx, cursor, &message) != CS_OK)
    {
      cs_counter_add (CS_C_FRAMES_REFUSED, 1);
      return;
    }
  cs_dist_receive (control->ctx, control->dist, from, &message);
  cs_dist_message_clear (control->ctx, &message);
}

static void
handle_frame (control_t *control, const char *from, cs_str_t payload)
{
  cs_unpack_t unpack;
  cs_unpack_cursor_t cursor;
  if (cs_unpack_init (control->ctx, &unpack, payload, &cursor) != CS_OK)
    return;
  int64_t type = cs_unpack_int64 (&cursor);
  gossip_frame_received (control, from);
  switch (type)
    {
    case FRAME_PING:
      handle_ping (control, from, &cursor);
      break;
    case FRAME_ACK:
      handle_ack (control, &cursor);
      break;
    case FRAME_INDIRECT_PROBE:
      handle_indirect_probe (control, &cursor);
      break;
    case FRAME_DIGEST:
      gossip_handle_digest (control, from, &cursor);
      break;
    case FRAME_RECORDS:
      gossip_handle_records (control, from, &cursor);
      break;
    case FRAME_DIST:
      handle_dist (control, from, &cursor);
      break;
    case FRAME_EVIDENCE:
      moves_handle_evidence (control, from, &cursor);
      break;
    case FRAME_IDEMPOTENCY:
      replica_handle_message (control, from, &cursor);
      break;
    case FRAME_IDEMPOTENCY_ANSWER:
      replica_handle_answer (control, from, &cursor);
      break;
    default:
      break;
    }
  cs_unpack_clear (&unpack);
}

/* The thread.  */

/* Change from joining to in service once the newest configuration is active.
 */
static void
enter_service_when_ready (control_t *control)
{
  if (!cs_dist_ready (control->dist)
      || cs_members_self (control->members)->state != CS_NODE_JOINING)
    return;
  replica_before_joining (control);
  cs_members_set_state (control->ctx, control->members, CS_NODE_UP);
  control->rebuild_view_at_tick = true;
}

/* Add the tokens for the time since the last refill, up to link_bytes_per_s in
   all.  */
static void
refill_link_tokens (control_t *control, cs_usec_t now)
{
  node_t *node = control->node;
  int64_t rate = node->settings.link_bytes_per_s;
  int64_t new_tokens = rate * (now - control->link_refilled_at) / CS_SEC;
  if (new_tokens <= 0)
    return;
  control->link_refilled_at = now;
  int64_t tokens
      = atomic_fetch_add (&node->region_link_tokens, new_tokens) + new_tokens;
  if (tokens > rate)
    atomic_fetch_sub (&node->region_link_tokens, tokens - rate);
}

static void
tick (control_t *control)
{
  cs_usec_t now = cs_now (control->ctx);
  cs_prober_tick (control->ctx, control->prober);
  cs_dist_tick (control->ctx, control->dist);
  enter_service_when_ready (control);
  replica_tick (control);
  moves_tick (control);
  if (now - control->gossiped_at >= GOSSIP_INTERVAL)
    {
      control->gossiped_at = now;
      gossip_tick (control);
      refill_link_tokens (control, now);
    }
  if (now - control->records_expired_at >= EXPIRE_INTERVAL)
    {
      control->records_expired_at = now;
      cs_records_expire (cs_members_records (control->members),
                         cs_now_wall (control->ctx) / CS_MSEC);
      cs_members_refresh (control->ctx, control->members);
      local_upstream_expire (control->node->local_upstream, now);
      offers_expire (control->node->offers, now);
    }
  if (control->rebuild_view_at_tick)
    rebuild_view (control);
}

static void
process_message (control_t *control, control_message_t *message)
{
  if (message->payload)
    {
      handle_frame (control, message->from,
                    cs_str_of_gstring (message->payload));
      g_string_free (message->payload, TRUE);
    }
  else
    {
      message->function (control, message->arg);
      if (message->free_arg)
        message->free_arg (message->arg);
    }
  g_free (message);
}

static void *
run_control (void *arg)
{
  control_t *control = arg;
  cpu_meter_t cpu = { 0 };
  cs_usec_t next_tick = 0;
  node_thread_ctx (control->node);
  while (!atomic_load (&control->stopping))
    {
      cs_usec_t now = cs_now (control->ctx);
      if (now >= next_tick)
        {
          tick (control);
          next_tick = now + TICK_INTERVAL;
          cpu_meter_update (&cpu);
        }
      control_message_t *message
          = cs_queue_pop_until (&control->mailbox, next_tick);
      if (message)
        process_message (control, message);
      if (control->rebuild_view_now)
        rebuild_view (control);
    }
  return NULL;
}

static const cs_dist_ops_t dist_ops = {
  .read_head = config_load_head,
  .read_changes = config_load_changes,
  .read_docs = config_load_docs,
  .send = send_dist,
  .activate = activate_snapshot,
};

control_t *
control_new (node_t *node)
{
  control_t *control = g_new0 (control_t, 1);
  const node_settings_t *settings = &node->settings;
  cs_identity_t self = { .name = settings->node,
                         .host = settings->host,
                         .port = (unsigned)settings->peer_port,
                         .admin_port = (unsigned)settings->admin_port,
                         .dc = settings->dc,
                         .region = settings->region };
  control->node = node;
  control->ctx = cs_ctx_clone (node->ctx);
  cs_queue_init (&control->mailbox);
  control->link_refilled_at = cs_now (control->ctx);
  view_cache_init (&control->view_cache);
  control->members = cs_members_new (control->ctx, &self);
  control->prober = cs_prober_new (control->ctx, control->members,
                                   &prober_options, send_probe, control);
  control->dist = cs_dist_new (control->ctx, control->members,
                               &cs_dist_defaults, &dist_ops, control);
  control->replica = replica_new (control);
  control->moves = moves_new (control);
  gossip_init (control);
  cs_members_watch (control->members, gossip_on_record, control);
  cs_dist_set_dc_reachable (control->dist, gossip_dc_reachable, control);
  rebuild_view (control);
  return control;
}

void
control_run (control_t *control)
{
  control->thread = node_thread_create (run_control, control);
}

static void
set_stopping (control_t *control, void *arg)
{
  (void)arg;
  atomic_store (&control->stopping, true);
}

void
control_stop (control_t *control)
{
  control_post (control, set_stopping, NULL, NULL);
  pthread_join (control->thread, NULL);
}

void
control_free (control_t *control)
{
  control_message_t *message;
  while ((message = cs_queue_pop_until (&control->mailbox, 0)))
    {
      if (message->payload)
        g_string_free (message->payload, TRUE);
      else if (message->free_arg)
        message->free_arg (message->arg);
      g_free (message);
    }
  view_free (control->node->view);
  gossip_clear (control);
  replica_drop (control, control->replica);
  moves_drop (control, control->moves);
  cs_dist_drop (control->ctx, control->dist);
  cs_prober_drop (control->ctx, control->prober);
  cs_members_drop (control->ctx, control->members);
  cs_snapshot_drop (control->ctx, control->snapshot);
  view_cache_clear (&control->view_cache);
  cs_queue_clear (&control->mailbox);
  cs_ctx_drop (control->ctx);
  g_free (control);
}
