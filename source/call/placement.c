#include "cardamom/placement.h"

/* Share of the time to the target that the expected latency may use for a node
   to be taken only because it is near.  The rest is headroom: run times spread
   by half of their mean, and a tenth take three times as long.  */
#define NEAR_TARGET_PERCENT 65
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
      = node->round_trip + node->run_time
        + MAX (cs_placement_queue_delay (node->outstanding, node->slots,
                                         node->mean_service_time),
               node->limit_delay);
  /* A failure costs the time of another attempt.  */
  int64_t failing = CLAMP (node->failure_permille, 0, 900);
  return latency * 1000 / (1000 - failing);
}

/* Index of the node with the lowest expected latency at DISTANCE (-1: at any),
   chosen at random among near equals; -1 when there is none.  FAILING: also
   consider nodes above MAX_FAILING_PERMILLE.  */
static int
choose_fastest (const cs_placement_node_t *nodes, size_t count, int distance,
                bool failing, GRand *random)
{
  cs_usec_t best = INT64_MAX;
  int chosen = -1, equals = 0;
  for (int pass = 0; pass < 2; pass++)
    for (size_t i = 0; i < count; i++)
      {
        const cs_placement_node_t *node = &nodes[i];
        if (!node->eligible
            || (distance >= 0 && (int)node->distance != distance)
            || (!failing && node->failure_permille > MAX_FAILING_PERMILLE))
          continue;
        cs_usec_t latency = expected_latency (node);
        if (pass == 0)
          best = MIN (best, latency);
        else if (latency <= best + best * TIE_PERCENT / 100
                 && g_rand_int_range (random, 0, ++equals) == 0)
          chosen = (int)i;
      }
  return chosen;
}

cs_placement_t
cs_placement_choose (const cs_placement_node_t *nodes, size_t count,
                     const cs_placement_request_t *request, GRand *random)
{
  static const int percents[] = { NEAR_TARGET_PERCENT, 100 };
  for (size_t pass = 0; pass < G_N_ELEMENTS (percents); pass++)
    for (int distance = CS_SAME_DC; distance <= CS_OTHER_REGION; distance++)
      {
        int i = choose_fastest (nodes, count, distance, false, random);
        if (i >= 0
            && expected_latency (&nodes[i])
                   <= request->target_left * percents[pass] / 100)
          return (cs_placement_t){ i, expected_latency (&nodes[i]) };
      }
  /* No node is expected to meet the target.  Take the nearest all the same: it
     knows its queue and may refuse.  Another region gets the request only when
     this one has no node.  */
  int i = -1;
  for (int distance = CS_SAME_DC; i < 0 && distance <= CS_OTHER_REGION;
       distance++)
    i = choose_fastest (nodes, count, distance, false, random);
  if (i < 0)
    i = choose_fastest (nodes, count, -1, true, random);
  return (cs_placement_t){ i, i < 0 ? -1 : expected_latency (&nodes[i]) };
}
