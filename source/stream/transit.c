#include <glib.h>

#include "cardamom/transit.h"

/* A longer delay is not believed: the times are those of another node.  */
#define DELAY_MAX (60 * CS_SEC)
/* Weight of one message in the mean.  */
#define MEAN_WEIGHT 0.1
/* A delay counts in full for this long, and half after as long again: a node
   that gets nothing because it was slow to reach is tried again.  */
#define FADE_AFTER (500 * CS_MSEC)

cs_usec_t
cs_transit_path_delay (cs_transit_path_t *path, cs_usec_t sent_at,
                       cs_usec_t now)
{
  cs_usec_t difference = now - sent_at;
  if (!path->used || difference < path->least)
    path->least = difference;
  path->used = true;
  return MIN (difference - path->least, DELAY_MAX);
}

cs_usec_t
cs_transit_fade (cs_usec_t delay, cs_usec_t age)
{
  if (age <= FADE_AFTER)
    return delay;
  return (cs_usec_t)((double)delay * (double)FADE_AFTER / (double)age);
}

void
cs_transit_note (cs_transit_t *transit, cs_usec_t delay, cs_usec_t now)
{
  double mean = (double)cs_transit_mean (transit, now);
  transit->mean = mean + MEAN_WEIGHT * ((double)delay - mean);
  transit->updated_at = now;
}

cs_usec_t
cs_transit_mean (const cs_transit_t *transit, cs_usec_t now)
{
  return cs_transit_fade ((cs_usec_t)transit->mean, now - transit->updated_at);
}
