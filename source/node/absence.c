/* The first member of a data centre that was not in service: when it last was
   is written in the platform's row "cs/dc/DC", and the records of idempotency
   keys from before are lost.  */
#include <stdio.h>

#include "keeper-internal.h"

#define BOOTSTRAP_MS 15000 /* Nodes of a new data centre start within it.  */

/* What the row "cs/dc/DC" says: when the data centre was first in service
   and when it last was, as "CREATED_MS ALIVE_MS".  */
typedef struct
{
  control_t *control;
  cs_status_t status;
  long long created_ms, alive_ms;
} alive_t;

static char *
alive_key (const node_t *node)
{
  return g_strconcat ("cs/dc/", node->settings.dc, NULL);
}

static void
judge_absence (control_t *control, void *arg)
{
  alive_t *a = arg;
  const cs_member_t *self = cs_members_self (control->members);
  int64_t now_ms = cs_now_wall (control->ctx) / CS_MSEC;
  int64_t retention_ms
      = control->node->settings.idempotency_retention_s * 1000;
  bool fresh = a->status == CS_NOT_FOUND
               || (a->status == CS_OK
                   && a->created_ms >= (int64_t)self->boot - BOOTSTRAP_MS);
  int64_t until
      = a->status == CS_OK
            ? a->alive_ms + 2 * ALIVE_INTERVAL / CS_MSEC + retention_ms
            : now_ms + retention_ms;
  if (fresh || until <= now_ms)
    return;
  cs_replica_loss_t *loss = cs_replica_loss_new (until, true);
  char *key = g_strdup_printf ("%s all %llu", control->node->settings.dc,
                               (unsigned long long)self->boot);
  keeper_publish_loss (control, loss, key);
  g_free (key);
  cs_replica_loss_free (loss);
}

static cs_status_t
read_alive (node_t *node, cs_ctx_t *ctx, cs_platform_t *platform, alive_t *a,
            int64_t *revision)
{
  cs_row_t *row = NULL;
  char *key = alive_key (node);
  cs_status_t status = platform
                           ? cs_platform_read_row (ctx, platform, key, &row)
                           : CS_UNAVAILABLE;
  if (status == CS_OK
      && sscanf (row->value->str, "%lld %lld", &a->created_ms, &a->alive_ms)
             != 2)
    status = CS_CORRUPT;
  *revision = row ? row->revision : 0;
  cs_row_free (row);
  g_free (key);
  return status;
}

static void
check_absence (node_t *node, cs_ctx_t *ctx, cs_platform_t *platform, void *arg)
{
  alive_t *a = arg;
  int64_t revision;
  a->status = read_alive (node, ctx, platform, a, &revision);
  control_post (a->control, judge_absence, a, g_free);
}

void
keeper_write_alive (node_t *node, cs_ctx_t *ctx, cs_platform_t *platform,
                    void *arg)
{
  alive_t a = { 0 };
  int64_t revision, now_ms = cs_now_wall (ctx) / CS_MSEC;
  char text[64], *key = alive_key (node);
  (void)arg;
  cs_status_t status = read_alive (node, ctx, platform, &a, &revision);
  if (status == CS_NOT_FOUND)
    a.created_ms = now_ms;
  if (status == CS_OK || status == CS_NOT_FOUND)
    {
      snprintf (text, sizeof text, "%lld %lld", a.created_ms,
                (long long)now_ms);
      cs_txn_condition_t condition = { .key = key, .revision = revision };
      cs_txn_write_t write = { .key = key, .value = cs_str_of (text) };
      cs_txn_t txn = { .conditions = &condition,
                       .condition_count = 1,
                       .writes = &write,
                       .write_count = 1 };
      cs_platform_commit (ctx, platform, &txn, &revision);
    }
  g_free (key);
}

void
keeper_joined (control_t *control)
{
  GHashTable *serving = keeper_members_in_service (control);
  guint others = g_hash_table_size (serving);
  g_hash_table_unref (serving);
  if (others > 0)
    return;
  alive_t *a = g_new0 (alive_t, 1);
  a->control = control;
  store_post (control->node->store, check_absence, a);
}
