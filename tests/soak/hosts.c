#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "soak.h"

#define SLOTS 6
#define REPORT_PAUSE (300 * CS_MSEC)
#define DRAIN (3000 * CS_MSEC) /* After an acknowledgement nothing comes.  */
#define FROZEN_EXCUSE (4 * CS_SEC)
#define RUN_MIN_MS 5
#define RUN_MAX_MS 60
#define RUN_SLOW_MS 600

typedef struct
{
  uv_timer_t timer;
  host_t *host;
  cs_exchange_t *exchange; /* NULL when the node has left.  */
  bool abort;
} run_t;

static void
free_run (uv_handle_t *handle)
{
  g_free (handle->data);
}

static char *
field_of (const cs_exchange_t *exchange, const char *name)
{
  return cs_str_dup (cs_http1_message_field (&exchange->request, name));
}

static void
end_run (uv_timer_t *timer)
{
  run_t *run = timer->data;
  cs_exchange_t *exchange = run->exchange;
  g_ptr_array_remove_fast (run->host->runs, run);
  if (exchange && run->abort)
    cs_exchange_abort (exchange);
  else if (exchange)
    {
      char *id = field_of (exchange, "attempt-id");
      char *fields = g_strdup_printf (
          "Attempt-Id: %s\r\nResponse-Seal: %s\r\n", id, id);
      exchange->user = NULL;
      cs_exchange_answer (exchange, 200, fields, cs_str_of (id), false);
      g_free (fields);
      g_free (id);
    }
  uv_close ((uv_handle_t *)timer, free_run);
}

static void
answer_not_run (cs_exchange_t *exchange, const char *id, unsigned status)
{
  char *fields = g_strdup_printf ("Attempt-Id: %s\r\nNot-Run: 1\r\n", id);
  cs_exchange_answer (exchange, status, fields, CS_STR (""), false);
  g_free (fields);
}

/* A request begins to run: was it asked for, may it, may it here?  */
static void
check_run (host_t *host, cs_exchange_t *exchange, const char *id)
{
  soak_t *soak = host->soak;
  seen_t *seen = g_hash_table_lookup (soak->ids, id);
  char *path = cs_str_dup (exchange->request.request_target);
  char *caller = field_of (exchange, "caller-service");
  if (!seen || strcmp (seen->path, path) != 0)
    soak_broken (soak, "UNASKED", "id=%s path=%s", id, path);
  else if (seen->once && seen->runs++)
    soak_broken (soak, "TWICE", "id=%s host=%s", id, host->name);
  else if (seen->once && seen->refused)
    soak_broken (soak, "REFUSED", "id=%s runs at %s", id, host->name);
  if (!*caller)
    soak_broken (soak, "UNASKED", "id=%s without the caller's service", id);
  cs_usec_t now = soak_now (soak);
  if (host->draining && host->acknowledged && now - host->acknowledged > DRAIN
      && now - host->faulted > FROZEN_EXCUSE)
    soak_broken (soak, "DRAIN", "id=%s at %s, %lld ms after its leave", id,
                 host->name,
                 (long long)((now - host->acknowledged) / CS_MSEC));
  g_free (path);
  g_free (caller);
}

static void
on_request (void *user, cs_exchange_t *exchange)
{
  host_t *host = user;
  soak_t *soak = host->soak;
  if (cs_str_equal (exchange->request.request_target, CS_STR ("/health")))
    {
      char *fields = g_strdup_printf ("Instance-Id: %s\r\n", host->instance);
      cs_exchange_answer (exchange, host->draining ? 503 : 200, fields,
                          CS_STR (""), false);
      g_free (fields);
      return;
    }
  char *id = field_of (exchange, "attempt-id");
  char *wanted = field_of (exchange, "expect-instance");
  double draw = g_rand_double (soak->load);
  if (*wanted && strcmp (wanted, host->instance) != 0)
    answer_not_run (exchange, id, 421);
  else if (draw < 0.02)
    answer_not_run (exchange, id, 503);
  else
    {
      run_t *run = g_new0 (run_t, 1);
      check_run (host, exchange, id);
      run->host = host;
      run->exchange = exchange;
      g_ptr_array_add (host->runs, run);
      run->abort = draw < 0.03;
      run->timer.data = run;
      exchange->user = run;
      uv_timer_init (&soak->loop, &run->timer);
      uv_timer_start (&run->timer, end_run,
                      draw > 0.99 ? RUN_SLOW_MS
                                  : (uint64_t)g_rand_int_range (
                                      soak->load, RUN_MIN_MS, RUN_MAX_MS),
                      0);
    }
  g_free (id);
  g_free (wanted);
}

static void
on_left (void *user, cs_exchange_t *exchange)
{
  run_t *run = exchange->user;
  (void)user;
  if (run)
    run->exchange = NULL;
}

static void
open_server (host_t *host)
{
  static const cs_http1_server_handler_t handler
      = { .request_received = on_request, .caller_disconnected = on_left };
  soak_t *soak = host->soak;
  char *address = g_strdup_printf ("127.0.0.1:%u", host->port + 9);
  if (cs_http1_server_new (soak->ctx, &soak->loop, address, &handler, host,
                           &host->server)
      != CS_OK)
    soak_fail (soak, "%s", cs_error_message (soak->ctx));
  g_free (address);
  g_snprintf (host->instance, sizeof host->instance, "i%u-%lld", host->index,
              (long long)(soak_now (soak) / CS_MSEC));
  host->sequence = 0;
  host->born_ms = cs_now_wall (soak->ctx) / CS_MSEC;
  host->up = true;
  host->draining = false;
  host->acknowledged = 0;
}

static void
close_server (host_t *host, cs_usec_t away)
{
  if (!host->up)
    return;
  host->up = false;
  for (guint i = 0; i < host->runs->len; i++)
    ((run_t *)host->runs->pdata[i])->exchange = NULL;
  cs_http1_server_close (host->server);
  host->back_at = soak_now (host->soak) + away;
}

void
host_crash_server (host_t *host)
{
  close_server (host, 1 * CS_SEC);
}

void
host_drain_server (host_t *host)
{
  host->draining = host->up;
}

/* Reports.  */

static void
end_report (host_t *host)
{
  cs_http1_client_drop (host->reports);
  host->reports = NULL;
  host->reporting = false;
}

static void
on_acknowledged (void *user, cs_http1_message_t *answer)
{
  host_t *host = user;
  if (host->draining && !host->acknowledged
      && answer->parser.status_code == 200)
    host->acknowledged = soak_now (host->soak);
  end_report (host);
}

static void
on_no_answer (void *user, cs_http1_client_error_t fault, bool partial)
{
  (void)fault, (void)partial;
  end_report (user);
}

static void
report (host_t *host)
{
  static const cs_http1_client_handler_t handler
      = { .answer_received = on_acknowledged, .failed = on_no_answer };
  soak_t *soak = host->soak;
  struct sockaddr_in at;
  char *body = g_strdup_printf (
      "{\"service\":\"%s\",\"address\":\"127.0.0.1:%u\",\"zone\":\"z\","
      "\"version\":\"v1\",\"slots\":%d,\"state\":\"%s\",\"warmupLeft\":"
      "\"0ms\",\"sequence\":%lld,\"born\":%lld}",
      host->service, host->port + 9, SLOTS,
      host->draining ? "draining" : "ready", (long long)++host->sequence,
      (long long)host->born_ms);
  GString *request = g_string_new (NULL);
  g_string_append_printf (request,
                          "PUT /api/instances/%s HTTP/1.1\r\nHost: h\r\n"
                          "Content-Length: %zu\r\n\r\n%s",
                          host->instance, strlen (body), body);
  uv_ip4_addr ("127.0.0.1", (int)host->port + 3, &at);
  host->reporting = true;
  host->reports
      = cs_http1_client_new (&soak->loop, soak->ctx->clock, &at, 1 * CS_SEC);
  cs_http1_client_send (host->reports, request, false, &handler, host);
  g_free (body);
}

/* The process.  */

static void
free_process (uv_handle_t *handle)
{
  g_free (handle);
}

static void
on_exit_process (uv_process_t *process, int64_t status, int number)
{
  host_t *host = process->data;
  soak_t *soak = host->soak;
  if (host->must_end_well && (status || number))
    soak_broken (soak, "STOP", "%s ended with %lld, signal %d", host->name,
                 (long long)status, number);
  else if (!host->stopping && !host->must_end_well && number != SIGKILL)
    soak_broken (soak, "ALIVE", "%s ended by itself with %lld, signal %d",
                 host->name, (long long)status, number);
  host->pid = 0;
  host->process = NULL;
  host->must_end_well = false;
  uv_close ((uv_handle_t *)process, free_process);
}

static void
write_settings (host_t *host, bool first)
{
  unsigned p = host->port;
  char *text = g_strdup_printf (
      "{\"node\":\"%s\",\"data_centre\":\"%s\",\"region\":\"%s\","
      "\"first_start\":%d,\"callers\":\"127.0.0.1:%u\",\"ready\":"
      "\"127.0.0.1:%u\",\"reports\":\"127.0.0.1:%u\",\"peers\":"
      "\"127.0.0.1:%u\",\"advertised\":\"127.0.0.1:%u\",\"service\":\"%s\","
      "\"server\":\"127.0.0.1:%u\",\"table\":\"127.0.0.1:%u\"}",
      host->name, host->index % 2 ? "east-1" : "west-1",
      host->index % 2 ? "east" : "west", first, p + 1, p + 2, p + 3, p + 4,
      p + 5, host->service, p + 9, p + 6);
  if (!g_file_set_contents (host->settings_path, text, -1, NULL))
    soak_fail (host->soak, "cannot write %s", host->settings_path);
  g_free (text);
}

void
host_start (host_t *host, bool first)
{
  soak_t *soak = host->soak;
  char *log = g_strdup_printf ("%s/%s.log", soak->dir, host->name);
  char *flag = g_strdup_printf ("--settings=%s", host->settings_path);
  char *program = g_strdup_printf ("%s/cardamom-sidecar", soak->bin);
  FILE *out = fopen (log, "a");
  char *args[] = { program, flag, NULL };
  uv_stdio_container_t stdio[3]
      = { { .flags = UV_IGNORE },
          { .flags = UV_INHERIT_FD, .data.fd = fileno (out) },
          { .flags = UV_INHERIT_FD, .data.fd = fileno (out) } };
  uv_process_options_t options = { .file = program,
                                   .args = args,
                                   .stdio = stdio,
                                   .stdio_count = 3,
                                   .exit_cb = on_exit_process };
  write_settings (host, first);
  host->process = g_new0 (uv_process_t, 1);
  host->process->data = host;
  if (uv_spawn (&soak->loop, host->process, &options) != 0)
    soak_fail (soak, "%s cannot be started", program);
  host->pid = host->process->pid;
  host->frozen = host->stopping = false;
  host->faulted = soak_now (soak);
  host->lives++;
  host->config_seen = 0;
  fclose (out);
  g_free (log);
  g_free (flag);
  g_free (program);
}

void
host_signal (host_t *host, int number)
{
  if (!host->pid)
    return;
  host->faulted = soak_now (host->soak);
  if (number == SIGKILL || number == SIGTERM)
    {
      host->stopping = true;
      host->must_end_well = number == SIGTERM;
    }
  if (number == SIGSTOP || number == SIGCONT)
    host->frozen = number == SIGSTOP;
  kill (host->pid, number);
}

void
host_init (soak_t *soak, unsigned index)
{
  host_t *host = &soak->hosts[index];
  host->soak = soak;
  host->index = index;
  host->port = soak->base + 20 + 10 * index;
  g_snprintf (host->name, sizeof host->name, "n%u", index);
  g_snprintf (host->service, sizeof host->service, "s%u", index % 2);
  host->settings_path = g_strdup_printf ("%s/%s.json", soak->dir, host->name);
  host->runs = g_ptr_array_new ();
  host->peers = proxy_new (&soak->loop, host->port + 5, host->port + 4);
  host->table = proxy_new (&soak->loop, host->port + 6, soak->base);
  if (!host->peers || !host->table)
    soak_fail (soak, "ports from %u on are taken; give another --base",
               host->port);
  open_server (host);
}

void
host_tick (host_t *host)
{
  cs_usec_t now = soak_now (host->soak);
  if (!host->pid && host->start_at && now >= host->start_at)
    {
      host->start_at = 0;
      host_start (host, false);
    }
  if (!host->up && now >= host->back_at)
    open_server (host);
  if (host->draining && host->acknowledged
      && now - host->acknowledged > DRAIN + 1 * CS_SEC)
    close_server (host, 500 * CS_MSEC);
  if (host->reporting && host->frozen)
    end_report (host);
  if (host->up && !host->reporting && host->pid && !host->frozen)
    report (host);
}
