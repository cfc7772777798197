#include "cardamom/memory-claim.h"

/* A claim may exceed the budget by its limit divided by this.  */
#define OVERDRAFT_PARTS 4
#define WAIT_INTERVAL (5 * CS_MSEC)

/* NULL: nothing is counted.  */
static cs_memory_budget_t *
budget_of (const cs_claim_t *claim)
{
  return claim->claims ? claim->claims->budget : NULL;
}

/* Let CLAIM exceed the budget by MORE bytes, if no other one does.  */
static bool
overdraw (cs_claim_t *claim, int64_t more)
{
  cs_claims_t *claims = claim->claims;
  bool other = false;
  if (claim->over + more > claims->budget->limit / OVERDRAFT_PARTS)
    return false;
  if (!claim->overdrawn
      && !atomic_compare_exchange_strong (&claims->overdrawn, &other, true))
    return false;
  claim->overdrawn = true;
  claim->over += more;
  return true;
}

/* Count MORE bytes for CLAIM, within the budget or beyond it.  */
static bool
take (cs_claim_t *claim, int64_t more)
{
  cs_memory_budget_t *budget = claim->claims->budget;
  if (cs_memory_budget_try_take (budget, more, false))
    return true;
  if (!overdraw (claim, more))
    return false;
  cs_memory_budget_count (budget, more);
  return true;
}

bool
cs_claim_grow (cs_claim_t *claim, int64_t bytes)
{
  cs_memory_budget_t *budget = budget_of (claim);
  int64_t more = bytes - claim->bytes;
  if (more <= 0)
    return true;
  if (!budget || bytes <= CS_SMALL_BODY_MAX)
    {
      cs_claim_count (claim, bytes);
      return true;
    }
  const cs_claim_t *first = claim->claims->first;
  if ((first && first != claim) || !take (claim, more))
    {
      if (more > budget->wanted)
        budget->wanted = more;
      return false;
    }
  if (first)
    claim->claims->first = NULL;
  claim->bytes = bytes;
  return true;
}

bool
cs_claim_wait (cs_ctx_t *ctx, cs_claim_t *claim, int64_t bytes,
               cs_usec_t until)
{
  while (!cs_claim_grow (claim, bytes))
    {
      if (cs_now (ctx) >= until)
        return false;
      g_usleep (WAIT_INTERVAL);
    }
  return true;
}

void
cs_claim_count (cs_claim_t *claim, int64_t bytes)
{
  if (!claim->claims || bytes <= claim->bytes)
    return;
  cs_memory_budget_count (budget_of (claim), bytes - claim->bytes);
  claim->bytes = bytes;
}

void
cs_claim_uncount (cs_claim_t *claim)
{
  cs_memory_budget_release (budget_of (claim), claim->bytes);
  claim->bytes = 0;
}

void
cs_claim_release (cs_claim_t *claim)
{
  cs_claim_uncount (claim);
  if (claim->overdrawn)
    claim->claims->overdrawn = false;
  claim->over = 0;
  claim->overdrawn = false;
}

/* What a claim is held for.  */
typedef struct
{
  cs_claim_t claim;
  GBytes *bytes;
} held_t;

static void
free_held (void *data)
{
  held_t *held = data;
  g_bytes_unref (held->bytes);
  cs_claim_release (&held->claim);
  g_free (held);
}

GBytes *
cs_claim_hold (cs_claim_t *claim, GBytes *bytes)
{
  gsize len;
  const void *data = g_bytes_get_data (bytes, &len);
  if (!claim->bytes && !claim->overdrawn)
    return bytes;
  held_t *held = g_new (held_t, 1);
  held->claim = *claim;
  held->bytes = bytes;
  *claim = (cs_claim_t){ .claims = claim->claims };
  return g_bytes_new_with_free_func (data, len, free_held, held);
}

GBytes *
cs_claim_share (cs_claim_t *claim, GString *string)
{
  int64_t len = (int64_t)string->len;
  if (claim->bytes > len)
    {
      /* It was claimed ahead.  */
      cs_memory_budget_release (budget_of (claim), claim->bytes - len);
      claim->bytes = len;
    }
  return cs_claim_hold (claim, g_string_free_to_bytes (string));
}
