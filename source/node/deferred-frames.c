/* Received frames that wait for their delivery.  */
#include "peer-internal.h"

static gint
compare_due (gconstpointer a, gconstpointer b, gpointer user)
{
  cs_usec_t due_a = ((const deferred_t *)a)->due;
  cs_usec_t due_b = ((const deferred_t *)b)->due;
  (void)user;
  return due_a < due_b ? -1 : due_a > due_b;
}

void
peers_defer (peers_t *peers, const conn_t *conn, int64_t type,
             cs_str_t payload)
{
  deferred_t *deferred = g_new (deferred_t, 1);
  deferred->due = cs_now (peers->ctx) + (conn->far ? peers->delay : 0);
  deferred->type = type;
  g_strlcpy (deferred->from, conn->name, sizeof deferred->from);
  deferred->payload = g_string_new_len (payload.data, (gssize)payload.len);
  if (peers->delay)
    g_queue_insert_sorted (&peers->deferred, deferred, compare_due, NULL);
  else
    g_queue_push_tail (&peers->deferred, deferred);
}

void
peers_deferred_free (void *data)
{
  deferred_t *deferred = data;
  g_string_free (deferred->payload, TRUE);
  g_free (deferred);
}
