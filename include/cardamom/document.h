/* Configuration documents: paths, schema and typed forms.

   A document is a JSON object stored under "/TEAM/KIND/NAME":

   /TEAM/services/NAME  a service and the version that takes its traffic
   /TEAM/routes/NAME    which requests go to which service of the team
   /TEAM/moves/NAME     a version move with its deadline
   /TEAM/.moves/NAME    the state of that move, written by the system  */
#ifndef CARDAMOM_DOCUMENT_H
#define CARDAMOM_DOCUMENT_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "cardamom/context.h"
#include "cardamom/str.h"

#define CS_DOCUMENT_MAX 65536 /* Bytes of one document.  */
#define CS_NAME_MAX 63        /* Bytes of one path component.  */
#define CS_SHARE_ONE 1000     /* Permille of traffic that is all of it.  */

typedef enum
{
  CS_DOC_SERVICE,
  CS_DOC_ROUTE,
  CS_DOC_MOVE,
  CS_DOC_MOVE_STATE
} cs_doc_kind_t;

/* A parsed path; the caller frees TEAM and NAME with cs_path_clear.  */
typedef struct
{
  cs_doc_kind_t kind;
  char *team;
  char *name;
} cs_path_t;

/* Parse TEXT.  CS_BAD_INPUT for anything that is no document path.  */
cs_status_t cs_path_parse (cs_ctx_t *ctx, const char *text, cs_path_t *path);

void cs_path_clear (cs_path_t *path);

/* Request methods as bits.  */
typedef enum
{
  CS_GET = 1,
  CS_HEAD = 2,
  CS_POST = 4,
  CS_PUT = 8,
  CS_DELETE = 16,
  CS_PATCH = 32,
  CS_OPTIONS = 64,
  CS_METHODS_ALL = 127
} cs_method_t;

/* The method named by WORD, or 0.  */
unsigned cs_method_parse (const char *word);

/* The name of one method bit.  */
const char *cs_method_name (unsigned method);

/* Whether every method in METHODS is idempotent by RFC 9110.  */
bool cs_methods_idempotent (unsigned methods);

typedef struct
{
  char *path;
  char *team;
  char *name;
  char *version;              /* Version that takes the traffic.  */
  int64_t timeout_ms;         /* For routes that set none.  */
  int64_t retry_percent;      /* Retries per 100 calls at most.  */
  int64_t max_attempts;       /* Attempts of one call at most.  */
  int64_t objective_permille; /* Share of good calls promised.  */
  int64_t latency_ms;         /* A slower call is not good.  */
  int64_t weight;             /* Share of its team under contention.  */
  char *health_path;          /* Of a server's check of itself; or NULL.  */
} cs_service_t;

/* A service that takes a part of a route's requests.  */
typedef struct
{
  char *service_path;
  cs_service_t *service; /* Set when the snapshot is linked.  */
  int64_t weight;
} cs_part_t;

typedef struct
{
  char *path;
  char *team;
  char *host; /* "*" for any.  */
  char *prefix;
  unsigned methods;
  char *service_path;
  cs_service_t *service; /* Set by cs_snapshot_build.  */
  bool idempotent;
  int64_t timeout_ms;
  int64_t priority;     /* 0 is shed last.  */
  int64_t target_ms;    /* A later answer earns less; 0: the timeout.  */
  int64_t max_attempts; /* Upstreams that a call may be sent to; 0: the
                           service's.  */
  GArray *parts;        /* cs_part_t, instead of SERVICE; or NULL.  */
} cs_route_t;

typedef enum
{
  CS_MOVE_RUNNING,
  CS_MOVE_DONE,
  CS_MOVE_TAKEN_BACK
} cs_move_phase_t;

typedef struct
{
  char *path;
  char *team;
  char *name;
  char *service_path;
  cs_service_t *service; /* Set by cs_snapshot_build.  */
  char *from;
  char *to;
  int64_t start_ms;       /* Wall time of the start.  */
  int64_t deadline_ms;    /* Wall time by which it ends.  */
  int64_t first_permille; /* First share of the new version.  */
  bool withdrawn;         /* The team takes the move back.  */
  /* State, from the document that the system writes.  */
  cs_move_phase_t phase;
  int64_t share_permille;
  int64_t state_of_ms; /* START_MS of the move that the state is of.  */
  int64_t since_ms;    /* Wall time of the last step.  */
  int64_t epoch;       /* Lease epoch of the last writer.  */
  char *reason;
} cs_move_t;

/* The words "running", "done" and "taken-back".  */
const char *cs_move_phase_name (cs_move_phase_t phase);

/* Check DOCUMENT, stored at PATH, against the schema and append each error
   to ERRORS as "PATH: FIELD: what is wrong; remedy".  On success *OUT is a
   new cs_service_t, cs_route_t, cs_move_t or (for a state) cs_move_t with
   the state fields only.  */
cs_status_t cs_document_parse (cs_ctx_t *ctx, const char *path,
                               const json_t *document, void **out,
                               GString *errors);

void cs_service_free (void *service);
void cs_route_free (void *route);
void cs_move_free (void *move);

/* Parse TEXT as one JSON object of at most CS_DOCUMENT_MAX bytes, without
   duplicate keys, and bring it into canonical form (sorted keys, no white
   space), which the caller frees with g_free.  */
cs_status_t cs_document_canonical (cs_ctx_t *ctx, cs_str_t text,
                                   char **canonical);

/* "2026-12-04T10:00:00Z" to milliseconds since the epoch, -1 when TEXT is no
   such time; and back, into a string that the caller frees.  */
int64_t cs_time_parse (const char *text);
char *cs_time_format (int64_t wall_ms);

#endif
