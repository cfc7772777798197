/* Pending calls, which wait for their results, and the frames that carry calls
   between nodes.  */
#include <string.h>

#include "node.h"
#include "offers.h"
#include "peer-internal.h"

struct pending_call
{
  pthread_cond_t done;
  call_result_t *result;
  bool waiting; /* Unused.  */
};

struct calls
{
  node_t *node;
  pthread_mutex_t lock;
  GHashTable *table; /* &id -> pending_entry_t, owned by calls_wait.  */
  uint64_t last_id;
};

void
call_request_free (call_request_t *request)
{
  if (!request)
    return;
  g_free (request->method);
  g_free (request->path);
  if (request->headers)
    g_ptr_array_unref (request->headers);
  if (request->body)
    g_bytes_unref (request->body);
  g_free (request->service);
  g_free (request->version);
  g_free (request->team);
  g_free (request);
}

call_result_t *
call_result_new (cs_run_state_t run_state, const char *error_text)
{
  call_result_t *result = g_new0 (call_result_t, 1);
  result->run_state = run_state;
  result->load = -1;
  result->error_text = g_strdup (error_text);
  return result;
}

void
call_result_free (call_result_t *result)
{
  if (!result)
    return;
  if (result->headers)
    g_ptr_array_unref (result->headers);
  if (result->body)
    g_string_free (result->body, TRUE);
  cs_claim_release (&result->claim);
  g_free (result->error_text);
  g_free (result);
}

calls_t *
calls_new (node_t *node)
{
  calls_t *calls = g_new0 (calls_t, 1);
  calls->node = node;
  pthread_mutex_init (&calls->lock, NULL);
  calls->table = g_hash_table_new (g_int64_hash, g_int64_equal);
  /* Ids start from the wall time, so that a late result for an earlier process
     of this node matches no call.  */
  calls->last_id = (uint64_t)cs_now_wall (node->ctx) << 8;
  return calls;
}

void
calls_drop (calls_t *calls)
{
  g_hash_table_unref (calls->table);
  pthread_mutex_destroy (&calls->lock);
  g_free (calls);
}

/* A pending call and its key in the table.  */
typedef struct
{
  uint64_t id;
  pending_call_t call;
} pending_entry_t;

static pending_entry_t *
entry_of (pending_call_t *call)
{
  return (pending_entry_t *)(void *)((char *)call
                                     - offsetof (pending_entry_t, call));
}

pending_call_t *
calls_add (calls_t *calls, uint64_t *id)
{
  pthread_condattr_t attr;
  pending_entry_t *entry = g_new0 (pending_entry_t, 1);
  pthread_condattr_init (&attr);
  pthread_condattr_setclock (&attr, CLOCK_MONOTONIC);
  pthread_cond_init (&entry->call.done, &attr);
  pthread_condattr_destroy (&attr);
  pthread_mutex_lock (&calls->lock);
  entry->id = *id = ++calls->last_id;
  g_hash_table_insert (calls->table, &entry->id, entry);
  pthread_mutex_unlock (&calls->lock);
  return &entry->call;
}

bool
calls_complete (calls_t *calls, uint64_t id, call_result_t *result)
{
  pthread_mutex_lock (&calls->lock);
  pending_entry_t *entry = g_hash_table_lookup (calls->table, &id);
  bool accepted = entry && !entry->call.result;
  if (accepted)
    {
      entry->call.result = result;
      pthread_cond_signal (&entry->call.done);
    }
  pthread_mutex_unlock (&calls->lock);
  if (!accepted)
    {
      cs_counter_add (CS_C_LATE_RESULTS, 1);
      call_result_free (result);
    }
  return accepted;
}

call_result_t *
calls_wait (calls_t *calls, uint64_t id, pending_call_t *pending_call,
            cs_usec_t deadline)
{
  struct timespec until
      = { .tv_sec = deadline / CS_SEC, .tv_nsec = (deadline % CS_SEC) * 1000 };
  int error = 0;
  pthread_mutex_lock (&calls->lock);
  while (!pending_call->result && error == 0)
    error = pthread_cond_timedwait (&pending_call->done, &calls->lock, &until);
  call_result_t *result = pending_call->result;
  g_hash_table_remove (calls->table, &id);
  pthread_mutex_unlock (&calls->lock);
  peers_forget_call (calls->node->peers, id);
  pthread_cond_destroy (&pending_call->done);
  g_free (entry_of (pending_call));
  return result;
}

/* Frames.  */

static void
pack_headers (cs_pack_t *pack, const GPtrArray *headers)
{
  guint count = headers ? headers->len : 0;
  cs_pack_array (pack, 2 * (size_t)count);
  for (guint i = 0; i < count; i++)
    {
      const cs_header_t *header = headers->pdata[i];
      cs_pack_text (pack, header->name);
      cs_pack_text (pack, header->value);
    }
}

static GPtrArray *
unpack_headers (cs_unpack_cursor_t *cursor)
{
  GPtrArray *headers = cs_headers_new ();
  cs_unpack_cursor_t items = cs_unpack_array (cursor);
  while (items.remaining && !items.failed)
    {
      char *name = cs_unpack_text (&items);
      char *value = cs_unpack_text (&items);
      cs_headers_add (headers, name, value);
      g_free (name);
      g_free (value);
    }
  cursor->failed = cursor->failed || items.failed;
  return headers;
}

static GString *
unpack_body (cs_unpack_cursor_t *cursor)
{
  cs_str_t bytes = cs_unpack_str (cursor);
  return g_string_new_len (bytes.data, (gssize)bytes.len);
}

void
calls_pack_call (cs_pack_t *pack, uint64_t id, const call_request_t *request)
{
  cs_pack_array (pack, 16);
  cs_pack_int64 (pack, FRAME_CALL);
  cs_pack_uint64 (pack, id);
  cs_pack_text (pack, request->method);
  cs_pack_text (pack, request->path);
  cs_pack_text (pack, request->service);
  cs_pack_text (pack, request->version);
  cs_pack_text (pack, request->team);
  cs_pack_int64 (pack, request->weight);
  cs_pack_int64 (pack, request->priority);
  cs_pack_int64 (pack, request->idempotent);
  cs_pack_int64 (pack, request->depth);
  cs_pack_int64 (pack, request->time_remaining_us);
  cs_pack_uint64 (pack, request->fingerprint);
  pack_headers (pack, request->headers);
  cs_pack_bytes (pack, cs_str_of_bytes (request->body));
  cs_pack_int64 (pack, request->takes_offers);
}

/* Read the body of a request; false if there is no memory for it.  */
static bool
unpack_request_body (node_t *node, cs_unpack_cursor_t *cursor, GBytes **body)
{
  cs_claim_t claim = { .claims = &node->request_claims };
  cs_str_t view = cs_unpack_str (cursor);
  if (!view.len)
    return true;
  if (!cs_claim_grow (&claim, (int64_t)view.len))
    return false;
  *body = cs_claim_share (&claim,
                          g_string_new_len (view.data, (gssize)view.len));
  return true;
}

/* Tell the node ORIGIN that its call ID has not run, for want of memory.  */
static void
refuse_call (node_t *node, const char *origin, uint64_t id)
{
  call_result_t *result = call_result_new (
      CS_RUN_NOT_STARTED, "the upstream's node has no memory for the request");
  cs_counter_add (CS_C_NO_MEMORY, 1);
  result->shed = true;
  calls_send_result (node, origin, id, result);
  call_result_free (result);
}

void
calls_handle_call (node_t *node, const char *from, cs_str_t payload)
{
  cs_unpack_t unpack;
  cs_unpack_cursor_t cursor;
  cs_ctx_t *ctx = node_thread_ctx (node);
  if (cs_unpack_init (ctx, &unpack, payload, &cursor) != CS_OK)
    return;
  call_request_t *request = g_new0 (call_request_t, 1);
  cs_unpack_int64 (&cursor);
  uint64_t id = cs_unpack_uint64 (&cursor);
  request->method = cs_unpack_text (&cursor);
  request->path = cs_unpack_text (&cursor);
  request->service = cs_unpack_text (&cursor);
  request->version = cs_unpack_text (&cursor);
  request->team = cs_unpack_text (&cursor);
  request->weight = cs_unpack_int64 (&cursor);
  request->priority = cs_unpack_int64 (&cursor);
  request->idempotent = cs_unpack_int64 (&cursor) != 0;
  request->depth = cs_unpack_int64 (&cursor);
  request->time_remaining_us = cs_unpack_int64 (&cursor);
  request->fingerprint = cs_unpack_uint64 (&cursor);
  request->headers = unpack_headers (&cursor);
  bool has_room = unpack_request_body (node, &cursor, &request->body);
  /* Earlier versions end here.  */
  request->takes_offers = cursor.remaining && cs_unpack_int64 (&cursor) != 0;
  cs_unpack_clear (&unpack);
  if (!cursor.failed && has_room)
    local_upstream_submit (node->local_upstream, request, from, id);
  else if (!cursor.failed)
    {
      refuse_call (node, from, id);
      call_request_free (request);
    }
  else
    {
      cs_counter_add (CS_C_FRAMES_REFUSED, 1);
      call_request_free (request);
    }
}

static void
pack_result (cs_pack_t *pack, uint64_t id, const call_result_t *result)
{
  cs_pack_array (pack, 11);
  cs_pack_int64 (pack, FRAME_RESULT);
  cs_pack_uint64 (pack, id);
  cs_pack_int64 (pack, result->run_state);
  cs_pack_int64 (pack, result->status);
  cs_pack_int64 (pack, result->shed);
  cs_pack_int64 (pack, result->load);
  cs_pack_int64 (pack, result->retry_after_ms);
  cs_pack_text (pack, result->error_text ? result->error_text : "");
  pack_headers (pack, result->headers);
  cs_pack_bytes (pack, result->body ? cs_str_of_gstring (result->body)
                                    : (cs_str_t){ 0 });
  cs_pack_int64 (pack, result->offered_bytes);
}

void
calls_send_result (node_t *node, const char *origin, uint64_t id,
                   const call_result_t *result)
{
  cs_pack_t pack;
  cs_pack_init (&pack);
  pack_result (&pack, id, result);
  peers_reply (node->peers, origin, cs_pack_payload (&pack));
  cs_pack_clear (&pack);
}

void
calls_handle_result (node_t *node, cs_str_t payload)
{
  cs_unpack_t unpack;
  cs_unpack_cursor_t cursor;
  cs_ctx_t *ctx = node_thread_ctx (node);
  if (cs_unpack_init (ctx, &unpack, payload, &cursor) != CS_OK)
    return;
  call_result_t *result = g_new0 (call_result_t, 1);
  cs_unpack_int64 (&cursor);
  uint64_t id = cs_unpack_uint64 (&cursor);
  int64_t run_state = cs_unpack_int64 (&cursor);
  result->run_state = (cs_run_state_t)run_state;
  result->status = (int)cs_unpack_int64 (&cursor);
  result->shed = cs_unpack_int64 (&cursor) != 0;
  result->load = cs_unpack_int64 (&cursor);
  result->retry_after_ms = cs_unpack_int64 (&cursor);
  result->error_text = cs_unpack_text (&cursor);
  result->headers = unpack_headers (&cursor);
  result->body = unpack_body (&cursor);
  if (cursor.remaining)
    result->offered_bytes = cs_unpack_int64 (&cursor);
  cs_unpack_clear (&unpack);
  if (!cursor.failed && run_state >= CS_RUN_NOT_STARTED
      && run_state <= CS_RUN_CRASHED)
    calls_complete (node->calls, id, result);
  else
    {
      cs_counter_add (CS_C_FRAMES_REFUSED, 1);
      call_result_free (result);
    }
}

void
calls_pack_cancel (cs_pack_t *pack, uint64_t id)
{
  cs_pack_array (pack, 2);
  cs_pack_int64 (pack, FRAME_CANCEL);
  cs_pack_uint64 (pack, id);
}

void
calls_handle_cancel (node_t *node, const char *from, cs_str_t payload)
{
  cs_unpack_t unpack;
  cs_unpack_cursor_t cursor;
  cs_ctx_t *ctx = node_thread_ctx (node);
  if (cs_unpack_init (ctx, &unpack, payload, &cursor) != CS_OK)
    return;
  cs_unpack_int64 (&cursor);
  uint64_t id = cs_unpack_uint64 (&cursor);
  cs_unpack_clear (&unpack);
  if (cursor.failed)
    return;
  local_upstream_cancel (node->local_upstream, from, id);
  offers_cancel (node->offers, from, id);
}
