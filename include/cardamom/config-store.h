/* Storage of the configuration in the platform's table, with optimistic
   concurrency control.

   Rows: "cs/head" (version and digest of the newest version), "cs/doc/PATH"
   (documents), "cs/log/VERSION" (changes), "cs/sub/TEAM" (version of the
   team's last change), "cs/op/TEAM/ID" (version committed by an operation),
   "cs/team/TEAM" (salted hash of the team's token).  */
#ifndef CARDAMOM_CONFIG_STORE_H
#define CARDAMOM_CONFIG_STORE_H

#include "cardamom/platform.h"
#include "cardamom/snapshot.h"

/* Number of changes kept in the table's change log.  */
#define CS_CHANGE_LOG_MAX_VERSIONS 512
/* Team of changes made by the system; no valid team name contains '~'.  */
#define CS_SYSTEM_TEAM "~move"

/* The newest committed version.  */
typedef struct
{
  int64_t version;
  uint64_t digest;  /* Of the documents at VERSION.  */
  int64_t revision; /* Of the head row; 0 when the row does not exist.  */
} cs_config_head_t;

/* Read the head into *HEAD; its version is 0 when nothing has been committed
   yet.  CS_CORRUPT when the row cannot be parsed.  */
cs_status_t cs_config_head_load (cs_ctx_t *ctx, cs_platform_t *platform,
                                 cs_config_head_t *head);

/* Read the head and all documents of its version.  The caller owns *DOCS and
   drops it with cs_docs_drop.  CS_UNAVAILABLE when the documents do not match
   the head's digest after several reads.  */
cs_status_t cs_docs_load (cs_ctx_t *ctx, cs_platform_t *platform,
                          cs_config_head_t *head, cs_docs_t **docs);

/* Append the changes after version AFTER to CHANGES, ordered by version.
   CS_NOT_FOUND when the log no longer holds all of them; load all documents
   instead.  */
cs_status_t cs_changes_load (cs_ctx_t *ctx, cs_platform_t *platform,
                             int64_t after, GPtrArray *changes);

/* An empty list that owns the changes added to it.  */
GPtrArray *cs_changes_new (void);

/* A change to be committed.  The caller owns everything it points to.  */
typedef struct
{
  const char *team;
  /* Identifier, unique for the team.  A second commit under the same
     identifier writes nothing and returns the version of the first.  */
  const char *operation;
  int64_t expected_version; /* Version of the team's last change; -1: any.  */
  /* Only its WRITES are read; cs_proposal_commit sets the other fields of the
     committed change.  */
  const cs_change_t *change;
  /* Further rows that must be at these revisions, such as the row of a lease,
     so that a writer that lost its lease writes nothing.  May be empty.  */
  const cs_txn_condition_t *fences;
  size_t fence_count;
} cs_proposal_t;

/* Validate PROPOSAL on top of the newest version and commit it in one
   transaction that requires the head row to be unchanged.  Conflicts with
   changes of other teams are retried, a bounded number of times.  When the
   answer to a commit is lost, the operation's row shows whether it took
   effect.

   On success *VERSION is the committed version and *ACCEPTED, unless ACCEPTED
   is NULL, the change as committed, which the caller frees with
   cs_change_free; *ACCEPTED is not set when the operation had been committed
   before.

   CS_BAD_INPUT when the new version would not be valid.  CS_CONFLICT when the
   team's last change is not the expected one, a fence has another revision, or
   the retries are exhausted.  CS_UNKNOWN when it could not be found out
   whether a commit took effect; call again with the same operation.  */
cs_status_t cs_proposal_commit (cs_ctx_t *ctx, cs_platform_t *platform,
                                const cs_proposal_t *proposal,
                                int64_t *version, cs_change_t **accepted);

/* Store the salted hash of TOKEN for TEAM, replacing the one stored before.
   CS_BAD_INPUT when TOKEN has fewer than 16 bytes.  */
cs_status_t cs_team_set_token (cs_ctx_t *ctx, cs_platform_t *platform,
                               const char *team, const char *token);

/* CS_OK when TOKEN is TEAM's, CS_DENIED otherwise, also for unknown teams.
   The hashes are compared in constant time.  */
cs_status_t cs_team_check_token (cs_ctx_t *ctx, cs_platform_t *platform,
                                 const char *team, const char *token);

#endif
