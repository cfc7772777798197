#include <math.h>

#include "cardamom/judge.h"

/* How much higher the candidate's error rate may be; twice that for its rate
   of slow calls.  */
#define NON_INFERIORITY_MARGIN 0.10
#define CANDIDATE_CALLS_MIN 12
#define CONFIDENCE_Z 1.28        /* One-sided 90% confidence.  */
#define SLOW_QUANTILE 0.95       /* Of the baseline's latency.  */
#define SLOW_TOLERANCE_BUCKETS 1 /* Above that quantile, not yet slow.  */

unsigned
cs_latency_bucket (cs_usec_t latency)
{
  double bound = CS_LATENCY_FIRST_BOUND_US;
  unsigned bucket = 0;
  while (bucket < CS_LATENCY_BUCKETS - 1 && (double)latency > bound)
    {
      bound *= G_SQRT2;
      bucket++;
    }
  return bucket;
}

void
cs_call_stats_record (cs_call_stats_t *stats, bool failed, cs_usec_t latency)
{
  stats->calls++;
  if (failed)
    stats->errors++;
  else
    stats->latency_buckets[cs_latency_bucket (latency)]++;
}

/* The number of timed calls in the buckets from FROM on.  */
static double
calls_from_bucket (const cs_call_stats_t *stats, unsigned from)
{
  double calls = 0.0;
  for (unsigned i = from; i < CS_LATENCY_BUCKETS; i++)
    calls += (double)stats->latency_buckets[i];
  return calls;
}

/* The bucket that holds QUANTILE of STATS's latencies.  */
static unsigned
quantile_bucket (const cs_call_stats_t *stats, double quantile)
{
  double total = calls_from_bucket (stats, 0), sum = 0.0;
  unsigned i = 0;
  while (i < CS_LATENCY_BUCKETS - 1
         && (sum += (double)stats->latency_buckets[i]) < quantile * total)
    i++;
  return i;
}

cs_usec_t
cs_call_stats_quantile (const cs_call_stats_t *stats, double quantile)
{
  double bound = CS_LATENCY_FIRST_BOUND_US;
  if (calls_from_bucket (stats, 0) < 1.0)
    return 0;
  for (unsigned i = quantile_bucket (stats, quantile); i > 0; i--)
    bound *= G_SQRT2;
  return (cs_usec_t)bound;
}

static void
stats_add (cs_call_stats_t *sum, const cs_call_stats_t *part)
{
  sum->calls += part->calls;
  sum->errors += part->errors;
  for (int i = 0; i < CS_LATENCY_BUCKETS; i++)
    sum->latency_buckets[i] += part->latency_buckets[i];
}

void
cs_paired_stats_add (cs_paired_stats_t *sum, const cs_paired_stats_t *part)
{
  stats_add (&sum->baseline, &part->baseline);
  stats_add (&sum->candidate, &part->candidate);
}

static uint64_t
increase (uint64_t now, uint64_t before)
{
  return now > before ? now - before : 0;
}

static void
stats_subtract (cs_call_stats_t *out, const cs_call_stats_t *now,
                const cs_call_stats_t *before)
{
  out->calls = increase (now->calls, before->calls);
  out->errors = increase (now->errors, before->errors);
  for (int i = 0; i < CS_LATENCY_BUCKETS; i++)
    out->latency_buckets[i]
        = increase (now->latency_buckets[i], before->latency_buckets[i]);
}

void
cs_paired_stats_subtract (cs_paired_stats_t *difference,
                          const cs_paired_stats_t *now,
                          const cs_paired_stats_t *before)
{
  stats_subtract (&difference->baseline, &now->baseline, &before->baseline);
  stats_subtract (&difference->candidate, &now->candidate, &before->candidate);
}

static void
stats_pack (cs_pack_t *pack, const cs_call_stats_t *stats)
{
  size_t used = 0;
  for (int i = 0; i < CS_LATENCY_BUCKETS; i++)
    used += stats->latency_buckets[i] != 0;
  cs_pack_array (pack, 2 + 2 * used);
  cs_pack_uint64 (pack, stats->calls);
  cs_pack_uint64 (pack, stats->errors);
  for (int i = 0; i < CS_LATENCY_BUCKETS; i++)
    if (stats->latency_buckets[i])
      {
        cs_pack_int64 (pack, i);
        cs_pack_uint64 (pack, stats->latency_buckets[i]);
      }
}

static void
stats_unpack (cs_unpack_cursor_t *cursor, cs_call_stats_t *stats)
{
  cs_unpack_cursor_t in = cs_unpack_array (cursor);
  *stats = (cs_call_stats_t){ 0 };
  stats->calls = cs_unpack_uint64 (&in);
  stats->errors = cs_unpack_uint64 (&in);
  while (in.remaining && !in.failed)
    {
      uint64_t bucket = cs_unpack_uint64 (&in);
      uint64_t count = cs_unpack_uint64 (&in);
      if (bucket < CS_LATENCY_BUCKETS)
        stats->latency_buckets[bucket] = count;
      else
        in.failed = true;
    }
  cursor->failed = cursor->failed || in.failed;
}

void
cs_paired_stats_pack (cs_pack_t *pack, const cs_paired_stats_t *stats)
{
  cs_pack_array (pack, 2);
  stats_pack (pack, &stats->baseline);
  stats_pack (pack, &stats->candidate);
}

void
cs_paired_stats_unpack (cs_unpack_cursor_t *cursor, cs_paired_stats_t *stats)
{
  cs_unpack_cursor_t in = cs_unpack_array (cursor);
  stats_unpack (&in, &stats->baseline);
  stats_unpack (&in, &stats->candidate);
  cursor->failed = cursor->failed || in.failed;
}

/* The upper bound of the Wilson score interval of the rate of EVENTS in
   CALLS.  */
static double
wilson_upper_bound (double events, double calls)
{
  double z2 = CONFIDENCE_Z * CONFIDENCE_Z;
  double p = events / calls;
  double centre = p + z2 / (2.0 * calls);
  double spread = CONFIDENCE_Z
                  * sqrt (p * (1.0 - p) / calls + z2 / (4.0 * calls * calls));
  return (centre + spread) / (1.0 + z2 / calls);
}

/* The first bucket that counts as slow by the latency of BASELINE.  */
static unsigned
first_slow_bucket (const cs_call_stats_t *baseline)
{
  return quantile_bucket (baseline, SLOW_QUANTILE) + 1
         + SLOW_TOLERANCE_BUCKETS;
}

bool
cs_paired_stats_is_non_inferior (const cs_paired_stats_t *total)
{
  const cs_call_stats_t *baseline = &total->baseline,
                        *candidate = &total->candidate;
  double baseline_error_rate
      = baseline->calls ? (double)baseline->errors / (double)baseline->calls
                        : 0.0;
  if (candidate->calls < CANDIDATE_CALLS_MIN
      || wilson_upper_bound ((double)candidate->errors,
                             (double)candidate->calls)
             > baseline_error_rate + NON_INFERIORITY_MARGIN)
    return false;
  double candidate_timed = calls_from_bucket (candidate, 0),
         baseline_timed = calls_from_bucket (baseline, 0);
  if (candidate_timed < 1.0 || baseline_timed < 1.0)
    return baseline_timed < 1.0;
  unsigned from = first_slow_bucket (baseline);
  return wilson_upper_bound (calls_from_bucket (candidate, from),
                             candidate_timed)
         <= calls_from_bucket (baseline, from) / baseline_timed
                + 2 * NON_INFERIORITY_MARGIN;
}
