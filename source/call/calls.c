/* Requests of callers at the node that received them: routing, placement,
   retries and the answer.  */
#include <string.h>

#include "answer-offers.h"
#include "workspaces.h"
#include "cardamom/header-names.h"
#include "cardamom/quarantine.h"
#include "cardamom/weighted-rr.h"

/* A request whose timeout is shorter than the longest one seen on its route by
   more than the longest divided by this comes from a caller that tries again:
   at their first attempt the timeouts of callers differ by less.  */
#define RETURNING_CALLER_DIVISOR 5
/* A call is refused once this many nodes have refused it as overloaded.  */
#define MAX_OVERLOAD_REFUSALS 3
/* A node without a budget for a retry is rarely alone: such a refusal counts
   as so many.  */
#define BUDGET_REFUSAL_WEIGHT 2
/* Timeout of a request without a deadline field, or with one that is invalid
   or larger.  */
#define DEFAULT_CALL_TIMEOUT (30 * CS_SEC)
/* At the deadline the outcome may still be on its way from the node.  */
#define DEADLINE_GRACE (30 * CS_MSEC)
/* Weight of one request in the moving average of a route's run time.  */
#define RUN_TIME_WEIGHT 0.1
/* This node has no configuration yet.  */
#define NO_CONFIG_RETRY_AFTER (300 * CS_MSEC)
/* No node was found, or the last refusal was neither for overload nor by the
   server itself.  Without a server, or with one that is stopping, another one
   may report soon.  */
#define NO_SERVER_RETRY_AFTER (150 * CS_MSEC)
/* A server shed the request although it had free slots: another one may take
   it.  */
#define SHED_RETRY_AFTER (50 * CS_MSEC)
/* No server may be reached, because of their places: those of a lost data
   centre, and operators, need seconds to bring one back.  */
#define NO_PLACE_RETRY_AFTER (1 * CS_SEC)
#define RETRY_AFTER_MIN (40 * CS_MSEC)
#define RETRY_AFTER_MAX (2 * CS_SEC)
#define RETRY_AFTER_PER_PRIORITY (30 * CS_MSEC) /* Per priority number.  */
/* Bytes of a field of a request that one log line holds.  */
#define LOGGED_TEXT_MAX ((size_t)200)

static void
drop_failed_answer (failed_answer_t *answer)
{
  if (!answer)
    return;
  g_free (answer->fields);
  if (answer->body)
    g_bytes_unref (answer->body);
  g_free (answer);
}

static void
on_timer_closed (uv_handle_t *handle)
{
  call_t *call = handle->data;
  drop_failed_answer (call->failed_answer);
  g_string_free (call->head, TRUE);
  if (call->body)
    g_bytes_unref (call->body);
  cs_snapshot_drop (call->traffic->ctx, call->snapshot);
  cs_snapshot_drop (call->traffic->ctx, call->newest);
  g_free (call);
}

static void
free_call (call_t *call)
{
  workspaces_end (call, call->may_have_run);
  answer_room_end (call);
  g_queue_unlink (&call->traffic->calls, &call->link);
  uv_close ((uv_handle_t *)&call->timer, on_timer_closed);
}

/* Answer EXCHANGE with STATUS and without a body, in the name of this node.
   RETRY_AFTER is the time after which the caller may try again; 0 sends no
   Retry-After field.  */
static void
refuse_exchange (cs_exchange_t *exchange, unsigned status,
                 cs_usec_t retry_after)
{
  GString *fields = g_string_new (NULL);
  cs_str_t id = cs_http1_message_field (&exchange->request,
                                        cs_header_names->attempt_id);
  if (id.data)
    g_string_append_printf (fields, "%s: %.*s\r\n",
                            cs_header_names->attempt_id, (int)id.len, id.data);
  if (retry_after > 0)
    g_string_append_printf (fields, "Retry-After: %.3f\r\n",
                            (double)retry_after / (double)CS_SEC);
  cs_exchange_answer (exchange, status, fields->str, CS_STR (""), false);
  g_string_free (fields, TRUE);
}

/* When a refused caller should try again: when a slot is expected to be free,
   the more urgent first, with jitter so that they do not return together.  */
static cs_usec_t
compute_retry_after (call_t *call)
{
  if (call->refusal_reason == CS_REFUSED_QUARANTINED)
    return CS_CRASH_RECORD_TTL_MS * CS_MSEC;
  if (call->refusal_reason == CS_REFUSED_KEYS_CLOSED
      || call->refusal_reason == CS_REFUSED_REGION
      || call->refusal_reason == CS_REFUSED_EVACUATED)
    return NO_PLACE_RETRY_AFTER;
  cs_usec_t wait
      = call->min_queue_delay + call->priority * RETRY_AFTER_PER_PRIORITY;
  if (call->min_queue_delay <= 0
      && call->refusal_reason == CS_REFUSED_BY_SERVER)
    wait += SHED_RETRY_AFTER;
  else if (call->min_queue_delay <= 0
           && call->refusal_reason != CS_REFUSED_OVERLOADED)
    wait += NO_SERVER_RETRY_AFTER;
  double spread = g_rand_double_range (call->traffic->ctx->random, 0.7, 1.3);
  return CLAMP ((cs_usec_t)((double)wait * spread), RETRY_AFTER_MIN,
                RETRY_AFTER_MAX);
}

/* The status that tells of a refusal of CALL.  */
static unsigned
refusal_status (const call_t *call)
{
  switch (call->refusal_reason)
    {
    case CS_REFUSED_KEY_UNKNOWN:
      return 401;
    case CS_REFUSED_OVER_CAP:
      return 429;
    default:
      return 503;
    }
}

/* Refuse CALL, which has not run and will not; the caller may come back AFTER
   that time.  */
static void
finish_refused_after (call_t *call, cs_usec_t after)
{
  cs_usec_t held = traffic_now (call->traffic) - call->arrived_at;
  unsigned status = refusal_status (call);
  cs_counter_add (CS_C_CALLS_NOT_RUN, 1);
  cs_event_log (
      CS_E_REFUSED,
      "id=%.*s route=%s service=%s workspace=%s reason=%s tried=%u "
      "held_ms=%.1f retry_after_ms=%.0f config=%" G_GINT64_FORMAT,
      (int)call->attempt_id.len, call->attempt_id.data, call->route->path,
      call->service, call->workspace ? call->workspace->name : "-",
      cs_refusal_reason_name (call->refusal_reason), call->tried_count,
      (double)held / 1e3, (double)after / 1e3, call->snapshot->version);
  refuse_exchange (call->exchange, status, status == 401 ? 0 : after);
  free_call (call);
}

static void
finish_refused (call_t *call)
{
  finish_refused_after (call, compute_retry_after (call));
}

static void
finish_answered (call_t *call, unsigned status, const char *fields,
                 GBytes *body)
{
  cs_counter_add (CS_C_CALLS_DONE, 1);
  cs_exchange_answer_bytes (call->exchange, status, fields, body, false);
  free_call (call);
}

/* End CALL, which may have run: with the answer of an attempt that failed at a
   server, if there is one; else with STATUS, and WHY goes to the log.  */
static void
finish_failed (call_t *call, unsigned status, const char *why)
{
  const failed_answer_t *answer = call->failed_answer;
  if (answer)
    {
      finish_answered (call, answer->status, answer->fields, answer->body);
      return;
    }
  call->may_have_run = true;
  cs_counter_add (CS_C_CALLS_UNKNOWN, 1);
  cs_event_log (CS_E_FAILED,
                "id=%.*s route=%s service=%s status=%u why=\"%s\" node=%s "
                "arrivals=%u held_ms=%.1f config=%" G_GINT64_FORMAT,
                (int)call->attempt_id.len, call->attempt_id.data,
                call->route->path, call->service, status, why,
                call->peer ? call->peer->info.name : "-",
                call->server_attempts,
                (double)(traffic_now (call->traffic) - call->arrived_at) / 1e3,
                call->snapshot->version);
  refuse_exchange (call->exchange, status, 0);
  free_call (call);
}

static void
on_local_outcome (void *user, const cs_outcome_t *outcome)
{
  call_t *call = user;
  call->local_dispatch = NULL;
  call_handle_outcome (call, outcome);
}

/* The body of OUTCOME, with a reference for the caller; NULL if it is
   empty.  */
static GBytes *
keep_body (const cs_outcome_t *outcome)
{
  if (outcome->body_bytes)
    return g_bytes_ref (outcome->body_bytes);
  return outcome->body.len
             ? g_bytes_new (outcome->body.data, outcome->body.len)
             : NULL;
}

/* What the node beside the server gets of CALL, which is sent now.  */
static cs_dispatch_request_t
describe_request (const call_t *call, const peer_t *peer)
{
  cs_usec_t now = traffic_now (call->traffic);
  const http_parser *parser = &call->exchange->request.parser;
  return (cs_dispatch_request_t){ .id = call->attempt_id,
                                  .route = cs_str_of (call->route->path),
                                  .service = cs_str_of (call->service),
                                  .version = cs_str_of (peer->info.version),
                                  .head = cs_str_of_gstring (call->head),
                                  .body = cs_str_of_bytes (call->body),
                                  .body_bytes = call->body,
                                  .priority = call->priority,
                                  .target_remaining = call->target_time - now,
                                  .latency_target = call->latency_target,
                                  .deadline_remaining = call->deadline - now,
                                  .sent_at = now,
                                  .wait_max = call->wait_max,
                                  .idempotent = call->route->idempotent,
                                  .method_is_head
                                  = parser->method == HTTP_HEAD,
                                  .retry = call_is_retry (call),
                                  .inherited_retry = call->inherited_retry,
                                  .fingerprint = call->fingerprint,
                                  .warmup_per_s = call_warmup_rate (call) };
}

/* Send CALL's job to its peer, another node.  */
static void
send_to_peer (call_t *call)
{
  peer_t *peer = call->peer;
  cs_dispatch_request_t request = describe_request (call, peer);
  cs_pack_t pack;
  size_t split = 0;
  bool large = request.body.len > CS_SMALL_BODY_MAX;
  cs_pack_init (&pack);
  cs_dispatch_request_pack (&pack, call->job_number, &request,
                            large ? &split : NULL);
  if (!large)
    peer_send (peer, &pack);
  else if (peer->stream)
    cs_stream_send_split (peer->stream, cs_pack_payload (&pack), split,
                          call->body);
  cs_pack_clear (&pack);
}

/* Ask the peer of CALL whether its body may come.  */
static void
ask_for_body (call_t *call)
{
  cs_dispatch_request_t request = describe_request (call, call->peer);
  cs_pack_t pack;
  cs_pack_init (&pack);
  cs_body_ask_pack (&pack, call->job_number, &request);
  peer_send (call->peer, &pack);
  cs_pack_clear (&pack);
  call->awaits_go = true;
}

void
call_send_body (call_t *call)
{
  if (!call->awaits_go)
    return;
  call->awaits_go = false;
  send_to_peer (call);
}

static void
send_job (call_t *call, peer_t *peer)
{
  cs_traffic_t *traffic = call->traffic;
  call_note_sent (call, peer);
  call->peer = peer;
  call->peer_boot = peer->hello_boot;
  call->server_started_ms = peer->info.server_started_ms;
  call->job_number = ++traffic->last_job_number;
  if (call->tried_count < MAX_TRIED_NODES)
    call->tried[call->tried_count++] = peer;
  if (peer->self)
    {
      cs_dispatch_request_t request = describe_request (call, peer);
      traffic_attribute_retry (traffic, &request, traffic->self->info.service);
      cs_dispatch_t *dispatch = cs_dispatcher_submit (
          traffic->dispatcher, &request, on_local_outcome, call);
      /* NULL: refused at once; CALL is freed by now or sent to another
         node.  */
      if (dispatch)
        call->local_dispatch = dispatch;
      return;
    }
  g_hash_table_insert (peer->calls, &call->job_number, call);
  /* The nodes that saw the crashes have sent their records on other
     connections, which may come later.  */
  crash_records_send_of_request (peer, call->fingerprint);
  if (call->body
      && cs_link_must_ask ((double)peer->info.link_mbps,
                           g_bytes_get_size (call->body)))
    ask_for_body (call);
  else
    send_to_peer (call);
}

/* End CALL, which gets no further attempt: as not run, unless an earlier one
   may have run; it has failed then, and WHY goes to the log.  */
static void
finish_unserved (call_t *call, const char *why)
{
  if (call->may_have_run)
    finish_failed (call, 502, why);
  else
    finish_refused (call);
}

/* End CALL, whose request has crashed servers.  */
static void
finish_quarantined (call_t *call)
{
  call->refusal_reason = CS_REFUSED_QUARANTINED;
  finish_unserved (call, "it has crashed servers");
}

/* Send CALL to the node that placement chooses, or end it.  */
static void
dispatch_call (call_t *call)
{
  cs_usec_t now = traffic_now (call->traffic);
  if (cs_crash_history_trust (call->traffic->crash_history, call->fingerprint)
      == CS_REQUEST_QUARANTINED)
    {
      cs_counter_add (CS_C_QUARANTINED, 1);
      finish_quarantined (call);
      return;
    }
  call->peer = NULL;
  call_update_newest (call);
  if (workspaces_key_is_gone (call))
    {
      call->refusal_reason = CS_REFUSED_KEY_UNKNOWN;
      finish_unserved (call, "its key was taken away");
      return;
    }
  peer_t *peer = now < call->deadline && call->tried_count < MAX_TRIED_NODES
                         && call->overload_refusals < MAX_OVERLOAD_REFUSALS
                     ? call_choose_peer (call)
                     : NULL;
  if (peer)
    send_job (call, peer);
  else
    finish_unserved (call, "no server for a retry");
}

/* Whether CALL has the time for another run.  */
static bool
has_time_for_retry (const call_t *call)
{
  return traffic_now (call->traffic) + call_expected_run_time (call)
         <= call->deadline;
}

/* Whether CALL may be sent to another server.  The node beside that server
   charges the retry budget.  */
static bool
may_retry (const call_t *call)
{
  return call->server_attempts < MAX (call->route->max_attempts, 1)
         && has_time_for_retry (call);
}

static void
retry_call (call_t *call, const char *why)
{
  cs_counter_add (CS_C_RETRIES, 1);
  cs_event_log (
      CS_E_REPEATED, "id=%.*s route=%s why=%s node=%s arrivals=%u",
      (int)call->attempt_id.len, call->attempt_id.data, call->route->path, why,
      call->peer ? call->peer->info.name : "-", call->server_attempts);
  call->wants_candidate = false;
  dispatch_call (call);
}

/* Send CALL, whose connection to the server was stale, to the same server once
   more.  This counts as the same attempt.  */
static void
send_again (call_t *call)
{
  peer_t *peer = call->peer;
  cs_counter_add (CS_C_RETRIES, 1);
  cs_event_log (CS_E_REPEATED,
                "id=%.*s route=%s why=stale node=%s arrivals=%u",
                (int)call->attempt_id.len, call->attempt_id.data,
                call->route->path, peer->info.name, call->server_attempts);
  call->sent_again = true;
  call->wait_max = INT64_MAX;
  call->server_attempts--;
  send_job (call, peer);
}

static void
handle_refusal (call_t *call, const cs_outcome_t *outcome)
{
  call->min_queue_delay
      = call->was_refused ? MIN (call->min_queue_delay, outcome->expected_wait)
                          : outcome->expected_wait;
  call->was_refused = true;
  call->refusal_reason = outcome->reason;
  /* A cold server refuses what is over its rate, however much room the others
     have.  */
  bool cold = outcome->load.cold_left > 0;
  call->redirects += !cold && outcome->reason == CS_REFUSED_LONGER_WAIT;
  if (outcome->reason == CS_REFUSED_OVERLOADED)
    call->overload_refusals += !cold;
  else if (outcome->reason == CS_REFUSED_RETRY_BUDGET)
    call->overload_refusals += BUDGET_REFUSAL_WEIGHT;
  if (outcome->reached_server)
    {
      if (may_retry (call))
        retry_call (call, "shed");
      else
        finish_unserved (call, "no server for a retry");
      return;
    }
  if (outcome->reason == CS_REFUSED_QUARANTINED)
    finish_quarantined (call);
  else
    dispatch_call (call);
}

static void
keep_failed_answer (call_t *call, const cs_outcome_t *outcome)
{
  drop_failed_answer (call->failed_answer);
  call->failed_answer = g_new (failed_answer_t, 1);
  *call->failed_answer
      = (failed_answer_t){ .status = outcome->status,
                           .fields = cs_str_dup (outcome->fields),
                           .body = keep_body (outcome) };
}

static void
handle_answer (call_t *call, const cs_outcome_t *outcome)
{
  peer_t *peer = call->peer;
  cs_running_mean_add (&call->route_state->run_time, RUN_TIME_WEIGHT,
                       outcome->service_time);
  cs_service_times_add (&peer->run_times, call->route->path,
                        outcome->service_time);
  cs_failure_rate_t *failures
      = &service_pool (call->traffic, call->service)->failures;
  bool failed = outcome->status >= 500;
  cs_failure_rate_note (failures, failed);
  if (failed && call->route->idempotent
      && cs_failure_rate_retry_may_help (failures) && may_retry (call))
    {
      keep_failed_answer (call, outcome);
      retry_call (call, "failed");
      return;
    }
  char *fields = cs_str_dup (outcome->fields);
  GBytes *body = keep_body (outcome);
  finish_answered (call, outcome->status, fields, body);
  if (body)
    g_bytes_unref (body);
  g_free (fields);
}

void
call_handle_outcome (call_t *call, const cs_outcome_t *outcome)
{
  call->awaits_go = false;
  answer_room_end (call);
  call->server_attempts += outcome->reached_server;
  if (outcome->retries_strained)
    cs_dispatcher_hold_retries (call->traffic->dispatcher);
  call->may_have_run |= outcome->kind != CS_OUTCOME_REFUSED;
  /* That node tells all nodes so, which may not get through.  */
  if (outcome->server_leaving)
    peer_note_server_leaving (call->peer, call->server_started_ms);
  switch (outcome->kind)
    {
    case CS_OUTCOME_ANSWERED:
      handle_answer (call, outcome);
      break;
    case CS_OUTCOME_REFUSED:
      handle_refusal (call, outcome);
      break;
    case CS_OUTCOME_UNKNOWN:
      call_update_newest (call);
      if (outcome->stale_connection && !call->sent_again
          && call_peer_takes_requests (call, call->peer)
          && has_time_for_retry (call))
        send_again (call);
      else if (call->route->idempotent && may_retry (call))
        retry_call (call, "broken");
      else if (traffic_now (call->traffic) >= call->deadline)
        finish_failed (call, 504, "no answer by the limit");
      else
        finish_failed (call, 502, "broken at the server");
    }
}

void
call_query_outcome (call_t *call, peer_t *peer)
{
  cs_pack_t pack;
  if (peer->hello_boot != call->peer_boot)
    {
      /* The process that knew the outcome is gone.  */
      g_hash_table_remove (peer->unresolved_calls, &call->job_number);
      finish_failed (call, 502, "the node beside the server ended");
      return;
    }
  cs_pack_init (&pack);
  cs_pack_array (&pack, 3);
  cs_pack_int64 (&pack, CS_FRAME_QUERY_OUTCOME);
  cs_pack_uint64 (&pack, call->job_number);
  cs_pack_str (&pack, call->attempt_id);
  peer_send (peer, &pack);
  cs_pack_clear (&pack);
}

void
call_stream_lost (call_t *call, peer_t *peer)
{
  answer_room_end (call);
  if (call->awaits_go)
    {
      /* Nothing but a question was sent.  */
      call->awaits_go = false;
      dispatch_call (call);
      return;
    }
  if (!call->route->idempotent)
    {
      /* It may be running: only that node knows.  */
      g_hash_table_insert (peer->unresolved_calls, &call->job_number, call);
      return;
    }
  call->server_attempts++;
  call->may_have_run = true;
  if (may_retry (call))
    retry_call (call, "stream");
  else
    finish_failed (call, 502, "stream lost");
}

/* Cancel the attempt of CALL that is in flight, because nobody waits for its
   result any more.  */
static void
cancel_attempt (call_t *call)
{
  peer_t *peer = call->peer;
  if (call->local_dispatch)
    {
      cs_dispatcher_cancel (call->traffic->dispatcher, call->local_dispatch);
      call->local_dispatch = NULL;
    }
  if (!peer || peer->self)
    return;
  bool offered = call->offered_bytes > 0;
  answer_room_end (call);
  g_hash_table_remove (peer->unresolved_calls, &call->job_number);
  if (!g_hash_table_remove (peer->calls, &call->job_number) && !offered)
    return;
  peer_send_number (peer, CS_FRAME_CANCEL, call->job_number);
}

/* Give CALL up.  REASON is that of the refusal if it has certainly not run;
   else WHY goes to the log.  */
static void
give_up (call_t *call, cs_refusal_reason_t reason, const char *why)
{
  /* A request that was sent nowhere, or that is still in this node's queue and
     is removed from it, has not run.  */
  bool not_run = !call->peer || call->awaits_go
                 || (call->local_dispatch
                     && cs_dispatch_is_queued (call->local_dispatch));
  cancel_attempt (call);
  if (not_run && !call->may_have_run)
    {
      call->refusal_reason = reason;
      finish_refused (call);
    }
  else
    finish_failed (call, 504, why);
}

static void
on_deadline (uv_timer_t *timer)
{
  give_up (timer->data, CS_REFUSED_EXPIRED, "no answer by the limit");
}

void
calls_end_all (cs_traffic_t *traffic)
{
  call_t *call;
  while ((call = g_queue_peek_head (&traffic->calls)))
    give_up (call, CS_REFUSED_STOPPING, "this node stops");
}

void
calls_caller_disconnected (void *user, cs_exchange_t *exchange)
{
  call_t *call = exchange->user;
  (void)user;
  if (!call)
    return;
  call->may_have_run |= call->peer != NULL && !call->awaits_go;
  cancel_attempt (call);
  free_call (call);
}

static void
choose_version (call_t *call)
{
  pool_t *pool = service_pool (call->traffic, call->service);
  version_split_state_t *split = &pool->split;
  if (!split->candidate[0] || split->candidate_permille <= 0)
    return;
  int64_t weights[2] = { CS_ALL_TRAFFIC_PERMILLE - split->candidate_permille,
                         split->candidate_permille };
  call->wants_candidate
      = cs_weighted_rr_next (weights, split->split_credit, 2) == 1;
}

static void
set_deadlines (call_t *call, const cs_http1_message_t *request)
{
  const cs_route_t *route = call->route;
  cs_usec_t timeout
      = cs_http1_message_field_number (
            request, cs_header_names->time_remaining,
            DEFAULT_CALL_TIMEOUT / CS_MSEC, DEFAULT_CALL_TIMEOUT / CS_MSEC)
        * CS_MSEC;
  /* A caller that tries again has less time left than at first; the time that
     it has spent counts against its latency target too.  */
  cs_usec_t elapsed = 0;
  call->route_state->longest_timeout
      = MAX (call->route_state->longest_timeout, timeout);
  if (call->route_state->longest_timeout - timeout
      > call->route_state->longest_timeout / RETURNING_CALLER_DIVISOR)
    elapsed = call->route_state->longest_timeout - timeout;
  if (route->timeout_ms > 0)
    timeout = MIN (timeout, route->timeout_ms * CS_MSEC);
  call->arrived_at = traffic_now (call->traffic);
  call->deadline = call->arrived_at + timeout;
  call->target_time = call->deadline;
  if (route->latency_target_ms > 0)
    call->target_time
        = MIN (call->deadline, call->arrived_at - elapsed
                                   + route->latency_target_ms * CS_MSEC);
  call->latency_target = route->latency_target_ms > 0
                             ? route->latency_target_ms * CS_MSEC
                             : call->deadline - call->arrived_at;
}

void
call_start_charged (call_t *call)
{
  dispatch_call (call);
}

void
call_refuse_uncharged (call_t *call, cs_refusal_reason_t reason,
                       cs_usec_t retry_after)
{
  double spread = g_rand_double_range (call->traffic->ctx->random, 1.0, 1.3);
  call->refusal_reason = reason;
  cs_counter_add (CS_C_OVER_CAP, reason == CS_REFUSED_OVER_CAP);
  finish_refused_after (call, CLAMP ((cs_usec_t)((double)retry_after * spread),
                                     RETRY_AFTER_MIN, RETRY_AFTER_MAX));
}

/* Send CALL for the first time, unless this node stops before it is certain to
   have ended; or once it has a token, if its workspace has a cap.  */
static void
start_call (call_t *call)
{
  const cs_traffic_t *traffic = call->traffic;
  if (!cs_stop_plan_admits (&traffic->stop, traffic_now (traffic),
                            call->deadline + DEADLINE_GRACE))
    {
      call->refusal_reason = CS_REFUSED_STOPPING;
      finish_refused (call);
    }
  else if (workspaces_charge (call))
    dispatch_call (call);
}

/* Answer a request that SNAPSHOT has no route for.  */
static void
refuse_without_route (cs_exchange_t *exchange, const cs_snapshot_t *snapshot)
{
  const cs_http1_message_t *request = &exchange->request;
  cs_str_t id = cs_http1_message_field (request, cs_header_names->attempt_id);
  cs_str_t host = cs_http1_message_field (request, "host");
  cs_counter_add (CS_C_NO_ROUTE, 1);
  cs_event_log (CS_E_NO_ROUTE,
                "id=%.*s host=\"%.*s\" path=\"%.*s\" "
                "config=%" G_GINT64_FORMAT,
                (int)MIN (id.len, LOGGED_TEXT_MAX), id.data,
                (int)MIN (host.len, LOGGED_TEXT_MAX), host.data,
                (int)MIN (request->request_target.len, LOGGED_TEXT_MAX),
                request->request_target.data, snapshot->version);
  refuse_exchange (exchange, 404, 0);
}

void
calls_request_received (void *user, cs_exchange_t *exchange)
{
  cs_traffic_t *traffic = user;
  const cs_http1_message_t *request = &exchange->request;
  cs_counter_add (CS_C_CALLS, 1);
  cs_snapshot_t *snapshot = traffic_acquire_snapshot (traffic);
  if (!snapshot)
    {
      refuse_exchange (exchange, 503, NO_CONFIG_RETRY_AFTER);
      return;
    }
  const cs_route_t *route = call_find_route (snapshot, request);
  if (!route)
    {
      refuse_without_route (exchange, snapshot);
      cs_snapshot_drop (traffic->ctx, snapshot);
      return;
    }
  call_t *call = g_new0 (call_t, 1);
  call->traffic = traffic;
  call->exchange = exchange;
  call->snapshot = snapshot;
  call->route = route;
  call->route_state = call_route_state (traffic, route);
  call->service = call_pick_service (call->route_state, route);
  cs_refusal_reason_t refusal = workspaces_admit (call);
  call->priority = call->workspace && call->workspace->has_priority
                       ? call->workspace->priority
                       : route->priority;
  call->head = call_head_for_server (call);
  call->attempt_id
      = cs_http1_message_field (request, cs_header_names->attempt_id);
  call->fingerprint = call_fingerprint (request);
  call->body = cs_exchange_take_body (exchange);
  call->refusal_reason = CS_REFUSED_NO_SERVER;
  exchange->user = call;
  call->link.data = call;
  call->room_link.data = call;
  g_queue_push_tail_link (&traffic->calls, &call->link);
  set_deadlines (call, request);
  choose_version (call);
  call->inherited_retry = cs_dispatcher_retry_share (traffic->dispatcher);
  uv_timer_init (&traffic->loop, &call->timer);
  call->timer.data = call;
  uv_timer_start (
      &call->timer, on_deadline,
      (uint64_t)((call->deadline - call->arrived_at + DEADLINE_GRACE)
                 / CS_MSEC),
      0);
  if (refusal != CS_REFUSED_COUNT)
    {
      cs_counter_add (refusal == CS_REFUSED_KEY_UNKNOWN ? CS_C_UNAUTHORIZED
                                                        : CS_C_KEYS_CLOSED,
                      1);
      call->refusal_reason = refusal;
      finish_refused (call);
    }
  else if (!route->idempotent && cs_exchange_has_earlier_pending (exchange))
    exchange->notify_at_front = true;
  else
    start_call (call);
}

/* A request that is not idempotent starts only when all requests before it on
   its connection are answered: if one of those closed the connection, the
   caller would send it again.  */
void
calls_at_front (void *user, cs_exchange_t *exchange)
{
  (void)user;
  start_call (exchange->user);
}
