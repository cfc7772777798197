/* Store reads for distribution: asked for by control, run in the store's
   thread, answered into control's mailbox.  */
#include "control-internal.h"

typedef enum
{
  READ_HEAD,
  READ_CHANGES,
  READ_DOCS
} read_kind_t;

typedef struct
{
  control_t *control;
  read_kind_t kind;
  int64_t after;
  cs_status_t status;
  char *message;
  cs_config_head_t head;
  GPtrArray *changes;
  cs_docs_t *docs;
} read_t;

static void
read_free (gpointer data)
{
  read_t *read = data;
  if (read->changes)
    g_ptr_array_unref (read->changes);
  g_free (read->message);
  g_free (read);
}

static void
deliver (control_t *control, void *arg)
{
  read_t *read = arg;
  if (read->message)
    cs_fail (control->ctx, read->status, "%s", read->message);
  switch (read->kind)
    {
    case READ_HEAD:
      cs_dist_on_store_head (control->ctx, control->dist, read->status,
                             &read->head);
      break;
    case READ_CHANGES:
      cs_dist_on_store_changes (control->ctx, control->dist, read->status,
                                read->changes);
      break;
    case READ_DOCS:
      cs_dist_on_store_docs (control->ctx, control->dist, read->status,
                             &read->head, read->docs);
      break;
    }
}

static cs_status_t
run_read (cs_ctx_t *ctx, cs_platform_t *platform, read_t *read)
{
  switch (read->kind)
    {
    case READ_HEAD:
      return cs_config_head_load (ctx, platform, &read->head);
    case READ_CHANGES:
      read->changes = cs_changes_new ();
      return cs_changes_load (ctx, platform, read->after, read->changes);
    case READ_DOCS:
      return cs_docs_load (ctx, platform, &read->head, &read->docs);
    }
  return CS_INTERNAL;
}

static void
read_in_store (node_t *node, cs_ctx_t *ctx, cs_platform_t *platform, void *arg)
{
  read_t *read = arg;
  (void)node;
  read->status = platform ? run_read (ctx, platform, read) : CS_UNAVAILABLE;
  if (read->status != CS_OK)
    read->message = g_strdup (cs_error_message (ctx));
  control_post (read->control, deliver, read, read_free);
}

static void
start_read (control_t *control, read_kind_t kind, int64_t after)
{
  read_t *read = g_new0 (read_t, 1);
  read->control = control;
  read->kind = kind;
  read->after = after;
  store_post (control->node->store, read_in_store, read);
}

void
reader_read_head (void *user)
{
  start_read (user, READ_HEAD, 0);
}

void
reader_read_changes (void *user, int64_t after)
{
  start_read (user, READ_CHANGES, after);
}

void
reader_read_docs (void *user)
{
  start_read (user, READ_DOCS, 0);
}
