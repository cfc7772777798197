/* Case 3.  Clients at two machines upload bodies that are within maxBodyBytes,
   at a steady rate; then the upstreams on three other machines turn slow,
   three times.  A machine has 260 MB.  */
#include "rig.h"

#include <pthread.h>
#include <stdlib.h>
#include <string.h>

#define BODY_BYTES (20 * 1000 * 1000)
#define UPLOADS_PER_S 4 /* At each of the two machines: 640 Mbit/s.  */
#define WORK_MS 560
#define SLOW_X 5
#define SLOW_FOR_S 6.5
#define SLOW_TIMES 3
#define QUIET_S 6.0

static char *body;
static volatile bool slow;
/* Where clients upload; the upstreams beside them get no uploads.  */
static machine_t *m1, *m2;
static volatile bool done;
static int sent, served, refused, failed, open_now;

static bool
serve (upstream_t *upstream, request_t *request, int fd)
{
  if (strcmp (request->path, "/u/up"))
    return upstream_answer (request, fd, "warm", 4, false);
  note ("upstream %s runs %s", upstream->instance, request->id);
  sleep_ms (slow ? WORK_MS * SLOW_X : WORK_MS);
  bool answered = upstream_answer (request, fd, "taken", 5, false);
  note ("upstream %s has answered %s with 200", upstream->instance,
        request->id);
  return answered;
}

static void *
upload (void *arg)
{
  machine_t *m = arg;
  char text[400], *id = unique_id ();
  reader_t reader;
  answer_t answer = { 0 };
  __sync_add_and_fetch (&sent, 1);
  note ("client sends POST /u/up %s to %s, %d bytes", id, m->name, BODY_BYTES);
  __sync_add_and_fetch (&open_now, 1);
  reader_init (&reader, connect_port (m->callers));
  int n = snprintf (text, sizeof text,
                    "POST /u/up HTTP/1.1\r\nHost: h.example\r\n"
                    "Attempt-Id: %s\r\nTimeout-Remaining-Ms: 6000\r\n"
                    "Content-Length: %d\r\n\r\n",
                    id, BODY_BYTES);
  bool written = reader.fd >= 0 && send_all (reader.fd, text, (size_t)n)
                 && send_all (reader.fd, body, BODY_BYTES);
  if (reader.fd >= 0)
    {
      read_answer (&reader, &answer, 6.5);
      reader_clear (&reader);
    }
  if (answer.status)
    note ("client has for %s: status %d", id, answer.status);
  if (answer.status == 200)
    __sync_add_and_fetch (&served, 1);
  else if (answer.status)
    __sync_add_and_fetch (&refused, 1);
  else
    {
      __sync_add_and_fetch (&failed, 1);
      note ("upload %s at %s: %s", id, m->name,
            written ? "read, and the connection ended without an answer"
                    : "the connection ended while it was sent");
    }
  free (answer.body);
  free (id);
  __sync_add_and_fetch (&open_now, -1);
  return NULL;
}

static void *
send_uploads (void *arg)
{
  while (!done)
    {
      for (int i = 0; i < 2; i++)
        {
          pthread_t thread;
          /* Clients send to a machine that the platform finds ready.  */
          if (machine_is_ready (&machines[i]) && open_now < 60
              && pthread_create (&thread, NULL, upload, &machines[i]) == 0)
            pthread_detach (thread);
        }
      sleep_ms (1000 / UPLOADS_PER_S);
    }
  return arg;
}

static void
tell (const char *what)
{
  note ("%s: %d uploads sent, %d served, %d answered otherwise, %d without an "
        "answer; %s at most %ld kB, %d ends; %s at most %ld kB, %d ends",
        what, sent, served, refused, failed, m1->name, m1->peak_kb,
        m1->memory_kills, m2->name, m2->peak_kb, m2->memory_kills);
}

static void
run (void)
{
  pthread_t sender;
  body = malloc (BODY_BYTES);
  memset (body, 'u', BODY_BYTES);
  table_start ();
  put_config (1, "fixdesk", "6s");
  m1 = machine_add ("bratislava-a", "other");
  m2 = machine_add ("trnava-b", "other");
  for (int i = 0; i < 3; i++)
    machine_add (i ? "trnava-b" : "bratislava-a", "fixdesk");
  for (int i = 0; i < machine_count; i++)
    {
      machines[i].memory_mb = 260;
      machine_start (&machines[i]);
    }
  for (int i = 0; i < machine_count; i++)
    machine_wait_ready (&machines[i]);
  for (int i = 0; i < machine_count; i++)
    {
      char name[16];
      snprintf (name, sizeof name, "i-%d", i + 1);
      upstream_start (&machines[i], machines[i].service, name, serve);
    }
  wait_served (m1, "h.example", "/s/warm");
  wait_served (m2, "h.example", "/s/warm");
  memory_watch_start ();
  pthread_create (&sender, NULL, send_uploads, NULL);
  sleep_ms ((int)(QUIET_S * 1e3));
  tell ("before");
  for (int i = 0; i < SLOW_TIMES; i++)
    {
      if (trouble)
        note ("the upstreams turn slow, %d times as long", SLOW_X);
      slow = trouble;
      sleep_ms ((int)(SLOW_FOR_S * 1e3));
      slow = false;
      tell (trouble ? "they are as before" : "no disruption");
      sleep_ms ((int)(QUIET_S * 1e3));
    }
  done = true;
  tell ("at the end");
  finish (m1->memory_kills >= 3 && m2->memory_kills >= 3 ? 1 : 0);
}

int
main (int argc, char **argv)
{
  return rig_run (argc, argv, run);
}
