/* Byte strings with an explicit length, and hashes of bytes.  */
#ifndef CARDAMOM_STR_H
#define CARDAMOM_STR_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* A borrowed view of LEN bytes, which need not be NUL-terminated.  The
   function that returns a view documents how long DATA stays valid.  Owned
   strings are GString, shared immutable bytes are GBytes.  */
typedef struct
{
  const char *data;
  size_t len;
} cs_str_t;

/* A view of a string literal, without its NUL.  */
#define CS_STR(literal)                                                       \
  ((cs_str_t){ .data = (literal), .len = sizeof (literal) - 1 })

/* A view of the NUL-terminated TEXT; NULL gives the empty view.  */
cs_str_t cs_str_of (const char *text);

/* A view of the contents of STRING.  */
cs_str_t cs_str_of_gstring (const GString *string);

/* A view of BYTES; empty for NULL.  */
cs_str_t cs_str_of_bytes (GBytes *bytes);

/* Whether A and B hold the same bytes.  */
bool cs_str_equal (cs_str_t a, cs_str_t b);

/* Whether S begins with PREFIX.  */
bool cs_str_has_prefix (cs_str_t s, cs_str_t prefix);

/* A NUL-terminated copy of S; the caller frees it with g_free.  */
char *cs_str_dup (cs_str_t s);

/* The 64-bit XXH3 hash of LEN bytes at DATA, seeded with SEED.  */
uint64_t cs_hash (const void *data, size_t len, uint64_t seed);

/* The same for the NUL-terminated TEXT, without its NUL.  */
uint64_t cs_hash_text (const char *text, uint64_t seed);

#endif
