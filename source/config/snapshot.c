#include <string.h>

#include "cardamom/snapshot.h"

typedef struct
{
  cs_ctx_t *ctx;
  cs_snapshot_t *snapshot;
  GHashTable *states; /* move path -> cs_move_t with the state fields.  */
  GString *errors;
} build_t;

static char *
move_path_of_state (const char *state_path)
{
  char **parts = g_strsplit (state_path, "/.moves/", 2);
  char *path = g_strconcat (parts[0], "/moves/", parts[1], NULL);
  g_strfreev (parts);
  return path;
}

static void
keep_document (build_t *build, cs_doc_kind_t kind, const char *path,
               void *object)
{
  cs_snapshot_t *snapshot = build->snapshot;
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
      g_hash_table_insert (build->states, move_path_of_state (path), object);
      break;
    }
}

static gboolean
parse_entry (gpointer path, gpointer text, gpointer user)
{
  build_t *build = user;
  void *object = NULL;
  cs_path_t parsed;
  json_t *document = json_loads (text, 0, NULL);
  cs_status_t status
      = cs_document_parse (build->ctx, path, document, &object, build->errors);
  json_decref (document);
  if (status != CS_OK)
    return FALSE;
  cs_path_parse (build->ctx, path, &parsed);
  keep_document (build, parsed.kind, path, object);
  cs_path_clear (&parsed);
  return FALSE;
}

static cs_service_t *
link_service (build_t *build, const char *path, const char *service_path)
{
  cs_service_t *service
      = g_hash_table_lookup (build->snapshot->services, service_path);
  if (!service)
    g_string_append_printf (build->errors,
                            "%s: service: %s does not exist; create it "
                            "before, or in the same change\n",
                            path, service_path);
  return service;
}

static gint
compare_routes (gconstpointer a, gconstpointer b)
{
  const cs_route_t *ra = *(const cs_route_t *const *)a;
  const cs_route_t *rb = *(const cs_route_t *const *)b;
  int any_a = strcmp (ra->host, "*") == 0, any_b = strcmp (rb->host, "*") == 0;
  if (any_a != any_b)
    return any_a - any_b;
  size_t la = strlen (ra->prefix), lb = strlen (rb->prefix);
  if (la != lb)
    return la < lb ? 1 : -1;
  int by_match = strcmp (ra->host, rb->host);
  if (by_match == 0)
    by_match = strcmp (ra->prefix, rb->prefix);
  return by_match ? by_match : strcmp (ra->path, rb->path);
}

static void
link_parts (build_t *build, cs_route_t *route)
{
  for (guint i = 0; route->parts && i < route->parts->len; i++)
    {
      cs_part_t *part = &g_array_index (route->parts, cs_part_t, i);
      part->service = link_service (build, route->path, part->service_path);
    }
}

static void
index_host (cs_snapshot_t *snapshot, cs_route_t *route)
{
  char *host = g_ascii_strdown (route->host, -1);
  GPtrArray *routes = g_hash_table_lookup (snapshot->by_host, host);
  if (!routes)
    {
      routes = g_ptr_array_new ();
      g_hash_table_insert (snapshot->by_host, g_strdup (host), routes);
    }
  g_ptr_array_add (routes, route);
  g_free (host);
}

static void
link_routes (build_t *build)
{
  GPtrArray *routes = build->snapshot->routes;
  g_ptr_array_sort (routes, compare_routes);
  for (guint i = 0; i < routes->len; i++)
    {
      cs_route_t *route = routes->pdata[i];
      if (route->parts)
        link_parts (build, route);
      else
        route->service
            = link_service (build, route->path, route->service_path);
      index_host (build->snapshot, route);
      for (guint j = i; j-- > 0;)
        {
          const cs_route_t *other = routes->pdata[j];
          if (strcmp (other->host, route->host) != 0
              || strcmp (other->prefix, route->prefix) != 0)
            break;
          if (other->methods & route->methods)
            g_string_append_printf (
                build->errors,
                "%s: prefix: matches the same requests as %s; change host, "
                "prefix or methods\n",
                route->path, other->path);
        }
    }
}

static void
take_state (cs_move_t *move, const cs_move_t *state)
{
  move->phase = state->phase;
  move->share_permille = state->share_permille;
  move->since_ms = state->since_ms;
  move->epoch = state->epoch;
  g_free (move->reason);
  move->reason = g_strdup (state->reason);
}

static void
withdraw (cs_move_t *move)
{
  move->phase = CS_MOVE_TAKEN_BACK;
  move->share_permille = 0;
  g_free (move->reason);
  move->reason = g_strdup ("withdrawn by the team");
}

static void
check_running_move (build_t *build, const cs_move_t *move, GHashTable *busy)
{
  if (move->phase != CS_MOVE_RUNNING || !move->service)
    return;
  const char *other = g_hash_table_lookup (busy, move->service_path);
  if (other)
    g_string_append_printf (build->errors,
                            "%s: service: %s is still moving it; wait until "
                            "it is done or take it back\n",
                            move->path, other);
  g_hash_table_insert (busy, move->service_path, move->path);
  if (move->from && strcmp (move->from, move->service->version) != 0)
    g_string_append_printf (build->errors,
                            "%s: from: the service runs version %s; write "
                            "that version\n",
                            move->path, move->service->version);
}

static void
link_moves (build_t *build)
{
  GHashTableIter iter;
  gpointer value;
  GHashTable *busy = g_hash_table_new (g_str_hash, g_str_equal);
  g_hash_table_iter_init (&iter, build->snapshot->moves);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      cs_move_t *move = value;
      const cs_move_t *state = g_hash_table_lookup (build->states, move->path);
      move->service = link_service (build, move->path, move->service_path);
      if (state && state->state_of_ms == move->start_ms)
        take_state (move, state);
      if (move->withdrawn && move->phase == CS_MOVE_RUNNING)
        withdraw (move);
      check_running_move (build, move, busy);
    }
  g_hash_table_unref (busy);
}

cs_snapshot_t *
cs_snapshot_new (cs_ctx_t *ctx, int64_t version)
{
  cs_snapshot_t *made = cs_calloc (ctx, sizeof *made);
  g_atomic_ref_count_init (&made->refs);
  made->version = version;
  made->services
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, cs_service_free);
  made->routes = g_ptr_array_new_with_free_func (cs_route_free);
  made->moves
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, cs_move_free);
  made->by_host = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                         (GDestroyNotify)g_ptr_array_unref);
  return made;
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
  gsize before = errors->len;
  build_t build = { .ctx = ctx, .snapshot = snapshot, .errors = errors };
  link_routes (&build);
  if (errors->len != before)
    return cs_fail (ctx, CS_BAD_INPUT, "%s", errors->str + before);
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
  gsize before = errors->len;
  cs_snapshot_t *made = cs_snapshot_new (ctx, version);
  made->digest = cs_docs_digest (docs);
  made->docs = docs;
  build_t build = { .ctx = ctx, .snapshot = made, .errors = errors };
  build.states
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, cs_move_free);
  cs_docs_foreach (docs, parse_entry, &build);
  link_routes (&build);
  link_moves (&build);
  g_hash_table_unref (build.states);
  if (errors->len != before)
    {
      cs_snapshot_drop (ctx, made);
      return cs_fail (ctx, CS_BAD_INPUT, "%s", errors->str + before);
    }
  *snapshot = made;
  return CS_OK;
}

void
cs_snapshot_drop (cs_ctx_t *ctx, cs_snapshot_t *snapshot)
{
  if (!snapshot || !g_atomic_ref_count_dec (&snapshot->refs))
    return;
  g_hash_table_unref (snapshot->by_host);
  g_ptr_array_unref (snapshot->routes);
  g_hash_table_unref (snapshot->moves);
  g_hash_table_unref (snapshot->services);
  if (snapshot->docs)
    cs_docs_drop (ctx, snapshot->docs);
  cs_free (ctx, snapshot);
}

static bool
prefix_matches (const char *prefix, cs_str_t path)
{
  cs_str_t p = cs_str_of (prefix);
  if (!cs_str_has_prefix (path, p))
    return false;
  if (p.data[p.len - 1] == '/' || path.len == p.len)
    return true;
  return path.data[p.len] == '/' || path.data[p.len] == '?';
}

static const cs_route_t *
route_among (const GPtrArray *routes, cs_str_t path, unsigned method)
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
cs_snapshot_route (const cs_snapshot_t *snapshot, cs_str_t host, cs_str_t path,
                   unsigned method)
{
  char *name = g_ascii_strdown (host.data ? host.data : "", (gssize)host.len);
  const cs_route_t *route = route_among (
      g_hash_table_lookup (snapshot->by_host, name), path, method);
  g_free (name);
  return route ? route
               : route_among (g_hash_table_lookup (snapshot->by_host, "*"),
                              path, method);
}

const cs_move_t *
cs_snapshot_move (const cs_snapshot_t *snapshot, const cs_service_t *service)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, snapshot->moves);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const cs_move_t *move = value;
      if (move->service == service && move->phase == CS_MOVE_RUNNING)
        return move;
    }
  return NULL;
}
