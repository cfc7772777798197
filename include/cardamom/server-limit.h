/* The limit of requests a second that a backend server names.  The node beside
   the server is the only one that sends to it, so it keeps the limit for all
   nodes together.  The clock is passed in.  */
#ifndef CARDAMOM_SERVER_LIMIT_H
#define CARDAMOM_SERVER_LIMIT_H

#include <stdbool.h>

#include "cardamom/clock.h"

typedef struct
{
  double per_second;  /* As named; below 0: none.  */
  cs_usec_t interval; /* Between two requests; 0: no limit.  */
  /* When the next request is due if all so far had come at the interval.  */
  cs_usec_t next_at;
} cs_server_limit_t;

void cs_server_limit_init (cs_server_limit_t *limit);

/* The server's last answer names PER_SECOND, or none if it is below 0.
   Returns whether that is a change.  */
bool cs_server_limit_set (cs_server_limit_t *limit, double per_second,
                          cs_usec_t now);

/* How long a request has to wait that is sent after AHEAD others; 0 without a
   limit.  */
cs_usec_t cs_server_limit_wait (const cs_server_limit_t *limit, int64_t ahead,
                                cs_usec_t now);

/* A request is sent; cs_server_limit_wait gave 0 for it.  */
void cs_server_limit_take (cs_server_limit_t *limit, cs_usec_t now);

#endif
