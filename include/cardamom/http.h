/* An HTTP client connection for threads that may block, over that of the event
   loop.  */
#ifndef CARDAMOM_HTTP_H
#define CARDAMOM_HTTP_H

#include <glib.h>

#include "cardamom/context.h"
#include "cardamom/message.h"
#include "cardamom/str.h"

typedef struct
{
  char *name;
  char *value;
} cs_header_t;

/* A list of headers that owns its texts.  */
GPtrArray *cs_headers_new (void);

/* Copies of MESSAGE's.  */
GPtrArray *cs_headers_of (const cs_message_t *message);

GPtrArray *cs_headers_copy (const GPtrArray *headers);

/* Append a copy of NAME and VALUE to HEADERS.  */
void cs_headers_add (GPtrArray *headers, const char *name, const char *value);

/* The value of NAME, compared without case, or NULL.  */
const char *cs_headers_get (const GPtrArray *headers, const char *name);

typedef struct
{
  const char *method;
  const char *path;
  const GPtrArray *headers; /* NULL for none.  */
  cs_str_t body;
  size_t answer_max; /* Bytes of the answer's body.  */
  /* Use the connection of the request before, if it still stands.  Should it
     break, nobody can tell whether the request ran, so leave this off for
     requests that must not run twice: they get a connection of their own.  */
  bool reuse;
} cs_http_request_t;

typedef struct
{
  int status;
  GPtrArray *headers;
  GString *body;
} cs_http_answer_t;

/* Free what ANSWER owns and zero it.  */
void cs_http_answer_clear (cs_http_answer_t *answer);

typedef struct cs_http cs_http_t;

/* A connection to HOST (an IP number) and PORT, opened on first use.  It
   belongs to one thread at a time.  TIMEOUT bounds each call.  */
cs_http_t *cs_http_new (cs_ctx_t *ctx, const char *host, unsigned port,
                        cs_usec_t timeout);

/* Close HTTP; NULL is allowed.  */
void cs_http_drop (cs_ctx_t *ctx, cs_http_t *http);

/* Send REQUEST once.  ANSWER is filled
   on CS_OK, whatever the HTTP status, and cleared by the caller.
   CS_UNAVAILABLE: the request was not sent.  CS_UNKNOWN: it was sent and no
   whole answer came.  CS_LIMIT: the answer exceeds its bound.  */
cs_status_t cs_http_call (cs_ctx_t *ctx, cs_http_t *http,
                          const cs_http_request_t *request,
                          cs_http_answer_t *answer);

/* Split "IP:PORT" into HOST (freed by the caller) and PORT.  */
cs_status_t cs_address_parse (cs_ctx_t *ctx, const char *text, char **host,
                              unsigned *port);

#endif
