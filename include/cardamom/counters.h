/* Counters and gauges of the process.  Updates take no lock.  */
#ifndef CARDAMOM_COUNTERS_H
#define CARDAMOM_COUNTERS_H

#include <glib.h>
#include <stdint.h>

/* All counters and gauges: identifier, exposed name, help text.  A name that
   ends in "_total" is a counter, any other a gauge.  */
#define CS_COUNTER_TABLE(X)                                                   \
  X (CALLS, "cardamom_calls_total", "Calls taken from callers.")              \
  X (CALLS_DONE, "cardamom_calls_done_total", "Calls answered: done.")        \
  X (CALLS_NOT_RUN, "cardamom_calls_not_run_total",                           \
     "Calls answered: not run.")                                              \
  X (CALLS_UNKNOWN, "cardamom_calls_unknown_total",                           \
     "Calls answered: outcome unknown.")                                      \
  X (ATTEMPTS, "cardamom_attempts_total", "Attempts sent to upstreams.")      \
  X (RETRIES, "cardamom_retries_total", "Attempts after the first.")          \
  X (RETRIES_REFUSED, "cardamom_retries_refused_total",                       \
     "Retries refused by the retry budget.")                                  \
  X (NO_ROUTE, "cardamom_no_route_total", "Calls that match no route.")       \
  X (REFUSED_INPUT, "cardamom_refused_input_total",                           \
     "Malformed, ambiguous or oversize requests refused.")                    \
  X (SHED, "cardamom_shed_total", "Requests shed by admission.")              \
  X (SERVED, "cardamom_served_total", "Requests run on the local upstream.")  \
  X (COLD_SERVED, "cardamom_cold_served_total",                               \
     "Requests sent to the local upstream while it was cold.")                \
  X (SERVED_ERRORS, "cardamom_served_errors_total",                           \
     "Requests on which the local upstream failed.")                          \
  X (ANSWERS_MISMATCHED, "cardamom_answers_mismatched_total",                 \
     "Answers dropped because they belong to another request.")               \
  X (LATE_RESULTS, "cardamom_late_results_total",                             \
     "Results dropped because their caller had been answered.")               \
  X (SPILL_DC, "cardamom_spill_dc_total",                                     \
     "Attempts sent to another data centre of the region.")                   \
  X (SPILL_REGION, "cardamom_spill_region_total",                             \
     "Attempts sent to another region.")                                      \
  X (ONCE_CLAIMS, "cardamom_once_claims_total",                               \
     "Idempotency keys claimed before a run.")                                \
  X (ONCE_REPLAYS, "cardamom_once_replays_total",                             \
     "Answers replayed for a known idempotency key.")                         \
  X (ONCE_REFUSED, "cardamom_once_refused_total",                             \
     "Keyed requests refused because no record could be consulted.")          \
  X (LINK_REFUSED, "cardamom_link_refused_total",                             \
     "Large bodies refused because this host's link had no time for them.")   \
  X (NO_MEMORY, "cardamom_no_memory_total",                                   \
     "Jobs of other nodes refused for want of memory.")                       \
  X (GAVE_WAY, "cardamom_gave_way_total",                                     \
     "Bodies, answers and kept outcomes given up for want of memory.")        \
  X (UNAUTHORIZED, "cardamom_unauthorized_total",                             \
     "Requests refused because their key is not known.")                      \
  X (KEYS_CLOSED, "cardamom_keys_closed_total",                               \
     "Keyed requests refused because the node's view was too old.")           \
  X (OVER_CAP, "cardamom_over_cap_total",                                     \
     "Requests refused because they lie beyond their workspace's cap.")       \
  X (CAP_WAITS, "cardamom_cap_waits_total",                                   \
     "Requests that waited for the coordinator of their workspace's cap.")    \
  X (QUARANTINED, "cardamom_quarantined_total",                               \
     "Requests refused by quarantine.")                                       \
  X (STRIKES, "cardamom_strikes_total",                                       \
     "Upstream deaths ascribed to a request.")                                \
  X (CONFIG_APPLIED, "cardamom_config_applied_total",                         \
     "Configuration versions put in force.")                                  \
  X (CONFIG_REFUSED, "cardamom_config_refused_total",                         \
     "Configuration versions refused by this node.")                          \
  X (CONFIG_STALE, "cardamom_config_stale_total",                             \
     "Configuration frames at or below the version in force.")                \
  X (ROWS_OLD, "cardamom_rows_old_total",                                     \
     "Rows kept out because the node holds a newer one.")                     \
  X (STORE_RESTORED, "cardamom_store_restored_total",                         \
     "Times that the platform's table came back from an older copy.")         \
  X (STORE_LATE, "cardamom_store_late_total",                                 \
     "Answers dropped because they were of an earlier era of the table.")     \
  X (STORE_ERA_BAD, "cardamom_store_era_bad_total",                           \
     "Answers whose era was not a number.")                                   \
  X (STORE_READS, "cardamom_store_reads_total",                               \
     "Requests that read from the platform.")                                 \
  X (STORE_BYTES_IN, "cardamom_store_bytes_in_total",                         \
     "Bytes of answers of the platform, also of those cut short.")            \
  X (STORE_WRITES, "cardamom_store_writes_total",                             \
     "Requests that write to the platform.")                                  \
  X (STORE_ERRORS, "cardamom_store_errors_total",                             \
     "Requests to the platform that failed.")                                 \
  X (CONTROL_BYTES_OUT, "cardamom_control_bytes_out_total",                   \
     "Bytes of control frames sent to other nodes.")                          \
  X (CONTROL_BYTES_IN, "cardamom_control_bytes_in_total",                     \
     "Bytes of control frames received from other nodes.")                    \
  X (REGION_BYTES_OUT, "cardamom_region_control_bytes_out_total",             \
     "Bytes of control frames sent to other regions.")                        \
  X (CALL_BYTES_OUT, "cardamom_call_bytes_out_total",                         \
     "Bytes of call frames sent to other nodes.")                             \
  X (CONTROL_CPU_US, "cardamom_control_cpu_microseconds_total",               \
     "Processor time of the control and platform threads.")                   \
  X (FRAMES_REFUSED, "cardamom_frames_refused_total",                         \
     "Malformed or oversize frames; each cost its sender the connection.")    \
  X (PEERS_DENIED, "cardamom_peers_denied_total",                             \
     "Connections that failed authentication.")                               \
  X (PROBES_FAILED, "cardamom_probes_failed_total",                           \
     "Membership probes without an answer.")                                  \
  X (EJECTIONS, "cardamom_ejections_total",                                   \
     "Upstreams taken out of the choice for failing.")                        \
  X (MOVES_TAKEN_BACK, "cardamom_moves_taken_back_total",                     \
     "Version moves this node saw taken back.")                               \
  X (LEASES_TAKEN, "cardamom_leases_taken_total",                             \
     "Leases of the move writer taken by this node.")                         \
  X (ANSWERS_WAITED, "cardamom_answers_waited_total",                         \
     "Large answers of other nodes' servers that waited for memory.")         \
  X (G_CONFIG_VERSION, "cardamom_config_version",                             \
     "Configuration version in force (gauge).")                               \
  X (G_TABLE_ERA, "cardamom_table_era",                                       \
     "Era of the platform's table as far as known (gauge).")                  \
  X (G_EVACUATED, "cardamom_evacuated_data_centres",                          \
     "Data centres that are evacuated as far as known (gauge).")              \
  X (G_KEYS_CLOSED, "cardamom_keys_closed",                                   \
     "1 while this node refuses keyed requests (gauge).")                     \
  X (G_MEMBERS, "cardamom_members", "Live members known (gauge).")            \
  X (G_INFLIGHT, "cardamom_inflight",                                         \
     "Requests running on the local upstream (gauge).")                       \
  X (G_QUEUED, "cardamom_queued", "Requests queued for it (gauge).")          \
  X (G_LIMIT, "cardamom_limit", "Concurrency limit in force (gauge).")

typedef enum
{
#define CS_COUNTER_ID(id, name, help) CS_C_##id,
  CS_COUNTER_TABLE (CS_COUNTER_ID)
#undef CS_COUNTER_ID
      CS_COUNTER_COUNT
} cs_counter_t;

/* Add N to COUNTER.  Each thread has its own cell for it, so that threads do
   not contend.  */
void cs_counter_add (cs_counter_t counter, uint64_t n);

/* Set the gauge COUNTER to VALUE; of concurrent writers the last one wins.  */
void cs_gauge_set (cs_counter_t counter, uint64_t value);

/* The value of a gauge, or the sum of a counter over all threads, including
   those that have ended.  */
uint64_t cs_counter_read (cs_counter_t counter);

/* The exposed name and the help text of COUNTER, static strings.  */
const char *cs_counter_name (cs_counter_t counter);
const char *cs_counter_help (cs_counter_t counter);

/* Append all counters and gauges to OUT in the Prometheus text exposition
   format.  */
void cs_counters_write (GString *out);

#endif
