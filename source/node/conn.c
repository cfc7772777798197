/* One connection between two nodes: its socket and what waits to be written.
   The lock of the peers is held in every function.  */
#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <sodium.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "peer-internal.h"

void
conn_set_options (int fd)
{
  int one = 1;
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  fcntl (fd, F_SETFL, fcntl (fd, F_GETFL, 0) | O_NONBLOCK);
}

void
conn_watch (peers_t *p, conn_t *c)
{
  struct epoll_event event
      = { .events = EPOLLIN | (c->writing ? EPOLLOUT : 0), .data.ptr = c };
  epoll_ctl (p->epoll, c->watched ? EPOLL_CTL_MOD : EPOLL_CTL_ADD, c->fd,
             &event);
  c->watched = true;
}

conn_t *
conn_new (peers_t *p, int fd, bool outgoing)
{
  conn_t *c = g_new0 (conn_t, 1);
  c->fd = fd;
  c->outgoing = outgoing;
  c->in = g_byte_array_new ();
  c->out = g_byte_array_new ();
  c->calls = g_array_new (FALSE, FALSE, sizeof (sent_call_t));
  c->made_at = c->used_at = cs_now (p->ctx);
  randombytes_buf (c->nonce, sizeof c->nonce);
  c->next = p->conns;
  p->conns = c;
  return c;
}

void
conn_free (conn_t *c)
{
  close (c->fd);
  g_byte_array_unref (c->in);
  g_byte_array_unref (c->out);
  if (c->held)
    g_byte_array_unref (c->held);
  g_array_unref (c->calls);
  g_free (c);
}

void
conn_flush (peers_t *p, conn_t *c)
{
  bool before = c->writing;
  while (c->out->len > c->out_at && !c->connecting)
    {
      ssize_t n = send (c->fd, c->out->data + c->out_at,
                        c->out->len - c->out_at, MSG_NOSIGNAL);
      if (n < 0 && errno == EINTR)
        continue;
      if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
        break;
      if (n <= 0)
        {
          c->broken = true;
          break;
        }
      c->out_at += (guint)n;
      c->written += (uint64_t)n;
    }
  if (c->out_at == c->out->len)
    {
      c->out_at = 0;
      g_byte_array_set_size (c->out, 0);
    }
  c->writing = c->connecting || c->out->len > 0;
  if (c->writing != before || !c->watched)
    conn_watch (p, c);
  if (c->broken)
    shutdown (c->fd, SHUT_RDWR);
}

static void
append_frame (conn_t *c, GByteArray *to, cs_str_t payload)
{
  uint32_t length = htonl ((uint32_t)payload.len);
  g_byte_array_append (to, (const guint8 *)&length, sizeof length);
  g_byte_array_append (to, (const guint8 *)payload.data, (guint)payload.len);
  c->queued += sizeof length + payload.len;
}

void
conn_send_now (peers_t *p, conn_t *c, const cs_pack_t *pack)
{
  append_frame (c, c->out, cs_pack_payload (pack));
  conn_flush (p, c);
}

/* Frames wait in HELD until the other side is authenticated.  */
bool
conn_queue (peers_t *p, conn_t *c, cs_str_t payload, uint64_t call_id)
{
  GByteArray *to = c->ready ? c->out : c->held;
  if (!to)
    to = c->held = g_byte_array_new ();
  if (to->len - (c->ready ? c->out_at : 0) + payload.len > OUT_MAX)
    return false;
  sent_call_t call = { .id = call_id, .starts_at = c->queued };
  append_frame (c, to, payload);
  if (call_id)
    g_array_append_val (c->calls, call);
  c->used_at = cs_now (p->ctx);
  if (c->ready)
    conn_flush (p, c);
  return true;
}
