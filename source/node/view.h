/* The routing view, which callers' threads route by.  It is built by the
   control thread and replaced under RCU.  */
#ifndef CARDAMOM_VIEW_H
#define CARDAMOM_VIEW_H

#include "node.h"

/* What successive views share: the upstreams, with their measurements, and the
   retry budgets.  Owned by the control thread.  */
typedef struct
{
  GHashTable *upstreams;     /* "NODE SERVICE VERSION" -> cs_upstream_t.  */
  GHashTable *retry_budgets; /* Service path -> cs_retry_budget_t.  */
} view_cache_t;

void view_cache_init (view_cache_t *cache);
void view_cache_clear (view_cache_t *cache);

/* A view of MEMBERS and of SNAPSHOT, which is borrowed and may be NULL.
   ROLLED_BACK_MOVES, which is taken over, is the set of paths of moves that
   are rolled back.  The caller sets the field CRASH_COUNTS, and frees the
   view.  */
view_t *view_new (view_cache_t *cache, cs_members_t *members,
                  cs_snapshot_t *snapshot, GHashTable *rolled_back_moves,
                  bool ready);
void view_free (view_t *view);

/* The version that a request is sent to, and its upstreams.  */
typedef struct
{
  char *version;
  cs_upstream_set_t *upstreams;
  char *move_name;   /* Name of the running move; NULL without one.  */
  bool is_candidate; /* VERSION is the candidate of the move.  */
  /* For the attempts after a failed one at the candidate; NULL unless
     IS_CANDIDATE.  */
  char *baseline_version;
  cs_upstream_set_t *baseline_upstreams;
} version_choice_t;

/* Choose the version of SERVICE for a request: if a move is running, the
   candidate by its share, at random.  The caller clears CHOICE.  */
void view_choose_version (cs_ctx_t *ctx, const view_t *view,
                          const cs_service_t *service,
                          version_choice_t *choice);
void version_choice_clear (version_choice_t *choice);

/* Change CHOICE from the candidate to the baseline.  */
void version_choice_use_baseline (version_choice_t *choice);

#endif
