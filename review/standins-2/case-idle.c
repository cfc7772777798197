/* A configuration that lowers the idle timeout cuts answers that callers are
   reading.  */
#include "harness.h"

#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define BODY_BYTES (4000 << 10)
#define LINK_BYTES_PER_S (800 << 10) /* 6.6 Mbit/s */
#define BUDGET_MS 9000
#define CALLERS 5
/* What the rule counts beside a configuration: ends until configApply + 1 s
   after its acknowledgement, of requests that have not used seven tenths of
   their time, if there are over three times as many as at other times.  */
#define COUNTED_FOR_S 3.5
#define COUNTED_PART 0.7
#define TIMES_AS_OFTEN 3
#define CONFIG_AFTER_S 0.8

static char *body;
static volatile double acknowledged_at; /* 0: there was no change.  */
static node_t nodes[2];

static bool
run_request (server_t *server, int fd, const run_t *run)
{
  char head[512];
  (void)server;
  int len = snprintf (head, sizeof head,
                      "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\n"
                      "Response-Seal: seal-%s\r\nContent-Length: %d\r\n\r\n",
                      run->id, run->id, BODY_BYTES);
  bool sent = send_all (fd, head, (size_t)len)
              && send_all (fd, body, BODY_BYTES);
  record ("server: ran %s %s, sent its %d bytes %s", run->id, run->target,
          BODY_BYTES, sent ? "whole" : "in part");
  return sent;
}

static void
put_config (const char *version, const char *idle_timeout)
{
  char text[1024];
  snprintf (text, sizeof text,
            "{\"version\":\"%s\",\"services\":{\"desk\":{\"healthPath\":"
            "\"/health\",\"maxConnections\":110}},\"routes\":{\"r-1\":{"
            "\"host\":\"h.example\",\"prefix\":\"/d/\",\"kind\":\"unsafe\","
            "\"timeout\":\"9s\",\"targetLatency\":\"2s\",\"priority\":1,"
            "\"service\":\"desk\",\"maxAttempts\":2}},\"limits\":{"
            "\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,"
            "\"headerTimeout\":\"3000ms\",\"idleTimeout\":\"%s\"}}",
            version, idle_timeout);
  put_row ("op", "config", text);
}

/* Returns the number of answers that were cut.  */
static void *
call_once (void *arg)
{
  int number = (int)(intptr_t)arg;
  int fd = connect_to (nodes[0].callers, 16384);
  request_t request = { .method = "POST",
                        .path = "/d/fix",
                        .budget_ms = BUDGET_MS,
                        .bytes_per_s = LINK_BYTES_PER_S };
  draw_id (request.id);
  record ("caller %d: sends POST %s %s, budget %d ms", number, request.path,
          request.id, BUDGET_MS);
  answer_t answer = ask_on (fd, &request);
  close (fd);
  note ("caller %d got status %d, id %s, %zu of %zu bytes, then %s, after "
        "%.2f of %.2f s",
        number, answer.status, answer.id, answer.body_len, answer.length,
        answer.eof     ? "the end of the connection"
        : answer.reset ? "a reset"
                       : "nothing more",
        answer.took_s, BUDGET_MS / 1000.0);
  if (answer.whole)
    return (void *)(intptr_t)0;
  double after = now_s () - acknowledged_at;
  bool counts = (answer.eof || answer.reset)
                && answer.took_s < COUNTED_PART * BUDGET_MS / 1000.0
                && (!acknowledged_at || after <= COUNTED_FOR_S);
  if (acknowledged_at)
    note ("caller %d: cut %.2f s after the acknowledgement, with %.2f of its "
          "time used: %s",
          number, after, answer.took_s * 1000 / BUDGET_MS,
          counts ? "counts" : "does not count");
  return (void *)(intptr_t)counts;
}

/* CALLERS calls at once, with a change of the configuration if CHANGE; the
   number of answers that were cut and count.  */
static int
call_all (bool change)
{
  pthread_t threads[CALLERS];
  int cut = 0;
  for (int i = 0; i < CALLERS; i++)
    pthread_create (&threads[i], NULL, call_once, (void *)(intptr_t)(i + 1));
  if (change)
    {
      sleep_s (CONFIG_AFTER_S);
      put_config ("00000002", "2000ms");
      acknowledged_at = now_s ();
    }
  for (int i = 0; i < CALLERS; i++)
    {
      void *one;
      pthread_join (threads[i], &one);
      cut += (int)(intptr_t)one;
    }
  return cut;
}

int
main (int argc, char **argv)
{
  server_t servers[2];
  case_begin (argc > 1 ? argv[1] : ".");
  body = malloc (BODY_BYTES);
  memset (body, 'x', BODY_BYTES);
  start_table ();
  for (int i = 0; i < 2; i++)
    {
      node_init (&nodes[i], i + 1, "zone-a", "region-a", "desk");
      node_start (&nodes[i], true);
      servers[i] = (server_t){ .port = nodes[i].server,
                               .service = "desk",
                               .node = &nodes[i],
                               .handler = run_request };
      snprintf (servers[i].instance, sizeof servers[i].instance, "i-%d",
                i + 1);
      server_start (&servers[i]);
    }
  put_config ("00000001", "15000ms");
  for (int i = 0; i < 2; i++)
    if (!node_await_ready (&nodes[i], 20))
      give_up ("%s is not ready", nodes[i].name);
  sleep_s (5);
  note ("%d callers, no change of the configuration", CALLERS);
  int before = call_all (false);
  note ("%d callers%s", CALLERS,
        case_trouble () ? ", and a change of the configuration" : "");
  int cut = call_all (case_trouble ());
  note ("rule LOST: %d of %d requests were cut and count, %d of %d before",
        cut, CALLERS, before, CALLERS);
  return cut > TIMES_AS_OFTEN * before ? EXIT_BROKEN : EXIT_HELD;
}
