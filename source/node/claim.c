/* The caller's side of idempotency keys.  */
#include <string.h>

#include "once-node.h"

#define ASK_PATIENCE (800 * CS_MSEC) /* For one answer of a keeper.  */
#define PAUSE_FIRST_US 5000
#define PAUSE_MAX_US 100000

typedef struct
{
  uint64_t call_id;
  bool ran;
  cs_idempotency_record_t *record;
} ask_t;

static void
run_ask (control_t *control, void *arg)
{
  ask_t *ask = arg;
  keeper_ask (control, ask->call_id, ask->record);
  cs_idempotency_record_free (ask->record);
}

static void
run_settle (control_t *control, void *arg)
{
  ask_t *ask = arg;
  keeper_settle (control, ask->ran, ask->record);
}

static void
note_boot (control_t *control, void *arg)
{
  *(uint64_t *)arg = cs_members_self (control_members (control))->boot;
}

static cs_idempotency_record_t *
make_record (node_t *node, cs_ctx_t *ctx, const key_claim_t *claim)
{
  cs_idempotency_record_t *record = g_new0 (cs_idempotency_record_t, 1);
  record->key = g_strdup (claim->key);
  record->owner = g_strdup (node->settings.node);
  record->owner_boot_id = atomic_load (&node->boot);
  record->claim_id = claim->claim;
  record->fingerprint = claim->print;
  record->expires_ms = cs_now_wall (ctx) / CS_MSEC
                       + node->settings.idempotency_retention_s * 1000;
  return record;
}

/* Ask the keeper once; the verdict, or -1 when none came.  */
static int
ask_once (node_t *node, cs_ctx_t *ctx, const key_claim_t *claim,
          cs_usec_t deadline, GString **stored)
{
  ask_t *ask = g_new0 (ask_t, 1);
  pending_t *pending = calls_begin (node->calls, &ask->call_id);
  uint64_t id = ask->call_id;
  ask->record = make_record (node, ctx, claim);
  control_post (node->control, run_ask, ask, g_free);
  result_t *result = calls_wait (node->calls, id, pending,
                                 MIN (deadline, cs_now (ctx) + ASK_PATIENCE));
  int verdict = result ? result->status - 1 : -1;
  if (verdict == CS_CLAIM_DONE)
    {
      *stored = result->body;
      result->body = NULL;
    }
  result_free (result);
  return verdict;
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
      const cs_header_t *h = answer->headers->pdata[i];
      cs_pack_text (pack, h->name);
      cs_pack_text (pack, h->value);
    }
  return cs_pack_payload (pack);
}

static bool
unpack_answer (cs_ctx_t *ctx, const GString *stored, caller_answer_t *answer)
{
  cs_unpack_t unpack;
  cs_unpack_cursor_t in;
  if (cs_unpack_init (ctx, &unpack, cs_str_of_gstring (stored), &in) != CS_OK)
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

static void
replay (cs_ctx_t *ctx, GString *stored, caller_answer_t *answer)
{
  cs_counter_add (CS_C_ONCE_REPLAYS, 1);
  if (stored->len == 0 || !unpack_answer (ctx, stored, answer))
    *answer = (caller_answer_t){
      .outcome = OUTCOME_DONE,
      .replayed = true,
      .status = 410,
      .body = g_string_new ("the request ran; its answer is no longer held\n"),
    };
  g_string_free (stored, TRUE);
}

static void
settle (node_t *node, cs_ctx_t *ctx, key_claim_t *claim, bool ran,
        cs_idempotency_state_t state, const cs_str_t *result)
{
  ask_t *ask = g_new0 (ask_t, 1);
  ask->ran = ran;
  ask->record = make_record (node, ctx, claim);
  ask->record->state = state;
  if (result && result->len <= CS_IDEMPOTENCY_RESULT_MAX)
    ask->record->result = g_string_new_len (result->data, (gssize)result->len);
  control_post (node->control, run_settle, ask, g_free);
  g_free (claim->key);
  claim->key = NULL;
}

key_verdict_t
key_claim (node_t *node, cs_ctx_t *ctx, const char *key, uint64_t print,
           cs_usec_t deadline, key_claim_t *claim, caller_answer_t *answer)
{
  GString *stored = NULL;
  gulong pause_us = PAUSE_FIRST_US;
  int verdict = -1;
  bool in_flight = false;
  claim->key = g_strdup (key);
  claim->print = print;
  claim->claim
      = ((uint64_t)g_rand_int (ctx->random) << 32) | g_rand_int (ctx->random);
  if (atomic_load (&node->boot) == 0)
    {
      uint64_t boot;
      control_call (node->control, note_boot, &boot);
      atomic_store (&node->boot, boot);
    }
  while (cs_now (ctx) < deadline)
    {
      verdict = ask_once (node, ctx, claim, deadline, &stored);
      in_flight = in_flight || verdict == CS_CLAIM_IN_FLIGHT;
      if (verdict >= 0 && verdict != CS_CLAIM_IN_FLIGHT
          && verdict <= CS_CLAIM_TABLE_FULL)
        break;
      if (verdict == VERDICT_UNVOUCHED)
        break;
      g_usleep (pause_us);
      pause_us = MIN (2 * pause_us, PAUSE_MAX_US);
    }
  if (verdict == CS_CLAIM_GRANTED)
    {
      cs_counter_add (CS_C_ONCE_CLAIMS, 1);
      return KEY_GRANTED;
    }
  if (verdict == CS_CLAIM_DONE)
    {
      g_free (claim->key);
      replay (ctx, stored, answer);
      return KEY_REPLAY;
    }
  if (verdict == CS_CLAIM_MISMATCH)
    {
      g_free (claim->key);
      return KEY_MISMATCH;
    }
  cs_counter_add (CS_C_ONCE_REFUSED, 1);
  /* A claim whose grant was lost must not stay behind.  */
  settle (node, ctx, claim, false, CS_IDEMPOTENCY_CLAIMED, NULL);
  return in_flight ? KEY_BUSY : KEY_UNKNOWN;
}

void
key_finish (node_t *node, key_claim_t *claim, const caller_answer_t *answer)
{
  cs_ctx_t *ctx = node_thread_ctx (node);
  cs_pack_t pack;
  if (answer->outcome == OUTCOME_NOT_RUN)
    settle (node, ctx, claim, false, CS_IDEMPOTENCY_CLAIMED, NULL);
  else if (answer->outcome == OUTCOME_UNKNOWN)
    settle (node, ctx, claim, true, CS_IDEMPOTENCY_UNKNOWN, NULL);
  else
    {
      cs_str_t packed = pack_answer (&pack, answer);
      settle (node, ctx, claim, true, CS_IDEMPOTENCY_DONE, &packed);
      cs_pack_clear (&pack);
    }
}
