#include "cardamom/waiting.h"

/* Part of the expected run time that must be left at the limit: a run that
   is shorter than expected may still end.  */
#define WORK_LEFT_PERCENT 60
/* Part of its target for which a request that misses it is kept waiting for a
   free slot, before it is told to come back.  */
#define LATE_HOLD_PERCENT 12

/* Part of the expected run time that must fit before the target: half of all
   runs take longer than expected, and when the queue is full every run starts
   as late as it may.  */
#define WORK_SURE_PERCENT 150

/* Whether W, started at START, is expected to end within its target.  */
static bool
makes_target (const cs_waiter_t *w, cs_usec_t start)
{
  return start + w->work * WORK_SURE_PERCENT / 100 <= w->target;
}

static bool
goes_first (const cs_waiter_t *a, const cs_waiter_t *b, cs_usec_t now)
{
  if (a->priority != b->priority)
    return a->priority < b->priority;
  bool late_a = !makes_target (a, now), late_b = !makes_target (b, now);
  if (late_a != late_b)
    return !late_a;
  return late_a ? a->limit < b->limit : a->target < b->target;
}

cs_usec_t
cs_waiting_estimate (const cs_waiting_t *waiting,
                     const cs_waiting_room_t *room, const cs_waiter_t *waiter,
                     cs_usec_t now)
{
  cs_usec_t ahead = 0;
  int64_t free = room->slots - room->running;
  for (const GList *at = waiting->waiters.head; at; at = at->next)
    {
      const cs_waiter_t *w = at->data;
      if (w != waiter && !goes_first (waiter, w, now))
        {
          ahead += w->work;
          free--;
        }
    }
  if (free > 0)
    return 0;
  return (ahead + room->slot_time) / MAX (room->slots, 1);
}

bool
cs_waiting_offer (cs_waiting_t *waiting, cs_waiter_t *w,
                  const cs_waiting_room_t *room, cs_usec_t now,
                  cs_usec_t *wait)
{
  *wait = cs_waiting_estimate (waiting, room, w, now);
  bool admit;
  if (*wait == 0)
    admit = now + w->work * WORK_LEFT_PERCENT / 100 <= w->limit;
  else if (makes_target (w, now + *wait))
    admit = true;
  else
    admit = now + *wait + w->work <= w->limit
            && *wait <= w->full_target * LATE_HOLD_PERCENT / 100;
  if (!admit)
    return false;
  w->link = (GList){ .data = w };
  g_queue_push_tail_link (&waiting->waiters, &w->link);
  return true;
}

cs_waiter_t *
cs_waiting_next (cs_waiting_t *waiting, cs_usec_t now)
{
  cs_waiter_t *best = NULL;
  for (GList *at = waiting->waiters.head; at; at = at->next)
    if (!best || goes_first (at->data, best, now))
      best = at->data;
  if (best)
    cs_waiting_remove (waiting, best);
  return best;
}

cs_waiter_t *
cs_waiting_expired (cs_waiting_t *waiting, cs_usec_t now)
{
  for (GList *at = waiting->waiters.head; at; at = at->next)
    {
      cs_waiter_t *w = at->data;
      if (now + w->work * WORK_LEFT_PERCENT / 100 > w->limit
          || (!makes_target (w, now)
              && now - w->arrived > w->full_target * LATE_HOLD_PERCENT / 100))
        {
          cs_waiting_remove (waiting, w);
          return w;
        }
    }
  return NULL;
}

void
cs_waiting_remove (cs_waiting_t *waiting, cs_waiter_t *waiter)
{
  g_queue_unlink (&waiting->waiters, &waiter->link);
}

cs_waiter_t *
cs_waiting_any (cs_waiting_t *waiting)
{
  GList *link = g_queue_pop_head_link (&waiting->waiters);
  return link ? link->data : NULL;
}

unsigned
cs_waiting_count (const cs_waiting_t *waiting)
{
  return waiting->waiters.length;
}
