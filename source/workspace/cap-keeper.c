/* The keeper of usage caps: one bucket for each workspace, and the floats that
   it has lent to nodes.  */
#include <math.h>

#include "cardamom/cap.h"

/* The part of the tolerance that is lent as floats.  The rest covers nodes
   that count different numbers of nodes for a moment.  */
#define FLOAT_PART 0.8
/* A float shall last for this long at the node's present rate: a report and
   its answer between two regions take some 100 ms.  */
#define FLOAT_TIME_S 0.25
/* Weight of one report in the mean rate of a node.  */
#define RATE_WEIGHT 0.3
/* A float that its node has not reported on for so long is lent to others; the
   node drops it before that (allowance.c).  */
#define FLOAT_LIFE (12 * CS_SEC)
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
} lent_float_t;

typedef struct
{
  double tokens; /* Below 0 while floats are used that it could not fill.  */
  cs_usec_t filled_at;
  double denied;      /* Requests turned away lately, which come back.  */
  GHashTable *floats; /* uint64_t * (node) -> lent_float_t *.  */
  int64_t lent;       /* Sum of their sizes.  */
} bucket_t;

typedef struct
{
  cs_usec_t at[CS_CAP_GROUPS]; /* When it pledged each group; 0: it did not. */
} pledge_t;

struct cs_cap_keeper
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
  g_hash_table_unref (bucket->floats);
  g_free (bucket);
}

cs_cap_keeper_t *
cs_cap_keeper_new (const cs_cap_tolerance_t *tolerance)
{
  cs_cap_keeper_t *keeper = g_new0 (cs_cap_keeper_t, 1);
  keeper->tolerance = *tolerance;
  keeper->buckets = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free,
                                           free_bucket);
  keeper->pledges
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  return keeper;
}

void
cs_cap_keeper_free (cs_cap_keeper_t *keeper)
{
  g_hash_table_unref (keeper->buckets);
  g_hash_table_unref (keeper->pledges);
  g_free (keeper);
}

/* The pledges of GROUP that are valid at NOW.  */
static unsigned
count_pledges (cs_cap_keeper_t *keeper, unsigned group, cs_usec_t now)
{
  GHashTableIter iter;
  gpointer value;
  unsigned pledged = 0;
  if (keeper->pledged[group] && now - keeper->counted_at[group] < COUNT_LIFE)
    return keeper->pledged[group];
  g_hash_table_iter_init (&iter, keeper->pledges);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const pledge_t *pledge = value;
      pledged
          += pledge->at[group] && now - pledge->at[group] < CS_CAP_PLEDGE_TIME;
    }
  keeper->pledged[group] = pledged;
  keeper->counted_at[group] = now;
  return pledged;
}

void
cs_cap_keeper_pledge (cs_cap_keeper_t *keeper, uint64_t node, unsigned groups,
                      cs_usec_t now)
{
  pledge_t *pledge = g_hash_table_lookup (keeper->pledges, &node);
  if (!pledge)
    {
      pledge = g_new0 (pledge_t, 1);
      g_hash_table_insert (keeper->pledges, g_memdup2 (&node, sizeof node),
                           pledge);
    }
  for (unsigned group = 0; group < CS_CAP_GROUPS; group++)
    {
      if (groups & 1u << group && !count_pledges (keeper, group, now))
        keeper->kept_since[group] = now;
      pledge->at[group] = groups & 1u << group ? now : 0;
    }
}

double
cs_cap_keeper_part (cs_cap_keeper_t *keeper, unsigned group, unsigned nodes,
                    cs_usec_t now)
{
  return MIN ((double)count_pledges (keeper, group, now) / MAX (nodes, 1),
              1.0);
}

static bucket_t *
bucket_of (cs_cap_keeper_t *keeper, uint64_t workspace)
{
  bucket_t *bucket = g_hash_table_lookup (keeper->buckets, &workspace);
  if (!bucket)
    {
      bucket = g_new0 (bucket_t, 1);
      bucket->floats = g_hash_table_new_full (g_int64_hash, g_int64_equal,
                                              g_free, g_free);
      bucket->filled_at = keeper->kept_since[cs_cap_group (workspace)];
      g_hash_table_insert (keeper->buckets,
                           g_memdup2 (&workspace, sizeof workspace), bucket);
    }
  return bucket;
}

/* Add what RATE gives until NOW, up to SIZE.  A new bucket holds what came
   since this keeper took the group over: what an earlier one has given is not
   known.  */
static void
fill (bucket_t *bucket, double rate, double size, cs_usec_t now)
{
  double elapsed = (double)(now - bucket->filled_at) / (double)CS_SEC;
  bucket->tokens = MIN (bucket->tokens + rate * elapsed, size);
  bucket->denied *= exp (-elapsed);
  bucket->filled_at = now;
}

static void
drop_old_floats (bucket_t *bucket, cs_usec_t now)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, bucket->floats);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const lent_float_t *lent = value;
      if (now - lent->heard_at <= FLOAT_LIFE)
        continue;
      bucket->lent -= lent->size;
      g_hash_table_iter_remove (&iter);
    }
}

static lent_float_t *
float_of (bucket_t *bucket, uint64_t node, cs_usec_t now)
{
  lent_float_t *lent = g_hash_table_lookup (bucket->floats, &node);
  if (!lent)
    {
      drop_old_floats (bucket, now);
      lent = g_new0 (lent_float_t, 1);
      lent->heard_at = now;
      g_hash_table_insert (bucket->floats, g_memdup2 (&node, sizeof node),
                           lent);
    }
  return lent;
}

/* Set the size of LENT to what its node needs, as far as TOTAL, the sum of all
   floats, allows.  It does not fall below what the node HOLDS, for that is
   lent.  */
static void
resize (bucket_t *bucket, lent_float_t *lent, double total,
        const cs_cap_ask_t *ask)
{
  int64_t others = bucket->lent - lent->size;
  int64_t need = (int64_t)ceil (lent->per_s * FLOAT_TIME_S) + 1 + ask->want;
  int64_t room = MAX ((int64_t)total - others, 0);
  lent->size = MAX (MIN (need, room), ask->held);
  bucket->lent = others + lent->size;
}

cs_cap_grant_t
cs_cap_keeper_ask (cs_cap_keeper_t *keeper, uint64_t node,
                   const cs_cap_ask_t *ask, const cs_cap_t *cap, double part,
                   cs_usec_t now)
{
  const cs_cap_tolerance_t *tolerance = &keeper->tolerance;
  bucket_t *bucket = bucket_of (keeper, ask->workspace);
  double rate = cap->per_s * part;
  double size = MAX (MAX (cap->burst * part, rate * BUCKET_TIME_S), 1.0);
  double window_s = (double)tolerance->window / (double)CS_SEC;
  double total = FLOAT_PART * part
                 * (tolerance->over * (cap->per_s * window_s + cap->burst)
                    + tolerance->slack);
  cs_cap_grant_t grant = { .workspace = ask->workspace };
  fill (bucket, rate, size, now);
  bucket->tokens = MIN (bucket->tokens - (double)ask->used, size);
  lent_float_t *lent = float_of (bucket, node, now);
  double elapsed
      = (double)MAX (now - lent->heard_at, 10 * CS_MSEC) / (double)CS_SEC;
  lent->per_s
      += RATE_WEIGHT * ((double)MAX (ask->used, 0) / elapsed - lent->per_s);
  lent->heard_at = now;
  resize (bucket, lent, total, ask);
  /* The float is filled up only while the bucket is not empty.  */
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
cs_cap_keeper_forget (cs_cap_keeper_t *keeper, uint64_t node, unsigned group)
{
  GHashTableIter iter;
  gpointer workspace, value;
  g_hash_table_iter_init (&iter, keeper->buckets);
  while (g_hash_table_iter_next (&iter, &workspace, &value))
    {
      bucket_t *bucket = value;
      const lent_float_t *lent = g_hash_table_lookup (bucket->floats, &node);
      if (!lent || cs_cap_group (*(uint64_t *)workspace) != group)
        continue;
      bucket->lent -= lent->size;
      g_hash_table_remove (bucket->floats, &node);
    }
}
