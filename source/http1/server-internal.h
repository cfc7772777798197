/* The state of the HTTP server, shared by server.c, which reads requests,
   exchange.c, which writes answers, and server-memory.c.  */
#ifndef HTTP1_SERVER_INTERNAL_H
#define HTTP1_SERVER_INTERNAL_H

#include "cardamom/server.h"

struct cs_http1_server
{
  uv_tcp_t tcp;
  uv_timer_t timeout_timer;
  uv_idle_t resume_idle; /* Active while a connection may be read on.  */
  cs_clock_t *clock;
  cs_http1_server_handler_t handler;
  void *user;
  cs_http1_server_limits_t limits;
  cs_memory_budget_t *budget; /* NULL: nothing is counted.  */
  const void *reading; /* The conn_t that asks for room; it never gives way. */
  GQueue conns;
  unsigned giving_way; /* Connections closed for it and not yet freed.  */
  bool draining, stopped, listener_closed, closing;
};

typedef struct
{
  uv_tcp_t tcp;
  cs_http1_server_t *server;
  GList link;
  GQueue exchanges;          /* Whole or refused, in order of arrival.  */
  cs_exchange_t *incoming;   /* Still being read; not in EXCHANGES.  */
  cs_usec_t progress_at;     /* Time of the last read or write.  */
  cs_usec_t head_started_at; /* First byte of INCOMING's head; 0: none.  */
  bool discard_input;        /* Further bytes are ignored.  */
  bool closing;
  bool lingering; /* The server's side is shut down.  */
  /* Of the body of INCOMING: when it last grew by BODY_STEP, and its size
     then.  */
  cs_usec_t body_moved_at;
  gsize body_moved_len;
  /* Bytes that the caller has not taken when it was last looked at, and since
     when there have not been fewer.  */
  size_t unwritten;
  cs_usec_t unwritten_since;
  gsize waiting_bytes; /* Of answers behind a request that has none yet.  */
  GString *stash;      /* Input that waits until CONN is not full.  */
  bool reading_stopped;
  bool gives_way; /* Closed for want of memory.  */
} conn_t;

/* server.c */
/* Close CONN; the handler is told of each request that has no answer yet.  */
void conn_close (conn_t *conn);
/* Shut down the sending side after the pending writes.  What the caller still
   sends is read and discarded for a while: closing a socket with unread data
   sends a reset, which may make the caller lose the answer.  */
void conn_linger (conn_t *conn);
/* Refuse the request that is being read: it is answered with STATUS after the
   requests before it, and further input is discarded.  */
void conn_refuse_incoming (conn_t *conn, unsigned status, const char *fields);

/* Read on with CONN, soon, if that was stopped and it is not full any more. */
void conn_schedule_resume (conn_t *conn);

/* exchange.c */
void exchange_free (cs_exchange_t *exchange);
/* The body of EXCHANGE's request counts no longer.  */
void exchange_release_body (cs_exchange_t *exchange);
/* Write the answers at the front of the queue, up to the first request that
   has none yet.  */
void conn_flush_answers (conn_t *conn);
/* Start the request at the front of CONN, if it waits for that and the caller
   takes what is before it; and whether that is so.  */
void conn_start_front (conn_t *conn);
bool conn_front_may_start (const conn_t *conn);
/* Whether so much of CONN is unanswered, or not taken by its caller, that no
   further request of it is read.  */
bool conn_is_full (const conn_t *conn);

/* server-memory.c */
/* Count what has come of the request EXCHANGE, which CONN reads; false if
   there is no room for it.  */
bool conn_count_request (conn_t *conn, cs_exchange_t *exchange);
/* Keep DATA, which is parsed when CONN is not full any more; false if there is
   no room for it.  */
bool conn_stash_input (conn_t *conn, const char *data, size_t len);
/* What was kept, which the caller frees; NULL: nothing.  */
GString *conn_take_stash (conn_t *conn);
/* Look at how much of the answers CONN's caller has not taken.  */
void conn_note_unwritten (conn_t *conn, cs_usec_t now);

/* Told to a caller whose body does not fit: bodies stall, and give way, within
   a second.  */
#define NO_ROOM_FIELDS "Retry-After: 1.000\r\n"

#endif
