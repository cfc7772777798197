/* Membership of the mesh: each node's address, data centre, upstream, state
   and health.  It is derived from the replicated records.

   A node is a process of cardamomd.  Its upstream is the server process that
   it connects callers to on its host; its endpoint is what it publishes about
   that upstream.  */
#ifndef CARDAMOM_MEMBERS_H
#define CARDAMOM_MEMBERS_H

#include "cardamom/records.h"

/* Time to live of a node's records, and the interval at which a node publishes
   its own record again.  */
#define CS_NODE_RECORD_TTL_MS ((int64_t)3600 * 1000)
#define CS_NODE_RECORD_REFRESH_MS ((int64_t)600 * 1000)

/* The state that a node publishes about itself.  */
typedef enum
{
  CS_NODE_JOINING,  /* Fetches the configuration; takes no calls.  */
  CS_NODE_UP,       /* In service.  */
  CS_NODE_DRAINING, /* Finishes its calls; takes no new ones.  */
  CS_NODE_LEFT      /* Shut down in an orderly way.  */
} cs_node_state_t;

/* The health of a node as failure detection sees it.  */
typedef enum
{
  CS_ALIVE,
  CS_SUSPECT,
  CS_DEAD
} cs_health_t;

/* The upstream that a node serves.  */
typedef struct
{
  char *service; /* Document path of the service; "" for none.  */
  char *version;
  int64_t slots;
  bool draining;
  /* Wall time of the announcement; the slow start counts from then, see
     cs_upstream_t.  */
  int64_t announced_ms;
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
  uint64_t boot; /* Wall time of its start in ms.  */
  /* Of the node's record, see cs_record_t.  The incarnation is raised to
     refute a suspicion.  */
  uint64_t incarnation;
  uint64_t seq;
  cs_health_t health;
  cs_usec_t suspect_since; /* Monotonic; valid when suspect.  */
  uint64_t rank_hash; /* Hash of NAME; orders the members of a data centre.  */
} cs_member_t;

/* The identity of this node, from its settings; all strings are borrowed.  */
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

/* A membership with this node as its only member, in state joining.  */
cs_members_t *cs_members_new (cs_ctx_t *ctx, const cs_identity_t *self);
void cs_members_drop (cs_ctx_t *ctx, cs_members_t *members);

/* The underlying records, for gossip; owned by MEMBERS.  Merge into them only
   through cs_members_merge.  */
cs_records_t *cs_members_records (cs_members_t *members);

/* Merge RECORD at the wall time of CTX's clock.  A suspicion of this node is
   refuted by publishing a higher incarnation.  Returns whether RECORD was
   newer than the one held.  */
bool cs_members_merge (cs_ctx_t *ctx, cs_members_t *members,
                       const cs_record_t *record);

/* Have WATCH called with USER after every record that was newer than the one
   held, including this node's own.  Replaces an earlier WATCH.  */
void cs_members_watch (cs_members_t *members, cs_record_callback_t watch,
                       void *user);

/* The member that is this node.  */
const cs_member_t *cs_members_self (const cs_members_t *members);

/* Change this node's own record and publish it.  A change of state, or one
   that is URGENT, is gossiped at once instead of with the next batch.  */
void cs_members_set_state (cs_ctx_t *ctx, cs_members_t *members,
                           cs_node_state_t state);
void cs_members_set_endpoint (cs_ctx_t *ctx, cs_members_t *members,
                              const cs_endpoint_t *endpoint, bool urgent);

/* Publish this node's record again if CS_NODE_RECORD_REFRESH_MS have passed
   since it was last published.  */
void cs_members_refresh (cs_ctx_t *ctx, cs_members_t *members);

/* Publish that MEMBER is CS_SUSPECT or CS_DEAD.  */
void cs_members_publish_health (cs_ctx_t *ctx, cs_members_t *members,
                                const cs_member_t *member, cs_health_t health);

/* The member NAME, or NULL.  */
const cs_member_t *cs_members_find (const cs_members_t *members,
                                    const char *name);

/* Whether messages can be sent to MEMBER: neither dead nor left.  */
bool cs_member_reachable (const cs_member_t *member);

/* The reachable members of data centre DC in order of rank, including this
   node.  The caller unrefs the list.  A member stays valid until a newer
   CS_RECORD_NODE of that node is merged; its health changes in place.  */
GPtrArray *cs_members_of_dc (const cs_members_t *members, const char *dc);

/* All members in order of rank, whatever their state and health.  The caller
   unrefs the list as above.  */
GPtrArray *cs_members_all (const cs_members_t *members);

/* The data centres other than this node's that have a reachable member, as
   char *, sorted.  The caller unrefs the list, which owns the strings.  */
GPtrArray *cs_members_other_dcs (const cs_members_t *members);

/* This node's position, from 0, among the reachable members of its data
   centre in order of rank.  */
unsigned cs_members_own_rank (const cs_members_t *members);

/* Whether this node's data centre has the lowest hash among the data centres
   of REGION (NULL: of the mesh) with a reachable member for which
   DC_REACHABLE, called with USER, returns true.  */
bool cs_members_own_dc_leads (const cs_members_t *members, const char *region,
                              bool (*dc_reachable) (void *user,
                                                    const char *dc),
                              void *user);

/* A counter that grows with every record that is merged.  */
uint64_t cs_members_generation (const cs_members_t *members);

#endif
