/* The names of the header fields that nodes, callers and backend servers
   agree on.  The product has its own; an adapter puts those of its platform
   in their place.  */
#ifndef CARDAMOM_HEADERS_H
#define CARDAMOM_HEADERS_H

typedef struct
{
  const char *attempt;  /* Identifier of one attempt of a caller.  */
  const char *deadline; /* Milliseconds that the caller still waits.  */
  const char *instance; /* The server that must run the request.  */
  const char *caller;   /* Service of the host where the request began.  */
  const char *seal;     /* The server's proof on its answer.  */
  const char *not_run;  /* Set by a server that has not run the request.  */
  const char *load;     /* The server's own count of its work.  */
  const char *server;   /* The server's own identifier, on a health check.  */
} cs_headers_t;

/* The names in use; set before the first request.  */
extern const cs_headers_t *cs_headers;

#endif
