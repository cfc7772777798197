/* A retry budget per service over a sliding window, without shared state: each
   node accounts for the requests that reach the backend server beside it.

   Every request passes the node beside the server that gets it, so the
   accounts of these nodes together hold each request and each retry exactly
   once, whoever sent it: a node whose first attempt failed, or a run that was
   itself a retry and makes its calls again.  A retry of a node is refused, as
   not run, when the account of the server's node has no room.  A call of a
   repeated run cannot be refused without wasting that run: a part of the
   budget is kept free for such calls, and when they take too much of it, the
   nodes beside the calling servers are told to refuse retries.  */
#ifndef CARDAMOM_RETRY_WINDOW_H
#define CARDAMOM_RETRY_WINDOW_H

#include <stdbool.h>

#include "cardamom/clock.h"

/* Sub-windows that age out one by one.  They are one more than make a window,
   so that none ages out too early.  */
#define CS_RETRY_WINDOW_SLICES 21

typedef struct
{
  double ratio;     /* Retries allowed per request.  */
  double slack;     /* Retries allowed in a window regardless of the number of
                       requests, over all nodes.  */
  cs_usec_t window; /* Length of the window.  */
} cs_retry_window_settings_t;

/* The account of one server's node.  */
typedef struct
{
  int64_t newest_slice; /* Number of the newest slice since time 0.  */
  cs_usec_t started_at;
  double requests[CS_RETRY_WINDOW_SLICES];  /* First arrivals.  */
  double retries[CS_RETRY_WINDOW_SLICES];   /* Sent again by a node.  */
  double calls[CS_RETRY_WINDOW_SLICES];     /* Requests that may be calls.  */
  double inherited[CS_RETRY_WINDOW_SLICES]; /* Calls of repeated runs.  */
} cs_retry_window_t;

void cs_retry_window_init (cs_retry_window_t *window, cs_usec_t now);

/* Record the first arrival of a request.  IS_CALL: it may be a call of a run.
   INHERITED, 0 to 1, is the probability that this run was a retry.  */
void cs_retry_window_note_request (cs_retry_window_t *window,
                                   const cs_retry_window_settings_t *settings,
                                   bool is_call, double inherited,
                                   cs_usec_t now);

/* Whether one more retry is within the part of the budget that belongs to this
   node, beside one of SERVERS servers of the service.  */
bool cs_retry_window_has_room (cs_retry_window_t *window,
                               const cs_retry_window_settings_t *settings,
                               unsigned servers, cs_usec_t now);

/* Record the arrival of a retry.  */
void cs_retry_window_note_retry (cs_retry_window_t *window,
                                 const cs_retry_window_settings_t *settings,
                                 cs_usec_t now);

/* Whether calls of repeated runs take so much of the budget that the calling
   services should not repeat runs.  */
bool cs_retry_window_is_strained (cs_retry_window_t *window,
                                  const cs_retry_window_settings_t *settings,
                                  unsigned servers, cs_usec_t now);

/* The part of a service's recent runs that failed, as a moving average.  All
   bytes 0: none yet.  */
typedef struct
{
  double rate;
} cs_failure_rate_t;

/* Record the result of a request that the service has run.  */
void cs_failure_rate_note (cs_failure_rate_t *failures, bool failed);

/* Whether a retry on another server may help: true while the failure rate is
   low enough to be explained by single servers.  When the service fails as a
   whole, for example because a service that it calls is overloaded, retries
   only add load.  */
bool cs_failure_rate_retry_may_help (const cs_failure_rate_t *failures);

#endif
