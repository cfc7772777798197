#include <inttypes.h>
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

/* The incarnation of a crash record is the time of the crash in milliseconds.
   Its value is the time at which the run started, in milliseconds for earlier
   releases, and then that time and the time of the crash in microseconds: a
   retry may begin in the millisecond of the crash, or a run that overlaps.  */
cs_record_t *
cs_crash_record_new (uint64_t fingerprint, const char *server,
                     cs_usec_t started_at, cs_usec_t now)
{
  char times[96];
  int64_t now_ms = now / CS_MSEC;
  char *key = cs_crash_record_key (fingerprint, server);
  g_snprintf (times, sizeof times,
              "%" G_GINT64_FORMAT " %" G_GINT64_FORMAT " %" G_GINT64_FORMAT,
              (int64_t)(started_at / CS_MSEC), (int64_t)started_at,
              (int64_t)now);
  cs_record_t *record = cs_record_new (CS_RECORD_CRASH, key, (uint64_t)now_ms,
                                       SEQ_ACTIVE, cs_str_of (times));
  record->expires_ms = now_ms + CS_CRASH_RECORD_TTL_MS;
  record->urgent = true;
  g_free (key);
  return record;
}

void
cs_crash_record_clear (cs_record_t *record)
{
  record->seq = SEQ_CLEARED;
}

static cs_usec_t
from_ms (int64_t ms)
{
  return CLAMP (ms, 0, INT64_MAX / CS_MSEC) * CS_MSEC;
}

cs_crashed_run_t
cs_crash_record_run (const cs_record_t *record)
{
  cs_crashed_run_t run
      = { .fingerprint = g_ascii_strtoull (record->key, NULL, 16),
          .crashed_at = from_ms ((int64_t)record->incarnation) };
  int64_t started_ms, started_at, crashed_at;
  int given = sscanf (record->value->str, "%" SCNd64 " %" SCNd64 " %" SCNd64,
                      &started_ms, &started_at, &crashed_at);
  /* Earlier releases give no start, or milliseconds only.  */
  run.started_at = given >= 1 ? from_ms (started_ms) : run.crashed_at;
  if (given == 3)
    {
      run.started_at = started_at;
      run.crashed_at = crashed_at;
    }
  return run;
}

static gint
compare_runs (gconstpointer a, gconstpointer b)
{
  const cs_crashed_run_t *left = a, *right = b;
  gint order = (left->crashed_at > right->crashed_at)
               - (left->crashed_at < right->crashed_at);
  return order ? order
               : (left->started_at > right->started_at)
                     - (left->started_at < right->started_at);
}

unsigned
cs_count_crashes (GArray *runs)
{
  unsigned count = 0;
  cs_usec_t counted_until = 0;
  g_array_sort (runs, compare_runs);
  for (guint i = 0; i < runs->len; i++)
    {
      const cs_crashed_run_t *run = &g_array_index (runs, cs_crashed_run_t, i);
      if (count && run->started_at < counted_until)
        continue;
      counted_until = run->crashed_at;
      count++;
    }
  return count;
}

/* Add the run of RECORD, if it is active, to the table of runs by
   fingerprint.  */
static void
collect_run (void *user, const cs_record_t *record)
{
  GHashTable *runs_by_fingerprint = user;
  cs_crashed_run_t run = cs_crash_record_run (record);
  if (!cs_crash_record_is_active (record))
    return;
  GArray *runs = g_hash_table_lookup (runs_by_fingerprint, &run.fingerprint);
  if (!runs)
    {
      runs = g_array_new (FALSE, FALSE, sizeof (cs_crashed_run_t));
      g_hash_table_insert (
          runs_by_fingerprint,
          g_memdup2 (&run.fingerprint, sizeof run.fingerprint), runs);
    }
  g_array_append_val (runs, run);
}

GHashTable *
cs_crashes_by_fingerprint (const cs_records_t *records)
{
  GHashTableIter iter;
  gpointer fingerprint, runs;
  GHashTable *crash_counts
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
  GHashTable *runs_by_fingerprint = g_hash_table_new_full (
      g_int64_hash, g_int64_equal, g_free, (GDestroyNotify)g_array_unref);
  cs_records_foreach (records, CS_RECORD_CRASH, collect_run,
                      runs_by_fingerprint);
  g_hash_table_iter_init (&iter, runs_by_fingerprint);
  while (g_hash_table_iter_next (&iter, &fingerprint, &runs))
    g_hash_table_insert (crash_counts,
                         g_memdup2 (fingerprint, sizeof (uint64_t)),
                         GUINT_TO_POINTER (cs_count_crashes (runs)));
  g_hash_table_unref (runs_by_fingerprint);
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
      || cs_crash_record_run (record).fingerprint != clearing->fingerprint)
    return;
  cs_record_t *copy = cs_record_copy (record);
  cs_crash_record_clear (copy);
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
