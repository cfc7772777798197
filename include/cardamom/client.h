/* An HTTP/1.1 client connection on an event loop (cs_http1_client_t), to a
   backend server or the platform.  It carries one request at a time.  The
   blocking client is cs_http_client_t in http.h.  */
#ifndef CARDAMOM_CLIENT_H
#define CARDAMOM_CLIENT_H

#include "cardamom/answer-memory.h"
#include "cardamom/net.h"

/* Why a request got no answer.  */
typedef enum
{
  CS_HTTP1_CONNECT_FAILED, /* The connect failed; nothing was sent.  */
  /* The connection was reset as it opened; nothing was sent.  */
  CS_HTTP1_CONNECT_RESET,
  CS_HTTP1_CONNECTION_BROKEN, /* The connection broke with an error.  */
  /* The server closed the connection before the end of the answer.  */
  CS_HTTP1_ANSWER_TRUNCATED,
  CS_HTTP1_ANSWER_TOO_LARGE, /* The body exceeds a memory limit.  */
  CS_HTTP1_ANSWER_MALFORMED, /* What came is not a valid answer.  */
  /* A mismatched answer came, and none can follow it.  */
  CS_HTTP1_ANSWER_MISMATCHED
} cs_http1_client_error_t;

/* Whether a request that ended with ERROR was certainly not sent.  */
bool cs_http1_client_error_is_unsent (cs_http1_client_error_t error);

/* ERROR in words, for logs; static.  */
const char *cs_http1_client_error_text (cs_http1_client_error_t error);

typedef struct cs_http1_client cs_http1_client_t;

typedef struct
{
  /* A whole answer was received; it is borrowed for the call.  Whoever takes
     its body out takes its claim too.  */
  void (*answer_received) (void *user, cs_http1_message_t *answer);
  /* The request got no answer and the connection is closed.  PARTIAL is
     set when part of an answer was received that matches as far as is
     known.  */
  void (*failed) (void *user, cs_http1_client_error_t error, bool partial);
  /* Whether ANSWER, of which the head has been read, is for the request that
     was sent.  One that is not is dropped and the next one awaited, unless the
     request is HEAD: the connection is closed then, for it is not known
     whether a body follows.  NULL accepts every answer.  */
  bool (*answer_matches) (void *user, const cs_http1_message_t *answer);
  /* An answer that does not match ends with the connection, so none can follow
     it.  FAILED is called when the connection has ended, unless the owner
     drops the client before, which may interrupt the request at the server.
     NULL waits for FAILED.  */
  void (*answer_precluded) (void *user);
  /* Of cs_http1_client_connect only.  */
  void (*connected) (void *user);
} cs_http1_client_handler_t;

/* A connection to ADDRESS, opened at the first request.  UNACKED_TIMEOUT
   bounds how long sent bytes may stay unacknowledged; see cs_tcp_set_options.
   The caller frees the client with cs_http1_client_drop.  */
cs_http1_client_t *cs_http1_client_new (uv_loop_t *loop, cs_clock_t *clock,
                                        const struct sockaddr_in *address,
                                        cs_usec_t unacked_timeout);

/* From now on, limit the body of an answer to BODY_MAX bytes.  */
void cs_http1_client_set_body_max (cs_http1_client_t *client, size_t body_max);

/* Apply the limits of MEMORY, which CLIENT borrows until it is freed, to the
   bodies of its answers.  */
void cs_http1_client_share_memory (cs_http1_client_t *client,
                                   cs_answer_memory_t *memory);

/* Send REQUEST, which CLIENT takes over.  IS_HEAD is set when its method
   is HEAD, so that the answer has no body.  CLIENT must be usable.  HANDLER's
   FAILED may be called before this returns.  */
void cs_http1_client_send (cs_http1_client_t *client, GString *request,
                           bool is_head,
                           const cs_http1_client_handler_t *handler,
                           void *user);

/* The same with HEAD, which CLIENT takes over, and BODY, of which it keeps a
   reference until it is written; NULL: none.  */
void cs_http1_client_send_body (cs_http1_client_t *client, GString *head,
                                GBytes *body, bool is_head,
                                const cs_http1_client_handler_t *handler,
                                void *user);

/* Since when the answer is not read for want of memory; 0: it is read.  And
   the bytes that it waits for.  */
cs_usec_t cs_http1_client_paused_since (const cs_http1_client_t *client);
int64_t cs_http1_client_wanted (const cs_http1_client_t *client);

/* Read on if the answer was paused for want of memory, and there is some; with
   FIRST, others get none before it does.  The owner makes room.  FAILED may be
   called before this returns.  */
void cs_http1_client_resume (cs_http1_client_t *client, bool first);

/* Open the connection of CLIENT, which is new, without a request.  CONNECTED
   is called when it is open and CLIENT can be used; FAILED as for
   cs_http1_client_send.  */
void cs_http1_client_connect (cs_http1_client_t *client,
                              const cs_http1_client_handler_t *handler,
                              void *user);

/* How many bytes of the present answer have arrived so far.  */
size_t cs_http1_client_received (const cs_http1_client_t *client);

/* Whether CLIENT's connection is open.  */
bool cs_http1_client_is_connected (const cs_http1_client_t *client);

/* Whether CLIENT can send a request: it has none in flight, is not closed, and
   the idle timeout that the server announced in Keep-Alive has not passed at
   NOW.  */
bool cs_http1_client_is_usable (const cs_http1_client_t *client,
                                cs_usec_t now);

/* The time of the last whole answer, or of cs_http1_client_connect's success;
   0 before the first.  */
cs_usec_t cs_http1_client_idle_since (const cs_http1_client_t *client);

/* Whether the connection is closed, by either side; the client can only be
   dropped then.  */
bool cs_http1_client_is_closed (const cs_http1_client_t *client);

/* Close CLIENT and free it, for which its loop has to run.  A request in
   flight ends without a callback.  NULL is allowed.  */
void cs_http1_client_drop (cs_http1_client_t *client);

#endif
