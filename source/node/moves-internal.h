/* What moves.c and mover.c share.  */
#ifndef CARDAMOM_MOVES_INTERNAL_H
#define CARDAMOM_MOVES_INTERNAL_H

#include "moves.h"

#define LEASE_TTL (6 * CS_SEC)

/* One running move.  */
typedef struct
{
  control_t *control;
  char *name;
  const cs_move_t *move;     /* In the snapshot in force.  */
  cs_evaluation_t *own_jury; /* Of this node's attempts.  */
  cs_evaluation_t *dc_jury; /* Of this data centre's, on nodes that sum up.  */
  cs_evaluation_t *all_jury; /* Of all data centres'.  */
  GHashTable *own;           /* route -> sums already counted of this node.  */
  GHashTable *dc_sums;       /* route -> sums of this data centre.  */
  GHashTable *reports;       /* "SCOPE REPORTER ROUTE" -> last sums.  */
  GHashTable *reporters;  /* "DC ROUTE" that some report has been taken of. */
  cs_exposure_t exposure; /* Of all data centres.  */
  bool writing;           /* A step is on its way to the store.  */
} mover_t;

struct moves
{
  GHashTable *movers; /* name -> mover_t.  */
  cs_usec_t ticked_at;
  cs_lease_t lease; /* Used by the store's thread alone.  */
};

/* Whether the mark that NAME is taken back is known here.  */
bool moves_is_back (control_t *control, const char *name);

/* Decide the next step of each running move, if this node is to write them,
   and hand it to the store's thread.  */
void mover_write_steps (control_t *control);

#endif
