/* The platform's adapter: its decoders, the table client against a fake table
   service that fails, answers malformed bodies or does not answer, and deltas
   between values of a row.  */
#include <string.h>

#include "../platform/decode.h"
#include "cardamom/delta.h"
#include "cardamom/registry.h"
#include "cardamom/server.h"
#include "sockets.h"

static cs_ctx_t *ctx;

static const cs_adapter_vtable_t *
adapter (void)
{
  const void *vtable;
  g_assert_cmpint (
      cs_plugin_find (ctx, CS_PLUGIN_ADAPTER, "mesh-platform", &vtable), ==,
      CS_OK);
  return vtable;
}

#define ROUTE(extra)                                                          \
  "{\"version\":\"0000000c\",\"services\":{\"s\":{},\"t\":{}},\"routes\":"    \
  "{\"r\":{\"host\":\"h\",\"prefix\":\"/p/\",\"kind\":\"safe\"," extra "}}}"

#define WARMUP(rate)                                                          \
  "{\"version\":\"0000000c\",\"services\":{\"s\":{\"warmupPerS\":" rate       \
  "}},\"routes\":{\"r\":{\"host\":\"h\",\"prefix\":\"/p/\",\"kind\":"         \
  "\"safe\",\"timeout\":\"1s\",\"service\":\"s\"}}}"

/* What a row evacuates, and when the server started that deregisters.  */
static void
test_places (void)
{
  static const struct
  {
    const char *key, *dc;
  } keys[] = { { "evacuate/a", "a" },    { "evacuate/", NULL },
               { "evacuate", NULL },     { "config", NULL },
               { "rollout/desk", NULL }, { "evacuate/a/b", "a/b" } };
  static const struct
  {
    const char *body;
    int64_t started_ms;
  } leaves[] = { { "{\"born\":77}", 77 },
                 { "", 0 },
                 { "{}", 0 },
                 { "{\"born\":-1}", 0 },
                 { "{\"born\":\"7\"}", 0 },
                 { "[[[", 0 } };
  for (size_t i = 0; i < G_N_ELEMENTS (keys); i++)
    {
      g_assert_cmpstr (adapter ()->evacuated_dc (keys[i].key), ==, keys[i].dc);
      g_assert_cmpint (adapter ()->classify_row (keys[i].key)
                           == CS_OPERATOR_ROW_EVACUATION,
                       ==, keys[i].dc != NULL);
    }
  for (size_t i = 0; i < G_N_ELEMENTS (leaves); i++)
    {
      int64_t started_ms = 5;
      adapter ()->decode_leave (ctx, cs_str_of (leaves[i].body), &started_ms);
      g_assert_cmpint (started_ms, ==, leaves[i].started_ms);
    }
}

#define TENANTS(tenants)                                                      \
  "{\"version\":\"0000000c\",\"services\":{},\"routes\":{},\"tenants\":"      \
  "{" tenants "}}"

/* Keys are replaced by their digests before a configuration is stored or sent.
   Guards against a key that stays in the text, readers that make different
   texts, and tenants that should keep the configuration out.  */
static void
test_tenants (void)
{
  static const struct
  {
    const char *tenants;
    bool valid;
  } cases[] = {
    { "\"a\":{\"apiKeys\":[\"k1\",\"k2\"],\"ratePerS\":5,\"burst\":5},"
      "\"b\":{\"apiKeys\":[\"k3\"],\"priority\":0}",
      true },
    { "\"a\":{\"apiKeys\":[]}", true },
    { "\"a\":{}", true },
    { "\"a\":{\"apiKeys\":[\"k1\"]},\"b\":{\"apiKeys\":[\"k1\"]}", false },
    { "\"a\":{\"ratePerS\":-1}", false },
    { "\"a\":{\"ratePerS\":\"5\"}", false },
    { "\"a\":{\"ratePerS\":1e300}", true },
    { "\"a\":{\"burst\":-0.5}", false },
    /* Digests are made here only.  */
    { "\"a\":{\"keyDigests\":[\"zz\"]}", true },
    { "\"a\\nb\":{}", false },
  };
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      char *text = g_strconcat (TENANTS (""), NULL);
      char **parts = g_strsplit (text, "\"tenants\":{", 2);
      char *config = g_strconcat (parts[0], "\"tenants\":{", cases[i].tenants,
                                  parts[1], NULL);
      GString *redacted = adapter ()->redact_config (cs_str_of (config));
      GString *again = adapter ()->redact_config (cs_str_of (config));
      cs_snapshot_t *snapshot = NULL;
      g_test_message ("%s", cases[i].tenants);
      g_assert_nonnull (redacted);
      g_assert_cmpstr (redacted->str, ==, again->str);
      g_assert_null (strstr (redacted->str, "k1"));
      g_assert_null (strstr (redacted->str, "apiKeys"));
      cs_status_t status = adapter ()->decode_config (
          ctx, cs_str_of_gstring (redacted), &snapshot);
      g_assert_cmpint (status, ==, cases[i].valid ? CS_OK : CS_BAD_INPUT);
      if (i == 0)
        {
          cs_key_digest_t digest = cs_key_digest (CS_STR ("k2"));
          const cs_workspace_t *a
              = cs_workspaces_find_key (snapshot->workspaces, &digest);
          g_assert_cmpstr (a->name, ==, "a");
          g_assert_cmpfloat (a->per_s, ==, 5);
          g_assert_false (a->has_priority);
        }
      cs_snapshot_drop (ctx, snapshot);
      g_string_free (redacted, TRUE);
      g_string_free (again, TRUE);
      g_strfreev (parts);
      g_free (config);
      g_free (text);
    }
  g_assert_null (adapter ()->redact_config (CS_STR (TENANTS (""))));
  g_assert_null (adapter ()->redact_config (CS_STR ("{")));
}

static void
test_config (void)
{
  static const struct
  {
    const char *what, *text;
    bool valid;
  } cases[] = {
    { "valid", ROUTE ("\"service\":\"s\",\"timeout\":\"1.5s\""), true },
    { "unknown fields",
      ROUTE ("\"service\":\"s\",\"timeout\":\"1s\",\"new\":{}"), true },
    { "split",
      ROUTE ("\"timeout\":\"1s\",\"trafficSplit\":[{\"service\":\"s\","
             "\"weight\":9},{\"service\":\"t\",\"weight\":1}]"),
      true },
    { "split to an unknown service",
      ROUTE ("\"timeout\":\"1s\",\"trafficSplit\":[{\"service\":\"u\","
             "\"weight\":9}]"),
      false },
    { "unknown service", ROUTE ("\"service\":\"u\",\"timeout\":\"1s\""),
      false },
    { "no timeout", ROUTE ("\"service\":\"s\""), false },
    { "regions",
      ROUTE ("\"service\":\"s\",\"timeout\":\"1s\","
             "\"allowedRegions\":[\"west\"]"),
      true },
    { "no region in the list",
      ROUTE ("\"service\":\"s\",\"timeout\":\"1s\",\"allowedRegions\":[]"),
      true },
    { "regions that are no list",
      ROUTE ("\"service\":\"s\",\"timeout\":\"1s\","
             "\"allowedRegions\":\"west\""),
      false },
    { "a region that is no name",
      ROUTE ("\"service\":\"s\",\"timeout\":\"1s\","
             "\"allowedRegions\":[7]"),
      false },
    { "warm-up rate", WARMUP ("5.3"), true },
    { "warm-up rate of 0", WARMUP ("0"), false },
    { "negative warm-up rate", WARMUP ("-1"), false },
    { "warm-up rate of another type", WARMUP ("\"5\""), false },
    { "timeout without a unit", ROUTE ("\"service\":\"s\",\"timeout\":\"1\""),
      false },
    { "timeout below zero", ROUTE ("\"service\":\"s\",\"timeout\":\"-1s\""),
      false },
    { "no service", ROUTE ("\"timeout\":\"1s\""), false },
    { "cut short", "{\"version\":\"0000000c\",\"rou", false },
    { "no version", "{\"services\":{},\"routes\":{}}", false },
    { "version that is no number",
      "{\"version\":\"zz\",\"services\":{},\"routes\":{}}", false },
    { "array instead of an object", "[]", false },
    { "empty text", "", false },
  };
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      cs_snapshot_t *snapshot = NULL;
      g_test_message ("%s", cases[i].what);
      cs_status_t status = adapter ()->decode_config (
          ctx, cs_str_of (cases[i].text), &snapshot);
      g_assert_cmpint (status, ==, cases[i].valid ? CS_OK : CS_BAD_INPUT);
      if (status != CS_OK)
        continue;
      g_assert_cmpint (snapshot->version, ==, 12);
      const cs_route_t *route = cs_snapshot_find_route (
          snapshot, CS_STR ("H"), CS_STR ("/p/x"), CS_METHODS_ALL);
      g_assert_nonnull (route);
      g_assert_true (route->idempotent);
      g_assert_null (cs_snapshot_find_route (snapshot, CS_STR ("h"),
                                             CS_STR ("/p"), CS_METHODS_ALL));
      cs_snapshot_drop (ctx, snapshot);
    }
}

#define REPORT(extra)                                                         \
  "{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"version\":\"v1\"," extra  \
  "}"

static void
test_report (void)
{
  static const struct
  {
    const char *what, *text;
    bool valid, draining;
  } cases[] = {
    { "ready",
      REPORT ("\"slots\":8,\"state\":\"ready\",\"sequence\":4,\"born\":7"),
      true, false },
    { "draining", REPORT ("\"slots\":8,\"state\":\"draining\",\"sequence\":4"),
      true, true },
    { "unknown state",
      REPORT ("\"slots\":8,\"state\":\"asleep\",\"sequence\":4"), false,
      false },
    { "no sequence", REPORT ("\"slots\":8,\"state\":\"ready\""), false,
      false },
    { "slots of another type",
      REPORT ("\"slots\":\"8\",\"state\":\"ready\",\"sequence\":4"), false,
      false },
    { "zero slots", REPORT ("\"slots\":0,\"state\":\"ready\",\"sequence\":4"),
      false, false },
    { "start of another type",
      REPORT ("\"slots\":8,\"state\":\"ready\",\"sequence\":4,"
              "\"born\":\"7\""),
      false, false },
    { "cut short", "{\"service\":\"s\",\"addr", false, false },
    { "not JSON", "\x81\xa1", false, false },
  };
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      cs_backend_report_t report;
      g_test_message ("%s", cases[i].what);
      g_assert_cmpint (adapter ()->decode_report (
                           ctx, "i-1", cs_str_of (cases[i].text), &report),
                       ==, cases[i].valid ? CS_OK : CS_BAD_INPUT);
      if (!cases[i].valid)
        continue;
      g_assert_cmpint (report.draining, ==, cases[i].draining);
      g_assert_cmpint (report.slots, ==, 8);
      g_assert_cmpstr (report.instance, ==, "i-1");
    }
}

/* A report of another writer with values out of range names no server; one
   with all values at their bounds does.  */
static void
test_odd_report (void)
{
#define ODD(address, slots, sequence, born)                                   \
  "{\"service\":\"s\",\"address\":\"" address "\",\"version\":\"v1\","        \
  "\"state\":\"ready\",\"slots\":" slots ",\"sequence\":" sequence            \
  ",\"born\":" born "}"
  static const struct
  {
    const char *what, *text;
  } cases[] = {
    { "port out of range", ODD ("10.0.0.1:65536", "8", "1", "7") },
    { "port 0", ODD ("10.0.0.1:0", "8", "1", "7") },
    { "no port", ODD ("10.0.0.1", "8", "1", "7") },
    { "no address", ODD ("somewhere:80", "8", "1", "7") },
    { "slots too large", ODD ("10.0.0.1:80", "4000000000000", "1", "7") },
    { "sequence too large",
      ODD ("10.0.0.1:80", "8", "9223372036854775807", "7") },
    { "sequence below 0", ODD ("10.0.0.1:80", "8", "-1", "7") },
    { "start in the far future",
      ODD ("10.0.0.1:80", "8", "1", "9223372036854775807") },
    { "start below 0", ODD ("10.0.0.1:80", "8", "1", "-7") },
    { "no integer at all", ODD ("10.0.0.1:80", "8", "1", "1e999") },
    { "beyond 64 bits",
      ODD ("10.0.0.1:80", "8", "99999999999999999999999", "7") },
  };
  cs_backend_report_t report;
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      g_test_message ("%s", cases[i].what);
      g_assert_cmpint (adapter ()->decode_report (
                           ctx, "i-1", cs_str_of (cases[i].text), &report),
                       ==, CS_BAD_INPUT);
    }
  GString *nested = g_string_new ("{\"service\":");
  for (int i = 0; i < 100000; i++)
    g_string_append_c (nested, '[');
  g_assert_cmpint (adapter ()->decode_report (
                       ctx, "i-1", cs_str_of_gstring (nested), &report),
                   ==, CS_BAD_INPUT);
  g_string_free (nested, TRUE);
}

/* The node follows its server after such a report.  */
static void
test_odd_report_hides_server (void)
{
  static const char *const odd[]
      = { ODD ("10.0.0.1:80", "8", "1", "9223372036854775807"),
          ODD ("10.0.0.1:80", "8", "9223372036854775807", "7"),
          ODD ("10.0.0.1:65536", "8", "5", "8") };
  for (size_t i = 0; i < G_N_ELEMENTS (odd); i++)
    {
      cs_backend_t backend = { 0 };
      cs_backend_report_t report;
      if (adapter ()->decode_report (ctx, "i-1", cs_str_of (odd[i]), &report)
          == CS_OK)
        cs_backend_report (&backend, &report, 0);
      g_assert_cmpint (adapter ()->decode_report (
                           ctx, "i-1",
                           CS_STR (ODD ("10.0.0.1:80", "8", "2", "7")),
                           &report),
                       ==, CS_OK);
      g_assert_cmpint (cs_backend_report (&backend, &report, 1), ==,
                       CS_REPORT_ACCEPTED);
      g_assert_cmpstr (backend.report.address, ==, "10.0.0.1:80");
    }
}

static void
test_move (void)
{
  cs_move_request_t request;
  char *key, *text;
  g_assert_cmpint (adapter ()->decode_move_request (
                       ctx,
                       CS_STR ("{\"service\":\"s\",\"to\":\"v2\","
                               "\"over\":\"12s\"}"),
                       &request),
                   ==, CS_OK);
  g_assert_cmpint (request.duration, ==, 12 * CS_SEC);
  g_assert_cmpint (adapter ()->decode_move_request (
                       ctx, CS_STR ("{\"service\":\"s\"}"), &request),
                   ==, CS_BAD_INPUT);
  adapter ()->encode_move_status ("s", "v2", CS_MOVE_ROLLED_BACK, &key, &text);
  g_assert_cmpstr (key, ==, "rollout/s");
  g_assert_nonnull (strstr (text, "\"state\":\"rolled_back\""));
  g_free (key);
  g_free (text);
}

/* A table service whose answers the test sets, and the last result of the
   client.  */
typedef struct
{
  uv_loop_t loop;
  cs_http1_server_t *server;
  cs_table_t *table;
  unsigned answer_status; /* Of the answers; 0: do not answer.  */
  const char *answer_body;
  const char *next_page; /* Answer to a read from a key on; NULL: none.  */
  cs_status_t result;
  guint row_count;
  cs_revision_t revision;
  int completed_calls;
} fake_table_t;

static void
on_table_request (void *user, cs_exchange_t *exchange)
{
  fake_table_t *fake = user;
  cs_str_t target = exchange->request.request_target;
  bool next_page
      = fake->next_page
        && g_strstr_len (target.data, (gssize)target.len, "&from=node%2Fb");
  if (fake->answer_status)
    cs_exchange_answer (
        exchange, fake->answer_status, NULL,
        cs_str_of (next_page ? fake->next_page : fake->answer_body), false);
}

static void
on_client_disconnected (void *user, cs_exchange_t *exchange)
{
  (void)user, (void)exchange;
}

static void
on_table_result (void *user, cs_status_t status, GPtrArray *rows,
                 cs_revision_t revision)
{
  fake_table_t *fake = user;
  fake->result = status;
  fake->row_count = rows->len;
  fake->revision = revision;
  fake->completed_calls++;
}

/* Loops and tables; they live as long as the process.  */
static GPtrArray *never_freed;

static fake_table_t *
new_fake_table (void)
{
  static const cs_http1_server_handler_t handler
      = { .request_received = on_table_request,
          .caller_disconnected = on_client_disconnected };
  static unsigned port = 23100;
  fake_table_t *fake = g_new0 (fake_table_t, 1);
  char *address = NULL;
  g_ptr_array_add (never_freed, fake);
  uv_loop_init (&fake->loop);
  do
    {
      g_free (address);
      address = g_strdup_printf ("127.0.0.1:%u", port++);
    }
  while (cs_http1_server_new (ctx, &fake->loop, address, &handler, fake,
                              &fake->server)
         != CS_OK);
  g_assert_cmpint (
      adapter ()->open_table (ctx, &fake->loop, address, &fake->table), ==,
      CS_OK);
  g_free (address);
  return fake;
}

static void
wait_for_result (fake_table_t *fake)
{
  int before = fake->completed_calls;
  while (fake->completed_calls == before)
    uv_run (&fake->loop, UV_RUN_ONCE);
}

#define ROW                                                                   \
  "{\"table\":\"op\",\"part\":\"\",\"key\":\"config\","                       \
  "\"value\":\"YWI=\",\"ver\":5}"

static void
test_table_faults (void)
{
  static const struct
  {
    const char *what;
    unsigned status;
    const char *body;
    cs_status_t read, commit;
    guint rows;
  } cases[] = {
    { "rows", 200, "{\"rows\":[" ROW "],\"ver\":9}", CS_OK, CS_OK, 1 },
    { "malformed rows are left out", 200,
      "{\"rows\":[" ROW ",{\"table\":\"op\"},7,{\"table\":\"other\","
      "\"key\":\"k\"}],\"ver\":9}",
      CS_OK, CS_OK, 1 },
    { "conflict", 412, "{\"rows\":[" ROW "],\"ver\":9}", CS_CONFLICT,
      CS_CONFLICT, 1 },
    { "history gone", 410, "{}", CS_NOT_FOUND, CS_NOT_FOUND, 0 },
    { "too many requests", 429, "", CS_LIMIT_EXCEEDED, CS_LIMIT_EXCEEDED, 0 },
    { "service unavailable", 503, "", CS_UNAVAILABLE, CS_UNAVAILABLE, 0 },
    { "denied", 403, "", CS_DENIED, CS_DENIED, 0 },
    { "another failure may have written", 500, "", CS_UNAVAILABLE, CS_UNKNOWN,
      0 },
    { "answer that is not JSON", 200, "<html>", CS_UNAVAILABLE, CS_UNKNOWN,
      0 },
    { "no answer", 0, NULL, CS_UNAVAILABLE, CS_UNKNOWN, 0 },
  };
  fake_table_t *fake = new_fake_table ();
  cs_table_write_t put
      = { .keyspace = CS_KEYSPACE_MESH, .key = "k", .value = CS_STR ("v") };
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      g_test_message ("%s", cases[i].what);
      fake->answer_status = cases[i].status;
      fake->answer_body = cases[i].body;
      fake->table->vtable->read (fake->table, CS_KEYSPACE_OPERATOR,
                                 on_table_result, fake);
      wait_for_result (fake);
      g_assert_cmpint (fake->result, ==, cases[i].read);
      g_assert_cmpuint (fake->row_count, ==, cases[i].rows);
      fake->table->vtable->commit (fake->table, NULL, 0, &put, 1,
                                   on_table_result, fake);
      wait_for_result (fake);
      g_assert_cmpint (fake->result, ==, cases[i].commit);
    }
}

#define MESH_ROW(key)                                                         \
  "{\"table\":\"mesh\",\"part\":\"\",\"key\":\"" key "\","                    \
  "\"value\":\"YWI=\",\"ver\":5}"

/* A table with more rows than one answer holds is read whole, at the revision
   of the first answer, and each row once.  */
static void
test_table_read_in_part (void)
{
  fake_table_t *fake = new_fake_table ();
  fake->answer_status = 200;
  fake->answer_body = "{\"rows\":[" MESH_ROW ("node/a") "," MESH_ROW (
      "node/b") "],\"hasMore\":true,\"ver\":9}";
  fake->next_page = "{\"rows\":[" MESH_ROW ("node/b") "," MESH_ROW (
      "node/c") "," MESH_ROW ("node/d") "],\"hasMore\":false,\"ver\":12}";
  fake->table->vtable->read (fake->table, CS_KEYSPACE_MESH, on_table_result,
                             fake);
  wait_for_result (fake);
  g_assert_cmpint (fake->result, ==, CS_OK);
  g_assert_cmpuint (fake->row_count, ==, 4);
  g_assert_cmpint (fake->revision.version, ==, 9);
}

#define TABLE_OK "HTTP/1.1 200 OK\r\n"
#define TABLE_ROWS "{\"rows\":[" ROW "],\"ver\":9}"
#define TABLE_TWO_ROWS                                                        \
  TABLE_OK                                                                    \
  "\r\n{\"rows\":[" MESH_ROW ("node/a") "," MESH_ROW (                        \
      "node/b") "],"                                                          \
                "\"hasMore\":true}"
#define TABLE_CHUNKED                                                         \
  TABLE_OK "Connection: close\r\nTransfer-Encoding: chunked\r\n\r\n"

/* How the table service ends a connection.  */
typedef enum
{
  END_CLOSE,
  END_RESET,
  END_RESET_AT_ONCE /* Before the client has read any of the answer.  */
} table_end_t;

/* Answer the next request at LISTENER with BYTES and the END of its
 * connection.
 */
static void
answer_table_call (fake_table_t *fake, int listener, const char *bytes,
                   table_end_t end)
{
  while (!readable (listener, 0))
    uv_run (&fake->loop, UV_RUN_NOWAIT);
  int server = accept_one (listener);
  while (!readable (server, 0))
    uv_run (&fake->loop, UV_RUN_NOWAIT);
  g_free (receive_message (server));
  send_text (server, bytes);
  for (int ms = 0; end != END_RESET_AT_ONCE && ms < 20; ms++)
    {
      uv_run (&fake->loop, UV_RUN_NOWAIT);
      g_usleep (1000);
    }
  if (end == END_CLOSE)
    close (server);
  else
    reset_connection (server);
}

/* Nothing is used of an answer that is not whole, or none in the protocol, of
   a refusal either, nor of a page after which the next one is cut.  */
static void
test_table_answer_cut (void)
{
  static const struct
  {
    const char *what, *bytes;
    table_end_t end;
    bool whole;
  } cases[] = {
    { "no length", TABLE_OK "\r\n" TABLE_ROWS, END_CLOSE, true },
    { "no length, cut", TABLE_OK "\r\n{\"rows\":[" ROW, END_CLOSE, false },
    { "no length, reset", TABLE_OK "\r\n" TABLE_ROWS, END_RESET, false },
    { "no length, reset at once", TABLE_OK "\r\n" TABLE_ROWS,
      END_RESET_AT_ONCE, false },
    { "cut in its length", TABLE_OK "Content-Length: 9999\r\n\r\n" TABLE_ROWS,
      END_CLOSE, false },
    { "reset in its length",
      TABLE_OK "Content-Length: 9999\r\n\r\n" TABLE_ROWS, END_RESET, false },
    { "refusal cut in its length",
      "HTTP/1.1 412 No\r\nContent-Length: 9999\r\n\r\n" TABLE_ROWS, END_CLOSE,
      false },
    { "refusal without a length, reset", "HTTP/1.1 412 No\r\n\r\n" TABLE_ROWS,
      END_RESET, false },
    { "chunks", TABLE_CHUNKED "2\r\n{}\r\n0\r\n\r\n", END_CLOSE, true },
    { "cut in chunks", TABLE_CHUNKED "2\r\n{}\r\n", END_CLOSE, false },
    { "malformed chunks", TABLE_CHUNKED "2\r\n{}XY0\r\n\r\n", END_CLOSE,
      false },
    { "malformed trailer", TABLE_CHUNKED "2\r\n{}\r\n0\r\nA B: c\r\n\r\n",
      END_CLOSE, false },
    { "status 000", "HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\n{}",
      END_CLOSE, false },
    { "status 2000", "HTTP/1.1 2000 OK\r\nContent-Length: 2\r\n\r\n{}",
      END_CLOSE, false },
    { "name with a blank", TABLE_OK "A B: c\r\nContent-Length: 2\r\n\r\n{}",
      END_CLOSE, false },
    { "name with a control byte",
      TABLE_OK "A\001: c\r\nContent-Length: 2\r\n\r\n{}", END_CLOSE, false },
    { "two lengths",
      TABLE_OK "Content-Length: 2\r\nContent-Length: 9\r\n\r\n{}", END_CLOSE,
      false },
  };
  fake_table_t *fake = g_new0 (fake_table_t, 1);
  unsigned port;
  int listener = listen_on_free_port (&port);
  cs_table_write_t put
      = { .keyspace = CS_KEYSPACE_MESH, .key = "k", .value = CS_STR ("v") };
  char *address = g_strdup_printf ("127.0.0.1:%u", port);
  g_ptr_array_add (never_freed, fake);
  uv_loop_init (&fake->loop);
  g_assert_cmpint (
      adapter ()->open_table (ctx, &fake->loop, address, &fake->table), ==,
      CS_OK);
  for (size_t i = 0; i < 2 * G_N_ELEMENTS (cases); i++)
    {
      size_t at = i / 2;
      bool commit = i % 2;
      g_test_message ("%s, commit: %d", cases[at].what, commit);
      fake->completed_calls = 0;
      if (commit)
        fake->table->vtable->commit (fake->table, NULL, 0, &put, 1,
                                     on_table_result, fake);
      else
        fake->table->vtable->read (fake->table, CS_KEYSPACE_OPERATOR,
                                   on_table_result, fake);
      answer_table_call (fake, listener, cases[at].bytes, cases[at].end);
      while (!fake->completed_calls)
        uv_run (&fake->loop, UV_RUN_ONCE);
      g_assert_cmpint (fake->result, ==,
                       cases[at].whole ? CS_OK
                       : commit        ? CS_UNKNOWN
                                       : CS_UNAVAILABLE);
      if (cases[at].whole)
        continue;
      g_assert_cmpuint (fake->row_count, ==, 0);
      g_assert_cmpint (fake->revision.version, ==, 0);
    }
  /* The second of two pages.  */
  fake->completed_calls = 0;
  fake->table->vtable->read (fake->table, CS_KEYSPACE_MESH, on_table_result,
                             fake);
  answer_table_call (fake, listener, TABLE_TWO_ROWS, END_CLOSE);
  answer_table_call (fake, listener, TABLE_OK "\r\n" TABLE_ROWS, END_RESET);
  while (!fake->completed_calls)
    uv_run (&fake->loop, UV_RUN_ONCE);
  g_assert_cmpint (fake->result, ==, CS_UNAVAILABLE);
  g_assert_cmpuint (fake->row_count, ==, 0);
  g_free (address);
  close (listener);
}

/* When the connection is refused, nothing was sent, so a commit cannot have
   taken effect.  */
static void
test_table_connection_refused (void)
{
  fake_table_t *fake = new_fake_table ();
  cs_table_t *table;
  cs_table_write_t put
      = { .keyspace = CS_KEYSPACE_MESH, .key = "k", .value = CS_STR ("v") };
  g_assert_cmpint (
      adapter ()->open_table (ctx, &fake->loop, "127.0.0.1:1", &table), ==,
      CS_OK);
  g_ptr_array_add (never_freed, table);
  table->vtable->commit (table, NULL, 0, &put, 1, on_table_result, fake);
  wait_for_result (fake);
  g_assert_cmpint (fake->result, ==, CS_UNAVAILABLE);
  g_assert_cmpint (
      adapter ()->open_table (ctx, &fake->loop, "nowhere", &table), ==,
      CS_BAD_INPUT);
}

/* A delta is small for a small change, and is rejected on another base.  */
static void
test_delta (void)
{
  GString *base = g_string_new (NULL), *got;
  for (int i = 0; i < 3000; i++)
    g_string_append_printf (base, "\"route-%x\":{\"timeout\":\"%dms\"},",
                            g_str_hash ("x") * (guint)i, i);
  GString *text = g_string_new (base->str);
  g_string_insert (text, 40000, "\"route-new\":{\"timeout\":\"1s\"},");
  GString *delta
      = cs_delta_make (cs_str_of_gstring (base), cs_str_of_gstring (text));
  g_assert_cmpuint (delta->len, <, 400);
  g_assert_cmpint (cs_delta_apply (ctx, cs_str_of_gstring (base),
                                   cs_str_of_gstring (delta), &got),
                   ==, CS_OK);
  g_assert_true (g_string_equal (got, text));
  g_string_free (got, TRUE);
  g_string_insert (base, 100, "other");
  g_assert_cmpint (cs_delta_apply (ctx, cs_str_of_gstring (base),
                                   cs_str_of_gstring (delta), &got),
                   ==, CS_CORRUPT);
  g_assert_cmpint (
      cs_delta_apply (ctx, CS_STR (""), CS_STR ("no delta"), &got), ==,
      CS_CORRUPT);
  g_string_free (base, TRUE);
  g_string_free (text, TRUE);
  g_string_free (delta, TRUE);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  ctx = cs_ctx_new (NULL, cs_clock_boottime (), 3);
  never_freed = g_ptr_array_new ();
  g_test_add_func ("/adapter/config", test_config);
  g_test_add_func ("/adapter/places", test_places);
  g_test_add_func ("/adapter/tenants", test_tenants);
  g_test_add_func ("/adapter/report", test_report);
  g_test_add_func ("/adapter/odd-report", test_odd_report);
  g_test_add_func ("/adapter/odd-report-hides-server",
                   test_odd_report_hides_server);
  g_test_add_func ("/adapter/move", test_move);
  g_test_add_func ("/adapter/table-faults", test_table_faults);
  g_test_add_func ("/adapter/table-read-in-part", test_table_read_in_part);
  g_test_add_func ("/adapter/table-answer-cut", test_table_answer_cut);
  g_test_add_func ("/adapter/table-gone", test_table_connection_refused);
  g_test_add_func ("/adapter/delta", test_delta);
  return g_test_run ();
}
