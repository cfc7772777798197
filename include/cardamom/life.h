/* What is known of the backend server beside a node, from its own reports.

   The cases it answers: reports that arrive late or out of order, a server
   that starts again under its old id, an address that passes to another
   service, a leave without a draining report before, foreign writers.  */
#ifndef CARDAMOM_LIFE_H
#define CARDAMOM_LIFE_H

#include <stdbool.h>
#include <stdint.h>

#include "cardamom/clock.h"

#define CS_LIFE_TEXT 96 /* Bytes of a name with its NUL.  */

/* A report, decoded.  */
typedef struct
{
  char instance[CS_LIFE_TEXT], service[CS_LIFE_TEXT], version[CS_LIFE_TEXT];
  char address[CS_LIFE_TEXT];
  int64_t slots;
  int64_t born_ms;  /* Wall time of its start.  */
  int64_t sequence; /* Grows with each report of one start.  */
  cs_usec_t warmup; /* How much longer it stays slow.  */
  bool draining;
} cs_report_t;

typedef enum
{
  CS_LIFE_NONE, /* No server is known.  */
  CS_LIFE_READY,
  CS_LIFE_DRAINING,
  CS_LIFE_LEFT, /* It has said that it ends.  */
  CS_LIFE_LOST  /* It ended without a word.  */
} cs_life_state_t;

typedef struct
{
  cs_report_t report; /* The newest.  */
  cs_life_state_t state;
  cs_usec_t heard;     /* Of the newest report.  */
  cs_usec_t warm_from; /* When it is no longer slow.  */
  uint64_t changes;    /* Grows with each change that others must know.  */
} cs_life_t;

typedef enum
{
  CS_LIFE_TAKEN,
  CS_LIFE_LATE, /* Older than what is known; acknowledged and left out.  */
  CS_LIFE_OTHER /* Of a server that is not the one known.  */
} cs_life_verdict_t;

/* Take REPORT at NOW.  */
cs_life_verdict_t cs_life_report (cs_life_t *life, const cs_report_t *report,
                                  cs_usec_t now);

/* INSTANCE has said that it ends.  */
cs_life_verdict_t cs_life_leave (cs_life_t *life, const char *instance,
                                 cs_usec_t now);

/* The server refused a connection or went silent: lost until its next
   report.  */
void cs_life_lose (cs_life_t *life, cs_usec_t now);

const char *cs_life_state_name (cs_life_state_t state);

#endif
