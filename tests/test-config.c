/* Configuration: documents, snapshots, changes and their acceptance.  */
#include <string.h>

#include "cardamom/cardamom.h"

static cs_ctx_t *
new_ctx (void)
{
  return cs_ctx_new (NULL, cs_clock_system (), 1);
}

/* Documents and what is wrong with them; NULL: nothing.  */
static const struct
{
  const char *path, *document, *error;
} documents[] = {
  { "/t/services/s", "{\"version\":\"v1\"}", NULL },
  { "/t/services/s", "{}", "/t/services/s: version: is missing; add it\n" },
  { "/t/services/s", "{\"version\":\"\"}",
    "/t/services/s: version: must not be empty\n" },
  { "/t/services/s", "{\"version\":\"v1\",\"timeout_ms\":0}",
    "/t/services/s: timeout_ms: must be a whole number from 1 to 600000\n" },
  { "/t/services/s", "{\"version\":7,\"colour\":\"red\"}",
    "/t/services/s: version: must be a string of at most 63 bytes\n"
    "/t/services/s: colour: is no field of this kind; remove it\n" },
  { "/t/routes/r", "{\"prefix\":\"/p\",\"service\":\"s\"}", NULL },
  { "/t/routes/r", "{\"prefix\":\"p\",\"service\":\"/u/services/s\"}",
    "/t/routes/r: prefix: must begin with '/'\n"
    "/t/routes/r: service: '/u/services/s' must be the name of a service of "
    "this team; other teams' paths cannot be referred to\n" },
  { "/t/routes/r",
    "{\"prefix\":\"/p\",\"service\":\"s\",\"methods\":[\"BREW\"]}",
    "/t/routes/r: methods: 'BREW' is no method; use GET, HEAD, POST, PUT, "
    "DELETE, PATCH or OPTIONS\n" },
  { "/t/routes/r", "{\"prefix\":\"/p\",\"service\":\"s\",\"methods\":[]}",
    "/t/routes/r: methods: must be a list such as [\"GET\", \"POST\"]\n" },
  { "/t/routes/r", "{\"prefix\":\"/p\",\"service\":\"s\",\"idempotent\":1}",
    "/t/routes/r: idempotent: must be true or false\n" },
  { "/t/moves/m",
    "{\"service\":\"s\",\"from\":\"v1\",\"to\":\"v1\",\"start\":"
    "\"2026-01-01T00:00:00Z\",\"deadline\":\"2025-01-01T00:00:00Z\"}",
    "/t/moves/m: to: must differ from the version in 'from'\n"
    "/t/moves/m: deadline: must be after 'start'\n" },
  { "/t/moves/m",
    "{\"service\":\"s\",\"from\":\"v1\",\"to\":\"v2\",\"start\":\"now\","
    "\"deadline\":\"2025-01-01T00:00:00Z\"}",
    "/t/moves/m: start: must be a time such as \"2026-12-04T10:00:00Z\"\n" },
  { "/t/nonsense/x", "{}",
    "'/t/nonsense/x' is no document path; write /TEAM/services/NAME, "
    "/TEAM/routes/NAME or /TEAM/moves/NAME with names of a-z, 0-9 and "
    "'-'\n" },
  { "/T/services/s", "{}",
    "'/T/services/s' is no document path; write /TEAM/services/NAME, "
    "/TEAM/routes/NAME or /TEAM/moves/NAME with names of a-z, 0-9 and "
    "'-'\n" },
};

static void
free_document (const char *path, void *object)
{
  if (strstr (path, "/services/"))
    cs_service_free (object);
  else if (strstr (path, "/routes/"))
    cs_route_free (object);
  else
    cs_move_free (object);
}

static void
test_documents (void)
{
  cs_ctx_t *ctx = new_ctx ();
  for (size_t i = 0; i < G_N_ELEMENTS (documents); i++)
    {
      GString *errors = g_string_new (NULL);
      void *object = NULL;
      json_t *json = json_loads (documents[i].document, 0, NULL);
      cs_status_t status
          = cs_document_parse (ctx, documents[i].path, json, &object, errors);
      const char *expected = documents[i].error ? documents[i].error : "";
      g_assert_cmpstr (errors->str, ==, expected);
      g_assert_cmpint (status, ==, *expected ? CS_BAD_INPUT : CS_OK);
      if (object)
        free_document (documents[i].path, object);
      json_decref (json);
      g_string_free (errors, TRUE);
    }
  cs_ctx_drop (ctx);
}

/* A snapshot from "PATH=DOCUMENT" lines; its errors, or "" when it is good. */
static char *
build_errors (cs_ctx_t *ctx, const char *const *lines,
              cs_snapshot_t **snapshot)
{
  cs_docs_t *docs = cs_docs_new (ctx);
  GString *errors = g_string_new (NULL);
  for (; *lines; lines++)
    {
      char **parts = g_strsplit (*lines, "=", 2);
      cs_docs_set (docs, parts[0], parts[1]);
      g_strfreev (parts);
    }
  *snapshot = NULL;
  cs_snapshot_build (ctx, 1, docs, snapshot, errors);
  return g_string_free (errors, FALSE);
}

#define SERVICE "/t/services/s={\"version\":\"v1\"}"
#define MOVE(from)                                                            \
  "{\"service\":\"s\",\"from\":\"" from                                       \
  "\",\"to\":\"v2\",\"start\":\"2026-01-01T00:00:00Z\",\"deadline\":"         \
  "\"2026-01-01T01:00:00Z\"}"

static const struct
{
  const char *lines[4];
  const char *errors;
} references[] = {
  { { SERVICE, "/t/routes/r={\"prefix\":\"/p\",\"service\":\"s\"}" }, "" },
  { { "/t/routes/r={\"prefix\":\"/p\",\"service\":\"s\"}" },
    "/t/routes/r: service: /t/services/s does not exist; create it before, or "
    "in the same change\n" },
  { { SERVICE, "/t/routes/a={\"prefix\":\"/p\",\"service\":\"s\"}",
      "/t/routes/b={\"prefix\":\"/p\",\"service\":\"s\"}" },
    "/t/routes/b: prefix: matches the same requests as /t/routes/a; change "
    "host, prefix or methods\n" },
  { { SERVICE, "/t/moves/m=" MOVE ("v1") }, "" },
  { { SERVICE, "/t/moves/m=" MOVE ("v0") },
    "/t/moves/m: from: the service runs version v1; write that version\n" },
};

static void
test_references (void)
{
  cs_ctx_t *ctx = new_ctx ();
  for (size_t i = 0; i < G_N_ELEMENTS (references); i++)
    {
      cs_snapshot_t *snapshot;
      char *errors = build_errors (ctx, references[i].lines, &snapshot);
      g_assert_cmpstr (errors, ==, references[i].errors);
      g_assert_cmpint (snapshot != NULL, ==, *errors == 0);
      cs_snapshot_drop (ctx, snapshot);
      g_free (errors);
    }
  cs_ctx_drop (ctx);
}

static void
test_routes (void)
{
  static const char *const lines[]
      = { SERVICE, "/t/routes/all={\"prefix\":\"/\",\"service\":\"s\"}",
          "/t/routes/long={\"prefix\":\"/a/b\",\"service\":\"s\"}",
          "/t/routes/host={\"host\":\"x.example\",\"prefix\":\"/a\","
          "\"methods\":[\"GET\"],\"service\":\"s\"}",
          NULL };
  static const struct
  {
    const char *host, *path;
    unsigned method;
    const char *route;
  } cases[] = {
    { "y", "/", CS_GET, "/t/routes/all" },
    { "y", "/a/b", CS_GET, "/t/routes/long" },
    { "y", "/a/b?q=1", CS_GET, "/t/routes/long" },
    { "y", "/a/b/c", CS_POST, "/t/routes/long" },
    { "y", "/a/bc", CS_GET, "/t/routes/all" },
    { "x.example", "/a/b", CS_GET, "/t/routes/host" },
    { "X.Example", "/a", CS_GET, "/t/routes/host" },
    { "x.example", "/a", CS_POST, "/t/routes/all" },
    { "x.example", "", CS_GET, NULL },
  };
  cs_ctx_t *ctx = new_ctx ();
  cs_snapshot_t *snapshot;
  g_free (build_errors (ctx, lines, &snapshot));
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      const cs_route_t *route
          = cs_snapshot_route (snapshot, cs_str_of (cases[i].host),
                               cs_str_of (cases[i].path), cases[i].method);
      g_assert_cmpstr (route ? route->path : NULL, ==, cases[i].route);
    }
  cs_snapshot_drop (ctx, snapshot);
  cs_ctx_drop (ctx);
}

static void
test_digest_and_change (void)
{
  cs_ctx_t *ctx = new_ctx ();
  cs_docs_t *a = cs_docs_new (ctx), *b = cs_docs_new (ctx);
  cs_docs_set (a, "/t/services/x", "1");
  cs_docs_set (a, "/t/services/y", "2");
  cs_docs_set (b, "/t/services/y", "0");
  cs_docs_set (b, "/t/services/y", "2");
  cs_docs_set (b, "/t/services/x", "1");
  g_assert_cmpuint (cs_docs_digest (a), ==, cs_docs_digest (b));
  cs_change_t *change = cs_change_new (), *decoded;
  change->version = 7;
  change->operation = g_strdup ("op");
  change->team = g_strdup ("t");
  cs_change_add (change, "/t/services/x", NULL);
  cs_docs_set (a, "/t/services/x", NULL);
  change->digest = cs_docs_digest (a);
  char *text = cs_change_encode (change);
  g_assert_cmpint (cs_change_decode (ctx, cs_str_of (text), &decoded), ==,
                   CS_OK);
  g_assert_cmpint (cs_change_apply (ctx, decoded, b), ==, CS_OK);
  g_assert_cmpuint (cs_docs_digest (a), ==, cs_docs_digest (b));
  decoded->digest++;
  g_assert_cmpint (cs_change_apply (ctx, decoded, b), ==, CS_CORRUPT);
  g_free (text);
  cs_change_free (change);
  cs_change_free (decoded);
  cs_docs_drop (ctx, a);
  cs_docs_drop (ctx, b);
  cs_ctx_drop (ctx);
}

/* A platform in front of the embedded one that lets a rival write first, or
   loses answers.  */
typedef struct
{
  cs_platform_t base;
  cs_platform_t *inner;
  int rivals;  /* Commits of others that come in between.  */
  int lost;    /* Commits whose answer is lost.  */
  int dropped; /* Commits that never arrive.  */
  int commits; /* Tried.  */
} faulty_t;

static void accept_sets (cs_ctx_t *ctx, cs_platform_t *platform,
                         const char *team, const char *operation,
                         int64_t expected, const char *path,
                         const char *document, cs_status_t expect);

static cs_status_t
faulty_range (cs_ctx_t *ctx, cs_platform_t *platform, const cs_range_t *range,
              GPtrArray *rows, int64_t *revision)
{
  cs_platform_t *inner = ((faulty_t *)platform)->inner;
  return inner->vtable->range (ctx, inner, range, rows, revision);
}

static cs_status_t
faulty_commit (cs_ctx_t *ctx, cs_platform_t *platform, const cs_txn_t *txn,
               int64_t *revision)
{
  faulty_t *f = (faulty_t *)platform;
  f->commits++;
  if (f->dropped > 0)
    {
      f->dropped--;
      return cs_fail (ctx, CS_UNKNOWN, "dropped");
    }
  if (f->rivals > 0)
    {
      char operation[32];
      g_snprintf (operation, sizeof operation, "rival-%d", f->rivals--);
      accept_sets (ctx, f->inner, "rival", operation, -1, "/rival/services/r",
                   f->rivals % 2 ? "{\"version\":\"a\"}"
                                 : "{\"version\":\"b\"}",
                   CS_OK);
    }
  cs_status_t status = f->inner->vtable->commit (ctx, f->inner, txn, revision);
  if (f->lost > 0)
    {
      f->lost--;
      return cs_fail (ctx, CS_UNKNOWN, "lost");
    }
  return status;
}

static const cs_platform_vtable_t faulty_vtable
    = { .range = faulty_range, .commit = faulty_commit };

static void
accept_sets (cs_ctx_t *ctx, cs_platform_t *platform, const char *team,
             const char *operation, int64_t expected, const char *path,
             const char *document, cs_status_t expect)
{
  int64_t version;
  cs_change_t *change = cs_change_new ();
  cs_change_add (change, path, document);
  cs_proposal_t proposal = { .team = team,
                             .operation = operation,
                             .expected = expected,
                             .change = change };
  g_assert_cmpint (cs_accept (ctx, platform, &proposal, &version, NULL), ==,
                   expect);
  cs_change_free (change);
}

static const struct
{
  const char *name;
  int rivals, lost, dropped;
  int64_t expected; /* Version of the team's last change that is claimed.  */
  cs_status_t status;
  int64_t head; /* Version afterwards.  */
} races[] = {
  { "plain", 0, 0, 0, 0, CS_OK, 1 },
  { "rival-once", 1, 0, 0, 0, CS_OK, 2 },
  { "rival-five-times", 5, 0, 0, 0, CS_OK, 6 },
  { "rival-for-ever", 99, 0, 0, 0, CS_CONFLICT, 16 },
  { "lost-answer", 0, 1, 0, 0, CS_OK, 1 },
  { "lost-answer-and-rival", 1, 1, 0, 0, CS_OK, 2 },
  { "dropped", 0, 0, 1, 0, CS_OK, 1 },
  { "dropped-thrice", 0, 0, 3, 0, CS_OK, 1 },
  { "stale", 0, 0, 0, 5, CS_CONFLICT, 0 },
};

static void
test_races (void)
{
  cs_ctx_t *ctx = new_ctx ();
  for (size_t i = 0; i < G_N_ELEMENTS (races); i++)
    {
      cs_head_t head;
      faulty_t f = { .base = { .vtable = &faulty_vtable },
                     .rivals = races[i].rivals,
                     .lost = races[i].lost,
                     .dropped = races[i].dropped };
      char *name = g_strconcat ("race-", races[i].name, NULL);
      cs_platform_open (ctx, "memory", name, &f.inner);
      accept_sets (ctx, &f.base, "t", "op", races[i].expected, "/t/services/s",
                   "{\"version\":\"v1\"}", races[i].status);
      cs_head_load (ctx, f.inner, &head);
      g_assert_cmpint (head.version, ==, races[i].head);
      /* The same operation again never writes twice.  */
      if (races[i].status == CS_OK)
        {
          accept_sets (ctx, &f.base, "t", "op", 0, "/t/services/s",
                       "{\"version\":\"v1\"}", CS_OK);
          cs_head_load (ctx, f.inner, &head);
          g_assert_cmpint (head.version, ==, races[i].head);
        }
      cs_platform_drop (ctx, f.inner);
      g_free (name);
    }
  cs_ctx_drop (ctx);
}

/* A change under a fence that has moved is not written.  */
static void
test_fences (void)
{
  cs_ctx_t *ctx = new_ctx ();
  cs_platform_t *platform;
  cs_head_t head;
  int64_t revision, version;
  cs_platform_open (ctx, "memory", "fences", &platform);
  cs_write_t write = { .key = "lease", .value = CS_STR ("1 me") };
  cs_txn_t txn = { .writes = &write, .write_count = 1 };
  cs_platform_commit (ctx, platform, &txn, &revision);
  cs_change_t *change = cs_change_new ();
  cs_change_add (change, "/t/services/s", "{\"version\":\"v1\"}");
  cs_condition_t fence = { .key = "lease", .revision = revision };
  cs_proposal_t proposal = { .team = "t",
                             .operation = "paused",
                             .expected = -1,
                             .change = change,
                             .fences = &fence,
                             .fence_count = 1 };
  cs_platform_commit (ctx, platform, &txn, &revision);
  g_assert_cmpint (cs_accept (ctx, platform, &proposal, &version, NULL), ==,
                   CS_CONFLICT);
  cs_head_load (ctx, platform, &head);
  g_assert_cmpint (head.version, ==, 0);
  fence.revision = revision;
  g_assert_cmpint (cs_accept (ctx, platform, &proposal, &version, NULL), ==,
                   CS_OK);
  cs_change_free (change);
  cs_platform_drop (ctx, platform);
  cs_ctx_drop (ctx);
}

static void
test_refused_changes_write_nothing (void)
{
  cs_ctx_t *ctx = new_ctx ();
  cs_platform_t *platform;
  cs_head_t head;
  cs_platform_open (ctx, "memory", "refused", &platform);
  accept_sets (ctx, platform, "t", "a", -1, "/t/routes/r",
               "{\"prefix\":\"/p\",\"service\":\"s\"}", CS_BAD_INPUT);
  accept_sets (ctx, platform, "t", "b", -1, "/t/services/s", "{}",
               CS_BAD_INPUT);
  cs_head_load (ctx, platform, &head);
  g_assert_cmpint (head.version, ==, 0);
  cs_platform_drop (ctx, platform);
  cs_ctx_drop (ctx);
}

static void
test_changes_of_a_long_log (void)
{
  cs_ctx_t *ctx = new_ctx ();
  cs_platform_t *platform;
  cs_head_t head;
  cs_docs_t *docs;
  cs_platform_open (ctx, "memory", "long-log", &platform);
  for (int i = 0; i < CS_LOG_KEPT + 8; i++)
    {
      char operation[32], document[64];
      g_snprintf (operation, sizeof operation, "op%d", i);
      g_snprintf (document, sizeof document, "{\"version\":\"v%d\"}", i);
      accept_sets (ctx, platform, "t", operation, -1, "/t/services/s",
                   document, CS_OK);
    }
  GPtrArray *changes = cs_changes_new ();
  g_assert_cmpint (cs_changes_load (ctx, platform, 500, changes), ==, CS_OK);
  g_assert_cmpuint (changes->len, ==, CS_LOG_KEPT + 8 - 500);
  g_ptr_array_set_size (changes, 0);
  g_assert_cmpint (cs_changes_load (ctx, platform, 2, changes), ==,
                   CS_NOT_FOUND);
  g_assert_cmpint (cs_docs_load (ctx, platform, &head, &docs), ==, CS_OK);
  g_assert_cmpint (head.version, ==, CS_LOG_KEPT + 8);
  cs_docs_drop (ctx, docs);
  g_ptr_array_unref (changes);
  cs_platform_drop (ctx, platform);
  cs_ctx_drop (ctx);
}

static void
test_tokens (void)
{
  cs_ctx_t *ctx = new_ctx ();
  cs_platform_t *platform;
  cs_row_t *row;
  cs_platform_open (ctx, "memory", "tokens", &platform);
  g_assert_cmpint (cs_team_set_token (ctx, platform, "t", "short"), ==,
                   CS_BAD_INPUT);
  g_assert_cmpint (
      cs_team_set_token (ctx, platform, "t", "a-long-enough-token"), ==,
      CS_OK);
  g_assert_cmpint (
      cs_team_check_token (ctx, platform, "t", "a-long-enough-token"), ==,
      CS_OK);
  g_assert_cmpint (
      cs_team_check_token (ctx, platform, "t", "a-long-enough-tokem"), ==,
      CS_DENIED);
  g_assert_cmpint (
      cs_team_check_token (ctx, platform, "u", "a-long-enough-token"), ==,
      CS_DENIED);
  cs_platform_row (ctx, platform, "cs/team/t", &row);
  g_assert_null (strstr (row->value->str, "token"));
  cs_row_free (row);
  cs_platform_drop (ctx, platform);
  cs_ctx_drop (ctx);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/config/documents", test_documents);
  g_test_add_func ("/config/references", test_references);
  g_test_add_func ("/config/routes", test_routes);
  g_test_add_func ("/config/digest-and-change", test_digest_and_change);
  g_test_add_func ("/config/races", test_races);
  g_test_add_func ("/config/fences", test_fences);
  g_test_add_func ("/config/refused", test_refused_changes_write_nothing);
  g_test_add_func ("/config/long-log", test_changes_of_a_long_log);
  g_test_add_func ("/config/tokens", test_tokens);
  return g_test_run ();
}
