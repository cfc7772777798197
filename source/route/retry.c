#include "cardamom/counters.h"
#include "cardamom/retry.h"

/* A token pays for one retry.  */
#define INITIAL_TOKENS 3.0 /* Tokens of a new budget, before any call.  */
#define MAX_TOKENS 10.0    /* Tokens that accumulate while unused.  */
/* Attempts, whatever their results, after which a crash ends the call.  A
   second crash shows that the request causes it.  */
#define CRASH_ATTEMPTS_MAX 2

void
cs_retry_budget_init (cs_retry_budget_t *budget, int64_t percent)
{
  pthread_mutex_init (&budget->lock, NULL);
  budget->tokens_per_call = (double)percent / 100.0;
  budget->max_tokens = percent > 0 ? MAX_TOKENS : 0.0;
  budget->tokens = percent > 0 ? INITIAL_TOKENS : 0.0;
}

void
cs_retry_budget_set_percent (cs_retry_budget_t *budget, int64_t percent)
{
  pthread_mutex_lock (&budget->lock);
  budget->tokens_per_call = (double)percent / 100.0;
  budget->max_tokens = percent > 0 ? MAX_TOKENS : 0.0;
  pthread_mutex_unlock (&budget->lock);
}

void
cs_retry_budget_clear (cs_retry_budget_t *budget)
{
  pthread_mutex_destroy (&budget->lock);
}

void
cs_retry_budget_add_call (cs_retry_budget_t *budget)
{
  pthread_mutex_lock (&budget->lock);
  budget->tokens
      = MIN (budget->tokens + budget->tokens_per_call, budget->max_tokens);
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

cs_retry_decision_t
cs_retry_decide (cs_retry_budget_t *budget, const cs_retry_params_t *params)
{
  if (params->run_state != CS_RUN_NOT_STARTED && !params->idempotent)
    return CS_RETRY_UNSAFE;
  if (params->run_state != CS_RUN_NOT_STARTED && !params->first_hop)
    return CS_RETRY_NOT_FIRST_HOP;
  if (params->attempts >= params->max_attempts)
    return CS_RETRY_ATTEMPTS_EXHAUSTED;
  if (params->run_state == CS_RUN_CRASHED
      && params->attempts >= CRASH_ATTEMPTS_MAX)
    return CS_RETRY_UNSAFE;
  if (params->time_remaining <= params->expected_time)
    return CS_RETRY_NO_TIME;
  bool adds_load = params->run_state != CS_RUN_NOT_STARTED || params->shed;
  if (adds_load && !take_token (budget))
    {
      cs_counter_add (CS_C_RETRIES_REFUSED, 1);
      return CS_RETRY_BUDGET_EXHAUSTED;
    }
  cs_counter_add (CS_C_RETRIES, 1);
  return CS_RETRY_ALLOWED;
}

const char *
cs_retry_decision_name (cs_retry_decision_t decision)
{
  static const char *const names[] = {
    [CS_RETRY_ALLOWED] = "yes",
    [CS_RETRY_UNSAFE] = "unsafe",
    [CS_RETRY_NOT_FIRST_HOP] = "layer",
    [CS_RETRY_ATTEMPTS_EXHAUSTED] = "attempts",
    [CS_RETRY_NO_TIME] = "deadline",
    [CS_RETRY_BUDGET_EXHAUSTED] = "budget",
  };
  return names[decision];
}
