/* Configuration versions: the set of documents, the changes between two
   versions and the immutable snapshot that traffic is routed by.  */
#ifndef CARDAMOM_SNAPSHOT_H
#define CARDAMOM_SNAPSHOT_H

#include <glib.h>
#include <stdint.h>

#include "cardamom/document.h"

/* A set of documents in canonical form, ordered by path, with its digest:
   the sum of the hashes of all (path, document) pairs, modulo 2^64.  */
typedef struct cs_docs cs_docs_t;

cs_docs_t *cs_docs_new (cs_ctx_t *ctx);
cs_docs_t *cs_docs_copy (cs_ctx_t *ctx, const cs_docs_t *docs);
void cs_docs_drop (cs_ctx_t *ctx, cs_docs_t *docs);

/* Store the canonical TEXT under PATH; NULL removes the document.  */
void cs_docs_set (cs_docs_t *docs, const char *path, const char *text);

/* The canonical text under PATH, or NULL; valid until the next set.  */
const char *cs_docs_get (const cs_docs_t *docs, const char *path);

uint64_t cs_docs_digest (const cs_docs_t *docs);
size_t cs_docs_count (const cs_docs_t *docs);

/* Call VISIT for each document in order of path until it returns TRUE.  */
void cs_docs_foreach (const cs_docs_t *docs, GTraverseFunc visit,
                      gpointer user);

/* One document set (or, with DOCUMENT NULL, removed) by a change.  */
typedef struct
{
  char *path;
  char *document;
} cs_set_t;

/* What leads from version VERSION - 1 to VERSION.  */
typedef struct
{
  int64_t version;
  uint64_t digest; /* Of the documents at VERSION.  */
  char *operation; /* Identifier given by the writer.  */
  char *team;
  int64_t accepted_ms; /* Wall time of the acceptance.  */
  GPtrArray *sets;     /* cs_set_t *.  */
} cs_change_t;

/* An empty change that owns its sets.  */
cs_change_t *cs_change_new (void);
cs_change_t *cs_change_copy (const cs_change_t *change);
void cs_change_free (void *change);

/* Append a set of copies of PATH and DOCUMENT to CHANGE.  */
void cs_change_add (cs_change_t *change, const char *path,
                    const char *document);

/* CHANGE as JSON text, freed by the caller; and back, CS_CORRUPT when TEXT
   is no change.  */
char *cs_change_encode (const cs_change_t *change);
cs_status_t cs_change_decode (cs_ctx_t *ctx, cs_str_t text,
                              cs_change_t **change);

/* Apply CHANGE to DOCS in place and compare the digest: CS_CORRUPT on a
   difference, when DOCS must be thrown away.  */
cs_status_t cs_change_apply (cs_ctx_t *ctx, const cs_change_t *change,
                             cs_docs_t *docs);

/* What a caller may send, and how long it may take; 0: the daemon's own.  */
typedef struct
{
  int64_t head_max, body_max; /* Bytes.  */
  int64_t head_timeout_ms, idle_timeout_ms;
} cs_limits_t;

/* An immutable, fully linked configuration, counted by reference.  */
typedef struct
{
  int64_t version;
  uint64_t digest;
  cs_docs_t *docs;
  GHashTable *services; /* path -> cs_service_t.  */
  GPtrArray *routes;    /* cs_route_t *, longest prefix first.  */
  GHashTable *moves;    /* path -> cs_move_t.  */
  GHashTable *by_host;  /* host -> GPtrArray of cs_route_t, in that order.  */
  cs_limits_t limits;
  gatomicrefcount refs;
} cs_snapshot_t;

/* Check every document of DOCS and every reference between them, and link
   them.  DOCS is taken over, also on failure.  CS_BAD_INPUT appends all
   errors to ERRORS.  */
cs_status_t cs_snapshot_build (cs_ctx_t *ctx, int64_t version, cs_docs_t *docs,
                               cs_snapshot_t **snapshot, GString *errors);

/* An empty configuration without documents, to be filled with services and
   routes that are taken over, and then linked.  */
cs_snapshot_t *cs_snapshot_new (cs_ctx_t *ctx, int64_t version);
void cs_snapshot_add_service (cs_snapshot_t *snapshot, cs_service_t *service);
void cs_snapshot_add_route (cs_snapshot_t *snapshot, cs_route_t *route);

/* Link routes and services.  CS_BAD_INPUT appends all errors to ERRORS; the
   snapshot then serves for nothing but being dropped.  */
cs_status_t cs_snapshot_link (cs_ctx_t *ctx, cs_snapshot_t *snapshot,
                              GString *errors);

/* One more reference; any thread may take it.  */
cs_snapshot_t *cs_snapshot_keep (cs_snapshot_t *snapshot);

/* Give a reference back; NULL is allowed.  */
void cs_snapshot_drop (cs_ctx_t *ctx, cs_snapshot_t *snapshot);

/* The route for a request, or NULL: exact host before "*", then the longest
   prefix that ends at a '/' or at the path's end.  */
const cs_route_t *cs_snapshot_route (const cs_snapshot_t *snapshot,
                                     cs_str_t host, cs_str_t path,
                                     unsigned method);

/* The running move of SERVICE, or NULL.  */
const cs_move_t *cs_snapshot_move (const cs_snapshot_t *snapshot,
                                   const cs_service_t *service);

#endif
