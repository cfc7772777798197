/* Deciding whether a failed attempt is retried, within a retry budget.  */
#ifndef CARDAMOM_RETRY_H
#define CARDAMOM_RETRY_H

#include <pthread.h>
#include <stdbool.h>

#include "cardamom/context.h"

/* Whether an attempt without success ran at the upstream.  */
typedef enum
{
  CS_RUN_NOT_STARTED, /* It certainly did not run.  */
  CS_RUN_UNKNOWN,     /* Unknown: no complete answer was received.  */
  CS_RUN_FAILED,      /* It ran and the upstream answered with an error.  */
  CS_RUN_CRASHED      /* The upstream's process died while running it.  */
} cs_run_state_t;

/* Input of cs_retry_decide.  */
typedef struct
{
  cs_run_state_t run_state;
  bool shed; /* The upstream was reached and refused because of load.  */
  bool idempotent;
  /* The call did not come through another node; only such a call is retried
     after it may have run, or nested calls would multiply retries.  */
  bool first_hop;
  int attempts;             /* Attempts made so far.  */
  int max_attempts;         /* As the service configures it.  */
  cs_usec_t time_remaining; /* Until the caller's deadline.  */
  cs_usec_t expected_time;  /* Usual duration of an attempt.  */
} cs_retry_params_t;

typedef enum
{
  CS_RETRY_ALLOWED,
  CS_RETRY_UNSAFE, /* Might run a non-idempotent request twice, or crash a
                      further upstream.  */
  CS_RETRY_NOT_FIRST_HOP,      /* Left to the first node of the call.  */
  CS_RETRY_ATTEMPTS_EXHAUSTED, /* max_attempts is reached.  */
  CS_RETRY_NO_TIME,            /* Too little time is left for an attempt.  */
  CS_RETRY_BUDGET_EXHAUSTED    /* The retry budget is exhausted.  */
} cs_retry_decision_t;

/* A token bucket that bounds retries to a share of calls, plus a small burst.
   One per service on a node; thread safe.  */
typedef struct
{
  pthread_mutex_t lock;
  double tokens;
  double tokens_per_call; /* Tokens added per call.  */
  double max_tokens;      /* Capacity of the bucket.  */
} cs_retry_budget_t;

/* Initialise BUDGET for PERCENT retries per 100 calls; at 0 only retries that
   need no token are allowed.  */
void cs_retry_budget_init (cs_retry_budget_t *budget, int64_t percent);
/* Change the share; tokens that were accumulated remain.  */
void cs_retry_budget_set_percent (cs_retry_budget_t *budget, int64_t percent);
void cs_retry_budget_clear (cs_retry_budget_t *budget);

/* Credit BUDGET with one incoming call.  */
void cs_retry_budget_add_call (cs_retry_budget_t *budget);

/* Decide whether to retry, and take a token from BUDGET on CS_RETRY_ALLOWED.
   The retry of an attempt that put no load on an upstream, such as one whose
   node could not be reached, needs no token.  */
cs_retry_decision_t cs_retry_decide (cs_retry_budget_t *budget,
                                     const cs_retry_params_t *params);

/* The name of DECISION in logs.  */
const char *cs_retry_decision_name (cs_retry_decision_t decision);

#endif
