/* HTTP endpoints of the node itself: readiness, status reports and
   deregistration of the backend server, and counters.  */
#include <string.h>

#include "control.h"

static void
answer_text (cs_exchange_t *exchange, unsigned status, const char *type,
             const char *text)
{
  char *fields = g_strdup_printf ("Content-Type: %s\r\n", type);
  cs_exchange_answer (exchange, status, fields, cs_str_of (text), false);
  g_free (fields);
}

static void
publish_backend_state (control_t *control)
{
  const cs_backend_report_t *report = &control->backend.report;
  cs_event_log (
      CS_E_SERVER,
      "state=%s instance=%s service=%s version=%s slots=%" G_GINT64_FORMAT
      " sequence=%" G_GINT64_FORMAT,
      cs_backend_state_name (control->backend.state), report->instance,
      report->service, report->version, report->slots, report->sequence);
  cs_traffic_set_server_state (control->traffic, &control->backend);
}

static void
handle_report (control_t *control, cs_exchange_t *exchange,
               const char *instance)
{
  cs_backend_report_t report;
  uint64_t before = control->backend.generation;
  cs_str_t body = cs_str_of_gstring (exchange->request.body);
  if (control->adapter->decode_report (control->ctx, instance, body, &report)
      != CS_OK)
    {
      cs_event_log (CS_E_REPORT, "instance=%s why=\"%s\"", instance,
                    cs_error_message (control->ctx));
      answer_text (exchange, 400, "application/json", "{}");
      return;
    }
  report.received_ms = cs_now_wall (control->ctx) / CS_MSEC;
  cs_report_result_t result
      = cs_backend_report (&control->backend, &report, control_now (control));
  if (result == CS_REPORT_STALE)
    cs_event_log (CS_E_REPORT,
                  "instance=%s sequence=%" G_GINT64_FORMAT
                  " why=\"older than what is known\"",
                  instance, report.sequence);
  if (control->backend.generation != before)
    publish_backend_state (control);
  else if (result == CS_REPORT_ACCEPTED)
    cs_traffic_set_server_warm_at (control->traffic, control->backend.warm_at);
  answer_text (exchange, 200, "application/json", "{}");
}

static void
handle_deregister (control_t *control, cs_exchange_t *exchange,
                   const char *instance)
{
  uint64_t before = control->backend.generation;
  cs_backend_leave_t leave
      = { .received_ms = cs_now_wall (control->ctx) / CS_MSEC };
  cs_str_t body = cs_str_of_gstring (exchange->request.body);
  if (g_strlcpy (leave.instance, instance, CS_NAME_SIZE) >= CS_NAME_SIZE)
    {
      answer_text (exchange, 400, "application/json", "{}");
      return;
    }
  control->adapter->decode_leave (control->ctx, body, &leave.started_ms);
  cs_backend_leave (&control->backend, &leave, control_now (control));
  if (control->backend.generation != before)
    publish_backend_state (control);
  answer_text (exchange, 200, "application/json", "{}");
}

static void
on_request (void *user, cs_exchange_t *exchange)
{
  control_t *control = user;
  char *instance = NULL;
  switch (control->adapter->classify_request (&exchange->request, &instance))
    {
    case CS_NODE_ENDPOINT_READINESS:
      cs_exchange_answer (exchange,
                          control->snapshot && !control->stopping
                                  && !control->keys_closed
                              ? 200
                              : 503,
                          NULL, CS_STR (""), false);
      break;
    case CS_NODE_ENDPOINT_REPORT:
      handle_report (control, exchange, instance);
      break;
    case CS_NODE_ENDPOINT_DEREGISTER:
      handle_deregister (control, exchange, instance);
      break;
    case CS_NODE_ENDPOINT_OTHER:
      answer_text (exchange, 404, "text/plain", "no such entry\n");
    }
  g_free (instance);
}

static void
on_metrics (void *user, cs_exchange_t *exchange)
{
  GString *out = g_string_new (NULL);
  (void)user;
  cs_counters_write (out);
  answer_text (exchange, 200, "text/plain; version=0.0.4", out->str);
  g_string_free (out, TRUE);
}

cs_status_t
endpoints_listen (control_t *control)
{
  static const cs_http1_server_handler_t node_handler
      = { .request_received = on_request };
  static const cs_http1_server_handler_t metrics_handler
      = { .request_received = on_metrics };
  const node_settings_t *settings = &control->settings;
  cs_status_t status
      = cs_http1_server_new (control->ctx, &control->loop, settings->ready,
                             &node_handler, control, &control->ready_server);
  if (status == CS_OK && strcmp (settings->ready, settings->reports) != 0)
    status = cs_http1_server_new (control->ctx, &control->loop,
                                  settings->reports, &node_handler, control,
                                  &control->reports_server);
  if (status == CS_OK && settings->metrics[0])
    status = cs_http1_server_new (control->ctx, &control->loop,
                                  settings->metrics, &metrics_handler, control,
                                  &control->metrics_server);
  return status;
}
