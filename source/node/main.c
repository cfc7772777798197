/* cardamomd, the daemon that runs beside each upstream: its start, settings
   and stop.  */
#include <malloc.h>
#include <signal.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "evidence.h"
#include "node.h"
#include "offers.h"
#include "rcu.h"
#include "slo.h"

#define CLUSTER_KEY_CHARACTERS_MIN 32
#define LARGE_BUFFER_BYTES (256 << 10)
#define DRAIN_POLL_INTERVAL (20 * CS_MSEC)
/* Left to the other nodes to receive the draining state.  */
#define DRAIN_TIME_MIN (1 * CS_SEC)
/* Without requests before the node stops listening.  */
#define DRAIN_QUIET_TIME (200 * CS_MSEC)
/* Left to the last frames, which publish that this node has left.  */
#define FINAL_SEND_TIME (100 * CS_MSEC)

static void
print_help (void)
{
  GString *text = g_string_new (
      "Usage: cardamomd [FLAG]...\n"
      "Serve callers, and the upstream on this host, as one node of a "
      "cardamomswitch mesh.\n\n"
      "  --help, --version, --check (check the settings and exit),\n"
      "  --reference (settings as a Markdown table)\n\n"
      "Every flag may be given as CARDAMOM_NAME in the environment; the flag "
      "takes precedence.\n\n");
  cs_settings_write_help (node_setting_table, node_setting_count, text);
  fputs (text->str, stdout);
  g_string_free (text, TRUE);
}

static void
print_reference (void)
{
  GString *text = g_string_new (NULL);
  cs_settings_write_reference (node_setting_table, node_setting_count, text);
  fputs (text->str, stdout);
  g_string_free (text, TRUE);
}

static void
check_cluster_key (const char *name, const char *key, GString *errors)
{
  if (strlen (key) < CLUSTER_KEY_CHARACTERS_MIN)
    g_string_append_printf (errors,
                            "--%s: has fewer than %d characters; draw a "
                            "longer one at random\n",
                            name, CLUSTER_KEY_CHARACTERS_MIN);
}

static void
check_name (const char *flag, const char *name, GString *errors)
{
  if (!*name || strlen (name) >= NODE_NAME_SIZE || strpbrk (name, " /|,\"\n"))
    g_string_append_printf (errors,
                            "--%s: '%s' must have 1 to %d characters and no "
                            "space, '/', '|', ',' or quote\n",
                            flag, name, NODE_NAME_SIZE - 1);
}

static void
check_plugin (node_t *node, cs_plugin_kind_t kind, const char *name,
              const void **vtable, GString *errors)
{
  if (cs_plugin_find (node->ctx, kind, name, vtable) != CS_OK)
    g_string_append_printf (errors, "--%s: %s\n", cs_plugin_kind_name (kind),
                            cs_error_message (node->ctx));
}

static void
check_seeds (node_t *node, GString *errors)
{
  char **seeds = g_strsplit (node->settings.seeds, ",", -1);
  for (char **seed = seeds; *seed; seed++)
    {
      char *host = NULL;
      unsigned port;
      if (*g_strstrip (*seed)
          && cs_address_parse (node->ctx, *seed, &host, &port) != CS_OK)
        g_string_append_printf (errors, "--seeds: %s\n",
                                cs_error_message (node->ctx));
      g_free (host);
    }
  g_strfreev (seeds);
}

static void
check_dcs (node_t *node, GString *errors)
{
  const node_settings_t *settings = &node->settings;
  node->mesh_dcs
      = g_strsplit (*settings->dcs ? settings->dcs : settings->dc, ",", -1);
  for (char **dc = node->mesh_dcs; *dc; dc++)
    g_strstrip (*dc);
  if (!g_strv_contains ((const char *const *)node->mesh_dcs, settings->dc))
    g_string_append_printf (errors,
                            "--dcs: lacks this node's data centre '%s'; name "
                            "every data centre of the mesh\n",
                            settings->dc);
}

static cs_memory_budget_t
memory_budget (const node_settings_t *settings)
{
  return (cs_memory_budget_t){ .limit = (settings->memory_mb << 20) / 2 };
}

static void
check_memory (const node_settings_t *settings, GString *errors)
{
  cs_memory_budget_t budget = memory_budget (settings);
  if (!cs_memory_budget_may_fit (&budget, settings->body_max * RESULT_COPIES))
    g_string_append_printf (
        errors,
        "--body-max: an answer of %lld bytes is held %d "
        "times and doesn't fit in half of --memory-mb=%lld;"
        " lower the one or raise the other\n",
        (long long)settings->body_max, RESULT_COPIES,
        (long long)settings->memory_mb);
}

/* Checks beyond those of cs_settings_load.  They also set the plug-ins and
   data centres of NODE.  */
static void
check_settings (node_t *node, GString *errors)
{
  const node_settings_t *settings = &node->settings;
  const void *unused_vtable;
  check_name ("node", settings->node, errors);
  check_name ("dc", settings->dc, errors);
  check_name ("region", settings->region, errors);
  check_cluster_key ("cluster-key", settings->cluster_key, errors);
  if (*settings->cluster_key_old)
    check_cluster_key ("cluster-key-old", settings->cluster_key_old, errors);
  check_plugin (node, CS_PLUGIN_BALANCER, settings->balancer,
                (const void **)&node->balancer, errors);
  check_plugin (node, CS_PLUGIN_JUDGE, settings->judge,
                (const void **)&node->judge, errors);
  check_plugin (node, CS_PLUGIN_LIMITER, settings->limiter, &unused_vtable,
                errors);
  check_plugin (node, CS_PLUGIN_PLATFORM, settings->platform, &unused_vtable,
                errors);
  if (cs_log_level_parse (settings->log_level) < 0)
    g_string_append_printf (errors,
                            "--log-level: '%s' is none of err, warning, "
                            "notice, info\n",
                            settings->log_level);
  check_memory (settings, errors);
  check_seeds (node, errors);
  check_dcs (node, errors);
}

static void
set_node_state (control_t *control, void *arg)
{
  cs_members_set_state (control_ctx (control), control_members (control),
                        *(const cs_node_state_t *)arg);
}

static void
change_state (node_t *node, cs_node_state_t state)
{
  control_run_sync (node->control, set_node_state, &state);
}

static void
sleep_for (cs_usec_t time)
{
  struct timespec duration
      = { .tv_sec = time / CS_SEC, .tv_nsec = (time % CS_SEC) * 1000 };
  nanosleep (&duration, NULL);
}

/* Publish that this node is draining, wait until no more requests come, then
   stop listening, finish the requests in flight and leave.  */
static void
drain (node_t *node)
{
  cs_usec_t started_at = cs_now (node->ctx), quiet_since = started_at;
  cs_usec_t time_limit = node->settings.drain_ms * CS_MSEC;
  atomic_store (&node->draining, true);
  change_state (node, CS_NODE_DRAINING);
  local_upstream_close (node->local_upstream);
  cs_log (CS_LOG_NOTICE, "draining", "limit_ms=%lld",
          (long long)node->settings.drain_ms);
  for (;;)
    {
      cs_usec_t now = cs_now (node->ctx);
      if (atomic_load (&node->active_calls) > 0
          || !offers_is_empty (node->offers)
          || !local_upstream_is_idle (node->local_upstream))
        quiet_since = now;
      if (now - started_at > time_limit
          || (now - started_at > DRAIN_TIME_MIN
              && now - quiet_since > DRAIN_QUIET_TIME))
        break;
      sleep_for (DRAIN_POLL_INTERVAL);
    }
  cs_httpd_stop_listening (node->caller_server);
  while (atomic_load (&node->active_calls) > 0
         && cs_now (node->ctx) - started_at < time_limit)
    sleep_for (DRAIN_POLL_INTERVAL);
  change_state (node, CS_NODE_LEFT);
  sleep_for (FINAL_SEND_TIME);
}

static void *
run_drain (void *arg)
{
  drain (arg);
  kill (getpid (), SIGUSR2); /* Ends wait_for_stop.  */
  return NULL;
}

/* Wait for SIGTERM or SIGINT, then drain.  A second one ends the process at
   once.  */
static void
wait_for_stop (node_t *node, const sigset_t *signals)
{
  int signal_number = 0;
  bool draining = false;
  pthread_t drain_thread = 0;
  for (;;)
    {
      sigwait (signals, &signal_number);
      if (signal_number == SIGHUP)
        cs_log (CS_LOG_NOTICE, "hangup",
                "action=none why=\"settings are read at start; restart the "
                "node to change them\"");
      else if (signal_number == SIGUSR2 && draining)
        break;
      else if (signal_number != SIGUSR2 && draining)
        {
          cs_log (CS_LOG_WARNING, "stopped-at-once", "signal=%d",
                  signal_number);
          _exit (1);
        }
      else if (signal_number != SIGUSR2)
        {
          draining = true;
          drain_thread = node_thread_create (run_drain, node);
        }
    }
  pthread_join (drain_thread, NULL);
}

/* FALSE, with an error message in NODE's context, when a port cannot be
   bound.  */
static bool
start_components (node_t *node)
{
  node->memory = memory_budget (&node->settings);
  node->request_claims.budget = node->read_claims.budget
      = node->result_claims.budget = &node->memory;
  node->calls = calls_new (node);
  node->offers = offers_new (node);
  node->slo = slo_new (node);
  node->evidence = evidence_new ();
  node->local_upstream = local_upstream_start (node);
  node->platform_thread = platform_thread_start (node);
  node->control = control_new (node);
  node->peers = peers_start (node);
  if (!node->peers)
    return false;
  control_run (node->control);
  node->admin_server = admin_server_start (node);
  node->caller_server = node->admin_server ? caller_server_start (node) : NULL;
  return node->caller_server != NULL;
}

static void
stop_components (node_t *node)
{
  cs_httpd_stop (node->caller_server);
  cs_httpd_stop (node->admin_server);
  control_stop (node->control);
  peers_stop (node->peers);
  local_upstream_stop (node->local_upstream);
  platform_thread_stop (node->platform_thread);
  peers_free (node->peers);
  control_free (node->control);
  evidence_drop (node->evidence);
  slo_drop (node->slo);
  offers_drop (node->offers);
  calls_drop (node->calls);
}

static int
run_node (node_t *node)
{
  const node_settings_t *settings = &node->settings;
  sigset_t signals;
  sigemptyset (&signals);
  sigaddset (&signals, SIGTERM);
  sigaddset (&signals, SIGINT);
  sigaddset (&signals, SIGHUP);
  sigaddset (&signals, SIGUSR2);
  pthread_sigmask (SIG_BLOCK, &signals, NULL);
  signal (SIGPIPE, SIG_IGN);
  cs_log_init ("cardamomd", settings->node,
               (cs_log_level_t)cs_log_level_parse (settings->log_level));
  atomic_store (&node->region_link_tokens, settings->link_bytes_per_s);
  node_thread_ctx (node);
  if (!start_components (node))
    {
      fprintf (stderr, "cardamomd: %s\n", cs_error_message (node->ctx));
      _exit (1);
    }
  cs_log (CS_LOG_NOTICE, "started",
          "version=" CS_VERSION " dc=%s region=%s port=%lld peer_port=%lld "
          "admin_port=%lld",
          settings->dc, settings->region, (long long)settings->port,
          (long long)settings->peer_port, (long long)settings->admin_port);
  wait_for_stop (node, &signals);
  stop_components (node);
  cs_log (CS_LOG_NOTICE, "stopped", "calls=%llu",
          (unsigned long long)cs_counter_read (CS_C_CALLS));
  return 0;
}

int
main (int argc, char **argv)
{
  node_t node = { 0 };
  cs_settings_action_t action;
  GString *errors = g_string_new (NULL);
  int exit_status = 0;
  if (sodium_init () < 0)
    return 1;
  /* Large buffers go back to the system when they are freed.  */
  mallopt (M_MMAP_THRESHOLD, LARGE_BUFFER_BYTES);
  mallopt (M_TRIM_THRESHOLD, 4 * LARGE_BUFFER_BYTES);
  node.ctx = cs_ctx_new (NULL, cs_clock_system (), randombytes_random ());
  cs_settings_load (node.ctx, node_setting_table, node_setting_count,
                    &node.settings, argc, argv, &action, NULL, errors);
  if (!errors->len && (action == CS_ACTION_RUN || action == CS_ACTION_CHECK))
    check_settings (&node, errors);
  if (errors->len)
    {
      fputs (errors->str, stderr);
      exit_status = 2;
    }
  else if (action == CS_ACTION_HELP)
    print_help ();
  else if (action == CS_ACTION_REFERENCE)
    print_reference ();
  else if (action == CS_ACTION_VERSION)
    puts ("cardamomd " CS_VERSION);
  else if (action == CS_ACTION_CHECK)
    puts ("the settings are good");
  else
    exit_status = run_node (&node);
  g_string_free (errors, TRUE);
  cs_settings_clear (node_setting_table, node_setting_count, &node.settings);
  g_strfreev (node.mesh_dcs);
  cs_ctx_drop (node.ctx);
  return exit_status;
}
