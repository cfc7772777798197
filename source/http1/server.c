#include <string.h>

#include "cardamom/counters.h"
#include "cardamom/server.h"

#define BACKLOG 511
#define SWEEP_MS 500        /* Between looks at connections' ages.  */
#define LINGER (1 * CS_SEC) /* Reading on after a refusal and the close. */
#define FIELD_BYTES_GUESS 192

struct cs_server
{
  uv_tcp_t tcp;
  uv_timer_t sweep;
  cs_clock_t *clock;
  cs_server_handler_t handler;
  void *user;
  cs_server_limits_t limits;
  GQueue conns;
  bool draining, stopped, unbound, closing;
};

typedef struct
{
  uv_tcp_t tcp;
  cs_server_t *server;
  GList link;
  GQueue exchanges;       /* In order; the last may be under reading.  */
  cs_exchange_t *reading; /* Not yet whole; also in no queue.  */
  cs_usec_t since;        /* Of the last progress.  */
  cs_usec_t head_since;   /* Of the first byte of the head under reading.  */
  bool paused;            /* Nothing more is read from it.  */
  bool closing, lingering;
} conn_t;

const char *
cs_status_phrase (unsigned status)
{
  switch (status)
    {
#define XX(number, name, string)                                              \
  case number:                                                                \
    return #string;
      HTTP_STATUS_MAP (XX)
#undef XX
    }
  return "Status";
}

static void
free_exchange (cs_exchange_t *exchange)
{
  cs_message_clear (&exchange->request);
  if (exchange->answer)
    g_string_free (exchange->answer, TRUE);
  g_free (exchange);
}

static void
free_conn (uv_handle_t *handle)
{
  g_free (handle->data);
}

/* Close CONN; whoever still works on one of its requests is told.  */
static void
close_conn (conn_t *conn)
{
  cs_exchange_t *exchange;
  if (conn->closing)
    return;
  conn->closing = true;
  cs_server_t *server = conn->server;
  g_queue_unlink (&server->conns, &conn->link);
  while ((exchange = g_queue_pop_head (&conn->exchanges)))
    {
      if (!exchange->answered && server->handler.left)
        server->handler.left (server->user, exchange);
      free_exchange (exchange);
    }
  if (conn->reading)
    free_exchange (conn->reading);
  conn->reading = NULL;
  uv_close ((uv_handle_t *)&conn->tcp, free_conn);
}

static void
end_shutdown (uv_shutdown_t *request, int status)
{
  (void)status;
  g_free (request);
}

/* End our side after what was written; the rest of what the caller sends is
   read and dropped for a while, lest a reset overtakes the answer.  */
static void
linger (conn_t *conn)
{
  uv_shutdown_t *request = g_new0 (uv_shutdown_t, 1);
  conn->lingering = true;
  conn->since = conn->server->clock->monotonic (conn->server->clock);
  if (uv_shutdown (request, (uv_stream_t *)&conn->tcp, end_shutdown) != 0)
    g_free (request);
}

/* Write the answers that are due in order.  */
static void
flush_answers (conn_t *conn)
{
  cs_exchange_t *exchange;
  GString *out = NULL;
  bool close = false;
  while (!close && (exchange = g_queue_peek_head (&conn->exchanges))
         && exchange->answered)
    {
      g_queue_pop_head (&conn->exchanges);
      if (!out)
        {
          out = exchange->answer;
          exchange->answer = NULL;
        }
      else
        g_string_append_len (out, exchange->answer->str,
                             (gssize)exchange->answer->len);
      close = exchange->close;
      free_exchange (exchange);
    }
  if (!out)
    return;
  conn->since = conn->server->clock->monotonic (conn->server->clock);
  cs_write ((uv_stream_t *)&conn->tcp, out);
  if (close)
    linger (conn);
  else if ((exchange = g_queue_peek_head (&conn->exchanges))
           && exchange->wants_turn)
    {
      exchange->wants_turn = false;
      conn->server->handler.turn (conn->server->user, exchange);
    }
}

bool
cs_exchange_is_behind (const cs_exchange_t *exchange)
{
  conn_t *conn = exchange->conn;
  return g_queue_peek_head (&conn->exchanges) != exchange;
}

void
cs_exchange_answer (cs_exchange_t *exchange, unsigned status,
                    const char *fields, cs_str_t body, bool close)
{
  conn_t *conn = exchange->conn;
  const http_parser *parser = &exchange->request.parser;
  bool bare = status == 204 || status == 304;
  bool head = exchange->request.head_done && parser->method == HTTP_HEAD;
  GString *out = g_string_sized_new (body.len + FIELD_BYTES_GUESS
                                     + (fields ? strlen (fields) : 0));
  exchange->close = close || exchange->unframed || conn->server->draining
                    || !cs_message_keeps (&exchange->request);
  g_string_append_printf (out, "HTTP/1.1 %u %s\r\n", status,
                          cs_status_phrase (status));
  if (fields)
    g_string_append (out, fields);
  if (!bare && !exchange->unframed)
    g_string_append_printf (out, "Content-Length: %zu\r\n", body.len);
  if (exchange->close)
    g_string_append (out, "Connection: close\r\n");
  g_string_append (out, "\r\n");
  if (!bare && !head)
    g_string_append_len (out, body.data, (gssize)body.len);
  exchange->answer = out;
  exchange->answered = true;
  /* While the request is being handed over the reader flushes.  */
  if (exchange->handed)
    flush_answers (conn);
}

static cs_exchange_t *
reading_of (conn_t *conn)
{
  if (!conn->reading)
    {
      conn->reading = g_new0 (cs_exchange_t, 1);
      conn->reading->conn = conn;
      cs_message_init (&conn->reading->request, HTTP_REQUEST,
                       conn->server->limits.head_max,
                       conn->server->limits.body_max);
    }
  return conn->reading;
}

/* Refuse the request under reading: one answer behind those before it, and
   nothing more is read.  */
static void
refuse_reading (conn_t *conn, unsigned status)
{
  cs_exchange_t *exchange = reading_of (conn);
  conn->reading = NULL;
  g_queue_push_tail (&conn->exchanges, exchange);
  exchange->handed = true;
  conn->paused = true;
  cs_count (CS_C_REFUSED_INPUT, 1);
  cs_exchange_answer (exchange, status, conn->server->handler.refusal_fields,
                      CS_STR (""), true);
}

static void
answer_expectation (conn_t *conn, cs_exchange_t *exchange)
{
  if (exchange->request.head_done && !exchange->request.done
      && exchange->request.body->len == 0 && !exchange->user
      && cs_str_is (cs_message_field (&exchange->request, "expect"),
                    "100-continue")
      && g_queue_is_empty (&conn->exchanges))
    {
      exchange->user = exchange; /* Said once.  */
      cs_write ((uv_stream_t *)&conn->tcp,
                g_string_new ("HTTP/1.1 100 Continue\r\n\r\n"));
    }
}

static void
hand_over (conn_t *conn, cs_exchange_t *exchange)
{
  cs_server_t *server = conn->server;
  conn->reading = NULL;
  conn->head_since = 0;
  exchange->user = NULL;
  g_queue_push_tail (&conn->exchanges, exchange);
  if (!cs_message_keeps (&exchange->request))
    conn->paused = true; /* Nothing may follow.  */
  server->handler.request (server->user, exchange);
}

static void
take_bytes (conn_t *conn, const char *data, size_t len)
{
  size_t used = 0;
  while (used < len && !conn->paused && !conn->closing)
    {
      cs_exchange_t *exchange = reading_of (conn);
      used += cs_message_feed (&exchange->request, data + used, len - used);
      if (!conn->head_since && cs_message_begun (&exchange->request))
        conn->head_since = conn->since;
      if (exchange->request.fault)
        {
          refuse_reading (conn, (unsigned)exchange->request.fault);
          return;
        }
      if (!exchange->request.done)
        {
          answer_expectation (conn, exchange);
          continue;
        }
      hand_over (conn, exchange);
      /* The handler may have answered at once.  */
      exchange->handed = true;
      flush_answers (conn);
      if (conn->lingering)
        conn->paused = true;
    }
}

static void
on_read (uv_stream_t *stream, ssize_t n, const uv_buf_t *buf)
{
  conn_t *conn = stream->data;
  if (n < 0)
    {
      close_conn (conn);
      return;
    }
  if (n == 0 || conn->lingering)
    return;
  conn->since = conn->server->clock->monotonic (conn->server->clock);
  if (!conn->paused)
    take_bytes (conn, buf->base, (size_t)n);
}

static void
on_connection (uv_stream_t *listener, int status)
{
  cs_server_t *server = listener->data;
  if (status < 0)
    return;
  conn_t *conn = g_new0 (conn_t, 1);
  conn->server = server;
  conn->link.data = conn;
  conn->tcp.data = conn;
  conn->since = server->clock->monotonic (server->clock);
  uv_tcp_init (listener->loop, &conn->tcp);
  g_queue_push_tail_link (&server->conns, &conn->link);
  unsigned max = server->limits.connections_max;
  if (uv_accept (listener, (uv_stream_t *)&conn->tcp) != 0
      || (max && cs_server_connections (server) > max)
      || uv_read_start ((uv_stream_t *)&conn->tcp, cs_alloc_read, on_read)
             != 0)
    {
      close_conn (conn);
      return;
    }
  cs_tcp_tune (&conn->tcp, 0);
}

/* Whether CONN was dealt with for its age.  */
static void
check_age (conn_t *conn, cs_usec_t now)
{
  const cs_server_limits_t *limits = &conn->server->limits;
  bool waiting = !g_queue_is_empty (&conn->exchanges);
  if (conn->lingering)
    {
      if (now - conn->since > LINGER)
        close_conn (conn);
      return;
    }
  if (conn->reading && conn->head_since && !conn->reading->request.head_done
      && now - conn->head_since > limits->head_timeout)
    refuse_reading (conn, 408);
  else if (!waiting && now - conn->since > limits->idle_timeout)
    close_conn (conn);
}

static void
sweep (uv_timer_t *timer)
{
  cs_server_t *server = timer->data;
  cs_usec_t now = server->clock->monotonic (server->clock);
  GList *next;
  for (GList *at = server->conns.head; at; at = next)
    {
      next = at->next;
      check_age (at->data, now);
    }
}

cs_status_t
cs_server_new (cs_ctx_t *ctx, uv_loop_t *loop, const char *address,
               const cs_server_handler_t *handler, void *user,
               cs_server_t **server)
{
  struct sockaddr_in where;
  if (!cs_endpoint_parse (address, &where))
    return cs_fail (ctx, CS_BAD_INPUT, "%s is no IP:PORT; write one",
                    address ? address : "(none)");
  cs_server_t *made = g_new0 (cs_server_t, 1);
  made->clock = ctx->clock;
  made->handler = *handler;
  made->user = user;
  made->limits = (cs_server_limits_t){ .head_max = 16384,
                                       .body_max = 1 << 20,
                                       .head_timeout = 3 * CS_SEC,
                                       .idle_timeout = 30 * CS_SEC };
  g_queue_init (&made->conns);
  uv_tcp_init (loop, &made->tcp);
  uv_timer_init (loop, &made->sweep);
  made->tcp.data = made->sweep.data = made;
  int error = uv_tcp_bind (&made->tcp, (const struct sockaddr *)&where, 0);
  if (error == 0)
    error = uv_listen ((uv_stream_t *)&made->tcp, BACKLOG, on_connection);
  if (error)
    return cs_fail (ctx, CS_UNAVAILABLE,
                    "cannot listen on %s: %s; free the port or set another",
                    address, uv_strerror (error));
  uv_timer_start (&made->sweep, sweep, SWEEP_MS, SWEEP_MS);
  *server = made;
  return CS_OK;
}

void
cs_server_limit (cs_server_t *server, const cs_server_limits_t *limits)
{
  server->limits = *limits;
}

void
cs_server_drain (cs_server_t *server)
{
  GList *next;
  server->draining = true;
  for (GList *at = server->conns.head; at; at = next)
    {
      conn_t *conn = at->data;
      next = at->next;
      if (g_queue_is_empty (&conn->exchanges) && !conn->reading
          && !conn->lingering)
        {
          conn->paused = true;
          linger (conn);
        }
    }
}

static void
free_server (uv_handle_t *handle)
{
  g_free (handle->data);
}

static void
on_unbound (uv_handle_t *listener)
{
  cs_server_t *server = listener->data;
  server->unbound = true;
  if (server->closing)
    uv_close ((uv_handle_t *)&server->sweep, free_server);
}

void
cs_server_stop (cs_server_t *server)
{
  if (server->stopped)
    return;
  server->stopped = true;
  uv_close ((uv_handle_t *)&server->tcp, on_unbound);
}

void
cs_exchange_abort (cs_exchange_t *exchange)
{
  exchange->answered = true; /* Its handler knows.  */
  close_conn (exchange->conn);
}

void
cs_server_close (cs_server_t *server)
{
  conn_t *conn;
  server->handler.left = NULL;
  server->closing = true;
  while ((conn = g_queue_peek_head (&server->conns)))
    close_conn (conn);
  if (server->unbound)
    uv_close ((uv_handle_t *)&server->sweep, free_server);
  else
    cs_server_stop (server);
}

unsigned
cs_server_connections (const cs_server_t *server)
{
  return g_queue_get_length ((GQueue *)&server->conns);
}
