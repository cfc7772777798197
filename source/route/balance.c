/* The balancers: "least-cost" compares two near candidates at random with one
   of each farther tier; "round-robin" is the plain baseline.  */
#include <string.h>

#include "cardamom/registry.h"
#include "cardamom/upstream.h"

#define TIERS 3

static bool
already_tried (const cs_choice_t *choice, const char *node)
{
  for (const char *const *no = choice->no; no && *no; no++)
    if (strcmp (*no, node) == 0)
      return true;
  return false;
}

static bool
may_choose (const cs_upstream_t *u, const cs_choice_t *choice,
            bool mind_ejection)
{
  if (already_tried (choice, u->node))
    return false;
  if (u->distance == CS_FAR && !choice->far_allowed)
    return false;
  return !(mind_ejection && cs_upstream_ejected (u, choice->now));
}

/* The K-th candidate of TIER, counting only those that may be chosen.  */
static cs_upstream_t *
nth_of_tier (const cs_upstreams_t *set, const cs_choice_t *choice,
             bool mind_ejection, cs_distance_t tier, guint k)
{
  for (guint i = 0; i < set->list->len; i++)
    {
      cs_upstream_t *u = set->list->pdata[i];
      if (u->distance == tier && may_choose (u, choice, mind_ejection)
          && k-- == 0)
        return u;
    }
  return NULL;
}

static guint
count_of_tier (const cs_upstreams_t *set, const cs_choice_t *choice,
               bool mind_ejection, cs_distance_t tier)
{
  guint count = 0;
  for (guint i = 0; i < set->list->len; i++)
    {
      const cs_upstream_t *u = set->list->pdata[i];
      count += u->distance == tier && may_choose (u, choice, mind_ejection);
    }
  return count;
}

static cs_upstream_t *
cheaper (cs_upstream_t *a, cs_upstream_t *b, const cs_choice_t *choice)
{
  if (!a || !b)
    return a ? a : b;
  return cs_upstream_cost (b, choice) < cs_upstream_cost (a, choice) ? b : a;
}

static cs_upstream_t *
sample_tier (cs_ctx_t *ctx, const cs_upstreams_t *set,
             const cs_choice_t *choice, bool mind_ejection, cs_distance_t tier)
{
  guint count = count_of_tier (set, choice, mind_ejection, tier);
  if (count == 0)
    return NULL;
  guint first = (guint)g_rand_int_range (ctx->random, 0, (gint32)count);
  cs_upstream_t *a = nth_of_tier (set, choice, mind_ejection, tier, first);
  if (count == 1)
    return a;
  guint step = (guint)g_rand_int_range (ctx->random, 1, (gint32)count);
  return cheaper (
      a,
      nth_of_tier (set, choice, mind_ejection, tier, (first + step) % count),
      choice);
}

static cs_upstream_t *
choose_least_cost (cs_ctx_t *ctx, const cs_upstreams_t *set,
                   const cs_choice_t *choice)
{
  cs_upstream_t *best = NULL;
  for (int pass = 0; pass < 2 && !best; pass++)
    for (int tier = 0; tier < TIERS; tier++)
      best = cheaper (
          best, sample_tier (ctx, set, choice, pass == 0, (cs_distance_t)tier),
          choice);
  return best;
}

static cs_upstream_t *
choose_round_robin (cs_ctx_t *ctx, const cs_upstreams_t *set,
                    const cs_choice_t *choice)
{
  static _Atomic guint turn;
  guint start = atomic_fetch_add (&turn, 1);
  (void)ctx;
  for (guint i = 0; i < set->list->len; i++)
    {
      cs_upstream_t *u = set->list->pdata[(start + i) % set->list->len];
      if (may_choose (u, choice, false))
        return u;
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
  .summary = "two random near upstreams and one of each farther tier, by cost",
  .vtable = &least_cost_vtable,
};

static cs_plugin_t round_robin_plugin = {
  .kind = CS_PLUGIN_BALANCER,
  .name = "round-robin",
  .summary = "each upstream in turn, whatever its load",
  .vtable = &round_robin_vtable,
};

CS_PLUGIN (least_cost_plugin)
CS_PLUGIN (round_robin_plugin)
