/* Statistics of this node's attempts at the baseline and the candidate of each
   running move.  Written by callers' threads, read by the control thread.  */
#ifndef CARDAMOM_EVIDENCE_H
#define CARDAMOM_EVIDENCE_H

#include "node.h"

evidence_t *evidence_new (void);
void evidence_drop (evidence_t *evidence);

/* Record an attempt on ROUTE during the move MOVE (moves_make_name): at its
   candidate or its baseline, whether it FAILED, and its latency.  */
void evidence_record (evidence_t *evidence, const char *move,
                      const char *route, bool is_candidate, bool failed,
                      cs_usec_t latency);

/* Call VISIT with USER, each route and its statistics since the start of MOVE.
   VISIT must not call evidence_* functions.  */
typedef void (*evidence_visit_t) (void *user, const char *route,
                                  const cs_paired_stats_t *stats);
void evidence_foreach (evidence_t *evidence, const char *move,
                       evidence_visit_t visit, void *user);

/* Free the statistics of MOVE.  */
void evidence_forget (evidence_t *evidence, const char *move);

#endif
