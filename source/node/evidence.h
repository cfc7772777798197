/* What this node's own attempts saw of the two versions of a move.  Written by
   callers' threads, read by control.  */
#ifndef CARDAMOM_EVIDENCE_H
#define CARDAMOM_EVIDENCE_H

#include "node.h"

evidence_t *evidence_new (void);
void evidence_drop (evidence_t *evidence);

/* An attempt under the move MOVE (see moves.c for the form) has ended.  */
void evidence_note (evidence_t *evidence, const char *move, const char *route,
                    bool new_version, bool failed, cs_usec_t latency);

/* Call VISIT with each route and its sums since the start of MOVE.  */
typedef void (*evidence_visit_t) (void *user, const char *route,
                                  const cs_paired_stats_t *sums);
void evidence_foreach (evidence_t *evidence, const char *move,
                       evidence_visit_t visit, void *user);

/* Forget MOVE.  */
void evidence_forget (evidence_t *evidence, const char *move);

#endif
