/* The retry budget over many nodes that cannot ask each other: a seeded
   simulation of a service whose runs call another one, under servers that
   shed, fail, break off and restart.  Several policies play the same load.  */
#include <string.h>

#include "cardamom/cardamom.h"
#include "cardamom/retry-window.h"
#include "cardamom/route-callers.h"
#include "event-queue.h"

#define FRONT_SERVERS 21
#define BACK_SERVERS 9
#define NODES (FRONT_SERVERS + BACK_SERVERS)
#define CALLS_PER_RUN 2
#define RUN_TIME (400 * CS_MSEC)
#define CALL_TIME (100 * CS_MSEC)
#define MAX_ATTEMPTS 2
#define SECONDS 30
#define BUCKETS (SECONDS * 10) /* Of 0.1 s.  */

typedef enum
{
  FRONT,
  BACK,
  SERVICES
} service_t;

static const char *const service_names[] = { "front", "back" };

/* Who decides whether a retry is sent.  */
typedef enum
{
  /* The node that sends it, by its share of the budget; calls of repeated runs
     count by the part of retries in its own requests of the window.  */
  BY_SENDER,
  /* The node beside the server, by what arrives there, calls included only as
     requests.  */
  BY_SERVER_WITHOUT_CALLS,
  /* The same, and a call counts by the part of the runs in flight that are
     retries; strained services have the retries of their callers held.  */
  BY_SERVER,
  POLICIES
} policy_t;

static const char *const policy_names[]
    = { "by sender", "by server, without calls", "by server" };

/* What happens to the servers of BACK between two times.  */
typedef struct
{
  const char *name;
  cs_usec_t from, to;
  double shed;             /* Part of the requests that are refused.  */
  double broken;           /* Part that breaks off after the run.  */
  bool first_node_only;    /* Callers are all at one node.  */
  cs_usec_t restart_every; /* Nodes restart in turn; 0: never.  */
} pattern_t;

typedef struct
{
  service_t service;
  cs_retry_window_t account;              /* As the node beside its server.  */
  cs_retry_window_t by_service[SERVICES]; /* As a sender.  */
  cs_route_callers_t *route_callers;
  cs_usec_t retries_held_until;
  unsigned runs, repeated_runs; /* In flight at its server.  */
} node_t;

typedef struct
{
  const pattern_t *pattern;
  policy_t policy;
  GRand *random;
  GSequence *events;       /* event_t, by time.  */
  GPtrArray *all_requests; /* Owned.  */
  node_t nodes[NODES];
  double requests[SERVICES][BUCKETS], repeats[SERVICES][BUCKETS];
  unsigned served, offered;
} mesh_t;

typedef struct request request_t;

struct request
{
  service_t service;
  node_t *origin, *server;
  request_t *parent; /* Of a call: the request whose run makes it.  */
  unsigned attempts; /* That reached a server.  */
  unsigned calls_pending;
  bool call_failed;
  bool is_repeat;   /* In truth, this call is one of a repeated run.  */
  double inherited; /* As the origin estimates it.  */
};

static const cs_retry_window_settings_t settings
    = { .ratio = 0.2, .slack = 30, .window = 10 * CS_SEC };

static size_t
bucket (cs_usec_t now)
{
  return MIN ((size_t)(now / (100 * CS_MSEC)), BUCKETS - 1);
}

static void attempt (mesh_t *mesh, request_t *request, cs_usec_t now);

static void finish (mesh_t *mesh, request_t *request, bool ok, cs_usec_t now);

static GHashTable *
host_counts (void)
{
  GHashTable *hosts = g_hash_table_new (g_str_hash, g_str_equal);
  g_hash_table_insert (hosts, (gpointer)service_names[FRONT],
                       GUINT_TO_POINTER (FRONT_SERVERS));
  g_hash_table_insert (hosts, (gpointer)service_names[BACK],
                       GUINT_TO_POINTER (BACK_SERVERS));
  return hosts;
}

static unsigned
servers_of (service_t service)
{
  return service == FRONT ? FRONT_SERVERS : BACK_SERVERS;
}

/* The part of NODE's requests for its own service that were retries, over the
   whole window.  */
static double
window_retry_share (const cs_retry_window_t *window)
{
  double requests = 0, retries = 0;
  for (int i = 0; i < CS_RETRY_WINDOW_SLICES; i++)
    {
      requests += window->requests[i];
      retries += window->retries[i];
    }
  return retries > 0 ? retries / (requests + retries) : 0;
}

static bool
retry_allowed (mesh_t *mesh, const request_t *request, node_t *server,
               cs_usec_t now)
{
  if (mesh->policy == BY_SENDER)
    return cs_retry_window_has_room (
        &request->origin->by_service[request->service], &settings, NODES, now);
  return now >= server->retries_held_until
         && cs_retry_window_has_room (&server->account, &settings,
                                      servers_of (request->service), now);
}

static void
count_arrival (mesh_t *mesh, request_t *request, node_t *server, cs_usec_t now)
{
  bool retry = request->attempts > 0;
  char *route = request->parent ? "calls" : "clients";
  mesh->repeats[request->service][bucket (now)] += retry || request->is_repeat;
  if (retry)
    {
      cs_retry_window_note_retry (&server->account, &settings, now);
      cs_retry_window_note_retry (
          &request->origin->by_service[request->service], &settings, now);
      return;
    }
  bool is_call;
  GHashTable *hosts = host_counts ();
  cs_route_callers_note (server->route_callers, route,
                         service_names[request->origin->service]);
  is_call
      = mesh->policy == BY_SERVER
        && cs_route_callers_may_be_calls (server->route_callers, route, hosts);
  g_hash_table_unref (hosts);
  cs_retry_window_note_request (&server->account, &settings, is_call,
                                request->inherited, now);
  if (is_call
      && cs_retry_window_is_strained (&server->account, &settings,
                                      servers_of (request->service), now))
    request->origin->retries_held_until = now + 2 * CS_SEC;
}

static void
end_run (void *simulation, void *item, cs_usec_t now)
{
  mesh_t *mesh = simulation;
  request_t *request = item;
  const pattern_t *p = mesh->pattern;
  bool hit = request->service == BACK && now >= p->from && now < p->to
             && g_rand_double (mesh->random) < p->broken;
  node_t *server = request->server;
  server->runs--;
  server->repeated_runs -= request->attempts > 1 || request->is_repeat;
  if (hit || request->call_failed)
    attempt (mesh, request, now);
  else
    finish (mesh, request, true, now);
}

static void
make_call (void *simulation, void *item, cs_usec_t now)
{
  mesh_t *mesh = simulation;
  request_t *run = item;
  request_t *call = g_new0 (request_t, 1);
  g_ptr_array_add (mesh->all_requests, call);
  *call = (request_t){ .service = BACK,
                       .origin = run->server,
                       .parent = run,
                       .is_repeat = run->attempts > 1 };
  mesh->requests[BACK][bucket (now)]++;
  if (mesh->policy == BY_SENDER)
    {
      /* The sender charges what it believes to be inherited.  */
      cs_retry_window_note_request (
          &run->server->by_service[BACK], &settings, true,
          window_retry_share (&run->server->by_service[FRONT]), now);
    }
  call->inherited
      = (double)run->server->repeated_runs / MAX (run->server->runs, 1);
  attempt (mesh, call, now);
}

static void
finish (mesh_t *mesh, request_t *request, bool ok, cs_usec_t now)
{
  request_t *parent = request->parent;
  if (!parent)
    mesh->served += ok;
  else
    {
      parent->call_failed |= !ok;
      if (--parent->calls_pending == 0)
        event_queue_add (mesh->events, now + RUN_TIME / 2, end_run, parent);
    }
}

/* Send REQUEST to a server drawn at random, unless it has had its attempts or
   the policy refuses the retry.  */
static void
attempt (mesh_t *mesh, request_t *request, cs_usec_t now)
{
  const pattern_t *p = mesh->pattern;
  unsigned first = request->service == FRONT ? 0 : FRONT_SERVERS;
  node_t *server = &mesh->nodes[first
                                + (unsigned)g_rand_int_range (
                                    mesh->random, 0,
                                    (gint32)servers_of (request->service))];
  if (request->attempts >= MAX_ATTEMPTS
      || (request->attempts > 0
          && !retry_allowed (mesh, request, server, now)))
    {
      finish (mesh, request, false, now);
      return;
    }
  count_arrival (mesh, request, server, now);
  request->attempts++;
  request->server = server;
  request->call_failed = false;
  if (request->service == BACK && now >= p->from && now < p->to
      && g_rand_double (mesh->random) < p->shed)
    {
      attempt (mesh, request, now);
      return;
    }
  server->runs++;
  server->repeated_runs += request->attempts > 1 || request->is_repeat;
  if (request->service == BACK)
    {
      event_queue_add (mesh->events, now + CALL_TIME, end_run, request);
      return;
    }
  request->calls_pending = CALLS_PER_RUN;
  for (int i = 0; i < CALLS_PER_RUN; i++)
    event_queue_add (mesh->events, now + RUN_TIME / 2, make_call, request);
}

static void
arrive (mesh_t *mesh, service_t service, cs_usec_t now)
{
  request_t *request = g_new0 (request_t, 1);
  g_ptr_array_add (mesh->all_requests, request);
  node_t *origin
      = &mesh->nodes[mesh->pattern->first_node_only
                         ? 0
                         : g_rand_int_range (mesh->random, 0, NODES)];
  *request = (request_t){ .service = service, .origin = origin };
  request->inherited = (double)origin->repeated_runs / MAX (origin->runs, 1);
  mesh->requests[service][bucket (now)]++;
  mesh->offered++;
  cs_retry_window_note_request (&origin->by_service[service], &settings, false,
                                0, now);
  attempt (mesh, request, now);
}

static void
init_node (node_t *node, unsigned number, cs_usec_t now)
{
  node->service = number < FRONT_SERVERS ? FRONT : BACK;
  cs_retry_window_init (&node->account, now);
  for (int i = 0; i < SERVICES; i++)
    cs_retry_window_init (&node->by_service[i], now);
  cs_route_callers_drop (node->route_callers);
  node->route_callers = cs_route_callers_new ();
}

/* The worst window of 10 s: repeats beyond what is allowed, as a part of
   that.  */
static double
worst_window (const mesh_t *mesh, service_t service)
{
  double worst = 0;
  for (int begin = 0; begin + 100 <= BUCKETS; begin++)
    {
      double repeats = 0, requests = 0, best = 0;
      for (int i = begin; i < begin + 100; i++)
        repeats += mesh->repeats[service][i];
      for (int back = 0; back <= 100 && begin - back >= 0; back += 50)
        {
          requests = 0;
          for (int i = begin - back; i < begin - back + 100; i++)
            requests += mesh->requests[service][i];
          best = MAX (best, requests);
        }
      worst = MAX (worst, repeats / (settings.ratio * best + settings.slack));
    }
  return worst;
}

typedef struct
{
  double worst[SERVICES];
  double served; /* Part of the clients' requests.  */
} result_t;

static result_t
play (const pattern_t *pattern, policy_t policy, guint32 seed)
{
  mesh_t *mesh = g_new0 (mesh_t, 1);
  cs_usec_t now = 0, start = 10 * CS_SEC;
  unsigned restarted = 0;
  mesh->pattern = pattern;
  mesh->policy = policy;
  mesh->random = g_rand_new_with_seed (seed);
  mesh->events = event_queue_new ();
  mesh->all_requests = g_ptr_array_new_with_free_func (g_free);
  for (unsigned i = 0; i < NODES; i++)
    init_node (&mesh->nodes[i], i, -start);
  for (cs_usec_t ms = 0; ms < SECONDS * 1000; ms++)
    {
      now = ms * CS_MSEC;
      event_queue_run (mesh->events, mesh, now);
      if (pattern->restart_every
          && ms % (pattern->restart_every / CS_MSEC) == 0)
        {
          unsigned number = restarted++ % NODES;
          init_node (&mesh->nodes[number], number, now);
        }
      if (g_rand_double (mesh->random) < 0.08)
        arrive (mesh, FRONT, now);
      if (g_rand_double (mesh->random) < 0.04)
        arrive (mesh, BACK, now);
    }
  result_t result
      = { .served = (double)mesh->served / mesh->offered,
          .worst = { worst_window (mesh, FRONT), worst_window (mesh, BACK) } };
  for (unsigned i = 0; i < NODES; i++)
    cs_route_callers_drop (mesh->nodes[i].route_callers);
  g_sequence_free (mesh->events);
  g_ptr_array_unref (mesh->all_requests);
  g_rand_free (mesh->random);
  g_free (mesh);
  return result;
}

/* Summed over all nodes, the arrivals of a service beyond the first of each
   request stay within the budget in each window, whatever the servers do; the
   budget is used, and retries serve more requests than none.  */
static void
test_budget_exceeded_by_many_nodes (gconstpointer data)
{
  const pattern_t *pattern = data;
  double worst_by_policy[POLICIES] = { 0 };
  for (guint32 seed = 1; seed <= 5; seed++)
    for (policy_t policy = 0; policy < POLICIES; policy++)
      {
        result_t result = play (pattern, policy, seed);
        double worst = MAX (result.worst[FRONT], result.worst[BACK]);
        worst_by_policy[policy] = MAX (worst_by_policy[policy], worst);
        g_test_message ("seed %u, %s: worst window %.2f and %.2f of the "
                        "budget, %.3f served",
                        seed, policy_names[policy], result.worst[FRONT],
                        result.worst[BACK], result.served);
      }
  g_assert_cmpfloat (worst_by_policy[BY_SERVER], <=, 1.0);
  g_assert_cmpfloat (worst_by_policy[BY_SERVER], >, 0.4);
}

static const pattern_t patterns[] = {
  { "shed", 13 * CS_SEC, 22 * CS_SEC, .shed = 0.55 },
  { "shed-then-broken", 8 * CS_SEC, 28 * CS_SEC, .shed = 0.3, .broken = 0.3 },
  { "broken", 4 * CS_SEC, 25 * CS_SEC, .broken = 0.4 },
  { "one-caller", 13 * CS_SEC, 22 * CS_SEC, .shed = 0.55,
    .first_node_only = true },
  { "restarts", 5 * CS_SEC, 28 * CS_SEC, .shed = 0.5,
    .restart_every = 300 * CS_MSEC },
};

/* The allowance comes back when the window has passed, and a node that has
   just started has no part of the slack yet.  */
static void
test_allowance (void)
{
  cs_retry_window_t window;
  cs_retry_window_init (&window, 100 * CS_SEC);
  g_assert_false (
      cs_retry_window_has_room (&window, &settings, 4, 101 * CS_SEC));
  unsigned sent = 0;
  for (int ms = 0; ms < 10000; ms += 10)
    if (cs_retry_window_has_room (&window, &settings, 4,
                                  120 * CS_SEC + ms * CS_MSEC))
      {
        cs_retry_window_note_retry (&window, &settings,
                                    120 * CS_SEC + ms * CS_MSEC);
        sent++;
      }
  g_assert_cmpuint (sent, <=, 30 / 4);
  g_assert_cmpuint (sent, >=, 5);
  g_assert_false (cs_retry_window_has_room (&window, &settings, 4,
                                            130 * CS_SEC - CS_MSEC));
  g_assert_true (
      cs_retry_window_has_room (&window, &settings, 4, 145 * CS_SEC));
}

/* A route that the hosts of one service never use carries calls; one that all
   use does not, also when a host has changed its service.  */
static void
test_calls_taken_for_requests (void)
{
  cs_route_callers_t *callers = cs_route_callers_new ();
  GHashTable *hosts = host_counts ();
  g_assert_true (cs_route_callers_may_be_calls (callers, "calls", hosts));
  for (int i = 0; i < 100; i++)
    {
      cs_route_callers_note (callers, "calls", "front");
      cs_route_callers_note (callers, "clients", i % 3 ? "front" : "back");
    }
  cs_route_callers_note (callers, "calls", "back");
  g_assert_true (cs_route_callers_may_be_calls (callers, "calls", hosts));
  g_assert_false (cs_route_callers_may_be_calls (callers, "clients", hosts));
  for (int i = 0; i < 5000; i++)
    cs_route_callers_note (callers, "clients", "front");
  g_assert_true (cs_route_callers_may_be_calls (callers, "clients", hosts));
  g_hash_table_unref (hosts);
  cs_route_callers_drop (callers);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/budget/allowance", test_allowance);
  g_test_add_func ("/budget/calls-taken-for-requests",
                   test_calls_taken_for_requests);
  for (size_t i = 0; i < G_N_ELEMENTS (patterns); i++)
    {
      char *path = g_strdup_printf ("/budget/exceeded/%s", patterns[i].name);
      g_test_add_data_func (path, &patterns[i],
                            test_budget_exceeded_by_many_nodes);
      g_free (path);
    }
  return g_test_run ();
}
