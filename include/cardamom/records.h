/* Replicated soft state: versioned records that nodes exchange by gossip and
   by anti-entropy, which compares digests.  The newest version of a record
   wins, so replicas converge whatever the order of arrival.  */
#ifndef CARDAMOM_RECORDS_H
#define CARDAMOM_RECORDS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "cardamom/context.h"
#include "cardamom/pack.h"

/* Digests exchanged in one comparison.  */
#define CS_RECORD_DIGEST_BUCKETS 16
#define CS_RECORD_VALUE_MAX_BYTES 8192 /* Size of one value in bytes.  */
#define CS_RECORDS_MAX 65536           /* Records held by one node.  */

typedef enum
{
  CS_RECORD_NODE,         /* A node and its upstream; written by that node.  */
  CS_RECORD_HEALTH,       /* Suspicion (seq 1) or death (seq 2) of a node.  */
  CS_RECORD_ROLLBACK,     /* A move that is rolled back; never revoked.  */
  CS_RECORD_CRASH,        /* An upstream crashed while running a request.  */
  CS_RECORD_REPLICA_LOSS, /* Members of a data centre lost together.  */
  CS_RECORD_KIND_COUNT
} cs_record_kind_t;

typedef struct
{
  cs_record_kind_t kind;
  char *key;
  /* Compared first.  That of the node in a node's own record, and that of the
     suspected node in a health record.  In the other kinds a wall time in ms:
     of the crash or rollback, or the end of a replica loss.  */
  uint64_t incarnation;
  uint64_t seq;       /* Within the incarnation; compared second.  */
  int64_t expires_ms; /* Wall time; 0 for never.  */
  GString *value;
  bool urgent; /* Gossiped at once instead of with the next batch.  */
} cs_record_t;

/* A new record that owns copies of KEY and VALUE.  */
cs_record_t *cs_record_new (cs_record_kind_t kind, const char *key,
                            uint64_t incarnation, uint64_t seq,
                            cs_str_t value);
cs_record_t *cs_record_copy (const cs_record_t *record);
void cs_record_free (void *record);

/* An empty list that owns the records added to it.  */
GPtrArray *cs_record_list_new (void);

/* Append RECORD to PACK as one array.  */
void cs_record_pack (cs_pack_t *pack, const cs_record_t *record);

/* Read one record, which the caller owns.  Returns NULL and sets
   CURSOR->failed when it is malformed.  */
cs_record_t *cs_record_unpack (cs_unpack_cursor_t *cursor);

typedef struct cs_records cs_records_t;

/* Called with a record: one that has just become the newest of its key, or one
   that is visited.  RECORD is borrowed.  */
typedef void (*cs_record_callback_t) (void *user, const cs_record_t *record);

cs_records_t *cs_records_new (cs_ctx_t *ctx);
void cs_records_drop (cs_ctx_t *ctx, cs_records_t *records);

/* Have WATCH called with USER after each merge that changes a record.
   Replaces an earlier WATCH.  */
void cs_records_watch (cs_records_t *records, cs_record_callback_t watch,
                       void *user);

/* Store a copy of RECORD if it is newer than the one held and not expired at
   wall time NOW_MS.  Returns whether it was stored; false also when
   CS_RECORDS_MAX are held.  */
bool cs_records_merge (cs_records_t *records, const cs_record_t *record,
                       int64_t now_ms);

/* The record of KIND and KEY, or NULL; valid until the next merge or
   expiry.  */
const cs_record_t *cs_records_find (const cs_records_t *records,
                                    cs_record_kind_t kind, const char *key);

/* Call VISIT with USER for every record of KIND.  */
void cs_records_foreach (const cs_records_t *records, cs_record_kind_t kind,
                         cs_record_callback_t visit, void *user);

size_t cs_records_count (const cs_records_t *records);

/* Remove the records that have expired at wall time NOW_MS.  */
void cs_records_expire (cs_records_t *records, int64_t now_ms);

/* Fill DIGESTS with one digest per bucket.  */
void cs_records_digests (const cs_records_t *records,
                         uint64_t digests[CS_RECORD_DIGEST_BUCKETS]);

/* Append to OUT copies of the records in every bucket whose digest differs
   from that in PEER_DIGESTS.  */
void cs_records_collect_differing (
    const cs_records_t *records,
    const uint64_t peer_digests[CS_RECORD_DIGEST_BUCKETS], GPtrArray *out);

#endif
