/* Whether a server that left a request without an answer has ended, and which
   requests are suspected then.  */
#include "dispatcher-internal.h"

/* Time in which such a server has to accept a connection, before the end of
   the request is reported.  */
#define CRASH_CHECK_TIMEOUT (200 * CS_MSEC)
/* A process that ends closes its sockets one by one: a connection that it has
   just accepted counts only when it is still open after this.  The time
   doubles with each connection that is not, because a server that has as many
   as it takes resets further ones.  */
#define CRASH_CHECK_SETTLE_MS 5

/* Write the name of the present start of the server to NAME.  */
static void
name_server_start (const cs_dispatcher_t *dispatcher,
                   char name[2 * CS_NAME_SIZE])
{
  const cs_backend_report_t *report = &dispatcher->server.report;
  g_snprintf (name, 2 * CS_NAME_SIZE, "%s/%" G_GINT64_FORMAT, report->instance,
              report->started_ms);
}

static void
add_crash (cs_dispatcher_t *dispatcher, uint64_t fingerprint,
           cs_usec_t started_at)
{
  char server[2 * CS_NAME_SIZE];
  name_server_start (dispatcher, server);
  cs_crash_history_add (dispatcher->crash_history, fingerprint, server,
                        started_at, cs_now_wall (dispatcher->ctx));
}

void
crash_check_finish (cs_dispatch_t *dispatch)
{
  cs_dispatcher_t *dispatcher = dispatch->dispatcher;
  char server[2 * CS_NAME_SIZE];
  name_server_start (dispatcher, server);
  cs_outcome_t outcome
      = { .kind = CS_OUTCOME_UNKNOWN,
          .reached_server = true,
          .service_time = dispatch->service_time,
          .crash_record = cs_crash_history_find (
              dispatcher->crash_history, dispatch->fingerprint, server) };
  outcome.stale_connection = dispatch->stale_connection
                             && !outcome.crash_record
                             && dispatcher->server.state == CS_BACKEND_READY;
  dispatcher_finish (dispatch, &outcome);
}

static void
finish_all (cs_dispatcher_t *dispatcher)
{
  cs_dispatch_t *dispatch;
  while ((dispatch = g_queue_pop_head (&dispatcher->unanswered)))
    crash_check_finish (dispatch);
}

void
crash_check_end (cs_dispatcher_t *dispatcher)
{
  uv_timer_stop (&dispatcher->crash_check_timer);
  if (dispatcher->crash_check)
    dispatcher_drop_conn (dispatcher->crash_check);
  dispatcher->crash_check = NULL;
  finish_all (dispatcher);
}

void
crash_check_suspect (cs_dispatcher_t *dispatcher, bool with_in_flight)
{
  GArray *runs = cs_crash_detector_take (&dispatcher->crash_detector);
  for (guint i = 0; i < runs->len; i++)
    {
      const cs_unanswered_run_t *run
          = &g_array_index (runs, cs_unanswered_run_t, i);
      add_crash (dispatcher, run->fingerprint, run->started_at);
    }
  g_array_unref (runs);
  for (GList *link = dispatcher->in_flight.head; with_in_flight && link;
       link = link->next)
    {
      const cs_dispatch_t *dispatch = link->data;
      if (cs_http1_client_is_connected (dispatch->conn->client))
        add_crash (dispatcher, dispatch->fingerprint, dispatch->sent_wall);
    }
}

void
crash_check_note_unanswered (cs_dispatch_t *dispatch)
{
  cs_dispatcher_t *dispatcher = dispatch->dispatcher;
  cs_unanswered_run_t run = { .fingerprint = dispatch->fingerprint,
                              .started_at = dispatch->sent_wall,
                              .ended_at = dispatcher_now (dispatcher) };
  dispatch->service_time = run.ended_at - dispatch->sent_at;
  cs_crash_detector_add (&dispatcher->crash_detector, &run);
}

void
crash_check_keep (cs_dispatch_t *dispatch)
{
  dispatch->state = DISPATCH_UNANSWERED;
  g_queue_push_tail (&dispatch->dispatcher->unanswered, dispatch);
}

static void open_crash_check (cs_dispatcher_t *dispatcher);

static void
on_crash_check_settled (uv_timer_t *timer)
{
  cs_dispatcher_t *dispatcher = timer->data;
  dispatcher_conn_t *conn = dispatcher->crash_check;
  if (cs_http1_client_is_closed (conn->client))
    {
      dispatcher->crash_check_settle_ms *= 2;
      dispatcher_drop_conn (conn);
      open_crash_check (dispatcher);
      return;
    }
  dispatcher->crash_check = NULL;
  g_queue_push_head (&dispatcher->idle_conns, conn);
  finish_all (dispatcher);
  dispatcher_schedule_fill (dispatcher);
}

static void
settle_crash_check (cs_dispatcher_t *dispatcher)
{
  uv_timer_start (&dispatcher->crash_check_timer, on_crash_check_settled,
                  dispatcher->crash_check_settle_ms, 0);
}

static void
on_crash_check_connected (void *user)
{
  const dispatcher_conn_t *conn = user;
  settle_crash_check (conn->dispatcher);
}

static void
on_crash_check_failed (void *user, cs_http1_client_error_t error, bool partial)
{
  const dispatcher_conn_t *conn = user;
  cs_dispatcher_t *dispatcher = conn->dispatcher;
  (void)partial;
  if (error == CS_HTTP1_CONNECT_RESET)
    {
      settle_crash_check (dispatcher);
      return;
    }
  crash_check_suspect (dispatcher, true);
  dispatcher_mark_server_lost (dispatcher);
}

static void
open_crash_check (cs_dispatcher_t *dispatcher)
{
  static const cs_http1_client_handler_t handler
      = { .failed = on_crash_check_failed,
          .connected = on_crash_check_connected };
  dispatcher->crash_check = dispatcher_open_conn (dispatcher);
  cs_http1_client_connect (dispatcher->crash_check->client, &handler,
                           dispatcher->crash_check);
}

void
crash_check_start (cs_dispatcher_t *dispatcher)
{
  if (dispatcher->crash_check)
    return;
  if (dispatcher->server.state == CS_BACKEND_LOST)
    {
      finish_all (dispatcher);
      return;
    }
  dispatcher->crash_check_started_at = dispatcher_now (dispatcher);
  dispatcher->crash_check_settle_ms = CRASH_CHECK_SETTLE_MS;
  open_crash_check (dispatcher);
}

void
crash_check_init (cs_dispatcher_t *dispatcher)
{
  cs_crash_detector_init (&dispatcher->crash_detector);
  uv_timer_init (dispatcher->loop, &dispatcher->crash_check_timer);
  dispatcher->crash_check_timer.data = dispatcher;
}

void
crash_check_tick (cs_dispatcher_t *dispatcher, cs_usec_t now)
{
  if (dispatcher->crash_check
      && now - dispatcher->crash_check_started_at > CRASH_CHECK_TIMEOUT)
    crash_check_end (dispatcher);
}
