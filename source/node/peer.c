/* Connections between nodes.  A frame is a msgpack array, preceded by its
   length as a 32-bit number in network byte order.  The peer thread accepts
   connections, reads frames with epoll and closes connections; any thread may
   open one and queue frames.  Writing is in conn.c, authentication in
   handshake.c.  */
#include <arpa/inet.h>
#include <errno.h>
#include <sodium.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#include "node.h"
#include "offers.h"
#include "peer-internal.h"

#define EPOLL_EVENTS_MAX 64

/* Reading.  */

static void
answer_ping (peers_t *peers, conn_t *conn, cs_str_t payload)
{
  cs_unpack_t unpack;
  cs_unpack_cursor_t cursor;
  cs_pack_t pack;
  if (cs_unpack_init (peers->ctx, &unpack, payload, &cursor) != CS_OK)
    return;
  cs_unpack_int64 (&cursor);
  uint64_t seq = cs_unpack_uint64 (&cursor);
  cs_str_t requester = cs_unpack_str (&cursor);
  cs_pack_init (&pack);
  cs_pack_array (&pack, 3);
  cs_pack_int64 (&pack, FRAME_ACK);
  cs_pack_uint64 (&pack, seq);
  cs_pack_str (&pack, requester);
  cs_str_t answer = cs_pack_payload (&pack);
  cs_counter_add (CS_C_CONTROL_BYTES_OUT, answer.len + FRAME_LENGTH_BYTES);
  conn_queue_frame (peers, conn, answer, 0);
  cs_pack_clear (&pack);
  cs_unpack_clear (&unpack);
}

/* Pass a frame of an authenticated node to the thread that handles its type.
   The lock is not held.  */
static void
dispatch (peers_t *peers, const char *from, int64_t type, cs_str_t payload)
{
  switch (type)
    {
    case FRAME_CALL:
      calls_handle_call (peers->node, from, payload);
      break;
    case FRAME_RESULT:
      calls_handle_result (peers->node, payload);
      break;
    case FRAME_GO:
      offers_handle_go (peers->node, from, payload);
      break;
    case FRAME_CANCEL:
      calls_handle_cancel (peers->node, from, payload);
      break;
    default:
      cs_counter_add (CS_C_CONTROL_BYTES_IN, payload.len + FRAME_LENGTH_BYTES);
      control_post_frame (peers->node->control, from, payload);
    }
}

static bool
is_blocked (const peers_t *peers, const conn_t *conn)
{
  return peers->blocked_dcs
         && g_hash_table_contains (peers->blocked_dcs, conn->dc);
}

/* Handle one whole frame, or queue it for delivery without the lock, which is
   held here.  FALSE when it is invalid; the connection is then closed.  */
static bool
handle_frame (peers_t *peers, conn_t *conn, cs_str_t payload)
{
  cs_unpack_t unpack;
  cs_unpack_cursor_t cursor;
  bool ok = true;
  if (cs_unpack_init (peers->ctx, &unpack, payload, &cursor) != CS_OK)
    return false;
  int64_t type = cs_unpack_int64 (&cursor);
  if (cursor.failed || type < FRAME_HELLO || type >= FRAME_TYPE_COUNT
      || (!conn->authenticated && type > FRAME_AUTH))
    ok = false;
  else if (type == FRAME_HELLO)
    ok = handshake_handle_hello (peers, conn, &cursor);
  else if (type == FRAME_AUTH)
    ok = handshake_handle_auth (peers, conn, &cursor);
  else if (is_blocked (peers, conn))
    ok = true;
  /* With a test delay, a ping is deferred like any other frame, so that the
     delay also applies to probes.  */
  else if (type == FRAME_PING && !peers->other_region_delay)
    answer_ping (peers, conn, payload);
  else
    peers_defer_frame (peers, conn, type, payload);
  cs_unpack_clear (&unpack);
  return ok;
}

/* The length of the frame that begins at OFFSET of the input buffer.  */
static uint32_t
frame_length (const conn_t *conn, guint offset)
{
  uint32_t length;
  memcpy (&length, conn->in_buffer->data + offset, sizeof length);
  return ntohl (length);
}

/* Handle all whole frames in the input buffer and remove them.  */
static bool
handle_frames (peers_t *peers, conn_t *conn)
{
  guint offset = 0;
  bool ok = true;
  while (ok && conn->in_buffer->len - offset >= FRAME_LENGTH_BYTES)
    {
      uint32_t length = frame_length (conn, offset);
      uint32_t length_max = conn->authenticated ? peers->frame_max_bytes
                                                : HANDSHAKE_FRAME_MAX_BYTES;
      if (length == 0 || length > length_max)
        ok = false;
      else if (conn->in_buffer->len - offset - FRAME_LENGTH_BYTES < length)
        break;
      else
        {
          cs_str_t payload
              = { (char *)conn->in_buffer->data + offset + FRAME_LENGTH_BYTES,
                  length };
          ok = handle_frame (peers, conn, payload);
          offset += FRAME_LENGTH_BYTES + length;
        }
    }
  if (!ok)
    {
      cs_counter_add (CS_C_FRAMES_REFUSED, 1);
      return false;
    }
  if (offset)
    g_byte_array_remove_range (conn->in_buffer, 0, offset);
  if (offset)
    conn->partial_frame_since = conn->in_buffer->len ? cs_now (peers->ctx) : 0;
  else if (conn->in_buffer->len && !conn->partial_frame_since)
    conn->partial_frame_since = cs_now (peers->ctx);
  return true;
}

/* Read what CONN's socket holds, and handle the frames.  FALSE when the peer
   closed the connection, or on an error or an invalid frame.  */
static bool
read_socket (peers_t *peers, conn_t *conn)
{
  char buffer[65536];
  for (;;)
    {
      ssize_t length = recv (conn->fd, buffer, sizeof buffer, 0);
      if (length < 0 && errno == EINTR)
        continue;
      if (length < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
        return true;
      if (length <= 0)
        return false;
      conn->last_used_at = cs_now (peers->ctx);
      g_byte_array_append (conn->in_buffer, (guint8 *)buffer, (guint)length);
      if (!handle_frames (peers, conn))
        return false;
      if ((size_t)length < sizeof buffer)
        return true;
    }
}

/* Deliver the frames that handle_frame has queued and that are due.  The
   lock is not held.  */
static void
deliver_due_frames (peers_t *peers)
{
  cs_usec_t now = cs_now (peers->ctx);
  for (;;)
    {
      deferred_frame_t *frame = g_queue_peek_head (&peers->deferred_frames);
      if (!frame || frame->deliver_at > now)
        return;
      g_queue_pop_head (&peers->deferred_frames);
      if (frame->type == FRAME_PING)
        {
          pthread_mutex_lock (&peers->lock);
          conn_t *conn = peers_find_connection (peers, frame->from);
          if (conn)
            answer_ping (peers, conn, cs_str_of_gstring (frame->payload));
          pthread_mutex_unlock (&peers->lock);
        }
      else
        dispatch (peers, frame->from, frame->type,
                  cs_str_of_gstring (frame->payload));
      deferred_frame_free (frame);
    }
}

/* Opening and closing.  */

static void
unlink_connection (peers_t *peers, conn_t *conn)
{
  conn_t **link = &peers->conns;
  while (*link != conn)
    link = &(*link)->next;
  *link = conn->next;
}

/* Close CONN and complete the calls that wait for a result on it: a request of
   whose frame no byte was written has certainly not run.  The lock is released
   meanwhile and held again on return.  */
static void
close_connection (peers_t *peers, conn_t *conn)
{
  GArray *calls = g_array_ref (conn->sent_calls);
  uint64_t written = conn->authenticated ? conn->bytes_written : 0;
  unlink_connection (peers, conn);
  epoll_ctl (peers->epoll_fd, EPOLL_CTL_DEL, conn->fd, NULL);
  conn_free (conn);
  pthread_mutex_unlock (&peers->lock);
  for (guint i = 0; i < calls->len; i++)
    {
      sent_call_t *call = &g_array_index (calls, sent_call_t, i);
      bool sent = call->stream_offset < written;
      calls_complete (
          peers->node->calls, call->id,
          call_result_new (sent ? CS_RUN_UNKNOWN : CS_RUN_NOT_STARTED,
                           sent ? "the connection to the upstream's "
                                  "node broke"
                                : "the upstream's node cannot be "
                                  "reached"));
    }
  g_array_unref (calls);
  pthread_mutex_lock (&peers->lock);
}

static void
accept_connections (peers_t *peers)
{
  int fd;
  while ((fd = accept4 (peers->listen_fd, NULL, NULL, SOCK_CLOEXEC)) >= 0)
    {
      conn_set_options (fd);
      conn_t *conn = conn_new (peers, fd, false);
      conn_update_epoll (peers, conn);
      handshake_send_hello (peers, conn);
    }
}

/* Begin to connect to ADDRESS, and wake the peer thread.  NULL on failure.  */
static conn_t *
open_connection (peers_t *peers, const peer_address_t *address)
{
  struct sockaddr_in socket_address
      = { .sin_family = AF_INET, .sin_port = htons ((uint16_t)address->port) };
  if (inet_pton (AF_INET, address->host, &socket_address.sin_addr) != 1)
    return NULL;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (fd < 0)
    return NULL;
  conn_set_options (fd);
  int status = connect (fd, (struct sockaddr *)&socket_address,
                        sizeof socket_address);
  if (status < 0 && errno != EINPROGRESS)
    {
      close (fd);
      return NULL;
    }
  conn_t *conn = conn_new (peers, fd, true);
  conn->connecting = true;
  conn->wants_write = true;
  conn->address = *address;
  g_strlcpy (conn->name, address->name, sizeof conn->name);
  conn_update_epoll (peers, conn);
  uint64_t one = 1;
  if (write (peers->wake_fd, &one, sizeof one) < 0)
    conn->broken = true;
  return conn;
}

static bool
finish_connect (peers_t *peers, conn_t *conn)
{
  int error = 0;
  socklen_t length = sizeof error;
  getsockopt (conn->fd, SOL_SOCKET, SO_ERROR, &error, &length);
  if (error)
    return false;
  conn->connecting = false;
  handshake_send_hello (peers, conn);
  return true;
}

conn_t *
peers_find_connection (peers_t *peers, const char *name)
{
  conn_t *best = NULL;
  for (conn_t *conn = peers->conns; conn; conn = conn->next)
    if (!conn->broken && strcmp (conn->name, name) == 0
        && (!best || (conn->authenticated && !best->authenticated)))
      best = conn;
  return best;
}

static conn_t *
find_by_address (peers_t *peers, const peer_address_t *address)
{
  for (conn_t *conn = peers->conns; conn; conn = conn->next)
    if (!conn->broken && conn->outgoing && conn->address.port == address->port
        && strcmp (conn->address.host, address->host) == 0)
      return conn;
  return NULL;
}

bool
peers_send (peers_t *peers, const peer_address_t *address, cs_str_t payload,
            uint64_t call_id)
{
  pthread_mutex_lock (&peers->lock);
  conn_t *conn
      = address->name[0] ? peers_find_connection (peers, address->name) : NULL;
  if (!conn)
    conn = find_by_address (peers, address);
  if (!conn)
    conn = open_connection (peers, address);
  bool queued = conn && !is_blocked (peers, conn)
                && conn_queue_frame (peers, conn, payload, call_id);
  if (queued && conn->in_other_region)
    cs_counter_add (call_id ? CS_C_CALL_BYTES_OUT : CS_C_REGION_BYTES_OUT,
                    payload.len + FRAME_LENGTH_BYTES);
  pthread_mutex_unlock (&peers->lock);
  return queued;
}

bool
peers_reply (peers_t *peers, const char *name, cs_str_t payload)
{
  pthread_mutex_lock (&peers->lock);
  conn_t *conn = peers_find_connection (peers, name);
  bool queued = conn && !is_blocked (peers, conn)
                && conn_queue_frame (peers, conn, payload, 0);
  pthread_mutex_unlock (&peers->lock);
  return queued;
}

void
peers_forget_call (peers_t *peers, uint64_t id)
{
  pthread_mutex_lock (&peers->lock);
  for (conn_t *conn = peers->conns; conn; conn = conn->next)
    for (guint i = 0; i < conn->sent_calls->len; i++)
      if (g_array_index (conn->sent_calls, sent_call_t, i).id == id)
        {
          conn_forget_call (conn, i);
          pthread_mutex_unlock (&peers->lock);
          return;
        }
  pthread_mutex_unlock (&peers->lock);
}

void
peers_set_dc_blocked (peers_t *peers, const char *dc, bool blocked)
{
  pthread_mutex_lock (&peers->lock);
  if (blocked)
    g_hash_table_add (peers->blocked_dcs, g_strdup (dc));
  else
    g_hash_table_remove (peers->blocked_dcs, dc);
  pthread_mutex_unlock (&peers->lock);
}

/* The peer thread.  */

/* Whether one of the timeouts of CONN has passed.  */
static bool
is_overdue (const peers_t *peers, const conn_t *conn, cs_usec_t now)
{
  if (!conn->authenticated && now - conn->created_at > HANDSHAKE_TIMEOUT)
    return true;
  if (conn->partial_frame_since
      && now - conn->partial_frame_since > PARTIAL_FRAME_TIMEOUT)
    return true;
  (void)peers;
  return conn->authenticated && conn->sent_calls->len == 0
         && now - conn->last_used_at > IDLE_TIMEOUT;
}

/* Close connections that are broken or overdue.  close_connection releases the
   lock, so the list is read from its start again after it.  */
static void
close_overdue_connections (peers_t *peers)
{
  cs_usec_t now = cs_now (peers->ctx);
  conn_t *conn = peers->conns;
  while (conn)
    {
      if (conn->broken || is_overdue (peers, conn, now))
        {
          close_connection (peers, conn);
          conn = peers->conns;
        }
      else
        conn = conn->next;
    }
}

static void
handle_event (peers_t *peers, const struct epoll_event *event)
{
  conn_t *conn = event->data.ptr;
  bool ok = true;
  if (event->events & (EPOLLOUT | EPOLLERR | EPOLLHUP) && conn->connecting)
    ok = finish_connect (peers, conn);
  if (ok && event->events & EPOLLIN)
    ok = read_socket (peers, conn);
  if (ok && event->events & (EPOLLERR | EPOLLHUP))
    ok = false;
  if (ok && event->events & EPOLLOUT)
    conn_flush (peers, conn);
  if (!ok || conn->broken)
    close_connection (peers, conn);
}

/* The time until the next delivery of a frame or check of the timeouts,
   rounded up.  */
static int
epoll_timeout_ms (peers_t *peers)
{
  const deferred_frame_t *frame = g_queue_peek_head (&peers->deferred_frames);
  cs_usec_t wake_at = peers->next_overdue_check;
  if (frame)
    wake_at = MIN (wake_at, frame->deliver_at);
  cs_usec_t remaining = wake_at - cs_now (peers->ctx);
  return remaining <= 0 ? 0 : (int)((remaining + CS_MSEC - 1) / CS_MSEC);
}

static void *
run_peers (void *arg)
{
  peers_t *peers = arg;
  struct epoll_event events[EPOLL_EVENTS_MAX];
  while (!atomic_load (&peers->stopping))
    {
      int event_count = epoll_wait (peers->epoll_fd, events, EPOLL_EVENTS_MAX,
                                    epoll_timeout_ms (peers));
      pthread_mutex_lock (&peers->lock);
      for (int i = 0; i < event_count; i++)
        {
          uint64_t wake_count;
          if (events[i].data.ptr == &peers->listen_fd)
            accept_connections (peers);
          else if (events[i].data.ptr == &peers->wake_fd)
            (void)!read (peers->wake_fd, &wake_count, sizeof wake_count);
          else
            handle_event (peers, &events[i]);
        }
      if (cs_now (peers->ctx) >= peers->next_overdue_check)
        {
          close_overdue_connections (peers);
          peers->next_overdue_check
              = cs_now (peers->ctx) + OVERDUE_CHECK_INTERVAL;
        }
      pthread_mutex_unlock (&peers->lock);
      deliver_due_frames (peers);
    }
  return NULL;
}

static bool
listen_on (peers_t *peers, const node_settings_t *settings)
{
  struct sockaddr_in socket_address
      = { .sin_family = AF_INET,
          .sin_port = htons ((uint16_t)settings->peer_port) };
  int one = 1;
  peers->listen_fd
      = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  setsockopt (peers->listen_fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  return inet_pton (AF_INET, settings->host, &socket_address.sin_addr) == 1
         && bind (peers->listen_fd, (struct sockaddr *)&socket_address,
                  sizeof socket_address)
                == 0
         && listen (peers->listen_fd, SOMAXCONN) == 0;
}

/* Hash the cluster key TEXT to a key for the handshake.  */
static void
derive_key (const char *text, unsigned char key[CLUSTER_KEY_BYTES])
{
  crypto_generichash (key, CLUSTER_KEY_BYTES, (const unsigned char *)text,
                      strlen (text), NULL, 0);
}

/* Wait for FD to become readable; its events carry TAG.  */
static void
add_to_epoll (peers_t *peers, int fd, void *tag)
{
  struct epoll_event event = { .events = EPOLLIN, .data.ptr = tag };
  epoll_ctl (peers->epoll_fd, EPOLL_CTL_ADD, fd, &event);
}

peers_t *
peers_start (node_t *node)
{
  peers_t *peers = g_new0 (peers_t, 1);
  const node_settings_t *settings = &node->settings;
  peers->node = node;
  peers->ctx = cs_ctx_clone (node->ctx);
  if (!listen_on (peers, settings))
    {
      cs_fail (node->ctx, CS_UNAVAILABLE,
               "cannot listen on %s:%lld: %s; choose another --peer-port",
               settings->host, (long long)settings->peer_port,
               strerror (errno));
      cs_ctx_drop (peers->ctx);
      g_free (peers);
      return NULL;
    }
  pthread_mutex_init (&peers->lock, NULL);
  g_queue_init (&peers->deferred_frames);
  peers->blocked_dcs
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  peers->other_region_delay = settings->test_region_delay_ms * CS_MSEC;
  peers->frame_max_bytes
      = FRAME_OVERHEAD_MAX_BYTES + (uint32_t)settings->body_max;
  derive_key (settings->cluster_key, peers->keys[peers->key_count++]);
  if (*settings->cluster_key_old)
    derive_key (settings->cluster_key_old, peers->keys[peers->key_count++]);
  peers->epoll_fd = epoll_create1 (EPOLL_CLOEXEC);
  peers->wake_fd = eventfd (0, EFD_CLOEXEC | EFD_NONBLOCK);
  add_to_epoll (peers, peers->listen_fd, &peers->listen_fd);
  add_to_epoll (peers, peers->wake_fd, &peers->wake_fd);
  peers->thread = node_thread_create (run_peers, peers);
  return peers;
}

void
peers_stop (peers_t *peers)
{
  uint64_t one = 1;
  atomic_store (&peers->stopping, true);
  (void)!write (peers->wake_fd, &one, sizeof one);
  pthread_join (peers->thread, NULL);
  pthread_mutex_lock (&peers->lock);
  while (peers->conns)
    close_connection (peers, peers->conns);
  pthread_mutex_unlock (&peers->lock);
}

void
peers_free (peers_t *peers)
{
  g_queue_clear_full (&peers->deferred_frames, deferred_frame_free);
  g_hash_table_unref (peers->blocked_dcs);
  close (peers->listen_fd);
  close (peers->wake_fd);
  close (peers->epoll_fd);
  sodium_memzero (peers->keys, sizeof peers->keys);
  cs_ctx_drop (peers->ctx);
  pthread_mutex_destroy (&peers->lock);
  g_free (peers);
}
