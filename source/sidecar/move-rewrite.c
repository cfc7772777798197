/* Moves whose state the table may have lost when it came back from an older
   copy.  */
#include <string.h>

#include "moves-internal.h"

/* Nodes up to this rank write the state of a move again beside its owner, this
   much later.  */
#define REWRITER_RANK_MAX 1
#define OTHER_REWRITER_DELAY (1 * CS_SEC)

/* Whether this node writes the state of MOVE to the table again: its owner
   does, and the first nodes that would take over, for the owner may have ended
   or may be a process that has started since.  */
static bool
is_rewriter (const tracked_move_t *move)
{
  const control_t *control = move->control;
  return strcmp (move->state.owner, control->settings.node) == 0
         || move_owner_rank (move) <= REWRITER_RANK_MAX;
}

void
move_rewrite (tracked_move_t *move, cs_usec_t now)
{
  /* A node that doesn't read the table finds out here whether it is there. */
  if (!move->rewrite_due || move->write_pending || now < move->next_write_at
      || !is_rewriter (move))
    return;
  move->rewriting = true;
  move_write_state (move, &move->state);
}

void
move_note_first_state (tracked_move_t *move)
{
  control_t *control = move->control;
  cs_usec_t now = control_now (control);
  if (control_era_is_settled (control, now))
    return;
  move->rewrite_due = true;
  move->next_write_at
      = now + OTHER_REWRITER_DELAY + control_rewrite_delay (move->service);
}

void
moves_tell_process (control_t *control, const char *node)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, control->moves);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (is_rewriter (value))
      move_send_record (value, node);
}

void
moves_note_era (control_t *control)
{
  GHashTableIter iter;
  gpointer value;
  cs_usec_t now = control_now (control);
  g_hash_table_iter_init (&iter, control->moves);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      tracked_move_t *move = value;
      move->rewrite_due = move->has_state;
      move->published_request_revision = (cs_revision_t){ 0 };
      if (strcmp (move->state.owner, control->settings.node) != 0)
        move->next_write_at = now + OTHER_REWRITER_DELAY
                              + control_rewrite_delay (move->service);
      else if (move->state.phase != CS_MOVE_RUNNING)
        move->next_write_at = now + control_rewrite_delay (move->service);
    }
}
