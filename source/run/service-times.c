#include "cardamom/service-times.h"

/* Weights of a run in the moving averages.  */
#define OVERALL_SMOOTHING 0.06
#define ROUTE_SMOOTHING 0.08
/* Part of the latency target: targets are set at about three times the usual
   service time.  */
#define INITIAL_ESTIMATE_PERCENT 30
/* Needed for routes without a latency target, whose target is their whole time
   limit.  */
#define INITIAL_ESTIMATE_MAX (500 * CS_MSEC)

void
cs_running_mean_add (cs_running_mean_t *mean, double weight, cs_usec_t value)
{
  mean->count++;
  mean->mean += MAX (weight, 1.0 / mean->count) * ((double)value - mean->mean);
}

cs_usec_t
cs_service_time_initial (cs_usec_t latency_target)
{
  return MIN (latency_target * INITIAL_ESTIMATE_PERCENT / 100,
              INITIAL_ESTIMATE_MAX);
}

void
cs_service_times_init (cs_service_times_t *times)
{
  times->overall = (cs_running_mean_t){ 0 };
  times->by_route
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
}

void
cs_service_times_clear (cs_service_times_t *times)
{
  g_hash_table_unref (times->by_route);
}

void
cs_service_times_reset (cs_service_times_t *times)
{
  times->overall = (cs_running_mean_t){ 0 };
  g_hash_table_remove_all (times->by_route);
}

void
cs_service_times_add (cs_service_times_t *times, const char *route,
                      cs_usec_t service_time)
{
  cs_running_mean_t *mean = g_hash_table_lookup (times->by_route, route);
  if (!mean)
    {
      mean = g_new0 (cs_running_mean_t, 1);
      g_hash_table_insert (times->by_route, g_strdup (route), mean);
    }
  cs_running_mean_add (mean, ROUTE_SMOOTHING, service_time);
  cs_running_mean_add (&times->overall, OVERALL_SMOOTHING, service_time);
}

cs_usec_t
cs_service_times_of_route (const cs_service_times_t *times, const char *route,
                           cs_usec_t fallback)
{
  const cs_running_mean_t *mean = g_hash_table_lookup (times->by_route, route);
  return mean ? (cs_usec_t)mean->mean : fallback;
}

cs_usec_t
cs_service_times_mean (const cs_service_times_t *times, cs_usec_t fallback)
{
  return times->overall.count ? (cs_usec_t)times->overall.mean : fallback;
}
