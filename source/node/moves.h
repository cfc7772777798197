/* Version moves in the control thread.  */
#ifndef CARDAMOM_MOVES_H
#define CARDAMOM_MOVES_H

#include <jansson.h>

#include "control-internal.h"

moves_t *moves_new (control_t *control);
void moves_drop (control_t *control, moves_t *moves);

/* Follow the snapshot in force: add its running moves and remove all others.
   To be called before the previous snapshot, which the moves point into, is
   freed.  */
void moves_on_snapshot (control_t *control);

/* Add the evidence of this node, send reports, evaluate the moves and write
   their next steps, at an interval.  */
void moves_tick (control_t *control);

/* Handle a FRAME_EVIDENCE, a report of the node FROM.  */
void moves_handle_evidence (control_t *control, const char *from,
                            cs_unpack_cursor_t *in);

/* The name of MOVE, "PATH|START_MS", which is unique even if a later move has
   the same path.  The caller frees it.  */
char *moves_make_name (const cs_move_t *move);

/* Add to each route of the object ROUTES its team, service and objective, and
   as "beside" the latest move of its service.  */
void moves_describe_routes (control_t *control, json_t *routes);

/* The running moves as this node sees them, as JSON for operators; the caller
   owns the list.  */
json_t *moves_report (control_t *control);

#endif
