#include "cardamom/weighted-rr.h"

int
cs_weighted_rr_next (const int64_t *weights, int64_t *credit, size_t count)
{
  int64_t total = 0;
  int best = -1;
  for (size_t i = 0; i < count; i++)
    {
      if (weights[i] <= 0)
        continue;
      total += weights[i];
      credit[i] += weights[i];
      if (best < 0 || credit[i] > credit[best])
        best = (int)i;
    }
  if (best >= 0)
    credit[best] -= total;
  return best;
}
