#include "cardamom/stop-plan.h"

#define DRAIN_AFTER (2300 * CS_MSEC)
#define LISTEN_LAST_AFTER (3000 * CS_MSEC)
#define NO_REQUESTS_AFTER (3500 * CS_MSEC)
/* A request that comes so late must end before the process does.  Requests
   under way count as sent earlier by the platform's clock.  */
#define ADMIT_ANY_FOR (2800 * CS_MSEC)
/* The process ends this long before the platform ends it, and answers what is
   in flight this long before.  */
#define KILL_MARGIN (300 * CS_MSEC)
#define ANSWER_MARGIN (450 * CS_MSEC)

cs_stop_step_t
cs_stop_plan_step (const cs_stop_plan_t *plan, cs_usec_t now)
{
  cs_usec_t since = now - plan->started_at;
  if (!plan->started_at)
    return CS_STOP_SERVE;
  if (since > plan->grace_period - KILL_MARGIN)
    return CS_STOP_END;
  if (since > plan->grace_period - ANSWER_MARGIN)
    return CS_STOP_ANSWER_ALL;
  return since > NO_REQUESTS_AFTER   ? CS_STOP_NO_REQUESTS
         : since > LISTEN_LAST_AFTER ? CS_STOP_LISTEN_LAST
         : since > DRAIN_AFTER       ? CS_STOP_DRAIN
                                     : CS_STOP_SERVE;
}

bool
cs_stop_plan_admits (const cs_stop_plan_t *plan, cs_usec_t now,
                     cs_usec_t deadline)
{
  return !plan->started_at || now - plan->started_at <= ADMIT_ANY_FOR
         || deadline <= plan->started_at + plan->grace_period - ANSWER_MARGIN;
}
