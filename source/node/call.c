/* The path of a caller's request: route, version, choice of upstreams,
   attempts and answer.  */
#include <stdio.h>
#include <string.h>

#include "crash-reports.h"
#include "evidence.h"
#include "node.h"
#include "offers.h"
#include "rcu.h"
#include "replica.h"
#include "slo.h"
#include "view.h"

/* Nodes that one caller's request may be sent to.  */
#define MAX_TRIED_NODES 8
/* Retry-After of this node's own answers that ask for a retry without a
   computed delay, and the least one where a delay is computed.  */
#define RETRY_AFTER_DEFAULT_MS 1000
/* Retry-After of a caller whose request is suspected of crashing upstreams and
   was not granted its key; see run_suspected_request.  */
#define SUSPECT_RETRY_AFTER_MS 1000
#define IDEMPOTENCY_KEY_MAX 255 /* Bytes of the Idempotency-Key header.  */
/* The duration of an attempt is unknown beforehand; a retry needs this much
   time before the deadline.  */
#define ASSUMED_ATTEMPT_TIME (2 * CS_MSEC)
/* Wait for memory to send a large body; those that stall give way by then.  */
#define SEND_CLAIM_WAIT_MAX (500 * CS_MSEC)

/* What a request needs from the routing view.  Strings are copied and the
   upstream sets referenced, because the view may be replaced while the call
   waits.  The retry budget is borrowed; it outlives all calls, see view_t.  */
typedef struct
{
  char *route, *service, *team;
  int64_t weight, priority, max_attempts, latency_objective_ms;
  bool idempotent;
  cs_usec_t deadline;
  version_choice_t version_choice;
  cs_retry_budget_t *retry_budget;
  /* Crashes of upstreams while they ran requests with this fingerprint; see
     quarantine.h.  */
  unsigned crashes;
} plan_t;

/* A call in progress: the whole request of a caller, with all its attempts.
 */
typedef struct
{
  node_t *node;
  cs_ctx_t *ctx;
  const caller_request_t *request;
  plan_t plan;
  int64_t depth; /* Nodes that the call has passed before this one.  */
  uint64_t fingerprint;
  cs_claim_t send_claim; /* For the copies of the body that is sent.  */
  int attempts;          /* Made so far.  */
  cs_balancer_criteria_t criteria;
  /* Node names, NULL-terminated; they belong to TRIED_UPSTREAMS.  */
  const char *tried_nodes[MAX_TRIED_NODES + 1];
  cs_upstream_t *tried_upstreams[MAX_TRIED_NODES];
} call_t;

void
caller_answer_clear (caller_answer_t *answer)
{
  if (answer->headers)
    g_ptr_array_unref (answer->headers);
  if (answer->body)
    g_string_free (answer->body, TRUE);
  cs_claim_release (&answer->claim);
  *answer = (caller_answer_t){ 0 };
}

/* Fill ANSWER with an answer of this node's own, whose body is TEXT.  */
static void
set_error_answer (caller_answer_t *answer, outcome_t outcome, int status,
                  int64_t retry_after_ms, const char *text)
{
  *answer = (caller_answer_t){ .outcome = outcome,
                               .status = status,
                               .retry_after_ms = retry_after_ms,
                               .body = g_string_new (text) };
  g_string_append_c (answer->body, '\n');
}

/* The value of the header NAME as a non-negative number; FALLBACK when there
   is no such header or it is not a number.  */
static int64_t
header_number (const caller_request_t *caller_request, const char *name,
               int64_t fallback)
{
  const char *text = cs_headers_get (caller_request->headers, name);
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
  version_choice_clear (&plan->version_choice);
}

static void
plan_from_route (call_t *call, const cs_route_t *route)
{
  plan_t *plan = &call->plan;
  const cs_service_t *service = route->service;
  int64_t timeout_ms
      = route->timeout_ms ? route->timeout_ms : service->timeout_ms;
  timeout_ms
      = MIN (timeout_ms, header_number (call->request, "Cardamom-Deadline-Ms",
                                        timeout_ms));
  plan->route = g_strdup (route->path);
  plan->service = g_strdup (service->path);
  plan->team = g_strdup (route->team);
  plan->weight = service->weight;
  plan->priority = route->priority;
  plan->max_attempts = service->max_attempts;
  plan->latency_objective_ms = service->latency_objective_ms;
  plan->idempotent = route->idempotent;
  plan->deadline = cs_now (call->ctx) + timeout_ms * CS_MSEC;
}

/* Fill the plan from the view.  FALSE when no route matches or the node is not
   ready; ANSWER is then filled.  */
static bool
make_plan (call_t *call, unsigned method_bit, caller_answer_t *answer)
{
  const caller_request_t *caller_request = call->request;
  plan_t *plan = &call->plan;
  RCU_READ_BEGIN ();
  const view_t *view = RCU_LOAD (call->node->view);
  const cs_route_t *route
      = view->ready && view->snapshot ? cs_snapshot_find_route (
            view->snapshot, cs_str_of (caller_request->host),
            cs_str_of (caller_request->path), method_bit)
                                      : NULL;
  bool ready = view->ready;
  if (route)
    {
      plan_from_route (call, route);
      view_choose_version (call->ctx, view, route->service,
                           &plan->version_choice);
      plan->crashes
          = cs_crash_count_of (view->crash_counts, call->fingerprint);
      plan->retry_budget
          = g_hash_table_lookup (view->retry_budgets, plan->service);
    }
  RCU_READ_END ();
  if (route)
    return true;
  if (!ready)
    set_error_answer (answer, OUTCOME_NOT_RUN, 503, RETRY_AFTER_DEFAULT_MS,
                      "this node is still learning the configuration");
  else
    set_error_answer (answer, OUTCOME_NOT_RUN, 404, 0,
                      "no route matches the request");
  cs_counter_add (CS_C_NO_ROUTE, ready);
  return false;
}

static call_request_t *
make_request (const call_t *call)
{
  const caller_request_t *caller_request = call->request;
  call_request_t *request = g_new0 (call_request_t, 1);
  request->method = g_strdup (caller_request->method);
  request->path = g_strdup (caller_request->path);
  request->headers = cs_headers_copy (caller_request->headers);
  if (caller_request->body_bytes)
    request->body = g_bytes_ref (caller_request->body_bytes);
  request->service = g_strdup (call->plan.service);
  request->version = g_strdup (call->plan.version_choice.version);
  request->team = g_strdup (call->plan.team);
  request->weight = call->plan.weight;
  request->priority = call->plan.priority;
  request->idempotent = call->plan.idempotent;
  request->depth = call->depth;
  request->time_remaining_us = call->plan.deadline - cs_now (call->ctx);
  request->fingerprint = call->fingerprint;
  request->takes_offers = true;
  return request;
}

static void
send_cancel (call_t *call, const peer_address_t *address, uint64_t call_id)
{
  cs_pack_t pack;
  cs_pack_init (&pack);
  calls_pack_cancel (&pack, call_id);
  peers_send (call->node->peers, address, cs_pack_payload (&pack), 0);
  cs_pack_clear (&pack);
}

/* Send REQUEST, taken over, to the node of UPSTREAM and wait for the result.
   NULL when the deadline passes.  */
static call_result_t *
run_remote (call_t *call, const cs_upstream_t *upstream,
            call_request_t *request)
{
  uint64_t call_id;
  cs_pack_t pack;
  peer_address_t address = { .port = upstream->port };
  g_strlcpy (address.name, upstream->node, sizeof address.name);
  g_strlcpy (address.host, upstream->host, sizeof address.host);
  pending_call_t *pending_call = calls_add (call->node->calls, &call_id);
  cs_pack_init (&pack);
  calls_pack_call (&pack, call_id, request);
  cs_str_t payload = cs_pack_payload (&pack);
  if (upstream->distance == CS_OTHER_REGION)
    atomic_fetch_sub (&call->node->region_link_tokens, (int64_t)payload.len);
  if (!peers_send (call->node->peers, &address, payload, call_id))
    calls_complete (call->node->calls, call_id,
                    call_result_new (CS_RUN_NOT_STARTED,
                                     "the upstream's node cannot be "
                                     "reached"));
  cs_pack_clear (&pack);
  call_result_t *result = calls_wait (call->node->calls, call_id, pending_call,
                                      call->plan.deadline);
  call_request_free (request);
  if (result && result->offered_bytes)
    result = offers_fetch (call->node, call->ctx, &address, call_id, result,
                           call->plan.deadline);
  if (!result)
    send_cancel (call, &address, call_id);
  else if (upstream->distance == CS_OTHER_REGION && result->body)
    atomic_fetch_sub (&call->node->region_link_tokens,
                      (int64_t)result->body->len);
  return result;
}

/* Run REQUEST, taken over, on this node's own upstream.  NULL when the
   deadline passes.  */
static call_result_t *
run_local (call_t *call, call_request_t *request)
{
  uint64_t call_id;
  pending_call_t *pending_call = calls_add (call->node->calls, &call_id);
  local_upstream_submit (call->node->local_upstream, request, NULL, call_id);
  call_result_t *result = calls_wait (call->node->calls, call_id, pending_call,
                                      call->plan.deadline);
  if (!result)
    local_upstream_cancel (call->node->local_upstream, NULL, call_id);
  return result;
}

static cs_attempt_result_t
attempt_result_of (const call_result_t *result)
{
  if (result->status)
    return result->status >= 500 ? CS_ATTEMPT_FAILED : CS_ATTEMPT_OK;
  return result->shed ? CS_ATTEMPT_SHED : CS_ATTEMPT_FAILED;
}

/* Record the attempt as evidence for the evaluation of the running move.
   An attempt that did not run is no evidence about the version.  */
static void
record_evidence (call_t *call, const call_result_t *result, cs_usec_t latency)
{
  const version_choice_t *version_choice = &call->plan.version_choice;
  if (!version_choice->move_name
      || (!result->status && result->run_state == CS_RUN_NOT_STARTED))
    return;
  evidence_record (call->node->evidence, version_choice->move_name,
                   call->plan.route, version_choice->is_candidate,
                   result->status == 0 || result->status >= 500, latency);
}

/* Make one attempt at UPSTREAM; the result is never NULL.  */
static call_result_t *
run_attempt (call_t *call, cs_upstream_t *upstream)
{
  cs_usec_t started_at = cs_now (call->ctx);
  call_request_t *request = make_request (call);
  cs_counter_add (CS_C_ATTEMPTS, 1);
  cs_counter_add (CS_C_SPILL_DC, upstream->distance == CS_SAME_REGION);
  cs_counter_add (CS_C_SPILL_REGION, upstream->distance == CS_OTHER_REGION);
  cs_upstream_attempt_begin (upstream);
  bool local = strcmp (upstream->node, call->node->settings.node) == 0;
  call_result_t *result = local ? run_local (call, request)
                                : run_remote (call, upstream, request);
  if (!result)
    result = call_result_new (CS_RUN_UNKNOWN, "no answer before the deadline");
  cs_usec_t latency = cs_now (call->ctx) - started_at;
  cs_upstream_attempt_end (call->ctx, upstream,
                           call->plan.version_choice.upstreams,
                           attempt_result_of (result), latency, result->load);
  record_evidence (call, result, latency);
  if (result->run_state == CS_RUN_CRASHED && !result->status)
    crash_reports_add (call->node, call->fingerprint, upstream->node);
  return result;
}

/* Choose an upstream that was not tried yet and mark it as tried.  NULL when
   there is none.  */
static cs_upstream_t *
choose_upstream (call_t *call)
{
  call->criteria = (cs_balancer_criteria_t){
    .now = cs_now (call->ctx),
    .wall_ms = cs_now_wall (call->ctx) / CS_MSEC,
    .other_region_allowed = atomic_load (&call->node->region_link_tokens) > 0,
    .excluded_nodes = call->tried_nodes,
  };
  cs_upstream_t *upstream = call->node->balancer->choose (
      call->ctx, call->plan.version_choice.upstreams, &call->criteria);
  if (upstream && call->attempts < MAX_TRIED_NODES)
    {
      call->tried_upstreams[call->attempts] = cs_upstream_keep (upstream);
      call->tried_nodes[call->attempts] = upstream->node;
    }
  return upstream;
}

static bool
should_retry (call_t *call, const call_result_t *result)
{
  const plan_t *plan = &call->plan;
  if (result->status ? result->status < 500
                     : result->run_state == CS_RUN_CRASHED)
    return false;
  cs_retry_params_t params
      = { .run_state = result->run_state,
          .shed = result->shed,
          .idempotent = plan->idempotent,
          .first_hop = call->depth == 0,
          .attempts = call->attempts,
          .max_attempts = (int)MIN (plan->max_attempts, MAX_TRIED_NODES),
          .time_remaining = plan->deadline - cs_now (call->ctx),
          .expected_time = ASSUMED_ATTEMPT_TIME };
  return cs_retry_decide (plan->retry_budget, &params) == CS_RETRY_ALLOWED;
}

/* Make attempts until one succeeds or may not be retried.  When the first one
   went to the candidate of a running move, the others go to the baseline.  */
static call_result_t *
run_attempts (call_t *call)
{
  call_result_t *result = NULL;
  for (;;)
    {
      cs_upstream_t *upstream = choose_upstream (call);
      if (!upstream)
        return result
                   ? result
                   : call_result_new (CS_RUN_NOT_STARTED,
                                      "no upstream of the service is known");
      call_result_free (result);
      result = run_attempt (call, upstream);
      call->attempts++;
      if (!should_retry (call, result))
        return result;
      version_choice_use_baseline (&call->plan.version_choice);
    }
}

/* Fill the caller's ANSWER from RESULT, taken over.  */
static void
set_answer_from_result (call_result_t *result, caller_answer_t *answer)
{
  if (result->status)
    {
      *answer = (caller_answer_t){ .outcome = OUTCOME_DONE,
                                   .status = result->status,
                                   .headers = result->headers,
                                   .body = result->body,
                                   .claim = result->claim };
      result->headers = NULL;
      result->body = NULL;
      result->claim = (cs_claim_t){ 0 };
    }
  else if (result->run_state == CS_RUN_NOT_STARTED)
    set_error_answer (answer, OUTCOME_NOT_RUN, 503,
                      MAX (result->retry_after_ms, RETRY_AFTER_DEFAULT_MS),
                      result->error_text);
  else
    set_error_answer (answer, OUTCOME_UNKNOWN, 504, 0, result->error_text);
  call_result_free (result);
}

/* Run a request that is suspected of crashing upstreams, as one has crashed
   while it ran a request with this fingerprint.  An idempotency key made from
   the fingerprint limits it to one attempt at a time in the whole mesh; if the
   key is not granted, the request is refused.  */
static call_result_t *
run_suspected_request (call_t *call)
{
  key_claim_t claim;
  caller_answer_t unused_answer = { 0 };
  /* Releases the key instead of storing an answer under it.  */
  caller_answer_t not_run = { .outcome = OUTCOME_NOT_RUN };
  char *key = g_strdup_printf ("suspect %016llx",
                               (unsigned long long)call->fingerprint);
  key_claim_result_t claim_result
      = key_claim (call->node, call->ctx, key, call->fingerprint,
                   call->plan.deadline, &claim, &unused_answer);
  g_free (key);
  caller_answer_clear (&unused_answer);
  if (claim_result != KEY_GRANTED)
    {
      call_result_t *result = call_result_new (
          CS_RUN_NOT_STARTED, "the request is suspected of crashing "
                              "upstreams and is being tried elsewhere");
      result->retry_after_ms = SUSPECT_RETRY_AFTER_MS;
      return result;
    }
  call->plan.max_attempts = call->attempts + 1;
  call_result_t *result = run_attempts (call);
  key_finish (call->node, &claim, &not_run);
  if (result->status)
    crash_reports_clear (call->node, call->fingerprint);
  return result;
}

/* Whether the last attempt ended with the first known crash for this
   fingerprint, so that one more attempt is allowed as a suspected request.  */
static bool
may_retry_as_suspected (const call_t *call, const call_result_t *result)
{
  const plan_t *plan = &call->plan;
  return !result->status && result->run_state == CS_RUN_CRASHED
         && plan->idempotent && call->depth == 0 && plan->crashes == 0
         && call->attempts < plan->max_attempts;
}

/* Make all attempts of the call, unless the crashes of its fingerprint forbid
   it.  */
static call_result_t *
run_unless_quarantined (call_t *call)
{
  if (call->plan.crashes >= CS_QUARANTINE_CRASHES)
    {
      call_result_t *result = call_result_new (
          CS_RUN_NOT_STARTED,
          "the request is in quarantine: it crashed upstreams");
      cs_counter_add (CS_C_QUARANTINED, 1);
      result->retry_after_ms = CS_CRASH_RECORD_TTL_MS;
      return result;
    }
  if (call->plan.crashes > 0)
    return run_suspected_request (call);
  call_result_t *result = run_attempts (call);
  if (!may_retry_as_suspected (call, result))
    return result;
  call_result_free (result);
  return run_suspected_request (call);
}

/* Run a request that carries an idempotency key, at most once.  */
static void
run_with_key (call_t *call, const char *header_value, caller_answer_t *answer)
{
  key_claim_t claim;
  char *key = g_strconcat (header_value, " ", call->plan.service, NULL);
  key_claim_result_t claim_result
      = key_claim (call->node, call->ctx, key, call->fingerprint,
                   call->plan.deadline, &claim, answer);
  g_free (key);
  switch (claim_result)
    {
    case KEY_GRANTED:
      set_answer_from_result (run_unless_quarantined (call), answer);
      key_finish (call->node, &claim, answer);
      break;
    case KEY_REPLAYED:
      break;
    case KEY_MISMATCH:
      set_error_answer (answer, OUTCOME_NOT_RUN, 422, 0,
                        "the Idempotency-Key belongs to another request");
      break;
    case KEY_UNKNOWN:
      set_error_answer (
          answer, OUTCOME_UNKNOWN, 503, RETRY_AFTER_DEFAULT_MS,
          "the record of the Idempotency-Key cannot be consulted; "
          "send the request again with the same key");
      break;
    case KEY_IN_FLIGHT:
      set_error_answer (
          answer, OUTCOME_UNKNOWN, 409, RETRY_AFTER_DEFAULT_MS,
          "a request with this Idempotency-Key is under way or did "
          "not report its end");
      break;
    }
}

/* Run the call as planned.  The Idempotency-Key of an idempotent route's
   request is ignored.  */
static void
run_plan (call_t *call, caller_answer_t *answer)
{
  const char *key = cs_headers_get (call->request->headers, "Idempotency-Key");
  if (call->plan.idempotent || !key)
    set_answer_from_result (run_unless_quarantined (call), answer);
  else if (!*key || strlen (key) > IDEMPOTENCY_KEY_MAX)
    set_error_answer (answer, OUTCOME_NOT_RUN, 400, 0,
                      "the Idempotency-Key must have 1 to 255 characters");
  else
    run_with_key (call, key, answer);
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
request_fingerprint (const caller_request_t *caller_request)
{
  return cs_request_fingerprint (
      cs_str_of (caller_request->method), cs_str_of (caller_request->host),
      cs_str_of (caller_request->path), caller_request->body);
}

/* Claim memory for the copies of the request's body, waiting for a while if it
   is large; false if there is none.  */
static bool
claim_to_send (call_t *call)
{
  cs_memory_budget_t *budget = &call->node->memory;
  int64_t bytes = (int64_t)call->request->body.len * REQUEST_COPIES;
  call->send_claim.claims = &call->node->request_claims;
  if (bytes > CS_SMALL_BODY_MAX)
    return cs_claim_wait (call->ctx, &call->send_claim, bytes,
                          cs_now (call->ctx) + SEND_CLAIM_WAIT_MAX);
  return !bytes
         || (cs_memory_budget_has_room (budget, bytes, true)
             && cs_claim_grow (&call->send_claim, bytes));
}

void
call_run (node_t *node, cs_ctx_t *ctx, caller_request_t *request,
          caller_answer_t *answer)
{
  call_t call = { .node = node, .ctx = ctx, .request = request };
  cs_usec_t started_at = cs_now (ctx);
  unsigned method_bit = cs_method_parse (request->method);
  call.depth = header_number (request, "Cardamom-Depth", 0);
  call.fingerprint = request_fingerprint (request);
  cs_counter_add (CS_C_CALLS, 1);
  if (method_bit == 0)
    set_error_answer (answer, OUTCOME_NOT_RUN, 501, 0,
                      "this method is not passed on");
  else if (!claim_to_send (&call))
    set_error_answer (answer, OUTCOME_NOT_RUN, 503, RETRY_AFTER_DEFAULT_MS,
                      "this node has no memory for the request");
  else if (make_plan (&call, method_bit, answer))
    {
      cs_retry_budget_add_call (call.plan.retry_budget);
      run_plan (&call, answer);
      cs_usec_t latency = cs_now (ctx) - started_at;
      slo_record_call (node->slo, call.plan.route,
                       answer->outcome == OUTCOME_DONE && answer->status < 500
                           && latency
                                  <= call.plan.latency_objective_ms * CS_MSEC);
    }
  cs_claim_release (&call.send_claim);
  count_outcome (answer->outcome);
  for (int i = 0; i < MAX_TRIED_NODES; i++)
    cs_upstream_drop (call.tried_upstreams[i]);
  plan_clear (&call.plan);
  g_ptr_array_unref (request->headers);
  request->headers = NULL;
}
