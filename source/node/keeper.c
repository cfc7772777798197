/* The keeper of idempotency keys in the control thread.  keepers.h says which
   members keep a key; this file moves claims between them.

   An asker sends CLAIM to the first keeper, which sends COPY to the second
   and grants when that has taken it.  FINISH and RELEASE go to both until one
   answers.  When the members in service change, every keeper sends its
   records to those that became keepers, and HANDED to those that are new;
   a new member grants nothing before all have handed over.  */
#include <stdio.h>
#include <string.h>

#include "once-node.h"

#define RECORDS_MAX ((size_t)200000)
#define RESULT_BYTES_MAX ((size_t)8 << 20)
#define COPY_PATIENCE (400 * CS_MSEC)
#define RESEND_INTERVAL (500 * CS_MSEC)
#define RESEND_MAX 20
#define LOSS_WINDOW (10 * CS_SEC) /* Deaths within it count as together.  */
#define ALIVE_INTERVAL (30 * CS_SEC)
#define BOOTSTRAP_MS 15000 /* Nodes of a new data centre start within it.  */

typedef enum
{
  OP_CLAIM = 1,
  OP_COPY,
  OP_FINISH,
  OP_RELEASE,
  OP_HANDED,    /* All is handed over; the id is the sender's start.  */
  OP_ASK_HANDED /* Please hand over (again).  */
} op_t;

/* Verdicts beyond cs_claim_t.  */
enum
{
  VERDICT_RETRY = 100, /* Views disagree for now.  */
  VERDICT_UNVOUCHED    /* The record may have been lost.  */
};

/* A claim that waits for the second keeper.  */
typedef struct
{
  uint64_t id;
  char *asker;
  uint64_t asker_id;
  cs_usec_t started;
} copying_t;

/* A FINISH or RELEASE until it is answered.  */
typedef struct
{
  uint64_t id;
  op_t op;
  cs_once_record_t *record;
  cs_usec_t sent_at;
  int times;
} outgoing_t;

typedef struct
{
  char *name;
  cs_usec_t at;
} death_t;

struct keeper
{
  cs_once_t *table;
  uint64_t next_id;
  GHashTable *copying;  /* id -> copying_t.  */
  GHashTable *outgoing; /* id -> outgoing_t.  */
  GHashTable *serving;  /* name -> boot, in service in this DC.  */
  GHashTable *handed;   /* name -> boot, that handed over to this node.  */
  GQueue deaths;        /* death_t *, oldest first.  */
  GPtrArray *losses;    /* cs_loss_t *.  */
  uint64_t generation;
  cs_usec_t alive_at, expired_at, asked_at;
  bool alone_checked;
};

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
  cs_once_record_free (o->record);
  g_free (o);
}

static void
death_free (gpointer data)
{
  death_t *d = data;
  g_free (d->name);
  g_free (d);
}

static GHashTable *
new_boots (void)
{
  return g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
}

static void
set_boot (GHashTable *boots, const char *name, uint64_t boot)
{
  uint64_t *value = g_new (uint64_t, 1);
  *value = boot;
  g_hash_table_replace (boots, g_strdup (name), value);
}

static bool
has_boot (GHashTable *boots, const char *name, uint64_t boot)
{
  const uint64_t *value = g_hash_table_lookup (boots, name);
  return value && *value == boot;
}

keeper_t *
keeper_new (control_t *control)
{
  keeper_t *k = g_new0 (keeper_t, 1);
  k->table = cs_once_new (control->ctx, RECORDS_MAX, RESULT_BYTES_MAX);
  k->copying = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL,
                                      copying_free);
  k->outgoing = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL,
                                       outgoing_free);
  k->serving = new_boots ();
  k->handed = new_boots ();
  k->losses = g_ptr_array_new_with_free_func (cs_loss_free);
  g_queue_init (&k->deaths);
  return k;
}

void
keeper_drop (control_t *control, keeper_t *k)
{
  cs_once_drop (control->ctx, k->table);
  g_hash_table_unref (k->copying);
  g_hash_table_unref (k->outgoing);
  g_hash_table_unref (k->serving);
  g_hash_table_unref (k->handed);
  g_ptr_array_unref (k->losses);
  g_queue_clear_full (&k->deaths, death_free);
  g_free (k);
}

/* Frames.  */

static void
send_op (control_t *control, const char *to, op_t op, uint64_t id,
         const cs_once_record_t *record)
{
  cs_pack_t pack;
  cs_pack_init (&pack);
  cs_pack_array (&pack, record ? 4 : 3);
  cs_pack_number (&pack, FRAME_ONCE);
  cs_pack_number (&pack, op);
  cs_pack_unsigned (&pack, id);
  if (record)
    cs_once_record_pack (&pack, record);
  control_send (control, to, cs_pack_payload (&pack));
  cs_pack_clear (&pack);
}

static void
send_answer (control_t *control, const char *to, uint64_t id, int verdict,
             const cs_once_record_t *record)
{
  cs_pack_t pack;
  const GString *result
      = verdict == CS_CLAIM_DONE && record ? record->result : NULL;
  cs_pack_init (&pack);
  cs_pack_array (&pack, 4);
  cs_pack_number (&pack, FRAME_ONCE_ANSWER);
  cs_pack_unsigned (&pack, id);
  cs_pack_number (&pack, verdict);
  cs_pack_bytes (&pack, result ? cs_str_of_gstring (result) : (cs_str_t){ 0 });
  control_send (control, to, cs_pack_payload (&pack));
  cs_pack_clear (&pack);
}

static void
send_handed (control_t *control, const char *to)
{
  send_op (control, to, OP_HANDED, cs_members_self (control->members)->boot,
           NULL);
}

/* The keepers of KEY in this data centre by this node's view.  */
static GPtrArray *
own_keepers (control_t *control, const char *key)
{
  return cs_keepers_of (control->members, control->node->settings.dc, key);
}

static const char *
keeper_name (const GPtrArray *keepers, guint i)
{
  return i < keepers->len ? ((cs_member_t *)keepers->pdata[i])->name : NULL;
}

static bool
all_have_handed (control_t *control)
{
  keeper_t *k = control->keeper;
  GHashTableIter iter;
  gpointer name, boot;
  const char *self = control->node->settings.node;
  g_hash_table_iter_init (&iter, k->serving);
  while (g_hash_table_iter_next (&iter, &name, &boot))
    if (strcmp (name, self) != 0
        && !has_boot (k->handed, name, *(uint64_t *)boot))
      return false;
  return true;
}

static bool
is_covered_by_loss (control_t *control, const char *key)
{
  keeper_t *k = control->keeper;
  int64_t now_ms = cs_wall (control->ctx) / CS_MSEC;
  for (guint i = 0; i < k->losses->len; i++)
    {
      const cs_loss_t *loss = k->losses->pdata[i];
      if (loss->until_ms > now_ms && cs_loss_covers (loss, key))
        return true;
    }
  return false;
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
      || !all_have_handed (control))
    return VERDICT_RETRY;
  if (!cs_keepers_have_majority (control->members))
    return VERDICT_UNVOUCHED;
  if (!cs_once_find (control->keeper->table, key)
      && is_covered_by_loss (control, key))
    return VERDICT_UNVOUCHED;
  return 0;
}

static void
copy_to_second (control_t *control, const char *second, const char *asker,
                uint64_t asker_id, const cs_once_record_t *record)
{
  keeper_t *k = control->keeper;
  copying_t *c = g_new0 (copying_t, 1);
  c->id = ++k->next_id;
  c->asker = g_strdup (asker);
  c->asker_id = asker_id;
  c->started = cs_now (control->ctx);
  g_hash_table_insert (k->copying, &c->id, c);
  send_op (control, second, OP_COPY, c->id, record);
}

static void
take_claim (control_t *control, const char *from, uint64_t id,
            const cs_once_record_t *wanted)
{
  const cs_once_record_t *held = NULL;
  GPtrArray *keepers = own_keepers (control, wanted->key);
  int verdict = check_competence (control, keepers, wanted->key);
  if (!verdict)
    {
      verdict = cs_once_claim (control->keeper->table, wanted, &held);
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
           const cs_once_record_t *record)
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
  taken = taken && cs_once_adopt (control->keeper->table, record);
  if (id)
    send_answer (control, from, id, taken ? CS_CLAIM_GRANTED : VERDICT_RETRY,
                 NULL);
}

static void hand_over_to (control_t *control, const char *name);

void
keeper_take_frame (control_t *control, const char *from, cs_cursor_t *in)
{
  keeper_t *k = control->keeper;
  int64_t op = cs_take_number (in);
  uint64_t id = cs_take_unsigned (in);
  if (op == OP_HANDED || op == OP_ASK_HANDED)
    {
      if (op == OP_HANDED && !in->bad)
        set_boot (k->handed, from, id);
      else if (!in->bad)
        hand_over_to (control, from);
      return;
    }
  cs_once_record_t *record = cs_once_record_take (in);
  if (!record)
    {
      cs_count (CS_C_FRAMES_REFUSED, 1);
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
      cs_once_finish (k->table, record->key, record->claim, record->state,
                      record->result ? &result : NULL);
      send_answer (control, from, id, CS_CLAIM_GRANTED, NULL);
    }
  else if (op == OP_RELEASE)
    {
      cs_once_release (k->table, record->key, record->claim);
      send_answer (control, from, id, CS_CLAIM_GRANTED, NULL);
    }
  cs_once_record_free (record);
}

/* An answer: of the second keeper, to a FINISH or RELEASE of this node, or to
   a claim of one of its callers.  The three draw ids from ranges of their
   own.  */
void
keeper_take_answer (control_t *control, const char *from, cs_cursor_t *in)
{
  keeper_t *k = control->keeper;
  uint64_t id = cs_take_unsigned (in);
  int64_t verdict = cs_take_number (in);
  cs_str_t body = cs_take_str (in);
  copying_t *copying = g_hash_table_lookup (k->copying, &id);
  (void)from;
  if (in->bad)
    cs_count (CS_C_FRAMES_REFUSED, 1);
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

void
keeper_ask (control_t *control, uint64_t call_id,
            const cs_once_record_t *wanted)
{
  const char *home = cs_keepers_home (wanted->key, control->node->home_dcs);
  GPtrArray *keepers
      = home ? cs_keepers_of (control->members, home, wanted->key) : NULL;
  if (keepers && keepers->len)
    send_op (control, keeper_name (keepers, 0), OP_CLAIM, call_id, wanted);
  else
    {
      result_t *result = result_new (CS_RUN_FAILED, NULL);
      result->status = VERDICT_RETRY + 1;
      calls_complete (control->node->calls, call_id, result);
    }
  if (keepers)
    g_ptr_array_unref (keepers);
}

static void
send_outgoing (control_t *control, outgoing_t *o)
{
  const char *home = cs_keepers_home (o->record->key, control->node->home_dcs);
  if (!home)
    return;
  GPtrArray *keepers = cs_keepers_of (control->members, home, o->record->key);
  for (guint i = 0; i < MIN (keepers->len, CS_KEEPERS); i++)
    send_op (control, keeper_name (keepers, i), o->op, o->id, o->record);
  g_ptr_array_unref (keepers);
  o->sent_at = cs_now (control->ctx);
  o->times++;
}

void
keeper_settle (control_t *control, bool ran, cs_once_record_t *record)
{
  keeper_t *k = control->keeper;
  outgoing_t *o = g_new0 (outgoing_t, 1);
  o->id = ++k->next_id;
  o->op = ran ? OP_FINISH : OP_RELEASE;
  o->record = record;
  g_hash_table_insert (k->outgoing, &o->id, o);
  send_outgoing (control, o);
}

/* Changes of the members in service.  */

typedef struct
{
  control_t *control;
  GHashTable *before;
} handover_t;

/* The two names of BOOTS that come first for KEY.  */
static void
first_two (GHashTable *boots, const char *key, const char *names[CS_KEEPERS])
{
  GHashTableIter iter;
  gpointer name;
  uint64_t weights[CS_KEEPERS] = { 0 };
  names[0] = names[1] = NULL;
  g_hash_table_iter_init (&iter, boots);
  while (g_hash_table_iter_next (&iter, &name, NULL))
    {
      uint64_t weight = cs_keeper_weight (name, key);
      int at = !names[0] || weight > weights[0]   ? 0
               : !names[1] || weight > weights[1] ? 1
                                                  : CS_KEEPERS;
      if (at == 0)
        {
          names[1] = names[0];
          weights[1] = weights[0];
        }
      if (at < CS_KEEPERS)
        {
          names[at] = name;
          weights[at] = weight;
        }
    }
}

static bool
kept_before (const handover_t *h, const char *const before[CS_KEEPERS],
             const char *name)
{
  const uint64_t *boot
      = g_hash_table_lookup (h->control->keeper->serving, name);
  for (int i = 0; i < CS_KEEPERS; i++)
    if (before[i] && strcmp (before[i], name) == 0)
      return boot && has_boot (h->before, name, *boot);
  return false;
}

static void
hand_over_record (void *user, const cs_once_record_t *record)
{
  handover_t *h = user;
  const char *before[CS_KEEPERS], *now[CS_KEEPERS];
  const char *self = h->control->node->settings.node;
  first_two (h->before, record->key, before);
  first_two (h->control->keeper->serving, record->key, now);
  for (int i = 0; i < CS_KEEPERS; i++)
    if (now[i] && strcmp (now[i], self) != 0
        && !kept_before (h, before, now[i]))
      send_op (h->control, now[i], OP_COPY, 0, record);
}

typedef struct
{
  control_t *control;
  const char *name;
} return_t;

static void
hand_over_if_kept (void *user, const cs_once_record_t *record)
{
  const return_t *r = user;
  const char *now[CS_KEEPERS];
  first_two (r->control->keeper->serving, record->key, now);
  for (int i = 0; i < CS_KEEPERS; i++)
    if (now[i] && strcmp (now[i], r->name) == 0)
      send_op (r->control, r->name, OP_COPY, 0, record);
}

/* Send NAME all that it keeps by this node's view, if it is in service by
   that view.  */
static void
hand_over_to (control_t *control, const char *name)
{
  return_t r = { .control = control, .name = name };
  if (!g_hash_table_contains (control->keeper->serving, name))
    return;
  cs_once_foreach (control->keeper->table, hand_over_if_kept, &r);
  send_handed (control, name);
}

static GHashTable *
members_in_service (control_t *control)
{
  GHashTable *serving = new_boots ();
  GPtrArray *list
      = cs_members_of_dc (control->members, control->node->settings.dc);
  for (guint i = 0; i < list->len; i++)
    {
      const cs_member_t *m = list->pdata[i];
      if (m->state == CS_NODE_UP)
        set_boot (serving, m->name, m->boot);
    }
  g_ptr_array_unref (list);
  return serving;
}

static void
publish_loss (control_t *control, const cs_loss_t *loss, const char *key)
{
  cs_pack_t pack;
  cs_pack_init (&pack);
  cs_loss_pack (&pack, loss);
  cs_record_t *record
      = cs_record_new (CS_RECORD_LOSS, key, (uint64_t)loss->until_ms, 1,
                       cs_pack_payload (&pack));
  record->expires_ms = loss->until_ms;
  record->urgent = true;
  cs_members_merge (control->ctx, control->members, record);
  cs_record_free (record);
  cs_pack_clear (&pack);
  cs_log (CS_LOG_WARNING, "key-records-lost",
          "scope=%s members=%u until_ms=%lld", loss->all ? "all" : "together",
          loss->dead->len, (long long)loss->until_ms);
}

static int64_t
retention_end (control_t *control)
{
  return cs_wall (control->ctx) / CS_MSEC
         + control->node->settings.idempotency_retention_s * 1000;
}

/* Deaths close to one another may have taken both keepers of a key.  */
static void
judge_deaths (control_t *control, GHashTable *before)
{
  keeper_t *k = control->keeper;
  cs_usec_t now = cs_now (control->ctx);
  death_t *oldest;
  while ((oldest = g_queue_peek_head (&k->deaths))
         && now - oldest->at > LOSS_WINDOW)
    death_free (g_queue_pop_head (&k->deaths));
  if (k->deaths.length < 2
      && !(k->deaths.length == 1 && g_hash_table_size (before) == 1))
    return;
  cs_loss_t *loss = cs_loss_new (retention_end (control), false);
  GHashTableIter iter;
  gpointer name;
  GString *key = g_string_new (control->node->settings.dc);
  g_hash_table_iter_init (&iter, before);
  while (g_hash_table_iter_next (&iter, &name, NULL))
    g_ptr_array_add (loss->view, g_strdup (name));
  for (GList *at = k->deaths.head; at; at = at->next)
    {
      const death_t *d = at->data;
      g_string_append_printf (key, " %s", d->name);
      g_ptr_array_add (loss->dead, g_strdup (d->name));
      if (!g_hash_table_contains (before, d->name))
        g_ptr_array_add (loss->view, g_strdup (d->name));
    }
  publish_loss (control, loss, key->str);
  g_string_free (key, TRUE);
  cs_loss_free (loss);
}

static bool
left_in_order (control_t *control, const char *name)
{
  const cs_member_t *m = cs_members_find (control->members, name);
  return m && (m->state == CS_NODE_LEFT || m->state == CS_NODE_DRAINING)
         && m->health != CS_DEAD;
}

/* Note who of BEFORE is gone, or is back without its memory.  */
static void
note_deaths (control_t *control, GHashTable *before)
{
  keeper_t *k = control->keeper;
  GHashTableIter iter;
  gpointer name, boot;
  bool any = false;
  g_hash_table_iter_init (&iter, before);
  while (g_hash_table_iter_next (&iter, &name, &boot))
    {
      if (has_boot (k->serving, name, *(uint64_t *)boot)
          || left_in_order (control, name))
        continue;
      death_t *d = g_new (death_t, 1);
      d->name = g_strdup (name);
      d->at = cs_now (control->ctx);
      g_queue_push_tail (&k->deaths, d);
      cs_once_orphan (k->table, name, *(uint64_t *)boot);
      any = true;
    }
  if (any)
    judge_deaths (control, before);
}

static void
announce_handed (control_t *control, GHashTable *before)
{
  keeper_t *k = control->keeper;
  GHashTableIter iter;
  gpointer name, boot;
  g_hash_table_iter_init (&iter, k->serving);
  while (g_hash_table_iter_next (&iter, &name, &boot))
    if (strcmp (name, control->node->settings.node) != 0
        && !has_boot (before, name, *(uint64_t *)boot))
      send_handed (control, name);
}

/* Ask those that have not handed over, as when their word was lost.  */
static void
ask_for_handover (control_t *control, cs_usec_t now)
{
  keeper_t *k = control->keeper;
  GHashTableIter iter;
  gpointer name, boot;
  if (now - k->asked_at < RESEND_INTERVAL)
    return;
  k->asked_at = now;
  g_hash_table_iter_init (&iter, k->serving);
  while (g_hash_table_iter_next (&iter, &name, &boot))
    if (strcmp (name, control->node->settings.node) != 0
        && !has_boot (k->handed, name, *(uint64_t *)boot))
      send_op (control, name, OP_ASK_HANDED, 0, NULL);
}

static bool
same_boots (GHashTable *a, GHashTable *b)
{
  GHashTableIter iter;
  gpointer name, boot;
  if (g_hash_table_size (a) != g_hash_table_size (b))
    return false;
  g_hash_table_iter_init (&iter, a);
  while (g_hash_table_iter_next (&iter, &name, &boot))
    if (!has_boot (b, name, *(uint64_t *)boot))
      return false;
  return true;
}

static void
follow_members (control_t *control)
{
  keeper_t *k = control->keeper;
  uint64_t generation = cs_members_generation (control->members);
  if (generation == k->generation)
    return;
  k->generation = generation;
  GHashTable *before = k->serving;
  k->serving = members_in_service (control);
  if (!same_boots (before, k->serving))
    {
      handover_t h = { .control = control, .before = before };
      note_deaths (control, before);
      cs_once_foreach (k->table, hand_over_record, &h);
      announce_handed (control, before);
    }
  g_hash_table_unref (before);
}

/* Losses and the first member of a data centre.  */

void
keeper_on_record (control_t *control, const cs_record_t *record)
{
  cs_unpack_t unpack;
  cs_cursor_t in;
  if (record->kind != CS_RECORD_LOSS
      || !g_str_has_prefix (record->key, control->node->settings.dc)
      || cs_unpack_init (control->ctx, &unpack,
                         cs_str_of_gstring (record->value), &in)
             != CS_OK)
    return;
  cs_loss_t *loss = cs_loss_take (&in);
  if (loss)
    g_ptr_array_add (control->keeper->losses, loss);
  cs_unpack_clear (&unpack);
}

static char *
alive_key (const node_t *node)
{
  return g_strconcat ("cs/dc/", node->settings.dc, NULL);
}

/* What the row "cs/dc/DC" says: when the data centre was first in service
   and when it last was, as "CREATED_MS ALIVE_MS".  */
typedef struct
{
  control_t *control;
  cs_status_t status;
  long long created_ms, alive_ms;
} alive_t;

static void
judge_absence (control_t *control, void *arg)
{
  alive_t *a = arg;
  const cs_member_t *self = cs_members_self (control->members);
  int64_t now_ms = cs_wall (control->ctx) / CS_MSEC;
  int64_t retention_ms
      = control->node->settings.idempotency_retention_s * 1000;
  bool fresh = a->status == CS_NOT_FOUND
               || (a->status == CS_OK
                   && a->created_ms >= (int64_t)self->boot - BOOTSTRAP_MS);
  int64_t until
      = a->status == CS_OK
            ? a->alive_ms + 2 * ALIVE_INTERVAL / CS_MSEC + retention_ms
            : now_ms + retention_ms;
  if (fresh || until <= now_ms)
    return;
  cs_loss_t *loss = cs_loss_new (until, true);
  char *key = g_strdup_printf ("%s all %llu", control->node->settings.dc,
                               (unsigned long long)self->boot);
  publish_loss (control, loss, key);
  g_free (key);
  cs_loss_free (loss);
}

static cs_status_t
read_alive (node_t *node, cs_ctx_t *ctx, cs_platform_t *platform, alive_t *a,
            int64_t *revision)
{
  cs_row_t *row = NULL;
  char *key = alive_key (node);
  cs_status_t status
      = platform ? cs_platform_row (ctx, platform, key, &row) : CS_UNAVAILABLE;
  if (status == CS_OK
      && sscanf (row->value->str, "%lld %lld", &a->created_ms, &a->alive_ms)
             != 2)
    status = CS_CORRUPT;
  *revision = row ? row->revision : 0;
  cs_row_free (row);
  g_free (key);
  return status;
}

static void
check_absence (node_t *node, cs_ctx_t *ctx, cs_platform_t *platform, void *arg)
{
  alive_t *a = arg;
  int64_t revision;
  a->status = read_alive (node, ctx, platform, a, &revision);
  control_post (a->control, judge_absence, a, g_free);
}

static void
write_alive (node_t *node, cs_ctx_t *ctx, cs_platform_t *platform, void *arg)
{
  alive_t a = { 0 };
  int64_t revision, now_ms = cs_wall (ctx) / CS_MSEC;
  char text[64], *key = alive_key (node);
  (void)arg;
  cs_status_t status = read_alive (node, ctx, platform, &a, &revision);
  if (status == CS_NOT_FOUND)
    a.created_ms = now_ms;
  if (status == CS_OK || status == CS_NOT_FOUND)
    {
      snprintf (text, sizeof text, "%lld %lld", a.created_ms,
                (long long)now_ms);
      cs_condition_t condition = { .key = key, .revision = revision };
      cs_write_t write = { .key = key, .value = cs_str_of (text) };
      cs_txn_t txn = { .conditions = &condition,
                       .condition_count = 1,
                       .writes = &write,
                       .write_count = 1 };
      cs_platform_commit (ctx, platform, &txn, &revision);
    }
  g_free (key);
}

void
keeper_joined (control_t *control)
{
  GHashTable *serving = members_in_service (control);
  guint others = g_hash_table_size (serving);
  g_hash_table_unref (serving);
  if (others > 0)
    return;
  alive_t *a = g_new0 (alive_t, 1);
  a->control = control;
  store_post (control->node->store, check_absence, a);
}

static void
drop_old_losses (control_t *control)
{
  GPtrArray *losses = control->keeper->losses;
  int64_t now_ms = cs_wall (control->ctx) / CS_MSEC;
  for (guint i = losses->len; i-- > 0;)
    if (((cs_loss_t *)losses->pdata[i])->until_ms <= now_ms)
      g_ptr_array_remove_index_fast (losses, i);
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
  follow_members (control);
  give_up_copies (control, now);
  ask_for_handover (control, now);
  resend (control, now);
  if (now - k->expired_at >= CS_SEC)
    {
      k->expired_at = now;
      cs_once_expire (k->table, cs_wall (control->ctx) / CS_MSEC);
      drop_old_losses (control);
    }
  bool up = cs_members_self (control->members)->state == CS_NODE_UP;
  if (up && (k->alive_at == 0 || now - k->alive_at >= ALIVE_INTERVAL)
      && cs_members_own_rank (control->members) == 0)
    {
      k->alive_at = now;
      store_post (control->node->store, write_alive, NULL);
    }
}
