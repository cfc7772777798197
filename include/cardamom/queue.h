/* A blocking first-in, first-out queue between threads, without a limit on
   its length.  */
#ifndef CARDAMOM_QUEUE_H
#define CARDAMOM_QUEUE_H

#include <glib.h>
#include <pthread.h>

#include "cardamom/clock.h"

typedef struct
{
  pthread_mutex_t lock;
  pthread_cond_t not_empty; /* Signalled when an item was added.  */
  GQueue items;
} cs_queue_t;

/* Initialise QUEUE; clear it when no thread uses it any more.  Clearing does
   not free the items that are left.  */
void cs_queue_init (cs_queue_t *queue);
void cs_queue_clear (cs_queue_t *queue);

/* Append ITEM, which must not be NULL, and wake one waiting thread.  */
void cs_queue_push (cs_queue_t *queue, void *item);

/* Remove and return the oldest item; blocks while there is none.  */
void *cs_queue_pop (cs_queue_t *queue);

/* Remove and return the oldest item; blocks while there is none, but until
   DEADLINE (of CLOCK_MONOTONIC) at most.  NULL when the deadline passed.  */
void *cs_queue_pop_until (cs_queue_t *queue, cs_usec_t deadline);

#endif
