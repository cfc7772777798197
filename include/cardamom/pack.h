/* Encoding and decoding of msgpack payloads.  Input from the network is
   checked before memory is allocated for it.  */
#ifndef CARDAMOM_PACK_H
#define CARDAMOM_PACK_H

#include <glib.h>
#include <msgpack.h>
#include <stdbool.h>
#include <stdint.h>

#include "cardamom/context.h"
#include "cardamom/str.h"

/* An encoder that appends values to a payload.  */
typedef struct
{
  msgpack_sbuffer buffer;
  msgpack_packer packer;
} cs_pack_t;

/* Initialise PACK; free it with cs_pack_clear.  */
void cs_pack_init (cs_pack_t *pack);
void cs_pack_clear (cs_pack_t *pack);

/* Begin an array; the next COUNT values are its elements.  */
void cs_pack_array (cs_pack_t *pack, size_t count);
void cs_pack_int64 (cs_pack_t *pack, int64_t value);
void cs_pack_uint64 (cs_pack_t *pack, uint64_t value);
/* Append a msgpack string, from a view or from a NUL-terminated string.  */
void cs_pack_str (cs_pack_t *pack, cs_str_t text);
void cs_pack_text (cs_pack_t *pack, const char *text);
/* Append a msgpack binary, for data that need not be UTF-8.  */
void cs_pack_bytes (cs_pack_t *pack, cs_str_t bytes);

/* A view of the payload so far, valid until the next call on PACK.  */
cs_str_t cs_pack_payload (const cs_pack_t *pack);

/* A decoded payload whose outermost value is an array.  */
typedef struct
{
  msgpack_unpacked unpacked;
} cs_unpack_t;

/* A position in a decoded array.  Reading past the end, or a value of another
   type than asked for, sets FAILED and returns a zero or empty value, as do
   all reads after that.  Check FAILED once after the last read.  */
typedef struct
{
  const msgpack_object *next; /* The next value.  */
  size_t remaining;           /* Number of values not yet read.  */
  bool failed;
} cs_unpack_cursor_t;

/* Decode PAYLOAD, which must stay valid as long as UNPACK, and set CURSOR to
   the first element of its array.  CS_CORRUPT, with nothing to free, unless
   PAYLOAD is exactly one array.  */
cs_status_t cs_unpack_init (cs_ctx_t *ctx, cs_unpack_t *unpack,
                            cs_str_t payload, cs_unpack_cursor_t *cursor);
void cs_unpack_clear (cs_unpack_t *unpack);

/* Read an integer and advance the cursor; the other reads advance it too.  */
int64_t cs_unpack_int64 (cs_unpack_cursor_t *cursor);
uint64_t cs_unpack_uint64 (cs_unpack_cursor_t *cursor);
/* A view into the payload, of a msgpack string or binary.  */
cs_str_t cs_unpack_str (cs_unpack_cursor_t *cursor);
/* A NUL-terminated copy of a string or binary, which the caller frees with
   g_free; "" on failure.  */
char *cs_unpack_text (cs_unpack_cursor_t *cursor);
/* A cursor at the first element of a nested array; its FAILED is set on
   failure.  */
cs_unpack_cursor_t cs_unpack_array (cs_unpack_cursor_t *cursor);

#endif
