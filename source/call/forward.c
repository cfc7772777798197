/* Forwarding: the head that a server gets of a caller's request, and the route
   and service of the request.  */
#include <string.h>

#include "call.h"
#include "cardamom/header-names.h"
#include "cardamom/quarantine.h"
#include "cardamom/weighted-rr.h"

/* Whether field NAME is hop-by-hop or set by the node itself.  KEYED: the
   configuration holds workspaces, so that keys and names of workspaces are not
   the caller's to pass on.  */
static bool
is_rewritten_field (cs_str_t name, bool keyed)
{
  if (keyed
      && (cs_str_equal_nocase (name, "authorization")
          || cs_str_equal_nocase (name, cs_header_names->workspace)))
    return true;
  return cs_http1_field_is_hop_by_hop (name)
         || cs_str_equal_nocase (name, "content-length")
         || cs_str_equal_nocase (name, cs_header_names->time_remaining)
         || cs_str_equal_nocase (name, cs_header_names->expected_instance)
         || cs_str_equal_nocase (name, cs_header_names->caller_service);
}

/* Whether the Connection field of REQUEST lists NAME as hop-by-hop.  */
static bool
is_named_by_connection (const cs_http1_message_t *request, cs_str_t name)
{
  cs_str_t value = cs_http1_message_field (request, "connection");
  if (!value.len)
    return false;
  char *text = g_strndup (value.data, value.len);
  char **listed = g_strsplit (text, ",", -1);
  bool named = false;
  for (char **name_in_list = listed; *name_in_list; name_in_list++)
    named |= cs_str_equal_nocase (name, g_strstrip (*name_in_list));
  g_strfreev (listed);
  g_free (text);
  return named;
}

GString *
call_head_for_server (const call_t *call)
{
  const cs_traffic_t *traffic = call->traffic;
  const cs_http1_message_t *request = &call->exchange->request;
  bool keyed = call->snapshot->workspaces != NULL;
  GString *head = g_string_sized_new (request->head->len + 64);
  bool has_body = request->parser.flags & F_CHUNKED || request->body->len;
  g_string_append (head, http_method_str (request->parser.method));
  g_string_append_c (head, ' ');
  g_string_append_len (head, request->request_target.data,
                       (gssize)request->request_target.len);
  g_string_append (head, " HTTP/1.1\r\n");
  for (guint i = 0; i < request->fields->len; i++)
    {
      const cs_http1_field_t *f
          = &g_array_index (request->fields, cs_http1_field_t, i);
      if (is_rewritten_field (f->name, keyed)
          || is_named_by_connection (request, f->name))
        continue;
      g_string_append_len (head, f->name.data, (gssize)f->name.len);
      g_string_append (head, ": ");
      g_string_append_len (head, f->value.data, (gssize)f->value.len);
      g_string_append (head, "\r\n");
    }
  if (call->workspace)
    g_string_append_printf (head, "%s: %s\r\n", cs_header_names->workspace,
                            call->workspace->name);
  if (traffic->caller_service[0])
    g_string_append_printf (head, "%s: %s\r\n",
                            cs_header_names->caller_service,
                            traffic->caller_service);
  if (has_body || cs_http1_message_field (request, "content-length").data)
    g_string_append_printf (head, "Content-Length: %zu\r\n",
                            request->body->len);
  return head;
}

/* The host that REQUEST names, without its port.  */
static cs_str_t
request_host (const cs_http1_message_t *request)
{
  cs_str_t host = cs_http1_message_field (request, "host");
  const char *port = host.len ? memchr (host.data, ':', host.len) : NULL;
  if (port)
    host.len = (size_t)(port - host.data);
  return host;
}

uint64_t
call_fingerprint (const cs_http1_message_t *request)
{
  const char *method = http_method_str (request->parser.method);
  return cs_request_fingerprint (cs_str_of (method), request_host (request),
                                 request->request_target,
                                 cs_str_of_gstring (request->body));
}

/* Matches the host without its port and the target without its query.  */
const cs_route_t *
call_find_route (const cs_snapshot_t *snapshot,
                 const cs_http1_message_t *request)
{
  cs_str_t path = request->request_target;
  const char *query = path.len ? memchr (path.data, '?', path.len) : NULL;
  if (query)
    path.len = (size_t)(query - path.data);
  return cs_snapshot_find_route (snapshot, request_host (request), path,
                                 CS_METHODS_ALL);
}

route_state_t *
call_route_state (cs_traffic_t *traffic, const cs_route_t *route)
{
  route_state_t *state = g_hash_table_lookup (traffic->routes, route->path);
  if (!state)
    {
      state = g_new0 (route_state_t, 1);
      g_hash_table_insert (traffic->routes, g_strdup (route->path), state);
    }
  return state;
}

const char *
call_pick_service (route_state_t *state, const cs_route_t *route)
{
  int64_t weights[G_N_ELEMENTS (state->service_credit)] = { 0 };
  if (!route->split_targets)
    return route->service_path;
  guint count
      = MIN (route->split_targets->len, G_N_ELEMENTS (state->service_credit));
  for (guint i = 0; i < count; i++)
    weights[i]
        = g_array_index (route->split_targets, cs_split_target_t, i).weight;
  int part = cs_weighted_rr_next (weights, state->service_credit, count);
  return g_array_index (route->split_targets, cs_split_target_t, MAX (part, 0))
      .service_path;
}
