/* The routing view: built by control, read by traffic.  */
#ifndef CARDAMOM_VIEW_H
#define CARDAMOM_VIEW_H

#include "node.h"

/* Keeps the upstreams' numbers and the retry budgets from one view to the
   next.  Owned by control.  */
typedef struct
{
  GHashTable *upstreams; /* "NODE SERVICE VERSION" -> cs_upstream_t.  */
  GHashTable *budgets;   /* service path -> cs_retry_budget_t.  */
} view_store_t;

void view_store_init (view_store_t *store);
void view_store_clear (view_store_t *store);

/* A view of SNAPSHOT (borrowed, may be NULL) and the members.  BACKS is a set
   of paths of moves taken back, taken over.  The caller sets STRIKES.  */
view_t *view_new (view_store_t *store, cs_members_t *members,
                  cs_snapshot_t *snapshot, GHashTable *backs, bool ready);
void view_free (view_t *view);

/* Which version takes a request, with its upstreams.  */
typedef struct
{
  char *version;
  cs_upstream_set_t *set;
  char *move; /* Name of the running move; NULL without one.  */
  bool new_version;
  /* The old version, for attempts after the new one failed; NULL unless
     NEW_VERSION.  */
  char *old_version;
  cs_upstream_set_t *old_set;
} version_choice_t;

/* Choose by the share of SERVICE's running move.  The caller clears
   CHOICE.  */
void view_choose_version (cs_ctx_t *ctx, const view_t *view,
                          const cs_service_t *service,
                          version_choice_t *choice);
void version_choice_clear (version_choice_t *choice);

/* Go on with the old version.  */
void version_choice_fall_back (version_choice_t *choice);

#endif
