/* A caller for tests and measurements.  It sends a fixed number of requests at
   a fixed rate from several threads to random targets, checks that each answer
   is complete and belongs to its request, and prints one JSON object with the
   results.  Latencies count from the time when a request was due, so that they
   include delays of the sender.  */
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
  char *targets, *method, *path, *id_prefix, *header;
} settings_t;

#define AT(member) .offset = offsetof (settings_t, member)

static const cs_setting_t setting_table[] = {
  { .name = "targets",
    .kind = CS_SETTING_TEXT,
    AT (targets),
    .help = "addresses IP:PORT to send to, separated by commas" },
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
    AT (id_prefix),
    .default_value = "r",
    .help = "prefix of the request IDs" },
  { .name = "header",
    .kind = CS_SETTING_TEXT,
    AT (header),
    .default_value = "",
    .help = "additional header field NAME:VALUE" },
  { .name = "rate",
    .kind = CS_SETTING_NUMBER,
    AT (rate),
    .default_value = "100",
    .min = 1,
    .max = 100000,
    .unit = "per second",
    .help = "rate of requests" },
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
    .help = "threads, each with its own connections" },
  { .name = "body",
    .kind = CS_SETTING_NUMBER,
    AT (body),
    .default_value = "0",
    .min = 0,
    .max = 1048576,
    .unit = "bytes",
    .help = "length of the request body" },
  { .name = "keyed",
    .kind = CS_SETTING_NUMBER,
    AT (keyed),
    .default_value = "0",
    .min = 0,
    .max = 1,
    .help = "1: also send the request ID as Idempotency-Key" },
  { .name = "resend-permille",
    .kind = CS_SETTING_NUMBER,
    AT (resend_permille),
    .default_value = "0",
    .min = 0,
    .max = 1000,
    .help = "how many of 1000 requests are sent a second time, "
            "whatever the first outcome" },
  { .name = "detail",
    .kind = CS_SETTING_NUMBER,
    AT (detail),
    .default_value = "0",
    .min = 0,
    .max = 1,
    .help = "1: list the IDs of requests that did not run" },
};

/* Counts of the requests that were sent, by outcome.  */
typedef struct
{
  /* The outcome that the node reports; DONE if there is none because a server
     answered directly.  */
  int64_t done, not_run, unknown;
  int64_t no_answer;     /* No complete answer was received.  */
  int64_t wrong_body;    /* Done, but not the answer to the request. */
  int64_t server_errors; /* Done, with a status of 500 or above.  */
  int64_t replayed;      /* Done; the answer is that of an earlier run.  */
  int64_t resent;        /* Requests that were sent a second time.  */
} tally_t;

typedef struct
{
  settings_t settings;
  char **targets;
  guint target_count;
  pthread_mutex_t lock;
  tally_t tally;
  GArray *latencies_ms;           /* double; of requests that were done.  */
  GHashTable *answers_by_version; /* Version of the server -> count.  */
  json_t *not_run_ids;
  _Atomic int64_t next_request; /* Number of the next one to send.  */
  int64_t request_count;
  cs_usec_t start_time;
} load_t;

typedef struct
{
  load_t *load;
  cs_ctx_t *ctx;
  cs_http_client_t **clients; /* One per target.  */
  int index;                  /* Set, but not read.  */
} worker_t;

static void
sleep_until (cs_ctx_t *ctx, cs_usec_t time)
{
  cs_usec_t remaining = time - cs_now (ctx);
  if (remaining <= 0)
    return;
  struct timespec ts = { .tv_sec = remaining / CS_SEC,
                         .tv_nsec = (remaining % CS_SEC) * 1000 };
  nanosleep (&ts, NULL);
}

static GPtrArray *
make_headers (const settings_t *settings, const char *id)
{
  GPtrArray *headers = cs_headers_new ();
  cs_headers_add (headers, "X-Request-Id", id);
  if (settings->keyed)
    cs_headers_add (headers, "Idempotency-Key", id);
  if (*settings->header)
    {
      char **parts = g_strsplit (settings->header, ":", 2);
      cs_headers_add (headers, parts[0], parts[1] ? parts[1] : "");
      g_strfreev (parts);
    }
  return headers;
}

/* Whether the 200 ANSWER has the body that standin-backend returns for request
   ID with BODY.  */
static bool
is_expected_answer (const settings_t *settings, const cs_http_answer_t *answer,
                    const char *id, const char *body)
{
  char *expected = g_strdup_printf ("%s %s\n%s", id, settings->path, body);
  bool matches = strcmp (expected, answer->body->str) == 0;
  g_free (expected);
  return matches;
}

/* Count ANSWER to request ID, whose body was BODY, by its outcome.  */
static void
tally_answer (load_t *load, const cs_http_answer_t *answer, const char *id,
              const char *body, double latency_ms)
{
  tally_t *tally = &load->tally;
  const char *outcome = cs_headers_get (answer->headers, "Cardamom-Outcome");
  const char *version = cs_headers_get (answer->headers, "X-Version");
  bool direct = !outcome;
  if (direct || strcmp (outcome, "done") == 0)
    {
      tally->done++;
      tally->server_errors += answer->status >= 500;
      tally->replayed
          += cs_headers_get (answer->headers, "Cardamom-Replayed") != NULL;
      if (answer->status == 200
          && !is_expected_answer (&load->settings, answer, id, body))
        tally->wrong_body++;
      g_array_append_val (load->latencies_ms, latency_ms);
      if (version)
        g_hash_table_insert (
            load->answers_by_version, g_strdup (version),
            GINT_TO_POINTER (GPOINTER_TO_INT (g_hash_table_lookup (
                                 load->answers_by_version, version))
                             + 1));
    }
  else if (strcmp (outcome, "not-run") == 0)
    {
      tally->not_run++;
      if (load->settings.detail)
        json_array_append_new (load->not_run_ids, json_string (id));
    }
  else
    tally->unknown++;
}

/* Send request ID and count its outcome.  DUE is the time from which its
   latency counts.  Returns whether it was done, which the callers ignore.  */
static bool
send_once (worker_t *worker, const char *id, const char *body, cs_usec_t due)
{
  load_t *load = worker->load;
  guint target = (guint)g_rand_int_range (worker->ctx->random, 0,
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
  cs_status_t status = cs_http_client_call (
      worker->ctx, worker->clients[target], &request, &answer);
  double latency_ms = (double)(cs_now (worker->ctx) - due) / 1000.0;
  bool done = false;
  pthread_mutex_lock (&load->lock);
  if (status != CS_OK)
    load->tally.no_answer++;
  else
    {
      int64_t done_before = load->tally.done;
      tally_answer (load, &answer, id, body, latency_ms);
      done = load->tally.done > done_before;
      cs_http_answer_clear (&answer);
    }
  pthread_mutex_unlock (&load->lock);
  g_ptr_array_unref (headers);
  return done;
}

static void
open_clients (worker_t *worker)
{
  load_t *load = worker->load;
  worker->clients = g_new0 (cs_http_client_t *, load->target_count);
  for (guint i = 0; i < load->target_count; i++)
    {
      char *host;
      unsigned port;
      if (cs_address_parse (worker->ctx, load->targets[i], &host, &port)
          != CS_OK)
        {
          fprintf (stderr, "standin-load: %s\n",
                   cs_error_message (worker->ctx));
          exit (2);
        }
      worker->clients[i]
          = cs_http_client_new (worker->ctx, host, port, 60 * CS_SEC);
      g_free (host);
    }
}

static void *
run_worker (void *arg)
{
  worker_t *worker = arg;
  load_t *load = worker->load;
  const settings_t *settings = &load->settings;
  char *body = g_strnfill ((gsize)settings->body, 'x');
  char id[128];
  open_clients (worker);
  for (;;)
    {
      int64_t number = load->next_request++;
      if (number >= load->request_count)
        break;
      cs_usec_t due = load->start_time + number * CS_SEC / settings->rate;
      sleep_until (worker->ctx, due);
      snprintf (id, sizeof id, "%s-%lld", settings->id_prefix,
                (long long)number);
      send_once (worker, id, body, due);
      if (g_rand_int_range (worker->ctx->random, 0, 1000)
          < settings->resend_permille)
        {
          send_once (worker, id, body, cs_now (worker->ctx));
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

/* The quantile SHARE, from 0 to 1, of SORTED; 0 if it is empty.  */
static double
percentile (GArray *sorted, double share)
{
  if (sorted->len == 0)
    return 0.0;
  guint index = (guint)(share * (double)(sorted->len - 1));
  return g_array_index (sorted, double, index);
}

static void
print_report (load_t *load, double seconds)
{
  const tally_t *tally = &load->tally;
  GHashTableIter iter;
  gpointer version, count;
  json_t *versions = json_object ();
  g_array_sort (load->latencies_ms, compare_doubles);
  g_hash_table_iter_init (&iter, load->answers_by_version);
  while (g_hash_table_iter_next (&iter, &version, &count))
    json_object_set_new (versions, version,
                         json_integer (GPOINTER_TO_INT (count)));
  json_t *report = json_pack (
      "{s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:f,s:f,s:f,s:f,s:f,s:o,s:o}", "done",
      (json_int_t)tally->done, "not_run", (json_int_t)tally->not_run,
      "unknown", (json_int_t)tally->unknown, "broken",
      (json_int_t)tally->no_answer, "wrong", (json_int_t)tally->wrong_body,
      "errors", (json_int_t)tally->server_errors, "replayed",
      (json_int_t)tally->replayed, "resent", (json_int_t)tally->resent,
      "p50_ms", percentile (load->latencies_ms, 0.50), "p99_ms",
      percentile (load->latencies_ms, 0.99), "p999_ms",
      percentile (load->latencies_ms, 0.999), "seconds", seconds, "per_second",
      (double)tally->done / seconds, "versions", versions, "not_run_ids",
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
  cs_settings_action_t action;
  if (cs_settings_load (ctx, setting_table, G_N_ELEMENTS (setting_table),
                        &load.settings, argc, argv, &action, NULL, errors)
      != CS_OK)
    {
      fputs (errors->str, stderr);
      return 2;
    }
  load.targets = g_strsplit (load.settings.targets, ",", -1);
  load.target_count = g_strv_length (load.targets);
  load.latencies_ms = g_array_new (FALSE, FALSE, sizeof (double));
  load.not_run_ids = json_array ();
  load.answers_by_version
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  load.request_count = load.settings.rate * load.settings.seconds;
  load.start_time = cs_now (ctx);
  pthread_t *threads = g_new (pthread_t, load.settings.threads);
  for (int i = 0; i < load.settings.threads; i++)
    {
      worker_t *worker = g_new0 (worker_t, 1);
      worker->load = &load;
      worker->index = i;
      worker->ctx = cs_ctx_new (NULL, cs_clock_system (), (guint32)i + 7);
      pthread_create (&threads[i], NULL, run_worker, worker);
    }
  for (int i = 0; i < load.settings.threads; i++)
    pthread_join (threads[i], NULL);
  print_report (&load, (double)(cs_now (ctx) - load.start_time) / 1e6);
  return 0;
}
