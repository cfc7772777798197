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
  evidence_t *e = g_new0 (evidence_t, 1);
  pthread_mutex_init (&e->lock, NULL);
  e->moves
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, free_routes);
  return e;
}

void
evidence_drop (evidence_t *e)
{
  g_hash_table_unref (e->moves);
  pthread_mutex_destroy (&e->lock);
  g_free (e);
}

static cs_paired_stats_t *
sums_of (evidence_t *e, const char *move, const char *route)
{
  GHashTable *routes = g_hash_table_lookup (e->moves, move);
  if (!routes)
    {
      routes = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
      g_hash_table_insert (e->moves, g_strdup (move), routes);
    }
  cs_paired_stats_t *sums = g_hash_table_lookup (routes, route);
  if (!sums)
    {
      sums = g_new0 (cs_paired_stats_t, 1);
      g_hash_table_insert (routes, g_strdup (route), sums);
    }
  return sums;
}

void
evidence_note (evidence_t *e, const char *move, const char *route,
               bool new_version, bool failed, cs_usec_t latency)
{
  pthread_mutex_lock (&e->lock);
  cs_paired_stats_t *sums = sums_of (e, move, route);
  cs_call_stats_record (new_version ? &sums->candidate : &sums->baseline,
                        failed, latency);
  pthread_mutex_unlock (&e->lock);
}

void
evidence_foreach (evidence_t *e, const char *move, evidence_visit_t visit,
                  void *user)
{
  GHashTableIter iter;
  gpointer route, sums;
  pthread_mutex_lock (&e->lock);
  GHashTable *routes = g_hash_table_lookup (e->moves, move);
  if (routes)
    {
      g_hash_table_iter_init (&iter, routes);
      while (g_hash_table_iter_next (&iter, &route, &sums))
        visit (user, route, sums);
    }
  pthread_mutex_unlock (&e->lock);
}

void
evidence_forget (evidence_t *e, const char *move)
{
  pthread_mutex_lock (&e->lock);
  g_hash_table_remove (e->moves, move);
  pthread_mutex_unlock (&e->lock);
}
