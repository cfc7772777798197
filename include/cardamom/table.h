/* The platform's table as the control thread uses it: without blocking.  */
#ifndef CARDAMOM_TABLE_H
#define CARDAMOM_TABLE_H

#include <glib.h>
#include <uv.h>

#include "cardamom/context.h"
#include "cardamom/str.h"

/* What lies in the table.  */
typedef enum
{
  CS_SPACE_ORDERS, /* What operators wrote; read only.  */
  CS_SPACE_STATES, /* What operators read back.  */
  CS_SPACE_MESH,   /* The nodes' own.  */
  CS_SPACE_COUNT
} cs_space_t;

/* One row.  */
typedef struct
{
  cs_space_t space;
  char *key;
  GString *value; /* NULL: the row was removed.  */
  int64_t revision;
} cs_entry_t;

void cs_entry_free (void *entry);

/* The row KEY must be at REVISION; 0: it must not exist.  */
typedef struct
{
  cs_space_t space;
  const char *key;
  int64_t revision;
} cs_expect_t;

/* Set KEY to VALUE, or remove it when ERASE is set.  */
typedef struct
{
  cs_space_t space;
  const char *key;
  cs_str_t value;
  bool erase;
} cs_put_t;

/* The end of a call.  CS_OK: ENTRIES (cs_entry_t *, borrowed) and REVISION,
   the table's newest.  CS_CONFLICT: ENTRIES are the rows that were expected.
   CS_NOT_FOUND: the history that was asked for is gone, read anew.
   CS_UNAVAILABLE: nothing took effect.  CS_UNKNOWN: a commit may have, or may
   yet do so as long as its expectations hold.  CS_LIMIT: too many calls.  */
typedef void (*cs_table_done_t) (void *user, cs_status_t status,
                                 GPtrArray *entries, int64_t revision);

typedef struct cs_table cs_table_t;

typedef struct
{
  /* All rows of SPACE.  */
  void (*read) (cs_table_t *table, cs_space_t space, cs_table_done_t done,
                void *user);
  /* The rows of SPACE changed after revision AFTER, as soon as there is one,
     or none after WAIT.  */
  void (*watch) (cs_table_t *table, cs_space_t space, int64_t after,
                 cs_usec_t wait, cs_table_done_t done, void *user);
  /* All PUTS or none.  */
  void (*commit) (cs_table_t *table, const cs_expect_t *expects,
                  size_t expect_count, const cs_put_t *puts, size_t put_count,
                  cs_table_done_t done, void *user);
} cs_table_vtable_t;

/* The base of every table.  DONE is called once for each call, from the
   loop.  */
struct cs_table
{
  const cs_table_vtable_t *vtable;
};

#endif
