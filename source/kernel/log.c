#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "cardamom/log.h"

#define FACILITY_DAEMON 24 /* LOG_DAEMON of syslog, times eight.  */
#define LINE_MAX_BYTES 2048

static char identity[128] = "cardamom";
static cs_log_level_t threshold = CS_LOG_INFO;

void
cs_log_open (const char *program, const char *node, cs_log_level_t level)
{
  snprintf (identity, sizeof identity, "%s%s%s", program, node ? "/" : "",
            node ? node : "");
  threshold = level;
}

int
cs_log_level_parse (const char *word)
{
  static const struct
  {
    const char *word;
    int level;
  } words[] = { { "err", CS_LOG_ERR },
                { "warning", CS_LOG_WARNING },
                { "notice", CS_LOG_NOTICE },
                { "info", CS_LOG_INFO } };
  for (size_t i = 0; i < G_N_ELEMENTS (words); i++)
    if (strcmp (word, words[i].word) == 0)
      return words[i].level;
  return -1;
}

static void
replace_control_characters (char *text)
{
  for (; *text; text++)
    if ((unsigned char)*text < 0x20 || *text == 0x7f)
      *text = '?';
}

void
cs_log (cs_log_level_t level, const char *event, const char *format, ...)
{
  if (level > threshold)
    return;
  char line[LINE_MAX_BYTES];
  struct timespec now;
  struct tm utc;
  char when[32];
  clock_gettime (CLOCK_REALTIME, &now);
  gmtime_r (&now.tv_sec, &utc);
  strftime (when, sizeof when, "%Y-%m-%dT%H:%M:%S", &utc);
  int head
      = snprintf (line, sizeof line, "<%d>%s.%03ldZ %s[%ld]: event=%s ",
                  FACILITY_DAEMON + (int)level, when, now.tv_nsec / 1000000,
                  identity, (long)getpid (), event);
  va_list args;
  va_start (args, format);
  vsnprintf (line + head, sizeof line - (size_t)head - 1, format, args);
  va_end (args);
  replace_control_characters (line);
  strcat (line, "\n");
  fputs (line, stderr);
}
