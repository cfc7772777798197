#include <string.h>

#include "cardamom/client.h"
#include "cardamom/connection-end.h"
#include "cardamom/counters.h"

/* Limits in bytes; that of the body is the default.  */
#define ANSWER_HEAD_MAX 65536
#define ANSWER_BODY_MAX (64u << 20)

/* Interim (1xx) and mismatched answers that one request may get.  */
#define SKIPPED_ANSWERS_MAX 16

/* Reuse of an idle connection ends this long before the server closes it, so
   that no request crosses the close.  */
#define KEEP_ALIVE_MARGIN (200 * CS_MSEC)

/* A Keep-Alive timeout of so many seconds or more counts as none.  */
#define KEEP_ALIVE_MAX_S 3600

struct cs_http1_client
{
  uv_tcp_t tcp;
  uv_connect_t connect;
  cs_clock_t *clock;
  struct sockaddr_in address;
  cs_usec_t unacked_timeout;
  cs_http1_client_handler_t handler;
  void *user;
  cs_http1_message_t answer;
  GString *request;     /* Kept until the connection is open.  */
  GBytes *request_body; /* Of REQUEST; NULL: none.  */
  cs_usec_t idle_since, idle_deadline;
  size_t body_max;
  cs_answer_claim_t claim; /* Of the present answer.  */
  int skipped_answers;     /* Since the present request.  */
  cs_usec_t paused_since;  /* Not read for want of memory; 0: it is.  */
  bool handle_open;        /* TCP is initialised and not yet closed.  */
  bool connected;
  bool busy;        /* A request is in flight.  */
  bool out_of_sync; /* A mismatched answer came: not used again.  */
  bool matched;     /* The present answer is for the request.  */
  bool mismatched;  /* It is for another one.  */
  /* CLOSED: the connection has ended and is not used again.  DROPPED: the
     owner has released the client, which is freed when TCP is closed. CLOSING:
     uv_close was called for TCP and has not finished.  */
  bool closed, dropped, closing;
  bool is_head; /* The method of the present request is HEAD.  */
};

const char *
cs_http1_client_error_text (cs_http1_client_error_t error)
{
  /* In the order of cs_http1_client_error_t.  */
  static const char *const texts[]
      = { "connection refused",       "connection reset as it opened",
          "connection broken",        "answer truncated",
          "answer too large",         "answer malformed",
          "answer to another request" };
  return texts[error];
}

bool
cs_http1_client_error_is_unsent (cs_http1_client_error_t error)
{
  return error == CS_HTTP1_CONNECT_FAILED || error == CS_HTTP1_CONNECT_RESET;
}

static void
free_client (uv_handle_t *handle)
{
  cs_http1_client_t *client = handle->data;
  cs_http1_message_clear (&client->answer);
  if (client->request)
    g_string_free (client->request, TRUE);
  if (client->request_body)
    g_bytes_unref (client->request_body);
  g_free (client);
}

static void
on_closed (uv_handle_t *handle)
{
  cs_http1_client_t *client = handle->data;
  client->closing = false;
  client->handle_open = false;
  if (client->dropped)
    free_client (handle);
}

static void
close_connection (cs_http1_client_t *client)
{
  client->closed = true;
  client->connected = false;
  if (client->handle_open && !client->closing)
    {
      client->closing = true;
      uv_close ((uv_handle_t *)&client->tcp, on_closed);
    }
}

static void
fail (cs_http1_client_t *client, cs_http1_client_error_t error)
{
  bool busy = client->busy;
  bool partial
      = !client->mismatched && cs_http1_message_has_started (&client->answer);
  client->busy = false;
  cs_answer_claim_end (&client->claim, NULL);
  close_connection (client);
  if (busy)
    client->handler.failed (client->user, error, partial);
}

/* Account for the bytes of the body so far.  If all answers together exceed
   their limit, the largest fails; false if that is CLIENT's.  */
static bool
count_body (cs_http1_client_t *client)
{
  cs_http1_client_t *failing
      = cs_answer_claim_receive (&client->claim, &client->answer);
  if (failing && failing != client)
    fail (failing, CS_HTTP1_ANSWER_TOO_LARGE);
  return failing != client;
}

/* Set until when the server keeps the idle connection open, as its Keep-Alive
   field says.  */
static void
update_idle_deadline (cs_http1_client_t *client, cs_usec_t now)
{
  cs_str_t value = cs_http1_message_field (&client->answer, "keep-alive");
  const char *at
      = value.len ? g_strstr_len (value.data, (gssize)value.len, "timeout=")
                  : NULL;
  client->idle_since = now;
  client->idle_deadline = INT64_MAX;
  if (!at)
    return;
  gint64 seconds = g_ascii_strtoll (at + strlen ("timeout="), NULL, 10);
  if (seconds >= 0 && seconds < KEEP_ALIVE_MAX_S)
    client->idle_deadline = now + seconds * CS_SEC - KEEP_ALIVE_MARGIN;
}

/* Deliver the whole answer in CLIENT->answer.  HAS_EXCESS tells that bytes
   follow it, so that the connection cannot be reused.  After HEAD it is not
   either: that answer, if it came once more, would be read with a body.  */
static void
finish_answer (cs_http1_client_t *client, bool has_excess)
{
  bool keep_alive = cs_http1_message_should_keep_alive (&client->answer)
                    && !has_excess && !client->out_of_sync && !client->is_head
                    && client->tcp.write_queue_size == 0;
  client->busy = false;
  update_idle_deadline (client, client->clock->monotonic (client->clock));
  if (!keep_alive)
    close_connection (client);
  cs_http1_message_t answer = client->answer;
  cs_http1_message_init (&client->answer, HTTP_RESPONSE, ANSWER_HEAD_MAX,
                         client->body_max);
  answer.parser.data = &answer;
  cs_claim_t claim = { 0 };
  cs_answer_claim_end (&client->claim, &claim);
  answer.claim = &claim;
  client->handler.answer_received (client->user, &answer);
  cs_claim_release (&claim);
  cs_http1_message_clear (&answer);
}

static void
reset_answer (cs_http1_client_t *client)
{
  cs_answer_claim_end (&client->claim, NULL);
  cs_http1_message_reset (&client->answer);
  client->answer.skip_body = client->is_head;
  client->matched = client->mismatched = false;
}

static bool
is_interim (const cs_http1_message_t *answer)
{
  return answer->parser.status_code < 200;
}

/* Decide from the head of the answer, once it has been read, whether it is for
   the request, so that this holds however the answer ends.  */
static void
check_match (cs_http1_client_t *client)
{
  if (!client->answer.head_complete || client->matched || client->mismatched
      || is_interim (&client->answer))
    return;
  client->matched
      = !client->handler.answer_matches
        || client->handler.answer_matches (client->user, &client->answer);
  if (client->matched)
    return;
  client->mismatched = client->out_of_sync = true;
  cs_counter_add (CS_C_ANSWERS_MISMATCHED, 1);
  /* After HEAD, a body that it has would be read as the next answer.  */
  if (client->is_head)
    fail (client, CS_HTTP1_ANSWER_MISMATCHED);
  else if (client->answer.close_delimited && client->handler.answer_precluded)
    client->handler.answer_precluded (client->user);
}

/* Parse DATA, skipping interim and mismatched answers.  */
static void
consume (cs_http1_client_t *client, const char *data, size_t len)
{
  size_t used = 0;
  while (client->busy && used < len)
    {
      used += cs_http1_message_feed (&client->answer, data + used, len - used);
      if (client->answer.error_status)
        {
          fail (client, client->answer.error_status == 413
                            ? CS_HTTP1_ANSWER_TOO_LARGE
                            : CS_HTTP1_ANSWER_MALFORMED);
          return;
        }
      check_match (client);
      if (!client->busy)
        return;
      if (!count_body (client))
        {
          fail (client, CS_HTTP1_ANSWER_TOO_LARGE);
          return;
        }
      if (!client->answer.complete)
        continue;
      if (client->matched)
        {
          finish_answer (client, used < len);
          return;
        }
      if (++client->skipped_answers > SKIPPED_ANSWERS_MAX)
        {
          fail (client, CS_HTTP1_ANSWER_MALFORMED);
          return;
        }
      reset_answer (client);
    }
}

/* An answer that ends with its connection is whole only if that ended in
   order, and not before the request was written: a server that gives up in
   between may end in the same way.  */
static void
consume_end (cs_http1_client_t *client, const cs_connection_end_t *end)
{
  if (!cs_connection_end_is_orderly (end))
    fail (client, CS_HTTP1_CONNECTION_BROKEN);
  else if (end->unwritten || !cs_http1_message_end_input (&client->answer))
    fail (client, CS_HTTP1_ANSWER_TRUNCATED);
  else if (client->matched)
    finish_answer (client, false);
  else
    fail (client, CS_HTTP1_ANSWER_MISMATCHED);
}

/* Stop reading if there is no memory for what follows.  */
static void
read_on_or_pause (cs_http1_client_t *client)
{
  if (!client->busy || client->closing
      || cs_answer_claim_may_read (&client->claim, &client->answer))
    return;
  if (cs_answer_claim_is_stuck (&client->claim, &client->answer))
    {
      fail (client, CS_HTTP1_ANSWER_TOO_LARGE);
      return;
    }
  client->paused_since = client->clock->monotonic (client->clock);
  uv_read_stop ((uv_stream_t *)&client->tcp);
}

static void
on_read (uv_stream_t *stream, ssize_t n, const uv_buf_t *buf)
{
  cs_http1_client_t *client = stream->data;
  if (n == 0 || client->closing)
    return;
  if (!client->busy)
    {
      /* The server closed the idle connection, or sent bytes that no request
         asked for.  */
      close_connection (client);
      return;
    }
  if (n > 0)
    {
      consume (client, buf->base, (size_t)n);
      read_on_or_pause (client);
      return;
    }
  cs_connection_end_t end = cs_connection_end_of (&client->tcp, (int)n);
  cs_connection_end_log (&end, &client->address,
                         cs_http1_client_received (client),
                         client->answer.close_delimited);
  consume_end (client, &end);
}

static void
on_connect (uv_connect_t *connect, int status)
{
  cs_http1_client_t *client = connect->data;
  if (client->closing || client->dropped)
    return;
  if (status == UV_ECONNRESET)
    {
      fail (client, CS_HTTP1_CONNECT_RESET);
      return;
    }
  if (status != 0
      || uv_read_start ((uv_stream_t *)&client->tcp, cs_uv_alloc_read_buffer,
                        on_read)
             != 0)
    {
      fail (client, CS_HTTP1_CONNECT_FAILED);
      return;
    }
  client->connected = true;
  cs_tcp_set_options (&client->tcp, client->unacked_timeout);
  GString *request = client->request;
  GBytes *body = client->request_body;
  client->request = NULL;
  client->request_body = NULL;
  if (request)
    {
      cs_uv_write_body ((uv_stream_t *)&client->tcp, request, body);
      if (body)
        g_bytes_unref (body);
      return;
    }
  client->busy = false;
  client->idle_since = client->clock->monotonic (client->clock);
  client->handler.connected (client->user);
}

cs_http1_client_t *
cs_http1_client_new (uv_loop_t *loop, cs_clock_t *clock,
                     const struct sockaddr_in *address,
                     cs_usec_t unacked_timeout)
{
  cs_http1_client_t *client = g_new0 (cs_http1_client_t, 1);
  client->clock = clock;
  client->address = *address;
  client->unacked_timeout = unacked_timeout;
  client->tcp.data = client->connect.data = client;
  client->idle_deadline = INT64_MAX;
  client->body_max = ANSWER_BODY_MAX;
  cs_http1_message_init (&client->answer, HTTP_RESPONSE, ANSWER_HEAD_MAX,
                         client->body_max);
  uv_tcp_init (loop, &client->tcp);
  client->handle_open = true;
  return client;
}

void
cs_http1_client_set_body_max (cs_http1_client_t *client, size_t body_max)
{
  client->body_max = client->answer.body_max = body_max;
}

void
cs_http1_client_share_memory (cs_http1_client_t *client,
                              cs_answer_memory_t *memory)
{
  cs_answer_claim_init (&client->claim, memory, client);
  cs_http1_client_set_body_max (client, (size_t)memory->max_per_answer);
}

static void
open_connection (cs_http1_client_t *client)
{
  if (uv_tcp_connect (&client->connect, &client->tcp,
                      (const struct sockaddr *)&client->address, on_connect)
      != 0)
    fail (client, CS_HTTP1_CONNECT_FAILED);
}

void
cs_http1_client_connect (cs_http1_client_t *client,
                         const cs_http1_client_handler_t *handler, void *user)
{
  client->handler = *handler;
  client->user = user;
  client->busy = true;
  open_connection (client);
}

void
cs_http1_client_send (cs_http1_client_t *client, GString *request,
                      bool is_head, const cs_http1_client_handler_t *handler,
                      void *user)
{
  cs_http1_client_send_body (client, request, NULL, is_head, handler, user);
}

cs_usec_t
cs_http1_client_paused_since (const cs_http1_client_t *client)
{
  return client->closing ? 0 : client->paused_since;
}

int64_t
cs_http1_client_wanted (const cs_http1_client_t *client)
{
  return cs_http1_client_paused_since (client)
             ? cs_answer_claim_wanted (&client->claim, &client->answer)
             : 0;
}

void
cs_http1_client_resume (cs_http1_client_t *client, bool first)
{
  if (!client->paused_since || client->closing)
    return;
  if (first)
    client->claim.claim.claims->first = &client->claim.claim;
  if (!cs_answer_claim_may_read (&client->claim, &client->answer))
    return;
  client->paused_since = 0;
  if (uv_read_start ((uv_stream_t *)&client->tcp, cs_uv_alloc_read_buffer,
                     on_read)
      != 0)
    fail (client, CS_HTTP1_CONNECTION_BROKEN);
}

void
cs_http1_client_send_body (cs_http1_client_t *client, GString *request,
                           GBytes *body, bool is_head,
                           const cs_http1_client_handler_t *handler,
                           void *user)
{
  client->handler = *handler;
  client->user = user;
  client->busy = true;
  client->is_head = is_head;
  client->skipped_answers = 0;
  reset_answer (client);
  if (client->connected)
    {
      cs_uv_write_body ((uv_stream_t *)&client->tcp, request, body);
      return;
    }
  client->request = request;
  client->request_body = body ? g_bytes_ref (body) : NULL;
  open_connection (client);
}

size_t
cs_http1_client_received (const cs_http1_client_t *client)
{
  return client->answer.head->len + client->answer.body->len;
}

bool
cs_http1_client_is_connected (const cs_http1_client_t *client)
{
  return client->connected;
}

bool
cs_http1_client_is_usable (const cs_http1_client_t *client, cs_usec_t now)
{
  return !client->busy && !client->closed && now < client->idle_deadline;
}

cs_usec_t
cs_http1_client_idle_since (const cs_http1_client_t *client)
{
  return client->idle_since;
}

bool
cs_http1_client_is_closed (const cs_http1_client_t *client)
{
  return client->closed;
}

void
cs_http1_client_drop (cs_http1_client_t *client)
{
  if (!client || client->dropped)
    return;
  client->dropped = true;
  client->busy = false;
  cs_answer_claim_end (&client->claim, NULL);
  if (client->handle_open && !client->closing)
    {
      client->closing = true;
      uv_close ((uv_handle_t *)&client->tcp, on_closed);
    }
  else if (!client->handle_open)
    free_client ((uv_handle_t *)&client->tcp);
}
