/* The settings file of the sidecar: one JSON object.  */
#ifndef SIDECAR_SETTINGS_H
#define SIDECAR_SETTINGS_H

#include "cardamom/backend.h"
#include "cardamom/cap.h"
#include "cardamom/client.h"
#include "cardamom/context.h"
#include "cardamom/exposure.h"
#include "cardamom/freshness.h"
#include "cardamom/retry-window.h"

/* An address is IP:PORT.  */
typedef struct
{
  char node[CS_NAME_SIZE], dc[CS_NAME_SIZE], region[CS_NAME_SIZE];
  char callers[CS_NAME_SIZE];    /* Listens for callers' requests.  */
  char ready[CS_NAME_SIZE];      /* Listens for readiness checks.  */
  char reports[CS_NAME_SIZE];    /* Listens for the server's reports.  */
  char peers[CS_NAME_SIZE];      /* Listens for other nodes.  */
  char advertised[CS_NAME_SIZE]; /* Where other nodes connect to.  */
  char metrics[CS_NAME_SIZE];    /* Serves the counters; empty: off.  */
  char service[CS_NAME_SIZE];    /* Of the backend server; may be empty.  */
  char server[CS_NAME_SIZE];     /* The backend server; may be empty.  */
  char table[CS_NAME_SIZE];      /* The platform's table.  */
  char deployment[CS_NAME_SIZE]; /* Name of the whole mesh; may be empty.  */
  double link_mbps;              /* Speed of the host's link; 0: unknown.  */
  int64_t memory_mb;             /* Of the host; 0: no limit is kept.  */
  int64_t max_fds;               /* Of the process; 0: no limit is kept.  */
  int64_t first_start;           /* 1: the mesh starts for the first time.  */
  cs_usec_t grace;               /* From a stop signal to the end.  */
  cs_retry_window_settings_t retry_window; /* Limits retries.  */
  cs_answer_memory_t answer_memory;        /* Limits the server's answers.  */
  cs_exposure_limits_t exposure; /* Limits requests to candidates.  */
  int64_t fail_closed;           /* As in cs_freshness_settings_t.  */
  cs_usec_t revoke;
  cs_cap_tolerance_t cap_tolerance; /* Beyond the caps of workspaces.  */
} node_settings_t;

/* Read the file at PATH into OUT.  On CS_BAD_INPUT the message names the first
   wrong key, and OUT is unchanged.  */
cs_status_t node_settings_read (cs_ctx_t *ctx, const char *path,
                                node_settings_t *out);

/* Parse "1500ms", "2.5s" or a plain number of milliseconds; -1 for anything
   else.  */
cs_usec_t node_duration_parse (const char *text);

/* Append a Markdown table of the settings to OUT.  */
void node_settings_write_reference (GString *out);

#endif
