/* Unit tests of load balancing, ejection, retries, concurrency limits and
   admission.  */
#include <string.h>

#include "cardamom/cardamom.h"

static cs_manual_clock_t test_clock;

static cs_ctx_t *
new_ctx (void)
{
  cs_manual_clock_init (&test_clock, 1700000000 * CS_SEC);
  cs_manual_clock_advance (&test_clock, 100 * CS_SEC);
  return cs_ctx_new (NULL, &test_clock.base, 1);
}

static cs_upstream_t *
add_upstream (cs_upstream_set_t *set, const char *node, cs_distance_t distance,
              int64_t age_ms)
{
  cs_clock_t *clock = &test_clock.base;
  cs_upstream_t *upstream = cs_upstream_new (&(cs_upstream_params_t){
      .node = node,
      .host = "127.0.0.1",
      .port = 1,
      .service = "/t/services/s",
      .version = "v1",
      .distance = distance,
      .slots = 10,
      .announced_ms = clock->wall (clock) / CS_MSEC - age_ms });
  g_ptr_array_add (set->list, upstream);
  return upstream;
}

static cs_balancer_criteria_t
criteria_now (cs_ctx_t *ctx)
{
  return (cs_balancer_criteria_t){ .now = cs_now (ctx),
                                   .wall_ms = cs_now_wall (ctx) / CS_MSEC,
                                   .other_region_allowed = true };
}

static const cs_balancer_vtable_t *
least_cost (cs_ctx_t *ctx)
{
  const void *vtable;
  g_assert_cmpint (
      cs_plugin_find (ctx, CS_PLUGIN_BALANCER, "least-cost", &vtable), ==,
      CS_OK);
  return vtable;
}

/* How many of CHOICES choices are UPSTREAM, with no call started in between.
 */
static int
count_choices (cs_ctx_t *ctx, cs_upstream_set_t *set,
               const cs_balancer_criteria_t *criteria,
               const cs_upstream_t *upstream, int choices)
{
  int count = 0;
  for (int i = 0; i < choices; i++)
    count += least_cost (ctx)->choose (ctx, set, criteria) == upstream;
  return count;
}

static void
set_inflight (cs_upstream_t *upstream, int64_t calls)
{
  atomic_store (&upstream->inflight, calls);
}

/* Calls in flight at an upstream of each distance, with 10 slots each, and
   which of them the next call goes to.  */
static void
test_spillover (void)
{
  static const struct
  {
    int64_t near, region, far;
    bool other_region_allowed;
    int chosen; /* 0: same data centre, 1: same region, 2: other region.  */
  } cases[] = {
    { 0, 0, 0, true, 0 },     { 8, 0, 0, true, 0 },
    { 25, 0, 0, true, 1 },    { 25, 5, 0, true, 1 },
    { 500, 500, 0, true, 2 }, { 500, 500, 0, false, 0 },
    { 60, 60, 0, true, 0 },
  };
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      cs_ctx_t *ctx = new_ctx ();
      cs_upstream_set_t *set = cs_upstream_set_new ();
      cs_upstream_t *upstreams[3]
          = { add_upstream (set, "near", CS_SAME_DC, 60000),
              add_upstream (set, "region", CS_SAME_REGION, 60000),
              add_upstream (set, "far", CS_OTHER_REGION, 60000) };
      cs_balancer_criteria_t criteria = criteria_now (ctx);
      criteria.other_region_allowed = cases[i].other_region_allowed;
      set_inflight (upstreams[0], cases[i].near);
      set_inflight (upstreams[1], cases[i].region);
      set_inflight (upstreams[2], cases[i].far);
      g_assert_cmpint (
          count_choices (ctx, set, &criteria, upstreams[cases[i].chosen], 50),
          ==, 50);
      for (int k = 0; k < 3; k++)
        set_inflight (upstreams[k], 0);
      cs_upstream_set_drop (set);
      cs_ctx_drop (ctx);
    }
}

/* A newly announced upstream gets few calls at first and more after ten
   seconds.  */
static void
test_slow_start (void)
{
  cs_ctx_t *ctx = new_ctx ();
  cs_upstream_set_t *set = cs_upstream_set_new ();
  for (int i = 0; i < 4; i++)
    add_upstream (set, "warm", CS_SAME_DC, 60000);
  cs_upstream_t *new_upstream = add_upstream (set, "cold", CS_SAME_DC, 0);
  cs_balancer_criteria_t criteria = criteria_now (ctx);
  for (guint i = 0; i < set->list->len; i++)
    set_inflight (set->list->pdata[i], 1);
  int at_start = count_choices (ctx, set, &criteria, new_upstream, 1000);
  criteria.wall_ms += 10000;
  int later = count_choices (ctx, set, &criteria, new_upstream, 1000);
  g_assert_cmpint (at_start, <, 50);
  g_assert_cmpint (later, >, 100);
  for (guint i = 0; i < set->list->len; i++)
    set_inflight (set->list->pdata[i], 0);
  cs_upstream_set_drop (set);
  cs_ctx_drop (ctx);
}

static void
fail_calls (cs_ctx_t *ctx, cs_upstream_t *upstream, cs_upstream_set_t *set,
            int count)
{
  for (int i = 0; i < count; i++)
    {
      cs_upstream_attempt_begin (upstream);
      cs_upstream_attempt_end (ctx, upstream, set, CS_ATTEMPT_FAILED, 0, -1);
    }
}

static unsigned
count_ejected (cs_upstream_set_t *set)
{
  unsigned count = 0;
  for (guint i = 0; i < set->list->len; i++)
    count
        += atomic_load (&((cs_upstream_t *)set->list->pdata[i])->ejected_until)
           != 0;
  return count;
}

/* Failing upstreams are ejected, but at most a third of them, and return after
   a successful probe call.  */
static void
test_ejection_is_bounded (void)
{
  cs_ctx_t *ctx = new_ctx ();
  cs_upstream_set_t *set = cs_upstream_set_new ();
  for (int i = 0; i < 10; i++)
    {
      char name[8];
      g_snprintf (name, sizeof name, "n%d", i);
      add_upstream (set, name, CS_SAME_DC, 60000);
    }
  cs_upstream_t *first = set->list->pdata[0];
  fail_calls (ctx, first, set, 10);
  g_assert_true (cs_upstream_is_ejected (first, cs_now (ctx)));
  cs_balancer_criteria_t criteria = criteria_now (ctx);
  g_assert_cmpint (count_choices (ctx, set, &criteria, first, 200), ==, 0);
  /* When all fail, at most a third are ejected and one can still be chosen. */
  for (guint i = 1; i < 10; i++)
    fail_calls (ctx, set->list->pdata[i], set, 10);
  g_assert_cmpuint (count_ejected (set), <=,
                    10 * CS_EJECTED_MAX_PERCENT / 100);
  g_assert_nonnull (least_cost (ctx)->choose (ctx, set, &criteria));
  /* After the ejection time it gets one probe call at a time; a success ends
     the ejection.  */
  cs_manual_clock_advance (&test_clock, 60 * CS_SEC);
  g_assert_false (cs_upstream_is_ejected (first, cs_now (ctx)));
  cs_upstream_attempt_begin (first);
  g_assert_true (cs_upstream_is_ejected (first, cs_now (ctx)));
  cs_upstream_attempt_end (ctx, first, set, CS_ATTEMPT_OK, 1000, -1);
  g_assert_cmpint (atomic_load (&first->ejected_until), ==, 0);
  cs_upstream_set_drop (set);
  cs_ctx_drop (ctx);
}

/* Refusals because of load raise the cost of an upstream but do not eject it.
 */
static void
test_shed_does_not_eject (void)
{
  cs_ctx_t *ctx = new_ctx ();
  cs_upstream_set_t *set = cs_upstream_set_new ();
  cs_upstream_t *last = NULL;
  for (int i = 0; i < 5; i++)
    last = add_upstream (set, "n", CS_SAME_DC, 60000);
  for (int i = 0; i < 100; i++)
    {
      cs_upstream_attempt_begin (last);
      cs_upstream_attempt_end (ctx, last, set, CS_ATTEMPT_SHED, 0, 30);
    }
  g_assert_cmpuint (count_ejected (set), ==, 0);
  cs_balancer_criteria_t criteria = criteria_now (ctx);
  g_assert_cmpint (cs_upstream_cost (last, &criteria), >,
                   cs_upstream_cost (set->list->pdata[0], &criteria));
  cs_upstream_set_drop (set);
  cs_ctx_drop (ctx);
}

#define SECOND CS_SEC

static void
test_retry_table (void)
{
  static const struct
  {
    cs_retry_params_t params;
    cs_retry_decision_t decision;
  } cases[] = {
    { { CS_RUN_NOT_STARTED, false, false, true, 1, 3, SECOND, 0 },
      CS_RETRY_ALLOWED },
    { { CS_RUN_NOT_STARTED, true, false, false, 1, 3, SECOND, 0 },
      CS_RETRY_ALLOWED },
    { { CS_RUN_UNKNOWN, false, false, true, 1, 3, SECOND, 0 },
      CS_RETRY_UNSAFE },
    { { CS_RUN_FAILED, false, false, true, 1, 3, SECOND, 0 },
      CS_RETRY_UNSAFE },
    { { CS_RUN_UNKNOWN, false, true, true, 1, 3, SECOND, 0 },
      CS_RETRY_ALLOWED },
    { { CS_RUN_UNKNOWN, false, true, false, 1, 3, SECOND, 0 },
      CS_RETRY_NOT_FIRST_HOP },
    { { CS_RUN_FAILED, false, true, true, 3, 3, SECOND, 0 },
      CS_RETRY_ATTEMPTS_EXHAUSTED },
    { { CS_RUN_CRASHED, false, true, true, 2, 9, SECOND, 0 },
      CS_RETRY_UNSAFE },
    { { CS_RUN_NOT_STARTED, false, true, true, 1, 3, 5, 10 },
      CS_RETRY_NO_TIME },
  };
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      cs_retry_budget_t budget;
      cs_retry_budget_init (&budget, 10);
      g_assert_cmpstr (
          cs_retry_decision_name (cs_retry_decide (&budget, &cases[i].params)),
          ==, cs_retry_decision_name (cases[i].decision));
      cs_retry_budget_clear (&budget);
    }
}

/* Retries stay near a tenth of the calls; one after an attempt that reached no
   upstream needs no budget.  */
static void
test_retry_budget (void)
{
  cs_retry_params_t failing = { .run_state = CS_RUN_FAILED,
                                .idempotent = true,
                                .first_hop = true,
                                .attempts = 1,
                                .max_attempts = 2,
                                .time_remaining = SECOND };
  cs_retry_params_t unreached = failing;
  unreached.run_state = CS_RUN_NOT_STARTED;
  cs_retry_budget_t budget;
  int retries = 0;
  cs_retry_budget_init (&budget, 10);
  for (int i = 0; i < 1000; i++)
    {
      cs_retry_budget_add_call (&budget);
      retries += cs_retry_decide (&budget, &failing) == CS_RETRY_ALLOWED;
    }
  g_assert_cmpint (retries, <=, 110);
  g_assert_cmpint (retries, >=, 90);
  g_assert_cmpint (cs_retry_decide (&budget, &failing), ==,
                   CS_RETRY_BUDGET_EXHAUSTED);
  g_assert_cmpint (cs_retry_decide (&budget, &unreached), ==,
                   CS_RETRY_ALLOWED);
  cs_retry_budget_clear (&budget);
}

static cs_limiter_t *
new_limiter (cs_ctx_t *ctx, const char *name, int64_t slots)
{
  cs_limiter_t *limiter;
  g_assert_cmpint (cs_limiter_new (ctx, name, slots, &limiter), ==, CS_OK);
  return limiter;
}

/* The latency of an upstream while RUNNING requests run.  */
typedef cs_usec_t (*latency_model_t) (int64_t running);

static cs_usec_t
constant_latency (int64_t running)
{
  (void)running;
  return 5000;
}

static cs_usec_t
high_constant_latency (int64_t running)
{
  (void)running;
  return 50000;
}

/* Beyond 8 requests at a time, each further one slows all of them.  */
static cs_usec_t
load_dependent_latency (int64_t running)
{
  return running <= 8 ? 5000 : 5000 + (running - 8) * 2500;
}

/* Add samples of MODEL to LIMITER, each with as many running requests as the
   limit allows.  The limit must stay from 1 to 20, the number of slots.  */
static void
add_samples (cs_limiter_t *limiter, latency_model_t model, int samples)
{
  for (int i = 0; i < samples; i++)
    {
      int64_t running = limiter->vtable->current_limit (limiter);
      limiter->vtable->add_sample (limiter, model (running), running, false);
      g_assert_cmpint (limiter->vtable->current_limit (limiter), >=, 1);
      g_assert_cmpint (limiter->vtable->current_limit (limiter), <=, 20);
    }
}

/* The average limit of LIMITER while 2000 samples of MODEL are added.  */
static double
average_limit (cs_limiter_t *limiter, latency_model_t model)
{
  double sum = 0.0;
  for (int i = 0; i < 2000; i++)
    {
      add_samples (limiter, model, 1);
      sum += (double)limiter->vtable->current_limit (limiter);
    }
  return sum / 2000.0;
}

/* Every limit stays between 1 and the number of slots.  "gradient" lowers it
   for an upstream whose latency grows with concurrency, but not for long when
   the latency is high at any concurrency.  */
static void
test_limiters (void)
{
  static const struct
  {
    const char *name;
    bool adapts;
  } cases[] = { { "fixed", false }, { "gradient", true } };
  cs_ctx_t *ctx = new_ctx ();
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      cs_limiter_t *limiter = new_limiter (ctx, cases[i].name, 20);
      g_assert_cmpint (limiter->vtable->current_limit (limiter), ==, 20);
      add_samples (limiter, constant_latency, 500);
      g_assert_cmpint (limiter->vtable->current_limit (limiter), ==, 20);
      add_samples (limiter, high_constant_latency, 40);
      g_assert_cmpint (limiter->vtable->current_limit (limiter) < 10, ==,
                       cases[i].adapts);
      add_samples (limiter, high_constant_latency, 500);
      g_assert_cmpint (limiter->vtable->current_limit (limiter), >=, 19);
      add_samples (limiter, constant_latency, 500);
      g_assert_cmpint (average_limit (limiter, load_dependent_latency) < 16.0,
                       ==, cases[i].adapts);
      add_samples (limiter, constant_latency, 1000);
      g_assert_cmpint (limiter->vtable->current_limit (limiter), >=, 19);
      limiter->vtable->drop (ctx, limiter);
    }
  cs_ctx_drop (ctx);
}

static cs_admission_request_t *
new_request (const char *team, int64_t priority, cs_usec_t deadline)
{
  cs_admission_request_t *request = g_new0 (cs_admission_request_t, 1);
  request->team = g_strdup (team);
  request->weight = 10;
  request->priority = priority;
  request->deadline = deadline;
  return request;
}

static void
free_request (gpointer data)
{
  cs_admission_request_t *request = data;
  g_free (request->team);
  g_free (request);
}

/* An admission control with a fixed limit, and the requests to it.  */
typedef struct
{
  cs_admission_t *admission;
  GPtrArray *requests; /* All requests, owned.  */
  GPtrArray *shed;     /* Those refused, borrowed.  */
  cs_usec_t now;
} admission_fixture_t;

static admission_fixture_t
new_fixture (cs_ctx_t *ctx, int64_t slots, guint queue)
{
  return (admission_fixture_t){
    .admission
    = cs_admission_new (ctx, new_limiter (ctx, "fixed", slots), queue),
    .requests = g_ptr_array_new_with_free_func (free_request),
    .shed = g_ptr_array_new (),
    .now = 1000 * CS_SEC,
  };
}

static void
drop_fixture (cs_ctx_t *ctx, admission_fixture_t *fixture)
{
  cs_admission_drop (ctx, fixture->admission);
  g_ptr_array_unref (fixture->requests);
  g_ptr_array_unref (fixture->shed);
}

static cs_admission_decision_t
submit (admission_fixture_t *fixture, const char *team, int64_t priority,
        cs_usec_t time_left)
{
  cs_admission_request_t *request
      = new_request (team, priority, fixture->now + time_left),
      *shed;
  g_ptr_array_add (fixture->requests, request);
  cs_admission_decision_t decision
      = cs_admission_submit (fixture->admission, request, fixture->now, &shed);
  if (shed)
    g_ptr_array_add (fixture->shed, shed);
  return decision;
}

/* A request runs only when a slot is free; others are queued.  */
static void
test_slot_limit (void)
{
  cs_ctx_t *ctx = new_ctx ();
  admission_fixture_t fixture = new_fixture (ctx, 2, 4);
  g_assert_cmpint (submit (&fixture, "a", 1, SECOND), ==, CS_ADMIT_RUN);
  g_assert_cmpint (submit (&fixture, "a", 1, SECOND), ==, CS_ADMIT_RUN);
  g_assert_cmpint (submit (&fixture, "a", 1, SECOND), ==, CS_ADMIT_QUEUE);
  g_assert_null (
      cs_admission_next (fixture.admission, fixture.now, fixture.shed));
  cs_admission_done (fixture.admission, 1000, false);
  g_assert_nonnull (
      cs_admission_next (fixture.admission, fixture.now, fixture.shed));
  g_assert_null (
      cs_admission_next (fixture.admission, fixture.now, fixture.shed));
  g_assert_cmpuint (cs_admission_running (fixture.admission), ==, 2);
  drop_fixture (ctx, &fixture);
  cs_ctx_drop (ctx);
}

/* Requests are queued only while they can meet their deadline.  */
static void
test_deadlines_bound_queue (void)
{
  cs_ctx_t *ctx = new_ctx ();
  admission_fixture_t fixture = new_fixture (ctx, 1, 100);
  submit (&fixture, "a", 1, SECOND);
  for (int i = 0; i < 200; i++)
    {
      cs_admission_done (fixture.admission, 100 * CS_MSEC, false);
      submit (&fixture, "a", 1, SECOND);
    }
  /* At 100 ms each, a tenth queued request cannot end within a second.  */
  int queued = 0;
  while (submit (&fixture, "a", 1, SECOND) == CS_ADMIT_QUEUE)
    queued++;
  g_assert_cmpint (queued, >=, 7);
  g_assert_cmpint (queued, <=, 10);
  g_assert_cmpint (submit (&fixture, "a", 1, 10 * SECOND), ==, CS_ADMIT_QUEUE);
  g_assert_cmpint (cs_admission_retry_after (fixture.admission), >,
                   SECOND / 2);
  /* Requests that can no longer meet their deadline are shed, not run.  */
  fixture.now += 2 * SECOND;
  g_ptr_array_set_size (fixture.shed, 0);
  cs_admission_done (fixture.admission, 100 * CS_MSEC, false);
  g_assert_nonnull (
      cs_admission_next (fixture.admission, fixture.now, fixture.shed));
  g_assert_cmpuint (fixture.shed->len, ==, (guint)queued);
  drop_fixture (ctx, &fixture);
  cs_ctx_drop (ctx);
}

/* A full queue evicts the lowest priority; the highest one runs first.  */
static void
test_priorities (void)
{
  cs_ctx_t *ctx = new_ctx ();
  admission_fixture_t fixture = new_fixture (ctx, 1, 3);
  submit (&fixture, "a", 1, 9 * SECOND);
  submit (&fixture, "a", 3, 9 * SECOND);
  submit (&fixture, "a", 2, 9 * SECOND);
  submit (&fixture, "a", 3, 9 * SECOND);
  g_assert_cmpint (submit (&fixture, "a", 0, 9 * SECOND), ==, CS_ADMIT_QUEUE);
  g_assert_cmpuint (fixture.shed->len, ==, 1);
  g_assert_cmpint (
      ((cs_admission_request_t *)fixture.shed->pdata[0])->priority, ==, 3);
  g_assert_cmpint (submit (&fixture, "a", 3, 9 * SECOND), ==, CS_ADMIT_SHED);
  static const int64_t order[] = { 0, 2, 3 };
  for (size_t i = 0; i < G_N_ELEMENTS (order); i++)
    {
      cs_admission_done (fixture.admission, 1000, false);
      cs_admission_request_t *request
          = cs_admission_next (fixture.admission, fixture.now, fixture.shed);
      g_assert_cmpint (request->priority, ==, order[i]);
    }
  drop_fixture (ctx, &fixture);
  cs_ctx_drop (ctx);
}

/* A team that sends ten times as many requests does not starve one that stays
   below its fair share.  */
static void
test_large_team_does_not_starve_others (void)
{
  cs_ctx_t *ctx = new_ctx ();
  admission_fixture_t fixture = new_fixture (ctx, 4, 40);
  int small_sent = 0, small_run = 0, large_run = 0;
  for (int round = 0; round < 500; round++)
    {
      for (int i = 0; i < 10; i++)
        large_run
            += submit (&fixture, "large", 1, 60 * SECOND) == CS_ADMIT_RUN;
      small_sent++;
      small_run += submit (&fixture, "small", 1, 60 * SECOND) == CS_ADMIT_RUN;
      for (int i = 0; i < 2 && cs_admission_running (fixture.admission); i++)
        {
          cs_admission_done (fixture.admission, 1000, false);
          cs_admission_request_t *request = cs_admission_next (
              fixture.admission, fixture.now, fixture.shed);
          small_run += request && strcmp (request->team, "small") == 0;
          large_run += request && strcmp (request->team, "large") == 0;
        }
    }
  int small_shed = 0;
  for (guint i = 0; i < fixture.shed->len; i++)
    small_shed
        += strcmp (((cs_admission_request_t *)fixture.shed->pdata[i])->team,
                   "small")
           == 0;
  g_assert_cmpint (small_run, >=, small_sent * 95 / 100);
  g_assert_cmpint (small_shed, ==, 0);
  g_assert_cmpint (large_run, >, 400);
  drop_fixture (ctx, &fixture);
  cs_ctx_drop (ctx);
}

/* Two teams that both exceed the capacity share it by their weights.  */
static void
test_weights (void)
{
  cs_ctx_t *ctx = new_ctx ();
  admission_fixture_t fixture = new_fixture (ctx, 4, 40);
  int run_counts[2] = { 0 }; /* Of the light team, of the heavy team.  */
  for (int round = 0; round < 400; round++)
    {
      for (int i = 0; i < 6; i++)
        {
          submit (&fixture, i % 2 ? "heavy" : "light", 1, 600 * SECOND);
          cs_admission_request_t *request
              = fixture.requests->pdata[fixture.requests->len - 1];
          request->weight = i % 2 ? 30 : 10;
        }
      if (cs_admission_running (fixture.admission) == 0)
        continue;
      cs_admission_done (fixture.admission, 1000, false);
      cs_admission_request_t *request
          = cs_admission_next (fixture.admission, fixture.now, fixture.shed);
      if (request && round > 50)
        run_counts[strcmp (request->team, "heavy") == 0]++;
    }
  g_assert_cmpint (run_counts[1], >, 2 * run_counts[0]);
  g_assert_cmpint (run_counts[1], <, 4 * run_counts[0]);
  drop_fixture (ctx, &fixture);
  cs_ctx_drop (ctx);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/traffic/spill", test_spillover);
  g_test_add_func ("/traffic/cold-start", test_slow_start);
  g_test_add_func ("/traffic/ejection", test_ejection_is_bounded);
  g_test_add_func ("/traffic/busy", test_shed_does_not_eject);
  g_test_add_func ("/traffic/retry-table", test_retry_table);
  g_test_add_func ("/traffic/retry-budget", test_retry_budget);
  g_test_add_func ("/traffic/limiters", test_limiters);
  g_test_add_func ("/traffic/slots", test_slot_limit);
  g_test_add_func ("/traffic/deadlines", test_deadlines_bound_queue);
  g_test_add_func ("/traffic/priorities", test_priorities);
  g_test_add_func ("/traffic/fairness",
                   test_large_team_does_not_starve_others);
  g_test_add_func ("/traffic/weights", test_weights);
  return g_test_run ();
}
