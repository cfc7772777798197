#include <glib.h>

#include "cardamom/retry-window.h"

/* Share of the budget that is used.  The rest is for requests that are counted
   late, and for windows that begin within a slice.  */
#define USABLE_SHARE 0.85
/* Shares of the usable budget: what is kept free for calls of repeated runs,
   and what they may take before no more runs should be repeated.  Those that
   are in flight then still make their calls.  */
#define RESERVED_SHARE 0.4
#define STRAINED_SHARE 0.25
/* Weight of one request in the moving average of the failure rate.  */
#define FAILURE_RATE_WEIGHT 0.02
/* From this failure rate on, the service counts as failing as a whole: a few
   failing servers among many cause a lower one.  */
#define SERVICE_WIDE_FAILURE_RATE 0.15

typedef struct
{
  double requests, retries, calls, inherited;
  double allowed; /* Retries and inherited ones.  */
} sums_t;

void
cs_retry_window_init (cs_retry_window_t *window, cs_usec_t now)
{
  *window = (cs_retry_window_t){ .started_at = now };
}

static void
advance_slices (cs_retry_window_t *window,
                const cs_retry_window_settings_t *settings, cs_usec_t now)
{
  int64_t slice
      = now / MAX (settings->window / (CS_RETRY_WINDOW_SLICES - 1), 1);
  if (slice - window->newest_slice > CS_RETRY_WINDOW_SLICES)
    window->newest_slice = slice - CS_RETRY_WINDOW_SLICES;
  while (window->newest_slice < slice)
    {
      int oldest = (int)(++window->newest_slice % CS_RETRY_WINDOW_SLICES);
      window->requests[oldest] = 0;
      window->retries[oldest] = 0;
      window->calls[oldest] = window->inherited[oldest] = 0;
    }
}

/* The sums of the window until NOW, and the retries that this node's part of
   the budget allows in it.  A node that restarts has lost its account; were it
   given its part of the slack at once, a node that restarts often would give
   it away each time.  */
static sums_t
sum_window (cs_retry_window_t *window,
            const cs_retry_window_settings_t *settings, unsigned servers,
            cs_usec_t now)
{
  sums_t sums = { 0 };
  double age
      = (double)(now - window->started_at) / (double)MAX (settings->window, 1);
  advance_slices (window, settings, now);
  for (int i = 0; i < CS_RETRY_WINDOW_SLICES; i++)
    {
      sums.requests += window->requests[i];
      sums.retries += window->retries[i];
      sums.calls += window->calls[i];
      sums.inherited += window->inherited[i];
    }
  sums.allowed = USABLE_SHARE
                 * (settings->ratio * sums.requests
                    + MIN (age, 1.0) * settings->slack / MAX (servers, 1));
  return sums;
}

static int
newest (const cs_retry_window_t *window)
{
  return (int)(window->newest_slice % CS_RETRY_WINDOW_SLICES);
}

void
cs_retry_window_note_request (cs_retry_window_t *window,
                              const cs_retry_window_settings_t *settings,
                              bool is_call, double inherited, cs_usec_t now)
{
  advance_slices (window, settings, now);
  window->requests[newest (window)] += 1.0;
  if (!is_call)
    return;
  window->calls[newest (window)] += 1.0;
  window->inherited[newest (window)] += CLAMP (inherited, 0.0, 1.0);
}

void
cs_retry_window_note_retry (cs_retry_window_t *window,
                            const cs_retry_window_settings_t *settings,
                            cs_usec_t now)
{
  advance_slices (window, settings, now);
  window->retries[newest (window)] += 1.0;
}

bool
cs_retry_window_has_room (cs_retry_window_t *window,
                          const cs_retry_window_settings_t *settings,
                          unsigned servers, cs_usec_t now)
{
  sums_t sums = sum_window (window, settings, servers, now);
  /* The callers keep to the ratio too.  */
  double reserved
      = MIN (RESERVED_SHARE * sums.allowed, settings->ratio * sums.calls);
  return sums.retries + MAX (sums.inherited, reserved) + 1.0 <= sums.allowed;
}

bool
cs_retry_window_is_strained (cs_retry_window_t *window,
                             const cs_retry_window_settings_t *settings,
                             unsigned servers, cs_usec_t now)
{
  sums_t sums = sum_window (window, settings, servers, now);
  return sums.inherited > STRAINED_SHARE * sums.allowed;
}

void
cs_failure_rate_note (cs_failure_rate_t *failures, bool failed)
{
  failures->rate
      += FAILURE_RATE_WEIGHT * ((failed ? 1.0 : 0.0) - failures->rate);
}

bool
cs_failure_rate_retry_may_help (const cs_failure_rate_t *failures)
{
  return failures->rate < SERVICE_WIDE_FAILURE_RATE;
}
