/* The part of a cold server's rate that one node takes by itself.

   It is made for the moment when servers come back cold under full load: every
   node of the mesh learns of them at the same time and they seem idle.  Each
   node sends at its share of the rate, from a random moment on; the node
   beside the server turns away what is over.  */
#ifndef CARDAMOM_COLD_SHARE_H
#define CARDAMOM_COLD_SHARE_H

#include <glib.h>

#include "cardamom/clock.h"

/* One cold server as seen by one sender.  All zero: it is warm.  */
typedef struct
{
  cs_usec_t warm_at;
  cs_usec_t next_at; /* When the sender's next request is due; 0: not set.  */
} cs_cold_share_t;

/* What the shares are parts of.  */
typedef struct
{
  double per_second; /* Requests that the server takes; 0: not limited.  */
  unsigned senders;  /* Nodes that may send to it.  */
} cs_cold_rate_t;

/* The server is cold until WARM_AT.  */
void cs_cold_share_begin (cs_cold_share_t *share, cs_usec_t warm_at);

/* The time at NOW until this sender's next request is due, at most until the
   server is warm; 0: now.  */
cs_usec_t cs_cold_share_wait (cs_cold_share_t *share,
                              const cs_cold_rate_t *rate, GRand *random,
                              cs_usec_t now);

/* A request is sent at NOW.  */
void cs_cold_share_take (cs_cold_share_t *share, const cs_cold_rate_t *rate,
                         cs_usec_t now);

#endif
