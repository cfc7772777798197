/* An HTTP server whose handlers may block: connections are kept by one event
   loop, a thread is taken for each request that runs.  Bodies are held whole
   and bounded, ambiguous framing is refused.  */
#ifndef CARDAMOM_HTTPD_H
#define CARDAMOM_HTTPD_H

#include "cardamom/http.h"

typedef struct
{
  const char *method;
  const char *target; /* Path with the query, as sent.  */
  const char *host;   /* Host header, without the port; "" for none.  */
  GPtrArray *headers; /* The handler may keep a reference.  */
  cs_str_t body;
} cs_httpd_request_t;

typedef struct
{
  int status;
  GPtrArray *headers; /* NULL for none; taken over.  */
  GString *body;      /* NULL for none; taken over.  */
  bool close;         /* Close the connection after the answer.  */
  bool abort;         /* Break the connection instead of answering.  */
} cs_httpd_answer_t;

/* Answer REQUEST; runs in a thread of its own and may block.  */
typedef void (*cs_httpd_handler_t) (void *user,
                                    const cs_httpd_request_t *request,
                                    cs_httpd_answer_t *answer);

typedef struct
{
  const char *host; /* IP number to listen on.  */
  unsigned port;
  size_t body_max;          /* Bytes; larger bodies get 413.  */
  unsigned connections_max; /* Further ones are closed.  */
  unsigned idle_s;          /* Silent connections are closed.  */
} cs_httpd_options_t;

typedef struct cs_httpd cs_httpd_t;

/* Listen and serve.  CS_UNAVAILABLE when the port cannot be had.  */
cs_status_t cs_httpd_start (cs_ctx_t *ctx, const cs_httpd_options_t *options,
                            cs_httpd_handler_t handler, void *user,
                            cs_httpd_t **httpd);

/* Take no new connections; those open go on.  */
void cs_httpd_quiesce (cs_httpd_t *httpd);

/* Wait for running handlers and close everything; NULL is allowed.  */
void cs_httpd_stop (cs_httpd_t *httpd);

/* Set an answer of TEXT, copied, with its Content-Type.  */
void cs_httpd_text (cs_httpd_answer_t *answer, int status, const char *type,
                    const char *text);

#endif
