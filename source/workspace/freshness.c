#include "cardamom/freshness.h"

/* The part of the time to a revocation for which a view may be used.  The rest
   covers what the age of a heartbeat does not show: the least time that one
   takes, and the time from the check of a request to its run.  */
#define MAX_AGE_PERCENT 90

bool
cs_freshness_allows_keys (const cs_freshness_settings_t *settings,
                          cs_usec_t fresh_at, cs_usec_t now)
{
  if (!settings->fail_closed)
    return true;
  return fresh_at > 0
         && now - fresh_at < settings->revoke * MAX_AGE_PERCENT / 100;
}
