/* A variant of case 1.  A faulty upstream sends, for 3 in 100 of its answers,
   a second answer late: where the next answer on that connection is expected.
   That second answer has no length and ends with its connection.  Here the
   answers are rejections of an upstream that is full.  */
#include "rig.h"

#include <pthread.h>
#include <stdlib.h>
#include <string.h>

#define CLIENTS 4
#define SECONDS 5.0 /* How long the upstream is faulty.  */
#define WORK_MS 8

static machine_t *m1, *m2;
static volatile bool faulty;
static volatile int answers, extras;
static int foreign_safe, foreign_unsafe, right_ones, failures;
static double until;

/* The request of which this connection still owes a second answer.  */
static __thread char owed[128];

static volatile int arrivals, owed_count;
static char unsafe_ids[65536][32];
static int unsafe_count, twice;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;

/* UPSTREAM begins to run REQUEST.  */
static void
ran (const upstream_t *upstream, const request_t *request)
{
  if (strncmp (request->path, "/u/", 3))
    return;
  pthread_mutex_lock (&lock);
  for (int i = 0; i < unsafe_count; i++)
    if (!strcmp (unsafe_ids[i], request->id))
      {
        twice++;
        note ("upstream %s runs %s %s, which has run before",
              upstream->instance, request->path, request->id);
        break;
      }
  if (unsafe_count < 65536)
    snprintf (unsafe_ids[unsafe_count++], 32, "%.31s", request->id);
  pthread_mutex_unlock (&lock);
}

static bool
serve (upstream_t *upstream, request_t *request, int fd)
{
  char text[200];
  if (!strcmp (request->path, "/s/warm"))
    return upstream_answer (request, fd, "warm", 4, false);
  if (owed[0])
    {
      ran (upstream, request);
      note ("upstream %s runs %s %s and sends meanwhile the rejection of %s "
            "once more, without a length; its connection ends",
            upstream->instance, request->path, request->id, owed);
      int n = snprintf (text, sizeof text,
                        "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\n"
                        "Attempt-Id: %s\r\nConnection: close\r\n\r\n",
                        owed);
      owed[0] = '\0';
      __sync_add_and_fetch (&extras, 1);
      send_all (fd, text, (size_t)n);
      return false;
    }
  /* It is full at times.  */
  if (!strcmp (upstream->instance, "i-1")
      && __sync_add_and_fetch (&arrivals, 1) % 8 == 0)
    {
      int n = snprintf (text, sizeof text,
                        "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\n"
                        "Attempt-Id: %s\r\nContent-Length: 0\r\n\r\n",
                        request->id);
      __sync_add_and_fetch (&answers, 1);
      /* 3 in 100 of all its answers.  */
      if (faulty && answers / 34 > owed_count)
        {
          owed_count++;
          snprintf (owed, sizeof owed, "%s", request->id);
        }
      return send_all (fd, text, (size_t)n);
    }
  ran (upstream, request);
  sleep_ms (WORK_MS);
  int n = snprintf (text, sizeof text, "the body of %s", request->id);
  if (!strcmp (upstream->instance, "i-1"))
    __sync_add_and_fetch (&answers, 1);
  if (false && !strcmp (upstream->instance, "i-1")
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
      read_answer (&reader, &answer, 3);
      snprintf (body, sizeof body, "the body of %s", id);
      bool right = answer.body_len == strlen (body)
                   && memcmp (answer.body, body, answer.body_len) == 0;
      if (answer.status == 200 && answer.whole && right)
        __sync_add_and_fetch (&right_ones, 1);
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
  need (right_ones > 100, "requests that are served");
  note ("%d unsafe requests ran more than once", twice);
  finish (twice ? 1 : 0);
}

int
main (int argc, char **argv)
{
  return rig_run (argc, argv, run);
}
