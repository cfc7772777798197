#include <signal.h>
#include <stdio.h>
#include <string.h>

#include "soak.h"

/* Time from the begin of one fault to the begin of the next.  */
#define FAULT_INTERVAL_MIN_MS 40
#define FAULT_INTERVAL_MAX_MS 700
/* How long a fault lasts, or a stopped process stays down.  */
#define FAULT_DURATION_MIN_MS 150
#define FAULT_DURATION_MAX_MS 2500
/* From one evacuation to the next, and how long one lasts.  */
#define EVACUATION_INTERVAL_MIN_MS 1500
#define EVACUATION_INTERVAL_MAX_MS 6000
#define EVACUATION_DURATION_MAX_MS 5000
/* From one drill of the table to the next, for how long it is away, from how
   far back its copy is, and how long after its return the operator writes
   again.  */
#define DRILL_INTERVAL_MIN_MS 500
#define DRILL_INTERVAL_MAX_MS 6000
#define DRILL_AWAY_MAX_MS 1000
#define DRILL_BACK_MAX_MS 3000
#define DRILL_REWRITE_MAX_MS 1500

typedef enum
{
  FAULT_FREEZE,   /* SIGSTOP to the sidecar, later SIGCONT.  */
  FAULT_KILL,     /* SIGKILL to the sidecar, later a restart.  */
  FAULT_KILL_ALL, /* The same for the sidecars of all hosts.  */
  FAULT_TERM,     /* SIGTERM to the sidecar, later a restart.  */
  FAULT_HUP,      /* SIGHUP to the sidecar.  */
  /* A mode of the proxy in front of the host's port for other nodes.  */
  FAULT_PEER_PROXY,
  FAULT_TABLE_PROXY, /* A mode of the host's proxy in front of the table.  */
  FAULT_ALL_TABLE_PROXIES, /* The same mode of these proxies of all hosts.  */
  FAULT_SERVER_CRASH,      /* See host_crash_server.  */
  FAULT_SERVER_DRAIN,      /* See host_drain_server.  */
  FAULT_CONFIG,            /* A new version of the configuration.  */
  FAULT_EVACUATE,          /* The host's data centre is evacuated.  */
  FAULT_DRILL,             /* The table comes back from an older copy.  */
  FAULT_KIND_COUNT
} fault_kind_t;

/* The names in the printed plan, and how often each kind is chosen, relative
   to the sum of the weights.  */
static const struct
{
  const char *name;
  unsigned weight;
} fault_kinds[FAULT_KIND_COUNT] = {
  [FAULT_FREEZE] = { "freeze", 3 },
  [FAULT_KILL] = { "kill", 3 },
  [FAULT_KILL_ALL] = { "kill-all", 1 },
  [FAULT_TERM] = { "stop", 3 },
  [FAULT_HUP] = { "hangup", 1 },
  [FAULT_PEER_PROXY] = { "peers", 5 },
  [FAULT_TABLE_PROXY] = { "table", 3 },
  [FAULT_ALL_TABLE_PROXIES] = { "table-all", 2 },
  [FAULT_SERVER_CRASH] = { "server-crash", 3 },
  [FAULT_SERVER_DRAIN] = { "server-drain", 3 },
  [FAULT_CONFIG] = { "config", 4 },
  /* Planned apart, so that the other faults of a seed stay what they were.  */
  [FAULT_EVACUATE] = { "evacuate", 0 },
  [FAULT_DRILL] = { "drill", 0 },
};

typedef struct
{
  cs_usec_t begin, end; /* Since FAULTS_BEGIN_AT of the soak.  */
  fault_kind_t kind;
  unsigned host_index;
  proxy_mode_t mode; /* Of the proxies; other faults ignore it.  */
  unsigned back_ms, rewrite_delay_ms; /* Of a drill.  */
  bool ended;
} fault_t;

static fault_kind_t
choose_kind (GRand *random)
{
  unsigned weight_sum = 0;
  for (int i = 0; i < FAULT_KIND_COUNT; i++)
    weight_sum += fault_kinds[i].weight;
  int remaining = g_rand_int_range (random, 0, (int)weight_sum), kind = 0;
  while (remaining >= (int)fault_kinds[kind].weight)
    remaining -= (int)fault_kinds[kind++].weight;
  return (fault_kind_t)kind;
}

static gint
compare_begins (gconstpointer a, gconstpointer b)
{
  cs_usec_t x = ((const fault_t *)a)->begin, y = ((const fault_t *)b)->begin;
  return (x > y) - (x < y);
}

static void
plan_evacuations (soak_t *soak, cs_usec_t duration)
{
  GRand *random = g_rand_new_with_seed (soak->seed + 0x65766163u);
  cs_usec_t begin = 0;
  for (;;)
    {
      begin += g_rand_int_range (random, EVACUATION_INTERVAL_MIN_MS,
                                 EVACUATION_INTERVAL_MAX_MS)
               * CS_MSEC;
      fault_t fault
          = { .begin = begin,
              .end = begin
                     + g_rand_int_range (random, FAULT_DURATION_MIN_MS,
                                         EVACUATION_DURATION_MAX_MS)
                           * CS_MSEC,
              .kind = FAULT_EVACUATE,
              .host_index = (unsigned)g_rand_int_range (
                  random, 0, (int)soak->host_count) };
      if (begin > duration)
        break;
      g_array_append_val (soak->fault_plan, fault);
    }
  g_rand_free (random);
}

static void
plan_drills (soak_t *soak, cs_usec_t duration)
{
  GRand *random = g_rand_new_with_seed (soak->seed + 0x6472696cu);
  cs_usec_t begin = 0;
  for (;;)
    {
      begin += g_rand_int_range (random, DRILL_INTERVAL_MIN_MS,
                                 DRILL_INTERVAL_MAX_MS)
               * CS_MSEC;
      fault_t fault = {
        .begin = begin,
        .end
        = begin + g_rand_int_range (random, 1, DRILL_AWAY_MAX_MS) * CS_MSEC,
        .kind = FAULT_DRILL,
        .back_ms = (unsigned)g_rand_int_range (random, 1, DRILL_BACK_MAX_MS),
        .rewrite_delay_ms
        = (unsigned)g_rand_int_range (random, 0, DRILL_REWRITE_MAX_MS)
      };
      if (begin > duration)
        break;
      g_array_append_val (soak->fault_plan, fault);
    }
  g_rand_free (random);
}

void
faults_plan (soak_t *soak, cs_usec_t duration)
{
  cs_usec_t begin = 0;
  soak->fault_plan = g_array_new (FALSE, FALSE, sizeof (fault_t));
  for (;;)
    {
      begin += g_rand_int_range (soak->fault_random, FAULT_INTERVAL_MIN_MS,
                                 FAULT_INTERVAL_MAX_MS)
               * CS_MSEC;
      fault_t fault
          = { .begin = begin,
              .end
              = begin
                + g_rand_int_range (soak->fault_random, FAULT_DURATION_MIN_MS,
                                    FAULT_DURATION_MAX_MS)
                      * CS_MSEC,
              .kind = choose_kind (soak->fault_random),
              .host_index = (unsigned)g_rand_int_range (soak->fault_random, 0,
                                                        (int)soak->host_count),
              /* Any mode but PROXY_PASS.  */
              .mode = (proxy_mode_t)g_rand_int_range (soak->fault_random, 1,
                                                      PROXY_MODE_COUNT) };
      /* Connections between nodes get a reset instead of HTTP answers.  */
      if (fault.kind == FAULT_PEER_PROXY && fault.mode >= PROXY_503)
        fault.mode = PROXY_RESET;
      if (begin > duration)
        break;
      g_array_append_val (soak->fault_plan, fault);
    }
  plan_evacuations (soak, duration);
  plan_drills (soak, duration);
  g_array_sort (soak->fault_plan, compare_begins);
}

void
faults_print (const soak_t *soak)
{
  for (guint i = 0; i < soak->fault_plan->len; i++)
    {
      const fault_t *fault = &g_array_index (soak->fault_plan, fault_t, i);
      printf ("# %6lld ms to %6lld ms  %s n%u %s\n",
              (long long)(fault->begin / CS_MSEC),
              (long long)(fault->end / CS_MSEC), fault_kinds[fault->kind].name,
              fault->host_index, proxy_mode_name (fault->mode));
    }
}

/* Set the mode of the proxies of all hosts in front of the table.  */
static void
set_table_proxies (soak_t *soak, proxy_mode_t mode)
{
  for (unsigned i = 0; i < soak->host_count; i++)
    proxy_set_mode (soak->hosts[i].table_proxy, mode);
}

/* Kill the sidecar of HOST, if it runs, and let it restart at RESTART_AT.  */
static void
kill_sidecar (host_t *host, cs_usec_t restart_at)
{
  if (!host->pid)
    return;
  host_signal (host, SIGKILL);
  host->restart_at = restart_at;
}

static void
begin_fault (soak_t *soak, const fault_t *fault, cs_usec_t now)
{
  host_t *host = &soak->hosts[fault->host_index];
  cs_usec_t restart_at = now + fault->end - fault->begin;
  switch (fault->kind)
    {
    case FAULT_FREEZE:
      host_signal (host, SIGSTOP);
      break;
    case FAULT_KILL:
      kill_sidecar (host, restart_at);
      break;
    case FAULT_KILL_ALL:
      for (unsigned i = 0; i < soak->host_count; i++)
        kill_sidecar (&soak->hosts[i], restart_at);
      break;
    case FAULT_TERM:
      if (host->pid && !host->frozen && !host->stopping)
        {
          host_signal (host, SIGTERM);
          host->restart_at = restart_at;
        }
      break;
    case FAULT_HUP:
      if (host->pid && !host->stopping)
        host_signal (host, SIGHUP);
      break;
    case FAULT_PEER_PROXY:
      proxy_set_mode (host->peer_proxy, fault->mode);
      break;
    case FAULT_TABLE_PROXY:
      proxy_set_mode (host->table_proxy, fault->mode);
      break;
    case FAULT_ALL_TABLE_PROXIES:
      set_table_proxies (soak, fault->mode);
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
    case FAULT_EVACUATE:
      faults_evacuate (soak, host_dc (host), false);
      break;
    case FAULT_DRILL:
      operator_drill (soak->operator, fault->back_ms,
                      (unsigned)((fault->end - fault->begin) / CS_MSEC),
                      fault->rewrite_delay_ms);
      break;
    case FAULT_KIND_COUNT:
      break;
    }
}

static void
end_fault (soak_t *soak, const fault_t *fault)
{
  host_t *host = &soak->hosts[fault->host_index];
  if (fault->kind == FAULT_FREEZE && host->frozen)
    host_signal (host, SIGCONT);
  else if (fault->kind == FAULT_PEER_PROXY)
    proxy_set_mode (host->peer_proxy, PROXY_PASS);
  else if (fault->kind == FAULT_TABLE_PROXY)
    proxy_set_mode (host->table_proxy, PROXY_PASS);
  else if (fault->kind == FAULT_ALL_TABLE_PROXIES)
    set_table_proxies (soak, PROXY_PASS);
  else if (fault->kind == FAULT_EVACUATE)
    faults_evacuate (soak, host_dc (host), true);
}

void
faults_tick (soak_t *soak, cs_usec_t now)
{
  cs_usec_t elapsed = now - soak->faults_begin_at;
  for (guint i = 0; i < soak->faults_begun; i++)
    {
      fault_t *fault = &g_array_index (soak->fault_plan, fault_t, i);
      if (!fault->ended && elapsed >= fault->end)
        {
          fault->ended = true;
          end_fault (soak, fault);
        }
    }
  while (soak->faults_begun < soak->fault_plan->len
         && elapsed >= g_array_index (soak->fault_plan, fault_t,
                                      soak->faults_begun)
                           .begin)
    begin_fault (
        soak, &g_array_index (soak->fault_plan, fault_t, soak->faults_begun++),
        now);
}

void
faults_end (soak_t *soak)
{
  for (unsigned i = 0; i < soak->host_count; i++)
    {
      host_t *host = &soak->hosts[i];
      proxy_set_mode (host->peer_proxy, PROXY_PASS);
      proxy_set_mode (host->table_proxy, PROXY_PASS);
      if (host->frozen)
        host_signal (host, SIGCONT);
    }
  for (guint i = 0; i < soak->faults_begun; i++)
    {
      const fault_t *fault = &g_array_index (soak->fault_plan, fault_t, i);
      if (fault->kind == FAULT_EVACUATE && !fault->ended)
        end_fault (soak, fault);
    }
  soak->faults_begun = soak->fault_plan->len;
  soak->faults_over = true;
}

/* The configuration.  */

#define IDLE_ROUTES 300

/* Append a route with the prefix /NAME/ to the JSON object OUT.  */
static void
add_route (GString *out, const char *name, const char *kind,
           const char *service, bool anonymous)
{
  g_string_append_printf (
      out,
      "%s\"%s\":{\"host\":\"h\",\"prefix\":\"/%s/\",\"kind\":\"%s\","
      "\"timeout\":\"1500ms\",\"targetLatency\":\"500ms\",\"service\":"
      "\"%s\",\"maxAttempts\":3,\"anonymous\":%s}",
      out->str[out->len - 1] == '{' ? "" : ",", name, name, kind, service,
      anonymous ? "true" : "false");
}

void
faults_evacuate (soak_t *soak, const char *dc, bool end)
{
  /* The table's stand-in ends long polls for rows that are put only.  */
  char *body = end ? g_strdup_printf (
                   "{\"puts\":[{\"table\":\"op\",\"part\":\"\",\"key\":"
                   "\"other\",\"value\":\"e30=\"}],\"remove\":[{\"table\":"
                   "\"op\",\"part\":\"\",\"key\":\"evacuate/%s\"}]}",
                   dc)
                   : g_strdup_printf (
                       "{\"puts\":[{\"table\":\"op\",\"part\":\"\",\"key\":"
                       "\"evacuate/%s\",\"value\":\"e30=\"}]}",
                       dc);
  operator_write (soak->operator, body, 0);
  g_free (body);
}

void
faults_write_config (soak_t *soak)
{
  char probe_route[24];
  GString *document = g_string_new (NULL);
  soak->config_version++;
  g_snprintf (probe_route, sizeof probe_route, "c%lld",
              (long long)soak->config_version);
  g_string_append_printf (
      document,
      "{\"version\":\"%08llx\",\"services\":{\"s0\":{\"healthPath\":"
      "\"/health\",\"warmupPerS\":%.1f},\"s1\":{\"healthPath\":\"/health\","
      "\"warmupPerS\":%.1f}},\"limits\":{},\"tenants\":{\"shop\":{\"apiKeys\":"
      "[\"key-%lld\",\"key-%lld\"]},\"tight\":{\"apiKeys\":[\"tight-key\"],"
      "\"ratePerS\":%.1f,\"burst\":%.1f}},\"routes\":{",
      (unsigned long long)soak->config_version, WARMUP_PER_S, WARMUP_PER_S,
      (long long)soak->config_version, (long long)soak->config_version - 1,
      TIGHT_PER_S, TIGHT_BURST);
  add_route (document, "s0", "safe", "s0", true);
  add_route (document, "u0", "unsafe", "s0", true);
  add_route (document, "s1", "safe", "s1", false);
  add_route (document, "u1", "unsafe", "s1", false);
  add_route (document, probe_route, "safe", "s0", true);
  /* So that a version takes some time on its way.  */
  for (int i = 0; i < IDLE_ROUTES; i++)
    {
      char idle_route[24];
      g_snprintf (idle_route, sizeof idle_route, "idle%d", i);
      add_route (document, idle_route, "safe", "s0", true);
    }
  g_string_append (document, "}}");
  char *encoded
      = g_base64_encode ((const guchar *)document->str, document->len);
  char *body = g_strdup_printf ("{\"puts\":[{\"table\":\"op\",\"part\":\"\","
                                "\"key\":\"config\",\"value\":\"%s\"}]}",
                                encoded);
  operator_write (soak->operator, body, soak->config_version);
  g_free (body);
  g_free (encoded);
  g_string_free (document, TRUE);
}
