#include <zstd.h>

#include "cardamom/delta.h"

/* Level 1 finds the long matches with the base, and costs least.  */
#define LEVEL 1
#define WINDOW_LOG 25 /* Covers base and text of the largest size.  */
#define WINDOW_LOG_MIN 18

static int
window_for (size_t bytes)
{
  int log = WINDOW_LOG_MIN;
  while (log < WINDOW_LOG && ((size_t)1 << log) < bytes)
    log++;
  return log;
}

GString *
cs_delta_make (cs_str_t base, cs_str_t text)
{
  if (text.len > CS_DELTA_TEXT_MAX || base.len > CS_DELTA_TEXT_MAX)
    return NULL;
  size_t bound = ZSTD_compressBound (text.len);
  GString *out = g_string_sized_new (bound);
  ZSTD_CCtx *c = ZSTD_createCCtx ();
  ZSTD_CCtx_setParameter (c, ZSTD_c_compressionLevel, LEVEL);
  ZSTD_CCtx_setParameter (c, ZSTD_c_windowLog,
                          window_for (base.len + text.len));
  ZSTD_CCtx_setParameter (c, ZSTD_c_checksumFlag, 1);
  if (base.len)
    ZSTD_CCtx_refPrefix (c, base.data, base.len);
  size_t n = ZSTD_compress2 (c, out->str, bound, text.data, text.len);
  ZSTD_freeCCtx (c);
  if (ZSTD_isError (n))
    {
      g_string_free (out, TRUE);
      return NULL;
    }
  g_string_set_size (out, n);
  return out;
}

cs_status_t
cs_delta_apply (cs_ctx_t *ctx, cs_str_t base, cs_str_t delta, GString **text)
{
  unsigned long long size = ZSTD_getFrameContentSize (delta.data, delta.len);
  if (size == ZSTD_CONTENTSIZE_ERROR || size == ZSTD_CONTENTSIZE_UNKNOWN
      || size > CS_DELTA_TEXT_MAX)
    return cs_fail (ctx, CS_CORRUPT, "no delta; ask for the whole text");
  GString *out = g_string_sized_new (size + 1);
  ZSTD_DCtx *d = ZSTD_createDCtx ();
  if (base.len)
    ZSTD_DCtx_refPrefix (d, base.data, base.len);
  size_t n = ZSTD_decompressDCtx (d, out->str, size, delta.data, delta.len);
  ZSTD_freeDCtx (d);
  if (ZSTD_isError (n) || n != size)
    {
      g_string_free (out, TRUE);
      return cs_fail (ctx, CS_CORRUPT,
                      "delta of another base; ask for the whole text");
    }
  g_string_set_size (out, n);
  *text = out;
  return CS_OK;
}
