/* The sub-command "explain": prints the log lines of one request from the logs
   of several nodes, with what each node knew at that time.  */
#include <stdio.h>
#include <string.h>

#include "ctl.h"

/* A log line "time=T node=N event=E ...".  TIME, NODE and EVENT point into
   TEXT, which the line owns.  */
typedef struct
{
  char *text;
  cs_str_t time, node, event;
} log_line_t;

/* Events that record the state of a node: what it knew when it handled a
   request.  */
static const char *const context_events[]
    = { "start", "config", "store", "server", "move" };

static void
log_line_free (gpointer data)
{
  log_line_t *line = data;
  g_free (line->text);
  g_free (line);
}

/* The value of the field NAME in the log line TEXT, up to the next space;
   empty when there is no such field.  It points into TEXT.  */
static cs_str_t
find_value (const char *text, const char *name)
{
  char *key = g_strconcat (name, "=", NULL);
  const char *match = strstr (text, key);
  while (match && match != text && match[-1] != ' ')
    match = strstr (match + 1, key);
  if (match)
    match += strlen (key);
  g_free (key);
  return match ? (cs_str_t){ .data = match, .len = strcspn (match, " \n") }
               : (cs_str_t){ 0 };
}

/* Append the log lines of FILE to LINES, leaving out lines without a time,
   node or event.  CS_BAD_INPUT when FILE cannot be read.  */
static cs_status_t
read_log (cs_ctx_t *ctx, const char *file, GPtrArray *lines)
{
  char *content;
  GError *error = NULL;
  if (!g_file_get_contents (file, &content, NULL, &error))
    {
      cs_status_t status
          = cs_fail (ctx, CS_BAD_INPUT, "%s; give the log files of the nodes",
                     error->message);
      g_error_free (error);
      return status;
    }
  char **texts = g_strsplit (content, "\n", -1);
  g_free (content);
  for (char **text = texts; *text; text++)
    {
      log_line_t *line = g_new0 (log_line_t, 1);
      line->text = g_strdup (*text);
      line->time = find_value (line->text, "time");
      line->node = find_value (line->text, "node");
      line->event = find_value (line->text, "event");
      if (line->time.len && line->node.len && line->event.len)
        g_ptr_array_add (lines, line);
      else
        log_line_free (line);
    }
  g_strfreev (texts);
  return CS_OK;
}

/* Order lines by time.  The times are ISO 8601 in UTC, so their texts sort
   like the times.  */
static int
compare_times (gconstpointer a, gconstpointer b)
{
  const log_line_t *first = *(log_line_t *const *)a,
                   *second = *(log_line_t *const *)b;
  int order = strncmp (first->time.data, second->time.data,
                       MIN (first->time.len, second->time.len));
  return order ? order
               : (first->time.len > second->time.len)
                     - (first->time.len < second->time.len);
}

/* Print LINE after INDENT without the names of its first three fields.  */
static void
print_line (const log_line_t *line, const char *indent)
{
  const char *fields = line->event.data + line->event.len;
  printf ("%s%.*s %.*s %.*s%s\n", indent, (int)line->time.len, line->time.data,
          (int)line->node.len, line->node.data, (int)line->event.len,
          line->event.data, fields);
}

/* The last line before index END in which NODE logged EVENT, or NULL.  */
static const log_line_t *
find_last_event (const GPtrArray *lines, guint end, cs_str_t node,
                 const char *event)
{
  while (end-- > 0)
    {
      const log_line_t *line = lines->pdata[end];
      if (cs_str_equal (line->node, node)
          && cs_str_equal (line->event, cs_str_of (event)))
        return line;
    }
  return NULL;
}

/* For each event in context_events, print the last line in which NODE logged
   it before index END.  */
static void
print_context (const GPtrArray *lines, guint end, cs_str_t node)
{
  printf ("what %.*s believed then:\n", (int)node.len, node.data);
  for (size_t i = 0; i < G_N_ELEMENTS (context_events); i++)
    {
      const log_line_t *line
          = find_last_event (lines, end, node, context_events[i]);
      if (line)
        print_line (line, "  ");
    }
}

int
cmd_explain (ctl_t *ctl)
{
  const char *id = ctl_argument (ctl, 0), *file;
  GPtrArray *lines = g_ptr_array_new_with_free_func (log_line_free);
  cs_status_t status = CS_OK;
  /* The node that logged the previous line of the request.  Its context is not
     printed again for the next line.  */
  cs_str_t context_node = { 0 };
  unsigned match_count = 0;
  for (guint i = 1; status == CS_OK && (file = ctl_argument (ctl, i)); i++)
    status = read_log (ctl->ctx, file, lines);
  if (status != CS_OK)
    {
      g_ptr_array_unref (lines);
      return ctl_fail (ctl, status);
    }
  g_ptr_array_sort (lines, compare_times);
  for (guint i = 0; i < lines->len; i++)
    {
      const log_line_t *line = lines->pdata[i];
      if (!cs_str_equal (find_value (line->text, "id"), cs_str_of (id)))
        continue;
      match_count++;
      print_line (line, "");
      /* A "node" field after the event names the node to which the request was
         sent.  */
      cs_str_t other_node
          = find_value (line->event.data + line->event.len, "node");
      if (!cs_str_equal (context_node, line->node))
        print_context (lines, i, line->node);
      context_node = line->node;
      if (other_node.len && !cs_str_equal (other_node, CS_STR ("-"))
          && !cs_str_equal (other_node, line->node))
        print_context (lines, i, other_node);
    }
  if (!match_count)
    printf ("no line names %s: it was served, another node took it, or the "
            "bounds held its line back (event dropped)\n",
            id);
  g_ptr_array_unref (lines);
  return match_count ? EXIT_DONE : EXIT_FAILED;
}
