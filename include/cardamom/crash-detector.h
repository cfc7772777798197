/* Which requests a backend server was running when it crashed.

   A run that ends without an answer is remembered until the server answers a
   request that was sent later.  When the server is found to have ended, the
   remembered runs are those that it had.  */
#ifndef CARDAMOM_CRASH_DETECTOR_H
#define CARDAMOM_CRASH_DETECTOR_H

#include <glib.h>

#include "cardamom/clock.h"

/* A run that ended without an answer.  */
typedef struct
{
  uint64_t fingerprint;
  cs_usec_t started_at; /* Wall time at which it was sent.  */
  cs_usec_t ended_at;   /* Monotonic.  */
} cs_unanswered_run_t;

typedef struct
{
  GArray *runs; /* cs_unanswered_run_t, by their ends.  */
} cs_crash_detector_t;

void cs_crash_detector_init (cs_crash_detector_t *detector);
void cs_crash_detector_clear (cs_crash_detector_t *detector);

/* RUN has ended without an answer.  Beyond a bound the oldest is dropped.  */
void cs_crash_detector_add (cs_crash_detector_t *detector,
                            const cs_unanswered_run_t *run);

/* The server has answered a request that was sent at SENT_AT: what ended
   before that did not end it.  */
void cs_crash_detector_note_answer (cs_crash_detector_t *detector,
                                    cs_usec_t sent_at);

/* The server has ended: take out the runs that it had, which the caller
   unrefs.  */
GArray *cs_crash_detector_take (cs_crash_detector_t *detector);

#endif
