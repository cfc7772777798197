/* The traffic thread of cardamom-sidecar, which handles all requests of
   callers and the streams to other nodes, as the control thread uses it.  */
#ifndef CARDAMOM_TRAFFIC_H
#define CARDAMOM_TRAFFIC_H

#include "cardamom/cap.h"
#include "cardamom/frames.h"
#include "cardamom/freshness.h"
#include "cardamom/retry-window.h"
#include "cardamom/server.h"
#include "cardamom/snapshot.h"

typedef struct cs_traffic cs_traffic_t;

/* Callbacks, called on the traffic thread.  */
typedef struct
{
  /* A control payload came from NODE.  The callee owns PAYLOAD.  */
  void (*control_received) (void *user, const char *node, GString *payload);
  /* A node was added, changed, or became reachable or unreachable.  */
  void (*member_changed) (void *user, const cs_node_info_t *info,
                          bool reachable);
  /* The backend server beside this node refuses connections.  */
  void (*server_lost) (void *user);
  /* The backend server beside this node says in an answer that it leaves.  */
  void (*server_leaving) (void *user);
  /* RECORD, a crash record, must outlast all nodes.  It is borrowed.  */
  void (*crash_record_lasting) (void *user, const cs_record_t *record);
  /* After cs_traffic_stop: no request is in flight any more, or the grace
     period is nearly over.  May be called more than once.  */
  void (*stopped) (void *user);
} cs_traffic_handler_t;

typedef struct
{
  const char *caller_address; /* IP:PORT where callers connect.  */
  const char *peer_address;   /* IP:PORT where other nodes connect.  */
  cs_node_info_t self; /* This node's description for the other nodes.  */
  const char *caller_service; /* Service named to backend servers as the
                                 caller; empty: none is named.  */
  cs_retry_window_settings_t retry_window;
  /* Memory bounds for answers of the backend server beside this node.  */
  cs_answer_memory_t answer_memory;
  int64_t memory_max; /* For bodies and large messages, in bytes; 0: any.  */
  /* Time from the stop signal to the forced end of the process.  */
  cs_usec_t grace_period;
  cs_snapshot_t **snapshot; /* RCU pointer to the configuration in force, set
                               by the control thread.  */
  cs_cap_tolerance_t cap_tolerance; /* Beyond the caps of workspaces.  */
  cs_freshness_settings_t freshness;
  /* The monotonic time up to which the control thread knows all that operators
     have written; 0: nothing.  */
  const _Atomic int64_t *keys_fresh_at;
} cs_traffic_settings_t;

/* Create the traffic thread's state and its listeners; strings are copied.
   Returns NULL when an address cannot be listened on, with the error in
   CTX.  */
cs_traffic_t *cs_traffic_new (cs_ctx_t *ctx,
                              const cs_traffic_settings_t *settings,
                              const cs_traffic_handler_t *handler, void *user);

/* Start the thread.  The functions below may then be called from any thread;
   they copy their arguments and take effect later, on the traffic thread.  */
void cs_traffic_start (cs_traffic_t *traffic);

/* Set the state of the backend server beside this node, from its status
   reports.  */
void cs_traffic_set_server_state (cs_traffic_t *traffic,
                                  const cs_backend_t *backend);

/* The backend server has reported that it is cold until WARM_AT.  */
void cs_traffic_set_server_warm_at (cs_traffic_t *traffic, cs_usec_t warm_at);

/* Nothing is sent to servers of the data centres DCS, a NULL-terminated list,
   and to those of all others again.  Takes ownership of DCS.  */
void cs_traffic_set_evacuated (cs_traffic_t *traffic, char **dcs);

/* Add INFO as a node of the mesh, or update it if it is newer than what is
   known.  */
void cs_traffic_update_member (cs_traffic_t *traffic,
                               const cs_node_info_t *info);

/* Take over RECORD, a stored crash record.  */
void cs_traffic_add_crash_record (cs_traffic_t *traffic,
                                  const cs_record_t *record);

/* Report all records of requests in quarantine once more, as with
   crash_record_lasting.  */
void cs_traffic_repeat_crash_records (cs_traffic_t *traffic);

/* How a service's requests are split between its versions.  */
typedef struct
{
  char service[CS_NAME_SIZE];
  char baseline[CS_NAME_SIZE];  /* The baseline version.  */
  char candidate[CS_NAME_SIZE]; /* The candidate version; empty: none.  */
  int64_t candidate_permille;   /* Share of requests for CANDIDATE.  */
  int64_t move_revision; /* Revision of the row that requested the move.  */
} cs_version_split_t;

void cs_traffic_set_version_split (cs_traffic_t *traffic,
                                   const cs_version_split_t *split);

/* Set what callers may send, and how long they may take.  */
void cs_traffic_set_limits (cs_traffic_t *traffic,
                            const cs_http1_server_limits_t *limits);

/* Send the control PAYLOAD to NODE, or with NODE NULL to all nodes in REGION
   (NULL: in every region).  */
void cs_traffic_send_control (cs_traffic_t *traffic, const char *node,
                              const char *region, cs_str_t payload);

/* Send NODE the call statistics of the version that runs beside this node.  */
void cs_traffic_send_version_stats (cs_traffic_t *traffic, const char *node);

/* Drain: refuse new requests for the backend server beside this node, let
   those in flight end, and call the STOPPED callback.  */
void cs_traffic_stop (cs_traffic_t *traffic);

#endif
