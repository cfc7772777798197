#include <string.h>

#include "cardamom/counters.h"
#include "cardamom/log.h"
#include "cardamom/upstream.h"

#define LATENCY_WEIGHT 8          /* Old to new parts of the average.  */
#define FAILING_WEIGHT 16         /* The same for failures.  */
#define EJECT_ROW 5               /* Failures in a row that eject.  */
#define EJECT_PPM 500000          /* Average of failures that ejects.  */
#define EJECT_PAUSE (3 * CS_SEC)  /* First pause; grows with each.  */
#define EJECT_PAUSE_MAX 8         /* Times the first pause at most.  */
#define LOAD_LIFE (500 * CS_MSEC) /* Of a reported load.  */
#define WARM_UP_MS 10000          /* From announcement to full share.  */
#define WARM_FIRST_PERCENT 10     /* Share at the announcement.  */
#define LATENCY_UNKNOWN_US 1000   /* Before the first success.  */

static const int64_t round_trip_us[] = {
  [CS_NEAR] = 0,
  [CS_SAME_REGION] = 2000,
  [CS_FAR] = 60000,
};

cs_upstream_t *
cs_upstream_new (const cs_upstream_about_t *about)
{
  cs_upstream_t *u = g_new0 (cs_upstream_t, 1);
  u->node = g_strdup (about->node);
  u->host = g_strdup (about->host);
  u->port = about->port;
  u->service = g_strdup (about->service);
  u->version = g_strdup (about->version);
  u->distance = about->distance;
  u->slots = MAX (about->slots, 1);
  u->since_ms = about->since_ms;
  u->refs = 1;
  return u;
}

cs_upstream_t *
cs_upstream_keep (cs_upstream_t *upstream)
{
  atomic_fetch_add (&upstream->refs, 1);
  return upstream;
}

void
cs_upstream_drop (void *data)
{
  cs_upstream_t *u = data;
  if (!u || atomic_fetch_sub (&u->refs, 1) != 1)
    return;
  g_free (u->node);
  g_free (u->host);
  g_free (u->service);
  g_free (u->version);
  g_free (u);
}

cs_upstreams_t *
cs_upstreams_new (void)
{
  cs_upstreams_t *set = g_new0 (cs_upstreams_t, 1);
  set->list = g_ptr_array_new_with_free_func (cs_upstream_drop);
  set->refs = 1;
  return set;
}

cs_upstreams_t *
cs_upstreams_keep (cs_upstreams_t *set)
{
  atomic_fetch_add (&set->refs, 1);
  return set;
}

void
cs_upstreams_drop (void *data)
{
  cs_upstreams_t *set = data;
  if (!set || atomic_fetch_sub (&set->refs, 1) != 1)
    return;
  g_ptr_array_unref (set->list);
  g_free (set);
}

void
cs_upstream_begin (cs_upstream_t *upstream)
{
  atomic_fetch_add (&upstream->inflight, 1);
}

bool
cs_upstream_ejected (const cs_upstream_t *upstream, cs_usec_t now)
{
  cs_usec_t to = atomic_load (&((cs_upstream_t *)upstream)->ejected_to);
  if (to == 0)
    return false;
  return now < to || atomic_load (&((cs_upstream_t *)upstream)->inflight) > 0;
}

static bool
may_eject (const cs_upstreams_t *all)
{
  guint out = 1;
  for (guint i = 0; i < all->list->len; i++)
    out += atomic_load (&((cs_upstream_t *)all->list->pdata[i])->ejected_to)
           != 0;
  return out * 100 <= all->list->len * CS_EJECTED_MAX_PERCENT;
}

static void
eject (cs_ctx_t *ctx, cs_upstream_t *u, const cs_upstreams_t *all)
{
  bool again = atomic_load (&u->ejected_to) != 0;
  if (!again && !may_eject (all))
    return;
  int64_t times
      = MIN (atomic_fetch_add (&u->ejections, 1) + 1, EJECT_PAUSE_MAX);
  atomic_store (&u->ejected_to, cs_now (ctx) + EJECT_PAUSE * times);
  cs_count (CS_C_EJECTIONS, 1);
  if (!again)
    cs_log (CS_LOG_NOTICE, "ejected", "upstream=%s service=%s", u->node,
            u->service);
}

static void
note_success (cs_upstream_t *u, cs_usec_t latency)
{
  int64_t old = atomic_load (&u->latency_us);
  int64_t now = old ? old + (latency - old) / LATENCY_WEIGHT : latency;
  atomic_store (&u->latency_us, MAX (now, 1));
  int64_t failing = atomic_load (&u->failing_ppm);
  atomic_store (&u->failing_ppm, failing - failing / FAILING_WEIGHT);
  atomic_store (&u->failed_row, 0);
  if (atomic_exchange (&u->ejected_to, 0) != 0)
    {
      atomic_store (&u->ejections, 0);
      atomic_store (&u->failing_ppm, 0);
      cs_log (CS_LOG_NOTICE, "readmitted", "upstream=%s", u->node);
    }
}

static void
note_failure (cs_ctx_t *ctx, cs_upstream_t *u, const cs_upstreams_t *all)
{
  int64_t failing = atomic_load (&u->failing_ppm);
  failing += (1000000 - failing) / FAILING_WEIGHT;
  atomic_store (&u->failing_ppm, failing);
  int64_t row = atomic_fetch_add (&u->failed_row, 1) + 1;
  if (row >= EJECT_ROW || failing >= EJECT_PPM
      || atomic_load (&u->ejected_to) != 0)
    eject (ctx, u, all);
}

void
cs_upstream_end (cs_ctx_t *ctx, cs_upstream_t *upstream,
                 const cs_upstreams_t *all, cs_attempt_t outcome,
                 cs_usec_t latency, int64_t load)
{
  atomic_fetch_sub (&upstream->inflight, 1);
  if (load >= 0)
    {
      atomic_store (&upstream->load, load);
      atomic_store (&upstream->load_at, cs_now (ctx));
    }
  if (outcome == CS_ATTEMPT_OK)
    note_success (upstream, latency);
  else if (outcome == CS_ATTEMPT_FAILED)
    note_failure (ctx, upstream, all);
}

static int64_t
expected_load (cs_upstream_t *u, cs_usec_t now)
{
  int64_t own = atomic_load (&u->inflight);
  cs_usec_t age = now - atomic_load (&u->load_at);
  if (age < 0 || age >= LOAD_LIFE)
    return own;
  int64_t reported = atomic_load (&u->load) * (LOAD_LIFE - age) / LOAD_LIFE;
  return MAX (own, reported);
}

static int64_t
warm_percent (const cs_upstream_t *u, int64_t now_ms)
{
  int64_t age = now_ms - u->since_ms;
  if (age >= WARM_UP_MS)
    return 100;
  return WARM_FIRST_PERCENT
         + (100 - WARM_FIRST_PERCENT) * MAX (age, 0) / WARM_UP_MS;
}

int64_t
cs_upstream_cost (const cs_upstream_t *upstream, const cs_choice_t *choice)
{
  cs_upstream_t *u = (cs_upstream_t *)upstream;
  int64_t latency = atomic_load (&u->latency_us);
  /* The average holds the round trip, which is added back below.  */
  latency = latency ? MAX (latency - round_trip_us[u->distance], 100)
                    : LATENCY_UNKNOWN_US;
  int64_t capacity
      = MAX (u->slots * warm_percent (u, choice->now_ms) / 100, 1);
  int64_t load = expected_load (u, choice->now) + 1;
  int64_t cost = latency * (100 + 100 * load / capacity) / 100;
  if (load > capacity)
    cost += latency * 4 * (load - capacity) / capacity;
  cost += latency * atomic_load (&u->failing_ppm) / 100000;
  return cost + round_trip_us[u->distance];
}
