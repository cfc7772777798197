/* Service times of a backend server, estimated from its runs.

   The initial estimate matters when power returns to all hosts at once,
   callers are already queued and no node has measured a run yet: an estimate
   that is far too short fills every queue with requests that then end late. So
   the estimate is derived from the latency target until runs have ended, and
   the first runs get a high weight.  */
#ifndef CARDAMOM_SERVICE_TIMES_H
#define CARDAMOM_SERVICE_TIMES_H

#include <glib.h>

#include "cardamom/clock.h"

/* An exponential moving average that starts as a plain mean.  */
typedef struct
{
  double mean; /* Microseconds.  */
  unsigned count;
} cs_running_mean_t;

/* Add VALUE; its weight is 1/COUNT until that falls below WEIGHT.  */
void cs_running_mean_add (cs_running_mean_t *mean, double weight,
                          cs_usec_t value);

/* The estimated service time of a route with LATENCY_TARGET, before any run
   has been measured.  */
cs_usec_t cs_service_time_initial (cs_usec_t latency_target);

typedef struct
{
  cs_running_mean_t overall; /* Mean over all routes.  */
  GHashTable *by_route;      /* route -> cs_running_mean_t *.  */
} cs_service_times_t;

/* Initialise TIMES without measurements, and release its memory.  */
void cs_service_times_init (cs_service_times_t *times);
void cs_service_times_clear (cs_service_times_t *times);

/* Discard all measurements, as when another server takes over.  */
void cs_service_times_reset (cs_service_times_t *times);

/* Add a run of ROUTE that took SERVICE_TIME.  */
void cs_service_times_add (cs_service_times_t *times, const char *route,
                           cs_usec_t service_time);

/* The expected service time of ROUTE; FALLBACK before its first run ended.  */
cs_usec_t cs_service_times_of_route (const cs_service_times_t *times,
                                     const char *route, cs_usec_t fallback);

/* The mean service time over all routes; FALLBACK before the first run has
   ended.  */
cs_usec_t cs_service_times_mean (const cs_service_times_t *times,
                                 cs_usec_t fallback);

#endif
