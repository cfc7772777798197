#include <pthread.h>
#include <string.h>

#include "cardamom/httpd.h"
#include "cardamom/queue.h"
#include "cardamom/server.h"

#define THREAD_STACK_BYTES ((size_t)256 * 1024)
#define HEAD_MAX_BYTES 32768 /* Request line and headers.  */
#define HEAD_TIMEOUT (10 * CS_SEC)
/* A worker without work for this long exits; bursts of requests last
   seconds.  */
#define WORKER_IDLE_TIMEOUT (5 * CS_SEC)
#define ROOM_INTERVAL_MS 25

struct cs_httpd
{
  cs_ctx_t *ctx; /* Of the loop thread; workers only read its clock.  */
  uv_loop_t loop;
  cs_mailbox_t mailbox;
  uv_timer_t room_timer; /* Runs with a budget.  */
  cs_http1_server_t *server;
  cs_httpd_options_t options;
  cs_httpd_handler_t handler;
  void *user;
  pthread_t loop_thread;
  cs_queue_t jobs; /* job_t *; quit_job makes a worker exit.  */
  /* Used by the loop thread only.  */
  GArray *workers;    /* pthread_t.  */
  guint pending_jobs; /* Jobs queued or running.  */
  bool stopping;
};

/* One request for a worker.  */
typedef struct
{
  cs_exchange_t *exchange; /* NULL once the caller has disconnected.
                              Used by the loop thread only.  */
  char *method, *target, *host;
  GPtrArray *headers;
  GBytes *body; /* NULL: empty.  */
  cs_httpd_answer_t answer;
} job_t;

static job_t quit_job;

void
cs_httpd_answer_set_text (cs_httpd_answer_t *answer, int status,
                          const char *type, const char *text)
{
  answer->status = status;
  answer->body = g_string_new (text);
  if (!answer->headers)
    answer->headers = cs_headers_new ();
  cs_headers_add (answer->headers, "Content-Type", type);
}

static void
free_job (job_t *job)
{
  g_free (job->method);
  g_free (job->target);
  g_free (job->host);
  g_ptr_array_unref (job->headers);
  if (job->body)
    g_bytes_unref (job->body);
  if (job->answer.headers)
    g_ptr_array_unref (job->answer.headers);
  if (job->answer.body)
    g_string_free (job->answer.body, TRUE);
  cs_claim_release (&job->answer.claim);
  g_free (job);
}

static void
send_answer (cs_exchange_t *exchange, cs_httpd_answer_t *answer)
{
  GString *fields = g_string_new (NULL);
  for (guint i = 0; answer->headers && i < answer->headers->len; i++)
    {
      const cs_header_t *header = answer->headers->pdata[i];
      g_string_append_printf (fields, "%s: %s\r\n", header->name,
                              header->value);
    }
  GBytes *body
      = answer->body ? cs_claim_share (&answer->claim, answer->body) : NULL;
  answer->body = NULL;
  cs_exchange_answer_bytes (exchange, (unsigned)answer->status, fields->str,
                            body, answer->close_connection);
  if (body)
    g_bytes_unref (body);
  g_string_free (fields, TRUE);
}

/* Runs on the loop thread when a worker has answered the job ARG.  */
static void
finish_job (void *user, void *arg)
{
  cs_httpd_t *httpd = user;
  job_t *job = arg;
  httpd->pending_jobs--;
  if (job->exchange && job->answer.abort_connection)
    cs_exchange_abort (job->exchange);
  else if (job->exchange)
    send_answer (job->exchange, &job->answer);
  free_job (job);
}

static void *run_jobs (void *arg);

static void
start_worker (cs_httpd_t *httpd)
{
  pthread_attr_t attr;
  pthread_t thread;
  pthread_attr_init (&attr);
  pthread_attr_setstacksize (&attr, THREAD_STACK_BYTES);
  if (pthread_create (&thread, &attr, run_jobs, httpd) == 0)
    g_array_append_val (httpd->workers, thread);
  else if (!httpd->workers->len)
    abort ();
  pthread_attr_destroy (&attr);
}

/* Runs on the loop thread after the worker ARG has exited because it was idle.
   Starts a new one if jobs were queued meanwhile.  */
static void
reap_worker (void *user, void *arg)
{
  cs_httpd_t *httpd = user;
  pthread_t *thread = arg;
  for (guint i = 0; i < httpd->workers->len; i++)
    if (pthread_equal (g_array_index (httpd->workers, pthread_t, i), *thread))
      {
        g_array_remove_index_fast (httpd->workers, i);
        pthread_join (*thread, NULL);
        break;
      }
  g_free (thread);
  if (httpd->pending_jobs > httpd->workers->len && !httpd->stopping)
    start_worker (httpd);
}

static void *
run_jobs (void *arg)
{
  cs_httpd_t *httpd = arg;
  const cs_ctx_t *ctx = httpd->ctx;
  job_t *job;
  while ((job = cs_queue_pop_until (&httpd->jobs,
                                    cs_now (ctx) + WORKER_IDLE_TIMEOUT))
         != &quit_job)
    {
      if (!job)
        {
          pthread_t *self = g_new (pthread_t, 1);
          *self = pthread_self ();
          cs_mailbox_post (&httpd->mailbox, reap_worker, httpd, self);
          return NULL;
        }
      cs_httpd_request_t request = { .method = job->method,
                                     .request_target = job->target,
                                     .host = job->host,
                                     .headers = job->headers,
                                     .body = cs_str_of_bytes (job->body),
                                     .body_bytes = job->body };
      job->answer.status = 500;
      httpd->handler (httpd->user, &request, &job->answer);
      cs_mailbox_post (&httpd->mailbox, finish_job, httpd, job);
    }
  return NULL;
}

static job_t *
new_job (cs_exchange_t *exchange)
{
  const cs_http1_message_t *message = &exchange->request;
  cs_str_t host = cs_http1_message_field (message, "host");
  job_t *job = g_new0 (job_t, 1);
  job->exchange = exchange;
  job->method
      = g_strdup (http_method_str ((enum http_method)message->parser.method));
  job->target = cs_str_dup (message->request_target);
  job->host = cs_str_dup (host);
  job->host[strcspn (job->host, ":")] = '\0';
  job->headers = cs_headers_from_message (message);
  job->body = cs_exchange_take_body (exchange);
  return job;
}

static void
queue_job (cs_httpd_t *httpd, cs_exchange_t *exchange)
{
  job_t *job = new_job (exchange);
  exchange->user = job;
  httpd->pending_jobs++;
  if (httpd->pending_jobs > httpd->workers->len
      && httpd->workers->len < httpd->options.connections_max)
    start_worker (httpd);
  cs_queue_push (&httpd->jobs, job);
}

/* A pipelined request waits until all requests before it have been answered,
   because one of those answers may close the connection.  */
static void
on_request (void *user, cs_exchange_t *exchange)
{
  if (cs_exchange_has_earlier_pending (exchange))
    exchange->notify_at_front = true;
  else
    queue_job (user, exchange);
}

static void
on_at_front (void *user, cs_exchange_t *exchange)
{
  queue_job (user, exchange);
}

static void
on_caller_disconnected (void *user, cs_exchange_t *exchange)
{
  job_t *job = exchange->user;
  (void)user;
  if (job)
    job->exchange = NULL;
}

static bool
make_room (void *user)
{
  cs_httpd_t *httpd = user;
  return cs_http1_server_drop_stalled_body (httpd->server)
         || cs_http1_server_drop_unread_answer (httpd->server);
}

/* Make room for small answers, which are not asked for it, and for what waits
   in other threads.  */
static void
on_room_timer (uv_timer_t *timer)
{
  const cs_httpd_t *httpd = timer->data;
  cs_memory_budget_t *budget = httpd->options.budget;
  cs_memory_budget_make_room (budget, atomic_exchange (&budget->wanted, 0));
}

static void
start_room_timer (cs_httpd_t *httpd)
{
  cs_memory_budget_t *budget = httpd->options.budget;
  if (!budget)
    return;
  budget->make_room = make_room;
  budget->user = httpd;
  cs_http1_server_set_budget (httpd->server, budget);
  uv_timer_init (&httpd->loop, &httpd->room_timer);
  httpd->room_timer.data = httpd;
  uv_timer_start (&httpd->room_timer, on_room_timer, ROOM_INTERVAL_MS,
                  ROOM_INTERVAL_MS);
}

static void *
run_loop (void *arg)
{
  cs_httpd_t *httpd = arg;
  uv_run (&httpd->loop, UV_RUN_DEFAULT);
  return NULL;
}

cs_status_t
cs_httpd_start (cs_ctx_t *ctx, const cs_httpd_options_t *options,
                cs_httpd_handler_t handler, void *user, cs_httpd_t **httpd)
{
  static const cs_http1_server_handler_t server_handler
      = { .request_received = on_request,
          .caller_disconnected = on_caller_disconnected,
          .at_front = on_at_front,
          .refusal_fields = "Content-Type: text/plain\r\n"
                            "Cardamom-Outcome: not-run\r\n" };
  cs_http1_server_limits_t limits
      = { .head_max = HEAD_MAX_BYTES,
          .body_max = options->body_max,
          .connections_max = options->connections_max,
          .head_timeout = HEAD_TIMEOUT,
          .idle_timeout = options->idle_timeout_s * CS_SEC };
  cs_httpd_t *created = g_new0 (cs_httpd_t, 1);
  char *address = g_strdup_printf ("%s:%u", options->host, options->port);
  created->ctx = cs_ctx_clone (ctx);
  created->options = *options;
  created->handler = handler;
  created->user = user;
  uv_loop_init (&created->loop);
  cs_status_t status
      = cs_http1_server_new (created->ctx, &created->loop, address,
                             &server_handler, created, &created->server);
  g_free (address);
  if (status != CS_OK)
    {
      cs_fail (ctx, status, "%s", cs_error_message (created->ctx));
      uv_run (&created->loop, UV_RUN_DEFAULT);
      uv_loop_close (&created->loop);
      cs_ctx_drop (created->ctx);
      g_free (created);
      return status;
    }
  cs_http1_server_set_limits (created->server, &limits);
  start_room_timer (created);
  cs_mailbox_init (&created->mailbox, &created->loop);
  cs_queue_init (&created->jobs);
  created->workers = g_array_new (FALSE, FALSE, sizeof (pthread_t));
  pthread_create (&created->loop_thread, NULL, run_loop, created);
  *httpd = created;
  return CS_OK;
}

static void
stop_listening (void *user, void *arg)
{
  cs_httpd_t *httpd = user;
  (void)arg;
  cs_http1_server_stop_listening (httpd->server);
}

void
cs_httpd_stop_listening (cs_httpd_t *httpd)
{
  cs_mailbox_post (&httpd->mailbox, stop_listening, httpd, NULL);
}

static void
close_all (void *user, void *arg)
{
  cs_httpd_t *httpd = user;
  (void)arg;
  cs_http1_server_close (httpd->server);
  if (httpd->options.budget)
    uv_close ((uv_handle_t *)&httpd->room_timer, NULL);
  cs_mailbox_close (&httpd->mailbox);
}

/* Runs on the loop thread, so no request is read while it waits for the
   workers.  */
static void
stop_workers (void *user, void *arg)
{
  cs_httpd_t *httpd = user;
  (void)arg;
  for (guint i = 0; i < httpd->workers->len; i++)
    cs_queue_push (&httpd->jobs, &quit_job);
  for (guint i = 0; i < httpd->workers->len; i++)
    pthread_join (g_array_index (httpd->workers, pthread_t, i), NULL);
  g_array_set_size (httpd->workers, 0);
  httpd->stopping = true;
  /* Runs after the answers that the workers have posted.  */
  cs_mailbox_post (&httpd->mailbox, close_all, httpd, NULL);
}

void
cs_httpd_stop (cs_httpd_t *httpd)
{
  if (!httpd)
    return;
  cs_mailbox_post (&httpd->mailbox, stop_workers, httpd, NULL);
  pthread_join (httpd->loop_thread, NULL);
  uv_loop_close (&httpd->loop);
  cs_queue_clear (&httpd->jobs);
  g_array_unref (httpd->workers);
  cs_ctx_drop (httpd->ctx);
  g_free (httpd);
}
