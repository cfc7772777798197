/* Connections between nodes: one thread, epoll, length-prefixed msgpack
   frames, keyed authentication before anything else is taken.  */
#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <sodium.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#include "node.h"
#include "peer-internal.h"

#define PROTOCOL 1
#define EVENTS_MAX 64

static void
set_socket_options (int fd)
{
  int one = 1;
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  fcntl (fd, F_SETFL, fcntl (fd, F_GETFL, 0) | O_NONBLOCK);
}

static void
watch_socket (peers_t *p, conn_t *c)
{
  struct epoll_event event
      = { .events = EPOLLIN | (c->writing ? EPOLLOUT : 0), .data.ptr = c };
  epoll_ctl (p->epoll, c->watched ? EPOLL_CTL_MOD : EPOLL_CTL_ADD, c->fd,
             &event);
  c->watched = true;
}

static conn_t *
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

static void
conn_free (conn_t *c)
{
  close (c->fd);
  g_byte_array_unref (c->in);
  g_byte_array_unref (c->out);
  g_array_unref (c->calls);
  g_free (c);
}

/* Writing.  The lock is held.  */

static void
flush_out (peers_t *p, conn_t *c)
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
    watch_socket (p, c);
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

static void
send_now (peers_t *p, conn_t *c, const cs_pack_t *pack)
{
  append_frame (c, c->out, cs_pack_payload (pack));
  flush_out (p, c);
}

/* Frames wait in HELD until the other side is authenticated.  */
static bool
queue_frame (peers_t *p, conn_t *c, cs_str_t payload, uint64_t call_id)
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
    flush_out (p, c);
  return true;
}

/* Handshake.  */

static void
send_hello (peers_t *p, conn_t *c)
{
  const node_settings_t *s = &p->node->settings;
  cs_pack_t pack;
  cs_pack_init (&pack);
  cs_pack_array (&pack, 6);
  cs_pack_number (&pack, FRAME_HELLO);
  cs_pack_number (&pack, PROTOCOL);
  cs_pack_text (&pack, s->node);
  cs_pack_text (&pack, s->dc);
  cs_pack_text (&pack, s->region);
  cs_pack_bytes (&pack, (cs_str_t){ (const char *)c->nonce, sizeof c->nonce });
  send_now (p, c, &pack);
  cs_pack_clear (&pack);
}

/* The proof that the sender NAME holds the key: a MAC over both nonces, the
   sender's first, and its name, data centre and region.  */
static void
make_proof (const unsigned char *key, const unsigned char *own_nonce,
            const unsigned char *other_nonce, const char *name, const char *dc,
            const char *region, unsigned char *proof)
{
  crypto_auth_hmacsha512256_state state;
  crypto_auth_hmacsha512256_init (&state, key, KEY_BYTES);
  crypto_auth_hmacsha512256_update (&state, own_nonce, NONCE_BYTES);
  crypto_auth_hmacsha512256_update (&state, other_nonce, NONCE_BYTES);
  const char *texts[] = { name, dc, region };
  for (size_t i = 0; i < G_N_ELEMENTS (texts); i++)
    crypto_auth_hmacsha512256_update (&state, (const unsigned char *)texts[i],
                                      strlen (texts[i]) + 1);
  crypto_auth_hmacsha512256_final (&state, proof);
}

static void
send_auth (peers_t *p, conn_t *c)
{
  const node_settings_t *s = &p->node->settings;
  unsigned char proof[PROOF_BYTES];
  cs_pack_t pack;
  cs_pack_init (&pack);
  cs_pack_array (&pack, 1 + p->key_count);
  cs_pack_number (&pack, FRAME_AUTH);
  for (size_t i = 0; i < p->key_count; i++)
    {
      make_proof (p->keys[i], c->nonce, c->other_nonce, s->node, s->dc,
                  s->region, proof);
      cs_pack_bytes (&pack, (cs_str_t){ (const char *)proof, PROOF_BYTES });
    }
  send_now (p, c, &pack);
  cs_pack_clear (&pack);
}

static bool
copy_name (cs_str_t from, char to[NODE_NAME_MAX])
{
  if (from.len == 0 || from.len >= NODE_NAME_MAX
      || memchr (from.data, 0, from.len))
    return false;
  memcpy (to, from.data, from.len);
  to[from.len] = 0;
  return true;
}

static bool
take_hello (peers_t *p, conn_t *c, cs_cursor_t *in)
{
  int64_t protocol = cs_take_number (in);
  cs_str_t name = cs_take_str (in), dc = cs_take_str (in);
  cs_str_t region = cs_take_str (in), nonce = cs_take_str (in);
  if (in->bad || protocol != PROTOCOL || nonce.len != NONCE_BYTES || c->greeted
      || !copy_name (name, c->name) || !copy_name (dc, c->dc)
      || !copy_name (region, c->region))
    return false;
  memcpy (c->other_nonce, nonce.data, NONCE_BYTES);
  if (memcmp (c->nonce, c->other_nonce, NONCE_BYTES) == 0)
    return false;
  c->greeted = true;
  send_auth (p, c);
  return true;
}

static bool
proof_is_good (peers_t *p, const conn_t *c, cs_str_t proof)
{
  unsigned char expected[PROOF_BYTES];
  bool good = false;
  if (proof.len != PROOF_BYTES)
    return false;
  for (size_t i = 0; i < p->key_count; i++)
    {
      make_proof (p->keys[i], c->other_nonce, c->nonce, c->name, c->dc,
                  c->region, expected);
      good |= sodium_memcmp (expected, proof.data, PROOF_BYTES) == 0;
    }
  return good;
}

static void
release_held (peers_t *p, conn_t *c)
{
  if (c->held)
    {
      g_byte_array_append (c->out, c->held->data, c->held->len);
      g_byte_array_unref (c->held);
      c->held = NULL;
    }
  flush_out (p, c);
}

static bool
take_auth (peers_t *p, conn_t *c, cs_cursor_t *in)
{
  bool good = false;
  if (!c->greeted || c->ready)
    return false;
  while (in->left && !in->bad)
    good |= proof_is_good (p, c, cs_take_str (in));
  if (in->bad || !good)
    {
      cs_count (CS_C_PEERS_DENIED, 1);
      return false;
    }
  c->ready = true;
  c->far = strcmp (c->region, p->node->settings.region) != 0;
  release_held (p, c);
  return true;
}

/* Reading.  */

static void
answer_ping (peers_t *p, conn_t *c, cs_str_t payload)
{
  cs_unpack_t unpack;
  cs_cursor_t in;
  cs_pack_t pack;
  if (cs_unpack_init (p->ctx, &unpack, payload, &in) != CS_OK)
    return;
  cs_take_number (&in);
  uint64_t seq = cs_take_unsigned (&in);
  cs_str_t asker = cs_take_str (&in);
  cs_pack_init (&pack);
  cs_pack_array (&pack, 3);
  cs_pack_number (&pack, FRAME_ACK);
  cs_pack_unsigned (&pack, seq);
  cs_pack_str (&pack, asker);
  cs_str_t answer = cs_pack_payload (&pack);
  cs_count (CS_C_CONTROL_BYTES_OUT, answer.len + 4);
  queue_frame (p, c, answer, 0);
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
      cs_count (CS_C_CONTROL_BYTES_IN, payload.len + 4);
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
  cs_cursor_t in;
  bool good = true;
  if (cs_unpack_init (p->ctx, &unpack, payload, &in) != CS_OK)
    return false;
  int64_t type = cs_take_number (&in);
  if (in.bad || type < FRAME_HELLO || type >= FRAME_TYPE_COUNT
      || (!c->ready && type > FRAME_AUTH))
    good = false;
  else if (type == FRAME_HELLO)
    good = take_hello (p, c, &in);
  else if (type == FRAME_AUTH)
    good = take_auth (p, c, &in);
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
      cs_count (CS_C_FRAMES_REFUSED, 1);
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
                      result_new (sent ? CS_RUN_MAYBE : CS_RUN_NOT,
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
      set_socket_options (fd);
      conn_t *c = conn_new (p, fd, false);
      watch_socket (p, c);
      send_hello (p, c);
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
  set_socket_options (fd);
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
  watch_socket (p, c);
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
  send_hello (p, c);
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
  bool queued = c && !is_cut (p, c) && queue_frame (p, c, payload, call_id);
  if (queued && c->far)
    cs_count (call_id ? CS_C_CALL_BYTES_OUT : CS_C_REGION_BYTES_OUT,
              payload.len + 4);
  pthread_mutex_unlock (&p->lock);
  return queued;
}

bool
peers_reply (peers_t *p, const char *name, cs_str_t payload)
{
  pthread_mutex_lock (&p->lock);
  conn_t *c = peers_find (p, name);
  bool queued = c && !is_cut (p, c) && queue_frame (p, c, payload, 0);
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
    flush_out (p, c);
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
