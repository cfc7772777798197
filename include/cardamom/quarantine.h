/* Requests that crash upstreams.  A request is known by its print, the hash of
   method, path and body.  Each death of an upstream while it ran a request is
   a strike; a success clears the print.  With one strike a request is run by
   one node at a time; with two, on two upstreams, not at all.  */
#ifndef CARDAMOM_QUARANTINE_H
#define CARDAMOM_QUARANTINE_H

#include "cardamom/records.h"

#define CS_STRIKES_OUT 2                        /* Strikes that quarantine.  */
#define CS_STRIKE_LIFE_MS ((int64_t)600 * 1000) /* Of a strike.  */

/* The record of a strike of PRINT on the upstream beside NODE at wall time
   NOW_MS.  The caller frees it.  */
cs_record_t *cs_strike_new (uint64_t print, const char *node, int64_t now_ms);

/* Strikes per print: uint64_t * -> count as a pointer.  The caller unrefs the
   table.  */
GHashTable *cs_strikes_collect (const cs_records_t *records);

/* How many strikes PRINT has in STRIKES.  */
unsigned cs_strikes_of (GHashTable *strikes, uint64_t print);

/* The records that clear PRINT, to be merged.  The caller unrefs the list.  */
GPtrArray *cs_strikes_clear (const cs_records_t *records, uint64_t print);

#endif
