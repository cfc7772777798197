/* cardamomctl explain: the story of one request from the nodes' logs.  */
#include <stdio.h>
#include <string.h>

#include "ctl.h"

/* One line "time=T node=N event=E ...".  */
typedef struct
{
  char *text;
  cs_str_t time, node, event;
} line_t;

/* Kinds that tell what a node believed when it decided.  */
static const char *const beliefs[]
    = { "start", "config", "store", "server", "move" };

static void
free_line (gpointer data)
{
  line_t *line = data;
  g_free (line->text);
  g_free (line);
}

/* The value of NAME in TEXT, up to the next space; empty when there is none.
 */
static cs_str_t
value_of (const char *text, const char *name)
{
  char *sought = g_strconcat (name, "=", NULL);
  const char *at = strstr (text, sought);
  while (at && at != text && at[-1] != ' ')
    at = strstr (at + 1, sought);
  if (at)
    at += strlen (sought);
  g_free (sought);
  return at ? (cs_str_t){ .data = at, .len = strcspn (at, " \n") }
            : (cs_str_t){ 0 };
}

static cs_status_t
read_lines (cs_ctx_t *ctx, const char *file, GPtrArray *lines)
{
  char *text;
  GError *error = NULL;
  if (!g_file_get_contents (file, &text, NULL, &error))
    {
      cs_status_t status = cs_fail (
          ctx, CS_BAD_INPUT, "%s; name the nodes' log files", error->message);
      g_error_free (error);
      return status;
    }
  char **rows = g_strsplit (text, "\n", -1);
  g_free (text);
  for (char **row = rows; *row; row++)
    {
      line_t *line = g_new0 (line_t, 1);
      line->text = g_strdup (*row);
      line->time = value_of (line->text, "time");
      line->node = value_of (line->text, "node");
      line->event = value_of (line->text, "event");
      if (line->time.len && line->node.len && line->event.len)
        g_ptr_array_add (lines, line);
      else
        free_line (line);
    }
  g_strfreev (rows);
  return CS_OK;
}

/* Times are written so that their texts compare as they do.  */
static int
compare_times (gconstpointer a, gconstpointer b)
{
  const line_t *x = *(line_t *const *)a, *y = *(line_t *const *)b;
  int order
      = strncmp (x->time.data, y->time.data, MIN (x->time.len, y->time.len));
  return order ? order
               : (x->time.len > y->time.len) - (x->time.len < y->time.len);
}

static void
print_line (const line_t *line, const char *margin)
{
  const char *rest = line->event.data + line->event.len;
  printf ("%s%.*s %.*s %.*s%s\n", margin, (int)line->time.len, line->time.data,
          (int)line->node.len, line->node.data, (int)line->event.len,
          line->event.data, rest);
}

/* What NODE last said of EVENT before line number END; NULL: nothing.  */
static const line_t *
last_before (const GPtrArray *lines, guint end, cs_str_t node,
             const char *event)
{
  while (end-- > 0)
    {
      const line_t *line = lines->pdata[end];
      if (cs_str_equal (line->node, node)
          && cs_str_equal (line->event, cs_str_of (event)))
        return line;
    }
  return NULL;
}

static void
print_beliefs (const GPtrArray *lines, guint end, cs_str_t node)
{
  printf ("what %.*s believed then:\n", (int)node.len, node.data);
  for (size_t i = 0; i < G_N_ELEMENTS (beliefs); i++)
    {
      const line_t *line = last_before (lines, end, node, beliefs[i]);
      if (line)
        print_line (line, "  ");
    }
}

int
cmd_explain (ctl_t *ctl)
{
  const char *id = ctl_word (ctl, 0), *file;
  GPtrArray *lines = g_ptr_array_new_with_free_func (free_line);
  cs_status_t status = CS_OK;
  cs_str_t told = { 0 }; /* Node whose beliefs were printed last.  */
  unsigned found = 0;
  for (guint i = 1; status == CS_OK && (file = ctl_word (ctl, i)); i++)
    status = read_lines (ctl->ctx, file, lines);
  if (status != CS_OK)
    {
      g_ptr_array_unref (lines);
      return ctl_fail (ctl, status);
    }
  g_ptr_array_sort (lines, compare_times);
  for (guint i = 0; i < lines->len; i++)
    {
      const line_t *line = lines->pdata[i];
      if (!cs_str_equal (value_of (line->text, "id"), cs_str_of (id)))
        continue;
      found++;
      print_line (line, "");
      cs_str_t other = value_of (line->event.data + line->event.len, "node");
      if (!cs_str_equal (told, line->node))
        print_beliefs (lines, i, line->node);
      told = line->node;
      if (other.len && !cs_str_equal (other, CS_STR ("-"))
          && !cs_str_equal (other, line->node))
        print_beliefs (lines, i, other);
    }
  if (!found)
    printf ("no line names %s: it was served, another node took it, or the "
            "bounds held its line back (event dropped)\n",
            id);
  g_ptr_array_unref (lines);
  return found ? EXIT_DONE : EXIT_FAILED;
}
