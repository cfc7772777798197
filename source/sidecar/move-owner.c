/* The steps of a version move that this node owns: growing the candidate's
   share, completing the move, and rolling it back.  */
#include <string.h>

#include "cardamom/move-owner.h"
#include "moves-internal.h"

#define INITIAL_SHARE_PERMILLE 50 /* First share of the candidate.  */
/* Quantile of the baseline's latencies that counts as its longest request.  */
#define LATENCY_QUANTILE 0.995
#define EVIDENCE_LOG_INTERVAL (1 * CS_SEC)

static bool
candidate_has_upstreams (const tracked_move_t *move)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, move->control->members);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const cs_node_info_t *member = &((member_info_t *)value)->member;
      if (strcmp (member->service, move->service) == 0
          && strcmp (member->version, move->state.candidate) == 0
          && member->server_state == CS_BACKEND_READY && !member->stopping)
        return true;
    }
  return false;
}

/* Whether every node beside a server of the baseline has reported that no
   request runs or is queued there.  */
static bool
baseline_is_idle (const tracked_move_t *move)
{
  control_t *control = move->control;
  GHashTableIter iter;
  gpointer value;
  cs_usec_t now = control_now (control), oldest_report = 0;
  int64_t outstanding = 0;
  g_hash_table_iter_init (&iter, control->members);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const member_info_t *info = value;
      const cs_node_info_t *member = &info->member;
      if (!info->reachable || strcmp (member->service, move->service) != 0
          || strcmp (member->version, move->state.baseline) != 0)
        continue;
      const node_evidence_t *evidence
          = g_hash_table_lookup (move->evidence, member->name);
      outstanding += evidence ? evidence->outstanding : 1;
      oldest_report
          = MAX (oldest_report, evidence ? now - evidence->received_at : now);
    }
  return cs_move_baseline_is_drained (outstanding, oldest_report,
                                      now - move->share_since);
}

/* MOVE in the form that cs_move_next_step reads.  */
static cs_move_t
describe_move (const tracked_move_t *move)
{
  const move_record_t *state = &move->state;
  cs_usec_t longest_latency = cs_call_stats_quantile (
      &cs_evaluation_total (move->evaluation)->baseline, LATENCY_QUANTILE);
  return (cs_move_t){ .start_ms = state->start_ms,
                      .deadline_ms = cs_move_verdict_deadline_ms (
                          state->start_ms, state->deadline_ms,
                          move->write_duration, longest_latency),
                      .initial_candidate_permille = INITIAL_SHARE_PERMILLE,
                      .state = state->phase,
                      .candidate_permille = state->share_permille,
                      .last_step_ms
                      = move_wall_ms (move->control)
                        - (control_now (move->control) - move->share_since)
                              / CS_MSEC };
}

/* Roll back: the candidate is bad, or was not shown to be good in time.  It
   gets no requests from now on, even while the table cannot be written.  The
   judges give the reason when REASON is NULL.  */
static void
roll_back (tracked_move_t *move, const char *reason)
{
  if (reason)
    g_string_assign (move->rollback_reason, reason);
  else
    cs_evaluation_explain (move->evaluation, move->rollback_reason);
  move->state.share_permille = 0;
  move->state.phase = CS_MOVE_ROLLED_BACK;
  move->state.step++;
  move_apply (move);
  move_send_state (move);
}

static void
write_step (tracked_move_t *move, int64_t share, cs_move_state_t phase)
{
  move_record_t next = move->state;
  next.step++;
  next.share_permille = share;
  next.phase = phase;
  move_write_state (move, &next);
}

/* Add this node's counts to those of earlier owners of the move.  Servers of
   the candidate report all requests since their start, so that their count
   replaces the earlier one.  */
static void
count_exposure (tracked_move_t *move, cs_usec_t now)
{
  const cs_paired_stats_t *totals = cs_evaluation_total (move->evaluation);
  int64_t candidate_requests
      = (int64_t)totals->candidate.calls + move_candidate_outstanding (move);
  move->state.candidate_requests
      = MAX (move->earlier_candidate, candidate_requests);
  move->state.total_requests
      = move->earlier_total + (int64_t)totals->baseline.calls
        + (move->state.candidate_requests - move->earlier_candidate);
  cs_exposure_update (&move->exposure, (double)move->state.total_requests,
                      (double)move->state.candidate_requests, now);
}

static void
log_evidence (tracked_move_t *move, cs_usec_t now)
{
  const cs_paired_stats_t *total = cs_evaluation_total (move->evaluation);
  if (now - move->evidence_logged_at < EVIDENCE_LOG_INTERVAL)
    return;
  move->evidence_logged_at = now;
  cs_event_log (
      CS_E_EVIDENCE,
      "service=%s to=%s share_permille=%" G_GINT64_FORMAT
      " given=%" G_GINT64_FORMAT " total=%" G_GINT64_FORMAT
      " allowed=%.0f verdict=%s new_calls=%" G_GUINT64_FORMAT
      " new_errors=%" G_GUINT64_FORMAT " old_calls=%" G_GUINT64_FORMAT
      " old_errors=%" G_GUINT64_FORMAT " slowness=%.2f reporters=%u",
      move->service, move->state.candidate, move->state.share_permille,
      move->state.candidate_requests, move->state.total_requests,
      cs_exposure_allowed (&move->control->settings.exposure, &move->exposure),
      cs_verdict_name (cs_evaluation_verdict (move->evaluation)),
      total->candidate.calls, total->candidate.errors, total->baseline.calls,
      total->baseline.errors, cs_evaluation_slowness (move->evaluation),
      g_hash_table_size (move->evidence));
}

void
move_owner_tick (tracked_move_t *move, cs_usec_t now)
{
  control_t *control = move->control;
  cs_evaluation_tick (move->evaluation);
  count_exposure (move, now);
  move_send_state (move);
  log_evidence (move, now);
  if (move->write_pending || now < move->next_write_at)
    return;
  if (move->rollback_reason->len)
    {
      write_step (move, 0, CS_MOVE_ROLLED_BACK);
      return;
    }
  cs_move_t plan = describe_move (move);
  cs_move_inputs_t inputs
      = { .now_ms = move_wall_ms (control),
          .verdict = cs_evaluation_verdict (move->evaluation),
          .candidate_calls = cs_evaluation_candidate_calls (move->evaluation),
          .has_candidate_upstreams = candidate_has_upstreams (move),
          .exposure = &move->exposure,
          .exposure_limits = &control->settings.exposure,
          .change_delay = move->write_duration };
  cs_move_step_t step = cs_move_next_step (&plan, &inputs);
  if (step.kind == CS_MOVE_STEP_ROLL_BACK)
    {
      roll_back (move, step.reason);
      write_step (move, 0, CS_MOVE_ROLLED_BACK);
    }
  else if (move->state.share_permille == CS_ALL_TRAFFIC_PERMILLE)
    {
      cs_usec_t time_left
          = (move->state.deadline_ms - inputs.now_ms) * CS_MSEC;
      if (baseline_is_idle (move)
          && cs_move_bake_time_is_over (now - move->share_since, time_left,
                                        move->write_duration))
        write_step (move, CS_ALL_TRAFFIC_PERMILLE, CS_MOVE_DONE);
    }
  else if (step.kind == CS_MOVE_STEP_FINISH)
    write_step (move, CS_ALL_TRAFFIC_PERMILLE, CS_MOVE_RUNNING);
  else if (step.kind == CS_MOVE_STEP_SET_SHARE)
    write_step (move, step.share_permille, CS_MOVE_RUNNING);
}
