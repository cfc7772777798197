/* How long messages of other nodes are under way to this one, beyond the time
   of an empty path.  A link that is full delays small messages behind large
   ones for seconds, which neither the sender nor the load of the server shows.

   The clocks of two nodes are not compared: the difference between the
   sender's time of sending and this node's time of arrival is smallest on an
   empty path, and any more than that smallest one is delay.  */
#ifndef CARDAMOM_TRANSIT_H
#define CARDAMOM_TRANSIT_H

#include <stdbool.h>

#include "cardamom/clock.h"

/* A path from one node.  All bytes 0: nothing has come.  */
typedef struct
{
  bool used;
  cs_usec_t least; /* Smallest difference seen, of unrelated clocks.  */
} cs_transit_path_t;

/* The delay of a message sent at SENT_AT by the sender's monotonic clock and
   received now.  */
cs_usec_t cs_transit_path_delay (cs_transit_path_t *path, cs_usec_t sent_at,
                                 cs_usec_t now);

/* The delays of all paths to this node, as a moving average.  All bytes 0:
   none known.  */
typedef struct
{
  double mean;
  cs_usec_t updated_at;
} cs_transit_t;

void cs_transit_note (cs_transit_t *transit, cs_usec_t delay, cs_usec_t now);

/* The mean delay; it fades while no messages come.  */
cs_usec_t cs_transit_mean (const cs_transit_t *transit, cs_usec_t now);

/* A delay that was known AGE ago, as it is expected to be now.  */
cs_usec_t cs_transit_fade (cs_usec_t delay, cs_usec_t age);

#endif
