/* Malformed input to every decoder: a table of fixed cases, then a fixed
   number of random mutations of valid input, from a fixed seed.  A decoder may
   accept or refuse a mutation, but must not crash, hang or read beyond its
   input, which the sanitizer builds detect.  */
#include <string.h>

#include "cardamom/cardamom.h"

#define MUTATIONS_PER_DECODER 3000
#define NESTING_DEPTH 4000 /* Depth of nested arrays and objects.  */

static cs_ctx_t *
new_ctx (void)
{
  return cs_ctx_new (NULL, cs_clock_system (), 1);
}

/* The decoders under test.  Each returns whether it accepted the input.  */

static bool
decode_records (cs_ctx_t *ctx, cs_str_t input)
{
  cs_unpack_t unpack;
  cs_unpack_cursor_t in;
  if (cs_unpack_init (ctx, &unpack, input, &in) != CS_OK)
    return false;
  while (in.remaining && !in.failed)
    cs_record_free (cs_record_unpack (&in));
  bool accepted = !in.failed;
  cs_unpack_clear (&unpack);
  return accepted;
}

static bool
decode_dist_message (cs_ctx_t *ctx, cs_str_t input)
{
  cs_unpack_t unpack;
  cs_unpack_cursor_t in;
  cs_dist_message_t message;
  if (cs_unpack_init (ctx, &unpack, input, &in) != CS_OK)
    return false;
  bool accepted = cs_dist_message_unpack (ctx, &in, &message) == CS_OK;
  if (accepted)
    cs_dist_message_clear (ctx, &message);
  cs_unpack_clear (&unpack);
  return accepted;
}

static bool
decode_idempotency_record (cs_ctx_t *ctx, cs_str_t input)
{
  cs_unpack_t unpack;
  cs_unpack_cursor_t in;
  if (cs_unpack_init (ctx, &unpack, input, &in) != CS_OK)
    return false;
  cs_idempotency_record_t *record = cs_idempotency_record_unpack (&in);
  bool accepted = record != NULL;
  cs_idempotency_record_free (record);
  cs_unpack_clear (&unpack);
  return accepted;
}

static bool
decode_replica_loss (cs_ctx_t *ctx, cs_str_t input)
{
  cs_unpack_t unpack;
  cs_unpack_cursor_t in;
  if (cs_unpack_init (ctx, &unpack, input, &in) != CS_OK)
    return false;
  cs_replica_loss_t *loss = cs_replica_loss_unpack (&in);
  bool accepted = loss != NULL;
  if (accepted)
    cs_replica_loss_covers (loss, "key");
  cs_replica_loss_free (loss);
  cs_unpack_clear (&unpack);
  return accepted;
}

static bool
decode_paired_stats (cs_ctx_t *ctx, cs_str_t input)
{
  cs_unpack_t unpack;
  cs_unpack_cursor_t in;
  cs_paired_stats_t stats;
  if (cs_unpack_init (ctx, &unpack, input, &in) != CS_OK)
    return false;
  cs_paired_stats_unpack (&in, &stats);
  bool accepted = !in.failed;
  cs_unpack_clear (&unpack);
  return accepted;
}

static bool
decode_change (cs_ctx_t *ctx, cs_str_t input)
{
  cs_change_t *change;
  bool accepted = cs_change_decode (ctx, input, &change) == CS_OK;
  if (accepted)
    cs_change_free (change);
  return accepted;
}

static bool
decode_document (cs_ctx_t *ctx, cs_str_t input)
{
  char *canonical = NULL;
  cs_snapshot_t *snapshot = NULL;
  GString *errors = g_string_new (NULL);
  bool accepted = cs_document_canonicalize (ctx, input, &canonical) == CS_OK;
  if (accepted)
    {
      cs_docs_t *docs = cs_docs_new (ctx);
      cs_docs_set (docs, "/t/services/s", "{\"version\":\"v1\"}");
      cs_docs_set (docs, "/t/routes/r", canonical);
      accepted = cs_snapshot_build (ctx, 1, docs, &snapshot, errors) == CS_OK;
    }
  cs_snapshot_drop (ctx, snapshot);
  g_free (canonical);
  g_string_free (errors, TRUE);
  return accepted;
}

/* Valid input for each decoder.  */

static GString *
copy_payload (cs_pack_t *pack)
{
  cs_str_t payload = cs_pack_payload (pack);
  GString *copy = g_string_new_len (payload.data, (gssize)payload.len);
  cs_pack_clear (pack);
  return copy;
}

static GString *
valid_records (cs_ctx_t *ctx)
{
  cs_pack_t pack;
  cs_record_t *record
      = cs_record_new (CS_RECORD_NODE, "n1", 5, 6, CS_STR ("value"));
  (void)ctx;
  cs_pack_init (&pack);
  cs_pack_array (&pack, 3);
  for (int i = 0; i < 3; i++)
    cs_record_pack (&pack, record);
  cs_record_free (record);
  return copy_payload (&pack);
}

static cs_change_t *
example_change (void)
{
  cs_change_t *change = cs_change_new ();
  change->version = 3;
  change->operation = g_strdup ("op");
  change->team = g_strdup ("t");
  cs_change_add_write (change, "/t/services/s", "{\"version\":\"v1\"}");
  cs_change_add_write (change, "/t/routes/r", NULL);
  return change;
}

static GString *
valid_dist_message (cs_ctx_t *ctx)
{
  cs_pack_t pack;
  cs_dist_message_t message = { .type = CS_DIST_CHANGES, .version = 3 };
  message.changes = cs_changes_new ();
  g_ptr_array_add (message.changes, example_change ());
  message.docs = cs_docs_new (ctx);
  cs_docs_set (message.docs, "/t/services/s", "{\"version\":\"v1\"}");
  cs_pack_init (&pack);
  cs_pack_array (&pack, 1);
  cs_dist_message_pack (&pack, &message);
  cs_dist_message_clear (ctx, &message);
  return copy_payload (&pack);
}

static GString *
valid_idempotency_record (cs_ctx_t *ctx)
{
  cs_pack_t pack;
  GString *result = g_string_new ("answer");
  cs_idempotency_record_t record = { .key = (char *)"k",
                                     .owner = (char *)"n",
                                     .claim_id = 1,
                                     .expires_ms = 5,
                                     .result = result };
  (void)ctx;
  cs_pack_init (&pack);
  cs_pack_array (&pack, 1);
  cs_idempotency_record_pack (&pack, &record);
  g_string_free (result, TRUE);
  return copy_payload (&pack);
}

static GString *
valid_replica_loss (cs_ctx_t *ctx)
{
  cs_pack_t pack;
  cs_replica_loss_t *loss = cs_replica_loss_new (5, false);
  (void)ctx;
  g_ptr_array_add (loss->members_before, g_strdup ("a"));
  g_ptr_array_add (loss->members_before, g_strdup ("b"));
  g_ptr_array_add (loss->members_lost, g_strdup ("a"));
  cs_pack_init (&pack);
  cs_replica_loss_pack (&pack, loss);
  cs_replica_loss_free (loss);
  return copy_payload (&pack);
}

static GString *
valid_paired_stats (cs_ctx_t *ctx)
{
  cs_pack_t pack;
  cs_paired_stats_t stats = { 0 };
  (void)ctx;
  cs_call_stats_record (&stats.baseline, false, 5000);
  cs_call_stats_record (&stats.candidate, true, 0);
  cs_pack_init (&pack);
  cs_pack_array (&pack, 1);
  cs_paired_stats_pack (&pack, &stats);
  return copy_payload (&pack);
}

static GString *
valid_change (cs_ctx_t *ctx)
{
  cs_change_t *change = example_change ();
  char *text = cs_change_encode (change);
  GString *copy = g_string_new (text);
  (void)ctx;
  g_free (text);
  cs_change_free (change);
  return copy;
}

static GString *
valid_document (cs_ctx_t *ctx)
{
  (void)ctx;
  return g_string_new ("{\"host\":\"*\",\"prefix\":\"/p\",\"service\":\"s\","
                       "\"methods\":[\"GET\"],\"timeout_ms\":100}");
}

static const struct
{
  const char *name;
  bool (*decode) (cs_ctx_t *ctx, cs_str_t input);
  GString *(*make_valid) (cs_ctx_t *ctx);
  bool binary; /* msgpack, otherwise JSON.  */
} decoders[] = {
  { "records", decode_records, valid_records, true },
  { "dist", decode_dist_message, valid_dist_message, true },
  { "once", decode_idempotency_record, valid_idempotency_record, true },
  { "loss", decode_replica_loss, valid_replica_loss, true },
  { "sample", decode_paired_stats, valid_paired_stats, true },
  { "change", decode_change, valid_change, false },
  { "document", decode_document, valid_document, false },
};

/* A text of DEPTH times OPENING, the first byte of an array or object.  The
   nested values have no end.  */
static GString *
repeat_opening (char opening, int depth)
{
  GString *text = g_string_new (NULL);
  for (int i = 0; i < depth; i++)
    g_string_append_c (text, opening);
  return text;
}

/* Check that DECODER refuses inputs that no decoder accepts.  */
static void
check_refused_inputs (cs_ctx_t *ctx, size_t decoder)
{
  GString *valid = decoders[decoder].make_valid (ctx);
  GString *inputs[] = {
    g_string_new (""),
    g_string_new_len ("\x00", 1),
    g_string_new_len ("\xc1", 1),                 /* Reserved in msgpack.  */
    g_string_new_len ("\xdd\xff\xff\xff\xff", 5), /* 2^32 - 1 elements.  */
    g_string_new_len ("\xc6\xff\xff\xff\xff", 5), /* 2^32 - 1 bytes.  */
    repeat_opening ('\x91', NESTING_DEPTH),       /* Arrays of one element.  */
    repeat_opening ('[', NESTING_DEPTH),
    repeat_opening ('{', NESTING_DEPTH),
    g_string_new ("null"),
    g_string_new ("[1,2"),
    g_string_new ("{\"a\":1,\"a\":2}"),
    g_string_new ("\xff\xfe\xfd"),
    g_string_new_len (valid->str, (gssize)valid->len - 1), /* Truncated.  */
  };
  for (size_t i = 0; i < G_N_ELEMENTS (inputs); i++)
    {
      g_assert_false (
          decoders[decoder].decode (ctx, cs_str_of_gstring (inputs[i])));
      g_string_free (inputs[i], TRUE);
    }
  g_string_free (valid, TRUE);
}

/* Replace, insert or delete up to 4 random bytes of TEXT, or truncate it.  */
static void
mutate (GRand *random, GString *text)
{
  int changes = g_rand_int_range (random, 1, 5);
  for (int i = 0; i < changes && text->len; i++)
    {
      gsize position = (gsize)g_rand_int_range (random, 0, (gint)text->len);
      switch (g_rand_int_range (random, 0, 4))
        {
        case 0:
          text->str[position] = (char)g_rand_int_range (random, 0, 256);
          break;
        case 1:
          g_string_truncate (text, position);
          break;
        case 2:
          g_string_erase (text, (gssize)position, 1);
          break;
        default:
          g_string_insert_c (text, (gssize)position,
                             (char)g_rand_int_range (random, 0, 256));
        }
    }
}

static void
test_decoder (gconstpointer data)
{
  size_t decoder = GPOINTER_TO_SIZE (data);
  cs_ctx_t *ctx = new_ctx ();
  GRand *random = g_rand_new_with_seed (20261204 + (guint32)decoder);
  GString *valid = decoders[decoder].make_valid (ctx);
  g_assert_true (decoders[decoder].decode (ctx, cs_str_of_gstring (valid)));
  check_refused_inputs (ctx, decoder);
  for (int i = 0; i < MUTATIONS_PER_DECODER; i++)
    {
      GString *text = g_string_new_len (valid->str, (gssize)valid->len);
      mutate (random, text);
      /* A copy of the exact length, so that the sanitizers detect reads beyond
         its end.  */
      char *exact = g_memdup2 (text->str, text->len);
      decoders[decoder].decode (ctx, (cs_str_t){ exact, text->len });
      g_free (exact);
      g_string_free (text, TRUE);
    }
  g_string_free (valid, TRUE);
  g_rand_free (random);
  cs_ctx_drop (ctx);
}

static void
test_oversize_document (void)
{
  cs_ctx_t *ctx = new_ctx ();
  char *canonical;
  GString *text = g_string_new ("{\"a\":\"");
  while (text->len < CS_DOCUMENT_MAX_BYTES)
    g_string_append_c (text, 'x');
  g_string_append (text, "\"}");
  g_assert_cmpint (
      cs_document_canonicalize (ctx, cs_str_of_gstring (text), &canonical), ==,
      CS_BAD_INPUT);
  g_string_free (text, TRUE);
  cs_ctx_drop (ctx);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  for (size_t decoder = 0; decoder < G_N_ELEMENTS (decoders); decoder++)
    {
      char *path = g_strconcat ("/hostile/", decoders[decoder].name, NULL);
      g_test_add_data_func (path, GSIZE_TO_POINTER (decoder), test_decoder);
      g_free (path);
    }
  g_test_add_func ("/hostile/oversize-document", test_oversize_document);
  return g_test_run ();
}
