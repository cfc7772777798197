#include <math.h>

#include <glib.h>

#include "cardamom/document.h"
#include "cardamom/exposure.h"

/* Part of the allowed requests that the canary phase may use.  */
#define CANARY_FRACTION 0.45
/* Least share of a candidate, as a part of the configured share.  */
#define MIN_SHARE_FRACTION 0.25
/* Part of the allowed requests that the final ramp may use.  The rest covers
   requests that the counts do not include yet.  */
#define RAMP_FRACTION 0.9
#define VERDICT_LAG_S 0.7 /* From a bad answer until requests stop.  */
#define RATE_TIME_CONSTANT_S 1.0
/* A shorter interval between two counts gives no usable rate.  */
#define RATE_INTERVAL_MIN (50 * CS_MSEC)

void
cs_exposure_update (cs_exposure_t *exposure, double requests,
                    double candidate_requests, cs_usec_t now)
{
  double interval = (double)(now - exposure->updated_at) / CS_SEC;
  exposure->candidate_requests = candidate_requests;
  if (exposure->updated_at && now - exposure->updated_at < RATE_INTERVAL_MIN)
    return;
  if (exposure->updated_at)
    {
      double rate = MAX (requests - exposure->requests, 0.0) / interval;
      double weight = exposure->requests_per_s > 0.0
                          ? 1.0 - exp (-interval / RATE_TIME_CONSTANT_S)
                          : 1.0;
      exposure->requests_per_s += weight * (rate - exposure->requests_per_s);
    }
  exposure->requests = requests;
  exposure->updated_at = now;
}

double
cs_exposure_allowed (const cs_exposure_limits_t *limits,
                     const cs_exposure_t *exposure)
{
  return limits->share * exposure->requests + limits->slack;
}

/* The share, 0 to CS_ALL_TRAFFIC_PERMILLE, that spends ROOM requests over
   SECONDS on top of FRACTION of the configured share, by which the allowance
   grows.  */
static int64_t
share_for (const cs_exposure_limits_t *limits, const cs_exposure_t *exposure,
           double fraction, double room, double seconds)
{
  double share = fraction * limits->share
                 + room / MAX (exposure->requests_per_s * seconds, 1.0);
  return (int64_t)(CLAMP (share, 0.0, 1.0) * CS_ALL_TRAFFIC_PERMILLE);
}

int64_t
cs_exposure_canary_share (const cs_exposure_limits_t *limits,
                          const cs_exposure_t *exposure,
                          cs_usec_t change_delay)
{
  double room = CANARY_FRACTION * cs_exposure_allowed (limits, exposure)
                - exposure->candidate_requests;
  double seconds = VERDICT_LAG_S + (double)change_delay / CS_SEC;
  int64_t min_share = (int64_t)(MIN_SHARE_FRACTION * limits->share
                                * CS_ALL_TRAFFIC_PERMILLE);
  return MAX (share_for (limits, exposure, CANARY_FRACTION, room, seconds),
              min_share);
}

int64_t
cs_exposure_ramp_share (const cs_exposure_limits_t *limits,
                        const cs_exposure_t *exposure, cs_usec_t step)
{
  double room = RAMP_FRACTION * cs_exposure_allowed (limits, exposure)
                - exposure->candidate_requests
                - exposure->requests_per_s * VERDICT_LAG_S;
  return share_for (limits, exposure, RAMP_FRACTION, room,
                    (double)step / CS_SEC + VERDICT_LAG_S);
}
