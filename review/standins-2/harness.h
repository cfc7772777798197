/* What case 8 and some variants share: processes, rows of the table, settings
   of nodes, a backend server and callers.  Plain HTTP/1.1 over loopback.  */
#ifndef REVIEW_HARNESS_H
#define REVIEW_HARNESS_H

#include <stdarg.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

#define EXIT_HELD 0
#define EXIT_BROKEN 1
#define EXIT_COULD_NOT_RUN 2

/* FOLDER is that of the case; record.txt is written there.  Ends all started
   processes at exit.  */
void case_begin (const char *folder);
/* Whether the disruption is wanted: not with TROUBLE=0.  */
bool case_trouble (void);
/* A line for record.txt and for standard output, with the time.  */
void note (const char *format, ...) __attribute__ ((format (printf, 1, 2)));
/* The same, for record.txt only.  */
void record (const char *format, ...) __attribute__ ((format (printf, 1, 2)));
/* End the case as one that could not run.  */
void give_up (const char *format, ...)
    __attribute__ ((format (printf, 1, 2), noreturn));
/* Seconds since case_begin.  */
double now_s (void);
void sleep_s (double seconds);
int free_port (void);

pid_t start_process (const char *log_name, char *const argv[]);
void end_process (pid_t pid, int signal);

/* The platform's table: the project's standin-rows.  */
extern int table_port;
extern pid_t table_pid;
void start_table (void);
void put_row (const char *table, const char *key, const char *json);

typedef struct
{
  int number;
  char name[32], dc[32], region[32], service[32];
  int callers, ready, reports, peers, metrics, server, table;
  int advertised;    /* 0: the same as PEERS.  */
  const char *extra; /* Further settings, each with a comma behind it.  */
  pid_t pid;
} node_t;

/* Choose the ports of NODE.  */
void node_init (node_t *node, int number, const char *dc, const char *region,
                const char *service);
void node_start (node_t *node, bool first_start);
/* Wait until NODE says that it is ready.  */
bool node_await_ready (const node_t *node, double seconds);

typedef struct
{
  int status; /* 0: no whole head came.  */
  char id[64], seal[64], caller_service[64];
  bool has_length, chunked, eof, reset, whole;
  size_t length, body_len;
  char body[256]; /* Its beginning.  */
  double took_s;
} answer_t;

/* Options of one request; 0 is the default of each.  */
typedef struct
{
  const char *method, *host, *path, *fields;
  const char *body;
  size_t body_len;
  int budget_ms;
  double wait_s;          /* For the answer; 0: the budget and a second.  */
  double bytes_per_s;     /* At which the answer is read; 0: at once.  */
  int receive_buffer;     /* SO_RCVBUF; 0: the default.  */
  /* After so many bytes of the body nothing is read for PAUSE_S.  */
  size_t pause_after;
  double pause_s;
  char id[40];            /* Drawn if empty.  */
} request_t;

int connect_to (int port, int receive_buffer);
/* Send REQUEST on a new connection to PORT, and read the answer.  */
answer_t ask (int port, request_t *request);
/* The same on the open connection FD.  */
answer_t ask_on (int fd, request_t *request);
void draw_id (char id[40]);

/* A backend server in this process.  */
typedef struct server server_t;
typedef struct
{
  char method[16], target[512], id[64], caller_service[64], workspace[64],
      expected[64];
  int remaining_ms;
  const char *head;
  const char *body;
  size_t body_len;
} run_t;
/* Handle RUN on the connection FD; false closes it.  */
typedef bool (*handler_t) (server_t *server, int fd, const run_t *run);

struct server
{
  int port;
  char instance[64], service[32], version[16], state[16];
  int slots;
  int64_t born_ms, sequence;
  const node_t *node; /* To which it reports.  */
  handler_t handler;
  volatile bool silent; /* It sends no reports.  */
  void *user;
};
void server_start (server_t *server);
/* Send one report, in STATE; the status of the answer.  */
int server_report (server_t *server, const char *state);
int server_leave (server_t *server);
bool send_all (int fd, const void *data, size_t len);
/* Answer RUN with STATUS and BODY.  */
bool answer_run (int fd, const run_t *run, int status, const char *fields,
                 const char *body);

#endif
