/* cardamom-sidecar: the proxy beside a backend server, on an event loop.  An
   adapter connects it to the platform.  */
#include <argtable2.h>
#include <malloc.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

#include "cardamom/net.h"
#include "control.h"

static int
print_reference (void)
{
  GString *out = g_string_new (NULL);
  node_settings_write_reference (out);
  g_string_append (out, "\n| event | meaning |\n|---|---|\n");
  for (int i = 0; i < CS_EVENT_COUNT; i++)
    g_string_append_printf (out, "| `%s` | %s |\n",
                            cs_event_name ((cs_event_t)i),
                            cs_event_help ((cs_event_t)i));
  fputs (out->str, stdout);
  g_string_free (out, TRUE);
  return 0;
}

static int
check_settings (const char *path)
{
  node_settings_t settings;
  cs_ctx_t *ctx = cs_ctx_new (NULL, cs_clock_boottime (), 1);
  cs_status_t status = node_settings_read (ctx, path, &settings);
  if (status == CS_OK)
    printf ("%s: good, node %s\n", path, settings.node);
  else
    fprintf (stderr, "cardamom-sidecar: %s\n", cs_error_message (ctx));
  cs_ctx_drop (ctx);
  return status == CS_OK ? 0 : 2;
}

#define LARGE_BUFFER_BYTES (256 << 10)

int
main (int argc, char **argv)
{
  struct arg_file *settings = arg_file0 (
      "s", "settings", "FILE", "settings (or the variable CARDAMOM_SETTINGS)");
  struct arg_lit *check
      = arg_lit0 (NULL, "check", "check the settings and exit");
  struct arg_lit *reference = arg_lit0 (
      NULL, "reference", "print the settings and events as Markdown");
  struct arg_lit *help = arg_lit0 ("h", "help", "print this");
  struct arg_lit *version = arg_lit0 (NULL, "version", "print the version");
  struct arg_end *end = arg_end (4);
  void *table[] = { settings, check, reference, help, version, end };
  int errors = arg_parse (argc, argv, table);
  if (help->count)
    {
      printf ("Usage: cardamom-sidecar");
      arg_print_syntax (stdout, table, "\n");
      arg_print_glossary (stdout, table, "  %-24s %s\n");
      return 0;
    }
  if (version->count)
    {
      puts ("cardamom-sidecar " CS_VERSION);
      return 0;
    }
  if (reference->count)
    return print_reference ();
  const char *path
      = settings->count ? settings->filename[0] : getenv ("CARDAMOM_SETTINGS");
  if (errors || !path)
    {
      arg_print_errors (stderr, end, "cardamom-sidecar");
      fputs ("cardamom-sidecar: give --settings=FILE\n", stderr);
      return 2;
    }
  if (check->count)
    return check_settings (path);
  signal (SIGPIPE, SIG_IGN);
  /* Large buffers go back to the system when they are freed.  Without this the
     allocator keeps them in its heap once some have been freed.  */
  mallopt (M_MMAP_THRESHOLD, LARGE_BUFFER_BYTES);
  mallopt (M_TRIM_THRESHOLD, 4 * LARGE_BUFFER_BYTES);
  cs_ctx_t *ctx
      = cs_ctx_new (NULL, cs_clock_boottime (), (guint32)g_random_int ());
  control_run (ctx, path);
  return 1;
}
