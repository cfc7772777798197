/* Sub-commands that look at the nodes.  */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "ctl.h"

int
cmd_wait (ctl_t *ctl)
{
  char *end;
  gint64 version = g_ascii_strtoll (ctl_word (ctl, 0), &end, 10);
  if (*end || version < 1)
    {
      fputs ("cardamomctl: VERSION must be a whole number from 1\n", stderr);
      return EXIT_USAGE;
    }
  return ctl_wait_version (ctl, version);
}

static const char *
text_of (const json_t *object, const char *key)
{
  const char *text = json_string_value (json_object_get (object, key));
  return text ? text : "-";
}

/* Add what the node itself says to its member entry.  */
static void
ask_node (ctl_t *ctl, json_t *member)
{
  json_t *status = NULL;
  char *address = ctl_admin_address (member);
  bool asked
      = ctl_request_at (ctl, address, "GET", "/v1/status", NULL, &status)
        == CS_OK;
  g_free (address);
  json_object_set_new (member, "reached", json_boolean (asked));
  if (asked)
    {
      json_object_set (member, "config_version",
                       json_object_get (status, "version"));
      json_object_set (member, "digest", json_object_get (status, "digest"));
      json_object_set (member, "store_ok",
                       json_object_get (status, "store_ok"));
    }
  json_decref (status);
}

int
cmd_nodes (ctl_t *ctl)
{
  json_t *members, *m;
  size_t i;
  cs_status_t status = ctl_members (ctl, &members);
  if (status != CS_OK)
    return ctl_fail (ctl, status);
  json_array_foreach (members, i, m) { ask_node (ctl, m); }
  if (ctl->settings.json)
    return ctl_print_json (members);
  printf ("%-16s %-12s %-12s %-9s %-8s %-8s %s\n", "NODE", "DC", "REGION",
          "STATE", "HEALTH", "CONFIG", "STORE");
  json_array_foreach (members, i, m)
  {
    const json_t *version = json_object_get (m, "config_version");
    char number[32];
    snprintf (number, sizeof number, "%lld",
              (long long)json_integer_value (version));
    printf ("%-16s %-12s %-12s %-9s %-8s %-8s %s\n", text_of (m, "node"),
            text_of (m, "dc"), text_of (m, "region"), text_of (m, "state"),
            text_of (m, "health"), version ? number : "-",
            !version                                         ? "-"
            : json_is_true (json_object_get (m, "store_ok")) ? "ok"
                                                             : "not read");
  }
  json_decref (members);
  return EXIT_DONE;
}

int
cmd_upstreams (ctl_t *ctl)
{
  json_t *members, *m;
  size_t i;
  cs_status_t status = ctl_members (ctl, &members);
  if (status != CS_OK)
    return ctl_fail (ctl, status);
  if (ctl->settings.json)
    return ctl_print_json (members);
  printf ("%-32s %-10s %-16s %-12s %-6s %s\n", "SERVICE", "VERSION", "NODE",
          "DC", "SLOTS", "STATE");
  json_array_foreach (members, i, m)
  {
    if (!*text_of (m, "service"))
      continue;
    bool draining = json_is_true (json_object_get (m, "draining"));
    bool dead = strcmp (text_of (m, "health"), "dead") == 0;
    printf ("%-32s %-10s %-16s %-12s %-6lld %s\n", text_of (m, "service"),
            text_of (m, "version"), text_of (m, "node"), text_of (m, "dc"),
            (long long)json_integer_value (json_object_get (m, "slots")),
            dead       ? "dead"
            : draining ? "draining"
                       : text_of (m, "state"));
  }
  json_decref (members);
  return EXIT_DONE;
}

/* Fetch the counters of the node at ADDRESS and add them to SUMS.  */
static cs_status_t
add_counters (ctl_t *ctl, const char *address, GTree *sums)
{
  char *host;
  unsigned port;
  cs_http_answer_t answer;
  cs_status_t status = cs_address_parse (ctl->ctx, address, &host, &port);
  if (status != CS_OK)
    return status;
  cs_http_client_t *http
      = cs_http_client_new (ctl->ctx, host, port, 5 * CS_SEC);
  cs_http_request_t request
      = { .method = "GET", .path = "/counters", .answer_max = 1u << 20 };
  status = cs_http_client_call (ctl->ctx, http, &request, &answer);
  if (status == CS_OK)
    {
      char **lines = g_strsplit (answer.body->str, "\n", -1);
      for (char **line = lines; *line; line++)
        {
          char *space = strchr (*line, ' ');
          if (**line == '#' || !space)
            continue;
          *space = 0;
          gint64 *sum = g_tree_lookup (sums, *line);
          if (!sum)
            {
              sum = g_new0 (gint64, 1);
              g_tree_insert (sums, g_strdup (*line), sum);
            }
          *sum += g_ascii_strtoll (space + 1, NULL, 10);
        }
      g_strfreev (lines);
      cs_http_answer_clear (&answer);
    }
  cs_http_client_drop (ctl->ctx, http);
  g_free (host);
  return status;
}

static gint
compare_names (gconstpointer a, gconstpointer b, gpointer user)
{
  (void)user;
  return strcmp (a, b);
}

static gboolean
print_counter (gpointer name, gpointer sum, gpointer user)
{
  json_t *json = user;
  if (json)
    json_object_set_new (json, name, json_integer (*(gint64 *)sum));
  else
    printf ("%-48s %lld\n", (char *)name, (long long)*(gint64 *)sum);
  return FALSE;
}

int
cmd_counters (ctl_t *ctl)
{
  json_t *members, *m;
  size_t i;
  const char *only = ctl_word (ctl, 0);
  cs_status_t status = ctl_members (ctl, &members);
  if (status != CS_OK)
    return ctl_fail (ctl, status);
  GTree *sums = g_tree_new_full (compare_names, NULL, g_free, g_free);
  guint reached = 0, missed = 0;
  json_array_foreach (members, i, m)
  {
    if (only && strcmp (only, text_of (m, "node")) != 0)
      continue;
    char *address = ctl_admin_address (m);
    if (add_counters (ctl, address, sums) == CS_OK)
      reached++;
    else
      {
        missed++;
        fprintf (stderr,
                 "cardamomctl: node %s cannot be reached; its "
                 "counters are missing\n",
                 text_of (m, "node"));
      }
    g_free (address);
  }
  json_decref (members);
  json_t *json = ctl->settings.json ? json_object () : NULL;
  g_tree_foreach (sums, print_counter, json);
  if (json)
    ctl_print_json (json);
  g_tree_unref (sums);
  return reached && !missed ? EXIT_DONE : EXIT_UNAVAILABLE;
}
