/* Blocking HTTP/1.1 client (cs_http_client_t), built on the event-driven one
   (cs_http1_client_t in client.h), and lists of headers.  */
#ifndef CARDAMOM_HTTP_H
#define CARDAMOM_HTTP_H

#include <glib.h>

#include "cardamom/context.h"
#include "cardamom/memory-claim.h"
#include "cardamom/message.h"
#include "cardamom/str.h"

typedef struct
{
  char *name;
  char *value;
} cs_header_t;

/* Create an empty list that owns its cs_header_t elements; free it with
   g_ptr_array_unref.  */
GPtrArray *cs_headers_new (void);

/* Create a list with copies of the header fields of MESSAGE.  */
GPtrArray *cs_headers_from_message (const cs_http1_message_t *message);

/* Create a deep copy of HEADERS.  */
GPtrArray *cs_headers_copy (const GPtrArray *headers);

/* Append a copy of NAME and VALUE to HEADERS.  */
void cs_headers_add (GPtrArray *headers, const char *name, const char *value);

/* The value of the first header NAME, compared case-insensitively, or NULL.
   HEADERS may be NULL.  The value belongs to HEADERS.  */
const char *cs_headers_get (const GPtrArray *headers, const char *name);

/* A request.  Everything is borrowed for the call.  */
typedef struct
{
  const char *method;
  const char *path;         /* With the query.  */
  const GPtrArray *headers; /* NULL for none.  */
  cs_str_t body;
  GBytes *body_bytes; /* Holds BODY, which is then not copied; or NULL.  */
  size_t answer_max;  /* Maximum bytes of the answer's body.  */
  /* A header with which the request is numbered and that the server sends
     back; NULL for none.  An answer with another number is dropped, and the
     connection is reused only after answers with their number, so that none to
     an earlier request is taken for that of this one.  */
  const char *number_header;
  /* Reuse the previous request's connection if it is still open.  The server
     may close it just as the request is sent, and then it is unknown whether
     the request ran.  Without it the request opens a new connection; requests
     that must not run twice do that.  */
  bool reuse_connection;
} cs_http_request_t;

typedef struct
{
  int status; /* HTTP status code.  */
  GPtrArray *headers;
  GString *body;
  cs_claim_t claim; /* Of BODY; see cs_http_client_share_memory.  */
} cs_http_answer_t;

/* Free the headers and body of ANSWER and zero it.  */
void cs_http_answer_clear (cs_http_answer_t *answer);

typedef struct cs_http_client cs_http_client_t;

/* Create a client of the server at HOST, an IPv4 address, and PORT.  It
   connects at the first call.  One thread may use it at a time.  TIMEOUT
   limits each call from connecting to the end of the answer.  */
cs_http_client_t *cs_http_client_new (cs_ctx_t *ctx, const char *host,
                                      unsigned port, cs_usec_t timeout);

/* Close the connection of HTTP and free it; NULL is allowed.  */
void cs_http_client_drop (cs_ctx_t *ctx, cs_http_client_t *http);

/* Claim memory for large answers from CLAIMS, borrowed, COPIES times their
   size.  A call waits while there is none, until its timeout.  */
void cs_http_client_share_memory (cs_http_client_t *http, cs_claims_t *claims,
                                  unsigned copies);

/* Send REQUEST, without retries, and wait for the answer.  On CS_OK, whatever
   the HTTP status, ANSWER is filled and the caller clears it.  CS_UNAVAILABLE:
   could not connect, so the request was not sent.  CS_UNKNOWN: the request may
   have been sent, but no complete answer was received.  CS_LIMIT_EXCEEDED: the
   answer's body exceeds REQUEST->answer_max bytes.  CS_BAD_INPUT: the host is
   not an IPv4 address.  */
cs_status_t cs_http_client_call (cs_ctx_t *ctx, cs_http_client_t *http,
                                 const cs_http_request_t *request,
                                 cs_http_answer_t *answer);

/* Split TEXT, "IP:PORT" with an IPv4 address, into HOST, which the caller
   frees, and PORT.  CS_BAD_INPUT for anything else.  */
cs_status_t cs_address_parse (cs_ctx_t *ctx, const char *text, char **host,
                              unsigned *port);

#endif
