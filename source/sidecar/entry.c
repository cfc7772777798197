/* Requests to the node itself: readiness, reports of the backend server,
   counters.  */
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
life_changed (control_t *c)
{
  const cs_report_t *r = &c->life.report;
  cs_event (
      CS_E_SERVER,
      "state=%s instance=%s service=%s version=%s slots=%" G_GINT64_FORMAT
      " sequence=%" G_GINT64_FORMAT,
      cs_life_state_name (c->life.state), r->instance, r->service, r->version,
      r->slots, r->sequence);
  cs_traffic_set_life (c->traffic, &c->life);
}

static void
take_report (control_t *c, cs_exchange_t *exchange, const char *instance)
{
  cs_report_t report;
  uint64_t before = c->life.changes;
  cs_str_t body = cs_str_of_gstring (exchange->request.body);
  if (c->adapter->report (c->ctx, instance, body, &report) != CS_OK)
    {
      cs_event (CS_E_REPORT, "instance=%s why=\"%s\"", instance,
                cs_message (c->ctx));
      answer_text (exchange, 400, "application/json", "{}");
      return;
    }
  cs_life_verdict_t verdict
      = cs_life_report (&c->life, &report, control_now (c));
  if (verdict == CS_LIFE_LATE)
    cs_event (CS_E_REPORT,
              "instance=%s sequence=%" G_GINT64_FORMAT
              " why=\"older than what is known\"",
              instance, report.sequence);
  if (c->life.changes != before)
    life_changed (c);
  answer_text (exchange, 200, "application/json", "{}");
}

static void
take_leave (control_t *c, cs_exchange_t *exchange, const char *instance)
{
  uint64_t before = c->life.changes;
  cs_life_leave (&c->life, instance, control_now (c));
  if (c->life.changes != before)
    life_changed (c);
  answer_text (exchange, 200, "application/json", "{}");
}

static void
on_entry (void *user, cs_exchange_t *exchange)
{
  control_t *c = user;
  char *instance = NULL;
  switch (c->adapter->entry (&exchange->request, &instance))
    {
    case CS_ENTRY_READY:
      cs_exchange_answer (exchange, c->snapshot && !c->stopping ? 200 : 503,
                          NULL, CS_STR (""), false);
      break;
    case CS_ENTRY_REPORT:
      take_report (c, exchange, instance);
      break;
    case CS_ENTRY_LEAVE:
      take_leave (c, exchange, instance);
      break;
    case CS_ENTRY_OTHER:
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
entry_listen (control_t *c)
{
  static const cs_server_handler_t entry = { .request = on_entry };
  static const cs_server_handler_t metrics = { .request = on_metrics };
  const node_settings_t *s = &c->settings;
  cs_status_t status
      = cs_server_new (c->ctx, &c->loop, s->ready, &entry, c, &c->ready);
  if (status == CS_OK && strcmp (s->ready, s->reports) != 0)
    status
        = cs_server_new (c->ctx, &c->loop, s->reports, &entry, c, &c->reports);
  if (status == CS_OK && s->metrics[0])
    status = cs_server_new (c->ctx, &c->loop, s->metrics, &metrics, c,
                            &c->metrics);
  return status;
}
