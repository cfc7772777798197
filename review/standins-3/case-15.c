/* Case 15: clients that have sent further requests on their connection leave.

     case-15 RECORD TABLE_PORT NODE_PORTS TROUBLE

   NODE_PORTS is the port before those of node 1; node N has 20 more each.  */
#include "kit.h"

#define NODES 2
#define CLIENTS 4
#define DEPTH depth
#define STAY_S 0.8   /* How long a client that leaves waits.  */
#define WORK_S 3.0   /* What a server takes for a request.  */
#define ALLOWED_S 0.5 /* GONE: half a second.  */
#define BUDGET_MS 9000

static server_t servers[NODES];
/* Requests that a client sends before the first answer.  */
static int depth = 10;

int
main (int argc, char **argv)
{
  if (argc != 5)
    return 2;
  open_record (argv[1]);
  int table = atoi (argv[2]), base = atoi (argv[3]);
  bool trouble = atoi (argv[4]);
  if (getenv ("DEPTH"))
    depth = atoi (getenv ("DEPTH"));
  static const char config[]
      = "{\"version\":\"00000001\",\"services\":{\"desk\":{\"healthPath\":"
        "\"/health\",\"maxConnections\":110,\"protocol\":\"h1\",\"tls\":false}"
        "},\"routes\":{\"r-1\":{\"host\":\"h.example\",\"prefix\":\"/d/\","
        "\"kind\":\"safe\",\"timeout\":\"9000ms\",\"targetLatency\":"
        "\"4000ms\",\"priority\":1,\"service\":\"desk\",\"maxAttempts\":2}},"
        "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,"
        "\"headerTimeout\":\"3000ms\",\"idleTimeout\":\"15000ms\"}}";
  note ("the operator writes a configuration: %d",
        put_operator_row (table, "config", config));
  for (int n = 0; n < NODES; n++)
    {
      static char names[NODES][16];
      snprintf (names[n], sizeof names[n], "i-%d", n + 1);
      int ports = base + 20 * (n + 1);
      servers[n] = (server_t){ .id = names[n],
                               .service = "desk",
                               .version = "v1",
                               .port = ports + 9,
                               .reports = ports + 3,
                               .slots = 12,
                               .work_s = 0.05 };
      await_ready (ports + 2);
      start_server (&servers[n]);
    }
  sleep_s (5); /* CONTACT, so that the machines are in touch.  */
  message_t *answer = calloc (1, sizeof *answer);
  int served = 0;
  for (int i = 0; i < 20; i++)
    {
      char fields[200];
      snprintf (fields, sizeof fields,
                "Host: h.example\r\nAttempt-Id: warm-%d\r\n"
                "Timeout-Remaining-Ms: 2000\r\n",
                i);
      char head[300];
      int fd = dial (base + 20 * (1 + i % NODES) + 1);
      int n = snprintf (head, sizeof head, "GET /d/x HTTP/1.1\r\n%s\r\n",
                        fields);
      answer->rest_len = 0;
      served += write_all (fd, head, (size_t)n)
                && read_message (fd, answer, now_s () + 3)
                && status_of (answer) == 200;
      close (fd);
    }
  note ("%d of 20 requests before the case are served", served);
  if (served < 20)
    return 2;
  for (int n = 0; n < NODES; n++)
    servers[n].work_s = WORK_S;
  int counted = 0, still = 0, late = 0;
  for (int c = 0; c < CLIENTS; c++)
    {
      char head[300];
      int fd = dial (base + 21), answered = 0;
      for (int i = 0; i < DEPTH; i++)
        {
          int n = snprintf (head, sizeof head,
                            "GET /d/%d HTTP/1.1\r\nHost: h.example\r\n"
                            "Attempt-Id: c%d-%d\r\n"
                            "Timeout-Remaining-Ms: %d\r\n\r\n",
                            i, c, i, BUDGET_MS);
          write_all (fd, head, (size_t)n);
        }
      note ("client %d sends %d safe requests on one connection", c, DEPTH);
      double left_at = 0;
      if (trouble)
        {
          sleep_s (STAY_S);
          close (fd);
          left_at = now_s ();
          note ("client %d closes its connection", c);
          sleep_s (ALLOWED_S);
        }
      else
        {
          answer->rest_len = 0;
          while (answered < DEPTH
                 && read_message (fd, answer, now_s () + BUDGET_MS / 1e3))
            answered += status_of (answer) == 200;
          note ("client %d has %d answers", c, answered);
          close (fd);
          left_at = now_s ();
          sleep_s (ALLOWED_S);
        }
      double judged_at = left_at + ALLOWED_S;
      char prefix[16];
      snprintf (prefix, sizeof prefix, "c%d-", c);
      pthread_mutex_lock (&runs_lock);
      for (int r = 0; r < run_count; r++)
        if (strncmp (runs[r].id, prefix, strlen (prefix)) == 0
            && runs[r].began <= judged_at && runs[r].would_end > judged_at)
          {
            bool works = !runs[r].ended || runs[r].ended > judged_at;
            counted++;
            still += works;
          }
      pthread_mutex_unlock (&runs_lock);
      note ("0.5 s after client %d left: %d of %d runs that would last so "
            "long are still at work, so far",
            c, still, counted);
      sleep_s (WORK_S + 1);
      pthread_mutex_lock (&runs_lock);
      for (int r = 0; r < run_count; r++)
        if (strncmp (runs[r].id, prefix, strlen (prefix)) == 0)
          {
            bool is_late = runs[r].began > judged_at;
            late += is_late;
            note ("  %s at %s from %.3f to %.3f%s%s", runs[r].id,
                  runs[r].server->id, runs[r].began - record_start,
                  runs[r].ended ? runs[r].ended - record_start : 0.0,
                  runs[r].broken_off ? ", broken off" : "",
                  is_late ? ", reached the server over 0.5 s after the client "
                            "had left"
                          : "");
          }
      pthread_mutex_unlock (&runs_lock);
    }
  bool broken = counted && still * 4 > counted;
  note ("GONE: %d of %d runs were still at work half a second after their "
        "client had left, %d reached a server later than that: %s",
        still, counted, late, broken ? "broken" : "held");
  if (trouble && !counted)
    return 2;
  return broken ? 1 : 0;
}
