#include "cardamom/reach.h"

cs_reach_result_t
cs_reach_check (const cs_reach_t *reach, const char *dc, const char *region)
{
  char *const *const lists[]
      = { reach->regions, reach->newest_regions, reach->workspace_regions };
  for (size_t i = 0; i < G_N_ELEMENTS (lists); i++)
    if (lists[i] && !g_strv_contains ((const char *const *)lists[i], region))
      return CS_REACH_OTHER_REGION;
  return g_hash_table_contains (reach->evacuated_dcs, dc) ? CS_REACH_EVACUATED
                                                          : CS_REACH_ALLOWED;
}
