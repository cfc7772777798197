/* A lease on a row of the table, which lets one node at a time write the steps
   of version moves.  The revision of the row is the fencing token of the
   holder's writes: a holder that was paused past its time to live finds the
   revision changed.  Clocks of different nodes are not compared: a node takes
   the lease over when the row has not changed for its time to live by the
   node's own clock.  */
#ifndef CARDAMOM_LEASE_H
#define CARDAMOM_LEASE_H

#include "cardamom/platform.h"

typedef struct
{
  const char *key; /* Key of the row; borrowed.  */
  /* Node name and start time, so that a restarted node is another owner.  */
  char *owner;
  cs_usec_t ttl;        /* Time to live.  */
  int64_t epoch;        /* Grows with each change of holder.  */
  int64_t revision;     /* Of the row when last written; the fencing token.  */
  cs_usec_t expires_at; /* Monotonic time until which the lease is held.  */
  int64_t observed_revision; /* Last revision read of another holder's row.  */
  cs_usec_t observed_at;     /* When it was first read.  */
} cs_lease_t;

/* Initialise LEASE on the row KEY, which must outlive it, for OWNER, which is
   copied.  */
void cs_lease_init (cs_lease_t *lease, const char *key, const char *owner,
                    cs_usec_t ttl);
void cs_lease_clear (cs_lease_t *lease);

/* Take, renew or take over the lease.  CS_OK: it is held, with EPOCH and
   REVISION set.  CS_CONFLICT: another node holds it.  On any other status the
   holder is unknown; the next call finds out, also after a write whose answer
   was lost.  */
cs_status_t cs_lease_acquire (cs_ctx_t *ctx, cs_platform_t *platform,
                              cs_lease_t *lease);

/* Whether LEASE is certainly held at the time of CTX's clock.  */
bool cs_lease_is_held (const cs_ctx_t *ctx, const cs_lease_t *lease);

#endif
