/* Operator rows between nodes: deltas, heartbeats, and requests for what is
   missing.  */
#include <string.h>
#include <xxhash.h>

#include "cardamom/delta.h"
#include "row-frames.h"
#include "rows-internal.h"

/* Shortest time between two requests for rows to other nodes.  */
#define REQUEST_INTERVAL (150 * CS_MSEC)
/* A node whose own last read is older counts as cut off from the table.  */
#define OWN_READ_AGE_MAX (1500 * CS_MSEC)
/* A heartbeat is ignored when it reports that its sender's rows were last up
   to date longer ago.  */
#define REPORTED_ROWS_AGE_MAX (3600 * CS_SEC)
/* Time after which a node requests the rows of another one that has others at
   the same revision.  It doubles while they stay different.  */
#define RECONCILE_DELAY_MIN (1 * CS_SEC)
#define RECONCILE_DELAY_MAX (64 * CS_SEC)
/* How many nodes of a region, after its reader, correct one that has sent an
   older document.  */
#define CORRECTING_RANK_MAX 2

const rows_audience_t rows_own_region, rows_whole_mesh = { .mesh = true };

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

void
rows_send (control_t *control, const cs_table_row_t *row,
           const cs_table_row_t *base, bool certain, rows_audience_t audience)
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
  row_frame_t frame
      = { .key = row->key,
          .revision = row->revision,
          .exists = row->value != NULL,
          .base = has_base ? base->revision : (cs_revision_t){ 0 },
          .delta = delta ? cs_str_of_gstring (delta) : CS_STR (""),
          .certain = certain };
  cs_pack_init (&pack);
  row_frame_pack (&pack, &frame);
  send_payload (control, audience, cs_pack_payload (&pack));
  cs_pack_clear (&pack);
  if (delta)
    g_string_free (delta, TRUE);
}

/* Set in FRAME what two nodes compare of the rows that they hold.  */
static void
set_digest (const control_t *control, freshness_frame_t *frame)
{
  GHashTableIter iter;
  gpointer value;
  uint64_t sum = 0;
  frame->hash = 0;
  g_hash_table_iter_init (&iter, control->operator_rows);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const cs_table_row_t *row = value;
      if (!row->value)
        continue;
      uint64_t revision = (uint64_t)cs_revision_to_number (row->revision);
      sum += (uint64_t)row->revision.version;
      frame->hash
          ^= XXH3_64bits_withSeed (row->key, strlen (row->key), revision);
    }
  frame->sum = (int64_t)sum;
}

void
rows_send_heartbeat (control_t *control, rows_audience_t audience,
                     cs_usec_t now)
{
  cs_pack_t pack;
  freshness_frame_t frame
      = { .revision = control->rows_revision,
          .age = now - control->rows_fresh_at,
          .reads_table = now - control->own_read_at < OWN_READ_AGE_MAX,
          .keys_age = now - atomic_load (&control->keys_fresh_at),
          .sent_at = now };
  set_digest (control, &frame);
  cs_pack_init (&pack);
  freshness_frame_pack (&pack, &frame);
  send_payload (control, audience, cs_pack_payload (&pack));
  cs_pack_clear (&pack);
}

/* Tell NODE the names of all rows of this node, which it has been sent.  */
static void
send_row_names (control_t *control, const char *node, bool knows_eras)
{
  GHashTableIter iter;
  gpointer value;
  cs_pack_t pack;
  unsigned count = 0;
  g_hash_table_iter_init (&iter, control->operator_rows);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    count += ((const cs_table_row_t *)value)->value != NULL;
  cs_pack_init (&pack);
  complete_frame_pack (&pack, control->rows_revision, knows_eras, count);
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
  cs_revision_t revision = complete_frame_unpack (in);
  GHashTable *names
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  while (in->remaining && !in->failed)
    g_hash_table_add (names, cs_unpack_text (in));
  if (!in->failed)
    rows_remove_missing (control, names, revision, control_now (control),
                         NULL);
  g_hash_table_unref (names);
}

void
rows_handle_request (control_t *control, const char *node,
                     cs_unpack_cursor_t *in)
{
  GHashTableIter iter;
  gpointer row;
  bool knows_eras = request_frame_unpack (in);
  moves_send_all (control, node);
  if (!cs_revision_is_set (control->rows_revision))
    return;
  g_hash_table_iter_init (&iter, control->operator_rows);
  while (g_hash_table_iter_next (&iter, NULL, &row))
    rows_send (control, row, NULL, false, (rows_audience_t){ .node = node });
  send_row_names (control, node, knows_eras);
  rows_send_heartbeat (control, (rows_audience_t){ .node = node },
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
  request_frame_pack (&pack);
  cs_traffic_send_control (control->traffic, node, NULL,
                           cs_pack_payload (&pack));
  cs_pack_clear (&pack);
}

/* Apply DELTA to the row KEY at revision BASE (none: to an empty value).  NULL
   when this node does not hold that revision, or DELTA is malformed.  */
static GString *
value_from_delta (control_t *control, const char *key, cs_revision_t base,
                  cs_str_t delta)
{
  const cs_table_row_t *stored
      = g_hash_table_lookup (control->operator_rows, key);
  GString *value;
  bool has_base = cs_revision_is_set (base);
  if (has_base
      && (!stored || !stored->value
          || cs_revision_compare (stored->revision, base) != 0))
    return NULL;
  cs_str_t before = has_base ? cs_str_of_gstring (stored->value) : CS_STR ("");
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

/* Send the row KEY that this node holds to NODE, which has sent an older
   document.  The first nodes of the region do, for all the others hold it
   too.  */
static void
send_held_row (control_t *control, const char *key, const char *node)
{
  const cs_table_row_t *held
      = g_hash_table_lookup (control->operator_rows, key);
  if (held && held->value
      && rows_reader_rank (control, false) <= CORRECTING_RANK_MAX)
    rows_send (control, held, NULL, false, (rows_audience_t){ .node = node });
}

void
rows_handle_row (control_t *control, const char *from, cs_unpack_cursor_t *in)
{
  cs_table_row_t *row = g_new0 (cs_table_row_t, 1);
  row_frame_t frame;
  row_frame_unpack (in, control->table_era, &frame);
  *row = (cs_table_row_t){ .keyspace = CS_KEYSPACE_OPERATOR,
                           .key = frame.key,
                           .revision = frame.revision };
  if (in->failed)
    {
      cs_table_row_free (row);
      return;
    }
  const cs_table_row_t *held
      = g_hash_table_lookup (control->operator_rows, row->key);
  int order = held ? cs_revision_compare (row->revision, held->revision) : 1;
  bool is_document
      = control->adapter->classify_row (row->key) == CS_OPERATOR_ROW_CONFIG;
  if (frame.exists && (order > 0 || (order < 0 && is_document)))
    row->value = value_from_delta (control, row->key, frame.base, frame.delta);
  if (frame.exists ? !row->value : order <= 0)
    {
      if (order > 0)
        rows_request (control, from);
      cs_table_row_free (row);
      return;
    }
  char *key = g_strdup (row->key);
  if (!rows_accept (control, row, frame.certain,
                    is_elsewhere (control, from) ? &rows_own_region : NULL)
      && order > 0 && is_document)
    send_held_row (control, key, from);
  g_free (key);
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

/* Note whether another node has the SAME rows as this one at the same
   revision.  Returns true when it hasn't had them for so long that its rows
   are to be requested; the next time is later.  */
static bool
needs_reconciling (control_t *control, bool same, cs_usec_t now)
{
  if (same || !control->rows_differ_since)
    {
      control->rows_differ_since = same ? 0 : now;
      control->reconcile_delay = RECONCILE_DELAY_MIN;
      return false;
    }
  if (now - control->rows_differ_since < control->reconcile_delay)
    return false;
  control->rows_differ_since = now;
  control->reconcile_delay
      = MIN (2 * control->reconcile_delay, RECONCILE_DELAY_MAX);
  return true;
}

void
rows_handle_freshness (control_t *control, const char *from,
                       cs_unpack_cursor_t *in)
{
  cs_usec_t now = control_now (control);
  freshness_frame_t frame, own;
  freshness_frame_unpack (in, control->table_era, &frame);
  if (in->failed || frame.age < 0 || frame.age > REPORTED_ROWS_AGE_MAX)
    return;
  const member_info_t *reader = g_hash_table_lookup (control->members, from);
  cs_node_info_t self = rows_own_info (control);
  bool elsewhere = is_elsewhere (control, from);
  control_note_era (control, frame.revision.era);
  if (!elsewhere)
    control->heartbeat_received_at = now;
  if (frame.reads_table && reader && !elsewhere
      && cs_node_reads_before (&reader->member, &self))
    control->acting_reader = false;
  set_digest (control, &own);
  bool same = frame.has_hash ? frame.hash == own.hash : frame.sum == own.sum;
  int order = cs_revision_compare (frame.revision, control->rows_revision);
  if (!same && (!cs_revision_is_set (control->rows_revision) || order > 0))
    {
      /* FROM sent a row to the region before its connection to this node was
         open, so that the row is missing here.  */
      rows_request (control, from);
      return;
    }
  if (!cs_revision_is_set (control->rows_revision) && !control->snapshot)
    return;
  if (order == 0 && needs_reconciling (control, same, now))
    rows_request (control, from);
  control->rows_revision
      = cs_revision_max (control->rows_revision, frame.revision);
  control->rows_fresh_at = MAX (control->rows_fresh_at, now - frame.age);
  if (frame.names_keys && reader)
    rows_note_keys_fresh (
        control,
        now - MAX (frame.keys_age, 0)
            - heartbeat_delay (control, &reader->member, frame.sent_at));
  if (order > 0 && elsewhere)
    rows_send_heartbeat (control, rows_own_region, now);
}
