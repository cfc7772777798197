/* The operator rows (configuration, move requests, evacuations) that this node
   holds, and what follows from a change.  */
#include <string.h>

#include "cardamom/row-order.h"
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

/* Decode ROW, a configuration; NULL if it is malformed.  */
static cs_snapshot_t *
decode_config (control_t *control, const cs_table_row_t *row)
{
  cs_snapshot_t *snapshot;
  if (control->adapter->decode_config (
          control->ctx, cs_str_of_gstring (row->value), &snapshot)
      == CS_OK)
    return snapshot;
  cs_counter_add (CS_C_CONFIG_REFUSED, 1);
  cs_event_log (CS_E_CONFIG_BAD,
                "row=%s revision=" CS_REVISION_FORMAT " why=\"%s\"", row->key,
                CS_REVISION_ARGS (row->revision),
                cs_error_message (control->ctx));
  return NULL;
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
                "dc=%s state=%s revision=" CS_REVISION_FORMAT " evacuated=%u",
                control->adapter->evacuated_dc (row->key),
                row->value ? "begun" : "ended",
                CS_REVISION_ARGS (row->revision), dcs->len);
  g_ptr_array_add (dcs, NULL);
  cs_traffic_set_evacuated (control->traffic,
                            (char **)g_ptr_array_free (dcs, FALSE));
}

static void
note_old_row (const cs_table_row_t *held, const cs_table_row_t *row)
{
  cs_counter_add (CS_C_ROWS_OLD, 1);
  cs_event_log (CS_E_ROW_OLD,
                "row=%s revision=" CS_REVISION_FORMAT
                " held=" CS_REVISION_FORMAT,
                row->key, CS_REVISION_ARGS (row->revision),
                CS_REVISION_ARGS (held->revision));
}

bool
rows_are_equal (const cs_table_row_t *a, const cs_table_row_t *b)
{
  return a->value && b->value ? g_string_equal (a->value, b->value)
                              : a->value == b->value;
}

/* Whether ROW, which is CONFIG if that isn't NULL, takes the place of HELD,
   the row of the same key.  */
static bool
supersedes (const control_t *control, const cs_table_row_t *held,
            const cs_table_row_t *row, const cs_snapshot_t *config)
{
  bool is_document
      = control->adapter->classify_row (row->key) == CS_OPERATOR_ROW_CONFIG;
  cs_row_order_t held_order = { .revision = held->revision },
                 row_order = { .revision = row->revision };
  if (is_document && control->snapshot)
    held_order.document_version = control->snapshot->version;
  if (config)
    row_order.document_version = config->version;
  return cs_row_supersedes (&held_order, &row_order);
}

/* Whether ROW, a row that isn't a document, may be the copy's, while the
   operator has yet to write HELD, the later one, again.  */
static bool
may_be_older (const control_t *control, const cs_table_row_t *held,
              const cs_table_row_t *row)
{
  return !control_era_is_settled (control, control_now (control))
         && cs_row_may_be_older (held->revision, row->revision)
         && !rows_are_equal (held, row);
}

/* ROW is stored; EXISTED tells whether there was one before.  */
static void
apply_row (control_t *control, const cs_table_row_t *row, bool existed)
{
  switch (control->adapter->classify_row (row->key))
    {
    case CS_OPERATOR_ROW_MOVE:
      if (row->value)
        moves_handle_request (control, row);
      break;
    case CS_OPERATOR_ROW_EVACUATION:
      if (existed != (row->value != NULL))
        apply_evacuation (control, row);
      break;
    case CS_OPERATOR_ROW_CONFIG:
    case CS_OPERATOR_ROW_OTHER:
      break;
    }
}

bool
rows_accept (control_t *control, cs_table_row_t *row, bool certain,
             const rows_audience_t *audience)
{
  const cs_table_row_t *held
      = g_hash_table_lookup (control->operator_rows, row->key);
  bool is_config
      = row->value
        && control->adapter->classify_row (row->key) == CS_OPERATOR_ROW_CONFIG;
  bool is_same = held
                 && cs_revision_compare (held->revision, row->revision) == 0
                 && rows_are_equal (held, row);
  cs_snapshot_t *config
      = is_config && !is_same ? decode_config (control, row) : NULL;
  bool is_malformed = is_config && !is_same && !config;
  bool is_old
      = held && !is_same && !is_malformed
        && (!supersedes (control, held, row, config)
            || (!certain && !config && may_be_older (control, held, row)));
  if (is_same || is_old || is_malformed)
    {
      if (is_old)
        note_old_row (held, row);
      if (is_malformed && audience)
        rows_send (control, row, held, true, *audience); /* All log it.  */
      cs_counter_add (CS_C_CONFIG_STALE, is_old && config);
      cs_snapshot_drop (control->ctx, config);
      cs_table_row_free (row);
      return false;
    }
  if (audience)
    rows_send (control, row, held, certain, *audience);
  bool existed = held && held->value;
  bool is_written_again = held && rows_are_equal (held, row);
  g_hash_table_replace (control->operator_rows, row->key, row);
  if (is_written_again)
    cs_snapshot_drop (control->ctx, config);
  else if (config)
    publish (control, config);
  apply_row (control, row, existed);
  return true;
}

void
rows_remove_missing (control_t *control, GHashTable *in_table,
                     cs_revision_t revision, cs_usec_t read_at,
                     const rows_audience_t *audience)
{
  GHashTableIter iter;
  gpointer value;
  GPtrArray *missing = g_ptr_array_new ();
  bool settled = control_era_is_settled (control, read_at);
  g_hash_table_iter_init (&iter, control->operator_rows);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const cs_table_row_t *row = value;
      bool is_document = control->adapter->classify_row (row->key)
                         == CS_OPERATOR_ROW_CONFIG;
      cs_row_order_t order
          = { .revision = row->revision, .document_version = is_document };
      if (row->value && !g_hash_table_contains (in_table, row->key)
          && cs_row_is_gone (&order, revision, settled))
        g_ptr_array_add (missing, value);
    }
  for (guint i = 0; i < missing->len; i++)
    {
      const cs_table_row_t *row = missing->pdata[i];
      cs_table_row_t *removed = g_new0 (cs_table_row_t, 1);
      *removed = (cs_table_row_t){ .keyspace = CS_KEYSPACE_OPERATOR,
                                   .key = g_strdup (row->key),
                                   .revision = revision };
      rows_accept (control, removed, true, audience);
    }
  g_ptr_array_unref (missing);
}

void
rows_note_keys_fresh (control_t *control, cs_usec_t fresh_at)
{
  if (fresh_at > atomic_load (&control->keys_fresh_at))
    atomic_store (&control->keys_fresh_at, fresh_at);
}

bool
rows_view_allows_keys (const control_t *control, cs_usec_t at)
{
  cs_freshness_settings_t freshness
      = { .fail_closed = control->settings.fail_closed,
          .revoke = control->settings.revoke };
  return cs_freshness_allows_keys (&freshness,
                                   atomic_load (&control->keys_fresh_at), at);
}

void
rows_check_keys (control_t *control, cs_usec_t now)
{
  cs_usec_t fresh_at = atomic_load (&control->keys_fresh_at);
  bool closed = control->snapshot && control->snapshot->workspaces
                && !rows_view_allows_keys (control, now);
  if (closed == control->keys_closed)
    return;
  control->keys_closed = closed;
  cs_gauge_set (CS_C_G_KEYS_CLOSED, closed);
  cs_event_log (CS_E_KEYS, "state=%s view_age_ms=%" G_GINT64_FORMAT,
                closed ? "closed" : "open",
                fresh_at ? (now - fresh_at) / CS_MSEC : -1);
}
