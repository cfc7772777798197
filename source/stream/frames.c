#include <string.h>

#include "cardamom/frames.h"

#define MEMBER_FIELDS 13
#define JOB_FIELDS 13
#define OUTCOME_FIELDS 16
#define MAX_JOB_TIME (3600 * CS_SEC) /* Longer than any route allows.  */
#define JOB_IDEMPOTENT 1
#define JOB_HEAD_ONLY 2

bool
cs_member_newer (const cs_member_t *a, const cs_member_t *b)
{
  return a->boot != b->boot ? a->boot > b->boot : a->change > b->change;
}

void
cs_member_pack (cs_pack_t *pack, const cs_member_t *member)
{
  cs_pack_array (pack, MEMBER_FIELDS);
  cs_pack_text (pack, member->name);
  cs_pack_text (pack, member->dc);
  cs_pack_text (pack, member->region);
  cs_pack_text (pack, member->address);
  cs_pack_number (pack, member->boot);
  cs_pack_number (pack, member->change);
  cs_pack_number (pack, member->stopping);
  cs_pack_number (pack, member->state);
  cs_pack_text (pack, member->service);
  cs_pack_text (pack, member->version);
  cs_pack_text (pack, member->instance);
  cs_pack_number (pack, member->slots);
  cs_pack_number (pack, member->born_ms);
}

void
cs_name_take (cs_cursor_t *cursor, char name[CS_LIFE_TEXT])
{
  cs_str_t text = cs_take_str (cursor);
  if (text.len >= CS_LIFE_TEXT
      || memchr (text.data ? text.data : "", 0, text.len))
    {
      cursor->bad = true;
      return;
    }
  if (text.len)
    memcpy (name, text.data, text.len);
  name[text.len] = '\0';
}

void
cs_member_take (cs_cursor_t *cursor, cs_member_t *member)
{
  cs_cursor_t in = cs_take_array (cursor);
  *member = (cs_member_t){ 0 };
  cs_name_take (&in, member->name);
  cs_name_take (&in, member->dc);
  cs_name_take (&in, member->region);
  cs_name_take (&in, member->address);
  member->boot = cs_take_number (&in);
  member->change = cs_take_number (&in);
  member->stopping = cs_take_number (&in) != 0;
  int64_t state = cs_take_number (&in);
  cs_name_take (&in, member->service);
  cs_name_take (&in, member->version);
  cs_name_take (&in, member->instance);
  member->slots = cs_take_number (&in);
  member->born_ms = cs_take_number (&in);
  if (in.bad || state < CS_LIFE_NONE || state > CS_LIFE_LOST
      || !member->name[0] || member->slots < 0)
    cursor->bad = true;
  else
    member->state = (cs_life_state_t)state;
}

void
cs_job_pack (cs_pack_t *pack, uint64_t number, const cs_job_t *job)
{
  cs_pack_array (pack, JOB_FIELDS);
  cs_pack_number (pack, CS_FRAME_JOB);
  cs_pack_unsigned (pack, number);
  cs_pack_number (pack, (job->idempotent ? JOB_IDEMPOTENT : 0)
                            | (job->head_only ? JOB_HEAD_ONLY : 0));
  cs_pack_number (pack, job->priority);
  cs_pack_number (pack, job->target_left / CS_MSEC);
  cs_pack_number (pack, job->full_target / CS_MSEC);
  cs_pack_number (pack, job->limit_left / CS_MSEC);
  cs_pack_str (pack, job->id);
  cs_pack_str (pack, job->route);
  cs_pack_str (pack, job->service);
  cs_pack_str (pack, job->version);
  cs_pack_bytes (pack, job->head);
  cs_pack_bytes (pack, job->body);
}

void
cs_job_take (cs_cursor_t *cursor, uint64_t *number, cs_job_t *job)
{
  *job = (cs_job_t){ 0 };
  *number = cs_take_unsigned (cursor);
  int64_t flags = cs_take_number (cursor);
  job->idempotent = flags & JOB_IDEMPOTENT;
  job->head_only = flags & JOB_HEAD_ONLY;
  job->priority = cs_take_number (cursor);
  job->target_left = cs_take_number (cursor) * CS_MSEC;
  job->full_target = cs_take_number (cursor) * CS_MSEC;
  job->limit_left = cs_take_number (cursor) * CS_MSEC;
  if (job->limit_left < 0 || job->limit_left > MAX_JOB_TIME
      || job->target_left > MAX_JOB_TIME || job->target_left < -MAX_JOB_TIME)
    cursor->bad = true;
  job->id = cs_take_str (cursor);
  job->route = cs_take_str (cursor);
  job->service = cs_take_str (cursor);
  job->version = cs_take_str (cursor);
  job->head = cs_take_str (cursor);
  job->body = cs_take_str (cursor);
}

void
cs_outcome_pack (cs_pack_t *pack, uint64_t number, const cs_outcome_t *outcome)
{
  cs_pack_array (pack, OUTCOME_FIELDS);
  cs_pack_number (pack, CS_FRAME_OUTCOME);
  cs_pack_unsigned (pack, number);
  cs_pack_number (pack, outcome->kind);
  cs_pack_number (pack, outcome->reason);
  cs_pack_number (pack, outcome->arrived);
  cs_pack_number (pack, outcome->unframed);
  cs_pack_number (pack, outcome->status);
  cs_pack_number (pack, outcome->wait);
  cs_pack_number (pack, outcome->ran);
  cs_pack_number (pack, outcome->load.running);
  cs_pack_number (pack, outcome->load.waiting);
  cs_pack_number (pack, outcome->load.slots);
  cs_pack_number (pack, outcome->load.slot_time);
  cs_pack_number (pack, outcome->load.failing_permille);
  cs_pack_bytes (pack, outcome->fields);
  cs_pack_bytes (pack, outcome->body);
}

void
cs_outcome_take (cs_cursor_t *cursor, uint64_t *number, cs_outcome_t *outcome)
{
  *outcome = (cs_outcome_t){ 0 };
  *number = cs_take_unsigned (cursor);
  int64_t kind = cs_take_number (cursor), reason = cs_take_number (cursor);
  outcome->arrived = cs_take_number (cursor) != 0;
  outcome->unframed = cs_take_number (cursor) != 0;
  outcome->status = (unsigned)cs_take_number (cursor);
  outcome->wait = cs_take_number (cursor);
  outcome->ran = cs_take_number (cursor);
  outcome->load.running = cs_take_number (cursor);
  outcome->load.waiting = cs_take_number (cursor);
  outcome->load.slots = cs_take_number (cursor);
  outcome->load.slot_time = cs_take_number (cursor);
  outcome->load.failing_permille = cs_take_number (cursor);
  outcome->fields = cs_take_str (cursor);
  outcome->body = cs_take_str (cursor);
  if (kind < CS_OUTCOME_ANSWERED || kind > CS_OUTCOME_BROKEN || reason < 0
      || reason >= CS_REFUSED_COUNT || outcome->status > 999)
    cursor->bad = true;
  else
    {
      outcome->kind = (cs_outcome_kind_t)kind;
      outcome->reason = (cs_refused_t)reason;
    }
}
