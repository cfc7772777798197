/* Reads of the operator rows from the platform's table, by the nodes of each
   region whose turn it is.  */
#include <sodium.h>
#include <string.h>

#include "rows-internal.h"

/* Bytes of a row in an answer besides its key and its value.  */
#define ROW_OVERHEAD 100

/* A watch that has failed so often in a row is replaced by a read.  */
#define WATCH_FAILURES_MAX 2

cs_node_info_t
rows_own_info (const control_t *control)
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
  cs_node_info_t self = rows_own_info (control);
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

/* Handle the result of a call that reads operator rows.  With FORWARD, new
   ones are sent to the mesh.  */
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
          rows_send (control, copy, stored, rows_whole_mesh);
          changed = true;
        }
      rows_apply (control, copy);
    }
  control->rows_revision = MAX (control->rows_revision, revision);
  control->rows_overdue = false;
  control->rows_fresh_at = control->own_read_at = now;
  rows_note_keys_fresh (control, control->rows_call_sent_at);
  control->table_failures = 0;
  if (changed || first_read)
    {
      control->heartbeat_sent_at = now;
      rows_send_heartbeat (control, rows_whole_mesh, now);
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
  rows_remove_missing (control, names, revision);
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
      rows_send_heartbeat (control, rows_whole_mesh, now);
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
