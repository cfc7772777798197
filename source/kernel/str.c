#include <string.h>
#include <xxhash.h>

#include "cardamom/str.h"

cs_str_t
cs_str_of (const char *text)
{
  return (cs_str_t){ .data = text, .len = text ? strlen (text) : 0 };
}

cs_str_t
cs_str_of_gstring (const GString *string)
{
  return (cs_str_t){ .data = string->str, .len = string->len };
}

cs_str_t
cs_str_of_bytes (GBytes *bytes)
{
  cs_str_t view = { 0 };
  if (bytes)
    view.data = g_bytes_get_data (bytes, &view.len);
  return view;
}

bool
cs_str_equal (cs_str_t a, cs_str_t b)
{
  return a.len == b.len && (a.len == 0 || memcmp (a.data, b.data, a.len) == 0);
}

bool
cs_str_has_prefix (cs_str_t s, cs_str_t prefix)
{
  if (s.len < prefix.len)
    return false;
  return prefix.len == 0 || memcmp (s.data, prefix.data, prefix.len) == 0;
}

char *
cs_str_dup (cs_str_t s)
{
  return g_strndup (s.data ? s.data : "", s.len);
}

uint64_t
cs_hash (const void *data, size_t len, uint64_t seed)
{
  return XXH3_64bits_withSeed (data, len, seed);
}

uint64_t
cs_hash_text (const char *text, uint64_t seed)
{
  return cs_hash (text, strlen (text), seed);
}
