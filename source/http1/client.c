#include <string.h>

#include "cardamom/client.h"

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
  GString *request; /* Kept until the connection is open.  */
  cs_usec_t idle_since, idle_deadline;
  size_t body_max;
  cs_answer_memory_t *memory; /* Shared with other clients; may be NULL.  */
  int64_t counted_bytes;      /* Of the present answer, in MEMORY.  */
  int skipped_answers;        /* Since the present request.  */
  bool handle_open;           /* TCP is initialised and not yet closed.  */
  bool connected;
  bool busy;        /* A request is in flight.  */
  bool out_of_sync; /* A mismatched answer came: not used again.  */
  bool closed, dropped, closing;
  bool is_head; /* The method of the present request is HEAD.  */
};

static void
free_client (uv_handle_t *handle)
{
  cs_http1_client_t *c = handle->data;
  cs_http1_message_clear (&c->answer);
  if (c->request)
    g_string_free (c->request, TRUE);
  g_free (c);
}

static void
on_closed (uv_handle_t *handle)
{
  cs_http1_client_t *c = handle->data;
  c->closing = false;
  c->handle_open = false;
  if (c->dropped)
    free_client (handle);
}

static void
close_connection (cs_http1_client_t *c)
{
  c->closed = true;
  c->connected = false;
  if (c->handle_open && !c->closing)
    {
      c->closing = true;
      uv_close ((uv_handle_t *)&c->tcp, on_closed);
    }
}

/* Account for the bytes of the body so far; false if all clients together
   exceed the limit.  */
static bool
count_body (cs_http1_client_t *c)
{
  if (!c->memory)
    return true;
  int64_t body = (int64_t)c->answer.body->len;
  c->memory->in_use += body - c->counted_bytes;
  c->counted_bytes = body;
  return c->memory->in_use <= c->memory->max_total;
}

static void
release_body (cs_http1_client_t *c)
{
  if (c->memory)
    c->memory->in_use -= c->counted_bytes;
  c->counted_bytes = 0;
}

static void
fail (cs_http1_client_t *c, cs_http1_client_error_t error)
{
  bool busy = c->busy;
  bool partial = cs_http1_message_has_started (&c->answer);
  c->busy = false;
  release_body (c);
  close_connection (c);
  if (busy)
    c->handler.failed (c->user, error, partial);
}

/* Set until when the server keeps the idle connection open, as its Keep-Alive
   field says.  */
static void
update_idle_deadline (cs_http1_client_t *c, cs_usec_t now)
{
  cs_str_t value = cs_http1_message_field (&c->answer, "keep-alive");
  const char *at
      = value.len ? g_strstr_len (value.data, (gssize)value.len, "timeout=")
                  : NULL;
  c->idle_since = now;
  c->idle_deadline = INT64_MAX;
  if (!at)
    return;
  gint64 seconds = g_ascii_strtoll (at + strlen ("timeout="), NULL, 10);
  if (seconds >= 0 && seconds < KEEP_ALIVE_MAX_S)
    c->idle_deadline = now + seconds * CS_SEC - KEEP_ALIVE_MARGIN;
}

/* Deliver the whole answer in C->answer.  HAS_EXCESS tells that bytes follow
   it, so that the connection cannot be reused.  */
static void
finish_answer (cs_http1_client_t *c, bool has_excess)
{
  bool keep_alive = cs_http1_message_should_keep_alive (&c->answer)
                    && !has_excess && !c->out_of_sync
                    && c->tcp.write_queue_size == 0;
  c->busy = false;
  update_idle_deadline (c, c->clock->monotonic (c->clock));
  if (!keep_alive)
    close_connection (c);
  cs_http1_message_t answer = c->answer;
  cs_http1_message_init (&c->answer, HTTP_RESPONSE, ANSWER_HEAD_MAX,
                         c->body_max);
  answer.parser.data = &answer;
  release_body (c);
  c->handler.answer_received (c->user, &answer);
  cs_http1_message_clear (&answer);
}

static void
reset_answer (cs_http1_client_t *c)
{
  release_body (c);
  cs_http1_message_reset (&c->answer);
  c->answer.skip_body = c->is_head;
}

static bool
answer_matches (const cs_http1_client_t *c)
{
  return !c->handler.answer_matches
         || c->handler.answer_matches (c->user, &c->answer);
}

/* Parse DATA, skipping interim and mismatched answers.  */
static void
consume (cs_http1_client_t *c, const char *data, size_t len)
{
  size_t used = 0;
  while (c->busy && used < len)
    {
      used += cs_http1_message_feed (&c->answer, data + used, len - used);
      if (c->answer.error_status)
        {
          fail (c, c->answer.error_status == 413 ? CS_HTTP1_ANSWER_TOO_LARGE
                                                 : CS_HTTP1_ANSWER_MALFORMED);
          return;
        }
      if (!count_body (c))
        {
          fail (c, CS_HTTP1_ANSWER_TOO_LARGE);
          return;
        }
      if (!c->answer.complete)
        continue;
      bool informational = c->answer.parser.status_code < 200;
      if (!informational && answer_matches (c))
        {
          finish_answer (c, used < len);
          return;
        }
      if (++c->skipped_answers > SKIPPED_ANSWERS_MAX)
        {
          fail (c, CS_HTTP1_ANSWER_MALFORMED);
          return;
        }
      c->out_of_sync = c->out_of_sync || !informational;
      reset_answer (c);
    }
}

static void
on_read (uv_stream_t *stream, ssize_t n, const uv_buf_t *buf)
{
  cs_http1_client_t *c = stream->data;
  if (n == 0 || c->closing)
    return;
  if (!c->busy)
    {
      /* The server closed the idle connection, or sent bytes that no request
         asked for.  */
      close_connection (c);
      return;
    }
  if (n > 0)
    consume (c, buf->base, (size_t)n);
  else if (n == UV_EOF && cs_http1_message_end_input (&c->answer))
    finish_answer (c, false);
  else
    fail (c, n == UV_EOF ? CS_HTTP1_ANSWER_TRUNCATED
                         : CS_HTTP1_CONNECTION_BROKEN);
}

static void
on_connect (uv_connect_t *connect, int status)
{
  cs_http1_client_t *c = connect->data;
  if (c->closing || c->dropped)
    return;
  if (status != 0
      || uv_read_start ((uv_stream_t *)&c->tcp, cs_uv_alloc_read_buffer,
                        on_read)
             != 0)
    {
      fail (c, CS_HTTP1_CONNECT_FAILED);
      return;
    }
  c->connected = true;
  cs_tcp_set_options (&c->tcp, c->unacked_timeout);
  GString *request = c->request;
  c->request = NULL;
  cs_uv_write ((uv_stream_t *)&c->tcp, request);
}

cs_http1_client_t *
cs_http1_client_new (uv_loop_t *loop, cs_clock_t *clock,
                     const struct sockaddr_in *address,
                     cs_usec_t unacked_timeout)
{
  cs_http1_client_t *c = g_new0 (cs_http1_client_t, 1);
  c->clock = clock;
  c->address = *address;
  c->unacked_timeout = unacked_timeout;
  c->tcp.data = c->connect.data = c;
  c->idle_deadline = INT64_MAX;
  c->body_max = ANSWER_BODY_MAX;
  cs_http1_message_init (&c->answer, HTTP_RESPONSE, ANSWER_HEAD_MAX,
                         c->body_max);
  uv_tcp_init (loop, &c->tcp);
  c->handle_open = true;
  return c;
}

void
cs_http1_client_set_body_max (cs_http1_client_t *c, size_t body_max)
{
  c->body_max = c->answer.body_max = body_max;
}

void
cs_http1_client_share_memory (cs_http1_client_t *c, cs_answer_memory_t *memory)
{
  c->memory = memory;
  cs_http1_client_set_body_max (c, (size_t)memory->max_per_answer);
}

void
cs_http1_client_send (cs_http1_client_t *c, GString *request, bool is_head,
                      const cs_http1_client_handler_t *handler, void *user)
{
  c->handler = *handler;
  c->user = user;
  c->busy = true;
  c->is_head = is_head;
  c->skipped_answers = 0;
  reset_answer (c);
  if (c->connected)
    {
      cs_uv_write ((uv_stream_t *)&c->tcp, request);
      return;
    }
  c->request = request;
  if (uv_tcp_connect (&c->connect, &c->tcp,
                      (const struct sockaddr *)&c->address, on_connect)
      != 0)
    fail (c, CS_HTTP1_CONNECT_FAILED);
}

bool
cs_http1_client_is_usable (const cs_http1_client_t *c, cs_usec_t now)
{
  return !c->busy && !c->closed && now < c->idle_deadline;
}

cs_usec_t
cs_http1_client_idle_since (const cs_http1_client_t *c)
{
  return c->idle_since;
}

bool
cs_http1_client_is_closed (const cs_http1_client_t *c)
{
  return c->closed;
}

void
cs_http1_client_drop (cs_http1_client_t *c)
{
  if (!c || c->dropped)
    return;
  c->dropped = true;
  c->busy = false;
  release_body (c);
  if (c->handle_open && !c->closing)
    {
      c->closing = true;
      uv_close ((uv_handle_t *)&c->tcp, on_closed);
    }
  else if (!c->handle_open)
    free_client ((uv_handle_t *)&c->tcp);
}
