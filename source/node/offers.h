/* Large answers that this node keeps for other nodes until they ask for them.
   The caller's node learns the size with the result, claims memory for it, and
   asks with FRAME_GO.  */
#ifndef CARDAMOM_NODE_OFFERS_H
#define CARDAMOM_NODE_OFFERS_H

#include "node.h"

offers_t *offers_new (node_t *node);
void offers_drop (offers_t *offers);

/* Keep RESULT, which is taken over and has a body, for call ID of the node
   ORIGIN until DEADLINE (monotonic), and send it without the body.  */
void offers_add (offers_t *offers, const char *origin, uint64_t id,
                 call_result_t *result, cs_usec_t deadline);

/* Handle FRAME_GO of the node FROM.  */
void offers_handle_go (node_t *node, const char *from, cs_str_t payload);

/* Call ID of the node ORIGIN is not waited for; drop what has expired at NOW.
 */
void offers_cancel (offers_t *offers, const char *origin, uint64_t id);
void offers_expire (offers_t *offers, cs_usec_t now);

/* Whether no answer is kept.  */
bool offers_is_empty (offers_t *offers);

/* Ask the node at ADDRESS for the answer that OFFERED, the result of call ID,
   promises, once there is memory for it.  OFFERED is taken over.  Returns the
   result, or NULL when DEADLINE passes; the request has run in any case.  */
call_result_t *offers_fetch (node_t *node, cs_ctx_t *ctx,
                             const peer_address_t *address, uint64_t id,
                             call_result_t *offered, cs_usec_t deadline);

#endif
