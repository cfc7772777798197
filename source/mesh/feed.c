#include "cardamom/feed.h"

/* A first reader's sign may be as old as its watch, the time between signs and
   a slow table allow.  */
#define FOLLOW_AGE (1300 * CS_MSEC)
/* Between followers that step in, lest all do.  */
#define FOLLOW_STEP (150 * CS_MSEC)
#define FOLLOW_STEPS_MAX 6

bool
cs_feed_reads (unsigned rank, cs_usec_t age)
{
  unsigned steps = rank < FOLLOW_STEPS_MAX ? rank : FOLLOW_STEPS_MAX;
  return rank == 0 || age > FOLLOW_AGE + (cs_usec_t)steps * FOLLOW_STEP;
}
