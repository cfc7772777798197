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

char *
cs_crash_record_key (uint64_t fingerprint, const char *server)
{
  return g_strdup_printf ("%016" G_GINT64_MODIFIER "x/%s", fingerprint,
                          server);
}

bool
cs_crash_record_is_active (const cs_record_t *record)
{
  return record->seq == SEQ_ACTIVE;
}

uint64_t
cs_crash_record_fingerprint (const cs_record_t *record)
{
  return g_ascii_strtoull (record->key, NULL, 16);
}

/* The incarnation of a crash record is the time of the crash; its value is the
   time at which the run started.  */
cs_record_t *
cs_crash_record_new (uint64_t fingerprint, const char *server,
                     int64_t started_ms, int64_t now_ms)
{
  char started[32];
  char *key = cs_crash_record_key (fingerprint, server);
  g_snprintf (started, sizeof started, "%" G_GINT64_FORMAT, started_ms);
  cs_record_t *record = cs_record_new (CS_RECORD_CRASH, key, (uint64_t)now_ms,
                                       SEQ_ACTIVE, cs_str_of (started));
  record->expires_ms = now_ms + CS_CRASH_RECORD_TTL_MS;
  record->urgent = true;
  g_free (key);
  return record;
}

/* A run that ended with a crash, in wall time.  */
typedef struct
{
  uint64_t fingerprint;
  int64_t started_ms, crashed_ms;
} crashed_run_t;

static void
collect_run (void *user, const cs_record_t *record)
{
  GArray *runs = user;
  crashed_run_t run = { .fingerprint = cs_crash_record_fingerprint (record),
                        .crashed_ms = (int64_t)record->incarnation };
  if (!cs_crash_record_is_active (record))
    return;
  /* Earlier releases give no start.  */
  run.started_ms = record->value->len
                       ? g_ascii_strtoll (record->value->str, NULL, 10)
                       : run.crashed_ms;
  g_array_append_val (runs, run);
}

static gint
compare_runs (gconstpointer a, gconstpointer b)
{
  const crashed_run_t *left = a, *right = b;
  if (left->fingerprint != right->fingerprint)
    return left->fingerprint < right->fingerprint ? -1 : 1;
  return (left->crashed_ms > right->crashed_ms)
         - (left->crashed_ms < right->crashed_ms);
}

GHashTable *
cs_crashes_by_fingerprint (const cs_records_t *records)
{
  GHashTable *crash_counts
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
  GArray *runs = g_array_new (FALSE, FALSE, sizeof (crashed_run_t));
  cs_records_foreach (records, CS_RECORD_CRASH, collect_run, runs);
  g_array_sort (runs, compare_runs);
  int64_t counted_until_ms = 0;
  for (guint i = 0; i < runs->len; i++)
    {
      const crashed_run_t *run = &g_array_index (runs, crashed_run_t, i);
      unsigned count = cs_crash_count_of (crash_counts, run->fingerprint);
      if (count && run->started_ms < counted_until_ms)
        continue;
      counted_until_ms = run->crashed_ms;
      uint64_t *key = g_new (uint64_t, 1);
      *key = run->fingerprint;
      g_hash_table_replace (crash_counts, key, GUINT_TO_POINTER (count + 1));
    }
  g_array_unref (runs);
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
  if (!cs_crash_record_is_active (record)
      || cs_crash_record_fingerprint (record) != clearing->fingerprint)
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
