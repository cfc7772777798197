/* The sub-command "report burn": how fast the routes use up their error
   budgets.  */
#include <stdio.h>
#include <string.h>

#include "ctl.h"
#include "report.h"

/* Objective of a route that is no longer in the configuration: the default of
   services.  */
#define DEFAULT_OBJECTIVE_PERMILLE 999

/* The alerts, the most urgent first.  An alert is raised while the burn rates
   of both its windows are at least BURN_RATE_MIN.  At a burn rate of 1 the
   share of bad calls is just what the objective allows, at 14.4 it is 14.4
   times that.  */
static const struct
{
  const char *name;
  int long_minutes, short_minutes;
  double burn_rate_min;
} alerts[] = {
  { "page", 60, 5, 14.4 },
  { "page", 360, 30, 6.0 },
  { "ticket", 360, 60, 1.0 },
};

static void
burn_route_free (gpointer data)
{
  burn_route_t *route = data;
  g_free (route->path);
  g_free (route->service);
  g_free (route->team);
  g_free (route->latest_move);
  g_free (route);
}

double
burn_rate (const burn_route_t *route, int window)
{
  double calls = (double)(route->good[window] + route->bad[window]);
  double budget = 1.0 - (double)route->objective_permille / 1000.0;
  return calls > 0.0 ? (double)route->bad[window] / calls / budget : 0.0;
}

/* The index of the window of MINUTES, which must be the length of one.  */
static int
window_index (int minutes)
{
  static const int window_minutes[BURN_WINDOW_COUNT] = {
    [BURN_5_MINUTES] = 5,
    [BURN_30_MINUTES] = 30,
    [BURN_1_HOUR] = 60,
    [BURN_6_HOURS] = 360,
  };
  int i = 0;
  while (i < BURN_WINDOW_COUNT - 1 && window_minutes[i] != minutes)
    i++;
  return i;
}

/* The name of the most urgent alert of ROUTE, or "ok".  */
static const char *
alert_name (const burn_route_t *route)
{
  for (size_t i = 0; i < G_N_ELEMENTS (alerts); i++)
    if (burn_rate (route, window_index (alerts[i].long_minutes))
            >= alerts[i].burn_rate_min
        && burn_rate (route, window_index (alerts[i].short_minutes))
               >= alerts[i].burn_rate_min)
      return alerts[i].name;
  return "ok";
}

/* The route of PATH in ROUTES, which is added if it is missing.  */
static burn_route_t *
get_route (GHashTable *routes, const char *path)
{
  burn_route_t *route = g_hash_table_lookup (routes, path);
  if (!route)
    {
      route = g_new0 (burn_route_t, 1);
      route->path = g_strdup (path);
      route->objective_permille = DEFAULT_OBJECTIVE_PERMILLE;
      g_hash_table_insert (routes, route->path, route);
    }
  return route;
}

/* Add the calls in REPORT, a node's answer to /v1/slo, to ROUTES.  REPORT has
   an array [good, bad] for each route and window, under the window's length in
   minutes.  */
static void
add_node_report (GHashTable *routes, const json_t *report)
{
  static const char *const window_keys[BURN_WINDOW_COUNT] = {
    [BURN_5_MINUTES] = "5",
    [BURN_30_MINUTES] = "30",
    [BURN_1_HOUR] = "60",
    [BURN_6_HOURS] = "360",
  };
  const char *path;
  json_t *route_report;
  json_object_foreach (json_object_get (report, "routes"), path, route_report)
  {
    burn_route_t *route = get_route (routes, path);
    for (int i = 0; i < BURN_WINDOW_COUNT; i++)
      {
        const json_t *counts = json_object_get (route_report, window_keys[i]);
        route->good[i] += json_integer_value (json_array_get (counts, 0));
        route->bad[i] += json_integer_value (json_array_get (counts, 1));
      }
    const char *team
        = json_string_value (json_object_get (route_report, "team"));
    const char *service
        = json_string_value (json_object_get (route_report, "service"));
    const char *latest_move
        = json_string_value (json_object_get (route_report, "beside"));
    json_t *objective = json_object_get (route_report, "objective_permille");
    if (!route->team)
      route->team = g_strdup (team);
    if (!route->service)
      route->service = g_strdup (service);
    if (!route->latest_move && latest_move && *latest_move)
      route->latest_move = g_strdup (latest_move);
    if (objective)
      route->objective_permille = json_integer_value (objective);
  }
}

/* Request the report of every member that has not left and add it to ROUTES.
   The names of nodes that cannot be reached are appended to UNREACHABLE.  */
static cs_status_t
collect_reports (ctl_t *ctl, GHashTable *routes, json_t *unreachable)
{
  json_t *members, *member;
  size_t i;
  cs_status_t status = ctl_fetch_members (ctl, &members);
  if (status != CS_OK)
    return status;
  json_array_foreach (members, i, member)
  {
    json_t *report = NULL;
    const char *state = json_string_value (json_object_get (member, "state"));
    if (strcmp (state, "left") == 0)
      continue;
    char *address = ctl_admin_address (member);
    if (ctl_request_node (ctl, address, "GET", "/v1/slo", NULL, &report)
        == CS_OK)
      add_node_report (routes, report);
    else
      json_array_append (unreachable, json_object_get (member, "node"));
    json_decref (report);
    g_free (address);
  }
  json_decref (members);
  return CS_OK;
}

static gint
compare_routes (gconstpointer a, gconstpointer b)
{
  return strcmp ((*(burn_route_t *const *)a)->path,
                 (*(burn_route_t *const *)b)->path);
}

/* A list of ROUTES, ordered by path, which borrows its elements; the caller
   frees it.  */
static GPtrArray *
sort_routes (GHashTable *routes)
{
  GHashTableIter iter;
  gpointer route;
  GPtrArray *sorted = g_ptr_array_new ();
  g_hash_table_iter_init (&iter, routes);
  while (g_hash_table_iter_next (&iter, NULL, &route))
    g_ptr_array_add (sorted, route);
  g_ptr_array_sort (sorted, compare_routes);
  return sorted;
}

static json_t *
route_to_json (const burn_route_t *route)
{
  return json_pack (
      "{s:s,s:s,s:s,s:I,s:I,s:I,s:f,s:f,s:f,s:f,s:s,s:s}", "route",
      route->path, "team", route->team ? route->team : "", "service",
      route->service ? route->service : "", "objective_permille",
      (json_int_t)route->objective_permille, "good_6h",
      (json_int_t)route->good[BURN_6_HOURS], "bad_6h",
      (json_int_t)route->bad[BURN_6_HOURS], "burn_5m",
      burn_rate (route, BURN_5_MINUTES), "burn_30m",
      burn_rate (route, BURN_30_MINUTES), "burn_1h",
      burn_rate (route, BURN_1_HOUR), "burn_6h",
      burn_rate (route, BURN_6_HOURS), "alert", alert_name (route), "beside",
      route->latest_move ? route->latest_move : "");
}

static void
print_table (const GPtrArray *sorted, const json_t *unreachable)
{
  size_t i;
  json_t *name;
  printf ("%-28s %-9s %8s %8s %8s %8s %-7s %s\n", "ROUTE", "OBJECTIVE",
          "BURN 5m", "30m", "1h", "6h", "ALERT", "BESIDE");
  for (guint row = 0; row < sorted->len; row++)
    {
      const burn_route_t *route = sorted->pdata[row];
      printf ("%-28s %7.1f%%  %8.2f %8.2f %8.2f %8.2f %-7s %s\n", route->path,
              (double)route->objective_permille / 10.0,
              burn_rate (route, BURN_5_MINUTES),
              burn_rate (route, BURN_30_MINUTES),
              burn_rate (route, BURN_1_HOUR), burn_rate (route, BURN_6_HOURS),
              alert_name (route),
              route->latest_move ? route->latest_move : "-");
    }
  json_array_foreach (unreachable, i, name)
  {
    printf ("node %s cannot be reached: its calls are not in the report\n",
            json_string_value (name));
  }
}

/* Write the plot to the file of --plot; returns an exit_code_t.  */
static int
write_plot (ctl_t *ctl, const GPtrArray *sorted)
{
  GError *error = NULL;
  GString *svg = g_string_new (NULL);
  burn_append_plot (sorted, svg);
  bool written = g_file_set_contents (ctl->settings.plot_file, svg->str,
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
  if (strcmp (ctl_argument (ctl, 0), "burn") != 0)
    {
      fputs ("cardamomctl: usage: cardamomctl report burn\n", stderr);
      return EXIT_USAGE;
    }
  GHashTable *routes
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, burn_route_free);
  json_t *unreachable = json_array ();
  int exit_code = EXIT_DONE;
  cs_status_t status = collect_reports (ctl, routes, unreachable);
  GPtrArray *sorted = sort_routes (routes);
  if (status != CS_OK)
    exit_code = ctl_fail (ctl, status);
  else if (ctl->settings.json)
    {
      json_t *routes_json = json_array ();
      for (guint i = 0; i < sorted->len; i++)
        json_array_append_new (routes_json, route_to_json (sorted->pdata[i]));
      ctl_print_json (json_pack ("{s:o,s:O}", "routes", routes_json,
                                 "unreachable", unreachable));
    }
  else
    print_table (sorted, unreachable);
  if (exit_code == EXIT_DONE && *ctl->settings.plot_file)
    exit_code = write_plot (ctl, sorted);
  if (exit_code == EXIT_DONE && json_array_size (unreachable))
    exit_code = EXIT_UNAVAILABLE;
  json_decref (unreachable);
  g_ptr_array_unref (sorted);
  g_hash_table_unref (routes);
  return exit_code;
}
