#include <string.h>

#include "cardamom/backend.h"

const char *
cs_backend_state_name (cs_backend_state_t state)
{
  static const char *const names[]
      = { "none", "ready", "draining", "left", "lost" };
  return names[state];
}

static bool
same_description (const cs_backend_report_t *a, const cs_backend_report_t *b)
{
  return strcmp (a->instance, b->instance) == 0
         && strcmp (a->service, b->service) == 0
         && strcmp (a->version, b->version) == 0
         && strcmp (a->address, b->address) == 0 && a->slots == b->slots
         && a->started_ms == b->started_ms;
}

static void
set_state (cs_backend_t *backend, cs_backend_state_t state)
{
  if (backend->state == state)
    return;
  backend->state = state;
  backend->generation++;
}

cs_report_result_t
cs_backend_report (cs_backend_t *backend, const cs_backend_report_t *report,
                   cs_usec_t now)
{
  const cs_backend_report_t *held = &backend->report;
  bool same_start = strcmp (held->instance, report->instance) == 0
                    && held->started_ms == report->started_ms;
  if (backend->state != CS_BACKEND_NONE)
    {
      if (same_start && report->sequence <= held->sequence)
        return CS_REPORT_STALE;
      if (!same_start && report->started_ms < held->started_ms)
        return CS_REPORT_STALE;
      if (same_start && backend->state == CS_BACKEND_LEFT)
        return CS_REPORT_STALE;
    }
  /* A server that drains does so until it restarts: a later ready report of
     the same start does not make it ready again.  */
  bool was_draining = same_start && backend->state == CS_BACKEND_DRAINING;
  if (backend->state == CS_BACKEND_NONE || !same_description (held, report))
    backend->generation++;
  backend->report = *report;
  backend->updated_at = now;
  backend->warm_at = now + report->warmup_left;
  set_state (backend, report->draining || was_draining ? CS_BACKEND_DRAINING
                                                       : CS_BACKEND_READY);
  return CS_REPORT_ACCEPTED;
}

cs_report_result_t
cs_backend_leave (cs_backend_t *backend, const char *instance, cs_usec_t now)
{
  if (backend->state == CS_BACKEND_NONE
      || strcmp (backend->report.instance, instance) != 0)
    return CS_REPORT_OTHER_INSTANCE;
  backend->updated_at = now;
  set_state (backend, CS_BACKEND_LEFT);
  return CS_REPORT_ACCEPTED;
}

void
cs_backend_mark_draining (cs_backend_t *backend)
{
  if (backend->state == CS_BACKEND_READY)
    set_state (backend, CS_BACKEND_DRAINING);
}

void
cs_backend_mark_lost (cs_backend_t *backend, cs_usec_t now)
{
  (void)now;
  if (backend->state == CS_BACKEND_READY)
    set_state (backend, CS_BACKEND_LOST);
}
