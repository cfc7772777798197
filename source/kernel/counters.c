#include <pthread.h>
#include <stdatomic.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

#include "cardamom/counters.h"

/* The counters of one thread.  Blocks are reused by later threads and never
   freed, so that sums never fall.  */
typedef struct block block_t;

struct block
{
  _Atomic uint64_t cells[CS_COUNTER_COUNT];
  atomic_bool used;
  block_t *next;
};

static _Atomic (block_t *) blocks;
static _Atomic uint64_t gauges[CS_COUNTER_COUNT];
static pthread_key_t block_key;
static pthread_once_t key_once = PTHREAD_ONCE_INIT;
static __thread block_t *own;

static const struct
{
  const char *name, *help;
} table[CS_COUNTER_COUNT] = {
#define CS_COUNTER_ROW(id, name, help) [CS_C_##id] = { name, help },
  CS_COUNTER_TABLE (CS_COUNTER_ROW)
#undef CS_COUNTER_ROW
};

static void
release_block (void *block)
{
  atomic_store (&((block_t *)block)->used, false);
}

static void
make_key (void)
{
  pthread_key_create (&block_key, release_block);
}

static block_t *
claim_block (void)
{
  for (block_t *b = atomic_load (&blocks); b; b = b->next)
    {
      bool free_block = false;
      if (atomic_compare_exchange_strong (&b->used, &free_block, true))
        return b;
    }
  block_t *made = calloc (1, sizeof *made);
  if (!made)
    abort ();
  atomic_store (&made->used, true);
  made->next = atomic_load (&blocks);
  while (!atomic_compare_exchange_weak (&blocks, &made->next, made))
    ;
  return made;
}

static block_t *
own_block (void)
{
  if (own)
    return own;
  pthread_once (&key_once, make_key);
  own = claim_block ();
  pthread_setspecific (block_key, own);
  return own;
}

void
cs_count (cs_counter_t counter, uint64_t n)
{
  _Atomic uint64_t *cell = &own_block ()->cells[counter];
  uint64_t old = atomic_load_explicit (cell, memory_order_relaxed);
  atomic_store_explicit (cell, old + n, memory_order_relaxed);
}

void
cs_gauge (cs_counter_t counter, uint64_t value)
{
  atomic_store_explicit (&gauges[counter], value, memory_order_relaxed);
}

uint64_t
cs_counter_read (cs_counter_t counter)
{
  uint64_t sum = atomic_load (&gauges[counter]);
  for (block_t *b = atomic_load (&blocks); b; b = b->next)
    sum += atomic_load_explicit (&b->cells[counter], memory_order_relaxed);
  return sum;
}

const char *
cs_counter_name (cs_counter_t counter)
{
  return table[counter].name;
}

const char *
cs_counter_help (cs_counter_t counter)
{
  return table[counter].help;
}

void
cs_counters_write (GString *out)
{
  for (int i = 0; i < CS_COUNTER_COUNT; i++)
    {
      const char *type
          = g_str_has_suffix (table[i].name, "_total") ? "counter" : "gauge";
      g_string_append_printf (out, "# HELP %s %s\n# TYPE %s %s\n%s %llu\n",
                              table[i].name, table[i].help, table[i].name,
                              type, table[i].name,
                              (unsigned long long)cs_counter_read (i));
    }
}
