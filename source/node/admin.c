/* The operators' HTTP port: announcements, counters, status, settings.  */
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "moves.h"
#include "node.h"
#include "operator.h"
#include "slo.h"

#define BODY_MAX ((size_t)4 << 20)
#define CONNECTIONS_MAX 64
#define IDLE_S 30

typedef void (*handler_t) (node_t *node, const cs_httpd_request_t *in,
                           cs_httpd_answer_t *out);

void
admin_json (cs_httpd_answer_t *out, int status, json_t *body)
{
  char *text = json_dumps (body, JSON_INDENT (2) | JSON_SORT_KEYS);
  cs_httpd_answer_set_text (out, status, "application/json", text);
  free (text);
  json_decref (body);
}

void
admin_error (cs_httpd_answer_t *out, cs_status_t status, const char *message)
{
  static const int codes[] = {
    [CS_OK] = 200,        [CS_BAD_INPUT] = 400,      [CS_CONFLICT] = 409,
    [CS_NOT_FOUND] = 404, [CS_DENIED] = 403,         [CS_UNAVAILABLE] = 503,
    [CS_UNKNOWN] = 504,   [CS_LIMIT_EXCEEDED] = 429, [CS_CORRUPT] = 500,
    [CS_INTERNAL] = 500,
  };
  admin_json (out, codes[status],
              json_pack ("{s:s,s:s}", "error", cs_status_name (status),
                         "message", message));
}

static void
get_counters (node_t *node, const cs_httpd_request_t *in,
              cs_httpd_answer_t *out)
{
  GString *text = g_string_new (NULL);
  (void)node;
  (void)in;
  cs_counters_write (text);
  cs_httpd_answer_set_text (out, 200, "text/plain; version=0.0.4", text->str);
  g_string_free (text, TRUE);
}

static void
collect_status (control_t *control, void *arg)
{
  static const char *const states[] = { "joining", "up", "draining", "left" };
  const cs_member_t *self = cs_members_self (control_members (control));
  cs_dist_t *dist = control_dist (control);
  GPtrArray *mates = cs_members_of_dc (control_members (control), self->dc);
  *(json_t **)arg = json_pack (
      "{s:s,s:s,s:s,s:s,s:I,s:o,s:b,s:b,s:i,s:i,s:I}", "node", self->name,
      "dc", self->dc, "region", self->region, "state", states[self->state],
      "version", (json_int_t)cs_dist_active_version (dist), "digest",
      json_sprintf ("%016llx",
                    (unsigned long long)cs_dist_active_digest (dist)),
      "ready", cs_dist_ready (dist), "store_ok", cs_dist_store_ok (dist),
      "rank", (int)cs_members_own_rank (control_members (control)), "mates",
      (int)mates->len - 1, "incarnation", (json_int_t)self->incarnation);
  g_ptr_array_unref (mates);
}

static void
get_status (node_t *node, const cs_httpd_request_t *in, cs_httpd_answer_t *out)
{
  json_t *status = NULL;
  (void)in;
  control_call (node->control, collect_status, &status);
  admin_json (out, 200, status);
}

static json_t *
json_of_member (const cs_member_t *m)
{
  static const char *const states[] = { "joining", "up", "draining", "left" };
  static const char *const healths[] = { "alive", "suspect", "dead" };
  return json_pack (
      "{s:s,s:s,s:i,s:i,s:s,s:s,s:s,s:s,s:s,s:s,s:I,s:b}", "node", m->name,
      "host", m->host, "peer_port", (int)m->port, "admin_port",
      (int)m->admin_port, "dc", m->dc, "region", m->region, "state",
      states[m->state], "health", healths[m->health], "service",
      m->endpoint.service, "version", m->endpoint.version, "slots",
      (json_int_t)m->endpoint.slots, "draining", m->endpoint.draining);
}

static void
collect_members (control_t *control, void *arg)
{
  json_t *list = json_array ();
  GPtrArray *all = cs_members_all (control_members (control));
  for (guint i = 0; i < all->len; i++)
    json_array_append_new (list, json_of_member (all->pdata[i]));
  g_ptr_array_unref (all);
  *(json_t **)arg = list;
}

static void
get_members (node_t *node, const cs_httpd_request_t *in,
             cs_httpd_answer_t *out)
{
  json_t *list = NULL;
  (void)in;
  control_call (node->control, collect_members, &list);
  admin_json (out, 200, json_pack ("{s:o}", "nodes", list));
}

static void
collect_moves (control_t *control, void *arg)
{
  *(json_t **)arg = moves_report (control);
}

static void
get_moves (node_t *node, const cs_httpd_request_t *in, cs_httpd_answer_t *out)
{
  json_t *list = NULL;
  (void)in;
  control_call (node->control, collect_moves, &list);
  admin_json (out, 200, json_pack ("{s:o}", "moves", list));
}

static void
describe_routes (control_t *control, void *arg)
{
  moves_describe_routes (control, arg);
}

static void
get_slo (node_t *node, const cs_httpd_request_t *in, cs_httpd_answer_t *out)
{
  json_t *routes = slo_report (node->slo);
  (void)in;
  control_call (node->control, describe_routes, routes);
  admin_json (
      out, 200,
      json_pack ("{s:s,s:o}", "node", node->settings.node, "routes", routes));
}

/* {"service", "version", "port", "slots", "state": "up", "draining" or
   "leaving", "instance", "ttl_ms"}; the last two may be left out.  */
static void
post_announce (node_t *node, const cs_httpd_request_t *in,
               cs_httpd_answer_t *out)
{
  json_error_t error;
  const char *service, *version, *state = "up", *instance = "";
  json_int_t port, slots, ttl = node->settings.announce_ttl_ms;
  json_t *body = json_loadb (in->body.data, in->body.len, 0, &error);
  if (!body
      || json_unpack_ex (
             body, &error, JSON_STRICT, "{s:s,s:s,s:I,s:I,s?s,s?s,s?I}",
             "service", &service, "version", &version, "port", &port, "slots",
             &slots, "state", &state, "instance", &instance, "ttl_ms", &ttl)
             != 0)
    admin_error (out, CS_BAD_INPUT, error.text);
  else if (port < 1 || port > 65535 || slots < 1 || slots > 10000 || ttl < 100
           || ttl > 600000)
    admin_error (out, CS_BAD_INPUT,
                 "port must be 1 to 65535, slots 1 to 10000, ttl_ms 100 to "
                 "600000");
  else if (strcmp (state, "up") != 0 && strcmp (state, "draining") != 0
           && strcmp (state, "leaving") != 0)
    admin_error (out, CS_BAD_INPUT, "state must be up, draining or leaving");
  else
    {
      announcement_t a = { .service = (char *)service,
                           .version = (char *)version,
                           .instance = (char *)instance,
                           .port = (unsigned)port,
                           .slots = slots,
                           .ttl_ms = ttl,
                           .draining = strcmp (state, "draining") == 0,
                           .leaving = strcmp (state, "leaving") == 0 };
      serve_announce (node->serve, &a);
      admin_json (out, 200, json_pack ("{s:I}", "ttl_ms", ttl));
    }
  json_decref (body);
}

static void
post_fault (node_t *node, const cs_httpd_request_t *in, cs_httpd_answer_t *out)
{
  const char *dc = NULL;
  int cut = 0;
  json_t *body = json_loadb (in->body.data, in->body.len, 0, NULL);
  if (!node->settings.test_faults)
    admin_error (out, CS_DENIED, "faults are off; start with --test-faults=1");
  else if (json_unpack (body, "{s:s,s:b}", "dc", &dc, "cut", &cut) != 0)
    admin_error (out, CS_BAD_INPUT, "send {\"dc\": NAME, \"cut\": true}");
  else
    {
      peers_cut (node->peers, dc, cut);
      admin_json (out, 200, json_object ());
    }
  json_decref (body);
}

static const struct
{
  const char *method, *path;
  bool prefix;
  handler_t handler;
} routes[] = {
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
on_admin (void *user, const cs_httpd_request_t *in, cs_httpd_answer_t *out)
{
  node_t *node = user;
  bool known = false;
  node_thread_ctx (node);
  for (size_t i = 0; i < G_N_ELEMENTS (routes); i++)
    {
      bool match = routes[i].prefix
                       ? g_str_has_prefix (in->request_target, routes[i].path)
                       : strcmp (in->request_target, routes[i].path) == 0;
      if (!match)
        continue;
      known = true;
      if (strcmp (in->method, routes[i].method) == 0)
        {
          routes[i].handler (node, in, out);
          return;
        }
    }
  if (known)
    admin_json (out, 405,
                json_pack ("{s:s,s:s}", "error", "bad-input", "message",
                           "this path takes another method"));
  else
    admin_error (out, CS_NOT_FOUND,
                 "no such path; see PROTOCOL.md for the operators' port");
}

cs_httpd_t *
admin_start (node_t *node)
{
  const node_settings_t *s = &node->settings;
  cs_httpd_t *httpd = NULL;
  cs_httpd_options_t options = { .host = s->admin_host,
                                 .port = (unsigned)s->admin_port,
                                 .body_max = BODY_MAX,
                                 .connections_max = CONNECTIONS_MAX,
                                 .idle_timeout_s = IDLE_S };
  cs_httpd_start (node->ctx, &options, on_admin, node, &httpd);
  return httpd;
}
