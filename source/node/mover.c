/* The writer of the steps of version moves: one node of the mesh by the lease
   row "cs/lease/moves", every write fenced by that row's revision.  */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "moves-internal.h"

/* One step on its way through the store's thread.  */
typedef struct
{
  control_t *control;
  char *name; /* Of the mover.  */
  char *path, *team, *service_path, *to;
  int64_t start_ms;
  cs_move_step_t step;
  char *reason;
  cs_lease_t *lease;
  int64_t epoch; /* Of the lease when it was written.  */
  cs_status_t status;
  char *message;
  cs_change_t *accepted;
} writing_t;

static void
writing_free (gpointer data)
{
  writing_t *w = data;
  g_free (w->name);
  g_free (w->path);
  g_free (w->team);
  g_free (w->service_path);
  g_free (w->to);
  g_free (w->reason);
  g_free (w->message);
  cs_change_free (w->accepted);
  g_free (w);
}

static char *
state_path (const char *move_path)
{
  char **parts = g_strsplit (move_path, "/moves/", 2);
  char *path = g_strconcat (parts[0], "/.moves/", parts[1], NULL);
  g_strfreev (parts);
  return path;
}

static char *
canonical_of (json_t *document)
{
  char *dumped = json_dumps (document, JSON_SORT_KEYS | JSON_COMPACT);
  char *text = g_strdup (dumped);
  free (dumped);
  json_decref (document);
  return text;
}

static char *
state_document (cs_ctx_t *ctx, const writing_t *w)
{
  static const cs_move_state_t phases[] = {
    [CS_MOVE_STEP_SET_SHARE] = CS_MOVE_RUNNING,
    [CS_MOVE_STEP_FINISH] = CS_MOVE_DONE,
    [CS_MOVE_STEP_ROLL_BACK] = CS_MOVE_ROLLED_BACK,
  };
  static const int64_t final_shares[] = {
    [CS_MOVE_STEP_FINISH] = CS_ALL_TRAFFIC_PERMILLE,
    [CS_MOVE_STEP_ROLL_BACK] = 0,
  };
  int64_t share = w->step.kind == CS_MOVE_STEP_SET_SHARE
                      ? w->step.share_permille
                      : final_shares[w->step.kind];
  return canonical_of (json_pack (
      "{s:s,s:I,s:I,s:I,s:I,s:s}", "state",
      cs_move_state_name (phases[w->step.kind]), "share_permille",
      (json_int_t)share, "since_ms", (json_int_t)(cs_now_wall (ctx) / CS_MSEC),
      "start_ms", (json_int_t)w->start_ms, "epoch",
      (json_int_t)w->lease->epoch, "reason", w->reason ? w->reason : ""));
}

/* Add the service's document with its new version to CHANGE.  *REVISION is
   that of its row, to be fenced.  */
static cs_status_t
add_service (cs_ctx_t *ctx, cs_platform_t *platform, const writing_t *w,
             cs_change_t *change, int64_t *revision)
{
  cs_row_t *row = NULL;
  char *key = g_strconcat ("cs/doc", w->service_path, NULL);
  cs_status_t status = cs_platform_read_row (ctx, platform, key, &row);
  g_free (key);
  if (status != CS_OK)
    return status;
  json_t *service = json_loads (row->value->str, 0, NULL);
  json_object_set_new (service, "version", json_string (w->to));
  char *text = canonical_of (service);
  cs_change_add_write (change, w->service_path, text);
  g_free (text);
  *revision = row->revision;
  cs_row_free (row);
  return CS_OK;
}

/* The same step at the same epoch has the same id, so that a lost answer does
   not write it twice.  */
static char *
operation_id (const writing_t *w)
{
  char *text = g_strdup_printf (
      "%s %lld %d %lld %lld", w->path, (long long)w->start_ms, w->step.kind,
      (long long)w->step.share_permille, (long long)w->lease->epoch);
  char *id = g_strdup_printf ("move-%016llx",
                              (unsigned long long)cs_hash_text (text, 0));
  g_free (text);
  return id;
}

static cs_status_t
write_step (cs_ctx_t *ctx, cs_platform_t *platform, writing_t *w)
{
  int64_t version = 0, service_revision = 0;
  bool finish = w->step.kind == CS_MOVE_STEP_FINISH;
  cs_change_t *change = cs_change_new ();
  char *path = state_path (w->path), *document = state_document (ctx, w);
  char *service_key = g_strconcat ("cs/doc", w->service_path, NULL);
  char *operation = operation_id (w);
  cs_change_add_write (change, path, document);
  cs_status_t status
      = finish ? add_service (ctx, platform, w, change, &service_revision)
               : CS_OK;
  cs_txn_condition_t fences[] = {
    { .key = w->lease->key, .revision = w->lease->revision },
    { .key = service_key, .revision = service_revision },
  };
  cs_proposal_t proposal = { .team = finish ? w->team : CS_SYSTEM_TEAM,
                             .operation = operation,
                             .expected_version = -1,
                             .change = change,
                             .fences = fences,
                             .fence_count = finish ? 2 : 1 };
  if (status == CS_OK)
    status = cs_proposal_commit (ctx, platform, &proposal, &version,
                                 &w->accepted);
  cs_change_free (change);
  g_free (path);
  g_free (document);
  g_free (service_key);
  g_free (operation);
  return status;
}

static void
end_step (control_t *control, void *arg)
{
  writing_t *w = arg;
  mover_t *m = g_hash_table_lookup (control->moves->movers, w->name);
  if (m)
    m->writing = false;
  if (w->accepted)
    cs_dist_on_accepted (control->ctx, control->dist, w->accepted);
  if (w->status != CS_OK && w->status != CS_CONFLICT
      && w->status != CS_UNAVAILABLE)
    cs_log (CS_LOG_WARNING, "move-step-failed", "move=%s why=\"%s\"", w->name,
            w->message ? w->message : "");
  else if (w->status == CS_OK && w->step.kind != CS_MOVE_STEP_SET_SHARE)
    cs_log (CS_LOG_NOTICE,
            w->step.kind == CS_MOVE_STEP_FINISH ? "move-done" : "move-closed",
            "move=%s epoch=%lld", w->name, (long long)w->epoch);
}

static void
run_step (node_t *node, cs_ctx_t *ctx, cs_platform_t *platform, void *arg)
{
  writing_t *w = arg;
  (void)node;
  w->status
      = platform ? cs_lease_acquire (ctx, platform, w->lease) : CS_UNAVAILABLE;
  w->epoch = w->lease->epoch;
  if (w->status == CS_OK)
    w->status = write_step (ctx, platform, w);
  if (w->status != CS_OK)
    w->message = g_strdup (cs_error_message (ctx));
  control_post (w->control, end_step, w, writing_free);
}

static void
start_step (control_t *control, mover_t *m, const cs_move_step_t *step,
            char *reason)
{
  const cs_move_t *move = m->move;
  writing_t *w = g_new0 (writing_t, 1);
  w->control = control;
  w->name = g_strdup (m->name);
  w->path = g_strdup (move->path);
  w->team = g_strdup (move->team);
  w->service_path = g_strdup (move->service_path);
  w->to = g_strdup (move->to_version);
  w->start_ms = move->start_ms;
  w->step = *step;
  w->reason = reason;
  w->lease = &control->moves->lease;
  m->writing = true;
  store_post (control->node->store, run_step, w);
}

static bool
has_upstreams (control_t *control, const cs_move_t *move)
{
  bool found = false;
  GPtrArray *all = cs_members_all (control->members);
  for (guint i = 0; i < all->len && !found; i++)
    {
      const cs_member_t *m = all->pdata[i];
      found = cs_member_reachable (m) && m->state == CS_NODE_UP
              && strcmp (m->endpoint.service, move->service_path) == 0
              && strcmp (m->endpoint.version, move->to_version) == 0;
    }
  g_ptr_array_unref (all);
  return found;
}

static char *
back_reason (control_t *control, const mover_t *m)
{
  const cs_record_t *back = cs_records_find (
      cs_members_records (control->members), CS_RECORD_ROLLBACK, m->name);
  return back ? g_strndup (back->value->str, MIN (back->value->len, 255))
              : NULL;
}

static void
consider_step (control_t *control, mover_t *m)
{
  bool back = moves_is_back (control, m->name);
  const node_settings_t *settings = &control->node->settings;
  const cs_paired_stats_t *seen = cs_evaluation_total (m->all_jury);
  cs_exposure_limits_t terms = { .share = (double)settings->exposure_permille
                                          / CS_ALL_TRAFFIC_PERMILLE,
                                 .slack = (double)settings->exposure_slack };
  cs_exposure_update (&m->exposure,
                      (double)(seen->baseline.calls + seen->candidate.calls),
                      (double)seen->candidate.calls, cs_now (control->ctx));
  cs_move_inputs_t facts
      = { .now_ms = cs_now_wall (control->ctx) / CS_MSEC,
          .verdict
          = back ? CS_VERDICT_BAD : cs_evaluation_verdict (m->all_jury),
          .candidate_calls = cs_evaluation_candidate_calls (m->all_jury),
          .has_candidate_upstreams = has_upstreams (control, m->move),
          .exposure = settings->exposure_permille < CS_ALL_TRAFFIC_PERMILLE
                          ? &m->exposure
                          : NULL,
          .exposure_limits = &terms };
  cs_move_step_t step = cs_move_next_step (m->move, &facts);
  if (step.kind == CS_MOVE_STEP_NONE)
    return;
  char *reason
      = step.reason ? g_strdup (step.reason) : back_reason (control, m);
  start_step (control, m, &step, reason);
}

/* Whether this node is the one to write steps, by its own view.  Two that
   both think so are kept apart by the lease.  */
static bool
is_writer (control_t *control)
{
  return cs_members_self (control->members)->state == CS_NODE_UP
         && cs_members_own_rank (control->members) == 0
         && cs_members_own_dc_leads (control->members, NULL,
                                     gossip_heard_of_dc, control);
}

void
mover_write_steps (control_t *control)
{
  GHashTableIter iter;
  gpointer value;
  if (g_hash_table_size (control->moves->movers) == 0 || !is_writer (control))
    return;
  g_hash_table_iter_init (&iter, control->moves->movers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (!((mover_t *)value)->writing)
      consider_step (control, value);
}
