/* Admission control of cardamomd on the node of an upstream.  The node counts
   the slots in use exactly, and queues a request only if it can meet its
   deadline.  Under overload it sheds the lowest priority first, and within a
   priority the team with the largest backlog for its weight.  */
#ifndef CARDAMOM_ADMISSION_H
#define CARDAMOM_ADMISSION_H

#include <glib.h>

#include "cardamom/limiter.h"

#define CS_PRIORITY_LEVELS 4

/* A request to the upstream; the first member of its owner's larger struct. */
typedef struct
{
  char *team;
  int64_t weight;      /* Of the team, for weighted fair queueing.  */
  int64_t priority;    /* 0 is shed last.  */
  cs_usec_t deadline;  /* Monotonic.  */
  cs_usec_t queued_at; /* Monotonic.  */
  bool cancelled;      /* By the caller.  */
} cs_admission_request_t;

typedef enum
{
  CS_ADMIT_RUN, /* Run it now and call cs_admission_done at its end.  */
  /* Queued; cs_admission_next returns it, or it is shed: evicted by a later
     request, cancelled, or too late for its deadline.  */
  CS_ADMIT_QUEUE,
  CS_ADMIT_SHED /* Refused; it has not run.  */
} cs_admission_decision_t;

typedef struct cs_admission cs_admission_t;

/* An admission control with at most QUEUE_MAX requests queued.  It takes
   ownership of LIMITER.  */
cs_admission_t *cs_admission_new (cs_ctx_t *ctx, cs_limiter_t *limiter,
                                  guint queue_max);
/* Free ADMISSION; queued requests still belong to their owners.  */
void cs_admission_drop (cs_ctx_t *ctx, cs_admission_t *admission);

/* Replace the limiter, for example when the number of slots changes.  Takes
   ownership of LIMITER.  */
void cs_admission_set_limiter (cs_ctx_t *ctx, cs_admission_t *admission,
                               cs_limiter_t *limiter);

/* Admit, queue or refuse REQUEST at monotonic time NOW.  *SHED is the request
   to refuse: REQUEST itself on CS_ADMIT_SHED, one that was evicted from the
   queue on CS_ADMIT_QUEUE, or NULL.  A queued request is borrowed until
   cs_admission_next returns it or a later call gives it back through SHED.  */
cs_admission_decision_t cs_admission_submit (cs_admission_t *admission,
                                             cs_admission_request_t *request,
                                             cs_usec_t now,
                                             cs_admission_request_t **shed);

/* Take the next request to run from the queue, or NULL when the limit is
   reached or the queue is empty.  Requests that were cancelled or can no
   longer meet their deadline are appended to SHED instead.  */
cs_admission_request_t *cs_admission_next (cs_admission_t *admission,
                                           cs_usec_t now, GPtrArray *shed);

/* Record that a request has ended after LATENCY, and free its slot.  */
void cs_admission_done (cs_admission_t *admission, cs_usec_t latency,
                        bool failed);

/* The first queued request that MATCH accepts, from the highest priority on,
   or NULL.  ARG is passed to MATCH.  */
cs_admission_request_t *cs_admission_find (
    cs_admission_t *admission,
    bool (*match) (const cs_admission_request_t *request, const void *arg),
    const void *arg);

/* Requests running, requests queued, and the concurrency limit.  */
guint cs_admission_running (const cs_admission_t *admission);
guint cs_admission_queued (const cs_admission_t *admission);
int64_t cs_admission_limit (const cs_admission_t *admission);

/* How long a refused caller should wait before it retries, estimated from the
   queue.  */
cs_usec_t cs_admission_retry_after (const cs_admission_t *admission);

#endif
