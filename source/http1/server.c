#include <string.h>

#include "cardamom/counters.h"
#include "server-internal.h"

#define BACKLOG 511
#define TIMEOUT_CHECK_INTERVAL_MS 500

/* How long a connection is still read after the server has shut down its
   side.  */
#define LINGER_TIMEOUT (1 * CS_SEC)

static void
free_conn (uv_handle_t *handle)
{
  conn_t *conn = handle->data;
  if (conn->gives_way)
    conn->server->giving_way--;
  g_free (conn);
}

void
conn_close (conn_t *conn)
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
      exchange_free (exchange);
    }
  if (conn->incoming)
    exchange_free (conn->incoming);
  conn->incoming = NULL;
  GString *stash = conn_take_stash (conn);
  if (stash)
    g_string_free (stash, TRUE);
  uv_close ((uv_handle_t *)&conn->tcp, free_conn);
}

static void
on_shutdown (uv_shutdown_t *request, int status)
{
  (void)status;
  g_free (request);
}

void
conn_linger (conn_t *conn)
{
  uv_shutdown_t *request = g_new0 (uv_shutdown_t, 1);
  conn->lingering = true;
  conn->progress_at = conn->server->clock->monotonic (conn->server->clock);
  if (uv_shutdown (request, (uv_stream_t *)&conn->tcp, on_shutdown) != 0)
    g_free (request);
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

void
conn_refuse_incoming (conn_t *conn, unsigned status, const char *fields)
{
  cs_exchange_t *exchange = incoming_exchange (conn);
  conn->incoming = NULL;
  g_queue_push_tail (&conn->exchanges, exchange);
  /* The handler does not get the request, so its answer is sent at once.  */
  exchange->delivered = true;
  conn->discard_input = true;
  cs_counter_add (CS_C_REFUSED_INPUT, 1);
  exchange_release_body (exchange);
  g_string_free (exchange->request.body, TRUE);
  exchange->request.body = g_string_new (NULL);
  cs_exchange_answer (exchange, status, fields, CS_STR (""), true);
}

static void
refuse_incoming (conn_t *conn, unsigned status)
{
  conn_refuse_incoming (conn, status, conn->server->handler.refusal_fields);
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
  while (used < len && !conn->discard_input && !conn->closing
         && !conn_is_full (conn))
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
      if (!conn_count_request (conn, exchange))
        {
          conn_refuse_incoming (conn, 503, NO_ROOM_FIELDS);
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
      conn_flush_answers (conn);
      if (conn->lingering)
        conn->discard_input = true;
    }
  if (used == len || conn->discard_input || conn->closing)
    return;
  if (!conn_stash_input (conn, data + used, len - used))
    {
      conn_close (conn);
      return;
    }
  conn->reading_stopped = true;
  uv_read_stop ((uv_stream_t *)&conn->tcp);
}

static void on_read (uv_stream_t *stream, ssize_t n, const uv_buf_t *buf);

/* Read on with CONN, with what is stashed first.  */
static void
resume_reading (conn_t *conn)
{
  GString *stash = conn_take_stash (conn);
  conn->reading_stopped = false;
  if (stash)
    {
      consume (conn, stash->str, stash->len);
      g_string_free (stash, TRUE);
    }
  if (!conn->closing && !conn->reading_stopped
      && uv_read_start ((uv_stream_t *)&conn->tcp, cs_uv_alloc_read_buffer,
                        on_read)
             != 0)
    conn_close (conn);
}

/* Whether CONN can go on with what waited for its caller to take answers.  */
static bool
may_go_on (const conn_t *conn)
{
  return !conn->closing
         && (conn_front_may_start (conn)
             || (conn->reading_stopped && !conn_is_full (conn)));
}

/* Go on with one connection; others may be closed meanwhile, so the next one
   is looked for anew.  */
static void
on_resume (uv_idle_t *idle)
{
  const cs_http1_server_t *server = idle->data;
  for (GList *at = server->conns.head; at; at = at->next)
    {
      conn_t *conn = at->data;
      if (!may_go_on (conn))
        continue;
      conn_start_front (conn);
      if (conn->reading_stopped && !conn_is_full (conn))
        resume_reading (conn);
      return;
    }
  uv_idle_stop (idle);
}

void
conn_schedule_resume (conn_t *conn)
{
  if (may_go_on (conn))
    uv_idle_start (&conn->server->resume_idle, on_resume);
}

static void
on_read (uv_stream_t *stream, ssize_t n, const uv_buf_t *buf)
{
  conn_t *conn = stream->data;
  if (n < 0)
    {
      conn_close (conn);
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
    conn_close (idlest);
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
      conn_close (conn);
      return;
    }
  cs_tcp_set_options (&conn->tcp, 0);
}

/* Refuse the request or close CONN if one of the timeouts has passed.  */
static void
check_timeout (conn_t *conn, cs_usec_t now)
{
  conn_note_unwritten (conn, now);
  const cs_http1_server_limits_t *limits = &conn->server->limits;
  bool waiting = !g_queue_is_empty (&conn->exchanges);
  /* A caller that takes its answer is not idle.  A connection lingers from
     when the last byte is taken; one that takes no more is idle.  */
  if (conn->unwritten && conn->unwritten_since == now)
    conn->progress_at = now;
  if (conn->lingering)
    {
      cs_usec_t timeout = conn->unwritten
                              ? MAX (limits->idle_timeout, LINGER_TIMEOUT)
                              : LINGER_TIMEOUT;
      if (now - conn->progress_at > timeout)
        conn_close (conn);
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
        conn_close (conn);
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
  uv_idle_init (loop, &new_server->resume_idle);
  new_server->tcp.data = new_server->timeout_timer.data
      = new_server->resume_idle.data = new_server;
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
          conn_linger (conn);
        }
    }
}

static void
free_server (uv_handle_t *handle)
{
  g_free (handle->data);
}

static void
on_idle_closed (uv_handle_t *idle)
{
  cs_http1_server_t *server = idle->data;
  uv_close ((uv_handle_t *)&server->timeout_timer, free_server);
}

static void
on_listener_closed (uv_handle_t *listener)
{
  cs_http1_server_t *server = listener->data;
  server->listener_closed = true;
  if (server->closing)
    uv_close ((uv_handle_t *)&server->resume_idle, on_idle_closed);
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
cs_http1_server_close (cs_http1_server_t *server)
{
  conn_t *conn;
  server->handler.caller_disconnected = NULL;
  server->closing = true;
  while ((conn = g_queue_peek_head (&server->conns)))
    conn_close (conn);
  if (server->listener_closed)
    uv_close ((uv_handle_t *)&server->resume_idle, on_idle_closed);
  else
    cs_http1_server_stop_listening (server);
}

unsigned
cs_http1_server_connection_count (const cs_http1_server_t *server)
{
  return g_queue_get_length ((GQueue *)&server->conns);
}
