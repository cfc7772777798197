/* The interface between a platform and the sidecar.  Adapters are plug-ins of
   kind CS_PLUGIN_ADAPTER with this vtable.  */
#ifndef CARDAMOM_ADAPTER_H
#define CARDAMOM_ADAPTER_H

#include "cardamom/headers.h"
#include "cardamom/life.h"
#include "cardamom/message.h"
#include "cardamom/move.h"
#include "cardamom/snapshot.h"
#include "cardamom/table.h"

/* What a row of CS_SPACE_ORDERS holds.  */
typedef enum
{
  CS_ORDER_OTHER,
  CS_ORDER_CONFIG, /* The configuration.  */
  CS_ORDER_MOVE    /* A request for a version move.  */
} cs_order_kind_t;

/* An operator's request for a version move: a canary rollout that shifts a
   service's requests to another version.  */
typedef struct
{
  char service[CS_LIFE_TEXT];
  char to[CS_LIFE_TEXT]; /* The version to move to.  */
  cs_usec_t over;        /* Time from the request to the move's deadline.  */
} cs_order_t;

/* The HTTP endpoints of a node itself.  */
typedef enum
{
  CS_ENTRY_OTHER,  /* None of them.  */
  CS_ENTRY_READY,  /* Readiness check: may callers send requests?  */
  CS_ENTRY_REPORT, /* Status report of the backend server.  */
  CS_ENTRY_LEAVE   /* The backend server deregisters before it exits.  */
} cs_entry_kind_t;

typedef struct
{
  /* The platform's names of header fields.  */
  const cs_headers_t *headers;
  /* Open the table at ADDRESS ("IP:PORT") for use on LOOP; it lives as long as
     the process.  CS_BAD_INPUT when ADDRESS is malformed.  */
  cs_status_t (*open_table) (cs_ctx_t *ctx, uv_loop_t *loop,
                             const char *address, cs_table_t **table);
  cs_order_kind_t (*order_kind) (const char *key);
  /* Decode a configuration; the caller drops *SNAPSHOT.  CS_BAD_INPUT with a
     message that says what is wrong.  */
  cs_status_t (*config) (cs_ctx_t *ctx, cs_str_t text,
                         cs_snapshot_t **snapshot);
  /* Decode a request for a version move.  CS_BAD_INPUT as above.  */
  cs_status_t (*order) (cs_ctx_t *ctx, cs_str_t text, cs_order_t *request);
  /* Encode the row of CS_SPACE_STATES that shows operators the PHASE of the
     move to version TO.  The caller frees both strings.  */
  void (*move_state) (const char *service, const char *to,
                      cs_move_phase_t phase, char **key, char **text);
  /* Classify a request to the node itself.  For CS_ENTRY_REPORT and
     CS_ENTRY_LEAVE, *INSTANCE is set and the caller frees it.  */
  cs_entry_kind_t (*entry) (const cs_message_t *request, char **instance);
  /* Decode the body of a status report of INSTANCE.  CS_BAD_INPUT as above. */
  cs_status_t (*report) (cs_ctx_t *ctx, const char *instance, cs_str_t text,
                         cs_report_t *report);
} cs_adapter_vtable_t;

#endif
