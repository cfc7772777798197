/* Unit tests of version moves: the next step, the judges, the limit of
   exposure and the lease.  */
#include <string.h>

#include "judge-cases.h"

static void
test_next_step (void)
{
  static const struct
  {
    int64_t share, last_step_ms, now_ms;
    cs_verdict_t verdict;
    uint64_t calls;
    bool upstreams;
    cs_move_step_kind_t kind;
    int64_t next_share;
  } cases[] = {
    /* The move takes from 0 to 90000 ms; a planned step takes 8000 ms.  */
    { 0, 0, 0, CS_VERDICT_UNDECIDED, 0, true, CS_MOVE_STEP_SET_SHARE, 20 },
    { 0, 0, 0, CS_VERDICT_UNDECIDED, 0, false, CS_MOVE_STEP_NONE, 0 },
    { 20, 1000, 5000, CS_VERDICT_GOOD, 50, true, CS_MOVE_STEP_NONE, 0 },
    { 20, 1000, 9000, CS_VERDICT_UNDECIDED, 50, true, CS_MOVE_STEP_SET_SHARE,
      50 },
    { 20, 1000, 1500, CS_VERDICT_BAD, 50, true, CS_MOVE_STEP_ROLL_BACK, 0 },
    { 500, 40000, 50000, CS_VERDICT_UNDECIDED, 50, true, CS_MOVE_STEP_NONE,
      0 },
    { 500, 40000, 50000, CS_VERDICT_GOOD, 50, true, CS_MOVE_STEP_SET_SHARE,
      700 },
    { 900, 60000, 80000, CS_VERDICT_GOOD, 500, true, CS_MOVE_STEP_NONE, 0 },
    { 900, 60000, 86500, CS_VERDICT_GOOD, 500, true, CS_MOVE_STEP_FINISH, 0 },
    { 900, 60000, 86500, CS_VERDICT_UNDECIDED, 500, true,
      CS_MOVE_STEP_ROLL_BACK, 0 },
    { 900, 60000, 86500, CS_VERDICT_BAD, 500, true, CS_MOVE_STEP_ROLL_BACK,
      0 },
    { 0, 0, 95000, CS_VERDICT_UNDECIDED, 0, true, CS_MOVE_STEP_ROLL_BACK, 0 },
  };
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      cs_move_t move = { .deadline_ms = 90000,
                         .initial_candidate_permille = 20,
                         .candidate_permille = cases[i].share,
                         .last_step_ms = cases[i].last_step_ms };
      cs_move_inputs_t inputs
          = { .now_ms = cases[i].now_ms,
              .verdict = cases[i].verdict,
              .candidate_calls = cases[i].calls,
              .has_candidate_upstreams = cases[i].upstreams };
      cs_move_step_t step = cs_move_next_step (&move, &inputs);
      g_assert_cmpint (step.kind, ==, cases[i].kind);
      g_assert_cmpint (step.share_permille, ==, cases[i].next_share);
    }
}

/* With a slow platform, a change of the share close to the verdict would be in
   force only after it, and delay the last step.  It is not started.  */
static void
test_late_change (void)
{
  static const struct
  {
    int64_t now_ms, change_delay_ms;
    cs_move_step_kind_t kind;
  } cases[] = {
    { 84000, 700, CS_MOVE_STEP_SET_SHARE },
    { 85500, 10, CS_MOVE_STEP_SET_SHARE },
    { 85500, 700, CS_MOVE_STEP_NONE },
    { 86000, 700, CS_MOVE_STEP_FINISH },
  };
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      cs_move_t move = { .deadline_ms = 90000, .candidate_permille = 50 };
      cs_move_inputs_t inputs
          = { .now_ms = cases[i].now_ms,
              .verdict = CS_VERDICT_GOOD,
              .candidate_calls = 50,
              .has_candidate_upstreams = true,
              .change_delay = cases[i].change_delay_ms * CS_MSEC };
      g_assert_cmpint (cs_move_next_step (&move, &inputs).kind, ==,
                       cases[i].kind);
    }
}

/* The default judge on every kind of version: all bad ones are rolled back
   within the limit of exposure, and good ones no more often than the false
   alarm rate allows.  */
static void
run_default_judge (bool limited)
{
  cs_ctx_t *ctx = cs_ctx_new (NULL, cs_clock_system (), 1);
  const void *vtable;
  int good = 0, good_rolled_back = 0;
  g_assert_cmpint (cs_plugin_find (ctx, CS_PLUGIN_JUDGE, "cusum", &vtable), ==,
                   CS_OK);
  for (size_t k = 0; k < G_N_ELEMENTS (version_kinds); k++)
    {
      tally_t tally = { .limited = limited };
      for (guint32 seed = 1; seed <= CASE_SEEDS; seed++)
        run_move (ctx, vtable, 0.01, &version_kinds[k], seed * 7919 + (guint)k,
                  &tally);
      if (version_kinds[k].bad)
        {
          g_assert_cmpint (tally.rolled_back, ==, tally.cases);
          g_assert_cmpint (tally.over_limit, ==, 0);
        }
      good += version_kinds[k].bad ? 0 : tally.cases;
      good_rolled_back += version_kinds[k].bad ? 0 : tally.rolled_back;
    }
  /* 60 cases at a rate of 0.01: more than 3 have a probability of 0.003.  */
  g_assert_cmpint (good, ==, 60);
  g_assert_cmpint (good_rolled_back, <=, 3);
  cs_ctx_drop (ctx);
}

static void
test_default_judge (void)
{
  run_default_judge (false);
}

static void
test_default_judge_with_exposure_limit (void)
{
  run_default_judge (true);
}

/* The shares, in permille, under a limit of 10 % of the requests and 50 more.
   The canary phase may use 45 % of the limit, the ramp 90 %.  What is left of
   that must suffice for 0.7 s, the time from a bad answer until requests to
   the candidate stop.  */
static void
test_exposure_shares (void)
{
  static const struct
  {
    double requests, candidate_requests, requests_per_s;
    int64_t canary_share, ramp_share;
  } cases[] = {
    /* At a rate of 0 the 50 requests suffice for every share.  */
    { 0, 0, 0, 1000, 1000 },
    /* Canary: 45 % of the 10 %, and of the 50 requests over 0.7 s.  */
    { 0, 0, 1000, 77, 0 },
    /* The requests so far raise the limit from 50 to 150.  */
    { 1000, 0, 1000, 141, 0 },
    /* Half of the limit is used.  */
    { 1000, 75, 1000, 34, 0 },
    /* All of the limit is used; the minimum of the canary's share remains.  */
    { 1000, 150, 1000, 25, 0 },
    /* Ramp: 945 of 1050 requests, less 525 used and 700 in 0.7 s.  */
    { 10000, 525, 1000, 25, 0 },
    { 20000, 1025, 1000, 25, 160 },
  };
  static const cs_exposure_limits_t limits = { .share = 0.1, .slack = 50.0 };
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      cs_exposure_t exposure
          = { .requests = cases[i].requests,
              .candidate_requests = cases[i].candidate_requests,
              .requests_per_s = cases[i].requests_per_s };
      g_assert_cmpint (cs_exposure_canary_share (&limits, &exposure, 0), ==,
                       cases[i].canary_share);
      g_assert_cmpint (cs_exposure_ramp_share (&limits, &exposure, CS_SEC), ==,
                       cases[i].ramp_share);
    }
}

/* The rate follows the counts.  A count too soon after another does not change
   it.  */
static void
test_exposure_rate (void)
{
  cs_exposure_t exposure = { 0 };
  cs_exposure_update (&exposure, 0, 0, 1 * CS_SEC);
  g_assert_cmpfloat (exposure.requests_per_s, ==, 0.0);
  cs_exposure_update (&exposure, 100, 5, 2 * CS_SEC);
  g_assert_cmpfloat (exposure.requests_per_s, ==, 100.0);
  cs_exposure_update (&exposure, 101, 9, 2 * CS_SEC + CS_MSEC);
  g_assert_cmpfloat (exposure.requests_per_s, ==, 100.0);
  g_assert_cmpfloat (exposure.candidate_requests, ==, 9.0);
  for (int i = 3; i < 13; i++)
    cs_exposure_update (&exposure, 200.0 * i, 9, i * CS_SEC);
  g_assert_cmpfloat_with_epsilon (exposure.requests_per_s, 200.0, 5.0);
}

/* Guards against a false verdict where calls are not attributed to servers.
   Calls over two network paths have two typical latencies, which look like a
   server with half of its calls slow.  */
static void
test_unattributed_calls_are_not_slow (void)
{
  cs_ctx_t *ctx = cs_ctx_new (NULL, cs_clock_system (), 1);
  const void *vtable;
  cs_plugin_find (ctx, CS_PLUGIN_JUDGE, "cusum", &vtable);
  const char *servers[] = { "a", "" };
  for (int i = 0; i < 2; i++)
    {
      cs_evaluation_t *evaluation = cs_evaluation_new (ctx, vtable, 0.01);
      for (int tick = 0; tick < 40; tick++)
        {
          cs_paired_stats_t increase = { 0 };
          for (int call = 0; call < 10; call++)
            {
              cs_call_stats_record (&increase.baseline, false,
                                    (call ? 5 : 12) * CS_MSEC);
              cs_call_stats_record (&increase.candidate, false,
                                    (call % 2 ? 5 : 12) * CS_MSEC);
            }
          cs_evaluation_add (ctx, evaluation, servers[i], "/a", &increase);
          cs_evaluation_tick (evaluation);
        }
      g_assert_cmpint (cs_evaluation_slowness (evaluation) > 0.5, ==, i == 0);
      cs_evaluation_drop (ctx, evaluation);
    }
  cs_ctx_drop (ctx);
}

/* The bounds of the buckets are powers of the square root of two.  */
static void
test_latency_quantiles (void)
{
  cs_call_stats_t stats = { 0 };
  g_assert_cmpint (cs_call_stats_quantile (&stats, 0.5), ==, 0);
  for (int i = 0; i < 99; i++)
    cs_call_stats_record (&stats, false, 100 * CS_MSEC);
  cs_call_stats_record (&stats, false, 2 * CS_SEC);
  g_assert_cmpint (cs_call_stats_quantile (&stats, 0.5), >=, 100 * CS_MSEC);
  g_assert_cmpint (cs_call_stats_quantile (&stats, 0.5), <=, 142 * CS_MSEC);
  g_assert_cmpint (cs_call_stats_quantile (&stats, 0.995), >=, 2 * CS_SEC);
  g_assert_cmpint (cs_call_stats_quantile (&stats, 0.995), <=, 2840 * CS_MSEC);
}

static void
test_stats_round_trip (void)
{
  cs_ctx_t *ctx = cs_ctx_new (NULL, cs_clock_system (), 1);
  cs_paired_stats_t stats = { 0 }, unpacked, zero = { 0 }, difference;
  cs_pack_t pack;
  cs_unpack_t unpack;
  cs_unpack_cursor_t in;
  for (int i = 0; i < 100; i++)
    cs_call_stats_record (i % 2 ? &stats.baseline : &stats.candidate,
                          i % 7 == 0, i * 997);
  cs_pack_init (&pack);
  cs_pack_array (&pack, 1);
  cs_paired_stats_pack (&pack, &stats);
  g_assert_cmpint (cs_unpack_init (ctx, &unpack, cs_pack_payload (&pack), &in),
                   ==, CS_OK);
  cs_paired_stats_unpack (&in, &unpacked);
  g_assert_false (in.failed);
  g_assert_cmpmem (&stats, sizeof stats, &unpacked, sizeof unpacked);
  cs_paired_stats_subtract (&difference, &zero, &stats);
  g_assert_cmpmem (&difference, sizeof difference, &zero, sizeof zero);
  cs_unpack_clear (&unpack);
  cs_pack_clear (&pack);
  cs_ctx_drop (ctx);
}

/* Two nodes compete for a lease, on one clock.  Each row is a step: which node
   tries, after how long, and the result.  */
static void
test_lease (void)
{
  static const struct
  {
    int node;
    int64_t after_ms;
    cs_status_t status;
    int64_t epoch;
  } steps[] = {
    { 0, 0, CS_OK, 1 },
    { 1, 10, CS_CONFLICT, 0 },
    { 0, 3000, CS_OK, 1 },
    { 1, 4000, CS_CONFLICT, 0 },
    { 1, 5900, CS_CONFLICT, 0 },
    { 1, 200, CS_OK, 2 },
    /* The first node was paused meanwhile.  */
    { 0, 10, CS_CONFLICT, 1 },
    { 1, 3000, CS_OK, 2 },
  };
  cs_manual_clock_t clock;
  cs_manual_clock_init (&clock, 1700000000 * CS_SEC);
  cs_ctx_t *ctx = cs_ctx_new (NULL, &clock.base, 1);
  cs_platform_t *platform;
  cs_lease_t leases[2];
  cs_platform_open (ctx, "memory", "lease", &platform);
  cs_lease_init (&leases[0], "l", "n0/1", 6 * CS_SEC);
  cs_lease_init (&leases[1], "l", "n1/1", 6 * CS_SEC);
  for (size_t i = 0; i < G_N_ELEMENTS (steps); i++)
    {
      cs_lease_t *lease = &leases[steps[i].node];
      cs_manual_clock_advance (&clock, steps[i].after_ms * CS_MSEC);
      g_assert_cmpint (cs_lease_acquire (ctx, platform, lease), ==,
                       steps[i].status);
      g_assert_cmpint (lease->epoch, ==, steps[i].epoch);
      g_assert_cmpint (cs_lease_is_held (ctx, lease), ==,
                       steps[i].status == CS_OK);
    }
  /* The fencing token rejects a write of the paused holder.  */
  cs_txn_condition_t fence = { .key = "l", .revision = leases[0].revision };
  cs_txn_write_t write = { .key = "x", .value = CS_STR ("1") };
  cs_txn_t txn = { &fence, 1, &write, 1 };
  int64_t revision;
  g_assert_cmpint (cs_platform_commit (ctx, platform, &txn, &revision), ==,
                   CS_CONFLICT);
  fence.revision = leases[1].revision;
  g_assert_cmpint (cs_platform_commit (ctx, platform, &txn, &revision), ==,
                   CS_OK);
  cs_lease_clear (&leases[0]);
  cs_lease_clear (&leases[1]);
  cs_platform_drop (ctx, platform);
  cs_ctx_drop (ctx);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/move/decide", test_next_step);
  g_test_add_func ("/move/late-change", test_late_change);
  g_test_add_func ("/move/default-judge", test_default_judge);
  g_test_add_func ("/move/default-judge-with-bound",
                   test_default_judge_with_exposure_limit);
  g_test_add_func ("/move/exposure-shares", test_exposure_shares);
  g_test_add_func ("/move/exposure-rate", test_exposure_rate);
  g_test_add_func ("/move/mixed-servers-are-no-slow-server",
                   test_unattributed_calls_are_not_slow);
  g_test_add_func ("/move/arm-latency", test_latency_quantiles);
  g_test_add_func ("/move/samples", test_stats_round_trip);
  g_test_add_func ("/move/lease", test_lease);
  return g_test_run ();
}
