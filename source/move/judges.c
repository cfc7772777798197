/* The judges: sequential tests of a candidate against the baseline.

   "cusum": for each interval, the likelihood ratio between the candidate being
   worse by a step and being like the baseline in the same interval.  The sum
   of the logarithms never falls below zero, so that a version that fails late
   is detected as fast as one that fails at once.  A burst of errors that hits
   both versions does not count.
   "mixture": a likelihood ratio averaged over all worse rates since the start
   of the move.  It is valid at any time, but slow to detect late changes.
   "threshold": compares the rates once there are enough calls; the simple
   reference for the other two.  */
#include <math.h>
#include <stdlib.h>

#include "cardamom/judge.h"
#include "cardamom/registry.h"

/* Calls that the baseline rates are estimated from; older ones decay.  */
#define BASELINE_WINDOW_CALLS 400.0
#define PRIOR_CALLS 20.0     /* Weight of the prior of the baseline rate.  */
#define PRIOR_ERRORS 0.4     /* 2% of PRIOR_CALLS.  */
#define PRIOR_SLOW_CALLS 2.0 /* 10% of PRIOR_CALLS.  */
/* Smallest increases of the two rates to detect.  */
#define ERROR_INCREASE_MIN 0.08
#define SLOW_INCREASE_MIN 0.30
#define RATE_MAX 0.97
#define SLOW_QUANTILE 0.95
/* Latency buckets above that of the quantile whose calls do not yet count as
   slow.  */
#define SLOW_TOLERANCE_BUCKETS 1
/* Weight of a call on any route, this one included, in the estimate of the
   rate in a burst.  */
#define ALL_ROUTES_WEIGHT 0.5
/* The number of independent tests that a move with "cusum" amounts to.  */
#define EFFECTIVE_TESTS 300.0
#define MIXTURE_RATES 24 /* Rates that "mixture" averages over.  */
/* Prior probability that an interval has an error rate of its own.  */
#define BURST_PRIOR 0.05
#define LARGE_INCREASE 0.5 /* A second, larger increase to detect.  */
#define THRESHOLD_CALLS_MIN 50.0
#define THRESHOLD_RATE_FACTOR 2.0
#define THRESHOLD_RATE_MARGIN 0.02

/* A rate of bad events, either errors or slow calls, of both versions.  */
typedef struct
{
  double baseline_calls, baseline_events; /* Decaying.  */
  double candidate_calls, candidate_events;
  double score; /* Of "cusum"; 0 for the other judges.  */
  double all_routes_calls, all_routes_events; /* Of the baseline, decaying.  */
  double log_ratios[MIXTURE_RATES];           /* Of "mixture", by rate.  */
  double prior_events, increase_min;
  const char *name;
} metric_t;

typedef struct
{
  cs_judge_t base;
  /* Of the logarithm of the likelihood ratio, for a bad verdict; not used by
     the judge "threshold".  */
  double threshold;
  metric_t errors;
  metric_t slow_calls; /* Calls above a high quantile of the baseline.  */
  double baseline_latency[CS_LATENCY_BUCKETS]; /* Decaying.  */
  cs_verdict_t verdict;
  const metric_t *bad_metric; /* The first one that was bad.  */
} judge_t;

/* A number of calls, and of bad events among them.  */
typedef struct
{
  double calls, events;
} event_count_t;

/* The test of one kind of judge.  Adds the calls of an interval to METRIC,
   whose baseline counts do not include the interval yet.  Returns whether
   METRIC is bad by THRESHOLD.  */
typedef bool (*update_fn_t) (metric_t *metric, event_count_t baseline,
                             event_count_t candidate, event_count_t all,
                             double threshold);

static cs_judge_t *
judge_new (cs_ctx_t *ctx, double false_alarm_rate,
           const cs_judge_vtable_t *vtable, double tests)
{
  judge_t *judge = cs_calloc (ctx, sizeof *judge);
  judge->base.vtable = vtable;
  judge->threshold = log (tests / false_alarm_rate);
  judge->errors = (metric_t){ .name = "errors",
                              .prior_events = PRIOR_ERRORS,
                              .increase_min = ERROR_INCREASE_MIN };
  judge->slow_calls = (metric_t){ .name = "slow calls",
                                  .prior_events = PRIOR_SLOW_CALLS,
                                  .increase_min = SLOW_INCREASE_MIN };
  return &judge->base;
}

static void
judge_drop (cs_ctx_t *ctx, cs_judge_t *judge)
{
  cs_free (ctx, judge);
}

static cs_verdict_t
judge_verdict (const cs_judge_t *judge)
{
  return ((const judge_t *)judge)->verdict;
}

static double
judge_threshold_fraction (const cs_judge_t *judge)
{
  const judge_t *self = (const judge_t *)judge;
  double score = MAX (self->errors.score, self->slow_calls.score);
  return CLAMP (score / self->threshold, 0.0, 1.0);
}

static void
judge_explain (const cs_judge_t *judge, GString *reason)
{
  const judge_t *self = (const judge_t *)judge;
  const metric_t *metric = self->bad_metric ? self->bad_metric : &self->errors;
  g_string_append_printf (
      reason, "%s: %.0f of %.0f calls against %.1f%% of the old version's",
      metric->name, metric->candidate_events, metric->candidate_calls,
      100.0 * metric->baseline_events / MAX (metric->baseline_calls, 1.0));
}

/* The fraction of CURRENT calls to keep so that with the ADDED ones they are
   at most BASELINE_WINDOW_CALLS.  */
static double
kept_fraction (double current, double added)
{
  if (current + added <= BASELINE_WINDOW_CALLS)
    return 1.0;
  return MAX (BASELINE_WINDOW_CALLS - added, 0.0) / MAX (current, 1.0);
}

static void
add_with_decay (double *calls, double *events, event_count_t added)
{
  double kept = kept_fraction (*calls, added.calls);
  *calls = *calls * kept + added.calls;
  *events = *events * kept + added.events;
}

static double
baseline_rate (const metric_t *metric)
{
  return (metric->baseline_events + metric->prior_events)
         / (metric->baseline_calls + PRIOR_CALLS);
}

/* The lowest rate that counts as worse than P0.  */
static double
alternative_rate (const metric_t *metric, double p0)
{
  return MIN (p0 + MAX (metric->increase_min, p0), RATE_MAX);
}

/* A beta distribution: the belief about a rate after A bad and B other
   events.  */
typedef struct
{
  double a, b;
} beta_t;

static double
log_beta (double a, double b)
{
  return lgamma (a) + lgamma (b) - lgamma (a + b);
}

/* The logarithm of the beta-binomial probability of COUNT under PRIOR, without
   the binomial coefficient, which is the same for all hypotheses.  */
static double
log_marginal (beta_t prior, event_count_t count)
{
  return log_beta (prior.a + count.events,
                   prior.b + count.calls - count.events)
         - log_beta (prior.a, prior.b);
}

static beta_t
posterior (beta_t prior, event_count_t count)
{
  return (beta_t){ prior.a + count.events,
                   prior.b + count.calls - count.events };
}

/* log (exp (x) + exp (y)) without overflow.  */
static double
log_add (double x, double y)
{
  double larger = MAX (x, y);
  return larger + log (exp (x - larger) + exp (y - larger));
}

static double
log_binomial (double p, event_count_t count)
{
  return count.events * log (p) + (count.calls - count.events) * log (1.0 - p);
}

/* The probability that this interval has a rate of its own, by the calls of
   the baseline on ALL routes.  */
static double
burst_probability (const metric_t *metric, event_count_t all)
{
  beta_t steady = { metric->all_routes_events + metric->prior_events,
                    metric->all_routes_calls + PRIOR_CALLS
                        - metric->all_routes_events - metric->prior_events };
  beta_t burst = { 1.0, 1.0 };
  double log_steady = log (1.0 - BURST_PRIOR) + log_marginal (steady, all);
  double log_burst = log (BURST_PRIOR) + log_marginal (burst, all);
  double probability = exp (log_burst - log_add (log_steady, log_burst));
  return CLAMP (probability, BURST_PRIOR / 10.0, 1.0 - BURST_PRIOR / 10.0);
}

static bool
update_cusum (metric_t *metric, event_count_t baseline,
              event_count_t candidate, event_count_t all, double threshold)
{
  /* The rate on all routes is the prior of a route with few calls.  */
  double prior_events = PRIOR_CALLS
                        * (metric->all_routes_events + metric->prior_events)
                        / (metric->all_routes_calls + PRIOR_CALLS);
  beta_t steady = { metric->baseline_events + prior_events,
                    metric->baseline_calls + PRIOR_CALLS
                        - metric->baseline_events - prior_events };
  beta_t burst = { 1.0, 1.0 };
  double burst_weight = burst_probability (metric, all);
  double log_steady
      = log (1.0 - burst_weight) + log_marginal (steady, baseline);
  burst = posterior (burst, (event_count_t){ ALL_ROUTES_WEIGHT * all.calls,
                                             ALL_ROUTES_WEIGHT * all.events });
  double log_burst = log (burst_weight) + log_marginal (burst, baseline);
  double log_baseline = log_add (log_steady, log_burst);
  steady = posterior (steady, baseline);
  burst = posterior (burst, baseline);
  double log_equal = log_add (log_steady + log_marginal (steady, candidate),
                              log_burst + log_marginal (burst, candidate))
                     - log_baseline;
  double steady_weight = exp (log_steady - log_baseline);
  double p0 = steady_weight * steady.a / (steady.a + steady.b)
              + (1.0 - steady_weight) * burst.a / (burst.a + burst.b);
  p0 = MIN (p0, RATE_MAX - 0.01);
  double log_worse
      = log_add (log_binomial (alternative_rate (metric, p0), candidate),
                 log_binomial (MIN (p0 + LARGE_INCREASE, RATE_MAX), candidate))
        + log (0.5);
  metric->score = MAX (metric->score + log_worse - log_equal, 0.0);
  return metric->score > threshold;
}

static bool
update_mixture (metric_t *metric, event_count_t baseline,
                event_count_t candidate, event_count_t all, double threshold)
{
  (void)baseline;
  (void)all;
  double p0 = MIN (baseline_rate (metric), RATE_MAX - 0.01);
  double largest = -INFINITY, sum = 0.0;
  for (int i = 0; i < MIXTURE_RATES; i++)
    {
      double p1 = p0 + (RATE_MAX - p0) * (i + 0.5) / MIXTURE_RATES;
      metric->log_ratios[i]
          += log_binomial (p1, candidate) - log_binomial (p0, candidate);
      largest = MAX (largest, metric->log_ratios[i]);
    }
  for (int i = 0; i < MIXTURE_RATES; i++)
    sum += exp (metric->log_ratios[i] - largest);
  return largest + log (sum / MIXTURE_RATES) > threshold;
}

static bool
update_threshold (metric_t *metric, event_count_t baseline,
                  event_count_t candidate, event_count_t all, double threshold)
{
  (void)baseline;
  (void)all;
  (void)candidate;
  (void)threshold;
  double rate = metric->candidate_events / MAX (metric->candidate_calls, 1.0);
  return metric->candidate_calls >= THRESHOLD_CALLS_MIN
         && rate > THRESHOLD_RATE_FACTOR * baseline_rate (metric)
                       + THRESHOLD_RATE_MARGIN;
}

static void
add_to_metric (judge_t *judge, metric_t *metric, event_count_t baseline,
               event_count_t candidate, event_count_t all, update_fn_t update)
{
  metric->candidate_calls += candidate.calls;
  metric->candidate_events += candidate.events;
  if (candidate.calls > 0.0
      && update (metric, baseline, candidate, all, judge->threshold)
      && judge->verdict != CS_VERDICT_BAD)
    {
      judge->verdict = CS_VERDICT_BAD;
      judge->bad_metric = metric;
    }
  add_with_decay (&metric->baseline_calls, &metric->baseline_events, baseline);
  add_with_decay (&metric->all_routes_calls, &metric->all_routes_events, all);
}

static unsigned
first_slow_bucket (const judge_t *judge)
{
  double total = 0.0, sum = 0.0;
  unsigned i = 0;
  for (unsigned b = 0; b < CS_LATENCY_BUCKETS; b++)
    total += judge->baseline_latency[b];
  if (total < 1.0)
    return CS_LATENCY_BUCKETS;
  while (i < CS_LATENCY_BUCKETS - 1
         && (sum += judge->baseline_latency[i]) < SLOW_QUANTILE * total)
    i++;
  return i + 1 + SLOW_TOLERANCE_BUCKETS;
}

static event_count_t
count_slow_calls (const cs_call_stats_t *stats, unsigned from)
{
  event_count_t count = { 0 };
  for (unsigned i = 0; i < CS_LATENCY_BUCKETS; i++)
    {
      count.calls += (double)stats->latency_buckets[i];
      if (i >= from)
        count.events += (double)stats->latency_buckets[i];
    }
  return count;
}

static event_count_t
count_errors (const cs_call_stats_t *stats)
{
  return (event_count_t){ (double)stats->calls, (double)stats->errors };
}

static void
add_latency_with_decay (judge_t *judge, const cs_call_stats_t *baseline)
{
  double current = 0.0, added = 0.0;
  for (int i = 0; i < CS_LATENCY_BUCKETS; i++)
    {
      current += judge->baseline_latency[i];
      added += (double)baseline->latency_buckets[i];
    }
  double kept = kept_fraction (current, added);
  for (int i = 0; i < CS_LATENCY_BUCKETS; i++)
    judge->baseline_latency[i] = judge->baseline_latency[i] * kept
                                 + (double)baseline->latency_buckets[i];
}

static void
judge_add (cs_judge_t *judge, const cs_paired_stats_t *increase,
           const cs_paired_stats_t *all, update_fn_t update)
{
  judge_t *self = (judge_t *)judge;
  add_to_metric (self, &self->errors, count_errors (&increase->baseline),
                 count_errors (&increase->candidate),
                 count_errors (&all->baseline), update);
  add_latency_with_decay (self, &increase->baseline);
  unsigned from = first_slow_bucket (self);
  add_to_metric (self, &self->slow_calls,
                 count_slow_calls (&increase->baseline, from),
                 count_slow_calls (&increase->candidate, from),
                 (event_count_t){ 0 }, update);
}

/* Define the judge PLUGIN_NAME and register it.  Its threshold is
   log (TESTS / false_alarm_rate); the judge "threshold" does not use it.  */
#define DEFINE_JUDGE(id, plugin_name, tests, description)                     \
  static cs_judge_t *make_##id (cs_ctx_t *ctx, double false_alarm_rate);      \
  static void add_##id (cs_judge_t *judge, const cs_paired_stats_t *increase, \
                        const cs_paired_stats_t *all)                         \
  {                                                                           \
    judge_add (judge, increase, all, update_##id);                            \
  }                                                                           \
  static const cs_judge_vtable_t id##_vtable = {                              \
    .make = make_##id,                                                        \
    .drop = judge_drop,                                                       \
    .add = add_##id,                                                          \
    .verdict = judge_verdict,                                                 \
    .threshold_fraction = judge_threshold_fraction,                           \
    .explain = judge_explain,                                                 \
  };                                                                          \
  static cs_judge_t *make_##id (cs_ctx_t *ctx, double false_alarm_rate)       \
  {                                                                           \
    return judge_new (ctx, false_alarm_rate, &id##_vtable, tests);            \
  }                                                                           \
  static cs_plugin_t id##_plugin = {                                          \
    .kind = CS_PLUGIN_JUDGE,                                                  \
    .name = plugin_name,                                                      \
    .summary = description,                                                   \
    .vtable = &id##_vtable,                                                   \
  };                                                                          \
  CS_PLUGIN (id##_plugin)

DEFINE_JUDGE (cusum, "cusum", EFFECTIVE_TESTS,
              "likelihood ratio that restarts at zero")
DEFINE_JUDGE (mixture, "mixture", 2.0,
              "likelihood ratio averaged over worse rates")
DEFINE_JUDGE (threshold, "threshold", 1.0, "comparison of rates")
