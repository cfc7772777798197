/* Dispatching requests from a node (cardamom-sidecar) to the backend server on
   its host: queueing, sending, refusing.  Only this node has access to the
   server, so a request that it has not sent has certainly not run.  All calls
   are made on one event loop.  */
#ifndef CARDAMOM_DISPATCHER_H
#define CARDAMOM_DISPATCHER_H

#include "cardamom/backend.h"
#include "cardamom/client.h"
#include "cardamom/context.h"
#include "cardamom/crash-history.h"
#include "cardamom/judge.h"
#include "cardamom/net.h"
#include "cardamom/request-queue.h"
#include "cardamom/retry-window.h"

/* A request for the backend server.  Views are borrowed.  */
typedef struct
{
  cs_str_t id;      /* Id of the caller's attempt.  */
  cs_str_t route;   /* Path of the route, for statistics.  */
  cs_str_t service; /* Required service.  */
  cs_str_t version; /* Required version.  */
  /* Request line and header fields, without the final empty line and without
     the fields for the deadline and the expected instance, which the
     dispatcher adds.  */
  cs_str_t head;
  cs_str_t body;
  /* Holds BODY; a reference is kept instead of a copy.  NULL: BODY is copied.
   */
  GBytes *body_bytes;
  int64_t priority;             /* 0 goes first.  */
  cs_usec_t target_remaining;   /* Time until the latency target.  */
  cs_usec_t latency_target;     /* The whole latency target of its route.  */
  cs_usec_t deadline_remaining; /* Time until the deadline.  */
  /* The request is refused if it is expected to wait for longer than this,
     because the sender knows of a better server then.  */
  cs_usec_t wait_max;
  cs_usec_t sent_at; /* By the sender's monotonic clock; 0: not known.  */
  bool idempotent, method_is_head;
  bool retry; /* An earlier attempt has reached a server.  */
  /* Probability, 0 to 1, that this is a call of a run that was a retry.  */
  double inherited_retry;
  bool may_be_call; /* Of a server, rather than a request of a client.  */
  /* From cs_request_fingerprint; 0: not known.  */
  uint64_t fingerprint;
  /* What a cold server of SERVICE takes a second, as the sender knows it: a
     node that has just started has no configuration.  0: no limit.  */
  double warmup_per_s;
} cs_dispatch_request_t;

/* Why a request has not run.  */
typedef enum
{
  CS_REFUSED_OVERLOADED, /* It would miss its target or deadline.  */
  CS_REFUSED_EXPIRED,    /* It waited too long in the queue.  */
  CS_REFUSED_NO_SERVER,  /* No server, or one that takes no new requests.  */
  CS_REFUSED_MISMATCH,   /* The server has another service or version.  */
  CS_REFUSED_BY_SERVER,  /* The server itself refused it.  */
  CS_REFUSED_CANDIDATE_STOPPED, /* The candidate version failed too often on
                                   this node.  */
  CS_REFUSED_STOPPING,          /* The node is shutting down.  */
  CS_REFUSED_QUARANTINED,       /* It has crashed servers.  */
  CS_REFUSED_RETRY_BUDGET,      /* A retry that the retry budget excludes.  */
  CS_REFUSED_LONGER_WAIT,       /* It would wait for longer than WAIT_MAX.  */
  /* Every server that takes requests is in a region that the route does not
     allow, or in an evacuated data centre.  */
  CS_REFUSED_REGION,
  CS_REFUSED_EVACUATED,
  CS_REFUSED_KEY_UNKNOWN, /* No workspace holds its key.  */
  CS_REFUSED_KEYS_CLOSED, /* The node's view is too old for keyed requests.  */
  CS_REFUSED_OVER_CAP,    /* Beyond the usage cap of its workspace.  */
  CS_REFUSED_NO_COORDINATOR, /* The coordinator of that cap does not answer. */
  CS_REFUSED_COUNT
} cs_refusal_reason_t;

/* The name of REASON in logs.  */
const char *cs_refusal_reason_name (cs_refusal_reason_t reason);

typedef enum
{
  CS_OUTCOME_ANSWERED, /* The server answered: STATUS, FIELDS, BODY.  */
  CS_OUTCOME_REFUSED,  /* It has not run and will not.  */
  CS_OUTCOME_UNKNOWN   /* It may have run.  */
} cs_outcome_kind_t;

/* Load of a server, reported with every outcome.  */
typedef struct
{
  int64_t running, queued, slots; /* QUEUED: waiting on the node.  */
  cs_usec_t mean_service_time;    /* Mean time that a run occupies a slot.  */
  /* Failures among recent runs and requests refused by the server
     (CS_REFUSED_BY_SERVER), which count as failures.  */
  int64_t failure_permille;
  /* Under the limit that the server names: the time between two requests, 0
     without a limit, and the wait of one that comes now.  */
  cs_usec_t limit_interval, limit_wait;
  cs_usec_t cold_left;  /* For how long the server stays cold; 0: warm.  */
  cs_usec_t transit;    /* Mean delay of the messages to that node.  */
  cs_usec_t link_wait;  /* Until its link is free for another large body.  */
  bool refuses_retries; /* The retry budget has no room.  */
} cs_load_t;

/* The end of a request.  Views are borrowed for the call.  */
typedef struct
{
  cs_outcome_kind_t kind;
  cs_refusal_reason_t reason;
  bool reached_server; /* It was sent to the server.  */
  unsigned status;
  cs_str_t fields; /* Header lines for the caller.  */
  cs_str_t body;
  GBytes *body_bytes; /* Holds BODY, for a reference; NULL: nothing does.  */
  /* Expected wait in the queue, when refused for load.  */
  cs_usec_t expected_wait;
  bool server_leaving; /* The answer says that the server leaves.  */
  /* With CS_OUTCOME_UNKNOWN: a kept connection broke under the request while
     the server runs on, which probably closed it while it was idle.  */
  bool stale_connection;
  /* The request may be a call of a server, and calls of repeated runs strain
     the retry budget: that server's runs should not be repeated.  */
  bool retries_strained;
  cs_usec_t service_time; /* Time between sending and the end.  */
  /* With CS_OUTCOME_UNKNOWN: the server crashed while it ran the request.  */
  const cs_record_t *crash_record;
  cs_load_t load;
} cs_outcome_t;

typedef struct cs_dispatcher cs_dispatcher_t;

/* A request that was submitted and has not ended.  */
typedef struct cs_dispatch cs_dispatch_t;

/* Called once at the end of a request, unless it was cancelled.  */
typedef void (*cs_dispatch_done_t) (void *user, const cs_outcome_t *outcome);

/* Callbacks to the owner.  */
typedef struct
{
  /* The server refuses connections, or is another instance.  */
  void (*server_lost) (void *user);
  /* The server says in an answer that it leaves; nothing more is sent to this
     start of it.  */
  void (*server_leaving) (void *user);
} cs_dispatcher_handler_t;

/* A dispatcher on LOOP that lives as long as the process.  ANSWER_MEMORY
   bounds the size of the server's answers, RETRIES the retries that reach
   it; both are copied, as is HANDLER.
   CRASH_HISTORY is borrowed; crashes of the server are added to it.  */
cs_dispatcher_t *cs_dispatcher_new (cs_ctx_t *ctx, uv_loop_t *loop,
                                    const cs_answer_memory_t *answer_memory,
                                    const cs_retry_window_settings_t *retries,
                                    cs_crash_history_t *crash_history,
                                    const cs_dispatcher_handler_t *handler,
                                    void *user);

/* Set the state of the server, as known from its reports.  If it does not take
   new requests, queued ones are refused at once.  */
void cs_dispatcher_set_backend (cs_dispatcher_t *dispatcher,
                                const cs_backend_t *server);

/* INSTANCE, the server or one that is yet to report, last named a limit of one
   request in INTERVAL.  It holds until the first answer of that server.  */
void cs_dispatcher_restore_limit (cs_dispatcher_t *dispatcher,
                                  const char *instance, cs_usec_t interval);

/* While it is cold, a server of this service takes PER_SECOND requests; 0: no
   limit.  */
void cs_dispatcher_set_warmup (cs_dispatcher_t *dispatcher, double per_second);

/* The server has reported that it is cold until WARM_AT.  */
void cs_dispatcher_set_warm_at (cs_dispatcher_t *dispatcher,
                                cs_usec_t warm_at);

/* Whether the data centre of the server is evacuated.  If it is, queued
   requests are refused at once and new ones from then on.  When that ends, the
   server counts as cold until its next report, and the requests that run at
   once grow to its slots within seconds.  */
void cs_dispatcher_set_evacuated (cs_dispatcher_t *dispatcher, bool evacuated);

/* Refuse the queued requests whose ROUTE is not ALLOWED to run here.  */
void cs_dispatcher_refuse_disallowed (cs_dispatcher_t *dispatcher,
                                      bool (*allowed) (void *user,
                                                       cs_str_t route),
                                      void *user);

/* A message from another node came with DELAY.  */
void cs_dispatcher_note_transit (cs_dispatcher_t *dispatcher, cs_usec_t delay);

/* The number of servers of the service, to which the retry budget is shared
   out.  */
void cs_dispatcher_set_server_count (cs_dispatcher_t *dispatcher,
                                     unsigned count);

/* The part, 0 to 1, of the runs in flight that are retries, or calls of such
   runs.  */
double cs_dispatcher_retry_share (const cs_dispatcher_t *dispatcher);

/* Refuse retries for a while: a service that the server calls says that it
   gets too many calls of repeated runs.  */
void cs_dispatcher_hold_retries (cs_dispatcher_t *dispatcher);

/* Refuse new and queued requests; those in flight end normally.  */
void cs_dispatcher_stop (cs_dispatcher_t *dispatcher);

/* The server runs the candidate version of the move that MOVE_REVISION
   identifies, as in cs_version_split_t; 0: it runs no candidate.  After
   several failures of the candidate on this node, its requests are refused.
   Another revision resets the count of failures.  */
void cs_dispatcher_set_candidate (cs_dispatcher_t *dispatcher,
                                  int64_t move_revision);

/* Queue REQUEST, whose bytes are copied, and call DONE at its end.  Returns
   NULL if it was refused and DONE has been called already.  */
cs_dispatch_t *cs_dispatcher_submit (cs_dispatcher_t *dispatcher,
                                     const cs_dispatch_request_t *request,
                                     cs_dispatch_done_t done, void *user);

/* Why a request like REQUEST, whose body has not come yet, would be refused,
   or CS_REFUSED_COUNT.  *WAIT and *RUN_TIME are set to what is expected.  */
cs_refusal_reason_t
cs_dispatcher_preview (cs_dispatcher_t *dispatcher,
                       const cs_dispatch_request_t *request, cs_usec_t *wait,
                       cs_usec_t *run_time);

/* Cancel DISPATCH, whose caller has disconnected; its callback is not called.
   If it is in flight, it is aborted only when it is idempotent.  */
void cs_dispatcher_cancel (cs_dispatcher_t *dispatcher,
                           cs_dispatch_t *dispatch);

/* Whether DISPATCH is still queued.  */
bool cs_dispatch_is_queued (const cs_dispatch_t *dispatch);

/* Abandon requests past their deadline, and refuse those that waited too long.
   Call it every few tens of milliseconds.  */
void cs_dispatcher_tick (cs_dispatcher_t *dispatcher);

cs_load_t cs_dispatcher_load (cs_dispatcher_t *dispatcher);

/* Requests in flight at the server, or whose end is not yet reported.  */
int64_t cs_dispatcher_in_flight (const cs_dispatcher_t *dispatcher);

/* Statistics since the server's start.  Maps route path -> cs_call_stats_t;
   the table is borrowed.  */
GHashTable *cs_dispatcher_stats (cs_dispatcher_t *dispatcher);

/* The requests in flight, with the time since each was sent as its latency.
   Maps route path -> cs_call_stats_t; the caller unrefs the table.  */
GHashTable *cs_dispatcher_in_flight_stats (const cs_dispatcher_t *dispatcher);

#endif
