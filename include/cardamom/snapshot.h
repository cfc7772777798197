/* Configuration versions: the documents of a version, the change from one
   version to the next, and the immutable snapshot that requests are routed
   by.  */
#ifndef CARDAMOM_SNAPSHOT_H
#define CARDAMOM_SNAPSHOT_H

#include <glib.h>
#include <stdint.h>

#include "cardamom/document.h"
#include "cardamom/workspace.h"

/* Documents in canonical form, ordered by path, with their digest: the sum of
   the hashes of all (path, document) pairs, modulo 2^64, which does not depend
   on the order of the changes that led to them.  */
typedef struct cs_docs cs_docs_t;

cs_docs_t *cs_docs_new (cs_ctx_t *ctx);
cs_docs_t *cs_docs_copy (cs_ctx_t *ctx, const cs_docs_t *docs);
void cs_docs_drop (cs_ctx_t *ctx, cs_docs_t *docs);

/* Store a copy of the canonical TEXT under PATH, replacing the document that
   is there; TEXT NULL removes it.  */
void cs_docs_set (cs_docs_t *docs, const char *path, const char *text);

/* The canonical text under PATH, or NULL; valid until the next
   cs_docs_set or cs_docs_drop.  */
const char *cs_docs_get (const cs_docs_t *docs, const char *path);

uint64_t cs_docs_digest (const cs_docs_t *docs);
size_t cs_docs_count (const cs_docs_t *docs);

/* Call VISIT with path, text and USER for each document, ordered by path,
   until it returns TRUE.  */
void cs_docs_foreach (const cs_docs_t *docs, GTraverseFunc visit,
                      gpointer user);

/* One document that a change writes or, with DOCUMENT NULL, removes.  */
typedef struct
{
  char *path;
  char *document;
} cs_doc_write_t;

/* The difference between version VERSION - 1 and VERSION.  */
typedef struct
{
  int64_t version;
  uint64_t digest; /* Of the documents at VERSION.  */
  char *operation; /* Identifier chosen by the writer.  */
  char *team;
  int64_t accepted_ms; /* Wall time of the commit.  */
  GPtrArray *writes;   /* Of cs_doc_write_t *.  */
} cs_change_t;

/* An empty change, which owns its strings and list of documents.  */
cs_change_t *cs_change_new (void);
cs_change_t *cs_change_copy (const cs_change_t *change);

/* Free a cs_change_t, as a GDestroyNotify; NULL is allowed.  */
void cs_change_free (void *change);

/* Append to CHANGE the writing of DOCUMENT (NULL: its removal) under PATH.
   Both are copied.  */
void cs_change_add_write (cs_change_t *change, const char *path,
                          const char *document);

/* CHANGE as JSON text, which the caller frees with g_free.  */
char *cs_change_encode (const cs_change_t *change);

/* Decode TEXT into *CHANGE, which the caller frees with cs_change_free.
   CS_CORRUPT when TEXT is not an encoded change.  */
cs_status_t cs_change_decode (cs_ctx_t *ctx, cs_str_t text,
                              cs_change_t **change);

/* Apply CHANGE to DOCS in place and compare their digest with that of CHANGE.
   CS_CORRUPT when they differ; the caller must then drop DOCS.  */
cs_status_t cs_change_apply (cs_ctx_t *ctx, const cs_change_t *change,
                             cs_docs_t *docs);

/* Limits on the requests of callers; 0: the default of the process.  */
typedef struct
{
  int64_t max_header_bytes, max_body_bytes; /* Bytes of header and body.  */
  int64_t header_timeout_ms, idle_timeout_ms;
} cs_request_limits_t;

/* An immutable, linked configuration with a reference count.  */
typedef struct
{
  int64_t version;
  uint64_t digest;
  cs_docs_t *docs;      /* NULL when made by cs_snapshot_new.  */
  GHashTable *services; /* path -> cs_service_t.  */
  GPtrArray *routes;    /* Of cs_route_t *: exact hosts before "*", then
                           longer prefixes first.  */
  GHashTable *moves;    /* path -> cs_move_t.  */
  /* Lower-case host -> GPtrArray of cs_route_t *, in the order of ROUTES.  */
  GHashTable *routes_by_host;
  /* Route path -> cs_route_t; NULL if no route restricts its regions.  */
  GHashTable *restricted_routes;
  cs_workspaces_t *workspaces; /* NULL: it holds none.  */
  cs_request_limits_t limits;
  gatomicrefcount refs;
} cs_snapshot_t;

/* Validate every document of DOCS and the references between them, and build
   a snapshot with one reference, the caller's.  Takes ownership of DOCS, also
   on failure.  CS_BAD_INPUT when anything is wrong; all errors are then
   appended to ERRORS.  */
cs_status_t cs_snapshot_build (cs_ctx_t *ctx, int64_t version, cs_docs_t *docs,
                               cs_snapshot_t **snapshot, GString *errors);

/* An empty snapshot without documents and with one reference, the caller's.
   Services and routes are added, which the snapshot then owns, before it is
   linked.  */
cs_snapshot_t *cs_snapshot_new (cs_ctx_t *ctx, int64_t version);
void cs_snapshot_add_service (cs_snapshot_t *snapshot, cs_service_t *service);
void cs_snapshot_add_route (cs_snapshot_t *snapshot, cs_route_t *route);

/* Sort and index the routes and resolve their references to services.
   CS_BAD_INPUT when a reference is unresolved or two routes overlap; all
   errors are then appended to ERRORS, and the snapshot may only be dropped. */
cs_status_t cs_snapshot_link (cs_ctx_t *ctx, cs_snapshot_t *snapshot,
                              GString *errors);

/* Add a reference to SNAPSHOT and return it.  Safe from any thread.  */
cs_snapshot_t *cs_snapshot_keep (cs_snapshot_t *snapshot);

/* Release a reference and free SNAPSHOT with the last one; NULL is
   allowed.  */
void cs_snapshot_drop (cs_ctx_t *ctx, cs_snapshot_t *snapshot);

/* The route for a request, or NULL.  Routes of the exact host take precedence
   over those of "*", then the longest matching prefix wins.  A prefix matches
   whole path segments: it ends with '/', or is followed in PATH by '/', '?' or
   the end.  METHOD is one bit, or several of which a route needs only one.  */
const cs_route_t *cs_snapshot_find_route (const cs_snapshot_t *snapshot,
                                          cs_str_t host, cs_str_t path,
                                          unsigned method);

/* The regions in which requests of the route with PATH may run, as in
   cs_route_t; NULL also if there is no such route.  */
char *const *cs_snapshot_allowed_regions (const cs_snapshot_t *snapshot,
                                          const char *path);

/* The running move of SERVICE, or NULL.  */
const cs_move_t *cs_snapshot_find_running_move (const cs_snapshot_t *snapshot,
                                                const cs_service_t *service);

#endif
