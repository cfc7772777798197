/* Version moves: what nodes saw is summed per data centre by its first two
   members and exchanged between data centres; each level has a jury, and the
   first jury that finds the new version bad publishes a mark that is never
   withdrawn.  Only the steps forward go through the store, by mover.c.  */
#include <string.h>

#include "evidence.h"
#include "moves-internal.h"

#define INTERVAL (500 * CS_MSEC)
#define SUMMERS 2 /* Members of a data centre that sum up.  */
#define BACK_LIFE_MS ((int64_t)24 * 3600 * 1000)

/* Whom a report is of.  */
typedef enum
{
  SCOPE_NODE,
  SCOPE_DC
} scope_t;

char *
moves_name (const cs_move_t *move)
{
  return g_strdup_printf ("%s|%lld", move->path, (long long)move->start_ms);
}

static void
free_table (gpointer table)
{
  g_hash_table_unref (table);
}

static GHashTable *
new_samples (void)
{
  return g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
}

static cs_paired_stats_t *
sample_of (GHashTable *samples, const char *key, bool *fresh)
{
  cs_paired_stats_t *sample = g_hash_table_lookup (samples, key);
  if (fresh)
    *fresh = !sample;
  if (!sample)
    {
      sample = g_new0 (cs_paired_stats_t, 1);
      g_hash_table_insert (samples, g_strdup (key), sample);
    }
  return sample;
}

static mover_t *
mover_new (control_t *control, const char *name)
{
  mover_t *m = g_new0 (mover_t, 1);
  node_t *node = control->node;
  double alarm = (double)node->settings.false_alarm_ppm / 1e6;
  GPtrArray *all = cs_members_all (control->members);
  GPtrArray *dcs = cs_members_other_dcs (control->members);
  m->control = control;
  m->name = g_strdup (name);
  m->own_jury
      = cs_evaluation_new (control->ctx, node->judge, alarm / 4.0 / all->len);
  m->dc_jury = cs_evaluation_new (control->ctx, node->judge,
                                  alarm / 4.0 / (dcs->len + 1));
  m->all_jury = cs_evaluation_new (control->ctx, node->judge, alarm / 2.0);
  m->own = new_samples ();
  m->dc_sums = new_samples ();
  m->reports = new_samples ();
  m->reporters = new_samples ();
  g_ptr_array_unref (all);
  g_ptr_array_unref (dcs);
  return m;
}

static void
mover_free (gpointer data)
{
  mover_t *m = data;
  cs_ctx_t *ctx = m->control->ctx;
  evidence_forget (m->control->node->evidence, m->name);
  cs_evaluation_drop (ctx, m->own_jury);
  cs_evaluation_drop (ctx, m->dc_jury);
  cs_evaluation_drop (ctx, m->all_jury);
  free_table (m->own);
  free_table (m->dc_sums);
  free_table (m->reports);
  free_table (m->reporters);
  g_free (m->name);
  g_free (m);
}

moves_t *
moves_new (control_t *control)
{
  moves_t *moves = g_new0 (moves_t, 1);
  char *owner = g_strdup_printf (
      "%s/%llu", control->node->settings.node,
      (unsigned long long)cs_members_self (control->members)->boot);
  moves->movers
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, mover_free);
  cs_lease_init (&moves->lease, "cs/lease/moves", owner, LEASE_TTL);
  g_free (owner);
  return moves;
}

void
moves_drop (control_t *control, moves_t *moves)
{
  (void)control;
  g_hash_table_unref (moves->movers);
  cs_lease_clear (&moves->lease);
  g_free (moves);
}

static mover_t *
mover_of (control_t *control, const char *name)
{
  mover_t *m = g_hash_table_lookup (control->moves->movers, name);
  if (!m)
    {
      m = mover_new (control, name);
      g_hash_table_insert (control->moves->movers, m->name, m);
    }
  return m;
}

bool
moves_is_back (control_t *control, const char *name)
{
  return cs_records_find (cs_members_records (control->members),
                          CS_RECORD_ROLLBACK, name)
         != NULL;
}

/* Publish that the move is taken back, once.  */
static void
take_back (control_t *control, mover_t *m, const cs_evaluation_t *jury,
           const char *level)
{
  if (moves_is_back (control, m->name))
    return;
  GString *reason = g_string_new (NULL);
  int64_t now_ms = cs_now_wall (control->ctx) / CS_MSEC;
  g_string_append_printf (reason, "%s saw ", level);
  cs_evaluation_explain (jury, reason);
  cs_record_t *record
      = cs_record_new (CS_RECORD_ROLLBACK, m->name, (uint64_t)now_ms, 1,
                       cs_str_of_gstring (reason));
  record->expires_ms = now_ms + BACK_LIFE_MS;
  record->urgent = true;
  cs_log (CS_LOG_NOTICE, "move-taken-back", "move=%s why=\"%s\"", m->name,
          reason->str);
  cs_members_merge (control->ctx, control->members, record);
  cs_record_free (record);
  g_string_free (reason, TRUE);
}

static void
judge_mover (control_t *control, mover_t *m)
{
  char *node = g_strconcat ("node ", control->node->settings.node, NULL);
  char *dc = g_strconcat ("data centre ", control->node->settings.dc, NULL);
  cs_evaluation_t *juries[] = { m->own_jury, m->dc_jury, m->all_jury };
  const char *levels[] = { node, dc, "the mesh" };
  for (size_t i = 0; i < G_N_ELEMENTS (juries); i++)
    {
      cs_evaluation_tick (juries[i]);
      if (cs_evaluation_verdict (juries[i]) == CS_VERDICT_BAD)
        take_back (control, m, juries[i], levels[i]);
    }
  g_free (node);
  g_free (dc);
}

/* Reports.  */

/* Count what a node of this data centre has newly seen.  */
static void
add_to_dc (control_t *control, mover_t *m, const char *route,
           const cs_paired_stats_t *growth)
{
  cs_paired_stats_add (sample_of (m->dc_sums, route, NULL), growth);
  cs_evaluation_add (control->ctx, m->dc_jury, "", route, growth);
  cs_evaluation_add (control->ctx, m->all_jury, "", route, growth);
}

/* Take SUMS of REPORTER ("NAME BOOT") for ROUTE.  */
static void
take_report (control_t *control, mover_t *m, scope_t scope,
             const char *reporter, const char *dc, const char *route,
             const cs_paired_stats_t *sums)
{
  cs_paired_stats_t growth;
  bool fresh, first_of_dc;
  char *key = g_strdup_printf ("%d %s %s", scope, reporter, route);
  char *place = g_strdup_printf ("%s %s", dc, route);
  cs_paired_stats_t *before = sample_of (m->reports, key, &fresh);
  cs_paired_stats_subtract (&growth, sums, before);
  *before = *sums;
  if (scope == SCOPE_NODE)
    add_to_dc (control, m, route, &growth);
  else
    {
      /* Another member now speaks for that data centre: its sums overlap with
         those already counted, so they only set the mark to grow from.  */
      sample_of (m->reporters, place, &first_of_dc);
      if (!fresh || first_of_dc)
        cs_evaluation_add (control->ctx, m->all_jury, "", route, &growth);
    }
  g_free (key);
  g_free (place);
}

void
moves_handle_evidence (control_t *control, const char *from,
                       cs_unpack_cursor_t *in)
{
  const cs_member_t *sender = cs_members_find (control->members, from);
  int64_t scope = cs_unpack_int64 (in);
  char *name = cs_unpack_text (in);
  cs_unpack_cursor_t list = cs_unpack_array (in);
  mover_t *m = g_hash_table_lookup (control->moves->movers, name);
  g_free (name);
  if (!m || !sender || in->failed || scope < SCOPE_NODE || scope > SCOPE_DC)
    return;
  char *reporter
      = g_strdup_printf ("%s %llu", from, (unsigned long long)sender->boot);
  while (list.remaining && !list.failed)
    {
      cs_paired_stats_t sums;
      char *route = cs_unpack_text (&list);
      cs_paired_stats_unpack (&list, &sums);
      if (!list.failed)
        take_report (control, m, (scope_t)scope, reporter, sender->dc, route,
                     &sums);
      g_free (route);
    }
  g_free (reporter);
}

static void
send_sums (control_t *control, const mover_t *m, scope_t scope, const char *to,
           GHashTable *sums)
{
  GHashTableIter iter;
  gpointer route, sample;
  cs_pack_t pack;
  cs_pack_init (&pack);
  cs_pack_array (&pack, 4);
  cs_pack_int64 (&pack, FRAME_EVIDENCE);
  cs_pack_int64 (&pack, scope);
  cs_pack_text (&pack, m->name);
  cs_pack_array (&pack, 2 * (size_t)g_hash_table_size (sums));
  g_hash_table_iter_init (&iter, sums);
  while (g_hash_table_iter_next (&iter, &route, &sample))
    {
      cs_pack_text (&pack, route);
      cs_paired_stats_pack (&pack, sample);
    }
  control_send (control, to, cs_pack_payload (&pack));
  cs_pack_clear (&pack);
}

typedef struct
{
  control_t *control;
  mover_t *mover;
  bool grown;
  bool sums_up; /* This node is one of those that sum up.  */
} gather_t;

static void
gather_route (void *user, const char *route, const cs_paired_stats_t *sums)
{
  gather_t *g = user;
  cs_paired_stats_t growth;
  cs_paired_stats_t *before = sample_of (g->mover->own, route, NULL);
  cs_paired_stats_subtract (&growth, sums, before);
  if (growth.baseline.calls + growth.candidate.calls == 0)
    return;
  *before = *sums;
  g->grown = true;
  cs_evaluation_add (g->control->ctx, g->mover->own_jury, "", route, &growth);
  if (g->sums_up)
    add_to_dc (g->control, g->mover, route, &growth);
}

static void
report_to_summers (control_t *control, mover_t *m)
{
  GPtrArray *mates
      = cs_members_of_dc (control->members, control->node->settings.dc);
  for (guint i = 0; i < MIN (mates->len, SUMMERS); i++)
    if (mates->pdata[i] != cs_members_self (control->members))
      send_sums (control, m, SCOPE_NODE,
                 ((cs_member_t *)mates->pdata[i])->name, m->own);
  g_ptr_array_unref (mates);
}

static void
report_to_dcs (control_t *control, mover_t *m)
{
  GPtrArray *dcs = cs_members_other_dcs (control->members);
  for (guint i = 0; i < dcs->len; i++)
    {
      GPtrArray *list = cs_members_of_dc (control->members, dcs->pdata[i]);
      if (list->len)
        send_sums (control, m, SCOPE_DC, ((cs_member_t *)list->pdata[0])->name,
                   m->dc_sums);
      g_ptr_array_unref (list);
    }
  g_ptr_array_unref (dcs);
}

static void
work_on_mover (control_t *control, mover_t *m)
{
  unsigned rank = cs_members_own_rank (control->members);
  gather_t gather
      = { .control = control, .mover = m, .sums_up = rank < SUMMERS };
  evidence_foreach (control->node->evidence, m->name, gather_route, &gather);
  if (gather.grown)
    report_to_summers (control, m);
  if (rank == 0 && g_hash_table_size (m->dc_sums))
    report_to_dcs (control, m);
  judge_mover (control, m);
}

/* Keep one mover for each move that runs, and none for the others.  */
void
moves_follow_snapshot (control_t *control)
{
  GHashTableIter iter;
  gpointer value;
  GHashTable *movers = control->moves->movers;
  g_hash_table_iter_init (&iter, movers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    ((mover_t *)value)->move = NULL;
  if (control->snapshot)
    {
      g_hash_table_iter_init (&iter, control->snapshot->moves);
      while (g_hash_table_iter_next (&iter, NULL, &value))
        {
          const cs_move_t *move = value;
          if (move->state != CS_MOVE_RUNNING)
            continue;
          char *name = moves_name (move);
          mover_of (control, name)->move = move;
          g_free (name);
        }
    }
  g_hash_table_iter_init (&iter, movers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (!((mover_t *)value)->move)
      g_hash_table_iter_remove (&iter);
}

void
moves_tick (control_t *control)
{
  GHashTableIter iter;
  gpointer value;
  moves_t *moves = control->moves;
  cs_usec_t now = cs_now (control->ctx);
  if (now - moves->ticked_at < INTERVAL)
    return;
  moves->ticked_at = now;
  moves_follow_snapshot (control);
  g_hash_table_iter_init (&iter, moves->movers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    work_on_mover (control, value);
  mover_write_steps (control);
}

void
moves_collect_backs (control_t *control, GHashTable *backs)
{
  GHashTableIter iter;
  gpointer value;
  if (!control->snapshot)
    return;
  g_hash_table_iter_init (&iter, control->snapshot->moves);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const cs_move_t *move = value;
      char *name = moves_name (move);
      if (moves_is_back (control, name))
        g_hash_table_add (backs, g_strdup (move->path));
      g_free (name);
    }
}

json_t *
moves_report (control_t *control)
{
  GHashTableIter iter;
  gpointer value;
  json_t *list = json_array ();
  g_hash_table_iter_init (&iter, control->moves->movers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const mover_t *m = value;
      if (!m->move)
        continue;
      json_array_append_new (
          list,
          json_pack ("{s:s,s:I,s:b,s:s,s:I}", "move", m->move->path,
                     "share_permille", (json_int_t)m->move->candidate_permille,
                     "back", moves_is_back (control, m->name), "verdict",
                     cs_verdict_name (cs_evaluation_verdict (m->all_jury)),
                     "new_calls",
                     (json_int_t)cs_evaluation_candidate_calls (m->all_jury)));
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
describe_route (control_t *control, json_t *object, const cs_route_t *route)
{
  const cs_service_t *service = route->service;
  const cs_move_t *move = latest_move (control->snapshot, service);
  json_object_set_new (object, "team", json_string (route->team));
  json_object_set_new (object, "service", json_string (service->path));
  json_object_set_new (object, "objective_permille",
                       json_integer (service->objective_permille));
  if (!move)
    return;
  char *name = moves_name (move);
  const char *phase = moves_is_back (control, name)
                          ? cs_move_state_name (CS_MOVE_ROLLED_BACK)
                          : cs_move_state_name (move->state);
  json_object_set_new (
      object, "beside",
      json_sprintf ("%s to %s: %s", move->path, move->to_version, phase));
  g_free (name);
}

void
moves_describe_routes (control_t *control, json_t *routes)
{
  if (!control->snapshot)
    return;
  for (guint i = 0; i < control->snapshot->routes->len; i++)
    {
      const cs_route_t *route = control->snapshot->routes->pdata[i];
      json_t *object = json_object_get (routes, route->path);
      if (object)
        describe_route (control, object, route);
    }
}
