/* The declarations that all files of the daemon cardamomd share.  A node is
   one running daemon, a member of the mesh; node_t is the node that this
   process is, and a node that is given by its name may be any member.

   The threads of the daemon:

   control    owns the membership, the prober, the configuration distribution
              and the version moves; waits only for its mailbox and, when it
              replaces the routing view, for the readers of the old one
   platform   runs blocking requests to the platform
   peer       accepts, reads and closes the connections to other nodes; never
              blocks on a socket.  A thread that queues a frame writes as much
              of the output buffer as the socket takes, the peer thread writes
              the rest
   callers    one event loop, and worker threads that each handle one request
              of a caller at a time and may block
   operators  the same for the operators' port
   upstream   worker threads that each run one request at a time on the local
              upstream  */
#ifndef CARDAMOM_NODE_H
#define CARDAMOM_NODE_H

#include <pthread.h>
#include <stdatomic.h>

#include "cardamom/cardamom.h"

#define THREAD_STACK_BYTES ((size_t)256 * 1024)
/* How often a large answer is held while it is passed on: beside the upstream
   as it came, packed, and in the output buffer; at the caller's node in the
   input buffer, as a frame, and unpacked.  */
#define RESULT_COPIES 3
/* The same for the body of a request that is sent, besides the body: packed,
   and in the output buffer.  */
#define REQUEST_COPIES 2
/* Bytes of a node, data centre or region name with its NUL.  */
#define NODE_NAME_SIZE 128

/* The settings; node_setting_table describes each of them.  */
typedef struct
{
  char *node, *dc, *region, *host;
  int64_t port, peer_port, admin_port;
  char *admin_host;
  char *seeds, *dcs;
  char *platform, *platform_address;
  char *cluster_key, *cluster_key_old;
  char *balancer, *limiter, *judge, *log_level;
  int64_t body_max, memory_mb, connections_max, queue_max, drain_ms;
  int64_t announce_ttl_ms;
  int64_t link_bytes_per_s, idempotency_retention_s, false_alarm_ppm;
  int64_t exposure_permille, exposure_slack;
  int64_t test_region_delay_ms, test_faults;
} node_settings_t;

/* The daemon's settings, for cs_settings_load into a node_settings_t.  */
extern const cs_setting_t node_setting_table[];
extern const size_t node_setting_count;

typedef struct node node_t;
typedef struct peers peers_t;
typedef struct local_upstream local_upstream_t;
typedef struct control control_t;
typedef struct platform_thread platform_thread_t;
typedef struct calls calls_t;
typedef struct slo slo_t;
typedef struct evidence evidence_t;
typedef struct offers offers_t;

/* The routing view: all that the routing of a request depends on.  It is
   immutable; the control thread replaces it as a whole under RCU.  */
typedef struct
{
  /* The configuration in force, NULL before the first.  The control thread
     owns it; several consecutive views may share it.  */
  cs_snapshot_t *snapshot;
  GHashTable *upstream_sets; /* "SERVICE VERSION" -> cs_upstream_set_t.  */
  /* Set of the paths of the moves that are rolled back.  */
  GHashTable *rolled_back_moves;
  /* Service path -> cs_retry_budget_t, which all views share.  The
     view_cache_t of the control thread owns them and frees them only when the
     daemon stops.  */
  GHashTable *retry_budgets;
  /* Fingerprint of a request -> number of crashes; see
     cs_crashes_by_fingerprint.  */
  GHashTable *crash_counts;
  bool ready; /* cs_dist_ready: the node has joined.  */
} view_t;

/* The node that this process is.  */
struct node
{
  node_settings_t settings;
  cs_ctx_t *ctx; /* Context of the main thread.  */
  peers_t *peers;
  local_upstream_t *local_upstream;
  control_t *control;
  platform_thread_t *platform_thread;
  calls_t *calls;
  slo_t *slo;
  evidence_t *evidence;
  offers_t *offers;
  /* The memory for bodies: those of requests that come from other nodes,
     answers that the upstream gives, and answers of other nodes' upstreams
     claim it.  */
  cs_memory_budget_t memory;
  cs_claims_t request_claims, read_claims, result_claims;
  /* The HTTP servers of the callers' and the operators' port.  */
  cs_httpd_t *caller_server, *admin_server;
  view_t *view; /* RCU pointer, replaced by the control thread.  */
  const cs_balancer_vtable_t *balancer;
  const cs_judge_vtable_t *judge;
  /* All data centres of the mesh, NULL-terminated; cs_key_replica_dc chooses
     the one that stores the record of an idempotency key.  */
  char **mesh_dcs;
  /* Wall time of this node's start in ms, as in its cs_member_t.  The first
     key_claim copies it from there for the callers' threads; 0 until then.  */
  _Atomic uint64_t boot;
  atomic_bool draining;
  _Atomic int64_t active_calls; /* Callers' requests in flight.  */
  /* Token bucket of the bytes of calls that may be sent to other regions, and
     of their answers; may be below 0.  */
  _Atomic int64_t region_link_tokens;
};

/* The context of the calling thread.  The first call in a thread creates it
   and registers the thread as an RCU reader; both end with the thread.  */
cs_ctx_t *node_thread_ctx (node_t *node);

/* Start a thread with a stack of THREAD_STACK_BYTES, to be joined by the
   caller.  Aborts the process on failure.  */
pthread_t node_thread_create (void *(*run) (void *), void *arg);

/* Adds the processor time of one thread to the counter CS_C_CONTROL_CPU_US,
   which sums up the control plane: the control thread and the platform thread
   have one meter each.  Initialise it to 0.  */
typedef struct
{
  int64_t counted_us; /* Time already added to the counter.  */
} cpu_meter_t;

/* Add the processor time that the calling thread has used since the last call
   to the counter CS_C_CONTROL_CPU_US.  */
void cpu_meter_update (cpu_meter_t *meter);

/* One attempt of a caller's request at one upstream, as it is sent to the node
   of the upstream.  The caller's whole request is a caller_request_t, and a
   call_t of call.c while it is in progress.  */
typedef struct
{
  char *method;
  char *path;         /* With the query.  */
  GPtrArray *headers; /* cs_header_t *.  */
  GBytes *body;       /* NULL: empty.  */
  char *service;      /* Document path of the service.  */
  char *version;      /* Version of the service that is to run it.  */
  char *team;         /* The team of the route, for fair queueing.  */
  int64_t weight;     /* As in cs_admission_request_t.  */
  int64_t priority;   /* As in cs_admission_request_t.  */
  bool idempotent;
  int64_t depth; /* Nodes that the chain of nested calls has passed before.  */
  /* Time to the caller's deadline when the attempt was sent.  */
  int64_t time_remaining_us;
  uint64_t fingerprint; /* From cs_request_fingerprint.  */
  bool takes_offers;    /* The sender asks for large answers; see offers.h.  */
} call_request_t;

/* Free REQUEST and all that it owns; NULL is allowed.  */
void call_request_free (call_request_t *request);

/* The result of a call_request_t: the answer of the upstream, or why there is
   none.  It also carries the answer to a claim of an idempotency key: STATUS
   is then the claim result plus one, see replica_send_claim, and BODY the
   stored result.  */
typedef struct
{
  /* CS_RUN_FAILED in every result with an answer; meaningless if STATUS is set
     and below 500, and in the answer to a claim.  */
  cs_run_state_t run_state;
  int status;            /* HTTP status of the upstream's answer; 0: none.  */
  GPtrArray *headers;    /* cs_header_t *; NULL without an answer.  */
  GString *body;         /* NULL without an answer.  */
  cs_claim_t claim;      /* Of BODY.  */
  int64_t offered_bytes; /* Of a body that is kept by the sender; 0: none.  */
  bool shed;             /* Refused by admission control.  */
  /* Requests running and queued at the upstream when it ended; -1: unknown. */
  int64_t load;
  int64_t retry_after_ms; /* Delay before a retry makes sense; 0: none.  */
  char *error_text;       /* Message for people; NULL with an answer.  */
} call_result_t;

/* A result without an answer, to which the caller may add one; ERROR_TEXT is
   copied and may be NULL.  */
call_result_t *call_result_new (cs_run_state_t run_state,
                                const char *error_text);
/* Free RESULT and all that it owns; NULL is allowed.  */
void call_result_free (call_result_t *result);

/* peer.c: connections to other nodes.  */

/* Bytes of the length that precedes a frame on the wire.  */
#define FRAME_LENGTH_BYTES 4

/* The type of a frame, the first element of its msgpack array.  */
typedef enum
{
  FRAME_HELLO = 1, /* Handshake: the sender's name, location and nonce.  */
  FRAME_AUTH,      /* Handshake: proves that the sender has the cluster key. */
  FRAME_PING,      /* A probe; answered with FRAME_ACK.  */
  FRAME_ACK,       /* The answer to a probe.  */
  FRAME_INDIRECT_PROBE, /* Asks the receiver to ping a third member.  */
  FRAME_DIGEST,   /* Digests of the sender's records, for anti-entropy.  */
  FRAME_RECORDS,  /* Records (records.h).  */
  FRAME_DIST,     /* Of the configuration distribution: cs_dist_message_t. */
  FRAME_EVIDENCE, /* Statistics of the attempts at a move's versions.  */
  FRAME_CALL,     /* A call_request_t.  */
  FRAME_RESULT,   /* The call_result_t of a call.  */
  FRAME_CANCEL,   /* The sender no longer waits for a call.  */
  FRAME_IDEMPOTENCY, /* An operation on the record of an idempotency key.  */
  FRAME_IDEMPOTENCY_ANSWER, /* The answer to FRAME_IDEMPOTENCY.  */
  FRAME_GO, /* Asks for the body that a FRAME_RESULT has offered.  */
  FRAME_TYPE_COUNT
} frame_type_t;

/* The address of a node.  */
typedef struct
{
  char name[NODE_NAME_SIZE]; /* Empty if not known.  */
  char host[64];             /* IPv4 address.  */
  unsigned port;
} peer_address_t;

/* Listen on the peer port and start the peer thread.  NULL, with the error in
   NODE's context, when the port cannot be listened on.  */
peers_t *peers_start (node_t *node);
/* End the thread and close all connections.  */
void peers_stop (peers_t *peers);
/* Free PEERS, which is stopped, once no thread uses it any more.  */
void peers_free (peers_t *peers);

/* Queue PAYLOAD, one msgpack array, for the node at ADDRESS, which is
   connected to first if necessary.  If CALL_ID is not 0 and the connection
   breaks before peers_forget_call, the call is completed with
   CS_RUN_NOT_STARTED or CS_RUN_UNKNOWN.  FALSE when the connection cannot be
   opened, its output buffer is full, or the node's data centre is blocked.  */
bool peers_send (peers_t *peers, const peer_address_t *address,
                 cs_str_t payload, uint64_t call_id);

/* Queue PAYLOAD on an existing connection to the node NAME.  FALSE when there
   is none, its output buffer is full, or the node's data centre is blocked. */
bool peers_reply (peers_t *peers, const char *name, cs_str_t payload);

/* Start or stop dropping all frames from and to the nodes of DC; fault
   injection for tests.  */
void peers_set_dc_blocked (peers_t *peers, const char *dc, bool blocked);

/* The calls that wait for their results, by correlation id.  Such a call is
   one attempt (call_request_t) or one claim of an idempotency key.  A thread
   registers it, passes its id with the request to the local upstream, another
   node or the control thread, and waits for the result.  */

/* A registered call that waits for its result.  */
typedef struct pending_call pending_call_t;

calls_t *calls_new (node_t *node);
/* Free CALLS, in which no call is registered any more.  */
void calls_drop (calls_t *calls);

/* Register a call and set *ID to its correlation id.  CALLS owns the returned
   call; calls_wait frees it.  */
pending_call_t *calls_add (calls_t *calls, uint64_t *id);

/* Deliver RESULT, which is taken over, to the thread that waits for call ID.
   FALSE, and a count in CS_C_LATE_RESULTS, when none does.  */
bool calls_complete (calls_t *calls, uint64_t id, call_result_t *result);

/* Wait for the result of PENDING_CALL, call ID, until DEADLINE (monotonic),
   and remove and free PENDING_CALL.  The caller owns the result; NULL after
   the deadline.  */
call_result_t *calls_wait (calls_t *calls, uint64_t id,
                           pending_call_t *pending_call, cs_usec_t deadline);

/* Encode the frames FRAME_CALL and FRAME_CANCEL of call ID.  */
void calls_pack_call (cs_pack_t *pack, uint64_t id,
                      const call_request_t *request);
void calls_pack_cancel (cs_pack_t *pack, uint64_t id);

/* Send RESULT of call ID to the node ORIGIN, in FRAME_RESULT.  */
void calls_send_result (node_t *node, const char *origin, uint64_t id,
                        const call_result_t *result);

/* The local upstream, the backend server beside this node.  */

/* An announcement of the upstream: it registers itself, and repeats the
   announcement within its time to live.  */
typedef struct
{
  char *service, *version;
  char *instance; /* Id of its process, chosen by itself; may be "".  */
  unsigned port;  /* Its HTTP port on the node's host.  */
  int64_t slots;  /* Requests that it can run at once.  */
  bool draining;  /* It accepts no new requests.  */
  bool leaving;   /* It stops.  */
  int64_t ttl_ms; /* Time to live of the announcement.  */
} announcement_t;

local_upstream_t *local_upstream_start (node_t *node);
/* End the worker threads after the requests they run, and free
   LOCAL_UPSTREAM.  */
void local_upstream_stop (local_upstream_t *local_upstream);

/* Run REQUEST, which is taken over, on the local upstream, or queue it, as
   admission control decides.  The result is delivered to call CALL_ID of the
   node ORIGIN, or of this node if ORIGIN is NULL.  */
void local_upstream_submit (local_upstream_t *local_upstream,
                            call_request_t *request, const char *origin,
                            uint64_t call_id);

/* Node ORIGIN (NULL: this one) no longer waits for call CALL_ID.  Its request
   is dropped if it is still queued; a running one is not stopped.  */
void local_upstream_cancel (local_upstream_t *local_upstream,
                            const char *origin, uint64_t call_id);

/* Apply ANNOUNCEMENT, which is copied, and publish a change to the mesh.  */
void local_upstream_announce (local_upstream_t *local_upstream,
                              const announcement_t *announcement);

/* Remove the upstream if its announcement has expired at NOW.  */
void local_upstream_expire (local_upstream_t *local_upstream, cs_usec_t now);

/* Refuse all further requests; running and queued ones are finished.  */
void local_upstream_close (local_upstream_t *local_upstream);

/* Whether no request is running or queued.  */
bool local_upstream_is_idle (local_upstream_t *local_upstream);

/* Routing, attempts and retries of one caller's request.  */

/* A request of a caller.  All but HEADERS is borrowed.  */
typedef struct
{
  const char *method;
  const char *host;   /* Host header without the port.  */
  const char *path;   /* With the query.  */
  GPtrArray *headers; /* cs_header_t *; call_run drops this reference.  */
  cs_str_t body;
  GBytes *body_bytes; /* Holds BODY; NULL: it is empty.  */
} caller_request_t;

/* Whether a caller's request has run at an upstream.  */
typedef enum
{
  OUTCOME_DONE,    /* It ran, and the upstream answered.  */
  OUTCOME_NOT_RUN, /* It has certainly not run.  */
  OUTCOME_UNKNOWN  /* It may have run.  */
} outcome_t;

typedef struct
{
  outcome_t outcome;
  int status; /* HTTP status.  */
  /* Of the upstream's answer; NULL if the node itself answers.  */
  GPtrArray *headers;
  GString *body;
  cs_claim_t claim;       /* Of BODY.  */
  int64_t retry_after_ms; /* Delay before a retry makes sense; 0: none.  */
  bool replayed; /* Stored answer of an earlier request with the same key.  */
} caller_answer_t;

/* Run REQUEST, including retries, and fill ANSWER, which the caller clears
   with caller_answer_clear.  Blocks until the request's deadline at most.  */
void call_run (node_t *node, cs_ctx_t *ctx, caller_request_t *request,
               caller_answer_t *answer);
void caller_answer_clear (caller_answer_t *answer);

/* Start the HTTP server of the callers' port, and that of the operators' port,
   which also accepts announcements.  NULL, with the error in NODE's context,
   on failure; the caller stops it with cs_httpd_stop.  */

cs_httpd_t *caller_server_start (node_t *node);
cs_httpd_t *admin_server_start (node_t *node);

/* control.c: the control thread.  */

/* The state of the control thread, with the first routing view installed in
   NODE.  The thread does not run yet.  */
control_t *control_new (node_t *node);
/* Start the thread.  */
void control_run (control_t *control);
/* End the thread, after the messages already in its mailbox.  */
void control_stop (control_t *control);
/* Free CONTROL, which is stopped, once no other thread posts to it any more.
   Messages left in the mailbox are dropped.  */
void control_free (control_t *control);

/* Have the control thread handle the frame PAYLOAD of the node FROM.  Both are
   copied.  */
void control_post_frame (control_t *control, const char *from,
                         cs_str_t payload);

/* Run FUNCTION with ARG in the control thread and wait until it has returned.
   Must not be called from the control thread.  */
typedef void (*control_function_t) (control_t *control, void *arg);
void control_run_sync (control_t *control, control_function_t function,
                       void *arg);

/* Run FUNCTION with ARG in the control thread, without waiting.  FREE_ARG, if
   not NULL, is then called with ARG, also if FUNCTION is never run.  */
void control_post (control_t *control, control_function_t function, void *arg,
                   GDestroyNotify free_arg);

/* Fields of CONTROL, borrowed, for functions that run in the control thread.
 */
cs_ctx_t *control_ctx (control_t *control);
cs_members_t *control_members (control_t *control);
cs_dist_t *control_dist (control_t *control);
node_t *control_node (control_t *control);

/* Send RECORD at once to all other members of this data centre and, unless it
   came from another data centre, to one member of each other one.  */
void control_send_urgent_record (control_t *control,
                                 const cs_record_t *record);

/* Send PAYLOAD to the node NAME, counted as control traffic.  If it is this
   node, the frame is posted to the mailbox.  If it is not a member, the frame
   is sent only if there is a connection to it.  */
void control_send (control_t *control, const char *name, cs_str_t payload);

/* The platform thread, which runs blocking requests to the platform.  */

platform_thread_t *platform_thread_start (node_t *node);
/* Run the functions already posted, end the thread and free
   PLATFORM_THREAD.  */
void platform_thread_stop (platform_thread_t *platform_thread);

/* Run FUNCTION in the platform thread, after those posted earlier.  CTX is the
   thread's context; PLATFORM is NULL when it could not be opened.  */
typedef void (*platform_function_t) (node_t *node, cs_ctx_t *ctx,
                                     cs_platform_t *platform, void *arg);
void platform_thread_post (platform_thread_t *platform_thread,
                           platform_function_t function, void *arg);

#endif
