/* The names of the header fields that nodes, callers and backend servers
   exchange.  Cardamom has defaults; the adapter of a platform replaces them
   by the names that the platform uses.  */
#ifndef CARDAMOM_HEADERS_H
#define CARDAMOM_HEADERS_H

typedef struct
{
  const char *attempt;  /* Identifier of one attempt of a call.  */
  const char *deadline; /* Milliseconds until the caller's deadline.  */
  const char *instance; /* The only backend server that may run it.  */
  const char *caller;   /* Service of the host that sends the call.  */
  const char *seal;     /* A success without it is not passed on.  */
  const char *not_run;  /* Set if the request has not been run.  */
  const char *load;     /* The backend server's report of its load.  */
  const char *server;   /* The server's identifier, on a health check.  */
} cs_headers_t;

/* The names in use; set only before the first request.  */
extern const cs_headers_t *cs_headers;

#endif
