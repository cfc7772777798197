#include <string.h>

#include "cardamom/records.h"

struct cs_records
{
  GHashTable *by_kind[CS_RECORD_KIND_COUNT]; /* key -> cs_record_t.  */
  uint64_t digests[CS_RECORD_DIGEST_BUCKETS];
  size_t count;
  cs_record_callback_t watch;
  void *watch_user;
};

cs_record_t *
cs_record_new (cs_record_kind_t kind, const char *key, uint64_t incarnation,
               uint64_t seq, cs_str_t value)
{
  cs_record_t *record = g_new0 (cs_record_t, 1);
  record->kind = kind;
  record->key = g_strdup (key);
  record->incarnation = incarnation;
  record->seq = seq;
  record->value = g_string_new_len (value.data, (gssize)value.len);
  return record;
}

cs_record_t *
cs_record_copy (const cs_record_t *record)
{
  cs_record_t *copy
      = cs_record_new (record->kind, record->key, record->incarnation,
                       record->seq, cs_str_of_gstring (record->value));
  copy->expires_ms = record->expires_ms;
  copy->urgent = record->urgent;
  return copy;
}

void
cs_record_free (void *data)
{
  cs_record_t *record = data;
  if (!record)
    return;
  g_free (record->key);
  g_string_free (record->value, TRUE);
  g_free (record);
}

GPtrArray *
cs_record_list_new (void)
{
  return g_ptr_array_new_with_free_func (cs_record_free);
}

void
cs_record_pack (cs_pack_t *pack, const cs_record_t *record)
{
  cs_pack_array (pack, 7);
  cs_pack_int64 (pack, record->kind);
  cs_pack_text (pack, record->key);
  cs_pack_uint64 (pack, record->incarnation);
  cs_pack_uint64 (pack, record->seq);
  cs_pack_int64 (pack, record->expires_ms);
  cs_pack_int64 (pack, record->urgent);
  cs_pack_bytes (pack, cs_str_of_gstring (record->value));
}

cs_record_t *
cs_record_unpack (cs_unpack_cursor_t *cursor)
{
  cs_unpack_cursor_t in = cs_unpack_array (cursor);
  int64_t kind = cs_unpack_int64 (&in);
  cs_str_t key = cs_unpack_str (&in);
  uint64_t incarnation = cs_unpack_uint64 (&in);
  uint64_t seq = cs_unpack_uint64 (&in);
  int64_t expires = cs_unpack_int64 (&in);
  bool urgent = cs_unpack_int64 (&in) != 0;
  cs_str_t value = cs_unpack_str (&in);
  if (in.failed || kind < 0 || kind >= CS_RECORD_KIND_COUNT || key.len == 0
      || key.len > 1024 || value.len > CS_RECORD_VALUE_MAX_BYTES)
    {
      cursor->failed = true;
      return NULL;
    }
  char *name = cs_str_dup (key);
  cs_record_t *record
      = cs_record_new ((cs_record_kind_t)kind, name, incarnation, seq, value);
  record->expires_ms = expires;
  record->urgent = urgent;
  g_free (name);
  return record;
}

cs_records_t *
cs_records_new (cs_ctx_t *ctx)
{
  cs_records_t *records = cs_calloc (ctx, sizeof *records);
  for (int i = 0; i < CS_RECORD_KIND_COUNT; i++)
    records->by_kind[i] = g_hash_table_new_full (g_str_hash, g_str_equal, NULL,
                                                 cs_record_free);
  return records;
}

void
cs_records_drop (cs_ctx_t *ctx, cs_records_t *records)
{
  if (!records)
    return;
  for (int i = 0; i < CS_RECORD_KIND_COUNT; i++)
    g_hash_table_unref (records->by_kind[i]);
  cs_free (ctx, records);
}

void
cs_records_watch (cs_records_t *records, cs_record_callback_t watch,
                  void *user)
{
  records->watch = watch;
  records->watch_user = user;
}

static unsigned
bucket_of (const cs_record_t *record)
{
  return cs_hash_text (record->key, record->kind) % CS_RECORD_DIGEST_BUCKETS;
}

/* Add RECORD to the digest of its bucket, or remove it.  A node's own record
   and the suspicion of it have the same key, so the kind is part of the
   digest.  Expiry and urgency are not, as copies of one version are never
   replaced by each other.  Copies of a health record may differ in the expiry,
   which every node that publishes it derives from its own time.  */
static void
toggle_digest (cs_records_t *records, const cs_record_t *record)
{
  uint64_t version[3] = { record->kind, record->incarnation, record->seq };
  records->digests[bucket_of (record)]
      ^= cs_hash (version, sizeof version, cs_hash_text (record->key, 0));
}

static bool
is_newer (const cs_record_t *a, const cs_record_t *b)
{
  if (a->incarnation != b->incarnation)
    return a->incarnation > b->incarnation;
  return a->seq > b->seq;
}

static bool
is_expired (const cs_record_t *record, int64_t now_ms)
{
  return record->expires_ms && record->expires_ms <= now_ms;
}

bool
cs_records_merge (cs_records_t *records, const cs_record_t *record,
                  int64_t now_ms)
{
  GHashTable *table = records->by_kind[record->kind];
  cs_record_t *held = g_hash_table_lookup (table, record->key);
  if (is_expired (record, now_ms) || (held && !is_newer (record, held)))
    return false;
  if (!held && records->count >= CS_RECORDS_MAX)
    return false;
  if (held)
    toggle_digest (records, held);
  else
    records->count++;
  cs_record_t *copy = cs_record_copy (record);
  g_hash_table_replace (table, copy->key, copy);
  toggle_digest (records, copy);
  if (records->watch)
    records->watch (records->watch_user, copy);
  return true;
}

const cs_record_t *
cs_records_find (const cs_records_t *records, cs_record_kind_t kind,
                 const char *key)
{
  return g_hash_table_lookup (records->by_kind[kind], key);
}

void
cs_records_foreach (const cs_records_t *records, cs_record_kind_t kind,
                    cs_record_callback_t visit, void *user)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, records->by_kind[kind]);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    visit (user, value);
}

size_t
cs_records_count (const cs_records_t *records)
{
  return records->count;
}

void
cs_records_expire (cs_records_t *records, int64_t now_ms)
{
  for (int i = 0; i < CS_RECORD_KIND_COUNT; i++)
    {
      GHashTableIter iter;
      gpointer value;
      g_hash_table_iter_init (&iter, records->by_kind[i]);
      while (g_hash_table_iter_next (&iter, NULL, &value))
        if (is_expired (value, now_ms))
          {
            toggle_digest (records, value);
            records->count--;
            g_hash_table_iter_remove (&iter);
          }
    }
}

void
cs_records_digests (const cs_records_t *records,
                    uint64_t digests[CS_RECORD_DIGEST_BUCKETS])
{
  memcpy (digests, records->digests, sizeof records->digests);
}

typedef struct
{
  const cs_records_t *records;
  const uint64_t *peer_digests;
  GPtrArray *out;
} collector_t;

static void
collect_differing (void *user, const cs_record_t *record)
{
  collector_t *collector = user;
  unsigned bucket = bucket_of (record);
  if (collector->records->digests[bucket] != collector->peer_digests[bucket])
    g_ptr_array_add (collector->out, cs_record_copy (record));
}

void
cs_records_collect_differing (
    const cs_records_t *records,
    const uint64_t peer_digests[CS_RECORD_DIGEST_BUCKETS], GPtrArray *out)
{
  collector_t collector
      = { .records = records, .peer_digests = peer_digests, .out = out };
  for (int i = 0; i < CS_RECORD_KIND_COUNT; i++)
    cs_records_foreach (records, (cs_record_kind_t)i, collect_differing,
                        &collector);
}
