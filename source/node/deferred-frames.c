/* Received frames that wait for their delivery.  */
#include "peer-internal.h"

static gint
compare_due (gconstpointer a, gconstpointer b, gpointer user)
{
  cs_usec_t due_a = ((const deferred_frame_t *)a)->deliver_at;
  cs_usec_t due_b = ((const deferred_frame_t *)b)->deliver_at;
  (void)user;
  return due_a < due_b ? -1 : due_a > due_b;
}

void
peers_defer_frame (peers_t *peers, const conn_t *conn, int64_t type,
                   cs_str_t payload)
{
  deferred_frame_t *deferred = g_new (deferred_frame_t, 1);
  deferred->deliver_at
      = cs_now (peers->ctx)
        + (conn->in_other_region ? peers->other_region_delay : 0);
  deferred->type = type;
  g_strlcpy (deferred->from, conn->name, sizeof deferred->from);
  deferred->payload = g_string_new_len (payload.data, (gssize)payload.len);
  if (peers->other_region_delay)
    g_queue_insert_sorted (&peers->deferred_frames, deferred, compare_due,
                           NULL);
  else
    g_queue_push_tail (&peers->deferred_frames, deferred);
}

void
deferred_frame_free (void *data)
{
  deferred_frame_t *deferred = data;
  g_string_free (deferred->payload, TRUE);
  g_free (deferred);
}
