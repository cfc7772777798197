#include "answer-offers.h"

typedef struct
{
  uint64_t number;
  cs_outcome_t outcome; /* Its fields and its body are views into the two.  */
  GString *fields;
  GBytes *body;
} offer_t;

static void
free_offer (void *data)
{
  offer_t *offer = data;
  g_string_free (offer->fields, TRUE);
  g_bytes_unref (offer->body);
  g_free (offer);
}

void
answer_offers_init (answer_offers_t *offers, cs_traffic_t *traffic,
                    cs_stream_t *stream)
{
  offers->traffic = traffic;
  offers->stream = stream;
  offers->by_number
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, free_offer);
}

void
answer_offers_clear (answer_offers_t *offers)
{
  offers->traffic->offered_answers -= g_hash_table_size (offers->by_number);
  g_hash_table_unref (offers->by_number);
}

static bool
has_large_answer (const cs_outcome_t *outcome)
{
  return outcome->body_bytes && outcome->body.len > CS_SMALL_BODY_MAX;
}

static void
send_whole (answer_offers_t *offers, uint64_t number,
            const cs_outcome_t *ended)
{
  cs_traffic_t *traffic = offers->traffic;
  cs_outcome_t outcome = *ended;
  cs_pack_t pack;
  size_t split = 0;
  bool large = has_large_answer (&outcome);
  outcome.load.link_wait
      = cs_link_wait (&traffic->link, traffic_now (traffic));
  cs_pack_init (&pack);
  cs_outcome_pack (&pack, number, &outcome, large ? &split : NULL);
  if (large)
    cs_stream_send_split (offers->stream, cs_pack_payload (&pack), split,
                          outcome.body_bytes);
  else
    cs_stream_send (offers->stream, cs_pack_payload (&pack));
  cs_pack_clear (&pack);
}

void
answer_offers_send (answer_offers_t *offers, uint64_t number,
                    const cs_outcome_t *outcome)
{
  if (!offers->wanted || !has_large_answer (outcome))
    {
      send_whole (offers, number, outcome);
      return;
    }
  offer_t *offer = g_new (offer_t, 1);
  offer->number = number;
  offer->outcome = *outcome;
  offer->outcome.crash_record = NULL;
  offer->fields
      = g_string_new_len (outcome->fields.data, (gssize)outcome->fields.len);
  offer->outcome.fields = cs_str_of_gstring (offer->fields);
  offer->body = g_bytes_ref (outcome->body_bytes);
  offers->traffic->offered_answers++;
  answer_offers_cancel (offers, number);
  g_hash_table_insert (offers->by_number, &offer->number, offer);
  cs_pack_t pack;
  cs_pack_init (&pack);
  cs_pack_array (&pack, 3);
  cs_pack_int64 (&pack, CS_FRAME_ANSWER_OFFER);
  cs_pack_uint64 (&pack, number);
  cs_pack_uint64 (&pack, outcome->body.len);
  cs_stream_send (offers->stream, cs_pack_payload (&pack));
  cs_pack_clear (&pack);
}

void
answer_offers_go (answer_offers_t *offers, uint64_t number)
{
  const offer_t *offer = g_hash_table_lookup (offers->by_number, &number);
  if (!offer)
    return;
  send_whole (offers, number, &offer->outcome);
  answer_offers_cancel (offers, number);
}

void
answer_offers_cancel (answer_offers_t *offers, uint64_t number)
{
  if (g_hash_table_remove (offers->by_number, &number))
    offers->traffic->offered_answers--;
}
