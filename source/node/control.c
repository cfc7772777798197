/* The control thread: the only owner of members, prober, dist and the routing
   view.  It reads its mailbox and a clock, nothing else.  */
#include <string.h>

#include "control-internal.h"
#include "moves.h"
#include "once-node.h"
#include "rcu.h"

#define TICK (20 * CS_MSEC)
#define GOSSIP_INTERVAL (200 * CS_MSEC)
#define EXPIRE_INTERVAL (1 * CS_SEC)

static const cs_prober_options_t prober_options = {
  .probe_interval = 500 * CS_MSEC,
  .probe_timeout = 150 * CS_MSEC,
  .suspicion_timeout = 1500 * CS_MSEC,
  .indirect_probes = 3,
};

typedef struct
{
  control_function_t function;
  void *arg;
  GDestroyNotify free_arg;
  char from[NODE_NAME_MAX]; /* Of a frame.  */
  GString *payload;         /* NULL for a function.  */
} letter_t;

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
control_frame (control_t *control, const char *from, cs_str_t payload)
{
  letter_t *letter = g_new0 (letter_t, 1);
  g_strlcpy (letter->from, from, sizeof letter->from);
  letter->payload = g_string_new_len (payload.data, (gssize)payload.len);
  cs_queue_push (&control->mailbox, letter);
}

void
control_post (control_t *control, control_function_t function, void *arg,
              GDestroyNotify free_arg)
{
  letter_t *letter = g_new0 (letter_t, 1);
  letter->function = function;
  letter->arg = arg;
  letter->free_arg = free_arg;
  cs_queue_push (&control->mailbox, letter);
}

typedef struct
{
  control_function_t function;
  void *arg;
  pthread_mutex_t lock;
  pthread_cond_t done_cond;
  bool done;
} rendezvous_t;

static void
run_rendezvous (control_t *control, void *arg)
{
  rendezvous_t *r = arg;
  r->function (control, r->arg);
  pthread_mutex_lock (&r->lock);
  r->done = true;
  pthread_cond_signal (&r->done_cond);
  pthread_mutex_unlock (&r->lock);
}

void
control_call (control_t *control, control_function_t function, void *arg)
{
  rendezvous_t r = { .function = function,
                     .arg = arg,
                     .lock = PTHREAD_MUTEX_INITIALIZER,
                     .done_cond = PTHREAD_COND_INITIALIZER };
  control_post (control, run_rendezvous, &r, NULL);
  pthread_mutex_lock (&r.lock);
  while (!r.done)
    pthread_cond_wait (&r.done_cond, &r.lock);
  pthread_mutex_unlock (&r.lock);
  pthread_mutex_destroy (&r.lock);
  pthread_cond_destroy (&r.done_cond);
}

/* Sending.  */

void
control_send (control_t *control, const char *name, cs_str_t payload)
{
  const cs_member_t *m = cs_members_find (control->members, name);
  if (m == cs_members_self (control->members))
    {
      control_frame (control, name, payload);
      return;
    }
  cs_counter_add (CS_C_CONTROL_BYTES_OUT, payload.len + 4);
  if (!m)
    {
      /* Not a member yet: answer over the connection it has opened.  */
      peers_reply (control->node->peers, name, payload);
      return;
    }
  peer_address_t to = { .port = m->port };
  g_strlcpy (to.name, m->name, sizeof to.name);
  g_strlcpy (to.host, m->host, sizeof to.host);
  peers_send (control->node->peers, &to, payload, 0);
}

static void
send_probe (void *user, const char *via, const char *target, uint64_t seq)
{
  control_t *control = user;
  cs_pack_t pack;
  bool direct = strcmp (via, target) == 0;
  cs_pack_init (&pack);
  cs_pack_array (&pack, direct ? 3 : 4);
  cs_pack_int64 (&pack, direct ? FRAME_PING : FRAME_PROBE);
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

/* The view.  */

static void
rebuild_view (control_t *control)
{
  GHashTable *backs
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  moves_collect_backs (control, backs);
  view_t *fresh
      = view_new (&control->view_store, control->members, control->snapshot,
                  backs, cs_dist_ready (control->dist));
  fresh->strikes = cs_strikes_count (cs_members_records (control->members));
  view_t *old = RCU_EXCHANGE (control->node->view, fresh);
  control->view_stale = control->view_urgent = false;
  RCU_WAIT ();
  view_free (old);
}

static void
put_in_force (void *user, cs_snapshot_t *snapshot)
{
  control_t *control = user;
  cs_snapshot_t *old = control->snapshot;
  control->snapshot = snapshot;
  moves_follow_snapshot (control);
  rebuild_view (control);
  if (old)
    cs_snapshot_drop (control->ctx, old);
  cs_log (CS_LOG_INFO, "config-in-force", "version=%lld digest=%016llx",
          (long long)snapshot->version, (unsigned long long)snapshot->digest);
}

void
control_view_changed (control_t *control)
{
  control->view_stale = true;
}

/* Frames.  */

static void
take_probe (control_t *control, cs_unpack_cursor_t *in)
{
  uint64_t seq = cs_unpack_uint64 (in);
  char *asker = cs_unpack_text (in), *target = cs_unpack_text (in);
  cs_pack_t pack;
  cs_pack_init (&pack);
  cs_pack_array (&pack, 3);
  cs_pack_int64 (&pack, FRAME_PING);
  cs_pack_uint64 (&pack, seq);
  cs_pack_text (&pack, asker);
  if (!in->failed)
    control_send (control, target, cs_pack_payload (&pack));
  cs_pack_clear (&pack);
  g_free (asker);
  g_free (target);
}

static void
take_ping (control_t *control, const char *from, cs_unpack_cursor_t *in)
{
  cs_pack_t pack;
  uint64_t seq = cs_unpack_uint64 (in);
  cs_str_t asker = cs_unpack_str (in);
  cs_pack_init (&pack);
  cs_pack_array (&pack, 3);
  cs_pack_int64 (&pack, FRAME_ACK);
  cs_pack_uint64 (&pack, seq);
  cs_pack_str (&pack, asker);
  control_send (control, from, cs_pack_payload (&pack));
  cs_pack_clear (&pack);
}

/* The answer to a probe: for this node, or for one that asked it to probe.  */
static void
take_ack (control_t *control, cs_unpack_cursor_t *in)
{
  uint64_t seq = cs_unpack_uint64 (in);
  char *asker = cs_unpack_text (in);
  if (strcmp (asker, control->node->settings.node) == 0)
    cs_prober_ack (control->prober, seq);
  else if (!in->failed)
    {
      cs_pack_t pack;
      cs_pack_init (&pack);
      cs_pack_array (&pack, 3);
      cs_pack_int64 (&pack, FRAME_ACK);
      cs_pack_uint64 (&pack, seq);
      cs_pack_text (&pack, asker);
      control_send (control, asker, cs_pack_payload (&pack));
      cs_pack_clear (&pack);
    }
  g_free (asker);
}

static void
take_dist (control_t *control, const char *from, cs_unpack_cursor_t *in)
{
  cs_dist_message_t message;
  if (cs_dist_message_unpack (control->ctx, in, &message) != CS_OK)
    {
      cs_counter_add (CS_C_FRAMES_REFUSED, 1);
      return;
    }
  cs_dist_receive (control->ctx, control->dist, from, &message);
  cs_dist_message_clear (control->ctx, &message);
}

static void
take_frame (control_t *control, const char *from, cs_str_t payload)
{
  cs_unpack_t unpack;
  cs_unpack_cursor_t in;
  if (cs_unpack_init (control->ctx, &unpack, payload, &in) != CS_OK)
    return;
  int64_t type = cs_unpack_int64 (&in);
  gossip_heard (control, from);
  switch (type)
    {
    case FRAME_PING:
      take_ping (control, from, &in);
      break;
    case FRAME_ACK:
      take_ack (control, &in);
      break;
    case FRAME_PROBE:
      take_probe (control, &in);
      break;
    case FRAME_DIGEST:
      gossip_take_digest (control, from, &in);
      break;
    case FRAME_RECORDS:
      gossip_take_records (control, from, &in);
      break;
    case FRAME_DIST:
      take_dist (control, from, &in);
      break;
    case FRAME_EVIDENCE:
      moves_handle_evidence (control, from, &in);
      break;
    case FRAME_ONCE:
      keeper_take_frame (control, from, &in);
      break;
    case FRAME_ONCE_ANSWER:
      keeper_take_answer (control, from, &in);
      break;
    default:
      break;
    }
  cs_unpack_clear (&unpack);
}

/* The thread.  */

static void
follow_readiness (control_t *control)
{
  if (!cs_dist_ready (control->dist)
      || cs_members_self (control->members)->state != CS_NODE_JOINING)
    return;
  keeper_joined (control);
  cs_members_set_state (control->ctx, control->members, CS_NODE_UP);
  control->view_stale = true;
}

static void
refill_link (control_t *control, cs_usec_t now)
{
  node_t *node = control->node;
  int64_t rate = node->settings.link_bytes_per_s;
  int64_t add = rate * (now - control->refilled_at) / CS_SEC;
  if (add <= 0)
    return;
  control->refilled_at = now;
  int64_t tokens = atomic_fetch_add (&node->link_tokens, add) + add;
  if (tokens > rate)
    atomic_fetch_sub (&node->link_tokens, tokens - rate);
}

static void
tick (control_t *control)
{
  cs_usec_t now = cs_now (control->ctx);
  cs_prober_tick (control->ctx, control->prober);
  cs_dist_tick (control->ctx, control->dist);
  follow_readiness (control);
  keeper_tick (control);
  moves_tick (control);
  if (now - control->gossiped_at >= GOSSIP_INTERVAL)
    {
      control->gossiped_at = now;
      gossip_tick (control);
      refill_link (control, now);
    }
  if (now - control->expired_at >= EXPIRE_INTERVAL)
    {
      control->expired_at = now;
      cs_records_expire (cs_members_records (control->members),
                         cs_now_wall (control->ctx) / CS_MSEC);
      cs_members_refresh (control->ctx, control->members);
      serve_expire (control->node->serve, now);
    }
  if (control->view_stale)
    rebuild_view (control);
}

static void
open_letter (control_t *control, letter_t *letter)
{
  if (letter->payload)
    {
      take_frame (control, letter->from, cs_str_of_gstring (letter->payload));
      g_string_free (letter->payload, TRUE);
    }
  else
    {
      letter->function (control, letter->arg);
      if (letter->free_arg)
        letter->free_arg (letter->arg);
    }
  g_free (letter);
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
          next_tick = now + TICK;
          cpu_meter_note (&cpu);
        }
      letter_t *letter = cs_queue_pop_until (&control->mailbox, next_tick);
      if (letter)
        open_letter (control, letter);
      if (control->view_urgent)
        rebuild_view (control);
    }
  return NULL;
}

static const cs_dist_ops_t dist_ops = {
  .read_head = reader_read_head,
  .read_changes = reader_read_changes,
  .read_docs = reader_read_docs,
  .send = send_dist,
  .activate = put_in_force,
};

control_t *
control_start (node_t *node)
{
  control_t *control = g_new0 (control_t, 1);
  const node_settings_t *s = &node->settings;
  cs_identity_t self = { .name = s->node,
                         .host = s->host,
                         .port = (unsigned)s->peer_port,
                         .admin_port = (unsigned)s->admin_port,
                         .dc = s->dc,
                         .region = s->region };
  control->node = node;
  control->ctx = cs_ctx_clone (node->ctx);
  cs_queue_init (&control->mailbox);
  control->refilled_at = cs_now (control->ctx);
  view_store_init (&control->view_store);
  control->members = cs_members_new (control->ctx, &self);
  control->prober = cs_prober_new (control->ctx, control->members,
                                   &prober_options, send_probe, control);
  control->dist = cs_dist_new (control->ctx, control->members,
                               &cs_dist_defaults, &dist_ops, control);
  control->keeper = keeper_new (control);
  control->moves = moves_new (control);
  gossip_init (control);
  cs_members_watch (control->members, gossip_on_record, control);
  cs_dist_set_dc_reachable (control->dist, gossip_heard_of_dc, control);
  rebuild_view (control);
  return control;
}

void
control_run (control_t *control)
{
  control->thread = node_thread (run_control, control);
}

static void
stop_thread (control_t *control, void *arg)
{
  (void)arg;
  atomic_store (&control->stopping, true);
}

void
control_stop (control_t *control)
{
  control_post (control, stop_thread, NULL, NULL);
  pthread_join (control->thread, NULL);
}

void
control_free (control_t *control)
{
  letter_t *letter;
  while ((letter = cs_queue_pop_until (&control->mailbox, 0)))
    {
      if (letter->payload)
        g_string_free (letter->payload, TRUE);
      else if (letter->free_arg)
        letter->free_arg (letter->arg);
      g_free (letter);
    }
  view_free (control->node->view);
  gossip_clear (control);
  keeper_drop (control, control->keeper);
  moves_drop (control, control->moves);
  cs_dist_drop (control->ctx, control->dist);
  cs_prober_drop (control->ctx, control->prober);
  cs_members_drop (control->ctx, control->members);
  cs_snapshot_drop (control->ctx, control->snapshot);
  view_store_clear (&control->view_store);
  cs_queue_clear (&control->mailbox);
  cs_ctx_drop (control->ctx);
  g_free (control);
}
