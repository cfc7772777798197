/* A retry budget per service over a sliding window, without shared state:
   every node keeps to its share of the retries that all nodes may send.

   When some of the upstreams fail or shed load, the retries of all nodes
   together must not overload the rest.  A retried request makes its own calls
   to other services again, and these are retries for those services.  A node
   cannot tell which calls they are, but it knows what share of the calling
   service's requests were retries and charges that share of each call to the
   budget of the called service.  */
#ifndef CARDAMOM_RETRY_WINDOW_H
#define CARDAMOM_RETRY_WINDOW_H

#include <stdbool.h>

#include "cardamom/clock.h"

#define CS_RETRY_WINDOW_SLICES 20 /* Sub-windows that age out one by one.  */

typedef struct
{
  double ratio;     /* Retries allowed per request.  */
  double slack;     /* Retries allowed in a window regardless of the number of
                       requests, over all nodes.  */
  cs_usec_t window; /* Length of the window.  */
} cs_retry_window_settings_t;

typedef struct
{
  int64_t newest_slice; /* Number of the newest slice since time 0.  */
  unsigned requests[CS_RETRY_WINDOW_SLICES];
  double retries[CS_RETRY_WINDOW_SLICES]; /* Fractions are charged too.  */
  double failure_rate; /* Moving average share of requests that failed.  */
} cs_retry_window_t;

/* Record the result of a request that the service has run.  */
void cs_retry_window_note_result (cs_retry_window_t *window, bool failed);

/* Whether a retry on another server may help: true while the failure rate is
   low enough to be explained by single servers.  When the service fails as a
   whole, for example because a service that it calls is overloaded, retries
   only add load.  */
bool cs_retry_window_may_help (const cs_retry_window_t *window);

/* The share of the service's requests in the window that were retries: 0 to
   1.  */
double cs_retry_window_retry_share (cs_retry_window_t *window,
                                    const cs_retry_window_settings_t *settings,
                                    cs_usec_t now);

/* Record a new request for the service.  CALLER_SHARE is the retry share of
   the service that makes the request, from cs_retry_window_retry_share; 0 for
   a request of a client.  */
void cs_retry_window_note_request (cs_retry_window_t *window,
                                   const cs_retry_window_settings_t *settings,
                                   double caller_share, cs_usec_t now);

/* Charge one retry to the budget.  Returns false, and charges nothing, when
   this node's share of the budget, as one of NODES nodes, is used up.  */
bool cs_retry_window_try_spend (cs_retry_window_t *window,
                                const cs_retry_window_settings_t *settings,
                                unsigned nodes, cs_usec_t now);

#endif
