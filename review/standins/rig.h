/* Stand-ins of the review: the platform's table, backend servers, clients and
   a slow link, in one process that starts the sidecars as its children.  They
   follow PROTOCOL.md; where it is silent they behave like sound ones.  */
#ifndef REVIEW_RIG_H
#define REVIEW_RIG_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <sys/types.h>

#define NODES_MAX 6

/* Write a line with the time since the start to record.txt.  */
void note (const char *format, ...) __attribute__ ((format (printf, 1, 2)));
double now_s (void);
void sleep_ms (int ms);
/* End what was started and exit with STATUS: 0 the rule held, 1 it was broken,
   2 the case could not run.  */
void finish (int status) __attribute__ ((noreturn));
/* Exit with 2 unless OK.  */
void need (bool ok, const char *what);

/* The platform's table.  */
void table_start (void);
void table_put (const char *table, const char *key, const char *text);

/* A machine: a sidecar and the ports around it.  */
typedef struct
{
  char name[32], zone[32], service[64], dir[300];
  int callers, ready, reports, peers, metrics, server;
  pid_t pid;
  bool first_start;
  int starts;
  /* Set: the process is killed when its memory exceeds so many MB, and started
     again, as the platform does.  */
  int memory_mb;
  int memory_kills;
  long peak_kb;
} machine_t;

extern machine_t machines[NODES_MAX];
extern int machine_count;
/* Add a machine; nothing is started.  */
machine_t *machine_add (const char *zone, const char *service);
void machine_write_settings (machine_t *machine);
void machine_start (machine_t *machine);
bool machine_is_ready (const machine_t *machine);
void machine_wait_ready (machine_t *machine);
/* Watch the memory of all machines that have a limit.  */
void memory_watch_start (void);

/* A request as a backend server got it.  */
typedef struct
{
  char method[16], path[512], id[128], caller_service[128];
  const char *head;
  char *body;
  size_t body_len;
} request_t;

typedef struct upstream upstream_t;
/* Answer REQUEST on FD; returns whether the connection stays open.  */
typedef bool (*upstream_handler_t) (upstream_t *upstream, request_t *request,
                                    int fd);
struct upstream
{
  char instance[64], service[64], version[16];
  int port, reports, slots;
  int64_t born_ms;
  int sequence;
  volatile bool gone; /* It has ended.  */
  int listener;
  upstream_handler_t handler;
};
/* Start a backend server beside MACHINE and report it at once, then every
   500 ms.  */
upstream_t *upstream_start (machine_t *machine, const char *service,
                            const char *instance, upstream_handler_t handler);
/* It ends: its listener is closed, and it reports no more.  */
void upstream_end (upstream_t *upstream);
/* Send a success with the seal, and with its length unless NO_LENGTH.  */
bool upstream_answer (const request_t *request, int fd, const char *body,
                      size_t len, bool no_length);

/* A client's side.  */
typedef struct
{
  int status;      /* 0: none came.  */
  char id[128];    /* Attempt-Id of the answer.  */
  bool has_length; /* It came with a length or in chunks.  */
  bool close;      /* Connection: close.  */
  bool whole;      /* By the rules of HTTP the answer is complete.  */
  bool reset;      /* The connection was reset.  */
  char retry_after[32];
  char *body;
  size_t body_len;
} answer_t;

int connect_port (int port);
bool send_all (int fd, const void *data, size_t len);
/* A reader of answers on a connection.  */
typedef struct
{
  int fd;
  char *data;
  size_t len, used, room;
  volatile size_t received; /* Bytes in all.  */
} reader_t;
void reader_init (reader_t *reader, int fd);
void reader_clear (reader_t *reader);
/* Read one answer; waits for at most TIMEOUT_S.  */
void read_answer (reader_t *reader, answer_t *answer, double timeout_s);
char *unique_id (void);

/* A link of so many bytes a second from PORT to the clients, with the segment
   size of Ethernet.  Returns the port where clients connect.  */
int link_start (int port, double bytes_per_s);

/* Wait until a request at MACHINE's node is answered with 200.  */
void wait_served (machine_t *machine, const char *host, const char *path);
int free_port (void);
/* The standard configuration: a safe route h/s/ and an unsafe one h/u/ to
   SERVICE with the time-out TIMEOUT.  */
void put_config (int version, const char *service, const char *timeout);

/* TROUBLE=0: without the disruption.  */
extern bool trouble;
int rig_run (int argc, char **argv, void (*run) (void));

#endif
