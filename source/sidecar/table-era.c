/* The era of the platform's table, which rises when the table comes back from
   an older copy, and whether the table is there.  */
#include "cardamom/row-order.h"
#include "control.h"

/* Time over which the nodes write again what a rise of the era may have lost.
 */
#define REWRITE_SPREAD (1 * CS_SEC)

void
control_note_era (control_t *control, int64_t era)
{
  cs_usec_t now = control_now (control);
  bool first = !control->era_known;
  bool restored = !first && era > control->table_era;
  if (!first && !restored)
    return;
  control->era_known = true;
  control->table_era = era;
  cs_gauge_set (CS_C_G_TABLE_ERA, (uint64_t)era);
  /* A process that starts beside others doesn't know how long the era has
     lasted.  */
  if (restored || !control->settings.first_start)
    {
      control->rows_settle_at = now + CS_ERA_SETTLE_TIME;
      control->settle_read_due = true;
    }
  if (!restored)
    return;
  /* A view that is too old to last until then may lack what was acknowledged
     long before, and what it is brought may lack that as well.  */
  if (!rows_view_allows_keys (control, control->rows_settle_at))
    control->keys_settle_at = control->rows_settle_at;
  cs_counter_add (CS_C_STORE_RESTORED, 1);
  cs_event_log (CS_E_STORE,
                "state=restored era=%" G_GINT64_FORMAT
                " seen=" CS_REVISION_FORMAT,
                era, CS_REVISION_ARGS (control->rows_revision));
  control->node_row_lost = true;
  control->node_row_retry_at
      = now + control_rewrite_delay (control->settings.node);
  moves_note_era (control);
  crash_rows_note_era (control);
}

cs_usec_t
control_rewrite_delay (const char *name)
{
  return (cs_usec_t)(g_str_hash (name) % (guint)REWRITE_SPREAD);
}

/* Whether a call that ended with STATUS has had an answer of the table.  */
static bool
is_answer (cs_status_t status)
{
  return status == CS_OK || status == CS_CONFLICT || status == CS_NOT_FOUND
         || status == CS_TOO_LARGE;
}

cs_status_t
control_check_answer (control_t *control, cs_status_t status, GPtrArray *rows,
                      cs_revision_t *revision)
{
  if (!revision->era)
    {
      /* A table without eras, or that has none until it comes back older for
         the first time, or no answer.  */
      if (is_answer (status) && !control->era_known)
        control_note_era (control, 0);
      revision->era = control->table_era;
      for (guint i = 0; i < rows->len; i++)
        ((cs_table_row_t *)rows->pdata[i])->revision.era = control->table_era;
      return status;
    }
  if (control->era_known && revision->era < control->table_era)
    {
      cs_counter_add (CS_C_STORE_LATE, 1);
      cs_event_log (CS_E_STORE,
                    "state=answer-dropped status=%s era=%" G_GINT64_FORMAT
                    " known=%" G_GINT64_FORMAT,
                    cs_status_name (status), revision->era,
                    control->table_era);
      return CS_UNKNOWN;
    }
  control_note_era (control, revision->era);
  return status;
}

bool
control_era_is_settled (const control_t *control, cs_usec_t now)
{
  return now >= control->rows_settle_at;
}

void
control_note_table (control_t *control, cs_status_t status)
{
  bool up = is_answer (status);
  if (up != control->table_up)
    cs_event_log (
        CS_E_STORE,
        "state=%s status=%s era=%" G_GINT64_FORMAT " seen=" CS_REVISION_FORMAT,
        up ? "regained" : "lost", cs_status_name (status), control->table_era,
        CS_REVISION_ARGS (control->rows_revision));
  control->table_up = up;
}
