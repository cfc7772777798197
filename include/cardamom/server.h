/* An HTTP/1.1 server on an event loop, for calls, status reports, readiness
   checks and metrics.  */
#ifndef CARDAMOM_SERVER_H
#define CARDAMOM_SERVER_H

#include "cardamom/context.h"
#include "cardamom/memory-budget.h"
#include "cardamom/message.h"
#include "cardamom/net.h"

typedef struct cs_http1_server cs_http1_server_t;

/* One request and its answer.  Pipelined requests of a connection are given to
   the handler as they arrive; their answers are sent in the same order.  */
typedef struct
{
  cs_http1_message_t request;
  void *user; /* For the handler's use.  */
  /* CONN to DELIVERED are private to the server.  DELIVERED: an answer may be
     sent at once, since request_received has returned, or is not called for a
     request that the server refuses.  */
  void *conn;
  GString *answer;
  GBytes *answer_body; /* Follows ANSWER; NULL: nothing does.  */
  /* In the server's budget: of the body, of the head, and of ANSWER while it
     waits for those before it.  */
  int64_t counted, head_counted, answer_counted;
  bool close, answered, delivered;
  /* Set by the handler before it answers: the body is close-delimited.  The
     product never does, for a cut body would look whole; stand-ins do.  */
  bool close_delimited;
  /* Set by the handler: AT_FRONT is called when all earlier requests of the
     connection have been answered.  */
  bool notify_at_front;
} cs_exchange_t;

typedef struct
{
  /* A whole request was read.  The handler answers it now or later.  */
  void (*request_received) (void *user, cs_exchange_t *exchange);
  /* The connection was closed before the answer; EXCHANGE is freed after this
     call.  NULL if the handler answers every request at once.  */
  void (*caller_disconnected) (void *user, cs_exchange_t *exchange);
  /* See NOTIFY_AT_FRONT.  NULL if it is never set.  */
  void (*at_front) (void *user, cs_exchange_t *exchange);
  /* Header lines, each with its CRLF, of the server's own error answers; NULL
     for none.  */
  const char *refusal_fields;
} cs_http1_server_handler_t;

/* Limits for connections and requests.  */
typedef struct
{
  size_t head_max, body_max; /* Bytes.  */
  /* Of more connections, the one that has been without a whole request for
     longest is closed, or the new one; 0: no limit.  */
  unsigned connections_max;
  cs_usec_t head_timeout; /* From the first byte of a head to its end.  */
  cs_usec_t idle_timeout; /* Without a read or an answer.  */
} cs_http1_server_limits_t;

/* Listen on ADDRESS ("IP:PORT").  Returns CS_BAD_INPUT if ADDRESS is
   malformed, CS_UNAVAILABLE if it cannot be bound.  HANDLER is copied.  The
   caller frees the server with cs_http1_server_close.  */
cs_status_t cs_http1_server_new (cs_ctx_t *ctx, uv_loop_t *loop,
                                 const char *address,
                                 const cs_http1_server_handler_t *handler,
                                 void *user, cs_http1_server_t **server);

/* Set LIMITS, which hold for new and open connections; the limits on sizes
   from the next request.  */
void cs_http1_server_set_limits (cs_http1_server_t *server,
                                 const cs_http1_server_limits_t *limits);

/* Count bodies in BUDGET, which is borrowed.  A request whose body does not
   fit is refused with 503.  */
void cs_http1_server_set_budget (cs_http1_server_t *server,
                                 cs_memory_budget_t *budget);

/* Refuse the request whose large body has made no progress for longest, if
   that is long; or close the connection whose caller has taken nothing of a
   large answer for longest.  Returns whether there was one.  */
bool cs_http1_server_drop_stalled_body (cs_http1_server_t *server);
bool cs_http1_server_drop_unread_answer (cs_http1_server_t *server);

/* Answer EXCHANGE, which must not be used afterwards.  FIELDS are header
   lines, each with its CRLF, or NULL; the fields that frame the body are
   added.  CLOSE ends the connection after the answer.  */
void cs_exchange_answer (cs_exchange_t *exchange, unsigned status,
                         const char *fields, cs_str_t body, bool close);

/* The same with shared bytes, of which a reference is kept until they are
   written; NULL: no body.  */
void cs_exchange_answer_bytes (cs_exchange_t *exchange, unsigned status,
                               const char *fields, GBytes *body, bool close);

/* The body of the request of EXCHANGE, which is taken out of it; NULL if it is
   empty.  The caller drops the reference.  */
GBytes *cs_exchange_take_body (cs_exchange_t *exchange);

/* Close the connection of EXCHANGE instead of answering.  EXCHANGE must not be
   used afterwards.  */
void cs_exchange_abort (cs_exchange_t *exchange);

/* Close the idle connections, and from now on every other one after its next
   answer.  */
void cs_http1_server_drain (cs_http1_server_t *server);

/* Whether an earlier request on EXCHANGE's connection has no answer yet.  */
bool cs_exchange_has_earlier_pending (const cs_exchange_t *exchange);

/* Stop listening; open connections stay.  */
void cs_http1_server_stop_listening (cs_http1_server_t *server);

/* Stop listening and close every connection; pending exchanges end without a
   callback.  SERVER is freed by its loop, which has to run once more.  */
void cs_http1_server_close (cs_http1_server_t *server);

/* The number of open connections.  */
unsigned cs_http1_server_connection_count (const cs_http1_server_t *server);

/* The reason phrase for the HTTP status STATUS.  */
const char *cs_http1_reason_phrase (unsigned status);

#endif
