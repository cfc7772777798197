#include <limits.h>
#include <poll.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "cardamom/event.h"

/* Lines are dropped while more than this is buffered.  */
#define BUFFER_MAX_BYTES 65536
/* Size of a line's key=value part with its NUL; longer ones are truncated.  */
#define TEXT_MAX_BYTES 1024

static struct
{
  const char *name;
  unsigned rate; /* Lines per second at most.  */
  const char *help;
} descriptions[] = {
#define ROW(id, name, rate, help) { name, rate, help },
  CS_EVENT_TABLE (ROW)
#undef ROW
};

static GMutex lock; /* Guards the variables below except node_name.  */
static GString *buffer;
static char node_name[96];
static time_t current_second;
static unsigned line_counts[CS_EVENT_COUNT];
static unsigned dropped_lines;

const char *
cs_event_name (cs_event_t event)
{
  return descriptions[event].name;
}

const char *
cs_event_help (cs_event_t event)
{
  return descriptions[event].help;
}

void
cs_event_set_node (const char *node)
{
  g_strlcpy (node_name, node, sizeof node_name);
}

static void
append_line (const struct timespec *now, cs_event_t event, const char *text)
{
  struct tm utc;
  char timestamp[32];
  gmtime_r (&now->tv_sec, &utc);
  strftime (timestamp, sizeof timestamp, "%Y-%m-%dT%H:%M:%S", &utc);
  g_string_append_printf (buffer, "time=%s.%03ldZ node=%s event=%s %s\n",
                          timestamp, now->tv_nsec / 1000000, node_name,
                          descriptions[event].name, text);
}

/* When a new second has begun, reset the rate limits and log how many lines
   were dropped since the last report.  */
static void
begin_second (const struct timespec *now)
{
  if (now->tv_sec == current_second)
    return;
  current_second = now->tv_sec;
  memset (line_counts, 0, sizeof line_counts);
  if (dropped_lines)
    {
      char text[64];
      snprintf (text, sizeof text, "lines=%u", dropped_lines);
      dropped_lines = 0;
      append_line (now, CS_E_DROPPED, text);
    }
}

void
cs_event_log (cs_event_t event, const char *format, ...)
{
  struct timespec now;
  char text[TEXT_MAX_BYTES];
  va_list args;
  clock_gettime (CLOCK_REALTIME, &now);
  g_mutex_lock (&lock);
  if (!buffer)
    buffer = g_string_new (NULL);
  begin_second (&now);
  if (line_counts[event] >= descriptions[event].rate
      || buffer->len > BUFFER_MAX_BYTES)
    dropped_lines++;
  else
    {
      line_counts[event]++;
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
  /* A pipe that polls as writable accepts PIPE_BUF bytes without blocking.  */
  struct pollfd out = { .fd = STDOUT_FILENO, .events = POLLOUT };
  g_mutex_lock (&lock);
  while (buffer && buffer->len && poll (&out, 1, 0) == 1
         && (out.revents & POLLOUT))
    {
      ssize_t written = write (STDOUT_FILENO, buffer->str,
                               MIN (buffer->len, (gsize)PIPE_BUF));
      if (written <= 0)
        break;
      g_string_erase (buffer, 0, written);
    }
  g_mutex_unlock (&lock);
}
