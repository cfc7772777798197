#include "cardamom/waiting.h"

/* Part of the expected service time that must be left before the deadline: a
   run that is shorter than expected may still meet it.  */
#define MIN_TIME_LEFT_PERCENT 60
/* Part of its latency target for which a request that will miss the target
   stays queued before it is refused.  */
#define LATE_WAIT_PERCENT 12

/* Part of the expected service time that must fit before the target: half of
   all runs take longer than expected, and when the queue is full every run
   starts as late as is allowed.  */
#define TARGET_MARGIN_PERCENT 150

/* Whether W, started at START, is expected to meet its latency target.  */
static bool
meets_target (const cs_waiter_t *w, cs_usec_t start)
{
  return start + w->work * TARGET_MARGIN_PERCENT / 100 <= w->target;
}

/* Whether A is to be run before B at NOW.  */
static bool
runs_before (const cs_waiter_t *a, const cs_waiter_t *b, cs_usec_t now)
{
  if (a->priority != b->priority)
    return a->priority < b->priority;
  bool late_a = !meets_target (a, now), late_b = !meets_target (b, now);
  if (late_a != late_b)
    return !late_a;
  return late_a ? a->limit < b->limit : a->target < b->target;
}

cs_usec_t
cs_waiting_estimate (const cs_waiting_t *queue,
                     const cs_waiting_room_t *capacity,
                     const cs_waiter_t *request, cs_usec_t now)
{
  cs_usec_t ahead = 0;
  int64_t free = capacity->slots - capacity->running;
  for (const GList *at = queue->waiters.head; at; at = at->next)
    {
      const cs_waiter_t *w = at->data;
      if (w != request && !runs_before (request, w, now))
        {
          ahead += w->work;
          free--;
        }
    }
  if (free > 0)
    return 0;
  return (ahead + capacity->slot_time) / MAX (capacity->slots, 1);
}

bool
cs_waiting_offer (cs_waiting_t *queue, cs_waiter_t *request,
                  const cs_waiting_room_t *capacity, cs_usec_t now,
                  cs_usec_t *expected_wait)
{
  *expected_wait = cs_waiting_estimate (queue, capacity, request, now);
  bool admit;
  if (*expected_wait == 0)
    admit
        = now + request->work * MIN_TIME_LEFT_PERCENT / 100 <= request->limit;
  else if (meets_target (request, now + *expected_wait))
    admit = true;
  else
    admit
        = now + *expected_wait + request->work <= request->limit
          && *expected_wait <= request->full_target * LATE_WAIT_PERCENT / 100;
  if (!admit)
    return false;
  request->link = (GList){ .data = request };
  g_queue_push_tail_link (&queue->waiters, &request->link);
  return true;
}

cs_waiter_t *
cs_waiting_next (cs_waiting_t *queue, cs_usec_t now)
{
  cs_waiter_t *best = NULL;
  for (GList *at = queue->waiters.head; at; at = at->next)
    if (!best || runs_before (at->data, best, now))
      best = at->data;
  if (best)
    cs_waiting_remove (queue, best);
  return best;
}

cs_waiter_t *
cs_waiting_expired (cs_waiting_t *queue, cs_usec_t now)
{
  for (GList *at = queue->waiters.head; at; at = at->next)
    {
      cs_waiter_t *w = at->data;
      if (now + w->work * MIN_TIME_LEFT_PERCENT / 100 > w->limit
          || (!meets_target (w, now)
              && now - w->arrived > w->full_target * LATE_WAIT_PERCENT / 100))
        {
          cs_waiting_remove (queue, w);
          return w;
        }
    }
  return NULL;
}

void
cs_waiting_remove (cs_waiting_t *queue, cs_waiter_t *request)
{
  g_queue_unlink (&queue->waiters, &request->link);
}

cs_waiter_t *
cs_waiting_any (cs_waiting_t *queue)
{
  GList *link = g_queue_pop_head_link (&queue->waiters);
  return link ? link->data : NULL;
}

unsigned
cs_waiting_count (const cs_waiting_t *queue)
{
  return queue->waiters.length;
}
