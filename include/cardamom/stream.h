/* A TCP connection between two nodes that carries msgpack payloads, each with
   a prefix of its length as a big-endian 32-bit number.  Payloads sent during
   one iteration of the event loop are joined into one write, unless they are
   so many bytes that they are written before its end.  */
#ifndef CARDAMOM_STREAM_H
#define CARDAMOM_STREAM_H

#include "cardamom/context.h"
#include "cardamom/memory-budget.h"
#include "cardamom/net.h"

/* Largest payload in bytes: room for a body of 64 MiB, the largest by default,
   and its head.  A stream ends when it receives a larger one.  The configured
   maximum of a body is not checked against this.  */
#define CS_STREAM_PAYLOAD_MAX ((size_t)65 << 20)

typedef struct cs_stream cs_stream_t;

typedef struct
{
  /* The connection that this side opened is established.  */
  void (*connected) (void *user, cs_stream_t *stream);
  /* A payload was received; it is valid during the call.  */
  void (*received) (void *user, cs_stream_t *stream, cs_str_t payload);
  /* A payload of LENGTH bytes, more than CS_SMALL_BODY_MAX, begins with
     BEGINNING.  Returns whether it is received; if not, its bytes are dropped.
     NULL: all are received.  */
  bool (*admit) (void *user, cs_stream_t *stream, size_t length,
                 cs_str_t beginning);
  /* STREAM has ended, for the reason WHY, and is freed after the call.  Not
     called for cs_stream_drop.  */
  void (*closed) (void *user, cs_stream_t *stream, const char *why);
} cs_stream_handler_t;

/* Connect to ADDRESS.  The connection fails when sent bytes stay
   unacknowledged for UNACKED_TIMEOUT.  Returns NULL when connecting fails at
   once.  */
cs_stream_t *cs_stream_connect (uv_loop_t *loop, cs_clock_t *clock,
                                const struct sockaddr_in *address,
                                cs_usec_t unacked_timeout,
                                const cs_stream_handler_t *handler,
                                void *user);

/* Accept connections at ADDRESS ("IP:PORT").  ACCEPTED returns the USER
   pointer for the handler's calls for a new stream.  The listener lives as
   long as the loop.  Fails with CS_BAD_INPUT for a malformed address and
   CS_UNAVAILABLE when it cannot be bound.  */
cs_status_t cs_stream_listen (
    cs_ctx_t *ctx, uv_loop_t *loop, const char *address,
    cs_usec_t unacked_timeout, const cs_stream_handler_t *handler,
    void *(*accepted) (void *user, cs_stream_t *stream), void *user);

/* Queue a copy of PAYLOAD for sending, also before the connection is
   established.  */
void cs_stream_send (cs_stream_t *stream, cs_str_t payload);

/* The same for a payload that consists of the first SPLIT bytes of PAYLOAD,
   BODY and the rest of PAYLOAD.  A reference to BODY is kept until it is
   written. */
void cs_stream_send_split (cs_stream_t *stream, cs_str_t payload, size_t split,
                           GBytes *body);

/* During the call of RECEIVED: VIEW, a part of the payload, as shared bytes;
   NULL if the payload is small.  The caller drops the reference.  Large
   payloads count in BUDGET until the last reference is dropped.  */
GBytes *cs_stream_share (const cs_stream_t *stream, cs_str_t view);

/* Count what STREAM receives of large payloads in BUDGET, which is borrowed.
   ADMIT decides whether there is room.  */
void cs_stream_set_budget (cs_stream_t *stream, cs_memory_budget_t *budget);

/* The monotonic time at which STREAM last received bytes, or at which the
   connection was established if it has received none.  */
cs_usec_t cs_stream_last_received (const cs_stream_t *stream);

/* Write queued payloads now, not at the end of the loop's iteration.  */
void cs_stream_flush (cs_stream_t *stream);

/* Close STREAM and free it later; NULL is allowed.  */
void cs_stream_drop (cs_stream_t *stream);

#endif
