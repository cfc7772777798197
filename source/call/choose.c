/* Which node a call goes to: describes the nodes of its service for
   placement.  */
#include <string.h>

#include "call.h"
#include "cardamom/service-times.h"

/* A call that was turned away so often for a shorter wait elsewhere waits
   wherever it is sent next.  */
#define REDIRECTS_MAX 2
#define DEFAULT_SLOTS 8 /* Slots of a server that reported none.  */
/* An older load report counts as stale: it may claim at most this part of the
   slots.  */
#define LOAD_FRESH_FOR (400 * CS_MSEC)
#define STALE_LOAD_PERCENT 60
/* Reported failures are ignored after this, so that a failing node is tried
   again.  */
#define FAILURES_FORGOTTEN_AFTER (2 * CS_SEC)

static bool
was_peer_tried (const call_t *call, const peer_t *peer)
{
  for (unsigned i = 0; i < call->tried_count; i++)
    if (call->tried[i] == peer)
      return true;
  return false;
}

cs_usec_t
call_expected_run_time (const call_t *call)
{
  const cs_running_mean_t *run_time = &call->route_state->run_time;
  return run_time->count ? (cs_usec_t)run_time->mean
                         : cs_service_time_initial (call->latency_target);
}

static const char *
version_for (const call_t *call, const pool_t *pool)
{
  const version_split_state_t *v = &pool->split;
  return call->wants_candidate ? v->candidate : v->baseline;
}

/* The wait of a further request under the limit that PEER's server names, by
   LOAD, which came AGE ago, and this node's OWN_CALLS there.  */
static cs_usec_t
expected_limit_delay (const peer_t *peer, const cs_load_t *load, cs_usec_t age,
                      int64_t own_calls)
{
  if (!load->limit_interval || (load->cold_left && age > load->cold_left))
    return 0;
  int64_t sent_since
      = peer->self ? 0 : MAX (own_calls - peer->own_calls_at_load, 0);
  return MAX (load->limit_wait - age, 0) + sent_since * load->limit_interval;
}

void
call_update_newest (call_t *call)
{
  cs_snapshot_drop (call->traffic->ctx, call->newest);
  call->newest = traffic_acquire_snapshot (call->traffic);
}

/* Whether CALL may reach the server beside PEER.  */
static cs_reach_result_t
check_reach (const call_t *call, const peer_t *peer)
{
  cs_reach_t reach
      = { .regions = call->route->allowed_regions,
          .workspace_regions
          = call->workspace ? call->workspace->allowed_regions : NULL,
          .newest_regions = call->newest ? cs_snapshot_allowed_regions (
                                call->newest, call->route->path)
                                         : NULL,
          .evacuated_dcs = call->traffic->evacuated_dcs };
  return cs_reach_check (&reach, peer->info.dc, peer->info.region);
}

double
call_warmup_rate (const call_t *call)
{
  const cs_service_t *service
      = g_hash_table_lookup (call->snapshot->services, call->service);
  return service ? service->warmup_per_s : 0;
}

/* What the servers of the call's service take while they are cold.  */
static cs_cold_rate_t
cold_rate (const call_t *call)
{
  return (cs_cold_rate_t){ .per_second = call_warmup_rate (call),
                           .senders
                           = g_hash_table_size (call->traffic->peers) };
}

void
call_note_sent (call_t *call, peer_t *peer)
{
  cs_cold_rate_t rate = cold_rate (call);
  if (!peer->self)
    cs_cold_share_take (&peer->cold_share, &rate, traffic_now (call->traffic));
}

static bool
peer_takes_version (const peer_t *peer, const char *version)
{
  const cs_node_info_t *info = &peer->info;
  return info->server_state == CS_BACKEND_READY && !info->stopping
         && !peer_server_is_leaving (peer) && peer_is_reachable (peer)
         && peer_is_responsive (peer) && strcmp (info->version, version) == 0;
}

bool
call_peer_takes_requests (const call_t *call, const peer_t *peer)
{
  const pool_t *pool = service_pool (call->traffic, call->service);
  return peer_takes_version (peer, version_for (call, pool))
         && check_reach (call, peer) == CS_REACH_ALLOWED;
}

/* The expected wait of CALL for its turn at PEER's server.  */
static cs_usec_t
expected_turn_delay (const call_t *call, peer_t *peer, const cs_load_t *load,
                     cs_usec_t age, int64_t own_calls, cs_usec_t now)
{
  cs_usec_t delay = expected_limit_delay (peer, load, age, own_calls);
  if (peer->self || now >= peer->cold_share.warm_at)
    return delay;
  cs_cold_rate_t rate = cold_rate (call);
  cs_usec_t share = cs_cold_share_wait (&peer->cold_share, &rate,
                                        call->traffic->ctx->random, now);
  return MAX (delay, share);
}

/* The time that the body of CALL is expected to wait for the link of PEER's
   host and to take on it, if it is large.  */
static cs_usec_t
expected_body_delay (const call_t *call, const peer_t *peer,
                     const cs_load_t *load, cs_usec_t age)
{
  size_t bytes = call->body ? g_bytes_get_size (call->body) : 0;
  double mbps = (double)peer->info.link_mbps;
  if (!cs_link_must_ask (mbps, bytes))
    return 0;
  return cs_link_transfer_time (mbps, bytes) + MAX (load->link_wait - age, 0);
}

/* PEER's state for the placement of CALL.  */
static cs_placement_node_t
describe_peer (const call_t *call, peer_t *peer, const char *version,
               cs_usec_t now)
{
  const cs_node_info_t *info = &peer->info;
  cs_load_t load = peer->load;
  cs_usec_t age = now - peer->load_received_at;
  int64_t own_calls = g_hash_table_size (peer->calls);
  if (peer->self)
    {
      load = cs_dispatcher_load (call->traffic->dispatcher);
      age = own_calls = 0;
    }
  int64_t slots = info->slots > 0 ? info->slots : DEFAULT_SLOTS;
  int64_t other_load = load.running + load.queued
                       - (peer->self ? 0 : peer->own_calls_at_load);
  if (!load.slots || age > LOAD_FRESH_FOR)
    other_load = MIN (load.slots ? MAX (other_load, 0) : slots,
                      slots * STALE_LOAD_PERCENT / 100);
  cs_usec_t run_time = cs_service_times_of_route (
      &peer->run_times, call->route->path, call_expected_run_time (call));
  return (cs_placement_node_t){
    .distance = peer->distance,
    .eligible = peer_takes_version (peer, version)
                && !was_peer_tried (call, peer)
                && check_reach (call, peer) == CS_REACH_ALLOWED,
    .refuses_retries
    = call_is_retry (call) && load.refuses_retries && age <= LOAD_FRESH_FOR,
    .slots = slots,
    .outstanding = MAX (other_load, 0) + own_calls,
    .mean_service_time
    = load.mean_service_time > 0 ? load.mean_service_time : run_time,
    .run_time = run_time,
    .round_trip = peer->round_trip,
    .transit = peer->self ? 0
                          : cs_transit_fade (load.transit, age)
                                + expected_body_delay (call, peer, &load, age),
    .limit_delay
    = expected_turn_delay (call, peer, &load, age, own_calls, now),
    .failure_permille
    = age > FAILURES_FORGOTTEN_AFTER ? 0 : load.failure_permille,
  };
}

/* Why no server of VERSION in POOL was found for CALL, which none has refused
   yet.  */
static cs_refusal_reason_t
reason_without_server (const call_t *call, const pool_t *pool,
                       const char *version)
{
  for (guint i = 0; i < pool->peers->len; i++)
    {
      const peer_t *peer = pool->peers->pdata[i];
      if (!peer_takes_version (peer, version))
        continue;
      switch (check_reach (call, peer))
        {
        case CS_REACH_OTHER_REGION:
          return CS_REFUSED_REGION;
        case CS_REACH_EVACUATED:
          return CS_REFUSED_EVACUATED;
        case CS_REACH_ALLOWED:
          break;
        }
    }
  return CS_REFUSED_NO_SERVER;
}

static peer_t *
choose_peer_of_version (call_t *call, pool_t *pool, const char *version)
{
  cs_traffic_t *traffic = call->traffic;
  cs_usec_t now = traffic_now (traffic);
  guint count = pool->peers->len;
  if (!count || !version[0])
    return NULL;
  cs_placement_node_t *nodes = g_new (cs_placement_node_t, count);
  for (guint i = 0; i < count; i++)
    nodes[i] = describe_peer (call, pool->peers->pdata[i], version, now);
  cs_placement_request_t request = { .target_left = call->target_time - now,
                                     .is_retry = call_is_retry (call) };
  cs_placement_t chosen
      = cs_placement_choose (nodes, count, &request, traffic->ctx->random);
  g_free (nodes);
  if (chosen.index < 0 && !call->was_refused)
    call->refusal_reason = reason_without_server (call, pool, version);
  call->wait_max
      = call->redirects < REDIRECTS_MAX ? chosen.wait_max : INT64_MAX;
  return chosen.index >= 0 ? pool->peers->pdata[chosen.index] : NULL;
}

peer_t *
call_choose_peer (call_t *call)
{
  pool_t *pool = service_pool (call->traffic, call->service);
  peer_t *peer = choose_peer_of_version (call, pool, version_for (call, pool));
  if (!peer && call->wants_candidate)
    {
      call->wants_candidate = false;
      peer = choose_peer_of_version (call, pool, version_for (call, pool));
    }
  return peer;
}
