#include "cardamom/feed.h"

/* A first reader's sign may be as old as its watch, the time between signs and
   a slow table allow.  */
#define FOLLOW_AGE (1300 * CS_MSEC)
/* Between followers that step in, lest all do.  */
#define FOLLOW_STEP (150 * CS_MSEC)
#define FOLLOW_STEPS_MAX 6

/* A reader signs more often than this, also one that has lost the table.  */
#define QUIET_MAX (1000 * CS_MSEC)
/* Between followers that step in while readers are heard: when half of the
   nodes have lost the table, one of the first eight has it in all but 4 of
   1,000 cases, and has read it 0.7 s after the first could not.  */
#define HEARD_STEP (100 * CS_MSEC)
#define PAUSE_FIRST (150 * CS_MSEC)
/* The first reader must be back soon after the table is.  */
#define PAUSE_READER (800 * CS_MSEC)
#define PAUSE_FOLLOWER (2500 * CS_MSEC)
/* When the whole mesh starts for the first time, which takes seconds, rows are
   asked of the node that reads first, for so long.  */
#define FIRST_READER (500 * CS_MSEC)
#define FIRST_FOLLOWER (1500 * CS_MSEC)
/* After a restart: a second reader in case the first is gone for good.  */
#define RESTART_READERS 2
/* By then a node that runs has greeted.  */
#define RESTART_STEP_IN (150 * CS_MSEC)
/* Three times what a reader and a question to it take.  */
#define RESTART_WAIT (700 * CS_MSEC)

bool
cs_feed_reads (unsigned rank, cs_usec_t age, cs_usec_t quiet)
{
  unsigned steps = rank < FOLLOW_STEPS_MAX ? rank : FOLLOW_STEPS_MAX;
  if (rank == 0)
    return true;
  if (quiet > QUIET_MAX)
    return age > FOLLOW_AGE + (cs_usec_t)steps * FOLLOW_STEP;
  return age > FOLLOW_AGE + (cs_usec_t)rank * HEARD_STEP;
}

bool
cs_feed_starts (bool first_start, unsigned all, unsigned reachable,
                cs_usec_t waited)
{
  if (first_start)
    return waited >= (reachable ? FIRST_FOLLOWER : FIRST_READER);
  return all < RESTART_READERS
         || (reachable < RESTART_READERS && waited >= RESTART_STEP_IN)
         || waited >= RESTART_WAIT;
}

cs_usec_t
cs_feed_pause (unsigned rank, unsigned failures)
{
  cs_usec_t most = rank == 0 ? PAUSE_READER : PAUSE_FOLLOWER;
  cs_usec_t pause = PAUSE_FIRST;
  while (failures-- > 1 && pause < most)
    pause *= 2;
  return pause < most ? pause : most;
}
