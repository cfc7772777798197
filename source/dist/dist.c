#include <string.h>

#include "cardamom/counters.h"
#include "dist-internal.h"
#include "cardamom/log.h"

#define HOLDERS_BEFORE_FORCE 2
#define REFUSED_PAUSE                                                         \
  (5 * CS_SEC) /* Until a refused version is read anew.                       \
                */

const cs_dist_options_t cs_dist_defaults = {
  .lead_poll = 250 * CS_MSEC,
  .reader_poll = 2 * CS_SEC,
  .readers = 2,
  .resend = 400 * CS_MSEC,
  .join_patience = 3 * CS_SEC,
  .join_lonely = 1 * CS_SEC,
  .joins_per_s = 50,
};

cs_dist_t *
cs_dist_new (cs_ctx_t *ctx, cs_members_t *members,
             const cs_dist_options_t *options, const cs_dist_ops_t *ops,
             void *user)
{
  cs_dist_t *dist = cs_calloc (ctx, sizeof *dist);
  dist->members = members;
  dist->options = *options;
  dist->ops = ops;
  dist->user = user;
  dist->docs = cs_docs_new (ctx);
  g_queue_init (&dist->ring);
  dist->holders
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  dist->answers
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  dist->started = cs_now (ctx);
  dist->polled_at = dist->asked_at = -CS_SEC * 3600;
  dist->poll_jitter
      = g_rand_int_range (ctx->random, 0, (gint32)DIST_JOIN_JITTER);
  return dist;
}

void
cs_dist_drop (cs_ctx_t *ctx, cs_dist_t *dist)
{
  if (!dist)
    return;
  cs_docs_drop (ctx, dist->docs);
  cs_snapshot_drop (ctx, dist->staged);
  g_queue_clear_full (&dist->ring, cs_change_free);
  g_hash_table_unref (dist->holders);
  g_hash_table_unref (dist->answers);
  cs_free (ctx, dist);
}

void
cs_dist_set_heard (cs_dist_t *dist, bool (*heard) (void *user, const char *dc),
                   void *user)
{
  dist->heard = heard;
  dist->heard_user = user;
}

bool
cs_dist_ready (const cs_dist_t *dist)
{
  return dist->ready;
}

bool
cs_dist_store_ok (const cs_dist_t *dist)
{
  return dist->store_ok;
}

int64_t
cs_dist_version (const cs_dist_t *dist)
{
  return dist->version;
}

uint64_t
cs_dist_digest (const cs_dist_t *dist)
{
  return dist->digest;
}

/* The live members of the own data centre without this node.  */
GPtrArray *
dist_own_mates (const cs_dist_t *dist)
{
  const cs_member_t *self = cs_members_self (dist->members);
  GPtrArray *mates = cs_members_of_dc (dist->members, self->dc);
  g_ptr_array_remove (mates, (gpointer)self);
  return mates;
}

static bool
is_mate (const cs_dist_t *dist, const char *name)
{
  const cs_member_t *m = cs_members_find (dist->members, name);
  return m && strcmp (m->dc, cs_members_self (dist->members)->dc) == 0;
}

void
dist_send (cs_dist_t *dist, const char *node, cs_dist_type_t type,
           int64_t version)
{
  cs_dist_message_t message = { .type = type,
                                .version = version,
                                .digest = cs_docs_digest (dist->docs),
                                .ready = dist->ready };
  dist->ops->send (dist->user, node, &message);
}

/* The changes after AFTER, or NULL when the ring does not reach back.  */
static GPtrArray *
ring_after (const cs_dist_t *dist, int64_t after)
{
  const cs_change_t *oldest = g_queue_peek_head ((GQueue *)&dist->ring);
  if (!oldest || oldest->version > after + 1)
    return NULL;
  GPtrArray *changes = g_ptr_array_new ();
  for (GList *at = dist->ring.head; at; at = at->next)
    if (((cs_change_t *)at->data)->version > after)
      g_ptr_array_add (changes, at->data);
  return changes;
}

static bool
admit_join (cs_ctx_t *ctx, cs_dist_t *dist)
{
  cs_usec_t now = cs_now (ctx);
  if (now - dist->joins_since >= CS_SEC)
    {
      dist->joins_since = now;
      dist->joins_answered = 0;
    }
  return dist->joins_answered++ < dist->options.joins_per_s;
}

/* Send NODE all that it lacks beyond AFTER.  */
static void
send_newer (cs_ctx_t *ctx, cs_dist_t *dist, const char *node, int64_t after,
            bool forward)
{
  cs_dist_message_t message = { .type = CS_DIST_CHANGES,
                                .version = dist->held,
                                .digest = cs_docs_digest (dist->docs),
                                .ready = dist->ready,
                                .forward = forward };
  GPtrArray *changes = ring_after (dist, after);
  message.changes = changes;
  if (!changes && !admit_join (ctx, dist))
    {
      dist_send (dist, node, CS_DIST_BUSY, dist->held);
      return;
    }
  if (!changes)
    {
      message.type = CS_DIST_FULL;
      message.docs = dist->docs;
    }
  dist->ops->send (dist->user, node, &message);
  if (changes)
    g_ptr_array_unref (changes);
}

static void
push_to_mates (cs_ctx_t *ctx, cs_dist_t *dist, const char *except,
               int64_t after)
{
  GPtrArray *mates = dist_own_mates (dist);
  for (guint i = 0; i < mates->len; i++)
    {
      const cs_member_t *m = mates->pdata[i];
      if ((!except || strcmp (m->name, except) != 0)
          && !g_hash_table_contains (dist->holders, m->name))
        send_newer (ctx, dist, m->name, after, false);
    }
  g_ptr_array_unref (mates);
  dist->pushed_at = cs_now (ctx);
}

static bool
dc_in_own_region (const cs_dist_t *dist, const cs_member_t *m)
{
  return strcmp (m->region, cs_members_self (dist->members)->region) == 0;
}

/* Push to the first reader of every other data centre of the own region and,
   when the version is new to this region's nodes by this node, to one data
   centre of every other region, which passes it on.  */
static void
push_to_other_dcs (cs_ctx_t *ctx, cs_dist_t *dist, int64_t after,
                   bool to_regions)
{
  GPtrArray *dcs = cs_members_other_dcs (dist->members);
  GHashTable *regions = g_hash_table_new (g_str_hash, g_str_equal);
  for (guint i = 0; i < dcs->len; i++)
    {
      GPtrArray *list = cs_members_of_dc (dist->members, dcs->pdata[i]);
      const cs_member_t *first = list->pdata[0];
      bool near = dc_in_own_region (dist, first);
      if (near || (to_regions && g_hash_table_add (regions, first->region)))
        send_newer (ctx, dist, first->name, after, true);
      g_ptr_array_unref (list);
    }
  g_hash_table_unref (regions);
  g_ptr_array_unref (dcs);
}

static unsigned
holders_needed (const cs_dist_t *dist)
{
  GPtrArray *mates = dist_own_mates (dist);
  unsigned needed = 0;
  for (guint i = 0; i < mates->len; i++)
    needed += needed < HOLDERS_BEFORE_FORCE
              && ((cs_member_t *)mates->pdata[i])->health == CS_ALIVE;
  g_ptr_array_unref (mates);
  return needed;
}

static void
put_in_force (cs_ctx_t *ctx, cs_dist_t *dist)
{
  cs_snapshot_t *snapshot = dist->staged;
  dist->staged = NULL;
  g_hash_table_remove_all (dist->holders);
  if (snapshot->version <= dist->version)
    {
      cs_snapshot_drop (ctx, snapshot);
      return;
    }
  dist->version = snapshot->version;
  dist->digest = snapshot->digest;
  cs_count (CS_C_CONFIG_APPLIED, 1);
  cs_gauge (CS_C_G_CONFIG_VERSION, (uint64_t)dist->version);
  dist->ops->in_force (dist->user, snapshot);
}

void
dist_try_force (cs_ctx_t *ctx, cs_dist_t *dist)
{
  if (!dist->staged || !dist->ready)
    return;
  if (dist->from_mate
      || g_hash_table_size (dist->holders) >= holders_needed (dist))
    put_in_force (ctx, dist);
}

static void
refuse_version (cs_ctx_t *ctx, cs_dist_t *dist, int64_t version)
{
  cs_count (CS_C_CONFIG_REFUSED, 1);
  dist->refused_at = cs_now (ctx);
  if (version <= dist->refused)
    return;
  dist->refused = version;
  cs_log (CS_LOG_WARNING, "config-refused",
          "version=%lld in_force=%lld why=\"%s\"", (long long)version,
          (long long)dist->version, cs_message (ctx));
}

/* Stage DOCS, taken over, as version VERSION.  Returns whether it is good. */
static bool
stage (cs_ctx_t *ctx, cs_dist_t *dist, cs_docs_t *docs, int64_t version)
{
  cs_snapshot_t *snapshot = NULL;
  GString *errors = g_string_new (NULL);
  cs_status_t status = cs_snapshot_build (
      ctx, version, cs_docs_copy (ctx, docs), &snapshot, errors);
  g_string_free (errors, TRUE);
  if (status != CS_OK)
    {
      refuse_version (ctx, dist, version);
      cs_docs_drop (ctx, docs);
      return false;
    }
  cs_docs_drop (ctx, dist->docs);
  cs_snapshot_drop (ctx, dist->staged);
  g_hash_table_remove_all (dist->holders);
  dist->docs = docs;
  dist->held = version;
  dist->staged = snapshot;
  dist->from_mate = false;
  return true;
}

static void
remember_changes (cs_dist_t *dist, const GPtrArray *changes, guint from)
{
  for (guint i = from; i < changes->len; i++)
    g_queue_push_tail (&dist->ring, cs_change_copy (changes->pdata[i]));
  while (dist->ring.length > CS_DIST_RING)
    cs_change_free (g_queue_pop_head (&dist->ring));
}

/* Apply CHANGES on top of what is held.  CS_CONFLICT when they do not join
   on.  */
static cs_status_t
apply_changes (cs_ctx_t *ctx, cs_dist_t *dist, const GPtrArray *changes)
{
  guint first = 0;
  while (first < changes->len
         && ((cs_change_t *)changes->pdata[first])->version <= dist->held)
    first++;
  if (first == changes->len)
    {
      cs_count (CS_C_CONFIG_STALE, 1);
      return CS_OK;
    }
  cs_docs_t *docs = cs_docs_copy (ctx, dist->docs);
  cs_status_t status = CS_OK;
  int64_t at = dist->held;
  for (guint i = first; status == CS_OK && i < changes->len; i++)
    {
      const cs_change_t *change = changes->pdata[i];
      if (change->version != ++at)
        status = cs_fail (ctx, CS_CONFLICT, "a change is missing");
      else
        status = cs_change_apply (ctx, change, docs);
    }
  if (status != CS_OK)
    {
      cs_docs_drop (ctx, docs);
      if (status == CS_CORRUPT)
        refuse_version (ctx, dist, at);
      return status;
    }
  if (!stage (ctx, dist, docs, at))
    return CS_CORRUPT;
  remember_changes (dist, changes, first);
  return CS_OK;
}

static cs_status_t
apply_full (cs_ctx_t *ctx, cs_dist_t *dist, int64_t version, uint64_t digest,
            const cs_docs_t *docs)
{
  if (version <= dist->held)
    {
      cs_count (CS_C_CONFIG_STALE, 1);
      return CS_OK;
    }
  if (cs_docs_digest (docs) != digest)
    {
      cs_fail (ctx, CS_CORRUPT, "the documents differ from their digest");
      refuse_version (ctx, dist, version);
      return CS_CORRUPT;
    }
  if (!stage (ctx, dist, cs_docs_copy (ctx, docs), version))
    return CS_CORRUPT;
  g_queue_clear_full (&dist->ring, cs_change_free);
  return CS_OK;
}

/* After a version was staged that came from outside the data centre.  */
static void
spread_staged (cs_ctx_t *ctx, cs_dist_t *dist, int64_t before, bool to_regions)
{
  if (dist->held == before)
    return;
  push_to_mates (ctx, dist, NULL, before);
  push_to_other_dcs (ctx, dist, before, to_regions);
  dist_try_force (ctx, dist);
}

void
dist_poll_store (cs_ctx_t *ctx, cs_dist_t *dist)
{
  dist->polled_at = cs_now (ctx);
  dist->reading = true;
  dist->ops->read_head (dist->user);
}

/* The poll interval of this node, 0 when it does not poll.  */
static cs_usec_t
poll_interval (const cs_dist_t *dist)
{
  unsigned rank = cs_members_own_rank (dist->members);
  if (rank >= dist->options.readers)
    return 0;
  if (rank == 0 && dist->heard
      && !cs_members_leads (dist->members,
                            cs_members_self (dist->members)->region,
                            dist->heard, dist->heard_user))
    return dist->options.reader_poll;
  return rank == 0 ? dist->options.lead_poll : dist->options.reader_poll;
}

void
cs_dist_tick (cs_ctx_t *ctx, cs_dist_t *dist)
{
  cs_usec_t now = cs_now (ctx);
  if (!dist->ready)
    {
      dist_tick_joining (ctx, dist);
      return;
    }
  cs_usec_t interval = poll_interval (dist);
  if (interval && !dist->reading && now - dist->polled_at >= interval)
    dist_poll_store (ctx, dist);
  if (dist->staged && now - dist->pushed_at >= dist->options.resend)
    push_to_mates (ctx, dist, NULL, dist->version);
  dist_try_force (ctx, dist);
}

/* Store results.  */

void
cs_dist_store_head (cs_ctx_t *ctx, cs_dist_t *dist, cs_status_t status,
                    const cs_head_t *head)
{
  dist->reading = false;
  if (dist->store_ok != (status == CS_OK))
    cs_log (CS_LOG_NOTICE, status == CS_OK ? "store-back" : "store-lost",
            "why=\"%s\"", status == CS_OK ? "" : cs_message (ctx));
  dist->store_ok = status == CS_OK;
  if (status != CS_OK)
    return;
  dist->store_answered = true;
  dist->store_head = head->version;
  bool refused_lately = head->version <= dist->refused
                        && cs_now (ctx) - dist->refused_at < REFUSED_PAUSE;
  if (head->version <= dist->held || refused_lately)
    return;
  dist->reading = true;
  if (dist->held == 0)
    dist->ops->read_docs (dist->user);
  else
    dist->ops->read_changes (dist->user, dist->held);
}

void
cs_dist_store_changes (cs_ctx_t *ctx, cs_dist_t *dist, cs_status_t status,
                       const GPtrArray *changes)
{
  int64_t before = dist->held;
  dist->reading = false;
  if (status == CS_OK)
    status = apply_changes (ctx, dist, changes);
  if (status == CS_OK)
    {
      spread_staged (ctx, dist, before, true);
      return;
    }
  if (status == CS_UNAVAILABLE)
    return;
  dist->reading = true;
  dist->ops->read_docs (dist->user);
}

void
cs_dist_store_docs (cs_ctx_t *ctx, cs_dist_t *dist, cs_status_t status,
                    const cs_head_t *head, cs_docs_t *docs)
{
  int64_t before = dist->held;
  dist->reading = false;
  if (status != CS_OK)
    return;
  if (apply_full (ctx, dist, head->version, head->digest, docs) == CS_OK)
    spread_staged (ctx, dist, before, true);
  cs_docs_drop (ctx, docs);
}

void
cs_dist_accepted (cs_ctx_t *ctx, cs_dist_t *dist, const cs_change_t *change)
{
  int64_t before = dist->held;
  GPtrArray *changes = g_ptr_array_new ();
  g_ptr_array_add (changes, (gpointer)change);
  if (change->version == dist->held + 1)
    {
      if (apply_changes (ctx, dist, changes) == CS_OK)
        spread_staged (ctx, dist, before, true);
    }
  else if (change->version > dist->held && !dist->reading)
    dist_poll_store (ctx, dist);
  g_ptr_array_unref (changes);
}

/* Peer messages.  */

/* A version that came from a mate is in force (or staged with two holders)
   there already; one from another data centre is passed on first.  */
static void
receive_newer (cs_ctx_t *ctx, cs_dist_t *dist, const char *from,
               const cs_dist_message_t *message, cs_status_t status,
               int64_t before)
{
  const cs_member_t *sender = cs_members_find (dist->members, from);
  if (status == CS_CONFLICT)
    {
      dist_send (dist, from, CS_DIST_PULL, dist->held);
      return;
    }
  /* What was damaged on its way may be whole in the store.  */
  if (status == CS_CORRUPT && !dist->reading)
    {
      dist->reading = true;
      dist->ops->read_docs (dist->user);
    }
  if (status != CS_OK)
    return;
  if (dist->held >= message->version)
    dist_send (dist, from, CS_DIST_STAGED, message->version);
  if (dist->held == before)
    return;
  dist->from_mate = is_mate (dist, from);
  bool other_region = sender && !dc_in_own_region (dist, sender);
  if (message->forward && !dist->from_mate)
    {
      push_to_mates (ctx, dist, NULL, before);
      if (other_region)
        push_to_other_dcs (ctx, dist, before, false);
    }
  dist_try_force (ctx, dist);
}

void
cs_dist_receive (cs_ctx_t *ctx, cs_dist_t *dist, const char *from,
                 const cs_dist_message_t *message)
{
  int64_t before = dist->held;
  cs_status_t status;
  dist_note_answer (dist, from, message);
  switch (message->type)
    {
    case CS_DIST_HOLD:
      if (message->version > dist->held)
        dist_send (dist, from, CS_DIST_PULL, dist->held);
      else if (message->version < dist->held)
        send_newer (ctx, dist, from, message->version, true);
      break;
    case CS_DIST_PULL:
      if (message->version < dist->held)
        send_newer (ctx, dist, from, message->version, false);
      else
        dist_send (dist, from, CS_DIST_HOLD, dist->held);
      break;
    case CS_DIST_CHANGES:
      status = apply_changes (ctx, dist, message->changes);
      receive_newer (ctx, dist, from, message, status, before);
      break;
    case CS_DIST_FULL:
      status = apply_full (ctx, dist, message->version, message->digest,
                           message->docs);
      receive_newer (ctx, dist, from, message, status, before);
      break;
    case CS_DIST_STAGED:
      if (dist->staged && message->version >= dist->staged->version
          && is_mate (dist, from))
        g_hash_table_add (dist->holders, g_strdup (from));
      dist_try_force (ctx, dist);
      break;
    case CS_DIST_BUSY:
      break;
    }
}
