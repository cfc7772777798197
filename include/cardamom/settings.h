/* Settings from command-line flags and environment variables.  All errors are
   collected and reported together.  */
#ifndef CARDAMOM_SETTINGS_H
#define CARDAMOM_SETTINGS_H

#include <glib.h>
#include <stddef.h>
#include <stdint.h>

#include "cardamom/context.h"

typedef enum
{
  CS_SETTING_TEXT,   /* char *, freed by cs_settings_clear.  */
  CS_SETTING_NUMBER, /* int64_t between MIN and MAX.  */
  CS_SETTING_SECRET  /* char *, never printed; "@FILE" reads FILE.  */
} cs_setting_kind_t;

/* Description of a setting.  Its flag is --NAME; its environment variable is
   CARDAMOM_NAME, with NAME in capitals and '_' for '-'.  The flag takes
   precedence over the variable, and the variable over DEFAULT_VALUE.  A
   setting whose DEFAULT_VALUE is NULL is required.  */
typedef struct
{
  const char *name;
  cs_setting_kind_t kind;
  size_t offset; /* Of the char * or int64_t in the settings struct.  */
  const char *default_value;
  int64_t min, max; /* Inclusive range of a number.  */
  const char *unit; /* Shown in help; NULL for none.  */
  const char *help;
} cs_setting_t;

/* The action that the command line selects.  */
typedef enum
{
  CS_ACTION_RUN,      /* No flag: run the program.  */
  CS_ACTION_HELP,     /* --help  */
  CS_ACTION_VERSION,  /* --version  */
  CS_ACTION_CHECK,    /* --check: validate the settings and exit.  */
  CS_ACTION_REFERENCE /* --reference: print the settings as Markdown.  */
} cs_settings_action_t;

/* Parse ARGV and set *ACTION.  For CS_ACTION_RUN and CS_ACTION_CHECK also fill
   OUT, a zeroed struct with the fields that the COUNT rows of TABLE describe,
   from flags, environment and defaults.  Positional arguments are appended to
   POSITIONAL as pointers into ARGV; they are errors when it is NULL.
   CS_BAD_INPUT: every error found is appended to ERRORS, one per line; the
   valid settings are stored all the same.  Free OUT with cs_settings_clear
   in either case.  */
cs_status_t cs_settings_load (cs_ctx_t *ctx, const cs_setting_t *table,
                              size_t count, void *out, int argc, char **argv,
                              cs_settings_action_t *action,
                              GPtrArray *positional, GString *errors);

/* Free the strings of OUT, overwriting secrets first.  */
void cs_settings_clear (const cs_setting_t *table, size_t count, void *out);

/* Append help text to OUT, one line per flag.  */
void cs_settings_write_help (const cs_setting_t *table, size_t count,
                             GString *out);

/* Append the settings to OUT as a Markdown table.  */
void cs_settings_write_reference (const cs_setting_t *table, size_t count,
                                  GString *out);

/* The name of SETTING's environment variable; the caller frees it with
   g_free.  */
char *cs_setting_env_name (const cs_setting_t *setting);

#endif
