/* The memory that several clients share for bodies of answers, and what one of
   them has of it.  */
#ifndef CARDAMOM_ANSWER_MEMORY_H
#define CARDAMOM_ANSWER_MEMORY_H

#include "cardamom/memory-claim.h"
#include "cardamom/message.h"

typedef struct cs_answer_claim cs_answer_claim_t;

/* In bytes.  One whose length is known claims all of it before more than its
   beginning is read, another one claims a step ahead; short of memory, they
   wait.  Small ones are always read.  */
typedef struct
{
  int64_t max_per_answer; /* Limit for one body.  */
  int64_t max_total;      /* Limit for all that are being received; beyond it
                             the largest fails.  */
  int64_t in_use;         /* By them.  */
  cs_claims_t *claims;    /* Borrowed; NULL: no budget.  */
  /* How often a large one is held while it is passed on; 0: once.  */
  unsigned copies;
  cs_answer_claim_t *largest; /* Of those that are being received.  */
} cs_answer_memory_t;

struct cs_answer_claim
{
  cs_answer_memory_t *memory; /* Borrowed; NULL: nothing is counted.  */
  void *owner;                /* The client.  */
  cs_claim_t claim;
  int64_t received; /* Bytes of the body so far.  */
};

/* Use MEMORY for the answers of OWNER.  */
void cs_answer_claim_init (cs_answer_claim_t *claim,
                           cs_answer_memory_t *memory, void *owner);

/* Count what has come of the body of ANSWER.  Returns the owner of the claim
   that fails for it, which may be CLAIM's own; NULL if none does.  */
void *cs_answer_claim_receive (cs_answer_claim_t *claim,
                               const cs_http1_message_t *answer);

/* Whether there is memory for what follows of ANSWER; and if there is not, the
   bytes that it waits for.  */
bool cs_answer_claim_may_read (cs_answer_claim_t *claim,
                               const cs_http1_message_t *answer);
int64_t cs_answer_claim_wanted (const cs_answer_claim_t *claim,
                                const cs_http1_message_t *answer);

/* Whether there will never be: ANSWER exceeds the whole budget, or it already
   exceeds what is free by as much as one may, and its length is not known.  */
bool cs_answer_claim_is_stuck (const cs_answer_claim_t *claim,
                               const cs_http1_message_t *answer);

/* The answer of CLAIM has ended, and its body is dropped, or handed on: what
   it has of the budget is moved to HEIR, if that is not NULL.  */
void cs_answer_claim_end (cs_answer_claim_t *claim, cs_claim_t *heir);

#endif
