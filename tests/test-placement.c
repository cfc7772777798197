/* Placement under load: seeded simulations of many nodes that choose among the
   servers of a service by what the last outcomes told them, with several
   policies side by side.  */
#include <math.h>

#include "cardamom/cardamom.h"
#include "cardamom/placement.h"
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
} server_t;

typedef struct
{
  cs_load_t load;
  cs_usec_t load_at;
  int own, own_at_load;
  cs_service_times_t run_times;
} view_t;

typedef struct
{
  cs_queued_request_t queued; /* First.  */
  int sender, server;
  bool large, tried[SERVERS];
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
} simulation_t;

static cs_distance_t
distance_of (const simulation_t *sim, int sender, int server)
{
  return sim->servers[server].dc == sender % 2 ? CS_SAME_DC : CS_SAME_REGION;
}

static cs_placement_node_t
describe (const simulation_t *sim, const job_t *job, int server, cs_usec_t now)
{
  const view_t *view = &sim->views[job->sender][server];
  cs_usec_t age = now - view->load_at;
  int64_t other = view->load.running + view->load.queued - view->own_at_load;
  if (!view->load.slots || age > 400 * CS_MSEC)
    other = MIN (view->load.slots ? MAX (other, 0) : SLOTS, SLOTS * 60 / 100);
  cs_usec_t run_time = cs_service_times_of_route (
      &view->run_times, job->large ? "large" : "small",
      cs_service_time_initial (TARGET));
  return (cs_placement_node_t){
    .distance = distance_of (sim, job->sender, server),
    .eligible = !job->tried[server],
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
  };
}

static void finish (void *simulation, void *item, cs_usec_t now);

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
         && (next = cs_request_queue_pop (&server->queue, now)))
    {
      job_t *job = (job_t *)next;
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
}

static void
finish (void *simulation, void *item, cs_usec_t now)
{
  simulation_t *sim = simulation;
  job_t *job = item;
  server_t *server = &sim->servers[job->server];
  view_t *view = &sim->views[job->sender][job->server];
  g_queue_remove (&server->running, job);
  cs_service_times_add (&view->run_times, job->large ? "large" : "small",
                        now - job->started_at);
  report (sim, job, now);
  sim->in_target[job->large] += now - job->arrived_at <= TARGET;
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
          = (cs_usec_t)((double)sim->pattern->work / server->speed) };
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
  sim->offered[job->large]++;
  send_job (sim, job, now);
}

typedef struct
{
  double in_target[2]; /* Of small and of large requests.  */
} result_t;

static result_t
play (const pattern_t *pattern, policy_t policy, guint32 seed)
{
  simulation_t *sim = g_new0 (simulation_t, 1);
  sim->pattern = pattern;
  sim->policy = policy;
  sim->random = g_rand_new_with_seed (seed);
  sim->events = event_queue_new ();
  sim->jobs = g_ptr_array_new_with_free_func (g_free);
  for (int i = 0; i < SERVERS; i++)
    {
      sim->servers[i].dc = i % 2;
      sim->servers[i].speed = pattern->speeds[i / 2 % 4];
    }
  for (int s = 0; s < SENDERS; s++)
    for (int i = 0; i < SERVERS; i++)
      cs_service_times_init (&sim->views[s][i].run_times);
  for (cs_usec_t now = 0; now < SECONDS * CS_SEC; now += 500)
    {
      event_queue_run (sim->events, sim, now);
      for (int dc = 0; dc < 2; dc++)
        if (now < (SECONDS - 2) * CS_SEC
            && g_rand_double (sim->random) < pattern->per_s[dc] * 0.0005)
          arrive (sim, dc, now);
    }
  result_t result;
  for (int large = 0; large < 2; large++)
    result.in_target[large]
        = (double)sim->in_target[large] / MAX (sim->offered[large], 1);
  g_test_message ("%s, seed %u: in target %.3f of small, %.3f of large ones; "
                  "%u refused",
                  policy_names[policy], seed, result.in_target[0],
                  result.in_target[1], sim->refused);
  for (int s = 0; s < SENDERS; s++)
    for (int i = 0; i < SERVERS; i++)
      cs_service_times_clear (&sim->views[s][i].run_times);
  for (int i = 0; i < SERVERS; i++)
    g_queue_clear (&sim->servers[i].running);
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
  result_t mean = { { 0, 0 } };
  for (guint32 seed = 1; seed <= 5; seed++)
    {
      result_t result = play (pattern, policy, seed);
      mean.in_target[0] += result.in_target[0] / 5;
      mean.in_target[1] += result.in_target[1] / 5;
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
  g_test_add_func ("/placement/transit", test_transit);
  return g_test_run ();
}
