/* Sharing requests by weight without chance: over any stretch of requests each
   part is within one request of its weight.  */
#ifndef CARDAMOM_ROTATION_H
#define CARDAMOM_ROTATION_H

#include <stddef.h>
#include <stdint.h>

/* The next part of COUNT, of WEIGHTS.  CREDIT holds one number a part, zero at
   first, and is carried from call to call.  -1 when no weight is above 0.  */
int cs_rotation_next (const int64_t *weights, int64_t *credit, size_t count);

#endif
