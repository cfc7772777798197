/* Membership: who is in the mesh, where, with which upstream, and alive or
   not.  Derived from the replicated records.  */
#ifndef CARDAMOM_MEMBERS_H
#define CARDAMOM_MEMBERS_H

#include "cardamom/records.h"

#define CS_RECORD_LIFE_MS ((int64_t)3600 * 1000) /* Of a node's record.  */
#define CS_RECORD_REFRESH_MS ((int64_t)600 * 1000)

/* What a node says of itself.  */
typedef enum
{
  CS_NODE_JOINING,  /* Learns the configuration; takes no calls.  */
  CS_NODE_UP,       /* In service.  */
  CS_NODE_DRAINING, /* Finishes what it has; takes no new calls.  */
  CS_NODE_LEFT      /* Stopped on purpose.  */
} cs_node_state_t;

/* What the others think of it.  */
typedef enum
{
  CS_ALIVE,
  CS_SUSPECT,
  CS_DEAD
} cs_health_t;

/* An upstream beside its node.  */
typedef struct
{
  char *service; /* Document path of the service; "" for none.  */
  char *version;
  int64_t slots;
  bool draining;
  int64_t since_ms; /* Wall time of the announcement, for warm-up.  */
} cs_endpoint_t;

typedef struct
{
  char *name;
  char *host;
  unsigned port;
  unsigned admin_port;
  char *dc;
  char *region;
  cs_node_state_t state;
  cs_endpoint_t endpoint;
  uint64_t boot; /* Wall time of its start in ms; not changed by rebuttals. */
  uint64_t incarnation;
  uint64_t seq;
  cs_health_t health;
  cs_usec_t suspect_since; /* Monotonic; valid when suspect.  */
  uint64_t rank;           /* Order within a data centre.  */
} cs_member_t;

/* Who this node is, from its settings; all texts are borrowed.  */
typedef struct
{
  const char *name;
  const char *host;
  unsigned port;
  unsigned admin_port;
  const char *dc;
  const char *region;
} cs_identity_t;

typedef struct cs_members cs_members_t;

/* Membership with this node as its only member, in state joining.  */
cs_members_t *cs_members_new (cs_ctx_t *ctx, const cs_identity_t *self);
void cs_members_drop (cs_ctx_t *ctx, cs_members_t *members);

/* The records beneath, for gossip.  Merge into them through
   cs_members_merge.  */
cs_records_t *cs_members_records (cs_members_t *members);

/* Merge RECORD at wall time of CTX's clock.  A suspicion of this node is
   refuted by a new incarnation.  Returns whether RECORD was news.  */
bool cs_members_merge (cs_ctx_t *ctx, cs_members_t *members,
                       const cs_record_t *record);

/* Called after every record that was news, with this node's own too.  */
void cs_members_watch (cs_members_t *members, cs_records_watch_t watch,
                       void *user);

/* This node's entry.  */
const cs_member_t *cs_members_self (const cs_members_t *members);

/* Change and publish what this node says of itself.  URGENT changes are
   passed on at once.  */
void cs_members_set_state (cs_ctx_t *ctx, cs_members_t *members,
                           cs_node_state_t state);
void cs_members_set_endpoint (cs_ctx_t *ctx, cs_members_t *members,
                              const cs_endpoint_t *endpoint, bool urgent);

/* Publish this node's record again when it is due for a refresh.  */
void cs_members_refresh (cs_ctx_t *ctx, cs_members_t *members);

/* Publish the suspicion (CS_SUSPECT) or death (CS_DEAD) of MEMBER.  */
void cs_members_accuse (cs_ctx_t *ctx, cs_members_t *members,
                        const cs_member_t *member, cs_health_t health);

/* The member NAME, or NULL.  */
const cs_member_t *cs_members_find (const cs_members_t *members,
                                    const char *name);

/* Whether MEMBER can be talked to: not dead and not left.  */
bool cs_member_reachable (const cs_member_t *member);

/* The reachable members of data centre DC in order of rank, this node among
   them.  The caller unrefs the list; members stay valid until the next
   merge.  */
GPtrArray *cs_members_of_dc (const cs_members_t *members, const char *dc);

/* All members, whatever their health.  Same ownership.  */
GPtrArray *cs_members_all (const cs_members_t *members);

/* The distinct data centres other than this node's, as char *, sorted.  The
   caller unrefs the list.  */
GPtrArray *cs_members_other_dcs (const cs_members_t *members);

/* This node's place among the reachable members of its data centre.  */
unsigned cs_members_own_rank (const cs_members_t *members);

/* Whether this node's data centre comes first, by hash, among those of REGION
   (NULL: of the mesh), counting only data centres that HEARD accepts.  */
bool cs_members_leads (const cs_members_t *members, const char *region,
                       bool (*heard) (void *user, const char *dc), void *user);

/* Grows with every change of membership or endpoints.  */
uint64_t cs_members_generation (const cs_members_t *members);

#endif
