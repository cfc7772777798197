/* Version moves.  Each node evaluates a move by its own attempts, and reports
   their statistics to the aggregators of its data centre, its first members
   in order of rank (the order of the hashes of their names).  These sum up the
   attempts of the data centre and evaluate the move by them too.  The first
   aggregator reports the sums to the first member of each other data centre.
   As it receives the sums of the others in turn, it evaluates the move by the
   attempts of the whole mesh.

   The first evaluation with a bad verdict publishes a record, never withdrawn,
   that rolls the move back on all nodes.  That does not need the platform; the
   steps that move-writer.c writes do.  */
#include <string.h>

#include "evidence.h"
#include "moves-internal.h"

/* Between two evaluations and reports.  */
#define TICK_INTERVAL (500 * CS_MSEC)
/* The members of lowest rank, see cs_members_own_rank.  */
#define AGGREGATORS_PER_DC 2
#define ROLLBACK_RECORD_TTL_MS ((int64_t)24 * 3600 * 1000)

/* What a report sums up: the attempts of its sender or of the data centre of
   its sender.  */
typedef enum
{
  SCOPE_NODE,
  SCOPE_DC
} scope_t;

char *
moves_make_name (const cs_move_t *move)
{
  return g_strdup_printf ("%s|%lld", move->path, (long long)move->start_ms);
}

static void
unref_table (gpointer table)
{
  g_hash_table_unref (table);
}

static GHashTable *
new_stats_table (void)
{
  return g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
}

/* The statistics of KEY, added as zero if there are none.  Sets *IS_NEW to
   whether they were added; IS_NEW may be NULL.  */
static cs_paired_stats_t *
find_or_add_stats (GHashTable *stats_table, const char *key, bool *is_new)
{
  cs_paired_stats_t *stats = g_hash_table_lookup (stats_table, key);
  if (is_new)
    *is_new = !stats;
  if (!stats)
    {
      stats = g_new0 (cs_paired_stats_t, 1);
      g_hash_table_insert (stats_table, g_strdup (key), stats);
    }
  return stats;
}

/* Half of the rate of false alarms is for the evaluation of the mesh, a
   quarter is divided among those of the data centres, and a quarter among
   those of the nodes.  */
static running_move_t *
running_move_new (control_t *control, const char *name)
{
  running_move_t *running = g_new0 (running_move_t, 1);
  node_t *node = control->node;
  double false_alarm_rate = (double)node->settings.false_alarm_ppm / 1e6;
  GPtrArray *members = cs_members_all (control->members);
  GPtrArray *other_dcs = cs_members_other_dcs (control->members);
  running->control = control;
  running->name = g_strdup (name);
  running->node_evaluation = cs_evaluation_new (
      control->ctx, node->judge, false_alarm_rate / 4.0 / members->len);
  running->dc_evaluation
      = cs_evaluation_new (control->ctx, node->judge,
                           false_alarm_rate / 4.0 / (other_dcs->len + 1));
  running->mesh_evaluation
      = cs_evaluation_new (control->ctx, node->judge, false_alarm_rate / 2.0);
  running->node_stats = new_stats_table ();
  running->dc_stats = new_stats_table ();
  running->reported_stats = new_stats_table ();
  /* Only its keys are used.  */
  running->reported_dc_routes = new_stats_table ();
  g_ptr_array_unref (members);
  g_ptr_array_unref (other_dcs);
  return running;
}

static void
running_move_free (gpointer data)
{
  running_move_t *running = data;
  cs_ctx_t *ctx = running->control->ctx;
  evidence_forget (running->control->node->evidence, running->name);
  cs_evaluation_drop (ctx, running->node_evaluation);
  cs_evaluation_drop (ctx, running->dc_evaluation);
  cs_evaluation_drop (ctx, running->mesh_evaluation);
  unref_table (running->node_stats);
  unref_table (running->dc_stats);
  unref_table (running->reported_stats);
  unref_table (running->reported_dc_routes);
  g_free (running->name);
  g_free (running);
}

moves_t *
moves_new (control_t *control)
{
  moves_t *moves = g_new0 (moves_t, 1);
  char *owner = g_strdup_printf (
      "%s/%llu", control->node->settings.node,
      (unsigned long long)cs_members_self (control->members)->boot);
  moves->running = g_hash_table_new_full (g_str_hash, g_str_equal, NULL,
                                          running_move_free);
  cs_lease_init (&moves->lease, "cs/lease/moves", owner, LEASE_TTL);
  g_free (owner);
  return moves;
}

void
moves_drop (control_t *control, moves_t *moves)
{
  (void)control;
  g_hash_table_unref (moves->running);
  cs_lease_clear (&moves->lease);
  g_free (moves);
}

static running_move_t *
find_or_add_running (control_t *control, const char *name)
{
  running_move_t *running
      = g_hash_table_lookup (control->moves->running, name);
  if (!running)
    {
      running = running_move_new (control, name);
      g_hash_table_insert (control->moves->running, running->name, running);
    }
  return running;
}

bool
moves_is_rolled_back (control_t *control, const char *name)
{
  return cs_records_find (cs_members_records (control->members),
                          CS_RECORD_ROLLBACK, name)
         != NULL;
}

/* Publish, once, that the move is rolled back by the bad verdict of
   EVALUATION, that of LEVEL.  */
static void
roll_back (control_t *control, running_move_t *running,
           const cs_evaluation_t *evaluation, const char *level)
{
  if (moves_is_rolled_back (control, running->name))
    return;
  GString *reason = g_string_new (NULL);
  int64_t now_ms = cs_now_wall (control->ctx) / CS_MSEC;
  g_string_append_printf (reason, "%s saw ", level);
  cs_evaluation_explain (evaluation, reason);
  cs_record_t *record
      = cs_record_new (CS_RECORD_ROLLBACK, running->name, (uint64_t)now_ms, 1,
                       cs_str_of_gstring (reason));
  record->expires_ms = now_ms + ROLLBACK_RECORD_TTL_MS;
  record->urgent = true;
  cs_log (CS_LOG_NOTICE, "move-taken-back", "move=%s why=\"%s\"",
          running->name, reason->str);
  cs_members_merge (control->ctx, control->members, record);
  cs_record_free (record);
  g_string_free (reason, TRUE);
}

/* Roll the move back if one of its evaluations has a bad verdict.  */
static void
evaluate_move (control_t *control, running_move_t *running)
{
  char *node = g_strconcat ("node ", control->node->settings.node, NULL);
  char *dc = g_strconcat ("data centre ", control->node->settings.dc, NULL);
  cs_evaluation_t *evaluations[]
      = { running->node_evaluation, running->dc_evaluation,
          running->mesh_evaluation };
  const char *levels[] = { node, dc, "the mesh" };
  for (size_t i = 0; i < G_N_ELEMENTS (evaluations); i++)
    {
      cs_evaluation_tick (evaluations[i]);
      if (cs_evaluation_verdict (evaluations[i]) == CS_VERDICT_BAD)
        roll_back (control, running, evaluations[i], levels[i]);
    }
  g_free (node);
  g_free (dc);
}

/* Reports: frames of type FRAME_EVIDENCE, [type, scope, move, [route,
   statistics, ...]].  */

/* Add INCREASE, the attempts of a node of this data centre on ROUTE since its
   last report, to the sums of the data centre and to the evaluations of the
   data centre and of the mesh.  */
static void
add_to_dc (control_t *control, running_move_t *running, const char *route,
           const cs_paired_stats_t *increase)
{
  cs_paired_stats_add (find_or_add_stats (running->dc_stats, route, NULL),
                       increase);
  cs_evaluation_add (control->ctx, running->dc_evaluation, "", route,
                     increase);
  cs_evaluation_add (control->ctx, running->mesh_evaluation, "", route,
                     increase);
}

/* Handle the report of REPORTER, "NAME BOOT", a member of DC: STATS sums up
   the attempts on ROUTE since the start of the move.  The increase since its
   last report, or all of its first one, is added: if SCOPE is SCOPE_NODE, as
   in add_to_dc, and if it is SCOPE_DC, to the evaluation of the mesh.  */
static void
handle_report (control_t *control, running_move_t *running, scope_t scope,
               const char *reporter, const char *dc, const char *route,
               const cs_paired_stats_t *stats)
{
  cs_paired_stats_t increase;
  bool is_new, is_new_of_dc;
  char *key = g_strdup_printf ("%d %s %s", scope, reporter, route);
  char *dc_route = g_strdup_printf ("%s %s", dc, route);
  cs_paired_stats_t *before
      = find_or_add_stats (running->reported_stats, key, &is_new);
  cs_paired_stats_subtract (&increase, stats, before);
  *before = *stats;
  if (scope == SCOPE_NODE)
    add_to_dc (control, running, route, &increase);
  else
    {
      /* If another member has reported on this route for the data centre
         before, the sums in the first report of REPORTER contain attempts that
         were already added from the reports of that member.  The first report
         is then only the baseline for the next ones and is not added.  */
      find_or_add_stats (running->reported_dc_routes, dc_route, &is_new_of_dc);
      if (!is_new || is_new_of_dc)
        cs_evaluation_add (control->ctx, running->mesh_evaluation, "", route,
                           &increase);
    }
  g_free (key);
  g_free (dc_route);
}

void
moves_handle_evidence (control_t *control, const char *from,
                       cs_unpack_cursor_t *in)
{
  const cs_member_t *sender = cs_members_find (control->members, from);
  int64_t scope = cs_unpack_int64 (in);
  char *name = cs_unpack_text (in);
  cs_unpack_cursor_t list = cs_unpack_array (in);
  running_move_t *running
      = g_hash_table_lookup (control->moves->running, name);
  g_free (name);
  if (!running || !sender || in->failed || scope < SCOPE_NODE
      || scope > SCOPE_DC)
    return;
  char *reporter
      = g_strdup_printf ("%s %llu", from, (unsigned long long)sender->boot);
  while (list.remaining && !list.failed)
    {
      cs_paired_stats_t stats;
      char *route = cs_unpack_text (&list);
      cs_paired_stats_unpack (&list, &stats);
      if (!list.failed)
        handle_report (control, running, (scope_t)scope, reporter, sender->dc,
                       route, &stats);
      g_free (route);
    }
  g_free (reporter);
}

static void
send_stats (control_t *control, const running_move_t *running, scope_t scope,
            const char *to, GHashTable *stats_table)
{
  GHashTableIter iter;
  gpointer route, stats;
  cs_pack_t pack;
  cs_pack_init (&pack);
  cs_pack_array (&pack, 4);
  cs_pack_int64 (&pack, FRAME_EVIDENCE);
  cs_pack_int64 (&pack, scope);
  cs_pack_text (&pack, running->name);
  cs_pack_array (&pack, 2 * (size_t)g_hash_table_size (stats_table));
  g_hash_table_iter_init (&iter, stats_table);
  while (g_hash_table_iter_next (&iter, &route, &stats))
    {
      cs_pack_text (&pack, route);
      cs_paired_stats_pack (&pack, stats);
    }
  control_send (control, to, cs_pack_payload (&pack));
  cs_pack_clear (&pack);
}

/* Argument of collect_route.  */
typedef struct
{
  control_t *control;
  running_move_t *running;
  bool changed; /* Out: attempts were added.  */
  bool is_aggregator;
} collection_t;

/* Add the attempts of this node on ROUTE since the last tick to its statistics
   and evaluation, and on an aggregator as in add_to_dc.  */
static void
collect_route (void *user, const char *route, const cs_paired_stats_t *stats)
{
  collection_t *collection = user;
  cs_paired_stats_t increase;
  cs_paired_stats_t *before
      = find_or_add_stats (collection->running->node_stats, route, NULL);
  cs_paired_stats_subtract (&increase, stats, before);
  if (increase.baseline.calls + increase.candidate.calls == 0)
    return;
  *before = *stats;
  collection->changed = true;
  cs_evaluation_add (collection->control->ctx,
                     collection->running->node_evaluation, "", route,
                     &increase);
  if (collection->is_aggregator)
    add_to_dc (collection->control, collection->running, route, &increase);
}

static void
send_to_aggregators (control_t *control, running_move_t *running)
{
  GPtrArray *dc_members
      = cs_members_of_dc (control->members, control->node->settings.dc);
  for (guint i = 0; i < MIN (dc_members->len, AGGREGATORS_PER_DC); i++)
    if (dc_members->pdata[i] != cs_members_self (control->members))
      send_stats (control, running, SCOPE_NODE,
                  ((cs_member_t *)dc_members->pdata[i])->name,
                  running->node_stats);
  g_ptr_array_unref (dc_members);
}

/* Send the sums of this data centre to the first member of each other one.  */
static void
send_to_other_dcs (control_t *control, running_move_t *running)
{
  GPtrArray *other_dcs = cs_members_other_dcs (control->members);
  for (guint i = 0; i < other_dcs->len; i++)
    {
      GPtrArray *dc_members
          = cs_members_of_dc (control->members, other_dcs->pdata[i]);
      if (dc_members->len)
        send_stats (control, running, SCOPE_DC,
                    ((cs_member_t *)dc_members->pdata[0])->name,
                    running->dc_stats);
      g_ptr_array_unref (dc_members);
    }
  g_ptr_array_unref (other_dcs);
}

static void
tick_move (control_t *control, running_move_t *running)
{
  unsigned rank = cs_members_own_rank (control->members);
  collection_t collection = { .control = control,
                              .running = running,
                              .is_aggregator = rank < AGGREGATORS_PER_DC };
  evidence_foreach (control->node->evidence, running->name, collect_route,
                    &collection);
  if (collection.changed)
    send_to_aggregators (control, running);
  if (rank == 0 && g_hash_table_size (running->dc_stats))
    send_to_other_dcs (control, running);
  evaluate_move (control, running);
}

void
moves_on_snapshot (control_t *control)
{
  GHashTableIter iter;
  gpointer value;
  GHashTable *running_moves = control->moves->running;
  g_hash_table_iter_init (&iter, running_moves);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    ((running_move_t *)value)->move = NULL;
  if (control->snapshot)
    {
      g_hash_table_iter_init (&iter, control->snapshot->moves);
      while (g_hash_table_iter_next (&iter, NULL, &value))
        {
          const cs_move_t *move = value;
          if (move->state != CS_MOVE_RUNNING)
            continue;
          char *name = moves_make_name (move);
          find_or_add_running (control, name)->move = move;
          g_free (name);
        }
    }
  g_hash_table_iter_init (&iter, running_moves);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (!((running_move_t *)value)->move)
      g_hash_table_iter_remove (&iter);
}

void
moves_tick (control_t *control)
{
  GHashTableIter iter;
  gpointer value;
  moves_t *moves = control->moves;
  cs_usec_t now = cs_now (control->ctx);
  if (now - moves->ticked_at < TICK_INTERVAL)
    return;
  moves->ticked_at = now;
  moves_on_snapshot (control);
  g_hash_table_iter_init (&iter, moves->running);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    tick_move (control, value);
  moves_write_steps (control);
}

void
moves_collect_rolled_back (control_t *control, GHashTable *rolled_back_moves)
{
  GHashTableIter iter;
  gpointer value;
  if (!control->snapshot)
    return;
  g_hash_table_iter_init (&iter, control->snapshot->moves);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const cs_move_t *move = value;
      char *name = moves_make_name (move);
      if (moves_is_rolled_back (control, name))
        g_hash_table_add (rolled_back_moves, g_strdup (move->path));
      g_free (name);
    }
}

json_t *
moves_report (control_t *control)
{
  GHashTableIter iter;
  gpointer value;
  json_t *list = json_array ();
  g_hash_table_iter_init (&iter, control->moves->running);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const running_move_t *running = value;
      if (!running->move)
        continue;
      json_array_append_new (
          list,
          json_pack ("{s:s,s:I,s:b,s:s,s:I}", "move", running->move->path,
                     "share_permille",
                     (json_int_t)running->move->candidate_permille, "back",
                     moves_is_rolled_back (control, running->name), "verdict",
                     cs_verdict_name (
                         cs_evaluation_verdict (running->mesh_evaluation)),
                     "new_calls",
                     (json_int_t)cs_evaluation_candidate_calls (
                         running->mesh_evaluation)));
    }
  return list;
}

/* The move of SERVICE with the latest start, or NULL.  */
static const cs_move_t *
latest_move (const cs_snapshot_t *snapshot, const cs_service_t *service)
{
  GHashTableIter iter;
  gpointer value;
  const cs_move_t *latest = NULL;
  g_hash_table_iter_init (&iter, snapshot->moves);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const cs_move_t *move = value;
      if (move->service == service
          && (!latest || move->start_ms > latest->start_ms))
        latest = move;
    }
  return latest;
}

static void
describe_route (control_t *control, json_t *route_json,
                const cs_route_t *route)
{
  const cs_service_t *service = route->service;
  const cs_move_t *move = latest_move (control->snapshot, service);
  json_object_set_new (route_json, "team", json_string (route->team));
  json_object_set_new (route_json, "service", json_string (service->path));
  json_object_set_new (route_json, "objective_permille",
                       json_integer (service->objective_permille));
  if (!move)
    return;
  char *name = moves_make_name (move);
  const char *state = moves_is_rolled_back (control, name)
                          ? cs_move_state_name (CS_MOVE_ROLLED_BACK)
                          : cs_move_state_name (move->state);
  json_object_set_new (
      route_json, "beside",
      json_sprintf ("%s to %s: %s", move->path, move->to_version, state));
  g_free (name);
}

void
moves_describe_routes (control_t *control, json_t *routes_json)
{
  if (!control->snapshot)
    return;
  for (guint i = 0; i < control->snapshot->routes->len; i++)
    {
      const cs_route_t *route = control->snapshot->routes->pdata[i];
      json_t *route_json = json_object_get (routes_json, route->path);
      if (route_json)
        describe_route (control, route_json, route);
    }
}
