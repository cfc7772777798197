#include "cardamom/answer-memory.h"

/* What is claimed ahead for an answer whose length is not known.  */
#define STEP_BYTES (256 * 1024)

void
cs_answer_claim_init (cs_answer_claim_t *claim, cs_answer_memory_t *memory,
                      void *owner)
{
  *claim = (cs_answer_claim_t){ .memory = memory,
                                .owner = owner,
                                .claim = { .claims = memory->claims } };
}

static bool
length_is_known (const cs_http1_message_t *answer)
{
  return !(answer->parser.flags & F_CHUNKED)
         && answer->parser.content_length != UINT64_MAX;
}

void *
cs_answer_claim_receive (cs_answer_claim_t *claim,
                         const cs_http1_message_t *answer)
{
  cs_answer_memory_t *memory = claim->memory;
  if (!memory)
    return NULL;
  int64_t received = (int64_t)answer->body->len;
  memory->in_use += received - claim->received;
  claim->received = received;
  cs_claim_count (&claim->claim, received);
  if (!memory->largest || received > memory->largest->received)
    memory->largest = claim;
  return memory->in_use > memory->max_total ? memory->largest->owner : NULL;
}

/* What CLAIM needs in all before more of ANSWER is read.  */
static int64_t
needed_bytes (const cs_answer_claim_t *claim, const cs_http1_message_t *answer)
{
  int64_t received = (int64_t)answer->body->len;
  if (!claim->memory || !answer->head_complete || answer->skip_body)
    return 0;
  int64_t copies = MAX (claim->memory->copies, 1);
  /* The parser counts down what is left.  */
  if (length_is_known (answer))
    {
      int64_t whole = received + (int64_t)answer->parser.content_length;
      return whole > CS_SMALL_BODY_MAX ? whole * copies : whole;
    }
  return received <= CS_SMALL_BODY_MAX / 2
                 || (received + CS_SMALL_BODY_MAX) * copies
                        <= claim->claim.bytes
             ? 0
             : (received + STEP_BYTES) * copies;
}

bool
cs_answer_claim_may_read (cs_answer_claim_t *claim,
                          const cs_http1_message_t *answer)
{
  return cs_claim_grow (&claim->claim, needed_bytes (claim, answer));
}

int64_t
cs_answer_claim_wanted (const cs_answer_claim_t *claim,
                        const cs_http1_message_t *answer)
{
  return needed_bytes (claim, answer) - claim->claim.bytes;
}

bool
cs_answer_claim_is_stuck (const cs_answer_claim_t *claim,
                          const cs_http1_message_t *answer)
{
  return (claim->claim.overdrawn && !length_is_known (answer))
         || !cs_memory_budget_may_fit (claim->memory->claims->budget,
                                       needed_bytes (claim, answer));
}

void
cs_answer_claim_end (cs_answer_claim_t *claim, cs_claim_t *heir)
{
  cs_answer_memory_t *memory = claim->memory;
  if (!memory)
    return;
  memory->in_use -= claim->received;
  claim->received = 0;
  if (memory->largest == claim)
    memory->largest = NULL;
  if (!heir)
    {
      cs_claim_release (&claim->claim);
      return;
    }
  *heir = claim->claim;
  claim->claim = (cs_claim_t){ .claims = memory->claims };
}
