/* What a server gets of a caller's request, and where it goes by its route. */
#include <string.h>

#include "call.h"
#include "cardamom/headers.h"
#include "cardamom/rotation.h"

/* Whether NAME is set by the node itself, or concerns only one hop.  */
static bool
is_own_field (cs_str_t name)
{
  return cs_field_is_hop (name) || cs_str_is (name, "content-length")
         || cs_str_is (name, cs_headers->deadline)
         || cs_str_is (name, cs_headers->instance)
         || cs_str_is (name, cs_headers->caller);
}

/* Whether the Connection field of REQUEST names NAME.  */
static bool
is_named_by_connection (const cs_message_t *request, cs_str_t name)
{
  cs_str_t value = cs_message_field (request, "connection");
  if (!value.len)
    return false;
  char *text = g_strndup (value.data, value.len);
  char **words = g_strsplit (text, ",", -1);
  bool named = false;
  for (char **word = words; *word; word++)
    named |= cs_str_is (name, g_strstrip (*word));
  g_strfreev (words);
  g_free (text);
  return named;
}

/* The request line and fields for the server.  */
GString *
call_head_for_server (const cs_traffic_t *t, const cs_message_t *request)
{
  GString *out = g_string_sized_new (request->head->len + 64);
  bool framed = request->parser.flags & F_CHUNKED || request->body->len;
  g_string_append (out, http_method_str (request->parser.method));
  g_string_append_c (out, ' ');
  g_string_append_len (out, request->target.data, (gssize)request->target.len);
  g_string_append (out, " HTTP/1.1\r\n");
  for (guint i = 0; i < request->fields->len; i++)
    {
      const cs_field_t *f = &g_array_index (request->fields, cs_field_t, i);
      if (is_own_field (f->name) || is_named_by_connection (request, f->name))
        continue;
      g_string_append_len (out, f->name.data, (gssize)f->name.len);
      g_string_append (out, ": ");
      g_string_append_len (out, f->value.data, (gssize)f->value.len);
      g_string_append (out, "\r\n");
    }
  if (t->caller_service[0])
    g_string_append_printf (out, "%s: %s\r\n", cs_headers->caller,
                            t->caller_service);
  if (framed || cs_message_field (request, "content-length").data)
    g_string_append_printf (out, "Content-Length: %zu\r\n",
                            request->body->len);
  return out;
}

/* Host without its port, target without its query.  */
const cs_route_t *
call_route_of (const cs_snapshot_t *snapshot, const cs_message_t *request)
{
  cs_str_t host = cs_message_field (request, "host");
  cs_str_t path = request->target;
  const char *port = host.len ? memchr (host.data, ':', host.len) : NULL;
  const char *query = path.len ? memchr (path.data, '?', path.len) : NULL;
  if (port)
    host.len = (size_t)(port - host.data);
  if (query)
    path.len = (size_t)(query - path.data);
  return cs_snapshot_route (snapshot, host, path, CS_METHODS_ALL);
}

route_state_t *
call_state_of (cs_traffic_t *t, const cs_route_t *route)
{
  route_state_t *state = g_hash_table_lookup (t->routes, route->path);
  if (!state)
    {
      state = g_new0 (route_state_t, 1);
      g_hash_table_insert (t->routes, g_strdup (route->path), state);
    }
  return state;
}

/* The service for the next request of ROUTE.  */
const char *
call_service_for (route_state_t *state, const cs_route_t *route)
{
  int64_t weights[G_N_ELEMENTS (state->credit)] = { 0 };
  if (!route->parts)
    return route->service_path;
  guint count = MIN (route->parts->len, G_N_ELEMENTS (state->credit));
  for (guint i = 0; i < count; i++)
    weights[i] = g_array_index (route->parts, cs_part_t, i).weight;
  int part = cs_rotation_next (weights, state->credit, count);
  return g_array_index (route->parts, cs_part_t, MAX (part, 0)).service_path;
}
