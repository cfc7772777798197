/* The platform's services: a transactional table and an object store.  */
#ifndef CARDAMOM_PLATFORM_H
#define CARDAMOM_PLATFORM_H

#include <glib.h>

#include "cardamom/context.h"
#include "cardamom/str.h"

#define CS_OBJECT_MAX (16u << 20) /* Bytes of one object or range answer.  */

/* One row of the table.  REVISION is the table's revision at its last
   change.  */
typedef struct
{
  char *key;
  GString *value;
  int64_t revision;
} cs_row_t;

/* A new row that owns copies of KEY and VALUE.  */
cs_row_t *cs_row_new (const char *key, cs_str_t value, int64_t revision);

/* Free a cs_row_t, as a GDestroyNotify.  */
void cs_row_free (void *row);

/* An empty list of rows that owns them.  */
GPtrArray *cs_rows_new (void);

/* The rows of a range with the table's revision at the reading.  */
typedef struct
{
  const char *first; /* First key.  */
  const char *end;   /* First key after the range; NULL: the key FIRST only. */
  int64_t changed_since; /* Leave out rows changed before this revision.  */
  int64_t limit;         /* At most so many rows; 0: no bound.  */
} cs_range_t;

/* The row KEY must be at REVISION; 0: it must not exist.  */
typedef struct
{
  const char *key;
  int64_t revision;
} cs_condition_t;

/* Set KEY to VALUE, or delete it when ERASE is set.  */
typedef struct
{
  const char *key;
  cs_str_t value;
  bool erase;
} cs_write_t;

typedef struct
{
  const cs_condition_t *conditions;
  size_t condition_count;
  const cs_write_t *writes;
  size_t write_count;
} cs_txn_t;

typedef struct cs_platform cs_platform_t;

/* Every function may return CS_UNAVAILABLE (nothing took effect) or, for
   writes, CS_UNKNOWN (it may have).  One platform object belongs to one
   thread at a time; make one per thread with the same address.  */
typedef struct
{
  /* ADDRESS is "IP:PORT" for remote platforms, a name for embedded ones.  */
  cs_status_t (*open) (cs_ctx_t *ctx, const char *address,
                       cs_platform_t **platform);
  void (*drop) (cs_ctx_t *ctx, cs_platform_t *platform);
  /* Fill ROWS, in key order, and *REVISION.  */
  cs_status_t (*range) (cs_ctx_t *ctx, cs_platform_t *platform,
                        const cs_range_t *range, GPtrArray *rows,
                        int64_t *revision);
  /* All writes or none.  CS_CONFLICT when a condition does not hold.  */
  cs_status_t (*commit) (cs_ctx_t *ctx, cs_platform_t *platform,
                         const cs_txn_t *txn, int64_t *revision);
  /* Store BODY under KEY.  IF_TAG NULL: always; "": only when absent; else
     only when the stored tag equals it (CS_CONFLICT otherwise).  */
  cs_status_t (*put) (cs_ctx_t *ctx, cs_platform_t *platform, const char *key,
                      cs_str_t body, const char *if_tag);
  /* Append the object to BODY; *TAG, freed by the caller, may be NULL.  */
  cs_status_t (*get) (cs_ctx_t *ctx, cs_platform_t *platform, const char *key,
                      GString *body, char **tag);
} cs_platform_vtable_t;

/* The base of every platform object.  */
struct cs_platform
{
  const cs_platform_vtable_t *vtable;
};

/* Open the platform plug-in NAME at ADDRESS.  */
cs_status_t cs_platform_open (cs_ctx_t *ctx, const char *name,
                              const char *address, cs_platform_t **platform);

/* Close PLATFORM; NULL is allowed.  */
void cs_platform_drop (cs_ctx_t *ctx, cs_platform_t *platform);

/* Read the one row KEY.  CS_NOT_FOUND when absent; *ROW is the caller's.  */
cs_status_t cs_platform_row (cs_ctx_t *ctx, cs_platform_t *platform,
                             const char *key, cs_row_t **row);

/* Read every row whose key begins with PREFIX.  */
cs_status_t cs_platform_prefix (cs_ctx_t *ctx, cs_platform_t *platform,
                                const char *prefix, GPtrArray *rows,
                                int64_t *revision);

/* Commit TXN; a thin call through the vtable that counts.  */
cs_status_t cs_platform_commit (cs_ctx_t *ctx, cs_platform_t *platform,
                                const cs_txn_t *txn, int64_t *revision);

#endif
