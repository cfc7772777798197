#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "soak.h"

#define SERVER_SLOTS 6 /* Requests at a time, as the server reports.  */
#define REPORT_PAUSE (300 * CS_MSEC) /* Unused.  */
/* A draining server must get no more requests once this time has passed since
   the sidecar acknowledged the drain.  */
#define DRAIN_GRACE (3000 * CS_MSEC)
/* Late requests to a draining server are no violation within this time after
   a start of the sidecar or a signal to it.  */
#define DISRUPTION_GRACE (4 * CS_SEC)
/* How long the server runs a request.  */
#define RUN_TIME_MIN_MS 5
#define RUN_TIME_MAX_MS 60
#define RUN_TIME_SLOW_MS 600

/* A request that the backend server is running.  */
typedef struct
{
  uv_timer_t timer;
  host_t *host;
  cs_exchange_t *exchange; /* NULL after the connection was closed.  */
  bool abort_connection;   /* Instead of an answer.  */
  bool answered_twice;     /* Late, where the next answer is expected.  */
} running_request_t;

static void
free_running_request (uv_handle_t *handle)
{
  g_free (handle->data);
}

static char *
copy_field (const cs_exchange_t *exchange, const char *name)
{
  return cs_str_dup (cs_http1_message_field (&exchange->request, name));
}

/* Answer EXCHANGE with what the server answers to the request ID.  */
static void
answer_done (cs_exchange_t *exchange, const char *id)
{
  char *fields
      = g_strdup_printf ("Attempt-Id: %s\r\nResponse-Seal: %s\r\n", id, id);
  cs_exchange_answer (exchange, 200, fields, cs_str_of (id), false);
  g_free (fields);
}

/* Refuse a request with STATUS, asserting that it has not run.  */
static void
answer_not_run (cs_exchange_t *exchange, const char *id, unsigned status)
{
  char *fields = g_strdup_printf ("Attempt-Id: %s\r\nNot-Run: 1\r\n", id);
  cs_exchange_answer (exchange, status, fields, CS_STR (""), false);
  g_free (fields);
}

/* End a running request: answer it, or break its connection.  If an earlier
   request of the connection is answered twice, its second answer, a success or
   a refusal without a length, takes the place of this one's.  */
static void
finish_request (uv_timer_t *timer)
{
  running_request_t *running = timer->data;
  cs_exchange_t *exchange = running->exchange;
  GHashTable *second_answers = running->host->second_answers;
  g_ptr_array_remove_fast (running->host->running_requests, running);
  if (exchange && running->abort_connection)
    cs_exchange_abort (exchange);
  else if (exchange)
    {
      void *connection = exchange->conn;
      char *id = copy_field (exchange, "attempt-id");
      char *earlier_id
          = g_strdup (g_hash_table_lookup (second_answers, connection));
      exchange->user = NULL;
      exchange->close_delimited = earlier_id != NULL;
      if (earlier_id && running->answered_twice)
        answer_not_run (exchange, earlier_id, 503);
      else
        answer_done (exchange, earlier_id ? earlier_id : id);
      if (earlier_id)
        g_hash_table_remove (second_answers, connection);
      else if (running->answered_twice)
        g_hash_table_insert (second_answers, connection, g_strdup (id));
      g_free (earlier_id);
      g_free (id);
    }
  uv_close ((uv_handle_t *)timer, free_running_request);
}

const char *
host_dc (const host_t *host)
{
  return host->index % 2 ? "east-1" : "west-1";
}

/* Check the place of a request ID that begins to run: HOST is neither beyond
   its rate while it is cold, nor in a data centre that was evacuated.  */
static void
check_place (host_t *host, const char *id)
{
  /* As in the platform's rules.  */
  static const double cold_over = 1.5, cold_slack = 8;
  soak_t *soak = host->soak;
  cs_usec_t now = soak_now (soak), *first;
  g_queue_push_tail (&host->cold_runs, g_memdup2 (&now, sizeof now));
  while ((first = g_queue_peek_head (&host->cold_runs))
         && now - *first > CS_SEC)
    g_free (g_queue_pop_head (&host->cold_runs));
  if (now < host->cold_until
      && (double)host->cold_runs.length
             > WARMUP_PER_S * cold_over + cold_slack)
    soak_record_violation (soak, "COLD", "id=%s at %s: %u in one second", id,
                           host->name, host->cold_runs.length);
  if (soak->evacuated_at && now - soak->evacuated_at > EVACUATION_BOUND
      && strcmp (soak->evacuated_dc, host_dc (host)) == 0)
    soak_record_violation (
        soak, "EVAC", "id=%s at %s, %lld ms after the evacuation", id,
        host->name, (long long)((now - soak->evacuated_at) / CS_MSEC));
}

/* Check the low cap as the request ID of ATTEMPT begins to run.  */
static void
check_cap (host_t *host, const attempt_t *attempt, const char *id)
{
  static const double allowed
      = (TIGHT_PER_S * (double)QUOTA_WINDOW / (double)CS_SEC + TIGHT_BURST)
            * (1 + QUOTA_OVER)
        + QUOTA_SLACK;
  soak_t *soak = host->soak;
  cs_usec_t now = soak_now (soak);
  tight_run_t run = { .sent_at = attempt->sent_at, .begun_at = now }, *first;
  unsigned sent = 0;
  g_queue_push_tail (&soak->tight_runs, g_memdup2 (&run, sizeof run));
  while ((first = g_queue_peek_head (&soak->tight_runs))
         && now - first->begun_at > QUOTA_WINDOW)
    g_free (g_queue_pop_head (&soak->tight_runs));
  for (GList *at = soak->tight_runs.head; at; at = at->next)
    sent += now - ((tight_run_t *)at->data)->sent_at <= QUOTA_WINDOW;
  if (soak->tight_runs.length > allowed)
    soak_record_violation (soak, "QUOTA",
                           "id=%s at %s: %u in a window, %u of them sent in "
                           "it",
                           id, host->name, soak->tight_runs.length, sent);
}

/* Check the workspace of the request of ATTEMPT, which begins to run.  */
static void
check_workspace (host_t *host, const cs_exchange_t *exchange,
                 const attempt_t *attempt, const char *id)
{
  soak_t *soak = host->soak;
  char *workspace = copy_field (exchange, "tenant");
  if (strcmp (workspace, attempt->workspace ? attempt->workspace : "") != 0
      || cs_http1_message_field (&exchange->request, "authorization").data)
    soak_record_violation (soak, "UNASKED", "id=%s of '%s' as of '%s'", id,
                           attempt->workspace ? attempt->workspace : "",
                           workspace);
  g_free (workspace);
  int64_t version = attempt->key_version;
  cs_usec_t removed_at = version > 0 && version < VERSIONS_MAX
                             ? soak->key_removed_at[version]
                             : 0;
  if (removed_at && attempt->sent_at > removed_at + REVOKE_BOUND
      && !operator_key_may_be_valid (soak->operator))
    soak_record_violation (
        soak, "REVOKE", "id=%s at %s, sent %lld ms after its key was removed",
        id, host->name,
        (long long)((attempt->sent_at - removed_at) / CS_MSEC));
  if (!attempt->workspace || strcmp (attempt->workspace, "tight") != 0)
    return;
  check_cap (host, attempt, id);
}

/* Check a request ID that begins to run, and record a violation unless: a
   caller has sent it, with this path; an unsafe one has neither run before nor
   been answered as not run; it names the caller's service, which the sidecar
   adds; and it does not come later than DRAIN_GRACE after the sidecar
   acknowledged a drain of the server, the time of disruptions excepted.  */
static void
check_run (host_t *host, cs_exchange_t *exchange, const char *id)
{
  soak_t *soak = host->soak;
  attempt_t *attempt = g_hash_table_lookup (soak->attempts, id);
  char *path = cs_str_dup (exchange->request.request_target);
  char *caller = copy_field (exchange, "caller-service");
  if (!attempt || strcmp (attempt->path, path) != 0)
    soak_record_violation (soak, "UNASKED", "id=%s path=%s", id, path);
  else if (attempt->at_most_once && attempt->run_count++)
    soak_record_violation (soak, "TWICE", "id=%s host=%s", id, host->name);
  else if (attempt->at_most_once && attempt->refused)
    soak_record_violation (
        soak, "REFUSED", "id=%s runs at %s after its refusal", id, host->name);
  if (!*caller)
    soak_record_violation (soak, "UNASKED",
                           "id=%s without the caller's service", id);
  check_place (host, id);
  if (attempt)
    check_workspace (host, exchange, attempt, id);
  cs_usec_t now = soak_now (soak);
  if (host->draining && host->drain_acknowledged_at
      && now - host->drain_acknowledged_at > DRAIN_GRACE
      && now - host->last_disruption_at > DISRUPTION_GRACE)
    soak_record_violation (
        soak, "DRAIN", "id=%s at %s, %lld ms after its drain was acknowledged",
        id, host->name,
        (long long)((now - host->drain_acknowledged_at) / CS_MSEC));
  g_free (path);
  g_free (caller);
}

/* For how long the server stays cold.  */
static cs_usec_t
cold_left (const host_t *host)
{
  return MAX (host->cold_until - soak_now (host->soak), 0);
}

static void
on_request (void *user, cs_exchange_t *exchange)
{
  host_t *host = user;
  soak_t *soak = host->soak;
  if (cs_str_equal (exchange->request.request_target, CS_STR ("/health")))
    {
      char *fields = g_strdup_printf ("Instance-Id: %s\r\nCold-Ms: %lld\r\n",
                                      host->instance_id,
                                      (long long)(cold_left (host) / CS_MSEC));
      cs_exchange_answer (exchange, host->draining ? 503 : 200, fields,
                          CS_STR (""), false);
      g_free (fields);
      return;
    }
  char *id = copy_field (exchange, "attempt-id");
  char *expected_instance = copy_field (exchange, "expect-instance");
  double random = g_rand_double (soak->load_random);
  /* The server refuses 2 % of the requests, breaks the connection of 1 %,
     answers 3 % twice, and runs 1 % slowly.  */
  if (*expected_instance && strcmp (expected_instance, host->instance_id) != 0)
    answer_not_run (exchange, id, 421);
  else if (random < 0.02)
    answer_not_run (exchange, id, 503);
  else
    {
      running_request_t *running = g_new0 (running_request_t, 1);
      check_run (host, exchange, id);
      running->host = host;
      running->exchange = exchange;
      g_ptr_array_add (host->running_requests, running);
      running->abort_connection = random < 0.03;
      running->answered_twice = random >= 0.03 && random < 0.06;
      running->timer.data = running;
      exchange->user = running;
      uv_timer_init (&soak->loop, &running->timer);
      uv_timer_start (&running->timer, finish_request,
                      random > 0.99 ? RUN_TIME_SLOW_MS
                                    : (uint64_t)g_rand_int_range (
                                        soak->load_random, RUN_TIME_MIN_MS,
                                        RUN_TIME_MAX_MS),
                      0);
    }
  g_free (id);
  g_free (expected_instance);
}

/* The client that sends requests to the backend server, its "caller" in the
   server's terms, is the sidecar.  */
static void
on_sidecar_disconnected (void *user, cs_exchange_t *exchange)
{
  running_request_t *running = exchange->user;
  (void)user;
  if (running)
    running->exchange = NULL;
}

static void
start_server (host_t *host)
{
  static const cs_http1_server_handler_t handler
      = { .request_received = on_request,
          .caller_disconnected = on_sidecar_disconnected };
  soak_t *soak = host->soak;
  char *address
      = g_strdup_printf ("127.0.0.1:%u", host->first_port + PORT_SERVER);
  if (cs_http1_server_new (soak->ctx, &soak->loop, address, &handler, host,
                           &host->server)
      != CS_OK)
    soak_fail (soak, "%s", cs_error_message (soak->ctx));
  g_free (address);
  g_snprintf (host->instance_id, sizeof host->instance_id, "i%u-%lld",
              host->index, (long long)(soak_now (soak) / CS_MSEC));
  host->report_sequence = 0;
  host->server_start_ms = cs_now_wall (soak->ctx) / CS_MSEC;
  host->cold_until = soak_now (soak) + WARMUP_TIME;
  g_queue_clear_full (&host->cold_runs, g_free);
  host->server_up = true;
  host->draining = false;
  host->drain_acknowledged_at = 0;
}

/* Close the server and all its connections; it restarts after DOWNTIME.  */
static void
stop_server (host_t *host, cs_usec_t downtime)
{
  if (!host->server_up)
    return;
  host->server_up = false;
  for (guint i = 0; i < host->running_requests->len; i++)
    ((running_request_t *)host->running_requests->pdata[i])->exchange = NULL;
  g_hash_table_remove_all (host->second_answers);
  cs_http1_server_close (host->server);
  host->server_restart_at = soak_now (host->soak) + downtime;
}

void
host_crash_server (host_t *host)
{
  stop_server (host, 1 * CS_SEC);
}

void
host_drain_server (host_t *host)
{
  host->draining = host->server_up;
}

/* Reports of the backend server to its sidecar.  */

static void
end_report (host_t *host)
{
  cs_http1_client_drop (host->report_client);
  host->report_client = NULL;
  host->report_in_flight = false;
}

static void
on_report_acknowledged (void *user, cs_http1_message_t *answer)
{
  host_t *host = user;
  if (host->draining && !host->drain_acknowledged_at
      && answer->parser.status_code == 200)
    host->drain_acknowledged_at = soak_now (host->soak);
  end_report (host);
}

static void
on_report_failed (void *user, cs_http1_client_error_t error, bool partial)
{
  (void)error, (void)partial;
  end_report (user);
}

static void
send_report (host_t *host)
{
  static const cs_http1_client_handler_t handler
      = { .answer_received = on_report_acknowledged,
          .failed = on_report_failed };
  soak_t *soak = host->soak;
  struct sockaddr_in address;
  char *body = g_strdup_printf (
      "{\"service\":\"%s\",\"address\":\"127.0.0.1:%u\",\"zone\":\"z\","
      "\"version\":\"v1\",\"slots\":%d,\"state\":\"%s\",\"warmupLeft\":"
      "\"%lldms\",\"sequence\":%lld,\"born\":%lld}",
      host->service, host->first_port + PORT_SERVER, SERVER_SLOTS,
      host->draining ? "draining" : "ready",
      (long long)(cold_left (host) / CS_MSEC),
      (long long)++host->report_sequence, (long long)host->server_start_ms);
  GString *request = g_string_new (NULL);
  g_string_append_printf (request,
                          "PUT /api/instances/%s HTTP/1.1\r\nHost: h\r\n"
                          "Content-Length: %zu\r\n\r\n%s",
                          host->instance_id, strlen (body), body);
  uv_ip4_addr ("127.0.0.1", (int)host->first_port + PORT_REPORTS, &address);
  host->report_in_flight = true;
  host->report_client = cs_http1_client_new (&soak->loop, soak->ctx->clock,
                                             &address, 1 * CS_SEC);
  cs_http1_client_send (host->report_client, request, false, &handler, host);
  g_free (body);
}

/* The sidecar process.  */

static void
free_process (uv_handle_t *handle)
{
  g_free (handle);
}

static void
on_process_exit (uv_process_t *process, int64_t exit_status, int signal_number)
{
  host_t *host = process->data;
  soak_t *soak = host->soak;
  if (host->must_exit_cleanly && (exit_status || signal_number))
    soak_record_violation (
        soak, "STOP", "%s ended with %lld, signal %d, %lld ms after its start",
        host->name, (long long)exit_status, signal_number,
        (long long)((soak_now (soak) - host->started_at) / CS_MSEC));
  else if (!host->stopping && !host->must_exit_cleanly
           && signal_number != SIGKILL)
    soak_record_violation (soak, "ALIVE",
                           "%s ended by itself with %lld, signal %d",
                           host->name, (long long)exit_status, signal_number);
  host->pid = 0;
  host->process = NULL;
  host->must_exit_cleanly = false;
  uv_close ((uv_handle_t *)process, free_process);
}

static void
write_settings (host_t *host, bool first_start)
{
  unsigned port = host->first_port;
  char *text = g_strdup_printf (
      "{\"node\":\"%s\",\"data_centre\":\"%s\",\"region\":\"%s\","
      "\"first_start\":%d,\"callers\":\"127.0.0.1:%u\",\"ready\":"
      "\"127.0.0.1:%u\",\"reports\":\"127.0.0.1:%u\",\"peers\":"
      "\"127.0.0.1:%u\",\"advertised\":\"127.0.0.1:%u\",\"service\":\"%s\","
      "\"server\":\"127.0.0.1:%u\",\"table\":\"127.0.0.1:%u\","
      "\"fail_closed\":1,\"revoke\":\"%lldms\",\"quota_window\":\"%lldms\","
      "\"quota_over\":%.2f,\"quota_slack\":%.1f}",
      host->name, host_dc (host), host->index % 2 ? "east" : "west",
      first_start, port + PORT_CALLERS, port + PORT_READINESS,
      port + PORT_REPORTS, port + PORT_PEERS, port + PORT_PEER_PROXY,
      host->service, port + PORT_SERVER, port + PORT_TABLE_PROXY,
      (long long)(REVOKE_BOUND / CS_MSEC), (long long)(QUOTA_WINDOW / CS_MSEC),
      QUOTA_OVER, QUOTA_SLACK);
  if (!g_file_set_contents (host->settings_path, text, -1, NULL))
    soak_fail (host->soak, "cannot write %s", host->settings_path);
  g_free (text);
}

void
host_start (host_t *host, bool first_start)
{
  soak_t *soak = host->soak;
  char *log_path = g_strdup_printf ("%s/%s.log", soak->work_dir, host->name);
  char *flag = g_strdup_printf ("--settings=%s", host->settings_path);
  char *program = g_strdup_printf ("%s/cardamom-sidecar", soak->program_dir);
  FILE *log_file = fopen (log_path, "a");
  char *args[] = { program, flag, NULL };
  uv_stdio_container_t stdio[3]
      = { { .flags = UV_IGNORE },
          { .flags = UV_INHERIT_FD, .data.fd = fileno (log_file) },
          { .flags = UV_INHERIT_FD, .data.fd = fileno (log_file) } };
  uv_process_options_t options = { .file = program,
                                   .args = args,
                                   .stdio = stdio,
                                   .stdio_count = 3,
                                   .exit_cb = on_process_exit };
  write_settings (host, first_start);
  host->process = g_new0 (uv_process_t, 1);
  host->process->data = host;
  if (uv_spawn (&soak->loop, host->process, &options) != 0)
    soak_fail (soak, "%s cannot be started", program);
  host->pid = host->process->pid;
  host->frozen = host->stopping = false;
  host->started_at = host->last_disruption_at = soak->last_start_at
      = soak_now (soak);
  host->start_count++;
  host->active_config_version = 0;
  fclose (log_file);
  g_free (log_path);
  g_free (flag);
  g_free (program);
}

void
host_signal (host_t *host, int signal_number)
{
  if (!host->pid)
    return;
  host->last_disruption_at = soak_now (host->soak);
  if (signal_number == SIGKILL || signal_number == SIGTERM)
    {
      host->stopping = true;
      host->must_exit_cleanly = signal_number == SIGTERM;
    }
  if (signal_number == SIGSTOP || signal_number == SIGCONT)
    host->frozen = signal_number == SIGSTOP;
  kill (host->pid, signal_number);
}

void
host_init (soak_t *soak, unsigned index)
{
  host_t *host = &soak->hosts[index];
  host->soak = soak;
  host->index = index;
  host->first_port = soak->base_port + FIRST_HOST_PORT + HOST_PORTS * index;
  g_snprintf (host->name, sizeof host->name, "n%u", index);
  g_snprintf (host->service, sizeof host->service, "s%u", index % 2);
  host->settings_path
      = g_strdup_printf ("%s/%s.json", soak->work_dir, host->name);
  host->running_requests = g_ptr_array_new ();
  host->second_answers = g_hash_table_new_full (NULL, NULL, NULL, g_free);
  host->peer_proxy
      = proxy_new (&soak->loop, host->first_port + PORT_PEER_PROXY,
                   host->first_port + PORT_PEERS);
  host->table_proxy = proxy_new (
      &soak->loop, host->first_port + PORT_TABLE_PROXY, soak->base_port);
  if (!host->peer_proxy || !host->table_proxy)
    soak_fail (soak, "ports from %u on are in use; give another --base",
               host->first_port);
  start_server (host);
}

void
host_tick (host_t *host)
{
  cs_usec_t now = soak_now (host->soak);
  if (!host->pid && host->restart_at && now >= host->restart_at)
    {
      host->restart_at = 0;
      host_start (host, false);
    }
  if (!host->server_up && now >= host->server_restart_at)
    start_server (host);
  /* The server stays a while longer than DRAIN_GRACE, so that requests that
     come too late are detected.  */
  if (host->draining && host->drain_acknowledged_at
      && now - host->drain_acknowledged_at > DRAIN_GRACE + 1 * CS_SEC)
    stop_server (host, 500 * CS_MSEC);
  /* A frozen sidecar does not answer.  */
  if (host->report_in_flight && host->frozen)
    end_report (host);
  if (host->server_up && !host->report_in_flight && host->pid && !host->frozen)
    send_report (host);
}
