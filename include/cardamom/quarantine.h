/* Quarantine of requests that crash upstreams.  A request is identified by its
   fingerprint, the hash of method, host, path and body.  Each crash of an
   upstream while it ran a request is recorded; a success clears the crash
   records of the fingerprint.  A request with one crash is run by one node at
   a time; with crashes of two upstreams it is in quarantine and is not run at
   all.  */
#ifndef CARDAMOM_QUARANTINE_H
#define CARDAMOM_QUARANTINE_H

#include "cardamom/clock.h"
#include "cardamom/records.h"

/* The number of crashes from which a request is refused.  */
#define CS_QUARANTINE_CRASHES 2
/* Time until a crash record expires.  */
#define CS_CRASH_RECORD_TTL_MS ((int64_t)600 * 1000)

/* The fingerprint of a request; HOST is without its port, TARGET with its
   query.  */
uint64_t cs_request_fingerprint (cs_str_t method, cs_str_t host,
                                 cs_str_t target, cs_str_t body);

/* The record of a crash at wall time NOW of SERVER while it ran the request
   FINGERPRINT, which it had got at STARTED_AT.  SERVER names the upstream, or
   the node on its host.  The caller frees it.  */
cs_record_t *cs_crash_record_new (uint64_t fingerprint, const char *server,
                                  cs_usec_t started_at, cs_usec_t now);

/* The key of that record; the caller frees it.  */
char *cs_crash_record_key (uint64_t fingerprint, const char *server);

/* A run during which an upstream crashed, in wall time.  */
typedef struct
{
  uint64_t fingerprint;
  cs_usec_t started_at, crashed_at;
} cs_crashed_run_t;

/* The run that RECORD, a crash record, is about.  */
cs_crashed_run_t cs_crash_record_run (const cs_record_t *record);

/* The number of crashes in RUNS, cs_crashed_run_t of one request, which are
   sorted.  Runs that overlapped in time count as one crash: their upstreams
   may have failed together for another reason.  */
unsigned cs_count_crashes (GArray *runs);

/* Whether RECORD, a crash record, has not been cleared.  */
bool cs_crash_record_is_active (const cs_record_t *record);

/* Count the crashes per fingerprint as cs_count_crashes does: uint64_t * ->
   count as a pointer.  The caller unrefs the table.  */
GHashTable *cs_crashes_by_fingerprint (const cs_records_t *records);

/* The number of crashes caused by FINGERPRINT, from the table CRASH_COUNTS of
   cs_crashes_by_fingerprint.  */
unsigned cs_crash_count_of (GHashTable *crash_counts, uint64_t fingerprint);

/* Make RECORD, a crash record, the one that clears it, for merging.  */
void cs_crash_record_clear (cs_record_t *record);

/* The records that clear the crashes of FINGERPRINT, for merging.  The caller
   unrefs the list.  */
GPtrArray *cs_crashes_clear (const cs_records_t *records,
                             uint64_t fingerprint);

#endif
