/* The sub-command "move": start, follow and take back version moves.  */
#include <stdio.h>
#include <string.h>

#include "ctl.h"

#define POLL_MS 200

static char *
move_path (const ctl_t *ctl, const char *kind, const char *name)
{
  return g_strdup_printf ("/%s/%s/%s", ctl->settings.team, kind, name);
}

/* "TIME" as it is, or "+SECONDS" from now; NULL when it is neither.  */
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
  if (ctl->words->len != 7)
    {
      fputs ("cardamomctl: usage: cardamomctl move start NAME SERVICE FROM TO "
             "TIME|+SECONDS\n",
             stderr);
      return EXIT_USAGE;
    }
  char *deadline = parse_deadline (ctl, ctl_word (ctl, 5));
  if (!deadline)
    {
      fprintf (stderr,
               "cardamomctl: '%s' is no deadline; write "
               "2026-12-04T10:00:00Z or +600\n",
               ctl_word (ctl, 5));
      return EXIT_USAGE;
    }
  char *start = cs_time_format (cs_now_wall (ctl->ctx) / CS_MSEC);
  char *path = move_path (ctl, "moves", ctl_word (ctl, 1));
  json_t *sets
      = json_pack ("[[s,{s:s,s:s,s:s,s:s,s:s}]]", path, "service",
                   ctl_word (ctl, 2), "from", ctl_word (ctl, 3), "to",
                   ctl_word (ctl, 4), "start", start, "deadline", deadline);
  g_free (path);
  g_free (start);
  g_free (deadline);
  return ctl_change (ctl, sets);
}

/* The move and its state, borrowed from *SUBTREE, which is the caller's.  */
static cs_status_t
load_move (ctl_t *ctl, json_t **subtree, json_t **move, json_t **state)
{
  char *url = g_strconcat ("/v1/subtree/", ctl->settings.team, NULL);
  cs_status_t status = ctl_request (ctl, "GET", url, NULL, subtree);
  g_free (url);
  if (status != CS_OK)
    return status;
  json_t *docs = json_object_get (*subtree, "documents");
  char *path = move_path (ctl, "moves", ctl_word (ctl, 1));
  char *state_path = move_path (ctl, ".moves", ctl_word (ctl, 1));
  *move = json_object_get (docs, path);
  *state = json_object_get (docs, state_path);
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

static bool
state_is_current (const json_t *move, const json_t *state)
{
  const char *start = json_string_value (json_object_get (move, "start"));
  return state
         && json_integer_value (json_object_get (state, "start_ms"))
                == cs_time_parse (start);
}

/* What an operator reads of a move: {"state", "share_permille", "reason",
   "service", "from", "to", "deadline"}.  */
static cs_status_t
load_status (ctl_t *ctl, json_t **status_out)
{
  json_t *subtree, *move, *state;
  cs_status_t status = load_move (ctl, &subtree, &move, &state);
  if (status != CS_OK)
    return status;
  json_t *out = json_object ();
  const char *copied[] = { "service", "from", "to", "deadline" };
  for (size_t i = 0; i < G_N_ELEMENTS (copied); i++)
    json_object_set (out, copied[i], json_object_get (move, copied[i]));
  json_object_set_new (out, "state", json_string ("running"));
  json_object_set_new (out, "share_permille", json_integer (0));
  json_object_set_new (out, "reason", json_string (""));
  if (state_is_current (move, state))
    json_object_update_existing (out, state);
  const char *word = json_string_value (json_object_get (out, "state"));
  if (json_is_true (json_object_get (move, "withdrawn"))
      && strcmp (word, "running") == 0)
    {
      json_object_set_new (out, "state", json_string ("taken-back"));
      json_object_set_new (out, "reason",
                           json_string ("withdrawn by the team"));
    }
  json_decref (subtree);
  *status_out = out;
  return CS_OK;
}

static const char *
text_of (const json_t *object, const char *key)
{
  const char *text = json_string_value (json_object_get (object, key));
  return text ? text : "";
}

static int
code_of_state (const json_t *status)
{
  return strcmp (text_of (status, "state"), "taken-back") == 0
             ? EXIT_TAKEN_BACK
             : EXIT_DONE;
}

static int
print_status (ctl_t *ctl, json_t *status)
{
  int code = code_of_state (status);
  if (ctl->settings.json)
    {
      ctl_print_json (status);
      return code;
    }
  printf (
      "%s %s -> %s: %s, share %.1f%%, deadline %s%s%s\n",
      text_of (status, "service"), text_of (status, "from"),
      text_of (status, "to"), text_of (status, "state"),
      (double)json_integer_value (json_object_get (status, "share_permille"))
          / 10.0,
      text_of (status, "deadline"),
      *text_of (status, "reason") ? ", reason: " : "",
      text_of (status, "reason"));
  json_decref (status);
  return code;
}

static int
wait_move (ctl_t *ctl)
{
  cs_usec_t started = cs_now (ctl->ctx);
  for (;;)
    {
      json_t *status_json = NULL;
      cs_status_t status = load_status (ctl, &status_json);
      if (status != CS_OK && status != CS_UNAVAILABLE && status != CS_UNKNOWN)
        return ctl_fail (ctl, status);
      if (status == CS_OK
          && strcmp (text_of (status_json, "state"), "running") != 0)
        return print_status (ctl, status_json);
      if (ctl_shows_progress (ctl) && status_json)
        fprintf (stderr, "\rrunning, share %lld permille   ",
                 (long long)json_integer_value (
                     json_object_get (status_json, "share_permille")));
      json_decref (status_json);
      if (cs_now (ctl->ctx) - started >= ctl->settings.wait_s * CS_SEC)
        {
          fputs ("cardamomctl: the move is still running; see 'move status'\n",
                 stderr);
          return EXIT_NOT_CONVERGED;
        }
      g_usleep (POLL_MS * 1000);
    }
}

static int
take_back (ctl_t *ctl)
{
  json_t *subtree, *move, *state;
  cs_status_t status = load_move (ctl, &subtree, &move, &state);
  if (status != CS_OK)
    return ctl_fail (ctl, status);
  json_t *changed = json_deep_copy (move);
  char *path = move_path (ctl, "moves", ctl_word (ctl, 1));
  json_object_set_new (changed, "withdrawn", json_true ());
  json_decref (subtree);
  json_t *sets = json_pack ("[[s,o]]", path, changed);
  g_free (path);
  return ctl_change (ctl, sets);
}

int
cmd_move (ctl_t *ctl)
{
  const char *verb = ctl_word (ctl, 0);
  json_t *status_json;
  if (!*ctl->settings.team)
    {
      fputs ("cardamomctl: name your team with --team or CARDAMOM_TEAM\n",
             stderr);
      return EXIT_USAGE;
    }
  if (strcmp (verb, "start") == 0)
    return start_move (ctl);
  if (strcmp (verb, "back") == 0)
    return take_back (ctl);
  if (strcmp (verb, "wait") == 0)
    return wait_move (ctl);
  if (strcmp (verb, "status") == 0)
    {
      cs_status_t status = load_status (ctl, &status_json);
      return status == CS_OK ? print_status (ctl, status_json)
                             : ctl_fail (ctl, status);
    }
  fprintf (stderr,
           "cardamomctl: no 'move %s'; use start, status, wait or back\n",
           verb);
  return EXIT_USAGE;
}
