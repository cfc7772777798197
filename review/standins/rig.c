
#include "rig.h"

#include <arpa/inet.h>
#include <ctype.h>
#include <errno.h>
#include <fcntl.h>
#include <jansson.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

machine_t machines[NODES_MAX];
int machine_count;
bool trouble = true;
static FILE *record;
static pthread_mutex_t record_lock = PTHREAD_MUTEX_INITIALIZER;
static double started_at;
static char work_dir[256];
static int table_port;
static volatile bool ending;

static double
clock_s (void)
{
  struct timespec t;
  clock_gettime (CLOCK_MONOTONIC, &t);
  return (double)t.tv_sec + (double)t.tv_nsec / 1e9;
}

double
now_s (void)
{
  return clock_s () - started_at;
}

void
sleep_ms (int ms)
{
  struct timespec t = { ms / 1000, (long)(ms % 1000) * 1000000 };
  while (nanosleep (&t, &t) != 0)
    ;
}

void
note (const char *format, ...)
{
  va_list args;
  char line[1024];
  va_start (args, format);
  vsnprintf (line, sizeof line, format, args);
  va_end (args);
  pthread_mutex_lock (&record_lock);
  fprintf (record, "%9.3f s  %s\n", now_s (), line);
  fflush (record);
  pthread_mutex_unlock (&record_lock);
}

void
finish (int status)
{
  ending = true;
  for (int i = 0; i < machine_count; i++)
    if (machines[i].pid > 0)
      {
        kill (machines[i].pid, SIGCONT);
        kill (machines[i].pid, SIGKILL);
        waitpid (machines[i].pid, NULL, 0);
      }
  note ("result: %s", status == 0   ? "the rule held"
                      : status == 1 ? "the rule was broken"
                                    : "the case could not run");
  char command[400];
  snprintf (command, sizeof command, "rm -rf '%s'", work_dir);
  if (!getenv ("KEEP_LOGS") && system (command) != 0)
    note ("the temporary folder stays");
  printf ("%s\n", status == 0   ? "held"
                  : status == 1 ? "broken"
                                : "could not run");
  fflush (stdout);
  _exit (status);
}

void
need (bool ok, const char *what)
{
  if (ok)
    return;
  note ("needed: %s", what);
  finish (2);
}

/* A port that nobody listens on, below those of outgoing connections.  */
int
free_port (void)
{
  static int next;
  struct sockaddr_in at = { .sin_family = AF_INET };
  at.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  if (!next)
    {
      struct timespec t;
      clock_gettime (CLOCK_REALTIME, &t);
      next = 10000 + (int)((t.tv_nsec / 1000 + getpid () * 97L) % 9000);
    }
  for (int tries = 0; tries < 2000; tries++)
    {
      int port = next++;
      int fd = socket (AF_INET, SOCK_STREAM, 0);
      at.sin_port = htons ((uint16_t)port);
      bool is_free = bind (fd, (struct sockaddr *)&at, sizeof at) == 0;
      close (fd);
      if (is_free)
        return port;
    }
  need (false, "a free port");
  return 0;
}

static int
listen_port (int port)
{
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0), one = 1;
  struct sockaddr_in at
      = { .sin_family = AF_INET, .sin_port = htons ((uint16_t)port) };
  at.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  need (bind (fd, (struct sockaddr *)&at, sizeof at) == 0
            && listen (fd, 511) == 0,
        "a port to listen on");
  return fd;
}

static int
connect_with (int port, int segment, int window)
{
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0), one = 1;
  struct sockaddr_in at
      = { .sin_family = AF_INET, .sin_port = htons ((uint16_t)port) };
  at.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  if (segment)
    setsockopt (fd, IPPROTO_TCP, TCP_MAXSEG, &segment, sizeof segment);
  if (window)
    setsockopt (fd, SOL_SOCKET, SO_RCVBUF, &window, sizeof window);
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  if (connect (fd, (struct sockaddr *)&at, sizeof at) != 0)
    {
      close (fd);
      return -1;
    }
  return fd;
}

int
connect_port (int port)
{
  return connect_with (port, 0, 0);
}

bool
send_all (int fd, const void *data, size_t len)
{
  const char *at = data;
  while (len)
    {
      ssize_t n = send (fd, at, len, MSG_NOSIGNAL);
      if (n < 0 && errno == EINTR)
        continue;
      if (n <= 0)
        return false;
      at += n;
      len -= (size_t)n;
    }
  return true;
}

static void
start_thread (void *(*run) (void *), void *arg)
{
  pthread_t thread;
  need (pthread_create (&thread, NULL, run, arg) == 0, "a thread");
  pthread_detach (thread);
}

/* The field NAME of HEAD, in OUT; whether it is there.  */
static bool
head_field (const char *head, const char *name, char *out, size_t room)
{
  size_t len = strlen (name);
  for (const char *line = strstr (head, "\r\n"); line;
       line = strstr (line, "\r\n"))
    {
      line += 2;
      if (strncasecmp (line, name, len) != 0 || line[len] != ':')
        continue;
      line += len + 1;
      while (*line == ' ')
        line++;
      size_t value = strcspn (line, "\r\n");
      if (value >= room)
        value = room - 1;
      memcpy (out, line, value);
      out[value] = '\0';
      return true;
    }
  out[0] = '\0';
  return false;
}

/* Messages read from a connection.  */
void
reader_init (reader_t *reader, int fd)
{
  *reader = (reader_t){ .fd = fd };
}

void
reader_clear (reader_t *reader)
{
  free (reader->data);
  if (reader->fd >= 0)
    close (reader->fd);
  *reader = (reader_t){ .fd = -1 };
}

/* Read more; 1: bytes came, 0: end, -1: error, -2: time-out.  */
static int
read_more (reader_t *reader, double until)
{
  if (reader->used)
    {
      memmove (reader->data, reader->data + reader->used,
               reader->len - reader->used);
      reader->len -= reader->used;
      reader->used = 0;
    }
  if (reader->room - reader->len < 65536)
    {
      reader->room = reader->room * 2 + 131072;
      reader->data = realloc (reader->data, reader->room + 1);
    }
  struct pollfd wait = { .fd = reader->fd, .events = POLLIN };
  double left = until - clock_s ();
  if (left <= 0 || poll (&wait, 1, (int)(left * 1e3) + 1) == 0)
    return -2;
  ssize_t n = recv (reader->fd, reader->data + reader->len,
                    reader->room - reader->len, 0);
  if (n <= 0)
    return n == 0 ? 0 : -1;
  reader->len += (size_t)n;
  reader->received += (size_t)n;
  reader->data[reader->len] = '\0';
  return 1;
}

/* Read up to the end of a head; returns a copy, or NULL with RESULT as
   read_more gives it.  */
static char *
read_head (reader_t *reader, double until, int *result)
{
  for (;;)
    {
      char *from = reader->data ? reader->data + reader->used : NULL;
      char *end
          = from ? memmem (from, reader->len - reader->used, "\r\n\r\n", 4)
                 : NULL;
      if (end)
        {
          size_t len = (size_t)(end - from) + 4;
          char *head = strndup (from, len);
          reader->used += len;
          *result = 1;
          return head;
        }
      *result = read_more (reader, until);
      if (*result != 1)
        return NULL;
    }
}

static bool
read_bytes (reader_t *reader, size_t len, double until, int *result)
{
  *result = 1;
  while (reader->len - reader->used < len)
    if ((*result = read_more (reader, until)) != 1)
      return false;
  return true;
}

void
read_answer (reader_t *reader, answer_t *answer, double timeout_s)
{
  double until = clock_s () + timeout_s;
  char value[128];
  int result;
  *answer = (answer_t){ 0 };
  char *head = read_head (reader, until, &result);
  answer->reset = result == -1;
  if (!head)
    return;
  answer->status = atoi (head + strcspn (head, " "));
  head_field (head, "Attempt-Id", answer->id, sizeof answer->id);
  head_field (head, "Retry-After", answer->retry_after,
              sizeof answer->retry_after);
  answer->close = head_field (head, "Connection", value, sizeof value)
                  && strcasecmp (value, "close") == 0;
  if (head_field (head, "Content-Length", value, sizeof value))
    {
      size_t len = (size_t)atoll (value);
      answer->has_length = true;
      answer->whole = read_bytes (reader, len, until, &result);
      answer->body_len = answer->whole ? len : reader->len - reader->used;
      answer->body = malloc (answer->body_len + 1);
      if (answer->body_len)
        memcpy (answer->body, reader->data + reader->used, answer->body_len);
      reader->used += answer->body_len;
    }
  else if (head_field (head, "Transfer-Encoding", value, sizeof value))
    {
      answer->has_length = true;
      for (;;)
        {
          char *end = NULL, *from;
          do
            {
              from = reader->data + reader->used;
              end = memmem (from, reader->len - reader->used, "\r\n", 2);
            }
          while (!end && (result = read_more (reader, until)) == 1);
          if (!end)
            break;
          size_t chunk = strtoul (from, NULL, 16);
          reader->used += (size_t)(end - from) + 2;
          if (!read_bytes (reader, chunk + 2, until, &result))
            break;
          answer->body = realloc (answer->body, answer->body_len + chunk + 1);
          memcpy (answer->body + answer->body_len, reader->data + reader->used,
                  chunk);
          answer->body_len += chunk;
          reader->used += chunk + 2;
          if (!chunk)
            {
              answer->whole = true;
              break;
            }
        }
    }
  else
    {
      while ((result = read_more (reader, until)) == 1)
        ;
      answer->whole = result == 0;
      answer->body_len = reader->len - reader->used;
      answer->body = malloc (answer->body_len + 1);
      memcpy (answer->body, reader->data + reader->used, answer->body_len);
      reader->used = reader->len;
    }
  answer->reset = result == -1;
  free (head);
}

char *
unique_id (void)
{
  static int last;
  char *id;
  if (asprintf (&id, "%08x%08x", (unsigned)getpid (),
                (unsigned)__sync_add_and_fetch (&last, 1))
      < 0)
    abort ();
  return id;
}

/* The table.  */
typedef struct
{
  char *table, *key, *value; /* VALUE in base64; NULL: removed.  */
  json_int_t ver;
} row_t;

static row_t table_rows[512];
static int row_count;
static json_int_t newest_ver;
static pthread_mutex_t table_lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t table_changed = PTHREAD_COND_INITIALIZER;

static row_t *
find_row (const char *table, const char *key)
{
  for (int i = 0; i < row_count; i++)
    if (!strcmp (table_rows[i].table, table)
        && !strcmp (table_rows[i].key, key))
      return &table_rows[i];
  return NULL;
}

static void
set_row (const char *table, const char *key, const char *value)
{
  row_t *row = find_row (table, key);
  if (!row)
    {
      need (row_count < 512, "room in the table");
      row = &table_rows[row_count++];
      row->table = strdup (table);
      row->key = strdup (key);
    }
  free (row->value);
  row->value = value ? strdup (value) : NULL;
  row->ver = newest_ver;
}

static json_t *
row_json (const row_t *row)
{
  json_t *out = json_pack ("{s:s,s:s,s:s,s:I}", "table", row->table, "part",
                           "", "key", row->key, "ver", row->ver);
  if (row->value)
    json_object_set_new (out, "value", json_string (row->value));
  else
    json_object_set_new (out, "tombstone", json_true ());
  return out;
}

static int
compare_rows (const void *a, const void *b)
{
  return strcmp ((*(row_t *const *)a)->key, (*(row_t *const *)b)->key);
}

/* The rows of TABLE: all that exist in the order of their keys, or, with
   AFTER >= 0, those changed since.  */
static json_t *
rows_json (const char *table, json_int_t after)
{
  json_t *list = json_array ();
  row_t *found[512];
  int n = 0;
  for (int i = 0; i < row_count; i++)
    if (!strcmp (table_rows[i].table, table)
        && (after >= 0 ? table_rows[i].ver > after
                       : table_rows[i].value != NULL))
      found[n++] = &table_rows[i];
  qsort (found, (size_t)n, sizeof *found, compare_rows);
  for (int i = 0; i < n; i++)
    json_array_append_new (list, row_json (found[i]));
  return list;
}

static char *
query_value (const char *path, const char *name)
{
  const char *at = strchr (path, '?');
  size_t len = strlen (name);
  while (at)
    {
      at++;
      if (!strncmp (at, name, len) && at[len] == '=')
        return strndup (at + len + 1, strcspn (at + len + 1, "& "));
      at = strchr (at, '&');
    }
  return strdup ("");
}

static json_t *
with_ver (json_t *rows)
{
  char now[32];
  snprintf (now, sizeof now, "%.0fms", now_s () * 1e3);
  return json_pack ("{s:o,s:b,s:I,s:s}", "rows", rows, "hasMore", 0, "ver",
                    newest_ver, "now", now);
}

static json_t *
transact (const char *body, int *status)
{
  json_t *root = json_loads (body, 0, NULL), *entry, *current = json_array ();
  size_t i;
  bool holds = true;
#define TEXT(e, n) json_string_value (json_object_get (e, n))
  json_array_foreach (json_object_get (root, "expectedRev"), i, entry)
  {
    const row_t *row = find_row (TEXT (entry, "table"), TEXT (entry, "key"));
    json_int_t ver = row && row->value ? row->ver : 0;
    holds &= ver == json_integer_value (json_object_get (entry, "ver"));
    if (ver)
      json_array_append_new (current, row_json (row));
  }
  if (holds)
    {
      newest_ver++;
      json_array_foreach (json_object_get (root, "puts"), i, entry) set_row (
          TEXT (entry, "table"), TEXT (entry, "key"), TEXT (entry, "value"));
      json_array_foreach (json_object_get (root, "remove"), i, entry)
          set_row (TEXT (entry, "table"), TEXT (entry, "key"), NULL);
      pthread_cond_broadcast (&table_changed);
      json_array_clear (current);
    }
  *status = holds ? 200 : 412;
  json_decref (root);
  return with_ver (current);
}

static void *
serve_table_conn (void *arg)
{
  reader_t reader;
  char method[16], path[1024], value[64];
  int result;
  reader_init (&reader, (int)(intptr_t)arg);
  for (;;)
    {
      char *head = read_head (&reader, clock_s () + 60, &result);
      if (!head)
        break;
      if (sscanf (head, "%15s %1023s", method, path) != 2)
        break;
      size_t len = head_field (head, "Content-Length", value, sizeof value)
                       ? (size_t)atoll (value)
                       : 0;
      free (head);
      if (!read_bytes (&reader, len, clock_s () + 10, &result))
        break;
      char *body = strndup (reader.data + reader.used, len);
      reader.used += len;
      json_t *out = NULL;
      int status = 200;
      sleep_ms (4); /* As the sheets say of the store.  */
      char *table = query_value (path, "table"),
           *after = query_value (path, "after"),
           *wait = query_value (path, "waitMs");
      pthread_mutex_lock (&table_lock);
      if (!strncmp (path, "/api/rows-tx", 12))
        out = transact (body, &status);
      else if (!strncmp (path, "/api/rows-get", 13))
        out = with_ver (rows_json (table, -1));
      else if (!strncmp (path, "/api/rows-feed", 14))
        {
          struct timespec until;
          clock_gettime (CLOCK_REALTIME, &until);
          long ms = atol (wait);
          until.tv_sec += ms / 1000;
          until.tv_nsec += ms % 1000 * 1000000;
          if (until.tv_nsec >= 1000000000)
            until.tv_sec++, until.tv_nsec -= 1000000000;
          json_t *rows;
          while (
              json_array_size (rows = rows_json (table, atoll (after))) == 0
              && pthread_cond_timedwait (&table_changed, &table_lock, &until)
                     == 0)
            json_decref (rows);
          out = with_ver (rows);
        }
      else
        status = 404, out = json_object ();
      pthread_mutex_unlock (&table_lock);
      char *text = json_dumps (out, JSON_COMPACT), first[200];
      json_decref (out);
      int n = snprintf (first, sizeof first,
                        "HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
                        "Content-Length: %zu\r\n\r\n",
                        status, strlen (text));
      bool sent = send_all (reader.fd, first, (size_t)n)
                  && send_all (reader.fd, text, strlen (text));
      free (text), free (body), free (table), free (after), free (wait);
      if (!sent)
        break;
    }
  reader_clear (&reader);
  return NULL;
}

typedef struct
{
  int fd;
  void *(*serve) (void *);
} listener_t;

static void *
accept_loop (void *arg)
{
  listener_t *listener = arg;
  for (;;)
    {
      int fd = accept4 (listener->fd, NULL, NULL, SOCK_CLOEXEC), one = 1;
      if (fd < 0)
        return NULL;
      setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
      start_thread (listener->serve, (void *)(intptr_t)fd);
    }
}

void
table_start (void)
{
  static listener_t listener;
  table_port = free_port ();
  listener = (listener_t){ listen_port (table_port), serve_table_conn };
  start_thread (accept_loop, &listener);
}

void
table_put (const char *table, const char *key, const char *text)
{
  static const char digits[]
      = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  size_t len = strlen (text), at = 0;
  char *out = malloc (len * 4 / 3 + 8);
  for (size_t i = 0; i < len; i += 3)
    {
      unsigned long v = (unsigned long)(unsigned char)text[i] << 16;
      v |= i + 1 < len ? (unsigned long)(unsigned char)text[i + 1] << 8 : 0;
      v |= i + 2 < len ? (unsigned long)(unsigned char)text[i + 2] : 0;
      out[at++] = digits[v >> 18 & 63];
      out[at++] = digits[v >> 12 & 63];
      out[at++] = i + 1 < len ? digits[v >> 6 & 63] : '=';
      out[at++] = i + 2 < len ? digits[v & 63] : '=';
    }
  out[at] = '\0';
  pthread_mutex_lock (&table_lock);
  newest_ver++;
  set_row (table, key, out);
  pthread_cond_broadcast (&table_changed);
  pthread_mutex_unlock (&table_lock);
  free (out);
}

void
put_config (int version, const char *service, const char *timeout)
{
  char *text;
  if (asprintf (
          &text,
          "{\"version\":\"%08x\",\"routes\":{"
          "\"r-safe\":{\"host\":\"h.example\",\"prefix\":\"/s/\","
          "\"kind\":\"safe\",\"timeout\":\"%s\",\"targetLatency\":\"1200ms\","
          "\"priority\":2,\"service\":\"%s\",\"maxAttempts\":2},"
          "\"r-unsafe\":{\"host\":\"h.example\",\"prefix\":\"/u/\","
          "\"kind\":\"unsafe\",\"timeout\":\"%s\","
          "\"targetLatency\":\"1500ms\",\"priority\":1,\"service\":\"%s\","
          "\"maxAttempts\":2}},"
          "\"services\":{\"%s\":{\"healthPath\":\"/health\","
          "\"maxConnections\":110,\"protocol\":\"h1\",\"tls\":false},"
          "\"other\":{\"healthPath\":\"/health\",\"maxConnections\":110,"
          "\"protocol\":\"h1\",\"tls\":false}},"
          "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,"
          "\"headerTimeout\":\"3000ms\",\"idleTimeout\":\"15000ms\"}}",
          version, timeout, service, timeout, service, service)
      < 0)
    abort ();
  table_put ("op", "config", text);
  free (text);
}

/* Machines.  */
machine_t *
machine_add (const char *zone, const char *service)
{
  machine_t *m = &machines[machine_count++];
  snprintf (m->name, sizeof m->name, "sidecar-%s-%d", zone, machine_count);
  snprintf (m->zone, sizeof m->zone, "%s", zone);
  snprintf (m->service, sizeof m->service, "%s", service);
  snprintf (m->dir, sizeof m->dir, "%s", work_dir);
  m->callers = free_port ();
  m->ready = free_port ();
  m->reports = free_port ();
  m->peers = free_port ();
  m->metrics = free_port ();
  m->server = free_port ();
  m->first_start = true;
  return m;
}

void
machine_write_settings (machine_t *m)
{
  char path[400], temporary[420];
  snprintf (path, sizeof path, "%s/%s.json", m->dir, m->name);
  snprintf (temporary, sizeof temporary, "%s.new", path);
  FILE *out = fopen (temporary, "w");
  need (out != NULL, "a settings file");
  /* The fields of platform/settings.template.  */
  fprintf (out,
           "{\"node\": \"%s\",\n \"data_centre\": \"%s\",\n"
           " \"region\": \"zapad\",\n"
           " \"callers\": \"127.0.0.1:%d\",\n \"ready\": \"127.0.0.1:%d\",\n"
           " \"reports\": \"127.0.0.1:%d\",\n \"peers\": \"127.0.0.1:%d\",\n"
           " \"metrics\": \"127.0.0.1:%d\",\n \"service\": \"%s\",\n"
           " \"server\": \"127.0.0.1:%d\",\n \"table\": \"127.0.0.1:%d\",\n"
           " \"link_mbps\": 1000.0,\n \"first_start\": %s,\n"
           " \"grace\": \"6s\",\n \"retry_ratio\": 0.2,\n"
           " \"retry_slack\": 58,\n \"retry_window\": \"10s\",\n"
           " \"exposure_share\": 0.1,\n \"exposure_slack\": 50}\n",
           m->name, m->zone, m->callers, m->ready, m->reports, m->peers,
           m->metrics, m->service, m->server, table_port,
           m->first_start ? "true" : "false");
  fclose (out);
  need (rename (temporary, path) == 0, "a settings file");
}

void
machine_start (machine_t *m)
{
  char settings[400], log[400], argument[420];
  machine_write_settings (m);
  snprintf (settings, sizeof settings, "%s/%s.json", m->dir, m->name);
  snprintf (log, sizeof log, "%s/%s.log", m->dir, m->name);
  snprintf (argument, sizeof argument, "--settings=%s", settings);
  m->pid = fork ();
  if (m->pid == 0)
    {
      int fd = open (log, O_WRONLY | O_CREAT | O_APPEND, 0644);
      dup2 (fd, 1);
      dup2 (fd, 2);
      execl ("target/cardamom-sidecar", "target/cardamom-sidecar", argument,
             (char *)NULL);
      _exit (127);
    }
  need (m->pid > 0, "a process");
  m->first_start = false;
  m->starts++;
  note ("%s starts, process %d", m->name, (int)m->pid);
}

bool
machine_is_ready (const machine_t *m)
{
  static const char ask[]
      = "GET /api/ready HTTP/1.1\r\nHost: node\r\nConnection: close\r\n\r\n";
  reader_t reader;
  answer_t answer = { 0 };
  int fd = connect_port (m->ready);
  if (fd < 0)
    return false;
  reader_init (&reader, fd);
  if (send_all (fd, ask, sizeof ask - 1))
    read_answer (&reader, &answer, 1);
  free (answer.body);
  reader_clear (&reader);
  return answer.status == 200;
}

void
machine_wait_ready (machine_t *m)
{
  for (int i = 0; i < 200; i++)
    {
      if (machine_is_ready (m))
        return;
      sleep_ms (100);
    }
  need (false, "a node that becomes ready");
}

static long
memory_kb (pid_t pid)
{
  char path[64], line[256];
  long kb = 0;
  snprintf (path, sizeof path, "/proc/%d/status", (int)pid);
  FILE *in = fopen (path, "r");
  if (!in)
    return 0;
  while (fgets (line, sizeof line, in))
    if (sscanf (line, "VmRSS: %ld kB", &kb) == 1)
      break;
  fclose (in);
  return kb;
}

/* The platform's limit: a process that exceeds its memory is killed, and is
   started again after a short delay.  */
static void *
watch_memory (void *arg)
{
  machine_t *m = arg;
  while (!ending)
    {
      long kb = memory_kb (m->pid);
      if (kb > m->peak_kb)
        m->peak_kb = kb;
      if (kb > (long)m->memory_mb * 1024)
        {
          kill (m->pid, SIGKILL);
          waitpid (m->pid, NULL, 0);
          m->memory_kills++;
          note ("%s has %ld kB, over its %d MB: the platform kills it",
                m->name, kb, m->memory_mb);
          sleep_ms (300);
          if (!ending)
            machine_start (m);
        }
      sleep_ms (2);
    }
  return NULL;
}

void
memory_watch_start (void)
{
  for (int i = 0; i < machine_count; i++)
    if (machines[i].memory_mb)
      start_thread (watch_memory, &machines[i]);
}

/* Backend servers.  */
typedef struct
{
  upstream_t *upstream;
  int fd;
} upstream_conn_t;

bool
upstream_answer (const request_t *request, int fd, const char *body,
                 size_t len, bool no_length)
{
  char head[400], length[64] = "";
  if (!no_length)
    snprintf (length, sizeof length, "Content-Length: %zu\r\n", len);
  int n = snprintf (head, sizeof head,
                    "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\n"
                    "Response-Seal: seal-%s\r\n%s%s\r\n",
                    request->id, request->id, length,
                    no_length ? "Connection: close\r\n" : "");
  return send_all (fd, head, (size_t)n) && send_all (fd, body, len)
         && !no_length;
}

static void *
serve_upstream_conn (void *arg)
{
  upstream_conn_t *conn = arg;
  upstream_t *upstream = conn->upstream;
  reader_t reader;
  char value[64];
  int result;
  bool open = true;
  reader_init (&reader, conn->fd);
  free (conn);
  while (open)
    {
      request_t request = { .head = NULL };
      char *head = read_head (&reader, clock_s () + 10, &result);
      if (!head)
        break;
      request.head = head;
      if (sscanf (head, "%15s %511s", request.method, request.path) != 2)
        break;
      head_field (head, "Attempt-Id", request.id, sizeof request.id);
      head_field (head, "Caller-Service", request.caller_service,
                  sizeof request.caller_service);
      char expected[128];
      head_field (head, "Expect-Instance", expected, sizeof expected);
      size_t len = head_field (head, "Content-Length", value, sizeof value)
                       ? (size_t)atoll (value)
                       : 0;
      if (!read_bytes (&reader, len, clock_s () + 30, &result))
        break;
      request.body = reader.data + reader.used;
      request.body_len = len;
      reader.used += len;
      char text[300];
      if (!strcmp (request.path, "/health"))
        {
          int n = snprintf (text, sizeof text,
                            "HTTP/1.1 200 OK\r\nInstance-Id: %s\r\n"
                            "Content-Length: 0\r\n\r\n",
                            upstream->instance);
          open = send_all (reader.fd, text, (size_t)n);
        }
      else if (expected[0] && strcmp (expected, upstream->instance))
        {
          int n = snprintf (text, sizeof text,
                            "HTTP/1.1 421 Misdirected Request\r\n"
                            "Instance-Id: %s\r\nContent-Length: 0\r\n\r\n",
                            upstream->instance);
          open = send_all (reader.fd, text, (size_t)n);
        }
      else
        open = upstream->handler (upstream, &request, reader.fd);
      free (head);
      if (upstream->gone)
        open = false;
    }
  reader_clear (&reader);
  return NULL;
}

static void *
accept_upstream (void *arg)
{
  upstream_t *upstream = arg;
  for (;;)
    {
      int fd = accept4 (upstream->listener, NULL, NULL, SOCK_CLOEXEC), one = 1;
      if (fd < 0 || upstream->gone)
        return NULL;
      setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
      upstream_conn_t *conn = malloc (sizeof *conn);
      *conn = (upstream_conn_t){ upstream, fd };
      start_thread (serve_upstream_conn, conn);
    }
}

static void
report (upstream_t *upstream)
{
  char body[400], text[800];
  reader_t reader;
  answer_t answer;
  int fd = connect_port (upstream->reports);
  if (fd < 0)
    return;
  int n = snprintf (
      body, sizeof body,
      "{\"service\":\"%s\",\"address\":\"127.0.0.1:%d\",\"zone\":\"z\","
      "\"version\":\"%s\",\"slots\":%d,\"state\":\"ready\","
      "\"warmupLeft\":\"0ms\",\"sequence\":%d,\"born\":%lld}",
      upstream->service, upstream->port, upstream->version, upstream->slots,
      ++upstream->sequence, (long long)upstream->born_ms);
  n = snprintf (text, sizeof text,
                "PUT /api/instances/%s HTTP/1.1\r\nHost: node\r\n"
                "Content-Type: application/json\r\nContent-Length: %d\r\n"
                "Connection: close\r\n\r\n%s",
                upstream->instance, n, body);
  reader_init (&reader, fd);
  if (send_all (fd, text, (size_t)n))
    {
      read_answer (&reader, &answer, 1);
      free (answer.body);
    }
  reader_clear (&reader);
}

static void *
report_loop (void *arg)
{
  upstream_t *upstream = arg;
  while (!upstream->gone && !ending)
    {
      report (upstream);
      sleep_ms (500);
    }
  return NULL;
}

upstream_t *
upstream_start (machine_t *m, const char *service, const char *instance,
                upstream_handler_t handler)
{
  upstream_t *upstream = calloc (1, sizeof *upstream);
  struct timespec t;
  clock_gettime (CLOCK_REALTIME, &t);
  snprintf (upstream->instance, sizeof upstream->instance, "%s", instance);
  snprintf (upstream->service, sizeof upstream->service, "%s", service);
  snprintf (upstream->version, sizeof upstream->version, "v1");
  upstream->port = m->server;
  upstream->reports = m->reports;
  upstream->slots = 12;
  upstream->born_ms = (int64_t)t.tv_sec * 1000 + t.tv_nsec / 1000000;
  upstream->handler = handler;
  upstream->listener = listen_port (m->server);
  start_thread (accept_upstream, upstream);
  start_thread (report_loop, upstream);
  note ("upstream %s of %s starts beside %s", instance, service, m->name);
  return upstream;
}

void
upstream_end (upstream_t *upstream)
{
  upstream->gone = true;
  shutdown (upstream->listener, SHUT_RDWR);
  close (upstream->listener);
  note ("upstream %s of %s ends", upstream->instance, upstream->service);
}

/* A slow link: what comes from PORT reaches the client at this rate.  */
typedef struct
{
  int listener, port;
  double rate;
} link_t_;

typedef struct
{
  int from, to;
  double rate; /* 0: no limit.  */
} flow_t;

static void *
run_flow (void *arg)
{
  flow_t *flow = arg;
  char buffer[16384];
  double due = clock_s ();
  ssize_t n;
  while ((n = recv (flow->from, buffer, sizeof buffer, 0)) > 0)
    {
      if (flow->rate > 0)
        {
          double now = clock_s ();
          due = (due < now ? now : due) + (double)n / flow->rate;
          sleep_ms ((int)((due - now) * 1e3));
        }
      if (!send_all (flow->to, buffer, (size_t)n))
        break;
    }
  if (n < 0)
    {
      /* A reset is passed on as a reset.  */
      struct linger hard = { 1, 0 };
      setsockopt (flow->to, SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
      close (flow->to);
    }
  else
    shutdown (flow->to, SHUT_WR);
  return NULL;
}

static void *
accept_link (void *arg)
{
  link_t_ *link = arg;
  for (;;)
    {
      int fd = accept4 (link->listener, NULL, NULL, SOCK_CLOEXEC);
      if (fd < 0)
        return NULL;
      int node = connect_with (link->port, 1448, 16384);
      if (node < 0)
        {
          close (fd);
          continue;
        }
      flow_t *up = malloc (sizeof *up), *down = malloc (sizeof *down);
      *up = (flow_t){ fd, node, 0 };
      *down = (flow_t){ node, fd, link->rate };
      start_thread (run_flow, up);
      start_thread (run_flow, down);
    }
}

int
link_start (int port, double bytes_per_s)
{
  link_t_ *link = malloc (sizeof *link);
  int own = free_port ();
  *link = (link_t_){ listen_port (own), port, bytes_per_s };
  start_thread (accept_link, link);
  return own;
}

void
wait_served (machine_t *m, const char *host, const char *path)
{
  for (int i = 0; i < 150; i++)
    {
      char text[400], *id = unique_id ();
      answer_t answer = { 0 };
      reader_t reader;
      int fd = connect_port (m->callers);
      int n = snprintf (text, sizeof text,
                        "GET %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\n"
                        "Timeout-Remaining-Ms: 2000\r\n"
                        "Connection: close\r\n\r\n",
                        path, host, id);
      free (id);
      if (fd >= 0)
        {
          reader_init (&reader, fd);
          if (send_all (fd, text, (size_t)n))
            read_answer (&reader, &answer, 3);
          free (answer.body);
          reader_clear (&reader);
        }
      if (answer.status == 200)
        return;
      sleep_ms (100);
    }
  need (false, "a request that is served");
}

/* A run that takes too long is ended: so are its children.  */
static void
on_end (int number)
{
  (void)number;
  for (int i = 0; i < machine_count; i++)
    if (machines[i].pid > 0)
      kill (machines[i].pid, SIGKILL);
  _exit (2);
}

int
rig_run (int argc, char **argv, void (*run) (void))
{
  const char *asked = getenv ("TROUBLE");
  trouble = !asked || strcmp (asked, "0") != 0;
  started_at = clock_s ();
  signal (SIGPIPE, SIG_IGN);
  signal (SIGTERM, on_end);
  signal (SIGINT, on_end);
  record = fopen (argc > 1 ? argv[1] : "record.txt", "w");
  if (!record)
    return 2;
  snprintf (work_dir, sizeof work_dir, "%s/review-XXXXXX",
            getenv ("TMPDIR") ? getenv ("TMPDIR") : "/tmp");
  if (!mkdtemp (work_dir))
    return 2;
  note ("%s the disruption", trouble ? "with" : "without (TROUBLE=0)");
  run ();
  finish (2);
}
