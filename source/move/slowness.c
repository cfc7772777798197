#include <float.h>
#include <math.h>
#include <string.h>

#include "slowness.h"

/* Latencies are compared in bins, which split each bucket into halves.  */
#define BINS_PER_BUCKET 2
#define BINS 96 /* The first and the last also count what is beyond them.  */
#define MEDIAN_BIN 32 /* A server's calls are shifted to have it there.  */
/* Calls of the baseline for an estimate of the shape of its latency.  */
#define SHAPE_CALLS 100.0
/* Calls of a baseline server for an estimate of its median.  */
#define SERVER_CALLS_MIN 20.0
/* Floors of the fractions of calls in a bin, and in a tail for calls in
   flight.  They limit the weight of a single call.  */
#define BIN_FRACTION_MIN 0.002
#define TAIL_FRACTION_MIN 0.005
/* Fraction of the calls of a slow version that are slow.  */
#define SLOW_FRACTION 0.5
#define SHIFT_COUNT 3
/* Largest part of the threshold that half of the servers can contribute.  */
#define HALF_SERVERS_MAX 0.6
/* Medians that a candidate server may have, one bin apart.  */
#define MEDIAN_COUNT 25 /* Centred on the baseline's.  */
/* Standard deviation of the medians from the baseline's, in bins.  */
#define MEDIAN_DEVIATION 4.0
#define WINDOW_COUNT 4
/* Changes of a server's median, one bin apart.  The first one, -1, is faster
   by one bin.  */
#define SPEED_CHANGE_COUNT 5
#define SPEED_CHANGE_FIRST -1

/* Slowdowns in bins: calls that take two, four and eight times as long.  */
static const int shifts[SHIFT_COUNT] = { 4, 8, 12 };
/* The windows in which the version may have become slow: the number of last
   updates.  0 stands for all calls of a candidate server, which are compared
   with the shape of all calls of the baseline.  */
static const int windows[WINDOW_COUNT] = { 0, 2, 8, CS_RECENT_UPDATES };
/* The windows that are long enough to detect that a host has become slow.  */
static const bool is_host_window[WINDOW_COUNT] = { true, false, true, true };
/* The prior probability of each change of a server's speed.  */
static const double speed_change_prior[SPEED_CHANGE_COUNT]
    = { 0.1, 0.5, 0.2, 0.12, 0.08 };

/* The logarithms of the fraction of calls in each bin, and of the fraction in
   that bin or a slower one.  */
typedef struct
{
  double bin[BINS], tail[BINS];
} log_curve_t;

/* Curves of the baseline, and of versions that are slow by each of the
   shifts.  */
typedef struct
{
  log_curve_t normal, slow[SHIFT_COUNT];
} log_curves_t;

/* The baseline, which the candidate's calls are compared with.  */
typedef struct
{
  double bins[BINS];  /* Its calls, shifted by the median of their server.  */
  double calls;       /* Their number.  */
  log_curve_t curve;  /* Of all of them.  */
  double mean_median; /* Mean of the servers' medians, in bins.  */
  log_curves_t window_curves; /* In the window under test.  */
  int drift; /* Change of the medians in that window, in bins.  */
} baseline_t;

static double
count_calls (const double calls[CS_LATENCY_BUCKETS])
{
  double count = 0.0;
  for (int i = 0; i < CS_LATENCY_BUCKETS; i++)
    count += calls[i];
  return count;
}

/* The median of CALLS in bins, interpolated.  */
static double
median_bin (const double calls[CS_LATENCY_BUCKETS])
{
  double rest = count_calls (calls) / 2;
  for (int i = 0; i < CS_LATENCY_BUCKETS; i++)
    {
      if (calls[i] > 0.0 && calls[i] >= rest)
        return BINS_PER_BUCKET * (i + rest / calls[i]);
      rest -= calls[i];
    }
  return BINS_PER_BUCKET * CS_LATENCY_BUCKETS;
}

static void
add_calls (double sum[CS_LATENCY_BUCKETS],
           const double part[CS_LATENCY_BUCKETS])
{
  for (int i = 0; i < CS_LATENCY_BUCKETS; i++)
    sum[i] += part[i];
}

/* Set RECENT to the calls of the last UPDATES.  */
static void
sum_recent (const cs_server_calls_t *calls, int updates,
            double recent[CS_LATENCY_BUCKETS])
{
  memset (recent, 0, CS_LATENCY_BUCKETS * sizeof *recent);
  for (int i = 0; i < updates; i++)
    add_calls (recent, calls->recent[i]);
}

/* Add CALLS to BINS, shifted so that their MEDIAN is in MEDIAN_BIN.  */
static void
add_centred (const double calls[CS_LATENCY_BUCKETS], double median,
             double bins[BINS])
{
  for (int i = 0; i < CS_LATENCY_BUCKETS; i++)
    for (int half = 0; half < BINS_PER_BUCKET && calls[i] > 0.0; half++)
      {
        int bin = (int)floor (BINS_PER_BUCKET * i + half + 0.5 - median)
                  + MEDIAN_BIN;
        bins[CLAMP (bin, 0, BINS - 1)] += calls[i] / BINS_PER_BUCKET;
      }
}

/* The fraction of the calls in BIN, smoothed as the medians are estimates.  */
static double
smoothed_fraction (const double bins[BINS], double count, int bin)
{
  static const double kernel[] = { 0.1, 0.2, 0.4, 0.2, 0.1 };
  double calls = 0.0;
  for (int i = 0; i < 5; i++)
    {
      int at = bin + i - 2;
      calls += at >= 0 && at < BINS ? kernel[i] * bins[at] : 0.0;
    }
  return calls / count;
}

/* Set CURVE to that of a version with SLOW_FRACTION of its calls SHIFT bins
   slower than BINS.  */
static void
fill_curve (log_curve_t *curve, const double bins[BINS], double count,
            int shift)
{
  double tail = 0.0;
  for (int bin = BINS - 1; bin >= 0; bin--)
    {
      double normal = smoothed_fraction (bins, count, bin);
      double slow = smoothed_fraction (bins, count, bin - shift);
      curve->bin[bin]
          = log ((1.0 - SLOW_FRACTION) * MAX (normal, BIN_FRACTION_MIN)
                 + SLOW_FRACTION * MAX (slow, BIN_FRACTION_MIN));
      tail += (1.0 - SLOW_FRACTION) * normal + SLOW_FRACTION * slow;
      curve->tail[bin] = log (MAX (tail, TAIL_FRACTION_MIN));
    }
}

static void
fill_curves (log_curves_t *curves, const double bins[BINS], double count)
{
  fill_curve (&curves->normal, bins, count, 0);
  for (int s = 0; s < SHIFT_COUNT; s++)
    fill_curve (&curves->slow[s], bins, count, shifts[s]);
}

/* Set BASELINE up from the cs_server_calls_t of its SERVERS.  Returns whether
   they have enough calls.  */
static bool
fill_baseline (baseline_t *baseline, const GPtrArray *servers)
{
  double server_count = 0.0;
  *baseline = (baseline_t){ 0 };
  for (guint i = 0; i < servers->len; i++)
    {
      const cs_server_calls_t *server = servers->pdata[i];
      double calls = count_calls (server->all),
             median = median_bin (server->all);
      if (calls < SERVER_CALLS_MIN)
        continue;
      add_centred (server->all, median, baseline->bins);
      baseline->calls += calls;
      baseline->mean_median += median;
      server_count++;
    }
  if (baseline->calls < SHAPE_CALLS)
    return false;
  baseline->mean_median /= server_count;
  fill_curve (&baseline->curve, baseline->bins, baseline->calls, 0);
  return true;
}

/* Set the window of BASELINE to the calls of the last UPDATES.  SHAPE_CALLS
   from all calls are added, so that few recent ones do not decide alone.  With
   UPDATES 0 there are no recent ones: only the shape of all calls counts, and
   the drift is 0.  */
static void
fill_window (baseline_t *baseline, const GPtrArray *servers, int updates)
{
  double bins[BINS] = { 0 }, count = 0.0, drift_sum = 0.0, drift_count = 0.0;
  for (guint i = 0; i < servers->len; i++)
    {
      const cs_server_calls_t *server = servers->pdata[i];
      double recent[CS_LATENCY_BUCKETS];
      sum_recent (server, updates, recent);
      if (count_calls (recent) < SERVER_CALLS_MIN)
        continue;
      double median = median_bin (recent);
      add_centred (recent, median, bins);
      drift_sum += median - median_bin (server->all);
      drift_count++;
    }
  baseline->drift
      = drift_count > 0.0 ? (int)lround (drift_sum / drift_count) : 0;
  for (int bin = 0; bin < BINS; bin++)
    {
      bins[bin] += baseline->bins[bin] / baseline->calls * SHAPE_CALLS;
      count += bins[bin];
    }
  fill_curves (&baseline->window_curves, bins, count);
}

/* The log-likelihood by LOG_BIN of CALLS of a server whose median is
   MEDIAN.  */
static double
log_likelihood (const double calls[CS_LATENCY_BUCKETS],
                const double log_bin[BINS], int median)
{
  double sum = 0.0;
  for (int i = 0; i < CS_LATENCY_BUCKETS; i++)
    for (int half = 0; half < BINS_PER_BUCKET && calls[i] > 0.0; half++)
      {
        int bin = BINS_PER_BUCKET * i + half - median + MEDIAN_BIN;
        sum += calls[i] / BINS_PER_BUCKET * log_bin[CLAMP (bin, 0, BINS - 1)];
      }
  return sum;
}

/* The same by LOG_TAIL of calls that are still in flight.  */
static double
log_likelihood_in_flight (const double in_flight[CS_LATENCY_BUCKETS],
                          const double log_tail[BINS], int median)
{
  double sum = 0.0;
  for (int i = 0; i < CS_LATENCY_BUCKETS; i++)
    if (in_flight[i] > 0.0)
      {
        int bin = BINS_PER_BUCKET * i - median + MEDIAN_BIN;
        sum += in_flight[i] * log_tail[CLAMP (bin, 0, BINS - 1)];
      }
  return sum;
}

/* A server's calls before and in a window.  */
typedef struct
{
  int first_median; /* The lowest of the possible medians, in bins.  */
  /* Likelihood of each median by the calls before, scaled to a maximum of
     1.  */
  double median_likelihood[MEDIAN_COUNT];
  double log_scale; /* The logarithm of the factor taken out of it.  */
  double calls[CS_LATENCY_BUCKETS]; /* In the window.  */
  const double *in_flight;
} evidence_t;

static double
max_of (const double *values, int count)
{
  double largest = values[0];
  for (int i = 1; i < count; i++)
    largest = MAX (largest, values[i]);
  return largest;
}

static void
fill_evidence (evidence_t *evidence, const baseline_t *baseline,
               const cs_server_calls_t *server, int updates)
{
  double earlier[CS_LATENCY_BUCKETS];
  evidence->first_median
      = (int)lround (baseline->mean_median) - MEDIAN_COUNT / 2;
  evidence->in_flight = server->in_flight;
  if (updates)
    sum_recent (server, updates, evidence->calls);
  else
    memcpy (evidence->calls, server->all, sizeof evidence->calls);
  for (int i = 0; i < CS_LATENCY_BUCKETS; i++)
    earlier[i] = server->all[i] - evidence->calls[i];
  for (int i = 0; i < MEDIAN_COUNT; i++)
    {
      double deviation = (i - MEDIAN_COUNT / 2) / MEDIAN_DEVIATION;
      /* The logarithm until it is scaled below.  */
      evidence->median_likelihood[i]
          = log_likelihood (earlier, baseline->curve.bin,
                            evidence->first_median + i)
            - deviation * deviation / 2;
    }
  evidence->log_scale = max_of (evidence->median_likelihood, MEDIAN_COUNT);
  for (int i = 0; i < MEDIAN_COUNT; i++)
    evidence->median_likelihood[i]
        = exp (evidence->median_likelihood[i] - evidence->log_scale);
}

/* The log-likelihood of EVIDENCE by CURVE, summed over the possible medians
   and changes of the server's speed.  */
static double
log_marginal (const evidence_t *evidence, int drift, const log_curve_t *curve)
{
  /* First the logarithms, then the likelihoods scaled to a maximum of 1.  */
  double likelihood[MEDIAN_COUNT + SPEED_CHANGE_COUNT], sum = 0.0;
  for (int i = 0; i < MEDIAN_COUNT + SPEED_CHANGE_COUNT; i++)
    {
      int median = evidence->first_median + i + SPEED_CHANGE_FIRST + drift;
      likelihood[i] = log_likelihood (evidence->calls, curve->bin, median)
                      + log_likelihood_in_flight (evidence->in_flight,
                                                  curve->tail, median);
    }
  double largest = max_of (likelihood, MEDIAN_COUNT + SPEED_CHANGE_COUNT);
  for (int i = 0; i < MEDIAN_COUNT + SPEED_CHANGE_COUNT; i++)
    likelihood[i] = exp (likelihood[i] - largest);
  for (int i = 0; i < MEDIAN_COUNT; i++)
    for (int change = 0; change < SPEED_CHANGE_COUNT; change++)
      sum += evidence->median_likelihood[i] * speed_change_prior[change]
             * likelihood[i + change];
  return evidence->log_scale + largest + log (MAX (sum, DBL_MIN));
}

/* The log-likelihoods of one server's calls.  */
typedef struct
{
  /* Of a version like the baseline: the largest of the host windows, as a
     run of slow calls may be due to the host.  */
  double normal;
  double slow[WINDOW_COUNT][SHIFT_COUNT];
} log_likelihoods_t;

static void
evaluate_server (const baseline_t *baseline, const cs_server_calls_t *server,
                 int window, log_likelihoods_t *result)
{
  evidence_t evidence;
  fill_evidence (&evidence, baseline, server, windows[window]);
  double normal = log_marginal (&evidence, baseline->drift,
                                &baseline->window_curves.normal);
  if (is_host_window[window])
    result->normal = MAX (result->normal, normal);
  for (int s = 0; s < SHIFT_COUNT; s++)
    result->slow[window][s] = log_marginal (&evidence, baseline->drift,
                                            &baseline->window_curves.slow[s]);
}

static int
compare_ratios (const void *a, const void *b)
{
  double x = *(const double *)a, y = *(const double *)b;
  return (x > y) - (x < y);
}

/* The log-likelihood ratio over all SERVERS for a version that has been slow
   by shifts[SHIFT] in windows[WINDOW].  No server contributes more than
   RATIO_MAX, and the one that contributes most no more than the second.  */
static double
sum_ratios (const log_likelihoods_t *servers, guint count, int window,
            int shift, double ratio_max)
{
  double sum = 0.0, *ratios = g_new (double, count);
  for (guint i = 0; i < count; i++)
    ratios[i]
        = MIN (servers[i].slow[window][shift] - servers[i].normal, ratio_max);
  qsort (ratios, count, sizeof *ratios, compare_ratios);
  if (count > 1)
    ratios[count - 1] = ratios[count - 2];
  for (guint i = 0; i < count; i++)
    sum += ratios[i];
  g_free (ratios);
  return sum;
}

double
cs_slowness (const GPtrArray *baselines, const GPtrArray *candidates,
             double threshold)
{
  baseline_t baseline;
  double highest = 0.0, server_ratio_max = threshold;
  if (!candidates->len || !fill_baseline (&baseline, baselines))
    return 0.0;
  if (candidates->len > 1)
    server_ratio_max *= HALF_SERVERS_MAX / (candidates->len / 2);
  log_likelihoods_t *servers = g_new (log_likelihoods_t, candidates->len);
  for (guint i = 0; i < candidates->len; i++)
    servers[i].normal = -DBL_MAX;
  for (int window = 0; window < WINDOW_COUNT; window++)
    {
      fill_window (&baseline, baselines, windows[window]);
      for (guint i = 0; i < candidates->len; i++)
        evaluate_server (&baseline, candidates->pdata[i], window, &servers[i]);
    }
  for (int window = 0; window < WINDOW_COUNT; window++)
    for (int s = 0; s < SHIFT_COUNT; s++)
      highest = MAX (highest, sum_ratios (servers, candidates->len, window, s,
                                          server_ratio_max));
  g_free (servers);
  return highest / threshold;
}
