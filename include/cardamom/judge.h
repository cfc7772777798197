/* Comparison of a candidate, the new version of a service in a move, with the
   baseline, the version in service, over the same time.  */
#ifndef CARDAMOM_JUDGE_H
#define CARDAMOM_JUDGE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "cardamom/context.h"
#include "cardamom/pack.h"

/* Buckets of latencies; each upper bound is sqrt(2) times the one below.  */
#define CS_LATENCY_BUCKETS 32
#define CS_LATENCY_FIRST_BOUND_US 100 /* Upper bound of the first bucket.  */

/* Calls of one version or server on one route.  */
typedef struct
{
  uint64_t calls;
  uint64_t errors;
  uint64_t latency_buckets[CS_LATENCY_BUCKETS]; /* Of calls without error.  */
} cs_call_stats_t;

/* The calls of both versions over the same time: cumulative, or the increase
   since the last such record.  */
typedef struct
{
  cs_call_stats_t baseline;
  cs_call_stats_t candidate;
} cs_paired_stats_t;

/* The index of the bucket that counts LATENCY.  */
unsigned cs_latency_bucket (cs_usec_t latency);

/* Count one call in STATS; its latency only unless it FAILED.  */
void cs_call_stats_record (cs_call_stats_t *stats, bool failed,
                           cs_usec_t latency);

/* The upper bound of the bucket that holds QUANTILE, 0 to 1, of STATS's
   latencies; 0 if there are none.  */
cs_usec_t cs_call_stats_quantile (const cs_call_stats_t *stats,
                                  double quantile);

/* SUM += PART; DIFFERENCE = NOW - BEFORE, with a floor of 0.  */
void cs_paired_stats_add (cs_paired_stats_t *sum,
                          const cs_paired_stats_t *part);
void cs_paired_stats_subtract (cs_paired_stats_t *difference,
                               const cs_paired_stats_t *now,
                               const cs_paired_stats_t *before);

/* Append STATS as one msgpack array without empty buckets; read it back.
   Malformed input sets CURSOR->failed.  */
void cs_paired_stats_pack (cs_pack_t *pack, const cs_paired_stats_t *stats);
void cs_paired_stats_unpack (cs_unpack_cursor_t *cursor,
                             cs_paired_stats_t *stats);

typedef enum
{
  CS_VERDICT_UNDECIDED, /* Neither of the two below.  */
  CS_VERDICT_BAD, /* Worse than the baseline; a judge never revokes it.  */
  CS_VERDICT_GOOD /* Not worse than the baseline by more than a margin.  */
} cs_verdict_t;

typedef struct cs_judge cs_judge_t;

/* Plug-ins of kind CS_PLUGIN_JUDGE have this vtable.  A judge is a sequential
   test of one route in one move.  */
typedef struct
{
  /* Make a judge whose probability of calling a good version bad is at most
     FALSE_ALARM_RATE.  The caller drops it.  */
  cs_judge_t *(*make) (cs_ctx_t *ctx, double false_alarm_rate);
  void (*drop) (cs_ctx_t *ctx, cs_judge_t *judge);
  /* Add the calls since the last time: INCREASE on the judge's route, ALL on
     all routes together.  */
  void (*add) (cs_judge_t *judge, const cs_paired_stats_t *increase,
               const cs_paired_stats_t *all);
  cs_verdict_t (*verdict) (const cs_judge_t *judge);
  /* The score as a fraction, 0 to 1, of the threshold of a bad verdict.  Only
     "cusum" keeps a score; the other judges return 0.  */
  double (*threshold_fraction) (const cs_judge_t *judge);
  /* Append why the verdict is bad to REASON.  */
  void (*explain) (const cs_judge_t *judge, GString *reason);
} cs_judge_vtable_t;

/* The base of every judge.  */
struct cs_judge
{
  const cs_judge_vtable_t *vtable;
};

/* A non-inferiority test of TOTAL, the calls of a whole move: whether the
   upper confidence bounds of the candidate's rates of errors and of slow calls
   exceed the baseline's rates by no more than a margin.  */
bool cs_paired_stats_is_non_inferior (const cs_paired_stats_t *total);

/* The evaluation of a move: one judge and the latency of the servers for each
   route, and the total of all routes.  */
typedef struct cs_evaluation cs_evaluation_t;

/* A new evaluation with judges of VTABLE.  Its probability of calling a good
   version bad is at most FALSE_ALARM_RATE.  The judge of a route gets a fixed
   fraction of it (ASSUMED_ROUTES in source/move/evaluation.c), however many
   routes there are; the threshold for the latencies of the servers uses all of
   it.  */
cs_evaluation_t *cs_evaluation_new (cs_ctx_t *ctx,
                                    const cs_judge_vtable_t *vtable,
                                    double false_alarm_rate);
void cs_evaluation_drop (cs_ctx_t *ctx, cs_evaluation_t *evaluation);

/* Add the calls of INCREASE on ROUTE.  SERVER names the backend server that
   ran them; "" stands for calls that are not attributed to a server.  Where
   all calls are attributed, the candidate's servers are compared with the
   baseline's, so that slow hosts do not make the candidate look slow
   (source/move/server-latency.h).  */
void cs_evaluation_add (cs_ctx_t *ctx, cs_evaluation_t *evaluation,
                        const char *server, const char *route,
                        const cs_paired_stats_t *increase);

/* Set the calls of the candidate that are in flight on ROUTE at SERVER: AGES
   counts them by how long they have run.  First call
   cs_evaluation_clear_in_flight, which sets none on all routes at SERVER, to
   reset the routes that are not reported any more.  */
void cs_evaluation_set_in_flight (cs_ctx_t *ctx, cs_evaluation_t *evaluation,
                                  const char *server, const char *route,
                                  const cs_call_stats_t *ages);
void cs_evaluation_clear_in_flight (cs_evaluation_t *evaluation,
                                    const char *server);

/* Pass the added calls to the judges, once the baseline has had enough calls
   to compare with or a limited number of ticks has passed without.  To be
   called at a steady interval.  */
void cs_evaluation_tick (cs_evaluation_t *evaluation);

/* CS_VERDICT_BAD if any route is bad.  CS_VERDICT_GOOD if the total and every
   busy route pass cs_paired_stats_is_non_inferior, and no score is close to
   the threshold of a bad verdict.  */
cs_verdict_t cs_evaluation_verdict (const cs_evaluation_t *evaluation);

/* Append "ROUTE: why" of the first bad route to REASON.  */
void cs_evaluation_explain (const cs_evaluation_t *evaluation,
                            GString *reason);

/* The number of calls of the candidate that were added.  */
uint64_t cs_evaluation_candidate_calls (const cs_evaluation_t *evaluation);

/* All calls that were added, over all routes and servers; valid until
   EVALUATION is dropped.  */
const cs_paired_stats_t *
cs_evaluation_total (const cs_evaluation_t *evaluation);

/* The highest score for a slow candidate among the routes, as a fraction, 0 to
   1, of the threshold of a bad verdict.  */
double cs_evaluation_slowness (const cs_evaluation_t *evaluation);

/* The name of VERDICT in logs; a static string.  */
const char *cs_verdict_name (cs_verdict_t verdict);

#endif
