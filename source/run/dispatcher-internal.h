/* The dispatcher's state, shared by dispatcher.c, answers.c, crash-check.c and
   server-fields.c.  */
#ifndef RUN_DISPATCHER_INTERNAL_H
#define RUN_DISPATCHER_INTERNAL_H

#include "cardamom/client.h"
#include "cardamom/crash-detector.h"
#include "cardamom/dispatcher.h"
#include "cardamom/service-times.h"
#include "cardamom/transit.h"

/* A connection to the server.  */
typedef struct
{
  cs_http1_client_t *client;
  struct cs_dispatch *dispatch; /* NULL while idle.  */
  cs_dispatcher_t *dispatcher;
  unsigned uses; /* Requests sent on it.  */
} dispatcher_conn_t;

/* Where a request is.  */
typedef enum
{
  DISPATCH_QUEUED,
  /* It is suspected to crash servers, and waits until no other such request is
     in flight.  */
  DISPATCH_ISOLATED,
  DISPATCH_IN_FLIGHT,
  /* It ended without an answer, and is kept until it is known whether the
     server has ended too.  */
  DISPATCH_UNANSWERED
} dispatch_state_t;

struct cs_dispatch
{
  cs_queued_request_t
      queued; /* First, so that a queue entry is a cs_dispatch_t.  */
  cs_dispatcher_t *dispatcher;
  dispatch_state_t state;
  dispatcher_conn_t *conn; /* Set while it is in flight.  */
  GString *id, *route, *head;
  GBytes *body; /* NULL: empty.  */
  cs_usec_t deadline, sent_at;
  cs_usec_t service_time; /* Set when it is DISPATCH_UNANSWERED.  */
  cs_usec_t sent_wall;    /* SENT_AT as wall time.  */
  uint64_t fingerprint;   /* 0: not known.  */
  bool suspect;           /* It was suspected when it was sent.  */
  bool cold;              /* The server was cold when it was sent.  */
  bool idempotent, method_is_head;
  bool cancelled; /* Nobody waits for the outcome, or for a further one.  */
  bool retry;     /* An earlier attempt has reached a server.  */
  /* The part of it that counts as a retry for the services that it calls.  */
  double retry_share;
  bool may_be_call;
  bool stale_connection; /* As in cs_outcome_t, if the server runs on.  */
  cs_dispatch_done_t done;
  void *user;
};

struct cs_dispatcher
{
  cs_ctx_t *ctx;
  uv_loop_t *loop;
  uv_idle_t fill_handle; /* Runs fill_slots before the loop blocks.  */
  cs_dispatcher_handler_t handler;
  void *user;
  cs_backend_t server;
  struct sockaddr_in address;
  cs_request_queue_t queue;
  GQueue idle_conns; /* dispatcher_conn_t, most recently used first.  */
  GQueue in_flight;  /* cs_dispatch_t, sent to the server.  */
  GQueue isolated;   /* cs_dispatch_t in the state DISPATCH_ISOLATED.  */
  GQueue unanswered; /* cs_dispatch_t in the state DISPATCH_UNANSWERED.  */
  cs_crash_history_t *crash_history;
  cs_crash_detector_t crash_detector;
  /* The connection that shows whether the server has ended; NULL while no
     check runs.  */
  dispatcher_conn_t *crash_check;
  uv_timer_t crash_check_timer; /* Runs once CRASH_CHECK is open.  */
  cs_usec_t crash_check_started_at;
  unsigned crash_check_settle_ms;
  cs_service_times_t service_times;
  double failure_rate;
  cs_usec_t failure_rate_at;
  GHashTable *stats; /* route -> cs_call_stats_t *.  */
  /* Identifies the candidate's move, as in cs_version_split_t; 0: none.  */
  int64_t move_revision;
  /* Runs recorded in STATS, and the failures among them, since the server's
     start or the last change of MOVE_REVISION; counted without a candidate
     too.  */
  int64_t candidate_runs, candidate_failures;
  cs_retry_window_settings_t retry_settings;
  cs_retry_window_t retry_window;
  unsigned server_count;
  cs_usec_t retries_held_until;
  cs_transit_t transit;
  cs_server_limit_t limit;
  /* From cs_dispatcher_restore_limit.  */
  char restored_instance[CS_NAME_SIZE];
  cs_usec_t restored_interval;
  double warmup_per_s;    /* From cs_dispatcher_set_warmup.  */
  cs_usec_t warm_at;      /* The server is cold until then.  */
  bool evacuated;         /* From cs_dispatcher_set_evacuated.  */
  cs_usec_t returned_at;  /* End of an evacuation; 0: its ramp is over.  */
  bool answered;          /* The present start of the server has answered.  */
  uv_timer_t limit_timer; /* Runs while a queued request awaits its turn.  */
  bool named_leaving;     /* An answer of the server says that it leaves.  */
  cs_answer_memory_t answer_memory;
  bool stopping;
};

static inline cs_usec_t
dispatcher_now (const cs_dispatcher_t *dispatcher)
{
  return dispatcher->ctx->clock->monotonic (dispatcher->ctx->clock);
}

static inline int64_t
dispatcher_wall_ms (const cs_dispatcher_t *dispatcher)
{
  return cs_now_wall (dispatcher->ctx) / CS_MSEC;
}

/* dispatcher.c */
/* A new connection to the server, not yet opened.  */
dispatcher_conn_t *dispatcher_open_conn (cs_dispatcher_t *dispatcher);
void dispatcher_drop_conn (dispatcher_conn_t *conn);
/* Detach DISPATCH from its connection, and keep that for reuse if possible. */
void dispatcher_release_conn (cs_dispatch_t *dispatch);
/* Report OUTCOME to the owner of DISPATCH, unless it was cancelled.  */
void dispatcher_report (cs_dispatch_t *dispatch, cs_outcome_t *outcome);
/* Report OUTCOME to the owner of DISPATCH, which is in no queue any more, and
   free DISPATCH.  */
void dispatcher_finish (cs_dispatch_t *dispatch, cs_outcome_t *outcome);
/* Report that DISPATCH, which is in no queue any more, has not run and never
   will, and free it.  WAIT: after how long it might be taken; 0: not known. */
void dispatcher_refuse (cs_dispatch_t *dispatch, cs_refusal_reason_t reason,
                        cs_usec_t wait);
/* Apply WARM_AT and WARMUP_PER_S.  SILENT is as in cs_server_limit_set_cold.
 */
void dispatcher_apply_cold (cs_dispatcher_t *dispatcher, bool silent);
/* The requests that the server may run at once.  */
int64_t dispatcher_usable_slots (const cs_dispatcher_t *dispatcher);
/* Refuse all queued requests with REASON.  */
void dispatcher_refuse_queued (cs_dispatcher_t *dispatcher,
                               cs_refusal_reason_t reason);
/* Queued requests are sent from the event loop only, never within the call
   that submits a request or handles the end of one.  */
void dispatcher_schedule_fill (cs_dispatcher_t *dispatcher);
/* Handle a server that refuses connections, or that answered 421 (Misdirected
   Request) because it is another instance than the one that reported: nothing
   is sent to it until its next report.  */
void dispatcher_mark_server_lost (cs_dispatcher_t *dispatcher);

/* Count a run, or a refusal of the server's own, in its failure rate.  */
void dispatcher_record_failure_rate (cs_dispatcher_t *dispatcher, bool failed);
/* Record a run, of a candidate or not, that has ended.  */
void dispatcher_record_run (cs_dispatcher_t *dispatcher,
                            const cs_dispatch_t *dispatch, bool failed,
                            cs_usec_t service_time);
/* Whether DISPATCH is suspected to crash servers.  */
bool dispatcher_is_suspect (const cs_dispatch_t *dispatch);
/* Log that DISPATCH, which was sent to the server, ends without an answer.  */
void dispatcher_log_unanswered (const cs_dispatch_t *dispatch,
                                const char *why);

/* answers.c */
/* Handles what comes on a dispatcher_conn_t, its USER, with a request in
   flight.  */
extern const cs_http1_client_handler_t dispatcher_answer_handler;

/* server-fields.c */
/* Heed what ANSWER, which can be trusted, says of the server itself.  */
void server_fields_note (cs_dispatcher_t *dispatcher,
                         const cs_http1_message_t *answer);
/* Apply the limit of cs_dispatcher_restore_limit, if it is that of the present
   server and this one has not answered.  */
void server_fields_restore_limit (cs_dispatcher_t *dispatcher);

/* crash-check.c */
void crash_check_init (cs_dispatcher_t *dispatcher);
/* Find out whether the server has ended, by a connection that is used
   afterwards if it has not.  The requests that are kept as unanswered are
   reported then.  */
void crash_check_start (cs_dispatcher_t *dispatcher);
/* End a check that has taken too long.  */
void crash_check_tick (cs_dispatcher_t *dispatcher, cs_usec_t now);
/* End the check, if one runs, and report the requests kept as unanswered.  */
void crash_check_end (cs_dispatcher_t *dispatcher);
/* DISPATCH, which was sent to the server and is in no queue, got no answer:
   remember its run in case that the server has ended.  */
void crash_check_note_unanswered (cs_dispatch_t *dispatch);
/* Keep DISPATCH, which is in no queue and got no answer, until it is known
   whether the server has ended.  */
void crash_check_keep (cs_dispatch_t *dispatch);
/* The present start of the server has ended: suspect what it has not answered,
   and with WITH_IN_FLIGHT also what it has in flight.  */
void crash_check_suspect (cs_dispatcher_t *dispatcher, bool with_in_flight);
/* Report the end of DISPATCH, which is in no queue: it was sent to the server
   and got no answer.  */
void crash_check_finish (cs_dispatch_t *dispatch);

#endif
