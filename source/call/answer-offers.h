/* Large answers between nodes.  The node beside the server keeps an answer and
   offers it; the caller's node asks for it once it has memory for it.  */
#ifndef CALL_ANSWER_OFFERS_H
#define CALL_ANSWER_OFFERS_H

#include "traffic.h"

/* answer-offers.c: at the node beside the server.  */

/* The offers on one stream: job number -> an answer that is kept.  */
typedef struct
{
  cs_traffic_t *traffic;
  cs_stream_t *stream;
  GHashTable *by_number;
  bool wanted; /* The other node asks for large answers.  */
} answer_offers_t;

void answer_offers_init (answer_offers_t *offers, cs_traffic_t *traffic,
                         cs_stream_t *stream);
void answer_offers_clear (answer_offers_t *offers);

/* Send OUTCOME of the job NUMBER; if its answer is large and the other node
   wants offers, offer it.  */
void answer_offers_send (answer_offers_t *offers, uint64_t number,
                         const cs_outcome_t *outcome);

/* The other node asks for the answer to the job NUMBER; or for none.  */
void answer_offers_go (answer_offers_t *offers, uint64_t number);
void answer_offers_cancel (answer_offers_t *offers, uint64_t number);

/* answer-room.c: at the caller's node.  */

/* Tell PEER, whose stream is new, that large answers are to be offered.  */
void answer_room_announce (peer_t *peer);

/* Handle CS_FRAME_ANSWER_OFFER.  */
void answer_room_handle_offer (peer_t *peer, cs_unpack_cursor_t *in);

/* Ask for the answers that have waited and now have room.  This may end calls.
 */
void answer_room_tick (cs_traffic_t *traffic, cs_usec_t now);

/* Whether the large outcome of PEER's job NUMBER, of which the first bytes
   have come, is awaited.  From then on its stream counts it.  */
bool answer_room_admit (peer_t *peer, uint64_t number);

/* BODY, which a call has got as its answer, with what the call holds of the
   memory until the last reference is dropped.  Takes ownership of BODY.  */
GBytes *answer_room_hold (call_t *call, GBytes *body);

/* CALL awaits the answer of its attempt no longer.  */
void answer_room_end (call_t *call);

#endif
