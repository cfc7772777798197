/* Received frames that wait for their delivery.  */
#include "peer-internal.h"

static gint
compare_deliver_at (gconstpointer a, gconstpointer b, gpointer user)
{
  cs_usec_t deliver_at_a = ((const deferred_frame_t *)a)->deliver_at;
  cs_usec_t deliver_at_b = ((const deferred_frame_t *)b)->deliver_at;
  (void)user;
  return deliver_at_a < deliver_at_b ? -1 : deliver_at_a > deliver_at_b;
}

void
peers_defer_frame (peers_t *peers, const conn_t *conn, int64_t type,
                   cs_str_t payload)
{
  deferred_frame_t *frame = g_new (deferred_frame_t, 1);
  frame->deliver_at
      = cs_now (peers->ctx)
        + (conn->in_other_region ? peers->other_region_delay : 0);
  frame->type = type;
  g_strlcpy (frame->from, conn->name, sizeof frame->from);
  frame->payload = g_string_new_len (payload.data, (gssize)payload.len);
  if (peers->other_region_delay)
    g_queue_insert_sorted (&peers->deferred_frames, frame, compare_deliver_at,
                           NULL);
  else
    g_queue_push_tail (&peers->deferred_frames, frame);
}

void
deferred_frame_free (void *data)
{
  deferred_frame_t *frame = data;
  g_string_free (frame->payload, TRUE);
  g_free (frame);
}
