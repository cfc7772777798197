#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>

#include "cardamom/net.h"

/* Size of one read; larger reads only cost memory.  */
#define READ_BUFFER_BYTES 65536

bool
cs_sockaddr_parse (const char *text, struct sockaddr_in *address)
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
  uv_write_t request; /* First.  */
  GString *head;
  GBytes *body;               /* NULL: none.  */
  cs_memory_budget_t *budget; /* HEAD is counted there; NULL: nowhere.  */
  void (*written) (uv_stream_t *stream); /* NULL: nobody asks.  */
} pending_write_t;

static void
free_parts (GString *head, GBytes *body)
{
  g_string_free (head, TRUE);
  if (body)
    g_bytes_unref (body);
}

static void
on_written (uv_write_t *request, int status)
{
  pending_write_t *pending = (pending_write_t *)request;
  cs_memory_budget_release (pending->budget, (int64_t)pending->head->len);
  if (pending->written && status == 0)
    pending->written (request->handle);
  free_parts (pending->head, pending->body);
  g_free (pending);
}

/* Skip the first WRITTEN bytes of the COUNT buffers in BUFS; returns how many
   buffers are left, which are moved to the front.  */
static unsigned
skip_written (uv_buf_t *bufs, unsigned count, size_t written)
{
  unsigned left = 0;
  for (unsigned i = 0; i < count; i++)
    {
      size_t skipped = MIN (written, bufs[i].len);
      written -= skipped;
      if (skipped < bufs[i].len)
        bufs[left++] = uv_buf_init (bufs[i].base + skipped,
                                    (unsigned)(bufs[i].len - skipped));
    }
  return left;
}

void
cs_uv_write_counted (uv_stream_t *stream, GString *head, GBytes *body,
                     cs_memory_budget_t *budget,
                     void (*written) (uv_stream_t *stream))
{
  gsize len = 0;
  const char *data = body ? g_bytes_get_data (body, &len) : NULL;
  uv_buf_t bufs[] = { uv_buf_init (head->str, (unsigned)head->len),
                      uv_buf_init ((char *)data, (unsigned)len) };
  unsigned count = len ? 2 : 1;
  if (body)
    g_bytes_ref (body);
  if (!stream->write_queue_size)
    {
      int n = uv_try_write (stream, bufs, count);
      if (n > 0)
        count = skip_written (bufs, count, (size_t)n);
    }
  if (!count)
    {
      free_parts (head, body);
      return;
    }
  pending_write_t *pending = g_new0 (pending_write_t, 1);
  pending->head = head;
  pending->body = body;
  pending->budget = budget;
  pending->written = written;
  cs_memory_budget_count (budget, (int64_t)head->len);
  if (uv_write (&pending->request, stream, bufs, count, on_written) != 0)
    on_written (&pending->request, -1);
}

void
cs_uv_write_body (uv_stream_t *stream, GString *head, GBytes *body)
{
  cs_uv_write_counted (stream, head, body, NULL, NULL);
}

void
cs_uv_write (uv_stream_t *stream, GString *bytes)
{
  cs_uv_write_body (stream, bytes, NULL);
}

void
cs_uv_alloc_read_buffer (uv_handle_t *handle, size_t suggested, uv_buf_t *buf)
{
  static GPrivate thread_buffer = G_PRIVATE_INIT (g_free);
  char *bytes = g_private_get (&thread_buffer);
  (void)handle, (void)suggested;
  if (!bytes)
    {
      bytes = g_malloc (READ_BUFFER_BYTES);
      g_private_set (&thread_buffer, bytes);
    }
  *buf = uv_buf_init (bytes, READ_BUFFER_BYTES);
}

void
cs_tcp_set_options (uv_tcp_t *tcp, cs_usec_t unacked_timeout)
{
  int fd;
  uv_tcp_nodelay (tcp, 1);
  unsigned ms = (unsigned)(unacked_timeout / CS_MSEC);
  if (ms && uv_fileno ((uv_handle_t *)tcp, &fd) == 0)
    setsockopt (fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &ms, sizeof ms);
}

typedef struct
{
  void (*run) (void *user, void *arg);
  void *user, *arg;
} posted_call_t;

static void
run_posted_calls (uv_async_t *wake)
{
  cs_mailbox_t *mailbox = wake->data;
  posted_call_t *call;
  do
    {
      uv_mutex_lock (&mailbox->lock);
      call = g_queue_pop_head (&mailbox->posted_calls);
      uv_mutex_unlock (&mailbox->lock);
      if (call)
        call->run (call->user, call->arg);
      g_free (call);
    }
  while (call);
}

void
cs_mailbox_init (cs_mailbox_t *mailbox, uv_loop_t *loop)
{
  g_queue_init (&mailbox->posted_calls);
  uv_mutex_init (&mailbox->lock);
  uv_async_init (loop, &mailbox->wakeup, run_posted_calls);
  mailbox->wakeup.data = mailbox;
}

void
cs_mailbox_post (cs_mailbox_t *mailbox, void (*run) (void *user, void *arg),
                 void *user, void *arg)
{
  posted_call_t *call = g_new (posted_call_t, 1);
  *call = (posted_call_t){ .run = run, .user = user, .arg = arg };
  uv_mutex_lock (&mailbox->lock);
  g_queue_push_tail (&mailbox->posted_calls, call);
  uv_mutex_unlock (&mailbox->lock);
  uv_async_send (&mailbox->wakeup);
}

void
cs_mailbox_close (cs_mailbox_t *mailbox)
{
  run_posted_calls (&mailbox->wakeup);
  uv_close ((uv_handle_t *)&mailbox->wakeup, NULL);
}
