/* What a node knows of requests that crash backend servers (quarantine.h): the
   crash records of all nodes, and how far each request is trusted.

   When a server crashes, every request that it was running is suspected: one
   of them may have been the cause.  Each is then run again with no other
   suspect beside it, so that the next crash names the one that caused it.  A
   run that ends with an answer clears its request.  Requests that run on many
   servers at the time when these fail together are not condemned by that: only
   crashes of runs that did not overlap in time count.  */
#ifndef CARDAMOM_CRASH_HISTORY_H
#define CARDAMOM_CRASH_HISTORY_H

#include "cardamom/quarantine.h"

typedef enum
{
  CS_REQUEST_TRUSTED,
  CS_REQUEST_SUSPECT,    /* Runs on a server only while no other one does.  */
  CS_REQUEST_QUARANTINED /* Is not run.  */
} cs_request_trust_t;

/* Called for each record that this node creates.  RECORD is borrowed.  */
typedef struct
{
  /* Other nodes need RECORD.  */
  void (*created) (void *user, const cs_record_t *record);
  /* RECORD puts a request into quarantine, or takes it out, and must outlast
     the nodes.  */
  void (*lasting) (void *user, const cs_record_t *record);
} cs_crash_history_handler_t;

typedef struct cs_crash_history cs_crash_history_t;

/* HANDLER is copied.  The caller drops the history.  */
cs_crash_history_t *
cs_crash_history_new (cs_ctx_t *ctx, const cs_crash_history_handler_t *handler,
                      void *user);
void cs_crash_history_drop (cs_crash_history_t *history);

/* How far the request FINGERPRINT is trusted; 0, an unknown one, always is. */
cs_request_trust_t cs_crash_history_trust (const cs_crash_history_t *history,
                                           uint64_t fingerprint);

/* SERVER, which names one start of a backend server, crashed at wall time NOW
   while it ran the request FINGERPRINT, sent to it at STARTED_AT.  */
void cs_crash_history_add (cs_crash_history_t *history, uint64_t fingerprint,
                           const char *server, cs_usec_t started_at,
                           cs_usec_t now);

/* The request FINGERPRINT has been answered by a server.  */
void cs_crash_history_clear (cs_crash_history_t *history, uint64_t fingerprint,
                             int64_t now_ms);

/* Take over RECORD of another node, unless a newer one is held, it is of
   another kind, or too many are held.  Returns whether it was taken over.  */
bool cs_crash_history_merge (cs_crash_history_t *history,
                             const cs_record_t *record, int64_t now_ms);

/* The record of the crash of SERVER while it ran FINGERPRINT; NULL if there is
   none.  Valid until the next change of HISTORY.  */
const cs_record_t *cs_crash_history_find (const cs_crash_history_t *history,
                                          uint64_t fingerprint,
                                          const char *server);

/* Copies of the records of the crashes of FINGERPRINT that no answer has
   cleared; the caller unrefs the list.  */
GPtrArray *cs_crash_history_of_request (const cs_crash_history_t *history,
                                        uint64_t fingerprint);

/* Copies of the records of all requests in quarantine; the caller unrefs the
   list.  */
GPtrArray *cs_crash_history_quarantined (const cs_crash_history_t *history);

/* Forget the records that have expired; this takes time by their number.  */
void cs_crash_history_expire (cs_crash_history_t *history, int64_t now_ms);

#endif
