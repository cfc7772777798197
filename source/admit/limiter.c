/* The concurrency limiters.  "fixed" allows as many requests as there are
   slots.  "gradient" lowers the limit while latency exceeds a multiple of the
   baseline, the latency of an uncongested upstream.  The baseline is measured
   again periodically at half of the limit.  It is also reset when latency
   stays high at the minimum limit, since concurrency is then not the cause. */
#include "cardamom/limiter.h"
#include "cardamom/registry.h"

#define LATENCY_SMOOTHING 0.1 /* Weight of a sample in the moving average. */
/* Samples since the baseline was last set after which it is probed again.  */
#define BASELINE_AGE_MAX 800
#define PROBE_SAMPLES 30 /* Length of a probe at half of the limit.  */
/* Consecutive slow samples at the minimum limit that reset the baseline.  */
#define MIN_LIMIT_SAMPLES 25
#define LATENCY_TOLERANCE 2.0 /* Accepted ratio of latency to baseline.  */
#define DECREASE_FACTOR 0.95  /* Of the limit, per sample above that ratio.  */
#define MIN_LIMIT_SHARE 0.25  /* Minimum limit, as a share of the slots.  */
/* The limit is adjusted only while this share of it is in use.  */
#define BUSY_SHARE 0.5

typedef struct
{
  cs_limiter_t base;
  double slots, limit, recent_latency, baseline_latency;
  int baseline_age;       /* Samples since it was last set.  */
  int samples_at_min;     /* Consecutive slow samples at the minimum limit.  */
  int probe_samples_left; /* 0: no baseline probe is under way.  */
  double limit_before_probe; /* Restored after the probe.  */
} limiter_state_t;

static void
drop_limiter (cs_ctx_t *ctx, cs_limiter_t *limiter)
{
  cs_free (ctx, limiter);
}

static int64_t
current_limit (const cs_limiter_t *limiter)
{
  return (int64_t)((const limiter_state_t *)limiter)->limit;
}

static cs_limiter_t *
make_limiter (cs_ctx_t *ctx, int64_t slots, const cs_limiter_vtable_t *vtable)
{
  limiter_state_t *state = cs_calloc (ctx, sizeof *state);
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
  .drop = drop_limiter,
  .add_sample = sample_fixed,
  .current_limit = current_limit,
};

static cs_limiter_t *
make_fixed (cs_ctx_t *ctx, int64_t slots)
{
  return make_limiter (ctx, slots, &fixed_vtable);
}

static double
min_limit (const limiter_state_t *state)
{
  return MAX (1.0, MIN_LIMIT_SHARE * state->slots);
}

static void
set_baseline (limiter_state_t *state)
{
  state->baseline_latency = state->recent_latency;
  state->baseline_age = state->samples_at_min = 0;
}

/* Reset the baseline or start a probe of it when due.  */
static void
update_baseline (limiter_state_t *state, bool busy, bool slow)
{
  state->baseline_age++;
  if (state->recent_latency <= state->baseline_latency)
    set_baseline (state);
  state->samples_at_min = slow && state->limit <= min_limit (state)
                              ? state->samples_at_min + 1
                              : 0;
  if (state->samples_at_min >= MIN_LIMIT_SAMPLES)
    {
      set_baseline (state);
      state->limit = state->slots;
    }
  if (state->baseline_age < BASELINE_AGE_MAX || !busy)
    return;
  state->limit_before_probe = state->limit;
  state->limit = MAX (state->limit / 2.0, min_limit (state));
  state->probe_samples_left = PROBE_SAMPLES;
}

static void
sample_gradient (cs_limiter_t *limiter, cs_usec_t latency, int64_t running,
                 bool failed)
{
  limiter_state_t *state = (limiter_state_t *)limiter;
  double sample = (double)MAX (latency, 1);
  if (failed)
    return;
  if (state->recent_latency <= 0.0)
    state->recent_latency = state->baseline_latency = sample;
  state->recent_latency
      += LATENCY_SMOOTHING * (sample - state->recent_latency);
  if (state->probe_samples_left)
    {
      if (--state->probe_samples_left > 0)
        return;
      set_baseline (state);
      state->limit = state->limit_before_probe;
    }
  bool busy = (double)running >= BUSY_SHARE * state->limit;
  bool slow
      = state->recent_latency > LATENCY_TOLERANCE * state->baseline_latency;
  if (slow && busy)
    state->limit *= DECREASE_FACTOR;
  else if (busy)
    state->limit += 1.0 / state->limit;
  state->limit = CLAMP (state->limit, min_limit (state), state->slots);
  update_baseline (state, busy, slow);
}

static cs_limiter_t *make_gradient (cs_ctx_t *ctx, int64_t slots);

static const cs_limiter_vtable_t gradient_vtable = {
  .make = make_gradient,
  .drop = drop_limiter,
  .add_sample = sample_gradient,
  .current_limit = current_limit,
};

static cs_limiter_t *
make_gradient (cs_ctx_t *ctx, int64_t slots)
{
  return make_limiter (ctx, slots, &gradient_vtable);
}

static cs_plugin_t fixed_plugin = {
  .kind = CS_PLUGIN_LIMITER,
  .name = "fixed",
  .summary = "as many requests as the upstream has slots",
  .vtable = &fixed_vtable,
};

static cs_plugin_t gradient_plugin = {
  .kind = CS_PLUGIN_LIMITER,
  .name = "gradient",
  .summary = "fewer requests while latency exceeds its baseline",
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
