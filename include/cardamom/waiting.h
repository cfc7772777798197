/* The request queue of a backend server, kept by the node on its host.

   It is designed for overload that lasts for seconds, with requests of
   different priorities, latency targets and deadlines.  A request is queued
   only if it is expected to end in time: requests that run meet their target,
   and the others are refused at once with a time to retry.  The order is by
   priority.  Within a priority, requests that can still meet their target go
   first, by earliest target: nested calls of a running request have near
   targets, and the work of that request would be lost if they failed.  The
   rest follow by earliest deadline.  */
#ifndef CARDAMOM_WAITING_H
#define CARDAMOM_WAITING_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "cardamom/clock.h"

/* A queued request, embedded in its owner's struct.  Times are monotonic.  */
typedef struct
{
  GList link;       /* Owned by the queue.  */
  int64_t priority; /* 0 goes first.  */
  cs_usec_t arrived;
  cs_usec_t target;      /* Time at which the latency target ends.  */
  cs_usec_t full_target; /* The whole latency target, a duration.  */
  cs_usec_t limit;       /* Deadline.  */
  cs_usec_t work;        /* Expected service time.  */
} cs_waiter_t;

typedef struct
{
  GQueue waiters;
} cs_waiting_t;

/* Capacity of the server.  */
typedef struct
{
  int64_t slots, running;
  cs_usec_t slot_time; /* Mean time that a run occupies a slot.  */
} cs_waiting_room_t;

/* The time that REQUEST, queued or not, is expected to wait for a slot behind
   the requests that run before it.  */
cs_usec_t cs_waiting_estimate (const cs_waiting_t *queue,
                               const cs_waiting_room_t *capacity,
                               const cs_waiter_t *request, cs_usec_t now);

/* Queue REQUEST, borrowed until it is taken out, if it is expected to end in
   time; FALSE if not.  *EXPECTED_WAIT is set in both cases.  */
bool cs_waiting_offer (cs_waiting_t *queue, cs_waiter_t *request,
                       const cs_waiting_room_t *capacity, cs_usec_t now,
                       cs_usec_t *expected_wait);

/* Take out the request to run next; NULL when the queue is empty.  */
cs_waiter_t *cs_waiting_next (cs_waiting_t *queue, cs_usec_t now);

/* Take out a request that can no longer meet its deadline, or that will miss
   its target and has waited long enough; NULL when there is none.  */
cs_waiter_t *cs_waiting_expired (cs_waiting_t *queue, cs_usec_t now);

/* Take out REQUEST, which must be queued.  */
void cs_waiting_remove (cs_waiting_t *queue, cs_waiter_t *request);

/* Take out the request queued first; NULL when the queue is empty.  */
cs_waiter_t *cs_waiting_any (cs_waiting_t *queue);

/* The number of queued requests.  */
unsigned cs_waiting_count (const cs_waiting_t *queue);

#endif
