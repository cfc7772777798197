#include <zstd.h>

#include "cardamom/delta.h"

/* The fastest level; it already finds the long matches with the base.  */
#define COMPRESSION_LEVEL 1
/* Base 2 logarithms of the window size in bytes.  The largest window covers a
   base and a text of CS_DELTA_TEXT_MAX bytes each.  */
#define WINDOW_LOG_MAX 25
#define WINDOW_LOG_MIN 18

/* The smallest allowed window that covers BYTES of base and text.  */
static int
window_log_for (size_t bytes)
{
  int window_log = WINDOW_LOG_MIN;
  while (window_log < WINDOW_LOG_MAX && ((size_t)1 << window_log) < bytes)
    window_log++;
  return window_log;
}

GString *
cs_delta_make (cs_str_t base, cs_str_t text)
{
  if (text.len > CS_DELTA_TEXT_MAX || base.len > CS_DELTA_TEXT_MAX)
    return NULL;
  size_t bound = ZSTD_compressBound (text.len);
  GString *out = g_string_sized_new (bound);
  ZSTD_CCtx *compressor = ZSTD_createCCtx ();
  ZSTD_CCtx_setParameter (compressor, ZSTD_c_compressionLevel,
                          COMPRESSION_LEVEL);
  ZSTD_CCtx_setParameter (compressor, ZSTD_c_windowLog,
                          window_log_for (base.len + text.len));
  ZSTD_CCtx_setParameter (compressor, ZSTD_c_checksumFlag, 1);
  if (base.len)
    ZSTD_CCtx_refPrefix (compressor, base.data, base.len);
  size_t written
      = ZSTD_compress2 (compressor, out->str, bound, text.data, text.len);
  ZSTD_freeCCtx (compressor);
  if (ZSTD_isError (written))
    {
      g_string_free (out, TRUE);
      return NULL;
    }
  g_string_set_size (out, written);
  return out;
}

cs_status_t
cs_delta_apply (cs_ctx_t *ctx, cs_str_t base, cs_str_t delta, GString **text)
{
  unsigned long long size = ZSTD_getFrameContentSize (delta.data, delta.len);
  if (size == ZSTD_CONTENTSIZE_ERROR || size == ZSTD_CONTENTSIZE_UNKNOWN
      || size > CS_DELTA_TEXT_MAX)
    return cs_fail (ctx, CS_CORRUPT,
                    "the data is not a delta; request the whole text");
  GString *out = g_string_sized_new (size + 1);
  ZSTD_DCtx *decompressor = ZSTD_createDCtx ();
  if (base.len)
    ZSTD_DCtx_refPrefix (decompressor, base.data, base.len);
  size_t written = ZSTD_decompressDCtx (decompressor, out->str, size,
                                        delta.data, delta.len);
  ZSTD_freeDCtx (decompressor);
  if (ZSTD_isError (written) || written != size)
    {
      g_string_free (out, TRUE);
      return cs_fail (ctx, CS_CORRUPT,
                      "the delta is damaged or was made with another base; "
                      "request the whole text");
    }
  g_string_set_size (out, written);
  *text = out;
  return CS_OK;
}
