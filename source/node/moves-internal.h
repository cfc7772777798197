/* Shared by moves.c and move-writer.c.  */
#ifndef CARDAMOM_MOVES_INTERNAL_H
#define CARDAMOM_MOVES_INTERNAL_H

#include "moves.h"

/* Time to live of the lease of the writer of steps.  */
#define LEASE_TTL (6 * CS_SEC)

/* A running move.  Statistics are cumulative cs_paired_stats_t by route.  */
typedef struct
{
  control_t *control;
  char *name;            /* See moves_make_name.  */
  const cs_move_t *move; /* In the snapshot in force.  */
  /* The evaluations of the attempts of this node, of this data centre, used by
     its aggregators, and of all data centres.  */
  cs_evaluation_t *node_evaluation;
  cs_evaluation_t *dc_evaluation;
  cs_evaluation_t *mesh_evaluation;
  GHashTable *node_stats; /* route -> statistics of this node.  */
  GHashTable *dc_stats;   /* route -> statistics of this data centre.  */
  /* "SCOPE REPORTER ROUTE" -> statistics as last reported.  */
  GHashTable *reported_stats;
  /* A set of "DC ROUTE", on which another data centre has reported; the values
     of the table are unused.  */
  GHashTable *reported_dc_routes;
  cs_exposure_t exposure; /* In all data centres.  */
  bool step_pending;      /* A step is being written.  */
} running_move_t;

struct moves
{
  GHashTable *running; /* name -> running_move_t.  */
  cs_usec_t ticked_at;
  cs_lease_t lease; /* Used in the platform thread only.  */
};

/* Whether this node knows the record that the move NAME is rolled back.  */
bool moves_is_rolled_back (control_t *control, const char *name);

/* If this node writes the steps, decide the next step of each running move and
   post it to the platform thread.  */
void moves_write_steps (control_t *control);

#endif
