/* What nodes say to each other: the payloads of their streams.  */
#ifndef CARDAMOM_FRAMES_H
#define CARDAMOM_FRAMES_H

#include "cardamom/pack.h"
#include "cardamom/run.h"

#define CS_FRAMES_VERSION 1

typedef enum
{
  CS_FRAME_HELLO,   /* Both ways, first.  */
  CS_FRAME_JOB,     /* To the node beside the server.  */
  CS_FRAME_OUTCOME, /* Back.  */
  CS_FRAME_CANCEL,  /* The caller of a job has left.  */
  CS_FRAME_ASK,     /* What became of a job sent on a broken stream?  */
  CS_FRAME_PING,
  CS_FRAME_PONG,
  CS_FRAME_MEMBER, /* A node's description has changed.  */
  CS_FRAME_CONTROL /* From here on: for the control thread.  */
} cs_frame_t;

typedef enum
{
  CS_FRAME_ROW = CS_FRAME_CONTROL, /* A row of the platform's table.  */
  CS_FRAME_SYNC,                   /* How fresh a reader's rows are.  */
  CS_FRAME_EVIDENCE,               /* What versions did at a node.  */
  CS_FRAME_WANT,                   /* A node without rows asks for them.  */
  CS_FRAME_MOVE                    /* Where a version move stands.  */
} cs_control_frame_t;

/* A node as it describes itself.  */
typedef struct
{
  char name[CS_LIFE_TEXT], dc[CS_LIFE_TEXT], region[CS_LIFE_TEXT];
  char address[CS_LIFE_TEXT]; /* For streams.  */
  int64_t boot;               /* Wall milliseconds of its start.  */
  int64_t change;             /* Grows with each change in one life.  */
  bool stopping;
  cs_life_state_t state; /* Of the server beside it.  */
  char service[CS_LIFE_TEXT], version[CS_LIFE_TEXT], instance[CS_LIFE_TEXT];
  int64_t slots, born_ms;
} cs_member_t;

/* A text without NUL that fits NAME; sets CURSOR->bad for any other.  */
void cs_name_take (cs_cursor_t *cursor, char name[CS_LIFE_TEXT]);

/* Whether A is newer than B about the same node.  */
bool cs_member_newer (const cs_member_t *a, const cs_member_t *b);

void cs_member_pack (cs_pack_t *pack, const cs_member_t *member);
/* Sets CURSOR->bad for anything that is no member.  */
void cs_member_take (cs_cursor_t *cursor, cs_member_t *member);

void cs_job_pack (cs_pack_t *pack, uint64_t number, const cs_job_t *job);
void cs_job_take (cs_cursor_t *cursor, uint64_t *number, cs_job_t *job);

void cs_outcome_pack (cs_pack_t *pack, uint64_t number,
                      const cs_outcome_t *outcome);
void cs_outcome_take (cs_cursor_t *cursor, uint64_t *number,
                      cs_outcome_t *outcome);

#endif
