#include "cardamom/route-callers.h"

/* The hosts of a service use a route if at least this part of the requests
   that are expected of them comes: a host that has just changed its service
   may still send a few calls of the one before.  */
#define USUAL_SHARE_MIN 0.2
/* Counts are halved from this number of requests on, because clients and hosts
   come and go.  */
#define REQUESTS_MAX 4096

typedef struct
{
  guint total;
  GHashTable *by_service; /* service -> guint *, its requests.  */
} route_t;

struct cs_route_callers
{
  GHashTable *routes; /* route path -> route_t *.  */
};

static void
free_route (gpointer data)
{
  route_t *route = data;
  g_hash_table_unref (route->by_service);
  g_free (route);
}

cs_route_callers_t *
cs_route_callers_new (void)
{
  cs_route_callers_t *callers = g_new0 (cs_route_callers_t, 1);
  callers->routes
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, free_route);
  return callers;
}

void
cs_route_callers_drop (cs_route_callers_t *callers)
{
  if (!callers)
    return;
  g_hash_table_unref (callers->routes);
  g_free (callers);
}

/* Halve the count of a service and add it to its route; TRUE if none is left.
 */
static gboolean
halve (gpointer service, gpointer value, gpointer user)
{
  guint *count = value;
  route_t *route = user;
  (void)service;
  *count /= 2;
  route->total += *count;
  return *count == 0;
}

void
cs_route_callers_note (cs_route_callers_t *callers, const char *path,
                       const char *service)
{
  route_t *route = g_hash_table_lookup (callers->routes, path);
  if (!route)
    {
      route = g_new0 (route_t, 1);
      route->by_service
          = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
      g_hash_table_insert (callers->routes, g_strdup (path), route);
    }
  guint *count = g_hash_table_lookup (route->by_service, service);
  if (!count)
    {
      count = g_new0 (guint, 1);
      g_hash_table_insert (route->by_service, g_strdup (service), count);
    }
  (*count)++;
  if (++route->total < REQUESTS_MAX)
    return;
  route->total = 0;
  g_hash_table_foreach_remove (route->by_service, halve, route);
}

bool
cs_route_callers_may_be_calls (const cs_route_callers_t *callers,
                               const char *path, GHashTable *hosts)
{
  const route_t *route = g_hash_table_lookup (callers->routes, path);
  GHashTableIter iter;
  gpointer service, count;
  guint all_hosts = 0;
  if (!route || g_hash_table_size (hosts) < 2)
    return true;
  g_hash_table_iter_init (&iter, hosts);
  while (g_hash_table_iter_next (&iter, NULL, &count))
    all_hosts += GPOINTER_TO_UINT (count);
  g_hash_table_iter_init (&iter, hosts);
  while (g_hash_table_iter_next (&iter, &service, &count))
    {
      const guint *seen = g_hash_table_lookup (route->by_service, service);
      double expected = (double)route->total * GPOINTER_TO_UINT (count)
                        / MAX (all_hosts, 1);
      if (!seen || *seen < USUAL_SHARE_MIN * expected)
        return true;
    }
  return false;
}
