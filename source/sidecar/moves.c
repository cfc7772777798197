/* Version moves.  Every node follows the state of a move.  One node, its
   owner, decides on the steps and writes them to the move's row; the revision
   of that row fences off earlier owners.  The owner's heartbeats are its
   lease: when they stop, or report that it cannot write, another node claims
   the move.  */
#include <string.h>

#include "cardamom/move-owner.h"
#include "cardamom/registry.h"
#include "moves-internal.h"

#define TICK_INTERVAL (200 * CS_MSEC)
#define TICK_INTERVAL_SHORT (100 * CS_MSEC)
/* Upper bound of the probability that a good candidate is rolled back.  */
#define FALSE_ALARM_PROBABILITY 0.0025
/* Delay before the next write after a failed one or a conflict.  */
#define WRITE_RETRY_DELAY (250 * CS_MSEC)
#define REWRITE_RETRY_DELAY (2 * CS_SEC)

int64_t
move_wall_ms (const control_t *control)
{
  return cs_now_wall (control->ctx) / CS_MSEC;
}

tracked_move_t *
move_find_or_add (control_t *control, const char *service)
{
  tracked_move_t *move = g_hash_table_lookup (control->moves, service);
  if (move)
    return move;
  move = g_new0 (tracked_move_t, 1);
  move->control = control;
  g_strlcpy (move->service, service, sizeof move->service);
  move->evidence = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                          move_evidence_free);
  move->rollback_reason = g_string_new (NULL);
  g_hash_table_insert (control->moves, move->service, move);
  return move;
}

void
move_apply (tracked_move_t *move)
{
  const move_record_t *state = &move->state;
  cs_version_split_t split
      = { .move_revision = cs_revision_to_number (state->request_revision),
          .candidate_permille = state->share_permille };
  g_strlcpy (split.service, move->service, sizeof split.service);
  g_strlcpy (split.baseline,
             state->phase == CS_MOVE_DONE ? state->candidate : state->baseline,
             sizeof split.baseline);
  if (state->phase == CS_MOVE_RUNNING)
    g_strlcpy (split.candidate, state->candidate, sizeof split.candidate);
  cs_traffic_set_version_split (move->control->traffic, &split);
}

void
move_release (tracked_move_t *move)
{
  move->owned = false;
  if (move->evaluation)
    cs_evaluation_drop (move->control->ctx, move->evaluation);
  move->evaluation = NULL;
  g_hash_table_remove_all (move->evidence);
}

/* Whether this process has heard at NOW of the states of moves that other
   nodes have from before the table came back.  */
static bool
knows_states (const control_t *control, cs_usec_t now)
{
  return control_era_is_settled (control, now)
         && (control->settings.first_start
             || now - control->started_at >= STARTUP_MEETING_TIME);
}

static void
adopt_if_newer (tracked_move_t *move, const move_record_t *state)
{
  bool is_newer
      = !move->has_state || move_record_is_newer (state, &move->state);
  if (!is_newer)
    return;
  move_match_request (move, state);
  move->state = *state;
  move->has_state = true;
  if (move->owned && strcmp (state->owner, move->control->settings.node) != 0)
    {
      cs_event_log (CS_E_MOVE,
                    "service=%s step=lost owner=%s epoch=%" G_GINT64_FORMAT,
                    move->service, state->owner, state->epoch);
      move_release (move);
    }
  move_apply (move);
}

void
moves_handle_row (control_t *control, const cs_table_row_t *row)
{
  cs_unpack_t unpack;
  cs_unpack_cursor_t in;
  move_record_t state;
  char service[CS_NAME_SIZE] = "";
  if (!row->value || !g_str_has_prefix (row->key, KEY_MOVE_PREFIX)
      || cs_unpack_init (control->ctx, &unpack, cs_str_of_gstring (row->value),
                         &in)
             != CS_OK)
    return;
  /* The frame type.  */
  cs_unpack_int64 (&in);
  move_record_unpack (&in, control->table_era, service, &state);
  if (!in.failed)
    {
      tracked_move_t *move = move_find_or_add (control, service);
      move->row_revision = cs_revision_max (move->row_revision, row->revision);
      adopt_if_newer (move, &state);
      if (row->revision.era == control->table_era
          && !move_record_is_newer (&move->state, &state))
        move->rewrite_due = false;
    }
  cs_unpack_clear (&unpack);
}

void
moves_handle_state (control_t *control, const char *from,
                    cs_unpack_cursor_t *in)
{
  char service[CS_NAME_SIZE] = "";
  move_record_t state;
  bool can_write
      = move_record_unpack (in, control->table_era, service, &state);
  if (in->failed)
    return;
  tracked_move_t *move = move_find_or_add (control, service);
  bool is_first = !move->has_state;
  adopt_if_newer (move, &state);
  if (is_first)
    move_note_first_state (move);
  if (strcmp (move->state.owner, from) != 0
      || move_record_is_newer (&move->state, &state))
    return;
  move->state.total_requests
      = MAX (move->state.total_requests, state.total_requests);
  move->state.candidate_requests
      = MAX (move->state.candidate_requests, state.candidate_requests);
  if (can_write)
    move->owner_heard_at = control_now (control);
  if (state.phase == CS_MOVE_RUNNING
      && strcmp (control->backend.report.service, service) == 0)
    cs_traffic_send_version_stats (control->traffic, from);
}

/* Find the service's version before the move: that of the oldest known server
   that does not run the candidate.  Empty when there is none.  */
static void
find_baseline (tracked_move_t *move, char out[CS_NAME_SIZE])
{
  GHashTableIter iter;
  gpointer value;
  const cs_node_info_t *oldest = NULL;
  g_hash_table_iter_init (&iter, move->control->members);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const cs_node_info_t *member = &((member_info_t *)value)->member;
      if (strcmp (member->service, move->service) == 0 && member->version[0]
          && strcmp (member->version, move->request.to_version) != 0
          && (!oldest
              || member->server_started_ms < oldest->server_started_ms))
        oldest = member;
    }
  g_strlcpy (out, oldest ? oldest->version : "", CS_NAME_SIZE);
}

static void on_written (void *user, cs_status_t status, GPtrArray *rows,
                        cs_revision_t revision);

void
move_write_state (tracked_move_t *move, const move_record_t *state)
{
  control_t *control = move->control;
  cs_pack_t pack;
  char *key, *text;
  char *row_key = g_strconcat (KEY_MOVE_PREFIX, move->service, NULL);
  move->pending_state = *state;
  move->write_pending = true;
  move->write_started_at = control_now (control);
  cs_pack_init (&pack);
  move_record_pack (&pack, move->service, state, true);
  control->adapter->encode_move_status (move->service, state->candidate,
                                        state->phase, &key, &text);
  /* A revision of an earlier era may be that of another row by now.  */
  cs_table_precondition_t precondition
      = { .keyspace = CS_KEYSPACE_MESH,
          .key = row_key,
          .revision = move->row_revision.era == control->table_era
                          ? move->row_revision
                          : (cs_revision_t){ 0 } };
  cs_table_write_t writes[] = {
    { .keyspace = CS_KEYSPACE_MESH,
      .key = row_key,
      .value = cs_pack_payload (&pack) },
    { .keyspace = CS_KEYSPACE_STATUS, .key = key, .value = cs_str_of (text) }
  };
  bool status_changed = cs_revision_compare (move->published_request_revision,
                                             state->request_revision)
                            != 0
                        || move->published_phase != state->phase;
  control->table->vtable->commit (control->table, &precondition, 1, writes,
                                  status_changed ? 2 : 1, on_written, move);
  cs_pack_clear (&pack);
  g_free (row_key);
  g_free (key);
  g_free (text);
}

static void
assume_ownership (tracked_move_t *move)
{
  control_t *control = move->control;
  const void *judge;
  move->owned = true;
  move->share_since = 0;
  g_string_truncate (move->rollback_reason, 0);
  g_hash_table_remove_all (move->evidence);
  move->exposure = (cs_exposure_t){ 0 };
  move->earlier_total = move->state.total_requests;
  move->earlier_candidate = move->state.candidate_requests;
  if (move->evaluation)
    cs_evaluation_drop (control->ctx, move->evaluation);
  move->evaluation = NULL;
  if (cs_plugin_find (control->ctx, CS_PLUGIN_JUDGE, "cusum", &judge) == CS_OK)
    move->evaluation
        = cs_evaluation_new (control->ctx, judge, FALSE_ALARM_PROBABILITY);
}

static void
log_step (const tracked_move_t *move)
{
  const move_record_t *state = &move->state;
  cs_event_log (
      CS_E_MOVE,
      "service=%s step=%s from=%s to=%s share_permille=%" G_GINT64_FORMAT
      " epoch=%" G_GINT64_FORMAT " owner=%s calls=%" G_GUINT64_FORMAT
      " reason=\"%s\"",
      move->service, cs_move_state_name (state->phase), state->baseline,
      state->candidate, state->share_permille, state->epoch, state->owner,
      move->evaluation ? cs_evaluation_candidate_calls (move->evaluation) : 0,
      move->rollback_reason->str);
}

static void
on_written (void *user, cs_status_t status, GPtrArray *rows,
            cs_revision_t revision)
{
  tracked_move_t *move = user;
  control_t *control = move->control;
  bool rewritten = move->rewriting;
  move->write_pending = move->rewriting = false;
  status = control_check_answer (control, status, rows, &revision);
  control_note_table (control, status);
  if (status == CS_CONFLICT)
    {
      /* Another node has written, or an earlier write of this node took effect
         although its answer was lost.  */
      move->row_revision = (cs_revision_t){ 0 };
      for (guint i = 0; i < rows->len; i++)
        moves_handle_row (control, rows->pdata[i]);
      move->next_write_at = control_now (control) + WRITE_RETRY_DELAY;
      if (rewritten)
        {
          move->last_write_failed = false; /* The table is there.  */
          return;
        }
      bool is_ours
          = move->has_state && move->state.epoch == move->pending_state.epoch
            && move->state.step == move->pending_state.step
            && strcmp (move->state.owner, control->settings.node) == 0;
      if (is_ours && !move->owned)
        assume_ownership (move);
      else if (!is_ours && move->owned
               && move->state.epoch != move->pending_state.epoch)
        move_release (move);
      return;
    }
  if (status != CS_OK)
    {
      move->last_write_failed = true;
      move->next_write_at = control_now (control)
                            + (rewritten && !move->owned ? REWRITE_RETRY_DELAY
                                                         : WRITE_RETRY_DELAY);
      return;
    }
  move->rewrite_due &= revision.era != control->table_era;
  bool claimed = !move->has_state
                 || move->state.epoch != move->pending_state.epoch
                 || cs_revision_compare (move->state.request_revision,
                                         move->pending_state.request_revision)
                        != 0;
  move->write_duration = control_now (control) - move->write_started_at;
  move->row_revision = revision;
  move->published_request_revision = move->pending_state.request_revision;
  move->published_phase = move->pending_state.phase;
  move->last_write_failed = false;
  if (rewritten)
    return;
  if (move->has_state
      && move_record_is_newer (&move->state, &move->pending_state))
    return;
  move->state = move->pending_state;
  move->has_state = true;
  move_apply (move);
  if (claimed)
    assume_ownership (move);
  log_step (move);
  move->share_since = control_now (control);
  move_send_state (move);
  if (move->state.phase != CS_MOVE_RUNNING)
    move_release (move);
}

unsigned
move_owner_rank (const tracked_move_t *move)
{
  const control_t *control = move->control;
  GHashTableIter iter;
  gpointer value;
  uint64_t own = cs_move_owner_hash (move->service, control->settings.node);
  unsigned rank = 0;
  g_hash_table_iter_init (&iter, control->members);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const member_info_t *info = value;
      rank += info->reachable && !info->member.stopping
              && cs_move_owner_hash (move->service, info->member.name) < own;
    }
  return rank;
}

/* Whether the state of MOVE is that of the operator's last request.  */
static bool
follows_request (const tracked_move_t *move)
{
  return move->has_state
         && cs_revision_compare (move->state.request_revision,
                                 move->request_revision)
                == 0;
}

static void
claim_ownership (tracked_move_t *move)
{
  control_t *control = move->control;
  bool continues = follows_request (move);
  move_record_t claimed
      = { .request_revision = move->request_revision,
          .epoch = move->state.epoch + 1,
          .start_ms = move->requested_wall_ms,
          .deadline_ms
          = move->requested_wall_ms + move->request.duration / CS_MSEC };
  if (continues)
    {
      claimed.share_permille = move->state.share_permille;
      claimed.total_requests = move->state.total_requests;
      claimed.candidate_requests = move->state.candidate_requests;
      claimed.start_ms = move->state.start_ms;
      claimed.deadline_ms = move->state.deadline_ms;
      g_strlcpy (claimed.baseline, move->state.baseline,
                 sizeof claimed.baseline);
    }
  else if (move->has_state)
    g_strlcpy (claimed.baseline,
               move->state.phase == CS_MOVE_DONE ? move->state.candidate
                                                 : move->state.baseline,
               sizeof claimed.baseline);
  else
    find_baseline (move, claimed.baseline);
  g_strlcpy (claimed.owner, control->settings.node, sizeof claimed.owner);
  g_strlcpy (claimed.candidate, move->request.to_version,
             sizeof claimed.candidate);
  if (strcmp (claimed.baseline, claimed.candidate) == 0)
    claimed.phase = CS_MOVE_DONE;
  move_write_state (move, &claimed);
}

/* The time between ticks of MOVE; shorter while the candidate gets most of the
   requests.  */
static cs_usec_t
tick_interval (const tracked_move_t *move)
{
  bool majority = move->owned && move->state.phase == CS_MOVE_RUNNING
                  && move->state.share_permille > CS_ALL_TRAFFIC_PERMILLE / 2;
  return majority ? TICK_INTERVAL_SHORT : TICK_INTERVAL;
}

static void
tick_move (tracked_move_t *move, cs_usec_t now)
{
  if (!move->control->stopping)
    move_rewrite (move, now);
  bool unfinished = cs_revision_is_set (move->request_revision)
                    && !(move->has_state
                         && cs_revision_compare (move->state.request_revision,
                                                 move->request_revision)
                                >= 0
                         && move->state.phase != CS_MOVE_RUNNING);
  bool owns = move->owned && move->evaluation;
  if ((!unfinished && !owns) || move->control->stopping)
    return;
  if (owns)
    {
      move_owner_tick (move, now);
      return;
    }
  bool begun = follows_request (move);
  cs_usec_t since = begun ? MAX (move->owner_heard_at, move->requested_at)
                          : move->requested_at;
  if (!move->write_pending && now >= move->next_write_at
      && move->control->table_up
      && (begun || knows_states (move->control, now))
      && cs_move_owner_should_take_over (move_owner_rank (move), begun,
                                         now - since))
    claim_ownership (move);
}

void
moves_tick (control_t *control, cs_usec_t now)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, control->moves);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      tracked_move_t *move = value;
      if (now - move->last_tick_at < tick_interval (move))
        continue;
      move->last_tick_at = now;
      tick_move (move, now);
    }
}
