/* Configuration documents: paths, schema and typed forms.

   A document is a JSON object stored under "/TEAM/KIND/NAME":

   /TEAM/services/NAME  a service, with the version that is in service
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

#define CS_DOCUMENT_MAX_BYTES 65536  /* Bytes of one document.  */
#define CS_NAME_MAX_BYTES 63         /* Bytes of one path component.  */
#define CS_ALL_TRAFFIC_PERMILLE 1000 /* Share of all traffic.  */

typedef enum
{
  CS_DOC_SERVICE,
  CS_DOC_ROUTE,
  CS_DOC_MOVE,
  CS_DOC_MOVE_STATE
} cs_doc_kind_t;

/* A parsed document path; the caller frees TEAM and NAME with
   cs_doc_path_clear.  */
typedef struct
{
  cs_doc_kind_t kind;
  char *team;
  char *name;
} cs_doc_path_t;

/* Parse TEXT into *PATH, which stays unchanged on failure.  CS_BAD_INPUT when
   TEXT is not a document path.  */
cs_status_t cs_doc_path_parse (cs_ctx_t *ctx, const char *text,
                               cs_doc_path_t *path);

void cs_doc_path_clear (cs_doc_path_t *path);

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

/* The method bit of NAME, or 0 when NAME is not a supported method.  */
unsigned cs_method_parse (const char *name);

/* The name of the single method bit METHOD; "?" for any other value.  */
const char *cs_method_name (unsigned method);

/* Whether every method in METHODS is idempotent according to RFC 9110.  */
bool cs_methods_are_idempotent (unsigned methods);

typedef struct
{
  /* Path of the document, not of a URL; the plain name in the sidecar, whose
     platform has no document paths.  */
  char *path;
  char *team;
  char *name;
  char *version;         /* Version in service.  */
  int64_t timeout_ms;    /* For routes that set none.  */
  int64_t retry_percent; /* Maximum retries per 100 calls.  */
  int64_t max_attempts;  /* Maximum attempts per call.  */
  /* Service level objective: share of calls that are good.  */
  int64_t objective_permille;
  int64_t latency_objective_ms; /* Slower calls do not count as good.  */
  int64_t weight;               /* Weight of its team in fair queueing.  */
  char *health_path; /* Request path of the health check; or NULL.  */
  /* Requests a second that a cold server takes from all nodes together; 0: not
     limited.  */
  double warmup_per_s;
} cs_service_t;

/* One target of a route that splits its requests between services.  */
typedef struct
{
  char *service_path;
  cs_service_t *service; /* Set when the snapshot is linked.  */
  int64_t weight;        /* Relative to the weights of the other targets.  */
} cs_split_target_t;

typedef struct
{
  char *path; /* As in cs_service_t.  */
  char *team;
  char *host;       /* "*" for any.  */
  char *prefix;     /* Path prefix, see cs_snapshot_find_route.  */
  unsigned methods; /* Bits of cs_method_t.  */
  char *service_path;
  cs_service_t *service; /* Set when the snapshot is linked.  */
  bool idempotent;       /* Requests may be sent more than once.  */
  int64_t timeout_ms;    /* 0: the service's.  */
  int64_t priority;      /* 0 is the highest and is shed last.  */
  /* Time within which answers should come; 0: the timeout.  */
  int64_t latency_target_ms;
  int64_t max_attempts;  /* Maximum attempts per call; 0: the service's.  */
  GArray *split_targets; /* cs_split_target_t, instead of SERVICE; or NULL.  */
  /* NULL-terminated names of the regions in which its requests may run; NULL:
     in every one.  */
  char **allowed_regions;
  bool anonymous; /* Its requests belong to no workspace and bear no key.  */
} cs_route_t;

typedef enum
{
  CS_MOVE_RUNNING,
  CS_MOVE_DONE,
  CS_MOVE_ROLLED_BACK
} cs_move_state_t;

typedef struct
{
  char *path;
  char *team;
  char *name;
  char *service_path;
  cs_service_t *service;              /* Set by cs_snapshot_build.  */
  char *from_version;                 /* Baseline version.  */
  char *to_version;                   /* Candidate version.  */
  int64_t start_ms;                   /* Wall time of the start.  */
  int64_t deadline_ms;                /* Wall time by which the move ends.  */
  int64_t initial_candidate_permille; /* Initial share of the candidate.  */
  bool withdrawn;                     /* The team has it rolled back.  */
  /* The state, from the document that the system writes.  */
  cs_move_state_t state;
  int64_t candidate_permille; /* Current share of the candidate.  */
  int64_t state_start_ms;     /* START_MS of the move the state belongs to.  */
  int64_t last_step_ms;       /* Wall time of the last step.  */
  int64_t lease_epoch;        /* Lease epoch of the last writer.  */
  char *reason;               /* Why the last step was taken; or NULL.  */
} cs_move_t;

/* The name of STATE in documents: "running", "done" or "taken-back".  */
const char *cs_move_state_name (cs_move_state_t state);

/* Validate DOCUMENT, stored at PATH, against the schema.  Each error is
   appended to ERRORS as a line "PATH: FIELD: what is wrong; remedy", and
   CS_BAD_INPUT is returned.  On success *OUT is a new cs_service_t,
   cs_route_t, cs_move_t or (for a state) cs_move_t with only the state fields
   set; the caller frees it with the function of its type below.  */
cs_status_t cs_document_parse (cs_ctx_t *ctx, const char *path,
                               const json_t *document, void **out,
                               GString *errors);

void cs_service_free (void *service);
void cs_route_free (void *route);
void cs_move_free (void *move);

/* Parse TEXT as one JSON object of at most CS_DOCUMENT_MAX_BYTES bytes,
   without duplicate keys, and set *CANONICAL to its canonical form (sorted
   keys, no white space), which the caller frees with g_free.  CS_BAD_INPUT
   when TEXT is anything else.  */
cs_status_t cs_document_canonicalize (cs_ctx_t *ctx, cs_str_t text,
                                      char **canonical);

/* Parse an ISO 8601 time with a time zone, such as "2026-12-04T10:00:00Z",
   into milliseconds since the Unix epoch; -1 when TEXT is not a valid time. */
int64_t cs_time_parse (const char *text);

/* Format WALL_MS, milliseconds since the Unix epoch, in the form above,
   without fractions of a second; "?" when it is out of range.  The caller
   frees the string with g_free.  */
char *cs_time_format (int64_t wall_ms);

#endif
