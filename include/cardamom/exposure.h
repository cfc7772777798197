/* How much of a service's traffic a candidate may get during a move.

   A version may work for its first seconds, or while it has little load, and
   fail later.  The requests that it has had by then, and those that it gets
   until the failure is detected and the rollback is in force on every node,
   must stay within a share of the service's requests since the operator
   ordered the move, and a fixed slack.  "Since the order" below means since
   then.  The canary phase and the final ramp are described at
   cs_move_next_step.  */
#ifndef CARDAMOM_EXPOSURE_H
#define CARDAMOM_EXPOSURE_H

#include "cardamom/clock.h"

typedef struct
{
  double share; /* Of the service's requests since the order, 0 to 1.  */
  double slack; /* Requests allowed on top of the share.  */
} cs_exposure_limits_t;

typedef struct
{
  double requests;           /* Requests of the service since the order.  */
  double candidate_requests; /* Those of them that the candidate got.  */
  double requests_per_s; /* Requests of the service per second, smoothed.  */
  cs_usec_t updated_at;  /* Time of the last measurement; 0: none.  */
} cs_exposure_t;

/* Update EXPOSURE: by NOW the service has had REQUESTS since the order, and
   the candidate CANDIDATE_REQUESTS of them.  */
void cs_exposure_update (cs_exposure_t *exposure, double requests,
                         double candidate_requests, cs_usec_t now);

/* How many requests a version that turns out to be bad may have had by
   now.  */
double cs_exposure_allowed (const cs_exposure_limits_t *limits,
                            const cs_exposure_t *exposure);

/* The share, in permille, that the candidate may have during the canary phase,
   where a new share takes CHANGE_DELAY to be in force on every node.  Part of
   what is allowed is kept for the time after the phase, when the candidate has
   all requests and may still turn out to be bad.  The share is never 0:
   without calls there is nothing to judge, and a small share stays below the
   share of LIMITS.  */
int64_t cs_exposure_canary_share (const cs_exposure_limits_t *limits,
                                  const cs_exposure_t *exposure,
                                  cs_usec_t change_delay);

/* The share, in permille, that the candidate may have during a step of the
   final ramp that takes the time STEP.  It spends what the canary phase left,
   less what the candidate gets when it takes all requests until a bad verdict
   stops them.  */
int64_t cs_exposure_ramp_share (const cs_exposure_limits_t *limits,
                                const cs_exposure_t *exposure, cs_usec_t step);

#endif
