/* Version moves in the control thread.  */
#ifndef CARDAMOM_MOVES_H
#define CARDAMOM_MOVES_H

#include <jansson.h>

#include "control-internal.h"

moves_t *moves_new (control_t *control);
void moves_drop (control_t *control, moves_t *moves);

/* A snapshot has been put in force: keep one entry for each move that runs in
   it.  To be called before the one before is freed.  */
void moves_follow_snapshot (control_t *control);

/* Do what is due.  */
void moves_tick (control_t *control);

/* A frame with what other nodes saw.  */
void moves_handle_evidence (control_t *control, const char *from,
                            cs_unpack_cursor_t *in);

/* "PATH|START_MS", which names one move even when its path is used again; the
   caller frees it.  */
char *moves_name (const cs_move_t *move);

/* Add to each route of the object ROUTES its team, service and objective, and
   as "beside" the move of its service that runs or ended last.  */
void moves_describe_routes (control_t *control, json_t *routes);

/* The running moves as this node sees them; the caller owns the list.  */
json_t *moves_report (control_t *control);

#endif
