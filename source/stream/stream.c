#include <string.h>

#include "cardamom/counters.h"
#include "cardamom/stream.h"

#define LISTEN_BACKLOG 511
#define LENGTH_BYTES 4
#define FLUSH_BYTES 65536        /* A flush at this size bounds the buffer.  */
#define RETAINED_BYTES_MAX 16384 /* Larger empty input buffers are freed.  */
/* Of a large payload, so many bytes are received before it is admitted.  */
#define BEGINNING_BYTES 64

struct cs_stream
{
  uv_tcp_t tcp;
  uv_prepare_t flush_prepare; /* Active while UNSENT holds payloads.  */
  uv_connect_t connect;
  cs_clock_t *clock;
  cs_stream_handler_t handler;
  void *user;
  cs_usec_t unacked_timeout, last_received;
  GString *partial;           /* Received bytes of an incomplete payload.  */
  GString *unsent;            /* Payloads not yet written to the socket.  */
  cs_memory_budget_t *budget; /* NULL: nothing is counted.  */
  int64_t counted;   /* Of the large payload that is being received.  */
  bool admitted;     /* It was admitted.  */
  size_t drop_left;  /* Bytes to come of one that was not.  */
  GBytes *delivered; /* The large payload that RECEIVED has now.  */
  bool connected, closing;
  int open_handles; /* The stream is freed when both are closed.  */
};

static void
on_handle_closed (uv_handle_t *handle)
{
  cs_stream_t *stream = handle->data;
  if (--stream->open_handles > 0)
    return;
  cs_memory_budget_release (stream->budget, stream->counted);
  g_string_free (stream->partial, TRUE);
  g_string_free (stream->unsent, TRUE);
  g_free (stream);
}

void
cs_stream_drop (cs_stream_t *stream)
{
  if (!stream || stream->closing)
    return;
  stream->closing = true;
  uv_close ((uv_handle_t *)&stream->tcp, on_handle_closed);
  uv_close ((uv_handle_t *)&stream->flush_prepare, on_handle_closed);
}

static void
end_stream (cs_stream_t *stream, const char *why)
{
  if (stream->closing)
    return;
  cs_stream_drop (stream);
  stream->handler.closed (stream->user, stream, why);
}

void
cs_stream_flush (cs_stream_t *stream)
{
  uv_prepare_stop (&stream->flush_prepare);
  if (!stream->connected || stream->closing || !stream->unsent->len)
    return;
  GString *out = stream->unsent;
  stream->unsent = g_string_new (NULL);
  cs_uv_write ((uv_stream_t *)&stream->tcp, out);
}

static void
on_prepare (uv_prepare_t *prepare)
{
  cs_stream_flush (prepare->data);
}

void
cs_stream_send (cs_stream_t *stream, cs_str_t payload)
{
  guint32 length = GUINT32_TO_BE ((guint32)payload.len);
  if (stream->closing)
    return;
  g_string_append_len (stream->unsent, (const char *)&length, LENGTH_BYTES);
  g_string_append_len (stream->unsent, payload.data, (gssize)payload.len);
  if (stream->connected && stream->unsent->len >= FLUSH_BYTES)
    cs_stream_flush (stream);
  else if (stream->connected)
    uv_prepare_start (&stream->flush_prepare, on_prepare);
}

void
cs_stream_set_budget (cs_stream_t *stream, cs_memory_budget_t *budget)
{
  stream->budget = budget;
}

void
cs_stream_send_split (cs_stream_t *stream, cs_str_t payload, size_t split,
                      GBytes *body)
{
  guint32 length
      = GUINT32_TO_BE ((guint32)(payload.len + g_bytes_get_size (body)));
  if (stream->closing)
    return;
  g_string_append_len (stream->unsent, (const char *)&length, LENGTH_BYTES);
  g_string_append_len (stream->unsent, payload.data, (gssize)split);
  if (stream->connected)
    {
      GString *out = stream->unsent;
      stream->unsent = g_string_new (NULL);
      cs_uv_write_body ((uv_stream_t *)&stream->tcp, out, body);
      uv_prepare_start (&stream->flush_prepare, on_prepare);
    }
  else
    g_string_append_len (stream->unsent, g_bytes_get_data (body, NULL),
                         (gssize)g_bytes_get_size (body));
  g_string_append_len (stream->unsent, payload.data + split,
                       (gssize)(payload.len - split));
}

GBytes *
cs_stream_share (const cs_stream_t *stream, cs_str_t view)
{
  if (!stream->delivered || !view.len)
    return NULL;
  const char *data = g_bytes_get_data (stream->delivered, NULL);
  return g_bytes_new_from_bytes (stream->delivered, (gsize)(view.data - data),
                                 view.len);
}

/* Pass each whole small payload in DATA to the handler, up to the first large
   one.  Returns the bytes used, or -1 when STREAM has ended.  */
static gssize
deliver_payloads (cs_stream_t *stream, const char *data, size_t len)
{
  size_t used = 0;
  while (len - used >= LENGTH_BYTES)
    {
      guint32 length;
      memcpy (&length, data + used, LENGTH_BYTES);
      length = GUINT32_FROM_BE (length);
      if (length > CS_STREAM_PAYLOAD_MAX)
        {
          cs_counter_add (CS_C_FRAMES_REFUSED, 1);
          end_stream (stream, "payload over the limit");
          return -1;
        }
      if (length > CS_SMALL_BODY_MAX || len - used - LENGTH_BYTES < length)
        break;
      cs_str_t payload = { .data = data + used + LENGTH_BYTES, .len = length };
      stream->handler.received (stream->user, stream, payload);
      if (stream->closing)
        return -1;
      used += LENGTH_BYTES + length;
    }
  return (gssize)used;
}

/* The length of the payload at the front of the partial input; 0 if it is not
   known yet.  */
static size_t
front_length (const cs_stream_t *stream)
{
  guint32 length;
  if (stream->partial->len < LENGTH_BYTES)
    return 0;
  memcpy (&length, stream->partial->str, LENGTH_BYTES);
  return GUINT32_FROM_BE (length);
}

static void
free_empty_partial (cs_stream_t *stream)
{
  if (stream->partial->len
      || stream->partial->allocated_len <= RETAINED_BYTES_MAX)
    return;
  g_string_free (stream->partial, TRUE);
  stream->partial = g_string_new (NULL);
}

/* Decide whether the large payload of LENGTH bytes, whose beginning has been
   received, is received; if not, drop it.  Returns whether it is.  */
static bool
admit_large (cs_stream_t *stream, size_t length)
{
  cs_str_t beginning = { .data = stream->partial->str + LENGTH_BYTES,
                         .len = stream->partial->len - LENGTH_BYTES };
  if (stream->handler.admit
      && !stream->handler.admit (stream->user, stream, length, beginning))
    {
      size_t received = MIN (beginning.len, length);
      stream->drop_left = length - received;
      g_string_erase (stream->partial, 0, (gssize)(LENGTH_BYTES + received));
      free_empty_partial (stream);
      return false;
    }
  stream->admitted = true;
  stream->counted = (int64_t)(LENGTH_BYTES + length);
  cs_memory_budget_count (stream->budget, stream->counted);
  /* The buffer grows once; its pages are touched as they are filled.  */
  gsize had = stream->partial->len;
  g_string_set_size (stream->partial, LENGTH_BYTES + length + 1);
  g_string_truncate (stream->partial, had);
  return true;
}

/* Pass the large payload of LENGTH bytes at the front of the partial input,
   which is whole, to the handler.  */
static void
deliver_large (cs_stream_t *stream, size_t length)
{
  GString *whole = stream->partial;
  size_t end = LENGTH_BYTES + length;
  stream->partial
      = g_string_new_len (whole->str + end, (gssize)(whole->len - end));
  g_string_truncate (whole, end);
  stream->admitted = false;
  stream->counted = 0;
  stream->delivered = stream->budget
                          ? cs_memory_budget_share (stream->budget, whole)
                          : g_string_free_to_bytes (whole);
  GBytes *delivered = stream->delivered;
  cs_str_t payload = { .data = (const char *)g_bytes_get_data (delivered, NULL)
                               + LENGTH_BYTES,
                       .len = length };
  stream->handler.received (stream->user, stream, payload);
  stream->delivered = NULL;
  g_bytes_unref (delivered);
}

/* Handle the partial input as far as it goes.  */
static void
consume_partial (cs_stream_t *stream)
{
  size_t length;
  while (!stream->closing && (length = front_length (stream)) > 0)
    {
      if (length > CS_STREAM_PAYLOAD_MAX || length <= CS_SMALL_BODY_MAX)
        {
          gssize used = deliver_payloads (stream, stream->partial->str,
                                          stream->partial->len);
          if (used < 0)
            return;
          g_string_erase (stream->partial, 0, used);
          free_empty_partial (stream);
          if (!used)
            return;
        }
      else if (!stream->admitted)
        {
          if (stream->partial->len < LENGTH_BYTES + BEGINNING_BYTES
              || (!admit_large (stream, length) && stream->drop_left))
            return;
        }
      else if (stream->partial->len - LENGTH_BYTES < length)
        return;
      else
        deliver_large (stream, length);
    }
}

static void
on_read (uv_stream_t *handle, ssize_t n, const uv_buf_t *buf)
{
  cs_stream_t *stream = handle->data;
  if (n == 0 || stream->closing)
    return;
  if (n < 0)
    {
      end_stream (stream, n == UV_EOF ? "closed by the other node"
                                      : uv_strerror ((int)n));
      return;
    }
  stream->last_received = stream->clock->monotonic (stream->clock);
  const char *data = buf->base;
  size_t len = (size_t)n, dropped = MIN (stream->drop_left, len);
  stream->drop_left -= dropped;
  data += dropped;
  len -= dropped;
  if (!stream->partial->len)
    {
      gssize used = deliver_payloads (stream, data, len);
      if (used < 0)
        return;
      data += used;
      len -= (size_t)used;
    }
  if (!len)
    return;
  g_string_append_len (stream->partial, data, (gssize)len);
  consume_partial (stream);
}

static bool
start_reading (cs_stream_t *stream)
{
  stream->connected = true;
  stream->last_received = stream->clock->monotonic (stream->clock);
  cs_tcp_set_options (&stream->tcp, stream->unacked_timeout);
  return uv_read_start ((uv_stream_t *)&stream->tcp, cs_uv_alloc_read_buffer,
                        on_read)
         == 0;
}

static cs_stream_t *
new_stream (uv_loop_t *loop, cs_clock_t *clock, cs_usec_t unacked_timeout,
            const cs_stream_handler_t *handler, void *user)
{
  cs_stream_t *stream = g_new0 (cs_stream_t, 1);
  stream->clock = clock;
  stream->unacked_timeout = unacked_timeout;
  stream->handler = *handler;
  stream->user = user;
  stream->partial = g_string_new (NULL);
  stream->unsent = g_string_new (NULL);
  stream->open_handles = 2;
  stream->tcp.data = stream->flush_prepare.data = stream->connect.data
      = stream;
  uv_tcp_init (loop, &stream->tcp);
  uv_prepare_init (loop, &stream->flush_prepare);
  return stream;
}

static void
on_connect (uv_connect_t *connect, int status)
{
  cs_stream_t *stream = connect->data;
  if (stream->closing)
    return;
  if (status != 0 || !start_reading (stream))
    {
      end_stream (stream,
                  status ? uv_strerror (status) : "cannot start reading");
      return;
    }
  stream->handler.connected (stream->user, stream);
  cs_stream_flush (stream);
}

cs_stream_t *
cs_stream_connect (uv_loop_t *loop, cs_clock_t *clock,
                   const struct sockaddr_in *address,
                   cs_usec_t unacked_timeout,
                   const cs_stream_handler_t *handler, void *user)
{
  cs_stream_t *stream
      = new_stream (loop, clock, unacked_timeout, handler, user);
  stream->last_received = clock->monotonic (clock);
  if (uv_tcp_connect (&stream->connect, &stream->tcp,
                      (const struct sockaddr *)address, on_connect)
      != 0)
    {
      cs_stream_drop (stream);
      return NULL;
    }
  return stream;
}

typedef struct
{
  uv_tcp_t tcp;
  cs_clock_t *clock;
  cs_usec_t unacked_timeout;
  cs_stream_handler_t handler;
  void *(*accepted) (void *user, cs_stream_t *stream);
  void *user;
} listener_t;

static void
on_connection (uv_stream_t *handle, int status)
{
  listener_t *listener = handle->data;
  if (status < 0)
    return;
  cs_stream_t *stream
      = new_stream (handle->loop, listener->clock, listener->unacked_timeout,
                    &listener->handler, NULL);
  if (uv_accept (handle, (uv_stream_t *)&stream->tcp) != 0
      || !start_reading (stream))
    {
      cs_stream_drop (stream);
      return;
    }
  stream->user = listener->accepted (listener->user, stream);
}

cs_status_t
cs_stream_listen (cs_ctx_t *ctx, uv_loop_t *loop, const char *address,
                  cs_usec_t unacked_timeout,
                  const cs_stream_handler_t *handler,
                  void *(*accepted) (void *user, cs_stream_t *stream),
                  void *user)
{
  struct sockaddr_in where;
  if (!cs_sockaddr_parse (address, &where))
    return cs_fail (ctx, CS_BAD_INPUT, "%s is no IP:PORT; write one", address);
  listener_t *listener = g_new0 (listener_t, 1);
  *listener = (listener_t){ .clock = ctx->clock,
                            .unacked_timeout = unacked_timeout,
                            .handler = *handler,
                            .accepted = accepted,
                            .user = user };
  uv_tcp_init (loop, &listener->tcp);
  listener->tcp.data = listener;
  int error = uv_tcp_bind (&listener->tcp, (const struct sockaddr *)&where, 0);
  if (error == 0)
    error = uv_listen ((uv_stream_t *)&listener->tcp, LISTEN_BACKLOG,
                       on_connection);
  if (error)
    return cs_fail (ctx, CS_UNAVAILABLE,
                    "cannot listen on %s: %s; free the port or set another",
                    address, uv_strerror (error));
  return CS_OK;
}

cs_usec_t
cs_stream_last_received (const cs_stream_t *stream)
{
  return stream->last_received;
}
