/* Reports of requests that crash upstreams, from which quarantine.h decides
   whether a request is in quarantine.  Any thread may report; the control
   thread publishes the reports as records.  */
#ifndef CARDAMOM_CRASH_REPORTS_H
#define CARDAMOM_CRASH_REPORTS_H

#include "node.h"

/* The upstream on the host of NODE_NAME crashed while it ran the request
   FINGERPRINT.  */
void crash_reports_add (node_t *node, uint64_t fingerprint,
                        const char *node_name);

/* The request FINGERPRINT has run without a crash: clear its crash records. */
void crash_reports_clear (node_t *node, uint64_t fingerprint);

#endif
