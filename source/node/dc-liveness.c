/* The row "cs/dc/DC" of the platform, which holds when the data centre was
   last in service.  Idempotency records are held in memory only, so when no
   member is in service, all are lost.  The first member that starts after that
   publishes the loss, until the last record would have expired.  */
#include <stdio.h>

#include "replica-internal.h"

/* The nodes of a new data centre start within this time: it is new if its row
   was not written longer than that before the start of this node.  */
#define DC_BOOTSTRAP_MS 15000

/* The row "cs/dc/DC", whose value is "CREATED_MS LAST_IN_SERVICE_MS": wall
   times at which the data centre was first and last in service.  */
typedef struct
{
  control_t *control;
  cs_status_t status;
  long long created_ms, last_in_service_ms;
} dc_row_t;

static char *
dc_row_key (const node_t *node)
{
  return g_strconcat ("cs/dc/", node->settings.dc, NULL);
}

/* Publish that all records are lost, unless the data centre is new or its
   records have expired.  The data centre counts as in service until two
   DC_ROW_INTERVAL after the last write of the row, or until now when the row
   cannot be read.  */
static void
publish_loss_of_all (control_t *control, void *arg)
{
  dc_row_t *dc_row = arg;
  const cs_member_t *self = cs_members_self (control->members);
  int64_t now_ms = cs_now_wall (control->ctx) / CS_MSEC;
  int64_t retention_ms
      = control->node->settings.idempotency_retention_s * 1000;
  bool is_new_dc
      = dc_row->status == CS_NOT_FOUND
        || (dc_row->status == CS_OK
            && dc_row->created_ms >= (int64_t)self->boot - DC_BOOTSTRAP_MS);
  int64_t until_ms = dc_row->status == CS_OK
                         ? dc_row->last_in_service_ms
                               + 2 * DC_ROW_INTERVAL / CS_MSEC + retention_ms
                         : now_ms + retention_ms;
  if (is_new_dc || until_ms <= now_ms)
    return;
  cs_replica_loss_t *loss = cs_replica_loss_new (until_ms, true);
  char *key = g_strdup_printf ("%s all %llu", control->node->settings.dc,
                               (unsigned long long)self->boot);
  replica_publish_loss (control, loss, key);
  g_free (key);
  cs_replica_loss_free (loss);
}

/* Read the row into DC_ROW, and its revision, 0 without a row.  */
static cs_status_t
dc_row_read (node_t *node, cs_ctx_t *ctx, cs_platform_t *platform,
             dc_row_t *dc_row, int64_t *revision)
{
  cs_row_t *row = NULL;
  char *key = dc_row_key (node);
  cs_status_t status = platform
                           ? cs_platform_read_row (ctx, platform, key, &row)
                           : CS_UNAVAILABLE;
  if (status == CS_OK
      && sscanf (row->value->str, "%lld %lld", &dc_row->created_ms,
                 &dc_row->last_in_service_ms)
             != 2)
    status = CS_CORRUPT;
  *revision = row ? row->revision : 0;
  cs_row_free (row);
  g_free (key);
  return status;
}

/* Read the row in the platform thread, for publish_loss_of_all.  */
static void
read_dc_row (node_t *node, cs_ctx_t *ctx, cs_platform_t *platform, void *arg)
{
  dc_row_t *dc_row = arg;
  int64_t revision;
  dc_row->status = dc_row_read (node, ctx, platform, dc_row, &revision);
  control_post (dc_row->control, publish_loss_of_all, dc_row, g_free);
}

void
dc_row_write (node_t *node, cs_ctx_t *ctx, cs_platform_t *platform, void *arg)
{
  dc_row_t dc_row = { 0 };
  int64_t revision, now_ms = cs_now_wall (ctx) / CS_MSEC;
  char value[64], *key = dc_row_key (node);
  (void)arg;
  cs_status_t status = dc_row_read (node, ctx, platform, &dc_row, &revision);
  if (status == CS_NOT_FOUND)
    dc_row.created_ms = now_ms;
  if (status == CS_OK || status == CS_NOT_FOUND)
    {
      snprintf (value, sizeof value, "%lld %lld", dc_row.created_ms,
                (long long)now_ms);
      cs_txn_condition_t condition = { .key = key, .revision = revision };
      cs_txn_write_t write = { .key = key, .value = cs_str_of (value) };
      cs_txn_t txn = { .conditions = &condition,
                       .condition_count = 1,
                       .writes = &write,
                       .write_count = 1 };
      cs_platform_commit (ctx, platform, &txn, &revision);
    }
  g_free (key);
}

void
replica_before_joining (control_t *control)
{
  GHashTable *members_in_service = handover_members_in_service (control);
  guint in_service_count = g_hash_table_size (members_in_service);
  g_hash_table_unref (members_in_service);
  if (in_service_count > 0)
    return;
  dc_row_t *dc_row = g_new0 (dc_row_t, 1);
  dc_row->control = control;
  platform_thread_post (control->node->platform_thread, read_dc_row, dc_row);
}
