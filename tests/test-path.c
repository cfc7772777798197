/* The call path end to end: two nodes in this process, connected through a
   proxy.  The test acts over sockets as the backend server beside one node and
   as the callers of the other.  */
#include <urcu.h>

#include "cardamom/event.h"
#include "cardamom/header-names.h"
#include "cardamom/traffic.h"
#include "sockets.h"

#define SERVICE "viewer"
#define ANSWER_BYTES_MAX (2 << 20)  /* Of one answer.  */
#define ANSWERS_BYTES_MAX (3 << 20) /* Of all answers held at a time.  */

/* A proxy between the nodes that can break the connection or drop all
   bytes.  */
typedef struct
{
  int listener;
  unsigned port, target_port;
  int client_fd, server_fd; /* -1: no connection.  */
  bool silent;
  bool stalled; /* Bytes wait until it is cleared.  */
  GThread *thread;
  GMutex lock;
} proxy_t;

typedef struct
{
  cs_ctx_t *ctx;
  cs_snapshot_t *snapshot;
  cs_snapshot_t *server_snapshot; /* Of SERVER_NODE.  */
  cs_traffic_t *caller_node, *server_node;
  cs_node_info_t caller_info, server_info;
  unsigned caller_port; /* Where callers connect to CALLER_NODE.  */
  int server_listener;  /* Of the backend server.  */
  unsigned server_port;
  proxy_t proxy;
} mesh_t;

static void
on_control (void *user, const char *node, GString *payload)
{
  (void)user, (void)node;
  g_string_free (payload, TRUE);
}

static void
on_member (void *user, const cs_node_info_t *info, bool reachable)
{
  (void)user, (void)info, (void)reachable;
}

static void
on_ignored (void *user)
{
  (void)user;
}

static void
on_crash_record (void *user, const cs_record_t *record)
{
  (void)user, (void)record;
}

/* The mesh whose caller node is probed when it says that it has stopped. Nodes
   of earlier tests still say so, again and again.  */
static gpointer probed_mesh;
static unsigned probed_port;
/* Whether on_stopped was called, and could connect.  */
static gint was_stopped, stopped_still_listens;

static void
on_stopped (void *user)
{
  if (user != g_atomic_pointer_get (&probed_mesh)
      || g_atomic_int_get (&was_stopped))
    return;
  struct sockaddr_in address = loopback_address (probed_port);
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (connect (fd, (struct sockaddr *)&address, sizeof address) == 0)
    g_atomic_int_set (&stopped_still_listens, 1);
  close (fd);
  g_atomic_int_set (&was_stopped, 1);
}

static const cs_traffic_handler_t handler
    = { .control_received = on_control,
        .member_changed = on_member,
        .server_lost = on_ignored,
        .server_leaving = on_ignored,
        .crash_record_lasting = on_crash_record,
        .stopped = on_stopped };

/* Forward bytes in both directions, one connection at a time.  */
static void *
run_proxy (void *arg)
{
  proxy_t *proxy = arg;
  for (;;)
    {
      struct sockaddr_in address = loopback_address (proxy->target_port);
      int client = accept (proxy->listener, NULL, NULL);
      int server = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
      if (client < 0)
        return NULL;
      if (connect (server, (struct sockaddr *)&address, sizeof address) != 0)
        {
          close (client);
          close (server);
          continue;
        }
      g_mutex_lock (&proxy->lock);
      proxy->client_fd = client;
      proxy->server_fd = server;
      g_mutex_unlock (&proxy->lock);
      for (bool open = true; open;)
        {
          char bytes[65536];
          struct pollfd fds[] = { { .fd = client, .events = POLLIN },
                                  { .fd = server, .events = POLLIN } };
          poll (fds, 2, 50);
          g_mutex_lock (&proxy->lock);
          bool stalled = proxy->stalled;
          g_mutex_unlock (&proxy->lock);
          if (stalled)
            g_usleep (10000);
          for (int i = 0; i < 2 && open && !stalled; i++)
            if (fds[i].revents)
              {
                ssize_t n = recv (fds[i].fd, bytes, sizeof bytes, 0);
                g_mutex_lock (&proxy->lock);
                bool silent = proxy->silent;
                g_mutex_unlock (&proxy->lock);
                if (n <= 0)
                  open = false;
                else if (!silent)
                  open = send (fds[1 - i].fd, bytes, (size_t)n, MSG_NOSIGNAL)
                         == n;
              }
        }
      g_mutex_lock (&proxy->lock);
      proxy->client_fd = proxy->server_fd = -1;
      proxy->silent = false;
      g_mutex_unlock (&proxy->lock);
      close (client);
      close (server);
    }
}

static void
break_connection (proxy_t *proxy)
{
  g_mutex_lock (&proxy->lock);
  if (proxy->client_fd >= 0)
    shutdown (proxy->client_fd, SHUT_RDWR);
  g_mutex_unlock (&proxy->lock);
}

static cs_snapshot_t *
make_snapshot (cs_ctx_t *ctx)
{
  static const struct
  {
    const char *path, *prefix;
    bool idempotent;
  } routes[] = { { "read", "/read/", true }, { "write", "/write/", false } };
  GString *errors = g_string_new (NULL);
  cs_snapshot_t *snapshot = cs_snapshot_new (ctx, 1);
  cs_service_t *service = g_new0 (cs_service_t, 1);
  service->path = g_strdup (SERVICE);
  cs_snapshot_add_service (snapshot, service);
  for (size_t i = 0; i < G_N_ELEMENTS (routes); i++)
    {
      cs_route_t *route = g_new0 (cs_route_t, 1);
      route->path = g_strdup (routes[i].path);
      route->host = g_strdup ("h");
      route->prefix = g_strdup (routes[i].prefix);
      route->methods = CS_METHODS_ALL;
      route->service_path = g_strdup (SERVICE);
      route->idempotent = routes[i].idempotent;
      route->timeout_ms = 15000;
      route->max_attempts = 2;
      cs_snapshot_add_route (snapshot, route);
    }
  g_assert_cmpint (cs_snapshot_link (ctx, snapshot, errors), ==, CS_OK);
  g_string_free (errors, TRUE);
  return snapshot;
}

static const cs_retry_window_settings_t ample_retries
    = { .ratio = 1, .slack = 100, .window = 10 * CS_SEC };
static const cs_retry_window_settings_t no_retries
    = { .ratio = 0, .slack = 0, .window = 10 * CS_SEC };
/* Of the nodes that are started next.  */
static cs_retry_window_settings_t retry_settings;

/* Keys do not fail closed here.  */
static const _Atomic int64_t keys_fresh_at;

static cs_traffic_t *
start_node (mesh_t *mesh, cs_node_info_t *info, const char *name,
            unsigned peer_port, unsigned caller_port)
{
  char listen[32], address[32];
  g_snprintf (listen, sizeof listen, "127.0.0.1:%u", peer_port);
  g_snprintf (address, sizeof address, "127.0.0.1:%u", caller_port);
  g_strlcpy (info->name, name, sizeof info->name);
  g_strlcpy (info->dc, "a", sizeof info->dc);
  g_strlcpy (info->region, "r", sizeof info->region);
  if (!info->address[0])
    g_strlcpy (info->address, listen, sizeof info->address);
  info->boot_ms = 1;
  cs_traffic_settings_t settings
      = { .caller_address = address,
          .peer_address = listen,
          .self = *info,
          .caller_service = "desk",
          .answer_memory = { .max_per_answer = ANSWER_BYTES_MAX,
                             .max_total = ANSWERS_BYTES_MAX },
          .retry_window = retry_settings,
          .grace_period = 6 * CS_SEC,
          .keys_fresh_at = &keys_fresh_at,
          .cap_tolerance = { .window = 5 * CS_SEC, .over = 0.1, .slack = 4 },
          .snapshot = info == &mesh->server_info ? &mesh->server_snapshot
                                                 : &mesh->snapshot };
  cs_traffic_t *traffic
      = cs_traffic_new (mesh->ctx, &settings, &handler, mesh);
  g_assert_nonnull (traffic);
  cs_traffic_start (traffic);
  return traffic;
}

/* Report to the node that the backend server is ready.  STARTED_MS, when it
   was started, is also the number in the name of its instance.  */
static void
report_cold_server (mesh_t *mesh, int64_t slots, int64_t started_ms,
                    cs_usec_t cold_for)
{
  cs_backend_t backend = { .state = CS_BACKEND_READY };
  if (cold_for)
    backend.warm_at = cs_now (mesh->ctx) + cold_for;
  backend.report.slots = slots;
  backend.report.started_ms = started_ms;
  g_strlcpy (backend.report.service, SERVICE, CS_NAME_SIZE);
  g_strlcpy (backend.report.version, "v1", CS_NAME_SIZE);
  g_snprintf (backend.report.instance, CS_NAME_SIZE, "i%" G_GINT64_FORMAT,
              started_ms);
  g_snprintf (backend.report.address, CS_NAME_SIZE, "127.0.0.1:%u",
              mesh->server_port);
  cs_traffic_set_server_state (mesh->server_node, &backend);
}

static void
report_server (mesh_t *mesh, int64_t slots, int64_t started_ms)
{
  report_cold_server (mesh, slots, started_ms, 0);
}

/* Send a request whose caller waits for DEADLINE_MS.  */
static void
send_request_for (int fd, const char *method, const char *path, const char *id,
                  const char *body, int deadline_ms)
{
  char *text = g_strdup_printf (
      "%s %s HTTP/1.1\r\nHost: h\r\nCardamom-Attempt: %s\r\n"
      "Cardamom-Deadline-Ms: %d\r\nContent-Length: %zu\r\n\r\n%s",
      method, path, id, deadline_ms, strlen (body), body);
  send_text (fd, text);
  g_free (text);
}

static void
send_request (int fd, const char *method, const char *path, const char *id,
              const char *body)
{
  send_request_for (fd, method, path, id, body, 15000);
}

/* Send the answer 200 to the attempt ID.  A success is passed on only if it
   has the field Cardamom-Seal.  */
static void
send_answer (int fd, const char *id, const char *body)
{
  char *text = g_strdup_printf (
      "HTTP/1.1 200 OK\r\nCardamom-Attempt: %s\r\nCardamom-Seal: s\r\n"
      "Content-Length: %zu\r\n\r\n%s",
      id, strlen (body), body);
  send_text (fd, text);
  g_free (text);
}

static void
expect_answer (int fd, const char *status, const char *body)
{
  char *answer = receive_message (fd);
  char *line = g_strdup_printf ("HTTP/1.1 %s", status);
  if (!g_str_has_prefix (answer, line) || !g_str_has_suffix (answer, body))
    g_error ("expected %s and body \"%s\", got:\n%s", status, body, answer);
  g_free (line);
  g_free (answer);
}

/* Accept the next request at the server, which must contain TEXT, and return
   its connection.  */
static int
accept_request (const mesh_t *mesh, const char *text)
{
  int fd = accept_one (mesh->server_listener);
  char *request = receive_message (fd);
  if (!strstr (request, text))
    g_error ("expected a request with \"%s\", got:\n%s", text, request);
  g_free (request);
  return fd;
}

/* Wait until the nodes know each other and the server, so that a request gets
   through.  */
static void
wait_for_mesh (mesh_t *mesh)
{
  for (;;)
    {
      int fd = connect_to (mesh->caller_port);
      send_request (fd, "GET", "/read/warm", "warm", "");
      struct pollfd fds[]
          = { { .fd = fd, .events = POLLIN },
              { .fd = mesh->server_listener, .events = POLLIN } };
      g_assert_cmpint (poll (fds, 2, SOCKET_TIMEOUT_MS), >, 0);
      if (fds[1].revents)
        {
          int server = accept_request (mesh, "GET /read/warm HTTP/1.1\r\n");
          send_answer (server, "warm", "ok");
          close (server);
          expect_answer (fd, "200", "ok");
          close (fd);
          return;
        }
      close (fd);
      g_usleep (20000);
    }
}

static mesh_t *
start_mesh_with (int64_t slots, const cs_retry_window_settings_t *retries)
{
  mesh_t *mesh = g_new0 (mesh_t, 1);
  retry_settings = *retries;
  unsigned peer_port = free_port ();
  mesh->ctx = cs_ctx_new (NULL, cs_clock_boottime (), 5);
  mesh->snapshot = mesh->server_snapshot = make_snapshot (mesh->ctx);
  mesh->server_listener = listen_on_free_port (&mesh->server_port);
  mesh->proxy.listener = listen_on_free_port (&mesh->proxy.port);
  mesh->proxy.target_port = peer_port;
  mesh->proxy.client_fd = mesh->proxy.server_fd = -1;
  mesh->proxy.thread = g_thread_new ("proxy", run_proxy, &mesh->proxy);
  mesh->caller_port = free_port ();
  g_snprintf (mesh->server_info.address, CS_NAME_SIZE, "127.0.0.1:%u",
              mesh->proxy.port);
  mesh->server_node
      = start_node (mesh, &mesh->server_info, "back", peer_port, free_port ());
  mesh->caller_node = start_node (mesh, &mesh->caller_info, "front",
                                  free_port (), mesh->caller_port);
  report_server (mesh, slots, 1);
  cs_traffic_update_member (mesh->caller_node, &mesh->server_info);
  wait_for_mesh (mesh);
  return mesh;
}

static mesh_t *
start_mesh (int64_t slots)
{
  return start_mesh_with (slots, &ample_retries);
}

/* A forwarded request: forged and hop-by-hop fields are removed, the node's
   own are set, and the answer comes back on a connection that stays open.  */
static void
test_forward (void)
{
  mesh_t *mesh = start_mesh (4);
  int caller = connect_to (mesh->caller_port);
  send_text (caller, "PUT /write/1?q=2 HTTP/1.1\r\nHost: h\r\n"
                     "Cardamom-Attempt: a1\r\nCardamom-Caller: forged\r\n"
                     "Connection: X-Hop\r\nX-Hop: 1\r\nX-End: 2\r\n"
                     "Cardamom-Deadline-Ms: 900\r\nContent-Length: 3\r\n\r\n"
                     "abc");
  int server = accept_one (mesh->server_listener);
  char *request = receive_message (server);
  g_assert_true (g_str_has_prefix (request, "PUT /write/1?q=2 HTTP/1.1\r\n"));
  g_assert_true (g_str_has_suffix (request, "\r\n\r\nabc"));
  g_assert_nonnull (strstr (request, "Cardamom-Caller: desk\r\n"));
  g_assert_null (strstr (request, "forged"));
  g_assert_null (strstr (request, "X-Hop"));
  g_assert_nonnull (strstr (request, "X-End: 2\r\n"));
  g_assert_nonnull (strstr (request, "Cardamom-Instance: i1\r\n"));
  g_assert_cmpint (atoi (strstr (request, "Cardamom-Deadline-Ms: ") + 22), <=,
                   900);
  g_free (request);
  send_answer (server, "a1", "done");
  expect_answer (caller, "200", "done");
  /* The connection stays usable.  */
  send_request (caller, "GET", "/nowhere/", "a2", "");
  expect_answer (caller, "404", "");
  close (caller);
  close (server);
}

/* When a caller disconnects, its running idempotent request is cancelled at
   the server and its queued one is never sent.  */
static void
test_caller_disconnects (void)
{
  mesh_t *mesh = start_mesh (1);
  int first = connect_to (mesh->caller_port),
      second = connect_to (mesh->caller_port);
  send_request (first, "GET", "/read/1", "a1", "");
  int server = accept_request (mesh, "/read/1");
  send_request (second, "GET", "/read/2", "a2", "");
  g_assert_false (readable (mesh->server_listener, SOCKET_ABSENCE_MS));
  close (second);
  g_usleep (SOCKET_ABSENCE_MS * 1000);
  close (first);
  char *rest = receive_until_eof (server);
  g_assert_cmpstr (rest, ==, "");
  g_free (rest);
  close (server);
  g_assert_false (readable (mesh->server_listener, SOCKET_ABSENCE_MS));
}

/* At the deadline the caller gets 504 and the server's connection is closed.
 */
static void
test_deadline (void)
{
  mesh_t *mesh = start_mesh (1);
  int caller = connect_to (mesh->caller_port);
  send_text (caller, "GET /read/1 HTTP/1.1\r\nHost: h\r\n"
                     "Cardamom-Attempt: a1\r\n"
                     "Cardamom-Deadline-Ms: 150\r\n\r\n");
  int server = accept_request (mesh, "/read/1");
  expect_answer (caller, "504", "");
  char *rest = receive_until_eof (server);
  g_free (rest);
  close (server);
  close (caller);
}

/* Pipelined requests run in parallel and are answered in their order; one that
   is not idempotent starts only after all before it are answered.  */
static void
test_pipelined (void)
{
  mesh_t *mesh = start_mesh (4);
  int caller = connect_to (mesh->caller_port);
  send_request (caller, "GET", "/read/1", "a1", "");
  send_request (caller, "GET", "/read/2", "a2", "");
  send_request (caller, "PUT", "/write/3", "a3", "x");
  int first_server = accept_request (mesh, "/read/"),
      second_server = accept_request (mesh, "/read/");
  /* The request that is not idempotent waits.  */
  g_assert_false (readable (mesh->server_listener, SOCKET_ABSENCE_MS));
  send_answer (second_server, "a2", "two");
  g_assert_false (readable (caller, SOCKET_ABSENCE_MS));
  send_answer (first_server, "a1", "one");
  expect_answer (caller, "200", "one");
  expect_answer (caller, "200", "two");
  struct pollfd fds[] = { { .fd = first_server, .events = POLLIN },
                          { .fd = second_server, .events = POLLIN } };
  g_assert_cmpint (poll (fds, 2, SOCKET_TIMEOUT_MS), >, 0);
  int third_server = fds[0].revents ? first_server : second_server;
  char *request = receive_message (third_server);
  g_assert_nonnull (strstr (request, "PUT /write/3"));
  g_free (request);
  send_answer (third_server, "a3", "three");
  expect_answer (caller, "200", "three");
  close (first_server);
  close (second_server);
  close (caller);
}

/* The server answers before it has read a long body.  The rest of the body is
   sent all the same, though a close may cut it short, and no other bytes
   are.  */
static void
test_early_answer (void)
{
  mesh_t *mesh = start_mesh (4);
  int caller = connect_to (mesh->caller_port);
  GString *body = g_string_new (NULL);
  for (int i = 0; i < 400000; i++)
    g_string_append_c (body, (char)('a' + i % 26));
  send_request (caller, "PUT", "/write/1", "a1", body->str);
  int server = accept_one (mesh->server_listener);
  GString *got = g_string_new (NULL);
  while (!strstr (got->str, "\r\n\r\n"))
    g_assert_true (receive_some (server, got));
  send_answer (server, "a1", "early");
  expect_answer (caller, "200", "early");
  gsize head = (gsize)(strstr (got->str, "\r\n\r\n") + 4 - got->str);
  while (got->len < head + body->len && receive_some (server, got))
    continue;
  /* The body may be cut short by a close, but not altered.  */
  g_assert_cmpuint (got->len, <=, head + body->len);
  g_assert_cmpint (memcmp (got->str + head, body->str, got->len - head), ==,
                   0);
  g_string_free (got, TRUE);
  g_string_free (body, TRUE);
  close (server);
  close (caller);
}

/* More than the buffers of two sockets take.  */
#define UPLOAD_BYTES (16 << 20)
#define UNFRAMED_ANSWER_HEAD                                                  \
  "HTTP/1.1 200 OK\r\nCardamom-Attempt: a1\r\nCardamom-Seal: s\r\n\r\n"

/* An answer whose body ends with the connection, in order, is whole (RFC 9112,
   section 8): it is passed on with its length, so that what cuts it on the way
   to the caller shows.  One that ends with a reset is a failure.  */
static void
test_unframed (void)
{
  mesh_t *mesh = start_mesh (4);
  int caller = connect_to (mesh->caller_port);
  send_request (caller, "PUT", "/write/1", "a1", "x");
  int server = accept_request (mesh, "/write/1");
  send_text (server, UNFRAMED_ANSWER_HEAD "part");
  close (server);
  char *answer = receive_message (caller);
  g_assert_true (g_str_has_prefix (answer, "HTTP/1.1 200"));
  g_assert_true (g_str_has_suffix (answer, "\r\n\r\npart"));
  g_assert_nonnull (strstr (answer, "\r\nContent-Length: 4\r\n"));
  g_free (answer);
  close (caller);
  caller = connect_to (mesh->caller_port);
  send_request (caller, "PUT", "/write/2", "a2", "x");
  server = accept_request (mesh, "/write/2");
  send_text (server, "HTTP/1.1 200 OK\r\nCardamom-Attempt: a2\r\n"
                     "Cardamom-Seal: s\r\n\r\npart");
  g_usleep (50000);
  reset_connection (server);
  expect_answer (caller, "502", "");
  close (caller);
}

static const cs_http1_server_limits_t upload_limits
    = { .head_max = 16384,
        .body_max = UPLOAD_BYTES,
        .head_timeout = 3 * CS_SEC,
        .idle_timeout = 30 * CS_SEC };

/* The server answers a long upload at once, without a length, and ends the
   connection with the upload unread: the caller gets none of it.  */
static void
test_upload_cut (void)
{
  char *body = g_strnfill (UPLOAD_BYTES, 'u');
  for (int i = 0; i < 6; i++)
    {
      mesh_t *mesh = start_mesh (4);
      cs_traffic_set_limits (mesh->caller_node, &upload_limits);
      int caller = connect_to (mesh->caller_port);
      send_request (caller, "PUT", "/write/1", "a1", body);
      int server = accept_one (mesh->server_listener);
      GString *got = g_string_new (NULL);
      while (!strstr (got->str, "\r\n\r\n"))
        g_assert_true (receive_some (server, got));
      send_text (server, UNFRAMED_ANSWER_HEAD "part");
      if (i % 2)
        reset_connection (server);
      else
        close (server);
      expect_answer (caller, "502", "");
      g_string_free (got, TRUE);
      close (caller);
    }
  g_free (body);
}

/* The server answers a long upload with a length, keeps the connection and
   reads on later: the next request comes on another one, and what it reads is
   the rest of the body.  */
static void
test_next_request_inside_upload (void)
{
  char *body = g_strnfill (UPLOAD_BYTES, 'u');
  mesh_t *mesh = start_mesh (4);
  cs_traffic_set_limits (mesh->caller_node, &upload_limits);
  int caller = connect_to (mesh->caller_port);
  send_request (caller, "PUT", "/write/1", "a1", body);
  int server = accept_one (mesh->server_listener);
  GString *got = g_string_new (NULL);
  while (!strstr (got->str, "\r\n\r\n"))
    g_assert_true (receive_some (server, got));
  g_string_erase (got, 0, strstr (got->str, "\r\n\r\n") + 4 - got->str);
  send_answer (server, "a1", "early");
  expect_answer (caller, "200", "early");
  send_request (caller, "PUT", "/write/2", "a2", "x");
  int next = accept_request (mesh, "/write/2");
  send_answer (next, "a2", "second");
  expect_answer (caller, "200", "second");
  while (receive_some (server, got))
    continue;
  g_assert_cmpuint (got->len, <, UPLOAD_BYTES);
  g_assert_cmpuint (strspn (got->str, "u"), ==, got->len);
  g_string_free (got, TRUE);
  g_free (body);
  close (server);
  close (next);
  close (caller);
}

/* Answers that are none in the protocol end the request at once.  */
static void
test_malformed_answer (void)
{
  static const char *const answers[] = {
    "HTTP/1.1 000 No\r\nContent-Length: 0\r\n\r\n",
    "HTTP/1.1 099 No\r\nContent-Length: 0\r\n\r\n",
    "HTTP/1.1 20 No\r\nContent-Length: 0\r\n\r\n",
    "HTTP/1.1 999 No\r\nCardamom-Attempt: a1\r\nCardamom-Seal: s\r\n"
    "Content-Length: 0\r\n\r\n",
    "HTTP/1.1 200 OK\nCardamom-Attempt: a1\nContent-Length: 0\n\n",
    "HTTP/1.1 200 OK\r\nCardamom-Attempt: a1\r\nCardamom-Seal: s\r\n"
    "Transfer-Encoding: chunked\r\n\r\n0\r\nA B: c\r\n\r\n",
    "HTTP/1.1 200 OK\r\nCardamom-Attempt: a1\r\nCardamom-Seal: s\r\n"
    "Transfer-Encoding: chunked\r\n\r\n2\r\nabXY0\r\n\r\n",
    "HTTP/1.1 200 OK\r\nCardamom-Attempt: a1\r\nCardamom-Seal: s\r\n"
    "Transfer-Encoding: chunked\t\r\n\r\n2\r\nab\r\n0\r\n\r\n",
    "HTTP/2.0 200 OK\r\nCardamom-Attempt: a1\r\nCardamom-Seal: s\r\n"
    "Content-Length: 0\r\n\r\n",
    "HTTP/1.1 101 Switch\r\n\r\n",
  };
  for (size_t i = 0; i < G_N_ELEMENTS (answers); i++)
    {
      mesh_t *mesh = start_mesh (4);
      int caller = connect_to (mesh->caller_port);
      send_request (caller, "PUT", "/write/1", "a1", "x");
      int server = accept_request (mesh, "/write/1");
      gint64 sent_at = g_get_monotonic_time ();
      send_text (server, answers[i]);
      expect_answer (caller, "502", "");
      g_assert_cmpint (g_get_monotonic_time () - sent_at, <,
                       5 * G_USEC_PER_SEC);
      close (server);
      close (caller);
    }
}

/* Requests whose end another reader may see elsewhere are refused, with their
   connection, and nothing of them is run.  */
static void
test_malformed_chunks (void)
{
  static const char *const bodies[]
      = { "2\rXab\r\n0\r\n\r\n", "2\r\nabXY0\r\n\r\n",
          "2;a\nb\r\nab\r\n0\r\n\r\n", "2\r\nab\r\n0\r\n\rX" };
  mesh_t *mesh = start_mesh (4);
  for (size_t i = 0; i < G_N_ELEMENTS (bodies); i++)
    {
      int caller = connect_to (mesh->caller_port);
      send_text (caller, "PUT /write/1 HTTP/1.1\r\nHost: h\r\n"
                         "Cardamom-Attempt: a1\r\n"
                         "Transfer-Encoding: chunked\r\n\r\n");
      send_text (caller, bodies[i]);
      send_request (caller, "PUT", "/write/2", "a2", "x");
      char *answer = receive_until_eof (caller);
      g_assert_true (g_str_has_prefix (answer, "HTTP/1.1 400 "));
      g_assert_null (strstr (answer + 1, "HTTP/1.1 "));
      g_free (answer);
      close (caller);
    }
  g_assert_false (readable (mesh->server_listener, SOCKET_ABSENCE_MS));
}

/* Answers with the attempt id of another request, and surplus answers, are
   never passed on.  */
static void
test_foreign_answer (void)
{
  mesh_t *mesh = start_mesh (1);
  int caller = connect_to (mesh->caller_port);
  send_request (caller, "GET", "/read/1", "a1", "");
  int server = accept_request (mesh, "/read/1");
  send_answer (server, "a0", "foreign");
  send_answer (server, "a1", "own");
  expect_answer (caller, "200", "own");
  close (server);
  send_request (caller, "GET", "/read/2", "a2", "");
  server = accept_request (mesh, "/read/2");
  send_answer (server, "a2", "second");
  send_answer (server, "a2", "again");
  expect_answer (caller, "200", "second");
  send_request (caller, "GET", "/read/3", "a3", "");
  close (server);
  server = accept_request (mesh, "/read/3");
  send_answer (server, "a3", "third");
  expect_answer (caller, "200", "third");
  close (server);
  close (caller);
}

#define REFUSAL_WITHOUT_ID                                                    \
  "HTTP/1.1 503 Busy\r\nCardamom-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"

/* On a kept connection the server writes an earlier refusal once more, with
   the earlier id or without one, while it runs a request that may run once:
   the caller is not told that it has not run.  */
static void
test_earlier_refusal_written_again (void)
{
  static const struct
  {
    const char *earlier_id, *id, *refusal;
  } cases[] = {
    { "a0", "a1", REFUSAL_WITHOUT_ID },
    { "b0", "b1",
      "HTTP/1.1 503 Busy\r\nCardamom-Attempt: b0\r\n"
      "Cardamom-Not-Run: 1\r\nContent-Length: 0\r\n\r\n" },
  };
  mesh_t *mesh = start_mesh (1);
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      int caller = connect_to (mesh->caller_port);
      send_request (caller, "PUT", "/write/1", cases[i].earlier_id, "x");
      int server = accept_request (mesh, "/write/1");
      send_answer (server, cases[i].earlier_id, "zero");
      expect_answer (caller, "200", "zero");
      send_request (caller, "PUT", "/write/2", cases[i].id, "x");
      char *request = receive_message (server);
      g_assert_nonnull (strstr (request, "PUT /write/2"));
      g_free (request);
      send_text (server, cases[i].refusal);
      if (readable (caller, SOCKET_ABSENCE_MS))
        {
          g_test_message ("refusal %zu was passed on", i);
          g_test_fail ();
        }
      else
        {
          send_answer (server, cases[i].id, "one");
          expect_answer (caller, "200", "one");
        }
      close (server);
      close (caller);
    }
}

/* As accept_request, where the request may also come on IDLE_FD.  */
static int
accept_request_or_on (const mesh_t *mesh, int idle_fd, const char *text)
{
  struct pollfd fds[] = { { .fd = idle_fd, .events = POLLIN },
                          { .fd = mesh->server_listener, .events = POLLIN } };
  g_assert_cmpint (poll (fds, 2, SOCKET_TIMEOUT_MS), >, 0);
  if (!fds[0].revents)
    return accept_request (mesh, text);
  char *request = receive_message (idle_fd);
  if (!*request) /* The node has closed it.  */
    {
      g_free (request);
      return accept_request (mesh, text);
    }
  g_assert_nonnull (strstr (request, text));
  g_free (request);
  return idle_fd;
}

/* Let the server answer a first request of METHOD, and send it a second one,
   a2, on the kept connection, which is returned.  The paths are /read/1 and
   /read/2, or /write/1 and /write/2 for PUT.  */
static int
send_on_kept_connection (const mesh_t *mesh, int caller, const char *method)
{
  bool writes = strcmp (method, "PUT") == 0;
  const char *first = writes ? "/write/1" : "/read/1",
             *second = writes ? "/write/2" : "/read/2";
  send_request (caller, method, first, "a1", "");
  int server = accept_request (mesh, first);
  send_answer (server, "a1", "one");
  expect_answer (caller, "200", "one");
  send_request (caller, method, second, "a2", "");
  char *request = receive_message (server);
  char *line = g_strdup_printf ("%s %s HTTP/1.1\r\n", method, second);
  g_assert_true (g_str_has_prefix (request, line));
  g_assert_nonnull (strstr (request, "Cardamom-Attempt: a2"));
  g_free (line);
  g_free (request);
  return server;
}

/* Late second answers to a1 that end with the connection.  */
static const char *const late_answers[] = {
  "HTTP/1.1 200 OK\r\nCardamom-Attempt: a1\r\nCardamom-Seal: s\r\n\r\none",
  "HTTP/1.1 503 Busy\r\nCardamom-Attempt: a1\r\n"
  "Cardamom-Not-Run: 1\r\nConnection: close\r\n\r\n",
  "HTTP/1.1 500 Error\r\nCardamom-Attempt: a1\r\nCardamom-Seal: s\r\n\r\n",
  "HTTP/1.1 503 Busy\r\nCardamom-Not-Run: 1\r\n\r\n",
};

/* Send a1 and a2, requests of METHOD, on one connection to the server, and
   late_answers[INDEX] in the place of the answer to a2.  Returns the
   connection, closed unless it STAYS_OPEN.  */
static int
send_late_answer (const mesh_t *mesh, int caller, const char *method,
                  size_t index, bool stays_open)
{
  int server = send_on_kept_connection (mesh, caller, method);
  g_test_message ("late answer %zu, connection stays open: %d", index,
                  stays_open);
  send_text (server, late_answers[index]);
  if (!stays_open)
    close (server);
  return server;
}

/* A late second answer without a length comes where that of a request is due
   which may run once: whatever it says, its end is not taken for the end of
   that request's answer.  The outcome is told as unknown at once, and the
   request is not interrupted at the server.  */
static void
test_late_answer_to_unsafe_request (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (late_answers); i++)
    for (int stays_open = 0; stays_open < 2; stays_open++)
      {
        mesh_t *mesh = start_mesh (1);
        int caller = connect_to (mesh->caller_port);
        int server = send_late_answer (mesh, caller, "PUT", i, stays_open);
        expect_answer (caller, "502", "");
        if (stays_open)
          {
            g_assert_false (readable (server, SOCKET_ABSENCE_MS));
            close (server);
          }
        /* The slot is free again.  The node has opened a connection to see
           whether the server has ended.  */
        int check = accept_one (mesh->server_listener);
        send_request (caller, "PUT", "/write/", "a3", "");
        server = accept_request_or_on (mesh, check, "Cardamom-Attempt: a3");
        send_answer (server, "a3", "three");
        expect_answer (caller, "200", "three");
        close (server);
        close (caller);
      }
}

/* The same with a request that may be sent again: it is, at once, on a new
   connection.  */
static void
test_late_answer_to_safe_request (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (late_answers); i++)
    for (int stays_open = 0; stays_open < 2; stays_open++)
      {
        mesh_t *mesh = start_mesh (1);
        int caller = connect_to (mesh->caller_port);
        int server = send_late_answer (mesh, caller, "GET", i, stays_open);
        int second_server = accept_request (mesh, "Cardamom-Attempt: a2");
        send_answer (second_server, "a2", "two");
        expect_answer (caller, "200", "two");
        if (stays_open)
          {
            g_assert_true (readable (server, SOCKET_TIMEOUT_MS));
            close (server);
          }
        close (second_server);
        close (caller);
      }
}

/* Answers in which a late second one cannot be told from that of the next
   request on the connection.  A2 is the request in flight.  */
static const struct
{
  const char *method, *id;
  const char *late;   /* To the request before A2.  */
  const char *answer; /* To A2.  */
} indistinct[] = {
  /* What the late answer has for a body looks like the next answer.  */
  { "HEAD", "Cardamom-Attempt: a2\r\n",
    "HTTP/1.1 200 OK\r\nCardamom-Attempt: a1\r\nCardamom-Seal: s\r\n"
    "Content-Length: 52\r\n\r\n"
    "HTTP/1.1 500 Error\r\nCardamom-Attempt: a2\r\nEnd: 1\r\n\r\n",
    "HTTP/1.1 200 OK\r\nCardamom-Attempt: a2\r\nCardamom-Seal: s\r\n\r\n" },
  { "GET", "",
    "HTTP/1.1 500 Error\r\nCardamom-Seal: s\r\nContent-Length: 0\r\n\r\n",
    "HTTP/1.1 200 OK\r\nCardamom-Seal: s\r\nContent-Length: 0\r\n\r\n" },
};

/* A request gets no kept connection if a late second answer there would be
   taken for its own.  */
static void
test_late_answer_not_told_apart (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (indistinct); i++)
    {
      mesh_t *mesh = start_mesh (1);
      int caller = connect_to (mesh->caller_port);
      send_request (caller, "GET", "/read/1", "a1", "");
      int kept = accept_request (mesh, "/read/1");
      send_answer (kept, "a1", "one");
      expect_answer (caller, "200", "one");
      char *text = g_strdup_printf ("%s /read/2 HTTP/1.1\r\nHost: h\r\n%s"
                                    "Cardamom-Deadline-Ms: 15000\r\n\r\n",
                                    indistinct[i].method, indistinct[i].id);
      send_text (caller, text);
      g_free (text);
      int server = accept_request_or_on (mesh, kept, "/read/2 HTTP/1.1\r\n");
      if (server == kept)
        send_text (server, indistinct[i].late);
      send_text (server, indistinct[i].answer);
      expect_answer (caller, "200", "");
      if (server != kept)
        close (server);
      close (kept);
      close (caller);
    }
}

/* After HEAD the connection is not kept: a late second answer to it would be
   read with a body, and take the answer to the next request for that.  */
static void
test_late_answer_to_head_before (void)
{
  mesh_t *mesh = start_mesh (1);
  int caller = connect_to (mesh->caller_port);
  send_text (caller, "HEAD /read/1 HTTP/1.1\r\nHost: h\r\n"
                     "Cardamom-Attempt: a1\r\n\r\n");
  int kept = accept_request (mesh, "/read/1");
  const char *answer = "HTTP/1.1 200 OK\r\nCardamom-Attempt: a1\r\n"
                       "Cardamom-Seal: s\r\nContent-Length: 3\r\n\r\n";
  send_text (kept, answer);
  expect_answer (caller, "200", "");
  send_request (caller, "GET", "/read/2", "a2", "");
  int server = accept_request_or_on (mesh, kept, "/read/2");
  if (server == kept)
    send_text (server, answer);
  send_answer (server, "a2", "two");
  expect_answer (caller, "200", "two");
  if (server != kept)
    close (server);
  close (kept);
  close (caller);
}

/* On a new connection, where no earlier answer can be written again, a refusal
   counts without an id.  */
static void
test_refusal_without_id (void)
{
  mesh_t *mesh = start_mesh (1);
  int caller = connect_to (mesh->caller_port);
  send_request (caller, "PUT", "/write/1", "a1", "x");
  int server = accept_request (mesh, "/write/1");
  send_text (server, REFUSAL_WITHOUT_ID);
  expect_answer (caller, "503", "");
  close (server);
  close (caller);
}

/* The server stops at any byte of its answer's head, or of the body, and
   closes: the caller never gets a success framed as whole.  */
static void
test_answer_cut_short (void)
{
  mesh_t *mesh = start_mesh (1);
  size_t length = 0, whole;
  do
    {
      char *id = g_strdup_printf ("a%03zu", length);
      char *answer = g_strdup_printf (
          "HTTP/1.1 200 OK\r\nCardamom-Attempt: %s\r\nCardamom-Seal: s\r\n"
          "Content-Length: 4\r\n\r\nbody",
          id);
      int caller = connect_to (mesh->caller_port);
      send_request (caller, "PUT", "/write/1", id, "x");
      int server = accept_request (mesh, "/write/1");
      whole = strlen (answer);
      answer[length++] = '\0';
      send_text (server, answer);
      close (server);
      expect_answer (caller, "502", "");
      close (caller);
      g_free (answer);
      g_free (id);
    }
  while (length < whole);
}

#define ENDLESS_ANSWER_BYTES (64u << 20) /* Far more than a node may read. */

/* Send FIRST and then MORE over and over until the node closes the connection.
   Returns the bytes sent after FIRST.  */
static size_t
send_endlessly (int fd, const char *first, const char *more)
{
  GString *block = g_string_new (NULL);
  size_t sent = 0;
  ssize_t n;
  while (block->len < 65536)
    g_string_append (block, more);
  send_text (fd, first);
  while (sent < ENDLESS_ANSWER_BYTES
         && (n = send (fd, block->str, block->len, MSG_NOSIGNAL)) > 0)
    sent += (size_t)n;
  g_string_free (block, TRUE);
  return sent;
}

/* An endless head or body is read up to a limit; the request fails there and
   not only at its deadline.  */
static void
test_endless_answer (void)
{
#define HEAD "HTTP/1.1 200 OK\r\nCardamom-Seal: s\r\n"
  static const struct
  {
    const char *first, *more;
  } answers[] = {
    { HEAD, "X-More: and more\r\n" },
    { HEAD "X-Long: ", "and more" },
    { HEAD "\r\n", "and more" },
    { HEAD "Transfer-Encoding: chunked\r\n\r\n", "8\r\nand more\r\n" },
    { HEAD "Transfer-Encoding: chunked\r\n\r\n8;", "and more" },
    { HEAD "Transfer-Encoding: chunked\r\n\r\n0\r\n", "A: b\r\n" },
    { "", "\r\n" },
    { "", "no answer at all " },
    { "", "HTTP/1.1 100 Continue\r\n\r\n" },
    { "", "HTTP/1.1 200 OK\r\nCardamom-Attempt: a0\r\n"
          "Content-Length: 0\r\n\r\n" },
  };
  mesh_t *mesh = start_mesh (4);
  for (size_t i = 0; i < G_N_ELEMENTS (answers); i++)
    {
      int caller = connect_to (mesh->caller_port);
      char *id = g_strdup_printf ("a%zu", i + 1);
      send_request (caller, "PUT", "/write/1", id, "x");
      g_free (id);
      int server = accept_request (mesh, "/write/1");
      size_t sent = send_endlessly (server, answers[i].first, answers[i].more);
      g_test_message ("answer %zu: %zu bytes were read", i, sent);
      g_assert_cmpuint (sent, <, ENDLESS_ANSWER_BYTES);
      expect_answer (caller, "502", "");
      close (server);
      close (caller);
    }
}

#define PARALLEL_ANSWERS 3
#define PARALLEL_BODY_BYTES (ANSWERS_BYTES_MAX / 2 - 1024)

/* Answers share a memory limit: the one that exceeds it fails, the others come
   whole.  */
static void
test_answers_share_memory (void)
{
  mesh_t *mesh = start_mesh (PARALLEL_ANSWERS);
  int callers[PARALLEL_ANSWERS], servers[PARALLEL_ANSWERS], failed = 0;
  char *body = g_strnfill (PARALLEL_BODY_BYTES, 'b');
  size_t first_part = PARALLEL_BODY_BYTES - 1024;
  for (int i = 0; i < PARALLEL_ANSWERS; i++)
    {
      char *id = g_strdup_printf ("a%d", i);
      callers[i] = connect_to (mesh->caller_port);
      send_request (callers[i], "PUT", "/write/1", id, "x");
      g_free (id);
      servers[i] = accept_request (mesh, "/write/1");
    }
  for (int i = 0; i < PARALLEL_ANSWERS; i++)
    {
      char *head = g_strdup_printf (
          "HTTP/1.1 200 OK\r\nCardamom-Seal: s\r\nContent-Length: %d\r\n\r\n",
          PARALLEL_BODY_BYTES);
      send_text (servers[i], head);
      g_free (head);
      for (size_t sent = 0; sent < first_part;)
        {
          ssize_t n = send (servers[i], body + sent, first_part - sent,
                            MSG_NOSIGNAL);
          if (n <= 0)
            break;
          sent += (size_t)n;
        }
    }
  struct pollfd fds[PARALLEL_ANSWERS];
  for (int i = 0; i < PARALLEL_ANSWERS; i++)
    fds[i] = (struct pollfd){ .fd = callers[i], .events = POLLIN };
  g_assert_cmpint (poll (fds, PARALLEL_ANSWERS, SOCKET_TIMEOUT_MS), ==, 1);
  for (int i = 0; i < PARALLEL_ANSWERS; i++)
    if (fds[i].revents)
      {
        failed++;
        expect_answer (callers[i], "502", "");
      }
    else
      {
        send_text (servers[i], body + first_part);
        expect_answer (callers[i], "200", body);
      }
  g_assert_cmpint (failed, ==, 1);
  g_free (body);
  for (int i = 0; i < PARALLEL_ANSWERS; i++)
    {
      close (servers[i]);
      close (callers[i]);
    }
}

/* The stream between the nodes breaks while a request that is not idempotent
   runs: its answer still comes, over the next stream, and it runs once.  */
static void
test_stream_breaks_while_running (void)
{
  mesh_t *mesh = start_mesh (1);
  int caller = connect_to (mesh->caller_port);
  send_request (caller, "PUT", "/write/1", "a1", "x");
  int server = accept_request (mesh, "/write/1");
  break_connection (&mesh->proxy);
  g_assert_false (readable (caller, SOCKET_ABSENCE_MS));
  send_answer (server, "a1", "once");
  expect_answer (caller, "200", "once");
  g_assert_false (readable (mesh->server_listener, SOCKET_ABSENCE_MS));
  close (server);
  close (caller);
}

/* The stream breaks while a request that is not idempotent is queued: it is
   refused as not run and never reaches the server.  */
static void
test_stream_breaks_while_queued (void)
{
  mesh_t *mesh = start_mesh (1);
  int first = connect_to (mesh->caller_port),
      second = connect_to (mesh->caller_port);
  send_request (first, "PUT", "/write/1", "a1", "x");
  int server = accept_request (mesh, "/write/1");
  send_request (second, "PUT", "/write/2", "a2", "x");
  g_assert_false (readable (second, SOCKET_ABSENCE_MS));
  break_connection (&mesh->proxy);
  expect_answer (second, "503", "");
  send_answer (server, "a1", "once");
  expect_answer (first, "200", "once");
  g_assert_false (readable (mesh->server_listener, SOCKET_ABSENCE_MS));
  g_assert_false (readable (server, SOCKET_ABSENCE_MS));
  close (server);
  close (first);
  close (second);
}

/* The stream stays open but carries no bytes: it is replaced, and a request
   that is not idempotent still gets its answer.  */
static void
test_silent_stream (void)
{
  mesh_t *mesh = start_mesh (2);
  int caller = connect_to (mesh->caller_port);
  send_request (caller, "PUT", "/write/1", "a1", "x");
  int server = accept_request (mesh, "/write/1");
  g_mutex_lock (&mesh->proxy.lock);
  mesh->proxy.silent = true;
  g_mutex_unlock (&mesh->proxy.lock);
  send_answer (server, "a1", "once");
  expect_answer (caller, "200", "once");
  close (server);
  close (caller);
}

static void
set_stalled (proxy_t *proxy, bool stalled)
{
  g_mutex_lock (&proxy->lock);
  proxy->stalled = stalled;
  g_mutex_unlock (&proxy->lock);
}

/* Nothing comes from the other node for longer than it usually takes, as when
   it is slow or a link is full: what runs there is not given up, and is not
   started again.  */
static void
test_slow_node_given_up (void)
{
  static const char *const methods[] = { "GET", "PUT" };
  static const char *const paths[] = { "/read/1", "/write/1" };
  for (int i = 0; i < 2; i++)
    {
      mesh_t *mesh = start_mesh (2);
      int caller = connect_to (mesh->caller_port);
      send_request (caller, methods[i], paths[i], "a1", "");
      int server = accept_request (mesh, paths[i]);
      set_stalled (&mesh->proxy, true);
      send_answer (server, "a1", "once");
      g_usleep (1800 * 1000);
      set_stalled (&mesh->proxy, false);
      expect_answer (caller, "200", "once");
      g_assert_false (readable (mesh->server_listener, SOCKET_ABSENCE_MS));
      close (server);
      close (caller);
    }
}

/* A malformed request is refused with one answer, and the connection is
   closed: the bytes after it are not parsed as a request.  */
static void
test_refused_once (void)
{
  static const char *const malformed[] = {
    "PUT /write/1 HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
    "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
    "GET /read/2 HTTP/1.1\r\nHost: h\r\n\r\n",
    "GET /read/1 HTTP/1.1\r\nHost : h\r\n\r\n"
    "GET /read/2 HTTP/1.1\r\nHost: h\r\n\r\n",
    "GET /read/1 HTTP/1.1\r\nHost: h\r\nA: b\r\n c\r\n\r\n",
  };
  mesh_t *mesh = start_mesh (2);
  for (size_t i = 0; i < G_N_ELEMENTS (malformed); i++)
    {
      int caller = connect_to (mesh->caller_port);
      send_text (caller, malformed[i]);
      char *answer = receive_until_eof (caller);
      g_assert_true (g_str_has_prefix (answer, "HTTP/1.1 400"));
      g_assert_null (strstr (answer + 1, "HTTP/1.1"));
      g_free (answer);
      close (caller);
    }
  g_assert_false (readable (mesh->server_listener, SOCKET_ABSENCE_MS));
}

/* The server answers that it has not run the request: the caller gets 503 and
   Retry-After.  */
static void
test_not_run (void)
{
  mesh_t *mesh = start_mesh (1);
  int caller = connect_to (mesh->caller_port);
  send_request (caller, "PUT", "/write/1", "a1", "x");
  int server = accept_request (mesh, "/write/1");
  send_text (server, "HTTP/1.1 503 Busy\r\nCardamom-Attempt: a1\r\n"
                     "Cardamom-Not-Run: 1\r\nContent-Length: 0\r\n\r\n");
  char *answer = receive_message (caller);
  g_assert_true (g_str_has_prefix (answer, "HTTP/1.1 503"));
  g_assert_nonnull (strstr (answer, "\r\nRetry-After: 0."));
  g_free (answer);
  close (server);
  close (caller);
}

/* An idempotent request has run at a server that broke off, and no other one
   is left for a retry: the caller is not told that it has not run.  */
static void
test_run_request_not_told_as_not_run (void)
{
  mesh_t *mesh = start_mesh (1);
  int caller = connect_to (mesh->caller_port);
  send_request (caller, "GET", "/read/1", "a1", "");
  int server = accept_request (mesh, "/read/1");
  close (server);
  expect_answer (caller, "502", "");
  close (caller);
}

/* Break the kept connection on which a second request, a2, is in flight.
   Returns the one that the node opens then.  */
static int
break_kept_connection (const mesh_t *mesh, int caller)
{
  close (send_on_kept_connection (mesh, caller, "GET"));
  return accept_one (mesh->server_listener);
}

/* The server runs an idempotent request that came on a kept connection, and
   ends: that it refuses the connection for the second send does not make the
   attempt free.  */
static void
test_resend_counts_as_attempt (void)
{
  mesh_t *mesh = start_mesh (1);
  int caller = connect_to (mesh->caller_port);
  int server = send_on_kept_connection (mesh, caller, "GET");
  close (mesh->server_listener);
  close (server);
  expect_answer (caller, "502", "");
  close (caller);
}

/* A request whose kept connection breaks may have run: sending it once more is
   a retry, and there is no budget for one.  */
static void
test_resend_without_budget (void)
{
  mesh_t *mesh = start_mesh_with (1, &no_retries);
  int caller = connect_to (mesh->caller_port);
  int server = break_kept_connection (mesh, caller);
  expect_answer (caller, "502", "");
  g_assert_false (readable (server, SOCKET_ABSENCE_MS));
  close (server);
  close (caller);
}

/* With a budget it is sent to the same server, which runs on: the connection
   had probably been closed while it was idle.  */
static void
test_resend_after_stale_connection (void)
{
  mesh_t *mesh = start_mesh (1);
  int caller = connect_to (mesh->caller_port);
  int server = break_kept_connection (mesh, caller);
  char *request = receive_message (server);
  g_assert_nonnull (strstr (request, "GET /read/2"));
  g_free (request);
  send_answer (server, "a2", "two");
  expect_answer (caller, "200", "two");
  close (server);
  close (caller);
}

/* Put a configuration in force whose routes allow REGION only.  */
static void
restrict_regions (mesh_t *mesh, const char *region)
{
  cs_snapshot_t *snapshot = make_snapshot (mesh->ctx);
  for (guint i = 0; i < snapshot->routes->len; i++)
    {
      cs_route_t *route = snapshot->routes->pdata[i];
      route->allowed_regions = g_new0 (char *, 2);
      route->allowed_regions[0] = g_strdup (region);
    }
  g_hash_table_remove_all (snapshot->routes_by_host);
  GString *errors = g_string_new (NULL);
  g_assert_cmpint (cs_snapshot_link (mesh->ctx, snapshot, errors), ==, CS_OK);
  g_string_free (errors, TRUE);
  rcu_set_pointer (&mesh->snapshot, snapshot);
  rcu_set_pointer (&mesh->server_snapshot, snapshot);
}

/* While a request runs, a configuration takes force that allows another region
   only.  Its connection breaks; guards against a second send to the region
   that is not allowed any more, and against a first one.  */
static void
test_second_send_stays_in_region (void)
{
  mesh_t *mesh = start_mesh (1);
  int caller = connect_to (mesh->caller_port);
  send_request (caller, "GET", "/read/1", "a1", "");
  int server = accept_request (mesh, "/read/1");
  send_answer (server, "a1", "one");
  expect_answer (caller, "200", "one");
  send_request (caller, "GET", "/read/2", "a2", "");
  char *request = receive_message (server);
  g_free (request);
  restrict_regions (mesh, "elsewhere");
  close (server);
  /* The node looks whether the server has ended.  */
  server = accept_one (mesh->server_listener);
  expect_answer (caller, "502", "");
  g_assert_false (readable (server, SOCKET_ABSENCE_MS));
  send_request (caller, "PUT", "/write/3", "a3", "x");
  expect_answer (caller, "503", "");
  g_assert_false (readable (server, SOCKET_ABSENCE_MS));
  restrict_regions (mesh, "r");
  send_request (caller, "GET", "/read/4", "a4", "");
  request = receive_message (server);
  g_assert_nonnull (strstr (request, "/read/4"));
  g_free (request);
  send_answer (server, "a4", "four");
  expect_answer (caller, "200", "four");
  close (server);
  close (caller);
}

static char **
one_name (const char *name)
{
  char **names = g_new0 (char *, 2);
  names[0] = g_strdup (name);
  return names;
}

/* The node beside a cold server has just started and has no configuration; the
   callers' node has.  Guards against a server that gets more than it takes
   until the configuration is there (FAILBACK after a loss of power).  */
static void
test_cold_without_config (void)
{
  mesh_t *mesh = start_mesh (20);
  cs_snapshot_t *with_rate = make_snapshot (mesh->ctx);
  cs_service_t *service = g_hash_table_lookup (with_rate->services, SERVICE);
  service->warmup_per_s = 2;
  with_rate->version = 2;
  rcu_set_pointer (&mesh->snapshot, with_rate);
  rcu_set_pointer (&mesh->server_snapshot, NULL);
  report_cold_server (mesh, 20, 2, 30 * CS_SEC);
  g_usleep (SOCKET_ABSENCE_MS * 1000);
  int callers[12];
  unsigned reached = 0;
  for (int i = 0; i < 12; i++)
    {
      char *id = g_strdup_printf ("c%d", i);
      callers[i] = connect_to (mesh->caller_port);
      send_request (callers[i], "PUT", "/write/1", id, "x");
      g_free (id);
    }
  gint64 since = g_get_monotonic_time ();
  while (g_get_monotonic_time () - since < G_USEC_PER_SEC)
    if (readable (mesh->server_listener, 50))
      {
        accept_one (mesh->server_listener);
        reached++;
      }
  g_test_message ("%u reached the server in a second", reached);
  g_assert_cmpuint (reached, <=, 3);
  for (int i = 0; i < 12; i++)
    close (callers[i]);
}

/* Put a configuration in force whose workspace "shop" holds the key HELD_KEY
   and may send PER_S requests a second and BURST besides; 0: any.  The route
   "read" is anonymous.  */
static void
put_workspace (mesh_t *mesh, int64_t version, const char *held_key,
               double per_s, double burst)
{
  cs_snapshot_t *snapshot = make_snapshot (mesh->ctx);
  cs_workspace_t *workspace = g_new0 (cs_workspace_t, 1);
  cs_key_digest_t digest = cs_key_digest (cs_str_of (held_key));
  cs_http1_server_limits_t limits = { .head_max = 16384,
                                      .body_max = 1 << 20,
                                      .head_timeout = 3 * CS_SEC,
                                      .idle_timeout = 30 * CS_SEC };
  snapshot->version = version;
  for (guint i = 0; i < snapshot->routes->len; i++)
    {
      cs_route_t *route = snapshot->routes->pdata[i];
      route->anonymous = strcmp (route->path, "read") == 0;
    }
  workspace->name = g_strdup ("shop");
  workspace->per_s = per_s;
  workspace->burst = burst;
  snapshot->workspaces = cs_workspaces_new ();
  cs_workspaces_add (snapshot->workspaces, workspace);
  g_assert_true (
      cs_workspaces_add_key (snapshot->workspaces, workspace, &digest));
  rcu_set_pointer (&mesh->snapshot, snapshot);
  rcu_set_pointer (&mesh->server_snapshot, snapshot);
  /* As the control thread does when a configuration takes force.  */
  cs_traffic_set_limits (mesh->caller_node, &limits);
  cs_traffic_set_limits (mesh->server_node, &limits);
}

static void
send_keyed (int fd, const char *path, const char *id, const char *fields)
{
  char *text = g_strdup_printf (
      "PUT %s HTTP/1.1\r\nHost: h\r\nCardamom-Attempt: %s\r\n"
      "Cardamom-Deadline-Ms: 15000\r\n%sContent-Length: 1\r\n\r\nx",
      path, id, fields);
  send_text (fd, text);
  g_free (text);
}

/* A request belongs to the workspace that holds its key.  Guards against a key
   that is passed on, a workspace that the caller names itself, and requests
   that run with an unknown key, two, another scheme, or one that was taken
   away while they waited.  */
static void
test_keys (void)
{
  static const char *const refused[]
      = { "",
          "Authorization: Bearer k2\r\n",
          "Authorization: Bearer \r\n",
          "Authorization: Basic k1\r\n",
          "Authorization: k1\r\n",
          "Authorization: Bearer k1\r\nAuthorization: Bearer k1\r\n",
          "Authorization: Bearer k1\xff\r\n" };
  mesh_t *mesh = start_mesh (1);
  put_workspace (mesh, 2, "k1", 0, 0);
  for (size_t i = 0; i < G_N_ELEMENTS (refused); i++)
    {
      int caller = connect_to (mesh->caller_port);
      send_keyed (caller, "/write/0", "a0", refused[i]);
      expect_answer (caller, "401", "");
      close (caller);
    }
  g_assert_false (readable (mesh->server_listener, SOCKET_ABSENCE_MS));
  int caller = connect_to (mesh->caller_port);
  send_keyed (caller, "/write/1", "a1",
              "Authorization: bearer k1\r\nCardamom-Workspace: other\r\n");
  int server = accept_one (mesh->server_listener);
  char *request = receive_message (server);
  g_assert_nonnull (strstr (request, "Cardamom-Workspace: shop\r\n"));
  g_assert_null (strstr (request, "other"));
  g_assert_null (strstr (request, "k1"));
  g_free (request);
  /* Another one waits for the slot while its key is taken away, and has to go
     elsewhere.  */
  int waits = connect_to (mesh->caller_port);
  send_keyed (waits, "/write/2", "a2", "Authorization: Bearer k1\r\n");
  g_usleep (SOCKET_ABSENCE_MS * 1000);
  put_workspace (mesh, 3, "k3", 0, 0);
  cs_traffic_set_evacuated (mesh->server_node, one_name ("a"));
  expect_answer (waits, "401", "");
  cs_traffic_set_evacuated (mesh->server_node, one_name ("b"));
  send_answer (server, "a1", "one");
  expect_answer (caller, "200", "one");
  close (server);
  /* An anonymous route has no workspace.  */
  send_keyed (caller, "/read/3", "a3",
              "Authorization: Bearer k9\r\nCardamom-Workspace: other\r\n");
  server = accept_one (mesh->server_listener);
  request = receive_message (server);
  g_assert_null (strstr (request, "k9"));
  g_assert_null (strstr (request, "Workspace"));
  g_free (request);
  send_answer (server, "a3", "three");
  expect_answer (caller, "200", "three");
  close (server);
  close (caller);
  close (waits);
}

/* A workspace may send 2 requests a second and 2 besides.  Guards against a
   cap that is not kept, or kept without a time to come back, and against
   requests refused inside it.  */
static void
test_usage_cap (void)
{
  mesh_t *mesh = start_mesh (4);
  put_workspace (mesh, 2, "k1", 2, 2);
  g_usleep (3000000); /* Nodes choose coordinators, and the bucket fills.  */
  unsigned served = 0, refused = 0;
  int caller = connect_to (mesh->caller_port);
  for (int i = 0; i < 20; i++)
    {
      char *id = g_strdup_printf ("b%d", i);
      send_keyed (caller, "/write/1", id, "Authorization: Bearer k1\r\n");
      struct pollfd fds[]
          = { { .fd = caller, .events = POLLIN },
              { .fd = mesh->server_listener, .events = POLLIN } };
      g_assert_cmpint (poll (fds, 2, SOCKET_TIMEOUT_MS), >, 0);
      if (fds[1].revents)
        {
          int server = accept_request (mesh, "/write/1");
          send_answer (server, id, "ok");
          close (server);
          expect_answer (caller, "200", "ok");
          served++;
        }
      else
        {
          char *answer = receive_message (caller);
          if (!g_str_has_prefix (answer, "HTTP/1.1 429"))
            g_error ("expected 429, got:\n%s", answer);
          g_assert_nonnull (strstr (answer, "Retry-After: "));
          g_free (answer);
          refused++;
        }
      g_free (id);
    }
  g_test_message ("%u served, %u refused", served, refused);
  /* A bucket of 2, and the tolerance of the settings of this test, 4.  */
  g_assert_cmpuint (served, >=, 2);
  g_assert_cmpuint (served, <=, 10);
  g_assert_cmpuint (refused, >=, 8);
  close (caller);
}

/* The data centre of the server is evacuated, as the caller's node knows: it
   sends nothing there until that ends.  */
static void
test_evacuated (void)
{
  mesh_t *mesh = start_mesh (1);
  int caller = connect_to (mesh->caller_port);
  cs_traffic_set_evacuated (mesh->caller_node, one_name ("a"));
  for (int i = 0; i < 2; i++)
    {
      send_request (caller, "GET", "/read/1", "a1", "");
      expect_answer (caller, "503", "");
    }
  g_assert_false (readable (mesh->server_listener, SOCKET_ABSENCE_MS));
  cs_traffic_set_evacuated (mesh->caller_node, one_name ("b"));
  send_request (caller, "GET", "/read/2", "a2", "");
  int server = accept_request (mesh, "/read/2");
  send_answer (server, "a2", "two");
  expect_answer (caller, "200", "two");
  close (server);
  close (caller);
}

/* Only the node beside the server knows of the evacuation: what runs ends
   there, what is queued or comes is refused, and after it all is served.  */
static void
test_evacuated_at_the_server (void)
{
  mesh_t *mesh = start_mesh (1);
  int runs = connect_to (mesh->caller_port),
      waits = connect_to (mesh->caller_port),
      comes = connect_to (mesh->caller_port);
  send_request (runs, "PUT", "/write/1", "a1", "x");
  int server = accept_request (mesh, "/write/1");
  send_request (waits, "PUT", "/write/2", "a2", "x");
  g_usleep (SOCKET_ABSENCE_MS * 1000);
  cs_traffic_set_evacuated (mesh->server_node, one_name ("a"));
  expect_answer (waits, "503", "");
  send_request (comes, "PUT", "/write/3", "a3", "x");
  g_usleep (SOCKET_ABSENCE_MS * 1000);
  send_answer (server, "a1", "one");
  expect_answer (runs, "200", "one");
  g_assert_false (readable (server, SOCKET_ABSENCE_MS));
  g_assert_false (readable (mesh->server_listener, 0));
  expect_answer (comes, "503", "");
  cs_traffic_set_evacuated (mesh->server_node, one_name ("b"));
  close (server);
  send_request (comes, "GET", "/read/4", "a4", "");
  server = accept_request (mesh, "/read/4");
  send_answer (server, "a4", "four");
  expect_answer (comes, "200", "four");
  close (server);
  close (runs);
  close (waits);
  close (comes);
}

/* A request fails at the server and no other one is left: the caller gets the
   server's answer, not one of the node.  */
static void
test_failed_answer_lost (void)
{
  mesh_t *mesh = start_mesh (1);
  int caller = connect_to (mesh->caller_port);
  send_request (caller, "GET", "/read/1", "a1", "");
  int server = accept_request (mesh, "/read/1");
  send_text (server, "HTTP/1.1 500 Error\r\nCardamom-Attempt: a1\r\n"
                     "Cardamom-Seal: s\r\nContent-Length: 3\r\n\r\nwhy");
  expect_answer (caller, "500", "why");
  close (server);
  close (caller);
}

/* Sleep until SINCE, a time of g_get_monotonic_time, is MS ago.  */
static void
sleep_until (gint64 since, int ms)
{
  gint64 left = since + (gint64)ms * 1000 - g_get_monotonic_time ();
  if (left > 0)
    g_usleep ((gulong)left);
}

/* The node with the callers is told to stop.  What comes late and may last
   longer than the process is refused as not run; what ends in time is served;
   what was taken before is answered before the process ends.  */
static void
test_late_request_cut_by_stop (void)
{
  mesh_t *mesh = start_mesh (3);
  int early = connect_to (mesh->caller_port);
  send_request (early, "PUT", "/write/1", "a1", "x");
  int early_server = accept_request (mesh, "/write/1");
  gint64 stopped = g_get_monotonic_time ();
  cs_traffic_stop (mesh->caller_node);
  sleep_until (stopped, 2600);
  int late = connect_to (mesh->caller_port),
      brief = connect_to (mesh->caller_port);
  sleep_until (stopped, 3200);
  send_request (late, "PUT", "/write/2", "a2", "x");
  send_request_for (brief, "PUT", "/write/3", "a3", "x", 1000);
  int server = accept_request (mesh, "/write/3");
  send_answer (server, "a3", "in time");
  expect_answer (brief, "200", "in time");
  expect_answer (late, "503", "");
  g_assert_false (readable (mesh->server_listener, 100));
  g_assert_false (readable (early, 1000));
  expect_answer (early, "504", "");
  g_assert_cmpint (g_get_monotonic_time () - stopped, <, 5700 * 1000);
  close (early_server);
  close (server);
  close (early);
  close (late);
  close (brief);
}

/* A node that is told to stop and has nothing in flight takes no connection
   any more when it says that it has stopped: the process ends then.  */
static void
test_accepted_at_the_end_of_stop (void)
{
  mesh_t *mesh = start_mesh (1);
  probed_port = mesh->caller_port;
  g_atomic_pointer_set (&probed_mesh, mesh);
  cs_traffic_stop (mesh->caller_node);
  for (int i = 0; i < 50 && !g_atomic_int_get (&was_stopped); i++)
    g_usleep (100 * 1000);
  g_assert_true (g_atomic_int_get (&was_stopped));
  g_assert_false (g_atomic_int_get (&stopped_still_listens));
}

/* Two pipelined requests run when connections are closed for a stop: both are
   answered, and the connection closes after the second.  */
static void
test_pipelined_request_cut_by_stop (void)
{
  mesh_t *mesh = start_mesh (2);
  int caller = connect_to (mesh->caller_port);
  send_request (caller, "GET", "/read/1", "a1", "");
  int first = accept_request (mesh, "/read/1");
  send_request (caller, "GET", "/read/2", "a2", "");
  int second = accept_request (mesh, "/read/2");
  gint64 stopped = g_get_monotonic_time ();
  cs_traffic_stop (mesh->caller_node);
  sleep_until (stopped, 2600);
  send_answer (first, "a1", "one");
  send_answer (second, "a2", "two");
  char *answers = receive_until_eof (caller);
  g_assert_nonnull (strstr (answers, "one"));
  g_assert_nonnull (strstr (answers, "two"));
  g_free (answers);
  close (first);
  close (second);
  close (caller);
}

/* The server restarts on the same address: requests go to the new instance. */
static void
test_server_restart (void)
{
  mesh_t *mesh = start_mesh (1);
  report_server (mesh, 1, 2);
  int caller = connect_to (mesh->caller_port);
  send_request (caller, "GET", "/read/1", "a1", "");
  int server = accept_request (mesh, "Cardamom-Instance: i2\r\n");
  send_answer (server, "a1", "two");
  expect_answer (caller, "200", "two");
  close (server);
  close (caller);
}

/* Send the answer 200 to the attempt ID with the further header lines
   FIELDS.  */
static void
send_answer_with (int fd, const char *id, const char *fields)
{
  char *text = g_strdup_printf (
      "HTTP/1.1 200 OK\r\nCardamom-Attempt: %s\r\nCardamom-Seal: s\r\n"
      "%sContent-Length: 0\r\n\r\n",
      id, fields);
  send_text (fd, text);
  g_free (text);
}

static void
send_frame (int fd, cs_pack_t *pack)
{
  cs_str_t payload = cs_pack_payload (pack);
  guint32 length = GUINT32_TO_BE ((guint32)payload.len);
  g_assert_cmpint (send (fd, &length, sizeof length, MSG_NOSIGNAL), ==,
                   sizeof length);
  g_assert_cmpint (send (fd, payload.data, payload.len, MSG_NOSIGNAL), ==,
                   payload.len);
}

/* Send the hello of the node PEER.  */
static void
send_hello (int fd, const cs_node_info_t *peer)
{
  cs_pack_t hello;
  cs_pack_init (&hello);
  cs_pack_array (&hello, 3);
  cs_pack_int64 (&hello, CS_FRAME_HELLO);
  cs_pack_int64 (&hello, CS_FRAMES_VERSION);
  cs_node_info_pack (&hello, peer);
  send_frame (fd, &hello);
  cs_pack_clear (&hello);
}

#define LIMIT_PER_S 0.5
#define LIMIT_CALLERS 16
/* What a server may get in 4 s: one and a half times its limit, and 5.  */
#define LIMIT_REQUESTS_MAX (1.5 * LIMIT_PER_S * 4 + 5)

/* Send LIMIT_CALLERS requests at once; the test fails if the server, which has
   as many slots, gets more than its limit allows.  */
static void
check_limit (const mesh_t *mesh)
{
  int callers[LIMIT_CALLERS], got = 0;
  for (int i = 0; i < LIMIT_CALLERS; i++)
    {
      char *id = g_strdup_printf ("b%d", i);
      callers[i] = connect_to (mesh->caller_port);
      send_request (callers[i], "GET", "/read/1", id, "");
      g_free (id);
    }
  while (readable (mesh->server_listener, SOCKET_ABSENCE_MS))
    {
      accept_request (mesh, "/read/1");
      got++;
    }
  g_test_message ("%d of %d requests reached the server", got, LIMIT_CALLERS);
  if (got > LIMIT_REQUESTS_MAX)
    g_test_fail ();
  for (int i = 0; i < LIMIT_CALLERS; i++)
    close (callers[i]);
}

/* A server with many free slots names a limit: of many requests that come at
   once it gets what it takes.  */
static void
test_named_limit_exceeded (void)
{
  mesh_t *mesh = start_mesh (LIMIT_CALLERS);
  int caller = connect_to (mesh->caller_port);
  send_request (caller, "GET", "/read/0", "a0", "");
  int server = accept_request (mesh, "/read/0");
  send_answer_with (server, "a0", "Cardamom-Limit: 0.5\r\n");
  expect_answer (caller, "200", "");
  close (server);
  check_limit (mesh);
  close (caller);
}

/* While a limit holds, an answer that is not passed on names none: it does not
   end the limit.  */
static void
test_limit_ended_by_spoilt_answer (void)
{
  mesh_t *mesh = start_mesh (LIMIT_CALLERS);
  int caller = connect_to (mesh->caller_port);
  send_request (caller, "PUT", "/write/0", "a0", "");
  int server = accept_request (mesh, "/write/0");
  send_answer_with (server, "a0", "Cardamom-Limit: 0.5\r\n");
  expect_answer (caller, "200", "");
  send_request (caller, "PUT", "/write/0", "a1", "");
  char *request = receive_message (server);
  g_assert_nonnull (strstr (request, "PUT /write/0"));
  g_free (request);
  send_text (server, "HTTP/1.1 200 OK\r\nCardamom-Attempt: a1\r\n"
                     "Content-Length: 0\r\n\r\n");
  expect_answer (caller, "502", "");
  close (server);
  check_limit (mesh);
  close (caller);
}

/* The node beside the server has restarted and learns of the limit from
   another node, before the server's first answer to it.  */
static void
test_limit_forgotten_by_restart (void)
{
  mesh_t *mesh = start_mesh (LIMIT_CALLERS);
  cs_node_info_t peer = { .name = "peer", .dc = "a", .region = "r" };
  cs_pack_t pack;
  unsigned port;
  int listener = listen_on_free_port (&port);
  peer.boot_ms = 1;
  g_snprintf (peer.address, sizeof peer.address, "127.0.0.1:%u", port);
  int fd = connect_to (mesh->proxy.target_port);
  send_hello (fd, &peer);
  cs_pack_init (&pack);
  cs_pack_array (&pack, 3);
  cs_pack_int64 (&pack, CS_FRAME_SERVER_LIMIT);
  cs_pack_text (&pack, "i2");
  cs_pack_int64 (&pack, 2 * CS_SEC);
  send_frame (fd, &pack);
  cs_pack_clear (&pack);
  /* The node has read the frames before it answers the hello.  */
  g_assert_true (readable (fd, SOCKET_TIMEOUT_MS));
  report_server (mesh, LIMIT_CALLERS, 2);
  g_usleep (SOCKET_ABSENCE_MS * 1000);
  check_limit (mesh);
  close (fd);
  close (listener);
}

/* Receive one frame from FD; the caller frees the payload.  */
static GString *
receive_frame (int fd)
{
  guint32 length;
  GString *payload = g_string_new (NULL);
  g_assert_true (readable (fd, SOCKET_TIMEOUT_MS));
  g_assert_cmpint (recv (fd, &length, sizeof length, MSG_WAITALL), ==,
                   sizeof length);
  g_string_set_size (payload, GUINT32_FROM_BE (length));
  g_assert_cmpint (recv (fd, payload->str, payload->len, MSG_WAITALL), ==,
                   payload->len);
  return payload;
}

/* Receive frames up to the next job; the number of that job.  */
static uint64_t
receive_job (cs_ctx_t *ctx, int fd)
{
  for (;;)
    {
      cs_unpack_t unpack;
      cs_unpack_cursor_t in;
      cs_dispatch_request_t request;
      uint64_t number = 0;
      GString *payload = receive_frame (fd);
      g_assert_cmpint (
          cs_unpack_init (ctx, &unpack, cs_str_of_gstring (payload), &in), ==,
          CS_OK);
      if (cs_unpack_int64 (&in) == CS_FRAME_JOB)
        cs_dispatch_request_unpack (&in, &number, &request);
      cs_unpack_clear (&unpack);
      g_string_free (payload, TRUE);
      if (number)
        return number;
    }
}

/* Connect to the node beside the server as a node that has just joined.  */
static int
connect_other_node (const mesh_t *mesh)
{
  cs_node_info_t peer = { .name = "other", .dc = "a", .region = "r" };
  int fd = connect_to (mesh->proxy.target_port);
  peer.boot_ms = 1;
  g_snprintf (peer.address, sizeof peer.address, "127.0.0.1:%u",
              mesh->proxy.port);
  send_hello (fd, &peer);
  return fd;
}

/* Send the job NUMBER, with 10 s left, that was sent at SENT_AT by the clock
   of the other node.  */
static void
send_job_frame (int fd, uint64_t number, cs_usec_t sent_at)
{
  cs_dispatch_request_t request
      = { .id = CS_STR ("o1"),
          .route = CS_STR ("read"),
          .service = CS_STR (SERVICE),
          .version = CS_STR ("v1"),
          .head = CS_STR ("GET /read/2 HTTP/1.1\r\nHost: h\r\n"),
          .target_remaining = 10 * CS_SEC,
          .latency_target = 10 * CS_SEC,
          .deadline_remaining = 10 * CS_SEC,
          .sent_at = sent_at,
          .wait_max = INT64_MAX,
          .idempotent = true,
          .fingerprint = 5 };
  cs_pack_t pack;
  cs_pack_init (&pack);
  cs_dispatch_request_pack (&pack, number, &request, NULL);
  send_frame (fd, &pack);
  cs_pack_clear (&pack);
}

/* Both of them; the connection.  */
static int
send_job_of_other_node (const mesh_t *mesh)
{
  int fd = connect_other_node (mesh);
  send_job_frame (fd, 1, 0);
  return fd;
}

/* The kind of the next frame on FD.  */
static int64_t
receive_frame_kind (cs_ctx_t *ctx, int fd)
{
  cs_unpack_t unpack;
  cs_unpack_cursor_t in;
  GString *payload = receive_frame (fd);
  g_assert_cmpint (
      cs_unpack_init (ctx, &unpack, cs_str_of_gstring (payload), &in), ==,
      CS_OK);
  int64_t kind = cs_unpack_int64 (&in);
  cs_unpack_clear (&unpack);
  g_string_free (payload, TRUE);
  return kind;
}

/* A job has been under way for longer than it had left, as the one before it
   on the same stream shows: it does not reach the server.  */
static void
test_expired_on_the_way (void)
{
  mesh_t *mesh = start_mesh (4);
  cs_usec_t clock = 1000 * CS_SEC;
  int fd = connect_other_node (mesh);
  send_job_frame (fd, 1, clock);
  int server = accept_request (mesh, "/read/2");
  send_answer (server, "o1", "in time");
  g_assert_cmpint (receive_frame_kind (mesh->ctx, fd), ==, CS_FRAME_HELLO);
  g_assert_cmpint (receive_frame_kind (mesh->ctx, fd), ==, CS_FRAME_OUTCOME);
  send_job_frame (fd, 2, clock - 11 * CS_SEC);
  g_assert_cmpint (receive_frame_kind (mesh->ctx, fd), ==, CS_FRAME_OUTCOME);
  g_assert_false (readable (server, 50));
  g_assert_false (readable (mesh->server_listener, 50));
  close (server);
  close (fd);
}

#define OFFERED_BYTES 100000

/* Send a frame of KIND about the job NUMBER; 0: without content.  */
static void
send_number_frame (int fd, int64_t kind, uint64_t number)
{
  cs_pack_t pack;
  cs_pack_init (&pack);
  cs_pack_array (&pack, number ? 2 : 1);
  cs_pack_int64 (&pack, kind);
  if (number)
    cs_pack_uint64 (&pack, number);
  send_frame (fd, &pack);
  cs_pack_clear (&pack);
}

/* A large answer for another node.  One that does not want offers gets it at
   once; another one when it asks for it, once; after a cancel never.  Guards
   against an answer that is sent without room at the other end, or lost there,
   or kept for a caller who has gone.  */
static void
test_large_answer_is_offered (void)
{
  static const struct
  {
    int64_t asks; /* 0: offers are not wanted.  */
    bool comes;
  } cases[] = { { 0, true },
                { CS_FRAME_ANSWER_GO, true },
                { CS_FRAME_CANCEL, false } };
  mesh_t *mesh = start_mesh (4);
  char *body = g_strnfill (OFFERED_BYTES, 'b');
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      int fd = connect_other_node (mesh);
      if (cases[i].asks)
        send_number_frame (fd, CS_FRAME_OFFERS_WANTED, 0);
      send_job_frame (fd, i + 1, 0);
      int server = accept_request (mesh, "/read/2");
      send_answer (server, "o1", body);
      g_assert_cmpint (receive_frame_kind (mesh->ctx, fd), ==, CS_FRAME_HELLO);
      if (cases[i].asks)
        {
          g_assert_cmpint (receive_frame_kind (mesh->ctx, fd), ==,
                           CS_FRAME_ANSWER_OFFER);
          g_assert_false (readable (fd, 50));
          send_number_frame (fd, CS_FRAME_ANSWER_GO, 99);
          send_number_frame (fd, cases[i].asks, i + 1);
        }
      if (cases[i].comes)
        g_assert_cmpint (receive_frame_kind (mesh->ctx, fd), ==,
                         CS_FRAME_OUTCOME);
      send_number_frame (fd, CS_FRAME_ANSWER_GO, i + 1);
      g_assert_false (readable (fd, 50));
      close (server);
      close (fd);
    }
  g_free (body);
}

/* A server that has nothing else to do ends while it runs a request: the node
   that sent the request is told of the crash ahead of the outcome, so that it
   does not try again in ignorance.  */
static void
test_outcome_before_crash_record (void)
{
  mesh_t *mesh = start_mesh (4);
  int fd = send_job_of_other_node (mesh);
  int server = accept_request (mesh, "/read/2");
  close (mesh->server_listener);
  close (server);
  g_assert_cmpint (receive_frame_kind (mesh->ctx, fd), ==, CS_FRAME_HELLO);
  g_assert_cmpint (receive_frame_kind (mesh->ctx, fd), ==,
                   CS_FRAME_CRASH_RECORDS);
  g_assert_cmpint (receive_frame_kind (mesh->ctx, fd), ==, CS_FRAME_OUTCOME);
  close (fd);
}

/* The server says in an answer that it leaves, and no report of it has come:
   no further request is sent to it, of the same node or of another.  */
static void
test_leaving_server_gets_requests (void)
{
  mesh_t *mesh = start_mesh (4);
  int caller = connect_to (mesh->caller_port);
  send_request (caller, "GET", "/read/0", "a0", "");
  int server = accept_request (mesh, "/read/0");
  send_answer_with (server, "a0", "Cardamom-Leaving: 1\r\n");
  expect_answer (caller, "200", "");
  send_request (caller, "GET", "/read/1", "a1", "");
  if (readable (server, SOCKET_ABSENCE_MS)
      || readable (mesh->server_listener, SOCKET_ABSENCE_MS))
    g_test_fail ();
  else
    expect_answer (caller, "503", "");
  int other = send_job_of_other_node (mesh);
  if (readable (server, SOCKET_ABSENCE_MS)
      || readable (mesh->server_listener, SOCKET_ABSENCE_MS))
    g_test_fail ();
  close (other);
  close (server);
  close (caller);
}

/* A node passes on an answer in which the server says that it leaves, and
   hears nothing more from the node beside that server: it sends no further
   request there.  */
static void
check_leaving_known_to_its_node_only (int64_t server_started_ms)
{
  mesh_t *mesh = start_mesh (4);
  cs_node_info_t peer = { .name = "peer",
                          .dc = "a",
                          .region = "r",
                          .boot_ms = 1,
                          .server_state = CS_BACKEND_READY,
                          .service = SERVICE,
                          .version = "v1",
                          .instance = "p1",
                          .slots = 4,
                          .server_started_ms = server_started_ms };
  cs_backend_t gone = { .state = CS_BACKEND_LEFT };
  unsigned port;
  int listener = listen_on_free_port (&port);
  g_snprintf (peer.address, sizeof peer.address, "127.0.0.1:%u", port);
  cs_traffic_update_member (mesh->caller_node, &peer);
  int fd = accept_one (listener);
  send_hello (fd, &peer);
  cs_traffic_set_server_state (mesh->server_node, &gone);
  g_usleep (SOCKET_ABSENCE_MS * 1000);
  int caller = connect_to (mesh->caller_port);
  send_request (caller, "GET", "/read/1", "a1", "");
  uint64_t number = receive_job (mesh->ctx, fd);
  cs_outcome_t outcome = { .kind = CS_OUTCOME_ANSWERED,
                           .status = 200,
                           .reached_server = true,
                           .server_leaving = true,
                           .fields = CS_STR ("Cardamom-Leaving: 1\r\n") };
  cs_pack_t pack;
  cs_pack_init (&pack);
  cs_outcome_pack (&pack, number, &outcome, NULL);
  send_frame (fd, &pack);
  cs_pack_clear (&pack);
  expect_answer (caller, "200", "");
  send_request (caller, "GET", "/read/2", "a2", "");
  expect_answer (caller, "503", "");
  close (fd);
  close (listener);
  close (caller);
}

static void
test_leaving_known_to_its_node_only (void)
{
  check_leaving_known_to_its_node_only (7);
  /* The server does not report when it was started.  */
  check_leaving_known_to_its_node_only (0);
}

#define CRASH_CHECKS_MAX 8 /* Connections that one check may open.  */

/* The server accepts connections and resets each at once, as one does that has
   as many as it takes: it is not flooded, and not taken for one that has
   ended.  */
static void
test_full_server_taken_for_ended (void)
{
  mesh_t *mesh = start_mesh (1);
  int caller = connect_to (mesh->caller_port), count = 0;
  send_request (caller, "PUT", "/write/1", "a1", "x");
  int server = accept_request (mesh, "/write/1");
  reset_connection (server);
  while (readable (mesh->server_listener, SOCKET_ABSENCE_MS))
    {
      reset_connection (accept_one (mesh->server_listener));
      count++;
    }
  expect_answer (caller, "502", "");
  g_test_message ("%d connections", count);
  g_assert_cmpint (count, <=, CRASH_CHECKS_MAX);
  send_request (caller, "PUT", "/write/1", "a2", "x");
  server = accept_request (mesh, "/write/1");
  send_answer (server, "a2", "two");
  expect_answer (caller, "200", "two");
  close (server);
  close (caller);
}

/* Give NODE the record of a crash of START, a start of a server, while it ran
   GET PATH, AT_MS from now.  */
static void
add_crash (const mesh_t *mesh, cs_traffic_t *node, const char *path,
           const char *start, int64_t at_ms)
{
  uint64_t fingerprint = cs_request_fingerprint (
      CS_STR ("GET"), CS_STR ("h"), cs_str_of (path), CS_STR (""));
  cs_usec_t now = cs_now_wall (mesh->ctx) + at_ms * CS_MSEC;
  cs_record_t *record
      = cs_crash_record_new (fingerprint, start, now, now + CS_MSEC);
  cs_traffic_add_crash_record (node, record);
  cs_record_free (record);
}

/* Two requests are suspected of a crash, as NODE knows, of the first one only
   while it runs if LATE is set: the second one is sent to the server when the
   first has been answered, and a third, trusted one at once.  */
static void
check_suspects_apart (const mesh_t *mesh, cs_traffic_t *node, bool late)
{
  int callers[3];
  if (!late)
    add_crash (mesh, node, "/read/1", "i0/0", 0);
  add_crash (mesh, node, "/read/2", "i0/0", 0);
  for (int i = 0; i < 3; i++)
    callers[i] = connect_to (mesh->caller_port);
  send_request (callers[0], "GET", "/read/1", "a1", "");
  int first = accept_request (mesh, "/read/1");
  if (late)
    add_crash (mesh, node, "/read/1", "i0/0", 0);
  send_request (callers[1], "GET", "/read/2", "a2", "");
  g_assert_false (readable (mesh->server_listener, SOCKET_ABSENCE_MS));
  send_request (callers[2], "GET", "/read/3", "a3", "");
  int third = accept_request (mesh, "/read/3");
  send_answer (first, "a1", "one");
  expect_answer (callers[0], "200", "one");
  char *request = receive_message (first);
  g_assert_nonnull (strstr (request, "GET /read/2"));
  g_free (request);
  send_answer (first, "a2", "two");
  expect_answer (callers[1], "200", "two");
  send_answer (third, "a3", "three");
  expect_answer (callers[2], "200", "three");
  for (int i = 0; i < 3; i++)
    close (callers[i]);
  close (first);
  close (third);
}

static void
test_suspects_run_together (void)
{
  const mesh_t *mesh = start_mesh (4);
  check_suspects_apart (mesh, mesh->server_node, false);
}

/* The crash becomes known when the first suspect is in flight already.  */
static void
test_suspect_known_while_it_runs (void)
{
  const mesh_t *mesh = start_mesh (4);
  check_suspects_apart (mesh, mesh->server_node, true);
}

/* The calling node knows of the crash, the node beside the server has not
   heard of it yet.  */
static void
test_suspects_known_to_caller (void)
{
  const mesh_t *mesh = start_mesh (4);
  check_suspects_apart (mesh, mesh->caller_node, false);
}

/* A request that has crashed two servers is not sent to a third: the caller is
   told that it has not run, and not to come back soon.  */
static void
test_quarantined_request_sent (void)
{
  mesh_t *mesh = start_mesh (4);
  add_crash (mesh, mesh->server_node, "/read/1", "i0/0", 0);
  add_crash (mesh, mesh->server_node, "/read/1", "i0/1", 100);
  int caller = connect_to (mesh->caller_port);
  send_request (caller, "GET", "/read/1", "a1", "");
  char *answer = receive_message (caller);
  g_assert_true (g_str_has_prefix (answer, "HTTP/1.1 503"));
  g_assert_nonnull (strstr (answer, "\r\nRetry-After: 600."));
  g_free (answer);
  g_assert_false (readable (mesh->server_listener, SOCKET_ABSENCE_MS));
  close (caller);
}

/* The server ends while it runs a request that may not be repeated; the next
   copy of it, after its next start, is the last one that is sent.  */
static void
test_request_ends_server_twice (void)
{
  mesh_t *mesh = start_mesh (4);
  for (int64_t start = 2; start <= 3; start++)
    {
      report_server (mesh, 4, start);
      int caller = connect_to (mesh->caller_port);
      send_request (caller, "PUT", "/write/1", start == 2 ? "a2" : "a3", "x");
      int server = accept_request (mesh, "/write/1");
      g_usleep (2000);
      close (mesh->server_listener);
      close (server);
      expect_answer (caller, "502", "");
      close (caller);
      mesh->server_listener = listen_on_port (mesh->server_port);
    }
  report_server (mesh, 4, 4);
  int caller = connect_to (mesh->caller_port);
  send_request (caller, "PUT", "/write/1", "a4", "x");
  expect_answer (caller, "503", "");
  g_assert_false (readable (mesh->server_listener, SOCKET_ABSENCE_MS));
  send_request (caller, "PUT", "/write/1", "a5", "y");
  int server = accept_request (mesh, "/write/1");
  send_answer (server, "a5", "other body");
  expect_answer (caller, "200", "other body");
  close (server);
  close (caller);
}

/* Receive frames from FD up to the first one of KIND, and read the description
   in it.  */
static cs_node_info_t
receive_node_info (cs_ctx_t *ctx, int fd, cs_frame_kind_t kind)
{
  cs_node_info_t info = { 0 };
  for (bool found = false; !found;)
    {
      cs_unpack_t unpack;
      cs_unpack_cursor_t in;
      GString *payload = receive_frame (fd);
      g_assert_cmpint (
          cs_unpack_init (ctx, &unpack, cs_str_of_gstring (payload), &in), ==,
          CS_OK);
      found = cs_unpack_int64 (&in) == kind;
      if (found && kind == CS_FRAME_HELLO)
        g_assert_cmpint (cs_unpack_int64 (&in), ==, CS_FRAMES_VERSION);
      if (found)
        cs_node_info_unpack (&in, &info);
      cs_unpack_clear (&unpack);
      g_string_free (payload, TRUE);
    }
  return info;
}

/* A node whose server becomes ready after the node's hello to a peer, and
   before the peer's hello to it, still tells the peer.  */
static void
test_server_ready_between_hellos (void)
{
  mesh_t *mesh = start_mesh (1);
  cs_node_info_t peer = { .name = "peer", .dc = "a", .region = "r" };
  unsigned port;
  int listener = listen_on_free_port (&port);
  peer.boot_ms = 1;
  g_snprintf (peer.address, sizeof peer.address, "127.0.0.1:%u", port);
  cs_traffic_update_member (mesh->server_node, &peer);
  int fd = accept_one (listener);
  cs_node_info_t info = receive_node_info (mesh->ctx, fd, CS_FRAME_HELLO);
  g_assert_cmpstr (info.instance, ==, "i1");
  report_server (mesh, 1, 2);
  g_assert_false (readable (fd, SOCKET_ABSENCE_MS));
  send_hello (fd, &peer);
  info = receive_node_info (mesh->ctx, fd, CS_FRAME_MEMBER);
  g_assert_cmpstr (info.instance, ==, "i2");
  close (fd);
  close (listener);
}

/* The clock of a node has gone back before the node restarts.  The other
   nodes use the new process all the same, also if the one before it had told
   them that it stops.  */
static void
test_restart_after_clock_went_back (void)
{
  mesh_t *mesh = start_mesh (4);
  cs_node_info_t peer = { .name = "peer",
                          .dc = "a",
                          .region = "r",
                          .boot_ms = 2000,
                          .server_state = CS_BACKEND_READY,
                          .service = SERVICE,
                          .version = "v1",
                          .instance = "p1",
                          .slots = 4,
                          .stopping = true };
  cs_backend_t gone = { .state = CS_BACKEND_LEFT };
  struct sockaddr_in address;
  unsigned port;
  int listener = listen_on_free_port (&port);
  g_snprintf (peer.address, sizeof peer.address, "127.0.0.1:%u", port);
  cs_traffic_set_server_state (mesh->server_node, &gone);
  cs_traffic_update_member (mesh->caller_node, &peer);
  int fd = accept_one (listener);
  send_hello (fd, &peer);
  g_usleep (SOCKET_ABSENCE_MS * 1000);
  close (fd);
  g_usleep (SOCKET_ABSENCE_MS * 1000);
  peer.boot_ms = 1000;
  peer.stopping = false;
  g_assert_true (cs_sockaddr_parse (mesh->caller_info.address, &address));
  int own = connect_to (ntohs (address.sin_port));
  send_hello (own, &peer);
  fd = accept_one (listener);
  send_hello (fd, &peer);
  g_usleep (SOCKET_ABSENCE_MS * 1000);
  int caller = connect_to (mesh->caller_port);
  send_request (caller, "GET", "/read/1", "a1", "");
  g_assert_cmpuint (receive_job (mesh->ctx, fd), >, 0);
  close (caller);
  close (own);
  close (fd);
  close (listener);
}

int
main (int argc, char **argv)
{
  /* Run all cases even if one fails.  */
  char *args[] = { argv[0], "--keep-going", NULL }, **list = args;
  int count = 2;
  if (argc > 1)
    list = argv, count = argc;
  g_test_init (&count, &list, NULL);
  g_test_add_func ("/path/forward", test_forward);
  g_test_add_func ("/path/left", test_caller_disconnects);
  g_test_add_func ("/path/deadline", test_deadline);
  g_test_add_func ("/path/pipelined", test_pipelined);
  g_test_add_func ("/path/early-answer", test_early_answer);
  g_test_add_func ("/path/unframed", test_unframed);
  g_test_add_func ("/path/upload-cut", test_upload_cut);
  g_test_add_func ("/path/next-request-inside-upload",
                   test_next_request_inside_upload);
  g_test_add_func ("/path/malformed-chunks", test_malformed_chunks);
  g_test_add_func ("/path/malformed-answer", test_malformed_answer);
  g_test_add_func ("/path/foreign-answer", test_foreign_answer);
  g_test_add_func ("/path/earlier-refusal-written-again",
                   test_earlier_refusal_written_again);
  g_test_add_func ("/path/late-answer-passed-to-unsafe-request",
                   test_late_answer_to_unsafe_request);
  g_test_add_func ("/path/late-answer-passed-to-safe-request",
                   test_late_answer_to_safe_request);
  g_test_add_func ("/path/late-answer-not-told-apart",
                   test_late_answer_not_told_apart);
  g_test_add_func ("/path/late-answer-to-head-before",
                   test_late_answer_to_head_before);
  g_test_add_func ("/path/refusal-without-id", test_refusal_without_id);
  g_test_add_func ("/path/answer-cut-short", test_answer_cut_short);
  g_test_add_func ("/path/endless-answer", test_endless_answer);
  g_test_add_func ("/path/answers-share-room", test_answers_share_memory);
  g_test_add_func ("/path/broken-running", test_stream_breaks_while_running);
  g_test_add_func ("/path/broken-waiting", test_stream_breaks_while_queued);
  g_test_add_func ("/path/silent", test_silent_stream);
  g_test_add_func ("/path/slow-node-given-up", test_slow_node_given_up);
  g_test_add_func ("/path/refused-once", test_refused_once);
  g_test_add_func ("/path/not-run", test_not_run);
  g_test_add_func ("/path/run-request-told-as-not-run",
                   test_run_request_not_told_as_not_run);
  g_test_add_func ("/path/resend-is-a-free-attempt",
                   test_resend_counts_as_attempt);
  g_test_add_func ("/path/resend-without-budget", test_resend_without_budget);
  g_test_add_func ("/path/resend-after-stale-connection",
                   test_resend_after_stale_connection);
  g_test_add_func ("/path/second-send-stays-in-region",
                   test_second_send_stays_in_region);
  g_test_add_func ("/path/evacuated", test_evacuated);
  g_test_add_func ("/path/evacuated-at-the-server",
                   test_evacuated_at_the_server);
  g_test_add_func ("/path/cold-without-config", test_cold_without_config);
  g_test_add_func ("/path/keys", test_keys);
  g_test_add_func ("/path/usage-cap", test_usage_cap);
  g_test_add_func ("/path/failed-answer-lost", test_failed_answer_lost);
  g_test_add_func ("/path/late-request-cut-by-stop",
                   test_late_request_cut_by_stop);
  g_test_add_func ("/path/accepted-at-the-end-of-stop",
                   test_accepted_at_the_end_of_stop);
  g_test_add_func ("/path/pipelined-request-cut-by-stop",
                   test_pipelined_request_cut_by_stop);
  g_test_add_func ("/path/second-life", test_server_restart);
  g_test_add_func ("/path/suspects-run-together", test_suspects_run_together);
  g_test_add_func ("/path/suspect-known-while-it-runs",
                   test_suspect_known_while_it_runs);
  g_test_add_func ("/path/suspects-known-to-caller",
                   test_suspects_known_to_caller);
  g_test_add_func ("/path/quarantined-request-sent",
                   test_quarantined_request_sent);
  g_test_add_func ("/path/request-ends-server-again",
                   test_request_ends_server_twice);
  g_test_add_func ("/path/named-limit-exceeded", test_named_limit_exceeded);
  g_test_add_func ("/path/limit-ended-by-spoilt-answer",
                   test_limit_ended_by_spoilt_answer);
  g_test_add_func ("/path/limit-forgotten-by-restart",
                   test_limit_forgotten_by_restart);
  g_test_add_func ("/path/leaving-server-gets-requests",
                   test_leaving_server_gets_requests);
  g_test_add_func ("/path/leaving-known-to-its-node-only",
                   test_leaving_known_to_its_node_only);
  g_test_add_func ("/path/full-server-taken-for-ended",
                   test_full_server_taken_for_ended);
  g_test_add_func ("/path/expired-on-the-way", test_expired_on_the_way);
  g_test_add_func ("/path/large-answer-is-offered",
                   test_large_answer_is_offered);
  g_test_add_func ("/path/outcome-before-crash-record",
                   test_outcome_before_crash_record);
  g_test_add_func ("/path/server-ready-between-hellos",
                   test_server_ready_between_hellos);
  g_test_add_func ("/path/restart-after-clock-went-back",
                   test_restart_after_clock_went_back);
  return g_test_run ();
}
