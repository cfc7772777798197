/* Settings from flags and environment variables, checked as a whole.  */
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
  CS_SETTING_SECRET  /* char *, never printed; "@FILE" reads a file.  */
} cs_setting_kind_t;

/* One setting: its flag is --NAME, its variable CARDAMOM_NAME in capitals
   with '_' for '-'.  The flag wins over the variable, the variable over
   FALLBACK.  */
typedef struct
{
  const char *name;
  cs_setting_kind_t kind;
  size_t offset; /* Of the char * or int64_t in the settings struct.  */
  const char *fallback;
  int64_t min, max;
  const char *unit; /* Shown in help; NULL for none.  */
  const char *help;
} cs_setting_t;

/* What the command line asked for besides settings.  */
typedef enum
{
  CS_RUN,
  CS_RUN_HELP,
  CS_RUN_VERSION,
  CS_RUN_CHECK,
  CS_RUN_REFERENCE
} cs_run_t;

/* Fill OUT, a zeroed struct, from ARGV, the environment and the fallbacks of
   the COUNT rows of TABLE.  CS_BAD_INPUT appends every error found to ERRORS,
   one a line.  Arguments that are no flags go to REST (borrowed pointers)
   unless REST is NULL, when they are errors.  */
cs_status_t cs_settings_load (cs_ctx_t *ctx, const cs_setting_t *table,
                              size_t count, void *out, int argc, char **argv,
                              cs_run_t *run, GPtrArray *rest, GString *errors);

/* Free the texts of OUT; secrets are wiped first.  */
void cs_settings_clear (const cs_setting_t *table, size_t count, void *out);

/* Append the flags to OUT as help text.  */
void cs_settings_help (const cs_setting_t *table, size_t count, GString *out);

/* Append the settings to OUT as a Markdown table.  */
void cs_settings_reference (const cs_setting_t *table, size_t count,
                            GString *out);

/* The environment variable of SETTING; the caller frees it.  */
char *cs_setting_variable (const cs_setting_t *setting);

#endif
