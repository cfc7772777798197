/* Placement under load: seeded simulations of many nodes that choose among the
   servers of a service by what the last outcomes told them, with several
   policies side by side.  */
#include <math.h>

#include "cardamom/cardamom.h"
#include "cardamom/cold-share.h"
#include "cardamom/placement.h"
#include "cardamom/reach.h"
#include "cardamom/dispatcher.h"
#include "cardamom/service-times.h"
#include "cardamom/transit.h"
#include "event-queue.h"

#define SENDERS 40
#define SERVERS 16
#define SLOTS 13
#define TARGET (800 * CS_MSEC)
#define DEADLINE (2000 * CS_MSEC)
#define ROUND_TRIP (1 * CS_MSEC)
#define SECONDS 12
#define TRIES_MAX 6
/* Bytes a second of a server's link.  */
#define LINK_RATE 1250000.0
#define LARGE_BODY 60000.0
/* A cold server falls over when it gets more in a second than its rate times
   the first, and the second.  */
#define COLD_OVER 1.5
#define COLD_SLACK 8
#define DOWN_FOR (2 * CS_SEC)

typedef enum
{
  /* The nearest data centre while it is expected to end within 65 % of the
     target; the link is not looked at, any wait is accepted that meets the
     target.  */
  NEAREST,
  /* All of the region; the link is not looked at.  */
  REGION,
  /* All of the region, with the delay of the links.  */
  WITH_LINKS,
  /* The same, and a server's node refuses what waits for longer than the
     sender's next best choice.  */
  WITH_WAIT_MAX,
  POLICIES
} policy_t;

static const char *const policy_names[]
    = { "nearest", "region", "with links", "with links and wait-max" };

typedef struct
{
  const char *name;
  /* The places of servers are heeded: cold ones, an evacuated data centre and
     regions that requests may not leave.  */
  bool places;
  /* All servers are cold at first, for COLD_FOR, and take so many requests a
     second; one that gets well over that falls over, and is back, cold, after
     DOWN_FOR.  */
  double warmup_per_s;
  cs_usec_t cold_for;
  /* Data centre 0 is evacuated from the first time to the second.  */
  cs_usec_t evacuated[2];
  /* The data centres are regions of their own; this part of the requests of
     either may run in region 0 only.  */
  double home_share;
  double per_s[2];    /* Requests a second from each data centre.  */
  double large_share; /* Of the requests, with a large body.  */
  cs_usec_t work;     /* Mean run time at a server of speed 1.  */
  const double speeds[4];
} pattern_t;

typedef struct
{
  int dc;
  double speed;
  GQueue running; /* No content: its length alone counts.  */
  cs_request_queue_t queue;
  cs_usec_t link_free_at;
  cs_transit_t transit;
  cs_server_limit_t limit;
  cs_usec_t cold_until, down_until;
  GQueue starts; /* cs_usec_t *, of the last second.  */
} server_t;

typedef struct
{
  cs_load_t load;
  cs_usec_t load_at;
  int own, own_at_load;
  cs_service_times_t run_times;
  cs_cold_share_t share;
} view_t;

typedef struct
{
  cs_queued_request_t queued; /* First.  */
  int sender, server;
  bool large, tried[SERVERS];
  bool home; /* Only region 0 may run it.  */
  bool lost; /* Its server fell over.  */
  unsigned tries, redirects;
  cs_usec_t arrived_at, sent_at, started_at, wait_max;
} job_t;

typedef struct
{
  const pattern_t *pattern;
  policy_t policy;
  GRand *random;
  GSequence *events;
  GPtrArray *jobs; /* All, owned.  */
  server_t servers[SERVERS];
  view_t views[SENDERS][SERVERS];
  unsigned offered[2], in_target[2], refused; /* Small and large ones.  */
  unsigned home_offered, home_in_target;
  unsigned falls;
  unsigned misplaced; /* Started in an evacuated or disallowed place.  */
  GHashTable *evacuated_dcs;
} simulation_t;

static const char *const dc_names[] = { "a", "b" };
static char *home_regions[] = { "a", NULL };

static bool
is_evacuated (const simulation_t *sim, int dc, cs_usec_t now)
{
  return dc == 0 && now >= sim->pattern->evacuated[0]
         && now < sim->pattern->evacuated[1];
}

/* Whether JOB may run beside SERVER.  */
static bool
may_reach (const simulation_t *sim, const job_t *job, int server)
{
  const char *dc = dc_names[sim->servers[server].dc];
  cs_reach_t reach = { .regions = job->home ? home_regions : NULL,
                       .evacuated_dcs = sim->evacuated_dcs };
  return cs_reach_check (&reach, dc, dc) == CS_REACH_ALLOWED;
}

static cs_cold_rate_t
cold_rate (const simulation_t *sim)
{
  return (cs_cold_rate_t){ .per_second = sim->pattern->warmup_per_s,
                           .senders = SENDERS };
}

static cs_distance_t
distance_of (const simulation_t *sim, int sender, int server)
{
  return sim->servers[server].dc == sender % 2 ? CS_SAME_DC
         : sim->pattern->home_share > 0        ? CS_OTHER_REGION
                                               : CS_SAME_REGION;
}

static cs_placement_node_t
describe (simulation_t *sim, const job_t *job, int server, cs_usec_t now)
{
  view_t *view = &sim->views[job->sender][server];
  cs_usec_t age = now - view->load_at;
  int64_t other = view->load.running + view->load.queued - view->own_at_load;
  if (!view->load.slots || age > 400 * CS_MSEC)
    other = MIN (view->load.slots ? MAX (other, 0) : SLOTS, SLOTS * 60 / 100);
  cs_usec_t run_time = cs_service_times_of_route (
      &view->run_times, job->large ? "large" : "small",
      cs_service_time_initial (TARGET));
  cs_cold_rate_t rate = cold_rate (sim);
  cs_usec_t limit_delay
      = age <= view->load.cold_left ? MAX (view->load.limit_wait - age, 0) : 0;
  if (sim->pattern->places)
    limit_delay = MAX (limit_delay, cs_cold_share_wait (&view->share, &rate,
                                                        sim->random, now));
  return (cs_placement_node_t){
    .distance = distance_of (sim, job->sender, server),
    .eligible = !job->tried[server] && now >= sim->servers[server].down_until
                && (!sim->pattern->places || may_reach (sim, job, server)),
    .limit_delay = limit_delay,
    .slots = SLOTS,
    .outstanding = MAX (other, 0) + view->own,
    .mean_service_time
    = view->load.mean_service_time ? view->load.mean_service_time : run_time,
    .run_time = run_time,
    .round_trip = ROUND_TRIP,
    .transit = sim->policy >= WITH_LINKS
                   ? cs_transit_fade (view->load.transit, age)
                   : 0,
  };
}

/* As in NEAREST: the nodes of the other data centre only when none of this one
   is expected to end in time.  */
static int
choose_nearest_first (cs_placement_node_t *nodes,
                      const cs_placement_request_t *request, GRand *random)
{
  bool eligible[SERVERS];
  for (int i = 0; i < SERVERS; i++)
    {
      eligible[i] = nodes[i].eligible;
      nodes[i].eligible &= nodes[i].distance == CS_SAME_DC;
    }
  cs_placement_t near = cs_placement_choose (nodes, SERVERS, request, random);
  if (near.index >= 0
      && near.expected_latency <= request->target_left * 65 / 100)
    return near.index;
  for (int i = 0; i < SERVERS; i++)
    nodes[i].eligible = eligible[i];
  return cs_placement_choose (nodes, SERVERS, request, random).index;
}

static void reach (void *simulation, void *item, cs_usec_t now);

static void
send_job (simulation_t *sim, job_t *job, cs_usec_t now)
{
  cs_placement_node_t nodes[SERVERS];
  cs_placement_request_t request
      = { .target_left = job->arrived_at + TARGET - now };
  cs_placement_t chosen;
  for (int i = 0; i < SERVERS; i++)
    nodes[i] = describe (sim, job, i, now);
  chosen = cs_placement_choose (nodes, SERVERS, &request, sim->random);
  if (sim->policy == NEAREST)
    chosen.index = choose_nearest_first (nodes, &request, sim->random);
  if (chosen.index < 0 || job->tries++ == TRIES_MAX)
    {
      sim->refused++;
      return;
    }
  server_t *server = &sim->servers[chosen.index];
  job->server = chosen.index;
  job->tried[chosen.index] = true;
  job->sent_at = now;
  job->wait_max = sim->policy == WITH_WAIT_MAX && job->redirects < 2
                      ? chosen.wait_max
                      : INT64_MAX;
  cs_cold_rate_t rate = cold_rate (sim);
  cs_cold_share_take (&sim->views[job->sender][chosen.index].share, &rate,
                      now);
  sim->views[job->sender][chosen.index].own++;
  double bytes = job->large ? LARGE_BODY : 500.0;
  server->link_free_at
      = MAX (server->link_free_at, now) + (cs_usec_t)(bytes / LINK_RATE * 1e6);
  event_queue_add (sim->events, server->link_free_at + ROUND_TRIP / 2, reach,
                   job);
}

/* Tell JOB's sender of the load of its server.  */
static void
report (simulation_t *sim, const job_t *job, cs_usec_t now)
{
  server_t *server = &sim->servers[job->server];
  view_t *view = &sim->views[job->sender][job->server];
  view->own--;
  view->own_at_load = view->own;
  view->load_at = now;
  view->load = (cs_load_t){
    .running = server->running.length,
    .queued = cs_request_queue_length (&server->queue),
    .slots = SLOTS,
    .mean_service_time
    = (cs_usec_t)((double)sim->pattern->work / server->speed),
    .transit = cs_transit_mean (&server->transit, now),
    .limit_wait = cs_server_limit_wait (
        &server->limit, cs_request_queue_length (&server->queue), now),
    .cold_left = cs_server_limit_cold_left (&server->limit, now),
  };
}

/* SERVER is cold from NOW on for the time of the pattern.  */
static void
turn_cold (simulation_t *sim, int server, cs_usec_t now)
{
  sim->servers[server].cold_until = now + sim->pattern->cold_for;
  if (sim->pattern->places)
    cs_server_limit_set_cold (&sim->servers[server].limit,
                              sim->pattern->warmup_per_s,
                              sim->servers[server].cold_until, false, now);
  for (int s = 0; s < SENDERS && sim->pattern->places; s++)
    cs_cold_share_begin (&sim->views[s][server].share,
                         sim->servers[server].cold_until);
}

/* JOB starts at its server, which falls over if it is cold and gets well over
   its rate: all that runs there is lost.  Returns whether it stands.  */
static bool
bear (simulation_t *sim, const job_t *job, cs_usec_t now)
{
  server_t *server = &sim->servers[job->server];
  cs_usec_t *first;
  sim->misplaced
      += is_evacuated (sim, server->dc, now) || (job->home && server->dc != 0);
  g_queue_push_tail (&server->starts, g_memdup2 (&now, sizeof now));
  while ((first = g_queue_peek_head (&server->starts))
         && now - *first > CS_SEC)
    g_free (g_queue_pop_head (&server->starts));
  if (now >= server->cold_until
      || server->starts.length
             <= (unsigned)(sim->pattern->warmup_per_s * COLD_OVER)
                    + COLD_SLACK)
    return true;
  sim->falls++;
  server->down_until = now + DOWN_FOR;
  g_queue_clear_full (&server->starts, g_free);
  for (GList *at = server->running.head; at; at = at->next)
    ((job_t *)at->data)->lost = true;
  g_queue_clear (&server->running);
  turn_cold (sim, job->server, server->down_until);
  return false;
}

static void finish (void *simulation, void *item, cs_usec_t now);
static void fill (simulation_t *sim, server_t *server, cs_usec_t now);

static void
refill (void *simulation, void *item, cs_usec_t now)
{
  fill (simulation, item, now);
}

static void
fill (simulation_t *sim, server_t *server, cs_usec_t now)
{
  cs_queued_request_t *next;
  while ((next = cs_request_queue_pop_expired (&server->queue, now)))
    {
      report (sim, (job_t *)next, now);
      send_job (sim, (job_t *)next, now);
    }
  while (server->running.length < SLOTS
         && cs_server_limit_wait (&server->limit, 0, now) == 0
         && (next = cs_request_queue_pop (&server->queue, now)))
    {
      job_t *job = (job_t *)next;
      cs_server_limit_take (&server->limit, now);
      if (!bear (sim, job, now))
        continue;
      /* Lognormal, as run times are: half of the mean at the median.  */
      double z = 0;
      for (int i = 0; i < 12; i++)
        z += g_rand_double (sim->random);
      double work = (double)sim->pattern->work * 0.75 * exp (0.75 * (z - 6));
      job->started_at = now;
      g_queue_push_tail (&server->running, job);
      event_queue_add (sim->events, now + (cs_usec_t)(work / server->speed),
                       finish, job);
    }
  cs_usec_t wait = cs_server_limit_wait (&server->limit, 0, now);
  if (wait && cs_request_queue_length (&server->queue))
    event_queue_add (sim->events, now + wait, refill, server);
}

static void
finish (void *simulation, void *item, cs_usec_t now)
{
  simulation_t *sim = simulation;
  job_t *job = item;
  server_t *server = &sim->servers[job->server];
  view_t *view = &sim->views[job->sender][job->server];
  if (job->lost)
    return;
  g_queue_remove (&server->running, job);
  cs_service_times_add (&view->run_times, job->large ? "large" : "small",
                        now - job->started_at);
  report (sim, job, now);
  sim->in_target[job->large] += now - job->arrived_at <= TARGET;
  sim->home_in_target += job->home && now - job->arrived_at <= TARGET;
  fill (sim, server, now);
}

static void
reach (void *simulation, void *item, cs_usec_t now)
{
  simulation_t *sim = simulation;
  job_t *job = item;
  server_t *server = &sim->servers[job->server];
  const view_t *view = &sim->views[job->sender][job->server];
  cs_server_capacity_t capacity
      = { .slots = SLOTS,
          .running = server->running.length,
          .mean_service_time
          = (cs_usec_t)((double)sim->pattern->work / server->speed),
          .limit = &server->limit };
  cs_usec_t wait;
  if (!job->large)
    cs_transit_note (&server->transit, now - job->sent_at - ROUND_TRIP / 2,
                     now);
  job->queued = (cs_queued_request_t){
    .arrived_at = now,
    .target_time = job->arrived_at + TARGET,
    .latency_target = TARGET,
    .deadline = job->arrived_at + DEADLINE,
    .expected_service_time = cs_service_times_of_route (
        &view->run_times, job->large ? "large" : "small",
        cs_service_time_initial (TARGET))
  };
  if (sim->pattern->places && !may_reach (sim, job, job->server))
    {
      report (sim, job, now);
      send_job (sim, job, now);
      return;
    }
  bool longer = cs_request_queue_expected_wait (&server->queue, &capacity,
                                                &job->queued, now)
                > job->wait_max;
  job->redirects += longer;
  if (longer
      || !cs_request_queue_try_push (&server->queue, &job->queued, &capacity,
                                     now, &wait))
    {
      report (sim, job, now);
      send_job (sim, job, now);
      return;
    }
  fill (sim, server, now);
}

static void
arrive (simulation_t *sim, int dc, cs_usec_t now)
{
  job_t *job = g_new0 (job_t, 1);
  g_ptr_array_add (sim->jobs, job);
  job->sender = 2 * g_rand_int_range (sim->random, 0, SENDERS / 2) + dc;
  job->large = g_rand_double (sim->random) < sim->pattern->large_share;
  job->arrived_at = now;
  job->home = g_rand_double (sim->random) < sim->pattern->home_share;
  sim->offered[job->large]++;
  sim->home_offered += job->home;
  send_job (sim, job, now);
}

typedef struct
{
  double in_target[2]; /* Of small and of large requests.  */
  double home_in_target;
  unsigned falls, misplaced;
} result_t;

/* What operators and servers do at NOW.  */
static void
change_places (simulation_t *sim, cs_usec_t now)
{
  const pattern_t *pattern = sim->pattern;
  if (now == 0 && pattern->cold_for)
    for (int i = 0; i < SERVERS; i++)
      turn_cold (sim, i, now);
  if (now && now == pattern->evacuated[0] && pattern->places)
    {
      g_hash_table_add (sim->evacuated_dcs, (char *)dc_names[0]);
      for (int i = 0; i < SERVERS; i++)
        for (cs_queued_request_t *next;
             sim->servers[i].dc == 0
             && (next = cs_request_queue_pop_any (&sim->servers[i].queue));)
          {
            report (sim, (job_t *)next, now);
            send_job (sim, (job_t *)next, now);
          }
    }
  if (now && now == pattern->evacuated[1])
    {
      g_hash_table_remove_all (sim->evacuated_dcs);
      for (int i = 0; i < SERVERS && pattern->cold_for; i++)
        if (sim->servers[i].dc == 0)
          turn_cold (sim, i, now);
    }
}

static result_t
play (const pattern_t *pattern, policy_t policy, guint32 seed)
{
  simulation_t *sim = g_new0 (simulation_t, 1);
  sim->pattern = pattern;
  sim->policy = policy;
  sim->random = g_rand_new_with_seed (seed);
  sim->events = event_queue_new ();
  sim->evacuated_dcs = g_hash_table_new (g_str_hash, g_str_equal);
  sim->jobs = g_ptr_array_new_with_free_func (g_free);
  for (int i = 0; i < SERVERS; i++)
    {
      sim->servers[i].dc = i % 2;
      sim->servers[i].speed = pattern->speeds[i / 2 % 4];
      cs_server_limit_init (&sim->servers[i].limit);
    }
  for (int s = 0; s < SENDERS; s++)
    for (int i = 0; i < SERVERS; i++)
      cs_service_times_init (&sim->views[s][i].run_times);
  for (cs_usec_t now = 0; now < SECONDS * CS_SEC; now += 500)
    {
      event_queue_run (sim->events, sim, now);
      change_places (sim, now);
      for (int dc = 0; dc < 2; dc++)
        if (now < (SECONDS - 2) * CS_SEC
            && g_rand_double (sim->random) < pattern->per_s[dc] * 0.0005)
          arrive (sim, dc, now);
    }
  result_t result = { .falls = sim->falls,
                      .misplaced = sim->misplaced,
                      .home_in_target = (double)sim->home_in_target
                                        / MAX (sim->home_offered, 1) };
  for (int large = 0; large < 2; large++)
    result.in_target[large]
        = (double)sim->in_target[large] / MAX (sim->offered[large], 1);
  g_test_message ("%s, seed %u: in target %.3f of small, %.3f of large ones; "
                  "%u refused; %u falls, %u misplaced",
                  policy_names[policy], seed, result.in_target[0],
                  result.in_target[1], sim->refused, sim->falls,
                  sim->misplaced);
  for (int s = 0; s < SENDERS; s++)
    for (int i = 0; i < SERVERS; i++)
      cs_service_times_clear (&sim->views[s][i].run_times);
  for (int i = 0; i < SERVERS; i++)
    {
      g_queue_clear (&sim->servers[i].running);
      g_queue_clear_full (&sim->servers[i].starts, g_free);
    }
  g_hash_table_unref (sim->evacuated_dcs);
  g_sequence_free (sim->events);
  g_ptr_array_unref (sim->jobs);
  g_rand_free (sim->random);
  g_free (sim);
  return result;
}

/* Clients are more in one data centre than in the other, servers differ in
   speed, and all run near their capacity.  */
static const pattern_t uneven = { .name = "uneven",
                                  .per_s = { 400, 260 },
                                  .work = 270 * CS_MSEC,
                                  .speeds = { 0.5, 1.0, 1.0, 1.5 } };
/* Large bodies fill the links of the fast servers before their slots.  */
static const pattern_t uploads = { .name = "uploads",
                                   .per_s = { 420, 320 },
                                   .large_share = 0.22,
                                   .work = 110 * CS_MSEC,
                                   .speeds = { 0.7, 0.7, 0.7, 1.6 } };

/* The mean of five seeds.  */
static result_t
mean_result (const pattern_t *pattern, policy_t policy)
{
  result_t mean = { 0 };
  for (guint32 seed = 1; seed <= 5; seed++)
    {
      result_t result = play (pattern, policy, seed);
      mean.in_target[0] += result.in_target[0] / 5;
      mean.in_target[1] += result.in_target[1] / 5;
      mean.home_in_target += result.home_in_target / 5;
      mean.falls += result.falls;
      mean.misplaced += result.misplaced;
    }
  return mean;
}

static void
test_idle_servers_next_door (void)
{
  result_t nearest = mean_result (&uneven, NEAREST);
  result_t region = mean_result (&uneven, REGION);
  result_t best = mean_result (&uneven, WITH_WAIT_MAX);
  g_assert_cmpfloat (region.in_target[0], >, nearest.in_target[0]);
  g_assert_cmpfloat (best.in_target[0], >, region.in_target[0]);
  g_assert_cmpfloat (best.in_target[0], >, 0.85);
}

static void
test_links_full_of_uploads (void)
{
  result_t region = mean_result (&uploads, REGION);
  result_t links = mean_result (&uploads, WITH_LINKS);
  result_t best = mean_result (&uploads, WITH_WAIT_MAX);
  for (int large = 0; large < 2; large++)
    {
      g_assert_cmpfloat (links.in_target[large], >, region.in_target[large]);
      g_assert_cmpfloat (best.in_target[large], >, region.in_target[large]);
    }
  g_assert_cmpfloat (best.in_target[0], >, 0.9);
}

/* Power has returned to a whole service, under its full load.  Guards against
   servers that fall over again because they get more than they take while they
   are cold.  */
static void
test_whole_service_cold (void)
{
  pattern_t cold = uneven;
  cold.warmup_per_s = 5.3;
  cold.cold_for = 3 * CS_SEC;
  result_t before = mean_result (&cold, WITH_WAIT_MAX);
  cold.places = true;
  result_t after = mean_result (&cold, WITH_WAIT_MAX);
  g_assert_cmpuint (before.falls, >, 0);
  g_assert_cmpuint (after.falls, ==, 0);
  g_assert_cmpfloat (after.in_target[0], >, before.in_target[0]);
  /* All that comes once the servers are warm, and what a cold service takes.
   */
  g_assert_cmpfloat (after.in_target[0], >, 0.6);
}

/* A data centre is evacuated for four seconds, beside as many requests as the
   other one can run, and comes back cold.  Guards against requests that are
   still sent there, and servers that fall over at the return.  */
static void
test_evacuated_beside_burst (void)
{
  pattern_t evacuated = uneven;
  evacuated.per_s[0] = 260;
  evacuated.per_s[1] = 130;
  evacuated.warmup_per_s = 5.3;
  evacuated.cold_for = CS_SEC;
  evacuated.evacuated[0] = 3 * CS_SEC;
  evacuated.evacuated[1] = 7 * CS_SEC;
  result_t before = mean_result (&evacuated, WITH_WAIT_MAX);
  evacuated.places = true;
  result_t after = mean_result (&evacuated, WITH_WAIT_MAX);
  g_assert_cmpuint (before.misplaced, >, 0);
  g_assert_cmpuint (after.misplaced, ==, 0);
  g_assert_cmpuint (after.falls, ==, 0);
  g_assert_cmpfloat (after.in_target[0], >, 0.6);
}

/* Some requests may run in one region only, which is full while the other one
   has room.  Guards against requests outside of their regions, and against a
   home region that is kept full by requests that could run elsewhere.  */
static void
test_home_region_full (void)
{
  pattern_t homes = uneven;
  homes.per_s[0] = 340;
  homes.per_s[1] = 130;
  homes.home_share = 0.4;
  result_t before = mean_result (&homes, WITH_WAIT_MAX);
  homes.places = true;
  result_t after = mean_result (&homes, WITH_WAIT_MAX);
  g_assert_cmpuint (before.misplaced, >, 0);
  g_assert_cmpuint (after.misplaced, ==, 0);
  g_assert_cmpfloat (after.home_in_target, >, 0.85);
  g_assert_cmpfloat (after.in_target[0], >, 0.85);
}

/* The delay on a path does not depend on how far the clocks are apart, and
   fades when nothing more comes.  */
static void
test_transit (void)
{
  cs_transit_path_t path = { 0 };
  cs_transit_t transit = { 0 };
  cs_usec_t apart = -7000 * CS_SEC, now = 100 * CS_SEC;
  g_assert_cmpint (cs_transit_path_delay (&path, now + apart, now + 2000), ==,
                   0);
  g_assert_cmpint (cs_transit_path_delay (&path, now + apart, now + 1000), ==,
                   0);
  g_assert_cmpint (
      cs_transit_path_delay (&path, now + apart, now + 301 * CS_MSEC), ==,
      300 * CS_MSEC);
  g_assert_cmpint (cs_transit_path_delay (&path, G_MAXINT64 / 2, now), ==, 0);
  g_assert_cmpint (cs_transit_path_delay (&path, 0, now), ==, 60 * CS_SEC);
  for (int i = 0; i < 100; i++)
    cs_transit_note (&transit, 300 * CS_MSEC, now);
  g_assert_cmpint (cs_transit_mean (&transit, now), >, 290 * CS_MSEC);
  g_assert_cmpint (cs_transit_mean (&transit, now + 10 * CS_SEC), <,
                   20 * CS_MSEC);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/placement/idle-servers-next-door",
                   test_idle_servers_next_door);
  g_test_add_func ("/placement/links-full-of-uploads",
                   test_links_full_of_uploads);
  g_test_add_func ("/placement/whole-service-cold", test_whole_service_cold);
  g_test_add_func ("/placement/evacuated-beside-burst",
                   test_evacuated_beside_burst);
  g_test_add_func ("/placement/home-region-full", test_home_region_full);
  g_test_add_func ("/placement/transit", test_transit);
  return g_test_run ();
}
