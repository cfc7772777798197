/* Reads of the configuration in the platform's table, for its distribution.
   The control thread starts them, the platform thread runs them, and the
   results are posted to the control thread.  */
#include "control-internal.h"

typedef enum
{
  LOAD_HEAD,
  LOAD_CHANGES,
  LOAD_DOCS
} load_kind_t;

/* One read and its result.  */
typedef struct
{
  control_t *control;
  load_kind_t kind;
  int64_t after; /* LOAD_CHANGES: the changes after this version.  */
  cs_status_t status;
  char *message;
  cs_config_head_t head;
  GPtrArray *changes;
  cs_docs_t *docs; /* The distribution takes ownership.  */
} load_t;

static void
load_free (gpointer data)
{
  load_t *load = data;
  if (load->changes)
    g_ptr_array_unref (load->changes);
  g_free (load->message);
  g_free (load);
}

static void
pass_to_dist (control_t *control, void *arg)
{
  load_t *load = arg;
  if (load->message)
    cs_fail (control->ctx, load->status, "%s", load->message);
  switch (load->kind)
    {
    case LOAD_HEAD:
      cs_dist_on_store_head (control->ctx, control->dist, load->status,
                             &load->head);
      break;
    case LOAD_CHANGES:
      cs_dist_on_store_changes (control->ctx, control->dist, load->status,
                                load->changes);
      break;
    case LOAD_DOCS:
      cs_dist_on_store_docs (control->ctx, control->dist, load->status,
                             &load->head, load->docs);
      break;
    }
}

static cs_status_t
run_load (cs_ctx_t *ctx, cs_platform_t *platform, load_t *load)
{
  switch (load->kind)
    {
    case LOAD_HEAD:
      return cs_config_head_load (ctx, platform, &load->head);
    case LOAD_CHANGES:
      load->changes = cs_changes_new ();
      return cs_changes_load (ctx, platform, load->after, load->changes);
    case LOAD_DOCS:
      return cs_docs_load (ctx, platform, &load->head, &load->docs);
    }
  return CS_INTERNAL;
}

static void
run_in_platform_thread (node_t *node, cs_ctx_t *ctx, cs_platform_t *platform,
                        void *arg)
{
  load_t *load = arg;
  (void)node;
  load->status = platform ? run_load (ctx, platform, load) : CS_UNAVAILABLE;
  if (load->status != CS_OK)
    load->message = g_strdup (cs_error_message (ctx));
  control_post (load->control, pass_to_dist, load, load_free);
}

static void
start_load (control_t *control, load_kind_t kind, int64_t after)
{
  load_t *load = g_new0 (load_t, 1);
  load->control = control;
  load->kind = kind;
  load->after = after;
  platform_thread_post (control->node->platform_thread, run_in_platform_thread,
                        load);
}

void
config_load_head (void *user)
{
  start_load (user, LOAD_HEAD, 0);
}

void
config_load_changes (void *user, int64_t after)
{
  start_load (user, LOAD_CHANGES, after);
}

void
config_load_docs (void *user)
{
  start_load (user, LOAD_DOCS, 0);
}
