#include "evidence.h"

struct evidence
{
  pthread_mutex_t lock;
  GHashTable *moves; /* move -> (route -> cs_paired_stats_t).  */
};

static void
free_routes (gpointer routes)
{
  g_hash_table_unref (routes);
}

evidence_t *
evidence_new (void)
{
  evidence_t *evidence = g_new0 (evidence_t, 1);
  pthread_mutex_init (&evidence->lock, NULL);
  evidence->moves
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, free_routes);
  return evidence;
}

void
evidence_drop (evidence_t *evidence)
{
  g_hash_table_unref (evidence->moves);
  pthread_mutex_destroy (&evidence->lock);
  g_free (evidence);
}

static cs_paired_stats_t *
find_or_add_stats (evidence_t *evidence, const char *move, const char *route)
{
  GHashTable *routes = g_hash_table_lookup (evidence->moves, move);
  if (!routes)
    {
      routes = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
      g_hash_table_insert (evidence->moves, g_strdup (move), routes);
    }
  cs_paired_stats_t *stats = g_hash_table_lookup (routes, route);
  if (!stats)
    {
      stats = g_new0 (cs_paired_stats_t, 1);
      g_hash_table_insert (routes, g_strdup (route), stats);
    }
  return stats;
}

void
evidence_record (evidence_t *evidence, const char *move, const char *route,
                 bool is_candidate, bool failed, cs_usec_t latency)
{
  pthread_mutex_lock (&evidence->lock);
  cs_paired_stats_t *stats = find_or_add_stats (evidence, move, route);
  cs_call_stats_record (is_candidate ? &stats->candidate : &stats->baseline,
                        failed, latency);
  pthread_mutex_unlock (&evidence->lock);
}

void
evidence_foreach (evidence_t *evidence, const char *move,
                  evidence_visit_t visit, void *user)
{
  GHashTableIter iter;
  gpointer route, stats;
  pthread_mutex_lock (&evidence->lock);
  GHashTable *routes = g_hash_table_lookup (evidence->moves, move);
  if (routes)
    {
      g_hash_table_iter_init (&iter, routes);
      while (g_hash_table_iter_next (&iter, &route, &stats))
        visit (user, route, stats);
    }
  pthread_mutex_unlock (&evidence->lock);
}

void
evidence_forget (evidence_t *evidence, const char *move)
{
  pthread_mutex_lock (&evidence->lock);
  g_hash_table_remove (evidence->moves, move);
  pthread_mutex_unlock (&evidence->lock);
}
