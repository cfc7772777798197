/* Case 12: a node starts beside a drill, and a key that was taken away.

     case-12 RECORD TABLE_PORT NODE_PORTS TROUBLE

   NODE_PORTS is the port before those of node 1; node N has 20 more each.
   What run.sh does is asked for on standard output, a word a line, and
   confirmed by a line on standard input.  */
#include "kit.h"

#define NODES 3
#define LAST 3 /* The only node of its region.  */
#define CONTACT_S 4.0
#define REVOKE_S 5.0
#define AFTER_ACK_S 6.0 /* Between the acknowledgement and the drill.  */
#define BACK_MS 7500    /* The age of the copy.  */
#define AWAY_MS 300
#define WRITTEN_AGAIN_S 1.5 /* After the return.  */
#define ASK_FOR_S 5.0

static server_t servers[NODES];
static int table, callers;
static bool trouble;

static double
put_config (int version, const char *keys)
{
  char text[2000];
  snprintf (text, sizeof text,
            "{\"version\":\"%08x\",\"services\":{\"desk\":{\"healthPath\":"
            "\"/health\",\"maxConnections\":550,\"protocol\":\"h1\",\"tls\":"
            "false}},\"routes\":{\"r-1\":{\"host\":\"h.example\",\"prefix\":"
            "\"/d/\",\"kind\":\"unsafe\",\"timeout\":\"1500ms\","
            "\"targetLatency\":\"600ms\",\"priority\":1,\"service\":\"desk\","
            "\"maxAttempts\":2,\"anonymous\":false}},\"limits\":{"
            "\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,"
            "\"headerTimeout\":\"3000ms\",\"idleTimeout\":\"15000ms\"},"
            "\"tenants\":{\"shop\":{\"apiKeys\":[%s],\"priority\":1,"
            "\"ratePerS\":0}}}",
            version, keys);
  int status = put_operator_row (table, "config", text);
  note ("the operator writes configuration %08x, keys %s: %d", version, keys,
        status);
  return now_s ();
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

/* Send a request with KEY to the last node; returns the status.  */
static int
request (const char *id, const char *key)
{
  message_t *answer = calloc (1, sizeof *answer);
  char head[400];
  int status = 0, fd = dial (callers);
  int n = snprintf (head, sizeof head,
                    "POST /d/x HTTP/1.1\r\nHost: h.example\r\n"
                    "Attempt-Id: %s\r\nTimeout-Remaining-Ms: 1500\r\n"
                    "Authorization: Bearer %s\r\nContent-Length: 0\r\n"
                    "Connection: close\r\n\r\n",
                    id, key);
  if (fd >= 0 && write_all (fd, head, (size_t)n)
      && read_message (fd, answer, now_s () + 1.5))
    status = status_of (answer);
  if (fd >= 0)
    close (fd);
  free (answer);
  return status;
}

int
main (int argc, char **argv)
{
  if (argc != 5)
    return 2;
  open_record (argv[1]);
  table = atoi (argv[2]);
  trouble = atoi (argv[4]);
  int base = atoi (argv[3]);
  callers = base + 20 * LAST + 1;
  put_config (1, "\"old-key\",\"new-key\"");
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
  int before = request ("before", "old-key");
  note ("a request with the old key: %d", before);
  if (before != 200)
    return 2;
  double acked_at = put_config (2, "\"new-key\"");
  sleep_until (acked_at + 2);
  note ("a request with the old key: %d", request ("gone", "old-key"));
  sleep_until (acked_at + AFTER_ACK_S);
  if (trouble)
    {
      message_t *answer = calloc (1, sizeof *answer);
      char path[80];
      ask ("kill-3");
      snprintf (path, sizeof path, "/standin/drill?back_ms=%d&away_ms=%d",
                BACK_MS, AWAY_MS);
      int status = call (table, "GET", path, "", "", answer, 3);
      note ("a drill: the store is away for %d ms and comes back from a copy "
            "that is %d ms old: %d",
            AWAY_MS, BACK_MS, status);
      sleep_s (AWAY_MS / 1e3 + 0.05);
      ask ("start-3");
      free (answer);
    }
  double start = now_s (), again_at = start + WRITTEN_AGAIN_S;
  bool again = !trouble;
  int statuses[600] = { 0 };
  for (int i = 0; now_s () < start + ASK_FOR_S; i++)
    {
      char id[32];
      if (!again && now_s () >= again_at)
        {
          again = true;
          put_config (2, "\"new-key\"");
        }
      snprintf (id, sizeof id, "late-%d", i);
      double sent_at = now_s ();
      int status = request (id, "old-key");
      if (status >= 0 && status < 600)
        statuses[status]++;
      if (status == 200 && statuses[200] <= 5)
        note ("%s, sent %.3f s after the acknowledgement: %d", id,
              sent_at - acked_at, status);
      sleep_s (0.02);
    }
  for (int s = 0; s < 600; s++)
    if (statuses[s])
      note ("requests with the old key answered %d: %d", s, statuses[s]);
  int ran = 0;
  pthread_mutex_lock (&runs_lock);
  for (int r = 0; r < run_count; r++)
    if (strncmp (runs[r].id, "late-", 5) == 0)
      {
        ran++;
        note ("%s ran at %s from %.3f to %.3f", runs[r].id,
              runs[r].server->id, runs[r].began - record_start,
              runs[r].ended - record_start);
      }
  pthread_mutex_unlock (&runs_lock);
  note ("CONFIG: %d requests ran that were sent later than %.1f s after the "
        "acknowledgement of the configuration that took their key away: %s",
        ran, REVOKE_S, ran ? "broken" : "held");
  return ran ? 1 : 0;
}
