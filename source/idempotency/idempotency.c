#include <string.h>

#include "cardamom/idempotency.h"

struct cs_idempotency_table
{
  GHashTable *table;     /* key -> cs_idempotency_record_t.  */
  GQueue results_by_age; /* Keys of records with a result, oldest first;
                               keys of removed records may remain.  */
  size_t records_max, bytes_max, bytes;
};

void
cs_idempotency_record_free (void *data)
{
  cs_idempotency_record_t *record = data;
  if (!record)
    return;
  g_free (record->key);
  g_free (record->owner);
  if (record->result)
    g_string_free (record->result, TRUE);
  g_free (record);
}

static cs_idempotency_record_t *
copy_record (const cs_idempotency_record_t *from)
{
  cs_idempotency_record_t *copy = g_new (cs_idempotency_record_t, 1);
  *copy = *from;
  copy->key = g_strdup (from->key);
  copy->owner = g_strdup (from->owner);
  copy->result = from->result ? g_string_new_len (from->result->str,
                                                  (gssize)from->result->len)
                              : NULL;
  return copy;
}

void
cs_idempotency_record_pack (cs_pack_t *pack,
                            const cs_idempotency_record_t *record)
{
  cs_pack_array (pack, 9);
  cs_pack_text (pack, record->key);
  cs_pack_text (pack, record->owner);
  cs_pack_uint64 (pack, record->owner_boot_id);
  cs_pack_uint64 (pack, record->claim_id);
  cs_pack_uint64 (pack, record->fingerprint);
  cs_pack_int64 (pack, record->state);
  cs_pack_int64 (pack, record->expires_ms);
  cs_pack_int64 (pack, record->result != NULL);
  cs_pack_bytes (pack, record->result ? cs_str_of_gstring (record->result)
                                      : (cs_str_t){ 0 });
}

cs_idempotency_record_t *
cs_idempotency_record_unpack (cs_unpack_cursor_t *cursor)
{
  cs_unpack_cursor_t in = cs_unpack_array (cursor);
  cs_idempotency_record_t *record = g_new0 (cs_idempotency_record_t, 1);
  record->key = cs_unpack_text (&in);
  record->owner = cs_unpack_text (&in);
  record->owner_boot_id = cs_unpack_uint64 (&in);
  record->claim_id = cs_unpack_uint64 (&in);
  record->fingerprint = cs_unpack_uint64 (&in);
  int64_t state = cs_unpack_int64 (&in);
  record->state = (cs_idempotency_state_t)state;
  record->expires_ms = cs_unpack_int64 (&in);
  bool has_result = cs_unpack_int64 (&in) != 0;
  cs_str_t result = cs_unpack_str (&in);
  if (in.failed || state < CS_IDEMPOTENCY_CLAIMED
      || state > CS_IDEMPOTENCY_UNKNOWN || !*record->key
      || strlen (record->key) > CS_IDEMPOTENCY_KEY_MAX
      || result.len > CS_IDEMPOTENCY_RESULT_MAX)
    {
      cursor->failed = true;
      cs_idempotency_record_free (record);
      return NULL;
    }
  if (has_result)
    record->result = g_string_new_len (result.data, (gssize)result.len);
  return record;
}

cs_idempotency_table_t *
cs_idempotency_table_new (cs_ctx_t *ctx, size_t records_max, size_t bytes_max)
{
  cs_idempotency_table_t *once = cs_calloc (ctx, sizeof *once);
  once->records_max = records_max;
  once->bytes_max = bytes_max;
  once->table = g_hash_table_new_full (g_str_hash, g_str_equal, NULL,
                                       cs_idempotency_record_free);
  g_queue_init (&once->results_by_age);
  return once;
}

void
cs_idempotency_table_drop (cs_ctx_t *ctx, cs_idempotency_table_t *once)
{
  if (!once)
    return;
  g_queue_clear_full (&once->results_by_age, g_free);
  g_hash_table_unref (once->table);
  cs_free (ctx, once);
}

const cs_idempotency_record_t *
cs_idempotency_find (const cs_idempotency_table_t *once, const char *key)
{
  return g_hash_table_lookup (once->table, key);
}

size_t
cs_idempotency_count (const cs_idempotency_table_t *once)
{
  return g_hash_table_size (once->table);
}

size_t
cs_idempotency_result_bytes (const cs_idempotency_table_t *once)
{
  return once->bytes;
}

static void
drop_result (cs_idempotency_table_t *once, cs_idempotency_record_t *record)
{
  if (!record->result)
    return;
  once->bytes -= record->result->len;
  g_string_free (record->result, TRUE);
  record->result = NULL;
}

/* Add RECORD's result to the total, and drop the oldest results beyond the
   limit.  */
static void
account_result (cs_idempotency_table_t *once,
                const cs_idempotency_record_t *record)
{
  if (!record->result)
    return;
  once->bytes += record->result->len;
  g_queue_push_tail (&once->results_by_age, g_strdup (record->key));
  while (once->bytes > once->bytes_max && once->results_by_age.length > 0)
    {
      char *oldest = g_queue_pop_head (&once->results_by_age);
      cs_idempotency_record_t *old = g_hash_table_lookup (once->table, oldest);
      if (old)
        drop_result (once, old);
      g_free (oldest);
    }
}

static void
insert_record (cs_idempotency_table_t *once,
               const cs_idempotency_record_t *record)
{
  cs_idempotency_record_t *old
      = g_hash_table_lookup (once->table, record->key);
  if (old)
    drop_result (once, old);
  cs_idempotency_record_t *copy = copy_record (record);
  g_hash_table_replace (once->table, copy->key, copy);
  account_result (once, copy);
}

cs_claim_result_t
cs_idempotency_claim (cs_idempotency_table_t *once,
                      const cs_idempotency_record_t *wanted,
                      const cs_idempotency_record_t **existing)
{
  const cs_idempotency_record_t *record
      = cs_idempotency_find (once, wanted->key);
  *existing = record;
  if (!record)
    {
      if (cs_idempotency_count (once) >= once->records_max)
        return CS_CLAIM_TABLE_FULL;
      insert_record (once, wanted);
      *existing = cs_idempotency_find (once, wanted->key);
      return CS_CLAIM_GRANTED;
    }
  if (record->fingerprint != wanted->fingerprint)
    return CS_CLAIM_MISMATCH;
  if (record->state == CS_IDEMPOTENCY_DONE)
    return CS_CLAIM_DONE;
  if (record->state == CS_IDEMPOTENCY_UNKNOWN)
    return CS_CLAIM_UNKNOWN;
  return record->claim_id == wanted->claim_id ? CS_CLAIM_GRANTED
                                              : CS_CLAIM_IN_FLIGHT;
}

const cs_idempotency_record_t *
cs_idempotency_finish (cs_idempotency_table_t *once, const char *key,
                       uint64_t claim, cs_idempotency_state_t state,
                       const cs_str_t *result)
{
  cs_idempotency_record_t *record = g_hash_table_lookup (once->table, key);
  if (!record || record->claim_id != claim
      || record->state == CS_IDEMPOTENCY_DONE)
    return NULL;
  record->state = state;
  drop_result (once, record);
  if (result && result->len <= CS_IDEMPOTENCY_RESULT_MAX)
    {
      record->result = g_string_new_len (result->data, (gssize)result->len);
      account_result (once, record);
    }
  return record;
}

bool
cs_idempotency_release (cs_idempotency_table_t *once, const char *key,
                        uint64_t claim)
{
  cs_idempotency_record_t *record = g_hash_table_lookup (once->table, key);
  if (!record || record->claim_id != claim
      || record->state != CS_IDEMPOTENCY_CLAIMED)
    return false;
  g_hash_table_remove (once->table, key);
  return true;
}

bool
cs_idempotency_merge (cs_idempotency_table_t *once,
                      const cs_idempotency_record_t *record)
{
  const cs_idempotency_record_t *held
      = cs_idempotency_find (once, record->key);
  if (held && held->claim_id != record->claim_id)
    return false;
  /* A stale copy never overwrites a known outcome.  */
  if (held
      && (held->state == CS_IDEMPOTENCY_DONE
          || record->state == CS_IDEMPOTENCY_CLAIMED))
    return true;
  insert_record (once, record);
  return true;
}

void
cs_idempotency_foreach (const cs_idempotency_table_t *once,
                        void (*visit) (void *user,
                                       const cs_idempotency_record_t *record),
                        void *user)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, once->table);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    visit (user, value);
}

void
cs_idempotency_mark_unknown (cs_idempotency_table_t *once, const char *owner,
                             uint64_t boot)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, once->table);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      cs_idempotency_record_t *record = value;
      if (record->state == CS_IDEMPOTENCY_CLAIMED
          && record->owner_boot_id <= boot
          && strcmp (record->owner, owner) == 0)
        record->state = CS_IDEMPOTENCY_UNKNOWN;
    }
}

void
cs_idempotency_expire (cs_idempotency_table_t *once, int64_t now_ms)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, once->table);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      cs_idempotency_record_t *record = value;
      if (record->expires_ms > now_ms)
        continue;
      drop_result (once, record);
      g_hash_table_iter_remove (&iter);
    }
  while (once->results_by_age.length > 0
         && !cs_idempotency_find (once,
                                  g_queue_peek_head (&once->results_by_age)))
    g_free (g_queue_pop_head (&once->results_by_age));
}
