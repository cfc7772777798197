#include <stdlib.h>
#include <string.h>

#include "answer-offers.h"
#include "workspaces.h"

#define TICK_MS 25 /* A queued request expires at most this late.  */
/* Interval at which expired crash records are looked for.  */
#define CRASH_EXPIRY_INTERVAL (10 * CS_SEC)
#define TRAFFIC_STACK_BYTES (256u << 10)

cs_snapshot_t *
traffic_acquire_snapshot (cs_traffic_t *traffic)
{
  rcu_read_lock ();
  cs_snapshot_t *snapshot = rcu_dereference (*traffic->snapshot);
  if (snapshot)
    cs_snapshot_keep (snapshot);
  rcu_read_unlock ();
  return snapshot;
}

bool
traffic_has_config (cs_traffic_t *traffic)
{
  rcu_read_lock ();
  bool has = rcu_dereference (*traffic->snapshot) != NULL;
  rcu_read_unlock ();
  return has;
}

static bool
snapshot_allows_route_here (const cs_traffic_t *traffic,
                            const cs_snapshot_t *snapshot, cs_str_t route)
{
  if (!snapshot || !snapshot->restricted_routes)
    return true;
  char *path = cs_str_dup (route);
  char *const *regions = cs_snapshot_allowed_regions (snapshot, path);
  g_free (path);
  return !regions
         || g_strv_contains ((const char *const *)regions,
                             traffic->self->info.region);
}

bool
traffic_allows_route_here (cs_traffic_t *traffic, cs_str_t route)
{
  cs_snapshot_t *snapshot = traffic_acquire_snapshot (traffic);
  bool allowed = snapshot_allows_route_here (traffic, snapshot, route);
  cs_snapshot_drop (traffic->ctx, snapshot);
  return allowed;
}

static bool
queued_route_is_allowed (void *user, cs_str_t route)
{
  return traffic_allows_route_here (user, route);
}

/* Apply what the configuration in force says of the service beside this
   node.  */
static void
apply_service (cs_traffic_t *traffic)
{
  cs_snapshot_t *snapshot = traffic_acquire_snapshot (traffic);
  if (!snapshot)
    return;
  const cs_service_t *service
      = g_hash_table_lookup (snapshot->services, traffic->self->info.service);
  traffic->has_caps
      = snapshot->workspaces && cs_workspaces_have_caps (snapshot->workspaces);
  cs_dispatcher_set_warmup (traffic->dispatcher,
                            service ? service->warmup_per_s : 0);
  cs_snapshot_drop (traffic->ctx, snapshot);
}
/* Take the step of the stop that is due.  */
static void
continue_stop (cs_traffic_t *traffic, cs_usec_t now)
{
  cs_stop_step_t step = cs_stop_plan_step (&traffic->stop, now);
  bool is_new = step != traffic->stop_step;
  traffic->stop_step = step;
  if (is_new && (step == CS_STOP_DRAIN || step == CS_STOP_NO_REQUESTS))
    cs_http1_server_drain (traffic->caller_server);
  if (step >= CS_STOP_LISTEN_LAST)
    cs_http1_server_stop_listening (traffic->caller_server);
  if (step >= CS_STOP_ANSWER_ALL)
    calls_end_all (traffic);
  bool idle
      = traffic->calls.length == 0 && traffic->inbound_job_count == 0
        && traffic->offered_answers == 0
        && cs_dispatcher_in_flight (traffic->dispatcher) == 0
        && cs_http1_server_connection_count (traffic->caller_server) == 0;
  if (step == CS_STOP_END || traffic->stop_idle)
    traffic->handler.stopped (traffic->user);
  else if (step >= CS_STOP_DRAIN && idle)
    {
      /* The process ends a moment later, on another thread: nothing may be
         accepted in between.  */
      cs_http1_server_stop_listening (traffic->caller_server);
      traffic->stop_idle = true;
    }
}

static void
on_tick (uv_timer_t *timer)
{
  cs_traffic_t *traffic = timer->data;
  cs_usec_t now = traffic_now (traffic);
  cs_dispatcher_tick (traffic->dispatcher);
  inbound_send_due (traffic, now);
  answer_room_tick (traffic, now);
  /* Small answers are not asked for room.  */
  cs_memory_budget_make_room (&traffic->budget, 0);
  workspaces_tick (traffic, now >= traffic->next_slow_tick_at, now);
  if (now < traffic->next_slow_tick_at)
    return;
  traffic->next_slow_tick_at = now + 4 * TICK_MS * CS_MSEC;
  peers_tick (traffic, now);
  traffic_count_servers (traffic);
  inbound_tick (traffic, now);
  if (now >= traffic->next_crash_expiry_at)
    {
      traffic->next_crash_expiry_at = now + CRASH_EXPIRY_INTERVAL;
      cs_crash_history_expire (traffic->crash_history,
                               traffic_wall_ms (traffic));
    }
  if (traffic->stop.started_at)
    continue_stop (traffic, now);
}

static void
on_server_lost (void *user)
{
  cs_traffic_t *traffic = user;
  traffic->handler.server_lost (traffic->user);
}

static void
on_server_leaving (void *user)
{
  cs_traffic_t *traffic = user;
  traffic->handler.server_leaving (traffic->user);
}

/* Free some memory, from what can be missed most easily on.  */
static bool
make_room (void *user)
{
  cs_traffic_t *traffic = user;
  bool freed = inbound_drop_kept_body (traffic)
               || cs_http1_server_drop_stalled_body (traffic->caller_server)
               || cs_http1_server_drop_unread_answer (traffic->caller_server);
  cs_counter_add (CS_C_GAVE_WAY, freed);
  return freed;
}

static void
run_thread (void *arg)
{
  cs_traffic_t *traffic = arg;
  rcu_register_thread ();
  uv_run (&traffic->loop, UV_RUN_DEFAULT);
  rcu_unregister_thread ();
}

cs_traffic_t *
cs_traffic_new (cs_ctx_t *ctx, const cs_traffic_settings_t *settings,
                const cs_traffic_handler_t *handler, void *user)
{
  static const cs_http1_server_handler_t callers
      = { .request_received = calls_request_received,
          .caller_disconnected = calls_caller_disconnected,
          .at_front = calls_at_front };
  static const cs_dispatcher_handler_t dispatcher_handler
      = { .server_lost = on_server_lost, .server_leaving = on_server_leaving };
  cs_traffic_t *traffic = g_new0 (cs_traffic_t, 1);
  traffic->ctx = cs_ctx_clone (ctx);
  traffic->handler = *handler;
  traffic->user = user;
  traffic->route_callers = cs_route_callers_new ();
  traffic->server_counts = g_hash_table_new (g_str_hash, g_str_equal);
  traffic->stop.grace_period = settings->grace_period;
  g_queue_init (&traffic->calls);
  traffic->snapshot = settings->snapshot;
  g_strlcpy (traffic->caller_service, settings->caller_service,
             sizeof traffic->caller_service);
  uv_loop_init (&traffic->loop);
  cs_mailbox_init (&traffic->mailbox, &traffic->loop);
  traffic->peers = g_hash_table_new (g_str_hash, g_str_equal);
  traffic->pools = g_hash_table_new (g_str_hash, g_str_equal);
  traffic->routes
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  traffic->evacuated_dcs
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  traffic->non_idempotent_jobs = g_hash_table_new (g_str_hash, g_str_equal);
  g_queue_init (&traffic->ended_non_idempotent_jobs);
  traffic->budget = (cs_memory_budget_t){ .limit = settings->memory_max,
                                          .make_room = make_room,
                                          .user = traffic };
  traffic->answer_claims.budget = &traffic->budget;
  traffic->read_claims.budget = &traffic->budget;
  g_queue_init (&traffic->waiting_answers);
  cs_link_init (&traffic->link, (double)settings->self.link_mbps);
  traffic->freshness = settings->freshness;
  traffic->keys_fresh_at = settings->keys_fresh_at;
  traffic->workspaces = workspaces_new (traffic, &settings->cap_tolerance);
  peer_add (traffic, &settings->self);
  traffic->crash_history
      = cs_crash_history_new (traffic->ctx, &crash_history_handler, traffic);
  cs_answer_memory_t answer_memory = settings->answer_memory;
  answer_memory.claims = &traffic->read_claims;
  traffic->dispatcher = cs_dispatcher_new (
      traffic->ctx, &traffic->loop, &answer_memory, &settings->retry_window,
      traffic->crash_history, &dispatcher_handler, traffic);
  if (cs_http1_server_new (traffic->ctx, &traffic->loop,
                           settings->caller_address, &callers, traffic,
                           &traffic->caller_server)
          != CS_OK
      || inbound_listen (traffic, settings->peer_address) != CS_OK)
    {
      cs_fail (ctx, CS_UNAVAILABLE, "%s", cs_error_message (traffic->ctx));
      return NULL;
    }
  cs_http1_server_set_budget (traffic->caller_server, &traffic->budget);
  uv_timer_init (&traffic->loop, &traffic->tick);
  traffic->tick.data = traffic;
  uv_timer_start (&traffic->tick, on_tick, TICK_MS, TICK_MS);
  return traffic;
}

void
cs_traffic_start (cs_traffic_t *traffic)
{
  uv_thread_options_t options = { .flags = UV_THREAD_HAS_STACK_SIZE,
                                  .stack_size = TRAFFIC_STACK_BYTES };
  uv_thread_t thread;
  if (uv_thread_create_ex (&thread, &options, run_thread, traffic) != 0)
    abort ();
}

static void
publish_own_member (cs_traffic_t *traffic)
{
  traffic->self->info.revision++;
  peers_announce_self (traffic);
  traffic->handler.member_changed (traffic->user, &traffic->self->info, true);
}

static void
apply_server_state (void *user, void *arg)
{
  cs_traffic_t *traffic = user;
  const cs_backend_t *backend = arg;
  cs_node_info_t *info = &traffic->self->info;
  char before[CS_NAME_SIZE];
  g_strlcpy (before, info->service, sizeof before);
  info->server_state = backend->state;
  info->slots = backend->report.slots;
  info->server_started_ms = backend->report.started_ms;
  g_strlcpy (info->service, backend->report.service, sizeof info->service);
  g_strlcpy (info->version, backend->report.version, sizeof info->version);
  g_strlcpy (info->instance, backend->report.instance, sizeof info->instance);
  peer_move_to_pool (traffic->self, before);
  apply_service (traffic);
  cs_dispatcher_set_backend (traffic->dispatcher, backend);
  publish_own_member (traffic);
  g_free (arg);
}

static void
apply_server_warm_at (void *user, void *arg)
{
  cs_traffic_t *traffic = user;
  cs_dispatcher_set_warm_at (traffic->dispatcher, *(cs_usec_t *)arg);
  g_free (arg);
}

void
cs_traffic_set_server_warm_at (cs_traffic_t *traffic, cs_usec_t warm_at)
{
  cs_mailbox_post (&traffic->mailbox, apply_server_warm_at, traffic,
                   g_memdup2 (&warm_at, sizeof warm_at));
}

static void
apply_evacuated (void *user, void *arg)
{
  cs_traffic_t *traffic = user;
  char **dcs = arg;
  g_hash_table_remove_all (traffic->evacuated_dcs);
  for (size_t i = 0; dcs[i]; i++)
    g_hash_table_add (traffic->evacuated_dcs, g_strdup (dcs[i]));
  cs_dispatcher_set_evacuated (
      traffic->dispatcher,
      g_hash_table_contains (traffic->evacuated_dcs, traffic->self->info.dc));
  g_strfreev (dcs);
}

void
cs_traffic_set_evacuated (cs_traffic_t *traffic, char **dcs)
{
  cs_mailbox_post (&traffic->mailbox, apply_evacuated, traffic, dcs);
}

void
cs_traffic_set_server_state (cs_traffic_t *traffic,
                             const cs_backend_t *backend)
{
  cs_mailbox_post (&traffic->mailbox, apply_server_state, traffic,
                   g_memdup2 (backend, sizeof *backend));
}

static void
apply_member (void *user, void *arg)
{
  peers_update_member (user, arg);
  g_free (arg);
}

void
cs_traffic_update_member (cs_traffic_t *traffic, const cs_node_info_t *info)
{
  cs_mailbox_post (&traffic->mailbox, apply_member, traffic,
                   g_memdup2 (info, sizeof *info));
}

static void
apply_version_split (void *user, void *arg)
{
  cs_traffic_t *traffic = user;
  cs_version_split_t *split = arg;
  pool_t *pool = service_pool (traffic, split->service);
  version_split_state_t *current = &pool->split;
  const cs_node_info_t *self = &traffic->self->info;
  current->move_revision = MAX (split->move_revision, 1);
  g_strlcpy (current->baseline, split->baseline, sizeof current->baseline);
  g_strlcpy (current->candidate, split->candidate, sizeof current->candidate);
  current->candidate_permille = split->candidate_permille;
  if (strcmp (self->service, split->service) == 0)
    cs_dispatcher_set_candidate (
        traffic->dispatcher,
        split->candidate[0] && strcmp (self->version, split->candidate) == 0
            ? split->move_revision
            : 0);
  g_free (split);
}

void
cs_traffic_set_version_split (cs_traffic_t *traffic,
                              const cs_version_split_t *split)
{
  cs_mailbox_post (&traffic->mailbox, apply_version_split, traffic,
                   g_memdup2 (split, sizeof *split));
}

static void
apply_limits (void *user, void *arg)
{
  cs_traffic_t *traffic = user;
  cs_http1_server_set_limits (traffic->caller_server, arg);
  /* A new configuration is in force.  */
  apply_service (traffic);
  cs_dispatcher_refuse_disallowed (traffic->dispatcher,
                                   queued_route_is_allowed, traffic);
  g_free (arg);
}

void
cs_traffic_set_limits (cs_traffic_t *traffic,
                       const cs_http1_server_limits_t *limits)
{
  cs_mailbox_post (&traffic->mailbox, apply_limits, traffic,
                   g_memdup2 (limits, sizeof *limits));
}

typedef struct
{
  char *node, *region;
  GString *payload;
} control_message_t;

/* Send the control PAYLOAD to NODE, which may be this node; dropped when NODE
   is not reachable.  */
static void
send_to (cs_traffic_t *traffic, const char *node, cs_str_t payload)
{
  const peer_t *peer = g_hash_table_lookup (traffic->peers, node);
  if (peer && peer->self)
    traffic->handler.control_received (
        traffic->user, peer->info.name,
        g_string_new_len (payload.data, (gssize)payload.len));
  else if (peer && peer->stream && peer->hello_received)
    cs_stream_send (peer->stream, payload);
}

static void
apply_send (void *user, void *arg)
{
  cs_traffic_t *traffic = user;
  control_message_t *message = arg;
  cs_str_t payload = cs_str_of_gstring (message->payload);
  if (message->node)
    send_to (traffic, message->node, payload);
  else
    peers_broadcast (traffic, payload, message->region);
  g_string_free (message->payload, TRUE);
  g_free (message->node);
  g_free (message->region);
  g_free (message);
}

void
cs_traffic_send_control (cs_traffic_t *traffic, const char *node,
                         const char *region, cs_str_t payload)
{
  control_message_t *message = g_new0 (control_message_t, 1);
  message->node = g_strdup (node);
  message->region = g_strdup (region);
  message->payload = g_string_new_len (payload.data, (gssize)payload.len);
  cs_mailbox_post (&traffic->mailbox, apply_send, traffic, message);
}

static void
pack_route_stats (cs_pack_t *pack, GHashTable *stats_by_route)
{
  GHashTableIter iter;
  gpointer route, stats;
  cs_pack_array (pack, 2 * g_hash_table_size (stats_by_route));
  g_hash_table_iter_init (&iter, stats_by_route);
  while (g_hash_table_iter_next (&iter, &route, &stats))
    {
      cs_paired_stats_t sample
          = { .candidate = *(const cs_call_stats_t *)stats };
      cs_pack_text (pack, route);
      cs_paired_stats_pack (pack, &sample);
    }
}

/* Pack the call statistics of the version beside this node, for the node that
   runs its move.  */
static void
pack_version_stats (cs_traffic_t *traffic, cs_pack_t *pack)
{
  const cs_node_info_t *info = &traffic->self->info;
  GHashTable *ages = cs_dispatcher_in_flight_stats (traffic->dispatcher);
  cs_load_t load = cs_dispatcher_load (traffic->dispatcher);
  cs_pack_array (pack, 7);
  cs_pack_int64 (pack, CS_FRAME_VERSION_STATS);
  cs_pack_text (pack, info->service);
  cs_pack_text (pack, info->version);
  cs_pack_text (pack, info->instance);
  cs_pack_int64 (pack, load.running + load.queued);
  pack_route_stats (pack, cs_dispatcher_stats (traffic->dispatcher));
  pack_route_stats (pack, ages);
  g_hash_table_unref (ages);
}

static void
apply_send_version_stats (void *user, void *arg)
{
  cs_traffic_t *traffic = user;
  cs_pack_t pack;
  cs_pack_init (&pack);
  pack_version_stats (traffic, &pack);
  send_to (traffic, arg, cs_pack_payload (&pack));
  cs_pack_clear (&pack);
  g_free (arg);
}

void
cs_traffic_send_version_stats (cs_traffic_t *traffic, const char *node)
{
  cs_mailbox_post (&traffic->mailbox, apply_send_version_stats, traffic,
                   g_strdup (node));
}

static void
apply_stop (void *user, void *arg)
{
  cs_traffic_t *traffic = user;
  (void)arg;
  if (traffic->stop.started_at)
    return;
  traffic->stop.started_at = traffic_now (traffic);
  traffic->self->info.stopping = true;
  workspaces_stop (traffic);
  publish_own_member (traffic);
  cs_dispatcher_stop (traffic->dispatcher);
}

void
cs_traffic_stop (cs_traffic_t *traffic)
{
  cs_mailbox_post (&traffic->mailbox, apply_stop, traffic, NULL);
}
