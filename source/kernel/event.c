#include <limits.h>
#include <poll.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "cardamom/event.h"

#define BUFFER_MAX 65536 /* Bytes noted and not yet written.  */
#define LINE_MAX_BYTES 1024

static struct
{
  const char *name;
  unsigned rate;
  const char *help;
} table[] = {
#define ROW(id, name, rate, help) { name, rate, help },
  CS_EVENT_TABLE (ROW)
#undef ROW
};

static GMutex lock;
static GString *buffer;
static char identity[96];
static time_t second;
static unsigned noted[CS_EVENT_COUNT];
static unsigned dropped;

const char *
cs_event_name (cs_event_t event)
{
  return table[event].name;
}

const char *
cs_event_help (cs_event_t event)
{
  return table[event].help;
}

void
cs_event_open (const char *node)
{
  g_strlcpy (identity, node, sizeof identity);
}

static void
append_line (const struct timespec *now, cs_event_t event, const char *text)
{
  struct tm utc;
  char when[32];
  gmtime_r (&now->tv_sec, &utc);
  strftime (when, sizeof when, "%Y-%m-%dT%H:%M:%S", &utc);
  g_string_append_printf (buffer, "time=%s.%03ldZ node=%s event=%s %s\n", when,
                          now->tv_nsec / 1000000, identity, table[event].name,
                          text);
}

/* Start the next second of the bounds, and tell what the last one dropped. */
static void
turn_second (const struct timespec *now)
{
  if (now->tv_sec == second)
    return;
  second = now->tv_sec;
  memset (noted, 0, sizeof noted);
  if (dropped)
    {
      char text[64];
      snprintf (text, sizeof text, "lines=%u", dropped);
      dropped = 0;
      append_line (now, CS_E_DROPPED, text);
    }
}

void
cs_event (cs_event_t event, const char *format, ...)
{
  struct timespec now;
  char text[LINE_MAX_BYTES];
  va_list args;
  clock_gettime (CLOCK_REALTIME, &now);
  g_mutex_lock (&lock);
  if (!buffer)
    buffer = g_string_new (NULL);
  turn_second (&now);
  if (noted[event] >= table[event].rate || buffer->len > BUFFER_MAX)
    dropped++;
  else
    {
      noted[event]++;
      va_start (args, format);
      vsnprintf (text, sizeof text, format, args);
      va_end (args);
      for (char *c = text; *c; c++)
        if ((unsigned char)*c < 0x20 || *c == 0x7f)
          *c = '?';
      append_line (&now, event, text);
    }
  g_mutex_unlock (&lock);
}

void
cs_event_flush (void)
{
  /* A pipe that polls writable takes PIPE_BUF bytes without blocking.  */
  struct pollfd out = { .fd = STDOUT_FILENO, .events = POLLOUT };
  g_mutex_lock (&lock);
  while (buffer && buffer->len && poll (&out, 1, 0) == 1
         && (out.revents & POLLOUT))
    {
      ssize_t n = write (STDOUT_FILENO, buffer->str,
                         MIN (buffer->len, (gsize)PIPE_BUF));
      if (n <= 0)
        break;
      g_string_erase (buffer, 0, n);
    }
  g_mutex_unlock (&lock);
}
