#include <string.h>

#include "cardamom/life.h"

const char *
cs_life_state_name (cs_life_state_t state)
{
  static const char *const names[]
      = { "none", "ready", "draining", "left", "lost" };
  return names[state];
}

static bool
same_description (const cs_report_t *a, const cs_report_t *b)
{
  return strcmp (a->instance, b->instance) == 0
         && strcmp (a->service, b->service) == 0
         && strcmp (a->version, b->version) == 0
         && strcmp (a->address, b->address) == 0 && a->slots == b->slots
         && a->born_ms == b->born_ms;
}

static void
set_state (cs_life_t *life, cs_life_state_t state)
{
  if (life->state == state)
    return;
  life->state = state;
  life->changes++;
}

cs_life_verdict_t
cs_life_report (cs_life_t *life, const cs_report_t *report, cs_usec_t now)
{
  const cs_report_t *held = &life->report;
  bool same_start = strcmp (held->instance, report->instance) == 0
                    && held->born_ms == report->born_ms;
  if (life->state != CS_LIFE_NONE)
    {
      if (same_start && report->sequence <= held->sequence)
        return CS_LIFE_LATE;
      if (!same_start && report->born_ms < held->born_ms)
        return CS_LIFE_LATE;
      if (same_start && life->state == CS_LIFE_LEFT)
        return CS_LIFE_LATE;
    }
  /* A server that drains does so until it restarts: a ready report since the
     same start must have been made before.  */
  bool was_draining = same_start && life->state == CS_LIFE_DRAINING;
  if (life->state == CS_LIFE_NONE || !same_description (held, report))
    life->changes++;
  life->report = *report;
  life->heard = now;
  life->warm_from = now + report->warmup;
  set_state (life, report->draining || was_draining ? CS_LIFE_DRAINING
                                                    : CS_LIFE_READY);
  return CS_LIFE_TAKEN;
}

cs_life_verdict_t
cs_life_leave (cs_life_t *life, const char *instance, cs_usec_t now)
{
  if (life->state == CS_LIFE_NONE
      || strcmp (life->report.instance, instance) != 0)
    return CS_LIFE_OTHER;
  life->heard = now;
  set_state (life, CS_LIFE_LEFT);
  return CS_LIFE_TAKEN;
}

void
cs_life_lose (cs_life_t *life, cs_usec_t now)
{
  (void)now;
  if (life->state == CS_LIFE_READY)
    set_state (life, CS_LIFE_LOST);
}
