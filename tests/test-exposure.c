/* Version moves under a limit of exposure: a bad version must be rolled back
   before it got more than 50 requests plus a tenth of the service's requests
   since the move was ordered.  A model of a service, its servers and the
   nodes' reports runs in one process, with a counter as its clock.  */
#include <math.h>
#include <string.h>

#include "cardamom/cardamom.h"
#include "cardamom/move-owner.h"

#define STEP_MS 10       /* Step of the simulated time.  */
#define TICK_MS 200      /* Time between evaluations by the owner.  */
#define TICK_FULL_MS 100 /* The same while the candidate has all requests. */
/* The owner knows of calls that ended at least a tick and this time ago.  */
#define REPORT_LAG_MS 30
#define SEND_MS 40        /* Time until a share has reached all nodes.  */
#define WRITE_MS 30       /* Duration of a write to the table.  */
#define WRITE_SLOW_MS 700 /* The same when the table is slow.  */
#define READY_MS 1600     /* From the order to the first candidate server.  */
#define COLD_MS 3000      /* How long cold servers are slow once ready.  */
#define SERVERS 4         /* Of each version.  */
#define SLOTS 18.0        /* Of each server.  */
#define RUN_TIME_MEDIAN_MS 90.0
#define RUN_TIME_SIGMA 0.42 /* Of the logarithm of the run time.  */
#define RUN_TIME_MAX_MS 4000
#define RUN_STEPS (RUN_TIME_MAX_MS / STEP_MS)
#define REPORT_STEPS 128 /* Steps that are kept until they are reported.  */
#define FALSE_ALARM_RATE 0.0025
#define ROUTES 2
#define CALLS_PER_S 450.0
#define USUAL_ERROR_RATE 0.004
#define ALLOWED_SHARE 0.1
#define ALLOWED_SLACK 50.0

/* What is wrong with the candidate or its surroundings.  */
typedef struct
{
  const char *name;
  double error_rate;      /* On top of the usual one.  */
  double slowdown;        /* Factor of the run time; 0: none.  */
  double slow_fraction;   /* Share of the calls that are slow; 0: all.  */
  int64_t fails_after_ms; /* From the start of its servers until it fails.  */
  bool under_load; /* Bad only while more than 40% of the slots are in use. */
  /* Bad only on the route /quiet, which gets a fifth of the requests.  */
  bool one_route;
  double requests_per_s; /* 0: the usual rate.  */
  bool burst;       /* Twice the requests in the third quarter of the move.  */
  bool slow_server; /* One server of the candidate is five times as slow.  */
  /* The number of its servers that are four times as slow in the second and
     third quarter of the move.  */
  int slow_hosts;
  bool slow_table;
  bool unequal_hosts; /* See draw_host_speeds.  */
  bool cold;          /* Its servers are twice as slow for COLD_MS.  */
  bool bad;           /* The move must be rolled back.  */
} scenario_t;

typedef struct
{
  int cases, over_limit, rolled_back, done_late;
  double worst_ratio; /* Highest ratio of the candidate's requests to the
                          allowed ones.  */
} tally_t;

/* A call that the candidate answers.  */
typedef struct
{
  int64_t start_ms, end_ms;
  int server, route;
} call_t;

typedef struct
{
  cs_ctx_t *ctx;
  const scenario_t *scenario;
  GRand *random;
  cs_evaluation_t *evaluation;
  cs_move_t move;
  int64_t duration_ms, now_ms;
  int64_t reported_until_ms; /* The owner has the reports of the steps before
                                it.  */
  int64_t share;             /* In force at the nodes.  */
  int64_t next_share, written_at_ms;
  int64_t
      full_since_ms; /* When the candidate got all requests; 0: it has not. */
  bool writing;
  cs_move_state_t next_state;
  double requests, candidate_requests;
  cs_exposure_t exposure; /* By the counts of the owner.  */
  /* Of the hosts of the baseline, 0, and of the candidate, 1.  */
  double speeds[2][SERVERS];
  double in_flight[SERVERS]; /* Calls of the candidate.  */
  GArray *calls;             /* call_t; not yet reported as ended.  */
  /* Calls of the candidate, by the step at which they end.  */
  int ending[RUN_STEPS][SERVERS];
  cs_paired_stats_t finished[RUN_STEPS][SERVERS]
                            [ROUTES]; /* By the step at which the call ends. */
  /* Calls that have ended, by step, until they are reported.  */
  cs_paired_stats_t reports[REPORT_STEPS][SERVERS][ROUTES];
} model_t;

/* An approximately normal value with mean 0 and standard deviation 1.  */
static double
draw_normal (GRand *random)
{
  double sum = 0.0;
  for (int i = 0; i < 12; i++)
    sum += g_rand_double (random);
  return sum - 6.0;
}

static bool
is_faulty_now (const model_t *model, int server, int route)
{
  const scenario_t *scenario = model->scenario;
  return scenario->bad && model->now_ms >= READY_MS + scenario->fails_after_ms
         && (!scenario->one_route || route == 1)
         && (!scenario->under_load || model->in_flight[server] > 0.4 * SLOTS);
}

/* The quarter, 0 to 3, of the time of the move.  */
static int64_t
quarter_now (const model_t *model)
{
  return model->now_ms * 4 / model->duration_ms;
}

static void
start_call (model_t *model, bool is_candidate)
{
  const scenario_t *scenario = model->scenario;
  int route = g_rand_double (model->random) < 0.8 ? 0 : 1;
  int server = g_rand_int_range (model->random, 0, SERVERS);
  bool is_faulty = is_candidate && is_faulty_now (model, server, route);
  double run_time_ms = RUN_TIME_MEDIAN_MS
                       * exp (RUN_TIME_SIGMA * draw_normal (model->random));
  double error_rate
      = USUAL_ERROR_RATE + (is_faulty ? scenario->error_rate : 0.0);
  if (is_faulty && scenario->slowdown > 0.0
      && (scenario->slow_fraction <= 0.0
          || g_rand_double (model->random) < scenario->slow_fraction))
    run_time_ms *= scenario->slowdown;
  if (scenario->unequal_hosts)
    run_time_ms /= model->speeds[is_candidate][server];
  if (is_candidate && scenario->cold && model->now_ms < READY_MS + COLD_MS)
    run_time_ms *= 2.0;
  if (is_candidate && scenario->slow_server && server == 0)
    run_time_ms *= 5.0;
  if (is_candidate && server < scenario->slow_hosts && quarter_now (model) > 0
      && quarter_now (model) < 3)
    run_time_ms *= 4.0;
  run_time_ms = CLAMP (run_time_ms, STEP_MS, RUN_TIME_MAX_MS - STEP_MS);
  size_t end_step
      = (size_t)(model->now_ms + (int64_t)run_time_ms) / STEP_MS % RUN_STEPS;
  cs_paired_stats_t *sample = &model->finished[end_step][server][route];
  bool failed = g_rand_double (model->random) < error_rate;
  cs_call_stats_record (is_candidate ? &sample->candidate : &sample->baseline,
                        failed, (cs_usec_t)run_time_ms * CS_MSEC);
  model->requests++;
  if (!is_candidate)
    return;
  model->candidate_requests++;
  call_t call
      = { model->now_ms, model->now_ms + (int64_t)run_time_ms, server, route };
  g_array_append_val (model->calls, call);
  model->in_flight[server]++;
  model->ending[end_step][server]++;
}

static double
rate_now (const model_t *model)
{
  bool burst = model->scenario->burst && quarter_now (model) == 2;
  double rate = model->scenario->requests_per_s > 0.0
                    ? model->scenario->requests_per_s
                    : CALLS_PER_S;
  return rate * (burst ? 2.0 : 1.0);
}

static int64_t
tick_ms (const model_t *model)
{
  return model->full_since_ms ? TICK_FULL_MS : TICK_MS;
}

static const char *const routes[ROUTES] = { "/busy", "/quiet" };
static const char *const servers[SERVERS] = { "a", "b", "c", "d" };

/* Report the calls that were in flight at the time of the last report.  */
static void
report_in_flight (model_t *model)
{
  cs_call_stats_t ages[SERVERS][ROUTES] = { 0 };
  for (guint i = model->calls->len; i > 0; i--)
    {
      const call_t *call = &g_array_index (model->calls, call_t, i - 1);
      if (call->end_ms <= model->reported_until_ms)
        g_array_remove_index_fast (model->calls, i - 1);
      else if (call->start_ms < model->reported_until_ms)
        cs_call_stats_record (&ages[call->server][call->route], false,
                              (model->reported_until_ms - call->start_ms)
                                  * CS_MSEC);
    }
  for (int s = 0; s < SERVERS; s++)
    for (int r = 0; r < ROUTES; r++)
      cs_evaluation_set_in_flight (model->ctx, model->evaluation, servers[s],
                                   routes[r], &ages[s][r]);
}

static void
report_step (model_t *model, size_t step)
{
  for (int s = 0; s < SERVERS; s++)
    for (int r = 0; r < ROUTES; r++)
      cs_evaluation_add (model->ctx, model->evaluation, servers[s], routes[r],
                         &model->reports[step][s][r]);
}

/* End the calls of this step.  The owner gets them with the next report.  */
static void
end_calls (model_t *model)
{
  size_t step = (size_t)(model->now_ms / STEP_MS);
  for (int s = 0; s < SERVERS; s++)
    {
      model->in_flight[s] -= model->ending[step % RUN_STEPS][s];
      model->ending[step % RUN_STEPS][s] = 0;
    }
  memcpy (model->reports[step % REPORT_STEPS],
          model->finished[step % RUN_STEPS], sizeof model->reports[0]);
  memset (model->finished[step % RUN_STEPS], 0, sizeof model->finished[0]);
  for (; model->reported_until_ms
         <= model->now_ms - tick_ms (model) - REPORT_LAG_MS;
       model->reported_until_ms += STEP_MS)
    report_step (model,
                 (size_t)(model->reported_until_ms / STEP_MS) % REPORT_STEPS);
}

static cs_usec_t
write_time (const model_t *model)
{
  return (model->scenario->slow_table ? WRITE_SLOW_MS : WRITE_MS) * CS_MSEC;
}

static void
write_step (model_t *model, int64_t share, cs_move_state_t state)
{
  model->writing = true;
  model->next_share = share;
  model->next_state = state;
  model->written_at_ms = model->now_ms + write_time (model) / CS_MSEC;
}

static void
decide_as_owner (model_t *model)
{
  static const cs_exposure_limits_t limits
      = { .share = ALLOWED_SHARE, .slack = ALLOWED_SLACK };
  const cs_paired_stats_t *totals = cs_evaluation_total (model->evaluation);
  double candidate_requests = (double)totals->candidate.calls;
  report_in_flight (model);
  cs_evaluation_tick (model->evaluation);
  for (int s = 0; s < SERVERS; s++)
    candidate_requests += model->in_flight[s];
  cs_exposure_update (&model->exposure,
                      (double)totals->baseline.calls + candidate_requests,
                      candidate_requests, model->now_ms * CS_MSEC);
  if (model->writing)
    return;
  cs_move_inputs_t inputs
      = { .now_ms = model->now_ms,
          .verdict = cs_evaluation_verdict (model->evaluation),
          .candidate_calls = cs_evaluation_candidate_calls (model->evaluation),
          .has_candidate_upstreams = model->now_ms >= READY_MS,
          .exposure = &model->exposure,
          .exposure_limits = &limits,
          .change_delay = write_time (model) };
  cs_move_step_t step = cs_move_next_step (&model->move, &inputs);
  if (step.kind == CS_MOVE_STEP_ROLL_BACK)
    write_step (model, 0, CS_MOVE_ROLLED_BACK);
  else if (model->full_since_ms)
    {
      cs_usec_t since = (model->now_ms - model->full_since_ms) * CS_MSEC;
      cs_usec_t time_left = (model->duration_ms - model->now_ms) * CS_MSEC;
      if (cs_move_baseline_is_drained (0, 0, since)
          && cs_move_bake_time_is_over (since, time_left, write_time (model)))
        write_step (model, CS_ALL_TRAFFIC_PERMILLE, CS_MOVE_DONE);
    }
  else if (step.kind == CS_MOVE_STEP_FINISH)
    write_step (model, CS_ALL_TRAFFIC_PERMILLE, CS_MOVE_RUNNING);
  else if (step.kind == CS_MOVE_STEP_SET_SHARE)
    write_step (model, step.share_permille, CS_MOVE_RUNNING);
}

/* A share is in force once it is written and sent; a rollback at once.  */
static void
apply_written_step (model_t *model)
{
  if (model->writing && model->next_state == CS_MOVE_ROLLED_BACK)
    model->share = 0;
  if (!model->writing || model->now_ms < model->written_at_ms + SEND_MS)
    return;
  model->writing = false;
  model->share = model->move.candidate_permille = model->next_share;
  model->move.state = model->next_state;
  model->move.last_step_ms = model->now_ms;
  if (model->share == CS_ALL_TRAFFIC_PERMILLE && !model->full_since_ms)
    model->full_since_ms = model->now_ms;
}

/* A third of the hosts are more than twice as fast as the others.  */
static void
draw_host_speeds (model_t *model, guint32 seed)
{
  GRand *random = g_rand_new_with_seed (seed);
  for (int version = 0; version < 2; version++)
    for (int server = 0; server < SERVERS; server++)
      model->speeds[version][server]
          = g_rand_int_range (random, 0, 3) == 0 ? 1.6 : 0.7;
  g_rand_free (random);
}

static void
run_case (const scenario_t *scenario, int64_t duration_ms, guint32 seed,
          tally_t *tally)
{
  const void *vtable;
  cs_ctx_t *ctx = cs_ctx_new (NULL, cs_clock_system (), 1);
  model_t *model = g_new0 (model_t, 1);
  g_assert_cmpint (cs_plugin_find (ctx, CS_PLUGIN_JUDGE, "cusum", &vtable), ==,
                   CS_OK);
  model->ctx = ctx;
  model->scenario = scenario;
  model->random = g_rand_new_with_seed (seed);
  model->evaluation = cs_evaluation_new (ctx, vtable, FALSE_ALARM_RATE);
  model->duration_ms = duration_ms;
  model->calls = g_array_new (FALSE, FALSE, sizeof (call_t));
  draw_host_speeds (model, seed);
  model->move = (cs_move_t){ .deadline_ms = cs_move_verdict_deadline_ms (
                                 0, duration_ms, write_time (model), 0),
                             .initial_candidate_permille = 50 };
  for (model->now_ms = 0;
       model->move.state == CS_MOVE_RUNNING && model->now_ms < 2 * duration_ms;
       model->now_ms += STEP_MS)
    {
      end_calls (model);
      double expected = rate_now (model) * STEP_MS / 1000.0;
      int calls = (int)(expected + g_rand_double (model->random));
      for (int i = 0; i < calls; i++)
        start_call (
            model, g_rand_int_range (model->random, 0, CS_ALL_TRAFFIC_PERMILLE)
                       < model->share);
      if (model->now_ms % tick_ms (model) == 0)
        decide_as_owner (model);
      apply_written_step (model);
    }
  double allowed = ALLOWED_SHARE * model->requests + ALLOWED_SLACK;
  tally->cases++;
  tally->over_limit += model->candidate_requests > allowed;
  tally->worst_ratio
      = MAX (tally->worst_ratio, model->candidate_requests / allowed);
  tally->rolled_back += model->move.state == CS_MOVE_ROLLED_BACK;
  tally->done_late
      += model->move.state == CS_MOVE_DONE && model->now_ms > duration_ms;
  cs_evaluation_drop (ctx, model->evaluation);
  g_rand_free (model->random);
  g_array_free (model->calls, TRUE);
  g_free (model);
  cs_ctx_drop (ctx);
}

#define SEEDS 20

static void
run_cases (const scenario_t *scenario, tally_t *tally)
{
  static const int64_t durations_ms[] = { 9000, 16000 };
  for (size_t i = 0; i < G_N_ELEMENTS (durations_ms); i++)
    for (guint32 seed = 1; seed <= SEEDS; seed++)
      run_case (scenario, durations_ms[i], seed * 7919, tally);
}

/* Every bad version is rolled back within the limit of exposure.  */
static void
check_bad (const void *data)
{
  tally_t tally = { 0 };
  run_cases (data, &tally);
  g_test_message (
      "%d of %d over, worst %.2f of what is allowed, %d rolled back",
      tally.over_limit, tally.cases, tally.worst_ratio, tally.rolled_back);
  if (tally.over_limit || tally.rolled_back != tally.cases)
    g_test_fail ();
}

/* Moves to a good version are done by the deadline.  At most 1 of the 40 cases
   may be rolled back, for a false alarm rate of 1 in 100.  */
static void
check_good (const void *data)
{
  tally_t tally = { 0 };
  run_cases (data, &tally);
  g_test_message ("%d of %d rolled back, %d late", tally.rolled_back,
                  tally.cases, tally.done_late);
  if (tally.rolled_back > 1 || tally.done_late)
    g_test_fail ();
}

static const scenario_t scenarios[] = {
  { "fails-half", .error_rate = 0.5, .bad = true },
  { "fails-a-seventh", .error_rate = 0.14, .bad = true },
  { "fails-a-twelfth", .error_rate = 0.083, .bad = true },
  { "fails-one-route", .error_rate = 0.5, .one_route = true, .bad = true },
  { "turns-bad-late", .error_rate = 0.5, .fails_after_ms = 4500, .bad = true },
  { "turns-a-third-bad-late", .error_rate = 0.34, .fails_after_ms = 3200,
    .bad = true },
  { "bad-under-load", .error_rate = 0.5, .under_load = true, .bad = true },
  { "bad-under-load-in-a-burst", .error_rate = 0.5, .under_load = true,
    .burst = true, .bad = true },
  { "four-times-as-slow", .slowdown = 4.0, .bad = true },
  { "twice-as-slow", .slowdown = 2.0, .bad = true },
  { "twice-as-slow-on-cold-unequal-hosts", .slowdown = 2.0,
    .unequal_hosts = true, .cold = true, .bad = true },
  { "half-twice-as-slow", .slowdown = 2.0, .slow_fraction = 0.5, .bad = true },
  { "half-four-times-as-slow", .slowdown = 4.0, .slow_fraction = 0.5,
    .bad = true },
  { "half-four-times-as-slow-on-unequal-hosts", .slowdown = 4.0,
    .slow_fraction = 0.5, .unequal_hosts = true, .bad = true },
  { "half-four-times-as-slow-at-a-low-rate", .slowdown = 4.0,
    .slow_fraction = 0.5, .requests_per_s = 250.0, .unequal_hosts = true,
    .bad = true },
  { "half-turns-slow-late", .slowdown = 4.0, .slow_fraction = 0.5,
    .fails_after_ms = 4500, .bad = true },
  { "turns-slow-late", .slowdown = 8.0, .fails_after_ms = 4500, .bad = true },
  { "good" },
  { "good-in-a-burst", .burst = true },
  { "good-with-a-slow-server", .slow_server = true },
  { "good-whose-hosts-turn-slow", .slow_hosts = 2 },
  { "good-on-unequal-hosts", .unequal_hosts = true },
  { "good-on-cold-unequal-hosts", .unequal_hosts = true, .cold = true },
  { "good-at-a-low-rate", .requests_per_s = 250.0, .unequal_hosts = true },
  { "good-with-a-slow-table", .slow_table = true },
};

int
main (int argc, char **argv)
{
  /* Run all cases even if one fails.  */
  char *args[] = { argv[0], "--keep-going", NULL }, **list = args;
  int count = 2;
  if (argc > 1)
    list = argv, count = argc;
  g_test_init (&count, &list, NULL);
  for (size_t i = 0; i < G_N_ELEMENTS (scenarios); i++)
    {
      char *path = g_strconcat ("/exposure/", scenarios[i].name, NULL);
      g_test_add_data_func (path, &scenarios[i],
                            scenarios[i].bad ? check_bad : check_good);
      g_free (path);
    }
  return g_test_run ();
}
