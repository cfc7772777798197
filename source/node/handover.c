/* The handover of idempotency records when the members in service of the data
   centre change.  Every replica sends its records to their new replicas, and
   then OP_HANDOVER_DONE to the members that are new.  A new member grants no
   claims before all others in service have sent it.

   Members that die at about the same time may have held both replicas of a
   record.  Such a loss is published to all members, so that a request whose
   key it covers is answered "unknown" and is not run a second time.  */
#include <string.h>

#include "replica-internal.h"

/* Members that die within this time may have held both replicas of a key.  */
#define JOINT_LOSS_WINDOW (10 * CS_SEC)

void
member_loss_free (gpointer data)
{
  member_loss_t *member_loss = data;
  g_free (member_loss->name);
  g_free (member_loss);
}

GHashTable *
boot_table_new (void)
{
  return g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
}

void
boot_table_set (GHashTable *boots, const char *name, uint64_t boot)
{
  uint64_t *value = g_new (uint64_t, 1);
  *value = boot;
  g_hash_table_replace (boots, g_strdup (name), value);
}

bool
boot_table_contains (GHashTable *boots, const char *name, uint64_t boot)
{
  const uint64_t *value = g_hash_table_lookup (boots, name);
  return value && *value == boot;
}

bool
handover_is_complete (control_t *control)
{
  replica_t *replica = control->replica;
  GHashTableIter iter;
  gpointer name, boot;
  const char *self = control->node->settings.node;
  g_hash_table_iter_init (&iter, replica->members_in_service);
  while (g_hash_table_iter_next (&iter, &name, &boot))
    if (strcmp (name, self) != 0
        && !boot_table_contains (replica->handovers_done, name,
                                 *(uint64_t *)boot))
      return false;
  return true;
}

bool
replica_may_have_lost (control_t *control, const char *key)
{
  replica_t *replica = control->replica;
  int64_t now_ms = cs_now_wall (control->ctx) / CS_MSEC;
  for (guint i = 0; i < replica->replica_losses->len; i++)
    {
      const cs_replica_loss_t *loss = replica->replica_losses->pdata[i];
      if (loss->until_ms > now_ms && cs_replica_loss_covers (loss, key))
        return true;
    }
  return false;
}

/* Set NAMES to the members of the table BOOTS that are the replicas of KEY,
   the highest rendezvous weight first; NULL beyond the last member.  The code
   is for CS_KEY_REPLICAS 2.  */
static void
find_replicas (GHashTable *boots, const char *key,
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
      int position = !names[0] || weight > weights[0]   ? 0
                     : !names[1] || weight > weights[1] ? 1
                                                        : CS_KEY_REPLICAS;
      if (position == 0)
        {
          names[1] = names[0];
          weights[1] = weights[0];
        }
      if (position < CS_KEY_REPLICAS)
        {
          names[position] = name;
          weights[position] = weight;
        }
    }
}

/* Argument of send_to_new_replicas.  */
typedef struct
{
  control_t *control;
  GHashTable *boots_before; /* Boot table of the members in service before.  */
} membership_change_t;

/* Whether NAME is one of REPLICAS_BEFORE, the replicas before the change, and
   has not restarted since.  */
static bool
was_replica_before (const membership_change_t *change,
                    const char *const replicas_before[CS_KEY_REPLICAS],
                    const char *name)
{
  const uint64_t *boot = g_hash_table_lookup (
      change->control->replica->members_in_service, name);
  for (int i = 0; i < CS_KEY_REPLICAS; i++)
    if (replicas_before[i] && strcmp (replicas_before[i], name) == 0)
      return boot && boot_table_contains (change->boots_before, name, *boot);
  return false;
}

/* Send RECORD to those of its replicas that do not have it.  */
static void
send_to_new_replicas (void *user, const cs_idempotency_record_t *record)
{
  membership_change_t *change = user;
  const char *replicas_before[CS_KEY_REPLICAS],
      *current_replicas[CS_KEY_REPLICAS];
  const char *self = change->control->node->settings.node;
  find_replicas (change->boots_before, record->key, replicas_before);
  find_replicas (change->control->replica->members_in_service, record->key,
                 current_replicas);
  for (int i = 0; i < CS_KEY_REPLICAS; i++)
    if (current_replicas[i] && strcmp (current_replicas[i], self) != 0
        && !was_replica_before (change, replicas_before, current_replicas[i]))
      replica_send_message (change->control, current_replicas[i], OP_COPY, 0,
                            record);
}

static void
send_handover_done (control_t *control, const char *to)
{
  replica_send_message (control, to, OP_HANDOVER_DONE,
                        cs_members_self (control->members)->boot, NULL);
}

/* Argument of send_if_replica.  */
typedef struct
{
  control_t *control;
  const char *name; /* Member that asks for its records.  */
} handover_request_t;

/* Send RECORD to the member of the request if it is a replica of it.  */
static void
send_if_replica (void *user, const cs_idempotency_record_t *record)
{
  const handover_request_t *request = user;
  const char *current_replicas[CS_KEY_REPLICAS];
  find_replicas (request->control->replica->members_in_service, record->key,
                 current_replicas);
  for (int i = 0; i < CS_KEY_REPLICAS; i++)
    if (current_replicas[i]
        && strcmp (current_replicas[i], request->name) == 0)
      replica_send_message (request->control, request->name, OP_COPY, 0,
                            record);
}

void
handover_send_all (control_t *control, const char *name)
{
  handover_request_t request = { .control = control, .name = name };
  if (!g_hash_table_contains (control->replica->members_in_service, name))
    return;
  cs_idempotency_foreach (control->replica->table, send_if_replica, &request);
  send_handover_done (control, name);
}

GHashTable *
handover_members_in_service (control_t *control)
{
  GHashTable *members_in_service = boot_table_new ();
  GPtrArray *members
      = cs_members_of_dc (control->members, control->node->settings.dc);
  for (guint i = 0; i < members->len; i++)
    {
      const cs_member_t *member = members->pdata[i];
      if (member->state == CS_NODE_UP)
        boot_table_set (members_in_service, member->name, member->boot);
    }
  g_ptr_array_unref (members);
  return members_in_service;
}

void
replica_publish_loss (control_t *control, const cs_replica_loss_t *loss,
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

/* Wall time at which a record that is made now expires.  */
static int64_t
retention_end_ms (control_t *control)
{
  return cs_now_wall (control->ctx) / CS_MSEC
         + control->node->settings.idempotency_retention_s * 1000;
}

/* Publish a loss of replicas if at least two members were lost within
   JOINT_LOSS_WINDOW, or one that was the only member of BOOTS_BEFORE.  Two is
   the number of the replicas of a key, CS_KEY_REPLICAS.  */
static void
publish_joint_loss (control_t *control, GHashTable *boots_before)
{
  replica_t *replica = control->replica;
  cs_usec_t now = cs_now (control->ctx);
  member_loss_t *oldest;
  while ((oldest = g_queue_peek_head (&replica->recent_member_losses))
         && now - oldest->detected_at > JOINT_LOSS_WINDOW)
    member_loss_free (g_queue_pop_head (&replica->recent_member_losses));
  if (replica->recent_member_losses.length < 2
      && !(replica->recent_member_losses.length == 1
           && g_hash_table_size (boots_before) == 1))
    return;
  cs_replica_loss_t *loss
      = cs_replica_loss_new (retention_end_ms (control), false);
  GHashTableIter iter;
  gpointer name;
  GString *key = g_string_new (control->node->settings.dc);
  g_hash_table_iter_init (&iter, boots_before);
  while (g_hash_table_iter_next (&iter, &name, NULL))
    g_ptr_array_add (loss->members_before, g_strdup (name));
  for (GList *link = replica->recent_member_losses.head; link;
       link = link->next)
    {
      const member_loss_t *member_loss = link->data;
      g_string_append_printf (key, " %s", member_loss->name);
      g_ptr_array_add (loss->members_lost, g_strdup (member_loss->name));
      if (!g_hash_table_contains (boots_before, member_loss->name))
        g_ptr_array_add (loss->members_before, g_strdup (member_loss->name));
    }
  replica_publish_loss (control, loss, key->str);
  g_string_free (key, TRUE);
  cs_replica_loss_free (loss);
}

/* Whether NAME is shutting down, or has shut down, in an orderly way.  */
static bool
left_orderly (control_t *control, const char *name)
{
  const cs_member_t *member = cs_members_find (control->members, name);
  return member
         && (member->state == CS_NODE_LEFT
             || member->state == CS_NODE_DRAINING)
         && member->health != CS_DEAD;
}

/* Add to recent_member_losses the members of BOOTS_BEFORE that died or
   restarted without an orderly shutdown; they held records in memory only.  */
static void
detect_member_losses (control_t *control, GHashTable *boots_before)
{
  replica_t *replica = control->replica;
  GHashTableIter iter;
  gpointer name, boot;
  bool found = false;
  g_hash_table_iter_init (&iter, boots_before);
  while (g_hash_table_iter_next (&iter, &name, &boot))
    {
      if (boot_table_contains (replica->members_in_service, name,
                               *(uint64_t *)boot)
          || left_orderly (control, name))
        continue;
      member_loss_t *member_loss = g_new (member_loss_t, 1);
      member_loss->name = g_strdup (name);
      member_loss->detected_at = cs_now (control->ctx);
      g_queue_push_tail (&replica->recent_member_losses, member_loss);
      cs_idempotency_mark_unknown (replica->table, name, *(uint64_t *)boot);
      found = true;
    }
  if (found)
    publish_joint_loss (control, boots_before);
}

/* Send OP_HANDOVER_DONE to the members in service that are not in BOOTS_BEFORE
   with their present boot.  */
static void
announce_handover_done (control_t *control, GHashTable *boots_before)
{
  replica_t *replica = control->replica;
  GHashTableIter iter;
  gpointer name, boot;
  g_hash_table_iter_init (&iter, replica->members_in_service);
  while (g_hash_table_iter_next (&iter, &name, &boot))
    if (strcmp (name, control->node->settings.node) != 0
        && !boot_table_contains (boots_before, name, *(uint64_t *)boot))
      send_handover_done (control, name);
}

void
handover_request_missing (control_t *control, cs_usec_t now)
{
  replica_t *replica = control->replica;
  GHashTableIter iter;
  gpointer name, boot;
  if (now - replica->handover_requested_at < RESEND_INTERVAL)
    return;
  replica->handover_requested_at = now;
  g_hash_table_iter_init (&iter, replica->members_in_service);
  while (g_hash_table_iter_next (&iter, &name, &boot))
    if (strcmp (name, control->node->settings.node) != 0
        && !boot_table_contains (replica->handovers_done, name,
                                 *(uint64_t *)boot))
      replica_send_message (control, name, OP_REQUEST_HANDOVER, 0, NULL);
}

static bool
boot_tables_equal (GHashTable *a, GHashTable *b)
{
  GHashTableIter iter;
  gpointer name, boot;
  if (g_hash_table_size (a) != g_hash_table_size (b))
    return false;
  g_hash_table_iter_init (&iter, a);
  while (g_hash_table_iter_next (&iter, &name, &boot))
    if (!boot_table_contains (b, name, *(uint64_t *)boot))
      return false;
  return true;
}

void
handover_update_members (control_t *control)
{
  replica_t *replica = control->replica;
  uint64_t generation = cs_members_generation (control->members);
  if (generation == replica->members_generation)
    return;
  replica->members_generation = generation;
  GHashTable *boots_before = replica->members_in_service;
  replica->members_in_service = handover_members_in_service (control);
  if (!boot_tables_equal (boots_before, replica->members_in_service))
    {
      membership_change_t change
          = { .control = control, .boots_before = boots_before };
      detect_member_losses (control, boots_before);
      cs_idempotency_foreach (replica->table, send_to_new_replicas, &change);
      announce_handover_done (control, boots_before);
    }
  g_hash_table_unref (boots_before);
}

void
replica_on_record (control_t *control, const cs_record_t *record)
{
  cs_unpack_t unpack;
  cs_unpack_cursor_t in;
  /* The key begins with the name of the data centre of the loss.  Only its
     beginning is compared, so a loss of a data centre whose name begins with
     that of this one is stored too.  */
  if (record->kind != CS_RECORD_REPLICA_LOSS
      || !g_str_has_prefix (record->key, control->node->settings.dc)
      || cs_unpack_init (control->ctx, &unpack,
                         cs_str_of_gstring (record->value), &in)
             != CS_OK)
    return;
  cs_replica_loss_t *loss = cs_replica_loss_unpack (&in);
  if (loss)
    g_ptr_array_add (control->replica->replica_losses, loss);
  cs_unpack_clear (&unpack);
}

void
replica_expire_losses (control_t *control)
{
  GPtrArray *losses = control->replica->replica_losses;
  int64_t now_ms = cs_now_wall (control->ctx) / CS_MSEC;
  for (guint i = losses->len; i-- > 0;)
    if (((cs_replica_loss_t *)losses->pdata[i])->until_ms <= now_ms)
      g_ptr_array_remove_index_fast (losses, i);
}
