/* Where a request goes: among the nodes beside the backend servers of its
   service, as the node that took it knows them.

   The load pattern it answers: data centres of uneven speed, a burst that
   fills the nearest one, and many nodes that choose at the same time.  The
   nearest data centre is taken as long as the request is expected to end well
   within its target there, for every byte over a link between data centres
   or regions is paid for; else the node where it ends soonest.  */
#ifndef CARDAMOM_PLACE_H
#define CARDAMOM_PLACE_H

#include "cardamom/upstream.h"

/* One node as a place for a request.  */
typedef struct
{
  cs_distance_t distance;
  bool usable;          /* Connected, ready, of the version, not tried yet. */
  int64_t slots;        /* Requests that it runs at once.  */
  int64_t busy;         /* Running and waiting there, own sends included.  */
  cs_usec_t slot_time;  /* Mean time that a run holds a slot there.  */
  cs_usec_t work;       /* Expected run time of this request there.  */
  cs_usec_t round_trip; /* To that node and back.  */
  int64_t failing_permille; /* Of its recent runs.  */
} cs_place_t;

/* What the request needs.  */
typedef struct
{
  cs_usec_t target_left; /* To the end that still earns full benefit.  */
} cs_place_need_t;

typedef struct
{
  int index;        /* Of the place; -1 when none is usable.  */
  cs_usec_t finish; /* Expected, from now.  */
} cs_placement_t;

/* Choose one of the COUNT places.  */
cs_placement_t cs_place_choose (const cs_place_t *places, size_t count,
                                const cs_place_need_t *need, GRand *random);

/* How long a request waits for a slot when BUSY are there before it.  */
cs_usec_t cs_place_wait (int64_t busy, int64_t slots, cs_usec_t slot_time);

#endif
