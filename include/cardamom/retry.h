/* Deciding whether a failed attempt is retried, within a retry budget.  */
#ifndef CARDAMOM_RETRY_H
#define CARDAMOM_RETRY_H

#include <pthread.h>
#include <stdbool.h>

#include "cardamom/context.h"

/* Whether an attempt without success ran at the upstream.  */
typedef enum
{
  CS_RUN_NOT,    /* It certainly did not run.  */
  CS_RUN_MAYBE,  /* Unknown: no complete answer was received.  */
  CS_RUN_FAILED, /* It ran and the upstream answered with an error.  */
  CS_RUN_CRASHED /* The upstream's process died while running it.  */
} cs_run_state_t;

/* Input of cs_retry_decide.  */
typedef struct
{
  cs_run_state_t run;
  bool shed; /* The upstream was reached and refused because of load.  */
  bool idempotent;
  bool first_layer; /* The call did not come through another node; only such a
                       call is retried after it may have run, or nested
                       calls would multiply retries.  */
  int attempts;     /* Attempts made so far.  */
  int max_attempts; /* As the service configures it.  */
  cs_usec_t remaining; /* Until the caller's deadline.  */
  cs_usec_t needed;    /* Usual duration of an attempt.  */
} cs_retry_facts_t;

typedef enum
{
  CS_RETRY_YES,
  CS_RETRY_UNSAFE,   /* Might run a non-idempotent request twice, or crash a
                        further upstream.  */
  CS_RETRY_LAYER,    /* Left to the node that took the call.  */
  CS_RETRY_ATTEMPTS, /* max_attempts is reached.  */
  CS_RETRY_DEADLINE, /* Too little time is left for an attempt.  */
  CS_RETRY_BUDGET    /* The retry budget is exhausted.  */
} cs_retry_verdict_t;

/* A token bucket that bounds retries to a share of calls, plus a small burst.
   One per service on a node; thread safe.  */
typedef struct
{
  pthread_mutex_t lock;
  double tokens;
  double ratio; /* Tokens added per call.  */
  double burst; /* Capacity of the bucket.  */
} cs_retry_budget_t;

/* Initialise BUDGET for PERCENT retries per 100 calls; at 0 only retries that
   need no token are allowed.  */
void cs_retry_budget_init (cs_retry_budget_t *budget, int64_t percent);
/* Change the share; tokens that were accumulated remain.  */
void cs_retry_budget_set (cs_retry_budget_t *budget, int64_t percent);
void cs_retry_budget_clear (cs_retry_budget_t *budget);

/* Credit BUDGET with one incoming call.  */
void cs_retry_budget_call (cs_retry_budget_t *budget);

/* Decide whether to retry, and take a token from BUDGET on CS_RETRY_YES.  The
   retry of an attempt that put no load on an upstream, such as one whose node
   could not be reached, needs no token.  */
cs_retry_verdict_t cs_retry_decide (cs_retry_budget_t *budget,
                                    const cs_retry_facts_t *params);

/* The name of DECISION in logs.  */
const char *cs_retry_verdict_name (cs_retry_verdict_t decision);

#endif
