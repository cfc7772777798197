#include "cardamom/move.h"

/* Of the time of a move: the canary phase, which takes the planned steps.  */
#define CANARY_PERCENT 80
#define STEP_MS_MIN 300
/* Higher shares need a good verdict.  */
#define UNPROVEN_PERMILLE_MAX 500
/* Until the last step is in force.  */
#define FINISH_MARGIN_MS_MAX 4000
/* Smaller changes of the share are not worth a step.  */
#define SHARE_CHANGE_PERCENT_MIN 15
/* Steps of the final ramp.  */
#define RAMP_STEPS 6
#define RAMP_STEP_MS_MIN 500

/* In permille.  The last one leaves the baseline enough calls to compare
   with.  */
static const int64_t planned_shares[] = { 50, 100, 200, 350, 500, 700, 900 };

/* The planned share after the present one, or the present one if it is the
   last.  */
static int64_t
next_share (const cs_move_t *move)
{
  if (move->candidate_permille == 0)
    return move->initial_candidate_permille;
  for (size_t i = 0; i < G_N_ELEMENTS (planned_shares); i++)
    if (planned_shares[i] > move->candidate_permille)
      return planned_shares[i];
  return move->candidate_permille;
}

static int64_t
canary_ms (const cs_move_t *move)
{
  return (move->deadline_ms - move->start_ms) * CANARY_PERCENT / 100;
}

static int64_t
step_ms (const cs_move_t *move)
{
  int64_t steps = (int64_t)G_N_ELEMENTS (planned_shares) + 2;
  return MAX (canary_ms (move) / steps, STEP_MS_MIN);
}

/* The time before the deadline for the last step to be in force.  */
static int64_t
finish_margin_ms (const cs_move_t *move)
{
  return MIN (step_ms (move) / 2, FINISH_MARGIN_MS_MAX);
}

static bool
is_in_final_ramp (const cs_move_t *move, const cs_move_inputs_t *inputs)
{
  return inputs->now_ms >= move->start_ms + canary_ms (move);
}

static int64_t
ramp_step_ms (const cs_move_t *move)
{
  int64_t ramp_ms = move->deadline_ms - move->start_ms - canary_ms (move)
                    - finish_margin_ms (move);
  return MAX (ramp_ms / RAMP_STEPS, RAMP_STEP_MS_MIN);
}

static bool
step_is_over (const cs_move_t *move, const cs_move_inputs_t *inputs)
{
  int64_t step_start_ms = MAX (move->last_step_ms, move->start_ms);
  if (move->candidate_permille == 0)
    return inputs->now_ms >= move->start_ms;
  return inputs->now_ms - step_start_ms >= (is_in_final_ramp (move, inputs)
                                                ? ramp_step_ms (move)
                                                : step_ms (move));
}

static cs_move_step_t
decide_at_deadline (const cs_move_inputs_t *inputs)
{
  if (inputs->verdict == CS_VERDICT_GOOD && inputs->candidate_calls > 0)
    return (cs_move_step_t){ .kind = CS_MOVE_STEP_FINISH };
  return (cs_move_step_t){
    .kind = CS_MOVE_STEP_ROLL_BACK,
    .reason = inputs->candidate_calls
                  ? "not shown to be good by the deadline"
                  : "no calls of the new version by the deadline",
  };
}

static int64_t
canary_share (const cs_move_inputs_t *inputs)
{
  return inputs->exposure ? cs_exposure_canary_share (
             inputs->exposure_limits, inputs->exposure, inputs->change_delay)
                          : CS_ALL_TRAFFIC_PERMILLE;
}

static int64_t
ramp_share (const cs_move_t *move, const cs_move_inputs_t *inputs)
{
  return inputs->exposure
             ? cs_exposure_ramp_share (inputs->exposure_limits,
                                       inputs->exposure,
                                       ramp_step_ms (move) * CS_MSEC)
             : CS_ALL_TRAFFIC_PERMILLE;
}

/* Whether the candidate has got all the requests that it may get before it
   takes over, by shares well above the canary phase's.  */
static bool
ramp_is_complete (const cs_move_t *move, const cs_move_inputs_t *inputs)
{
  return is_in_final_ramp (move, inputs) && inputs->verdict == CS_VERDICT_GOOD
         && move->candidate_permille > 2 * canary_share (inputs)
         && move->candidate_permille > ramp_share (move, inputs);
}

cs_move_step_t
cs_move_next_step (const cs_move_t *move, const cs_move_inputs_t *inputs)
{
  cs_move_step_t none = { .kind = CS_MOVE_STEP_NONE };
  if (move->state != CS_MOVE_RUNNING)
    return none;
  if (inputs->verdict == CS_VERDICT_BAD)
    return (cs_move_step_t){ .kind = CS_MOVE_STEP_ROLL_BACK };
  int64_t verdict_ms = move->deadline_ms - finish_margin_ms (move);
  if (inputs->now_ms >= verdict_ms)
    return decide_at_deadline (inputs);
  /* A change still in progress at that time would delay the last step.  */
  if (!inputs->has_candidate_upstreams
      || inputs->now_ms + inputs->change_delay / CS_MSEC >= verdict_ms)
    return none;
  if (ramp_is_complete (move, inputs))
    return (cs_move_step_t){ .kind = CS_MOVE_STEP_FINISH };
  int64_t max_share = canary_share (inputs);
  if (is_in_final_ramp (move, inputs))
    max_share = MAX (max_share, ramp_share (move, inputs));
  int64_t share = MIN (next_share (move), max_share);
  int64_t min_change
      = move->candidate_permille * SHARE_CHANGE_PERCENT_MIN / 100;
  bool lowers = share < move->candidate_permille - min_change;
  bool raises = share > move->candidate_permille + min_change
                && step_is_over (move, inputs)
                && (share <= UNPROVEN_PERMILLE_MAX
                    || inputs->verdict == CS_VERDICT_GOOD);
  if (!lowers && !raises)
    return none;
  return (cs_move_step_t){ .kind = CS_MOVE_STEP_SET_SHARE,
                           .share_permille = share };
}
