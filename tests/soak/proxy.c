#include <string.h>

#include "soak.h"

#define DELAY_MS 250 /* Of PROXY_DELAY.  */

typedef struct connection connection_t;

/* One of the two TCP connections that make up a proxied one.  */
typedef struct
{
  uv_tcp_t tcp;
  connection_t *connection;
  bool open; /* Unused.  */
  bool closed;
} endpoint_t;

/* A connection through the proxy.  */
struct connection
{
  proxy_t *proxy;
  endpoint_t client, server;
  uv_connect_t connect_request;
  /* Received from the client before the server has accepted.  */
  GString *early_bytes;
  bool connected; /* To the server.  */
  bool closing;
  unsigned reference_count; /* Open endpoints and delayed writes.  */
};

struct proxy
{
  uv_tcp_t tcp;
  struct sockaddr_in target;
  proxy_mode_t mode;
  GQueue connections;
};

/* Bytes that wait for DELAY_MS.  */
typedef struct
{
  uv_timer_t timer;
  endpoint_t *to;
  GString *bytes;
} delayed_write_t;

const char *
proxy_mode_name (proxy_mode_t mode)
{
  static const char *const names[]
      = { "pass",  "delay", "silent", "drop-up", "drop-down",
          "reset", "503",   "429",    "410" };
  return names[mode];
}

/* Drop one reference to the connection of the endpoint HANDLE.  */
static void
release_connection (uv_handle_t *handle)
{
  endpoint_t *endpoint = handle->data;
  connection_t *connection = endpoint->connection;
  if (--connection->reference_count)
    return;
  if (connection->early_bytes)
    g_string_free (connection->early_bytes, TRUE);
  g_free (connection);
}

static void
close_endpoint (endpoint_t *endpoint, bool reset)
{
  if (endpoint->closed)
    return;
  endpoint->closed = true;
  if (!reset || uv_tcp_close_reset (&endpoint->tcp, release_connection) != 0)
    uv_close ((uv_handle_t *)&endpoint->tcp, release_connection);
}

/* Close both endpoints of CONNECTION, with a TCP reset if RESET.  */
static void
close_connection (connection_t *connection, bool reset)
{
  if (connection->closing)
    return;
  connection->closing = true;
  g_queue_remove (&connection->proxy->connections, connection);
  close_endpoint (&connection->client, reset);
  close_endpoint (&connection->server, reset);
}

static void
free_delayed_write (uv_handle_t *handle)
{
  delayed_write_t *delayed = handle->data;
  g_string_free (delayed->bytes, TRUE);
  /* The delayed write held a reference.  */
  release_connection ((uv_handle_t *)&delayed->to->tcp);
  g_free (delayed);
}

static void
on_delay_over (uv_timer_t *timer)
{
  delayed_write_t *delayed = timer->data;
  if (!delayed->to->connection->closing)
    {
      cs_uv_write ((uv_stream_t *)&delayed->to->tcp, delayed->bytes);
      delayed->bytes = g_string_new (NULL);
    }
  uv_close ((uv_handle_t *)timer, free_delayed_write);
}

/* Send BYTES, which are taken over, to TO.  */
static void
forward_bytes (endpoint_t *to, GString *bytes, bool delay)
{
  if (!delay)
    {
      cs_uv_write ((uv_stream_t *)&to->tcp, bytes);
      return;
    }
  delayed_write_t *delayed = g_new0 (delayed_write_t, 1);
  delayed->to = to;
  delayed->bytes = bytes;
  delayed->timer.data = delayed;
  to->connection->reference_count++;
  uv_timer_init (to->tcp.loop, &delayed->timer);
  uv_timer_start (&delayed->timer, on_delay_over, DELAY_MS, 0);
}

/* Answer the client with STATUS, in place of the server.  */
static void
answer_status (connection_t *connection, unsigned status)
{
  GString *answer = g_string_new (NULL);
  g_string_append_printf (answer,
                          "HTTP/1.1 %u No\r\nContent-Length: 2\r\n"
                          "Retry-After: 0.1\r\n\r\n{}",
                          status);
  cs_uv_write ((uv_stream_t *)&connection->client.tcp, answer);
}

/* Forward, discard or answer LEN bytes of DATA received from FROM.  */
static void
handle_bytes (endpoint_t *from, const char *data, size_t len)
{
  static const unsigned statuses[]
      = { [PROXY_503] = 503, [PROXY_429] = 429, [PROXY_410] = 410 };
  connection_t *connection = from->connection;
  proxy_mode_t mode = connection->proxy->mode;
  bool from_client = from == &connection->client;
  if (mode == PROXY_SILENT || (mode == PROXY_DROP_UP && from_client)
      || (mode == PROXY_DROP_DOWN && !from_client))
    return;
  if (mode >= PROXY_503)
    {
      if (from_client)
        answer_status (connection, statuses[mode]);
      return;
    }
  if (from_client && !connection->connected)
    {
      g_string_append_len (connection->early_bytes, data, (gssize)len);
      return;
    }
  forward_bytes (from_client ? &connection->server : &connection->client,
                 g_string_new_len (data, (gssize)len), mode == PROXY_DELAY);
}

static void
on_read (uv_stream_t *stream, ssize_t n, const uv_buf_t *buf)
{
  endpoint_t *endpoint = stream->data;
  if (n < 0)
    close_connection (endpoint->connection, false);
  else if (n > 0 && !endpoint->connection->closing)
    handle_bytes (endpoint, buf->base, (size_t)n);
}

static void
on_connected (uv_connect_t *connect, int status)
{
  connection_t *connection = connect->data;
  if (connection->closing)
    return;
  if (status != 0)
    {
      close_connection (connection, true);
      return;
    }
  connection->connected = true;
  uv_read_start ((uv_stream_t *)&connection->server.tcp,
                 cs_uv_alloc_read_buffer, on_read);
  cs_tcp_set_options (&connection->server.tcp, 0);
  if (connection->early_bytes->len)
    {
      cs_uv_write ((uv_stream_t *)&connection->server.tcp,
                   connection->early_bytes);
      connection->early_bytes = g_string_new (NULL);
    }
}

static void
on_connection (uv_stream_t *listener, int status)
{
  proxy_t *proxy = listener->data;
  if (status < 0)
    return;
  connection_t *connection = g_new0 (connection_t, 1);
  connection->proxy = proxy;
  connection->early_bytes = g_string_new (NULL);
  connection->reference_count = 2;
  connection->connect_request.data = connection;
  endpoint_t *endpoints[] = { &connection->client, &connection->server };
  for (int i = 0; i < 2; i++)
    {
      endpoints[i]->connection = connection;
      endpoints[i]->tcp.data = endpoints[i];
      uv_tcp_init (listener->loop, &endpoints[i]->tcp);
    }
  g_queue_push_tail (&proxy->connections, connection);
  if (uv_accept (listener, (uv_stream_t *)&connection->client.tcp) != 0
      || proxy->mode == PROXY_RESET
      || uv_tcp_connect (&connection->connect_request, &connection->server.tcp,
                         (const struct sockaddr *)&proxy->target, on_connected)
             != 0)
    {
      close_connection (connection, true);
      return;
    }
  cs_tcp_set_options (&connection->client.tcp, 0);
  uv_read_start ((uv_stream_t *)&connection->client.tcp,
                 cs_uv_alloc_read_buffer, on_read);
}

proxy_t *
proxy_new (uv_loop_t *loop, unsigned port, unsigned target)
{
  proxy_t *proxy = g_new0 (proxy_t, 1);
  struct sockaddr_in address;
  uv_ip4_addr ("127.0.0.1", (int)port, &address);
  uv_ip4_addr ("127.0.0.1", (int)target, &proxy->target);
  uv_tcp_init (loop, &proxy->tcp);
  proxy->tcp.data = proxy;
  if (uv_tcp_bind (&proxy->tcp, (const struct sockaddr *)&address, 0) != 0
      || uv_listen ((uv_stream_t *)&proxy->tcp, 64, on_connection) != 0)
    return NULL;
  return proxy;
}

void
proxy_set_mode (proxy_t *proxy, proxy_mode_t mode)
{
  connection_t *connection;
  proxy->mode = mode;
  while (mode == PROXY_RESET
         && (connection = g_queue_peek_head (&proxy->connections)))
    close_connection (connection, true);
}
