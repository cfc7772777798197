/* A faulty backend server, which sends bytes until its caller closes.

     standin-endless PORT

   A request whose target contains "/endless-FORM" gets, as fast as they are
   taken:

   head     a field of the head that never ends
   line     a status line that never ends
   close    a body without a length
   length   a body with a length of 1 TB
   chunks   a body in chunks
   other    a body with a length, of an answer to another request
   interim  interim answers
   after    bytes behind a whole answer

   with "/slow" as well, 1 KB each 50 ms.  Any other one gets a short answer,
   or one of 200 KB if its target contains "/large".  */
#include <glib.h>
#include <stdbool.h>
#include <string.h>

#include "listener.h"

#define SLOW_BYTES 1024
#define SLOW_INTERVAL_MS 50
#define FAST_BYTES 65536
#define LARGE_BYTES 200000

static const struct
{
  const char *form, *head, *piece;
} forms[] = {
  { "head", "HTTP/1.1 200 OK\r\nX-Field: ", "a" },
  { "line", "", "HTTP/1.1 200 OK " },
  { "close", "HTTP/1.1 200 OK\r\n%s\r\n", "a" },
  { "length", "HTTP/1.1 200 OK\r\nContent-Length: 1000000000000\r\n%s\r\n",
    "a" },
  { "chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n%s\r\n",
    "10\r\naaaaaaaaaaaaaaaa\r\n" },
  { "other",
    "HTTP/1.1 200 OK\r\nContent-Length: 12000000\r\nAttempt-Id: other\r\n"
    "Response-Seal: s\r\n\r\n",
    "a" },
  { "interim", "", "HTTP/1.1 100 Continue\r\n\r\n" },
  { "after", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n%s\r\ndone", "a" },
};

typedef struct
{
  uv_tcp_t tcp;
  uv_timer_t timer;
  GString *request, *piece;
  bool slow;
  char buffer[FAST_BYTES];
} conn_t;

static uv_loop_t loop;

static void
on_closed (uv_handle_t *handle)
{
  (void)handle; /* Kept until the process ends.  */
}

static void
close_conn (conn_t *conn)
{
  uv_timer_stop (&conn->timer);
  if (!uv_is_closing ((uv_handle_t *)&conn->tcp))
    uv_close ((uv_handle_t *)&conn->tcp, on_closed);
}

static void send_piece (uv_timer_t *timer);

static void
on_written (uv_write_t *write, int status)
{
  conn_t *conn = write->data;
  g_free (write);
  if (status != 0)
    close_conn (conn);
  else if (conn->piece)
    uv_timer_start (&conn->timer, send_piece,
                    conn->slow ? SLOW_INTERVAL_MS : 0, 0);
}

static void
send_bytes (conn_t *conn, const char *data, size_t len)
{
  uv_write_t *write = g_new0 (uv_write_t, 1);
  uv_buf_t buf = uv_buf_init ((char *)data, (unsigned)len);
  write->data = conn;
  uv_write (write, (uv_stream_t *)&conn->tcp, &buf, 1, on_written);
}

static void
send_piece (uv_timer_t *timer)
{
  conn_t *conn = timer->data;
  send_bytes (conn, conn->piece->str, conn->piece->len);
}

/* Send the head, and begin with the pieces if there are any.  */
static void
answer (conn_t *conn)
{
  const char *id = strstr (conn->request->str, "Attempt-Id: ");
  char *fields = g_strdup_printf ("%.*s\r\nResponse-Seal: s\r\n",
                                  id ? (int)strcspn (id, "\r") : 0, id);
  GString *head = g_string_new (NULL);
  bool large = strstr (conn->request->str, "/large") != NULL;
  char *body = g_strnfill (large ? LARGE_BYTES : 2, 'k');
  char *whole
      = g_strdup_printf ("HTTP/1.1 200 OK\r\nContent-Length: %zu\r\n%%s\r\n%s",
                         strlen (body), body);
  const char *format = whole;
  for (size_t i = 0; i < G_N_ELEMENTS (forms); i++)
    {
      char *path = g_strconcat ("/endless-", forms[i].form, NULL);
      if (strstr (conn->request->str, path))
        {
          format = forms[i].head;
          conn->slow = strstr (conn->request->str, "/slow") != NULL;
          conn->piece = g_string_new (NULL);
          while (conn->piece->len < (conn->slow ? SLOW_BYTES : FAST_BYTES))
            g_string_append (conn->piece, forms[i].piece);
        }
      g_free (path);
    }
  char **parts = g_strsplit (format, "%s", 2);
  char *text = g_strjoinv (fields, parts);
  g_string_append (head, text);
  if (conn->piece && !head->len)
    send_piece (&conn->timer);
  else
    send_bytes (conn, head->str, head->len); /* Kept until it is sent.  */
  g_string_truncate (conn->request, 0);
  g_strfreev (parts);
  g_free (text);
  g_free (whole);
  g_free (body);
  g_free (fields);
}

static void
allocate (uv_handle_t *handle, size_t suggested, uv_buf_t *buf)
{
  conn_t *conn = handle->data;
  (void)suggested;
  *buf = uv_buf_init (conn->buffer, sizeof conn->buffer);
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
  g_string_append_len (conn->request, buf->base, n);
  if (!conn->piece && strstr (conn->request->str, "\r\n\r\n"))
    answer (conn);
}

static void
on_connection (uv_stream_t *listener, int status)
{
  conn_t *conn = g_new0 (conn_t, 1);
  if (status != 0)
    return;
  uv_tcp_init (&loop, &conn->tcp);
  uv_timer_init (&loop, &conn->timer);
  conn->tcp.data = conn->timer.data = conn;
  conn->request = g_string_new (NULL);
  uv_accept (listener, (uv_stream_t *)&conn->tcp);
  uv_read_start ((uv_stream_t *)&conn->tcp, allocate, on_read);
}

int
main (int argc, char **argv)
{
  if (argc != 2)
    {
      fprintf (stderr, "usage: standin-endless PORT\n");
      return 2;
    }
  return listener_run (&loop, argv[0], argv[1], on_connection);
}
