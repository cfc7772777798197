/* The lines of the burn report and their plot.  */
#ifndef CARDAMOM_REPORT_H
#define CARDAMOM_REPORT_H

#include <glib.h>
#include <stdint.h>

#define BURN_WINDOWS 4 /* 5, 30, 60 and 360 minutes.  */

typedef struct
{
  char *route, *service, *team;
  char *beside; /* A version move or fault that it falls together with.  */
  int64_t objective_permille;
  int64_t good[BURN_WINDOWS], bad[BURN_WINDOWS];
} burn_line_t;

/* Share of bad calls over the share that the objective allows.  */
double burn_rate (const burn_line_t *line, int window);

/* Append a self-contained SVG bar plot of LIST to OUT.  */
void burn_plot (const GPtrArray *list, GString *out);

#endif
