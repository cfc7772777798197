/* Incremental reader of HTTP/1.1 messages, requests and answers.  */
#ifndef CARDAMOM_MESSAGE_H
#define CARDAMOM_MESSAGE_H

#include <glib.h>
#include <http_parser.h>
#include <stdbool.h>

#include "cardamom/chunk-framing.h"
#include "cardamom/str.h"

/* One header field; views into the HEAD of its message.  */
typedef struct
{
  cs_str_t name, value;
} cs_http1_field_t;

/* A message that is being read.  The head is buffered whole before it is
   parsed, so that every view points into one buffer, and a folded line or a
   bare line feed is detected wherever the reads split it.  */
typedef struct
{
  http_parser parser;
  GString *head;
  GString *body;
  GArray *fields;            /* Of cs_http1_field_t; without trailers.  */
  cs_str_t request_target;   /* Of a request, as sent.  */
  size_t head_max, body_max; /* Bytes.  */
  size_t blank_bytes;        /* Bytes of blank lines before the head.  */
  /* Whether the head, and whether the whole message, has been read.  */
  bool head_complete, complete;
  bool skip_body; /* The answer is to HEAD; set before feeding.  */
  /* Close-delimited: the body ends with the connection.  */
  bool close_delimited;
  cs_chunk_framing_t chunk_framing;
  /* Within the bytes being read: what the chunks' framing is not yet checked
     of.  */
  const char *unchecked;
  /* Of an answer: the memory that its body has in a budget; NULL: none.  */
  struct cs_claim *claim;
  /* 0, or the HTTP status that refuses the message: 400 (malformed), 413 (body
     too large), 431 (head too large) or 501 (unknown method).  For an answer
     it only says why the message was rejected; nothing is sent.  */
  int error_status;
  const char *error_text; /* Static text that describes ERROR_STATUS.  */
} cs_http1_message_t;

/* Initialise MESSAGE for one of TYPE (HTTP_REQUEST or HTTP_RESPONSE), whose
   head and body are limited to HEAD_MAX and BODY_MAX bytes.  The caller
   releases it with cs_http1_message_clear.  */
void cs_http1_message_init (cs_http1_message_t *message,
                            enum http_parser_type type, size_t head_max,
                            size_t body_max);
void cs_http1_message_clear (cs_http1_message_t *message);

/* Prepare MESSAGE to read the next one; buffers over a few KB are freed.  */
void cs_http1_message_reset (cs_http1_message_t *message);

/* Read DATA up to the end of the message; returns the number of bytes
   consumed.  The caller checks ERROR_STATUS, HEAD_COMPLETE and COMPLETE
   afterwards.  */
size_t cs_http1_message_feed (cs_http1_message_t *message, const char *data,
                              size_t len);

/* Signal the end of the connection.  Returns whether the message is whole,
   which a close-delimited one becomes by this.  */
bool cs_http1_message_end_input (cs_http1_message_t *message);

/* Whether any byte of the head has been read; blank lines before it do not
   count.  */
bool cs_http1_message_has_started (const cs_http1_message_t *message);

/* The value of the first field called NAME, ignoring case; the empty view with
   NULL data if there is none.  */
cs_str_t cs_http1_message_field (const cs_http1_message_t *message,
                                 const char *name);

/* The value of the field NAME as an unsigned decimal number; MISSING if there
   is no such field or its value is not a number up to MAX.  */
int64_t cs_http1_message_field_number (const cs_http1_message_t *message,
                                       const char *name, int64_t max,
                                       int64_t missing);

/* Whether the connection stays open after this message.  */
bool cs_http1_message_should_keep_alive (const cs_http1_message_t *message);

/* Whether the field NAME must not be forwarded: a hop-by-hop field or
   Expect.  */
bool cs_http1_field_is_hop_by_hop (cs_str_t name);

/* Whether S equals TEXT, ignoring case.  */
bool cs_str_equal_nocase (cs_str_t s, const char *text);

#endif
