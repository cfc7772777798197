/* Which node owns a version move, the gradual rollout of a new version
   of a service, and when the move may end.

   The owner writes the steps of a move.  When it freezes, dies or loses
   the table in the middle of a move, the other nodes take over, one after
   another.  The revision of the move's row is the fencing token that rejects
   the writes of a former owner.  */
#ifndef CARDAMOM_MOVE_OWNER_H
#define CARDAMOM_MOVE_OWNER_H

#include <stdbool.h>
#include <stdint.h>

#include "cardamom/clock.h"

/* Time between two heartbeats of the owner.  */
#define CS_MOVE_OWNER_HEARTBEAT_INTERVAL (250 * CS_MSEC)

/* Whether the node at RANK, from 0, among the available nodes in the order of
   cs_move_owner_hash takes over a move whose owner has sent no heartbeat for
   SILENCE.  If the move has not BEGUN, there never was an owner, and SILENCE
   counts from when this node received the operator's request.  */
bool cs_move_owner_should_take_over (unsigned rank, bool begun,
                                     cs_usec_t silence);

/* The rendezvous hash of SERVICE and NODE.  The available node with the lowest
   one owns the moves of SERVICE.  */
uint64_t cs_move_owner_hash (const char *service, const char *node);

/* The latest wall time for the verdict on a move that started at START_MS and
   must have ended by DEADLINE_MS, where a write to the table takes WRITE_TIME
   and the longest requests of the baseline take LONGEST_RUN.  */
int64_t cs_move_verdict_deadline_ms (int64_t start_ms, int64_t deadline_ms,
                                     cs_usec_t write_time,
                                     cs_usec_t longest_run);

/* Whether the baseline has no requests left and will get none: OUTSTANDING
   requests run or wait there by reports that are at most REPORT_AGE old,
   ELAPSED after the last share was written.  */
bool cs_move_baseline_is_drained (int64_t outstanding, cs_usec_t report_age,
                                  cs_usec_t elapsed);

/* Whether the candidate has had all requests for long enough to show whether
   it bears the load: for ELAPSED, or for as long as TIME_LEFT, the time until
   the deadline, allows, where a write to the table takes WRITE_TIME.  */
bool cs_move_bake_time_is_over (cs_usec_t elapsed, cs_usec_t time_left,
                                cs_usec_t write_time);

#endif
