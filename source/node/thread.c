/* Threads and what each of them owns: a context and its place among the
   readers of the routing view.  */
#include <stdlib.h>
#include <time.h>

#include "node.h"
#include "rcu.h"

#ifdef __SANITIZE_THREAD__
char cs_rcu_domain;
#endif

static pthread_key_t ctx_key;
static pthread_once_t key_once = PTHREAD_ONCE_INIT;
static __thread cs_ctx_t *own_ctx;
static pthread_mutex_t clone_lock = PTHREAD_MUTEX_INITIALIZER;

static void
end_thread (void *ctx)
{
  cs_ctx_drop (ctx);
  rcu_unregister_thread ();
}

static void
make_key (void)
{
  pthread_key_create (&ctx_key, end_thread);
}

cs_ctx_t *
node_thread_ctx (node_t *node)
{
  if (own_ctx)
    return own_ctx;
  pthread_once (&key_once, make_key);
  pthread_mutex_lock (&clone_lock);
  own_ctx = cs_ctx_clone (node->ctx);
  pthread_mutex_unlock (&clone_lock);
  pthread_setspecific (ctx_key, own_ctx);
  rcu_register_thread ();
  return own_ctx;
}

pthread_t
node_thread (void *(*run) (void *), void *arg)
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
cpu_meter_note (cpu_meter_t *cpu)
{
  struct timespec now;
  clock_gettime (CLOCK_THREAD_CPUTIME_ID, &now);
  int64_t us = (int64_t)now.tv_sec * CS_SEC + now.tv_nsec / 1000;
  cs_counter_add (CS_C_CONTROL_CPU_US, (uint64_t)(us - cpu->noted_us));
  cpu->noted_us = us;
}
