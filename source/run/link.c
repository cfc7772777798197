#include <glib.h>

#include "cardamom/link.h"

/* The part of a link that large bodies may use: small requests, answers and
   messages between nodes need no reservation, and shall find room.  */
#define LARGE_PERCENT 85
/* A body that takes less time than this on the link of its server needs no
   reservation: to ask would take as long.  */
#define ASK_MIN (10 * CS_MSEC)
/* A body is sent so long before its turn: the answer and its first bytes take
   some time to cross, and the link shall not be idle.  */
#define LEAD (60 * CS_MSEC)
/* A body whose request misses its target in any case waits for the link no
   longer than this part of the target (as request-queue.c).  */
#define LATE_WAIT_MAX_PERCENT 12

void
cs_link_init (cs_link_t *link, double mbps)
{
  *link = (cs_link_t){ .bytes_per_s = mbps * 1e6 / 8 * LARGE_PERCENT / 100 };
}

cs_usec_t
cs_link_transfer_time (double mbps, size_t bytes)
{
  return mbps > 0 ? (cs_usec_t)((double)bytes * 8 / mbps) : 0;
}

bool
cs_link_must_ask (double mbps, size_t bytes)
{
  return cs_link_transfer_time (mbps, bytes) >= ASK_MIN;
}

cs_usec_t
cs_link_wait (const cs_link_t *link, cs_usec_t now)
{
  return MAX (link->free_at - now, 0);
}

bool
cs_link_reserve (cs_link_t *link, const cs_link_request_t *request,
                 cs_usec_t now, cs_usec_t *hold)
{
  *hold = 0;
  if (!(link->bytes_per_s > 0))
    return true;
  cs_usec_t wait = cs_link_wait (link, now);
  cs_usec_t transfer
      = (cs_usec_t)((double)request->bytes / link->bytes_per_s * 1e6);
  cs_usec_t end
      = MAX (wait + transfer, request->server_wait) + request->run_time;
  bool in_time
      = end <= request->target_remaining
        || (end <= request->deadline_remaining
            && wait <= request->latency_target * LATE_WAIT_MAX_PERCENT / 100);
  if (in_time)
    {
      link->free_at = now + wait + transfer;
      *hold = MAX (wait - LEAD, 0);
    }
  return in_time;
}
