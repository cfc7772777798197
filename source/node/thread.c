/* Creation of threads, and the state of each thread: its context and its
   registration as an RCU reader of the routing view.  */
#include <stdlib.h>
#include <time.h>

#include "node.h"
#include "rcu.h"

#ifdef __SANITIZE_THREAD__
char cs_rcu_domain;
#endif

static pthread_key_t ctx_key;
static pthread_once_t ctx_key_once = PTHREAD_ONCE_INIT;
static __thread cs_ctx_t *thread_ctx;
/* For the main thread's context, which every thread clones.  */
static pthread_mutex_t clone_lock = PTHREAD_MUTEX_INITIALIZER;

static void
on_thread_exit (void *ctx)
{
  cs_ctx_drop (ctx);
  rcu_unregister_thread ();
}

static void
create_ctx_key (void)
{
  pthread_key_create (&ctx_key, on_thread_exit);
}

cs_ctx_t *
node_thread_ctx (node_t *node)
{
  if (thread_ctx)
    return thread_ctx;
  pthread_once (&ctx_key_once, create_ctx_key);
  pthread_mutex_lock (&clone_lock);
  thread_ctx = cs_ctx_clone (node->ctx);
  pthread_mutex_unlock (&clone_lock);
  pthread_setspecific (ctx_key, thread_ctx);
  rcu_register_thread ();
  return thread_ctx;
}

pthread_t
node_thread_create (void *(*run) (void *), void *arg)
{
  pthread_t thread;
  pthread_attr_t attr;
  pthread_attr_init (&attr);
  pthread_attr_setstacksize (&attr, THREAD_STACK_BYTES);
  if (pthread_create (&thread, &attr, run, arg) != 0)
    abort ();
  pthread_attr_destroy (&attr);
  return thread;
}

void
cpu_meter_update (cpu_meter_t *meter)
{
  struct timespec now;
  clock_gettime (CLOCK_THREAD_CPUTIME_ID, &now);
  int64_t cpu_time_us = (int64_t)now.tv_sec * CS_SEC + now.tv_nsec / 1000;
  cs_counter_add (CS_C_CONTROL_CPU_US,
                  (uint64_t)(cpu_time_us - meter->counted_us));
  meter->counted_us = cpu_time_us;
}
