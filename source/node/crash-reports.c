#include "crash-reports.h"

/* A report on its way to the control thread.  */
typedef struct
{
  uint64_t fingerprint;
  char *node_name; /* Node of the upstream that crashed; NULL: none did.  */
} crash_report_t;

static void
crash_report_free (gpointer data)
{
  crash_report_t *report = data;
  g_free (report->node_name);
  g_free (report);
}

/* Publish or clear the record of a crash, in the control thread.  */
static void
apply_report (control_t *control, void *arg)
{
  const crash_report_t *report = arg;
  cs_ctx_t *ctx = control_ctx (control);
  cs_members_t *members = control_members (control);
  if (report->node_name)
    {
      cs_usec_t now = cs_now_wall (ctx);
      cs_record_t *record = cs_crash_record_new (report->fingerprint,
                                                 report->node_name, now, now);
      cs_counter_add (CS_C_STRIKES, 1);
      cs_log (CS_LOG_NOTICE, "strike", "print=%016llx upstream=%s",
              (unsigned long long)report->fingerprint, report->node_name);
      cs_members_merge (ctx, members, record);
      cs_record_free (record);
      return;
    }
  GPtrArray *cleared
      = cs_crashes_clear (cs_members_records (members), report->fingerprint);
  for (guint i = 0; i < cleared->len; i++)
    cs_members_merge (ctx, members, cleared->pdata[i]);
  g_ptr_array_unref (cleared);
}

static void
post_report (node_t *node, uint64_t fingerprint, const char *node_name)
{
  crash_report_t *report = g_new (crash_report_t, 1);
  report->fingerprint = fingerprint;
  report->node_name = g_strdup (node_name);
  control_post (node->control, apply_report, report, crash_report_free);
}

void
crash_reports_add (node_t *node, uint64_t fingerprint, const char *node_name)
{
  post_report (node, fingerprint, node_name);
}

void
crash_reports_clear (node_t *node, uint64_t fingerprint)
{
  post_report (node, fingerprint, NULL);
}
