#include <string.h>

#include "cardamom/members.h"

struct cs_members
{
  cs_ctx_t *ctx;
  cs_records_t *records;
  GHashTable *by_name; /* name -> cs_member_t.  */
  cs_member_t *self;
  uint64_t generation;
  int64_t published_ms;
  cs_record_callback_t watch;
  void *watch_user;
};

static void
free_member (gpointer data)
{
  cs_member_t *member = data;
  g_free (member->name);
  g_free (member->host);
  g_free (member->dc);
  g_free (member->region);
  g_free (member->endpoint.service);
  g_free (member->endpoint.version);
  g_free (member);
}

static void
pack_member (cs_pack_t *pack, const cs_member_t *member)
{
  cs_pack_array (pack, 12);
  cs_pack_text (pack, member->host);
  cs_pack_int64 (pack, member->port);
  cs_pack_int64 (pack, member->admin_port);
  cs_pack_text (pack, member->dc);
  cs_pack_text (pack, member->region);
  cs_pack_int64 (pack, member->state);
  cs_pack_text (pack, member->endpoint.service);
  cs_pack_text (pack, member->endpoint.version);
  cs_pack_int64 (pack, member->endpoint.slots);
  cs_pack_int64 (pack, member->endpoint.draining);
  cs_pack_int64 (pack, member->endpoint.announced_ms);
  cs_pack_uint64 (pack, member->boot);
}

static void
replace_text (char **slot, char *text)
{
  g_free (*slot);
  *slot = text;
}

static bool
unpack_member (cs_ctx_t *ctx, const cs_record_t *record, cs_member_t *member)
{
  cs_unpack_t unpack;
  cs_unpack_cursor_t in;
  if (cs_unpack_init (ctx, &unpack, cs_str_of_gstring (record->value), &in)
      != CS_OK)
    return false;
  replace_text (&member->host, cs_unpack_text (&in));
  member->port = (unsigned)cs_unpack_int64 (&in);
  member->admin_port = (unsigned)cs_unpack_int64 (&in);
  replace_text (&member->dc, cs_unpack_text (&in));
  replace_text (&member->region, cs_unpack_text (&in));
  int64_t state = cs_unpack_int64 (&in);
  replace_text (&member->endpoint.service, cs_unpack_text (&in));
  replace_text (&member->endpoint.version, cs_unpack_text (&in));
  member->endpoint.slots = cs_unpack_int64 (&in);
  member->endpoint.draining = cs_unpack_int64 (&in) != 0;
  member->endpoint.announced_ms = cs_unpack_int64 (&in);
  member->boot = cs_unpack_uint64 (&in);
  member->state = (cs_node_state_t)state;
  cs_unpack_clear (&unpack);
  return !in.failed && state >= CS_NODE_JOINING && state <= CS_NODE_LEFT
         && member->port <= 65535 && member->admin_port <= 65535;
}

/* Recompute the health of MEMBER from its own record and the newest suspicion
   of it, whose seq is as in CS_RECORD_HEALTH.  A suspicion of an older
   incarnation has been refuted.  */
static void
derive_health (cs_members_t *members, cs_member_t *member)
{
  const cs_record_t *health_record
      = cs_records_find (members->records, CS_RECORD_HEALTH, member->name);
  cs_health_t health = CS_ALIVE;
  if (health_record && health_record->incarnation >= member->incarnation)
    health = health_record->seq >= 2 ? CS_DEAD : CS_SUSPECT;
  if (health == CS_SUSPECT && member->health != CS_SUSPECT)
    member->suspect_since = cs_now (members->ctx);
  member->health = health;
}

static void
apply_node_record (cs_members_t *members, const cs_record_t *record)
{
  cs_member_t *member = g_hash_table_lookup (members->by_name, record->key);
  cs_member_t *new_member = g_new0 (cs_member_t, 1);
  new_member->name = g_strdup (record->key);
  new_member->incarnation = record->incarnation;
  new_member->seq = record->seq;
  new_member->rank_hash = cs_hash_text (record->key, 0);
  if (!unpack_member (members->ctx, record, new_member))
    {
      free_member (new_member);
      return;
    }
  if (member)
    {
      new_member->health = member->health;
      new_member->suspect_since = member->suspect_since;
    }
  g_hash_table_replace (members->by_name, new_member->name, new_member);
  derive_health (members, new_member);
}

static void
publish_self (cs_members_t *members, bool urgent)
{
  cs_pack_t pack;
  cs_member_t *self = members->self;
  int64_t now_ms = cs_now_wall (members->ctx) / CS_MSEC;
  cs_pack_init (&pack);
  pack_member (&pack, self);
  cs_record_t *record
      = cs_record_new (CS_RECORD_NODE, self->name, self->incarnation,
                       ++self->seq, cs_pack_payload (&pack));
  record->expires_ms = now_ms + CS_NODE_RECORD_TTL_MS;
  record->urgent = urgent;
  members->published_ms = now_ms;
  cs_records_merge (members->records, record, now_ms);
  cs_record_free (record);
  cs_pack_clear (&pack);
}

/* Refute a suspicion of this node by publishing a higher incarnation.  */
static void
refute (cs_members_t *members, const cs_record_t *health_record)
{
  cs_member_t *self = members->self;
  if (health_record->incarnation < self->incarnation
      || self->state == CS_NODE_LEFT)
    return;
  self->incarnation = health_record->incarnation + 1;
  self->seq = 0;
  publish_self (members, true);
}

static void
on_record (void *user, const cs_record_t *record)
{
  cs_members_t *members = user;
  bool is_self = strcmp (record->key, members->self->name) == 0;
  if (record->kind == CS_RECORD_NODE && !is_self)
    apply_node_record (members, record);
  if (record->kind == CS_RECORD_HEALTH)
    {
      cs_member_t *member
          = g_hash_table_lookup (members->by_name, record->key);
      if (member && !is_self)
        derive_health (members, member);
    }
  members->generation++;
  if (members->watch)
    members->watch (members->watch_user, record);
  if (record->kind == CS_RECORD_HEALTH && is_self)
    refute (members, record);
}

cs_members_t *
cs_members_new (cs_ctx_t *ctx, const cs_identity_t *identity)
{
  cs_members_t *members = cs_calloc (ctx, sizeof *members);
  cs_member_t *self = g_new0 (cs_member_t, 1);
  members->ctx = ctx;
  members->records = cs_records_new (ctx);
  members->by_name
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_member);
  *self = (cs_member_t){
    .name = g_strdup (identity->name),
    .host = g_strdup (identity->host),
    .port = identity->port,
    .admin_port = identity->admin_port,
    .dc = g_strdup (identity->dc),
    .region = g_strdup (identity->region),
    .endpoint = { .service = g_strdup (""), .version = g_strdup ("") },
    .boot = (uint64_t)(cs_now_wall (ctx) / CS_MSEC),
    .incarnation = (uint64_t)(cs_now_wall (ctx) / CS_MSEC),
    .rank_hash = cs_hash_text (identity->name, 0),
  };
  members->self = self;
  g_hash_table_insert (members->by_name, self->name, self);
  cs_records_watch (members->records, on_record, members);
  publish_self (members, false);
  return members;
}

void
cs_members_drop (cs_ctx_t *ctx, cs_members_t *members)
{
  if (!members)
    return;
  cs_records_drop (ctx, members->records);
  g_hash_table_unref (members->by_name);
  cs_free (ctx, members);
}

cs_records_t *
cs_members_records (cs_members_t *members)
{
  return members->records;
}

bool
cs_members_merge (cs_ctx_t *ctx, cs_members_t *members,
                  const cs_record_t *record)
{
  cs_member_t *self = members->self;
  /* An earlier process with this node's name may have published a higher
     incarnation, as when the host's clock was set back.  */
  if (record->kind == CS_RECORD_NODE && strcmp (record->key, self->name) == 0
      && (record->incarnation > self->incarnation
          || (record->incarnation == self->incarnation
              && record->seq > self->seq)))
    {
      self->incarnation = record->incarnation + 1;
      self->seq = 0;
      publish_self (members, true);
      return false;
    }
  return cs_records_merge (members->records, record,
                           cs_now_wall (ctx) / CS_MSEC);
}

void
cs_members_watch (cs_members_t *members, cs_record_callback_t watch,
                  void *user)
{
  members->watch = watch;
  members->watch_user = user;
}

const cs_member_t *
cs_members_self (const cs_members_t *members)
{
  return members->self;
}

void
cs_members_set_state (cs_ctx_t *ctx, cs_members_t *members,
                      cs_node_state_t state)
{
  (void)ctx;
  if (members->self->state == state)
    return;
  members->self->state = state;
  publish_self (members, true);
}

void
cs_members_set_endpoint (cs_ctx_t *ctx, cs_members_t *members,
                         const cs_endpoint_t *endpoint, bool urgent)
{
  (void)ctx;
  cs_endpoint_t *own = &members->self->endpoint;
  replace_text (&own->service, g_strdup (endpoint->service));
  replace_text (&own->version, g_strdup (endpoint->version));
  own->slots = endpoint->slots;
  own->draining = endpoint->draining;
  own->announced_ms = endpoint->announced_ms;
  publish_self (members, urgent);
}

void
cs_members_refresh (cs_ctx_t *ctx, cs_members_t *members)
{
  if (cs_now_wall (ctx) / CS_MSEC - members->published_ms
      > CS_NODE_RECORD_REFRESH_MS)
    publish_self (members, false);
}

void
cs_members_publish_health (cs_ctx_t *ctx, cs_members_t *members,
                           const cs_member_t *member, cs_health_t health)
{
  int64_t now_ms = cs_now_wall (ctx) / CS_MSEC;
  cs_record_t *record
      = cs_record_new (CS_RECORD_HEALTH, member->name, member->incarnation,
                       health == CS_DEAD ? 2 : 1, (cs_str_t){ 0 });
  record->expires_ms = now_ms + CS_NODE_RECORD_TTL_MS;
  record->urgent = health == CS_DEAD;
  cs_records_merge (members->records, record, now_ms);
  cs_record_free (record);
}

const cs_member_t *
cs_members_find (const cs_members_t *members, const char *name)
{
  return g_hash_table_lookup (members->by_name, name);
}

bool
cs_member_reachable (const cs_member_t *member)
{
  return member->health != CS_DEAD && member->state != CS_NODE_LEFT;
}

static gint
compare_rank (gconstpointer a, gconstpointer b)
{
  const cs_member_t *member_a = *(const cs_member_t *const *)a;
  const cs_member_t *member_b = *(const cs_member_t *const *)b;
  if (member_a->rank_hash != member_b->rank_hash)
    return member_a->rank_hash < member_b->rank_hash ? -1 : 1;
  return strcmp (member_a->name, member_b->name);
}

GPtrArray *
cs_members_all (const cs_members_t *members)
{
  GHashTableIter iter;
  gpointer value;
  GPtrArray *list = g_ptr_array_new ();
  g_hash_table_iter_init (&iter, members->by_name);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    g_ptr_array_add (list, value);
  g_ptr_array_sort (list, compare_rank);
  return list;
}

GPtrArray *
cs_members_of_dc (const cs_members_t *members, const char *dc)
{
  GHashTableIter iter;
  gpointer value;
  GPtrArray *list = g_ptr_array_new ();
  g_hash_table_iter_init (&iter, members->by_name);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      cs_member_t *member = value;
      if (cs_member_reachable (member) && strcmp (member->dc, dc) == 0)
        g_ptr_array_add (list, member);
    }
  g_ptr_array_sort (list, compare_rank);
  return list;
}

static gint
compare_names (gconstpointer a, gconstpointer b)
{
  return strcmp (*(const char *const *)a, *(const char *const *)b);
}

GPtrArray *
cs_members_other_dcs (const cs_members_t *members)
{
  GHashTableIter iter;
  gpointer value;
  GPtrArray *dcs = g_ptr_array_new_with_free_func (g_free);
  g_hash_table_iter_init (&iter, members->by_name);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const cs_member_t *member = value;
      if (cs_member_reachable (member)
          && strcmp (member->dc, members->self->dc) != 0
          && !g_ptr_array_find_with_equal_func (dcs, member->dc, g_str_equal,
                                                NULL))
        g_ptr_array_add (dcs, g_strdup (member->dc));
    }
  g_ptr_array_sort (dcs, compare_names);
  return dcs;
}

unsigned
cs_members_own_rank (const cs_members_t *members)
{
  unsigned rank = 0;
  GPtrArray *peers = cs_members_of_dc (members, members->self->dc);
  while (rank < peers->len && peers->pdata[rank] != members->self)
    rank++;
  g_ptr_array_unref (peers);
  return rank;
}

bool
cs_members_own_dc_leads (const cs_members_t *members, const char *region,
                         bool (*dc_reachable) (void *user, const char *dc),
                         void *user)
{
  GHashTableIter iter;
  gpointer value;
  const cs_member_t *self = members->self;
  uint64_t own = cs_hash_text (self->dc, 0);
  g_hash_table_iter_init (&iter, members->by_name);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const cs_member_t *member = value;
      if (cs_member_reachable (member)
          && (!region || strcmp (member->region, region) == 0)
          && strcmp (member->dc, self->dc) != 0
          && cs_hash_text (member->dc, 0) < own
          && dc_reachable (user, member->dc))
        return false;
    }
  return true;
}

uint64_t
cs_members_generation (const cs_members_t *members)
{
  return members->generation;
}
