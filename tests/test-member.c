/* Records, membership, failure detection, keepers and quarantine.  */
#include <string.h>

#include "cardamom/cardamom.h"

static cs_manual_clock_t clock_of_test;

static cs_ctx_t *
new_ctx (void)
{
  cs_manual_clock_init (&clock_of_test, 1700000000 * CS_SEC);
  return cs_ctx_new (NULL, &clock_of_test.base, 1);
}

/* The newest version wins in whatever order records arrive, and two tables
   that have taken the same records have the same digests.  */
static void
test_records_meet (void)
{
  cs_ctx_t *ctx = new_ctx ();
  GPtrArray *all = cs_record_list_new ();
  for (int i = 0; i < 200; i++)
    {
      char key[16], value[16];
      g_snprintf (key, sizeof key, "k%d", i % 20);
      g_snprintf (value, sizeof value, "%d", i);
      g_ptr_array_add (all,
                       cs_record_new (i % 3 ? CS_RECORD_NODE : CS_RECORD_DOWN,
                                      key, (guint)i / 60, (guint)i % 60,
                                      cs_str_of (value)));
    }
  uint64_t first[CS_RECORD_BUCKETS], other[CS_RECORD_BUCKETS];
  for (int round = 0; round < 10; round++)
    {
      cs_records_t *records = cs_records_new (ctx);
      for (guint i = all->len; i > 1; i--)
        {
          guint j = (guint)g_rand_int_range (ctx->random, 0, (gint)i);
          gpointer swap = all->pdata[i - 1];
          all->pdata[i - 1] = all->pdata[j];
          all->pdata[j] = swap;
        }
      for (guint i = 0; i < all->len; i++)
        cs_records_merge (records, all->pdata[i], 0);
      cs_records_digests (records, round ? other : first);
      if (round)
        g_assert_cmpmem (first, sizeof first, other, sizeof other);
      cs_records_drop (ctx, records);
    }
  g_ptr_array_unref (all);
  cs_ctx_drop (ctx);
}

static void
test_records_expire (void)
{
  cs_ctx_t *ctx = new_ctx ();
  cs_records_t *records = cs_records_new (ctx);
  cs_record_t *r = cs_record_new (CS_RECORD_BACK, "m", 1, 1, CS_STR ("why"));
  uint64_t empty[CS_RECORD_BUCKETS] = { 0 }, now[CS_RECORD_BUCKETS];
  r->expires_ms = 100;
  g_assert_true (cs_records_merge (records, r, 50));
  g_assert_false (cs_records_merge (records, r, 50));
  cs_records_expire (records, 100);
  g_assert_null (cs_records_find (records, CS_RECORD_BACK, "m"));
  g_assert_false (cs_records_merge (records, r, 100));
  cs_records_digests (records, now);
  g_assert_cmpmem (empty, sizeof empty, now, sizeof now);
  cs_record_free (r);
  cs_records_drop (ctx, records);
  cs_ctx_drop (ctx);
}

/* A small data centre: each member has its own view; frames are function
   calls; a member can be cut off or slow.  */
#define MEMBERS 6

typedef struct mate mate_t;

struct mate
{
  char name[8];
  bool up;
  cs_members_t *members;
  cs_prober_t *prober;
};

static struct
{
  mate_t mates[MEMBERS];
  int blocked_from, blocked_to; /* A pair that cannot talk; -1: none.  */
} dc;

static int
index_of (const char *name)
{
  return name[1] - '0';
}

static bool
can_talk (int from, int to)
{
  bool blocked = (from == dc.blocked_from && to == dc.blocked_to)
                 || (to == dc.blocked_from && from == dc.blocked_to);
  return dc.mates[from].up && dc.mates[to].up && !blocked;
}

static void
send_probe (void *user, const char *via, const char *target, uint64_t seq)
{
  mate_t *self = user;
  int from = index_of (self->name), helper = index_of (via),
      to = index_of (target);
  bool direct = helper == to;
  if (can_talk (from, helper) && (direct || can_talk (helper, to)))
    cs_prober_ack (self->prober, seq);
}

static const cs_prober_options_t prober_options = {
  .interval = 500 * CS_MSEC,
  .timeout = 150 * CS_MSEC,
  .suspicion = 1500 * CS_MSEC,
  .helpers = 3,
};

static void
start_dc (cs_ctx_t *ctx)
{
  dc.blocked_from = dc.blocked_to = -1;
  for (int i = 0; i < MEMBERS; i++)
    {
      mate_t *m = &dc.mates[i];
      g_snprintf (m->name, sizeof m->name, "m%d", i);
      m->up = true;
      cs_identity_t self = { .name = m->name,
                             .host = "127.0.0.1",
                             .port = 1000 + (unsigned)i,
                             .dc = "a",
                             .region = "r" };
      m->members = cs_members_new (ctx, &self);
      cs_members_set_state (ctx, m->members, CS_NODE_UP);
      m->prober
          = cs_prober_new (ctx, m->members, &prober_options, send_probe, m);
    }
}

static void
stop_dc (cs_ctx_t *ctx)
{
  for (int i = 0; i < MEMBERS; i++)
    {
      cs_prober_drop (ctx, dc.mates[i].prober);
      cs_members_drop (ctx, dc.mates[i].members);
    }
}

static void
copy_records (cs_ctx_t *ctx, int from, int to)
{
  static const uint64_t nothing[CS_RECORD_BUCKETS];
  GPtrArray *list = cs_record_list_new ();
  cs_records_differing (cs_members_records (dc.mates[from].members), nothing,
                        list);
  for (guint i = 0; i < list->len; i++)
    cs_members_merge (ctx, dc.mates[to].members, list->pdata[i]);
  g_ptr_array_unref (list);
}

/* One tick of everybody, with gossip between random pairs.  */
static void
tick_dc (cs_ctx_t *ctx)
{
  cs_manual_clock_advance (&clock_of_test, 50 * CS_MSEC);
  for (int i = 0; i < MEMBERS; i++)
    {
      int to = g_rand_int_range (ctx->random, 0, MEMBERS);
      if (can_talk (i, to))
        {
          copy_records (ctx, i, to);
          copy_records (ctx, to, i);
        }
      if (dc.mates[i].up)
        cs_prober_tick (ctx, dc.mates[i].prober);
    }
}

static unsigned
seen_alive (int by)
{
  GPtrArray *list = cs_members_of_dc (dc.mates[by].members, "a");
  unsigned count = list->len;
  g_ptr_array_unref (list);
  return count;
}

static void
run_dc (cs_ctx_t *ctx, int ticks)
{
  for (int i = 0; i < ticks; i++)
    tick_dc (ctx);
}

static void
test_death_is_found (void)
{
  cs_ctx_t *ctx = new_ctx ();
  start_dc (ctx);
  run_dc (ctx, 100);
  for (int i = 0; i < MEMBERS; i++)
    g_assert_cmpuint (seen_alive (i), ==, MEMBERS);
  dc.mates[3].up = false;
  run_dc (ctx, 200);
  for (int i = 0; i < MEMBERS; i++)
    if (i != 3)
      g_assert_cmpuint (seen_alive (i), ==, MEMBERS - 1);
  dc.mates[3].up = true;
  run_dc (ctx, 200);
  for (int i = 0; i < MEMBERS; i++)
    g_assert_cmpuint (seen_alive (i), ==, MEMBERS);
  stop_dc (ctx);
  cs_ctx_drop (ctx);
}

static void
test_one_bad_link_kills_nobody (void)
{
  cs_ctx_t *ctx = new_ctx ();
  start_dc (ctx);
  run_dc (ctx, 100);
  dc.blocked_from = 1;
  dc.blocked_to = 4;
  for (int i = 0; i < 600; i++)
    {
      tick_dc (ctx);
      for (int j = 0; j < MEMBERS; j++)
        g_assert_cmpuint (seen_alive (j), ==, MEMBERS);
    }
  stop_dc (ctx);
  cs_ctx_drop (ctx);
}

/* A member that was paused wakes up with stale timers: it accuses nobody and
   rebuts its own death.  */
static void
test_paused_member_accuses_nobody (void)
{
  cs_ctx_t *ctx = new_ctx ();
  start_dc (ctx);
  run_dc (ctx, 100);
  dc.mates[2].up = false;
  run_dc (ctx, 200);
  g_assert_cmpuint (seen_alive (0), ==, MEMBERS - 1);
  dc.mates[2].up = true;
  cs_prober_tick (ctx, dc.mates[2].prober);
  g_assert_cmpuint (cs_prober_stretch (dc.mates[2].prober), >, 1);
  for (int i = 0; i < 200; i++)
    {
      tick_dc (ctx);
      g_assert_cmpuint (seen_alive (0), >=, MEMBERS - 1);
      for (int j = 0; j < MEMBERS; j++)
        if (j != 2)
          g_assert_cmpint (
              cs_members_find (dc.mates[2].members, dc.mates[j].name)->health,
              ==, CS_ALIVE);
    }
  g_assert_cmpuint (seen_alive (0), ==, MEMBERS);
  stop_dc (ctx);
  cs_ctx_drop (ctx);
}

static void
test_majority (void)
{
  static const struct
  {
    int dead;
    bool majority; /* For the lowest-ranked survivor among m0 to m5.  */
  } cases[]
      = { { 0, true }, { 1, true }, { 2, true }, { 4, false }, { 5, false } };
  cs_ctx_t *ctx = new_ctx ();
  for (size_t c = 0; c < G_N_ELEMENTS (cases); c++)
    {
      start_dc (ctx);
      run_dc (ctx, 100);
      for (int i = 0; i < cases[c].dead; i++)
        dc.mates[i].up = false;
      run_dc (ctx, 400);
      g_assert_cmpint (cs_keepers_have_majority (dc.mates[5].members), ==,
                       cases[c].majority);
      stop_dc (ctx);
    }
  cs_ctx_drop (ctx);
}

static void
test_loss_covers_what_both_keepers_held (void)
{
  static const char *const names[] = { "m0", "m1", "m2", "m3", "m4", "m5" };
  cs_ctx_t *ctx = new_ctx ();
  cs_loss_t *loss = cs_loss_new (1, false);
  start_dc (ctx);
  run_dc (ctx, 100);
  for (size_t i = 0; i < G_N_ELEMENTS (names); i++)
    g_ptr_array_add (loss->view, g_strdup (names[i]));
  g_ptr_array_add (loss->dead, g_strdup ("m1"));
  g_ptr_array_add (loss->dead, g_strdup ("m4"));
  int covered = 0;
  for (int i = 0; i < 1000; i++)
    {
      char key[16];
      g_snprintf (key, sizeof key, "key%d", i);
      GPtrArray *keepers = cs_keepers_of (dc.mates[0].members, "a", key);
      const char *first = ((cs_member_t *)keepers->pdata[0])->name;
      const char *second = ((cs_member_t *)keepers->pdata[1])->name;
      bool both
          = (strcmp (first, "m1") == 0 || strcmp (first, "m4") == 0)
            && (strcmp (second, "m1") == 0 || strcmp (second, "m4") == 0);
      g_assert_cmpint (cs_loss_covers (loss, key), ==, both);
      covered += both;
      g_ptr_array_unref (keepers);
    }
  g_assert_cmpint (covered, >, 20);
  g_assert_cmpint (covered, <, 150);
  cs_loss_free (loss);
  stop_dc (ctx);
  cs_ctx_drop (ctx);
}

/* One key through its table: claims, repeats, ends.  */
static void
test_once_table (void)
{
  cs_ctx_t *ctx = new_ctx ();
  cs_once_t *once = cs_once_new (ctx, 3, 10);
  const cs_once_record_t *held;
  cs_once_record_t a = { .key = (char *)"k",
                         .owner = (char *)"n1",
                         .owner_boot = 5,
                         .claim = 1,
                         .print = 9,
                         .expires_ms = 100 };
  cs_once_record_t b = a, other = a;
  cs_str_t result = CS_STR ("answer");
  b.claim = 2;
  other.print = 8;
  g_assert_cmpint (cs_once_claim (once, &a, &held), ==, CS_CLAIM_GRANTED);
  g_assert_cmpint (cs_once_claim (once, &a, &held), ==, CS_CLAIM_GRANTED);
  g_assert_cmpint (cs_once_claim (once, &b, &held), ==, CS_CLAIM_IN_FLIGHT);
  g_assert_cmpint (cs_once_claim (once, &other, &held), ==, CS_CLAIM_MISMATCH);
  g_assert_false (cs_once_release (once, "k", 2));
  g_assert_true (cs_once_release (once, "k", 1));
  g_assert_cmpint (cs_once_claim (once, &b, &held), ==, CS_CLAIM_GRANTED);
  g_assert_false (cs_once_adopt (once, &a));
  g_assert_null (cs_once_finish (once, "k", 1, CS_ONCE_DONE, &result));
  g_assert_nonnull (cs_once_finish (once, "k", 2, CS_ONCE_DONE, &result));
  g_assert_cmpint (cs_once_claim (once, &a, &held), ==, CS_CLAIM_DONE);
  g_assert_cmpstr (held->result->str, ==, "answer");
  g_assert_false (cs_once_release (once, "k", 2));
  /* A copy from before the end does not undo it.  */
  g_assert_true (cs_once_adopt (once, &b));
  g_assert_cmpint (cs_once_find (once, "k")->state, ==, CS_ONCE_DONE);
  /* A dead owner's claim is unknown, not free.  */
  cs_once_record_t c = a;
  c.key = (char *)"k2";
  g_assert_cmpint (cs_once_claim (once, &c, &held), ==, CS_CLAIM_GRANTED);
  cs_once_orphan (once, "n1", 5);
  g_assert_cmpint (cs_once_claim (once, &c, &held), ==, CS_CLAIM_UNKNOWN);
  /* Results beyond the bound are given up, records are not.  */
  cs_once_record_t d = a;
  d.key = (char *)"k3";
  cs_once_claim (once, &d, &held);
  cs_once_finish (once, "k3", 1, CS_ONCE_DONE, &result);
  g_assert_null (cs_once_find (once, "k")->result);
  g_assert_cmpint (cs_once_find (once, "k")->state, ==, CS_ONCE_DONE);
  g_assert_cmpuint (cs_once_bytes (once), <=, 10);
  cs_once_record_t e = a;
  e.key = (char *)"k4";
  g_assert_cmpint (cs_once_claim (once, &e, &held), ==, CS_CLAIM_FULL);
  cs_once_expire (once, 100);
  g_assert_cmpuint (cs_once_count (once), ==, 0);
  cs_once_drop (ctx, once);
  cs_ctx_drop (ctx);
}

static void
test_homes (void)
{
  char *dcs[] = { (char *)"a", (char *)"b", (char *)"c", NULL };
  char *fewer[] = { (char *)"a", (char *)"b", NULL };
  int count[3] = { 0 };
  g_assert_cmpstr (cs_keepers_home ("dc:x:1", dcs), ==, "x");
  for (int i = 0; i < 3000; i++)
    {
      char key[16];
      g_snprintf (key, sizeof key, "key%d", i);
      const char *home = cs_keepers_home (key, dcs);
      count[home[0] - 'a']++;
      /* Without one data centre only its own keys move.  */
      if (home[0] != 'c')
        g_assert_cmpstr (cs_keepers_home (key, fewer), ==, home);
    }
  for (int i = 0; i < 3; i++)
    g_assert_cmpint (count[i], >, 850);
}

static void
test_quarantine (void)
{
  cs_ctx_t *ctx = new_ctx ();
  cs_records_t *records = cs_records_new (ctx);
  static const struct
  {
    uint64_t print;
    const char *node;
    unsigned strikes;
  } cases[]
      = { { 7, "n1", 1 }, { 7, "n1", 1 }, { 7, "n2", 2 }, { 8, "n1", 1 } };
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      cs_record_t *r = cs_strike_new (cases[i].print, cases[i].node, 1000);
      cs_records_merge (records, r, 1000);
      cs_record_free (r);
      GHashTable *strikes = cs_strikes_collect (records);
      g_assert_cmpuint (cs_strikes_of (strikes, cases[i].print), ==,
                        cases[i].strikes);
      g_hash_table_unref (strikes);
    }
  GPtrArray *cleared = cs_strikes_clear (records, 7);
  g_assert_cmpuint (cleared->len, ==, 2);
  for (guint i = 0; i < cleared->len; i++)
    cs_records_merge (records, cleared->pdata[i], 1000);
  GHashTable *strikes = cs_strikes_collect (records);
  g_assert_cmpuint (cs_strikes_of (strikes, 7), ==, 0);
  g_assert_cmpuint (cs_strikes_of (strikes, 8), ==, 1);
  g_hash_table_unref (strikes);
  cs_records_expire (records, 1000 + CS_STRIKE_LIFE_MS);
  strikes = cs_strikes_collect (records);
  g_assert_cmpuint (cs_strikes_of (strikes, 8), ==, 0);
  g_hash_table_unref (strikes);
  g_ptr_array_unref (cleared);
  cs_records_drop (ctx, records);
  cs_ctx_drop (ctx);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/member/records-meet", test_records_meet);
  g_test_add_func ("/member/records-expire", test_records_expire);
  g_test_add_func ("/member/death-is-found", test_death_is_found);
  g_test_add_func ("/member/one-bad-link", test_one_bad_link_kills_nobody);
  g_test_add_func ("/member/paused", test_paused_member_accuses_nobody);
  g_test_add_func ("/member/majority", test_majority);
  g_test_add_func ("/member/loss", test_loss_covers_what_both_keepers_held);
  g_test_add_func ("/member/once-table", test_once_table);
  g_test_add_func ("/member/homes", test_homes);
  g_test_add_func ("/member/quarantine", test_quarantine);
  return g_test_run ();
}
