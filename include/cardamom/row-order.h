/* Which of two versions of an operator's row counts, for rows that nodes hold,
   read from the platform's table, and send to each other.

   When the table comes back from an older copy, it holds rows as they were
   some seconds before, until the operator has written the later ones again.
   Its revisions don't tell the two apart: both are read in the new era.  So a
   document, which names its own version, is ordered by that; and what else the
   copy holds that differs from a row held since before counts only once the
   operator has had the time CS_ERA_SETTLE_TIME to write it again.  */
#ifndef CARDAMOM_ROW_ORDER_H
#define CARDAMOM_ROW_ORDER_H

#include "cardamom/clock.h"
#include "cardamom/revision.h"

#define CS_ERA_SETTLE_TIME (2 * CS_SEC)

/* What a version of a row is ordered by.  */
typedef struct
{
  cs_revision_t revision;
  int64_t document_version; /* 0: not a document.  */
} cs_row_order_t;

/* Whether ROW takes the place of HELD.  */
bool cs_row_supersedes (const cs_row_order_t *held, const cs_row_order_t *row);

/* Whether a row that a call of the table has brought at REVISION may be older
   than the one of other content that is held since HELD, although it is read
   in a later era.  */
bool cs_row_may_be_older (cs_revision_t held, cs_revision_t revision);

/* Whether a row that is held since HELD, and that a read of all rows at READ
   didn't bring, is no more.  SETTLED: the operator has had the time to write
   it again.  */
bool cs_row_is_gone (const cs_row_order_t *held, cs_revision_t read,
                     bool settled);

/* Whether the changes that an answer at REVISION brings are all those since
   AFTER, so that the rows that are held and they make up the table's.  */
bool cs_revision_continues (cs_revision_t after, cs_revision_t revision);

#endif
