/* Which backend servers a request may reach, whatever their load: the regions
   that its route and its workspace allow, and data centres that operators have
   evacuated.  All that sends a request asks here.  */
#ifndef CARDAMOM_REACH_H
#define CARDAMOM_REACH_H

#include <glib.h>

/* What binds one request.  A list of regions is NULL-terminated; NULL allows
   every region.  All are borrowed.  */
typedef struct
{
  /* By the route in the configuration under which it arrived, and in the one
     in force.  */
  char *const *regions, *const *newest_regions;
  char *const *workspace_regions; /* By its workspace.  */
  GHashTable *evacuated_dcs;      /* A set of names.  */
} cs_reach_t;

typedef enum
{
  CS_REACH_ALLOWED,
  CS_REACH_OTHER_REGION, /* Its region is not allowed.  */
  CS_REACH_EVACUATED     /* Its data centre is evacuated.  */
} cs_reach_result_t;

/* Whether the request may reach a server in the data centre DC of REGION.  */
cs_reach_result_t cs_reach_check (const cs_reach_t *reach, const char *dc,
                                  const char *region);

#endif
