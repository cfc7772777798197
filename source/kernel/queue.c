#include <time.h>

#include "cardamom/queue.h"

void
cs_queue_init (cs_queue_t *queue)
{
  pthread_condattr_t attr;
  pthread_condattr_init (&attr);
  pthread_condattr_setclock (&attr, CLOCK_MONOTONIC);
  pthread_mutex_init (&queue->lock, NULL);
  pthread_cond_init (&queue->not_empty, &attr);
  pthread_condattr_destroy (&attr);
  g_queue_init (&queue->items);
}

void
cs_queue_clear (cs_queue_t *queue)
{
  g_queue_clear (&queue->items);
  pthread_cond_destroy (&queue->not_empty);
  pthread_mutex_destroy (&queue->lock);
}

void
cs_queue_push (cs_queue_t *queue, void *item)
{
  pthread_mutex_lock (&queue->lock);
  g_queue_push_tail (&queue->items, item);
  pthread_cond_signal (&queue->not_empty);
  pthread_mutex_unlock (&queue->lock);
}

void *
cs_queue_pop (cs_queue_t *queue)
{
  pthread_mutex_lock (&queue->lock);
  while (g_queue_is_empty (&queue->items))
    pthread_cond_wait (&queue->not_empty, &queue->lock);
  void *item = g_queue_pop_head (&queue->items);
  pthread_mutex_unlock (&queue->lock);
  return item;
}

void *
cs_queue_pop_until (cs_queue_t *queue, cs_usec_t deadline)
{
  struct timespec until
      = { .tv_sec = deadline / CS_SEC, .tv_nsec = (deadline % CS_SEC) * 1000 };
  int code = 0;
  pthread_mutex_lock (&queue->lock);
  while (g_queue_is_empty (&queue->items) && code == 0)
    code = pthread_cond_timedwait (&queue->not_empty, &queue->lock, &until);
  void *item = g_queue_pop_head (&queue->items);
  pthread_mutex_unlock (&queue->lock);
  return item;
}
