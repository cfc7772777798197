/* soak --seed=N [--seconds=S] [--hosts=H] [--base=PORT] --bin=DIR --dir=DIR

   Prints the plan of faults and the violations as TAP comments, then one TAP
   result for the seed.  Exits with 0 if no guarantee was violated.  */
#include <fcntl.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "cardamom/settings.h"
#include "soak.h"

#define TICK_MS 25
#define REQUESTS_PER_TICK 1
#define PROBE_INTERVAL_TICKS 10 /* Between two probes of a host.  */
#define OTHER_WRITE_TICKS 4     /* Between two writes of another user.  */
/* From the start of the nodes to the first fault.  */
#define FAULTS_DELAY (4 * CS_SEC)
/* After the faults, the share of served requests is computed over such
   windows.  The nodes have recovered when it reaches RECOVERED_PERCENT.  */
#define RECOVERY_WINDOW (2 * CS_SEC)
#define RECOVERED_PERCENT 90
/* Far above the guaranteed 15 s.  */
#define RECOVERY_TIMEOUT (40 * CS_SEC)
/* Far above the grace of 6 s that a node has after SIGTERM.  */
#define STOP_TIMEOUT (20 * CS_SEC)

typedef struct
{
  int64_t seed, seconds, hosts, base;
  char *bin, *dir;
} settings_t;

#define AT(member) .offset = offsetof (settings_t, member)
static const cs_setting_t setting_table[] = {
  { .name = "seed",
    .kind = CS_SETTING_NUMBER,
    AT (seed),
    .default_value = "1",
    .min = 0,
    .max = INT32_MAX,
    .help = "seed of the random faults and load" },
  { .name = "seconds",
    .kind = CS_SETTING_NUMBER,
    AT (seconds),
    .default_value = "10",
    .min = 1,
    .max = 3600,
    .unit = "seconds",
    .help = "time during which faults begin" },
  { .name = "hosts",
    .kind = CS_SETTING_NUMBER,
    AT (hosts),
    .default_value = "5",
    .min = 2,
    .max = HOSTS_MAX,
    .help = "number of nodes, each with a backend server" },
  { .name = "base",
    .kind = CS_SETTING_NUMBER,
    AT (base),
    .default_value = "24000",
    .min = 1024,
    .max = 60000,
    .help = "first of the ports that are used" },
  { .name = "bin",
    .kind = CS_SETTING_TEXT,
    AT (bin),
    .help = "folder of the programs" },
  { .name = "dir",
    .kind = CS_SETTING_TEXT,
    AT (dir),
    .help = "folder for the nodes' settings and logs" },
};

void
soak_record_violation (soak_t *soak, const char *guarantee, const char *format,
                       ...)
{
  va_list args;
  va_start (args, format);
  char *text = g_strdup_vprintf (format, args);
  va_end (args);
  soak->violations++;
  printf ("# broken: %s at %lld ms: %s\n", guarantee,
          (long long)((soak_now (soak) - soak->faults_begin_at) / CS_MSEC),
          text);
  fflush (stdout);
  g_free (text);
}

static void
kill_processes (soak_t *soak)
{
  for (unsigned i = 0; i < soak->host_count; i++)
    if (soak->hosts[i].pid)
      kill (soak->hosts[i].pid, SIGKILL);
  if (soak->table_pid)
    kill (soak->table_pid, SIGTERM);
}

void
soak_fail (soak_t *soak, const char *format, ...)
{
  va_list args;
  va_start (args, format);
  char *text = g_strdup_vprintf (format, args);
  va_end (args);
  kill_processes (soak);
  printf ("not ok 1 - soak seed %u: %lld ms: %s\n", soak->seed,
          (long long)((soak_now (soak) - soak->faults_begin_at) / CS_MSEC),
          text);
  fflush (stdout);
  exit (1);
}

static soak_t soak;

/* Write the command of process PID to TEXT, of SIZE bytes.  */
static void
read_command (pid_t pid, char *text, size_t size)
{
  char path[32];
  g_snprintf (path, sizeof path, "/proc/%d/cmdline", (int)pid);
  int fd = open (path, O_RDONLY);
  ssize_t len = fd < 0 ? 0 : read (fd, text, size - 1);
  text[MAX (len, 0)] = '\0';
  for (ssize_t i = 0; i < len; i++)
    if (!g_ascii_isprint (text[i]))
      text[i] = ' ';
  if (fd >= 0)
    close (fd);
}

/* A signal ends this program: say so, with the process that sent it, and end
   the nodes.  */
static void
on_fatal_signal (int signal_number, siginfo_t *info, void *context)
{
  char command[160] = "", line[320];
  bool sent = info->si_code <= 0;
  (void)context;
  if (sent)
    read_command (info->si_pid, command, sizeof command);
  int len = g_snprintf (line, sizeof line,
                        "not ok 1 - soak seed %u: ended by signal %d, code "
                        "%d, of process %d: %s\n",
                        soak.seed, signal_number, info->si_code,
                        sent ? (int)info->si_pid : 0, command);
  if (write (STDOUT_FILENO, line, (size_t)len) != len)
    _exit (3);
  kill_processes (&soak);
  signal (signal_number, SIG_DFL);
  raise (signal_number);
}

static void
catch_fatal_signals (void)
{
  static const int signals[] = { SIGTERM, SIGINT, SIGHUP, SIGQUIT, SIGABRT,
                                 SIGSEGV, SIGBUS, SIGFPE, SIGILL };
  struct sigaction action
      = { .sa_sigaction = on_fatal_signal, .sa_flags = SA_SIGINFO };
  for (size_t i = 0; i < G_N_ELEMENTS (signals); i++)
    sigaction (signals[i], &action, NULL);
}

static uv_timer_t ticker;
static unsigned tick_count;
static cs_usec_t window_begin_at; /* Of the recovery window.  */
static cs_usec_t stopping_since;  /* 0: the nodes are not being stopped.  */
static cs_usec_t faults_duration; /* Faults begin during this time.  */
static cs_usec_t calm_evacuation_begin_at; /* 0: not begun, or over.  */
/* From the last fault to the calm evacuation: nodes start again meanwhile. */
#define CALM_EVACUATION_DELAY (4 * CS_SEC)

static bool
newest_config_active_everywhere (void)
{
  for (unsigned i = 0; i < soak.host_count; i++)
    if (soak.hosts[i].active_config_version != soak.config_version)
      return false;
  return true;
}

/* Whether a server is draining.  The soak goes on until it has stopped, so
   that requests that arrive after the drain are detected.  */
static bool
any_draining (void)
{
  for (unsigned i = 0; i < soak.host_count; i++)
    if (soak.hosts[i].draining)
      return true;
  return false;
}

static bool
any_process_running (void)
{
  for (unsigned i = 0; i < soak.host_count; i++)
    if (soak.hosts[i].pid)
      return true;
  return false;
}

static void
stop_all (cs_usec_t now)
{
  stopping_since = now;
  for (unsigned i = 0; i < soak.host_count; i++)
    host_signal (&soak.hosts[i], SIGTERM);
}

static void
report_and_exit (void)
{
  kill_processes (&soak);
  printf ("%s 1 - soak seed %u: %u faults, asked %u, served %u, refused %u, "
          "failed %u, %u broken\n",
          soak.violations ? "not ok" : "ok", soak.seed, soak.fault_plan->len,
          soak.sent, soak.served, soak.refused, soak.failed, soak.violations);
  fflush (stdout);
  exit (soak.violations ? 1 : 0);
}

/* At the end of each recovery window, stop the nodes if they have recovered
   from the faults, or if RECOVERY_TIMEOUT has passed, which is a violation. */
static void
check_recovery (cs_usec_t now)
{
  if (now - window_begin_at < RECOVERY_WINDOW)
    return;
  bool recovered
      = soak.window_sent
        && soak.window_served * 100 >= soak.window_sent * RECOVERED_PERCENT
        && newest_config_active_everywhere () && !any_draining ();
  window_begin_at = now;
  soak.window_sent = soak.window_served = 0;
  if (recovered)
    stop_all (now);
  else if (now - soak.faults_begin_at > faults_duration + RECOVERY_TIMEOUT)
    {
      soak_record_violation (
          &soak, newest_config_active_everywhere () ? "RECOVER" : "CONFIG",
          "not recovered %lld s after the last fault",
          (long long)(RECOVERY_TIMEOUT / CS_SEC));
      stop_all (now);
    }
}

/* After the calm evacuation so many versions of the configuration come, one
   each interval; amid them, the table comes back from an older copy.  The last
   version is in force at each node within CONFIG_APPLY_MAX of its
   acknowledgement, unless the node was disturbed within CONTACT before.  */
#define CALM_VERSIONS 8
#define CALM_VERSIONS_BEFORE_DRILL 5
#define CALM_DRILL_BACK_MS 2000
#define CALM_DRILL_AWAY_MS 300
#define CALM_DRILL_REWRITE_MS 500
#define CALM_VERSION_INTERVAL (150 * CS_MSEC)
#define CONFIG_APPLY_MAX (4 * CS_SEC)
#define CONTACT (4 * CS_SEC)
/* A probe of each node is sent and answered in this time.  */
#define PROBE_MARGIN (500 * CS_MSEC)

static bool calm_storm;                   /* It is going on.  */
static unsigned calm_versions;            /* Written so far.  */
static cs_usec_t calm_version_written_at; /* The last one.  */

static void
run_calm_storm (cs_usec_t now)
{
  cs_usec_t since = now - calm_version_written_at;
  if (calm_versions < CALM_VERSIONS && since >= CALM_VERSION_INTERVAL)
    {
      faults_write_config (&soak);
      calm_versions++;
      calm_version_written_at = now;
      if (calm_versions == CALM_VERSIONS_BEFORE_DRILL)
        operator_drill (soak.operator, CALM_DRILL_BACK_MS, CALM_DRILL_AWAY_MS,
                        CALM_DRILL_REWRITE_MS);
    }
  cs_usec_t acknowledged_at = operator_config_time (soak.operator);
  since = now - acknowledged_at;
  if (calm_versions != CALM_VERSIONS || !acknowledged_at
      || since < CONFIG_APPLY_MAX + PROBE_MARGIN)
    return;
  calm_storm = false;
  window_begin_at = now;
  for (unsigned i = 0; i < soak.host_count; i++)
    {
      const host_t *host = &soak.hosts[i];
      if (host->pid && !host->stopping
          && now - host->last_disruption_at >= since + CONTACT
          && host->active_config_version != soak.config_version)
        soak_record_violation (
            &soak, "CONFIG", "%s: version %lld is not in force after %lld ms",
            host->name, (long long)soak.config_version,
            (long long)(since / CS_MSEC));
    }
}

/* After the faults, in calm, evacuate a data centre for a while, and end that
   before the recovery is checked.  */
static void
run_calm_evacuation (cs_usec_t now)
{
  cs_usec_t elapsed = now - calm_evacuation_begin_at;
  if (!soak.evacuated_at && elapsed >= CALM_EVACUATION_DELAY)
    {
      faults_evacuate (&soak, soak.evacuated_dc, false);
      soak.evacuated_at = now;
    }
  else if (soak.evacuated_at && now - soak.evacuated_at >= CALM_EVACUATION)
    {
      faults_evacuate (&soak, soak.evacuated_dc, true);
      soak.evacuated_at = calm_evacuation_begin_at = 0;
      calm_storm = true;
    }
}

static void
on_tick (uv_timer_t *timer)
{
  cs_usec_t now = soak_now (&soak);
  (void)timer;
  tick_count++;
  if (stopping_since)
    {
      if (!any_process_running ())
        report_and_exit ();
      if (now - stopping_since > STOP_TIMEOUT)
        {
          soak_record_violation (&soak, "STOP",
                                 "a node has not exited after SIGTERM");
          report_and_exit ();
        }
      return;
    }
  if (!soak.faults_over && now - soak.faults_begin_at >= faults_duration)
    {
      faults_end (&soak);
      calm_evacuation_begin_at = now;
      soak.evacuated_dc = host_dc (&soak.hosts[soak.seed % 2]);
    }
  if (calm_evacuation_begin_at)
    run_calm_evacuation (now);
  if (calm_storm)
    run_calm_storm (now);
  if (!soak.faults_over && now >= soak.faults_begin_at)
    faults_tick (&soak, now);
  for (unsigned i = 0; i < soak.host_count; i++)
    {
      /* Every 12 ticks, and not all hosts in the same one.  */
      if (tick_count % 12 == i % 12)
        host_tick (&soak.hosts[i]);
      if (tick_count % PROBE_INTERVAL_TICKS == i % PROBE_INTERVAL_TICKS)
        caller_send_probe (&soak, &soak.hosts[i]);
    }
  for (int i = 0; i < REQUESTS_PER_TICK; i++)
    caller_send_request (&soak);
  if (tick_count % OTHER_WRITE_TICKS == 0)
    operator_write_for_another (soak.operator);
  if (soak.faults_over && !calm_evacuation_begin_at && !calm_storm)
    check_recovery (now);
}

static void
on_table_exit (uv_process_t *process, int64_t exit_status, int signal_number)
{
  (void)process;
  soak_fail (&soak, "the table's stand-in has ended with %lld, signal %d",
             (long long)exit_status, signal_number);
}

static void
start_table (void)
{
  static uv_process_t process;
  char *program = g_strdup_printf ("%s/standin-rows", soak.program_dir);
  char *port = g_strdup_printf ("--port=%u", soak.base_port);
  char *args[] = { program, port, NULL };
  uv_process_options_t options
      = { .file = program, .args = args, .exit_cb = on_table_exit };
  if (uv_spawn (&soak.loop, &process, &options) != 0)
    soak_fail (&soak, "%s cannot be started", program);
  soak.table_pid = process.pid;
  g_free (program);
  g_free (port);
  g_usleep (200000); /* Time for it to listen.  */
}

int
main (int argc, char **argv)
{
  settings_t settings = { 0 };
  cs_settings_action_t action;
  GString *errors = g_string_new (NULL);
  signal (SIGPIPE, SIG_IGN);
  setvbuf (stdout, NULL, _IOLBF, 0);
  soak.ctx = cs_ctx_new (NULL, cs_clock_system (), 1);
  cs_settings_load (soak.ctx, setting_table, G_N_ELEMENTS (setting_table),
                    &settings, argc, argv, &action, NULL, errors);
  if (errors->len)
    {
      fputs (errors->str, stderr);
      return 2;
    }
  catch_fatal_signals ();
  soak.seed = (guint32)settings.seed;
  soak.base_port = (unsigned)settings.base;
  soak.host_count = (unsigned)settings.hosts;
  soak.program_dir = settings.bin;
  soak.work_dir = settings.dir;
  soak.fault_random = g_rand_new_with_seed (soak.seed);
  soak.load_random = g_rand_new_with_seed (~soak.seed);
  soak.attempts
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  uv_loop_init (&soak.loop);
  faults_duration = settings.seconds * CS_SEC;
  faults_plan (&soak, faults_duration);
  faults_print (&soak);
  start_table ();
  soak.faults_begin_at = soak_now (&soak) + FAULTS_DELAY;
  soak.operator= operator_new (&soak);
  faults_write_config (&soak);
  for (unsigned i = 0; i < soak.host_count; i++)
    {
      host_init (&soak, i);
      host_start (&soak.hosts[i], true);
    }
  uv_timer_init (&soak.loop, &ticker);
  uv_timer_start (&ticker, on_tick, TICK_MS, TICK_MS);
  uv_run (&soak.loop, UV_RUN_DEFAULT);
  soak_fail (&soak, "its loop has ended");
}
