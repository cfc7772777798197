/* Frames with operator rows and states of moves between nodes of this release
   and of the one before, which knows no eras: it sends the first fields only
   and reads no further.  */
#include <string.h>

#include "../source/sidecar/moves-internal.h"
#include "../source/sidecar/row-frames.h"

#define ERA 3 /* That the receiver knows.  */

static const row_frame_t row = { .key = (char *)"evacuate/b",
                                 .revision = { 5, 20 },
                                 .exists = true,
                                 .base = { 4, 30 },
                                 .delta = { "delta", 5 } };
static const freshness_frame_t freshness = { .revision = { 5, 20 },
                                             .sum = 44,
                                             .age = 7,
                                             .reads_table = true,
                                             .keys_age = 8,
                                             .sent_at = 9,
                                             .hash = UINT64_MAX - 1 };
static const move_record_t state = { .request_revision = { 5, 20 },
                                     .epoch = 2,
                                     .step = 3,
                                     .owner = "n1",
                                     .baseline = "v1",
                                     .candidate = "v2",
                                     .share_permille = 50,
                                     .phase = CS_MOVE_ROLLED_BACK,
                                     .start_ms = 6,
                                     .deadline_ms = 7,
                                     .total_requests = 8,
                                     .candidate_requests = 9 };

typedef enum
{
  ROW,
  FRESHNESS,
  REQUEST,
  MOVE,
  COMPLETE,
  KINDS
} kind_t;

static const int64_t kinds[] = { [ROW] = CS_FRAME_ROW,
                                 [FRESHNESS] = CS_FRAME_ROWS_FRESHNESS,
                                 [REQUEST] = CS_FRAME_ROWS_REQUEST,
                                 [MOVE] = CS_FRAME_MOVE_STATE,
                                 [COMPLETE] = CS_FRAME_ROWS_COMPLETE };

/* Pack the frame KIND as this release does; TO_ONE_BEFORE tells that the
   receiver is of the release before.  */
static void
pack_now (cs_pack_t *pack, kind_t kind, bool to_one_before)
{
  switch (kind)
    {
    case ROW:
      row_frame_pack (pack, &row);
      break;
    case FRESHNESS:
      freshness_frame_pack (pack, &freshness);
      break;
    case REQUEST:
      request_frame_pack (pack);
      break;
    case MOVE:
      move_record_pack (pack, "desk", &state, true);
      break;
    default:
      complete_frame_pack (pack, (cs_revision_t){ 5, 20 }, !to_one_before, 1);
      cs_pack_text (pack, "config");
    }
}

/* Pack the frame KIND as the release before does.  Its fields are written as
   text, with blanks between them: a number, or a string in quotes.  */
static void
pack_before (cs_pack_t *pack, kind_t kind)
{
  static const char *const fields[]
      = { [ROW] = "'evacuate/b' 20 1 30 'delta'",
          [FRESHNESS] = "20 44 7 1 8 9",
          [REQUEST] = "",
          [MOVE] = "'desk' 20 2 3 'n1' 'v1' 'v2' 50 2 6 7 1 8 9",
          [COMPLETE] = "20 'config'" };
  char **list = g_strsplit (fields[kind], " ", -1);
  cs_pack_array (pack, 1 + g_strv_length (list));
  cs_pack_int64 (pack, kinds[kind]);
  for (guint i = 0; list[i]; i++)
    {
      bool is_text = list[i][0] == '\'';
      cs_str_t text = { list[i] + 1, strlen (list[i]) - 2 };
      if (!is_text)
        cs_pack_int64 (pack, atoll (list[i]));
      else if (strcmp (list[i], "'delta'") == 0)
        cs_pack_bytes (pack, text);
      else
        cs_pack_str (pack, text);
    }
  g_strfreev (list);
}

static void
assert_revision (cs_revision_t revision, int64_t era, int64_t version)
{
  g_assert_cmpint (revision.era, ==, era);
  g_assert_cmpint (revision.version, ==, version);
}

/* Check the fields that follow the frame type, of a frame of this release or,
   with BEFORE, of the one before.  */
static void
check (kind_t kind, cs_unpack_cursor_t *in, bool before)
{
  int64_t era = before ? ERA : 5;
  row_frame_t got_row;
  freshness_frame_t got;
  move_record_t move;
  char service[CS_NAME_SIZE];
  switch (kind)
    {
    case ROW:
      row_frame_unpack (in, ERA, &got_row);
      g_assert_cmpstr (got_row.key, ==, row.key);
      assert_revision (got_row.revision, era, 20);
      assert_revision (got_row.base, before ? ERA : 4, 30);
      g_assert_true (got_row.exists);
      g_assert_cmpint (got_row.certain, ==, before);
      g_assert_true (cs_str_equal (got_row.delta, row.delta));
      g_free (got_row.key);
      break;
    case FRESHNESS:
      freshness_frame_unpack (in, ERA, &got);
      assert_revision (got.revision, era, 20);
      g_assert_cmpint (got.has_hash, ==, !before);
      g_assert_cmpuint (got.hash, ==, before ? 0 : freshness.hash);
      g_assert_cmpint (got.sum, ==, 44);
      g_assert_true (got.reads_table && got.names_keys);
      g_assert_cmpint (got.age * 100 + got.keys_age * 10 + got.sent_at, ==,
                       789);
      break;
    case REQUEST:
      g_assert_cmpint (request_frame_unpack (in), ==, !before);
      break;
    case MOVE:
      g_assert_true (move_record_unpack (in, ERA, service, &move));
      assert_revision (move.request_revision, era, 20);
      g_assert_cmpint (move.candidate_requests, ==, 9);
      g_assert_cmpint (move_record_is_newer (&state, &move), ==, before);
      break;
    default:
      /* A node of the release before may lack rows that were written after the
         table came back, at versions that it has passed.  */
      assert_revision (complete_frame_unpack (in), before ? 0 : 5, 20);
      g_assert_cmpuint (in->remaining, ==, 1);
      in->remaining = 0;
    }
  g_assert_false (in->failed);
  g_assert_cmpuint (in->remaining, ==, 0);
}

static void
test_from (gconstpointer data)
{
  bool before = GPOINTER_TO_INT (data);
  cs_ctx_t *ctx = cs_ctx_new (NULL, cs_clock_boottime (), 1);
  for (kind_t kind = 0; kind < KINDS; kind++)
    {
      cs_pack_t pack;
      cs_unpack_t unpack;
      cs_unpack_cursor_t in;
      cs_pack_init (&pack);
      if (before)
        pack_before (&pack, kind);
      else
        pack_now (&pack, kind, false);
      g_assert_cmpint (
          cs_unpack_init (ctx, &unpack, cs_pack_payload (&pack), &in), ==,
          CS_OK);
      g_assert_cmpint (cs_unpack_int64 (&in), ==, kinds[kind]);
      check (kind, &in, before);
      cs_unpack_clear (&unpack);
      cs_pack_clear (&pack);
    }
  cs_ctx_drop (ctx);
}

/* The fields in PACK, without their number, which takes one byte or three.  */
static cs_str_t
fields_of (const cs_pack_t *pack)
{
  cs_str_t payload = cs_pack_payload (pack);
  size_t header = (uint8_t)payload.data[0] == 0xdc ? 3 : 1;
  return (cs_str_t){ payload.data + header, payload.len - header };
}

/* The release before reads what it would have been sent by its own.  */
static void
test_to_the_release_before (void)
{
  for (kind_t kind = 0; kind < KINDS; kind++)
    {
      cs_pack_t now, before;
      cs_pack_init (&now);
      cs_pack_init (&before);
      pack_now (&now, kind, true);
      pack_before (&before, kind);
      g_assert_true (
          cs_str_has_prefix (fields_of (&now), fields_of (&before)));
      cs_pack_clear (&now);
      cs_pack_clear (&before);
    }
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_data_func ("/row-frames/from-this-release",
                        GINT_TO_POINTER (false), test_from);
  g_test_add_data_func ("/row-frames/from-the-release-before",
                        GINT_TO_POINTER (true), test_from);
  g_test_add_func ("/row-frames/to-the-release-before",
                   test_to_the_release_before);
  return g_test_run ();
}
