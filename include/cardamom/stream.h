/* A connection between two nodes: msgpack payloads, each behind its length in
   four bytes, most significant first.  What is sent during one round of the
   loop leaves in one write.  */
#ifndef CARDAMOM_STREAM_H
#define CARDAMOM_STREAM_H

#include "cardamom/context.h"
#include "cardamom/net.h"

/* Bytes of a payload at most: the largest body and its head.  */
#define CS_STREAM_PAYLOAD_MAX ((size_t)65 << 20)

typedef struct cs_stream cs_stream_t;

typedef struct
{
  /* The connection that this side opened stands.  */
  void (*up) (void *user, cs_stream_t *stream);
  /* A payload, borrowed for the call.  */
  void (*payload) (void *user, cs_stream_t *stream, cs_str_t payload);
  /* STREAM has ended and is freed after the call.  Not called for
     cs_stream_drop.  */
  void (*down) (void *user, cs_stream_t *stream, const char *why);
} cs_stream_handler_t;

/* Connect to ADDRESS.  SILENCE bounds how long bytes may go
   unacknowledged.  */
cs_stream_t *cs_stream_connect (uv_loop_t *loop, cs_clock_t *clock,
                                const struct sockaddr_in *address,
                                cs_usec_t silence,
                                const cs_stream_handler_t *handler,
                                void *user);

/* Take connections at ADDRESS ("IP:PORT").  TAKEN gives the user of each
   stream.  The listener lives as long as the loop.  */
cs_status_t cs_stream_listen (cs_ctx_t *ctx, uv_loop_t *loop,
                              const char *address, cs_usec_t silence,
                              const cs_stream_handler_t *handler,
                              void *(*taken) (void *user, cs_stream_t *stream),
                              void *user);

/* Send PAYLOAD, copied.  */
void cs_stream_send (cs_stream_t *stream, cs_str_t payload);

/* When the last byte came in.  */
cs_usec_t cs_stream_heard (const cs_stream_t *stream);

/* Write what was sent now, not at the end of the round.  */
void cs_stream_flush (cs_stream_t *stream);

/* Close STREAM; NULL is allowed.  */
void cs_stream_drop (cs_stream_t *stream);

#endif
