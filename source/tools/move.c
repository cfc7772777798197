/* The sub-command "move": starts version moves, shows their state, waits for
   their end and rolls them back.  */
#include <stdio.h>
#include <string.h>

#include "ctl.h"

#define POLL_INTERVAL_MS 200 /* Between two requests for the state.  */

/* The document path of the move NAME in COLLECTION, "moves" for the move
   itself or ".moves" for its state.  The caller frees it with g_free.  */
static char *
move_path (const ctl_t *ctl, const char *collection, const char *name)
{
  return g_strdup_printf ("/%s/%s/%s", ctl->settings.team, collection, name);
}

/* The time that TEXT gives, either an ISO 8601 time, which is copied, or
   "+SECONDS" from now.  The caller frees it with g_free.  NULL when TEXT is
   neither.  */
static char *
parse_deadline (ctl_t *ctl, const char *text)
{
  if (text[0] == '+')
    {
      char *end;
      gint64 seconds = g_ascii_strtoll (text + 1, &end, 10);
      if (end == text + 1 || *end || seconds <= 0)
        return NULL;
      return cs_time_format (cs_now_wall (ctl->ctx) / CS_MSEC
                             + seconds * 1000);
    }
  return cs_time_parse (text) < 0 ? NULL : g_strdup (text);
}

static int
start_move (ctl_t *ctl)
{
  if (ctl->positional->len != 7)
    {
      fputs ("cardamomctl: usage: cardamomctl move start NAME SERVICE FROM TO "
             "TIME|+SECONDS\n",
             stderr);
      return EXIT_USAGE;
    }
  char *deadline = parse_deadline (ctl, ctl_argument (ctl, 5));
  if (!deadline)
    {
      fprintf (stderr,
               "cardamomctl: '%s' is not a deadline; write "
               "2026-12-04T10:00:00Z or +600\n",
               ctl_argument (ctl, 5));
      return EXIT_USAGE;
    }
  char *start = cs_time_format (cs_now_wall (ctl->ctx) / CS_MSEC);
  char *path = move_path (ctl, "moves", ctl_argument (ctl, 1));
  json_t *updates = json_pack (
      "[[s,{s:s,s:s,s:s,s:s,s:s}]]", path, "service", ctl_argument (ctl, 2),
      "from", ctl_argument (ctl, 3), "to", ctl_argument (ctl, 4), "start",
      start, "deadline", deadline);
  g_free (path);
  g_free (start);
  g_free (deadline);
  return ctl_submit_change (ctl, updates);
}

/* Fetch the documents of the team.  On CS_OK *MOVE is the document of the move
   that the arguments name and *STATE that of its state, or NULL when there is
   none yet.  Both are borrowed from *SUBTREE, which the caller drops.
   CS_NOT_FOUND when there is no such move.  */
static cs_status_t
load_move (ctl_t *ctl, json_t **subtree, json_t **move, json_t **state)
{
  char *url = g_strconcat ("/v1/subtree/", ctl->settings.team, NULL);
  cs_status_t status = ctl_request (ctl, "GET", url, NULL, subtree);
  g_free (url);
  if (status != CS_OK)
    return status;
  json_t *documents = json_object_get (*subtree, "documents");
  char *path = move_path (ctl, "moves", ctl_argument (ctl, 1));
  char *state_path = move_path (ctl, ".moves", ctl_argument (ctl, 1));
  *move = json_object_get (documents, path);
  *state = json_object_get (documents, state_path);
  if (!*move)
    {
      status = cs_fail (ctl->ctx, CS_NOT_FOUND,
                        "no move %s; see 'cardamomctl list'", path);
      json_decref (*subtree);
    }
  g_free (path);
  g_free (state_path);
  return status;
}

/* Whether STATE, which may be NULL, belongs to MOVE and not to an earlier move
   of the same name.  */
static bool
state_is_current (const json_t *move, const json_t *state)
{
  const char *start = json_string_value (json_object_get (move, "start"));
  return state
         && json_integer_value (json_object_get (state, "start_ms"))
                == cs_time_parse (start);
}

/* Set *RESULT to a summary of the move: an object {"state", "share_permille",
   "reason", "service", "from", "to", "deadline"}, which the caller drops.  A
   move that was withdrawn while it ran has the state "taken-back".  */
static cs_status_t
load_summary (ctl_t *ctl, json_t **result)
{
  json_t *subtree, *move, *state;
  cs_status_t status = load_move (ctl, &subtree, &move, &state);
  if (status != CS_OK)
    return status;
  json_t *summary = json_object ();
  const char *move_keys[] = { "service", "from", "to", "deadline" };
  for (size_t i = 0; i < G_N_ELEMENTS (move_keys); i++)
    json_object_set (summary, move_keys[i],
                     json_object_get (move, move_keys[i]));
  json_object_set_new (summary, "state", json_string ("running"));
  json_object_set_new (summary, "share_permille", json_integer (0));
  json_object_set_new (summary, "reason", json_string (""));
  if (state_is_current (move, state))
    json_object_update_existing (summary, state);
  const char *state_name
      = json_string_value (json_object_get (summary, "state"));
  if (json_is_true (json_object_get (move, "withdrawn"))
      && strcmp (state_name, "running") == 0)
    {
      json_object_set_new (summary, "state", json_string ("taken-back"));
      json_object_set_new (summary, "reason",
                           json_string ("withdrawn by the team"));
    }
  json_decref (subtree);
  *result = summary;
  return CS_OK;
}

/* The string KEY of OBJECT, or "" when there is none.  */
static const char *
summary_text (const json_t *object, const char *key)
{
  const char *text = json_string_value (json_object_get (object, key));
  return text ? text : "";
}

/* The exit code for the state of the move.  */
static int
exit_code_of (const json_t *summary)
{
  return strcmp (summary_text (summary, "state"), "taken-back") == 0
             ? EXIT_ROLLED_BACK
             : EXIT_DONE;
}

/* Print and drop SUMMARY; returns the exit code for the move's state.  */
static int
print_summary (ctl_t *ctl, json_t *summary)
{
  int exit_code = exit_code_of (summary);
  if (ctl->settings.json)
    {
      ctl_print_json (summary);
      return exit_code;
    }
  printf (
      "%s %s -> %s: %s, share %.1f%%, deadline %s%s%s\n",
      summary_text (summary, "service"), summary_text (summary, "from"),
      summary_text (summary, "to"), summary_text (summary, "state"),
      (double)json_integer_value (json_object_get (summary, "share_permille"))
          / 10.0,
      summary_text (summary, "deadline"),
      *summary_text (summary, "reason") ? ", reason: " : "",
      summary_text (summary, "reason"));
  json_decref (summary);
  return exit_code;
}

static int
wait_move (ctl_t *ctl)
{
  cs_usec_t started_at = cs_now (ctl->ctx);
  for (;;)
    {
      json_t *summary = NULL;
      cs_status_t status = load_summary (ctl, &summary);
      if (status != CS_OK && status != CS_UNAVAILABLE && status != CS_UNKNOWN)
        return ctl_fail (ctl, status);
      if (status == CS_OK
          && strcmp (summary_text (summary, "state"), "running") != 0)
        return print_summary (ctl, summary);
      if (ctl_shows_progress (ctl) && summary)
        fprintf (stderr, "\rrunning, share %lld permille   ",
                 (long long)json_integer_value (
                     json_object_get (summary, "share_permille")));
      json_decref (summary);
      if (cs_now (ctl->ctx) - started_at >= ctl->settings.wait_s * CS_SEC)
        {
          fputs ("cardamomctl: the move is still running; see 'move status'\n",
                 stderr);
          return EXIT_NOT_CONVERGED;
        }
      g_usleep (POLL_INTERVAL_MS * 1000);
    }
}

/* Roll back the move by setting "withdrawn" in its document.  */
static int
withdraw_move (ctl_t *ctl)
{
  json_t *subtree, *move, *state;
  cs_status_t status = load_move (ctl, &subtree, &move, &state);
  if (status != CS_OK)
    return ctl_fail (ctl, status);
  json_t *withdrawn = json_deep_copy (move);
  char *path = move_path (ctl, "moves", ctl_argument (ctl, 1));
  json_object_set_new (withdrawn, "withdrawn", json_true ());
  json_decref (subtree);
  json_t *updates = json_pack ("[[s,o]]", path, withdrawn);
  g_free (path);
  return ctl_submit_change (ctl, updates);
}

int
cmd_move (ctl_t *ctl)
{
  const char *action = ctl_argument (ctl, 0);
  json_t *summary;
  if (!*ctl->settings.team)
    {
      fputs ("cardamomctl: no team is set; use --team or CARDAMOM_TEAM\n",
             stderr);
      return EXIT_USAGE;
    }
  if (strcmp (action, "start") == 0)
    return start_move (ctl);
  if (strcmp (action, "back") == 0)
    return withdraw_move (ctl);
  if (strcmp (action, "wait") == 0)
    return wait_move (ctl);
  if (strcmp (action, "status") == 0)
    {
      cs_status_t status = load_summary (ctl, &summary);
      return status == CS_OK ? print_summary (ctl, summary)
                             : ctl_fail (ctl, status);
    }
  fprintf (stderr,
           "cardamomctl: no 'move %s'; use start, status, wait or back\n",
           action);
  return EXIT_USAGE;
}
