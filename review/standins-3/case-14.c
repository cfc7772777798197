/* Case 14: the operator lowers a tenant's usage cap.

     case-14 RECORD TABLE_PORT NODE_PORTS TROUBLE

   NODE_PORTS is the port before those of node 1; node N has 20 more each.  */
#include "kit.h"

#define NODES 4
#define HIGH 592 /* Cap and burst, requests a second.  */
#define LOW 5
#define USUAL_S 4.0        /* The tenant sends nearly its first cap.  */
#define USUAL_PER_S 560
#define QUIET_S 9.5        /* It sends less than LOW.  */
#define MANY_PER_NODE 60   /* Then many times its usual.  */
/* Bounds of the deployments with tenants.  */
#define CONFIG_APPLY_S 3.0
#define CONTACT_S 4.0
#define WINDOW_S 5.0
#define OVER 0.1
#define SLACK 20

static server_t servers[NODES];
static int callers_base;

typedef struct
{
  int node, count;
  double per_s;
  const char *prefix;
  int served, over_cap, other;
} sender_t;

/* Send requests on one kept connection to a node.  */
static void *
send_requests (void *arg)
{
  sender_t *s = arg;
  message_t *answer = calloc (1, sizeof *answer);
  int fd = -1;
  double start = now_s ();
  for (int i = 0; i < s->count; i++)
    {
      char head[400];
      if (s->per_s > 0)
        sleep_until (start + i / s->per_s);
      if (fd < 0)
        {
          fd = dial (callers_base + 20 * s->node + 1);
          answer->rest_len = 0;
        }
      int n = snprintf (head, sizeof head,
                        "GET /d/x HTTP/1.1\r\nHost: h.example\r\n"
                        "Attempt-Id: %s-%d-%d\r\nTimeout-Remaining-Ms: 1200"
                        "\r\nAuthorization: Bearer key-of-shop\r\n\r\n",
                        s->prefix, s->node, i);
      int status = 0;
      char value[32];
      if (fd >= 0 && write_all (fd, head, (size_t)n)
          && read_message (fd, answer, now_s () + 1.2))
        status = status_of (answer);
      s->served += status == 200;
      s->over_cap += status == 429;
      s->other += status != 200 && status != 429;
      if (!status
          || (field (answer, "connection", value, sizeof value)
              && strcasecmp (value, "close") == 0))
        {
          close (fd);
          fd = -1;
        }
    }
  if (fd >= 0)
    close (fd);
  free (answer);
  return NULL;
}

/* COUNT requests to each node, PER_S a second at each (0: one after the
   other).  */
static void
send_everywhere (const char *prefix, int count, double per_s, const char *what)
{
  pthread_t threads[NODES];
  sender_t senders[NODES];
  int served = 0, over_cap = 0, other = 0;
  double start = now_s ();
  for (int n = 0; n < NODES; n++)
    {
      senders[n] = (sender_t){ .node = n + 1, .count = count, .per_s = per_s,
                               .prefix = prefix };
      pthread_create (&threads[n], NULL, send_requests, &senders[n]);
    }
  for (int n = 0; n < NODES; n++)
    {
      pthread_join (threads[n], NULL);
      served += senders[n].served;
      over_cap += senders[n].over_cap;
      other += senders[n].other;
    }
  note ("%s: %d requests in %.2f s, answered 200: %d, 429: %d, other: %d",
        what, NODES * count, now_s () - start, served, over_cap, other);
}

static double
put_config (int table, int version, int cap)
{
  char text[2000];
  snprintf (text, sizeof text,
            "{\"version\":\"%08x\",\"services\":{\"desk\":{\"healthPath\":"
            "\"/health\",\"maxConnections\":550,\"protocol\":\"h1\",\"tls\":"
            "false}},\"routes\":{\"r-1\":{\"host\":\"h.example\",\"prefix\":"
            "\"/d/\",\"kind\":\"safe\",\"timeout\":\"1200ms\","
            "\"targetLatency\":\"500ms\",\"priority\":1,\"service\":\"desk\","
            "\"maxAttempts\":2,\"anonymous\":false}},\"limits\":{"
            "\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,"
            "\"headerTimeout\":\"3000ms\",\"idleTimeout\":\"15000ms\"},"
            "\"tenants\":{\"shop\":{\"apiKeys\":[\"key-of-shop\"],"
            "\"priority\":1,\"ratePerS\":%d,\"burst\":%d}}}",
            version, cap, cap);
  int status = put_operator_row (table, "config", text);
  note ("configuration %08x, ratePerS %d, burst %d: %d", version, cap, cap,
        status);
  return now_s ();
}

static int
compare (const void *a, const void *b)
{
  double left = *(const double *)a, right = *(const double *)b;
  return (left > right) - (left < right);
}

int
main (int argc, char **argv)
{
  if (argc != 5)
    return 2;
  open_record (argv[1]);
  int table = atoi (argv[2]);
  bool trouble = atoi (argv[4]);
  callers_base = atoi (argv[3]);
  put_config (table, 1, HIGH);
  for (int n = 0; n < NODES; n++)
    {
      static char names[NODES][16];
      snprintf (names[n], sizeof names[n], "i-%d", n + 1);
      int ports = callers_base + 20 * (n + 1);
      servers[n] = (server_t){ .id = names[n], .service = "desk",
                               .version = "v1", .port = ports + 9,
                               .reports = ports + 3, .slots = 12,
                               .work_s = 0.005 };
      await_ready (ports + 2);
      start_server (&servers[n]);
    }
  sleep_s (CONTACT_S + 1);
  send_everywhere ("usual", (int)(USUAL_S * USUAL_PER_S / NODES),
                   (double)USUAL_PER_S / NODES, "the tenant's usual");
  int cap = trouble ? LOW : HIGH;
  double acked_at = trouble ? put_config (table, 2, LOW) : now_s ();
  double binds_at = acked_at + CONFIG_APPLY_S + WINDOW_S;
  send_everywhere ("quiet", (int)(QUIET_S / 2), 0.5, "then less");
  sleep_until (acked_at + QUIET_S);
  send_everywhere ("many", MANY_PER_NODE, 0, "then many times as much");
  sleep_s (1);
  /* Arrivals at servers in the worst window after the limit binds.  */
  double *at = malloc (sizeof *at * RUNS_MAX);
  int count = 0, worst = 0;
  pthread_mutex_lock (&runs_lock);
  for (int r = 0; r < run_count; r++)
    if (runs[r].began >= binds_at)
      {
        at[count++] = runs[r].began;
        note ("%s ran at %s from %.3f on", runs[r].id, runs[r].server->id,
              runs[r].began - record_start);
      }
  pthread_mutex_unlock (&runs_lock);
  qsort (at, (size_t)count, sizeof *at, compare);
  for (int i = 0, j = 0; j < count; j++)
    {
      while (at[j] - at[i] > WINDOW_S)
        i++;
      if (j - i + 1 > worst)
        worst = j - i + 1;
    }
  double allowed = (cap * WINDOW_S + cap) * (1 + OVER) + SLACK;
  bool broken = worst > allowed;
  note ("QUOTA: from %.3f on, %d requests ran in some %.0f s; %.1f are "
        "allowed: %s",
        binds_at - record_start, worst, WINDOW_S, allowed,
        broken ? "broken" : "held");
  return broken ? 1 : 0;
}
