#include <argtable2.h>
#include <errno.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#include "cardamom/settings.h"

enum
{
  ARG_HELP,
  ARG_VERSION,
  ARG_CHECK,
  ARG_REFERENCE,
  ARG_FIXED
};

#define ERROR_MAX 32 /* Command-line errors reported at once.  */
#define REST_MAX 16  /* Arguments that are no flags.  */

char *
cs_setting_variable (const cs_setting_t *setting)
{
  char *upper = g_ascii_strup (setting->name, -1);
  char *variable
      = g_strconcat ("CARDAMOM_", g_strdelimit (upper, "-", '_'), NULL);
  g_free (upper);
  return variable;
}

static char **
text_slot (const cs_setting_t *setting, void *out)
{
  return (char **)(void *)((char *)out + setting->offset);
}

static int64_t *
number_slot (const cs_setting_t *setting, void *out)
{
  return (int64_t *)(void *)((char *)out + setting->offset);
}

static void
store_number (const cs_setting_t *s, const char *text, const char *origin,
              void *out, GString *errors)
{
  char *end = NULL;
  errno = 0;
  long long value = strtoll (text, &end, 10);
  if (errno || end == text || *end || value < s->min || value > s->max)
    g_string_append_printf (
        errors,
        "%s: '%s' is no whole number from %lld to %lld; give one in %s\n",
        origin, text, (long long)s->min, (long long)s->max,
        s->unit ? s->unit : "that range");
  else
    *number_slot (s, out) = value;
}

static void
store_secret (const cs_setting_t *s, const char *text, const char *origin,
              void *out, GString *errors)
{
  char *content = NULL;
  if (text[0] != '@')
    {
      *text_slot (s, out) = g_strdup (text);
      return;
    }
  if (!g_file_get_contents (text + 1, &content, NULL, NULL))
    {
      g_string_append_printf (
          errors, "%s: cannot read the file '%s'; check path and mode\n",
          origin, text + 1);
      return;
    }
  *text_slot (s, out) = g_strstrip (content);
}

static void
store_value (const cs_setting_t *s, const char *text, const char *origin,
             void *out, GString *errors)
{
  switch (s->kind)
    {
    case CS_SETTING_TEXT:
      *text_slot (s, out) = g_strdup (text);
      break;
    case CS_SETTING_NUMBER:
      store_number (s, text, origin, out, errors);
      break;
    case CS_SETTING_SECRET:
      store_secret (s, text, origin, out, errors);
      break;
    }
}

static void
resolve_setting (const cs_setting_t *s, struct arg_str *flag, void *out,
                 GString *errors)
{
  char *variable = cs_setting_variable (s);
  const char *from_env = getenv (variable);
  if (flag->count > 0)
    {
      char *origin = g_strconcat ("--", s->name, NULL);
      store_value (s, flag->sval[0], origin, out, errors);
      g_free (origin);
    }
  else if (from_env)
    store_value (s, from_env, variable, out, errors);
  else if (s->fallback)
    store_value (s, s->fallback, s->name, out, errors);
  else
    g_string_append_printf (errors, "--%s or %s must be given: %s\n", s->name,
                            variable, s->help);
  g_free (variable);
}

static void
report_parse_errors (struct arg_end *end, GString *errors)
{
  for (int i = 0; i < end->count; i++)
    {
      const char *word = end->argval[i] ? end->argval[i] : "";
      if (end->error[i] == ARG_ENOMATCH || end->error[i] == ARG_ELONGOPT)
        g_string_append_printf (
            errors, "unknown argument '%s'; see --help for the flags\n", word);
      else
        g_string_append_printf (
            errors,
            "flag '%s' is given twice or lacks its value; see --help\n", word);
    }
}

static cs_run_t
requested_run (void **args)
{
  static const struct
  {
    int arg;
    cs_run_t run;
  } order[] = { { ARG_HELP, CS_RUN_HELP },
                { ARG_VERSION, CS_RUN_VERSION },
                { ARG_REFERENCE, CS_RUN_REFERENCE },
                { ARG_CHECK, CS_RUN_CHECK } };
  for (size_t i = 0; i < G_N_ELEMENTS (order); i++)
    if (((struct arg_lit *)args[order[i].arg])->count)
      return order[i].run;
  return CS_RUN;
}

cs_status_t
cs_settings_load (cs_ctx_t *ctx, const cs_setting_t *table, size_t count,
                  void *out, int argc, char **argv, cs_run_t *run,
                  GPtrArray *rest, GString *errors)
{
  size_t rest_at = ARG_FIXED + count;
  size_t total = rest_at + (rest ? 2 : 1);
  void **args = g_new0 (void *, total);
  args[ARG_HELP] = arg_lit0 ("h", "help", "show this help");
  args[ARG_VERSION] = arg_lit0 (NULL, "version", "show the version");
  args[ARG_CHECK] = arg_lit0 (NULL, "check", "check the settings and stop");
  args[ARG_REFERENCE] = arg_lit0 (NULL, "reference", "settings as Markdown");
  for (size_t i = 0; i < count; i++)
    args[ARG_FIXED + i] = arg_str0 (NULL, table[i].name, NULL, table[i].help);
  if (rest)
    args[rest_at] = arg_strn (NULL, NULL, "ARG", 0, REST_MAX, "arguments");
  args[total - 1] = arg_end (ERROR_MAX);
  arg_parse (argc, argv, args);
  report_parse_errors (args[total - 1], errors);
  *run = requested_run (args);
  if (*run == CS_RUN || *run == CS_RUN_CHECK)
    for (size_t i = 0; i < count; i++)
      resolve_setting (&table[i], args[ARG_FIXED + i], out, errors);
  if (rest)
    {
      struct arg_str *words = args[rest_at];
      for (int i = 0; i < words->count; i++)
        g_ptr_array_add (rest, (void *)words->sval[i]);
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
      char **slot = text_slot (&table[i], out);
      if (*slot && table[i].kind == CS_SETTING_SECRET)
        sodium_memzero (*slot, strlen (*slot));
      g_free (*slot);
      *slot = NULL;
    }
}

void
cs_settings_help (const cs_setting_t *table, size_t count, GString *out)
{
  for (size_t i = 0; i < count; i++)
    {
      char *flag = g_strdup_printf (
          "--%s=%s", table[i].name,
          table[i].kind == CS_SETTING_NUMBER ? "N" : "TEXT");
      g_string_append_printf (out, "  %-30s %s", flag, table[i].help);
      if (table[i].unit)
        g_string_append_printf (out, " (%s)", table[i].unit);
      if (table[i].fallback && *table[i].fallback)
        g_string_append_printf (out, " [%s]", table[i].fallback);
      g_string_append_c (out, '\n');
      g_free (flag);
    }
}

void
cs_settings_reference (const cs_setting_t *table, size_t count, GString *out)
{
  g_string_append (out, "| flag | variable | default | range | unit | what it "
                        "does |\n|---|---|---|---|---|---|\n");
  for (size_t i = 0; i < count; i++)
    {
      char *variable = cs_setting_variable (&table[i]);
      g_string_append_printf (
          out, "| `--%s` | `%s` | %s | ", table[i].name, variable,
          table[i].fallback ? table[i].fallback : "(required)");
      if (table[i].kind == CS_SETTING_NUMBER)
        g_string_append_printf (out, "%lld to %lld", (long long)table[i].min,
                                (long long)table[i].max);
      g_string_append_printf (out, " | %s | %s |\n",
                              table[i].unit ? table[i].unit : "",
                              table[i].help);
      g_free (variable);
    }
}
