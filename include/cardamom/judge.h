/* Comparison of a candidate, the new version of a service in a move, with the
   baseline, the version in service, over the same time.  */
#ifndef CARDAMOM_JUDGE_H
#define CARDAMOM_JUDGE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "cardamom/context.h"
#include "cardamom/pack.h"

/* Each bound is sqrt(2) times the one below.  */
#define CS_LATENCY_BUCKETS 32
#define CS_LATENCY_FIRST_US 100 /* Upper bound of the first bucket.  */

/* Calls of one version or server on one route.  */
typedef struct
{
  uint64_t calls;
  uint64_t errors;
  uint64_t latency[CS_LATENCY_BUCKETS]; /* Calls without error.  */
} cs_arm_t;

/* The calls of both versions over the same time: cumulative, or the increase
   since the last such record.  */
typedef struct
{
  cs_arm_t old; /* The baseline.  */
  cs_arm_t new; /* The candidate.  */
} cs_sample_t;

/* The index of the bucket that counts LATENCY.  */
unsigned cs_latency_bucket (cs_usec_t latency);

/* Count one call in STATS; its latency only unless it FAILED.  */
void cs_arm_note (cs_arm_t *stats, bool failed, cs_usec_t latency);

/* The upper bound of the bucket that holds QUANTILE, 0 to 1, of STATS's
   latencies; 0 if there are none.  */
cs_usec_t cs_arm_latency (const cs_arm_t *stats, double quantile);

/* SUM += PART; DIFFERENCE = NOW - BEFORE, with a floor of 0.  */
void cs_sample_add (cs_sample_t *sum, const cs_sample_t *part);
void cs_sample_subtract (cs_sample_t *difference, const cs_sample_t *now,
                         const cs_sample_t *before);

/* Append STATS as one msgpack array without empty buckets; read it back.
   Malformed input sets CURSOR->bad.  */
void cs_sample_pack (cs_pack_t *pack, const cs_sample_t *stats);
void cs_sample_take (cs_cursor_t *cursor, cs_sample_t *stats);

typedef enum
{
  CS_VERDICT_OPEN, /* Undecided.  */
  CS_VERDICT_BAD,  /* Worse than the baseline; a judge never revokes it.  */
  CS_VERDICT_GOOD  /* Not worse than the baseline by more than a margin.  */
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
  void (*add) (cs_judge_t *judge, const cs_sample_t *increase,
               const cs_sample_t *all);
  cs_verdict_t (*verdict) (const cs_judge_t *judge);
  /* The score as a fraction, 0 to 1, of the threshold of a bad verdict.  */
  double (*doubt) (const cs_judge_t *judge);
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
bool cs_sample_shows_good (const cs_sample_t *total);

/* The evaluation of a move: one judge and the latency of the servers for each
   route, and the total of all routes.  */
typedef struct cs_jury cs_jury_t;

/* A new evaluation with judges of VTABLE.  Its probability of calling a good
   version bad is FALSE_ALARM_RATE, divided among the routes.  */
cs_jury_t *cs_jury_new (cs_ctx_t *ctx, const cs_judge_vtable_t *vtable,
                        double false_alarm_rate);
void cs_jury_drop (cs_ctx_t *ctx, cs_jury_t *evaluation);

/* Add the calls of INCREASE on ROUTE.  SERVER names the backend server that
   ran them; "" stands for calls that are not attributed to a server.  The
   latency of the candidate is compared with that of its servers and of the
   baseline's servers (paces.h).  */
void cs_jury_add (cs_ctx_t *ctx, cs_jury_t *evaluation, const char *server,
                  const char *route, const cs_sample_t *increase);

/* Set the calls of the candidate that are in flight on ROUTE at SERVER: AGES
   counts them by how long they have run.  First call cs_jury_forget_running,
   which sets none on all routes at SERVER, to reset the routes that are not
   reported any more.  */
void cs_jury_running (cs_ctx_t *ctx, cs_jury_t *evaluation, const char *server,
                      const char *route, const cs_arm_t *ages);
void cs_jury_forget_running (cs_jury_t *evaluation, const char *server);

/* Pass the added calls to the judges, once the baseline has had enough calls
   to compare with or a limited number of ticks has passed without.  To be
   called at a steady interval.  */
void cs_jury_tick (cs_jury_t *evaluation);

/* CS_VERDICT_BAD if any route is bad.  CS_VERDICT_GOOD if the total and every
   busy route pass cs_sample_shows_good, and no score is close to the threshold
   of a bad verdict.  */
cs_verdict_t cs_jury_verdict (const cs_jury_t *evaluation);

/* Append "ROUTE: why" of the first bad route to REASON.  */
void cs_jury_explain (const cs_jury_t *evaluation, GString *reason);

/* The number of calls of the candidate that were added.  */
uint64_t cs_jury_new_calls (const cs_jury_t *evaluation);

/* All calls that were added, over all routes and servers; valid until
   EVALUATION is dropped.  */
const cs_sample_t *cs_jury_total (const cs_jury_t *evaluation);

/* The highest score for a slow candidate among the routes, as a fraction, 0 to
   1, of the threshold of a bad verdict.  */
double cs_jury_slowness (const cs_jury_t *evaluation);

/* The name of VERDICT in logs; a static string.  */
const char *cs_verdict_name (cs_verdict_t verdict);

#endif
