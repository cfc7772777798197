#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>

#include "cardamom/client.h"
#include "cardamom/http.h"

/* A connection idle for longer than this is not reused, for the server may be
   about to close it.  */
#define IDLE_REUSE_MAX (1 * CS_SEC)
/* The connection breaks when sent data stays unacknowledged for this long.  */
#define UNACKED_DATA_TIMEOUT (10 * CS_SEC)
#define RESUME_INTERVAL_MS 10

/* State of the current call.  */
typedef enum
{
  CALL_IN_FLIGHT,
  CALL_ANSWERED,
  CALL_FAILED,
  CALL_TIMED_OUT
} call_state_t;

struct cs_http_client
{
  uv_loop_t loop;
  uv_timer_t timer;
  struct sockaddr_in address;
  bool address_valid;
  cs_usec_t timeout;
  cs_http1_client_t *client; /* NULL: no connection.  */
  unsigned uses;             /* Requests sent on it.  */
  cs_usec_t last_used;
  const char *number_header; /* Of the current request.  */
  int64_t number;            /* Of the last numbered request.  */
  bool number_returned;      /* By the answer to the current request.  */
  call_state_t state;
  cs_http1_client_error_t error;
  bool close_delimited;
  cs_http_answer_t *answer;
  cs_answer_memory_t memory;
  uv_timer_t resume_timer; /* Runs while the answer waits for memory.  */
};

static void
free_header (gpointer data)
{
  cs_header_t *header = data;
  g_free (header->name);
  g_free (header->value);
  g_free (header);
}

GPtrArray *
cs_headers_new (void)
{
  return g_ptr_array_new_with_free_func (free_header);
}

void
cs_headers_add (GPtrArray *headers, const char *name, const char *value)
{
  cs_header_t *header = g_new (cs_header_t, 1);
  header->name = g_strdup (name);
  header->value = g_strdup (value);
  g_ptr_array_add (headers, header);
}

GPtrArray *
cs_headers_from_message (const cs_http1_message_t *message)
{
  GPtrArray *headers = cs_headers_new ();
  for (guint i = 0; i < message->fields->len; i++)
    {
      const cs_http1_field_t *field
          = &g_array_index (message->fields, cs_http1_field_t, i);
      char *name = cs_str_dup (field->name),
           *value = cs_str_dup (field->value);
      cs_headers_add (headers, name, value);
      g_free (name);
      g_free (value);
    }
  return headers;
}

GPtrArray *
cs_headers_copy (const GPtrArray *headers)
{
  GPtrArray *copy = cs_headers_new ();
  for (guint i = 0; i < headers->len; i++)
    {
      const cs_header_t *header = headers->pdata[i];
      cs_headers_add (copy, header->name, header->value);
    }
  return copy;
}

const char *
cs_headers_get (const GPtrArray *headers, const char *name)
{
  for (guint i = 0; headers && i < headers->len; i++)
    {
      const cs_header_t *header = headers->pdata[i];
      if (g_ascii_strcasecmp (header->name, name) == 0)
        return header->value;
    }
  return NULL;
}

void
cs_http_answer_clear (cs_http_answer_t *answer)
{
  if (answer->headers)
    g_ptr_array_unref (answer->headers);
  if (answer->body)
    g_string_free (answer->body, TRUE);
  cs_claim_release (&answer->claim);
  memset (answer, 0, sizeof *answer);
}

cs_http_client_t *
cs_http_client_new (cs_ctx_t *ctx, const char *host, unsigned port,
                    cs_usec_t timeout)
{
  cs_http_client_t *http = cs_calloc (ctx, sizeof *http);
  uv_loop_init (&http->loop);
  uv_timer_init (&http->loop, &http->timer);
  uv_timer_init (&http->loop, &http->resume_timer);
  http->timer.data = http->resume_timer.data = http;
  http->address_valid = uv_ip4_addr (host, (int)port, &http->address) == 0;
  http->timeout = timeout;
  http->memory.max_total = INT64_MAX;
  return http;
}

static void
close_client (cs_http_client_t *http)
{
  cs_http1_client_drop (http->client);
  http->client = NULL;
  uv_run (&http->loop, UV_RUN_NOWAIT);
}

void
cs_http_client_drop (cs_ctx_t *ctx, cs_http_client_t *http)
{
  if (!http)
    return;
  cs_http1_client_drop (http->client);
  uv_close ((uv_handle_t *)&http->timer, NULL);
  uv_close ((uv_handle_t *)&http->resume_timer, NULL);
  uv_run (&http->loop, UV_RUN_DEFAULT);
  uv_loop_close (&http->loop);
  cs_free (ctx, http);
}

void
cs_http_client_share_memory (cs_http_client_t *http, cs_claims_t *claims,
                             unsigned copies)
{
  http->memory.claims = claims;
  http->memory.copies = copies;
}

static void
on_resume (uv_timer_t *timer)
{
  cs_http_client_t *http = timer->data;
  cs_http1_client_resume (http->client, false);
}

/* Go on with an answer that waits for memory, now and then.  */
static void
await_memory (cs_http_client_t *http)
{
  if (http->client && cs_http1_client_paused_since (http->client))
    uv_timer_start (&http->resume_timer, on_resume, RESUME_INTERVAL_MS, 0);
}

static GString *
format_request (const cs_http_client_t *http, const cs_http_request_t *request)
{
  char host[INET_ADDRSTRLEN] = "";
  bool joined = !request->body_bytes;
  GString *out = g_string_sized_new (512 + (joined ? request->body.len : 0));
  uv_ip4_name (&http->address, host, sizeof host);
  g_string_append_printf (out, "%s %s HTTP/1.1\r\nHost: %s:%u\r\n",
                          request->method, request->path, host,
                          ntohs (http->address.sin_port));
  for (guint i = 0; request->headers && i < request->headers->len; i++)
    {
      const cs_header_t *header = request->headers->pdata[i];
      g_string_append_printf (out, "%s: %s\r\n", header->name, header->value);
    }
  if (request->number_header)
    g_string_append_printf (out, "%s: %" G_GINT64_FORMAT "\r\n",
                            request->number_header, http->number);
  if (request->body.len || strcmp (request->method, "GET") != 0)
    g_string_append_printf (out, "Content-Length: %zu\r\n", request->body.len);
  g_string_append (out, "\r\n");
  if (joined)
    g_string_append_len (out, request->body.data, (gssize)request->body.len);
  return out;
}

static void
on_answer_received (void *user, cs_http1_message_t *message)
{
  cs_http_client_t *http = user;
  cs_http_answer_t *answer = http->answer;
  answer->status = (int)message->parser.status_code;
  answer->headers = cs_headers_from_message (message);
  answer->body = message->body;
  message->body = g_string_new (NULL);
  if (message->claim)
    {
      answer->claim = *message->claim;
      *message->claim = (cs_claim_t){ 0 };
    }
  http->close_delimited = message->close_delimited;
  http->state = CALL_ANSWERED;
}

static void
on_failed (void *user, cs_http1_client_error_t error, bool partial)
{
  cs_http_client_t *http = user;
  (void)partial;
  http->error = error;
  http->state = CALL_FAILED;
}

static void
on_answer_precluded (void *user)
{
  on_failed (user, CS_HTTP1_ANSWER_MISMATCHED, false);
}

/* Whether ANSWER is to the current request, by its number.  One without a
   number is, if the request is the first one on the connection.  Otherwise it
   may be to any, and the call fails, for another one may never come.  */
static bool
answer_matches (void *user, const cs_http1_message_t *answer)
{
  cs_http_client_t *http = user;
  if (!http->number_header)
    return true;
  http->number_returned
      = cs_http1_message_field (answer, http->number_header).data;
  if (http->number_returned)
    return cs_http1_message_field_number (answer, http->number_header,
                                          INT64_MAX, -1)
           == http->number;
  if (http->uses == 1)
    return true;
  on_failed (http, CS_HTTP1_ANSWER_MISMATCHED, false);
  return false;
}

static void
on_timeout (uv_timer_t *timer)
{
  cs_http_client_t *http = timer->data;
  http->state = CALL_TIMED_OUT;
}

/* Makes http->client ready for a request: keeps the previous connection if
   REUSE is set and it is still usable, else creates a new one.  */
static void
acquire_client (cs_http_client_t *http, cs_ctx_t *ctx, bool reuse)
{
  cs_usec_t now = cs_now (ctx);
  /* Process a close by the server that has already arrived.  */
  uv_run (&http->loop, UV_RUN_NOWAIT);
  if (http->client && reuse && now - http->last_used <= IDLE_REUSE_MAX
      && cs_http1_client_is_usable (http->client, now))
    return;
  if (http->client)
    close_client (http);
  http->client = cs_http1_client_new (&http->loop, ctx->clock, &http->address,
                                      UNACKED_DATA_TIMEOUT);
  http->uses = 0;
}

static cs_status_t
call_status (cs_ctx_t *ctx, const cs_http_client_t *http,
             const cs_http_request_t *request)
{
  if (http->state == CALL_TIMED_OUT)
    return cs_fail (ctx, CS_UNKNOWN, "no whole answer within %lld ms",
                    (long long)(http->timeout / CS_MSEC));
  if (http->state == CALL_ANSWERED && http->close_delimited)
    return cs_fail (ctx, CS_UNKNOWN,
                    "the answer has neither a length nor chunks; its end "
                    "cannot be told from a broken connection");
  if (http->state == CALL_ANSWERED)
    return CS_OK;
  if (http->error == CS_HTTP1_ANSWER_TOO_LARGE)
    return cs_fail (ctx, CS_LIMIT_EXCEEDED,
                    "the answer exceeds %zu bytes; raise --body-max",
                    request->answer_max);
  if (cs_http1_client_error_is_unsent (http->error))
    return cs_fail (ctx, CS_UNAVAILABLE,
                    "cannot connect to the server; see "
                    "whether it listens");
  return cs_fail (ctx, CS_UNKNOWN, "no whole answer: %s",
                  cs_http1_client_error_text (http->error));
}

cs_status_t
cs_http_client_call (cs_ctx_t *ctx, cs_http_client_t *http,
                     const cs_http_request_t *request,
                     cs_http_answer_t *answer)
{
  static const cs_http1_client_handler_t handler
      = { .answer_received = on_answer_received,
          .failed = on_failed,
          .answer_matches = answer_matches,
          .answer_precluded = on_answer_precluded };
  memset (answer, 0, sizeof *answer);
  if (!http->address_valid)
    return cs_fail (ctx, CS_BAD_INPUT, "the server's address is no IP number");
  acquire_client (http, ctx, request->reuse_connection);
  http->answer = answer;
  http->state = CALL_IN_FLIGHT;
  http->close_delimited = http->number_returned = false;
  http->number_header = request->number_header;
  http->number += request->number_header != NULL;
  http->uses++;
  http->memory.max_per_answer = (int64_t)request->answer_max;
  cs_http1_client_share_memory (http->client, &http->memory);
  uv_update_time (&http->loop);
  uv_timer_start (&http->timer, on_timeout,
                  (uint64_t)(http->timeout / CS_MSEC), 0);
  cs_http1_client_send_body (
      http->client, format_request (http, request), request->body_bytes,
      strcmp (request->method, "HEAD") == 0, &handler, http);
  while (http->state == CALL_IN_FLIGHT)
    {
      await_memory (http);
      uv_run (&http->loop, UV_RUN_ONCE);
    }
  uv_timer_stop (&http->timer);
  uv_timer_stop (&http->resume_timer);
  http->last_used = cs_now (ctx);
  cs_status_t status = call_status (ctx, http, request);
  if (status != CS_OK)
    cs_http_answer_clear (answer);
  if (status != CS_OK || (request->number_header && !http->number_returned))
    close_client (http);
  return status;
}

cs_status_t
cs_address_parse (cs_ctx_t *ctx, const char *text, char **host, unsigned *port)
{
  const char *colon = strrchr (text, ':');
  char *end = NULL;
  unsigned long port_number = colon ? strtoul (colon + 1, &end, 10) : 0;
  struct in_addr ipv4;
  char *host_text = colon ? g_strndup (text, (gsize)(colon - text)) : NULL;
  if (!colon || end == colon + 1 || *end || port_number == 0
      || port_number > 65535 || inet_pton (AF_INET, host_text, &ipv4) != 1)
    {
      g_free (host_text);
      return cs_fail (ctx, CS_BAD_INPUT,
                      "'%s' is no address; write IP:PORT, as 127.0.0.1:7000",
                      text);
    }
  *host = host_text;
  *port = (unsigned)port_number;
  return CS_OK;
}
