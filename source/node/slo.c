#include <stdio.h>
#include <string.h>

#include "slo.h"

/* The calls of one minute.  */
typedef struct
{
  int64_t minute; /* Of the monotonic clock.  */
  uint32_t good, bad;
} minute_calls_t;

typedef struct
{
  minute_calls_t minutes[SLO_MINUTES]; /* At the minute modulo the size.  */
} route_history_t;

struct slo
{
  node_t *node;
  pthread_mutex_t lock;
  GHashTable *routes; /* path -> route_history_t.  */
};

static const int window_minutes[] = { 5, 30, 60, SLO_MINUTES };

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
slo_record_call (slo_t *slo, const char *route, bool good)
{
  int64_t minute = minute_now (slo);
  pthread_mutex_lock (&slo->lock);
  route_history_t *history = g_hash_table_lookup (slo->routes, route);
  if (!history)
    {
      history = g_new0 (route_history_t, 1);
      g_hash_table_insert (slo->routes, g_strdup (route), history);
    }
  minute_calls_t *calls = &history->minutes[minute % SLO_MINUTES];
  if (calls->minute != minute)
    *calls = (minute_calls_t){ .minute = minute };
  if (good)
    calls->good++;
  else
    calls->bad++;
  pthread_mutex_unlock (&slo->lock);
}

/* [good, bad] of the last LENGTH minutes.  */
static json_t *
sum_window (const route_history_t *history, int64_t current_minute, int length)
{
  json_int_t good = 0, bad = 0;
  for (int i = 0; i < SLO_MINUTES; i++)
    if (history->minutes[i].minute > current_minute - length)
      {
        good += history->minutes[i].good;
        bad += history->minutes[i].bad;
      }
  return json_pack ("[I,I]", good, bad);
}

json_t *
slo_report (slo_t *slo)
{
  GHashTableIter iter;
  gpointer route, history;
  int64_t current_minute = minute_now (slo);
  json_t *report = json_object ();
  pthread_mutex_lock (&slo->lock);
  g_hash_table_iter_init (&iter, slo->routes);
  while (g_hash_table_iter_next (&iter, &route, &history))
    {
      json_t *sums = json_object ();
      for (size_t i = 0; i < G_N_ELEMENTS (window_minutes); i++)
        {
          char window[16];
          snprintf (window, sizeof window, "%d", window_minutes[i]);
          json_object_set_new (
              sums, window,
              sum_window (history, current_minute, window_minutes[i]));
        }
      json_object_set_new (report, route, sums);
    }
  pthread_mutex_unlock (&slo->lock);
  return report;
}
