/* A stand-in of a backend server.  It announces itself to its node, runs
   requests for a while, and counts how often each request id ran.

   GET /standin/stats: runs, ids that ran more than once.
   POST /standin/control {"latency_ms", "error_permille",
   "bad_path", "state", "announce"}: change its behaviour.
   A request whose path holds "crash" ends the process, one with
   "crash-late" some time after its connection.  */
#include <jansson.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "cardamom/cardamom.h"

typedef struct
{
  int64_t port, slots, latency_ms, error_permille, announce_ms;
  char *host, *node_admin, *service, *version;
} settings_t;

#define AT(member) .offset = offsetof (settings_t, member)

static const cs_setting_t table[] = {
  { .name = "host",
    .kind = CS_SETTING_TEXT,
    AT (host),
    .default_value = "127.0.0.1",
    .help = "IP number to listen on" },
  { .name = "port",
    .kind = CS_SETTING_NUMBER,
    AT (port),
    .default_value = "9001",
    .min = 1,
    .max = 65535,
    .help = "port to listen on" },
  { .name = "node-admin",
    .kind = CS_SETTING_TEXT,
    AT (node_admin),
    .default_value = "127.0.0.1:7070",
    .help = "operators' port of the node" },
  { .name = "service",
    .kind = CS_SETTING_TEXT,
    AT (service),
    .help = "path of the service" },
  { .name = "release",
    .kind = CS_SETTING_TEXT,
    AT (version),
    .default_value = "v1",
    .help = "version of the service" },
  { .name = "slots",
    .kind = CS_SETTING_NUMBER,
    AT (slots),
    .default_value = "12",
    .min = 1,
    .max = 1000,
    .help = "requests at a time" },
  { .name = "latency-ms",
    .kind = CS_SETTING_NUMBER,
    AT (latency_ms),
    .default_value = "1",
    .min = 0,
    .max = 60000,
    .unit = "milliseconds",
    .help = "time that a request takes" },
  { .name = "error-permille",
    .kind = CS_SETTING_NUMBER,
    AT (error_permille),
    .default_value = "0",
    .min = 0,
    .max = 1000,
    .help = "share of HTTP 500" },
  { .name = "announce-ms",
    .kind = CS_SETTING_NUMBER,
    AT (announce_ms),
    .default_value = "500",
    .min = 50,
    .max = 60000,
    .unit = "milliseconds",
    .help = "interval of announcements" },
};

typedef struct
{
  settings_t settings;
  pthread_mutex_t lock;
  GHashTable *runs; /* request id -> times, of requests with an id.  */
  int64_t total, doubles, running, peak;
  int64_t latency_ms, error_permille;
  char *bad_path; /* Only paths that hold it are slow or fail; or NULL.  */
  char state[16]; /* Announced.  */
  atomic_bool announcing;
} backend_t;

static void
pause_ms (int64_t ms)
{
  struct timespec ts
      = { .tv_sec = ms / 1000, .tv_nsec = (ms % 1000) * 1000000 };
  nanosleep (&ts, NULL);
}

static void
note_run (backend_t *b, const char *id)
{
  b->total++;
  if (!id)
    return;
  gint64 times = GPOINTER_TO_INT (g_hash_table_lookup (b->runs, id)) + 1;
  b->doubles += times == 2;
  g_hash_table_insert (b->runs, g_strdup (id), GINT_TO_POINTER (times));
}

static void
answer_stats (backend_t *b, cs_httpd_answer_t *out)
{
  json_t *ids = json_object ();
  GHashTableIter iter;
  gpointer id, times;
  pthread_mutex_lock (&b->lock);
  g_hash_table_iter_init (&iter, b->runs);
  while (g_hash_table_iter_next (&iter, &id, &times))
    json_object_set_new (ids, id, json_integer (GPOINTER_TO_INT (times)));
  json_t *stats = json_pack ("{s:s,s:I,s:I,s:I,s:o}", "version",
                             b->settings.version, "runs", (json_int_t)b->total,
                             "doubles", (json_int_t)b->doubles, "peak",
                             (json_int_t)b->peak, "ids", ids);
  pthread_mutex_unlock (&b->lock);
  char *text = json_dumps (stats, JSON_COMPACT | JSON_SORT_KEYS);
  cs_httpd_answer_set_text (out, 200, "application/json", text);
  free (text);
  json_decref (stats);
}

static void
take_control (backend_t *b, const cs_httpd_request_t *in,
              cs_httpd_answer_t *out)
{
  json_t *body = json_loadb (in->body.data, in->body.len, 0, NULL);
  json_int_t latency = b->latency_ms, errors = b->error_permille;
  const char *bad_path = NULL, *state = NULL;
  int announce = atomic_load (&b->announcing);
  json_unpack (body, "{s?I,s?I,s?s,s?s,s?b}", "latency_ms", &latency,
               "error_permille", &errors, "bad_path", &bad_path, "state",
               &state, "announce", &announce);
  pthread_mutex_lock (&b->lock);
  b->latency_ms = latency;
  b->error_permille = errors;
  if (bad_path)
    {
      g_free (b->bad_path);
      b->bad_path = g_strdup (bad_path);
    }
  if (state)
    g_strlcpy (b->state, state, sizeof b->state);
  pthread_mutex_unlock (&b->lock);
  atomic_store (&b->announcing, announce);
  json_decref (body);
  cs_httpd_answer_set_text (out, 200, "application/json", "{}");
}

static void *
exit_late (void *arg)
{
  (void)arg;
  pause_ms (15);
  _exit (3);
}

static void
run_work (backend_t *b, const cs_httpd_request_t *in, cs_httpd_answer_t *out)
{
  const char *id = cs_headers_get (in->headers, "X-Request-Id");
  pthread_mutex_lock (&b->lock);
  note_run (b, id);
  b->peak = MAX (b->peak, ++b->running);
  bool bad = !b->bad_path || strstr (in->request_target, b->bad_path);
  int64_t latency = bad ? b->latency_ms : b->settings.latency_ms;
  bool fails = bad && rand () % 1000 < b->error_permille;
  pthread_mutex_unlock (&b->lock);
  if (strstr (in->request_target, "crash-late"))
    {
      /* The connection ends first, the port some time later.  */
      pthread_t thread;
      pthread_create (&thread, NULL, exit_late, NULL);
      out->abort_connection = true;
      return;
    }
  if (strstr (in->request_target, "crash"))
    _exit (3);
  pause_ms (latency);
  pthread_mutex_lock (&b->lock);
  b->running--;
  pthread_mutex_unlock (&b->lock);
  out->status = fails ? 500 : 200;
  out->headers = cs_headers_new ();
  cs_headers_add (out->headers, "X-Request-Id", id ? id : "");
  cs_headers_add (out->headers, "X-Version", b->settings.version);
  cs_headers_add (out->headers, "X-Depth",
                  cs_headers_get (in->headers, "Cardamom-Depth")
                      ? cs_headers_get (in->headers, "Cardamom-Depth")
                      : "");
  out->body = g_string_new (NULL);
  g_string_append_printf (out->body, "%s %s\n", id ? id : "-",
                          in->request_target);
  g_string_append_len (out->body, in->body.data, (gssize)in->body.len);
}

static void
on_request (void *user, const cs_httpd_request_t *in, cs_httpd_answer_t *out)
{
  backend_t *b = user;
  if (strcmp (in->request_target, "/standin/stats") == 0)
    answer_stats (b, out);
  else if (strcmp (in->request_target, "/standin/control") == 0)
    take_control (b, in, out);
  else
    run_work (b, in, out);
}

static void
announce (backend_t *b, cs_ctx_t *ctx, cs_http_client_t *http,
          const char *state)
{
  json_t *body = json_pack (
      "{s:s,s:s,s:I,s:I,s:s,s:o,s:I}", "service", b->settings.service,
      "version", b->settings.version, "port", (json_int_t)b->settings.port,
      "slots", (json_int_t)b->settings.slots, "state", state, "instance",
      json_sprintf ("%ld", (long)getpid ()), "ttl_ms",
      (json_int_t)(b->settings.announce_ms * 4));
  char *text = json_dumps (body, JSON_COMPACT);
  cs_http_request_t request = { .method = "POST",
                                .path = "/v1/announce",
                                .body = cs_str_of (text),
                                .answer_max = 4096 };
  cs_http_answer_t answer;
  if (cs_http_client_call (ctx, http, &request, &answer) == CS_OK)
    cs_http_answer_clear (&answer);
  free (text);
  json_decref (body);
}

static void *
run_announcements (void *arg)
{
  backend_t *b = arg;
  cs_ctx_t *ctx = cs_ctx_new (NULL, cs_clock_system (), 1);
  char *host, state[16];
  unsigned port;
  if (cs_address_parse (ctx, b->settings.node_admin, &host, &port) != CS_OK)
    return NULL;
  cs_http_client_t *http = cs_http_client_new (ctx, host, port, 2 * CS_SEC);
  for (;;)
    {
      pthread_mutex_lock (&b->lock);
      g_strlcpy (state, b->state, sizeof state);
      pthread_mutex_unlock (&b->lock);
      if (atomic_load (&b->announcing))
        announce (b, ctx, http, state);
      pause_ms (b->settings.announce_ms);
    }
}

int
main (int argc, char **argv)
{
  backend_t b = { .lock = PTHREAD_MUTEX_INITIALIZER, .state = "up" };
  cs_ctx_t *ctx = cs_ctx_new (NULL, cs_clock_system (), 1);
  GString *errors = g_string_new (NULL);
  cs_settings_action_t run;
  cs_httpd_t *httpd;
  pthread_t thread;
  sigset_t set;
  int signal_number;
  sigemptyset (&set);
  sigaddset (&set, SIGTERM);
  sigaddset (&set, SIGINT);
  pthread_sigmask (SIG_BLOCK, &set, NULL);
  signal (SIGPIPE, SIG_IGN);
  if (cs_settings_load (ctx, table, G_N_ELEMENTS (table), &b.settings, argc,
                        argv, &run, NULL, errors)
      != CS_OK)
    {
      fputs (errors->str, stderr);
      return 2;
    }
  b.runs = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  b.latency_ms = b.settings.latency_ms;
  b.error_permille = b.settings.error_permille;
  b.announcing = true;
  cs_httpd_options_t options = { .host = b.settings.host,
                                 .port = (unsigned)b.settings.port,
                                 .body_max = 16u << 20,
                                 .connections_max = 200,
                                 .idle_timeout_s = 120 };
  if (cs_httpd_start (ctx, &options, on_request, &b, &httpd) != CS_OK)
    {
      fprintf (stderr, "standin-backend: %s\n", cs_error_message (ctx));
      return 1;
    }
  pthread_create (&thread, NULL, run_announcements, &b);
  sigwait (&set, &signal_number);
  return 0;
}
