/* A stand-in of the users' platform for tests of the sidecar: the table with
   its transactions, reads and feeds, and backend servers.

     standin-rows --port=P [--servers=P1:NAME,P2:NAME]

   Every row may be written by anyone.  A server answers 200 with its NAME, and
   counts what it ran under GET /count.  */
#include <jansson.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>

#include "cardamom/server.h"

#define WAIT_MAX_MS 30000

typedef struct
{
  char *table, *key, *value; /* VALUE NULL: removed.  */
  json_int_t ver;
} row_t;

typedef struct watch
{
  uv_timer_t timer;
  cs_exchange_t *exchange; /* NULL when its caller has left.  */
  char *table;
  json_int_t after;
} watch_t;

static uv_loop_t loop;
static cs_ctx_t *ctx;
static GPtrArray *rows, *watches;
static json_int_t newest;

static void
answer_json (cs_exchange_t *exchange, unsigned status, json_t *body)
{
  char *text = json_dumps (body, JSON_COMPACT);
  cs_exchange_answer (exchange, status, "Content-Type: application/json\r\n",
                      cs_str_of (text), false);
  free (text);
  json_decref (body);
}

/* The value of NAME in the query of TARGET; the caller frees it.  */
static char *
query_of (cs_str_t target, const char *name)
{
  char *text = cs_str_dup (target);
  char *query = strchr (text, '?');
  char **words = g_strsplit (query ? query + 1 : "", "&", -1);
  char *found = NULL;
  size_t len = strlen (name);
  for (char **word = words; *word && !found; word++)
    if (strncmp (*word, name, len) == 0 && (*word)[len] == '=')
      found = g_strdup (*word + len + 1);
  g_strfreev (words);
  g_free (text);
  return found ? found : g_strdup ("");
}

static row_t *
find_row (const char *table, const char *key)
{
  for (guint i = 0; i < rows->len; i++)
    {
      row_t *row = rows->pdata[i];
      if (strcmp (row->table, table) == 0 && strcmp (row->key, key) == 0)
        return row;
    }
  return NULL;
}

static json_t *
row_json (const row_t *row)
{
  json_t *json = json_pack ("{s:s,s:s,s:s,s:I}", "table", row->table, "part",
                            "", "key", row->key, "ver", row->ver);
  if (row->value)
    json_object_set_new (json, "value", json_string (row->value));
  else
    json_object_set_new (json, "tombstone", json_true ());
  return json;
}

/* The rows of TABLE changed after AFTER; with GONE also those removed.  */
static json_t *
rows_json (const char *table, json_int_t after, bool gone)
{
  json_t *list = json_array ();
  for (guint i = 0; i < rows->len; i++)
    {
      const row_t *row = rows->pdata[i];
      if (strcmp (row->table, table) == 0 && row->ver > after
          && (gone || row->value))
        json_array_append_new (list, row_json (row));
    }
  return json_pack ("{s:o,s:b,s:I,s:s}", "rows", list, "hasMore", 0, "ver",
                    newest, "now", "1ms");
}

static void
free_watch (uv_handle_t *handle)
{
  watch_t *watch = handle->data;
  g_free (watch->table);
  g_free (watch);
}

static void
end_watch (watch_t *watch)
{
  if (watch->exchange)
    answer_json (watch->exchange, 200,
                 rows_json (watch->table, watch->after, true));
  g_ptr_array_remove_fast (watches, watch);
  uv_close ((uv_handle_t *)&watch->timer, free_watch);
}

static void
on_timeout (uv_timer_t *timer)
{
  end_watch (timer->data);
}

static void
wake_watches (const char *table)
{
  for (guint i = watches->len; i-- > 0;)
    {
      watch_t *watch = watches->pdata[i];
      if (strcmp (watch->table, table) == 0)
        end_watch (watch);
    }
}

static void
feed (cs_exchange_t *exchange)
{
  cs_str_t target = exchange->request.request_target;
  char *after = query_of (target, "after"),
       *wait = query_of (target, "waitMs");
  watch_t *watch = g_new0 (watch_t, 1);
  watch->exchange = exchange;
  watch->table = query_of (target, "table");
  watch->after = atoll (after);
  watch->timer.data = watch;
  exchange->user = watch;
  uv_timer_init (&loop, &watch->timer);
  g_ptr_array_add (watches, watch);
  json_t *now = rows_json (watch->table, watch->after, true);
  if (json_array_size (json_object_get (now, "rows")))
    end_watch (watch);
  else
    uv_timer_start (&watch->timer, on_timeout,
                    (uint64_t)CLAMP (atoi (wait), 1, WAIT_MAX_MS), 0);
  json_decref (now);
  g_free (after);
  g_free (wait);
}

static const char *
text_of (const json_t *object, const char *name)
{
  const char *text = json_string_value (json_object_get (object, name));
  return text ? text : "";
}

static void
put_row (const json_t *entry, const char *value)
{
  const char *table = text_of (entry, "table"), *key = text_of (entry, "key");
  row_t *row = find_row (table, key);
  if (!row)
    {
      row = g_new0 (row_t, 1);
      row->table = g_strdup (table);
      row->key = g_strdup (key);
      g_ptr_array_add (rows, row);
    }
  g_free (row->value);
  row->value = g_strdup (value);
  row->ver = newest;
}

static void
transact (cs_exchange_t *exchange)
{
  json_t *root = json_loadb (exchange->request.body->str,
                             exchange->request.body->len, 0, NULL);
  const json_t *expected = json_object_get (root, "expectedRev");
  const json_t *puts = json_object_get (root, "puts");
  const json_t *removed = json_object_get (root, "remove");
  json_t *current = json_array ();
  bool holds = true;
  for (size_t i = 0; i < json_array_size (expected); i++)
    {
      const json_t *entry = json_array_get (expected, i);
      const row_t *row
          = find_row (text_of (entry, "table"), text_of (entry, "key"));
      json_int_t ver = row && row->value ? row->ver : 0;
      holds &= ver == json_integer_value (json_object_get (entry, "ver"));
      if (ver)
        json_array_append_new (current, row_json (row));
    }
  newest += holds;
  for (size_t i = 0; holds && i < json_array_size (puts); i++)
    put_row (json_array_get (puts, i),
             text_of (json_array_get (puts, i), "value"));
  for (size_t i = 0; holds && i < json_array_size (removed); i++)
    put_row (json_array_get (removed, i), NULL);
  answer_json (exchange, holds ? 200 : 412,
               json_pack ("{s:o,s:I,s:s}", "rows", current, "ver", newest,
                          "now", "1ms"));
  for (size_t i = 0; holds && i < json_array_size (puts); i++)
    wake_watches (text_of (json_array_get (puts, i), "table"));
  json_decref (root);
}

static void
on_table (void *user, cs_exchange_t *exchange)
{
  cs_str_t target = exchange->request.request_target;
  (void)user;
  if (cs_str_has_prefix (target, CS_STR ("/api/rows-tx")))
    transact (exchange);
  else if (cs_str_has_prefix (target, CS_STR ("/api/rows-feed")))
    feed (exchange);
  else if (cs_str_has_prefix (target, CS_STR ("/api/rows-get")))
    {
      char *table = query_of (target, "table");
      answer_json (exchange, 200, rows_json (table, 0, false));
      g_free (table);
    }
  else
    cs_exchange_answer (exchange, 404, NULL, CS_STR (""), false);
}

static void
on_left (void *user, cs_exchange_t *exchange)
{
  watch_t *watch = exchange->user;
  (void)user;
  if (watch)
    watch->exchange = NULL;
}

/* A backend server.  */
typedef struct
{
  const char *name;
  unsigned count;
} backend_t;

static void
on_request (void *user, cs_exchange_t *exchange)
{
  backend_t *backend = user;
  cs_str_t id = cs_http1_message_field (&exchange->request, "attempt-id");
  if (cs_str_equal (exchange->request.request_target, CS_STR ("/count")))
    {
      char *text = g_strdup_printf ("%u", backend->count);
      cs_exchange_answer (exchange, 200, NULL, cs_str_of (text), false);
      g_free (text);
      return;
    }
  if (cs_str_equal (exchange->request.request_target, CS_STR ("/health")))
    {
      char *fields
          = g_strdup_printf ("Instance-Id: i%s\r\n", backend->name + 1);
      cs_exchange_answer (exchange, 200, fields, CS_STR (""), false);
      g_free (fields);
      return;
    }
  backend->count++;
  char *fields = g_strdup_printf ("Attempt-Id: %.*s\r\nResponse-Seal: s\r\n",
                                  (int)id.len, id.data ? id.data : "");
  cs_exchange_answer (exchange, 200, fields, cs_str_of (backend->name), false);
  g_free (fields);
}

static void
serve (const char *port, const cs_http1_server_handler_t *handler, void *user)
{
  cs_http1_server_t *server;
  char *address = g_strdup_printf ("127.0.0.1:%s", port);
  if (cs_http1_server_new (ctx, &loop, address, handler, user, &server)
      != CS_OK)
    {
      fprintf (stderr, "standin-rows: %s\n", cs_error_message (ctx));
      exit (1);
    }
  cs_http1_server_limits_t limits = { .head_max = 65536,
                                      .body_max = 4 << 20,
                                      .head_timeout = 10 * CS_SEC,
                                      .idle_timeout = 60 * CS_SEC };
  cs_http1_server_set_limits (server, &limits);
  g_free (address);
}

int
main (int argc, char **argv)
{
  static const cs_http1_server_handler_t table
      = { .request_received = on_table, .caller_disconnected = on_left };
  static const cs_http1_server_handler_t backend
      = { .request_received = on_request };
  signal (SIGPIPE, SIG_IGN);
  uv_loop_init (&loop);
  ctx = cs_ctx_new (NULL, cs_clock_boottime (), 1);
  rows = g_ptr_array_new ();
  watches = g_ptr_array_new ();
  for (int i = 1; i < argc; i++)
    if (g_str_has_prefix (argv[i], "--port="))
      serve (argv[i] + strlen ("--port="), &table, NULL);
    else if (g_str_has_prefix (argv[i], "--servers="))
      for (char **word = g_strsplit (argv[i] + strlen ("--servers="), ",", -1);
           *word; word++)
        {
          char **pair = g_strsplit (*word, ":", 2);
          backend_t *made = g_new0 (backend_t, 1);
          made->name = pair[1];
          serve (pair[0], &backend, made);
        }
  return uv_run (&loop, UV_RUN_DEFAULT);
}
