/* Claims of idempotency keys, in callers' threads: a key is claimed from its
   replicas before its request runs, and its outcome is reported to them.  */
#include <string.h>

#include "replica.h"

#define CLAIM_TIMEOUT (800 * CS_MSEC) /* For one answer of a replica.  */
/* Between two claims, doubled each time.  */
#define RETRY_DELAY_MIN_US 5000
#define RETRY_DELAY_MAX_US 100000

/* A claim or an outcome on its way to the control thread.  */
typedef struct
{
  uint64_t call_id;  /* Of a claim.  */
  bool may_have_run; /* Of an outcome.  */
  cs_idempotency_record_t *record;
} key_message_t;

/* send_claim, send_outcome and read_boot run in the control thread.  */

static void
send_claim (control_t *control, void *arg)
{
  key_message_t *message = arg;
  replica_send_claim (control, message->call_id, message->record);
  cs_idempotency_record_free (message->record);
}

static void
send_outcome (control_t *control, void *arg)
{
  key_message_t *message = arg;
  replica_send_outcome (control, message->may_have_run, message->record);
}

static void
read_boot (control_t *control, void *arg)
{
  *(uint64_t *)arg = cs_members_self (control_members (control))->boot;
}

/* The record of CLAIM as it is sent to replicas.  */
static cs_idempotency_record_t *
make_record (node_t *node, cs_ctx_t *ctx, const key_claim_t *claim)
{
  cs_idempotency_record_t *record = g_new0 (cs_idempotency_record_t, 1);
  record->key = g_strdup (claim->key);
  record->owner = g_strdup (node->settings.node);
  record->owner_boot_id = atomic_load (&node->boot);
  record->claim_id = claim->claim_id;
  record->fingerprint = claim->fingerprint;
  record->expires_ms = cs_now_wall (ctx) / CS_MSEC
                       + node->settings.idempotency_retention_s * 1000;
  return record;
}

/* Send the claim once.  Returns the answer, a cs_claim_result_t or CLAIM_*, or
   -1 if none arrived in time.  On CS_CLAIM_DONE *STORED_ANSWER is set, which
   the caller frees.  */
static int
request_claim (node_t *node, cs_ctx_t *ctx, const key_claim_t *claim,
               cs_usec_t deadline, GString **stored_answer)
{
  key_message_t *message = g_new0 (key_message_t, 1);
  pending_call_t *pending_call = calls_add (node->calls, &message->call_id);
  uint64_t call_id = message->call_id;
  message->record = make_record (node, ctx, claim);
  control_post (node->control, send_claim, message, g_free);
  call_result_t *result
      = calls_wait (node->calls, call_id, pending_call,
                    MIN (deadline, cs_now (ctx) + CLAIM_TIMEOUT));
  int claim_result = result ? result->status - 1 : -1;
  if (claim_result == CS_CLAIM_DONE)
    {
      *stored_answer = result->body;
      result->body = NULL;
    }
  call_result_free (result);
  return claim_result;
}

/* A stored answer is [status, body, name, value, ...].  */

static cs_str_t
pack_answer (cs_pack_t *pack, const caller_answer_t *answer)
{
  guint headers = answer->headers ? answer->headers->len : 0;
  cs_pack_init (pack);
  cs_pack_array (pack, 2 + 2 * (size_t)headers);
  cs_pack_int64 (pack, answer->status);
  cs_pack_bytes (pack, answer->body ? cs_str_of_gstring (answer->body)
                                    : (cs_str_t){ 0 });
  for (guint i = 0; i < headers; i++)
    {
      const cs_header_t *header = answer->headers->pdata[i];
      cs_pack_text (pack, header->name);
      cs_pack_text (pack, header->value);
    }
  return cs_pack_payload (pack);
}

/* Fill ANSWER from STORED_ANSWER; FALSE if it is malformed.  */
static bool
unpack_answer (cs_ctx_t *ctx, const GString *stored_answer,
               caller_answer_t *answer)
{
  cs_unpack_t unpack;
  cs_unpack_cursor_t in;
  if (cs_unpack_init (ctx, &unpack, cs_str_of_gstring (stored_answer), &in)
      != CS_OK)
    return false;
  *answer = (caller_answer_t){ .outcome = OUTCOME_DONE,
                               .replayed = true,
                               .headers = cs_headers_new () };
  answer->status = (int)cs_unpack_int64 (&in);
  cs_str_t body = cs_unpack_str (&in);
  answer->body = g_string_new_len (body.data, (gssize)body.len);
  while (in.remaining && !in.failed)
    {
      char *name = cs_unpack_text (&in), *value = cs_unpack_text (&in);
      cs_headers_add (answer->headers, name, value);
      g_free (name);
      g_free (value);
    }
  cs_unpack_clear (&unpack);
  return !in.failed;
}

/* Fill ANSWER from STORED_ANSWER, which is freed.  */
static void
replay_answer (cs_ctx_t *ctx, GString *stored_answer, caller_answer_t *answer)
{
  cs_counter_add (CS_C_ONCE_REPLAYS, 1);
  if (stored_answer->len == 0 || !unpack_answer (ctx, stored_answer, answer))
    *answer = (caller_answer_t){
      .outcome = OUTCOME_DONE,
      .replayed = true,
      .status = 410,
      .body = g_string_new ("the request ran; its answer is no longer held\n"),
    };
  g_string_free (stored_answer, TRUE);
}

/* Report the end of CLAIM to its replicas; see replica_send_outcome.  RESULT
   may be NULL.  */
static void
end_claim (node_t *node, cs_ctx_t *ctx, key_claim_t *claim, bool may_have_run,
           cs_idempotency_state_t state, const cs_str_t *result)
{
  key_message_t *message = g_new0 (key_message_t, 1);
  message->may_have_run = may_have_run;
  message->record = make_record (node, ctx, claim);
  message->record->state = state;
  if (result && result->len <= CS_IDEMPOTENCY_RESULT_MAX)
    message->record->result
        = g_string_new_len (result->data, (gssize)result->len);
  control_post (node->control, send_outcome, message, g_free);
  g_free (claim->key);
  claim->key = NULL;
}

key_claim_result_t
key_claim (node_t *node, cs_ctx_t *ctx, const char *key, uint64_t fingerprint,
           cs_usec_t deadline, key_claim_t *claim, caller_answer_t *answer)
{
  GString *stored_answer = NULL;
  gulong delay_us = RETRY_DELAY_MIN_US;
  int claim_result = -1;
  bool in_flight = false;
  claim->key = g_strdup (key);
  claim->fingerprint = fingerprint;
  claim->claim_id
      = ((uint64_t)g_rand_int (ctx->random) << 32) | g_rand_int (ctx->random);
  if (atomic_load (&node->boot) == 0)
    {
      uint64_t boot;
      control_run_sync (node->control, read_boot, &boot);
      atomic_store (&node->boot, boot);
    }
  while (cs_now (ctx) < deadline)
    {
      claim_result
          = request_claim (node, ctx, claim, deadline, &stored_answer);
      in_flight = in_flight || claim_result == CS_CLAIM_IN_FLIGHT;
      if (claim_result >= 0 && claim_result != CS_CLAIM_IN_FLIGHT
          && claim_result <= CS_CLAIM_TABLE_FULL)
        break;
      if (claim_result == CLAIM_UNAVAILABLE)
        break;
      g_usleep (delay_us);
      delay_us = MIN (2 * delay_us, RETRY_DELAY_MAX_US);
    }
  if (claim_result == CS_CLAIM_GRANTED)
    {
      cs_counter_add (CS_C_ONCE_CLAIMS, 1);
      return KEY_GRANTED;
    }
  if (claim_result == CS_CLAIM_DONE)
    {
      g_free (claim->key);
      replay_answer (ctx, stored_answer, answer);
      return KEY_REPLAYED;
    }
  if (claim_result == CS_CLAIM_MISMATCH)
    {
      g_free (claim->key);
      return KEY_MISMATCH;
    }
  cs_counter_add (CS_C_ONCE_REFUSED, 1);
  /* The answer that granted the claim may have been lost: release it.  */
  end_claim (node, ctx, claim, false, CS_IDEMPOTENCY_CLAIMED, NULL);
  return in_flight ? KEY_IN_FLIGHT : KEY_UNKNOWN;
}

void
key_finish (node_t *node, key_claim_t *claim, const caller_answer_t *answer)
{
  cs_ctx_t *ctx = node_thread_ctx (node);
  cs_pack_t pack;
  if (answer->outcome == OUTCOME_NOT_RUN)
    end_claim (node, ctx, claim, false, CS_IDEMPOTENCY_CLAIMED, NULL);
  else if (answer->outcome == OUTCOME_UNKNOWN)
    end_claim (node, ctx, claim, true, CS_IDEMPOTENCY_UNKNOWN, NULL);
  else
    {
      cs_str_t packed = pack_answer (&pack, answer);
      end_claim (node, ctx, claim, true, CS_IDEMPOTENCY_DONE, &packed);
      cs_pack_clear (&pack);
    }
}
