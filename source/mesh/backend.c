#include <glib.h>
#include <string.h>

#include "cardamom/backend.h"

/* The first reports of a start.  A report with a higher number is not taken
   for that of a new start only because the clock may have been stepped.  */
#define FIRST_SEQUENCES_MAX 3

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

/* Whether REPORT, which arrived at NOW, is of a later start than the one that
   is held.  Of a start that left before any report of it, only the latest
   possible time is known.  If the clock has been stepped back since, a new
   start may seem earlier: the time of the last report or of the leave, if this
   process received it, is then compared as the present clock gives it, but
   only for the first reports of a start, as a delayed report of the start that
   is held has a higher number.  */
static bool
is_later_start (const cs_backend_t *backend, const cs_backend_report_t *report,
                cs_usec_t now)
{
  if (report->started_ms > backend->report.started_ms)
    return true;
  int64_t elapsed_ms = (now - backend->updated_at) / CS_MSEC;
  return backend->updated_at && report->received_ms
         && report->sequence <= FIRST_SEQUENCES_MAX
         && report->started_ms > report->received_ms - elapsed_ms;
}

cs_report_result_t
cs_backend_report (cs_backend_t *backend, const cs_backend_report_t *report,
                   cs_usec_t now)
{
  const cs_backend_report_t *held = &backend->report;
  bool same_start = strcmp (held->instance, report->instance) == 0
                    && held->started_ms == report->started_ms;
  if (backend->start_is_latest)
    {
      same_start = strcmp (held->instance, report->instance) == 0
                   && !is_later_start (backend, report, now);
      if (same_start && backend->state == CS_BACKEND_LEFT)
        return CS_REPORT_STALE;
    }
  else if (backend->state != CS_BACKEND_NONE)
    {
      if (same_start && report->sequence <= held->sequence)
        return CS_REPORT_STALE;
      if (!same_start && report->started_ms < held->started_ms
          && !is_later_start (backend, report, now))
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
  backend->start_is_latest = false;
  backend->updated_at = now;
  backend->warm_at = now + report->warmup_left;
  set_state (backend, report->draining || was_draining ? CS_BACKEND_DRAINING
                                                       : CS_BACKEND_READY);
  return CS_REPORT_ACCEPTED;
}

/* Hold INSTANCE, of which no report is known, in STATE.  */
static void
hold_without_report (cs_backend_t *backend, const char *instance,
                     int64_t started_ms, cs_backend_state_t state)
{
  backend->report = (cs_backend_report_t){ .started_ms = started_ms };
  g_strlcpy (backend->report.instance, instance, CS_NAME_SIZE);
  backend->start_is_latest = true;
  set_state (backend, state);
}

cs_report_result_t
cs_backend_leave (cs_backend_t *backend, const cs_backend_leave_t *leave,
                  cs_usec_t now)
{
  if (backend->state == CS_BACKEND_NONE)
    hold_without_report (backend, leave->instance,
                         leave->started_ms ? leave->started_ms
                                           : leave->received_ms,
                         CS_BACKEND_LEFT);
  else if (strcmp (backend->report.instance, leave->instance) != 0
           || (leave->started_ms
               && leave->started_ms < backend->report.started_ms))
    return CS_REPORT_OTHER_INSTANCE;
  backend->updated_at = now;
  set_state (backend, CS_BACKEND_LEFT);
  return CS_REPORT_ACCEPTED;
}

void
cs_backend_restore (cs_backend_t *backend, const char *instance,
                    int64_t started_ms, cs_backend_state_t state)
{
  if (state != CS_BACKEND_DRAINING && state != CS_BACKEND_LEFT)
    return;
  if (backend->state == CS_BACKEND_NONE)
    hold_without_report (backend, instance, started_ms, state);
  else if (backend->state == CS_BACKEND_READY
           && strcmp (backend->report.instance, instance) == 0
           && backend->report.started_ms <= started_ms)
    set_state (backend, state);
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
