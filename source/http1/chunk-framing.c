#include <glib.h>

#include "cardamom/chunk-framing.h"

/* Of a size, as many as 64 bits have.  */
#define DIGITS_MAX 16

static const char malformed_size[] = "malformed size of a chunk";

static bool
is_blank (char c)
{
  return c == ' ' || c == '\t';
}

static const char *
check_size (cs_chunk_framing_t *framing, char c)
{
  if (g_ascii_isxdigit (c))
    {
      framing->has_data |= c != '0';
      return ++framing->digits <= DIGITS_MAX ? NULL : malformed_size;
    }
  if (!framing->digits)
    return malformed_size;
  if (c == ';')
    framing->place = CS_CHUNK_EXTENSION;
  else if (c == '\r')
    framing->place = CS_CHUNK_SIZE_LF;
  else if (is_blank (c))
    framing->place = CS_CHUNK_SIZE_BLANK;
  else
    return malformed_size;
  return NULL;
}

static const char *
check_extension (cs_chunk_framing_t *framing, char c)
{
  if (c == '\r')
    framing->place = CS_CHUNK_SIZE_LF;
  else if (g_ascii_iscntrl (c) && c != '\t')
    return "control character in a chunk extension";
  return NULL;
}

/* C is in the trailer section, whose fields the parser checks.  */
static const char *
check_trailer (cs_chunk_framing_t *framing, char c)
{
  char before = framing->before;
  framing->before = c;
  if (c == '\n' && before != '\r')
    return "line feed without carriage return";
  if (c != '\n' && before == '\r')
    return "carriage return without line feed";
  if (before == '\n' && is_blank (c))
    return "obsolete line folding";
  return NULL;
}

static const char *
check_byte (cs_chunk_framing_t *framing, char c)
{
  switch (framing->place)
    {
    case CS_CHUNK_SIZE:
      return check_size (framing, c);
    case CS_CHUNK_SIZE_BLANK:
      if (c == ';')
        framing->place = CS_CHUNK_EXTENSION;
      return c == ';' || is_blank (c) ? NULL : malformed_size;
    case CS_CHUNK_EXTENSION:
      return check_extension (framing, c);
    case CS_CHUNK_SIZE_LF:
      framing->place = framing->has_data ? CS_CHUNK_DATA : CS_CHUNK_TRAILER;
      framing->before = c;
      return c == '\n' ? NULL : "size of a chunk without a line end";
    case CS_CHUNK_DATA_CR:
      framing->place = CS_CHUNK_DATA_LF;
      return c == '\r' ? NULL : "chunk without a line end";
    case CS_CHUNK_DATA_LF:
      *framing = (cs_chunk_framing_t){ .place = CS_CHUNK_SIZE };
      return c == '\n' ? NULL : "chunk without a line end";
    case CS_CHUNK_TRAILER:
      return check_trailer (framing, c);
    default: /* In a chunk.  */
      return malformed_size;
    }
}

const char *
cs_chunk_framing_check (cs_chunk_framing_t *framing, const char *data,
                        size_t len)
{
  const char *why = NULL;
  for (size_t i = 0; i < len && !why; i++)
    why = check_byte (framing, data[i]);
  return why;
}

void
cs_chunk_framing_pass_data (cs_chunk_framing_t *framing)
{
  framing->place = CS_CHUNK_DATA_CR;
}
