#include "cardamom/move.h"

#define USED_PERCENT 80     /* Of the time, for the planned steps.  */
#define STEP_MS_MIN 500     /* Between two steps.  */
#define PROVEN_PERMILLE 500 /* Shares above it need a good verdict.  */
#define MARGIN_MS_MAX 4000  /* For the last step to be in force.  */

/* The last share leaves the old version calls enough to compare with.  */
static const int64_t ladder[] = { 50, 100, 200, 350, 500, 700, 900 };

/* The share after the present one, which is the same on the last step.  */
static int64_t
next_share (const cs_move_t *move)
{
  if (move->share_permille == 0)
    return move->first_permille;
  for (size_t i = 0; i < G_N_ELEMENTS (ladder); i++)
    if (ladder[i] > move->share_permille)
      return ladder[i];
  return move->share_permille;
}

static int64_t
step_ms (const cs_move_t *move)
{
  int64_t usable = (move->deadline_ms - move->start_ms) * USED_PERCENT / 100;
  int64_t steps = (int64_t)G_N_ELEMENTS (ladder) + 2;
  return MAX (usable / steps, STEP_MS_MIN);
}

static bool
step_has_run (const cs_move_t *move, const cs_move_facts_t *facts)
{
  int64_t since = MAX (move->since_ms, move->start_ms);
  if (move->share_permille == 0)
    return facts->now_ms >= move->start_ms;
  return facts->now_ms - since >= step_ms (move);
}

static cs_step_t
decide_at_deadline (const cs_move_t *move, const cs_move_facts_t *facts)
{
  if (facts->verdict == CS_VERDICT_GOOD && move->share_permille > 0)
    return (cs_step_t){ .kind = CS_STEP_FINISH };
  return (cs_step_t){
    .kind = CS_STEP_TAKE_BACK,
    .reason = facts->new_calls ? "not shown to be good by the deadline"
                               : "no calls of the new version by the deadline",
  };
}

cs_step_t
cs_move_decide (const cs_move_t *move, const cs_move_facts_t *facts)
{
  cs_step_t none = { .kind = CS_STEP_NONE };
  if (move->phase != CS_MOVE_RUNNING)
    return none;
  if (facts->verdict == CS_VERDICT_BAD)
    return (cs_step_t){ .kind = CS_STEP_TAKE_BACK };
  int64_t margin = MIN (step_ms (move) / 2, MARGIN_MS_MAX);
  if (facts->now_ms >= move->deadline_ms - margin)
    return decide_at_deadline (move, facts);
  if (!facts->has_upstreams || !step_has_run (move, facts))
    return none;
  int64_t share = next_share (move);
  if (share == move->share_permille
      || (share > PROVEN_PERMILLE && facts->verdict != CS_VERDICT_GOOD))
    return none;
  return (cs_step_t){ .kind = CS_STEP_RAISE, .share_permille = share };
}
