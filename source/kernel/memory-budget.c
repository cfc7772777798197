#include "cardamom/memory-budget.h"

/* Large bodies may use so many parts of so many.  */
#define LARGE_PARTS 7
#define PARTS 8

bool
cs_memory_budget_has_room (const cs_memory_budget_t *budget, int64_t bytes,
                           bool small)
{
  int64_t limit = small ? budget->limit : budget->limit / PARTS * LARGE_PARTS;
  return !budget->limit || budget->used + bytes <= limit;
}

bool
cs_memory_budget_take (cs_memory_budget_t *budget, int64_t bytes, bool small)
{
  while (!cs_memory_budget_has_room (budget, bytes, small))
    if (!budget->make_room || !budget->make_room (budget->user))
      return false;
  budget->used += bytes;
  return true;
}

void
cs_memory_budget_make_room (cs_memory_budget_t *budget)
{
  cs_memory_budget_take (budget, 0, false);
}

void
cs_memory_budget_release (cs_memory_budget_t *budget, int64_t bytes)
{
  budget->used -= bytes;
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
