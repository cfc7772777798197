/* The interface between a platform and the sidecar.  Adapters are plug-ins of
   kind CS_PLUGIN_ADAPTER with this vtable.  */
#ifndef CARDAMOM_ADAPTER_H
#define CARDAMOM_ADAPTER_H

#include "cardamom/backend.h"
#include "cardamom/header-names.h"
#include "cardamom/message.h"
#include "cardamom/move.h"
#include "cardamom/snapshot.h"
#include "cardamom/table.h"

/* What a row of CS_KEYSPACE_OPERATOR holds.  */
typedef enum
{
  CS_OPERATOR_ROW_OTHER,
  CS_OPERATOR_ROW_CONFIG,    /* The configuration.  */
  CS_OPERATOR_ROW_MOVE,      /* A request for a version move.  */
  CS_OPERATOR_ROW_EVACUATION /* A data centre is evacuated while it exists.  */
} cs_operator_row_kind_t;

/* An operator's request for a version move: a canary rollout that shifts a
   service's requests to another version.  */
typedef struct
{
  char service[CS_NAME_SIZE];
  char to_version[CS_NAME_SIZE]; /* The version to move to.  */
  cs_usec_t duration; /* Time from the request to the move's deadline.  */
} cs_move_request_t;

/* The HTTP endpoints of a node itself.  */
typedef enum
{
  CS_NODE_ENDPOINT_OTHER,     /* None of them.  */
  CS_NODE_ENDPOINT_READINESS, /* Readiness check: may callers send requests? */
  CS_NODE_ENDPOINT_REPORT,    /* Status report of the backend server.  */
  CS_NODE_ENDPOINT_DEREGISTER /* The backend server deregisters before it
                                 exits.  */
} cs_node_endpoint_t;

typedef struct
{
  /* The platform's names of header fields.  */
  const cs_header_names_t *headers;
  /* Open the table at ADDRESS ("IP:PORT") for use on LOOP; it lives as long as
     the process.  CS_BAD_INPUT when ADDRESS is malformed.  */
  cs_status_t (*open_table) (cs_ctx_t *ctx, uv_loop_t *loop,
                             const char *address, cs_table_t **table);
  cs_operator_row_kind_t (*classify_row) (const char *key);
  /* The data centre that the row KEY evacuates, a view into KEY; NULL if it is
     another kind of row.  */
  const char *(*evacuated_dc) (const char *key);
  /* Decode a configuration; the caller drops *SNAPSHOT.  CS_BAD_INPUT with a
     message that says what is wrong.  */
  cs_status_t (*decode_config) (cs_ctx_t *ctx, cs_str_t text,
                                cs_snapshot_t **snapshot);
  /* TEXT, a configuration, with each key of a workspace replaced by its
     digest; NULL if it holds none.  The caller frees it.  */
  GString *(*redact_config) (cs_str_t text);
  /* Decode a request for a version move.  CS_BAD_INPUT as above.  */
  cs_status_t (*decode_move_request) (cs_ctx_t *ctx, cs_str_t text,
                                      cs_move_request_t *request);
  /* Encode the row of CS_KEYSPACE_STATUS that shows operators the STATE of the
     move of SERVICE to version TO.  The caller frees both strings.  */
  void (*encode_move_status) (const char *service, const char *to,
                              cs_move_state_t state, char **key, char **text);
  /* Classify a request to the node itself.  For CS_NODE_ENDPOINT_REPORT and
     CS_NODE_ENDPOINT_DEREGISTER, *INSTANCE is set to the id of the backend
     server, and the caller frees it.  */
  cs_node_endpoint_t (*classify_request) (const cs_http1_message_t *request,
                                          char **instance);
  /* Decode the body of a status report of INSTANCE.  CS_BAD_INPUT as above. */
  cs_status_t (*decode_report) (cs_ctx_t *ctx, const char *instance,
                                cs_str_t text, cs_backend_report_t *report);
  /* Read from TEXT, the body of a message with which a backend server
     deregisters, the wall time of its start in milliseconds into *STARTED_MS;
     0 if it does not tell.  */
  void (*decode_leave) (cs_ctx_t *ctx, cs_str_t text, int64_t *started_ms);
} cs_adapter_vtable_t;

#endif
