#include <string.h>

#include "cardamom/counters.h"
#include "cardamom/event.h"
#include "cardamom/header-names.h"
#include "dispatcher-internal.h"

/* A connection that has been idle for longer is not reused for a
   non-idempotent request: the server may have closed it unnoticed, and the
   request could not be sent again.  */
#define UNSAFE_REUSE_IDLE_MAX (500 * CS_MSEC)
/* Weight in the failure rate of one run, or of one request that the server
   refused without running it (not with 421), which counts as a failure.  */
#define FAILURE_SMOOTHING 0.08
/* Without new ones of these the failure rate is half after this time, so that
   a server which gets no requests because it failed is tried again.  It is
   divided by 1 + age / FAILURE_HALF_LIFE, and is 0 from 8 half-lives on.  */
#define FAILURE_HALF_LIFE (2 * CS_SEC)
/* Time after its deadline at which a run is abandoned; the server should have
   ended it by then.  */
#define DEADLINE_GRACE (40 * CS_MSEC)
/* A connection fails when bytes sent to the server stay unacknowledged for
   this long.  */
#define SERVER_ACK_TIMEOUT (3 * CS_SEC)
/* Retries are held for this long after each sign that the services which the
   server calls get too many of them.  */
#define RETRIES_HELD_FOR (2 * CS_SEC)
/* A candidate is stopped on this node after this many failures, if they are at
   least this part of its runs.  */
#define CANDIDATE_FAILURES_MIN 6
#define CANDIDATE_FAILURE_PERCENT 20

const char *
cs_refusal_reason_name (cs_refusal_reason_t reason)
{
  /* In the order of cs_refusal_reason_t.  */
  static const char *const names[]
      = { "full",         "expired",     "gone",     "other",
          "shed",         "trial",       "stopping", "quarantined",
          "retry-budget", "longer-wait", "region",   "evacuated",
          "key-unknown",  "keys-closed", "over-cap", "no-cap-coordinator" };
  return reason < CS_REFUSED_COUNT ? names[reason] : "unknown";
}

/* The failure rate, decayed by the time since it was last updated.  */
static double
decayed_failure_rate (const cs_dispatcher_t *dispatcher)
{
  cs_usec_t age = dispatcher_now (dispatcher) - dispatcher->failure_rate_at;
  return age > 8 * FAILURE_HALF_LIFE
             ? 0.0
             : dispatcher->failure_rate
                   / (1.0 + (double)age / (double)FAILURE_HALF_LIFE);
}

void
dispatcher_record_failure_rate (cs_dispatcher_t *dispatcher, bool failed)
{
  dispatcher->failure_rate
      += FAILURE_SMOOTHING * ((failed ? 1.0 : 0.0) - dispatcher->failure_rate);
  dispatcher->failure_rate_at = dispatcher_now (dispatcher);
}

/* Whether the retry budget has room for a retry.  */
static bool
takes_retries (cs_dispatcher_t *dispatcher)
{
  cs_usec_t now = dispatcher_now (dispatcher);
  return now >= dispatcher->retries_held_until
         && cs_retry_window_has_room (&dispatcher->retry_window,
                                      &dispatcher->retry_settings,
                                      dispatcher->server_count, now);
}

void
cs_dispatcher_note_transit (cs_dispatcher_t *dispatcher, cs_usec_t delay)
{
  cs_transit_note (&dispatcher->transit, delay, dispatcher_now (dispatcher));
}

void
cs_dispatcher_set_server_count (cs_dispatcher_t *dispatcher, unsigned count)
{
  dispatcher->server_count = count;
}

double
cs_dispatcher_retry_share (const cs_dispatcher_t *dispatcher)
{
  double sum = 0;
  for (const GList *link = dispatcher->in_flight.head; link; link = link->next)
    sum += ((const cs_dispatch_t *)link->data)->retry_share;
  return sum / MAX (dispatcher->in_flight.length, 1);
}

void
cs_dispatcher_hold_retries (cs_dispatcher_t *dispatcher)
{
  dispatcher->retries_held_until
      = dispatcher_now (dispatcher) + RETRIES_HELD_FOR;
}

cs_load_t
cs_dispatcher_load (cs_dispatcher_t *dispatcher)
{
  return (cs_load_t){
    .running = dispatcher->in_flight.length,
    .queued = cs_request_queue_length (&dispatcher->queue)
              + dispatcher->isolated.length,
    .slots = dispatcher->server.report.slots,
    .mean_service_time = cs_service_times_mean (&dispatcher->service_times, 0),
    .failure_permille = (int64_t)(decayed_failure_rate (dispatcher) * 1000.0),
    .limit_interval = cs_server_limit_interval (&dispatcher->limit,
                                                dispatcher_now (dispatcher)),
    .limit_wait = cs_server_limit_wait (
        &dispatcher->limit, cs_request_queue_length (&dispatcher->queue),
        dispatcher_now (dispatcher)),
    .cold_left = cs_server_limit_cold_left (&dispatcher->limit,
                                            dispatcher_now (dispatcher)),
    .transit
    = cs_transit_mean (&dispatcher->transit, dispatcher_now (dispatcher)),
    .refuses_retries = !takes_retries (dispatcher)
  };
}

int64_t
cs_dispatcher_in_flight (const cs_dispatcher_t *dispatcher)
{
  return dispatcher->in_flight.length + dispatcher->unanswered.length;
}

GHashTable *
cs_dispatcher_stats (cs_dispatcher_t *dispatcher)
{
  return dispatcher->stats;
}

/* The entry of ROUTE in STATS, created if missing.  */
static cs_call_stats_t *
stats_of_route (GHashTable *stats, const char *route)
{
  cs_call_stats_t *entry = g_hash_table_lookup (stats, route);
  if (!entry)
    {
      entry = g_new0 (cs_call_stats_t, 1);
      g_hash_table_insert (stats, g_strdup (route), entry);
    }
  return entry;
}

GHashTable *
cs_dispatcher_in_flight_stats (const cs_dispatcher_t *dispatcher)
{
  GHashTable *ages
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  for (GList *link = dispatcher->in_flight.head; link; link = link->next)
    {
      const cs_dispatch_t *dispatch = link->data;
      if (dispatch->cold)
        continue;
      cs_call_stats_record (stats_of_route (ages, dispatch->route->str), false,
                            dispatcher_now (dispatcher) - dispatch->sent_at);
    }
  return ages;
}

static cs_request_trust_t
trust_of (const cs_dispatch_t *dispatch)
{
  return cs_crash_history_trust (dispatch->dispatcher->crash_history,
                                 dispatch->fingerprint);
}

bool
dispatcher_is_suspect (const cs_dispatch_t *dispatch)
{
  return trust_of (dispatch) != CS_REQUEST_TRUSTED;
}

static void
free_dispatch (cs_dispatch_t *dispatch)
{
  g_string_free (dispatch->id, TRUE);
  g_string_free (dispatch->route, TRUE);
  g_string_free (dispatch->head, TRUE);
  if (dispatch->body)
    g_bytes_unref (dispatch->body);
  g_free (dispatch);
}

void
dispatcher_report (cs_dispatch_t *dispatch, cs_outcome_t *outcome)
{
  cs_dispatcher_t *dispatcher = dispatch->dispatcher;
  outcome->load = cs_dispatcher_load (dispatcher);
  outcome->retries_strained
      = dispatch->may_be_call
        && cs_retry_window_is_strained (
            &dispatcher->retry_window, &dispatcher->retry_settings,
            dispatcher->server_count, dispatcher_now (dispatcher));
  if (!dispatch->cancelled)
    dispatch->done (dispatch->user, outcome);
}

void
dispatcher_finish (cs_dispatch_t *dispatch, cs_outcome_t *outcome)
{
  dispatcher_report (dispatch, outcome);
  free_dispatch (dispatch);
}

void
dispatcher_refuse (cs_dispatch_t *dispatch, cs_refusal_reason_t reason,
                   cs_usec_t wait)
{
  cs_outcome_t outcome = { .kind = CS_OUTCOME_REFUSED,
                           .reason = reason,
                           .expected_wait = wait };
  dispatcher_finish (dispatch, &outcome);
}

void
dispatcher_refuse_queued (cs_dispatcher_t *dispatcher,
                          cs_refusal_reason_t reason)
{
  cs_queued_request_t *next;
  cs_dispatch_t *isolated;
  while ((next = cs_request_queue_pop_any (&dispatcher->queue)))
    dispatcher_refuse ((cs_dispatch_t *)next, reason, 0);
  while ((isolated = g_queue_pop_head (&dispatcher->isolated)))
    dispatcher_refuse (isolated, reason, 0);
}

void
dispatcher_record_run (cs_dispatcher_t *dispatcher,
                       const cs_dispatch_t *dispatch, bool failed,
                       cs_usec_t service_time)
{
  cs_call_stats_t *stats
      = stats_of_route (dispatcher->stats, dispatch->route->str);
  /* How long a cold server takes says nothing about its version.  */
  if (dispatch->cold && !failed)
    stats->calls++;
  else
    cs_call_stats_record (stats, failed, service_time);
  dispatcher->candidate_runs++;
  dispatcher->candidate_failures += failed;
}

void
dispatcher_drop_conn (dispatcher_conn_t *conn)
{
  cs_http1_client_drop (conn->client);
  g_free (conn);
}

static void
drop_idle_conns (cs_dispatcher_t *dispatcher)
{
  dispatcher_conn_t *conn;
  while ((conn = g_queue_pop_head (&dispatcher->idle_conns)))
    dispatcher_drop_conn (conn);
}

void
dispatcher_release_conn (cs_dispatch_t *dispatch)
{
  cs_dispatcher_t *dispatcher = dispatch->dispatcher;
  dispatcher_conn_t *conn = dispatch->conn;
  g_queue_remove (&dispatcher->in_flight, dispatch);
  dispatch->conn = NULL;
  conn->dispatch = NULL;
  if (cs_http1_client_is_usable (conn->client, dispatcher_now (dispatcher)))
    g_queue_push_head (&dispatcher->idle_conns, conn);
  else
    dispatcher_drop_conn (conn);
}

void
dispatcher_mark_server_lost (cs_dispatcher_t *dispatcher)
{
  cs_backend_mark_lost (&dispatcher->server, dispatcher_now (dispatcher));
  drop_idle_conns (dispatcher);
  crash_check_end (dispatcher);
  dispatcher_refuse_queued (dispatcher, CS_REFUSED_NO_SERVER);
  dispatcher->handler.server_lost (dispatcher->user);
}

void
dispatcher_log_unanswered (const cs_dispatch_t *dispatch, const char *why)
{
  const cs_dispatcher_t *dispatcher = dispatch->dispatcher;
  cs_event_log (
      CS_E_UNANSWERED,
      "id=%s route=%s fingerprint=%016" G_GINT64_MODIFIER "x instance=%s "
      "why=\"%s\" stale=%d running=%u run_ms=%.1f",
      dispatch->id->str, dispatch->route->str, dispatch->fingerprint,
      dispatcher->server.report.instance, why, dispatch->stale_connection,
      dispatcher->in_flight.length,
      (double)(dispatcher_now (dispatcher) - dispatch->sent_at) / 1e3);
}

dispatcher_conn_t *
dispatcher_open_conn (cs_dispatcher_t *dispatcher)
{
  dispatcher_conn_t *conn = g_new0 (dispatcher_conn_t, 1);
  conn->dispatcher = dispatcher;
  conn->client
      = cs_http1_client_new (dispatcher->loop, dispatcher->ctx->clock,
                             &dispatcher->address, SERVER_ACK_TIMEOUT);
  cs_http1_client_share_memory (conn->client, &dispatcher->answer_memory);
  return conn;
}

/* Whether DISPATCH is sent on a new connection only.  A kept one may be why
   the attempt before a retry failed.  A late answer there to an earlier
   request could not be told from that to one without an id, and would be read
   without its body if the method is HEAD.  */
static bool
needs_new_conn (const cs_dispatch_t *dispatch)
{
  return dispatch->retry || dispatch->id->len == 0 || dispatch->method_is_head;
}

/* An idle connection that is safe for DISPATCH, or a new one.  */
static dispatcher_conn_t *
acquire_conn (cs_dispatcher_t *dispatcher, const cs_dispatch_t *dispatch)
{
  cs_usec_t now = dispatcher_now (dispatcher);
  GList *next;
  for (GList *link = dispatcher->idle_conns.head; link; link = next)
    {
      dispatcher_conn_t *conn = link->data;
      next = link->next;
      if (!cs_http1_client_is_usable (conn->client, now))
        {
          g_queue_delete_link (&dispatcher->idle_conns, link);
          dispatcher_drop_conn (conn);
          continue;
        }
      if (needs_new_conn (dispatch) && conn->uses > 0)
        break;
      if (!dispatch->idempotent
          && now - cs_http1_client_idle_since (conn->client)
                 > UNSAFE_REUSE_IDLE_MAX)
        break;
      g_queue_delete_link (&dispatcher->idle_conns, link);
      return conn;
    }
  return dispatcher_open_conn (dispatcher);
}

/* The head to send, with the deadline and the expected instance.  */
static GString *
build_head (cs_dispatcher_t *dispatcher, const cs_dispatch_t *dispatch,
            cs_usec_t now)
{
  GString *out = g_string_sized_new (dispatch->head->len + 128);
  g_string_append_len (out, dispatch->head->str, (gssize)dispatch->head->len);
  g_string_append_printf (out, "%s: %" G_GINT64_FORMAT "\r\n%s: %s\r\n\r\n",
                          cs_header_names->time_remaining,
                          MAX ((dispatch->deadline - now) / CS_MSEC, 1),
                          cs_header_names->expected_instance,
                          dispatcher->server.report.instance);
  return out;
}

static void
send_on (cs_dispatcher_t *dispatcher, cs_dispatch_t *dispatch,
         dispatcher_conn_t *conn)
{
  cs_usec_t now = dispatcher_now (dispatcher);
  dispatch->state = DISPATCH_IN_FLIGHT;
  dispatch->suspect = dispatcher_is_suspect (dispatch);
  dispatch->conn = conn;
  dispatch->sent_at = now;
  dispatch->cold = cs_server_limit_cold_left (&dispatcher->limit, now) > 0;
  cs_counter_add (CS_C_COLD_SERVED, dispatch->cold);
  cs_server_limit_take (&dispatcher->limit, now);
  if (dispatch->retry)
    cs_retry_window_note_retry (&dispatcher->retry_window,
                                &dispatcher->retry_settings, now);
  else
    cs_retry_window_note_request (
        &dispatcher->retry_window, &dispatcher->retry_settings,
        dispatch->may_be_call, dispatch->retry_share, now);
  dispatch->sent_wall = cs_now_wall (dispatcher->ctx);
  conn->dispatch = dispatch;
  conn->uses++;
  g_queue_push_tail (&dispatcher->in_flight, dispatch);
  cs_counter_add (CS_C_SERVED, 1);
  cs_http1_client_send_body (
      conn->client, build_head (dispatcher, dispatch, now), dispatch->body,
      dispatch->method_is_head, &dispatcher_answer_handler, conn);
}

/* Also a request that was trusted when it was sent: the record of its crash
   may have come since.  */
static bool
suspect_in_flight (const cs_dispatcher_t *dispatcher)
{
  for (const GList *link = dispatcher->in_flight.head; link; link = link->next)
    {
      const cs_dispatch_t *dispatch = link->data;
      if (dispatch->suspect || dispatcher_is_suspect (dispatch))
        return true;
    }
  return false;
}

/* Whether the server has a free slot and, by its limit, takes a request.  */
static bool
server_takes_request (const cs_dispatcher_t *dispatcher)
{
  return dispatcher->server.state == CS_BACKEND_READY && !dispatcher->evacuated
         && dispatcher->in_flight.length < dispatcher_usable_slots (dispatcher)
         && cs_server_limit_wait (&dispatcher->limit, 0,
                                  dispatcher_now (dispatcher))
                == 0;
}

static void
on_limit_timer (uv_timer_t *timer)
{
  dispatcher_schedule_fill (timer->data);
}

/* If a request awaits its turn under the server's limit, fill again then.  */
static void
await_turn (cs_dispatcher_t *dispatcher)
{
  cs_usec_t wait = cs_server_limit_wait (&dispatcher->limit, 0,
                                         dispatcher_now (dispatcher));
  if (wait > 0
      && (cs_request_queue_length (&dispatcher->queue)
          || dispatcher->isolated.length))
    uv_timer_start (&dispatcher->limit_timer, on_limit_timer,
                    (uint64_t)(wait + CS_MSEC - 1) / CS_MSEC, 0);
}

/* Send DISPATCH, which is in no queue, to a free slot.  It is refused if it is
   a retry without a budget.  If it has crashed servers, it is refused, or kept
   until it can run as the only suspect.  */
static void
start_dispatch (cs_dispatch_t *dispatch)
{
  cs_dispatcher_t *dispatcher = dispatch->dispatcher;
  cs_request_trust_t trust = trust_of (dispatch);
  if (trust == CS_REQUEST_QUARANTINED)
    {
      cs_counter_add (CS_C_QUARANTINED, 1);
      dispatcher_refuse (dispatch, CS_REFUSED_QUARANTINED, 0);
    }
  else if (dispatch->retry && !takes_retries (dispatcher))
    dispatcher_refuse (dispatch, CS_REFUSED_RETRY_BUDGET, 0);
  else if (trust == CS_REQUEST_SUSPECT && suspect_in_flight (dispatcher))
    {
      dispatch->state = DISPATCH_ISOLATED;
      g_queue_push_tail (&dispatcher->isolated, dispatch);
    }
  else
    send_on (dispatcher, dispatch, acquire_conn (dispatcher, dispatch));
}

/* Refuse the requests kept apart whose deadline has passed, and send those
   whose turn it is.  */
static void
start_isolated (cs_dispatcher_t *dispatcher)
{
  cs_dispatch_t *first;
  while ((first = g_queue_peek_head (&dispatcher->isolated)))
    {
      bool expired = dispatcher_now (dispatcher) >= first->deadline;
      if (!expired
          && (!server_takes_request (dispatcher)
              || (trust_of (first) == CS_REQUEST_SUSPECT
                  && suspect_in_flight (dispatcher))))
        return;
      g_queue_pop_head (&dispatcher->isolated);
      if (expired)
        dispatcher_refuse (first, CS_REFUSED_EXPIRED, 0);
      else
        start_dispatch (first);
    }
}

/* Refuse expired requests, then send queued ones to the free slots.  */
static void
fill_slots (cs_dispatcher_t *dispatcher)
{
  cs_queued_request_t *next;
  while ((next = cs_request_queue_pop_expired (&dispatcher->queue,
                                               dispatcher_now (dispatcher))))
    dispatcher_refuse ((cs_dispatch_t *)next, CS_REFUSED_EXPIRED, 0);
  start_isolated (dispatcher);
  while (server_takes_request (dispatcher)
         && (next = cs_request_queue_pop (&dispatcher->queue,
                                          dispatcher_now (dispatcher))))
    start_dispatch ((cs_dispatch_t *)next);
  await_turn (dispatcher);
}

static void
on_fill (uv_idle_t *fill_handle)
{
  uv_idle_stop (fill_handle);
  fill_slots (fill_handle->data);
}

void
dispatcher_schedule_fill (cs_dispatcher_t *dispatcher)
{
  uv_idle_start (&dispatcher->fill_handle, on_fill);
}

/* Make room if answers wait for it, and read on with those that get some, the
   oldest first.  One that has waited for long gets room before all others.
   Making room may cancel requests, also those in flight.  */
static void
read_paused_answers (cs_dispatcher_t *dispatcher, cs_usec_t now)
{
  cs_claims_t *claims = dispatcher->answer_memory.claims;
  int64_t wanted = 0;
  GList *next;
  if (!claims)
    return;
  claims->first = NULL;
  for (const GList *link = dispatcher->in_flight.head; link && !wanted;
       link = link->next)
    wanted = cs_http1_client_wanted (
        ((const cs_dispatch_t *)link->data)->conn->client);
  if (!wanted)
    return;
  cs_memory_budget_make_room (claims->budget, wanted);
  for (GList *link = dispatcher->in_flight.head; link; link = next)
    {
      cs_http1_client_t *client
          = ((const cs_dispatch_t *)link->data)->conn->client;
      cs_usec_t since = cs_http1_client_paused_since (client);
      next = link->next;
      /* The request may end in this call.  */
      if (since)
        cs_http1_client_resume (
            client, !claims->first && now - since > CS_CLAIM_WAIT_MAX);
    }
}

void
cs_dispatcher_tick (cs_dispatcher_t *dispatcher)
{
  cs_usec_t now = dispatcher_now (dispatcher);
  GList *next;
  read_paused_answers (dispatcher, now);
  for (GList *link = dispatcher->in_flight.head; link; link = next)
    {
      cs_dispatch_t *dispatch = link->data;
      next = link->next;
      if (now <= dispatch->deadline + DEADLINE_GRACE)
        continue;
      dispatcher_conn_t *conn = dispatch->conn;
      g_queue_delete_link (&dispatcher->in_flight, link);
      dispatcher_drop_conn (conn);
      dispatcher_log_unanswered (dispatch, "no answer by the deadline");
      crash_check_note_unanswered (dispatch);
      dispatcher_record_failure_rate (dispatcher, true);
      crash_check_finish (dispatch);
    }
  crash_check_tick (dispatcher, now);
  dispatcher_schedule_fill (dispatcher);
}

cs_dispatcher_t *
cs_dispatcher_new (cs_ctx_t *ctx, uv_loop_t *loop,
                   const cs_answer_memory_t *answer_memory,
                   const cs_retry_window_settings_t *retries,
                   cs_crash_history_t *crash_history,
                   const cs_dispatcher_handler_t *handler, void *user)
{
  cs_dispatcher_t *dispatcher = g_new0 (cs_dispatcher_t, 1);
  dispatcher->ctx = ctx;
  dispatcher->loop = loop;
  dispatcher->answer_memory = *answer_memory;
  dispatcher->retry_settings = *retries;
  dispatcher->server_count = 1;
  cs_retry_window_init (&dispatcher->retry_window,
                        dispatcher_now (dispatcher));
  dispatcher->handler = *handler;
  dispatcher->user = user;
  dispatcher->crash_history = crash_history;
  crash_check_init (dispatcher);
  cs_service_times_init (&dispatcher->service_times);
  cs_server_limit_init (&dispatcher->limit);
  uv_timer_init (loop, &dispatcher->limit_timer);
  dispatcher->limit_timer.data = dispatcher;
  uv_idle_init (loop, &dispatcher->fill_handle);
  dispatcher->fill_handle.data = dispatcher;
  dispatcher->stats
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return dispatcher;
}

void
cs_dispatcher_set_backend (cs_dispatcher_t *dispatcher,
                           const cs_backend_t *server)
{
  bool first = dispatcher->server.state == CS_BACKEND_NONE;
  bool restarted
      = strcmp (dispatcher->server.report.instance, server->report.instance)
            != 0
        || dispatcher->server.report.started_ms != server->report.started_ms;
  if (restarted)
    {
      crash_check_suspect (dispatcher, true);
      crash_check_end (dispatcher);
    }
  if (strcmp (dispatcher->server.report.service, server->report.service) != 0)
    cs_retry_window_init (&dispatcher->retry_window,
                          dispatcher_now (dispatcher));
  dispatcher->server = *server;
  if (restarted)
    {
      drop_idle_conns (dispatcher);
      g_hash_table_remove_all (dispatcher->stats);
      cs_service_times_reset (&dispatcher->service_times);
      dispatcher->candidate_runs = dispatcher->candidate_failures = 0;
      dispatcher->failure_rate = 0;
      cs_server_limit_init (&dispatcher->limit);
      dispatcher->named_leaving = dispatcher->answered = false;
      server_fields_restore_limit (dispatcher);
    }
  dispatcher->warm_at = server->warm_at;
  dispatcher_apply_cold (dispatcher, first);
  /* The report may have been sent before the answer that it contradicts.  */
  if (dispatcher->named_leaving && server->state == CS_BACKEND_READY)
    dispatcher->server.state = CS_BACKEND_DRAINING;
  if (dispatcher->server.state == CS_BACKEND_READY
      && cs_sockaddr_parse (server->report.address, &dispatcher->address))
    {
      dispatcher_schedule_fill (dispatcher);
      return;
    }
  dispatcher_refuse_queued (dispatcher, CS_REFUSED_NO_SERVER);
}

void
cs_dispatcher_stop (cs_dispatcher_t *dispatcher)
{
  dispatcher->stopping = true;
  dispatcher_refuse_queued (dispatcher, CS_REFUSED_STOPPING);
}

void
cs_dispatcher_set_candidate (cs_dispatcher_t *dispatcher,
                             int64_t move_revision)
{
  if (dispatcher->move_revision == move_revision)
    return;
  dispatcher->move_revision = move_revision;
  dispatcher->candidate_runs = dispatcher->candidate_failures = 0;
}

/* Whether too many failures on this node keep requests from the candidate.  */
static bool
candidate_is_stopped (const cs_dispatcher_t *dispatcher)
{
  return dispatcher->move_revision
         && dispatcher->candidate_failures >= CANDIDATE_FAILURES_MIN
         && dispatcher->candidate_failures * 100
                >= dispatcher->candidate_runs * CANDIDATE_FAILURE_PERCENT;
}

static GString *
copy_text (cs_str_t text)
{
  return g_string_new_len (text.data, (gssize)text.len);
}

static cs_dispatch_t *
new_dispatch (cs_dispatcher_t *dispatcher,
              const cs_dispatch_request_t *request, cs_dispatch_done_t done,
              void *user)
{
  cs_dispatch_t *dispatch = g_new0 (cs_dispatch_t, 1);
  dispatch->dispatcher = dispatcher;
  dispatch->id = copy_text (request->id);
  dispatch->route = copy_text (request->route);
  dispatch->head = copy_text (request->head);
  if (request->body_bytes)
    dispatch->body = g_bytes_ref (request->body_bytes);
  else if (request->body.len)
    dispatch->body = g_bytes_new (request->body.data, request->body.len);
  dispatch->idempotent = request->idempotent;
  dispatch->method_is_head = request->method_is_head;
  dispatch->retry = request->retry;
  dispatch->may_be_call = request->may_be_call;
  dispatch->retry_share = request->retry ? 1.0 : request->inherited_retry;
  dispatch->done = done;
  dispatch->user = user;
  cs_usec_t now = dispatcher_now (dispatcher);
  dispatch->deadline = now + request->deadline_remaining;
  dispatch->fingerprint = request->fingerprint;
  dispatch->queued.priority = request->priority;
  dispatch->queued.arrived_at = now;
  dispatch->queued.target_time = now + request->target_remaining;
  dispatch->queued.latency_target = request->latency_target;
  dispatch->queued.deadline = dispatch->deadline;
  dispatch->queued.expected_service_time = cs_service_times_of_route (
      &dispatcher->service_times, dispatch->route->str,
      cs_service_time_initial (request->latency_target));
  return dispatch;
}

cs_refusal_reason_t
cs_dispatcher_preview (cs_dispatcher_t *dispatcher,
                       const cs_dispatch_request_t *request, cs_usec_t *wait,
                       cs_usec_t *run_time)
{
  char *route = cs_str_dup (request->route);
  *run_time = cs_service_times_of_route (
      &dispatcher->service_times, route,
      cs_service_time_initial (request->latency_target));
  g_free (route);
  cs_server_capacity_t capacity
      = { .slots = dispatcher_usable_slots (dispatcher),
          .running = dispatcher->in_flight.length,
          .mean_service_time
          = cs_service_times_mean (&dispatcher->service_times, *run_time),
          .limit = &dispatcher->limit };
  /* It comes later, so it waits behind all that is queued now.  */
  cs_queued_request_t last = { .priority = INT64_MAX };
  *wait = cs_request_queue_expected_wait (&dispatcher->queue, &capacity, &last,
                                          dispatcher_now (dispatcher));
  if (dispatcher->stopping)
    return CS_REFUSED_STOPPING;
  if (dispatcher->server.state != CS_BACKEND_READY || dispatcher->evacuated)
    return CS_REFUSED_NO_SERVER;
  if (!cs_str_equal (request->service,
                     cs_str_of (dispatcher->server.report.service)))
    return CS_REFUSED_MISMATCH;
  if (request->retry && !takes_retries (dispatcher))
    return CS_REFUSED_RETRY_BUDGET;
  return CS_REFUSED_COUNT;
}

cs_dispatch_t *
cs_dispatcher_submit (cs_dispatcher_t *dispatcher,
                      const cs_dispatch_request_t *request,
                      cs_dispatch_done_t done, void *user)
{
  cs_usec_t wait = 0;
  cs_refusal_reason_t reason = CS_REFUSED_COUNT;
  cs_dispatch_t *dispatch = new_dispatch (dispatcher, request, done, user);
  cs_server_capacity_t capacity
      = { .slots = dispatcher_usable_slots (dispatcher),
          .running = dispatcher->in_flight.length,
          .mean_service_time
          = cs_service_times_mean (&dispatcher->service_times,
                                   dispatch->queued.expected_service_time),
          .limit = &dispatcher->limit };
  if (dispatcher->stopping)
    reason = CS_REFUSED_STOPPING;
  else if (dispatcher->server.state != CS_BACKEND_READY
           || dispatcher->evacuated)
    reason = CS_REFUSED_NO_SERVER;
  else if (!cs_str_equal (request->service,
                          cs_str_of (dispatcher->server.report.service))
           || !cs_str_equal (request->version,
                             cs_str_of (dispatcher->server.report.version)))
    reason = CS_REFUSED_MISMATCH;
  else if (candidate_is_stopped (dispatcher))
    reason = CS_REFUSED_CANDIDATE_STOPPED;
  else if (request->retry && !takes_retries (dispatcher))
    reason = CS_REFUSED_RETRY_BUDGET;
  else if (cs_request_queue_expected_wait (&dispatcher->queue, &capacity,
                                           &dispatch->queued,
                                           dispatcher_now (dispatcher))
           > request->wait_max)
    reason = CS_REFUSED_LONGER_WAIT;
  else if (!cs_request_queue_try_push (&dispatcher->queue, &dispatch->queued,
                                       &capacity, dispatcher_now (dispatcher),
                                       &wait))
    reason = CS_REFUSED_OVERLOADED;
  if (reason != CS_REFUSED_COUNT)
    {
      cs_counter_add (CS_C_SHED, 1);
      dispatcher_refuse (dispatch, reason, wait);
      return NULL;
    }
  dispatcher_schedule_fill (dispatcher);
  return dispatch;
}

bool
cs_dispatch_is_queued (const cs_dispatch_t *dispatch)
{
  return dispatch->state == DISPATCH_QUEUED
         || dispatch->state == DISPATCH_ISOLATED;
}

void
cs_dispatcher_cancel (cs_dispatcher_t *dispatcher, cs_dispatch_t *dispatch)
{
  dispatch->cancelled = true;
  if (cs_dispatch_is_queued (dispatch))
    {
      if (dispatch->state == DISPATCH_ISOLATED)
        g_queue_remove (&dispatcher->isolated, dispatch);
      else
        cs_request_queue_remove (&dispatcher->queue, &dispatch->queued);
      free_dispatch (dispatch);
      return;
    }
  if (dispatch->state == DISPATCH_UNANSWERED)
    return; /* It ends by itself.  */
  if (!dispatch->idempotent)
    return; /* Its effects must not be interrupted; it ends by itself.  */
  g_queue_remove (&dispatcher->in_flight, dispatch);
  dispatcher_drop_conn (dispatch->conn);
  crash_check_note_unanswered (dispatch);
  free_dispatch (dispatch);
  dispatcher_schedule_fill (dispatcher);
}
