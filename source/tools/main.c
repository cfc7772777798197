/* cardamomctl: the settings, the table of sub-commands and the help text.  */
#include <sodium.h>
#include <stdio.h>
#include <string.h>

#include "ctl.h"

#define OFFSET_OF(member) .offset = offsetof (ctl_settings_t, member)

static const cs_setting_t settings_table[] = {
  { .name = "nodes",
    .kind = CS_SETTING_TEXT,
    OFFSET_OF (nodes),
    .default_value = "127.0.0.1:7070",
    .help = "operators' ports of some nodes, IP:PORT, by commas" },
  { .name = "team",
    .kind = CS_SETTING_TEXT,
    OFFSET_OF (team),
    .default_value = "",
    .help = "team whose subtree is read or written" },
  { .name = "token",
    .kind = CS_SETTING_SECRET,
    OFFSET_OF (token),
    .default_value = "",
    .help = "the team's token; @FILE reads it" },
  { .name = "json",
    .kind = CS_SETTING_NUMBER,
    OFFSET_OF (json),
    .default_value = "0",
    .min = 0,
    .max = 1,
    .help = "1: print JSON" },
  { .name = "expected",
    .kind = CS_SETTING_NUMBER,
    OFFSET_OF (expected_version),
    .default_value = "-1",
    .min = -1,
    .max = INT64_MAX,
    .help = "version of the team's last change; -1: any" },
  { .name = "operation",
    .kind = CS_SETTING_TEXT,
    OFFSET_OF (operation_id),
    .default_value = "",
    .help = "id of the change; repeat it after a lost answer" },
  { .name = "wait-s",
    .kind = CS_SETTING_NUMBER,
    OFFSET_OF (wait_s),
    .default_value = "30",
    .min = 0,
    .max = 86400,
    .unit = "seconds",
    .help = "longest wait for a change or move; 0: do not wait" },
  { .name = "platform-address",
    .kind = CS_SETTING_TEXT,
    OFFSET_OF (platform_address),
    .default_value = "127.0.0.1:7001",
    .help = "platform's IP:PORT, for the team commands" },
  { .name = "plot",
    .kind = CS_SETTING_TEXT,
    OFFSET_OF (plot_file),
    .default_value = "",
    .help = "file to write the burn report's SVG plot to" },
};

static const command_t commands[] = {
  { "set", "PATH FILE", "store the document in FILE (- for stdin) at PATH", 2,
    2, cmd_set },
  { "apply", "FILE", "store a bundle {PATH: DOCUMENT or null} as one change",
    1, 1, cmd_apply },
  { "delete", "PATH", "remove the document at PATH", 1, 1, cmd_delete },
  { "get", "PATH", "print the document at PATH", 1, 1, cmd_get },
  { "list", "[PREFIX]", "list the team's documents", 0, 1, cmd_list },
  { "diff", "FILE", "compare a bundle with the team's documents", 1, 1,
    cmd_diff },
  { "check", "FILE", "check a bundle offline", 1, 1, cmd_check },
  { "history", "", "list the team's changes", 0, 0, cmd_history },
  { "move",
    "start NAME SERVICE FROM TO TIME|+SECONDS | status NAME | wait NAME | "
    "back NAME",
    "move a service to a new version", 2, 6, cmd_move },
  { "wait", "VERSION", "wait until every node has VERSION in force", 1, 1,
    cmd_wait },
  { "nodes", "", "list the nodes and their versions", 0, 0, cmd_nodes },
  { "upstreams", "", "list the upstreams", 0, 0, cmd_upstreams },
  { "counters", "[NODE]", "print counters, of all nodes summed or of one", 0,
    1, cmd_counters },
  { "report", "burn", "report how fast error budgets burn", 1, 1, cmd_report },
  { "explain", "ID FILE...",
    "tell from nodes' logs why the request ID was not served", 2, 1000,
    cmd_explain },
  { "team", "add NAME", "give a team a new token (platform's operators)", 2, 2,
    cmd_team },
};

const char *
ctl_argument (const ctl_t *ctl, guint i)
{
  return i + 1 < ctl->positional->len ? ctl->positional->pdata[i + 1] : NULL;
}

static void
print_help (void)
{
  GString *text = g_string_new (
      "Usage: cardamomctl [FLAG]... COMMAND [ARGUMENT]...\n\nCommands:\n");
  for (size_t i = 0; i < G_N_ELEMENTS (commands); i++)
    g_string_append_printf (text, "  %s %s\n      %s\n", commands[i].name,
                            commands[i].synopsis, commands[i].summary);
  g_string_append (text, "\nFlags, also as CARDAMOM_NAME in the "
                         "environment:\n");
  cs_settings_write_help (settings_table, G_N_ELEMENTS (settings_table), text);
  g_string_append (
      text, "\nExit codes: 0 done, 1 failed, 2 wrong use or bad input, "
            "3 conflict,\n4 denied, 5 unavailable (nothing happened), "
            "6 unknown (repeat with the\nsame --operation), 7 not yet in "
            "force everywhere, 8 taken back.\n");
  fputs (text->str, stdout);
  g_string_free (text, TRUE);
}

/* Run the sub-command that the positional arguments select, and return its
   exit code.  */
static int
run_command (ctl_t *ctl)
{
  if (ctl->positional->len == 0)
    {
      fputs ("cardamomctl: no command is given; see --help\n", stderr);
      return EXIT_USAGE;
    }
  const char *name = ctl->positional->pdata[0];
  for (size_t i = 0; i < G_N_ELEMENTS (commands); i++)
    {
      const command_t *command = &commands[i];
      if (strcmp (command->name, name) != 0)
        continue;
      guint argument_count = ctl->positional->len - 1;
      if (argument_count >= command->min_arguments
          && argument_count <= command->max_arguments)
        return command->run (ctl);
      fprintf (stderr, "cardamomctl: usage: cardamomctl %s %s\n",
               command->name, command->synopsis);
      return EXIT_USAGE;
    }
  fprintf (stderr, "cardamomctl: no command '%s'; see --help\n", name);
  return EXIT_USAGE;
}

int
main (int argc, char **argv)
{
  ctl_t ctl = { 0 };
  cs_settings_action_t action;
  GString *errors = g_string_new (NULL);
  int exit_code = EXIT_DONE;
  if (sodium_init () < 0)
    return EXIT_FAILED;
  ctl.ctx = cs_ctx_new (NULL, cs_clock_system (), randombytes_random ());
  ctl.positional = g_ptr_array_new ();
  cs_settings_load (ctl.ctx, settings_table, G_N_ELEMENTS (settings_table),
                    &ctl.settings, argc, argv, &action, ctl.positional,
                    errors);
  if (errors->len)
    {
      fputs (errors->str, stderr);
      exit_code = EXIT_USAGE;
    }
  else if (action == CS_ACTION_HELP)
    print_help ();
  else if (action == CS_ACTION_VERSION)
    puts ("cardamomctl " CS_VERSION);
  else if (action == CS_ACTION_REFERENCE)
    {
      GString *text = g_string_new (NULL);
      cs_settings_write_reference (settings_table,
                                   G_N_ELEMENTS (settings_table), text);
      fputs (text->str, stdout);
      g_string_free (text, TRUE);
    }
  else if (action == CS_ACTION_RUN)
    exit_code = run_command (&ctl);
  cs_settings_clear (settings_table, G_N_ELEMENTS (settings_table),
                     &ctl.settings);
  g_string_free (errors, TRUE);
  g_ptr_array_unref (ctl.positional);
  cs_ctx_drop (ctl.ctx);
  return exit_code;
}
