/* Which version of an operator's row counts while the table comes back from
   older copies: the decisions by themselves, and in drawn histories of a table
   and of nodes that read it and send each other rows.  */
#include <string.h>

#include "cardamom/row-order.h"

static void
test_decisions (void)
{
  static const struct
  {
    cs_row_order_t held, row;
    bool supersedes, may_be_older, is_gone, continues;
  } cases[]
      = { { { { 1, 5 }, 0 }, { { 1, 6 }, 0 }, true, false, true, true },
          { { { 1, 5 }, 0 }, { { 1, 5 }, 0 }, false, false, true, true },
          { { { 1, 5 }, 0 }, { { 1, 4 }, 0 }, false, false, false, false },
          { { { 1, 5 }, 0 }, { { 2, 5 }, 0 }, true, true, false, false },
          { { { 1, 5 }, 0 }, { { 2, 6 }, 0 }, true, false, false, false },
          { { { 2, 5 }, 0 }, { { 1, 9 }, 0 }, false, false, false, false },
          { { { 1, 5 }, 7 }, { { 2, 3 }, 6 }, false, true, false, false },
          { { { 2, 3 }, 6 }, { { 1, 5 }, 7 }, true, false, false, false },
          { { { 1, 5 }, 7 }, { { 2, 3 }, 7 }, true, true, false, false },
          { { { 0, 5 }, 7 }, { { 0, 5 }, 8 }, true, false, false, true } };
  for (guint i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      cs_row_order_t held = cases[i].held, row = cases[i].row;
      cs_revision_t a = held.revision, b = row.revision;
      g_test_message ("case %u", i);
      g_assert_cmpint (cs_row_supersedes (&held, &row), ==,
                       cases[i].supersedes);
      g_assert_cmpint (cs_row_may_be_older (a, b), ==, cases[i].may_be_older);
      g_assert_cmpint (cs_row_is_gone (&held, b, false), ==, cases[i].is_gone);
      g_assert_cmpint (cs_revision_continues (a, b), ==, cases[i].continues);
      int64_t na = cs_revision_to_number (a), nb = cs_revision_to_number (b);
      g_assert_cmpint ((na > nb) - (na < nb), ==, cs_revision_compare (a, b));
      g_assert_cmpint (cs_revision_compare (cs_revision_from_number (na), a),
                       ==, 0);
      g_assert_cmpint (
          cs_revision_compare (cs_revision_max (a, b), na < nb ? b : a), ==,
          0);
    }
}

#define NODES 6        /* Those of odd numbers are one region.  */
#define STEPS 900      /* Of 100 ms.  */
#define APPLY_STEPS 25 /* A change is in force after that.  */
#define SETTLE_STEPS (int)(CS_ERA_SETTLE_TIME / (100 * CS_MSEC))
#define ANSWER_STEPS_MAX 4
#define READ_INTERVAL 3

typedef enum
{
  CONFIG, /* Its value is the document's version.  */
  EVACUATION,
  KINDS
} kind_t;

typedef struct
{
  int64_t value; /* 0: no row.  */
  cs_revision_t revision;
} row_t;

typedef struct
{
  row_t held[KINDS], answer[KINDS];
  cs_revision_t revision, after, answer_revision;
  int64_t era;
  int settle_at, started_at, answer_at; /* ANSWER_AT 0: no call runs.  */
  bool settle_read_due, reads_all;
} node_t;

typedef struct
{
  GRand *random;
  bool restarts;
  int now, back_at, rewrite_at, cut_until, quiet_since, evacuation_changed_at;
  int64_t era, version, wanted[KINDS], wanted_config_at[STEPS];
  row_t history[4 * STEPS][KINDS]; /* By version.  */
  node_t nodes[NODES];
} mesh_t;

static bool
draw (mesh_t *mesh, int one_in)
{
  return g_rand_int_range (mesh->random, 0, one_in) == 0;
}

static void
accept (mesh_t *mesh, node_t *node, kind_t kind, row_t row)
{
  row_t *held = &node->held[kind];
  cs_row_order_t a = { held->revision, kind == CONFIG ? held->value : 0 },
                 b = { row.revision, kind == CONFIG ? row.value : 0 };
  if (!cs_row_supersedes (&a, &b))
    return;
  if (kind == CONFIG)
    g_assert_cmpint (row.value, >=, held->value);
  else if (mesh->now - mesh->evacuation_changed_at > APPLY_STEPS
           && cs_revision_is_set (held->revision)
           && held->value == mesh->wanted[kind])
    g_assert_cmpint (row.value, ==, held->value);
  *held = row;
}

/* FOUND, all rows at REVISION, don't hold what is gone.  */
static void
remove_missing (mesh_t *mesh, node_t *node, const row_t *found,
                cs_revision_t revision)
{
  for (kind_t kind = 0; kind < KINDS; kind++)
    {
      row_t held = node->held[kind];
      cs_row_order_t order
          = { held.revision, kind == CONFIG ? held.value : 0 };
      if (held.value && !found[kind].value
          && cs_row_is_gone (&order, revision, mesh->now >= node->settle_at))
        accept (mesh, node, kind, (row_t){ 0, revision });
    }
}

static void
note_era (const mesh_t *mesh, node_t *node, int64_t era)
{
  if (era > node->era && (node->era || node->started_at))
    {
      node->settle_at = mesh->now + SETTLE_STEPS;
      node->settle_read_due = true;
    }
  node->era = MAX (node->era, era);
}

/* Whether ROW may be the copy's, at NODE, which holds another one.  */
static bool
waits (const mesh_t *mesh, const node_t *node, kind_t kind, row_t row)
{
  row_t held = node->held[kind];
  return kind != CONFIG && mesh->now < node->settle_at
         && cs_row_may_be_older (held.revision, row.revision)
         && held.value != row.value;
}

/* NODE sends the others that it reaches its rows, as frames hold them.  */
static void
tell (mesh_t *mesh, node_t *node)
{
  for (int i = 0; i < NODES; i++)
    {
      node_t *other = &mesh->nodes[i];
      if (other == node
          || (mesh->now < mesh->cut_until
              && (node - mesh->nodes) % 2 != i % 2))
        continue;
      note_era (mesh, other, node->revision.era);
      for (kind_t kind = 0; kind < KINDS; kind++)
        {
          row_t row = node->held[kind];
          row.revision
              = cs_revision_from_number (cs_revision_to_number (row.revision));
          if (!waits (mesh, other, kind, row))
            accept (mesh, other, kind, row);
        }
      remove_missing (mesh, other, node->held, node->revision);
      other->revision = cs_revision_max (other->revision, node->revision);
    }
}

static void
finish_call (mesh_t *mesh, node_t *node)
{
  cs_revision_t revision = node->answer_revision;
  node->answer_at = 0;
  if (revision.era < node->era)
    return;
  note_era (mesh, node, revision.era);
  bool settled = mesh->now >= node->settle_at, all = node->reads_all;
  node->reads_all = !all && !cs_revision_continues (node->after, revision);
  if (node->reads_all)
    return;
  if (all)
    {
      remove_missing (mesh, node, node->answer, revision);
      node->settle_read_due &= !settled;
    }
  for (kind_t kind = 0; kind < KINDS; kind++)
    {
      row_t row = node->answer[kind];
      row.revision.era = revision.era;
      bool brought
          = all ? row.value != 0 : row.revision.version > node->after.version;
      if (brought && !(all && waits (mesh, node, kind, row)))
        accept (mesh, node, kind, row);
    }
  node->revision = all ? revision : cs_revision_max (node->revision, revision);
  tell (mesh, node);
}

/* The first node of each region reads, and one that has nothing.  */
static void
run_node (mesh_t *mesh, node_t *node)
{
  bool starts = !cs_revision_is_set (node->revision);
  bool cut = (node - mesh->nodes) % 2 && mesh->now < mesh->cut_until;
  if (node->answer_at && mesh->now >= node->answer_at)
    finish_call (mesh, node);
  if (node->answer_at || cut || mesh->now < mesh->back_at
      || mesh->now % READ_INTERVAL || !(starts || node < mesh->nodes + 2))
    return;
  node->answer_at
      = mesh->now + g_rand_int_range (mesh->random, 1, ANSWER_STEPS_MAX);
  node->reads_all
      |= starts || node->revision.era != node->era
         || (node->settle_read_due && mesh->now >= node->settle_at);
  node->after = node->revision;
  memcpy (node->answer, mesh->history[mesh->version], sizeof node->answer);
  node->answer_revision = (cs_revision_t){ mesh->era, mesh->version };
}

static void
write_row (mesh_t *mesh, kind_t kind)
{
  row_t *rows = mesh->history[mesh->version + 1];
  memcpy (rows, mesh->history[mesh->version], sizeof mesh->history[0]);
  rows[kind] = (row_t){ mesh->wanted[kind], { 0, ++mesh->version } };
}

static void
disturb (mesh_t *mesh)
{
  if (mesh->restarts && draw (mesh, 40))
    mesh->nodes[g_rand_int_range (mesh->random, 0, NODES)]
        = (node_t){ .started_at = mesh->now };
  if (mesh->now < mesh->quiet_since)
    return;
  if (draw (mesh, 50))
    {
      mesh->back_at = mesh->now + g_rand_int_range (mesh->random, 1, 8);
      mesh->rewrite_at
          = mesh->back_at + g_rand_int_range (mesh->random, 0, 14);
      mesh->version -= g_rand_int_range (mesh->random, 0, 6);
      mesh->version = MAX (mesh->version, 2);
      mesh->era += g_rand_int_range (mesh->random, 1, 3);
      mesh->quiet_since = mesh->rewrite_at;
    }
  else if (draw (mesh, 80))
    mesh->quiet_since = mesh->cut_until
        = mesh->now + g_rand_int_range (mesh->random, 5, 60);
}

static void
run_operator (mesh_t *mesh)
{
  if (mesh->now < mesh->rewrite_at)
    return;
  if (draw (mesh, 5))
    mesh->wanted[CONFIG] += g_rand_int_range (mesh->random, 1, 4);
  if (draw (mesh, 30))
    {
      mesh->wanted[EVACUATION] = mesh->wanted[EVACUATION] ? 0 : mesh->now;
      mesh->evacuation_changed_at = mesh->now;
    }
  for (kind_t kind = 0; kind < KINDS; kind++)
    if (mesh->history[mesh->version][kind].value != mesh->wanted[kind])
      write_row (mesh, kind);
}

static void
check_in_time (const mesh_t *mesh, const node_t *node)
{
  int since = MAX (mesh->quiet_since, node->started_at);
  if (mesh->now - since <= APPLY_STEPS)
    return;
  g_assert_cmpint (node->held[CONFIG].value, >=,
                   mesh->wanted_config_at[mesh->now - APPLY_STEPS]);
  since = MAX (since + SETTLE_STEPS, mesh->evacuation_changed_at);
  if (mesh->now - since > APPLY_STEPS)
    g_assert_cmpint (node->held[EVACUATION].value, ==,
                     mesh->wanted[EVACUATION]);
}

/* Guards against a node that goes back to what an older copy holds, and one
   that keeps out what is written after a drill.  */
static void
test_histories (const void *restarts)
{
  for (guint32 seed = 1; seed <= 300; seed++)
    {
      mesh_t *mesh = g_new0 (mesh_t, 1);
      mesh->random = g_rand_new_with_seed (seed);
      mesh->restarts = restarts != NULL;
      mesh->era = mesh->wanted[CONFIG] = 1;
      write_row (mesh, CONFIG);
      write_row (mesh, EVACUATION);
      g_test_message ("seed %u", seed);
      for (mesh->now = 1; mesh->now < STEPS; mesh->now++)
        {
          disturb (mesh);
          if (mesh->now >= mesh->back_at)
            run_operator (mesh);
          mesh->wanted_config_at[mesh->now] = mesh->wanted[CONFIG];
          for (int i = 0; i < NODES; i++)
            {
              run_node (mesh, &mesh->nodes[i]);
              check_in_time (mesh, &mesh->nodes[i]);
            }
        }
      g_rand_free (mesh->random);
      g_free (mesh);
    }
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/row-order/decisions", test_decisions);
  g_test_add_data_func ("/row-order/histories", NULL, test_histories);
  g_test_add_data_func ("/row-order/histories-with-restarts", "",
                        test_histories);
  return g_test_run ();
}
