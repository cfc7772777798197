/* Second sends of a service's requests, bounded over a sliding window without
   a store: every node keeps to its share of what all nodes may send.

   The load pattern it answers: a part of the upstreams fails or sheds, and
   repeats of all nodes together must not become a load of their own.  A run
   that is itself a repeat makes its calls again, and these count as repeats
   where they go; no node sees which they are, but each knows what part of the
   calling service's runs are repeats, and charges that part of each call.  */
#ifndef CARDAMOM_BUDGET_H
#define CARDAMOM_BUDGET_H

#include <stdbool.h>

#include "cardamom/clock.h"

#define CS_BUDGET_SLICES 20 /* Parts of the window.  */

typedef struct
{
  double ratio;     /* Repeats for each request.  */
  double slack;     /* Repeats of all nodes besides, in a window.  */
  cs_usec_t window; /* Length of the window.  */
} cs_budget_terms_t;

typedef struct
{
  int64_t slice; /* Number of the newest slice.  */
  unsigned requests[CS_BUDGET_SLICES];
  double repeats[CS_BUDGET_SLICES];
  double failing; /* Moving average of runs that failed.  */
} cs_budget_t;

/* A run of the service has ended.  */
void cs_budget_ended (cs_budget_t *budget, bool failed);

/* Whether failures lie with single servers, so that another one may do
   better: when the service fails as a whole, as it does when one that it calls
   is short of room, a second run only adds to that.  */
bool cs_budget_may_help (const cs_budget_t *budget);

/* What part of the service's runs in the window were repeats.  */
double cs_budget_part (cs_budget_t *budget, const cs_budget_terms_t *terms,
                       cs_usec_t now);

/* A request for the service has come in, made by a run of a service of whose
   runs CALLER_PART are repeats (0: by a client).  */
void cs_budget_request (cs_budget_t *budget, const cs_budget_terms_t *terms,
                        double caller_part, cs_usec_t now);

/* Whether one more repeat may be sent by one of NODES nodes; it is counted. */
bool cs_budget_repeat (cs_budget_t *budget, const cs_budget_terms_t *terms,
                       unsigned nodes, cs_usec_t now);

#endif
