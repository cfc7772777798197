/* Placement: which of the nodes beside the backend servers of a service gets a
   request, from the load and latency that the deciding node knows of them.

   It is made for data centres of uneven load, servers of uneven speed, links
   that large bodies fill, and many nodes that choose at the same time by
   reports that are seconds old.  The node of the region with the lowest
   expected latency gets the request; other data centres count as slower,
   because traffic between them is paid for.  Another region gets it when none
   of this one is expected to meet the target.  The chosen node is told from
   which wait on the next best one would have been better, and refuses then: it
   alone knows its load.  */
#ifndef CARDAMOM_PLACEMENT_H
#define CARDAMOM_PLACEMENT_H

#include "cardamom/upstream.h"

/* One node that a request may be sent to.  */
typedef struct
{
  cs_distance_t distance;
  /* Connected and ready, runs the wanted version, and has not been tried for
     this request.  */
  bool eligible;
  bool refuses_retries; /* It has no budget for a retry.  */
  int64_t slots;        /* Requests that its server runs at once.  */
  /* Requests running and queued there, including those that this node has sent
     since the last load report.  */
  int64_t outstanding;
  /* Mean time that a request occupies a slot there.  */
  cs_usec_t mean_service_time;
  cs_usec_t run_time;       /* Expected run time of this request there.  */
  cs_usec_t limit_delay;    /* Expected wait under its server's limit.  */
  cs_usec_t round_trip;     /* Network round trip to that node.  */
  cs_usec_t transit;        /* Delay on full links to that node.  */
  int64_t failure_permille; /* Failures per 1000 of its recent requests.  */
} cs_placement_node_t;

/* Requirements of the request.  */
typedef struct
{
  cs_usec_t target_left; /* Time left until the request's latency target.  */
  /* An earlier attempt has reached a server.  Another region is not asked then
     while this one has an eligible node: where that has no budget, the others
     rarely have, and asking them takes long.  */
  bool is_retry;
} cs_placement_request_t;

typedef struct
{
  int index; /* Of the chosen node; -1 when none is usable.  */
  /* Expected time from now to the answer; -1 without a node.  */
  cs_usec_t expected_latency;
  /* The wait at the chosen node from which on another one is expected to be
     better; INT64_MAX when there is no other.  */
  cs_usec_t wait_max;
} cs_placement_t;

/* Choose one of COUNT nodes.  The choice among nearly equal ones is random, so
   that nodes that decide at the same time spread their requests.  */
cs_placement_t cs_placement_choose (const cs_placement_node_t *nodes,
                                    size_t count,
                                    const cs_placement_request_t *request,
                                    GRand *random);

/* The expected wait for a slot behind OUTSTANDING running and queued requests,
   each of which occupies a slot for SLOT_TIME.  */
cs_usec_t cs_placement_queue_delay (int64_t outstanding, int64_t slots,
                                    cs_usec_t slot_time);

#endif
