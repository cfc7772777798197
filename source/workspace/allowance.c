/* The tokens of usage caps that one node holds.  */
#include "cardamom/cap.h"

/* Use is reported at the latest after this time.  */
#define REPORT_INTERVAL (150 * CS_MSEC)
/* Tokens that nobody has taken for so long are dropped; the coordinator lends
   them to others later than that.  */
#define UNUSED_LIFE (8 * CS_SEC)

typedef struct
{
  uint64_t workspace;
  int64_t held, used; /* USED: not yet reported.  */
  cs_usec_t taken_at; /* Of the last token.  */
  cs_usec_t reported_at;
  /* A report or an ask has no answer yet.  No other one is made meanwhile: the
     coordinator would not know what the first answer adds.  */
  bool awaits_grant;
} entry_t;

struct cs_allowance
{
  GHashTable *entries; /* uint64_t * (in the entry) -> entry_t *.  */
};

cs_allowance_t *
cs_allowance_new (void)
{
  cs_allowance_t *allowance = g_new0 (cs_allowance_t, 1);
  allowance->entries
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  return allowance;
}

void
cs_allowance_free (cs_allowance_t *allowance)
{
  g_hash_table_unref (allowance->entries);
  g_free (allowance);
}

static entry_t *
entry_of (cs_allowance_t *allowance, uint64_t workspace)
{
  entry_t *entry = g_hash_table_lookup (allowance->entries, &workspace);
  if (!entry)
    {
      entry = g_new0 (entry_t, 1);
      entry->workspace = workspace;
      g_hash_table_insert (allowance->entries, &entry->workspace, entry);
    }
  return entry;
}

bool
cs_allowance_take (cs_allowance_t *allowance, uint64_t workspace,
                   cs_usec_t now)
{
  entry_t *entry = entry_of (allowance, workspace);
  entry->taken_at = now;
  if (entry->held <= 0)
    return false;
  entry->held--;
  entry->used++;
  return true;
}

void
cs_allowance_give_back (cs_allowance_t *allowance, uint64_t workspace)
{
  entry_t *entry = entry_of (allowance, workspace);
  entry->held++;
  entry->used--;
}

void
cs_allowance_collect (cs_allowance_t *allowance, unsigned group,
                      int64_t (*wanted) (void *user, uint64_t workspace),
                      void *user, cs_usec_t now, GArray *asks)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, allowance->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      entry_t *entry = value;
      if (cs_cap_group (entry->workspace) != group)
        continue;
      int64_t want = wanted (user, entry->workspace);
      bool waits = want > entry->held;
      bool reports = entry->used
                     && (entry->held <= entry->used
                         || now - entry->reported_at > REPORT_INTERVAL);
      if (!want && !entry->used && !entry->awaits_grant
          && now - entry->taken_at > UNUSED_LIFE)
        {
          g_hash_table_iter_remove (&iter);
          continue;
        }
      if (entry->awaits_grant || (!waits && !reports))
        continue;
      cs_cap_ask_t ask = { .workspace = entry->workspace,
                           .used = entry->used,
                           .held = entry->held,
                           .want = want };
      g_array_append_val (asks, ask);
      entry->used = 0;
      entry->reported_at = now;
      entry->awaits_grant = true;
    }
}

void
cs_allowance_grant (cs_allowance_t *allowance, const cs_cap_grant_t *grant,
                    cs_usec_t now)
{
  entry_t *entry = entry_of (allowance, grant->workspace);
  if (!entry->taken_at)
    entry->taken_at = now;
  entry->held += MAX (grant->add, 0);
  entry->used -= MAX (grant->charged, 0);
  entry->awaits_grant = false;
}

static gboolean
is_of_group (gpointer key, gpointer entry, gpointer group)
{
  (void)entry;
  return cs_cap_group (*(uint64_t *)key) == GPOINTER_TO_UINT (group);
}

void
cs_allowance_drop (cs_allowance_t *allowance, unsigned group)
{
  g_hash_table_foreach_remove (allowance->entries, is_of_group,
                               GUINT_TO_POINTER (group));
}
