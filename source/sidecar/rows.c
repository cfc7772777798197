/* Rows of the platform's table: read here or by another node of the region,
   and put in force.  */
#include <string.h>

#include "cardamom/delta.h"
#include "control.h"

#define WANT_PAUSE (150 * CS_MSEC) /* Between questions to other nodes.  */
/* A node whose own last reading is older has lost the table.  */
#define READS_AGE (1500 * CS_MSEC)
#define SIGN_MAX_AGE (3600 * CS_SEC)

unsigned
rows_rank (const control_t *c, bool unreachable_too)
{
  GHashTableIter iter;
  gpointer value;
  unsigned rank = 0;
  g_hash_table_iter_init (&iter, c->members);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const known_t *known = value;
      const cs_member_t *m = &known->member;
      rank += (known->reachable || unreachable_too) && !m->stopping
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

void
rows_ask (control_t *c, const char *node)
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
    rows_ask (c, from);
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
  if ((!c->seen || seen > c->seen) && digest != digest_of (c))
    {
      /* A row was passed on before the stream from that node stood.  */
      rows_ask (c, from);
      return;
    }
  if (!c->seen && !c->snapshot)
    return;
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

void
rows_note_failure (control_t *c)
{
  double spread = g_rand_double_range (c->ctx->random, 0.75, 1.25);
  c->stepped_in = false;
  cs_usec_t pause = cs_feed_pause (rows_rank (c, false), ++c->failures);
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
      rows_note_failure (c);
      return;
    }
  bool news = false, begins = !c->seen;
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
  if (news || begins)
    {
      c->signed_at = now;
      send_sign (c, NULL, now);
    }
  rows_tick (c, now);
}

void
rows_on_orders (void *user, cs_status_t status, GPtrArray *entries,
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

void
rows_tick (control_t *c, cs_usec_t now)
{
  unsigned rank = rows_rank (c, false);
  /* Whoever has stepped in reads until an earlier one does again.  */
  bool reads = c->stepped_in
               || cs_feed_reads (rank, now - c->fresh_at, now - c->sign_heard);
  if (c->start_step < STEP_ORDERS && !c->snapshot && c->failures)
    start_want_rows (c);
  if (reads && c->seen && now - c->signed_at >= CS_FEED_SIGN)
    {
      c->signed_at = now;
      send_sign (c, NULL, now);
    }
  start_keep_node (c, now);
  if (c->busy || now < c->retry_at)
    return;
  if (c->start_step < STEP_ORDERS || !c->seen)
    start_take_step (c, rank, now);
  else if (reads)
    {
      c->stepped_in = rank > 0;
      c->busy = true;
      c->table->vtable->watch (c->table, CS_SPACE_ORDERS, c->seen,
                               CS_FEED_WAIT, on_changes, c);
    }
}
