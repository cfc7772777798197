/* Clocks behind an interface, so that tests run on simulated time.  */
#ifndef CARDAMOM_CLOCK_H
#define CARDAMOM_CLOCK_H

#include <stdint.h>

/* Microseconds: the reading of a clock, or the time between two readings of
   the same clock.  */
typedef int64_t cs_usec_t;

#define CS_MSEC ((cs_usec_t)1000)
#define CS_SEC ((cs_usec_t)1000000)

typedef struct cs_clock cs_clock_t;

struct cs_clock
{
  /* Monotonic time; it never steps back, and readings of different hosts
     cannot be compared.  */
  cs_usec_t (*monotonic) (cs_clock_t *clock);
  /* Time since 1970-01-01T00:00:00Z by this host's clock, which may be wrong
     or be stepped.  */
  cs_usec_t (*wall) (cs_clock_t *clock);
};

/* The clock of the operating system.  It is static; do not free it.  */
cs_clock_t *cs_clock_system (void);

/* As cs_clock_system, but monotonic time also runs while the host is
   suspended (CLOCK_BOOTTIME), so that a deadline which passed during a
   suspension has expired on wake-up.  */
cs_clock_t *cs_clock_boottime (void);

/* A clock for tests, which only cs_manual_clock_advance moves.  */
typedef struct
{
  cs_clock_t base;
  cs_usec_t now;         /* Monotonic reading.  */
  cs_usec_t wall_offset; /* Wall time at monotonic 0.  */
} cs_manual_clock_t;

/* Initialise CLOCK at monotonic 0 and wall time WALL_OFFSET.  */
void cs_manual_clock_init (cs_manual_clock_t *clock, cs_usec_t wall_offset);

/* Move CLOCK forward by STEP.  */
void cs_manual_clock_advance (cs_manual_clock_t *clock, cs_usec_t step);

#endif
