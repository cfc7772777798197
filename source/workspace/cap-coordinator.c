/* The coordinator of usage caps: one bucket for each workspace, and the
   credits that it has lent to nodes.  */
#include <math.h>

#include "cardamom/cap.h"

/* The part of the tolerance that is lent as credits.  The rest covers nodes
   that count different numbers of nodes for a moment.  */
#define CREDIT_PART 0.8
/* A credit shall last for this long at the node's present rate: a report and
   its answer between two regions take some 100 ms.  */
#define CREDIT_TIME_S 0.25
/* Credits are worth no more than the cap's rate in this time, and this many
   tokens: a coordinator that takes over waits until as much has come.  */
#define CREDIT_TOTAL_TIME_S 1.0
#define CREDIT_TOTAL_MIN 2.0
/* Weight of one report in the mean rate of a node.  */
#define RATE_WEIGHT 0.3
/* A credit that its node has not reported on for so long is lent to others;
   the node drops it before that (allowance.c).  */
#define CREDIT_LIFE (12 * CS_SEC)
/* Pledges are counted anew after this time.  The margin of a pledge covers it:
   a part that has run out is counted a little longer.  */
#define COUNT_LIFE (100 * CS_MSEC)
/* A bucket holds what its rate gives in this time, if the burst is less.  */
#define BUCKET_TIME_S 0.1

typedef struct
{
  int64_t size;       /* Tokens lent.  */
  double per_s;       /* Mean use.  */
  cs_usec_t heard_at; /* Of the last report.  */
} credit_t;

typedef struct
{
  double tokens; /* Below 0 while credits are used that it could not fill.  */
  cs_usec_t filled_at;
  double denied;       /* Requests turned away lately, which come back.  */
  GHashTable *credits; /* uint64_t * (node) -> credit_t *.  */
  int64_t lent;        /* Sum of their sizes.  */
} bucket_t;

typedef struct
{
  cs_usec_t at[CS_CAP_GROUPS]; /* When it pledged each group; 0: it did not. */
} pledge_t;

struct cs_cap_coordinator
{
  cs_cap_tolerance_t tolerance;
  GHashTable *buckets; /* uint64_t * (workspace) -> bucket_t *.  */
  GHashTable *pledges; /* uint64_t * (node) -> pledge_t *.  */
  /* When each group's first pledge came after a time without any: nobody else
     has given tokens for these parts since.  */
  cs_usec_t kept_since[CS_CAP_GROUPS];
  unsigned pledged[CS_CAP_GROUPS]; /* As counted at COUNTED_AT.  */
  cs_usec_t counted_at[CS_CAP_GROUPS];
};

unsigned
cs_cap_group (uint64_t workspace)
{
  return (unsigned)(workspace % CS_CAP_GROUPS);
}

static void
free_bucket (void *data)
{
  bucket_t *bucket = data;
  g_hash_table_unref (bucket->credits);
  g_free (bucket);
}

cs_cap_coordinator_t *
cs_cap_coordinator_new (const cs_cap_tolerance_t *tolerance)
{
  cs_cap_coordinator_t *coordinator = g_new0 (cs_cap_coordinator_t, 1);
  coordinator->tolerance = *tolerance;
  coordinator->buckets = g_hash_table_new_full (g_int64_hash, g_int64_equal,
                                                g_free, free_bucket);
  coordinator->pledges
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  return coordinator;
}

void
cs_cap_coordinator_free (cs_cap_coordinator_t *coordinator)
{
  g_hash_table_unref (coordinator->buckets);
  g_hash_table_unref (coordinator->pledges);
  g_free (coordinator);
}

/* The pledges of GROUP that are valid at NOW.  */
static unsigned
count_pledges (cs_cap_coordinator_t *coordinator, unsigned group,
               cs_usec_t now)
{
  GHashTableIter iter;
  gpointer value;
  unsigned pledged = 0;
  if (coordinator->pledged[group]
      && now - coordinator->counted_at[group] < COUNT_LIFE)
    return coordinator->pledged[group];
  g_hash_table_iter_init (&iter, coordinator->pledges);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const pledge_t *pledge = value;
      pledged
          += pledge->at[group] && now - pledge->at[group] < CS_CAP_PLEDGE_TIME;
    }
  coordinator->pledged[group] = pledged;
  coordinator->counted_at[group] = now;
  return pledged;
}

void
cs_cap_coordinator_pledge (cs_cap_coordinator_t *coordinator, uint64_t node,
                           unsigned groups, cs_usec_t now)
{
  pledge_t *pledge = g_hash_table_lookup (coordinator->pledges, &node);
  if (!pledge)
    {
      pledge = g_new0 (pledge_t, 1);
      g_hash_table_insert (coordinator->pledges,
                           g_memdup2 (&node, sizeof node), pledge);
    }
  for (unsigned group = 0; group < CS_CAP_GROUPS; group++)
    {
      if (groups & 1u << group && !count_pledges (coordinator, group, now))
        coordinator->kept_since[group] = now;
      pledge->at[group] = groups & 1u << group ? now : 0;
    }
}

void
cs_cap_coordinator_forget_pledges (cs_cap_coordinator_t *coordinator)
{
  g_hash_table_remove_all (coordinator->pledges);
  for (unsigned group = 0; group < CS_CAP_GROUPS; group++)
    coordinator->pledged[group] = 0;
}

double
cs_cap_coordinator_part (cs_cap_coordinator_t *coordinator, unsigned group,
                         unsigned nodes, cs_usec_t now)
{
  return MIN ((double)count_pledges (coordinator, group, now) / MAX (nodes, 1),
              1.0);
}

/* The most that coordinators lend together as credits under CAP.  */
static double
lent_max (const cs_cap_tolerance_t *tolerance, const cs_cap_t *cap)
{
  double window_s = (double)tolerance->window / (double)CS_SEC;
  double tolerated = tolerance->over * (cap->per_s * window_s + cap->burst)
                     + tolerance->slack;
  return MIN (CREDIT_PART * tolerated,
              cap->per_s * CREDIT_TOTAL_TIME_S + CREDIT_TOTAL_MIN);
}

/* The bucket of CAP's workspace.  A new one holds what came since this
   coordinator took the group over, less what an earlier one may have lent:
   what that has given is not known.  So the sum holds however often
   coordinators change.  */
static bucket_t *
bucket_of (cs_cap_coordinator_t *coordinator, const cs_cap_t *cap)
{
  uint64_t workspace = cap->workspace;
  bucket_t *bucket = g_hash_table_lookup (coordinator->buckets, &workspace);
  if (!bucket)
    {
      bucket = g_new0 (bucket_t, 1);
      bucket->credits = g_hash_table_new_full (g_int64_hash, g_int64_equal,
                                               g_free, g_free);
      bucket->filled_at = coordinator->kept_since[cs_cap_group (workspace)];
      bucket->tokens = -lent_max (&coordinator->tolerance, cap);
      g_hash_table_insert (coordinator->buckets,
                           g_memdup2 (&workspace, sizeof workspace), bucket);
    }
  return bucket;
}

/* Add what RATE gives until NOW, up to SIZE.  */
static void
fill (bucket_t *bucket, double rate, double size, cs_usec_t now)
{
  double elapsed = (double)(now - bucket->filled_at) / (double)CS_SEC;
  bucket->tokens = MIN (bucket->tokens + rate * elapsed, size);
  bucket->denied *= exp (-elapsed);
  bucket->filled_at = now;
}

static void
drop_old_credits (bucket_t *bucket, cs_usec_t now)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, bucket->credits);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const credit_t *lent = value;
      if (now - lent->heard_at <= CREDIT_LIFE)
        continue;
      bucket->lent -= lent->size;
      g_hash_table_iter_remove (&iter);
    }
}

static credit_t *
credit_of (bucket_t *bucket, uint64_t node, cs_usec_t now)
{
  credit_t *lent = g_hash_table_lookup (bucket->credits, &node);
  if (!lent)
    {
      drop_old_credits (bucket, now);
      lent = g_new0 (credit_t, 1);
      lent->heard_at = now;
      g_hash_table_insert (bucket->credits, g_memdup2 (&node, sizeof node),
                           lent);
    }
  return lent;
}

/* Set the size of LENT to what its node needs, as far as TOTAL, the sum of all
   credits, allows.  It does not fall below what the node HOLDS, for that is
   lent.  */
static void
resize (bucket_t *bucket, credit_t *lent, double total,
        const cs_cap_ask_t *ask)
{
  int64_t others = bucket->lent - lent->size;
  int64_t need = (int64_t)ceil (lent->per_s * CREDIT_TIME_S) + 1 + ask->want;
  int64_t room = MAX ((int64_t)total - others, 0);
  lent->size = MAX (MIN (need, room), ask->held);
  bucket->lent = others + lent->size;
}

cs_cap_grant_t
cs_cap_coordinator_ask (cs_cap_coordinator_t *coordinator, uint64_t node,
                        const cs_cap_ask_t *ask, const cs_cap_t *cap,
                        double part, cs_usec_t now)
{
  bucket_t *bucket = bucket_of (coordinator, cap);
  double rate = cap->per_s * part;
  double size = MAX (MAX (cap->burst * part, rate * BUCKET_TIME_S), 1.0);
  double total = part * lent_max (&coordinator->tolerance, cap);
  cs_cap_grant_t grant = { .workspace = ask->workspace };
  fill (bucket, rate, size, now);
  bucket->tokens = MIN (bucket->tokens - (double)ask->used, size);
  credit_t *lent = credit_of (bucket, node, now);
  double elapsed
      = (double)MAX (now - lent->heard_at, 10 * CS_MSEC) / (double)CS_SEC;
  lent->per_s
      += RATE_WEIGHT * ((double)MAX (ask->used, 0) / elapsed - lent->per_s);
  lent->heard_at = now;
  resize (bucket, lent, total, ask);
  /* The credit is filled up only while the bucket is not empty.  */
  if (bucket->tokens >= 0)
    grant.add = MAX (lent->size - ask->held, 0);
  else
    {
      bucket->lent += ask->held - lent->size;
      lent->size = ask->held;
    }
  int64_t missing = ask->want - ask->held - grant.add;
  if (missing > 0 && bucket->tokens >= 1)
    {
      grant.charged = MIN (missing, (int64_t)bucket->tokens);
      grant.add += grant.charged;
      bucket->tokens -= (double)grant.charged;
      missing -= grant.charged;
    }
  if (missing > 0)
    {
      double turn = 1.0 - bucket->tokens + bucket->denied;
      grant.retry_after
          = MAX ((cs_usec_t)(turn / MAX (rate, 0.01) * (double)CS_SEC), 1);
      bucket->denied += (double)missing;
    }
  return grant;
}

void
cs_cap_coordinator_forget (cs_cap_coordinator_t *coordinator, uint64_t node,
                           unsigned group)
{
  GHashTableIter iter;
  gpointer workspace, value;
  g_hash_table_iter_init (&iter, coordinator->buckets);
  while (g_hash_table_iter_next (&iter, &workspace, &value))
    {
      bucket_t *bucket = value;
      const credit_t *lent = g_hash_table_lookup (bucket->credits, &node);
      if (!lent || cs_cap_group (*(uint64_t *)workspace) != group)
        continue;
      bucket->lent -= lent->size;
      g_hash_table_remove (bucket->credits, &node);
    }
}
