/* Tests the blocking HTTP client against a server that sends fixed bytes.  */
#include <arpa/inet.h>
#include <poll.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "answer-cases.h"
#include "cardamom/cardamom.h"

/* A server that reads one request and sends one answer per connection, then
   closes it.  */
typedef struct
{
  int listener;
  unsigned port;
  const char *answers[3];     /* Sent in order; ends at NULL.  */
  size_t answer_len;          /* Of each; 0: up to its end.  */
  bool single_connection;     /* Send all answers on the first one.  */
  bool keep_connections_open; /* Close them only at the end.  */
  _Atomic int requests;
  pthread_t thread;
} server_t;

static bool
read_request (int fd)
{
  char buffer[4096];
  size_t received = 0;
  while (received < sizeof buffer - 1)
    {
      ssize_t n
          = recv (fd, buffer + received, sizeof buffer - 1 - received, 0);
      if (n <= 0)
        return false;
      received += (size_t)n;
      buffer[received] = 0;
      if (strstr (buffer, "\r\n\r\n"))
        return true;
    }
  return false;
}

static void *
run_server (void *arg)
{
  server_t *server = arg;
  int fd = -1, open_fds[3], open_fd_count = 0;
  for (int i = 0; i < 3 && server->answers[i]; i++)
    {
      if (fd < 0)
        fd = accept (server->listener, NULL, NULL);
      if (fd < 0)
        break;
      if (read_request (fd))
        {
          server->requests++;
          (void)!write (fd, server->answers[i],
                        server->answer_len ? server->answer_len
                                           : strlen (server->answers[i]));
        }
      if (server->keep_connections_open)
        {
          open_fds[open_fd_count++] = fd;
          fd = -1;
        }
      else if (!server->single_connection)
        {
          close (fd);
          fd = -1;
        }
    }
  if (fd >= 0)
    close (fd);
  while (open_fd_count > 0)
    close (open_fds[--open_fd_count]);
  return NULL;
}

static void
start_server (server_t *server)
{
  struct sockaddr_in address = { .sin_family = AF_INET };
  socklen_t address_length = sizeof address;
  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  server->listener = socket (AF_INET, SOCK_STREAM, 0);
  g_assert_cmpint (
      bind (server->listener, (struct sockaddr *)&address, sizeof address), ==,
      0);
  g_assert_cmpint (listen (server->listener, 5), ==, 0);
  getsockname (server->listener, (struct sockaddr *)&address, &address_length);
  server->port = ntohs (address.sin_port);
  pthread_create (&server->thread, NULL, run_server, server);
}

static void
stop_server (server_t *server)
{
  shutdown (server->listener, SHUT_RDWR);
  pthread_join (server->thread, NULL);
  close (server->listener);
}

#define STATUS_200 "HTTP/1.1 200 OK\r\n"

/* Answers to a request, and what the client must return for them.  */
static const struct
{
  const char *name, *answer;
  cs_status_t status;
  const char *body;
} cases[] = {
  { "whole", STATUS_200 "Content-Length: 3\r\n\r\nabc", CS_OK, "abc" },
  { "chunks",
    STATUS_200 "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
    CS_OK, "abc" },
  { "empty", "HTTP/1.1 204 No Content\r\n\r\n", CS_OK, "" },
  { "short", STATUS_200 "Content-Length: 10\r\n\r\nabc", CS_UNKNOWN, NULL },
  { "short-chunks",
    STATUS_200 "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n5\r\nde",
    CS_UNKNOWN, NULL },
  { "no-last-chunk",
    STATUS_200 "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n", CS_UNKNOWN,
    NULL },
  { "no-length", STATUS_200 "\r\nabc", CS_UNKNOWN, NULL },
  { "headers-cut", STATUS_200 "Content-Le", CS_UNKNOWN, NULL },
  { "nothing", "", CS_UNKNOWN, NULL },
  { "no-http", "SSH-2.0\r\n\r\n", CS_UNKNOWN, NULL },
  { "too-large", STATUS_200 "Content-Length: 20\r\n\r\n01234567890123456789",
    CS_LIMIT_EXCEEDED, NULL },
};

static void
test_answer_case (gconstpointer data)
{
  size_t case_index = GPOINTER_TO_SIZE (data);
  cs_ctx_t *ctx = cs_ctx_new (NULL, cs_clock_system (), 1);
  server_t server = { .answers = { cases[case_index].answer } };
  start_server (&server);
  cs_http_client_t *http
      = cs_http_client_new (ctx, "127.0.0.1", server.port, 5 * CS_SEC);
  cs_http_request_t request
      = { .method = "POST", .path = "/x", .answer_max = 10 };
  cs_http_answer_t answer;
  g_assert_cmpint (cs_http_client_call (ctx, http, &request, &answer), ==,
                   cases[case_index].status);
  if (cases[case_index].body)
    g_assert_cmpstr (answer.body->str, ==, cases[case_index].body);
  cs_http_answer_clear (&answer);
  cs_http_client_drop (ctx, http);
  stop_server (&server);
  g_assert_cmpint (server.requests, ==, 1);
  cs_ctx_drop (ctx);
}

/* None of a malformed answer is returned.  */
static void
test_shared_answer_case (gconstpointer data)
{
  size_t i = GPOINTER_TO_SIZE (data);
  const char *expected = answer_cases[i].expected;
  cs_ctx_t *ctx = cs_ctx_new (NULL, cs_clock_system (), 1);
  server_t server = { .answers = { answer_cases[i].text },
                      .answer_len = answer_cases[i].len };
  start_server (&server);
  cs_http_client_t *http
      = cs_http_client_new (ctx, "127.0.0.1", server.port, 5 * CS_SEC);
  cs_http_request_t request
      = { .method = answer_cases[i].is_head ? "HEAD" : "POST",
          .path = "/x",
          .answer_max = 10 };
  cs_http_answer_t answer;
  g_assert_cmpint (cs_http_client_call (ctx, http, &request, &answer), ==,
                   expected ? CS_OK : CS_UNKNOWN);
  char *got = answer.status
                  ? g_strdup_printf ("%d %s", answer.status, answer.body->str)
                  : NULL;
  g_assert_cmpstr (got, ==, expected);
  g_free (got);
  cs_http_answer_clear (&answer);
  cs_http_client_drop (ctx, http);
  stop_server (&server);
  cs_ctx_drop (ctx);
}

/* The server reads the second request on a reused connection and closes it
   without an answer.  The request may have run, so the client must not resend
   it.  */
static void
test_no_resend_after_close (void)
{
  cs_ctx_t *ctx = cs_ctx_new (NULL, cs_clock_system (), 1);
  server_t server
      = { .single_connection = true,
          .answers = { STATUS_200 "Content-Length: 3\r\n\r\nabc", "" } };
  start_server (&server);
  cs_http_client_t *http
      = cs_http_client_new (ctx, "127.0.0.1", server.port, 5 * CS_SEC);
  cs_http_request_t request = {
    .method = "GET", .path = "/x", .answer_max = 10, .reuse_connection = true
  };
  cs_http_answer_t answer;
  g_assert_cmpint (cs_http_client_call (ctx, http, &request, &answer), ==,
                   CS_OK);
  cs_http_answer_clear (&answer);
  g_assert_cmpint (cs_http_client_call (ctx, http, &request, &answer), ==,
                   CS_UNKNOWN);
  g_assert_cmpint (server.requests, ==, 2);
  /* No second connection is waiting to be accepted.  */
  struct pollfd listener_poll = { .fd = server.listener, .events = POLLIN };
  g_assert_cmpint (poll (&listener_poll, 1, 100), ==, 0);
  cs_http_client_drop (ctx, http);
  stop_server (&server);
  cs_ctx_drop (ctx);
}

#define NUMBERED(n) STATUS_200 "Request-Number: " #n "\r\n"
#define BODY(text) "Content-Length: 3\r\n\r\n" text

/* Send two numbered requests to a server that sends ANSWERS, on the same
   connection with SINGLE_CONNECTION, and check the result of the second.  */
static void
check_second_answer (const char *const answers[2], bool single_connection,
                     cs_status_t status, const char *body)
{
  cs_ctx_t *ctx = cs_ctx_new (NULL, cs_clock_system (), 1);
  server_t server = { .single_connection = single_connection,
                      .keep_connections_open = !single_connection,
                      .answers = { answers[0], answers[1] } };
  start_server (&server);
  cs_http_client_t *http
      = cs_http_client_new (ctx, "127.0.0.1", server.port, 5 * CS_SEC);
  cs_http_request_t request = { .method = "GET",
                                .path = "/x",
                                .number_header = "Request-Number",
                                .answer_max = 100,
                                .reuse_connection = true };
  cs_http_answer_t answer;
  g_assert_cmpint (cs_http_client_call (ctx, http, &request, &answer), ==,
                   CS_OK);
  cs_http_answer_clear (&answer);
  g_assert_cmpint (cs_http_client_call (ctx, http, &request, &answer), ==,
                   status);
  if (body)
    g_assert_cmpstr (answer.body->str, ==, body);
  cs_http_answer_clear (&answer);
  cs_http_client_drop (ctx, http);
  stop_server (&server);
  g_assert_cmpint (server.requests, ==, 2);
  cs_ctx_drop (ctx);
}

/* The answer to an earlier request comes once more, late, where that of the
   next one on the connection is due: it is never returned for that.  */
static void
test_late_answer_returned (void)
{
  static const struct
  {
    const char *second;
    cs_status_t status;
    const char *body;
  } late[] = {
    { NUMBERED (1) BODY ("abc") NUMBERED (2) BODY ("def"), CS_OK, "def" },
    { NUMBERED (1) BODY ("abc"), CS_UNKNOWN, NULL },
    { NUMBERED (1) "\r\nabc", CS_UNKNOWN, NULL },
    { STATUS_200 BODY ("abc"), CS_UNKNOWN, NULL },
    { STATUS_200 "\r\nabc", CS_UNKNOWN, NULL },
  };
  for (size_t i = 0; i < G_N_ELEMENTS (late); i++)
    check_second_answer (
        (const char *[]){ NUMBERED (1) BODY ("abc"), late[i].second }, true,
        late[i].status, late[i].body);
}

/* A server that does not send the number back could send an earlier answer
   once more unnoticed, so that its connections are not reused.  */
static void
test_unnumbered_connection_reused (void)
{
  check_second_answer (
      (const char *[]){ STATUS_200 BODY ("abc"), STATUS_200 BODY ("def") },
      false, CS_OK, "def");
}

/* Without reuse each request opens a new connection, even while the previous
   one is open.  */
static void
test_no_reuse_opens_new_connections (void)
{
  cs_ctx_t *ctx = cs_ctx_new (NULL, cs_clock_system (), 1);
  server_t server
      = { .keep_connections_open = true,
          .answers = { STATUS_200 "Content-Length: 3\r\n\r\nabc",
                       STATUS_200 "Content-Length: 3\r\n\r\ndef" } };
  start_server (&server);
  cs_http_client_t *http
      = cs_http_client_new (ctx, "127.0.0.1", server.port, 5 * CS_SEC);
  cs_http_request_t request
      = { .method = "POST", .path = "/x", .answer_max = 10 };
  cs_http_answer_t answer;
  for (int i = 0; i < 2; i++)
    {
      g_assert_cmpint (cs_http_client_call (ctx, http, &request, &answer), ==,
                       CS_OK);
      cs_http_answer_clear (&answer);
    }
  cs_http_client_drop (ctx, http);
  stop_server (&server);
  g_assert_cmpint (server.requests, ==, 2);
  cs_ctx_drop (ctx);
}

static void
test_connection_refused (void)
{
  cs_ctx_t *ctx = cs_ctx_new (NULL, cs_clock_system (), 1);
  cs_http_client_t *http
      /* Nothing listens on port 1.  */
      = cs_http_client_new (ctx, "127.0.0.1", 1, 5 * CS_SEC);
  cs_http_request_t request
      = { .method = "POST", .path = "/x", .answer_max = 10 };
  cs_http_answer_t answer;
  g_assert_cmpint (cs_http_client_call (ctx, http, &request, &answer), ==,
                   CS_UNAVAILABLE);
  cs_http_client_drop (ctx, http);
  cs_ctx_drop (ctx);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      char *path = g_strconcat ("/http/", cases[i].name, NULL);
      g_test_add_data_func (path, GSIZE_TO_POINTER (i), test_answer_case);
      g_free (path);
    }
  for (size_t i = 0; i < G_N_ELEMENTS (answer_cases); i++)
    {
      char *path = g_strconcat ("/http/answer/", answer_cases[i].name, NULL);
      g_test_add_data_func (path, GSIZE_TO_POINTER (i),
                            test_shared_answer_case);
      g_free (path);
    }
  g_test_add_func ("/http/never-sent-twice", test_no_resend_after_close);
  g_test_add_func ("/http/late-answer-returned", test_late_answer_returned);
  g_test_add_func ("/http/unnumbered-connection-reused",
                   test_unnumbered_connection_reused);
  g_test_add_func ("/http/own-connections",
                   test_no_reuse_opens_new_connections);
  g_test_add_func ("/http/nobody-listens", test_connection_refused);
  return g_test_run ();
}
