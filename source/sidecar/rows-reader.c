/* Reads of the operator rows from the platform's table, by the nodes of each
   region whose turn it is.  */
#include <sodium.h>
#include <string.h>

#include "cardamom/row-order.h"
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

/* The calls that read operator rows.  */
typedef enum
{
  FIRST_READ, /* By a node that has none yet, on behalf of itself.  */
  REREAD,
  WATCH
} rows_call_t;

/* The table doesn't bring the changes since what this node holds.  */
static void
read_again (control_t *control)
{
  control->rows_overdue = true;
  if (++control->watches_refused > 1)
    rows_back_off (control);
  else
    rows_tick (control, control_now (control));
}

/* Accept the newest version of each of ROWS.  Returns whether one was new. */
static bool
accept_rows (control_t *control, rows_call_t call, GPtrArray *rows)
{
  bool changed = false;
  /* A watch brings what was written since a revision of this era.  */
  bool certain
      = call == WATCH
        || control_era_is_settled (control, control->rows_call_sent_at);
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
      changed |= rows_accept (control, copy, certain,
                              call == FIRST_READ ? NULL : &rows_whole_mesh);
    }
  return changed;
}

/* A read of all rows has brought ROWS: remove those that are no more.  */
static void
remove_unread_rows (control_t *control, rows_call_t call, GPtrArray *rows,
                    cs_revision_t revision)
{
  GHashTable *names = g_hash_table_new (g_str_hash, g_str_equal);
  for (guint i = 0; i < rows->len; i++)
    g_hash_table_add (names, ((cs_table_row_t *)rows->pdata[i])->key);
  rows_remove_missing (control, names, revision, control->rows_call_sent_at,
                       call == FIRST_READ ? NULL : &rows_whole_mesh);
  g_hash_table_unref (names);
}

/* CALL has brought ROWS, which is what the table has at REVISION, or what has
   changed there.  */
static void
handle_rows (control_t *control, rows_call_t call, GPtrArray *rows,
             cs_revision_t revision)
{
  cs_usec_t now = control_now (control);
  bool first_read = !cs_revision_is_set (control->rows_revision);
  if (call != WATCH)
    {
      remove_unread_rows (control, call, rows, revision);
      control->settle_read_due
          &= !control_era_is_settled (control, control->rows_call_sent_at);
    }
  bool changed = accept_rows (control, call, rows);
  control->rows_revision
      = call == WATCH ? cs_revision_max (control->rows_revision, revision)
                      : revision;
  if (call == WATCH)
    control->watches_refused = 0;
  control->rows_overdue = false;
  control->rows_fresh_at = control->own_read_at = now;
  if (control->rows_call_sent_at >= control->keys_settle_at)
    rows_note_keys_fresh (control, control->rows_call_sent_at);
  control->table_failures = 0;
  if (changed || first_read)
    {
      control->heartbeat_sent_at = now;
      rows_send_heartbeat (control, rows_whole_mesh, now);
    }
  rows_tick (control, now);
}

/* Handle the result of CALL.  */
static void
finish_rows_call (control_t *control, rows_call_t call, cs_status_t status,
                  GPtrArray *rows, cs_revision_t revision)
{
  control->table_call_pending = false;
  status = control_check_answer (control, status, rows, &revision);
  control_note_table (control, status);
  if (call == WATCH && status == CS_OK
      && !cs_revision_continues (control->rows_watched_after, revision))
    status = CS_NOT_FOUND;
  switch (status)
    {
    case CS_OK:
      handle_rows (control, call, rows, revision);
      break;
    case CS_NOT_FOUND:
      read_again (control);
      break;
    case CS_TOO_LARGE:
      if (!control->rows_overdue)
        {
          /* Others may have brought the rows since the watch was sent.  */
          control->rows_overdue
              = cs_revision_compare (control->rows_revision,
                                     control->rows_watched_after)
                == 0;
          rows_tick (control, control_now (control));
          break;
        }
      /* Fall through.  */
    default:
      rows_back_off (control);
    }
}

void
rows_on_read (void *user, cs_status_t status, GPtrArray *rows,
              cs_revision_t revision)
{
  control_t *control = user;
  if (status == CS_OK && startup_awaits_peers (control))
    {
      control->first_rows = g_ptr_array_ref (rows);
      control->first_rows_revision = revision;
      return;
    }
  finish_rows_call (control, FIRST_READ, status, rows, revision);
}

/* Use the first read, which has waited for the rows of other nodes.  */
static void
finish_first_read (control_t *control)
{
  GPtrArray *rows = control->first_rows;
  control->first_rows = NULL;
  finish_rows_call (control, FIRST_READ, CS_OK, rows,
                    control->first_rows_revision);
  g_ptr_array_unref (rows);
}

static void
on_reread (void *user, cs_status_t status, GPtrArray *rows,
           cs_revision_t revision)
{
  finish_rows_call (user, REREAD, status, rows, revision);
}

static void
on_changes (void *user, cs_status_t status, GPtrArray *rows,
            cs_revision_t revision)
{
  finish_rows_call (user, WATCH, status, rows, revision);
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

/* Whether all rows are to be read, rather than what has changed.  */
static bool
needs_whole_read (const control_t *control)
{
  return control->rows_overdue
         /* A watch brings each change since the last one, which a node that
            has fallen behind may not get over its link in time.  */
         || control->table_failures >= WATCH_FAILURES_MAX
         || control->rows_revision.era != control->table_era
         || (control->settle_read_due
             && control_era_is_settled (control, control_now (control)));
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
  if (is_reader && cs_revision_is_set (control->rows_revision)
      && now - control->heartbeat_sent_at
             >= CS_TABLE_READER_HEARTBEAT_INTERVAL)
    {
      control->heartbeat_sent_at = now;
      rows_send_heartbeat (control, rows_whole_mesh, now);
    }
  startup_sync_node_row (control, now);
  if (control->first_rows && !startup_awaits_peers (control))
    {
      finish_first_read (control);
      return;
    }
  if (control->table_call_pending || now < control->table_retry_at)
    return;
  if (control->startup_step < STARTUP_READ_OPERATOR_ROWS
      || !cs_revision_is_set (control->rows_revision))
    startup_run_step (control, rank, now);
  else if (is_reader)
    {
      control->acting_reader = rank > 0;
      control->table_call_pending = true;
      control->rows_call_sent_at = now;
      if (needs_whole_read (control))
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
