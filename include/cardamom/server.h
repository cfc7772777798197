/* The HTTP/1.1 server side of an event loop: callers, status reports,
   readiness and metrics use it.  */
#ifndef CARDAMOM_SERVER_H
#define CARDAMOM_SERVER_H

#include "cardamom/context.h"
#include "cardamom/message.h"
#include "cardamom/net.h"

typedef struct cs_server cs_server_t;

/* One request and its answer.  Requests of a connection are handed over as
   they come, and answered on the wire in their order.  */
typedef struct
{
  cs_message_t request;
  void *user; /* The handler's.  */
  /* The server's own.  */
  void *conn;
  GString *answer;
  bool close, answered, handed;
  bool unframed;   /* Set before the answer: its body ends with the
                      connection, for nobody knows whether it is whole.  */
  bool wants_turn; /* Set by the handler: call TURN when all requests before
                      this one have been answered.  */
} cs_exchange_t;

typedef struct
{
  /* A whole request was read.  Answer it now or later.  */
  void (*request) (void *user, cs_exchange_t *exchange);
  /* The caller left before the answer; EXCHANGE ends with this call.  NULL
     when answers are never late.  */
  void (*left) (void *user, cs_exchange_t *exchange);
  /* See WANTS_TURN.  NULL when no request asks for it.  */
  void (*turn) (void *user, cs_exchange_t *exchange);
  /* Whole lines for refusals of the server's own; NULL for none.  */
  const char *refusal_fields;
} cs_server_handler_t;

/* What a caller may send, and how long it may take.  */
typedef struct
{
  size_t head_max, body_max; /* Bytes.  */
  unsigned connections_max;  /* Further ones are closed; 0: no bound.  */
  cs_usec_t head_timeout;    /* For a whole head once begun.  */
  cs_usec_t idle_timeout;    /* Between requests, and between reads.  */
} cs_server_limits_t;

/* Listen on ADDRESS ("IP:PORT").  CS_UNAVAILABLE when it cannot be bound.  */
cs_status_t cs_server_new (cs_ctx_t *ctx, uv_loop_t *loop, const char *address,
                           const cs_server_handler_t *handler, void *user,
                           cs_server_t **server);

/* Put LIMITS in force for connections from now on and those open.  */
void cs_server_limit (cs_server_t *server, const cs_server_limits_t *limits);

/* Answer EXCHANGE, which ends with this call.  FIELDS are whole lines or NULL;
   the framing is added.  CLOSE ends the connection after it.  */
void cs_exchange_answer (cs_exchange_t *exchange, unsigned status,
                         const char *fields, cs_str_t body, bool close);

/* Break the connection of EXCHANGE, which ends with this call, instead of
   answering.  */
void cs_exchange_abort (cs_exchange_t *exchange);

/* From now on every answer closes its connection, and idle connections are
   closed.  */
void cs_server_drain (cs_server_t *server);

/* Whether requests before EXCHANGE on its connection wait for answers.  */
bool cs_exchange_is_behind (const cs_exchange_t *exchange);

/* Stop listening.  */
void cs_server_stop (cs_server_t *server);

/* Stop listening and close every connection; exchanges under way end without
   a word.  Its loop has to run once more; SERVER is freed by it.  */
void cs_server_close (cs_server_t *server);

/* Connections open.  */
unsigned cs_server_connections (const cs_server_t *server);

/* The usual phrase for STATUS.  */
const char *cs_status_phrase (unsigned status);

#endif
