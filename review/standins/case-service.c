/* Case 5.  The upstream beside a machine ends, its address goes to an upstream
   of another service, and the machine's settings file says so, with SIGHUP. */
#include "rig.h"

#include <signal.h>
#include <stdlib.h>
#include <string.h>

#define REQUESTS 10

static machine_t *m1, *m2;
static const char *expected = "viewer";
static int wrong, right;

static bool
serve (upstream_t *upstream, request_t *request, int fd)
{
  if (strncmp (request->path, "/s/call", 7) == 0)
    {
      bool is_right = strcmp (request->caller_service, expected) == 0;
      __sync_add_and_fetch (is_right ? &right : &wrong, 1);
      note (
          "upstream %s of %s runs %s with Caller-Service: %s; the service of "
          "the machine where it began is %s",
          upstream->instance, upstream->service, request->id,
          request->caller_service, expected);
    }
  return upstream_answer (request, fd, "done", 4, false);
}

static void
run (void)
{
  table_start ();
  put_config (1, "desk", "2s");
  m1 = machine_add ("bratislava-a", "viewer");
  m2 = machine_add ("trnava-b", "desk");
  machine_start (m1);
  machine_start (m2);
  machine_wait_ready (m1);
  machine_wait_ready (m2);
  upstream_t *old = upstream_start (m1, "viewer", "i-1", serve);
  upstream_start (m2, "desk", "i-2", serve);
  wait_served (m1, "h.example", "/s/warm");
  sleep_ms (4500);
  if (trouble)
    {
      upstream_end (old);
      sleep_ms (2500); /* reuseAfter is 2 s.  */
      snprintf (m1->service, sizeof m1->service, "other");
      machine_write_settings (m1);
      kill (m1->pid, SIGHUP);
      note ("the settings of %s name the service other; SIGHUP", m1->name);
      upstream_start (m1, "other", "i-9", serve);
      expected = "other";
    }
  sleep_ms (6000); /* Over configApply, and contact again.  */
  for (int i = 0; i < REQUESTS; i++)
    {
      char text[400], *id = unique_id ();
      answer_t answer;
      reader_t reader;
      reader_init (&reader, connect_port (m1->callers));
      need (reader.fd >= 0, "a connection");
      int n = snprintf (text, sizeof text,
                        "GET /s/call HTTP/1.1\r\nHost: h.example\r\n"
                        "Attempt-Id: %s\r\nTimeout-Remaining-Ms: 2000\r\n\r\n",
                        id);
      need (send_all (reader.fd, text, (size_t)n), "a request sent");
      read_answer (&reader, &answer, 3);
      note ("client at %s has %s: status %d", m1->name, id, answer.status);
      free (answer.body);
      reader_clear (&reader);
      free (id);
      sleep_ms (50);
    }
  note ("%d requests ran with another service's name, %d with the right one",
        wrong, right);
  need (right + wrong == REQUESTS, "requests that run");
  finish (wrong ? 1 : 0);
}

int
main (int argc, char **argv)
{
  return rig_run (argc, argv, run);
}
