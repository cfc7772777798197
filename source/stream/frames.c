#include <string.h>

#include "cardamom/frames.h"

/* Elements of the msgpack arrays of a cs_node_info_t, a job message and an
   outcome message.  */
#define NODE_INFO_FIELDS 15
#define JOB_FIELDS 18
#define OUTCOME_FIELDS 23
/* A job message is invalid when its deadline or target time is further away
   than this.  The node that sends it allows a call DEFAULT_CALL_TIMEOUT
   (call/calls.c) at most, whatever the route allows.  */
#define JOB_TIME_MAX (3600 * CS_SEC)
/* Flags in a job message.  */
#define JOB_IDEMPOTENT 1
#define JOB_HEAD_ONLY 2 /* The method is HEAD.  */
#define JOB_RETRY 4
/* Flags of an outcome.  */
#define OUTCOME_STALE_CONNECTION 1
#define LOAD_NO_RETRIES 2
#define OUTCOME_RETRIES_STRAINED 4

bool
cs_node_info_is_newer (const cs_node_info_t *a, const cs_node_info_t *b)
{
  return a->boot_ms != b->boot_ms ? a->boot_ms > b->boot_ms
                                  : a->revision > b->revision;
}

bool
cs_node_reads_before (const cs_node_info_t *a, const cs_node_info_t *b)
{
  return a->link_mbps != b->link_mbps ? a->link_mbps > b->link_mbps
                                      : strcmp (a->name, b->name) < 0;
}

void
cs_node_info_pack (cs_pack_t *pack, const cs_node_info_t *info)
{
  cs_pack_array (pack, NODE_INFO_FIELDS);
  cs_pack_text (pack, info->name);
  cs_pack_text (pack, info->dc);
  cs_pack_text (pack, info->region);
  cs_pack_text (pack, info->address);
  cs_pack_int64 (pack, info->boot_ms);
  cs_pack_int64 (pack, info->revision);
  cs_pack_int64 (pack, info->stopping);
  cs_pack_int64 (pack, info->server_state);
  cs_pack_text (pack, info->service);
  cs_pack_text (pack, info->version);
  cs_pack_text (pack, info->instance);
  cs_pack_int64 (pack, info->slots);
  cs_pack_int64 (pack, info->server_started_ms);
  cs_pack_int64 (pack, info->link_mbps);
  cs_pack_int64 (pack, info->server_cold_left);
}

void
cs_name_unpack (cs_unpack_cursor_t *cursor, char name[CS_NAME_SIZE])
{
  cs_str_t text = cs_unpack_str (cursor);
  if (text.len >= CS_NAME_SIZE
      || memchr (text.data ? text.data : "", 0, text.len))
    {
      cursor->failed = true;
      return;
    }
  if (text.len)
    memcpy (name, text.data, text.len);
  name[text.len] = '\0';
}

void
cs_node_info_unpack (cs_unpack_cursor_t *cursor, cs_node_info_t *info)
{
  cs_unpack_cursor_t in = cs_unpack_array (cursor);
  *info = (cs_node_info_t){ 0 };
  cs_name_unpack (&in, info->name);
  cs_name_unpack (&in, info->dc);
  cs_name_unpack (&in, info->region);
  cs_name_unpack (&in, info->address);
  info->boot_ms = cs_unpack_int64 (&in);
  info->revision = cs_unpack_int64 (&in);
  info->stopping = cs_unpack_int64 (&in) != 0;
  int64_t state = cs_unpack_int64 (&in);
  cs_name_unpack (&in, info->service);
  cs_name_unpack (&in, info->version);
  cs_name_unpack (&in, info->instance);
  info->slots = cs_unpack_int64 (&in);
  info->server_started_ms = cs_unpack_int64 (&in);
  /* Earlier releases do not send it.  */
  if (in.remaining)
    info->link_mbps = cs_unpack_int64 (&in);
  if (in.remaining)
    info->server_cold_left = cs_unpack_int64 (&in);
  if (in.failed || state < CS_BACKEND_NONE || state > CS_BACKEND_LOST
      || !info->name[0] || info->slots < 0 || info->link_mbps < 0
      || info->server_cold_left < 0 || info->server_cold_left > JOB_TIME_MAX)
    cursor->failed = true;
  else
    info->server_state = (cs_backend_state_t)state;
}

/* Pack BODY, or with SPLIT only what goes before its bytes.  */
static void
pack_body (cs_pack_t *pack, cs_str_t body, size_t *split)
{
  if (!split)
    {
      cs_pack_bytes (pack, body);
      return;
    }
  msgpack_pack_bin (&pack->packer, body.len);
  *split = cs_pack_payload (pack).len;
}

void
cs_body_ask_pack (cs_pack_t *pack, uint64_t number,
                  const cs_dispatch_request_t *request)
{
  cs_pack_array (pack, 9);
  cs_pack_int64 (pack, CS_FRAME_BODY_ASK);
  cs_pack_uint64 (pack, number);
  cs_pack_uint64 (pack, request->body.len);
  cs_pack_str (pack, request->service);
  cs_pack_str (pack, request->route);
  cs_pack_int64 (pack, request->target_remaining / CS_MSEC);
  cs_pack_int64 (pack, request->latency_target / CS_MSEC);
  cs_pack_int64 (pack, request->deadline_remaining / CS_MSEC);
  cs_pack_int64 (pack, request->retry);
}

void
cs_body_ask_unpack (cs_unpack_cursor_t *cursor, uint64_t *number,
                    cs_dispatch_request_t *request, size_t *bytes)
{
  *request = (cs_dispatch_request_t){ .wait_max = INT64_MAX };
  *number = cs_unpack_uint64 (cursor);
  *bytes = (size_t)cs_unpack_uint64 (cursor);
  request->service = cs_unpack_str (cursor);
  request->route = cs_unpack_str (cursor);
  request->target_remaining = cs_unpack_int64 (cursor) * CS_MSEC;
  request->latency_target = cs_unpack_int64 (cursor) * CS_MSEC;
  request->deadline_remaining = cs_unpack_int64 (cursor) * CS_MSEC;
  request->retry = cs_unpack_int64 (cursor) != 0;
  if (request->deadline_remaining > JOB_TIME_MAX
      || request->target_remaining > JOB_TIME_MAX
      || request->target_remaining < -JOB_TIME_MAX
      || request->latency_target < 0 || request->latency_target > JOB_TIME_MAX)
    cursor->failed = true;
}

/* The unsigned number at *AT of TEXT, in any msgpack form; *AT is moved behind
   it.  False if there is none.  */
static bool
peek_number (cs_str_t text, size_t *at, uint64_t *number)
{
  if (*at >= text.len)
    return false;
  unsigned char first = (unsigned char)text.data[(*at)++];
  *number = first;
  if (first < 0x80)
    return true;
  if (first < 0xcc || first > 0xcf)
    return false;
  size_t bytes = (size_t)1 << (first - 0xcc);
  *number = 0;
  for (; bytes && *at < text.len; bytes--)
    *number = *number << 8 | (unsigned char)text.data[(*at)++];
  return bytes == 0;
}

static bool
peek_frame (cs_str_t beginning, cs_frame_kind_t sought, uint64_t *number)
{
  /* The head of an array of 16 elements or more.  */
  size_t at = 3;
  uint64_t kind;
  return beginning.len > at && (unsigned char)beginning.data[0] == 0xdc
         && peek_number (beginning, &at, &kind) && kind == sought
         && peek_number (beginning, &at, number);
}

bool
cs_frame_peek_job (cs_str_t beginning, uint64_t *number)
{
  return peek_frame (beginning, CS_FRAME_JOB, number);
}

bool
cs_frame_peek_outcome (cs_str_t beginning, uint64_t *number)
{
  return peek_frame (beginning, CS_FRAME_OUTCOME, number);
}

void
cs_dispatch_request_pack (cs_pack_t *pack, uint64_t number,
                          const cs_dispatch_request_t *request, size_t *split)
{
  cs_pack_array (pack, JOB_FIELDS);
  cs_pack_int64 (pack, CS_FRAME_JOB);
  cs_pack_uint64 (pack, number);
  cs_pack_int64 (pack, (request->idempotent ? JOB_IDEMPOTENT : 0)
                           | (request->method_is_head ? JOB_HEAD_ONLY : 0)
                           | (request->retry ? JOB_RETRY : 0));
  cs_pack_int64 (pack, request->priority);
  cs_pack_int64 (pack, request->target_remaining / CS_MSEC);
  cs_pack_int64 (pack, request->latency_target / CS_MSEC);
  cs_pack_int64 (pack, request->deadline_remaining / CS_MSEC);
  cs_pack_str (pack, request->id);
  cs_pack_str (pack, request->route);
  cs_pack_str (pack, request->service);
  cs_pack_str (pack, request->version);
  cs_pack_bytes (pack, request->head);
  pack_body (pack, request->body, split);
  cs_pack_uint64 (pack, request->fingerprint);
  cs_pack_int64 (pack, (int64_t)(request->inherited_retry * 1000.0));
  cs_pack_int64 (pack, request->sent_at);
  cs_pack_int64 (pack, request->wait_max);
  cs_pack_int64 (pack, (int64_t)(request->warmup_per_s * 1000.0));
}

void
cs_dispatch_request_unpack (cs_unpack_cursor_t *cursor, uint64_t *number,
                            cs_dispatch_request_t *request)
{
  *request = (cs_dispatch_request_t){ .wait_max = INT64_MAX };
  *number = cs_unpack_uint64 (cursor);
  int64_t flags = cs_unpack_int64 (cursor);
  request->idempotent = flags & JOB_IDEMPOTENT;
  request->method_is_head = flags & JOB_HEAD_ONLY;
  request->retry = flags & JOB_RETRY;
  request->priority = cs_unpack_int64 (cursor);
  request->target_remaining = cs_unpack_int64 (cursor) * CS_MSEC;
  request->latency_target = cs_unpack_int64 (cursor) * CS_MSEC;
  request->deadline_remaining = cs_unpack_int64 (cursor) * CS_MSEC;
  if (request->deadline_remaining < 0
      || request->deadline_remaining > JOB_TIME_MAX
      || request->target_remaining > JOB_TIME_MAX
      || request->target_remaining < -JOB_TIME_MAX)
    cursor->failed = true;
  request->id = cs_unpack_str (cursor);
  request->route = cs_unpack_str (cursor);
  request->service = cs_unpack_str (cursor);
  request->version = cs_unpack_str (cursor);
  request->head = cs_unpack_str (cursor);
  request->body = cs_unpack_str (cursor);
  /* Earlier releases do not send it.  */
  if (cursor->remaining)
    request->fingerprint = cs_unpack_uint64 (cursor);
  if (cursor->remaining)
    {
      int64_t permille = cs_unpack_int64 (cursor);
      request->inherited_retry = (double)CLAMP (permille, 0, 1000) / 1000.0;
      request->sent_at = cs_unpack_int64 (cursor);
      request->wait_max = cs_unpack_int64 (cursor);
      if (request->sent_at < 0 || request->sent_at > INT64_MAX / 2
          || request->wait_max < 0)
        cursor->failed = true;
    }
  if (cursor->remaining)
    {
      int64_t per_1000_s = cs_unpack_int64 (cursor);
      request->warmup_per_s = (double)MAX (per_1000_s, 0) / 1000.0;
    }
}

void
cs_outcome_pack (cs_pack_t *pack, uint64_t number, const cs_outcome_t *outcome,
                 size_t *split)
{
  cs_pack_array (pack, OUTCOME_FIELDS);
  cs_pack_int64 (pack, CS_FRAME_OUTCOME);
  cs_pack_uint64 (pack, number);
  cs_pack_int64 (pack, outcome->kind);
  cs_pack_int64 (pack, outcome->reason);
  cs_pack_int64 (pack, outcome->reached_server);
  /* Once: whether the server framed the body by its close.  */
  cs_pack_int64 (pack, 0);
  cs_pack_int64 (pack, outcome->status);
  cs_pack_int64 (pack, outcome->expected_wait);
  cs_pack_int64 (pack, outcome->service_time);
  cs_pack_int64 (pack, outcome->load.running);
  cs_pack_int64 (pack, outcome->load.queued);
  cs_pack_int64 (pack, outcome->load.slots);
  cs_pack_int64 (pack, outcome->load.mean_service_time);
  cs_pack_int64 (pack, outcome->load.failure_permille);
  cs_pack_bytes (pack, outcome->fields);
  pack_body (pack, outcome->body, split);
  cs_pack_int64 (pack, outcome->load.limit_interval);
  cs_pack_int64 (pack, outcome->load.limit_wait);
  cs_pack_int64 (pack, outcome->server_leaving);
  cs_pack_int64 (
      pack, (outcome->stale_connection ? OUTCOME_STALE_CONNECTION : 0)
                | (outcome->load.refuses_retries ? LOAD_NO_RETRIES : 0)
                | (outcome->retries_strained ? OUTCOME_RETRIES_STRAINED : 0));
  cs_pack_int64 (pack, outcome->load.transit);
  cs_pack_int64 (pack, outcome->load.cold_left);
  cs_pack_int64 (pack, outcome->load.link_wait);
}

void
cs_outcome_unpack (cs_unpack_cursor_t *cursor, uint64_t *number,
                   cs_outcome_t *outcome)
{
  *outcome = (cs_outcome_t){ 0 };
  *number = cs_unpack_uint64 (cursor);
  int64_t kind = cs_unpack_int64 (cursor), reason = cs_unpack_int64 (cursor);
  outcome->reached_server = cs_unpack_int64 (cursor) != 0;
  cs_unpack_int64 (cursor); /* See cs_outcome_pack.  */
  outcome->status = (unsigned)cs_unpack_int64 (cursor);
  outcome->expected_wait = cs_unpack_int64 (cursor);
  outcome->service_time = cs_unpack_int64 (cursor);
  outcome->load.running = cs_unpack_int64 (cursor);
  outcome->load.queued = cs_unpack_int64 (cursor);
  outcome->load.slots = cs_unpack_int64 (cursor);
  outcome->load.mean_service_time = cs_unpack_int64 (cursor);
  outcome->load.failure_permille = cs_unpack_int64 (cursor);
  outcome->fields = cs_unpack_str (cursor);
  outcome->body = cs_unpack_str (cursor);
  /* Earlier releases do not send them.  */
  if (cursor->remaining)
    {
      outcome->load.limit_interval = cs_unpack_int64 (cursor);
      outcome->load.limit_wait = cs_unpack_int64 (cursor);
      outcome->server_leaving = cs_unpack_int64 (cursor) != 0;
    }
  if (cursor->remaining)
    {
      int64_t flags = cs_unpack_int64 (cursor);
      outcome->stale_connection = flags & OUTCOME_STALE_CONNECTION;
      outcome->load.refuses_retries = flags & LOAD_NO_RETRIES;
      outcome->retries_strained = flags & OUTCOME_RETRIES_STRAINED;
      outcome->load.transit = cs_unpack_int64 (cursor);
    }
  if (cursor->remaining)
    outcome->load.cold_left = cs_unpack_int64 (cursor);
  if (cursor->remaining)
    outcome->load.link_wait = cs_unpack_int64 (cursor);
  if (kind < CS_OUTCOME_ANSWERED || kind > CS_OUTCOME_UNKNOWN || reason < 0
      || reason >= CS_REFUSED_COUNT || outcome->status > 999
      || outcome->load.limit_interval < 0
      || outcome->load.limit_interval > JOB_TIME_MAX
      || outcome->load.limit_wait < 0 || outcome->load.transit < 0
      || outcome->load.transit > JOB_TIME_MAX || outcome->load.link_wait < 0
      || outcome->load.link_wait > JOB_TIME_MAX || outcome->load.cold_left < 0
      || outcome->load.cold_left > JOB_TIME_MAX
      || outcome->load.limit_wait > JOB_TIME_MAX)
    cursor->failed = true;
  else
    {
      outcome->kind = (cs_outcome_kind_t)kind;
      outcome->reason = (cs_refusal_reason_t)reason;
    }
}
