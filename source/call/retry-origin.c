/* Which requests for the server beside this node are calls of runs that were
   retries, and how many servers share the retry budget.  */
#include "traffic.h"

void
traffic_attribute_retry (cs_traffic_t *traffic, cs_dispatch_request_t *request,
                         const char *caller_service)
{
  char *route = cs_str_dup (request->route);
  cs_route_callers_note (traffic->route_callers, route, caller_service);
  request->may_be_call = cs_route_callers_may_be_calls (
      traffic->route_callers, route, traffic->server_counts);
  if (!request->may_be_call)
    request->inherited_retry = 0;
  g_free (route);
}

void
traffic_count_servers (cs_traffic_t *traffic)
{
  GHashTableIter iter;
  gpointer service, value;
  g_hash_table_remove_all (traffic->server_counts);
  g_hash_table_iter_init (&iter, traffic->pools);
  while (g_hash_table_iter_next (&iter, &service, &value))
    {
      const pool_t *pool = value;
      guint count = 0;
      for (guint i = 0; i < pool->peers->len; i++)
        {
          const peer_t *peer = pool->peers->pdata[i];
          count += peer->info.server_state == CS_BACKEND_READY
                   || peer->info.server_state == CS_BACKEND_DRAINING;
        }
      if (count)
        g_hash_table_insert (traffic->server_counts, service,
                             GUINT_TO_POINTER (count));
    }
  guint own = GPOINTER_TO_UINT (g_hash_table_lookup (
      traffic->server_counts, traffic->self->info.service));
  cs_dispatcher_set_server_count (traffic->dispatcher, MAX (own, 1));
}
