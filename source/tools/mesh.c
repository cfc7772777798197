/* Sub-commands that query the nodes: "wait", "nodes", "upstreams" and
   "counters".  */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "ctl.h"

#define COUNTERS_TIMEOUT (5 * CS_SEC) /* Of a request for counters.  */
#define COUNTERS_BYTES_MAX (1u << 20) /* Of the answer to it.  */

int
cmd_wait (ctl_t *ctl)
{
  char *end;
  gint64 version = g_ascii_strtoll (ctl_argument (ctl, 0), &end, 10);
  if (*end || version < 1)
    {
      fputs ("cardamomctl: VERSION must be a whole number from 1\n", stderr);
      return EXIT_USAGE;
    }
  return ctl_wait_version (ctl, version);
}

/* The string KEY of OBJECT, or "-" when there is none.  */
static const char *
member_text (const json_t *object, const char *key)
{
  const char *text = json_string_value (json_object_get (object, key));
  return text ? text : "-";
}

/* Request the status of the node of MEMBER and add to MEMBER "reached" and, if
   it answered, "config_version", "digest" and "store_ok".  */
static void
add_node_status (ctl_t *ctl, json_t *member)
{
  json_t *status = NULL;
  char *address = ctl_admin_address (member);
  bool reached
      = ctl_request_node (ctl, address, "GET", "/v1/status", NULL, &status)
        == CS_OK;
  g_free (address);
  json_object_set_new (member, "reached", json_boolean (reached));
  if (reached)
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
  json_t *members, *member;
  size_t i;
  cs_status_t status = ctl_fetch_members (ctl, &members);
  if (status != CS_OK)
    return ctl_fail (ctl, status);
  json_array_foreach (members, i, member) { add_node_status (ctl, member); }
  if (ctl->settings.json)
    return ctl_print_json (members);
  printf ("%-16s %-12s %-12s %-9s %-8s %-8s %s\n", "NODE", "DC", "REGION",
          "STATE", "HEALTH", "CONFIG", "STORE");
  json_array_foreach (members, i, member)
  {
    const json_t *version = json_object_get (member, "config_version");
    char version_text[32];
    snprintf (version_text, sizeof version_text, "%lld",
              (long long)json_integer_value (version));
    printf ("%-16s %-12s %-12s %-9s %-8s %-8s %s\n",
            member_text (member, "node"), member_text (member, "dc"),
            member_text (member, "region"), member_text (member, "state"),
            member_text (member, "health"), version ? version_text : "-",
            !version ? "-"
            : json_is_true (json_object_get (member, "store_ok"))
                ? "ok"
                : "not read");
  }
  json_decref (members);
  return EXIT_DONE;
}

int
cmd_upstreams (ctl_t *ctl)
{
  json_t *members, *member;
  size_t i;
  cs_status_t status = ctl_fetch_members (ctl, &members);
  if (status != CS_OK)
    return ctl_fail (ctl, status);
  if (ctl->settings.json)
    return ctl_print_json (members);
  printf ("%-32s %-10s %-16s %-12s %-6s %s\n", "SERVICE", "VERSION", "NODE",
          "DC", "SLOTS", "STATE");
  json_array_foreach (members, i, member)
  {
    if (!*member_text (member, "service"))
      continue;
    bool draining = json_is_true (json_object_get (member, "draining"));
    bool dead = strcmp (member_text (member, "health"), "dead") == 0;
    printf ("%-32s %-10s %-16s %-12s %-6lld %s\n",
            member_text (member, "service"), member_text (member, "version"),
            member_text (member, "node"), member_text (member, "dc"),
            (long long)json_integer_value (json_object_get (member, "slots")),
            dead       ? "dead"
            : draining ? "draining"
                       : member_text (member, "state"));
  }
  json_decref (members);
  return EXIT_DONE;
}

/* Fetch the counters of the node whose admin port is at ADDRESS and add them
   to SUMS, a tree from name to gint64.  */
static cs_status_t
add_counters (ctl_t *ctl, const char *address, GTree *sums)
{
  char *host;
  unsigned port;
  cs_http_answer_t answer;
  cs_status_t status = cs_address_parse (ctl->ctx, address, &host, &port);
  if (status != CS_OK)
    return status;
  cs_http_client_t *client
      = cs_http_client_new (ctl->ctx, host, port, COUNTERS_TIMEOUT);
  cs_http_request_t request = { .method = "GET",
                                .path = "/counters",
                                .answer_max = COUNTERS_BYTES_MAX };
  status = cs_http_client_call (ctl->ctx, client, &request, &answer);
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
  cs_http_client_drop (ctl->ctx, client);
  g_free (host);
  return status;
}

static gint
compare_names (gconstpointer a, gconstpointer b, gpointer user_data)
{
  (void)user_data;
  return strcmp (a, b);
}

/* Add the counter to the JSON object USER_DATA, or print it if that is NULL.
   Returns FALSE so that the traversal of the tree goes on.  */
static gboolean
print_counter (gpointer name, gpointer sum, gpointer user_data)
{
  json_t *object = user_data;
  if (object)
    json_object_set_new (object, name, json_integer (*(gint64 *)sum));
  else
    printf ("%-48s %lld\n", (char *)name, (long long)*(gint64 *)sum);
  return FALSE;
}

int
cmd_counters (ctl_t *ctl)
{
  json_t *members, *member;
  size_t i;
  const char *node_name = ctl_argument (ctl, 0);
  cs_status_t status = ctl_fetch_members (ctl, &members);
  if (status != CS_OK)
    return ctl_fail (ctl, status);
  GTree *sums = g_tree_new_full (compare_names, NULL, g_free, g_free);
  guint reached = 0, unreachable = 0;
  json_array_foreach (members, i, member)
  {
    if (node_name && strcmp (node_name, member_text (member, "node")) != 0)
      continue;
    char *address = ctl_admin_address (member);
    if (add_counters (ctl, address, sums) == CS_OK)
      reached++;
    else
      {
        unreachable++;
        fprintf (stderr,
                 "cardamomctl: node %s cannot be reached; its "
                 "counters are missing\n",
                 member_text (member, "node"));
      }
    g_free (address);
  }
  json_decref (members);
  json_t *object = ctl->settings.json ? json_object () : NULL;
  g_tree_foreach (sums, print_counter, object);
  if (object)
    ctl_print_json (object);
  g_tree_unref (sums);
  return reached && !unreachable ? EXIT_DONE : EXIT_UNAVAILABLE;
}
