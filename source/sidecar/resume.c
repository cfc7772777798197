/* Resuming the backend server after a restart of this process, without waiting
   for its next report, which may be seconds away.  The node's row names the
   server.  Its health check confirms that it is the same instance and still
   serving, because the row may be older than the last report that the previous
   process acknowledged.  A server that the row shows as leaving stays so.  */
#include <string.h>

#include "cardamom/client.h"
#include "control.h"

/* Longest time that bytes sent over loopback stay unacknowledged.  */
#define CHECK_ACK_TIMEOUT (1 * CS_SEC)
#define CHECK_BODY_MAX 65536 /* Bytes of the answer.  */

#define COLD_MAX_MS 3600000 /* A longer warm-up is not believed.  */

/* Go on with the server, which stays cold for COLD_LEFT.  */
static void
resume_backend (control_t *control, cs_usec_t cold_left)
{
  const cs_node_info_t *previous = &control->previous_self;
  cs_backend_report_t report = { .slots = previous->slots,
                                 .warmup_left = cold_left,
                                 .started_ms = previous->server_started_ms };
  g_strlcpy (report.instance, previous->instance, sizeof report.instance);
  g_strlcpy (report.service, previous->service, sizeof report.service);
  g_strlcpy (report.version, previous->version, sizeof report.version);
  g_strlcpy (report.address, control->settings.server, sizeof report.address);
  cs_backend_report (&control->backend, &report, control_now (control));
  control->node_row_stored_generation = control->backend.generation;
  cs_event_log (CS_E_SERVER, "state=resumed instance=%s service=%s version=%s",
                report.instance, report.service, report.version);
  cs_traffic_set_server_state (control->traffic, &control->backend);
}

static void
finish_health_check (control_t *control)
{
  cs_http1_client_drop (control->health_check);
  control->health_check = NULL;
}

static void
on_answer (void *user, cs_http1_message_t *answer)
{
  control_t *control = user;
  cs_str_t instance
      = cs_http1_message_field (answer, cs_header_names->instance_id);
  if (answer->parser.status_code == 200
      && control->backend.state == CS_BACKEND_NONE
      && cs_str_equal (instance, cs_str_of (control->previous_self.instance)))
    resume_backend (control,
                    cs_http1_message_field_number (
                        answer, cs_header_names->cold_ms, COLD_MAX_MS, 0)
                        * CS_MSEC);
  finish_health_check (control);
}

static void
on_failed (void *user, cs_http1_client_error_t error, bool partial)
{
  (void)error, (void)partial;
  finish_health_check (user);
}

void
resume_schedule (control_t *control, const cs_node_info_t *member)
{
  uint64_t before = control->backend.generation;
  cs_backend_restore (&control->backend, member->instance,
                      member->server_started_ms, member->server_state);
  control_publish_backend_change (control, before,
                                  "an earlier process recorded that");
  control->previous_self = *member;
  control->resume_pending = !control->settings.first_start
                            && member->server_state == CS_BACKEND_READY
                            && control->settings.server[0];
}

void
resume_tick (control_t *control)
{
  static const cs_http1_client_handler_t handler
      = { .answer_received = on_answer, .failed = on_failed };
  struct sockaddr_in address;
  if (!control->resume_pending || !control->snapshot)
    return;
  control->resume_pending = false;
  const cs_service_t *service = g_hash_table_lookup (
      control->snapshot->services, control->previous_self.service);
  if (control->backend.state != CS_BACKEND_NONE || !service
      || !service->health_path
      || !cs_sockaddr_parse (control->settings.server, &address))
    return;
  GString *request = g_string_new (NULL);
  g_string_append_printf (request, "GET %s HTTP/1.1\r\nHost: %s\r\n\r\n",
                          service->health_path, control->settings.server);
  control->health_check = cs_http1_client_new (
      &control->loop, control->ctx->clock, &address, CHECK_ACK_TIMEOUT);
  cs_http1_client_set_body_max (control->health_check, CHECK_BODY_MAX);
  cs_http1_client_send (control->health_check, request, false, &handler,
                        control);
}
