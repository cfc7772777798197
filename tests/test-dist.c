/* Distribution of versions among a few machines: messages are function calls
   through a queue, the store is the embedded platform, faults are flags.  */
#include <string.h>

#include "cardamom/cardamom.h"

#define NODES 9
#define PER_DC 3

typedef struct
{
  char name[8];
  cs_members_t *members;
  cs_dist_t *dist;
  int64_t in_force, highest;
  int number_in_force; /* Times a version came in force.  */
  bool up;
} machine_t;

typedef struct
{
  int from, to;
  GString *payload;
} letter_t;

static struct
{
  cs_ctx_t *ctx;
  cs_manual_clock_t clock;
  cs_platform_t *platform;
  machine_t machines[NODES];
  GQueue letters;
  bool store_down;
  int store_reads;
  int cut_dc;   /* A data centre that is cut off; -1: none.  */
  bool corrupt; /* Damage the documents of changes on their way.  */
  int mute;     /* A machine whose letters are lost; -1: none.  */
} world;

static int
dc_of (int i)
{
  return i / PER_DC;
}

static cs_status_t
store_status (void)
{
  world.store_reads++;
  return world.store_down ? CS_UNAVAILABLE : CS_OK;
}

/* Store reads are answered at the next step; their kind is kept here.  */
static struct
{
  bool head, docs, changes;
  int64_t after;
} asked[NODES];

static void
read_head (void *user)
{
  asked[(machine_t *)user - world.machines].head = true;
}

static void
read_docs (void *user)
{
  asked[(machine_t *)user - world.machines].docs = true;
}

static void
read_changes (void *user, int64_t after)
{
  asked[(machine_t *)user - world.machines].changes = true;
  asked[(machine_t *)user - world.machines].after = after;
}

static void
send_message (void *user, const char *node, const cs_dist_message_t *message)
{
  cs_pack_t pack;
  letter_t *letter = g_new0 (letter_t, 1);
  cs_pack_init (&pack);
  cs_pack_array (&pack, 1);
  cs_dist_message_pack (&pack, message);
  cs_str_t payload = cs_pack_payload (&pack);
  letter->from = (int)((machine_t *)user - world.machines);
  letter->to = node[1] - '0';
  letter->payload = g_string_new_len (payload.data, (gssize)payload.len);
  g_queue_push_tail (&world.letters, letter);
  cs_pack_clear (&pack);
}

static void
in_force (void *user, cs_snapshot_t *snapshot)
{
  machine_t *m = user;
  /* The invariant of every test here: never to a lower version.  */
  g_assert_cmpint (snapshot->version, >, m->in_force);
  m->in_force = snapshot->version;
  m->highest = MAX (m->highest, m->in_force);
  m->number_in_force++;
  cs_snapshot_drop (world.ctx, snapshot);
}

static const cs_dist_ops_t ops = {
  .read_head = read_head,
  .read_changes = read_changes,
  .read_docs = read_docs,
  .send = send_message,
  .in_force = in_force,
};

static void
start_machine (int i)
{
  static const char *const dcs[] = { "a", "b", "c" };
  static const char *const regions[] = { "east", "east", "west" };
  machine_t *m = &world.machines[i];
  g_snprintf (m->name, sizeof m->name, "m%d", i);
  m->up = true;
  m->in_force = 0;
  cs_identity_t self = { .name = m->name,
                         .host = "127.0.0.1",
                         .port = 1000 + (unsigned)i,
                         .dc = dcs[dc_of (i)],
                         .region = regions[dc_of (i)] };
  m->members = cs_members_new (world.ctx, &self);
  m->dist = cs_dist_new (world.ctx, m->members, &cs_dist_defaults, &ops, m);
}

static void
stop_machine (int i)
{
  machine_t *m = &world.machines[i];
  if (!m->up)
    return;
  m->up = false;
  cs_dist_drop (world.ctx, m->dist);
  cs_members_drop (world.ctx, m->members);
  memset (&asked[i], 0, sizeof asked[i]);
}

/* Everybody who is up knows the others as they are, and holds those that are
   down to be in state HEALTH.  */
static void
introduce_with (cs_health_t health)
{
  static const uint64_t nothing[CS_RECORD_BUCKETS];
  for (int i = 0; i < NODES; i++)
    for (int j = 0; j < NODES; j++)
      {
        machine_t *a = &world.machines[i], *b = &world.machines[j];
        if (i == j || !a->up)
          continue;
        if (!b->up)
          {
            const cs_member_t *m = cs_members_find (a->members, b->name);
            if (m && m->health != CS_DEAD)
              cs_members_accuse (world.ctx, a->members, m, health);
            continue;
          }
        GPtrArray *list = cs_record_list_new ();
        cs_records_differing (cs_members_records (b->members), nothing, list);
        for (guint k = 0; k < list->len; k++)
          cs_members_merge (world.ctx, a->members, list->pdata[k]);
        g_ptr_array_unref (list);
      }
}

static void
introduce (void)
{
  introduce_with (CS_DEAD);
}

static void
start_world (const char *store)
{
  memset (&world, 0, sizeof world);
  memset (asked, 0, sizeof asked);
  world.cut_dc = world.mute = -1;
  cs_manual_clock_init (&world.clock, 1700000000 * CS_SEC);
  world.ctx = cs_ctx_new (NULL, &world.clock.base, 1);
  cs_platform_open (world.ctx, "memory", store, &world.platform);
  for (int i = 0; i < NODES; i++)
    start_machine (i);
  introduce ();
}

static void
free_letter (gpointer data)
{
  letter_t *letter = data;
  g_string_free (letter->payload, TRUE);
  g_free (letter);
}

static void
end_world (void)
{
  for (int i = 0; i < NODES; i++)
    stop_machine (i);
  g_queue_clear_full (&world.letters, free_letter);
  cs_platform_drop (world.ctx, world.platform);
  cs_ctx_drop (world.ctx);
}

static int64_t
accept_version (const char *version)
{
  int64_t accepted = 0;
  char *document = g_strdup_printf ("{\"version\":\"%s\"}", version);
  cs_change_t *change = cs_change_new ();
  cs_change_add (change, "/t/services/s", document);
  cs_proposal_t proposal = {
    .team = "t", .operation = version, .expected = -1, .change = change
  };
  g_assert_cmpint (
      cs_accept (world.ctx, world.platform, &proposal, &accepted, NULL), ==,
      CS_OK);
  cs_change_free (change);
  g_free (document);
  return accepted;
}

static void
answer_store (int i)
{
  machine_t *m = &world.machines[i];
  cs_head_t head = { 0 };
  cs_docs_t *docs = NULL;
  if (asked[i].head)
    {
      asked[i].head = false;
      cs_status_t status = store_status ();
      if (status == CS_OK)
        cs_head_load (world.ctx, world.platform, &head);
      cs_dist_store_head (world.ctx, m->dist, status, &head);
    }
  if (asked[i].changes)
    {
      GPtrArray *changes = cs_changes_new ();
      asked[i].changes = false;
      cs_status_t status = store_status ();
      if (status == CS_OK)
        status = cs_changes_load (world.ctx, world.platform, asked[i].after,
                                  changes);
      cs_dist_store_changes (world.ctx, m->dist, status, changes);
      g_ptr_array_unref (changes);
    }
  if (asked[i].docs)
    {
      asked[i].docs = false;
      cs_status_t status = store_status ();
      if (status == CS_OK)
        status = cs_docs_load (world.ctx, world.platform, &head, &docs);
      cs_dist_store_docs (world.ctx, m->dist, status, &head, docs);
    }
}

static bool
is_cut (int from, int to)
{
  return dc_of (from) != dc_of (to)
         && (dc_of (from) == world.cut_dc || dc_of (to) == world.cut_dc);
}

static void
damage (cs_dist_message_t *message)
{
  for (guint i = 0; message->changes && i < message->changes->len; i++)
    {
      cs_change_t *change = message->changes->pdata[i];
      cs_set_t *set = change->sets->pdata[0];
      g_free (set->document);
      set->document = g_strdup ("{\"version\":\"evil\"}");
    }
}

static void
deliver (letter_t *letter)
{
  cs_unpack_t unpack;
  cs_cursor_t in;
  cs_dist_message_t message;
  machine_t *to = &world.machines[letter->to];
  if (to->up && world.machines[letter->from].up
      && !is_cut (letter->from, letter->to) && letter->from != world.mute)
    {
      g_assert_cmpint (cs_unpack_init (world.ctx, &unpack,
                                       cs_str_of_gstring (letter->payload),
                                       &in),
                       ==, CS_OK);
      g_assert_cmpint (cs_dist_message_take (world.ctx, &in, &message), ==,
                       CS_OK);
      if (world.corrupt)
        damage (&message);
      cs_dist_receive (world.ctx, to->dist, world.machines[letter->from].name,
                       &message);
      cs_dist_message_clear (world.ctx, &message);
      cs_unpack_clear (&unpack);
    }
  free_letter (letter);
}

/* One step of 20 ms: ticks, store answers, letters.  */
static void
step (void)
{
  cs_manual_clock_advance (&world.clock, 20 * CS_MSEC);
  for (int i = 0; i < NODES; i++)
    if (world.machines[i].up)
      {
        cs_dist_tick (world.ctx, world.machines[i].dist);
        answer_store (i);
      }
  for (guint n = world.letters.length; n > 0; n--)
    deliver (g_queue_pop_head (&world.letters));
}

static void
run_ms (int64_t ms)
{
  for (; ms > 0; ms -= 20)
    step ();
}

/* Steps until every machine that is up has VERSION; -1 when it takes more
   than the stated 4 s.  */
static int64_t
ms_until (int64_t version)
{
  for (int64_t ms = 0; ms <= 4000; ms += 20)
    {
      bool all = true;
      for (int i = 0; i < NODES; i++)
        all = all
              && (!world.machines[i].up
                  || world.machines[i].in_force == version);
      if (all)
        return ms;
      step ();
    }
  return -1;
}

static void
test_spreads_to_all (void)
{
  start_world ("dist-spread");
  run_ms (3000);
  for (int i = 0; i < NODES; i++)
    g_assert_true (cs_dist_ready (world.machines[i].dist));
  for (int v = 1; v <= 5; v++)
    {
      char name[8];
      g_snprintf (name, sizeof name, "v%d", v);
      g_assert_cmpint (accept_version (name), ==, v);
      g_assert_cmpint (ms_until (v), >=, 0);
    }
  /* Some readers poll, not every node: 10 s at 4 polls of a leader and half a
     poll of six readers a second.  */
  world.store_reads = 0;
  run_ms (10000);
  g_assert_cmpint (world.store_reads, <, 10 * (3 * 4 + 6));
  end_world ();
}

static void
test_readers_die (void)
{
  start_world ("dist-readers");
  run_ms (3000);
  accept_version ("v1");
  g_assert_cmpint (ms_until (1), >=, 0);
  for (int dc = 0; dc < NODES / PER_DC; dc++)
    for (int i = dc * PER_DC; i < (dc + 1) * PER_DC; i++)
      if (cs_members_own_rank (world.machines[i].members) == 0)
        {
          stop_machine (i);
          break;
        }
  /* A probe finds a death within 1500 ms; 2500 ms of the 4 s are left.  */
  accept_version ("v2");
  run_ms (1500);
  introduce_with (CS_SUSPECT);
  int64_t more = ms_until (2);
  g_assert_cmpint (more, >=, 0);
  g_assert_cmpint (more, <=, 2500);
  introduce ();
  accept_version ("v3");
  g_assert_cmpint (ms_until (3), >=, 0);
  end_world ();
}

static void
test_spreads_without_store (void)
{
  start_world ("dist-no-store");
  run_ms (3000);
  accept_version ("v1");
  g_assert_cmpint (ms_until (1), >=, 0);
  world.cut_dc = 2;
  accept_version ("v2");
  run_ms (300);
  world.store_down = true;
  run_ms (500);
  /* What one member of the cut off data centre knows reaches the others when
     digests are compared again.  */
  world.cut_dc = -1;
  for (int i = 6; i < 9; i++)
    {
      cs_dist_message_t hold
          = { .type = CS_DIST_HOLD, .version = 2, .ready = true };
      cs_dist_receive (world.ctx, world.machines[i].dist, "m0", &hold);
    }
  g_assert_cmpint (ms_until (2), >=, 0);
  end_world ();
}

/* A change that is damaged on its way never comes in force; what is whole in
   the store does.  */
static void
test_damage_is_refused (void)
{
  start_world ("dist-damage");
  run_ms (3000);
  accept_version ("v1");
  g_assert_cmpint (ms_until (1), >=, 0);
  uint64_t first = cs_dist_digest (world.machines[4].dist);
  cs_head_t head;
  world.corrupt = true;
  accept_version ("v2");
  cs_head_load (world.ctx, world.platform, &head);
  for (int ms = 0; ms < 4000; ms += 20)
    {
      step ();
      for (int i = 0; i < NODES; i++)
        {
          uint64_t digest = cs_dist_digest (world.machines[i].dist);
          g_assert_true (digest == first || digest == head.digest);
        }
    }
  g_assert_cmpint (ms_until (2), ==, 0);
  world.corrupt = false;
  accept_version ("v3");
  g_assert_cmpint (ms_until (3), >=, 0);
  end_world ();
}

/* A replaced machine never puts in force less than its predecessor had,
   whoever of its data centre dies with the store down.  */
static void
test_replacement_never_goes_back (void)
{
  for (guint32 seed = 1; seed <= 40; seed++)
    {
      char store[32];
      g_snprintf (store, sizeof store, "dist-replace-%u", seed);
      start_world (store);
      g_rand_set_seed (world.ctx->random, seed);
      run_ms (3000);
      accept_version ("v1");
      ms_until (1);
      accept_version ("v2");
      /* Stop at a random moment of the spreading.  */
      run_ms (20 * g_rand_int_range (world.ctx->random, 0, 40));
      world.store_down = true;
      int victim = g_rand_int_range (world.ctx->random, 0, NODES);
      int64_t had = world.machines[victim].in_force;
      stop_machine (victim);
      run_ms (20 * g_rand_int_range (world.ctx->random, 0, 10));
      start_machine (victim);
      introduce ();
      run_ms (8000);
      g_assert_cmpint (world.machines[victim].in_force, >=, had);
      end_world ();
    }
}

/* A reader whose letters are lost must not put in force what it alone holds:
   it could die, and its replacement could not know.  */
static void
test_alone_is_not_enough (void)
{
  for (int i = 0; i < NODES; i++)
    {
      char store[32];
      g_snprintf (store, sizeof store, "dist-mute-%d", i);
      start_world (store);
      run_ms (3000);
      accept_version ("v1");
      g_assert_cmpint (ms_until (1), >=, 0);
      world.mute = i;
      accept_version ("v2");
      for (int ms = 0; ms < 400; ms += 20)
        {
          step ();
          /* Others of its data centre may get it elsewhere; then it may.  */
          int holders = 0;
          for (int j = dc_of (i) * PER_DC; j < (dc_of (i) + 1) * PER_DC; j++)
            holders += world.machines[j].in_force == 2;
          g_assert_true (world.machines[i].in_force == 1 || holders > 1);
        }
      end_world ();
    }
}

static void
test_nobody_to_ask (void)
{
  start_world ("dist-nobody");
  accept_version ("v1");
  run_ms (3000);
  for (int i = 0; i < NODES; i++)
    stop_machine (i);
  world.store_down = true;
  start_machine (0);
  run_ms (10000);
  g_assert_false (cs_dist_ready (world.machines[0].dist));
  g_assert_cmpint (world.machines[0].in_force, ==, 0);
  world.store_down = false;
  run_ms (3000);
  g_assert_cmpint (world.machines[0].in_force, ==, 1);
  end_world ();
}

/* Everybody joins at once: the store sees a bounded number of reads.  */
static void
test_herd_spares_the_store (void)
{
  start_world ("dist-herd");
  accept_version ("v1");
  world.store_reads = 0;
  run_ms (1000);
  g_assert_cmpint (world.store_reads, <=, 3 * 2 * 4);
  g_assert_cmpint (ms_until (1), >=, 0);
  end_world ();
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  cs_log_open ("test", NULL, CS_LOG_ERR);
  g_test_add_func ("/dist/spreads", test_spreads_to_all);
  g_test_add_func ("/dist/readers-die", test_readers_die);
  g_test_add_func ("/dist/without-store", test_spreads_without_store);
  g_test_add_func ("/dist/damage", test_damage_is_refused);
  g_test_add_func ("/dist/replacement", test_replacement_never_goes_back);
  g_test_add_func ("/dist/alone", test_alone_is_not_enough);
  g_test_add_func ("/dist/nobody", test_nobody_to_ask);
  g_test_add_func ("/dist/herd", test_herd_spares_the_store);
  return g_test_run ();
}
