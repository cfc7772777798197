#include <argtable2.h>
#include <errno.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#include "cardamom/settings.h"

/* Indices in the argument table; the settings follow.  */
enum
{
  ARG_HELP,
  ARG_VERSION,
  ARG_CHECK,
  ARG_REFERENCE,
  ARG_FIRST_SETTING
};

/* Maximum of command-line errors that are reported.  */
#define PARSE_ERRORS_MAX 32
/* Maximum of positional arguments.  */
#define POSITIONAL_MAX 16

char *
cs_setting_env_name (const cs_setting_t *setting)
{
  char *upper = g_ascii_strup (setting->name, -1);
  char *variable
      = g_strconcat ("CARDAMOM_", g_strdelimit (upper, "-", '_'), NULL);
  g_free (upper);
  return variable;
}

static char **
text_field (const cs_setting_t *setting, void *out)
{
  return (char **)(void *)((char *)out + setting->offset);
}

static int64_t *
number_field (const cs_setting_t *setting, void *out)
{
  return (int64_t *)(void *)((char *)out + setting->offset);
}

/* This and the next two functions parse TEXT and store it in OUT.  ORIGIN
   names the flag or variable in error messages.  */
static void
store_number (const cs_setting_t *setting, const char *text,
              const char *origin, void *out, GString *errors)
{
  char *end = NULL;
  errno = 0;
  long long value = strtoll (text, &end, 10);
  if (errno || end == text || *end || value < setting->min
      || value > setting->max)
    g_string_append_printf (
        errors,
        "%s: '%s' is not a whole number from %lld to %lld; give one in %s\n",
        origin, text, (long long)setting->min, (long long)setting->max,
        setting->unit ? setting->unit : "that range");
  else
    *number_field (setting, out) = value;
}

static void
store_secret (const cs_setting_t *setting, const char *text,
              const char *origin, void *out, GString *errors)
{
  char *content = NULL;
  if (text[0] != '@')
    {
      *text_field (setting, out) = g_strdup (text);
      return;
    }
  if (!g_file_get_contents (text + 1, &content, NULL, NULL))
    {
      g_string_append_printf (
          errors,
          "%s: cannot read the file '%s'; check its path and permissions\n",
          origin, text + 1);
      return;
    }
  *text_field (setting, out) = g_strstrip (content);
}

static void
store_value (const cs_setting_t *setting, const char *text, const char *origin,
             void *out, GString *errors)
{
  switch (setting->kind)
    {
    case CS_SETTING_TEXT:
      *text_field (setting, out) = g_strdup (text);
      break;
    case CS_SETTING_NUMBER:
      store_number (setting, text, origin, out, errors);
      break;
    case CS_SETTING_SECRET:
      store_secret (setting, text, origin, out, errors);
      break;
    }
}

static void
resolve_setting (const cs_setting_t *setting, struct arg_str *flag, void *out,
                 GString *errors)
{
  char *variable = cs_setting_env_name (setting);
  const char *env_value = getenv (variable);
  if (flag->count > 0)
    {
      char *origin = g_strconcat ("--", setting->name, NULL);
      store_value (setting, flag->sval[0], origin, out, errors);
      g_free (origin);
    }
  else if (env_value)
    store_value (setting, env_value, variable, out, errors);
  else if (setting->default_value)
    store_value (setting, setting->default_value, setting->name, out, errors);
  else
    g_string_append_printf (errors, "--%s or %s must be given: %s\n",
                            setting->name, variable, setting->help);
  g_free (variable);
}

static void
report_parse_errors (struct arg_end *end, GString *errors)
{
  for (int i = 0; i < end->count; i++)
    {
      const char *argument = end->argval[i] ? end->argval[i] : "";
      if (end->error[i] == ARG_ENOMATCH || end->error[i] == ARG_ELONGOPT)
        g_string_append_printf (
            errors, "unknown argument '%s'; see --help for the flags\n",
            argument);
      else
        g_string_append_printf (
            errors, "flag '%s' is given twice or has no value; see --help\n",
            argument);
    }
}

static cs_settings_action_t
requested_action (void **args)
{
  static const struct
  {
    int arg;
    cs_settings_action_t action;
  } precedence[] = { { ARG_HELP, CS_ACTION_HELP },
                     { ARG_VERSION, CS_ACTION_VERSION },
                     { ARG_REFERENCE, CS_ACTION_REFERENCE },
                     { ARG_CHECK, CS_ACTION_CHECK } };
  for (size_t i = 0; i < G_N_ELEMENTS (precedence); i++)
    if (((struct arg_lit *)args[precedence[i].arg])->count)
      return precedence[i].action;
  return CS_ACTION_RUN;
}

cs_status_t
cs_settings_load (cs_ctx_t *ctx, const cs_setting_t *table, size_t count,
                  void *out, int argc, char **argv,
                  cs_settings_action_t *action, GPtrArray *positional,
                  GString *errors)
{
  size_t positional_index = ARG_FIRST_SETTING + count;
  size_t total = positional_index + (positional ? 2 : 1);
  void **args = g_new0 (void *, total);
  args[ARG_HELP] = arg_lit0 ("h", "help", "show this help");
  args[ARG_VERSION] = arg_lit0 (NULL, "version", "show the version");
  args[ARG_CHECK] = arg_lit0 (NULL, "check", "check the settings and stop");
  args[ARG_REFERENCE] = arg_lit0 (NULL, "reference", "settings as Markdown");
  for (size_t i = 0; i < count; i++)
    args[ARG_FIRST_SETTING + i]
        = arg_str0 (NULL, table[i].name, NULL, table[i].help);
  if (positional)
    args[positional_index]
        = arg_strn (NULL, NULL, "ARG", 0, POSITIONAL_MAX, "arguments");
  args[total - 1] = arg_end (PARSE_ERRORS_MAX);
  arg_parse (argc, argv, args);
  report_parse_errors (args[total - 1], errors);
  *action = requested_action (args);
  if (*action == CS_ACTION_RUN || *action == CS_ACTION_CHECK)
    for (size_t i = 0; i < count; i++)
      resolve_setting (&table[i], args[ARG_FIRST_SETTING + i], out, errors);
  if (positional)
    {
      struct arg_str *arguments = args[positional_index];
      for (int i = 0; i < arguments->count; i++)
        g_ptr_array_add (positional, (void *)arguments->sval[i]);
    }
  arg_freetable (args, total);
  g_free (args);
  if (errors->len)
    return cs_fail (ctx, CS_BAD_INPUT, "%s", errors->str);
  return CS_OK;
}

void
cs_settings_clear (const cs_setting_t *table, size_t count, void *out)
{
  for (size_t i = 0; i < count; i++)
    {
      if (table[i].kind == CS_SETTING_NUMBER)
        continue;
      char **field = text_field (&table[i], out);
      if (*field && table[i].kind == CS_SETTING_SECRET)
        sodium_memzero (*field, strlen (*field));
      g_free (*field);
      *field = NULL;
    }
}

void
cs_settings_write_help (const cs_setting_t *table, size_t count, GString *out)
{
  for (size_t i = 0; i < count; i++)
    {
      char *flag = g_strdup_printf (
          "--%s=%s", table[i].name,
          table[i].kind == CS_SETTING_NUMBER ? "N" : "TEXT");
      g_string_append_printf (out, "  %-30s %s", flag, table[i].help);
      if (table[i].unit)
        g_string_append_printf (out, " (%s)", table[i].unit);
      if (table[i].default_value && *table[i].default_value)
        g_string_append_printf (out, " [%s]", table[i].default_value);
      g_string_append_c (out, '\n');
      g_free (flag);
    }
}

void
cs_settings_write_reference (const cs_setting_t *table, size_t count,
                             GString *out)
{
  g_string_append (out, "| flag | variable | default | range | unit | what it "
                        "does |\n|---|---|---|---|---|---|\n");
  for (size_t i = 0; i < count; i++)
    {
      char *variable = cs_setting_env_name (&table[i]);
      g_string_append_printf (
          out, "| `--%s` | `%s` | %s | ", table[i].name, variable,
          table[i].default_value ? table[i].default_value : "(required)");
      if (table[i].kind == CS_SETTING_NUMBER)
        g_string_append_printf (out, "%lld to %lld", (long long)table[i].min,
                                (long long)table[i].max);
      g_string_append_printf (out, " | %s | %s |\n",
                              table[i].unit ? table[i].unit : "",
                              table[i].help);
      g_free (variable);
    }
}
