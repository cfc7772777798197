/* The limiters: "fixed" allows all slots, "gradient" fewer while latency
   stands above what the upstream needs when it is not crowded.  */
#include "cardamom/limiter.h"
#include "cardamom/registry.h"

#define RECENT_WEIGHT 0.1     /* Of a sample in the recent average.  */
#define BASE_DOWN_WEIGHT 0.05 /* In the baseline, when below it.  */
#define BASE_UP_WEIGHT 0.0005 /* In the baseline, when above it.  */
#define TOLERANCE 2.0         /* Recent over baseline that is still good.  */
#define BACKOFF 0.95          /* Factor per sample beyond it.  */
#define CROWDED 0.5           /* Share of the limit in use that counts.  */

typedef struct
{
  cs_limiter_t base;
  double slots, limit, recent, baseline;
} state_t;

static void
drop_state (cs_ctx_t *ctx, cs_limiter_t *limiter)
{
  cs_free (ctx, limiter);
}

static int64_t
read_limit (const cs_limiter_t *limiter)
{
  return (int64_t)((const state_t *)limiter)->limit;
}

static cs_limiter_t *
make_state (cs_ctx_t *ctx, int64_t slots, const cs_limiter_vtable_t *vtable)
{
  state_t *state = cs_calloc (ctx, sizeof *state);
  state->base.vtable = vtable;
  state->slots = state->limit = (double)MAX (slots, 1);
  return &state->base;
}

static void
sample_fixed (cs_limiter_t *limiter, cs_usec_t latency, int64_t running,
              bool failed)
{
  (void)limiter;
  (void)latency;
  (void)running;
  (void)failed;
}

static cs_limiter_t *make_fixed (cs_ctx_t *ctx, int64_t slots);

static const cs_limiter_vtable_t fixed_vtable = {
  .make = make_fixed,
  .drop = drop_state,
  .sample = sample_fixed,
  .limit = read_limit,
};

static cs_limiter_t *
make_fixed (cs_ctx_t *ctx, int64_t slots)
{
  return make_state (ctx, slots, &fixed_vtable);
}

static void
sample_gradient (cs_limiter_t *limiter, cs_usec_t latency, int64_t running,
                 bool failed)
{
  state_t *s = (state_t *)limiter;
  double sample = (double)MAX (latency, 1);
  if (failed)
    return;
  if (s->baseline <= 0.0)
    s->baseline = s->recent = sample;
  s->recent += RECENT_WEIGHT * (sample - s->recent);
  s->baseline += (sample < s->baseline ? BASE_DOWN_WEIGHT : BASE_UP_WEIGHT)
                 * (sample - s->baseline);
  bool crowded = (double)running >= CROWDED * s->limit;
  if (s->recent > TOLERANCE * s->baseline && crowded)
    s->limit *= BACKOFF;
  else if (crowded)
    s->limit += 1.0 / s->limit;
  s->limit = CLAMP (s->limit, 1.0, s->slots);
}

static cs_limiter_t *make_gradient (cs_ctx_t *ctx, int64_t slots);

static const cs_limiter_vtable_t gradient_vtable = {
  .make = make_gradient,
  .drop = drop_state,
  .sample = sample_gradient,
  .limit = read_limit,
};

static cs_limiter_t *
make_gradient (cs_ctx_t *ctx, int64_t slots)
{
  return make_state (ctx, slots, &gradient_vtable);
}

static cs_plugin_t fixed_plugin = {
  .kind = CS_PLUGIN_LIMITER,
  .name = "fixed",
  .summary = "as many as the upstream has slots",
  .vtable = &fixed_vtable,
};

static cs_plugin_t gradient_plugin = {
  .kind = CS_PLUGIN_LIMITER,
  .name = "gradient",
  .summary = "fewer while latency stands above its baseline",
  .vtable = &gradient_vtable,
};

CS_PLUGIN (fixed_plugin)
CS_PLUGIN (gradient_plugin)

cs_status_t
cs_limiter_new (cs_ctx_t *ctx, const char *name, int64_t slots,
                cs_limiter_t **limiter)
{
  const void *vtable;
  cs_status_t status = cs_plugin_find (ctx, CS_PLUGIN_LIMITER, name, &vtable);
  if (status == CS_OK)
    *limiter = ((const cs_limiter_vtable_t *)vtable)->make (ctx, slots);
  return status;
}
