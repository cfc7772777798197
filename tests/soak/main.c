/* soak --seed=N [--seconds=S] [--hosts=H] [--base=PORT] --bin=DIR --dir=DIR

   Ends with one line of TAP for the seed, and with 0 when no promise was
   broken.  */
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "cardamom/settings.h"
#include "soak.h"

#define TICK_MS 25
#define ASK_EACH 1            /* Requests in a tick.  */
#define PROBE_EVERY 10        /* Ticks.  */
#define START (4 * CS_SEC)    /* Before the first fault.  */
#define WINDOW (2 * CS_SEC)   /* Over which the calm is judged.  */
#define WELL_PERCENT 90       /* Served in such a window: all is well.  */
#define RECOVER (40 * CS_SEC) /* Far above the 15 s that are promised.  */
#define STOP (20 * CS_SEC)    /* Far above the grace of 6 s.  */

typedef struct
{
  int64_t seed, seconds, hosts, base;
  char *bin, *dir;
} settings_t;

#define AT(member) .offset = offsetof (settings_t, member)
static const cs_setting_t table[] = {
  { .name = "seed",
    .kind = CS_SETTING_NUMBER,
    AT (seed),
    .default_value = "1",
    .min = 0,
    .max = INT32_MAX,
    .help = "of faults and load" },
  { .name = "seconds",
    .kind = CS_SETTING_NUMBER,
    AT (seconds),
    .default_value = "10",
    .min = 1,
    .max = 3600,
    .unit = "seconds",
    .help = "time in which faults begin" },
  { .name = "hosts",
    .kind = CS_SETTING_NUMBER,
    AT (hosts),
    .default_value = "5",
    .min = 2,
    .max = NODES_MAX,
    .help = "nodes with a server each" },
  { .name = "base",
    .kind = CS_SETTING_NUMBER,
    AT (base),
    .default_value = "24000",
    .min = 1024,
    .max = 60000,
    .help = "first port" },
  { .name = "bin",
    .kind = CS_SETTING_TEXT,
    AT (bin),
    .help = "folder of the programs" },
  { .name = "dir",
    .kind = CS_SETTING_TEXT,
    AT (dir),
    .help = "folder for settings and logs" },
};

void
soak_broken (soak_t *soak, const char *promise, const char *format, ...)
{
  va_list args;
  va_start (args, format);
  char *text = g_strdup_vprintf (format, args);
  va_end (args);
  soak->broken++;
  printf ("# broken: %s at %lld ms: %s\n", promise,
          (long long)((soak_now (soak) - soak->began) / CS_MSEC), text);
  fflush (stdout);
  g_free (text);
}

static void
end_processes (soak_t *soak)
{
  for (unsigned i = 0; i < soak->host_count; i++)
    if (soak->hosts[i].pid)
      kill (soak->hosts[i].pid, SIGKILL);
  if (soak->rows_pid)
    kill (soak->rows_pid, SIGTERM);
}

void
soak_fail (soak_t *soak, const char *format, ...)
{
  va_list args;
  va_start (args, format);
  char *text = g_strdup_vprintf (format, args);
  va_end (args);
  end_processes (soak);
  printf ("not ok 1 - soak seed %u: %lld ms: %s\n", soak->seed,
          (long long)((soak_now (soak) - soak->began) / CS_MSEC), text);
  fflush (stdout);
  exit (1);
}

static soak_t soak;
static uv_timer_t ticker;
static unsigned ticks;
static cs_usec_t window_at, stop_at;
static cs_usec_t plan_time;

static bool
all_probed (void)
{
  for (unsigned i = 0; i < soak.host_count; i++)
    if (soak.hosts[i].config_seen != soak.config)
      return false;
  return true;
}

/* A server that has said that it leaves is watched until it has gone.  */
static bool
any_draining (void)
{
  for (unsigned i = 0; i < soak.host_count; i++)
    if (soak.hosts[i].draining)
      return true;
  return false;
}

static bool
any_left (void)
{
  for (unsigned i = 0; i < soak.host_count; i++)
    if (soak.hosts[i].pid)
      return true;
  return false;
}

static void
stop_all (cs_usec_t now)
{
  stop_at = now;
  for (unsigned i = 0; i < soak.host_count; i++)
    host_signal (&soak.hosts[i], SIGTERM);
}

static void
finish (void)
{
  end_processes (&soak);
  printf ("%s 1 - soak seed %u: %u faults, asked %u, served %u, refused %u, "
          "failed %u, %u broken\n",
          soak.broken ? "not ok" : "ok", soak.seed, soak.plan->len, soak.asked,
          soak.served, soak.refused, soak.failed, soak.broken);
  fflush (stdout);
  exit (soak.broken ? 1 : 0);
}

/* After the last fault: is everything well again?  */
static void
judge_calm (cs_usec_t now)
{
  if (now - window_at < WINDOW)
    return;
  bool well = soak.window_asked
              && soak.window_served * 100 >= soak.window_asked * WELL_PERCENT
              && all_probed () && !any_draining ();
  window_at = now;
  soak.window_asked = soak.window_served = 0;
  if (well)
    stop_all (now);
  else if (now - soak.began > plan_time + RECOVER)
    {
      soak_broken (&soak, all_probed () ? "RECOVER" : "CONFIG",
                   "not well %lld s after the last fault",
                   (long long)(RECOVER / CS_SEC));
      stop_all (now);
    }
}

static void
on_tick (uv_timer_t *timer)
{
  cs_usec_t now = soak_now (&soak);
  (void)timer;
  ticks++;
  if (stop_at)
    {
      if (!any_left ())
        finish ();
      if (now - stop_at > STOP)
        {
          soak_broken (&soak, "STOP", "a node does not end");
          finish ();
        }
      return;
    }
  if (!soak.calm && now - soak.began >= plan_time)
    {
      faults_end (&soak);
      window_at = now;
    }
  if (!soak.calm && now >= soak.began)
    faults_tick (&soak, now);
  for (unsigned i = 0; i < soak.host_count; i++)
    {
      if (ticks % 12 == i % 12)
        host_tick (&soak.hosts[i]);
      if (ticks % PROBE_EVERY == i % PROBE_EVERY)
        caller_probe (&soak, &soak.hosts[i]);
    }
  for (int i = 0; i < ASK_EACH; i++)
    caller_ask (&soak);
  if (soak.calm)
    judge_calm (now);
}

static void
on_rows_end (uv_process_t *process, int64_t status, int number)
{
  (void)process;
  soak_fail (&soak, "the table's stand-in has ended with %lld, signal %d",
             (long long)status, number);
}

static void
start_rows (void)
{
  static uv_process_t process;
  char *program = g_strdup_printf ("%s/standin-rows", soak.bin);
  char *port = g_strdup_printf ("--port=%u", soak.base);
  char *args[] = { program, port, NULL };
  uv_process_options_t options
      = { .file = program, .args = args, .exit_cb = on_rows_end };
  if (uv_spawn (&soak.loop, &process, &options) != 0)
    soak_fail (&soak, "%s cannot be started", program);
  soak.rows_pid = process.pid;
  g_free (program);
  g_free (port);
  g_usleep (200000); /* Until it listens.  */
}

int
main (int argc, char **argv)
{
  settings_t s = { 0 };
  cs_settings_action_t run;
  GString *errors = g_string_new (NULL);
  signal (SIGPIPE, SIG_IGN);
  setvbuf (stdout, NULL, _IOLBF, 0);
  soak.ctx = cs_ctx_new (NULL, cs_clock_system (), 1);
  cs_settings_load (soak.ctx, table, G_N_ELEMENTS (table), &s, argc, argv,
                    &run, NULL, errors);
  if (errors->len)
    {
      fputs (errors->str, stderr);
      return 2;
    }
  soak.seed = (guint32)s.seed;
  soak.base = (unsigned)s.base;
  soak.host_count = (unsigned)s.hosts;
  soak.bin = s.bin;
  soak.dir = s.dir;
  soak.faults = g_rand_new_with_seed (soak.seed);
  soak.load = g_rand_new_with_seed (~soak.seed);
  soak.ids = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  uv_loop_init (&soak.loop);
  plan_time = s.seconds * CS_SEC;
  faults_plan (&soak, plan_time);
  faults_print (&soak);
  start_rows ();
  soak.began = soak_now (&soak) + START;
  faults_write_config (&soak);
  for (unsigned i = 0; i < soak.host_count; i++)
    {
      host_init (&soak, i);
      host_start (&soak.hosts[i], true);
    }
  uv_timer_init (&soak.loop, &ticker);
  uv_timer_start (&ticker, on_tick, TICK_MS, TICK_MS);
  return uv_run (&soak.loop, UV_RUN_DEFAULT);
}
