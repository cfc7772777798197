/* Remote platform over HTTP.  The table uses the JSON gateway of the etcd v3
   API (/v3/kv/range and /v3/kv/txn); objects use PUT and GET with entity
   tags.  */
#include <jansson.h>
#include <string.h>

#include "cardamom/http.h"
#include "cardamom/platform.h"
#include "cardamom/registry.h"

/* A slow platform takes a few hundred milliseconds.  */
#define CALL_TIMEOUT (2 * CS_SEC)
#define READ_ATTEMPTS_MAX 3

typedef struct
{
  cs_platform_t base;
  cs_http_client_t *http;
} remote_platform_t;

static const cs_platform_vtable_t remote_vtable;

static cs_status_t
remote_open (cs_ctx_t *ctx, const char *address, cs_platform_t **platform)
{
  char *host;
  unsigned port;
  cs_status_t status = cs_address_parse (ctx, address, &host, &port);
  if (status != CS_OK)
    return status;
  remote_platform_t *remote = cs_calloc (ctx, sizeof *remote);
  remote->base.vtable = &remote_vtable;
  remote->http = cs_http_client_new (ctx, host, port, CALL_TIMEOUT);
  g_free (host);
  *platform = &remote->base;
  return CS_OK;
}

static void
remote_drop (cs_ctx_t *ctx, cs_platform_t *platform)
{
  cs_http_client_drop (ctx, ((remote_platform_t *)platform)->http);
  cs_free (ctx, platform);
}

static json_t *
json_base64 (const char *data, size_t len)
{
  char *text = g_base64_encode ((const guchar *)data, len);
  json_t *value = json_string (text);
  g_free (text);
  return value;
}

static json_t *
json_base64_text (const char *text)
{
  return json_base64 (text, strlen (text));
}

/* The API's JSON mapping encodes 64-bit integers as strings.  */
static json_t *
json_int64 (int64_t value)
{
  return json_sprintf ("%lld", (long long)value);
}

static int64_t
json_int64_value (const json_t *value)
{
  if (json_is_integer (value))
    return json_integer_value (value);
  const char *text = json_string_value (value);
  return text ? g_ascii_strtoll (text, NULL, 10) : 0;
}

static cs_status_t
fail_with_http_status (cs_ctx_t *ctx, int status)
{
  if (status == 429 || status == 503)
    return cs_fail (ctx, CS_UNAVAILABLE,
                    "the platform refused with HTTP %d; try later", status);
  return cs_fail (ctx, CS_UNKNOWN, "the platform answered HTTP %d", status);
}

/* POSTs BODY to PATH and parses the answer into *RESULT, which the caller
   owns.  Consumes the reference to BODY.  */
static cs_status_t
post_json (cs_ctx_t *ctx, remote_platform_t *remote, const char *path,
           json_t *body, bool reuse, json_t **result)
{
  char *text = json_dumps (body, JSON_COMPACT);
  json_decref (body);
  cs_http_request_t request = { .method = "POST",
                                .path = path,
                                .body = cs_str_of (text),
                                .answer_max = CS_OBJECT_MAX_BYTES,
                                .reuse_connection = reuse };
  cs_http_answer_t answer;
  cs_status_t status
      = cs_http_client_call (ctx, remote->http, &request, &answer);
  free (text);
  if (status != CS_OK)
    return status;
  if (answer.status != 200)
    status = fail_with_http_status (ctx, answer.status);
  else
    {
      *result = json_loadb (answer.body->str, answer.body->len, 0, NULL);
      if (!json_is_object (*result))
        {
          json_decref (*result);
          status = cs_fail (ctx, CS_UNKNOWN,
                            "the platform's answer is no JSON object");
        }
    }
  cs_http_answer_clear (&answer);
  return status;
}

/* As post_json, for reads.  A read has no effect, so it is retried when its
   outcome is unknown, and reported as unavailable after the last attempt.  */
static cs_status_t
post_json_read (cs_ctx_t *ctx, remote_platform_t *remote, const char *path,
                json_t *body, json_t **result)
{
  cs_status_t status = CS_UNKNOWN;
  for (int attempt = 0; attempt < READ_ATTEMPTS_MAX && status == CS_UNKNOWN;
       attempt++)
    status = post_json (ctx, remote, path, json_incref (body), true, result);
  json_decref (body);
  return status == CS_UNKNOWN ? CS_UNAVAILABLE : status;
}

static cs_status_t
add_row (cs_ctx_t *ctx, const json_t *kv, GPtrArray *rows)
{
  const char *key64 = json_string_value (json_object_get (kv, "key"));
  const char *value64 = json_string_value (json_object_get (kv, "value"));
  if (!key64)
    return cs_fail (ctx, CS_UNKNOWN, "a row of the platform has no key");
  gsize key_len, value_len = 0;
  guchar *key = g_base64_decode (key64, &key_len);
  guchar *value = g_base64_decode (value64 ? value64 : "", &value_len);
  char *name = g_strndup ((char *)key, key_len);
  cs_str_t content = { .data = (char *)value, .len = value_len };
  g_ptr_array_add (
      rows,
      cs_row_new (name, content,
                  json_int64_value (json_object_get (kv, "mod_revision"))));
  g_free (name);
  g_free (key);
  g_free (value);
  return CS_OK;
}

static cs_status_t
remote_range (cs_ctx_t *ctx, cs_platform_t *platform,
              const cs_range_query_t *range, GPtrArray *rows,
              int64_t *revision)
{
  json_t *body = json_object ();
  json_object_set_new (body, "key", json_base64_text (range->first_key));
  if (range->end_key)
    json_object_set_new (body, "range_end", json_base64_text (range->end_key));
  if (range->min_revision)
    json_object_set_new (body, "min_mod_revision",
                         json_int64 (range->min_revision));
  if (range->max_rows)
    json_object_set_new (body, "limit", json_int64 (range->max_rows));
  json_t *result = NULL;
  cs_status_t status = post_json_read (ctx, (remote_platform_t *)platform,
                                       "/v3/kv/range", body, &result);
  if (status != CS_OK)
    return status;
  *revision = json_int64_value (
      json_object_get (json_object_get (result, "header"), "revision"));
  size_t kv_index;
  json_t *kv;
  json_array_foreach (json_object_get (result, "kvs"), kv_index, kv)
  {
    if (status == CS_OK)
      status = add_row (ctx, kv, rows);
  }
  json_decref (result);
  return status;
}

static json_t *
condition_to_json (const cs_txn_condition_t *condition)
{
  return json_pack ("{s:o,s:s,s:s,s:o}", "key",
                    json_base64_text (condition->key), "target", "MOD",
                    "result", "EQUAL", "mod_revision",
                    json_int64 (condition->revision));
}

static json_t *
write_to_json (const cs_txn_write_t *write)
{
  if (write->is_delete)
    return json_pack ("{s:{s:o}}", "request_delete_range", "key",
                      json_base64_text (write->key));
  return json_pack ("{s:{s:o,s:o}}", "request_put", "key",
                    json_base64_text (write->key), "value",
                    json_base64 (write->value.data, write->value.len));
}

static cs_status_t
remote_commit (cs_ctx_t *ctx, cs_platform_t *platform, const cs_txn_t *txn,
               int64_t *revision)
{
  json_t *compare = json_array (), *success = json_array ();
  for (size_t i = 0; i < txn->condition_count; i++)
    json_array_append_new (compare, condition_to_json (&txn->conditions[i]));
  for (size_t i = 0; i < txn->write_count; i++)
    json_array_append_new (success, write_to_json (&txn->writes[i]));
  json_t *body
      = json_pack ("{s:o,s:o}", "compare", compare, "success", success);
  json_t *result = NULL;
  cs_status_t status = post_json (ctx, (remote_platform_t *)platform,
                                  "/v3/kv/txn", body, false, &result);
  if (status != CS_OK)
    return status;
  bool succeeded = json_is_true (json_object_get (result, "succeeded"));
  *revision = json_int64_value (
      json_object_get (json_object_get (result, "header"), "revision"));
  json_decref (result);
  if (!succeeded)
    return cs_fail (ctx, CS_CONFLICT, "a row changed meanwhile; read again");
  return CS_OK;
}

static char *
object_path (const char *key)
{
  char *escaped = g_uri_escape_string (key, "/", FALSE);
  char *path = g_strconcat ("/objects/", escaped, NULL);
  g_free (escaped);
  return path;
}

static cs_status_t
remote_put (cs_ctx_t *ctx, cs_platform_t *platform, const char *key,
            cs_str_t body, const char *if_tag)
{
  GPtrArray *headers = cs_headers_new ();
  if (if_tag && *if_tag)
    cs_headers_add (headers, "If-Match", if_tag);
  else if (if_tag)
    cs_headers_add (headers, "If-None-Match", "*");
  char *path = object_path (key);
  cs_http_request_t request = { .method = "PUT",
                                .path = path,
                                .headers = headers,
                                .body = body,
                                .answer_max = CS_OBJECT_MAX_BYTES };
  cs_http_answer_t answer;
  cs_status_t status = cs_http_client_call (
      ctx, ((remote_platform_t *)platform)->http, &request, &answer);
  if (status == CS_OK && answer.status == 412)
    status
        = cs_fail (ctx, CS_CONFLICT, "object '%s' changed; read again", key);
  else if (status == CS_OK && answer.status / 100 != 2)
    status = fail_with_http_status (ctx, answer.status);
  cs_http_answer_clear (&answer);
  g_free (path);
  g_ptr_array_unref (headers);
  return status;
}

static cs_status_t
remote_get (cs_ctx_t *ctx, cs_platform_t *platform, const char *key,
            GString *body, char **tag)
{
  char *path = object_path (key);
  cs_http_request_t request
      = { .method = "GET", .path = path, .answer_max = CS_OBJECT_MAX_BYTES };
  cs_http_answer_t answer;
  cs_status_t status = cs_http_client_call (
      ctx, ((remote_platform_t *)platform)->http, &request, &answer);
  g_free (path);
  if (status == CS_UNKNOWN)
    status = CS_UNAVAILABLE; /* Reads have no effect.  */
  if (status != CS_OK)
    return status;
  if (answer.status == 404)
    status = cs_fail (ctx, CS_NOT_FOUND, "no object '%s'", key);
  else if (answer.status != 200)
    {
      fail_with_http_status (ctx, answer.status);
      status = CS_UNAVAILABLE;
    }
  else
    {
      g_string_append_len (body, answer.body->str, (gssize)answer.body->len);
      if (tag)
        *tag = g_strdup (cs_headers_get (answer.headers, "ETag"));
    }
  cs_http_answer_clear (&answer);
  return status;
}

static const cs_platform_vtable_t remote_vtable = {
  .open = remote_open,
  .drop = remote_drop,
  .read_range = remote_range,
  .commit = remote_commit,
  .put_object = remote_put,
  .get_object = remote_get,
};

static cs_plugin_t remote_plugin = {
  .kind = CS_PLUGIN_PLATFORM,
  .name = "http",
  .summary = "table and object service over HTTP and JSON",
  .vtable = &remote_vtable,
};

CS_PLUGIN (remote_plugin)
