#include "cardamom/counters.h"
#include "cardamom/retry.h"

#define BURST_MIN 3.0    /* Retries that even a quiet service may make.  */
#define BURST_MAX 10.0   /* Retries saved up in quiet times.  */
#define CRASH_ATTEMPTS 2 /* A second crash shows that the request does it. */

void
cs_retry_budget_init (cs_retry_budget_t *budget, int64_t percent)
{
  pthread_mutex_init (&budget->lock, NULL);
  budget->ratio = (double)percent / 100.0;
  budget->burst = percent > 0 ? BURST_MAX : 0.0;
  budget->tokens = percent > 0 ? BURST_MIN : 0.0;
}

void
cs_retry_budget_set (cs_retry_budget_t *budget, int64_t percent)
{
  pthread_mutex_lock (&budget->lock);
  budget->ratio = (double)percent / 100.0;
  budget->burst = percent > 0 ? BURST_MAX : 0.0;
  pthread_mutex_unlock (&budget->lock);
}

void
cs_retry_budget_clear (cs_retry_budget_t *budget)
{
  pthread_mutex_destroy (&budget->lock);
}

void
cs_retry_budget_call (cs_retry_budget_t *budget)
{
  pthread_mutex_lock (&budget->lock);
  budget->tokens = MIN (budget->tokens + budget->ratio, budget->burst);
  pthread_mutex_unlock (&budget->lock);
}

static bool
take_token (cs_retry_budget_t *budget)
{
  pthread_mutex_lock (&budget->lock);
  bool taken = budget->tokens >= 1.0;
  if (taken)
    budget->tokens -= 1.0;
  pthread_mutex_unlock (&budget->lock);
  return taken;
}

cs_retry_verdict_t
cs_retry_decide (cs_retry_budget_t *budget, const cs_retry_facts_t *facts)
{
  if (facts->run != CS_RUN_NOT && !facts->idempotent)
    return CS_RETRY_UNSAFE;
  if (facts->run != CS_RUN_NOT && !facts->first_layer)
    return CS_RETRY_LAYER;
  if (facts->attempts >= facts->max_attempts)
    return CS_RETRY_ATTEMPTS;
  if (facts->run == CS_RUN_CRASHED && facts->attempts >= CRASH_ATTEMPTS)
    return CS_RETRY_UNSAFE;
  if (facts->remaining <= facts->needed)
    return CS_RETRY_DEADLINE;
  bool loads = facts->run != CS_RUN_NOT || facts->shed;
  if (loads && !take_token (budget))
    {
      cs_count (CS_C_RETRIES_REFUSED, 1);
      return CS_RETRY_BUDGET;
    }
  cs_count (CS_C_RETRIES, 1);
  return CS_RETRY_YES;
}

const char *
cs_retry_verdict_name (cs_retry_verdict_t verdict)
{
  static const char *const names[] = {
    [CS_RETRY_YES] = "yes",           [CS_RETRY_UNSAFE] = "unsafe",
    [CS_RETRY_LAYER] = "layer",       [CS_RETRY_ATTEMPTS] = "attempts",
    [CS_RETRY_DEADLINE] = "deadline", [CS_RETRY_BUDGET] = "budget",
  };
  return names[verdict];
}
