#include <glib.h>

#include "cardamom/budget.h"

/* Share of the allowance that nodes use: the requests that they count differ a
   little from those that arrive, and a node that has just started has counted
   none.  */
#define USABLE_SHARE 0.8
#define FAILURE_RATE_WEIGHT 0.02 /* Of one request in the moving average.  */
/* More than a few failing servers among many account for.  */
#define SERVICE_WIDE_FAILURE_RATE 0.15

static void
advance_slices (cs_budget_t *budget, const cs_budget_terms_t *settings,
                cs_usec_t now)
{
  int64_t slice = now / MAX (settings->window / CS_BUDGET_SLICES, 1);
  if (slice - budget->slice > CS_BUDGET_SLICES)
    budget->slice = slice - CS_BUDGET_SLICES;
  while (budget->slice < slice)
    {
      budget->slice++;
      budget->requests[budget->slice % CS_BUDGET_SLICES] = 0;
      budget->repeats[budget->slice % CS_BUDGET_SLICES] = 0;
    }
}

static void
sum_slices (const cs_budget_t *budget, double *requests, double *retries)
{
  *requests = *retries = 0;
  for (int i = 0; i < CS_BUDGET_SLICES; i++)
    {
      *requests += budget->requests[i];
      *retries += budget->repeats[i];
    }
}

double
cs_budget_part (cs_budget_t *budget, const cs_budget_terms_t *settings,
                cs_usec_t now)
{
  double requests, retries;
  advance_slices (budget, settings, now);
  sum_slices (budget, &requests, &retries);
  return retries > 0 ? retries / (requests + retries) : 0;
}

void
cs_budget_request (cs_budget_t *budget, const cs_budget_terms_t *settings,
                   double caller_share, cs_usec_t now)
{
  advance_slices (budget, settings, now);
  budget->requests[budget->slice % CS_BUDGET_SLICES]++;
  budget->repeats[budget->slice % CS_BUDGET_SLICES] += caller_share;
}

void
cs_budget_ended (cs_budget_t *budget, bool failed)
{
  budget->failing
      += FAILURE_RATE_WEIGHT * ((failed ? 1.0 : 0.0) - budget->failing);
}

bool
cs_budget_may_help (const cs_budget_t *budget)
{
  return budget->failing < SERVICE_WIDE_FAILURE_RATE;
}

bool
cs_budget_repeat (cs_budget_t *budget, const cs_budget_terms_t *settings,
                  unsigned nodes, cs_usec_t now)
{
  double requests, retries;
  advance_slices (budget, settings, now);
  sum_slices (budget, &requests, &retries);
  double allowed
      = USABLE_SHARE
        * (settings->ratio * requests + settings->slack / MAX (nodes, 1));
  if (retries + 1 > allowed)
    return false;
  budget->repeats[budget->slice % CS_BUDGET_SLICES] += 1;
  return true;
}
