#include <string.h>

#include "soak.h"

#define DELAY_MS 250

typedef struct link link_t;

/* One direction's end of a connection.  */
typedef struct
{
  uv_tcp_t tcp;
  link_t *link;
  bool open, closed;
} side_t;

struct link
{
  proxy_t *proxy;
  side_t client, server;
  uv_connect_t connect;
  GString *early; /* From the client before the server is reached.  */
  bool connected, ended;
  unsigned handles;
};

struct proxy
{
  uv_tcp_t tcp;
  struct sockaddr_in target;
  proxy_mode_t mode;
  GQueue links;
};

typedef struct
{
  uv_timer_t timer;
  side_t *to;
  GString *bytes;
} late_t;

const char *
proxy_mode_name (proxy_mode_t mode)
{
  static const char *const names[]
      = { "pass",  "delay", "silent", "drop-up", "drop-down",
          "reset", "503",   "429",    "410" };
  return names[mode];
}

static void
on_closed (uv_handle_t *handle)
{
  side_t *side = handle->data;
  link_t *link = side->link;
  if (--link->handles)
    return;
  if (link->early)
    g_string_free (link->early, TRUE);
  g_free (link);
}

static void
close_side (side_t *side, bool reset)
{
  if (side->closed)
    return;
  side->closed = true;
  if (!reset || uv_tcp_close_reset (&side->tcp, on_closed) != 0)
    uv_close ((uv_handle_t *)&side->tcp, on_closed);
}

static void
end_link (link_t *link, bool reset)
{
  if (link->ended)
    return;
  link->ended = true;
  g_queue_remove (&link->proxy->links, link);
  close_side (&link->client, reset);
  close_side (&link->server, reset);
}

static void
free_late (uv_handle_t *handle)
{
  late_t *late = handle->data;
  g_string_free (late->bytes, TRUE);
  /* The link was kept for this.  */
  on_closed ((uv_handle_t *)&late->to->tcp);
  g_free (late);
}

static void
on_late (uv_timer_t *timer)
{
  late_t *late = timer->data;
  if (!late->to->link->ended)
    {
      cs_uv_write ((uv_stream_t *)&late->to->tcp, late->bytes);
      late->bytes = g_string_new (NULL);
    }
  uv_close ((uv_handle_t *)timer, free_late);
}

static void
pass (side_t *to, GString *bytes, bool delay)
{
  if (!delay)
    {
      cs_uv_write ((uv_stream_t *)&to->tcp, bytes);
      return;
    }
  late_t *late = g_new0 (late_t, 1);
  late->to = to;
  late->bytes = bytes;
  late->timer.data = late;
  to->link->handles++;
  uv_timer_init (to->tcp.loop, &late->timer);
  uv_timer_start (&late->timer, on_late, DELAY_MS, 0);
}

static void
answer_so (link_t *link, unsigned status)
{
  GString *out = g_string_new (NULL);
  g_string_append_printf (out,
                          "HTTP/1.1 %u No\r\nContent-Length: 2\r\n"
                          "Retry-After: 0.1\r\n\r\n{}",
                          status);
  cs_uv_write ((uv_stream_t *)&link->client.tcp, out);
}

static void
take (side_t *from, const char *data, size_t len)
{
  static const unsigned statuses[]
      = { [PROXY_503] = 503, [PROXY_429] = 429, [PROXY_410] = 410 };
  link_t *link = from->link;
  proxy_mode_t mode = link->proxy->mode;
  bool up = from == &link->client;
  if (mode == PROXY_SILENT || (mode == PROXY_DROP_UP && up)
      || (mode == PROXY_DROP_DOWN && !up))
    return;
  if (mode >= PROXY_503)
    {
      if (up)
        answer_so (link, statuses[mode]);
      return;
    }
  if (up && !link->connected)
    {
      g_string_append_len (link->early, data, (gssize)len);
      return;
    }
  pass (up ? &link->server : &link->client,
        g_string_new_len (data, (gssize)len), mode == PROXY_DELAY);
}

static void
on_read (uv_stream_t *stream, ssize_t n, const uv_buf_t *buf)
{
  side_t *side = stream->data;
  if (n < 0)
    end_link (side->link, false);
  else if (n > 0 && !side->link->ended)
    take (side, buf->base, (size_t)n);
}

static void
on_connected (uv_connect_t *connect, int status)
{
  link_t *link = connect->data;
  if (link->ended)
    return;
  if (status != 0)
    {
      end_link (link, true);
      return;
    }
  link->connected = true;
  uv_read_start ((uv_stream_t *)&link->server.tcp, cs_uv_alloc_read_buffer,
                 on_read);
  cs_tcp_set_options (&link->server.tcp, 0);
  if (link->early->len)
    {
      cs_uv_write ((uv_stream_t *)&link->server.tcp, link->early);
      link->early = g_string_new (NULL);
    }
}

static void
on_connection (uv_stream_t *listener, int status)
{
  proxy_t *proxy = listener->data;
  if (status < 0)
    return;
  link_t *link = g_new0 (link_t, 1);
  link->proxy = proxy;
  link->early = g_string_new (NULL);
  link->handles = 2;
  link->connect.data = link;
  side_t *sides[] = { &link->client, &link->server };
  for (int i = 0; i < 2; i++)
    {
      sides[i]->link = link;
      sides[i]->tcp.data = sides[i];
      uv_tcp_init (listener->loop, &sides[i]->tcp);
    }
  g_queue_push_tail (&proxy->links, link);
  if (uv_accept (listener, (uv_stream_t *)&link->client.tcp) != 0
      || proxy->mode == PROXY_RESET
      || uv_tcp_connect (&link->connect, &link->server.tcp,
                         (const struct sockaddr *)&proxy->target, on_connected)
             != 0)
    {
      end_link (link, true);
      return;
    }
  cs_tcp_set_options (&link->client.tcp, 0);
  uv_read_start ((uv_stream_t *)&link->client.tcp, cs_uv_alloc_read_buffer,
                 on_read);
}

proxy_t *
proxy_new (uv_loop_t *loop, unsigned port, unsigned target)
{
  proxy_t *proxy = g_new0 (proxy_t, 1);
  struct sockaddr_in at;
  uv_ip4_addr ("127.0.0.1", (int)port, &at);
  uv_ip4_addr ("127.0.0.1", (int)target, &proxy->target);
  uv_tcp_init (loop, &proxy->tcp);
  proxy->tcp.data = proxy;
  if (uv_tcp_bind (&proxy->tcp, (const struct sockaddr *)&at, 0) != 0
      || uv_listen ((uv_stream_t *)&proxy->tcp, 64, on_connection) != 0)
    return NULL;
  return proxy;
}

void
proxy_set (proxy_t *proxy, proxy_mode_t mode)
{
  link_t *link;
  proxy->mode = mode;
  while (mode == PROXY_RESET && (link = g_queue_peek_head (&proxy->links)))
    end_link (link, true);
}
