#include <string.h>

#include "soak.h"

#define LIMIT_MS 1500
#define ANSWER_GRACE_MS 1500

typedef struct
{
  soak_t *soak;
  cs_http1_client_t *client;
  uv_timer_t timer;
  char id[32];
  host_t *host;
  unsigned life;   /* Of the host's process.  */
  int64_t version; /* That a probe asks for; 0: no probe.  */
  bool calm;
} ask_t;

static void
free_ask (uv_handle_t *handle)
{
  g_free (handle->data);
}

static void
end_ask (ask_t *ask)
{
  cs_http1_client_drop (ask->client);
  uv_close ((uv_handle_t *)&ask->timer, free_ask);
}

static void
check_success (ask_t *ask, const cs_http1_message_t *answer)
{
  cs_str_t id = cs_str_of (ask->id);
  if (!cs_str_equal (cs_http1_message_field (answer, "response-seal"), id)
      || !cs_str_equal (cs_str_of_gstring (answer->body), id))
    soak_broken (ask->soak, "MIXED", "id=%s got %s", ask->id,
                 answer->body->str);
}

/* In one life of a process a version that was in force stays so, until a
   later one comes.  */
static void
check_probe (ask_t *ask, unsigned status)
{
  host_t *host = ask->host;
  if (ask->life != host->lives || ask->version != ask->soak->config)
    return;
  if (status == 200)
    host->config_seen = ask->version;
  else if (status == 404 && host->config_seen == ask->version)
    soak_broken (ask->soak, "CONFIG", "%s goes back behind version %lld",
                 host->name, (long long)ask->version);
}

static void
on_answer (void *user, cs_http1_message_t *answer)
{
  ask_t *ask = user;
  soak_t *soak = ask->soak;
  seen_t *seen = g_hash_table_lookup (soak->ids, ask->id);
  unsigned status = answer->parser.status_code;
  bool promise
      = status == 503 || status == 429 || status == 408 || status == 421;
  seen->answered = true;
  if (status == 200)
    {
      check_success (ask, answer);
      soak->served++;
      soak->window_served += ask->calm;
    }
  else if (promise)
    {
      seen->refused = true;
      soak->refused++;
      if (seen->once && seen->runs)
        soak_broken (soak, "REFUSED", "id=%s status=%u has run", ask->id,
                     status);
    }
  else
    soak->failed++;
  if (ask->version)
    check_probe (ask, status);
  else if (status == 404)
    soak_broken (soak, "DENIED", "id=%s", ask->id);
  end_ask (ask);
}

static void
on_failed (void *user, cs_http1_client_error_t fault, bool partial)
{
  ask_t *ask = user;
  (void)fault, (void)partial;
  ask->soak->failed++;
  end_ask (ask);
}

static void
on_timeout (uv_timer_t *timer)
{
  ask_t *ask = timer->data;
  ask->soak->failed++;
  end_ask (ask);
}

static void
send_ask (soak_t *soak, host_t *host, const char *path, bool once,
          int64_t version)
{
  static const cs_http1_client_handler_t handler
      = { .answer_received = on_answer, .failed = on_failed };
  struct sockaddr_in at;
  ask_t *ask = g_new0 (ask_t, 1);
  seen_t *seen = g_new0 (seen_t, 1);
  ask->soak = soak;
  ask->host = host;
  ask->life = host->lives;
  ask->version = version;
  ask->calm = !version && soak->calm;
  g_snprintf (ask->id, sizeof ask->id, "%08x%08llx", soak->seed,
              (unsigned long long)++soak->next_id);
  g_strlcpy (seen->path, path, sizeof seen->path);
  seen->once = once;
  g_hash_table_insert (soak->ids, g_strdup (ask->id), seen);
  soak->asked++;
  soak->window_asked += ask->calm;
  ask->timer.data = ask;
  uv_timer_init (&soak->loop, &ask->timer);
  uv_timer_start (&ask->timer, on_timeout, LIMIT_MS + ANSWER_GRACE_MS, 0);
  uv_ip4_addr ("127.0.0.1", (int)host->port + 1, &at);
  ask->client
      = cs_http1_client_new (&soak->loop, soak->ctx->clock, &at, 2 * CS_SEC);
  GString *request = g_string_new (NULL);
  g_string_append_printf (request,
                          "GET %s HTTP/1.1\r\nHost: h\r\nAttempt-Id: %s\r\n"
                          "Timeout-Remaining-Ms: %d\r\nConnection: close\r\n"
                          "\r\n",
                          path, ask->id, LIMIT_MS);
  cs_http1_client_send (ask->client, request, false, &handler, ask);
}

void
caller_ask (soak_t *soak)
{
  static const char *const paths[] = { "/s0/x", "/u0/x", "/s1/x", "/u1/x" };
  int path = g_rand_int_range (soak->load, 0, (int)G_N_ELEMENTS (paths));
  int host = g_rand_int_range (soak->load, 0, (int)soak->host_count);
  send_ask (soak, &soak->hosts[host], paths[path], path % 2, 0);
}

void
caller_probe (soak_t *soak, host_t *host)
{
  char path[32];
  g_snprintf (path, sizeof path, "/c%lld/x", (long long)soak->config);
  send_ask (soak, host, path, false, soak->config);
}
