/* Revisions of the platform's table.  The table numbers its transactions, and
   gives numbers out again when it has come back from an older copy.  Only a
   pair of its era, which rises each time that this happens, and of the number
   is in the order of time.  */
#ifndef CARDAMOM_REVISION_H
#define CARDAMOM_REVISION_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

typedef struct
{
  int64_t era;     /* 0: the table names none.  */
  int64_t version; /* The number of the transaction; 0: none.  */
} cs_revision_t;

/* Less than, equal to or greater than 0 as A is before, the same as or after
   B.  */
int cs_revision_compare (cs_revision_t a, cs_revision_t b);
cs_revision_t cs_revision_max (cs_revision_t a, cs_revision_t b);

/* Whether REVISION is one of a row or of the table, rather than the initial
   value { 0 }.  */
static inline bool
cs_revision_is_set (cs_revision_t revision)
{
  return revision.era != 0 || revision.version != 0;
}

/* REVISION as a single number in the same order, as frames and rows hold it.
   In era 0, that is the version, as releases without eras sent it.  */
int64_t cs_revision_to_number (cs_revision_t revision);
cs_revision_t cs_revision_from_number (int64_t number);

/* For a log line: "era/version".  */
#define CS_REVISION_FORMAT "%" G_GINT64_FORMAT "/%" G_GINT64_FORMAT
#define CS_REVISION_ARGS(revision) (revision).era, (revision).version

#endif
