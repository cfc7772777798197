/* The steps of a planned stop, and which requests are still taken.

   Callers learn late that a node stops: the platform checks readiness once a
   second and takes it out after two failures.  Until then requests come as
   before and are taken.  Later ones are taken only if they are certain to end
   before the process does: one that is cut at its server leaves its caller
   without knowing whether it ran.  */
#ifndef CARDAMOM_STOP_PLAN_H
#define CARDAMOM_STOP_PLAN_H

#include <stdbool.h>

#include "cardamom/clock.h"

typedef struct
{
  cs_usec_t started_at;   /* Time of the stop signal; 0: none.  */
  cs_usec_t grace_period; /* From then until the platform ends the process.  */
} cs_stop_plan_t;

typedef enum
{
  CS_STOP_SERVE,       /* Requests are taken and connections kept.  */
  CS_STOP_DRAIN,       /* Connections are closed after the next answer.  */
  CS_STOP_LISTEN_LAST, /* No new connections.  */
  CS_STOP_NO_REQUESTS, /* Connections without a request are closed.  */
  CS_STOP_ANSWER_ALL,  /* Requests in flight are answered as failed.  */
  CS_STOP_END          /* The process ends.  */
} cs_stop_step_t;

cs_stop_step_t cs_stop_plan_step (const cs_stop_plan_t *plan, cs_usec_t now);

/* Whether a request that comes now, and lasts until DEADLINE at most, is
   taken.  */
bool cs_stop_plan_admits (const cs_stop_plan_t *plan, cs_usec_t now,
                          cs_usec_t deadline);

#endif
