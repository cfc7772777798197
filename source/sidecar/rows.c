/* Rows of the platform's table: read here or by another node of the region,
   and put in force.  */
#include <string.h>

#include "cardamom/delta.h"
#include "control.h"

/* When the whole mesh starts, which takes seconds, rows are asked of the node
   that reads first, for so long.  */
#define WANT_READER (500 * CS_MSEC)
#define WANT_FOLLOWER (1500 * CS_MSEC)
#define NODE_RETRY (500 * CS_MSEC) /* Between writes of the node's row.  */
#define WANT_PAUSE (250 * CS_MSEC) /* Between questions to other nodes.  */
/* A node whose own last reading is older has lost the table.  */
#define READS_AGE (1500 * CS_MSEC)
#define SIGN_MAX_AGE (3600 * CS_SEC)

unsigned
rows_rank (const control_t *c)
{
  GHashTableIter iter;
  gpointer value;
  unsigned rank = 0;
  g_hash_table_iter_init (&iter, c->members);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const known_t *known = value;
      const cs_member_t *m = &known->member;
      rank += known->reachable && !m->stopping
              && strcmp (m->region, c->settings.region) == 0
              && strcmp (m->name, c->settings.node) < 0;
    }
  return rank;
}

static void
set_limits (control_t *c, const cs_limits_t *l)
{
  cs_server_limits_t limits
      = { .head_max = l->head_max > 0 ? (size_t)l->head_max : 16384,
          .body_max = l->body_max > 0 ? (size_t)l->body_max : 64u << 20,
          .head_timeout
          = (l->head_timeout_ms > 0 ? l->head_timeout_ms : 3000) * CS_MSEC,
          .idle_timeout
          = (l->idle_timeout_ms > 0 ? l->idle_timeout_ms : 15000) * CS_MSEC };
  cs_traffic_set_limits (c->traffic, &limits);
}

static void
publish (control_t *c, cs_snapshot_t *snapshot)
{
  cs_snapshot_t *before = c->snapshot;
  rcu_set_pointer (&c->snapshot, snapshot);
  set_limits (c, &snapshot->limits);
  if (before)
    {
      synchronize_rcu ();
      cs_snapshot_drop (c->ctx, before);
    }
  cs_count (CS_C_CONFIG_APPLIED, 1);
  cs_gauge (CS_C_G_CONFIG_VERSION, (uint64_t)snapshot->version);
  cs_event (CS_E_CONFIG, "version=%" G_GINT64_FORMAT " routes=%u services=%u",
            snapshot->version, snapshot->routes->len,
            g_hash_table_size (snapshot->services));
}

static void
take_config (control_t *c, const cs_entry_t *entry)
{
  cs_snapshot_t *snapshot;
  if (c->adapter->config (c->ctx, cs_str_of_gstring (entry->value), &snapshot)
      != CS_OK)
    {
      cs_count (CS_C_CONFIG_REFUSED, 1);
      cs_event (CS_E_CONFIG_BAD,
                "row=%s revision=%" G_GINT64_FORMAT " why=\"%s\"", entry->key,
                entry->revision, cs_message (c->ctx));
      return;
    }
  if (c->snapshot && snapshot->version <= c->snapshot->version)
    {
      cs_count (CS_C_CONFIG_STALE, 1);
      cs_snapshot_drop (c->ctx, snapshot);
      return;
    }
  publish (c, snapshot);
}

/* Put ENTRY, which is taken over, in force unless it is known.  */
static void
take_entry (control_t *c, cs_entry_t *entry)
{
  const cs_entry_t *known = g_hash_table_lookup (c->rows, entry->key);
  if (known && known->revision >= entry->revision)
    {
      cs_entry_free (entry);
      return;
    }
  g_hash_table_replace (c->rows, entry->key, entry);
  if (!entry->value)
    return;
  switch (c->adapter->order_kind (entry->key))
    {
    case CS_ORDER_CONFIG:
      take_config (c, entry);
      break;
    case CS_ORDER_MOVE:
      moves_order (c, entry);
      break;
    case CS_ORDER_OTHER:
      break;
    }
}

/* Send ENTRY to NODE, or with NODE NULL to the region: as what leads to it
   from BASE, the row before it, where there is one.  */
static void
pass_on (control_t *c, const cs_entry_t *entry, const cs_entry_t *base,
         const char *node)
{
  cs_pack_t pack;
  bool has_base = base && base->value && entry->value;
  GString *delta
      = entry->value ? cs_delta_make (
            has_base ? cs_str_of_gstring (base->value) : CS_STR (""),
            cs_str_of_gstring (entry->value))
                     : NULL;
  if (entry->value && !delta)
    {
      cs_event (CS_E_CONFIG_BAD, "row=%s why=\"too large to pass on\"",
                entry->key);
      return;
    }
  cs_pack_init (&pack);
  cs_pack_array (&pack, 6);
  cs_pack_number (&pack, CS_FRAME_ROW);
  cs_pack_text (&pack, entry->key);
  cs_pack_number (&pack, entry->revision);
  cs_pack_number (&pack, entry->value != NULL);
  cs_pack_number (&pack, has_base ? base->revision : 0);
  cs_pack_bytes (&pack, delta ? cs_str_of_gstring (delta) : CS_STR (""));
  cs_traffic_send (c->traffic, node, c->settings.region,
                   cs_pack_payload (&pack));
  cs_pack_clear (&pack);
  if (delta)
    g_string_free (delta, TRUE);
}

static int64_t
digest_of (const control_t *c)
{
  GHashTableIter iter;
  gpointer entry;
  int64_t digest = 0;
  g_hash_table_iter_init (&iter, c->rows);
  while (g_hash_table_iter_next (&iter, NULL, &entry))
    digest += ((const cs_entry_t *)entry)->revision;
  return digest;
}

/* Tell NODE, or with NULL the region, how fresh the rows are.  */
static void
send_sign (control_t *c, const char *node, cs_usec_t now)
{
  cs_pack_t pack;
  cs_pack_init (&pack);
  cs_pack_array (&pack, 5);
  cs_pack_number (&pack, CS_FRAME_SYNC);
  cs_pack_number (&pack, c->seen);
  cs_pack_number (&pack, digest_of (c));
  cs_pack_number (&pack, now - c->fresh_at);
  cs_pack_number (&pack, now - c->read_at < READS_AGE);
  cs_traffic_send (c->traffic, node, c->settings.region,
                   cs_pack_payload (&pack));
  cs_pack_clear (&pack);
}

/* NODE has asked for the rows.  */
void
rows_give (control_t *c, const char *node)
{
  GHashTableIter iter;
  gpointer entry;
  if (!c->seen)
    return;
  g_hash_table_iter_init (&iter, c->rows);
  while (g_hash_table_iter_next (&iter, NULL, &entry))
    pass_on (c, entry, NULL, node);
  send_sign (c, node, control_now (c));
}

static void
ask_rows (control_t *c, const char *node)
{
  cs_pack_t pack;
  cs_usec_t now = control_now (c);
  if (now - c->wanted_at < WANT_PAUSE)
    return;
  c->wanted_at = now;
  cs_pack_init (&pack);
  cs_pack_array (&pack, 1);
  cs_pack_number (&pack, CS_FRAME_WANT);
  cs_traffic_send (c->traffic, node, NULL, cs_pack_payload (&pack));
  cs_pack_clear (&pack);
}

/* The value that DELTA gives from the row KEY at revision BASE; NULL when that
   is not at hand.  */
static GString *
value_from (control_t *c, const char *key, int64_t base, cs_str_t delta)
{
  const cs_entry_t *known = g_hash_table_lookup (c->rows, key);
  GString *value;
  if (base && (!known || !known->value || known->revision != base))
    return NULL;
  cs_str_t before = base ? cs_str_of_gstring (known->value) : CS_STR ("");
  return cs_delta_apply (c->ctx, before, delta, &value) == CS_OK ? value
                                                                 : NULL;
}

void
rows_take_row (control_t *c, const char *from, cs_cursor_t *in)
{
  cs_entry_t *entry = g_new0 (cs_entry_t, 1);
  entry->space = CS_SPACE_ORDERS;
  entry->key = cs_take_text (in);
  entry->revision = cs_take_number (in);
  bool exists = cs_take_number (in) != 0;
  int64_t base = cs_take_number (in);
  cs_str_t delta = cs_take_str (in);
  const cs_entry_t *known = g_hash_table_lookup (c->rows, entry->key);
  bool fresh = !in->bad && (!known || known->revision < entry->revision);
  if (fresh && exists)
    entry->value = value_from (c, entry->key, base, delta);
  if (fresh && (entry->value || !exists))
    {
      take_entry (c, entry);
      return;
    }
  if (fresh)
    ask_rows (c, from);
  cs_entry_free (entry);
}

void
rows_take_sync (control_t *c, const char *from, cs_cursor_t *in)
{
  int64_t seen = cs_take_number (in);
  int64_t digest = cs_take_number (in);
  cs_usec_t age = cs_take_number (in);
  bool reads = cs_take_number (in) != 0;
  if (in->bad || age < 0 || age > SIGN_MAX_AGE)
    return;
  c->sign_heard = control_now (c);
  if (reads && strcmp (from, c->settings.node) < 0)
    c->stepped_in = false;
  if (!c->seen && (!c->snapshot || digest != digest_of (c)))
    return;
  if (seen > c->seen && digest != digest_of (c))
    {
      /* A row was passed on before the stream from that node stood.  */
      ask_rows (c, from);
      return;
    }
  c->seen = MAX (c->seen, seen);
  c->fresh_at = MAX (c->fresh_at, control_now (c) - age);
}

void
control_note_table (control_t *c, cs_status_t status)
{
  bool up = status == CS_OK || status == CS_CONFLICT || status == CS_NOT_FOUND;
  if (up != c->table_up)
    cs_event (CS_E_STORE, "state=%s status=%s seen=%" G_GINT64_FORMAT,
              up ? "regained" : "lost", cs_status_name (status), c->seen);
  c->table_up = up;
}

/* Whether a later entry than number I is about the same row.  */
static bool
is_overtaken (const GPtrArray *entries, guint i)
{
  const cs_entry_t *entry = entries->pdata[i];
  for (guint j = i + 1; j < entries->len; j++)
    {
      const cs_entry_t *later = entries->pdata[j];
      if (later->space == entry->space && strcmp (later->key, entry->key) == 0)
        return true;
    }
  return false;
}

static void
note_failure (control_t *c)
{
  double spread = g_rand_double_range (c->ctx->random, 0.75, 1.25);
  c->stepped_in = false;
  cs_usec_t pause = cs_feed_pause (rows_rank (c), ++c->failures);
  c->retry_at = control_now (c) + (cs_usec_t)((double)pause * spread);
}

/* The end of a read (the rows of a space) or a watch.  */
static void
take_rows (control_t *c, cs_status_t status, GPtrArray *entries,
           int64_t revision, bool pass)
{
  cs_usec_t now = control_now (c);
  c->busy = false;
  control_note_table (c, status);
  if (status == CS_NOT_FOUND)
    {
      c->seen = 0; /* Read the whole space anew.  */
      c->orders_since = 0;
      return;
    }
  if (status != CS_OK)
    {
      note_failure (c);
      return;
    }
  bool news = false;
  for (guint i = 0; i < entries->len; i++)
    {
      cs_entry_t *entry = entries->pdata[i];
      if (entry->space != CS_SPACE_ORDERS || is_overtaken (entries, i))
        continue;
      cs_entry_t *copy = g_new0 (cs_entry_t, 1);
      *copy = (cs_entry_t){ .space = entry->space,
                            .key = g_strdup (entry->key),
                            .value = entry->value,
                            .revision = entry->revision };
      entry->value = NULL;
      const cs_entry_t *known = g_hash_table_lookup (c->rows, copy->key);
      if (pass && (!known || known->revision < copy->revision))
        {
          pass_on (c, copy, known, NULL);
          news = true;
        }
      take_entry (c, copy);
    }
  c->seen = MAX (c->seen, revision);
  c->fresh_at = c->read_at = now;
  c->failures = 0;
  if (news)
    {
      c->signed_at = now;
      send_sign (c, NULL, now);
    }
  rows_tick (c, now);
}

static void
on_orders (void *user, cs_status_t status, GPtrArray *entries,
           int64_t revision)
{
  take_rows (user, status, entries, revision, false);
}

static void
on_changes (void *user, cs_status_t status, GPtrArray *entries,
            int64_t revision)
{
  take_rows (user, status, entries, revision, true);
}

/* The first steps, each repeated until it succeeds: be found, find the others
   and where moves stand, get the orders.  */
enum
{
  STEP_MESH,
  STEP_REGISTER,
  STEP_ORDERS
};

static void
end_step (control_t *c, cs_status_t status, unsigned next)
{
  c->busy = false;
  control_note_table (c, status);
  if (status != CS_OK)
    {
      note_failure (c);
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
  g_strlcpy (self.address, c->settings.peers, sizeof self.address);
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
static void
keep_node (control_t *c, cs_usec_t now)
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
      c->registered |= strcmp (member.address, c->settings.peers) == 0;
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
static bool
want_rows (control_t *c)
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
    ask_rows (c, node);
  return node != NULL;
}

static void
take_step (control_t *c, unsigned rank, cs_usec_t now)
{
  const cs_table_vtable_t *table = c->table->vtable;
  if (c->start_step == STEP_MESH && c->settings.first_start && !c->registered)
    c->start_step = STEP_REGISTER;
  if (c->start_step == STEP_ORDERS && c->settings.first_start
      && now - c->orders_since < (rank ? WANT_FOLLOWER : WANT_READER))
    {
      want_rows (c);
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
    table->read (c->table, CS_SPACE_ORDERS, on_orders, c);
}

void
rows_tick (control_t *c, cs_usec_t now)
{
  unsigned rank = rows_rank (c);
  /* Whoever has stepped in reads until an earlier one does again.  */
  bool reads = c->stepped_in
               || cs_feed_reads (rank, now - c->fresh_at, now - c->sign_heard);
  if (c->start_step < STEP_ORDERS && !c->snapshot && c->failures)
    want_rows (c);
  if (reads && c->seen && now - c->signed_at >= CS_FEED_SIGN)
    {
      c->signed_at = now;
      send_sign (c, NULL, now);
    }
  keep_node (c, now);
  if (c->busy || now < c->retry_at)
    return;
  if (c->start_step < STEP_ORDERS || !c->seen)
    take_step (c, rank, now);
  else if (reads)
    {
      c->stepped_in = rank > 0;
      c->busy = true;
      c->table->vtable->watch (c->table, CS_SPACE_ORDERS, c->seen,
                               CS_FEED_WAIT, on_changes, c);
    }
}
