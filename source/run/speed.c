#include "cardamom/speed.h"

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
cs_mean_note (cs_mean_t *mean, double weight, cs_usec_t value)
{
  mean->count++;
  mean->mean += MAX (weight, 1.0 / mean->count) * ((double)value - mean->mean);
}

cs_usec_t
cs_speed_guess (cs_usec_t latency_target)
{
  return MIN (latency_target * INITIAL_ESTIMATE_PERCENT / 100,
              INITIAL_ESTIMATE_MAX);
}

void
cs_speed_init (cs_speed_t *speed)
{
  speed->slot = (cs_mean_t){ 0 };
  speed->works
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
}

void
cs_speed_clear (cs_speed_t *speed)
{
  g_hash_table_unref (speed->works);
}

void
cs_speed_forget (cs_speed_t *speed)
{
  speed->slot = (cs_mean_t){ 0 };
  g_hash_table_remove_all (speed->works);
}

void
cs_speed_note (cs_speed_t *speed, const char *route, cs_usec_t service_time)
{
  cs_mean_t *work = g_hash_table_lookup (speed->works, route);
  if (!work)
    {
      work = g_new0 (cs_mean_t, 1);
      g_hash_table_insert (speed->works, g_strdup (route), work);
    }
  cs_mean_note (work, ROUTE_SMOOTHING, service_time);
  cs_mean_note (&speed->slot, OVERALL_SMOOTHING, service_time);
}

cs_usec_t
cs_speed_work (const cs_speed_t *speed, const char *route, cs_usec_t fallback)
{
  const cs_mean_t *work = g_hash_table_lookup (speed->works, route);
  return work ? (cs_usec_t)work->mean : fallback;
}

cs_usec_t
cs_speed_slot (const cs_speed_t *speed, cs_usec_t fallback)
{
  return speed->slot.count ? (cs_usec_t)speed->slot.mean : fallback;
}
