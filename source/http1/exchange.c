/* Answers of the HTTP server: in the order of the requests, as far as their
   callers take them.  */
#include <string.h>

#include "server-internal.h"

/* Bytes of the status line and the framing fields, to size the buffer.  */
#define FRAMING_BYTES_ESTIMATE 192

/* Of a connection with so many requests without an answer, or so many bytes of
   answers that wait or are not taken, no further request is read.  Far more
   than callers have in use who read what they asked for.  */
#define UNANSWERED_MAX 8
#define UNTAKEN_BYTES_MAX (256 * 1024)

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

void
exchange_release_body (cs_exchange_t *exchange)
{
  conn_t *conn = exchange->conn;
  cs_memory_budget_release (conn->server->budget, exchange->counted);
  exchange->counted = 0;
}

/* CONN holds BYTES more of answers that wait for those before them.  */
static void
count_waiting (conn_t *conn, cs_exchange_t *exchange, gsize bytes)
{
  exchange->answer_counted = (int64_t)bytes;
  conn->waiting_bytes += bytes;
  cs_memory_budget_count (conn->server->budget, (int64_t)bytes);
}

static void
release_waiting (cs_exchange_t *exchange)
{
  conn_t *conn = exchange->conn;
  conn->waiting_bytes -= (gsize)exchange->answer_counted;
  cs_memory_budget_release (conn->server->budget, exchange->answer_counted);
  exchange->answer_counted = 0;
}

void
exchange_free (cs_exchange_t *exchange)
{
  const conn_t *conn = exchange->conn;
  exchange_release_body (exchange);
  release_waiting (exchange);
  cs_memory_budget_release (conn->server->budget, exchange->head_counted);
  cs_http1_message_clear (&exchange->request);
  if (exchange->answer)
    g_string_free (exchange->answer, TRUE);
  if (exchange->answer_body)
    g_bytes_unref (exchange->answer_body);
  g_free (exchange);
}

bool
conn_front_may_start (const conn_t *conn)
{
  const cs_exchange_t *front = g_queue_peek_head ((GQueue *)&conn->exchanges);
  return front && front->notify_at_front
         && conn->tcp.write_queue_size <= UNTAKEN_BYTES_MAX;
}

void
conn_start_front (conn_t *conn)
{
  if (!conn_front_may_start (conn))
    return;
  cs_exchange_t *front = g_queue_peek_head (&conn->exchanges);
  front->notify_at_front = false;
  conn->server->handler.at_front (conn->server->user, front);
}

static void
on_written (uv_stream_t *stream)
{
  conn_schedule_resume (stream->data);
}

void
conn_flush_answers (conn_t *conn)
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
          cs_uv_write_counted ((uv_stream_t *)&conn->tcp, out,
                               exchange->answer_body, conn->server->budget,
                               on_written);
          out = NULL;
        }
      close = exchange->close;
      exchange_free (exchange);
    }
  if (!wrote)
    return;
  conn->progress_at = conn->server->clock->monotonic (conn->server->clock);
  if (out)
    cs_uv_write_counted ((uv_stream_t *)&conn->tcp, out, NULL,
                         conn->server->budget, on_written);
  if (conn->tcp.write_queue_size && !conn->unwritten)
    conn_note_unwritten (conn, conn->progress_at);
  conn_schedule_resume (conn);
  if (close)
    conn_linger (conn);
  else
    conn_start_front (conn);
}

bool
conn_is_full (const conn_t *conn)
{
  const cs_memory_budget_t *budget = conn->server->budget;
  gsize untaken = conn->waiting_bytes + conn->tcp.write_queue_size;
  unsigned unanswered = conn->exchanges.length;
  if (!unanswered && !untaken)
    return false;
  return unanswered >= UNANSWERED_MAX || untaken > UNTAKEN_BYTES_MAX
         || (budget && !cs_memory_budget_has_room (budget, 0, false));
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
  if (exchange->delivered && !cs_exchange_has_earlier_pending (exchange))
    conn_flush_answers (conn);
  else
    count_waiting (conn, exchange, out->len);
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
  cs_str_t view = cs_str_of_bytes (body);
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

void
cs_exchange_abort (cs_exchange_t *exchange)
{
  exchange->answered = true; /* The handler is not told.  */
  conn_close (exchange->conn);
}
