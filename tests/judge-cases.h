/* Simulated moves to good and bad versions, to test how a judge decides on
   them.  No servers run: the calls of both versions are drawn at random from a
   model, with fixed seeds.  */
#ifndef CARDAMOM_JUDGE_CASES_H
#define CARDAMOM_JUDGE_CASES_H

#include <math.h>

#include "cardamom/cardamom.h"

#define CASE_SECONDS 120
#define CASE_TICK_MS 500
#define CASE_SEEDS 10
#define CASE_ROUTES 3

/* How a version behaves at one time, with one share of the traffic, on one
   route.  */
typedef struct
{
  double error_rate; /* Probability of an error.  */
  double slowdown;   /* Factor by which the latency grows.  */
} behavior_t;

typedef struct
{
  const char *name;
  bool bad;                 /* A judge should roll it back.  */
  double calls_per_s;       /* Of both versions.  */
  double background_errors; /* Error rate of the baseline; below 0: bursts.  */
  /* The behaviour of the candidate on ROUTE, at time T_MS and with SHARE
     permille of the traffic.  */
  behavior_t (*behavior) (double background, int64_t t_ms, int64_t share,
                          int route);
} version_kind_t;

static behavior_t
like_baseline (double background, int64_t t_ms, int64_t share, int route)
{
  (void)t_ms, (void)share, (void)route;
  return (behavior_t){ background, 1.0 };
}

static behavior_t
always_fails (double background, int64_t t_ms, int64_t share, int route)
{
  (void)background, (void)t_ms, (void)share, (void)route;
  return (behavior_t){ 1.0, 1.0 };
}

static behavior_t
fails_some (double background, int64_t t_ms, int64_t share, int route)
{
  (void)t_ms, (void)share, (void)route;
  return (behavior_t){ background + 0.3, 1.0 };
}

static behavior_t
fails_late (double background, int64_t t_ms, int64_t share, int route)
{
  (void)share, (void)route;
  return (behavior_t){ t_ms > 60000 ? 0.5 : background, 1.0 };
}

static behavior_t
fails_under_load (double background, int64_t t_ms, int64_t share, int route)
{
  (void)t_ms, (void)route;
  return (behavior_t){ share >= 350 ? 0.4 : background, 1.0 };
}

static behavior_t
fails_on_route (double background, int64_t t_ms, int64_t share, int route)
{
  (void)t_ms, (void)share;
  return (behavior_t){ route == 2 ? 0.9 : background, 1.0 };
}

static behavior_t
always_slow (double background, int64_t t_ms, int64_t share, int route)
{
  (void)t_ms, (void)share, (void)route;
  return (behavior_t){ background, 4.0 };
}

static behavior_t
slow_late (double background, int64_t t_ms, int64_t share, int route)
{
  (void)share, (void)route;
  return (behavior_t){ background, t_ms > 60000 ? 5.0 : 1.0 };
}

static behavior_t
slow_on_route (double background, int64_t t_ms, int64_t share, int route)
{
  (void)t_ms, (void)share;
  return (behavior_t){ background, route == 2 ? 6.0 : 1.0 };
}

static behavior_t
slow_under_load (double background, int64_t t_ms, int64_t share, int route)
{
  (void)t_ms, (void)route;
  return (behavior_t){ background, share >= 350 ? 5.0 : 1.0 };
}

static const version_kind_t version_kinds[] = {
  { "good", false, 100, 0.002, like_baseline },
  { "good-busy", false, 1000, 0.002, like_baseline },
  { "good-background", false, 100, 0.2, like_baseline },
  { "good-thin", false, 3, 0.0, like_baseline },
  { "good-thin-background", false, 4, 0.05, like_baseline },
  { "good-bursts", false, 100, -1.0, like_baseline },
  { "bad-all", true, 100, 0.002, always_fails },
  { "bad-some", true, 100, 0.002, fails_some },
  { "bad-background", true, 100, 0.2, fails_some },
  { "bad-late", true, 100, 0.002, fails_late },
  { "bad-under-load", true, 100, 0.002, fails_under_load },
  { "bad-one-route", true, 100, 0.002, fails_on_route },
  { "bad-thin", true, 3, 0.0, fails_some },
  { "slow", true, 100, 0.002, always_slow },
  { "slow-late", true, 100, 0.002, slow_late },
  { "slow-one-route", true, 100, 0.002, slow_on_route },
  { "slow-under-load", true, 100, 0.002, slow_under_load },
};

typedef struct
{
  bool limited; /* Input: the exposure of the candidate is limited.  */
  int cases, rolled_back, finished;
  int over_limit; /* Cases with more exposed calls than allowed.  */
  double calls;
  double exposed; /* Calls to a candidate that behaves worse than the baseline
                     at that time.  */
} tally_t;

/* The routes get 45%, 45% and 10% of the calls.  */
static int
draw_route (GRand *random)
{
  double u = g_rand_double (random);
  return u < 0.45 ? 0 : u < 0.9 ? 1 : 2;
}

/* Approximately log-normal, with a median of 5 ms times FACTOR.  */
static cs_usec_t
draw_latency (GRand *random, double factor)
{
  double sum = 0.0;
  for (int i = 0; i < 6; i++)
    sum += g_rand_double (random);
  return (cs_usec_t)(5000.0 * factor * exp (0.6 * (sum - 3.0)));
}

/* The error rate of the baseline now.  With bursts, a third of the calls fail
   in 2 of every 15 seconds.  */
static double
background_now (const version_kind_t *kind, int64_t t_ms)
{
  if (kind->background_errors >= 0.0)
    return kind->background_errors;
  return t_ms % 15000 < 2000 ? 0.33 : 0.005;
}

/* Draw the calls of one tick and add them to INCREASE and TALLY.  */
static void
draw_tick (const version_kind_t *kind, GRand *random, int64_t t_ms,
           int64_t share, cs_paired_stats_t increase[CASE_ROUTES],
           tally_t *tally)
{
  double background = background_now (kind, t_ms);
  double expected = kind->calls_per_s * CASE_TICK_MS / 1000.0;
  int calls = (int)(expected + g_rand_double (random));
  for (int i = 0; i < calls; i++)
    {
      int route = draw_route (random);
      bool is_candidate
          = g_rand_int_range (random, 0, CS_ALL_TRAFFIC_PERMILLE) < share;
      behavior_t behavior = { background, 1.0 };
      if (is_candidate)
        behavior = kind->behavior (background, t_ms, share, route);
      bool failed = g_rand_double (random) < behavior.error_rate;
      cs_call_stats_record (is_candidate ? &increase[route].candidate
                                         : &increase[route].baseline,
                            failed, draw_latency (random, behavior.slowdown));
      tally->calls += 1.0;
      tally->exposed
          += behavior.error_rate > background || behavior.slowdown > 1.0;
    }
}

/* Run one move to its end and add the result to TALLY.  */
static void
run_move (cs_ctx_t *ctx, const cs_judge_vtable_t *vtable,
          double false_alarm_rate, const version_kind_t *kind, guint32 seed,
          tally_t *tally)
{
  static const char *const routes[CASE_ROUTES] = { "/a", "/b", "/c" };
  GRand *random = g_rand_new_with_seed (seed);
  cs_evaluation_t *evaluation
      = cs_evaluation_new (ctx, vtable, false_alarm_rate);
  static const cs_exposure_limits_t limits = { .share = 0.1, .slack = 50.0 };
  cs_exposure_t exposure = { 0 };
  cs_move_t move = { .deadline_ms = CASE_SECONDS * 1000,
                     .initial_candidate_permille = 20 };
  double calls_before = tally->calls, exposed_before = tally->exposed;
  tally->cases++;
  for (int64_t t_ms = 0; move.state == CS_MOVE_RUNNING; t_ms += CASE_TICK_MS)
    {
      cs_paired_stats_t increase[CASE_ROUTES] = { 0 };
      draw_tick (kind, random, t_ms, move.candidate_permille, increase, tally);
      for (int i = 0; i < CASE_ROUTES; i++)
        cs_evaluation_add (ctx, evaluation, "", routes[i], &increase[i]);
      cs_evaluation_tick (evaluation);
      uint64_t calls = cs_evaluation_candidate_calls (evaluation);
      const cs_paired_stats_t *totals = cs_evaluation_total (evaluation);
      /* An update at time 0 would count as none.  */
      cs_exposure_update (&exposure, (double)(totals->baseline.calls + calls),
                          (double)calls, (t_ms + 1) * CS_MSEC);
      cs_move_inputs_t inputs
          = { .now_ms = t_ms,
              .verdict = cs_evaluation_verdict (evaluation),
              .candidate_calls = calls,
              .has_candidate_upstreams = true,
              .exposure = tally->limited ? &exposure : NULL,
              .exposure_limits = &limits };
      cs_move_step_t step = cs_move_next_step (&move, &inputs);
      if (step.kind == CS_MOVE_STEP_SET_SHARE)
        {
          move.candidate_permille = step.share_permille;
          move.last_step_ms = t_ms;
        }
      else if (step.kind == CS_MOVE_STEP_FINISH)
        move.state = CS_MOVE_DONE;
      else if (step.kind == CS_MOVE_STEP_ROLL_BACK)
        move.state = CS_MOVE_ROLLED_BACK;
    }
  double total = tally->calls - calls_before;
  tally->over_limit
      += tally->exposed - exposed_before > limits.share * total + limits.slack;
  tally->rolled_back += move.state == CS_MOVE_ROLLED_BACK;
  tally->finished += move.state == CS_MOVE_DONE;
  cs_evaluation_drop (ctx, evaluation);
  g_rand_free (random);
}

#endif
