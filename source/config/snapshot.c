#include <string.h>

#include "cardamom/snapshot.h"

/* A snapshot under construction.  */
typedef struct
{
  cs_ctx_t *ctx;
  cs_snapshot_t *snapshot;
  /* Path of a move -> cs_move_t with only the state fields set.  */
  GHashTable *move_states;
  GString *errors;
} snapshot_builder_t;

static char *
move_path_of_state (const char *state_path)
{
  char **parts = g_strsplit (state_path, "/.moves/", 2);
  char *path = g_strconcat (parts[0], "/moves/", parts[1], NULL);
  g_strfreev (parts);
  return path;
}

static void
add_parsed_document (snapshot_builder_t *builder, cs_doc_kind_t kind,
                     const char *path, void *object)
{
  cs_snapshot_t *snapshot = builder->snapshot;
  switch (kind)
    {
    case CS_DOC_SERVICE:
      g_hash_table_insert (snapshot->services, ((cs_service_t *)object)->path,
                           object);
      break;
    case CS_DOC_ROUTE:
      g_ptr_array_add (snapshot->routes, object);
      break;
    case CS_DOC_MOVE:
      g_hash_table_insert (snapshot->moves, ((cs_move_t *)object)->path,
                           object);
      break;
    case CS_DOC_MOVE_STATE:
      g_hash_table_insert (builder->move_states, move_path_of_state (path),
                           object);
      break;
    }
}

static gboolean
parse_document (gpointer path, gpointer text, gpointer user)
{
  snapshot_builder_t *builder = user;
  void *object = NULL;
  cs_doc_path_t parsed;
  json_t *document = json_loads (text, 0, NULL);
  cs_status_t status = cs_document_parse (builder->ctx, path, document,
                                          &object, builder->errors);
  json_decref (document);
  if (status != CS_OK)
    return FALSE;
  cs_doc_path_parse (builder->ctx, path, &parsed);
  add_parsed_document (builder, parsed.kind, path, object);
  cs_doc_path_clear (&parsed);
  return FALSE;
}

static cs_service_t *
resolve_service (snapshot_builder_t *builder, const char *path,
                 const char *service_path)
{
  cs_service_t *service
      = g_hash_table_lookup (builder->snapshot->services, service_path);
  if (!service)
    g_string_append_printf (builder->errors,
                            "%s: service: %s does not exist; create it "
                            "before, or in the same change\n",
                            path, service_path);
  return service;
}

static gint
compare_routes (gconstpointer a, gconstpointer b)
{
  const cs_route_t *route_a = *(const cs_route_t *const *)a;
  const cs_route_t *route_b = *(const cs_route_t *const *)b;
  int any_host_a = strcmp (route_a->host, "*") == 0,
      any_host_b = strcmp (route_b->host, "*") == 0;
  if (any_host_a != any_host_b)
    return any_host_a - any_host_b;
  size_t prefix_len_a = strlen (route_a->prefix),
         prefix_len_b = strlen (route_b->prefix);
  if (prefix_len_a != prefix_len_b)
    return prefix_len_a < prefix_len_b ? 1 : -1;
  int order = strcmp (route_a->host, route_b->host);
  if (order == 0)
    order = strcmp (route_a->prefix, route_b->prefix);
  return order ? order : strcmp (route_a->path, route_b->path);
}

static void
link_split_targets (snapshot_builder_t *builder, cs_route_t *route)
{
  for (guint i = 0; route->split_targets && i < route->split_targets->len; i++)
    {
      cs_split_target_t *target
          = &g_array_index (route->split_targets, cs_split_target_t, i);
      target->service
          = resolve_service (builder, route->path, target->service_path);
    }
}

static void
index_route_by_host (cs_snapshot_t *snapshot, cs_route_t *route)
{
  char *host = g_ascii_strdown (route->host, -1);
  GPtrArray *routes = g_hash_table_lookup (snapshot->routes_by_host, host);
  if (!routes)
    {
      routes = g_ptr_array_new ();
      g_hash_table_insert (snapshot->routes_by_host, g_strdup (host), routes);
    }
  g_ptr_array_add (routes, route);
  g_free (host);
}

static void
index_restricted_route (cs_snapshot_t *snapshot, cs_route_t *route)
{
  if (!snapshot->restricted_routes)
    snapshot->restricted_routes = g_hash_table_new (g_str_hash, g_str_equal);
  g_hash_table_insert (snapshot->restricted_routes, route->path, route);
}

char *const *
cs_snapshot_allowed_regions (const cs_snapshot_t *snapshot, const char *path)
{
  const cs_route_t *route
      = snapshot->restricted_routes
            ? g_hash_table_lookup (snapshot->restricted_routes, path)
            : NULL;
  return route ? route->allowed_regions : NULL;
}

static void
link_routes (snapshot_builder_t *builder)
{
  GPtrArray *routes = builder->snapshot->routes;
  g_ptr_array_sort (routes, compare_routes);
  for (guint i = 0; i < routes->len; i++)
    {
      cs_route_t *route = routes->pdata[i];
      if (route->split_targets)
        link_split_targets (builder, route);
      else
        route->service
            = resolve_service (builder, route->path, route->service_path);
      index_route_by_host (builder->snapshot, route);
      if (route->allowed_regions)
        index_restricted_route (builder->snapshot, route);
      for (guint j = i; j-- > 0;)
        {
          const cs_route_t *other = routes->pdata[j];
          if (strcmp (other->host, route->host) != 0
              || strcmp (other->prefix, route->prefix) != 0)
            break;
          if (other->methods & route->methods)
            g_string_append_printf (
                builder->errors,
                "%s: prefix: matches the same requests as %s; change host, "
                "prefix or methods\n",
                route->path, other->path);
        }
    }
}

static void
apply_state (cs_move_t *move, const cs_move_t *state)
{
  move->state = state->state;
  move->candidate_permille = state->candidate_permille;
  move->last_step_ms = state->last_step_ms;
  move->lease_epoch = state->lease_epoch;
  g_free (move->reason);
  move->reason = g_strdup (state->reason);
}

static void
mark_withdrawn (cs_move_t *move)
{
  move->state = CS_MOVE_ROLLED_BACK;
  move->candidate_permille = 0;
  g_free (move->reason);
  move->reason = g_strdup ("withdrawn by the team");
}

static void
check_running_move (snapshot_builder_t *builder, const cs_move_t *move,
                    GHashTable *moves_by_service)
{
  if (move->state != CS_MOVE_RUNNING || !move->service)
    return;
  const char *other
      = g_hash_table_lookup (moves_by_service, move->service_path);
  if (other)
    g_string_append_printf (builder->errors,
                            "%s: service: %s is still moving it; wait until "
                            "it is done or take it back\n",
                            move->path, other);
  g_hash_table_insert (moves_by_service, move->service_path, move->path);
  if (move->from_version
      && strcmp (move->from_version, move->service->version) != 0)
    g_string_append_printf (builder->errors,
                            "%s: from: the service runs version %s; write "
                            "that version\n",
                            move->path, move->service->version);
}

static void
link_moves (snapshot_builder_t *builder)
{
  GHashTableIter iter;
  gpointer value;
  GHashTable *moves_by_service = g_hash_table_new (g_str_hash, g_str_equal);
  g_hash_table_iter_init (&iter, builder->snapshot->moves);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      cs_move_t *move = value;
      const cs_move_t *state
          = g_hash_table_lookup (builder->move_states, move->path);
      move->service
          = resolve_service (builder, move->path, move->service_path);
      if (state && state->state_start_ms == move->start_ms)
        apply_state (move, state);
      if (move->withdrawn && move->state == CS_MOVE_RUNNING)
        mark_withdrawn (move);
      check_running_move (builder, move, moves_by_service);
    }
  g_hash_table_unref (moves_by_service);
}

cs_snapshot_t *
cs_snapshot_new (cs_ctx_t *ctx, int64_t version)
{
  cs_snapshot_t *snapshot = cs_calloc (ctx, sizeof *snapshot);
  g_atomic_ref_count_init (&snapshot->refs);
  snapshot->version = version;
  snapshot->services
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, cs_service_free);
  snapshot->routes = g_ptr_array_new_with_free_func (cs_route_free);
  snapshot->moves
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, cs_move_free);
  snapshot->routes_by_host = g_hash_table_new_full (
      g_str_hash, g_str_equal, g_free, (GDestroyNotify)g_ptr_array_unref);
  return snapshot;
}

void
cs_snapshot_add_service (cs_snapshot_t *snapshot, cs_service_t *service)
{
  g_hash_table_insert (snapshot->services, service->path, service);
}

void
cs_snapshot_add_route (cs_snapshot_t *snapshot, cs_route_t *route)
{
  g_ptr_array_add (snapshot->routes, route);
}

cs_status_t
cs_snapshot_link (cs_ctx_t *ctx, cs_snapshot_t *snapshot, GString *errors)
{
  gsize initial_len = errors->len;
  snapshot_builder_t builder
      = { .ctx = ctx, .snapshot = snapshot, .errors = errors };
  link_routes (&builder);
  if (errors->len != initial_len)
    return cs_fail (ctx, CS_BAD_INPUT, "%s", errors->str + initial_len);
  return CS_OK;
}

cs_snapshot_t *
cs_snapshot_keep (cs_snapshot_t *snapshot)
{
  g_atomic_ref_count_inc (&snapshot->refs);
  return snapshot;
}

cs_status_t
cs_snapshot_build (cs_ctx_t *ctx, int64_t version, cs_docs_t *docs,
                   cs_snapshot_t **snapshot, GString *errors)
{
  gsize initial_len = errors->len;
  cs_snapshot_t *built = cs_snapshot_new (ctx, version);
  built->digest = cs_docs_digest (docs);
  built->docs = docs;
  snapshot_builder_t builder
      = { .ctx = ctx, .snapshot = built, .errors = errors };
  builder.move_states
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, cs_move_free);
  cs_docs_foreach (docs, parse_document, &builder);
  link_routes (&builder);
  link_moves (&builder);
  g_hash_table_unref (builder.move_states);
  if (errors->len != initial_len)
    {
      cs_snapshot_drop (ctx, built);
      return cs_fail (ctx, CS_BAD_INPUT, "%s", errors->str + initial_len);
    }
  *snapshot = built;
  return CS_OK;
}

void
cs_snapshot_drop (cs_ctx_t *ctx, cs_snapshot_t *snapshot)
{
  if (!snapshot || !g_atomic_ref_count_dec (&snapshot->refs))
    return;
  g_hash_table_unref (snapshot->routes_by_host);
  if (snapshot->restricted_routes)
    g_hash_table_unref (snapshot->restricted_routes);
  g_ptr_array_unref (snapshot->routes);
  g_hash_table_unref (snapshot->moves);
  g_hash_table_unref (snapshot->services);
  cs_workspaces_free (snapshot->workspaces);
  if (snapshot->docs)
    cs_docs_drop (ctx, snapshot->docs);
  cs_free (ctx, snapshot);
}

static bool
prefix_matches (const char *prefix, cs_str_t path)
{
  cs_str_t prefix_str = cs_str_of (prefix);
  if (!cs_str_has_prefix (path, prefix_str))
    return false;
  if (prefix_str.data[prefix_str.len - 1] == '/' || path.len == prefix_str.len)
    return true;
  return path.data[prefix_str.len] == '/' || path.data[prefix_str.len] == '?';
}

static const cs_route_t *
find_route (const GPtrArray *routes, cs_str_t path, unsigned method)
{
  for (guint i = 0; routes && i < routes->len; i++)
    {
      const cs_route_t *route = routes->pdata[i];
      if ((route->methods & method) && prefix_matches (route->prefix, path))
        return route;
    }
  return NULL;
}

const cs_route_t *
cs_snapshot_find_route (const cs_snapshot_t *snapshot, cs_str_t host,
                        cs_str_t path, unsigned method)
{
  char *host_key
      = g_ascii_strdown (host.data ? host.data : "", (gssize)host.len);
  const cs_route_t *route = find_route (
      g_hash_table_lookup (snapshot->routes_by_host, host_key), path, method);
  g_free (host_key);
  return route
             ? route
             : find_route (g_hash_table_lookup (snapshot->routes_by_host, "*"),
                           path, method);
}

const cs_move_t *
cs_snapshot_find_running_move (const cs_snapshot_t *snapshot,
                               const cs_service_t *service)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, snapshot->moves);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const cs_move_t *move = value;
      if (move->service == service && move->state == CS_MOVE_RUNNING)
        return move;
    }
  return NULL;
}
