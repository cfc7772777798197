/* Upstreams as seen by one node of cardamomd, and load balancing among them.
   An upstream is a server of one version of a service, which is called through
   the node on its host.

   The choice is based on what the node measured on its own calls (in flight,
   latency, failures); a load that an upstream reports can only raise its cost.
   The measurements are atomic because many threads make calls at once.  */
#ifndef CARDAMOM_UPSTREAM_H
#define CARDAMOM_UPSTREAM_H

#include <glib.h>
#include <stdatomic.h>
#include <stdbool.h>

#include "cardamom/context.h"

/* Network distance of an upstream from this node.  */
typedef enum
{
  CS_SAME_DC,     /* Same data centre.  */
  CS_SAME_REGION, /* Another data centre of the region.  */
  CS_OTHER_REGION /* Another region.  */
} cs_distance_t;

typedef struct
{
  char *node; /* Name of the node on its host.  */
  char *host; /* Address of that node.  */
  unsigned port;
  char *service;
  char *version;
  cs_distance_t distance;
  int64_t slots; /* Requests it can run at once.  */
  /* Wall time, in milliseconds, at which the upstream's node announced it; the
     slow start counts from then.  */
  int64_t announced_ms;
  _Atomic int64_t inflight;
  _Atomic int64_t latency_us; /* Moving average over successes; 0: none yet. */
  _Atomic int64_t failure_ppm; /* Moving average of the failure rate.  */
  _Atomic int64_t consecutive_failures;
  /* Requests running and queued there, as last reported with a result.  */
  _Atomic int64_t reported_load;
  _Atomic cs_usec_t load_reported_at; /* Monotonic time of that report.  */
  /* Monotonic end of the ejection; 0: not ejected.  */
  _Atomic cs_usec_t ejected_until;
  /* Consecutive ones; each lasts longer.  */
  _Atomic int64_t consecutive_ejections;
  _Atomic int64_t refs;
} cs_upstream_t;

/* The constant properties of an upstream; strings are copied.  */
typedef struct
{
  const char *node, *host;
  unsigned port;
  const char *service, *version;
  cs_distance_t distance;
  int64_t slots, announced_ms;
} cs_upstream_params_t;

/* A new upstream with one reference.  */
cs_upstream_t *cs_upstream_new (const cs_upstream_params_t *params);
cs_upstream_t *cs_upstream_keep (cs_upstream_t *upstream);
/* Drop a reference; NULL is allowed.  Takes a void * for GDestroyNotify.  */
void cs_upstream_drop (void *upstream);

/* The upstreams of one version of a service, reference counted.  Immutable
   once shared.  */
typedef struct
{
  GPtrArray *list; /* cs_upstream_t *, owned.  */
  _Atomic int64_t refs;
} cs_upstream_set_t;

/* An empty set with one reference.  */
cs_upstream_set_t *cs_upstream_set_new (void);
cs_upstream_set_t *cs_upstream_set_keep (cs_upstream_set_t *set);
/* Drop a reference; NULL is allowed.  Takes a void * for GDestroyNotify.  */
void cs_upstream_set_drop (void *set);

/* The result of an attempt, as the balancer counts it.  */
typedef enum
{
  CS_ATTEMPT_OK,
  CS_ATTEMPT_FAILED, /* An error, a timeout or a broken connection.  */
  CS_ATTEMPT_SHED    /* Refused because of load; not a failure.  */
} cs_attempt_result_t;

/* Upper bound on the share of a set's upstreams that are ejected at once.  */
#define CS_EJECTED_MAX_PERCENT 34

/* Record the start and the end of an attempt.  LATENCY is used for
   CS_ATTEMPT_OK only.  LOAD is the number of requests running and queued that
   UPSTREAM reported, -1 for none.
   A failure may eject UPSTREAM, which belongs to the set ALL.  */
void cs_upstream_attempt_begin (cs_upstream_t *upstream);
void cs_upstream_attempt_end (cs_ctx_t *ctx, cs_upstream_t *upstream,
                              const cs_upstream_set_t *all,
                              cs_attempt_result_t result, cs_usec_t latency,
                              int64_t load);

/* Whether UPSTREAM is ejected at monotonic time NOW.  After the ejection time
   it gets one probe call at a time until one succeeds.  */
bool cs_upstream_is_ejected (const cs_upstream_t *upstream, cs_usec_t now);

/* Constraints on a choice.  */
typedef struct
{
  cs_usec_t now;             /* Monotonic time.  */
  int64_t wall_ms;           /* Wall time.  */
  bool other_region_allowed; /* The link to other regions has budget left.  */
  /* Nodes already tried, NULL-terminated, or NULL.  */
  const char *const *excluded_nodes;
} cs_balancer_criteria_t;

/* Plug-ins of kind CS_PLUGIN_BALANCER have this vtable.  */
typedef struct
{
  /* Choose an upstream of SET, borrowed; NULL when none is eligible.  */
  cs_upstream_t *(*choose) (cs_ctx_t *ctx, const cs_upstream_set_t *set,
                            const cs_balancer_criteria_t *criteria);
} cs_balancer_vtable_t;

/* The cost of sending one more call to UPSTREAM, in microseconds: the expected
   latency, raised by load, failures and slow start, plus the network round
   trip.  */
int64_t cs_upstream_cost (const cs_upstream_t *upstream,
                          const cs_balancer_criteria_t *criteria);

#endif
