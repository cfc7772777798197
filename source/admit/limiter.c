/* The limiters: "fixed" allows all slots, "gradient" fewer while latency
   stands above what the upstream needs when it is not crowded.  That baseline
   is measured anew now and then with half of the limit, and taken anew when
   the lowest limit does not help: slowness that does not go away with fewer
   requests at a time is not due to them.  */
#include "cardamom/limiter.h"
#include "cardamom/registry.h"

#define RECENT_WEIGHT 0.1 /* Of a sample in the recent average.  */
#define BASE_LIFE 800     /* Samples until the baseline is measured anew. */
#define PROBE_LENGTH 30   /* Samples with half of the limit for that.  */
#define FLOOR_PATIENCE 25 /* Samples at the lowest limit without help.  */
#define TOLERANCE 2.0     /* Recent over baseline that is still good.  */
#define BACKOFF 0.95      /* Factor per sample beyond it.  */
#define FLOOR_SHARE 0.25  /* Of the slots, that are always allowed.  */
#define CROWDED 0.5       /* Share of the limit in use that counts.  */

typedef struct
{
  cs_limiter_t base;
  double slots, limit, recent, baseline;
  int base_age;      /* Samples since the baseline was measured.  */
  int at_floor;      /* Samples at the lowest limit without help.  */
  int probing;       /* Samples left of a measurement; 0: none.  */
  double kept_limit; /* To go back to after it.  */
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

static double
lowest_limit (const state_t *s)
{
  return MAX (1.0, FLOOR_SHARE * s->slots);
}

static void
set_baseline (state_t *s)
{
  s->baseline = s->recent;
  s->base_age = s->at_floor = 0;
}

/* Take the baseline anew where that is due.  */
static void
follow_baseline (state_t *s, bool crowded, bool slow)
{
  s->base_age++;
  if (s->recent <= s->baseline)
    set_baseline (s);
  s->at_floor = slow && s->limit <= lowest_limit (s) ? s->at_floor + 1 : 0;
  if (s->at_floor >= FLOOR_PATIENCE)
    {
      set_baseline (s);
      s->limit = s->slots;
    }
  if (s->base_age < BASE_LIFE || !crowded)
    return;
  s->kept_limit = s->limit;
  s->limit = MAX (s->limit / 2.0, lowest_limit (s));
  s->probing = PROBE_LENGTH;
}

static void
sample_gradient (cs_limiter_t *limiter, cs_usec_t latency, int64_t running,
                 bool failed)
{
  state_t *s = (state_t *)limiter;
  double sample = (double)MAX (latency, 1);
  if (failed)
    return;
  if (s->recent <= 0.0)
    s->recent = s->baseline = sample;
  s->recent += RECENT_WEIGHT * (sample - s->recent);
  if (s->probing)
    {
      if (--s->probing > 0)
        return;
      set_baseline (s);
      s->limit = s->kept_limit;
    }
  bool crowded = (double)running >= CROWDED * s->limit;
  bool slow = s->recent > TOLERANCE * s->baseline;
  if (slow && crowded)
    s->limit *= BACKOFF;
  else if (crowded)
    s->limit += 1.0 / s->limit;
  s->limit = CLAMP (s->limit, lowest_limit (s), s->slots);
  follow_baseline (s, crowded, slow);
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
