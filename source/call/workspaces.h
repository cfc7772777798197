/* Workspaces at the node that callers use: keys, and the exchange with the
   coordinators of usage caps.  */
#ifndef CALL_WORKSPACES_H
#define CALL_WORKSPACES_H

#include "cardamom/cap.h"
#include "call.h"

/* The workspaces' part of a traffic thread; TRAFFIC is borrowed.  */
workspaces_t *workspaces_new (cs_traffic_t *traffic,
                              const cs_cap_tolerance_t *tolerance);

/* Set the workspace of CALL, whose request has arrived, from its key.  Returns
   why it is refused, or CS_REFUSED_COUNT.  */
cs_refusal_reason_t workspaces_admit (call_t *call);

/* Whether the configuration in force, as call_update_newest has found it,
   holds the key of CALL no more.  */
bool workspaces_key_is_gone (const call_t *call);

/* Whether CALL may be sent under the cap of its workspace.  If not, it waits
   for the coordinator, and call_start_charged or call_refuse_uncharged
   follows.  */
bool workspaces_charge (call_t *call);

/* CALL ends.  RAN: a server may have run it.  */
void workspaces_end (call_t *call, bool ran);

/* Handle CS_FRAME_CAP_ASK of the node NAME, and answer over STREAM; handle
   CS_FRAME_CAP_GRANT of PEER.  */
void workspaces_handle_ask (cs_traffic_t *traffic, const char *name,
                            cs_stream_t *stream, cs_unpack_cursor_t *in);
void workspaces_handle_grant (peer_t *peer, cs_unpack_cursor_t *in);

/* This node stops: it does not give by the parts of others any more.  */
void workspaces_stop (cs_traffic_t *traffic);

/* Report, ask, and turn to other coordinators.  SLOW_TICK: call it so every
   100 ms, and without it more often.  */
void workspaces_tick (cs_traffic_t *traffic, bool slow_tick, cs_usec_t now);

#endif
