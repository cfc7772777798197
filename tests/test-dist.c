/* Tests the distribution of configuration versions among simulated nodes in
   three data centres.  Messages go through a queue, the store is the in-memory
   platform, and flags inject faults.  */
#include <string.h>

#include "cardamom/cardamom.h"

#define NODES 9
#define NODES_PER_DC 3

typedef struct
{
  char name[8];
  cs_members_t *members;
  cs_dist_t *dist;
  int64_t active_version;
  int64_t highest_version; /* Never read.  */
  int activations;         /* Never read.  */
  bool up;
} sim_node_t;

typedef struct
{
  int from, to;
  GString *payload;
} sim_message_t;

static struct
{
  cs_ctx_t *ctx;
  cs_manual_clock_t clock;
  cs_platform_t *platform;
  sim_node_t nodes[NODES];
  GQueue messages;
  bool store_down;
  int store_reads;
  int partitioned_dc; /* Data centre that is partitioned off; -1: none.  */
  bool corrupt;       /* Corrupt the documents of changes in transit.  */
  int muted_node;     /* Node whose messages are lost; -1: none.  */
} sim;

static int
dc_of (int node)
{
  return node / NODES_PER_DC;
}

/* Count a store read and return its status.  */
static cs_status_t
next_store_status (void)
{
  sim.store_reads++;
  return sim.store_down ? CS_UNAVAILABLE : CS_OK;
}

/* Store reads that each node has started; they complete in the same step.  */
static struct
{
  bool head, docs, changes;
  int64_t after; /* Version after which changes are read.  */
} pending_reads[NODES];

static void
read_head (void *user)
{
  pending_reads[(sim_node_t *)user - sim.nodes].head = true;
}

static void
read_docs (void *user)
{
  pending_reads[(sim_node_t *)user - sim.nodes].docs = true;
}

static void
read_changes (void *user, int64_t after)
{
  pending_reads[(sim_node_t *)user - sim.nodes].changes = true;
  pending_reads[(sim_node_t *)user - sim.nodes].after = after;
}

static void
send_message (void *user, const char *node, const cs_dist_message_t *message)
{
  cs_pack_t pack;
  sim_message_t *queued = g_new0 (sim_message_t, 1);
  cs_pack_init (&pack);
  cs_pack_array (&pack, 1);
  cs_dist_message_pack (&pack, message);
  cs_str_t payload = cs_pack_payload (&pack);
  queued->from = (int)((sim_node_t *)user - sim.nodes);
  queued->to = node[1] - '0';
  queued->payload = g_string_new_len (payload.data, (gssize)payload.len);
  g_queue_push_tail (&sim.messages, queued);
  cs_pack_clear (&pack);
}

static void
activate (void *user, cs_snapshot_t *snapshot)
{
  sim_node_t *node = user;
  /* Checked in every test: the active version never decreases.  */
  g_assert_cmpint (snapshot->version, >, node->active_version);
  node->active_version = snapshot->version;
  node->highest_version = MAX (node->highest_version, node->active_version);
  node->activations++;
  cs_snapshot_drop (sim.ctx, snapshot);
}

static const cs_dist_ops_t ops = {
  .read_head = read_head,
  .read_changes = read_changes,
  .read_docs = read_docs,
  .send = send_message,
  .activate = activate,
};

static void
start_sim_node (int i)
{
  static const char *const dcs[] = { "a", "b", "c" };
  static const char *const regions[] = { "east", "east", "west" };
  sim_node_t *node = &sim.nodes[i];
  g_snprintf (node->name, sizeof node->name, "m%d", i);
  node->up = true;
  node->active_version = 0;
  cs_identity_t self = { .name = node->name,
                         .host = "127.0.0.1",
                         .port = 1000 + (unsigned)i,
                         .dc = dcs[dc_of (i)],
                         .region = regions[dc_of (i)] };
  node->members = cs_members_new (sim.ctx, &self);
  node->dist
      = cs_dist_new (sim.ctx, node->members, &cs_dist_defaults, &ops, node);
}

static void
stop_sim_node (int i)
{
  sim_node_t *node = &sim.nodes[i];
  if (!node->up)
    return;
  node->up = false;
  cs_dist_drop (sim.ctx, node->dist);
  cs_members_drop (sim.ctx, node->members);
  memset (&pending_reads[i], 0, sizeof pending_reads[i]);
}

/* Merge into every node that is up the records of all others that are up, and
   publish HEALTH for those that are down.  */
static void
exchange_records_and_mark_down (cs_health_t health)
{
  static const uint64_t empty_digests[CS_RECORD_DIGEST_BUCKETS];
  for (int i = 0; i < NODES; i++)
    for (int j = 0; j < NODES; j++)
      {
        sim_node_t *receiver = &sim.nodes[i], *sender = &sim.nodes[j];
        if (i == j || !receiver->up)
          continue;
        if (!sender->up)
          {
            const cs_member_t *member
                = cs_members_find (receiver->members, sender->name);
            if (member && member->health != CS_DEAD)
              cs_members_publish_health (sim.ctx, receiver->members, member,
                                         health);
            continue;
          }
        GPtrArray *records = cs_record_list_new ();
        cs_records_collect_differing (cs_members_records (sender->members),
                                      empty_digests, records);
        for (guint k = 0; k < records->len; k++)
          cs_members_merge (sim.ctx, receiver->members, records->pdata[k]);
        g_ptr_array_unref (records);
      }
}

static void
exchange_records (void)
{
  exchange_records_and_mark_down (CS_DEAD);
}

static void
start_sim (const char *store_name)
{
  memset (&sim, 0, sizeof sim);
  memset (pending_reads, 0, sizeof pending_reads);
  sim.partitioned_dc = sim.muted_node = -1;
  cs_manual_clock_init (&sim.clock, 1700000000 * CS_SEC);
  sim.ctx = cs_ctx_new (NULL, &sim.clock.base, 1);
  cs_platform_open (sim.ctx, "memory", store_name, &sim.platform);
  for (int i = 0; i < NODES; i++)
    start_sim_node (i);
  exchange_records ();
}

static void
free_message (gpointer data)
{
  sim_message_t *message = data;
  g_string_free (message->payload, TRUE);
  g_free (message);
}

static void
stop_sim (void)
{
  for (int i = 0; i < NODES; i++)
    stop_sim_node (i);
  g_queue_clear_full (&sim.messages, free_message);
  cs_platform_drop (sim.ctx, sim.platform);
  cs_ctx_drop (sim.ctx);
}

/* Commit a change of the service to VERSION to the store.  Returns the version
   of the configuration.  */
static int64_t
commit_version (const char *version)
{
  int64_t config_version = 0;
  char *document = g_strdup_printf ("{\"version\":\"%s\"}", version);
  cs_change_t *change = cs_change_new ();
  cs_change_add_write (change, "/t/services/s", document);
  cs_proposal_t proposal = {
    .team = "t", .operation = version, .expected_version = -1, .change = change
  };
  g_assert_cmpint (cs_proposal_commit (sim.ctx, sim.platform, &proposal,
                                       &config_version, NULL),
                   ==, CS_OK);
  cs_change_free (change);
  g_free (document);
  return config_version;
}

static void
complete_store_reads (int i)
{
  sim_node_t *node = &sim.nodes[i];
  cs_config_head_t head = { 0 };
  cs_docs_t *docs = NULL;
  if (pending_reads[i].head)
    {
      pending_reads[i].head = false;
      cs_status_t status = next_store_status ();
      if (status == CS_OK)
        cs_config_head_load (sim.ctx, sim.platform, &head);
      cs_dist_on_store_head (sim.ctx, node->dist, status, &head);
    }
  if (pending_reads[i].changes)
    {
      GPtrArray *changes = cs_changes_new ();
      pending_reads[i].changes = false;
      cs_status_t status = next_store_status ();
      if (status == CS_OK)
        status = cs_changes_load (sim.ctx, sim.platform,
                                  pending_reads[i].after, changes);
      cs_dist_on_store_changes (sim.ctx, node->dist, status, changes);
      g_ptr_array_unref (changes);
    }
  if (pending_reads[i].docs)
    {
      pending_reads[i].docs = false;
      cs_status_t status = next_store_status ();
      if (status == CS_OK)
        status = cs_docs_load (sim.ctx, sim.platform, &head, &docs);
      cs_dist_on_store_docs (sim.ctx, node->dist, status, &head, docs);
    }
}

static bool
is_partitioned (int from, int to)
{
  return dc_of (from) != dc_of (to)
         && (dc_of (from) == sim.partitioned_dc
             || dc_of (to) == sim.partitioned_dc);
}

/* Replace a document in each change of MESSAGE.  */
static void
corrupt_changes (cs_dist_message_t *message)
{
  for (guint i = 0; message->changes && i < message->changes->len; i++)
    {
      cs_change_t *change = message->changes->pdata[i];
      cs_doc_write_t *write = change->writes->pdata[0];
      g_free (write->document);
      write->document = g_strdup ("{\"version\":\"evil\"}");
    }
}

/* Deliver the message QUEUED unless a fault loses it, and free it.  */
static void
deliver (sim_message_t *queued)
{
  cs_unpack_t unpack;
  cs_unpack_cursor_t in;
  cs_dist_message_t message;
  sim_node_t *to = &sim.nodes[queued->to];
  if (to->up && sim.nodes[queued->from].up
      && !is_partitioned (queued->from, queued->to)
      && queued->from != sim.muted_node)
    {
      g_assert_cmpint (cs_unpack_init (sim.ctx, &unpack,
                                       cs_str_of_gstring (queued->payload),
                                       &in),
                       ==, CS_OK);
      g_assert_cmpint (cs_dist_message_unpack (sim.ctx, &in, &message), ==,
                       CS_OK);
      if (sim.corrupt)
        corrupt_changes (&message);
      cs_dist_receive (sim.ctx, to->dist, sim.nodes[queued->from].name,
                       &message);
      cs_dist_message_clear (sim.ctx, &message);
      cs_unpack_clear (&unpack);
    }
  free_message (queued);
}

/* One step of 20 ms: ticks, results of store reads, messages.  */
static void
step (void)
{
  cs_manual_clock_advance (&sim.clock, 20 * CS_MSEC);
  for (int i = 0; i < NODES; i++)
    if (sim.nodes[i].up)
      {
        cs_dist_tick (sim.ctx, sim.nodes[i].dist);
        complete_store_reads (i);
      }
  for (guint n = sim.messages.length; n > 0; n--)
    deliver (g_queue_pop_head (&sim.messages));
}

static void
run_ms (int64_t ms)
{
  for (; ms > 0; ms -= 20)
    step ();
}

/* Step until VERSION is active on every node that is up.  Returns the time
   taken in ms, or -1 if it takes longer than the required 4 s.  */
static int64_t
ms_until_active (int64_t version)
{
  for (int64_t ms = 0; ms <= 4000; ms += 20)
    {
      bool all = true;
      for (int i = 0; i < NODES; i++)
        all = all
              && (!sim.nodes[i].up || sim.nodes[i].active_version == version);
      if (all)
        return ms;
      step ();
    }
  return -1;
}

static void
test_spreads_to_all (void)
{
  start_sim ("dist-spread");
  run_ms (3000);
  for (int i = 0; i < NODES; i++)
    g_assert_true (cs_dist_ready (sim.nodes[i].dist));
  for (int version = 1; version <= 5; version++)
    {
      char name[8];
      g_snprintf (name, sizeof name, "v%d", version);
      g_assert_cmpint (commit_version (name), ==, version);
      g_assert_cmpint (ms_until_active (version), >=, 0);
    }
  /* Only readers poll, not every node: per second, 4 polls by each of 3
     leaders and half a poll by each of the other readers, for whom the bound
     allows 6.  */
  sim.store_reads = 0;
  run_ms (10000);
  g_assert_cmpint (sim.store_reads, <, 10 * (3 * 4 + 6));
  stop_sim ();
}

/* The node of rank 0 in each data centre is one of the readers of the store.
   When these fail, the others must still activate the next version in time. */
static void
test_readers_stop (void)
{
  start_sim ("dist-readers");
  run_ms (3000);
  commit_version ("v1");
  g_assert_cmpint (ms_until_active (1), >=, 0);
  for (int dc = 0; dc < NODES / NODES_PER_DC; dc++)
    for (int i = dc * NODES_PER_DC; i < (dc + 1) * NODES_PER_DC; i++)
      if (cs_members_own_rank (sim.nodes[i].members) == 0)
        {
          stop_sim_node (i);
          break;
        }
  /* Probes detect the failure within 1500 ms; 2500 ms of the 4 s are left.  */
  commit_version ("v2");
  run_ms (1500);
  exchange_records_and_mark_down (CS_SUSPECT);
  int64_t remaining_ms = ms_until_active (2);
  g_assert_cmpint (remaining_ms, >=, 0);
  g_assert_cmpint (remaining_ms, <=, 2500);
  exchange_records ();
  commit_version ("v3");
  g_assert_cmpint (ms_until_active (3), >=, 0);
  stop_sim ();
}

/* A data centre that was partitioned off gets a version from other nodes after
   the store has failed.  */
static void
test_spreads_without_store (void)
{
  start_sim ("dist-no-store");
  run_ms (3000);
  commit_version ("v1");
  g_assert_cmpint (ms_until_active (1), >=, 0);
  sim.partitioned_dc = 2;
  commit_version ("v2");
  run_ms (300);
  sim.store_down = true;
  run_ms (500);
  /* The version reaches the partitioned data centre without the store once
     another node announces it again, as nodes do when they compare digests. */
  sim.partitioned_dc = -1;
  for (int i = 6; i < 9; i++)
    {
      cs_dist_message_t announcement
          = { .type = CS_DIST_ANNOUNCE, .version = 2, .ready = true };
      cs_dist_receive (sim.ctx, sim.nodes[i].dist, "m0", &announcement);
    }
  g_assert_cmpint (ms_until_active (2), >=, 0);
  stop_sim ();
}

/* A change that is corrupted in transit is never activated; the intact version
   from the store is.  */
static void
test_corrupt_change_is_refused (void)
{
  start_sim ("dist-damage");
  run_ms (3000);
  commit_version ("v1");
  g_assert_cmpint (ms_until_active (1), >=, 0);
  uint64_t old_digest = cs_dist_active_digest (sim.nodes[4].dist);
  cs_config_head_t head;
  sim.corrupt = true;
  commit_version ("v2");
  cs_config_head_load (sim.ctx, sim.platform, &head);
  for (int ms = 0; ms < 4000; ms += 20)
    {
      step ();
      for (int i = 0; i < NODES; i++)
        {
          uint64_t digest = cs_dist_active_digest (sim.nodes[i].dist);
          g_assert_true (digest == old_digest || digest == head.digest);
        }
    }
  g_assert_cmpint (ms_until_active (2), ==, 0);
  sim.corrupt = false;
  commit_version ("v3");
  g_assert_cmpint (ms_until_active (3), >=, 0);
  stop_sim ();
}

/* A replacement node never activates a lower version than its predecessor had
   active, whichever node fails while the store is down.  */
static void
test_replacement_never_regresses (void)
{
  for (guint32 seed = 1; seed <= 40; seed++)
    {
      char store_name[32];
      g_snprintf (store_name, sizeof store_name, "dist-replace-%u", seed);
      start_sim (store_name);
      g_rand_set_seed (sim.ctx->random, seed);
      run_ms (3000);
      commit_version ("v1");
      ms_until_active (1);
      commit_version ("v2");
      /* Stop a node at a random time while the version is being distributed.
       */
      run_ms (20 * g_rand_int_range (sim.ctx->random, 0, 40));
      sim.store_down = true;
      int replaced = g_rand_int_range (sim.ctx->random, 0, NODES);
      int64_t active_before = sim.nodes[replaced].active_version;
      stop_sim_node (replaced);
      run_ms (20 * g_rand_int_range (sim.ctx->random, 0, 10));
      start_sim_node (replaced);
      exchange_records ();
      run_ms (8000);
      g_assert_cmpint (sim.nodes[replaced].active_version, >=, active_before);
      stop_sim ();
    }
}

/* A reader whose messages are lost must not activate a version that it alone
   holds: if it failed, its replacement could not learn of that version.  */
static void
test_isolated_reader_does_not_activate (void)
{
  for (int i = 0; i < NODES; i++)
    {
      char store_name[32];
      g_snprintf (store_name, sizeof store_name, "dist-mute-%d", i);
      start_sim (store_name);
      run_ms (3000);
      commit_version ("v1");
      g_assert_cmpint (ms_until_active (1), >=, 0);
      sim.muted_node = i;
      commit_version ("v2");
      for (int ms = 0; ms < 400; ms += 20)
        {
          step ();
          /* It may activate the version once another member of its data centre
             has activated it: that member did not get it from node I.  */
          int active_nodes = 0;
          for (int j = dc_of (i) * NODES_PER_DC;
               j < (dc_of (i) + 1) * NODES_PER_DC; j++)
            active_nodes += sim.nodes[j].active_version == 2;
          g_assert_true (sim.nodes[i].active_version == 1 || active_nodes > 1);
        }
      stop_sim ();
    }
}

/* A node that joins while neither the store nor another node can be reached
   must not become ready until it has read the store.  */
static void
test_join_waits_for_a_source (void)
{
  start_sim ("dist-nobody");
  commit_version ("v1");
  run_ms (3000);
  for (int i = 0; i < NODES; i++)
    stop_sim_node (i);
  sim.store_down = true;
  start_sim_node (0);
  run_ms (10000);
  g_assert_false (cs_dist_ready (sim.nodes[0].dist));
  g_assert_cmpint (sim.nodes[0].active_version, ==, 0);
  sim.store_down = false;
  run_ms (3000);
  g_assert_cmpint (sim.nodes[0].active_version, ==, 1);
  stop_sim ();
}

/* All nodes join at once; the number of store reads is bounded: 4 by each of
   the 2 readers of each of the 3 data centres.  */
static void
test_simultaneous_joins_bound_store_reads (void)
{
  start_sim ("dist-herd");
  commit_version ("v1");
  sim.store_reads = 0;
  run_ms (1000);
  g_assert_cmpint (sim.store_reads, <=, 3 * 2 * 4);
  g_assert_cmpint (ms_until_active (1), >=, 0);
  stop_sim ();
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  cs_log_init ("test", NULL, CS_LOG_ERR);
  g_test_add_func ("/dist/spreads", test_spreads_to_all);
  g_test_add_func ("/dist/readers-die", test_readers_stop);
  g_test_add_func ("/dist/without-store", test_spreads_without_store);
  g_test_add_func ("/dist/damage", test_corrupt_change_is_refused);
  g_test_add_func ("/dist/replacement", test_replacement_never_regresses);
  g_test_add_func ("/dist/alone", test_isolated_reader_does_not_activate);
  g_test_add_func ("/dist/nobody", test_join_waits_for_a_source);
  g_test_add_func ("/dist/herd", test_simultaneous_joins_bound_store_reads);
  return g_test_run ();
}
