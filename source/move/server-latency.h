/* The latency of a service's servers on one route, in buckets of
   cs_call_stats_t.

   The speeds of hosts differ by more than those of a good and a bad version.
   So calls are recorded per server, and a candidate only counts as slower if
   it differs from the baseline by more than the servers of one version do.  */
#ifndef MOVE_SERVER_LATENCY_H
#define MOVE_SERVER_LATENCY_H

#include "cardamom/judge.h"

typedef struct cs_server_latencies cs_server_latencies_t;

cs_server_latencies_t *cs_server_latencies_new (void);
void cs_server_latencies_drop (cs_server_latencies_t *latencies);

/* Add the calls of INCREASE, which the server NAME ran.  IS_CANDIDATE is
   set when that server runs the candidate, not the baseline.  The NAME ""
   stands for calls that are not attributed to a server; these count in the
   latency of cs_server_latencies_update only, and switch the comparison of
   servers off.  */
void cs_server_latencies_add (cs_server_latencies_t *latencies,
                              const char *name, bool is_candidate,
                              const cs_call_stats_t *increase);

/* Set the calls of the candidate that are in flight at the server NAME: AGES
   counts them by how long they have run.  */
void cs_server_latencies_set_in_flight (cs_server_latencies_t *latencies,
                                        const char *name,
                                        const cs_call_stats_t *ages);

/* Evaluate the calls added since the last update, and set LATENCY to those of
   the candidate.  The slower half of its servers is left out of LATENCY, so
   that slow hosts do not make the candidate look slow.  THRESHOLD is the
   logarithm of the likelihood ratio that makes it a slow version.  */
void cs_server_latencies_update (cs_server_latencies_t *latencies,
                                 double threshold,
                                 uint64_t latency[CS_LATENCY_BUCKETS]);

/* The cs_slowness of the candidate at the last update.  */
double cs_server_latencies_slowness (const cs_server_latencies_t *latencies);

/* Whether the candidate's servers are slower than the baseline's by more than
   hosts differ.  */
bool cs_server_latencies_are_slower (const cs_server_latencies_t *latencies);

#endif
