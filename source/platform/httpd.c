#include <arpa/inet.h>
#include <errno.h>
#include <microhttpd.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "cardamom/counters.h"
#include "cardamom/httpd.h"

#define THREAD_STACK_BYTES ((size_t)256 * 1024)
#define MEMORY_BYTES ((size_t)32 * 1024) /* For headers, per connection.  */

struct cs_httpd
{
  struct MHD_Daemon *daemon;
  int listener;
  cs_httpd_options_t options;
  cs_httpd_handler_t handler;
  void *user;
};

/* One request being received.  */
typedef struct
{
  char *target;
  GString *body;
  bool started;
  int refuse; /* Status to refuse it with; 0: none.  */
} incoming_t;

void
cs_httpd_text (cs_httpd_answer_t *answer, int status, const char *type,
               const char *text)
{
  answer->status = status;
  answer->body = g_string_new (text);
  if (!answer->headers)
    answer->headers = cs_headers_new ();
  cs_headers_add (answer->headers, "Content-Type", type);
}

static void *
on_target (void *user, const char *target, struct MHD_Connection *connection)
{
  (void)user;
  (void)connection;
  incoming_t *in = g_new0 (incoming_t, 1);
  in->target = g_strdup (target);
  in->body = g_string_new (NULL);
  return in;
}

static void
on_completed (void *user, struct MHD_Connection *connection, void **state,
              enum MHD_RequestTerminationCode code)
{
  incoming_t *in = *state;
  (void)user;
  (void)connection;
  (void)code;
  if (!in)
    return;
  g_free (in->target);
  g_string_free (in->body, TRUE);
  g_free (in);
  *state = NULL;
}

static enum MHD_Result
copy_header (void *user, enum MHD_ValueKind kind, const char *name,
             const char *value)
{
  (void)kind;
  cs_headers_add (user, name, value ? value : "");
  return MHD_YES;
}

static unsigned
count_header (const GPtrArray *headers, const char *name)
{
  unsigned count = 0;
  for (guint i = 0; i < headers->len; i++)
    count
        += g_ascii_strcasecmp (((cs_header_t *)headers->pdata[i])->name, name)
           == 0;
  return count;
}

/* The status to refuse the framing with, 0 when it is sound.  */
static int
check_framing (const cs_httpd_t *httpd, const GPtrArray *headers)
{
  unsigned lengths = count_header (headers, "Content-Length");
  unsigned codings = count_header (headers, "Transfer-Encoding");
  const char *length = cs_headers_get (headers, "Content-Length");
  const char *coding = cs_headers_get (headers, "Transfer-Encoding");
  if (lengths + codings > 1 || count_header (headers, "Host") > 1)
    return 400;
  if (coding && g_ascii_strcasecmp (coding, "chunked") != 0)
    return 400;
  if (!length)
    return 0;
  char *end;
  guint64 bytes = g_ascii_strtoull (length, &end, 10);
  if (!g_ascii_isdigit (*length) || *end)
    return 400;
  return bytes > httpd->options.body_max ? 413 : 0;
}

static struct MHD_Response *
make_response (const cs_httpd_answer_t *answer)
{
  struct MHD_Response *response = MHD_create_response_from_buffer (
      answer->body ? answer->body->len : 0,
      answer->body ? answer->body->str : NULL, MHD_RESPMEM_MUST_COPY);
  for (guint i = 0; answer->headers && i < answer->headers->len; i++)
    {
      const cs_header_t *h = answer->headers->pdata[i];
      MHD_add_response_header (response, h->name, h->value);
    }
  if (answer->close)
    MHD_add_response_header (response, "Connection", "close");
  return response;
}

static enum MHD_Result
send_answer (struct MHD_Connection *connection, cs_httpd_answer_t *answer)
{
  enum MHD_Result result = MHD_NO;
  if (!answer->abort)
    {
      struct MHD_Response *response = make_response (answer);
      result = MHD_queue_response (connection, (unsigned)answer->status,
                                   response);
      MHD_destroy_response (response);
    }
  if (answer->headers)
    g_ptr_array_unref (answer->headers);
  if (answer->body)
    g_string_free (answer->body, TRUE);
  return result;
}

static enum MHD_Result
refuse (struct MHD_Connection *connection, int status)
{
  cs_httpd_answer_t answer = { .close = true };
  cs_count (CS_C_REFUSED_INPUT, 1);
  cs_httpd_text (&answer, status, "text/plain",
                 status == 413 ? "the body is too large\n"
                               : "the request's framing is ambiguous or "
                                 "malformed\n");
  cs_headers_add (answer.headers, "Cardamom-Outcome", "not-run");
  return send_answer (connection, &answer);
}

static char *
host_name (const GPtrArray *headers)
{
  const char *host = cs_headers_get (headers, "Host");
  return g_strndup (host ? host : "", host ? strcspn (host, ":") : 0);
}

static enum MHD_Result
run_handler (cs_httpd_t *httpd, struct MHD_Connection *connection,
             const char *method, incoming_t *in, GPtrArray *headers)
{
  char *host = host_name (headers);
  cs_httpd_request_t request = { .method = method,
                                 .target = in->target,
                                 .host = host,
                                 .headers = headers,
                                 .body = cs_str_of_gstring (in->body) };
  cs_httpd_answer_t answer = { .status = 500 };
  httpd->handler (httpd->user, &request, &answer);
  g_free (host);
  return send_answer (connection, &answer);
}

static void
take_part (const cs_httpd_t *httpd, incoming_t *in, const char *data,
           size_t size)
{
  if (in->body->len + size > httpd->options.body_max)
    in->refuse = 413;
  else if (!in->refuse)
    g_string_append_len (in->body, data, (gssize)size);
}

static enum MHD_Result
on_request (void *user, struct MHD_Connection *connection, const char *url,
            const char *method, const char *version, const char *data,
            size_t *size, void **state)
{
  cs_httpd_t *httpd = user;
  incoming_t *in = *state;
  (void)url;
  (void)version;
  if (*size)
    {
      take_part (httpd, in, data, *size);
      *size = 0;
      return MHD_YES;
    }
  if (in->started && in->refuse)
    return refuse (connection, in->refuse);
  GPtrArray *headers = cs_headers_new ();
  MHD_get_connection_values (connection, MHD_HEADER_KIND, copy_header,
                             headers);
  enum MHD_Result result = MHD_YES;
  if (!in->started)
    {
      in->started = true;
      in->refuse = check_framing (httpd, headers);
      if (in->refuse)
        result = refuse (connection, in->refuse);
    }
  else
    result = run_handler (httpd, connection, method, in, headers);
  g_ptr_array_unref (headers);
  return result;
}

static int
open_listener (const cs_httpd_options_t *options)
{
  struct sockaddr_in sa
      = { .sin_family = AF_INET, .sin_port = htons ((uint16_t)options->port) };
  int one = 1;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  if (fd >= 0 && inet_pton (AF_INET, options->host, &sa.sin_addr) == 1
      && bind (fd, (struct sockaddr *)&sa, sizeof sa) == 0
      && listen (fd, SOMAXCONN) == 0)
    return fd;
  if (fd >= 0)
    close (fd);
  return -1;
}

cs_status_t
cs_httpd_start (cs_ctx_t *ctx, const cs_httpd_options_t *options,
                cs_httpd_handler_t handler, void *user, cs_httpd_t **httpd)
{
  int fd = open_listener (options);
  if (fd < 0)
    return cs_fail (ctx, CS_UNAVAILABLE,
                    "cannot listen on %s:%u: %s; choose another port",
                    options->host, options->port, strerror (errno));
  cs_httpd_t *made = g_new0 (cs_httpd_t, 1);
  made->options = *options;
  made->handler = handler;
  made->user = user;
  made->listener = fd;
  made->daemon = MHD_start_daemon (
      MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD
          | MHD_USE_POLL | MHD_USE_ITC,
      0, NULL, NULL, on_request, made, MHD_OPTION_LISTEN_SOCKET, fd,
      MHD_OPTION_URI_LOG_CALLBACK, on_target, NULL,
      MHD_OPTION_NOTIFY_COMPLETED, on_completed, NULL,
      MHD_OPTION_CONNECTION_LIMIT, options->connections_max,
      MHD_OPTION_CONNECTION_TIMEOUT, options->idle_s,
      MHD_OPTION_CONNECTION_MEMORY_LIMIT, MEMORY_BYTES,
      MHD_OPTION_THREAD_STACK_SIZE, THREAD_STACK_BYTES,
      MHD_OPTION_STRICT_FOR_CLIENT, 1, MHD_OPTION_END);
  if (!made->daemon)
    {
      close (fd);
      g_free (made);
      return cs_fail (ctx, CS_UNAVAILABLE,
                      "the HTTP server on port %u did not start; look for "
                      "limits on threads and files",
                      options->port);
    }
  *httpd = made;
  return CS_OK;
}

void
cs_httpd_quiesce (cs_httpd_t *httpd)
{
  if (httpd->listener >= 0)
    close (MHD_quiesce_daemon (httpd->daemon));
  httpd->listener = -1;
}

void
cs_httpd_stop (cs_httpd_t *httpd)
{
  if (!httpd)
    return;
  MHD_stop_daemon (httpd->daemon);
  g_free (httpd);
}
