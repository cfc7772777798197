/* Acceptance of configuration changes by the platform's table.

   Rows: "cs/head" (version, digest and object of the newest version),
   "cs/doc/PATH" (documents), "cs/log/VERSION" (changes), "cs/sub/TEAM"
   (version of the team's last change), "cs/op/TEAM/ID" (version made by an
   operation), "cs/team/TEAM" (salted hash of the team's token).  */
#ifndef CARDAMOM_ACCEPT_H
#define CARDAMOM_ACCEPT_H

#include "cardamom/platform.h"
#include "cardamom/snapshot.h"

#define CS_LOG_KEPT 512        /* Changes kept in the table.  */
#define CS_SYSTEM_TEAM "~move" /* Team of changes made by the system.  */

/* The newest accepted version.  */
typedef struct
{
  int64_t version;
  uint64_t digest;
  int64_t revision; /* Of the head row; 0 when there is none.  */
} cs_head_t;

/* Read the head; version 0 when nothing has been accepted yet.  */
cs_status_t cs_head_load (cs_ctx_t *ctx, cs_platform_t *platform,
                          cs_head_t *head);

/* Read all documents with the head they belong to.  *DOCS is the caller's. */
cs_status_t cs_docs_load (cs_ctx_t *ctx, cs_platform_t *platform,
                          cs_head_t *head, cs_docs_t **docs);

/* Read the changes after version AFTER, in order, into CHANGES.
   CS_NOT_FOUND when the log no longer reaches back that far; load all
   documents instead.  */
cs_status_t cs_changes_load (cs_ctx_t *ctx, cs_platform_t *platform,
                             int64_t after, GPtrArray *changes);

/* A list of changes that owns them.  */
GPtrArray *cs_changes_new (void);

/* A change on its way to acceptance.  */
typedef struct
{
  const char *team;
  const char *operation;     /* Unique; the same one never writes twice.  */
  int64_t expected;          /* Version of the team's last change, -1: any.  */
  const cs_change_t *change; /* Its sets; the rest is filled in here.  */
  /* Rows that must be at these revisions too (fencing); may be empty.  */
  const cs_condition_t *fences;
  size_t fence_count;
} cs_proposal_t;

/* Check PROPOSAL against the newest version and commit it in one
   transaction on the head row.  Races with other subtrees are retried;
   CS_CONFLICT when the own subtree is past EXPECTED or a fence has moved.  A
   lost answer is settled by reading the operation's row back.  On success
   *VERSION is the accepted version and *ACCEPTED (may be NULL) the change as
   accepted, the caller's.  */
cs_status_t cs_accept (cs_ctx_t *ctx, cs_platform_t *platform,
                       const cs_proposal_t *proposal, int64_t *version,
                       cs_change_t **accepted);

/* Store the salted hash of TOKEN for TEAM, replacing any other.  */
cs_status_t cs_team_set_token (cs_ctx_t *ctx, cs_platform_t *platform,
                               const char *team, const char *token);

/* CS_OK when TOKEN is TEAM's, CS_DENIED otherwise, also for unknown teams.
   Compared in constant time.  */
cs_status_t cs_team_check_token (cs_ctx_t *ctx, cs_platform_t *platform,
                                 const char *team, const char *token);

#endif
