/* Asynchronous access to the platform's key-value table, for the control
   thread of the sidecar.  The adapter in platform/ implements it.  */
#ifndef CARDAMOM_TABLE_H
#define CARDAMOM_TABLE_H

#include <glib.h>
#include <uv.h>

#include "cardamom/context.h"
#include "cardamom/revision.h"
#include "cardamom/str.h"

/* The separate sets of keys in the table.  */
typedef enum
{
  CS_KEYSPACE_OPERATOR, /* Written by operators; nodes only read it.  */
  CS_KEYSPACE_STATUS,   /* Written by nodes, for operators to read.  */
  CS_KEYSPACE_MESH,     /* Written and read by nodes only.  */
  CS_KEYSPACE_COUNT
} cs_keyspace_t;

/* One row.  */
typedef struct
{
  cs_keyspace_t keyspace;
  char *key;
  GString *value; /* NULL: the row was removed.  */
  /* Of the table when the row was last written, in the era of the answer that
     brought it.  */
  cs_revision_t revision;
} cs_table_row_t;

/* Free a cs_table_row_t, as a GDestroyNotify.  */
void cs_table_row_free (void *row);

/* A commit takes effect only while the row KEY is at REVISION, of which the
   table knows the version only; { 0 }: while there is no such row.  */
typedef struct
{
  cs_keyspace_t keyspace;
  const char *key;
  cs_revision_t revision;
} cs_table_precondition_t;

/* Set KEY to VALUE, or remove it when ERASE is set.  */
typedef struct
{
  cs_keyspace_t keyspace;
  const char *key;
  cs_str_t value;
  bool erase;
} cs_table_write_t;

/* Reports the result of a call.  ROWS holds cs_table_row_t *, borrowed for the
   callback.  With every status, the era of REVISION is the one that the answer
   named, 0 if it named none or there was no answer.
   CS_OK: ROWS are the rows, and REVISION is the table's newest revision.
   CS_CONFLICT: a precondition failed; ROWS are the current rows of those
   that were checked.
   CS_NOT_FOUND: the table doesn't hold the changes after the revision asked
   for, or it came back from an older copy while it was read; read the whole
   keyspace again.
   CS_UNAVAILABLE: the call had no effect.
   CS_UNKNOWN: a commit may have taken effect, or may still do so while its
   preconditions hold.
   CS_TOO_LARGE: the answer is larger than the call takes.
   CS_LIMIT_EXCEEDED: the table refused the call because there are too many.
   CS_DENIED: the table refused access.  */
typedef void (*cs_table_callback_t) (void *user, cs_status_t status,
                                     GPtrArray *rows, cs_revision_t revision);

typedef struct cs_table cs_table_t;

/* The calls return at once; DONE runs on the loop, once for each call.  */
typedef struct
{
  /* Read all rows of SPACE.  */
  void (*read) (cs_table_t *table, cs_keyspace_t space,
                cs_table_callback_t done, void *user);
  /* Read the rows of SPACE that changed after revision AFTER, as soon as there
     is one; after WAIT without a change the result has no rows.  An answer of
     another era holds what changed since in the table's new history.  The
     answer holds each version of a row that has changed more than once; one of
     more than MAX_BYTES is not received.  */
  void (*watch) (cs_table_t *table, cs_keyspace_t space, cs_revision_t after,
                 cs_usec_t wait, size_t max_bytes, cs_table_callback_t done,
                 void *user);
  /* Apply all WRITES atomically, if every one of PRECONDITIONS holds.  The
     arguments are copied.  */
  void (*commit) (cs_table_t *table,
                  const cs_table_precondition_t *preconditions,
                  size_t precondition_count, const cs_table_write_t *writes,
                  size_t write_count, cs_table_callback_t done, void *user);
} cs_table_vtable_t;

/* The base of every table.  */
struct cs_table
{
  const cs_table_vtable_t *vtable;
};

#endif
