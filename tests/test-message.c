/* The HTTP/1.1 message reader: malformed messages are refused however the
   reads are split, and randomly mutated requests do no harm.  */
#include <string.h>

#include "cardamom/message.h"

#define HEAD_MAX 512
#define BODY_MAX 64

/* Feed TEXT in pieces of STEP bytes; returns the number of bytes consumed.  */
static size_t
feed (cs_http1_message_t *message, const char *text, size_t len, size_t step)
{
  size_t used = 0;
  while (used < len && !message->complete && !message->error_status)
    used += cs_http1_message_feed (message, text + used,
                                   MIN (step, len - used));
  return used;
}

static const struct
{
  const char *what, *text;
  int error_status; /* Expected; 0: the message is accepted.  */
  const char *body; /* Expected.  */
} requests[] = {
  { "plain", "GET /a/b HTTP/1.1\r\nHost: h\r\n\r\n", 0, "" },
  { "length", "PUT / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc", 0,
    "abc" },
  { "chunks",
    "PUT / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
    "2\r\nab\r\n1;x=y\r\nc\r\n0\r\nTrail: 1\r\n\r\n",
    0, "abc" },
  { "blank line before", "\r\nGET / HTTP/1.1\r\nHost: h\r\n\r\n", 0, "" },
  { "two framings",
    "PUT / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
    "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    400, "" },
  { "two framings, the other way round",
    "PUT / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n"
    "Content-Length: 3\r\n\r\n0\r\n\r\n",
    400, "" },
  { "repeated length",
    "PUT / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nContent-Length: 3\r\n"
    "\r\nabc",
    400, "" },
  { "malformed length",
    "PUT / HTTP/1.1\r\nHost: h\r\nContent-Length: 3x\r\n\r\nabc", 400, "" },
  { "signed length",
    "PUT / HTTP/1.1\r\nHost: h\r\nContent-Length: +3\r\n\r\nabc", 400, "" },
  { "unknown coding",
    "PUT / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: gzip\r\n\r\nabc", 400,
    "" },
  { "another coding before the chunks",
    "PUT / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: gzip, chunked\r\n\r\n"
    "0\r\n\r\n",
    400, "" },
  { "two codings",
    "PUT / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n"
    "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    400, "" },
  { "unknown method", "BREW / HTTP/1.1\r\nHost: h\r\n\r\n", 501, "" },
  { "a method in small letters", "get / HTTP/1.1\r\nHost: h\r\n\r\n", 400,
    "" },
  { "space before the colon",
    "PUT / HTTP/1.1\r\nHost: h\r\nContent-Length : 3\r\n\r\nabc", 400, "" },
  { "folded line", "GET / HTTP/1.1\r\nHost: h\r\nA: b\r\n c\r\n\r\n", 400,
    "" },
  { "folded with a tab", "GET / HTTP/1.1\r\nHost: h\r\nA: b\r\n\tc\r\n\r\n",
    400, "" },
  { "bare line feed", "GET / HTTP/1.1\r\nHost: h\nA: b\r\n\r\n", 400, "" },
  { "carriage return alone before a field",
    "GET / HTTP/1.1\r\nHost: h\r\n\rA: b\r\n\r\n", 400, "" },
  { "carriage return alone before the body",
    "PUT / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\rxabc\r\n\r\n", 400,
    "" },
  { "carriage return alone before chunks",
    "PUT / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\rx0\r\n\r\n",
    400, "" },
  { "a higher minor version", "GET / HTTP/1.2\r\nHost: h\r\n\r\n", 0, "" },
  { "version 2", "GET / HTTP/2.0\r\nHost: h\r\n\r\n", 400, "" },
  { "version 0", "GET / HTTP/0.9\r\nHost: h\r\n\r\n", 400, "" },
  { "no version", "GET /\r\nHost: h\r\n\r\n", 400, "" },
  { "tab in the target", "GET /a\tb HTTP/1.1\r\nHost: h\r\n\r\n", 400, "" },
  { "form feed in the target", "GET /a\fb HTTP/1.1\r\nHost: h\r\n\r\n", 400,
    "" },
  { "no host", "GET / HTTP/1.1\r\nA: b\r\n\r\n", 400, "" },
  { "two hosts", "GET / HTTP/1.1\r\nHost: h\r\nHost: g\r\n\r\n", 400, "" },
  { "tunnel", "CONNECT h:1 HTTP/1.1\r\nHost: h\r\n\r\n", 400, "" },
  { "body over the limit",
    "PUT / HTTP/1.1\r\nHost: h\r\nContent-Length: 65\r\n\r\n", 413, "" },
  { "not an HTTP request", "\x16\x03\x01 rubbish\r\n\r\n", 400, "" },
};

static void
test_requests (void)
{
  static const size_t steps[] = { 1, 2, 3, 7, 64, 4096 };
  for (size_t i = 0; i < G_N_ELEMENTS (requests); i++)
    for (size_t j = 0; j < G_N_ELEMENTS (steps); j++)
      {
        cs_http1_message_t message;
        const char *text = requests[i].text;
        cs_http1_message_init (&message, HTTP_REQUEST, HEAD_MAX, BODY_MAX);
        feed (&message, text, strlen (text), steps[j]);
        g_test_message ("%s, %zu at a time", requests[i].what, steps[j]);
        g_assert_cmpint (message.error_status, ==, requests[i].error_status);
        g_assert_cmpint (message.complete, ==, !requests[i].error_status);
        if (!requests[i].error_status)
          g_assert_cmpstr (message.body->str, ==, requests[i].body);
        cs_http1_message_clear (&message);
      }
}

static void
test_limits (void)
{
  cs_http1_message_t message;
  GString *text = g_string_new ("GET / HTTP/1.1\r\nHost: h\r\nA: ");
  for (int i = 0; i < HEAD_MAX; i++)
    g_string_append_c (text, 'x');
  g_string_append (text, "\r\n\r\n");
  cs_http1_message_init (&message, HTTP_REQUEST, HEAD_MAX, BODY_MAX);
  feed (&message, text->str, text->len, 16);
  g_assert_cmpint (message.error_status, ==, 431);
  cs_http1_message_clear (&message);
  g_string_assign (text, "PUT / HTTP/1.1\r\nHost: h\r\n"
                         "Transfer-Encoding: chunked\r\n\r\n41\r\n");
  for (int i = 0; i < 65; i++)
    g_string_append_c (text, 'x');
  cs_http1_message_init (&message, HTTP_REQUEST, HEAD_MAX, BODY_MAX);
  feed (&message, text->str, text->len, 16);
  g_assert_cmpint (message.error_status, ==, 413);
  cs_http1_message_clear (&message);
  g_string_free (text, TRUE);
}

/* Reading stops at the end of a message, and goes on after a reset.  */
static void
test_pipelined (void)
{
  static const char text[] = "PUT /1 HTTP/1.1\r\nHost: h\r\n"
                             "Content-Length: 2\r\n\r\nab"
                             "GET /2 HTTP/1.1\r\nHost: h\r\n\r\n";
  cs_http1_message_t message;
  cs_http1_message_init (&message, HTTP_REQUEST, HEAD_MAX, BODY_MAX);
  size_t used = cs_http1_message_feed (&message, text, sizeof text - 1);
  g_assert_true (message.complete);
  g_assert_cmpstr (message.body->str, ==, "ab");
  cs_http1_message_reset (&message);
  used
      += cs_http1_message_feed (&message, text + used, sizeof text - 1 - used);
  g_assert_true (message.complete);
  g_assert_cmpuint (used, ==, sizeof text - 1);
  g_assert_true (cs_str_equal (message.request_target, CS_STR ("/2")));
  cs_http1_message_clear (&message);
}

static void
test_answers (void)
{
  static const struct
  {
    const char *what, *text;
    bool is_head, complete, whole_at_end;
  } cases[] = {
    { "length", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab", false, true,
      true },
    { "short of its length", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nab",
      false, false, false },
    { "short of its last chunk",
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n",
      false, false, false },
    { "body that ends with the connection", "HTTP/1.1 200 OK\r\n\r\nab", false,
      false, true },
    { "no body", "HTTP/1.1 204 No Content\r\n\r\n", false, true, true },
    { "answer to HEAD", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n", true,
      true, true },
    { "incomplete head", "HTTP/1.1 200 OK\r\nConte", false, false, false },
  };
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      cs_http1_message_t message;
      cs_http1_message_init (&message, HTTP_RESPONSE, HEAD_MAX, BODY_MAX);
      message.skip_body = cases[i].is_head;
      feed (&message, cases[i].text, strlen (cases[i].text), 5);
      g_test_message ("%s", cases[i].what);
      g_assert_cmpint (message.error_status, ==, 0);
      g_assert_cmpint (message.complete, ==, cases[i].complete);
      g_assert_cmpint (cs_http1_message_end_input (&message), ==,
                       cases[i].whole_at_end);
      cs_http1_message_clear (&message);
    }
}

/* Lines that are no fields are refused in the head of an answer or, as DATA
   says, in the trailer of one in chunks, however the reads split them.  */
static void
test_malformed_fields (gconstpointer data)
{
  static const size_t steps[] = { 1, 3, 4096 };
#define LINE(text)                                                            \
  {                                                                           \
    text, sizeof text - 1                                                     \
  }
  static const struct
  {
    const char *text;
    size_t len;
  } lines[] = {
    LINE (": v\r\n"),       LINE ("A B: v\r\n"),     LINE ("A\tB: v\r\n"),
    LINE ("A\001B: v\r\n"), LINE ("A\0B: v\r\n"),    LINE ("A\177B: v\r\n"),
    LINE ("A\351B: v\r\n"), LINE ("A\"B: v\r\n"),    LINE ("A : v\r\n"),
    LINE (" A: v\r\n"),     LINE ("A: v\r\n w\r\n"), LINE ("A: v\r\n\tw\r\n"),
    LINE ("A: v\rw\r\n"),   LINE ("A: v\0w\r\n"),    LINE ("A: v\001w\r\n"),
    LINE ("A: v\n"),        LINE ("A\r\n"),          LINE ("\rA: v\r\n"),
    LINE ("A: \001\r\n"),
  };
#undef LINE
  for (size_t i = 0; i < G_N_ELEMENTS (lines); i++)
    for (size_t j = 0; j < G_N_ELEMENTS (steps); j++)
      {
        bool trailer = data != NULL;
        cs_http1_message_t message;
        GString *text = g_string_new ("HTTP/1.1 200 OK\r\n");
        g_string_append (text, trailer ? "Transfer-Encoding: chunked\r\n\r\n"
                                         "2\r\nab\r\n0\r\nZ: 1\r\n"
                                       : "Content-Length: 0\r\nZ: 1\r\n");
        g_string_append_len (text, lines[i].text, (gssize)lines[i].len);
        g_string_append (text, "\r\n");
        cs_http1_message_init (&message, HTTP_RESPONSE, HEAD_MAX, BODY_MAX);
        feed (&message, text->str, text->len, steps[j]);
        g_test_message ("line %zu, %zu at a time", i, steps[j]);
        g_assert_cmpint (message.error_status, ==, 400);
        g_assert_false (message.complete);
        cs_http1_message_clear (&message);
        g_string_free (text, TRUE);
      }
}

/* Bodies in chunks, of requests and of answers, however the reads split them:
   the bytes around the chunks are all checked, for a reader that is stricter
   or more lenient sees another end of the message.  */
static void
test_chunks (void)
{
  static const size_t steps[] = { 1, 2, 3, 4, 5, 7, 4096 };
  static const enum http_parser_type types[] = { HTTP_REQUEST, HTTP_RESPONSE };
#define BODY(text) text, sizeof text - 1
#define LAST "0\r\n\r\n"
  static const struct
  {
    const char *text;
    size_t len;
    const char *body; /* Expected; NULL: the message is malformed.  */
  } cases[] = {
    { BODY ("2\r\nab\r\n1\r\nc\r\n" LAST), "abc" },
    { BODY ("00A\r\n0123456789\r\n1\r\n\n\r\n" LAST), "0123456789\n" },
    { BODY ("a\r\n\r\n0\r\n\r\n\r\nX\r\n000\r\n\r\n"), "\r\n0\r\n\r\n\r\nX" },
    { BODY ("0000000000000002\r\nab\r\n" LAST), "ab" },
    { BODY ("2;x=y\r\nab\r\n2 \t; x=\"\351;\t\"\r\ncd\r\n0;z\r\n\r\n"),
      "abcd" },
    { BODY ("2\r\nab\r\n0\r\nTrail: 1\r\nOther: 2\r\n\r\n"), "ab" },
    /* Behind a size.  */
    { BODY ("2\rXab\r\n" LAST), NULL },
    { BODY ("2\r\rab\r\n" LAST), NULL },
    { BODY ("2\nab\r\n" LAST), NULL },
    { BODY ("2;x\rXab\r\n" LAST), NULL },
    { BODY ("2;x\ny\r\nab\r\n" LAST), NULL },
    { BODY ("2;\n2\r\nab\r\n" LAST), NULL },
    { BODY ("2;x\0y\r\nab\r\n" LAST), NULL },
    { BODY ("2;x\177y\r\nab\r\n" LAST), NULL },
    { BODY ("2 \r\nab\r\n" LAST), NULL },
    { BODY ("2 3\r\nab\r\n" LAST), NULL },
    { BODY ("2 x\r\nab\r\n" LAST), NULL },
    /* Behind a chunk.  */
    { BODY ("2\r\nabXY" LAST), NULL },
    { BODY ("2\r\nab\rY" LAST), NULL },
    { BODY ("2\r\nabX\n" LAST), NULL },
    { BODY ("2\r\nab\n\n" LAST), NULL },
    { BODY ("2\r\nab" LAST), NULL },
    { BODY ("2\r\nabc\r\n" LAST), NULL },
    /* Sizes.  */
    { BODY ("\r\nab\r\n" LAST), NULL },
    { BODY (";x\r\nab\r\n" LAST), NULL },
    { BODY ("+2\r\nab\r\n" LAST), NULL },
    { BODY ("-2\r\nab\r\n" LAST), NULL },
    { BODY (" 2\r\nab\r\n" LAST), NULL },
    { BODY ("\t2\r\nab\r\n" LAST), NULL },
    { BODY ("0x2\r\nab\r\n" LAST), NULL },
    { BODY ("2g\r\nab\r\n" LAST), NULL },
    { BODY ("2_\r\nab\r\n" LAST), NULL },
    { BODY ("00000000000000002\r\nab\r\n" LAST), NULL },
    { BODY ("10000000000000002\r\nab\r\n" LAST), NULL },
    /* Behind the last chunk.  */
    { BODY ("2\r\nab\r\n0\rX\r\n"), NULL },
    { BODY ("2\r\nab\r\n0\n\n"), NULL },
    { BODY ("2\r\nab\r\n0\r\n\rX"), NULL },
    { BODY ("2\r\nab\r\n0\r\n\n"), NULL },
    { BODY ("2\r\nab\r\n0\r\nTrail: 1\r\n\rX"), NULL },
    { BODY ("2\r\nab\r\n0 0\r\n\r\n"), NULL },
  };
  for (size_t i = 0; i < G_N_ELEMENTS (cases) * G_N_ELEMENTS (types); i++)
    for (size_t j = 0; j < G_N_ELEMENTS (steps); j++)
      {
        size_t at = i / G_N_ELEMENTS (types);
        enum http_parser_type type = types[i % G_N_ELEMENTS (types)];
        GString *text = g_string_new (type == HTTP_REQUEST
                                          ? "PUT / HTTP/1.1\r\nHost: h\r\n"
                                          : "HTTP/1.1 200 OK\r\n");
        cs_http1_message_t message;
        g_string_append (text, "Transfer-Encoding: chunked\r\n\r\n");
        g_string_append_len (text, cases[at].text, (gssize)cases[at].len);
        cs_http1_message_init (&message, type, HEAD_MAX, BODY_MAX);
        size_t used = feed (&message, text->str, text->len, steps[j]);
        g_test_message ("case %zu, type %d, %zu at a time", at, type,
                        steps[j]);
        g_assert_cmpint (message.error_status, ==, cases[at].body ? 0 : 400);
        g_assert_cmpint (message.complete, ==, cases[at].body != NULL);
        if (cases[at].body)
          {
            g_assert_cmpuint (used, ==, text->len);
            g_assert_cmpstr (message.body->str, ==, cases[at].body);
          }
        cs_http1_message_clear (&message);
        g_string_free (text, TRUE);
      }
#undef LAST
#undef BODY
}

#define ENDLESS_BYTES (1 << 20)

/* A line of a size, an extension or a trailer without an end is refused.  */
static void
test_endless_chunk_lines (void)
{
  static const char *const begins[] = { "2;", "2 ", "0\r\nTrail: " };
  static const char fills[] = { 'x', ' ', 'x' };
  for (size_t i = 0; i < G_N_ELEMENTS (begins); i++)
    {
      cs_http1_message_t message;
      char *fill = g_strnfill (ENDLESS_BYTES, fills[i]);
      char *text = g_strconcat ("PUT / HTTP/1.1\r\nHost: h\r\n"
                                "Transfer-Encoding: chunked\r\n\r\n",
                                begins[i], fill, NULL);
      cs_http1_message_init (&message, HTTP_REQUEST, HEAD_MAX, BODY_MAX);
      feed (&message, text, strlen (text), 1000);
      g_test_message ("%s", begins[i]);
      g_assert_cmpint (message.error_status, ==, 400);
      cs_http1_message_clear (&message);
      g_free (fill);
      g_free (text);
    }
}

/* Random mutations of the requests above, from a fixed seed: each is accepted,
   refused, or incomplete.  A body never exceeds its limit, and no accepted
   request has both Content-Length and Transfer-Encoding.  */
static void
test_mutations (void)
{
  GRand *random = g_rand_new_with_seed (20261204);
  for (int round = 0; round < 20000; round++)
    {
      const char *text
          = requests[g_rand_int_range (random, 0, G_N_ELEMENTS (requests))]
                .text;
      GString *mutated = g_string_new (text);
      for (int i = g_rand_int_range (random, 1, 5); i > 0 && mutated->len; i--)
        {
          gsize at = (gsize)g_rand_int_range (random, 0, (gint)mutated->len);
          switch (g_rand_int_range (random, 0, 3))
            {
            case 0:
              mutated->str[at] = (char)g_rand_int_range (random, 0, 256);
              break;
            case 1:
              g_string_erase (mutated, (gssize)at, 1);
              break;
            default:
              g_string_insert_len (mutated, (gssize)at, "\r\n 0:9,", 1);
            }
        }
      cs_http1_message_t message;
      cs_http1_message_init (&message, HTTP_REQUEST, HEAD_MAX, BODY_MAX);
      feed (&message, mutated->str, mutated->len,
            (size_t)g_rand_int_range (random, 1, 40));
      g_assert_false (message.complete && message.error_status);
      g_assert_cmpuint (message.body->len, <=, BODY_MAX);
      if (message.complete)
        g_assert_false (
            cs_http1_message_field (&message, "content-length").data
            && cs_http1_message_field (&message, "transfer-encoding").data);
      cs_http1_message_clear (&message);
      g_string_free (mutated, TRUE);
    }
  g_rand_free (random);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/message/requests", test_requests);
  g_test_add_func ("/message/limits", test_limits);
  g_test_add_func ("/message/pipelined", test_pipelined);
  g_test_add_func ("/message/answers", test_answers);
  g_test_add_data_func ("/message/malformed-fields", NULL,
                        test_malformed_fields);
  g_test_add_data_func ("/message/malformed-trailer", "trailer",
                        test_malformed_fields);
  g_test_add_func ("/message/chunks", test_chunks);
  g_test_add_func ("/message/endless-chunk-lines", test_endless_chunk_lines);
  g_test_add_func ("/message/mutants", test_mutations);
  return g_test_run ();
}
