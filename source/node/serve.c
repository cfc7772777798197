/* The local upstream: announcements, admission, and one thread per running
   request that talks to the upstream by HTTP.  */
#include <arpa/inet.h>
#include <errno.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "node.h"
#include "strikes.h"

#define CONNECTIONS_MAX 100 /* Of one upstream, by the brief.  */
/* Looks at the port of an upstream whose connection broke: 50 ms in all, far
   above what a busy host takes to close it.  */
#define GONE_LOOKS 5
#define GONE_PAUSE (10 * CS_MSEC)
#define RUN_MAX (60 * CS_SEC) /* Longest run of a request.  */

typedef struct
{
  cs_admission_request_t ticket; /* First, so that tickets are jobs.  */
  request_t *request;
  char *origin; /* NULL: this node.  */
  uint64_t id;
} job_t;

/* One life of the upstream: made by its announcement, replaced when its
   address or version changes, kept by the jobs that run on it.  */
typedef struct
{
  announcement_t about;
  _Atomic int refs;
} upstream_life_t;

struct serve
{
  node_t *node;
  pthread_mutex_t lock;
  cs_admission_t *admission; /* NULL before the first announcement.  */
  upstream_life_t *life;     /* NULL while none is announced.  */
  cs_usec_t heard_at;
  int64_t slots;  /* That the limiter was made for.  */
  cs_queue_t run; /* job_t * to run; QUIT_JOB ends a thread.  */
  GPtrArray *threads;
  guint idle_threads;
  int running;
  bool closed; /* No new work: this node leaves.  */
};

static job_t quit_job;

static void
life_drop (upstream_life_t *life)
{
  if (!life || atomic_fetch_sub (&life->refs, 1) != 1)
    return;
  g_free (life->about.service);
  g_free (life->about.version);
  g_free (life->about.instance);
  g_free (life);
}

static upstream_life_t *
life_new (const announcement_t *a)
{
  upstream_life_t *life = g_new0 (upstream_life_t, 1);
  life->about = *a;
  life->about.service = g_strdup (a->service);
  life->about.version = g_strdup (a->version);
  life->about.instance = g_strdup (a->instance);
  life->refs = 1;
  return life;
}

static void
job_free (job_t *job)
{
  request_free (job->request);
  g_free (job->ticket.team);
  g_free (job->origin);
  g_free (job);
}

/* Send RESULT, taken over, to whoever waits for JOB, and free JOB.  */
static void
finish_job (serve_t *s, job_t *job, result_t *result)
{
  if (job->origin)
    {
      cs_pack_t pack;
      cs_pack_init (&pack);
      calls_pack_result (&pack, job->id, result);
      peers_reply (s->node->peers, job->origin, cs_pack_payload (&pack));
      cs_pack_clear (&pack);
      result_free (result);
    }
  else
    calls_complete (s->node->calls, job->id, result);
  job_free (job);
}

static void
shed_job (serve_t *s, job_t *job, cs_usec_t retry_after)
{
  result_t *result
      = result_new (CS_RUN_NOT_STARTED, "the upstream has no room before the "
                                        "deadline");
  cs_counter_add (CS_C_SHED, 1);
  result->shed = true;
  result->retry_after_ms = retry_after / CS_MSEC;
  finish_job (s, job, result);
}

static void
refuse_job (serve_t *s, job_t *job, const char *why)
{
  finish_job (s, job, result_new (CS_RUN_NOT_STARTED, why));
}

static void
show_gauges (serve_t *s)
{
  cs_gauge_set (CS_C_G_INFLIGHT, cs_admission_running (s->admission));
  cs_gauge_set (CS_C_G_QUEUED, cs_admission_queued (s->admission));
  cs_gauge_set (CS_C_G_LIMIT, (uint64_t)cs_admission_limit (s->admission));
}

static int64_t
load_now (serve_t *s)
{
  return (int64_t)cs_admission_running (s->admission)
         + (int64_t)cs_admission_queued (s->admission);
}

static void *run_jobs (void *arg);
static void publish (serve_t *s, const upstream_life_t *life, cs_ctx_t *ctx,
                     bool urgent);

/* Hand JOB to a thread; the lock is held.  */
static void
start_job (serve_t *s, job_t *job)
{
  s->running++;
  if (s->idle_threads == 0 && s->threads->len < CONNECTIONS_MAX)
    g_ptr_array_add (s->threads,
                     (gpointer)(uintptr_t)node_thread (run_jobs, s));
  else if (s->idle_threads)
    s->idle_threads--;
  cs_queue_push (&s->run, job);
}

static bool
matches (const upstream_life_t *life, const request_t *request)
{
  return life && strcmp (life->about.service, request->service) == 0
         && strcmp (life->about.version, request->version) == 0;
}

void
serve_submit (serve_t *s, request_t *request, const char *origin, uint64_t id)
{
  cs_ctx_t *ctx = node_thread_ctx (s->node);
  cs_usec_t now = cs_now (ctx);
  cs_admission_request_t *shed = NULL;
  job_t *job = g_new0 (job_t, 1);
  job->request = request;
  job->origin = g_strdup (origin);
  job->id = id;
  job->ticket
      = (cs_admission_request_t){ .team = g_strdup (request->team),
                                  .weight = request->weight,
                                  .priority = request->priority,
                                  .deadline = now + request->budget_us };
  pthread_mutex_lock (&s->lock);
  if (s->closed || !matches (s->life, request) || s->life->about.draining)
    {
      pthread_mutex_unlock (&s->lock);
      refuse_job (s, job, "the upstream takes no new work");
      return;
    }
  cs_admission_decision_t admit
      = cs_admission_offer (s->admission, &job->ticket, now, &shed);
  if (admit == CS_ADMIT_RUN)
    start_job (s, job);
  cs_usec_t retry_after = cs_admission_retry_after (s->admission);
  show_gauges (s);
  pthread_mutex_unlock (&s->lock);
  if (shed)
    shed_job (s, (job_t *)shed, retry_after);
}

static bool
is_job_of (const cs_admission_request_t *ticket, const void *arg)
{
  const job_t *job = (const job_t *)ticket, *sought = arg;
  return job->id == sought->id && g_strcmp0 (job->origin, sought->origin) == 0;
}

void
serve_cancel (serve_t *s, const char *origin, uint64_t id)
{
  /* A waiting ticket is found by its job; a running one is left to end: HTTP
     gives no way to call it back that tells whether it ran.  */
  pthread_mutex_lock (&s->lock);
  job_t sought = { .origin = (char *)origin, .id = id };
  cs_admission_request_t *ticket
      = s->admission ? cs_admission_find (s->admission, is_job_of, &sought)
                     : NULL;
  if (ticket)
    ticket->cancelled = true;
  pthread_mutex_unlock (&s->lock);
}

/* Running one request.  */

static const char *const hop_headers[] = { "Connection",
                                           "Keep-Alive",
                                           "Transfer-Encoding",
                                           "Content-Length",
                                           "Host",
                                           "Proxy-Connection",
                                           "TE",
                                           "Trailer",
                                           "Upgrade",
                                           "Cardamom-Depth",
                                           "Cardamom-Deadline-Ms" };

static bool
is_hop_header (const char *name)
{
  for (size_t i = 0; i < G_N_ELEMENTS (hop_headers); i++)
    if (g_ascii_strcasecmp (name, hop_headers[i]) == 0)
      return true;
  return false;
}

static GPtrArray *
without_hop_headers (const GPtrArray *headers)
{
  GPtrArray *kept = cs_headers_new ();
  for (guint i = 0; headers && i < headers->len; i++)
    {
      const cs_header_t *h = headers->pdata[i];
      if (!is_hop_header (h->name))
        cs_headers_add (kept, h->name, h->value);
    }
  return kept;
}

static void
add_number_header (GPtrArray *headers, const char *name, int64_t value)
{
  char text[32];
  snprintf (text, sizeof text, "%lld", (long long)value);
  cs_headers_add (headers, name, text);
}

/* Whether nothing listens on the upstream's port now.  */
static bool
refuses (const char *host, unsigned port)
{
  struct sockaddr_in sa
      = { .sin_family = AF_INET, .sin_port = htons ((uint16_t)port) };
  inet_pton (AF_INET, host, &sa.sin_addr);
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (fd < 0)
    return false;
  bool refused = connect (fd, (struct sockaddr *)&sa, sizeof sa) < 0
                 && errno == ECONNREFUSED;
  close (fd);
  return refused;
}

/* Whether nothing listens on the upstream's port any more.  The kernel closes
   what a process leaves in no promised order: its connections may end some
   time before its port does.  */
static bool
is_gone (const char *host, unsigned port)
{
  for (int look = 0; look < GONE_LOOKS; look++)
    {
      if (refuses (host, port))
        return true;
      g_usleep (GONE_PAUSE);
    }
  return false;
}

static result_t *
result_of_failure (serve_t *s, cs_ctx_t *ctx, cs_status_t status,
                   unsigned port, uint64_t print)
{
  if (status == CS_UNAVAILABLE)
    return result_new (CS_RUN_NOT_STARTED, cs_error_message (ctx));
  if (status == CS_UNKNOWN && is_gone (s->node->settings.host, port))
    {
      strikes_note (s->node, print, s->node->settings.node);
      return result_new (CS_RUN_CRASHED, "the upstream died while running it");
    }
  return result_new (CS_RUN_UNKNOWN, cs_error_message (ctx));
}

static result_t *
run_request (serve_t *s, cs_ctx_t *ctx, cs_http_client_t *http,
             const job_t *job, unsigned port)
{
  const request_t *r = job->request;
  GPtrArray *headers = without_hop_headers (r->headers);
  add_number_header (headers, "Cardamom-Depth", r->depth + 1);
  add_number_header (headers, "Cardamom-Deadline-Ms",
                     (job->ticket.deadline - cs_now (ctx)) / CS_MSEC);
  cs_http_request_t request
      = { .method = r->method,
          .path = r->path,
          .headers = headers,
          .body = cs_str_of_gstring (r->body),
          .answer_max = (size_t)s->node->settings.body_max,
          .reuse_connection = r->idempotent };
  cs_http_answer_t answer;
  cs_status_t status = cs_http_client_call (ctx, http, &request, &answer);
  g_ptr_array_unref (headers);
  if (status != CS_OK)
    return result_of_failure (s, ctx, status, port, r->print);
  result_t *result = result_new (CS_RUN_FAILED, NULL);
  result->status = answer.status;
  result->headers = without_hop_headers (answer.headers);
  result->body = answer.body;
  answer.body = NULL;
  cs_http_answer_clear (&answer);
  return result;
}

/* After a request has ended: count it, start those that waited, answer.  */
static void
end_job (serve_t *s, cs_ctx_t *ctx, job_t *job, result_t *result,
         cs_usec_t took)
{
  bool failed = result->status == 0 || result->status >= 500;
  GPtrArray *shed = g_ptr_array_new ();
  job_t *next;
  cs_counter_add (CS_C_SERVED, 1);
  cs_counter_add (CS_C_SERVED_ERRORS, failed);
  pthread_mutex_lock (&s->lock);
  s->running--;
  s->idle_threads++;
  cs_admission_done (s->admission, took, failed);
  while (
      (next = (job_t *)cs_admission_next (s->admission, cs_now (ctx), shed)))
    start_job (s, next);
  result->load = load_now (s);
  cs_usec_t retry_after = cs_admission_retry_after (s->admission);
  show_gauges (s);
  pthread_mutex_unlock (&s->lock);
  finish_job (s, job, result);
  for (guint i = 0; i < shed->len; i++)
    shed_job (s, shed->pdata[i], retry_after);
  g_ptr_array_unref (shed);
}

static upstream_life_t *
keep_life (serve_t *s)
{
  pthread_mutex_lock (&s->lock);
  upstream_life_t *life = s->life;
  if (life)
    atomic_fetch_add (&life->refs, 1);
  pthread_mutex_unlock (&s->lock);
  return life;
}

/* A thread's connection to one life of the upstream.  */
typedef struct
{
  cs_http_client_t *http;
  upstream_life_t *life;
} link_t;

/* Take LIFE over and connect to it anew unless it is the one before.  */
static void
use_life (serve_t *s, cs_ctx_t *ctx, link_t *link, upstream_life_t *life)
{
  if (link->life != life)
    {
      cs_http_client_drop (ctx, link->http);
      link->http = cs_http_client_new (ctx, s->node->settings.host,
                                       life->about.port, RUN_MAX);
    }
  life_drop (link->life);
  link->life = life;
}

/* The upstream of LIFE does not listen any more: say so at once instead of
   waiting for its announcements to stop.  */
static void
retire_life (serve_t *s, cs_ctx_t *ctx, upstream_life_t *life)
{
  pthread_mutex_lock (&s->lock);
  bool current = s->life == life;
  if (current)
    {
      s->life = NULL;
      publish (s, NULL, ctx, true);
    }
  pthread_mutex_unlock (&s->lock);
  if (!current)
    return;
  cs_log (CS_LOG_WARNING, "upstream-lost", "service=%s version=%s port=%u",
          life->about.service, life->about.version, life->about.port);
  life_drop (life);
}

static void *
run_jobs (void *arg)
{
  serve_t *s = arg;
  cs_ctx_t *ctx = node_thread_ctx (s->node);
  link_t link = { 0 };
  job_t *job;
  while ((job = cs_queue_pop (&s->run)) != &quit_job)
    {
      upstream_life_t *life = keep_life (s);
      cs_usec_t started = cs_now (ctx);
      result_t *result;
      if (!matches (life, job->request))
        {
          life_drop (life);
          result = result_new (CS_RUN_NOT_STARTED, "the upstream has gone");
        }
      else
        {
          use_life (s, ctx, &link, life);
          result = run_request (s, ctx, link.http, job, life->about.port);
          if (!result->status && result->run != CS_RUN_UNKNOWN)
            retire_life (s, ctx, life);
        }
      end_job (s, ctx, job, result, cs_now (ctx) - started);
    }
  cs_http_client_drop (ctx, link.http);
  life_drop (link.life);
  return NULL;
}

/* Announcements.  */

typedef struct
{
  cs_endpoint_t endpoint;
  bool urgent;
} publish_t;

static void
publish_endpoint (control_t *control, void *arg)
{
  publish_t *p = arg;
  cs_members_set_endpoint (control_ctx (control), control_members (control),
                           &p->endpoint, p->urgent);
}

static void
publish_free (gpointer data)
{
  publish_t *p = data;
  g_free (p->endpoint.service);
  g_free (p->endpoint.version);
  g_free (p);
}

static void
publish (serve_t *s, const upstream_life_t *life, cs_ctx_t *ctx, bool urgent)
{
  publish_t *p = g_new0 (publish_t, 1);
  p->urgent = urgent;
  p->endpoint = (cs_endpoint_t){
    .service = g_strdup (life ? life->about.service : ""),
    .version = g_strdup (life ? life->about.version : ""),
    .slots = life ? life->about.slots : 0,
    .draining = life && life->about.draining,
    .announced_ms = cs_now_wall (ctx) / CS_MSEC,
  };
  control_post (s->node->control, publish_endpoint, p, publish_free);
}

static bool
same_life (const announcement_t *a, const announcement_t *b)
{
  return strcmp (a->service, b->service) == 0
         && strcmp (a->version, b->version) == 0
         && strcmp (a->instance, b->instance) == 0 && a->port == b->port
         && a->slots == b->slots && a->draining == b->draining;
}

/* The lock is held; jobs that wait stay in the admission.  */
static void
adapt_admission (serve_t *s, cs_ctx_t *ctx, int64_t slots)
{
  cs_limiter_t *limiter;
  if (s->admission && s->slots == slots)
    return;
  s->slots = slots;
  cs_limiter_new (ctx, s->node->settings.limiter, slots, &limiter);
  if (s->admission)
    cs_admission_set_limiter (ctx, s->admission, limiter);
  else
    s->admission
        = cs_admission_new (ctx, limiter, (guint)s->node->settings.queue_max);
}

void
serve_announce (serve_t *s, const announcement_t *a)
{
  cs_ctx_t *ctx = node_thread_ctx (s->node);
  pthread_mutex_lock (&s->lock);
  s->heard_at = cs_now (ctx);
  upstream_life_t *old = s->life;
  bool changed
      = a->leaving ? old != NULL : !old || !same_life (&old->about, a);
  if (changed)
    {
      s->life = a->leaving ? NULL : life_new (a);
      if (s->life)
        adapt_admission (s, ctx, a->slots);
      publish (s, s->life, ctx, a->leaving || a->draining);
    }
  pthread_mutex_unlock (&s->lock);
  if (!changed)
    return;
  cs_log (CS_LOG_NOTICE, a->leaving ? "upstream-left" : "upstream-announced",
          "service=%s version=%s port=%u slots=%lld draining=%d", a->service,
          a->version, a->port, (long long)a->slots, a->draining);
  life_drop (old);
}

void
serve_expire (serve_t *s, cs_usec_t now)
{
  cs_ctx_t *ctx = node_thread_ctx (s->node);
  pthread_mutex_lock (&s->lock);
  upstream_life_t *gone = NULL;
  if (s->life && now - s->heard_at > s->life->about.ttl_ms * CS_MSEC)
    {
      gone = s->life;
      s->life = NULL;
      publish (s, NULL, ctx, true);
    }
  pthread_mutex_unlock (&s->lock);
  if (!gone)
    return;
  cs_log (CS_LOG_WARNING, "upstream-lost", "service=%s version=%s port=%u",
          gone->about.service, gone->about.version, gone->about.port);
  life_drop (gone);
}

bool
serve_idle (serve_t *s)
{
  pthread_mutex_lock (&s->lock);
  bool idle = s->running == 0
              && (!s->admission || cs_admission_queued (s->admission) == 0);
  pthread_mutex_unlock (&s->lock);
  return idle;
}

void
serve_close (serve_t *s)
{
  pthread_mutex_lock (&s->lock);
  s->closed = true;
  pthread_mutex_unlock (&s->lock);
}

serve_t *
serve_start (node_t *node)
{
  serve_t *s = g_new0 (serve_t, 1);
  s->node = node;
  pthread_mutex_init (&s->lock, NULL);
  cs_queue_init (&s->run);
  s->threads = g_ptr_array_new ();
  return s;
}

void
serve_stop (serve_t *s)
{
  for (guint i = 0; i < s->threads->len; i++)
    cs_queue_push (&s->run, &quit_job);
  for (guint i = 0; i < s->threads->len; i++)
    pthread_join ((pthread_t)(uintptr_t)s->threads->pdata[i], NULL);
  cs_admission_drop (s->node->ctx, s->admission);
  life_drop (s->life);
  cs_queue_clear (&s->run);
  g_ptr_array_unref (s->threads);
  pthread_mutex_destroy (&s->lock);
  g_free (s);
}
