/* A variant of case 2.  A client's node freezes for two seconds while it hands
   over an answer that has no length and ends with its connection.  */
#include "rig.h"

#include <signal.h>
#include <stdlib.h>
#include <string.h>

#define BODY_BYTES (2000 * 1000)
#define LINK_BYTES_PER_S (20e6 / 8) /* linkMbps 20.  */
#define ROUNDS 3
#define FREEZE_MS 2000

static char *body;

static bool
serve (upstream_t *upstream, request_t *request, int fd)
{
  (void)upstream;
  if (!strcmp (request->path, "/s/warm"))
    return upstream_answer (request, fd, "warm", 4, false);
  bool sent = upstream_answer (request, fd, body, BODY_BYTES, true);
  (void)sent;
  note ("upstream runs %s and answers 200, %d bytes, no length, then ends the "
        "connection",
        request->id, BODY_BYTES);
  return false;
}

static void
run (void)
{
  int broken = 0, whole = 0;
  body = malloc (BODY_BYTES);
  for (int i = 0; i < BODY_BYTES; i++)
    body[i] = (char)('a' + i % 26);
  table_start ();
  put_config (1, "viewer", "8s");
  machine_t *m1 = machine_add ("bratislava-a", "viewer");
  machine_t *m2 = machine_add ("trnava-b", "viewer");
  machine_start (m1);
  machine_start (m2);
  machine_wait_ready (m1);
  machine_wait_ready (m2);
  upstream_start (m1, "viewer", "i-1", serve);
  upstream_start (m2, "viewer", "i-2", serve);
  wait_served (m1, "h.example", "/s/warm");
  wait_served (m2, "h.example", "/s/warm");
  int link = link_start (m1->callers, LINK_BYTES_PER_S);
  for (int round = 0; round < ROUNDS; round++)
    {
      char text[400], *id = unique_id ();
      reader_t reader;
      answer_t answer;
      sleep_ms (1000);
      reader_init (&reader, connect_port (link));
      need (reader.fd >= 0, "a connection");
      int n = snprintf (text, sizeof text,
                        "GET /s/sheet HTTP/1.1\r\nHost: h.example\r\n"
                        "Attempt-Id: %s\r\nTimeout-Remaining-Ms: 8000\r\n\r\n",
                        id);
      need (send_all (reader.fd, text, (size_t)n), "a request sent");
      note ("client sends GET /s/sheet %s to %s", id, m1->name);
      sleep_ms (200);
      if (trouble)
        {
          kill (m1->pid, SIGSTOP);
          note ("%s freezes", m1->name);
          sleep_ms (FREEZE_MS);
          kill (m1->pid, SIGCONT);
          note ("%s wakes", m1->name);
        }
      read_answer (&reader, &answer, 8);
      note ("client gets %s: status %d, %s, %zu of %d bytes; the connection "
            "%s, so the answer %s",
            answer.id, answer.status,
            answer.has_length ? "with a length" : "without a length",
            answer.body_len, BODY_BYTES,
            answer.reset ? "is reset" : "ends in order",
            answer.whole ? "looks complete" : "is known to be cut");
      bool right = answer.body_len == BODY_BYTES
                   && memcmp (answer.body, body, BODY_BYTES) == 0;
      if (answer.status == 200 && answer.whole && !right)
        broken++;
      whole += answer.status == 200 && answer.whole && right;
      free (answer.body);
      reader_clear (&reader);
      free (id);
    }
  note ("%d of %d successes look complete and are not the whole body; %d are "
        "whole",
        broken, ROUNDS, whole);
  need (trouble || whole == ROUNDS, "whole answers without the disruption");
  finish (broken ? 1 : 0);
}

int
main (int argc, char **argv)
{
  return rig_run (argc, argv, run);
}
