/* A stand-in for the platform: the table, with the JSON gateway of the etcd v3
   API, and the object store.  It is backed by the in-memory platform plug-in
   and adds rate limits and faults that tests inject.

   POST /standin/fault {"mode", "ms", "count"} sets the fault for the next
   "count" requests that it applies to, or for all if "count" is 0.  Modes:
     "none": no fault,
     "down": answer 503 without handling the request,
     "slow": wait "ms" milliseconds, then handle the request,
     "drop": close the connection without handling the request,
     "lost": handle a write, but close the connection instead of answering,
     "half": the same for reads and writes.
   GET /standin/stats returns the numbers of reads and writes so far.  */
#include <jansson.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "cardamom/cardamom.h"

typedef struct
{
  int64_t port, write_rate, read_rate, delay_ms;
  char *host;
} settings_t;

#define AT(member) .offset = offsetof (settings_t, member)

static const cs_setting_t setting_table[] = {
  { .name = "host",
    .kind = CS_SETTING_TEXT,
    AT (host),
    .default_value = "127.0.0.1",
    .help = "IP number to listen on" },
  { .name = "port",
    .kind = CS_SETTING_NUMBER,
    AT (port),
    .default_value = "7001",
    .min = 1,
    .max = 65535,
    .help = "port to listen on" },
  { .name = "write-rate",
    .kind = CS_SETTING_NUMBER,
    AT (write_rate),
    .default_value = "500",
    .min = 1,
    .max = 1000000,
    .unit = "per second",
    .help = "writes above this rate are answered with 429" },
  { .name = "read-rate",
    .kind = CS_SETTING_NUMBER,
    AT (read_rate),
    .default_value = "2000",
    .min = 1,
    .max = 1000000,
    .unit = "per second",
    .help = "reads above this rate are answered with 429" },
  { .name = "delay-ms",
    .kind = CS_SETTING_NUMBER,
    AT (delay_ms),
    .default_value = "0",
    .min = 0,
    .max = 10000,
    .unit = "milliseconds",
    .help = "delay of every request" },
};

/* Counts of one kind of requests, to limit their rate per second.  */
typedef struct
{
  cs_usec_t second;       /* Of the last request, in whole seconds.  */
  int64_t used_in_second; /* Requests in that second.  */
  int64_t total, refused; /* Requests since the start.  */
  int64_t peak_per_second;
} rate_meter_t;

typedef struct
{
  settings_t settings;
  pthread_mutex_t lock;
  char fault_mode[16];
  int64_t fault_delay_ms;
  int64_t fault_requests_left; /* 0: no limit.  */
  rate_meter_t reads, writes;
} standin_t;

/* Requests are handled in several threads; each uses its own context and opens
   the same in-memory platform.  */
static __thread cs_ctx_t *thread_ctx;
static __thread cs_platform_t *thread_platform;

static cs_platform_t *
get_thread_platform (void)
{
  if (!thread_platform)
    {
      thread_ctx = cs_ctx_new (NULL, cs_clock_system (), 1);
      cs_platform_open (thread_ctx, "memory", "standin", &thread_platform);
    }
  return thread_platform;
}

/* Count a request in METER.  Returns whether it is within RATE.  */
static bool
admit (standin_t *standin, rate_meter_t *meter, int64_t rate)
{
  cs_clock_t *clock = cs_clock_system ();
  cs_usec_t second = clock->monotonic (clock) / CS_SEC;
  pthread_mutex_lock (&standin->lock);
  if (meter->second != second)
    {
      meter->second = second;
      meter->used_in_second = 0;
    }
  meter->total++;
  bool admitted = ++meter->used_in_second <= rate;
  meter->refused += !admitted;
  meter->peak_per_second = MAX (meter->peak_per_second, meter->used_in_second);
  pthread_mutex_unlock (&standin->lock);
  return admitted;
}

static void
pause_ms (int64_t ms)
{
  struct timespec ts
      = { .tv_sec = ms / 1000, .tv_nsec = (ms % 1000) * 1000000 };
  nanosleep (&ts, NULL);
}

/* Whether the fault MODE is set for this request, which counts as one of the
   requests that the fault is limited to.  */
static bool
consume_fault (standin_t *standin, const char *mode)
{
  bool active = false;
  pthread_mutex_lock (&standin->lock);
  if (strcmp (standin->fault_mode, mode) == 0)
    {
      active = true;
      if (standin->fault_requests_left > 0
          && --standin->fault_requests_left == 0)
        strcpy (standin->fault_mode, "none");
    }
  pthread_mutex_unlock (&standin->lock);
  return active;
}

/* Answer 200 with BODY, which is taken over.  */
static void
answer_json (cs_httpd_answer_t *answer, json_t *body)
{
  char *text = json_dumps (body, JSON_COMPACT);
  cs_httpd_answer_set_text (answer, 200, "application/json", text);
  free (text);
  json_decref (body);
}

/* The bytes of the base64 string VALUE, NUL-terminated; the caller frees
   them.  */
static char *
decode_base64 (const json_t *value, gsize *len)
{
  const char *text = json_string_value (value);
  guchar *raw = g_base64_decode (text ? text : "", len);
  char *copy = g_strndup ((char *)raw, *len);
  g_free (raw);
  return copy;
}

static json_t *
encode_base64 (const char *data, size_t len)
{
  char *text = g_base64_encode ((const guchar *)data, len);
  json_t *value = json_string (text);
  g_free (text);
  return value;
}

/* VALUE may be a number or, as the gateway writes them, a decimal string.  */
static int64_t
parse_number (const json_t *value)
{
  if (json_is_integer (value))
    return json_integer_value (value);
  const char *text = json_string_value (value);
  return text ? g_ascii_strtoll (text, NULL, 10) : 0;
}

static json_t *
header_to_json (int64_t revision)
{
  return json_pack ("{s:o}", "revision",
                    json_sprintf ("%lld", (long long)revision));
}

static void
handle_range (const json_t *body, cs_httpd_answer_t *answer)
{
  gsize len;
  int64_t revision;
  cs_platform_t *platform = get_thread_platform ();
  const json_t *end = json_object_get (body, "range_end");
  char *first_key = decode_base64 (json_object_get (body, "key"), &len);
  char *end_key = end ? decode_base64 (end, &len) : NULL;
  cs_range_query_t range
      = { .first_key = first_key,
          .end_key = end_key,
          .min_revision
          = parse_number (json_object_get (body, "min_mod_revision")),
          .max_rows = parse_number (json_object_get (body, "limit")) };
  GPtrArray *rows = cs_rows_new ();
  platform->vtable->read_range (thread_ctx, platform, &range, rows, &revision);
  json_t *kvs = json_array ();
  for (guint i = 0; i < rows->len; i++)
    {
      const cs_row_t *row = rows->pdata[i];
      json_array_append_new (
          kvs, json_pack ("{s:o,s:o,s:o}", "key",
                          encode_base64 (row->key, strlen (row->key)), "value",
                          encode_base64 (row->value->str, row->value->len),
                          "mod_revision",
                          json_sprintf ("%lld", (long long)row->revision)));
    }
  answer_json (answer, json_pack ("{s:o,s:o}", "header",
                                  header_to_json (revision), "kvs", kvs));
  g_ptr_array_unref (rows);
  g_free (first_key);
  g_free (end_key);
}

static void
handle_txn (const json_t *body, cs_httpd_answer_t *answer)
{
  cs_platform_t *platform = get_thread_platform ();
  GArray *conditions = g_array_new (FALSE, TRUE, sizeof (cs_txn_condition_t));
  GArray *writes = g_array_new (FALSE, TRUE, sizeof (cs_txn_write_t));
  GPtrArray *strings = g_ptr_array_new_with_free_func (g_free);
  size_t i;
  json_t *entry;
  gsize len;
  int64_t revision;
  json_array_foreach (json_object_get (body, "compare"), i, entry)
  {
    cs_txn_condition_t condition
        = { .key = decode_base64 (json_object_get (entry, "key"), &len),
            .revision
            = parse_number (json_object_get (entry, "mod_revision")) };
    g_ptr_array_add (strings, (gpointer)condition.key);
    g_array_append_val (conditions, condition);
  }
  json_array_foreach (json_object_get (body, "success"), i, entry)
  {
    const json_t *put = json_object_get (entry, "request_put");
    const json_t *operation
        = put ? put : json_object_get (entry, "request_delete_range");
    cs_txn_write_t write
        = { .key = decode_base64 (json_object_get (operation, "key"), &len),
            .is_delete = !put };
    g_ptr_array_add (strings, (gpointer)write.key);
    if (put)
      {
        char *value = decode_base64 (json_object_get (put, "value"), &len);
        g_ptr_array_add (strings, value);
        write.value = (cs_str_t){ .data = value, .len = len };
      }
    g_array_append_val (writes, write);
  }
  cs_txn_t txn
      = { .conditions = (cs_txn_condition_t *)(void *)conditions->data,
          .condition_count = conditions->len,
          .writes = (cs_txn_write_t *)(void *)writes->data,
          .write_count = writes->len };
  cs_status_t status
      = platform->vtable->commit (thread_ctx, platform, &txn, &revision);
  answer_json (answer,
               json_pack ("{s:o,s:b}", "header", header_to_json (revision),
                          "succeeded", status == CS_OK));
  g_array_unref (conditions);
  g_array_unref (writes);
  g_ptr_array_unref (strings);
}

static void
handle_put_object (const cs_httpd_request_t *request, const char *key,
                   cs_httpd_answer_t *answer)
{
  cs_platform_t *platform = get_thread_platform ();
  const char *tag = cs_headers_get (request->headers, "If-Match");
  if (!tag && cs_headers_get (request->headers, "If-None-Match"))
    tag = ""; /* The object must not exist.  */
  cs_status_t status = platform->vtable->put_object (thread_ctx, platform, key,
                                                     request->body, tag);
  cs_httpd_answer_set_text (answer, status == CS_OK ? 200 : 412, "text/plain",
                            "");
}

static void
handle_get_object (const char *key, cs_httpd_answer_t *answer)
{
  cs_platform_t *platform = get_thread_platform ();
  char *tag = NULL;
  GString *body = g_string_new (NULL);
  cs_status_t status
      = platform->vtable->get_object (thread_ctx, platform, key, body, &tag);
  answer->status = status == CS_OK ? 200 : 404;
  answer->headers = cs_headers_new ();
  if (tag)
    cs_headers_add (answer->headers, "ETag", tag);
  answer->body = body;
  g_free (tag);
}

static void
handle_fault (standin_t *standin, const json_t *body,
              cs_httpd_answer_t *answer)
{
  const char *mode = json_string_value (json_object_get (body, "mode"));
  pthread_mutex_lock (&standin->lock);
  g_strlcpy (standin->fault_mode, mode ? mode : "none",
             sizeof standin->fault_mode);
  standin->fault_delay_ms = parse_number (json_object_get (body, "ms"));
  standin->fault_requests_left
      = parse_number (json_object_get (body, "count"));
  pthread_mutex_unlock (&standin->lock);
  answer_json (answer, json_object ());
}

static void
handle_stats (standin_t *standin, cs_httpd_answer_t *answer)
{
  pthread_mutex_lock (&standin->lock);
  json_t *stats = json_pack (
      "{s:I,s:I,s:I,s:I,s:I}", "reads", (json_int_t)standin->reads.total,
      "writes", (json_int_t)standin->writes.total, "refused",
      (json_int_t)(standin->reads.refused + standin->writes.refused),
      "peak_reads", (json_int_t)standin->reads.peak_per_second, "peak_writes",
      (json_int_t)standin->writes.peak_per_second);
  pthread_mutex_unlock (&standin->lock);
  answer_json (answer, stats);
}

static void
serve_request (const cs_httpd_request_t *request, cs_httpd_answer_t *answer)
{
  const char *objects_prefix = "/objects/";
  json_t *body = json_loadb (request->body.data, request->body.len, 0, NULL);
  char *key = g_str_has_prefix (request->request_target, objects_prefix)
                  ? g_uri_unescape_string (
                      request->request_target + strlen (objects_prefix), NULL)
                  : NULL;
  if (strcmp (request->request_target, "/v3/kv/range") == 0)
    handle_range (body, answer);
  else if (strcmp (request->request_target, "/v3/kv/txn") == 0)
    handle_txn (body, answer);
  else if (key && strcmp (request->method, "PUT") == 0)
    handle_put_object (request, key, answer);
  else if (key)
    handle_get_object (key, answer);
  else
    cs_httpd_answer_set_text (answer, 404, "text/plain", "no such path\n");
  json_decref (body);
  g_free (key);
}

static void
on_request (void *user, const cs_httpd_request_t *request,
            cs_httpd_answer_t *answer)
{
  standin_t *standin = user;
  if (strcmp (request->request_target, "/standin/fault") == 0)
    {
      json_t *body
          = json_loadb (request->body.data, request->body.len, 0, NULL);
      handle_fault (standin, body, answer);
      json_decref (body);
      return;
    }
  if (strcmp (request->request_target, "/standin/stats") == 0)
    {
      handle_stats (standin, answer);
      return;
    }
  bool is_write = strcmp (request->request_target, "/v3/kv/txn") == 0
                  || strcmp (request->method, "PUT") == 0;
  bool admitted
      = is_write
            ? admit (standin, &standin->writes, standin->settings.write_rate)
            : admit (standin, &standin->reads, standin->settings.read_rate);
  if (consume_fault (standin, "slow"))
    pause_ms (standin->fault_delay_ms);
  pause_ms (standin->settings.delay_ms);
  if (!admitted)
    cs_httpd_answer_set_text (answer, 429, "text/plain",
                              "too many requests\n");
  else if (consume_fault (standin, "down"))
    cs_httpd_answer_set_text (answer, 503, "text/plain", "down\n");
  else if (consume_fault (standin, "drop"))
    answer->abort_connection = true;
  else
    {
      serve_request (request, answer);
      if (consume_fault (standin, "half")
          || (is_write && consume_fault (standin, "lost")))
        answer->abort_connection = true;
    }
}

int
main (int argc, char **argv)
{
  standin_t standin
      = { .lock = PTHREAD_MUTEX_INITIALIZER, .fault_mode = "none" };
  cs_ctx_t *ctx = cs_ctx_new (NULL, cs_clock_system (), 1);
  GString *errors = g_string_new (NULL);
  cs_settings_action_t action;
  cs_httpd_t *httpd;
  sigset_t signals;
  int signal_number;
  sigemptyset (&signals);
  sigaddset (&signals, SIGTERM);
  sigaddset (&signals, SIGINT);
  pthread_sigmask (SIG_BLOCK, &signals, NULL);
  signal (SIGPIPE, SIG_IGN);
  if (cs_settings_load (ctx, setting_table, G_N_ELEMENTS (setting_table),
                        &standin.settings, argc, argv, &action, NULL, errors)
      != CS_OK)
    {
      fputs (errors->str, stderr);
      return 2;
    }
  cs_httpd_options_t options = { .host = standin.settings.host,
                                 .port = (unsigned)standin.settings.port,
                                 .body_max = CS_OBJECT_MAX_BYTES,
                                 .connections_max = 2000,
                                 .idle_timeout_s = 60 };
  if (cs_httpd_start (ctx, &options, on_request, &standin, &httpd) != CS_OK)
    {
      fprintf (stderr, "standin-platform: %s\n", cs_error_message (ctx));
      return 1;
    }
  sigwait (&signals, &signal_number);
  cs_httpd_stop (httpd);
  return 0;
}
