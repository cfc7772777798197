/* Evidence of a move: the counts that nodes report on their backend servers,
   passed to the judges of the move's owner.  */
#include <string.h>

#include "moves-internal.h"

void
move_evidence_free (void *data)
{
  node_evidence_t *evidence = data;
  g_hash_table_unref (evidence->stats_by_route);
  g_free (evidence);
}

/* Pass the increase of STATS since the last report of the same server to the
   judges.  */
static void
add_increase (tracked_move_t *move, node_evidence_t *evidence,
              const char *node, const char *route,
              const cs_call_stats_t *stats)
{
  cs_paired_stats_t after = { 0 }, before = { 0 }, increase;
  const cs_call_stats_t *previous
      = g_hash_table_lookup (evidence->stats_by_route, route);
  bool is_candidate = strcmp (evidence->version, move->state.candidate) == 0;
  if (!is_candidate && strcmp (evidence->version, move->state.baseline) != 0)
    return;
  *(is_candidate ? &after.candidate : &after.baseline) = *stats;
  if (previous)
    *(is_candidate ? &before.candidate : &before.baseline) = *previous;
  cs_paired_stats_subtract (&increase, &after, &before);
  cs_evaluation_add (move->control->ctx, move->evaluation, node, route,
                     &increase);
}

int64_t
move_candidate_outstanding (const tracked_move_t *move)
{
  GHashTableIter iter;
  gpointer value;
  int64_t outstanding = 0;
  g_hash_table_iter_init (&iter, move->evidence);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const node_evidence_t *evidence = value;
      if (strcmp (evidence->version, move->state.candidate) == 0)
        outstanding += evidence->outstanding;
    }
  return outstanding;
}

static node_evidence_t *
find_or_add_evidence (tracked_move_t *move, const char *node,
                      const char *version, const char *instance,
                      bool *first_report)
{
  node_evidence_t *evidence = g_hash_table_lookup (move->evidence, node);
  *first_report = !evidence || strcmp (evidence->instance, instance) != 0;
  if (!*first_report)
    return evidence;
  evidence = g_new0 (node_evidence_t, 1);
  evidence->stats_by_route
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  g_strlcpy (evidence->version, version, sizeof evidence->version);
  g_strlcpy (evidence->instance, instance, sizeof evidence->instance);
  g_hash_table_replace (move->evidence, g_strdup (node), evidence);
  return evidence;
}

/* Read the next route of STATS_BY_ROUTE and its statistics.  The caller frees
 *ROUTE.  Returns false at the end, and if STATS_BY_ROUTE is malformed.  */
static bool
unpack_route_stats (cs_unpack_cursor_t *stats_by_route, char **route,
                    cs_call_stats_t *stats)
{
  cs_paired_stats_t paired_stats;
  if (stats_by_route->failed || stats_by_route->remaining < 2)
    return false;
  *route = cs_unpack_text (stats_by_route);
  cs_paired_stats_unpack (stats_by_route, &paired_stats);
  *stats = paired_stats.candidate;
  if (stats_by_route->failed)
    g_free (*route);
  return !stats_by_route->failed;
}

/* Pass the requests in flight at a server of the candidate to the judges.  */
static void
unpack_in_flight (tracked_move_t *move, const char *node,
                  cs_unpack_cursor_t *in)
{
  cs_unpack_cursor_t ages = cs_unpack_array (in);
  cs_call_stats_t stats;
  char *route;
  cs_evaluation_clear_in_flight (move->evaluation, node);
  while (unpack_route_stats (&ages, &route, &stats))
    {
      cs_evaluation_set_in_flight (move->control->ctx, move->evaluation, node,
                                   route, &stats);
      g_free (route);
    }
  in->failed = in->failed || ages.failed;
}

void
moves_handle_evidence (control_t *control, const char *from,
                       cs_unpack_cursor_t *in)
{
  char service[CS_NAME_SIZE], version[CS_NAME_SIZE], instance[CS_NAME_SIZE];
  char *route;
  cs_call_stats_t stats;
  bool first_report;
  cs_name_unpack (in, service);
  cs_name_unpack (in, version);
  cs_name_unpack (in, instance);
  int64_t outstanding = cs_unpack_int64 (in);
  cs_unpack_cursor_t stats_by_route = cs_unpack_array (in);
  tracked_move_t *move
      = in->failed ? NULL : g_hash_table_lookup (control->moves, service);
  if (!move || !move->owned || !move->evaluation)
    return;
  bool is_candidate = strcmp (version, move->state.candidate) == 0;
  node_evidence_t *evidence
      = find_or_add_evidence (move, from, version, instance, &first_report);
  evidence->outstanding = outstanding;
  evidence->received_at = control_now (control);
  while (unpack_route_stats (&stats_by_route, &route, &stats))
    {
      /* The counts of the baseline before the move must not be compared.  */
      if (!first_report || is_candidate)
        add_increase (move, evidence, from, route, &stats);
      g_hash_table_replace (evidence->stats_by_route, route,
                            g_memdup2 (&stats, sizeof stats));
    }
  in->failed = in->failed || stats_by_route.failed;
  /* Nodes of an earlier release do not send the requests in flight.  */
  if (!in->failed && in->remaining && is_candidate)
    unpack_in_flight (move, from, in);
}
