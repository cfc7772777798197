/* The context, first argument of most functions: allocator, clock, random
   number generator and the last error message.  */
#ifndef CARDAMOM_CONTEXT_H
#define CARDAMOM_CONTEXT_H

#include <glib.h>
#include <stddef.h>

#include "cardamom/clock.h"
#include "cardamom/status.h"

/* Size of the last error message in bytes, with its NUL; longer messages are
   truncated.  */
#define CS_ERROR_MESSAGE_SIZE 1024

/* Allocator of the library's own objects; GLib containers inside them use
   GLib's allocator.  CALLOC returns zeroed memory, or NULL when there is
   none.  USER is passed to both functions.  */
typedef struct
{
  void *(*calloc) (void *user, size_t size);
  void (*free) (void *user, void *block);
  void *user;
} cs_alloc_t;

typedef struct cs_ctx cs_ctx_t;

struct cs_ctx
{
  cs_alloc_t alloc;
  cs_clock_t *clock;
  GRand *random;
  char error_message[CS_ERROR_MESSAGE_SIZE];
};

/* Create a context, which one thread may use (see cs_ctx_clone).  ALLOC is
   copied; NULL selects the C library's allocator.  CLOCK is borrowed and must
   outlive the context.  SEED seeds the random number generator.  Aborts when
   memory runs out.  */
cs_ctx_t *cs_ctx_new (const cs_alloc_t *alloc, cs_clock_t *clock,
                      guint32 seed);

/* Create a context for another thread, with the allocator and clock of CTX
   and a random number generator seeded from that of CTX.  */
cs_ctx_t *cs_ctx_clone (cs_ctx_t *ctx);

/* Free CTX; NULL is allowed.  */
void cs_ctx_drop (cs_ctx_t *ctx);

/* Allocate SIZE zeroed bytes with CTX's allocator; aborts when memory runs
   out.  Free them with cs_free.  */
void *cs_calloc (cs_ctx_t *ctx, size_t size);

/* Free BLOCK with CTX's allocator; NULL is allowed.  */
void cs_free (cs_ctx_t *ctx, void *block);

/* Store an error message, which should name the remedy, in CTX and return
   STATUS.  */
cs_status_t cs_fail (cs_ctx_t *ctx, cs_status_t status, const char *format,
                     ...) G_GNUC_PRINTF (3, 4);

/* The message of the last failure in CTX, or ""; valid until the next.  */
const char *cs_error_message (const cs_ctx_t *ctx);

/* Read the monotonic and the wall time of CTX's clock.  */
cs_usec_t cs_now (const cs_ctx_t *ctx);
cs_usec_t cs_now_wall (const cs_ctx_t *ctx);

#endif
