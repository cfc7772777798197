#include <time.h>

#include "cardamom/clock.h"

static cs_usec_t
read_clock (clockid_t id)
{
  struct timespec now;
  clock_gettime (id, &now);
  return (cs_usec_t)now.tv_sec * CS_SEC + now.tv_nsec / 1000;
}

static cs_usec_t
system_monotonic (cs_clock_t *clock)
{
  (void)clock;
  return read_clock (CLOCK_MONOTONIC);
}

static cs_usec_t
system_wall (cs_clock_t *clock)
{
  (void)clock;
  return read_clock (CLOCK_REALTIME);
}

static cs_usec_t
boottime_monotonic (cs_clock_t *clock)
{
  (void)clock;
  return read_clock (CLOCK_BOOTTIME);
}

cs_clock_t *
cs_clock_boottime (void)
{
  static cs_clock_t clock
      = { .monotonic = boottime_monotonic, .wall = system_wall };
  return &clock;
}

cs_clock_t *
cs_clock_system (void)
{
  static cs_clock_t clock
      = { .monotonic = system_monotonic, .wall = system_wall };
  return &clock;
}

static cs_usec_t
manual_monotonic (cs_clock_t *clock)
{
  return ((cs_manual_clock_t *)clock)->now;
}

static cs_usec_t
manual_wall (cs_clock_t *clock)
{
  cs_manual_clock_t *manual = (cs_manual_clock_t *)clock;
  return manual->wall_offset + manual->now;
}

void
cs_manual_clock_init (cs_manual_clock_t *clock, cs_usec_t wall_offset)
{
  *clock = (cs_manual_clock_t){
    .base = { .monotonic = manual_monotonic, .wall = manual_wall },
    .wall_offset = wall_offset,
  };
}

void
cs_manual_clock_advance (cs_manual_clock_t *clock, cs_usec_t step)
{
  clock->now += step;
}
