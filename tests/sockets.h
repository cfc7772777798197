/* Blocking sockets on the loopback address, to test event-driven code.  */
#ifndef TESTS_SOCKETS_H
#define TESTS_SOCKETS_H

#include <arpa/inet.h>
#include <errno.h>
#include <glib.h>
#include <poll.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* Time after which a blocked test fails, far above what any step takes.  */
#define SOCKET_TIMEOUT_MS 20000
/* How long a test checks that nothing arrives.  */
#define SOCKET_ABSENCE_MS 250

static inline struct sockaddr_in
loopback_address (unsigned port)
{
  return (struct sockaddr_in){ .sin_family = AF_INET,
                               .sin_port = htons ((uint16_t)port),
                               .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
}

/* A listening socket on PORT, where an earlier one was; 0: on a free port.  */
static inline int
listen_on_port (unsigned port)
{
  struct sockaddr_in address = loopback_address (port);
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int reuse = 1;
  if (port)
    setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &reuse, sizeof reuse);
  g_assert_cmpint (bind (fd, (struct sockaddr *)&address, sizeof address), ==,
                   0);
  /* Set before, it would allow a port that others may bind too.  */
  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &reuse, sizeof reuse);
  g_assert_cmpint (listen (fd, 64), ==, 0);
  return fd;
}

/* A listening socket on a free port, which is stored in *PORT.  */
static inline int
listen_on_free_port (unsigned *port)
{
  struct sockaddr_in address;
  socklen_t len = sizeof address;
  int fd = listen_on_port (0);
  getsockname (fd, (struct sockaddr *)&address, &len);
  *port = ntohs (address.sin_port);
  return fd;
}

/* A port that the code under test can listen on.  A socket that is bound to it
   and does not listen keeps other programs off it until this one ends.  */
static inline unsigned
free_port (void)
{
  struct sockaddr_in address = loopback_address (0);
  socklen_t len = sizeof address;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0), reuse = 1;
  g_assert_cmpint (bind (fd, (struct sockaddr *)&address, sizeof address), ==,
                   0);
  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &reuse, sizeof reuse);
  getsockname (fd, (struct sockaddr *)&address, &len);
  return ntohs (address.sin_port);
}

static inline int
connect_to (unsigned port)
{
  struct sockaddr_in address = loopback_address (port);
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  g_assert_cmpint (connect (fd, (struct sockaddr *)&address, sizeof address),
                   ==, 0);
  return fd;
}

/* Whether FD has data to read, or reaches its end, within MS milliseconds.  */
static inline bool
readable (int fd, int ms)
{
  struct pollfd p = { .fd = fd, .events = POLLIN };
  return poll (&p, 1, ms) == 1;
}

static inline int
accept_one (int listener)
{
  g_assert_true (readable (listener, SOCKET_TIMEOUT_MS));
  return accept (listener, NULL, NULL);
}

/* Send all of TEXT.  */
static inline void
send_text (int fd, const char *text)
{
  size_t len = strlen (text);
  while (len > 0)
    {
      ssize_t n = send (fd, text, len, MSG_NOSIGNAL);
      g_assert_cmpint (n, >, 0);
      text += n;
      len -= (size_t)n;
    }
}

/* Append the bytes of one read to TEXT; false at the end of the connection or
   after an error.  */
static inline bool
receive_some (int fd, GString *text)
{
  char bytes[4096];
  g_assert_true (readable (fd, SOCKET_TIMEOUT_MS));
  ssize_t n = recv (fd, bytes, sizeof bytes, 0);
  if (n <= 0)
    return false;
  g_string_append_len (text, bytes, n);
  return true;
}

/* Receive one message that has a Content-Length or no body; bytes after it are
   not read.  The caller frees the result.  */
static inline char *
receive_message (int fd)
{
  GString *text = g_string_new (NULL);
  char c;
  while (!strstr (text->str, "\r\n\r\n"))
    {
      g_assert_true (readable (fd, SOCKET_TIMEOUT_MS));
      if (recv (fd, &c, 1, 0) != 1)
        return g_string_free (text, FALSE);
      g_string_append_c (text, c);
    }
  const char *length_field = strstr (text->str, "Content-Length: ");
  size_t body_bytes = length_field ? strtoul (length_field + 16, NULL, 10) : 0;
  size_t message_bytes = text->len + body_bytes;
  while (text->len < message_bytes)
    {
      g_assert_true (readable (fd, SOCKET_TIMEOUT_MS));
      if (recv (fd, &c, 1, 0) != 1)
        break;
      g_string_append_c (text, c);
    }
  return g_string_free (text, FALSE);
}

/* Receive everything up to the end of the connection.  The caller frees the
   result.  */
static inline char *
receive_until_eof (int fd)
{
  GString *text = g_string_new (NULL);
  while (receive_some (fd, text))
    continue;
  return g_string_free (text, FALSE);
}

/* Close the connection with a TCP reset.  */
static inline void
reset_connection (int fd)
{
  struct linger linger = { .l_onoff = 1, .l_linger = 0 };
  setsockopt (fd, SOL_SOCKET, SO_LINGER, &linger, sizeof linger);
  close (fd);
}

#endif
