/* The next step of a version move, the gradual rollout of a new version (the
   candidate) of a service beside the version in service (the baseline).  */
#ifndef CARDAMOM_MOVE_H
#define CARDAMOM_MOVE_H

#include "cardamom/document.h"
#include "cardamom/exposure.h"
#include "cardamom/judge.h"

typedef enum
{
  CS_MOVE_STEP_NONE,
  /* Give the candidate SHARE_PERMILLE of the traffic.  */
  CS_MOVE_STEP_SET_SHARE,
  CS_MOVE_STEP_FINISH,   /* Give it all traffic for good.  */
  CS_MOVE_STEP_ROLL_BACK /* Roll back: give it no traffic any more.  */
} cs_move_step_kind_t;

typedef struct
{
  cs_move_step_kind_t kind;
  int64_t share_permille;
  const char *reason; /* Static text; NULL: see cs_evaluation_explain.  */
} cs_move_step_t;

/* The inputs of the decision besides the move itself.  */
typedef struct
{
  int64_t now_ms; /* Wall time.  */
  cs_verdict_t verdict;
  uint64_t candidate_calls;      /* Calls of the candidate since the start.  */
  bool has_candidate_upstreams;  /* Some upstream runs the candidate.  */
  const cs_exposure_t *exposure; /* NULL: the share is not limited.  */
  const cs_exposure_limits_t *exposure_limits; /* The limits of EXPOSURE.  */
  cs_usec_t change_delay; /* Time until a new share is in force.  */
} cs_move_inputs_t;

/* The step to take now.  In the canary phase, the first part of the time to
   the deadline, the share grows by planned steps, one at a time.  It never
   exceeds what EXPOSURE allows, nor half of the traffic without a good
   verdict.  The final ramp then spends what EXPOSURE still allows on shares as
   high as possible.  The verdict is due shortly before the deadline, so that a
   version that fails late can still be compared with the baseline.  */
cs_move_step_t cs_move_next_step (const cs_move_t *move,
                                  const cs_move_inputs_t *inputs);

#endif
