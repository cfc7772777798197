#include <arpa/inet.h>
#include <neon/ne_request.h>
#include <neon/ne_session.h>
#include <neon/ne_socket.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>

#include "cardamom/http.h"

/* An idle connection older than this is opened anew.  */
#define IDLE_REUSE_MAX (1 * CS_SEC)
#define BLOCK_BYTES 8192

struct cs_http
{
  ne_session *session;
  ne_inet_addr *nowhere;
  bool open; /* A connection stands, left by an earlier request.  */
  cs_usec_t last_used;
};

/* An address of no host (RFC 5737).  Bound to it, a connection cannot be
   opened: so neon cannot send a request again when a reused connection
   breaks.  */
static const unsigned char nowhere[4] = { 192, 0, 2, 1 };

static pthread_once_t socket_once = PTHREAD_ONCE_INIT;

static void
init_sockets (void)
{
  ne_sock_init ();
}

static void
free_header (gpointer data)
{
  cs_header_t *header = data;
  g_free (header->name);
  g_free (header->value);
  g_free (header);
}

GPtrArray *
cs_headers_new (void)
{
  return g_ptr_array_new_with_free_func (free_header);
}

void
cs_headers_add (GPtrArray *headers, const char *name, const char *value)
{
  cs_header_t *header = g_new (cs_header_t, 1);
  header->name = g_strdup (name);
  header->value = g_strdup (value);
  g_ptr_array_add (headers, header);
}

GPtrArray *
cs_headers_copy (const GPtrArray *headers)
{
  GPtrArray *copy = cs_headers_new ();
  for (guint i = 0; i < headers->len; i++)
    {
      const cs_header_t *header = headers->pdata[i];
      cs_headers_add (copy, header->name, header->value);
    }
  return copy;
}

const char *
cs_headers_get (const GPtrArray *headers, const char *name)
{
  for (guint i = 0; headers && i < headers->len; i++)
    {
      const cs_header_t *header = headers->pdata[i];
      if (g_ascii_strcasecmp (header->name, name) == 0)
        return header->value;
    }
  return NULL;
}

void
cs_http_answer_clear (cs_http_answer_t *answer)
{
  if (answer->headers)
    g_ptr_array_unref (answer->headers);
  if (answer->body)
    g_string_free (answer->body, TRUE);
  memset (answer, 0, sizeof *answer);
}

static void
on_status (void *user, ne_session_status status,
           const ne_session_status_info *info)
{
  cs_http_t *http = user;
  (void)info;
  if (status == ne_status_connected)
    http->open = true;
  else if (status == ne_status_disconnected)
    http->open = false;
}

cs_http_t *
cs_http_new (cs_ctx_t *ctx, const char *host, unsigned port, int timeout_s)
{
  pthread_once (&socket_once, init_sockets);
  cs_http_t *http = cs_calloc (ctx, sizeof *http);
  http->session = ne_session_create ("http", host, port);
  ne_set_useragent (http->session, "cardamomswitch");
  ne_set_read_timeout (http->session, timeout_s);
  ne_set_connect_timeout (http->session, timeout_s);
  /* Without this, neon opens a connection for every request that is not
     flagged idempotent.  */
  ne_set_session_flag (http->session, NE_SESSFLAG_CONNAUTH, 1);
  ne_set_notifier (http->session, on_status, http);
  http->nowhere = ne_iaddr_make (ne_iaddr_ipv4, nowhere);
  return http;
}

void
cs_http_drop (cs_ctx_t *ctx, cs_http_t *http)
{
  if (!http)
    return;
  ne_session_destroy (http->session);
  ne_iaddr_free (http->nowhere);
  cs_free (ctx, http);
}

static ne_request *
make_request (cs_http_t *http, const cs_http_request_t *request)
{
  ne_request *req
      = ne_request_create (http->session, request->method, request->path);
  ne_set_request_flag (req, NE_REQFLAG_IDEMPOTENT, 0);
  for (guint i = 0; request->headers && i < request->headers->len; i++)
    {
      const cs_header_t *h = request->headers->pdata[i];
      ne_add_request_header (req, h->name, h->value);
    }
  if (request->body.len)
    ne_set_request_body_buffer (req, request->body.data, request->body.len);
  return req;
}

/* A body without a length or chunks ends when the connection does, which a
   broken connection does as well.  */
static bool
body_is_delimited (ne_request *req, const char *method, int status)
{
  if (status == 204 || status == 304 || strcmp (method, "HEAD") == 0)
    return true;
  return ne_get_response_header (req, "Content-Length")
         || ne_get_response_header (req, "Transfer-Encoding");
}

static void
copy_headers (ne_request *req, GPtrArray *headers)
{
  void *cursor = NULL;
  const char *name, *value;
  while ((cursor = ne_response_header_iterate (req, cursor, &name, &value)))
    cs_headers_add (headers, name, value);
}

static cs_status_t
read_body (cs_ctx_t *ctx, ne_request *req, size_t max, GString *body)
{
  char block[BLOCK_BYTES];
  ssize_t got;
  while ((got = ne_read_response_block (req, block, sizeof block)) > 0)
    {
      if (body->len + (size_t)got > max)
        return cs_fail (ctx, CS_LIMIT,
                        "the answer exceeds %zu bytes; raise --body-max", max);
      g_string_append_len (body, block, got);
    }
  if (got < 0)
    return cs_fail (ctx, CS_UNKNOWN, "the answer broke off before its end");
  return CS_OK;
}

static cs_status_t
fail_of_neon (cs_ctx_t *ctx, cs_http_t *http, int code, bool reused)
{
  const char *why = ne_get_error (http->session);
  if (!reused && (code == NE_CONNECT || code == NE_LOOKUP))
    return cs_fail (ctx, CS_UNAVAILABLE, "cannot connect: %s", why);
  return cs_fail (ctx, CS_UNKNOWN, "no whole answer: %s", why);
}

static cs_status_t
run_request (cs_ctx_t *ctx, cs_http_t *http, ne_request *req,
             const cs_http_request_t *request, bool reused,
             cs_http_answer_t *answer)
{
  int code = ne_begin_request (req);
  if (code != NE_OK)
    return fail_of_neon (ctx, http, code, reused);
  answer->status = ne_get_status (req)->code;
  answer->headers = cs_headers_new ();
  answer->body = g_string_new (NULL);
  copy_headers (req, answer->headers);
  if (!body_is_delimited (req, request->method, answer->status))
    return cs_fail (ctx, CS_UNKNOWN,
                    "the answer has neither a length nor chunks; its end "
                    "cannot be told from a broken connection");
  cs_status_t status = read_body (ctx, req, request->answer_max, answer->body);
  if (status != CS_OK)
    return status;
  code = ne_end_request (req);
  return code == NE_OK || code == NE_RETRY
             ? CS_OK
             : fail_of_neon (ctx, http, code, reused);
}

cs_status_t
cs_http_call (cs_ctx_t *ctx, cs_http_t *http, const cs_http_request_t *request,
              cs_http_answer_t *answer)
{
  memset (answer, 0, sizeof *answer);
  cs_usec_t now = cs_now (ctx);
  if (!request->reuse || now - http->last_used > IDLE_REUSE_MAX)
    ne_close_connection (http->session);
  bool reused = http->open;
  ne_set_localaddr (http->session, reused ? http->nowhere : NULL);
  ne_request *req = make_request (http, request);
  cs_status_t status = run_request (ctx, http, req, request, reused, answer);
  ne_request_destroy (req);
  http->last_used = cs_now (ctx);
  if (status != CS_OK)
    {
      cs_http_answer_clear (answer);
      ne_close_connection (http->session);
    }
  return status;
}

cs_status_t
cs_address_parse (cs_ctx_t *ctx, const char *text, char **host, unsigned *port)
{
  const char *colon = strrchr (text, ':');
  char *end = NULL;
  unsigned long number = colon ? strtoul (colon + 1, &end, 10) : 0;
  struct in_addr v4;
  char *name = colon ? g_strndup (text, (gsize)(colon - text)) : NULL;
  if (!colon || end == colon + 1 || *end || number == 0 || number > 65535
      || inet_pton (AF_INET, name, &v4) != 1)
    {
      g_free (name);
      return cs_fail (ctx, CS_BAD_INPUT,
                      "'%s' is no address; write IP:PORT, as 127.0.0.1:7000",
                      text);
    }
  *host = name;
  *port = (unsigned)number;
  return CS_OK;
}
