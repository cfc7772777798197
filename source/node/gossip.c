/* Exchange of records with the other members.  Urgent records are sent to all
   of them at once, others in batches to a few.  For anti-entropy, a node also
   sends digests of its records to random members; if they differ, both nodes
   send each other the records in question.  Between data centres, batches and
   digests are sent by the first member by rank of each; the rank is the
   position in the order of the hashes of the members' names.  */
#include <string.h>

#include "replica.h"

#define GOSSIP_FANOUT 3 /* Members that a batch is sent to.  */
#define OWN_DC_COMPARE_INTERVAL (1 * CS_SEC)
#define OTHER_DCS_COMPARE_INTERVAL (2 * CS_SEC)
#define CROSS_DC_SEND_INTERVAL (1 * CS_SEC)
#define PARTITION_HEAL_INTERVAL (3 * CS_SEC)
/* Since the last frame from a data centre; then it counts as unreachable.  */
#define DC_REACHABLE_TIMEOUT (6 * CS_SEC)
/* Replaces PARTITION_HEAL_INTERVAL while this node is joining.  */
#define JOIN_CONTACT_INTERVAL (300 * CS_MSEC)
#define RECORDS_PER_FRAME_MAX 400

/* Whether MEMBER, which may be NULL, is in this node's data centre.  */
static bool
is_in_own_dc (const control_t *control, const cs_member_t *member)
{
  return member && strcmp (member->dc, control->node->settings.dc) == 0;
}

static void
send_records (control_t *control, const char *recipient,
              const GPtrArray *records)
{
  for (guint offset = 0; offset < records->len;
       offset += RECORDS_PER_FRAME_MAX)
    {
      guint count = MIN (records->len - offset, RECORDS_PER_FRAME_MAX);
      cs_pack_t pack;
      cs_pack_init (&pack);
      cs_pack_array (&pack, 2);
      cs_pack_int64 (&pack, FRAME_RECORDS);
      cs_pack_array (&pack, count);
      for (guint i = 0; i < count; i++)
        cs_record_pack (&pack, records->pdata[offset + i]);
      control_send (control, recipient, cs_pack_payload (&pack));
      cs_pack_clear (&pack);
    }
}

/* The reachable members of this data centre without this node; the caller
   unrefs the list.  */
static GPtrArray *
dc_peers (control_t *control)
{
  GPtrArray *members
      = cs_members_of_dc (control->members, control->node->settings.dc);
  g_ptr_array_remove (members, (gpointer)cs_members_self (control->members));
  return members;
}

/* Send RECORDS to at most FANOUT members of this data centre, from a random
   one on in order of rank.  */
static void
send_to_dc_peers (control_t *control, const GPtrArray *records, guint fanout)
{
  GPtrArray *members = dc_peers (control);
  guint count = MIN (fanout, members->len);
  guint start
      = members->len ? g_rand_int (control->ctx->random) % members->len : 0;
  for (guint i = 0; i < count; i++)
    {
      const cs_member_t *member = members->pdata[(start + i) % members->len];
      send_records (control, member->name, records);
    }
  g_ptr_array_unref (members);
}

/* Send RECORDS to the first member of each other data centre.  */
static void
send_to_other_dcs (control_t *control, const GPtrArray *records)
{
  GPtrArray *dcs = cs_members_other_dcs (control->members);
  for (guint i = 0; i < dcs->len; i++)
    {
      GPtrArray *members = cs_members_of_dc (control->members, dcs->pdata[i]);
      if (members->len)
        send_records (control, ((cs_member_t *)members->pdata[0])->name,
                      records);
      g_ptr_array_unref (members);
    }
  g_ptr_array_unref (dcs);
}

/* Whether RECORD is the state or health of a node of this data centre.  */
static bool
describes_own_dc_node (const control_t *control, const cs_record_t *record)
{
  if (record->kind != CS_RECORD_NODE && record->kind != CS_RECORD_HEALTH)
    return false;
  return is_in_own_dc (control,
                       cs_members_find (control->members, record->key));
}

void
control_send_urgent_record (control_t *control, const cs_record_t *record)
{
  GPtrArray *records = g_ptr_array_new ();
  g_ptr_array_add (records, (gpointer)record);
  send_to_dc_peers (control, records, G_MAXUINT);
  if (!control->merging_from_other_dc)
    send_to_other_dcs (control, records);
  g_ptr_array_unref (records);
}

void
gossip_on_record (void *user, const cs_record_t *record)
{
  control_t *control = user;
  control->rebuild_view_at_tick = true;
  if (record->kind == CS_RECORD_CRASH || record->kind == CS_RECORD_ROLLBACK)
    control->rebuild_view_now = true;
  replica_on_record (control, record);
  /* The node that publishes an urgent record sends it to every member of its
     data centre.  So it is forwarded only if it did not come from there.  */
  if (record->urgent && !control->merging_from_own_dc)
    control_send_urgent_record (control, record);
  else if (!record->urgent)
    {
      g_ptr_array_add (control->unsent_records, cs_record_copy (record));
      if (describes_own_dc_node (control, record))
        g_ptr_array_add (control->unsent_cross_dc_records,
                         cs_record_copy (record));
    }
}

/* Encode FRAME_DIGEST: the digests of the records, and the active
   configuration version as in CS_DIST_ANNOUNCE.  IS_ANSWER: it answers another
   digest, and is not answered.  */
static void
pack_digest (control_t *control, cs_pack_t *pack, bool is_answer)
{
  uint64_t digests[CS_RECORD_DIGEST_BUCKETS];
  cs_records_digests (cs_members_records (control->members), digests);
  cs_pack_init (pack);
  cs_pack_array (pack, 5);
  cs_pack_int64 (pack, FRAME_DIGEST);
  cs_pack_int64 (pack, is_answer);
  cs_pack_int64 (pack, cs_dist_active_version (control->dist));
  cs_pack_int64 (pack, cs_dist_ready (control->dist));
  cs_pack_array (pack, CS_RECORD_DIGEST_BUCKETS);
  for (int i = 0; i < CS_RECORD_DIGEST_BUCKETS; i++)
    cs_pack_uint64 (pack, digests[i]);
}

static void
send_digest_to_address (control_t *control, const peer_address_t *recipient)
{
  cs_pack_t pack;
  pack_digest (control, &pack, false);
  cs_str_t payload = cs_pack_payload (&pack);
  cs_counter_add (CS_C_CONTROL_BYTES_OUT, payload.len + FRAME_LENGTH_BYTES);
  peers_send (control->node->peers, recipient, payload, 0);
  cs_pack_clear (&pack);
}

static void
send_digest_to_member (control_t *control, const cs_member_t *member)
{
  peer_address_t recipient = { .port = member->port };
  g_strlcpy (recipient.name, member->name, sizeof recipient.name);
  g_strlcpy (recipient.host, member->host, sizeof recipient.host);
  send_digest_to_address (control, &recipient);
}

static void
answer_digest (control_t *control, const char *recipient)
{
  cs_pack_t pack;
  pack_digest (control, &pack, true);
  control_send (control, recipient, cs_pack_payload (&pack));
  cs_pack_clear (&pack);
}

void
gossip_handle_digest (control_t *control, const char *from,
                      cs_unpack_cursor_t *cursor)
{
  uint64_t their_digests[CS_RECORD_DIGEST_BUCKETS],
      own_digests[CS_RECORD_DIGEST_BUCKETS];
  bool is_answer = cs_unpack_int64 (cursor) != 0;
  cs_dist_message_t announcement = { .type = CS_DIST_ANNOUNCE };
  announcement.version = cs_unpack_int64 (cursor);
  announcement.ready = cs_unpack_int64 (cursor) != 0;
  cs_unpack_cursor_t digests = cs_unpack_array (cursor);
  for (int i = 0; i < CS_RECORD_DIGEST_BUCKETS; i++)
    their_digests[i] = cs_unpack_uint64 (&digests);
  if (cursor->failed || digests.failed || announcement.version < 0)
    {
      cs_counter_add (CS_C_FRAMES_REFUSED, 1);
      return;
    }
  cs_records_t *records = cs_members_records (control->members);
  cs_records_digests (records, own_digests);
  if (memcmp (own_digests, their_digests, sizeof own_digests) != 0)
    {
      GPtrArray *differing = cs_record_list_new ();
      cs_records_collect_differing (records, their_digests, differing);
      send_records (control, from, differing);
      g_ptr_array_unref (differing);
      if (!is_answer)
        answer_digest (control, from);
    }
  cs_dist_receive (control->ctx, control->dist, from, &announcement);
}

void
gossip_handle_records (control_t *control, const char *from,
                       cs_unpack_cursor_t *cursor)
{
  cs_unpack_cursor_t records = cs_unpack_array (cursor);
  const cs_member_t *sender = cs_members_find (control->members, from);
  control->merging_from_own_dc = is_in_own_dc (control, sender);
  control->merging_from_other_dc = sender && !control->merging_from_own_dc;
  while (records.remaining && !records.failed)
    {
      cs_record_t *record = cs_record_unpack (&records);
      if (!record)
        break;
      cs_members_merge (control->ctx, control->members, record);
      cs_record_free (record);
    }
  control->merging_from_own_dc = control->merging_from_other_dc = false;
  if (records.failed)
    cs_counter_add (CS_C_FRAMES_REFUSED, 1);
}

void
gossip_frame_received (control_t *control, const char *from)
{
  const cs_member_t *member = cs_members_find (control->members, from);
  if (!member || is_in_own_dc (control, member))
    return;
  cs_usec_t *last_frame_at
      = g_hash_table_lookup (control->dc_last_frame_at, member->dc);
  if (!last_frame_at)
    {
      last_frame_at = g_new (cs_usec_t, 1);
      g_hash_table_insert (control->dc_last_frame_at, g_strdup (member->dc),
                           last_frame_at);
    }
  *last_frame_at = cs_now (control->ctx);
}

bool
gossip_dc_reachable (void *user, const char *dc)
{
  control_t *control = user;
  const cs_usec_t *last_frame_at
      = g_hash_table_lookup (control->dc_last_frame_at, dc);
  return last_frame_at
         && cs_now (control->ctx) - *last_frame_at < DC_REACHABLE_TIMEOUT;
}

/* The member of DC to send a digest to, borrowed; NULL if there is none.  It
   is the first by rank, or a random one while DC is not reachable.  */
static const cs_member_t *
choose_contact (control_t *control, const char *dc)
{
  GPtrArray *members = cs_members_of_dc (control->members, dc);
  guint index = 0;
  if (members->len > 1 && !gossip_dc_reachable (control, dc))
    index = g_rand_int (control->ctx->random) % members->len;
  const cs_member_t *member = members->len ? members->pdata[index] : NULL;
  g_ptr_array_unref (members);
  return member;
}

/* Send a digest to a random member of this data centre.  */
static void
compare_with_own_dc (control_t *control)
{
  GPtrArray *members = dc_peers (control);
  if (members->len)
    send_digest_to_member (
        control,
        members->pdata[g_rand_int (control->ctx->random) % members->len]);
  g_ptr_array_unref (members);
}

/* Send a digest to each other data centre, if this node is the first by rank
   of its own.  */
static void
compare_with_other_dcs (control_t *control)
{
  if (cs_members_own_rank (control->members) != 0)
    return;
  GPtrArray *dcs = cs_members_other_dcs (control->members);
  for (guint i = 0; i < dcs->len; i++)
    {
      const cs_member_t *member = choose_contact (control, dcs->pdata[i]);
      if (member)
        send_digest_to_member (control, member);
    }
  g_ptr_array_unref (dcs);
}

/* Send a digest to a seed and to a random dead member, so that the parts of a
   mesh that was partitioned merge again.  It is enough if one member of each
   part does it: the first by rank of its data centre, in its own view.  A
   joining node also calls this, to become known to the mesh, and sends digests
   to all seeds.  */
static void
heal_partition (control_t *control)
{
  bool joining = cs_members_self (control->members)->state == CS_NODE_JOINING;
  if (!joining && cs_members_own_rank (control->members) != 0)
    return;
  guint count = joining ? control->seed_addresses->len
                        : MIN (control->seed_addresses->len, 1);
  for (guint i = 0; i < count; i++)
    send_digest_to_address (
        control,
        control->seed_addresses->pdata[control->next_seed_index++
                                       % control->seed_addresses->len]);
  GPtrArray *members = cs_members_all (control->members);
  guint start = g_rand_int (control->ctx->random);
  for (guint i = 0; i < members->len; i++)
    {
      const cs_member_t *member = members->pdata[(start + i) % members->len];
      if (member->health != CS_DEAD || member->state == CS_NODE_LEFT)
        continue;
      send_digest_to_member (control, member);
      break;
    }
  g_ptr_array_unref (members);
}

/* Whether INTERVAL has passed since *LAST_TIME, which is then set to now.  */
static bool
is_due (control_t *control, cs_usec_t *last_time, cs_usec_t interval)
{
  cs_usec_t now = cs_now (control->ctx);
  if (now - *last_time < interval)
    return false;
  *last_time = now;
  return true;
}

void
gossip_tick (control_t *control)
{
  if (control->unsent_records->len)
    {
      send_to_dc_peers (control, control->unsent_records, GOSSIP_FANOUT);
      g_ptr_array_set_size (control->unsent_records, 0);
    }
  if (is_due (control, &control->cross_dc_sent_at, CROSS_DC_SEND_INTERVAL))
    {
      /* Every member of the data centre collects these records, but only the
         first by rank sends them; the others drop theirs.  */
      if (control->unsent_cross_dc_records->len
          && cs_members_own_rank (control->members) == 0)
        send_to_other_dcs (control, control->unsent_cross_dc_records);
      g_ptr_array_set_size (control->unsent_cross_dc_records, 0);
    }
  if (is_due (control, &control->own_dc_compared_at, OWN_DC_COMPARE_INTERVAL))
    compare_with_own_dc (control);
  if (is_due (control, &control->other_dcs_compared_at,
              OTHER_DCS_COMPARE_INTERVAL))
    compare_with_other_dcs (control);
  bool joining = cs_members_self (control->members)->state == CS_NODE_JOINING;
  if (is_due (control, &control->partition_heal_at,
              joining ? JOIN_CONTACT_INTERVAL : PARTITION_HEAL_INTERVAL))
    heal_partition (control);
}

/* Add the seed ADDRESS, "IP:PORT".  main.c has checked the setting, so that a
   malformed one is only ignored here.  */
static void
add_seed (control_t *control, const char *address)
{
  peer_address_t *seed = g_new0 (peer_address_t, 1);
  char *host = NULL;
  if (cs_address_parse (control->ctx, address, &host, &seed->port) == CS_OK)
    {
      g_strlcpy (seed->host, host, sizeof seed->host);
      g_ptr_array_add (control->seed_addresses, seed);
    }
  else
    g_free (seed);
  g_free (host);
}

void
gossip_init (control_t *control)
{
  const node_settings_t *settings = &control->node->settings;
  char **seed_list = g_strsplit (settings->seeds, ",", -1);
  control->unsent_records = cs_record_list_new ();
  control->unsent_cross_dc_records = cs_record_list_new ();
  control->dc_last_frame_at
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  control->seed_addresses = g_ptr_array_new_with_free_func (g_free);
  control->next_seed_index = g_rand_int (control->ctx->random);
  for (char **seed = seed_list; *seed; seed++)
    if (*g_strstrip (*seed))
      add_seed (control, *seed);
  g_strfreev (seed_list);
}

void
gossip_clear (control_t *control)
{
  g_ptr_array_unref (control->unsent_records);
  g_ptr_array_unref (control->unsent_cross_dc_records);
  g_ptr_array_unref (control->seed_addresses);
  g_hash_table_unref (control->dc_last_frame_at);
}
