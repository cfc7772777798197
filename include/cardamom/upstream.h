/* Upstreams as one node sees them, and the choice among them.

   What the node itself saw of its calls (in flight, latency, success) decides;
   what an upstream reports of its load only adds to it.  The numbers of an
   upstream are atomic, for many threads call at once.  */
#ifndef CARDAMOM_UPSTREAM_H
#define CARDAMOM_UPSTREAM_H

#include <glib.h>
#include <stdatomic.h>
#include <stdbool.h>

#include "cardamom/context.h"

/* How far an upstream is from the node.  */
typedef enum
{
  CS_NEAR,        /* Same data centre.  */
  CS_SAME_REGION, /* Another data centre of the region.  */
  CS_FAR          /* Another region.  */
} cs_distance_t;

typedef struct
{
  char *node; /* Name of the node beside it.  */
  char *host; /* Where that node is reached.  */
  unsigned port;
  char *service;
  char *version;
  cs_distance_t distance;
  int64_t slots;
  int64_t since_ms; /* Wall time of its announcement.  */
  _Atomic int64_t inflight;
  _Atomic int64_t latency_us;   /* Moving average of successful calls.  */
  _Atomic int64_t failing_ppm;  /* Moving average of failures.  */
  _Atomic int64_t failed_row;   /* Failures since the last success.  */
  _Atomic int64_t load;         /* Last load reported with a result.  */
  _Atomic cs_usec_t load_at;    /* When it was reported; monotonic.  */
  _Atomic cs_usec_t ejected_to; /* Monotonic end of the ejection; 0: none.  */
  _Atomic int64_t ejections;    /* In a row, for a growing pause.  */
  _Atomic int64_t refs;
} cs_upstream_t;

/* What is fixed for the life of an upstream; texts are copied.  */
typedef struct
{
  const char *node, *host;
  unsigned port;
  const char *service, *version;
  cs_distance_t distance;
  int64_t slots, since_ms;
} cs_upstream_about_t;

/* A new upstream with one reference.  */
cs_upstream_t *cs_upstream_new (const cs_upstream_about_t *about);
cs_upstream_t *cs_upstream_keep (cs_upstream_t *upstream);
/* Drop a reference; NULL is allowed.  Takes a void * for GDestroyNotify.  */
void cs_upstream_drop (void *upstream);

/* The upstreams of one version of a service.  Not changed once shared.  */
typedef struct
{
  GPtrArray *list; /* cs_upstream_t *, owned.  */
  _Atomic int64_t refs;
} cs_upstreams_t;

/* An empty set with one reference.  */
cs_upstreams_t *cs_upstreams_new (void);
cs_upstreams_t *cs_upstreams_keep (cs_upstreams_t *set);
/* Drop a reference; NULL is allowed.  Takes a void * for GDestroyNotify.  */
void cs_upstreams_drop (void *set);

/* How one attempt ended, as the balancer counts it.  */
typedef enum
{
  CS_ATTEMPT_OK,
  CS_ATTEMPT_FAILED, /* An error, a timeout or a broken connection.  */
  CS_ATTEMPT_SHED    /* Refused for load: busy, not broken.  */
} cs_attempt_t;

/* Note the start and the end of an attempt.  LATENCY counts for CS_ATTEMPT_OK
   only.  LOAD is the upstream's reported load, -1 for none.  At most
   CS_EJECTED_MAX_PERCENT of ALL are ejected at a time.  */
#define CS_EJECTED_MAX_PERCENT 34
void cs_upstream_begin (cs_upstream_t *upstream);
void cs_upstream_end (cs_ctx_t *ctx, cs_upstream_t *upstream,
                      const cs_upstreams_t *all, cs_attempt_t outcome,
                      cs_usec_t latency, int64_t load);

/* Whether UPSTREAM is out of the choice at monotonic time NOW.  After its
   pause an ejected upstream gets one trial call at a time.  */
bool cs_upstream_ejected (const cs_upstream_t *upstream, cs_usec_t now);

/* What a choice must respect.  */
typedef struct
{
  cs_usec_t now;         /* Monotonic.  */
  int64_t now_ms;        /* Wall.  */
  bool far_allowed;      /* The region link has budget left.  */
  const char *const *no; /* Nodes already tried, NULL-terminated; or NULL.  */
} cs_choice_t;

/* Plug-ins of kind CS_PLUGIN_BALANCER have this vtable.  */
typedef struct
{
  /* One of SET, borrowed, or NULL when none may be chosen.  */
  cs_upstream_t *(*choose) (cs_ctx_t *ctx, const cs_upstreams_t *set,
                            const cs_choice_t *choice);
} cs_balancer_vtable_t;

/* The cost of sending one more call to UPSTREAM, in microseconds: expected
   latency, grown by queueing when its slots are full and by a cold start,
   plus the round trip to where it is.  */
int64_t cs_upstream_cost (const cs_upstream_t *upstream,
                          const cs_choice_t *choice);

#endif
