/* The steps of version moves.  One node of the mesh writes them, the holder of
   the lease on the row "cs/lease/moves".  The revision of that row is the
   fencing token of each write.  */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "moves-internal.h"

/* A step that is written in the platform thread.  */
typedef struct
{
  control_t *control;
  char *name; /* See moves_make_name.  */
  char *path, *team, *service_path, *to_version;
  int64_t start_ms;
  cs_move_step_t step;
  char *reason;
  cs_lease_t *lease;
  int64_t epoch;         /* Of the lease at the write.  */
  cs_status_t status;    /* Of the write.  */
  char *message;         /* Error message; NULL on success.  */
  cs_change_t *accepted; /* The change as stored; NULL on failure.  */
} step_write_t;

static void
step_write_free (gpointer data)
{
  step_write_t *write = data;
  g_free (write->name);
  g_free (write->path);
  g_free (write->team);
  g_free (write->service_path);
  g_free (write->to_version);
  g_free (write->reason);
  g_free (write->message);
  cs_change_free (write->accepted);
  g_free (write);
}

/* The path of the document with the state of the move at MOVE_PATH.  */
static char *
state_path (const char *move_path)
{
  char **parts = g_strsplit (move_path, "/moves/", 2);
  char *path = g_strconcat (parts[0], "/.moves/", parts[1], NULL);
  g_strfreev (parts);
  return path;
}

/* The text of DOCUMENT, which is released, in canonical form; the caller frees
   it.  */
static char *
canonical_json (json_t *document)
{
  char *dumped = json_dumps (document, JSON_SORT_KEYS | JSON_COMPACT);
  char *text = g_strdup (dumped);
  free (dumped);
  json_decref (document);
  return text;
}

/* The document with the state of the move after the step.  */
static char *
state_document (cs_ctx_t *ctx, const step_write_t *write)
{
  static const cs_move_state_t states[] = {
    [CS_MOVE_STEP_SET_SHARE] = CS_MOVE_RUNNING,
    [CS_MOVE_STEP_FINISH] = CS_MOVE_DONE,
    [CS_MOVE_STEP_ROLL_BACK] = CS_MOVE_ROLLED_BACK,
  };
  static const int64_t final_shares[] = {
    [CS_MOVE_STEP_FINISH] = CS_ALL_TRAFFIC_PERMILLE,
    [CS_MOVE_STEP_ROLL_BACK] = 0,
  };
  int64_t share = write->step.kind == CS_MOVE_STEP_SET_SHARE
                      ? write->step.share_permille
                      : final_shares[write->step.kind];
  return canonical_json (json_pack (
      "{s:s,s:I,s:I,s:I,s:I,s:s}", "state",
      cs_move_state_name (states[write->step.kind]), "share_permille",
      (json_int_t)share, "since_ms", (json_int_t)(cs_now_wall (ctx) / CS_MSEC),
      "start_ms", (json_int_t)write->start_ms, "epoch",
      (json_int_t)write->lease->epoch, "reason",
      write->reason ? write->reason : ""));
}

/* Add to CHANGE the document of the service with the version that is moved to,
   and set *REVISION to the revision of its row, for a condition of the
   write.  */
static cs_status_t
add_service (cs_ctx_t *ctx, cs_platform_t *platform, const step_write_t *write,
             cs_change_t *change, int64_t *revision)
{
  cs_row_t *row = NULL;
  char *key = g_strconcat ("cs/doc", write->service_path, NULL);
  cs_status_t status = cs_platform_read_row (ctx, platform, key, &row);
  g_free (key);
  if (status != CS_OK)
    return status;
  json_t *service = json_loads (row->value->str, 0, NULL);
  json_object_set_new (service, "version", json_string (write->to_version));
  char *text = canonical_json (service);
  cs_change_add_write (change, write->service_path, text);
  g_free (text);
  *revision = row->revision;
  cs_row_free (row);
  return CS_OK;
}

/* The operation id of the write.  It is the same for the same step at the same
   epoch, so that a retry after a lost answer does not write the step a second
   time.  */
static char *
operation_id (const step_write_t *write)
{
  char *text = g_strdup_printf ("%s %lld %d %lld %lld", write->path,
                                (long long)write->start_ms, write->step.kind,
                                (long long)write->step.share_permille,
                                (long long)write->lease->epoch);
  char *id = g_strdup_printf ("move-%016llx",
                              (unsigned long long)cs_hash_text (text, 0));
  g_free (text);
  return id;
}

/* Write the state of the move and, when it finishes, the document of the
   service, in one change.  */
static cs_status_t
write_step (cs_ctx_t *ctx, cs_platform_t *platform, step_write_t *write)
{
  int64_t version = 0, service_revision = 0;
  bool finish = write->step.kind == CS_MOVE_STEP_FINISH;
  cs_change_t *change = cs_change_new ();
  char *path = state_path (write->path),
       *document = state_document (ctx, write);
  char *service_key = g_strconcat ("cs/doc", write->service_path, NULL);
  char *operation = operation_id (write);
  cs_change_add_write (change, path, document);
  cs_status_t status
      = finish ? add_service (ctx, platform, write, change, &service_revision)
               : CS_OK;
  cs_txn_condition_t fences[] = {
    { .key = write->lease->key, .revision = write->lease->revision },
    { .key = service_key, .revision = service_revision },
  };
  cs_proposal_t proposal = { .team = finish ? write->team : CS_SYSTEM_TEAM,
                             .operation = operation,
                             .expected_version = -1,
                             .change = change,
                             .fences = fences,
                             .fence_count = finish ? 2 : 1 };
  if (status == CS_OK)
    status = cs_proposal_commit (ctx, platform, &proposal, &version,
                                 &write->accepted);
  cs_change_free (change);
  g_free (path);
  g_free (document);
  g_free (service_key);
  g_free (operation);
  return status;
}

/* Handle the result of the write in the control thread.  */
static void
finish_step (control_t *control, void *arg)
{
  step_write_t *write = arg;
  running_move_t *running
      = g_hash_table_lookup (control->moves->running, write->name);
  if (running)
    running->step_pending = false;
  if (write->accepted)
    cs_dist_on_accepted (control->ctx, control->dist, write->accepted);
  if (write->status != CS_OK && write->status != CS_CONFLICT
      && write->status != CS_UNAVAILABLE)
    cs_log (CS_LOG_WARNING, "move-step-failed", "move=%s why=\"%s\"",
            write->name, write->message ? write->message : "");
  else if (write->status == CS_OK
           && write->step.kind != CS_MOVE_STEP_SET_SHARE)
    cs_log (CS_LOG_NOTICE,
            write->step.kind == CS_MOVE_STEP_FINISH ? "move-done"
                                                    : "move-closed",
            "move=%s epoch=%lld", write->name, (long long)write->epoch);
}

/* Acquire the lease and write the step, in the platform thread.  */
static void
run_step (node_t *node, cs_ctx_t *ctx, cs_platform_t *platform, void *arg)
{
  step_write_t *write = arg;
  (void)node;
  write->status = platform ? cs_lease_acquire (ctx, platform, write->lease)
                           : CS_UNAVAILABLE;
  write->epoch = write->lease->epoch;
  if (write->status == CS_OK)
    write->status = write_step (ctx, platform, write);
  if (write->status != CS_OK)
    write->message = g_strdup (cs_error_message (ctx));
  control_post (write->control, finish_step, write, step_write_free);
}

/* Post STEP to the platform thread.  REASON is taken over and may be NULL.  */
static void
post_step (control_t *control, running_move_t *running,
           const cs_move_step_t *step, char *reason)
{
  const cs_move_t *move = running->move;
  step_write_t *write = g_new0 (step_write_t, 1);
  write->control = control;
  write->name = g_strdup (running->name);
  write->path = g_strdup (move->path);
  write->team = g_strdup (move->team);
  write->service_path = g_strdup (move->service_path);
  write->to_version = g_strdup (move->to_version);
  write->start_ms = move->start_ms;
  write->step = *step;
  write->reason = reason;
  write->lease = &control->moves->lease;
  running->step_pending = true;
  platform_thread_post (control->node->platform_thread, run_step, write);
}

/* Whether some member in service announces an upstream of the candidate.  */
static bool
has_candidate_upstreams (control_t *control, const cs_move_t *move)
{
  bool found = false;
  GPtrArray *members = cs_members_all (control->members);
  for (guint i = 0; i < members->len && !found; i++)
    {
      const cs_member_t *member = members->pdata[i];
      found = cs_member_reachable (member) && member->state == CS_NODE_UP
              && strcmp (member->endpoint.service, move->service_path) == 0
              && strcmp (member->endpoint.version, move->to_version) == 0;
    }
  g_ptr_array_unref (members);
  return found;
}

/* The reason in the record that the move is rolled back, at most 255 bytes, to
   be freed; NULL without a record.  */
static char *
rollback_reason (control_t *control, const running_move_t *running)
{
  const cs_record_t *record
      = cs_records_find (cs_members_records (control->members),
                         CS_RECORD_ROLLBACK, running->name);
  return record ? g_strndup (record->value->str, MIN (record->value->len, 255))
                : NULL;
}

/* Decide the next step of the move and post it, if there is one.  */
static void
decide_step (control_t *control, running_move_t *running)
{
  bool rolled_back = moves_is_rolled_back (control, running->name);
  const node_settings_t *settings = &control->node->settings;
  const cs_paired_stats_t *total
      = cs_evaluation_total (running->mesh_evaluation);
  cs_exposure_limits_t limits = { .share = (double)settings->exposure_permille
                                           / CS_ALL_TRAFFIC_PERMILLE,
                                  .slack = (double)settings->exposure_slack };
  cs_exposure_update (&running->exposure,
                      (double)(total->baseline.calls + total->candidate.calls),
                      (double)total->candidate.calls, cs_now (control->ctx));
  cs_move_inputs_t inputs
      = { .now_ms = cs_now_wall (control->ctx) / CS_MSEC,
          .verdict = rolled_back
                         ? CS_VERDICT_BAD
                         : cs_evaluation_verdict (running->mesh_evaluation),
          .candidate_calls
          = cs_evaluation_candidate_calls (running->mesh_evaluation),
          .has_candidate_upstreams
          = has_candidate_upstreams (control, running->move),
          .exposure = settings->exposure_permille < CS_ALL_TRAFFIC_PERMILLE
                          ? &running->exposure
                          : NULL,
          .exposure_limits = &limits };
  cs_move_step_t step = cs_move_next_step (running->move, &inputs);
  if (step.kind == CS_MOVE_STEP_NONE)
    return;
  char *reason = step.reason ? g_strdup (step.reason)
                             : rollback_reason (control, running);
  post_step (control, running, &step, reason);
}

/* Whether this node should write the steps, by its view of the members: it is
   the first by rank (the order of the hashes of the names) in the data centre
   that leads the mesh.  If more than one node does, the lease admits one of
   them.  */
static bool
is_writer (control_t *control)
{
  return cs_members_self (control->members)->state == CS_NODE_UP
         && cs_members_own_rank (control->members) == 0
         && cs_members_own_dc_leads (control->members, NULL,
                                     gossip_dc_reachable, control);
}

void
moves_write_steps (control_t *control)
{
  GHashTableIter iter;
  gpointer value;
  if (g_hash_table_size (control->moves->running) == 0 || !is_writer (control))
    return;
  g_hash_table_iter_init (&iter, control->moves->running);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (!((running_move_t *)value)->step_pending)
      decide_step (control, value);
}
