/* Building and reading msgpack payloads, with bounds.  */
#ifndef CARDAMOM_PACK_H
#define CARDAMOM_PACK_H

#include <glib.h>
#include <msgpack.h>
#include <stdbool.h>
#include <stdint.h>

#include "cardamom/context.h"
#include "cardamom/str.h"

/* A payload under construction.  */
typedef struct
{
  msgpack_sbuffer buffer;
  msgpack_packer packer;
} cs_pack_t;

/* Initialise PACK; free it with cs_pack_clear.  */
void cs_pack_init (cs_pack_t *pack);
void cs_pack_clear (cs_pack_t *pack);

void cs_pack_array (cs_pack_t *pack, size_t count);
void cs_pack_number (cs_pack_t *pack, int64_t value);
void cs_pack_unsigned (cs_pack_t *pack, uint64_t value);
void cs_pack_str (cs_pack_t *pack, cs_str_t text);
void cs_pack_text (cs_pack_t *pack, const char *text);
void cs_pack_bytes (cs_pack_t *pack, cs_str_t bytes);

/* What has been packed so far; valid until the next call on PACK.  */
cs_str_t cs_pack_payload (const cs_pack_t *pack);

/* A decoded payload whose outermost value is an array.  */
typedef struct
{
  msgpack_unpacked unpacked;
} cs_unpack_t;

/* A position in an array.  Taking a value of another type than stands there,
   or past the end, sets BAD and gives a zero or empty value; check BAD once
   after the last take.  */
typedef struct
{
  const msgpack_object *at;
  size_t left;
  bool bad;
} cs_cursor_t;

/* Decode PAYLOAD, which must stay valid as long as UNPACK.  CS_CORRUPT unless
   it is exactly one array.  */
cs_status_t cs_unpack_init (cs_ctx_t *ctx, cs_unpack_t *unpack,
                            cs_str_t payload, cs_cursor_t *cursor);
void cs_unpack_clear (cs_unpack_t *unpack);

int64_t cs_take_number (cs_cursor_t *cursor);
uint64_t cs_take_unsigned (cs_cursor_t *cursor);
/* A view into the payload, of a string or of bytes.  */
cs_str_t cs_take_str (cs_cursor_t *cursor);
/* A copy, freed by the caller with g_free; "" when the value is bad.  */
char *cs_take_text (cs_cursor_t *cursor);
/* Step into a nested array; the position in it.  */
cs_cursor_t cs_take_array (cs_cursor_t *cursor);

#endif
