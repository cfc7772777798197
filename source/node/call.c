/* One caller's request: route, version, upstream, attempts, answer.  */
#include <stdio.h>
#include <string.h>

#include "evidence.h"
#include "node.h"
#include "once-node.h"
#include "rcu.h"
#include "slo.h"
#include "strikes.h"
#include "view.h"

#define TRIED_MAX 8
#define SUSPECT_RETRY_MS 1000
#define KEY_MAX 255              /* Characters of an Idempotency-Key.  */
#define NEEDED_MIN (2 * CS_MSEC) /* For an attempt of unknown length.  */

/* What a request needs of the routing view, copied or kept, so that nothing
   of the view is used while the call waits.  */
typedef struct
{
  char *route, *service, *team;
  int64_t weight, priority, max_attempts, latency_ms;
  bool idempotent;
  cs_usec_t deadline;
  version_choice_t choice;
  cs_retry_budget_t *budget;
  unsigned strikes;
} plan_t;

/* One call under way.  */
typedef struct
{
  node_t *node;
  cs_ctx_t *ctx;
  const caller_request_t *request;
  plan_t plan;
  int64_t depth;
  uint64_t print;
  int attempts;
  cs_balancer_criteria_t choice;
  const char *tried[TRIED_MAX + 1];
  cs_upstream_t *kept[TRIED_MAX];
} call_t;

void
caller_answer_clear (caller_answer_t *answer)
{
  if (answer->headers)
    g_ptr_array_unref (answer->headers);
  if (answer->body)
    g_string_free (answer->body, TRUE);
  *answer = (caller_answer_t){ 0 };
}

static void
answer_text (caller_answer_t *answer, outcome_t outcome, int status,
             int64_t retry_after_ms, const char *why)
{
  *answer = (caller_answer_t){ .outcome = outcome,
                               .status = status,
                               .retry_after_ms = retry_after_ms,
                               .body = g_string_new (why) };
  g_string_append_c (answer->body, '\n');
}

static int64_t
number_header (const caller_request_t *r, const char *name, int64_t fallback)
{
  const char *text = cs_headers_get (r->headers, name);
  char *end;
  int64_t value = text ? g_ascii_strtoll (text, &end, 10) : -1;
  return text && end != text && !*end && value >= 0 ? value : fallback;
}

static void
plan_clear (plan_t *plan)
{
  g_free (plan->route);
  g_free (plan->service);
  g_free (plan->team);
  version_choice_clear (&plan->choice);
}

static void
plan_route (call_t *call, const cs_route_t *route)
{
  plan_t *plan = &call->plan;
  const cs_service_t *service = route->service;
  int64_t timeout
      = route->timeout_ms ? route->timeout_ms : service->timeout_ms;
  timeout = MIN (
      timeout, number_header (call->request, "Cardamom-Deadline-Ms", timeout));
  plan->route = g_strdup (route->path);
  plan->service = g_strdup (service->path);
  plan->team = g_strdup (route->team);
  plan->weight = service->weight;
  plan->priority = route->priority;
  plan->max_attempts = service->max_attempts;
  plan->latency_ms = service->latency_objective_ms;
  plan->idempotent = route->idempotent;
  plan->deadline = cs_now (call->ctx) + timeout * CS_MSEC;
}

/* Fill the plan from the view; FALSE with ANSWER filled when there is no way
   to run the request.  */
static bool
make_plan (call_t *call, unsigned method, caller_answer_t *answer)
{
  const caller_request_t *r = call->request;
  plan_t *plan = &call->plan;
  RCU_READ_BEGIN ();
  const view_t *view = RCU_LOAD (call->node->view);
  const cs_route_t *route
      = view->ready && view->snapshot ? cs_snapshot_find_route (
            view->snapshot, cs_str_of (r->host), cs_str_of (r->path), method)
                                      : NULL;
  bool ready = view->ready;
  if (route)
    {
      plan_route (call, route);
      view_choose_version (call->ctx, view, route->service, &plan->choice);
      plan->strikes = cs_strikes_of (view->strikes, call->print);
      plan->budget = g_hash_table_lookup (view->budgets, plan->service);
    }
  RCU_READ_END ();
  if (route)
    return true;
  if (!ready)
    answer_text (answer, OUTCOME_NOT_RUN, 503, 1000,
                 "this node is still learning the configuration");
  else
    answer_text (answer, OUTCOME_NOT_RUN, 404, 0,
                 "no route matches the request");
  cs_counter_add (CS_C_NO_ROUTE, ready);
  return false;
}

static request_t *
make_request (const call_t *call)
{
  const caller_request_t *r = call->request;
  request_t *request = g_new0 (request_t, 1);
  request->method = g_strdup (r->method);
  request->path = g_strdup (r->path);
  request->headers = cs_headers_copy (r->headers);
  request->body = g_string_new_len (r->body.data, (gssize)r->body.len);
  request->service = g_strdup (call->plan.service);
  request->version = g_strdup (call->plan.choice.version);
  request->team = g_strdup (call->plan.team);
  request->weight = call->plan.weight;
  request->priority = call->plan.priority;
  request->idempotent = call->plan.idempotent;
  request->depth = call->depth;
  request->budget_us = call->plan.deadline - cs_now (call->ctx);
  request->print = call->print;
  return request;
}

static void
send_cancel (call_t *call, const peer_address_t *to, uint64_t id)
{
  cs_pack_t pack;
  cs_pack_init (&pack);
  calls_pack_cancel (&pack, id);
  peers_send (call->node->peers, to, cs_pack_payload (&pack), 0);
  cs_pack_clear (&pack);
}

/* Send REQUEST to the node beside U and wait.  NULL at the deadline.  */
static result_t *
run_remote (call_t *call, const cs_upstream_t *u, request_t *request)
{
  uint64_t id;
  cs_pack_t pack;
  peer_address_t to = { .port = u->port };
  g_strlcpy (to.name, u->node, sizeof to.name);
  g_strlcpy (to.host, u->host, sizeof to.host);
  pending_t *pending = calls_begin (call->node->calls, &id);
  cs_pack_init (&pack);
  calls_pack_call (&pack, id, request);
  cs_str_t payload = cs_pack_payload (&pack);
  if (u->distance == CS_OTHER_REGION)
    atomic_fetch_sub (&call->node->link_tokens, (int64_t)payload.len);
  if (!peers_send (call->node->peers, &to, payload, id))
    calls_complete (call->node->calls, id,
                    result_new (CS_RUN_NOT_STARTED,
                                "the upstream's node cannot be "
                                "reached"));
  cs_pack_clear (&pack);
  result_t *result
      = calls_wait (call->node->calls, id, pending, call->plan.deadline);
  request_free (request);
  if (!result)
    send_cancel (call, &to, id);
  else if (u->distance == CS_OTHER_REGION && result->body)
    atomic_fetch_sub (&call->node->link_tokens, (int64_t)result->body->len);
  return result;
}

static result_t *
run_local (call_t *call, request_t *request)
{
  uint64_t id;
  pending_t *pending = calls_begin (call->node->calls, &id);
  serve_submit (call->node->serve, request, NULL, id);
  result_t *result
      = calls_wait (call->node->calls, id, pending, call->plan.deadline);
  if (!result)
    serve_cancel (call->node->serve, NULL, id);
  return result;
}

static cs_attempt_result_t
attempt_of (const result_t *result)
{
  if (result->status)
    return result->status >= 500 ? CS_ATTEMPT_FAILED : CS_ATTEMPT_OK;
  return result->shed ? CS_ATTEMPT_SHED : CS_ATTEMPT_FAILED;
}

/* Count the attempt for the running move.  What did not run says nothing of
   the version.  */
static void
note_evidence (call_t *call, const result_t *result, cs_usec_t took)
{
  const version_choice_t *choice = &call->plan.choice;
  if (!choice->move || (!result->status && result->run == CS_RUN_NOT_STARTED))
    return;
  evidence_note (call->node->evidence, choice->move, call->plan.route,
                 choice->new_version,
                 result->status == 0 || result->status >= 500, took);
}

/* One attempt at U; the result is never NULL.  */
static result_t *
run_attempt (call_t *call, cs_upstream_t *u)
{
  cs_usec_t started = cs_now (call->ctx);
  request_t *request = make_request (call);
  cs_counter_add (CS_C_ATTEMPTS, 1);
  cs_counter_add (CS_C_SPILL_DC, u->distance == CS_SAME_REGION);
  cs_counter_add (CS_C_SPILL_REGION, u->distance == CS_OTHER_REGION);
  cs_upstream_attempt_begin (u);
  bool local = strcmp (u->node, call->node->settings.node) == 0;
  result_t *result
      = local ? run_local (call, request) : run_remote (call, u, request);
  if (!result)
    result = result_new (CS_RUN_UNKNOWN, "no answer before the deadline");
  cs_usec_t took = cs_now (call->ctx) - started;
  cs_upstream_attempt_end (call->ctx, u, call->plan.choice.set,
                           attempt_of (result), took, result->load);
  note_evidence (call, result, took);
  if (result->run == CS_RUN_CRASHED && !result->status)
    strikes_note (call->node, call->print, u->node);
  return result;
}

static cs_upstream_t *
choose_upstream (call_t *call)
{
  call->choice = (cs_balancer_criteria_t){
    .now = cs_now (call->ctx),
    .wall_ms = cs_now_wall (call->ctx) / CS_MSEC,
    .other_region_allowed = atomic_load (&call->node->link_tokens) > 0,
    .excluded_nodes = call->tried,
  };
  cs_upstream_t *u = call->node->balancer->choose (
      call->ctx, call->plan.choice.set, &call->choice);
  if (u && call->attempts < TRIED_MAX)
    {
      call->kept[call->attempts] = cs_upstream_keep (u);
      call->tried[call->attempts] = u->node;
    }
  return u;
}

static bool
should_retry (call_t *call, const result_t *result)
{
  const plan_t *plan = &call->plan;
  if (result->status ? result->status < 500 : result->run == CS_RUN_CRASHED)
    return false;
  cs_retry_params_t facts
      = { .run_state = result->run,
          .shed = result->shed,
          .idempotent = plan->idempotent,
          .first_hop = call->depth == 0,
          .attempts = call->attempts,
          .max_attempts = (int)MIN (plan->max_attempts, TRIED_MAX),
          .time_remaining = plan->deadline - cs_now (call->ctx),
          .expected_time = NEEDED_MIN };
  return cs_retry_decide (plan->budget, &facts) == CS_RETRY_ALLOWED;
}

static result_t *
run_attempts (call_t *call)
{
  result_t *result = NULL;
  for (;;)
    {
      cs_upstream_t *u = choose_upstream (call);
      if (!u)
        return result ? result
                      : result_new (CS_RUN_NOT_STARTED,
                                    "no upstream of the service is known");
      result_free (result);
      result = run_attempt (call, u);
      call->attempts++;
      if (!should_retry (call, result))
        return result;
      version_choice_fall_back (&call->plan.choice);
    }
}

/* Turn RESULT, taken over, into the caller's answer.  */
static void
answer_result (result_t *result, caller_answer_t *answer)
{
  if (result->status)
    {
      *answer = (caller_answer_t){ .outcome = OUTCOME_DONE,
                                   .status = result->status,
                                   .headers = result->headers,
                                   .body = result->body };
      result->headers = NULL;
      result->body = NULL;
    }
  else if (result->run == CS_RUN_NOT_STARTED)
    answer_text (answer, OUTCOME_NOT_RUN, 503,
                 MAX (result->retry_after_ms, 1000), result->why);
  else
    answer_text (answer, OUTCOME_UNKNOWN, 504, 0, result->why);
  result_free (result);
}

/* Run a request that an upstream died of, unless another node runs it now:
   one attempt at a time in the whole mesh.  */
static result_t *
run_suspect (call_t *call)
{
  key_claim_t claim;
  caller_answer_t unused = { 0 };
  caller_answer_t over = { .outcome = OUTCOME_NOT_RUN };
  char *key
      = g_strdup_printf ("suspect %016llx", (unsigned long long)call->print);
  key_verdict_t verdict = key_claim (call->node, call->ctx, key, call->print,
                                     call->plan.deadline, &claim, &unused);
  g_free (key);
  caller_answer_clear (&unused);
  if (verdict != KEY_GRANTED)
    {
      result_t *result = result_new (CS_RUN_NOT_STARTED,
                                     "the request is suspected of crashing "
                                     "upstreams and is being tried elsewhere");
      result->retry_after_ms = SUSPECT_RETRY_MS;
      return result;
    }
  call->plan.max_attempts = call->attempts + 1;
  result_t *result = run_attempts (call);
  key_finish (call->node, &claim, &over);
  if (result->status)
    strikes_clear (call->node, call->print);
  return result;
}

/* Whether the call, whose last attempt ended with a crash, may have one more
   as a suspect.  */
static bool
may_try_as_suspect (const call_t *call, const result_t *result)
{
  const plan_t *plan = &call->plan;
  return !result->status && result->run == CS_RUN_CRASHED && plan->idempotent
         && call->depth == 0 && plan->strikes == 0
         && call->attempts < plan->max_attempts;
}

/* All attempts of the call, by what is known of its print.  */
static result_t *
run_by_print (call_t *call)
{
  if (call->plan.strikes >= CS_QUARANTINE_STRIKES)
    {
      result_t *result
          = result_new (CS_RUN_NOT_STARTED,
                        "the request is in quarantine: it crashed upstreams");
      cs_counter_add (CS_C_QUARANTINED, 1);
      result->retry_after_ms = CS_STRIKE_TTL_MS;
      return result;
    }
  if (call->plan.strikes > 0)
    return run_suspect (call);
  result_t *result = run_attempts (call);
  if (!may_try_as_suspect (call, result))
    return result;
  result_free (result);
  return run_suspect (call);
}

/* Run a request that carries an idempotency key, at most once.  */
static void
run_keyed (call_t *call, const char *text, caller_answer_t *answer)
{
  key_claim_t claim;
  char *key = g_strconcat (text, " ", call->plan.service, NULL);
  key_verdict_t verdict = key_claim (call->node, call->ctx, key, call->print,
                                     call->plan.deadline, &claim, answer);
  g_free (key);
  switch (verdict)
    {
    case KEY_GRANTED:
      answer_result (run_by_print (call), answer);
      key_finish (call->node, &claim, answer);
      break;
    case KEY_REPLAY:
      break;
    case KEY_MISMATCH:
      answer_text (answer, OUTCOME_NOT_RUN, 422, 0,
                   "the Idempotency-Key belongs to another request");
      break;
    case KEY_UNKNOWN:
      answer_text (answer, OUTCOME_UNKNOWN, 503, 1000,
                   "the record of the Idempotency-Key cannot be consulted; "
                   "send the request again with the same key");
      break;
    case KEY_BUSY:
      answer_text (answer, OUTCOME_UNKNOWN, 409, 1000,
                   "a request with this Idempotency-Key is under way or did "
                   "not report its end");
      break;
    }
}

static void
run_planned (call_t *call, caller_answer_t *answer)
{
  const char *key = cs_headers_get (call->request->headers, "Idempotency-Key");
  if (call->plan.idempotent || !key)
    answer_result (run_by_print (call), answer);
  else if (!*key || strlen (key) > KEY_MAX)
    answer_text (answer, OUTCOME_NOT_RUN, 400, 0,
                 "the Idempotency-Key must have 1 to 255 characters");
  else
    run_keyed (call, key, answer);
}

static void
count_outcome (outcome_t outcome)
{
  static const cs_counter_t counters[] = {
    [OUTCOME_DONE] = CS_C_CALLS_DONE,
    [OUTCOME_NOT_RUN] = CS_C_CALLS_NOT_RUN,
    [OUTCOME_UNKNOWN] = CS_C_CALLS_UNKNOWN,
  };
  cs_counter_add (counters[outcome], 1);
}

static uint64_t
print_of (const caller_request_t *r)
{
  uint64_t seed = cs_hash_text (r->path, cs_hash_text (r->method, 0));
  return cs_hash (r->body.data, r->body.len, seed);
}

void
call_run (node_t *node, cs_ctx_t *ctx, caller_request_t *request,
          caller_answer_t *answer)
{
  call_t call = { .node = node, .ctx = ctx, .request = request };
  cs_usec_t started = cs_now (ctx);
  unsigned method = cs_method_parse (request->method);
  call.depth = number_header (request, "Cardamom-Depth", 0);
  call.print = print_of (request);
  cs_counter_add (CS_C_CALLS, 1);
  if (method == 0)
    answer_text (answer, OUTCOME_NOT_RUN, 501, 0,
                 "this method is not passed on");
  else if (make_plan (&call, method, answer))
    {
      cs_retry_budget_add_call (call.plan.budget);
      run_planned (&call, answer);
      cs_usec_t took = cs_now (ctx) - started;
      slo_note (node->slo, call.plan.route,
                answer->outcome == OUTCOME_DONE && answer->status < 500
                    && took <= call.plan.latency_ms * CS_MSEC);
    }
  count_outcome (answer->outcome);
  for (int i = 0; i < TRIED_MAX; i++)
    cs_upstream_drop (call.kept[i]);
  plan_clear (&call.plan);
  g_ptr_array_unref (request->headers);
  request->headers = NULL;
}
