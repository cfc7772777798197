#include "cardamom/place.h"

/* Part of the time to the target within which the expected end must lie for
   a near place to be taken: run times spread by half of their mean, and a
   tenth of them three times as long must still fit.  */
#define NEAR_PERCENT 65
/* A place that fails more than this is taken only when no other will do.  */
#define FAILING_PERMILLE 250
/* Ends that differ by less are taken for equal, and one is drawn.  */
#define EQUAL_PERCENT 12

cs_usec_t
cs_place_wait (int64_t busy, int64_t slots, cs_usec_t slot_time)
{
  int64_t ahead = busy + 1 - slots;
  return ahead > 0 ? ahead * slot_time / MAX (slots, 1) : 0;
}

static cs_usec_t
finish_at (const cs_place_t *place)
{
  cs_usec_t finish
      = place->round_trip + place->work
        + cs_place_wait (place->busy, place->slots, place->slot_time);
  /* A failure costs the time of another run.  */
  int64_t failing = CLAMP (place->failing_permille, 0, 900);
  return finish * 1000 / (1000 - failing);
}

/* The place with the soonest end at DISTANCE (-1: at any), drawn among near
   equals; -1 when there is none.  */
static int
soonest (const cs_place_t *places, size_t count, int distance, bool failing,
         GRand *random)
{
  cs_usec_t best = INT64_MAX;
  int chosen = -1, equals = 0;
  for (int pass = 0; pass < 2; pass++)
    for (size_t i = 0; i < count; i++)
      {
        const cs_place_t *p = &places[i];
        if (!p->usable || (distance >= 0 && (int)p->distance != distance)
            || (!failing && p->failing_permille > FAILING_PERMILLE))
          continue;
        cs_usec_t finish = finish_at (p);
        if (pass == 0)
          best = MIN (best, finish);
        else if (finish <= best + best * EQUAL_PERCENT / 100
                 && g_rand_int_range (random, 0, ++equals) == 0)
          chosen = (int)i;
      }
  return chosen;
}

cs_placement_t
cs_place_choose (const cs_place_t *places, size_t count,
                 const cs_place_need_t *need, GRand *random)
{
  static const int percents[] = { NEAR_PERCENT, 100 };
  for (size_t pass = 0; pass < G_N_ELEMENTS (percents); pass++)
    for (int distance = CS_NEAR; distance <= CS_FAR; distance++)
      {
        int i = soonest (places, count, distance, false, random);
        if (i >= 0
            && finish_at (&places[i])
                   <= need->target_left * percents[pass] / 100)
          return (cs_placement_t){ i, finish_at (&places[i]) };
      }
  /* Too late everywhere: only the node beside a server knows its queue, and
     may refuse.  Another region is asked when there is none here.  */
  int i = -1;
  for (int distance = CS_NEAR; i < 0 && distance <= CS_FAR; distance++)
    i = soonest (places, count, distance, false, random);
  if (i < 0)
    i = soonest (places, count, -1, true, random);
  return (cs_placement_t){ i, i < 0 ? -1 : finish_at (&places[i]) };
}
