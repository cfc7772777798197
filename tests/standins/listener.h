/* The listener of stand-ins that handle connections by themselves.  */
#ifndef STANDINS_LISTENER_H
#define STANDINS_LISTENER_H

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <uv.h>

/* Accept connections to PORT of loopback on LOOP, and run it.  Returns 1, with
   a line that names PROGRAM, if it cannot listen.  */
static inline int
listener_run (uv_loop_t *loop, const char *program, const char *port,
              uv_connection_cb on_connection)
{
  struct sockaddr_in address;
  uv_tcp_t listener;
  signal (SIGPIPE, SIG_IGN);
  uv_loop_init (loop);
  uv_ip4_addr ("127.0.0.1", atoi (port), &address);
  uv_tcp_init (loop, &listener);
  if (uv_tcp_bind (&listener, (const struct sockaddr *)&address, 0) != 0
      || uv_listen ((uv_stream_t *)&listener, 64, on_connection) != 0)
    {
      fprintf (stderr, "%s: cannot listen on port %s\n", program, port);
      return 1;
    }
  return uv_run (loop, UV_RUN_DEFAULT);
}

#endif
