#include "cardamom/crash-history.h"
#include "cardamom/counters.h"

/* Records held by one node: of 100 servers that end while each runs 40
   requests.  Further ones are not held.  */
#define CRASH_RECORDS_MAX 4096

/* The active records of one request: key -> cs_crashed_run_t *.  */
typedef GHashTable request_crashes_t;

struct cs_crash_history
{
  cs_ctx_t *ctx;
  cs_crash_history_handler_t handler;
  void *user;
  cs_records_t *records;
  GHashTable *requests; /* fingerprint -> request_crashes_t *.  */
  GHashTable *created;  /* Keys of the records that this node created.  */
};

static GHashTable *
new_requests (void)
{
  return g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free,
                                (GDestroyNotify)g_hash_table_unref);
}

cs_crash_history_t *
cs_crash_history_new (cs_ctx_t *ctx, const cs_crash_history_handler_t *handler,
                      void *user)
{
  cs_crash_history_t *history = g_new0 (cs_crash_history_t, 1);
  history->ctx = ctx;
  history->handler = *handler;
  history->user = user;
  history->records = cs_records_new (ctx);
  history->requests = new_requests ();
  history->created
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  return history;
}

void
cs_crash_history_drop (cs_crash_history_t *history)
{
  g_hash_table_unref (history->created);
  g_hash_table_unref (history->requests);
  cs_records_drop (history->ctx, history->records);
  g_free (history);
}

/* Bring HISTORY->requests in line with RECORD.  */
static void
index_record (void *user, const cs_record_t *record)
{
  cs_crash_history_t *history = user;
  cs_crashed_run_t run = cs_crash_record_run (record);
  request_crashes_t *crashes
      = g_hash_table_lookup (history->requests, &run.fingerprint);
  if (!crashes && !cs_crash_record_is_active (record))
    return;
  if (!crashes)
    {
      crashes
          = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
      g_hash_table_insert (
          history->requests,
          g_memdup2 (&run.fingerprint, sizeof run.fingerprint), crashes);
    }
  if (cs_crash_record_is_active (record))
    g_hash_table_replace (crashes, g_strdup (record->key),
                          g_memdup2 (&run, sizeof run));
  else
    g_hash_table_remove (crashes, record->key);
  if (!g_hash_table_size (crashes))
    g_hash_table_remove (history->requests, &run.fingerprint);
}

static unsigned
crash_count (const cs_crash_history_t *history, uint64_t fingerprint)
{
  GHashTableIter iter;
  gpointer run;
  request_crashes_t *crashes
      = fingerprint ? g_hash_table_lookup (history->requests, &fingerprint)
                    : NULL;
  if (!crashes)
    return 0;
  GArray *runs = g_array_new (FALSE, FALSE, sizeof (cs_crashed_run_t));
  g_hash_table_iter_init (&iter, crashes);
  while (g_hash_table_iter_next (&iter, NULL, &run))
    g_array_append_vals (runs, run, 1);
  unsigned count = cs_count_crashes (runs);
  g_array_unref (runs);
  return count;
}

cs_request_trust_t
cs_crash_history_trust (const cs_crash_history_t *history,
                        uint64_t fingerprint)
{
  unsigned count = crash_count (history, fingerprint);
  return count == 0                      ? CS_REQUEST_TRUSTED
         : count < CS_QUARANTINE_CRASHES ? CS_REQUEST_SUSPECT
                                         : CS_REQUEST_QUARANTINED;
}

/* Append copies of the records of FINGERPRINT to COPIES, active ones only.  */
static void
copy_records (const cs_crash_history_t *history, uint64_t fingerprint,
              GPtrArray *copies)
{
  GHashTableIter iter;
  gpointer key;
  request_crashes_t *crashes
      = g_hash_table_lookup (history->requests, &fingerprint);
  if (!crashes)
    return;
  g_hash_table_iter_init (&iter, crashes);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    g_ptr_array_add (copies, cs_record_copy (cs_records_find (
                                 history->records, CS_RECORD_CRASH, key)));
}

GPtrArray *
cs_crash_history_of_request (const cs_crash_history_t *history,
                             uint64_t fingerprint)
{
  GPtrArray *copies = cs_record_list_new ();
  copy_records (history, fingerprint, copies);
  return copies;
}

/* Have the records of FINGERPRINT stored.  */
static void
store_records (const cs_crash_history_t *history, uint64_t fingerprint)
{
  GPtrArray *lasting = cs_crash_history_of_request (history, fingerprint);
  for (guint i = 0; i < lasting->len; i++)
    history->handler.lasting (history->user, lasting->pdata[i]);
  g_ptr_array_unref (lasting);
}

/* Whether this node created the record of the last crash of FINGERPRINT, which
   has some.  */
static bool
created_last (const cs_crash_history_t *history, uint64_t fingerprint)
{
  GHashTableIter iter;
  gpointer key, value;
  bool created = false;
  cs_usec_t last = 0;
  g_hash_table_iter_init (
      &iter, g_hash_table_lookup (history->requests, &fingerprint));
  while (g_hash_table_iter_next (&iter, &key, &value))
    {
      cs_usec_t crashed_at = ((const cs_crashed_run_t *)value)->crashed_at;
      if (crashed_at < last)
        continue;
      created = g_hash_table_contains (history->created, key)
                || (created && crashed_at == last);
      last = crashed_at;
    }
  return created;
}

bool
cs_crash_history_merge (cs_crash_history_t *history, const cs_record_t *record,
                        int64_t now_ms)
{
  bool known = cs_records_find (history->records, record->kind, record->key);
  if (record->kind != CS_RECORD_CRASH
      || (!known && cs_records_count (history->records) >= CRASH_RECORDS_MAX)
      || !cs_records_merge (history->records, record, now_ms))
    return false;
  uint64_t fingerprint = cs_crash_record_run (record).fingerprint;
  bool was_quarantined
      = crash_count (history, fingerprint) >= CS_QUARANTINE_CRASHES;
  index_record (history, record);
  /* The node of the last crash may hear of one before it only now.  */
  if (!was_quarantined
      && crash_count (history, fingerprint) >= CS_QUARANTINE_CRASHES
      && created_last (history, fingerprint))
    store_records (history, fingerprint);
  return true;
}

GPtrArray *
cs_crash_history_quarantined (const cs_crash_history_t *history)
{
  GHashTableIter iter;
  gpointer fingerprint;
  GPtrArray *copies = cs_record_list_new ();
  g_hash_table_iter_init (&iter, history->requests);
  while (g_hash_table_iter_next (&iter, &fingerprint, NULL))
    if (crash_count (history, *(uint64_t *)fingerprint)
        >= CS_QUARANTINE_CRASHES)
      copy_records (history, *(uint64_t *)fingerprint, copies);
  return copies;
}

void
cs_crash_history_add (cs_crash_history_t *history, uint64_t fingerprint,
                      const char *server, cs_usec_t started_at, cs_usec_t now)
{
  if (!fingerprint || cs_crash_history_find (history, fingerprint, server))
    return;
  cs_record_t *record
      = cs_crash_record_new (fingerprint, server, started_at, now);
  if (cs_crash_history_merge (history, record, now / CS_MSEC))
    {
      cs_counter_add (CS_C_STRIKES, 1);
      g_hash_table_add (history->created, g_strdup (record->key));
      history->handler.created (history->user, record);
      if (crash_count (history, fingerprint) >= CS_QUARANTINE_CRASHES)
        store_records (history, fingerprint);
    }
  cs_record_free (record);
}

void
cs_crash_history_clear (cs_crash_history_t *history, uint64_t fingerprint,
                        int64_t now_ms)
{
  unsigned count = crash_count (history, fingerprint);
  if (!count)
    return;
  GPtrArray *cleared = cs_crash_history_of_request (history, fingerprint);
  for (guint i = 0; i < cleared->len; i++)
    {
      cs_record_t *record = cleared->pdata[i];
      cs_crash_record_clear (record);
      if (!cs_crash_history_merge (history, record, now_ms))
        continue;
      history->handler.created (history->user, record);
      if (count >= CS_QUARANTINE_CRASHES)
        history->handler.lasting (history->user, record);
    }
  g_ptr_array_unref (cleared);
}

const cs_record_t *
cs_crash_history_find (const cs_crash_history_t *history, uint64_t fingerprint,
                       const char *server)
{
  char *key = cs_crash_record_key (fingerprint, server);
  const cs_record_t *record
      = cs_records_find (history->records, CS_RECORD_CRASH, key);
  g_free (key);
  return record;
}

static gboolean
is_forgotten (gpointer key, gpointer value, gpointer user)
{
  const cs_crash_history_t *history = user;
  (void)value;
  return !cs_records_find (history->records, CS_RECORD_CRASH, key);
}

void
cs_crash_history_expire (cs_crash_history_t *history, int64_t now_ms)
{
  size_t before = cs_records_count (history->records);
  cs_records_expire (history->records, now_ms);
  if (cs_records_count (history->records) == before)
    return;
  g_hash_table_unref (history->requests);
  history->requests = new_requests ();
  g_hash_table_foreach_remove (history->created, is_forgotten, history);
  cs_records_foreach (history->records, CS_RECORD_CRASH, index_record,
                      history);
}
