/* Who reads the platform's table.

   The load pattern it answers: hundreds of nodes that must all have a change
   within seconds, a table whose calls are few and paid for, and readers that
   die or are cut off from it.  In each region the node of the first name
   reads and passes rows on; the others follow its signs of freshness.  When
   those stop, they step in soon; while readers are heard that have lost the
   table themselves, it is most likely down for all, and they step in slowly,
   one after another.  */
#ifndef CARDAMOM_FEED_H
#define CARDAMOM_FEED_H

#include <stdbool.h>

#include "cardamom/clock.h"

/* How long one watch waits at the table: a reader that hears nothing for
   longer has lost it.  */
#define CS_FEED_WAIT (600 * CS_MSEC)
/* Between a reader's signs to its followers.  */
#define CS_FEED_SIGN (300 * CS_MSEC)

/* Whether the node of RANK among those of its region that can read (0 is the
   first) reads now, AGE after what it knows was last known to be fresh and
   QUIET after the last sign of a reader.  */
bool cs_feed_reads (unsigned rank, cs_usec_t age, cs_usec_t quiet);

/* Whether a node that has no rows yet reads them itself, WAITED after it first
   could, or goes on asking others for them.  ALL is its rank among the nodes
   of its region that the table names, REACHABLE among those that it reaches.

   The load pattern it answers: power returns to every node at once, and each
   would read all rows over the one link of its region; two of them read, and
   the others have the rows from those.  */
bool cs_feed_starts (bool first_start, unsigned all, unsigned reachable,
                     cs_usec_t waited);

/* How long to wait after the call number FAILURES in a row has failed.  */
cs_usec_t cs_feed_pause (unsigned rank, unsigned failures);

#endif
