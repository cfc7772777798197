/* What the place of the server beside this node, and its warm-up, allow it to
   run.  */
#include "cardamom/event.h"
#include "dispatcher-internal.h"

/* When an evacuation ends, the server counts as cold for this long unless it
   reports before: it may have become cold, and reports every second or two. */
#define COLD_UNTIL_REPORT (2 * CS_SEC)
/* The requests that run at once grow to the server's slots in this time, so
   that the callers of the whole mesh do not turn to it at the same moment.  */
#define RETURN_RAMP (2 * CS_SEC)

void
dispatcher_apply_cold (cs_dispatcher_t *dispatcher, bool silent)
{
  cs_usec_t now = dispatcher_now (dispatcher);
  bool was_cold = cs_server_limit_cold_left (&dispatcher->limit, now) > 0;
  cs_server_limit_set_cold (&dispatcher->limit, dispatcher->warmup_per_s,
                            dispatcher->warm_at, silent, now);
  cs_usec_t left = cs_server_limit_cold_left (&dispatcher->limit, now);
  if (was_cold != (left > 0))
    cs_event_log (CS_E_COLD,
                  "instance=%s state=%s left_ms=%" G_GINT64_FORMAT
                  " per_s=%.1f",
                  dispatcher->server.report.instance, left ? "cold" : "warm",
                  left / CS_MSEC, dispatcher->warmup_per_s);
  dispatcher_schedule_fill (dispatcher);
}

void
cs_dispatcher_set_warmup (cs_dispatcher_t *dispatcher, double per_second)
{
  if (dispatcher->warmup_per_s == per_second)
    return;
  dispatcher->warmup_per_s = per_second;
  dispatcher_apply_cold (dispatcher, false);
}

void
cs_dispatcher_set_warm_at (cs_dispatcher_t *dispatcher, cs_usec_t warm_at)
{
  dispatcher->warm_at = warm_at;
  dispatcher_apply_cold (dispatcher, false);
}

void
cs_dispatcher_set_evacuated (cs_dispatcher_t *dispatcher, bool evacuated)
{
  cs_usec_t now = dispatcher_now (dispatcher);
  if (dispatcher->evacuated == evacuated)
    return;
  dispatcher->evacuated = evacuated;
  if (evacuated)
    {
      dispatcher_refuse_queued (dispatcher, CS_REFUSED_NO_SERVER);
      return;
    }
  dispatcher->returned_at = now;
  dispatcher->warm_at = MAX (dispatcher->warm_at, now + COLD_UNTIL_REPORT);
  dispatcher_apply_cold (dispatcher, false);
}

int64_t
dispatcher_usable_slots (const cs_dispatcher_t *dispatcher)
{
  int64_t slots = dispatcher->server.report.slots;
  cs_usec_t since = dispatcher_now (dispatcher) - dispatcher->returned_at;
  if (!dispatcher->returned_at || since >= RETURN_RAMP)
    return slots;
  return MAX (slots * since / RETURN_RAMP, 1);
}

/* Take a request out of the queue whose route is not allowed to run here; NULL
   when there is none.  */
static cs_dispatch_t *
pop_disallowed (cs_dispatcher_t *dispatcher,
                bool (*allowed) (void *user, cs_str_t route), void *user)
{
  for (GList *at = dispatcher->queue.requests.head; at; at = at->next)
    {
      cs_dispatch_t *dispatch = at->data;
      if (!allowed (user, cs_str_of_gstring (dispatch->route)))
        {
          cs_request_queue_remove (&dispatcher->queue, &dispatch->queued);
          return dispatch;
        }
    }
  return NULL;
}

void
cs_dispatcher_refuse_disallowed (cs_dispatcher_t *dispatcher,
                                 bool (*allowed) (void *user, cs_str_t route),
                                 void *user)
{
  cs_dispatch_t *dispatch;
  while ((dispatch = pop_disallowed (dispatcher, allowed, user)))
    dispatcher_refuse (dispatch, CS_REFUSED_MISMATCH, 0);
}
