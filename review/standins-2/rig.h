/* What the cases of this review share: processes, ports, a record, an HTTP
   client, backend servers, and the platform's calls.  A case is one program;
   all that it starts ends with it.  */
#ifndef RIG_H
#define RIG_H

#include <stdbool.h>
#include <stddef.h>
#include <sys/types.h>

#define RIG_NODES_MAX 6

enum
{
  PORT_CALLERS = 1,
  PORT_READY,
  PORT_REPORTS,
  PORT_PEERS,
  PORT_METRICS,
  PORT_SERVER = 9
};

/* Write the record to PATH, find free ports for NODES nodes, and start the
   platform's table.  Exits with 2 if that fails.  */
void rig_begin (const char *path, int nodes);
/* End all processes; exits with STATUS.  */
void rig_end (int status) __attribute__ ((noreturn));
/* Whether the disruption is wanted: TROUBLE is not 0.  */
bool rig_trouble (void);

double rig_now (void); /* Seconds since rig_begin.  */
long long rig_wall_ms (void);
void rig_sleep (double seconds);
/* Write a line with the time to the record.  */
void rig_record (const char *format, ...)
    __attribute__ ((format (printf, 1, 2)));

int rig_port (int node, int offset);

/* Start the sidecar of NODE with the command of the deploy file.  SETTINGS are
   further members of its settings file, each with a comma before it.  */
void rig_start_node (int node, bool first_start, const char *settings);
void rig_signal_node (int node, int number);
/* Wait until the process of NODE has ended.  */
void rig_await_end (int node);
/* The resident memory of its process, in KB.  */
long rig_memory_kb (int node);
bool rig_is_ready (int node);
/* Wait until NODE is ready; exits with 2 if it is not within 20 s.  */
void rig_await_ready (int node);

/* A connection of a client, kept over calls; fd is -1 when closed.  */
typedef struct
{
  int fd;
  size_t held; /* Bytes in BUFFER that are not yet used.  */
  char buffer[65536];
} rig_conn_t;

typedef struct
{
  int status; /* 0: the connection ended without a whole answer's head.  */
  bool has_length, whole, closes;
  size_t length; /* Bytes of the body that came.  */
  char head[4096];
} rig_answer_t;

bool rig_connect (rig_conn_t *conn, int port, double timeout_s);
void rig_close (rig_conn_t *conn);
/* Send a request and read the answer.  The body is read in steps of STEP bytes
   with PAUSE_MS after each; 0: at once.  */
void rig_exchange (rig_conn_t *conn, const char *method, const char *path,
                   const char *fields, const char *body, size_t step,
                   double pause_ms, rig_answer_t *answer);
/* One call on a connection of its own; returns the status.  */
int rig_call (int port, const char *method, const char *path,
              const char *fields, const char *body);
/* A new attempt id.  */
void rig_new_id (char id[24]);

/* Write an operator's row.  */
void rig_put_row (const char *key, const char *text);

/* A backend server beside a node.  */
typedef struct
{
  int node;
  char instance[32], version[16];
  long long born;
  int sequence, slots;
  double work_ms;
  /* Of the answer to a path with "/large"; all others get the instance and the
     id.  */
  size_t large_bytes;
  /* The part of its answers that have no length; large ones only.  */
  double unframed_part;
  int backlog; /* Of its listener; 0: 128.  */
  /* Its state.  */
  volatile bool leaving, gone, stands_still;
  int listener;
  volatile int run_count, unframed_count;
} rig_server_t;

/* A run at a server.  */
typedef struct
{
  double at;
  const rig_server_t *server;
  char id[24];
  bool answered;
} rig_run_t;

void rig_start_server (rig_server_t *server);
/* It ends: its connections break, and nothing listens any more.  */
void rig_stop_server (rig_server_t *server);
/* Send its report; returns the status.  */
int rig_report (rig_server_t *server, const char *state);
/* Send a report with the sequence number SEQUENCE.  */
int rig_report_as (const rig_server_t *server, const char *state,
                   int sequence);
/* Tell that it leaves; returns the status.  */
int rig_deregister (const rig_server_t *server);
/* The runs so far; the caller frees them.  */
rig_run_t *rig_runs (size_t *count);

/* Note a request of a client: when it was sent and answered, with STATUS (0:
   no whole answer's head) and WHOLE.  */
void rig_note_request (const char *id, int node, const char *kind,
                       double sent_at, int status, bool whole);
/* Write to the record, for each request noted that was sent or ran between
   FROM and TO, and with ONLY_UNANSWERED had no whole answer: when it was sent,
   where and when it ran, and what was answered.  */
void rig_record_requests (double from, double to, bool only_unanswered);

void rig_thread (void *(*run) (void *), void *user);

#endif
