/* The upstream on this node's host: its announcements, admission control, and
   one thread per running request, which sends it to the upstream over
   HTTP.  */
#include <arpa/inet.h>
#include <errno.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "crash-reports.h"
#include "node.h"
#include "offers.h"

/* Connections to one upstream, and the threads that hold one each; the limit
   is a requirement.  */
#define UPSTREAM_CONNECTIONS_MAX 100
/* Checks of the port of an upstream whose connection broke: 50 ms in all, far
   more than a busy host takes to close the port of a dead process.  */
#define PORT_CHECK_COUNT 5
#define PORT_CHECK_INTERVAL (10 * CS_MSEC)
#define RUN_TIMEOUT (60 * CS_SEC) /* Of one request at the upstream.  */

/* A request to run on the upstream.  */
typedef struct
{
  /* The first member, so that a pointer to it is one to the job.  */
  cs_admission_request_t admission_request;
  call_request_t *request;
  char *origin;     /* Node that waits for the result; NULL: this node.  */
  uint64_t call_id; /* Correlation id at that node.  */
} job_t;

/* The upstream as announced.  An announcement that differs in more than its
   TTL replaces it; otherwise the earlier TTL stays in force.  The threads that
   run jobs on it hold references.  */
typedef struct
{
  announcement_t announcement;
  _Atomic int refs;
} registration_t;

struct local_upstream
{
  node_t *node;
  pthread_mutex_t lock;
  cs_admission_t *admission;    /* NULL before the first announcement.  */
  registration_t *registration; /* NULL while none is announced.  */
  cs_usec_t announced_at;       /* Monotonic time of the last announcement.  */
  int64_t limiter_slots;        /* Slots that the limiter was created with.  */
  cs_queue_t run_queue; /* job_t *, admitted; QUIT_MARKER ends a thread.  */
  GPtrArray *threads;
  guint idle_threads;
  int running_jobs;
  bool closed; /* New requests are refused, because this node leaves.  */
};

static job_t quit_marker;

/* Release one reference to REGISTRATION, and free it with the last one; NULL
   is allowed.  */
static void
registration_drop (registration_t *registration)
{
  if (!registration || atomic_fetch_sub (&registration->refs, 1) != 1)
    return;
  g_free (registration->announcement.service);
  g_free (registration->announcement.version);
  g_free (registration->announcement.instance);
  g_free (registration);
}

static registration_t *
registration_new (const announcement_t *announcement)
{
  registration_t *registration = g_new0 (registration_t, 1);
  registration->announcement = *announcement;
  registration->announcement.service = g_strdup (announcement->service);
  registration->announcement.version = g_strdup (announcement->version);
  registration->announcement.instance = g_strdup (announcement->instance);
  registration->refs = 1;
  return registration;
}

static void
job_free (job_t *job)
{
  call_request_free (job->request);
  g_free (job->admission_request.team);
  g_free (job->origin);
  g_free (job);
}

/* Send RESULT, taken over, to the node that waits for it, and free JOB.  */
static void
finish_job (local_upstream_t *local_upstream, job_t *job,
            call_result_t *result)
{
  if (job->origin && job->request->takes_offers && result->body
      && result->body->len > CS_SMALL_BODY_MAX)
    offers_add (local_upstream->node->offers, job->origin, job->call_id,
                result, job->admission_request.deadline);
  else if (job->origin)
    {
      calls_send_result (local_upstream->node, job->origin, job->call_id,
                         result);
      call_result_free (result);
    }
  else
    calls_complete (local_upstream->node->calls, job->call_id, result);
  job_free (job);
}

static void
shed_job (local_upstream_t *local_upstream, job_t *job, cs_usec_t retry_after)
{
  call_result_t *result = call_result_new (
      CS_RUN_NOT_STARTED, "the upstream has no room before the deadline");
  cs_counter_add (CS_C_SHED, 1);
  result->shed = true;
  result->retry_after_ms = retry_after / CS_MSEC;
  finish_job (local_upstream, job, result);
}

static void
refuse_job (local_upstream_t *local_upstream, job_t *job,
            const char *error_text)
{
  finish_job (local_upstream, job,
              call_result_new (CS_RUN_NOT_STARTED, error_text));
}

static void
update_gauges (local_upstream_t *local_upstream)
{
  cs_gauge_set (CS_C_G_INFLIGHT,
                cs_admission_running (local_upstream->admission));
  cs_gauge_set (CS_C_G_QUEUED,
                cs_admission_queued (local_upstream->admission));
  cs_gauge_set (CS_C_G_LIMIT,
                (uint64_t)cs_admission_limit (local_upstream->admission));
}

static int64_t
current_load (local_upstream_t *local_upstream)
{
  return (int64_t)cs_admission_running (local_upstream->admission)
         + (int64_t)cs_admission_queued (local_upstream->admission);
}

static void *run_jobs (void *arg);
static void post_endpoint (local_upstream_t *local_upstream,
                           const registration_t *registration, cs_ctx_t *ctx,
                           bool urgent);

/* Queue JOB for a thread, starting one if none is idle.  The lock is held.  */
static void
start_job (local_upstream_t *local_upstream, job_t *job)
{
  local_upstream->running_jobs++;
  if (local_upstream->idle_threads == 0
      && local_upstream->threads->len < UPSTREAM_CONNECTIONS_MAX)
    g_ptr_array_add (
        local_upstream->threads,
        (gpointer)(uintptr_t)node_thread_create (run_jobs, local_upstream));
  else if (local_upstream->idle_threads)
    local_upstream->idle_threads--;
  cs_queue_push (&local_upstream->run_queue, job);
}

/* Whether REGISTRATION is of the service and version that REQUEST is for.  */
static bool
registration_matches (const registration_t *registration,
                      const call_request_t *request)
{
  return registration
         && strcmp (registration->announcement.service, request->service) == 0
         && strcmp (registration->announcement.version, request->version) == 0;
}

void
local_upstream_submit (local_upstream_t *local_upstream,
                       call_request_t *request, const char *origin,
                       uint64_t call_id)
{
  cs_ctx_t *ctx = node_thread_ctx (local_upstream->node);
  cs_usec_t now = cs_now (ctx);
  /* The request to refuse: this one, one from the queue, or NULL.  */
  cs_admission_request_t *shed = NULL;
  job_t *job = g_new0 (job_t, 1);
  job->request = request;
  job->origin = g_strdup (origin);
  job->call_id = call_id;
  job->admission_request
      = (cs_admission_request_t){ .team = g_strdup (request->team),
                                  .weight = request->weight,
                                  .priority = request->priority,
                                  .deadline
                                  = now + request->time_remaining_us };
  pthread_mutex_lock (&local_upstream->lock);
  if (local_upstream->closed
      || !registration_matches (local_upstream->registration, request)
      || local_upstream->registration->announcement.draining)
    {
      pthread_mutex_unlock (&local_upstream->lock);
      refuse_job (local_upstream, job, "the upstream takes no new work");
      return;
    }
  cs_admission_decision_t decision = cs_admission_submit (
      local_upstream->admission, &job->admission_request, now, &shed);
  if (decision == CS_ADMIT_RUN)
    start_job (local_upstream, job);
  cs_usec_t retry_after = cs_admission_retry_after (local_upstream->admission);
  update_gauges (local_upstream);
  pthread_mutex_unlock (&local_upstream->lock);
  if (shed)
    shed_job (local_upstream, (job_t *)shed, retry_after);
}

static bool
is_same_call (const cs_admission_request_t *admission_request, const void *arg)
{
  const job_t *job = (const job_t *)admission_request, *sought = arg;
  return job->call_id == sought->call_id
         && g_strcmp0 (job->origin, sought->origin) == 0;
}

void
local_upstream_cancel (local_upstream_t *local_upstream, const char *origin,
                       uint64_t call_id)
{
  /* Only a queued request is cancelled.  A running one goes on, because HTTP
     has no way to cancel a request and learn whether it ran.  */
  pthread_mutex_lock (&local_upstream->lock);
  job_t sought = { .origin = (char *)origin, .call_id = call_id };
  cs_admission_request_t *admission_request
      = local_upstream->admission ? cs_admission_find (
            local_upstream->admission, is_same_call, &sought)
                                  : NULL;
  if (admission_request)
    admission_request->cancelled = true;
  pthread_mutex_unlock (&local_upstream->lock);
}

/* Running one request.  */

/* Headers that are not forwarded: the hop-by-hop ones, and those that the node
   or the HTTP client sets itself.  */
static const char *const unforwarded_headers[] = { "Connection",
                                                   "Keep-Alive",
                                                   "Transfer-Encoding",
                                                   "Content-Length",
                                                   "Host",
                                                   "Proxy-Connection",
                                                   "TE",
                                                   "Trailer",
                                                   "Upgrade",
                                                   "Cardamom-Depth",
                                                   "Cardamom-Deadline-Ms",
                                                   "Cardamom-Sequence" };

static bool
is_unforwarded (const char *name)
{
  for (size_t i = 0; i < G_N_ELEMENTS (unforwarded_headers); i++)
    if (g_ascii_strcasecmp (name, unforwarded_headers[i]) == 0)
      return true;
  return false;
}

static GPtrArray *
copy_forwarded_headers (const GPtrArray *headers)
{
  GPtrArray *copies = cs_headers_new ();
  for (guint i = 0; headers && i < headers->len; i++)
    {
      const cs_header_t *header = headers->pdata[i];
      if (!is_unforwarded (header->name))
        cs_headers_add (copies, header->name, header->value);
    }
  return copies;
}

static void
add_number_header (GPtrArray *headers, const char *name, int64_t value)
{
  char text[32];
  snprintf (text, sizeof text, "%lld", (long long)value);
  cs_headers_add (headers, name, text);
}

/* Whether a connection to PORT is refused now.  */
static bool
port_refuses (const char *host, unsigned port)
{
  struct sockaddr_in address
      = { .sin_family = AF_INET, .sin_port = htons ((uint16_t)port) };
  inet_pton (AF_INET, host, &address.sin_addr);
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (fd < 0)
    return false;
  bool refused = connect (fd, (struct sockaddr *)&address, sizeof address) < 0
                 && errno == ECONNREFUSED;
  close (fd);
  return refused;
}

/* Whether nothing listens on the upstream's port any more.  The kernel closes
   the sockets of a dead process in no particular order: its connections may
   break some time before its port is closed.  */
static bool
port_is_closed (const char *host, unsigned port)
{
  for (int check = 0; check < PORT_CHECK_COUNT; check++)
    {
      if (port_refuses (host, port))
        return true;
      g_usleep (PORT_CHECK_INTERVAL);
    }
  return false;
}

/* The result of an HTTP call that failed with STATUS.  If the upstream's
   process has died, the request is reported as the cause of a crash.  */
static call_result_t *
result_from_failure (local_upstream_t *local_upstream, cs_ctx_t *ctx,
                     cs_status_t status, unsigned port, uint64_t fingerprint)
{
  if (status == CS_UNAVAILABLE)
    return call_result_new (CS_RUN_NOT_STARTED, cs_error_message (ctx));
  if (status == CS_UNKNOWN
      && port_is_closed (local_upstream->node->settings.host, port))
    {
      crash_reports_add (local_upstream->node, fingerprint,
                         local_upstream->node->settings.node);
      return call_result_new (CS_RUN_CRASHED,
                              "the upstream died while running it");
    }
  return call_result_new (CS_RUN_UNKNOWN, cs_error_message (ctx));
}

static call_result_t *
run_request (local_upstream_t *local_upstream, cs_ctx_t *ctx,
             cs_http_client_t *http, const job_t *job, unsigned port)
{
  const call_request_t *job_request = job->request;
  GPtrArray *headers = copy_forwarded_headers (job_request->headers);
  add_number_header (headers, "Cardamom-Depth", job_request->depth + 1);
  add_number_header (headers, "Cardamom-Deadline-Ms",
                     (job->admission_request.deadline - cs_now (ctx))
                         / CS_MSEC);
  cs_http_request_t http_request
      = { .method = job_request->method,
          .path = job_request->path,
          .headers = headers,
          .body = cs_str_of_bytes (job_request->body),
          .body_bytes = job_request->body,
          .number_header = "Cardamom-Sequence",
          .answer_max = (size_t)local_upstream->node->settings.body_max,
          .reuse_connection = job_request->idempotent };
  cs_http_answer_t answer;
  cs_status_t status = cs_http_client_call (ctx, http, &http_request, &answer);
  g_ptr_array_unref (headers);
  if (status != CS_OK)
    return result_from_failure (local_upstream, ctx, status, port,
                                job_request->fingerprint);
  /* The run state matters only if the status is 500 or above.  */
  call_result_t *result = call_result_new (CS_RUN_FAILED, NULL);
  result->status = answer.status;
  result->headers = copy_forwarded_headers (answer.headers);
  result->body = answer.body;
  result->claim = answer.claim;
  answer.body = NULL;
  answer.claim = (cs_claim_t){ 0 };
  cs_http_answer_clear (&answer);
  return result;
}

/* Count the request of JOB, which has ended, start queued ones, and send
   RESULT.  */
static void
end_job (local_upstream_t *local_upstream, cs_ctx_t *ctx, job_t *job,
         call_result_t *result, cs_usec_t latency)
{
  bool failed = result->status == 0 || result->status >= 500;
  GPtrArray *shed = g_ptr_array_new ();
  job_t *next;
  cs_counter_add (CS_C_SERVED, 1);
  cs_counter_add (CS_C_SERVED_ERRORS, failed);
  pthread_mutex_lock (&local_upstream->lock);
  local_upstream->running_jobs--;
  local_upstream->idle_threads++;
  cs_admission_done (local_upstream->admission, latency, failed);
  while ((next = (job_t *)cs_admission_next (local_upstream->admission,
                                             cs_now (ctx), shed)))
    start_job (local_upstream, next);
  result->load = current_load (local_upstream);
  cs_usec_t retry_after = cs_admission_retry_after (local_upstream->admission);
  update_gauges (local_upstream);
  pthread_mutex_unlock (&local_upstream->lock);
  finish_job (local_upstream, job, result);
  for (guint i = 0; i < shed->len; i++)
    shed_job (local_upstream, shed->pdata[i], retry_after);
  g_ptr_array_unref (shed);
}

/* A new reference to the current registration, or NULL.  */
static registration_t *
keep_registration (local_upstream_t *local_upstream)
{
  pthread_mutex_lock (&local_upstream->lock);
  registration_t *registration = local_upstream->registration;
  if (registration)
    atomic_fetch_add (&registration->refs, 1);
  pthread_mutex_unlock (&local_upstream->lock);
  return registration;
}

/* A thread's connection to the upstream of a registration.  */
typedef struct
{
  cs_http_client_t *http;
  registration_t *registration;
} upstream_connection_t;

/* Take over the reference to REGISTRATION, and replace the connection unless
   it belongs to the same registration.  */
static void
connect_to_registration (local_upstream_t *local_upstream, cs_ctx_t *ctx,
                         upstream_connection_t *connection,
                         registration_t *registration)
{
  if (connection->registration != registration)
    {
      cs_http_client_drop (ctx, connection->http);
      connection->http
          = cs_http_client_new (ctx, local_upstream->node->settings.host,
                                registration->announcement.port, RUN_TIMEOUT);
      cs_http_client_share_memory (
          connection->http, &local_upstream->node->read_claims, RESULT_COPIES);
    }
  registration_drop (connection->registration);
  connection->registration = registration;
}

/* Remove REGISTRATION, whose upstream does not listen any more, and publish
   that at once instead of when its announcement expires.  */
static void
withdraw_registration (local_upstream_t *local_upstream, cs_ctx_t *ctx,
                       registration_t *registration)
{
  pthread_mutex_lock (&local_upstream->lock);
  bool current = local_upstream->registration == registration;
  if (current)
    {
      local_upstream->registration = NULL;
      post_endpoint (local_upstream, NULL, ctx, true);
    }
  pthread_mutex_unlock (&local_upstream->lock);
  if (!current)
    return;
  cs_log (CS_LOG_WARNING, "upstream-lost", "service=%s version=%s port=%u",
          registration->announcement.service,
          registration->announcement.version, registration->announcement.port);
  registration_drop (registration);
}

static void *
run_jobs (void *arg)
{
  local_upstream_t *local_upstream = arg;
  cs_ctx_t *ctx = node_thread_ctx (local_upstream->node);
  upstream_connection_t connection = { 0 };
  job_t *job;
  while ((job = cs_queue_pop (&local_upstream->run_queue)) != &quit_marker)
    {
      registration_t *registration = keep_registration (local_upstream);
      cs_usec_t started_at = cs_now (ctx);
      call_result_t *result;
      if (!registration_matches (registration, job->request))
        {
          registration_drop (registration);
          result
              = call_result_new (CS_RUN_NOT_STARTED, "the upstream has gone");
        }
      else
        {
          connect_to_registration (local_upstream, ctx, &connection,
                                   registration);
          result = run_request (local_upstream, ctx, connection.http, job,
                                registration->announcement.port);
          /* CS_RUN_NOT_STARTED: it could not be connected to;
             CS_RUN_CRASHED: its process died.  */
          if (!result->status && result->run_state != CS_RUN_UNKNOWN)
            withdraw_registration (local_upstream, ctx, registration);
        }
      end_job (local_upstream, ctx, job, result, cs_now (ctx) - started_at);
    }
  cs_http_client_drop (ctx, connection.http);
  registration_drop (connection.registration);
  return NULL;
}

/* Announcements.  */

/* A change of the endpoint in this node's member record, for the control
   thread.  */
typedef struct
{
  cs_endpoint_t endpoint;
  bool urgent;
} endpoint_update_t;

static void
set_endpoint (control_t *control, void *arg)
{
  endpoint_update_t *update = arg;
  cs_members_set_endpoint (control_ctx (control), control_members (control),
                           &update->endpoint, update->urgent);
}

static void
endpoint_update_free (gpointer data)
{
  endpoint_update_t *update = data;
  g_free (update->endpoint.service);
  g_free (update->endpoint.version);
  g_free (update);
}

/* Have the control thread publish REGISTRATION; NULL: no upstream.  */
static void
post_endpoint (local_upstream_t *local_upstream,
               const registration_t *registration, cs_ctx_t *ctx, bool urgent)
{
  endpoint_update_t *update = g_new0 (endpoint_update_t, 1);
  update->urgent = urgent;
  update->endpoint = (cs_endpoint_t){
    .service
    = g_strdup (registration ? registration->announcement.service : ""),
    .version
    = g_strdup (registration ? registration->announcement.version : ""),
    .slots = registration ? registration->announcement.slots : 0,
    .draining = registration && registration->announcement.draining,
    .announced_ms = cs_now_wall (ctx) / CS_MSEC,
  };
  control_post (local_upstream->node->control, set_endpoint, update,
                endpoint_update_free);
}

/* Whether two announcements differ at most in their TTL.  */
static bool
same_announcement (const announcement_t *announcement,
                   const announcement_t *other)
{
  return strcmp (announcement->service, other->service) == 0
         && strcmp (announcement->version, other->version) == 0
         && strcmp (announcement->instance, other->instance) == 0
         && announcement->port == other->port
         && announcement->slots == other->slots
         && announcement->draining == other->draining;
}

/* Replace the limiter when the number of slots has changed.  Queued jobs stay
   queued.  The lock is held.  */
static void
update_limiter (local_upstream_t *local_upstream, cs_ctx_t *ctx, int64_t slots)
{
  cs_limiter_t *limiter;
  if (local_upstream->admission && local_upstream->limiter_slots == slots)
    return;
  local_upstream->limiter_slots = slots;
  cs_limiter_new (ctx, local_upstream->node->settings.limiter, slots,
                  &limiter);
  if (local_upstream->admission)
    cs_admission_set_limiter (ctx, local_upstream->admission, limiter);
  else
    local_upstream->admission = cs_admission_new (
        ctx, limiter, (guint)local_upstream->node->settings.queue_max);
}

void
local_upstream_announce (local_upstream_t *local_upstream,
                         const announcement_t *announcement)
{
  cs_ctx_t *ctx = node_thread_ctx (local_upstream->node);
  pthread_mutex_lock (&local_upstream->lock);
  local_upstream->announced_at = cs_now (ctx);
  registration_t *old = local_upstream->registration;
  bool changed
      = announcement->leaving
            ? old != NULL
            : !old || !same_announcement (&old->announcement, announcement);
  if (changed)
    {
      local_upstream->registration
          = announcement->leaving ? NULL : registration_new (announcement);
      if (local_upstream->registration)
        update_limiter (local_upstream, ctx, announcement->slots);
      post_endpoint (local_upstream, local_upstream->registration, ctx,
                     announcement->leaving || announcement->draining);
    }
  pthread_mutex_unlock (&local_upstream->lock);
  if (!changed)
    return;
  cs_log (CS_LOG_NOTICE,
          announcement->leaving ? "upstream-left" : "upstream-announced",
          "service=%s version=%s port=%u slots=%lld draining=%d",
          announcement->service, announcement->version, announcement->port,
          (long long)announcement->slots, announcement->draining);
  registration_drop (old);
}

void
local_upstream_expire (local_upstream_t *local_upstream, cs_usec_t now)
{
  cs_ctx_t *ctx = node_thread_ctx (local_upstream->node);
  pthread_mutex_lock (&local_upstream->lock);
  registration_t *expired = NULL;
  if (local_upstream->registration
      && now - local_upstream->announced_at
             > local_upstream->registration->announcement.ttl_ms * CS_MSEC)
    {
      expired = local_upstream->registration;
      local_upstream->registration = NULL;
      post_endpoint (local_upstream, NULL, ctx, true);
    }
  pthread_mutex_unlock (&local_upstream->lock);
  if (!expired)
    return;
  cs_log (CS_LOG_WARNING, "upstream-lost", "service=%s version=%s port=%u",
          expired->announcement.service, expired->announcement.version,
          expired->announcement.port);
  registration_drop (expired);
}

bool
local_upstream_is_idle (local_upstream_t *local_upstream)
{
  pthread_mutex_lock (&local_upstream->lock);
  bool idle = local_upstream->running_jobs == 0
              && (!local_upstream->admission
                  || cs_admission_queued (local_upstream->admission) == 0);
  pthread_mutex_unlock (&local_upstream->lock);
  return idle;
}

void
local_upstream_close (local_upstream_t *local_upstream)
{
  pthread_mutex_lock (&local_upstream->lock);
  local_upstream->closed = true;
  pthread_mutex_unlock (&local_upstream->lock);
}

local_upstream_t *
local_upstream_start (node_t *node)
{
  local_upstream_t *local_upstream = g_new0 (local_upstream_t, 1);
  local_upstream->node = node;
  pthread_mutex_init (&local_upstream->lock, NULL);
  cs_queue_init (&local_upstream->run_queue);
  local_upstream->threads = g_ptr_array_new ();
  return local_upstream;
}

void
local_upstream_stop (local_upstream_t *local_upstream)
{
  for (guint i = 0; i < local_upstream->threads->len; i++)
    cs_queue_push (&local_upstream->run_queue, &quit_marker);
  for (guint i = 0; i < local_upstream->threads->len; i++)
    pthread_join ((pthread_t)(uintptr_t)local_upstream->threads->pdata[i],
                  NULL);
  cs_admission_drop (local_upstream->node->ctx, local_upstream->admission);
  registration_drop (local_upstream->registration);
  cs_queue_clear (&local_upstream->run_queue);
  g_ptr_array_unref (local_upstream->threads);
  pthread_mutex_destroy (&local_upstream->lock);
  g_free (local_upstream);
}
