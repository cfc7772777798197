/* The operator rows (configuration, move requests, evacuations) that this node
   holds, and what follows from a change.  */
#include <string.h>

#include "rows-internal.h"

/* Limits on callers where the configuration gives none.  */
#define HEAD_MAX_DEFAULT 16384       /* Bytes.  */
#define BODY_MAX_DEFAULT (64u << 20) /* Bytes.  */
#define HEAD_TIMEOUT_DEFAULT_MS 3000
#define IDLE_TIMEOUT_DEFAULT_MS 15000

static void
set_limits (control_t *control, const cs_request_limits_t *configured)
{
  cs_http1_server_limits_t limits
      = { .connections_max = (unsigned)(control->settings.max_fds * 6 / 10),
          .head_max = configured->max_header_bytes > 0
                          ? (size_t)configured->max_header_bytes
                          : HEAD_MAX_DEFAULT,
          .body_max = configured->max_body_bytes > 0
                          ? (size_t)configured->max_body_bytes
                          : BODY_MAX_DEFAULT,
          .head_timeout
          = (configured->header_timeout_ms > 0 ? configured->header_timeout_ms
                                               : HEAD_TIMEOUT_DEFAULT_MS)
            * CS_MSEC,
          .idle_timeout
          = (configured->idle_timeout_ms > 0 ? configured->idle_timeout_ms
                                             : IDLE_TIMEOUT_DEFAULT_MS)
            * CS_MSEC };
  cs_traffic_set_limits (control->traffic, &limits);
}

static void
publish (control_t *control, cs_snapshot_t *snapshot)
{
  cs_snapshot_t *previous = control->snapshot;
  rcu_set_pointer (&control->snapshot, snapshot);
  set_limits (control, &snapshot->limits);
  if (previous)
    {
      synchronize_rcu ();
      cs_snapshot_drop (control->ctx, previous);
    }
  cs_counter_add (CS_C_CONFIG_APPLIED, 1);
  cs_gauge_set (CS_C_G_CONFIG_VERSION, (uint64_t)snapshot->version);
  cs_event_log (CS_E_CONFIG,
                "version=%" G_GINT64_FORMAT " routes=%u services=%u",
                snapshot->version, snapshot->routes->len,
                g_hash_table_size (snapshot->services));
}

static void
apply_config (control_t *control, const cs_table_row_t *row)
{
  cs_snapshot_t *snapshot;
  if (control->adapter->decode_config (
          control->ctx, cs_str_of_gstring (row->value), &snapshot)
      != CS_OK)
    {
      cs_counter_add (CS_C_CONFIG_REFUSED, 1);
      cs_event_log (CS_E_CONFIG_BAD,
                    "row=%s revision=%" G_GINT64_FORMAT " why=\"%s\"",
                    row->key, row->revision, cs_error_message (control->ctx));
      return;
    }
  if (control->snapshot && snapshot->version <= control->snapshot->version)
    {
      cs_counter_add (CS_C_CONFIG_STALE, 1);
      cs_snapshot_drop (control->ctx, snapshot);
      return;
    }
  publish (control, snapshot);
}

/* Tell the traffic thread which data centres are evacuated.  ROW, which is
   stored, has brought a change.  */
static void
apply_evacuation (control_t *control, const cs_table_row_t *row)
{
  GHashTableIter iter;
  gpointer value;
  GPtrArray *dcs = g_ptr_array_new ();
  g_hash_table_iter_init (&iter, control->operator_rows);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const cs_table_row_t *held = value;
      const char *dc = control->adapter->evacuated_dc (held->key);
      if (dc && held->value)
        g_ptr_array_add (dcs, g_strdup (dc));
    }
  cs_gauge_set (CS_C_G_EVACUATED, dcs->len);
  cs_event_log (CS_E_EVACUATION,
                "dc=%s state=%s revision=%" G_GINT64_FORMAT " evacuated=%u",
                control->adapter->evacuated_dc (row->key),
                row->value ? "begun" : "ended", row->revision, dcs->len);
  g_ptr_array_add (dcs, NULL);
  cs_traffic_set_evacuated (control->traffic,
                            (char **)g_ptr_array_free (dcs, FALSE));
}

static void
note_old_row (const cs_table_row_t *stored, const cs_table_row_t *row)
{
  cs_counter_add (CS_C_ROWS_OLD, 1);
  cs_event_log (CS_E_ROW_OLD,
                "row=%s revision=%" G_GINT64_FORMAT " held=%" G_GINT64_FORMAT,
                row->key, row->revision, stored->revision);
}

void
rows_apply (control_t *control, cs_table_row_t *row)
{
  const cs_table_row_t *stored
      = g_hash_table_lookup (control->operator_rows, row->key);
  if (stored && stored->revision >= row->revision)
    {
      if (stored->revision > row->revision)
        note_old_row (stored, row);
      cs_table_row_free (row);
      return;
    }
  bool existed = stored && stored->value;
  g_hash_table_replace (control->operator_rows, row->key, row);
  cs_operator_row_kind_t kind = control->adapter->classify_row (row->key);
  if (kind == CS_OPERATOR_ROW_EVACUATION && existed != (row->value != NULL))
    apply_evacuation (control, row);
  if (!row->value)
    return;
  switch (kind)
    {
    case CS_OPERATOR_ROW_CONFIG:
      apply_config (control, row);
      break;
    case CS_OPERATOR_ROW_MOVE:
      moves_handle_request (control, row);
      break;
    case CS_OPERATOR_ROW_EVACUATION:
    case CS_OPERATOR_ROW_OTHER:
      break;
    }
}

void
rows_remove_missing (control_t *control, GHashTable *in_table,
                     int64_t revision)
{
  GHashTableIter iter;
  gpointer value;
  GPtrArray *missing = g_ptr_array_new ();
  g_hash_table_iter_init (&iter, control->operator_rows);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const cs_table_row_t *row = value;
      if (row->value && row->revision <= revision
          && !g_hash_table_contains (in_table, row->key))
        g_ptr_array_add (missing, value);
    }
  for (guint i = 0; i < missing->len; i++)
    {
      const cs_table_row_t *row = missing->pdata[i];
      cs_table_row_t *removed = g_new0 (cs_table_row_t, 1);
      *removed = (cs_table_row_t){ .keyspace = CS_KEYSPACE_OPERATOR,
                                   .key = g_strdup (row->key),
                                   .revision = row->revision + 1 };
      rows_apply (control, removed);
    }
  g_ptr_array_unref (missing);
}

void
rows_note_keys_fresh (control_t *control, cs_usec_t fresh_at)
{
  if (fresh_at > atomic_load (&control->keys_fresh_at))
    atomic_store (&control->keys_fresh_at, fresh_at);
}

void
rows_check_keys (control_t *control, cs_usec_t now)
{
  cs_freshness_settings_t freshness
      = { .fail_closed = control->settings.fail_closed,
          .revoke = control->settings.revoke };
  cs_usec_t fresh_at = atomic_load (&control->keys_fresh_at);
  bool closed = control->snapshot && control->snapshot->workspaces
                && !cs_freshness_allows_keys (&freshness, fresh_at, now);
  if (closed == control->keys_closed)
    return;
  control->keys_closed = closed;
  cs_gauge_set (CS_C_G_KEYS_CLOSED, closed);
  cs_event_log (CS_E_KEYS, "state=%s view_age_ms=%" G_GINT64_FORMAT,
                closed ? "closed" : "open",
                fresh_at ? (now - fresh_at) / CS_MSEC : -1);
}
