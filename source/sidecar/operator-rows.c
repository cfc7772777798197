/* The operator rows (configuration and move requests).  One node of the region
   reads them from the platform's table and sends them to the others; every
   node applies them.  */
#include <sodium.h>
#include <string.h>

#include "cardamom/delta.h"
#include "control.h"

/* Shortest time between two requests for rows to other nodes.  */
#define REQUEST_INTERVAL (150 * CS_MSEC)
/* A node whose own last read is older counts as cut off from the table.  */
#define OWN_READ_AGE_MAX (1500 * CS_MSEC)
/* A heartbeat is ignored when it reports that its sender's rows were last up
   to date longer ago.  */
#define REPORTED_ROWS_AGE_MAX (3600 * CS_SEC)

/* Limits on callers where the configuration gives none.  */
#define HEAD_MAX_DEFAULT 16384       /* Bytes.  */
#define BODY_MAX_DEFAULT (64u << 20) /* Bytes.  */
#define HEAD_TIMEOUT_DEFAULT_MS 3000
#define IDLE_TIMEOUT_DEFAULT_MS 15000

/* Bytes of a row in an answer besides its key and its value.  */
#define ROW_OVERHEAD 100

/* A watch that has failed so often in a row is replaced by a read.  */
#define WATCH_FAILURES_MAX 2

/* Who is sent a row or a heartbeat: NODE, or with NODE NULL all nodes of the
   region, or with MESH also the reader of each other region, which passes it
   on there.  */
typedef struct
{
  const char *node;
  bool mesh;
} rows_audience_t;

static const rows_audience_t own_region, whole_mesh = { .mesh = true };

/* What of this node decides whether it is asked to read the table.  */
static cs_node_info_t
own_reader_info (const control_t *control)
{
  cs_node_info_t self = { .link_mbps = (int64_t)control->settings.link_mbps };
  g_strlcpy (self.name, control->settings.node, sizeof self.name);
  return self;
}

unsigned
rows_reader_rank (const control_t *control, bool include_unreachable)
{
  GHashTableIter iter;
  gpointer value;
  unsigned rank = 0;
  cs_node_info_t self = own_reader_info (control);
  g_hash_table_iter_init (&iter, control->members);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const member_info_t *info = value;
      const cs_node_info_t *member = &info->member;
      rank += (info->reachable || include_unreachable) && !member->stopping
              && strcmp (member->region, control->settings.region) == 0
              && cs_node_reads_before (member, &self);
    }
  return rank;
}

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

/* Store ROW and apply it, unless it is no newer than the stored one.  Takes
   ownership of ROW.  */
static void
apply_row (control_t *control, cs_table_row_t *row)
{
  const cs_table_row_t *stored
      = g_hash_table_lookup (control->operator_rows, row->key);
  if (stored && stored->revision >= row->revision)
    {
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

/* Remove the rows that are no newer than REVISION and are not IN_TABLE, a set
   of the keys of all rows at that revision: the change that removed them was
   missed.  */
static void
remove_missing_rows (control_t *control, GHashTable *in_table,
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
      apply_row (control, removed);
    }
  g_ptr_array_unref (missing);
}

/* The reachable node of each other region that reads the table there: region
   -> cs_node_info_t *, borrowed from the members.  */
static GHashTable *
other_readers (const control_t *control)
{
  GHashTableIter iter;
  gpointer value;
  GHashTable *readers = g_hash_table_new (g_str_hash, g_str_equal);
  g_hash_table_iter_init (&iter, control->members);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const member_info_t *info = value;
      const cs_node_info_t *member = &info->member;
      const cs_node_info_t *first
          = g_hash_table_lookup (readers, member->region);
      if (info->reachable && !member->stopping
          && strcmp (member->region, control->settings.region) != 0
          && (!first || cs_node_reads_before (member, first)))
        g_hash_table_replace (readers, (gpointer)member->region,
                              (gpointer)member);
    }
  return readers;
}

static void
send_to_mesh (control_t *control, cs_str_t payload)
{
  GHashTableIter iter;
  gpointer value;
  GHashTable *readers = other_readers (control);
  cs_traffic_send_control (control->traffic, NULL, control->settings.region,
                           payload);
  g_hash_table_iter_init (&iter, readers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    cs_traffic_send_control (control->traffic,
                             ((const cs_node_info_t *)value)->name, NULL,
                             payload);
  g_hash_table_unref (readers);
}

static void
send_payload (control_t *control, rows_audience_t audience, cs_str_t payload)
{
  if (audience.mesh)
    send_to_mesh (control, payload);
  else
    cs_traffic_send_control (control->traffic, audience.node,
                             control->settings.region, payload);
}

/* Send ROW as a delta from BASE, the row's previous value; with BASE NULL the
   delta is from an empty value.  */
static void
send_row (control_t *control, const cs_table_row_t *row,
          const cs_table_row_t *base, rows_audience_t audience)
{
  cs_pack_t pack;
  bool has_base = base && base->value && row->value;
  GString *delta
      = row->value ? cs_delta_make (has_base ? cs_str_of_gstring (base->value)
                                             : CS_STR (""),
                                    cs_str_of_gstring (row->value))
                   : NULL;
  if (row->value && !delta)
    {
      cs_event_log (CS_E_CONFIG_BAD,
                    "row=%s why=\"too large to send to other nodes\"",
                    row->key);
      return;
    }
  cs_pack_init (&pack);
  cs_pack_array (&pack, 6);
  cs_pack_int64 (&pack, CS_FRAME_ROW);
  cs_pack_text (&pack, row->key);
  cs_pack_int64 (&pack, row->revision);
  cs_pack_int64 (&pack, row->value != NULL);
  cs_pack_int64 (&pack, has_base ? base->revision : 0);
  cs_pack_bytes (&pack, delta ? cs_str_of_gstring (delta) : CS_STR (""));
  send_payload (control, audience, cs_pack_payload (&pack));
  cs_pack_clear (&pack);
  if (delta)
    g_string_free (delta, TRUE);
}

/* The sum of the revisions of all operator rows that exist, by which two nodes
   compare the rows that they hold.  */
static int64_t
rows_digest (const control_t *control)
{
  GHashTableIter iter;
  gpointer row;
  int64_t digest = 0;
  g_hash_table_iter_init (&iter, control->operator_rows);
  while (g_hash_table_iter_next (&iter, NULL, &row))
    if (((const cs_table_row_t *)row)->value)
      digest += ((const cs_table_row_t *)row)->revision;
  return digest;
}

/* Report how up to date the rows of this node are.  */
static void
send_heartbeat (control_t *control, rows_audience_t audience, cs_usec_t now)
{
  cs_pack_t pack;
  cs_pack_init (&pack);
  cs_pack_array (&pack, 7);
  cs_pack_int64 (&pack, CS_FRAME_ROWS_FRESHNESS);
  cs_pack_int64 (&pack, control->rows_revision);
  cs_pack_int64 (&pack, rows_digest (control));
  cs_pack_int64 (&pack, now - control->rows_fresh_at);
  cs_pack_int64 (&pack, now - control->own_read_at < OWN_READ_AGE_MAX);
  cs_pack_int64 (&pack, now - atomic_load (&control->keys_fresh_at));
  cs_pack_int64 (&pack, now);
  send_payload (control, audience, cs_pack_payload (&pack));
  cs_pack_clear (&pack);
}

/* Tell NODE the names of all rows of this node, which it has been sent.  */
static void
send_row_names (control_t *control, const char *node)
{
  GHashTableIter iter;
  gpointer value;
  cs_pack_t pack;
  unsigned count = 0;
  g_hash_table_iter_init (&iter, control->operator_rows);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    count += ((const cs_table_row_t *)value)->value != NULL;
  cs_pack_init (&pack);
  cs_pack_array (&pack, 2 + count);
  cs_pack_int64 (&pack, CS_FRAME_ROWS_COMPLETE);
  cs_pack_int64 (&pack, control->rows_revision);
  g_hash_table_iter_init (&iter, control->operator_rows);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((const cs_table_row_t *)value)->value)
      cs_pack_text (&pack, ((const cs_table_row_t *)value)->key);
  cs_traffic_send_control (control->traffic, node, NULL,
                           cs_pack_payload (&pack));
  cs_pack_clear (&pack);
}

void
rows_handle_complete (control_t *control, cs_unpack_cursor_t *in)
{
  int64_t revision = cs_unpack_int64 (in);
  GHashTable *names
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  while (in->remaining && !in->failed)
    g_hash_table_add (names, cs_unpack_text (in));
  if (!in->failed)
    remove_missing_rows (control, names, revision);
  g_hash_table_unref (names);
}

void
rows_send_all (control_t *control, const char *node)
{
  GHashTableIter iter;
  gpointer row;
  if (!control->rows_revision)
    return;
  g_hash_table_iter_init (&iter, control->operator_rows);
  while (g_hash_table_iter_next (&iter, NULL, &row))
    send_row (control, row, NULL, (rows_audience_t){ .node = node });
  send_row_names (control, node);
  send_heartbeat (control, (rows_audience_t){ .node = node },
                  control_now (control));
}

void
rows_request (control_t *control, const char *node)
{
  cs_pack_t pack;
  cs_usec_t now = control_now (control);
  if (now - control->rows_requested_at < REQUEST_INTERVAL)
    return;
  control->rows_requested_at = now;
  cs_pack_init (&pack);
  cs_pack_array (&pack, 1);
  cs_pack_int64 (&pack, CS_FRAME_ROWS_REQUEST);
  cs_traffic_send_control (control->traffic, node, NULL,
                           cs_pack_payload (&pack));
  cs_pack_clear (&pack);
}

/* Apply DELTA to the row KEY at revision BASE (0: to an empty value).  NULL
   when this node does not hold that revision, or DELTA is malformed.  */
static GString *
value_from_delta (control_t *control, const char *key, int64_t base,
                  cs_str_t delta)
{
  const cs_table_row_t *stored
      = g_hash_table_lookup (control->operator_rows, key);
  GString *value;
  if (base && (!stored || !stored->value || stored->revision != base))
    return NULL;
  cs_str_t before = base ? cs_str_of_gstring (stored->value) : CS_STR ("");
  return cs_delta_apply (control->ctx, before, delta, &value) == CS_OK ? value
                                                                       : NULL;
}

/* Whether the node NAME is in another region.  */
static bool
is_elsewhere (const control_t *control, const char *name)
{
  const member_info_t *info = g_hash_table_lookup (control->members, name);
  return info && strcmp (info->member.region, control->settings.region) != 0;
}

void
rows_handle_row (control_t *control, const char *from, cs_unpack_cursor_t *in)
{
  cs_table_row_t *row = g_new0 (cs_table_row_t, 1);
  row->keyspace = CS_KEYSPACE_OPERATOR;
  row->key = cs_unpack_text (in);
  row->revision = cs_unpack_int64 (in);
  bool exists = cs_unpack_int64 (in) != 0;
  int64_t base = cs_unpack_int64 (in);
  cs_str_t delta = cs_unpack_str (in);
  const cs_table_row_t *stored
      = g_hash_table_lookup (control->operator_rows, row->key);
  bool is_newer = !in->failed && (!stored || stored->revision < row->revision);
  if (is_newer && exists)
    row->value = value_from_delta (control, row->key, base, delta);
  if (is_newer && (row->value || !exists))
    {
      if (is_elsewhere (control, from))
        send_row (control, row, stored, own_region);
      apply_row (control, row);
      return;
    }
  if (is_newer)
    rows_request (control, from);
  cs_table_row_free (row);
}

/* OPERATOR_ROWS hold all that was acknowledged before FRESH_AT.  */
static void
note_keys_fresh (control_t *control, cs_usec_t fresh_at)
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

/* How much longer than the fastest one a heartbeat took that the process of
   SENDER sent at SENT_AT, by its clock.  */
static cs_usec_t
heartbeat_delay (control_t *control, const cs_node_info_t *sender,
                 cs_usec_t sent_at)
{
  heartbeat_path_t *known
      = g_hash_table_lookup (control->heartbeat_paths, sender->name);
  if (!known)
    {
      known = g_new0 (heartbeat_path_t, 1);
      g_hash_table_insert (control->heartbeat_paths, g_strdup (sender->name),
                           known);
    }
  if (known->boot_ms != sender->boot_ms)
    *known = (heartbeat_path_t){ .boot_ms = sender->boot_ms };
  return cs_transit_path_delay (&known->path, sent_at, control_now (control));
}

void
rows_handle_freshness (control_t *control, const char *from,
                       cs_unpack_cursor_t *in)
{
  int64_t revision = cs_unpack_int64 (in);
  int64_t digest = cs_unpack_int64 (in);
  cs_usec_t age = cs_unpack_int64 (in);
  bool reads_table = cs_unpack_int64 (in) != 0;
  /* Earlier releases do not send them.  */
  bool names_keys = in->remaining >= 2;
  cs_usec_t keys_age = names_keys ? cs_unpack_int64 (in) : 0;
  cs_usec_t sent_at = names_keys ? cs_unpack_int64 (in) : 0;
  if (in->failed || age < 0 || age > REPORTED_ROWS_AGE_MAX)
    return;
  const member_info_t *reader = g_hash_table_lookup (control->members, from);
  cs_node_info_t self = own_reader_info (control);
  bool elsewhere = is_elsewhere (control, from);
  if (!elsewhere)
    control->heartbeat_received_at = control_now (control);
  if (reads_table && reader && !elsewhere
      && cs_node_reads_before (&reader->member, &self))
    control->acting_reader = false;
  if ((!control->rows_revision || revision > control->rows_revision)
      && digest != rows_digest (control))
    {
      /* FROM sent a row to the region before its connection to this node was
         open, so that the row is missing here.  */
      rows_request (control, from);
      return;
    }
  if (!control->rows_revision && !control->snapshot)
    return;
  bool has_advanced = revision > control->rows_revision;
  control->rows_revision = MAX (control->rows_revision, revision);
  control->rows_fresh_at
      = MAX (control->rows_fresh_at, control_now (control) - age);
  if (names_keys && reader)
    note_keys_fresh (
        control, control_now (control) - MAX (keys_age, 0)
                     - heartbeat_delay (control, &reader->member, sent_at));
  if (has_advanced && elsewhere)
    send_heartbeat (control, own_region, control_now (control));
}

void
control_note_table (control_t *control, cs_status_t status)
{
  bool up = status == CS_OK || status == CS_CONFLICT || status == CS_NOT_FOUND
            || status == CS_TOO_LARGE;
  if (up != control->table_up)
    cs_event_log (CS_E_STORE, "state=%s status=%s seen=%" G_GINT64_FORMAT,
                  up ? "regained" : "lost", cs_status_name (status),
                  control->rows_revision);
  control->table_up = up;
}

/* Whether an entry of ROWS after index I holds the same key.  */
static bool
is_superseded (const GPtrArray *rows, guint i)
{
  const cs_table_row_t *row = rows->pdata[i];
  for (guint j = i + 1; j < rows->len; j++)
    {
      const cs_table_row_t *later = rows->pdata[j];
      if (later->keyspace == row->keyspace
          && strcmp (later->key, row->key) == 0)
        return true;
    }
  return false;
}

void
rows_back_off (control_t *control)
{
  double jitter = g_rand_double_range (control->ctx->random, 0.75, 1.25);
  control->acting_reader = false;
  cs_usec_t delay = cs_table_reader_retry_delay (
      rows_reader_rank (control, false), ++control->table_failures);
  control->table_retry_at
      = control_now (control) + (cs_usec_t)((double)delay * jitter);
}

/* Replace the keys of workspaces in ROW, if it is a configuration, by their
   digests, before it is stored or sent.  */
static void
redact_row (const control_t *control, cs_table_row_t *row)
{
  const cs_adapter_vtable_t *adapter = control->adapter;
  GString *redacted
      = row->value
                && adapter->classify_row (row->key) == CS_OPERATOR_ROW_CONFIG
            ? adapter->redact_config (cs_str_of_gstring (row->value))
            : NULL;
  if (!redacted)
    return;
  sodium_memzero (row->value->str, row->value->len);
  g_string_free (row->value, TRUE);
  row->value = redacted;
}

/* Handle the result of a read of all rows or, with FORWARD, of a watch, whose
   rows are sent to the region.  */
static void
handle_rows (control_t *control, cs_status_t status, GPtrArray *rows,
             int64_t revision, bool forward)
{
  cs_usec_t now = control_now (control);
  control->table_call_pending = false;
  control_note_table (control, status);
  if (status == CS_NOT_FOUND)
    {
      control->rows_revision = 0; /* Read the whole keyspace again.  */
      control->rows_awaited_since = 0;
      return;
    }
  if (status == CS_TOO_LARGE && !control->rows_overdue)
    {
      /* Others may have brought the rows since the watch was sent.  */
      control->rows_overdue
          = control->rows_revision == control->rows_watched_after;
      rows_tick (control, now);
      return;
    }
  if (status != CS_OK)
    {
      rows_back_off (control);
      return;
    }
  bool changed = false, first_read = !control->rows_revision;
  for (guint i = 0; i < rows->len; i++)
    {
      cs_table_row_t *row = rows->pdata[i];
      if (row->keyspace != CS_KEYSPACE_OPERATOR || is_superseded (rows, i))
        continue;
      cs_table_row_t *copy = g_new0 (cs_table_row_t, 1);
      *copy = (cs_table_row_t){ .keyspace = row->keyspace,
                                .key = g_strdup (row->key),
                                .value = row->value,
                                .revision = row->revision };
      row->value = NULL;
      redact_row (control, copy);
      const cs_table_row_t *stored
          = g_hash_table_lookup (control->operator_rows, copy->key);
      if (forward && (!stored || stored->revision < copy->revision))
        {
          send_row (control, copy, stored, whole_mesh);
          changed = true;
        }
      apply_row (control, copy);
    }
  control->rows_revision = MAX (control->rows_revision, revision);
  control->rows_overdue = false;
  control->rows_fresh_at = control->own_read_at = now;
  note_keys_fresh (control, control->rows_call_sent_at);
  control->table_failures = 0;
  if (changed || first_read)
    {
      control->heartbeat_sent_at = now;
      send_heartbeat (control, whole_mesh, now);
    }
  rows_tick (control, now);
}

/* A read of all rows has succeeded if STATUS is CS_OK: remove those that are
   no more.  */
static void
remove_unread_rows (control_t *control, cs_status_t status, GPtrArray *rows,
                    int64_t revision)
{
  if (status != CS_OK)
    return;
  GHashTable *names = g_hash_table_new (g_str_hash, g_str_equal);
  for (guint i = 0; i < rows->len; i++)
    g_hash_table_add (names, ((cs_table_row_t *)rows->pdata[i])->key);
  remove_missing_rows (control, names, revision);
  g_hash_table_unref (names);
}

void
rows_on_read (void *user, cs_status_t status, GPtrArray *rows,
              int64_t revision)
{
  remove_unread_rows (user, status, rows, revision);
  handle_rows (user, status, rows, revision, false);
}

static void
on_reread (void *user, cs_status_t status, GPtrArray *rows, int64_t revision)
{
  remove_unread_rows (user, status, rows, revision);
  handle_rows (user, status, rows, revision, true);
}

static void
on_changes (void *user, cs_status_t status, GPtrArray *rows, int64_t revision)
{
  handle_rows (user, status, rows, revision, true);
}

/* The size of the answer to a read of all operator rows, roughly.  */
static size_t
all_rows_bytes (const control_t *control)
{
  GHashTableIter iter;
  gpointer value;
  size_t total = 0;
  g_hash_table_iter_init (&iter, control->operator_rows);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const cs_table_row_t *row = value;
      if (row->value)
        total += strlen (row->key) + row->value->len * 4 / 3 + ROW_OVERHEAD;
    }
  return total;
}

void
rows_tick (control_t *control, cs_usec_t now)
{
  unsigned rank = rows_reader_rank (control, false);
  /* A node that took over as reader goes on until one of lower rank reads
     again.  */
  bool is_reader
      = control->acting_reader
        || cs_table_reader_should_read (rank, now - control->rows_fresh_at,
                                        now - control->heartbeat_received_at);
  /* Others may have the rows before this node's own calls succeed.  */
  if (!control->snapshot
      && (control->startup_step < STARTUP_READ_OPERATOR_ROWS
              ? control->table_failures
              : control->table_call_pending))
    startup_request_rows (control);
  if (is_reader && control->rows_revision
      && now - control->heartbeat_sent_at
             >= CS_TABLE_READER_HEARTBEAT_INTERVAL)
    {
      control->heartbeat_sent_at = now;
      send_heartbeat (control, whole_mesh, now);
    }
  startup_sync_node_row (control, now);
  if (control->table_call_pending || now < control->table_retry_at)
    return;
  if (control->startup_step < STARTUP_READ_OPERATOR_ROWS
      || !control->rows_revision)
    startup_run_step (control, rank, now);
  else if (is_reader)
    {
      control->acting_reader = rank > 0;
      control->table_call_pending = true;
      control->rows_call_sent_at = now;
      /* A watch brings each change since the last one, which a node that has
         fallen behind may not get over its link in time.  */
      if (control->rows_overdue
          || control->table_failures >= WATCH_FAILURES_MAX)
        control->table->vtable->read (control->table, CS_KEYSPACE_OPERATOR,
                                      on_reread, control);
      else
        {
          control->rows_watched_after = control->rows_revision;
          control->table->vtable->watch (
              control->table, CS_KEYSPACE_OPERATOR, control->rows_revision,
              CS_TABLE_WATCH_TIMEOUT,
              cs_table_reader_watch_max (all_rows_bytes (control)), on_changes,
              control);
        }
    }
}
