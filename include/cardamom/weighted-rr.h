/* Smooth weighted round robin: deterministic, and over any run of requests
   each choice gets its weight's share to within one request.  */
#ifndef CARDAMOM_WEIGHTED_RR_H
#define CARDAMOM_WEIGHTED_RR_H

#include <stddef.h>
#include <stdint.h>

/* Returns the index of the next of COUNT choices, or -1 when no weight is
   above 0.  CREDIT is the caller's state, one number per choice: zero it
   before the first call and leave it alone between calls.  */
int cs_weighted_rr_next (const int64_t *weights, int64_t *credit,
                         size_t count);

#endif
