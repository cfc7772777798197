/* A caller for tests and measurements: a bounded number of requests at a
   fixed rate over some connections, each checked for being the whole answer
   to itself.  Prints one JSON object.  */
#include <jansson.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "cardamom/cardamom.h"

typedef struct
{
  int64_t rate, seconds, threads, body, keyed, resend_permille, detail;
  char *targets, *method, *path, *prefix, *header;
} settings_t;

#define AT(member) .offset = offsetof (settings_t, member)

static const cs_setting_t table[] = {
  { .name = "targets",
    .kind = CS_SETTING_TEXT,
    AT (targets),
    .help = "addresses IP:PORT, separated by commas" },
  { .name = "method",
    .kind = CS_SETTING_TEXT,
    AT (method),
    .default_value = "GET",
    .help = "request method" },
  { .name = "path",
    .kind = CS_SETTING_TEXT,
    AT (path),
    .default_value = "/",
    .help = "request path" },
  { .name = "id-prefix",
    .kind = CS_SETTING_TEXT,
    AT (prefix),
    .default_value = "r",
    .help = "prefix of the request ids" },
  { .name = "header",
    .kind = CS_SETTING_TEXT,
    AT (header),
    .default_value = "",
    .help = "further header NAME:VALUE" },
  { .name = "rate",
    .kind = CS_SETTING_NUMBER,
    AT (rate),
    .default_value = "100",
    .min = 1,
    .max = 100000,
    .unit = "per second",
    .help = "requests" },
  { .name = "seconds",
    .kind = CS_SETTING_NUMBER,
    AT (seconds),
    .default_value = "5",
    .min = 1,
    .max = 600,
    .unit = "seconds",
    .help = "length of the run" },
  { .name = "threads",
    .kind = CS_SETTING_NUMBER,
    AT (threads),
    .default_value = "8",
    .min = 1,
    .max = 400,
    .help = "connections" },
  { .name = "body",
    .kind = CS_SETTING_NUMBER,
    AT (body),
    .default_value = "0",
    .min = 0,
    .max = 1048576,
    .unit = "bytes",
    .help = "request body" },
  { .name = "keyed",
    .kind = CS_SETTING_NUMBER,
    AT (keyed),
    .default_value = "0",
    .min = 0,
    .max = 1,
    .help = "send the id as Idempotency-Key" },
  { .name = "resend-permille",
    .kind = CS_SETTING_NUMBER,
    AT (resend_permille),
    .default_value = "0",
    .min = 0,
    .max = 1000,
    .help = "share of answers not done that are sent again once, "
            "and of done ones that are sent again too" },
  { .name = "detail",
    .kind = CS_SETTING_NUMBER,
    AT (detail),
    .default_value = "0",
    .min = 0,
    .max = 1,
    .help = "list the ids by outcome" },
};

typedef struct
{
  int64_t done, not_run, unknown, broken, wrong, errors, replayed, resent;
} tally_t;

typedef struct
{
  settings_t settings;
  char **targets;
  guint target_count;
  pthread_mutex_t lock;
  tally_t tally;
  GArray *latencies;    /* double, milliseconds.  */
  GHashTable *versions; /* version -> count.  */
  json_t *not_run_ids;
  _Atomic int64_t next;
  int64_t total;
  cs_usec_t start;
} load_t;

typedef struct
{
  load_t *load;
  cs_ctx_t *ctx;
  cs_http_client_t **http; /* One per target.  */
  int index;
} worker_t;

static void
sleep_until (cs_ctx_t *ctx, cs_usec_t when)
{
  cs_usec_t left = when - cs_now (ctx);
  if (left <= 0)
    return;
  struct timespec ts
      = { .tv_sec = left / CS_SEC, .tv_nsec = (left % CS_SEC) * 1000 };
  nanosleep (&ts, NULL);
}

static GPtrArray *
make_headers (const settings_t *s, const char *id)
{
  GPtrArray *headers = cs_headers_new ();
  cs_headers_add (headers, "X-Request-Id", id);
  if (s->keyed)
    cs_headers_add (headers, "Idempotency-Key", id);
  if (*s->header)
    {
      char **parts = g_strsplit (s->header, ":", 2);
      cs_headers_add (headers, parts[0], parts[1] ? parts[1] : "");
      g_strfreev (parts);
    }
  return headers;
}

/* Whether a 200 answer is the whole answer to request ID.  */
static bool
is_own_answer (const settings_t *s, const cs_http_answer_t *answer,
               const char *id, const char *body)
{
  char *expected = g_strdup_printf ("%s %s\n%s", id, s->path, body);
  bool own = strcmp (expected, answer->body->str) == 0;
  g_free (expected);
  return own;
}

static void
tally_answer (load_t *load, const cs_http_answer_t *answer, const char *id,
              const char *body, double ms)
{
  tally_t *t = &load->tally;
  const char *outcome = cs_headers_get (answer->headers, "Cardamom-Outcome");
  const char *version = cs_headers_get (answer->headers, "X-Version");
  bool direct = !outcome;
  if (direct || strcmp (outcome, "done") == 0)
    {
      t->done++;
      t->errors += answer->status >= 500;
      t->replayed
          += cs_headers_get (answer->headers, "Cardamom-Replayed") != NULL;
      if (answer->status == 200
          && !is_own_answer (&load->settings, answer, id, body))
        t->wrong++;
      g_array_append_val (load->latencies, ms);
      if (version)
        g_hash_table_insert (
            load->versions, g_strdup (version),
            GINT_TO_POINTER (
                GPOINTER_TO_INT (g_hash_table_lookup (load->versions, version))
                + 1));
    }
  else if (strcmp (outcome, "not-run") == 0)
    {
      t->not_run++;
      if (load->settings.detail)
        json_array_append_new (load->not_run_ids, json_string (id));
    }
  else
    t->unknown++;
}

/* Send request ID once; returns whether it was done.  */
static bool
send_once (worker_t *w, const char *id, const char *body, cs_usec_t due)
{
  load_t *load = w->load;
  guint target = (guint)g_rand_int_range (w->ctx->random, 0,
                                          (gint32)load->target_count);
  GPtrArray *headers = make_headers (&load->settings, id);
  cs_http_request_t request
      = { .method = load->settings.method,
          .path = load->settings.path,
          .headers = headers,
          .body = cs_str_of (body),
          .answer_max = 16u << 20,
          .reuse_connection = strcmp (load->settings.method, "GET") == 0 };
  cs_http_answer_t answer;
  cs_status_t status
      = cs_http_client_call (w->ctx, w->http[target], &request, &answer);
  double ms = (double)(cs_now (w->ctx) - due) / 1000.0;
  bool done = false;
  pthread_mutex_lock (&load->lock);
  if (status != CS_OK)
    load->tally.broken++;
  else
    {
      int64_t before = load->tally.done;
      tally_answer (load, &answer, id, body, ms);
      done = load->tally.done > before;
      cs_http_answer_clear (&answer);
    }
  pthread_mutex_unlock (&load->lock);
  g_ptr_array_unref (headers);
  return done;
}

static void
open_targets (worker_t *w)
{
  load_t *load = w->load;
  w->http = g_new0 (cs_http_client_t *, load->target_count);
  for (guint i = 0; i < load->target_count; i++)
    {
      char *host;
      unsigned port;
      if (cs_address_parse (w->ctx, load->targets[i], &host, &port) != CS_OK)
        {
          fprintf (stderr, "standin-load: %s\n", cs_error_message (w->ctx));
          exit (2);
        }
      w->http[i] = cs_http_client_new (w->ctx, host, port, 60 * CS_SEC);
      g_free (host);
    }
}

static void *
run_worker (void *arg)
{
  worker_t *w = arg;
  load_t *load = w->load;
  const settings_t *s = &load->settings;
  char *body = g_strnfill ((gsize)s->body, 'x');
  char id[128];
  open_targets (w);
  for (;;)
    {
      int64_t n = load->next++;
      if (n >= load->total)
        break;
      cs_usec_t due = load->start + n * CS_SEC / s->rate;
      sleep_until (w->ctx, due);
      snprintf (id, sizeof id, "%s-%lld", s->prefix, (long long)n);
      send_once (w, id, body, due);
      if (g_rand_int_range (w->ctx->random, 0, 1000) < s->resend_permille)
        {
          send_once (w, id, body, cs_now (w->ctx));
          pthread_mutex_lock (&load->lock);
          load->tally.resent++;
          pthread_mutex_unlock (&load->lock);
        }
    }
  return NULL;
}

static gint
compare_doubles (gconstpointer a, gconstpointer b)
{
  double da = *(const double *)a, db = *(const double *)b;
  return da < db ? -1 : da > db;
}

static double
percentile (GArray *sorted, double share)
{
  if (sorted->len == 0)
    return 0.0;
  guint at = (guint)(share * (double)(sorted->len - 1));
  return g_array_index (sorted, double, at);
}

static void
print_report (load_t *load, double seconds)
{
  const tally_t *t = &load->tally;
  GHashTableIter iter;
  gpointer version, count;
  json_t *versions = json_object ();
  g_array_sort (load->latencies, compare_doubles);
  g_hash_table_iter_init (&iter, load->versions);
  while (g_hash_table_iter_next (&iter, &version, &count))
    json_object_set_new (versions, version,
                         json_integer (GPOINTER_TO_INT (count)));
  json_t *report = json_pack (
      "{s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:f,s:f,s:f,s:f,s:f,s:o,s:o}", "done",
      (json_int_t)t->done, "not_run", (json_int_t)t->not_run, "unknown",
      (json_int_t)t->unknown, "broken", (json_int_t)t->broken, "wrong",
      (json_int_t)t->wrong, "errors", (json_int_t)t->errors, "replayed",
      (json_int_t)t->replayed, "resent", (json_int_t)t->resent, "p50_ms",
      percentile (load->latencies, 0.50), "p99_ms",
      percentile (load->latencies, 0.99), "p999_ms",
      percentile (load->latencies, 0.999), "seconds", seconds, "per_second",
      (double)t->done / seconds, "versions", versions, "not_run_ids",
      load->not_run_ids);
  char *text = json_dumps (report, JSON_COMPACT | JSON_REAL_PRECISION (6));
  puts (text);
  free (text);
}

int
main (int argc, char **argv)
{
  load_t load = { .lock = PTHREAD_MUTEX_INITIALIZER };
  cs_ctx_t *ctx = cs_ctx_new (NULL, cs_clock_system (), 1);
  GString *errors = g_string_new (NULL);
  cs_settings_action_t run;
  if (cs_settings_load (ctx, table, G_N_ELEMENTS (table), &load.settings, argc,
                        argv, &run, NULL, errors)
      != CS_OK)
    {
      fputs (errors->str, stderr);
      return 2;
    }
  load.targets = g_strsplit (load.settings.targets, ",", -1);
  load.target_count = g_strv_length (load.targets);
  load.latencies = g_array_new (FALSE, FALSE, sizeof (double));
  load.not_run_ids = json_array ();
  load.versions
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  load.total = load.settings.rate * load.settings.seconds;
  load.start = cs_now (ctx);
  pthread_t *threads = g_new (pthread_t, load.settings.threads);
  for (int i = 0; i < load.settings.threads; i++)
    {
      worker_t *w = g_new0 (worker_t, 1);
      w->load = &load;
      w->index = i;
      w->ctx = cs_ctx_new (NULL, cs_clock_system (), (guint32)i + 7);
      pthread_create (&threads[i], NULL, run_worker, w);
    }
  for (int i = 0; i < load.settings.threads; i++)
    pthread_join (threads[i], NULL);
  print_report (&load, (double)(cs_now (ctx) - load.start) / 1e6);
  return 0;
}
