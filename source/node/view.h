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
   of paths of moves taken back, taken over.  */
view_t *view_new (view_store_t *store, cs_members_t *members,
                  cs_snapshot_t *snapshot, GHashTable *backs, bool ready);
void view_free (view_t *view);

/* Choose the version that takes a request to SERVICE, by the share of its
   running move.  The caller frees *VERSION and drops *SET.  */
void view_choose_version (cs_ctx_t *ctx, const view_t *view,
                          const cs_service_t *service, const char *path,
                          char **version, cs_upstreams_t **set);

#endif
