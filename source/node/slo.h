/* Good and bad calls of each route per minute, from which operators see how
   fast its error budget is used.  Thread safe.  */
#ifndef CARDAMOM_SLO_H
#define CARDAMOM_SLO_H

#include <jansson.h>

#include "node.h"

#define SLO_MINUTES 360 /* The longest window, in minutes.  */

slo_t *slo_new (node_t *node);
void slo_drop (slo_t *slo);

/* Record a call of ROUTE, GOOD or bad by the objective of its service.  */
void slo_record_call (slo_t *slo, const char *route, bool good);

/* {"ROUTE": {"5": [good, bad], "30": ..., "60": ..., "360": ...}}, by the
   length of the window in minutes; the caller owns it.  */
json_t *slo_report (slo_t *slo);

#endif
