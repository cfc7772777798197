/* Reports of requests that crash upstreams, which quarantine.h puts into
   quarantine.  They may be made in any thread and are handled in the control
   thread.  */
#ifndef CARDAMOM_CRASH_REPORTS_H
#define CARDAMOM_CRASH_REPORTS_H

#include "node.h"

/* The upstream on the host of NODE_NAME crashed while it ran the request
   FINGERPRINT.  */
void crash_reports_add (node_t *node, uint64_t fingerprint,
                        const char *node_name);

/* The request FINGERPRINT has run without a crash: clear its crashes.  */
void crash_reports_clear (node_t *node, uint64_t fingerprint);

#endif
