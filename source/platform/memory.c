/* In-memory platform for tests and trials.  All platform objects of a process
   that open the same name share one store, which is never freed.  */
#include <pthread.h>
#include <string.h>

#include "cardamom/platform.h"
#include "cardamom/registry.h"

typedef struct
{
  char *name;
  pthread_mutex_t lock;
  GTree *rows; /* char * -> cs_row_t.  */
  /* char * -> cs_row_t; the revision is the entity tag.  */
  GTree *objects;
  int64_t revision;
} store_t;

typedef struct
{
  cs_platform_t base;
  store_t *store;
} memory_platform_t;

static pthread_mutex_t stores_lock = PTHREAD_MUTEX_INITIALIZER;
static GHashTable *stores;

static gint
compare_keys (gconstpointer a, gconstpointer b, gpointer user)
{
  (void)user;
  return strcmp (a, b);
}

static store_t *
find_or_add_store (const char *name)
{
  pthread_mutex_lock (&stores_lock);
  if (!stores)
    stores = g_hash_table_new (g_str_hash, g_str_equal);
  store_t *store = g_hash_table_lookup (stores, name);
  if (!store)
    {
      store = g_new0 (store_t, 1);
      store->name = g_strdup (name);
      pthread_mutex_init (&store->lock, NULL);
      store->rows = g_tree_new_full (compare_keys, NULL, NULL, cs_row_free);
      store->objects = g_tree_new_full (compare_keys, NULL, NULL, cs_row_free);
      g_hash_table_insert (stores, store->name, store);
    }
  pthread_mutex_unlock (&stores_lock);
  return store;
}

static const cs_platform_vtable_t memory_vtable;

static cs_status_t
memory_open (cs_ctx_t *ctx, const char *address, cs_platform_t **platform)
{
  memory_platform_t *memory = cs_calloc (ctx, sizeof *memory);
  memory->base.vtable = &memory_vtable;
  memory->store = find_or_add_store (address);
  *platform = &memory->base;
  return CS_OK;
}

static void
memory_drop (cs_ctx_t *ctx, cs_platform_t *platform)
{
  cs_free (ctx, platform);
}

static store_t *
store_of (cs_platform_t *platform)
{
  return ((memory_platform_t *)platform)->store;
}

static bool
row_matches (const cs_range_query_t *range, const cs_row_t *row)
{
  if (range->end_key ? strcmp (row->key, range->end_key) >= 0
                     : strcmp (row->key, range->first_key) != 0)
    return false;
  return row->revision >= range->min_revision;
}

static cs_status_t
memory_range (cs_ctx_t *ctx, cs_platform_t *platform,
              const cs_range_query_t *range, GPtrArray *rows,
              int64_t *revision)
{
  (void)ctx;
  store_t *store = store_of (platform);
  pthread_mutex_lock (&store->lock);
  GTreeNode *node = g_tree_lower_bound (store->rows, range->first_key);
  for (; node; node = g_tree_node_next (node))
    {
      const cs_row_t *row = g_tree_node_value (node);
      if (range->end_key && strcmp (row->key, range->end_key) >= 0)
        break;
      if (range->max_rows && (int64_t)rows->len >= range->max_rows)
        break;
      if (row_matches (range, row))
        g_ptr_array_add (rows,
                         cs_row_new (row->key, cs_str_of_gstring (row->value),
                                     row->revision));
      if (!range->end_key)
        break;
    }
  *revision = store->revision;
  pthread_mutex_unlock (&store->lock);
  return CS_OK;
}

static bool
conditions_hold (store_t *store, const cs_txn_t *txn)
{
  for (size_t i = 0; i < txn->condition_count; i++)
    {
      const cs_txn_condition_t *condition = &txn->conditions[i];
      const cs_row_t *row = g_tree_lookup (store->rows, condition->key);
      if ((row ? row->revision : 0) != condition->revision)
        return false;
    }
  return true;
}

static void
apply_writes (store_t *store, const cs_txn_t *txn)
{
  store->revision++;
  for (size_t i = 0; i < txn->write_count; i++)
    {
      const cs_txn_write_t *write = &txn->writes[i];
      if (write->is_delete)
        g_tree_remove (store->rows, write->key);
      else
        {
          cs_row_t *row
              = cs_row_new (write->key, write->value, store->revision);
          g_tree_replace (store->rows, row->key, row);
        }
    }
}

static cs_status_t
memory_commit (cs_ctx_t *ctx, cs_platform_t *platform, const cs_txn_t *txn,
               int64_t *revision)
{
  store_t *store = store_of (platform);
  pthread_mutex_lock (&store->lock);
  bool conditions_met = conditions_hold (store, txn);
  if (conditions_met)
    apply_writes (store, txn);
  *revision = store->revision;
  pthread_mutex_unlock (&store->lock);
  if (!conditions_met)
    return cs_fail (ctx, CS_CONFLICT, "a row changed meanwhile; read again");
  return CS_OK;
}

static bool
tag_matches (const cs_row_t *object, const char *if_tag)
{
  if (!if_tag)
    return true;
  if (!*if_tag || !object)
    return !*if_tag && !object;
  return g_ascii_strtoll (if_tag, NULL, 10) == object->revision;
}

static cs_status_t
memory_put (cs_ctx_t *ctx, cs_platform_t *platform, const char *key,
            cs_str_t body, const char *if_tag)
{
  store_t *store = store_of (platform);
  pthread_mutex_lock (&store->lock);
  bool matches = tag_matches (g_tree_lookup (store->objects, key), if_tag);
  if (matches)
    {
      cs_row_t *row = cs_row_new (key, body, ++store->revision);
      g_tree_replace (store->objects, row->key, row);
    }
  pthread_mutex_unlock (&store->lock);
  if (!matches)
    return cs_fail (ctx, CS_CONFLICT, "object '%s' changed; read again", key);
  return CS_OK;
}

static cs_status_t
memory_get (cs_ctx_t *ctx, cs_platform_t *platform, const char *key,
            GString *body, char **tag)
{
  store_t *store = store_of (platform);
  pthread_mutex_lock (&store->lock);
  const cs_row_t *row = g_tree_lookup (store->objects, key);
  if (row)
    {
      g_string_append_len (body, row->value->str, (gssize)row->value->len);
      if (tag)
        *tag = g_strdup_printf ("%lld", (long long)row->revision);
    }
  pthread_mutex_unlock (&store->lock);
  if (!row)
    return cs_fail (ctx, CS_NOT_FOUND, "no object '%s'", key);
  return CS_OK;
}

static const cs_platform_vtable_t memory_vtable = {
  .open = memory_open,
  .drop = memory_drop,
  .read_range = memory_range,
  .commit = memory_commit,
  .put_object = memory_put,
  .get_object = memory_get,
};

static cs_plugin_t memory_plugin = {
  .kind = CS_PLUGIN_PLATFORM,
  .name = "memory",
  .summary = "in-memory store of this process, for tests and trials",
  .vtable = &memory_vtable,
};

CS_PLUGIN (memory_plugin)
