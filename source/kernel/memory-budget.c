#include "cardamom/memory-budget.h"

/* Large bodies may use so many parts of so many.  */
#define LARGE_PARTS 7
#define PARTS 8

/* Whether BUDGET allows USED bytes in all.  */
static bool
allows (const cs_memory_budget_t *budget, int64_t used, bool small)
{
  int64_t limit = small ? budget->limit : budget->limit / PARTS * LARGE_PARTS;
  return !budget->limit || used <= limit;
}

bool
cs_memory_budget_has_room (const cs_memory_budget_t *budget, int64_t bytes,
                           bool small)
{
  return allows (budget, budget->used + bytes, small);
}

bool
cs_memory_budget_may_fit (const cs_memory_budget_t *budget, int64_t bytes)
{
  return !budget || allows (budget, bytes, false);
}

bool
cs_memory_budget_try_take (cs_memory_budget_t *budget, int64_t bytes,
                           bool small)
{
  int64_t used = atomic_fetch_add (&budget->used, bytes) + bytes;
  if (allows (budget, used, small))
    return true;
  cs_memory_budget_release (budget, bytes);
  return false;
}

bool
cs_memory_budget_take (cs_memory_budget_t *budget, int64_t bytes, bool small)
{
  while (!cs_memory_budget_try_take (budget, bytes, small))
    if (!budget->make_room || !budget->make_room (budget->user))
      return false;
  return true;
}

void
cs_memory_budget_make_room (cs_memory_budget_t *budget, int64_t bytes)
{
  while (!cs_memory_budget_has_room (budget, bytes, false) && budget->make_room
         && budget->make_room (budget->user))
    continue;
}

void
cs_memory_budget_count (cs_memory_budget_t *budget, int64_t bytes)
{
  if (budget)
    budget->used += bytes;
}

void
cs_memory_budget_release (cs_memory_budget_t *budget, int64_t bytes)
{
  cs_memory_budget_count (budget, -bytes);
}

typedef struct
{
  cs_memory_budget_t *budget;
  char *data;
  int64_t len;
} shared_t;

static void
free_shared (void *data)
{
  shared_t *shared = data;
  cs_memory_budget_release (shared->budget, shared->len);
  g_free (shared->data);
  g_free (shared);
}

GBytes *
cs_memory_budget_share (cs_memory_budget_t *budget, GString *string)
{
  shared_t *shared = g_new (shared_t, 1);
  shared->budget = budget;
  shared->len = (int64_t)string->len;
  shared->data = g_string_free (string, FALSE);
  return g_bytes_new_with_free_func (shared->data, (gsize)shared->len,
                                     free_shared, shared);
}
