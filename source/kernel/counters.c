#include <pthread.h>
#include <stdatomic.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

#include "cardamom/counters.h"

/* The counters of one thread.  When the thread ends, a new one takes them over
   with their values; they are never freed, so that a sum never decreases.  */
typedef struct thread_counters thread_counters_t;

struct thread_counters
{
  _Atomic uint64_t cells[CS_COUNTER_COUNT];
  atomic_bool in_use; /* By a running thread.  */
  thread_counters_t *next;
};

static _Atomic (thread_counters_t *) all_counters;
static _Atomic uint64_t gauges[CS_COUNTER_COUNT];
/* Its destructor releases the counters of a thread that ends.  */
static pthread_key_t thread_key;
static pthread_once_t thread_key_once = PTHREAD_ONCE_INIT;
static __thread thread_counters_t *own_counters;

static const struct
{
  const char *name, *help;
} descriptions[CS_COUNTER_COUNT] = {
#define CS_COUNTER_ROW(id, name, help) [CS_C_##id] = { name, help },
  CS_COUNTER_TABLE (CS_COUNTER_ROW)
#undef CS_COUNTER_ROW
};

static void
release_counters (void *counters)
{
  atomic_store (&((thread_counters_t *)counters)->in_use, false);
}

static void
create_thread_key (void)
{
  pthread_key_create (&thread_key, release_counters);
}

static thread_counters_t *
acquire_counters (void)
{
  for (thread_counters_t *c = atomic_load (&all_counters); c; c = c->next)
    {
      bool expected = false;
      if (atomic_compare_exchange_strong (&c->in_use, &expected, true))
        return c;
    }
  thread_counters_t *created = calloc (1, sizeof *created);
  if (!created)
    abort ();
  atomic_store (&created->in_use, true);
  created->next = atomic_load (&all_counters);
  while (
      !atomic_compare_exchange_weak (&all_counters, &created->next, created))
    ;
  return created;
}

static thread_counters_t *
get_own_counters (void)
{
  if (own_counters)
    return own_counters;
  pthread_once (&thread_key_once, create_thread_key);
  own_counters = acquire_counters ();
  pthread_setspecific (thread_key, own_counters);
  return own_counters;
}

void
cs_counter_add (cs_counter_t counter, uint64_t n)
{
  /* Only this thread writes to the cell, so a load and a store suffice.  */
  _Atomic uint64_t *cell = &get_own_counters ()->cells[counter];
  uint64_t old = atomic_load_explicit (cell, memory_order_relaxed);
  atomic_store_explicit (cell, old + n, memory_order_relaxed);
}

void
cs_gauge_set (cs_counter_t counter, uint64_t value)
{
  atomic_store_explicit (&gauges[counter], value, memory_order_relaxed);
}

uint64_t
cs_counter_read (cs_counter_t counter)
{
  uint64_t sum = atomic_load (&gauges[counter]);
  for (thread_counters_t *c = atomic_load (&all_counters); c; c = c->next)
    sum += atomic_load_explicit (&c->cells[counter], memory_order_relaxed);
  return sum;
}

const char *
cs_counter_name (cs_counter_t counter)
{
  return descriptions[counter].name;
}

const char *
cs_counter_help (cs_counter_t counter)
{
  return descriptions[counter].help;
}

void
cs_counters_write (GString *out)
{
  for (int i = 0; i < CS_COUNTER_COUNT; i++)
    {
      const char *type = g_str_has_suffix (descriptions[i].name, "_total")
                             ? "counter"
                             : "gauge";
      g_string_append_printf (out, "# HELP %s %s\n# TYPE %s %s\n%s %llu\n",
                              descriptions[i].name, descriptions[i].help,
                              descriptions[i].name, type, descriptions[i].name,
                              (unsigned long long)cs_counter_read (i));
    }
}
