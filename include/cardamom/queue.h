/* A queue between threads.  */
#ifndef CARDAMOM_QUEUE_H
#define CARDAMOM_QUEUE_H

#include <glib.h>
#include <pthread.h>

#include "cardamom/clock.h"

typedef struct
{
  pthread_mutex_t lock;
  pthread_cond_t filled;
  GQueue items;
} cs_queue_t;

/* Initialise QUEUE; clear it when no thread uses it any more.  Items left in
   it stay their owners'.  */
void cs_queue_init (cs_queue_t *queue);
void cs_queue_clear (cs_queue_t *queue);

/* Append ITEM, which must not be NULL.  */
void cs_queue_push (cs_queue_t *queue, void *item);

/* Take the oldest item, waiting for one.  */
void *cs_queue_pop (cs_queue_t *queue);

/* Take the oldest item, waiting until DEADLINE of the system's monotonic
   clock at most; NULL when none came.  */
void *cs_queue_pop_until (cs_queue_t *queue, cs_usec_t deadline);

#endif
