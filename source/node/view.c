#include <string.h>

#include "moves.h"
#include "view.h"

static void
free_budget (gpointer data)
{
  cs_retry_budget_clear (data);
  g_free (data);
}

void
view_store_init (view_store_t *store)
{
  store->upstreams = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                            cs_upstream_drop);
  store->budgets
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, free_budget);
}

void
view_store_clear (view_store_t *store)
{
  g_hash_table_unref (store->upstreams);
  g_hash_table_unref (store->budgets);
}

static cs_distance_t
distance_of (const cs_member_t *self, const cs_member_t *m)
{
  if (strcmp (self->dc, m->dc) == 0)
    return CS_SAME_DC;
  return strcmp (self->region, m->region) == 0 ? CS_SAME_REGION
                                               : CS_OTHER_REGION;
}

static bool
takes_work (const cs_member_t *m)
{
  return cs_member_reachable (m) && m->state == CS_NODE_UP
         && m->endpoint.service[0] && !m->endpoint.draining;
}

static bool
is_same_upstream (const cs_upstream_t *u, const cs_member_t *m)
{
  return u && u->announced_ms == m->endpoint.announced_ms
         && u->slots == MAX (m->endpoint.slots, 1) && u->port == m->port
         && strcmp (u->host, m->host) == 0;
}

/* Take the upstream of M from the view before, so that its numbers go on, or
   make it, and note it in USED.  */
static cs_upstream_t *
upstream_of (const view_store_t *store, GHashTable *used,
             const cs_member_t *self, const cs_member_t *m)
{
  char *key = g_strdup_printf ("%s %s %s", m->name, m->endpoint.service,
                               m->endpoint.version);
  cs_upstream_t *u = g_hash_table_lookup (store->upstreams, key);
  if (is_same_upstream (u, m))
    {
      g_hash_table_insert (used, key, cs_upstream_keep (u));
      return u;
    }
  u = cs_upstream_new (&(cs_upstream_params_t){
      .node = m->name,
      .host = m->host,
      .port = m->port,
      .service = m->endpoint.service,
      .version = m->endpoint.version,
      .distance = distance_of (self, m),
      .slots = m->endpoint.slots,
      .announced_ms = m->endpoint.announced_ms,
  });
  g_hash_table_insert (used, key, u);
  return u;
}

static cs_upstream_set_t *
set_of (view_t *view, const char *service, const char *version)
{
  char *key = g_strconcat (service, " ", version, NULL);
  cs_upstream_set_t *set = g_hash_table_lookup (view->upstreams, key);
  if (set)
    {
      g_free (key);
      return set;
    }
  set = cs_upstream_set_new ();
  g_hash_table_insert (view->upstreams, key, set);
  return set;
}

static void
add_members (view_store_t *store, cs_members_t *members, view_t *view)
{
  GPtrArray *all = cs_members_all (members);
  const cs_member_t *self = cs_members_self (members);
  GHashTable *used = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                            cs_upstream_drop);
  for (guint i = 0; i < all->len; i++)
    {
      const cs_member_t *m = all->pdata[i];
      if (!takes_work (m))
        continue;
      cs_upstream_set_t *set
          = set_of (view, m->endpoint.service, m->endpoint.version);
      g_ptr_array_add (set->list,
                       cs_upstream_keep (upstream_of (store, used, self, m)));
    }
  g_hash_table_unref (store->upstreams);
  store->upstreams = used;
  g_ptr_array_unref (all);
}

static void
add_budgets (view_store_t *store, view_t *view)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, view->snapshot->services);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const cs_service_t *service = value;
      cs_retry_budget_t *budget
          = g_hash_table_lookup (store->budgets, service->path);
      if (!budget)
        {
          budget = g_new0 (cs_retry_budget_t, 1);
          cs_retry_budget_init (budget, service->retry_percent);
          g_hash_table_insert (store->budgets, g_strdup (service->path),
                               budget);
        }
      else
        cs_retry_budget_set_percent (budget, service->retry_percent);
      g_hash_table_insert (view->budgets, g_strdup (service->path), budget);
    }
}

view_t *
view_new (view_store_t *store, cs_members_t *members, cs_snapshot_t *snapshot,
          GHashTable *backs, bool ready)
{
  view_t *view = g_new0 (view_t, 1);
  view->snapshot = snapshot;
  view->backs = backs;
  view->ready = ready;
  view->upstreams = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                           cs_upstream_set_drop);
  view->budgets
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  add_members (store, members, view);
  if (snapshot)
    add_budgets (store, view);
  return view;
}

void
view_free (view_t *view)
{
  if (!view)
    return;
  g_hash_table_unref (view->upstreams);
  g_hash_table_unref (view->backs);
  g_hash_table_unref (view->budgets);
  g_hash_table_unref (view->strikes);
  g_free (view);
}

static cs_upstream_set_t *
find_set (const view_t *view, const char *service, const char *version)
{
  char *key = g_strconcat (service, " ", version, NULL);
  cs_upstream_set_t *set = g_hash_table_lookup (view->upstreams, key);
  g_free (key);
  return set;
}

static cs_upstream_set_t *
keep_set (const view_t *view, const char *service, const char *version)
{
  cs_upstream_set_t *set = find_set (view, service, version);
  return set ? cs_upstream_set_keep (set) : cs_upstream_set_new ();
}

static bool
draws_new_version (cs_ctx_t *ctx, const view_t *view, const cs_move_t *move)
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
  if (move && g_hash_table_contains (view->backs, move->path))
    move = NULL;
  *choice = (version_choice_t){ 0 };
  if (move)
    choice->move = moves_name (move);
  choice->new_version = move && draws_new_version (ctx, view, move);
  choice->version
      = g_strdup (choice->new_version ? move->to_version : service->version);
  choice->set = keep_set (view, service->path, choice->version);
  if (!choice->new_version)
    return;
  choice->old_version = g_strdup (service->version);
  choice->old_set = keep_set (view, service->path, service->version);
}

void
version_choice_clear (version_choice_t *choice)
{
  g_free (choice->version);
  g_free (choice->move);
  g_free (choice->old_version);
  cs_upstream_set_drop (choice->set);
  cs_upstream_set_drop (choice->old_set);
  *choice = (version_choice_t){ 0 };
}

void
version_choice_fall_back (version_choice_t *choice)
{
  if (!choice->new_version)
    return;
  g_free (choice->version);
  cs_upstream_set_drop (choice->set);
  choice->version = choice->old_version;
  choice->set = choice->old_set;
  choice->old_version = NULL;
  choice->old_set = NULL;
  choice->new_version = false;
}
