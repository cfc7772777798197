/* Checks that every platform plug-in implements the contract of platform.h.
   The tests of the remote one need the address of a running standin-platform
   in CARDAMOM_TEST_PLATFORM and are skipped without it.  */
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "cardamom/cardamom.h"

typedef struct
{
  cs_ctx_t *ctx;
  cs_platform_t *platform;
  char prefix[64]; /* Of all keys of the test case.  */
} fixture_t;

static char *
prefixed_key (const fixture_t *fixture, const char *name)
{
  return g_strconcat (fixture->prefix, name, NULL);
}

/* Writes VALUE to the row NAME, or deletes it if VALUE is NULL.  The row must
   be at REVISION, or not exist if that is 0; a negative REVISION sets no
   condition.  */
static cs_status_t
commit_write (fixture_t *fixture, const char *name, const char *value,
              int64_t revision)
{
  char *key = prefixed_key (fixture, name);
  int64_t table_revision;
  cs_txn_condition_t condition = { .key = key, .revision = revision };
  cs_txn_write_t write
      = { .key = key, .value = cs_str_of (value), .is_delete = !value };
  cs_txn_t txn = { .conditions = &condition,
                   .condition_count = revision >= 0,
                   .writes = &write,
                   .write_count = 1 };
  cs_status_t status = cs_platform_commit (fixture->ctx, fixture->platform,
                                           &txn, &table_revision);
  g_free (key);
  return status;
}

/* The revision of the row NAME; 0 if there is none.  */
static int64_t
read_revision (fixture_t *fixture, const char *name)
{
  char *key = prefixed_key (fixture, name);
  cs_row_t *row = NULL;
  cs_platform_read_row (fixture->ctx, fixture->platform, key, &row);
  int64_t revision = row ? row->revision : 0;
  cs_row_free (row);
  g_free (key);
  return revision;
}

static void
check_absent_row (fixture_t *fixture)
{
  cs_row_t *row = NULL;
  char *key = prefixed_key (fixture, "absent");
  g_assert_cmpint (
      cs_platform_read_row (fixture->ctx, fixture->platform, key, &row), ==,
      CS_NOT_FOUND);
  g_free (key);
}

static void
check_put_and_get (fixture_t *fixture)
{
  cs_row_t *row = NULL;
  char *key = prefixed_key (fixture, "a");
  g_assert_cmpint (commit_write (fixture, "a", "one", -1), ==, CS_OK);
  g_assert_cmpint (
      cs_platform_read_row (fixture->ctx, fixture->platform, key, &row), ==,
      CS_OK);
  g_assert_cmpstr (row->value->str, ==, "one");
  g_assert_cmpint (row->revision, >, 0);
  cs_row_free (row);
  g_free (key);
}

static void
check_condition_absent (fixture_t *fixture)
{
  g_assert_cmpint (commit_write (fixture, "b", "one", 0), ==, CS_OK);
  g_assert_cmpint (commit_write (fixture, "b", "two", 0), ==, CS_CONFLICT);
}

static void
check_condition_revision (fixture_t *fixture)
{
  commit_write (fixture, "c", "one", -1);
  int64_t old_revision = read_revision (fixture, "c");
  g_assert_cmpint (commit_write (fixture, "c", "two", old_revision), ==,
                   CS_OK);
  g_assert_cmpint (commit_write (fixture, "c", "three", old_revision), ==,
                   CS_CONFLICT);
  g_assert_cmpint (read_revision (fixture, "c"), >, old_revision);
}

static void
check_all_or_nothing (fixture_t *fixture)
{
  char *key1 = prefixed_key (fixture, "d1"),
       *key2 = prefixed_key (fixture, "d2");
  int64_t table_revision;
  cs_txn_condition_t condition = { .key = key1, .revision = 999999999 };
  cs_txn_write_t writes[] = { { .key = key1, .value = CS_STR ("x") },
                              { .key = key2, .value = CS_STR ("y") } };
  cs_txn_t txn = { .conditions = &condition,
                   .condition_count = 1,
                   .writes = writes,
                   .write_count = 2 };
  g_assert_cmpint (cs_platform_commit (fixture->ctx, fixture->platform, &txn,
                                       &table_revision),
                   ==, CS_CONFLICT);
  g_assert_cmpint (read_revision (fixture, "d1"), ==, 0);
  g_assert_cmpint (read_revision (fixture, "d2"), ==, 0);
  txn.condition_count = 0;
  g_assert_cmpint (cs_platform_commit (fixture->ctx, fixture->platform, &txn,
                                       &table_revision),
                   ==, CS_OK);
  g_assert_cmpint (read_revision (fixture, "d1"), ==,
                   read_revision (fixture, "d2"));
  g_free (key1);
  g_free (key2);
}

static void
check_delete (fixture_t *fixture)
{
  commit_write (fixture, "e", "one", -1);
  g_assert_cmpint (commit_write (fixture, "e", NULL, -1), ==, CS_OK);
  g_assert_cmpint (read_revision (fixture, "e"), ==, 0);
}

static void
check_range_order_and_min_revision (fixture_t *fixture)
{
  int64_t table_revision;
  commit_write (fixture, "r/2", "two", -1);
  commit_write (fixture, "r/1", "one", -1);
  int64_t min_revision = read_revision (fixture, "r/1");
  commit_write (fixture, "r/3", "three", -1);
  /* '0' follows '/': the range holds all keys that begin with r/.  */
  char *first = prefixed_key (fixture, "r/"),
       *end = prefixed_key (fixture, "r0");
  GPtrArray *rows = cs_rows_new ();
  cs_range_query_t range = { .first_key = first, .end_key = end };
  g_assert_cmpint (
      fixture->platform->vtable->read_range (fixture->ctx, fixture->platform,
                                             &range, rows, &table_revision),
      ==, CS_OK);
  g_assert_cmpuint (rows->len, ==, 3);
  g_assert_cmpstr (((cs_row_t *)rows->pdata[0])->value->str, ==, "one");
  g_assert_cmpstr (((cs_row_t *)rows->pdata[2])->value->str, ==, "three");
  g_ptr_array_set_size (rows, 0);
  range.min_revision = min_revision;
  fixture->platform->vtable->read_range (fixture->ctx, fixture->platform,
                                         &range, rows, &table_revision);
  g_assert_cmpuint (rows->len, ==, 2);
  g_ptr_array_set_size (rows, 0);
  range.min_revision = 0;
  range.max_rows = 1;
  fixture->platform->vtable->read_range (fixture->ctx, fixture->platform,
                                         &range, rows, &table_revision);
  g_assert_cmpuint (rows->len, ==, 1);
  g_ptr_array_unref (rows);
  g_free (first);
  g_free (end);
}

/* An object is only put if its tag is still the given one; "" means that it
   must not exist.  */
static void
check_objects (fixture_t *fixture)
{
  const cs_platform_vtable_t *vtable = fixture->platform->vtable;
  char *key = prefixed_key (fixture, "o/snap 1"), *tag = NULL;
  GString *body = g_string_new (NULL);
  g_assert_cmpint (
      vtable->get_object (fixture->ctx, fixture->platform, key, body, &tag),
      ==, CS_NOT_FOUND);
  g_assert_cmpint (vtable->put_object (fixture->ctx, fixture->platform, key,
                                       CS_STR ("one"), ""),
                   ==, CS_OK);
  g_assert_cmpint (vtable->put_object (fixture->ctx, fixture->platform, key,
                                       CS_STR ("two"), ""),
                   ==, CS_CONFLICT);
  g_assert_cmpint (
      vtable->get_object (fixture->ctx, fixture->platform, key, body, &tag),
      ==, CS_OK);
  g_assert_cmpstr (body->str, ==, "one");
  g_assert_cmpint (vtable->put_object (fixture->ctx, fixture->platform, key,
                                       CS_STR ("two"), tag),
                   ==, CS_OK);
  g_assert_cmpint (vtable->put_object (fixture->ctx, fixture->platform, key,
                                       CS_STR ("three"), tag),
                   ==, CS_CONFLICT);
  g_string_free (body, TRUE);
  g_free (tag);
  g_free (key);
}

static const struct
{
  const char *name;
  void (*check) (fixture_t *f);
} contract_checks[] = {
  { "absent-row", check_absent_row },
  { "put-and-get", check_put_and_get },
  { "condition-absent", check_condition_absent },
  { "condition-revision", check_condition_revision },
  { "all-or-nothing", check_all_or_nothing },
  { "erase", check_delete },
  { "range", check_range_order_and_min_revision },
  { "objects", check_objects },
};

/* The plug-ins to test and their addresses; NULL: from the environment.  */
static const struct
{
  const char *plugin, *address;
} implementations[] = { { "memory", "contract" }, { "http", NULL } };

static const char *
address_of (size_t implementation)
{
  return implementations[implementation].address
             ? implementations[implementation].address
             : getenv ("CARDAMOM_TEST_PLATFORM");
}

/* DATA is the index of the check plus the index of the implementation times
   the number of checks.  */
static void
run_contract_check (gconstpointer data)
{
  size_t case_index = GPOINTER_TO_SIZE (data);
  size_t implementation = case_index / G_N_ELEMENTS (contract_checks);
  size_t check = case_index % G_N_ELEMENTS (contract_checks);
  if (!address_of (implementation))
    {
      g_test_skip ("CARDAMOM_TEST_PLATFORM is not set");
      return;
    }
  fixture_t fixture = { .ctx = cs_ctx_new (NULL, cs_clock_system (), 1) };
  g_snprintf (fixture.prefix, sizeof fixture.prefix, "contract-%ld-%s/",
              (long)getpid (), contract_checks[check].name);
  g_assert_cmpint (
      cs_platform_open (fixture.ctx, implementations[implementation].plugin,
                        address_of (implementation), &fixture.platform),
      ==, CS_OK);
  contract_checks[check].check (&fixture);
  cs_platform_drop (fixture.ctx, fixture.platform);
  cs_ctx_drop (fixture.ctx);
}

/* Faults of the remote platform: the fault that standin-platform injects, the
   status that the write must return, and whether the write takes effect.  */
static const struct
{
  const char *mode;
  cs_status_t status;
  bool took_effect;
} faults[] = {
  { "none", CS_OK, true },      { "down", CS_UNAVAILABLE, false },
  { "lost", CS_UNKNOWN, true }, { "drop", CS_UNKNOWN, false },
  { "half", CS_UNKNOWN, true },
};

/* Inject the fault MODE into the next request of the remote platform.  */
static void
set_fault (cs_ctx_t *ctx, const char *mode)
{
  char *host, *body;
  unsigned port;
  cs_http_answer_t answer;
  cs_address_parse (ctx, getenv ("CARDAMOM_TEST_PLATFORM"), &host, &port);
  cs_http_client_t *http = cs_http_client_new (ctx, host, port, 2 * CS_SEC);
  body = g_strdup_printf ("{\"mode\": \"%s\", \"count\": 1}", mode);
  cs_http_request_t request = { .method = "POST",
                                .path = "/standin/fault",
                                .body = cs_str_of (body),
                                .answer_max = 1024 };
  g_assert_cmpint (cs_http_client_call (ctx, http, &request, &answer), ==,
                   CS_OK);
  cs_http_answer_clear (&answer);
  cs_http_client_drop (ctx, http);
  g_free (body);
  g_free (host);
}

static void
run_fault_case (gconstpointer data)
{
  size_t fault = GPOINTER_TO_SIZE (data);
  const char *address = getenv ("CARDAMOM_TEST_PLATFORM");
  if (!address)
    {
      g_test_skip ("CARDAMOM_TEST_PLATFORM is not set");
      return;
    }
  fixture_t fixture = { .ctx = cs_ctx_new (NULL, cs_clock_system (), 1) };
  g_snprintf (fixture.prefix, sizeof fixture.prefix, "fault-%ld-%s/",
              (long)getpid (), faults[fault].mode);
  cs_platform_open (fixture.ctx, "http", address, &fixture.platform);
  set_fault (fixture.ctx, faults[fault].mode);
  g_assert_cmpint (commit_write (&fixture, "w", "one", -1), ==,
                   faults[fault].status);
  set_fault (fixture.ctx, "none");
  g_assert_cmpint (read_revision (&fixture, "w") > 0, ==,
                   faults[fault].took_effect);
  cs_platform_drop (fixture.ctx, fixture.platform);
  cs_ctx_drop (fixture.ctx);
}

static void
test_unknown_plugin (void)
{
  cs_ctx_t *ctx = cs_ctx_new (NULL, cs_clock_system (), 1);
  cs_platform_t *platform;
  g_assert_cmpint (cs_platform_open (ctx, "paper", "x", &platform), ==,
                   CS_NOT_FOUND);
  g_assert_cmpstr (cs_error_message (ctx), ==,
                   "no platform named 'paper'; choose one of: http, memory");
  cs_ctx_drop (ctx);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  for (size_t i = 0; i < G_N_ELEMENTS (implementations); i++)
    for (size_t check = 0; check < G_N_ELEMENTS (contract_checks); check++)
      {
        char *path
            = g_strdup_printf ("/platform/%s/%s", implementations[i].plugin,
                               contract_checks[check].name);
        g_test_add_data_func (
            path,
            GSIZE_TO_POINTER (i * G_N_ELEMENTS (contract_checks) + check),
            run_contract_check);
        g_free (path);
      }
  for (size_t i = 0; i < G_N_ELEMENTS (faults); i++)
    {
      char *path = g_strdup_printf ("/platform/fault/%s", faults[i].mode);
      g_test_add_data_func (path, GSIZE_TO_POINTER (i), run_fault_case);
      g_free (path);
    }
  g_test_add_func ("/platform/unknown-plugin", test_unknown_plugin);
  return g_test_run ();
}
