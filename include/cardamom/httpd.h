/* HTTP server with blocking handlers.  One event loop serves all connections;
   each request runs on a worker thread.  Request bodies are buffered whole, up
   to a limit, and requests with ambiguous framing are rejected.  */
#ifndef CARDAMOM_HTTPD_H
#define CARDAMOM_HTTPD_H

#include "cardamom/http.h"
#include "cardamom/memory-claim.h"

typedef struct
{
  const char *method;
  const char *request_target; /* Path with the query, as sent.  */
  const char *host;   /* Host header without the port; "" if absent.  */
  GPtrArray *headers; /* The handler may take a reference.  */
  cs_str_t body;
  GBytes *body_bytes; /* Holds BODY; NULL: it is empty.  */
} cs_httpd_request_t;

typedef struct
{
  int status;
  GPtrArray *headers;    /* NULL for none; the server takes ownership.  */
  GString *body;         /* NULL for none; the server takes ownership.  */
  cs_claim_t claim;      /* Of BODY; the server takes it over.  */
  bool close_connection; /* Close the connection after the answer.  */
  bool abort_connection; /* Close the connection without an answer.  */
} cs_httpd_answer_t;

/* Handles REQUEST on a worker thread and fills ANSWER, whose status is 500
   until set.  May block.  Handlers run concurrently.  */
typedef void (*cs_httpd_handler_t) (void *user,
                                    const cs_httpd_request_t *request,
                                    cs_httpd_answer_t *answer);

typedef struct
{
  const char *host; /* IPv4 address to listen on.  */
  unsigned port;
  size_t body_max; /* Bytes; a larger body is answered 413.  */
  /* Further connections are closed.  Also the maximum of worker threads.  */
  unsigned connections_max;
  unsigned idle_timeout_s; /* Seconds until an idle connection is closed.  */
  /* Counts requests and answers; bodies that stall and answers that are not
     taken make room, also for claims that wait.  Borrowed; NULL: nothing is
     counted.  */
  cs_memory_budget_t *budget;
} cs_httpd_options_t;

typedef struct cs_httpd cs_httpd_t;

/* Start a server that calls HANDLER with USER for each request.
   CS_UNAVAILABLE if the port cannot be bound.  Release *HTTPD with
   cs_httpd_stop.  */
cs_status_t cs_httpd_start (cs_ctx_t *ctx, const cs_httpd_options_t *options,
                            cs_httpd_handler_t handler, void *user,
                            cs_httpd_t **httpd);

/* Stop listening.  Open connections are still served.  */
void cs_httpd_stop_listening (cs_httpd_t *httpd);

/* Wait for running and queued requests, close all connections and free HTTPD;
   NULL is allowed.  */
void cs_httpd_stop (cs_httpd_t *httpd);

/* Set ANSWER's status, its body to a copy of TEXT, and the Content-Type to
   TYPE.  */
void cs_httpd_answer_set_text (cs_httpd_answer_t *answer, int status,
                               const char *type, const char *text);

#endif
