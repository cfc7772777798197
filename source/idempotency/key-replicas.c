#include <string.h>

#include "cardamom/key-replicas.h"

uint64_t
cs_rendezvous_weight (const char *name, const char *key)
{
  return cs_hash_text (key, cs_hash_text (name, 0));
}

/* A member and its rendezvous weight for the key.  */
typedef struct
{
  const cs_member_t *member;
  uint64_t weight;
} ranked_member_t;

static gint
compare_ranked_members (gconstpointer a, gconstpointer b)
{
  const ranked_member_t *ranked_a = a, *ranked_b = b;
  if (ranked_a->weight != ranked_b->weight)
    return ranked_a->weight > ranked_b->weight ? -1 : 1;
  return strcmp (ranked_a->member->name, ranked_b->member->name);
}

GPtrArray *
cs_key_replicas (const cs_members_t *members, const char *dc, const char *key)
{
  GPtrArray *list = cs_members_of_dc (members, dc);
  GArray *ranked = g_array_new (FALSE, FALSE, sizeof (ranked_member_t));
  for (guint i = 0; i < list->len; i++)
    {
      const cs_member_t *member = list->pdata[i];
      ranked_member_t ranked_member
          = { .member = member,
              .weight = cs_rendezvous_weight (member->name, key) };
      if (member->state == CS_NODE_UP)
        g_array_append_val (ranked, ranked_member);
    }
  g_array_sort (ranked, compare_ranked_members);
  g_ptr_array_set_size (list, 0);
  for (guint i = 0; i < ranked->len; i++)
    g_ptr_array_add (
        list, (gpointer)g_array_index (ranked, ranked_member_t, i).member);
  g_array_unref (ranked);
  return list;
}

bool
cs_dc_has_quorum (const cs_members_t *members)
{
  const cs_member_t *self = cs_members_self (members);
  GPtrArray *all = cs_members_all (members);
  guint known = 0, alive = 0;
  bool first_alive = false;
  for (guint i = 0; i < all->len; i++)
    {
      const cs_member_t *member = all->pdata[i];
      if (strcmp (member->dc, self->dc) != 0 || member->state == CS_NODE_LEFT)
        continue;
      bool is_alive = member->health != CS_DEAD;
      if (known == 0)
        first_alive = is_alive;
      known++;
      alive += is_alive;
    }
  g_ptr_array_unref (all);
  return 2 * alive > known || (2 * alive == known && first_alive);
}

const char *
cs_key_replica_dc (const char *key, char *const *dcs)
{
  const char *best = NULL;
  uint64_t best_weight = 0;
  if (g_str_has_prefix (key, "dc:"))
    {
      const char *name = key + strlen ("dc:");
      const char *end = strchr (name, ':');
      if (end)
        {
          char *copy = g_strndup (name, (gsize)(end - name));
          best = g_intern_string (copy);
          g_free (copy);
          return best;
        }
    }
  for (char *const *dc = dcs; *dc; dc++)
    {
      uint64_t weight = cs_rendezvous_weight (*dc, key);
      if (!best || weight > best_weight)
        {
          best = *dc;
          best_weight = weight;
        }
    }
  return best;
}

cs_replica_loss_t *
cs_replica_loss_new (int64_t until_ms, bool all)
{
  cs_replica_loss_t *loss = g_new0 (cs_replica_loss_t, 1);
  loss->until_ms = until_ms;
  loss->all_records = all;
  loss->members_before = g_ptr_array_new_with_free_func (g_free);
  loss->members_lost = g_ptr_array_new_with_free_func (g_free);
  return loss;
}

void
cs_replica_loss_free (void *data)
{
  cs_replica_loss_t *loss = data;
  if (!loss)
    return;
  g_ptr_array_unref (loss->members_before);
  g_ptr_array_unref (loss->members_lost);
  g_free (loss);
}

static void
pack_names (cs_pack_t *pack, const GPtrArray *names)
{
  cs_pack_array (pack, names->len);
  for (guint i = 0; i < names->len; i++)
    cs_pack_text (pack, names->pdata[i]);
}

static void
unpack_names (cs_unpack_cursor_t *in, GPtrArray *names)
{
  cs_unpack_cursor_t list = cs_unpack_array (in);
  while (list.remaining && !list.failed)
    g_ptr_array_add (names, cs_unpack_text (&list));
  in->failed = in->failed || list.failed;
}

void
cs_replica_loss_pack (cs_pack_t *pack, const cs_replica_loss_t *loss)
{
  cs_pack_array (pack, 4);
  cs_pack_int64 (pack, loss->until_ms);
  cs_pack_int64 (pack, loss->all_records);
  pack_names (pack, loss->members_before);
  pack_names (pack, loss->members_lost);
}

cs_replica_loss_t *
cs_replica_loss_unpack (cs_unpack_cursor_t *in)
{
  int64_t until = cs_unpack_int64 (in);
  bool all = cs_unpack_int64 (in) != 0;
  cs_replica_loss_t *loss = cs_replica_loss_new (until, all);
  unpack_names (in, loss->members_before);
  unpack_names (in, loss->members_lost);
  if (!in->failed)
    return loss;
  cs_replica_loss_free (loss);
  return NULL;
}

static bool
is_lost (const cs_replica_loss_t *loss, const char *name)
{
  return g_ptr_array_find_with_equal_func (loss->members_lost, name,
                                           g_str_equal, NULL);
}

bool
cs_replica_loss_covers (const cs_replica_loss_t *loss, const char *key)
{
  /* The replicas of KEY before the loss.  */
  const char *first = NULL, *second = NULL;
  uint64_t first_weight = 0, second_weight = 0;
  if (loss->all_records)
    return true;
  for (guint i = 0; i < loss->members_before->len; i++)
    {
      const char *name = loss->members_before->pdata[i];
      uint64_t weight = cs_rendezvous_weight (name, key);
      if (!first || weight > first_weight)
        {
          second = first;
          second_weight = first_weight;
          first = name;
          first_weight = weight;
        }
      else if (!second || weight > second_weight)
        {
          second = name;
          second_weight = weight;
        }
    }
  return first && is_lost (loss, first) && (!second || is_lost (loss, second));
}
