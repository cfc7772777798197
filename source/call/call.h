/* A call: one request of a caller, at the node that received it.  */
#ifndef CALL_CALL_H
#define CALL_CALL_H

#include "traffic.h"

#define MAX_TRIED_NODES 6 /* Nodes that one call may be sent to.  */

/* The answer of an attempt that failed at a server, kept while another attempt
   is made.  */
typedef struct
{
  unsigned status;
  char *fields;
  GBytes *body; /* NULL: empty.  */
} failed_answer_t;

struct call
{
  cs_traffic_t *traffic;
  GList link; /* In the traffic's calls.  */
  cs_exchange_t *exchange;
  cs_snapshot_t *snapshot; /* The configuration under which it arrived.  */
  cs_snapshot_t *newest;   /* The one in force when it was last placed.  */
  const cs_route_t *route;
  const char *service;
  route_state_t *route_state;
  GString *head;        /* HEAD of the cs_dispatch_request_t.  */
  GBytes *body;         /* Of the request; NULL: empty.  */
  cs_str_t attempt_id;  /* The caller's; a view into the request.  */
  uint64_t fingerprint; /* From cs_request_fingerprint.  */
  uint64_t job_number;  /* Of the job in flight.  */
  /* By its key, which is kept as a digest; NULL: it belongs to none.  */
  const cs_workspace_t *workspace;
  cs_key_digest_t key;
  bool charged;      /* It has taken a token of its workspace's cap.  */
  bool awaits_token; /* It waits for one, since WAITING_SINCE.  */
  GList waiting_link;
  cs_usec_t waiting_since;
  int64_t priority; /* Of its workspace or its route; 0 goes first.  */
  /* Start of the node that the job was sent to: wall time in milliseconds.  */
  int64_t peer_boot;
  int64_t server_started_ms; /* Start of the server beside that node.  */
  /* Monotonic times in microseconds, except LATENCY_TARGET, a duration: the
     route's latency target or, if it has none, the time from ARRIVED_AT to
     DEADLINE.  TARGET_TIME is ARRIVED_AT plus the latency target less the time
     that the caller has spent on earlier attempts, and at most DEADLINE.  */
  cs_usec_t arrived_at, target_time, latency_target, deadline;
  uv_timer_t timer;
  peer_t *peer; /* The node that has the job; NULL between attempts.  */
  cs_dispatch_t *local_dispatch; /* Set when that is this node.  */
  peer_t *tried[MAX_TRIED_NODES];
  unsigned tried_count;           /* Of TRIED.  */
  failed_answer_t *failed_answer; /* NULL: none.  */
  /* It has asked PEER whether its body may come, and has not been sent.  */
  bool awaits_go;
  /* Of the answer that PEER offers: its size and memory, and since when it
     waits for that.  */
  int64_t offered_bytes;
  cs_claim_t answer_claim;
  cs_usec_t offered_at;
  bool waits_for_room; /* In the traffic's waiting answers, by ROOM_LINK.  */
  GList room_link;
  unsigned server_attempts; /* Attempts that reached a server.  */
  cs_usec_t wait_max;       /* As in the cs_dispatch_request_t.  */
  unsigned redirects;       /* Refusals as CS_REFUSED_LONGER_WAIT.  */
  bool sent_again; /* To the same server, after a stale connection.  */
  /* Refusals as CS_REFUSED_OVERLOADED or CS_REFUSED_RETRY_BUDGET.  */
  unsigned overload_refusals;
  /* The part of the runs beside this node that were retries when the request
     came: the probability that it is a call of one of them.  */
  double inherited_retry;
  cs_usec_t min_queue_delay; /* Shortest wait that a refusal has given.  */
  cs_refusal_reason_t refusal_reason; /* Of the last refusal.  */
  bool wants_candidate; /* By the version split; a retry clears it.  */
  bool was_refused;     /* By some node.  */
  bool may_have_run;    /* An attempt has run or had an unknown outcome.  */
};

/* Whether an attempt of CALL has reached a server, so that a further one is a
   retry.  */
static inline bool
call_is_retry (const call_t *call)
{
  return call->server_attempts > 0 || call->sent_again;
}

/* choose.c: the next node for CALL, among those not tried yet; NULL when there
   is none.  */
peer_t *call_choose_peer (call_t *call);

/* Whether PEER's server takes requests of CALL, and may be reached by it,
   tried before or not.  */
bool call_peer_takes_requests (const call_t *call, const peer_t *peer);

/* Look up the configuration in force, by which CALL may reach servers.  */
void call_update_newest (call_t *call);

/* What a cold server of the call's service takes a second; 0: no limit.  */
double call_warmup_rate (const call_t *call);

/* A request of CALL is sent to PEER.  */
void call_note_sent (call_t *call, peer_t *peer);

/* The mean time that a backend server takes for requests of CALL's route.  */
cs_usec_t call_expected_run_time (const call_t *call);

/* Send CALL for the first time, which has got a token of its workspace's cap;
   or refuse it, for REASON, and tell it to come back after RETRY_AFTER.  */
void call_start_charged (call_t *call);
void call_refuse_uncharged (call_t *call, cs_refusal_reason_t reason,
                            cs_usec_t retry_after);

/* forward.c: the request line and fields that the server gets of the request
   of CALL, which is in its workspace; the caller frees them.  */
GString *call_head_for_server (const call_t *call);
/* The fingerprint of REQUEST, as cs_request_fingerprint gives it.  */
uint64_t call_fingerprint (const cs_http1_message_t *request);
/* The route that matches REQUEST, or NULL.  */
const cs_route_t *call_find_route (const cs_snapshot_t *snapshot,
                                   const cs_http1_message_t *request);
/* The state kept for ROUTE, created at its first use.  */
route_state_t *call_route_state (cs_traffic_t *traffic,
                                 const cs_route_t *route);
/* The service that takes the next request of ROUTE, by the weights of its
   traffic split.  */
const char *call_pick_service (route_state_t *state, const cs_route_t *route);

#endif
