/* The traffic thread: callers, other nodes and the backend server.  It owns
   everything declared here; other threads post to its mailbox.  */
#ifndef CALL_TRAFFIC_H
#define CALL_TRAFFIC_H

#include "cardamom/budget.h"
#include "cardamom/counters.h"
#include "cardamom/event.h"
#include "cardamom/frames.h"
#include "cardamom/place.h"
#include "cardamom/server.h"
#include "cardamom/snapshot.h"
#include "cardamom/speed.h"
#include "cardamom/stream.h"
#include "cardamom/traffic.h"

#define RCU_MB /* No membarrier call: it is not to be had everywhere.  */
#include <urcu.h>

/* Bytes to a node that stay unacknowledged for so long end its stream.  */
#define PEER_SILENCE (3 * CS_SEC)

typedef struct peer peer_t;
typedef struct call call_t;

/* Another node, or this one.  */
struct peer
{
  cs_traffic_t *traffic;
  cs_member_t member;
  bool self;
  cs_distance_t distance;
  cs_usec_t round_trip; /* By the distance.  */
  cs_stream_t *stream;  /* To it; NULL while apart.  */
  bool greeted;         /* It has said who it is on STREAM.  */
  int64_t greeted_boot; /* Life of the process that greeted.  */
  cs_usec_t retry_at, retry_pause;
  cs_usec_t pinged;  /* When, while the answer is due; 0: none is.  */
  GHashTable *calls; /* number -> call_t * that it works on.  */
  GHashTable *asked; /* number -> call_t * whose fate is asked for.  */
  cs_load_t load;    /* Newest, with its time and own part in it.  */
  cs_usec_t load_at;
  int64_t mine_at_load;
  cs_speed_t speed; /* Of the server beside it, as seen from here.  */
};

/* The version that takes a service's requests, and one on trial.  */
typedef struct
{
  int64_t order; /* Of the move that gave it; 0: guessed from members.  */
  char current[CS_LIFE_TEXT];
  char trial[CS_LIFE_TEXT]; /* Empty: none.  */
  int64_t share_permille;   /* Of TRIAL.  */
  int64_t credit[2];
} version_t;

/* Nodes beside the servers of one service.  */
typedef struct
{
  GPtrArray *peers; /* peer_t *.  */
  version_t version;
  cs_budget_t budget;
} pool_t;

/* What is kept of a route from call to call.  */
typedef struct
{
  cs_mean_t work;
  cs_usec_t budget; /* Longest deadline that a caller has given.  */
  int64_t credit[16];
} route_state_t;

struct cs_traffic
{
  cs_ctx_t *ctx;
  uv_loop_t loop;
  uv_timer_t tick;
  cs_mailbox_t box;
  cs_traffic_handler_t handler;
  void *user;
  cs_server_t *callers;
  cs_runner_t *runner;
  cs_budget_terms_t budget;
  char caller_service[CS_LIFE_TEXT];
  peer_t *self;
  GHashTable *peers;         /* name -> peer_t *, this node among them.  */
  GHashTable *pools;         /* service -> pool_t *.  */
  GHashTable *routes;        /* route path -> route_state_t *.  */
  cs_snapshot_t **published; /* RCU pointer of the control thread.  */
  GHashTable *inbound_by_id; /* Attempt -> inbound job that must run once.  */
  GQueue inbound_kept;       /* The ended ones, oldest first.  */
  uint64_t numbers;          /* Last number of a job.  */
  int64_t calls;             /* Under way.  */
  int64_t jobs;              /* Of other nodes, under way.  */
  cs_usec_t next_slow_tick, stop_since, grace;
  bool stopping, draining;
};

static inline cs_usec_t
traffic_now (const cs_traffic_t *t)
{
  return t->ctx->clock->monotonic (t->ctx->clock);
}

/* peers.c */
peer_t *peer_add (cs_traffic_t *t, const cs_member_t *member);
void peers_learn (cs_traffic_t *t, const cs_member_t *member);
/* The member of PEER has changed; BEFORE is the service that it had.  */
void peer_index (peer_t *peer, const char *before);
void peers_tick (cs_traffic_t *t, cs_usec_t now);
void peer_note_load (peer_t *peer, const cs_load_t *load);
bool peer_is_reachable (const peer_t *peer);
pool_t *pool_of (cs_traffic_t *t, const char *service);
/* Have every node that is reachable know this node as it is now.  */
void peers_announce (cs_traffic_t *t);
void peer_send (peer_t *peer, cs_pack_t *pack);
/* Who this node is; a frame that is nothing but its KIND.  */
void stream_send_hello (cs_traffic_t *t, cs_stream_t *stream);
void stream_send_bare (cs_stream_t *stream, cs_frame_t kind);
void peers_broadcast (cs_traffic_t *t, cs_str_t payload, const char *region);

/* inbound.c */
cs_status_t inbound_listen (cs_traffic_t *t, const char *address);
void inbound_tick (cs_traffic_t *t, cs_usec_t now);

/* calls.c */
void calls_request (void *user, cs_exchange_t *exchange);
void calls_left (void *user, cs_exchange_t *exchange);
void calls_turn (void *user, cs_exchange_t *exchange);
void call_outcome (call_t *call, const cs_outcome_t *outcome);
/* The stream to PEER has ended under CALL.  */
void call_stranded (call_t *call, peer_t *peer);
void call_send_ask (call_t *call, peer_t *peer);

#endif
