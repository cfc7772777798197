/* When an attempt is repeated.  */
#ifndef CARDAMOM_RETRY_H
#define CARDAMOM_RETRY_H

#include <pthread.h>
#include <stdbool.h>

#include "cardamom/context.h"

/* What is known of an attempt that did not succeed.  */
typedef enum
{
  CS_RUN_NOT,    /* It is proven not to have run.  */
  CS_RUN_MAYBE,  /* It may have run: no whole answer came.  */
  CS_RUN_FAILED, /* It ran and the upstream answered with an error.  */
  CS_RUN_CRASHED /* The upstream's process died while it ran.  */
} cs_run_state_t;

/* The facts that the decision rests on.  */
typedef struct
{
  cs_run_state_t run;
  bool shed; /* The upstream was reached and refused for load.  */
  bool idempotent;
  bool first_layer;    /* The call did not come through another node.  */
  int attempts;        /* Made so far.  */
  int max_attempts;    /* Of the service.  */
  cs_usec_t remaining; /* To the caller's deadline.  */
  cs_usec_t needed;    /* What an attempt usually takes.  */
} cs_retry_facts_t;

typedef enum
{
  CS_RETRY_YES,
  CS_RETRY_UNSAFE,   /* Might run twice.  */
  CS_RETRY_LAYER,    /* Left to the first layer.  */
  CS_RETRY_ATTEMPTS, /* All attempts are used.  */
  CS_RETRY_DEADLINE, /* No time is left.  */
  CS_RETRY_BUDGET    /* Too many retries of late.  */
} cs_retry_verdict_t;

/* Retries as a share of calls, with a small burst.  Shared by all calls of a
   service on a node.  */
typedef struct
{
  pthread_mutex_t lock;
  double tokens;
  double ratio; /* Tokens per call.  */
  double burst;
} cs_retry_budget_t;

/* Initialise BUDGET for PERCENT retries per 100 calls.  */
void cs_retry_budget_init (cs_retry_budget_t *budget, int64_t percent);
/* Change the share; the tokens saved up stay.  */
void cs_retry_budget_set (cs_retry_budget_t *budget, int64_t percent);
void cs_retry_budget_clear (cs_retry_budget_t *budget);

/* A call has come in.  */
void cs_retry_budget_call (cs_retry_budget_t *budget);

/* Decide, and take from BUDGET on CS_RETRY_YES.  An attempt that put no load
   on an upstream, as one whose node cannot be reached, takes nothing.  */
cs_retry_verdict_t cs_retry_decide (cs_retry_budget_t *budget,
                                    const cs_retry_facts_t *facts);

/* The word for VERDICT.  */
const char *cs_retry_verdict_name (cs_retry_verdict_t verdict);

#endif
