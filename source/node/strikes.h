/* Strikes against requests, from callers' and serving threads.  */
#ifndef CARDAMOM_STRIKES_H
#define CARDAMOM_STRIKES_H

#include "node.h"

/* The upstream beside node UPSTREAM died while it ran the request PRINT.  */
void strikes_note (node_t *node, uint64_t print, const char *upstream);

/* The request PRINT has run to its end.  */
void strikes_clear (node_t *node, uint64_t print);

#endif
