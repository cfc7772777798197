/* The state of a move in its row and in the heartbeats of its owner.  */
#include "moves-internal.h"

#define MOVE_FIELDS 16 /* Of a packed move, with its frame type.  */

void
move_record_pack (cs_pack_t *pack, const char *service,
                  const move_record_t *state, bool can_write)
{
  cs_pack_array (pack, MOVE_FIELDS);
  cs_pack_int64 (pack, CS_FRAME_MOVE_STATE);
  cs_pack_text (pack, service);
  cs_pack_int64 (pack, state->request_revision.version);
  cs_pack_int64 (pack, state->epoch);
  cs_pack_int64 (pack, state->step);
  cs_pack_text (pack, state->owner);
  cs_pack_text (pack, state->baseline);
  cs_pack_text (pack, state->candidate);
  cs_pack_int64 (pack, state->share_permille);
  cs_pack_int64 (pack, state->phase);
  cs_pack_int64 (pack, state->start_ms);
  cs_pack_int64 (pack, state->deadline_ms);
  cs_pack_int64 (pack, can_write);
  cs_pack_int64 (pack, state->total_requests);
  cs_pack_int64 (pack, state->candidate_requests);
  cs_pack_int64 (pack, state->request_revision.era);
}

bool
move_record_unpack (cs_unpack_cursor_t *in, int64_t era,
                    char service[CS_NAME_SIZE], move_record_t *state)
{
  *state = (move_record_t){ 0 };
  cs_name_unpack (in, service);
  state->request_revision
      = (cs_revision_t){ .era = era, .version = cs_unpack_int64 (in) };
  state->epoch = cs_unpack_int64 (in);
  state->step = cs_unpack_int64 (in);
  cs_name_unpack (in, state->owner);
  cs_name_unpack (in, state->baseline);
  cs_name_unpack (in, state->candidate);
  state->share_permille = cs_unpack_int64 (in);
  int64_t phase = cs_unpack_int64 (in);
  state->start_ms = cs_unpack_int64 (in);
  state->deadline_ms = cs_unpack_int64 (in);
  bool can_write = cs_unpack_int64 (in) != 0;
  /* Rows and heartbeats of the previous release end before the counts.  */
  if (in->remaining >= 2)
    {
      state->total_requests = cs_unpack_int64 (in);
      state->candidate_requests = cs_unpack_int64 (in);
    }
  if (in->remaining)
    state->request_revision.era = cs_unpack_int64 (in);
  if (phase < CS_MOVE_RUNNING || phase > CS_MOVE_ROLLED_BACK
      || state->share_permille < 0
      || state->share_permille > CS_ALL_TRAFFIC_PERMILLE)
    in->failed = true;
  else
    state->phase = (cs_move_state_t)phase;
  return can_write;
}

bool
move_record_is_newer (const move_record_t *a, const move_record_t *b)
{
  int order = cs_revision_compare (a->request_revision, b->request_revision);
  if (order != 0)
    return order > 0;
  if (a->epoch != b->epoch)
    return a->epoch > b->epoch;
  return a->step > b->step;
}
