/* What the parts of the peer thread share.  */
#ifndef CARDAMOM_PEER_INTERNAL_H
#define CARDAMOM_PEER_INTERNAL_H

#include "node.h"

#define KEY_BYTES 32
#define NONCE_BYTES 24
#define PROOF_BYTES 32
#define HELLO_MAX 1024            /* Bytes before authentication.  */
#define FRAME_BASE_MAX (4u << 20) /* Bytes beyond a call's body.  */
#define OUT_MAX ((guint)64 << 20) /* Bytes queued for one node.  */
#define HANDSHAKE_MAX (3 * CS_SEC)
#define FRAME_TIME_MAX (10 * CS_SEC) /* For the rest of a frame.  */
#define IDLE_MAX (60 * CS_SEC)
#define SWEEP_INTERVAL (500 * CS_MSEC)

/* A call whose result is due over a connection.  */
typedef struct
{
  uint64_t id;
  uint64_t starts_at; /* Its first byte among all bytes queued.  */
} sent_call_t;

typedef struct conn conn_t;

struct conn
{
  int fd;
  bool outgoing, connecting, watched, writing, greeted, ready, broken, far;
  char name[NODE_NAME_MAX], dc[NODE_NAME_MAX], region[NODE_NAME_MAX];
  peer_address_t to; /* Of an outgoing connection.  */
  unsigned char nonce[NONCE_BYTES], other_nonce[NONCE_BYTES];
  GByteArray *in, *out, *held;
  guint out_at;             /* Bytes of OUT already written.  */
  uint64_t queued, written; /* Bytes ever.  */
  GArray *calls;            /* sent_call_t.  */
  cs_usec_t made_at, used_at, partial_since;
  conn_t *next;
};

/* A received frame that waits for delivery: at once outside the lock, or
   after the delay that tests ask for.  */
typedef struct
{
  cs_usec_t due;
  int64_t type;
  char from[NODE_NAME_MAX];
  GString *payload;
} deferred_t;

struct peers
{
  node_t *node;
  cs_ctx_t *ctx;
  pthread_t thread;
  pthread_mutex_t lock; /* Of everything below.  */
  int listener, epoll, wake;
  atomic_bool stopping;
  conn_t *conns;
  GQueue deferred;
  GHashTable *cuts;
  cs_usec_t delay, next_sweep;
  uint32_t frame_max;
  unsigned char keys[2][KEY_BYTES];
  size_t key_count;
};

/* conn.c */

void conn_set_options (int fd);
conn_t *conn_new (peers_t *peers, int fd, bool outgoing);
void conn_free (conn_t *conn);

/* Tell epoll what CONN waits for.  */
void conn_watch (peers_t *peers, conn_t *conn);

/* Write as much as the socket takes; sets BROKEN on failure.  */
void conn_flush (peers_t *peers, conn_t *conn);

/* Queue a frame of the handshake, ahead of authentication.  */
void conn_send_now (peers_t *peers, conn_t *conn, const cs_pack_t *pack);

/* Queue a frame; it waits until the other side is authenticated.  FALSE when
   too much waits already.  CALL_ID 0: no call.  */
bool conn_queue (peers_t *peers, conn_t *conn, cs_str_t payload,
                 uint64_t call_id);

/* handshake.c: FALSE breaks the connection.  */

void handshake_send_hello (peers_t *peers, conn_t *conn);
bool handshake_take_hello (peers_t *peers, conn_t *conn,
                           cs_unpack_cursor_t *in);
bool handshake_take_auth (peers_t *peers, conn_t *conn,
                          cs_unpack_cursor_t *in);

/* The connection to NAME, an authenticated one if there is; or NULL.  */
conn_t *peers_find (peers_t *peers, const char *name);

/* Queue a frame for delivery.  */
void peers_defer (peers_t *peers, const conn_t *conn, int64_t type,
                  cs_str_t payload);
void peers_deferred_free (void *deferred);

/* The result of call ID is no longer due.  */
void peers_forget_call (peers_t *peers, uint64_t id);

/* calls.c: frames of the call path, from the peer thread.  */
void calls_take_call (node_t *node, const char *from, cs_str_t payload);
void calls_take_result (node_t *node, cs_str_t payload);
void calls_take_cancel (node_t *node, const char *from, cs_str_t payload);

#endif
