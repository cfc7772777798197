/* The state of the backend server that a node serves, from the server's own
   reports.

   It handles reports that arrive late or out of order, a server that restarts
   under the same instance id, an address that is reused by another service, a
   leave without an earlier draining report, and messages of another server.
   */
#ifndef CARDAMOM_LIFE_H
#define CARDAMOM_LIFE_H

#include <stdbool.h>
#include <stdint.h>

#include "cardamom/clock.h"

#define CS_LIFE_TEXT 96 /* Bytes of a name with its NUL.  */

/* A decoded report of a backend server.  */
typedef struct
{
  char instance[CS_LIFE_TEXT], service[CS_LIFE_TEXT], version[CS_LIFE_TEXT];
  char address[CS_LIFE_TEXT];
  int64_t slots;
  int64_t born_ms;  /* Wall time of the server's start.  */
  int64_t sequence; /* Increases with each report since that start.  */
  cs_usec_t warmup; /* Time until it is expected to run at full speed.  */
  bool draining;
} cs_report_t;

typedef enum
{
  CS_LIFE_NONE, /* No report has arrived yet.  */
  CS_LIFE_READY,
  CS_LIFE_DRAINING,
  CS_LIFE_LEFT, /* It announced that it stops.  */
  CS_LIFE_LOST  /* It stopped without announcing it.  */
} cs_life_state_t;

typedef struct
{
  cs_report_t report; /* The newest report.  */
  cs_life_state_t state;
  cs_usec_t heard;     /* Time of the newest report or leave.  */
  cs_usec_t warm_from; /* Time at which the warm-up ends.  */
  uint64_t changes; /* Counts the changes that other nodes must learn of.  */
} cs_life_t;

typedef enum
{
  CS_LIFE_TAKEN,
  CS_LIFE_LATE, /* Older than the report held, or sent before the leave;
                   acknowledged and ignored.  */
  CS_LIFE_OTHER /* From an instance other than the known one.  */
} cs_life_verdict_t;

/* Apply REPORT, which arrived at NOW.  */
cs_life_verdict_t cs_life_report (cs_life_t *life, const cs_report_t *report,
                                  cs_usec_t now);

/* INSTANCE has announced that it stops.  */
cs_life_verdict_t cs_life_leave (cs_life_t *life, const char *instance,
                                 cs_usec_t now);

/* The server refused a connection or stopped answering: a ready server is lost
   until its next report.  */
void cs_life_lose (cs_life_t *life, cs_usec_t now);

/* The name of STATE, as it is shown in logs and answers; static.  */
const char *cs_life_state_name (cs_life_state_t state);

#endif
