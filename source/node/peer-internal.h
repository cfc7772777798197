/* The state of the connections to other nodes, and the functions that the
   files of the peer thread share.  */
#ifndef CARDAMOM_PEER_INTERNAL_H
#define CARDAMOM_PEER_INTERNAL_H

#include "node.h"

#define CLUSTER_KEY_BYTES 32 /* Of the hash of a cluster key.  */
#define NONCE_BYTES 24
#define MAC_BYTES 32
/* Largest frame from a node that is not authenticated.  */
#define HANDSHAKE_FRAME_MAX_BYTES 1024
/* Added to the setting "body-max" for the largest frame: room for all but the
   body of a call.  */
#define FRAME_OVERHEAD_MAX_BYTES (4u << 20)
/* Bytes of the frames queued on one connection.  */
#define OUT_BUFFER_MAX_BYTES ((guint)64 << 20)
/* From the creation of a connection to its authentication.  */
#define HANDSHAKE_TIMEOUT (3 * CS_SEC)
/* From the first bytes of a frame to its last.  */
#define PARTIAL_FRAME_TIMEOUT (10 * CS_SEC)
/* Without traffic and without a call that waits for its result.  */
#define IDLE_TIMEOUT (60 * CS_SEC)
/* Between checks of these timeouts.  */
#define OVERDUE_CHECK_INTERVAL (500 * CS_MSEC)

/* A call whose frame was queued on a connection, and which waits for its
   result.  */
typedef struct
{
  uint64_t id;
  /* Value of BYTES_QUEUED of the connection when the frame was queued.  */
  uint64_t stream_offset;
  /* Of the frame with its length; 0 if it was queued before authentication,
     where STREAM_OFFSET is not its place among the bytes sent.  */
  guint frame_bytes;
} sent_call_t;

typedef struct conn conn_t;

/* A TCP connection to another node.  */
struct conn
{
  int fd;
  /* OUTGOING: this node opened it.  CONNECTING: connect has not finished.
     IN_EPOLL: registered with epoll.  WANTS_WRITE: waits for the socket to
     become writable.  HELLO_RECEIVED, AUTHENTICATED: the state of the
     handshake.  BROKEN: to be closed by the peer thread.  IN_OTHER_REGION: the
     peer is in another region; set with AUTHENTICATED.  */
  bool outgoing, connecting, in_epoll, wants_write, hello_received,
      authenticated, broken, in_other_region;
  /* Of the peer, from its FRAME_HELLO; NAME is already set on an outgoing
     connection if it is known.  */
  char name[NODE_NAME_SIZE], dc[NODE_NAME_SIZE], region[NODE_NAME_SIZE];
  peer_address_t address; /* Of an outgoing connection.  */
  unsigned char nonce[NONCE_BYTES], peer_nonce[NONCE_BYTES];
  /* IN_BUFFER begins with the first frame not yet handled.  HELD_FRAMES are
     sent after authentication; NULL if there are none.  */
  GByteArray *in_buffer, *out_buffer, *held_frames;
  guint out_offset; /* Bytes of OUT_BUFFER already written.  */
  uint64_t bytes_queued, bytes_written; /* Since the connection was created. */
  GArray *sent_calls;                   /* sent_call_t.  */
  /* PARTIAL_FRAME_SINCE: time since which IN_BUFFER holds an incomplete frame;
     0: it is empty.  */
  cs_usec_t created_at, last_used_at, partial_frame_since;
  conn_t *next;
};

/* A received frame that is queued for delivery: frames are delivered without
   the lock, and frames from other regions after the delay that tests set.  */
typedef struct
{
  cs_usec_t deliver_at; /* Time of delivery.  */
  int64_t type;         /* frame_type_t.  */
  char from[NODE_NAME_SIZE];
  GString *payload; /* The whole frame without its length.  */
} deferred_frame_t;

/* All connections of this node to others.  */
struct peers
{
  node_t *node;
  cs_ctx_t *ctx;
  pthread_t thread;
  /* Protects CONNS, the connections in it, and BLOCKED_DCS.  The other fields
     are constant or belong to the peer thread.  */
  pthread_mutex_t lock;
  /* WAKE_FD is an eventfd that interrupts the wait of the peer thread.  */
  int listen_fd, epoll_fd, wake_fd;
  atomic_bool stopping;
  conn_t *conns;           /* List of all connections, owned.  */
  GQueue deferred_frames;  /* deferred_frame_t *, by time of delivery.  */
  GHashTable *blocked_dcs; /* Set of names; see peers_set_dc_blocked.  */
  /* Delay of frames from other regions, for tests; time of the next check of
     the timeouts.  */
  cs_usec_t other_region_delay, next_overdue_check;
  uint32_t frame_max_bytes; /* Largest frame from an authenticated node.  */
  /* Hashes of the cluster key and, during a rotation, of the old one.  */
  unsigned char keys[2][CLUSTER_KEY_BYTES];
  size_t key_count;
};

/* conn.c: called with the lock held.  */

/* Make FD non-blocking and disable Nagle's algorithm.  */
void conn_set_options (int fd);

/* A connection on FD, which it takes over, added to the list of PEERS.  */
conn_t *conn_new (peers_t *peers, int fd, bool outgoing);
/* Close and free CONN, which has been removed from the list.  */
void conn_free (conn_t *conn);

/* Register with epoll the events that CONN waits for.  */
void conn_update_epoll (peers_t *peers, conn_t *conn);

/* Write as much of the output buffer as the socket takes without blocking.  On
   an error, mark CONN as broken.  */
void conn_flush (peers_t *peers, conn_t *conn);

/* Queue a frame of the handshake, which is sent before authentication.  */
void conn_send_handshake_frame (peers_t *peers, conn_t *conn,
                                const cs_pack_t *pack);

/* Queue the frame PAYLOAD, which is sent once the peer is authenticated.  If
   CALL_ID is not 0, it is the call that then waits for a result.  FALSE when
   the output buffer is full.  */
bool conn_queue_frame (peers_t *peers, conn_t *conn, cs_str_t payload,
                       uint64_t call_id);

/* Call number INDEX of CONN no longer waits for a result.  Its frame is
   removed from the output buffer if none of it was written.  */
void conn_forget_call (conn_t *conn, guint index);

/* handshake.c: called with the lock held.  */

void handshake_send_hello (peers_t *peers, conn_t *conn);

/* Handle FRAME_HELLO or FRAME_AUTH; CURSOR is behind its type.  FALSE when the
   frame is invalid; the caller then closes the connection.  */
bool handshake_handle_hello (peers_t *peers, conn_t *conn,
                             cs_unpack_cursor_t *cursor);
bool handshake_handle_auth (peers_t *peers, conn_t *conn,
                            cs_unpack_cursor_t *cursor);

/* peer.c: a connection to the node NAME, preferably an authenticated one; NULL
   if there is none.  The lock is held.  */
conn_t *peers_find_connection (peers_t *peers, const char *name);

/* Queue the frame PAYLOAD, received on CONN, for delivery.  The lock is held;
   PAYLOAD is copied.  */
void peers_defer_frame (peers_t *peers, const conn_t *conn, int64_t type,
                        cs_str_t payload);
/* Free a deferred_frame_t, as a GDestroyNotify.  */
void deferred_frame_free (void *frame);

/* peer.c: call ID no longer waits for a result.  */
void peers_forget_call (peers_t *peers, uint64_t id);

/* Handle FRAME_CALL, FRAME_RESULT and FRAME_CANCEL, in the peer thread without
   the lock.  */
void calls_handle_call (node_t *node, const char *from, cs_str_t payload);
void calls_handle_result (node_t *node, cs_str_t payload);
void calls_handle_cancel (node_t *node, const char *from, cs_str_t payload);

#endif
