/* Delta compression of a text against an earlier one, since successive
   versions of a configuration share nearly all of their bytes.  A delta is a
   zstd frame with the earlier text as its prefix dictionary.  */
#ifndef CARDAMOM_DELTA_H
#define CARDAMOM_DELTA_H

#include <glib.h>

#include "cardamom/context.h"
#include "cardamom/str.h"

/* Largest base or text, in bytes.  */
#define CS_DELTA_TEXT_MAX ((size_t)16 << 20)

/* Encode TEXT as a delta against BASE, which may be empty.  The caller frees
   the delta.  NULL when BASE or TEXT exceeds CS_DELTA_TEXT_MAX, or when
   compression fails.  */
GString *cs_delta_make (cs_str_t base, cs_str_t text);

/* Decode DELTA against the BASE it was made with.  The caller frees *TEXT,
   which is set on success only.  CS_CORRUPT when DELTA is damaged, was made
   with another base or has a text longer than CS_DELTA_TEXT_MAX.  */
cs_status_t cs_delta_apply (cs_ctx_t *ctx, cs_str_t base, cs_str_t delta,
                            GString **text);

#endif
