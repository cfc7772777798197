/* What the sub-commands share: requests to nodes, files, waiting.  */
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "ctl.h"

#define TIMEOUT (10 * CS_SEC) /* Of one call of an operator.  */
#define ANSWER_MAX ((size_t)32 << 20)
#define POLL_MS 20
#define UNKNOWN_TRIES 3 /* Repeats of a change whose answer was lost.  */

int
ctl_fail (ctl_t *ctl, cs_status_t status)
{
  static const exit_code_t codes[] = {
    [CS_OK] = EXIT_DONE,           [CS_BAD_INPUT] = EXIT_USAGE,
    [CS_CONFLICT] = EXIT_CONFLICT, [CS_NOT_FOUND] = EXIT_FAILED,
    [CS_DENIED] = EXIT_DENIED,     [CS_UNAVAILABLE] = EXIT_UNAVAILABLE,
    [CS_UNKNOWN] = EXIT_UNKNOWN,   [CS_LIMIT_EXCEEDED] = EXIT_UNAVAILABLE,
    [CS_CORRUPT] = EXIT_FAILED,    [CS_INTERNAL] = EXIT_FAILED,
  };
  const char *message = cs_error_message (ctl->ctx);
  size_t len = strlen (message);
  fprintf (stderr, "cardamomctl: %s%s", message,
           len && message[len - 1] == '\n' ? "" : "\n");
  return codes[status];
}

static cs_status_t
status_of_name (const char *name)
{
  for (int i = CS_OK; i <= CS_INTERNAL; i++)
    if (name && strcmp (name, cs_status_name ((cs_status_t)i)) == 0)
      return (cs_status_t)i;
  return CS_INTERNAL;
}

static cs_status_t
take_answer (ctl_t *ctl, const cs_http_answer_t *answer, json_t **result)
{
  json_t *body = json_loadb (answer->body->str, answer->body->len, 0, NULL);
  if (answer->status == 200 && body)
    {
      *result = body;
      return CS_OK;
    }
  const char *error = json_string_value (json_object_get (body, "error"));
  const char *message = json_string_value (json_object_get (body, "message"));
  cs_status_t status = cs_fail (ctl->ctx, status_of_name (error), "%s",
                                message ? message
                                        : "the node's answer is "
                                          "not understood");
  json_decref (body);
  return status;
}

cs_status_t
ctl_request_at (ctl_t *ctl, const char *address, const char *method,
                const char *path, const json_t *body, json_t **result)
{
  char *host;
  unsigned port;
  cs_status_t status = cs_address_parse (ctl->ctx, address, &host, &port);
  if (status != CS_OK)
    return status;
  GPtrArray *headers = cs_headers_new ();
  char *bearer = g_strconcat ("Bearer ", ctl->settings.token, NULL);
  cs_headers_add (headers, "Authorization", bearer);
  char *text = body ? json_dumps (body, JSON_COMPACT) : NULL;
  cs_http_client_t *http = cs_http_client_new (ctl->ctx, host, port, TIMEOUT);
  cs_http_request_t request = { .method = method,
                                .path = path,
                                .headers = headers,
                                .body = cs_str_of (text),
                                .answer_max = ANSWER_MAX };
  cs_http_answer_t answer;
  status = cs_http_client_call (ctl->ctx, http, &request, &answer);
  if (status == CS_OK)
    status = take_answer (ctl, &answer, result);
  cs_http_answer_clear (&answer);
  cs_http_client_drop (ctl->ctx, http);
  sodium_memzero (bearer, strlen (bearer));
  g_free (bearer);
  g_ptr_array_unref (headers);
  free (text);
  g_free (host);
  return status;
}

cs_status_t
ctl_request (ctl_t *ctl, const char *method, const char *path,
             const json_t *body, json_t **result)
{
  cs_status_t status = cs_fail (ctl->ctx, CS_BAD_INPUT,
                                "--nodes names no node; give IP:PORT");
  char **nodes = g_strsplit (ctl->settings.nodes, ",", -1);
  for (char **node = nodes; *node; node++)
    {
      if (!*g_strstrip (*node))
        continue;
      status = ctl_request_at (ctl, *node, method, path, body, result);
      bool reached = status != CS_UNAVAILABLE && status != CS_UNKNOWN;
      if (reached)
        break;
    }
  g_strfreev (nodes);
  return status;
}

cs_status_t
ctl_members (ctl_t *ctl, json_t **members)
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

/* How many live nodes there are and how many have VERSION in force.  */
static cs_status_t
count_in_force (ctl_t *ctl, int64_t version, guint *live, guint *there)
{
  json_t *members, *member;
  size_t i;
  *live = *there = 0;
  cs_status_t status = ctl_members (ctl, &members);
  if (status != CS_OK)
    return status;
  json_array_foreach (members, i, member)
  {
    json_t *node = NULL;
    const char *health
        = json_string_value (json_object_get (member, "health"));
    const char *state = json_string_value (json_object_get (member, "state"));
    if (strcmp (health, "dead") == 0 || strcmp (state, "left") == 0)
      continue;
    char *address = ctl_admin_address (member);
    (*live)++;
    if (ctl_request_at (ctl, address, "GET", "/v1/status", NULL, &node)
        == CS_OK)
      *there
          += json_integer_value (json_object_get (node, "version")) >= version;
    json_decref (node);
    g_free (address);
  }
  json_decref (members);
  return CS_OK;
}

int
ctl_wait_version (ctl_t *ctl, int64_t version)
{
  cs_usec_t started = cs_now (ctl->ctx);
  cs_usec_t limit = ctl->settings.wait_s * CS_SEC;
  guint live = 0, there = 0;
  for (;;)
    {
      cs_status_t status = count_in_force (ctl, version, &live, &there);
      if (status != CS_OK && status != CS_UNAVAILABLE && status != CS_UNKNOWN)
        return ctl_fail (ctl, status);
      if (ctl_shows_progress (ctl))
        fprintf (stderr, "\rversion %lld: in force on %u of %u nodes ",
                 (long long)version, there, live);
      if (live && there == live)
        break;
      if (cs_now (ctl->ctx) - started >= limit)
        {
          fprintf (stderr,
                   "\ncardamomctl: version %lld is accepted, but in force on "
                   "%u of %u nodes only; see 'cardamomctl nodes'\n",
                   (long long)version, there, live);
          return EXIT_NOT_CONVERGED;
        }
      g_usleep (POLL_MS * 1000);
    }
  if (ctl_shows_progress (ctl))
    fputc ('\n', stderr);
  if (!ctl->settings.json)
    printf ("version %lld is in force on all %u nodes\n", (long long)version,
            live);
  return EXIT_DONE;
}

static char *
new_operation (void)
{
  unsigned char raw[12];
  char hex[2 * sizeof raw + 1];
  randombytes_buf (raw, sizeof raw);
  sodium_bin2hex (hex, sizeof hex, raw, sizeof raw);
  return g_strdup (hex);
}

int
ctl_change (ctl_t *ctl, json_t *sets)
{
  const ctl_settings_t *s = &ctl->settings;
  char *operation = *s->operation ? g_strdup (s->operation) : new_operation ();
  json_t *result = NULL;
  json_t *body = json_pack ("{s:s,s:s,s:I,s:o}", "team", s->team, "operation",
                            operation, "expected", (json_int_t)s->expected,
                            "sets", sets);
  cs_status_t status = CS_UNKNOWN;
  for (int i = 0; i < UNKNOWN_TRIES && status == CS_UNKNOWN; i++)
    status = ctl_request (ctl, "POST", "/v1/changes", body, &result);
  json_decref (body);
  if (status != CS_OK)
    {
      int code = ctl_fail (ctl, status);
      if (status == CS_UNKNOWN)
        fprintf (stderr, "cardamomctl: repeat with --operation=%s\n",
                 operation);
      g_free (operation);
      return code;
    }
  g_free (operation);
  int64_t version = json_integer_value (json_object_get (result, "version"));
  int code = EXIT_DONE;
  if (s->json)
    ctl_print_json (json_incref (result));
  else
    printf ("accepted as version %lld\n", (long long)version);
  json_decref (result);
  if (s->wait_s > 0)
    code = ctl_wait_version (ctl, version);
  return code;
}
