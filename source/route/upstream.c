#include <string.h>

#include "cardamom/counters.h"
#include "cardamom/log.h"
#include "cardamom/upstream.h"

/* Moving averages give a new value the weight 1/DIVISOR.  */
#define LATENCY_DIVISOR 8
#define FAILURE_DIVISOR 16
/* Either of these ejects an upstream.  */
#define EJECT_CONSECUTIVE_FAILURES 5
#define EJECT_FAILURE_PPM 500000
#define EJECTION_TIME (3 * CS_SEC) /* Multiplied by consecutive ejections. */
#define EJECTION_FACTOR_MAX 8
/* A reported load loses weight linearly and expires at this age.  */
#define REPORTED_LOAD_TTL (500 * CS_MSEC)
#define SLOW_START_MS 10000       /* From the announcement to full share.  */
#define SLOW_START_MIN_PERCENT 10 /* Share at the announcement.  */
#define LATENCY_INITIAL_US 1000   /* Assumed before the first success.  */
/* Lower bound of the average latency without the network round trip.  */
#define SERVICE_LATENCY_MIN_US 100

/* Assumed network round trip by distance.  */
static const int64_t round_trip_us[] = {
  [CS_SAME_DC] = 0,
  [CS_SAME_REGION] = 2000,
  [CS_OTHER_REGION] = 60000,
};

cs_upstream_t *
cs_upstream_new (const cs_upstream_params_t *params)
{
  cs_upstream_t *upstream = g_new0 (cs_upstream_t, 1);
  upstream->node = g_strdup (params->node);
  upstream->host = g_strdup (params->host);
  upstream->port = params->port;
  upstream->service = g_strdup (params->service);
  upstream->version = g_strdup (params->version);
  upstream->distance = params->distance;
  upstream->slots = MAX (params->slots, 1);
  upstream->announced_ms = params->announced_ms;
  upstream->refs = 1;
  return upstream;
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
  cs_upstream_t *upstream = data;
  if (!upstream || atomic_fetch_sub (&upstream->refs, 1) != 1)
    return;
  g_free (upstream->node);
  g_free (upstream->host);
  g_free (upstream->service);
  g_free (upstream->version);
  g_free (upstream);
}

cs_upstream_set_t *
cs_upstream_set_new (void)
{
  cs_upstream_set_t *set = g_new0 (cs_upstream_set_t, 1);
  set->list = g_ptr_array_new_with_free_func (cs_upstream_drop);
  set->refs = 1;
  return set;
}

cs_upstream_set_t *
cs_upstream_set_keep (cs_upstream_set_t *set)
{
  atomic_fetch_add (&set->refs, 1);
  return set;
}

void
cs_upstream_set_drop (void *data)
{
  cs_upstream_set_t *set = data;
  if (!set || atomic_fetch_sub (&set->refs, 1) != 1)
    return;
  g_ptr_array_unref (set->list);
  g_free (set);
}

void
cs_upstream_attempt_begin (cs_upstream_t *upstream)
{
  atomic_fetch_add (&upstream->inflight, 1);
}

bool
cs_upstream_is_ejected (const cs_upstream_t *upstream, cs_usec_t now)
{
  cs_usec_t until = atomic_load (&((cs_upstream_t *)upstream)->ejected_until);
  if (until == 0)
    return false;
  return now < until
         || atomic_load (&((cs_upstream_t *)upstream)->inflight) > 0;
}

/* Whether one more upstream of ALL may be ejected.  */
static bool
may_eject (const cs_upstream_set_t *all)
{
  guint ejected = 1;
  for (guint i = 0; i < all->list->len; i++)
    ejected
        += atomic_load (&((cs_upstream_t *)all->list->pdata[i])->ejected_until)
           != 0;
  return ejected * 100 <= all->list->len * CS_EJECTED_MAX_PERCENT;
}

static void
eject (cs_ctx_t *ctx, cs_upstream_t *upstream, const cs_upstream_set_t *all)
{
  bool already_ejected = atomic_load (&upstream->ejected_until) != 0;
  if (!already_ejected && !may_eject (all))
    return;
  int64_t factor
      = MIN (atomic_fetch_add (&upstream->consecutive_ejections, 1) + 1,
             EJECTION_FACTOR_MAX);
  atomic_store (&upstream->ejected_until,
                cs_now (ctx) + EJECTION_TIME * factor);
  cs_counter_add (CS_C_EJECTIONS, 1);
  if (!already_ejected)
    cs_log (CS_LOG_NOTICE, "ejected", "upstream=%s service=%s", upstream->node,
            upstream->service);
}

static void
record_success (cs_upstream_t *upstream, cs_usec_t latency)
{
  int64_t old = atomic_load (&upstream->latency_us);
  int64_t average = old ? old + (latency - old) / LATENCY_DIVISOR : latency;
  atomic_store (&upstream->latency_us, MAX (average, 1));
  int64_t failure_ppm = atomic_load (&upstream->failure_ppm);
  atomic_store (&upstream->failure_ppm,
                failure_ppm - failure_ppm / FAILURE_DIVISOR);
  atomic_store (&upstream->consecutive_failures, 0);
  if (atomic_exchange (&upstream->ejected_until, 0) != 0)
    {
      atomic_store (&upstream->consecutive_ejections, 0);
      atomic_store (&upstream->failure_ppm, 0);
      cs_log (CS_LOG_NOTICE, "readmitted", "upstream=%s", upstream->node);
    }
}

static void
record_failure (cs_ctx_t *ctx, cs_upstream_t *upstream,
                const cs_upstream_set_t *all)
{
  int64_t failure_ppm = atomic_load (&upstream->failure_ppm);
  failure_ppm += (1000000 - failure_ppm) / FAILURE_DIVISOR;
  atomic_store (&upstream->failure_ppm, failure_ppm);
  int64_t consecutive
      = atomic_fetch_add (&upstream->consecutive_failures, 1) + 1;
  if (consecutive >= EJECT_CONSECUTIVE_FAILURES
      || failure_ppm >= EJECT_FAILURE_PPM
      || atomic_load (&upstream->ejected_until) != 0)
    eject (ctx, upstream, all);
}

void
cs_upstream_attempt_end (cs_ctx_t *ctx, cs_upstream_t *upstream,
                         const cs_upstream_set_t *all,
                         cs_attempt_result_t result, cs_usec_t latency,
                         int64_t load)
{
  atomic_fetch_sub (&upstream->inflight, 1);
  if (load >= 0)
    {
      atomic_store (&upstream->reported_load, load);
      atomic_store (&upstream->load_reported_at, cs_now (ctx));
    }
  if (result == CS_ATTEMPT_OK)
    record_success (upstream, latency);
  else if (result == CS_ATTEMPT_FAILED)
    record_failure (ctx, upstream, all);
}

/* Calls in flight at UPSTREAM: this node's own, or the load it reported where
   that is higher.  */
static int64_t
expected_load (cs_upstream_t *upstream, cs_usec_t now)
{
  int64_t in_flight = atomic_load (&upstream->inflight);
  cs_usec_t age = now - atomic_load (&upstream->load_reported_at);
  if (age < 0 || age >= REPORTED_LOAD_TTL)
    return in_flight;
  int64_t reported = atomic_load (&upstream->reported_load)
                     * (REPORTED_LOAD_TTL - age) / REPORTED_LOAD_TTL;
  return MAX (in_flight, reported);
}

/* Slow start: the share of its slots that UPSTREAM counts with for a time
   after its announcement.  */
static int64_t
slow_start_percent (const cs_upstream_t *upstream, int64_t now_ms)
{
  int64_t age = now_ms - upstream->announced_ms;
  if (age >= SLOW_START_MS)
    return 100;
  return SLOW_START_MIN_PERCENT
         + (100 - SLOW_START_MIN_PERCENT) * MAX (age, 0) / SLOW_START_MS;
}

int64_t
cs_upstream_cost (const cs_upstream_t *upstream,
                  const cs_balancer_criteria_t *criteria)
{
  cs_upstream_t *mutable_upstream = (cs_upstream_t *)upstream;
  int64_t latency = atomic_load (&mutable_upstream->latency_us);
  /* The measured average includes the round trip, added back below.  */
  latency = latency ? MAX (latency - round_trip_us[mutable_upstream->distance],
                           SERVICE_LATENCY_MIN_US)
                    : LATENCY_INITIAL_US;
  int64_t capacity = MAX (
      mutable_upstream->slots
          * slow_start_percent (mutable_upstream, criteria->wall_ms) / 100,
      1);
  int64_t load = expected_load (mutable_upstream, criteria->now) + 1;
  /* The latency, doubled when all slots are in use.  */
  int64_t cost = latency * (100 + 100 * load / capacity) / 100;
  /* Calls beyond the slots count four times more on top of that.  */
  if (load > capacity)
    cost += latency * 4 * (load - capacity) / capacity;
  /* Ten times the latency where all calls fail.  */
  cost += latency * atomic_load (&mutable_upstream->failure_ppm) / 100000;
  return cost + round_trip_us[mutable_upstream->distance];
}
