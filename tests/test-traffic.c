/* Choice among upstreams, retries, limits and admission.  */
#include <string.h>

#include "cardamom/cardamom.h"

static cs_manual_clock_t clock_of_test;

static cs_ctx_t *
new_ctx (void)
{
  cs_manual_clock_init (&clock_of_test, 1700000000 * CS_SEC);
  cs_manual_clock_advance (&clock_of_test, 100 * CS_SEC);
  return cs_ctx_new (NULL, &clock_of_test.base, 1);
}

static cs_upstream_t *
add_upstream (cs_upstreams_t *set, const char *node, cs_distance_t distance,
              int64_t age_ms)
{
  cs_clock_t *clock = &clock_of_test.base;
  cs_upstream_t *u = cs_upstream_new (&(cs_upstream_about_t){
      .node = node,
      .host = "127.0.0.1",
      .port = 1,
      .service = "/t/services/s",
      .version = "v1",
      .distance = distance,
      .slots = 10,
      .since_ms = clock->wall (clock) / CS_MSEC - age_ms });
  g_ptr_array_add (set->list, u);
  return u;
}

static cs_choice_t
choice_now (cs_ctx_t *ctx)
{
  return (cs_choice_t){ .now = cs_now (ctx),
                        .now_ms = cs_wall (ctx) / CS_MSEC,
                        .far_allowed = true };
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

/* How many of N choices fall on U when nothing else happens.  */
static int
count_choices (cs_ctx_t *ctx, cs_upstreams_t *set, const cs_choice_t *choice,
               const cs_upstream_t *u, int n)
{
  int count = 0;
  for (int i = 0; i < n; i++)
    count += least_cost (ctx)->choose (ctx, set, choice) == u;
  return count;
}

static void
set_inflight (cs_upstream_t *u, int64_t n)
{
  atomic_store (&u->inflight, n);
}

/* Loads of a near, a same-region and a far upstream with 10 slots each, and
   which of them a call goes to.  */
static void
test_spill (void)
{
  static const struct
  {
    int64_t near, region, far;
    bool far_allowed;
    int chosen; /* 0 near, 1 region, 2 far.  */
  } cases[] = {
    { 0, 0, 0, true, 0 },     { 8, 0, 0, true, 0 },
    { 25, 0, 0, true, 1 },    { 25, 5, 0, true, 1 },
    { 500, 500, 0, true, 2 }, { 500, 500, 0, false, 0 },
    { 60, 60, 0, true, 0 },
  };
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      cs_ctx_t *ctx = new_ctx ();
      cs_upstreams_t *set = cs_upstreams_new ();
      cs_upstream_t *u[3]
          = { add_upstream (set, "near", CS_NEAR, 60000),
              add_upstream (set, "region", CS_SAME_REGION, 60000),
              add_upstream (set, "far", CS_FAR, 60000) };
      cs_choice_t choice = choice_now (ctx);
      choice.far_allowed = cases[i].far_allowed;
      set_inflight (u[0], cases[i].near);
      set_inflight (u[1], cases[i].region);
      set_inflight (u[2], cases[i].far);
      g_assert_cmpint (
          count_choices (ctx, set, &choice, u[cases[i].chosen], 50), ==, 50);
      for (int k = 0; k < 3; k++)
        set_inflight (u[k], 0);
      cs_upstreams_drop (set);
      cs_ctx_drop (ctx);
    }
}

static void
test_cold_start_ramps_up (void)
{
  cs_ctx_t *ctx = new_ctx ();
  cs_upstreams_t *set = cs_upstreams_new ();
  for (int i = 0; i < 4; i++)
    add_upstream (set, "warm", CS_NEAR, 60000);
  cs_upstream_t *cold = add_upstream (set, "cold", CS_NEAR, 0);
  cs_choice_t choice = choice_now (ctx);
  for (guint i = 0; i < set->list->len; i++)
    set_inflight (set->list->pdata[i], 1);
  int at_start = count_choices (ctx, set, &choice, cold, 1000);
  choice.now_ms += 10000;
  int later = count_choices (ctx, set, &choice, cold, 1000);
  g_assert_cmpint (at_start, <, 50);
  g_assert_cmpint (later, >, 100);
  for (guint i = 0; i < set->list->len; i++)
    set_inflight (set->list->pdata[i], 0);
  cs_upstreams_drop (set);
  cs_ctx_drop (ctx);
}

static void
fail_calls (cs_ctx_t *ctx, cs_upstream_t *u, cs_upstreams_t *set, int n)
{
  for (int i = 0; i < n; i++)
    {
      cs_upstream_begin (u);
      cs_upstream_end (ctx, u, set, CS_ATTEMPT_FAILED, 0, -1);
    }
}

static unsigned
ejected (cs_upstreams_t *set)
{
  unsigned count = 0;
  for (guint i = 0; i < set->list->len; i++)
    count += atomic_load (&((cs_upstream_t *)set->list->pdata[i])->ejected_to)
             != 0;
  return count;
}

static void
test_ejection_is_bounded (void)
{
  cs_ctx_t *ctx = new_ctx ();
  cs_upstreams_t *set = cs_upstreams_new ();
  for (int i = 0; i < 10; i++)
    {
      char name[8];
      g_snprintf (name, sizeof name, "n%d", i);
      add_upstream (set, name, CS_NEAR, 60000);
    }
  cs_upstream_t *first = set->list->pdata[0];
  fail_calls (ctx, first, set, 10);
  g_assert_true (cs_upstream_ejected (first, cs_now (ctx)));
  cs_choice_t choice = choice_now (ctx);
  g_assert_cmpint (count_choices (ctx, set, &choice, first, 200), ==, 0);
  /* All fail: a third at most is out, and calls still go somewhere.  */
  for (guint i = 1; i < 10; i++)
    fail_calls (ctx, set->list->pdata[i], set, 10);
  g_assert_cmpuint (ejected (set), <=, 10 * CS_EJECTED_MAX_PERCENT / 100);
  g_assert_nonnull (least_cost (ctx)->choose (ctx, set, &choice));
  /* After the pause one call at a time tries it; a success brings it back. */
  cs_manual_clock_advance (&clock_of_test, 60 * CS_SEC);
  g_assert_false (cs_upstream_ejected (first, cs_now (ctx)));
  cs_upstream_begin (first);
  g_assert_true (cs_upstream_ejected (first, cs_now (ctx)));
  cs_upstream_end (ctx, first, set, CS_ATTEMPT_OK, 1000, -1);
  g_assert_cmpint (atomic_load (&first->ejected_to), ==, 0);
  cs_upstreams_drop (set);
  cs_ctx_drop (ctx);
}

static void
test_busy_is_not_broken (void)
{
  cs_ctx_t *ctx = new_ctx ();
  cs_upstreams_t *set = cs_upstreams_new ();
  cs_upstream_t *u = NULL;
  for (int i = 0; i < 5; i++)
    u = add_upstream (set, "n", CS_NEAR, 60000);
  for (int i = 0; i < 100; i++)
    {
      cs_upstream_begin (u);
      cs_upstream_end (ctx, u, set, CS_ATTEMPT_SHED, 0, 30);
    }
  g_assert_cmpuint (ejected (set), ==, 0);
  cs_choice_t choice = choice_now (ctx);
  g_assert_cmpint (cs_upstream_cost (u, &choice), >,
                   cs_upstream_cost (set->list->pdata[0], &choice));
  cs_upstreams_drop (set);
  cs_ctx_drop (ctx);
}

#define SECOND CS_SEC

static void
test_retry_table (void)
{
  static const struct
  {
    cs_retry_facts_t facts;
    cs_retry_verdict_t verdict;
  } cases[] = {
    { { CS_RUN_NOT, false, false, true, 1, 3, SECOND, 0 }, CS_RETRY_YES },
    { { CS_RUN_NOT, true, false, false, 1, 3, SECOND, 0 }, CS_RETRY_YES },
    { { CS_RUN_MAYBE, false, false, true, 1, 3, SECOND, 0 }, CS_RETRY_UNSAFE },
    { { CS_RUN_FAILED, false, false, true, 1, 3, SECOND, 0 },
      CS_RETRY_UNSAFE },
    { { CS_RUN_MAYBE, false, true, true, 1, 3, SECOND, 0 }, CS_RETRY_YES },
    { { CS_RUN_MAYBE, false, true, false, 1, 3, SECOND, 0 }, CS_RETRY_LAYER },
    { { CS_RUN_FAILED, false, true, true, 3, 3, SECOND, 0 },
      CS_RETRY_ATTEMPTS },
    { { CS_RUN_CRASHED, false, true, true, 2, 9, SECOND, 0 },
      CS_RETRY_UNSAFE },
    { { CS_RUN_NOT, false, true, true, 1, 3, 5, 10 }, CS_RETRY_DEADLINE },
  };
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      cs_retry_budget_t budget;
      cs_retry_budget_init (&budget, 10);
      g_assert_cmpstr (
          cs_retry_verdict_name (cs_retry_decide (&budget, &cases[i].facts)),
          ==, cs_retry_verdict_name (cases[i].verdict));
      cs_retry_budget_clear (&budget);
    }
}

static void
test_retry_budget (void)
{
  cs_retry_facts_t failing = { .run = CS_RUN_FAILED,
                               .idempotent = true,
                               .first_layer = true,
                               .attempts = 1,
                               .max_attempts = 2,
                               .remaining = SECOND };
  cs_retry_facts_t unreached = failing;
  unreached.run = CS_RUN_NOT;
  cs_retry_budget_t budget;
  int retries = 0;
  cs_retry_budget_init (&budget, 10);
  for (int i = 0; i < 1000; i++)
    {
      cs_retry_budget_call (&budget);
      retries += cs_retry_decide (&budget, &failing) == CS_RETRY_YES;
    }
  g_assert_cmpint (retries, <=, 110);
  g_assert_cmpint (retries, >=, 90);
  g_assert_cmpint (cs_retry_decide (&budget, &failing), ==, CS_RETRY_BUDGET);
  g_assert_cmpint (cs_retry_decide (&budget, &unreached), ==, CS_RETRY_YES);
  cs_retry_budget_clear (&budget);
}

static cs_limiter_t *
new_limiter (cs_ctx_t *ctx, const char *name, int64_t slots)
{
  cs_limiter_t *limiter;
  g_assert_cmpint (cs_limiter_new (ctx, name, slots, &limiter), ==, CS_OK);
  return limiter;
}

/* What an upstream takes when RUNNING run at a time.  */
typedef cs_usec_t (*curve_t) (int64_t running);

static cs_usec_t
steady (int64_t running)
{
  (void)running;
  return 5000;
}

static cs_usec_t
slow_for_all (int64_t running)
{
  (void)running;
  return 50000;
}

/* Beyond 8 at a time each further one slows all.  */
static cs_usec_t
crowded (int64_t running)
{
  return running <= 8 ? 5000 : 5000 + (running - 8) * 2500;
}

static void
feed (cs_limiter_t *l, curve_t curve, int samples)
{
  for (int i = 0; i < samples; i++)
    {
      int64_t running = l->vtable->limit (l);
      l->vtable->sample (l, curve (running), running, false);
      g_assert_cmpint (l->vtable->limit (l), >=, 1);
      g_assert_cmpint (l->vtable->limit (l), <=, 20);
    }
}

/* The average limit over many samples of CURVE.  */
static double
average_limit (cs_limiter_t *l, curve_t curve)
{
  double sum = 0.0;
  for (int i = 0; i < 2000; i++)
    {
      feed (l, curve, 1);
      sum += (double)l->vtable->limit (l);
    }
  return sum / 2000.0;
}

/* Every limiter keeps to 1 ... slots.  The gradient one gives way to an
   upstream that slows when crowded, and does not stay down for one that is
   slow whatever the crowd.  */
static void
test_limiters (void)
{
  static const struct
  {
    const char *name;
    bool gives_way;
  } cases[] = { { "fixed", false }, { "gradient", true } };
  cs_ctx_t *ctx = new_ctx ();
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      cs_limiter_t *l = new_limiter (ctx, cases[i].name, 20);
      g_assert_cmpint (l->vtable->limit (l), ==, 20);
      feed (l, steady, 500);
      g_assert_cmpint (l->vtable->limit (l), ==, 20);
      feed (l, slow_for_all, 40);
      g_assert_cmpint (l->vtable->limit (l) < 10, ==, cases[i].gives_way);
      feed (l, slow_for_all, 500);
      g_assert_cmpint (l->vtable->limit (l), >=, 19);
      feed (l, steady, 500);
      g_assert_cmpint (average_limit (l, crowded) < 16.0, ==,
                       cases[i].gives_way);
      feed (l, steady, 1000);
      g_assert_cmpint (l->vtable->limit (l), >=, 19);
      l->vtable->drop (ctx, l);
    }
  cs_ctx_drop (ctx);
}

static cs_ticket_t *
new_ticket (const char *team, int64_t priority, cs_usec_t deadline)
{
  cs_ticket_t *t = g_new0 (cs_ticket_t, 1);
  t->team = g_strdup (team);
  t->weight = 10;
  t->priority = priority;
  t->deadline = deadline;
  return t;
}

static void
free_ticket (gpointer data)
{
  cs_ticket_t *t = data;
  g_free (t->team);
  g_free (t);
}

typedef struct
{
  cs_admission_t *admission;
  GPtrArray *tickets; /* All, owned.  */
  GPtrArray *shed;    /* Borrowed.  */
  cs_usec_t now;
} counter_t;

static counter_t
new_counter (cs_ctx_t *ctx, int64_t slots, guint queue)
{
  return (counter_t){
    .admission
    = cs_admission_new (ctx, new_limiter (ctx, "fixed", slots), queue),
    .tickets = g_ptr_array_new_with_free_func (free_ticket),
    .shed = g_ptr_array_new (),
    .now = 1000 * CS_SEC,
  };
}

static void
end_counter (cs_ctx_t *ctx, counter_t *c)
{
  cs_admission_drop (ctx, c->admission);
  g_ptr_array_unref (c->tickets);
  g_ptr_array_unref (c->shed);
}

static cs_admit_t
offer (counter_t *c, const char *team, int64_t priority, cs_usec_t patience)
{
  cs_ticket_t *t = new_ticket (team, priority, c->now + patience), *shed;
  g_ptr_array_add (c->tickets, t);
  cs_admit_t admit = cs_admission_offer (c->admission, t, c->now, &shed);
  if (shed)
    g_ptr_array_add (c->shed, shed);
  return admit;
}

static void
test_slots_are_counted (void)
{
  cs_ctx_t *ctx = new_ctx ();
  counter_t c = new_counter (ctx, 2, 4);
  g_assert_cmpint (offer (&c, "a", 1, SECOND), ==, CS_ADMIT_RUN);
  g_assert_cmpint (offer (&c, "a", 1, SECOND), ==, CS_ADMIT_RUN);
  g_assert_cmpint (offer (&c, "a", 1, SECOND), ==, CS_ADMIT_QUEUE);
  g_assert_null (cs_admission_next (c.admission, c.now, c.shed));
  cs_admission_done (c.admission, 1000, false);
  g_assert_nonnull (cs_admission_next (c.admission, c.now, c.shed));
  g_assert_null (cs_admission_next (c.admission, c.now, c.shed));
  g_assert_cmpuint (cs_admission_running (c.admission), ==, 2);
  end_counter (ctx, &c);
  cs_ctx_drop (ctx);
}

static void
test_deadlines_bound_the_queue (void)
{
  cs_ctx_t *ctx = new_ctx ();
  counter_t c = new_counter (ctx, 1, 100);
  offer (&c, "a", 1, SECOND);
  for (int i = 0; i < 200; i++)
    {
      cs_admission_done (c.admission, 100 * CS_MSEC, false);
      offer (&c, "a", 1, SECOND);
    }
  /* 100 ms each: no tenth waiter can be done within a second.  */
  int waiting = 0;
  while (offer (&c, "a", 1, SECOND) == CS_ADMIT_QUEUE)
    waiting++;
  g_assert_cmpint (waiting, >=, 7);
  g_assert_cmpint (waiting, <=, 10);
  g_assert_cmpint (offer (&c, "a", 1, 10 * SECOND), ==, CS_ADMIT_QUEUE);
  g_assert_cmpint (cs_admission_retry_after (c.admission), >, SECOND / 2);
  /* What cannot be done any more is shed, not run.  */
  c.now += 2 * SECOND;
  g_ptr_array_set_size (c.shed, 0);
  cs_admission_done (c.admission, 100 * CS_MSEC, false);
  g_assert_nonnull (cs_admission_next (c.admission, c.now, c.shed));
  g_assert_cmpuint (c.shed->len, ==, (guint)waiting);
  end_counter (ctx, &c);
  cs_ctx_drop (ctx);
}

static void
test_priorities (void)
{
  cs_ctx_t *ctx = new_ctx ();
  counter_t c = new_counter (ctx, 1, 3);
  offer (&c, "a", 1, 9 * SECOND);
  offer (&c, "a", 3, 9 * SECOND);
  offer (&c, "a", 2, 9 * SECOND);
  offer (&c, "a", 3, 9 * SECOND);
  g_assert_cmpint (offer (&c, "a", 0, 9 * SECOND), ==, CS_ADMIT_QUEUE);
  g_assert_cmpuint (c.shed->len, ==, 1);
  g_assert_cmpint (((cs_ticket_t *)c.shed->pdata[0])->priority, ==, 3);
  g_assert_cmpint (offer (&c, "a", 3, 9 * SECOND), ==, CS_ADMIT_SHED);
  static const int64_t order[] = { 0, 2, 3 };
  for (size_t i = 0; i < G_N_ELEMENTS (order); i++)
    {
      cs_admission_done (c.admission, 1000, false);
      cs_ticket_t *t = cs_admission_next (c.admission, c.now, c.shed);
      g_assert_cmpint (t->priority, ==, order[i]);
    }
  end_counter (ctx, &c);
  cs_ctx_drop (ctx);
}

/* Team "flood" sends ten times as much as "calm", which still gets all that
   it asks for, up to its half.  */
static void
test_a_flood_does_not_starve (void)
{
  cs_ctx_t *ctx = new_ctx ();
  counter_t c = new_counter (ctx, 4, 40);
  int calm_sent = 0, calm_run = 0, flood_run = 0;
  for (int round = 0; round < 500; round++)
    {
      for (int i = 0; i < 10; i++)
        flood_run += offer (&c, "flood", 1, 60 * SECOND) == CS_ADMIT_RUN;
      calm_sent++;
      calm_run += offer (&c, "calm", 1, 60 * SECOND) == CS_ADMIT_RUN;
      for (int i = 0; i < 2 && cs_admission_running (c.admission); i++)
        {
          cs_admission_done (c.admission, 1000, false);
          cs_ticket_t *t = cs_admission_next (c.admission, c.now, c.shed);
          calm_run += t && strcmp (t->team, "calm") == 0;
          flood_run += t && strcmp (t->team, "flood") == 0;
        }
    }
  int calm_shed = 0;
  for (guint i = 0; i < c.shed->len; i++)
    calm_shed += strcmp (((cs_ticket_t *)c.shed->pdata[i])->team, "calm") == 0;
  g_assert_cmpint (calm_run, >=, calm_sent * 95 / 100);
  g_assert_cmpint (calm_shed, ==, 0);
  g_assert_cmpint (flood_run, >, 400);
  end_counter (ctx, &c);
  cs_ctx_drop (ctx);
}

/* Two teams that both ask for more than there is get it by their weights.  */
static void
test_weights (void)
{
  cs_ctx_t *ctx = new_ctx ();
  counter_t c = new_counter (ctx, 4, 40);
  int run[2] = { 0 };
  for (int round = 0; round < 400; round++)
    {
      for (int i = 0; i < 6; i++)
        {
          offer (&c, i % 2 ? "heavy" : "light", 1, 600 * SECOND);
          cs_ticket_t *t = c.tickets->pdata[c.tickets->len - 1];
          t->weight = i % 2 ? 30 : 10;
        }
      if (cs_admission_running (c.admission) == 0)
        continue;
      cs_admission_done (c.admission, 1000, false);
      cs_ticket_t *t = cs_admission_next (c.admission, c.now, c.shed);
      if (t && round > 50)
        run[strcmp (t->team, "heavy") == 0]++;
    }
  g_assert_cmpint (run[1], >, 2 * run[0]);
  g_assert_cmpint (run[1], <, 4 * run[0]);
  end_counter (ctx, &c);
  cs_ctx_drop (ctx);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/traffic/spill", test_spill);
  g_test_add_func ("/traffic/cold-start", test_cold_start_ramps_up);
  g_test_add_func ("/traffic/ejection", test_ejection_is_bounded);
  g_test_add_func ("/traffic/busy", test_busy_is_not_broken);
  g_test_add_func ("/traffic/retry-table", test_retry_table);
  g_test_add_func ("/traffic/retry-budget", test_retry_budget);
  g_test_add_func ("/traffic/limiters", test_limiters);
  g_test_add_func ("/traffic/slots", test_slots_are_counted);
  g_test_add_func ("/traffic/deadlines", test_deadlines_bound_the_queue);
  g_test_add_func ("/traffic/priorities", test_priorities);
  g_test_add_func ("/traffic/fairness", test_a_flood_does_not_starve);
  g_test_add_func ("/traffic/weights", test_weights);
  return g_test_run ();
}
