/* An answer without a length is cut by the end of a node's process, and looks
   complete.  */
#include "case.h"

#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define BODY_BYTES (2000 << 10)
#define LINK_BYTES_PER_S (8e6 / 8) /* 8 Mbit/s */
#define KILL_AFTER_S 0.3
#define ROUNDS 3

static char *body;

/* The whole body without a length, then the orderly end of the connection.  */
static bool
run_request (server_t *server, int fd, const run_t *run)
{
  char head[512];
  (void)server;
  int len = snprintf (head, sizeof head,
                      "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\n"
                      "Response-Seal: seal-%s\r\nConnection: close\r\n\r\n",
                      run->id, run->id);
  bool sent = send_all (fd, head, (size_t)len)
              && send_all (fd, body, BODY_BYTES);
  record ("server: ran %s %s, sent its %d bytes %s", run->id, run->target,
          BODY_BYTES, sent ? "whole, then closed" : "in part");
  shutdown (fd, SHUT_WR);
  return false;
}

static void *
kill_node (void *arg)
{
  node_t *node = arg;
  sleep_s (KILL_AFTER_S);
  note ("%s is killed (SIGKILL)", node->name);
  end_process (node->pid, SIGKILL);
  return NULL;
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
           "\"host\":\"h.example\",\"prefix\":\"/d/\",\"kind\":\"safe\","
           "\"timeout\":\"8s\",\"targetLatency\":\"2s\",\"priority\":1,"
           "\"service\":\"desk\",\"maxAttempts\":2}},\"limits\":{"
           "\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,"
           "\"headerTimeout\":\"3000ms\",\"idleTimeout\":\"15000ms\"}}");
  for (int round = 1; round <= ROUNDS; round++)
    {
      for (int i = 0; i < 2; i++)
        if (!node_await_ready (&nodes[i], 20))
          give_up ("%s is not ready", nodes[i].name);
      sleep_s (4);
      request_t request = { .path = "/d/sheet",
                            .budget_ms = 8000,
                            .bytes_per_s = LINK_BYTES_PER_S,
                            .receive_buffer = 16384 };
      draw_id (request.id);
      note ("round %d: the client sends %s to %s", round, request.id,
            nodes[0].name);
      pthread_t killer;
      if (case_trouble ())
        pthread_create (&killer, NULL, kill_node, &nodes[0]);
      answer_t answer = ask (nodes[0].callers, &request);
      note ("the client got status %d, id %s, seal \"%s\", length %s, "
            "%zu of %d bytes, then %s, after %.2f s",
            answer.status, answer.id, answer.seal,
            answer.has_length ? "told" : "not told", answer.body_len,
            BODY_BYTES,
            answer.eof     ? "the orderly end of the connection"
            : answer.reset ? "a reset"
                           : "nothing more",
            answer.took_s);
      bool complete = answer.status == 200 && !answer.has_length
                      && !answer.chunked && answer.eof;
      if (complete && answer.body_len != BODY_BYTES)
        {
          note ("broken: a success that looks complete lacks %zu bytes",
                BODY_BYTES - answer.body_len);
          broken++;
        }
      else if (!case_trouble () && !complete)
        give_up ("the answer did not come whole without the disruption");
      if (case_trouble ())
        {
          pthread_join (killer, NULL);
          sleep_s (0.5);
          node_start (&nodes[0], false);
        }
    }
  note ("rule MIXED: %d of %d answers broke it", broken, ROUNDS);
  return broken ? EXIT_BROKEN : EXIT_HELD;
}
