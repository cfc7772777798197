/* Requests of callers at the node that took them: route, placement, second
   sends, the answer.  */
#include <string.h>

#include "cardamom/headers.h"
#include "call.h"
#include "cardamom/rotation.h"

/* Callers differ in their patience by less than this part of it; one that has
   less time left has been here before.  */
#define AGAIN_PART 5
#define FULL_MAX 3 /* Nodes without room after which a call is refused.  */
#define LIMIT_DEFAULT (30 * CS_SEC) /* A caller that gives no deadline.  */
/* Past its limit the outcome may still be on its way.  */
#define LIMIT_GRACE (30 * CS_MSEC)
#define WORK_WEIGHT 0.1
/* Without a configuration a caller is asked to come back after this.  */
#define START_RETRY_AFTER (300 * CS_MSEC)
/* Without a server, or with one that leaves, the next report may tell.  */
#define GONE_RETRY_AFTER (150 * CS_MSEC)
/* A server turned it away with slots free: the next one may take it.  */
#define SHED_RETRY_AFTER (50 * CS_MSEC)
#define RETRY_AFTER_MIN (40 * CS_MSEC)
#define RETRY_AFTER_MAX (2 * CS_SEC)
#define RETRY_AFTER_STEP (30 * CS_MSEC) /* For each rank of priority.  */

static void
end_timer (uv_handle_t *handle)
{
  call_t *call = handle->data;
  g_string_free (call->head, TRUE);
  cs_snapshot_drop (call->traffic->ctx, call->snapshot);
  g_free (call);
}

static void
free_call (call_t *call)
{
  call->traffic->calls--;
  uv_close ((uv_handle_t *)&call->timer, end_timer);
}

/* Answer with a status of the node's own.  */
static void
refuse_exchange (cs_exchange_t *exchange, unsigned status,
                 cs_usec_t retry_after)
{
  GString *fields = g_string_new (NULL);
  cs_str_t id = cs_message_field (&exchange->request, cs_headers->attempt);
  if (id.data)
    g_string_append_printf (fields, "%s: %.*s\r\n", cs_headers->attempt,
                            (int)id.len, id.data);
  if (retry_after > 0)
    g_string_append_printf (fields, "Retry-After: %.3f\r\n",
                            (double)retry_after / (double)CS_SEC);
  cs_exchange_answer (exchange, status, fields->str, CS_STR (""), false);
  g_string_free (fields, TRUE);
}

/* When one that is turned away should come back: when a slot is expected to
   be free, the more urgent first, and not all at the same moment.  */
static cs_usec_t
retry_after (call_t *call)
{
  cs_usec_t wait = call->wait + call->route->priority * RETRY_AFTER_STEP;
  if (call->wait <= 0 && call->reason == CS_REFUSED_SHED)
    wait += SHED_RETRY_AFTER;
  else if (call->wait <= 0 && call->reason != CS_REFUSED_FULL)
    wait += GONE_RETRY_AFTER;
  double spread = g_rand_double_range (call->traffic->ctx->random, 0.7, 1.3);
  return CLAMP ((cs_usec_t)((double)wait * spread), RETRY_AFTER_MIN,
                RETRY_AFTER_MAX);
}

static void
end_refused (call_t *call)
{
  cs_usec_t held = traffic_now (call->traffic) - call->arrived;
  cs_usec_t after = retry_after (call);
  cs_count (CS_C_CALLS_NOT_RUN, 1);
  cs_event (CS_E_REFUSED,
            "id=%.*s route=%s service=%s reason=%s tried=%u held_ms=%.1f "
            "retry_after_ms=%.0f",
            (int)call->id.len, call->id.data, call->route->path, call->service,
            cs_refused_name (call->reason), call->tries, (double)held / 1e3,
            (double)after / 1e3);
  refuse_exchange (call->exchange, 503, after);
  free_call (call);
}

static void
end_failed (call_t *call, unsigned status, const char *why)
{
  cs_count (CS_C_CALLS_UNKNOWN, 1);
  cs_event (CS_E_FAILED,
            "id=%.*s route=%s service=%s status=%u why=\"%s\" node=%s "
            "arrivals=%u held_ms=%.1f",
            (int)call->id.len, call->id.data, call->route->path, call->service,
            status, why, call->peer ? call->peer->member.name : "-",
            call->arrivals,
            (double)(traffic_now (call->traffic) - call->arrived) / 1e3);
  refuse_exchange (call->exchange, status, 0);
  free_call (call);
}

static void
end_answered (call_t *call, const cs_outcome_t *outcome)
{
  char *fields = cs_str_dup (outcome->fields);
  cs_count (CS_C_CALLS_DONE, 1);
  call->exchange->unframed = outcome->unframed;
  cs_exchange_answer (call->exchange, outcome->status, fields, outcome->body,
                      false);
  g_free (fields);
  free_call (call);
}

static void
on_local_done (void *user, const cs_outcome_t *outcome)
{
  call_t *call = user;
  call->run = NULL;
  call_outcome (call, outcome);
}

static void
send_job (call_t *call, peer_t *peer)
{
  cs_traffic_t *t = call->traffic;
  cs_usec_t now = traffic_now (t);
  const http_parser *parser = &call->exchange->request.parser;
  cs_job_t job = { .id = call->id,
                   .route = cs_str_of (call->route->path),
                   .service = cs_str_of (call->service),
                   .version = cs_str_of (peer->member.version),
                   .head = cs_str_of_gstring (call->head),
                   .body = cs_str_of_gstring (call->exchange->request.body),
                   .priority = call->route->priority,
                   .target_left = call->target - now,
                   .full_target = call->full_target,
                   .limit_left = call->limit - now,
                   .idempotent = call->route->idempotent,
                   .head_only = parser->method == HTTP_HEAD };
  call->peer = peer;
  call->boot = peer->greeted_boot;
  call->number = ++t->numbers;
  if (call->tries < TRIED_MAX)
    call->tried[call->tries++] = peer;
  if (peer->self)
    {
      cs_task_t *run = cs_runner_submit (t->runner, &job, on_local_done, call);
      /* CALL is gone, or with another node, when it was refused at once.  */
      if (run)
        call->run = run;
      return;
    }
  cs_pack_t pack;
  cs_pack_init (&pack);
  cs_job_pack (&pack, call->number, &job);
  g_hash_table_insert (peer->calls, &call->number, call);
  peer_send (peer, &pack);
  cs_pack_clear (&pack);
}

/* Send CALL where it ends soonest, or refuse it: it has not run.  */
static void
dispatch (call_t *call)
{
  cs_usec_t now = traffic_now (call->traffic);
  call->peer = NULL;
  peer_t *peer
      = now < call->limit && call->tries < TRIED_MAX && call->fulls < FULL_MAX
            ? call_choose_peer (call)
            : NULL;
  if (peer)
    send_job (call, peer);
  else
    end_refused (call);
}

/* Whether one more arrival at a server is allowed for CALL.  */
static bool
may_repeat (call_t *call)
{
  cs_traffic_t *t = call->traffic;
  pool_t *pool = pool_of (t, call->service);
  cs_usec_t now = traffic_now (t);
  int64_t most = MAX (call->route->max_attempts, 1);
  if (call->arrivals >= most || now + call_work (call) > call->limit)
    return false;
  return cs_budget_repeat (&pool->budget, &t->budget,
                           g_hash_table_size (t->peers), now);
}

static void
repeat (call_t *call, const char *why)
{
  cs_count (CS_C_RETRIES, 1);
  cs_event (CS_E_REPEATED, "id=%.*s route=%s why=%s node=%s arrivals=%u",
            (int)call->id.len, call->id.data, call->route->path, why,
            call->peer ? call->peer->member.name : "-", call->arrivals);
  call->wants_trial = false;
  dispatch (call);
}

static void
take_refusal (call_t *call, const cs_outcome_t *outcome)
{
  call->wait = call->refused ? MIN (call->wait, outcome->wait) : outcome->wait;
  call->refused = true;
  call->reason = outcome->reason;
  call->fulls += outcome->reason == CS_REFUSED_FULL;
  if (outcome->arrived && outcome->reason != CS_REFUSED_OTHER)
    {
      if (may_repeat (call))
        repeat (call, "shed");
      else
        end_refused (call);
      return;
    }
  dispatch (call);
}

static void
take_answer (call_t *call, const cs_outcome_t *outcome)
{
  peer_t *peer = call->peer;
  cs_mean_note (&call->state->work, WORK_WEIGHT, outcome->ran);
  cs_speed_note (&peer->speed, call->route->path, outcome->ran);
  cs_budget_t *budget = &pool_of (call->traffic, call->service)->budget;
  bool failed = outcome->status >= 500;
  cs_budget_ended (budget, failed);
  if (failed && call->route->idempotent && cs_budget_may_help (budget)
      && may_repeat (call))
    {
      repeat (call, "failed");
      return;
    }
  end_answered (call, outcome);
}

void
call_outcome (call_t *call, const cs_outcome_t *outcome)
{
  call->arrivals += outcome->arrived;
  switch (outcome->kind)
    {
    case CS_OUTCOME_ANSWERED:
      take_answer (call, outcome);
      break;
    case CS_OUTCOME_REFUSED:
      take_refusal (call, outcome);
      break;
    case CS_OUTCOME_BROKEN:
      if (call->route->idempotent && may_repeat (call))
        repeat (call, "broken");
      else if (traffic_now (call->traffic) >= call->limit)
        end_failed (call, 504, "no answer by the limit");
      else
        end_failed (call, 502, "broken at the server");
    }
}

void
call_send_ask (call_t *call, peer_t *peer)
{
  cs_pack_t pack;
  if (peer->greeted_boot != call->boot)
    {
      /* Who could tell is gone.  */
      g_hash_table_remove (peer->asked, &call->number);
      end_failed (call, 502, "the node beside the server ended");
      return;
    }
  cs_pack_init (&pack);
  cs_pack_array (&pack, 3);
  cs_pack_number (&pack, CS_FRAME_ASK);
  cs_pack_unsigned (&pack, call->number);
  cs_pack_str (&pack, call->id);
  peer_send (peer, &pack);
  cs_pack_clear (&pack);
}

void
call_stranded (call_t *call, peer_t *peer)
{
  if (!call->route->idempotent)
    {
      /* It may run: only that node can tell.  */
      g_hash_table_insert (peer->asked, &call->number, call);
      return;
    }
  call->arrivals++;
  if (may_repeat (call))
    repeat (call, "stream");
  else
    end_failed (call, 502, "stream lost");
}

/* Tell the node that works on CALL that nobody waits any more.  */
static void
call_off (call_t *call)
{
  peer_t *peer = call->peer;
  cs_pack_t pack;
  if (call->run)
    {
      cs_runner_cancel (call->traffic->runner, call->run);
      call->run = NULL;
    }
  if (!peer || peer->self)
    return;
  g_hash_table_remove (peer->asked, &call->number);
  if (!g_hash_table_remove (peer->calls, &call->number))
    return;
  cs_pack_init (&pack);
  cs_pack_array (&pack, 2);
  cs_pack_number (&pack, CS_FRAME_CANCEL);
  cs_pack_unsigned (&pack, call->number);
  peer_send (peer, &pack);
  cs_pack_clear (&pack);
}

static void
on_limit (uv_timer_t *timer)
{
  call_t *call = timer->data;
  /* What still waits here is taken out of the queue and has not run.  */
  bool waits = call->run && cs_task_is_waiting (call->run);
  call_off (call);
  if (waits)
    {
      call->reason = CS_REFUSED_EXPIRED;
      end_refused (call);
    }
  else
    end_failed (call, 504, "no answer by the limit");
}

void
calls_left (void *user, cs_exchange_t *exchange)
{
  call_t *call = exchange->user;
  (void)user;
  if (!call)
    return;
  call_off (call);
  free_call (call);
}

static void
choose_version (call_t *call)
{
  pool_t *pool = pool_of (call->traffic, call->service);
  version_t *v = &pool->version;
  if (!v->trial[0] || v->share_permille <= 0)
    return;
  int64_t weights[2] = { CS_SHARE_ONE - v->share_permille, v->share_permille };
  call->wants_trial = cs_rotation_next (weights, v->credit, 2) == 1;
}

static cs_snapshot_t *
take_snapshot (cs_traffic_t *t)
{
  rcu_read_lock ();
  cs_snapshot_t *snapshot = rcu_dereference (*t->published);
  if (snapshot)
    cs_snapshot_keep (snapshot);
  rcu_read_unlock ();
  return snapshot;
}

static void
set_times (call_t *call, const cs_message_t *request)
{
  const cs_route_t *route = call->route;
  cs_usec_t limit
      = cs_message_number (request, cs_headers->deadline,
                           LIMIT_DEFAULT / CS_MSEC, LIMIT_DEFAULT / CS_MSEC)
        * CS_MSEC;
  /* A caller that comes again has less time left than at first, and has lost
     as much of the time to its target.  */
  cs_usec_t elapsed = 0;
  call->state->budget = MAX (call->state->budget, limit);
  if (call->state->budget - limit > call->state->budget / AGAIN_PART)
    elapsed = call->state->budget - limit;
  if (route->timeout_ms > 0)
    limit = MIN (limit, route->timeout_ms * CS_MSEC);
  call->arrived = traffic_now (call->traffic);
  call->limit = call->arrived + limit;
  call->target = call->limit;
  if (route->target_ms > 0)
    call->target = MIN (call->limit,
                        call->arrived - elapsed + route->target_ms * CS_MSEC);
  call->full_target = route->target_ms > 0 ? route->target_ms * CS_MSEC
                                           : call->limit - call->arrived;
}

/* The backend server beside this node calls through it, as clients do, and
   nothing tells them apart: each request for another service may be made by a
   run of the server's own.  */
static void
note_request (call_t *call)
{
  cs_traffic_t *t = call->traffic;
  const char *own = t->self->member.service;
  double part = 0;
  if (own[0] && strcmp (own, call->service) != 0)
    part = cs_budget_part (&pool_of (t, own)->budget, &t->budget,
                           call->arrived);
  cs_budget_request (&pool_of (t, call->service)->budget, &t->budget, part,
                     call->arrived);
}

void
calls_request (void *user, cs_exchange_t *exchange)
{
  cs_traffic_t *t = user;
  const cs_message_t *request = &exchange->request;
  cs_count (CS_C_CALLS, 1);
  cs_snapshot_t *snapshot = take_snapshot (t);
  if (!snapshot)
    {
      refuse_exchange (exchange, 503, START_RETRY_AFTER);
      return;
    }
  const cs_route_t *route = call_route_of (snapshot, request);
  if (!route)
    {
      cs_count (CS_C_NO_ROUTE, 1);
      refuse_exchange (exchange, 404, 0);
      cs_snapshot_drop (t->ctx, snapshot);
      return;
    }
  call_t *call = g_new0 (call_t, 1);
  call->traffic = t;
  call->exchange = exchange;
  call->snapshot = snapshot;
  call->route = route;
  call->state = call_state_of (t, route);
  call->service = call_service_for (call->state, route);
  call->head = call_head_for_server (t, request);
  call->id = cs_message_field (request, cs_headers->attempt);
  call->reason = CS_REFUSED_GONE;
  exchange->user = call;
  t->calls++;
  set_times (call, request);
  choose_version (call);
  note_request (call);
  uv_timer_init (&t->loop, &call->timer);
  call->timer.data = call;
  uv_timer_start (
      &call->timer, on_limit,
      (uint64_t)((call->limit - call->arrived + LIMIT_GRACE) / CS_MSEC), 0);
  if (!route->idempotent && cs_exchange_is_behind (exchange))
    exchange->wants_turn = true;
  else
    dispatch (call);
}

/* A request that must run once starts only when nothing before it on its
   connection can close that: the caller would send it again.  */
void
calls_turn (void *user, cs_exchange_t *exchange)
{
  (void)user;
  dispatch (exchange->user);
}
