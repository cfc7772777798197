/* How long a backend server takes, learnt run by run.

   The load pattern it answers: power returns to every host at once, callers
   stand in line, and no node knows yet how long anything takes.  A guess that
   is far too short fills every queue with requests that then end late; so the
   objective of a request's kind stands in until runs have ended, and the first
   runs count for much.  */
#ifndef CARDAMOM_SPEED_H
#define CARDAMOM_SPEED_H

#include <glib.h>

#include "cardamom/clock.h"

/* A moving average whose first values weigh as in a plain mean.  */
typedef struct
{
  double mean; /* Microseconds.  */
  unsigned count;
} cs_mean_t;

/* Take VALUE in; in the long run it has WEIGHT.  */
void cs_mean_note (cs_mean_t *mean, double weight, cs_usec_t value);

/* What a run of a kind with FULL_TARGET to its objective takes, as long as
   nothing else is known.  */
cs_usec_t cs_speed_guess (cs_usec_t full_target);

typedef struct
{
  cs_mean_t slot;    /* Of all runs.  */
  GHashTable *works; /* route -> cs_mean_t *.  */
} cs_speed_t;

void cs_speed_init (cs_speed_t *speed);
void cs_speed_clear (cs_speed_t *speed);

/* Forget everything: another server is there.  */
void cs_speed_forget (cs_speed_t *speed);

/* A run of ROUTE took RAN.  */
void cs_speed_note (cs_speed_t *speed, const char *route, cs_usec_t ran);

/* What a run of ROUTE is expected to take; MISSING before the first one has
   ended.  */
cs_usec_t cs_speed_work (const cs_speed_t *speed, const char *route,
                         cs_usec_t missing);

/* How long a run holds a slot; MISSING before the first one has ended.  */
cs_usec_t cs_speed_slot (const cs_speed_t *speed, cs_usec_t missing);

#endif
