/* Other nodes: what is known of them, and the streams to them.  */
#include <string.h>

#include "traffic.h"

#define RETRY_FIRST (100 * CS_MSEC)
#define RETRY_MAX (2 * CS_SEC) /* Between tries to reach a node.  */
/* A node that stopped connects by itself when it is back.  */
#define RETRY_STOPPED (10 * CS_SEC)
/* A node that has work of ours and says nothing is asked for a sign after the
   first, and taken for gone after the second.  */
#define PING_AFTER (250 * CS_MSEC)
#define GONE_AFTER (1000 * CS_MSEC)
/* An idle stream is checked now and then, lest the next call finds it dead. */
#define IDLE_PING_AFTER (2500 * CS_MSEC)
#define IDLE_PING_GROUP 16
#define IDLE_PING_MAX (20 * CS_SEC)
#define IDLE_GONE_AFTER (4500 * CS_MSEC)
#define CONNECT_TIMEOUT (1500 * CS_MSEC)
#define ROUND_TRIP_NEAR (1 * CS_MSEC)
#define ROUND_TRIP_REGION (3 * CS_MSEC)
#define ROUND_TRIP_FAR (60 * CS_MSEC)

pool_t *
pool_of (cs_traffic_t *t, const char *service)
{
  pool_t *pool = g_hash_table_lookup (t->pools, service);
  if (!pool)
    {
      pool = g_new0 (pool_t, 1);
      pool->peers = g_ptr_array_new ();
      g_hash_table_insert (t->pools, g_strdup (service), pool);
    }
  return pool;
}

bool
peer_is_reachable (const peer_t *peer)
{
  return peer->self || (peer->stream && peer->greeted);
}

void
peer_send (peer_t *peer, cs_pack_t *pack)
{
  if (peer->stream)
    cs_stream_send (peer->stream, cs_pack_payload (pack));
}

void
stream_send_hello (cs_traffic_t *t, cs_stream_t *stream)
{
  cs_pack_t pack;
  cs_pack_init (&pack);
  cs_pack_array (&pack, 3);
  cs_pack_number (&pack, CS_FRAME_HELLO);
  cs_pack_number (&pack, CS_FRAMES_VERSION);
  cs_member_pack (&pack, &t->self->member);
  cs_stream_send (stream, cs_pack_payload (&pack));
  cs_pack_clear (&pack);
}

void
stream_send_bare (cs_stream_t *stream, cs_frame_t kind)
{
  cs_pack_t pack;
  cs_pack_init (&pack);
  cs_pack_array (&pack, 1);
  cs_pack_number (&pack, kind);
  cs_stream_send (stream, cs_pack_payload (&pack));
  cs_pack_clear (&pack);
}

/* A service without a move on record: the version of the server that has run
   longest takes the requests.  */
static void
guess_version (pool_t *pool)
{
  const cs_member_t *oldest = NULL;
  bool held = false;
  if (pool->version.order)
    return;
  for (guint i = 0; i < pool->peers->len; i++)
    {
      const peer_t *peer = pool->peers->pdata[i];
      const cs_member_t *m = &peer->member;
      if (m->version[0] && (!oldest || m->born_ms < oldest->born_ms))
        oldest = m;
      held |= strcmp (m->version, pool->version.current) == 0;
    }
  if (oldest && !held)
    g_strlcpy (pool->version.current, oldest->version,
               sizeof pool->version.current);
}

void
peer_index (peer_t *peer, const char *before)
{
  cs_traffic_t *t = peer->traffic;
  const char *service = peer->member.service;
  if (strcmp (before, service) != 0)
    {
      if (before[0])
        g_ptr_array_remove (pool_of (t, before)->peers, peer);
      if (service[0])
        g_ptr_array_add (pool_of (t, service)->peers, peer);
    }
  if (service[0])
    guess_version (pool_of (t, service));
}

static void
set_distance (cs_traffic_t *t, peer_t *peer)
{
  const cs_member_t *own = &t->self->member, *m = &peer->member;
  peer->distance = strcmp (own->dc, m->dc) == 0           ? CS_NEAR
                   : strcmp (own->region, m->region) == 0 ? CS_SAME_REGION
                                                          : CS_FAR;
  peer->round_trip = peer->self                  ? 0
                     : peer->distance == CS_NEAR ? ROUND_TRIP_NEAR
                     : peer->distance == CS_FAR  ? ROUND_TRIP_FAR
                                                 : ROUND_TRIP_REGION;
}

peer_t *
peer_add (cs_traffic_t *t, const cs_member_t *member)
{
  peer_t *peer = g_new0 (peer_t, 1);
  peer->traffic = t;
  peer->member = *member;
  peer->self = !t->self;
  if (peer->self)
    t->self = peer;
  peer->calls = g_hash_table_new (g_int64_hash, g_int64_equal);
  peer->asked = g_hash_table_new (g_int64_hash, g_int64_equal);
  cs_speed_init (&peer->speed);
  peer->retry_pause = RETRY_FIRST;
  set_distance (t, peer);
  g_hash_table_insert (t->peers, peer->member.name, peer);
  peer_index (peer, "");
  return peer;
}

void
peer_note_load (peer_t *peer, const cs_load_t *load)
{
  peer->load = *load;
  peer->load_at = traffic_now (peer->traffic);
  peer->mine_at_load = g_hash_table_size (peer->calls);
}

static void
strand_calls (peer_t *peer, GHashTable *table)
{
  GPtrArray *calls = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer call;
  g_hash_table_iter_init (&iter, table);
  while (g_hash_table_iter_next (&iter, NULL, &call))
    g_ptr_array_add (calls, call);
  g_hash_table_remove_all (table);
  for (guint i = 0; i < calls->len; i++)
    call_stranded (calls->pdata[i], peer);
  g_ptr_array_unref (calls);
}

static void
lose_stream (peer_t *peer, const char *why)
{
  cs_traffic_t *t = peer->traffic;
  bool was = peer->greeted;
  peer->stream = NULL;
  peer->greeted = false;
  peer->pinged = 0;
  peer->retry_at
      = traffic_now (t)
        + (peer->member.stopping ? RETRY_STOPPED : peer->retry_pause);
  peer->retry_pause = MIN (2 * peer->retry_pause, RETRY_MAX);
  if (was)
    {
      cs_event (CS_E_PEER, "peer=%s state=lost why=\"%s\" calls=%u",
                peer->member.name, why, g_hash_table_size (peer->calls));
      t->handler.member (t->user, &peer->member, false);
    }
  strand_calls (peer, peer->calls);
}

static void
on_down (void *user, cs_stream_t *stream, const char *why)
{
  peer_t *peer = user;
  if (peer->stream == stream)
    lose_stream (peer, why);
}

static void
on_up (void *user, cs_stream_t *stream)
{
  const peer_t *peer = user;
  stream_send_hello (peer->traffic, stream);
}

/* Ask again for the calls whose fate an earlier stream left open.  */
static void
ask_again (peer_t *peer)
{
  GHashTableIter iter;
  gpointer call;
  GPtrArray *calls = g_ptr_array_new ();
  g_hash_table_iter_init (&iter, peer->asked);
  while (g_hash_table_iter_next (&iter, NULL, &call))
    g_ptr_array_add (calls, call);
  for (guint i = 0; i < calls->len; i++)
    call_send_ask (calls->pdata[i], peer);
  g_ptr_array_unref (calls);
}

static void
take_hello (peer_t *peer, cs_cursor_t *in)
{
  cs_traffic_t *t = peer->traffic;
  cs_member_t member;
  int64_t version = cs_take_number (in);
  cs_member_take (in, &member);
  if (in->bad || version != CS_FRAMES_VERSION
      || strcmp (member.name, peer->member.name) != 0)
    {
      /* Another node has the address: the one that was here is gone.  */
      cs_event (CS_E_PEER, "peer=%s state=refused why=\"another node\"",
                peer->member.name);
      cs_stream_drop (peer->stream);
      lose_stream (peer, "another node has its address");
      return;
    }
  peer->greeted = true;
  peer->greeted_boot = member.boot;
  peer->retry_pause = RETRY_FIRST;
  peers_learn (t, &member);
  cs_event (CS_E_PEER, "peer=%s state=connected", peer->member.name);
  t->handler.member (t->user, &peer->member, true);
  ask_again (peer);
}

static void
take_outcome (peer_t *peer, cs_cursor_t *in)
{
  uint64_t number;
  cs_outcome_t outcome;
  cs_outcome_take (in, &number, &outcome);
  if (in->bad)
    return;
  call_t *call = g_hash_table_lookup (peer->calls, &number);
  GHashTable *table = peer->calls;
  if (!call)
    {
      call = g_hash_table_lookup (peer->asked, &number);
      table = peer->asked;
    }
  if (call)
    g_hash_table_remove (table, &number);
  peer_note_load (peer, &outcome.load);
  if (call)
    call_outcome (call, &outcome);
}

static void
pass_to_control (peer_t *peer, cs_str_t payload)
{
  cs_traffic_t *t = peer->traffic;
  t->handler.control (t->user, peer->member.name,
                      g_string_new_len (payload.data, (gssize)payload.len));
}

static void
on_payload (void *user, cs_stream_t *stream, cs_str_t payload)
{
  peer_t *peer = user;
  cs_unpack_t unpack;
  cs_cursor_t in;
  (void)stream;
  if (cs_unpack_init (peer->traffic->ctx, &unpack, payload, &in) != CS_OK)
    {
      cs_count (CS_C_FRAMES_REFUSED, 1);
      return;
    }
  int64_t kind = cs_take_number (&in);
  if (kind == CS_FRAME_PONG && peer->pinged)
    peer->pinged = 0;
  else if (kind == CS_FRAME_HELLO)
    take_hello (peer, &in);
  else if (kind == CS_FRAME_OUTCOME)
    take_outcome (peer, &in);
  else if (kind >= CS_FRAME_CONTROL)
    pass_to_control (peer, payload);
  if (in.bad)
    cs_count (CS_C_FRAMES_REFUSED, 1);
  cs_unpack_clear (&unpack);
}

static const cs_stream_handler_t stream_handler
    = { .up = on_up, .payload = on_payload, .down = on_down };

static void
open_stream (peer_t *peer, cs_usec_t now)
{
  cs_traffic_t *t = peer->traffic;
  struct sockaddr_in address;
  if (!cs_endpoint_parse (peer->member.address, &address))
    return;
  peer->retry_at = now + CONNECT_TIMEOUT;
  peer->stream = cs_stream_connect (&t->loop, t->ctx->clock, &address,
                                    PEER_SILENCE, &stream_handler, peer);
}

static void
renew_stream (peer_t *peer, const char *why)
{
  if (peer->stream)
    cs_stream_drop (peer->stream);
  lose_stream (peer, why);
}

void
peers_learn (cs_traffic_t *t, const cs_member_t *member)
{
  peer_t *peer = g_hash_table_lookup (t->peers, member->name);
  if (!peer)
    {
      peer = peer_add (t, member);
      cs_event (CS_E_MEMBER, "member=%s dc=%s service=%s version=%s state=%s",
                member->name, member->dc, member->service, member->version,
                cs_life_state_name (member->state));
      t->handler.member (t->user, &peer->member, false);
      open_stream (peer, traffic_now (t));
      return;
    }
  if (peer->self || !cs_member_newer (member, &peer->member))
    return;
  cs_member_t before = peer->member;
  peer->member = *member;
  if (strcmp (before.instance, member->instance) != 0)
    {
      cs_speed_forget (&peer->speed);
      peer->load = (cs_load_t){ 0 };
      peer->load_at = 0;
    }
  set_distance (t, peer);
  peer_index (peer, before.service);
  cs_event (CS_E_MEMBER,
            "member=%s service=%s version=%s state=%s stopping=%d",
            member->name, member->service, member->version,
            cs_life_state_name (member->state), member->stopping);
  t->handler.member (t->user, &peer->member, peer_is_reachable (peer));
  if (strcmp (before.address, member->address) != 0
      || (before.boot != member->boot && peer->greeted
          && peer->greeted_boot != member->boot))
    renew_stream (peer, "another life of the node");
  if (!peer->stream)
    {
      peer->retry_pause = RETRY_FIRST;
      open_stream (peer, traffic_now (t));
    }
}

void
peers_broadcast (cs_traffic_t *t, cs_str_t payload, const char *region)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, t->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      peer_t *peer = value;
      if (peer->stream && peer->greeted
          && (!region || strcmp (peer->member.region, region) == 0))
        cs_stream_send (peer->stream, payload);
    }
}

void
peers_announce (cs_traffic_t *t)
{
  cs_pack_t pack;
  cs_pack_init (&pack);
  cs_pack_array (&pack, 2);
  cs_pack_number (&pack, CS_FRAME_MEMBER);
  cs_member_pack (&pack, &t->self->member);
  peers_broadcast (t, cs_pack_payload (&pack), NULL);
  cs_pack_clear (&pack);
}

static void
ping (peer_t *peer, cs_usec_t now)
{
  peer->pinged = now;
  stream_send_bare (peer->stream, CS_FRAME_PING);
}

/* The more nodes, the more rarely each idle stream is checked: what a node
   spends on that does not grow.  */
static cs_usec_t
idle_ping_after (const cs_traffic_t *t)
{
  unsigned groups = 1 + g_hash_table_size (t->peers) / IDLE_PING_GROUP;
  return MIN ((cs_usec_t)groups * IDLE_PING_AFTER, IDLE_PING_MAX);
}

static void
watch_stream (peer_t *peer, cs_usec_t now)
{
  bool busy
      = g_hash_table_size (peer->calls) || g_hash_table_size (peer->asked);
  cs_usec_t heard = cs_stream_heard (peer->stream);
  if (peer->pinged && heard > peer->pinged)
    peer->pinged = 0;
  if (!peer->pinged
      && now - heard > (busy ? PING_AFTER : idle_ping_after (peer->traffic)))
    ping (peer, now);
  else if (peer->pinged
           && now - peer->pinged > (busy ? GONE_AFTER - PING_AFTER
                                         : IDLE_GONE_AFTER - IDLE_PING_AFTER))
    renew_stream (peer, "silent");
}

void
peers_tick (cs_traffic_t *t, cs_usec_t now)
{
  GHashTableIter iter;
  gpointer value;
  GPtrArray *all = g_ptr_array_new ();
  g_hash_table_iter_init (&iter, t->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    g_ptr_array_add (all, value);
  for (guint i = 0; i < all->len; i++)
    {
      peer_t *peer = all->pdata[i];
      if (peer->self)
        continue;
      if (peer->stream && peer->greeted)
        watch_stream (peer, now);
      else if (now >= peer->retry_at)
        {
          if (peer->stream)
            renew_stream (peer, "no greeting");
          else
            open_stream (peer, now);
        }
    }
  g_ptr_array_unref (all);
}
