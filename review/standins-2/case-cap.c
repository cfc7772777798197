/* The usage cap of a tenant over all nodes, while machines are stopped and
   started in turn.  */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "rig.h"

#ifndef NODES
#define NODES 3
#endif
#ifndef RATE
#define RATE 600 /* The tenant's ratePerS, ...  */
#define BURST 60 /* ... and its burst.  */
#endif
#ifndef GAP
#define GAP 2.0 /* Between two stops.  */
#endif
#define WINDOW 5.0 /* Bounds of a site with tenants.  */
#define OVER 0.1
#define SLACK 20
#define CLIENTS 24 /* At each node, ...  */
#define PACE 0.04  /* ... each sends one request in so many seconds.  */
#define CALM 6.0   /* Before the first stop.  */

static const char settings[]
    = ", \"fail_closed\": true, \"revoke\": \"5000ms\","
      " \"quota_window\": \"5s\", \"quota_over\": 0.1, \"quota_slack\": 20";

static volatile bool over, out[NODES + 1], watched[NODES + 1];
static volatile int answers[600];
static rig_server_t servers[NODES + 1];

static void *
send_requests (void *user)
{
  int node = *(int *)user;
  char fields[192], id[24];
  rig_conn_t *conn = malloc (sizeof *conn);
  rig_answer_t answer;
  conn->fd = -1;
  rig_sleep (PACE * (rand () % 1000) / 1000.0);
  for (double next = rig_now (); !over; next += PACE)
    {
      if (next > rig_now ())
        rig_sleep (next - rig_now ());
      else
        next = rig_now ();
      if (out[node])
        {
          rig_close (conn);
          continue;
        }
      rig_new_id (id);
      snprintf (fields, sizeof fields,
                "Authorization: Bearer hot-key\r\nAttempt-Id: %s\r\n"
                "Timeout-Remaining-Ms: 1000\r\n",
                id);
      answer = (rig_answer_t){ 0 };
      double sent_at = rig_now ();
      if (conn->fd >= 0
          || rig_connect (conn, rig_port (node, PORT_CALLERS), 4))
        rig_exchange (conn, "GET", "/d/x", fields, NULL, 0, 0, &answer);
      rig_note_request (id, node, "hot", sent_at, answer.status, answer.whole);
      if (!answer.whole || answer.closes)
        rig_close (conn);
      __atomic_add_fetch (&answers[answer.status < 600 ? answer.status : 0], 1,
                          5);
    }
  free (conn);
  return NULL;
}

/* Once a second the platform asks whether NODE is ready; after two misses its
   clients get no new work until it is ready again.  */
static void *
watch_node (void *user)
{
  int node = *(int *)user, misses = 0;
  while (!over)
    {
      bool ready = rig_is_ready (node);
      misses = ready ? 0 : misses + 1;
      if (misses == 2 || (ready && out[node]))
        rig_record ("the platform takes node %d %s", node,
                    ready ? "in" : "out");
      out[node] = misses >= 2;
      watched[node] = true;
      rig_sleep (1);
    }
  return NULL;
}

static void *
report_all (void *user)
{
  (void)user;
  while (!over)
    {
      for (int node = 1; node <= NODES; node++)
        rig_report (&servers[node], "ready");
      rig_sleep (1);
    }
  return NULL;
}

static void *
restart_node (void *user)
{
  int node = *(int *)user;
  rig_signal_node (node, SIGTERM);
  rig_await_end (node);
  rig_start_node (node, false, settings);
  return NULL;
}

static int
compare (const void *a, const void *b)
{
  double x = ((const rig_run_t *)a)->at, y = ((const rig_run_t *)b)->at;
  return (x > y) - (x < y);
}

int
main (int argc, char **argv)
{
  static int numbers[NODES + 1];
  char config[1024];
  double limit = (RATE * WINDOW + BURST) * (1 + OVER) + SLACK;
  rig_begin (argc > 1 ? argv[1] : "record.txt", NODES);
  snprintf (config, sizeof config,
            "{\"version\": \"00000001\","
            " \"services\": {\"desk\": {\"healthPath\": \"/health\"}},"
            " \"routes\": {\"d\": {\"host\": \"desk.example\","
            " \"prefix\": \"/d/\", \"kind\": \"safe\", \"timeout\": \"1s\","
            " \"targetLatency\": \"400ms\", \"priority\": 1,"
            " \"service\": \"desk\", \"maxAttempts\": 2}},"
            " \"limits\": {\"maxHeaderBytes\": 16384,"
            " \"maxBodyBytes\": 1000000, \"headerTimeout\": \"3s\","
            " \"idleTimeout\": \"15s\"},"
            " \"tenants\": {\"hot\": {\"apiKeys\": [\"hot-key\"],"
            " \"ratePerS\": %d, \"burst\": %d}}}",
            RATE, BURST);
  for (int node = 1; node <= NODES; node++)
    {
      numbers[node] = node;
      rig_start_node (node, true, settings);
      servers[node] = (rig_server_t){
        .node = node, .version = "v1", .work_ms = 2, .slots = 64
      };
      snprintf (servers[node].instance, 32, "i-%d", node);
      rig_start_server (&servers[node]);
    }
  rig_put_row ("config", config);
  for (int node = 1; node <= NODES; node++)
    {
      rig_await_ready (node);
      rig_report (&servers[node], "ready");
    }
  rig_sleep (3);
  rig_thread (report_all, NULL);
  for (int node = 1; node <= NODES; node++)
    {
      rig_thread (watch_node, &numbers[node]);
      for (int i = 0; i < CLIENTS; i++)
        rig_thread (send_requests, &numbers[node]);
    }
  rig_sleep (CALM);
  double began = rig_now ();
  rig_record ("%d requests ran so far",
              servers[1].run_count + servers[2].run_count);
  for (int node = 1; node <= NODES; node++)
    {
      if (rig_trouble ())
        {
          /* Just after the platform has asked.  */
          watched[node] = false;
          while (!watched[node])
            rig_sleep (0.005);
          rig_sleep (0.05);
          rig_thread (restart_node, &numbers[node]);
        }
      rig_sleep (GAP);
    }
  rig_sleep (8);
  over = true;
  rig_sleep (1.5);

  size_t count, first = 0, most = 0, from = 0, calm_most = 0;
  rig_run_t *runs = rig_runs (&count);
  qsort (runs, count, sizeof *runs, compare);
  for (size_t i = 0; i < count; i++)
    {
      while (runs[i].at - runs[first].at > WINDOW)
        first++;
      size_t in_window = i - first + 1;
      if (runs[i].at < began && in_window > calm_most)
        calm_most = in_window;
      if (in_window > most)
        {
          most = in_window;
          from = first;
        }
    }
  rig_record ("answers: 200: %d, 429: %d, 503: %d, none: %d", answers[200],
              answers[429], answers[503], answers[0]);
  rig_record ("most runs of the tenant in %.0f s: %zu before the first stop, "
              "%zu in all, from second %.3f on; %.0f are allowed",
              WINDOW, calm_most, most, count ? runs[from].at : 0, limit);
  if (answers[200] < 5 * RATE || answers[429] < RATE)
    rig_end (2); /* The tenant did not press beyond its cap.  */
  rig_record_requests (count ? runs[from].at : 0,
                       count ? runs[from].at + WINDOW : 0, false);
  bool broken = (double)most > limit;
  rig_record (broken ? "BROKEN: QUOTA" : "held");
  rig_end (broken ? 1 : 0);
}
