/* Quarantine of requests that crash upstreams.  A request is identified by its
   fingerprint, the hash of method, path and body.  Each crash of an upstream
   while it ran a request is recorded as a strike; a success clears the strikes
   of the fingerprint.  A request with one strike is run by one node at a time;
   with strikes on two upstreams it is not run at all.  */
#ifndef CARDAMOM_QUARANTINE_H
#define CARDAMOM_QUARANTINE_H

#include "cardamom/records.h"

#define CS_QUARANTINE_CRASHES 2 /* Strikes from which it is refused.  */
#define CS_CRASH_RECORD_TTL_MS                                                \
  ((int64_t)600 * 1000) /* Until a strike expires. */

/* The record of a crash at wall time NOW_MS of the upstream on NODE's host
   while it ran the request FINGERPRINT.  The caller frees it.  */
cs_record_t *cs_crash_record_new (uint64_t fingerprint, const char *node,
                                  int64_t now_ms);

/* Count the strikes per fingerprint: uint64_t * -> count as a pointer.  The
   caller unrefs the table.  */
GHashTable *cs_crashes_count (const cs_records_t *records);

/* The number of strikes of FINGERPRINT in STRIKES.  */
unsigned cs_crashes_of (GHashTable *strikes, uint64_t fingerprint);

/* The records that clear the strikes of FINGERPRINT, for merging.  The caller
   unrefs the list.  */
GPtrArray *cs_crashes_clear (const cs_records_t *records,
                             uint64_t fingerprint);

#endif
