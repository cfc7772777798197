/* The report of how fast the routes use up their error budgets: its routes and
   their plot.  */
#ifndef CARDAMOM_REPORT_H
#define CARDAMOM_REPORT_H

#include <glib.h>
#include <stdint.h>

/* The windows of the report: the latest time of these lengths.  The values are
   indexes of the arrays that have an element for each window.  */
enum
{
  BURN_5_MINUTES,
  BURN_30_MINUTES,
  BURN_1_HOUR,
  BURN_6_HOURS,
  BURN_WINDOW_COUNT
};

/* The calls of one route, summed over the nodes.  A call is good if it was
   done with a status below 500, within the latency objective of its service.
   The struct owns its strings.  */
typedef struct
{
  char *path, *service, *team;
  /* The version move of its service that started last, with its state, as
     text; NULL for none.  */
  char *latest_move;
  int64_t objective_permille; /* Share of calls that should be good.  */
  /* Numbers of calls in each window.  */
  int64_t good[BURN_WINDOW_COUNT], bad[BURN_WINDOW_COUNT];
} burn_route_t;

/* The share of bad calls in the window of index WINDOW, divided by the share
   that the objective allows; 0 without calls.  */
double burn_rate (const burn_route_t *route, int window);

/* Append a bar plot of ROUTES, a list of burn_route_t, to OUT as a whole SVG
   document.  */
void burn_append_plot (const GPtrArray *routes, GString *out);

#endif
