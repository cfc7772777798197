#include <stdio.h>
#include <string.h>

#include "cardamom/quarantine.h"

/* Sequence numbers of a crash record: clearing it supersedes the crash.  */
#define SEQ_ACTIVE 1
#define SEQ_CLEARED 2

uint64_t
cs_request_fingerprint (cs_str_t method, cs_str_t host, cs_str_t target,
                        cs_str_t body)
{
  const cs_str_t parts[] = { method, host, target, body };
  uint64_t hash = 0;
  for (size_t i = 0; i < G_N_ELEMENTS (parts); i++)
    hash = cs_hash (parts[i].data ? parts[i].data : "", parts[i].len, hash);
  return hash;
}

cs_record_t *
cs_crash_record_new (uint64_t fingerprint, const char *node, int64_t now_ms)
{
  char *key
      = g_strdup_printf ("%016llx/%s", (unsigned long long)fingerprint, node);
  cs_record_t *record = cs_record_new (CS_RECORD_CRASH, key, (uint64_t)now_ms,
                                       SEQ_ACTIVE, (cs_str_t){ 0 });
  record->expires_ms = now_ms + CS_CRASH_RECORD_TTL_MS;
  record->urgent = true;
  g_free (key);
  return record;
}

static uint64_t
fingerprint_of (const cs_record_t *record)
{
  return g_ascii_strtoull (record->key, NULL, 16);
}

static void
count_crash (void *user, const cs_record_t *record)
{
  GHashTable *crash_counts = user;
  uint64_t fingerprint = fingerprint_of (record);
  if (record->seq != SEQ_ACTIVE)
    return;
  unsigned count = cs_crash_count_of (crash_counts, fingerprint);
  uint64_t *key = g_new (uint64_t, 1);
  *key = fingerprint;
  g_hash_table_replace (crash_counts, key, GUINT_TO_POINTER (count + 1));
}

GHashTable *
cs_crashes_by_fingerprint (const cs_records_t *records)
{
  GHashTable *crash_counts
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
  cs_records_foreach (records, CS_RECORD_CRASH, count_crash, crash_counts);
  return crash_counts;
}

unsigned
cs_crash_count_of (GHashTable *crash_counts, uint64_t fingerprint)
{
  return GPOINTER_TO_UINT (g_hash_table_lookup (crash_counts, &fingerprint));
}

/* Argument of clear_crash.  */
typedef struct
{
  uint64_t fingerprint;
  GPtrArray *cleared;
} clearing_t;

static void
clear_crash (void *user, const cs_record_t *record)
{
  clearing_t *clearing = user;
  if (record->seq != SEQ_ACTIVE
      || fingerprint_of (record) != clearing->fingerprint)
    return;
  cs_record_t *copy = cs_record_copy (record);
  copy->seq = SEQ_CLEARED;
  g_ptr_array_add (clearing->cleared, copy);
}

GPtrArray *
cs_crashes_clear (const cs_records_t *records, uint64_t fingerprint)
{
  clearing_t clearing
      = { .fingerprint = fingerprint, .cleared = cs_record_list_new () };
  cs_records_foreach (records, CS_RECORD_CRASH, clear_crash, &clearing);
  return clearing.cleared;
}
