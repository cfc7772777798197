/* What an adapter translates between a platform and the product.  Adapters
   are plug-ins of kind CS_PLUGIN_ADAPTER with this vtable.  */
#ifndef CARDAMOM_ADAPTER_H
#define CARDAMOM_ADAPTER_H

#include "cardamom/headers.h"
#include "cardamom/life.h"
#include "cardamom/message.h"
#include "cardamom/move.h"
#include "cardamom/snapshot.h"
#include "cardamom/table.h"

/* What a row of CS_SPACE_ORDERS is about.  */
typedef enum
{
  CS_ORDER_OTHER,
  CS_ORDER_CONFIG, /* The configuration.  */
  CS_ORDER_MOVE    /* A version move.  */
} cs_order_kind_t;

/* The operator wants a service's requests moved to another version.  */
typedef struct
{
  char service[CS_LIFE_TEXT];
  char to[CS_LIFE_TEXT];
  cs_usec_t over; /* Time from the order to the end.  */
} cs_order_t;

/* What a request to the node itself asks.  */
typedef enum
{
  CS_ENTRY_OTHER,
  CS_ENTRY_READY,  /* Whether callers may come.  */
  CS_ENTRY_REPORT, /* The backend server tells of itself.  */
  CS_ENTRY_LEAVE   /* The backend server ends.  */
} cs_entry_kind_t;

typedef struct
{
  const cs_headers_t *headers;
  /* The table at ADDRESS, run by LOOP.  CS_BAD_INPUT for no address.  */
  cs_status_t (*open_table) (cs_ctx_t *ctx, uv_loop_t *loop,
                             const char *address, cs_table_t **table);
  cs_order_kind_t (*order_kind) (const char *key);
  /* Decode a configuration; CS_BAD_INPUT names what is wrong.  */
  cs_status_t (*config) (cs_ctx_t *ctx, cs_str_t text,
                         cs_snapshot_t **snapshot);
  cs_status_t (*order) (cs_ctx_t *ctx, cs_str_t text, cs_order_t *order);
  /* The row that tells operators where a move to TO stands.  The caller frees
     both strings.  */
  void (*move_state) (const char *service, const char *to,
                      cs_move_phase_t phase, char **key, char **text);
  /* Sort a request; *INSTANCE, for the last two, is freed by the caller.  */
  cs_entry_kind_t (*entry) (const cs_message_t *request, char **instance);
  /* Decode the body of a report of INSTANCE.  */
  cs_status_t (*report) (cs_ctx_t *ctx, const char *instance, cs_str_t text,
                         cs_report_t *report);
} cs_adapter_vtable_t;

#endif
