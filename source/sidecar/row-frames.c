#include "row-frames.h"

void
row_frame_pack (cs_pack_t *pack, const row_frame_t *frame)
{
  cs_pack_array (pack, 9);
  cs_pack_int64 (pack, CS_FRAME_ROW);
  cs_pack_text (pack, frame->key);
  cs_pack_int64 (pack, frame->revision.version);
  cs_pack_int64 (pack, frame->exists);
  cs_pack_int64 (pack, frame->base.version);
  cs_pack_bytes (pack, frame->delta);
  cs_pack_int64 (pack, frame->revision.era);
  cs_pack_int64 (pack, frame->base.era);
  cs_pack_int64 (pack, frame->certain);
}

void
row_frame_unpack (cs_unpack_cursor_t *in, int64_t era, row_frame_t *frame)
{
  *frame = (row_frame_t){ .key = cs_unpack_text (in), .certain = true };
  frame->revision.version = cs_unpack_int64 (in);
  frame->exists = cs_unpack_int64 (in) != 0;
  frame->base.version = cs_unpack_int64 (in);
  frame->delta = cs_unpack_str (in);
  bool names_era = in->remaining >= 3;
  frame->revision.era = names_era ? cs_unpack_int64 (in) : era;
  int64_t base_era = names_era ? cs_unpack_int64 (in) : era;
  frame->base.era = frame->base.version ? base_era : 0;
  if (names_era)
    frame->certain = cs_unpack_int64 (in) != 0;
}

void
freshness_frame_pack (cs_pack_t *pack, const freshness_frame_t *frame)
{
  cs_pack_array (pack, 9);
  cs_pack_int64 (pack, CS_FRAME_ROWS_FRESHNESS);
  cs_pack_int64 (pack, frame->revision.version);
  cs_pack_int64 (pack, frame->sum);
  cs_pack_int64 (pack, frame->age);
  cs_pack_int64 (pack, frame->reads_table);
  cs_pack_int64 (pack, frame->keys_age);
  cs_pack_int64 (pack, frame->sent_at);
  cs_pack_int64 (pack, (int64_t)frame->hash);
  cs_pack_int64 (pack, frame->revision.era);
}

void
freshness_frame_unpack (cs_unpack_cursor_t *in, int64_t era,
                        freshness_frame_t *frame)
{
  *frame = (freshness_frame_t){ .revision.version = cs_unpack_int64 (in) };
  frame->sum = cs_unpack_int64 (in);
  frame->age = cs_unpack_int64 (in);
  frame->reads_table = cs_unpack_int64 (in) != 0;
  frame->names_keys = in->remaining >= 2;
  if (frame->names_keys)
    {
      frame->keys_age = cs_unpack_int64 (in);
      frame->sent_at = cs_unpack_int64 (in);
    }
  frame->has_hash = in->remaining >= 2;
  frame->hash = frame->has_hash ? (uint64_t)cs_unpack_int64 (in) : 0;
  frame->revision.era = frame->has_hash ? cs_unpack_int64 (in) : era;
}

void
request_frame_pack (cs_pack_t *pack)
{
  cs_pack_array (pack, 2);
  cs_pack_int64 (pack, CS_FRAME_ROWS_REQUEST);
  cs_pack_int64 (pack, true);
}

bool
request_frame_unpack (cs_unpack_cursor_t *in)
{
  return in->remaining && cs_unpack_int64 (in) != 0;
}

void
complete_frame_pack (cs_pack_t *pack, cs_revision_t revision,
                     bool to_knows_eras, size_t name_count)
{
  cs_pack_array (pack, 2 + name_count);
  cs_pack_int64 (pack, CS_FRAME_ROWS_COMPLETE);
  cs_pack_int64 (pack, to_knows_eras ? cs_revision_to_number (revision)
                                     : revision.version);
}

cs_revision_t
complete_frame_unpack (cs_unpack_cursor_t *in)
{
  return cs_revision_from_number (cs_unpack_int64 (in));
}
