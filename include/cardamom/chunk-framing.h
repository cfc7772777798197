/* The bytes around the chunks of a body: lines of sizes, line ends behind
   chunks, and the trailer section.  The parser is lenient with them, and
   readers that differ in that see other ends of a message.  */
#ifndef CARDAMOM_CHUNK_FRAMING_H
#define CARDAMOM_CHUNK_FRAMING_H

#include <stdbool.h>
#include <stddef.h>

/* Where the next byte is; zeroed: at the beginning of the body.  */
typedef struct
{
  enum
  {
    CS_CHUNK_SIZE,
    CS_CHUNK_SIZE_BLANK, /* Before an extension.  */
    CS_CHUNK_EXTENSION,
    CS_CHUNK_SIZE_LF,
    CS_CHUNK_DATA,
    CS_CHUNK_DATA_CR,
    CS_CHUNK_DATA_LF,
    CS_CHUNK_TRAILER
  } place;
  unsigned digits; /* Of the size.  */
  bool has_data;   /* The size is not 0.  */
  char before;     /* The byte before, in the trailer section.  */
} cs_chunk_framing_t;

/* Check LEN bytes of DATA that are no bytes of a chunk; NULL, or a static text
   that says what is malformed.  */
const char *cs_chunk_framing_check (cs_chunk_framing_t *framing,
                                    const char *data, size_t len);

/* Bytes of a chunk follow the bytes that were checked.  */
void cs_chunk_framing_pass_data (cs_chunk_framing_t *framing);

#endif
