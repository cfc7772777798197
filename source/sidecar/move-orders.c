/* Operators' requests for moves, and which rows are the same request.  When
   the table comes back from an older copy, the operator writes a request
   again, under another revision; it must not begin a move anew that runs or
   has been concluded.  */
#include <string.h>

#include "cardamom/row-order.h"
#include "moves-internal.h"

static bool
requests_are_equal (const cs_move_request_t *a, const cs_move_request_t *b)
{
  return strcmp (a->to_version, b->to_version) == 0
         && a->duration == b->duration;
}

/* Whether REQUEST, of a row at REVISION, is the one that MOVE holds, written
   again.  */
static bool
is_written_again (const tracked_move_t *move, const cs_move_request_t *request,
                  cs_revision_t revision)
{
  return cs_revision_is_set (move->row_of_request)
         && requests_are_equal (request, &move->request)
         && (revision.era > move->row_of_request.era
             || !control_era_is_settled (move->control,
                                         control_now (move->control)));
}

/* Whether REQUEST, of a row at REVISION, is the one before the one that MOVE
   holds, as the older copy of the table has it.  */
static bool
is_earlier_request (const tracked_move_t *move,
                    const cs_move_request_t *request, cs_revision_t revision)
{
  return cs_row_may_be_older (move->row_of_request, revision)
         && requests_are_equal (request, &move->earlier_request);
}

void
move_match_request (tracked_move_t *move, const move_record_t *state)
{
  if (move->request_may_be_again
      && move->request_revision.era != state->request_revision.era
      && strcmp (move->request.to_version, state->candidate) == 0)
    move->request_revision = state->request_revision;
}

void
moves_handle_request (control_t *control, const cs_table_row_t *row)
{
  cs_move_request_t request;
  if (control->adapter->decode_move_request (
          control->ctx, cs_str_of_gstring (row->value), &request)
      != CS_OK)
    {
      cs_event_log (CS_E_CONFIG_BAD,
                    "row=%s revision=" CS_REVISION_FORMAT " why=\"%s\"",
                    row->key, CS_REVISION_ARGS (row->revision),
                    cs_error_message (control->ctx));
      return;
    }
  tracked_move_t *move = move_find_or_add (control, request.service);
  if (cs_revision_compare (row->revision, move->row_of_request) <= 0
      || is_earlier_request (move, &request, row->revision))
    return;
  bool again = is_written_again (move, &request, row->revision);
  move->request_may_be_again
      = again || !cs_revision_is_set (move->row_of_request)
        || !control_era_is_settled (control, control_now (control));
  move->row_of_request = row->revision;
  if (again)
    return;
  move->earlier_request = move->request;
  move->request = request;
  move->request_revision = row->revision;
  if (move->has_state)
    move_match_request (move, &move->state);
  move->requested_at = control_now (control);
  move->requested_wall_ms = move_wall_ms (control);
  if (move->owned)
    move_release (move);
  cs_event_log (CS_E_MOVE,
                "service=%s step=ordered to=%s over_ms=%" G_GINT64_FORMAT,
                move->service, request.to_version, request.duration / CS_MSEC);
}
