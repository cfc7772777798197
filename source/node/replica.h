/* Idempotency keys in the daemon: the replicas of their records, in the
   control thread, and the claims of keys, in callers' threads.  */
#ifndef CARDAMOM_REPLICA_H
#define CARDAMOM_REPLICA_H

#include "control-internal.h"

/* Answers to a claim besides cs_claim_result_t.  */
enum
{
  CLAIM_RETRY = 100, /* The nodes differ, for now, on which members are the
                        replicas, or a handover is not complete.  */
  CLAIM_UNAVAILABLE  /* The record may have been lost, the data centre has no
                        quorum, or --dcs is incomplete.  */
};

/* This node as a replica and as a claimant, in the control thread.  */

replica_t *replica_new (control_t *control);
void replica_drop (control_t *control, replica_t *replica);
/* Do what is due; called at every tick of the control thread.  */
void replica_tick (control_t *control);
/* Handle a FRAME_IDEMPOTENCY of the node FROM.  */
void replica_handle_message (control_t *control, const char *from,
                             cs_unpack_cursor_t *in);
/* Handle a FRAME_IDEMPOTENCY_ANSWER of the node FROM.  */
void replica_handle_answer (control_t *control, const char *from,
                            cs_unpack_cursor_t *in);
/* RECORD is new: store it if it is a loss of replicas whose key begins with
   the name of this data centre.  */
void replica_on_record (control_t *control, const cs_record_t *record);
/* Send a claim for WANTED to the first replica of its key.  The result of call
   CALL_ID gets the answer, a cs_claim_result_t or CLAIM_*, plus one as its
   status, and the stored result of a finished request as its body.  */
void replica_send_claim (control_t *control, uint64_t call_id,
                         const cs_idempotency_record_t *wanted);
/* Report to the replicas of RECORD, which is taken over, that its request ran
   or may have run, or, if not MAY_HAVE_RUN, that it has certainly not run.  */
void replica_send_outcome (control_t *control, bool may_have_run,
                           cs_idempotency_record_t *record);
/* Called before this node enters service.  If no other member of its data
   centre is in service, publishes the earlier records as lost.  */
void replica_before_joining (control_t *control);

/* Claims of keys, in callers' threads.  */

typedef enum
{
  KEY_GRANTED,  /* Run the request and call key_finish.  */
  KEY_REPLAYED, /* It ran before; the answer is in *ANSWER.  */
  KEY_UNKNOWN,  /* It may have run before; no answer is stored.  */
  KEY_MISMATCH, /* The key belongs to another request.  */
  KEY_IN_FLIGHT /* Its run is in flight and did not end before the deadline. */
} key_claim_result_t;

/* A claim of a key by this node.  */
typedef struct
{
  char *key;
  uint64_t claim_id;
  uint64_t fingerprint;
} key_claim_t;

/* Claim KEY for the request with FINGERPRINT, waiting until DEADLINE at most.
   On KEY_GRANTED *CLAIM is set, for key_finish; on KEY_REPLAYED *ANSWER is,
   which the caller clears.  */
key_claim_result_t key_claim (node_t *node, cs_ctx_t *ctx, const char *key,
                              uint64_t fingerprint, cs_usec_t deadline,
                              key_claim_t *claim, caller_answer_t *answer);

/* End CLAIM: the request has ended with ANSWER, which is stored with the
   key.  */
void key_finish (node_t *node, key_claim_t *claim,
                 const caller_answer_t *answer);

#endif
