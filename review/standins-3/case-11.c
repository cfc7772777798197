/* Case 11: a crowd of callers with chunked bodies, and the memory of a node.

     case-11 RECORD TABLE_PORT NODE_PORTS TROUBLE NODE_PID MEMORY_MB

   NODE_PORTS is the port before those of node 1; node N has 20 more each.
   What run.sh does is asked for on standard output, a word a line, and
   confirmed by a line on standard input.  */
#include "kit.h"

#define NODES 2
#define CONTACT_S 4.0
#define CROWD_S 9.0
#define ORDINARY 20

static server_t servers[NODES];

static void
ask (const char *what)
{
  char line[80];
  puts (what);
  fflush (stdout);
  if (!fgets (line, sizeof line, stdin))
    exit (2);
}

/* A line of /proc/PID/status, in kB; -1 if the process has ended.  */
static long
memory_kb (int pid, const char *name)
{
  char path[64], line[200];
  long kb = -1;
  snprintf (path, sizeof path, "/proc/%d/status", pid);
  FILE *file = fopen (path, "r");
  while (file && fgets (line, sizeof line, file))
    if (strncmp (line, name, strlen (name)) == 0)
      kb = atol (line + strlen (name) + 1);
  if (file)
    fclose (file);
  return kb;
}

/* The number of ordinary requests to node 1 that are answered 200.  */
static int
ordinary_requests (int callers)
{
  message_t *answer = calloc (1, sizeof *answer);
  int served = 0;
  for (int i = 0; i < ORDINARY; i++)
    {
      static int count;
      char head[300];
      int fd = dial (callers);
      int n = snprintf (head, sizeof head,
                        "POST /d/x HTTP/1.1\r\nHost: h\r\n"
                        "Attempt-Id: o-%d\r\nTimeout-Remaining-Ms: 1500\r\n"
                        "Content-Length: 0\r\nConnection: close\r\n\r\n",
                        count++);
      answer->rest_len = 0;
      served += fd >= 0 && write_all (fd, head, (size_t)n)
                && read_message (fd, answer, now_s () + 1.5)
                && status_of (answer) == 200;
      if (fd >= 0)
        close (fd);
    }
  free (answer);
  return served;
}

int
main (int argc, char **argv)
{
  if (argc != 7)
    return 2;
  open_record (argv[1]);
  int table = atoi (argv[2]), base = atoi (argv[3]), pid = atoi (argv[5]);
  bool trouble = atoi (argv[4]);
  long limit_kb = atol (argv[6]) * 1024, most_kb = 0;
  static const char config[]
      = "{\"version\":\"00000001\",\"services\":{\"desk\":{\"healthPath\":"
        "\"/health\",\"maxConnections\":550,\"protocol\":\"h1\",\"tls\":false}"
        "},\"routes\":{\"r-1\":{\"host\":\"h\",\"prefix\":\"/\",\"kind\":"
        "\"upload\",\"timeout\":\"2000ms\",\"targetLatency\":\"800ms\","
        "\"priority\":1,\"service\":\"desk\",\"maxAttempts\":2}},\"limits\":{"
        "\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,"
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
                               .reports = ports + 3, .slots = 6,
                               .work_s = 0.005 };
      await_ready (ports + 2);
      start_server (&servers[n]);
    }
  sleep_s (CONTACT_S + 1);
  note ("%d of %d ordinary requests are served; node 1 has %ld kB",
        ordinary_requests (base + 21), ORDINARY, memory_kb (pid, "VmRSS:"));
  if (trouble)
    {
      ask ("crowd");
      note ("a crowd begins");
    }
  for (double until = now_s () + CROWD_S, at = 0; now_s () < until;
       sleep_s (0.05))
    {
      long kb = memory_kb (pid, "VmRSS:");
      if (kb < 0)
        {
          note ("node 1 has ended");
          break;
        }
      most_kb = kb > most_kb ? kb : most_kb;
      if (now_s () - at >= 0.5)
        {
          at = now_s ();
          note ("node 1 has %ld kB", kb);
        }
    }
  note ("%d of %d ordinary requests are served",
        ordinary_requests (base + 21), ORDINARY);
  bool broken = memory_kb (pid, "VmRSS:") < 0 || most_kb > limit_kb;
  note ("Fault: node 1 had up to %ld kB resident; its machine has %ld kB: %s",
        most_kb, limit_kb, broken ? "broken" : "held");
  return broken ? 1 : 0;
}
