/* What the event-driven parts share about sockets and loops.  */
#ifndef CARDAMOM_NET_H
#define CARDAMOM_NET_H

#include <glib.h>
#include <netinet/in.h>
#include <stdbool.h>
#include <uv.h>

#include "cardamom/clock.h"
#include "cardamom/str.h"

/* Parse "IP:PORT"; false for anything else.  */
bool cs_endpoint_parse (const char *text, struct sockaddr_in *address);

/* Write BYTES, which are taken over, to STREAM.  What the socket does not take
   at once is kept by libuv until it does.  A failure shows in the reader.  */
void cs_write (uv_stream_t *stream, GString *bytes);

/* A read buffer that all connections of a thread share, for their data is
   consumed within the read callback.  An uv_alloc_cb.  */
void cs_alloc_read (uv_handle_t *handle, size_t suggested, uv_buf_t *buf);

/* TCP_NODELAY, and TCP_USER_TIMEOUT of SILENCE (0: the system's).  */
void cs_tcp_tune (uv_tcp_t *tcp, cs_usec_t silence);

/* Calls to be run by the thread of another loop.  */
typedef struct
{
  uv_async_t wake;
  uv_mutex_t lock;
  GQueue calls;
} cs_mailbox_t;

/* Initialise BOX, whose calls LOOP's thread runs.  */
void cs_mailbox_init (cs_mailbox_t *box, uv_loop_t *loop);

/* Have RUN (USER, ARG) called by BOX's thread.  Any thread may post.  */
void cs_mailbox_post (cs_mailbox_t *box, void (*run) (void *user, void *arg),
                      void *user, void *arg);

/* Run what was posted and take no more.  For BOX's thread, when no other one
   posts any more.  */
void cs_mailbox_close (cs_mailbox_t *box);

#endif
