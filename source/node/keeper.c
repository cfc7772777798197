/* The keeper of idempotency keys in the control thread.  key-replicas.h says
   which members keep a key; this file moves claims between them.

   An asker sends CLAIM to the first keeper, which sends COPY to the second
   and grants when that has taken it.  FINISH and RELEASE go to both until one
   answers.  What happens when the members in service
   change is in handover.c, and the start of a data centre in absence.c.  */
#include <string.h>

#include "keeper-internal.h"

#define RECORDS_MAX ((size_t)200000)
#define RESULT_BYTES_MAX ((size_t)8 << 20)
#define COPY_PATIENCE (400 * CS_MSEC)
#define RESEND_MAX 20

static void
copying_free (gpointer data)
{
  copying_t *c = data;
  g_free (c->asker);
  g_free (c);
}

static void
outgoing_free (gpointer data)
{
  outgoing_t *o = data;
  cs_idempotency_record_free (o->record);
  g_free (o);
}

keeper_t *
keeper_new (control_t *control)
{
  keeper_t *k = g_new0 (keeper_t, 1);
  k->table
      = cs_idempotency_table_new (control->ctx, RECORDS_MAX, RESULT_BYTES_MAX);
  k->copying = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL,
                                      copying_free);
  k->outgoing = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL,
                                       outgoing_free);
  k->serving = keeper_new_boots ();
  k->handed = keeper_new_boots ();
  k->losses = g_ptr_array_new_with_free_func (cs_replica_loss_free);
  g_queue_init (&k->deaths);
  return k;
}

void
keeper_drop (control_t *control, keeper_t *k)
{
  cs_idempotency_table_drop (control->ctx, k->table);
  g_hash_table_unref (k->copying);
  g_hash_table_unref (k->outgoing);
  g_hash_table_unref (k->serving);
  g_hash_table_unref (k->handed);
  g_ptr_array_unref (k->losses);
  g_queue_clear_full (&k->deaths, keeper_free_death);
  g_free (k);
}

/* Frames.  */

void
keeper_send_op (control_t *control, const char *to, op_t op, uint64_t id,
                const cs_idempotency_record_t *record)
{
  cs_pack_t pack;
  cs_pack_init (&pack);
  cs_pack_array (&pack, record ? 4 : 3);
  cs_pack_int64 (&pack, FRAME_ONCE);
  cs_pack_int64 (&pack, op);
  cs_pack_uint64 (&pack, id);
  if (record)
    cs_idempotency_record_pack (&pack, record);
  control_send (control, to, cs_pack_payload (&pack));
  cs_pack_clear (&pack);
}

static void
send_answer (control_t *control, const char *to, uint64_t id, int verdict,
             const cs_idempotency_record_t *record)
{
  cs_pack_t pack;
  const GString *result
      = verdict == CS_CLAIM_DONE && record ? record->result : NULL;
  cs_pack_init (&pack);
  cs_pack_array (&pack, 4);
  cs_pack_int64 (&pack, FRAME_ONCE_ANSWER);
  cs_pack_uint64 (&pack, id);
  cs_pack_int64 (&pack, verdict);
  cs_pack_bytes (&pack, result ? cs_str_of_gstring (result) : (cs_str_t){ 0 });
  control_send (control, to, cs_pack_payload (&pack));
  cs_pack_clear (&pack);
}

/* The keepers of KEY in this data centre by this node's view.  */
static GPtrArray *
own_keepers (control_t *control, const char *key)
{
  return cs_key_replicas (control->members, control->node->settings.dc, key);
}

static const char *
keeper_name (const GPtrArray *keepers, guint i)
{
  return i < keepers->len ? ((cs_member_t *)keepers->pdata[i])->name : NULL;
}

/* Whether this node may answer for KEY, as its first keeper.  0 or a
   verdict.  */
static int
check_competence (control_t *control, const GPtrArray *keepers,
                  const char *key)
{
  const cs_member_t *self = cs_members_self (control->members);
  if (self->state != CS_NODE_UP || keepers->len == 0
      || strcmp (keeper_name (keepers, 0), self->name) != 0
      || !keeper_all_have_handed (control))
    return VERDICT_RETRY;
  if (!cs_dc_has_quorum (control->members))
    return VERDICT_UNVOUCHED;
  if (!cs_idempotency_find (control->keeper->table, key)
      && keeper_may_have_lost (control, key))
    return VERDICT_UNVOUCHED;
  return 0;
}

static void
copy_to_second (control_t *control, const char *second, const char *asker,
                uint64_t asker_id, const cs_idempotency_record_t *record)
{
  keeper_t *k = control->keeper;
  copying_t *c = g_new0 (copying_t, 1);
  c->id = ++k->next_id;
  c->asker = g_strdup (asker);
  c->asker_id = asker_id;
  c->started = cs_now (control->ctx);
  g_hash_table_insert (k->copying, &c->id, c);
  keeper_send_op (control, second, OP_COPY, c->id, record);
}

static void
take_claim (control_t *control, const char *from, uint64_t id,
            const cs_idempotency_record_t *wanted)
{
  const cs_idempotency_record_t *held = NULL;
  GPtrArray *keepers = own_keepers (control, wanted->key);
  int verdict = check_competence (control, keepers, wanted->key);
  if (!verdict)
    {
      verdict = cs_idempotency_claim (control->keeper->table, wanted, &held);
      if (verdict == CS_CLAIM_GRANTED && keepers->len > 1)
        {
          copy_to_second (control, keeper_name (keepers, 1), from, id, held);
          g_ptr_array_unref (keepers);
          return;
        }
    }
  send_answer (control, from, id, verdict, held);
  g_ptr_array_unref (keepers);
}

/* A copy for a claim (ID not 0) is taken only when this node too holds the
   sender and itself to be the key's keepers.  */
static void
take_copy (control_t *control, const char *from, uint64_t id,
           const cs_idempotency_record_t *record)
{
  bool taken = true;
  if (id)
    {
      GPtrArray *keepers = own_keepers (control, record->key);
      taken
          = keepers->len > 1 && strcmp (keeper_name (keepers, 0), from) == 0
            && strcmp (keeper_name (keepers, 1), control->node->settings.node)
                   == 0;
      g_ptr_array_unref (keepers);
    }
  taken = taken && cs_idempotency_merge (control->keeper->table, record);
  if (id)
    send_answer (control, from, id, taken ? CS_CLAIM_GRANTED : VERDICT_RETRY,
                 NULL);
}

void
keeper_take_frame (control_t *control, const char *from,
                   cs_unpack_cursor_t *in)
{
  keeper_t *k = control->keeper;
  int64_t op = cs_unpack_int64 (in);
  uint64_t id = cs_unpack_uint64 (in);
  if (op == OP_HANDED || op == OP_ASK_HANDED)
    {
      if (op == OP_HANDED && !in->failed)
        keeper_set_boot (k->handed, from, id);
      else if (!in->failed)
        keeper_hand_over_to (control, from);
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
    take_claim (control, from, id, record);
  else if (op == OP_COPY)
    take_copy (control, from, id, record);
  else if (op == OP_FINISH)
    {
      cs_idempotency_finish (k->table, record->key, record->claim_id,
                             record->state, record->result ? &result : NULL);
      send_answer (control, from, id, CS_CLAIM_GRANTED, NULL);
    }
  else if (op == OP_RELEASE)
    {
      cs_idempotency_release (k->table, record->key, record->claim_id);
      send_answer (control, from, id, CS_CLAIM_GRANTED, NULL);
    }
  cs_idempotency_record_free (record);
}

/* An answer: of the second keeper, to a FINISH or RELEASE of this node, or to
   a claim of one of its callers.  The three draw ids from ranges of their
   own.  */
void
keeper_take_answer (control_t *control, const char *from,
                    cs_unpack_cursor_t *in)
{
  keeper_t *k = control->keeper;
  uint64_t id = cs_unpack_uint64 (in);
  int64_t verdict = cs_unpack_int64 (in);
  cs_str_t body = cs_unpack_str (in);
  copying_t *copying = g_hash_table_lookup (k->copying, &id);
  (void)from;
  if (in->failed)
    cs_counter_add (CS_C_FRAMES_REFUSED, 1);
  else if (copying)
    {
      send_answer (control, copying->asker, copying->asker_id, (int)verdict,
                   NULL);
      g_hash_table_remove (k->copying, &id);
    }
  else if (!g_hash_table_remove (k->outgoing, &id))
    {
      result_t *result = result_new (CS_RUN_FAILED, NULL);
      result->status = (int)verdict + 1;
      result->body = g_string_new_len (body.data, (gssize)body.len);
      calls_complete (control->node->calls, id, result);
    }
}

/* The asker's side.  */

static void
answer_ask (control_t *control, uint64_t call_id, int verdict)
{
  result_t *result = result_new (CS_RUN_FAILED, NULL);
  result->status = verdict + 1;
  calls_complete (control->node->calls, call_id, result);
}

/* Whether --dcs names every data centre that there is.  A key's home depends
   on that list, so with a wrong one nobody can vouch for any key.  */
static bool
knows_all_dcs (control_t *control)
{
  const char *const *known = (const char *const *)control->node->home_dcs;
  const char *stranger = NULL;
  GPtrArray *dcs = cs_members_other_dcs (control->members);
  for (guint i = 0; i < dcs->len && !stranger; i++)
    if (!g_strv_contains (known, dcs->pdata[i]))
      stranger = dcs->pdata[i];
  if (stranger && !control->keeper->warned)
    cs_log (CS_LOG_WARNING, "dcs-incomplete",
            "missing=%s why=\"keyed requests are refused; name every data "
            "centre in --dcs, the same on every node\"",
            stranger);
  control->keeper->warned = stranger != NULL;
  g_ptr_array_unref (dcs);
  return !control->keeper->warned;
}

void
keeper_ask (control_t *control, uint64_t call_id,
            const cs_idempotency_record_t *wanted)
{
  const char *home = cs_key_home_dc (wanted->key, control->node->home_dcs);
  GPtrArray *keepers
      = home ? cs_key_replicas (control->members, home, wanted->key) : NULL;
  if (!knows_all_dcs (control))
    answer_ask (control, call_id, VERDICT_UNVOUCHED);
  else if (keepers && keepers->len)
    keeper_send_op (control, keeper_name (keepers, 0), OP_CLAIM, call_id,
                    wanted);
  else
    answer_ask (control, call_id, VERDICT_RETRY);
  if (keepers)
    g_ptr_array_unref (keepers);
}

static void
send_outgoing (control_t *control, outgoing_t *o)
{
  const char *home = cs_key_home_dc (o->record->key, control->node->home_dcs);
  if (!home)
    return;
  GPtrArray *keepers
      = cs_key_replicas (control->members, home, o->record->key);
  for (guint i = 0; i < MIN (keepers->len, CS_KEY_REPLICAS); i++)
    keeper_send_op (control, keeper_name (keepers, i), o->op, o->id,
                    o->record);
  g_ptr_array_unref (keepers);
  o->sent_at = cs_now (control->ctx);
  o->times++;
}

void
keeper_settle (control_t *control, bool ran, cs_idempotency_record_t *record)
{
  keeper_t *k = control->keeper;
  outgoing_t *o = g_new0 (outgoing_t, 1);
  o->id = ++k->next_id;
  o->op = ran ? OP_FINISH : OP_RELEASE;
  o->record = record;
  g_hash_table_insert (k->outgoing, &o->id, o);
  send_outgoing (control, o);
}

static void
resend (control_t *control, cs_usec_t now)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, control->keeper->outgoing);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      outgoing_t *o = value;
      if (now - o->sent_at < RESEND_INTERVAL)
        continue;
      if (o->times >= RESEND_MAX)
        g_hash_table_iter_remove (&iter);
      else
        send_outgoing (control, o);
    }
}

/* A second keeper that does not answer: the asker tries again, under the
   view of that time.  */
static void
give_up_copies (control_t *control, cs_usec_t now)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, control->keeper->copying);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      copying_t *c = value;
      if (now - c->started < COPY_PATIENCE)
        continue;
      send_answer (control, c->asker, c->asker_id, VERDICT_RETRY, NULL);
      g_hash_table_iter_remove (&iter);
    }
}

void
keeper_tick (control_t *control)
{
  keeper_t *k = control->keeper;
  cs_usec_t now = cs_now (control->ctx);
  keeper_follow_members (control);
  give_up_copies (control, now);
  keeper_ask_for_handover (control, now);
  resend (control, now);
  if (now - k->expired_at >= CS_SEC)
    {
      k->expired_at = now;
      cs_idempotency_expire (k->table, cs_now_wall (control->ctx) / CS_MSEC);
      keeper_drop_old_losses (control);
    }
  bool up = cs_members_self (control->members)->state == CS_NODE_UP;
  if (up && (k->alive_at == 0 || now - k->alive_at >= ALIVE_INTERVAL)
      && cs_members_own_rank (control->members) == 0)
    {
      k->alive_at = now;
      store_post (control->node->store, keeper_write_alive, NULL);
    }
}
