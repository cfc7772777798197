/* The traffic thread: requests of callers, streams to other nodes, requests to
   the backend server.  It owns everything declared here; other threads post to
   its mailbox.  */
#ifndef CALL_TRAFFIC_H
#define CALL_TRAFFIC_H

#include "cardamom/cold-share.h"
#include "cardamom/counters.h"
#include "cardamom/event.h"
#include "cardamom/frames.h"
#include "cardamom/freshness.h"
#include "cardamom/link.h"
#include "cardamom/memory-claim.h"
#include "cardamom/placement.h"
#include "cardamom/reach.h"
#include "cardamom/retry-window.h"
#include "cardamom/route-callers.h"
#include "cardamom/server.h"
#include "cardamom/service-times.h"
#include "cardamom/snapshot.h"
#include "cardamom/stop-plan.h"
#include "cardamom/stream.h"
#include "cardamom/traffic.h"
#include "cardamom/transit.h"

/* Without the membarrier system call, which not every host offers.  */
#define RCU_MB
#include <stdatomic.h>
#include <urcu.h>

/* Bytes that a node leaves unacknowledged for this long end its stream.  */
#define PEER_ACK_TIMEOUT (3 * CS_SEC)

typedef struct peer peer_t;
typedef struct call call_t;
typedef struct workspaces workspaces_t;

/* A member of the mesh, another node or this one, with its stream, its load
   and the calls in flight there.  */
struct peer
{
  cs_traffic_t *traffic;
  cs_node_info_t info;
  bool self;
  cs_distance_t distance;
  cs_usec_t round_trip; /* Estimated from the distance.  */
  cs_stream_t *stream;  /* To it; NULL while disconnected.  */
  bool hello_received;  /* It has identified itself on STREAM.  */
  /* Start of the process that sent the hello: wall time in milliseconds.  */
  int64_t hello_boot;
  int64_t hello_revision; /* Of this node's description, in its own hello.  */
  /* While disconnected, the time of the next attempt to connect; from then to
     the hello, the time at which the attempt is given up.  */
  cs_usec_t reconnect_at;
  /* Delay after the next loss of a stream, unless the node is stopping.  */
  cs_usec_t reconnect_delay;
  cs_usec_t ping_sent_at; /* 0: no answer is awaited.  */
  GHashTable *calls;      /* job number -> call_t *, in flight there.  */
  /* job number -> call_t *, not idempotent, whose stream broke: the outcome is
     unknown until this node has asked for it.  */
  GHashTable *unresolved_calls;
  /* The newest load report, when it came, and how many calls of this node were
     in flight at PEER then.  */
  cs_load_t load;
  cs_usec_t load_received_at;
  int64_t own_calls_at_load;
  /* Its server's instance and start that have said in an answer that they
     leave; the instance is empty if none has.  */
  char leaving_instance[CS_NAME_SIZE];
  int64_t leaving_started_ms;
  /* The limit that its server last named, as in LOAD, and the instance.  Kept
     when the node restarts.  */
  cs_usec_t limit_interval;
  char limit_instance[CS_NAME_SIZE];
  /* Of the server beside it, measured from here.  */
  cs_service_times_t run_times;
  cs_cold_share_t cold_share; /* Of that server's rate while it is cold.  */
  /* Its address refuses connections: its process has ended.  */
  bool process_gone;
};

/* How a service's requests are split between a baseline and a candidate
   version.  */
typedef struct
{
  /* Revision of the request for the move that set the split; 0: the baseline
     was inferred from the members.  */
  int64_t move_revision;
  char baseline[CS_NAME_SIZE];
  char candidate[CS_NAME_SIZE]; /* Empty: none.  */
  int64_t candidate_permille;   /* Share of requests for CANDIDATE.  */
  int64_t split_credit[2];      /* State of cs_weighted_rr_next.  */
} version_split_state_t;

/* Nodes beside the servers of one service.  */
typedef struct
{
  GPtrArray *peers; /* peer_t *.  */
  version_split_state_t split;
  cs_failure_rate_t failures;
} pool_t;

/* State of a route that outlives its calls.  */
typedef struct
{
  cs_running_mean_t run_time; /* Of its requests at servers.  */
  cs_usec_t longest_timeout;  /* Longest that a caller has asked for.  */
  /* State of cs_weighted_rr_next, with one element for each target of the
     route's traffic split.  Further targets get no requests.  */
  int64_t service_credit[16];
} route_state_t;

struct cs_traffic
{
  cs_ctx_t *ctx;
  uv_loop_t loop;
  uv_timer_t tick;
  cs_mailbox_t mailbox;
  cs_traffic_handler_t handler;
  void *user;
  cs_memory_budget_t budget; /* For all that is large.  */
  cs_link_t link;            /* Of this host, towards it.  */
  GQueue held_gos; /* Reservations of its time that are not yet told.  */
  cs_http1_server_t *caller_server;
  cs_dispatcher_t *dispatcher;
  cs_crash_history_t *crash_history;
  cs_route_callers_t *route_callers; /* Of the jobs for this node.  */
  char caller_service[CS_NAME_SIZE];
  peer_t *self;
  GHashTable *peers; /* name -> peer_t *, this node among them.  */
  GHashTable *pools; /* service -> pool_t *.  */
  /* service -> number of its servers, as GUINT_TO_POINTER; made anew by
     traffic_count_servers.  */
  GHashTable *server_counts;
  GHashTable *routes;        /* route path -> route_state_t *.  */
  GHashTable *evacuated_dcs; /* A set of names.  */
  workspaces_t *workspaces;
  bool has_caps; /* The configuration in force caps workspaces.  */
  cs_freshness_settings_t freshness;
  const _Atomic int64_t *keys_fresh_at; /* As in cs_traffic_settings_t.  */
  cs_snapshot_t **snapshot; /* RCU pointer of the control thread.  */
  /* attempt id -> inbound job that is not idempotent.  */
  GHashTable *non_idempotent_jobs;
  /* Those of them that have ended, oldest first.  */
  GQueue ended_non_idempotent_jobs;
  uint64_t last_job_number;    /* Numbers are never reused.  */
  GQueue calls;                /* Of callers, in flight: call_t *.  */
  int64_t inbound_job_count;   /* Of other nodes, in flight.  */
  int64_t offered_answers;     /* To other nodes, not yet asked for.  */
  cs_claims_t read_claims;     /* Of answers of this node's server.  */
  cs_claims_t answer_claims;   /* Of answers that other nodes offer.  */
  GQueue waiting_answers;      /* call_t *, whose answers have no room yet.  */
  cs_usec_t next_slow_tick_at; /* Next call of peers_tick and inbound_tick.  */
  cs_usec_t next_crash_expiry_at;
  cs_stop_plan_t stop;
  cs_stop_step_t stop_step; /* The last that was taken.  */
  bool stop_idle; /* Nothing is in flight, and nothing more can come.  */
};

static inline cs_usec_t
traffic_now (const cs_traffic_t *traffic)
{
  return traffic->ctx->clock->monotonic (traffic->ctx->clock);
}

/* traffic.c */
/* The configuration in force, with a reference for the caller; NULL before the
   first.  */
cs_snapshot_t *traffic_acquire_snapshot (cs_traffic_t *traffic);
/* Whether this node has a configuration.  */
bool traffic_has_config (cs_traffic_t *traffic);
/* Whether the configuration in force allows requests of ROUTE to run in this
   node's region.  */
bool traffic_allows_route_here (cs_traffic_t *traffic, cs_str_t route);

/* peers.c */
/* Add a peer, which the traffic thread owns until the process exits, for the
   node INFO; the first one added is this node.  */
peer_t *peer_add (cs_traffic_t *traffic, const cs_node_info_t *info);
/* Add INFO, or update it if it is newer than what is known.  */
void peers_update_member (cs_traffic_t *traffic, const cs_node_info_t *info);
/* Move PEER to the pool of its current service; BEFORE is the service that it
   had.  */
void peer_move_to_pool (peer_t *peer, const char *before);
void peers_tick (cs_traffic_t *traffic, cs_usec_t now);
/* Record LOAD, which came just now with an outcome from PEER.  */
void peer_note_load (peer_t *peer, const cs_load_t *load);
/* The server beside PEER has said in an answer that it leaves; STARTED_MS is
   its start when the request was sent.  */
void peer_note_server_leaving (peer_t *peer, int64_t started_ms);
/* Whether PEER's server has said so.  */
bool peer_server_is_leaving (const peer_t *peer);
bool peer_is_reachable (const peer_t *peer);
/* Whether PEER, which is reachable, has not left a ping without an answer for
   long.  */
bool peer_is_responsive (const peer_t *peer);
/* The pool of SERVICE, created at its first use.  */
pool_t *service_pool (cs_traffic_t *traffic, const char *service);
/* Send this node's description to every reachable node.  */
void peers_announce_self (cs_traffic_t *traffic);
/* Send the payload of PACK, which stays the caller's; nothing is sent while
   PEER is disconnected.  */
void peer_send (peer_t *peer, cs_pack_t *pack);
/* Send this node's hello; a message of KIND without content, or about the job
   NUMBER, to a peer as with peer_send.  */
void stream_send_hello (cs_traffic_t *traffic, cs_stream_t *stream);
void stream_send_kind (cs_stream_t *stream, int64_t kind);
void stream_send_number (cs_stream_t *stream, int64_t kind, uint64_t number);
void peer_send_number (peer_t *peer, int64_t kind, uint64_t number);
/* Send PAYLOAD to every reachable node of REGION, or of all with NULL.  */
void peers_broadcast (cs_traffic_t *traffic, cs_str_t payload,
                      const char *region);

/* crash-frames.c: crash records on their way between nodes.  */
/* The handler of the crash history; its user is the cs_traffic_t.  */
extern const cs_crash_history_handler_t crash_history_handler;
/* Handle CS_FRAME_CRASH_RECORDS; a malformed frame sets IN->failed.  */
void crash_records_received (cs_traffic_t *traffic, cs_unpack_cursor_t *in);
/* Send PEER the records of all requests in quarantine.  */
void crash_records_send_quarantined (peer_t *peer);
/* Send PEER those of the request FINGERPRINT, if there are any.  */
void crash_records_send_of_request (peer_t *peer, uint64_t fingerprint);
/* Send RECORD over STREAM.  */
void crash_record_send (cs_stream_t *stream, const cs_record_t *record);
/* Wall time in milliseconds, as crash records hold it.  */
int64_t traffic_wall_ms (const cs_traffic_t *traffic);

/* retry-origin.c: which requests for the server beside this node are calls of
   runs that were retries.  */
/* Set what of REQUEST, from the host of a server of CALLER_SERVICE, counts as
   a retry that is inherited from a run.  */
void traffic_attribute_retry (cs_traffic_t *traffic,
                              cs_dispatch_request_t *request,
                              const char *caller_service);
/* Share the retry budget out to the servers that are known now.  */
void traffic_count_servers (cs_traffic_t *traffic);

/* inbound.c: the streams that other nodes open, and the jobs they send.  */
cs_status_t inbound_listen (cs_traffic_t *traffic, const char *address);
void inbound_tick (cs_traffic_t *traffic, cs_usec_t now);
/* Tell other nodes to send the large bodies whose turn it is.  */
void inbound_send_due (cs_traffic_t *traffic, cs_usec_t now);
/* Drop the oldest kept outcome with a large body; false if there is none.  */
bool inbound_drop_kept_body (cs_traffic_t *traffic);

/* calls.c: callbacks of the HTTP server for callers.  */
void calls_request_received (void *user, cs_exchange_t *exchange);
void calls_caller_disconnected (void *user, cs_exchange_t *exchange);
void calls_at_front (void *user, cs_exchange_t *exchange);
/* Answer all requests in flight: as not run where that is certain, else as
   failed.  */
void calls_end_all (cs_traffic_t *traffic);

/* Handle OUTCOME, the end of the attempt of CALL that is in flight: answer the
   caller or send CALL to another node.  */
void call_handle_outcome (call_t *call, const cs_outcome_t *outcome);
/* The stream to PEER broke while it had CALL in flight.  */
void call_stream_lost (call_t *call, peer_t *peer);
/* The node beside the server has reserved time for the body of CALL: send it.
 */
void call_send_body (call_t *call);
/* Ask PEER for the outcome of CALL; fail it when PEER has restarted.  */
void call_query_outcome (call_t *call, peer_t *peer);

#endif
