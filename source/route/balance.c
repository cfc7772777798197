/* The load balancers.  "least-cost" draws two random upstreams from each
   distance tier (same data centre, same region, other region) and takes the
   cheapest of all; "round-robin" ignores load and ejections and serves as a
   baseline.  */
#include <string.h>

#include "cardamom/registry.h"
#include "cardamom/upstream.h"

#define TIER_COUNT 3 /* Values of cs_distance_t.  */

static bool
is_excluded (const cs_balancer_criteria_t *criteria, const char *node)
{
  for (const char *const *excluded = criteria->excluded_nodes;
       excluded && *excluded; excluded++)
    if (strcmp (*excluded, node) == 0)
      return true;
  return false;
}

static bool
is_eligible (const cs_upstream_t *upstream,
             const cs_balancer_criteria_t *criteria, bool skip_ejected)
{
  if (is_excluded (criteria, upstream->node))
    return false;
  if (upstream->distance == CS_OTHER_REGION && !criteria->other_region_allowed)
    return false;
  return !(skip_ejected && cs_upstream_is_ejected (upstream, criteria->now));
}

/* The eligible upstream at INDEX of TIER, counted from 0.  */
static cs_upstream_t *
nth_in_tier (const cs_upstream_set_t *set,
             const cs_balancer_criteria_t *criteria, bool skip_ejected,
             cs_distance_t tier, guint index)
{
  for (guint i = 0; i < set->list->len; i++)
    {
      cs_upstream_t *upstream = set->list->pdata[i];
      if (upstream->distance == tier
          && is_eligible (upstream, criteria, skip_ejected) && index-- == 0)
        return upstream;
    }
  return NULL;
}

static guint
count_in_tier (const cs_upstream_set_t *set,
               const cs_balancer_criteria_t *criteria, bool skip_ejected,
               cs_distance_t tier)
{
  guint count = 0;
  for (guint i = 0; i < set->list->len; i++)
    {
      const cs_upstream_t *upstream = set->list->pdata[i];
      count += upstream->distance == tier
               && is_eligible (upstream, criteria, skip_ejected);
    }
  return count;
}

static cs_upstream_t *
cheaper (cs_upstream_t *a, cs_upstream_t *b,
         const cs_balancer_criteria_t *criteria)
{
  if (!a || !b)
    return a ? a : b;
  return cs_upstream_cost (b, criteria) < cs_upstream_cost (a, criteria) ? b
                                                                         : a;
}

/* The cheaper of two random eligible upstreams of TIER, NULL when there is
   none.  */
static cs_upstream_t *
choose_in_tier (cs_ctx_t *ctx, const cs_upstream_set_t *set,
                const cs_balancer_criteria_t *criteria, bool skip_ejected,
                cs_distance_t tier)
{
  guint count = count_in_tier (set, criteria, skip_ejected, tier);
  if (count == 0)
    return NULL;
  guint first = (guint)g_rand_int_range (ctx->random, 0, (gint32)count);
  cs_upstream_t *a = nth_in_tier (set, criteria, skip_ejected, tier, first);
  if (count == 1)
    return a;
  guint step = (guint)g_rand_int_range (ctx->random, 1, (gint32)count);
  return cheaper (
      a,
      nth_in_tier (set, criteria, skip_ejected, tier, (first + step) % count),
      criteria);
}

static cs_upstream_t *
choose_least_cost (cs_ctx_t *ctx, const cs_upstream_set_t *set,
                   const cs_balancer_criteria_t *criteria)
{
  cs_upstream_t *best = NULL;
  /* The second pass admits ejected upstreams, when all others are excluded or
     in regions that are not allowed.  */
  for (int pass = 0; pass < 2 && !best; pass++)
    for (int tier = 0; tier < TIER_COUNT; tier++)
      best = cheaper (
          best,
          choose_in_tier (ctx, set, criteria, pass == 0, (cs_distance_t)tier),
          criteria);
  return best;
}

static cs_upstream_t *
choose_round_robin (cs_ctx_t *ctx, const cs_upstream_set_t *set,
                    const cs_balancer_criteria_t *criteria)
{
  static _Atomic guint turn;
  guint start = atomic_fetch_add (&turn, 1);
  (void)ctx;
  for (guint i = 0; i < set->list->len; i++)
    {
      cs_upstream_t *upstream = set->list->pdata[(start + i) % set->list->len];
      if (is_eligible (upstream, criteria, false))
        return upstream;
    }
  return NULL;
}

static const cs_balancer_vtable_t least_cost_vtable
    = { .choose = choose_least_cost };
static const cs_balancer_vtable_t round_robin_vtable
    = { .choose = choose_round_robin };

static cs_plugin_t least_cost_plugin = {
  .kind = CS_PLUGIN_BALANCER,
  .name = "least-cost",
  .summary = "cheapest of two random upstreams per distance tier",
  .vtable = &least_cost_vtable,
};

static cs_plugin_t round_robin_plugin = {
  .kind = CS_PLUGIN_BALANCER,
  .name = "round-robin",
  .summary = "each upstream in turn, regardless of load",
  .vtable = &round_robin_vtable,
};

CS_PLUGIN (least_cost_plugin)
CS_PLUGIN (round_robin_plugin)
