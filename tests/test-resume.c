/* The health check with which the sidecar goes on with its server after a
   restart.  Guards against an answer that is not whole, or none in the
   protocol, being taken for that of a healthy server.  */
#include "../source/sidecar/control.h"
#include "sockets.h"

#define OK_HEAD "HTTP/1.1 200 OK\r\nCardamom-Server: i1\r\n"
#define CHUNKED OK_HEAD "Transfer-Encoding: chunked\r\n\r\n"

/* Time for the client to read what the server has sent.  */
#define READ_TIME_MS 20

void
control_publish_backend_change (control_t *control, uint64_t before,
                                const char *why)
{
  (void)control, (void)before, (void)why;
}

static const struct
{
  const char *name, *bytes;
  bool resumes;
  bool resets;  /* Otherwise the server closes.  */
  bool at_once; /* Before the client has read any of the answer.  */
} cases[] = {
  { "length", OK_HEAD "Content-Length: 2\r\n\r\nok", true, false, false },
  { "chunks", CHUNKED "2\r\nok\r\n0\r\n\r\n", true, false, false },
  { "close", OK_HEAD "\r\nok", true, false, false },
  { "close-at-once", OK_HEAD "\r\nok", true, false, true },
  { "reset", OK_HEAD "\r\nok", false, true, false },
  { "reset-at-once", OK_HEAD "\r\nok", false, true, true },
  { "length-cut", OK_HEAD "Content-Length: 3\r\n\r\nok", false, false, false },
  { "chunks-cut", CHUNKED "2\r\nok\r\n", false, false, false },
  { "chunks-malformed", CHUNKED "2\r\nokXY0\r\n\r\n", false, false, false },
  { "trailer", CHUNKED "2\r\nok\r\n0\r\nA B: c\r\n\r\n", false, false, false },
  { "head-cut", OK_HEAD, false, false, false },
  { "status-000",
    "HTTP/1.1 000 OK\r\nCardamom-Server: i1\r\nContent-Length: 0\r\n\r\n",
    false, false, false },
  { "status-2000",
    "HTTP/1.1 2000 OK\r\nCardamom-Server: i1\r\nContent-Length: 0\r\n\r\n",
    false, false, false },
  { "name-blank", OK_HEAD "A B: c\r\nContent-Length: 0\r\n\r\n", false, false,
    false },
  { "name-control", OK_HEAD "A\001: c\r\nContent-Length: 0\r\n\r\n", false,
    false, false },
  { "two-lengths", OK_HEAD "Content-Length: 0\r\nContent-Length: 2\r\n\r\nok",
    false, false, false },
  { "other-instance",
    "HTTP/1.1 200 OK\r\nCardamom-Server: i2\r\nContent-Length: 0\r\n\r\n",
    false, false, false },
  { "unhealthy",
    "HTTP/1.1 503 No\r\nCardamom-Server: i1\r\nContent-Length: 0\r\n\r\n",
    false, false, false },
};

/* They live as long as the process.  */
static GPtrArray *never_freed;

static cs_traffic_t *
new_traffic (cs_ctx_t *ctx)
{
  static const cs_traffic_handler_t handler;
  static _Atomic int64_t keys_fresh_at;
  char callers[CS_NAME_SIZE], peers[CS_NAME_SIZE];
  g_snprintf (callers, sizeof callers, "127.0.0.1:%u", free_port ());
  g_snprintf (peers, sizeof peers, "127.0.0.1:%u", free_port ());
  cs_traffic_settings_t settings = { .caller_address = callers,
                                     .peer_address = peers,
                                     .caller_service = "s",
                                     .self = { .name = "n1", .dc = "a" },
                                     .keys_fresh_at = &keys_fresh_at };
  cs_traffic_t *traffic = cs_traffic_new (ctx, &settings, &handler, NULL);
  g_ptr_array_add (never_freed, traffic);
  return traffic;
}

/* Check the health of a server that answers as cases[INDEX] says.  */
static void
test_case (gconstpointer data)
{
  size_t index = GPOINTER_TO_SIZE (data);
  unsigned port;
  int listener = listen_on_free_port (&port);
  cs_service_t service = { .health_path = (char *)"/health" };
  cs_snapshot_t snapshot
      = { .services = g_hash_table_new (g_str_hash, g_str_equal) };
  g_hash_table_insert (snapshot.services, (char *)"s", &service);
  control_t control = { .ctx = cs_ctx_new (NULL, cs_clock_system (), 1),
                        .snapshot = &snapshot };
  cs_node_info_t previous = { .name = "n1",
                              .instance = "i1",
                              .service = "s",
                              .version = "v1",
                              .slots = 4,
                              .server_state = CS_BACKEND_READY };
  uv_loop_init (&control.loop);
  control.traffic = new_traffic (control.ctx);
  g_snprintf (control.settings.server, sizeof control.settings.server,
              "127.0.0.1:%u", port);
  resume_schedule (&control, &previous);
  resume_tick (&control);
  int server = accept_one (listener);
  while (!readable (server, 0))
    uv_run (&control.loop, UV_RUN_ONCE);
  char *request = receive_message (server);
  g_assert_true (g_str_has_prefix (request, "GET /health HTTP/1.1\r\n"));
  g_free (request);
  send_text (server, cases[index].bytes);
  for (int ms = 0; !cases[index].at_once && ms < READ_TIME_MS; ms++)
    {
      uv_run (&control.loop, UV_RUN_NOWAIT);
      g_usleep (1000);
    }
  if (cases[index].resets)
    reset_connection (server);
  else
    close (server);
  while (control.health_check)
    uv_run (&control.loop, UV_RUN_ONCE);
  g_assert_cmpint (control.backend.state, ==,
                   cases[index].resumes ? CS_BACKEND_READY : CS_BACKEND_NONE);
  uv_run (&control.loop, UV_RUN_DEFAULT);
  g_assert_cmpint (uv_loop_close (&control.loop), ==, 0);
  g_hash_table_unref (snapshot.services);
  cs_ctx_drop (control.ctx);
  close (listener);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  never_freed = g_ptr_array_new ();
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      char *path = g_strconcat ("/resume/", cases[i].name, NULL);
      g_test_add_data_func (path, GSIZE_TO_POINTER (i), test_case);
      g_free (path);
    }
  return g_test_run ();
}
