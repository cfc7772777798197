#include "cardamom/crash-detector.h"

/* Far more than a server runs at once.  */
#define UNANSWERED_RUNS_MAX 256

static GArray *
new_runs (void)
{
  return g_array_new (FALSE, FALSE, sizeof (cs_unanswered_run_t));
}

void
cs_crash_detector_init (cs_crash_detector_t *detector)
{
  detector->runs = new_runs ();
}

void
cs_crash_detector_clear (cs_crash_detector_t *detector)
{
  g_array_unref (detector->runs);
  detector->runs = NULL;
}

void
cs_crash_detector_add (cs_crash_detector_t *detector,
                       const cs_unanswered_run_t *run)
{
  if (detector->runs->len >= UNANSWERED_RUNS_MAX)
    g_array_remove_index (detector->runs, 0);
  g_array_append_val (detector->runs, *run);
}

void
cs_crash_detector_note_answer (cs_crash_detector_t *detector,
                               cs_usec_t sent_at)
{
  guint count = 0;
  while (count < detector->runs->len
         && g_array_index (detector->runs, cs_unanswered_run_t, count).ended_at
                < sent_at)
    count++;
  if (count)
    g_array_remove_range (detector->runs, 0, count);
}

GArray *
cs_crash_detector_take (cs_crash_detector_t *detector)
{
  GArray *runs = detector->runs;
  detector->runs = new_runs ();
  return runs;
}
