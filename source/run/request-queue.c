#include "cardamom/request-queue.h"

/* Part of the expected service time that must be left before the deadline for
   a request to be run: a run that is shorter than expected may still meet
   it.  */
#define MIN_TIME_LEFT_PERCENT 60
/* Longest wait, as a part of its latency target, of a request that will miss
   the target.  It is refused at once if its expected wait is longer, and when
   it has waited for longer.  */
#define LATE_WAIT_MAX_PERCENT 12

/* Percentage of the expected service time that must fit before the target:
   half of all runs take longer than expected, and when the queue is full every
   run starts as late as is allowed.  */
#define TARGET_MARGIN_PERCENT 150

/* Whether REQUEST, started at START, is expected to meet its latency target.
 */
static bool
meets_target (const cs_queued_request_t *request, cs_usec_t start)
{
  return start + request->expected_service_time * TARGET_MARGIN_PERCENT / 100
         <= request->target_time;
}

/* Whether A is to be run before B at NOW.  */
static bool
runs_before (const cs_queued_request_t *a, const cs_queued_request_t *b,
             cs_usec_t now)
{
  if (a->priority != b->priority)
    return a->priority < b->priority;
  bool late_a = !meets_target (a, now), late_b = !meets_target (b, now);
  if (late_a != late_b)
    return !late_a;
  return late_a ? a->deadline < b->deadline : a->target_time < b->target_time;
}

cs_usec_t
cs_request_queue_expected_wait (const cs_request_queue_t *queue,
                                const cs_server_capacity_t *capacity,
                                const cs_queued_request_t *request,
                                cs_usec_t now)
{
  cs_usec_t service_time_ahead = 0, slot_wait = 0, turn_wait = 0;
  int64_t free_slots = capacity->slots - capacity->running, ahead = 0;
  for (const GList *at = queue->requests.head; at; at = at->next)
    {
      const cs_queued_request_t *queued = at->data;
      if (queued != request && !runs_before (request, queued, now))
        {
          service_time_ahead += queued->expected_service_time;
          ahead++;
        }
    }
  if (ahead >= free_slots)
    slot_wait = (service_time_ahead + capacity->mean_service_time)
                / MAX (capacity->slots, 1);
  if (capacity->limit)
    turn_wait = cs_server_limit_wait (capacity->limit, ahead, now);
  return MAX (slot_wait, turn_wait);
}

bool
cs_request_queue_try_push (cs_request_queue_t *queue,
                           cs_queued_request_t *request,
                           const cs_server_capacity_t *capacity, cs_usec_t now,
                           cs_usec_t *expected_wait)
{
  *expected_wait
      = cs_request_queue_expected_wait (queue, capacity, request, now);
  bool admit;
  if (*expected_wait == 0)
    admit = now + request->expected_service_time * MIN_TIME_LEFT_PERCENT / 100
            <= request->deadline;
  else if (meets_target (request, now + *expected_wait))
    admit = true;
  else
    admit = now + *expected_wait + request->expected_service_time
                <= request->deadline
            && *expected_wait
                   <= request->latency_target * LATE_WAIT_MAX_PERCENT / 100;
  if (!admit)
    return false;
  request->link = (GList){ .data = request };
  g_queue_push_tail_link (&queue->requests, &request->link);
  return true;
}

cs_queued_request_t *
cs_request_queue_pop (cs_request_queue_t *queue, cs_usec_t now)
{
  cs_queued_request_t *best = NULL;
  for (GList *at = queue->requests.head; at; at = at->next)
    if (!best || runs_before (at->data, best, now))
      best = at->data;
  if (best)
    cs_request_queue_remove (queue, best);
  return best;
}

cs_queued_request_t *
cs_request_queue_pop_expired (cs_request_queue_t *queue, cs_usec_t now)
{
  for (GList *at = queue->requests.head; at; at = at->next)
    {
      cs_queued_request_t *request = at->data;
      if (now + request->expected_service_time * MIN_TIME_LEFT_PERCENT / 100
              > request->deadline
          || (!meets_target (request, now)
              && now - request->arrived_at
                     > request->latency_target * LATE_WAIT_MAX_PERCENT / 100))
        {
          cs_request_queue_remove (queue, request);
          return request;
        }
    }
  return NULL;
}

void
cs_request_queue_remove (cs_request_queue_t *queue,
                         cs_queued_request_t *request)
{
  g_queue_unlink (&queue->requests, &request->link);
}

cs_queued_request_t *
cs_request_queue_pop_any (cs_request_queue_t *queue)
{
  GList *link = g_queue_pop_head_link (&queue->requests);
  return link ? link->data : NULL;
}

unsigned
cs_request_queue_length (const cs_request_queue_t *queue)
{
  return queue->requests.length;
}
