/* A server of a new version has started, and no order moves traffic to it; a
   node is restarted meanwhile.  */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "rig.h"

#define NODES 3
#define RESTARTED 3

static const char config[]
    = "{\"version\": \"00000001\","
      " \"services\": {\"desk\": {\"healthPath\": \"/health\"}},"
      " \"routes\": {\"u\": {\"host\": \"desk.example\", \"prefix\": \"/u/\","
      " \"kind\": \"unsafe\", \"timeout\": \"2s\","
      " \"targetLatency\": \"400ms\", \"priority\": 1, \"service\": \"desk\","
      " \"maxAttempts\": 2}},"
      " \"limits\": {\"maxHeaderBytes\": 16384, \"maxBodyBytes\": 1000000,"
      " \"headerTimeout\": \"3s\", \"idleTimeout\": \"15s\"}}";

static volatile bool over;
static rig_server_t servers[NODES + 1];
static volatile int answers[600], sent[NODES + 1];

static void *
send_requests (void *user)
{
  int node = *(int *)user;
  char fields[128], id[24];
  rig_conn_t *conn = malloc (sizeof *conn);
  rig_answer_t answer;
  conn->fd = -1;
  while (!over)
    {
      rig_new_id (id);
      snprintf (fields, sizeof fields,
                "Attempt-Id: %s\r\nTimeout-Remaining-Ms: 2000\r\n", id);
      answer = (rig_answer_t){ 0 };
      double sent_at = rig_now ();
      if (conn->fd >= 0
          || rig_connect (conn, rig_port (node, PORT_CALLERS), 4))
        rig_exchange (conn, "POST", "/u/x", fields, "{}", 0, 0, &answer);
      rig_note_request (id, node, "unsafe", sent_at, answer.status,
                        answer.whole);
      if (!answer.whole || answer.closes)
        rig_close (conn);
      __atomic_add_fetch (&answers[answer.status < 600 ? answer.status : 0], 1,
                          5);
      __atomic_add_fetch (&sent[node], 1, 5);
      rig_sleep (0.03);
    }
  free (conn);
  return NULL;
}

static void *
report_all (void *user)
{
  (void)user;
  while (!over)
    {
      rig_sleep (1);
      for (int node = 1; node <= NODES; node++)
        if (servers[node].listener)
          rig_report (&servers[node], "ready");
    }
  return NULL;
}

int
main (int argc, char **argv)
{
  static int numbers[] = { 0, 1, 2, 3 };
  rig_begin (argc > 1 ? argv[1] : "record.txt", NODES);
  /* One after the other, so that the rows of the table are in the order of
     their keys.  */
  for (int node = 1; node <= NODES; node++)
    {
      rig_start_node (node, true, NULL);
      rig_sleep (0.4);
      servers[node] = (rig_server_t){ .node = node, .work_ms = 20 };
      snprintf (servers[node].instance, 32, "i-%d", node);
      strcpy (servers[node].version, node == 1 ? "v2" : "v1");
    }
  rig_put_row ("config", config);
  for (int node = 1; node <= NODES; node++)
    rig_await_ready (node);
  for (int node = 2; node <= NODES; node++)
    {
      rig_start_server (&servers[node]);
      rig_record ("report of %s: %d", servers[node].instance,
                  rig_report (&servers[node], "ready"));
    }
  rig_sleep (1);
  rig_thread (report_all, NULL);
  for (int node = 1; node <= NODES; node++)
    rig_thread (send_requests, &numbers[node]);
  rig_sleep (2);
  rig_start_server (&servers[1]);
  rig_record ("report of i-1, of version v2, which no order names: %d",
              rig_report (&servers[1], "ready"));
  rig_sleep (4);
  rig_record ("runs: i-1 (v2) %d, i-2 (v1) %d, i-3 (v1) %d",
              servers[1].run_count, servers[2].run_count,
              servers[3].run_count);
  if (rig_trouble ())
    {
      rig_signal_node (RESTARTED, SIGTERM);
      rig_await_end (RESTARTED);
      rig_start_node (RESTARTED, false, NULL);
      rig_await_ready (RESTARTED);
    }
  rig_sleep (8);
  over = true;
  rig_sleep (0.5);
  rig_record_requests (0, 1e9, false);
  rig_record ("runs: i-1 (v2) %d, i-2 (v1) %d, i-3 (v1) %d",
              servers[1].run_count, servers[2].run_count,
              servers[3].run_count);
  rig_record ("requests sent at nodes 1 to 3: %d, %d, %d; answers: 200: %d, "
              "503: %d, none: %d",
              sent[1], sent[2], sent[3], answers[200], answers[503],
              answers[0]);
  if (servers[2].run_count + servers[3].run_count < 100)
    rig_end (2);
  bool broken = servers[1].run_count > 0;
  rig_record (broken ? "BROKEN: ROUTE" : "held");
  rig_end (broken ? 1 : 0);
}
