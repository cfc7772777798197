/* The plot of the burn report: a bar per route and window.  The axis has a
   square root scale, so that the alert thresholds 1, 6 and 14.4 are clearly
   apart.  */
#include <math.h>

#include "report.h"

#define ROW_HEIGHT 74 /* Pixels per route.  */
#define BAR_HEIGHT 12 /* Pixels.  */
/* Left end of the bars, in pixels; the names are left of it.  */
#define BARS_X 260
#define PLOT_WIDTH 900 /* Pixels.  */
#define RATE_MAX 40.0  /* Bars of higher rates have the length of this one. */

/* The horizontal position of the burn rate RATE.  */
static double
x_of_rate (double rate)
{
  return BARS_X
         + (PLOT_WIDTH - BARS_X - 60) * sqrt (MIN (rate, RATE_MAX) / RATE_MAX);
}

/* Append TEXT at X and Y, in pixels, to OUT.  */
static void
add_text (GString *out, double x, double y, const char *text)
{
  char *escaped = g_markup_escape_text (text, -1);
  g_string_append_printf (
      out, "<text x=\"%.0f\" y=\"%.0f\" font-size=\"12\">%s</text>\n", x, y,
      escaped);
  g_free (escaped);
}

/* Append a dashed vertical line with a label at the burn rate RATE to OUT.
   HEIGHT is that of the plot in pixels.  */
static void
add_threshold (GString *out, double rate, int height)
{
  char label[16];
  g_snprintf (label, sizeof label, "%g", rate);
  g_string_append_printf (out,
                          "<line x1=\"%.0f\" y1=\"30\" x2=\"%.0f\" "
                          "y2=\"%d\" stroke=\"#999\" "
                          "stroke-dasharray=\"3 3\"/>\n",
                          x_of_rate (rate), x_of_rate (rate), height);
  add_text (out, x_of_rate (rate) - 6, 24, label);
}

/* Append the names and bars of ROUTE to OUT, from the vertical position TOP
   downwards.  */
static void
add_route (GString *out, const burn_route_t *route, int top)
{
  static const char *const window_names[BURN_WINDOW_COUNT]
      = { "5m", "30m", "1h", "6h" };
  static const char *const window_colours[BURN_WINDOW_COUNT]
      = { "#c0392b", "#e67e22", "#2980b9", "#7f8c8d" };
  add_text (out, 10, top + 26, route->path);
  if (route->latest_move)
    add_text (out, 10, top + 42, route->latest_move);
  for (int i = 0; i < BURN_WINDOW_COUNT; i++)
    {
      double rate = burn_rate (route, i);
      int y = top + i * (BAR_HEIGHT + 3);
      char label[48];
      g_string_append_printf (out,
                              "<rect x=\"%d\" y=\"%d\" width=\"%.1f\" "
                              "height=\"%d\" fill=\"%s\"/>\n",
                              BARS_X, y, x_of_rate (rate) - BARS_X + 1,
                              BAR_HEIGHT, window_colours[i]);
      g_snprintf (label, sizeof label, "%s %.2f", window_names[i], rate);
      add_text (out, x_of_rate (rate) + 5, y + BAR_HEIGHT - 2, label);
    }
}

void
burn_append_plot (const GPtrArray *routes, GString *out)
{
  int height = 50 + (int)routes->len * ROW_HEIGHT;
  g_string_append_printf (out,
                          "<svg xmlns=\"http://www.w3.org/2000/svg\" "
                          "width=\"%d\" height=\"%d\" "
                          "font-family=\"sans-serif\">\n"
                          "<rect width=\"100%%\" height=\"100%%\" "
                          "fill=\"white\"/>\n",
                          PLOT_WIDTH, height);
  add_text (out, 10, 20, "Error budget burn rate by route and window");
  add_threshold (out, 1.0, height);
  add_threshold (out, 6.0, height);
  add_threshold (out, 14.4, height);
  for (guint i = 0; i < routes->len; i++)
    add_route (out, routes->pdata[i], 40 + (int)i * ROW_HEIGHT);
  g_string_append (out, "</svg>\n");
}
