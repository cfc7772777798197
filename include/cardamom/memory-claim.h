/* Memory that one large answer claims from a budget, from before it is read
   until its last reference is dropped.  A claim that has no room waits, and
   what it is for is not read meanwhile.  */
#ifndef CARDAMOM_MEMORY_CLAIM_H
#define CARDAMOM_MEMORY_CLAIM_H

#include <stdatomic.h>

#include "cardamom/context.h"
#include "cardamom/memory-budget.h"

/* The owner makes a claim that has waited for so long the first.  */
#define CS_CLAIM_WAIT_MAX (1 * CS_SEC)

typedef struct cs_claim cs_claim_t;

/* The claims of one kind, which may wait for each other.  One of them at a
   time may exceed the budget, by a quarter of it at the most, so that claims
   which together fill the budget don't wait for ever.  Any thread may use it,
   but only one sets FIRST.  */
typedef struct
{
  cs_memory_budget_t *budget; /* Borrowed; NULL: nothing is counted.  */
  atomic_bool overdrawn;      /* A claim exceeds the budget.  */
  /* Set by the owner: other large claims get nothing before this one, which
     has waited for long; NULL: none.  */
  _Atomic (const cs_claim_t *) first;
} cs_claims_t;

struct cs_claim
{
  cs_claims_t *claims; /* Borrowed; NULL: nothing is counted.  */
  int64_t bytes;       /* Counted in the budget.  */
  int64_t over;        /* Of them, those that exceed the budget.  */
  bool overdrawn;      /* It is the one that may.  */
};

/* Let CLAIM have BYTES in all.  Up to CS_SMALL_BODY_MAX it always may; false,
   and nothing changes, if it has to wait.  */
bool cs_claim_grow (cs_claim_t *claim, int64_t bytes);

/* Count BYTES in all, which are there already.  */
void cs_claim_count (cs_claim_t *claim, int64_t bytes);

/* The memory of CLAIM is free again; it may be used anew.  */
void cs_claim_release (cs_claim_t *claim);

/* STRING as shared bytes, which take CLAIM over until the last reference is
   dropped.  Takes ownership of STRING; CLAIM is empty afterwards.  */
GBytes *cs_claim_share (cs_claim_t *claim, GString *string);

/* BYTES, with CLAIM taken over until their last reference is dropped; BYTES
   itself if CLAIM is empty.  Takes ownership of BYTES.  */
GBytes *cs_claim_hold (cs_claim_t *claim, GBytes *bytes);

/* The memory of CLAIM is counted elsewhere from now on.  If it exceeds the
   budget, no other one may until CLAIM is released.  */
void cs_claim_uncount (cs_claim_t *claim);

/* The same as cs_claim_grow, for a thread that may block: it waits for room
   until UNTIL, a monotonic time, while others make some.  */
bool cs_claim_wait (cs_ctx_t *ctx, cs_claim_t *claim, int64_t bytes,
                    cs_usec_t until);

#endif
