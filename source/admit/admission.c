#include <string.h>

#include "cardamom/admission.h"

#define LATENCY_SMOOTHING 0.1 /* Weight of a sample in the moving average. */
#define LATENCY_INITIAL (2 * CS_MSEC) /* Assumed before the first sample.  */
#define RETRY_AFTER_MIN (50 * CS_MSEC)
/* Virtual time that a request costs a team of weight 1, in an arbitrary unit.
 */
#define REQUEST_VIRTUAL_TIME 1000.0

/* State of one team in the weighted fair queue.  */
typedef struct
{
  char *name;
  double virtual_time; /* Service received, divided by weight.  */
  int64_t weight;
  guint queued;
} team_state_t;

struct cs_admission
{
  cs_limiter_t *limiter;
  guint queue_max, running, queued;
  GQueue
      queues[CS_PRIORITY_LEVELS]; /* cs_admission_request_t *, oldest first. */
  GHashTable *teams;              /* team -> team_state_t.  */
  double virtual_now; /* Virtual start time of the request admitted last.  */
  double latency;     /* Moving average, in microseconds.  */
};

static void
free_team (gpointer data)
{
  team_state_t *team = data;
  g_free (team->name);
  g_free (team);
}

cs_admission_t *
cs_admission_new (cs_ctx_t *ctx, cs_limiter_t *limiter, guint queue_max)
{
  cs_admission_t *admission = cs_calloc (ctx, sizeof *admission);
  admission->limiter = limiter;
  admission->queue_max = queue_max;
  admission->latency = LATENCY_INITIAL;
  for (int i = 0; i < CS_PRIORITY_LEVELS; i++)
    g_queue_init (&admission->queues[i]);
  admission->teams
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_team);
  return admission;
}

void
cs_admission_drop (cs_ctx_t *ctx, cs_admission_t *admission)
{
  if (!admission)
    return;
  for (int i = 0; i < CS_PRIORITY_LEVELS; i++)
    g_queue_clear (&admission->queues[i]);
  g_hash_table_unref (admission->teams);
  admission->limiter->vtable->drop (ctx, admission->limiter);
  cs_free (ctx, admission);
}

void
cs_admission_set_limiter (cs_ctx_t *ctx, cs_admission_t *admission,
                          cs_limiter_t *limiter)
{
  admission->limiter->vtable->drop (ctx, admission->limiter);
  admission->limiter = limiter;
}

static team_state_t *
team_of (cs_admission_t *admission, const cs_admission_request_t *request)
{
  team_state_t *team = g_hash_table_lookup (admission->teams, request->team);
  if (!team)
    {
      team = g_new0 (team_state_t, 1);
      team->name = g_strdup (request->team);
      g_hash_table_insert (admission->teams, team->name, team);
    }
  team->weight = MAX (request->weight, 1);
  return team;
}

static void
charge_team (cs_admission_t *admission, const cs_admission_request_t *request)
{
  team_state_t *team = team_of (admission, request);
  /* A team does not accumulate credit while it is idle.  */
  team->virtual_time = MAX (team->virtual_time, admission->virtual_now);
  admission->virtual_now = team->virtual_time;
  team->virtual_time += REQUEST_VIRTUAL_TIME / (double)team->weight;
}

int64_t
cs_admission_limit (const cs_admission_t *admission)
{
  return admission->limiter->vtable->current_limit (admission->limiter);
}

guint
cs_admission_running (const cs_admission_t *admission)
{
  return admission->running;
}

guint
cs_admission_queued (const cs_admission_t *admission)
{
  return admission->queued;
}

/* Time until AHEAD requests have left the queue.  */
static cs_usec_t
expected_wait (const cs_admission_t *admission, guint ahead)
{
  return (cs_usec_t)(admission->latency * (double)ahead
                     / (double)cs_admission_limit (admission));
}

cs_usec_t
cs_admission_retry_after (const cs_admission_t *admission)
{
  return MAX (expected_wait (admission, admission->queued + 1),
              RETRY_AFTER_MIN);
}

/* Requests to be served before a new one of PRIORITY, itself counted.  */
static guint
queued_ahead (const cs_admission_t *admission, int64_t priority)
{
  guint ahead = 1;
  for (int64_t p = 0; p <= priority; p++)
    ahead += admission->queues[p].length;
  return ahead;
}

static bool
can_meet_deadline (const cs_admission_t *admission,
                   const cs_admission_request_t *request, guint ahead,
                   cs_usec_t now)
{
  return now + expected_wait (admission, ahead) + (cs_usec_t)admission->latency
         <= request->deadline;
}

static void
enqueue (cs_admission_t *admission, cs_admission_request_t *request,
         cs_usec_t now)
{
  request->queued_at = now;
  g_queue_push_tail (&admission->queues[request->priority], request);
  team_of (admission, request)->queued++;
  admission->queued++;
}

static void
unlink_request (cs_admission_t *admission, cs_admission_request_t *request,
                GList *link)
{
  g_queue_delete_link (&admission->queues[request->priority], link);
  team_of (admission, request)->queued--;
  admission->queued--;
}

/* Queued requests of REQUEST's team, divided by its weight.  */
static double
backlog (cs_admission_t *admission, const cs_admission_request_t *request)
{
  const team_state_t *team = team_of (admission, request);
  return (double)team->queued / (double)team->weight;
}

/* The queued request to evict in favour of REQUEST: the newest one of the team
   with the largest backlog, in the lowest priority that is not above
   REQUEST's.  NULL when REQUEST itself is to be refused.  */
static GList *
find_victim (cs_admission_t *admission, const cs_admission_request_t *request)
{
  for (int64_t p = CS_PRIORITY_LEVELS - 1; p >= request->priority; p--)
    {
      GList *worst = NULL;
      for (GList *at = admission->queues[p].tail; at; at = at->prev)
        if (!worst
            || backlog (admission, at->data)
                   > backlog (admission, worst->data))
          worst = at;
      if (!worst)
        continue;
      if (p > request->priority
          || backlog (admission, worst->data)
                 > backlog (admission, request)
                       + 1.0 / (double)request->weight)
        return worst;
    }
  return NULL;
}

cs_admission_decision_t
cs_admission_submit (cs_admission_t *admission,
                     cs_admission_request_t *request, cs_usec_t now,
                     cs_admission_request_t **shed)
{
  *shed = NULL;
  request->priority = CLAMP (request->priority, 0, CS_PRIORITY_LEVELS - 1);
  if ((int64_t)admission->running < cs_admission_limit (admission)
      && admission->queued == 0)
    {
      admission->running++;
      charge_team (admission, request);
      return CS_ADMIT_RUN;
    }
  *shed = request;
  if (!can_meet_deadline (admission, request,
                          queued_ahead (admission, request->priority), now))
    return CS_ADMIT_SHED;
  if (admission->queued >= admission->queue_max)
    {
      GList *victim = find_victim (admission, request);
      if (!victim)
        return CS_ADMIT_SHED;
      *shed = victim->data;
      unlink_request (admission, victim->data, victim);
    }
  else
    *shed = NULL;
  enqueue (admission, request, now);
  return CS_ADMIT_QUEUE;
}

/* The oldest request in QUEUE of the team with the lowest virtual time.  */
static GList *
least_served (cs_admission_t *admission, GQueue *queue)
{
  GList *best = NULL;
  double best_time = 0.0;
  for (GList *at = queue->head; at; at = at->next)
    {
      double time = MAX (team_of (admission, at->data)->virtual_time,
                         admission->virtual_now);
      if (!best || time < best_time)
        {
          best = at;
          best_time = time;
        }
    }
  return best;
}

cs_admission_request_t *
cs_admission_next (cs_admission_t *admission, cs_usec_t now, GPtrArray *shed)
{
  if ((int64_t)admission->running >= cs_admission_limit (admission))
    return NULL;
  for (int p = 0; p < CS_PRIORITY_LEVELS; p++)
    {
      GList *link;
      while ((link = least_served (admission, &admission->queues[p])))
        {
          cs_admission_request_t *request = link->data;
          unlink_request (admission, request, link);
          if (request->cancelled
              || !can_meet_deadline (admission, request, 0, now))
            {
              g_ptr_array_add (shed, request);
              continue;
            }
          admission->running++;
          charge_team (admission, request);
          return request;
        }
    }
  return NULL;
}

void
cs_admission_done (cs_admission_t *admission, cs_usec_t latency, bool failed)
{
  admission->limiter->vtable->add_sample (admission->limiter, latency,
                                          admission->running, failed);
  if (!failed)
    admission->latency
        += LATENCY_SMOOTHING * ((double)latency - admission->latency);
  admission->running--;
}

cs_admission_request_t *
cs_admission_find (cs_admission_t *admission,
                   bool (*match) (const cs_admission_request_t *request,
                                  const void *arg),
                   const void *arg)
{
  for (int p = 0; p < CS_PRIORITY_LEVELS; p++)
    for (GList *at = admission->queues[p].head; at; at = at->next)
      if (match (at->data, arg))
        return at->data;
  return NULL;
}
