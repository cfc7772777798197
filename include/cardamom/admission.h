/* Admission beside an upstream: its slots are counted here exactly, waiting
   is bounded by deadlines, and under load the lowest priority and the team
   that takes most beyond its weight lose first.  */
#ifndef CARDAMOM_ADMISSION_H
#define CARDAMOM_ADMISSION_H

#include <glib.h>

#include "cardamom/limiter.h"

#define CS_PRIORITIES 4

/* A request on its way to the upstream; embed it first in a larger one.  */
typedef struct
{
  char *team;
  int64_t weight;
  int64_t priority;   /* 0 is shed last.  */
  cs_usec_t deadline; /* Monotonic.  */
  cs_usec_t queued_at;
  bool cancelled; /* Its caller no longer waits.  */
} cs_ticket_t;

typedef enum
{
  CS_ADMIT_RUN,   /* Run it now and report cs_admission_done.  */
  CS_ADMIT_QUEUE, /* It waits; cs_admission_next will return it.  */
  CS_ADMIT_SHED   /* Refuse it: it has not run.  */
} cs_admit_t;

typedef struct cs_admission cs_admission_t;

/* An admission with at most QUEUE_MAX waiting.  LIMITER is taken over.  */
cs_admission_t *cs_admission_new (cs_ctx_t *ctx, cs_limiter_t *limiter,
                                  guint queue_max);
/* Drop ADMISSION; the waiting tickets stay their owners'.  */
void cs_admission_drop (cs_ctx_t *ctx, cs_admission_t *admission);

/* Replace the limiter, as when the upstream's slots change.  LIMITER is
   taken over.  */
void cs_admission_set_limiter (cs_ctx_t *ctx, cs_admission_t *admission,
                               cs_limiter_t *limiter);

/* Offer TICKET at monotonic time NOW.  *SHED is the ticket to refuse: TICKET
   itself on CS_ADMIT_SHED, a waiting one that made room on CS_ADMIT_QUEUE, or
   NULL.  */
cs_admit_t cs_admission_offer (cs_admission_t *admission, cs_ticket_t *ticket,
                               cs_usec_t now, cs_ticket_t **shed);

/* The next ticket to run, or NULL when the limit is reached or none waits.
   Tickets that were cancelled or can no longer meet their deadline are
   appended to SHED instead.  */
cs_ticket_t *cs_admission_next (cs_admission_t *admission, cs_usec_t now,
                                GPtrArray *shed);

/* A request that ran has ended after LATENCY.  */
void cs_admission_done (cs_admission_t *admission, cs_usec_t latency,
                        bool failed);

/* The first waiting ticket that MATCH accepts, or NULL.  */
cs_ticket_t *cs_admission_find (cs_admission_t *admission,
                                bool (*match) (const cs_ticket_t *ticket,
                                               const void *arg),
                                const void *arg);

guint cs_admission_running (const cs_admission_t *admission);
guint cs_admission_queued (const cs_admission_t *admission);
int64_t cs_admission_limit (const cs_admission_t *admission);

/* When a shed caller should come back, from the work that waits.  */
cs_usec_t cs_admission_retry_after (const cs_admission_t *admission);

#endif
