/* Concurrency limits: how many requests an upstream may run at once.  */
#ifndef CARDAMOM_LIMITER_H
#define CARDAMOM_LIMITER_H

#include <stdbool.h>

#include "cardamom/context.h"

typedef struct cs_limiter cs_limiter_t;

/* Plug-ins of kind CS_PLUGIN_LIMITER have this vtable.  */
typedef struct
{
  /* A new limiter that never allows more than SLOTS.  */
  cs_limiter_t *(*make) (cs_ctx_t *ctx, int64_t slots);
  void (*drop) (cs_ctx_t *ctx, cs_limiter_t *limiter);
  /* Record that a request took LATENCY while RUNNING requests ran, itself
     included.  */
  void (*add_sample) (cs_limiter_t *limiter, cs_usec_t latency,
                      int64_t running, bool failed);
  /* The limit in force, from 1 to SLOTS.  */
  int64_t (*current_limit) (const cs_limiter_t *limiter);
} cs_limiter_vtable_t;

/* The base struct of every limiter.  */
struct cs_limiter
{
  const cs_limiter_vtable_t *vtable;
};

/* A new limiter of the plug-in NAME, to be dropped through its vtable.  Fails
   as cs_plugin_find does.  */
cs_status_t cs_limiter_new (cs_ctx_t *ctx, const char *name, int64_t slots,
                            cs_limiter_t **limiter);

#endif
