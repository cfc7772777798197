/* Which cardamom-sidecar reads the platform's table for the nodes of its
   region.

   Hundreds of nodes must all have a change within seconds, calls of the table
   are rate-limited and billed, and a reader may die or lose its connection to
   the table.  So in each region the first node by cs_node_reads_before reads
   the table and forwards its rows; the others follow that reader's heartbeats,
   which carry the age of the rows.  When the heartbeats stop, the others
   take over one after another by rank, and from a certain rank on at the same
   moment.  When readers still send heartbeats but have lost the table
   themselves, the table is most likely down for all nodes, and the others take
   over one after another, however many they are.  */
#ifndef CARDAMOM_TABLE_READER_H
#define CARDAMOM_TABLE_READER_H

#include <stdbool.h>
#include <stddef.h>

#include "cardamom/clock.h"

/* How long one watch (long poll) of the table may take; a reader without an
   answer for longer has lost the table.  */
#define CS_TABLE_WATCH_TIMEOUT (600 * CS_MSEC)
/* Between a reader's heartbeats to its followers.  */
#define CS_TABLE_READER_HEARTBEAT_INTERVAL (300 * CS_MSEC)

/* Whether the node reads the table now.  RANK is its position, from 0, among
   the reachable nodes of its region; ROW_AGE the time since its rows were last
   known to be fresh; HEARTBEAT_AGE the time since the last heartbeat of any
   reader.  */
bool cs_table_reader_should_read (unsigned rank, cs_usec_t row_age,
                                  cs_usec_t heartbeat_age);

/* Whether a node that has no rows yet reads them from the table instead of
   asking other nodes again.  FIRST_START is set when the whole mesh
   starts for the first time; RANK is the node's position, from 0, among all
   nodes of its region that the table lists; REACHABLE_RANK its position among
   those that it reaches; WAITED the time since it first could read.

   After a power failure all nodes start at once, and each would read all rows
   over the single link of its region.  With this rule one of them reads, and
   the others fetch the rows from it.  */
bool cs_table_reader_should_read_initial (bool first_start, unsigned rank,
                                          unsigned reachable_rank,
                                          cs_usec_t waited);

/* The largest answer of a watch, in bytes, that a node receives whose rows
   take ALL_ROWS_BYTES in the answer of a read.  A watch brings each version
   since the last one, so that a node that has fallen behind gets more with
   each attempt, while a read brings the newest versions only.  */
size_t cs_table_reader_watch_max (size_t all_rows_bytes);

/* The delay before the next call of the table after FAILURES consecutive calls
   have failed.  It grows to a limit, which is lower for the node at RANK 0. */
cs_usec_t cs_table_reader_retry_delay (unsigned rank, unsigned failures);

#endif
