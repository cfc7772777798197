/* Keys of workspaces, as keyed digests, and the table from digest to
   workspace.  */
#include <sodium.h>
#include <string.h>

#include "cardamom/workspace.h"

/* A cap of so many requests a second, or more, is none.  */
#define PER_S_MAX 1e9

struct cs_workspaces
{
  GHashTable *by_digest; /* cs_key_digest_t * -> cs_workspace_t *.  */
  GHashTable *by_id;     /* uint64_t * -> cs_workspace_t *, owned.  */
  bool have_caps;
};

static unsigned char secret[crypto_generichash_KEYBYTES];

void
cs_key_digest_set_secret (cs_str_t deployment)
{
  static const char purpose[] = "cardamom workspace keys";
  crypto_generichash (secret, sizeof secret,
                      (const unsigned char *)deployment.data, deployment.len,
                      (const unsigned char *)purpose, sizeof purpose - 1);
}

cs_key_digest_t
cs_key_digest (cs_str_t key)
{
  cs_key_digest_t digest;
  crypto_generichash (digest.bytes, sizeof digest.bytes,
                      (const unsigned char *)key.data, key.len, secret,
                      sizeof secret);
  return digest;
}

void
cs_key_digest_format (GString *out, const cs_key_digest_t *digest)
{
  char text[2 * CS_KEY_DIGEST_BYTES + 1];
  sodium_bin2hex (text, sizeof text, digest->bytes, sizeof digest->bytes);
  g_string_append (out, text);
}

bool
cs_key_digest_parse (const char *text, cs_key_digest_t *digest)
{
  size_t len;
  return strlen (text) == 2 * CS_KEY_DIGEST_BYTES
         && sodium_hex2bin (digest->bytes, sizeof digest->bytes, text,
                            strlen (text), NULL, &len, NULL)
                == 0
         && len == CS_KEY_DIGEST_BYTES;
}

static guint
digest_hash (gconstpointer digest)
{
  guint hash;
  memcpy (&hash, digest, sizeof hash);
  return hash;
}

static gboolean
digest_equal (gconstpointer a, gconstpointer b)
{
  return sodium_memcmp (a, b, CS_KEY_DIGEST_BYTES) == 0;
}

static void
free_workspace (void *data)
{
  cs_workspace_t *workspace = data;
  g_free (workspace->name);
  g_strfreev (workspace->allowed_regions);
  g_free (workspace);
}

cs_workspaces_t *
cs_workspaces_new (void)
{
  cs_workspaces_t *workspaces = g_new0 (cs_workspaces_t, 1);
  workspaces->by_digest
      = g_hash_table_new_full (digest_hash, digest_equal, g_free, NULL);
  workspaces->by_id = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL,
                                             free_workspace);
  return workspaces;
}

void
cs_workspaces_free (cs_workspaces_t *workspaces)
{
  if (!workspaces)
    return;
  g_hash_table_unref (workspaces->by_digest);
  g_hash_table_unref (workspaces->by_id);
  g_free (workspaces);
}

void
cs_workspaces_add (cs_workspaces_t *workspaces, cs_workspace_t *workspace)
{
  workspace->id = cs_hash_text (workspace->name, 0);
  if (workspace->per_s >= PER_S_MAX)
    workspace->per_s = 0;
  workspace->burst = MIN (workspace->burst, PER_S_MAX);
  workspaces->have_caps |= workspace->per_s > 0;
  g_hash_table_insert (workspaces->by_id, &workspace->id, workspace);
}

bool
cs_workspaces_add_key (cs_workspaces_t *workspaces, cs_workspace_t *workspace,
                       const cs_key_digest_t *digest)
{
  const cs_workspace_t *holder
      = g_hash_table_lookup (workspaces->by_digest, digest);
  if (holder)
    return holder == workspace;
  g_hash_table_insert (workspaces->by_digest,
                       g_memdup2 (digest, sizeof *digest), workspace);
  return true;
}

const cs_workspace_t *
cs_workspaces_find_key (const cs_workspaces_t *workspaces,
                        const cs_key_digest_t *digest)
{
  return g_hash_table_lookup (workspaces->by_digest, digest);
}

const cs_workspace_t *
cs_workspaces_find (const cs_workspaces_t *workspaces, uint64_t id)
{
  return g_hash_table_lookup (workspaces->by_id, &id);
}

bool
cs_workspaces_have_caps (const cs_workspaces_t *workspaces)
{
  return workspaces->have_caps;
}

unsigned
cs_workspaces_count (const cs_workspaces_t *workspaces)
{
  return g_hash_table_size (workspaces->by_id);
}

cs_str_t
cs_bearer_key (cs_str_t value)
{
  static const char scheme[] = "Bearer ";
  size_t at = sizeof scheme - 1;
  if (value.len < at || g_ascii_strncasecmp (value.data, scheme, at) != 0)
    return (cs_str_t){ 0 };
  while (at < value.len && value.data[at] == ' ')
    at++;
  return at < value.len
             ? (cs_str_t){ .data = value.data + at, .len = value.len - at }
             : (cs_str_t){ 0 };
}
