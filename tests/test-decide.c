/* Decisions of the event-driven path, with the clock passed in: placement,
   queueing, retry budgets, weighted round robin, status reports, and which
   nodes read the table and own a move.  */
#include <string.h>

#include "cardamom/backend.h"
#include "cardamom/move-owner.h"
#include "cardamom/placement.h"
#include "cardamom/request-queue.h"
#include "cardamom/frames.h"
#include "cardamom/retry-window.h"
#include "cardamom/stop-plan.h"
#include "cardamom/service-times.h"
#include "cardamom/table-reader.h"
#include "cardamom/weighted-rr.h"

#define MS CS_MSEC

/* Placement.  */

static const cs_placement_node_t idle_near_node
    = { .distance = CS_SAME_DC,
        .eligible = true,
        .slots = 12,
        .mean_service_time = 60 * MS,
        .run_time = 60 * MS,
        .round_trip = 1 * MS };

static cs_placement_node_t
make_node (cs_distance_t distance, int64_t outstanding, cs_usec_t round_trip)
{
  cs_placement_node_t node = idle_near_node;
  node.distance = distance;
  node.outstanding = outstanding;
  node.round_trip = round_trip;
  return node;
}

static void
test_placement (void)
{
  enum
  {
    NEAR,
    REGION,
    FAR
  };
  static const struct
  {
    const char *what;
    int64_t busy_near, busy_region, busy_far;
    int64_t failure_permille_near;
    bool near_eligible;
    int64_t target_ms;
    int chosen;
  } cases[] = {
    { "all idle: the nearest node", 0, 0, 0, 0, true, 300, NEAR },
    { "a queue that fits the target: the nearest node", 20, 0, 0, 0, true, 300,
      NEAR },
    { "a queue past the target: another data centre of the region", 60, 0, 0,
      0, true, 300, REGION },
    { "both data centres full: another region", 60, 60, 0, 0, true, 300, FAR },
    { "no node meets the target: the best one of the region", 90, 70, 60, 0,
      true, 300, REGION },
    { "no node meets the target: the nearest of near equals", 90, 85, 80, 0,
      true, 300, NEAR },
    { "a failing node is avoided while there are others", 0, 0, 0, 500, true,
      300, REGION },
    { "an unusable node is never chosen", 0, 0, 0, 0, false, 300, REGION },
    { "a short target does not allow a queue", 14, 0, 0, 0, true, 100,
      REGION },
  };
  GRand *random = g_rand_new_with_seed (1);
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      cs_placement_node_t nodes[]
          = { make_node (CS_SAME_DC, cases[i].busy_near, 1 * MS),
              make_node (CS_SAME_REGION, cases[i].busy_region, 3 * MS),
              make_node (CS_OTHER_REGION, cases[i].busy_far, 60 * MS) };
      nodes[0].failure_permille = cases[i].failure_permille_near;
      nodes[0].eligible = cases[i].near_eligible;
      cs_placement_request_t request
          = { .target_left = cases[i].target_ms * MS };
      g_test_message ("%s", cases[i].what);
      g_assert_cmpint (cs_placement_choose (nodes, 3, &request, random).index,
                       ==, cases[i].chosen);
    }
  cs_placement_node_t ineligible = idle_near_node;
  cs_placement_request_t request = { .target_left = 300 * MS };
  ineligible.eligible = false;
  g_assert_cmpint (
      cs_placement_choose (&ineligible, 1, &request, random).index, ==, -1);
  g_rand_free (random);
}

/* A retry goes to another region only when this one has no server left that
   was not tried; that none there has a budget is no reason.  */
static void
test_retry_sent_to_other_region (void)
{
  static const struct
  {
    const char *what;
    bool is_retry, eligible_near, refuses_near;
    int chosen;
  } cases[] = {
    { "the region has a budget", true, true, false, 0 },
    { "the region has none", true, true, true, -1 },
    { "the region has no server left", true, false, false, 1 },
    { "no retry, no server left", false, false, false, 1 },
  };
  GRand *random = g_rand_new_with_seed (3);
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      cs_placement_node_t nodes[]
          = { make_node (CS_SAME_REGION, 0, 3 * MS),
              make_node (CS_OTHER_REGION, 0, 60 * MS) };
      nodes[0].eligible = cases[i].eligible_near;
      nodes[0].refuses_retries = cases[i].refuses_near;
      cs_placement_request_t request
          = { .target_left = 300 * MS, .is_retry = cases[i].is_retry };
      g_test_message ("%s", cases[i].what);
      g_assert_cmpint (cs_placement_choose (nodes, 2, &request, random).index,
                       ==, cases[i].chosen);
    }
  g_rand_free (random);
}

/* Many choices among equal nodes spread over all of them.  */
static void
test_placement_spreads_ties (void)
{
  cs_placement_node_t nodes[8];
  int chosen[8] = { 0 };
  cs_placement_request_t request = { .target_left = 300 * MS };
  GRand *random = g_rand_new_with_seed (7);
  for (int i = 0; i < 8; i++)
    nodes[i] = idle_near_node;
  for (int i = 0; i < 800; i++)
    chosen[cs_placement_choose (nodes, 8, &request, random).index]++;
  for (int i = 0; i < 8; i++)
    {
      g_assert_cmpint (chosen[i], >, 60);
      g_assert_cmpint (chosen[i], <, 140);
    }
  g_rand_free (random);
}

/* Queueing.  A server with SLOTS slots and its queue are simulated in steps of
   a millisecond.  */

#define SLOTS 12
#define REQUESTS_KEPT 4096 /* Later requests reuse the memory.  */

typedef struct
{
  cs_queued_request_t queued;
  cs_usec_t run_time; /* Actual one; QUEUED has the expected one.  */
  cs_usec_t ends_at;
  int class; /* Index of its request_class_t.  */
} simulated_request_t;

/* Numbers of requests, by class.  IN_TARGET met their target, LATE only their
   deadline.  */
typedef struct
{
  int offered[3], in_target[3], late[3], refused[3];
  cs_usec_t longest_refused_wait; /* From arrival to refusal.  */
} tally_t;

typedef struct
{
  int64_t priority;
  cs_usec_t latency_target, deadline_delay, mean_run_time;
  double rate_per_s; /* Arrivals per second.  */
} request_class_t;

typedef struct
{
  cs_request_queue_t queue;
  simulated_request_t *running[SLOTS];
  simulated_request_t requests[REQUESTS_KEPT];
  int request_count;
  tally_t tally;
} simulated_server_t;

static void
count_refusal (simulated_server_t *server, simulated_request_t *request,
               cs_usec_t now, cs_usec_t arrived)
{
  server->tally.refused[request->class]++;
  server->tally.longest_refused_wait
      = MAX (server->tally.longest_refused_wait, now - arrived);
}

static int
count_running (const simulated_server_t *server)
{
  int n = 0;
  for (int i = 0; i < SLOTS; i++)
    n += server->running[i] != NULL;
  return n;
}

static void
advance_server (simulated_server_t *server, cs_usec_t now,
                const request_class_t *classes)
{
  cs_queued_request_t *queued;
  for (int i = 0; i < SLOTS; i++)
    if (server->running[i] && server->running[i]->ends_at <= now)
      {
        simulated_request_t *request = server->running[i];
        if (request->ends_at <= request->queued.target_time)
          server->tally.in_target[request->class]++;
        else if (request->ends_at <= request->queued.deadline)
          server->tally.late[request->class]++;
        server->running[i] = NULL;
      }
  while ((queued = cs_request_queue_pop_expired (&server->queue, now)))
    count_refusal (
        server, (simulated_request_t *)queued, now,
        queued->deadline
            - classes[((simulated_request_t *)queued)->class].deadline_delay);
  for (int i = 0; i < SLOTS; i++)
    if (!server->running[i]
        && (queued = cs_request_queue_pop (&server->queue, now)))
      {
        server->running[i] = (simulated_request_t *)queued;
        server->running[i]->ends_at = now + server->running[i]->run_time;
      }
}

/* Have a request of CLASS arrive at SERVER.  */
static void
arrive (simulated_server_t *server, cs_usec_t now, int class,
        const request_class_t *request_class, GRand *random)
{
  simulated_request_t *request
      = &server->requests[server->request_count++ % REQUESTS_KEPT];
  cs_usec_t expected_wait;
  *request = (simulated_request_t){
    .class = class,
    .queued = { .priority = request_class->priority,
                .arrived_at = now,
                .latency_target = request_class->latency_target,
                .target_time = now + request_class->latency_target,
                .deadline = now + request_class->deadline_delay,
                .expected_service_time = request_class->mean_run_time }
  };
  request->run_time = (cs_usec_t)((double)request_class->mean_run_time
                                  * g_rand_double_range (random, 0.5, 1.5));
  cs_server_capacity_t capacity
      = { .slots = SLOTS,
          .running = count_running (server),
          .mean_service_time = request_class->mean_run_time };
  server->tally.offered[class]++;
  if (!cs_request_queue_try_push (&server->queue, &request->queued, &capacity,
                                  now, &expected_wait))
    count_refusal (server, request, now, now);
}

static tally_t
simulate_load (const request_class_t *classes, int count, cs_usec_t length)
{
  static simulated_server_t server;
  GRand *random = g_rand_new_with_seed (11);
  double due[3] = { 0 };
  server = (simulated_server_t){ 0 };
  for (cs_usec_t now = 0; now < length; now += MS)
    {
      advance_server (&server, now, classes);
      for (int i = 0; i < count; i++)
        for (due[i] += classes[i].rate_per_s / 1000.0; due[i] >= 1.0;
             due[i] -= 1.0)
          arrive (&server, now, i, &classes[i], random);
    }
  g_rand_free (random);
  return server.tally;
}

/* At one and a half times the capacity, what is served is served within its
   target, and the rest is refused early, always before its deadline.  */
static void
test_queue_overload (void)
{
  static const request_class_t classes[]
      = { { 1, 400 * MS, 800 * MS, 90 * MS, 1.5 * SLOTS / 0.09 } };
  tally_t t = simulate_load (classes, 1, 6 * CS_SEC);
  double capacity = 6.0 * SLOTS / 0.09;
  g_assert_cmpfloat (t.in_target[0], >, 0.85 * capacity);
  g_assert_cmpint (t.refused[0], >, 0);
  g_assert_cmpint (t.longest_refused_wait, <, 800 * MS);
}

/* The more urgent class is served although the other one alone exceeds the
   capacity.  */
static void
test_queue_priority (void)
{
  static const request_class_t classes[]
      = { { 0, 300 * MS, 1200 * MS, 63 * MS, 0.4 * SLOTS / 0.063 },
          { 2, 400 * MS, 800 * MS, 90 * MS, 1.2 * SLOTS / 0.09 } };
  tally_t t = simulate_load (classes, 2, 6 * CS_SEC);
  g_assert_cmpfloat (t.in_target[0], >, 0.95 * t.offered[0]);
  g_assert_cmpfloat (t.in_target[1], >, 0.35 * t.offered[1]);
}

/* Requests with a near target, such as calls made by running requests, pass a
   queue of the same priority with a distant target.  */
static void
test_queue_near_target (void)
{
  static const request_class_t classes[]
      = { { 1, 100 * MS, 250 * MS, 22 * MS, 0.4 * SLOTS / 0.022 },
          { 1, 500 * MS, 1000 * MS, 120 * MS, 1.0 * SLOTS / 0.12 } };
  tally_t t = simulate_load (classes, 2, 6 * CS_SEC);
  g_assert_cmpfloat (t.in_target[0], >, 0.9 * t.offered[0]);
  g_assert_cmpfloat (t.in_target[1], >, 0.4 * t.offered[1]);
}

/* Retry budgets.  */

/* One failing server of eight, which fails half of its requests, leaves
   retries useful; a service that fails every second request does not.  */
static void
test_retry_budget_service_wide_failure (void)
{
  cs_failure_rate_t one_failing = { 0 }, all_failing = { 0 };
  for (int i = 0; i < 400; i++)
    {
      cs_failure_rate_note (&one_failing, i % 16 == 0);
      cs_failure_rate_note (&all_failing, i % 2 == 0);
    }
  g_assert_true (cs_failure_rate_retry_may_help (&one_failing));
  g_assert_false (cs_failure_rate_retry_may_help (&all_failing));
  for (int i = 0; i < 400; i++)
    cs_failure_rate_note (&all_failing, false);
  g_assert_true (cs_failure_rate_retry_may_help (&all_failing));
}

/* A stop of 6 s: what comes at MS and lasts LASTS_MS is taken only if callers
   cannot know yet of the stop, or if it is sure to end in time.  */
static void
test_stop_takes_requests_that_it_cuts (void)
{
  static const struct
  {
    int ms, lasts_ms;
    bool taken;
    cs_stop_step_t step;
  } cases[] = {
    { 0, 10000, true, CS_STOP_SERVE },
    { 2500, 10000, true, CS_STOP_DRAIN },
    { 2900, 10000, false, CS_STOP_DRAIN },
    { 3100, 2400, true, CS_STOP_LISTEN_LAST },
    { 3100, 2500, false, CS_STOP_LISTEN_LAST },
    { 5000, 250, true, CS_STOP_NO_REQUESTS },
    { 5000, 1000, false, CS_STOP_NO_REQUESTS },
    { 5600, 10, false, CS_STOP_ANSWER_ALL },
    { 5800, 10, false, CS_STOP_END },
  };
  cs_stop_plan_t plan
      = { .started_at = 50 * CS_SEC, .grace_period = 6 * CS_SEC };
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      cs_usec_t now = plan.started_at + cases[i].ms * MS;
      g_test_message ("at %d ms, lasting %d ms", cases[i].ms,
                      cases[i].lasts_ms);
      g_assert_cmpint (
          cs_stop_plan_admits (&plan, now, now + cases[i].lasts_ms * MS), ==,
          cases[i].taken);
      g_assert_cmpint (cs_stop_plan_step (&plan, now), ==, cases[i].step);
    }
  cs_stop_plan_t none = { .grace_period = 6 * CS_SEC };
  g_assert_true (cs_stop_plan_admits (&none, 9 * CS_SEC, 99 * CS_SEC));
  g_assert_cmpint (cs_stop_plan_step (&none, 9 * CS_SEC), ==, CS_STOP_SERVE);
}

static void
test_weighted_round_robin (void)
{
  static const int64_t weights[] = { 90, 10, 0 };
  int64_t credit[3] = { 0 };
  int got[3] = { 0 };
  for (int i = 1; i <= 1000; i++)
    {
      got[cs_weighted_rr_next (weights, credit, 3)]++;
      g_assert_cmpint (ABS (got[1] * 10 - i), <=, 10);
    }
  g_assert_cmpint (got[2], ==, 0);
  static const int64_t none[] = { 0, 0 };
  g_assert_cmpint (cs_weighted_rr_next (none, credit, 2), ==, -1);
}

/* Status reports of the backend server.  */

static cs_backend_report_t
make_report (const char *instance, int64_t started_ms, int64_t sequence,
             bool draining)
{
  cs_backend_report_t r = { .slots = 12,
                            .started_ms = started_ms,
                            .sequence = sequence,
                            .draining = draining };
  g_strlcpy (r.instance, instance, sizeof r.instance);
  g_strlcpy (r.service, "viewer", sizeof r.service);
  g_strlcpy (r.version, "v1", sizeof r.version);
  g_strlcpy (r.address, "127.0.0.1:9", sizeof r.address);
  return r;
}

/* INSTANCE deregisters at wall time WALL_MS and monotonic time NOW.
   STARTED_MS: its start, as it tells; 0: it does not.  */
static void
leave_at (cs_backend_t *backend, const char *instance, int64_t started_ms,
          int64_t wall_ms, cs_usec_t now)
{
  cs_backend_leave_t leave
      = { .started_ms = started_ms, .received_ms = wall_ms };
  g_strlcpy (leave.instance, instance, sizeof leave.instance);
  cs_backend_leave (backend, &leave, now);
}

/* A server whose answers say that it leaves drains, whatever a report of the
   same start says then, until it restarts.  */
static void
test_leaving_in_answers (void)
{
  cs_backend_t backend = { 0 };
  cs_backend_report_t report
      = { .instance = "i1", .service = "s", .started_ms = 1, .sequence = 1 };
  cs_backend_report (&backend, &report, 0);
  cs_backend_mark_draining (&backend);
  g_assert_cmpint (backend.state, ==, CS_BACKEND_DRAINING);
  report.sequence = 2;
  cs_backend_report (&backend, &report, 1);
  g_assert_cmpint (backend.state, ==, CS_BACKEND_DRAINING);
  report.started_ms = 2;
  report.sequence = 1;
  cs_backend_report (&backend, &report, 2);
  g_assert_cmpint (backend.state, ==, CS_BACKEND_READY);
}

static void
test_server_state (void)
{
  enum
  {
    REPORT,
    LEAVE,
    LOSE
  };
  static const struct
  {
    const char *what;
    struct
    {
      int event;
      const char *instance;
      int64_t started_ms, sequence;
      bool draining;
    } steps[5];
    cs_backend_state_t state;
    const char *instance;
  } cases[] = {
    { "a first report",
      { { REPORT, "a", 1, 1, false } },
      CS_BACKEND_READY,
      "a" },
    { "draining",
      { { REPORT, "a", 1, 1, false }, { REPORT, "a", 1, 2, true } },
      CS_BACKEND_DRAINING,
      "a" },
    { "a late ready report after draining",
      { { REPORT, "a", 1, 1, false },
        { REPORT, "a", 1, 3, true },
        { REPORT, "a", 1, 2, false } },
      CS_BACKEND_DRAINING,
      "a" },
    { "a later ready report does not undo draining",
      { { REPORT, "a", 1, 2, true }, { REPORT, "a", 1, 3, false } },
      CS_BACKEND_DRAINING,
      "a" },
    { "a leave without draining",
      { { REPORT, "a", 1, 1, false }, { LEAVE, "a", 0, 0, false } },
      CS_BACKEND_LEFT,
      "a" },
    { "a report that was sent before the leave",
      { { REPORT, "a", 1, 1, false },
        { LEAVE, "a", 0, 0, false },
        { REPORT, "a", 1, 2, false } },
      CS_BACKEND_LEFT,
      "a" },
    { "a restart under the same id, whose sequence starts over",
      { { REPORT, "a", 1, 9, false },
        { LEAVE, "a", 0, 0, false },
        { REPORT, "a", 2, 1, false } },
      CS_BACKEND_READY,
      "a" },
    { "a report from before the restart, after it",
      { { REPORT, "a", 2, 1, false }, { REPORT, "a", 1, 9, true } },
      CS_BACKEND_READY,
      "a" },
    { "the address passes to a later server",
      { { REPORT, "a", 1, 5, false }, { REPORT, "b", 2, 1, false } },
      CS_BACKEND_READY,
      "b" },
    { "a delayed report of the earlier server",
      { { REPORT, "b", 2, 1, false }, { REPORT, "a", 1, 9, false } },
      CS_BACKEND_READY,
      "b" },
    { "a leave of another server",
      { { REPORT, "b", 2, 1, false }, { LEAVE, "a", 0, 0, false } },
      CS_BACKEND_READY,
      "b" },
    { "a lost server is back with its next report",
      { { REPORT, "a", 1, 1, false },
        { LOSE, NULL, 0, 0, false },
        { REPORT, "a", 1, 2, false } },
      CS_BACKEND_READY,
      "a" },
    { "a draining server that is lost stays draining",
      { { REPORT, "a", 1, 1, true }, { LOSE, NULL, 0, 0, false } },
      CS_BACKEND_DRAINING,
      "a" },
  };
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      cs_backend_t backend = { 0 };
      for (size_t j = 0; j < G_N_ELEMENTS (cases[i].steps); j++)
        {
          const char *instance = cases[i].steps[j].instance;
          cs_backend_report_t r = make_report (
              instance ? instance : "", cases[i].steps[j].started_ms,
              cases[i].steps[j].sequence, cases[i].steps[j].draining);
          if (cases[i].steps[j].event == LOSE)
            cs_backend_mark_lost (&backend, (cs_usec_t)j);
          else if (instance && cases[i].steps[j].event == LEAVE)
            leave_at (&backend, instance, cases[i].steps[j].started_ms,
                      (int64_t)j, (cs_usec_t)j);
          else if (instance)
            cs_backend_report (&backend, &r, (cs_usec_t)j);
        }
      g_test_message ("%s", cases[i].what);
      g_assert_cmpstr (cs_backend_state_name (backend.state), ==,
                       cs_backend_state_name (cases[i].state));
      g_assert_cmpstr (backend.report.instance, ==, cases[i].instance);
    }
}

/* A process that has just started knows nothing of its server when that says
   that it leaves.  A report that was sent before, and comes later, does not
   make it ready.  */
static void
test_leave_before_first_report (void)
{
  cs_backend_t backend = { 0 };
  cs_backend_report_t late = make_report ("a", 1, 9, false);
  leave_at (&backend, "a", 0, 500, 10 * MS);
  cs_backend_report (&backend, &late, 20 * MS);
  if (backend.state == CS_BACKEND_READY)
    {
      g_test_message ("the server is %s",
                      cs_backend_state_name (backend.state));
      g_test_fail ();
    }
}

/* What follows a leave that came before the first report.  Guards against a
   server that is kept out for ever because of it: a later start under the same
   id, also after a step of the clock, and another server at the address.  */
static void
test_reports_after_early_leave (void)
{
  static const struct
  {
    const char *what;
    int64_t leave_started_ms; /* As the leave tells; 0: it does not.  */
    const char *instance;
    int64_t started_ms, received_ms, sequence;
    cs_backend_state_t state;
  } cases[] = {
    { "the start that left", 0, "a", 1000, 5020, 9, CS_BACKEND_LEFT },
    { "a later start", 0, "a", 5015, 5020, 1, CS_BACKEND_READY },
    { "a later start, after its first reports", 0, "a", 5015, 9000, 40,
      CS_BACKEND_READY },
    { "a later start, the clock 2 s back", 0, "a", 3015, 3020, 1,
      CS_BACKEND_READY },
    { "the start that left, the clock 2 s back", 0, "a", 1000, 3020, 9,
      CS_BACKEND_LEFT },
    { "the start that left, the clock 2 s ahead", 0, "a", 1000, 7020, 9,
      CS_BACKEND_LEFT },
    { "another server, which started before", 0, "b", 900, 5020, 7,
      CS_BACKEND_READY },
    { "the start that the leave names", 1000, "a", 1000, 5020, 9,
      CS_BACKEND_LEFT },
    { "a later start than the leave names", 1000, "a", 1001, 5020, 1,
      CS_BACKEND_READY },
  };
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      cs_backend_t backend = { 0 };
      cs_backend_report_t report = make_report (
          cases[i].instance, cases[i].started_ms, cases[i].sequence, false);
      report.received_ms = cases[i].received_ms;
      leave_at (&backend, "a", cases[i].leave_started_ms, 5010, 10 * MS);
      cs_backend_report (&backend, &report, 20 * MS);
      g_test_message ("%s", cases[i].what);
      g_assert_cmpint (backend.state, ==, cases[i].state);
    }
}

/* A report whose start is earlier than that of the server that is known, which
   was last heard of at wall time 5010.  Guards against a server that is kept
   out for ever because the clock went back before it started.  */
static void
test_report_after_clock_went_back (void)
{
  static const struct
  {
    const char *what, *instance;
    int64_t started_ms, received_ms, sequence;
    const char *known;
  } cases[] = {
    { "an earlier server", "a", 1000, 5020, 1, "b" },
    { "a new server, the clock 2 s back", "a", 3015, 3020, 1, "a" },
    { "an earlier server, the clock 2 s back", "a", 1000, 3020, 1, "b" },
    { "its late report, the clock 4 s back", "a", 1100, 1020, 9, "b" },
    { "an earlier server, the clock 2 s ahead", "a", 1000, 7020, 1, "b" },
  };
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      cs_backend_t backend = { 0 };
      cs_backend_report_t held = make_report ("b", 4000, 7, true);
      cs_backend_report_t report = make_report (
          cases[i].instance, cases[i].started_ms, cases[i].sequence, false);
      held.received_ms = 5010;
      report.received_ms = cases[i].received_ms;
      cs_backend_report (&backend, &held, 10 * MS);
      cs_backend_report (&backend, &report, 20 * MS);
      g_test_message ("%s", cases[i].what);
      g_assert_cmpstr (backend.report.instance, ==, cases[i].known);
    }
}

/* The process before this one acknowledged that the server leaves, and wrote
   it to the node's row.  Guards against a report that was sent before and is
   received by the new process, before or after it reads the row.  */
static void
test_leave_of_earlier_process (void)
{
  static const cs_backend_state_t states[]
      = { CS_BACKEND_DRAINING, CS_BACKEND_LEFT };
  cs_backend_report_t late = make_report ("a", 7, 9, false);
  cs_backend_report_t restarted = make_report ("a", 8, 1, false);
  for (size_t i = 0; i < G_N_ELEMENTS (states); i++)
    for (int report_first = 0; report_first < 2; report_first++)
      {
        cs_backend_t backend = { 0 };
        if (report_first)
          cs_backend_report (&backend, &late, 10 * MS);
        cs_backend_restore (&backend, "a", 7, states[i]);
        if (!report_first)
          cs_backend_report (&backend, &late, 20 * MS);
        g_assert_cmpint (backend.state, ==, states[i]);
        cs_backend_report (&backend, &restarted, 30 * MS);
        g_assert_cmpint (backend.state, ==, CS_BACKEND_READY);
      }
  cs_backend_t ready = { 0 };
  cs_backend_restore (&ready, "a", 7, CS_BACKEND_READY);
  g_assert_cmpint (ready.state, ==, CS_BACKEND_NONE);
}

/* Which nodes read the table and which one owns a move: one node does, and the
   others take over one by one when it stops.  */
static void
test_readers_and_move_owners (void)
{
  g_assert_true (cs_table_reader_should_read (0, 0, 0));
  g_assert_false (cs_table_reader_should_read (1, 1000 * MS, 1100 * MS));
  g_assert_true (cs_table_reader_should_read (1, 1500 * MS, 1500 * MS));
  g_assert_false (cs_table_reader_should_read (5, 1500 * MS, 1500 * MS));
  /* The last node reads within the time in which a change must be in force
     everywhere.  */
  g_assert_true (cs_table_reader_should_read (400, 2300 * MS, 2300 * MS));
  /* The table is down for all, and its readers report that: 400 nodes must not
     all try it at once.  */
  g_assert_false (cs_table_reader_should_read (400, 8000 * MS, 300 * MS));
  /* It is down for half of the nodes: ranks 0 to 7 all try it in time, so that
     most likely one of them reads it.  */
  g_assert_true (cs_table_reader_should_read (7, 2050 * MS, 300 * MS));
  /* Two versions of a large configuration are too much, one with what else
     has changed is not; small rows are never read for that.  */
  g_assert_cmpuint (cs_table_reader_watch_max (183000), <, 2 * 183000);
  g_assert_cmpuint (cs_table_reader_watch_max (183000), >, 183000 + 9000);
  g_assert_cmpuint (cs_table_reader_watch_max (0), >=, 20000);
  g_assert_cmpint (cs_table_reader_retry_delay (0, 1), ==, 150 * MS);
  g_assert_cmpint (cs_table_reader_retry_delay (0, 50), ==, 800 * MS);
  g_assert_cmpint (cs_table_reader_retry_delay (9, 50), ==, 2500 * MS);
  g_assert_true (cs_move_owner_should_take_over (0, false, 0));
  g_assert_false (cs_move_owner_should_take_over (1, false, 300 * MS));
  g_assert_false (cs_move_owner_should_take_over (0, true, 900 * MS));
  g_assert_true (cs_move_owner_should_take_over (0, true, 1100 * MS));
  g_assert_cmpint (cs_move_verdict_deadline_ms (0, 16000, 10 * MS, 0), ==,
                   13600);
  g_assert_cmpint (cs_move_verdict_deadline_ms (0, 100000, 10 * MS, 0), ==,
                   97500);
  /* Time is left for two writes to a slow table and for the last requests of
     the old version.  */
  g_assert_cmpint (cs_move_verdict_deadline_ms (0, 16000, 1500 * MS, 0), ==,
                   11600);
  g_assert_cmpint (cs_move_verdict_deadline_ms (0, 5000, 1500 * MS, 0), ==,
                   3000);
  /* Requests of the old version take seconds.  */
  g_assert_cmpint (cs_move_verdict_deadline_ms (0, 9000, 0, 2 * CS_SEC), ==,
                   6400);
  g_assert_false (cs_move_bake_time_is_over (700 * MS, 2 * CS_SEC, 10 * MS));
  g_assert_true (cs_move_bake_time_is_over (800 * MS, 2 * CS_SEC, 10 * MS));
  g_assert_true (cs_move_bake_time_is_over (400 * MS, 200 * MS, 10 * MS));
  g_assert_true (cs_move_bake_time_is_over (400 * MS, 1600 * MS, 700 * MS));
  g_assert_false (cs_move_baseline_is_drained (1, 0, CS_SEC));
  g_assert_false (cs_move_baseline_is_drained (0, CS_SEC, CS_SEC));
  g_assert_false (cs_move_baseline_is_drained (0, 0, 100 * MS));
  g_assert_true (cs_move_baseline_is_drained (0, 100 * MS, CS_SEC));
}

/* Rows of some hundred kilobytes are not read over the link of a small host
   while the region has a larger one.  */
static void
test_reader_behind_slow_link (void)
{
  cs_node_info_t small = { .name = "a", .link_mbps = 10 };
  cs_node_info_t large = { .name = "b", .link_mbps = 200 };
  cs_node_info_t equal = { .name = "c", .link_mbps = 200 };
  g_assert_true (cs_node_reads_before (&large, &small));
  g_assert_false (cs_node_reads_before (&small, &large));
  g_assert_true (cs_node_reads_before (&large, &equal));
  g_assert_false (cs_node_reads_before (&equal, &large));
  g_assert_false (cs_node_reads_before (&large, &large));
}

/* After a power loss 47 nodes of a region start within 200 ms.  Each can read
   the table 50 ms after its start, reaches the others 100 ms later, and has
   the rows 100 ms after asking a node that has them.  All reads share the
   region's one link.  Few of the nodes may read, and none may wait long for
   the rows.  */
static void
test_readers_after_power_loss (void)
{
  enum
  {
    NODES = 47,
    STEP_MS = 10
  };
  static const struct
  {
    const char *what;
    int absent_count; /* How many of the first nodes by name never start.  */
    int read_ms;      /* Duration of a read that has the link for itself.  */
    unsigned reads_max;
    int64_t longest_wait_max_ms;
  } cases[] = { { "all nodes start", 0, 100, 2, 300 },
                { "the first two nodes never start", 2, 100, 8, 500 },
                { "the table is in another region", 0, 700, 2, 1100 } };
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      int64_t can_read_at_ms[NODES], rows_at_ms[NODES], longest_wait_ms = 0;
      double left_to_read[NODES]; /* Parts; 0: no read.  */
      unsigned reads = 0, reading = 0;
      for (int node = 0; node < NODES; node++)
        {
          can_read_at_ms[node] = node < cases[i].absent_count
                                     ? INT64_MAX
                                     : 50 + (node * 37) % 200;
          rows_at_ms[node] = INT64_MAX;
          left_to_read[node] = 0;
        }
      for (int64_t now_ms = 0; now_ms < 20000; now_ms += STEP_MS)
        for (int node = 0; node < NODES; node++)
          {
            unsigned reached = 0;
            bool peer_has_rows = false, read_ends = false;
            if (now_ms < can_read_at_ms[node] || rows_at_ms[node] != INT64_MAX)
              continue;
            for (int peer = 0; peer < NODES; peer++)
              {
                bool connected = peer != node
                                 && can_read_at_ms[peer] <= now_ms - 100
                                 && can_read_at_ms[node] <= now_ms - 100;
                reached += peer < node && connected;
                peer_has_rows |= connected && rows_at_ms[peer] <= now_ms;
              }
            if (left_to_read[node] > 0)
              {
                left_to_read[node]
                    -= (double)STEP_MS / cases[i].read_ms / MAX (reading, 1);
                read_ends = left_to_read[node] <= 0;
                reading -= read_ends;
              }
            else if (cs_table_reader_should_read_initial (
                         false, (unsigned)node, reached,
                         (now_ms - can_read_at_ms[node]) * MS))
              {
                reads++;
                reading++;
                left_to_read[node] = 1;
              }
            if (read_ends)
              rows_at_ms[node] = now_ms;
            else if (peer_has_rows)
              rows_at_ms[node] = now_ms + 100;
            if (rows_at_ms[node] != INT64_MAX)
              longest_wait_ms = MAX (longest_wait_ms,
                                     rows_at_ms[node] - can_read_at_ms[node]);
          }
      g_test_message ("%s: %u reads, longest wait %d ms", cases[i].what, reads,
                      (int)longest_wait_ms);
      g_assert_cmpuint (reads, <=, cases[i].reads_max);
      g_assert_cmpint (longest_wait_ms, >, 0);
      g_assert_cmpint (longest_wait_ms, <=, cases[i].longest_wait_max_ms);
    }
  /* A node that gets no rows from the others reads in the end.  */
  g_assert_true (
      cs_table_reader_should_read_initial (false, 40, 30, 2000 * MS));
  g_assert_true (cs_table_reader_should_read_initial (false, 1, 1, 850 * MS));
  g_assert_false (
      cs_table_reader_should_read_initial (true, 40, 30, 700 * MS));
  g_assert_true (
      cs_table_reader_should_read_initial (true, 40, 30, 1500 * MS));
}

/* After a restart 200 requests arrive at once at a server with 18 slots that
   takes 400 ms for each.  Although no run time has been measured yet, few of
   the requests that are queued may end past their target of 1200 ms.  */
static void
test_queue_with_unknown_run_times (void)
{
  enum
  {
    REQUEST_COUNT = 200,
    SERVER_SLOTS = 18
  };
  cs_request_queue_t queue = { 0 };
  cs_queued_request_t requests[REQUEST_COUNT];
  cs_service_times_t service_times;
  cs_usec_t ends[SERVER_SLOTS] = { 0 };
  unsigned served = 0, late = 0;
  g_queue_init (&queue.requests);
  cs_service_times_init (&service_times);
  for (int i = 0; i < REQUEST_COUNT; i++)
    {
      cs_usec_t expected_wait;
      cs_usec_t run_time = cs_service_times_of_route (
          &service_times, "/r", cs_service_time_initial (1200 * MS));
      cs_server_capacity_t capacity
          = { .slots = SERVER_SLOTS,
              .running = 0,
              .mean_service_time
              = cs_service_times_mean (&service_times, run_time) };
      requests[i] = (cs_queued_request_t){ .target_time = 1200 * MS,
                                           .latency_target = 1200 * MS,
                                           .deadline = 8000 * MS,
                                           .expected_service_time = run_time };
      cs_request_queue_try_push (&queue, &requests[i], &capacity, 0,
                                 &expected_wait);
    }
  for (cs_queued_request_t *request;
       (request = cs_request_queue_pop (&queue, 0));)
    {
      int soonest = 0;
      for (int i = 1; i < SERVER_SLOTS; i++)
        if (ends[i] < ends[soonest])
          soonest = i;
      ends[soonest] += 400 * MS;
      served++;
      late += ends[soonest] > request->target_time;
    }
  /* At least half of the 54 requests that could end in time.  */
  g_assert_cmpuint (served, >=, 27);
  g_assert_cmpuint (late, <=, served / 10);
  /* The first measurements weigh as in a plain mean.  */
  cs_service_times_add (&service_times, "/r", 800 * MS);
  cs_service_times_add (&service_times, "/r", 600 * MS);
  g_assert_cmpint (cs_service_times_of_route (&service_times, "/r", 0), ==,
                   700 * MS);
  g_assert_cmpint (cs_service_times_mean (&service_times, 0), ==, 700 * MS);
  cs_service_times_reset (&service_times);
  g_assert_cmpint (cs_service_times_of_route (&service_times, "/r", 5), ==, 5);
  cs_service_times_clear (&service_times);
}

/* Limits that servers name.  */

#define LIMIT_WINDOW_MS 4000
#define LIMIT_LENGTH_MS 30000
#define LIMIT_PAUSE_FROM_MS 10000
#define LIMIT_PAUSE_END_MS 20000

/* Bursts of requests at a server that names a limit, a pause, and a long
   burst: in each span of 4 s it gets at most one and a half times the limit,
   and 5, and after the pause no less than it takes.  */
static void
test_limit_under_bursts (void)
{
  static const double limits[] = { 57.5, 8.6, 2, 0.3, 0 };
  for (size_t i = 0; i < G_N_ELEMENTS (limits); i++)
    {
      static int sent[LIMIT_LENGTH_MS];
      cs_server_limit_t limit;
      int waiting = 0, in_window = 0, total = 0;
      cs_server_limit_init (&limit);
      cs_server_limit_set (&limit, limits[i], CS_SEC);
      for (int ms = 0; ms < LIMIT_LENGTH_MS; ms++)
        {
          cs_usec_t now = CS_SEC + ms * MS;
          /* The node looks at its queue every 25 ms.  */
          if (ms < LIMIT_PAUSE_FROM_MS && ms % 500 == 0)
            waiting += (int)limits[i] / 2;
          if (ms == LIMIT_PAUSE_END_MS)
            waiting += 12 * (int)limits[i] + 12;
          sent[ms] = 0;
          for (; ms % 25 == 0 && waiting
                 && cs_server_limit_wait (&limit, 0, now) == 0;
               waiting--)
            {
              cs_server_limit_take (&limit, now);
              sent[ms]++;
            }
          in_window
              += sent[ms]
                 - (ms >= LIMIT_WINDOW_MS ? sent[ms - LIMIT_WINDOW_MS] : 0);
          total += ms >= LIMIT_PAUSE_END_MS ? sent[ms] : 0;
          g_assert_cmpfloat (in_window, <=,
                             1.5 * limits[i] * LIMIT_WINDOW_MS / 1000 + 5);
        }
      g_test_message ("limit %.1f: %d requests in 10 s", limits[i], total);
      g_assert_cmpfloat (
          total, >=,
          limits[i] * (LIMIT_LENGTH_MS - LIMIT_PAUSE_END_MS) / 1000 - 1);
      g_assert_cmpint (total, >, 0);
    }
}

/* A limit that is named anew, changed, and named no more.  */
static void
test_limit_changes (void)
{
  cs_server_limit_t limit;
  cs_server_limit_init (&limit);
  g_assert_cmpint (cs_server_limit_wait (&limit, 100, CS_SEC), ==, 0);
  g_assert_false (cs_server_limit_set (&limit, -1, CS_SEC));
  g_assert_true (cs_server_limit_set (&limit, 10, CS_SEC));
  g_assert_false (cs_server_limit_set (&limit, 10, CS_SEC));
  g_assert_cmpint (cs_server_limit_wait (&limit, 0, CS_SEC), ==, 0);
  g_assert_cmpint (cs_server_limit_wait (&limit, 3, CS_SEC), ==, 300 * MS);
  cs_server_limit_take (&limit, CS_SEC);
  g_assert_cmpint (cs_server_limit_wait (&limit, 0, CS_SEC), ==, 100 * MS);
  g_assert_true (cs_server_limit_set (&limit, 100, CS_SEC));
  g_assert_cmpint (cs_server_limit_wait (&limit, 1, CS_SEC), ==, 20 * MS);
  /* A server that has taken nothing takes requests again.  */
  g_assert_true (cs_server_limit_set (&limit, 0, CS_SEC));
  cs_server_limit_take (&limit, CS_SEC + 20 * MS);
  g_assert_true (cs_server_limit_set (&limit, 50, CS_SEC + 40 * MS));
  g_assert_cmpint (cs_server_limit_wait (&limit, 0, CS_SEC + 40 * MS), <=,
                   20 * MS);
  g_assert_true (cs_server_limit_set (&limit, -1, CS_SEC));
  g_assert_cmpint (cs_server_limit_wait (&limit, 100, CS_SEC), ==, 0);
}

/* The queue of a server that names a limit: a request that would miss its
   deadline by its turn is refused at once, though slots are free.  */
static void
test_queue_under_limit (void)
{
  cs_server_limit_t limit;
  cs_request_queue_t queue = { 0 };
  cs_queued_request_t requests[8];
  int admitted = 0;
  cs_server_limit_init (&limit);
  cs_server_limit_set (&limit, 10, CS_SEC);
  cs_server_limit_take (&limit, CS_SEC);
  cs_server_capacity_t capacity
      = { .slots = 12, .mean_service_time = 50 * MS, .limit = &limit };
  for (int i = 0; i < 8; i++)
    {
      cs_usec_t wait;
      requests[i] = (cs_queued_request_t){ .arrived_at = CS_SEC,
                                           .target_time = CS_SEC + 400 * MS,
                                           .latency_target = 400 * MS,
                                           .deadline = CS_SEC + 400 * MS,
                                           .expected_service_time = 50 * MS };
      if (cs_request_queue_try_push (&queue, &requests[i], &capacity, CS_SEC,
                                     &wait))
        admitted++;
      g_assert_cmpint (wait, ==, MIN (i + 1, 4) * 100 * MS);
    }
  g_assert_cmpint (admitted, ==, 3);
}

/* A near server that names a limit, with its turns taken for the time that a
   request has: one without is chosen.  */
/* A cold server beside more requests than it takes, and a process that starts
   in the middle and does not know what was sent.  In each second the server
   gets no more than its rate, counted from one request to the next, and no
   less over all but for the silence after the start.  A named limit that is
   lower holds too.  */
static void
test_cold_rate (void)
{
  static const double rates[] = { 5.3, 1, 40 };
  for (size_t i = 0; i < G_N_ELEMENTS (rates); i++)
    for (int named = 0; named < 2; named++)
      {
        double rate = named ? rates[i] / 2 : rates[i];
        cs_usec_t sent_at[4] = { 0 };
        int sent = 0;
        cs_server_limit_t limit;
        cs_server_limit_init (&limit);
        cs_server_limit_set_cold (&limit, rates[i], 13 * CS_SEC, false,
                                  CS_SEC);
        if (named)
          cs_server_limit_set (&limit, rate, CS_SEC);
        for (cs_usec_t now = CS_SEC; now < 13 * CS_SEC; now += MS)
          {
            if (now == 7 * CS_SEC)
              {
                cs_server_limit_init (&limit);
                cs_server_limit_set_cold (&limit, rates[i], 13 * CS_SEC, true,
                                          now);
                if (named)
                  cs_server_limit_set (&limit, rate, now);
              }
            /* Nothing comes for a second: no burst follows.  */
            if ((now >= 3 * CS_SEC && now < 4 * CS_SEC)
                || cs_server_limit_wait (&limit, 0, now) > 0)
              continue;
            cs_server_limit_take (&limit, now);
            cs_usec_t last = sent_at[(sent + 3) % 4];
            g_assert_true (sent == 0
                           || (double)(now - last)
                                  >= (double)CS_SEC / rate - 1.1 * (double)MS);
            sent_at[sent++ % 4] = now;
          }
        g_assert_cmpint (sent, >=, (int)(rate * 11) - 3);
        g_assert_cmpint (sent, <=, (int)(rate * 12) + 1);
        g_assert_cmpint (cs_server_limit_cold_left (&limit, 13 * CS_SEC), ==,
                         0);
        g_assert_cmpint (cs_server_limit_interval (&limit, 13 * CS_SEC), ==,
                         named ? (cs_usec_t)((double)CS_SEC / rate) : 0);
      }
}

static void
test_placement_heeds_limit (void)
{
  GRand *random = g_rand_new_with_seed (1);
  cs_placement_node_t nodes[] = { make_node (CS_SAME_DC, 0, 1 * MS),
                                  make_node (CS_SAME_REGION, 5, 3 * MS) };
  cs_placement_request_t request = { .target_left = 300 * MS };
  nodes[0].limit_delay = 20 * MS;
  g_assert_cmpint (cs_placement_choose (nodes, 2, &request, random).index, ==,
                   0);
  nodes[0].limit_delay = 250 * MS;
  g_assert_cmpint (cs_placement_choose (nodes, 2, &request, random).index, ==,
                   1);
  g_rand_free (random);
}

int
main (int argc, char **argv)
{
  /* Run all cases even if one fails.  */
  char *args[] = { argv[0], "--keep-going", NULL }, **list = args;
  int count = 2;
  if (argc > 1)
    list = argv, count = argc;
  g_test_init (&count, &list, NULL);
  g_test_add_func ("/decide/place", test_placement);
  g_test_add_func ("/decide/retry-sent-to-other-region",
                   test_retry_sent_to_other_region);
  g_test_add_func ("/decide/place-herd", test_placement_spreads_ties);
  g_test_add_func ("/decide/waiting-overload", test_queue_overload);
  g_test_add_func ("/decide/waiting-priority", test_queue_priority);
  g_test_add_func ("/decide/waiting-near-target", test_queue_near_target);
  g_test_add_func ("/decide/budget-whole",
                   test_retry_budget_service_wide_failure);
  g_test_add_func ("/decide/stop-takes-requests-that-it-cuts",
                   test_stop_takes_requests_that_it_cuts);
  g_test_add_func ("/decide/rotation", test_weighted_round_robin);
  g_test_add_func ("/decide/limit-under-bursts", test_limit_under_bursts);
  g_test_add_func ("/decide/limit-changes", test_limit_changes);
  g_test_add_func ("/decide/queue-under-limit", test_queue_under_limit);
  g_test_add_func ("/decide/cold-rate", test_cold_rate);
  g_test_add_func ("/decide/placement-heeds-limit",
                   test_placement_heeds_limit);
  g_test_add_func ("/decide/life", test_server_state);
  g_test_add_func ("/decide/leave-before-first-report-forgotten",
                   test_leave_before_first_report);
  g_test_add_func ("/decide/reports-after-early-leave",
                   test_reports_after_early_leave);
  g_test_add_func ("/decide/report-after-clock-went-back",
                   test_report_after_clock_went_back);
  g_test_add_func ("/decide/leave-of-earlier-process",
                   test_leave_of_earlier_process);
  g_test_add_func ("/decide/leaving-in-answers", test_leaving_in_answers);
  g_test_add_func ("/decide/roles", test_readers_and_move_owners);
  g_test_add_func ("/decide/reader-behind-slow-link",
                   test_reader_behind_slow_link);
  g_test_add_func ("/decide/power-returns", test_readers_after_power_loss);
  g_test_add_func ("/decide/unknown-speed", test_queue_with_unknown_run_times);
  return g_test_run ();
}
