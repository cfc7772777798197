/* The fault soak.  It starts real sidecar processes and standin-rows, the
   stand-in for the platform's table of rows ("the table"), on loopback,
   simulates the backend servers and the callers in its own event loop, and
   injects faults: signals to the processes, failures of connections, crashes
   of servers.  All the while it checks what callers and servers observe
   against the guarantees of the system, and prints every violation.

   Guarantees, by the names that violations are printed with:
     ALIVE: a node process does not end by itself.
     COLD: a server that reports that it is cold gets no more than its rate,
       with the tolerance of the platform's rules.
     CONFIG: a running node does not return to an older configuration; in calm
       all nodes have the last version of a storm within CONFIG_APPLY_MAX.
     DENIED: no request gets 404 for a route that all configurations have.
     DRAIN: a server gets no more requests once DRAIN_GRACE has passed since
       the sidecar acknowledged its drain.
     EVAC: in calm, the servers of a data centre get no requests once
       EVACUATION_BOUND has passed since its evacuation was acknowledged.
     MIXED: an answer belongs to the request that it is sent for.
     QUOTA: the workspace with a low usage cap gets no more runs in a window
       than the platform's rules allow, of all nodes together.
     RECOVER: in time after the faults, most requests are served again and no
       server is draining.
     REFUSED: an unsafe request that is answered as not run has not run before
       the answer and does not run after it.
     REVOKE: no request runs that was sent later than REVOKE_BOUND after its
       key was taken away.
     SOAK: the stand-in for the table does not answer.
     STOP: a node exits in time and with status 0 after SIGTERM.
     TWICE: an unsafe request runs at most once.
     UNASKED: a server gets only requests that a caller has sent, with the same
       path, and each names the caller's service, and the workspace of its key,
       but not the key.

   All random decisions derive from one seed, so the faults, their times and
   their order are the same in each run with that seed.  */
#ifndef SOAK_H
#define SOAK_H

#include "cardamom/client.h"
#include "cardamom/counters.h"
#include "cardamom/server.h"

#define HOSTS_MAX 16

/* The keys "key-V" and "key-(V-1)" belong to the workspace "shop" in version V
   of the configuration; "tight" has a key of its own and a low cap.  */
#define REVOKE_BOUND (5 * CS_SEC)
#define VERSIONS_MAX 512
#define TIGHT_PER_S 2.0
#define TIGHT_BURST 2.0
#define QUOTA_WINDOW (5 * CS_SEC)
#define QUOTA_OVER 0.1
#define QUOTA_SLACK 2.0

/* What a cold server takes, and how long it is cold after its start.  */
#define WARMUP_PER_S 4.0
#define WARMUP_TIME (1500 * CS_MSEC)
/* A longer calm evacuation follows the faults.  */
#define EVACUATION_BOUND (5 * CS_SEC)
#define CALM_EVACUATION (6500 * CS_MSEC)

/* The first port of host 0, relative to BASE_PORT, and the number of ports
   that each host has.  */
#define FIRST_HOST_PORT 20
#define HOST_PORTS 10

/* A run of the workspace with the low cap.  */
typedef struct
{
  cs_usec_t sent_at, begun_at;
} tight_run_t;

/* The ports of a host, relative to its FIRST_PORT.  */
enum
{
  PORT_CALLERS = 1,   /* The sidecar's, for callers.  */
  PORT_READINESS = 2, /* The sidecar's, for readiness checks.  */
  PORT_REPORTS = 3,   /* The sidecar's, for reports of the backend server.  */
  PORT_PEERS = 4,     /* The sidecar's, for other nodes.  */
  /* A proxy in front of PORT_PEERS, which other nodes connect to.  */
  PORT_PEER_PROXY = 5,
  /* A proxy in front of the platform's table of rows, which the sidecar
     connects to.  */
  PORT_TABLE_PROXY = 6,
  PORT_SERVER = 9 /* The backend server's.  */
};

typedef struct soak soak_t;
typedef struct proxy proxy_t;
typedef struct operator operator_t;

/* What a proxy does to the connections through it.  */
typedef enum
{
  PROXY_PASS,      /* Forward everything.  */
  PROXY_DELAY,     /* Forward bytes after DELAY_MS.  */
  PROXY_SILENT,    /* Discard all bytes; connections stay open.  */
  PROXY_DROP_UP,   /* Discard what the client sends.  */
  PROXY_DROP_DOWN, /* Discard what the server sends.  */
  PROXY_RESET,     /* Reset every connection.  */
  PROXY_503,       /* Answer requests with this status, without the server.  */
  PROXY_429,
  PROXY_410,
  PROXY_MODE_COUNT
} proxy_mode_t;

/* The name of MODE in the printed fault plan.  */
const char *proxy_mode_name (proxy_mode_t mode);

/* Forward connections to PORT to the port TARGET, both on loopback.  Returns
   NULL if it cannot listen on PORT.  A proxy is never freed.  */
proxy_t *proxy_new (uv_loop_t *loop, unsigned port, unsigned target);

/* Set what PROXY does from now on.  PROXY_RESET also resets the connections
   that are open.  */
void proxy_set_mode (proxy_t *proxy, proxy_mode_t mode);

/* A host: a sidecar process and the simulated backend server beside it.  */
typedef struct
{
  soak_t *soak;
  unsigned index;
  unsigned first_port; /* The ports in use are FIRST_PORT + PORT_....  */
  char name[16], service[16];
  char *settings_path;
  pid_t pid; /* Of the sidecar; 0: not running.  */
  uv_process_t *process;
  bool frozen;                   /* Suspended with SIGSTOP.  */
  bool stopping;                 /* SIGTERM or SIGKILL was sent.  */
  bool must_exit_cleanly;        /* The last of these was SIGTERM.  */
  unsigned start_count;          /* Starts of the process so far.  */
  int64_t active_config_version; /* Last seen active since the start.  */
  cs_usec_t last_disruption_at;  /* Last start of or signal to the process. */
  cs_usec_t started_at;          /* The process.  */
  cs_usec_t restart_at;          /* Time of the next start; 0: none planned. */
  proxy_t *peer_proxy;           /* In front of the port for other nodes.  */
  proxy_t *table_proxy;          /* In front of the table.  */
  cs_http1_server_t *server;     /* The backend server.  */
  cs_http1_client_t *report_client; /* Sends its reports to the sidecar.  */
  bool report_in_flight;
  char instance_id[32];        /* Of the backend server; new at each start.  */
  int64_t report_sequence;     /* Of its last report.  */
  int64_t server_start_ms;     /* Wall-clock time.  */
  cs_usec_t cold_until;        /* When its warm-up ends.  */
  GQueue cold_runs;            /* cs_usec_t *: begins of the last second.  */
  GPtrArray *running_requests; /* running_request_t *.  */
  /* Connection -> id of its request that is still to be answered again.  */
  GHashTable *second_answers;
  bool server_up, draining;
  cs_usec_t drain_acknowledged_at; /* By the sidecar; 0: not yet.  */
  cs_usec_t server_restart_at;     /* Valid while the server is down.  */
} host_t;

struct soak
{
  uv_loop_t loop;
  cs_ctx_t *ctx;
  /* Separate generators for the faults and for the load.  */
  GRand *fault_random, *load_random;
  guint32 seed;
  unsigned base_port; /* The table's; those of the hosts follow.  */
  unsigned host_count;
  char *program_dir; /* Of cardamom-sidecar and standin-rows.  */
  char *work_dir;    /* For settings and logs of the nodes.  */
  pid_t table_pid;   /* Of standin-rows; 0: not running.  */
  host_t hosts[HOSTS_MAX];
  cs_usec_t faults_begin_at;    /* Times of faults are relative to it.  */
  GHashTable *attempts;         /* Attempt ID -> attempt_t *, owned.  */
  uint64_t last_attempt_number; /* Part of the attempt ID.  */
  int64_t config_version; /* Newest one that OPERATOR was told to write.  */
  operator_t *operator;
  cs_usec_t last_start_at; /* Of any sidecar.  */
  /* When the key of each version was taken away; 0: it was not.  */
  cs_usec_t key_removed_at[VERSIONS_MAX];
  GQueue tight_runs;  /* tight_run_t *, of the last window.  */
  GArray *fault_plan; /* fault_t, sorted by begin.  */
  /* How many entries of FAULT_PLAN, from the first on, have begun.  */
  guint faults_begun;
  bool faults_over;                       /* All faults have ended.  */
  unsigned sent, served, refused, failed; /* Requests of callers.  */
  /* Requests of the current recovery window, without probes.  */
  unsigned window_sent, window_served;
  unsigned violations; /* Of guarantees.  */
  /* When the calm evacuation after the faults was acknowledged, and the data
     centre; 0: none is in force.  */
  cs_usec_t evacuated_at;
  const char *evacuated_dc;
};

static inline cs_usec_t
soak_now (const soak_t *soak)
{
  return cs_now (soak->ctx);
}

/* What is known of one attempt, which is a request of a caller.  */
typedef struct
{
  bool at_most_once; /* Its route is unsafe: it must not run twice.  */
  bool left;         /* Unused.  */
  bool refused;      /* Its answer asserts that it has not run.  */
  bool answered;
  unsigned run_count; /* Counted only if AT_MOST_ONCE.  */
  cs_usec_t sent_at;
  int64_t key_version;   /* Its key is that of this version; 0: another.  */
  const char *workspace; /* Expected; NULL: none.  */
  char path[32];
} attempt_t;

/* Count and print a violation of GUARANTEE, with details from FORMAT.  */
void soak_record_violation (soak_t *soak, const char *guarantee,
                            const char *format, ...) G_GNUC_PRINTF (3, 4);

/* Print why the soak itself cannot go on, kill all processes, and exit.  */
void soak_fail (soak_t *soak, const char *format, ...)
    G_GNUC_PRINTF (2, 3) G_GNUC_NORETURN;

/* hosts.c */

/* Initialize the host INDEX: open its proxies and start its backend server.
   Calls soak_fail if a port is in use.  */
void host_init (soak_t *soak, unsigned index);

/* The data centre of HOST.  */
const char *host_dc (const host_t *host);

/* Start the sidecar.  FIRST_START tells it that the whole mesh starts for the
   first time.  */
void host_start (host_t *host, bool first_start);

/* Send SIGNAL_NUMBER to the sidecar, if it runs.  */
void host_signal (host_t *host, int signal_number);

/* Restart the sidecar and the server when it is time, and send a report.  */
void host_tick (host_t *host);

/* Close the backend server without a drain.  It returns as another instance.
 */
void host_crash_server (host_t *host);

/* Make the backend server report that it drains.  It stops some time after the
   acknowledgement, and returns as another instance.  */
void host_drain_server (host_t *host);

/* callers.c */

/* Send a request for a random route to a random host.  */
void caller_send_request (soak_t *soak);

/* Send a request to HOST for the route that only the newest configuration
   has, to observe whether that version is active there.  */
void caller_send_probe (soak_t *soak, host_t *host);

/* operator.c: writes the operator's rows to the table, one transaction after
   the other, and again if the table comes back from a copy without them.  */

operator_t *operator_new (soak_t *soak);

/* Write BODY, a transaction, which is copied.  CONFIG_VERSION is that of the
   configuration that it holds, or 0.  */
void operator_write (operator_t *operator, const char * body,
                     int64_t config_version);

/* Write a row that no node reads, as another user of the table, who doesn't
   write it again: the table's revisions go further back in a drill than the
   operator's writes bring them forward.  */
void operator_write_for_another (operator_t *operator);

/* Have the table be away for AWAY_MS and come back as it was BACK_MS ago. What
   it has lost is written again REWRITE_DELAY_MS after that.  */
void operator_drill (operator_t *operator, unsigned back_ms, unsigned away_ms,
                     unsigned rewrite_delay_ms);

/* When the newest configuration was acknowledged; 0 while writes wait.  */
cs_usec_t operator_config_time (const operator_t *operator);

/* Whether a key that was taken away may be valid at some node, which has
   started while the table held an older copy of the configuration.  */
bool operator_key_may_be_valid (const operator_t *operator);

/* faults.c */

/* Fill the fault plan with random faults that begin within DURATION.  They
   may overlap.  */
void faults_plan (soak_t *soak, cs_usec_t duration);
void faults_print (const soak_t *soak);

/* End and begin the faults that are due at NOW.  */
void faults_tick (soak_t *soak, cs_usec_t now);

/* End all faults in progress and begin no more.  Processes and servers that
   were killed or stopped still restart when it is time.  */
void faults_end (soak_t *soak);

/* Write the next version of the configuration to the table.  */
void faults_write_config (soak_t *soak);

/* Evacuate the data centre DC, or with END end that.  */
void faults_evacuate (soak_t *soak, const char *dc, bool end);

#endif
