/* Answers of a server, well-formed and malformed, for the tests of all that
   read them.  */
#ifndef TESTS_ANSWER_CASES_H
#define TESTS_ANSWER_CASES_H

#include <glib.h>
#include <stdbool.h>

#define ANSWER_OWN "Id: own\r\n"
#define ANSWER_BODY ANSWER_OWN "Content-Length: 4\r\n\r\nbody"
#define ANSWER_OK "HTTP/1.1 200 OK\r\n"
#define ANSWER_FIELD(line) ANSWER_OK line ANSWER_BODY
#define ANSWER_LENGTH(value)                                                  \
  ANSWER_OK ANSWER_OWN "Content-Length:" value "\r\n\r\nbody"
#define ANSWER_CODING(value, rest)                                            \
  ANSWER_OK ANSWER_OWN "Transfer-Encoding:" value "\r\n" rest                 \
                       "\r\n4\r\nbody\r\n0\r\n\r\n"
#define ANSWER_CHUNKS(body)                                                   \
  ANSWER_OK ANSWER_OWN "Transfer-Encoding: chunked\r\n\r\n" body
#define ANSWER_INTERIM "HTTP/1.1 103 Early\r\n\r\n"
#define ANSWER_INTERIM_4                                                      \
  ANSWER_INTERIM ANSWER_INTERIM ANSWER_INTERIM ANSWER_INTERIM
#define ANSWER_INTERIM_16                                                     \
  ANSWER_INTERIM_4 ANSWER_INTERIM_4 ANSWER_INTERIM_4 ANSWER_INTERIM_4

#define TEXT(text) text, sizeof text - 1

static const struct
{
  const char *name, *text;
  size_t len;
  const char *expected; /* "STATUS BODY"; NULL: malformed.  */
  bool is_head;
} answer_cases[] = {
  { "status-000", TEXT ("HTTP/1.1 000 No\r\n" ANSWER_BODY), NULL, false },
  { "status-099", TEXT ("HTTP/1.1 099 No\r\n" ANSWER_BODY), NULL, false },
  { "status-20", TEXT ("HTTP/1.1 20 No\r\n" ANSWER_BODY), NULL, false },
  { "status-0200", TEXT ("HTTP/1.1 0200 No\r\n" ANSWER_BODY), NULL, false },
  { "status-600", TEXT ("HTTP/1.1 600 No\r\n" ANSWER_BODY), NULL, false },
  { "status-999", TEXT ("HTTP/1.1 999 No\r\n" ANSWER_BODY), NULL, false },
  { "status-2000", TEXT ("HTTP/1.1 2000 No\r\n" ANSWER_BODY), NULL, false },
  { "status-signed", TEXT ("HTTP/1.1 -20 No\r\n" ANSWER_BODY), NULL, false },
  { "status-missing", TEXT ("HTTP/1.1\r\n" ANSWER_BODY), NULL, false },
  { "status-alone", TEXT ("HTTP/1.1 200\r\n" ANSWER_BODY), "200 body", false },
  { "status-cr", TEXT ("HTTP/1.1 200 OK\rX" ANSWER_BODY), NULL, false },
  { "version-higher", TEXT ("HTTP/1.2 200 OK\r\n" ANSWER_BODY), "200 body",
    false },
  { "version-lower", TEXT ("HTTP/1.0 200 OK\r\n" ANSWER_BODY), "200 body",
    false },
  { "version-2", TEXT ("HTTP/2.0 200 OK\r\n" ANSWER_BODY), NULL, false },
  { "version-0", TEXT ("HTTP/0.9 200 OK\r\n" ANSWER_BODY), NULL, false },
  { "version-11", TEXT ("HTTP/11 200 OK\r\n" ANSWER_BODY), NULL, false },
  { "version-none", TEXT ("HTTP 200 OK\r\n" ANSWER_BODY), NULL, false },
  { "protocol-none", TEXT ("200 OK\r\n" ANSWER_BODY), NULL, false },
  { "protocol-other", TEXT ("ICYP/1.1 200 OK\r\n" ANSWER_BODY), NULL, false },
  { "two-blanks", TEXT ("HTTP/1.1  200 OK\r\n" ANSWER_BODY), NULL, false },
  { "line-feeds", TEXT ("HTTP/1.1 200 OK\nId: own\nContent-Length: 4\n\nbody"),
    NULL, false },
  { "name-empty", TEXT (ANSWER_FIELD (": v\r\n")), NULL, false },
  { "name-blank", TEXT (ANSWER_FIELD ("A B: v\r\n")), NULL, false },
  { "name-tab", TEXT (ANSWER_FIELD ("A\tB: v\r\n")), NULL, false },
  { "name-control", TEXT (ANSWER_FIELD ("A\001B: v\r\n")), NULL, false },
  { "name-nul", TEXT (ANSWER_FIELD ("A\0B: v\r\n")), NULL, false },
  { "name-high", TEXT (ANSWER_FIELD ("A\351B: v\r\n")), NULL, false },
  { "name-quote", TEXT (ANSWER_FIELD ("A\"B: v\r\n")), NULL, false },
  { "name-before-blank", TEXT (ANSWER_FIELD ("A : v\r\n")), NULL, false },
  { "folded", TEXT (ANSWER_FIELD ("A: v\r\n w\r\n")), NULL, false },
  { "folded-tab", TEXT (ANSWER_FIELD ("A: v\r\n\tw\r\n")), NULL, false },
  { "value-cr", TEXT (ANSWER_FIELD ("A: v\rw\r\n")), NULL, false },
  { "value-nul", TEXT (ANSWER_FIELD ("A: v\0w\r\n")), NULL, false },
  { "value-control", TEXT (ANSWER_FIELD ("A: v\001\r\n")), NULL, false },
  { "value-control-first", TEXT (ANSWER_FIELD ("A: \001\r\n")), NULL, false },
  { "value-delete-first", TEXT (ANSWER_FIELD ("A: \177v\r\n")), NULL, false },
  { "value-high", TEXT (ANSWER_FIELD ("A: \351\r\n")), "200 body", false },
  { "value-empty", TEXT (ANSWER_FIELD ("A:\r\n")), "200 body", false },
  { "blank-line-cr",
    TEXT (ANSWER_OK ANSWER_OWN "Content-Length: 4\r\n\rXbody"
                               "\r\n\r\n"),
    NULL, false },
  { "length-twice", TEXT (ANSWER_LENGTH (" 4\r\nContent-Length: 4")), NULL,
    false },
  { "lengths", TEXT (ANSWER_LENGTH (" 4\r\nContent-Length: 3")), NULL, false },
  { "length-list", TEXT (ANSWER_LENGTH (" 4, 4")), NULL, false },
  { "length-empty", TEXT (ANSWER_LENGTH ("")), NULL, false },
  { "length-plus", TEXT (ANSWER_LENGTH (" +4")), NULL, false },
  { "length-minus", TEXT (ANSWER_LENGTH (" -4")), NULL, false },
  { "length-blank", TEXT (ANSWER_LENGTH (" 4 4")), NULL, false },
  { "length-hex", TEXT (ANSWER_LENGTH (" 0x4")), NULL, false },
  { "length-2-64", TEXT (ANSWER_LENGTH (" 18446744073709551616")), NULL,
    false },
  { "length-over-2-64", TEXT (ANSWER_LENGTH (" 18446744073709551620")), NULL,
    false },
  { "coding-and-length",
    TEXT (ANSWER_CODING (" chunked", "Content-Length: 4\r\n")), NULL, false },
  { "length-and-coding",
    TEXT (ANSWER_LENGTH (" 4\r\nTransfer-Encoding: chunked")), NULL, false },
  { "coding-other", TEXT (ANSWER_CODING (" gzip", "")), NULL, false },
  { "coding-before", TEXT (ANSWER_CODING (" gzip, chunked", "")), NULL,
    false },
  { "coding-behind", TEXT (ANSWER_CODING (" chunked, gzip", "")), NULL,
    false },
  { "coding-identity", TEXT (ANSWER_CODING (" identity", "")), NULL, false },
  { "coding-empty", TEXT (ANSWER_CODING ("", "")), NULL, false },
  { "coding-twice",
    TEXT (ANSWER_CODING (" chunked", "Transfer-Encoding: chunked\r\n")), NULL,
    false },
  { "coding-capitals", TEXT (ANSWER_CODING (" CHUNKED ", "")), "200 body",
    false },
  { "coding-tab", TEXT (ANSWER_CODING (" chunked\t", "")), NULL, false },
  { "chunk-size", TEXT (ANSWER_CHUNKS ("4\rXbody\r\n0\r\n\r\n")), NULL,
    false },
  { "chunk-end", TEXT (ANSWER_CHUNKS ("4\r\nbodyXY0\r\n\r\n")), NULL, false },
  { "chunk-extension", TEXT (ANSWER_CHUNKS ("4;\na\r\nbody\r\n0\r\n\r\n")),
    NULL, false },
  { "trailer", TEXT (ANSWER_CHUNKS ("4\r\nbody\r\n0\r\nA B: c\r\n\r\n")), NULL,
    false },
  { "interim-16", TEXT (ANSWER_INTERIM_16 ANSWER_OK ANSWER_BODY), "200 body",
    false },
  { "interim-endless",
    TEXT (ANSWER_INTERIM_16 ANSWER_INTERIM ANSWER_OK ANSWER_BODY), NULL,
    false },
  { "switch",
    TEXT ("HTTP/1.1 101 Switching\r\nUpgrade: x\r\nConnection: "
          "Upgrade\r\n\r\n" ANSWER_OK ANSWER_BODY),
    NULL, false },
  { "switch-alone",
    TEXT ("HTTP/1.1 101 Switching\r\n\r\n" ANSWER_OK ANSWER_BODY), NULL,
    false },
  { "no-body", TEXT ("HTTP/1.1 204 No\r\n" ANSWER_OWN "\r\n"), "204 ", false },
  { "no-body-length", TEXT ("HTTP/1.1 204 No\r\n" ANSWER_BODY), "204 ",
    false },
  { "no-body-chunks",
    TEXT ("HTTP/1.1 204 No\r\n" ANSWER_OWN
          "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"),
    "204 ", false },
  { "not-modified-length",
    TEXT ("HTTP/1.1 304 Not\r\n" ANSWER_OWN "Content-Length: 4\r\n\r\n"),
    "304 ", false },
  { "not-modified-chunks",
    TEXT ("HTTP/1.1 304 Not\r\n" ANSWER_OWN
          "Transfer-Encoding: chunked\r\n\r\n"),
    "304 ", false },
  { "interim-length",
    TEXT ("HTTP/1.1 103 Early\r\nContent-Length: 4\r\n\r\n" ANSWER_OK
              ANSWER_BODY),
    "200 body", false },
  { "interim-body",
    TEXT ("HTTP/1.1 103 Early\r\n" ANSWER_BODY ANSWER_OK ANSWER_BODY), NULL,
    false },
  { "interim-chunks",
    TEXT ("HTTP/1.1 103 Early\r\nTransfer-Encoding: chunked\r\n\r\n" ANSWER_OK
              ANSWER_BODY),
    "200 body", false },
  { "not-modified-large",
    TEXT ("HTTP/1.1 304 Not\r\n" ANSWER_OWN
          "Content-Length: 999999999\r\n\r\n"),
    "304 ", false },
  { "head-large", TEXT (ANSWER_LENGTH (" 999999999")), "200 ", true },
  { "head-length", TEXT (ANSWER_LENGTH (" 4")), "200 ", true },
  { "head-chunks", TEXT (ANSWER_CHUNKS ("4\r\nbody\r\n0\r\n\r\n")), "200 ",
    true },
};

#undef TEXT

#endif
