/* A stand-in of the platform: the table's JSON gateway and the object store,
   over the embedded platform, with faults by command.

   POST /standin/fault {"mode", "ms", "count"}: "none"; "down" refuses with
   503; "slow" waits MS; "lost" commits and then breaks the connection; "drop"
   breaks it before; "half" breaks it half way through an answer.  COUNT
   limits the fault to as many requests, 0 to none.
   GET /standin/stats: reads and writes so far.  */
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

static const cs_setting_t table[] = {
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
    .help = "writes above this are refused" },
  { .name = "read-rate",
    .kind = CS_SETTING_NUMBER,
    AT (read_rate),
    .default_value = "2000",
    .min = 1,
    .max = 1000000,
    .unit = "per second",
    .help = "reads above this are refused" },
  { .name = "delay-ms",
    .kind = CS_SETTING_NUMBER,
    AT (delay_ms),
    .default_value = "0",
    .min = 0,
    .max = 10000,
    .unit = "milliseconds",
    .help = "time that every request takes" },
};

/* Requests in the current second, for one rate.  */
typedef struct
{
  cs_usec_t second;
  int64_t used, total, refused, peak;
} meter_t;

typedef struct
{
  settings_t settings;
  pthread_mutex_t lock;
  char mode[16];
  int64_t ms, count;
  meter_t reads, writes;
} standin_t;

static __thread cs_ctx_t *thread_ctx;
static __thread cs_platform_t *thread_platform;

static cs_platform_t *
own_platform (void)
{
  if (!thread_platform)
    {
      thread_ctx = cs_ctx_new (NULL, cs_clock_system (), 1);
      cs_platform_open (thread_ctx, "memory", "standin", &thread_platform);
    }
  return thread_platform;
}

static bool
admit (standin_t *s, meter_t *meter, int64_t rate)
{
  cs_clock_t *clock = cs_clock_system ();
  cs_usec_t second = clock->monotonic (clock) / CS_SEC;
  pthread_mutex_lock (&s->lock);
  if (meter->second != second)
    {
      meter->second = second;
      meter->used = 0;
    }
  meter->total++;
  bool admitted = ++meter->used <= rate;
  meter->refused += !admitted;
  meter->peak = MAX (meter->peak, meter->used);
  pthread_mutex_unlock (&s->lock);
  return admitted;
}

static void
pause_ms (int64_t ms)
{
  struct timespec ts
      = { .tv_sec = ms / 1000, .tv_nsec = (ms % 1000) * 1000000 };
  nanosleep (&ts, NULL);
}

/* Whether MODE is on for this request; uses up one of its count.  */
static bool
fault_is_on (standin_t *s, const char *mode)
{
  bool on = false;
  pthread_mutex_lock (&s->lock);
  if (strcmp (s->mode, mode) == 0)
    {
      on = true;
      if (s->count > 0 && --s->count == 0)
        strcpy (s->mode, "none");
    }
  pthread_mutex_unlock (&s->lock);
  return on;
}

static void
answer_json (cs_httpd_answer_t *out, json_t *body)
{
  char *text = json_dumps (body, JSON_COMPACT);
  cs_httpd_answer_set_text (out, 200, "application/json", text);
  free (text);
  json_decref (body);
}

static char *
decode (const json_t *value, gsize *len)
{
  const char *text = json_string_value (value);
  guchar *raw = g_base64_decode (text ? text : "", len);
  char *copy = g_strndup ((char *)raw, *len);
  g_free (raw);
  return copy;
}

static json_t *
encode (const char *data, size_t len)
{
  char *text = g_base64_encode ((const guchar *)data, len);
  json_t *value = json_string (text);
  g_free (text);
  return value;
}

static int64_t
number_of (const json_t *value)
{
  if (json_is_integer (value))
    return json_integer_value (value);
  const char *text = json_string_value (value);
  return text ? g_ascii_strtoll (text, NULL, 10) : 0;
}

static json_t *
header_of (int64_t revision)
{
  return json_pack ("{s:o}", "revision",
                    json_sprintf ("%lld", (long long)revision));
}

static void
handle_range (const json_t *body, cs_httpd_answer_t *out)
{
  gsize len;
  int64_t revision;
  cs_platform_t *platform = own_platform ();
  const json_t *end = json_object_get (body, "range_end");
  char *first = decode (json_object_get (body, "key"), &len);
  char *last = end ? decode (end, &len) : NULL;
  cs_range_query_t range
      = { .first_key = first,
          .end_key = last,
          .min_revision
          = number_of (json_object_get (body, "min_mod_revision")),
          .max_rows = number_of (json_object_get (body, "limit")) };
  GPtrArray *rows = cs_rows_new ();
  platform->vtable->read_range (thread_ctx, platform, &range, rows, &revision);
  json_t *kvs = json_array ();
  for (guint i = 0; i < rows->len; i++)
    {
      const cs_row_t *row = rows->pdata[i];
      json_array_append_new (
          kvs,
          json_pack ("{s:o,s:o,s:o}", "key",
                     encode (row->key, strlen (row->key)), "value",
                     encode (row->value->str, row->value->len), "mod_revision",
                     json_sprintf ("%lld", (long long)row->revision)));
    }
  answer_json (out, json_pack ("{s:o,s:o}", "header", header_of (revision),
                               "kvs", kvs));
  g_ptr_array_unref (rows);
  g_free (first);
  g_free (last);
}

static void
handle_txn (const json_t *body, cs_httpd_answer_t *out)
{
  cs_platform_t *platform = own_platform ();
  GArray *conditions = g_array_new (FALSE, TRUE, sizeof (cs_txn_condition_t));
  GArray *writes = g_array_new (FALSE, TRUE, sizeof (cs_txn_write_t));
  GPtrArray *texts = g_ptr_array_new_with_free_func (g_free);
  size_t i;
  json_t *entry;
  gsize len;
  int64_t revision;
  json_array_foreach (json_object_get (body, "compare"), i, entry)
  {
    cs_txn_condition_t c
        = { .key = decode (json_object_get (entry, "key"), &len),
            .revision = number_of (json_object_get (entry, "mod_revision")) };
    g_ptr_array_add (texts, (gpointer)c.key);
    g_array_append_val (conditions, c);
  }
  json_array_foreach (json_object_get (body, "success"), i, entry)
  {
    const json_t *put = json_object_get (entry, "request_put");
    const json_t *op
        = put ? put : json_object_get (entry, "request_delete_range");
    cs_txn_write_t w = { .key = decode (json_object_get (op, "key"), &len),
                         .is_delete = !put };
    g_ptr_array_add (texts, (gpointer)w.key);
    if (put)
      {
        char *value = decode (json_object_get (put, "value"), &len);
        g_ptr_array_add (texts, value);
        w.value = (cs_str_t){ .data = value, .len = len };
      }
    g_array_append_val (writes, w);
  }
  cs_txn_t txn
      = { .conditions = (cs_txn_condition_t *)(void *)conditions->data,
          .condition_count = conditions->len,
          .writes = (cs_txn_write_t *)(void *)writes->data,
          .write_count = writes->len };
  cs_status_t status
      = platform->vtable->commit (thread_ctx, platform, &txn, &revision);
  answer_json (out, json_pack ("{s:o,s:b}", "header", header_of (revision),
                               "succeeded", status == CS_OK));
  g_array_unref (conditions);
  g_array_unref (writes);
  g_ptr_array_unref (texts);
}

static void
handle_put (const cs_httpd_request_t *in, const char *key,
            cs_httpd_answer_t *out)
{
  cs_platform_t *platform = own_platform ();
  const char *tag = cs_headers_get (in->headers, "If-Match");
  if (!tag && cs_headers_get (in->headers, "If-None-Match"))
    tag = "";
  cs_status_t status = platform->vtable->put_object (thread_ctx, platform, key,
                                                     in->body, tag);
  cs_httpd_answer_set_text (out, status == CS_OK ? 200 : 412, "text/plain",
                            "");
}

static void
handle_get (const char *key, cs_httpd_answer_t *out)
{
  cs_platform_t *platform = own_platform ();
  char *tag = NULL;
  GString *body = g_string_new (NULL);
  cs_status_t status
      = platform->vtable->get_object (thread_ctx, platform, key, body, &tag);
  out->status = status == CS_OK ? 200 : 404;
  out->headers = cs_headers_new ();
  if (tag)
    cs_headers_add (out->headers, "ETag", tag);
  out->body = body;
  g_free (tag);
}

static void
handle_fault (standin_t *s, const json_t *body, cs_httpd_answer_t *out)
{
  const char *mode = json_string_value (json_object_get (body, "mode"));
  pthread_mutex_lock (&s->lock);
  g_strlcpy (s->mode, mode ? mode : "none", sizeof s->mode);
  s->ms = number_of (json_object_get (body, "ms"));
  s->count = number_of (json_object_get (body, "count"));
  pthread_mutex_unlock (&s->lock);
  answer_json (out, json_object ());
}

static void
handle_stats (standin_t *s, cs_httpd_answer_t *out)
{
  pthread_mutex_lock (&s->lock);
  json_t *stats = json_pack (
      "{s:I,s:I,s:I,s:I,s:I}", "reads", (json_int_t)s->reads.total, "writes",
      (json_int_t)s->writes.total, "refused",
      (json_int_t)(s->reads.refused + s->writes.refused), "peak_reads",
      (json_int_t)s->reads.peak, "peak_writes", (json_int_t)s->writes.peak);
  pthread_mutex_unlock (&s->lock);
  answer_json (out, stats);
}

static void
serve_request (const cs_httpd_request_t *in, cs_httpd_answer_t *out)
{
  const char *object = "/objects/";
  json_t *body = json_loadb (in->body.data, in->body.len, 0, NULL);
  char *key = g_str_has_prefix (in->request_target, object)
                  ? g_uri_unescape_string (
                      in->request_target + strlen (object), NULL)
                  : NULL;
  if (strcmp (in->request_target, "/v3/kv/range") == 0)
    handle_range (body, out);
  else if (strcmp (in->request_target, "/v3/kv/txn") == 0)
    handle_txn (body, out);
  else if (key && strcmp (in->method, "PUT") == 0)
    handle_put (in, key, out);
  else if (key)
    handle_get (key, out);
  else
    cs_httpd_answer_set_text (out, 404, "text/plain", "no such path\n");
  json_decref (body);
  g_free (key);
}

static void
on_request (void *user, const cs_httpd_request_t *in, cs_httpd_answer_t *out)
{
  standin_t *s = user;
  if (strcmp (in->request_target, "/standin/fault") == 0)
    {
      json_t *body = json_loadb (in->body.data, in->body.len, 0, NULL);
      handle_fault (s, body, out);
      json_decref (body);
      return;
    }
  if (strcmp (in->request_target, "/standin/stats") == 0)
    {
      handle_stats (s, out);
      return;
    }
  bool writes = strcmp (in->request_target, "/v3/kv/txn") == 0
                || strcmp (in->method, "PUT") == 0;
  bool admitted = writes ? admit (s, &s->writes, s->settings.write_rate)
                         : admit (s, &s->reads, s->settings.read_rate);
  if (fault_is_on (s, "slow"))
    pause_ms (s->ms);
  pause_ms (s->settings.delay_ms);
  if (!admitted)
    cs_httpd_answer_set_text (out, 429, "text/plain", "too many requests\n");
  else if (fault_is_on (s, "down"))
    cs_httpd_answer_set_text (out, 503, "text/plain", "down\n");
  else if (fault_is_on (s, "drop"))
    out->abort_connection = true;
  else
    {
      serve_request (in, out);
      if (fault_is_on (s, "half") || (writes && fault_is_on (s, "lost")))
        out->abort_connection = true;
    }
}

int
main (int argc, char **argv)
{
  standin_t s = { .lock = PTHREAD_MUTEX_INITIALIZER, .mode = "none" };
  cs_ctx_t *ctx = cs_ctx_new (NULL, cs_clock_system (), 1);
  GString *errors = g_string_new (NULL);
  cs_settings_action_t run;
  cs_httpd_t *httpd;
  sigset_t set;
  int signal_number;
  sigemptyset (&set);
  sigaddset (&set, SIGTERM);
  sigaddset (&set, SIGINT);
  pthread_sigmask (SIG_BLOCK, &set, NULL);
  signal (SIGPIPE, SIG_IGN);
  if (cs_settings_load (ctx, table, G_N_ELEMENTS (table), &s.settings, argc,
                        argv, &run, NULL, errors)
      != CS_OK)
    {
      fputs (errors->str, stderr);
      return 2;
    }
  cs_httpd_options_t options = { .host = s.settings.host,
                                 .port = (unsigned)s.settings.port,
                                 .body_max = CS_OBJECT_MAX_BYTES,
                                 .connections_max = 2000,
                                 .idle_timeout_s = 60 };
  if (cs_httpd_start (ctx, &options, on_request, &s, &httpd) != CS_OK)
    {
      fprintf (stderr, "standin-platform: %s\n", cs_error_message (ctx));
      return 1;
    }
  sigwait (&set, &signal_number);
  cs_httpd_stop (httpd);
  return 0;
}
