/* The operators' HTTP port: announcements of the upstream, counters, status,
   and the configuration (see operator.c).  */
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "moves.h"
#include "node.h"
#include "operator.h"
#include "slo.h"

#define BODY_BYTES_MAX ((size_t)4 << 20)
#define OPERATOR_CONNECTIONS_MAX 64
#define IDLE_TIMEOUT_S 30 /* Of a connection.  */

/* Answers one request, in a thread of the HTTP server.  */
typedef void (*handler_t) (node_t *node, const cs_httpd_request_t *request,
                           cs_httpd_answer_t *answer);

void
admin_set_json_answer (cs_httpd_answer_t *answer, int status, json_t *body)
{
  char *text = json_dumps (body, JSON_INDENT (2) | JSON_SORT_KEYS);
  cs_httpd_answer_set_text (answer, status, "application/json", text);
  free (text);
  json_decref (body);
}

void
admin_set_error_answer (cs_httpd_answer_t *answer, cs_status_t status,
                        const char *message)
{
  static const int http_statuses[] = {
    [CS_OK] = 200,        [CS_BAD_INPUT] = 400,      [CS_CONFLICT] = 409,
    [CS_NOT_FOUND] = 404, [CS_DENIED] = 403,         [CS_UNAVAILABLE] = 503,
    [CS_UNKNOWN] = 504,   [CS_LIMIT_EXCEEDED] = 429, [CS_CORRUPT] = 500,
    [CS_TOO_LARGE] = 500, [CS_INTERNAL] = 500,
  };
  admin_set_json_answer (answer, http_statuses[status],
                         json_pack ("{s:s,s:s}", "error",
                                    cs_status_name (status), "message",
                                    message));
}

static void
get_counters (node_t *node, const cs_httpd_request_t *request,
              cs_httpd_answer_t *answer)
{
  GString *text = g_string_new (NULL);
  (void)node;
  (void)request;
  cs_counters_write (text);
  cs_httpd_answer_set_text (answer, 200, "text/plain; version=0.0.4",
                            text->str);
  g_string_free (text, TRUE);
}

/* The collect functions and describe_routes run in the control thread, which
   owns the members and moves.  */

static void
collect_status (control_t *control, void *arg)
{
  static const char *const state_names[]
      = { "joining", "up", "draining", "left" };
  const cs_member_t *self = cs_members_self (control_members (control));
  cs_dist_t *dist = control_dist (control);
  GPtrArray *dc_members
      = cs_members_of_dc (control_members (control), self->dc);
  *(json_t **)arg = json_pack (
      "{s:s,s:s,s:s,s:s,s:I,s:o,s:b,s:b,s:i,s:i,s:I}", "node", self->name,
      "dc", self->dc, "region", self->region, "state",
      state_names[self->state], "version",
      (json_int_t)cs_dist_active_version (dist), "digest",
      json_sprintf ("%016llx",
                    (unsigned long long)cs_dist_active_digest (dist)),
      "ready", cs_dist_ready (dist), "store_ok", cs_dist_store_ok (dist),
      "rank", (int)cs_members_own_rank (control_members (control)), "mates",
      (int)dc_members->len - 1, "incarnation", (json_int_t)self->incarnation);
  g_ptr_array_unref (dc_members);
}

static void
get_status (node_t *node, const cs_httpd_request_t *request,
            cs_httpd_answer_t *answer)
{
  json_t *status = NULL;
  (void)request;
  control_run_sync (node->control, collect_status, &status);
  admin_set_json_answer (answer, 200, status);
}

static json_t *
json_of_member (const cs_member_t *member)
{
  static const char *const state_names[]
      = { "joining", "up", "draining", "left" };
  static const char *const health_names[] = { "alive", "suspect", "dead" };
  return json_pack (
      "{s:s,s:s,s:i,s:i,s:s,s:s,s:s,s:s,s:s,s:s,s:I,s:b}", "node",
      member->name, "host", member->host, "peer_port", (int)member->port,
      "admin_port", (int)member->admin_port, "dc", member->dc, "region",
      member->region, "state", state_names[member->state], "health",
      health_names[member->health], "service", member->endpoint.service,
      "version", member->endpoint.version, "slots",
      (json_int_t)member->endpoint.slots, "draining",
      member->endpoint.draining);
}

static void
collect_members (control_t *control, void *arg)
{
  json_t *members = json_array ();
  GPtrArray *all = cs_members_all (control_members (control));
  for (guint i = 0; i < all->len; i++)
    json_array_append_new (members, json_of_member (all->pdata[i]));
  g_ptr_array_unref (all);
  *(json_t **)arg = members;
}

static void
get_members (node_t *node, const cs_httpd_request_t *request,
             cs_httpd_answer_t *answer)
{
  json_t *members = NULL;
  (void)request;
  control_run_sync (node->control, collect_members, &members);
  admin_set_json_answer (answer, 200, json_pack ("{s:o}", "nodes", members));
}

static void
collect_moves (control_t *control, void *arg)
{
  *(json_t **)arg = moves_report (control);
}

static void
get_moves (node_t *node, const cs_httpd_request_t *request,
           cs_httpd_answer_t *answer)
{
  json_t *moves = NULL;
  (void)request;
  control_run_sync (node->control, collect_moves, &moves);
  admin_set_json_answer (answer, 200, json_pack ("{s:o}", "moves", moves));
}

static void
describe_routes (control_t *control, void *arg)
{
  moves_describe_routes (control, arg);
}

static void
get_slo (node_t *node, const cs_httpd_request_t *request,
         cs_httpd_answer_t *answer)
{
  json_t *routes = slo_report (node->slo);
  (void)request;
  control_run_sync (node->control, describe_routes, routes);
  admin_set_json_answer (
      answer, 200,
      json_pack ("{s:s,s:o}", "node", node->settings.node, "routes", routes));
}

/* POST /v1/announce {"service", "version", "port", "slots", "state": "up",
   "draining" or "leaving", "instance", "ttl_ms"}; the last three are
   optional.  */
static void
post_announce (node_t *node, const cs_httpd_request_t *request,
               cs_httpd_answer_t *answer)
{
  json_error_t error;
  const char *service, *version, *state = "up", *instance = "";
  json_int_t port, slots, ttl = node->settings.announce_ttl_ms;
  json_t *body = json_loadb (request->body.data, request->body.len, 0, &error);
  if (!body
      || json_unpack_ex (
             body, &error, JSON_STRICT, "{s:s,s:s,s:I,s:I,s?s,s?s,s?I}",
             "service", &service, "version", &version, "port", &port, "slots",
             &slots, "state", &state, "instance", &instance, "ttl_ms", &ttl)
             != 0)
    admin_set_error_answer (answer, CS_BAD_INPUT, error.text);
  else if (port < 1 || port > 65535 || slots < 1 || slots > 10000 || ttl < 100
           || ttl > 600000)
    admin_set_error_answer (
        answer, CS_BAD_INPUT,
        "port must be 1 to 65535, slots 1 to 10000, ttl_ms 100 to "
        "600000");
  else if (strcmp (state, "up") != 0 && strcmp (state, "draining") != 0
           && strcmp (state, "leaving") != 0)
    admin_set_error_answer (answer, CS_BAD_INPUT,
                            "state must be up, draining or leaving");
  else
    {
      announcement_t announcement
          = { .service = (char *)service,
              .version = (char *)version,
              .instance = (char *)instance,
              .port = (unsigned)port,
              .slots = slots,
              .ttl_ms = ttl,
              .draining = strcmp (state, "draining") == 0,
              .leaving = strcmp (state, "leaving") == 0 };
      local_upstream_announce (node->local_upstream, &announcement);
      admin_set_json_answer (answer, 200, json_pack ("{s:I}", "ttl_ms", ttl));
    }
  json_decref (body);
}

/* POST /v1/fault {"dc", "cut"}: start ("cut" is true) or stop dropping the
   frames from and to a data centre, for tests.  */
static void
post_fault (node_t *node, const cs_httpd_request_t *request,
            cs_httpd_answer_t *answer)
{
  const char *dc = NULL;
  int blocked = 0;
  json_t *body = json_loadb (request->body.data, request->body.len, 0, NULL);
  if (!node->settings.test_faults)
    admin_set_error_answer (answer, CS_DENIED,
                            "faults are off; start with --test-faults=1");
  else if (json_unpack (body, "{s:s,s:b}", "dc", &dc, "cut", &blocked) != 0)
    admin_set_error_answer (answer, CS_BAD_INPUT,
                            "send {\"dc\": NAME, \"cut\": true}");
  else
    {
      peers_set_dc_blocked (node->peers, dc, blocked);
      admin_set_json_answer (answer, 200, json_object ());
    }
  json_decref (body);
}

static const struct
{
  const char *method, *path;
  bool path_is_prefix;
  handler_t handler;
} handlers[] = {
  { "GET", "/counters", false, get_counters },
  { "GET", "/v1/status", false, get_status },
  { "GET", "/v1/nodes", false, get_members },
  { "GET", "/v1/slo", false, get_slo },
  { "GET", "/v1/moves", false, get_moves },
  { "POST", "/v1/announce", false, post_announce },
  { "POST", "/v1/fault", false, post_fault },
  { "POST", "/v1/changes", false, operator_post_change },
  { "GET", "/v1/subtree/", true, operator_get_subtree },
  { "GET", "/v1/history/", true, operator_get_history },
  { "GET", "/v1/operation/", true, operator_get_operation },
};

static void
handle_request (void *user, const cs_httpd_request_t *request,
                cs_httpd_answer_t *answer)
{
  node_t *node = user;
  bool path_found = false;
  node_thread_ctx (node);
  for (size_t i = 0; i < G_N_ELEMENTS (handlers); i++)
    {
      bool matches
          = handlers[i].path_is_prefix
                ? g_str_has_prefix (request->request_target, handlers[i].path)
                : strcmp (request->request_target, handlers[i].path) == 0;
      if (!matches)
        continue;
      path_found = true;
      if (strcmp (request->method, handlers[i].method) == 0)
        {
          handlers[i].handler (node, request, answer);
          return;
        }
    }
  if (path_found)
    admin_set_json_answer (answer, 405,
                           json_pack ("{s:s,s:s}", "error", "bad-input",
                                      "message",
                                      "this path takes another method"));
  else
    admin_set_error_answer (
        answer, CS_NOT_FOUND,
        "no such path; see PROTOCOL.md for the operators' port");
}

cs_httpd_t *
admin_server_start (node_t *node)
{
  const node_settings_t *settings = &node->settings;
  cs_httpd_t *httpd = NULL;
  cs_httpd_options_t options = { .host = settings->admin_host,
                                 .port = (unsigned)settings->admin_port,
                                 .body_max = BODY_BYTES_MAX,
                                 .connections_max = OPERATOR_CONNECTIONS_MAX,
                                 .idle_timeout_s = IDLE_TIMEOUT_S };
  cs_httpd_start (node->ctx, &options, handle_request, node, &httpd);
  return httpd;
}
