/* Failure detection within a data centre, after SWIM: a direct probe, then
   indirect probes through other members, then suspicion, then death.  The
   clock and the send function are passed in; nothing here blocks.  */
#ifndef CARDAMOM_PROBER_H
#define CARDAMOM_PROBER_H

#include "cardamom/members.h"

/* Send to VIA a probe of TARGET; VIA equals TARGET for a direct probe.  */
typedef void (*cs_prober_send_t) (void *user, const char *via,
                                  const char *target, uint64_t seq);

typedef struct
{
  cs_usec_t probe_interval; /* Between two direct probes.  */
  /* Time without an ack after which indirect probes are sent.  */
  cs_usec_t probe_timeout;
  cs_usec_t suspicion_timeout; /* From suspicion to death.  */
  unsigned indirect_probes;    /* Number of indirect probes of one target.  */
} cs_prober_options_t;

typedef struct cs_prober cs_prober_t;

/* A prober of the members in this node's data centre.  MEMBERS is borrowed.
   When its own ticks come late, as after a pause of the process, the
   outstanding probe is dropped and all timeouts are lengthened, so that a slow
   node does not suspect healthy members.  */
cs_prober_t *cs_prober_new (cs_ctx_t *ctx, cs_members_t *members,
                            const cs_prober_options_t *options,
                            cs_prober_send_t send, void *user);
void cs_prober_drop (cs_ctx_t *ctx, cs_prober_t *prober);

/* Do the work that is due; call it several times per interval.  */
void cs_prober_tick (cs_ctx_t *ctx, cs_prober_t *prober);

/* The ack of probe SEQ, direct or indirect, has arrived.  */
void cs_prober_ack (cs_prober_t *prober, uint64_t seq);

/* The factor by which timeouts are lengthened now; 1 when healthy.  */
unsigned cs_prober_timeout_factor (const cs_prober_t *prober);

#endif
