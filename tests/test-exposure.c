/* Version moves under a limit of exposure: a bad version must be rolled back
   before it got more than a tenth of the service's requests since the order,
   and 50.  A model of a service, its servers and the nodes' reports runs in
   one process, with a counter as its clock.  */
#include <math.h>
#include <string.h>

#include "cardamom/cardamom.h"
#include "cardamom/move-owner.h"

#define STEP_MS 10
#define TICK_MS 200       /* Between evaluations by the owner.  */
#define TICK_FULL_MS 100  /* The same while the candidate has all requests.  */
#define REPORT_LAG_MS 30  /* Transfer of a report, which is a tick old.  */
#define SEND_MS 40        /* For a share to reach all nodes.  */
#define WRITE_MS 30       /* Of a step to the table.  */
#define WRITE_SLOW_MS 700 /* The same when the table is slow.  */
#define READY_MS 1600     /* From the order to the first candidate server.  */
#define COLD_MS 3000      /* Servers are slow for that long once ready.  */
#define SERVERS 4
#define SLOTS 18.0
#define WORK_MS 90.0
#define WORK_SIGMA 0.42 /* Of the logarithm of the work.  */
#define RUN_MS_MAX 4000
#define RUN_STEPS (RUN_MS_MAX / STEP_MS)
#define REPORT_STEPS 128 /* Steps kept until the owner gets them.  */
#define FALSE_ALARM 0.0025
#define ROUTES 2
#define CALLS_PER_S 450.0
#define ERRORS_USUAL 0.004
#define ALLOWED_SHARE 0.1
#define ALLOWED_SLACK 50.0

/* What is wrong with the candidate or its surroundings.  */
typedef struct
{
  const char *name;
  double error_rate;      /* On top of the usual one.  */
  double slowdown;        /* Factor of the work; 0: none.  */
  double slow_fraction;   /* Of the calls that are slow; 0: all.  */
  int64_t fails_after_ms; /* From the start of its servers until it fails.  */
  bool under_load; /* Only while more than 40% of the slots are in use.  */
  bool one_route;  /* Only the quiet one, a fifth of the requests.  */
  double requests_per_s; /* 0: the usual rate.  */
  bool burst;       /* Twice the requests in the third quarter of the move.  */
  bool slow_server; /* One server of the candidate is five times as slow.  */
  /* The number of its servers that are four times as slow in the second and
     third quarter of the move.  */
  int slow_hosts;
  bool slow_table;
  bool unequal_hosts;
  bool cold; /* Its servers are twice as slow for COLD_MS.  */
  bool bad;  /* The move must be rolled back.  */
} scenario_t;

typedef struct
{
  int cases, over_limit, taken_back, done_late;
  double worst_ratio; /* Highest ratio of the candidate's requests to the
                          allowed ones.  */
} tally_t;

/* A call of the candidate.  */
typedef struct
{
  int64_t start, end;
  int server, route;
} call_t;

typedef struct
{
  cs_ctx_t *ctx;
  const scenario_t *scenario;
  GRand *random;
  cs_evaluation_t *evaluation;
  cs_move_t move;
  int64_t duration_ms, now;
  int64_t reported_until; /* The owner knows the steps before it.  */
  int64_t share;          /* In force at the nodes.  */
  int64_t next_share, written_at;
  int64_t full_since; /* When the candidate got all requests; 0: it has not. */
  bool writing;
  cs_move_state_t next_phase;
  double requests, candidate_requests;
  cs_exposure_t exposure;    /* As the owner counts.  */
  double speeds[2][SERVERS]; /* Of the hosts, by version.  */
  double in_flight[SERVERS]; /* Of the candidate.  */
  GArray *calls;             /* call_t; not yet reported as ended.  */
  int ending[RUN_STEPS][SERVERS];
  cs_paired_stats_t finished[RUN_STEPS][SERVERS]
                            [ROUTES]; /* By the step of the end.  */
  cs_paired_stats_t reports[REPORT_STEPS][SERVERS][ROUTES];
} model_t;

static double
normal (GRand *random)
{
  double sum = 0.0;
  for (int i = 0; i < 12; i++)
    sum += g_rand_double (random);
  return sum - 6.0;
}

static bool
is_faulty_now (const model_t *m, int server, int route)
{
  const scenario_t *c = m->scenario;
  return c->bad && m->now >= READY_MS + c->fails_after_ms
         && (!c->one_route || route == 1)
         && (!c->under_load || m->in_flight[server] > 0.4 * SLOTS);
}

/* The quarter, 0 to 3, of the time of the move.  */
static int64_t
quarter_now (const model_t *m)
{
  return m->now * 4 / m->duration_ms;
}

static void
start_call (model_t *m, bool is_candidate)
{
  const scenario_t *scenario = m->scenario;
  int route = g_rand_double (m->random) < 0.8 ? 0 : 1;
  int server = g_rand_int_range (m->random, 0, SERVERS);
  bool bad = is_candidate && is_faulty_now (m, server, route);
  double work = WORK_MS * exp (WORK_SIGMA * normal (m->random));
  double errors = ERRORS_USUAL + (bad ? scenario->error_rate : 0.0);
  if (bad && scenario->slowdown > 0.0
      && (scenario->slow_fraction <= 0.0
          || g_rand_double (m->random) < scenario->slow_fraction))
    work *= scenario->slowdown;
  if (scenario->unequal_hosts)
    work /= m->speeds[is_candidate][server];
  if (is_candidate && scenario->cold && m->now < READY_MS + COLD_MS)
    work *= 2.0;
  if (is_candidate && scenario->slow_server && server == 0)
    work *= 5.0;
  if (is_candidate && server < scenario->slow_hosts && quarter_now (m) > 0
      && quarter_now (m) < 3)
    work *= 4.0;
  work = CLAMP (work, STEP_MS, RUN_MS_MAX - STEP_MS);
  size_t end = (size_t)(m->now + (int64_t)work) / STEP_MS % RUN_STEPS;
  cs_paired_stats_t *sample = &m->finished[end][server][route];
  bool failed = g_rand_double (m->random) < errors;
  cs_call_stats_record (is_candidate ? &sample->candidate : &sample->baseline,
                        failed, (cs_usec_t)work * CS_MSEC);
  m->requests++;
  if (!is_candidate)
    return;
  m->candidate_requests++;
  call_t call = { m->now, m->now + (int64_t)work, server, route };
  g_array_append_val (m->calls, call);
  m->in_flight[server]++;
  m->ending[end][server]++;
}

static double
rate_now (const model_t *m)
{
  bool burst = m->scenario->burst && quarter_now (m) == 2;
  double rate = m->scenario->requests_per_s > 0.0 ? m->scenario->requests_per_s
                                                  : CALLS_PER_S;
  return rate * (burst ? 2.0 : 1.0);
}

static int64_t
tick_ms (const model_t *m)
{
  return m->full_since ? TICK_FULL_MS : TICK_MS;
}

static const char *const routes[ROUTES] = { "/busy", "/quiet" };
static const char *const servers[SERVERS] = { "a", "b", "c", "d" };

/* Report the calls that were in flight at the time of the last report.  */
static void
report_in_flight (model_t *m)
{
  cs_call_stats_t ages[SERVERS][ROUTES] = { 0 };
  for (guint i = m->calls->len; i > 0; i--)
    {
      const call_t *c = &g_array_index (m->calls, call_t, i - 1);
      if (c->end <= m->reported_until)
        g_array_remove_index_fast (m->calls, i - 1);
      else if (c->start < m->reported_until)
        cs_call_stats_record (&ages[c->server][c->route], false,
                              (m->reported_until - c->start) * CS_MSEC);
    }
  for (int s = 0; s < SERVERS; s++)
    for (int r = 0; r < ROUTES; r++)
      cs_evaluation_set_in_flight (m->ctx, m->evaluation, servers[s],
                                   routes[r], &ages[s][r]);
}

static void
report_step (model_t *m, size_t step)
{
  for (int s = 0; s < SERVERS; s++)
    for (int r = 0; r < ROUTES; r++)
      cs_evaluation_add (m->ctx, m->evaluation, servers[s], routes[r],
                         &m->reports[step][s][r]);
}

/* End the calls of this step.  The owner gets them with the next
   report.  */
static void
end_calls (model_t *m)
{
  size_t now = (size_t)(m->now / STEP_MS);
  for (int s = 0; s < SERVERS; s++)
    {
      m->in_flight[s] -= m->ending[now % RUN_STEPS][s];
      m->ending[now % RUN_STEPS][s] = 0;
    }
  memcpy (m->reports[now % REPORT_STEPS], m->finished[now % RUN_STEPS],
          sizeof m->reports[0]);
  memset (m->finished[now % RUN_STEPS], 0, sizeof m->finished[0]);
  for (; m->reported_until <= m->now - tick_ms (m) - REPORT_LAG_MS;
       m->reported_until += STEP_MS)
    report_step (m, (size_t)(m->reported_until / STEP_MS) % REPORT_STEPS);
}

static cs_usec_t
write_time (const model_t *m)
{
  return (m->scenario->slow_table ? WRITE_SLOW_MS : WRITE_MS) * CS_MSEC;
}

static void
write_step (model_t *m, int64_t share, cs_move_state_t phase)
{
  m->writing = true;
  m->next_share = share;
  m->next_phase = phase;
  m->written_at = m->now + write_time (m) / CS_MSEC;
}

static void
decide_as_owner (model_t *m)
{
  static const cs_exposure_limits_t limits
      = { .share = ALLOWED_SHARE, .slack = ALLOWED_SLACK };
  const cs_paired_stats_t *seen = cs_evaluation_total (m->evaluation);
  double candidate_requests = (double)seen->candidate.calls;
  report_in_flight (m);
  cs_evaluation_tick (m->evaluation);
  for (int s = 0; s < SERVERS; s++)
    candidate_requests += m->in_flight[s];
  cs_exposure_update (&m->exposure,
                      (double)seen->baseline.calls + candidate_requests,
                      candidate_requests, m->now * CS_MSEC);
  if (m->writing)
    return;
  cs_move_inputs_t facts
      = { .now_ms = m->now,
          .verdict = cs_evaluation_verdict (m->evaluation),
          .candidate_calls = cs_evaluation_candidate_calls (m->evaluation),
          .has_candidate_upstreams = m->now >= READY_MS,
          .exposure = &m->exposure,
          .exposure_limits = &limits,
          .change_delay = write_time (m) };
  cs_move_step_t step = cs_move_next_step (&m->move, &facts);
  if (step.kind == CS_MOVE_STEP_ROLL_BACK)
    write_step (m, 0, CS_MOVE_ROLLED_BACK);
  else if (m->full_since)
    {
      cs_usec_t since = (m->now - m->full_since) * CS_MSEC;
      cs_usec_t time_left = (m->duration_ms - m->now) * CS_MSEC;
      if (cs_move_baseline_is_drained (0, 0, since)
          && cs_move_bake_time_is_over (since, time_left, write_time (m)))
        write_step (m, CS_ALL_TRAFFIC_PERMILLE, CS_MOVE_DONE);
    }
  else if (step.kind == CS_MOVE_STEP_FINISH)
    write_step (m, CS_ALL_TRAFFIC_PERMILLE, CS_MOVE_RUNNING);
  else if (step.kind == CS_MOVE_STEP_SET_SHARE)
    write_step (m, step.share_permille, CS_MOVE_RUNNING);
}

/* A share is in force once it is written and sent; a rollback at once.  */
static void
apply_written_step (model_t *m)
{
  if (m->writing && m->next_phase == CS_MOVE_ROLLED_BACK)
    m->share = 0;
  if (!m->writing || m->now < m->written_at + SEND_MS)
    return;
  m->writing = false;
  m->share = m->move.candidate_permille = m->next_share;
  m->move.state = m->next_phase;
  m->move.last_step_ms = m->now;
  if (m->share == CS_ALL_TRAFFIC_PERMILLE && !m->full_since)
    m->full_since = m->now;
}

/* A third of the hosts are more than twice as fast as the others.  */
static void
draw_host_speeds (model_t *m, guint32 seed)
{
  GRand *random = g_rand_new_with_seed (seed);
  for (int version = 0; version < 2; version++)
    for (int server = 0; server < SERVERS; server++)
      m->speeds[version][server]
          = g_rand_int_range (random, 0, 3) == 0 ? 1.6 : 0.7;
  g_rand_free (random);
}

static void
run_case (const scenario_t *scenario, int64_t duration_ms, guint32 seed,
          tally_t *tally)
{
  const void *vtable;
  cs_ctx_t *ctx = cs_ctx_new (NULL, cs_clock_system (), 1);
  model_t *m = g_new0 (model_t, 1);
  g_assert_cmpint (cs_plugin_find (ctx, CS_PLUGIN_JUDGE, "cusum", &vtable), ==,
                   CS_OK);
  m->ctx = ctx;
  m->scenario = scenario;
  m->random = g_rand_new_with_seed (seed);
  m->evaluation = cs_evaluation_new (ctx, vtable, FALSE_ALARM);
  m->duration_ms = duration_ms;
  m->calls = g_array_new (FALSE, FALSE, sizeof (call_t));
  draw_host_speeds (m, seed);
  m->move = (cs_move_t){ .deadline_ms = cs_move_verdict_deadline_ms (
                             0, duration_ms, write_time (m), 0),
                         .initial_candidate_permille = 50 };
  for (m->now = 0;
       m->move.state == CS_MOVE_RUNNING && m->now < 2 * duration_ms;
       m->now += STEP_MS)
    {
      end_calls (m);
      double expected = rate_now (m) * STEP_MS / 1000.0;
      int calls = (int)(expected + g_rand_double (m->random));
      for (int i = 0; i < calls; i++)
        start_call (m, g_rand_int_range (m->random, 0, CS_ALL_TRAFFIC_PERMILLE)
                           < m->share);
      if (m->now % tick_ms (m) == 0)
        decide_as_owner (m);
      apply_written_step (m);
    }
  double allowed = ALLOWED_SHARE * m->requests + ALLOWED_SLACK;
  tally->cases++;
  tally->over_limit += m->candidate_requests > allowed;
  tally->worst_ratio
      = MAX (tally->worst_ratio, m->candidate_requests / allowed);
  tally->taken_back += m->move.state == CS_MOVE_ROLLED_BACK;
  tally->done_late += m->move.state == CS_MOVE_DONE && m->now > duration_ms;
  cs_evaluation_drop (ctx, m->evaluation);
  g_rand_free (m->random);
  g_array_free (m->calls, TRUE);
  g_free (m);
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
  tally_t t = { 0 };
  run_cases (data, &t);
  g_test_message (
      "%d of %d over, worst %.2f of what is allowed, %d taken back",
      t.over_limit, t.cases, t.worst_ratio, t.taken_back);
  if (t.over_limit || t.taken_back != t.cases)
    g_test_fail ();
}

/* Moves to a good version are done by the deadline, but for a false alarm rate
   of 1 in 100: at most 1 of the 40 cases.  */
static void
check_good (const void *data)
{
  tally_t t = { 0 };
  run_cases (data, &t);
  g_test_message ("%d of %d taken back, %d late", t.taken_back, t.cases,
                  t.done_late);
  if (t.taken_back > 1 || t.done_late)
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
