#include <glib.h>

#include "cardamom/budget.h"

/* Part of the allowance that is used: what the nodes count differs a little
   from what arrives, and one that has just started has counted nothing.  */
#define USED_SHARE 0.8
#define FAILING_WEIGHT 0.02 /* Of a run in the moving average.  */
/* More than a few failing servers among many explain.  */
#define FAILING_WHOLE 0.15

static void
move_to (cs_budget_t *b, const cs_budget_terms_t *terms, cs_usec_t now)
{
  int64_t slice = now / MAX (terms->window / CS_BUDGET_SLICES, 1);
  if (slice - b->slice > CS_BUDGET_SLICES)
    b->slice = slice - CS_BUDGET_SLICES;
  while (b->slice < slice)
    {
      b->slice++;
      b->requests[b->slice % CS_BUDGET_SLICES] = 0;
      b->repeats[b->slice % CS_BUDGET_SLICES] = 0;
    }
}

static void
sum (const cs_budget_t *b, double *requests, double *repeats)
{
  *requests = *repeats = 0;
  for (int i = 0; i < CS_BUDGET_SLICES; i++)
    {
      *requests += b->requests[i];
      *repeats += b->repeats[i];
    }
}

double
cs_budget_part (cs_budget_t *b, const cs_budget_terms_t *terms, cs_usec_t now)
{
  double requests, repeats;
  move_to (b, terms, now);
  sum (b, &requests, &repeats);
  return repeats > 0 ? repeats / (requests + repeats) : 0;
}

void
cs_budget_request (cs_budget_t *b, const cs_budget_terms_t *terms,
                   double caller_part, cs_usec_t now)
{
  move_to (b, terms, now);
  b->requests[b->slice % CS_BUDGET_SLICES]++;
  b->repeats[b->slice % CS_BUDGET_SLICES] += caller_part;
}

void
cs_budget_ended (cs_budget_t *b, bool failed)
{
  b->failing += FAILING_WEIGHT * ((failed ? 1.0 : 0.0) - b->failing);
}

bool
cs_budget_may_help (const cs_budget_t *b)
{
  return b->failing < FAILING_WHOLE;
}

bool
cs_budget_repeat (cs_budget_t *b, const cs_budget_terms_t *terms,
                  unsigned nodes, cs_usec_t now)
{
  double requests, repeats;
  move_to (b, terms, now);
  sum (b, &requests, &repeats);
  double allowed
      = USED_SHARE * (terms->ratio * requests + terms->slack / MAX (nodes, 1));
  if (repeats + 1 > allowed)
    return false;
  b->repeats[b->slice % CS_BUDGET_SLICES] += 1;
  return true;
}
