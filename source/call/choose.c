/* Where a call goes: the nodes of its service as places.  */
#include <string.h>

#include "call.h"
#include "cardamom/speed.h"

#define SLOTS_GUESS 8               /* Before the first report.  */
#define LOAD_FRESH (400 * CS_MSEC)  /* Of a node's last report.  */
#define LOAD_STALE_PERCENT 60       /* Of its slots, later.  */
#define FAILING_FORGET (2 * CS_SEC) /* A failing node is tried again.  */

static bool
was_tried (const call_t *call, const peer_t *peer)
{
  for (unsigned i = 0; i < call->tries; i++)
    if (call->tried[i] == peer)
      return true;
  return false;
}

cs_usec_t
call_work (const call_t *call)
{
  const cs_mean_t *work = &call->state->work;
  return work->count ? (cs_usec_t)work->mean
                     : cs_speed_guess (call->full_target);
}

static const char *
version_for (const call_t *call, const pool_t *pool)
{
  const version_t *v = &pool->version;
  return call->wants_trial ? v->trial : v->current;
}

/* PEER as a place for CALL.  */
static cs_place_t
place_of (const call_t *call, peer_t *peer, const char *version, cs_usec_t now)
{
  const cs_member_t *m = &peer->member;
  cs_load_t load = peer->load;
  cs_usec_t age = now - peer->load_at;
  int64_t mine = g_hash_table_size (peer->calls);
  if (peer->self)
    {
      load = cs_runner_load (call->traffic->runner);
      age = mine = 0;
    }
  int64_t slots = m->slots > 0 ? m->slots : SLOTS_GUESS;
  int64_t others
      = load.running + load.waiting - (peer->self ? 0 : peer->mine_at_load);
  if (!load.slots || age > LOAD_FRESH)
    others = MIN (load.slots ? MAX (others, 0) : slots,
                  slots * LOAD_STALE_PERCENT / 100);
  cs_usec_t expected
      = cs_speed_work (&peer->speed, call->route->path, call_work (call));
  return (cs_place_t){
    .distance = peer->distance,
    .usable = m->state == CS_LIFE_READY && !m->stopping
              && peer_is_reachable (peer) && strcmp (m->version, version) == 0
              && !was_tried (call, peer),
    .slots = slots,
    .busy = MAX (others, 0) + mine,
    .slot_time = load.slot_time > 0 ? load.slot_time : expected,
    .work = expected,
    .round_trip = peer->round_trip,
    .failing_permille = age > FAILING_FORGET ? 0 : load.failing_permille,
  };
}

static peer_t *
choose_among (call_t *call, pool_t *pool, const char *version)
{
  cs_traffic_t *t = call->traffic;
  cs_usec_t now = traffic_now (t);
  guint count = pool->peers->len;
  if (!count || !version[0])
    return NULL;
  cs_place_t *places = g_new (cs_place_t, count);
  for (guint i = 0; i < count; i++)
    places[i] = place_of (call, pool->peers->pdata[i], version, now);
  cs_place_need_t need = { .target_left = call->target - now };
  cs_placement_t chosen
      = cs_place_choose (places, count, &need, t->ctx->random);
  g_free (places);
  return chosen.index >= 0 ? pool->peers->pdata[chosen.index] : NULL;
}

peer_t *
call_choose_peer (call_t *call)
{
  pool_t *pool = pool_of (call->traffic, call->service);
  peer_t *peer = choose_among (call, pool, version_for (call, pool));
  if (!peer && call->wants_trial)
    {
      call->wants_trial = false;
      peer = choose_among (call, pool, version_for (call, pool));
    }
  return peer;
}
