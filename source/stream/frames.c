#include <string.h>

#include "cardamom/frames.h"

#define MEMBER_FIELDS 13
#define JOB_FIELDS 13
#define OUTCOME_FIELDS 16
#define MAX_JOB_TIME (3600 * CS_SEC) /* Longer than any route allows.  */
#define JOB_IDEMPOTENT 1
#define JOB_HEAD_ONLY 2

bool
cs_node_info_is_newer (const cs_node_info_t *a, const cs_node_info_t *b)
{
  return a->boot_ms != b->boot_ms ? a->boot_ms > b->boot_ms
                                  : a->revision > b->revision;
}

void
cs_node_info_pack (cs_pack_t *pack, const cs_node_info_t *member)
{
  cs_pack_array (pack, MEMBER_FIELDS);
  cs_pack_text (pack, member->name);
  cs_pack_text (pack, member->dc);
  cs_pack_text (pack, member->region);
  cs_pack_text (pack, member->address);
  cs_pack_number (pack, member->boot_ms);
  cs_pack_number (pack, member->revision);
  cs_pack_number (pack, member->stopping);
  cs_pack_number (pack, member->server_state);
  cs_pack_text (pack, member->service);
  cs_pack_text (pack, member->version);
  cs_pack_text (pack, member->instance);
  cs_pack_number (pack, member->slots);
  cs_pack_number (pack, member->server_started_ms);
}

void
cs_name_unpack (cs_cursor_t *cursor, char name[CS_NAME_SIZE])
{
  cs_str_t text = cs_take_str (cursor);
  if (text.len >= CS_NAME_SIZE
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
cs_node_info_unpack (cs_cursor_t *cursor, cs_node_info_t *member)
{
  cs_cursor_t in = cs_take_array (cursor);
  *member = (cs_node_info_t){ 0 };
  cs_name_unpack (&in, member->name);
  cs_name_unpack (&in, member->dc);
  cs_name_unpack (&in, member->region);
  cs_name_unpack (&in, member->address);
  member->boot_ms = cs_take_number (&in);
  member->revision = cs_take_number (&in);
  member->stopping = cs_take_number (&in) != 0;
  int64_t state = cs_take_number (&in);
  cs_name_unpack (&in, member->service);
  cs_name_unpack (&in, member->version);
  cs_name_unpack (&in, member->instance);
  member->slots = cs_take_number (&in);
  member->server_started_ms = cs_take_number (&in);
  if (in.bad || state < CS_BACKEND_NONE || state > CS_BACKEND_LOST
      || !member->name[0] || member->slots < 0)
    cursor->bad = true;
  else
    member->server_state = (cs_backend_state_t)state;
}

void
cs_dispatch_request_pack (cs_pack_t *pack, uint64_t number,
                          const cs_dispatch_request_t *job)
{
  cs_pack_array (pack, JOB_FIELDS);
  cs_pack_number (pack, CS_FRAME_JOB);
  cs_pack_unsigned (pack, number);
  cs_pack_number (pack, (job->idempotent ? JOB_IDEMPOTENT : 0)
                            | (job->is_head ? JOB_HEAD_ONLY : 0));
  cs_pack_number (pack, job->priority);
  cs_pack_number (pack, job->target_remaining / CS_MSEC);
  cs_pack_number (pack, job->latency_target / CS_MSEC);
  cs_pack_number (pack, job->deadline_remaining / CS_MSEC);
  cs_pack_str (pack, job->id);
  cs_pack_str (pack, job->route);
  cs_pack_str (pack, job->service);
  cs_pack_str (pack, job->version);
  cs_pack_bytes (pack, job->head);
  cs_pack_bytes (pack, job->body);
}

void
cs_dispatch_request_unpack (cs_cursor_t *cursor, uint64_t *number,
                            cs_dispatch_request_t *job)
{
  *job = (cs_dispatch_request_t){ 0 };
  *number = cs_take_unsigned (cursor);
  int64_t flags = cs_take_number (cursor);
  job->idempotent = flags & JOB_IDEMPOTENT;
  job->is_head = flags & JOB_HEAD_ONLY;
  job->priority = cs_take_number (cursor);
  job->target_remaining = cs_take_number (cursor) * CS_MSEC;
  job->latency_target = cs_take_number (cursor) * CS_MSEC;
  job->deadline_remaining = cs_take_number (cursor) * CS_MSEC;
  if (job->deadline_remaining < 0 || job->deadline_remaining > MAX_JOB_TIME
      || job->target_remaining > MAX_JOB_TIME
      || job->target_remaining < -MAX_JOB_TIME)
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
  cs_pack_number (pack, outcome->reached_server);
  cs_pack_number (pack, outcome->close_delimited);
  cs_pack_number (pack, outcome->status);
  cs_pack_number (pack, outcome->expected_wait);
  cs_pack_number (pack, outcome->service_time);
  cs_pack_number (pack, outcome->load.running);
  cs_pack_number (pack, outcome->load.queued);
  cs_pack_number (pack, outcome->load.slots);
  cs_pack_number (pack, outcome->load.mean_service_time);
  cs_pack_number (pack, outcome->load.failure_permille);
  cs_pack_bytes (pack, outcome->fields);
  cs_pack_bytes (pack, outcome->body);
}

void
cs_outcome_unpack (cs_cursor_t *cursor, uint64_t *number,
                   cs_outcome_t *outcome)
{
  *outcome = (cs_outcome_t){ 0 };
  *number = cs_take_unsigned (cursor);
  int64_t kind = cs_take_number (cursor), reason = cs_take_number (cursor);
  outcome->reached_server = cs_take_number (cursor) != 0;
  outcome->close_delimited = cs_take_number (cursor) != 0;
  outcome->status = (unsigned)cs_take_number (cursor);
  outcome->expected_wait = cs_take_number (cursor);
  outcome->service_time = cs_take_number (cursor);
  outcome->load.running = cs_take_number (cursor);
  outcome->load.queued = cs_take_number (cursor);
  outcome->load.slots = cs_take_number (cursor);
  outcome->load.mean_service_time = cs_take_number (cursor);
  outcome->load.failure_permille = cs_take_number (cursor);
  outcome->fields = cs_take_str (cursor);
  outcome->body = cs_take_str (cursor);
  if (kind < CS_OUTCOME_ANSWERED || kind > CS_OUTCOME_UNKNOWN || reason < 0
      || reason >= CS_REFUSED_COUNT || outcome->status > 999)
    cursor->bad = true;
  else
    {
      outcome->kind = (cs_outcome_kind_t)kind;
      outcome->reason = (cs_refusal_reason_t)reason;
    }
}
