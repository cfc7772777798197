/* The memory that a process may use for what callers, servers and other nodes
   send: bodies, large messages and kept outcomes.  One thread lets others give
   way.  */
#ifndef CARDAMOM_MEMORY_BUDGET_H
#define CARDAMOM_MEMORY_BUDGET_H

#include <glib.h>
#include <stdatomic.h>
#include <stdbool.h>
#include <stdint.h>

/* Up to this size, in bytes, a body counts as small.  */
#define CS_SMALL_BODY_MAX 65536

typedef struct
{
  int64_t limit;        /* Bytes; 0: none.  */
  _Atomic int64_t used; /* By any thread.  */
  /* The most bytes that a claim has waited for since the thread that lets
     others give way has set this to 0.  */
  _Atomic int64_t wanted;
  /* Free some memory; false if nothing can give way.  NULL: nothing can.  */
  bool (*make_room) (void *user);
  void *user;
} cs_memory_budget_t;

/* Whether BYTES more fit without anything giving way.  SMALL: for a small
   body; those may use what large ones may not.  */
bool cs_memory_budget_has_room (const cs_memory_budget_t *budget,
                                int64_t bytes, bool small);

/* Count BYTES more; false, and nothing is counted, if there is no room.  Any
   thread may use this and what only counts.  */
bool cs_memory_budget_try_take (cs_memory_budget_t *budget, int64_t bytes,
                                bool small);

/* The same, if need be after others have given way; false, and nothing
   is counted, if there is no room.  */
bool cs_memory_budget_take (cs_memory_budget_t *budget, int64_t bytes,
                            bool small);

/* Whether a large body of BYTES fits once all else is gone.  */
bool cs_memory_budget_may_fit (const cs_memory_budget_t *budget,
                               int64_t bytes);

/* Let others give way until a large body of BYTES has room, or nothing more
   can.  What gives way may end requests of callers: the caller holds none
   across this call.  */
void cs_memory_budget_make_room (cs_memory_budget_t *budget, int64_t bytes);

/* BYTES more are there already; and they are free again.  BUDGET may be NULL:
   nothing is counted.  */
void cs_memory_budget_count (cs_memory_budget_t *budget, int64_t bytes);
void cs_memory_budget_release (cs_memory_budget_t *budget, int64_t bytes);

/* STRING, whose length is counted, as shared bytes; the last reference
   releases it.  Takes ownership of STRING.  */
GBytes *cs_memory_budget_share (cs_memory_budget_t *budget, GString *string);

#endif
