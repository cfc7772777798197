/* Idempotency keys in the daemon: the keeper in the control thread, and the
   caller's side that claims a key before a run.  */
#ifndef CARDAMOM_ONCE_NODE_H
#define CARDAMOM_ONCE_NODE_H

#include "control-internal.h"

/* Verdicts beyond cs_claim_result_t.  */
enum
{
  VERDICT_RETRY = 100, /* Views disagree for now.  */
  VERDICT_UNVOUCHED    /* The record may have been lost.  */
};

/* The keeper, in the control thread.  */

keeper_t *keeper_new (control_t *control);
void keeper_drop (control_t *control, keeper_t *keeper);
void keeper_tick (control_t *control);
void keeper_take_frame (control_t *control, const char *from,
                        cs_unpack_cursor_t *in);
void keeper_take_answer (control_t *control, const char *from,
                         cs_unpack_cursor_t *in);
/* A member's record has changed; may concern a death or a return.  */
void keeper_on_record (control_t *control, const cs_record_t *record);
/* Ask the first keeper of WANTED's key; the verdict plus one becomes the
   status of the result of call CALL_ID.  */
void keeper_ask (control_t *control, uint64_t call_id,
                 const cs_idempotency_record_t *wanted);
/* Tell the keepers that RECORD's request, taken over, ran or certainly did
   not.  */
void keeper_settle (control_t *control, bool ran,
                    cs_idempotency_record_t *record);
/* This node has joined and is about to be in service.  */
void keeper_joined (control_t *control);

/* The caller's side, in callers' threads.  */

typedef enum
{
  KEY_GRANTED,  /* Run the request and call key_finish.  */
  KEY_REPLAY,   /* It ran before; the answer is in *ANSWER.  */
  KEY_UNKNOWN,  /* It may have run before, and no answer is held.  */
  KEY_MISMATCH, /* The key belongs to another request.  */
  KEY_BUSY      /* Its run is under way and did not end in time.  */
} key_verdict_t;

/* A key that this node has claimed.  */
typedef struct
{
  char *key;
  uint64_t claim;
  uint64_t print;
} key_claim_t;

/* Claim KEY for the request with PRINT, waiting until DEADLINE at most.  On
   KEY_REPLAY *ANSWER is filled.  */
key_verdict_t key_claim (node_t *node, cs_ctx_t *ctx, const char *key,
                         uint64_t print, cs_usec_t deadline,
                         key_claim_t *claim, caller_answer_t *answer);

/* The run of CLAIM has ended with ANSWER; clears CLAIM.  */
void key_finish (node_t *node, key_claim_t *claim,
                 const caller_answer_t *answer);

#endif
