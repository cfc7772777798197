/* Joining: what a starting node asks of whom before it puts a version in
   force.  */
#include <string.h>

#include "cardamom/log.h"
#include "dist-internal.h"

#define ASK_INTERVAL (300 * CS_MSEC)
#define ASKED_ELSEWHERE                                                       \
  4 /* Members of other data centres asked at a time.                         \
     */

static void
finish_join (cs_ctx_t *ctx, cs_dist_t *dist)
{
  dist->ready = true;
  cs_log (CS_LOG_NOTICE, "joined", "version=%lld store=%s",
          (long long)dist->held, dist->store_answered ? "yes" : "no");
  dist_try_force (ctx, dist);
}

/* Whether every live member of the own data centre has answered, and the
   newest version that any of them holds.  */
static bool
mates_answered (const cs_dist_t *dist, bool *any_ready, int64_t *newest)
{
  GPtrArray *mates = dist_own_mates (dist);
  bool all = true;
  *any_ready = false;
  *newest = 0;
  for (guint i = 0; i < mates->len; i++)
    {
      const cs_member_t *m = mates->pdata[i];
      const answer_t *a = g_hash_table_lookup (dist->answers, m->name);
      if (!a)
        all = false;
      else
        {
          *any_ready = *any_ready || a->ready;
          *newest = MAX (*newest, a->version);
        }
    }
  g_ptr_array_unref (mates);
  return all;
}

static int64_t
newest_elsewhere (const cs_dist_t *dist, bool *any_ready)
{
  GHashTableIter iter;
  gpointer value;
  int64_t newest = 0;
  *any_ready = false;
  g_hash_table_iter_init (&iter, dist->answers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const answer_t *a = value;
      *any_ready = *any_ready || a->ready;
      newest = MAX (newest, a->version);
    }
  return newest;
}

static bool
has_mates (const cs_dist_t *dist)
{
  GPtrArray *mates = dist_own_mates (dist);
  bool any = mates->len > 0;
  g_ptr_array_unref (mates);
  return any;
}

static void
check_join (cs_ctx_t *ctx, cs_dist_t *dist)
{
  bool mate_ready, any_ready;
  int64_t mates_newest;
  bool all = mates_answered (dist, &mate_ready, &mates_newest);
  int64_t newest = newest_elsewhere (dist, &any_ready);
  cs_usec_t waited = cs_now (ctx) - dist->started;
  bool patient = waited < dist->options.join_patience;
  /* The store tells the version, only the members tell the marks: they are
     heard first, as far as there are any.  */
  bool heard_members
      = !patient
        || (all && (has_mates (dist) || waited >= dist->options.join_lonely));
  if (dist->store_answered && dist->held >= dist->store_head
      && dist->held >= newest && heard_members)
    finish_join (ctx, dist);
  else if (all && mate_ready && dist->held >= newest)
    finish_join (ctx, dist);
  else if (!patient && any_ready && dist->held >= newest && dist->held > 0
           && !dist->store_ok)
    finish_join (ctx, dist);
}

static void
ask_everyone (cs_ctx_t *ctx, cs_dist_t *dist)
{
  GPtrArray *all = cs_members_all (dist->members);
  const cs_member_t *self = cs_members_self (dist->members);
  unsigned elsewhere = 0;
  dist->asked_at = cs_now (ctx);
  for (guint i = 0; i < all->len; i++)
    {
      const cs_member_t *m = all->pdata[i];
      if (m == self || !cs_member_reachable (m))
        continue;
      bool mate = strcmp (m->dc, self->dc) == 0;
      const answer_t *a = g_hash_table_lookup (dist->answers, m->name);
      if (mate ? !(a && a->ready) : elsewhere++ < ASKED_ELSEWHERE)
        dist_send (dist, m->name, CS_DIST_PULL, dist->held);
    }
  g_ptr_array_unref (all);
}

/* A joining node reads the store only when it is among the first of its data
   centre, or when no member answers.  */
static bool
may_read_store (cs_ctx_t *ctx, const cs_dist_t *dist)
{
  bool mate_ready;
  int64_t newest;
  if (cs_now (ctx) - dist->started < dist->poll_jitter)
    return false;
  bool all = mates_answered (dist, &mate_ready, &newest);
  if (mate_ready)
    return false;
  return cs_members_own_rank (dist->members) < dist->options.readers
         || (!all
             && cs_now (ctx) - dist->started > dist->options.join_patience);
}

void
dist_tick_joining (cs_ctx_t *ctx, cs_dist_t *dist)
{
  cs_usec_t now = cs_now (ctx);
  if (now - dist->asked_at >= ASK_INTERVAL)
    ask_everyone (ctx, dist);
  if (!dist->reading && now - dist->polled_at >= CS_SEC
      && may_read_store (ctx, dist))
    dist_poll_store (ctx, dist);
  check_join (ctx, dist);
}

void
dist_note_answer (cs_dist_t *dist, const char *from,
                  const cs_dist_message_t *message)
{
  if (dist->ready || message->type == CS_DIST_PULL)
    return;
  answer_t *answer = g_new (answer_t, 1);
  answer->ready = message->ready;
  answer->version = message->version;
  g_hash_table_replace (dist->answers, g_strdup (from), answer);
}
