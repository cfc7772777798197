#include <glib.h>

#include "cardamom/retry-window.h"

/* Share of the allowance that nodes use: the requests that they count differ a
   little from those that arrive, and a node that has just started has counted
   none.  */
#define USABLE_SHARE 0.8
/* Weight of one request in the moving average of the failure rate.  */
#define FAILURE_RATE_WEIGHT 0.02
/* From this failure rate on, the service counts as failing as a whole: a few
   failing servers among many cause a lower one.  */
#define SERVICE_WIDE_FAILURE_RATE 0.15

static void
advance_slices (cs_retry_window_t *window,
                const cs_retry_window_settings_t *settings, cs_usec_t now)
{
  int64_t slice = now / MAX (settings->window / CS_RETRY_WINDOW_SLICES, 1);
  if (slice - window->newest_slice > CS_RETRY_WINDOW_SLICES)
    window->newest_slice = slice - CS_RETRY_WINDOW_SLICES;
  while (window->newest_slice < slice)
    {
      window->newest_slice++;
      window->requests[window->newest_slice % CS_RETRY_WINDOW_SLICES] = 0;
      window->retries[window->newest_slice % CS_RETRY_WINDOW_SLICES] = 0;
    }
}

static void
sum_slices (const cs_retry_window_t *window, double *requests, double *retries)
{
  *requests = *retries = 0;
  for (int i = 0; i < CS_RETRY_WINDOW_SLICES; i++)
    {
      *requests += window->requests[i];
      *retries += window->retries[i];
    }
}

double
cs_retry_window_retry_share (cs_retry_window_t *window,
                             const cs_retry_window_settings_t *settings,
                             cs_usec_t now)
{
  double requests, retries;
  advance_slices (window, settings, now);
  sum_slices (window, &requests, &retries);
  return retries > 0 ? retries / (requests + retries) : 0;
}

void
cs_retry_window_note_request (cs_retry_window_t *window,
                              const cs_retry_window_settings_t *settings,
                              double caller_share, cs_usec_t now)
{
  advance_slices (window, settings, now);
  window->requests[window->newest_slice % CS_RETRY_WINDOW_SLICES]++;
  window->retries[window->newest_slice % CS_RETRY_WINDOW_SLICES]
      += caller_share;
}

void
cs_retry_window_note_result (cs_retry_window_t *window, bool failed)
{
  window->failure_rate
      += FAILURE_RATE_WEIGHT * ((failed ? 1.0 : 0.0) - window->failure_rate);
}

bool
cs_retry_window_may_help (const cs_retry_window_t *window)
{
  return window->failure_rate < SERVICE_WIDE_FAILURE_RATE;
}

bool
cs_retry_window_try_spend (cs_retry_window_t *window,
                           const cs_retry_window_settings_t *settings,
                           unsigned nodes, cs_usec_t now)
{
  double requests, retries;
  advance_slices (window, settings, now);
  sum_slices (window, &requests, &retries);
  double allowed
      = USABLE_SHARE
        * (settings->ratio * requests + settings->slack / MAX (nodes, 1));
  if (retries + 1 > allowed)
    return false;
  window->retries[window->newest_slice % CS_RETRY_WINDOW_SLICES] += 1;
  return true;
}
