/* The fault soak: the sidecar's own processes on loopback, a stand-in of the
   platform's table, backend servers and callers played by one event loop, and
   faults from outside.  What callers and servers see is checked all the while.

   Everything that is drawn comes from one seed: the faults, their times and
   their order are the same in each run of it.  */
#ifndef SOAK_H
#define SOAK_H

#include "cardamom/client.h"
#include "cardamom/counters.h"
#include "cardamom/server.h"

#define NODES_MAX 16

typedef struct soak soak_t;
typedef struct proxy proxy_t;

/* What a proxy does to the connections through it.  */
typedef enum
{
  PROXY_PASS,
  PROXY_DELAY,     /* Bytes wait DELAY_MS.  */
  PROXY_SILENT,    /* Nothing passes, connections stay.  */
  PROXY_DROP_UP,   /* What the client sends is lost.  */
  PROXY_DROP_DOWN, /* What the server sends is lost.  */
  PROXY_RESET,     /* Every connection is reset.  */
  PROXY_503,       /* Requests are answered so, without the server.  */
  PROXY_429,
  PROXY_410,
  PROXY_MODE_COUNT
} proxy_mode_t;

const char *proxy_mode_name (proxy_mode_t mode);

/* Pass what comes to PORT on to TARGET, both on loopback.  NULL when PORT
   cannot be listened on.  */
proxy_t *proxy_new (uv_loop_t *loop, unsigned port, unsigned target);
void proxy_set (proxy_t *proxy, proxy_mode_t mode);

/* A host: a sidecar and the backend server beside it.  */
typedef struct
{
  soak_t *soak;
  unsigned index, port; /* First of its ports.  */
  char name[16], service[16];
  char *settings_path;
  pid_t pid; /* 0: no process.  */
  uv_process_t *process;
  bool frozen, stopping, must_end_well;
  unsigned lives;      /* Of the process.  */
  int64_t config_seen; /* Version seen in force in this life.  */
  cs_usec_t faulted;   /* Last freeze, kill or start.  */
  cs_usec_t start_at;  /* When one that has ended is started again.  */
  proxy_t *peers, *table;
  /* The backend server.  */
  cs_http1_server_t *server;
  cs_http1_client_t *reports;
  bool reporting; /* A report is under way.  */
  char instance[32];
  int64_t sequence, born_ms;
  GPtrArray *runs; /* run_t * under way.  */
  bool up, draining;
  cs_usec_t acknowledged; /* Of DRAINING; 0: not yet.  */
  cs_usec_t back_at;      /* When a server that has gone returns.  */
} host_t;

struct soak
{
  uv_loop_t loop;
  cs_ctx_t *ctx;
  GRand *faults, *load; /* Each draws for itself.  */
  guint32 seed;
  unsigned base, host_count;
  char *bin, *dir;
  pid_t rows_pid; /* Of the table's stand-in; 0: none.  */
  host_t hosts[NODES_MAX];
  cs_usec_t began;
  GHashTable *ids; /* id -> seen_t *.  */
  uint64_t next_id;
  int64_t config; /* Newest version that was written.  */
  GArray *plan;   /* fault_t, by time.  */
  guint planned;  /* Those of PLAN that have begun.  */
  bool calm;      /* No fault begins any more, and all have ended.  */
  unsigned asked, served, refused, failed;
  unsigned window_asked, window_served; /* Of the last seconds of calm.  */
  unsigned broken;                      /* Promises.  */
};

static inline cs_usec_t
soak_now (const soak_t *soak)
{
  return cs_now (soak->ctx);
}

/* What is known of one attempt of a caller.  */
typedef struct
{
  bool once; /* It must not run twice.  */
  bool left, refused, answered;
  unsigned runs;
  char path[32];
} seen_t;

/* A promise is broken.  */
void soak_broken (soak_t *soak, const char *promise, const char *format, ...)
    G_GNUC_PRINTF (3, 4);

/* The soak itself cannot go on: say why, and end with every process.  */
void soak_fail (soak_t *soak, const char *format, ...)
    G_GNUC_PRINTF (2, 3) G_GNUC_NORETURN;

/* hosts.c */
void host_init (soak_t *soak, unsigned index);
void host_start (host_t *host, bool first);
void host_signal (host_t *host, int number);
void host_tick (host_t *host);
/* The backend server breaks off, and returns as another instance.  */
void host_crash_server (host_t *host);
/* It says that it leaves.  */
void host_drain_server (host_t *host);

/* callers.c: one more request.  */
void caller_ask (soak_t *soak);
/* A request for the route of the newest configuration, at each host.  */
void caller_probe (soak_t *soak, host_t *host);

/* faults.c */
/* Draw what goes wrong within TIME, one after another and overlapping.  */
void faults_plan (soak_t *soak, cs_usec_t time);
void faults_print (const soak_t *soak);
void faults_tick (soak_t *soak, cs_usec_t now);
/* End all that is under way, and begin nothing more.  */
void faults_end (soak_t *soak);
/* Write the next version of the configuration.  */
void faults_write_config (soak_t *soak);

#endif
