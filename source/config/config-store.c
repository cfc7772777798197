#include <stdio.h>
#include <string.h>

#include "cardamom/config-store.h"

#define HEAD_KEY "cs/head"
/* Attempts to commit a change despite conflicts and lost answers, and to read
   documents that match the head while others commit.  */
#define TRIES_MAX 16
#define KEY_MAX_BYTES 256 /* Size of the buffers for keys of rows.  */

GPtrArray *
cs_changes_new (void)
{
  return g_ptr_array_new_with_free_func (cs_change_free);
}

static cs_status_t
decode_head (cs_ctx_t *ctx, const cs_row_t *row, cs_config_head_t *head)
{
  long long version;
  unsigned long long digest;
  if (sscanf (row->value->str, "%lld %16llx", &version, &digest) != 2)
    return cs_fail (ctx, CS_CORRUPT,
                    "the row cs/head is damaged; restore it from cs/log");
  *head = (cs_config_head_t){ .version = version,
                              .digest = digest,
                              .revision = row->revision };
  return CS_OK;
}

cs_status_t
cs_config_head_load (cs_ctx_t *ctx, cs_platform_t *platform,
                     cs_config_head_t *head)
{
  cs_row_t *row = NULL;
  *head = (cs_config_head_t){ 0 };
  cs_status_t status = cs_platform_read_row (ctx, platform, HEAD_KEY, &row);
  if (status == CS_NOT_FOUND)
    return CS_OK;
  if (status == CS_OK)
    status = decode_head (ctx, row, head);
  cs_row_free (row);
  return status;
}

static cs_status_t
load_document_rows (cs_ctx_t *ctx, cs_platform_t *platform, cs_docs_t *docs)
{
  int64_t revision;
  GPtrArray *rows = cs_rows_new ();
  cs_status_t status
      = cs_platform_read_prefix (ctx, platform, "cs/doc/", rows, &revision);
  for (guint i = 0; status == CS_OK && i < rows->len; i++)
    {
      const cs_row_t *row = rows->pdata[i];
      /* The path keeps its leading slash.  */
      cs_docs_set (docs, row->key + strlen ("cs/doc"), row->value->str);
    }
  g_ptr_array_unref (rows);
  return status;
}

cs_status_t
cs_docs_load (cs_ctx_t *ctx, cs_platform_t *platform, cs_config_head_t *head,
              cs_docs_t **docs)
{
  for (int try = 0; try < TRIES_MAX; try++)
    {
      cs_docs_t *loaded = cs_docs_new (ctx);
      cs_status_t status = cs_config_head_load (ctx, platform, head);
      if (status == CS_OK)
        status = load_document_rows (ctx, platform, loaded);
      if (status == CS_OK && cs_docs_digest (loaded) == head->digest)
        {
          *docs = loaded;
          return CS_OK;
        }
      cs_docs_drop (ctx, loaded);
      if (status != CS_OK)
        return status;
    }
  return cs_fail (ctx, CS_UNAVAILABLE,
                  "the documents do not match the head's digest; if this "
                  "stays, compare cs/doc with cs/log");
}

cs_status_t
cs_changes_load (cs_ctx_t *ctx, cs_platform_t *platform, int64_t after,
                 GPtrArray *changes)
{
  char first[KEY_MAX_BYTES];
  snprintf (first, sizeof first, "cs/log/%016lld", (long long)after + 1);
  /* In ASCII, 0 follows the slash: the range ends after "cs/log/".  */
  cs_range_query_t range = { .first_key = first, .end_key = "cs/log0" };
  GPtrArray *rows = cs_rows_new ();
  int64_t revision;
  cs_status_t status
      = platform->vtable->read_range (ctx, platform, &range, rows, &revision);
  for (guint i = 0; status == CS_OK && i < rows->len; i++)
    {
      const cs_row_t *row = rows->pdata[i];
      cs_change_t *change = NULL;
      status = cs_change_decode (ctx, cs_str_of_gstring (row->value), &change);
      if (status != CS_OK)
        break;
      g_ptr_array_add (changes, change);
      if (change->version != after + 1 + (int64_t)i)
        status = cs_fail (ctx, CS_NOT_FOUND,
                          "the change log begins after version %lld",
                          (long long)after);
    }
  g_ptr_array_unref (rows);
  return status;
}

/* The state read and the change built by one attempt to commit.  */
typedef struct
{
  cs_config_head_t head;
  cs_docs_t *docs;
  int64_t team_revision, team_version;
  cs_change_t *change;
  char *encoded_change;
} commit_attempt_t;

static void
clear_attempt (cs_ctx_t *ctx, commit_attempt_t *attempt)
{
  cs_docs_drop (ctx, attempt->docs);
  cs_change_free (attempt->change);
  g_free (attempt->encoded_change);
  *attempt = (commit_attempt_t){ 0 };
}

static cs_status_t
read_number_row (cs_ctx_t *ctx, cs_platform_t *platform, const char *key,
                 int64_t *value, int64_t *revision)
{
  cs_row_t *row = NULL;
  *value = *revision = 0;
  cs_status_t status = cs_platform_read_row (ctx, platform, key, &row);
  if (status == CS_OK)
    {
      *value = g_ascii_strtoll (row->value->str, NULL, 10);
      *revision = row->revision;
    }
  cs_row_free (row);
  return status == CS_NOT_FOUND ? CS_OK : status;
}

static cs_status_t
load_current_version (cs_ctx_t *ctx, cs_platform_t *platform,
                      const cs_proposal_t *proposal, commit_attempt_t *attempt)
{
  char key[KEY_MAX_BYTES];
  cs_status_t status
      = cs_docs_load (ctx, platform, &attempt->head, &attempt->docs);
  if (status != CS_OK)
    return status;
  snprintf (key, sizeof key, "cs/sub/%s", proposal->team);
  status = read_number_row (ctx, platform, key, &attempt->team_version,
                            &attempt->team_revision);
  if (status != CS_OK)
    return status;
  if (proposal->expected_version >= 0
      && proposal->expected_version != attempt->team_version)
    return cs_fail (ctx, CS_CONFLICT,
                    "the subtree of '%s' was last changed by version %lld, "
                    "not %lld; read it again and repeat the change",
                    proposal->team, (long long)attempt->team_version,
                    (long long)proposal->expected_version);
  return CS_OK;
}

/* Apply the proposed writes to the documents that were read and validate the
   result by building a snapshot, as every node will.  */
static cs_status_t
build_next_version (cs_ctx_t *ctx, const cs_proposal_t *proposal,
                    commit_attempt_t *attempt)
{
  cs_snapshot_t *snapshot = NULL;
  cs_change_t *change = attempt->change = cs_change_new ();
  GString *errors = g_string_new (NULL);
  for (guint i = 0; i < proposal->change->writes->len; i++)
    {
      const cs_doc_write_t *doc_write = proposal->change->writes->pdata[i];
      cs_docs_set (attempt->docs, doc_write->path, doc_write->document);
      cs_change_add_write (change, doc_write->path, doc_write->document);
    }
  change->version = attempt->head.version + 1;
  change->digest = cs_docs_digest (attempt->docs);
  change->operation = g_strdup (proposal->operation);
  change->team = g_strdup (proposal->team);
  change->accepted_ms = cs_now_wall (ctx) / CS_MSEC;
  attempt->encoded_change = cs_change_encode (change);
  cs_status_t status = cs_snapshot_build (ctx, change->version,
                                          cs_docs_copy (ctx, attempt->docs),
                                          &snapshot, errors);
  cs_snapshot_drop (ctx, snapshot);
  g_string_free (errors, TRUE);
  return status;
}

static cs_txn_write_t *
add_write (GArray *writes, GStringChunk *keys, const char *key)
{
  cs_txn_write_t write = { .key = g_string_chunk_insert (keys, key) };
  g_array_append_val (writes, write);
  return &g_array_index (writes, cs_txn_write_t, writes->len - 1);
}

static void
add_document_writes (GArray *writes, GStringChunk *keys,
                     const cs_change_t *change)
{
  for (guint i = 0; i < change->writes->len; i++)
    {
      const cs_doc_write_t *doc_write = change->writes->pdata[i];
      char *key = g_strconcat ("cs/doc", doc_write->path, NULL);
      cs_txn_write_t *write = add_write (writes, keys, key);
      write->is_delete = !doc_write->document;
      write->value = cs_str_of (doc_write->document);
      g_free (key);
    }
}

static cs_status_t
commit_change (cs_ctx_t *ctx, cs_platform_t *platform,
               const cs_proposal_t *proposal, const commit_attempt_t *attempt)
{
  char key[KEY_MAX_BYTES], team_key[KEY_MAX_BYTES],
      operation_key[KEY_MAX_BYTES], head_text[64], version_text[32];
  int64_t revision, version = attempt->change->version;
  GStringChunk *keys = g_string_chunk_new (1024);
  GArray *writes = g_array_new (FALSE, TRUE, sizeof (cs_txn_write_t));
  GArray *conditions = g_array_new (FALSE, TRUE, sizeof (cs_txn_condition_t));
  snprintf (team_key, sizeof team_key, "cs/sub/%s", proposal->team);
  snprintf (operation_key, sizeof operation_key, "cs/op/%s/%s", proposal->team,
            proposal->operation);
  snprintf (head_text, sizeof head_text, "%lld %016llx", (long long)version,
            (unsigned long long)attempt->change->digest);
  snprintf (version_text, sizeof version_text, "%lld", (long long)version);
  add_write (writes, keys, HEAD_KEY)->value = cs_str_of (head_text);
  add_write (writes, keys, team_key)->value = cs_str_of (version_text);
  add_write (writes, keys, operation_key)->value = cs_str_of (version_text);
  snprintf (key, sizeof key, "cs/log/%016lld", (long long)version);
  add_write (writes, keys, key)->value = cs_str_of (attempt->encoded_change);
  if (version > CS_CHANGE_LOG_MAX_VERSIONS)
    {
      snprintf (key, sizeof key, "cs/log/%016lld",
                (long long)version - CS_CHANGE_LOG_MAX_VERSIONS);
      add_write (writes, keys, key)->is_delete = true;
    }
  add_document_writes (writes, keys, attempt->change);
  cs_txn_condition_t own_conditions[] = {
    { .key = HEAD_KEY, .revision = attempt->head.revision },
    { .key = team_key, .revision = attempt->team_revision },
    { .key = operation_key, .revision = 0 },
  };
  g_array_append_vals (conditions, own_conditions,
                       G_N_ELEMENTS (own_conditions));
  if (proposal->fence_count)
    g_array_append_vals (conditions, proposal->fences,
                         (guint)proposal->fence_count);
  cs_txn_t txn
      = { .conditions = (cs_txn_condition_t *)(void *)conditions->data,
          .condition_count = conditions->len,
          .writes = (cs_txn_write_t *)(void *)writes->data,
          .write_count = writes->len };
  cs_status_t status = cs_platform_commit (ctx, platform, &txn, &revision);
  g_array_unref (conditions);
  g_array_unref (writes);
  g_string_chunk_free (keys);
  return status;
}

/* Read the version that the operation was committed as into *VERSION; 0 when
   it has not taken effect.  */
static cs_status_t
find_operation (cs_ctx_t *ctx, cs_platform_t *platform,
                const cs_proposal_t *proposal, int64_t *version)
{
  char key[KEY_MAX_BYTES];
  int64_t revision;
  snprintf (key, sizeof key, "cs/op/%s/%s", proposal->team,
            proposal->operation);
  return read_number_row (ctx, platform, key, version, &revision);
}

static cs_status_t
check_fences (cs_ctx_t *ctx, cs_platform_t *platform,
              const cs_proposal_t *proposal)
{
  for (size_t i = 0; i < proposal->fence_count; i++)
    {
      const cs_txn_condition_t *fence = &proposal->fences[i];
      cs_row_t *row = NULL;
      cs_status_t status
          = cs_platform_read_row (ctx, platform, fence->key, &row);
      int64_t revision = row ? row->revision : 0;
      cs_row_free (row);
      if (status != CS_OK && status != CS_NOT_FOUND)
        return status;
      if (revision != fence->revision)
        return cs_fail (ctx, CS_CONFLICT,
                        "the lease on row %s is lost; nothing was written",
                        fence->key);
    }
  return CS_OK;
}

static cs_status_t
try_commit (cs_ctx_t *ctx, cs_platform_t *platform,
            const cs_proposal_t *proposal, commit_attempt_t *attempt)
{
  cs_status_t status = load_current_version (ctx, platform, proposal, attempt);
  if (status == CS_OK)
    status = build_next_version (ctx, proposal, attempt);
  if (status != CS_OK)
    return status;
  return commit_change (ctx, platform, proposal, attempt);
}

cs_status_t
cs_proposal_commit (cs_ctx_t *ctx, cs_platform_t *platform,
                    const cs_proposal_t *proposal, int64_t *version,
                    cs_change_t **accepted)
{
  cs_status_t status = CS_CONFLICT;
  bool outcome_unknown = false;
  for (int try = 0; try < TRIES_MAX; try++)
    {
      commit_attempt_t attempt = { 0 };
      status = find_operation (ctx, platform, proposal, version);
      if (status == CS_OK && *version > 0)
        return CS_OK;
      if (status == CS_OK)
        status = check_fences (ctx, platform, proposal);
      if (status != CS_OK)
        break;
      status = try_commit (ctx, platform, proposal, &attempt);
      if (status == CS_OK)
        {
          *version = attempt.change->version;
          if (accepted)
            {
              *accepted = attempt.change;
              attempt.change = NULL;
            }
        }
      bool reached_commit = attempt.encoded_change != NULL;
      clear_attempt (ctx, &attempt);
      outcome_unknown = outcome_unknown || status == CS_UNKNOWN;
      if (!(reached_commit && (status == CS_CONFLICT || status == CS_UNKNOWN)))
        break;
    }
  if (status == CS_UNAVAILABLE && outcome_unknown)
    return cs_fail (ctx, CS_UNKNOWN,
                    "the platform took the change but its answer was lost; "
                    "repeat with the same operation id");
  return status;
}
