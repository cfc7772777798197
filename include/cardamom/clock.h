/* Time as an interface, so that decisions can be tested without waiting.  */
#ifndef CARDAMOM_CLOCK_H
#define CARDAMOM_CLOCK_H

#include <stdint.h>

/* Microseconds, of a clock or between two readings of one clock.  */
typedef int64_t cs_usec_t;

#define CS_MSEC ((cs_usec_t)1000)
#define CS_SEC ((cs_usec_t)1000000)

typedef struct cs_clock cs_clock_t;

struct cs_clock
{
  /* Monotonic time; never steps back, means nothing to other hosts.  */
  cs_usec_t (*monotonic) (cs_clock_t *clock);
  /* Time since 1970-01-01T00:00:00Z, as far as this host knows it.  */
  cs_usec_t (*wall) (cs_clock_t *clock);
};

/* The clock of the operating system, shared and never dropped.  */
cs_clock_t *cs_clock_system (void);

/* The clock of deadlines: it also counts the time in which the host was
   suspended, so that a deadline is not taken for open after a wake-up.  */
cs_clock_t *cs_clock_deadline (void);

/* A clock that stands still until told to move.  */
typedef struct
{
  cs_clock_t base;
  cs_usec_t now;  /* Monotonic reading.  */
  cs_usec_t zero; /* Wall time at monotonic 0.  */
} cs_manual_clock_t;

/* Initialise CLOCK at monotonic 0 and wall time ZERO.  */
void cs_manual_clock_init (cs_manual_clock_t *clock, cs_usec_t zero);

/* Move CLOCK forward by STEP.  */
void cs_manual_clock_advance (cs_manual_clock_t *clock, cs_usec_t step);

#endif
