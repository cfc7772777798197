#include "cardamom/table-reader.h"

/* Age of the rows at which followers begin to take over.  With a healthy
   reader they may be as old as one watch, one heartbeat interval and the delay
   of a slow table together.  */
#define TAKEOVER_ROW_AGE (1300 * CS_MSEC)
/* Delay between followers that take over when the heartbeats have stopped.
   From rank TAKEOVER_STAGGER_STEPS_MAX on, all take over at the same
   moment.  */
#define TAKEOVER_STAGGER (150 * CS_MSEC)
#define TAKEOVER_STAGGER_STEPS_MAX 6

/* Readers send heartbeats more often than this, even without the table.  */
#define HEARTBEAT_AGE_MAX (1000 * CS_MSEC)
/* Delay between followers that take over while readers still send heartbeats;
   it is added for every rank, without a limit.  When half of the nodes have
   lost the table, one of the first eight still has it in all but 4 of 1,000
   cases, and reads it at most 0.7 s after the first of them failed to.  */
#define TABLE_DOWN_STAGGER (100 * CS_MSEC)
/* Exponential backoff after failed calls of the table.  */
#define RETRY_DELAY_MIN (150 * CS_MSEC)
/* The first reader must read again soon after the table is back.  */
#define RETRY_DELAY_MAX_READER (800 * CS_MSEC)
#define RETRY_DELAY_MAX_FOLLOWER (2500 * CS_MSEC)
/* When the whole mesh starts for the first time, which takes seconds, a node
   asks other nodes for the rows for this long before it reads them itself: the
   first time is that of a node that reaches none before it in rank, the second
   that of all others.  */
#define FIRST_START_WAIT_READER (500 * CS_MSEC)
#define FIRST_START_WAIT_FOLLOWER (1500 * CS_MSEC)
/* Time after which a node reads that reaches none before it.  By then a
   running node has sent its hello frame.  */
#define RESTART_TAKEOVER_WAIT (150 * CS_MSEC)
/* Time after which the others read, one after another, in case that the reader
   has lost the table.  A read from another region takes most of a second, and
   longer the more nodes read over the same link.  */
#define RESTART_WAIT_MIN (700 * CS_MSEC)
#define RESTART_STAGGER (150 * CS_MSEC)
#define RESTART_WAIT_MAX (2000 * CS_MSEC)

/* A watch with one version of the largest row, and with some of small ones, is
   received.  */
#define WATCH_BYTES_MIN ((size_t)64 << 10)

bool
cs_table_reader_should_read (unsigned rank, cs_usec_t row_age,
                             cs_usec_t heartbeat_age)
{
  unsigned steps
      = rank < TAKEOVER_STAGGER_STEPS_MAX ? rank : TAKEOVER_STAGGER_STEPS_MAX;
  if (rank == 0)
    return true;
  if (heartbeat_age > HEARTBEAT_AGE_MAX)
    return row_age > TAKEOVER_ROW_AGE + (cs_usec_t)steps * TAKEOVER_STAGGER;
  return row_age > TAKEOVER_ROW_AGE + (cs_usec_t)rank * TABLE_DOWN_STAGGER;
}

bool
cs_table_reader_should_read_initial (bool first_start, unsigned rank,
                                     unsigned reachable_rank, cs_usec_t waited)
{
  if (first_start)
    return waited >= (reachable_rank ? FIRST_START_WAIT_FOLLOWER
                                     : FIRST_START_WAIT_READER);
  cs_usec_t wait = RESTART_WAIT_MIN + reachable_rank * RESTART_STAGGER;
  return rank == 0 || (reachable_rank == 0 && waited >= RESTART_TAKEOVER_WAIT)
         || waited >= (wait < RESTART_WAIT_MAX ? wait : RESTART_WAIT_MAX);
}

size_t
cs_table_reader_watch_max (size_t all_rows_bytes)
{
  size_t max = all_rows_bytes + all_rows_bytes / 2;
  return max > WATCH_BYTES_MIN ? max : WATCH_BYTES_MIN;
}

cs_usec_t
cs_table_reader_retry_delay (unsigned rank, unsigned failures)
{
  cs_usec_t delay_max
      = rank == 0 ? RETRY_DELAY_MAX_READER : RETRY_DELAY_MAX_FOLLOWER;
  cs_usec_t delay = RETRY_DELAY_MIN;
  while (failures-- > 1 && delay < delay_max)
    delay *= 2;
  return delay < delay_max ? delay : delay_max;
}
