/* Peers: the other nodes as known here, and the streams to them.  */
#include <string.h>

#include "answer-offers.h"
#include "workspaces.h"

#define RECONNECT_DELAY_MIN (100 * CS_MSEC)
#define RECONNECT_DELAY_MAX (2 * CS_SEC) /* The delay doubles up to this.  */
/* A node that has stopped connects to this one when it is back.  */
#define RECONNECT_DELAY_STOPPED (10 * CS_SEC)
/* Silence of a node with jobs in flight after which it is pinged.  When it
   sends nothing for SUSPECT_AFTER after the ping it gets no more jobs, but may
   only be slow, or its link full: what runs there is not given up before
   BUSY_DEAD_AFTER.  */
#define BUSY_PING_AFTER (250 * CS_MSEC)
#define SUSPECT_AFTER (750 * CS_MSEC)
#define BUSY_DEAD_AFTER (2500 * CS_MSEC)
/* An idle stream is pinged too, so that no call has to find out that it is
   dead.  The interval grows by IDLE_PING_AFTER per so many nodes.  */
#define IDLE_PING_AFTER (2500 * CS_MSEC)
#define IDLE_PING_NODES_PER_STEP 16
#define IDLE_PING_MAX (20 * CS_SEC)
/* An idle node counts as dead when it sends nothing for IDLE_DEAD_AFTER -
   IDLE_PING_AFTER after the ping, whatever the interval was.  */
#define IDLE_DEAD_AFTER (4500 * CS_MSEC)
#define CONNECT_TIMEOUT (1500 * CS_MSEC)
#define ROUND_TRIP_SAME_DC (1 * CS_MSEC)
#define ROUND_TRIP_SAME_REGION (3 * CS_MSEC)
#define ROUND_TRIP_OTHER_REGION (60 * CS_MSEC)

pool_t *
service_pool (cs_traffic_t *traffic, const char *service)
{
  pool_t *pool = g_hash_table_lookup (traffic->pools, service);
  if (!pool)
    {
      pool = g_new0 (pool_t, 1);
      pool->peers = g_ptr_array_new ();
      g_hash_table_insert (traffic->pools, g_strdup (service), pool);
    }
  return pool;
}

bool
peer_is_reachable (const peer_t *peer)
{
  return peer->self || (peer->stream && peer->hello_received);
}

bool
peer_is_responsive (const peer_t *peer)
{
  return !peer->ping_sent_at
         || cs_stream_last_received (peer->stream) > peer->ping_sent_at
         || traffic_now (peer->traffic) - peer->ping_sent_at <= SUSPECT_AFTER;
}

void
peer_send (peer_t *peer, cs_pack_t *pack)
{
  if (peer->stream)
    cs_stream_send (peer->stream, cs_pack_payload (pack));
}

void
stream_send_kind (cs_stream_t *stream, int64_t kind)
{
  cs_pack_t pack;
  cs_pack_init (&pack);
  cs_pack_array (&pack, 1);
  cs_pack_int64 (&pack, kind);
  cs_stream_send (stream, cs_pack_payload (&pack));
  cs_pack_clear (&pack);
}

void
stream_send_number (cs_stream_t *stream, int64_t kind, uint64_t number)
{
  cs_pack_t pack;
  cs_pack_init (&pack);
  cs_pack_array (&pack, 2);
  cs_pack_int64 (&pack, kind);
  cs_pack_uint64 (&pack, number);
  cs_stream_send (stream, cs_pack_payload (&pack));
  cs_pack_clear (&pack);
}

void
peer_send_number (peer_t *peer, int64_t kind, uint64_t number)
{
  if (peer->stream)
    stream_send_number (peer->stream, kind, number);
}

/* Choose the baseline of a service without a move: the version of the
   server that has run longest, kept as long as a server runs it.  */
static void
infer_baseline (pool_t *pool)
{
  const cs_node_info_t *oldest = NULL;
  bool baseline_runs = false;
  if (pool->split.move_revision)
    return;
  for (guint i = 0; i < pool->peers->len; i++)
    {
      const peer_t *peer = pool->peers->pdata[i];
      const cs_node_info_t *info = &peer->info;
      if (info->version[0]
          && (!oldest || info->server_started_ms < oldest->server_started_ms))
        oldest = info;
      baseline_runs |= strcmp (info->version, pool->split.baseline) == 0;
    }
  if (oldest && !baseline_runs)
    g_strlcpy (pool->split.baseline, oldest->version,
               sizeof pool->split.baseline);
}

void
peer_move_to_pool (peer_t *peer, const char *before)
{
  cs_traffic_t *traffic = peer->traffic;
  const char *service = peer->info.service;
  if (strcmp (before, service) != 0)
    {
      if (before[0])
        g_ptr_array_remove (service_pool (traffic, before)->peers, peer);
      if (service[0])
        g_ptr_array_add (service_pool (traffic, service)->peers, peer);
    }
  if (service[0])
    infer_baseline (service_pool (traffic, service));
}

static void
set_distance (cs_traffic_t *traffic, peer_t *peer)
{
  const cs_node_info_t *own = &traffic->self->info, *info = &peer->info;
  peer->distance = strcmp (own->dc, info->dc) == 0           ? CS_SAME_DC
                   : strcmp (own->region, info->region) == 0 ? CS_SAME_REGION
                                                             : CS_OTHER_REGION;
  peer->round_trip = peer->self                     ? 0
                     : peer->distance == CS_SAME_DC ? ROUND_TRIP_SAME_DC
                     : peer->distance == CS_OTHER_REGION
                         ? ROUND_TRIP_OTHER_REGION
                         : ROUND_TRIP_SAME_REGION;
}

/* Note for how long the server beside PEER stays cold, as its description has
   just told.  */
static void
note_cold (peer_t *peer)
{
  if (peer->info.server_cold_left)
    cs_cold_share_begin (&peer->cold_share, traffic_now (peer->traffic)
                                                + peer->info.server_cold_left);
}

peer_t *
peer_add (cs_traffic_t *traffic, const cs_node_info_t *info)
{
  peer_t *peer = g_new0 (peer_t, 1);
  peer->traffic = traffic;
  peer->info = *info;
  peer->self = !traffic->self;
  if (peer->self)
    traffic->self = peer;
  peer->calls = g_hash_table_new (g_int64_hash, g_int64_equal);
  peer->unresolved_calls = g_hash_table_new (g_int64_hash, g_int64_equal);
  cs_service_times_init (&peer->run_times);
  peer->reconnect_delay = RECONNECT_DELAY_MIN;
  set_distance (traffic, peer);
  note_cold (peer);
  g_hash_table_insert (traffic->peers, peer->info.name, peer);
  peer_move_to_pool (peer, "");
  return peer;
}

void
peer_note_load (peer_t *peer, const cs_load_t *load)
{
  peer->load = *load;
  peer->load_received_at = traffic_now (peer->traffic);
  peer->own_calls_at_load = g_hash_table_size (peer->calls);
  if (load->cold_left)
    return; /* The limit in force may be the rate of a cold server.  */
  peer->limit_interval = load->limit_interval;
  if (load->limit_interval)
    g_strlcpy (peer->limit_instance, peer->info.instance,
               sizeof peer->limit_instance);
}

void
peer_note_server_leaving (peer_t *peer, int64_t started_ms)
{
  if (started_ms != peer->info.server_started_ms)
    return; /* Another one has taken its place.  */
  peer->leaving_started_ms = started_ms;
  g_strlcpy (peer->leaving_instance, peer->info.instance,
             sizeof peer->leaving_instance);
}

bool
peer_server_is_leaving (const peer_t *peer)
{
  return peer->leaving_instance[0]
         && peer->leaving_started_ms == peer->info.server_started_ms
         && strcmp (peer->leaving_instance, peer->info.instance) == 0;
}

static void
disconnect_calls (peer_t *peer, GHashTable *table)
{
  GPtrArray *calls = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer call;
  g_hash_table_iter_init (&iter, table);
  while (g_hash_table_iter_next (&iter, NULL, &call))
    g_ptr_array_add (calls, call);
  g_hash_table_remove_all (table);
  for (guint i = 0; i < calls->len; i++)
    call_stream_lost (calls->pdata[i], peer);
  g_ptr_array_unref (calls);
}

static void
handle_stream_lost (peer_t *peer, const char *why)
{
  cs_traffic_t *traffic = peer->traffic;
  bool was_reachable = peer->hello_received;
  peer->stream = NULL;
  peer->process_gone = strcmp (why, uv_strerror (UV_ECONNREFUSED)) == 0;
  peer->hello_received = false;
  peer->ping_sent_at = 0;
  peer->reconnect_at = traffic_now (traffic)
                       + (peer->info.stopping ? RECONNECT_DELAY_STOPPED
                                              : peer->reconnect_delay);
  peer->reconnect_delay = MIN (2 * peer->reconnect_delay, RECONNECT_DELAY_MAX);
  if (was_reachable)
    {
      cs_event_log (CS_E_PEER, "peer=%s state=lost why=\"%s\" calls=%u",
                    peer->info.name, why, g_hash_table_size (peer->calls));
      traffic->handler.member_changed (traffic->user, &peer->info, false);
    }
  disconnect_calls (peer, peer->calls);
}

static void
on_stream_closed (void *user, cs_stream_t *stream, const char *why)
{
  peer_t *peer = user;
  if (peer->stream == stream)
    handle_stream_lost (peer, why);
}

static void
on_stream_connected (void *user, cs_stream_t *stream)
{
  peer_t *peer = user;
  peer->hello_revision = peer->traffic->self->info.revision;
  stream_send_hello (peer->traffic, stream);
}

/* Ask for the outcomes of the calls that an earlier stream left unknown.  */
static void
query_unresolved_calls (peer_t *peer)
{
  GHashTableIter iter;
  gpointer call;
  GPtrArray *calls = g_ptr_array_new ();
  g_hash_table_iter_init (&iter, peer->unresolved_calls);
  while (g_hash_table_iter_next (&iter, NULL, &call))
    g_ptr_array_add (calls, call);
  for (guint i = 0; i < calls->len; i++)
    call_query_outcome (calls->pdata[i], peer);
  g_ptr_array_unref (calls);
}

/* This node's description as it is now.  */
static cs_node_info_t
own_info (const cs_traffic_t *traffic)
{
  cs_node_info_t info = traffic->self->info;
  info.server_cold_left = cs_dispatcher_load (traffic->dispatcher).cold_left;
  return info;
}

void
stream_send_hello (cs_traffic_t *traffic, cs_stream_t *stream)
{
  cs_pack_t pack;
  cs_node_info_t info = own_info (traffic);
  cs_pack_init (&pack);
  cs_pack_array (&pack, 3);
  cs_pack_int64 (&pack, CS_FRAME_HELLO);
  cs_pack_int64 (&pack, CS_FRAMES_VERSION);
  cs_node_info_pack (&pack, &info);
  cs_stream_send (stream, cs_pack_payload (&pack));
  cs_pack_clear (&pack);
}

static void
pack_own_member (const cs_traffic_t *traffic, cs_pack_t *pack)
{
  cs_node_info_t info = own_info (traffic);
  cs_pack_array (pack, 2);
  cs_pack_int64 (pack, CS_FRAME_MEMBER);
  cs_node_info_pack (pack, &info);
}

static void
send_own_member (peer_t *peer)
{
  cs_pack_t pack;
  cs_pack_init (&pack);
  pack_own_member (peer->traffic, &pack);
  peer_send (peer, &pack);
  cs_pack_clear (&pack);
}

static void
send_limit (peer_t *peer)
{
  cs_pack_t pack;
  cs_pack_init (&pack);
  cs_pack_array (&pack, 3);
  cs_pack_int64 (&pack, CS_FRAME_SERVER_LIMIT);
  cs_pack_text (&pack, peer->limit_instance);
  cs_pack_int64 (&pack, peer->limit_interval);
  peer_send (peer, &pack);
  cs_pack_clear (&pack);
}

static void
handle_hello (peer_t *peer, cs_unpack_cursor_t *in)
{
  cs_traffic_t *traffic = peer->traffic;
  cs_node_info_t info;
  int64_t version = cs_unpack_int64 (in);
  cs_node_info_unpack (in, &info);
  if (in->failed || version != CS_FRAMES_VERSION
      || strcmp (info.name, peer->info.name) != 0)
    {
      /* Another node has this address now, or it speaks another protocol
         version.  */
      cs_event_log (CS_E_PEER, "peer=%s state=refused why=\"another node\"",
                    peer->info.name);
      cs_stream_drop (peer->stream);
      handle_stream_lost (peer, "another node has its address");
      return;
    }
  peer->hello_received = true;
  peer->process_gone = false;
  peer->hello_boot = info.boot_ms;
  peer->reconnect_delay = RECONNECT_DELAY_MIN;
  /* The process that answers at the address is the last one there, even if the
     clock of its host has gone back since the one before it started.  */
  if (info.boot_ms < peer->info.boot_ms)
    peer->info.boot_ms = 0;
  peers_update_member (traffic, &info);
  cs_event_log (CS_E_PEER, "peer=%s state=connected", peer->info.name);
  traffic->handler.member_changed (traffic->user, &peer->info, true);
  /* Until now PEER was not reachable for peers_announce_self.  */
  if (peer->hello_revision != traffic->self->info.revision)
    send_own_member (peer);
  answer_room_announce (peer);
  crash_records_send_quarantined (peer);
  if (peer->limit_interval)
    send_limit (peer);
  query_unresolved_calls (peer);
}

static void
handle_outcome (peer_t *peer, cs_unpack_cursor_t *in)
{
  uint64_t number;
  cs_outcome_t outcome;
  cs_outcome_unpack (in, &number, &outcome);
  if (in->failed)
    return;
  GBytes *body = cs_stream_share (peer->stream, outcome.body);
  call_t *call = g_hash_table_lookup (peer->calls, &number);
  GHashTable *table = peer->calls;
  if (!call)
    {
      call = g_hash_table_lookup (peer->unresolved_calls, &number);
      table = peer->unresolved_calls;
    }
  if (call)
    g_hash_table_remove (table, &number);
  peer_note_load (peer, &outcome.load);
  if (call && body)
    body = answer_room_hold (call, body);
  outcome.body_bytes = body;
  if (call)
    call_handle_outcome (call, &outcome);
  if (body)
    g_bytes_unref (body);
}

/* A large outcome is received if its call still awaits it.  */
static bool
admit_payload (void *user, cs_stream_t *stream, size_t length,
               cs_str_t beginning)
{
  uint64_t number;
  (void)stream, (void)length;
  return !cs_frame_peek_outcome (beginning, &number)
         || answer_room_admit (user, number);
}

static void
handle_body_go (peer_t *peer, cs_unpack_cursor_t *in)
{
  uint64_t number = cs_unpack_uint64 (in);
  call_t *call
      = in->failed ? NULL : g_hash_table_lookup (peer->calls, &number);
  if (call)
    call_send_body (call);
}

static void
pass_to_control (peer_t *peer, cs_str_t payload)
{
  cs_traffic_t *traffic = peer->traffic;
  traffic->handler.control_received (
      traffic->user, peer->info.name,
      g_string_new_len (payload.data, (gssize)payload.len));
}

static void
on_payload (void *user, cs_stream_t *stream, cs_str_t payload)
{
  peer_t *peer = user;
  cs_unpack_t unpack;
  cs_unpack_cursor_t in;
  (void)stream;
  if (cs_unpack_init (peer->traffic->ctx, &unpack, payload, &in) != CS_OK)
    {
      cs_counter_add (CS_C_FRAMES_REFUSED, 1);
      return;
    }
  int64_t kind = cs_unpack_int64 (&in);
  if (kind == CS_FRAME_PONG && peer->ping_sent_at)
    peer->ping_sent_at = 0;
  else if (kind == CS_FRAME_HELLO)
    handle_hello (peer, &in);
  else if (kind == CS_FRAME_OUTCOME)
    handle_outcome (peer, &in);
  else if (kind == CS_FRAME_CRASH_RECORDS)
    crash_records_received (peer->traffic, &in);
  else if (kind == CS_FRAME_ANSWER_OFFER)
    answer_room_handle_offer (peer, &in);
  else if (kind == CS_FRAME_BODY_GO)
    handle_body_go (peer, &in);
  else if (kind == CS_FRAME_CAP_GRANT)
    workspaces_handle_grant (peer, &in);
  else if (kind >= CS_FRAME_CONTROL_FIRST)
    pass_to_control (peer, payload);
  if (in.failed)
    cs_counter_add (CS_C_FRAMES_REFUSED, 1);
  cs_unpack_clear (&unpack);
}

static const cs_stream_handler_t stream_handler
    = { .connected = on_stream_connected,
        .received = on_payload,
        .closed = on_stream_closed,
        .admit = admit_payload };

static void
open_stream (peer_t *peer, cs_usec_t now)
{
  cs_traffic_t *traffic = peer->traffic;
  struct sockaddr_in address;
  if (!cs_sockaddr_parse (peer->info.address, &address))
    return;
  peer->reconnect_at = now + CONNECT_TIMEOUT;
  peer->stream
      = cs_stream_connect (&traffic->loop, traffic->ctx->clock, &address,
                           PEER_ACK_TIMEOUT, &stream_handler, peer);
  if (peer->stream)
    cs_stream_set_budget (peer->stream, &traffic->budget);
}

static void
reset_stream (peer_t *peer, const char *why)
{
  if (peer->stream)
    cs_stream_drop (peer->stream);
  handle_stream_lost (peer, why);
}

void
peers_update_member (cs_traffic_t *traffic, const cs_node_info_t *info)
{
  peer_t *peer = g_hash_table_lookup (traffic->peers, info->name);
  if (!peer)
    {
      peer = peer_add (traffic, info);
      cs_event_log (CS_E_MEMBER,
                    "member=%s dc=%s service=%s version=%s state=%s",
                    info->name, info->dc, info->service, info->version,
                    cs_backend_state_name (info->server_state));
      traffic->handler.member_changed (traffic->user, &peer->info, false);
      open_stream (peer, traffic_now (traffic));
      return;
    }
  if (peer->self)
    return;
  if (!cs_node_info_is_newer (info, &peer->info))
    {
      /* An earlier process, or a later one whose clock has gone back.  */
      if (info->boot_ms < peer->info.boot_ms && !peer->stream)
        open_stream (peer, traffic_now (traffic));
      return;
    }
  cs_node_info_t before = peer->info;
  peer->info = *info;
  if (strcmp (before.instance, info->instance) != 0)
    {
      cs_service_times_reset (&peer->run_times);
      peer->load = (cs_load_t){ 0 };
      peer->load_received_at = 0;
    }
  set_distance (traffic, peer);
  note_cold (peer);
  peer_move_to_pool (peer, before.service);
  cs_event_log (CS_E_MEMBER,
                "member=%s service=%s version=%s state=%s stopping=%d",
                info->name, info->service, info->version,
                cs_backend_state_name (info->server_state), info->stopping);
  traffic->handler.member_changed (traffic->user, &peer->info,
                                   peer_is_reachable (peer));
  if (strcmp (before.address, info->address) != 0
      || (before.boot_ms != info->boot_ms && peer->hello_received
          && peer->hello_boot != info->boot_ms))
    reset_stream (peer, "node restarted or changed its address");
  if (!peer->stream)
    {
      peer->reconnect_delay = RECONNECT_DELAY_MIN;
      open_stream (peer, traffic_now (traffic));
    }
}

void
peers_broadcast (cs_traffic_t *traffic, cs_str_t payload, const char *region)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, traffic->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      peer_t *peer = value;
      if (peer->stream && peer->hello_received
          && (!region || strcmp (peer->info.region, region) == 0))
        cs_stream_send (peer->stream, payload);
    }
}

void
peers_announce_self (cs_traffic_t *traffic)
{
  cs_pack_t pack;
  cs_pack_init (&pack);
  pack_own_member (traffic, &pack);
  peers_broadcast (traffic, cs_pack_payload (&pack), NULL);
  cs_pack_clear (&pack);
}

static void
send_ping (peer_t *peer, cs_usec_t now)
{
  peer->ping_sent_at = now;
  stream_send_kind (peer->stream, CS_FRAME_PING);
}

/* The more nodes there are, the more rarely each idle stream is pinged, so
   that a node's cost of pinging stays bounded.  */
static cs_usec_t
idle_ping_after (const cs_traffic_t *traffic)
{
  unsigned steps
      = 1 + g_hash_table_size (traffic->peers) / IDLE_PING_NODES_PER_STEP;
  return MIN ((cs_usec_t)steps * IDLE_PING_AFTER, IDLE_PING_MAX);
}

static void
check_stream (peer_t *peer, cs_usec_t now)
{
  bool busy = g_hash_table_size (peer->calls)
              || g_hash_table_size (peer->unresolved_calls);
  cs_usec_t last_received = cs_stream_last_received (peer->stream);
  if (peer->ping_sent_at && last_received > peer->ping_sent_at)
    peer->ping_sent_at = 0;
  if (!peer->ping_sent_at
      && now - last_received
             > (busy ? BUSY_PING_AFTER : idle_ping_after (peer->traffic)))
    send_ping (peer, now);
  else if (peer->ping_sent_at
           && now - peer->ping_sent_at
                  > (busy ? BUSY_DEAD_AFTER - BUSY_PING_AFTER
                          : IDLE_DEAD_AFTER - IDLE_PING_AFTER))
    reset_stream (peer, "silent");
}

void
peers_tick (cs_traffic_t *traffic, cs_usec_t now)
{
  GHashTableIter iter;
  gpointer value;
  GPtrArray *all = g_ptr_array_new ();
  g_hash_table_iter_init (&iter, traffic->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    g_ptr_array_add (all, value);
  for (guint i = 0; i < all->len; i++)
    {
      peer_t *peer = all->pdata[i];
      if (peer->self)
        continue;
      if (peer->stream && peer->hello_received)
        check_stream (peer, now);
      else if (now >= peer->reconnect_at)
        {
          if (peer->stream)
            reset_stream (peer, "no hello in time");
          else
            open_stream (peer, now);
        }
    }
  g_ptr_array_unref (all);
}
