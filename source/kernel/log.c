#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "cardamom/log.h"

/* The facility part of a syslog priority: LOG_DAEMON (3) times 8.  */
#define FACILITY_DAEMON 24
/* Size of a line with its newline and NUL; longer ones are truncated.  */
#define LINE_MAX_BYTES 2048

static char process_name[128] = "cardamom";
static cs_log_level_t threshold = CS_LOG_INFO;

void
cs_log_init (const char *program, const char *node, cs_log_level_t level)
{
  snprintf (process_name, sizeof process_name, "%s%s%s", program,
            node ? "/" : "", node ? node : "");
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
  char timestamp[32];
  clock_gettime (CLOCK_REALTIME, &now);
  gmtime_r (&now.tv_sec, &utc);
  strftime (timestamp, sizeof timestamp, "%Y-%m-%dT%H:%M:%S", &utc);
  int prefix_len
      = snprintf (line, sizeof line, "<%d>%s.%03ldZ %s[%ld]: event=%s ",
                  FACILITY_DAEMON + (int)level, timestamp,
                  now.tv_nsec / 1000000, process_name, (long)getpid (), event);
  va_list args;
  va_start (args, format);
  vsnprintf (line + prefix_len, sizeof line - (size_t)prefix_len - 1, format,
             args);
  va_end (args);
  replace_control_characters (line);
  strcat (line, "\n");
  fputs (line, stderr);
}
