#include <string.h>

#include "soak.h"

/* Sent with each request as the time that remains for it.  */
#define REQUEST_TIMEOUT_MS 1500
/* How much longer than that the caller waits for an answer.  */
#define CALLER_GRACE_MS 1500

/* A request of a caller in progress.  */
typedef struct
{
  soak_t *soak;
  cs_http1_client_t *client;
  uv_timer_t timer;
  char attempt_id[32];
  host_t *host;
  unsigned host_start_count; /* HOST's start_count when it was sent.  */
  int64_t probed_version;    /* Configuration version; 0: no probe.  */
  bool in_window;            /* It counts towards the recovery window.  */
} caller_request_t;

static void
free_request (uv_handle_t *handle)
{
  g_free (handle->data);
}

static void
end_request (caller_request_t *request)
{
  cs_http1_client_drop (request->client);
  uv_close ((uv_handle_t *)&request->timer, free_request);
}

/* Check that a 200 answer belongs to REQUEST: the server returns the attempt
   ID in a field and in the body.  */
static void
check_answer (caller_request_t *request, const cs_http1_message_t *answer)
{
  cs_str_t id = cs_str_of (request->attempt_id);
  if (!cs_str_equal (cs_http1_message_field (answer, "response-seal"), id)
      || !cs_str_equal (cs_str_of_gstring (answer->body), id))
    soak_record_violation (request->soak, "MIXED", "id=%s got %s",
                           request->attempt_id, answer->body->str);
}

/* Handle the answer STATUS to a probe.  A process that has activated a version
   must not serve an older one while it runs.  404 means that the probed
   version is not active.  Probes of older versions or of an earlier process
   show nothing and are ignored.  */
static void
check_probe (caller_request_t *request, unsigned status)
{
  host_t *host = request->host;
  if (request->host_start_count != host->start_count
      || request->probed_version != request->soak->config_version)
    return;
  if (status == 200)
    host->active_config_version = request->probed_version;
  else if (status == 404
           && host->active_config_version == request->probed_version)
    soak_record_violation (request->soak, "CONFIG",
                           "%s does not serve version %lld any more",
                           host->name, (long long)request->probed_version);
}

static void
on_answer (void *user, cs_http1_message_t *answer)
{
  caller_request_t *request = user;
  soak_t *soak = request->soak;
  attempt_t *attempt
      = g_hash_table_lookup (soak->attempts, request->attempt_id);
  unsigned status = answer->parser.status_code;
  /* Statuses that assert that the request has not run.  */
  bool not_run
      = status == 503 || status == 429 || status == 408 || status == 421;
  attempt->answered = true;
  if (status == 200)
    {
      check_answer (request, answer);
      soak->served++;
      soak->window_served += request->in_window;
    }
  else if (not_run)
    {
      attempt->refused = true;
      soak->refused++;
      if (attempt->at_most_once && attempt->run_count)
        soak_record_violation (soak, "REFUSED", "id=%s status=%u has run",
                               request->attempt_id, status);
    }
  else
    soak->failed++;
  if (request->probed_version)
    check_probe (request, status);
  else if (status == 404)
    soak_record_violation (soak, "DENIED", "id=%s", request->attempt_id);
  end_request (request);
}

static void
on_no_answer (void *user, cs_http1_client_error_t error, bool partial)
{
  caller_request_t *request = user;
  (void)error, (void)partial;
  request->soak->failed++;
  end_request (request);
}

static void
on_timeout (uv_timer_t *timer)
{
  caller_request_t *request = timer->data;
  request->soak->failed++;
  end_request (request);
}

/* Choose the key of ATTEMPT, a request of a keyed route: that of the version
   before the newest one, which both hold, at times that of the workspace with
   the low cap, or one that was taken away.  The caller frees it.  */
static char *
choose_key (soak_t *soak, attempt_t *attempt)
{
  double random = g_rand_double (soak->load_random);
  if (random < 0.25)
    {
      attempt->workspace = "tight";
      return g_strdup ("tight-key");
    }
  attempt->workspace = "shop";
  attempt->key_version
      = MAX (soak->config_version - (random < 0.35 ? 3 : 1), 0);
  return g_strdup_printf ("key-%lld", (long long)attempt->key_version);
}

/* KEYED: the route asks for a key.  */
static void
send_request (soak_t *soak, host_t *host, const char *path, bool at_most_once,
              int64_t probed_version, bool keyed)
{
  static const cs_http1_client_handler_t handler
      = { .answer_received = on_answer, .failed = on_no_answer };
  struct sockaddr_in address;
  caller_request_t *request = g_new0 (caller_request_t, 1);
  attempt_t *attempt = g_new0 (attempt_t, 1);
  request->soak = soak;
  request->host = host;
  request->host_start_count = host->start_count;
  request->probed_version = probed_version;
  request->in_window = !probed_version && soak->faults_over;
  g_snprintf (request->attempt_id, sizeof request->attempt_id, "%08x%08llx",
              soak->seed, (unsigned long long)++soak->last_attempt_number);
  g_strlcpy (attempt->path, path, sizeof attempt->path);
  attempt->at_most_once = at_most_once;
  attempt->sent_at = soak_now (soak);
  char *key = keyed ? choose_key (soak, attempt) : NULL;
  /* Of the keyed ones, only those with a valid key and no cap are owed.  */
  request->in_window
      &= !key || attempt->key_version == soak->config_version - 1;
  g_hash_table_insert (soak->attempts, g_strdup (request->attempt_id),
                       attempt);
  soak->sent++;
  soak->window_sent += request->in_window;
  request->timer.data = request;
  uv_timer_init (&soak->loop, &request->timer);
  uv_timer_start (&request->timer, on_timeout,
                  REQUEST_TIMEOUT_MS + CALLER_GRACE_MS, 0);
  uv_ip4_addr ("127.0.0.1", (int)host->first_port + PORT_CALLERS, &address);
  request->client = cs_http1_client_new (&soak->loop, soak->ctx->clock,
                                         &address, 2 * CS_SEC);
  GString *request_text = g_string_new (NULL);
  g_string_append_printf (request_text,
                          "GET %s HTTP/1.1\r\nHost: h\r\nAttempt-Id: %s\r\n"
                          "Timeout-Remaining-Ms: %d\r\nConnection: close\r\n"
                          "%s%s%s\r\n",
                          path, request->attempt_id, REQUEST_TIMEOUT_MS,
                          key ? "Authorization: Bearer " : "", key ? key : "",
                          key ? "\r\n" : "");
  g_free (key);
  cs_http1_client_send (request->client, request_text, false, &handler,
                        request);
}

void
caller_send_request (soak_t *soak)
{
  /* Each service has a safe and an unsafe route; the odd ones are unsafe.  */
  static const char *const paths[] = { "/s0/x", "/u0/x", "/s1/x", "/u1/x" };
  int path_index
      = g_rand_int_range (soak->load_random, 0, (int)G_N_ELEMENTS (paths));
  int host_index
      = g_rand_int_range (soak->load_random, 0, (int)soak->host_count);
  send_request (soak, &soak->hosts[host_index], paths[path_index],
                path_index % 2, 0, path_index >= 2);
}

void
caller_send_probe (soak_t *soak, host_t *host)
{
  char path[32];
  g_snprintf (path, sizeof path, "/c%lld/x", (long long)soak->config_version);
  send_request (soak, host, path, false, soak->config_version, false);
}
