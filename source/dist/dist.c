#include <string.h>

#include "cardamom/counters.h"
#include "dist-internal.h"
#include "cardamom/log.h"

/* Members of the data centre, besides this node, that must hold a version
   before it is activated; fewer where fewer are alive.  See dist.h.  */
#define ACKS_BEFORE_ACTIVATION 2
/* Time until a refused version is read from the store again.  */
#define REFUSED_RETRY_DELAY (5 * CS_SEC)

const cs_dist_options_t cs_dist_defaults = {
  .leader_poll_interval = 250 * CS_MSEC,
  .reader_poll_interval = 2 * CS_SEC,
  .readers_per_dc = 2,
  .resend_interval = 400 * CS_MSEC,
  .join_timeout = 3 * CS_SEC,
  .join_discovery_wait = 1 * CS_SEC,
  .full_answers_per_s = 50,
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
  g_queue_init (&dist->recent_changes);
  dist->acked_by
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  dist->join_answers
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  dist->join_started = cs_now (ctx);
  /* Long ago, so that both are due at once.  */
  dist->polled_at = dist->pulled_at = -CS_SEC * 3600;
  dist->poll_jitter
      = g_rand_int_range (ctx->random, 0, (gint32)DIST_POLL_JITTER_MAX);
  return dist;
}

void
cs_dist_drop (cs_ctx_t *ctx, cs_dist_t *dist)
{
  if (!dist)
    return;
  cs_docs_drop (ctx, dist->docs);
  cs_snapshot_drop (ctx, dist->staged);
  g_queue_clear_full (&dist->recent_changes, cs_change_free);
  g_hash_table_unref (dist->acked_by);
  g_hash_table_unref (dist->join_answers);
  cs_free (ctx, dist);
}

void
cs_dist_set_dc_reachable (cs_dist_t *dist,
                          bool (*dc_reachable) (void *user, const char *dc),
                          void *user)
{
  dist->dc_reachable = dc_reachable;
  dist->dc_reachable_user = user;
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
cs_dist_active_version (const cs_dist_t *dist)
{
  return dist->active_version;
}

uint64_t
cs_dist_active_digest (const cs_dist_t *dist)
{
  return dist->active_digest;
}

GPtrArray *
dist_dc_peers (const cs_dist_t *dist)
{
  const cs_member_t *self = cs_members_self (dist->members);
  GPtrArray *peers = cs_members_of_dc (dist->members, self->dc);
  g_ptr_array_remove (peers, (gpointer)self);
  return peers;
}

static bool
is_dc_peer (const cs_dist_t *dist, const char *name)
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

/* The changes after version AFTER, which stay owned by DIST, or NULL when the
   recent changes do not reach back that far.  */
static GPtrArray *
changes_after (const cs_dist_t *dist, int64_t after)
{
  const cs_change_t *oldest
      = g_queue_peek_head ((GQueue *)&dist->recent_changes);
  if (!oldest || oldest->version > after + 1)
    return NULL;
  GPtrArray *changes = g_ptr_array_new ();
  for (GList *at = dist->recent_changes.head; at; at = at->next)
    if (((cs_change_t *)at->data)->version > after)
      g_ptr_array_add (changes, at->data);
  return changes;
}

static bool
admit_full_answer (cs_ctx_t *ctx, cs_dist_t *dist)
{
  cs_usec_t now = cs_now (ctx);
  if (now - dist->full_answers_since >= CS_SEC)
    {
      dist->full_answers_since = now;
      dist->full_answers = 0;
    }
  return dist->full_answers++ < dist->options.full_answers_per_s;
}

/* Send NODE everything newer than version AFTER: the changes if they are still
   held, otherwise all documents.  */
static void
send_newer (cs_ctx_t *ctx, cs_dist_t *dist, const char *node, int64_t after,
            bool forward)
{
  cs_dist_message_t message = { .type = CS_DIST_CHANGES,
                                .version = dist->held_version,
                                .digest = cs_docs_digest (dist->docs),
                                .ready = dist->ready,
                                .forward = forward };
  GPtrArray *changes = changes_after (dist, after);
  message.changes = changes;
  if (!changes && !admit_full_answer (ctx, dist))
    {
      dist_send (dist, node, CS_DIST_BUSY, dist->held_version);
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

/* Push what is newer than version AFTER to the peers of this data centre that
   have not acknowledged the staged version.  EXCEPT is a peer to leave out, or
   NULL; all callers pass NULL.  */
static void
push_to_dc_peers (cs_ctx_t *ctx, cs_dist_t *dist, const char *except,
                  int64_t after)
{
  GPtrArray *peers = dist_dc_peers (dist);
  for (guint i = 0; i < peers->len; i++)
    {
      const cs_member_t *m = peers->pdata[i];
      if ((!except || strcmp (m->name, except) != 0)
          && !g_hash_table_contains (dist->acked_by, m->name))
        send_newer (ctx, dist, m->name, after, false);
    }
  g_ptr_array_unref (peers);
  dist->pushed_at = cs_now (ctx);
}

static bool
is_in_own_region (const cs_dist_t *dist, const cs_member_t *m)
{
  return strcmp (m->region, cs_members_self (dist->members)->region) == 0;
}

/* Push to the first member of every other data centre of this region and, with
   TO_REGIONS, to that of one data centre of every other region, which forwards
   it there.  TO_REGIONS is set when this node read the version from the store
   or accepted it itself.  */
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
      bool in_own_region = is_in_own_region (dist, first);
      if (in_own_region
          || (to_regions && g_hash_table_add (regions, first->region)))
        send_newer (ctx, dist, first->name, after, true);
      g_ptr_array_unref (list);
    }
  g_hash_table_unref (regions);
  g_ptr_array_unref (dcs);
}

/* The acknowledgements needed to activate a version: at most one for each peer
   that is CS_ALIVE.  Those that arrive from other peers count too.  */
static unsigned
acks_needed (const cs_dist_t *dist)
{
  GPtrArray *peers = dist_dc_peers (dist);
  unsigned needed = 0;
  for (guint i = 0; i < peers->len; i++)
    needed += needed < ACKS_BEFORE_ACTIVATION
              && ((cs_member_t *)peers->pdata[i])->health == CS_ALIVE;
  g_ptr_array_unref (peers);
  return needed;
}

static void
activate_staged (cs_ctx_t *ctx, cs_dist_t *dist)
{
  cs_snapshot_t *snapshot = dist->staged;
  dist->staged = NULL;
  g_hash_table_remove_all (dist->acked_by);
  if (snapshot->version <= dist->active_version)
    {
      cs_snapshot_drop (ctx, snapshot);
      return;
    }
  dist->active_version = snapshot->version;
  dist->active_digest = snapshot->digest;
  cs_counter_add (CS_C_CONFIG_APPLIED, 1);
  cs_gauge_set (CS_C_G_CONFIG_VERSION, (uint64_t)dist->active_version);
  dist->ops->activate (dist->user, snapshot);
}

void
dist_try_activate (cs_ctx_t *ctx, cs_dist_t *dist)
{
  if (!dist->staged || !dist->ready)
    return;
  if (dist->from_dc_peer
      || g_hash_table_size (dist->acked_by) >= acks_needed (dist))
    activate_staged (ctx, dist);
}

static void
refuse_version (cs_ctx_t *ctx, cs_dist_t *dist, int64_t version)
{
  cs_counter_add (CS_C_CONFIG_REFUSED, 1);
  dist->refused_at = cs_now (ctx);
  if (version <= dist->refused_version)
    return;
  dist->refused_version = version;
  cs_log (CS_LOG_WARNING, "config-refused",
          "version=%lld in_force=%lld why=\"%s\"", (long long)version,
          (long long)dist->active_version, cs_error_message (ctx));
}

/* Stage DOCS, taking ownership, as VERSION.  Returns whether they are valid;
   an invalid version is refused.  */
static bool
stage_docs (cs_ctx_t *ctx, cs_dist_t *dist, cs_docs_t *docs, int64_t version)
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
  g_hash_table_remove_all (dist->acked_by);
  dist->docs = docs;
  dist->held_version = version;
  dist->staged = snapshot;
  dist->from_dc_peer = false;
  return true;
}

static void
keep_changes (cs_dist_t *dist, const GPtrArray *changes, guint from)
{
  for (guint i = from; i < changes->len; i++)
    g_queue_push_tail (&dist->recent_changes,
                       cs_change_copy (changes->pdata[i]));
  while (dist->recent_changes.length > CS_DIST_CHANGES_KEPT)
    cs_change_free (g_queue_pop_head (&dist->recent_changes));
}

/* Apply CHANGES on top of the version held.  CS_CONFLICT when a version
   between them is missing.  */
static cs_status_t
apply_changes (cs_ctx_t *ctx, cs_dist_t *dist, const GPtrArray *changes)
{
  guint first = 0;
  while (first < changes->len
         && ((cs_change_t *)changes->pdata[first])->version
                <= dist->held_version)
    first++;
  if (first == changes->len)
    {
      cs_counter_add (CS_C_CONFIG_STALE, 1);
      return CS_OK;
    }
  cs_docs_t *docs = cs_docs_copy (ctx, dist->docs);
  cs_status_t status = CS_OK;
  int64_t version = dist->held_version;
  for (guint i = first; status == CS_OK && i < changes->len; i++)
    {
      const cs_change_t *change = changes->pdata[i];
      if (change->version != ++version)
        status = cs_fail (ctx, CS_CONFLICT, "a change is missing");
      else
        status = cs_change_apply (ctx, change, docs);
    }
  if (status != CS_OK)
    {
      cs_docs_drop (ctx, docs);
      if (status == CS_CORRUPT)
        refuse_version (ctx, dist, version);
      return status;
    }
  if (!stage_docs (ctx, dist, docs, version))
    return CS_CORRUPT;
  keep_changes (dist, changes, first);
  return CS_OK;
}

static cs_status_t
apply_full (cs_ctx_t *ctx, cs_dist_t *dist, int64_t version, uint64_t digest,
            const cs_docs_t *docs)
{
  if (version <= dist->held_version)
    {
      cs_counter_add (CS_C_CONFIG_STALE, 1);
      return CS_OK;
    }
  if (cs_docs_digest (docs) != digest)
    {
      cs_fail (ctx, CS_CORRUPT, "the documents differ from their digest");
      refuse_version (ctx, dist, version);
      return CS_CORRUPT;
    }
  if (!stage_docs (ctx, dist, cs_docs_copy (ctx, docs), version))
    return CS_CORRUPT;
  g_queue_clear_full (&dist->recent_changes, cs_change_free);
  return CS_OK;
}

/* Replicate a version that was staged from the store or accepted here, if it
   is newer than version BEFORE.  TO_REGIONS is as in push_to_other_dcs; all
   callers set it.  */
static void
replicate_staged (cs_ctx_t *ctx, cs_dist_t *dist, int64_t before,
                  bool to_regions)
{
  if (dist->held_version == before)
    return;
  push_to_dc_peers (ctx, dist, NULL, before);
  push_to_other_dcs (ctx, dist, before, to_regions);
  dist_try_activate (ctx, dist);
}

void
dist_poll_store (cs_ctx_t *ctx, cs_dist_t *dist)
{
  dist->polled_at = cs_now (ctx);
  dist->reading = true;
  dist->ops->read_head (dist->user);
}

/* The store poll interval of this node, 0 when it does not poll.  */
static cs_usec_t
poll_interval (const cs_dist_t *dist)
{
  unsigned rank = cs_members_own_rank (dist->members);
  if (rank >= dist->options.readers_per_dc)
    return 0;
  if (rank == 0 && dist->dc_reachable
      && !cs_members_own_dc_leads (
          dist->members, cs_members_self (dist->members)->region,
          dist->dc_reachable, dist->dc_reachable_user))
    return dist->options.reader_poll_interval;
  return rank == 0 ? dist->options.leader_poll_interval
                   : dist->options.reader_poll_interval;
}

void
cs_dist_tick (cs_ctx_t *ctx, cs_dist_t *dist)
{
  cs_usec_t now = cs_now (ctx);
  if (!dist->ready)
    {
      dist_tick_join (ctx, dist);
      return;
    }
  cs_usec_t interval = poll_interval (dist);
  if (interval && !dist->reading && now - dist->polled_at >= interval)
    dist_poll_store (ctx, dist);
  if (dist->staged && now - dist->pushed_at >= dist->options.resend_interval)
    push_to_dc_peers (ctx, dist, NULL, dist->active_version);
  dist_try_activate (ctx, dist);
}

/* Results of store reads.  */

void
cs_dist_on_store_head (cs_ctx_t *ctx, cs_dist_t *dist, cs_status_t status,
                       const cs_config_head_t *head)
{
  dist->reading = false;
  if (dist->store_ok != (status == CS_OK))
    cs_log (CS_LOG_NOTICE, status == CS_OK ? "store-back" : "store-lost",
            "why=\"%s\"", status == CS_OK ? "" : cs_error_message (ctx));
  dist->store_ok = status == CS_OK;
  if (status != CS_OK)
    return;
  dist->store_answered = true;
  dist->store_head = head->version;
  bool refused_lately
      = head->version <= dist->refused_version
        && cs_now (ctx) - dist->refused_at < REFUSED_RETRY_DELAY;
  if (head->version <= dist->held_version || refused_lately)
    return;
  dist->reading = true;
  if (dist->held_version == 0)
    dist->ops->read_docs (dist->user);
  else
    dist->ops->read_changes (dist->user, dist->held_version);
}

void
cs_dist_on_store_changes (cs_ctx_t *ctx, cs_dist_t *dist, cs_status_t status,
                          const GPtrArray *changes)
{
  int64_t before = dist->held_version;
  dist->reading = false;
  if (status == CS_OK)
    status = apply_changes (ctx, dist, changes);
  if (status == CS_OK)
    {
      replicate_staged (ctx, dist, before, true);
      return;
    }
  if (status == CS_UNAVAILABLE)
    return;
  dist->reading = true;
  dist->ops->read_docs (dist->user);
}

void
cs_dist_on_store_docs (cs_ctx_t *ctx, cs_dist_t *dist, cs_status_t status,
                       const cs_config_head_t *head, cs_docs_t *docs)
{
  int64_t before = dist->held_version;
  dist->reading = false;
  if (status != CS_OK)
    return;
  if (apply_full (ctx, dist, head->version, head->digest, docs) == CS_OK)
    replicate_staged (ctx, dist, before, true);
  cs_docs_drop (ctx, docs);
}

void
cs_dist_on_accepted (cs_ctx_t *ctx, cs_dist_t *dist, const cs_change_t *change)
{
  int64_t before = dist->held_version;
  GPtrArray *changes = g_ptr_array_new ();
  g_ptr_array_add (changes, (gpointer)change);
  if (change->version == dist->held_version + 1)
    {
      if (apply_changes (ctx, dist, changes) == CS_OK)
        replicate_staged (ctx, dist, before, true);
    }
  else if (change->version > dist->held_version && !dist->reading)
    dist_poll_store (ctx, dist);
  g_ptr_array_unref (changes);
}

/* Messages from other members.  */

/* Handle the STATUS of a version received from FROM on top of version BEFORE.
   If FROM is in this data centre, it has the version active or staged, so that
   two members hold it, and it needs no acknowledgements here.  A version from
   another data centre waits for them; it is forwarded first if MESSAGE asks
   for it.  */
static void
receive_newer (cs_ctx_t *ctx, cs_dist_t *dist, const char *from,
               const cs_dist_message_t *message, cs_status_t status,
               int64_t before)
{
  const cs_member_t *sender = cs_members_find (dist->members, from);
  if (status == CS_CONFLICT)
    {
      dist_send (dist, from, CS_DIST_PULL, dist->held_version);
      return;
    }
  /* A version that was corrupted in transit may be intact in the store.  */
  if (status == CS_CORRUPT && !dist->reading)
    {
      dist->reading = true;
      dist->ops->read_docs (dist->user);
    }
  if (status != CS_OK)
    return;
  if (dist->held_version >= message->version)
    dist_send (dist, from, CS_DIST_ACK, message->version);
  if (dist->held_version == before)
    return;
  dist->from_dc_peer = is_dc_peer (dist, from);
  bool other_region = sender && !is_in_own_region (dist, sender);
  if (message->forward && !dist->from_dc_peer)
    {
      push_to_dc_peers (ctx, dist, NULL, before);
      if (other_region)
        push_to_other_dcs (ctx, dist, before, false);
    }
  dist_try_activate (ctx, dist);
}

void
cs_dist_receive (cs_ctx_t *ctx, cs_dist_t *dist, const char *from,
                 const cs_dist_message_t *message)
{
  int64_t before = dist->held_version;
  cs_status_t status;
  dist_record_answer (dist, from, message);
  switch (message->type)
    {
    case CS_DIST_ANNOUNCE:
      if (message->version > dist->held_version)
        dist_send (dist, from, CS_DIST_PULL, dist->held_version);
      else if (message->version < dist->held_version)
        send_newer (ctx, dist, from, message->version, true);
      break;
    case CS_DIST_PULL:
      if (message->version < dist->held_version)
        send_newer (ctx, dist, from, message->version, false);
      else
        dist_send (dist, from, CS_DIST_ANNOUNCE, dist->held_version);
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
    case CS_DIST_ACK:
      if (dist->staged && message->version >= dist->staged->version
          && is_dc_peer (dist, from))
        g_hash_table_add (dist->acked_by, g_strdup (from));
      dist_try_activate (ctx, dist);
      break;
    case CS_DIST_BUSY:
      break;
    }
}
