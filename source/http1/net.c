#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>

#include "cardamom/net.h"

#define READ_BYTES 65536 /* One read; larger ones only cost memory.  */

bool
cs_endpoint_parse (const char *text, struct sockaddr_in *address)
{
  char ip[INET_ADDRSTRLEN];
  const char *colon = text ? strrchr (text, ':') : NULL;
  char *end;
  if (!colon || (size_t)(colon - text) >= sizeof ip)
    return false;
  memcpy (ip, text, (size_t)(colon - text));
  ip[colon - text] = '\0';
  long port = strtol (colon + 1, &end, 10);
  if (*end || end == colon + 1 || port < 1 || port > 65535)
    return false;
  return uv_ip4_addr (ip, (int)port, address) == 0;
}

typedef struct
{
  uv_write_t request;
  GString *bytes;
} pending_t;

static void
end_write (uv_write_t *request, int status)
{
  (void)status;
  pending_t *pending = (pending_t *)request;
  g_string_free (pending->bytes, TRUE);
  g_free (pending);
}

void
cs_write (uv_stream_t *stream, GString *bytes)
{
  size_t written = 0;
  if (!stream->write_queue_size)
    {
      uv_buf_t buf = uv_buf_init (bytes->str, (unsigned)bytes->len);
      int n = uv_try_write (stream, &buf, 1);
      if (n > 0)
        written = (size_t)n;
    }
  if (written == bytes->len)
    {
      g_string_free (bytes, TRUE);
      return;
    }
  pending_t *pending = g_new0 (pending_t, 1);
  pending->bytes = bytes;
  uv_buf_t buf
      = uv_buf_init (bytes->str + written, (unsigned)(bytes->len - written));
  if (uv_write (&pending->request, stream, &buf, 1, end_write) != 0)
    end_write (&pending->request, -1);
}

void
cs_alloc_read (uv_handle_t *handle, size_t suggested, uv_buf_t *buf)
{
  static GPrivate kept = G_PRIVATE_INIT (g_free);
  char *bytes = g_private_get (&kept);
  (void)handle, (void)suggested;
  if (!bytes)
    {
      bytes = g_malloc (READ_BYTES);
      g_private_set (&kept, bytes);
    }
  *buf = uv_buf_init (bytes, READ_BYTES);
}

void
cs_tcp_tune (uv_tcp_t *tcp, cs_usec_t silence)
{
  int fd;
  uv_tcp_nodelay (tcp, 1);
  unsigned ms = (unsigned)(silence / CS_MSEC);
  if (ms && uv_fileno ((uv_handle_t *)tcp, &fd) == 0)
    setsockopt (fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &ms, sizeof ms);
}

typedef struct
{
  void (*run) (void *user, void *arg);
  void *user, *arg;
} letter_t;

static void
run_letters (uv_async_t *wake)
{
  cs_mailbox_t *box = wake->data;
  letter_t *letter;
  do
    {
      uv_mutex_lock (&box->lock);
      letter = g_queue_pop_head (&box->calls);
      uv_mutex_unlock (&box->lock);
      if (letter)
        letter->run (letter->user, letter->arg);
      g_free (letter);
    }
  while (letter);
}

void
cs_mailbox_init (cs_mailbox_t *box, uv_loop_t *loop)
{
  g_queue_init (&box->calls);
  uv_mutex_init (&box->lock);
  uv_async_init (loop, &box->wake, run_letters);
  box->wake.data = box;
}

void
cs_mailbox_post (cs_mailbox_t *box, void (*run) (void *user, void *arg),
                 void *user, void *arg)
{
  letter_t *letter = g_new (letter_t, 1);
  *letter = (letter_t){ .run = run, .user = user, .arg = arg };
  uv_mutex_lock (&box->lock);
  g_queue_push_tail (&box->calls, letter);
  uv_mutex_unlock (&box->lock);
  uv_async_send (&box->wake);
}

void
cs_mailbox_close (cs_mailbox_t *box)
{
  run_letters (&box->wake);
  uv_close ((uv_handle_t *)&box->wake, NULL);
}
