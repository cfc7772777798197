#include <string.h>

#include "cardamom/freshness.h"
#include "cardamom/header-names.h"
#include "workspaces.h"

/* A coordinator hears of every node that pledges to it this often.  */
#define PLEDGE_INTERVAL (300 * CS_MSEC)
/* A coordinator that has not answered for so long is given up.  */
#define COORDINATOR_SILENCE_MAX (600 * CS_MSEC)
/* A coordinator that comes before the present one takes its place only after
   it has been reachable for so long.  */
#define COORDINATOR_SETTLE_TIME (2 * CS_SEC)
/* A caller waits this long for the coordinator, and is told to come back after
   the second time if that does not answer: another one has taken its place. */
#define GRANT_WAIT_MAX (300 * CS_MSEC)
#define NO_COORDINATOR_RETRY_AFTER (500 * CS_MSEC)
#define ALL_GROUPS ((1u << CS_CAP_GROUPS) - 1)

/* The coordinator of one group, as this node sees it.  */
typedef struct
{
  peer_t *peer; /* NULL: none.  */
  int64_t boot; /* Of its process.  */
  /* Of the last message to it, and of the first one that it has not answered;
     0: all are answered.  */
  cs_usec_t sent_at, unanswered_since;
  cs_usec_t pledge_after; /* Another one gets no pledge before this time.  */
  /* The one before, which this node has asked to release its part.  */
  const peer_t *released_by;
  /* A better one has been reachable since then; 0: there is none.  */
  const peer_t *better;
  cs_usec_t better_since;
} coordinator_t;

struct workspaces
{
  cs_traffic_t *traffic;
  coordinator_t coordinators[CS_CAP_GROUPS];
  cs_cap_coordinator_t *caps; /* Those that this node keeps.  */
  cs_allowance_t *allowance;
  GHashTable *waiting; /* uint64_t * (workspace) -> GQueue of call_t *.  */
  unsigned nodes;      /* Nodes that have a part; 0: not counted yet.  */
};

workspaces_t *
workspaces_new (cs_traffic_t *traffic, const cs_cap_tolerance_t *tolerance)
{
  workspaces_t *workspaces = g_new0 (workspaces_t, 1);
  workspaces->traffic = traffic;
  workspaces->caps = cs_cap_coordinator_new (tolerance);
  workspaces->allowance = cs_allowance_new ();
  workspaces->waiting
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  return workspaces;
}

/* Keys.  */

/* The only Authorization field of REQUEST; the empty view if there is none or
   more than one.  */
static cs_str_t
authorization (const cs_http1_message_t *request)
{
  cs_str_t value = { 0 };
  unsigned count = 0;
  for (guint i = 0; i < request->fields->len; i++)
    {
      const cs_http1_field_t *field
          = &g_array_index (request->fields, cs_http1_field_t, i);
      if (!cs_str_equal_nocase (field->name, "authorization"))
        continue;
      value = field->value;
      count++;
    }
  return count == 1 ? value : (cs_str_t){ 0 };
}

cs_refusal_reason_t
workspaces_admit (call_t *call)
{
  const cs_traffic_t *traffic = call->traffic;
  const cs_workspaces_t *all = call->snapshot->workspaces;
  if (!all || call->route->anonymous)
    return CS_REFUSED_COUNT;
  cs_str_t key = cs_bearer_key (authorization (&call->exchange->request));
  if (key.len)
    {
      call->key = cs_key_digest (key);
      call->workspace = cs_workspaces_find_key (all, &call->key);
    }
  if (!cs_freshness_allows_keys (&traffic->freshness,
                                 atomic_load (traffic->keys_fresh_at),
                                 traffic_now (traffic)))
    return CS_REFUSED_KEYS_CLOSED;
  return call->workspace ? CS_REFUSED_COUNT : CS_REFUSED_KEY_UNKNOWN;
}

bool
workspaces_key_is_gone (const call_t *call)
{
  const cs_snapshot_t *newest = call->newest;
  return call->workspace && newest
         && newest->version != call->snapshot->version && newest->workspaces
         && !cs_workspaces_find_key (newest->workspaces, &call->key);
}

/* Requests that wait for a token.  */

static GQueue *
waiting_queue (const workspaces_t *workspaces, uint64_t id)
{
  return g_hash_table_lookup (workspaces->waiting, &id);
}

static int64_t
count_waiting (void *user, uint64_t id)
{
  const GQueue *queue = waiting_queue (user, id);
  return queue ? queue->length : 0;
}

static void
stop_waiting (call_t *call)
{
  if (!call->awaits_token)
    return;
  call->awaits_token = false;
  g_queue_unlink (
      waiting_queue (call->traffic->workspaces, call->workspace->id),
      &call->waiting_link);
}

/* Start the calls of the workspace ID that get a token.  If RETRY_AFTER is not
   0, those that get none are refused.  */
static void
serve_waiting (workspaces_t *workspaces, uint64_t id, cs_usec_t retry_after)
{
  GQueue *queue = waiting_queue (workspaces, id);
  cs_usec_t now = traffic_now (workspaces->traffic);
  call_t *call;
  while (queue && (call = g_queue_peek_head (queue)))
    {
      if (cs_allowance_take (workspaces->allowance, id, now))
        {
          stop_waiting (call);
          call->charged = true;
          call_start_charged (call);
        }
      else if (retry_after)
        {
          stop_waiting (call);
          call_refuse_uncharged (call, CS_REFUSED_OVER_CAP, retry_after);
        }
      else
        return;
    }
}

static void
refuse_late_waiting (workspaces_t *workspaces, cs_usec_t now)
{
  /* The answers to callers may add queues.  */
  GList *queues = g_hash_table_get_values (workspaces->waiting);
  for (const GList *at = queues; at; at = at->next)
    {
      call_t *call;
      while ((call = g_queue_peek_head (at->data))
             && now - call->waiting_since > GRANT_WAIT_MAX)
        {
          stop_waiting (call);
          call_refuse_uncharged (call, CS_REFUSED_NO_COORDINATOR,
                                 NO_COORDINATOR_RETRY_AFTER);
        }
    }
  g_list_free (queues);
}

/* The coordinator's side.  */

static uint64_t
node_id (const char *name)
{
  return cs_hash_text (name, 0);
}

/* Answer ASK of NODE by the configuration SNAPSHOT.  */
static cs_cap_grant_t
answer_ask (workspaces_t *workspaces, const cs_snapshot_t *snapshot,
            uint64_t node, const cs_cap_ask_t *ask, cs_usec_t now)
{
  const cs_workspace_t *workspace
      = snapshot && snapshot->workspaces
            ? cs_workspaces_find (snapshot->workspaces, ask->workspace)
            : NULL;
  /* This node does not know the workspace yet, or not any more.  */
  if (!workspace)
    return (cs_cap_grant_t){ .workspace = ask->workspace,
                             .retry_after = NO_COORDINATOR_RETRY_AFTER };
  cs_cap_t cap = { .workspace = ask->workspace,
                   .per_s = workspace->per_s,
                   .burst = workspace->burst };
  double part = cs_cap_coordinator_part (
      workspaces->caps, cs_cap_group (ask->workspace), workspaces->nodes, now);
  return cs_cap_coordinator_ask (workspaces->caps, node, ask, &cap, part, now);
}

/* Note that NODE pledges GROUPS to this node, and has released the others.  */
static void
note_pledge (workspaces_t *workspaces, uint64_t node, unsigned groups,
             cs_usec_t now)
{
  cs_cap_coordinator_pledge (workspaces->caps, node, groups, now);
  for (unsigned group = 0; group < CS_CAP_GROUPS; group++)
    if (!(groups & 1u << group))
      cs_cap_coordinator_forget (workspaces->caps, node, group);
}

void
workspaces_handle_ask (cs_traffic_t *traffic, const char *name,
                       cs_stream_t *stream, cs_unpack_cursor_t *in)
{
  workspaces_t *workspaces = traffic->workspaces;
  cs_usec_t now = traffic_now (traffic);
  uint64_t groups = cs_unpack_uint64 (in);
  size_t count = in->remaining / 4;
  if (in->failed || groups > ALL_GROUPS || in->remaining % 4)
    {
      in->failed = true;
      return;
    }
  cs_snapshot_t *snapshot = traffic_acquire_snapshot (traffic);
  cs_pack_t pack;
  note_pledge (workspaces, node_id (name), (unsigned)groups, now);
  cs_pack_init (&pack);
  cs_pack_array (&pack, 2 + 4 * count);
  cs_pack_int64 (&pack, CS_FRAME_CAP_GRANT);
  cs_pack_uint64 (&pack, groups);
  for (size_t i = 0; i < count; i++)
    {
      cs_cap_ask_t ask = { .workspace = cs_unpack_uint64 (in) };
      ask.used = cs_unpack_int64 (in);
      ask.held = cs_unpack_int64 (in);
      ask.want = cs_unpack_int64 (in);
      if (ask.held < 0 || ask.want < 0)
        in->failed = true;
      if (in->failed)
        break;
      cs_cap_grant_t grant
          = answer_ask (workspaces, snapshot, node_id (name), &ask, now);
      cs_pack_uint64 (&pack, grant.workspace);
      cs_pack_int64 (&pack, grant.add);
      cs_pack_int64 (&pack, grant.charged);
      cs_pack_int64 (&pack, grant.retry_after);
    }
  if (!in->failed)
    cs_stream_send (stream, cs_pack_payload (&pack));
  cs_pack_clear (&pack);
  cs_snapshot_drop (traffic->ctx, snapshot);
}

/* This node's side.  */

/* The groups whose coordinator is PEER.  */
static unsigned
groups_of (const workspaces_t *workspaces, const peer_t *peer)
{
  unsigned groups = 0;
  for (unsigned group = 0; group < CS_CAP_GROUPS; group++)
    if (workspaces->coordinators[group].peer == peer)
      groups |= 1u << group;
  return groups;
}

static void
apply_grant (workspaces_t *workspaces, const cs_cap_grant_t *grant,
             cs_usec_t now)
{
  cs_allowance_grant (workspaces->allowance, grant, now);
  serve_waiting (workspaces, grant->workspace, grant->retry_after);
}

/* Handle ASKS at this node itself, which keeps their caps.  */
static void
ask_self (workspaces_t *workspaces, const GArray *asks, unsigned groups,
          cs_usec_t now)
{
  cs_traffic_t *traffic = workspaces->traffic;
  uint64_t node = node_id (traffic->self->info.name);
  cs_snapshot_t *snapshot = traffic_acquire_snapshot (traffic);
  note_pledge (workspaces, node, groups, now);
  for (guint i = 0; i < asks->len; i++)
    {
      cs_cap_grant_t grant
          = answer_ask (workspaces, snapshot, node,
                        &g_array_index (asks, cs_cap_ask_t, i), now);
      apply_grant (workspaces, &grant, now);
    }
  cs_snapshot_drop (traffic->ctx, snapshot);
}

static void
send_asks (peer_t *coordinator, const GArray *asks, unsigned groups)
{
  cs_pack_t pack;
  cs_pack_init (&pack);
  cs_pack_array (&pack, 2 + 4 * asks->len);
  cs_pack_int64 (&pack, CS_FRAME_CAP_ASK);
  cs_pack_uint64 (&pack, groups);
  for (guint i = 0; i < asks->len; i++)
    {
      const cs_cap_ask_t *ask = &g_array_index (asks, cs_cap_ask_t, i);
      cs_pack_uint64 (&pack, ask->workspace);
      cs_pack_int64 (&pack, ask->used);
      cs_pack_int64 (&pack, ask->held);
      cs_pack_int64 (&pack, ask->want);
    }
  peer_send (coordinator, &pack);
  cs_pack_clear (&pack);
}

/* Pledge to COORDINATOR, report and ask, if there is something to report or to
   ask, or the last message is old.  */
static void
talk_to (workspaces_t *workspaces, peer_t *coordinator, cs_usec_t now)
{
  unsigned groups = groups_of (workspaces, coordinator);
  cs_usec_t sent_at = 0;
  GArray *asks = g_array_new (FALSE, FALSE, sizeof (cs_cap_ask_t));
  for (unsigned group = 0; group < CS_CAP_GROUPS; group++)
    if (groups & 1u << group)
      {
        sent_at = workspaces->coordinators[group].sent_at;
        cs_allowance_collect (workspaces->allowance, group, count_waiting,
                              workspaces, now, asks);
      }
  if (asks->len || now - sent_at >= PLEDGE_INTERVAL)
    {
      for (unsigned group = 0; group < CS_CAP_GROUPS; group++)
        if (groups & 1u << group)
          {
            coordinator_t *k = &workspaces->coordinators[group];
            k->sent_at = now;
            if (!k->unanswered_since && !coordinator->self)
              k->unanswered_since = now;
          }
      if (coordinator->self)
        ask_self (workspaces, asks, groups, now);
      else
        send_asks (coordinator, asks, groups);
    }
  g_array_unref (asks);
}

void
workspaces_handle_grant (peer_t *peer, cs_unpack_cursor_t *in)
{
  workspaces_t *workspaces = peer->traffic->workspaces;
  cs_usec_t now = traffic_now (peer->traffic);
  uint64_t pledged = cs_unpack_uint64 (in);
  unsigned groups = groups_of (workspaces, peer);
  for (unsigned group = 0; group < CS_CAP_GROUPS; group++)
    {
      coordinator_t *coordinator = &workspaces->coordinators[group];
      if (!coordinator->peer && coordinator->released_by == peer
          && !(pledged & 1u << group))
        coordinator->pledge_after = 0;
    }
  for (unsigned group = 0; group < CS_CAP_GROUPS; group++)
    if (groups & 1u << group)
      workspaces->coordinators[group].unanswered_since = 0;
  while (in->remaining >= 4 && !in->failed)
    {
      cs_cap_grant_t grant = { .workspace = cs_unpack_uint64 (in) };
      grant.add = cs_unpack_int64 (in);
      grant.charged = cs_unpack_int64 (in);
      grant.retry_after = cs_unpack_int64 (in);
      /* What an earlier coordinator grants does not count any more.  */
      if (!in->failed && grant.retry_after >= 0
          && groups & 1u << cs_cap_group (grant.workspace))
        apply_grant (workspaces, &grant, now);
    }
}

/* Choice of coordinators.  */

static bool
can_keep (const peer_t *peer)
{
  return !peer->info.stopping && peer_is_reachable (peer)
         && peer_is_responsive (peer);
}

/* The node that comes first for GROUP among those that can keep caps.  */
static peer_t *
best_coordinator (const cs_traffic_t *traffic, unsigned group)
{
  GHashTableIter iter;
  gpointer value;
  peer_t *best = traffic->self;
  uint64_t best_rank = 0;
  g_hash_table_iter_init (&iter, traffic->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      peer_t *peer = value;
      uint64_t rank = cs_hash_text (peer->info.name, group + 1);
      if (can_keep (peer) && rank > best_rank)
        {
          best = peer;
          best_rank = rank;
        }
    }
  return best;
}

static unsigned
count_nodes (const cs_traffic_t *traffic)
{
  GHashTableIter iter;
  gpointer value;
  unsigned nodes = 0;
  g_hash_table_iter_init (&iter, traffic->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    nodes += !((const peer_t *)value)->info.stopping;
  return MAX (nodes, 1);
}

/* Give up the coordinator of GROUP.  RELEASED: it does not count on this
   node's part any more.  */
static void
lose_coordinator (workspaces_t *workspaces, unsigned group, bool released,
                  const char *why)
{
  coordinator_t *coordinator = &workspaces->coordinators[group];
  cs_event_log (CS_E_CAP, "group=%u coordinator=%s state=lost why=\"%s\"",
                group, coordinator->peer->info.name, why);
  coordinator->pledge_after
      = released
            ? 0
            : coordinator->sent_at + CS_CAP_PLEDGE_TIME + CS_CAP_PLEDGE_MARGIN;
  coordinator->peer = NULL;
  coordinator->released_by = NULL;
  coordinator->unanswered_since = 0;
  coordinator->better = NULL;
  cs_allowance_drop (workspaces->allowance, group);
}

/* Give up the coordinator of GROUP if it cannot be one any more.  */
static void
check_coordinator (workspaces_t *workspaces, unsigned group, cs_usec_t now)
{
  const coordinator_t *coordinator = &workspaces->coordinators[group];
  const peer_t *peer = coordinator->peer;
  if (!peer || peer->self)
    return;
  if (peer->info.stopping)
    lose_coordinator (workspaces, group, true, "it stops");
  else if (peer->process_gone
           || (peer->hello_received && peer->hello_boot != coordinator->boot))
    lose_coordinator (workspaces, group, true, "its process has ended");
  else if (!peer_is_reachable (peer))
    lose_coordinator (workspaces, group, false, "not reachable");
  else if (coordinator->unanswered_since
           && now - coordinator->unanswered_since > COORDINATOR_SILENCE_MAX)
    lose_coordinator (workspaces, group, false, "silent");
}

static void
choose_coordinator (workspaces_t *workspaces, unsigned group, cs_usec_t now)
{
  coordinator_t *coordinator = &workspaces->coordinators[group];
  peer_t *best = best_coordinator (workspaces->traffic, group);
  if (!coordinator->peer && now >= coordinator->pledge_after)
    {
      coordinator->peer = best;
      coordinator->boot = best->self ? 0 : best->hello_boot;
      coordinator->sent_at = 0;
      cs_event_log (CS_E_CAP, "group=%u coordinator=%s state=chosen", group,
                    best->info.name);
      return;
    }
  if (!coordinator->peer || best == coordinator->peer)
    {
      coordinator->better = NULL;
      return;
    }
  if (coordinator->better != best)
    {
      coordinator->better = best;
      coordinator->better_since = now;
    }
  /* Its last messages are answered: it knows what this node has used.  The
     next message to it, if there is one, releases the group.  */
  else if (now - coordinator->better_since > COORDINATOR_SETTLE_TIME
           && !coordinator->unanswered_since)
    {
      peer_t *before = coordinator->peer;
      GArray *none = g_array_new (FALSE, FALSE, sizeof (cs_cap_ask_t));
      lose_coordinator (workspaces, group, before->self,
                        "another one comes before it");
      coordinator->released_by = before;
      if (before->self)
        ask_self (workspaces, none, groups_of (workspaces, before), now);
      else
        send_asks (before, none, groups_of (workspaces, before));
      g_array_unref (none);
    }
}

void
workspaces_stop (cs_traffic_t *traffic)
{
  cs_cap_coordinator_forget_pledges (traffic->workspaces->caps);
}

bool
workspaces_charge (call_t *call)
{
  workspaces_t *workspaces = call->traffic->workspaces;
  const cs_workspace_t *workspace = call->workspace;
  cs_usec_t now = traffic_now (call->traffic);
  if (!workspace || workspace->per_s <= 0)
    return true;
  GQueue *queue = waiting_queue (workspaces, workspace->id);
  if ((!queue || !queue->length)
      && cs_allowance_take (workspaces->allowance, workspace->id, now))
    {
      call->charged = true;
      return true;
    }
  if (!queue)
    {
      queue = g_new0 (GQueue, 1);
      g_hash_table_insert (workspaces->waiting,
                           g_memdup2 (&workspace->id, sizeof workspace->id),
                           queue);
    }
  cs_counter_add (CS_C_CAP_WAITS, 1);
  call->waiting_link = (GList){ .data = call };
  call->waiting_since = now;
  call->awaits_token = true;
  g_queue_push_tail_link (queue, &call->waiting_link);
  peer_t *coordinator
      = workspaces->coordinators[cs_cap_group (workspace->id)].peer;
  if (coordinator && !coordinator->self)
    talk_to (workspaces, coordinator, now);
  return false;
}

void
workspaces_end (call_t *call, bool ran)
{
  stop_waiting (call);
  if (call->charged && !ran)
    cs_allowance_give_back (call->traffic->workspaces->allowance,
                            call->workspace->id);
  call->charged = false;
}

void
workspaces_tick (cs_traffic_t *traffic, bool slow_tick, cs_usec_t now)
{
  workspaces_t *workspaces = traffic->workspaces;
  if (!traffic->has_caps)
    return;
  if (slow_tick || !workspaces->nodes)
    workspaces->nodes = count_nodes (traffic);
  for (unsigned group = 0; group < CS_CAP_GROUPS; group++)
    {
      check_coordinator (workspaces, group, now);
      if (slow_tick || !workspaces->coordinators[group].peer)
        choose_coordinator (workspaces, group, now);
    }
  for (unsigned group = 0; group < CS_CAP_GROUPS; group++)
    {
      peer_t *peer = workspaces->coordinators[group].peer;
      /* A coordinator of several groups is talked to once.  */
      if (peer && (groups_of (workspaces, peer) & ((1u << group) - 1)) == 0)
        talk_to (workspaces, peer, now);
    }
  refuse_late_waiting (workspaces, now);
}
