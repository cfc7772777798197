/* Case 13: a backend server leaves while the store is down, and the node that
   acknowledged it is killed.

     case-13 RECORD TABLE_PORT NODE_PORTS TROUBLE

   NODE_PORTS is the port before those of node 1; node N has 20 more each.
   What run.sh does is asked for on standard output, a word a line, and
   confirmed by a line on standard input.  */
#include "kit.h"

#define NODES 2
#define CONTACT_S 4.0
#define DRAIN_S 2.5
#define STORE_DOWN_S 4.5
#define LATE_S 3.0  /* So much later a status report arrives.  */
#define SERVES_ON_S 14.0
#define PER_S 50

static server_t servers[NODES];
static way_t way;
static int callers;
static volatile bool stop;

typedef struct
{
  double sent_at;
  int status;
} sent_t;

static sent_t sent[RUNS_MAX];
static int sent_count;

static void *
send_steadily (void *arg)
{
  message_t *answer = calloc (1, sizeof *answer);
  double start = now_s ();
  (void)arg;
  for (int i = 0; !stop && i < RUNS_MAX; i++)
    {
      char head[300];
      sleep_until (start + (double)i / PER_S);
      int fd = dial (callers);
      int n = snprintf (head, sizeof head,
                        "GET /d/x HTTP/1.1\r\nHost: h.example\r\n"
                        "Attempt-Id: a-%d\r\nTimeout-Remaining-Ms: 1500\r\n"
                        "Connection: close\r\n\r\n",
                        i);
      sent[i].sent_at = now_s ();
      answer->rest_len = 0;
      if (fd >= 0 && write_all (fd, head, (size_t)n)
          && read_message (fd, answer, now_s () + 1.5))
        sent[i].status = status_of (answer);
      sent_count = i + 1;
      close (fd);
    }
  return NULL;
}

static void
ask (const char *what)
{
  char line[80];
  puts (what);
  fflush (stdout);
  if (!fgets (line, sizeof line, stdin))
    exit (2);
  note ("%s", what);
}

int
main (int argc, char **argv)
{
  if (argc != 5)
    return 2;
  open_record (argv[1]);
  int table = atoi (argv[2]), base = atoi (argv[3]);
  bool trouble = atoi (argv[4]);
  callers = base + 20 * 2 + 1;
  way = (way_t){ .port = base + 10, .table = table };
  start_thread (accept_way, &way);
  static const char config[]
      = "{\"version\":\"00000001\",\"services\":{\"desk\":{\"healthPath\":"
        "\"/health\",\"maxConnections\":110,\"protocol\":\"h1\",\"tls\":false}"
        "},\"routes\":{\"r-1\":{\"host\":\"h.example\",\"prefix\":\"/d/\","
        "\"kind\":\"unsafe\",\"timeout\":\"1500ms\",\"targetLatency\":"
        "\"400ms\",\"priority\":1,\"service\":\"desk\",\"maxAttempts\":2}},"
        "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,"
        "\"headerTimeout\":\"3000ms\",\"idleTimeout\":\"15000ms\"}}";
  note ("the operator writes a configuration: %d",
        put_operator_row (table, "config", config));
  for (int n = 0; n < NODES; n++)
    {
      static char names[NODES][16];
      snprintf (names[n], sizeof names[n], "i-%d", n + 1);
      int ports = base + 20 * (n + 1);
      servers[n] = (server_t){ .id = names[n], .service = "desk",
                               .version = "v1", .port = ports + 9,
                               .reports = ports + 3, .slots = 12,
                               .work_s = 0.02 };
      await_ready (ports + 2);
      start_server (&servers[n]);
    }
  sleep_s (CONTACT_S + 1);
  start_thread (send_steadily, NULL);
  sleep_s (2);
  server_t *leaving = &servers[0];
  way.down = trouble;
  if (trouble)
    note ("the store is down: it resets all connections");
  double down_at = now_s ();
  sleep_s (0.3);
  /* A report that was sent now and arrives late.  */
  leaving->silent = true;
  sleep_s (0.2);
  int late_sequence = ++leaving->sequence;
  double report_sent_at = now_s ();
  note ("%s sends a status report (ready, sequence %d), which is late",
        leaving->id, late_sequence);
  sleep_s (0.1);
  int status = send_leave (leaving);
  double acked_at = now_s ();
  note ("%s sends DELETE, with no draining before: %d; it serves on for %.0f s",
        leaving->id, status, SERVES_ON_S);
  if (status != 200)
    return 2;
  sleep_s (0.4);
  if (trouble)
    ask ("kill-1");
  sleep_s (0.3);
  if (trouble)
    ask ("start-1");
  double started_at = now_s ();
  sleep_until (report_sent_at + LATE_S);
  note ("the late status report arrives: %d",
        send_report (leaving, "ready", late_sequence));
  sleep_until (down_at + STORE_DOWN_S);
  way.down = false;
  if (trouble)
    note ("the store is back");
  double up_at = now_s ();
  sleep_until (acked_at + SERVES_ON_S);
  stop = true;
  sleep_s (1);
  /* Requests that were sent when all machines were in touch again, and later
     than DRAIN after the acknowledgement.  */
  double from = (started_at > up_at ? started_at : up_at) + CONTACT_S;
  if (from < acked_at + DRAIN_S)
    from = acked_at + DRAIN_S;
  int broken = 0, others = 0, earlier = 0;
  pthread_mutex_lock (&runs_lock);
  for (int r = 0; r < run_count; r++)
    {
      int i = atoi (runs[r].id + 2);
      if (strncmp (runs[r].id, "a-", 2) != 0 || i >= sent_count)
        continue;
      bool counts = sent[i].sent_at > from;
      if (runs[r].server != leaving)
        others += counts;
      else if (counts)
        {
          if (broken++ < 10)
            note ("request a-%d, sent at %.3f, reaches %s at %.3f", i,
                  sent[i].sent_at - record_start, leaving->id,
                  runs[r].began - record_start);
        }
      else if (sent[i].sent_at > acked_at + DRAIN_S)
        earlier++;
    }
  pthread_mutex_unlock (&runs_lock);
  note ("between DRAIN and the time when all are in touch again, %d more reach "
        "it",
        earlier);
  note ("DRAIN: of the requests sent from %.3f on, %d reach the server that "
        "has left and %d the other one: %s",
        from - record_start, broken, others, broken ? "broken" : "held");
  if (!others)
    return 2;
  return broken ? 1 : 0;
}
