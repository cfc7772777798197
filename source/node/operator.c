/* Requests to the operators' port that read and write configuration.  */
#include <stdlib.h>
#include <string.h>

#include "operator.h"

#define CHANGE_WRITES_MAX 256 /* Documents that one change writes.  */

/* The context and the connection to the platform that an operator's request
   uses.  It is opened for each request, as such requests are rare.  */
typedef struct
{
  node_t *node;
  cs_ctx_t *ctx;
  cs_platform_t *platform;
} platform_session_t;

static cs_status_t
open_session (node_t *node, platform_session_t *session)
{
  session->node = node;
  session->ctx = node_thread_ctx (node);
  session->platform = NULL;
  return cs_platform_open (session->ctx, node->settings.platform,
                           node->settings.platform_address,
                           &session->platform);
}

static void
close_session (platform_session_t *session)
{
  cs_platform_drop (session->ctx, session->platform);
}

/* Fill ANSWER from STATUS, an error, and the last error message.  */
static void
set_error_answer (platform_session_t *session, cs_status_t status,
                  cs_httpd_answer_t *answer)
{
  admin_set_error_answer (answer, status, cs_error_message (session->ctx));
}

/* Check that REQUEST has the token of TEAM.  */
static cs_status_t
check_token (platform_session_t *session, const cs_httpd_request_t *request,
             const char *team)
{
  const char *header = cs_headers_get (request->headers, "Authorization");
  if (!header || !g_str_has_prefix (header, "Bearer "))
    return cs_fail (session->ctx, CS_DENIED,
                    "send the team's token as 'Authorization: Bearer TOKEN'");
  return cs_team_check_token (session->ctx, session->platform, team,
                              header + strlen ("Bearer "));
}

/* Append ENTRY, a pair [PATH, DOCUMENT], to CHANGE.  Only documents of TEAM
   that operators write are allowed.  */
static cs_status_t
parse_write (cs_ctx_t *ctx, const char *team, const json_t *entry,
             cs_change_t *change)
{
  const char *path = json_string_value (json_array_get (entry, 0));
  json_t *document = json_array_get (entry, 1);
  cs_doc_path_t parsed;
  char *canonical = NULL;
  if (!path)
    return cs_fail (ctx, CS_BAD_INPUT, "each set must be [PATH, DOCUMENT]");
  cs_status_t status = cs_doc_path_parse (ctx, path, &parsed);
  if (status != CS_OK)
    return status;
  if (strcmp (parsed.team, team) != 0)
    status = cs_fail (ctx, CS_DENIED,
                      "%s is not in the subtree of '%s'; write to your own "
                      "team's paths",
                      path, team);
  else if (parsed.kind == CS_DOC_MOVE_STATE)
    status = cs_fail (ctx, CS_DENIED,
                      "%s is written by the system; change the move itself",
                      path);
  else if (document && !json_is_null (document))
    {
      char *text = json_dumps (document, JSON_COMPACT | JSON_ENCODE_ANY);
      status = cs_document_canonicalize (ctx, cs_str_of (text), &canonical);
      free (text);
    }
  cs_doc_path_clear (&parsed);
  if (status == CS_OK)
    cs_change_add_write (change, path, canonical);
  g_free (canonical);
  return status;
}

static cs_status_t
parse_writes (cs_ctx_t *ctx, const char *team, const json_t *sets,
              cs_change_t *change)
{
  size_t i;
  json_t *entry;
  cs_status_t status = CS_OK;
  if (!json_is_array (sets) || json_array_size (sets) == 0
      || json_array_size (sets) > CHANGE_WRITES_MAX)
    return cs_fail (ctx, CS_BAD_INPUT,
                    "'sets' must hold 1 to %d pairs [PATH, DOCUMENT]",
                    CHANGE_WRITES_MAX);
  json_array_foreach (sets, i, entry)
  {
    if (status == CS_OK)
      status = parse_write (ctx, team, entry, change);
  }
  return status;
}

static void
pass_change_to_dist (control_t *control, void *arg)
{
  cs_dist_on_accepted (control_ctx (control), control_dist (control), arg);
}

/* Commit the change in BODY and set *VERSION to its version.  A change that
   was not committed before is passed to the configuration distribution.  */
static cs_status_t
commit_change (platform_session_t *session, const cs_httpd_request_t *request,
               json_t *body, int64_t *version)
{
  cs_ctx_t *ctx = session->ctx;
  json_error_t error;
  const char *team, *operation;
  json_int_t expected;
  json_t *sets;
  if (json_unpack_ex (body, &error, JSON_STRICT, "{s:s,s:s,s:I,s:o}", "team",
                      &team, "operation", &operation, "expected", &expected,
                      "sets", &sets)
      != 0)
    return cs_fail (ctx, CS_BAD_INPUT, "%s", error.text);
  if (!*operation || strlen (operation) > CS_NAME_MAX_BYTES
      || strchr (operation, '/'))
    return cs_fail (ctx, CS_BAD_INPUT,
                    "'operation' must have 1 to %d characters without '/'",
                    CS_NAME_MAX_BYTES);
  cs_status_t status = check_token (session, request, team);
  if (status != CS_OK)
    return status;
  cs_change_t *change = cs_change_new (), *accepted = NULL;
  status = parse_writes (ctx, team, sets, change);
  cs_proposal_t proposal = { .team = team,
                             .operation = operation,
                             .expected_version = expected,
                             .change = change };
  if (status == CS_OK)
    status = cs_proposal_commit (ctx, session->platform, &proposal, version,
                                 &accepted);
  cs_change_free (change);
  if (accepted)
    control_post (session->node->control, pass_change_to_dist, accepted,
                  cs_change_free);
  return status;
}

void
operator_post_change (node_t *node, const cs_httpd_request_t *request,
                      cs_httpd_answer_t *answer)
{
  platform_session_t session;
  json_error_t error;
  int64_t version = 0;
  json_t *body = json_loadb (request->body.data, request->body.len,
                             JSON_REJECT_DUPLICATES, &error);
  cs_status_t status = open_session (node, &session);
  if (status == CS_OK && !body)
    status = cs_fail (session.ctx, CS_BAD_INPUT, "line %d: %s", error.line,
                      error.text);
  if (status == CS_OK)
    status = commit_change (&session, request, body, &version);
  json_decref (body);
  if (status == CS_OK)
    admin_set_json_answer (
        answer, 200, json_pack ("{s:I}", "version", (json_int_t)version));
  else
    set_error_answer (&session, status, answer);
  close_session (&session);
}

/* The part of REQUEST's target after PREFIX, which it starts with.  */
static const char *
target_after (const cs_httpd_request_t *request, const char *prefix)
{
  return request->request_target + strlen (prefix);
}

/* Argument of add_document, which collects the documents whose paths start
   with PREFIX.  */
typedef struct
{
  char *prefix;
  json_t *docs; /* path -> document.  */
} subtree_documents_t;

static gboolean
add_document (gpointer path, gpointer text, gpointer user)
{
  subtree_documents_t *subtree = user;
  if (g_str_has_prefix (path, subtree->prefix))
    json_object_set_new (subtree->docs, path, json_loads (text, 0, NULL));
  return FALSE;
}

/* Set *RESULT, which the caller owns, to the documents of TEAM.  */
static cs_status_t
load_subtree (platform_session_t *session, const char *team, json_t **result)
{
  cs_ctx_t *ctx = session->ctx;
  cs_config_head_t head;
  cs_docs_t *docs = NULL;
  cs_row_t *row = NULL;
  char *key = g_strconcat ("cs/sub/", team, NULL);
  cs_status_t status
      = cs_platform_read_row (ctx, session->platform, key, &row);
  g_free (key);
  if (status != CS_OK && status != CS_NOT_FOUND)
    return status;
  int64_t version = row ? g_ascii_strtoll (row->value->str, NULL, 10) : 0;
  cs_row_free (row);
  status = cs_docs_load (ctx, session->platform, &head, &docs);
  if (status != CS_OK)
    return status;
  subtree_documents_t subtree = { .prefix = g_strconcat ("/", team, "/", NULL),
                                  .docs = json_object () };
  cs_docs_foreach (docs, add_document, &subtree);
  *result = json_pack ("{s:I,s:I,s:o}", "version", (json_int_t)version, "head",
                       (json_int_t)head.version, "documents", subtree.docs);
  g_free (subtree.prefix);
  cs_docs_drop (ctx, docs);
  return CS_OK;
}

void
operator_get_subtree (node_t *node, const cs_httpd_request_t *request,
                      cs_httpd_answer_t *answer)
{
  platform_session_t session;
  json_t *result = NULL;
  const char *team = target_after (request, "/v1/subtree/");
  cs_status_t status = open_session (node, &session);
  if (status == CS_OK)
    status = check_token (&session, request, team);
  if (status == CS_OK)
    status = load_subtree (&session, team, &result);
  if (status == CS_OK)
    admin_set_json_answer (answer, 200, result);
  else
    set_error_answer (&session, status, answer);
  close_session (&session);
}

static json_t *
json_of_change (const cs_change_t *change)
{
  json_t *sets = json_array ();
  for (guint i = 0; i < change->writes->len; i++)
    {
      const cs_doc_write_t *doc_write = change->writes->pdata[i];
      json_t *document = doc_write->document
                             ? json_loads (doc_write->document, 0, NULL)
                             : NULL;
      json_array_append_new (sets,
                             json_pack ("[s,o]", doc_write->path,
                                        document ? document : json_null ()));
    }
  return json_pack ("{s:I,s:s,s:s,s:I,s:o}", "version",
                    (json_int_t)change->version, "team", change->team,
                    "operation", change->operation, "accepted_ms",
                    (json_int_t)change->accepted_ms, "sets", sets);
}

/* Whether CHANGE writes a document of TEAM.  */
static bool
changes_subtree (const cs_change_t *change, const char *team)
{
  char *prefix = g_strconcat ("/", team, "/", NULL);
  bool found = false;
  for (guint i = 0; i < change->writes->len; i++)
    found = found
            || g_str_has_prefix (
                ((cs_doc_write_t *)change->writes->pdata[i])->path, prefix);
  g_free (prefix);
  return found;
}

/* Set *RESULT, which the caller owns, to the changes of TEAM's documents.  */
static cs_status_t
load_history (platform_session_t *session, const char *team, json_t **result)
{
  cs_config_head_t head;
  cs_status_t status
      = cs_config_head_load (session->ctx, session->platform, &head);
  if (status != CS_OK)
    return status;
  GPtrArray *changes = cs_changes_new ();
  int64_t after = MAX (head.version - CS_CHANGE_LOG_MAX_VERSIONS, 0);
  status = cs_changes_load (session->ctx, session->platform, after, changes);
  json_t *listed = json_array ();
  for (guint i = 0; i < changes->len; i++)
    if (changes_subtree (changes->pdata[i], team))
      json_array_append_new (listed, json_of_change (changes->pdata[i]));
  g_ptr_array_unref (changes);
  *result = json_pack ("{s:I,s:o}", "head", (json_int_t)head.version,
                       "changes", listed);
  if (status != CS_OK)
    json_decref (*result);
  return status;
}

void
operator_get_history (node_t *node, const cs_httpd_request_t *request,
                      cs_httpd_answer_t *answer)
{
  platform_session_t session;
  json_t *result = NULL;
  const char *team = target_after (request, "/v1/history/");
  cs_status_t status = open_session (node, &session);
  if (status == CS_OK)
    status = check_token (&session, request, team);
  if (status == CS_OK)
    status = load_history (&session, team, &result);
  if (status == CS_OK)
    admin_set_json_answer (answer, 200, result);
  else
    set_error_answer (&session, status, answer);
  close_session (&session);
}

void
operator_get_operation (node_t *node, const cs_httpd_request_t *request,
                        cs_httpd_answer_t *answer)
{
  platform_session_t session;
  char **team_and_id
      = g_strsplit (target_after (request, "/v1/operation/"), "/", 2);
  cs_row_t *row = NULL;
  cs_status_t status = open_session (node, &session);
  if (status == CS_OK && g_strv_length (team_and_id) != 2)
    status
        = cs_fail (session.ctx, CS_BAD_INPUT, "write /v1/operation/TEAM/ID");
  if (status == CS_OK)
    status = check_token (&session, request, team_and_id[0]);
  if (status == CS_OK)
    {
      char *key
          = g_strconcat ("cs/op/", team_and_id[0], "/", team_and_id[1], NULL);
      status = cs_platform_read_row (session.ctx, session.platform, key, &row);
      g_free (key);
    }
  if (status == CS_OK)
    admin_set_json_answer (
        answer, 200,
        json_pack ("{s:I}", "version",
                   (json_int_t)g_ascii_strtoll (row->value->str, NULL, 10)));
  else
    set_error_answer (&session, status, answer);
  cs_row_free (row);
  g_strfreev (team_and_id);
  close_session (&session);
}
