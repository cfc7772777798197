/* A retry budget per service over a sliding window, without shared state:
   every node keeps to its share of the retries that all nodes may send.

   When some of the upstreams fail or shed load, the retries of all nodes
   together must not overload the rest.  A retried request makes its own calls
   to other services again, and these are retries for those services.  A node
   cannot tell which calls they are, but it knows what share of the calling
   service's requests were retries and charges that share of each call to the
   budget of the called service.  */
#ifndef CARDAMOM_BUDGET_H
#define CARDAMOM_BUDGET_H

#include <stdbool.h>

#include "cardamom/clock.h"

#define CS_BUDGET_SLICES 20 /* Sub-windows that age out one by one.  */

typedef struct
{
  double ratio;     /* Retries allowed per request.  */
  double slack;     /* Retries allowed in a window regardless of the number of
                       requests, over all nodes.  */
  cs_usec_t window; /* Length of the window.  */
} cs_budget_terms_t;

typedef struct
{
  int64_t slice; /* Number of the newest slice since time 0.  */
  unsigned requests[CS_BUDGET_SLICES];
  double repeats[CS_BUDGET_SLICES]; /* Fractions are charged too.  */
  double failing; /* Moving average share of requests that failed.  */
} cs_budget_t;

/* Record the result of a request that the service has run.  */
void cs_budget_ended (cs_budget_t *budget, bool failed);

/* Whether a retry on another server may help: true while the failure rate is
   low enough to be explained by single servers.  When the service fails as a
   whole, for example because a service that it calls is overloaded, retries
   only add load.  */
bool cs_budget_may_help (const cs_budget_t *budget);

/* The share of the service's requests in the window that were retries: 0 to
   1.  */
double cs_budget_part (cs_budget_t *budget, const cs_budget_terms_t *terms,
                       cs_usec_t now);

/* Record a new request for the service.  CALLER_SHARE is the retry share of
   the service that makes the request, from cs_budget_part; 0 for a request of
   a client.  */
void cs_budget_request (cs_budget_t *budget, const cs_budget_terms_t *terms,
                        double caller_share, cs_usec_t now);

/* Charge one retry to the budget.  Returns false, and charges nothing, when
   this node's share of the budget, as one of NODES nodes, is used up.  */
bool cs_budget_repeat (cs_budget_t *budget, const cs_budget_terms_t *terms,
                       unsigned nodes, cs_usec_t now);

#endif
