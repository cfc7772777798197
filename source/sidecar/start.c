/* The first steps of a node, each repeated until it succeeds: be found, find
   the others and where moves stand, get the orders.  */
#include <string.h>

#include "control.h"

#define NODE_RETRY (500 * CS_MSEC) /* Between writes of the node's row.  */

static void
end_step (control_t *c, cs_status_t status, unsigned next)
{
  c->busy = false;
  control_note_table (c, status);
  if (status != CS_OK)
    {
      rows_note_failure (c);
      return;
    }
  c->failures = 0;
  c->start_step = next;
  if (next == STEP_ORDERS)
    c->orders_since = control_now (c);
  rows_tick (c, control_now (c));
}

static void
on_registered (void *user, cs_status_t status, GPtrArray *entries,
               int64_t revision)
{
  control_t *c = user;
  (void)entries, (void)revision;
  if (status == CS_OK)
    {
      c->registered = true;
      c->node_written = c->node_writes;
    }
  end_step (c, status, STEP_MESH);
}

/* Write where this node is reached, and the server beside it, for a process
   that starts in its place.  */
static void
write_node (control_t *c, cs_table_done_t done)
{
  cs_pack_t pack;
  char *row = g_strconcat (ROW_NODE, c->settings.node, NULL);
  const cs_report_t *r = &c->life.report;
  cs_member_t self = { .boot = c->boot,
                       .state = c->life.state,
                       .slots = r->slots,
                       .born_ms = r->born_ms };
  g_strlcpy (self.name, c->settings.node, sizeof self.name);
  g_strlcpy (self.dc, c->settings.dc, sizeof self.dc);
  g_strlcpy (self.region, c->settings.region, sizeof self.region);
  g_strlcpy (self.address, c->settings.advertised, sizeof self.address);
  g_strlcpy (self.service, r->service, sizeof self.service);
  g_strlcpy (self.version, r->version, sizeof self.version);
  g_strlcpy (self.instance, r->instance, sizeof self.instance);
  cs_pack_init (&pack);
  cs_pack_array (&pack, 1);
  cs_member_pack (&pack, &self);
  cs_put_t put = { .space = CS_SPACE_MESH,
                   .key = row,
                   .value = cs_pack_payload (&pack) };
  c->table->vtable->commit (c->table, NULL, 0, &put, 1, done, c);
  cs_pack_clear (&pack);
  g_free (row);
}

static void
on_node_written (void *user, cs_status_t status, GPtrArray *entries,
                 int64_t revision)
{
  control_t *c = user;
  (void)entries, (void)revision;
  c->writing_node = false;
  c->node_retry_at = control_now (c) + NODE_RETRY;
  if (status == CS_OK)
    c->node_written = c->node_writes;
}

/* Write the node's row after each change of the server beside it.  */
void
start_keep_node (control_t *c, cs_usec_t now)
{
  if (c->writing_node || now < c->node_retry_at || !c->registered
      || c->node_written == c->life.changes)
    return;
  c->writing_node = true;
  c->node_writes = c->life.changes;
  write_node (c, on_node_written);
}

/* A row of ROW_NODE.  */
static void
take_node (control_t *c, const cs_entry_t *entry)
{
  cs_unpack_t unpack;
  cs_cursor_t in;
  cs_member_t member;
  if (!entry->value
      || cs_unpack_init (c->ctx, &unpack, cs_str_of_gstring (entry->value),
                         &in)
             != CS_OK)
    return;
  cs_member_take (&in, &member);
  if (!in.bad && strcmp (member.name, c->settings.node) != 0)
    cs_traffic_learn (c->traffic, &member);
  else if (!in.bad)
    {
      c->registered |= strcmp (member.address, c->settings.advertised) == 0;
      resume_later (c, &member);
    }
  cs_unpack_clear (&unpack);
}

static void
on_mesh (void *user, cs_status_t status, GPtrArray *entries, int64_t revision)
{
  control_t *c = user;
  (void)revision;
  for (guint i = 0; status == CS_OK && i < entries->len; i++)
    {
      const cs_entry_t *entry = entries->pdata[i];
      if (g_str_has_prefix (entry->key, ROW_NODE))
        take_node (c, entry);
      else
        moves_row (c, entry);
    }
  /* Whoever registers reads once more: of two that start at once, one then
     sees the other.  */
  end_step (c, status, c->registered ? STEP_ORDERS : STEP_REGISTER);
}

/* Ask a node of the region for the rows, another one each time; false when
   there is none.  */
bool
start_want_rows (control_t *c)
{
  GHashTableIter iter;
  gpointer value;
  const char *node = NULL;
  int count = 0;
  g_hash_table_iter_init (&iter, c->members);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const known_t *known = value;
      if (known->reachable
          && strcmp (known->member.region, c->settings.region) == 0
          && strcmp (known->member.name, c->settings.node) != 0
          && g_rand_int_range (c->ctx->random, 0, ++count) == 0)
        node = known->member.name;
    }
  if (node)
    rows_ask (c, node);
  return node != NULL;
}

void
start_take_step (control_t *c, unsigned rank, cs_usec_t now)
{
  const cs_table_vtable_t *table = c->table->vtable;
  if (c->start_step == STEP_MESH && c->settings.first_start && !c->registered)
    c->start_step = STEP_REGISTER;
  if (c->start_step == STEP_ORDERS
      && !cs_feed_starts (c->settings.first_start, rows_rank (c, true), rank,
                          now - c->orders_since))
    {
      start_want_rows (c);
      return;
    }
  c->busy = true;
  if (c->start_step == STEP_REGISTER)
    {
      c->node_writes = c->life.changes;
      write_node (c, on_registered);
    }
  else if (c->start_step == STEP_MESH)
    table->read (c->table, CS_SPACE_MESH, on_mesh, c);
  else
    table->read (c->table, CS_SPACE_ORDERS, rows_on_orders, c);
}
