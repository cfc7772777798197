/* Keys of workspaces, and for how long a node's view may be used to serve
   requests that bear one.  */
#include <string.h>

#include "cardamom/freshness.h"
#include "cardamom/transit.h"
#include "cardamom/workspace.h"

static cs_workspace_t *
add (cs_workspaces_t *all, const char *name, double per_s)
{
  cs_workspace_t *workspace = g_new0 (cs_workspace_t, 1);
  workspace->name = g_strdup (name);
  workspace->per_s = per_s;
  cs_workspaces_add (all, workspace);
  return workspace;
}

static void
test_keys (void)
{
  cs_workspaces_t *all = cs_workspaces_new ();
  cs_workspace_t *a = add (all, "a", 0), *b = add (all, "b", 1e300);
  char *long_key = g_strnfill (8192, 'k');
  cs_key_digest_set_secret (CS_STR ("127.0.0.1:1"));
  cs_key_digest_t first = cs_key_digest (CS_STR ("one")),
                  odd = cs_key_digest (CS_STR ("\0\xff\r\n")),
                  large = cs_key_digest (cs_str_of (long_key)), again;
  GString *text = g_string_new (NULL);
  g_assert_true (cs_workspaces_add_key (all, a, &first));
  g_assert_true (cs_workspaces_add_key (all, a, &first));
  g_assert_false (cs_workspaces_add_key (all, b, &first));
  g_assert_true (cs_workspaces_add_key (all, b, &odd));
  g_assert_true (cs_workspaces_find_key (all, &first) == a);
  g_assert_true (cs_workspaces_find_key (all, &odd) == b);
  g_assert_null (cs_workspaces_find_key (all, &large));
  g_assert_true (cs_workspaces_find (all, b->id) == b);
  /* A cap that no sum reaches is none.  */
  g_assert_false (cs_workspaces_have_caps (all));
  add (all, "c", 5);
  g_assert_true (cs_workspaces_have_caps (all));
  g_assert_cmpuint (cs_workspaces_count (all), ==, 3);
  /* The digest goes through a row as text, and depends on the deployment.  */
  cs_key_digest_format (text, &first);
  g_assert_null (strstr (text->str, "one"));
  g_assert_true (cs_key_digest_parse (text->str, &again));
  g_assert_cmpmem (&first, sizeof first, &again, sizeof again);
  g_assert_false (cs_key_digest_parse ("00", &again));
  g_assert_false (
      cs_key_digest_parse ("zz000000000000000000000000000000", &again));
  cs_key_digest_set_secret (CS_STR ("127.0.0.1:2"));
  again = cs_key_digest (CS_STR ("one"));
  g_assert_true (memcmp (&first, &again, sizeof first) != 0);
  g_string_free (text, TRUE);
  g_free (long_key);
  cs_workspaces_free (all);
}

static void
test_bearer (void)
{
  static const struct
  {
    const char *value, *key;
  } cases[] = { { "Bearer k", "k" }, { "bearer  k", "k" },   { "Bearer ", "" },
                { "Bearer", "" },    { "Basic k", "" },      { "k", "" },
                { "", "" },          { "Bearer k k", "k k" } };
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    g_assert_true (cs_str_equal (cs_bearer_key (cs_str_of (cases[i].value)),
                                 cs_str_of (cases[i].key)));
}

/* A key is taken away at 100 s, which is acknowledged then; it may run until
   105 s.  A node that does not learn of that, whatever the reason, has stopped
   serving by then, and one that is in touch has not.  Guards against a view
   that counts as young because its messages were delayed, or the process was
   paused, and against nodes that stop because a reader is slow.  */
static void
test_revocation (void)
{
  static const cs_freshness_settings_t closed
      = { .fail_closed = true, .revoke = 5 * CS_SEC },
      open = { .fail_closed = false, .revoke = 5 * CS_SEC };
  cs_usec_t revoked_at = 100 * CS_SEC;
  /* The last call of the table that missed the change was made just before. */
  cs_usec_t last_fresh = revoked_at - 1;
  for (cs_usec_t now = revoked_at; now < revoked_at + 20 * CS_SEC;
       now += 100 * CS_MSEC)
    {
      if (now >= revoked_at + closed.revoke)
        g_assert_false (cs_freshness_allows_keys (&closed, last_fresh, now));
      if (now <= revoked_at + 4 * CS_SEC)
        g_assert_true (cs_freshness_allows_keys (&closed, last_fresh, now));
      g_assert_true (cs_freshness_allows_keys (&open, last_fresh, now));
    }
  g_assert_false (cs_freshness_allows_keys (&closed, 0, CS_SEC));
  g_assert_true (cs_freshness_allows_keys (&open, 0, CS_SEC));
  /* Heartbeats each 0.3 s from a reader whose clock is elsewhere; the one of
     99.9 s, with an age of 0.2 s, is held up for 7 s.  */
  cs_transit_path_t path = { 0 };
  cs_usec_t apart = 5000 * CS_SEC, fresh = 0;
  for (cs_usec_t sent = 90 * CS_SEC; sent < revoked_at; sent += 300 * CS_MSEC)
    fresh = sent + 2 * CS_MSEC
            - cs_transit_path_delay (&path, sent + apart, sent + 2 * CS_MSEC)
            - 200 * CS_MSEC;
  g_assert_true (
      cs_freshness_allows_keys (&closed, fresh, revoked_at + 3 * CS_SEC));
  cs_usec_t received = revoked_at - 100 * CS_MSEC + 7 * CS_SEC;
  fresh = received
          - cs_transit_path_delay (&path, revoked_at - 100 * CS_MSEC + apart,
                                   received)
          - 200 * CS_MSEC;
  g_assert_false (cs_freshness_allows_keys (&closed, fresh, received));
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/workspace/keys", test_keys);
  g_test_add_func ("/workspace/bearer", test_bearer);
  g_test_add_func ("/workspace/revocation", test_revocation);
  return g_test_run ();
}
