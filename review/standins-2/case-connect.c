/* A server that is slow to accept connections leaves: requests that wait for a
   connection to it.  */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "rig.h"

#define DRAIN 2.5 /* Of the bounds.  */
#define BURST 24  /* Requests that come at once.  */
#define SLOW 2.2  /* For so long the server accepts no connection.  */
#define SERVES 6.0

static const char config[]
    = "{\"version\": \"00000001\","
      " \"services\": {\"desk\": {\"healthPath\": \"/health\"}},"
      " \"routes\": {\"u\": {\"host\": \"desk.example\", \"prefix\": \"/u/\","
      " \"kind\": \"unsafe\", \"timeout\": \"5s\", \"targetLatency\": \"1s\","
      " \"priority\": 1, \"service\": \"desk\", \"maxAttempts\": 2}},"
      " \"limits\": {\"maxHeaderBytes\": 16384, \"maxBodyBytes\": 1000000,"
      " \"headerTimeout\": \"3s\", \"idleTimeout\": \"15s\"}}";

static volatile int ended, answers[600];
static rig_server_t server = { .node = 1, .instance = "i-1", .version = "v1",
                               .work_ms = 100, .backlog = 1 },
                    other = { .node = 2, .instance = "i-2", .version = "v1",
                              .work_ms = 100 };

static void *
send_request (void *user)
{
  int node = *(int *)user;
  char fields[128], id[24];
  rig_conn_t *conn = malloc (sizeof *conn);
  rig_answer_t answer = { 0 };
  rig_new_id (id);
  snprintf (fields, sizeof fields,
            "Attempt-Id: %s\r\nTimeout-Remaining-Ms: 6000\r\n", id);
  if (rig_connect (conn, rig_port (node, PORT_CALLERS), 8))
    rig_exchange (conn, "POST", "/u/x", fields, "{}", 0, 0, &answer);
  rig_record ("request %s at node %d: %d", id, node, answer.status);
  __atomic_add_fetch (&answers[answer.status < 600 ? answer.status : 0], 1, 5);
  rig_close (conn);
  free (conn);
  __atomic_add_fetch (&ended, 1, 5);
  return NULL;
}

int
main (int argc, char **argv)
{
  static int numbers[] = { 1, 2 };
  rig_begin (argc > 1 ? argv[1] : "record.txt", 2);
  for (int node = 1; node <= 2; node++)
    rig_start_node (node, true, NULL);
  rig_start_server (&server);
  rig_start_server (&other);
  rig_put_row ("config", config);
  for (int node = 1; node <= 2; node++)
    rig_await_ready (node);
  rig_report (&server, "ready");
  rig_report (&other, "ready");
  rig_sleep (2);

  if (rig_trouble ())
    {
      server.stands_still = true;
      rig_record ("i-1 accepts no connections for a while");
    }
  rig_sleep (0.05);
  for (int i = 0; i < BURST; i++)
    rig_thread (send_request, &numbers[i % 2]);
  rig_sleep (0.2);
  server.leaving = true;
  int status = rig_report (&server, "draining");
  double acknowledged = rig_now ();
  rig_record ("i-1 reports draining: %d", status);
  rig_sleep (SLOW - 0.25);
  server.stands_still = false;
  rig_record ("i-1 accepts connections again");
  rig_sleep (acknowledged + SERVES - rig_now ());
  rig_deregister (&server);
  rig_stop_server (&server);
  for (int i = 0; i < 40 && ended < BURST; i++)
    rig_sleep (0.1);

  size_t count, late = 0;
  rig_run_t *runs = rig_runs (&count);
  for (size_t i = 0; i < count; i++)
    if (runs[i].server == &server)
      {
        rig_record ("request %s ran at i-1 %.3f s after the acknowledgement",
                    runs[i].id, runs[i].at - acknowledged);
        late += runs[i].at > acknowledged + DRAIN;
      }
  rig_record ("%zu of %d requests reached i-1 later than %.1f s after the "
              "acknowledgement",
              late, server.run_count, DRAIN);
  rig_record ("answers: 200: %d, 502: %d, 503: %d, 504: %d, none: %d",
              answers[200], answers[502], answers[503], answers[504],
              answers[0]);
  if (status != 200 || answers[200] < 2)
    rig_end (2);
  rig_record (late ? "BROKEN: DRAIN" : "held");
  rig_end (late ? 1 : 0);
}
