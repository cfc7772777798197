/* The frames by which nodes exchange operator rows.  Each ends in fields that
   the release before this one, which knows no eras, neither sends nor reads;
   what it sends is of the era that the receiver knows.  */
#ifndef SIDECAR_ROW_FRAMES_H
#define SIDECAR_ROW_FRAMES_H

#include "cardamom/clock.h"
#include "cardamom/frames.h"
#include "cardamom/revision.h"

/* CS_FRAME_ROW.  */
typedef struct
{
  char *key; /* The caller frees what was unpacked.  */
  cs_revision_t revision;
  bool exists;        /* The row was not removed.  */
  cs_revision_t base; /* { 0 }: DELTA is from an empty value.  */
  cs_str_t delta;
  bool certain; /* As for rows_accept.  */
} row_frame_t;

/* CS_FRAME_ROWS_FRESHNESS.  */
typedef struct
{
  cs_revision_t revision;
  int64_t sum; /* Of the versions; all that earlier releases compare.  */
  cs_usec_t age;
  bool reads_table;
  bool names_keys; /* KEYS_AGE and SENT_AT are set.  */
  cs_usec_t keys_age, sent_at;
  bool has_hash;
  uint64_t hash; /* Of the keys and revisions, in any order.  */
} freshness_frame_t;

/* The unpacking functions read the fields after the frame type; malformed ones
   set IN->failed.  ERA is that of a sender that names none.  */
void row_frame_pack (cs_pack_t *pack, const row_frame_t *frame);
void row_frame_unpack (cs_unpack_cursor_t *in, int64_t era,
                       row_frame_t *frame);
void freshness_frame_pack (cs_pack_t *pack, const freshness_frame_t *frame);
void freshness_frame_unpack (cs_unpack_cursor_t *in, int64_t era,
                             freshness_frame_t *frame);

/* CS_FRAME_ROWS_REQUEST.  */
void request_frame_pack (cs_pack_t *pack);
/* Returns whether the sender knows eras.  */
bool request_frame_unpack (cs_unpack_cursor_t *in);

/* The beginning of CS_FRAME_ROWS_COMPLETE: the names of NAME_COUNT rows
   follow.  Of a sender without eras the revision is of era 0: its rows may be
   those from before the table came back, so that what it lacks is not gone
   where the table names eras.  */
void complete_frame_pack (cs_pack_t *pack, cs_revision_t revision,
                          bool to_knows_eras, size_t name_count);
cs_revision_t complete_frame_unpack (cs_unpack_cursor_t *in);

#endif
