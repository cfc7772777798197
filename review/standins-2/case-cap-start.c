/* Nodes that start while the platform's store is down know few others, and
   give out more of a usage cap than there is.  */
#include "harness.h"

#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define NODES 6
#define TENANTS 4
#define PER_S 100
#define BURST 100
#define WINDOW_S 5.0
#define OVER 0.1
#define SLACK 20
/* What each tenant asks at each node, in a second.  */
#define ASKED_PER_S 60
#define RUNS_MAX 200000

typedef struct
{
  double sent, ran;
} counted_t;

static node_t nodes[NODES];
static server_t servers[NODES];
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static counted_t runs[TENANTS][RUNS_MAX];
static int run_count[TENANTS];
static volatile bool loading = true;
static long answered[600];

/* Paths are /d/TENANT/TIME, the time at which the request was sent.  */
static bool
run_request (server_t *server, int fd, const run_t *run)
{
  int tenant = 0;
  double sent = 0, ran = now_s ();
  (void)server;
  if (sscanf (run->target, "/d/%d/%lf", &tenant, &sent) == 2 && tenant >= 0
      && tenant < TENANTS)
    {
      char expected[16];
      snprintf (expected, sizeof expected, "tenant-%d", tenant);
      if (strcmp (run->workspace, expected) != 0)
        note ("the server was told the tenant \"%s\"", run->workspace);
      pthread_mutex_lock (&lock);
      if (run_count[tenant] < RUNS_MAX)
        runs[tenant][run_count[tenant]++]
            = (counted_t){ .sent = sent, .ran = ran };
      pthread_mutex_unlock (&lock);
      record ("server %s: ran %s of %s, sent at %.3f", server->instance,
              run->id, run->workspace, sent);
    }
  return answer_run (fd, run, 200, NULL, "done");
}

typedef struct
{
  int node, tenant;
} caller_t;

static void *
call_often (void *arg)
{
  caller_t caller = *(caller_t *)arg;
  int fd = -1;
  double next = now_s ();
  while (loading)
    {
      char path[64], key[64];
      sleep_s (next - now_s ());
      next += 1.0 / ASKED_PER_S;
      if (next < now_s () - 0.5)
        next = now_s ();
      if (fd < 0)
        fd = connect_to (nodes[caller.node].callers, 0);
      if (fd < 0)
        {
          sleep_s (0.1);
          continue;
        }
      snprintf (path, sizeof path, "/d/%d/%.4f", caller.tenant, now_s ());
      snprintf (key, sizeof key, "Authorization: Bearer key-of-%d\r\n",
                caller.tenant);
      request_t request
          = { .path = path, .fields = key, .budget_ms = 1000 };
      answer_t answer = ask_on (fd, &request);
      if (answer.status > 0 && answer.status < 600)
        __atomic_add_fetch (&answered[answer.status], 1, __ATOMIC_SEQ_CST);
      if (!answer.whole)
        {
          close (fd);
          fd = -1;
        }
    }
  if (fd >= 0)
    close (fd);
  return NULL;
}

static int
by_sent (const void *a, const void *b)
{
  double x = ((const counted_t *)a)->sent, y = ((const counted_t *)b)->sent;
  return x < y ? -1 : x > y;
}

/* The most requests of TENANT that were both sent and run in some window.  */
static int
most_in_window (int tenant, double *from)
{
  counted_t *all = runs[tenant];
  int count = run_count[tenant], most = 0;
  qsort (all, (size_t)count, sizeof *all, by_sent);
  for (int i = 0; i < count; i++)
    {
      int inside = 0;
      for (int j = i; j < count && all[j].sent <= all[i].sent + WINDOW_S; j++)
        inside += all[j].ran <= all[i].sent + WINDOW_S;
      if (inside > most)
        {
          most = inside;
          *from = all[i].sent;
        }
    }
  return most;
}

int
main (int argc, char **argv)
{
  double allowed = (PER_S * WINDOW_S + BURST) * (1 + OVER) + SLACK;
  bool broken = false;
  static char config[4096];
  int at;
  case_begin (argc > 1 ? argv[1] : ".");
  start_table ();
  for (int i = 0; i < NODES; i++)
    {
      node_init (&nodes[i], i + 1, i % 2 ? "zone-b" : "zone-a", "region-a",
                 "desk");
      nodes[i].extra = getenv ("FAIL_CLOSED")
                           ? "\"fail_closed\": true, \"revoke\": \"5000ms\", "
                             "\"quota_window\": \"5s\", \"quota_over\": 0.1, "
                             "\"quota_slack\": 20, "
                           : "\"quota_window\": \"5s\", \"quota_over\": 0.1, "
                             "\"quota_slack\": 20, ";
      node_start (&nodes[i], true);
      servers[i] = (server_t){ .port = nodes[i].server,
                               .service = "desk",
                               .node = &nodes[i],
                               .handler = run_request };
      snprintf (servers[i].instance, sizeof servers[i].instance, "i-%d",
                i + 1);
      server_start (&servers[i]);
    }
  at = snprintf (
      config, sizeof config,
      "{\"version\":\"00000001\",\"services\":{\"desk\":{\"healthPath\":"
      "\"/health\",\"maxConnections\":110}},\"routes\":{\"r-1\":{"
      "\"host\":\"h.example\",\"prefix\":\"/d/\",\"kind\":\"safe\","
      "\"timeout\":\"1s\",\"targetLatency\":\"400ms\",\"priority\":1,"
      "\"service\":\"desk\",\"maxAttempts\":2,\"anonymous\":false}},"
      "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,"
      "\"headerTimeout\":\"3000ms\",\"idleTimeout\":\"15000ms\"},"
      "\"tenants\":{");
  for (int i = 0; i < TENANTS; i++)
    at += snprintf (config + at, sizeof config - (size_t)at,
                    "%s\"tenant-%d\":{\"apiKeys\":[\"key-of-%d\"],"
                    "\"priority\":1,\"ratePerS\":%d,\"burst\":%d}",
                    i ? "," : "", i, i, PER_S, BURST);
  snprintf (config + at, sizeof config - (size_t)at, "}}");
  put_row ("op", "config", config);
  for (int i = 0; i < NODES; i++)
    if (!node_await_ready (&nodes[i], 20))
      give_up ("%s is not ready", nodes[i].name);
  sleep_s (4);
  note ("callers of %d tenants begin, %d a second each at each of %d nodes",
        TENANTS, ASKED_PER_S, NODES);
  pthread_t threads[NODES * TENANTS];
  caller_t callers[NODES * TENANTS];
  for (int i = 0; i < NODES * TENANTS; i++)
    {
      callers[i] = (caller_t){ .node = i / TENANTS, .tenant = i % TENANTS };
      pthread_create (&threads[i], NULL, call_often, &callers[i]);
    }
  sleep_s (8);
  if (case_trouble ())
    {
      note ("the store falls silent");
      kill (table_pid, SIGSTOP);
      sleep_s (1);
      note ("nodes 2 to %d are killed at once", NODES);
      for (int i = 1; i < NODES; i++)
        kill (nodes[i].pid, SIGKILL);
      for (int i = 1; i < NODES; i++)
        end_process (nodes[i].pid, SIGKILL);
      sleep_s (0.5);
      for (int i = 1; i < NODES; i++)
        node_start (&nodes[i], false);
      note ("they are started again");
    }
  sleep_s (14);
  if (case_trouble ())
    {
      note ("the store is back");
      kill (table_pid, SIGCONT);
    }
  sleep_s (2);
  loading = false;
  for (int i = 0; i < NODES * TENANTS; i++)
    pthread_join (threads[i], NULL);
  for (int status = 0; status < 600; status++)
    if (answered[status])
      note ("answers with %d: %ld", status, answered[status]);
  for (int i = 0; i < TENANTS; i++)
    {
      double from = 0;
      int most = most_in_window (i, &from);
      note ("tenant-%d: %d requests ran; most sent and run in %.0f s: %d, "
            "from %.2f on; allowed are %.0f",
            i, run_count[i], WINDOW_S, most, from, allowed);
      broken |= most > allowed;
    }
  note ("rule QUOTA: %s", broken ? "broken" : "held");
  return broken ? EXIT_BROKEN : EXIT_HELD;
}
