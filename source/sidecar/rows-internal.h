/* The operator rows: what the files that hold, exchange and read them share.
 */
#ifndef SIDECAR_ROWS_INTERNAL_H
#define SIDECAR_ROWS_INTERNAL_H

#include "control.h"

/* Who is sent a row or a heartbeat: NODE, or with NODE NULL all nodes of the
   region, or with MESH also the reader of each other region, which passes it
   on there.  */
typedef struct
{
  const char *node;
  bool mesh;
} rows_audience_t;

extern const rows_audience_t rows_own_region, rows_whole_mesh;

/* operator-rows.c */
/* Store ROW, apply it and send it to AUDIENCE if that isn't NULL, unless the
   stored one counts (row-order.h) or ROW is malformed.  With CERTAIN, the row
   is what the operator has written last, not what an older copy of the table
   may hold.  Takes ownership of ROW.  Returns whether it was stored.  */
bool rows_accept (control_t *control, cs_table_row_t *row, bool certain,
                  const rows_audience_t *audience);
/* Remove the rows that are gone (row-order.h) by IN_TABLE, a set of the keys
   of all rows at REVISION, read or received at READ_AT, and tell AUDIENCE if
   that isn't NULL.  */
void rows_remove_missing (control_t *control, GHashTable *in_table,
                          cs_revision_t revision, cs_usec_t read_at,
                          const rows_audience_t *audience);
/* Whether A and B, rows of one key, hold the same value or are both removed.
 */
bool rows_are_equal (const cs_table_row_t *a, const cs_table_row_t *b);
/* OPERATOR_ROWS hold all that was acknowledged before FRESH_AT.  */
void rows_note_keys_fresh (control_t *control, cs_usec_t fresh_at);

/* rows-exchange.c */
/* Send ROW as a delta from BASE, the row's previous value; with BASE NULL the
   delta is from an empty value.  CERTAIN as for rows_accept.  */
void rows_send (control_t *control, const cs_table_row_t *row,
                const cs_table_row_t *base, bool certain,
                rows_audience_t audience);
/* Report how up to date the rows of this node are.  */
void rows_send_heartbeat (control_t *control, rows_audience_t audience,
                          cs_usec_t now);

/* rows-reader.c */
/* What of this node decides whether it is asked to read the table.  */
cs_node_info_t rows_own_info (const control_t *control);

#endif
