/* A text as the difference to an earlier one: versions of a configuration
   share nearly all of their bytes.  */
#ifndef CARDAMOM_DELTA_H
#define CARDAMOM_DELTA_H

#include <glib.h>

#include "cardamom/context.h"
#include "cardamom/str.h"

#define CS_DELTA_TEXT_MAX ((size_t)16 << 20) /* Bytes of a text.  */

/* What leads from BASE, which may be empty, to TEXT.  The caller frees it;
   NULL when TEXT is too large.  */
GString *cs_delta_make (cs_str_t base, cs_str_t text);

/* Apply DELTA to the BASE that it was made from.  CS_CORRUPT for any other
   bytes.  The caller frees *TEXT.  */
cs_status_t cs_delta_apply (cs_ctx_t *ctx, cs_str_t base, cs_str_t delta,
                            GString **text);

#endif
