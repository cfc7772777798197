/* The memory that requests and answers of an HTTP server take, and what gives
   way when there is none.  */
#include <linux/sockios.h>
#include <sys/ioctl.h>

#include "server-internal.h"

/* A body moves if it grows by so many bytes; one that has not for the time may
   give way to others.  */
#define BODY_STEP 16384
#define BODY_STALL_MIN (500 * CS_MSEC)
/* The same for a caller that takes nothing of its answer.  */
#define ANSWER_STALL_MIN (1 * CS_SEC)
/* Heads up to this size, as nearly all are, do not count.  */
#define HEAD_UNCOUNTED_MAX 4096

/* Whether there is room for MORE bytes, which then count; SMALL as in
   cs_memory_budget_take.  CONN itself does not give way for them.  */
static bool
take (conn_t *conn, int64_t more, bool small)
{
  cs_http1_server_t *server = conn->server;
  if (!server->budget || !more)
    return true;
  server->reading = conn;
  bool taken = cs_memory_budget_take (server->budget, more, small);
  server->reading = NULL;
  return taken;
}

bool
conn_count_request (conn_t *conn, cs_exchange_t *exchange)
{
  gsize len = exchange->request.body->len;
  if (len < conn->body_moved_len || len - conn->body_moved_len >= BODY_STEP)
    {
      conn->body_moved_len = len;
      conn->body_moved_at = conn->progress_at;
    }
  gsize head_len = exchange->request.head->len;
  int64_t head = head_len > HEAD_UNCOUNTED_MAX
                     ? (int64_t)head_len - exchange->head_counted
                     : 0;
  int64_t more = (int64_t)len - exchange->counted;
  if (!take (conn, head, true))
    return false;
  exchange->head_counted += head;
  if (!take (conn, more, len <= CS_SMALL_BODY_MAX))
    return false;
  exchange->counted += more;
  return true;
}

bool
conn_stash_input (conn_t *conn, const char *data, size_t len)
{
  if (!take (conn, (int64_t)len, true))
    return false;
  if (!conn->stash)
    conn->stash = g_string_sized_new (len);
  g_string_append_len (conn->stash, data, (gssize)len);
  return true;
}

GString *
conn_take_stash (conn_t *conn)
{
  GString *stash = conn->stash;
  conn->stash = NULL;
  if (stash)
    cs_memory_budget_release (conn->server->budget, (int64_t)stash->len);
  return stash;
}

void
cs_http1_server_set_budget (cs_http1_server_t *server,
                            cs_memory_budget_t *budget)
{
  server->budget = budget;
}

bool
cs_http1_server_drop_stalled_body (cs_http1_server_t *server)
{
  cs_usec_t now = server->clock->monotonic (server->clock);
  conn_t *oldest = NULL;
  for (const GList *at = server->conns.head; at; at = at->next)
    {
      conn_t *conn = at->data;
      if (conn != server->reading && conn->incoming
          && conn->incoming->counted > CS_SMALL_BODY_MAX
          && (!oldest || conn->body_moved_at < oldest->body_moved_at))
        oldest = conn;
    }
  if (!oldest || now - oldest->body_moved_at < BODY_STALL_MIN)
    return false;
  conn_refuse_incoming (oldest, 503, NO_ROOM_FIELDS);
  return true;
}

bool
cs_http1_server_drop_unread_answer (cs_http1_server_t *server)
{
  cs_usec_t now = server->clock->monotonic (server->clock);
  conn_t *oldest = NULL;
  /* What a closed connection has is free once the loop has closed it.  */
  if (server->giving_way)
    return false;
  for (const GList *at = server->conns.head; at; at = at->next)
    {
      conn_t *conn = at->data;
      if (conn != server->reading && conn->tcp.write_queue_size
          && (!oldest || conn->unwritten_since < oldest->unwritten_since))
        oldest = conn;
    }
  if (!oldest || now - oldest->unwritten_since < ANSWER_STALL_MIN)
    return false;
  oldest->gives_way = true;
  server->giving_way++;
  conn_close (oldest);
  return true;
}

void
conn_note_unwritten (conn_t *conn, cs_usec_t now)
{
  size_t unwritten = conn->tcp.write_queue_size;
  uv_os_fd_t fd;
  int queued;
  /* The kernel may hold megabytes of what was written.  */
  if ((unwritten || conn->lingering)
      && uv_fileno ((uv_handle_t *)&conn->tcp, &fd) == 0
      && ioctl (fd, SIOCOUTQ, &queued) == 0 && queued > 0)
    unwritten += (size_t)queued;
  if (unwritten < conn->unwritten || !conn->unwritten)
    conn->unwritten_since = now;
  conn->unwritten = unwritten;
}
