/* Version moves as nodes store, send and follow them, shared by moves.c,
 * evidence.c and move-owner.c.  */
#ifndef SIDECAR_MOVES_INTERNAL_H
#define SIDECAR_MOVES_INTERNAL_H

#include "cardamom/move.h"
#include "control.h"

/* The state of a move, as its row in CS_KEYSPACE_MESH and the owner's
   heartbeats hold it.  */
typedef struct
{
  cs_revision_t request_revision; /* Of the operator's row.  */
  int64_t epoch; /* Number of the ownership: grows with each new owner.  */
  int64_t step;  /* Grows with each write by the same owner.  */
  char owner[CS_NAME_SIZE]; /* The node that decides and writes its steps.  */
  char baseline[CS_NAME_SIZE];  /* The version before the move.  */
  char candidate[CS_NAME_SIZE]; /* The version that is moved to.  */
  int64_t share_permille;       /* Of requests, to the candidate.  */
  cs_move_state_t phase;
  int64_t start_ms, deadline_ms; /* Wall time.  */
  /* Requests since the move was requested, as counted by the owner.  They
     change without a new STEP.  */
  int64_t total_requests;     /* To the service.  */
  int64_t candidate_requests; /* Of these, to the candidate.  */
} move_record_t;

/* The last report of a node on the backend server beside it.  */
typedef struct
{
  char version[CS_NAME_SIZE], instance[CS_NAME_SIZE];
  int64_t outstanding; /* Requests running or queued there.  */
  cs_usec_t received_at;
  GHashTable *stats_by_route; /* route -> cs_call_stats_t *, cumulative.  */
} node_evidence_t;

/* A move of a service, as this node follows it or, as its owner, runs it.  */
typedef struct
{
  control_t *control;
  char service[CS_NAME_SIZE];
  cs_move_request_t request;
  /* By which the request is known; { 0 }: none was made.  */
  cs_revision_t request_revision;
  cs_revision_t row_of_request;      /* The last row that held it.  */
  cs_move_request_t earlier_request; /* The one before.  */
  /* Other nodes may know the request by a row that the table has lost.  */
  bool request_may_be_again;
  /* When this node first received the request, on the monotonic clock and as
     wall time.  */
  cs_usec_t requested_at;
  int64_t requested_wall_ms;
  move_record_t state;
  cs_revision_t row_revision; /* Of the stored row with STATE; { 0 }: none. */
  /* The status row that operators read, as last written here.  */
  cs_revision_t published_request_revision;
  cs_move_state_t published_phase;
  bool has_state;           /* STATE is set.  */
  cs_usec_t owner_heard_at; /* Last heartbeat of an owner that can write.  */
  bool owned;               /* This node is the owner.  */
  bool write_pending;
  /* The table came back from an older copy: write STATE again.  */
  bool rewrite_due, rewriting;
  move_record_t pending_state; /* Being written.  */
  cs_usec_t next_write_at;     /* No write before this time.  */
  /* Last successful write of a step; 0 when this node has become the owner by
     a write whose answer was lost.  */
  cs_usec_t share_since;
  cs_usec_t write_started_at;
  cs_usec_t write_duration; /* Of the last write that succeeded.  */
  bool last_write_failed;
  cs_usec_t last_tick_at;
  /* Used while this node is the owner.  */
  cs_usec_t evidence_logged_at;
  cs_evaluation_t *evaluation; /* Compares the candidate with the baseline.  */
  cs_exposure_t exposure;
  int64_t earlier_total, earlier_candidate; /* Counts of earlier owners.  */
  GHashTable *evidence;                     /* node -> node_evidence_t *.  */
  GString *rollback_reason;                 /* Empty: not rolled back.  */
} tracked_move_t;

/* move-record.c */
/* Pack STATE of the move of SERVICE, with the frame type; CAN_WRITE tells
   whether its owner can write to the table.  */
void move_record_pack (cs_pack_t *pack, const char *service,
                       const move_record_t *state, bool can_write);
/* Unpack the fields after the frame type; malformed ones set IN->failed.  The
   request is of ERA if the sender is of a release without eras.  Returns
   whether the owner can write to the table.  */
bool move_record_unpack (cs_unpack_cursor_t *in, int64_t era,
                         char service[CS_NAME_SIZE], move_record_t *state);
/* Whether A is a later state than B of a move of the same service.  */
bool move_record_is_newer (const move_record_t *a, const move_record_t *b);

/* move-orders.c */
/* STATE is new to this process: if it follows the request that MOVE holds,
   which the operator has written again since, have MOVE hold the request as
   STATE names it.  */
void move_match_request (tracked_move_t *move, const move_record_t *state);

/* moves.c */
/* The move of SERVICE; created if there is none.  */
tracked_move_t *move_find_or_add (control_t *control, const char *service);
/* This node doesn't own MOVE any more.  */
void move_release (tracked_move_t *move);
int64_t move_wall_ms (const control_t *control);
/* Have the traffic thread route by the state of MOVE.  */
void move_apply (tracked_move_t *move);
/* Write STATE, which is copied, to the row of MOVE unless another node has
   written there since.  It takes effect when the write succeeds.  */
void move_write_state (tracked_move_t *move, const move_record_t *state);

/* The rank of this node among those that may own moves of MOVE's service.  */
unsigned move_owner_rank (const tracked_move_t *move);

/* move-send.c */
/* Send the state of MOVE, if it has one, to NODE.  */
void move_send_record (const tracked_move_t *move, const char *node);
/* Send the state of MOVE to all nodes, as the heartbeat of its owner.  Only
   the owner calls it.  */
void move_send_state (tracked_move_t *move);

/* move-rewrite.c */
/* Write the state of MOVE again if that is due.  */
void move_rewrite (tracked_move_t *move, cs_usec_t now);
/* The first state of MOVE has come from another node, not from the table,
   which may have lost it.  */
void move_note_first_state (tracked_move_t *move);

/* evidence.c */
/* Requests running or queued at the servers of the candidate.  */
int64_t move_candidate_outstanding (const tracked_move_t *move);
/* Free a node_evidence_t, as a GDestroyNotify.  */
void move_evidence_free (void *evidence);

/* move-owner.c: decide on the next step of MOVE, which this node owns.  */
void move_owner_tick (tracked_move_t *move, cs_usec_t now);

#endif
