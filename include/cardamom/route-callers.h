/* Which routes are used by backend servers only.

   A node cannot tell whether a request came from a client on its host or from
   the server beside it.  Clients are on all hosts, though, whatever service
   runs there, while the calls of a service come from its own hosts alone: a
   route that the hosts of some service never use carries calls.  */
#ifndef CARDAMOM_ROUTE_CALLERS_H
#define CARDAMOM_ROUTE_CALLERS_H

#include <glib.h>
#include <stdbool.h>

typedef struct cs_route_callers cs_route_callers_t;

cs_route_callers_t *cs_route_callers_new (void);
void cs_route_callers_drop (cs_route_callers_t *callers);

/* Record a request on ROUTE from a host of SERVICE.  */
void cs_route_callers_note (cs_route_callers_t *callers, const char *route,
                            const char *service);

/* Whether ROUTE may carry calls of servers: false once the hosts of every
   service use it.  HOSTS maps service -> number of its hosts, as
   GUINT_TO_POINTER.  With one service alone it cannot be told: true.  */
bool cs_route_callers_may_be_calls (const cs_route_callers_t *callers,
                                    const char *route, GHashTable *hosts);

#endif
