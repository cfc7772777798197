#include "answer-offers.h"
#include "call.h"

void
answer_room_announce (peer_t *peer)
{
  stream_send_kind (peer->stream, CS_FRAME_OFFERS_WANTED);
}

static call_t *
find_call (peer_t *peer, uint64_t number)
{
  call_t *call = g_hash_table_lookup (peer->calls, &number);
  return call ? call : g_hash_table_lookup (peer->unresolved_calls, &number);
}

/* Ask for the answer of CALL if there is room for it; returns whether there
   is.  */
static bool
ask_if_room (call_t *call)
{
  call->answer_claim.claims = &call->traffic->answer_claims;
  if (!cs_claim_grow (&call->answer_claim, call->offered_bytes))
    return false;
  peer_send_number (call->peer, CS_FRAME_ANSWER_GO, call->job_number);
  return true;
}

void
answer_room_handle_offer (peer_t *peer, cs_unpack_cursor_t *in)
{
  cs_traffic_t *traffic = peer->traffic;
  uint64_t number = cs_unpack_uint64 (in);
  uint64_t bytes = cs_unpack_uint64 (in);
  if (in->failed)
    return;
  call_t *call = find_call (peer, number);
  if (!call || bytes > CS_STREAM_PAYLOAD_MAX)
    {
      peer_send_number (peer, CS_FRAME_CANCEL, number);
      return;
    }
  answer_room_end (call);
  call->offered_bytes = (int64_t)bytes;
  call->offered_at = traffic_now (traffic);
  if (ask_if_room (call))
    return;
  cs_counter_add (CS_C_ANSWERS_WAITED, 1);
  call->waits_for_room = true;
  g_queue_push_tail_link (&traffic->waiting_answers, &call->room_link);
}

/* CALL waits for room no longer.  */
static void
leave_queue (call_t *call)
{
  if (call->waits_for_room)
    g_queue_unlink (&call->traffic->waiting_answers, &call->room_link);
  call->waits_for_room = false;
}

void
answer_room_tick (cs_traffic_t *traffic, cs_usec_t now)
{
  cs_claims_t *claims = &traffic->answer_claims;
  GList *next;
  claims->first = NULL;
  if (!traffic->waiting_answers.head)
    return;
  const call_t *oldest = traffic->waiting_answers.head->data;
  cs_memory_budget_make_room (&traffic->budget, oldest->offered_bytes);
  for (GList *link = traffic->waiting_answers.head; link; link = next)
    {
      call_t *call = link->data;
      next = link->next;
      if (!claims->first && now - call->offered_at > CS_CLAIM_WAIT_MAX)
        claims->first = &call->answer_claim;
      if (ask_if_room (call))
        leave_queue (call);
    }
}

bool
answer_room_admit (peer_t *peer, uint64_t number)
{
  call_t *call = find_call (peer, number);
  if (call)
    cs_claim_uncount (&call->answer_claim);
  return call != NULL;
}

GBytes *
answer_room_hold (call_t *call, GBytes *body)
{
  return cs_claim_hold (&call->answer_claim, body);
}

void
answer_room_end (call_t *call)
{
  leave_queue (call);
  cs_claim_release (&call->answer_claim);
  call->offered_bytes = 0;
}
