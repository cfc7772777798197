/* Sub-commands that read and write the documents of a team, and "team", which
   sets a team's token.  */
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "ctl.h"

/* Whether a team is set; prints an error message if not.  */
static bool
require_team (const ctl_t *ctl)
{
  if (*ctl->settings.team)
    return true;
  fputs ("cardamomctl: no team is set; use --team or CARDAMOM_TEAM\n", stderr);
  return false;
}

int
cmd_set (ctl_t *ctl)
{
  if (!require_team (ctl))
    return EXIT_USAGE;
  json_t *document = ctl_read_json (ctl, ctl_argument (ctl, 1));
  if (!document)
    return EXIT_USAGE;
  return ctl_submit_change (
      ctl, json_pack ("[[s,o]]", ctl_argument (ctl, 0), document));
}

int
cmd_delete (ctl_t *ctl)
{
  if (!require_team (ctl))
    return EXIT_USAGE;
  return ctl_submit_change (ctl, json_pack ("[[s,n]]", ctl_argument (ctl, 0)));
}

/* Read a bundle, an object {PATH: DOCUMENT}, which the caller drops.  Prints
   an error message and returns NULL on failure.  */
static json_t *
read_bundle (ctl_t *ctl, const char *file)
{
  json_t *bundle = ctl_read_json (ctl, file);
  if (bundle && !json_is_object (bundle))
    {
      fprintf (stderr,
               "cardamomctl: %s: must be a JSON object {PATH: DOCUMENT}\n",
               file);
      json_decref (bundle);
      return NULL;
    }
  return bundle;
}

int
cmd_apply (ctl_t *ctl)
{
  const char *path;
  json_t *document, *updates = json_array ();
  json_t *bundle
      = require_team (ctl) ? read_bundle (ctl, ctl_argument (ctl, 0)) : NULL;
  if (!bundle)
    {
      json_decref (updates);
      return EXIT_USAGE;
    }
  json_object_foreach (bundle, path, document)
  {
    json_array_append_new (updates, json_pack ("[s,O]", path, document));
  }
  json_decref (bundle);
  return ctl_submit_change (ctl, updates);
}

/* Fetch the documents of the team.  On CS_OK *SUBTREE is an object {"version",
   "head", "documents"}, which the caller drops: the version of the team's last
   change, the newest version of all teams, and the documents by path.  */
static cs_status_t
load_subtree (ctl_t *ctl, json_t **subtree)
{
  char *url = g_strconcat ("/v1/subtree/", ctl->settings.team, NULL);
  cs_status_t status = ctl_request (ctl, "GET", url, NULL, subtree);
  g_free (url);
  return status;
}

int
cmd_get (ctl_t *ctl)
{
  json_t *subtree;
  if (!require_team (ctl))
    return EXIT_USAGE;
  cs_status_t status = load_subtree (ctl, &subtree);
  if (status != CS_OK)
    return ctl_fail (ctl, status);
  json_t *document = json_incref (json_object_get (
      json_object_get (subtree, "documents"), ctl_argument (ctl, 0)));
  json_decref (subtree);
  if (!document)
    return ctl_fail (ctl, cs_fail (ctl->ctx, CS_NOT_FOUND,
                                   "no document %s; see 'cardamomctl list'",
                                   ctl_argument (ctl, 0)));
  return ctl_print_json (document);
}

int
cmd_list (ctl_t *ctl)
{
  json_t *subtree, *document;
  const char *path, *prefix = ctl_argument (ctl, 0);
  if (!require_team (ctl))
    return EXIT_USAGE;
  cs_status_t status = load_subtree (ctl, &subtree);
  if (status != CS_OK)
    return ctl_fail (ctl, status);
  if (ctl->settings.json)
    return ctl_print_json (subtree);
  printf (
      "last change of %s: version %lld\n", ctl->settings.team,
      (long long)json_integer_value (json_object_get (subtree, "version")));
  json_object_foreach (json_object_get (subtree, "documents"), path, document)
  {
    if (!prefix || g_str_has_prefix (path, prefix))
      puts (path);
  }
  json_decref (subtree);
  return EXIT_DONE;
}

/* If the documents differ, print PATH, and the old and the new document.
   OLD_DOCUMENT is NULL when the path has none yet, NEW_DOCUMENT a JSON null
   when it is removed.  */
static void
print_difference (const char *path, const json_t *old_document,
                  const json_t *new_document)
{
  char *old_text
      = old_document ? json_dumps (old_document, JSON_SORT_KEYS) : NULL;
  char *new_text = new_document && !json_is_null (new_document)
                       ? json_dumps (new_document, JSON_SORT_KEYS)
                       : NULL;
  if (g_strcmp0 (old_text, new_text) != 0)
    {
      printf ("%s\n", path);
      if (old_text)
        printf ("- %s\n", old_text);
      if (new_text)
        printf ("+ %s\n", new_text);
    }
  free (old_text);
  free (new_text);
}

int
cmd_diff (ctl_t *ctl)
{
  const char *path;
  json_t *document, *subtree;
  json_t *bundle
      = require_team (ctl) ? read_bundle (ctl, ctl_argument (ctl, 0)) : NULL;
  if (!bundle)
    return EXIT_USAGE;
  cs_status_t status = load_subtree (ctl, &subtree);
  if (status != CS_OK)
    {
      json_decref (bundle);
      return ctl_fail (ctl, status);
    }
  json_object_foreach (bundle, path, document)
  {
    print_difference (
        path, json_object_get (json_object_get (subtree, "documents"), path),
        document);
  }
  json_decref (bundle);
  json_decref (subtree);
  return EXIT_DONE;
}

/* Add the documents of BUNDLE to DOCS in canonical form.  For an invalid
   document a line is appended to ERRORS instead.  */
static void
add_bundle (ctl_t *ctl, json_t *bundle, cs_docs_t *docs, GString *errors)
{
  const char *path;
  json_t *document;
  json_object_foreach (bundle, path, document)
  {
    char *text = json_dumps (document, JSON_ENCODE_ANY);
    char *canonical = NULL;
    if (cs_document_canonicalize (ctl->ctx, cs_str_of (text), &canonical)
        == CS_OK)
      cs_docs_set (docs, path, canonical);
    else
      g_string_append_printf (errors, "%s: %s\n", path,
                              cs_error_message (ctl->ctx));
    g_free (canonical);
    free (text);
  }
}

int
cmd_check (ctl_t *ctl)
{
  GString *errors = g_string_new (NULL);
  cs_snapshot_t *snapshot = NULL;
  json_t *bundle = read_bundle (ctl, ctl_argument (ctl, 0));
  if (!bundle)
    return EXIT_USAGE;
  cs_docs_t *docs = cs_docs_new (ctl->ctx);
  add_bundle (ctl, bundle, docs, errors);
  /* The version, 1, is not printed.  */
  cs_snapshot_build (ctl->ctx, 1, docs, &snapshot, errors);
  json_decref (bundle);
  int exit_code = errors->len ? EXIT_USAGE : EXIT_DONE;
  if (errors->len)
    fputs (errors->str, stderr);
  else
    printf ("%zu documents are good\n", cs_docs_count (snapshot->docs));
  cs_snapshot_drop (ctl->ctx, snapshot);
  g_string_free (errors, TRUE);
  return exit_code;
}

/* Print CHANGE, an element of the history: a line with its version, time, team
   and operation id, and a line for each path that it set or removed.  */
static void
print_change (const json_t *change)
{
  size_t i;
  json_t *update;
  char *accepted_at = cs_time_format (
      json_integer_value (json_object_get (change, "accepted_ms")));
  printf ("version %lld  %s  by %s  operation %s\n",
          (long long)json_integer_value (json_object_get (change, "version")),
          accepted_at, json_string_value (json_object_get (change, "team")),
          json_string_value (json_object_get (change, "operation")));
  json_array_foreach (json_object_get (change, "sets"), i, update)
  {
    printf ("  %s %s\n",
            json_is_null (json_array_get (update, 1)) ? "removed" : "set",
            json_string_value (json_array_get (update, 0)));
  }
  g_free (accepted_at);
}

int
cmd_history (ctl_t *ctl)
{
  size_t i;
  json_t *history, *change;
  if (!require_team (ctl))
    return EXIT_USAGE;
  char *url = g_strconcat ("/v1/history/", ctl->settings.team, NULL);
  cs_status_t status = ctl_request (ctl, "GET", url, NULL, &history);
  g_free (url);
  if (status != CS_OK)
    return ctl_fail (ctl, status);
  if (ctl->settings.json)
    return ctl_print_json (history);
  json_array_foreach (json_object_get (history, "changes"), i, change)
  {
    print_change (change);
  }
  json_decref (history);
  return EXIT_DONE;
}

int
cmd_team (ctl_t *ctl)
{
  unsigned char random_bytes[24];
  char token[2 * 24 + 1];
  cs_platform_t *platform;
  const char *name = ctl_argument (ctl, 1);
  /* A team name is valid if a document path with it is.  */
  char *sample_path = g_strdup_printf ("/%s/services/x", name);
  cs_doc_path_t parsed_path;
  cs_status_t status = cs_doc_path_parse (ctl->ctx, sample_path, &parsed_path);
  g_free (sample_path);
  if (status != CS_OK || strcmp (ctl_argument (ctl, 0), "add") != 0)
    {
      fputs ("cardamomctl: usage: cardamomctl team add NAME, with a name of "
             "a-z, 0-9 and '-'\n",
             stderr);
      return EXIT_USAGE;
    }
  cs_doc_path_clear (&parsed_path);
  randombytes_buf (random_bytes, sizeof random_bytes);
  sodium_bin2hex (token, sizeof token, random_bytes, sizeof random_bytes);
  status = cs_platform_open (ctl->ctx, "http", ctl->settings.platform_address,
                             &platform);
  if (status != CS_OK)
    return ctl_fail (ctl, status);
  status = cs_team_set_token (ctl->ctx, platform, name, token);
  cs_platform_drop (ctl->ctx, platform);
  if (status != CS_OK)
    return ctl_fail (ctl, status);
  puts (token);
  return EXIT_DONE;
}
