#include <string.h>

#include "cardamom/message.h"

/* Larger buffers are freed between messages; sizes in bytes.  */
#define HEAD_KEEP_MAX 4096
#define BODY_KEEP_MAX 8192

/* Bytes of blank lines before a head.  */
#define BLANK_BYTES_MAX 64

/* More header fields than any well-behaved client sends.  */
#define FIELDS_MAX 100

static int
refuse (cs_http1_message_t *m, int status, const char *why)
{
  if (!m->error_status)
    {
      m->error_status = status;
      m->error_text = why;
    }
  return 1;
}

static int
on_url (http_parser *parser, const char *at, size_t len)
{
  cs_http1_message_t *m = parser->data;
  if (m->request_target.data
      && at == m->request_target.data + m->request_target.len)
    m->request_target.len += len;
  else
    m->request_target = (cs_str_t){ .data = at, .len = len };
  return 0;
}

static int
on_field_name (http_parser *parser, const char *at, size_t len)
{
  cs_http1_message_t *m = parser->data;
  if (m->head_complete)
    return 0;
  if (memchr (at, ' ', len) || memchr (at, '\t', len))
    return refuse (m, 400, "white space in a header field name");
  if (m->fields->len >= FIELDS_MAX)
    return refuse (m, 431, "too many header fields");
  cs_http1_field_t field = { .name = { .data = at, .len = len } };
  g_array_append_val (m->fields, field);
  return 0;
}

static int
on_field_value (http_parser *parser, const char *at, size_t len)
{
  cs_http1_message_t *m = parser->data;
  if (m->head_complete || !m->fields->len)
    return 0;
  cs_http1_field_t *field
      = &g_array_index (m->fields, cs_http1_field_t, m->fields->len - 1);
  while (len && (at[len - 1] == ' ' || at[len - 1] == '\t'))
    len--;
  field->value = (cs_str_t){ .data = at, .len = len };
  return 0;
}

static unsigned
count_field (const cs_http1_message_t *m, const char *name)
{
  unsigned count = 0;
  for (guint i = 0; i < m->fields->len; i++)
    count += cs_str_equal_nocase (
        g_array_index (m->fields, cs_http1_field_t, i).name, name);
  return count;
}

static int
on_headers_complete (http_parser *parser)
{
  cs_http1_message_t *m = parser->data;
  bool request = parser->type == HTTP_REQUEST;
  m->head_complete = true;
  parser->upgrade = 0;
  if (count_field (m, "content-length") > 1)
    return refuse (m, 400, "repeated Content-Length"), -1;
  if (count_field (m, "transfer-encoding")
      && count_field (m, "content-length"))
    return refuse (m, 400, "both Content-Length and Transfer-Encoding"), -1;
  unsigned codings = count_field (m, "transfer-encoding");
  if (codings > 1
      || (codings
          && !cs_str_equal_nocase (
              cs_http1_message_field (m, "transfer-encoding"), "chunked")))
    return refuse (m, 400, "unsupported transfer coding"), -1;
  if (request
      && (count_field (m, "host") > 1
          || (!count_field (m, "host")
              && (parser->http_major > 1 || parser->http_minor > 0))))
    return refuse (m, 400, "missing or repeated Host"), -1;
  if (request && parser->method == HTTP_CONNECT)
    return refuse (m, 400, "CONNECT is not supported"), -1;
  if (parser->content_length != UINT64_MAX
      && parser->content_length > m->body_max)
    return refuse (m, 413, "body exceeds the limit"), -1;
  if (!request && !m->skip_body && parser->status_code >= 200
      && parser->status_code != 204 && parser->status_code != 304
      && !(parser->flags & F_CHUNKED) && parser->content_length == UINT64_MAX)
    m->close_delimited = true;
  return m->skip_body ? 1 : 0;
}

static int
on_body (http_parser *parser, const char *at, size_t len)
{
  cs_http1_message_t *m = parser->data;
  if (m->body->len + len > m->body_max)
    return refuse (m, 413, "body exceeds the limit");
  g_string_append_len (m->body, at, (gssize)len);
  return 0;
}

static int
on_complete (http_parser *parser)
{
  cs_http1_message_t *m = parser->data;
  m->complete = true;
  http_parser_pause (parser, 1);
  return 0;
}

static const http_parser_settings settings = {
  .on_url = on_url,
  .on_header_field = on_field_name,
  .on_header_value = on_field_value,
  .on_headers_complete = on_headers_complete,
  .on_body = on_body,
  .on_message_complete = on_complete,
};

void
cs_http1_message_init (cs_http1_message_t *m, enum http_parser_type type,
                       size_t head_max, size_t body_max)
{
  *m = (cs_http1_message_t){ .head = g_string_new (NULL),
                             .body = g_string_new (NULL),
                             .fields = g_array_sized_new (
                                 FALSE, FALSE, sizeof (cs_http1_field_t), 12),
                             .head_max = head_max,
                             .body_max = body_max };
  http_parser_init (&m->parser, type);
  m->parser.data = m;
}

void
cs_http1_message_clear (cs_http1_message_t *m)
{
  if (!m->head)
    return;
  g_string_free (m->head, TRUE);
  g_string_free (m->body, TRUE);
  g_array_free (m->fields, TRUE);
  m->head = m->body = NULL;
  m->fields = NULL;
}

static void
reset_buffer (GString **buffer, gsize keep_max)
{
  if ((*buffer)->allocated_len > keep_max)
    {
      g_string_free (*buffer, TRUE);
      *buffer = g_string_new (NULL);
    }
  else
    g_string_truncate (*buffer, 0);
}

void
cs_http1_message_reset (cs_http1_message_t *m)
{
  reset_buffer (&m->head, HEAD_KEEP_MAX);
  reset_buffer (&m->body, BODY_KEEP_MAX);
  g_array_set_size (m->fields, 0);
  m->request_target = (cs_str_t){ 0 };
  m->head_complete = m->complete = m->skip_body = m->close_delimited = false;
  m->error_status = 0;
  m->blank_bytes = 0;
  m->error_text = NULL;
  http_parser_init (&m->parser, m->parser.type);
}

/* Append DATA to the head, up to the blank line that ends it; returns the
   number of bytes consumed.  COMPLETE is set to whether the blank line was
   reached.  */
static size_t
buffer_head (cs_http1_message_t *m, const char *data, size_t len,
             bool *complete)
{
  size_t used = 0;
  *complete = false;
  if (!m->head->len)
    while (used < len && (data[used] == '\r' || data[used] == '\n'))
      {
        used++;
        if (++m->blank_bytes > BLANK_BYTES_MAX)
          {
            refuse (m, 400, "too many blank lines before the message");
            return len;
          }
      }
  while (used < len && !*complete)
    {
      const char *end = memchr (data + used, '\n', len - used);
      size_t take = end ? (size_t)(end - (data + used)) + 1 : len - used;
      if (m->head->len + take > m->head_max)
        {
          refuse (m, 431, "header section exceeds the limit");
          return len;
        }
      g_string_append_len (m->head, data + used, (gssize)take);
      used += take;
      *complete
          = end && m->head->len >= 4
            && memcmp (m->head->str + m->head->len - 4, "\r\n\r\n", 4) == 0;
    }
  return used;
}

/* Refuse what http-parser accepts although RFC 9112 forbids it.  */
static void
check_head_bytes (cs_http1_message_t *m)
{
  const char *text = m->head->str;
  for (gsize i = 0; i < m->head->len; i++)
    if (text[i] == '\n' && (i == 0 || text[i - 1] != '\r'))
      refuse (m, 400, "line feed without carriage return");
    else if (text[i] == '\n' && (text[i + 1] == ' ' || text[i + 1] == '\t'))
      refuse (m, 400, "obsolete line folding");
    else if (text[i] == '\0')
      refuse (m, 400, "NUL in the header section");
}

/* Whether the request begins with a syntactically valid method, known or
   not.  */
static bool
starts_with_method (const cs_http1_message_t *m)
{
  const char *at = m->head->str;
  while (g_ascii_isupper (*at))
    at++;
  return at > m->head->str && *at == ' ';
}

static size_t
parse (cs_http1_message_t *m, const char *data, size_t len)
{
  size_t used = http_parser_execute (&m->parser, &settings, data, len);
  enum http_errno error = HTTP_PARSER_ERRNO (&m->parser);
  if (error == HPE_INVALID_METHOD && starts_with_method (m))
    refuse (m, 501, "unknown method");
  else if (error != HPE_OK && error != HPE_PAUSED)
    refuse (m, 400, http_errno_description (error));
  return used;
}

size_t
cs_http1_message_feed (cs_http1_message_t *m, const char *data, size_t len)
{
  size_t used = 0;
  if (m->error_status || m->complete)
    return 0;
  if (!m->head_complete)
    {
      bool head_complete;
      used = buffer_head (m, data, len, &head_complete);
      if (head_complete && !m->error_status)
        check_head_bytes (m);
      if (!head_complete || m->error_status)
        return used;
      parse (m, m->head->str, m->head->len);
      if (!m->head_complete)
        refuse (m, 400, "malformed header section");
      if (m->error_status)
        return used;
    }
  if (!m->complete && used < len)
    used += parse (m, data + used, len - used);
  return used;
}

bool
cs_http1_message_end_input (cs_http1_message_t *m)
{
  if (!m->head_complete || m->complete || m->error_status)
    return m->complete;
  if (!m->close_delimited)
    return false;
  m->complete = true;
  return true;
}

bool
cs_http1_message_has_started (const cs_http1_message_t *m)
{
  return m->head->len > 0;
}

cs_str_t
cs_http1_message_field (const cs_http1_message_t *m, const char *name)
{
  for (guint i = 0; i < m->fields->len; i++)
    {
      const cs_http1_field_t *field
          = &g_array_index (m->fields, cs_http1_field_t, i);
      if (cs_str_equal_nocase (field->name, name))
        return field->value;
    }
  return (cs_str_t){ 0 };
}

int64_t
cs_http1_message_field_number (const cs_http1_message_t *m, const char *name,
                               int64_t max, int64_t missing)
{
  cs_str_t value = cs_http1_message_field (m, name);
  int64_t number = 0;
  if (!value.len || value.len > 18)
    return missing;
  for (size_t i = 0; i < value.len; i++)
    {
      if (!g_ascii_isdigit (value.data[i]))
        return missing;
      number = number * 10 + (value.data[i] - '0');
    }
  return number > max ? missing : number;
}

bool
cs_http1_message_should_keep_alive (const cs_http1_message_t *m)
{
  return !m->close_delimited && http_should_keep_alive (&m->parser);
}

bool
cs_http1_field_is_hop_by_hop (cs_str_t name)
{
  /* Fields that are not forwarded: Expect, which the HTTP server answers
     itself (send_continue), and the hop-by-hop fields.  */
  static const char *const hop[] = { "connection",
                                     "keep-alive",
                                     "proxy-connection",
                                     "te",
                                     "trailer",
                                     "transfer-encoding",
                                     "upgrade",
                                     "expect",
                                     "proxy-authenticate",
                                     "proxy-authorization" };
  for (size_t i = 0; i < G_N_ELEMENTS (hop); i++)
    if (cs_str_equal_nocase (name, hop[i]))
      return true;
  return false;
}

bool
cs_str_equal_nocase (cs_str_t s, const char *text)
{
  return s.len == strlen (text)
         && g_ascii_strncasecmp (s.data, text, s.len) == 0;
}
