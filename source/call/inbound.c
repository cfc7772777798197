/* Jobs that other nodes send for the backend server beside this node.  */
#include <string.h>

#include "answer-offers.h"
#include "workspaces.h"

/* How long the outcome of a job that is not idempotent is kept, for a node
   whose stream broke before the outcome was sent, and how long its attempt id
   is kept, to refuse a second run.  */
#define OUTCOME_RETENTION (6 * CS_SEC)
#define ATTEMPT_ID_RETENTION (60 * CS_SEC)
/* The delay of jobs with longer bodies says little about that of others.  */
#define TRANSIT_BODY_MAX 4096

/* A stream that another node opened.  */
typedef struct
{
  cs_traffic_t *traffic;
  cs_stream_t *stream;
  char name[CS_NAME_SIZE]; /* Empty until its hello.  */
  cs_transit_path_t path;  /* Of its jobs.  */
  GHashTable *jobs;        /* job number -> job_t *.  */
  answer_offers_t offers;
} inbound_t;

typedef struct
{
  cs_traffic_t *traffic;
  inbound_t *inbound; /* NULL after its stream has ended.  */
  uint64_t number;
  cs_dispatch_t *dispatch; /* NULL when it has ended.  */
  char *attempt_id;        /* Attempt id; NULL for an idempotent job.  */
  /* The outcome, kept for a query of the node that sent the job, if HAS_KEPT;
     KEPT_FIELDS and KEPT_BODY (NULL: empty) hold what it views.  */
  cs_outcome_t kept;
  GString *kept_fields;
  GBytes *kept_body;
  bool has_kept;
  cs_usec_t ended_at;
  bool idempotent;
  /* It has not run and never will; the node that sent it gets this as the
     answer to its query.  */
  bool never_run;
} job_t;

/* Keep the outcome of JOB no longer.  */
static void
drop_kept (job_t *job)
{
  if (job->kept_fields)
    g_string_free (job->kept_fields, TRUE);
  if (job->kept_body)
    g_bytes_unref (job->kept_body);
  job->kept_fields = NULL;
  job->kept_body = NULL;
  job->has_kept = false;
}

static void
free_job (job_t *job)
{
  drop_kept (job);
  g_free (job->attempt_id);
  g_free (job);
}

/* Send an outcome of KIND without an answer for the job NUMBER; REASON is that
   of a refusal.  */
static void
send_bodiless_outcome_for (inbound_t *inbound, uint64_t number,
                           cs_outcome_kind_t kind, cs_refusal_reason_t reason)
{
  cs_outcome_t outcome
      = { .kind = kind,
          .reason = reason,
          .load = cs_dispatcher_load (inbound->traffic->dispatcher) };
  answer_offers_send (&inbound->offers, number, &outcome);
}

/* The same, a refusal being for CS_REFUSED_EXPIRED.  */
static void
send_bodiless_outcome (inbound_t *inbound, uint64_t number,
                       cs_outcome_kind_t kind)
{
  send_bodiless_outcome_for (inbound, number, kind, CS_REFUSED_EXPIRED);
}

/* Keep the outcome of JOB, which is not idempotent, for a later query.  */
static void
retain_outcome (job_t *job, const cs_outcome_t *outcome)
{
  job->kept = *outcome;
  job->kept.crash_record = NULL;
  job->kept_fields
      = g_string_new_len (outcome->fields.data, (gssize)outcome->fields.len);
  job->kept.fields = cs_str_of_gstring (job->kept_fields);
  if (outcome->body_bytes)
    job->kept_body = g_bytes_ref (outcome->body_bytes);
  else if (outcome->body.len)
    job->kept_body = g_bytes_new (outcome->body.data, outcome->body.len);
  job->kept.body_bytes = job->kept_body;
  if (job->kept_body)
    job->kept.body.data = g_bytes_get_data (job->kept_body, NULL);
  job->has_kept = true;
  job->ended_at = traffic_now (job->traffic);
  g_queue_push_tail (&job->traffic->ended_non_idempotent_jobs, job);
}

static void
on_job_done (void *user, const cs_outcome_t *outcome)
{
  job_t *job = user;
  job->dispatch = NULL;
  job->traffic->inbound_job_count--;
  if (job->inbound)
    {
      g_hash_table_remove (job->inbound->jobs, &job->number);
      /* Before the outcome, so that a retry knows of it.  */
      if (outcome->crash_record)
        crash_record_send (job->inbound->stream, outcome->crash_record);
      answer_offers_send (&job->inbound->offers, job->number, outcome);
      job->inbound = NULL;
    }
  if (!job->attempt_id)
    free_job (job);
  else if (outcome->kind == CS_OUTCOME_REFUSED)
    {
      /* It has not run, so its id may be used again.  */
      g_hash_table_remove (job->traffic->non_idempotent_jobs, job->attempt_id);
      free_job (job);
    }
  else
    retain_outcome (job, outcome);
}

/* Answer the job NUMBER with CS_OUTCOME_UNKNOWN if the id of REQUEST is known:
   that attempt is queued, runs or has ended here, or is recorded as never to
   run.  Returns whether it was answered.  */
static bool
reject_duplicate (inbound_t *inbound, uint64_t number,
                  const cs_dispatch_request_t *request)
{
  char *id = cs_str_dup (request->id);
  const job_t *known
      = g_hash_table_lookup (inbound->traffic->non_idempotent_jobs, id);
  g_free (id);
  if (!known)
    return false;
  send_bodiless_outcome (inbound, number, CS_OUTCOME_UNKNOWN);
  return true;
}

/* Take the time that REQUEST was under way off what it has left, as far as it
   is known.  */
static void
age_request (inbound_t *inbound, cs_dispatch_request_t *request)
{
  cs_traffic_t *traffic = inbound->traffic;
  if (!request->sent_at)
    return;
  cs_usec_t delay = cs_transit_path_delay (&inbound->path, request->sent_at,
                                           traffic_now (traffic));
  /* A large request takes its time on an empty path too.  */
  if (request->body.len <= TRANSIT_BODY_MAX)
    cs_dispatcher_note_transit (traffic->dispatcher, delay);
  request->deadline_remaining -= delay;
  request->target_remaining -= delay;
}

static void
handle_job (inbound_t *inbound, cs_unpack_cursor_t *in)
{
  cs_traffic_t *traffic = inbound->traffic;
  uint64_t number;
  cs_dispatch_request_t request;
  cs_dispatch_request_unpack (in, &number, &request);
  if (in->failed
      || (!request.idempotent && reject_duplicate (inbound, number, &request)))
    return;
  if (!traffic_has_config (traffic))
    cs_dispatcher_set_warmup (traffic->dispatcher, request.warmup_per_s);
  age_request (inbound, &request);
  if (request.deadline_remaining <= 0)
    {
      send_bodiless_outcome (inbound, number, CS_OUTCOME_REFUSED);
      return;
    }
  if (!traffic_allows_route_here (traffic, request.route))
    {
      send_bodiless_outcome_for (inbound, number, CS_OUTCOME_REFUSED,
                                 CS_REFUSED_MISMATCH);
      return;
    }
  job_t *job = g_new0 (job_t, 1);
  job->traffic = traffic;
  job->inbound = inbound;
  job->number = number;
  job->idempotent = request.idempotent;
  if (!request.idempotent && request.id.len)
    {
      job->attempt_id = cs_str_dup (request.id);
      g_hash_table_insert (traffic->non_idempotent_jobs, job->attempt_id, job);
    }
  g_hash_table_insert (inbound->jobs, &job->number, job);
  traffic->inbound_job_count++;
  const peer_t *caller = g_hash_table_lookup (traffic->peers, inbound->name);
  traffic_attribute_retry (traffic, &request,
                           caller ? caller->info.service : "");
  GBytes *body = cs_stream_share (inbound->stream, request.body);
  request.body_bytes = body;
  cs_dispatch_t *dispatch
      = cs_dispatcher_submit (traffic->dispatcher, &request, on_job_done, job);
  if (body)
    g_bytes_unref (body);
  /* It is NULL when the job was refused; JOB may be freed then.  */
  if (dispatch)
    job->dispatch = dispatch;
}

/* An answer to CS_FRAME_BODY_ASK that is held until the body's turn.  */
typedef struct
{
  inbound_t *inbound;
  uint64_t number;
  cs_usec_t at;
} held_go_t;

void
inbound_send_due (cs_traffic_t *traffic, cs_usec_t now)
{
  held_go_t *first;
  while ((first = g_queue_peek_head (&traffic->held_gos)) && first->at <= now)
    {
      g_queue_pop_head (&traffic->held_gos);
      stream_send_number (first->inbound->stream, CS_FRAME_BODY_GO,
                          first->number);
      g_free (first);
    }
}

/* INBOUND has ended, or with a NUMBER other than 0 its job of that number.  */
static void
drop_held (const inbound_t *inbound, uint64_t number)
{
  GQueue *held = &inbound->traffic->held_gos;
  GList *next;
  for (GList *link = held->head; link; link = next)
    {
      const held_go_t *go = link->data;
      next = link->next;
      if (go->inbound != inbound || (number && go->number != number))
        continue;
      g_free (link->data);
      g_queue_delete_link (held, link);
    }
}

/* Answer a node that asks whether a large body may come: with a reservation of
   the link's time, or with the refusal of its job.  */
static void
handle_body_ask (inbound_t *inbound, cs_unpack_cursor_t *in)
{
  cs_traffic_t *traffic = inbound->traffic;
  uint64_t number;
  size_t bytes;
  cs_dispatch_request_t request;
  cs_link_request_t link = { 0 };
  cs_usec_t hold = 0;
  cs_body_ask_unpack (in, &number, &request, &bytes);
  if (in->failed)
    return;
  cs_usec_t now = traffic_now (traffic);
  cs_refusal_reason_t reason = cs_dispatcher_preview (
      traffic->dispatcher, &request, &link.server_wait, &link.run_time);
  link.bytes = bytes;
  link.target_remaining = request.target_remaining;
  link.latency_target = request.latency_target;
  link.deadline_remaining = request.deadline_remaining;
  if (!traffic_allows_route_here (traffic, request.route))
    reason = CS_REFUSED_MISMATCH;
  else if (reason == CS_REFUSED_COUNT
           && !cs_memory_budget_has_room (&traffic->budget, (int64_t)bytes,
                                          false))
    reason = CS_REFUSED_OVERLOADED;
  else if (reason == CS_REFUSED_COUNT
           && !cs_link_reserve (&traffic->link, &link, now, &hold))
    {
      cs_counter_add (CS_C_LINK_REFUSED, 1);
      reason = CS_REFUSED_OVERLOADED;
    }
  if (reason != CS_REFUSED_COUNT)
    {
      cs_outcome_t outcome
          = { .kind = CS_OUTCOME_REFUSED,
              .reason = reason,
              .expected_wait
              = MAX (cs_link_wait (&traffic->link, now), link.server_wait),
              .load = cs_dispatcher_load (traffic->dispatcher) };
      answer_offers_send (&inbound->offers, number, &outcome);
      return;
    }
  if (!hold)
    {
      stream_send_number (inbound->stream, CS_FRAME_BODY_GO, number);
      return;
    }
  /* Turns come in the order of the reservations.  */
  held_go_t *go = g_new (held_go_t, 1);
  *go = (held_go_t){ .inbound = inbound, .number = number, .at = now + hold };
  g_queue_push_tail (&traffic->held_gos, go);
}

static void
handle_cancel (inbound_t *inbound, cs_unpack_cursor_t *in)
{
  cs_traffic_t *traffic = inbound->traffic;
  uint64_t number = cs_unpack_uint64 (in);
  if (number)
    drop_held (inbound, number);
  answer_offers_cancel (&inbound->offers, number);
  job_t *job = g_hash_table_lookup (inbound->jobs, &number);
  if (in->failed || !job)
    return;
  g_hash_table_remove (inbound->jobs, &number);
  job->inbound = NULL;
  if (!job->idempotent && !cs_dispatch_is_queued (job->dispatch))
    return; /* It has started and runs to its end.  */
  cs_dispatcher_cancel (traffic->dispatcher, job->dispatch);
  traffic->inbound_job_count--;
  if (job->attempt_id)
    g_hash_table_remove (traffic->non_idempotent_jobs, job->attempt_id);
  free_job (job);
}

/* Keep JOB, which has an attempt id, as one that must never run; inbound_tick
   frees it after ATTEMPT_ID_RETENTION.  */
static void
retain_never_run (job_t *job)
{
  job->never_run = true;
  job->ended_at = traffic_now (job->traffic);
  g_queue_push_tail (&job->traffic->ended_non_idempotent_jobs, job);
}

/* Record that the job with the attempt id ID, which is not known here, must
   never run.  */
static void
record_never_run (cs_traffic_t *traffic, const char *id)
{
  job_t *job = g_new0 (job_t, 1);
  job->traffic = traffic;
  job->attempt_id = g_strdup (id);
  g_hash_table_insert (traffic->non_idempotent_jobs, job->attempt_id, job);
  retain_never_run (job);
}

static void
send_retained_outcome (inbound_t *inbound, uint64_t number, const job_t *job)
{
  if (job->has_kept)
    answer_offers_send (&inbound->offers, number, &job->kept);
  else
    send_bodiless_outcome (inbound, number, CS_OUTCOME_UNKNOWN);
}

bool
inbound_drop_kept_body (cs_traffic_t *traffic)
{
  for (GList *link = traffic->ended_non_idempotent_jobs.head; link;
       link = link->next)
    {
      job_t *job = link->data;
      if (job->kept_body
          && g_bytes_get_size (job->kept_body) > CS_SMALL_BODY_MAX)
        {
          drop_kept (job);
          return true;
        }
    }
  return false;
}

/* Answer a node that asks over a new stream for the outcome of a job that is
   not idempotent.  The outcome of a job that has ended is sent again.  A job
   that still runs is attached to the new stream, which gets its outcome later.
   An unknown job is recorded as never to run and answered as refused.  */
static void
handle_outcome_query (inbound_t *inbound, cs_unpack_cursor_t *in)
{
  cs_traffic_t *traffic = inbound->traffic;
  uint64_t number = cs_unpack_uint64 (in);
  char *id = cs_unpack_text (in);
  job_t *job = in->failed
                   ? NULL
                   : g_hash_table_lookup (traffic->non_idempotent_jobs, id);
  if (in->failed)
    {
      g_free (id);
      return;
    }
  if (!job)
    {
      record_never_run (traffic, id);
      send_bodiless_outcome (inbound, number, CS_OUTCOME_REFUSED);
    }
  else if (job->never_run)
    send_bodiless_outcome (inbound, number, CS_OUTCOME_REFUSED);
  else if (!job->dispatch)
    send_retained_outcome (inbound, number, job);
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
handle_hello (inbound_t *inbound, cs_unpack_cursor_t *in)
{
  cs_traffic_t *traffic = inbound->traffic;
  cs_node_info_t info;
  int64_t version = cs_unpack_int64 (in);
  cs_node_info_unpack (in, &info);
  if (in->failed || version != CS_FRAMES_VERSION)
    return;
  g_strlcpy (inbound->name, info.name, sizeof inbound->name);
  stream_send_hello (traffic, inbound->stream);
  peers_update_member (traffic, &info);
}

static void
handle_member (inbound_t *inbound, cs_unpack_cursor_t *in)
{
  cs_node_info_t info;
  cs_node_info_unpack (in, &info);
  if (!in->failed)
    peers_update_member (inbound->traffic, &info);
}

static void
handle_server_limit (cs_traffic_t *traffic, cs_unpack_cursor_t *in)
{
  char instance[CS_NAME_SIZE];
  cs_name_unpack (in, instance);
  cs_usec_t interval = cs_unpack_int64 (in);
  if (!in->failed && interval > 0)
    cs_dispatcher_restore_limit (traffic->dispatcher, instance, interval);
}

static void
on_payload (void *user, cs_stream_t *stream, cs_str_t payload)
{
  inbound_t *inbound = user;
  cs_traffic_t *traffic = inbound->traffic;
  cs_unpack_t unpack;
  cs_unpack_cursor_t in;
  (void)stream;
  if (cs_unpack_init (traffic->ctx, &unpack, payload, &in) != CS_OK)
    {
      cs_counter_add (CS_C_FRAMES_REFUSED, 1);
      return;
    }
  int64_t kind = cs_unpack_int64 (&in);
  switch (kind)
    {
    case CS_FRAME_HELLO:
      handle_hello (inbound, &in);
      break;
    case CS_FRAME_JOB:
      handle_job (inbound, &in);
      break;
    case CS_FRAME_CANCEL:
      handle_cancel (inbound, &in);
      break;
    case CS_FRAME_QUERY_OUTCOME:
      handle_outcome_query (inbound, &in);
      break;
    case CS_FRAME_PING:
      stream_send_kind (inbound->stream, CS_FRAME_PONG);
      break;
    case CS_FRAME_MEMBER:
      handle_member (inbound, &in);
      break;
    case CS_FRAME_SERVER_LIMIT:
      handle_server_limit (traffic, &in);
      break;
    case CS_FRAME_CRASH_RECORDS:
      crash_records_received (traffic, &in);
      break;
    case CS_FRAME_BODY_ASK:
      handle_body_ask (inbound, &in);
      break;
    case CS_FRAME_OFFERS_WANTED:
      inbound->offers.wanted = true;
      break;
    case CS_FRAME_ANSWER_GO:
      answer_offers_go (&inbound->offers, cs_unpack_uint64 (&in));
      break;
    case CS_FRAME_CAP_ASK:
      if (inbound->name[0])
        workspaces_handle_ask (traffic, inbound->name, inbound->stream, &in);
      break;
    default:
      if (kind >= CS_FRAME_CONTROL_FIRST && inbound->name[0])
        traffic->handler.control_received (
            traffic->user, inbound->name,
            g_string_new_len (payload.data, (gssize)payload.len));
    }
  if (in.failed)
    {
      cs_counter_add (CS_C_FRAMES_REFUSED, 1);
      cs_event_log (CS_E_PEER, "peer=%s frame=%" G_GINT64_FORMAT " refused",
                    inbound->name, kind);
    }
  cs_unpack_clear (&unpack);
}

/* Cancel JOB, whose stream has ended, unless it is not idempotent and has
   started.  A job with an attempt id is recorded as never to run.  */
static void
end_disconnected_job (cs_traffic_t *traffic, job_t *job)
{
  if (!job->idempotent && !cs_dispatch_is_queued (job->dispatch))
    return;
  cs_dispatch_t *dispatch = job->dispatch;
  job->dispatch = NULL;
  traffic->inbound_job_count--;
  if (job->attempt_id)
    retain_never_run (job);
  else
    free_job (job);
  cs_dispatcher_cancel (traffic->dispatcher, dispatch);
}

/* When a stream ends, its idempotent jobs are cancelled, because the caller's
   node retries them.  Others that have started run on; those still queued are
   dropped and recorded as never to run, for the node's query.  */
static void
on_stream_closed (void *user, cs_stream_t *stream, const char *why)
{
  inbound_t *inbound = user;
  cs_traffic_t *traffic = inbound->traffic;
  GHashTableIter iter;
  gpointer value;
  GPtrArray *jobs = g_ptr_array_new ();
  (void)stream, (void)why;
  drop_held (inbound, 0);
  answer_offers_clear (&inbound->offers);
  g_hash_table_iter_init (&iter, inbound->jobs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      ((job_t *)value)->inbound = NULL;
      g_ptr_array_add (jobs, value);
    }
  g_hash_table_unref (inbound->jobs);
  g_free (inbound);
  for (guint i = 0; i < jobs->len; i++)
    end_disconnected_job (traffic, jobs->pdata[i]);
  g_ptr_array_unref (jobs);
}

/* A large message is received if there is memory for it; a job that is not is
   refused, for it has not run and will not.  */
static bool
admit_payload (void *user, cs_stream_t *stream, size_t length,
               cs_str_t beginning)
{
  inbound_t *inbound = user;
  uint64_t number;
  (void)stream;
  cs_memory_budget_t *budget = &inbound->traffic->budget;
  /* The stream counts what it receives.  */
  if (!cs_frame_peek_job (beginning, &number))
    return true;
  if (cs_memory_budget_take (budget, (int64_t)length, false))
    {
      cs_memory_budget_release (budget, (int64_t)length);
      return true;
    }
  cs_counter_add (CS_C_NO_MEMORY, 1);
  send_bodiless_outcome_for (inbound, number, CS_OUTCOME_REFUSED,
                             CS_REFUSED_OVERLOADED);
  return false;
}

static void *
on_accepted (void *user, cs_stream_t *stream)
{
  inbound_t *inbound = g_new0 (inbound_t, 1);
  inbound->traffic = user;
  cs_stream_set_budget (stream, &inbound->traffic->budget);
  inbound->stream = stream;
  inbound->jobs = g_hash_table_new (g_int64_hash, g_int64_equal);
  answer_offers_init (&inbound->offers, user, stream);
  return inbound;
}

cs_status_t
inbound_listen (cs_traffic_t *traffic, const char *address)
{
  static const cs_stream_handler_t handler = { .received = on_payload,
                                               .closed = on_stream_closed,
                                               .admit = admit_payload };
  return cs_stream_listen (traffic->ctx, &traffic->loop, address,
                           PEER_ACK_TIMEOUT, &handler, on_accepted, traffic);
}

void
inbound_tick (cs_traffic_t *traffic, cs_usec_t now)
{
  job_t *job;
  for (GList *link = traffic->ended_non_idempotent_jobs.head; link;
       link = link->next)
    {
      job = link->data;
      if (now - job->ended_at < OUTCOME_RETENTION)
        break;
      drop_kept (job);
    }
  while ((job = g_queue_peek_head (&traffic->ended_non_idempotent_jobs))
         && now - job->ended_at > ATTEMPT_ID_RETENTION)
    {
      g_queue_pop_head (&traffic->ended_non_idempotent_jobs);
      g_hash_table_remove (traffic->non_idempotent_jobs, job->attempt_id);
      free_job (job);
    }
}
