/* A likelihood-ratio test of whether half of a candidate's calls take several
   times as long.

   The speeds of hosts differ by more than those of a good and a bad version,
   and a server's speed changes with its load.  So only the shape of a server's
   latency distribution is compared with the baseline's.  The ratio covers
   every speed that the server may have, and every window in which the version,
   or the host alone, may have become slow.  */
#ifndef MOVE_SLOWNESS_H
#define MOVE_SLOWNESS_H

#include "cardamom/judge.h"

/* Updates (cs_server_latencies_update) for which calls count as recent.  */
#define CS_RECENT_UPDATES 32

/* The calls of one server, by latency bucket.  */
typedef struct
{
  double all[CS_LATENCY_BUCKETS];
  /* Those of ALL by the update that they precede, the latest first: row 0 has
     the calls since the last update, row N those between two consecutive
     updates, the Nth last and the one before it.  */
  double recent[CS_RECENT_UPDATES][CS_LATENCY_BUCKETS];
  /* Calls in flight, which are not in ALL, by how long they have run.  */
  double in_flight[CS_LATENCY_BUCKETS];
} cs_server_calls_t;

/* The logarithm of the likelihood ratio as a fraction of THRESHOLD, from the
   cs_server_calls_t of the servers of both versions.  Half of the CANDIDATES
   alone do not reach 1, whatever their calls are, because some slow hosts do
   not make a slow version.  0 while the BASELINES have too few calls.  */
double cs_slowness (const GPtrArray *baselines, const GPtrArray *candidates,
                    double threshold);

#endif
