#include <string.h>

#include "cardamom/dist.h"

void
cs_dist_message_clear (cs_ctx_t *ctx, cs_dist_message_t *message)
{
  if (message->changes)
    g_ptr_array_unref (message->changes);
  cs_docs_drop (ctx, message->docs);
  *message = (cs_dist_message_t){ 0 };
}

static gboolean
pack_document (gpointer path, gpointer text, gpointer user)
{
  cs_pack_text (user, path);
  cs_pack_text (user, text);
  return FALSE;
}

void
cs_dist_message_pack (cs_pack_t *pack, const cs_dist_message_t *message)
{
  size_t changes = message->changes ? message->changes->len : 0;
  size_t docs = message->docs ? cs_docs_count (message->docs) : 0;
  cs_pack_array (pack, 7);
  cs_pack_int64 (pack, message->type);
  cs_pack_int64 (pack, message->version);
  cs_pack_uint64 (pack, message->digest);
  cs_pack_int64 (pack, message->ready);
  cs_pack_int64 (pack, message->forward);
  cs_pack_array (pack, changes);
  for (size_t i = 0; i < changes; i++)
    {
      char *text = cs_change_encode (message->changes->pdata[i]);
      cs_pack_text (pack, text);
      g_free (text);
    }
  cs_pack_array (pack, 2 * docs);
  if (docs)
    cs_docs_foreach (message->docs, pack_document, pack);
}

static cs_status_t
unpack_changes (cs_ctx_t *ctx, cs_unpack_cursor_t *in,
                cs_dist_message_t *message)
{
  cs_unpack_cursor_t list = cs_unpack_array (in);
  message->changes = cs_changes_new ();
  while (list.remaining && !list.failed)
    {
      cs_change_t *change;
      cs_status_t status
          = cs_change_decode (ctx, cs_unpack_str (&list), &change);
      if (status != CS_OK)
        return status;
      g_ptr_array_add (message->changes, change);
    }
  in->failed = in->failed || list.failed;
  return CS_OK;
}

static void
unpack_docs (cs_ctx_t *ctx, cs_unpack_cursor_t *in, cs_dist_message_t *message)
{
  cs_unpack_cursor_t list = cs_unpack_array (in);
  message->docs = cs_docs_new (ctx);
  while (list.remaining && !list.failed)
    {
      char *path = cs_unpack_text (&list);
      char *text = cs_unpack_text (&list);
      cs_docs_set (message->docs, path, text);
      g_free (path);
      g_free (text);
    }
  in->failed = in->failed || list.failed;
}

cs_status_t
cs_dist_message_unpack (cs_ctx_t *ctx, cs_unpack_cursor_t *cursor,
                        cs_dist_message_t *message)
{
  cs_unpack_cursor_t in = cs_unpack_array (cursor);
  *message = (cs_dist_message_t){ 0 };
  int64_t type = cs_unpack_int64 (&in);
  message->type = (cs_dist_type_t)type;
  message->version = cs_unpack_int64 (&in);
  message->digest = cs_unpack_uint64 (&in);
  message->ready = cs_unpack_int64 (&in) != 0;
  message->forward = cs_unpack_int64 (&in) != 0;
  cs_status_t status = unpack_changes (ctx, &in, message);
  if (status == CS_OK)
    unpack_docs (ctx, &in, message);
  if (status == CS_OK
      && (in.failed || message->version < 0 || type < CS_DIST_ANNOUNCE
          || type > CS_DIST_BUSY))
    status = cs_fail (ctx, CS_CORRUPT, "malformed distribution message");
  if (status != CS_OK)
    cs_dist_message_clear (ctx, message);
  return status;
}
