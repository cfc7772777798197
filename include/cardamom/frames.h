/* The messages between nodes, also called frames.  Each payload of a stream
   holds one: a msgpack array whose first element is its kind.  */
#ifndef CARDAMOM_FRAMES_H
#define CARDAMOM_FRAMES_H

#include "cardamom/dispatcher.h"
#include "cardamom/pack.h"

#define CS_FRAMES_VERSION 1

typedef enum
{
  CS_FRAME_HELLO,   /* The first message in each direction.  */
  CS_FRAME_JOB,     /* A job: a request to the node beside the server.  */
  CS_FRAME_OUTCOME, /* The result of a job.  */
  CS_FRAME_CANCEL,  /* The caller of a job has disconnected.  */
  /* Asks for the outcome of a job whose stream broke.  */
  CS_FRAME_QUERY_OUTCOME,
  CS_FRAME_PING,
  CS_FRAME_PONG,
  CS_FRAME_MEMBER,       /* A node's description has changed.  */
  CS_FRAME_CONTROL_FIRST /* This and higher numbers: for the control thread. */
} cs_frame_kind_t;

typedef enum
{
  CS_FRAME_ROW = CS_FRAME_CONTROL_FIRST, /* A row of the platform's table.  */
  /* How fresh the rows of a node that reads the table are.  */
  CS_FRAME_ROWS_FRESHNESS,
  CS_FRAME_VERSION_STATS, /* Call statistics of the version at a node.  */
  CS_FRAME_ROWS_REQUEST,  /* The sender has no rows and asks for all.  */
  CS_FRAME_MOVE_STATE,    /* The state of a move.  */
  /* Crash records; the traffic thread handles them.  */
  CS_FRAME_CRASH_RECORDS,
  /* The limit that the server beside the receiver last named, for a receiver
     that has restarted since; the traffic thread handles it.  */
  CS_FRAME_SERVER_LIMIT,
  /* The names of all rows that the sender holds, after it has sent them.  */
  CS_FRAME_ROWS_COMPLETE,
  /* To the coordinator of usage caps: a pledge, reports of use and asks for
     tokens; and its answer.  The traffic thread handles both.  */
  CS_FRAME_CAP_ASK,
  CS_FRAME_CAP_GRANT,
  /* Before a large body is sent: may the job come?  Answered by
     CS_FRAME_BODY_GO, or by a CS_FRAME_OUTCOME that refuses the job.  The
     traffic thread handles both.  */
  CS_FRAME_BODY_ASK,
  CS_FRAME_BODY_GO,
  /* The sender wants large answers offered: the number of a job and the size
     of its answer, which is kept until it is asked for by its number, or
     CS_FRAME_CANCEL comes.  The traffic thread handles all three.  */
  CS_FRAME_OFFERS_WANTED,
  CS_FRAME_ANSWER_OFFER,
  CS_FRAME_ANSWER_GO
} cs_control_frame_kind_t;

/* A node's description of itself, which it sends to the others.  The nodes
   that a node knows by their descriptions, itself included, are the members of
   the mesh.  */
typedef struct
{
  char name[CS_NAME_SIZE], dc[CS_NAME_SIZE], region[CS_NAME_SIZE];
  char address[CS_NAME_SIZE]; /* IP:PORT where other nodes connect.  */
  int64_t boot_ms; /* Wall time of the node's start, in milliseconds.  */
  /* Grows with each change of the description between two starts.  */
  int64_t revision;
  bool stopping;
  int64_t link_mbps; /* Speed of the host's link; 0: not known.  */
  cs_backend_state_t server_state; /* Of the backend server beside the node. */
  /* All that follows is of that server too; empty and 0 without one.  */
  char service[CS_NAME_SIZE], version[CS_NAME_SIZE], instance[CS_NAME_SIZE];
  int64_t slots;             /* Requests that it runs at once.  */
  int64_t server_started_ms; /* Wall time of its start.  */
  /* For how long the server stays cold, from the time of sending; not stored
     in rows of the platform's table.  */
  cs_usec_t server_cold_left;
} cs_node_info_t;

/* Read a string that fits NAME and holds no NUL; sets CURSOR->failed for any
   other value.  */
void cs_name_unpack (cs_unpack_cursor_t *cursor, char name[CS_NAME_SIZE]);

/* Whether A is a newer description than B of the same node.  */
bool cs_node_info_is_newer (const cs_node_info_t *a, const cs_node_info_t *b);

/* Whether A is asked before B to read the platform's table for their region:
   the one with the faster link, for the rows are large, then by name.  */
bool cs_node_reads_before (const cs_node_info_t *a, const cs_node_info_t *b);

void cs_node_info_pack (cs_pack_t *pack, const cs_node_info_t *info);
/* Sets CURSOR->failed unless a valid description follows.  */
void cs_node_info_unpack (cs_unpack_cursor_t *cursor, cs_node_info_t *info);

/* Pack a whole CS_FRAME_JOB message.  NUMBER identifies the job on its stream.
   With SPLIT, the bytes of the body are left out, and *SPLIT is set to where
   they belong in the payload (cs_stream_send_split).
   cs_dispatch_request_unpack reads what follows the message's kind; the
   strings of REQUEST are views into the payload.  Sets CURSOR->failed for an
   invalid message.  */
void cs_dispatch_request_pack (cs_pack_t *pack, uint64_t number,
                               const cs_dispatch_request_t *request,
                               size_t *split);
void cs_dispatch_request_unpack (cs_unpack_cursor_t *cursor, uint64_t *number,
                                 cs_dispatch_request_t *request);

/* Pack a whole CS_FRAME_BODY_ASK message for REQUEST; read what follows its
   kind.  BYTES is the size of the body, and of REQUEST only what the question
   holds is set.  */
void cs_body_ask_pack (cs_pack_t *pack, uint64_t number,
                       const cs_dispatch_request_t *request);
void cs_body_ask_unpack (cs_unpack_cursor_t *cursor, uint64_t *number,
                         cs_dispatch_request_t *request, size_t *bytes);

/* Read the kind and the number of a job from the first bytes of its message;
   false if they are not those of a CS_FRAME_JOB.  */
bool cs_frame_peek_job (cs_str_t beginning, uint64_t *number);
/* The same for a CS_FRAME_OUTCOME.  */
bool cs_frame_peek_outcome (cs_str_t beginning, uint64_t *number);

/* The same as for jobs, for CS_FRAME_OUTCOME.  NUMBER is that of the job.  */
void cs_outcome_pack (cs_pack_t *pack, uint64_t number,
                      const cs_outcome_t *outcome, size_t *split);
void cs_outcome_unpack (cs_unpack_cursor_t *cursor, uint64_t *number,
                        cs_outcome_t *outcome);

#endif
