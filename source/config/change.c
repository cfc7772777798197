#include <stdlib.h>
#include <string.h>

#include "cardamom/snapshot.h"

static void
free_doc_write (gpointer data)
{
  cs_doc_write_t *doc_write = data;
  g_free (doc_write->path);
  g_free (doc_write->document);
  g_free (doc_write);
}

cs_change_t *
cs_change_new (void)
{
  cs_change_t *change = g_new0 (cs_change_t, 1);
  change->writes = g_ptr_array_new_with_free_func (free_doc_write);
  return change;
}

void
cs_change_free (void *data)
{
  cs_change_t *change = data;
  if (!change)
    return;
  g_free (change->operation);
  g_free (change->team);
  g_ptr_array_unref (change->writes);
  g_free (change);
}

cs_change_t *
cs_change_copy (const cs_change_t *change)
{
  cs_change_t *copy = cs_change_new ();
  copy->version = change->version;
  copy->digest = change->digest;
  copy->operation = g_strdup (change->operation);
  copy->team = g_strdup (change->team);
  copy->accepted_ms = change->accepted_ms;
  for (guint i = 0; i < change->writes->len; i++)
    {
      const cs_doc_write_t *doc_write = change->writes->pdata[i];
      cs_change_add_write (copy, doc_write->path, doc_write->document);
    }
  return copy;
}

void
cs_change_add_write (cs_change_t *change, const char *path,
                     const char *document)
{
  cs_doc_write_t *doc_write = g_new (cs_doc_write_t, 1);
  doc_write->path = g_strdup (path);
  doc_write->document = g_strdup (document);
  g_ptr_array_add (change->writes, doc_write);
}

char *
cs_change_encode (const cs_change_t *change)
{
  json_t *writes = json_array ();
  for (guint i = 0; i < change->writes->len; i++)
    {
      const cs_doc_write_t *doc_write = change->writes->pdata[i];
      json_array_append_new (
          writes, json_pack ("[s,s?]", doc_write->path, doc_write->document));
    }
  json_t *object = json_pack (
      "{s:I,s:o,s:s,s:s,s:I,s:o}", "version", (json_int_t)change->version,
      "digest", json_sprintf ("%016llx", (unsigned long long)change->digest),
      "operation", change->operation, "team", change->team, "accepted_ms",
      (json_int_t)change->accepted_ms, "sets", writes);
  char *dumped = json_dumps (object, JSON_COMPACT);
  char *text = g_strdup (dumped);
  free (dumped);
  json_decref (object);
  return text;
}

static bool
decode_writes (const json_t *writes, cs_change_t *change)
{
  size_t i;
  json_t *entry;
  if (!json_is_array (writes))
    return false;
  json_array_foreach (writes, i, entry)
  {
    const char *path = json_string_value (json_array_get (entry, 0));
    if (!path)
      return false;
    cs_change_add_write (change, path,
                         json_string_value (json_array_get (entry, 1)));
  }
  return true;
}

static bool
decode_object (json_t *object, cs_change_t *change)
{
  json_int_t version, accepted_ms;
  const char *digest, *operation, *team;
  json_t *writes;
  if (json_unpack (object, "{s:I,s:s,s:s,s:s,s:I,s:o}", "version", &version,
                   "digest", &digest, "operation", &operation, "team", &team,
                   "accepted_ms", &accepted_ms, "sets", &writes)
      != 0)
    return false;
  change->version = version;
  change->digest = g_ascii_strtoull (digest, NULL, 16);
  change->operation = g_strdup (operation);
  change->team = g_strdup (team);
  change->accepted_ms = accepted_ms;
  return version > 0 && decode_writes (writes, change);
}

cs_status_t
cs_change_decode (cs_ctx_t *ctx, cs_str_t text, cs_change_t **change)
{
  json_t *object = json_loadb (text.data, text.len, 0, NULL);
  cs_change_t *decoded = cs_change_new ();
  bool valid = object && decode_object (object, decoded);
  json_decref (object);
  if (!valid)
    {
      cs_change_free (decoded);
      return cs_fail (ctx, CS_CORRUPT,
                      "a record of the change log is damaged; restore it from "
                      "the object store");
    }
  *change = decoded;
  return CS_OK;
}

cs_status_t
cs_change_apply (cs_ctx_t *ctx, const cs_change_t *change, cs_docs_t *docs)
{
  for (guint i = 0; i < change->writes->len; i++)
    {
      const cs_doc_write_t *doc_write = change->writes->pdata[i];
      cs_docs_set (docs, doc_write->path, doc_write->document);
    }
  if (cs_docs_digest (docs) != change->digest)
    return cs_fail (ctx, CS_CORRUPT,
                    "version %lld does not have the digest it was accepted "
                    "with; it is not put in force",
                    (long long)change->version);
  return CS_OK;
}
