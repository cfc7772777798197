/* Good and bad calls per route, by the minute, for the burn report.  */
#ifndef CARDAMOM_SLO_H
#define CARDAMOM_SLO_H

#include <jansson.h>

#include "node.h"

#define SLO_MINUTES 360 /* Longest window.  */

slo_t *slo_new (node_t *node);
void slo_drop (slo_t *slo);

/* One call of ROUTE has ended.  */
void slo_note (slo_t *slo, const char *route, bool good);

/* {"ROUTE": {"5": [good, bad], "30": ..., "60": ..., "360": ...}}, by the
   length of the window in minutes; the caller owns it.  */
json_t *slo_report (slo_t *slo);

#endif
