#include "strikes.h"

typedef struct
{
  uint64_t print;
  char *upstream; /* NULL: clear the print.  */
} strike_t;

static void
strike_free (gpointer data)
{
  strike_t *strike = data;
  g_free (strike->upstream);
  g_free (strike);
}

static void
run_strike (control_t *control, void *arg)
{
  const strike_t *strike = arg;
  cs_ctx_t *ctx = control_ctx (control);
  cs_members_t *members = control_members (control);
  if (strike->upstream)
    {
      cs_record_t *record = cs_strike_new (strike->print, strike->upstream,
                                           cs_now_wall (ctx) / CS_MSEC);
      cs_counter_add (CS_C_STRIKES, 1);
      cs_log (CS_LOG_NOTICE, "strike", "print=%016llx upstream=%s",
              (unsigned long long)strike->print, strike->upstream);
      cs_members_merge (ctx, members, record);
      cs_record_free (record);
      return;
    }
  GPtrArray *cleared
      = cs_strikes_clear (cs_members_records (members), strike->print);
  for (guint i = 0; i < cleared->len; i++)
    cs_members_merge (ctx, members, cleared->pdata[i]);
  g_ptr_array_unref (cleared);
}

static void
post_strike (node_t *node, uint64_t print, const char *upstream)
{
  strike_t *strike = g_new (strike_t, 1);
  strike->print = print;
  strike->upstream = g_strdup (upstream);
  control_post (node->control, run_strike, strike, strike_free);
}

void
strikes_note (node_t *node, uint64_t print, const char *upstream)
{
  post_strike (node, print, upstream);
}

void
strikes_clear (node_t *node, uint64_t print)
{
  post_strike (node, print, NULL);
}
