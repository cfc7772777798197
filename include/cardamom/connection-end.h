/* How the input of a TCP connection ended.  An end of file does not tell: it
   is also read after a reset, if a write was told of that first, or if libuv
   saw the hang-up with the last bytes.  */
#ifndef CARDAMOM_CONNECTION_END_H
#define CARDAMOM_CONNECTION_END_H

#include "cardamom/net.h"

typedef struct
{
  int read_status;  /* UV_EOF or the error of the read.  */
  int socket_error; /* Not told yet; 0: none.  */
  int tcp_state;    /* As in TCP_INFO; -1: not known.  */
  size_t unwritten; /* Bytes that wait to be written.  */
} cs_connection_end_t;

/* The end of TCP, whose last read has returned READ_STATUS.  It takes the
   socket's pending error.  */
cs_connection_end_t cs_connection_end_of (const uv_tcp_t *tcp,
                                          int read_status);

/* Whether the other side has ended its sending in order, and nothing has
   broken the connection since.  */
bool cs_connection_end_is_orderly (const cs_connection_end_t *end);

/* Log END of the connection to a server at ADDRESS, RECEIVED bytes into an
   answer that may be CLOSE_DELIMITED.  */
void cs_connection_end_log (const cs_connection_end_t *end,
                            const struct sockaddr_in *address, size_t received,
                            bool close_delimited);

#endif
