/* The time of a host's link, reserved for large bodies before they are sent.

   It is made for servers whose links are thinner than what callers upload:
   sent without a reservation, bodies fill the link's queue until all of them,
   and the small requests between them, come too late.  A large body is sent
   only when the node beside the server has said that it arrives in time; what
   does not is refused before a byte of it is sent.  The clock is passed in. */
#ifndef CARDAMOM_LINK_H
#define CARDAMOM_LINK_H

#include <stdbool.h>
#include <stddef.h>

#include "cardamom/clock.h"

typedef struct
{
  double bytes_per_s; /* For large bodies; 0: not known, nothing is limited. */
  cs_usec_t free_at;  /* When all that is reserved has arrived.  */
} cs_link_t;

/* A body that wants to be sent, at the receiving node.  */
typedef struct
{
  size_t bytes;
  cs_usec_t server_wait;        /* Expected wait at the server, from now.  */
  cs_usec_t run_time;           /* Expected, after both.  */
  cs_usec_t target_remaining;   /* Time until its latency target.  */
  cs_usec_t latency_target;     /* The whole of it.  */
  cs_usec_t deadline_remaining; /* Time until its deadline.  */
} cs_link_request_t;

/* A link of MBPS megabits a second; 0: not known.  */
void cs_link_init (cs_link_t *link, double mbps);

/* The time that BYTES take on a link of MBPS, 0 if it is not known.  */
cs_usec_t cs_link_transfer_time (double mbps, size_t bytes);

/* Whether a body of BYTES for a host with a link of MBPS asks before it is
   sent.  */
bool cs_link_must_ask (double mbps, size_t bytes);

/* The time until LINK is free.  */
cs_usec_t cs_link_wait (const cs_link_t *link, cs_usec_t now);

/* Reserve time for REQUEST, or refuse it because it would come too late.  The
   body is to be sent *HOLD from now: sent at once, it would wait in the
   network and hold up small requests.  */
bool cs_link_reserve (cs_link_t *link, const cs_link_request_t *request,
                      cs_usec_t now, cs_usec_t *hold);

#endif
