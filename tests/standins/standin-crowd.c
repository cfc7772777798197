/* A crowd of callers that nobody controls.

     standin-crowd --port=P --form=FORM [--callers=N] [--bytes=B] [--path=PATH]
       [--read-rate=R] [--read-max=M] [--requests=N]

   It opens N connections to PORT on loopback, sends on each what FORM says,
   and keeps them open.  It prints "held" when nothing more can be sent, and
   ends with SIGTERM.  Of the answers it reads nothing, unless the form says
   so, or R bytes a second on each connection, M bytes at the most.

   whole     a body of B bytes, announced, all but the last byte
   pieces    the same, 4 KB of each in turn
   chunks    a body in chunks of 256 KB, without the last chunk
   bits      a body in chunks of 16 bytes, without the last chunk
   over      a body announced with 16 times B bytes, and sent
   endless   a body in chunks that never ends, sent until 16 times B bytes
   complete  N bodies of B bytes, announced and complete, one after the other,
             on a new connection where the last was closed; the answers are
             read
   answers   N requests without a body, one after the other, whose answers are
             not read
   heads     a head that never ends
   idle      nothing  */
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define CALLERS_MAX 2000
#define PIECE_BYTES 4096
/* Nothing could be sent for so long: the rest never will.  */
#define HELD_AFTER_MS 3000
#define POLL_MS 20

typedef struct
{
  int fd;
  char head[512];
  size_t head_len, head_sent;
  size_t body_sent; /* Bytes on the wire, chunk framing included.  */
  size_t read;
  unsigned requests; /* Begun so far.  */
  bool dead;
} caller_t;

static const char *form = "whole", *path = "/d/crowd";
static unsigned port, callers_count = 40, requests_each = 1;
static size_t bytes = 1 << 20, read_rate, read_max = SIZE_MAX;
static caller_t callers[CALLERS_MAX];
static char filler[256 * 1024 + 16];

static bool
is_form (const char *name)
{
  return strcmp (form, name) == 0;
}

/* The bytes that a caller sends after its head.  */
static size_t
body_total (void)
{
  if (is_form ("whole") || is_form ("pieces"))
    return bytes - 1;
  if (is_form ("chunks") || is_form ("bits") || is_form ("complete"))
    return bytes;
  if (is_form ("over") || is_form ("endless"))
    return 16 * bytes;
  return 0;
}

static size_t
chunk_bytes (void)
{
  return is_form ("bits") ? 16 : is_form ("chunks") ? 256 * 1024 : 4096;
}

static bool
is_chunked (void)
{
  return is_form ("chunks") || is_form ("bits") || is_form ("endless");
}

/* Fill FILLER with chunks, or with plain bytes.  Returns the size of one chunk
   with its framing.  */
static size_t
prepare_filler (void)
{
  memset (filler, 'u', sizeof filler);
  if (!is_chunked ())
    return sizeof filler;
  char size[16];
  int n = snprintf (size, sizeof size, "%zx\r\n", chunk_bytes ());
  size_t frame = (size_t)n + chunk_bytes () + 2;
  for (size_t at = 0; at + frame <= sizeof filler; at += frame)
    {
      memcpy (filler + at, size, (size_t)n);
      memcpy (filler + at + frame - 2, "\r\n", 2);
    }
  return frame;
}

/* Write the head of CALLER's next request.  */
static void
begin_request (caller_t *caller)
{
  int n = snprintf (
      caller->head, sizeof caller->head,
      "%s %s HTTP/1.1\r\nHost: h\r\nAttempt-Id: crowd%u-%u-%u\r\n"
      "Timeout-Remaining-Ms: 20000\r\n",
      is_form ("answers") ? "GET" : "PUT", path, (unsigned)getpid (),
      (unsigned)(caller - callers), ++caller->requests);
  char *end = caller->head + n;
  size_t room = sizeof caller->head - (size_t)n;
  if (is_form ("idle"))
    n = 0;
  else if (is_form ("heads"))
    n += snprintf (end, room, "X-Long: ");
  else if (is_chunked ())
    n += snprintf (end, room, "Transfer-Encoding: chunked\r\n\r\n");
  else
    n += snprintf (end, room, "Content-Length: %zu\r\n\r\n",
                   is_form ("whole") || is_form ("pieces") ? bytes
                                                           : body_total ());
  caller->head_len = (size_t)n;
  caller->head_sent = 0;
}

static void
open_caller (caller_t *caller)
{
  struct sockaddr_in address = { .sin_family = AF_INET,
                                 .sin_port = htons ((unsigned short)port),
                                 .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  caller->fd = socket (AF_INET, SOCK_STREAM, 0);
  caller->dead
      = connect (caller->fd, (struct sockaddr *)&address, sizeof address) != 0;
  fcntl (caller->fd, F_SETFL, O_NONBLOCK);
  begin_request (caller);
}

/* Begin CALLER's next request on a new connection.  */
static void
reopen_caller (caller_t *caller)
{
  close (caller->fd);
  caller->body_sent = 0;
  open_caller (caller);
}

/* Read so much of CALLER's answers as it may in one round.  */
static void
read_some (caller_t *caller)
{
  static char sink[65536];
  size_t most = read_rate * POLL_MS / 1000, left = read_max - caller->read;
  if (most > left)
    most = left;
  while (most && !caller->dead)
    {
      ssize_t n = recv (caller->fd, sink,
                        most < sizeof sink ? most : sizeof sink, 0);
      if (n <= 0)
        return;
      caller->read += (size_t)n;
      most -= (size_t)n;
    }
}

/* Send what the socket takes; returns whether it took anything.  */
static bool
send_more (caller_t *caller, size_t frame)
{
  ssize_t n;
  if (caller->dead)
    return false;
  if (caller->head_sent == caller->head_len && caller->requests < requests_each
      && (is_form ("answers")
          || (is_form ("complete") && caller->body_sent == body_total ())))
    {
      begin_request (caller);
      caller->body_sent = 0;
    }
  if (is_form ("complete"))
    {
      while ((n = recv (caller->fd, filler + sizeof filler / 2, 4096, 0)) > 0)
        continue;
      if ((n == 0 || errno == ECONNRESET) && caller->requests < requests_each)
        reopen_caller (caller);
    }
  if (caller->head_sent < caller->head_len)
    n = send (caller->fd, caller->head + caller->head_sent,
              caller->head_len - caller->head_sent, MSG_NOSIGNAL);
  else
    {
      size_t left = body_total () - caller->body_sent;
      /* Chunks are sent whole, so that a new one begins where one ended.  */
      size_t offset = is_chunked () ? caller->body_sent % frame : 0;
      size_t most = is_form ("pieces") ? PIECE_BYTES : sizeof filler;
      size_t whole = is_chunked () ? sizeof filler / frame * frame - offset
                                   : sizeof filler;
      size_t len = whole < most ? whole : most;
      if (len > left)
        len = left;
      if (!len)
        return false;
      n = send (caller->fd, filler + offset, len, MSG_NOSIGNAL);
    }
  if (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK)
    {
      if (is_form ("complete") && caller->requests < requests_each)
        reopen_caller (caller);
      else
        caller->dead = true;
    }
  if (n <= 0)
    return false;
  if (caller->head_sent < caller->head_len)
    caller->head_sent += (size_t)n;
  else
    caller->body_sent += (size_t)n;
  return true;
}

static long
now_ms (void)
{
  struct timespec now;
  clock_gettime (CLOCK_MONOTONIC, &now);
  return now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

int
main (int argc, char **argv)
{
  for (int i = 1; i < argc; i++)
    {
      const char *value = strchr (argv[i], '=');
      value = value ? value + 1 : "";
      if (strncmp (argv[i], "--port=", 7) == 0)
        port = (unsigned)atoi (value);
      else if (strncmp (argv[i], "--form=", 7) == 0)
        form = value;
      else if (strncmp (argv[i], "--callers=", 10) == 0)
        callers_count = (unsigned)atoi (value);
      else if (strncmp (argv[i], "--bytes=", 8) == 0)
        bytes = (size_t)atoll (value);
      else if (strncmp (argv[i], "--path=", 7) == 0)
        path = value;
      else if (strncmp (argv[i], "--read-rate=", 12) == 0)
        read_rate = (size_t)atoll (value);
      else if (strncmp (argv[i], "--read-max=", 11) == 0)
        read_max = (size_t)atoll (value);
      else if (strncmp (argv[i], "--requests=", 11) == 0)
        requests_each = (unsigned)atoi (value);
    }
  if (callers_count > CALLERS_MAX)
    callers_count = CALLERS_MAX;
  size_t frame = prepare_filler ();
  for (unsigned i = 0; i < callers_count; i++)
    open_caller (&callers[i]);
  long moved_at = now_ms ();
  for (bool held = false;;)
    {
      bool moved = false;
      for (unsigned i = 0; i < callers_count; i++)
        moved |= send_more (&callers[i], frame);
      if (moved)
        moved_at = now_ms ();
      else
        {
          poll (NULL, 0, POLL_MS);
          for (unsigned i = 0; i < callers_count; i++)
            read_some (&callers[i]);
        }
      if (held || now_ms () - moved_at < HELD_AFTER_MS)
        continue;
      held = true;
      unsigned alive = 0;
      for (unsigned i = 0; i < callers_count; i++)
        alive += !callers[i].dead;
      printf ("held %u of %u\n", alive, callers_count);
      fflush (stdout);
    }
}
