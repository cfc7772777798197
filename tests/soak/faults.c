#include <signal.h>
#include <stdio.h>
#include <string.h>

#include "soak.h"

#define PAUSE_MIN_MS 40
#define PAUSE_MAX_MS 700
#define LAST_MIN_MS 150
#define LAST_MAX_MS 2500

typedef enum
{
  FAULT_FREEZE,
  FAULT_KILL,
  FAULT_KILL_ALL,
  FAULT_TERM,
  FAULT_HUP,
  FAULT_PEERS,     /* What other nodes send to the host.  */
  FAULT_TABLE,     /* What the host asks of the table.  */
  FAULT_TABLE_ALL, /* What any host asks of it.  */
  FAULT_SERVER_CRASH,
  FAULT_SERVER_DRAIN,
  FAULT_CONFIG,
  FAULT_KIND_COUNT
} fault_kind_t;

/* How often each is drawn.  */
static const struct
{
  const char *name;
  unsigned weight;
} kinds[FAULT_KIND_COUNT] = {
  [FAULT_FREEZE] = { "freeze", 3 },
  [FAULT_KILL] = { "kill", 3 },
  [FAULT_KILL_ALL] = { "kill-all", 1 },
  [FAULT_TERM] = { "stop", 3 },
  [FAULT_HUP] = { "hangup", 1 },
  [FAULT_PEERS] = { "peers", 5 },
  [FAULT_TABLE] = { "table", 3 },
  [FAULT_TABLE_ALL] = { "table-all", 2 },
  [FAULT_SERVER_CRASH] = { "server-crash", 3 },
  [FAULT_SERVER_DRAIN] = { "server-drain", 3 },
  [FAULT_CONFIG] = { "config", 4 },
};

typedef struct
{
  cs_usec_t at, until; /* From the begin.  */
  fault_kind_t kind;
  unsigned host;
  proxy_mode_t mode;
  bool ended;
} fault_t;

static fault_kind_t
draw_kind (GRand *random)
{
  unsigned sum = 0;
  for (int i = 0; i < FAULT_KIND_COUNT; i++)
    sum += kinds[i].weight;
  int at = g_rand_int_range (random, 0, (int)sum), kind = 0;
  while (at >= (int)kinds[kind].weight)
    at -= (int)kinds[kind++].weight;
  return (fault_kind_t)kind;
}

void
faults_plan (soak_t *soak, cs_usec_t time)
{
  cs_usec_t at = 0;
  soak->plan = g_array_new (FALSE, FALSE, sizeof (fault_t));
  for (;;)
    {
      at += g_rand_int_range (soak->faults, PAUSE_MIN_MS, PAUSE_MAX_MS)
            * CS_MSEC;
      fault_t fault = {
        .at = at,
        .until = at
                 + g_rand_int_range (soak->faults, LAST_MIN_MS, LAST_MAX_MS)
                       * CS_MSEC,
        .kind = draw_kind (soak->faults),
        .host
        = (unsigned)g_rand_int_range (soak->faults, 0, (int)soak->host_count),
        .mode
        = (proxy_mode_t)g_rand_int_range (soak->faults, 1, PROXY_MODE_COUNT)
      };
      if (fault.kind == FAULT_PEERS && fault.mode >= PROXY_503)
        fault.mode = PROXY_RESET;
      if (at > time)
        break;
      g_array_append_val (soak->plan, fault);
    }
}

void
faults_print (const soak_t *soak)
{
  for (guint i = 0; i < soak->plan->len; i++)
    {
      const fault_t *f = &g_array_index (soak->plan, fault_t, i);
      printf ("# %6lld ms to %6lld ms  %s n%u %s\n",
              (long long)(f->at / CS_MSEC), (long long)(f->until / CS_MSEC),
              kinds[f->kind].name, f->host, proxy_mode_name (f->mode));
    }
}

static void
set_tables (soak_t *soak, proxy_mode_t mode)
{
  for (unsigned i = 0; i < soak->host_count; i++)
    proxy_set (soak->hosts[i].table, mode);
}

static void
kill_host (host_t *host, cs_usec_t back)
{
  if (!host->pid)
    return;
  host_signal (host, SIGKILL);
  host->start_at = back;
}

static void
begin (soak_t *soak, const fault_t *f, cs_usec_t now)
{
  host_t *host = &soak->hosts[f->host];
  cs_usec_t back = now + f->until - f->at;
  switch (f->kind)
    {
    case FAULT_FREEZE:
      host_signal (host, SIGSTOP);
      break;
    case FAULT_KILL:
      kill_host (host, back);
      break;
    case FAULT_KILL_ALL:
      for (unsigned i = 0; i < soak->host_count; i++)
        kill_host (&soak->hosts[i], back);
      break;
    case FAULT_TERM:
      if (host->pid && !host->frozen && !host->stopping)
        {
          host_signal (host, SIGTERM);
          host->start_at = back;
        }
      break;
    case FAULT_HUP:
      if (host->pid && !host->stopping)
        host_signal (host, SIGHUP);
      break;
    case FAULT_PEERS:
      proxy_set (host->peers, f->mode);
      break;
    case FAULT_TABLE:
      proxy_set (host->table, f->mode);
      break;
    case FAULT_TABLE_ALL:
      set_tables (soak, f->mode);
      break;
    case FAULT_SERVER_CRASH:
      host_crash_server (host);
      break;
    case FAULT_SERVER_DRAIN:
      host_drain_server (host);
      break;
    case FAULT_CONFIG:
      faults_write_config (soak);
      break;
    case FAULT_KIND_COUNT:
      break;
    }
}

static void
end (soak_t *soak, const fault_t *f)
{
  host_t *host = &soak->hosts[f->host];
  if (f->kind == FAULT_FREEZE && host->frozen)
    host_signal (host, SIGCONT);
  else if (f->kind == FAULT_PEERS)
    proxy_set (host->peers, PROXY_PASS);
  else if (f->kind == FAULT_TABLE)
    proxy_set (host->table, PROXY_PASS);
  else if (f->kind == FAULT_TABLE_ALL)
    set_tables (soak, PROXY_PASS);
}

void
faults_tick (soak_t *soak, cs_usec_t now)
{
  cs_usec_t since = now - soak->began;
  for (guint i = 0; i < soak->planned; i++)
    {
      fault_t *f = &g_array_index (soak->plan, fault_t, i);
      if (!f->ended && since >= f->until)
        {
          f->ended = true;
          end (soak, f);
        }
    }
  while (soak->planned < soak->plan->len
         && since >= g_array_index (soak->plan, fault_t, soak->planned).at)
    begin (soak, &g_array_index (soak->plan, fault_t, soak->planned++), now);
}

void
faults_end (soak_t *soak)
{
  for (unsigned i = 0; i < soak->host_count; i++)
    {
      host_t *host = &soak->hosts[i];
      proxy_set (host->peers, PROXY_PASS);
      proxy_set (host->table, PROXY_PASS);
      if (host->frozen)
        host_signal (host, SIGCONT);
    }
  soak->planned = soak->plan->len;
  soak->calm = true;
}

/* The configuration.  */

static void
on_written (void *user, cs_http1_message_t *answer)
{
  (void)user, (void)answer;
}

static void
on_not_written (void *user, cs_http1_client_error_t fault, bool partial)
{
  soak_t *soak = user;
  (void)fault, (void)partial;
  soak_broken (soak, "SOAK", "the stand-in's table does not answer");
}

static void
add_route (GString *out, const char *name, const char *kind,
           const char *service)
{
  g_string_append_printf (
      out,
      "%s\"%s\":{\"host\":\"h\",\"prefix\":\"/%s/\",\"kind\":\"%s\","
      "\"timeout\":\"1500ms\",\"targetLatency\":\"500ms\",\"service\":"
      "\"%s\",\"maxAttempts\":3}",
      out->str[out->len - 1] == '{' ? "" : ",", name, name, kind, service);
}

void
faults_write_config (soak_t *soak)
{
  static const cs_http1_client_handler_t handler
      = { .answer_received = on_written, .failed = on_not_written };
  char probe[24];
  struct sockaddr_in at;
  GString *doc = g_string_new (NULL);
  soak->config++;
  g_snprintf (probe, sizeof probe, "c%lld", (long long)soak->config);
  g_string_append_printf (
      doc,
      "{\"version\":\"%08llx\",\"services\":{\"s0\":{\"healthPath\":"
      "\"/health\"},\"s1\":{\"healthPath\":\"/health\"}},\"limits\":{},"
      "\"routes\":{",
      (unsigned long long)soak->config);
  add_route (doc, "s0", "safe", "s0");
  add_route (doc, "u0", "unsafe", "s0");
  add_route (doc, "s1", "safe", "s1");
  add_route (doc, "u1", "unsafe", "s1");
  add_route (doc, probe, "safe", "s0");
  g_string_append (doc, "}}");
  char *value = g_base64_encode ((const guchar *)doc->str, doc->len);
  char *body = g_strdup_printf ("{\"puts\":[{\"table\":\"op\",\"part\":\"\","
                                "\"key\":\"config\",\"value\":\"%s\"}]}",
                                value);
  GString *request = g_string_new (NULL);
  g_string_append_printf (request,
                          "POST /api/rows-tx HTTP/1.1\r\nHost: h\r\n"
                          "Content-Length: %zu\r\n\r\n%s",
                          strlen (body), body);
  uv_ip4_addr ("127.0.0.1", (int)soak->base, &at);
  /* Kept open to the end: few versions are written.  */
  cs_http1_client_t *client
      = cs_http1_client_new (&soak->loop, soak->ctx->clock, &at, 2 * CS_SEC);
  cs_http1_client_send (client, request, false, &handler, soak);
  g_free (body);
  g_free (value);
  g_string_free (doc, TRUE);
}
