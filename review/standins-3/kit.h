/* Parts of the clients, backend servers and operators that the cases of the
   third review play.  Plain sockets and threads; everything on loopback.  */
#ifndef REVIEW_KIT_H
#define REVIEW_KIT_H

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define HEAD_MAX 16384
#define BODY_MAX 65536
#define RUNS_MAX 20000

static FILE *record;
static double record_start;
static pthread_mutex_t record_lock = PTHREAD_MUTEX_INITIALIZER;

/* Seconds, by the steady clock.  */
static inline double
now_s (void)
{
  struct timespec t;
  clock_gettime (CLOCK_MONOTONIC, &t);
  return (double)t.tv_sec + (double)t.tv_nsec / 1e9;
}

static inline long long
wall_ms (void)
{
  struct timespec t;
  clock_gettime (CLOCK_REALTIME, &t);
  return (long long)t.tv_sec * 1000 + t.tv_nsec / 1000000;
}

static inline void
sleep_s (double s)
{
  struct timespec t = { (time_t)s, (long)((s - (double)(time_t)s) * 1e9) };
  if (s > 0)
    nanosleep (&t, NULL);
}

static inline void
sleep_until (double at)
{
  sleep_s (at - now_s ());
}

/* Write a line with the time to the record.  */
static inline void
note (const char *format, ...)
{
  va_list args;
  pthread_mutex_lock (&record_lock);
  fprintf (record, "%8.3f ", now_s () - record_start);
  va_start (args, format);
  vfprintf (record, format, args);
  va_end (args);
  fputc ('\n', record);
  fflush (record);
  pthread_mutex_unlock (&record_lock);
}

static inline void
open_record (const char *path)
{
  record = fopen (path, "w");
  if (!record)
    {
      perror (path);
      exit (2);
    }
  record_start = now_s ();
  signal (SIGPIPE, SIG_IGN);
}

static inline void
start_thread (void *(*run) (void *), void *arg)
{
  pthread_t thread;
  pthread_attr_t attr;
  pthread_attr_init (&attr);
  pthread_attr_setdetachstate (&attr, PTHREAD_CREATE_DETACHED);
  pthread_attr_setstacksize (&attr, 256 * 1024);
  if (pthread_create (&thread, &attr, run, arg) != 0)
    {
      perror ("pthread_create");
      exit (2);
    }
}

static inline struct sockaddr_in
loopback (int port)
{
  struct sockaddr_in a = { .sin_family = AF_INET,
                           .sin_port = htons ((uint16_t)port),
                           .sin_addr = { htonl (INADDR_LOOPBACK) } };
  return a;
}

/* A connection to PORT; -1 if it is refused.  */
static inline int
dial (int port)
{
  struct sockaddr_in a = loopback (port);
  int one = 1, fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (connect (fd, (struct sockaddr *)&a, sizeof a) != 0)
    {
      close (fd);
      return -1;
    }
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  return fd;
}

static inline bool
write_all (int fd, const char *data, size_t len)
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

/* A message that was read.  */
typedef struct
{
  char head[HEAD_MAX + 1];
  char body[BODY_MAX + 1];
  size_t head_len, body_len;
  char rest[HEAD_MAX + BODY_MAX]; /* Bytes that came behind it.  */
  size_t rest_len;
} message_t;

/* The value of field NAME of MESSAGE in OUT; false if there is none.  */
static inline bool
field (const message_t *m, const char *name, char *out, size_t size)
{
  size_t len = strlen (name);
  for (const char *line = strstr (m->head, "\r\n"); line && line[2] != '\r';
       line = strstr (line + 2, "\r\n"))
    {
      const char *at = line + 2;
      if (strncasecmp (at, name, len) != 0 || at[len] != ':')
        continue;
      at += len + 1;
      while (*at == ' ')
        at++;
      size_t n = strcspn (at, "\r\n");
      snprintf (out, size, "%.*s", (int)n, at);
      return true;
    }
  return false;
}

/* Read a whole message with a length from FD; false if it ends before or by
   the time UNTIL.  */
static inline bool
read_message (int fd, message_t *m, double until)
{
  char buffer[HEAD_MAX + BODY_MAX];
  size_t len = m->rest_len;
  memcpy (buffer, m->rest, len);
  for (;;)
    {
      char *end = memmem (buffer, len, "\r\n\r\n", 4);
      if (end)
        {
          char text[32];
          size_t head = (size_t)(end - buffer) + 4, body = 0;
          if (head > HEAD_MAX)
            return false;
          memcpy (m->head, buffer, head);
          m->head[head] = 0;
          if (field (m, "content-length", text, sizeof text))
            body = strtoul (text, NULL, 10);
          if (body > BODY_MAX)
            return false;
          if (len >= head + body)
            {
              m->head_len = head;
              m->body_len = body;
              memcpy (m->body, buffer + head, body);
              m->body[body] = 0;
              m->rest_len = len - head - body;
              memcpy (m->rest, buffer + head + body, m->rest_len);
              return true;
            }
        }
      double left = until - now_s ();
      struct pollfd p = { .fd = fd, .events = POLLIN };
      if (left <= 0 || poll (&p, 1, (int)(left * 1000) + 1) <= 0
          || len == sizeof buffer)
        return false;
      ssize_t n = recv (fd, buffer + len, sizeof buffer - len, 0);
      if (n <= 0)
        return false;
      len += (size_t)n;
    }
}

/* The status of the answer in M; 0 if it is none.  */
static inline int
status_of (const message_t *m)
{
  return strncmp (m->head, "HTTP/1.1 ", 9) == 0 ? atoi (m->head + 9) : 0;
}

/* Send one call on a new connection, and return the status of its answer; 0 if
   there is none within WITHIN seconds.  */
static inline int
call (int port, const char *method, const char *path, const char *fields,
      const char *body, message_t *answer, double within)
{
  char head[4096];
  int fd = dial (port), status = 0;
  if (fd < 0)
    return 0;
  int n = snprintf (head, sizeof head,
                    "%s %s HTTP/1.1\r\nHost: 127.0.0.1\r\n%s"
                    "Content-Length: %zu\r\n\r\n",
                    method, path, fields, strlen (body));
  answer->rest_len = 0;
  if (write_all (fd, head, (size_t)n) && write_all (fd, body, strlen (body))
      && read_message (fd, answer, now_s () + within))
    status = status_of (answer);
  close (fd);
  return status;
}

/* Operators: write the row KEY of the table "op".  Returns the status.  */
static inline int
put_operator_row (int store, const char *key, const char *text)
{
  static const char digits[]
      = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  size_t len = strlen (text), out = 0;
  char *value = malloc (len * 4 / 3 + 8), *body = malloc (len * 4 / 3 + 256);
  message_t *answer = calloc (1, sizeof *answer);
  for (size_t i = 0; i < len; i += 3)
    {
      unsigned a = (unsigned char)text[i],
               b = i + 1 < len ? (unsigned char)text[i + 1] : 0,
               c = i + 2 < len ? (unsigned char)text[i + 2] : 0,
               v = a << 16 | b << 8 | c;
      value[out++] = digits[v >> 18];
      value[out++] = digits[v >> 12 & 63];
      value[out++] = i + 1 < len ? digits[v >> 6 & 63] : '=';
      value[out++] = i + 2 < len ? digits[v & 63] : '=';
    }
  value[out] = 0;
  sprintf (body,
           "{\"expectedRev\":[],\"puts\":[{\"table\":\"op\",\"part\":\"\","
           "\"key\":\"%s\",\"value\":\"%s\"}],\"remove\":[]}",
           key, value);
  int status = call (store, "POST", "/api/rows-tx",
                     "Content-Type: application/json\r\n", body, answer, 5);
  free (value);
  free (body);
  free (answer);
  return status;
}

/* A backend server.  */
typedef struct
{
  const char *id, *service, *version;
  int port, reports, slots;
  double work_s;
  long long born;
  int sequence;
  bool silent; /* It reports nothing any more.  */
  int running;
  pthread_mutex_t lock;
} server_t;

/* A run of a request at a server.  */
typedef struct
{
  char id[80], path[80];
  const server_t *server;
  double began, ended; /* ENDED is 0 while it runs.  */
  double would_end;
  bool broken_off; /* Its connection was closed before its end.  */
} run_t;

static run_t runs[RUNS_MAX];
static int run_count;
static pthread_mutex_t runs_lock = PTHREAD_MUTEX_INITIALIZER;

typedef struct
{
  server_t *server;
  int fd;
} server_conn_t;

/* Work until UNTIL, or until the connection is closed.  */
static inline bool
work (int fd, double until)
{
  for (;;)
    {
      char c;
      double left = until - now_s ();
      struct pollfd p = { .fd = fd, .events = POLLIN | POLLRDHUP };
      if (left <= 0)
        return true;
      if (poll (&p, 1, (int)(left * 1000) + 1) > 0)
        {
          if (p.revents & (POLLHUP | POLLERR | POLLRDHUP)
              || recv (fd, &c, 1, MSG_PEEK | MSG_DONTWAIT) == 0)
            return false;
          sleep_s (0.005);
        }
    }
}

static inline void *
serve_connection (void *arg)
{
  server_conn_t conn = *(server_conn_t *)arg;
  server_t *s = conn.server;
  message_t *m = calloc (1, sizeof *m);
  free (arg);
  while (read_message (conn.fd, m, now_s () + 100))
    {
      char id[80] = "", expected[80] = "", left[32], path[80] = "", out[512];
      sscanf (m->head, "%*s %79s", path);
      if (strcmp (path, "/health") == 0)
        {
          int n = snprintf (out, sizeof out,
                            "HTTP/1.1 %s\r\nInstance-Id: %s\r\n"
                            "Content-Length: 0\r\n\r\n",
                            s->silent ? "503 Service Unavailable" : "200 OK",
                            s->id);
          write_all (conn.fd, out, (size_t)n);
          continue;
        }
      field (m, "attempt-id", id, sizeof id);
      if (field (m, "expect-instance", expected, sizeof expected)
          && strcmp (expected, s->id) != 0)
        {
          int n = snprintf (out, sizeof out,
                            "HTTP/1.1 421 Misdirected Request\r\n"
                            "Instance-Id: %s\r\nContent-Length: 0\r\n\r\n",
                            s->id);
          write_all (conn.fd, out, (size_t)n);
          continue;
        }
      pthread_mutex_lock (&s->lock);
      bool full = s->running >= s->slots;
      s->running += !full;
      pthread_mutex_unlock (&s->lock);
      if (full)
        {
          int n = snprintf (out, sizeof out,
                            "HTTP/1.1 503 Service Unavailable\r\n"
                            "Attempt-Id: %s\r\nNot-Run: 1\r\n"
                            "Content-Length: 0\r\n\r\n",
                            id);
          write_all (conn.fd, out, (size_t)n);
          continue;
        }
      double began = now_s (), end = began + s->work_s, limit = 1e9;
      if (field (m, "timeout-remaining-ms", left, sizeof left))
        limit = began + atof (left) / 1e3;
      pthread_mutex_lock (&runs_lock);
      int r = run_count < RUNS_MAX ? run_count++ : RUNS_MAX - 1;
      runs[r] = (run_t){ .server = s, .began = began, .would_end = end };
      snprintf (runs[r].id, sizeof runs[r].id, "%s", id);
      snprintf (runs[r].path, sizeof runs[r].path, "%s", path);
      pthread_mutex_unlock (&runs_lock);
      bool kept = work (conn.fd, end < limit ? end : limit);
      pthread_mutex_lock (&s->lock);
      s->running--;
      pthread_mutex_unlock (&s->lock);
      pthread_mutex_lock (&runs_lock);
      runs[r].ended = now_s ();
      runs[r].broken_off = !kept;
      pthread_mutex_unlock (&runs_lock);
      if (!kept)
        break;
      int n = snprintf (out, sizeof out,
                        "HTTP/1.1 %s\r\nAttempt-Id: %s\r\n"
                        "Response-Seal: seal-%s\r\nContent-Length: 2\r\n\r\n"
                        "ok",
                        end < limit ? "200 OK" : "504 Gateway Timeout", id,
                        id);
      if (!write_all (conn.fd, out, (size_t)n))
        break;
    }
  close (conn.fd);
  free (m);
  return NULL;
}

static inline void *
accept_connections (void *arg)
{
  server_t *s = arg;
  int one = 1, fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  struct sockaddr_in a = loopback (s->port);
  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  if (bind (fd, (struct sockaddr *)&a, sizeof a) != 0 || listen (fd, 100) != 0)
    {
      perror ("server");
      exit (2);
    }
  for (;;)
    {
      int c = accept (fd, NULL, NULL);
      if (c < 0)
        continue;
      setsockopt (c, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
      server_conn_t *conn = malloc (sizeof *conn);
      *conn = (server_conn_t){ .server = s, .fd = c };
      start_thread (serve_connection, conn);
    }
}

/* The status report of S with SEQUENCE; returns the status of its answer.  */
static inline int
send_report (const server_t *s, const char *state, int sequence)
{
  char path[160], body[600];
  message_t *answer = calloc (1, sizeof *answer);
  snprintf (path, sizeof path, "/api/instances/%s", s->id);
  snprintf (body, sizeof body,
            "{\"service\":\"%s\",\"address\":\"127.0.0.1:%d\",\"zone\":\"a\","
            "\"version\":\"%s\",\"slots\":%d,\"state\":\"%s\","
            "\"warmupLeft\":\"0ms\",\"sequence\":%d,\"born\":%lld}",
            s->service, s->port, s->version, s->slots, state, sequence,
            s->born);
  int status = call (s->reports, "PUT", path,
                     "Content-Type: application/json\r\n", body, answer, 1);
  free (answer);
  return status;
}

static inline int
send_leave (const server_t *s)
{
  char path[160], body[80];
  message_t *answer = calloc (1, sizeof *answer);
  snprintf (path, sizeof path, "/api/instances/%s", s->id);
  snprintf (body, sizeof body, "{\"born\":%lld}", s->born);
  int status = call (s->reports, "DELETE", path,
                     "Content-Type: application/json\r\n", body, answer, 1);
  free (answer);
  return status;
}

/* Report every 1.5 s, the platform's heartbeat.  */
static inline void *
report_regularly (void *arg)
{
  server_t *s = arg;
  while (!s->silent)
    {
      send_report (s, "ready", ++s->sequence);
      for (int i = 0; i < 15 && !s->silent; i++)
        sleep_s (0.1);
    }
  return NULL;
}

static inline void
start_server (server_t *s)
{
  s->born = wall_ms ();
  pthread_mutex_init (&s->lock, NULL);
  start_thread (accept_connections, s);
  start_thread (report_regularly, s);
}

/* A way to the platform's table that can be cut.  */
typedef struct
{
  int port, table;
  volatile bool down; /* Connections are reset.  */
} way_t;

typedef struct
{
  way_t *way;
  int fd;
} way_conn_t;

static inline void
reset_and_close (int fd)
{
  struct linger hard = { .l_onoff = 1 };
  setsockopt (fd, SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
  close (fd);
}

static inline void *
pass_on (void *arg)
{
  way_conn_t conn = *(way_conn_t *)arg;
  char buffer[65536];
  free (arg);
  int there = conn.way->down ? -1 : dial (conn.way->table);
  struct pollfd p[2] = { { .fd = conn.fd, .events = POLLIN },
                         { .fd = there, .events = POLLIN } };
  while (there >= 0 && !conn.way->down)
    {
      if (poll (p, 2, 20) <= 0 || conn.way->down)
        continue;
      for (int i = 0; i < 2; i++)
        if (p[i].revents)
          {
            ssize_t n = recv (p[i].fd, buffer, sizeof buffer, 0);
            if (n <= 0 || !write_all (p[1 - i].fd, buffer, (size_t)n))
              goto end;
          }
    }
end:
  reset_and_close (conn.fd);
  if (there >= 0)
    reset_and_close (there);
  return NULL;
}

static inline void *
accept_way (void *arg)
{
  way_t *way = arg;
  int one = 1, fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  struct sockaddr_in a = loopback (way->port);
  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  if (bind (fd, (struct sockaddr *)&a, sizeof a) != 0 || listen (fd, 100) != 0)
    {
      perror ("way");
      exit (2);
    }
  for (;;)
    {
      int c = accept (fd, NULL, NULL);
      if (c < 0)
        continue;
      way_conn_t *conn = malloc (sizeof *conn);
      *conn = (way_conn_t){ .way = way, .fd = c };
      start_thread (pass_on, conn);
    }
}

/* Whether the node that answers readiness at PORT is ready.  */
static inline bool
is_ready (int port)
{
  message_t *answer = calloc (1, sizeof *answer);
  bool ready = call (port, "GET", "/api/ready", "", "", answer, 1) == 200;
  free (answer);
  return ready;
}

static inline void
await_ready (int port)
{
  for (double until = now_s () + 20; !is_ready (port); sleep_s (0.1))
    if (now_s () > until)
      {
        fprintf (stderr, "the node at port %d is not ready\n", port);
        exit (2);
      }
}

#endif
