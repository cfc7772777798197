/* The plot of the burn report: per route one bar for each window, on a scale
   of square roots so that 1, 6 and 14.4 can be told apart.  */
#include <math.h>

#include "report.h"

#define ROW 74   /* Pixels per route.  */
#define BAR 12   /* Height of a bar.  */
#define LEFT 260 /* Width of the names.  */
#define WIDTH 900
#define RATE_MAX 40.0 /* Longer bars are cut.  */

static double
x_of (double rate)
{
  return LEFT + (WIDTH - LEFT - 60) * sqrt (MIN (rate, RATE_MAX) / RATE_MAX);
}

static void
add_text (GString *out, double x, double y, const char *text)
{
  char *escaped = g_markup_escape_text (text, -1);
  g_string_append_printf (
      out, "<text x=\"%.0f\" y=\"%.0f\" font-size=\"12\">%s</text>\n", x, y,
      escaped);
  g_free (escaped);
}

static void
add_threshold (GString *out, double rate, int height)
{
  char label[16];
  g_snprintf (label, sizeof label, "%g", rate);
  g_string_append_printf (out,
                          "<line x1=\"%.0f\" y1=\"30\" x2=\"%.0f\" "
                          "y2=\"%d\" stroke=\"#999\" "
                          "stroke-dasharray=\"3 3\"/>\n",
                          x_of (rate), x_of (rate), height);
  add_text (out, x_of (rate) - 6, 24, label);
}

static void
add_route (GString *out, const burn_line_t *line, int top)
{
  static const char *const names[BURN_WINDOWS] = { "5m", "30m", "1h", "6h" };
  static const char *const colours[BURN_WINDOWS]
      = { "#c0392b", "#e67e22", "#2980b9", "#7f8c8d" };
  add_text (out, 10, top + 26, line->route);
  if (line->beside)
    add_text (out, 10, top + 42, line->beside);
  for (int i = 0; i < BURN_WINDOWS; i++)
    {
      double rate = burn_rate (line, i);
      int y = top + i * (BAR + 3);
      char label[48];
      g_string_append_printf (out,
                              "<rect x=\"%d\" y=\"%d\" width=\"%.1f\" "
                              "height=\"%d\" fill=\"%s\"/>\n",
                              LEFT, y, x_of (rate) - LEFT + 1, BAR,
                              colours[i]);
      g_snprintf (label, sizeof label, "%s %.2f", names[i], rate);
      add_text (out, x_of (rate) + 5, y + BAR - 2, label);
    }
}

void
burn_plot (const GPtrArray *list, GString *out)
{
  int height = 50 + (int)list->len * ROW;
  g_string_append_printf (out,
                          "<svg xmlns=\"http://www.w3.org/2000/svg\" "
                          "width=\"%d\" height=\"%d\" "
                          "font-family=\"sans-serif\">\n"
                          "<rect width=\"100%%\" height=\"100%%\" "
                          "fill=\"white\"/>\n",
                          WIDTH, height);
  add_text (out, 10, 20, "Error budget burn rate by route and window");
  add_threshold (out, 1.0, height);
  add_threshold (out, 6.0, height);
  add_threshold (out, 14.4, height);
  for (guint i = 0; i < list->len; i++)
    add_route (out, list->pdata[i], 40 + (int)i * ROW);
  g_string_append (out, "</svg>\n");
}
