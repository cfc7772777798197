/* States of moves, as nodes send them to each other.  */
#include "moves-internal.h"

/* A slow table answers a write within some hundred milliseconds.  After this
   time the owner most likely cannot reach the table.  */
#define WRITE_DURATION_MAX (800 * CS_MSEC)

void
move_send_record (const tracked_move_t *move, const char *node)
{
  cs_pack_t pack;
  if (!move->has_state)
    return;
  cs_pack_init (&pack);
  move_record_pack (&pack, move->service, &move->state, false);
  cs_traffic_send_control (move->control->traffic, node, NULL,
                           cs_pack_payload (&pack));
  cs_pack_clear (&pack);
}

void
moves_send_all (control_t *control, const char *node)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, control->moves);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    move_send_record (value, node);
}

void
move_send_state (tracked_move_t *move)
{
  cs_pack_t pack;
  cs_pack_init (&pack);
  /* An owner that cannot write reports it, and another node takes over.  */
  bool slow = move->write_pending
              && control_now (move->control) - move->write_started_at
                     > WRITE_DURATION_MAX;
  bool can_write = !move->last_write_failed && !slow;
  move_record_pack (&pack, move->service, &move->state, can_write);
  cs_traffic_send_control (move->control->traffic, NULL, NULL,
                           cs_pack_payload (&pack));
  cs_pack_clear (&pack);
  if (move->state.phase == CS_MOVE_RUNNING
      && strcmp (move->control->backend.report.service, move->service) == 0)
    cs_traffic_send_version_stats (move->control->traffic,
                                   move->control->settings.node);
}
