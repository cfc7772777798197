/* A stand-in for a thin link: a relay of TCP connections to another port of
   loopback, on each of which answers pass at a limited rate.

     standin-link PORT TO BYTES_PER_S  */

#include <glib.h>

#include "listener.h"

/* Answers pass in pieces, one each interval.  */
#define INTERVAL_MS 20
#define PIECE_MAX 65536

/* One direction of a relayed connection.  */
typedef struct
{
  uv_tcp_t *from, *to;
  size_t piece; /* Bytes each interval; 0: no limit.  */
  uv_timer_t timer;
  char buffer[PIECE_MAX];
} direction_t;

static uv_loop_t loop;
static struct sockaddr_in target;
static size_t answer_piece;

static void
on_closed (uv_handle_t *handle)
{
  (void)handle; /* Kept until the process ends.  */
}

static void
close_handle (void *handle)
{
  if (!uv_is_closing (handle))
    uv_close (handle, on_closed);
}

static void
close_both (direction_t *direction)
{
  close_handle (direction->from);
  close_handle (direction->to);
  uv_timer_stop (&direction->timer);
}

static void
allocate (uv_handle_t *handle, size_t suggested, uv_buf_t *buf)
{
  direction_t *direction = handle->data;
  (void)suggested;
  *buf = uv_buf_init (direction->buffer,
                      direction->piece ? direction->piece : PIECE_MAX);
}

static void on_read (uv_stream_t *stream, ssize_t n, const uv_buf_t *buf);

static void
read_on (uv_timer_t *timer)
{
  direction_t *direction = timer->data;
  if (!uv_is_closing ((uv_handle_t *)direction->from))
    uv_read_start ((uv_stream_t *)direction->from, allocate, on_read);
}

static void
on_written (uv_write_t *write, int status)
{
  direction_t *direction = write->data;
  g_free (write);
  if (status != 0)
    close_both (direction);
  else
    uv_timer_start (&direction->timer, read_on,
                    direction->piece ? INTERVAL_MS : 0, 0);
}

/* Pass on what was read; reading goes on when it is written.  */
static void
on_read (uv_stream_t *stream, ssize_t n, const uv_buf_t *buf)
{
  direction_t *direction = stream->data;
  if (n == 0)
    return;
  if (n < 0 || uv_is_closing ((uv_handle_t *)direction->to))
    {
      close_both (direction);
      return;
    }
  uv_read_stop (stream);
  uv_write_t *write = g_new0 (uv_write_t, 1);
  uv_buf_t piece = uv_buf_init (buf->base, (unsigned)n);
  write->data = direction;
  uv_write (write, (uv_stream_t *)direction->to, &piece, 1, on_written);
}

static void
start_direction (uv_tcp_t *from, uv_tcp_t *to, size_t piece)
{
  direction_t *direction = g_new0 (direction_t, 1);
  direction->from = from;
  direction->to = to;
  direction->piece = piece;
  from->data = direction;
  uv_timer_init (&loop, &direction->timer);
  direction->timer.data = direction;
  uv_read_start ((uv_stream_t *)from, allocate, on_read);
}

static void
on_connected (uv_connect_t *connect, int status)
{
  uv_tcp_t *caller = connect->data, *server = (uv_tcp_t *)connect->handle;
  g_free (connect);
  if (status != 0)
    {
      close_handle (caller);
      close_handle (server);
      return;
    }
  start_direction (caller, server, 0);
  start_direction (server, caller, answer_piece);
}

static void
on_connection (uv_stream_t *listener, int status)
{
  uv_tcp_t *caller = g_new0 (uv_tcp_t, 1), *server = g_new0 (uv_tcp_t, 1);
  uv_connect_t *connect = g_new0 (uv_connect_t, 1);
  if (status != 0)
    return;
  uv_tcp_init (&loop, caller);
  uv_tcp_init (&loop, server);
  uv_accept (listener, (uv_stream_t *)caller);
  connect->data = caller;
  uv_tcp_connect (connect, server, (const struct sockaddr *)&target,
                  on_connected);
}

int
main (int argc, char **argv)
{
  if (argc != 4)
    {
      fprintf (stderr, "usage: standin-link PORT TO BYTES_PER_S\n");
      return 2;
    }
  uv_ip4_addr ("127.0.0.1", atoi (argv[2]), &target);
  answer_piece = (size_t)atoi (argv[3]) * INTERVAL_MS / 1000;
  return listener_run (&loop, argv[0], argv[1], on_connection);
}
