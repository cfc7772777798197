/* The request queue of a backend server, kept by the cardamom-sidecar on its
   host.

   It is designed for overload that lasts for seconds, with requests of
   different priorities, latency targets and deadlines.  A request is queued
   only if it is expected to end in time: requests that run meet their target,
   or, where they miss it, their deadline after a short wait or none.  The
   others are refused at once with a time to retry.  The order is by priority.
   Within a priority, requests that can still meet their target go first, by
   earliest target: nested calls of a running request have near targets, and
   the work of that request would be lost if they failed.  The rest follow by
   earliest deadline.  */
#ifndef CARDAMOM_REQUEST_QUEUE_H
#define CARDAMOM_REQUEST_QUEUE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "cardamom/server-limit.h"

/* A queued request, embedded in its owner's struct.  Times are monotonic.  */
typedef struct
{
  GList link;       /* Owned by the queue.  */
  int64_t priority; /* 0 goes first.  */
  cs_usec_t arrived_at;
  cs_usec_t target_time;    /* Time by which it meets its latency target.  */
  cs_usec_t latency_target; /* The whole latency target, a duration.  */
  cs_usec_t deadline;
  cs_usec_t expected_service_time;
} cs_queued_request_t;

typedef struct
{
  GQueue requests;
} cs_request_queue_t;

/* Capacity of the server.  */
typedef struct
{
  int64_t slots, running;
  cs_usec_t mean_service_time;    /* Mean time that a run occupies a slot.  */
  const cs_server_limit_t *limit; /* NULL: the server names none.  */
} cs_server_capacity_t;

/* The time that REQUEST, queued or not, is expected to wait behind the
   requests that run before it: for a slot, 0 if one is left after them, else
   their expected service times and one mean service time, divided by the
   slots; or for its turn under the server's limit, if that is later.  */
cs_usec_t cs_request_queue_expected_wait (const cs_request_queue_t *queue,
                                          const cs_server_capacity_t *capacity,
                                          const cs_queued_request_t *request,
                                          cs_usec_t now);

/* Queue REQUEST, borrowed until it is taken out, if it is expected to meet its
   target, or to meet its deadline after a short wait or none; FALSE if not.
   *EXPECTED_WAIT is set in both cases.  */
bool cs_request_queue_try_push (cs_request_queue_t *queue,
                                cs_queued_request_t *request,
                                const cs_server_capacity_t *capacity,
                                cs_usec_t now, cs_usec_t *expected_wait);

/* Take out the request to run next; NULL when the queue is empty.  */
cs_queued_request_t *cs_request_queue_pop (cs_request_queue_t *queue,
                                           cs_usec_t now);

/* Take out a request that can no longer meet its deadline, or that will miss
   its target and has waited long enough; NULL when there is none.  */
cs_queued_request_t *cs_request_queue_pop_expired (cs_request_queue_t *queue,
                                                   cs_usec_t now);

/* Take out REQUEST, which must be queued.  */
void cs_request_queue_remove (cs_request_queue_t *queue,
                              cs_queued_request_t *request);

/* Take out the request queued earliest; NULL when the queue is empty.  */
cs_queued_request_t *cs_request_queue_pop_any (cs_request_queue_t *queue);

/* The number of queued requests.  */
unsigned cs_request_queue_length (const cs_request_queue_t *queue);

#endif
