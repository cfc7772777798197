#include <string.h>

#include "cardamom/pack.h"

void
cs_pack_init (cs_pack_t *pack)
{
  msgpack_sbuffer_init (&pack->buffer);
  msgpack_packer_init (&pack->packer, &pack->buffer, msgpack_sbuffer_write);
}

void
cs_pack_clear (cs_pack_t *pack)
{
  msgpack_sbuffer_destroy (&pack->buffer);
}

void
cs_pack_array (cs_pack_t *pack, size_t count)
{
  msgpack_pack_array (&pack->packer, count);
}

void
cs_pack_int64 (cs_pack_t *pack, int64_t value)
{
  msgpack_pack_int64 (&pack->packer, value);
}

void
cs_pack_uint64 (cs_pack_t *pack, uint64_t value)
{
  msgpack_pack_uint64 (&pack->packer, value);
}

void
cs_pack_str (cs_pack_t *pack, cs_str_t text)
{
  msgpack_pack_str (&pack->packer, text.len);
  if (text.len)
    msgpack_pack_str_body (&pack->packer, text.data, text.len);
}

void
cs_pack_text (cs_pack_t *pack, const char *text)
{
  cs_pack_str (pack, cs_str_of (text));
}

void
cs_pack_bytes (cs_pack_t *pack, cs_str_t bytes)
{
  msgpack_pack_bin (&pack->packer, bytes.len);
  if (bytes.len)
    msgpack_pack_bin_body (&pack->packer, bytes.data, bytes.len);
}

cs_str_t
cs_pack_payload (const cs_pack_t *pack)
{
  return (cs_str_t){ .data = pack->buffer.data, .len = pack->buffer.size };
}

static cs_unpack_cursor_t
cursor_at_array (const msgpack_object *object)
{
  return (cs_unpack_cursor_t){ .next = object->via.array.ptr,
                               .remaining = object->via.array.size };
}

/* The size of a value without the values nested in it, and the number of the
   values directly nested in it.  */
typedef struct
{
  size_t bytes;
  uint64_t nested;
} value_extent_t;

/* Read the big-endian length of SIZE bytes that follows the type byte AT.
   UINT64_MAX when fewer bytes are LEFT.  */
static uint64_t
read_length (const uint8_t *at, size_t left, size_t size)
{
  uint64_t length = 0;
  if (left < 1 + size)
    return UINT64_MAX;
  for (size_t i = 1; i <= size; i++)
    length = length << 8 | at[i];
  return length;
}

static value_extent_t
measure_value (const uint8_t *at, size_t left)
{
  /* Sizes by type byte from 0xc0 on.  0: handled below, or rejected, as are
     extension types, which no frame uses.  */
  static const uint8_t fixed_sizes[32]
      = { 1, 0, 1, 1, 0, 0, 0, 0, 0, 0, 5, 9, 2,
          3, 5, 9, 2, 3, 5, 9, 0, 0, 0, 0, 0 };
  uint8_t type = *at;
  if (type < 0x80 || type >= 0xe0) /* Positive or negative fixint.  */
    return (value_extent_t){ .bytes = 1 };
  if (type < 0x90) /* fixmap: a key and a value per entry.  */
    return (value_extent_t){ .bytes = 1, .nested = 2 * (type & 0x0fu) };
  if (type < 0xa0) /* fixarray.  */
    return (value_extent_t){ .bytes = 1, .nested = type & 0x0fu };
  if (type < 0xc0) /* fixstr.  */
    return (value_extent_t){ .bytes = 1 + (type & 0x1fu) };
  size_t size = 0;
  if (type >= 0xc4 && type <= 0xc6) /* bin 8, 16, 32.  */
    size = (size_t)1 << (type - 0xc4);
  else if (type >= 0xd9 && type <= 0xdb) /* str 8, 16, 32.  */
    size = (size_t)1 << (type - 0xd9);
  if (size)
    {
      uint64_t body = read_length (at, left, size);
      return (value_extent_t){ .bytes = 1 + size + MIN (body, left + 1) };
    }
  if (type >= 0xdc) /* array 16, 32, map 16, 32.  */
    {
      size = type % 2 ? 4 : 2;
      uint64_t count = read_length (at, left, size);
      uint64_t values_per_entry = type >= 0xde ? 2 : 1;
      return (value_extent_t){ .bytes = 1 + size,
                               .nested
                               = values_per_entry * MIN (count, UINT32_MAX) };
    }
  return (value_extent_t){ .bytes = fixed_sizes[type - 0xc0] };
}

/* Whether PAYLOAD is exactly one value and has enough bytes for the number of
   elements that each array and map announces.  The msgpack library
   allocates memory for that number before it reads the elements.  */
static bool
is_well_formed (cs_str_t payload)
{
  const uint8_t *at = (const uint8_t *)payload.data;
  size_t left = payload.len;
  uint64_t pending = 1;
  while (pending > 0)
    {
      if (left == 0)
        return false;
      value_extent_t extent = measure_value (at, left);
      if (extent.bytes == 0 || extent.bytes > left)
        return false;
      at += extent.bytes;
      left -= extent.bytes;
      pending += extent.nested - 1;
      if (pending > left) /* Each value has at least one byte.  */
        return false;
    }
  return left == 0;
}

cs_status_t
cs_unpack_init (cs_ctx_t *ctx, cs_unpack_t *unpack, cs_str_t payload,
                cs_unpack_cursor_t *cursor)
{
  size_t offset = 0;
  msgpack_unpacked_init (&unpack->unpacked);
  msgpack_unpack_return code
      = is_well_formed (payload) ? msgpack_unpack_next (
            &unpack->unpacked, payload.data, payload.len, &offset)
                                 : MSGPACK_UNPACK_PARSE_ERROR;
  if (code == MSGPACK_UNPACK_SUCCESS && offset == payload.len
      && unpack->unpacked.data.type == MSGPACK_OBJECT_ARRAY)
    {
      *cursor = cursor_at_array (&unpack->unpacked.data);
      return CS_OK;
    }
  cs_unpack_clear (unpack);
  return cs_fail (ctx, CS_CORRUPT,
                  "a payload of %zu bytes is not a single msgpack array",
                  payload.len);
}

void
cs_unpack_clear (cs_unpack_t *unpack)
{
  msgpack_unpacked_destroy (&unpack->unpacked);
}

static const msgpack_object *
next_value (cs_unpack_cursor_t *cursor)
{
  if (cursor->failed || cursor->remaining == 0)
    {
      cursor->failed = true;
      return NULL;
    }
  cursor->remaining--;
  return cursor->next++;
}

int64_t
cs_unpack_int64 (cs_unpack_cursor_t *cursor)
{
  const msgpack_object *object = next_value (cursor);
  if (object && object->type == MSGPACK_OBJECT_NEGATIVE_INTEGER)
    return object->via.i64;
  if (object && object->type == MSGPACK_OBJECT_POSITIVE_INTEGER
      && object->via.u64 <= INT64_MAX)
    return (int64_t)object->via.u64;
  cursor->failed = true;
  return 0;
}

uint64_t
cs_unpack_uint64 (cs_unpack_cursor_t *cursor)
{
  const msgpack_object *object = next_value (cursor);
  if (object && object->type == MSGPACK_OBJECT_POSITIVE_INTEGER)
    return object->via.u64;
  cursor->failed = true;
  return 0;
}

cs_str_t
cs_unpack_str (cs_unpack_cursor_t *cursor)
{
  const msgpack_object *object = next_value (cursor);
  if (object && object->type == MSGPACK_OBJECT_STR)
    return (cs_str_t){ .data = object->via.str.ptr,
                       .len = object->via.str.size };
  if (object && object->type == MSGPACK_OBJECT_BIN)
    return (cs_str_t){ .data = object->via.bin.ptr,
                       .len = object->via.bin.size };
  cursor->failed = true;
  return (cs_str_t){ .data = "", .len = 0 };
}

char *
cs_unpack_text (cs_unpack_cursor_t *cursor)
{
  return cs_str_dup (cs_unpack_str (cursor));
}

cs_unpack_cursor_t
cs_unpack_array (cs_unpack_cursor_t *cursor)
{
  const msgpack_object *object = next_value (cursor);
  if (object && object->type == MSGPACK_OBJECT_ARRAY)
    return cursor_at_array (object);
  cursor->failed = true;
  return (cs_unpack_cursor_t){ .failed = true };
}
