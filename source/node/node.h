/* The daemon's parts and the threads that own them.

   control   owns members, prober, dist, moves; reads its mailbox only
   store     runs blocking platform requests for control
   peer      moves frames between nodes; never blocks
   front     one thread per caller's connection
   serve     one thread per running request on the local upstream
   admin     one thread per operator's connection  */
#ifndef CARDAMOM_NODE_H
#define CARDAMOM_NODE_H

#include <pthread.h>
#include <stdatomic.h>

#include "cardamom/cardamom.h"

#define THREAD_STACK_BYTES ((size_t)256 * 1024)
#define NODE_NAME_MAX 128

typedef struct
{
  char *node, *dc, *region, *host;
  int64_t port, peer_port, admin_port;
  char *admin_host;
  char *seeds, *dcs;
  char *platform, *platform_address;
  char *cluster_key, *cluster_key_old;
  char *balancer, *limiter, *judge, *log_level;
  int64_t body_max, connections_max, queue_max, drain_ms, announce_ttl_ms;
  int64_t link_bytes_per_s, idempotency_retention_s, false_alarm_ppm;
  int64_t exposure_permille, exposure_slack;
  int64_t test_region_delay_ms, test_faults;
} node_settings_t;

extern const cs_setting_t node_setting_table[];
extern const size_t node_setting_count;

typedef struct node node_t;
typedef struct peers peers_t;
typedef struct serve serve_t;
typedef struct control control_t;
typedef struct store store_t;
typedef struct calls calls_t;
typedef struct slo slo_t;
typedef struct evidence evidence_t;

/* What traffic is routed by: replaced as a whole under RCU.  */
typedef struct
{
  cs_snapshot_t *snapshot; /* Shared with later views until replaced.  */
  GHashTable *upstreams;   /* "SERVICE VERSION" -> cs_upstream_set_t.  */
  GHashTable *backs;       /* Paths of moves taken back, as a set.  */
  GHashTable *budgets;     /* Service path -> cs_retry_budget_t, shared.  */
  GHashTable *strikes;     /* Print -> strikes, see quarantine.h.  */
  bool ready;
} view_t;

struct node
{
  node_settings_t settings;
  cs_ctx_t *ctx; /* Of the main thread.  */
  peers_t *peers;
  serve_t *serve;
  control_t *control;
  store_t *store;
  calls_t *calls;
  slo_t *slo;
  evidence_t *evidence;
  cs_httpd_t *front, *admin;
  view_t *view; /* Read under RCU; replaced by control.  */
  const cs_balancer_vtable_t *balancer;
  const cs_judge_vtable_t *judge;
  char **home_dcs;       /* Data centres that keep idempotency keys.  */
  _Atomic uint64_t boot; /* Of this node's member record; 0: not read.  */
  atomic_bool draining;
  _Atomic int64_t fronting;    /* Callers' requests being answered.  */
  _Atomic int64_t link_tokens; /* Bytes the region link may still carry.  */
};

/* The context of the calling thread, made on first use and dropped with the
   thread.  */
cs_ctx_t *node_thread_ctx (node_t *node);

/* Start a thread with the product's stack size.  Aborts on failure.  */
pthread_t node_thread (void *(*run) (void *), void *arg);

/* Adds the processor time of the calling thread since the last note to the
   control counter.  */
typedef struct
{
  int64_t noted_us;
} cpu_meter_t;
void cpu_meter_note (cpu_meter_t *cpu);

/* A request as it travels from caller to upstream.  */
typedef struct
{
  char *method;
  char *path; /* With the query.  */
  GPtrArray *headers;
  GString *body;
  char *service;
  char *version;
  char *team;
  int64_t weight;
  int64_t priority;
  bool idempotent;
  int64_t depth;     /* Nodes that the call has passed before.  */
  int64_t budget_us; /* Time left when it was sent.  */
  uint64_t print;    /* Hash of method, path and body.  */
} request_t;

void request_free (request_t *request);

/* How a request ended at the upstream or on the way to it.  */
typedef struct
{
  cs_run_state_t run; /* Meaningless when STATUS is set and not an error.  */
  int status;         /* HTTP status of the upstream's answer; 0: none.  */
  GPtrArray *headers;
  GString *body;
  bool shed;
  int64_t load;           /* Running and waiting beside it; -1: unknown.  */
  int64_t retry_after_ms; /* When to come back; 0: any time.  */
  char *why;              /* For people; NULL on success.  */
} result_t;

/* A result without an answer.  */
result_t *result_new (cs_run_state_t run, const char *why);
void result_free (result_t *result);

/* peer.c: frames between nodes.  */

typedef enum
{
  FRAME_HELLO = 1,
  FRAME_AUTH,
  FRAME_PING,
  FRAME_ACK,
  FRAME_PROBE, /* Please ping another member for me.  */
  FRAME_DIGEST,
  FRAME_RECORDS,
  FRAME_DIST,
  FRAME_EVIDENCE,
  FRAME_CALL,
  FRAME_RESULT,
  FRAME_CANCEL,
  FRAME_ONCE,
  FRAME_ONCE_ANSWER,
  FRAME_TYPE_COUNT
} frame_type_t;

/* Where a node is reached.  */
typedef struct
{
  char name[NODE_NAME_MAX]; /* Empty when only the address is known.  */
  char host[64];
  unsigned port;
} peer_address_t;

peers_t *peers_start (node_t *node);
/* End the thread and close all connections; then free, when no other thread
   sends any more.  */
void peers_stop (peers_t *peers);
void peers_free (peers_t *peers);

/* Queue PAYLOAD, one msgpack array, for the node at TO, connecting first when
   need be.  CALL_ID not 0 asks for calls_lost when the connection breaks
   before an answer.  FALSE when the queue to it is full or it is cut off.  */
bool peers_send (peers_t *peers, const peer_address_t *to, cs_str_t payload,
                 uint64_t call_id);

/* Answer over the connection to the node NAME, if there still is one.  */
bool peers_reply (peers_t *peers, const char *name, cs_str_t payload);

/* Drop frames from and to the nodes of DC (a fault for tests).  */
void peers_cut (peers_t *peers, const char *dc, bool cut);

/* calls.c: calls that wait for their result.  */

typedef struct pending pending_t;

calls_t *calls_new (node_t *node);
void calls_drop (calls_t *calls);

/* Register a call; *ID is its correlation id.  */
pending_t *calls_begin (calls_t *calls, uint64_t *id);

/* Hand RESULT, taken over, to call ID; FALSE when nobody waits any more.  */
bool calls_complete (calls_t *calls, uint64_t id, result_t *result);

/* Wait until the result or DEADLINE (monotonic); NULL after the deadline.
   Ends the registration either way.  */
result_t *calls_wait (calls_t *calls, uint64_t id, pending_t *pending,
                      cs_usec_t deadline);

/* The frames of the call path as msgpack arrays.  */
void calls_pack_call (cs_pack_t *pack, uint64_t id, const request_t *request);
void calls_pack_result (cs_pack_t *pack, uint64_t id, const result_t *result);
void calls_pack_cancel (cs_pack_t *pack, uint64_t id);

/* serve.c: the local upstream.  */

/* What the upstream has announced.  */
typedef struct
{
  char *service, *version, *instance;
  unsigned port;
  int64_t slots;
  bool draining, leaving;
  int64_t ttl_ms;
} announcement_t;

serve_t *serve_start (node_t *node);
void serve_stop (serve_t *serve);

/* Run REQUEST, taken over, on the local upstream.  The result goes to call ID
   of node ORIGIN, or of this node when ORIGIN is NULL.  */
void serve_submit (serve_t *serve, request_t *request, const char *origin,
                   uint64_t id);

/* Node ORIGIN (NULL: this one) no longer waits for call ID.  */
void serve_cancel (serve_t *serve, const char *origin, uint64_t id);

/* Take an announcement; contents are copied.  */
void serve_announce (serve_t *serve, const announcement_t *announcement);

/* Forget an upstream whose announcements have stopped.  */
void serve_expire (serve_t *serve, cs_usec_t now);

/* Refuse all further requests; those that run or wait go on.  */
void serve_close (serve_t *serve);

/* Whether no request runs or waits.  */
bool serve_idle (serve_t *serve);

/* call.c: one caller's request through routing, attempts and retries.  */

typedef struct
{
  const char *method;
  const char *host;
  const char *path;
  GPtrArray *headers; /* Taken over.  */
  cs_str_t body;
} caller_request_t;

typedef enum
{
  OUTCOME_DONE,
  OUTCOME_NOT_RUN,
  OUTCOME_UNKNOWN
} outcome_t;

typedef struct
{
  outcome_t outcome;
  int status;
  GPtrArray *headers; /* NULL for answers of the node's own.  */
  GString *body;
  int64_t retry_after_ms;
  bool replayed;
} caller_answer_t;

/* Run REQUEST to its end; ANSWER is always filled and cleared by the
   caller.  */
void call_run (node_t *node, cs_ctx_t *ctx, caller_request_t *request,
               caller_answer_t *answer);
void caller_answer_clear (caller_answer_t *answer);

/* front.c and admin.c */

cs_httpd_t *front_start (node_t *node);
cs_httpd_t *admin_start (node_t *node);

/* control.c: the control thread.  */

/* Make the control state with the first view; then start its thread; then end
   the thread; then free the state, when no other thread posts any more.  */
control_t *control_start (node_t *node);
void control_run (control_t *control);
void control_stop (control_t *control);
void control_free (control_t *control);

/* Pass a control frame on; PAYLOAD is copied.  */
void control_frame (control_t *control, const char *from, cs_str_t payload);

/* Run FUNCTION in the control thread and wait for its end.  */
typedef void (*control_function_t) (control_t *control, void *arg);
void control_call (control_t *control, control_function_t function, void *arg);

/* Run FUNCTION there without waiting; FREE_ARG is called after it.  */
void control_post (control_t *control, control_function_t function, void *arg,
                   GDestroyNotify free_arg);

/* For functions that run in the control thread.  */
cs_ctx_t *control_ctx (control_t *control);
cs_members_t *control_members (control_t *control);
cs_dist_t *control_dist (control_t *control);
node_t *control_node (control_t *control);

/* Pack RECORD for all that should hear of it at once.  */
void control_publish (control_t *control, const cs_record_t *record);

/* Send PAYLOAD to member NAME; counts as control traffic.  */
void control_send (control_t *control, const char *name, cs_str_t payload);

/* store.c: blocking platform requests in a thread of their own.  */

store_t *store_start (node_t *node);
void store_stop (store_t *store);

/* Run FUNCTION (CTX, PLATFORM, ARG) in the store thread.  PLATFORM is NULL
   when it cannot be opened.  */
typedef void (*store_function_t) (node_t *node, cs_ctx_t *ctx,
                                  cs_platform_t *platform, void *arg);
void store_post (store_t *store, store_function_t function, void *arg);

#endif
