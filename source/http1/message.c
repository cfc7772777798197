#include <string.h>

#include "cardamom/message.h"

/* Larger buffers are freed between messages; sizes in bytes.  */
#define HEAD_KEEP_MAX 4096
#define BODY_KEEP_MAX 8192

/* Bytes of blank lines before a head.  */
#define BLANK_BYTES_MAX 64

/* More header fields than any well-behaved client sends.  */
#define FIELDS_MAX 100

/* Record STATUS and WHY unless an error was recorded before.  Returns 1, with
   which a data callback of http_parser ends the parsing.  on_headers_complete
   returns -1 for that: there 1 means that no body follows.  */
static int
refuse (cs_http1_message_t *message, int status, const char *why)
{
  if (!message->error_status)
    {
      message->error_status = status;
      message->error_text = why;
    }
  return 1;
}

static int
on_url (http_parser *parser, const char *at, size_t len)
{
  cs_http1_message_t *message = parser->data;
  if (memchr (at, '\t', len) || memchr (at, '\f', len))
    return refuse (message, 400, "white space in the request target");
  if (message->request_target.data
      && at == message->request_target.data + message->request_target.len)
    message->request_target.len += len;
  else
    message->request_target = (cs_str_t){ .data = at, .len = len };
  return 0;
}

static int
on_field_name (http_parser *parser, const char *at, size_t len)
{
  cs_http1_message_t *message = parser->data;
  if (memchr (at, ' ', len) || memchr (at, '\t', len))
    return refuse (message, 400, "white space in a header field name");
  if (message->head_complete)
    return 0;
  if (message->fields->len >= FIELDS_MAX)
    return refuse (message, 431, "too many header fields");
  cs_http1_field_t field = { .name = { .data = at, .len = len } };
  g_array_append_val (message->fields, field);
  return 0;
}

static int
on_field_value (http_parser *parser, const char *at, size_t len)
{
  cs_http1_message_t *message = parser->data;
  /* http-parser looks at all but the first byte.  */
  if (len && g_ascii_iscntrl (*at) && *at != '\t')
    return refuse (message, 400, "control character in a header field");
  if (message->head_complete || !message->fields->len)
    return 0;
  cs_http1_field_t *field = &g_array_index (message->fields, cs_http1_field_t,
                                            message->fields->len - 1);
  while (len && (at[len - 1] == ' ' || at[len - 1] == '\t'))
    len--;
  field->value = (cs_str_t){ .data = at, .len = len };
  return 0;
}

static unsigned
count_field (const cs_http1_message_t *message, const char *name)
{
  unsigned count = 0;
  for (guint i = 0; i < message->fields->len; i++)
    count += cs_str_equal_nocase (
        g_array_index (message->fields, cs_http1_field_t, i).name, name);
  return count;
}

/* Whether the message is an answer that has no body, whatever its fields tell
   (RFC 9112, section 6.3).  */
static bool
is_bodyless_answer (const http_parser *parser)
{
  return parser->type == HTTP_RESPONSE
         && (parser->status_code < 200 || parser->status_code == 204
             || parser->status_code == 304);
}

static int
on_headers_complete (http_parser *parser)
{
  cs_http1_message_t *message = parser->data;
  bool request = parser->type == HTTP_REQUEST;
  message->head_complete = true;
  parser->upgrade = 0;
  if (parser->http_major != 1)
    return refuse (message, 400, "unsupported version of HTTP"), -1;
  if (count_field (message, "content-length") > 1)
    return refuse (message, 400, "repeated Content-Length"), -1;
  if (count_field (message, "transfer-encoding")
      && count_field (message, "content-length"))
    return refuse (message, 400, "both Content-Length and Transfer-Encoding"),
           -1;
  unsigned codings = count_field (message, "transfer-encoding");
  if (codings > 1
      || (codings
          && (!cs_str_equal_nocase (
                  cs_http1_message_field (message, "transfer-encoding"),
                  "chunked")
              || !(parser->flags & F_CHUNKED))))
    return refuse (message, 400, "unsupported transfer coding"), -1;
  if (request
      && (count_field (message, "host") > 1
          || (!count_field (message, "host") && parser->http_minor > 0)))
    return refuse (message, 400, "missing or repeated Host"), -1;
  if (request && parser->method == HTTP_CONNECT)
    return refuse (message, 400, "CONNECT is not supported"), -1;
  if (message->skip_body || is_bodyless_answer (parser))
    return 1;
  if (parser->content_length != UINT64_MAX
      && parser->content_length > message->body_max)
    return refuse (message, 413, "body exceeds the limit"), -1;
  if (!request && !(parser->flags & F_CHUNKED)
      && parser->content_length == UINT64_MAX)
    message->close_delimited = true;
  return 0;
}

/* Check the bytes around chunks up to END, from where the last check ended. */
static void
check_chunk_framing (cs_http1_message_t *message, const char *end)
{
  const char *why
      = cs_chunk_framing_check (&message->chunk_framing, message->unchecked,
                                (size_t)(end - message->unchecked));
  message->unchecked = end;
  if (why)
    refuse (message, 400, why);
}

static int
on_body (http_parser *parser, const char *at, size_t len)
{
  cs_http1_message_t *message = parser->data;
  if (parser->flags & F_CHUNKED)
    {
      check_chunk_framing (message, at);
      if (message->error_status)
        return 1;
      cs_chunk_framing_pass_data (&message->chunk_framing);
      message->unchecked = at + len;
    }
  if (message->body->len + len > message->body_max)
    return refuse (message, 413, "body exceeds the limit");
  g_string_append_len (message->body, at, (gssize)len);
  return 0;
}

static int
on_complete (http_parser *parser)
{
  cs_http1_message_t *message = parser->data;
  message->complete = true;
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
cs_http1_message_init (cs_http1_message_t *message, enum http_parser_type type,
                       size_t head_max, size_t body_max)
{
  *message = (cs_http1_message_t){
    .head = g_string_new (NULL),
    .body = g_string_new (NULL),
    .fields = g_array_sized_new (FALSE, FALSE, sizeof (cs_http1_field_t), 12),
    .head_max = head_max,
    .body_max = body_max
  };
  http_parser_init (&message->parser, type);
  message->parser.data = message;
}

void
cs_http1_message_clear (cs_http1_message_t *message)
{
  if (!message->head)
    return;
  g_string_free (message->head, TRUE);
  g_string_free (message->body, TRUE);
  g_array_free (message->fields, TRUE);
  message->head = message->body = NULL;
  message->fields = NULL;
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
cs_http1_message_reset (cs_http1_message_t *message)
{
  reset_buffer (&message->head, HEAD_KEEP_MAX);
  reset_buffer (&message->body, BODY_KEEP_MAX);
  g_array_set_size (message->fields, 0);
  message->request_target = (cs_str_t){ 0 };
  message->head_complete = message->complete = message->skip_body
      = message->close_delimited = false;
  message->chunk_framing = (cs_chunk_framing_t){ 0 };
  message->error_status = 0;
  message->blank_bytes = 0;
  message->error_text = NULL;
  http_parser_init (&message->parser, message->parser.type);
}

/* Append DATA to the head, up to the blank line that ends it; returns the
   number of bytes consumed.  COMPLETE is set to whether the blank line was
   reached.  */
static size_t
buffer_head (cs_http1_message_t *message, const char *data, size_t len,
             bool *complete)
{
  size_t used = 0;
  *complete = false;
  if (!message->head->len)
    while (used < len && (data[used] == '\r' || data[used] == '\n'))
      {
        used++;
        if (++message->blank_bytes > BLANK_BYTES_MAX)
          {
            refuse (message, 400, "too many blank lines before the message");
            return len;
          }
      }
  while (used < len && !*complete)
    {
      const char *end = memchr (data + used, '\n', len - used);
      size_t take = end ? (size_t)(end - (data + used)) + 1 : len - used;
      if (message->head->len + take > message->head_max)
        {
          refuse (message, 431, "header section exceeds the limit");
          return len;
        }
      g_string_append_len (message->head, data + used, (gssize)take);
      used += take;
      /* At once, for the blank line might never come.  */
      if (end
          && (message->head->len < 2
              || message->head->str[message->head->len - 2] != '\r'))
        {
          refuse (message, 400, "line feed without carriage return");
          return len;
        }
      *complete = end && message->head->len >= 4
                  && memcmp (message->head->str + message->head->len - 4,
                             "\r\n\r\n", 4)
                         == 0;
    }
  return used;
}

/* Refuse a status that is not of three digits, from 100 to 599.  Others are
   invalid (RFC 9110, section 15); http-parser takes any up to 999, also as
   interim ones, after which another answer would be awaited.  */
static void
check_status (cs_http1_message_t *message)
{
  static const char before[] = "HTTP/1.1 ";
  const char *status = message->head->str + sizeof before - 1;
  if (message->parser.type == HTTP_RESPONSE
      && (message->head->len < sizeof before + 3 || status[-1] != ' '
          || *status < '1' || *status > '5' || !g_ascii_isdigit (status[1])
          || !g_ascii_isdigit (status[2])
          || (status[3] != ' ' && status[3] != '\r')))
    refuse (message, 400, "invalid status");
  else if (message->parser.type == HTTP_RESPONSE
           && strncmp (status, "101", 3) == 0)
    refuse (message, 400, "switch of protocols that was not asked for");
}

/* Refuse what http-parser accepts although RFC 9112 forbids it.  */
static void
check_head_bytes (cs_http1_message_t *message)
{
  const char *text = message->head->str;
  for (gsize i = 0; i < message->head->len; i++)
    if (text[i] == '\n' && (text[i + 1] == ' ' || text[i + 1] == '\t'))
      refuse (message, 400, "obsolete line folding");
    else if (text[i] == '\0')
      refuse (message, 400, "NUL in the header section");
    else if (text[i] == '\r' && text[i + 1] != '\n')
      refuse (message, 400, "carriage return without line feed");
  check_status (message);
}

/* Whether the request begins with a syntactically valid method, known or
   not.  */
static bool
starts_with_method (const cs_http1_message_t *message)
{
  const char *at = message->head->str;
  while (g_ascii_isupper (*at))
    at++;
  return at > message->head->str && *at == ' ';
}

static size_t
parse (cs_http1_message_t *message, const char *data, size_t len)
{
  message->unchecked = data;
  size_t used = http_parser_execute (&message->parser, &settings, data, len);
  enum http_errno error = HTTP_PARSER_ERRNO (&message->parser);
  if (error == HPE_INVALID_METHOD && starts_with_method (message))
    refuse (message, 501, "unknown method");
  else if (error != HPE_OK && error != HPE_PAUSED)
    refuse (message, 400, http_errno_description (error));
  return used;
}

/* Parse what follows the head.  */
static size_t
parse_body (cs_http1_message_t *message, const char *data, size_t len)
{
  bool chunked = message->parser.flags & F_CHUNKED;
  size_t used = parse (message, data, len);
  if (chunked && !message->error_status)
    check_chunk_framing (message, data + used);
  if (message->error_status)
    message->complete = false;
  return used;
}

size_t
cs_http1_message_feed (cs_http1_message_t *message, const char *data,
                       size_t len)
{
  size_t used = 0;
  if (message->error_status || message->complete)
    return 0;
  if (!message->head_complete)
    {
      bool head_complete;
      used = buffer_head (message, data, len, &head_complete);
      if (head_complete && !message->error_status)
        check_head_bytes (message);
      if (!head_complete || message->error_status)
        return used;
      parse (message, message->head->str, message->head->len);
      if (!message->head_complete)
        refuse (message, 400, "malformed header section");
      if (message->error_status)
        return used;
    }
  if (!message->complete && used < len)
    used += parse_body (message, data + used, len - used);
  return used;
}

bool
cs_http1_message_end_input (cs_http1_message_t *message)
{
  if (!message->head_complete || message->complete || message->error_status)
    return message->complete;
  if (!message->close_delimited)
    return false;
  message->complete = true;
  return true;
}

bool
cs_http1_message_has_started (const cs_http1_message_t *message)
{
  return message->head->len > 0;
}

cs_str_t
cs_http1_message_field (const cs_http1_message_t *message, const char *name)
{
  for (guint i = 0; i < message->fields->len; i++)
    {
      const cs_http1_field_t *field
          = &g_array_index (message->fields, cs_http1_field_t, i);
      if (cs_str_equal_nocase (field->name, name))
        return field->value;
    }
  return (cs_str_t){ 0 };
}

int64_t
cs_http1_message_field_number (const cs_http1_message_t *message,
                               const char *name, int64_t max, int64_t missing)
{
  cs_str_t value = cs_http1_message_field (message, name);
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
cs_http1_message_should_keep_alive (const cs_http1_message_t *message)
{
  return !message->close_delimited
         && http_should_keep_alive (&message->parser);
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
