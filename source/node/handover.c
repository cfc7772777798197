/* What a keeper does when the members in service of its data centre change:
   every keeper sends its records to those that became keepers, and HANDED to
   those that are new; a new member grants nothing before all have handed over.
   Members that die together may take both copies of a record with them: such a
   loss is remembered by all.  */
#include <string.h>

#include "keeper-internal.h"

#define LOSS_WINDOW (10 * CS_SEC) /* Deaths within it count as together.  */

void
keeper_free_death (gpointer data)
{
  death_t *d = data;
  g_free (d->name);
  g_free (d);
}

GHashTable *
keeper_new_boots (void)
{
  return g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
}

void
keeper_set_boot (GHashTable *boots, const char *name, uint64_t boot)
{
  uint64_t *value = g_new (uint64_t, 1);
  *value = boot;
  g_hash_table_replace (boots, g_strdup (name), value);
}

bool
keeper_has_boot (GHashTable *boots, const char *name, uint64_t boot)
{
  const uint64_t *value = g_hash_table_lookup (boots, name);
  return value && *value == boot;
}

bool
keeper_all_have_handed (control_t *control)
{
  keeper_t *k = control->keeper;
  GHashTableIter iter;
  gpointer name, boot;
  const char *self = control->node->settings.node;
  g_hash_table_iter_init (&iter, k->serving);
  while (g_hash_table_iter_next (&iter, &name, &boot))
    if (strcmp (name, self) != 0
        && !keeper_has_boot (k->handed, name, *(uint64_t *)boot))
      return false;
  return true;
}

bool
keeper_may_have_lost (control_t *control, const char *key)
{
  keeper_t *k = control->keeper;
  int64_t now_ms = cs_now_wall (control->ctx) / CS_MSEC;
  for (guint i = 0; i < k->losses->len; i++)
    {
      const cs_replica_loss_t *loss = k->losses->pdata[i];
      if (loss->until_ms > now_ms && cs_replica_loss_covers (loss, key))
        return true;
    }
  return false;
}

/* The two names of BOOTS that come first for KEY.  */
static void
first_two (GHashTable *boots, const char *key,
           const char *names[CS_KEY_REPLICAS])
{
  GHashTableIter iter;
  gpointer name;
  uint64_t weights[CS_KEY_REPLICAS] = { 0 };
  names[0] = names[1] = NULL;
  g_hash_table_iter_init (&iter, boots);
  while (g_hash_table_iter_next (&iter, &name, NULL))
    {
      uint64_t weight = cs_rendezvous_weight (name, key);
      int at = !names[0] || weight > weights[0]   ? 0
               : !names[1] || weight > weights[1] ? 1
                                                  : CS_KEY_REPLICAS;
      if (at == 0)
        {
          names[1] = names[0];
          weights[1] = weights[0];
        }
      if (at < CS_KEY_REPLICAS)
        {
          names[at] = name;
          weights[at] = weight;
        }
    }
}

typedef struct
{
  control_t *control;
  GHashTable *before;
} handover_t;

static bool
kept_before (const handover_t *h, const char *const before[CS_KEY_REPLICAS],
             const char *name)
{
  const uint64_t *boot
      = g_hash_table_lookup (h->control->keeper->serving, name);
  for (int i = 0; i < CS_KEY_REPLICAS; i++)
    if (before[i] && strcmp (before[i], name) == 0)
      return boot && keeper_has_boot (h->before, name, *boot);
  return false;
}

static void
hand_over_record (void *user, const cs_idempotency_record_t *record)
{
  handover_t *h = user;
  const char *before[CS_KEY_REPLICAS], *now[CS_KEY_REPLICAS];
  const char *self = h->control->node->settings.node;
  first_two (h->before, record->key, before);
  first_two (h->control->keeper->serving, record->key, now);
  for (int i = 0; i < CS_KEY_REPLICAS; i++)
    if (now[i] && strcmp (now[i], self) != 0
        && !kept_before (h, before, now[i]))
      keeper_send_op (h->control, now[i], OP_COPY, 0, record);
}

static void
send_handed (control_t *control, const char *to)
{
  keeper_send_op (control, to, OP_HANDED,
                  cs_members_self (control->members)->boot, NULL);
}

typedef struct
{
  control_t *control;
  const char *name;
} return_t;

static void
hand_over_if_kept (void *user, const cs_idempotency_record_t *record)
{
  const return_t *r = user;
  const char *now[CS_KEY_REPLICAS];
  first_two (r->control->keeper->serving, record->key, now);
  for (int i = 0; i < CS_KEY_REPLICAS; i++)
    if (now[i] && strcmp (now[i], r->name) == 0)
      keeper_send_op (r->control, r->name, OP_COPY, 0, record);
}

/* Send NAME all that it keeps by this node's view, if it is in service by
   that view.  */
void
keeper_hand_over_to (control_t *control, const char *name)
{
  return_t r = { .control = control, .name = name };
  if (!g_hash_table_contains (control->keeper->serving, name))
    return;
  cs_idempotency_foreach (control->keeper->table, hand_over_if_kept, &r);
  send_handed (control, name);
}

GHashTable *
keeper_members_in_service (control_t *control)
{
  GHashTable *serving = keeper_new_boots ();
  GPtrArray *list
      = cs_members_of_dc (control->members, control->node->settings.dc);
  for (guint i = 0; i < list->len; i++)
    {
      const cs_member_t *m = list->pdata[i];
      if (m->state == CS_NODE_UP)
        keeper_set_boot (serving, m->name, m->boot);
    }
  g_ptr_array_unref (list);
  return serving;
}

void
keeper_publish_loss (control_t *control, const cs_replica_loss_t *loss,
                     const char *key)
{
  cs_pack_t pack;
  cs_pack_init (&pack);
  cs_replica_loss_pack (&pack, loss);
  cs_record_t *record
      = cs_record_new (CS_RECORD_REPLICA_LOSS, key, (uint64_t)loss->until_ms,
                       1, cs_pack_payload (&pack));
  record->expires_ms = loss->until_ms;
  record->urgent = true;
  cs_members_merge (control->ctx, control->members, record);
  cs_record_free (record);
  cs_pack_clear (&pack);
  cs_log (CS_LOG_WARNING, "key-records-lost",
          "scope=%s members=%u until_ms=%lld",
          loss->all_records ? "all" : "together", loss->members_lost->len,
          (long long)loss->until_ms);
}

static int64_t
retention_end (control_t *control)
{
  return cs_now_wall (control->ctx) / CS_MSEC
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
    keeper_free_death (g_queue_pop_head (&k->deaths));
  if (k->deaths.length < 2
      && !(k->deaths.length == 1 && g_hash_table_size (before) == 1))
    return;
  cs_replica_loss_t *loss
      = cs_replica_loss_new (retention_end (control), false);
  GHashTableIter iter;
  gpointer name;
  GString *key = g_string_new (control->node->settings.dc);
  g_hash_table_iter_init (&iter, before);
  while (g_hash_table_iter_next (&iter, &name, NULL))
    g_ptr_array_add (loss->members_before, g_strdup (name));
  for (GList *at = k->deaths.head; at; at = at->next)
    {
      const death_t *d = at->data;
      g_string_append_printf (key, " %s", d->name);
      g_ptr_array_add (loss->members_lost, g_strdup (d->name));
      if (!g_hash_table_contains (before, d->name))
        g_ptr_array_add (loss->members_before, g_strdup (d->name));
    }
  keeper_publish_loss (control, loss, key->str);
  g_string_free (key, TRUE);
  cs_replica_loss_free (loss);
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
      if (keeper_has_boot (k->serving, name, *(uint64_t *)boot)
          || left_in_order (control, name))
        continue;
      death_t *d = g_new (death_t, 1);
      d->name = g_strdup (name);
      d->at = cs_now (control->ctx);
      g_queue_push_tail (&k->deaths, d);
      cs_idempotency_mark_unknown (k->table, name, *(uint64_t *)boot);
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
        && !keeper_has_boot (before, name, *(uint64_t *)boot))
      send_handed (control, name);
}

/* Ask those that have not handed over, as when their word was lost.  */
void
keeper_ask_for_handover (control_t *control, cs_usec_t now)
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
        && !keeper_has_boot (k->handed, name, *(uint64_t *)boot))
      keeper_send_op (control, name, OP_ASK_HANDED, 0, NULL);
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
    if (!keeper_has_boot (b, name, *(uint64_t *)boot))
      return false;
  return true;
}

void
keeper_follow_members (control_t *control)
{
  keeper_t *k = control->keeper;
  uint64_t generation = cs_members_generation (control->members);
  if (generation == k->generation)
    return;
  k->generation = generation;
  GHashTable *before = k->serving;
  k->serving = keeper_members_in_service (control);
  if (!same_boots (before, k->serving))
    {
      handover_t h = { .control = control, .before = before };
      note_deaths (control, before);
      cs_idempotency_foreach (k->table, hand_over_record, &h);
      announce_handed (control, before);
    }
  g_hash_table_unref (before);
}

void
keeper_on_record (control_t *control, const cs_record_t *record)
{
  cs_unpack_t unpack;
  cs_unpack_cursor_t in;
  if (record->kind != CS_RECORD_REPLICA_LOSS
      || !g_str_has_prefix (record->key, control->node->settings.dc)
      || cs_unpack_init (control->ctx, &unpack,
                         cs_str_of_gstring (record->value), &in)
             != CS_OK)
    return;
  cs_replica_loss_t *loss = cs_replica_loss_unpack (&in);
  if (loss)
    g_ptr_array_add (control->keeper->losses, loss);
  cs_unpack_clear (&unpack);
}

void
keeper_drop_old_losses (control_t *control)
{
  GPtrArray *losses = control->keeper->losses;
  int64_t now_ms = cs_now_wall (control->ctx) / CS_MSEC;
  for (guint i = losses->len; i-- > 0;)
    if (((cs_replica_loss_t *)losses->pdata[i])->until_ms <= now_ms)
      g_ptr_array_remove_index_fast (losses, i);
}
