/* The control thread of the sidecar: the node's view of the mesh, and its
   access to the platform's table.  */
#ifndef SIDECAR_CONTROL_H
#define SIDECAR_CONTROL_H

#define RCU_MB /* The membarrier system call is not available everywhere.  */
#include <stdatomic.h>
#include <urcu.h>

#include "cardamom/adapter.h"
#include "cardamom/counters.h"
#include "cardamom/event.h"
#include "cardamom/judge.h"
#include "cardamom/server.h"
#include "cardamom/table-reader.h"
#include "cardamom/traffic.h"
#include "cardamom/transit.h"

#include "settings.h"

/* Prefixes of keys in CS_KEYSPACE_MESH.  */
/* The node name follows; the value is a packed cs_node_info_t.  */
#define KEY_NODE_PREFIX "node/"
/* The service name follows; the value is a packed move_record_t.  */
#define KEY_MOVE_PREFIX "move/"

/* The key of a crash record follows; the value is the packed record.  */
#define KEY_CRASH_PREFIX "quarantine/"

/* A node of the mesh, as the traffic thread last described it.  */
typedef struct
{
  cs_node_info_t member;
  bool reachable;
} member_info_t;

/* The heartbeats of one process of a node, for their delay.  */
typedef struct
{
  int64_t boot_ms;
  cs_transit_path_t path;
} heartbeat_path_t;

typedef struct control control_t;

struct control
{
  cs_ctx_t *ctx;
  uv_loop_t loop;
  uv_timer_t tick;
  uv_signal_t term, interrupt, hangup;
  cs_mailbox_t mailbox;
  const char *settings_path;
  node_settings_t settings;
  const cs_adapter_vtable_t *adapter;
  cs_table_t *table;
  cs_traffic_t *traffic;
  cs_http1_server_t *ready_server, *reports_server, *metrics_server;
  int64_t boot_ms;      /* Wall time of the process start.  */
  cs_usec_t started_at; /* The same, on the monotonic clock.  */
  cs_backend_t backend; /* The backend server beside this node.  */
  GHashTable *members;  /* name -> member_info_t *.  */
  /* Rows of CS_KEYSPACE_OPERATOR, and who reads them.  */
  GHashTable *operator_rows; /* key -> cs_table_row_t *.  */
  /* OPERATOR_ROWS has every change up to this revision; { 0 }: not yet read.
   */
  cs_revision_t rows_revision;
  /* The revision that the last watch began at.  */
  cs_revision_t rows_watched_after;
  /* A watch doesn't bring all that the table has: read all rows.  */
  bool rows_overdue;
  unsigned watches_refused; /* Since the last one that was answered.  */
  /* The era of the table, as its answers and other nodes tell it.  */
  int64_t table_era;
  bool era_known;
  /* Until then, rows from before TABLE_ERA that the table lacks may be written
     again.  */
  cs_usec_t rows_settle_at;
  bool settle_read_due; /* Read all rows after that.  */
  /* What the table brings to calls made before may lack that a key was taken
     away; 0: it has not come back from an older copy.  */
  cs_usec_t keys_settle_at;
  /* The first read, which waits for the rows of other nodes; or NULL.  */
  GPtrArray *first_rows;
  cs_revision_t first_rows_revision;
  /* Another node has had other rows at the same revision since then; 0: none.
     After RECONCILE_DELAY its rows are requested.  */
  cs_usec_t rows_differ_since, reconcile_delay;
  cs_usec_t rows_fresh_at; /* When OPERATOR_ROWS was last up to date.  */
  cs_usec_t heartbeat_sent_at, rows_requested_at, table_retry_at;
  cs_usec_t own_read_at; /* Last successful read by this node.  */
  /* Monotonic time; OPERATOR_ROWS hold all that was acknowledged before.
     Unlike ROWS_FRESH_AT, it counts from when a call of the table was made,
     not from its answer.  The traffic thread reads it.  */
  _Atomic int64_t keys_fresh_at;
  cs_usec_t rows_call_sent_at; /* The last read or watch of the rows.  */
  GHashTable *heartbeat_paths; /* node -> heartbeat_path_t *.  */
  bool keys_closed;            /* Requests with a key are refused.  */
  /* This node reads the table although its rank is not 0.  */
  bool acting_reader;
  /* When the last heartbeat was received that reported rows no older than
     REPORTED_ROWS_AGE_MAX.  */
  cs_usec_t heartbeat_received_at;
  /* When the startup reached STARTUP_READ_OPERATOR_ROWS.  */
  cs_usec_t rows_awaited_since;
  /* CLOCK_BOOTTIME less CLOCK_MONOTONIC: the time the host was suspended.  */
  cs_usec_t suspended_total;
  cs_usec_t last_tick_at;
  unsigned startup_step; /* A STARTUP_ constant below.  */
  /* Consecutive failures of startup steps, reads and watches of the table.
     Writes of moves and later writes of the node's row do not count.  */
  unsigned table_failures;
  /* BACKEND.generation that the node's row in CS_KEYSPACE_MESH was made from:
     of the stored row, and of the one that is being written.  */
  uint64_t node_row_stored_generation;
  uint64_t node_row_pending_generation;
  cs_usec_t node_row_retry_at; /* No write of the row before this time.  */
  bool node_row_lost; /* The table came back from a copy that may lack it.  */
  bool node_row_writing;
  cs_node_info_t previous_self; /* The row that the previous process wrote.  */
  bool resume_pending;          /* Its backend server is yet to be checked.  */
  struct cs_http1_client *health_check;
  bool registered; /* The table has this node's row.  */
  /* The table had rows of nodes when this process began: of others, or of the
     process before it.  */
  bool table_has_nodes;
  bool region_has_peers;   /* The table has rows of others of the region.  */
  bool table_call_pending; /* A read, a watch or the registration runs.  */
  /* The last startup step, read, watch or write of a move in the table ended
     with CS_OK, CS_CONFLICT or CS_NOT_FOUND.  Later writes of the node's row
     do not change it.  */
  bool table_up;
  cs_snapshot_t *snapshot; /* Published to the traffic thread.  */
  GHashTable *moves;       /* service -> tracked_move_t *.  */
  /* cs_record_t *, to be written to CS_KEYSPACE_MESH, the first one now if
     CRASH_ROW_WRITING is set.  */
  GQueue crash_rows;
  cs_usec_t crash_row_retry_at; /* No write of them before this time.  */
  bool crash_row_writing;
  bool stopping;
};

static inline cs_usec_t
control_now (const control_t *control)
{
  return control->ctx->clock->monotonic (control->ctx->clock);
}

/* control.c */
/* Run the node until a stop signal; the process then exits with status 0.
   Exits with 1 or 2 when it cannot start.  */
void control_run (cs_ctx_t *ctx, const char *settings_path);
/* Log and publish a change of the backend server's state since the generation
   BEFORE that no report brought; WHY says what did.  */
void control_publish_backend_change (control_t *control, uint64_t before,
                                     const char *why);

/* operator-rows.c */
/* Whether what this node knows of keys now will be recent enough at AT.  */
bool rows_view_allows_keys (const control_t *control, cs_usec_t at);
/* Find out whether requests with a key may be served, and log a change.  */
void rows_check_keys (control_t *control, cs_usec_t now);

/* rows-exchange.c */
/* Handle CS_FRAME_ROW and CS_FRAME_ROWS_FRESHNESS, the heartbeat of a node
   that reads the table.  FROM is the node that sent the frame; a malformed
   frame sets IN->failed.  */
void rows_handle_row (control_t *control, const char *from,
                      cs_unpack_cursor_t *in);
void rows_handle_freshness (control_t *control, const char *from,
                            cs_unpack_cursor_t *in);
/* Handle CS_FRAME_ROWS_COMPLETE: remove the rows that are no more.  */
void rows_handle_complete (control_t *control, cs_unpack_cursor_t *in);
/* Handle CS_FRAME_ROWS_REQUEST: send all operator rows, and the states of
   moves, to NODE.  */
void rows_handle_request (control_t *control, const char *node,
                          cs_unpack_cursor_t *in);
/* Request the operator rows from NODE, unless the last request was sent less
   than a minimum interval ago.  */
void rows_request (control_t *control, const char *node);

/* rows-reader.c */
void rows_tick (control_t *control, cs_usec_t now);
/* The rank of this node, by name, among the reachable nodes of its region that
   are not stopping; with INCLUDE_UNREACHABLE, among all known ones.  Rank 0
   reads the table.  */
unsigned rows_reader_rank (const control_t *control, bool include_unreachable);
/* Delay the next call of the table after one that failed.  */
void rows_back_off (control_t *control);
/* A cs_table_callback_t for a read of CS_KEYSPACE_OPERATOR.  */
void rows_on_read (void *user, cs_status_t status, GPtrArray *rows,
                   cs_revision_t revision);

/* table-era.c */
/* Note that the table is in ERA, and log and count a rise.  */
void control_note_era (control_t *control, int64_t era);
/* Check the answer to a call of the table before it is used.  Returns STATUS,
   or CS_UNKNOWN if the answer is of an earlier era.  Sets the era of ROWS and
   of *REVISION to the one known if the answer names none.  */
cs_status_t control_check_answer (control_t *control, cs_status_t status,
                                  GPtrArray *rows, cs_revision_t *revision);
/* How long after a rise of the table's era the row NAME is written again, so
   that not all nodes write at once.  */
cs_usec_t control_rewrite_delay (const char *name);
/* Whether at NOW the operator has had the time to write again what the table
   has lost with the last rise of its era.  For what a call brings, NOW is the
   time at which it was made.  */
bool control_era_is_settled (const control_t *control, cs_usec_t now);
/* Set TABLE_UP from the STATUS of a call of the table, and log a change.  */
void control_note_table (control_t *control, cs_status_t status);

/* startup.c */
/* Time by which the nodes that know the address of a process that has started
   are connected to it: they try again after 2 s at the latest.  */
#define STARTUP_MEETING_TIME (3 * CS_SEC)

enum
{
  STARTUP_READ_MESH,
  STARTUP_REGISTER,
  STARTUP_READ_OPERATOR_ROWS
};

/* Write the node's row in CS_KEYSPACE_MESH when the state of the backend
   server has changed, or the table has lost it.  */
void startup_sync_node_row (control_t *control, cs_usec_t now);
/* Request the operator rows from a random reachable node of the region; false
   when there is none.  */
bool startup_request_rows (control_t *control);
/* Whether what this node reads is to wait for the rows of the other nodes of
   its region, which may be later than the table's.  */
bool startup_awaits_peers (const control_t *control);
/* Run the current startup step; RANK is from rows_reader_rank.  */
void startup_run_step (control_t *control, unsigned rank, cs_usec_t now);

/* crash-rows.c */
/* Write RECORD, a crash record, to the table; CONTROL owns it.  */
void crash_rows_store (control_t *control, cs_record_t *record);
/* Handle a row of CS_KEYSPACE_MESH with the prefix KEY_CRASH_PREFIX.  */
void crash_rows_handle_row (control_t *control, const cs_table_row_t *row);
void crash_rows_tick (control_t *control, cs_usec_t now);
/* The table came back from an older copy: write the records again.  */
void crash_rows_note_era (control_t *control);

/* resume.c */
/* Remember MEMBER, this node's row from before the restart, so that
   resume_tick can check its backend server.  */
void resume_schedule (control_t *control, const cs_node_info_t *member);
/* Start the check once a configuration is in force.  */
void resume_tick (control_t *control);

/* moves.c */
/* Handle an operator's request for a move, a row of CS_KEYSPACE_OPERATOR.  */
void moves_handle_request (control_t *control, const cs_table_row_t *row);
/* Handle a row of CS_KEYSPACE_MESH; those of other kinds are ignored.  */
void moves_handle_row (control_t *control, const cs_table_row_t *row);
/* Handle CS_FRAME_MOVE_STATE, the heartbeat of a move's owner, and
   CS_FRAME_VERSION_STATS, the evidence that a node reports to the owner (in
   evidence.c).  FROM is the node that sent the frame; a malformed frame sets
   IN->failed.  */
void moves_handle_state (control_t *control, const char *from,
                         cs_unpack_cursor_t *in);
void moves_handle_evidence (control_t *control, const char *from,
                            cs_unpack_cursor_t *in);
/* Send the states of all moves to NODE, also of those that are concluded.  */
void moves_send_all (control_t *control, const char *node);
/* A process of NODE has become reachable: send it the states of the moves that
   this node writes again (move-rewrite.c), for the table may have lost them.
   */
void moves_tell_process (control_t *control, const char *node);
/* The table came back from an older copy: write the states of moves again.  */
void moves_note_era (control_t *control);
void moves_tick (control_t *control, cs_usec_t now);

/* endpoints.c */
/* Listen for requests to the node itself.  CS_UNAVAILABLE when an address
   cannot be bound.  */
cs_status_t endpoints_listen (control_t *control);

#endif
