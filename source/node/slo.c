#include <stdio.h>
#include <string.h>

#include "slo.h"

typedef struct
{
  int64_t minute; /* Since the epoch of the monotonic clock.  */
  uint32_t good, bad;
} bucket_t;

typedef struct
{
  bucket_t buckets[SLO_MINUTES];
} history_t;

struct slo
{
  node_t *node;
  pthread_mutex_t lock;
  GHashTable *routes; /* path -> history_t.  */
};

static const int windows[] = { 5, 30, 60, SLO_MINUTES };

slo_t *
slo_new (node_t *node)
{
  slo_t *slo = g_new0 (slo_t, 1);
  slo->node = node;
  pthread_mutex_init (&slo->lock, NULL);
  slo->routes
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return slo;
}

void
slo_drop (slo_t *slo)
{
  g_hash_table_unref (slo->routes);
  pthread_mutex_destroy (&slo->lock);
  g_free (slo);
}

static int64_t
minute_now (slo_t *slo)
{
  return cs_now (node_thread_ctx (slo->node)) / (60 * CS_SEC);
}

void
slo_note (slo_t *slo, const char *route, bool good)
{
  int64_t minute = minute_now (slo);
  pthread_mutex_lock (&slo->lock);
  history_t *h = g_hash_table_lookup (slo->routes, route);
  if (!h)
    {
      h = g_new0 (history_t, 1);
      g_hash_table_insert (slo->routes, g_strdup (route), h);
    }
  bucket_t *b = &h->buckets[minute % SLO_MINUTES];
  if (b->minute != minute)
    *b = (bucket_t){ .minute = minute };
  if (good)
    b->good++;
  else
    b->bad++;
  pthread_mutex_unlock (&slo->lock);
}

static json_t *
sum_window (const history_t *h, int64_t now, int minutes)
{
  json_int_t good = 0, bad = 0;
  for (int i = 0; i < SLO_MINUTES; i++)
    if (h->buckets[i].minute > now - minutes)
      {
        good += h->buckets[i].good;
        bad += h->buckets[i].bad;
      }
  return json_pack ("[I,I]", good, bad);
}

json_t *
slo_report (slo_t *slo)
{
  GHashTableIter iter;
  gpointer route, history;
  int64_t now = minute_now (slo);
  json_t *report = json_object ();
  pthread_mutex_lock (&slo->lock);
  g_hash_table_iter_init (&iter, slo->routes);
  while (g_hash_table_iter_next (&iter, &route, &history))
    {
      json_t *sums = json_object ();
      for (size_t i = 0; i < G_N_ELEMENTS (windows); i++)
        {
          char name[16];
          snprintf (name, sizeof name, "%d", windows[i]);
          json_object_set_new (sums, name,
                               sum_window (history, now, windows[i]));
        }
      json_object_set_new (report, route, sums);
    }
  pthread_mutex_unlock (&slo->lock);
  return report;
}
