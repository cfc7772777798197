#include "cardamom/cold-share.h"

/* Each sender takes so many times its even share: at a given moment most
   senders have no request for the server, and its rate shall be used up.  */
#define SHARE_FACTOR 3

static cs_usec_t
share_interval (const cs_cold_rate_t *rate)
{
  if (!(rate->per_second > 0))
    return 0;
  double seconds = MAX (rate->senders, 1) / (rate->per_second * SHARE_FACTOR);
  return (cs_usec_t)(seconds * (double)CS_SEC);
}

void
cs_cold_share_begin (cs_cold_share_t *share, cs_usec_t warm_at)
{
  *share = (cs_cold_share_t){ .warm_at = warm_at };
}

cs_usec_t
cs_cold_share_wait (cs_cold_share_t *share, const cs_cold_rate_t *rate,
                    GRand *random, cs_usec_t now)
{
  cs_usec_t interval = share_interval (rate);
  if (!interval || now >= share->warm_at)
    return 0;
  if (!share->next_at)
    share->next_at
        = now + (cs_usec_t)(g_rand_double (random) * (double)interval);
  return CLAMP (share->next_at - now, 0, share->warm_at - now);
}

void
cs_cold_share_take (cs_cold_share_t *share, const cs_cold_rate_t *rate,
                    cs_usec_t now)
{
  if (now < share->warm_at)
    share->next_at = MAX (share->next_at, now) + share_interval (rate);
}
