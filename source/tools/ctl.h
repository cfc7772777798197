/* cardamomctl: the operators' tool.  */
#ifndef CARDAMOM_CTL_H
#define CARDAMOM_CTL_H

#include <jansson.h>

#include "cardamom/cardamom.h"

/* Exit codes.  */
typedef enum
{
  EXIT_DONE = 0,
  EXIT_FAILED = 1,
  EXIT_USAGE = 2,
  EXIT_CONFLICT = 3,
  EXIT_DENIED = 4,
  EXIT_UNAVAILABLE = 5,
  EXIT_UNKNOWN = 6,
  EXIT_NOT_CONVERGED = 7,
  EXIT_TAKEN_BACK = 8
} exit_code_t;

typedef struct
{
  char *nodes, *team, *token, *operation, *platform_address, *plot;
  int64_t json, expected, wait_s;
} ctl_settings_t;

typedef struct
{
  ctl_settings_t settings;
  cs_ctx_t *ctx;
  GPtrArray *words; /* The sub-command and its arguments.  */
} ctl_t;

/* One sub-command.  RUN returns an exit_code_t.  */
typedef struct
{
  const char *name;
  const char *arguments;
  const char *summary;
  guint min_words, max_words; /* Arguments after the name.  */
  int (*run) (ctl_t *ctl);
} command_t;

/* Argument I of the sub-command, counted from 0; NULL past the end.  */
const char *ctl_word (const ctl_t *ctl, guint i);

/* The exit code for STATUS, whose message is printed.  */
int ctl_fail (ctl_t *ctl, cs_status_t status);

/* Send METHOD PATH with BODY (borrowed, may be NULL) to the nodes of the
   settings, one after another until one can be reached.  *RESULT is the
   caller's.  A refusal comes back as its status with its message.  */
cs_status_t ctl_request (ctl_t *ctl, const char *method, const char *path,
                         const json_t *body, json_t **result);

/* The same to the one node at ADDRESS.  */
cs_status_t ctl_request_at (ctl_t *ctl, const char *address,
                            const char *method, const char *path,
                            const json_t *body, json_t **result);

/* The members as their nodes list them: an array, the caller's.  */
cs_status_t ctl_members (ctl_t *ctl, json_t **members);

/* "HOST:PORT" of a member's operators' port; the caller frees it.  */
char *ctl_admin_address (const json_t *member);

/* Read FILE ("-": standard input) as JSON; NULL after a printed message.  */
json_t *ctl_read_json (ctl_t *ctl, const char *file);

/* Print RESULT, taken over, as JSON.  */
int ctl_print_json (json_t *result);

/* Send SETS, taken over, as one change of the team and wait for it to be in
   force as far as the settings ask.  */
int ctl_change (ctl_t *ctl, json_t *sets);

/* Wait until every live node has VERSION in force.  */
int ctl_wait_version (ctl_t *ctl, int64_t version);

/* Whether progress should be shown.  */
bool ctl_shows_progress (const ctl_t *ctl);

int cmd_set (ctl_t *ctl);
int cmd_apply (ctl_t *ctl);
int cmd_delete (ctl_t *ctl);
int cmd_get (ctl_t *ctl);
int cmd_list (ctl_t *ctl);
int cmd_diff (ctl_t *ctl);
int cmd_check (ctl_t *ctl);
int cmd_history (ctl_t *ctl);
int cmd_move (ctl_t *ctl);
int cmd_nodes (ctl_t *ctl);
int cmd_upstreams (ctl_t *ctl);
int cmd_counters (ctl_t *ctl);
int cmd_report (ctl_t *ctl);
int cmd_explain (ctl_t *ctl);
int cmd_wait (ctl_t *ctl);
int cmd_team (ctl_t *ctl);

#endif
