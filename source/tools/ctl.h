/* cardamomctl, the operators' command-line tool.  */
#ifndef CARDAMOM_CTL_H
#define CARDAMOM_CTL_H

#include <jansson.h>

#include "cardamom/cardamom.h"

/* Exit codes; --help lists them.  */
typedef enum
{
  EXIT_DONE = 0,
  EXIT_FAILED = 1,
  EXIT_USAGE = 2,       /* Wrong arguments or invalid input.  */
  EXIT_CONFLICT = 3,    /* Another change came first.  */
  EXIT_DENIED = 4,      /* The token is not the team's.  */
  EXIT_UNAVAILABLE = 5, /* Nothing was changed, or a node did not answer.  */
  EXIT_UNKNOWN = 6,     /* The change may or may not have taken effect.  */
  /* The version is not in force everywhere, or the move has not ended, within
     --wait-s.  */
  EXIT_NOT_CONVERGED = 7,
  EXIT_ROLLED_BACK = 8 /* The version move was rolled back.  */
} exit_code_t;

/* The settings; see settings_table in main.c.  */
typedef struct
{
  char *nodes, *team, *token, *operation_id, *platform_address, *plot_file;
  int64_t json, expected_version, wait_s;
} ctl_settings_t;

/* One run of the tool.  */
typedef struct
{
  ctl_settings_t settings;
  cs_ctx_t *ctx;
  /* Of char *: the sub-command, then its arguments; borrowed from ARGV.  */
  GPtrArray *positional;
} ctl_t;

/* A sub-command.  */
typedef struct
{
  const char *name;
  const char *synopsis; /* Its arguments, as --help shows them.  */
  const char *summary;
  guint min_arguments, max_arguments; /* Number of arguments allowed.  */
  int (*run) (ctl_t *ctl);            /* Returns an exit_code_t.  */
} command_t;

/* Argument I of the sub-command, counted from 0; NULL past the last one.  */
const char *ctl_argument (const ctl_t *ctl, guint i);

/* Print the context's error message to stderr and return the exit code for
   STATUS.  */
int ctl_fail (ctl_t *ctl, cs_status_t status);

/* Send a METHOD request for PATH to the nodes of --nodes in turn, until the
   status at one of them is neither CS_UNAVAILABLE nor CS_UNKNOWN.  BODY, NULL
   for none, is borrowed and sent as JSON.

   On CS_OK *RESULT is the JSON body of the answer, which the caller drops with
   json_decref; otherwise it is not set.  When a node refuses the request, its
   error is returned as a status and its message stored in the context.
   CS_UNAVAILABLE: the last node could not be reached or did not run the
   request.  CS_UNKNOWN: it may have run the request, but sent no complete
   answer.  Both concern the last node only: after CS_UNAVAILABLE too, an
   earlier node may have run the request.  CS_BAD_INPUT: the node refused the
   request, or --nodes is empty or malformed.  */
cs_status_t ctl_request (ctl_t *ctl, const char *method, const char *path,
                         const json_t *body, json_t **result);

/* Like ctl_request, but send the request only to the node whose admin port is
   at ADDRESS, "IP:PORT".  */
cs_status_t ctl_request_node (ctl_t *ctl, const char *address,
                              const char *method, const char *path,
                              const json_t *body, json_t **result);

/* Fetch the list of members from the first node that answers.  On CS_OK
   *MEMBERS is a JSON array of objects, which the caller drops with
   json_decref.  */
cs_status_t ctl_fetch_members (ctl_t *ctl, json_t **members);

/* The address of the admin port of MEMBER, an element of the list of members:
   "IP:PORT", which the caller frees with g_free.  */
char *ctl_admin_address (const json_t *member);

/* Parse FILE, or standard input if it is "-", as JSON.  The caller drops the
   value.  On failure an error message is printed and NULL returned.  */
json_t *ctl_read_json (ctl_t *ctl, const char *file);

/* Print RESULT as JSON, drop it and return EXIT_DONE.  */
int ctl_print_json (json_t *result);

/* Submit UPDATES, a JSON array of [PATH, DOCUMENT], as one change of the team,
   and print the version it gets.  A null DOCUMENT removes PATH.  Takes
   ownership of UPDATES.  With --wait-s, also wait until every live node has
   the version in force.  Returns an exit_code_t.  */
int ctl_submit_change (ctl_t *ctl, json_t *updates);

/* Wait until every live node has VERSION or a later one in force, --wait-s
   seconds at most.  Returns an exit_code_t, EXIT_NOT_CONVERGED after that
   time.  */
int ctl_wait_version (ctl_t *ctl, int64_t version);

/* Whether to show progress on stderr: it is a terminal, and JSON output is not
   requested.  */
bool ctl_shows_progress (const ctl_t *ctl);

/* The sub-commands; see their summaries in main.c.  Each returns an
   exit_code_t.  */
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
