#include "offers.h"

/* For how long an offer outlives its call, whose node may be late.  */
#define EXPIRY_GRACE (1 * CS_SEC)

struct offers
{
  node_t *node;
  pthread_mutex_t lock;
  GHashTable *by_key; /* "ID ORIGIN" -> offer_t *.  */
};

typedef struct
{
  call_result_t *result;
  cs_usec_t expires_at;
} offer_t;

static void
free_offer (gpointer data)
{
  offer_t *offer = data;
  call_result_free (offer->result);
  g_free (offer);
}

offers_t *
offers_new (node_t *node)
{
  offers_t *offers = g_new0 (offers_t, 1);
  offers->node = node;
  pthread_mutex_init (&offers->lock, NULL);
  offers->by_key
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, free_offer);
  return offers;
}

void
offers_drop (offers_t *offers)
{
  g_hash_table_unref (offers->by_key);
  pthread_mutex_destroy (&offers->lock);
  g_free (offers);
}

static char *
key_of (const char *origin, uint64_t id)
{
  return g_strdup_printf ("%" G_GUINT64_FORMAT " %s", id, origin);
}

/* Take the offer with KEY, which is freed, out of OFFERS; NULL if there is
   none.  */
static call_result_t *
take_result (offers_t *offers, char *key)
{
  pthread_mutex_lock (&offers->lock);
  offer_t *offer = g_hash_table_lookup (offers->by_key, key);
  call_result_t *result = offer ? offer->result : NULL;
  if (offer)
    {
      offer->result = NULL;
      g_hash_table_remove (offers->by_key, key);
    }
  pthread_mutex_unlock (&offers->lock);
  g_free (key);
  return result;
}

void
offers_add (offers_t *offers, const char *origin, uint64_t id,
            call_result_t *result, cs_usec_t deadline)
{
  call_result_t bodiless = *result;
  offer_t *offer = g_new (offer_t, 1);
  *offer
      = (offer_t){ .result = result, .expires_at = deadline + EXPIRY_GRACE };
  bodiless.body = NULL;
  bodiless.offered_bytes = (int64_t)result->body->len;
  pthread_mutex_lock (&offers->lock);
  g_hash_table_insert (offers->by_key, key_of (origin, id), offer);
  /* Before FRAME_GO can take the result.  */
  calls_send_result (offers->node, origin, id, &bodiless);
  pthread_mutex_unlock (&offers->lock);
}

void
offers_handle_go (node_t *node, const char *from, cs_str_t payload)
{
  cs_unpack_t unpack;
  cs_unpack_cursor_t cursor;
  if (cs_unpack_init (node_thread_ctx (node), &unpack, payload, &cursor)
      != CS_OK)
    return;
  cs_unpack_int64 (&cursor);
  uint64_t offered_id = cs_unpack_uint64 (&cursor);
  uint64_t id = cs_unpack_uint64 (&cursor);
  bool failed = cursor.failed;
  cs_unpack_clear (&unpack);
  if (failed)
    {
      cs_counter_add (CS_C_FRAMES_REFUSED, 1);
      return;
    }
  call_result_t *result
      = take_result (node->offers, key_of (from, offered_id));
  if (!result)
    result = call_result_new (CS_RUN_UNKNOWN, "the answer is no longer held");
  calls_send_result (node, from, id, result);
  call_result_free (result);
}

void
offers_cancel (offers_t *offers, const char *origin, uint64_t id)
{
  call_result_free (take_result (offers, key_of (origin, id)));
}

static gboolean
has_expired (gpointer key, gpointer value, gpointer now)
{
  (void)key;
  return ((const offer_t *)value)->expires_at < *(const cs_usec_t *)now;
}

void
offers_expire (offers_t *offers, cs_usec_t now)
{
  pthread_mutex_lock (&offers->lock);
  g_hash_table_foreach_remove (offers->by_key, has_expired, &now);
  pthread_mutex_unlock (&offers->lock);
}

bool
offers_is_empty (offers_t *offers)
{
  pthread_mutex_lock (&offers->lock);
  bool empty = g_hash_table_size (offers->by_key) == 0;
  pthread_mutex_unlock (&offers->lock);
  return empty;
}

call_result_t *
offers_fetch (node_t *node, cs_ctx_t *ctx, const peer_address_t *address,
              uint64_t id, call_result_t *offered, cs_usec_t deadline)
{
  cs_claim_t claim = { .claims = &node->result_claims };
  int64_t bytes = offered->offered_bytes * RESULT_COPIES;
  call_result_free (offered);
  if (!cs_claim_wait (ctx, &claim, bytes, deadline))
    return NULL;
  uint64_t fetch_id;
  cs_pack_t pack;
  pending_call_t *pending = calls_add (node->calls, &fetch_id);
  cs_pack_init (&pack);
  cs_pack_array (&pack, 3);
  cs_pack_int64 (&pack, FRAME_GO);
  cs_pack_uint64 (&pack, id);
  cs_pack_uint64 (&pack, fetch_id);
  if (!peers_send (node->peers, address, cs_pack_payload (&pack), fetch_id))
    calls_complete (node->calls, fetch_id,
                    call_result_new (CS_RUN_UNKNOWN,
                                     "the upstream's node cannot be reached "
                                     "for its answer"));
  cs_pack_clear (&pack);
  call_result_t *result
      = calls_wait (node->calls, fetch_id, pending, deadline);
  if (!result)
    {
      cs_claim_release (&claim);
      return NULL;
    }
  /* FRAME_GO may not have been sent, but the request has run.  */
  if (!result->status)
    result->run_state = CS_RUN_UNKNOWN;
  if (result->body)
    result->claim = claim;
  else
    cs_claim_release (&claim);
  return result;
}
