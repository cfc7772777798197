#include <string.h>

#include "cardamom/counters.h"
#include "cardamom/stream.h"

#define BACKLOG 511
#define LENGTH_BYTES 4
#define FLUSH_NOW_BYTES 65536 /* Sent at once, lest a buffer grows.  */
#define BUFFER_KEPT 16384     /* Bytes of a buffer kept when it is empty.  */

struct cs_stream
{
  uv_tcp_t tcp;
  uv_prepare_t flusher; /* Active while OUT holds something.  */
  uv_connect_t connect;
  cs_clock_t *clock;
  cs_stream_handler_t handler;
  void *user;
  cs_usec_t silence, heard;
  GString *in;  /* The start of a payload that is not yet whole.  */
  GString *out; /* Frames not yet given to the socket.  */
  bool up, closing;
  int handles; /* Still to be closed.  */
};

static void
end_handle (uv_handle_t *handle)
{
  cs_stream_t *s = handle->data;
  if (--s->handles > 0)
    return;
  g_string_free (s->in, TRUE);
  g_string_free (s->out, TRUE);
  g_free (s);
}

void
cs_stream_drop (cs_stream_t *s)
{
  if (!s || s->closing)
    return;
  s->closing = true;
  uv_close ((uv_handle_t *)&s->tcp, end_handle);
  uv_close ((uv_handle_t *)&s->flusher, end_handle);
}

static void
end_stream (cs_stream_t *s, const char *why)
{
  if (s->closing)
    return;
  cs_stream_drop (s);
  s->handler.down (s->user, s, why);
}

void
cs_stream_flush (cs_stream_t *s)
{
  uv_prepare_stop (&s->flusher);
  if (!s->up || s->closing || !s->out->len)
    return;
  GString *out = s->out;
  s->out = g_string_new (NULL);
  cs_write ((uv_stream_t *)&s->tcp, out);
}

static void
on_prepare (uv_prepare_t *flusher)
{
  cs_stream_flush (flusher->data);
}

void
cs_stream_send (cs_stream_t *s, cs_str_t payload)
{
  guint32 length = GUINT32_TO_BE ((guint32)payload.len);
  if (s->closing)
    return;
  g_string_append_len (s->out, (const char *)&length, LENGTH_BYTES);
  g_string_append_len (s->out, payload.data, (gssize)payload.len);
  if (s->up && s->out->len >= FLUSH_NOW_BYTES)
    cs_stream_flush (s);
  else if (s->up)
    uv_prepare_start (&s->flusher, on_prepare);
}

/* Hand over the whole payloads of DATA; the bytes used, or -1 when STREAM has
   ended.  */
static gssize
take_payloads (cs_stream_t *s, const char *data, size_t len)
{
  size_t used = 0;
  while (len - used >= LENGTH_BYTES)
    {
      guint32 length;
      memcpy (&length, data + used, LENGTH_BYTES);
      length = GUINT32_FROM_BE (length);
      if (length > CS_STREAM_PAYLOAD_MAX)
        {
          cs_count (CS_C_FRAMES_REFUSED, 1);
          end_stream (s, "payload over the limit");
          return -1;
        }
      if (len - used - LENGTH_BYTES < length)
        break;
      cs_str_t payload = { .data = data + used + LENGTH_BYTES, .len = length };
      s->handler.payload (s->user, s, payload);
      if (s->closing)
        return -1;
      used += LENGTH_BYTES + length;
    }
  return (gssize)used;
}

static void
on_read (uv_stream_t *stream, ssize_t n, const uv_buf_t *buf)
{
  cs_stream_t *s = stream->data;
  if (n == 0 || s->closing)
    return;
  if (n < 0)
    {
      end_stream (s, n == UV_EOF ? "closed by the other node"
                                 : uv_strerror ((int)n));
      return;
    }
  s->heard = s->clock->monotonic (s->clock);
  if (!s->in->len)
    {
      gssize used = take_payloads (s, buf->base, (size_t)n);
      if (used >= 0)
        g_string_append_len (s->in, buf->base + used, n - used);
      return;
    }
  g_string_append_len (s->in, buf->base, n);
  gssize used = take_payloads (s, s->in->str, s->in->len);
  if (used > 0)
    g_string_erase (s->in, 0, used);
  if (used > 0 && !s->in->len && s->in->allocated_len > BUFFER_KEPT)
    {
      g_string_free (s->in, TRUE);
      s->in = g_string_new (NULL);
    }
}

static bool
start (cs_stream_t *s)
{
  s->up = true;
  s->heard = s->clock->monotonic (s->clock);
  cs_tcp_tune (&s->tcp, s->silence);
  return uv_read_start ((uv_stream_t *)&s->tcp, cs_alloc_read, on_read) == 0;
}

static cs_stream_t *
make (uv_loop_t *loop, cs_clock_t *clock, cs_usec_t silence,
      const cs_stream_handler_t *handler, void *user)
{
  cs_stream_t *s = g_new0 (cs_stream_t, 1);
  s->clock = clock;
  s->silence = silence;
  s->handler = *handler;
  s->user = user;
  s->in = g_string_new (NULL);
  s->out = g_string_new (NULL);
  s->handles = 2;
  s->tcp.data = s->flusher.data = s->connect.data = s;
  uv_tcp_init (loop, &s->tcp);
  uv_prepare_init (loop, &s->flusher);
  return s;
}

static void
on_connect (uv_connect_t *connect, int status)
{
  cs_stream_t *s = connect->data;
  if (s->closing)
    return;
  if (status != 0 || !start (s))
    {
      end_stream (s, status ? uv_strerror (status) : "cannot be read");
      return;
    }
  s->handler.up (s->user, s);
  cs_stream_flush (s);
}

cs_stream_t *
cs_stream_connect (uv_loop_t *loop, cs_clock_t *clock,
                   const struct sockaddr_in *address, cs_usec_t silence,
                   const cs_stream_handler_t *handler, void *user)
{
  cs_stream_t *s = make (loop, clock, silence, handler, user);
  s->heard = clock->monotonic (clock);
  if (uv_tcp_connect (&s->connect, &s->tcp, (const struct sockaddr *)address,
                      on_connect)
      != 0)
    {
      cs_stream_drop (s);
      return NULL;
    }
  return s;
}

typedef struct
{
  uv_tcp_t tcp;
  cs_clock_t *clock;
  cs_usec_t silence;
  cs_stream_handler_t handler;
  void *(*taken) (void *user, cs_stream_t *stream);
  void *user;
} listener_t;

static void
on_connection (uv_stream_t *stream, int status)
{
  listener_t *listener = stream->data;
  if (status < 0)
    return;
  cs_stream_t *s = make (stream->loop, listener->clock, listener->silence,
                         &listener->handler, NULL);
  if (uv_accept (stream, (uv_stream_t *)&s->tcp) != 0 || !start (s))
    {
      cs_stream_drop (s);
      return;
    }
  s->user = listener->taken (listener->user, s);
}

cs_status_t
cs_stream_listen (cs_ctx_t *ctx, uv_loop_t *loop, const char *address,
                  cs_usec_t silence, const cs_stream_handler_t *handler,
                  void *(*taken) (void *user, cs_stream_t *stream), void *user)
{
  struct sockaddr_in where;
  if (!cs_endpoint_parse (address, &where))
    return cs_fail (ctx, CS_BAD_INPUT, "%s is no IP:PORT; write one", address);
  listener_t *listener = g_new0 (listener_t, 1);
  *listener = (listener_t){ .clock = ctx->clock,
                            .silence = silence,
                            .handler = *handler,
                            .taken = taken,
                            .user = user };
  uv_tcp_init (loop, &listener->tcp);
  listener->tcp.data = listener;
  int error = uv_tcp_bind (&listener->tcp, (const struct sockaddr *)&where, 0);
  if (error == 0)
    error = uv_listen ((uv_stream_t *)&listener->tcp, BACKLOG, on_connection);
  if (error)
    return cs_fail (ctx, CS_UNAVAILABLE,
                    "cannot listen on %s: %s; free the port or set another",
                    address, uv_strerror (error));
  return CS_OK;
}

cs_usec_t
cs_stream_heard (const cs_stream_t *s)
{
  return s->heard;
}
