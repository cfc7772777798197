#include <string.h>

#include "cardamom/admission.h"

#define LATENCY_WEIGHT 0.1          /* Of a sample in the average.  */
#define LATENCY_FIRST (2 * CS_MSEC) /* Before the first sample.  */
#define RETRY_AFTER_MIN (50 * CS_MSEC)
#define WORK_UNIT 1000.0 /* Virtual time of one request of weight 1.  */

/* What one team has waiting and has had.  */
typedef struct
{
  char *name;
  double virtual_time; /* Work received over weight.  */
  int64_t weight;
  guint queued;
} share_t;

struct cs_admission
{
  cs_limiter_t *limiter;
  guint queue_max, running, queued;
  GQueue queues[CS_PRIORITIES]; /* cs_ticket_t *, oldest first.  */
  GHashTable *shares;           /* team -> share_t.  */
  double virtual_now;           /* Of the share served last.  */
  double latency;               /* Average, in microseconds.  */
};

static void
free_share (gpointer data)
{
  share_t *share = data;
  g_free (share->name);
  g_free (share);
}

cs_admission_t *
cs_admission_new (cs_ctx_t *ctx, cs_limiter_t *limiter, guint queue_max)
{
  cs_admission_t *a = cs_calloc (ctx, sizeof *a);
  a->limiter = limiter;
  a->queue_max = queue_max;
  a->latency = LATENCY_FIRST;
  for (int i = 0; i < CS_PRIORITIES; i++)
    g_queue_init (&a->queues[i]);
  a->shares
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_share);
  return a;
}

void
cs_admission_drop (cs_ctx_t *ctx, cs_admission_t *a)
{
  if (!a)
    return;
  for (int i = 0; i < CS_PRIORITIES; i++)
    g_queue_clear (&a->queues[i]);
  g_hash_table_unref (a->shares);
  a->limiter->vtable->drop (ctx, a->limiter);
  cs_free (ctx, a);
}

void
cs_admission_set_limiter (cs_ctx_t *ctx, cs_admission_t *a,
                          cs_limiter_t *limiter)
{
  a->limiter->vtable->drop (ctx, a->limiter);
  a->limiter = limiter;
}

static share_t *
share_of (cs_admission_t *a, const cs_ticket_t *ticket)
{
  share_t *share = g_hash_table_lookup (a->shares, ticket->team);
  if (!share)
    {
      share = g_new0 (share_t, 1);
      share->name = g_strdup (ticket->team);
      g_hash_table_insert (a->shares, share->name, share);
    }
  share->weight = MAX (ticket->weight, 1);
  return share;
}

static void
charge (cs_admission_t *a, const cs_ticket_t *ticket)
{
  share_t *share = share_of (a, ticket);
  /* A team that was idle gets no credit for it.  */
  share->virtual_time = MAX (share->virtual_time, a->virtual_now);
  a->virtual_now = share->virtual_time;
  share->virtual_time += WORK_UNIT / (double)share->weight;
}

int64_t
cs_admission_limit (const cs_admission_t *a)
{
  return a->limiter->vtable->limit (a->limiter);
}

guint
cs_admission_running (const cs_admission_t *a)
{
  return a->running;
}

guint
cs_admission_queued (const cs_admission_t *a)
{
  return a->queued;
}

static cs_usec_t
expected_wait (const cs_admission_t *a, guint ahead)
{
  return (cs_usec_t)(a->latency * (double)ahead
                     / (double)cs_admission_limit (a));
}

cs_usec_t
cs_admission_retry_after (const cs_admission_t *a)
{
  return MAX (expected_wait (a, a->queued + 1), RETRY_AFTER_MIN);
}

static guint
queued_ahead (const cs_admission_t *a, int64_t priority)
{
  guint ahead = 1;
  for (int64_t p = 0; p <= priority; p++)
    ahead += a->queues[p].length;
  return ahead;
}

static bool
can_meet_deadline (const cs_admission_t *a, const cs_ticket_t *ticket,
                   guint ahead, cs_usec_t now)
{
  return now + expected_wait (a, ahead) + (cs_usec_t)a->latency
         <= ticket->deadline;
}

static void
enqueue (cs_admission_t *a, cs_ticket_t *ticket, cs_usec_t now)
{
  ticket->queued_at = now;
  g_queue_push_tail (&a->queues[ticket->priority], ticket);
  share_of (a, ticket)->queued++;
  a->queued++;
}

static void
unlink_ticket (cs_admission_t *a, cs_ticket_t *ticket, GList *link)
{
  g_queue_delete_link (&a->queues[ticket->priority], link);
  share_of (a, ticket)->queued--;
  a->queued--;
}

static double
backlog (cs_admission_t *a, const cs_ticket_t *ticket)
{
  const share_t *share = share_of (a, ticket);
  return (double)share->queued / (double)share->weight;
}

/* The waiting ticket that should lose its place to TICKET: the youngest of
   the team with the largest backlog, in the lowest priority that is not
   above TICKET's.  NULL when TICKET itself should lose.  */
static GList *
find_victim (cs_admission_t *a, const cs_ticket_t *ticket)
{
  for (int64_t p = CS_PRIORITIES - 1; p >= ticket->priority; p--)
    {
      GList *worst = NULL;
      for (GList *at = a->queues[p].tail; at; at = at->prev)
        if (!worst || backlog (a, at->data) > backlog (a, worst->data))
          worst = at;
      if (!worst)
        continue;
      if (p > ticket->priority
          || backlog (a, worst->data)
                 > backlog (a, ticket) + 1.0 / (double)ticket->weight)
        return worst;
    }
  return NULL;
}

cs_admit_t
cs_admission_offer (cs_admission_t *a, cs_ticket_t *ticket, cs_usec_t now,
                    cs_ticket_t **shed)
{
  *shed = NULL;
  ticket->priority = CLAMP (ticket->priority, 0, CS_PRIORITIES - 1);
  if ((int64_t)a->running < cs_admission_limit (a) && a->queued == 0)
    {
      a->running++;
      charge (a, ticket);
      return CS_ADMIT_RUN;
    }
  *shed = ticket;
  if (!can_meet_deadline (a, ticket, queued_ahead (a, ticket->priority), now))
    return CS_ADMIT_SHED;
  if (a->queued >= a->queue_max)
    {
      GList *victim = find_victim (a, ticket);
      if (!victim)
        return CS_ADMIT_SHED;
      *shed = victim->data;
      unlink_ticket (a, victim->data, victim);
    }
  else
    *shed = NULL;
  enqueue (a, ticket, now);
  return CS_ADMIT_QUEUE;
}

/* The oldest ticket of the team that has had least for its weight.  */
static GList *
fairest (cs_admission_t *a, GQueue *queue)
{
  GList *best = NULL;
  double best_time = 0.0;
  for (GList *at = queue->head; at; at = at->next)
    {
      double time = MAX (share_of (a, at->data)->virtual_time, a->virtual_now);
      if (!best || time < best_time)
        {
          best = at;
          best_time = time;
        }
    }
  return best;
}

cs_ticket_t *
cs_admission_next (cs_admission_t *a, cs_usec_t now, GPtrArray *shed)
{
  if ((int64_t)a->running >= cs_admission_limit (a))
    return NULL;
  for (int p = 0; p < CS_PRIORITIES; p++)
    {
      GList *link;
      while ((link = fairest (a, &a->queues[p])))
        {
          cs_ticket_t *ticket = link->data;
          unlink_ticket (a, ticket, link);
          if (ticket->cancelled || !can_meet_deadline (a, ticket, 0, now))
            {
              g_ptr_array_add (shed, ticket);
              continue;
            }
          a->running++;
          charge (a, ticket);
          return ticket;
        }
    }
  return NULL;
}

void
cs_admission_done (cs_admission_t *a, cs_usec_t latency, bool failed)
{
  a->limiter->vtable->sample (a->limiter, latency, a->running, failed);
  if (!failed)
    a->latency += LATENCY_WEIGHT * ((double)latency - a->latency);
  a->running--;
}

cs_ticket_t *
cs_admission_find (cs_admission_t *a,
                   bool (*match) (const cs_ticket_t *ticket, const void *arg),
                   const void *arg)
{
  for (int p = 0; p < CS_PRIORITIES; p++)
    for (GList *at = a->queues[p].head; at; at = at->next)
      if (match (at->data, arg))
        return at->data;
  return NULL;
}
