/* The requests a second that a backend server takes: the limit that it names,
   and the rate while it is cold.  The node beside the server is the only one
   that sends to it, so it keeps both for all nodes together.  The clock is
   passed in.

   It is made for servers that are overrun when power returns or an evacuation
   ends: a whole service is cold then, under its full load, and a server falls
   over when its rate is exceeded.  */
#ifndef CARDAMOM_SERVER_LIMIT_H
#define CARDAMOM_SERVER_LIMIT_H

#include <stdbool.h>

#include "cardamom/clock.h"

typedef struct
{
  double per_second;  /* As named; below 0: none.  */
  cs_usec_t interval; /* Between two requests, as named; 0: no limit.  */
  /* The same while the server is cold, until COLD_UNTIL.  */
  cs_usec_t cold_interval, cold_until;
  /* When the next request is due if all so far had come at the interval.  */
  cs_usec_t next_at;
} cs_server_limit_t;

void cs_server_limit_init (cs_server_limit_t *limit);

/* The server's last answer names PER_SECOND, or none if it is below 0.
   Returns whether that is a change.  */
bool cs_server_limit_set (cs_server_limit_t *limit, double per_second,
                          cs_usec_t now);

/* The server is cold until UNTIL and takes PER_SECOND requests until then;
   none are limited if PER_SECOND is 0 or below.  SILENT: what was sent before
   is not known, so the next request waits for a whole interval.  */
void cs_server_limit_set_cold (cs_server_limit_t *limit, double per_second,
                               cs_usec_t until, bool silent, cs_usec_t now);

/* For how long the server stays cold and limited; 0 if it is not.  */
cs_usec_t cs_server_limit_cold_left (const cs_server_limit_t *limit,
                                     cs_usec_t now);

/* The time between two requests in force; 0: no limit.  */
cs_usec_t cs_server_limit_interval (const cs_server_limit_t *limit,
                                    cs_usec_t now);

/* How long a request has to wait that is sent after AHEAD others; 0 without a
   limit.  */
cs_usec_t cs_server_limit_wait (const cs_server_limit_t *limit, int64_t ahead,
                                cs_usec_t now);

/* A request is sent; cs_server_limit_wait gave 0 for it.  */
void cs_server_limit_take (cs_server_limit_t *limit, cs_usec_t now);

#endif
