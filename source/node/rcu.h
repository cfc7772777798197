/* Read-copy-update of the routing view.  ThreadSanitizer does not see the
   ordering that liburcu's grace periods give, so each reader's end and each
   grace period is annotated as a release and an acquire of cs_rcu_domain.  */
#ifndef CARDAMOM_RCU_H
#define CARDAMOM_RCU_H

#include <urcu.h>

#ifdef __SANITIZE_THREAD__
void __tsan_acquire (void *address);
void __tsan_release (void *address);
extern char cs_rcu_domain;
#define RCU_READ_END() (__tsan_release (&cs_rcu_domain), rcu_read_unlock ())
#define RCU_SYNCHRONIZE() (synchronize_rcu (), __tsan_acquire (&cs_rcu_domain))
#else
#define RCU_READ_END() rcu_read_unlock ()
#define RCU_SYNCHRONIZE() synchronize_rcu ()
#endif

/* A read-side critical section: what RCU_LOAD returns is valid until
   RCU_READ_END.  RCU_SYNCHRONIZE waits for all sections that began before,
   after which what RCU_EXCHANGE returned can be freed.  */
#define RCU_READ_BEGIN() rcu_read_lock ()
#define RCU_LOAD(pointer) __atomic_load_n (&(pointer), __ATOMIC_ACQUIRE)
#define RCU_EXCHANGE(pointer, value)                                          \
  __atomic_exchange_n (&(pointer), (value), __ATOMIC_ACQ_REL)

#endif
