/* The registry of plug-ins.  The kernel knows no plug-in by name: each
   registers itself before main runs.  */
#ifndef CARDAMOM_REGISTRY_H
#define CARDAMOM_REGISTRY_H

#include "cardamom/context.h"

/* What a plug-in does.  */
typedef enum
{
  CS_PLUGIN_PLATFORM,
  CS_PLUGIN_BALANCER,
  CS_PLUGIN_LIMITER,
  CS_PLUGIN_JUDGE,
  CS_PLUGIN_ADAPTER,
  CS_PLUGIN_KIND_COUNT
} cs_plugin_kind_t;

/* One plug-in.  MAKE is the constructor its kind's header describes.  */
typedef struct cs_plugin cs_plugin_t;

struct cs_plugin
{
  cs_plugin_kind_t kind;
  const char *name;
  const char *summary;
  const void *vtable;
  cs_plugin_t *next; /* Set by the registry.  */
};

/* The word for KIND in messages.  */
const char *cs_plugin_kind_name (cs_plugin_kind_t kind);

/* Add PLUGIN, which must stay valid for the life of the process.  */
void cs_plugin_register (cs_plugin_t *plugin);

/* Look NAME up among the plug-ins of KIND.  CS_NOT_FOUND with a message that
   lists the known names; *VTABLE is set on success only.  */
cs_status_t cs_plugin_find (cs_ctx_t *ctx, cs_plugin_kind_t kind,
                            const char *name, const void **vtable);

/* The names of KIND, separated by ", "; the caller frees the string.  */
char *cs_plugin_names (cs_plugin_kind_t kind);

/* Register VARIABLE, a static cs_plugin_t, before main.  */
#define CS_PLUGIN(variable)                                                   \
  __attribute__ ((constructor)) static void register_##variable (void)        \
  {                                                                           \
    cs_plugin_register (&(variable));                                         \
  }

#endif
