/* A stand-in for the platform in tests of the sidecar: the platform's table of
   rows, with its transactions, reads and long polls for changes, and backend
   servers.

     standin-rows --port=P [--servers=P1:NAME,P2:NAME] [--no-era] [--era=N]

   The table of rows is served on port P and checks no permissions.  Its
   answers name an era, the first one 1 or N, unless --no-era is given.  GET
   /standin/version answers with the number of transactions, and GET
   /standin/drill?to=N&away_ms=M has it refuse all calls for M ms and come
   back, in the next era, as it was after the Nth, or with back_ms=B instead of
   to=N as it was B ms ago, but not before the first.  GET /standin/calls
   answers with the number of calls of the table since the last such request.
   Each server answers 200 with its NAME, GET /count with the number of
   requests it ran, and GET /health with NAME as its instance, the first letter
   replaced by "i".  */
#include <jansson.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>

#include "cardamom/server.h"

#define LONG_POLL_MAX_MS 30000

typedef struct
{
  char *table, *key, *value; /* VALUE is NULL if the row was removed.  */
  json_int_t version;        /* What NEWEST_VERSION was at its last change.  */
  uint64_t changed_at;       /* By uv_now.  */
} row_t;

/* A request for changes of TABLE that waits until there are some.  */
typedef struct long_poll
{
  uv_timer_t timer;
  cs_exchange_t *exchange; /* NULL after its caller has disconnected.  */
  char *table;
  json_int_t after_version; /* The caller knows the changes up to it.  */
} long_poll_t;

static uv_loop_t loop;
static cs_ctx_t *ctx;
static GPtrArray *rows, *long_polls;
static GPtrArray *changes; /* row_t *: each version of each row, in order.  */
static json_int_t newest_version; /* How many transactions were applied.  */
static bool names_era = true;
static int era = 1;
static bool away; /* All calls are refused.  */
static unsigned calls;

static void
answer_json (cs_exchange_t *exchange, unsigned status, json_t *body)
{
  char *text = json_dumps (body, JSON_COMPACT);
  char *era_field
      = names_era ? g_strdup_printf ("Store-Era: %d\r\n", era) : NULL;
  char *fields
      = g_strconcat ("Content-Type: application/json\r\n", era_field, NULL);
  cs_exchange_answer (exchange, status, fields, cs_str_of (text), false);
  g_free (fields);
  g_free (era_field);
  free (text);
  json_decref (body);
}

/* The value of the parameter NAME in the query of TARGET, "" if there is none;
   the caller frees it.  */
static char *
query_parameter (cs_str_t target, const char *name)
{
  char *target_text = cs_str_dup (target);
  char *query = strchr (target_text, '?');
  char **parameters = g_strsplit (query ? query + 1 : "", "&", -1);
  char *value = NULL;
  size_t len = strlen (name);
  for (char **parameter = parameters; *parameter && !value; parameter++)
    if (strncmp (*parameter, name, len) == 0 && (*parameter)[len] == '=')
      value = g_strdup (*parameter + len + 1);
  g_strfreev (parameters);
  g_free (target_text);
  return value ? value : g_strdup ("");
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
row_to_json (const row_t *row)
{
  json_t *json = json_pack ("{s:s,s:s,s:s,s:I}", "table", row->table, "part",
                            "", "key", row->key, "ver", row->version);
  if (row->value)
    json_object_set_new (json, "value", json_string (row->value));
  else
    json_object_set_new (json, "tombstone", json_true ());
  return json;
}

/* The answer with those of ALL, rows or changes, that are of TABLE and later
   than AFTER_VERSION, including those that were removed if INCLUDE_REMOVED. */
static json_t *
rows_to_json (const GPtrArray *all, const char *table,
              json_int_t after_version, bool include_removed)
{
  json_t *list = json_array ();
  for (guint i = 0; i < all->len; i++)
    {
      const row_t *row = all->pdata[i];
      if (strcmp (row->table, table) == 0 && row->version > after_version
          && (include_removed || row->value))
        json_array_append_new (list, row_to_json (row));
    }
  return json_pack ("{s:o,s:b,s:I,s:s}", "rows", list, "hasMore", 0, "ver",
                    newest_version, "now", "1ms");
}

static void
free_long_poll (uv_handle_t *handle)
{
  long_poll_t *long_poll = handle->data;
  g_free (long_poll->table);
  g_free (long_poll);
}

/* Answer LONG_POLL with the changes so far, and free it.  */
static void
end_long_poll (long_poll_t *long_poll)
{
  if (long_poll->exchange && away)
    answer_json (long_poll->exchange, 503, json_object ());
  else if (long_poll->exchange)
    answer_json (long_poll->exchange, 200,
                 rows_to_json (changes, long_poll->table,
                               long_poll->after_version, true));
  g_ptr_array_remove_fast (long_polls, long_poll);
  uv_close ((uv_handle_t *)&long_poll->timer, free_long_poll);
}

static void
on_timeout (uv_timer_t *timer)
{
  end_long_poll (timer->data);
}

/* End all long polls for changes of TABLE.  */
static void
end_long_polls (const char *table)
{
  for (guint i = long_polls->len; i-- > 0;)
    {
      long_poll_t *long_poll = long_polls->pdata[i];
      if (strcmp (long_poll->table, table) == 0)
        end_long_poll (long_poll);
    }
}

static void
on_return (uv_timer_t *timer)
{
  away = false;
  era++;
  uv_close ((uv_handle_t *)timer, (uv_close_cb)g_free);
}

/* Undo all transactions after VERSION.  */
static void
go_back_to (json_int_t version)
{
  newest_version = version;
  while (changes->len
         && ((row_t *)changes->pdata[changes->len - 1])->version > version)
    g_ptr_array_set_size (changes, (gint)changes->len - 1);
  for (guint i = 0; i < rows->len; i++)
    {
      row_t *row = rows->pdata[i];
      g_clear_pointer (&row->value, g_free);
      row->version = 0;
    }
  for (guint i = 0; i < changes->len; i++)
    {
      const row_t *change = changes->pdata[i];
      row_t *row = find_row (change->table, change->key);
      g_free (row->value);
      row->value = g_strdup (change->value);
      row->version = change->version;
    }
}

/* The newest transaction that is older than MS, or the first.  */
static json_int_t
version_before (uint64_t ms)
{
  json_int_t version = 1;
  for (guint i = 0; i < changes->len; i++)
    {
      const row_t *change = changes->pdata[i];
      if (change->changed_at + ms < uv_now (&loop))
        version = MAX (version, change->version);
    }
  return version;
}

static void
handle_drill (cs_exchange_t *exchange)
{
  cs_str_t target = exchange->request.request_target;
  char *to = query_parameter (target, "to"),
       *back_ms = query_parameter (target, "back_ms"),
       *away_ms = query_parameter (target, "away_ms");
  uv_timer_t *timer = g_new0 (uv_timer_t, 1);
  away = true;
  while (long_polls->len)
    end_long_poll (long_polls->pdata[0]);
  go_back_to (
      MIN (newest_version,
           *to ? atoll (to) : version_before ((uint64_t)atoi (back_ms))));
  uv_timer_init (&loop, timer);
  uv_timer_start (timer, on_return, (uint64_t)atoi (away_ms), 0);
  answer_json (exchange, 200,
               json_pack ("{s:b,s:I}", "drill", 1, "ver", newest_version));
  g_free (to);
  g_free (back_ms);
  g_free (away_ms);
}

static void
answer_number (cs_exchange_t *exchange, json_int_t number)
{
  char *text = g_strdup_printf ("%" JSON_INTEGER_FORMAT "\n", number);
  cs_exchange_answer (exchange, 200, NULL, cs_str_of (text), false);
  g_free (text);
}

static void
handle_call_count (cs_exchange_t *exchange)
{
  answer_number (exchange, calls);
  calls = 0;
}

/* Answer with the changes after the requested version, at once if there are
   some, else when there are or when the requested time has passed.  */
static void
handle_feed (cs_exchange_t *exchange)
{
  cs_str_t target = exchange->request.request_target;
  char *after_version = query_parameter (target, "after"),
       *wait_ms = query_parameter (target, "waitMs");
  if (atoll (after_version) > newest_version)
    {
      answer_json (exchange, 410, json_object ());
      g_free (after_version);
      g_free (wait_ms);
      return;
    }
  long_poll_t *long_poll = g_new0 (long_poll_t, 1);
  long_poll->exchange = exchange;
  long_poll->table = query_parameter (target, "table");
  long_poll->after_version = atoll (after_version);
  long_poll->timer.data = long_poll;
  exchange->user = long_poll;
  uv_timer_init (&loop, &long_poll->timer);
  g_ptr_array_add (long_polls, long_poll);
  json_t *changed_rows = rows_to_json (changes, long_poll->table,
                                       long_poll->after_version, true);
  if (json_array_size (json_object_get (changed_rows, "rows")))
    end_long_poll (long_poll);
  else
    uv_timer_start (&long_poll->timer, on_timeout,
                    (uint64_t)CLAMP (atoi (wait_ms), 1, LONG_POLL_MAX_MS), 0);
  json_decref (changed_rows);
  g_free (after_version);
  g_free (wait_ms);
}

/* The string NAME of OBJECT; "" if there is none.  */
static const char *
string_member (const json_t *object, const char *name)
{
  const char *text = json_string_value (json_object_get (object, name));
  return text ? text : "";
}

/* Set the row that ENTRY names to VALUE; NULL removes it.  */
static void
put_row (const json_t *entry, const char *value)
{
  const char *table = string_member (entry, "table"),
             *key = string_member (entry, "key");
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
  row->version = newest_version;
  row_t *change = g_new0 (row_t, 1);
  *change = (row_t){ .table = row->table,
                     .key = row->key,
                     .value = g_strdup (value),
                     .version = newest_version,
                     .changed_at = uv_now (&loop) };
  g_ptr_array_add (changes, change);
}

/* Apply a transaction if all expected versions hold, else answer 412 with the
   current rows of its conditions.  */
static void
handle_transaction (cs_exchange_t *exchange)
{
  json_t *root = json_loadb (exchange->request.body->str,
                             exchange->request.body->len, 0, NULL);
  const json_t *expected = json_object_get (root, "expectedRev");
  const json_t *puts = json_object_get (root, "puts");
  const json_t *removed = json_object_get (root, "remove");
  json_t *current_rows = json_array ();
  bool conditions_hold = true;
  for (size_t i = 0; i < json_array_size (expected); i++)
    {
      const json_t *entry = json_array_get (expected, i);
      const row_t *row = find_row (string_member (entry, "table"),
                                   string_member (entry, "key"));
      json_int_t version = row && row->value ? row->version : 0;
      conditions_hold
          &= version == json_integer_value (json_object_get (entry, "ver"));
      if (version)
        json_array_append_new (current_rows, row_to_json (row));
    }
  newest_version += conditions_hold;
  for (size_t i = 0; conditions_hold && i < json_array_size (puts); i++)
    put_row (json_array_get (puts, i),
             string_member (json_array_get (puts, i), "value"));
  for (size_t i = 0; conditions_hold && i < json_array_size (removed); i++)
    put_row (json_array_get (removed, i), NULL);
  answer_json (exchange, conditions_hold ? 200 : 412,
               json_pack ("{s:o,s:I,s:s}", "rows", current_rows, "ver",
                          newest_version, "now", "1ms"));
  /* Only puts end long polls here.  A row that a transaction removes is
     reported with the next put to its table, or when the poll times out.  */
  for (size_t i = 0; conditions_hold && i < json_array_size (puts); i++)
    end_long_polls (string_member (json_array_get (puts, i), "table"));
  json_decref (root);
}

static void
on_table_request (void *user, cs_exchange_t *exchange)
{
  cs_str_t target = exchange->request.request_target;
  (void)user;
  calls += cs_str_has_prefix (target, CS_STR ("/api/"));
  if (cs_str_has_prefix (target, CS_STR ("/standin/drill")))
    handle_drill (exchange);
  else if (cs_str_has_prefix (target, CS_STR ("/standin/version")))
    answer_number (exchange, newest_version);
  else if (cs_str_has_prefix (target, CS_STR ("/standin/calls")))
    handle_call_count (exchange);
  else if (away)
    answer_json (exchange, 503, json_object ());
  else if (cs_str_has_prefix (target, CS_STR ("/api/rows-tx")))
    handle_transaction (exchange);
  else if (cs_str_has_prefix (target, CS_STR ("/api/rows-feed")))
    handle_feed (exchange);
  else if (cs_str_has_prefix (target, CS_STR ("/api/rows-get")))
    {
      char *table = query_parameter (target, "table");
      answer_json (exchange, 200, rows_to_json (rows, table, 0, false));
      g_free (table);
    }
  else
    cs_exchange_answer (exchange, 404, NULL, CS_STR (""), false);
}

static void
on_caller_disconnected (void *user, cs_exchange_t *exchange)
{
  long_poll_t *long_poll = exchange->user;
  (void)user;
  if (long_poll)
    long_poll->exchange = NULL;
}

/* A simulated backend server.  */
typedef struct
{
  const char *name;
  unsigned run_count;
} backend_t;

static void
on_backend_request (void *user, cs_exchange_t *exchange)
{
  backend_t *backend = user;
  cs_str_t id = cs_http1_message_field (&exchange->request, "attempt-id");
  if (cs_str_equal (exchange->request.request_target, CS_STR ("/count")))
    {
      char *text = g_strdup_printf ("%u", backend->run_count);
      cs_exchange_answer (exchange, 200, NULL, cs_str_of (text), false);
      g_free (text);
      return;
    }
  if (cs_str_equal (exchange->request.request_target, CS_STR ("/health")))
    {
      /* The server "sN" of tests/sidecar.t reports itself as the instance
         "iN".  */
      char *fields
          = g_strdup_printf ("Instance-Id: i%s\r\n", backend->name + 1);
      cs_exchange_answer (exchange, 200, fields, CS_STR (""), false);
      g_free (fields);
      return;
    }
  backend->run_count++;
  char *fields = g_strdup_printf ("Attempt-Id: %.*s\r\nResponse-Seal: s\r\n",
                                  (int)id.len, id.data ? id.data : "");
  cs_exchange_answer (exchange, 200, fields, cs_str_of (backend->name), false);
  g_free (fields);
}

/* Listen on PORT of loopback.  Exits on failure.  */
static void
start_server (const char *port, const cs_http1_server_handler_t *handler,
              void *user)
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
  static const cs_http1_server_handler_t table_handler
      = { .request_received = on_table_request,
          .caller_disconnected = on_caller_disconnected };
  static const cs_http1_server_handler_t backend_handler
      = { .request_received = on_backend_request };
  signal (SIGPIPE, SIG_IGN);
  uv_loop_init (&loop);
  ctx = cs_ctx_new (NULL, cs_clock_boottime (), 1);
  rows = g_ptr_array_new ();
  changes = g_ptr_array_new ();
  long_polls = g_ptr_array_new ();
  for (int i = 1; i < argc; i++)
    if (g_str_has_prefix (argv[i], "--port="))
      start_server (argv[i] + strlen ("--port="), &table_handler, NULL);
    else if (strcmp (argv[i], "--no-era") == 0)
      names_era = false;
    else if (g_str_has_prefix (argv[i], "--era="))
      era = atoi (argv[i] + strlen ("--era="));
    else if (g_str_has_prefix (argv[i], "--servers="))
      for (char **server_argument
           = g_strsplit (argv[i] + strlen ("--servers="), ",", -1);
           *server_argument; server_argument++)
        {
          char **pair = g_strsplit (*server_argument, ":", 2);
          backend_t *backend = g_new0 (backend_t, 1);
          backend->name = pair[1];
          start_server (pair[0], &backend_handler, backend);
        }
  return uv_run (&loop, UV_RUN_DEFAULT);
}
