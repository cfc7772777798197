#include <string.h>

#include "cardamom/counters.h"
#include "cardamom/prober.h"

/* Bound of the factor by which pauses of this node lengthen its timeouts.  */
#define TIMEOUT_FACTOR_MAX 5

struct cs_prober
{
  cs_members_t *members;
  cs_prober_options_t options;
  cs_prober_send_t send;
  void *user;
  GPtrArray *round; /* Names of members still to probe in this round.  */
  char *target;     /* Target of the outstanding probe; NULL for none.  */
  uint64_t seq;
  cs_usec_t probe_started, last_tick;
  bool acked, indirect;
  unsigned timeout_factor;
};

cs_prober_t *
cs_prober_new (cs_ctx_t *ctx, cs_members_t *members,
               const cs_prober_options_t *options, cs_prober_send_t send,
               void *user)
{
  cs_prober_t *prober = cs_calloc (ctx, sizeof *prober);
  prober->members = members;
  prober->options = *options;
  prober->send = send;
  prober->user = user;
  prober->round = g_ptr_array_new_with_free_func (g_free);
  prober->timeout_factor = 1;
  prober->last_tick = cs_now (ctx);
  return prober;
}

void
cs_prober_drop (cs_ctx_t *ctx, cs_prober_t *prober)
{
  if (!prober)
    return;
  g_ptr_array_unref (prober->round);
  g_free (prober->target);
  cs_free (ctx, prober);
}

unsigned
cs_prober_timeout_factor (const cs_prober_t *prober)
{
  return prober->timeout_factor;
}

static GPtrArray *
dc_peers (const cs_prober_t *prober)
{
  const cs_member_t *self = cs_members_self (prober->members);
  GPtrArray *list = cs_members_of_dc (prober->members, self->dc);
  g_ptr_array_remove (list, (gpointer)self);
  return list;
}

static void
shuffle (cs_ctx_t *ctx, GPtrArray *list)
{
  for (guint i = list->len; i > 1; i--)
    {
      guint j = (guint)g_rand_int_range (ctx->random, 0, (gint32)i);
      gpointer swap = list->pdata[i - 1];
      list->pdata[i - 1] = list->pdata[j];
      list->pdata[j] = swap;
    }
}

static void
fill_round (cs_ctx_t *ctx, cs_prober_t *prober)
{
  GPtrArray *list = dc_peers (prober);
  for (guint i = 0; i < list->len; i++)
    g_ptr_array_add (prober->round,
                     g_strdup (((cs_member_t *)list->pdata[i])->name));
  g_ptr_array_unref (list);
  shuffle (ctx, prober->round);
}

static void
clear_probe (cs_prober_t *prober)
{
  g_free (prober->target);
  prober->target = NULL;
}

static void
start_probe (cs_ctx_t *ctx, cs_prober_t *prober)
{
  if (prober->round->len == 0)
    fill_round (ctx, prober);
  prober->probe_started = cs_now (ctx);
  while (prober->round->len)
    {
      char *name
          = g_ptr_array_steal_index (prober->round, prober->round->len - 1);
      const cs_member_t *m = cs_members_find (prober->members, name);
      if (m && cs_member_reachable (m))
        {
          prober->target = name;
          prober->acked = prober->indirect = false;
          prober->send (prober->user, name, name, ++prober->seq);
          return;
        }
      g_free (name);
    }
}

static void
send_indirect (cs_ctx_t *ctx, cs_prober_t *prober)
{
  GPtrArray *list = dc_peers (prober);
  unsigned sent = 0;
  shuffle (ctx, list);
  for (guint i = 0; i < list->len && sent < prober->options.indirect_probes;
       i++)
    {
      const cs_member_t *m = list->pdata[i];
      if (m->health != CS_ALIVE || strcmp (m->name, prober->target) == 0)
        continue;
      prober->send (prober->user, m->name, prober->target, prober->seq);
      sent++;
    }
  g_ptr_array_unref (list);
  prober->indirect = true;
}

static void
finish_probe (cs_ctx_t *ctx, cs_prober_t *prober)
{
  const cs_member_t *m = cs_members_find (prober->members, prober->target);
  if (prober->acked && prober->timeout_factor > 1)
    prober->timeout_factor--;
  if (!prober->acked)
    {
      cs_counter_add (CS_C_PROBES_FAILED, 1);
      if (m && m->health == CS_ALIVE && m->state != CS_NODE_LEFT)
        cs_members_publish_health (ctx, prober->members, m, CS_SUSPECT);
    }
  clear_probe (prober);
}

static void
declare_suspects_dead (cs_ctx_t *ctx, cs_prober_t *prober)
{
  cs_usec_t limit = prober->options.suspicion_timeout * prober->timeout_factor;
  GPtrArray *list = dc_peers (prober);
  for (guint i = 0; i < list->len; i++)
    {
      const cs_member_t *m = list->pdata[i];
      if (m->health == CS_SUSPECT && cs_now (ctx) - m->suspect_since >= limit)
        cs_members_publish_health (ctx, prober->members, m, CS_DEAD);
    }
  g_ptr_array_unref (list);
}

/* Detect a gap between ticks, which means that this node was paused or starved
   of CPU time: acks may lie unread in its sockets.  Drops the outstanding
   probe, restarts the timers of all suspicions by changing SUSPECT_SINCE of
   the members in place, and lengthens timeouts.  Returns whether there was a
   gap.  */
static bool
handle_pause (cs_ctx_t *ctx, cs_prober_t *prober)
{
  cs_usec_t now = cs_now (ctx), gap = now - prober->last_tick;
  prober->last_tick = now;
  if (gap <= prober->options.probe_interval)
    return false;
  GPtrArray *list = dc_peers (prober);
  for (guint i = 0; i < list->len; i++)
    ((cs_member_t *)list->pdata[i])->suspect_since = now;
  g_ptr_array_unref (list);
  if (prober->timeout_factor < TIMEOUT_FACTOR_MAX)
    prober->timeout_factor++;
  prober->probe_started = now;
  clear_probe (prober);
  return true;
}

void
cs_prober_tick (cs_ctx_t *ctx, cs_prober_t *prober)
{
  if (handle_pause (ctx, prober))
    return;
  cs_usec_t waited = cs_now (ctx) - prober->probe_started;
  if (prober->target && !prober->acked && !prober->indirect
      && waited >= prober->options.probe_timeout * prober->timeout_factor)
    send_indirect (ctx, prober);
  if (waited >= prober->options.probe_interval * prober->timeout_factor)
    {
      if (prober->target)
        finish_probe (ctx, prober);
      start_probe (ctx, prober);
    }
  declare_suspects_dead (ctx, prober);
}

void
cs_prober_ack (cs_prober_t *prober, uint64_t seq)
{
  if (prober->target && seq == prober->seq)
    prober->acked = true;
}
