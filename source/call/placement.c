#include "cardamom/placement.h"

/* Share of the time to the target that the expected latency may use for a node
   to be taken only because it is near.  The rest is headroom: run times spread
   by half of their mean, and a tenth take three times as long.  */
#define NEAR_TARGET_PERCENT 65
/* A node in another data centre of the region counts as slower by this part of
   the time to the target: the links between data centres are paid for.  */
#define OTHER_DC_SURCHARGE_PERCENT 18
/* A longer wait at the chosen node than expected is accepted up to this part
   of the run time, and as long as asking another node takes.  */
#define WAIT_MARGIN_PERCENT 15
/* A node that fails more often is used only when there is no other.  */
#define MAX_FAILING_PERMILLE 250
/* Nodes within this much of the lowest latency are chosen from at random.  */
#define TIE_PERCENT 12

cs_usec_t
cs_placement_queue_delay (int64_t outstanding, int64_t slots,
                          cs_usec_t slot_time)
{
  int64_t ahead = outstanding + 1 - slots;
  return ahead > 0 ? ahead * slot_time / MAX (slots, 1) : 0;
}

static cs_usec_t
expected_latency (const cs_placement_node_t *node)
{
  cs_usec_t latency
      = node->round_trip + node->transit + node->run_time
        + MAX (cs_placement_queue_delay (node->outstanding, node->slots,
                                         node->mean_service_time),
               node->limit_delay);
  /* A failure costs the time of another attempt.  */
  int64_t failing = CLAMP (node->failure_permille, 0, 900);
  return latency * 1000 / (1000 - failing);
}

static cs_usec_t
cost_of (const cs_placement_node_t *node, cs_usec_t surcharge)
{
  return expected_latency (node)
         + (node->distance == CS_SAME_DC ? 0 : surcharge);
}

static bool
is_usable (const cs_placement_node_t *node)
{
  return node->eligible && !node->refuses_retries;
}

/* How far away the node for REQUEST may be.  */
static cs_distance_t
farthest_for (const cs_placement_node_t *nodes, size_t count,
              const cs_placement_request_t *request)
{
  for (size_t i = 0; request->is_retry && i < count; i++)
    if (nodes[i].eligible && nodes[i].distance != CS_OTHER_REGION)
      return CS_SAME_REGION;
  return CS_OTHER_REGION;
}

/* Index of the node with the lowest expected latency at the distances from
   NEAREST to FARTHEST, chosen at random among near equals at its distance; -1
   when there is none.  Nodes in other data centres count as slower by
   SURCHARGE.  FAILING: also consider nodes above MAX_FAILING_PERMILLE.  */
static int
choose_fastest (const cs_placement_node_t *nodes, size_t count,
                cs_distance_t nearest, cs_distance_t farthest,
                cs_usec_t surcharge, bool failing, GRand *random)
{
  cs_usec_t best = INT64_MAX;
  cs_distance_t distance = nearest;
  int chosen = -1, equals = 0;
  for (int pass = 0; pass < 2; pass++)
    for (size_t i = 0; i < count; i++)
      {
        const cs_placement_node_t *node = &nodes[i];
        if (!is_usable (node) || node->distance < nearest
            || node->distance > farthest
            || (!failing && node->failure_permille > MAX_FAILING_PERMILLE))
          continue;
        cs_usec_t cost = cost_of (node, surcharge);
        if (pass == 0 && cost < best)
          {
            best = cost;
            distance = node->distance;
          }
        else if (pass == 1 && node->distance == distance
                 && cost <= best + best * TIE_PERCENT / 100
                 && g_rand_int_range (random, 0, ++equals) == 0)
          chosen = (int)i;
      }
  return chosen;
}

/* The choice of the node CHOSEN, with the wait from which on the next best
   node that is not farther away would have been better.  */
static cs_placement_t
chosen_node (const cs_placement_node_t *nodes, size_t count, int chosen,
             cs_usec_t surcharge)
{
  cs_usec_t second = INT64_MAX;
  const cs_placement_node_t *best = &nodes[chosen];
  for (size_t i = 0; i < count; i++)
    if ((int)i != chosen && is_usable (&nodes[i])
        && nodes[i].failure_permille <= MAX_FAILING_PERMILLE
        && nodes[i].distance <= MAX (best->distance, CS_SAME_REGION))
      second = MIN (second, cost_of (&nodes[i], surcharge));
  cs_usec_t without_wait = best->round_trip + best->transit + best->run_time
                           + (best->distance == CS_SAME_DC ? 0 : surcharge);
  return (cs_placement_t){
    .index = chosen,
    .expected_latency = expected_latency (best),
    .wait_max = second == INT64_MAX
                    ? INT64_MAX
                    : MAX (second - without_wait, 0) + best->round_trip
                          + best->run_time * WAIT_MARGIN_PERCENT / 100
  };
}

cs_placement_t
cs_placement_choose (const cs_placement_node_t *nodes, size_t count,
                     const cs_placement_request_t *request, GRand *random)
{
  static const int percents[] = { NEAR_TARGET_PERCENT, 100 };
  cs_usec_t surcharge
      = MAX (request->target_left, 0) * OTHER_DC_SURCHARGE_PERCENT / 100;
  cs_distance_t farthest = farthest_for (nodes, count, request);
  const struct
  {
    cs_distance_t nearest, farthest;
    cs_usec_t surcharge;
  } ranges[] = { { CS_SAME_DC, CS_SAME_REGION, surcharge },
                 { CS_SAME_DC, CS_SAME_REGION, 0 },
                 { CS_OTHER_REGION, farthest, 0 } };
  for (size_t pass = 0; pass < G_N_ELEMENTS (percents); pass++)
    for (size_t r = 0; r < G_N_ELEMENTS (ranges); r++)
      {
        int i = choose_fastest (nodes, count, ranges[r].nearest,
                                ranges[r].farthest, ranges[r].surcharge, false,
                                random);
        if (i >= 0
            && expected_latency (&nodes[i])
                   <= request->target_left * percents[pass] / 100)
          return chosen_node (nodes, count, i, ranges[r].surcharge);
      }
  /* No node is expected to meet the target.  Take the one of this region that
     comes nearest all the same: it knows its queue and may refuse.  Another
     region gets the request only when this one has no node.  */
  int i = choose_fastest (nodes, count, CS_SAME_DC, CS_SAME_REGION, surcharge,
                          false, random);
  if (i < 0)
    i = choose_fastest (nodes, count, CS_OTHER_REGION, farthest, 0, false,
                        random);
  if (i < 0)
    i = choose_fastest (nodes, count, CS_SAME_DC, farthest, 0, true, random);
  return i < 0 ? (cs_placement_t){ -1, -1, 0 }
               : chosen_node (nodes, count, i, surcharge);
}
