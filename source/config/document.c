#include <stdlib.h>
#include <string.h>

#include "cardamom/document.h"

typedef enum
{
  FIELD_TEXT,
  FIELD_NUMBER,
  FIELD_BOOL,
  FIELD_TIME,
  FIELD_METHODS,
  FIELD_MOVE_STATE
} field_type_t;

/* One field of a document's schema.  */
typedef struct
{
  const char *name;
  field_type_t type;
  size_t offset; /* In the struct that the document is parsed into.  */
  bool required;
  int64_t min, max; /* Bounds of a number; MAX also of the bytes of a text.  */
  int64_t default_value;
} field_t;

/* The document being parsed and where its errors are appended.  */
typedef struct
{
  const char *path;
  GString *errors;
} error_report_t;

static const char *const kind_names[] = {
  [CS_DOC_SERVICE] = "services",
  [CS_DOC_ROUTE] = "routes",
  [CS_DOC_MOVE] = "moves",
  [CS_DOC_MOVE_STATE] = ".moves",
};

static const char *const move_state_names[] = {
  [CS_MOVE_RUNNING] = "running",
  [CS_MOVE_DONE] = "done",
  [CS_MOVE_ROLLED_BACK] = "taken-back",
};

static const struct
{
  const char *name;
  unsigned bit;
} method_names[] = { { "GET", CS_GET },        { "HEAD", CS_HEAD },
                     { "POST", CS_POST },      { "PUT", CS_PUT },
                     { "DELETE", CS_DELETE },  { "PATCH", CS_PATCH },
                     { "OPTIONS", CS_OPTIONS } };

const char *
cs_move_state_name (cs_move_state_t state)
{
  return move_state_names[state];
}

unsigned
cs_method_parse (const char *name)
{
  for (size_t i = 0; i < G_N_ELEMENTS (method_names); i++)
    if (strcmp (name, method_names[i].name) == 0)
      return method_names[i].bit;
  return 0;
}

const char *
cs_method_name (unsigned method)
{
  for (size_t i = 0; i < G_N_ELEMENTS (method_names); i++)
    if (method == method_names[i].bit)
      return method_names[i].name;
  return "?";
}

bool
cs_methods_are_idempotent (unsigned methods)
{
  return (methods & (CS_POST | CS_PATCH)) == 0;
}

static bool
name_is_valid (const char *name)
{
  size_t len = strlen (name);
  if (len == 0 || len > CS_NAME_MAX_BYTES || name[0] == '-')
    return false;
  return strspn (name, "abcdefghijklmnopqrstuvwxyz0123456789-") == len;
}

cs_status_t
cs_doc_path_parse (cs_ctx_t *ctx, const char *text, cs_doc_path_t *path)
{
  char **components = g_strsplit (text, "/", 6);
  int kind = -1;
  bool has_three_components
      = g_strv_length (components) == 4 && !*components[0];
  if (has_three_components && name_is_valid (components[1])
      && name_is_valid (components[3]))
    for (size_t i = 0; i < G_N_ELEMENTS (kind_names); i++)
      if (strcmp (components[2], kind_names[i]) == 0)
        kind = (int)i;
  if (kind >= 0)
    *path = (cs_doc_path_t){ .kind = (cs_doc_kind_t)kind,
                             .team = g_strdup (components[1]),
                             .name = g_strdup (components[3]) };
  g_strfreev (components);
  if (kind < 0)
    return cs_fail (ctx, CS_BAD_INPUT,
                    "'%s' is no document path; write /TEAM/services/NAME, "
                    "/TEAM/routes/NAME or /TEAM/moves/NAME with names of "
                    "a-z, 0-9 and '-'",
                    text);
  return CS_OK;
}

void
cs_doc_path_clear (cs_doc_path_t *path)
{
  g_free (path->team);
  g_free (path->name);
  *path = (cs_doc_path_t){ 0 };
}

static void report_error (const error_report_t *report, const char *field,
                          const char *format, ...) G_GNUC_PRINTF (3, 4);

static void
report_error (const error_report_t *report, const char *field,
              const char *format, ...)
{
  va_list args;
  g_string_append_printf (report->errors, "%s: %s: ", report->path, field);
  va_start (args, format);
  g_string_append_vprintf (report->errors, format, args);
  va_end (args);
  g_string_append_c (report->errors, '\n');
}

int64_t
cs_time_parse (const char *text)
{
  GDateTime *time = g_date_time_new_from_iso8601 (text, NULL);
  if (!time)
    return -1;
  int64_t ms = g_date_time_to_unix (time) * 1000
               + g_date_time_get_microsecond (time) / 1000;
  g_date_time_unref (time);
  return ms;
}

char *
cs_time_format (int64_t wall_ms)
{
  GDateTime *time = g_date_time_new_from_unix_utc (wall_ms / 1000);
  if (!time)
    return g_strdup ("?");
  char *text = g_date_time_format (time, "%Y-%m-%dT%H:%M:%SZ");
  g_date_time_unref (time);
  return text;
}

static void
read_methods (const error_report_t *report, const field_t *field,
              const json_t *value, unsigned *dest)
{
  size_t i;
  json_t *word;
  *dest = 0;
  if (!json_is_array (value) || json_array_size (value) == 0)
    report_error (report, field->name,
                  "must be a list such as [\"GET\", \"POST\"]");
  json_array_foreach (value, i, word)
  {
    const char *text = json_string_value (word);
    unsigned bit = text ? cs_method_parse (text) : 0;
    if (!bit)
      report_error (
          report, field->name,
          "'%s' is no method; use GET, HEAD, POST, PUT, DELETE, PATCH "
          "or OPTIONS",
          text ? text : "(not a string)");
    *dest |= bit;
  }
}

static void
read_move_state (const error_report_t *report, const field_t *field,
                 const json_t *value, cs_move_state_t *dest)
{
  const char *text = json_string_value (value);
  for (size_t i = 0; text && i < G_N_ELEMENTS (move_state_names); i++)
    if (strcmp (text, move_state_names[i]) == 0)
      {
        *dest = (cs_move_state_t)i;
        return;
      }
  report_error (report, field->name, "must be running, done or taken-back");
}

static void
read_text (const error_report_t *report, const field_t *field,
           const json_t *value, char **dest)
{
  const char *text = json_string_value (value);
  if (!text || (int64_t)strlen (text) > field->max)
    report_error (report, field->name,
                  "must be a string of at most %lld bytes",
                  (long long)field->max);
  else if (field->required && !*text)
    report_error (report, field->name, "must not be empty");
  else
    *dest = g_strdup (text);
}

static void
read_number (const error_report_t *report, const field_t *field,
             const json_t *value, int64_t *dest)
{
  int64_t number = json_integer_value (value);
  if (!json_is_integer (value) || number < field->min || number > field->max)
    report_error (report, field->name,
                  "must be a whole number from %lld to %lld",
                  (long long)field->min, (long long)field->max);
  else
    *dest = number;
}

static void
read_time (const error_report_t *report, const field_t *field,
           const json_t *value, int64_t *dest)
{
  const char *text = json_string_value (value);
  *dest = text ? cs_time_parse (text) : -1;
  if (*dest < 0)
    report_error (report, field->name,
                  "must be a time such as \"2026-12-04T10:00:00Z\"");
}

static void
read_field (const error_report_t *report, const field_t *field,
            const json_t *value, void *out)
{
  void *dest = (char *)out + field->offset;
  switch (field->type)
    {
    case FIELD_TEXT:
      read_text (report, field, value, dest);
      break;
    case FIELD_NUMBER:
      read_number (report, field, value, dest);
      break;
    case FIELD_BOOL:
      if (json_is_boolean (value))
        *(bool *)dest = json_is_true (value);
      else
        report_error (report, field->name, "must be true or false");
      break;
    case FIELD_TIME:
      read_time (report, field, value, dest);
      break;
    case FIELD_METHODS:
      read_methods (report, field, value, dest);
      break;
    case FIELD_MOVE_STATE:
      read_move_state (report, field, value, dest);
      break;
    }
}

static void
read_fields (const error_report_t *report, const field_t *fields, size_t count,
             const json_t *document, void *out)
{
  const char *key;
  json_t *value;
  for (size_t i = 0; i < count; i++)
    {
      value = json_object_get (document, fields[i].name);
      if (value)
        read_field (report, &fields[i], value, out);
      else if (fields[i].required)
        report_error (report, fields[i].name, "is missing; add it");
      else if (fields[i].type == FIELD_NUMBER || fields[i].type == FIELD_TIME)
        *(int64_t *)(void *)((char *)out + fields[i].offset)
            = fields[i].default_value;
    }
  json_object_foreach ((json_t *)document, key, value)
  {
    size_t i = 0;
    while (i < count && strcmp (fields[i].name, key) != 0)
      i++;
    if (i == count)
      report_error (report, key, "is no field of this kind; remove it");
  }
}

/* Limits of texts in bytes; that of names is for services and versions.  */
#define NAME_BYTES_MAX 63
#define HOST_BYTES_MAX 253
#define PREFIX_BYTES_MAX 1024
#define REASON_BYTES_MAX 255

#define OFFSET(type, member) .offset = offsetof (type, member)

static const field_t service_fields[] = {
  { "version", FIELD_TEXT, OFFSET (cs_service_t, version), true,
    .max = NAME_BYTES_MAX },
  { "timeout_ms", FIELD_NUMBER, OFFSET (cs_service_t, timeout_ms), .min = 1,
    .max = 600000, .default_value = 2000 },
  { "retry_percent", FIELD_NUMBER, OFFSET (cs_service_t, retry_percent),
    .min = 0, .max = 100, .default_value = 10 },
  { "max_attempts", FIELD_NUMBER, OFFSET (cs_service_t, max_attempts),
    .min = 1, .max = 5, .default_value = 2 },
  { "objective_permille", FIELD_NUMBER,
    OFFSET (cs_service_t, objective_permille), .min = 1, .max = 999,
    .default_value = 999 },
  { "latency_ms", FIELD_NUMBER, OFFSET (cs_service_t, latency_objective_ms),
    .min = 1, .max = 600000, .default_value = 250 },
  { "weight", FIELD_NUMBER, OFFSET (cs_service_t, weight), .min = 1,
    .max = 100, .default_value = 10 },
};

static const field_t route_fields[] = {
  { "host", FIELD_TEXT, OFFSET (cs_route_t, host), .max = HOST_BYTES_MAX },
  { "prefix", FIELD_TEXT, OFFSET (cs_route_t, prefix), true,
    .max = PREFIX_BYTES_MAX },
  { "methods", FIELD_METHODS, OFFSET (cs_route_t, methods) },
  { "service", FIELD_TEXT, OFFSET (cs_route_t, service_path), true,
    .max = NAME_BYTES_MAX },
  { "idempotent", FIELD_BOOL, OFFSET (cs_route_t, idempotent) },
  { "timeout_ms", FIELD_NUMBER, OFFSET (cs_route_t, timeout_ms), .min = 1,
    .max = 600000, .default_value = 0 },
  { "priority", FIELD_NUMBER, OFFSET (cs_route_t, priority), .min = 0,
    .max = 3, .default_value = 1 },
};

static const field_t move_fields[] = {
  { "service", FIELD_TEXT, OFFSET (cs_move_t, service_path), true,
    .max = NAME_BYTES_MAX },
  { "from", FIELD_TEXT, OFFSET (cs_move_t, from_version), true,
    .max = NAME_BYTES_MAX },
  { "to", FIELD_TEXT, OFFSET (cs_move_t, to_version), true,
    .max = NAME_BYTES_MAX },
  { "start", FIELD_TIME, OFFSET (cs_move_t, start_ms), true },
  { "deadline", FIELD_TIME, OFFSET (cs_move_t, deadline_ms), true },
  { "first_permille", FIELD_NUMBER,
    OFFSET (cs_move_t, initial_candidate_permille), .min = 1, .max = 200,
    .default_value = 20 },
  { "withdrawn", FIELD_BOOL, OFFSET (cs_move_t, withdrawn) },
};

static const field_t move_state_fields[] = {
  { "state", FIELD_MOVE_STATE, OFFSET (cs_move_t, state), true },
  { "share_permille", FIELD_NUMBER, OFFSET (cs_move_t, candidate_permille),
    true, .min = 0, .max = CS_ALL_TRAFFIC_PERMILLE },
  { "start_ms", FIELD_NUMBER, OFFSET (cs_move_t, state_start_ms), true,
    .min = 0, .max = INT64_MAX },
  { "since_ms", FIELD_NUMBER, OFFSET (cs_move_t, last_step_ms), true, .min = 0,
    .max = INT64_MAX },
  { "epoch", FIELD_NUMBER, OFFSET (cs_move_t, lease_epoch), true, .min = 0,
    .max = INT64_MAX },
  { "reason", FIELD_TEXT, OFFSET (cs_move_t, reason),
    .max = REASON_BYTES_MAX },
};

void
cs_service_free (void *data)
{
  cs_service_t *service = data;
  g_free (service->path);
  g_free (service->team);
  g_free (service->name);
  g_free (service->version);
  g_free (service->health_path);
  g_free (service);
}

void
cs_route_free (void *data)
{
  cs_route_t *route = data;
  g_free (route->path);
  g_free (route->team);
  g_free (route->host);
  g_free (route->prefix);
  g_free (route->service_path);
  for (guint i = 0; route->split_targets && i < route->split_targets->len; i++)
    g_free (g_array_index (route->split_targets, cs_split_target_t, i)
                .service_path);
  if (route->split_targets)
    g_array_free (route->split_targets, TRUE);
  g_strfreev (route->allowed_regions);
  g_free (route);
}

void
cs_move_free (void *data)
{
  cs_move_t *move = data;
  g_free (move->path);
  g_free (move->team);
  g_free (move->name);
  g_free (move->service_path);
  g_free (move->from_version);
  g_free (move->to_version);
  g_free (move->reason);
  g_free (move);
}

/* Replace the service's name in *SERVICE by the path of its document, which
   belongs to the same team.  */
static void
resolve_service_path (const error_report_t *report, const char *team,
                      char **service)
{
  char *name = *service;
  if (!name)
    return;
  if (!name_is_valid (name))
    report_error (report, "service",
                  "'%s' must be the name of a service of this team; other "
                  "teams' paths cannot be referred to",
                  name);
  *service = g_strdup_printf ("/%s/services/%s", team, name);
  g_free (name);
}

static void *
parse_service (const error_report_t *report, const cs_doc_path_t *path,
               const json_t *document)
{
  cs_service_t *service = g_new0 (cs_service_t, 1);
  service->path = g_strdup (report->path);
  service->team = g_strdup (path->team);
  service->name = g_strdup (path->name);
  read_fields (report, service_fields, G_N_ELEMENTS (service_fields), document,
               service);
  return service;
}

static void *
parse_route (const error_report_t *report, const cs_doc_path_t *path,
             const json_t *document)
{
  cs_route_t *route = g_new0 (cs_route_t, 1);
  route->path = g_strdup (report->path);
  route->team = g_strdup (path->team);
  route->methods = CS_METHODS_ALL;
  read_fields (report, route_fields, G_N_ELEMENTS (route_fields), document,
               route);
  if (!route->host)
    route->host = g_strdup ("*");
  if (route->prefix && route->prefix[0] != '/')
    report_error (report, "prefix", "must begin with '/'");
  if (!json_object_get (document, "idempotent"))
    route->idempotent = cs_methods_are_idempotent (route->methods);
  resolve_service_path (report, path->team, &route->service_path);
  return route;
}

static void *
parse_move (const error_report_t *report, const cs_doc_path_t *path,
            const json_t *document)
{
  cs_move_t *move = g_new0 (cs_move_t, 1);
  move->path = g_strdup (report->path);
  move->team = g_strdup (path->team);
  move->name = g_strdup (path->name);
  read_fields (report, move_fields, G_N_ELEMENTS (move_fields), document,
               move);
  if (move->from_version && move->to_version
      && strcmp (move->from_version, move->to_version) == 0)
    report_error (report, "to", "must differ from the version in 'from'");
  if (move->start_ms >= 0 && move->deadline_ms >= 0
      && move->deadline_ms <= move->start_ms)
    report_error (report, "deadline", "must be after 'start'");
  resolve_service_path (report, path->team, &move->service_path);
  return move;
}

static void *
parse_move_state (const error_report_t *report, const cs_doc_path_t *path,
                  const json_t *document)
{
  (void)path;
  cs_move_t *move = g_new0 (cs_move_t, 1);
  read_fields (report, move_state_fields, G_N_ELEMENTS (move_state_fields),
               document, move);
  return move;
}

cs_status_t
cs_document_parse (cs_ctx_t *ctx, const char *path, const json_t *document,
                   void **out, GString *errors)
{
  static const struct
  {
    void *(*parse) (const error_report_t *, const cs_doc_path_t *,
                    const json_t *);
    void (*free) (void *);
  } kinds[] = {
    [CS_DOC_SERVICE] = { parse_service, cs_service_free },
    [CS_DOC_ROUTE] = { parse_route, cs_route_free },
    [CS_DOC_MOVE] = { parse_move, cs_move_free },
    [CS_DOC_MOVE_STATE] = { parse_move_state, cs_move_free },
  };
  cs_doc_path_t parsed;
  gsize initial_len = errors->len;
  error_report_t report = { .path = path, .errors = errors };
  if (cs_doc_path_parse (ctx, path, &parsed) != CS_OK)
    {
      g_string_append_printf (errors, "%s\n", cs_error_message (ctx));
      return CS_BAD_INPUT;
    }
  *out = kinds[parsed.kind].parse (&report, &parsed, document);
  if (errors->len != initial_len)
    {
      kinds[parsed.kind].free (*out);
      *out = NULL;
    }
  cs_doc_path_clear (&parsed);
  return errors->len == initial_len ? CS_OK : CS_BAD_INPUT;
}

cs_status_t
cs_document_canonicalize (cs_ctx_t *ctx, cs_str_t text, char **canonical)
{
  json_error_t error;
  if (text.len > CS_DOCUMENT_MAX_BYTES)
    return cs_fail (ctx, CS_BAD_INPUT,
                    "the document has %zu bytes; at most %d are allowed",
                    text.len, CS_DOCUMENT_MAX_BYTES);
  json_t *document
      = json_loadb (text.data, text.len, JSON_REJECT_DUPLICATES, &error);
  if (!document)
    return cs_fail (ctx, CS_BAD_INPUT,
                    "line %d, column %d: %s; the document must be one JSON "
                    "object",
                    error.line, error.column, error.text);
  if (!json_is_object (document))
    {
      json_decref (document);
      return cs_fail (ctx, CS_BAD_INPUT, "the document must be an object");
    }
  char *dumped = json_dumps (document, JSON_SORT_KEYS | JSON_COMPACT);
  *canonical = g_strdup (dumped);
  free (dumped);
  json_decref (document);
  return CS_OK;
}
