#include "peer-internal.h"

static gint
compare_due (gconstpointer a, gconstpointer b, gpointer user)
{
  cs_usec_t da = ((const deferred_t *)a)->due;
  cs_usec_t db = ((const deferred_t *)b)->due;
  (void)user;
  return da < db ? -1 : da > db;
}

void
peers_defer (peers_t *peers, const conn_t *conn, int64_t type,
             cs_str_t payload)
{
  deferred_t *d = g_new (deferred_t, 1);
  d->due = cs_now (peers->ctx) + (conn->far ? peers->delay : 0);
  d->type = type;
  g_strlcpy (d->from, conn->name, sizeof d->from);
  d->payload = g_string_new_len (payload.data, (gssize)payload.len);
  if (peers->delay)
    g_queue_insert_sorted (&peers->deferred, d, compare_due, NULL);
  else
    g_queue_push_tail (&peers->deferred, d);
}

void
peers_deferred_free (void *data)
{
  deferred_t *d = data;
  g_string_free (d->payload, TRUE);
  g_free (d);
}
