#include <string.h>

#include "cardamom/idempotency.h"

struct cs_idempotency_table
{
  GHashTable *records;   /* key -> cs_idempotency_record_t.  */
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
  cs_idempotency_table_t *table = cs_calloc (ctx, sizeof *table);
  table->records_max = records_max;
  table->bytes_max = bytes_max;
  table->records = g_hash_table_new_full (g_str_hash, g_str_equal, NULL,
                                          cs_idempotency_record_free);
  g_queue_init (&table->results_by_age);
  return table;
}

void
cs_idempotency_table_drop (cs_ctx_t *ctx, cs_idempotency_table_t *table)
{
  if (!table)
    return;
  g_queue_clear_full (&table->results_by_age, g_free);
  g_hash_table_unref (table->records);
  cs_free (ctx, table);
}

const cs_idempotency_record_t *
cs_idempotency_find (const cs_idempotency_table_t *table, const char *key)
{
  return g_hash_table_lookup (table->records, key);
}

size_t
cs_idempotency_count (const cs_idempotency_table_t *table)
{
  return g_hash_table_size (table->records);
}

size_t
cs_idempotency_result_bytes (const cs_idempotency_table_t *table)
{
  return table->bytes;
}

static void
drop_result (cs_idempotency_table_t *table, cs_idempotency_record_t *record)
{
  if (!record->result)
    return;
  table->bytes -= record->result->len;
  g_string_free (record->result, TRUE);
  record->result = NULL;
}

/* Add RECORD's result to the total, and drop the oldest results beyond the
   limit.  */
static void
account_result (cs_idempotency_table_t *table,
                const cs_idempotency_record_t *record)
{
  if (!record->result)
    return;
  table->bytes += record->result->len;
  g_queue_push_tail (&table->results_by_age, g_strdup (record->key));
  while (table->bytes > table->bytes_max && table->results_by_age.length > 0)
    {
      char *oldest = g_queue_pop_head (&table->results_by_age);
      cs_idempotency_record_t *old
          = g_hash_table_lookup (table->records, oldest);
      if (old)
        drop_result (table, old);
      g_free (oldest);
    }
}

static void
insert_record (cs_idempotency_table_t *table,
               const cs_idempotency_record_t *record)
{
  cs_idempotency_record_t *old
      = g_hash_table_lookup (table->records, record->key);
  if (old)
    drop_result (table, old);
  cs_idempotency_record_t *copy = copy_record (record);
  g_hash_table_replace (table->records, copy->key, copy);
  account_result (table, copy);
}

cs_claim_result_t
cs_idempotency_claim (cs_idempotency_table_t *table,
                      const cs_idempotency_record_t *wanted,
                      const cs_idempotency_record_t **existing)
{
  const cs_idempotency_record_t *record
      = cs_idempotency_find (table, wanted->key);
  *existing = record;
  if (!record)
    {
      if (cs_idempotency_count (table) >= table->records_max)
        return CS_CLAIM_TABLE_FULL;
      insert_record (table, wanted);
      *existing = cs_idempotency_find (table, wanted->key);
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
cs_idempotency_finish (cs_idempotency_table_t *table, const char *key,
                       uint64_t claim_id, cs_idempotency_state_t state,
                       const cs_str_t *result)
{
  cs_idempotency_record_t *record = g_hash_table_lookup (table->records, key);
  if (!record || record->claim_id != claim_id
      || record->state == CS_IDEMPOTENCY_DONE)
    return NULL;
  record->state = state;
  drop_result (table, record);
  if (result && result->len <= CS_IDEMPOTENCY_RESULT_MAX)
    {
      record->result = g_string_new_len (result->data, (gssize)result->len);
      account_result (table, record);
    }
  return record;
}

bool
cs_idempotency_release (cs_idempotency_table_t *table, const char *key,
                        uint64_t claim_id)
{
  cs_idempotency_record_t *record = g_hash_table_lookup (table->records, key);
  if (!record || record->claim_id != claim_id
      || record->state != CS_IDEMPOTENCY_CLAIMED)
    return false;
  g_hash_table_remove (table->records, key);
  return true;
}

bool
cs_idempotency_merge (cs_idempotency_table_t *table,
                      const cs_idempotency_record_t *record)
{
  const cs_idempotency_record_t *held
      = cs_idempotency_find (table, record->key);
  if (held && held->claim_id != record->claim_id)
    return false;
  /* CS_IDEMPOTENCY_DONE is never overwritten, and CS_IDEMPOTENCY_CLAIMED
     overwrites nothing, so that a stale copy does not replace an outcome.  */
  if (held
      && (held->state == CS_IDEMPOTENCY_DONE
          || record->state == CS_IDEMPOTENCY_CLAIMED))
    return true;
  insert_record (table, record);
  return true;
}

void
cs_idempotency_foreach (const cs_idempotency_table_t *table,
                        void (*visit) (void *user,
                                       const cs_idempotency_record_t *record),
                        void *user)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, table->records);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    visit (user, value);
}

void
cs_idempotency_mark_unknown (cs_idempotency_table_t *table, const char *owner,
                             uint64_t owner_boot_id)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, table->records);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      cs_idempotency_record_t *record = value;
      if (record->state == CS_IDEMPOTENCY_CLAIMED
          && record->owner_boot_id <= owner_boot_id
          && strcmp (record->owner, owner) == 0)
        record->state = CS_IDEMPOTENCY_UNKNOWN;
    }
}

void
cs_idempotency_expire (cs_idempotency_table_t *table, int64_t now_ms)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, table->records);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      cs_idempotency_record_t *record = value;
      if (record->expires_ms > now_ms)
        continue;
      drop_result (table, record);
      g_hash_table_iter_remove (&iter);
    }
  while (table->results_by_age.length > 0
         && !cs_idempotency_find (table,
                                  g_queue_peek_head (&table->results_by_age)))
    g_free (g_queue_pop_head (&table->results_by_age));
}
