/* One connection between two nodes: its socket and its output buffer.  */
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
  int enabled = 1;
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
  fcntl (fd, F_SETFL, fcntl (fd, F_GETFL, 0) | O_NONBLOCK);
}

void
conn_update_epoll (peers_t *peers, conn_t *conn)
{
  struct epoll_event event
      = { .events = EPOLLIN | (conn->wants_write ? EPOLLOUT : 0),
          .data.ptr = conn };
  epoll_ctl (peers->epoll_fd, conn->in_epoll ? EPOLL_CTL_MOD : EPOLL_CTL_ADD,
             conn->fd, &event);
  conn->in_epoll = true;
}

conn_t *
conn_new (peers_t *peers, int fd, bool outgoing)
{
  conn_t *conn = g_new0 (conn_t, 1);
  conn->fd = fd;
  conn->outgoing = outgoing;
  conn->in_buffer = g_byte_array_new ();
  conn->out_buffer = g_byte_array_new ();
  conn->sent_calls = g_array_new (FALSE, FALSE, sizeof (sent_call_t));
  conn->created_at = conn->last_used_at = cs_now (peers->ctx);
  randombytes_buf (conn->nonce, sizeof conn->nonce);
  conn->next = peers->conns;
  peers->conns = conn;
  return conn;
}

void
conn_free (conn_t *conn)
{
  close (conn->fd);
  g_byte_array_unref (conn->in_buffer);
  g_byte_array_unref (conn->out_buffer);
  if (conn->held_frames)
    g_byte_array_unref (conn->held_frames);
  g_array_unref (conn->sent_calls);
  g_free (conn);
}

void
conn_flush (peers_t *peers, conn_t *conn)
{
  bool wanted_write = conn->wants_write;
  while (conn->out_buffer->len > conn->out_offset && !conn->connecting)
    {
      ssize_t sent
          = send (conn->fd, conn->out_buffer->data + conn->out_offset,
                  conn->out_buffer->len - conn->out_offset, MSG_NOSIGNAL);
      if (sent < 0 && errno == EINTR)
        continue;
      if (sent < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
        break;
      if (sent <= 0)
        {
          conn->broken = true;
          break;
        }
      conn->out_offset += (guint)sent;
      conn->bytes_written += (uint64_t)sent;
    }
  if (conn->out_offset == conn->out_buffer->len)
    {
      conn->out_offset = 0;
      g_byte_array_set_size (conn->out_buffer, 0);
    }
  conn->wants_write = conn->connecting || conn->out_buffer->len > 0;
  if (conn->wants_write != wanted_write || !conn->in_epoll)
    conn_update_epoll (peers, conn);
  if (conn->broken)
    shutdown (conn->fd, SHUT_RDWR);
}

/* Append PAYLOAD with its length to BUFFER, one of CONN's output buffers.  */
static void
append_frame (conn_t *conn, GByteArray *buffer, cs_str_t payload)
{
  uint32_t length = htonl ((uint32_t)payload.len);
  g_byte_array_append (buffer, (const guint8 *)&length, sizeof length);
  g_byte_array_append (buffer, (const guint8 *)payload.data,
                       (guint)payload.len);
  conn->bytes_queued += sizeof length + payload.len;
}

void
conn_send_handshake_frame (peers_t *peers, conn_t *conn, const cs_pack_t *pack)
{
  append_frame (conn, conn->out_buffer, cs_pack_payload (pack));
  conn_flush (peers, conn);
}

bool
conn_queue_frame (peers_t *peers, conn_t *conn, cs_str_t payload,
                  uint64_t call_id)
{
  GByteArray *buffer
      = conn->authenticated ? conn->out_buffer : conn->held_frames;
  if (!buffer)
    buffer = conn->held_frames = g_byte_array_new ();
  if (buffer->len - (conn->authenticated ? conn->out_offset : 0) + payload.len
      > OUT_BUFFER_MAX_BYTES)
    return false;
  sent_call_t call = { .id = call_id, .stream_offset = conn->bytes_queued };
  append_frame (conn, buffer, payload);
  if (conn->authenticated)
    call.frame_bytes = (guint)(conn->bytes_queued - call.stream_offset);
  if (call_id)
    g_array_append_val (conn->sent_calls, call);
  conn->last_used_at = cs_now (peers->ctx);
  if (conn->authenticated)
    conn_flush (peers, conn);
  return true;
}

/* Remove the frame of CALL, of which no byte was written, from the output
   buffer: the memory for it is claimed no longer, and a node that takes
   nothing for a while would run it for nobody.  */
static void
withdraw_frame (conn_t *conn, const sent_call_t *call)
{
  guint position
      = conn->out_offset + (guint)(call->stream_offset - conn->bytes_written);
  g_byte_array_remove_range (conn->out_buffer, position, call->frame_bytes);
  conn->bytes_queued -= call->frame_bytes;
  for (guint i = 0; i < conn->sent_calls->len; i++)
    {
      sent_call_t *later = &g_array_index (conn->sent_calls, sent_call_t, i);
      if (later->stream_offset > call->stream_offset)
        later->stream_offset -= call->frame_bytes;
    }
}

void
conn_forget_call (conn_t *conn, guint index)
{
  sent_call_t call = g_array_index (conn->sent_calls, sent_call_t, index);
  g_array_remove_index_fast (conn->sent_calls, index);
  if (call.frame_bytes && call.stream_offset >= conn->bytes_written)
    withdraw_frame (conn, &call);
}
