/* Failure detection within a data centre: direct probe, indirect probes
   through other members, suspicion, death.  Time and sending are passed in;
   nothing here blocks.  */
#ifndef CARDAMOM_PROBER_H
#define CARDAMOM_PROBER_H

#include "cardamom/members.h"

/* Sends a probe of TARGET to VIA; VIA is TARGET for a direct one.  */
typedef void (*cs_prober_send_t) (void *user, const char *via,
                                  const char *target, uint64_t seq);

typedef struct
{
  cs_usec_t interval;  /* Between two probes.  */
  cs_usec_t timeout;   /* Before indirect probes are sent.  */
  cs_usec_t suspicion; /* From suspicion to death.  */
  unsigned helpers;    /* Indirect probes of one target.  */
} cs_prober_options_t;

typedef struct cs_prober cs_prober_t;

/* A prober of the members in this node's data centre.  MEMBERS is borrowed.
   When its own ticks come late, as after a pause, outstanding probes are
   dropped and timeouts stretched, so that a slow node accuses nobody.  */
cs_prober_t *cs_prober_new (cs_ctx_t *ctx, cs_members_t *members,
                            const cs_prober_options_t *options,
                            cs_prober_send_t send, void *user);
void cs_prober_drop (cs_ctx_t *ctx, cs_prober_t *prober);

/* Do what is due; call it several times per interval.  */
void cs_prober_tick (cs_ctx_t *ctx, cs_prober_t *prober);

/* The answer to probe SEQ has come.  */
void cs_prober_ack (cs_prober_t *prober, uint64_t seq);

/* How much timeouts are stretched at present, 1 when healthy.  */
unsigned cs_prober_stretch (const cs_prober_t *prober);

#endif
