/* Uploads for seven servers behind links of 10 Mbit/s, beside small calls on
   the same links, at more than the links carry: with the promises of
   source/run/link.c, and sent without.  No network; seeded.  */
#include <glib.h>
#include <math.h>

#include "cardamom/link.h"

#define SERVERS 7
#define MBPS 10.0
#define UPLOADS_PER_S 200.0 /* 12 MB/s; the links carry 8.75.  */
#define CALLS_PER_S 150.0
#define UPLOAD_BYTES 60000.0
#define CALL_BYTES 800.0
#define UPLOAD_TARGET (800 * CS_MSEC)
#define UPLOAD_DEADLINE (2000 * CS_MSEC)
#define CALL_TARGET (100 * CS_MSEC)
#define RUN_TIME (120 * CS_MSEC)
#define STEP (1 * CS_MSEC)
#define SECONDS 20
#define TRIES 3

/* A body that is sent AT.  */
typedef struct
{
  double bytes;
  cs_usec_t asked_at, at;
} body_t;

typedef struct
{
  cs_link_t promised;
  GQueue held;          /* body_t *, in order.  */
  cs_usec_t busy_until; /* When all that was sent has crossed the link.  */
} server_t;

typedef struct
{
  unsigned uploads, uploads_in_target, calls, calls_in_target;
  double sent, served; /* Bytes of uploads.  */
} result_t;

static double
upload_bytes (GRand *random)
{
  double z = -6;
  for (int i = 0; i < 12; i++)
    z += g_rand_double (random);
  return MIN (UPLOAD_BYTES * exp (0.6 * z - 0.18), 6 * UPLOAD_BYTES);
}

/* Send BYTES to SERVER at NOW; returns when they have arrived.  */
static cs_usec_t
cross (server_t *server, double bytes, cs_usec_t now)
{
  server->busy_until = MAX (server->busy_until, now)
                       + cs_link_transfer_time (MBPS, (size_t)bytes);
  return server->busy_until;
}

static void
upload (server_t servers[SERVERS], bool promises, GRand *random,
        result_t *result, cs_usec_t now)
{
  double bytes = upload_bytes (random);
  bool tried[SERVERS] = { false };
  cs_link_request_t request = { .bytes = (size_t)bytes,
                                .run_time = RUN_TIME,
                                .target_remaining = UPLOAD_TARGET,
                                .latency_target = UPLOAD_TARGET,
                                .deadline_remaining = UPLOAD_DEADLINE };
  result->uploads++;
  for (int i = 0; i < TRIES; i++)
    {
      int at = g_rand_int_range (random, 0, SERVERS);
      if (tried[at])
        continue;
      tried[at] = true;
      cs_usec_t hold = 0;
      if (promises && cs_link_must_ask (MBPS, request.bytes)
          && !cs_link_reserve (&servers[at].promised, &request, now, &hold))
        continue;
      body_t *body = g_new (body_t, 1);
      *body = (body_t){ .bytes = bytes, .asked_at = now, .at = now + hold };
      g_queue_push_tail (&servers[at].held, body);
      return;
    }
}

/* Send the bodies for SERVER whose time has come.  */
static void
send_due (server_t *server, result_t *result, cs_usec_t now)
{
  body_t *body;
  while ((body = g_queue_peek_head (&server->held)) && body->at <= now)
    {
      cs_usec_t arrived = cross (server, body->bytes, now);
      result->sent += body->bytes;
      if (arrived + RUN_TIME - body->asked_at <= UPLOAD_TARGET)
        {
          result->uploads_in_target++;
          result->served += body->bytes;
        }
      g_free (g_queue_pop_head (&server->held));
    }
}

static result_t
play (bool promises, double load, guint32 seed)
{
  server_t servers[SERVERS] = { 0 };
  result_t result = { 0 };
  GRand *random = g_rand_new_with_seed (seed);
  for (int i = 0; i < SERVERS; i++)
    cs_link_init (&servers[i].promised, MBPS);
  for (cs_usec_t now = CS_SEC; now < SECONDS * CS_SEC; now += STEP)
    {
      if (g_rand_double (random) < UPLOADS_PER_S * load / 1000)
        upload (servers, promises, random, &result, now);
      for (int i = 0; i < SERVERS; i++)
        send_due (&servers[i], &result, now);
      if (g_rand_double (random) < CALLS_PER_S / 1000)
        {
          server_t *server = &servers[g_rand_int_range (random, 0, SERVERS)];
          result.calls++;
          /* A large body takes its time in pieces between others: a small call
             waits for what is on the link before it.  */
          result.calls_in_target
              += cross (server, CALL_BYTES, now) - now <= CALL_TARGET;
        }
    }
  for (int i = 0; i < SERVERS; i++)
    g_queue_clear_full (&servers[i].held, g_free);
  g_rand_free (random);
  g_test_message ("%s, load %.1f: uploads in target %.3f, bytes sent for each "
                  "served %.2f, small calls in time %.3f",
                  promises ? "promises" : "sent without", load,
                  (double)result.uploads_in_target / result.uploads,
                  result.sent / MAX (result.served, 1),
                  (double)result.calls_in_target / result.calls);
  return result;
}

/* More is uploaded than the links carry.  Guards against uploads that all come
   too late, and bytes that cross the link for nothing.  */
static void
test_uploads_over_links (void)
{
  result_t before = play (false, 1.0, 1), after = play (true, 1.0, 1);
  g_assert_cmpuint (after.uploads_in_target, >, 3 * before.uploads_in_target);
  g_assert_cmpfloat ((double)after.uploads_in_target / after.uploads, >, 0.5);
  g_assert_cmpfloat (after.sent / after.served, <=, 1.1);
  /* A promise is not told before its turn, so that small calls get through. */
  g_assert_cmpfloat ((double)after.calls_in_target / after.calls, >, 0.8);
  g_assert_cmpuint (after.calls_in_target, >, before.calls_in_target);
}

/* Within what the links carry nearly nothing is refused.  */
static void
test_uploads_within_links (void)
{
  result_t after = play (true, 0.5, 2);
  g_assert_cmpfloat ((double)after.uploads_in_target / after.uploads, >, 0.95);
}

static void
test_promises (void)
{
  cs_link_t link;
  cs_link_request_t request = { .bytes = 850000, /* 0.8 s at 85 %.  */
                                .run_time = 100 * CS_MSEC,
                                .target_remaining = 950 * CS_MSEC,
                                .latency_target = 950 * CS_MSEC,
                                .deadline_remaining = 2 * CS_SEC };
  cs_usec_t hold;
  cs_link_init (&link, MBPS);
  g_assert_true (cs_link_reserve (&link, &request, 0, &hold));
  g_assert_cmpint (cs_link_wait (&link, 0), ==, 800 * CS_MSEC);
  g_assert_false (cs_link_reserve (&link, &request, 0, &hold));
  /* A refusal promises nothing.  */
  g_assert_cmpint (cs_link_wait (&link, 0), ==, 800 * CS_MSEC);
  g_assert_true (cs_link_reserve (&link, &request, 800 * CS_MSEC, &hold));
  /* Late in any case: after a short wait only.  */
  request.target_remaining = 0;
  g_assert_false (cs_link_reserve (&link, &request, 900 * CS_MSEC, &hold));
  g_assert_true (cs_link_reserve (&link, &request, 1600 * CS_MSEC, &hold));
  request.deadline_remaining = 0;
  g_assert_false (cs_link_reserve (&link, &request, 9 * CS_SEC, &hold));
  /* The link's speed is not known.  */
  cs_link_init (&link, 0);
  g_assert_true (cs_link_reserve (&link, &request, 0, &hold));
  g_assert_false (cs_link_must_ask (0, 1 << 30));
  g_assert_false (cs_link_must_ask (MBPS, 4000));
  g_assert_true (cs_link_must_ask (MBPS, 60000));
  g_assert_false (cs_link_must_ask (1000, 60000));
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/link/uploads-over-links", test_uploads_over_links);
  g_test_add_func ("/link/uploads-within-links", test_uploads_within_links);
  g_test_add_func ("/link/promises", test_promises);
  return g_test_run ();
}
