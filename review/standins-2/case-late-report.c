/* A server is replaced; the first report of the new one is late, and comes
   after the node has acknowledged that it leaves.  */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "rig.h"

#define DRAIN 2.5  /* Of the bounds.  */
#define LATE 2.0   /* How late the report is.  */
#define SERVES 8.0 /* How long the server serves after its leave.  */
#define NODES 2

static const char config[]
    = "{\"version\": \"00000001\","
      " \"services\": {\"desk\": {\"healthPath\": \"/health\"}},"
      " \"routes\": {\"d\": {\"host\": \"desk.example\", \"prefix\": \"/d/\","
      " \"kind\": \"safe\", \"timeout\": \"2s\", \"targetLatency\": \"400ms\","
      " \"priority\": 1, \"service\": \"desk\", \"maxAttempts\": 2},"
      " \"u\": {\"host\": \"desk.example\", \"prefix\": \"/u/\","
      " \"kind\": \"unsafe\", \"timeout\": \"2s\","
      " \"targetLatency\": \"400ms\", \"priority\": 1, \"service\": \"desk\","
      " \"maxAttempts\": 2}},"
      " \"limits\": {\"maxHeaderBytes\": 16384, \"maxBodyBytes\": 1000000,"
      " \"headerTimeout\": \"3s\", \"idleTimeout\": \"15s\"}}";

static volatile bool over;
static volatile int answers[600];

static void *
send_requests (void *user)
{
  int node = *(int *)user;
  char fields[128], id[24];
  rig_conn_t *conn = malloc (sizeof *conn);
  rig_answer_t answer;
  conn->fd = -1;
  for (int i = 0; !over; i++)
    {
      bool safe = i % 2;
      rig_new_id (id);
      snprintf (fields, sizeof fields,
                "Attempt-Id: %s\r\nTimeout-Remaining-Ms: 2000\r\n", id);
      answer = (rig_answer_t){ 0 };
      double sent_at = rig_now ();
      if (conn->fd >= 0
          || rig_connect (conn, rig_port (node, PORT_CALLERS), 4))
        rig_exchange (conn, safe ? "GET" : "POST", safe ? "/d/x" : "/u/x",
                      fields, safe ? NULL : "{}", 0, 0, &answer);
      rig_note_request (id, node, safe ? "safe" : "unsafe", sent_at,
                        answer.status, answer.whole);
      if (!answer.whole || answer.closes)
        rig_close (conn);
      __atomic_add_fetch (&answers[answer.status < 600 ? answer.status : 0], 1,
                          5);
      if (answer.status != 200)
        rig_record ("request %s (%s) at node %d: %d", id,
                    safe ? "safe" : "unsafe", node, answer.status);
      rig_sleep (0.02);
    }
  free (conn);
  return NULL;
}

static rig_server_t old_server
    = { .node = 1, .instance = "i-1", .version = "v1", .work_ms = 30 },
    other = { .node = 2, .instance = "i-2", .version = "v1", .work_ms = 30 },
    new_server
    = { .node = 1, .instance = "i-3", .version = "v1", .work_ms = 30 };

static void *
report_others (void *user)
{
  (void)user;
  while (!over)
    {
      rig_sleep (1);
      if (!old_server.leaving)
        rig_report (&old_server, "ready");
      rig_report (&other, "ready");
    }
  return NULL;
}

int
main (int argc, char **argv)
{
  static int nodes[] = { 1, 1, 2, 2 };
  rig_begin (argc > 1 ? argv[1] : "record.txt", NODES);
  for (int node = 1; node <= NODES; node++)
    rig_start_node (node, true, NULL);
  rig_start_server (&old_server);
  rig_start_server (&other);
  rig_put_row ("config", config);
  for (int node = 1; node <= NODES; node++)
    rig_await_ready (node);
  rig_record ("report of i-1: %d", rig_report (&old_server, "ready"));
  rig_record ("report of i-2: %d", rig_report (&other, "ready"));
  rig_sleep (1.5);
  for (int i = 0; i < 4; i++)
    rig_thread (send_requests, &nodes[i]);
  rig_thread (report_others, NULL);
  rig_sleep (2);

  /* A planned replacement: i-1 drains, leaves and ends.  */
  old_server.leaving = true;
  rig_record ("i-1 reports draining: %d",
              rig_report (&old_server, "draining"));
  rig_sleep (DRAIN + 0.5);
  rig_record ("i-1 leaves: %d", rig_deregister (&old_server));
  rig_stop_server (&old_server);

  /* i-3 takes its place.  Its first report is late, or in time.  */
  rig_start_server (&new_server);
  if (!rig_trouble ())
    rig_record ("the first report of i-3 comes in time: %d",
                rig_report_as (&new_server, "ready", 1));
  else
    rig_record ("the first report of i-3 is sent, and is late");
  rig_sleep (0.8);

  /* It is told to go: it says so, serves on for a while, and ends.  */
  new_server.leaving = true;
  int status = rig_deregister (&new_server);
  double acknowledged = rig_now ();
  rig_record ("i-3 says that it leaves: %d", status);
  if (status != 200)
    rig_end (2);
  rig_sleep (LATE - 0.8);
  if (rig_trouble ())
    rig_record ("the first report of i-3 comes: %d",
                rig_report_as (&new_server, "ready", 1));
  rig_sleep (acknowledged + SERVES - rig_now ());
  rig_stop_server (&new_server);
  rig_sleep (2);
  over = true;
  rig_sleep (0.5);
  rig_record_requests (0, 1e9, false);

  size_t count, late = 0, unanswered = 0;
  rig_run_t *runs = rig_runs (&count);
  for (size_t i = 0; i < count; i++)
    if (runs[i].server == &new_server && runs[i].at > acknowledged + DRAIN)
      {
        if (late < 20)
          rig_record ("request %s ran at i-3 %.3f s after the "
                      "acknowledgement",
                      runs[i].id, runs[i].at - acknowledged);
        late++;
        unanswered += !runs[i].answered;
      }
  rig_record ("%zu requests reached i-3 later than %.1f s after the "
              "acknowledgement; %zu of them were cut when it ended",
              late, DRAIN, unanswered);
  rig_record ("answers: 200: %d, 502: %d, 503: %d, 504: %d, none: %d",
              answers[200], answers[502], answers[503], answers[504],
              answers[0]);
  if (answers[200] < 200)
    rig_end (2);
  rig_record (late ? "BROKEN: DRAIN" : "held");
  rig_end (late ? 1 : 0);
}
