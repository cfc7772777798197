/* Syslog-style log lines on standard error.  They report changes of state,
   not single requests.  */
#ifndef CARDAMOM_LOG_H
#define CARDAMOM_LOG_H

#include <glib.h>

/* Severities with the numbers of syslog.  */
typedef enum
{
  CS_LOG_ERR = 3,
  CS_LOG_WARNING = 4,
  CS_LOG_NOTICE = 5,
  CS_LOG_INFO = 6
} cs_log_level_t;

/* Set the program name and the node name (NULL for none) that every line
   carries, and suppress lines less severe than LEVEL.  */
void cs_log_init (const char *program, const char *node, cs_log_level_t level);

/* The cs_log_level_t named by WORD: "err", "warning", "notice" or "info"; -1
   for any other word.  */
int cs_log_level_parse (const char *word);

/* Write "<priority>time program/node[pid]: event=EVENT key=value ...".
   FORMAT gives the key=value part.  Control characters are replaced by
   '?'.  */
void cs_log (cs_log_level_t level, const char *event, const char *format, ...)
    G_GNUC_PRINTF (3, 4);

#endif
