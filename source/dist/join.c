/* Joining: a starting node asks members and the store for the newest version
   before it activates one.  */
#include <string.h>

#include "cardamom/log.h"
#include "dist-internal.h"

#define PULL_INTERVAL (300 * CS_MSEC)
/* Members of other data centres asked at a time.  */
#define REMOTE_PULLS_MAX 4

static void
finish_join (cs_ctx_t *ctx, cs_dist_t *dist)
{
  dist->ready = true;
  cs_log (CS_LOG_NOTICE, "joined", "version=%lld store=%s",
          (long long)dist->held_version, dist->store_answered ? "yes" : "no");
  dist_try_activate (ctx, dist);
}

/* Whether every reachable member of this data centre has answered.  Sets
   ANY_READY to whether any of them has joined, and NEWEST to the newest
   version that any of them holds, which no caller uses.  */
static bool
dc_peers_answered (const cs_dist_t *dist, bool *any_ready, int64_t *newest)
{
  GPtrArray *peers = dist_dc_peers (dist);
  bool all_answered = true;
  *any_ready = false;
  *newest = 0;
  for (guint i = 0; i < peers->len; i++)
    {
      const cs_member_t *m = peers->pdata[i];
      const join_answer_t *a
          = g_hash_table_lookup (dist->join_answers, m->name);
      if (!a)
        all_answered = false;
      else
        {
          *any_ready = *any_ready || a->ready;
          *newest = MAX (*newest, a->version);
        }
    }
  g_ptr_array_unref (peers);
  return all_answered;
}

/* The newest version that any member, also of another data centre, holds.
   Sets ANY_READY to whether any of them has joined.  */
static int64_t
newest_answered (const cs_dist_t *dist, bool *any_ready)
{
  GHashTableIter iter;
  gpointer value;
  int64_t newest = 0;
  *any_ready = false;
  g_hash_table_iter_init (&iter, dist->join_answers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const join_answer_t *a = value;
      *any_ready = *any_ready || a->ready;
      newest = MAX (newest, a->version);
    }
  return newest;
}

static bool
has_dc_peers (const cs_dist_t *dist)
{
  GPtrArray *peers = dist_dc_peers (dist);
  bool any = peers->len > 0;
  g_ptr_array_unref (peers);
  return any;
}

static void
try_finish_join (cs_ctx_t *ctx, cs_dist_t *dist)
{
  bool peer_ready, any_ready;
  int64_t newest_of_peers;
  bool all_answered = dc_peers_answered (dist, &peer_ready, &newest_of_peers);
  int64_t newest = newest_answered (dist, &any_ready);
  cs_usec_t waited = cs_now (ctx) - dist->join_started;
  bool may_wait = waited < dist->options.join_timeout;
  /* The store knows the newest version, but only members have the records of
     rolled back moves.  So members are asked first, if there are any.  */
  bool done_asking = !may_wait
                     || (all_answered
                         && (has_dc_peers (dist)
                             || waited >= dist->options.join_discovery_wait));
  if (dist->store_answered && dist->held_version >= dist->store_head
      && dist->held_version >= newest && done_asking)
    finish_join (ctx, dist);
  else if (all_answered && peer_ready && dist->held_version >= newest)
    finish_join (ctx, dist);
  else if (!may_wait && any_ready && dist->held_version >= newest
           && dist->held_version > 0 && !dist->store_ok)
    finish_join (ctx, dist);
}

static void
pull_from_members (cs_ctx_t *ctx, cs_dist_t *dist)
{
  GPtrArray *all = cs_members_all (dist->members);
  const cs_member_t *self = cs_members_self (dist->members);
  unsigned remote = 0;
  dist->pulled_at = cs_now (ctx);
  for (guint i = 0; i < all->len; i++)
    {
      const cs_member_t *m = all->pdata[i];
      if (m == self || !cs_member_reachable (m))
        continue;
      bool is_dc_peer = strcmp (m->dc, self->dc) == 0;
      const join_answer_t *a
          = g_hash_table_lookup (dist->join_answers, m->name);
      if (is_dc_peer ? !(a && a->ready) : remote++ < REMOTE_PULLS_MAX)
        dist_send (dist, m->name, CS_DIST_PULL, dist->held_version);
    }
  g_ptr_array_unref (all);
}

/* A joining node reads the store only when no member of its data centre has
   joined, and only if it is one of the first there by rank or some members
   stay silent past the timeout.  */
static bool
may_read_store (cs_ctx_t *ctx, const cs_dist_t *dist)
{
  bool peer_ready;
  int64_t newest;
  if (cs_now (ctx) - dist->join_started < dist->poll_jitter)
    return false;
  bool all_answered = dc_peers_answered (dist, &peer_ready, &newest);
  if (peer_ready)
    return false;
  return cs_members_own_rank (dist->members) < dist->options.readers_per_dc
         || (!all_answered
             && cs_now (ctx) - dist->join_started
                    > dist->options.join_timeout);
}

void
dist_tick_join (cs_ctx_t *ctx, cs_dist_t *dist)
{
  cs_usec_t now = cs_now (ctx);
  if (now - dist->pulled_at >= PULL_INTERVAL)
    pull_from_members (ctx, dist);
  if (!dist->reading && now - dist->polled_at >= CS_SEC
      && may_read_store (ctx, dist))
    dist_poll_store (ctx, dist);
  try_finish_join (ctx, dist);
}

void
dist_record_answer (cs_dist_t *dist, const char *from,
                    const cs_dist_message_t *message)
{
  if (dist->ready || message->type == CS_DIST_PULL)
    return;
  join_answer_t *answer = g_new (join_answer_t, 1);
  answer->ready = message->ready;
  answer->version = message->version;
  g_hash_table_replace (dist->join_answers, g_strdup (from), answer);
}
