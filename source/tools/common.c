/* Functions that the sub-commands share: requests to nodes, JSON input and
   output, changes and waiting for a version.  */
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "ctl.h"

#define REQUEST_TIMEOUT (10 * CS_SEC)       /* Of a request to one node.  */
#define ANSWER_BYTES_MAX ((size_t)32 << 20) /* Of the body of an answer.  */
#define POLL_INTERVAL_MS 20 /* Between two checks of the versions.  */
/* Attempts to submit a change while its outcome is unknown.  They have the
   same operation id, so the change is committed once at most.  */
#define CHANGE_ATTEMPTS_MAX 3

int
ctl_fail (ctl_t *ctl, cs_status_t status)
{
  static const exit_code_t exit_codes[] = {
    [CS_OK] = EXIT_DONE,           [CS_BAD_INPUT] = EXIT_USAGE,
    [CS_CONFLICT] = EXIT_CONFLICT, [CS_NOT_FOUND] = EXIT_FAILED,
    [CS_DENIED] = EXIT_DENIED,     [CS_UNAVAILABLE] = EXIT_UNAVAILABLE,
    [CS_UNKNOWN] = EXIT_UNKNOWN,   [CS_LIMIT_EXCEEDED] = EXIT_UNAVAILABLE,
    [CS_TOO_LARGE] = EXIT_FAILED,  [CS_CORRUPT] = EXIT_FAILED,
    [CS_INTERNAL] = EXIT_FAILED,
  };
  const char *message = cs_error_message (ctl->ctx);
  size_t len = strlen (message);
  fprintf (stderr, "cardamomctl: %s%s", message,
           len && message[len - 1] == '\n' ? "" : "\n");
  return exit_codes[status];
}

/* The status that is called NAME in a node's answer; CS_INTERNAL when NAME is
   NULL or unknown.  */
static cs_status_t
status_from_name (const char *name)
{
  for (int i = CS_OK; i <= CS_INTERNAL; i++)
    if (name && strcmp (name, cs_status_name ((cs_status_t)i)) == 0)
      return (cs_status_t)i;
  return CS_INTERNAL;
}

/* Set *RESULT to the JSON body of ANSWER if its HTTP status is 200.  Otherwise
   return the status that its body names, and store the body's message in the
   context.  */
static cs_status_t
parse_answer (ctl_t *ctl, const cs_http_answer_t *answer, json_t **result)
{
  json_t *body = json_loadb (answer->body->str, answer->body->len, 0, NULL);
  if (answer->status == 200 && body)
    {
      *result = body;
      return CS_OK;
    }
  const char *error = json_string_value (json_object_get (body, "error"));
  const char *message = json_string_value (json_object_get (body, "message"));
  cs_status_t status = cs_fail (ctl->ctx, status_from_name (error), "%s",
                                message ? message
                                        : "the node sent an invalid "
                                          "answer");
  json_decref (body);
  return status;
}

cs_status_t
ctl_request_node (ctl_t *ctl, const char *address, const char *method,
                  const char *path, const json_t *body, json_t **result)
{
  char *host;
  unsigned port;
  cs_status_t status = cs_address_parse (ctl->ctx, address, &host, &port);
  if (status != CS_OK)
    return status;
  GPtrArray *headers = cs_headers_new ();
  char *authorization = g_strconcat ("Bearer ", ctl->settings.token, NULL);
  cs_headers_add (headers, "Authorization", authorization);
  char *text = body ? json_dumps (body, JSON_COMPACT) : NULL;
  cs_http_client_t *client
      = cs_http_client_new (ctl->ctx, host, port, REQUEST_TIMEOUT);
  cs_http_request_t request = { .method = method,
                                .path = path,
                                .headers = headers,
                                .body = cs_str_of (text),
                                .answer_max = ANSWER_BYTES_MAX };
  cs_http_answer_t answer;
  status = cs_http_client_call (ctl->ctx, client, &request, &answer);
  if (status == CS_OK)
    status = parse_answer (ctl, &answer, result);
  cs_http_answer_clear (&answer);
  cs_http_client_drop (ctl->ctx, client);
  sodium_memzero (authorization, strlen (authorization));
  g_free (authorization);
  g_ptr_array_unref (headers);
  free (text);
  g_free (host);
  return status;
}

cs_status_t
ctl_request (ctl_t *ctl, const char *method, const char *path,
             const json_t *body, json_t **result)
{
  cs_status_t status
      = cs_fail (ctl->ctx, CS_BAD_INPUT, "--nodes is empty; give IP:PORT");
  char **nodes = g_strsplit (ctl->settings.nodes, ",", -1);
  for (char **node = nodes; *node; node++)
    {
      if (!*g_strstrip (*node))
        continue;
      status = ctl_request_node (ctl, *node, method, path, body, result);
      /* Without a definite outcome the next node is tried, whose status
         replaces this one, also a CS_UNKNOWN by a CS_UNAVAILABLE.  */
      bool outcome_is_definite
          = status != CS_UNAVAILABLE && status != CS_UNKNOWN;
      if (outcome_is_definite)
        break;
    }
  g_strfreev (nodes);
  return status;
}

cs_status_t
ctl_fetch_members (ctl_t *ctl, json_t **members)
{
  json_t *result;
  cs_status_t status = ctl_request (ctl, "GET", "/v1/nodes", NULL, &result);
  if (status != CS_OK)
    return status;
  *members = json_incref (json_object_get (result, "nodes"));
  json_decref (result);
  return CS_OK;
}

char *
ctl_admin_address (const json_t *member)
{
  return g_strdup_printf (
      "%s:%lld", json_string_value (json_object_get (member, "host")),
      (long long)json_integer_value (json_object_get (member, "admin_port")));
}

json_t *
ctl_read_json (ctl_t *ctl, const char *file)
{
  json_error_t error;
  (void)ctl;
  json_t *value = strcmp (file, "-") == 0
                      ? json_loadf (stdin, JSON_REJECT_DUPLICATES, &error)
                      : json_load_file (file, JSON_REJECT_DUPLICATES, &error);
  if (!value)
    fprintf (stderr, "cardamomctl: %s: line %d: %s; it must be JSON\n", file,
             error.line, error.text);
  return value;
}

int
ctl_print_json (json_t *result)
{
  char *text = json_dumps (result,
                           JSON_INDENT (2) | JSON_SORT_KEYS | JSON_ENCODE_ANY);
  puts (text);
  free (text);
  json_decref (result);
  return EXIT_DONE;
}

bool
ctl_shows_progress (const ctl_t *ctl)
{
  return !ctl->settings.json && isatty (STDERR_FILENO);
}

/* Set *LIVE to the number of live nodes, which are neither dead nor left, and
   *IN_FORCE to the number of those that have VERSION or a later one in force.
   A node that cannot be reached counts as live only.  */
static cs_status_t
count_in_force (ctl_t *ctl, int64_t version, guint *live, guint *in_force)
{
  json_t *members, *member;
  size_t i;
  *live = *in_force = 0;
  cs_status_t status = ctl_fetch_members (ctl, &members);
  if (status != CS_OK)
    return status;
  json_array_foreach (members, i, member)
  {
    json_t *node_status = NULL;
    const char *health
        = json_string_value (json_object_get (member, "health"));
    const char *state = json_string_value (json_object_get (member, "state"));
    if (strcmp (health, "dead") == 0 || strcmp (state, "left") == 0)
      continue;
    char *address = ctl_admin_address (member);
    (*live)++;
    if (ctl_request_node (ctl, address, "GET", "/v1/status", NULL,
                          &node_status)
        == CS_OK)
      *in_force
          += json_integer_value (json_object_get (node_status, "version"))
             >= version;
    json_decref (node_status);
    g_free (address);
  }
  json_decref (members);
  return CS_OK;
}

int
ctl_wait_version (ctl_t *ctl, int64_t version)
{
  cs_usec_t started_at = cs_now (ctl->ctx);
  cs_usec_t timeout = ctl->settings.wait_s * CS_SEC;
  guint live = 0, in_force = 0;
  for (;;)
    {
      cs_status_t status = count_in_force (ctl, version, &live, &in_force);
      if (status != CS_OK && status != CS_UNAVAILABLE && status != CS_UNKNOWN)
        return ctl_fail (ctl, status);
      if (ctl_shows_progress (ctl))
        fprintf (stderr, "\rversion %lld: in force on %u of %u nodes ",
                 (long long)version, in_force, live);
      if (live && in_force == live)
        break;
      if (cs_now (ctl->ctx) - started_at >= timeout)
        {
          fprintf (stderr,
                   "\ncardamomctl: version %lld is accepted, but in force on "
                   "only %u of %u nodes; see 'cardamomctl nodes'\n",
                   (long long)version, in_force, live);
          return EXIT_NOT_CONVERGED;
        }
      g_usleep (POLL_INTERVAL_MS * 1000);
    }
  if (ctl_shows_progress (ctl))
    fputc ('\n', stderr);
  if (!ctl->settings.json)
    printf ("version %lld is in force on all %u nodes\n", (long long)version,
            live);
  return EXIT_DONE;
}

/* A random operation id, which the caller frees with g_free.  */
static char *
new_operation_id (void)
{
  unsigned char random_bytes[12];
  char hex[2 * sizeof random_bytes + 1];
  randombytes_buf (random_bytes, sizeof random_bytes);
  sodium_bin2hex (hex, sizeof hex, random_bytes, sizeof random_bytes);
  return g_strdup (hex);
}

int
ctl_submit_change (ctl_t *ctl, json_t *updates)
{
  const ctl_settings_t *settings = &ctl->settings;
  char *operation_id = *settings->operation_id
                           ? g_strdup (settings->operation_id)
                           : new_operation_id ();
  json_t *result = NULL;
  json_t *body = json_pack (
      "{s:s,s:s,s:I,s:o}", "team", settings->team, "operation", operation_id,
      "expected", (json_int_t)settings->expected_version, "sets", updates);
  cs_status_t status = CS_UNKNOWN;
  for (int i = 0; i < CHANGE_ATTEMPTS_MAX && status == CS_UNKNOWN; i++)
    status = ctl_request (ctl, "POST", "/v1/changes", body, &result);
  json_decref (body);
  if (status != CS_OK)
    {
      int exit_code = ctl_fail (ctl, status);
      if (status == CS_UNKNOWN)
        fprintf (stderr, "cardamomctl: repeat with --operation=%s\n",
                 operation_id);
      g_free (operation_id);
      return exit_code;
    }
  g_free (operation_id);
  int64_t version = json_integer_value (json_object_get (result, "version"));
  int exit_code = EXIT_DONE;
  if (settings->json)
    ctl_print_json (json_incref (result));
  else
    printf ("accepted as version %lld\n", (long long)version);
  json_decref (result);
  if (settings->wait_s > 0)
    exit_code = ctl_wait_version (ctl, version);
  return exit_code;
}
