#include <string.h>

#include "cardamom/counters.h"
#include "cardamom/server.h"

#define BACKLOG 511
#define TIMEOUT_CHECK_INTERVAL_MS 500

/* How long a connection is still read after the server has shut down its
   side.  */
#define LINGER_TIMEOUT (1 * CS_SEC)

/* A body moves if it grows by so many bytes; one that has not for the time may
   give way to others.  */
#define BODY_STEP 16384
#define BODY_STALL_MIN (500 * CS_MSEC)
/* The same for a caller that takes nothing of its answer.  */
#define ANSWER_STALL_MIN (1 * CS_SEC)
/* Told to a caller whose body does not fit: bodies stall, and give way, within
   a second.  */
#define NO_ROOM_FIELDS "Retry-After: 1.000\r\n"

/* Bytes of the status line and the framing fields, to size the buffer.  */
#define FRAMING_BYTES_ESTIMATE 192

struct cs_http1_server
{
  uv_tcp_t tcp;
  uv_timer_t timeout_timer;
  cs_clock_t *clock;
  cs_http1_server_handler_t handler;
  void *user;
  cs_http1_server_limits_t limits;
  cs_memory_budget_t *budget; /* NULL: bodies are not counted.  */
  const void *reading; /* The conn_t that asks for room; it never gives way. */
  GQueue conns;
  bool draining, stopped, listener_closed, closing;
};

typedef struct
{
  uv_tcp_t tcp;
  cs_http1_server_t *server;
  GList link;
  GQueue exchanges;          /* Whole or refused, in order of arrival.  */
  cs_exchange_t *incoming;   /* Still being read; not in EXCHANGES.  */
  cs_usec_t progress_at;     /* Time of the last read or write.  */
  cs_usec_t head_started_at; /* First byte of INCOMING's head; 0: none.  */
  bool discard_input;        /* Further bytes are ignored.  */
  bool closing;
  bool lingering; /* The server's side is shut down.  */
  /* Of the body of INCOMING: when it last grew by BODY_STEP, and its size
     then.  */
  cs_usec_t body_moved_at;
  gsize body_moved_len;
  /* Bytes not yet written when it was last looked at, and since when there
     have not been fewer.  */
  size_t unwritten;
  cs_usec_t unwritten_since;
} conn_t;

const char *
cs_http1_reason_phrase (unsigned status)
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

/* The body of EXCHANGE's request counts no longer.  */
static void
release_body (cs_exchange_t *exchange)
{
  conn_t *conn = exchange->conn;
  if (exchange->counted)
    cs_memory_budget_release (conn->server->budget, exchange->counted);
  exchange->counted = 0;
}

static void
free_exchange (cs_exchange_t *exchange)
{
  release_body (exchange);
  cs_http1_message_clear (&exchange->request);
  if (exchange->answer)
    g_string_free (exchange->answer, TRUE);
  if (exchange->answer_body)
    g_bytes_unref (exchange->answer_body);
  g_free (exchange);
}

static void
free_conn (uv_handle_t *handle)
{
  g_free (handle->data);
}

/* Close CONN; the handler is told of each request that has no answer yet.  */
static void
close_conn (conn_t *conn)
{
  cs_exchange_t *exchange;
  if (conn->closing)
    return;
  conn->closing = true;
  cs_http1_server_t *server = conn->server;
  g_queue_unlink (&server->conns, &conn->link);
  while ((exchange = g_queue_pop_head (&conn->exchanges)))
    {
      if (!exchange->answered && server->handler.caller_disconnected)
        server->handler.caller_disconnected (server->user, exchange);
      free_exchange (exchange);
    }
  if (conn->incoming)
    free_exchange (conn->incoming);
  conn->incoming = NULL;
  uv_close ((uv_handle_t *)&conn->tcp, free_conn);
}

static void
on_shutdown (uv_shutdown_t *request, int status)
{
  (void)status;
  g_free (request);
}

/* Shut down the sending side after the pending writes.  What the caller still
   sends is read and discarded for a while: closing a socket with unread data
   sends a reset, which may make the caller lose the answer.  */
static void
linger (conn_t *conn)
{
  uv_shutdown_t *request = g_new0 (uv_shutdown_t, 1);
  conn->lingering = true;
  conn->progress_at = conn->server->clock->monotonic (conn->server->clock);
  if (uv_shutdown (request, (uv_stream_t *)&conn->tcp, on_shutdown) != 0)
    g_free (request);
}

/* Write the answers at the front of the queue, up to the first request that
   has none yet.  */
static void
flush_answers (conn_t *conn)
{
  cs_exchange_t *exchange;
  GString *out = NULL;
  bool close = false, wrote = false;
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
      wrote = true;
      if (exchange->answer_body)
        {
          cs_uv_write_body ((uv_stream_t *)&conn->tcp, out,
                            exchange->answer_body);
          out = NULL;
        }
      close = exchange->close;
      free_exchange (exchange);
    }
  if (!wrote)
    return;
  conn->progress_at = conn->server->clock->monotonic (conn->server->clock);
  if (out)
    cs_uv_write ((uv_stream_t *)&conn->tcp, out);
  if (close)
    linger (conn);
  else if ((exchange = g_queue_peek_head (&conn->exchanges))
           && exchange->notify_at_front)
    {
      exchange->notify_at_front = false;
      conn->server->handler.at_front (conn->server->user, exchange);
    }
}

bool
cs_exchange_has_earlier_pending (const cs_exchange_t *exchange)
{
  conn_t *conn = exchange->conn;
  return g_queue_peek_head (&conn->exchanges) != exchange;
}

/* Answer EXCHANGE with BODY, whose bytes BODY_BYTES holds if it is not NULL.
 */
static void
answer_exchange (cs_exchange_t *exchange, unsigned status, const char *fields,
                 cs_str_t body, GBytes *body_bytes, bool close)
{
  conn_t *conn = exchange->conn;
  const http_parser *parser = &exchange->request.parser;
  bool bodyless_status = status == 204 || status == 304;
  bool is_head
      = exchange->request.head_complete && parser->method == HTTP_HEAD;
  GString *out = g_string_sized_new ((body_bytes ? 0 : body.len)
                                     + FRAMING_BYTES_ESTIMATE
                                     + (fields ? strlen (fields) : 0));
  bool last
      = !conn->incoming && g_queue_peek_tail (&conn->exchanges) == exchange;
  exchange->close
      = close || exchange->close_delimited || (conn->server->draining && last)
        || !cs_http1_message_should_keep_alive (&exchange->request);
  /* What comes behind an answer that closes counts as not read.  */
  if (exchange->close)
    conn->discard_input = true;
  g_string_append_printf (out, "HTTP/1.1 %u %s\r\n", status,
                          cs_http1_reason_phrase (status));
  if (fields)
    g_string_append (out, fields);
  if (!bodyless_status && !exchange->close_delimited)
    g_string_append_printf (out, "Content-Length: %zu\r\n", body.len);
  if (exchange->close)
    g_string_append (out, "Connection: close\r\n");
  g_string_append (out, "\r\n");
  if (!bodyless_status && !is_head && body_bytes)
    exchange->answer_body = g_bytes_ref (body_bytes);
  else if (!bodyless_status && !is_head)
    g_string_append_len (out, body.data, (gssize)body.len);
  exchange->answer = out;
  exchange->answered = true;
  /* While request_received runs, DELIVERED is not set yet; consume sends the
     answer after its return.  */
  if (exchange->delivered)
    flush_answers (conn);
}

void
cs_exchange_answer (cs_exchange_t *exchange, unsigned status,
                    const char *fields, cs_str_t body, bool close)
{
  answer_exchange (exchange, status, fields, body, NULL, close);
}

void
cs_exchange_answer_bytes (cs_exchange_t *exchange, unsigned status,
                          const char *fields, GBytes *body, bool close)
{
  cs_str_t view = { 0 };
  if (body)
    view = (cs_str_t){ .data = g_bytes_get_data (body, NULL),
                       .len = g_bytes_get_size (body) };
  /* Small ones are joined to the head, for one write.  */
  answer_exchange (exchange, status, fields, view,
                   view.len > CS_SMALL_BODY_MAX ? body : NULL, close);
}

GBytes *
cs_exchange_take_body (cs_exchange_t *exchange)
{
  conn_t *conn = exchange->conn;
  GString *body = exchange->request.body;
  if (!body->len)
    return NULL;
  exchange->request.body = g_string_new (NULL);
  if (!exchange->counted)
    return g_string_free_to_bytes (body);
  exchange->counted = 0;
  return cs_memory_budget_share (conn->server->budget, body);
}

static cs_exchange_t *
incoming_exchange (conn_t *conn)
{
  if (!conn->incoming)
    {
      conn->incoming = g_new0 (cs_exchange_t, 1);
      conn->incoming->conn = conn;
      cs_http1_message_init (&conn->incoming->request, HTTP_REQUEST,
                             conn->server->limits.head_max,
                             conn->server->limits.body_max);
    }
  return conn->incoming;
}

/* Refuse the request that is being read: it is answered with STATUS after the
   requests before it, and further input is discarded.  */
static void
refuse_incoming_with (conn_t *conn, unsigned status, const char *fields)
{
  cs_exchange_t *exchange = incoming_exchange (conn);
  conn->incoming = NULL;
  g_queue_push_tail (&conn->exchanges, exchange);
  /* The handler does not get the request, so its answer is sent at once.  */
  exchange->delivered = true;
  conn->discard_input = true;
  cs_counter_add (CS_C_REFUSED_INPUT, 1);
  release_body (exchange);
  g_string_free (exchange->request.body, TRUE);
  exchange->request.body = g_string_new (NULL);
  cs_exchange_answer (exchange, status, fields, CS_STR (""), true);
}

static void
refuse_incoming (conn_t *conn, unsigned status)
{
  refuse_incoming_with (conn, status, conn->server->handler.refusal_fields);
}

/* Count what has come of the body of EXCHANGE, which CONN reads; false if
   there is no room for it.  */
static bool
count_body (conn_t *conn, cs_exchange_t *exchange)
{
  cs_http1_server_t *server = conn->server;
  gsize len = exchange->request.body->len;
  if (len < conn->body_moved_len || len - conn->body_moved_len >= BODY_STEP)
    {
      conn->body_moved_len = len;
      conn->body_moved_at = conn->progress_at;
    }
  int64_t more = (int64_t)len - exchange->counted;
  if (!server->budget || !more)
    return true;
  server->reading = conn;
  bool taken
      = cs_memory_budget_take (server->budget, more, len <= CS_SMALL_BODY_MAX);
  server->reading = NULL;
  if (taken)
    exchange->counted += more;
  return taken;
}

void
cs_http1_server_set_budget (cs_http1_server_t *server,
                            cs_memory_budget_t *budget)
{
  server->budget = budget;
}

bool
cs_http1_server_drop_stalled_body (cs_http1_server_t *server)
{
  cs_usec_t now = server->clock->monotonic (server->clock);
  conn_t *oldest = NULL;
  for (const GList *at = server->conns.head; at; at = at->next)
    {
      conn_t *conn = at->data;
      if (conn != server->reading && conn->incoming
          && conn->incoming->counted > CS_SMALL_BODY_MAX
          && (!oldest || conn->body_moved_at < oldest->body_moved_at))
        oldest = conn;
    }
  if (!oldest || now - oldest->body_moved_at < BODY_STALL_MIN)
    return false;
  refuse_incoming_with (oldest, 503, NO_ROOM_FIELDS);
  return true;
}

bool
cs_http1_server_drop_unread_answer (cs_http1_server_t *server)
{
  cs_usec_t now = server->clock->monotonic (server->clock);
  conn_t *oldest = NULL;
  for (const GList *at = server->conns.head; at; at = at->next)
    {
      conn_t *conn = at->data;
      if (conn != server->reading && conn->unwritten > CS_SMALL_BODY_MAX
          && (!oldest || conn->unwritten_since < oldest->unwritten_since))
        oldest = conn;
    }
  if (!oldest || now - oldest->unwritten_since < ANSWER_STALL_MIN)
    return false;
  close_conn (oldest);
  return true;
}

/* Send 100 Continue, once, if the request of EXCHANGE expects it, no body of
   it has come yet, and all earlier requests of CONN have been answered.  */
static void
send_continue (conn_t *conn, cs_exchange_t *exchange)
{
  if (exchange->request.head_complete && !exchange->request.complete
      && exchange->request.body->len == 0 && !exchange->user
      && cs_str_equal_nocase (
          cs_http1_message_field (&exchange->request, "expect"),
          "100-continue")
      && g_queue_is_empty (&conn->exchanges))
    {
      /* Not NULL: 100 Continue was sent.  deliver resets it for the handler.
       */
      exchange->user = exchange;
      cs_uv_write ((uv_stream_t *)&conn->tcp,
                   g_string_new ("HTTP/1.1 100 Continue\r\n\r\n"));
    }
}

static void
deliver (conn_t *conn, cs_exchange_t *exchange)
{
  cs_http1_server_t *server = conn->server;
  conn->incoming = NULL;
  conn->head_started_at = 0;
  conn->body_moved_len = 0;
  exchange->user = NULL;
  g_queue_push_tail (&conn->exchanges, exchange);
  if (!cs_http1_message_should_keep_alive (&exchange->request))
    conn->discard_input = true; /* The last request.  */
  server->handler.request_received (server->user, exchange);
}

static void
consume (conn_t *conn, const char *data, size_t len)
{
  size_t used = 0;
  while (used < len && !conn->discard_input && !conn->closing)
    {
      cs_exchange_t *exchange = incoming_exchange (conn);
      used += cs_http1_message_feed (&exchange->request, data + used,
                                     len - used);
      if (!conn->head_started_at
          && cs_http1_message_has_started (&exchange->request))
        conn->head_started_at = conn->progress_at;
      if (exchange->request.error_status)
        {
          refuse_incoming (conn, (unsigned)exchange->request.error_status);
          return;
        }
      if (!count_body (conn, exchange))
        {
          refuse_incoming_with (conn, 503, NO_ROOM_FIELDS);
          return;
        }
      if (!exchange->request.complete)
        {
          send_continue (conn, exchange);
          continue;
        }
      deliver (conn, exchange);
      /* The handler may have answered at once.  */
      exchange->delivered = true;
      flush_answers (conn);
      if (conn->lingering)
        conn->discard_input = true;
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
  conn->progress_at = conn->server->clock->monotonic (conn->server->clock);
  if (!conn->discard_input)
    consume (conn, buf->base, (size_t)n);
}

/* Close the connection that has been without a whole request for longest,
   other than KEPT; false if there is none.  */
static bool
close_idlest (cs_http1_server_t *server, const conn_t *kept)
{
  conn_t *idlest = NULL;
  for (const GList *at = server->conns.head; at; at = at->next)
    {
      conn_t *conn = at->data;
      if (conn != kept && g_queue_is_empty (&conn->exchanges)
          && (!idlest || conn->progress_at < idlest->progress_at))
        idlest = conn;
    }
  if (idlest)
    close_conn (idlest);
  return idlest != NULL;
}

static void
on_connection (uv_stream_t *listener, int status)
{
  cs_http1_server_t *server = listener->data;
  if (status < 0)
    return;
  conn_t *conn = g_new0 (conn_t, 1);
  conn->server = server;
  conn->link.data = conn;
  conn->tcp.data = conn;
  conn->progress_at = server->clock->monotonic (server->clock);
  uv_tcp_init (listener->loop, &conn->tcp);
  g_queue_push_tail_link (&server->conns, &conn->link);
  unsigned max = server->limits.connections_max;
  if (uv_accept (listener, (uv_stream_t *)&conn->tcp) != 0
      || (max && cs_http1_server_connection_count (server) > max
          && !close_idlest (server, conn))
      || uv_read_start ((uv_stream_t *)&conn->tcp, cs_uv_alloc_read_buffer,
                        on_read)
             != 0)
    {
      close_conn (conn);
      return;
    }
  cs_tcp_set_options (&conn->tcp, 0);
}

/* Look at how much of the answers CONN's caller has not taken.  */
static void
note_unwritten (conn_t *conn, cs_usec_t now)
{
  size_t unwritten = conn->tcp.write_queue_size;
  if (unwritten < conn->unwritten || !conn->unwritten)
    conn->unwritten_since = now;
  conn->unwritten = unwritten;
}

/* Refuse the request or close CONN if one of the timeouts has passed.  */
static void
check_timeout (conn_t *conn, cs_usec_t now)
{
  note_unwritten (conn, now);
  const cs_http1_server_limits_t *limits = &conn->server->limits;
  bool waiting = !g_queue_is_empty (&conn->exchanges);
  if (conn->lingering)
    {
      /* It lingers from when the last byte is written, or the caller takes no
         more.  */
      if (conn->unwritten && conn->unwritten_since == now)
        conn->progress_at = now;
      if (now - conn->progress_at > LINGER_TIMEOUT)
        close_conn (conn);
      return;
    }
  if (conn->incoming && conn->head_started_at
      && !conn->incoming->request.head_complete
      && now - conn->head_started_at > limits->head_timeout)
    refuse_incoming (conn, 408);
  else if (!waiting && now - conn->progress_at > limits->idle_timeout)
    {
      if (conn->incoming && conn->incoming->request.head_complete)
        refuse_incoming (conn, 408);
      else
        close_conn (conn);
    }
}

static void
check_timeouts (uv_timer_t *timer)
{
  cs_http1_server_t *server = timer->data;
  cs_usec_t now = server->clock->monotonic (server->clock);
  GList *next;
  for (GList *at = server->conns.head; at; at = next)
    {
      next = at->next;
      check_timeout (at->data, now);
    }
}

cs_status_t
cs_http1_server_new (cs_ctx_t *ctx, uv_loop_t *loop, const char *address,
                     const cs_http1_server_handler_t *handler, void *user,
                     cs_http1_server_t **server)
{
  struct sockaddr_in bind_address;
  if (!cs_sockaddr_parse (address, &bind_address))
    return cs_fail (ctx, CS_BAD_INPUT,
                    "'%s' is no address; write IP:PORT, as 127.0.0.1:7000",
                    address ? address : "(none)");
  cs_http1_server_t *new_server = g_new0 (cs_http1_server_t, 1);
  new_server->clock = ctx->clock;
  new_server->handler = *handler;
  new_server->user = user;
  /* Until cs_http1_server_set_limits.  */
  new_server->limits
      = (cs_http1_server_limits_t){ .head_max = 16384,
                                    .body_max = 1 << 20,
                                    .head_timeout = 3 * CS_SEC,
                                    .idle_timeout = 30 * CS_SEC };
  g_queue_init (&new_server->conns);
  uv_tcp_init (loop, &new_server->tcp);
  uv_timer_init (loop, &new_server->timeout_timer);
  new_server->tcp.data = new_server->timeout_timer.data = new_server;
  int error = uv_tcp_bind (&new_server->tcp,
                           (const struct sockaddr *)&bind_address, 0);
  if (error == 0)
    error
        = uv_listen ((uv_stream_t *)&new_server->tcp, BACKLOG, on_connection);
  if (error)
    return cs_fail (ctx, CS_UNAVAILABLE,
                    "cannot listen on %s: %s; free the port or set another",
                    address, uv_strerror (error));
  uv_timer_start (&new_server->timeout_timer, check_timeouts,
                  TIMEOUT_CHECK_INTERVAL_MS, TIMEOUT_CHECK_INTERVAL_MS);
  *server = new_server;
  return CS_OK;
}

void
cs_http1_server_set_limits (cs_http1_server_t *server,
                            const cs_http1_server_limits_t *limits)
{
  server->limits = *limits;
}

void
cs_http1_server_drain (cs_http1_server_t *server)
{
  GList *next;
  server->draining = true;
  for (GList *at = server->conns.head; at; at = next)
    {
      conn_t *conn = at->data;
      next = at->next;
      if (g_queue_is_empty (&conn->exchanges) && !conn->incoming
          && !conn->lingering)
        {
          conn->discard_input = true;
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
on_listener_closed (uv_handle_t *listener)
{
  cs_http1_server_t *server = listener->data;
  server->listener_closed = true;
  if (server->closing)
    uv_close ((uv_handle_t *)&server->timeout_timer, free_server);
}

void
cs_http1_server_stop_listening (cs_http1_server_t *server)
{
  if (server->stopped)
    return;
  server->stopped = true;
  uv_close ((uv_handle_t *)&server->tcp, on_listener_closed);
}

void
cs_exchange_abort (cs_exchange_t *exchange)
{
  exchange->answered = true; /* The handler is not told.  */
  close_conn (exchange->conn);
}

void
cs_http1_server_close (cs_http1_server_t *server)
{
  conn_t *conn;
  server->handler.caller_disconnected = NULL;
  server->closing = true;
  while ((conn = g_queue_peek_head (&server->conns)))
    close_conn (conn);
  if (server->listener_closed)
    uv_close ((uv_handle_t *)&server->timeout_timer, free_server);
  else
    cs_http1_server_stop_listening (server);
}

unsigned
cs_http1_server_connection_count (const cs_http1_server_t *server)
{
  return g_queue_get_length ((GQueue *)&server->conns);
}
