/* Connections between nodes: one thread, epoll, length-prefixed msgpack
   frames.  conn.c writes, handshake.c authenticates, this file reads and
   keeps the connections.  */
#include <arpa/inet.h>
#include <errno.h>
#include <sodium.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#include "node.h"
#include "peer-internal.h"

#define EVENTS_MAX 64

/* Reading.  */

static void
answer_ping (peers_t *p, conn_t *c, cs_str_t payload)
{
  cs_unpack_t unpack;
  cs_unpack_cursor_t in;
  cs_pack_t pack;
  if (cs_unpack_init (p->ctx, &unpack, payload, &in) != CS_OK)
    return;
  cs_unpack_int64 (&in);
  uint64_t seq = cs_unpack_uint64 (&in);
  cs_str_t asker = cs_unpack_str (&in);
  cs_pack_init (&pack);
  cs_pack_array (&pack, 3);
  cs_pack_int64 (&pack, FRAME_ACK);
  cs_pack_uint64 (&pack, seq);
  cs_pack_str (&pack, asker);
  cs_str_t answer = cs_pack_payload (&pack);
  cs_counter_add (CS_C_CONTROL_BYTES_OUT, answer.len + 4);
  conn_queue (p, c, answer, 0);
  cs_pack_clear (&pack);
  cs_unpack_clear (&unpack);
}

/* Route one frame of an authenticated node.  The lock is not held.  */
static void
dispatch (peers_t *p, const char *from, int64_t type, cs_str_t payload)
{
  switch (type)
    {
    case FRAME_CALL:
      calls_take_call (p->node, from, payload);
      break;
    case FRAME_RESULT:
      calls_take_result (p->node, payload);
      break;
    case FRAME_CANCEL:
      calls_take_cancel (p->node, from, payload);
      break;
    default:
      cs_counter_add (CS_C_CONTROL_BYTES_IN, payload.len + 4);
      control_frame (p->node->control, from, payload);
    }
}

static bool
is_cut (const peers_t *p, const conn_t *c)
{
  return p->cuts && g_hash_table_contains (p->cuts, c->dc);
}

/* Take one whole frame; the lock is held.  FALSE breaks the connection.  */
static bool
take_frame (peers_t *p, conn_t *c, cs_str_t payload)
{
  cs_unpack_t unpack;
  cs_unpack_cursor_t in;
  bool good = true;
  if (cs_unpack_init (p->ctx, &unpack, payload, &in) != CS_OK)
    return false;
  int64_t type = cs_unpack_int64 (&in);
  if (in.failed || type < FRAME_HELLO || type >= FRAME_TYPE_COUNT
      || (!c->ready && type > FRAME_AUTH))
    good = false;
  else if (type == FRAME_HELLO)
    good = handshake_take_hello (p, c, &in);
  else if (type == FRAME_AUTH)
    good = handshake_take_auth (p, c, &in);
  else if (is_cut (p, c))
    good = true;
  else if (type == FRAME_PING && !p->delay)
    answer_ping (p, c, payload);
  else
    peers_defer (p, c, type, payload);
  cs_unpack_clear (&unpack);
  return good;
}

static uint32_t
frame_length (const conn_t *c, guint at)
{
  uint32_t length;
  memcpy (&length, c->in->data + at, sizeof length);
  return ntohl (length);
}

static bool
take_frames (peers_t *p, conn_t *c)
{
  guint at = 0;
  bool good = true;
  while (good && c->in->len - at >= 4)
    {
      uint32_t length = frame_length (c, at);
      uint32_t max = c->ready ? p->frame_max : HELLO_MAX;
      if (length == 0 || length > max)
        good = false;
      else if (c->in->len - at - 4 < length)
        break;
      else
        {
          cs_str_t payload = { (char *)c->in->data + at + 4, length };
          good = take_frame (p, c, payload);
          at += 4 + length;
        }
    }
  if (!good)
    {
      cs_counter_add (CS_C_FRAMES_REFUSED, 1);
      return false;
    }
  if (at)
    g_byte_array_remove_range (c->in, 0, at);
  if (at)
    c->partial_since = c->in->len ? cs_now (p->ctx) : 0;
  else if (c->in->len && !c->partial_since)
    c->partial_since = cs_now (p->ctx);
  return true;
}

static bool
read_socket (peers_t *p, conn_t *c)
{
  char block[65536];
  for (;;)
    {
      ssize_t n = recv (c->fd, block, sizeof block, 0);
      if (n < 0 && errno == EINTR)
        continue;
      if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
        return true;
      if (n <= 0)
        return false;
      c->used_at = cs_now (p->ctx);
      g_byte_array_append (c->in, (guint8 *)block, (guint)n);
      if (!take_frames (p, c))
        return false;
      if ((size_t)n < sizeof block)
        return true;
    }
}

/* Deliver what take_frame has deferred, without the lock.  */
static void
deliver_due (peers_t *p)
{
  cs_usec_t now = cs_now (p->ctx);
  for (;;)
    {
      deferred_t *d = g_queue_peek_head (&p->deferred);
      if (!d || d->due > now)
        return;
      g_queue_pop_head (&p->deferred);
      if (d->type == FRAME_PING)
        {
          pthread_mutex_lock (&p->lock);
          conn_t *c = peers_find (p, d->from);
          if (c)
            answer_ping (p, c, cs_str_of_gstring (d->payload));
          pthread_mutex_unlock (&p->lock);
        }
      else
        dispatch (p, d->from, d->type, cs_str_of_gstring (d->payload));
      peers_deferred_free (d);
    }
}

/* Opening and closing.  */

static void
unlink_conn (peers_t *p, conn_t *gone)
{
  conn_t **at = &p->conns;
  while (*at != gone)
    at = &(*at)->next;
  *at = gone->next;
}

/* Close C and settle its calls: a frame of which no byte was written has
   certainly not run.  */
static void
close_conn (peers_t *p, conn_t *c)
{
  GArray *calls = g_array_ref (c->calls);
  uint64_t written = c->ready ? c->written : 0;
  unlink_conn (p, c);
  epoll_ctl (p->epoll, EPOLL_CTL_DEL, c->fd, NULL);
  conn_free (c);
  pthread_mutex_unlock (&p->lock);
  for (guint i = 0; i < calls->len; i++)
    {
      sent_call_t *call = &g_array_index (calls, sent_call_t, i);
      bool sent = call->starts_at < written;
      calls_complete (p->node->calls, call->id,
                      result_new (sent ? CS_RUN_UNKNOWN : CS_RUN_NOT_STARTED,
                                  sent ? "the connection to the upstream's "
                                         "node broke"
                                       : "the upstream's node cannot be "
                                         "reached"));
    }
  g_array_unref (calls);
  pthread_mutex_lock (&p->lock);
}

static void
accept_all (peers_t *p)
{
  int fd;
  while ((fd = accept4 (p->listener, NULL, NULL, SOCK_CLOEXEC)) >= 0)
    {
      conn_set_options (fd);
      conn_t *c = conn_new (p, fd, false);
      conn_watch (p, c);
      handshake_send_hello (p, c);
    }
}

static conn_t *
open_conn (peers_t *p, const peer_address_t *to)
{
  struct sockaddr_in sa
      = { .sin_family = AF_INET, .sin_port = htons ((uint16_t)to->port) };
  if (inet_pton (AF_INET, to->host, &sa.sin_addr) != 1)
    return NULL;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (fd < 0)
    return NULL;
  conn_set_options (fd);
  int code = connect (fd, (struct sockaddr *)&sa, sizeof sa);
  if (code < 0 && errno != EINPROGRESS)
    {
      close (fd);
      return NULL;
    }
  conn_t *c = conn_new (p, fd, true);
  c->connecting = true;
  c->writing = true;
  c->to = *to;
  g_strlcpy (c->name, to->name, sizeof c->name);
  conn_watch (p, c);
  uint64_t one = 1;
  if (write (p->wake, &one, sizeof one) < 0)
    c->broken = true;
  return c;
}

static bool
finish_connect (peers_t *p, conn_t *c)
{
  int error = 0;
  socklen_t len = sizeof error;
  getsockopt (c->fd, SOL_SOCKET, SO_ERROR, &error, &len);
  if (error)
    return false;
  c->connecting = false;
  handshake_send_hello (p, c);
  return true;
}

conn_t *
peers_find (peers_t *p, const char *name)
{
  conn_t *found = NULL;
  for (conn_t *c = p->conns; c; c = c->next)
    if (!c->broken && strcmp (c->name, name) == 0
        && (!found || (c->ready && !found->ready)))
      found = c;
  return found;
}

static conn_t *
find_address (peers_t *p, const peer_address_t *to)
{
  for (conn_t *c = p->conns; c; c = c->next)
    if (!c->broken && c->outgoing && c->to.port == to->port
        && strcmp (c->to.host, to->host) == 0)
      return c;
  return NULL;
}

bool
peers_send (peers_t *p, const peer_address_t *to, cs_str_t payload,
            uint64_t call_id)
{
  pthread_mutex_lock (&p->lock);
  conn_t *c = to->name[0] ? peers_find (p, to->name) : NULL;
  if (!c)
    c = find_address (p, to);
  if (!c)
    c = open_conn (p, to);
  bool queued = c && !is_cut (p, c) && conn_queue (p, c, payload, call_id);
  if (queued && c->far)
    cs_counter_add (call_id ? CS_C_CALL_BYTES_OUT : CS_C_REGION_BYTES_OUT,
                    payload.len + 4);
  pthread_mutex_unlock (&p->lock);
  return queued;
}

bool
peers_reply (peers_t *p, const char *name, cs_str_t payload)
{
  pthread_mutex_lock (&p->lock);
  conn_t *c = peers_find (p, name);
  bool queued = c && !is_cut (p, c) && conn_queue (p, c, payload, 0);
  pthread_mutex_unlock (&p->lock);
  return queued;
}

void
peers_forget_call (peers_t *p, uint64_t id)
{
  pthread_mutex_lock (&p->lock);
  for (conn_t *c = p->conns; c; c = c->next)
    for (guint i = 0; i < c->calls->len; i++)
      if (g_array_index (c->calls, sent_call_t, i).id == id)
        {
          g_array_remove_index_fast (c->calls, i);
          pthread_mutex_unlock (&p->lock);
          return;
        }
  pthread_mutex_unlock (&p->lock);
}

void
peers_cut (peers_t *p, const char *dc, bool cut)
{
  pthread_mutex_lock (&p->lock);
  if (cut)
    g_hash_table_add (p->cuts, g_strdup (dc));
  else
    g_hash_table_remove (p->cuts, dc);
  pthread_mutex_unlock (&p->lock);
}

/* The thread.  */

static bool
is_overdue (const peers_t *p, const conn_t *c, cs_usec_t now)
{
  if (!c->ready && now - c->made_at > HANDSHAKE_MAX)
    return true;
  if (c->partial_since && now - c->partial_since > FRAME_TIME_MAX)
    return true;
  (void)p;
  return c->ready && c->calls->len == 0 && now - c->used_at > IDLE_MAX;
}

static void
sweep (peers_t *p)
{
  cs_usec_t now = cs_now (p->ctx);
  conn_t *c = p->conns;
  while (c)
    {
      if (c->broken || is_overdue (p, c, now))
        {
          close_conn (p, c);
          c = p->conns;
        }
      else
        c = c->next;
    }
}

static void
handle_event (peers_t *p, const struct epoll_event *event)
{
  conn_t *c = event->data.ptr;
  bool good = true;
  if (event->events & (EPOLLOUT | EPOLLERR | EPOLLHUP) && c->connecting)
    good = finish_connect (p, c);
  if (good && event->events & EPOLLIN)
    good = read_socket (p, c);
  if (good && event->events & (EPOLLERR | EPOLLHUP))
    good = false;
  if (good && event->events & EPOLLOUT)
    conn_flush (p, c);
  if (!good || c->broken)
    close_conn (p, c);
}

static int
wait_ms (peers_t *p)
{
  const deferred_t *d = g_queue_peek_head (&p->deferred);
  cs_usec_t until = p->next_sweep;
  if (d)
    until = MIN (until, d->due);
  cs_usec_t left = until - cs_now (p->ctx);
  return left <= 0 ? 0 : (int)((left + CS_MSEC - 1) / CS_MSEC);
}

static void *
run_peers (void *arg)
{
  peers_t *p = arg;
  struct epoll_event events[EVENTS_MAX];
  while (!atomic_load (&p->stopping))
    {
      int n = epoll_wait (p->epoll, events, EVENTS_MAX, wait_ms (p));
      pthread_mutex_lock (&p->lock);
      for (int i = 0; i < n; i++)
        {
          uint64_t wakes;
          if (events[i].data.ptr == &p->listener)
            accept_all (p);
          else if (events[i].data.ptr == &p->wake)
            (void)!read (p->wake, &wakes, sizeof wakes);
          else
            handle_event (p, &events[i]);
        }
      if (cs_now (p->ctx) >= p->next_sweep)
        {
          sweep (p);
          p->next_sweep = cs_now (p->ctx) + SWEEP_INTERVAL;
        }
      pthread_mutex_unlock (&p->lock);
      deliver_due (p);
    }
  return NULL;
}

static bool
listen_on (peers_t *p, const node_settings_t *s)
{
  struct sockaddr_in sa
      = { .sin_family = AF_INET, .sin_port = htons ((uint16_t)s->peer_port) };
  int one = 1;
  p->listener
      = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  setsockopt (p->listener, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  return inet_pton (AF_INET, s->host, &sa.sin_addr) == 1
         && bind (p->listener, (struct sockaddr *)&sa, sizeof sa) == 0
         && listen (p->listener, SOMAXCONN) == 0;
}

static void
derive_key (const char *text, unsigned char key[KEY_BYTES])
{
  crypto_generichash (key, KEY_BYTES, (const unsigned char *)text,
                      strlen (text), NULL, 0);
}

static void
add_to_epoll (peers_t *p, int fd, void *tag)
{
  struct epoll_event event = { .events = EPOLLIN, .data.ptr = tag };
  epoll_ctl (p->epoll, EPOLL_CTL_ADD, fd, &event);
}

peers_t *
peers_start (node_t *node)
{
  peers_t *p = g_new0 (peers_t, 1);
  const node_settings_t *s = &node->settings;
  p->node = node;
  p->ctx = cs_ctx_clone (node->ctx);
  if (!listen_on (p, s))
    {
      cs_fail (node->ctx, CS_UNAVAILABLE,
               "cannot listen on %s:%lld: %s; choose another --peer-port",
               s->host, (long long)s->peer_port, strerror (errno));
      cs_ctx_drop (p->ctx);
      g_free (p);
      return NULL;
    }
  pthread_mutex_init (&p->lock, NULL);
  g_queue_init (&p->deferred);
  p->cuts = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  p->delay = s->test_region_delay_ms * CS_MSEC;
  p->frame_max = FRAME_BASE_MAX + (uint32_t)s->body_max;
  derive_key (s->cluster_key, p->keys[p->key_count++]);
  if (*s->cluster_key_old)
    derive_key (s->cluster_key_old, p->keys[p->key_count++]);
  p->epoll = epoll_create1 (EPOLL_CLOEXEC);
  p->wake = eventfd (0, EFD_CLOEXEC | EFD_NONBLOCK);
  add_to_epoll (p, p->listener, &p->listener);
  add_to_epoll (p, p->wake, &p->wake);
  p->thread = node_thread (run_peers, p);
  return p;
}

void
peers_stop (peers_t *p)
{
  uint64_t one = 1;
  atomic_store (&p->stopping, true);
  (void)!write (p->wake, &one, sizeof one);
  pthread_join (p->thread, NULL);
  pthread_mutex_lock (&p->lock);
  while (p->conns)
    close_conn (p, p->conns);
  pthread_mutex_unlock (&p->lock);
}

void
peers_free (peers_t *p)
{
  g_queue_clear_full (&p->deferred, peers_deferred_free);
  g_hash_table_unref (p->cuts);
  close (p->listener);
  close (p->wake);
  close (p->epoll);
  sodium_memzero (p->keys, sizeof p->keys);
  cs_ctx_drop (p->ctx);
  pthread_mutex_destroy (&p->lock);
  g_free (p);
}
