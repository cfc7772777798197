#include <string.h>

#include "cardamom/snapshot.h"

struct cs_docs
{
  GTree *tree; /* GRefString path -> GRefString text, shared by copies.  */
  uint64_t digest;
};

static gint
compare_paths (gconstpointer a, gconstpointer b, gpointer user)
{
  (void)user;
  return strcmp (a, b);
}

static void
release_text (gpointer text)
{
  g_ref_string_release (text);
}

cs_docs_t *
cs_docs_new (cs_ctx_t *ctx)
{
  cs_docs_t *docs = cs_calloc (ctx, sizeof *docs);
  docs->tree
      = g_tree_new_full (compare_paths, NULL, release_text, release_text);
  return docs;
}

static gboolean
copy_entry (gpointer path, gpointer text, gpointer user)
{
  g_tree_insert (user, g_ref_string_acquire (path),
                 g_ref_string_acquire (text));
  return FALSE;
}

cs_docs_t *
cs_docs_copy (cs_ctx_t *ctx, const cs_docs_t *docs)
{
  cs_docs_t *copy = cs_docs_new (ctx);
  g_tree_foreach (docs->tree, copy_entry, copy->tree);
  copy->digest = docs->digest;
  return copy;
}

void
cs_docs_drop (cs_ctx_t *ctx, cs_docs_t *docs)
{
  if (!docs)
    return;
  g_tree_unref (docs->tree);
  cs_free (ctx, docs);
}

static uint64_t
document_digest (const char *path, const char *text)
{
  return cs_hash_text (text, cs_hash_text (path, 0));
}

void
cs_docs_set (cs_docs_t *docs, const char *path, const char *text)
{
  const char *old_text = g_tree_lookup (docs->tree, path);
  if (old_text)
    docs->digest -= document_digest (path, old_text);
  if (text)
    {
      docs->digest += document_digest (path, text);
      g_tree_replace (docs->tree, g_ref_string_new (path),
                      g_ref_string_new (text));
    }
  else if (old_text)
    g_tree_remove (docs->tree, path);
}

const char *
cs_docs_get (const cs_docs_t *docs, const char *path)
{
  return g_tree_lookup (docs->tree, path);
}

uint64_t
cs_docs_digest (const cs_docs_t *docs)
{
  return docs->digest;
}

size_t
cs_docs_count (const cs_docs_t *docs)
{
  return (size_t)g_tree_nnodes (docs->tree);
}

void
cs_docs_foreach (const cs_docs_t *docs, GTraverseFunc visit, gpointer user)
{
  g_tree_foreach (docs->tree, visit, user);
}
