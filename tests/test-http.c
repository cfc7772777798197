/* The HTTP client against a server that sends given bytes and closes.  */
#include <arpa/inet.h>
#include <poll.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "cardamom/cardamom.h"

/* What the server sends, how often it serves, and how often it was asked.  */
typedef struct
{
  int listener;
  unsigned port;
  const char *answers[3]; /* On one connection after another; NULL ends.  */
  bool keep_open;         /* Answer all on the first connection.  */
  bool leave_open;        /* Answer one on each, which stays open.  */
  _Atomic int requests;
  pthread_t thread;
} server_t;

static bool
read_request (int fd)
{
  char block[4096];
  size_t have = 0;
  while (have < sizeof block - 1)
    {
      ssize_t n = recv (fd, block + have, sizeof block - 1 - have, 0);
      if (n <= 0)
        return false;
      have += (size_t)n;
      block[have] = 0;
      if (strstr (block, "\r\n\r\n"))
        return true;
    }
  return false;
}

static void *
run_server (void *arg)
{
  server_t *s = arg;
  int fd = -1, left[3], left_count = 0;
  for (int i = 0; i < 3 && s->answers[i]; i++)
    {
      if (fd < 0)
        fd = accept (s->listener, NULL, NULL);
      if (fd < 0)
        break;
      if (read_request (fd))
        {
          s->requests++;
          (void)!write (fd, s->answers[i], strlen (s->answers[i]));
        }
      if (s->leave_open)
        {
          left[left_count++] = fd;
          fd = -1;
        }
      else if (!s->keep_open)
        {
          close (fd);
          fd = -1;
        }
    }
  if (fd >= 0)
    close (fd);
  while (left_count > 0)
    close (left[--left_count]);
  return NULL;
}

static void
start_server (server_t *s)
{
  struct sockaddr_in sa = { .sin_family = AF_INET };
  socklen_t len = sizeof sa;
  sa.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  s->listener = socket (AF_INET, SOCK_STREAM, 0);
  g_assert_cmpint (bind (s->listener, (struct sockaddr *)&sa, sizeof sa), ==,
                   0);
  g_assert_cmpint (listen (s->listener, 5), ==, 0);
  getsockname (s->listener, (struct sockaddr *)&sa, &len);
  s->port = ntohs (sa.sin_port);
  pthread_create (&s->thread, NULL, run_server, s);
}

static void
stop_server (server_t *s)
{
  shutdown (s->listener, SHUT_RDWR);
  pthread_join (s->thread, NULL);
  close (s->listener);
}

#define OK "HTTP/1.1 200 OK\r\n"

static const struct
{
  const char *name, *answer;
  cs_status_t status;
  const char *body;
} cases[] = {
  { "whole", OK "Content-Length: 3\r\n\r\nabc", CS_OK, "abc" },
  { "chunks", OK "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
    CS_OK, "abc" },
  { "empty", "HTTP/1.1 204 No Content\r\n\r\n", CS_OK, "" },
  { "short", OK "Content-Length: 10\r\n\r\nabc", CS_UNKNOWN, NULL },
  { "short-chunks", OK "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n5\r\nde",
    CS_UNKNOWN, NULL },
  { "no-last-chunk", OK "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
    CS_UNKNOWN, NULL },
  { "no-length", OK "\r\nabc", CS_UNKNOWN, NULL },
  { "headers-cut", OK "Content-Le", CS_UNKNOWN, NULL },
  { "nothing", "", CS_UNKNOWN, NULL },
  { "no-http", "SSH-2.0\r\n\r\n", CS_UNKNOWN, NULL },
  { "too-large", OK "Content-Length: 20\r\n\r\n01234567890123456789", CS_LIMIT,
    NULL },
};

static void
test_case (gconstpointer data)
{
  size_t i = GPOINTER_TO_SIZE (data);
  cs_ctx_t *ctx = cs_ctx_new (NULL, cs_clock_system (), 1);
  server_t server = { .answers = { cases[i].answer } };
  start_server (&server);
  cs_http_t *http = cs_http_new (ctx, "127.0.0.1", server.port, 5 * CS_SEC);
  cs_http_request_t request
      = { .method = "POST", .path = "/x", .answer_max = 10 };
  cs_http_answer_t answer;
  g_assert_cmpint (cs_http_call (ctx, http, &request, &answer), ==,
                   cases[i].status);
  if (cases[i].body)
    g_assert_cmpstr (answer.body->str, ==, cases[i].body);
  cs_http_answer_clear (&answer);
  cs_http_drop (ctx, http);
  stop_server (&server);
  g_assert_cmpint (server.requests, ==, 1);
  cs_ctx_drop (ctx);
}

/* A reused connection that the server closes after it has read the second
   request: the request has run, so it must not be sent again.  */
static void
test_never_sent_twice (void)
{
  cs_ctx_t *ctx = cs_ctx_new (NULL, cs_clock_system (), 1);
  server_t server = { .keep_open = true,
                      .answers = { OK "Content-Length: 3\r\n\r\nabc", "" } };
  start_server (&server);
  cs_http_t *http = cs_http_new (ctx, "127.0.0.1", server.port, 5 * CS_SEC);
  cs_http_request_t request
      = { .method = "GET", .path = "/x", .answer_max = 10, .reuse = true };
  cs_http_answer_t answer;
  g_assert_cmpint (cs_http_call (ctx, http, &request, &answer), ==, CS_OK);
  cs_http_answer_clear (&answer);
  g_assert_cmpint (cs_http_call (ctx, http, &request, &answer), ==,
                   CS_UNKNOWN);
  g_assert_cmpint (server.requests, ==, 2);
  /* No second connection has been tried.  */
  struct pollfd waiting = { .fd = server.listener, .events = POLLIN };
  g_assert_cmpint (poll (&waiting, 1, 100), ==, 0);
  cs_http_drop (ctx, http);
  stop_server (&server);
  cs_ctx_drop (ctx);
}

/* Without reuse each request has a connection of its own.  */
static void
test_own_connections (void)
{
  cs_ctx_t *ctx = cs_ctx_new (NULL, cs_clock_system (), 1);
  server_t server = { .leave_open = true,
                      .answers = { OK "Content-Length: 3\r\n\r\nabc",
                                   OK "Content-Length: 3\r\n\r\ndef" } };
  start_server (&server);
  cs_http_t *http = cs_http_new (ctx, "127.0.0.1", server.port, 5 * CS_SEC);
  cs_http_request_t request
      = { .method = "POST", .path = "/x", .answer_max = 10 };
  cs_http_answer_t answer;
  for (int i = 0; i < 2; i++)
    {
      g_assert_cmpint (cs_http_call (ctx, http, &request, &answer), ==, CS_OK);
      cs_http_answer_clear (&answer);
    }
  cs_http_drop (ctx, http);
  stop_server (&server);
  g_assert_cmpint (server.requests, ==, 2);
  cs_ctx_drop (ctx);
}

static void
test_nobody_listens (void)
{
  cs_ctx_t *ctx = cs_ctx_new (NULL, cs_clock_system (), 1);
  cs_http_t *http = cs_http_new (ctx, "127.0.0.1", 1, 5 * CS_SEC);
  cs_http_request_t request
      = { .method = "POST", .path = "/x", .answer_max = 10 };
  cs_http_answer_t answer;
  g_assert_cmpint (cs_http_call (ctx, http, &request, &answer), ==,
                   CS_UNAVAILABLE);
  cs_http_drop (ctx, http);
  cs_ctx_drop (ctx);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      char *path = g_strconcat ("/http/", cases[i].name, NULL);
      g_test_add_data_func (path, GSIZE_TO_POINTER (i), test_case);
      g_free (path);
    }
  g_test_add_func ("/http/never-sent-twice", test_never_sent_twice);
  g_test_add_func ("/http/own-connections", test_own_connections);
  g_test_add_func ("/http/nobody-listens", test_nobody_listens);
  return g_test_run ();
}
