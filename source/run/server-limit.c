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

cs_usec_t
cs_server_limit_wait (const cs_server_limit_t *limit, int64_t ahead,
                      cs_usec_t now)
{
  if (!limit->interval)
    return 0;
  cs_usec_t due = MAX (limit->next_at, now - BURST_TIME);
  return MAX (due + ahead * limit->interval - now, 0);
}

void
cs_server_limit_take (cs_server_limit_t *limit, cs_usec_t now)
{
  if (limit->interval)
    limit->next_at = MAX (limit->next_at, now - BURST_TIME) + limit->interval;
}
