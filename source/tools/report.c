/* The sub-command "report burn": how fast the error budgets of routes burn. */
#include <stdio.h>
#include <string.h>

#include "ctl.h"
#include "report.h"

static const struct
{
  const char *name;
  int long_minutes, short_minutes;
  double rate; /* Both windows at or above it.  */
} alerts[] = {
  { "page", 60, 5, 14.4 },
  { "page", 360, 30, 6.0 },
  { "ticket", 360, 60, 1.0 },
};

static void
free_line (gpointer data)
{
  burn_line_t *line = data;
  g_free (line->route);
  g_free (line->service);
  g_free (line->team);
  g_free (line->beside);
  g_free (line);
}

double
burn_rate (const burn_line_t *line, int window)
{
  double calls = (double)(line->good[window] + line->bad[window]);
  double budget = 1.0 - (double)line->objective_permille / 1000.0;
  return calls > 0.0 ? (double)line->bad[window] / calls / budget : 0.0;
}

static int
window_of (int minutes)
{
  static const int windows[BURN_WINDOWS] = { 5, 30, 60, 360 };
  int i = 0;
  while (i < BURN_WINDOWS - 1 && windows[i] != minutes)
    i++;
  return i;
}

static const char *
alert_of (const burn_line_t *line)
{
  for (size_t i = 0; i < G_N_ELEMENTS (alerts); i++)
    if (burn_rate (line, window_of (alerts[i].long_minutes)) >= alerts[i].rate
        && burn_rate (line, window_of (alerts[i].short_minutes))
               >= alerts[i].rate)
      return alerts[i].name;
  return "ok";
}

static burn_line_t *
line_of (GHashTable *lines, const char *route)
{
  burn_line_t *line = g_hash_table_lookup (lines, route);
  if (!line)
    {
      line = g_new0 (burn_line_t, 1);
      line->route = g_strdup (route);
      line->objective_permille = 999;
      g_hash_table_insert (lines, line->route, line);
    }
  return line;
}

static void
add_node (GHashTable *lines, const json_t *report)
{
  static const char *const names[BURN_WINDOWS] = { "5", "30", "60", "360" };
  const char *route;
  json_t *sums;
  json_object_foreach (json_object_get (report, "routes"), route, sums)
  {
    burn_line_t *line = line_of (lines, route);
    for (int i = 0; i < BURN_WINDOWS; i++)
      {
        const json_t *pair = json_object_get (sums, names[i]);
        line->good[i] += json_integer_value (json_array_get (pair, 0));
        line->bad[i] += json_integer_value (json_array_get (pair, 1));
      }
    const char *team = json_string_value (json_object_get (sums, "team"));
    const char *service
        = json_string_value (json_object_get (sums, "service"));
    const char *beside = json_string_value (json_object_get (sums, "beside"));
    json_t *objective = json_object_get (sums, "objective_permille");
    if (!line->team)
      line->team = g_strdup (team);
    if (!line->service)
      line->service = g_strdup (service);
    if (!line->beside && beside && *beside)
      line->beside = g_strdup (beside);
    if (objective)
      line->objective_permille = json_integer_value (objective);
  }
}

/* Ask every member; the names of those that do not answer go to MISSING.  */
static cs_status_t
gather (ctl_t *ctl, GHashTable *lines, json_t *missing)
{
  json_t *members, *m;
  size_t i;
  cs_status_t status = ctl_members (ctl, &members);
  if (status != CS_OK)
    return status;
  json_array_foreach (members, i, m)
  {
    json_t *report = NULL;
    const char *state = json_string_value (json_object_get (m, "state"));
    if (strcmp (state, "left") == 0)
      continue;
    char *address = ctl_admin_address (m);
    if (ctl_request_at (ctl, address, "GET", "/v1/slo", NULL, &report)
        == CS_OK)
      add_node (lines, report);
    else
      json_array_append (missing, json_object_get (m, "node"));
    json_decref (report);
    g_free (address);
  }
  json_decref (members);
  return CS_OK;
}

static gint
compare_lines (gconstpointer a, gconstpointer b)
{
  return strcmp ((*(burn_line_t *const *)a)->route,
                 (*(burn_line_t *const *)b)->route);
}

static GPtrArray *
sorted_lines (GHashTable *lines)
{
  GHashTableIter iter;
  gpointer line;
  GPtrArray *list = g_ptr_array_new ();
  g_hash_table_iter_init (&iter, lines);
  while (g_hash_table_iter_next (&iter, NULL, &line))
    g_ptr_array_add (list, line);
  g_ptr_array_sort (list, compare_lines);
  return list;
}

static json_t *
json_of_line (const burn_line_t *line)
{
  return json_pack (
      "{s:s,s:s,s:s,s:I,s:I,s:I,s:f,s:f,s:f,s:f,s:s,s:s}", "route",
      line->route, "team", line->team ? line->team : "", "service",
      line->service ? line->service : "", "objective_permille",
      (json_int_t)line->objective_permille, "good_6h",
      (json_int_t)line->good[3], "bad_6h", (json_int_t)line->bad[3], "burn_5m",
      burn_rate (line, 0), "burn_30m", burn_rate (line, 1), "burn_1h",
      burn_rate (line, 2), "burn_6h", burn_rate (line, 3), "alert",
      alert_of (line), "beside", line->beside ? line->beside : "");
}

static void
print_text (const GPtrArray *list, const json_t *missing)
{
  size_t i;
  json_t *name;
  printf ("%-28s %-9s %8s %8s %8s %8s %-7s %s\n", "ROUTE", "OBJECTIVE",
          "BURN 5m", "30m", "1h", "6h", "ALERT", "BESIDE");
  for (guint k = 0; k < list->len; k++)
    {
      const burn_line_t *line = list->pdata[k];
      printf ("%-28s %7.1f%%  %8.2f %8.2f %8.2f %8.2f %-7s %s\n", line->route,
              (double)line->objective_permille / 10.0, burn_rate (line, 0),
              burn_rate (line, 1), burn_rate (line, 2), burn_rate (line, 3),
              alert_of (line), line->beside ? line->beside : "-");
    }
  json_array_foreach (missing, i, name)
  {
    printf ("node %s cannot be reached: its calls are not in the report\n",
            json_string_value (name));
  }
}

static int
write_plot (ctl_t *ctl, const GPtrArray *list)
{
  GError *error = NULL;
  GString *svg = g_string_new (NULL);
  burn_plot (list, svg);
  bool written = g_file_set_contents (ctl->settings.plot, svg->str,
                                      (gssize)svg->len, &error);
  if (!written)
    fprintf (stderr, "cardamomctl: %s\n", error->message);
  g_clear_error (&error);
  g_string_free (svg, TRUE);
  return written ? EXIT_DONE : EXIT_FAILED;
}

int
cmd_report (ctl_t *ctl)
{
  if (strcmp (ctl_word (ctl, 0), "burn") != 0)
    {
      fputs ("cardamomctl: usage: cardamomctl report burn\n", stderr);
      return EXIT_USAGE;
    }
  GHashTable *lines
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_line);
  json_t *missing = json_array ();
  int code = EXIT_DONE;
  cs_status_t status = gather (ctl, lines, missing);
  GPtrArray *list = sorted_lines (lines);
  if (status != CS_OK)
    code = ctl_fail (ctl, status);
  else if (ctl->settings.json)
    {
      json_t *routes = json_array ();
      for (guint i = 0; i < list->len; i++)
        json_array_append_new (routes, json_of_line (list->pdata[i]));
      ctl_print_json (
          json_pack ("{s:o,s:O}", "routes", routes, "unreachable", missing));
    }
  else
    print_text (list, missing);
  if (code == EXIT_DONE && *ctl->settings.plot)
    code = write_plot (ctl, list);
  if (code == EXIT_DONE && json_array_size (missing))
    code = EXIT_UNAVAILABLE;
  json_decref (missing);
  g_ptr_array_unref (list);
  g_hash_table_unref (lines);
  return code;
}
