#include <jansson.h>
#include <stddef.h>
#include <stdlib.h>
#include <string.h>

#include "settings.h"

#define DURATION_MAX_S 86400.0

typedef enum
{
  TEXT,
  DURATION,
  NUMBER, /* double.  */
  COUNT   /* int64_t.  */
} value_kind_t;

static const struct
{
  const char *key;
  value_kind_t kind;
  size_t offset;
  const char *fallback; /* NULL: the key is required.  */
  const char *help;
} keys[] = {
#define AT(member) offsetof (node_settings_t, member)
  { "node", TEXT, AT (node), NULL, "name of the node" },
  { "data_centre", TEXT, AT (dc), NULL, "its data centre" },
  { "region", TEXT, AT (region), NULL, "region of the data centre" },
  { "callers", TEXT, AT (callers), NULL, "IP:PORT for callers" },
  { "ready", TEXT, AT (ready), NULL, "IP:PORT of the readiness check" },
  { "reports", TEXT, AT (reports), NULL,
    "IP:PORT for reports of the backend server" },
  { "peers", TEXT, AT (peers), NULL, "IP:PORT for other nodes" },
  { "advertised", TEXT, AT (advertised), "",
    "IP:PORT that other nodes are told instead of `peers`, behind address "
    "translation; empty: the same" },
  { "metrics", TEXT, AT (metrics), "", "IP:PORT of counters; empty: none" },
  { "service", TEXT, AT (service), "", "service of the backend server" },
  { "server", TEXT, AT (server), "",
    "IP:PORT of the backend server, to go on with it after a restart" },
  { "table", TEXT, AT (table), NULL, "IP:PORT of the platform's table" },
  { "deployment", TEXT, AT (deployment), "",
    "name of the whole mesh, the same on every node; digests of keys are "
    "keyed with it" },
  { "link_mbps", NUMBER, AT (link_mbps), "0",
    "speed of the host's link; the fastest of a region read the table" },
  { "memory_mb", COUNT, AT (memory_mb), "160",
    "memory of the host; half of it is for bodies and answers; 0: any" },
  { "max_fds", COUNT, AT (max_fds), "4096",
    "descriptors of the process; six tenths are for callers; 0: any" },
  { "first_start", COUNT, AT (first_start), "0",
    "1 when the whole mesh starts for the first time" },
  { "grace", DURATION, AT (grace), "6s",
    "time from a stop signal to the end of the process" },
  { "retry_ratio", NUMBER, AT (retry_window.ratio), "0.2",
    "second sends for each request of a service" },
  { "retry_slack", NUMBER, AT (retry_window.slack), "50",
    "second sends of all nodes besides, in a window" },
  { "retry_window", DURATION, AT (retry_window.window), "10s",
    "window of the two above" },
  { "answer_max", COUNT, AT (answer_memory.max_per_answer), "16777216",
    "bytes of one answer of the backend server" },
  { "answers_max", COUNT, AT (answer_memory.max_total), "33554432",
    "bytes of all its answers on their way in" },
  { "exposure_share", NUMBER, AT (exposure.share), "0.1",
    "part of a service's requests that may go to a bad version" },
  { "exposure_slack", NUMBER, AT (exposure.slack), "50",
    "requests besides, in each move" },
  { "fail_closed", COUNT, AT (fail_closed), "0",
    "1: refuse requests with a key while the node cannot know whether it was "
    "taken away" },
  { "revoke", DURATION, AT (revoke), "5s",
    "time in which a key that is taken away ends everywhere" },
  { "quota_window", DURATION, AT (cap_tolerance.window), "5s",
    "span over which usage caps are counted" },
  { "quota_over", NUMBER, AT (cap_tolerance.over), "0.1",
    "part of a usage cap that may be exceeded in a span" },
  { "quota_slack", NUMBER, AT (cap_tolerance.slack), "20",
    "requests besides" },
};

cs_usec_t
node_duration_parse (const char *text)
{
  char *end;
  double value = g_ascii_strtod (text, &end);
  if (end == text || !(value >= 0))
    return -1;
  double unit = strcmp (end, "s") == 0                    ? 1e6
                : strcmp (end, "ms") == 0 || *end == '\0' ? 1e3
                                                          : -1;
  if (unit < 0 || value * unit > DURATION_MAX_S * 1e6)
    return -1;
  return (cs_usec_t)(value * unit);
}

/* Parse TEXT as KIND into the field at OUT; false when it is malformed.  */
static bool
store_value (value_kind_t kind, const char *text, void *out)
{
  char *end;
  switch (kind)
    {
    case TEXT:
      return g_strlcpy (out, text, CS_NAME_SIZE) < CS_NAME_SIZE;
    case DURATION:
      *(cs_usec_t *)out = node_duration_parse (text);
      return *(cs_usec_t *)out >= 0;
    case NUMBER:
      *(double *)out = g_ascii_strtod (text, &end);
      return end != text && !*end && *(double *)out >= 0;
    case COUNT:
      *(int64_t *)out = g_ascii_strtoll (text, &end, 10);
      return end != text && !*end && *(int64_t *)out >= 0;
    }
  return false;
}

/* The text of VALUE, in BUFFER for a number; NULL for other types.  */
static const char *
value_as_text (const json_t *value, char buffer[G_ASCII_DTOSTR_BUF_SIZE])
{
  if (json_is_string (value))
    return json_string_value (value);
  if (json_is_boolean (value))
    return json_is_true (value) ? "1" : "0";
  if (json_is_number (value))
    return g_ascii_dtostr (buffer, G_ASCII_DTOSTR_BUF_SIZE,
                           json_number_value (value));
  return NULL;
}

cs_status_t
node_settings_read (cs_ctx_t *ctx, const char *path, node_settings_t *out)
{
  json_error_t error;
  node_settings_t settings = { 0 };
  json_t *root = json_load_file (path, 0, &error);
  if (!json_is_object (root))
    {
      json_decref (root);
      return cs_fail (ctx, CS_BAD_INPUT,
                      "%s is not a JSON object (line %d: %s); write one", path,
                      error.line, error.text);
    }
  for (size_t i = 0; i < G_N_ELEMENTS (keys); i++)
    {
      char number[G_ASCII_DTOSTR_BUF_SIZE];
      const json_t *value = json_object_get (root, keys[i].key);
      const char *text = value_as_text (value, number);
      if (!value || json_is_null (value) || (text && !*text))
        text = keys[i].fallback;
      if (!text
          || !store_value (keys[i].kind, text,
                           (char *)&settings + keys[i].offset))
        {
          json_decref (root);
          return cs_fail (ctx, CS_BAD_INPUT, "%s: %s: %s; give its %s", path,
                          keys[i].key, value ? "wrong value" : "missing",
                          keys[i].help);
        }
    }
  json_decref (root);
  if (!settings.advertised[0])
    g_strlcpy (settings.advertised, settings.peers,
               sizeof settings.advertised);
  *out = settings;
  return CS_OK;
}

void
node_settings_write_reference (GString *out)
{
  g_string_append (out, "| key | default | meaning |\n|---|---|---|\n");
  for (size_t i = 0; i < G_N_ELEMENTS (keys); i++)
    g_string_append_printf (out, "| `%s` | %s | %s |\n", keys[i].key,
                            keys[i].fallback ? keys[i].fallback : "required",
                            keys[i].help);
}
