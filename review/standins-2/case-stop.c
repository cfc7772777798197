/* A node that is stopped by SIGTERM cuts an answer while its caller pauses.  */
#include "harness.h"

#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#ifndef BODY_BYTES
#define BODY_BYTES (1000 << 10)
#endif
#define TERM_BEFORE_S 1.8
#define PAUSE_AFTER_BYTES (16 << 10)
#define PAUSE_S 2.2
#define ROUNDS 3

static char *body;

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

int
main (int argc, char **argv)
{
  node_t nodes[2];
  server_t servers[2];
  int broken = 0;
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
  put_row ("op", "config",
           "{\"version\":\"00000001\",\"services\":{\"desk\":{\"healthPath\":"
           "\"/health\",\"maxConnections\":110}},\"routes\":{\"r-1\":{"
           "\"host\":\"h.example\",\"prefix\":\"/d/\",\"kind\":\"unsafe\","
           "\"timeout\":\"8s\",\"targetLatency\":\"2s\",\"priority\":1,"
           "\"service\":\"desk\",\"maxAttempts\":2}},\"limits\":{"
           "\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,"
           "\"headerTimeout\":\"3000ms\",\"idleTimeout\":\"15000ms\"}}");
  for (int round = 1; round <= ROUNDS; round++)
    {
      for (int i = 0; i < 2; i++)
        if (!node_await_ready (&nodes[i], 20))
          give_up ("%s is not ready", nodes[i].name);
      sleep_s (5);
      int fd = connect_to (nodes[0].callers, 16384);
      request_t request = { .method = "POST",
                            .path = "/d/fix",
                            .budget_ms = 8000,
                            .pause_after = PAUSE_AFTER_BYTES,
                            .pause_s = PAUSE_S };
      draw_id (request.id);
      if (case_trouble ())
        {
          note ("%s gets SIGTERM; its grace is 6 s", nodes[0].name);
          kill (nodes[0].pid, SIGTERM);
        }
      double stopped_at = now_s ();
      sleep_s (TERM_BEFORE_S);
      note ("round %d: the client sends %s to %s", round, request.id,
            nodes[0].name);
      answer_t answer = ask_on (fd, &request);
      close (fd);
      note ("the client got status %d, id %s, %zu of %zu bytes, then %s, "
            "after %.2f s, %.2f s after the signal",
            answer.status, answer.id, answer.body_len, answer.length,
            answer.eof     ? "the end of the connection"
            : answer.reset ? "a reset"
                           : "nothing more",
            answer.took_s, now_s () - stopped_at);
      if (!answer.whole)
        {
          note ("broken: a request that has run has no complete answer");
          broken++;
        }
      if (case_trouble ())
        {
          end_process (nodes[0].pid, SIGCONT);
          note ("%s has ended, %.2f s after the signal", nodes[0].name,
                now_s () - stopped_at);
          node_start (&nodes[0], false);
        }
    }
  note ("rule LOST: %d of %d requests broke it", broken, ROUNDS);
  return broken ? EXIT_BROKEN : EXIT_HELD;
}
