#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "cardamom/registry.h"
#include "control.h"

#define TICK_MS 100 /* Interval of the control thread's timer.  */
#define STALL_MIN (300 * CS_MSEC) /* Shorter stalls are not logged.  */

/* A control payload on its way from the traffic thread to this one.  */
typedef struct
{
  char *node;
  GString *payload;
} payload_message_t;

static void
dispatch_payload (control_t *control, const char *node, cs_str_t payload)
{
  cs_unpack_t unpack;
  cs_unpack_cursor_t in;
  if (cs_unpack_init (control->ctx, &unpack, payload, &in) != CS_OK)
    {
      cs_counter_add (CS_C_FRAMES_REFUSED, 1);
      return;
    }
  switch (cs_unpack_int64 (&in))
    {
    case CS_FRAME_ROW:
      rows_handle_row (control, node, &in);
      break;
    case CS_FRAME_ROWS_COMPLETE:
      rows_handle_complete (control, &in);
      break;
    case CS_FRAME_ROWS_FRESHNESS:
      rows_handle_freshness (control, node, &in);
      break;
    case CS_FRAME_ROWS_REQUEST:
      rows_handle_request (control, node, &in);
      break;
    case CS_FRAME_VERSION_STATS:
      moves_handle_evidence (control, node, &in);
      break;
    case CS_FRAME_MOVE_STATE:
      moves_handle_state (control, node, &in);
      break;
    }
  if (in.failed)
    {
      cs_counter_add (CS_C_FRAMES_REFUSED, 1);
      cs_event_log (CS_E_PEER, "peer=%s state=\"malformed control payload\"",
                    node);
    }
  cs_unpack_clear (&unpack);
}

static void
handle_payload (void *user, void *arg)
{
  payload_message_t *message = arg;
  dispatch_payload (user, message->node, cs_str_of_gstring (message->payload));
  g_free (message->node);
  g_string_free (message->payload, TRUE);
  g_free (message);
}

static void
on_control (void *user, const char *node, GString *payload)
{
  control_t *control = user;
  payload_message_t *message = g_new (payload_message_t, 1);
  *message
      = (payload_message_t){ .node = g_strdup (node), .payload = payload };
  cs_mailbox_post (&control->mailbox, handle_payload, control, message);
}

static void
handle_member (void *user, void *arg)
{
  control_t *control = user;
  member_info_t *info = arg;
  const member_info_t *known
      = g_hash_table_lookup (control->members, info->member.name);
  bool was_reachable = known && known->reachable
                       && known->member.boot_ms == info->member.boot_ms;
  g_hash_table_replace (control->members, info->member.name, info);
  cs_gauge_set (CS_C_G_MEMBERS, g_hash_table_size (control->members));
  if (info->reachable && !was_reachable)
    moves_tell_process (control, info->member.name);
}

static void
on_member (void *user, const cs_node_info_t *member, bool reachable)
{
  control_t *control = user;
  member_info_t *info = g_new (member_info_t, 1);
  *info = (member_info_t){ .member = *member, .reachable = reachable };
  cs_mailbox_post (&control->mailbox, handle_member, control, info);
}

void
control_publish_backend_change (control_t *control, uint64_t before,
                                const char *why)
{
  if (control->backend.generation == before)
    return;
  cs_event_log (CS_E_SERVER, "state=%s instance=%s why=\"%s\"",
                cs_backend_state_name (control->backend.state),
                control->backend.report.instance, why);
  cs_traffic_set_server_state (control->traffic, &control->backend);
}

static void
handle_backend_lost (void *user, void *arg)
{
  control_t *control = user;
  uint64_t before = control->backend.generation;
  (void)arg;
  cs_backend_mark_lost (&control->backend, control_now (control));
  control_publish_backend_change (control, before, "connection refused");
}

static void
handle_backend_leaving (void *user, void *arg)
{
  control_t *control = user;
  uint64_t before = control->backend.generation;
  (void)arg;
  cs_backend_mark_draining (&control->backend);
  control_publish_backend_change (control, before,
                                  "its answers say that it leaves");
}

static void
on_backend_leaving (void *user)
{
  control_t *control = user;
  cs_mailbox_post (&control->mailbox, handle_backend_leaving, control, NULL);
}

static void
on_backend_lost (void *user)
{
  control_t *control = user;
  cs_mailbox_post (&control->mailbox, handle_backend_lost, control, NULL);
}

static void
handle_crash_record (void *user, void *arg)
{
  crash_rows_store (user, arg);
}

static void
on_crash_record_lasting (void *user, const cs_record_t *record)
{
  control_t *control = user;
  cs_mailbox_post (&control->mailbox, handle_crash_record, control,
                   cs_record_copy (record));
}

static void
handle_stopped (void *user, void *arg)
{
  (void)user, (void)arg;
  cs_event_log (CS_E_STOP, "step=ended");
  cs_event_flush ();
  _exit (0);
}

static void
on_stopped (void *user)
{
  control_t *control = user;
  cs_mailbox_post (&control->mailbox, handle_stopped, control, NULL);
}

static cs_usec_t
read_suspended_total (void)
{
  struct timespec boot, monotonic;
  clock_gettime (CLOCK_BOOTTIME, &boot);
  clock_gettime (CLOCK_MONOTONIC, &monotonic);
  return (cs_usec_t)(boot.tv_sec - monotonic.tv_sec) * CS_SEC
         + (boot.tv_nsec - monotonic.tv_nsec) / 1000;
}

/* Log that the host was suspended or this thread stalled: the rows may be out
   of date then, and another node may own a move that this one owned.  */
static void
check_for_stall (control_t *control, cs_usec_t now)
{
  cs_usec_t suspended_total = read_suspended_total ();
  cs_usec_t tick_delay = now - control->last_tick_at - TICK_MS * CS_MSEC;
  cs_usec_t stalled
      = MAX (suspended_total - control->suspended_total, tick_delay);
  control->suspended_total = suspended_total;
  control->last_tick_at = now;
  if (stalled < STALL_MIN)
    return;
  cs_event_log (CS_E_AWAKE, "still_ms=%" G_GINT64_FORMAT, stalled / CS_MSEC);
}

static void
on_tick (uv_timer_t *timer)
{
  control_t *control = timer->data;
  cs_usec_t now = control_now (control);
  check_for_stall (control, now);
  rows_tick (control, now);
  rows_check_keys (control, now);
  resume_tick (control);
  moves_tick (control, now);
  crash_rows_tick (control, now);
  cs_event_flush ();
}

static void
on_terminate (uv_signal_t *signal, int number)
{
  control_t *control = signal->data;
  if (control->stopping)
    return;
  control->stopping = true;
  cs_event_log (CS_E_STOP, "step=begun signal=%d", number);
  cs_traffic_stop (control->traffic);
}

/* Read the settings file again and log whether it is valid, and whether the
   address of the table, for callers or for peers has changed, which needs a
   restart.  Other settings are not compared.  The settings in force stay as
   they are.  */
static void
on_hangup (uv_signal_t *signal, int number)
{
  control_t *control = signal->data;
  node_settings_t new_settings;
  (void)number;
  if (node_settings_read (control->ctx, control->settings_path, &new_settings)
      != CS_OK)
    {
      cs_event_log (CS_E_SETTINGS, "state=kept why=\"%s\"",
                    cs_error_message (control->ctx));
      return;
    }
  bool unchanged
      = strcmp (new_settings.table, control->settings.table) == 0
        && strcmp (new_settings.callers, control->settings.callers) == 0
        && strcmp (new_settings.peers, control->settings.peers) == 0;
  cs_event_log (CS_E_SETTINGS, "state=%s",
                unchanged ? "read" : "needs-restart");
}

static void
watch_signal (control_t *control, uv_signal_t *signal, uv_signal_cb run,
              int number)
{
  uv_signal_init (&control->loop, signal);
  signal->data = control;
  uv_signal_start (signal, run, number);
}

static bool
open_components (control_t *control)
{
  static const cs_traffic_handler_t handler
      = { .control_received = on_control,
          .member_changed = on_member,
          .server_lost = on_backend_lost,
          .server_leaving = on_backend_leaving,
          .crash_record_lasting = on_crash_record_lasting,
          .stopped = on_stopped };
  const node_settings_t *settings = &control->settings;
  cs_traffic_settings_t traffic_settings
      = { .caller_address = settings->callers,
          .peer_address = settings->peers,
          .caller_service = settings->service,
          .retry_window = settings->retry_window,
          .answer_memory = settings->answer_memory,
          .grace_period = settings->grace,
          .memory_max = (settings->memory_mb << 20) / 2,
          .cap_tolerance = settings->cap_tolerance,
          .freshness = { .fail_closed = settings->fail_closed,
                         .revoke = settings->revoke },
          .keys_fresh_at = &control->keys_fresh_at,
          .snapshot = &control->snapshot };
  traffic_settings.self.boot_ms = control->boot_ms;
  traffic_settings.self.link_mbps = (int64_t)settings->link_mbps;
  g_strlcpy (traffic_settings.self.name, settings->node, CS_NAME_SIZE);
  g_strlcpy (traffic_settings.self.dc, settings->dc, CS_NAME_SIZE);
  g_strlcpy (traffic_settings.self.region, settings->region, CS_NAME_SIZE);
  g_strlcpy (traffic_settings.self.address, settings->advertised,
             CS_NAME_SIZE);
  control->traffic
      = cs_traffic_new (control->ctx, &traffic_settings, &handler, control);
  return control->traffic && endpoints_listen (control) == CS_OK
         && control->adapter->open_table (control->ctx, &control->loop,
                                          settings->table, &control->table)
                == CS_OK;
}

void
control_run (cs_ctx_t *ctx, const char *settings_path)
{
  const void *adapter;
  control_t *control = g_new0 (control_t, 1);
  control->ctx = ctx;
  control->settings_path = settings_path;
  control->boot_ms = cs_now_wall (ctx) / CS_MSEC;
  control->started_at = control_now (control);
  control->members
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, g_free);
  control->operator_rows = g_hash_table_new_full (g_str_hash, g_str_equal,
                                                  NULL, cs_table_row_free);
  control->heartbeat_paths
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  control->moves = g_hash_table_new (g_str_hash, g_str_equal);
  uv_loop_init (&control->loop);
  cs_mailbox_init (&control->mailbox, &control->loop);
  if (node_settings_read (ctx, settings_path, &control->settings) != CS_OK
      || cs_plugin_find (ctx, CS_PLUGIN_ADAPTER, "mesh-platform", &adapter)
             != CS_OK)
    {
      fprintf (stderr, "cardamom-sidecar: %s\n", cs_error_message (ctx));
      exit (2);
    }
  cs_event_set_node (control->settings.node);
  cs_key_digest_set_secret (cs_str_of (control->settings.deployment));
  control->adapter = adapter;
  cs_header_names = control->adapter->headers;
  if (!open_components (control))
    {
      fprintf (stderr, "cardamom-sidecar: %s\n", cs_error_message (ctx));
      exit (1);
    }
  cs_event_log (CS_E_START,
                "boot=%" G_GINT64_FORMAT " dc=%s region=%s table=%s",
                control->boot_ms, control->settings.dc,
                control->settings.region, control->settings.table);
  watch_signal (control, &control->term, on_terminate, SIGTERM);
  watch_signal (control, &control->interrupt, on_terminate, SIGINT);
  watch_signal (control, &control->hangup, on_hangup, SIGHUP);
  uv_timer_init (&control->loop, &control->tick);
  control->tick.data = control;
  control->suspended_total = read_suspended_total ();
  control->last_tick_at = control_now (control);
  cs_traffic_start (control->traffic);
  uv_timer_start (&control->tick, on_tick, 0, TICK_MS);
  uv_run (&control->loop, UV_RUN_DEFAULT);
}
