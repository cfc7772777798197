/* Case 4.  A client's node gets SIGTERM while a request is at work; its
   answer, which takes some two seconds on the client's link, comes after the
   node has begun to close connections.  */
#include "rig.h"

#include <pthread.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>

#define BODY_BYTES (5500 * 1000)
#define LINK_BYTES_PER_S (20e6 / 8) /* linkMbps 20.  */
#define WORK_MS 1600
#define CLIENTS 2

static char *body;
static machine_t *m1, *m2;
static double stopped_at;
static int cut, whole;

static bool
serve (upstream_t *upstream, request_t *request, int fd)
{
  if (!strcmp (request->path, "/s/warm"))
    return upstream_answer (request, fd, "warm", 4, false);
  note ("upstream %s runs %s", upstream->instance, request->id);
  sleep_ms (WORK_MS);
  bool sent = upstream_answer (request, fd, body, BODY_BYTES, false);
  note ("upstream %s has answered %s with 200 and %d bytes: %s",
        upstream->instance, request->id, BODY_BYTES,
        sent ? "sent whole" : "its connection was closed");
  return sent;
}

static void *
run_client (void *arg)
{
  int port = *(int *)arg;
  char text[400], *id = unique_id ();
  reader_t reader;
  answer_t answer;
  reader_init (&reader, connect_port (port));
  need (reader.fd >= 0, "a connection");
  /* A kept connection: one request before.  */
  int n = snprintf (text, sizeof text,
                    "GET /s/warm HTTP/1.1\r\nHost: h.example\r\n"
                    "Attempt-Id: %s\r\nTimeout-Remaining-Ms: 8000\r\n\r\n",
                    id);
  need (send_all (reader.fd, text, (size_t)n), "a request sent");
  read_answer (&reader, &answer, 3);
  need (answer.status == 200, "a first answer");
  id = unique_id ();
  while (now_s () < stopped_at + 0.9)
    sleep_ms (5);
  n = snprintf (text, sizeof text,
                "GET /s/sheet HTTP/1.1\r\nHost: h.example\r\n"
                "Attempt-Id: %s\r\nTimeout-Remaining-Ms: 8000\r\n\r\n",
                id);
  double sent_at = now_s ();
  need (send_all (reader.fd, text, (size_t)n), "a request sent");
  note ("client sends GET /s/sheet %s to %s on a kept connection, 8 s time "
        "budget",
        id, m1->name);
  read_answer (&reader, &answer, 8);
  bool right = answer.whole && answer.status == 200
               && answer.body_len == BODY_BYTES
               && memcmp (answer.body, body, BODY_BYTES) == 0;
  note ("client has %s: status %d, %zu of %d bytes%s, %.2f s after the "
        "request and %.2f s after the signal: %s",
        id, answer.status, answer.body_len, BODY_BYTES,
        answer.close ? ", Connection: close" : "", now_s () - sent_at,
        now_s () - stopped_at,
        right ? "whole" : "the connection ended without a complete answer");
  __sync_add_and_fetch (right ? &whole : &cut, 1);
  return NULL;
}

static void *
probe (void *arg)
{
  (void)arg;
  for (;;)
    {
      note ("platform asks %s: %s", m1->name,
            machine_is_ready (m1) ? "ready" : "not ready");
      sleep_ms (1000);
    }
  return NULL;
}

static void
run (void)
{
  pthread_t clients[CLIENTS], prober;
  body = malloc (BODY_BYTES);
  for (int i = 0; i < BODY_BYTES; i++)
    body[i] = (char)('a' + i % 26);
  table_start ();
  put_config (1, "viewer", "8s");
  m1 = machine_add ("bratislava-a", "viewer");
  m2 = machine_add ("trnava-b", "viewer");
  machine_start (m1);
  machine_start (m2);
  machine_wait_ready (m1);
  machine_wait_ready (m2);
  upstream_start (m1, "viewer", "i-1", serve);
  upstream_start (m2, "viewer", "i-2", serve);
  wait_served (m1, "h.example", "/s/warm");
  wait_served (m2, "h.example", "/s/warm");
  sleep_ms (4500); /* All machines are in touch.  */
  stopped_at = now_s () + 0.5;
  int ports[CLIENTS];
  for (int i = 0; i < CLIENTS; i++)
    {
      /* Each client has a link of its own.  */
      ports[i] = link_start (m1->callers, LINK_BYTES_PER_S);
      pthread_create (&clients[i], NULL, run_client, &ports[i]);
    }
  pthread_create (&prober, NULL, probe, NULL);
  while (now_s () < stopped_at)
    sleep_ms (5);
  if (trouble)
    {
      kill (m1->pid, SIGTERM);
      note ("the platform sends SIGTERM to %s", m1->name);
    }
  for (int i = 0; i < CLIENTS; i++)
    pthread_join (clients[i], NULL);
  if (trouble)
    {
      int status;
      while (now_s () < stopped_at + 6)
        {
          if (waitpid (m1->pid, &status, WNOHANG) == m1->pid)
            {
              note ("%s has ended, %.2f s after the signal", m1->name,
                    now_s () - stopped_at);
              m1->pid = 0;
              break;
            }
          sleep_ms (20);
        }
    }
  note ("%d of %d requests that were passed on ended without a complete "
        "answer; %d are whole",
        cut, CLIENTS, whole);
  need (trouble || whole == CLIENTS, "whole answers without the disruption");
  finish (cut ? 1 : 0);
}

int
main (int argc, char **argv)
{
  return rig_run (argc, argv, run);
}
