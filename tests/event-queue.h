/* Events of a simulation, in the order of their times.  */
#ifndef TESTS_EVENT_QUEUE_H
#define TESTS_EVENT_QUEUE_H

#include <glib.h>

#include "cardamom/clock.h"

/* Handle the event of ITEM in SIMULATION, which was due at NOW.  */
typedef void (*event_run_t) (void *simulation, void *item, cs_usec_t now);

typedef struct
{
  cs_usec_t at;
  event_run_t run;
  void *item; /* Borrowed.  */
} event_t;

static inline gint
compare_events (gconstpointer a, gconstpointer b, gpointer user)
{
  cs_usec_t x = ((const event_t *)a)->at, y = ((const event_t *)b)->at;
  (void)user;
  return (x > y) - (x < y);
}

/* A queue to which events are added in any order; g_sequence_free frees it. */
static inline GSequence *
event_queue_new (void)
{
  return g_sequence_new (g_free);
}

static inline void
event_queue_add (GSequence *events, cs_usec_t at, event_run_t run, void *item)
{
  event_t *event = g_new (event_t, 1);
  *event = (event_t){ .at = at, .run = run, .item = item };
  g_sequence_insert_sorted (events, event, compare_events, NULL);
}

/* Run the events due until NOW, also those that they add.  */
static inline void
event_queue_run (GSequence *events, void *simulation, cs_usec_t now)
{
  while (!g_sequence_is_empty (events))
    {
      GSequenceIter *first = g_sequence_get_begin_iter (events);
      event_t event = *(event_t *)g_sequence_get (first);
      if (event.at > now)
        return;
      g_sequence_remove (first);
      event.run (simulation, event.item, event.at);
    }
}

#endif
