#include <string.h>

#include "cardamom/counters.h"
#include "cardamom/platform.h"
#include "cardamom/registry.h"

cs_row_t *
cs_row_new (const char *key, cs_str_t value, int64_t revision)
{
  cs_row_t *row = g_new0 (cs_row_t, 1);
  row->key = g_strdup (key);
  row->value = g_string_new_len (value.data, (gssize)value.len);
  row->revision = revision;
  return row;
}

void
cs_row_free (void *data)
{
  cs_row_t *row = data;
  if (!row)
    return;
  g_free (row->key);
  g_string_free (row->value, TRUE);
  g_free (row);
}

GPtrArray *
cs_rows_new (void)
{
  return g_ptr_array_new_with_free_func (cs_row_free);
}

cs_status_t
cs_platform_open (cs_ctx_t *ctx, const char *name, const char *address,
                  cs_platform_t **platform)
{
  const void *vtable;
  cs_status_t status = cs_plugin_find (ctx, CS_PLUGIN_PLATFORM, name, &vtable);
  if (status != CS_OK)
    return status;
  return ((const cs_platform_vtable_t *)vtable)->open (ctx, address, platform);
}

void
cs_platform_drop (cs_ctx_t *ctx, cs_platform_t *platform)
{
  if (platform)
    platform->vtable->drop (ctx, platform);
}

static cs_status_t
read_range_counted (cs_ctx_t *ctx, cs_platform_t *platform,
                    const cs_range_query_t *range, GPtrArray *rows,
                    int64_t *revision)
{
  cs_counter_add (CS_C_STORE_READS, 1);
  cs_status_t status
      = platform->vtable->read_range (ctx, platform, range, rows, revision);
  if (status != CS_OK)
    cs_counter_add (CS_C_STORE_ERRORS, 1);
  return status;
}

cs_status_t
cs_platform_read_row (cs_ctx_t *ctx, cs_platform_t *platform, const char *key,
                      cs_row_t **row)
{
  int64_t revision;
  GPtrArray *rows = cs_rows_new ();
  cs_status_t status = read_range_counted (
      ctx, platform, &(cs_range_query_t){ .first_key = key }, rows, &revision);
  if (status == CS_OK && rows->len == 0)
    status = cs_fail (ctx, CS_NOT_FOUND, "the table has no row '%s'", key);
  if (status == CS_OK)
    *row = g_ptr_array_steal_index (rows, 0);
  g_ptr_array_unref (rows);
  return status;
}

cs_status_t
cs_platform_read_prefix (cs_ctx_t *ctx, cs_platform_t *platform,
                         const char *prefix, GPtrArray *rows,
                         int64_t *revision)
{
  char *end = g_strdup (prefix);
  end[strlen (end) - 1]++;
  cs_range_query_t range = { .first_key = prefix, .end_key = end };
  cs_status_t status
      = read_range_counted (ctx, platform, &range, rows, revision);
  g_free (end);
  return status;
}

cs_status_t
cs_platform_commit (cs_ctx_t *ctx, cs_platform_t *platform,
                    const cs_txn_t *txn, int64_t *revision)
{
  cs_counter_add (CS_C_STORE_WRITES, 1);
  cs_status_t status = platform->vtable->commit (ctx, platform, txn, revision);
  if (status != CS_OK && status != CS_CONFLICT)
    cs_counter_add (CS_C_STORE_ERRORS, 1);
  return status;
}
