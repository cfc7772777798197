#include "cardamom/crash-history.h"
#include "cardamom/counters.h"

struct cs_crash_history
{
  cs_ctx_t *ctx;
  cs_crash_history_handler_t handler;
  void *user;
  cs_records_t *records;
  /* From cs_crashes_by_fingerprint; NULL after a change of RECORDS.  */
  GHashTable *crash_counts;
};

cs_crash_history_t *
cs_crash_history_new (cs_ctx_t *ctx, const cs_crash_history_handler_t *handler,
                      void *user)
{
  cs_crash_history_t *history = g_new0 (cs_crash_history_t, 1);
  history->ctx = ctx;
  history->handler = *handler;
  history->user = user;
  history->records = cs_records_new (ctx);
  return history;
}

static void
forget_counts (cs_crash_history_t *history)
{
  if (history->crash_counts)
    g_hash_table_unref (history->crash_counts);
  history->crash_counts = NULL;
}

void
cs_crash_history_drop (cs_crash_history_t *history)
{
  forget_counts (history);
  cs_records_drop (history->ctx, history->records);
  g_free (history);
}

static unsigned
crash_count (cs_crash_history_t *history, uint64_t fingerprint)
{
  if (!fingerprint || !cs_records_count (history->records))
    return 0;
  if (!history->crash_counts)
    history->crash_counts = cs_crashes_by_fingerprint (history->records);
  return cs_crash_count_of (history->crash_counts, fingerprint);
}

cs_request_trust_t
cs_crash_history_trust (cs_crash_history_t *history, uint64_t fingerprint)
{
  unsigned count = crash_count (history, fingerprint);
  return count == 0                      ? CS_REQUEST_TRUSTED
         : count < CS_QUARANTINE_CRASHES ? CS_REQUEST_SUSPECT
                                         : CS_REQUEST_QUARANTINED;
}

static bool
merge (cs_crash_history_t *history, const cs_record_t *record, int64_t now_ms)
{
  if (record->kind != CS_RECORD_CRASH
      || !cs_records_merge (history->records, record, now_ms))
    return false;
  forget_counts (history);
  return true;
}

void
cs_crash_history_merge (cs_crash_history_t *history, const cs_record_t *record,
                        int64_t now_ms)
{
  merge (history, record, now_ms);
}

/* Arguments of copy_if_selected.  */
typedef struct
{
  cs_crash_history_t *history;
  uint64_t fingerprint; /* 0: of all requests in quarantine.  */
  GPtrArray *copies;
} selection_t;

static void
copy_if_selected (void *user, const cs_record_t *record)
{
  selection_t *selection = user;
  uint64_t fingerprint = cs_crash_record_fingerprint (record);
  if (selection->fingerprint ? fingerprint == selection->fingerprint
                             : crash_count (selection->history, fingerprint)
                                   >= CS_QUARANTINE_CRASHES)
    g_ptr_array_add (selection->copies, cs_record_copy (record));
}

static GPtrArray *
select_records (cs_crash_history_t *history, uint64_t fingerprint)
{
  selection_t selection = { .history = history,
                            .fingerprint = fingerprint,
                            .copies = cs_record_list_new () };
  cs_records_foreach (history->records, CS_RECORD_CRASH, copy_if_selected,
                      &selection);
  return selection.copies;
}

GPtrArray *
cs_crash_history_quarantined (cs_crash_history_t *history)
{
  return select_records (history, 0);
}

void
cs_crash_history_add (cs_crash_history_t *history, uint64_t fingerprint,
                      const char *server, int64_t started_ms, int64_t now_ms)
{
  if (!fingerprint || cs_crash_history_find (history, fingerprint, server))
    return;
  cs_record_t *record
      = cs_crash_record_new (fingerprint, server, started_ms, now_ms);
  if (merge (history, record, now_ms))
    {
      cs_counter_add (CS_C_STRIKES, 1);
      history->handler.created (history->user, record);
      if (crash_count (history, fingerprint) >= CS_QUARANTINE_CRASHES)
        {
          GPtrArray *lasting = select_records (history, fingerprint);
          for (guint i = 0; i < lasting->len; i++)
            history->handler.lasting (history->user, lasting->pdata[i]);
          g_ptr_array_unref (lasting);
        }
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
  GPtrArray *cleared = cs_crashes_clear (history->records, fingerprint);
  for (guint i = 0; i < cleared->len; i++)
    if (merge (history, cleared->pdata[i], now_ms))
      {
        history->handler.created (history->user, cleared->pdata[i]);
        if (count >= CS_QUARANTINE_CRASHES)
          history->handler.lasting (history->user, cleared->pdata[i]);
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

void
cs_crash_history_expire (cs_crash_history_t *history, int64_t now_ms)
{
  size_t before = cs_records_count (history->records);
  if (!before)
    return;
  cs_records_expire (history->records, now_ms);
  if (cs_records_count (history->records) != before)
    forget_counts (history);
}
