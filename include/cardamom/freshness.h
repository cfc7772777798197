/* Whether a node's view of the operator rows is fresh enough to serve requests
   that bear a key.

   It is made for nodes that are cut off from the platform, or from the node
   that reads it, while callers still reach them; for paused processes and
   delayed messages; and for keys that are taken away meanwhile.  */
#ifndef CARDAMOM_FRESHNESS_H
#define CARDAMOM_FRESHNESS_H

#include <stdbool.h>

#include "cardamom/clock.h"

typedef struct
{
  /* Requests with a key are refused once the view is too old for REVOKE; if
     not set, they are served whatever its age.  */
  bool fail_closed;
  /* From the acknowledgement that a key is taken away to the latest request
     that may run with it.  */
  cs_usec_t revoke;
} cs_freshness_settings_t;

/* Whether requests with a key may be served at NOW by a view that holds all
   that was acknowledged before FRESH_AT; 0: there is no view.  */
bool cs_freshness_allows_keys (const cs_freshness_settings_t *settings,
                               cs_usec_t fresh_at, cs_usec_t now);

#endif
