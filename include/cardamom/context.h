/* The context that most functions take first: allocator, clock, random
   source, log threshold and the last error message.  */
#ifndef CARDAMOM_CONTEXT_H
#define CARDAMOM_CONTEXT_H

#include <glib.h>
#include <stddef.h>

#include "cardamom/clock.h"
#include "cardamom/status.h"

#define CS_MESSAGE_MAX 1024 /* Bytes of the last message, with its NUL.  */

/* Allocator of the library's own objects.  GLib containers inside them use
   GLib's allocator.  */
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
  char message[CS_MESSAGE_MAX];
};

/* A new context.  CLOCK is borrowed and must outlive it; SEED fixes the
   random source.  ALLOC may be NULL for the C library's.  A context belongs
   to one thread; see cs_ctx_clone.  Aborts when memory runs out.  */
cs_ctx_t *cs_ctx_new (const cs_alloc_t *alloc, cs_clock_t *clock,
                      guint32 seed);

/* A context for another thread, with CTX's allocator and clock and a random
   source seeded from CTX's.  */
cs_ctx_t *cs_ctx_clone (cs_ctx_t *ctx);

/* Free CTX; NULL is allowed.  */
void cs_ctx_drop (cs_ctx_t *ctx);

/* SIZE zeroed bytes from CTX's allocator; aborts when memory runs out.  */
void *cs_calloc (cs_ctx_t *ctx, size_t size);

/* Give BLOCK back to CTX's allocator; NULL is allowed.  */
void cs_free (cs_ctx_t *ctx, void *block);

/* Remember a message that names the remedy and return STATUS.  */
cs_status_t cs_fail (cs_ctx_t *ctx, cs_status_t status, const char *format,
                     ...) G_GNUC_PRINTF (3, 4);

/* The message of the last failure in CTX.  */
const char *cs_message (const cs_ctx_t *ctx);

/* Monotonic and wall time of CTX's clock.  */
cs_usec_t cs_now (const cs_ctx_t *ctx);
cs_usec_t cs_wall (const cs_ctx_t *ctx);

#endif
