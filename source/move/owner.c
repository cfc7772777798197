#include <glib.h>

#include "cardamom/move-owner.h"
#include "cardamom/str.h"

/* An owner without a heartbeat for this long, four intervals, is
   replaced.  */
#define HEARTBEAT_TIMEOUT (1000 * CS_MSEC)
/* Time between the takeovers of successive nodes.  A slow table answers within
   it.  */
#define TAKEOVER_STAGGER (500 * CS_MSEC)
/* Reserved before the deadline for the last requests of the baseline, two
   writes and a slow table, as a part of the time of the move.  RESERVE_MS_MAX
   bounds only the part by RESERVE_PERCENT: a slow table can raise the reserve
   to RESERVE_PERCENT_MAX.  */
#define RESERVE_PERCENT 15
#define RESERVE_PERCENT_MAX 40
#define RESERVE_MS_MAX 2500
#define RESERVE_WRITES 2 /* Writes to the table.  */
/* The bake time under full load: within it enough answers come back and are
   judged.  */
#define BAKE_TIME (800 * CS_MSEC)
/* Reserved for one more evaluation, and for operators to read what was
   written.  */
#define SLACK (600 * CS_MSEC)
/* An older report does not show that the baseline has no work left.  */
#define REPORT_MAX_AGE (700 * CS_MSEC)
/* Time for the last share to reach nodes in another region, and for the
   requests that they had sent before.  */
#define PROPAGATION_TIME (400 * CS_MSEC)

bool
cs_move_owner_should_take_over (unsigned rank, bool begun, cs_usec_t silence)
{
  return silence >= (begun ? HEARTBEAT_TIMEOUT : 0)
                        + (cs_usec_t)rank * TAKEOVER_STAGGER;
}

uint64_t
cs_move_owner_hash (const char *service, const char *node)
{
  return cs_hash_text (node, cs_hash_text (service, 0));
}

int64_t
cs_move_verdict_deadline_ms (int64_t start_ms, int64_t deadline_ms,
                             cs_usec_t write_time, cs_usec_t longest_run)
{
  int64_t duration_ms = deadline_ms - start_ms;
  int64_t reserve_ms
      = MIN (duration_ms * RESERVE_PERCENT / 100, RESERVE_MS_MAX);
  int64_t needed_ms
      = (RESERVE_WRITES * write_time + MAX (BAKE_TIME, longest_run) + SLACK)
        / CS_MSEC;
  reserve_ms = MAX (reserve_ms,
                    MIN (needed_ms, duration_ms * RESERVE_PERCENT_MAX / 100));
  return deadline_ms - reserve_ms;
}

bool
cs_move_baseline_is_drained (int64_t outstanding, cs_usec_t report_age,
                             cs_usec_t elapsed)
{
  return outstanding == 0 && report_age <= REPORT_MAX_AGE
         && elapsed >= PROPAGATION_TIME;
}

bool
cs_move_bake_time_is_over (cs_usec_t elapsed, cs_usec_t time_left,
                           cs_usec_t write_time)
{
  return elapsed >= BAKE_TIME
         || time_left <= RESERVE_WRITES * write_time + SLACK;
}
