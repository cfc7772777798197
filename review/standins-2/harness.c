#ifndef _GNU_SOURCE
#define _GNU_SOURCE
#endif
#include "harness.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#define PROCESSES_MAX 256
#define HEAD_MAX 65536

int table_port;
pid_t table_pid;
static pid_t processes[PROCESSES_MAX];
static int process_count;
static FILE *record_file;
static char work_folder[256];
static struct timespec begun_at;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;

double
now_s (void)
{
  struct timespec t;
  clock_gettime (CLOCK_MONOTONIC, &t);
  return (double)(t.tv_sec - begun_at.tv_sec)
         + (double)(t.tv_nsec - begun_at.tv_nsec) / 1e9;
}

void
sleep_s (double seconds)
{
  struct timespec t = { (time_t)seconds,
                        (long)((seconds - (double)(time_t)seconds) * 1e9) };
  if (seconds > 0)
    while (nanosleep (&t, &t) != 0 && errno == EINTR)
      ;
}

static void
write_line (bool show, const char *format, va_list args)
{
  char line[4096];
  vsnprintf (line, sizeof line, format, args);
  pthread_mutex_lock (&lock);
  if (record_file)
    fprintf (record_file, "%8.3f %s\n", now_s (), line);
  if (show)
    {
      printf ("%8.3f %s\n", now_s (), line);
      fflush (stdout);
    }
  pthread_mutex_unlock (&lock);
}

void
note (const char *format, ...)
{
  va_list args;
  va_start (args, format);
  write_line (true, format, args);
  va_end (args);
}

void
record (const char *format, ...)
{
  va_list args;
  va_start (args, format);
  write_line (false, format, args);
  va_end (args);
}

void
give_up (const char *format, ...)
{
  va_list args;
  va_start (args, format);
  write_line (true, format, args);
  va_end (args);
  exit (EXIT_COULD_NOT_RUN);
}

static void
end_all (void)
{
  for (int i = 0; i < process_count; i++)
    if (processes[i] > 0)
      {
        kill (processes[i], SIGKILL);
        kill (processes[i], SIGCONT);
        waitpid (processes[i], NULL, 0);
      }
  if (work_folder[0] && getenv ("KEEP"))
    fprintf (stderr, "%s is kept\n", work_folder);
  else if (work_folder[0])
    {
      char command[512];
      snprintf (command, sizeof command, "rm -rf '%s'", work_folder);
      if (system (command) != 0)
        fprintf (stderr, "%s remains\n", work_folder);
    }
  if (record_file)
    fclose (record_file);
}

static void
on_signal (int number)
{
  (void)number;
  exit (EXIT_COULD_NOT_RUN);
}

void
case_begin (const char *folder)
{
  char path[512];
  const char *temporary = getenv ("TMPDIR");
  clock_gettime (CLOCK_MONOTONIC, &begun_at);
  signal (SIGPIPE, SIG_IGN);
  signal (SIGTERM, on_signal);
  signal (SIGINT, on_signal);
  snprintf (path, sizeof path, "%s/record.txt", folder);
  record_file = fopen (path, "w");
  snprintf (work_folder, sizeof work_folder, "%s/case-XXXXXX",
            temporary && *temporary ? temporary : "/tmp");
  if (!record_file || !mkdtemp (work_folder))
    {
      work_folder[0] = '\0';
      give_up ("cannot write to %s or make a temporary folder", folder);
    }
  atexit (end_all);
  srandom ((unsigned)begun_at.tv_nsec ^ (unsigned)getpid ());
  note ("the disruption is %s", case_trouble () ? "on" : "off");
}

bool
case_trouble (void)
{
  const char *trouble = getenv ("TROUBLE");
  return !trouble || strcmp (trouble, "0") != 0;
}

int
free_port (void)
{
  /* Below the range from which the system takes ports of its own.  */
  static int next;
  if (!next)
    next = 12000 + (int)(getpid () % 1000) * 18;
  for (int tries = 0; tries < 5000; tries++)
    {
      struct sockaddr_in address = { .sin_family = AF_INET };
      int on = 1, port = next;
      next = next >= 31000 ? 12000 : next + 1;
      address.sin_port = htons ((uint16_t)port);
      address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
      int fd = socket (AF_INET, SOCK_STREAM, 0);
      setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
      bool free = bind (fd, (struct sockaddr *)&address, sizeof address) == 0;
      close (fd);
      if (free)
        return port;
    }
  give_up ("no free port");
}

pid_t
start_process (const char *log_name, char *const argv[])
{
  char path[512];
  snprintf (path, sizeof path, "%s/%s.log", work_folder, log_name);
  pid_t pid = fork ();
  if (pid < 0 || process_count == PROCESSES_MAX)
    give_up ("cannot start %s", argv[0]);
  if (pid == 0)
    {
      int log = open (path, O_WRONLY | O_CREAT | O_APPEND, 0644);
      dup2 (log, 1);
      dup2 (log, 2);
      for (int fd = 3; fd < 1024; fd++)
        close (fd);
      signal (SIGPIPE, SIG_DFL);
      execv (argv[0], argv);
      _exit (127);
    }
  processes[process_count++] = pid;
  return pid;
}

void
end_process (pid_t pid, int number)
{
  kill (pid, number);
  waitpid (pid, NULL, 0);
  for (int i = 0; i < process_count; i++)
    if (processes[i] == pid)
      processes[i] = 0;
}

int
connect_to (int port, int receive_buffer)
{
  struct sockaddr_in address = { .sin_family = AF_INET };
  int on = 1, fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (fd < 0)
    return -1;
  if (receive_buffer)
    setsockopt (fd, SOL_SOCKET, SO_RCVBUF, &receive_buffer,
                sizeof receive_buffer);
  /* As over a network, not the 64 KB of the loopback device.  */
  if (receive_buffer)
    setsockopt (fd, IPPROTO_TCP, TCP_MAXSEG, &(int){ 1400 }, sizeof (int));
  address.sin_port = htons ((uint16_t)port);
  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  if (connect (fd, (struct sockaddr *)&address, sizeof address) != 0)
    {
      close (fd);
      return -1;
    }
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  return fd;
}

bool
send_all (int fd, const void *data, size_t len)
{
  const char *at = data;
  while (len)
    {
      ssize_t sent = send (fd, at, len, MSG_NOSIGNAL);
      if (sent <= 0)
        return false;
      at += sent;
      len -= (size_t)sent;
    }
  return true;
}

void
draw_id (char id[40])
{
  snprintf (id, 40, "%08lx%08lx", random () & 0xffffffffL,
            random () & 0xffffffffL);
}

/* Copy the value of the field NAME in HEAD to OUT; false if there is none.  */
static bool
field_of (const char *head, const char *name, char *out, size_t size)
{
  size_t len = strlen (name);
  out[0] = '\0';
  for (const char *line = strstr (head, "\r\n"); line;
       line = strstr (line, "\r\n"))
    {
      line += 2;
      if (strncasecmp (line, name, len) != 0 || line[len] != ':')
        continue;
      line += len + 1;
      while (*line == ' ')
        line++;
      size_t value_len = strcspn (line, "\r\n");
      if (value_len >= size)
        value_len = size - 1;
      memcpy (out, line, value_len);
      out[value_len] = '\0';
      return true;
    }
  return false;
}

/* Read up to SIZE bytes until UNTIL; 0 at the end, -1 for a reset, -2 for the
   time.  */
static ssize_t
read_until (int fd, char *data, size_t size, double until)
{
  for (;;)
    {
      struct pollfd wait = { .fd = fd, .events = POLLIN };
      double left = until - now_s ();
      if (left <= 0 || poll (&wait, 1, (int)(left * 1000) + 1) <= 0)
        {
          if (now_s () >= until)
            return -2;
          continue;
        }
      ssize_t n = recv (fd, data, size, 0);
      if (n < 0 && errno == EINTR)
        continue;
      return n < 0 ? -1 : n;
    }
}

answer_t
ask_on (int fd, request_t *request)
{
  answer_t answer = { 0 };
  char *head = malloc (HEAD_MAX + 1), *end = NULL, number[32], *out = NULL;
  size_t got = 0;
  bool paused = false;
  int budget = request->budget_ms ? request->budget_ms : 2000;
  double begun = now_s (), started = begun,
         until = begun
                 + (request->wait_s > 0 ? request->wait_s
                                        : (double)budget / 1000 + 1);
  if (!request->id[0])
    draw_id (request->id);
  char length_field[64] = "";
  if (request->body_len)
    snprintf (length_field, sizeof length_field, "Content-Length: %zu\r\n",
              request->body_len);
  int len
      = asprintf (&out,
                  "%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\n"
                  "Timeout-Remaining-Ms: %d\r\n%s%s\r\n",
                  request->method ? request->method : "GET", request->path,
                  request->host ? request->host : "h.example", request->id,
                  budget, length_field, request->fields ? request->fields : "");
  bool sent = send_all (fd, out, (size_t)len)
              && send_all (fd, request->body, request->body_len);
  free (out);
  while (sent && !end && got < HEAD_MAX)
    {
      ssize_t n = read_until (fd, head + got, HEAD_MAX - got, until);
      if (n <= 0)
        {
          answer.eof = n == 0;
          answer.reset = n == -1;
          break;
        }
      got += (size_t)n;
      head[got] = '\0';
      end = strstr (head, "\r\n\r\n");
    }
  if (end)
    {
      size_t head_len = (size_t)(end + 4 - head);
      char first = head[head_len - 2];
      head[head_len - 2] = '\0';
      answer.status = atoi (head + strcspn (head, " "));
      field_of (head, "Attempt-Id", answer.id, sizeof answer.id);
      field_of (head, "Response-Seal", answer.seal, sizeof answer.seal);
      answer.has_length
          = field_of (head, "Content-Length", number, sizeof number);
      answer.length = answer.has_length ? (size_t)atoll (number) : 0;
      answer.chunked
          = field_of (head, "Transfer-Encoding", number, sizeof number);
      head[head_len - 2] = first;
      answer.body_len = got - head_len;
      size_t kept = answer.body_len < sizeof answer.body - 1
                        ? answer.body_len
                        : sizeof answer.body - 1;
      memcpy (answer.body, head + head_len, kept);
      char *piece = malloc (HEAD_MAX);
      while (!answer.has_length || answer.body_len < answer.length)
        {
          size_t size = HEAD_MAX;
          if (request->pause_s > 0 && !paused
              && answer.body_len >= request->pause_after)
            {
              paused = true;
              record ("client: reads nothing of %s for %.1f s", request->id,
                      request->pause_s);
              sleep_s (request->pause_s);
              begun += request->pause_s;
            }
          if (request->bytes_per_s > 0)
            {
              double ahead = (double)answer.body_len / request->bytes_per_s
                             - (now_s () - begun);
              sleep_s (ahead);
              size = 16384;
            }
          ssize_t n = read_until (fd, piece, size, until);
          if (n <= 0)
            {
              answer.eof = n == 0;
              answer.reset = n == -1;
              break;
            }
          size_t room = sizeof answer.body - 1 - kept;
          size_t more = (size_t)n < room ? (size_t)n : room;
          memcpy (answer.body + kept, piece, more);
          kept += more;
          answer.body_len += (size_t)n;
        }
      free (piece);
      answer.whole = answer.has_length ? answer.body_len == answer.length
                                       : answer.eof;
    }
  free (head);
  answer.took_s = now_s () - started;
  return answer;
}

answer_t
ask (int port, request_t *request)
{
  int fd = connect_to (port, request->receive_buffer);
  if (fd < 0)
    return (answer_t){ .reset = true };
  answer_t answer = ask_on (fd, request);
  close (fd);
  return answer;
}

/* Send a call with a JSON body to PORT; the status of the answer.  */
static int
call_json (int port, const char *method, const char *path, const char *body)
{
  request_t request = { .method = method,
                        .path = path,
                        .body = body,
                        .body_len = strlen (body),
                        .budget_ms = 1000,
                        .fields = "Content-Type: application/json\r\n" };
  return ask (port, &request).status;
}

void
start_table (void)
{
  char port[32];
  table_port = free_port ();
  snprintf (port, sizeof port, "--port=%d", table_port);
  char *argv[] = { "target/build/standin-rows", port, NULL };
  table_pid = start_process ("table", argv);
  for (int i = 0; i < 100; i++)
    {
      int fd = connect_to (table_port, 0);
      if (fd >= 0)
        {
          close (fd);
          return;
        }
      sleep_s (0.05);
    }
  give_up ("the table does not start");
}

static char *
base64 (const char *text)
{
  static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
                               "abcdefghijklmnopqrstuvwxyz0123456789+/";
  size_t len = strlen (text);
  char *out = calloc (1, len * 4 / 3 + 8), *at = out;
  for (size_t i = 0; i < len; i += 3)
    {
      uint32_t bits = (uint32_t)(unsigned char)text[i] << 16;
      bits |= i + 1 < len ? (uint32_t)(unsigned char)text[i + 1] << 8 : 0;
      bits |= i + 2 < len ? (uint32_t)(unsigned char)text[i + 2] : 0;
      *at++ = digits[bits >> 18 & 63];
      *at++ = digits[bits >> 12 & 63];
      *at++ = i + 1 < len ? digits[bits >> 6 & 63] : '=';
      *at++ = i + 2 < len ? digits[bits & 63] : '=';
    }
  return out;
}

void
put_row (const char *table, const char *key, const char *json)
{
  char *body = NULL, *value = base64 (json);
  if (asprintf (&body,
                "{\"puts\":[{\"table\":\"%s\",\"part\":\"\",\"key\":\"%s\","
                "\"value\":\"%s\"}]}",
                table, key, value)
      < 0)
    give_up ("no memory");
  int status = call_json (table_port, "POST", "/api/rows-tx", body);
  if (status != 200)
    give_up ("the table answers %d", status);
  note ("the operator wrote %s/%s: %s", table, key, json);
  free (body);
  free (value);
}

void
node_init (node_t *node, int number, const char *dc, const char *region,
           const char *service)
{
  *node = (node_t){ .number = number };
  snprintf (node->name, sizeof node->name, "node-%d", number);
  snprintf (node->dc, sizeof node->dc, "%s", dc);
  snprintf (node->region, sizeof node->region, "%s", region);
  snprintf (node->service, sizeof node->service, "%s", service);
  int *ports[] = { &node->callers, &node->ready,   &node->reports,
                   &node->peers,   &node->metrics, &node->server };
  for (size_t i = 0; i < sizeof ports / sizeof *ports; i++)
    *ports[i] = free_port ();
}

void
node_start (node_t *node, bool first_start)
{
  char path[512], option[600];
  snprintf (path, sizeof path, "%s/%s.json", work_folder, node->name);
  FILE *file = fopen (path, "w");
  if (!file)
    give_up ("cannot write %s", path);
  fprintf (file,
           "{\"node\": \"%s\", \"data_centre\": \"%s\", \"region\": \"%s\",\n"
           " \"callers\": \"127.0.0.1:%d\", \"ready\": \"127.0.0.1:%d\",\n"
           " \"reports\": \"127.0.0.1:%d\", \"peers\": \"127.0.0.1:%d\",\n"
           " \"metrics\": \"127.0.0.1:%d\", \"service\": \"%s\",\n"
           " \"server\": \"127.0.0.1:%d\", \"table\": \"127.0.0.1:%d\",\n",
           node->name, node->dc, node->region, node->callers, node->ready,
           node->reports, node->peers, node->metrics, node->service,
           node->server, node->table ? node->table : table_port);
  if (node->advertised)
    fprintf (file, " \"advertised\": \"127.0.0.1:%d\",\n", node->advertised);
  fprintf (file,
           " \"link_mbps\": 1000.0, \"memory_mb\": 260, \"max_fds\": 4100,\n"
           " \"first_start\": %s, \"grace\": \"6s\", \"retry_ratio\": 0.2,\n"
           " \"retry_slack\": 58, \"retry_window\": \"10s\",\n %s"
           "\"exposure_share\": 0.1, \"exposure_slack\": 50}\n",
           first_start ? "true" : "false", node->extra ? node->extra : "");
  fclose (file);
  snprintf (option, sizeof option, "--settings=%s", path);
  char *argv[] = { "target/cardamom-sidecar", option, NULL };
  node->pid = start_process (node->name, argv);
}

bool
node_await_ready (const node_t *node, double seconds)
{
  double until = now_s () + seconds;
  while (now_s () < until)
    {
      request_t request = { .path = "/api/ready", .budget_ms = 500 };
      if (ask (node->ready, &request).status == 200)
        return true;
      sleep_s (0.1);
    }
  return false;
}

bool
answer_run (int fd, const run_t *run, int status, const char *fields,
            const char *body)
{
  char *out = NULL;
  int len = asprintf (&out,
                      "HTTP/1.1 %d X\r\nAttempt-Id: %s\r\n"
                      "Response-Seal: seal-%s\r\nContent-Length: %zu\r\n"
                      "%s\r\n%s",
                      status, run->id, run->id, strlen (body),
                      fields ? fields : "", body);
  bool sent = send_all (fd, out, (size_t)len);
  free (out);
  return sent;
}

typedef struct
{
  server_t *server;
  int fd;
} conn_t;

static void *
serve_conn (void *arg)
{
  conn_t conn = *(conn_t *)arg;
  free (arg);
  char *head = malloc (HEAD_MAX + 1);
  size_t got = 0;
  bool open = true;
  while (open)
    {
      char *end = NULL, number[32];
      head[got] = '\0';
      while (!(end = strstr (head, "\r\n\r\n")) && got < HEAD_MAX)
        {
          ssize_t n = recv (conn.fd, head + got, HEAD_MAX - got, 0);
          if (n <= 0)
            goto done;
          got += (size_t)n;
          head[got] = '\0';
        }
      if (!end)
        break;
      size_t head_len = (size_t)(end + 4 - head);
      char saved = head[head_len];
      head[head_len] = '\0';
      run_t run = { .head = head };
      sscanf (head, "%15s %511s", run.method, run.target);
      field_of (head, "Attempt-Id", run.id, sizeof run.id);
      field_of (head, "Caller-Service", run.caller_service,
                sizeof run.caller_service);
      field_of (head, "Tenant", run.workspace, sizeof run.workspace);
      field_of (head, "Expect-Instance", run.expected, sizeof run.expected);
      if (field_of (head, "Timeout-Remaining-Ms", number, sizeof number))
        run.remaining_ms = atoi (number);
      size_t body_len = field_of (head, "Content-Length", number,
                                  sizeof number)
                            ? (size_t)atoll (number)
                            : 0;
      head[head_len] = saved;
      char *body = malloc (body_len + 1);
      size_t have = got - head_len;
      size_t used = have < body_len ? have : body_len;
      memcpy (body, head + head_len, used);
      size_t rest = have - used;
      char *behind = malloc (rest + 1);
      memcpy (behind, head + head_len + used, rest);
      while (used < body_len)
        {
          ssize_t n = recv (conn.fd, body + used, body_len - used, 0);
          if (n <= 0)
            {
              free (body);
              free (behind);
              goto done;
            }
          used += (size_t)n;
        }
      body[body_len] = '\0';
      run.body = body;
      run.body_len = body_len;
      head[head_len - 2] = '\0';
      if (strcmp (run.target, "/health") == 0)
        {
          char text[256];
          snprintf (text, sizeof text,
                    "HTTP/1.1 %s\r\nInstance-Id: %s\r\n"
                    "Content-Length: 0\r\n\r\n",
                    strcmp (conn.server->state, "ready") == 0
                        ? "200 OK"
                        : "503 Service Unavailable",
                    conn.server->instance);
          open = send_all (conn.fd, text, strlen (text));
        }
      else if (run.expected[0]
               && strcmp (run.expected, conn.server->instance) != 0)
        {
          char text[256];
          snprintf (text, sizeof text,
                    "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: %s\r\n"
                    "Content-Length: 0\r\n\r\n",
                    conn.server->instance);
          open = send_all (conn.fd, text, strlen (text));
        }
      else
        open = conn.server->handler (conn.server, conn.fd, &run);
      memcpy (head, behind, rest);
      got = rest;
      free (body);
      free (behind);
    }
done:
  free (head);
  close (conn.fd);
  return NULL;
}

static void
start_thread (void *(*run) (void *), void *arg)
{
  pthread_t thread;
  pthread_attr_t attributes;
  pthread_attr_init (&attributes);
  pthread_attr_setstacksize (&attributes, 256 << 10);
  pthread_attr_setdetachstate (&attributes, PTHREAD_CREATE_DETACHED);
  if (pthread_create (&thread, &attributes, run, arg) != 0)
    give_up ("cannot start a thread");
}

typedef struct
{
  server_t *server;
  int listener;
} accept_t;

static void *
accept_conns (void *arg)
{
  accept_t *accepting = arg;
  for (;;)
    {
      int on = 1, fd = accept4 (accepting->listener, NULL, NULL, SOCK_CLOEXEC);
      if (fd < 0)
        continue;
      setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      conn_t *conn = malloc (sizeof *conn);
      *conn = (conn_t){ .server = accepting->server, .fd = fd };
      start_thread (serve_conn, conn);
    }
  return NULL;
}

int
server_report (server_t *server, const char *state)
{
  char path[128], body[512];
  snprintf (path, sizeof path, "/api/instances/%s", server->instance);
  snprintf (body, sizeof body,
            "{\"service\":\"%s\",\"address\":\"127.0.0.1:%d\","
            "\"zone\":\"%s\",\"version\":\"%s\",\"slots\":%d,"
            "\"state\":\"%s\",\"warmupLeft\":\"0ms\",\"sequence\":%lld,"
            "\"born\":%lld}",
            server->service, server->port, server->node->dc, server->version,
            server->slots, state,
            (long long)__atomic_add_fetch (&server->sequence, 1,
                                           __ATOMIC_SEQ_CST),
            (long long)server->born_ms);
  return call_json (server->node->reports, "PUT", path, body);
}

int
server_leave (server_t *server)
{
  char path[128], body[64];
  snprintf (path, sizeof path, "/api/instances/%s", server->instance);
  snprintf (body, sizeof body, "{\"born\":%lld}", (long long)server->born_ms);
  return call_json (server->node->reports, "DELETE", path, body);
}

static void *
report_often (void *arg)
{
  server_t *server = arg;
  for (;;)
    {
      if (!server->silent)
        server_report (server, server->state);
      sleep_s (1.5);
    }
  return NULL;
}

void
server_start (server_t *server)
{
  struct sockaddr_in address = { .sin_family = AF_INET };
  struct timespec wall;
  int on = 1, listener = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  setsockopt (listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  address.sin_port = htons ((uint16_t)server->port);
  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  if (bind (listener, (struct sockaddr *)&address, sizeof address) != 0
      || listen (listener, 1024) != 0)
    give_up ("the server cannot listen on port %d", server->port);
  clock_gettime (CLOCK_REALTIME, &wall);
  if (!server->born_ms)
    server->born_ms = wall.tv_sec * 1000LL + wall.tv_nsec / 1000000;
  if (!server->version[0])
    strcpy (server->version, "v1");
  if (!server->state[0])
    strcpy (server->state, "ready");
  if (!server->slots)
    server->slots = 12;
  accept_t *accepting = malloc (sizeof *accepting);
  *accepting = (accept_t){ .server = server, .listener = listener };
  start_thread (accept_conns, accepting);
  start_thread (report_often, server);
}
