/* Case 1.  A faulty upstream sends, for 3 in 100 of its answers, a second
   answer late: where the next answer on that connection is expected.  That
   second answer has no length and ends with its connection.  */
#include "rig.h"

#include <pthread.h>
#include <stdlib.h>
#include <string.h>

#define CLIENTS 4
#define SECONDS 5.0 /* How long the upstream is faulty.  */
#define WORK_MS 8
#define PAUSE_MS 12 /* Of a client between two requests.  */

static machine_t *m1, *m2;
static volatile bool faulty;
static volatile int answers, extras;
static int foreign_safe, foreign_unsafe, right_ones, failures;
static double until;

/* The request of which this connection still owes a second answer.  */
static __thread char owed[128];

static bool
serve (upstream_t *upstream, request_t *request, int fd)
{
  char text[200];
  if (!strcmp (request->path, "/s/warm"))
    return upstream_answer (request, fd, "warm", 4, false);
  if (owed[0])
    {
      request_t earlier = { .head = NULL };
      snprintf (earlier.id, sizeof earlier.id, "%s", owed);
      int n = snprintf (text, sizeof text, "the body of %s", owed);
      note ("upstream %s, with %s %s read and not run, sends a second answer "
            "to %s, without a length, and ends the connection",
            upstream->instance, request->path, request->id, owed);
      owed[0] = '\0';
      __sync_add_and_fetch (&extras, 1);
      return upstream_answer (&earlier, fd, text, (size_t)n, true);
    }
  note ("upstream %s runs %s %s", upstream->instance, request->path,
        request->id);
  sleep_ms (WORK_MS);
  int n = snprintf (text, sizeof text, "the body of %s", request->id);
  if (faulty && !strcmp (upstream->instance, "i-1")
      && __sync_add_and_fetch (&answers, 1) % 33 == 0)
    snprintf (owed, sizeof owed, "%s", request->id);
  return upstream_answer (request, fd, text, (size_t)n, false);
}

static void *
run_client (void *arg)
{
  int number = *(int *)arg;
  reader_t reader = { .fd = -1 };
  for (int i = 0; now_s () < until; i++)
    {
      bool unsafe = (i + number) % 2;
      char text[400], body[200], *id = unique_id ();
      answer_t answer;
      if (reader.fd < 0)
        reader_init (&reader, connect_port (m1->callers));
      need (reader.fd >= 0, "a connection");
      int n = snprintf (text, sizeof text,
                        "%s HTTP/1.1\r\nHost: h.example\r\n"
                        "Attempt-Id: %s\r\nTimeout-Remaining-Ms: 2000\r\n"
                        "%s\r\n",
                        unsafe ? "POST /u/checkout" : "GET /s/sheet", id,
                        unsafe ? "Content-Length: 0\r\n" : "");
      need (send_all (reader.fd, text, (size_t)n), "a request sent");
      note ("client sends %s %s", unsafe ? "POST /u/checkout" : "GET /s/sheet",
            id);
      read_answer (&reader, &answer, 3);
      snprintf (body, sizeof body, "the body of %s", id);
      bool right = answer.body_len == strlen (body)
                   && memcmp (answer.body, body, answer.body_len) == 0;
      if (answer.status == 200 && answer.whole && right)
        {
          __sync_add_and_fetch (&right_ones, 1);
          note ("client has for %s: status 200, its own whole body", id);
        }
      else if (answer.status == 200 && answer.whole)
        {
          __sync_add_and_fetch (unsafe ? &foreign_unsafe : &foreign_safe, 1);
          note (
              "client has for %s %s: status 200, Attempt-Id %s, body \"%.*s\"",
              unsafe ? "POST /u/checkout" : "GET /s/sheet", id, answer.id,
              (int)answer.body_len, answer.body);
        }
      else
        {
          __sync_add_and_fetch (&failures, 1);
          note ("client has for %s: status %d", id, answer.status);
        }
      bool closed = answer.close || !answer.status || !answer.whole;
      free (answer.body);
      free (id);
      if (closed)
        reader_clear (&reader);
      sleep_ms (PAUSE_MS);
    }
  return NULL;
}

static void
run (void)
{
  pthread_t clients[CLIENTS];
  int numbers[CLIENTS];
  table_start ();
  put_config (1, "viewer", "2s");
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
  sleep_ms (4500);
  until = now_s () + SECONDS;
  faulty = trouble;
  for (int i = 0; i < CLIENTS; i++)
    {
      numbers[i] = i;
      pthread_create (&clients[i], NULL, run_client, &numbers[i]);
    }
  for (int i = 0; i < CLIENTS; i++)
    pthread_join (clients[i], NULL);
  note ("%d answers of the faulty upstream, %d late second answers; clients "
        "had %d right answers, %d failures, and answers of other requests: %d "
        "to safe and %d to unsafe ones",
        answers, extras, right_ones, failures, foreign_safe, foreign_unsafe);
  need (right_ones > 50, "requests that are served");
  finish (foreign_safe + foreign_unsafe ? 1 : 0);
}

int
main (int argc, char **argv)
{
  return rig_run (argc, argv, run);
}
