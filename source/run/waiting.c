#include "cardamom/waiting.h"

/* Part of the expected run time that must be left at the limit: a run that
   is shorter than expected may still end.  */
#define WORK_LEFT_PERCENT 60
/* Waiters that miss their target, for each slot: enough to fill a slot that
   comes free, not enough to hold callers for long.  */
#define LATE_PER_SLOT_PERCENT 50

static bool
goes_first (const cs_waiter_t *a, const cs_waiter_t *b, cs_usec_t now)
{
  if (a->priority != b->priority)
    return a->priority < b->priority;
  bool late_a = now + a->work > a->target, late_b = now + b->work > b->target;
  if (late_a != late_b)
    return !late_a;
  return late_a ? a->limit < b->limit : a->target < b->target;
}

cs_usec_t
cs_waiting_estimate (const cs_waiting_t *waiting,
                     const cs_waiting_room_t *room,
                     const cs_waiter_t *waiter, cs_usec_t now)
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

static int64_t
count_late (const cs_waiting_t *waiting, cs_usec_t now)
{
  int64_t late = 0;
  for (const GList *at = waiting->waiters.head; at; at = at->next)
    {
      const cs_waiter_t *w = at->data;
      late += now + w->work > w->target;
    }
  return late;
}

bool
cs_waiting_offer (cs_waiting_t *waiting, cs_waiter_t *w,
                  const cs_waiting_room_t *room, cs_usec_t now,
                  cs_usec_t *wait)
{
  *wait = cs_waiting_estimate (waiting, room, w, now);
  cs_usec_t end = now + *wait + w->work;
  bool admit = *wait == 0 ? now + w->work * WORK_LEFT_PERCENT / 100 <= w->limit
               : end <= w->target ? true
                              : end <= w->limit
                                    && count_late (waiting, now) * 100
                                           < room->slots
                                                 * LATE_PER_SLOT_PERCENT;
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
      if (now + w->work * WORK_LEFT_PERCENT / 100 > w->limit)
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
