/* What the server says of itself in the header fields of its answers: a limit
   of requests a second, and that it leaves.  */
#include <math.h>
#include <string.h>

#include "cardamom/event.h"
#include "cardamom/header-names.h"
#include "dispatcher-internal.h"

/* The number in the field NAME of ANSWER; -1 if there is none.  */
static double
decimal_field (const cs_http1_message_t *answer, const char *name)
{
  cs_str_t value = cs_http1_message_field (answer, name);
  if (!value.len)
    return -1;
  char *text = cs_str_dup (value), *end;
  double number = g_ascii_strtod (text, &end);
  if (end == text || *end || !(number >= 0) || !isfinite (number))
    number = -1;
  g_free (text);
  return number;
}

void
server_fields_note (cs_dispatcher_t *dispatcher,
                    const cs_http1_message_t *answer)
{
  double limit = decimal_field (answer, cs_header_names->server_limit);
  /* A server that leaves does so until it restarts.  */
  bool leaving
      = dispatcher->named_leaving
        || cs_http1_message_field (answer, cs_header_names->server_leaving)
               .data;
  dispatcher->answered = true;
  bool limit_changed = cs_server_limit_set (&dispatcher->limit, limit,
                                            dispatcher_now (dispatcher));
  if (!limit_changed && leaving == dispatcher->named_leaving)
    return;
  dispatcher->named_leaving = leaving;
  cs_event_log (CS_E_LIMIT, "instance=%s limit=%.1f leaving=%d",
                dispatcher->server.report.instance, limit, leaving);
  if (leaving && dispatcher->server.state == CS_BACKEND_READY)
    {
      dispatcher->server.state = CS_BACKEND_DRAINING;
      dispatcher_refuse_queued (dispatcher, CS_REFUSED_NO_SERVER);
      dispatcher->handler.server_leaving (dispatcher->user);
    }
}

void
server_fields_restore_limit (cs_dispatcher_t *dispatcher)
{
  const char *instance = dispatcher->server.report.instance;
  if (dispatcher->answered || !instance[0]
      || strcmp (dispatcher->restored_instance, instance) != 0)
    return;
  cs_server_limit_set (&dispatcher->limit,
                       (double)CS_SEC / (double)dispatcher->restored_interval,
                       dispatcher_now (dispatcher));
  cs_event_log (CS_E_LIMIT, "instance=%s limit=%.1f state=restored", instance,
                dispatcher->limit.per_second);
}

void
cs_dispatcher_restore_limit (cs_dispatcher_t *dispatcher, const char *instance,
                             cs_usec_t interval)
{
  g_strlcpy (dispatcher->restored_instance, instance,
             sizeof dispatcher->restored_instance);
  dispatcher->restored_interval = interval;
  server_fields_restore_limit (dispatcher);
}
