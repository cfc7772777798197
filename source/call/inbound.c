/* Jobs that other nodes send to the backend server beside this one.  */
#include <string.h>

#include "traffic.h"

/* The answer of a job that must run once is kept so long, for a caller's node
   whose stream broke before it came; the fact that it ran longer.  */
#define ANSWER_KEPT (6 * CS_SEC)
#define FACT_KEPT (60 * CS_SEC)

/* A stream that another node opened.  */
typedef struct
{
  cs_traffic_t *traffic;
  cs_stream_t *stream;
  char name[CS_LIFE_TEXT]; /* Empty until it has greeted.  */
  GHashTable *jobs;        /* number -> job_t *.  */
} inbound_t;

typedef struct
{
  cs_traffic_t *traffic;
  inbound_t *inbound; /* NULL while its stream is gone.  */
  uint64_t number;
  cs_task_t *run;  /* NULL when it has ended.  */
  char *id;        /* Set for a job that must run once.  */
  GString *result; /* Packed outcome kept for a later question.  */
  cs_usec_t ended;
  bool idempotent;
  bool barred; /* It has not run, and never will.  */
} job_t;

static void
free_job (job_t *job)
{
  if (job->result)
    g_string_free (job->result, TRUE);
  g_free (job->id);
  g_free (job);
}

static void
send_outcome (inbound_t *inbound, uint64_t number, const cs_outcome_t *outcome)
{
  cs_pack_t pack;
  cs_pack_init (&pack);
  cs_outcome_pack (&pack, number, outcome);
  cs_stream_send (inbound->stream, cs_pack_payload (&pack));
  cs_pack_clear (&pack);
}

static void
send_refusal (inbound_t *inbound, uint64_t number, cs_outcome_kind_t kind)
{
  cs_outcome_t outcome = { .kind = kind,
                           .reason = CS_REFUSED_EXPIRED,
                           .load = cs_runner_load (inbound->traffic->runner) };
  send_outcome (inbound, number, &outcome);
}

/* Keep what became of JOB, which must run once.  */
static void
keep_result (job_t *job, const cs_outcome_t *outcome)
{
  cs_pack_t pack;
  cs_pack_init (&pack);
  cs_outcome_pack (&pack, job->number, outcome);
  cs_str_t payload = cs_pack_payload (&pack);
  job->result = g_string_new_len (payload.data, (gssize)payload.len);
  cs_pack_clear (&pack);
  job->ended = traffic_now (job->traffic);
  g_queue_push_tail (&job->traffic->inbound_kept, job);
}

static void
on_done (void *user, const cs_outcome_t *outcome)
{
  job_t *job = user;
  job->run = NULL;
  job->traffic->jobs--;
  if (job->inbound)
    {
      g_hash_table_remove (job->inbound->jobs, &job->number);
      send_outcome (job->inbound, job->number, outcome);
      job->inbound = NULL;
    }
  if (!job->id)
    free_job (job);
  else if (outcome->kind == CS_OUTCOME_REFUSED)
    {
      /* It may be sent again under its id.  */
      g_hash_table_remove (job->traffic->inbound_by_id, job->id);
      free_job (job);
    }
  else
    keep_result (job, outcome);
}

/* Whether JOB's id was seen before: it has begun here, or its caller was told
   that it never will.  */
static bool
refuse_known (inbound_t *inbound, uint64_t number, const cs_job_t *job)
{
  char *id = cs_str_dup (job->id);
  const job_t *known
      = g_hash_table_lookup (inbound->traffic->inbound_by_id, id);
  g_free (id);
  if (!known)
    return false;
  send_refusal (inbound, number, CS_OUTCOME_BROKEN);
  return true;
}

static void
take_job (inbound_t *inbound, cs_cursor_t *in)
{
  cs_traffic_t *t = inbound->traffic;
  uint64_t number;
  cs_job_t facts;
  cs_job_take (in, &number, &facts);
  if (in->bad || (!facts.idempotent && refuse_known (inbound, number, &facts)))
    return;
  job_t *job = g_new0 (job_t, 1);
  job->traffic = t;
  job->inbound = inbound;
  job->number = number;
  job->idempotent = facts.idempotent;
  if (!facts.idempotent && facts.id.len)
    {
      job->id = cs_str_dup (facts.id);
      g_hash_table_insert (t->inbound_by_id, job->id, job);
    }
  g_hash_table_insert (inbound->jobs, &job->number, job);
  t->jobs++;
  cs_task_t *run = cs_runner_submit (t->runner, &facts, on_done, job);
  if (run)
    job->run = run;
}

static void
take_cancel (inbound_t *inbound, cs_cursor_t *in)
{
  cs_traffic_t *t = inbound->traffic;
  uint64_t number = cs_take_unsigned (in);
  job_t *job = g_hash_table_lookup (inbound->jobs, &number);
  if (in->bad || !job)
    return;
  g_hash_table_remove (inbound->jobs, &number);
  job->inbound = NULL;
  if (!job->idempotent && !cs_task_is_waiting (job->run))
    return; /* It runs to its end.  */
  cs_runner_cancel (t->runner, job->run);
  t->jobs--;
  if (job->id)
    g_hash_table_remove (t->inbound_by_id, job->id);
  free_job (job);
}

static void
keep_barred (job_t *job)
{
  job->barred = true;
  job->ended = traffic_now (job->traffic);
  g_queue_push_tail (&job->traffic->inbound_kept, job);
}

/* Promise that ID, which has not begun here, never will.  */
static void
bar_id (cs_traffic_t *t, const char *id)
{
  job_t *job = g_new0 (job_t, 1);
  job->traffic = t;
  job->id = g_strdup (id);
  g_hash_table_insert (t->inbound_by_id, job->id, job);
  keep_barred (job);
}

static void
resend (inbound_t *inbound, uint64_t number, const job_t *job)
{
  cs_unpack_t unpack;
  cs_cursor_t in;
  cs_outcome_t outcome;
  uint64_t old;
  if (!job->result
      || cs_unpack_init (inbound->traffic->ctx, &unpack,
                         cs_str_of_gstring (job->result), &in)
             != CS_OK)
    {
      send_refusal (inbound, number, CS_OUTCOME_BROKEN);
      return;
    }
  cs_take_number (&in);
  cs_outcome_take (&in, &old, &outcome);
  send_outcome (inbound, number, &outcome);
  cs_unpack_clear (&unpack);
}

/* A caller's node lost the stream under a job that must run once: JOB goes on
   for its new stream, unless it still waits.  */
static void
take_ask (inbound_t *inbound, cs_cursor_t *in)
{
  cs_traffic_t *t = inbound->traffic;
  uint64_t number = cs_take_unsigned (in);
  char *id = cs_take_text (in);
  job_t *job = in->bad ? NULL : g_hash_table_lookup (t->inbound_by_id, id);
  if (in->bad)
    {
      g_free (id);
      return;
    }
  if (!job)
    {
      bar_id (t, id);
      send_refusal (inbound, number, CS_OUTCOME_REFUSED);
    }
  else if (job->barred)
    send_refusal (inbound, number, CS_OUTCOME_REFUSED);
  else if (!job->run)
    resend (inbound, number, job);
  else
    {
      if (job->inbound)
        g_hash_table_remove (job->inbound->jobs, &job->number);
      job->number = number;
      job->inbound = inbound;
      g_hash_table_insert (inbound->jobs, &job->number, job);
    }
  g_free (id);
}

static void
answer_hello (inbound_t *inbound, cs_cursor_t *in)
{
  cs_traffic_t *t = inbound->traffic;
  cs_member_t member;
  int64_t version = cs_take_number (in);
  cs_member_take (in, &member);
  if (in->bad || version != CS_FRAMES_VERSION)
    return;
  g_strlcpy (inbound->name, member.name, sizeof inbound->name);
  stream_send_hello (t, inbound->stream);
  peers_learn (t, &member);
}

static void
take_member (inbound_t *inbound, cs_cursor_t *in)
{
  cs_member_t member;
  cs_member_take (in, &member);
  if (!in->bad)
    peers_learn (inbound->traffic, &member);
}

static void
on_payload (void *user, cs_stream_t *stream, cs_str_t payload)
{
  inbound_t *inbound = user;
  cs_traffic_t *t = inbound->traffic;
  cs_unpack_t unpack;
  cs_cursor_t in;
  (void)stream;
  if (cs_unpack_init (t->ctx, &unpack, payload, &in) != CS_OK)
    {
      cs_count (CS_C_FRAMES_REFUSED, 1);
      return;
    }
  int64_t kind = cs_take_number (&in);
  switch (kind)
    {
    case CS_FRAME_HELLO:
      answer_hello (inbound, &in);
      break;
    case CS_FRAME_JOB:
      take_job (inbound, &in);
      break;
    case CS_FRAME_CANCEL:
      take_cancel (inbound, &in);
      break;
    case CS_FRAME_ASK:
      take_ask (inbound, &in);
      break;
    case CS_FRAME_PING:
      stream_send_bare (inbound->stream, CS_FRAME_PONG);
      break;
    case CS_FRAME_MEMBER:
      take_member (inbound, &in);
      break;
    default:
      if (kind >= CS_FRAME_CONTROL && inbound->name[0])
        t->handler.control (
            t->user, inbound->name,
            g_string_new_len (payload.data, (gssize)payload.len));
    }
  if (in.bad)
    {
      cs_count (CS_C_FRAMES_REFUSED, 1);
      cs_event (CS_E_PEER, "peer=%s frame=%" G_GINT64_FORMAT " refused",
                inbound->name, kind);
    }
  cs_unpack_clear (&unpack);
}

/* What becomes of JOB when its stream has ended.  */
static void
end_stranded (cs_traffic_t *t, job_t *job)
{
  if (!job->idempotent && !cs_task_is_waiting (job->run))
    return;
  cs_task_t *run = job->run;
  job->run = NULL;
  t->jobs--;
  if (job->id)
    keep_barred (job);
  else
    free_job (job);
  cs_runner_cancel (t->runner, run);
}

/* The jobs of a stream that has ended: what may be repeated is repeated by
   its caller's node, what must run once and has begun goes on, and what has
   not begun is kept as never to run, for the question.  */
static void
on_down (void *user, cs_stream_t *stream, const char *why)
{
  inbound_t *inbound = user;
  cs_traffic_t *t = inbound->traffic;
  GHashTableIter iter;
  gpointer value;
  GPtrArray *jobs = g_ptr_array_new ();
  (void)stream, (void)why;
  g_hash_table_iter_init (&iter, inbound->jobs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      ((job_t *)value)->inbound = NULL;
      g_ptr_array_add (jobs, value);
    }
  g_hash_table_unref (inbound->jobs);
  g_free (inbound);
  for (guint i = 0; i < jobs->len; i++)
    end_stranded (t, jobs->pdata[i]);
  g_ptr_array_unref (jobs);
}

static void *
on_taken (void *user, cs_stream_t *stream)
{
  inbound_t *inbound = g_new0 (inbound_t, 1);
  inbound->traffic = user;
  inbound->stream = stream;
  inbound->jobs = g_hash_table_new (g_int64_hash, g_int64_equal);
  return inbound;
}

cs_status_t
inbound_listen (cs_traffic_t *t, const char *address)
{
  static const cs_stream_handler_t handler
      = { .payload = on_payload, .down = on_down };
  return cs_stream_listen (t->ctx, &t->loop, address, PEER_SILENCE, &handler,
                           on_taken, t);
}

void
inbound_tick (cs_traffic_t *t, cs_usec_t now)
{
  job_t *job;
  for (GList *at = t->inbound_kept.head; at; at = at->next)
    {
      job = at->data;
      if (now - job->ended < ANSWER_KEPT)
        break;
      if (job->result)
        {
          g_string_free (job->result, TRUE);
          job->result = NULL;
        }
    }
  while ((job = g_queue_peek_head (&t->inbound_kept))
         && now - job->ended > FACT_KEPT)
    {
      g_queue_pop_head (&t->inbound_kept);
      g_hash_table_remove (t->inbound_by_id, job->id);
      free_job (job);
    }
}
