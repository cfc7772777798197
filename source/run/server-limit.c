#include <glib.h>

#include "cardamom/server-limit.h"

/* After a pause, requests for this time may be sent at once.  */
#define BURST_TIME (100 * CS_MSEC)
/* A server that takes nothing gets one request in this time, whose answer
   shows whether that is still so.  */
#define INTERVAL_MAX (4 * CS_SEC)

void
cs_server_limit_init (cs_server_limit_t *limit)
{
  *limit = (cs_server_limit_t){ .per_second = -1 };
}

bool
cs_server_limit_set (cs_server_limit_t *limit, double per_second,
                     cs_usec_t now)
{
  per_second = MAX (per_second, -1);
  if (limit->per_second == per_second)
    return false;
  limit->per_second = per_second;
  if (per_second < 0)
    {
      limit->interval = 0;
      return true;
    }
  double interval = (double)CS_SEC / per_second;
  limit->interval = interval < (double)INTERVAL_MAX
                        ? MAX ((cs_usec_t)interval, 1)
                        : INTERVAL_MAX;
  limit->next_at = CLAMP (limit->next_at, now, now + limit->interval);
  return true;
}

void
cs_server_limit_set_cold (cs_server_limit_t *limit, double per_second,
                          cs_usec_t until, bool silent, cs_usec_t now)
{
  bool was_cold = cs_server_limit_cold_left (limit, now) > 0;
  limit->cold_until = until;
  limit->cold_interval
      = per_second > 0 && until > now
            ? MAX ((cs_usec_t)((double)CS_SEC / per_second), 1)
            : 0;
  if (!limit->cold_interval)
    return;
  if (!was_cold)
    limit->next_at = MAX (limit->next_at, now);
  if (silent)
    limit->next_at = MAX (limit->next_at, now + limit->cold_interval);
}

cs_usec_t
cs_server_limit_cold_left (const cs_server_limit_t *limit, cs_usec_t now)
{
  return limit->cold_interval ? MAX (limit->cold_until - now, 0) : 0;
}

cs_usec_t
cs_server_limit_interval (const cs_server_limit_t *limit, cs_usec_t now)
{
  return cs_server_limit_cold_left (limit, now) > 0
             ? MAX (limit->interval, limit->cold_interval)
             : limit->interval;
}

/* When the next request is due.  A cold server gets no bursts: a request that
   comes after a pause starts a new interval.  */
static cs_usec_t
next_due (const cs_server_limit_t *limit, cs_usec_t now)
{
  return MAX (limit->next_at, cs_server_limit_cold_left (limit, now) > 0
                                  ? now
                                  : now - BURST_TIME);
}

cs_usec_t
cs_server_limit_wait (const cs_server_limit_t *limit, int64_t ahead,
                      cs_usec_t now)
{
  cs_usec_t due = next_due (limit, now);
  cs_usec_t cold_left = cs_server_limit_cold_left (limit, now);
  cs_usec_t wait
      = limit->interval ? MAX (due + ahead * limit->interval - now, 0) : 0;
  if (!cold_left)
    return wait;
  /* When it is warm, the limit that it names is left.  */
  cs_usec_t cold_wait = due + ahead * limit->cold_interval - now;
  return MAX (wait, MIN (cold_wait, cold_left));
}

void
cs_server_limit_take (cs_server_limit_t *limit, cs_usec_t now)
{
  cs_usec_t interval = cs_server_limit_interval (limit, now);
  if (interval)
    limit->next_at = next_due (limit, now) + interval;
}
