/* A stand-in for a backend server on the users' platform, one process each.

     standin-server --port=P --name=NAME --service=S --reports=P [--work-ms=N]

   It reports itself to the node at port REPORTS and answers each request after
   the work time with its NAME.  A request whose target contains "/crash" ends
   the process at once; one whose target contains "/large-N" gets N bytes. Each
   start is another instance.  */
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "cardamom/client.h"
#include "cardamom/server.h"

#define REPORT_INTERVAL_MS 300
#define REPORT_ACK_TIMEOUT (1 * CS_SEC)
#define SLOTS 8
#define CRASH_EXIT_STATUS 3

static uv_loop_t loop;
static cs_ctx_t *ctx;
static char *name = "s", *service = "desk", *port = "0", *reports = "0";
static unsigned work_ms = 20;
static cs_http1_client_t *reporter;
static int sequence;
static long long born_ms;

/* A request that runs.  */
typedef struct
{
  uv_timer_t timer;
  cs_exchange_t *exchange; /* NULL after its caller has disconnected.  */
} run_t;

static void
free_run (uv_handle_t *handle)
{
  g_free (handle->data);
}

static char *
answer_body (cs_str_t target)
{
  const char *large
      = g_strstr_len (target.data, (gssize)target.len, "/large-");
  return large
             ? g_strnfill (strtoul (large + strlen ("/large-"), NULL, 10), 'a')
             : g_strdup (name);
}

static void
on_work_done (uv_timer_t *timer)
{
  run_t *run = timer->data;
  if (run->exchange)
    {
      cs_str_t id
          = cs_http1_message_field (&run->exchange->request, "attempt-id");
      char *fields
          = g_strdup_printf ("Attempt-Id: %.*s\r\nResponse-Seal: s\r\n",
                             (int)id.len, id.data ? id.data : "");
      run->exchange->user = NULL;
      char *body = answer_body (run->exchange->request.request_target);
      cs_exchange_answer (run->exchange, 200, fields, cs_str_of (body), false);
      g_free (body);
      g_free (fields);
    }
  uv_close ((uv_handle_t *)timer, free_run);
}

static void
on_request (void *user, cs_exchange_t *exchange)
{
  cs_str_t target = exchange->request.request_target;
  run_t *run = g_new0 (run_t, 1);
  (void)user;
  if (g_strstr_len (target.data, (gssize)target.len, "/crash"))
    _exit (CRASH_EXIT_STATUS);
  run->exchange = exchange;
  exchange->user = run;
  run->timer.data = run;
  uv_timer_init (&loop, &run->timer);
  uv_timer_start (&run->timer, on_work_done, work_ms, 0);
}

static void
on_caller_disconnected (void *user, cs_exchange_t *exchange)
{
  run_t *run = exchange->user;
  (void)user;
  if (run)
    run->exchange = NULL;
}

static void
on_report_answered (void *user, cs_http1_message_t *answer)
{
  (void)user, (void)answer;
  cs_http1_client_drop (reporter);
  reporter = NULL;
}

static void
on_report_failed (void *user, cs_http1_client_error_t error, bool partial)
{
  (void)user, (void)error, (void)partial;
  cs_http1_client_drop (reporter);
  reporter = NULL;
}

static void
on_report_due (uv_timer_t *timer)
{
  static const cs_http1_client_handler_t handler
      = { .answer_received = on_report_answered, .failed = on_report_failed };
  struct sockaddr_in address;
  char *node = g_strdup_printf ("127.0.0.1:%s", reports);
  (void)timer;
  if (!reporter && cs_sockaddr_parse (node, &address))
    {
      char *body = g_strdup_printf (
          "{\"service\":\"%s\",\"address\":\"127.0.0.1:%s\",\"zone\":\"a\","
          "\"version\":\"v1\",\"slots\":%d,\"state\":\"ready\","
          "\"sequence\":%d,\"born\":%lld}",
          service, port, SLOTS, ++sequence, born_ms);
      GString *request = g_string_new (NULL);
      g_string_append_printf (
          request,
          "PUT /api/instances/%s-%d HTTP/1.1\r\nHost: %s\r\n"
          "Content-Length: %zu\r\n\r\n%s",
          name, (int)getpid (), node, strlen (body), body);
      reporter = cs_http1_client_new (&loop, ctx->clock, &address,
                                      REPORT_ACK_TIMEOUT);
      cs_http1_client_send (reporter, request, false, &handler, NULL);
      g_free (body);
    }
  g_free (node);
}

int
main (int argc, char **argv)
{
  static const cs_http1_server_handler_t handler
      = { .request_received = on_request,
          .caller_disconnected = on_caller_disconnected };
  cs_http1_server_limits_t limits = { .head_max = 65536,
                                      .body_max = 64 << 20,
                                      .head_timeout = 10 * CS_SEC,
                                      .idle_timeout = 60 * CS_SEC };
  cs_http1_server_t *server;
  uv_timer_t report_timer;
  signal (SIGPIPE, SIG_IGN);
  for (int i = 1; i < argc; i++)
    if (g_str_has_prefix (argv[i], "--port="))
      port = argv[i] + strlen ("--port=");
    else if (g_str_has_prefix (argv[i], "--name="))
      name = argv[i] + strlen ("--name=");
    else if (g_str_has_prefix (argv[i], "--service="))
      service = argv[i] + strlen ("--service=");
    else if (g_str_has_prefix (argv[i], "--reports="))
      reports = argv[i] + strlen ("--reports=");
    else if (g_str_has_prefix (argv[i], "--work-ms="))
      work_ms = (unsigned)atoi (argv[i] + strlen ("--work-ms="));
  uv_loop_init (&loop);
  ctx = cs_ctx_new (NULL, cs_clock_boottime (), 1);
  born_ms = ctx->clock->wall (ctx->clock) / CS_MSEC;
  char *address = g_strdup_printf ("127.0.0.1:%s", port);
  if (cs_http1_server_new (ctx, &loop, address, &handler, NULL, &server)
      != CS_OK)
    {
      fprintf (stderr, "standin-server: %s\n", cs_error_message (ctx));
      return 1;
    }
  g_free (address);
  cs_http1_server_set_limits (server, &limits);
  uv_timer_init (&loop, &report_timer);
  uv_timer_start (&report_timer, on_report_due, 0, REPORT_INTERVAL_MS);
  return uv_run (&loop, UV_RUN_DEFAULT);
}
