/* A twentieth of the answers of one of two servers has no length, and clients
   read large answers steadily.  Without the disruption all answers have a
   length; with READER=fast the clients read them at once.  */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "rig.h"

#define ANSWER_BYTES 12000000
#define LARGE 6         /* Requests for large answers, ...  */
#define LARGE_EVERY 0.6 /* ... one after so many seconds.  */
#define UNFRAMED_PART 0.05
#define STEP 20000  /* Bytes that a client reads at once, ...  */
#define PAUSE_MS 20 /* ... and the pause after: some 1 MB a second.  */

static const char config[]
    = "{\"version\": \"00000001\","
      " \"services\": {\"desk\": {\"healthPath\": \"/health\"}},"
      " \"routes\": {\"d\": {\"host\": \"desk.example\", \"prefix\": \"/d/\","
      " \"kind\": \"safe\", \"timeout\": \"2s\", \"targetLatency\": \"1s\","
      " \"priority\": 1, \"service\": \"desk\", \"maxAttempts\": 2}},"
      " \"limits\": {\"maxHeaderBytes\": 16384, \"maxBodyBytes\": 1000000,"
      " \"headerTimeout\": \"3s\", \"idleTimeout\": \"15s\"}}";

static bool fast;
static volatile int ended, whole, cut, false_whole;

static void *
read_answer (void *user)
{
  char fields[128], id[24];
  rig_conn_t *conn = malloc (sizeof *conn);
  rig_answer_t answer = { 0 };
  (void)user;
  rig_new_id (id);
  snprintf (fields, sizeof fields,
            "Attempt-Id: %s\r\nTimeout-Remaining-Ms: 2000\r\n", id);
  double sent_at = rig_now ();
  if (rig_connect (conn, rig_port (1, PORT_CALLERS), 8))
    rig_exchange (conn, "GET", "/d/large", fields, NULL, fast ? 0 : STEP,
                  fast ? 0 : PAUSE_MS, &answer);
  rig_close (conn);
  rig_note_request (id, 1, "large", sent_at, answer.status, answer.whole);
  bool all = answer.length == ANSWER_BYTES;
  rig_record ("request %s: status %d, %s, %zu of %d bytes, %s", id,
              answer.status, answer.has_length ? "with a length" : "no length",
              answer.length, ANSWER_BYTES,
              answer.whole ? "ends in order" : "breaks off");
  __atomic_add_fetch (&whole, answer.status == 200 && answer.whole && all, 5);
  __atomic_add_fetch (&cut, !answer.whole, 5);
  __atomic_add_fetch (&false_whole,
                      answer.status == 200 && answer.whole && !all, 5);
  __atomic_add_fetch (&ended, 1, 5);
  free (conn);
  return NULL;
}

static volatile bool over;
static volatile int small_answers;

/* The usual requests: their answers are short and have a length.  */
static void *
send_small (void *user)
{
  char fields[128], id[24];
  rig_conn_t *conn = malloc (sizeof *conn);
  rig_answer_t answer;
  (void)user;
  conn->fd = -1;
  while (!over)
    {
      rig_new_id (id);
      snprintf (fields, sizeof fields,
                "Attempt-Id: %s\r\nTimeout-Remaining-Ms: 2000\r\n", id);
      answer = (rig_answer_t){ 0 };
      double sent_at = rig_now ();
      if (conn->fd >= 0 || rig_connect (conn, rig_port (1, PORT_CALLERS), 4))
        rig_exchange (conn, "GET", "/d/x", fields, NULL, 0, 0, &answer);
      rig_note_request (id, 1, "small", sent_at, answer.status, answer.whole);
      if (!answer.whole || answer.closes)
        rig_close (conn);
      __atomic_add_fetch (&small_answers, answer.status == 200 && answer.whole,
                          5);
      rig_sleep (0.03);
    }
  free (conn);
  return NULL;
}

int
main (int argc, char **argv)
{
  static rig_server_t servers[2];
  const char *reader = getenv ("READER");
  fast = reader && strcmp (reader, "fast") == 0;
  rig_begin (argc > 1 ? argv[1] : "record.txt", 2);
  for (int i = 0; i < 2; i++)
    {
      rig_start_node (i + 1, true, NULL);
      servers[i] = (rig_server_t){ .node = i + 1,
                                   .version = "v1",
                                   .work_ms = 20,
                                   .large_bytes = ANSWER_BYTES };
      snprintf (servers[i].instance, 32, "i-%d", i + 1);
      rig_start_server (&servers[i]);
    }
  rig_put_row ("config", config);
  for (int i = 0; i < 2; i++)
    {
      rig_await_ready (i + 1);
      rig_record ("report of %s: %d", servers[i].instance,
                  rig_report (&servers[i], "ready"));
    }
  rig_sleep (1.5);
  for (int i = 0; i < 4; i++)
    rig_thread (send_small, NULL);
  rig_sleep (2);
  if (rig_trouble ())
    servers[0].unframed_part = UNFRAMED_PART;
  for (int i = 0; i < LARGE; i++)
    {
      rig_thread (read_answer, NULL);
      rig_sleep (LARGE_EVERY);
    }
  for (int i = 0; i < 500 && ended < LARGE; i++)
    {
      rig_sleep (0.1);
      if (i % 10 == 0)
        for (int s = 0; s < 2; s++)
          rig_report (&servers[s], "ready");
    }
  over = true;
  rig_sleep (0.3);
  rig_record_requests (0, 1e9, false);
  rig_record ("i-1 ran %d requests, %d of its answers had no length; i-2 ran "
              "%d, %d",
              servers[0].run_count, servers[0].unframed_count,
              servers[1].run_count, servers[1].unframed_count);
  rig_record ("short answers: %d whole", small_answers);
  rig_record ("large answers: %d whole, %d broken off, %d cut but ended in "
              "order",
              whole, cut, false_whole);
  if (small_answers < 100 || whole + cut + false_whole < LARGE - 1)
    rig_end (2);
  rig_record (false_whole ? "BROKEN: MIXED" : "held");
  rig_end (false_whole ? 1 : 0);
}
