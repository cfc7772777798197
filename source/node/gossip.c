/* Records among the members: urgent ones at once to all, the others in
   batches to a few, and digests compared with one member after another so
   that nothing stays unknown.  Between data centres one member speaks.  */
#include <string.h>

#include "once-node.h"

#define FANOUT 3
#define COMPARE_INTERVAL (1 * CS_SEC)
#define COMPARE_FAR_INTERVAL (2 * CS_SEC)
#define BRIDGE_INTERVAL (1 * CS_SEC)
#define HEAL_INTERVAL (3 * CS_SEC)
#define HEARD_LIFE (6 * CS_SEC)
#define JOIN_INTERVAL (300 * CS_MSEC) /* Of HEAL_INTERVAL while joining.  */
#define FRAME_RECORDS_MAX 400         /* Records of one frame.  */

static bool
is_mate (const control_t *control, const cs_member_t *m)
{
  return m && strcmp (m->dc, control->node->settings.dc) == 0;
}

static void
send_records (control_t *control, const char *to, const GPtrArray *records)
{
  for (guint at = 0; at < records->len; at += FRAME_RECORDS_MAX)
    {
      guint count = MIN (records->len - at, FRAME_RECORDS_MAX);
      cs_pack_t pack;
      cs_pack_init (&pack);
      cs_pack_array (&pack, 2);
      cs_pack_int64 (&pack, FRAME_RECORDS);
      cs_pack_array (&pack, count);
      for (guint i = 0; i < count; i++)
        cs_record_pack (&pack, records->pdata[at + i]);
      control_send (control, to, cs_pack_payload (&pack));
      cs_pack_clear (&pack);
    }
}

/* The reachable members of this data centre but this node.  */
static GPtrArray *
mates (control_t *control)
{
  GPtrArray *list
      = cs_members_of_dc (control->members, control->node->settings.dc);
  g_ptr_array_remove (list, (gpointer)cs_members_self (control->members));
  return list;
}

static void
send_to_mates (control_t *control, const GPtrArray *records, guint fanout)
{
  GPtrArray *list = mates (control);
  guint count = MIN (fanout, list->len);
  guint start = list->len ? g_rand_int (control->ctx->random) % list->len : 0;
  for (guint i = 0; i < count; i++)
    {
      const cs_member_t *m = list->pdata[(start + i) % list->len];
      send_records (control, m->name, records);
    }
  g_ptr_array_unref (list);
}

static void
send_to_other_dcs (control_t *control, const GPtrArray *records)
{
  GPtrArray *dcs = cs_members_other_dcs (control->members);
  for (guint i = 0; i < dcs->len; i++)
    {
      GPtrArray *list = cs_members_of_dc (control->members, dcs->pdata[i]);
      if (list->len)
        send_records (control, ((cs_member_t *)list->pdata[0])->name, records);
      g_ptr_array_unref (list);
    }
  g_ptr_array_unref (dcs);
}

/* Whether RECORD speaks of a node of this data centre, or is a mark that
   this node was the first here to learn.  */
static bool
is_of_this_dc (const control_t *control, const cs_record_t *record)
{
  if (record->kind != CS_RECORD_NODE && record->kind != CS_RECORD_HEALTH)
    return false;
  return is_mate (control, cs_members_find (control->members, record->key));
}

void
control_publish (control_t *control, const cs_record_t *record)
{
  GPtrArray *one = g_ptr_array_new ();
  g_ptr_array_add (one, (gpointer)record);
  send_to_mates (control, one, G_MAXUINT);
  if (!control->from_other_dc)
    send_to_other_dcs (control, one);
  g_ptr_array_unref (one);
}

void
gossip_on_record (void *user, const cs_record_t *record)
{
  control_t *control = user;
  control->view_stale = true;
  if (record->kind == CS_RECORD_STRIKE || record->kind == CS_RECORD_ROLLBACK)
    control->view_urgent = true;
  keeper_on_record (control, record);
  /* An urgent record was sent to every mate by whoever published it, so it
     is passed on only by its publisher and on arrival from elsewhere.  */
  if (record->urgent && !control->from_mate)
    control_publish (control, record);
  else if (!record->urgent)
    {
      g_ptr_array_add (control->hot, cs_record_copy (record));
      if (is_of_this_dc (control, record))
        g_ptr_array_add (control->bridged, cs_record_copy (record));
    }
}

static void
pack_digest (control_t *control, cs_pack_t *pack, bool answer)
{
  uint64_t digests[CS_RECORD_DIGEST_BUCKETS];
  cs_records_digests (cs_members_records (control->members), digests);
  cs_pack_init (pack);
  cs_pack_array (pack, 5);
  cs_pack_int64 (pack, FRAME_DIGEST);
  cs_pack_int64 (pack, answer);
  cs_pack_int64 (pack, cs_dist_active_version (control->dist));
  cs_pack_int64 (pack, cs_dist_ready (control->dist));
  cs_pack_array (pack, CS_RECORD_DIGEST_BUCKETS);
  for (int i = 0; i < CS_RECORD_DIGEST_BUCKETS; i++)
    cs_pack_uint64 (pack, digests[i]);
}

static void
send_digest (control_t *control, const peer_address_t *to)
{
  cs_pack_t pack;
  pack_digest (control, &pack, false);
  cs_str_t payload = cs_pack_payload (&pack);
  cs_counter_add (CS_C_CONTROL_BYTES_OUT, payload.len + 4);
  peers_send (control->node->peers, to, payload, 0);
  cs_pack_clear (&pack);
}

static void
send_digest_to (control_t *control, const cs_member_t *m)
{
  peer_address_t to = { .port = m->port };
  g_strlcpy (to.name, m->name, sizeof to.name);
  g_strlcpy (to.host, m->host, sizeof to.host);
  send_digest (control, &to);
}

static void
answer_digest (control_t *control, const char *to)
{
  cs_pack_t pack;
  pack_digest (control, &pack, true);
  control_send (control, to, cs_pack_payload (&pack));
  cs_pack_clear (&pack);
}

void
gossip_take_digest (control_t *control, const char *from,
                    cs_unpack_cursor_t *in)
{
  uint64_t theirs[CS_RECORD_DIGEST_BUCKETS], ours[CS_RECORD_DIGEST_BUCKETS];
  bool answer = cs_unpack_int64 (in) != 0;
  cs_dist_message_t hold = { .type = CS_DIST_ANNOUNCE };
  hold.version = cs_unpack_int64 (in);
  hold.ready = cs_unpack_int64 (in) != 0;
  cs_unpack_cursor_t list = cs_unpack_array (in);
  for (int i = 0; i < CS_RECORD_DIGEST_BUCKETS; i++)
    theirs[i] = cs_unpack_uint64 (&list);
  if (in->failed || list.failed || hold.version < 0)
    {
      cs_counter_add (CS_C_FRAMES_REFUSED, 1);
      return;
    }
  cs_records_t *records = cs_members_records (control->members);
  cs_records_digests (records, ours);
  if (memcmp (ours, theirs, sizeof ours) != 0)
    {
      GPtrArray *differing = cs_record_list_new ();
      cs_records_collect_differing (records, theirs, differing);
      send_records (control, from, differing);
      g_ptr_array_unref (differing);
      if (!answer)
        answer_digest (control, from);
    }
  cs_dist_receive (control->ctx, control->dist, from, &hold);
}

void
gossip_take_records (control_t *control, const char *from,
                     cs_unpack_cursor_t *in)
{
  cs_unpack_cursor_t list = cs_unpack_array (in);
  const cs_member_t *sender = cs_members_find (control->members, from);
  control->from_mate = is_mate (control, sender);
  control->from_other_dc = sender && !control->from_mate;
  while (list.remaining && !list.failed)
    {
      cs_record_t *record = cs_record_unpack (&list);
      if (!record)
        break;
      cs_members_merge (control->ctx, control->members, record);
      cs_record_free (record);
    }
  control->from_mate = control->from_other_dc = false;
  if (list.failed)
    cs_counter_add (CS_C_FRAMES_REFUSED, 1);
}

void
gossip_heard (control_t *control, const char *from)
{
  const cs_member_t *m = cs_members_find (control->members, from);
  if (!m || is_mate (control, m))
    return;
  cs_usec_t *at = g_hash_table_lookup (control->heard, m->dc);
  if (!at)
    {
      at = g_new (cs_usec_t, 1);
      g_hash_table_insert (control->heard, g_strdup (m->dc), at);
    }
  *at = cs_now (control->ctx);
}

bool
gossip_heard_of_dc (void *user, const char *dc)
{
  control_t *control = user;
  const cs_usec_t *at = g_hash_table_lookup (control->heard, dc);
  return at && cs_now (control->ctx) - *at < HEARD_LIFE;
}

/* The member of DC to talk to: the first, or one after another while nothing
   is heard from there.  */
static const cs_member_t *
contact_of (control_t *control, const char *dc)
{
  GPtrArray *list = cs_members_of_dc (control->members, dc);
  guint pick = 0;
  if (list->len > 1 && !gossip_heard_of_dc (control, dc))
    pick = g_rand_int (control->ctx->random) % list->len;
  const cs_member_t *m = list->len ? list->pdata[pick] : NULL;
  g_ptr_array_unref (list);
  return m;
}

static void
compare_near (control_t *control)
{
  GPtrArray *list = mates (control);
  if (list->len)
    send_digest_to (
        control, list->pdata[g_rand_int (control->ctx->random) % list->len]);
  g_ptr_array_unref (list);
}

static void
compare_far (control_t *control)
{
  if (cs_members_own_rank (control->members) != 0)
    return;
  GPtrArray *dcs = cs_members_other_dcs (control->members);
  for (guint i = 0; i < dcs->len; i++)
    {
      const cs_member_t *m = contact_of (control, dcs->pdata[i]);
      if (m)
        send_digest_to (control, m);
    }
  g_ptr_array_unref (dcs);
}

/* Talk to an address from the settings, and to a member held to be dead, so
   that a mesh that fell apart finds together again.  One member of each part
   is enough for that: the first of its data centre by its own view.  */
static void
heal (control_t *control)
{
  bool joining = cs_members_self (control->members)->state == CS_NODE_JOINING;
  if (!joining && cs_members_own_rank (control->members) != 0)
    return;
  guint count = joining ? control->seeds->len : MIN (control->seeds->len, 1);
  for (guint i = 0; i < count; i++)
    send_digest (
        control,
        control->seeds->pdata[control->next_seed++ % control->seeds->len]);
  GPtrArray *all = cs_members_all (control->members);
  guint start = g_rand_int (control->ctx->random);
  for (guint i = 0; i < all->len; i++)
    {
      const cs_member_t *m = all->pdata[(start + i) % all->len];
      if (m->health != CS_DEAD || m->state == CS_NODE_LEFT)
        continue;
      send_digest_to (control, m);
      break;
    }
  g_ptr_array_unref (all);
}

static bool
is_due (control_t *control, cs_usec_t *last, cs_usec_t interval)
{
  cs_usec_t now = cs_now (control->ctx);
  if (now - *last < interval)
    return false;
  *last = now;
  return true;
}

void
gossip_tick (control_t *control)
{
  if (control->hot->len)
    {
      send_to_mates (control, control->hot, FANOUT);
      g_ptr_array_set_size (control->hot, 0);
    }
  if (is_due (control, &control->bridged_at, BRIDGE_INTERVAL))
    {
      if (control->bridged->len && cs_members_own_rank (control->members) == 0)
        send_to_other_dcs (control, control->bridged);
      g_ptr_array_set_size (control->bridged, 0);
    }
  if (is_due (control, &control->compared_at, COMPARE_INTERVAL))
    compare_near (control);
  if (is_due (control, &control->compared_far_at, COMPARE_FAR_INTERVAL))
    compare_far (control);
  bool joining = cs_members_self (control->members)->state == CS_NODE_JOINING;
  if (is_due (control, &control->healed_at,
              joining ? JOIN_INTERVAL : HEAL_INTERVAL))
    heal (control);
}

static void
add_seed (control_t *control, const char *text)
{
  peer_address_t *seed = g_new0 (peer_address_t, 1);
  char *host = NULL;
  if (cs_address_parse (control->ctx, text, &host, &seed->port) == CS_OK)
    {
      g_strlcpy (seed->host, host, sizeof seed->host);
      g_ptr_array_add (control->seeds, seed);
    }
  else
    g_free (seed);
  g_free (host);
}

void
gossip_init (control_t *control)
{
  const node_settings_t *s = &control->node->settings;
  char **seeds = g_strsplit (s->seeds, ",", -1);
  control->hot = cs_record_list_new ();
  control->bridged = cs_record_list_new ();
  control->heard
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  control->seeds = g_ptr_array_new_with_free_func (g_free);
  control->next_seed = g_rand_int (control->ctx->random);
  for (char **seed = seeds; *seed; seed++)
    if (*g_strstrip (*seed))
      add_seed (control, *seed);
  g_strfreev (seeds);
}

void
gossip_clear (control_t *control)
{
  g_ptr_array_unref (control->hot);
  g_ptr_array_unref (control->bridged);
  g_ptr_array_unref (control->seeds);
  g_hash_table_unref (control->heard);
}
