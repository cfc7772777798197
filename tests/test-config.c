/* Tests of configuration documents, snapshots, changes and their commits.  */
#include <string.h>

#include "cardamom/cardamom.h"

static cs_ctx_t *
new_ctx (void)
{
  return cs_ctx_new (NULL, cs_clock_system (), 1);
}

/* Documents and their validation errors; NULL for a valid document.  */
static const struct
{
  const char *path, *document, *error;
} document_cases[] = {
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
  for (size_t i = 0; i < G_N_ELEMENTS (document_cases); i++)
    {
      GString *errors = g_string_new (NULL);
      void *object = NULL;
      json_t *json = json_loads (document_cases[i].document, 0, NULL);
      cs_status_t status = cs_document_parse (ctx, document_cases[i].path,
                                              json, &object, errors);
      const char *expected
          = document_cases[i].error ? document_cases[i].error : "";
      g_assert_cmpstr (errors->str, ==, expected);
      g_assert_cmpint (status, ==, *expected ? CS_BAD_INPUT : CS_OK);
      if (object)
        free_document (document_cases[i].path, object);
      json_decref (json);
      g_string_free (errors, TRUE);
    }
  cs_ctx_drop (ctx);
}

/* Build *SNAPSHOT from lines "PATH=DOCUMENT"; NULL ends them.  Returns the
   errors, "" when there are none, which the caller frees with g_free.  */
static char *
build_snapshot (cs_ctx_t *ctx, const char *const *lines,
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

/* Documents, as "PATH=DOCUMENT", and the errors in references between them. */
static const struct
{
  const char *lines[4];
  const char *errors;
} reference_cases[] = {
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
  for (size_t i = 0; i < G_N_ELEMENTS (reference_cases); i++)
    {
      cs_snapshot_t *snapshot;
      char *errors = build_snapshot (ctx, reference_cases[i].lines, &snapshot);
      g_assert_cmpstr (errors, ==, reference_cases[i].errors);
      g_assert_cmpint (snapshot != NULL, ==, *errors == 0);
      cs_snapshot_drop (ctx, snapshot);
      g_free (errors);
    }
  cs_ctx_drop (ctx);
}

/* The route with the longest prefix matches, but a prefix ends only at a path
   segment, and a route for the host precedes those for any host.  */
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
  } route_cases[] = {
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
  g_free (build_snapshot (ctx, lines, &snapshot));
  for (size_t i = 0; i < G_N_ELEMENTS (route_cases); i++)
    {
      const cs_route_t *route = cs_snapshot_find_route (
          snapshot, cs_str_of (route_cases[i].host),
          cs_str_of (route_cases[i].path), route_cases[i].method);
      g_assert_cmpstr (route ? route->path : NULL, ==, route_cases[i].route);
    }
  cs_snapshot_drop (ctx, snapshot);
  cs_ctx_drop (ctx);
}

/* The digest depends on the documents alone, not on the order of writes.  A
   change that is encoded, decoded and applied yields the same documents; one
   whose digest does not match them is reported as corrupt.  */
static void
test_digest_and_change (void)
{
  cs_ctx_t *ctx = new_ctx ();
  cs_docs_t *expected_docs = cs_docs_new (ctx), *docs = cs_docs_new (ctx);
  cs_docs_set (expected_docs, "/t/services/x", "1");
  cs_docs_set (expected_docs, "/t/services/y", "2");
  cs_docs_set (docs, "/t/services/y", "0");
  cs_docs_set (docs, "/t/services/y", "2");
  cs_docs_set (docs, "/t/services/x", "1");
  g_assert_cmpuint (cs_docs_digest (expected_docs), ==, cs_docs_digest (docs));
  cs_change_t *change = cs_change_new (), *decoded;
  change->version = 7;
  change->operation = g_strdup ("op");
  change->team = g_strdup ("t");
  cs_change_add_write (change, "/t/services/x", NULL);
  cs_docs_set (expected_docs, "/t/services/x", NULL);
  change->digest = cs_docs_digest (expected_docs);
  char *text = cs_change_encode (change);
  g_assert_cmpint (cs_change_decode (ctx, cs_str_of (text), &decoded), ==,
                   CS_OK);
  g_assert_cmpint (cs_change_apply (ctx, decoded, docs), ==, CS_OK);
  g_assert_cmpuint (cs_docs_digest (expected_docs), ==, cs_docs_digest (docs));
  decoded->digest++;
  g_assert_cmpint (cs_change_apply (ctx, decoded, docs), ==, CS_CORRUPT);
  g_free (text);
  cs_change_free (change);
  cs_change_free (decoded);
  cs_docs_drop (ctx, expected_docs);
  cs_docs_drop (ctx, docs);
  cs_ctx_drop (ctx);
}

/* A platform in front of the embedded one that injects faults into commits:
   commits of another team just before, lost answers and lost requests.  */
typedef struct
{
  cs_platform_t base;
  cs_platform_t *backing;
  int concurrent_commits; /* Times that another team commits first.  */
  int lost_answers; /* Commits that take effect but return CS_UNKNOWN.  */
  int lost_commits; /* Commits that are dropped and return CS_UNKNOWN.  */
  int commits;      /* Calls of commit.  */
} faulty_platform_t;

static void commit_document (cs_ctx_t *ctx, cs_platform_t *platform,
                             const char *team, const char *operation,
                             int64_t expected_version, const char *path,
                             const char *document,
                             cs_status_t expected_status);

static cs_status_t
faulty_range (cs_ctx_t *ctx, cs_platform_t *platform,
              const cs_range_query_t *range, GPtrArray *rows,
              int64_t *revision)
{
  cs_platform_t *backing = ((faulty_platform_t *)platform)->backing;
  return backing->vtable->read_range (ctx, backing, range, rows, revision);
}

static cs_status_t
faulty_commit (cs_ctx_t *ctx, cs_platform_t *platform, const cs_txn_t *txn,
               int64_t *revision)
{
  faulty_platform_t *faulty = (faulty_platform_t *)platform;
  faulty->commits++;
  if (faulty->lost_commits > 0)
    {
      faulty->lost_commits--;
      return cs_fail (ctx, CS_UNKNOWN, "lost-commit");
    }
  if (faulty->concurrent_commits > 0)
    {
      char operation[32];
      g_snprintf (operation, sizeof operation, "concurrent-%d",
                  faulty->concurrent_commits--);
      commit_document (ctx, faulty->backing, "other", operation, -1,
                       "/other/services/r",
                       faulty->concurrent_commits % 2 ? "{\"version\":\"a\"}"
                                                      : "{\"version\":\"b\"}",
                       CS_OK);
    }
  cs_status_t status
      = faulty->backing->vtable->commit (ctx, faulty->backing, txn, revision);
  if (faulty->lost_answers > 0)
    {
      faulty->lost_answers--;
      return cs_fail (ctx, CS_UNKNOWN, "lost answer");
    }
  return status;
}

static const cs_platform_vtable_t faulty_vtable
    = { .read_range = faulty_range, .commit = faulty_commit };

static void
commit_document (cs_ctx_t *ctx, cs_platform_t *platform, const char *team,
                 const char *operation, int64_t expected_version,
                 const char *path, const char *document,
                 cs_status_t expected_status)
{
  int64_t version;
  cs_change_t *change = cs_change_new ();
  cs_change_add_write (change, path, document);
  cs_proposal_t proposal = { .team = team,
                             .operation = operation,
                             .expected_version = expected_version,
                             .change = change };
  g_assert_cmpint (
      cs_proposal_commit (ctx, platform, &proposal, &version, NULL), ==,
      expected_status);
  cs_change_free (change);
}

static const struct
{
  const char *name;
  int concurrent_commits, lost_answers, lost_commits;
  int64_t expected_version; /* Of the team's last change before it.  */
  cs_status_t status;
  int64_t head; /* Version of the head afterwards.  */
} commit_cases[] = {
  { "plain", 0, 0, 0, 0, CS_OK, 1 },
  { "concurrent-once", 1, 0, 0, 0, CS_OK, 2 },
  { "concurrent-five-times", 5, 0, 0, 0, CS_OK, 6 },
  { "concurrent-always", 99, 0, 0, 0, CS_CONFLICT, 16 },
  { "lost-answer", 0, 1, 0, 0, CS_OK, 1 },
  { "lost-answer-and-concurrent", 1, 1, 0, 0, CS_OK, 2 },
  { "lost-commit", 0, 0, 1, 0, CS_OK, 1 },
  { "lost-commit-three-times", 0, 0, 3, 0, CS_OK, 1 },
  { "stale", 0, 0, 0, 5, CS_CONFLICT, 0 },
};

static void
test_concurrent_commits (void)
{
  cs_ctx_t *ctx = new_ctx ();
  for (size_t i = 0; i < G_N_ELEMENTS (commit_cases); i++)
    {
      cs_config_head_t head;
      faulty_platform_t faulty
          = { .base = { .vtable = &faulty_vtable },
              .concurrent_commits = commit_cases[i].concurrent_commits,
              .lost_answers = commit_cases[i].lost_answers,
              .lost_commits = commit_cases[i].lost_commits };
      char *name = g_strconcat ("race-", commit_cases[i].name, NULL);
      cs_platform_open (ctx, "memory", name, &faulty.backing);
      commit_document (ctx, &faulty.base, "t", "op",
                       commit_cases[i].expected_version, "/t/services/s",
                       "{\"version\":\"v1\"}", commit_cases[i].status);
      cs_config_head_load (ctx, faulty.backing, &head);
      g_assert_cmpint (head.version, ==, commit_cases[i].head);
      /* Repeating the operation writes nothing.  */
      if (commit_cases[i].status == CS_OK)
        {
          commit_document (ctx, &faulty.base, "t", "op", 0, "/t/services/s",
                           "{\"version\":\"v1\"}", CS_OK);
          cs_config_head_load (ctx, faulty.backing, &head);
          g_assert_cmpint (head.version, ==, commit_cases[i].head);
        }
      cs_platform_drop (ctx, faulty.backing);
      g_free (name);
    }
  cs_ctx_drop (ctx);
}

/* A change whose fence row has changed since, as after the loss of a lease, is
   not written.  */
static void
test_fences (void)
{
  cs_ctx_t *ctx = new_ctx ();
  cs_platform_t *platform;
  cs_config_head_t head;
  int64_t revision, version;
  cs_platform_open (ctx, "memory", "fences", &platform);
  cs_txn_write_t write = { .key = "lease", .value = CS_STR ("1 me") };
  cs_txn_t txn = { .writes = &write, .write_count = 1 };
  cs_platform_commit (ctx, platform, &txn, &revision);
  cs_change_t *change = cs_change_new ();
  cs_change_add_write (change, "/t/services/s", "{\"version\":\"v1\"}");
  cs_txn_condition_t fence = { .key = "lease", .revision = revision };
  cs_proposal_t proposal = { .team = "t",
                             .operation = "paused",
                             .expected_version = -1,
                             .change = change,
                             .fences = &fence,
                             .fence_count = 1 };
  cs_platform_commit (ctx, platform, &txn, &revision);
  g_assert_cmpint (
      cs_proposal_commit (ctx, platform, &proposal, &version, NULL), ==,
      CS_CONFLICT);
  cs_config_head_load (ctx, platform, &head);
  g_assert_cmpint (head.version, ==, 0);
  fence.revision = revision;
  g_assert_cmpint (
      cs_proposal_commit (ctx, platform, &proposal, &version, NULL), ==,
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
  cs_config_head_t head;
  cs_platform_open (ctx, "memory", "refused", &platform);
  commit_document (ctx, platform, "t", "a", -1, "/t/routes/r",
                   "{\"prefix\":\"/p\",\"service\":\"s\"}", CS_BAD_INPUT);
  commit_document (ctx, platform, "t", "b", -1, "/t/services/s", "{}",
                   CS_BAD_INPUT);
  cs_config_head_load (ctx, platform, &head);
  g_assert_cmpint (head.version, ==, 0);
  cs_platform_drop (ctx, platform);
  cs_ctx_drop (ctx);
}

/* The change log keeps CS_CHANGE_LOG_MAX_VERSIONS changes; reading from an
   older version fails with CS_NOT_FOUND, while the documents can still be
   loaded.  */
static void
test_truncated_change_log (void)
{
  cs_ctx_t *ctx = new_ctx ();
  cs_platform_t *platform;
  cs_config_head_t head;
  cs_docs_t *docs;
  cs_platform_open (ctx, "memory", "long-log", &platform);
  for (int i = 0; i < CS_CHANGE_LOG_MAX_VERSIONS + 8; i++)
    {
      char operation[32], document[64];
      g_snprintf (operation, sizeof operation, "op%d", i);
      g_snprintf (document, sizeof document, "{\"version\":\"v%d\"}", i);
      commit_document (ctx, platform, "t", operation, -1, "/t/services/s",
                       document, CS_OK);
    }
  GPtrArray *changes = cs_changes_new ();
  g_assert_cmpint (cs_changes_load (ctx, platform, 500, changes), ==, CS_OK);
  g_assert_cmpuint (changes->len, ==, CS_CHANGE_LOG_MAX_VERSIONS + 8 - 500);
  g_ptr_array_set_size (changes, 0);
  g_assert_cmpint (cs_changes_load (ctx, platform, 2, changes), ==,
                   CS_NOT_FOUND);
  g_assert_cmpint (cs_docs_load (ctx, platform, &head, &docs), ==, CS_OK);
  g_assert_cmpint (head.version, ==, CS_CHANGE_LOG_MAX_VERSIONS + 8);
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
  cs_platform_read_row (ctx, platform, "cs/team/t", &row);
  /* The token itself is not stored.  */
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
  g_test_add_func ("/config/races", test_concurrent_commits);
  g_test_add_func ("/config/fences", test_fences);
  g_test_add_func ("/config/refused", test_refused_changes_write_nothing);
  g_test_add_func ("/config/long-log", test_truncated_change_log);
  g_test_add_func ("/config/tokens", test_tokens);
  return g_test_run ();
}
