/* The queue of the node beside a backend server.

   The load pattern it answers: more requests than slots for seconds on end,
   of kinds with different priority, target and limit.  A request is queued
   only while it is expected to end in time, so that those that are served are
   served within their target and the others learn at once when to come back;
   the more urgent go first, and within a priority those that can still meet
   their target, the nearest target before the others: calls that a running
   request makes have near targets, and their failure would throw away a
   slot's work.  */
#ifndef CARDAMOM_WAITING_H
#define CARDAMOM_WAITING_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "cardamom/clock.h"

/* A request that waits; embedded by its owner.  */
typedef struct
{
  GList link;       /* The queue's own.  */
  int64_t priority; /* 0 goes first.  */
  cs_usec_t arrived;
  cs_usec_t target;      /* Absolute end that earns full benefit.  */
  cs_usec_t full_target; /* Time that a request of its kind has to it.  */
  cs_usec_t limit;       /* Absolute end of the request.  */
  cs_usec_t work;        /* Expected run time.  */
} cs_waiter_t;

typedef struct
{
  GQueue waiters;
} cs_waiting_t;

/* The server's side of the decision.  */
typedef struct
{
  int64_t slots, running;
  cs_usec_t slot_time; /* Mean time that a run holds a slot.  */
} cs_waiting_room_t;

/* How long WAITER, in the queue or not, has to wait for a slot behind those
   that go before it.  */
cs_usec_t cs_waiting_estimate (const cs_waiting_t *waiting,
                               const cs_waiting_room_t *room,
                               const cs_waiter_t *waiter, cs_usec_t now);

/* Queue WAITER if it is expected to end in time.  *WAIT gets the expected
   wait, also on refusal.  */
bool cs_waiting_offer (cs_waiting_t *waiting, cs_waiter_t *waiter,
                       const cs_waiting_room_t *room, cs_usec_t now,
                       cs_usec_t *wait);

/* Take out the waiter to run next, NULL when there is none.  */
cs_waiter_t *cs_waiting_next (cs_waiting_t *waiting, cs_usec_t now);

/* Take out a waiter that cannot end in time any more and has been kept long
   enough, NULL when there is none.  */
cs_waiter_t *cs_waiting_expired (cs_waiting_t *waiting, cs_usec_t now);

/* Take out WAITER, or any one (NULL when there is none).  */
void cs_waiting_remove (cs_waiting_t *waiting, cs_waiter_t *waiter);
cs_waiter_t *cs_waiting_any (cs_waiting_t *waiting);

unsigned cs_waiting_count (const cs_waiting_t *waiting);

#endif
