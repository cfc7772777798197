/* Sub-commands that read and write a team's documents.  */
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "ctl.h"

static bool
has_team (const ctl_t *ctl)
{
  if (*ctl->settings.team)
    return true;
  fputs ("cardamomctl: name your team with --team or CARDAMOM_TEAM\n", stderr);
  return false;
}

int
cmd_set (ctl_t *ctl)
{
  if (!has_team (ctl))
    return EXIT_USAGE;
  json_t *document = ctl_read_json (ctl, ctl_word (ctl, 1));
  if (!document)
    return EXIT_USAGE;
  return ctl_change (ctl, json_pack ("[[s,o]]", ctl_word (ctl, 0), document));
}

int
cmd_delete (ctl_t *ctl)
{
  if (!has_team (ctl))
    return EXIT_USAGE;
  return ctl_change (ctl, json_pack ("[[s,n]]", ctl_word (ctl, 0)));
}

static json_t *
read_bundle (ctl_t *ctl, const char *file)
{
  json_t *bundle = ctl_read_json (ctl, file);
  if (bundle && !json_is_object (bundle))
    {
      fprintf (stderr, "cardamomctl: %s: must be an object {PATH: DOCUMENT}\n",
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
  json_t *document, *sets = json_array ();
  json_t *bundle
      = has_team (ctl) ? read_bundle (ctl, ctl_word (ctl, 0)) : NULL;
  if (!bundle)
    {
      json_decref (sets);
      return EXIT_USAGE;
    }
  json_object_foreach (bundle, path, document)
  {
    json_array_append_new (sets, json_pack ("[s,O]", path, document));
  }
  json_decref (bundle);
  return ctl_change (ctl, sets);
}

/* The subtree of the team: {"version", "head", "documents"}.  */
static cs_status_t
load_subtree (ctl_t *ctl, json_t **subtree)
{
  char *path = g_strconcat ("/v1/subtree/", ctl->settings.team, NULL);
  cs_status_t status = ctl_request (ctl, "GET", path, NULL, subtree);
  g_free (path);
  return status;
}

int
cmd_get (ctl_t *ctl)
{
  json_t *subtree;
  if (!has_team (ctl))
    return EXIT_USAGE;
  cs_status_t status = load_subtree (ctl, &subtree);
  if (status != CS_OK)
    return ctl_fail (ctl, status);
  json_t *document = json_incref (json_object_get (
      json_object_get (subtree, "documents"), ctl_word (ctl, 0)));
  json_decref (subtree);
  if (!document)
    return ctl_fail (ctl, cs_fail (ctl->ctx, CS_NOT_FOUND,
                                   "no document %s; see 'cardamomctl list'",
                                   ctl_word (ctl, 0)));
  return ctl_print_json (document);
}

int
cmd_list (ctl_t *ctl)
{
  json_t *subtree, *document;
  const char *path, *prefix = ctl_word (ctl, 0);
  if (!has_team (ctl))
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

static void
print_difference (const char *path, const json_t *old, const json_t *new)
{
  char *before = old ? json_dumps (old, JSON_SORT_KEYS) : NULL;
  char *after
      = new && !json_is_null (new) ? json_dumps (new, JSON_SORT_KEYS) : NULL;
  if (g_strcmp0 (before, after) != 0)
    {
      printf ("%s\n", path);
      if (before)
        printf ("- %s\n", before);
      if (after)
        printf ("+ %s\n", after);
    }
  free (before);
  free (after);
}

int
cmd_diff (ctl_t *ctl)
{
  const char *path;
  json_t *document, *subtree;
  json_t *bundle
      = has_team (ctl) ? read_bundle (ctl, ctl_word (ctl, 0)) : NULL;
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

/* Put the bundle's documents into DOCS; errors go to ERRORS.  */
static void
collect_bundle (ctl_t *ctl, json_t *bundle, cs_docs_t *docs, GString *errors)
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
  json_t *bundle = read_bundle (ctl, ctl_word (ctl, 0));
  if (!bundle)
    return EXIT_USAGE;
  cs_docs_t *docs = cs_docs_new (ctl->ctx);
  collect_bundle (ctl, bundle, docs, errors);
  cs_snapshot_build (ctl->ctx, 1, docs, &snapshot, errors);
  json_decref (bundle);
  int code = errors->len ? EXIT_USAGE : EXIT_DONE;
  if (errors->len)
    fputs (errors->str, stderr);
  else
    printf ("%zu documents are good\n", cs_docs_count (snapshot->docs));
  cs_snapshot_drop (ctl->ctx, snapshot);
  g_string_free (errors, TRUE);
  return code;
}

static void
print_change (const json_t *change)
{
  size_t i;
  json_t *set;
  char *when = cs_time_format (
      json_integer_value (json_object_get (change, "accepted_ms")));
  printf ("version %lld  %s  by %s  operation %s\n",
          (long long)json_integer_value (json_object_get (change, "version")),
          when, json_string_value (json_object_get (change, "team")),
          json_string_value (json_object_get (change, "operation")));
  json_array_foreach (json_object_get (change, "sets"), i, set)
  {
    printf ("  %s %s\n",
            json_is_null (json_array_get (set, 1)) ? "removed" : "set",
            json_string_value (json_array_get (set, 0)));
  }
  g_free (when);
}

int
cmd_history (ctl_t *ctl)
{
  size_t i;
  json_t *history, *change;
  if (!has_team (ctl))
    return EXIT_USAGE;
  char *path = g_strconcat ("/v1/history/", ctl->settings.team, NULL);
  cs_status_t status = ctl_request (ctl, "GET", path, NULL, &history);
  g_free (path);
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
  unsigned char raw[24];
  char token[2 * 24 + 1];
  cs_platform_t *platform;
  const char *name = ctl_word (ctl, 1);
  char *probe = g_strdup_printf ("/%s/services/x", name);
  cs_doc_path_t path;
  cs_status_t status = cs_doc_path_parse (ctl->ctx, probe, &path);
  g_free (probe);
  if (status != CS_OK || strcmp (ctl_word (ctl, 0), "add") != 0)
    {
      fputs ("cardamomctl: usage: cardamomctl team add NAME, with a name of "
             "a-z, 0-9 and '-'\n",
             stderr);
      return EXIT_USAGE;
    }
  cs_doc_path_clear (&path);
  randombytes_buf (raw, sizeof raw);
  sodium_bin2hex (token, sizeof token, raw, sizeof raw);
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
