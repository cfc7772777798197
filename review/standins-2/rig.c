#include "rig.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/time.h>
#include <sys/wait.h>
#include <fcntl.h>
#include <time.h>
#include <unistd.h>

#define RUNS_MAX 400000
#define SIDECAR "target/cardamom-sidecar"
#define TABLE "target/build/standin-rows"

static FILE *record;
static struct timespec started;
static char folder[64] = "";
static int base_port, node_count;
static pid_t node_pids[RIG_NODES_MAX + 1], table_pid;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static rig_run_t *runs;
static size_t run_count;
static unsigned long long last_id;

double
rig_now (void)
{
  struct timespec now;
  clock_gettime (CLOCK_MONOTONIC, &now);
  return (double)(now.tv_sec - started.tv_sec)
         + (double)(now.tv_nsec - started.tv_nsec) / 1e9;
}

long long
rig_wall_ms (void)
{
  struct timespec now;
  clock_gettime (CLOCK_REALTIME, &now);
  return (long long)now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

void
rig_sleep (double seconds)
{
  double until = rig_now () + seconds, left;
  while ((left = until - rig_now ()) > 0)
    {
      struct timespec time
          = { .tv_sec = (time_t)left,
              .tv_nsec = (long)((left - (double)(time_t)left) * 1e9) };
      nanosleep (&time, NULL);
    }
}

void
rig_record (const char *format, ...)
{
  va_list args;
  pthread_mutex_lock (&lock);
  va_start (args, format);
  fprintf (record, "%9.3f  ", rig_now ());
  vfprintf (record, format, args);
  fputc ('\n', record);
  fflush (record);
  va_end (args);
  pthread_mutex_unlock (&lock);
}

bool
rig_trouble (void)
{
  const char *trouble = getenv ("TROUBLE");
  return !trouble || strcmp (trouble, "0") != 0;
}

int
rig_port (int node, int offset)
{
  return base_port + 10 * node + offset;
}

static void
end_process (pid_t pid)
{
  if (pid <= 0)
    return;
  kill (pid, SIGCONT);
  kill (pid, SIGKILL);
  waitpid (pid, NULL, 0);
}

void
rig_end (int status)
{
  char path[128];
  for (int node = 1; node <= node_count; node++)
    end_process (node_pids[node]);
  end_process (table_pid);
  for (int node = 0; folder[0] && node <= node_count; node++)
    {
      snprintf (path, sizeof path, "%s/n%d.json", folder, node);
      unlink (path);
      snprintf (path, sizeof path, "%s/n%d.log", folder, node);
      if (!getenv ("KEEP"))
        unlink (path);
    }
  if (folder[0])
    rmdir (folder);
  fflush (record);
  _exit (status);
}

static void
on_signal (int number)
{
  (void)number;
  rig_end (2);
}

static struct sockaddr_in
loopback (int port)
{
  struct sockaddr_in address
      = { .sin_family = AF_INET, .sin_port = htons ((uint16_t)port) };
  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  return address;
}

static int
listen_on (int port, int backlog)
{
  int one = 1, fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  struct sockaddr_in address = loopback (port);
  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  if (bind (fd, (struct sockaddr *)&address, sizeof address) != 0
      || listen (fd, backlog) != 0)
    {
      close (fd);
      return -1;
    }
  return fd;
}

static bool
ports_are_free (int nodes)
{
  for (int port = base_port; port <= base_port + 10 * nodes + 9; port++)
    {
      int fd = listen_on (port, 1);
      if (fd < 0)
        return false;
      close (fd);
    }
  return true;
}

static pid_t
start_process (const char *program, const char *argument, const char *log)
{
  pid_t pid = fork ();
  if (pid)
    return pid;
  prctl (PR_SET_PDEATHSIG, SIGKILL);
  int fd = open (log, O_WRONLY | O_CREAT | O_APPEND, 0600);
  dup2 (fd, 1);
  dup2 (fd, 2);
  execl (program, program, argument, (char *)NULL);
  _exit (127);
}

void
rig_begin (const char *path, int nodes)
{
  char argument[64], log[96];
  clock_gettime (CLOCK_MONOTONIC, &started);
  signal (SIGPIPE, SIG_IGN);
  signal (SIGTERM, on_signal);
  signal (SIGINT, on_signal);
  record = fopen (path, "w");
  if (!record)
    record = stderr;
  runs = calloc (RUNS_MAX, sizeof *runs);
  node_count = nodes;
  strcpy (folder, "/tmp/review-XXXXXX");
  srand ((unsigned)getpid () * 7919u + (unsigned)started.tv_nsec);
  last_id = (unsigned long long)rig_wall_ms () << 20;
  int tries = 0;
  do
    /* Below the ports that the kernel gives to clients.  */
    base_port = 15000 + rand () % 220 * 80;
  while (!ports_are_free (nodes) && ++tries < 50);
  if (tries == 50 || !mkdtemp (folder) || access (SIDECAR, X_OK) != 0
      || access (TABLE, X_OK) != 0)
    {
      rig_record ("could not run: no ports, no temporary folder, or " SIDECAR
                  " or " TABLE " is missing");
      rig_end (2);
    }
  snprintf (argument, sizeof argument, "--port=%d", base_port);
  snprintf (log, sizeof log, "%s/n0.log", folder);
  table_pid = start_process (TABLE, argument, log);
  for (int i = 0; i < 100; i++)
    {
      if (rig_call (base_port, "GET", "/", "", NULL))
        return;
      rig_sleep (0.05);
    }
  rig_record ("could not run: the table does not start");
  rig_end (2);
}

void
rig_start_node (int node, bool first_start, const char *settings)
{
  char path[96], log[96], argument[128];
  snprintf (path, sizeof path, "%s/n%d.json", folder, node);
  snprintf (log, sizeof log, "%s/n%d.log", folder, node);
  snprintf (argument, sizeof argument, "--settings=%s", path);
  FILE *file = fopen (path, "w");
  fprintf (file,
           "{\"node\": \"sidecar-a-%d\", \"data_centre\": \"a\","
           " \"region\": \"r\", \"callers\": \"127.0.0.1:%d\","
           " \"ready\": \"127.0.0.1:%d\", \"reports\": \"127.0.0.1:%d\","
           " \"peers\": \"127.0.0.1:%d\", \"metrics\": \"127.0.0.1:%d\","
           " \"service\": \"desk\", \"server\": \"127.0.0.1:%d\","
           " \"table\": \"127.0.0.1:%d\", \"link_mbps\": 1000,"
           " \"memory_mb\": 260, \"max_fds\": 4100, \"first_start\": %s,"
           " \"grace\": \"6s\", \"retry_ratio\": 0.2, \"retry_slack\": 58,"
           " \"retry_window\": \"10s\", \"exposure_share\": 0.1,"
           " \"exposure_slack\": 50%s}\n",
           node, rig_port (node, PORT_CALLERS), rig_port (node, PORT_READY),
           rig_port (node, PORT_REPORTS), rig_port (node, PORT_PEERS),
           rig_port (node, PORT_METRICS), rig_port (node, PORT_SERVER),
           base_port, first_start ? "true" : "false",
           settings ? settings : "");
  fclose (file);
  node_pids[node] = start_process (SIDECAR, argument, log);
  rig_record ("node %d starts", node);
}

void
rig_signal_node (int node, int number)
{
  rig_record ("node %d gets signal %d (%s)", node, number, strsignal (number));
  kill (node_pids[node], number);
}

void
rig_await_end (int node)
{
  int status = 0;
  waitpid (node_pids[node], &status, 0);
  node_pids[node] = 0;
  rig_record ("node %d has ended, status %d", node, status);
}

long
rig_memory_kb (int node)
{
  char path[64], line[128];
  long kb = 0;
  snprintf (path, sizeof path, "/proc/%d/status", (int)node_pids[node]);
  FILE *file = fopen (path, "r");
  while (file && fgets (line, sizeof line, file))
    if (sscanf (line, "VmRSS: %ld kB", &kb) == 1)
      break;
  if (file)
    fclose (file);
  return kb;
}

bool
rig_is_ready (int node)
{
  return rig_call (rig_port (node, PORT_READY), "GET", "/api/ready", "", NULL)
         == 200;
}

void
rig_await_ready (int node)
{
  for (int i = 0; i < 400; i++)
    {
      if (rig_is_ready (node))
        {
          rig_record ("node %d is ready", node);
          return;
        }
      rig_sleep (0.05);
    }
  rig_record ("could not run: node %d is not ready in 20 s", node);
  rig_end (2);
}

/* The client.  */

bool
rig_connect (rig_conn_t *conn, int port, double timeout_s)
{
  struct sockaddr_in address = loopback (port);
  struct timeval limit
      = { .tv_sec = (time_t)timeout_s,
          .tv_usec = (long)((timeout_s - (double)(time_t)timeout_s) * 1e6) };
  int one = 1;
  conn->held = 0;
  conn->fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  setsockopt (conn->fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
  setsockopt (conn->fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
  setsockopt (conn->fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  if (connect (conn->fd, (struct sockaddr *)&address, sizeof address) == 0)
    return true;
  rig_close (conn);
  return false;
}

void
rig_close (rig_conn_t *conn)
{
  if (conn->fd >= 0)
    close (conn->fd);
  conn->fd = -1;
}

static bool
send_all (int fd, const char *data, size_t len)
{
  while (len)
    {
      ssize_t n = send (fd, data, len, MSG_NOSIGNAL);
      if (n <= 0)
        return false;
      data += n;
      len -= (size_t)n;
    }
  return true;
}

/* Read a head into HEAD; false if the connection ends before.  */
static bool
read_head (rig_conn_t *conn, char *head, size_t size)
{
  for (;;)
    {
      char *end = memmem (conn->buffer, conn->held, "\r\n\r\n", 4);
      if (end)
        {
          size_t len = (size_t)(end - conn->buffer) + 4;
          size_t kept = len < size - 1 ? len : size - 1;
          memcpy (head, conn->buffer, kept);
          head[kept] = '\0';
          conn->held -= len;
          memmove (conn->buffer, conn->buffer + len, conn->held);
          return true;
        }
      if (conn->held == sizeof conn->buffer)
        return false;
      ssize_t n = recv (conn->fd, conn->buffer + conn->held,
                        sizeof conn->buffer - conn->held, 0);
      if (n <= 0)
        return false;
      conn->held += (size_t)n;
    }
}

/* The value of field NAME in HEAD, copied to VALUE; false if there is none. */
static bool
find_field (const char *head, const char *name, char *value, size_t size)
{
  char pattern[64];
  snprintf (pattern, sizeof pattern, "\r\n%s:", name);
  const char *at = strcasestr (head, pattern);
  if (!at)
    return false;
  at += strlen (pattern);
  while (*at == ' ')
    at++;
  size_t len = strcspn (at, "\r");
  if (len >= size)
    len = size - 1;
  memcpy (value, at, len);
  value[len] = '\0';
  return true;
}

/* Read LENGTH bytes, or with LENGTH SIZE_MAX to the end of the connection;
   returns the bytes read, and in *CLEAN whether the connection was not
   reset.  */
static size_t
read_body (rig_conn_t *conn, size_t length, size_t step, double pause_ms,
           bool *clean)
{
  static __thread char bytes[65536];
  size_t got = conn->held < length ? conn->held : length;
  conn->held -= got;
  memmove (conn->buffer, conn->buffer + got, conn->held);
  *clean = true;
  while (got < length)
    {
      size_t most = step && step < sizeof bytes ? step : sizeof bytes;
      if (most > length - got)
        most = length - got;
      ssize_t n = recv (conn->fd, bytes, most, 0);
      if (n <= 0)
        {
          *clean = n == 0;
          return got;
        }
      got += (size_t)n;
      if (pause_ms > 0)
        rig_sleep (pause_ms / 1e3);
    }
  return got;
}

void
rig_exchange (rig_conn_t *conn, const char *method, const char *path,
              const char *fields, const char *body, size_t step,
              double pause_ms, rig_answer_t *answer)
{
  char request[8192], value[64];
  bool clean;
  *answer = (rig_answer_t){ 0 };
  int len = snprintf (request, sizeof request,
                      "%s %s HTTP/1.1\r\nHost: desk.example\r\n%s", method,
                      path, fields);
  if (body)
    len += snprintf (request + len, sizeof request - (size_t)len,
                     "Content-Type: application/json\r\n"
                     "Content-Length: %zu\r\n",
                     strlen (body));
  len += snprintf (request + len, sizeof request - (size_t)len, "\r\n");
  if (!send_all (conn->fd, request, (size_t)len)
      || (body && !send_all (conn->fd, body, strlen (body)))
      || !read_head (conn, answer->head, sizeof answer->head))
    return;
  answer->status = atoi (answer->head + strlen ("HTTP/1.1 "));
  answer->has_length
      = find_field (answer->head, "content-length", value, sizeof value);
  size_t length = answer->has_length ? strtoull (value, NULL, 10) : SIZE_MAX;
  answer->closes
      = !answer->has_length
        || (find_field (answer->head, "connection", value, sizeof value)
            && strcasecmp (value, "close") == 0);
  answer->length = read_body (conn, length, step, pause_ms, &clean);
  /* As a client has to take it: to the length, or to a clean end.  */
  answer->whole = answer->has_length ? answer->length == length : clean;
}

int
rig_call (int port, const char *method, const char *path, const char *fields,
          const char *body)
{
  rig_conn_t conn;
  rig_answer_t answer = { 0 };
  if (!rig_connect (&conn, port, 3))
    return 0;
  rig_exchange (&conn, method, path, fields, body, 0, 0, &answer);
  rig_close (&conn);
  return answer.status;
}

void
rig_new_id (char id[24])
{
  snprintf (id, 24, "%016llx",
            __atomic_add_fetch (&last_id, 1, __ATOMIC_RELAXED));
}

/* The platform.  */

static void
encode_base64 (const char *text, char *out)
{
  static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
                               "abcdefghijklmnopqrstuvwxyz0123456789+/";
  size_t len = strlen (text);
  for (size_t i = 0; i < len; i += 3)
    {
      unsigned v = (unsigned)(unsigned char)text[i] << 16;
      if (i + 1 < len)
        v |= (unsigned)(unsigned char)text[i + 1] << 8;
      if (i + 2 < len)
        v |= (unsigned char)text[i + 2];
      *out++ = digits[v >> 18];
      *out++ = digits[v >> 12 & 63];
      *out++ = i + 1 < len ? digits[v >> 6 & 63] : '=';
      *out++ = i + 2 < len ? digits[v & 63] : '=';
    }
  *out = '\0';
}

void
rig_put_row (const char *key, const char *text)
{
  static char value[65536], body[70000];
  encode_base64 (text, value);
  snprintf (body, sizeof body,
            "{\"puts\": [{\"table\": \"op\", \"part\": \"\", \"key\": \"%s\","
            " \"value\": \"%s\"}]}",
            key, value);
  int status = rig_call (base_port, "POST", "/api/rows-tx", "", body);
  rig_record ("the operator writes op/%s: %d", key, status);
  if (status != 200)
    rig_end (2);
}

/* Backend servers.  */

typedef struct
{
  rig_server_t *server;
  rig_conn_t conn;
} server_conn_t;

static rig_run_t *
note_run (rig_server_t *server, const char *id)
{
  rig_run_t *run = NULL;
  pthread_mutex_lock (&lock);
  if (run_count < RUNS_MAX)
    {
      run = &runs[run_count++];
      run->at = rig_now ();
      run->server = server;
      snprintf (run->id, sizeof run->id, "%s", id);
    }
  server->run_count++;
  pthread_mutex_unlock (&lock);
  return run;
}

rig_run_t *
rig_runs (size_t *count)
{
  pthread_mutex_lock (&lock);
  rig_run_t *copy = malloc ((run_count + 1) * sizeof *copy);
  memcpy (copy, runs, run_count * sizeof *copy);
  *count = run_count;
  pthread_mutex_unlock (&lock);
  return copy;
}

/* Answer the request with HEAD; false when the connection ends.  */
static bool
serve_request (server_conn_t *served, const char *head)
{
  static const char filler[65536];
  rig_server_t *server = served->server;
  char answer[1024], id[24] = "", expected[64] = "", value[64];
  bool clean;
  int fd = served->conn.fd;
  if (find_field (head, "content-length", value, sizeof value))
    read_body (&served->conn, strtoull (value, NULL, 10), 0, 0, &clean);
  find_field (head, "attempt-id", id, sizeof id);
  if (strncmp (head, "GET /health ", 12) == 0)
    {
      snprintf (answer, sizeof answer,
                "HTTP/1.1 %d Health\r\nInstance-Id: %s\r\n"
                "Content-Length: 0\r\n\r\n",
                server->leaving ? 503 : 200, server->instance);
      return send_all (fd, answer, strlen (answer));
    }
  if (find_field (head, "expect-instance", expected, sizeof expected)
      && strcmp (expected, server->instance) != 0)
    {
      snprintf (answer, sizeof answer,
                "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: %s\r\n"
                "Attempt-Id: %s\r\nContent-Length: 0\r\n\r\n",
                server->instance, id);
      return send_all (fd, answer, strlen (answer));
    }
  rig_run_t *run = note_run (server, id);
  rig_sleep (server->work_ms / 1e3);
  if (server->gone)
    return false;
  char text[64];
  snprintf (text, sizeof text, "%s %s", server->instance, id);
  const char *path_end = strchr (head, '\r');
  const char *mark = strstr (head, "/large");
  bool large = mark && path_end && mark < path_end && server->large_bytes;
  size_t length = large ? server->large_bytes : strlen (text);
  bool unframed = large
                  && server->unframed_count + 1
                         <= server->unframed_part * (double)server->run_count;
  server->unframed_count += unframed;
  int len = snprintf (answer, sizeof answer,
                      "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\n"
                      "Response-Seal: seal-%s\r\nServer-Load: 1,0,%d\r\n",
                      id, id, server->slots);
  len += unframed ? snprintf (answer + len, sizeof answer - (size_t)len,
                              "Connection: close\r\n\r\n")
                  : snprintf (answer + len, sizeof answer - (size_t)len,
                              "Content-Length: %zu\r\n\r\n", length);
  if (!send_all (fd, answer, (size_t)len))
    return false;
  if (!large && !send_all (fd, text, length))
    return false;
  for (size_t sent = 0; large && sent < length;)
    {
      size_t part
          = length - sent < sizeof filler ? length - sent : sizeof filler;
      if (!send_all (fd, filler, part))
        return false;
      sent += part;
    }
  if (run)
    run->answered = true;
  return !unframed;
}

typedef struct
{
  char id[24];
  const char *kind;
  double sent_at, ended_at;
  int node, status;
  bool whole;
} request_t;

static request_t *requests;
static size_t request_count;

void
rig_note_request (const char *id, int node, const char *kind, double sent_at,
                  int status, bool whole)
{
  pthread_mutex_lock (&lock);
  if (!requests)
    requests = calloc (RUNS_MAX, sizeof *requests);
  if (request_count < RUNS_MAX)
    {
      request_t *request = &requests[request_count++];
      *request = (request_t){ .kind = kind,
                              .sent_at = sent_at,
                              .ended_at = rig_now (),
                              .node = node,
                              .status = status,
                              .whole = whole };
      snprintf (request->id, sizeof request->id, "%s", id);
    }
  pthread_mutex_unlock (&lock);
}

static int
compare_requests (const void *a, const void *b)
{
  return strcmp (((const request_t *)a)->id, ((const request_t *)b)->id);
}

static int
compare_runs (const void *a, const void *b)
{
  return strcmp (((const rig_run_t *)a)->id, ((const rig_run_t *)b)->id);
}

/* Ids grow, so this is the order in which the requests were made.  */
void
rig_record_requests (double from, double to, bool only_unanswered)
{
  pthread_mutex_lock (&lock);
  rig_run_t *sorted = malloc ((run_count + 1) * sizeof *sorted);
  memcpy (sorted, runs, run_count * sizeof *sorted);
  qsort (sorted, run_count, sizeof *sorted, compare_runs);
  if (request_count)
    qsort (requests, request_count, sizeof *requests, compare_requests);
  fprintf (record, "requests: id, kind, node and second of sending; server "
                   "(version) and second of each run; answer and second\n");
  size_t at = 0;
  for (size_t i = 0; i < request_count; i++)
    {
      const request_t *request = &requests[i];
      while (at < run_count && strcmp (sorted[at].id, request->id) < 0)
        at++;
      bool wanted = request->sent_at >= from && request->sent_at <= to;
      for (size_t r = at;
           r < run_count && strcmp (sorted[r].id, request->id) == 0; r++)
        wanted |= sorted[r].at >= from && sorted[r].at <= to;
      if (!wanted || (only_unanswered && request->whole))
        continue;
      fprintf (record, "%s %s n%d %.3f;", request->id, request->kind,
               request->node, request->sent_at);
      for (; at < run_count && strcmp (sorted[at].id, request->id) == 0; at++)
        fprintf (record, " %s (%s) %.3f", sorted[at].server->instance,
                 sorted[at].server->version, sorted[at].at);
      fprintf (record, "; %d%s %.3f\n", request->status,
               request->whole ? "" : " not whole", request->ended_at);
    }
  free (sorted);
  fflush (record);
  pthread_mutex_unlock (&lock);
}

static void *
serve_conn (void *user)
{
  server_conn_t *served = user;
  char head[8192];
  while (!served->server->gone && read_head (&served->conn, head, sizeof head)
         && serve_request (served, head))
    ;
  close (served->conn.fd);
  free (served);
  return NULL;
}

static void *
accept_conns (void *user)
{
  rig_server_t *server = user;
  while (!server->gone)
    {
      struct pollfd wait = { .fd = server->listener, .events = POLLIN };
      if (server->stands_still || poll (&wait, 1, 20) <= 0)
        {
          rig_sleep (0.005);
          continue;
        }
      int one = 1, fd = accept (server->listener, NULL, NULL);
      if (fd < 0)
        continue;
      setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
      server_conn_t *served = calloc (1, sizeof *served);
      served->server = server;
      served->conn.fd = fd;
      struct timeval limit = { .tv_sec = 0, .tv_usec = 0 };
      setsockopt (fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
      rig_thread (serve_conn, served);
    }
  close (server->listener);
  return NULL;
}

void
rig_thread (void *(*run) (void *), void *user)
{
  pthread_t thread;
  pthread_attr_t attributes;
  pthread_attr_init (&attributes);
  pthread_attr_setstacksize (&attributes, 512 << 10);
  pthread_attr_setdetachstate (&attributes, PTHREAD_CREATE_DETACHED);
  if (pthread_create (&thread, &attributes, run, user) != 0)
    {
      rig_record ("could not run: no thread");
      rig_end (2);
    }
  pthread_attr_destroy (&attributes);
}

void
rig_start_server (rig_server_t *server)
{
  server->listener = listen_on (rig_port (server->node, PORT_SERVER),
                                server->backlog ? server->backlog : 128);
  if (server->listener < 0)
    {
      rig_record ("could not run: no port for %s", server->instance);
      rig_end (2);
    }
  if (!server->born)
    server->born = rig_wall_ms ();
  if (!server->slots)
    server->slots = 12;
  rig_record ("server %s (%s) starts beside node %d, born %lld",
              server->instance, server->version, server->node, server->born);
  rig_thread (accept_conns, server);
}

void
rig_stop_server (rig_server_t *server)
{
  server->gone = true;
  rig_record ("server %s ends", server->instance);
  rig_sleep (0.1);
}

int
rig_report_as (const rig_server_t *server, const char *state, int sequence)
{
  char body[512], path[64];
  snprintf (path, sizeof path, "/api/instances/%s", server->instance);
  snprintf (body, sizeof body,
            "{\"service\": \"desk\", \"address\": \"127.0.0.1:%d\","
            " \"zone\": \"a\", \"version\": \"%s\", \"slots\": %d,"
            " \"state\": \"%s\", \"warmupLeft\": \"0ms\","
            " \"sequence\": %d, \"born\": %lld}",
            rig_port (server->node, PORT_SERVER), server->version,
            server->slots, state, sequence, server->born);
  return rig_call (rig_port (server->node, PORT_REPORTS), "PUT", path, "",
                   body);
}

int
rig_report (rig_server_t *server, const char *state)
{
  return rig_report_as (server, state, ++server->sequence);
}

int
rig_deregister (const rig_server_t *server)
{
  char body[64], path[64];
  snprintf (path, sizeof path, "/api/instances/%s", server->instance);
  snprintf (body, sizeof body, "{\"born\": %lld}", server->born);
  return rig_call (rig_port (server->node, PORT_REPORTS), "DELETE", path, "",
                   body);
}
