#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>

#include "cardamom/context.h"

static void *
libc_calloc (void *user, size_t size)
{
  (void)user;
  return calloc (1, size);
}

static void
libc_free (void *user, void *block)
{
  (void)user;
  free (block);
}

cs_ctx_t *
cs_ctx_new (const cs_alloc_t *alloc, cs_clock_t *clock, guint32 seed)
{
  const cs_alloc_t libc = { .calloc = libc_calloc, .free = libc_free };
  const cs_alloc_t *allocator = alloc ? alloc : &libc;
  cs_ctx_t *ctx = allocator->calloc (allocator->user, sizeof *ctx);
  if (!ctx)
    abort ();
  ctx->alloc = *allocator;
  ctx->clock = clock;
  ctx->random = g_rand_new_with_seed (seed);
  return ctx;
}

cs_ctx_t *
cs_ctx_clone (cs_ctx_t *ctx)
{
  return cs_ctx_new (&ctx->alloc, ctx->clock, g_rand_int (ctx->random));
}

void
cs_ctx_drop (cs_ctx_t *ctx)
{
  if (!ctx)
    return;
  g_rand_free (ctx->random);
  cs_free (ctx, ctx);
}

void *
cs_calloc (cs_ctx_t *ctx, size_t size)
{
  void *block = ctx->alloc.calloc (ctx->alloc.user, size);
  if (!block)
    abort ();
  return block;
}

void
cs_free (cs_ctx_t *ctx, void *block)
{
  if (block)
    ctx->alloc.free (ctx->alloc.user, block);
}

cs_status_t
cs_fail (cs_ctx_t *ctx, cs_status_t status, const char *format, ...)
{
  va_list args;
  va_start (args, format);
  vsnprintf (ctx->error_message, sizeof ctx->error_message, format, args);
  va_end (args);
  return status;
}

const char *
cs_error_message (const cs_ctx_t *ctx)
{
  return ctx->error_message;
}

cs_usec_t
cs_now (const cs_ctx_t *ctx)
{
  return ctx->clock->monotonic (ctx->clock);
}

cs_usec_t
cs_now_wall (const cs_ctx_t *ctx)
{
  return ctx->clock->wall (ctx->clock);
}
