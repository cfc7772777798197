#include <math.h>
#include <string.h>

#include "server-latency.h"
#include "slowness.h"

#define SERVER_CALLS_MIN 20   /* For an estimate of a server's speed.  */
#define TOLERATED_BUCKETS 1.0 /* Slower by so much is not a fault.  */
#define SLOWER_Z 2.6          /* Exceeded by chance once in 200 times.  */
/* Prior of the variance of host speeds, in buckets.  */
#define PRIOR_VARIANCE 0.1
#define PRIOR_WEIGHT 2.0

/* The calls of one server, of the version that it runs.  */
typedef struct
{
  cs_server_calls_t calls; /* First member: cs_slowness gets its address.  */
  uint64_t unreported[CS_LATENCY_BUCKETS]; /* Those not yet reported.  */
  double timed_calls;                      /* Number of all of them.  */
  double bucket_sum;                       /* Sum of their buckets.  */
  double in_flight;
  bool is_candidate;
} server_latency_t;

struct cs_server_latencies
{
  GHashTable *servers; /* "0 NAME" or "1 NAME" -> server_latency_t.  */
  double slowness;     /* At the last update.  */
  bool unattributed;   /* Some calls are not attributed to a server.  */
};

cs_server_latencies_t *
cs_server_latencies_new (void)
{
  cs_server_latencies_t *latencies = g_new0 (cs_server_latencies_t, 1);
  latencies->servers
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return latencies;
}

void
cs_server_latencies_drop (cs_server_latencies_t *latencies)
{
  g_hash_table_unref (latencies->servers);
  g_free (latencies);
}

static server_latency_t *
server_for (cs_server_latencies_t *latencies, const char *name,
            bool is_candidate)
{
  char *key = g_strdup_printf ("%d %s", is_candidate, name);
  server_latency_t *server = g_hash_table_lookup (latencies->servers, key);
  if (server)
    g_free (key);
  else
    {
      server = g_new0 (server_latency_t, 1);
      server->is_candidate = is_candidate;
      g_hash_table_insert (latencies->servers, key, server);
    }
  return server;
}

void
cs_server_latencies_add (cs_server_latencies_t *latencies, const char *name,
                         bool is_candidate, const cs_call_stats_t *increase)
{
  server_latency_t *server = server_for (latencies, name, is_candidate);
  latencies->unattributed = latencies->unattributed || !*name;
  for (int i = 0; i < CS_LATENCY_BUCKETS; i++)
    {
      double calls = (double)increase->latency_buckets[i];
      server->calls.all[i] += calls;
      server->calls.recent[0][i] += calls;
      server->unreported[i] += increase->latency_buckets[i];
      server->bucket_sum += i * calls;
      server->timed_calls += calls;
    }
}

static double
mean_bucket (const server_latency_t *server)
{
  return server->bucket_sum / server->timed_calls;
}

static gint
compare_means (gconstpointer a, gconstpointer b)
{
  double x = mean_bucket (*(server_latency_t *const *)a),
         y = mean_bucket (*(server_latency_t *const *)b);
  return (x > y) - (x < y);
}

void
cs_server_latencies_set_in_flight (cs_server_latencies_t *latencies,
                                   const char *name,
                                   const cs_call_stats_t *ages)
{
  server_latency_t *server = server_for (latencies, name, true);
  server->in_flight = (double)ages->calls;
  for (int i = 0; i < CS_LATENCY_BUCKETS; i++)
    server->calls.in_flight[i] = (double)ages->latency_buckets[i];
}

/* The servers of a version with at least CALLS timed calls, or timed and
   in-flight ones if WITH_IN_FLIGHT.  The caller unrefs the array.  */
static GPtrArray *
servers_with_calls (const cs_server_latencies_t *latencies, bool is_candidate,
                    double calls, bool with_in_flight)
{
  GHashTableIter iter;
  gpointer value;
  GPtrArray *found = g_ptr_array_new ();
  g_hash_table_iter_init (&iter, latencies->servers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const server_latency_t *server = value;
      if (server->is_candidate == is_candidate
          && server->timed_calls + (with_in_flight ? server->in_flight : 0.0)
                 >= calls)
        g_ptr_array_add (found, value);
    }
  return found;
}

/* How many servers, the fastest ones, are compared; the others may be on slow
   hosts.  */
static guint
kept_count (const GPtrArray *servers)
{
  return (servers->len + 1) / 2;
}

/* Set LATENCY to the unreported calls of the candidate's servers without the
   slowest ones.  */
static void
report_latency (const cs_server_latencies_t *latencies,
                uint64_t latency[CS_LATENCY_BUCKETS])
{
  GPtrArray *servers = servers_with_calls (latencies, true, 1.0, false);
  guint kept = kept_count (servers);
  memset (latency, 0, CS_LATENCY_BUCKETS * sizeof *latency);
  g_ptr_array_sort (servers, compare_means);
  for (guint i = 0; i < servers->len; i++)
    {
      server_latency_t *server = servers->pdata[i];
      for (int b = 0; b < CS_LATENCY_BUCKETS && i < kept; b++)
        latency[b] += server->unreported[b];
      memset (server->unreported, 0, sizeof server->unreported);
    }
  g_ptr_array_unref (servers);
}

/* Make room in the recent calls for those until the next update.  */
static void
shift_recent (cs_server_latencies_t *latencies)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, latencies->servers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      cs_server_calls_t *calls = &((server_latency_t *)value)->calls;
      memmove (calls->recent[1], calls->recent[0],
               sizeof calls->recent - sizeof calls->recent[0]);
      memset (calls->recent[0], 0, sizeof calls->recent[0]);
    }
}

void
cs_server_latencies_update (cs_server_latencies_t *latencies, double threshold,
                            uint64_t latency[CS_LATENCY_BUCKETS])
{
  GPtrArray *baselines = servers_with_calls (latencies, false, 1.0, false);
  GPtrArray *candidates = servers_with_calls (latencies, true, 1.0, true);
  latencies->slowness = latencies->unattributed
                            ? 0.0
                            : cs_slowness (baselines, candidates, threshold);
  g_ptr_array_unref (baselines);
  g_ptr_array_unref (candidates);
  report_latency (latencies, latency);
  shift_recent (latencies);
}

double
cs_server_latencies_slowness (const cs_server_latencies_t *latencies)
{
  return latencies->slowness;
}

/* The mean buckets of the servers of one version: their number, their mean and
   the sum of the squared deviations from it.  */
typedef struct
{
  double servers, mean, squares;
} server_means_t;

static server_means_t
server_means (const GPtrArray *servers, guint count)
{
  server_means_t result = { 0 };
  for (guint i = 0; i < count; i++)
    {
      double mean = mean_bucket (servers->pdata[i]),
             deviation = mean - result.mean;
      result.servers++;
      result.mean += deviation / result.servers;
      result.squares += deviation * (mean - result.mean);
    }
  return result;
}

bool
cs_server_latencies_are_slower (const cs_server_latencies_t *latencies)
{
  GPtrArray *baselines
      = servers_with_calls (latencies, false, SERVER_CALLS_MIN, false);
  GPtrArray *candidates
      = servers_with_calls (latencies, true, SERVER_CALLS_MIN, false);
  bool enough = !latencies->unattributed && baselines->len >= 2
                && candidates->len >= 2;
  g_ptr_array_sort (candidates, compare_means);
  server_means_t baseline = server_means (baselines, baselines->len);
  server_means_t candidate
      = server_means (candidates, kept_count (candidates));
  g_ptr_array_unref (baselines);
  g_ptr_array_unref (candidates);
  if (!enough)
    return false;
  double variance
      = (baseline.squares + candidate.squares + PRIOR_VARIANCE * PRIOR_WEIGHT)
        / (baseline.servers + candidate.servers - 2.0 + PRIOR_WEIGHT);
  double deviation
      = sqrt (variance * (1.0 / baseline.servers + 1.0 / candidate.servers));
  return candidate.mean - baseline.mean
         > TOLERATED_BUCKETS + SLOWER_Z * deviation;
}
