/* A lease on a row of the table, by which one node at a time writes the steps
   of version moves.  Its row's revision fences the holder's writes: a holder
   that was paused past its time finds the revision changed.  No clocks are
   compared: a lease is taken over when its row has stayed the same for its
   time to live by the taker's own clock.  */
#ifndef CARDAMOM_LEASE_H
#define CARDAMOM_LEASE_H

#include "cardamom/platform.h"

typedef struct
{
  const char *key;   /* Of the row; borrowed.  */
  char *owner;       /* Node and start, so that a restart is another owner. */
  cs_usec_t ttl;     /* Time to live.  */
  int64_t epoch;     /* Grows with each change of holder.  */
  int64_t revision;  /* Of the row when last written; the fence.  */
  cs_usec_t until;   /* Monotonic end of what this holder may assume.  */
  int64_t seen;      /* Revision last seen of another's row.  */
  cs_usec_t seen_at; /* When it was first seen.  */
} cs_lease_t;

/* Initialise LEASE for OWNER, which is copied.  */
void cs_lease_init (cs_lease_t *lease, const char *key, const char *owner,
                    cs_usec_t ttl);
void cs_lease_clear (cs_lease_t *lease);

/* Take, renew or take over the lease.  CS_OK: held, with EPOCH and REVISION
   set.  CS_CONFLICT: another holds it.  Otherwise nothing is known; an answer
   that was lost is settled by the next try.  */
cs_status_t cs_lease_try (cs_ctx_t *ctx, cs_platform_t *platform,
                          cs_lease_t *lease);

/* Whether LEASE was held for sure at the time of CTX's clock.  */
bool cs_lease_is_held (const cs_ctx_t *ctx, const cs_lease_t *lease);

#endif
