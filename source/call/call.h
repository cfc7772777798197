/* One request of a caller, at the node that took it.  */
#ifndef CALL_CALL_H
#define CALL_CALL_H

#include "traffic.h"

#define TRIED_MAX 6 /* Nodes that one call is sent to at most.  */

struct call
{
  cs_traffic_t *traffic;
  cs_exchange_t *exchange;
  cs_snapshot_t *snapshot;
  const cs_route_t *route;
  const char *service;
  route_state_t *state;
  GString *head; /* For the server, without deadline and instance.  */
  cs_str_t id;
  uint64_t number; /* Of the job under way.  */
  int64_t boot;    /* Life of the node that the job was sent to.  */
  cs_usec_t arrived, target, full_target, limit;
  uv_timer_t timer;
  peer_t *peer;   /* That works on it; NULL between two.  */
  cs_task_t *run; /* When that is this node.  */
  peer_t *tried[TRIED_MAX];
  unsigned tries;    /* Nodes tried.  */
  unsigned arrivals; /* At servers.  */
  unsigned fulls;    /* Refusals for want of room.  */
  cs_usec_t wait;    /* Shortest expected wait of those that refused.  */
  cs_refused_t reason;
  bool wants_trial, refused;
};

/* choose.c: the node that CALL goes to next, among those not tried yet; NULL
   when there is none.  */
peer_t *call_choose_peer (call_t *call);

/* How long a run of CALL's route usually takes.  */
cs_usec_t call_work (const call_t *call);

/* forward.c: what the server gets of REQUEST, where it goes, and what is kept
   of its route.  The caller frees the head.  */
GString *call_head_for_server (const cs_traffic_t *traffic,
                               const cs_message_t *request);
const cs_route_t *call_route_of (const cs_snapshot_t *snapshot,
                                 const cs_message_t *request);
route_state_t *call_state_of (cs_traffic_t *traffic, const cs_route_t *route);
const char *call_service_for (route_state_t *state, const cs_route_t *route);

#endif
