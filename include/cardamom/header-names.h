/* The names of the header fields that nodes, callers and backend servers
   exchange.  Cardamom has defaults; the adapter of a platform replaces them
   by the names that the platform uses.  */
#ifndef CARDAMOM_HEADER_NAMES_H
#define CARDAMOM_HEADER_NAMES_H

typedef struct
{
  const char *attempt_id;     /* Identifier of one attempt of a call.  */
  const char *time_remaining; /* Milliseconds until the caller's deadline.  */
  const char *expected_instance; /* The only backend server that may run it. */
  const char *caller_service; /* Service of the host that sends the call.  */
  /* Set by the backend server; a success without it is not passed on to the
     caller.  */
  const char *seal;
  const char *not_run;     /* Set if the request has not been run.  */
  const char *server_load; /* The backend server's report of its load.  */
  /* Requests a second, a decimal number, that the backend server takes from
     all nodes together as long as its answers say so.  */
  const char *server_limit;
  const char *server_leaving; /* Set while the backend server leaves.  */
  const char *instance_id; /* The server's identifier, on a health check.  */
  /* Milliseconds for which the server stays cold, on a health check.  */
  const char *cold_ms;
  /* The workspace of a request, which the node tells the server.  */
  const char *workspace;
} cs_header_names_t;

/* The names in use; set only before the first request.  */
extern const cs_header_names_t *cs_header_names;

#endif
