/* The table of idempotency records on a replica: which node claimed a key, and
   how its request ended.  It ensures that a request runs at most once per key.
   Not thread safe; the caller supplies the time.  */
#ifndef CARDAMOM_IDEMPOTENCY_H
#define CARDAMOM_IDEMPOTENCY_H

#include "cardamom/pack.h"

#define CS_IDEMPOTENCY_RESULT_MAX (64u << 10) /* Bytes of a stored answer. */
#define CS_IDEMPOTENCY_KEY_MAX 512            /* Bytes of a key.  */

typedef enum
{
  CS_IDEMPOTENCY_CLAIMED, /* The request may be running.  */
  CS_IDEMPOTENCY_DONE,    /* It ran; the answer is stored if it fits.  */
  CS_IDEMPOTENCY_UNKNOWN  /* It may have run; no answer is expected.  */
} cs_idempotency_state_t;

/* The record of one key.  */
typedef struct
{
  char *key;
  char *owner; /* Node that claimed it.  */
  /* Wall time in ms at which its process started; claims of an earlier process
     become CS_IDEMPOTENCY_UNKNOWN.  */
  uint64_t owner_boot_id;
  /* Chosen by the owner; a repeated message has the same one.  */
  uint64_t claim_id;
  /* Hash of the request, to detect reuse of the key for another one.  */
  uint64_t fingerprint;
  cs_idempotency_state_t state;
  int64_t expires_ms; /* Wall time.  */
  GString *result;    /* The answer; NULL: none, or dropped.  */
} cs_idempotency_record_t;

void cs_idempotency_record_free (void *record);
void cs_idempotency_record_pack (cs_pack_t *pack,
                                 const cs_idempotency_record_t *record);
/* Decode a record that the caller frees; NULL when CURSOR holds none.  */
cs_idempotency_record_t *
cs_idempotency_record_unpack (cs_unpack_cursor_t *cursor);

typedef enum
{
  CS_CLAIM_GRANTED,
  CS_CLAIM_IN_FLIGHT, /* Claimed by a request that may still run.  */
  CS_CLAIM_DONE,      /* It ran; (*EXISTING)->result may be NULL.  */
  CS_CLAIM_UNKNOWN,   /* The outcome of an earlier request is unknown.  */
  CS_CLAIM_MISMATCH,  /* The key was used for another request.  */
  CS_CLAIM_TABLE_FULL /* The table has no room for another record.  */
} cs_claim_result_t;

typedef struct cs_idempotency_table cs_idempotency_table_t;

/* A table of at most RECORDS_MAX records, whose results take at most BYTES_MAX
   bytes.  Beyond that the oldest results are dropped, but never a record.  */
cs_idempotency_table_t *
cs_idempotency_table_new (cs_ctx_t *ctx, size_t records_max, size_t bytes_max);
void cs_idempotency_table_drop (cs_ctx_t *ctx, cs_idempotency_table_t *table);

/* Claim the key of WANTED.  On CS_CLAIM_GRANTED a copy of WANTED is stored,
   unless the key is held by a claim with the same claim_id: that record is
   kept as it is.  *EXISTING is the record of the key, NULL on
   CS_CLAIM_TABLE_FULL; it is borrowed until the next call.  */
cs_claim_result_t
cs_idempotency_claim (cs_idempotency_table_t *table,
                      const cs_idempotency_record_t *wanted,
                      const cs_idempotency_record_t **existing);

/* Record that the request of the claim CLAIM_ID has ended in STATE.  RESULT is
   copied and may be NULL.  Returns the record, or NULL when KEY is held by no
   claim or another one, or is in state CS_IDEMPOTENCY_DONE already.  */
const cs_idempotency_record_t *
cs_idempotency_finish (cs_idempotency_table_t *table, const char *key,
                       uint64_t claim_id, cs_idempotency_state_t state,
                       const cs_str_t *result);

/* Remove the record of the claim CLAIM_ID, whose request has certainly not
   run.  FALSE when that claim does not hold KEY, or the record is not in state
   CS_IDEMPOTENCY_CLAIMED.  */
bool cs_idempotency_release (cs_idempotency_table_t *table, const char *key,
                             uint64_t claim_id);

/* Merge a copy of RECORD, received from another or a former replica of its
   key.  FALSE when another claim holds the key.  */
bool cs_idempotency_merge (cs_idempotency_table_t *table,
                           const cs_idempotency_record_t *record);

/* The record of KEY, or NULL.  */
const cs_idempotency_record_t *
cs_idempotency_find (const cs_idempotency_table_t *table, const char *key);

/* Call VISIT for each record.  VISIT must not change the table.  */
void cs_idempotency_foreach (
    const cs_idempotency_table_t *table,
    void (*visit) (void *user, const cs_idempotency_record_t *record),
    void *user);

/* Change the records of OWNER's process OWNER_BOOT_ID, which has died, and of
   the processes before it from CS_IDEMPOTENCY_CLAIMED to
   CS_IDEMPOTENCY_UNKNOWN.  */
void cs_idempotency_mark_unknown (cs_idempotency_table_t *table,
                                  const char *owner, uint64_t owner_boot_id);

/* Remove records that have expired at wall time NOW_MS.  */
void cs_idempotency_expire (cs_idempotency_table_t *table, int64_t now_ms);

/* The number of records, and the bytes of their results.  */
size_t cs_idempotency_count (const cs_idempotency_table_t *table);
size_t cs_idempotency_result_bytes (const cs_idempotency_table_t *table);

#endif
