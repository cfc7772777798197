/* Messages between a node that claims an idempotency key, the claimant, and
   the replicas of the key (key-replicas.h), in the control thread.

   The claimant sends CLAIM to the first replica, which sends COPY to the
   second and grants the claim when the second has accepted the record.  FINISH
   and RELEASE are sent to both replicas until one answers.  handover.c moves
   the records when the members in service change; dc-liveness.c handles the
   start of a data centre without members in service.  */
#include <string.h>

#include "replica-internal.h"

/* Limits of the table of records.  */
#define RECORDS_MAX ((size_t)200000)
#define RESULT_BYTES_MAX ((size_t)8 << 20)
#define COPY_TIMEOUT (400 * CS_MSEC)
#define SENDS_MAX 20 /* Of one FINISH or RELEASE.  */

static void
pending_copy_free (gpointer data)
{
  pending_copy_t *copy = data;
  g_free (copy->claimant);
  g_free (copy);
}

static void
pending_outcome_free (gpointer data)
{
  pending_outcome_t *outcome = data;
  cs_idempotency_record_free (outcome->record);
  g_free (outcome);
}

replica_t *
replica_new (control_t *control)
{
  replica_t *replica = g_new0 (replica_t, 1);
  replica->table
      = cs_idempotency_table_new (control->ctx, RECORDS_MAX, RESULT_BYTES_MAX);
  replica->pending_copies = g_hash_table_new_full (g_int64_hash, g_int64_equal,
                                                   NULL, pending_copy_free);
  replica->pending_outcomes = g_hash_table_new_full (
      g_int64_hash, g_int64_equal, NULL, pending_outcome_free);
  replica->members_in_service = boot_table_new ();
  replica->handovers_done = boot_table_new ();
  replica->replica_losses
      = g_ptr_array_new_with_free_func (cs_replica_loss_free);
  g_queue_init (&replica->recent_member_losses);
  return replica;
}

void
replica_drop (control_t *control, replica_t *replica)
{
  cs_idempotency_table_drop (control->ctx, replica->table);
  g_hash_table_unref (replica->pending_copies);
  g_hash_table_unref (replica->pending_outcomes);
  g_hash_table_unref (replica->members_in_service);
  g_hash_table_unref (replica->handovers_done);
  g_ptr_array_unref (replica->replica_losses);
  g_queue_clear_full (&replica->recent_member_losses, member_loss_free);
  g_free (replica);
}

/* Messages between replicas and claimants.  */

void
replica_send_message (control_t *control, const char *to, replica_op_t op,
                      uint64_t id, const cs_idempotency_record_t *record)
{
  cs_pack_t pack;
  cs_pack_init (&pack);
  cs_pack_array (&pack, record ? 4 : 3);
  cs_pack_int64 (&pack, FRAME_IDEMPOTENCY);
  cs_pack_int64 (&pack, op);
  cs_pack_uint64 (&pack, id);
  if (record)
    cs_idempotency_record_pack (&pack, record);
  control_send (control, to, cs_pack_payload (&pack));
  cs_pack_clear (&pack);
}

static void
send_answer (control_t *control, const char *to, uint64_t id, int claim_result,
             const cs_idempotency_record_t *record)
{
  cs_pack_t pack;
  const GString *result
      = claim_result == CS_CLAIM_DONE && record ? record->result : NULL;
  cs_pack_init (&pack);
  cs_pack_array (&pack, 4);
  cs_pack_int64 (&pack, FRAME_IDEMPOTENCY_ANSWER);
  cs_pack_uint64 (&pack, id);
  cs_pack_int64 (&pack, claim_result);
  cs_pack_bytes (&pack, result ? cs_str_of_gstring (result) : (cs_str_t){ 0 });
  control_send (control, to, cs_pack_payload (&pack));
  cs_pack_clear (&pack);
}

/* All members in service of this data centre by falling rendezvous weight for
   KEY, as this node sees them.  The first CS_KEY_REPLICAS are the replicas of
   KEY; see cs_key_replicas.  */
static GPtrArray *
local_members_by_weight (control_t *control, const char *key)
{
  return cs_key_replicas (control->members, control->node->settings.dc, key);
}

/* The name of member I of the list, or NULL if it has fewer.  */
static const char *
member_name (const GPtrArray *members_by_weight, guint i)
{
  return i < members_by_weight->len
             ? ((cs_member_t *)members_by_weight->pdata[i])->name
             : NULL;
}

/* Why this node refuses a claim of KEY without a look at its table:
   CLAIM_RETRY or CLAIM_UNAVAILABLE.  0, which does not mean CS_CLAIM_GRANTED
   here, if it is the first replica of KEY, has all records, and so decides
   the claim.  */
static int
claim_refusal (control_t *control, const GPtrArray *members_by_weight,
               const char *key)
{
  const cs_member_t *self = cs_members_self (control->members);
  if (self->state != CS_NODE_UP || members_by_weight->len == 0
      || strcmp (member_name (members_by_weight, 0), self->name) != 0
      || !handover_is_complete (control))
    return CLAIM_RETRY;
  if (!cs_dc_has_quorum (control->members))
    return CLAIM_UNAVAILABLE;
  if (!cs_idempotency_find (control->replica->table, key)
      && replica_may_have_lost (control, key))
    return CLAIM_UNAVAILABLE;
  return 0;
}

/* Send RECORD to the second replica, TARGET; its answer is passed on to
   CLAIMANT.  */
static void
send_copy (control_t *control, const char *target, const char *claimant,
           uint64_t claimant_call_id, const cs_idempotency_record_t *record)
{
  replica_t *replica = control->replica;
  pending_copy_t *copy = g_new0 (pending_copy_t, 1);
  copy->id = ++replica->last_id;
  copy->claimant = g_strdup (claimant);
  copy->claimant_call_id = claimant_call_id;
  copy->sent_at = cs_now (control->ctx);
  g_hash_table_insert (replica->pending_copies, &copy->id, copy);
  replica_send_message (control, target, OP_COPY, copy->id, record);
}

static void
handle_claim (control_t *control, const char *from, uint64_t id,
              const cs_idempotency_record_t *wanted)
{
  const cs_idempotency_record_t *existing = NULL;
  GPtrArray *members_by_weight
      = local_members_by_weight (control, wanted->key);
  int claim_result = claim_refusal (control, members_by_weight, wanted->key);
  if (!claim_result)
    {
      claim_result
          = cs_idempotency_claim (control->replica->table, wanted, &existing);
      if (claim_result == CS_CLAIM_GRANTED && members_by_weight->len > 1)
        {
          send_copy (control, member_name (members_by_weight, 1), from, id,
                     existing);
          g_ptr_array_unref (members_by_weight);
          return;
        }
    }
  send_answer (control, from, id, claim_result, existing);
  g_ptr_array_unref (members_by_weight);
}

/* Store a copy of RECORD.  ID is not 0 if the sender waits for an answer
   before it grants a claim; such a copy is accepted only if this node also
   sees the sender and itself as the first and second replica of the key.  */
static void
handle_copy (control_t *control, const char *from, uint64_t id,
             const cs_idempotency_record_t *record)
{
  bool accepted = true;
  if (id)
    {
      GPtrArray *members_by_weight
          = local_members_by_weight (control, record->key);
      accepted = members_by_weight->len > 1
                 && strcmp (member_name (members_by_weight, 0), from) == 0
                 && strcmp (member_name (members_by_weight, 1),
                            control->node->settings.node)
                        == 0;
      g_ptr_array_unref (members_by_weight);
    }
  accepted
      = accepted && cs_idempotency_merge (control->replica->table, record);
  if (id)
    send_answer (control, from, id, accepted ? CS_CLAIM_GRANTED : CLAIM_RETRY,
                 NULL);
}

void
replica_handle_message (control_t *control, const char *from,
                        cs_unpack_cursor_t *in)
{
  replica_t *replica = control->replica;
  int64_t op = cs_unpack_int64 (in);
  uint64_t id = cs_unpack_uint64 (in);
  if (op == OP_HANDOVER_DONE || op == OP_REQUEST_HANDOVER)
    {
      if (op == OP_HANDOVER_DONE && !in->failed)
        boot_table_set (replica->handovers_done, from, id);
      else if (!in->failed)
        handover_send_all (control, from);
      return;
    }
  cs_idempotency_record_t *record = cs_idempotency_record_unpack (in);
  if (!record)
    {
      cs_counter_add (CS_C_FRAMES_REFUSED, 1);
      return;
    }
  cs_str_t result
      = record->result ? cs_str_of_gstring (record->result) : (cs_str_t){ 0 };
  if (op == OP_CLAIM)
    handle_claim (control, from, id, record);
  else if (op == OP_COPY)
    handle_copy (control, from, id, record);
  else if (op == OP_FINISH)
    {
      cs_idempotency_finish (replica->table, record->key, record->claim_id,
                             record->state, record->result ? &result : NULL);
      send_answer (control, from, id, CS_CLAIM_GRANTED, NULL);
    }
  else if (op == OP_RELEASE)
    {
      cs_idempotency_release (replica->table, record->key, record->claim_id);
      send_answer (control, from, id, CS_CLAIM_GRANTED, NULL);
    }
  cs_idempotency_record_free (record);
}

/* An answer of the second replica to COPY, of a replica to a FINISH or RELEASE
   of this node, or of the first replica to a CLAIM of this node.  The id of a
   CLAIM is that of a pending call; the others count up in last_id.  */
void
replica_handle_answer (control_t *control, const char *from,
                       cs_unpack_cursor_t *in)
{
  replica_t *replica = control->replica;
  uint64_t id = cs_unpack_uint64 (in);
  int64_t claim_result = cs_unpack_int64 (in);
  cs_str_t body = cs_unpack_str (in);
  pending_copy_t *copy = g_hash_table_lookup (replica->pending_copies, &id);
  (void)from;
  if (in->failed)
    cs_counter_add (CS_C_FRAMES_REFUSED, 1);
  else if (copy)
    {
      send_answer (control, copy->claimant, copy->claimant_call_id,
                   (int)claim_result, NULL);
      g_hash_table_remove (replica->pending_copies, &id);
    }
  else if (!g_hash_table_remove (replica->pending_outcomes, &id))
    {
      /* The run state is unused; see call_result_t.  */
      call_result_t *result = call_result_new (CS_RUN_FAILED, NULL);
      result->status = (int)claim_result + 1;
      result->body = g_string_new_len (body.data, (gssize)body.len);
      calls_complete (control->node->calls, id, result);
    }
}

/* Messages of the claimant.  */

/* Answer the claim that waits as call CALL_ID of this node with CLAIM_RESULT,
   without a message to a replica.  */
static void
complete_claim_call (control_t *control, uint64_t call_id, int claim_result)
{
  call_result_t *result = call_result_new (CS_RUN_FAILED, NULL);
  result->status = claim_result + 1;
  calls_complete (control->node->calls, call_id, result);
}

/* Whether --dcs names every data centre that has a reachable member.  The data
   centre of a key's replicas depends on that list: if the lists of two nodes
   differ, they may look for the record of a key in different data centres.  */
static bool
knows_all_dcs (control_t *control)
{
  const char *const *listed_dcs = (const char *const *)control->node->mesh_dcs;
  const char *unlisted_dc = NULL;
  GPtrArray *dcs = cs_members_other_dcs (control->members);
  for (guint i = 0; i < dcs->len && !unlisted_dc; i++)
    if (!g_strv_contains (listed_dcs, dcs->pdata[i]))
      unlisted_dc = dcs->pdata[i];
  if (unlisted_dc && !control->replica->dcs_warning_logged)
    cs_log (CS_LOG_WARNING, "dcs-incomplete",
            "missing=%s why=\"keyed requests are refused; name every data "
            "centre in --dcs, the same on every node\"",
            unlisted_dc);
  control->replica->dcs_warning_logged = unlisted_dc != NULL;
  g_ptr_array_unref (dcs);
  return !control->replica->dcs_warning_logged;
}

void
replica_send_claim (control_t *control, uint64_t call_id,
                    const cs_idempotency_record_t *wanted)
{
  const char *replica_dc
      = cs_key_replica_dc (wanted->key, control->node->mesh_dcs);
  GPtrArray *members_by_weight
      = replica_dc
            ? cs_key_replicas (control->members, replica_dc, wanted->key)
            : NULL;
  if (!knows_all_dcs (control))
    complete_claim_call (control, call_id, CLAIM_UNAVAILABLE);
  else if (members_by_weight && members_by_weight->len)
    replica_send_message (control, member_name (members_by_weight, 0),
                          OP_CLAIM, call_id, wanted);
  else
    complete_claim_call (control, call_id, CLAIM_RETRY);
  if (members_by_weight)
    g_ptr_array_unref (members_by_weight);
}

/* Send OUTCOME, the message OP_FINISH or OP_RELEASE, to both replicas of its
   key.  */
static void
send_outcome (control_t *control, pending_outcome_t *outcome)
{
  const char *replica_dc
      = cs_key_replica_dc (outcome->record->key, control->node->mesh_dcs);
  if (!replica_dc)
    return;
  GPtrArray *members_by_weight
      = cs_key_replicas (control->members, replica_dc, outcome->record->key);
  for (guint i = 0; i < MIN (members_by_weight->len, CS_KEY_REPLICAS); i++)
    replica_send_message (control, member_name (members_by_weight, i),
                          outcome->op, outcome->id, outcome->record);
  g_ptr_array_unref (members_by_weight);
  outcome->sent_at = cs_now (control->ctx);
  outcome->send_count++;
}

void
replica_send_outcome (control_t *control, bool may_have_run,
                      cs_idempotency_record_t *record)
{
  replica_t *replica = control->replica;
  pending_outcome_t *outcome = g_new0 (pending_outcome_t, 1);
  outcome->id = ++replica->last_id;
  outcome->op = may_have_run ? OP_FINISH : OP_RELEASE;
  outcome->record = record;
  g_hash_table_insert (replica->pending_outcomes, &outcome->id, outcome);
  send_outcome (control, outcome);
}

/* Send unanswered outcomes again, up to SENDS_MAX times in all.  */
static void
resend_outcomes (control_t *control, cs_usec_t now)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, control->replica->pending_outcomes);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      pending_outcome_t *outcome = value;
      if (now - outcome->sent_at < RESEND_INTERVAL)
        continue;
      if (outcome->send_count >= SENDS_MAX)
        g_hash_table_iter_remove (&iter);
      else
        send_outcome (control, outcome);
    }
}

/* Have the claimants retry whose copy the second replica has not answered; the
   replicas may have changed by then.  */
static void
expire_copies (control_t *control, cs_usec_t now)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, control->replica->pending_copies);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      pending_copy_t *copy = value;
      if (now - copy->sent_at < COPY_TIMEOUT)
        continue;
      send_answer (control, copy->claimant, copy->claimant_call_id,
                   CLAIM_RETRY, NULL);
      g_hash_table_iter_remove (&iter);
    }
}

void
replica_tick (control_t *control)
{
  replica_t *replica = control->replica;
  cs_usec_t now = cs_now (control->ctx);
  handover_update_members (control);
  expire_copies (control, now);
  handover_request_missing (control, now);
  resend_outcomes (control, now);
  if (now - replica->expired_at >= CS_SEC)
    {
      replica->expired_at = now;
      cs_idempotency_expire (replica->table,
                             cs_now_wall (control->ctx) / CS_MSEC);
      replica_expire_losses (control);
    }
  /* Written by the first member of the data centre in the order of the hashes
     of their names.  */
  bool in_service = cs_members_self (control->members)->state == CS_NODE_UP;
  if (in_service
      && (replica->dc_row_written_at == 0
          || now - replica->dc_row_written_at >= DC_ROW_INTERVAL)
      && cs_members_own_rank (control->members) == 0)
    {
      replica->dc_row_written_at = now;
      platform_thread_post (control->node->platform_thread, dc_row_write,
                            NULL);
    }
}
