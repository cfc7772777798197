/* Crash records of requests in quarantine, in the platform's table.  A node
   that starts after all nodes have ended reads them there.  */
#include <string.h>

#include "control.h"

#define WRITE_RETRY_INTERVAL (500 * CS_MSEC)
/* Records that wait to be written while the table is away.  */
#define WAITING_MAX 256

void
crash_rows_store (control_t *control, cs_record_t *record)
{
  if (control->crash_rows.length >= WAITING_MAX)
    {
      cs_event_log (CS_E_STORE, "row=%s%s state=dropped why=\"%d wait\"",
                    KEY_CRASH_PREFIX, record->key, WAITING_MAX);
      cs_record_free (record);
      return;
    }
  g_queue_push_tail (&control->crash_rows, record);
  crash_rows_tick (control, control_now (control));
}

static void
on_written (void *user, cs_status_t status, GPtrArray *rows,
            cs_revision_t revision)
{
  control_t *control = user;
  status = control_check_answer (control, status, rows, &revision);
  control->crash_row_writing = false;
  if (status == CS_OK)
    cs_record_free (g_queue_pop_head (&control->crash_rows));
  else
    control->crash_row_retry_at = control_now (control) + WRITE_RETRY_INTERVAL;
  crash_rows_tick (control, control_now (control));
}

void
crash_rows_tick (control_t *control, cs_usec_t now)
{
  const cs_record_t *record = g_queue_peek_head (&control->crash_rows);
  cs_pack_t pack;
  if (!record || control->crash_row_writing
      || now < control->crash_row_retry_at)
    return;
  control->crash_row_writing = true;
  char *key = g_strconcat (KEY_CRASH_PREFIX, record->key, NULL);
  cs_pack_init (&pack);
  cs_pack_array (&pack, 1);
  cs_record_pack (&pack, record);
  cs_table_write_t write = { .keyspace = CS_KEYSPACE_MESH,
                             .key = key,
                             .value = cs_pack_payload (&pack) };
  control->table->vtable->commit (control->table, NULL, 0, &write, 1,
                                  on_written, control);
  cs_pack_clear (&pack);
  g_free (key);
}

void
crash_rows_note_era (control_t *control)
{
  if (rows_reader_rank (control, false) == 0)
    cs_traffic_repeat_crash_records (control->traffic);
}

static void
on_erased (void *user, cs_status_t status, GPtrArray *rows,
           cs_revision_t revision)
{
  control_note_table (user,
                      control_check_answer (user, status, rows, &revision));
}

/* Remove ROW, whose record has expired, unless another node has done so.  */
static void
erase_row (control_t *control, const cs_table_row_t *row)
{
  cs_table_precondition_t unchanged = { .keyspace = row->keyspace,
                                        .key = row->key,
                                        .revision = row->revision };
  cs_table_write_t write
      = { .keyspace = row->keyspace, .key = row->key, .erase = true };
  control->table->vtable->commit (control->table, &unchanged, 1, &write, 1,
                                  on_erased, control);
}

void
crash_rows_handle_row (control_t *control, const cs_table_row_t *row)
{
  cs_unpack_t unpack;
  cs_unpack_cursor_t in;
  if (!row->value
      || cs_unpack_init (control->ctx, &unpack, cs_str_of_gstring (row->value),
                         &in)
             != CS_OK)
    return;
  cs_record_t *record = cs_record_unpack (&in);
  if (!record)
    cs_event_log (CS_E_STORE, "row=%s state=ignored why=\"not a record\"",
                  row->key);
  else if (record->expires_ms <= cs_now_wall (control->ctx) / CS_MSEC)
    erase_row (control, row);
  else
    cs_traffic_add_crash_record (control->traffic, record);
  cs_record_free (record);
  cs_unpack_clear (&unpack);
}
