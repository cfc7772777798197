/* The state of the backend server that a node serves, from the server's own
   reports.  Here a node is a process of cardamom-sidecar, and the backend
   server, or server, the process on its host that runs the requests.

   It handles reports that arrive late or out of order, a server that restarts
   under the same instance id, an address that is reused by another service, a
   server that stops without an earlier draining report, and messages of
   another server.  */
#ifndef CARDAMOM_BACKEND_H
#define CARDAMOM_BACKEND_H

#include <stdbool.h>
#include <stdint.h>

#include "cardamom/clock.h"

#define CS_NAME_SIZE 96 /* Bytes of a name with its NUL.  */

/* A decoded report of a backend server.  */
typedef struct
{
  char instance[CS_NAME_SIZE], service[CS_NAME_SIZE], version[CS_NAME_SIZE];
  char address[CS_NAME_SIZE]; /* IP:PORT.  */
  int64_t slots;              /* Requests that it runs at once.  */
  int64_t started_ms;         /* Wall time of the server's start.  */
  int64_t sequence; /* Increases with each report since that start.  */
  /* Time until it is expected to run at full speed, as the server reports it.
     The slow start of cs_upstream_t has a fixed duration instead.  */
  cs_usec_t warmup_left;
  bool draining;
  /* Wall time at which the node received it; 0: not known.  */
  int64_t received_ms;
} cs_backend_report_t;

/* A decoded message of a backend server that announces that it stops.  */
typedef struct
{
  char instance[CS_NAME_SIZE];
  int64_t started_ms;  /* As in cs_backend_report_t; 0: not told.  */
  int64_t received_ms; /* Wall time at which the node received it.  */
} cs_backend_leave_t;

typedef enum
{
  CS_BACKEND_NONE, /* No report has arrived yet.  */
  CS_BACKEND_READY,
  CS_BACKEND_DRAINING,
  CS_BACKEND_LEFT, /* It announced that it stops.  */
  CS_BACKEND_LOST  /* It stopped without announcing it.  */
} cs_backend_state_t;

typedef struct
{
  cs_backend_report_t report; /* The newest report.  */
  cs_backend_state_t state;
  cs_usec_t updated_at; /* Monotonic time of the last accepted message.  */
  cs_usec_t warm_at;    /* Monotonic time at which the warm-up ends.  */
  uint64_t generation; /* Counts the changes that other nodes must learn of. */
  /* The server announced its stop, or an earlier process of this node recorded
     that, before any report of it was received.  REPORT.started_ms is then the
     latest time at which it can have started.  */
  bool start_is_latest;
} cs_backend_t;

typedef enum
{
  CS_REPORT_ACCEPTED,
  /* Older than the report held, or sent before the server announced that it
     stops; acknowledged and ignored.  */
  CS_REPORT_STALE,
  CS_REPORT_OTHER_INSTANCE /* From an instance other than the known one.  */
} cs_report_result_t;

/* Apply REPORT, which arrived at monotonic time NOW.  */
cs_report_result_t cs_backend_report (cs_backend_t *backend,
                                      const cs_backend_report_t *report,
                                      cs_usec_t now);

/* A server has announced that it stops, in LEAVE, which arrived at monotonic
   time NOW.  It is remembered also before the first report: the node may have
   restarted after it acknowledged earlier reports.  */
cs_report_result_t cs_backend_leave (cs_backend_t *backend,
                                     const cs_backend_leave_t *leave,
                                     cs_usec_t now);

/* An earlier process of this node recorded that INSTANCE, which started at
   STARTED_MS or before, was in STATE.  Only CS_BACKEND_DRAINING and
   CS_BACKEND_LEFT have an effect: a server does not become ready again until
   it restarts.  */
void cs_backend_restore (cs_backend_t *backend, const char *instance,
                         int64_t started_ms, cs_backend_state_t state);

/* The ready server says in an answer that it leaves: it drains until it
   restarts.  */
void cs_backend_mark_draining (cs_backend_t *backend);

/* The server refused a connection or stopped answering: a ready server is lost
   until its next report.  */
void cs_backend_mark_lost (cs_backend_t *backend, cs_usec_t now);

/* The name of STATE, as it is shown in logs and answers; static.  */
const char *cs_backend_state_name (cs_backend_state_t state);

#endif
