/* Tests of settings, the plug-in registry, counters, msgpack payloads and
   names of status codes.  */
#include <stdlib.h>
#include <string.h>

#include "cardamom/cardamom.h"

typedef struct
{
  char *name, *secret;
  int64_t port;
} test_settings_t;

#define FIELD(member) .offset = offsetof (test_settings_t, member)

static const cs_setting_t setting_table[] = {
  { .name = "test-name",
    .kind = CS_SETTING_TEXT,
    FIELD (name),
    .help = "a name" },
  { .name = "test-port",
    .kind = CS_SETTING_NUMBER,
    FIELD (port),
    .default_value = "80",
    .min = 1,
    .max = 65535,
    .unit = "port",
    .help = "a port" },
  { .name = "test-secret",
    .kind = CS_SETTING_SECRET,
    FIELD (secret),
    .default_value = "",
    .help = "a secret" },
};

/* Arguments, and the errors or the port that must result.  */
static const struct
{
  const char *argv[5];
  const char *port_variable; /* CARDAMOM_TEST_PORT; NULL: not set.  */
  const char *errors;
  int64_t port;
} settings_cases[] = {
  { { "x", "--test-name=a" }, NULL, "", 80 },
  { { "x", "--test-name=a" }, "99", "", 99 },
  { { "x", "--test-name=a", "--test-port=7" }, "99", "", 7 },
  { { "x" },
    NULL,
    "--test-name or CARDAMOM_TEST_NAME must be given: a name\n",
    80 },
  { { "x", "--test-port=0" },
    NULL,
    "--test-name or CARDAMOM_TEST_NAME must be given: a name\n"
    "--test-port: '0' is not a whole number from 1 to 65535; give one in "
    "port\n",
    0 },
  { { "x", "--test-name=a" },
    "many",
    "CARDAMOM_TEST_PORT: 'many' is not a whole number from 1 to 65535; give "
    "one in port\n",
    0 },
  { { "x", "--test-name=a", "--wrong=1" },
    NULL,
    "unknown argument '--wrong=1'; see --help for the flags\n",
    80 },
  { { "x", "--test-name=a", "stray" },
    NULL,
    "unknown argument 'stray'; see --help for the flags\n",
    80 },
  { { "x", "--test-name=a", "--test-secret=@/nowhere/key" },
    NULL,
    "--test-secret: cannot read the file '/nowhere/key'; check its path "
    "and permissions\n",
    80 },
};

static void
test_settings (void)
{
  cs_ctx_t *ctx = cs_ctx_new (NULL, cs_clock_system (), 1);
  for (size_t i = 0; i < G_N_ELEMENTS (settings_cases); i++)
    {
      test_settings_t settings = { 0 };
      cs_settings_action_t action;
      GString *errors = g_string_new (NULL);
      int argc = 0;
      while (argc < 5 && settings_cases[i].argv[argc])
        argc++;
      if (settings_cases[i].port_variable)
        setenv ("CARDAMOM_TEST_PORT", settings_cases[i].port_variable, 1);
      else
        unsetenv ("CARDAMOM_TEST_PORT");
      cs_settings_load (ctx, setting_table, G_N_ELEMENTS (setting_table),
                        &settings, argc, (char **)settings_cases[i].argv,
                        &action, NULL, errors);
      g_assert_cmpstr (errors->str, ==, settings_cases[i].errors);
      if (!errors->len)
        g_assert_cmpint (settings.port, ==, settings_cases[i].port);
      cs_settings_clear (setting_table, G_N_ELEMENTS (setting_table),
                         &settings);
      g_string_free (errors, TRUE);
    }
  cs_ctx_drop (ctx);
}

static void
test_registry (void)
{
  cs_ctx_t *ctx = cs_ctx_new (NULL, cs_clock_system (), 1);
  const void *vtable;
  static const struct
  {
    cs_plugin_kind_t kind;
    const char *message;
  } unknown_names[] = {
    { CS_PLUGIN_BALANCER,
      "no balancer named 'x'; choose one of: least-cost, round-robin" },
    { CS_PLUGIN_LIMITER, "no limiter named 'x'; choose one of: fixed, "
                         "gradient" },
    { CS_PLUGIN_JUDGE, "no judge named 'x'; choose one of: cusum, mixture, "
                       "threshold" },
  };
  for (size_t i = 0; i < G_N_ELEMENTS (unknown_names); i++)
    {
      g_assert_cmpint (
          cs_plugin_find (ctx, unknown_names[i].kind, "x", &vtable), ==,
          CS_NOT_FOUND);
      g_assert_cmpstr (cs_error_message (ctx), ==, unknown_names[i].message);
    }
  cs_ctx_drop (ctx);
}

static void *
count_calls (void *arg)
{
  for (int i = 0; i < 10000; i++)
    cs_counter_add (CS_C_CALLS, 1);
  return arg;
}

static void
test_counters (void)
{
  pthread_t threads[8];
  uint64_t before = cs_counter_read (CS_C_CALLS);
  for (int i = 0; i < 8; i++)
    pthread_create (&threads[i], NULL, count_calls, NULL);
  for (int i = 0; i < 8; i++)
    pthread_join (threads[i], NULL);
  g_assert_cmpuint (cs_counter_read (CS_C_CALLS) - before, ==, 80000);
  GString *text = g_string_new (NULL);
  cs_counters_write (text);
  g_assert_nonnull (strstr (text->str, "# TYPE cardamom_calls_total counter"));
  g_assert_nonnull (strstr (text->str, "# TYPE cardamom_members gauge"));
  g_string_free (text, TRUE);
}

static void
test_pack (void)
{
  cs_ctx_t *ctx = cs_ctx_new (NULL, cs_clock_system (), 1);
  cs_pack_t pack;
  cs_unpack_t unpack;
  cs_unpack_cursor_t cursor;
  cs_pack_init (&pack);
  cs_pack_array (&pack, 4);
  cs_pack_int64 (&pack, -5);
  cs_pack_uint64 (&pack, UINT64_MAX);
  cs_pack_bytes (&pack, (cs_str_t){ "a\0b", 3 });
  cs_pack_array (&pack, 0);
  g_assert_cmpint (
      cs_unpack_init (ctx, &unpack, cs_pack_payload (&pack), &cursor), ==,
      CS_OK);
  g_assert_cmpint (cs_unpack_int64 (&cursor), ==, -5);
  g_assert_cmpuint (cs_unpack_uint64 (&cursor), ==, UINT64_MAX);
  g_assert_cmpuint (cs_unpack_str (&cursor).len, ==, 3);
  g_assert_cmpuint (cs_unpack_array (&cursor).remaining, ==, 0);
  g_assert_false (cursor.failed);
  /* Reading past the last element fails.  */
  cs_unpack_int64 (&cursor);
  g_assert_true (cursor.failed);
  cs_unpack_clear (&unpack);
  cs_pack_clear (&pack);
  cs_ctx_drop (ctx);
}

static void
test_status_names (void)
{
  for (int i = CS_OK; i <= CS_INTERNAL; i++)
    g_assert_cmpstr (cs_status_name ((cs_status_t)i), !=, "invalid");
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/kernel/settings", test_settings);
  g_test_add_func ("/kernel/registry", test_registry);
  g_test_add_func ("/kernel/counters", test_counters);
  g_test_add_func ("/kernel/pack", test_pack);
  g_test_add_func ("/kernel/status-names", test_status_names);
  return g_test_run ();
}
