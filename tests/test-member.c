/* Unit tests of records, membership, failure detection, replicas of
   idempotency keys and quarantine.  */
#include <string.h>

#include "cardamom/cardamom.h"

static cs_manual_clock_t manual_clock;

static cs_ctx_t *
new_ctx (void)
{
  cs_manual_clock_init (&manual_clock, 1700000000 * CS_SEC);
  return cs_ctx_new (NULL, &manual_clock.base, 1);
}

/* The newest version wins whatever the order in which records arrive, and two
   tables that have merged the same records have the same digests.  */
static void
test_records_converge (void)
{
  cs_ctx_t *ctx = new_ctx ();
  GPtrArray *all = cs_record_list_new ();
  for (int i = 0; i < 200; i++)
    {
      char key[16], value[16];
      g_snprintf (key, sizeof key, "k%d", i % 20);
      g_snprintf (value, sizeof value, "%d", i);
      g_ptr_array_add (
          all,
          cs_record_new (i % 3 ? CS_RECORD_NODE : CS_RECORD_HEALTH, key,
                         (guint)i / 60, (guint)i % 60, cs_str_of (value)));
    }
  uint64_t first_digests[CS_RECORD_DIGEST_BUCKETS],
      digests[CS_RECORD_DIGEST_BUCKETS];
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
      cs_records_digests (records, round ? digests : first_digests);
      if (round)
        g_assert_cmpmem (first_digests, sizeof first_digests, digests,
                         sizeof digests);
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
  cs_record_t *record
      = cs_record_new (CS_RECORD_ROLLBACK, "m", 1, 1, CS_STR ("why"));
  uint64_t empty[CS_RECORD_DIGEST_BUCKETS] = { 0 },
           digests[CS_RECORD_DIGEST_BUCKETS];
  record->expires_ms = 100;
  g_assert_true (cs_records_merge (records, record, 50));
  g_assert_false (cs_records_merge (records, record, 50));
  cs_records_expire (records, 100);
  g_assert_null (cs_records_find (records, CS_RECORD_ROLLBACK, "m"));
  g_assert_false (cs_records_merge (records, record, 100));
  cs_records_digests (records, digests);
  g_assert_cmpmem (empty, sizeof empty, digests, sizeof digests);
  cs_record_free (record);
  cs_records_drop (ctx, records);
  cs_ctx_drop (ctx);
}

/* A simulated data centre.  Each member has its own view of the membership,
   frames are function calls, and a member can be down or a link blocked.  */
#define MEMBER_COUNT 6

typedef struct sim_node sim_node_t;

struct sim_node
{
  char name[8];
  bool up;
  cs_members_t *members;
  cs_prober_t *prober;
};

static struct
{
  sim_node_t nodes[MEMBER_COUNT];
  int blocked_from, blocked_to; /* Ends of the blocked link; -1: none.  */
} sim;

static int
member_index (const char *name)
{
  return name[1] - '0';
}

static bool
can_reach (int from, int to)
{
  bool blocked = (from == sim.blocked_from && to == sim.blocked_to)
                 || (to == sim.blocked_from && from == sim.blocked_to);
  return sim.nodes[from].up && sim.nodes[to].up && !blocked;
}

static void
send_probe (void *user, const char *via, const char *target, uint64_t seq)
{
  sim_node_t *self = user;
  int from = member_index (self->name), relay = member_index (via),
      to = member_index (target);
  bool direct = relay == to;
  if (can_reach (from, relay) && (direct || can_reach (relay, to)))
    cs_prober_ack (self->prober, seq);
}

static const cs_prober_options_t prober_options = {
  .probe_interval = 500 * CS_MSEC,
  .probe_timeout = 150 * CS_MSEC,
  .suspicion_timeout = 1500 * CS_MSEC,
  .indirect_probes = 3,
};

static void
start_sim (cs_ctx_t *ctx)
{
  sim.blocked_from = sim.blocked_to = -1;
  for (int i = 0; i < MEMBER_COUNT; i++)
    {
      sim_node_t *node = &sim.nodes[i];
      g_snprintf (node->name, sizeof node->name, "m%d", i);
      node->up = true;
      cs_identity_t self = { .name = node->name,
                             .host = "127.0.0.1",
                             .port = 1000 + (unsigned)i,
                             .dc = "a",
                             .region = "r" };
      node->members = cs_members_new (ctx, &self);
      cs_members_set_state (ctx, node->members, CS_NODE_UP);
      node->prober = cs_prober_new (ctx, node->members, &prober_options,
                                    send_probe, node);
    }
}

static void
stop_sim (cs_ctx_t *ctx)
{
  for (int i = 0; i < MEMBER_COUNT; i++)
    {
      cs_prober_drop (ctx, sim.nodes[i].prober);
      cs_members_drop (ctx, sim.nodes[i].members);
    }
}

static void
push_records (cs_ctx_t *ctx, int from, int to)
{
  static const uint64_t no_digests[CS_RECORD_DIGEST_BUCKETS];
  GPtrArray *list = cs_record_list_new ();
  cs_records_collect_differing (cs_members_records (sim.nodes[from].members),
                                no_digests, list);
  for (guint i = 0; i < list->len; i++)
    cs_members_merge (ctx, sim.nodes[to].members, list->pdata[i]);
  g_ptr_array_unref (list);
}

/* One tick of every member that is up, with gossip between random pairs.  */
static void
tick_sim (cs_ctx_t *ctx)
{
  cs_manual_clock_advance (&manual_clock, 50 * CS_MSEC);
  for (int i = 0; i < MEMBER_COUNT; i++)
    {
      int to = g_rand_int_range (ctx->random, 0, MEMBER_COUNT);
      if (can_reach (i, to))
        {
          push_records (ctx, i, to);
          push_records (ctx, to, i);
        }
      if (sim.nodes[i].up)
        cs_prober_tick (ctx, sim.nodes[i].prober);
    }
}

static unsigned
count_reachable (int viewer)
{
  GPtrArray *list = cs_members_of_dc (sim.nodes[viewer].members, "a");
  unsigned count = list->len;
  g_ptr_array_unref (list);
  return count;
}

static void
run_sim (cs_ctx_t *ctx, int ticks)
{
  for (int i = 0; i < ticks; i++)
    tick_sim (ctx);
}

static void
test_death_is_detected (void)
{
  cs_ctx_t *ctx = new_ctx ();
  start_sim (ctx);
  run_sim (ctx, 100);
  for (int i = 0; i < MEMBER_COUNT; i++)
    g_assert_cmpuint (count_reachable (i), ==, MEMBER_COUNT);
  sim.nodes[3].up = false;
  run_sim (ctx, 200);
  for (int i = 0; i < MEMBER_COUNT; i++)
    if (i != 3)
      g_assert_cmpuint (count_reachable (i), ==, MEMBER_COUNT - 1);
  sim.nodes[3].up = true;
  run_sim (ctx, 200);
  for (int i = 0; i < MEMBER_COUNT; i++)
    g_assert_cmpuint (count_reachable (i), ==, MEMBER_COUNT);
  stop_sim (ctx);
  cs_ctx_drop (ctx);
}

/* While one link is broken, indirect probes keep both ends alive.  */
static void
test_one_broken_link_declares_nobody_dead (void)
{
  cs_ctx_t *ctx = new_ctx ();
  start_sim (ctx);
  run_sim (ctx, 100);
  sim.blocked_from = 1;
  sim.blocked_to = 4;
  for (int i = 0; i < 600; i++)
    {
      tick_sim (ctx);
      for (int j = 0; j < MEMBER_COUNT; j++)
        g_assert_cmpuint (count_reachable (j), ==, MEMBER_COUNT);
    }
  stop_sim (ctx);
  cs_ctx_drop (ctx);
}

/* A paused member resumes with outdated timers.  It must not suspect others
   because of them, and refutes the record that declares it dead.  */
static void
test_paused_member_suspects_nobody (void)
{
  cs_ctx_t *ctx = new_ctx ();
  start_sim (ctx);
  run_sim (ctx, 100);
  sim.nodes[2].up = false;
  run_sim (ctx, 200);
  g_assert_cmpuint (count_reachable (0), ==, MEMBER_COUNT - 1);
  sim.nodes[2].up = true;
  cs_prober_tick (ctx, sim.nodes[2].prober);
  g_assert_cmpuint (cs_prober_timeout_factor (sim.nodes[2].prober), >, 1);
  for (int i = 0; i < 200; i++)
    {
      tick_sim (ctx);
      g_assert_cmpuint (count_reachable (0), >=, MEMBER_COUNT - 1);
      for (int j = 0; j < MEMBER_COUNT; j++)
        if (j != 2)
          g_assert_cmpint (
              cs_members_find (sim.nodes[2].members, sim.nodes[j].name)
                  ->health,
              ==, CS_ALIVE);
    }
  g_assert_cmpuint (count_reachable (0), ==, MEMBER_COUNT);
  stop_sim (ctx);
  cs_ctx_drop (ctx);
}

static void
test_quorum (void)
{
  static const struct
  {
    int dead_count;
    bool has_quorum; /* As seen by m5, which survives in every case.  */
  } cases[]
      = { { 0, true }, { 1, true }, { 2, true }, { 4, false }, { 5, false } };
  cs_ctx_t *ctx = new_ctx ();
  for (size_t c = 0; c < G_N_ELEMENTS (cases); c++)
    {
      start_sim (ctx);
      run_sim (ctx, 100);
      for (int i = 0; i < cases[c].dead_count; i++)
        sim.nodes[i].up = false;
      run_sim (ctx, 400);
      g_assert_cmpint (cs_dc_has_quorum (sim.nodes[5].members), ==,
                       cases[c].has_quorum);
      stop_sim (ctx);
    }
  cs_ctx_drop (ctx);
}

static void
test_loss_covers_keys_of_lost_replicas (void)
{
  static const char *const names[] = { "m0", "m1", "m2", "m3", "m4", "m5" };
  cs_ctx_t *ctx = new_ctx ();
  cs_replica_loss_t *loss = cs_replica_loss_new (1, false);
  start_sim (ctx);
  run_sim (ctx, 100);
  for (size_t i = 0; i < G_N_ELEMENTS (names); i++)
    g_ptr_array_add (loss->members_before, g_strdup (names[i]));
  g_ptr_array_add (loss->members_lost, g_strdup ("m1"));
  g_ptr_array_add (loss->members_lost, g_strdup ("m4"));
  int covered = 0;
  for (int i = 0; i < 1000; i++)
    {
      char key[16];
      g_snprintf (key, sizeof key, "key%d", i);
      GPtrArray *replicas = cs_key_replicas (sim.nodes[0].members, "a", key);
      const char *first = ((cs_member_t *)replicas->pdata[0])->name;
      const char *second = ((cs_member_t *)replicas->pdata[1])->name;
      bool both
          = (strcmp (first, "m1") == 0 || strcmp (first, "m4") == 0)
            && (strcmp (second, "m1") == 0 || strcmp (second, "m4") == 0);
      g_assert_cmpint (cs_replica_loss_covers (loss, key), ==, both);
      covered += both;
      g_ptr_array_unref (replicas);
    }
  g_assert_cmpint (covered, >, 20);
  g_assert_cmpint (covered, <, 150);
  cs_replica_loss_free (loss);
  stop_sim (ctx);
  cs_ctx_drop (ctx);
}

/* Records of idempotency keys: claims, repeated claims and results.  */
static void
test_idempotency_table (void)
{
  cs_ctx_t *ctx = new_ctx ();
  cs_idempotency_table_t *table = cs_idempotency_table_new (ctx, 3, 10);
  const cs_idempotency_record_t *held;
  cs_idempotency_record_t first_claim = { .key = (char *)"k",
                                          .owner = (char *)"n1",
                                          .owner_boot_id = 5,
                                          .claim_id = 1,
                                          .fingerprint = 9,
                                          .expires_ms = 100 };
  cs_idempotency_record_t second_claim = first_claim,
                          other_request = first_claim;
  cs_str_t result = CS_STR ("answer");
  second_claim.claim_id = 2;
  other_request.fingerprint = 8;
  g_assert_cmpint (cs_idempotency_claim (table, &first_claim, &held), ==,
                   CS_CLAIM_GRANTED);
  g_assert_cmpint (cs_idempotency_claim (table, &first_claim, &held), ==,
                   CS_CLAIM_GRANTED);
  g_assert_cmpint (cs_idempotency_claim (table, &second_claim, &held), ==,
                   CS_CLAIM_IN_FLIGHT);
  g_assert_cmpint (cs_idempotency_claim (table, &other_request, &held), ==,
                   CS_CLAIM_MISMATCH);
  g_assert_false (cs_idempotency_release (table, "k", 2));
  g_assert_true (cs_idempotency_release (table, "k", 1));
  g_assert_cmpint (cs_idempotency_claim (table, &second_claim, &held), ==,
                   CS_CLAIM_GRANTED);
  g_assert_false (cs_idempotency_merge (table, &first_claim));
  g_assert_null (
      cs_idempotency_finish (table, "k", 1, CS_IDEMPOTENCY_DONE, &result));
  g_assert_nonnull (
      cs_idempotency_finish (table, "k", 2, CS_IDEMPOTENCY_DONE, &result));
  g_assert_cmpint (cs_idempotency_claim (table, &first_claim, &held), ==,
                   CS_CLAIM_DONE);
  g_assert_cmpstr (held->result->str, ==, "answer");
  g_assert_false (cs_idempotency_release (table, "k", 2));
  /* A replica's copy from before the result does not undo it.  */
  g_assert_true (cs_idempotency_merge (table, &second_claim));
  g_assert_cmpint (cs_idempotency_find (table, "k")->state, ==,
                   CS_IDEMPOTENCY_DONE);
  /* The outcome of a dead owner's claim is unknown; it cannot be claimed
     again.  */
  cs_idempotency_record_t orphaned = first_claim;
  orphaned.key = (char *)"k2";
  g_assert_cmpint (cs_idempotency_claim (table, &orphaned, &held), ==,
                   CS_CLAIM_GRANTED);
  cs_idempotency_mark_unknown (table, "n1", 5);
  g_assert_cmpint (cs_idempotency_claim (table, &orphaned, &held), ==,
                   CS_CLAIM_UNKNOWN);
  /* Results beyond the memory bound are dropped, their records are kept.  */
  cs_idempotency_record_t later_result = first_claim;
  later_result.key = (char *)"k3";
  cs_idempotency_claim (table, &later_result, &held);
  cs_idempotency_finish (table, "k3", 1, CS_IDEMPOTENCY_DONE, &result);
  g_assert_null (cs_idempotency_find (table, "k")->result);
  g_assert_cmpint (cs_idempotency_find (table, "k")->state, ==,
                   CS_IDEMPOTENCY_DONE);
  g_assert_cmpuint (cs_idempotency_result_bytes (table), <=, 10);
  cs_idempotency_record_t excess = first_claim;
  excess.key = (char *)"k4";
  g_assert_cmpint (cs_idempotency_claim (table, &excess, &held), ==,
                   CS_CLAIM_TABLE_FULL);
  cs_idempotency_expire (table, 100);
  g_assert_cmpuint (cs_idempotency_count (table), ==, 0);
  cs_idempotency_table_drop (ctx, table);
  cs_ctx_drop (ctx);
}

static void
test_replica_dcs (void)
{
  char *dcs[] = { (char *)"a", (char *)"b", (char *)"c", NULL };
  char *remaining_dcs[] = { (char *)"a", (char *)"b", NULL };
  int keys_per_dc[3] = { 0 };
  g_assert_cmpstr (cs_key_replica_dc ("dc:x:1", dcs), ==, "x");
  for (int i = 0; i < 3000; i++)
    {
      char key[16];
      g_snprintf (key, sizeof key, "key%d", i);
      const char *replica_dc = cs_key_replica_dc (key, dcs);
      keys_per_dc[replica_dc[0] - 'a']++;
      /* When a data centre is removed, only its keys move to another one.  */
      if (replica_dc[0] != 'c')
        g_assert_cmpstr (cs_key_replica_dc (key, remaining_dcs), ==,
                         replica_dc);
    }
  for (int i = 0; i < 3; i++)
    g_assert_cmpint (keys_per_dc[i], >, 850);
}

static void
test_quarantine (void)
{
  cs_ctx_t *ctx = new_ctx ();
  cs_records_t *records = cs_records_new (ctx);
  static const struct
  {
    uint64_t fingerprint;
    const char *node;
    unsigned crashes;
  } cases[]
      = { { 7, "n1", 1 }, { 7, "n1", 1 }, { 7, "n2", 2 }, { 8, "n1", 1 } };
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      cs_record_t *record = cs_crash_record_new (
          cases[i].fingerprint, cases[i].node, CS_SEC, CS_SEC);
      cs_records_merge (records, record, 1000);
      cs_record_free (record);
      GHashTable *crash_counts = cs_crashes_by_fingerprint (records);
      g_assert_cmpuint (cs_crash_count_of (crash_counts, cases[i].fingerprint),
                        ==, cases[i].crashes);
      g_hash_table_unref (crash_counts);
    }
  GPtrArray *cleared = cs_crashes_clear (records, 7);
  g_assert_cmpuint (cleared->len, ==, 2);
  for (guint i = 0; i < cleared->len; i++)
    cs_records_merge (records, cleared->pdata[i], 1000);
  GHashTable *crash_counts = cs_crashes_by_fingerprint (records);
  g_assert_cmpuint (cs_crash_count_of (crash_counts, 7), ==, 0);
  g_assert_cmpuint (cs_crash_count_of (crash_counts, 8), ==, 1);
  g_hash_table_unref (crash_counts);
  cs_records_expire (records, 1000 + CS_CRASH_RECORD_TTL_MS);
  crash_counts = cs_crashes_by_fingerprint (records);
  g_assert_cmpuint (cs_crash_count_of (crash_counts, 8), ==, 0);
  g_hash_table_unref (crash_counts);
  g_ptr_array_unref (cleared);
  cs_records_drop (ctx, records);
  cs_ctx_drop (ctx);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/member/records-meet", test_records_converge);
  g_test_add_func ("/member/records-expire", test_records_expire);
  g_test_add_func ("/member/death-is-found", test_death_is_detected);
  g_test_add_func ("/member/one-bad-link",
                   test_one_broken_link_declares_nobody_dead);
  g_test_add_func ("/member/paused", test_paused_member_suspects_nobody);
  g_test_add_func ("/member/majority", test_quorum);
  g_test_add_func ("/member/loss", test_loss_covers_keys_of_lost_replicas);
  g_test_add_func ("/member/once-table", test_idempotency_table);
  g_test_add_func ("/member/homes", test_replica_dcs);
  g_test_add_func ("/member/quarantine", test_quarantine);
  return g_test_run ();
}
