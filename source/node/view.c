#include <string.h>

#include "moves.h"
#include "view.h"

static void
retry_budget_free (gpointer data)
{
  cs_retry_budget_clear (data);
  g_free (data);
}

void
view_cache_init (view_cache_t *cache)
{
  cache->upstreams = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                            cs_upstream_drop);
  cache->retry_budgets = g_hash_table_new_full (g_str_hash, g_str_equal,
                                                g_free, retry_budget_free);
}

void
view_cache_clear (view_cache_t *cache)
{
  g_hash_table_unref (cache->upstreams);
  g_hash_table_unref (cache->retry_budgets);
}

static cs_distance_t
distance_of (const cs_member_t *self, const cs_member_t *member)
{
  if (strcmp (self->dc, member->dc) == 0)
    return CS_SAME_DC;
  return strcmp (self->region, member->region) == 0 ? CS_SAME_REGION
                                                    : CS_OTHER_REGION;
}

static bool
is_routable (const cs_member_t *member)
{
  return cs_member_reachable (member) && member->state == CS_NODE_UP
         && member->endpoint.service[0] && !member->endpoint.draining;
}

/* Whether UPSTREAM, which may be NULL, is still the one that MEMBER announces.
 */
static bool
is_same_upstream (const cs_upstream_t *upstream, const cs_member_t *member)
{
  return upstream && upstream->announced_ms == member->endpoint.announced_ms
         && upstream->slots == MAX (member->endpoint.slots, 1)
         && upstream->port == member->port
         && strcmp (upstream->host, member->host) == 0;
}

/* The upstream of MEMBER, which is also added to CURRENT: the one in CACHE, so
   that its measurements are kept, or a new one.  */
static cs_upstream_t *
get_upstream (const view_cache_t *cache, GHashTable *current,
              const cs_member_t *self, const cs_member_t *member)
{
  char *key
      = g_strdup_printf ("%s %s %s", member->name, member->endpoint.service,
                         member->endpoint.version);
  cs_upstream_t *upstream = g_hash_table_lookup (cache->upstreams, key);
  if (is_same_upstream (upstream, member))
    {
      g_hash_table_insert (current, key, cs_upstream_keep (upstream));
      return upstream;
    }
  upstream = cs_upstream_new (&(cs_upstream_params_t){
      .node = member->name,
      .host = member->host,
      .port = member->port,
      .service = member->endpoint.service,
      .version = member->endpoint.version,
      .distance = distance_of (self, member),
      .slots = member->endpoint.slots,
      .announced_ms = member->endpoint.announced_ms,
  });
  g_hash_table_insert (current, key, upstream);
  return upstream;
}

/* The upstreams of VERSION of SERVICE in VIEW, added if there are none; owned
   by VIEW.  */
static cs_upstream_set_t *
get_set (view_t *view, const char *service, const char *version)
{
  char *key = g_strconcat (service, " ", version, NULL);
  cs_upstream_set_t *set = g_hash_table_lookup (view->upstream_sets, key);
  if (set)
    {
      g_free (key);
      return set;
    }
  set = cs_upstream_set_new ();
  g_hash_table_insert (view->upstream_sets, key, set);
  return set;
}

static void
add_members (view_cache_t *cache, cs_members_t *members, view_t *view)
{
  GPtrArray *all_members = cs_members_all (members);
  const cs_member_t *self = cs_members_self (members);
  GHashTable *current = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                               cs_upstream_drop);
  for (guint i = 0; i < all_members->len; i++)
    {
      const cs_member_t *member = all_members->pdata[i];
      if (!is_routable (member))
        continue;
      cs_upstream_set_t *set
          = get_set (view, member->endpoint.service, member->endpoint.version);
      g_ptr_array_add (set->list, cs_upstream_keep (get_upstream (
                                      cache, current, self, member)));
    }
  g_hash_table_unref (cache->upstreams);
  cache->upstreams = current;
  g_ptr_array_unref (all_members);
}

static void
add_budgets (view_cache_t *cache, view_t *view)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, view->snapshot->services);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const cs_service_t *service = value;
      cs_retry_budget_t *budget
          = g_hash_table_lookup (cache->retry_budgets, service->path);
      if (!budget)
        {
          budget = g_new0 (cs_retry_budget_t, 1);
          cs_retry_budget_init (budget, service->retry_percent);
          g_hash_table_insert (cache->retry_budgets, g_strdup (service->path),
                               budget);
        }
      else
        cs_retry_budget_set_percent (budget, service->retry_percent);
      g_hash_table_insert (view->retry_budgets, g_strdup (service->path),
                           budget);
    }
}

view_t *
view_new (view_cache_t *cache, cs_members_t *members, cs_snapshot_t *snapshot,
          GHashTable *rolled_back_moves, bool ready)
{
  view_t *view = g_new0 (view_t, 1);
  view->snapshot = snapshot;
  view->rolled_back_moves = rolled_back_moves;
  view->ready = ready;
  view->upstream_sets = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                               cs_upstream_set_drop);
  view->retry_budgets
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  add_members (cache, members, view);
  if (snapshot)
    add_budgets (cache, view);
  return view;
}

void
view_free (view_t *view)
{
  if (!view)
    return;
  g_hash_table_unref (view->upstream_sets);
  g_hash_table_unref (view->rolled_back_moves);
  g_hash_table_unref (view->retry_budgets);
  g_hash_table_unref (view->crash_counts);
  g_free (view);
}

static cs_upstream_set_t *
find_set (const view_t *view, const char *service, const char *version)
{
  char *key = g_strconcat (service, " ", version, NULL);
  cs_upstream_set_t *set = g_hash_table_lookup (view->upstream_sets, key);
  g_free (key);
  return set;
}

/* A reference to the upstreams of VERSION of SERVICE, an empty set without
   any.  */
static cs_upstream_set_t *
hold_set (const view_t *view, const char *service, const char *version)
{
  cs_upstream_set_t *set = find_set (view, service, version);
  return set ? cs_upstream_set_keep (set) : cs_upstream_set_new ();
}

/* Whether a request is sent to the candidate, at random by the share of
   MOVE.  */
static bool
draw_candidate (cs_ctx_t *ctx, const view_t *view, const cs_move_t *move)
{
  return g_rand_int_range (ctx->random, 0, CS_ALL_TRAFFIC_PERMILLE)
             < move->candidate_permille
         && find_set (view, move->service_path, move->to_version);
}

void
view_choose_version (cs_ctx_t *ctx, const view_t *view,
                     const cs_service_t *service, version_choice_t *choice)
{
  const cs_move_t *move
      = cs_snapshot_find_running_move (view->snapshot, service);
  if (move && g_hash_table_contains (view->rolled_back_moves, move->path))
    move = NULL;
  *choice = (version_choice_t){ 0 };
  if (move)
    choice->move_name = moves_make_name (move);
  choice->is_candidate = move && draw_candidate (ctx, view, move);
  choice->version
      = g_strdup (choice->is_candidate ? move->to_version : service->version);
  choice->upstreams = hold_set (view, service->path, choice->version);
  if (!choice->is_candidate)
    return;
  choice->baseline_version = g_strdup (service->version);
  choice->baseline_upstreams
      = hold_set (view, service->path, service->version);
}

void
version_choice_clear (version_choice_t *choice)
{
  g_free (choice->version);
  g_free (choice->move_name);
  g_free (choice->baseline_version);
  cs_upstream_set_drop (choice->upstreams);
  cs_upstream_set_drop (choice->baseline_upstreams);
  *choice = (version_choice_t){ 0 };
}

void
version_choice_use_baseline (version_choice_t *choice)
{
  if (!choice->is_candidate)
    return;
  g_free (choice->version);
  cs_upstream_set_drop (choice->upstreams);
  choice->version = choice->baseline_version;
  choice->upstreams = choice->baseline_upstreams;
  choice->baseline_version = NULL;
  choice->baseline_upstreams = NULL;
  choice->is_candidate = false;
}
