/* Requests that crash servers: which runs are suspected, and which requests
   are kept out.  */
#include "cardamom/crash-detector.h"
#include "cardamom/crash-history.h"

#define NODES 12
#define PATHS 40 /* Popular paths, each with many requests.  */
#define RUN_MS 90
#define CULPRIT 9999 /* Fingerprint of the request that crashes servers.  */

/* A mesh in which each node knows all crash records at once, or when they are
   delivered.  */
typedef struct
{
  cs_ctx_t *ctx;
  cs_crash_history_t *histories[NODES];
  GPtrArray *held; /* Records on their way to the nodes; NULL: none is.  */
  unsigned lasting_count;
  int64_t now_ms;
} mesh_t;

static void
deliver (mesh_t *mesh, const cs_record_t *record)
{
  for (int i = 0; i < NODES; i++)
    if (mesh->histories[i])
      cs_crash_history_merge (mesh->histories[i], record, mesh->now_ms);
}

static void
on_created (void *user, const cs_record_t *record)
{
  mesh_t *mesh = user;
  if (mesh->held)
    g_ptr_array_add (mesh->held, cs_record_copy (record));
  else
    deliver (mesh, record);
}

static void
on_lasting (void *user, const cs_record_t *record)
{
  mesh_t *mesh = user;
  (void)record;
  mesh->lasting_count++;
}

static const cs_crash_history_handler_t handler
    = { .created = on_created, .lasting = on_lasting };

static mesh_t *
new_mesh (void)
{
  mesh_t *mesh = g_new0 (mesh_t, 1);
  mesh->ctx = cs_ctx_new (NULL, cs_clock_boottime (), 1);
  mesh->now_ms = 1000000;
  for (int i = 0; i < NODES; i++)
    mesh->histories[i] = cs_crash_history_new (mesh->ctx, &handler, mesh);
  return mesh;
}

static void
free_mesh (mesh_t *mesh)
{
  for (int i = 0; i < NODES; i++)
    cs_crash_history_drop (mesh->histories[i]);
  cs_ctx_drop (mesh->ctx);
  g_free (mesh);
}

static void
crash_while_running (mesh_t *mesh, int node, uint64_t fingerprint,
                     int64_t started_ms)
{
  char server[32];
  g_snprintf (server, sizeof server, "s%d/%" G_GINT64_FORMAT, node,
              mesh->now_ms);
  cs_crash_history_add (mesh->histories[node], fingerprint, server,
                        started_ms * CS_MSEC, mesh->now_ms * CS_MSEC);
}

static cs_request_trust_t
trust_everywhere (mesh_t *mesh, uint64_t fingerprint)
{
  cs_request_trust_t trust
      = cs_crash_history_trust (mesh->histories[0], fingerprint);
  for (int i = 1; i < NODES; i++)
    g_assert_cmpint (cs_crash_history_trust (mesh->histories[i], fingerprint),
                     ==, trust);
  return trust;
}

/* All servers of a rack end at once.  A popular path was in flight on several
   of them: no path is kept out, and the first answer clears it.  */
static void
test_popular_paths_after_rack_failure (void)
{
  mesh_t *mesh = new_mesh ();
  GRand *random = g_rand_new_with_seed (3);
  for (int node = 0; node < NODES / 2; node++)
    for (int slot = 0; slot < 18; slot++)
      crash_while_running (
          mesh, node, (uint64_t)g_rand_int_range (random, 1, PATHS + 1),
          mesh->now_ms - g_rand_int_range (random, 1, RUN_MS));
  for (uint64_t path = 1; path <= PATHS; path++)
    g_assert_cmpint (trust_everywhere (mesh, path), !=,
                     CS_REQUEST_QUARANTINED);
  g_assert_cmpint (trust_everywhere (mesh, 1), ==, CS_REQUEST_SUSPECT);
  mesh->now_ms += 200;
  cs_crash_history_clear (mesh->histories[NODES - 1], 1, mesh->now_ms);
  g_assert_cmpint (trust_everywhere (mesh, 1), ==, CS_REQUEST_TRUSTED);
  g_assert_cmpuint (mesh->lasting_count, ==, 0);
  g_rand_free (random);
  free_mesh (mesh);
}

/* The load of the incident: 2,000 sound requests a second for popular paths,
   and one that ends every server that begins it, at another node each 100 ms,
   with two attempts.  Suspects run with no other suspect beside them, as the
   dispatcher has it.  */
static void
test_request_that_ends_every_server (void)
{
  mesh_t *mesh = new_mesh ();
  GRand *random = g_rand_new_with_seed (7);
  unsigned ended = 0, refused = 0;
  for (int arrival = 0; arrival < 200; arrival++)
    {
      for (int attempt = 0; attempt < 2; attempt++)
        {
          int node = g_rand_int_range (random, 0, NODES);
          cs_request_trust_t trust
              = cs_crash_history_trust (mesh->histories[node], CULPRIT);
          if (trust == CS_REQUEST_QUARANTINED)
            {
              refused++;
              break;
            }
          int64_t started_ms = mesh->now_ms;
          mesh->now_ms++;
          crash_while_running (mesh, node, CULPRIT, started_ms);
          ended++;
          /* What was in flight beside it is trusted, for no other suspect
             is.  */
          for (int slot = 0; slot < 17; slot++)
            {
              uint64_t path = (uint64_t)g_rand_int_range (random, 1, PATHS);
              if (cs_crash_history_trust (mesh->histories[node], path)
                  == CS_REQUEST_TRUSTED)
                crash_while_running (
                    mesh, node, path,
                    started_ms - g_rand_int_range (random, 0, RUN_MS));
            }
        }
      mesh->now_ms += 100;
      /* Each path has been answered since by one of the other servers.  */
      for (uint64_t path = 1; path < PATHS; path++)
        {
          g_assert_cmpint (trust_everywhere (mesh, path), !=,
                           CS_REQUEST_QUARANTINED);
          cs_crash_history_clear (mesh->histories[0], path, mesh->now_ms);
        }
    }
  g_test_message ("%u servers ended, %u attempts refused", ended, refused);
  g_assert_cmpuint (ended, ==, CS_QUARANTINE_CRASHES);
  g_assert_cmpuint (refused, ==, 199);
  g_assert_cmpuint (mesh->lasting_count, ==, 2);
  g_rand_free (random);
  free_mesh (mesh);
}

/* The second report of one crash, after the request has been cleared, changes
   nothing.  */
static void
test_crash_reported_twice (void)
{
  mesh_t *mesh = new_mesh ();
  cs_crash_history_t *history = mesh->histories[0];
  cs_crash_history_add (history, 5, "s1/1", (mesh->now_ms - 10) * CS_MSEC,
                        mesh->now_ms * CS_MSEC);
  cs_crash_history_clear (history, 5, mesh->now_ms + 1);
  cs_crash_history_add (history, 5, "s1/1", (mesh->now_ms - 10) * CS_MSEC,
                        (mesh->now_ms + 900) * CS_MSEC);
  g_assert_cmpint (trust_everywhere (mesh, 5), ==, CS_REQUEST_TRUSTED);
  free_mesh (mesh);
}

/* Two crashes in one millisecond, in whichever order the records are held: a
   retry that began after the first crash is the second one, a run that began
   before it is not.  */
static void
test_two_crashes_in_one_millisecond (void)
{
  /* The start and the crash of the second run, in microseconds after the first
     crash.  */
  static const struct
  {
    cs_usec_t started, crashed;
    cs_request_trust_t trust;
  } cases[] = { { 100, 400, CS_REQUEST_QUARANTINED },
                { 0, 0, CS_REQUEST_QUARANTINED },
                { -100, 400, CS_REQUEST_SUSPECT },
                { -100, 0, CS_REQUEST_SUSPECT } };
  mesh_t *mesh = new_mesh ();
  const cs_usec_t now = mesh->now_ms * CS_MSEC + 500;
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    for (int order = 0; order < NODES; order++)
      {
        uint64_t fingerprint = 1 + i * NODES + (uint64_t)order;
        char first[8], second[8];
        g_snprintf (first, sizeof first, "s%d", order);
        g_snprintf (second, sizeof second, "s%d", (order + 5) % NODES);
        cs_crash_history_add (mesh->histories[0], fingerprint, first,
                              now - 3 * CS_MSEC, now);
        cs_crash_history_add (mesh->histories[1], fingerprint, second,
                              now + cases[i].started, now + cases[i].crashed);
        g_assert_cmpint (trust_everywhere (mesh, fingerprint), ==,
                         cases[i].trust);
      }
  free_mesh (mesh);
}

/* The node of the second crash hears of the first one afterwards: the records
   are stored then, by that node only.  */
static void
test_first_crash_heard_of_last (void)
{
  mesh_t *mesh = new_mesh ();
  mesh->held = cs_record_list_new ();
  crash_while_running (mesh, 0, CULPRIT, mesh->now_ms - 3);
  mesh->now_ms++;
  crash_while_running (mesh, 1, CULPRIT, mesh->now_ms);
  g_assert_cmpuint (mesh->lasting_count, ==, 0);
  for (guint i = 0; i < mesh->held->len; i++)
    deliver (mesh, mesh->held->pdata[i]);
  g_assert_cmpint (trust_everywhere (mesh, CULPRIT), ==,
                   CS_REQUEST_QUARANTINED);
  g_assert_cmpuint (mesh->lasting_count, ==, 2);
  g_ptr_array_unref (mesh->held);
  free_mesh (mesh);
}

/* A node that has just started gets the requests in quarantine, and only
   those; they expire.  */
static void
test_quarantine_for_new_node (void)
{
  mesh_t *mesh = new_mesh ();
  crash_while_running (mesh, 0, CULPRIT, mesh->now_ms - 1);
  crash_while_running (mesh, 0, 3, mesh->now_ms - 20);
  mesh->now_ms += 50;
  crash_while_running (mesh, 1, CULPRIT, mesh->now_ms - 1);
  GPtrArray *records = cs_crash_history_quarantined (mesh->histories[5]);
  g_assert_cmpuint (records->len, ==, 2);
  cs_crash_history_t *started
      = cs_crash_history_new (mesh->ctx, &handler, mesh);
  for (guint i = 0; i < records->len; i++)
    cs_crash_history_merge (started, records->pdata[i], mesh->now_ms);
  g_assert_cmpint (cs_crash_history_trust (started, CULPRIT), ==,
                   CS_REQUEST_QUARANTINED);
  g_assert_cmpint (cs_crash_history_trust (started, 3), ==,
                   CS_REQUEST_TRUSTED);
  cs_crash_history_expire (started, mesh->now_ms + CS_CRASH_RECORD_TTL_MS);
  g_assert_cmpint (cs_crash_history_trust (started, CULPRIT), ==,
                   CS_REQUEST_TRUSTED);
  cs_crash_history_drop (started);
  g_ptr_array_unref (records);
  free_mesh (mesh);
}

/* Far more servers end than a node holds records for: it holds a bounded
   number, and the trust of a request that it knows stays as it is.  */
static void
test_more_crashes_than_are_held (void)
{
  mesh_t *mesh = new_mesh ();
  cs_crash_history_t *history = mesh->histories[0];
  for (uint64_t i = 1; i < NODES; i++)
    {
      cs_crash_history_drop (mesh->histories[i]);
      mesh->histories[i] = NULL;
    }
  crash_while_running (mesh, 0, CULPRIT, mesh->now_ms - 1);
  mesh->now_ms += 10;
  crash_while_running (mesh, 0, CULPRIT, mesh->now_ms - 1);
  for (uint64_t i = 0; i < 20000; i++)
    crash_while_running (mesh, 0, 100000 + i, mesh->now_ms - 1);
  g_assert_cmpint (cs_crash_history_trust (history, 100000), ==,
                   CS_REQUEST_SUSPECT);
  g_assert_cmpint (cs_crash_history_trust (history, 100000 + 19999), ==,
                   CS_REQUEST_TRUSTED);
  g_assert_cmpint (cs_crash_history_trust (history, CULPRIT), ==,
                   CS_REQUEST_QUARANTINED);
  cs_crash_history_clear (history, CULPRIT, mesh->now_ms + 1);
  g_assert_cmpint (cs_crash_history_trust (history, CULPRIT), ==,
                   CS_REQUEST_TRUSTED);
  cs_crash_history_drop (history);
  cs_ctx_drop (mesh->ctx);
  g_free (mesh);
}

/* An answer to a request that was sent after a run had ended shows that the
   run did not end the server; an earlier request's answer shows nothing.  */
static void
test_detector_after_answers (void)
{
  cs_crash_detector_t detector;
  cs_crash_detector_init (&detector);
  for (uint64_t i = 1; i <= 3; i++)
    cs_crash_detector_add (
        &detector, &(cs_unanswered_run_t){ .fingerprint = i,
                                           .ended_at = (cs_usec_t)i * 100 });
  cs_crash_detector_note_answer (&detector, 100);
  cs_crash_detector_note_answer (&detector, 250);
  GArray *runs = cs_crash_detector_take (&detector);
  g_assert_cmpuint (runs->len, ==, 1);
  g_assert_cmpuint (g_array_index (runs, cs_unanswered_run_t, 0).fingerprint,
                    ==, 3);
  g_array_unref (runs);
  runs = cs_crash_detector_take (&detector);
  g_assert_cmpuint (runs->len, ==, 0);
  g_array_unref (runs);
  cs_crash_detector_clear (&detector);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/crash/popular-paths-after-rack-failure",
                   test_popular_paths_after_rack_failure);
  g_test_add_func ("/crash/request-that-ends-every-server",
                   test_request_that_ends_every_server);
  g_test_add_func ("/crash/reported-twice", test_crash_reported_twice);
  g_test_add_func ("/crash/two-in-one-millisecond",
                   test_two_crashes_in_one_millisecond);
  g_test_add_func ("/crash/first-heard-of-last",
                   test_first_crash_heard_of_last);
  g_test_add_func ("/crash/new-node", test_quarantine_for_new_node);
  g_test_add_func ("/crash/more-than-are-held",
                   test_more_crashes_than_are_held);
  g_test_add_func ("/crash/detector", test_detector_after_answers);
  return g_test_run ();
}
