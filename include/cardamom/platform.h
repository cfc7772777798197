/* Blocking client interface of the platform's services: a transactional
   key-value table and an object store.  cardamomd uses it; the sidecar uses
   table.h.  */
#ifndef CARDAMOM_PLATFORM_H
#define CARDAMOM_PLATFORM_H

#include <glib.h>

#include "cardamom/context.h"
#include "cardamom/str.h"

/* Maximum bytes of an object, or of the answer to any one request.  */
#define CS_OBJECT_MAX_BYTES (16u << 20)

/* One row of the table.  REVISION is the table's revision as of the row's last
   change.  */
typedef struct
{
  char *key;
  GString *value;
  int64_t revision;
} cs_row_t;

/* Create a row that owns copies of KEY and VALUE.  Free it with
   cs_row_free.  */
cs_row_t *cs_row_new (const char *key, cs_str_t value, int64_t revision);

/* Free ROW, a cs_row_t or NULL.  A GDestroyNotify.  */
void cs_row_free (void *row);

/* Create an empty list that owns its rows; free it with g_ptr_array_unref.  */
GPtrArray *cs_rows_new (void);

/* Selects rows by key range and revision.  Keys are compared bytewise.  */
typedef struct
{
  const char *first_key;
  const char *end_key; /* Exclusive; NULL selects FIRST_KEY only.  */
  /* Skip rows whose last change is older than this revision.  */
  int64_t min_revision;
  int64_t max_rows; /* Maximum number of rows; 0: no limit.  */
} cs_range_query_t;

/* Requires that row KEY is at REVISION; 0 requires that it does not exist.  */
typedef struct
{
  const char *key;
  int64_t revision;
} cs_txn_condition_t;

/* Sets KEY to VALUE, or deletes KEY if IS_DELETE is set.  */
typedef struct
{
  const char *key;
  cs_str_t value;
  bool is_delete;
} cs_txn_write_t;

/* Writes that are applied atomically if all conditions hold.  */
typedef struct
{
  const cs_txn_condition_t *conditions;
  size_t condition_count;
  const cs_txn_write_t *writes;
  size_t write_count;
} cs_txn_t;

typedef struct cs_platform cs_platform_t;

/* A platform plug-in.  Every function may return CS_UNAVAILABLE, which means
   that nothing took effect; a write may also return CS_UNKNOWN, which means
   that it may have taken effect.  A platform object may be used by one thread
   at a time; threads open one each, with the same address.  */
typedef struct
{
  /* ADDRESS is "IP:PORT" for remote platforms and the store's name for
     in-memory ones.  The caller closes *PLATFORM with DROP.  */
  cs_status_t (*open) (cs_ctx_t *ctx, const char *address,
                       cs_platform_t **platform);
  void (*drop) (cs_ctx_t *ctx, cs_platform_t *platform);
  /* Append the selected rows to ROWS in key order.  *REVISION is the table's
     revision at the time of the read.  */
  cs_status_t (*read_range) (cs_ctx_t *ctx, cs_platform_t *platform,
                             const cs_range_query_t *range, GPtrArray *rows,
                             int64_t *revision);
  /* Apply all writes of TXN or none.  *REVISION is the table's revision
     afterwards.  CS_CONFLICT if a condition does not hold.  */
  cs_status_t (*commit) (cs_ctx_t *ctx, cs_platform_t *platform,
                         const cs_txn_t *txn, int64_t *revision);
  /* Store BODY as object KEY.  IF_TAG restricts the write: NULL writes always,
     "" only if the object does not exist, another value only if it equals the
     object's entity tag.  CS_CONFLICT if the restriction does not hold.  */
  cs_status_t (*put_object) (cs_ctx_t *ctx, cs_platform_t *platform,
                             const char *key, cs_str_t body,
                             const char *if_tag);
  /* Append object KEY to BODY.  Unless TAG is NULL, *TAG is set to the entity
     tag, which the caller frees.  CS_NOT_FOUND if there is no such object.  */
  cs_status_t (*get_object) (cs_ctx_t *ctx, cs_platform_t *platform,
                             const char *key, GString *body, char **tag);
} cs_platform_vtable_t;

/* Base of every platform object; plug-ins embed it as the first member.  */
struct cs_platform
{
  const cs_platform_vtable_t *vtable;
};

/* Open ADDRESS with the platform plug-in NAME.  CS_NOT_FOUND if there is no
   such plug-in; other errors are those of the plug-in.  Release *PLATFORM with
   cs_platform_drop.  */
cs_status_t cs_platform_open (cs_ctx_t *ctx, const char *name,
                              const char *address, cs_platform_t **platform);

/* Close PLATFORM; NULL is allowed.  */
void cs_platform_drop (cs_ctx_t *ctx, cs_platform_t *platform);

/* Read row KEY.  CS_NOT_FOUND if it does not exist.  The caller frees *ROW
   with cs_row_free.  */
cs_status_t cs_platform_read_row (cs_ctx_t *ctx, cs_platform_t *platform,
                                  const char *key, cs_row_t **row);

/* Append all rows whose keys start with PREFIX, which must not be empty, to
   ROWS.  *REVISION is the table's revision at the time of the read.  */
cs_status_t cs_platform_read_prefix (cs_ctx_t *ctx, cs_platform_t *platform,
                                     const char *prefix, GPtrArray *rows,
                                     int64_t *revision);

/* Commit TXN as the plug-in's commit does, and update the counters of writes
   and errors.  */
cs_status_t cs_platform_commit (cs_ctx_t *ctx, cs_platform_t *platform,
                                const cs_txn_t *txn, int64_t *revision);

#endif
