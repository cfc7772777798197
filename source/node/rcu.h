/* The read-copy-update domain of the routing view.  Under ThreadSanitizer the
   grace periods, which it cannot see, are announced to it.  */
#ifndef CARDAMOM_RCU_H
#define CARDAMOM_RCU_H

#include <urcu.h>

#ifdef __SANITIZE_THREAD__
void __tsan_acquire (void *address);
void __tsan_release (void *address);
extern char cs_rcu_domain;
#define RCU_READ_END() (__tsan_release (&cs_rcu_domain), rcu_read_unlock ())
#define RCU_WAIT() (synchronize_rcu (), __tsan_acquire (&cs_rcu_domain))
#else
#define RCU_READ_END() rcu_read_unlock ()
#define RCU_WAIT() synchronize_rcu ()
#endif

#define RCU_READ_BEGIN() rcu_read_lock ()
#define RCU_LOAD(pointer) __atomic_load_n (&(pointer), __ATOMIC_ACQUIRE)
#define RCU_EXCHANGE(pointer, value)                                          \
  __atomic_exchange_n (&(pointer), (value), __ATOMIC_ACQ_REL)

#endif
