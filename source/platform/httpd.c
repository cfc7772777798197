#include <pthread.h>
#include <string.h>

#include "cardamom/httpd.h"
#include "cardamom/queue.h"
#include "cardamom/server.h"

#define THREAD_STACK_BYTES ((size_t)256 * 1024)
#define HEAD_MAX 32768 /* Bytes of a request's head.  */
#define HEAD_TIMEOUT (10 * CS_SEC)
/* A thread without work for so long ends: bursts come in seconds.  */
#define WORKER_IDLE (5 * CS_SEC)

struct cs_httpd
{
  cs_ctx_t *ctx; /* Of the loop's thread.  */
  uv_loop_t loop;
  cs_mailbox_t box;
  cs_server_t *server;
  cs_httpd_options_t options;
  cs_httpd_handler_t handler;
  void *user;
  pthread_t thread;
  cs_queue_t jobs; /* job_t *; QUIT ends a thread.  */
  /* Of the loop's thread.  */
  GArray *workers; /* pthread_t.  */
  guint busy;      /* Jobs that are queued or run.  */
  bool stopping;
};

/* One request on its way through a worker.  */
typedef struct
{
  cs_exchange_t *exchange; /* NULL once the caller has left; the loop's.  */
  char *method, *target, *host;
  GPtrArray *headers;
  GString *body;
  cs_httpd_answer_t answer;
} job_t;

static job_t quit;

void
cs_httpd_text (cs_httpd_answer_t *answer, int status, const char *type,
               const char *text)
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
  g_string_free (job->body, TRUE);
  if (job->answer.headers)
    g_ptr_array_unref (job->answer.headers);
  if (job->answer.body)
    g_string_free (job->answer.body, TRUE);
  g_free (job);
}

static void
send_answer (cs_exchange_t *exchange, const cs_httpd_answer_t *answer)
{
  GString *fields = g_string_new (NULL);
  for (guint i = 0; answer->headers && i < answer->headers->len; i++)
    {
      const cs_header_t *h = answer->headers->pdata[i];
      g_string_append_printf (fields, "%s: %s\r\n", h->name, h->value);
    }
  cs_exchange_answer (exchange, (unsigned)answer->status, fields->str,
                      answer->body ? cs_str_of_gstring (answer->body)
                                   : CS_STR (""),
                      answer->close);
  g_string_free (fields, TRUE);
}

/* In the loop's thread: JOB has its answer.  */
static void
end_job (void *user, void *arg)
{
  cs_httpd_t *httpd = user;
  job_t *job = arg;
  httpd->busy--;
  if (job->exchange && job->answer.abort)
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

/* In the loop's thread: the worker ARG has ended for want of work, which may
   have come since.  */
static void
join_worker (void *user, void *arg)
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
  if (httpd->busy > httpd->workers->len && !httpd->stopping)
    start_worker (httpd);
}

static void *
run_jobs (void *arg)
{
  cs_httpd_t *httpd = arg;
  const cs_ctx_t *ctx = httpd->ctx;
  job_t *job;
  while ((job = cs_queue_pop_until (&httpd->jobs, cs_now (ctx) + WORKER_IDLE))
         != &quit)
    {
      if (!job)
        {
          pthread_t *self = g_new (pthread_t, 1);
          *self = pthread_self ();
          cs_mailbox_post (&httpd->box, join_worker, httpd, self);
          return NULL;
        }
      cs_httpd_request_t request = { .method = job->method,
                                     .target = job->target,
                                     .host = job->host,
                                     .headers = job->headers,
                                     .body = cs_str_of_gstring (job->body) };
      job->answer.status = 500;
      httpd->handler (httpd->user, &request, &job->answer);
      cs_mailbox_post (&httpd->box, end_job, httpd, job);
    }
  return NULL;
}

static job_t *
new_job (cs_exchange_t *exchange)
{
  const cs_message_t *m = &exchange->request;
  cs_str_t host = cs_message_field (m, "host");
  job_t *job = g_new0 (job_t, 1);
  job->exchange = exchange;
  job->method
      = g_strdup (http_method_str ((enum http_method)m->parser.method));
  job->target = cs_str_dup (m->target);
  job->host = cs_str_dup (host);
  job->host[strcspn (job->host, ":")] = '\0';
  job->headers = cs_headers_of (m);
  job->body = g_string_new_len (m->body->str, (gssize)m->body->len);
  return job;
}

/* A request that does not run yet is run only in its turn: one before it on
   the connection may close that.  */
static void
queue_job (cs_httpd_t *httpd, cs_exchange_t *exchange)
{
  job_t *job = new_job (exchange);
  exchange->user = job;
  httpd->busy++;
  if (httpd->busy > httpd->workers->len
      && httpd->workers->len < httpd->options.connections_max)
    start_worker (httpd);
  cs_queue_push (&httpd->jobs, job);
}

static void
on_request (void *user, cs_exchange_t *exchange)
{
  if (cs_exchange_is_behind (exchange))
    exchange->wants_turn = true;
  else
    queue_job (user, exchange);
}

static void
on_turn (void *user, cs_exchange_t *exchange)
{
  queue_job (user, exchange);
}

static void
on_left (void *user, cs_exchange_t *exchange)
{
  job_t *job = exchange->user;
  (void)user;
  if (job)
    job->exchange = NULL;
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
  static const cs_server_handler_t server_handler
      = { .request = on_request,
          .left = on_left,
          .turn = on_turn,
          .refusal_fields = "Content-Type: text/plain\r\n"
                            "Cardamom-Outcome: not-run\r\n" };
  cs_server_limits_t limits = { .head_max = HEAD_MAX,
                                .body_max = options->body_max,
                                .connections_max = options->connections_max,
                                .head_timeout = HEAD_TIMEOUT,
                                .idle_timeout = options->idle_s * CS_SEC };
  cs_httpd_t *made = g_new0 (cs_httpd_t, 1);
  char *address = g_strdup_printf ("%s:%u", options->host, options->port);
  made->ctx = cs_ctx_clone (ctx);
  made->options = *options;
  made->handler = handler;
  made->user = user;
  uv_loop_init (&made->loop);
  cs_status_t status = cs_server_new (made->ctx, &made->loop, address,
                                      &server_handler, made, &made->server);
  g_free (address);
  if (status != CS_OK)
    {
      cs_fail (ctx, status, "%s", cs_message (made->ctx));
      uv_run (&made->loop, UV_RUN_DEFAULT);
      uv_loop_close (&made->loop);
      cs_ctx_drop (made->ctx);
      g_free (made);
      return status;
    }
  cs_server_limit (made->server, &limits);
  cs_mailbox_init (&made->box, &made->loop);
  cs_queue_init (&made->jobs);
  made->workers = g_array_new (FALSE, FALSE, sizeof (pthread_t));
  pthread_create (&made->thread, NULL, run_loop, made);
  *httpd = made;
  return CS_OK;
}

static void
stop_listening (void *user, void *arg)
{
  cs_httpd_t *httpd = user;
  (void)arg;
  cs_server_stop (httpd->server);
}

void
cs_httpd_quiesce (cs_httpd_t *httpd)
{
  cs_mailbox_post (&httpd->box, stop_listening, httpd, NULL);
}

static void
close_all (void *user, void *arg)
{
  cs_httpd_t *httpd = user;
  (void)arg;
  cs_server_close (httpd->server);
  cs_mailbox_close (&httpd->box);
}

/* No request is read meanwhile.  */
static void
end_workers (void *user, void *arg)
{
  cs_httpd_t *httpd = user;
  (void)arg;
  for (guint i = 0; i < httpd->workers->len; i++)
    cs_queue_push (&httpd->jobs, &quit);
  for (guint i = 0; i < httpd->workers->len; i++)
    pthread_join (g_array_index (httpd->workers, pthread_t, i), NULL);
  g_array_set_size (httpd->workers, 0);
  httpd->stopping = true;
  /* Behind the last answers.  */
  cs_mailbox_post (&httpd->box, close_all, httpd, NULL);
}

void
cs_httpd_stop (cs_httpd_t *httpd)
{
  if (!httpd)
    return;
  cs_mailbox_post (&httpd->box, end_workers, httpd, NULL);
  pthread_join (httpd->thread, NULL);
  uv_loop_close (&httpd->loop);
  cs_queue_clear (&httpd->jobs);
  g_array_unref (httpd->workers);
  cs_ctx_drop (httpd->ctx);
  g_free (httpd);
}
