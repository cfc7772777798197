/* Socket and event loop helpers that all event-driven parts share.  */
#ifndef CARDAMOM_NET_H
#define CARDAMOM_NET_H

#include <glib.h>
#include <netinet/in.h>
#include <stdbool.h>
#include <uv.h>

#include "cardamom/clock.h"
#include "cardamom/memory-budget.h"
#include "cardamom/str.h"

/* Parse "IP:PORT", with an IPv4 address, into ADDRESS; false if TEXT is not of
   this form.  */
bool cs_sockaddr_parse (const char *text, struct sockaddr_in *address);

/* Write BYTES, which are taken over, to STREAM.  What the socket does not
   accept at once is queued by libuv.  Errors are not reported here: the read
   callback of STREAM gets them.  */
void cs_uv_write (uv_stream_t *stream, GString *bytes);

/* The same for HEAD, which is taken over, followed by BODY, of which a
   reference is kept until it is written; NULL: nothing follows.  */
void cs_uv_write_body (uv_stream_t *stream, GString *head, GBytes *body);

/* The same; what of HEAD is not written at once counts in BUDGET until it is,
   and WRITTEN is called then.  BODY is counted by whoever has it.  BUDGET is
   borrowed; NULL: nothing is counted.  */
void cs_uv_write_counted (uv_stream_t *stream, GString *head, GBytes *body,
                          cs_memory_budget_t *budget,
                          void (*written) (uv_stream_t *stream));

/* A uv_alloc_cb that returns the same buffer for all connections of a thread:
   read callbacks have to consume the data before they return.  */
void cs_uv_alloc_read_buffer (uv_handle_t *handle, size_t suggested,
                              uv_buf_t *buf);

/* Set TCP_NODELAY, and TCP_USER_TIMEOUT to UNACKED_TIMEOUT: the connection
   breaks when sent bytes stay unacknowledged for so long.  0 keeps the default
   of the system.  */
void cs_tcp_set_options (uv_tcp_t *tcp, cs_usec_t unacked_timeout);

/* A queue of function calls that other threads post to the thread of an event
   loop.  */
typedef struct
{
  uv_async_t wakeup;
  uv_mutex_t lock;
  GQueue posted_calls;
} cs_mailbox_t;

/* Initialise MAILBOX; the thread of LOOP runs its calls.  */
void cs_mailbox_init (cs_mailbox_t *mailbox, uv_loop_t *loop);

/* Have RUN (USER, ARG) called in the thread of MAILBOX's loop, in the order of
   posting.  Any thread may post.  */
void cs_mailbox_post (cs_mailbox_t *mailbox,
                      void (*run) (void *user, void *arg), void *user,
                      void *arg);

/* Run the calls that were posted and close MAILBOX.  Called in the thread of
   its loop, when no other thread posts any more.  */
void cs_mailbox_close (cs_mailbox_t *mailbox);

#endif
