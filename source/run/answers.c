/* What the server answers, or does not answer, to the requests that were sent
   to it.  */
#include "cardamom/event.h"
#include "cardamom/header-names.h"
#include "dispatcher-internal.h"

/* Bytes of a mismatched answer's id that are logged.  */
#define ANSWER_ID_LOGGED_MAX 64

/* The header fields of ANSWER that are passed on to the caller: none that are
   hop-by-hop or meant for the node.  */
static GString *
caller_fields (const cs_http1_message_t *answer)
{
  GString *out = g_string_sized_new (answer->head->len);
  for (guint i = 0; i < answer->fields->len; i++)
    {
      const cs_http1_field_t *f
          = &g_array_index (answer->fields, cs_http1_field_t, i);
      if (cs_http1_field_is_hop_by_hop (f->name)
          || cs_str_equal_nocase (f->name, "content-length")
          || cs_str_equal_nocase (f->name, cs_header_names->server_load))
        continue;
      g_string_append_len (out, f->name.data, (gssize)f->name.len);
      g_string_append (out, ": ");
      g_string_append_len (out, f->value.data, (gssize)f->value.len);
      g_string_append (out, "\r\n");
    }
  return out;
}

/* Whether ANSWER can be passed on: one with status 300 or above, or one below
   that carries the seal, a header field that the backend server sets, and no
   content coding.  */
static bool
is_trusted (const cs_http1_message_t *answer)
{
  unsigned status = answer->parser.status_code;
  if (status >= 300)
    return true;
  return cs_http1_message_field (answer, cs_header_names->seal).len > 0
         && !cs_http1_message_field (answer, "content-encoding").data;
}

/* The body of ANSWER, which is taken out of it; NULL if it is empty.  A large
   one counts in the budget.  */
static GBytes *
take_body (cs_http1_message_t *answer)
{
  GString *body = answer->body;
  if (!body->len)
    return NULL;
  answer->body = g_string_new (NULL);
  return body->len > CS_SMALL_BODY_MAX && answer->claim
             ? cs_claim_share (answer->claim, body)
             : g_string_free_to_bytes (body);
}

static void
on_answer (void *user, cs_http1_message_t *answer)
{
  dispatcher_conn_t *conn = user;
  cs_dispatch_t *dispatch = conn->dispatch;
  cs_dispatcher_t *dispatcher = dispatch->dispatcher;
  unsigned status = answer->parser.status_code;
  cs_usec_t service_time = dispatcher_now (dispatcher) - dispatch->sent_at;
  bool not_run = cs_http1_message_field (answer, cs_header_names->not_run).data
                 || status == 421;
  cs_outcome_t outcome = { .reached_server = true,
                           .service_time = service_time,
                           .status = status };
  GString *fields = NULL;
  GBytes *body = NULL;
  dispatcher_release_conn (dispatch);
  if (status != 421)
    cs_crash_detector_note_answer (&dispatcher->crash_detector,
                                   dispatch->sent_at);
  /* An answer that is spoilt, or of another server, says nothing of this
     server.  */
  if (status != 421 && (not_run || is_trusted (answer)))
    {
      outcome.server_leaving
          = cs_http1_message_field (answer, cs_header_names->server_leaving)
                .data;
      server_fields_note (dispatcher, answer);
    }
  if (not_run)
    {
      outcome.kind = CS_OUTCOME_REFUSED;
      outcome.reason
          = status == 421 ? CS_REFUSED_MISMATCH : CS_REFUSED_BY_SERVER;
      /* A server that refuses requests with slots free is not overloaded, and
         no wait can be predicted.  */
      if (dispatcher->in_flight.length >= dispatcher->server.report.slots)
        outcome.expected_wait
            = cs_service_times_mean (&dispatcher->service_times,
                                     dispatch->queued.expected_service_time);
      if (status != 421)
        dispatcher_record_failure_rate (dispatcher, true);
    }
  else if (!is_trusted (answer))
    {
      outcome.kind = CS_OUTCOME_UNKNOWN;
      dispatcher_record_failure_rate (dispatcher, true);
      dispatcher_record_run (dispatcher, dispatch, true, service_time);
    }
  else
    {
      outcome.kind = CS_OUTCOME_ANSWERED;
      fields = caller_fields (answer);
      outcome.fields = cs_str_of_gstring (fields);
      body = take_body (answer);
      outcome.body_bytes = body;
      outcome.body = cs_str_of_bytes (body);
      dispatcher_record_failure_rate (dispatcher, status >= 500);
      dispatcher_record_run (dispatcher, dispatch, status >= 500,
                             service_time);
      cs_service_times_add (&dispatcher->service_times, dispatch->route->str,
                            service_time);
      cs_crash_history_clear (dispatcher->crash_history, dispatch->fingerprint,
                              dispatcher_wall_ms (dispatcher));
    }
  dispatcher_finish (dispatch, &outcome);
  if (body)
    g_bytes_unref (body);
  if (fields)
    g_string_free (fields, TRUE);
  if (status == 421)
    {
      /* A different server than the one that reported.  */
      crash_check_suspect (dispatcher, false);
      dispatcher_mark_server_lost (dispatcher);
    }
  dispatcher_schedule_fill (dispatcher);
}

static bool
answer_matches (void *user, const cs_http1_message_t *answer)
{
  const dispatcher_conn_t *conn = user;
  cs_str_t id = cs_http1_message_field (answer, cs_header_names->attempt_id);
  cs_str_t sent_id = cs_str_of_gstring (conn->dispatch->id);
  /* On a kept connection, an answer without an id may be to an earlier
     request.  */
  bool matches = id.data ? cs_str_equal (id, sent_id) : conn->uses == 1;
  if (!matches)
    cs_event_log (CS_E_MISMATCHED,
                  "id=%s answer_id=\"%.*s\" route=%s instance=%s status=%u "
                  "close_delimited=%d uses=%u",
                  sent_id.data, (int)MIN (id.len, ANSWER_ID_LOGGED_MAX),
                  id.data ? id.data : "", conn->dispatch->route->str,
                  conn->dispatcher->server.report.instance,
                  answer->parser.status_code, answer->close_delimited,
                  conn->uses);
  return matches;
}

/* Count DISPATCH, which got no answer, as a failure.  */
static void
record_failure (const cs_dispatch_t *dispatch)
{
  dispatcher_record_failure_rate (dispatch->dispatcher, true);
  dispatcher_record_run (dispatch->dispatcher, dispatch, true,
                         dispatch->service_time);
}

static void
on_failed (void *user, cs_http1_client_error_t error, bool partial)
{
  dispatcher_conn_t *conn = user;
  cs_dispatch_t *dispatch = conn->dispatch;
  cs_dispatcher_t *dispatcher = dispatch->dispatcher;
  bool reused = conn->uses > 1;
  dispatcher_release_conn (dispatch);
  if (error == CS_HTTP1_CONNECT_FAILED)
    crash_check_suspect (dispatcher, true);
  if (cs_http1_client_error_is_unsent (error))
    {
      dispatcher_refuse (dispatch, CS_REFUSED_NO_SERVER, 0);
      if (error == CS_HTTP1_CONNECT_FAILED)
        dispatcher_mark_server_lost (dispatcher);
      return;
    }
  dispatch->stale_connection = reused && dispatch->idempotent && !partial
                               && !dispatcher_is_suspect (dispatch);
  dispatcher_log_unanswered (dispatch, cs_http1_client_error_text (error));
  crash_check_note_unanswered (dispatch);
  if (!dispatch->stale_connection)
    record_failure (dispatch);
  crash_check_keep (dispatch);
  crash_check_start (dispatcher);
  dispatcher_schedule_fill (dispatcher);
}

/* A request that must not be interrupted at the server ends by itself, with
   its connection; its caller is told at once.  */
static void
on_answer_precluded (void *user)
{
  const dispatcher_conn_t *conn = user;
  cs_dispatch_t *dispatch = conn->dispatch;
  if (dispatch->idempotent)
    {
      on_failed (user, CS_HTTP1_ANSWER_MISMATCHED, false);
      return;
    }
  cs_outcome_t outcome
      = { .kind = CS_OUTCOME_UNKNOWN,
          .reached_server = true,
          .service_time
          = dispatcher_now (dispatch->dispatcher) - dispatch->sent_at };
  dispatcher_report (dispatch, &outcome);
  dispatch->cancelled = true;
}

const cs_http1_client_handler_t dispatcher_answer_handler
    = { .answer_received = on_answer,
        .failed = on_failed,
        .answer_matches = answer_matches,
        .answer_precluded = on_answer_precluded };
