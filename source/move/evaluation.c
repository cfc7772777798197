#include <math.h>
#include <string.h>

#include "server-latency.h"

/* The judge of each route gets the false alarm rate of the evaluation divided
   by this number, however many routes there are.  */
#define ASSUMED_ROUTES 4.0
/* Calls of the baseline that the judges wait for.  */
#define BASELINE_CALLS_MIN 8
/* Calls of the candidate that they wait for while the baseline has no new
   ones.  */
#define CANDIDATE_CALLS_MIN 8
#define TICKS_MAX 6 /* Longest wait for the baseline.  */
/* A good verdict needs scores up to this fraction of the threshold.  */
#define THRESHOLD_FRACTION_MAX 0.7
/* The same for the slowness score while the baseline has most calls.  */
#define CANARY_SLOWNESS_MAX 0.4
/* A busy route has at least this many calls of the candidate, and a tenth of
   those on all routes.  */
#define BUSY_ROUTE_CALLS_MIN 100

typedef struct
{
  cs_judge_t *judge;
  cs_server_latencies_t *latencies;
  /* Not judged yet; judge_route adds the latencies of the candidate.  */
  cs_paired_stats_t pending;
  cs_paired_stats_t judged; /* In the whole move.  */
  bool servers_are_slower;
} route_t;

struct cs_evaluation
{
  const cs_judge_vtable_t *vtable;
  double false_alarm_rate;
  GHashTable *routes;       /* path -> route_t.  */
  cs_paired_stats_t added;  /* All calls that were added.  */
  cs_paired_stats_t judged; /* Those that the judges were given.  */
  /* Calls of each version that are not judged yet.  */
  uint64_t pending_baseline, pending_candidate;
  uint64_t last_pending_baseline; /* PENDING_BASELINE at the last tick.  */
  int ticks;                      /* Since calls were last judged.  */
  bool mostly_baseline; /* Of the calls last judged, most were its.  */
};

cs_evaluation_t *
cs_evaluation_new (cs_ctx_t *ctx, const cs_judge_vtable_t *vtable,
                   double false_alarm_rate)
{
  cs_evaluation_t *evaluation = cs_calloc (ctx, sizeof *evaluation);
  evaluation->vtable = vtable;
  evaluation->false_alarm_rate = false_alarm_rate;
  evaluation->routes
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return evaluation;
}

void
cs_evaluation_drop (cs_ctx_t *ctx, cs_evaluation_t *evaluation)
{
  GHashTableIter iter;
  gpointer value;
  if (!evaluation)
    return;
  g_hash_table_iter_init (&iter, evaluation->routes);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      evaluation->vtable->drop (ctx, ((route_t *)value)->judge);
      cs_server_latencies_drop (((route_t *)value)->latencies);
    }
  g_hash_table_unref (evaluation->routes);
  cs_free (ctx, evaluation);
}

static route_t *
route_for (cs_ctx_t *ctx, cs_evaluation_t *evaluation, const char *path)
{
  route_t *route = g_hash_table_lookup (evaluation->routes, path);
  if (route)
    return route;
  route = g_new0 (route_t, 1);
  route->judge = evaluation->vtable->make (ctx, evaluation->false_alarm_rate
                                                    / ASSUMED_ROUTES);
  route->latencies = cs_server_latencies_new ();
  g_hash_table_insert (evaluation->routes, g_strdup (path), route);
  return route;
}

void
cs_evaluation_add (cs_ctx_t *ctx, cs_evaluation_t *evaluation,
                   const char *server, const char *path,
                   const cs_paired_stats_t *increase)
{
  route_t *route = route_for (ctx, evaluation, path);
  cs_paired_stats_t counts = *increase;
  if (increase->baseline.calls)
    cs_server_latencies_add (route->latencies, server, false,
                             &increase->baseline);
  if (increase->candidate.calls)
    cs_server_latencies_add (route->latencies, server, true,
                             &increase->candidate);
  memset (counts.candidate.latency_buckets, 0,
          sizeof counts.candidate.latency_buckets);
  cs_paired_stats_add (&route->pending, &counts);
  cs_paired_stats_add (&evaluation->added, increase);
  evaluation->pending_baseline += increase->baseline.calls;
  evaluation->pending_candidate += increase->candidate.calls;
}

void
cs_evaluation_set_in_flight (cs_ctx_t *ctx, cs_evaluation_t *evaluation,
                             const char *server, const char *path,
                             const cs_call_stats_t *ages)
{
  cs_server_latencies_set_in_flight (
      route_for (ctx, evaluation, path)->latencies, server, ages);
}

void
cs_evaluation_clear_in_flight (cs_evaluation_t *evaluation, const char *server)
{
  static const cs_call_stats_t none = { 0 };
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, evaluation->routes);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    cs_server_latencies_set_in_flight (((route_t *)value)->latencies, server,
                                       &none);
}

static void
judge_route (cs_evaluation_t *evaluation, route_t *route,
             const cs_paired_stats_t *all)
{
  cs_server_latencies_update (route->latencies,
                              -log (evaluation->false_alarm_rate),
                              route->pending.candidate.latency_buckets);
  evaluation->vtable->add (route->judge, &route->pending, all);
  cs_paired_stats_add (&route->judged, &route->pending);
  cs_paired_stats_add (&evaluation->judged, &route->pending);
  route->pending = (cs_paired_stats_t){ 0 };
  route->servers_are_slower
      = route->servers_are_slower
        || cs_server_latencies_are_slower (route->latencies);
}

void
cs_evaluation_tick (cs_evaluation_t *evaluation)
{
  GHashTableIter iter;
  gpointer value;
  cs_paired_stats_t all = { 0 };
  /* A candidate that has all requests need not wait for the baseline.  */
  bool baseline_is_idle
      = evaluation->pending_candidate >= CANDIDATE_CALLS_MIN
        && evaluation->pending_baseline == evaluation->last_pending_baseline;
  evaluation->ticks++;
  evaluation->last_pending_baseline = evaluation->pending_baseline;
  if (evaluation->pending_baseline < BASELINE_CALLS_MIN && !baseline_is_idle
      && evaluation->ticks < TICKS_MAX)
    return;
  g_hash_table_iter_init (&iter, evaluation->routes);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    cs_paired_stats_add (&all, &((route_t *)value)->pending);
  g_hash_table_iter_init (&iter, evaluation->routes);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    judge_route (evaluation, value, &all);
  evaluation->mostly_baseline
      = evaluation->pending_baseline > evaluation->pending_candidate;
  evaluation->pending_baseline = evaluation->pending_candidate
      = evaluation->last_pending_baseline = 0;
  evaluation->ticks = 0;
}

/* Busy routes, see BUSY_ROUTE_CALLS_MIN, must pass the non-inferiority test;
   other routes need only not be bad.  */
static bool
busy_routes_are_non_inferior (const cs_evaluation_t *evaluation)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, evaluation->routes);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const cs_paired_stats_t *judged = &((route_t *)value)->judged;
      if (judged->candidate.calls * 10 >= evaluation->judged.candidate.calls
          && judged->candidate.calls >= BUSY_ROUTE_CALLS_MIN
          && !cs_paired_stats_is_non_inferior (judged))
        return false;
    }
  return true;
}

/* The score for a slow candidate on ROUTE, as a fraction, 0 to 1, of the
   threshold.  */
static double
route_slowness (const route_t *route)
{
  return CLAMP (cs_server_latencies_slowness (route->latencies), 0.0, 1.0);
}

static bool
route_is_bad (const cs_evaluation_t *evaluation, const route_t *route)
{
  return route->servers_are_slower || route_slowness (route) >= 1.0
         || evaluation->vtable->verdict (route->judge) == CS_VERDICT_BAD;
}

cs_verdict_t
cs_evaluation_verdict (const cs_evaluation_t *evaluation)
{
  GHashTableIter iter;
  gpointer value;
  /* While the candidate has most calls the bound is higher: a candidate that
     has all requests is judged often, and each of the verdicts can end the
     move.  */
  double slowness_max = evaluation->mostly_baseline ? CANARY_SLOWNESS_MAX
                                                    : THRESHOLD_FRACTION_MAX;
  bool near_threshold = false;
  g_hash_table_iter_init (&iter, evaluation->routes);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const route_t *route = value;
      if (route_is_bad (evaluation, route))
        return CS_VERDICT_BAD;
      near_threshold |= evaluation->vtable->threshold_fraction (route->judge)
                            > THRESHOLD_FRACTION_MAX
                        || route_slowness (route) > slowness_max;
    }
  return !near_threshold
                 && cs_paired_stats_is_non_inferior (&evaluation->judged)
                 && busy_routes_are_non_inferior (evaluation)
             ? CS_VERDICT_GOOD
             : CS_VERDICT_UNDECIDED;
}

void
cs_evaluation_explain (const cs_evaluation_t *evaluation, GString *reason)
{
  GHashTableIter iter;
  gpointer path, value;
  g_hash_table_iter_init (&iter, evaluation->routes);
  while (g_hash_table_iter_next (&iter, &path, &value))
    {
      const route_t *route = value;
      if (!route_is_bad (evaluation, route))
        continue;
      g_string_append_printf (reason, "%s: ", (char *)path);
      if (route_slowness (route) >= 1.0)
        g_string_append (reason, "many of its calls take several times as "
                                 "long as others of the same server, unlike "
                                 "the old version's");
      else if (route->servers_are_slower)
        g_string_append (reason, "its servers are slower than the old ones");
      else
        evaluation->vtable->explain (route->judge, reason);
      return;
    }
}

uint64_t
cs_evaluation_candidate_calls (const cs_evaluation_t *evaluation)
{
  return evaluation->added.candidate.calls;
}

const cs_paired_stats_t *
cs_evaluation_total (const cs_evaluation_t *evaluation)
{
  return &evaluation->added;
}

double
cs_evaluation_slowness (const cs_evaluation_t *evaluation)
{
  GHashTableIter iter;
  gpointer value;
  double highest = 0.0;
  g_hash_table_iter_init (&iter, evaluation->routes);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    highest = MAX (highest, route_slowness (value));
  return highest;
}

const char *
cs_verdict_name (cs_verdict_t verdict)
{
  static const char *const names[] = { [CS_VERDICT_UNDECIDED] = "open",
                                       [CS_VERDICT_BAD] = "bad",
                                       [CS_VERDICT_GOOD] = "good" };
  return names[verdict];
}
