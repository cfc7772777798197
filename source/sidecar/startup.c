/* The startup sequence: register in the table, read the other nodes and the
   state of moves, then get the operator rows.  Each step is repeated until it
   succeeds.  */
#include <string.h>

#include "control.h"

#define NODE_ROW_WRITE_INTERVAL (500 * CS_MSEC)
/* Time in which a running node has connected to this one and sent its rows. */
#define PEERS_WAIT (300 * CS_MSEC)

static void
finish_step (control_t *control, cs_status_t status, unsigned next_step)
{
  control->table_call_pending = false;
  control_note_table (control, status);
  if (status != CS_OK)
    {
      rows_back_off (control);
      return;
    }
  control->table_failures = 0;
  control->startup_step = next_step;
  if (next_step == STARTUP_READ_OPERATOR_ROWS)
    control->rows_awaited_since = control_now (control);
  rows_tick (control, control_now (control));
}

static void
on_registered (void *user, cs_status_t status, GPtrArray *rows,
               cs_revision_t revision)
{
  control_t *control = user;
  status = control_check_answer (control, status, rows, &revision);
  if (status == CS_OK)
    {
      control->registered = true;
      control->node_row_stored_generation
          = control->node_row_pending_generation;
    }
  finish_step (control, status, STARTUP_READ_MESH);
}

/* Write the node's address, and its backend server, which a process resumes
   that later starts in place of this one.  */
static void
write_node_row (control_t *control, cs_table_callback_t done)
{
  cs_pack_t pack;
  char *row_key = g_strconcat (KEY_NODE_PREFIX, control->settings.node, NULL);
  const cs_backend_report_t *report = &control->backend.report;
  cs_node_info_t self = { .boot_ms = control->boot_ms,
                          .link_mbps = (int64_t)control->settings.link_mbps,
                          .server_state = control->backend.state,
                          .slots = report->slots,
                          .server_started_ms = report->started_ms };
  g_strlcpy (self.name, control->settings.node, sizeof self.name);
  g_strlcpy (self.dc, control->settings.dc, sizeof self.dc);
  g_strlcpy (self.region, control->settings.region, sizeof self.region);
  g_strlcpy (self.address, control->settings.advertised, sizeof self.address);
  g_strlcpy (self.service, report->service, sizeof self.service);
  g_strlcpy (self.version, report->version, sizeof self.version);
  g_strlcpy (self.instance, report->instance, sizeof self.instance);
  cs_pack_init (&pack);
  cs_pack_array (&pack, 1);
  cs_node_info_pack (&pack, &self);
  cs_table_write_t row_write = { .keyspace = CS_KEYSPACE_MESH,
                                 .key = row_key,
                                 .value = cs_pack_payload (&pack) };
  control->table->vtable->commit (control->table, NULL, 0, &row_write, 1, done,
                                  control);
  cs_pack_clear (&pack);
  g_free (row_key);
}

static void
on_node_written (void *user, cs_status_t status, GPtrArray *rows,
                 cs_revision_t revision)
{
  control_t *control = user;
  status = control_check_answer (control, status, rows, &revision);
  control->node_row_writing = false;
  control->node_row_retry_at = control_now (control) + NODE_ROW_WRITE_INTERVAL;
  if (status != CS_OK)
    return;
  control->node_row_stored_generation = control->node_row_pending_generation;
  control->node_row_lost = false;
}

void
startup_sync_node_row (control_t *control, cs_usec_t now)
{
  if (control->node_row_writing || now < control->node_row_retry_at
      || !control->registered
      || (!control->node_row_lost
          && control->node_row_stored_generation
                 == control->backend.generation))
    return;
  control->node_row_writing = true;
  control->node_row_pending_generation = control->backend.generation;
  write_node_row (control, on_node_written);
}

static void
handle_node_row (control_t *control, const cs_table_row_t *row)
{
  cs_unpack_t unpack;
  cs_unpack_cursor_t in;
  cs_node_info_t info;
  if (!row->value
      || cs_unpack_init (control->ctx, &unpack, cs_str_of_gstring (row->value),
                         &in)
             != CS_OK)
    return;
  cs_node_info_unpack (&in, &info);
  if (!in.failed && strcmp (info.name, control->settings.node) != 0)
    {
      control->table_has_nodes = true;
      control->region_has_peers
          |= strcmp (info.region, control->settings.region) == 0;
      cs_traffic_update_member (control->traffic, &info);
    }
  else if (!in.failed)
    {
      control->table_has_nodes |= !control->registered;
      control->registered
          |= strcmp (info.address, control->settings.advertised) == 0;
      resume_schedule (control, &info);
    }
  cs_unpack_clear (&unpack);
}

static void
on_mesh_read (void *user, cs_status_t status, GPtrArray *rows,
              cs_revision_t revision)
{
  control_t *control = user;
  status = control_check_answer (control, status, rows, &revision);
  for (guint i = 0; status == CS_OK && i < rows->len; i++)
    {
      const cs_table_row_t *row = rows->pdata[i];
      if (g_str_has_prefix (row->key, KEY_NODE_PREFIX))
        handle_node_row (control, row);
      else if (g_str_has_prefix (row->key, KEY_CRASH_PREFIX))
        crash_rows_handle_row (control, row);
      else
        moves_handle_row (control, row);
    }
  /* After it has registered, a node reads once more: of two nodes that start
     at the same time, at least one then sees the other.  */
  finish_step (control, status,
               control->registered ? STARTUP_READ_OPERATOR_ROWS
                                   : STARTUP_REGISTER);
}

bool
startup_awaits_peers (const control_t *control)
{
  /* A table that names no node, not even this one, may have come back from a
     copy that lacks them.  */
  cs_usec_t wait = control->region_has_peers  ? PEERS_WAIT
                   : control->table_has_nodes ? 0
                                              : STARTUP_MEETING_TIME;
  return !control->settings.first_start && !control->snapshot
         && control_now (control) - control->rows_awaited_since < wait;
}

bool
startup_request_rows (control_t *control)
{
  GHashTableIter iter;
  gpointer value;
  const char *node = NULL;
  int eligible = 0;
  g_hash_table_iter_init (&iter, control->members);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const member_info_t *info = value;
      if (info->reachable
          && strcmp (info->member.region, control->settings.region) == 0
          && strcmp (info->member.name, control->settings.node) != 0
          && g_rand_int_range (control->ctx->random, 0, ++eligible) == 0)
        node = info->member.name;
    }
  if (node)
    rows_request (control, node);
  return node != NULL;
}

void
startup_run_step (control_t *control, unsigned rank, cs_usec_t now)
{
  const cs_table_vtable_t *table = control->table->vtable;
  if (control->startup_step == STARTUP_READ_MESH
      && control->settings.first_start && !control->registered)
    control->startup_step = STARTUP_REGISTER;
  if (control->startup_step == STARTUP_READ_OPERATOR_ROWS
      && !cs_table_reader_should_read_initial (
          control->settings.first_start, rows_reader_rank (control, true),
          rank, now - control->rows_awaited_since))
    {
      startup_request_rows (control);
      return;
    }
  control->table_call_pending = true;
  control->rows_call_sent_at = now;
  if (control->startup_step == STARTUP_REGISTER)
    {
      control->node_row_pending_generation = control->backend.generation;
      write_node_row (control, on_registered);
    }
  else if (control->startup_step == STARTUP_READ_MESH)
    table->read (control->table, CS_KEYSPACE_MESH, on_mesh_read, control);
  else
    table->read (control->table, CS_KEYSPACE_OPERATOR, rows_on_read, control);
}
