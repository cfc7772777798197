/* The table of a keeper of idempotency keys: who claimed a key, and how its
   request ended.  A machine without threads or time of its own.  */
#ifndef CARDAMOM_ONCE_H
#define CARDAMOM_ONCE_H

#include "cardamom/pack.h"

#define CS_ONCE_RESULT_MAX (64u << 10) /* Bytes of one stored answer.  */
#define CS_ONCE_KEY_MAX 512            /* Bytes of one key.  */

typedef enum
{
  CS_ONCE_CLAIMED, /* Its request may be running.  */
  CS_ONCE_DONE,    /* It ran; the answer is kept if it fits.  */
  CS_ONCE_UNKNOWN  /* It may have run; no answer will come.  */
} cs_once_state_t;

/* The record of one key.  */
typedef struct
{
  char *key;
  char *owner;         /* Node that claimed it.  */
  uint64_t owner_boot; /* Its start, so that its death is noticed.  */
  uint64_t claim;      /* Chosen by the owner; repeats are the same claim.  */
  uint64_t print;      /* Of the request: another one under the same key.  */
  cs_once_state_t state;
  int64_t expires_ms; /* Wall time.  */
  GString *result;    /* NULL: none, or no longer held.  */
} cs_once_record_t;

void cs_once_record_free (void *record);
void cs_once_record_pack (cs_pack_t *pack, const cs_once_record_t *record);
/* NULL when CURSOR holds no record.  */
cs_once_record_t *cs_once_record_take (cs_cursor_t *cursor);

typedef enum
{
  CS_CLAIM_GRANTED,
  CS_CLAIM_IN_FLIGHT, /* Claimed by a request that still runs.  */
  CS_CLAIM_DONE,      /* The answer is in *RECORD.  */
  CS_CLAIM_UNKNOWN,   /* An earlier request's end is not known.  */
  CS_CLAIM_MISMATCH,  /* The key was used for another request.  */
  CS_CLAIM_FULL       /* The table holds no more.  */
} cs_claim_t;

typedef struct cs_once cs_once_t;

/* A table of at most RECORDS_MAX records whose results take at most BYTES_MAX
   bytes; beyond that the oldest results are given up, never a record.  */
cs_once_t *cs_once_new (cs_ctx_t *ctx, size_t records_max, size_t bytes_max);
void cs_once_drop (cs_ctx_t *ctx, cs_once_t *once);

/* Claim WANTED's key for it.  A copy is stored on CS_CLAIM_GRANTED.  *HELD is
   the record in the way otherwise, borrowed until the next call.  */
cs_claim_t cs_once_claim (cs_once_t *once, const cs_once_record_t *wanted,
                          const cs_once_record_t **held);

/* The request of CLAIM has ended.  RESULT, copied, may be NULL.  Returns the
   record, or NULL when CLAIM does not hold the key.  */
const cs_once_record_t *cs_once_finish (cs_once_t *once, const char *key,
                                        uint64_t claim, cs_once_state_t state,
                                        const cs_str_t *result);

/* The request of CLAIM has certainly not run: forget it.  */
bool cs_once_release (cs_once_t *once, const char *key, uint64_t claim);

/* Take a copy of RECORD from the other keeper or an earlier one.  FALSE when
   another claim holds the key.  */
bool cs_once_adopt (cs_once_t *once, const cs_once_record_t *record);

/* The record of KEY, or NULL.  */
const cs_once_record_t *cs_once_find (const cs_once_t *once, const char *key);

/* Call VISIT for each record.  VISIT must not change the table.  */
void cs_once_foreach (const cs_once_t *once,
                      void (*visit) (void *user,
                                     const cs_once_record_t *record),
                      void *user);

/* Mark the claims of OWNER's start BOOT as unknown: it has died.  */
void cs_once_orphan (cs_once_t *once, const char *owner, uint64_t boot);

/* Forget what has expired at wall time NOW_MS.  */
void cs_once_expire (cs_once_t *once, int64_t now_ms);

size_t cs_once_count (const cs_once_t *once);
size_t cs_once_bytes (const cs_once_t *once);

#endif
