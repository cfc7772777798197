/* cardamomd: the process beside each upstream.  */
#include <signal.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "evidence.h"
#include "node.h"
#include "rcu.h"
#include "slo.h"

#define KEY_CHARACTERS_MIN 32
#define DRAIN_STEP (20 * CS_MSEC)
#define DRAIN_MIN (1 * CS_SEC)      /* For the news to reach every node.  */
#define DRAIN_QUIET (200 * CS_MSEC) /* Without requests before leaving.  */
#define LEAVE_WAIT (100 * CS_MSEC)  /* For the last frames to be sent.  */

static void
print_help (void)
{
  GString *text = g_string_new (
      "Usage: cardamomd [FLAG]...\n"
      "Serve callers, and the upstream on this host, as one node of a "
      "cardamomswitch mesh.\n\n"
      "  --help, --version, --check (check the settings and stop),\n"
      "  --reference (settings as a Markdown table)\n\n"
      "Every flag may be given as CARDAMOM_NAME in the environment; the flag "
      "wins.\n\n");
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
check_key (const char *name, const char *key, GString *errors)
{
  if (strlen (key) < KEY_CHARACTERS_MIN)
    g_string_append_printf (errors,
                            "--%s: has fewer than %d characters; draw a "
                            "longer one at random\n",
                            name, KEY_CHARACTERS_MIN);
}

static void
check_name (const char *flag, const char *name, GString *errors)
{
  if (!*name || strlen (name) >= NODE_NAME_MAX || strpbrk (name, " /|,\"\n"))
    g_string_append_printf (errors,
                            "--%s: '%s' must have 1 to %d characters and no "
                            "space, '/', '|', ',' or quote\n",
                            flag, name, NODE_NAME_MAX - 1);
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
  const node_settings_t *s = &node->settings;
  node->home_dcs = g_strsplit (*s->dcs ? s->dcs : s->dc, ",", -1);
  for (char **dc = node->home_dcs; *dc; dc++)
    g_strstrip (*dc);
  if (!g_strv_contains ((const char *const *)node->home_dcs, s->dc))
    g_string_append_printf (errors,
                            "--dcs: lacks this node's data centre '%s'; name "
                            "every data centre of the mesh\n",
                            s->dc);
}

/* What cannot be checked setting by setting.  */
static void
check_settings (node_t *node, GString *errors)
{
  const node_settings_t *s = &node->settings;
  const void *unused;
  check_name ("node", s->node, errors);
  check_name ("dc", s->dc, errors);
  check_name ("region", s->region, errors);
  check_key ("cluster-key", s->cluster_key, errors);
  if (*s->cluster_key_old)
    check_key ("cluster-key-old", s->cluster_key_old, errors);
  check_plugin (node, CS_PLUGIN_BALANCER, s->balancer,
                (const void **)&node->balancer, errors);
  check_plugin (node, CS_PLUGIN_JUDGE, s->judge, (const void **)&node->judge,
                errors);
  check_plugin (node, CS_PLUGIN_LIMITER, s->limiter, &unused, errors);
  check_plugin (node, CS_PLUGIN_PLATFORM, s->platform, &unused, errors);
  if (cs_log_level_parse (s->log_level) < 0)
    g_string_append_printf (errors,
                            "--log-level: '%s' is none of err, warning, "
                            "notice, info\n",
                            s->log_level);
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
  control_call (node->control, set_node_state, &state);
}

static void
pause_for (cs_usec_t time)
{
  struct timespec ts
      = { .tv_sec = time / CS_SEC, .tv_nsec = (time % CS_SEC) * 1000 };
  nanosleep (&ts, NULL);
}

/* Let requests in flight end: the news first, then quiet, then the end.  */
static void
drain (node_t *node)
{
  cs_usec_t started = cs_now (node->ctx), quiet_since = started;
  cs_usec_t limit = node->settings.drain_ms * CS_MSEC;
  atomic_store (&node->draining, true);
  change_state (node, CS_NODE_DRAINING);
  serve_close (node->serve);
  cs_log (CS_LOG_NOTICE, "draining", "limit_ms=%lld",
          (long long)node->settings.drain_ms);
  for (;;)
    {
      cs_usec_t now = cs_now (node->ctx);
      if (atomic_load (&node->fronting) > 0 || !serve_idle (node->serve))
        quiet_since = now;
      if (now - started > limit
          || (now - started > DRAIN_MIN && now - quiet_since > DRAIN_QUIET))
        break;
      pause_for (DRAIN_STEP);
    }
  cs_httpd_stop_listening (node->front);
  while (atomic_load (&node->fronting) > 0
         && cs_now (node->ctx) - started < limit)
    pause_for (DRAIN_STEP);
  change_state (node, CS_NODE_LEFT);
  pause_for (LEAVE_WAIT);
}

/* Wait for SIGTERM or SIGINT, drain, and on a second one stop at once.  */
static void *
run_drain (void *arg)
{
  drain (arg);
  kill (getpid (), SIGUSR2);
  return NULL;
}

static void
wait_for_stop (node_t *node, const sigset_t *set)
{
  int signal = 0;
  bool draining = false;
  pthread_t thread = 0;
  for (;;)
    {
      sigwait (set, &signal);
      if (signal == SIGHUP)
        cs_log (CS_LOG_NOTICE, "hangup",
                "action=none why=\"settings are read at start; restart the "
                "node to change them\"");
      else if (signal == SIGUSR2 && draining)
        break;
      else if (signal != SIGUSR2 && draining)
        {
          cs_log (CS_LOG_WARNING, "stopped-at-once", "signal=%d", signal);
          _exit (1);
        }
      else if (signal != SIGUSR2)
        {
          draining = true;
          thread = node_thread (run_drain, node);
        }
    }
  pthread_join (thread, NULL);
}

static bool
start_parts (node_t *node)
{
  node->calls = calls_new (node);
  node->slo = slo_new (node);
  node->evidence = evidence_new ();
  node->serve = serve_start (node);
  node->store = store_start (node);
  node->control = control_start (node);
  node->peers = peers_start (node);
  if (!node->peers)
    return false;
  control_run (node->control);
  node->admin = admin_start (node);
  node->front = node->admin ? front_start (node) : NULL;
  return node->front != NULL;
}

static void
stop_parts (node_t *node)
{
  cs_httpd_stop (node->front);
  cs_httpd_stop (node->admin);
  control_stop (node->control);
  peers_stop (node->peers);
  serve_stop (node->serve);
  store_stop (node->store);
  peers_free (node->peers);
  control_free (node->control);
  evidence_drop (node->evidence);
  slo_drop (node->slo);
  calls_drop (node->calls);
}

static int
run_node (node_t *node)
{
  const node_settings_t *s = &node->settings;
  sigset_t set;
  sigemptyset (&set);
  sigaddset (&set, SIGTERM);
  sigaddset (&set, SIGINT);
  sigaddset (&set, SIGHUP);
  sigaddset (&set, SIGUSR2);
  pthread_sigmask (SIG_BLOCK, &set, NULL);
  signal (SIGPIPE, SIG_IGN);
  cs_log_init ("cardamomd", s->node,
               (cs_log_level_t)cs_log_level_parse (s->log_level));
  atomic_store (&node->link_tokens, s->link_bytes_per_s);
  node_thread_ctx (node);
  if (!start_parts (node))
    {
      fprintf (stderr, "cardamomd: %s\n", cs_error_message (node->ctx));
      _exit (1);
    }
  cs_log (CS_LOG_NOTICE, "started",
          "version=" CS_VERSION " dc=%s region=%s port=%lld peer_port=%lld "
          "admin_port=%lld",
          s->dc, s->region, (long long)s->port, (long long)s->peer_port,
          (long long)s->admin_port);
  wait_for_stop (node, &set);
  stop_parts (node);
  cs_log (CS_LOG_NOTICE, "stopped", "calls=%llu",
          (unsigned long long)cs_counter_read (CS_C_CALLS));
  return 0;
}

int
main (int argc, char **argv)
{
  node_t node = { 0 };
  cs_settings_action_t run;
  GString *errors = g_string_new (NULL);
  int code = 0;
  if (sodium_init () < 0)
    return 1;
  node.ctx = cs_ctx_new (NULL, cs_clock_system (), randombytes_random ());
  cs_settings_load (node.ctx, node_setting_table, node_setting_count,
                    &node.settings, argc, argv, &run, NULL, errors);
  if (!errors->len && (run == CS_ACTION_RUN || run == CS_ACTION_CHECK))
    check_settings (&node, errors);
  if (errors->len)
    {
      fputs (errors->str, stderr);
      code = 2;
    }
  else if (run == CS_ACTION_HELP)
    print_help ();
  else if (run == CS_ACTION_REFERENCE)
    print_reference ();
  else if (run == CS_ACTION_VERSION)
    puts ("cardamomd " CS_VERSION);
  else if (run == CS_ACTION_CHECK)
    puts ("the settings are good");
  else
    code = run_node (&node);
  g_string_free (errors, TRUE);
  cs_settings_clear (node_setting_table, node_setting_count, &node.settings);
  g_strfreev (node.home_dcs);
  cs_ctx_drop (node.ctx);
  return code;
}
