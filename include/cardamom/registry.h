/* The registry of plug-ins.  Plug-ins register themselves before main runs,
   so that the library needs no list of them.  */
#ifndef CARDAMOM_REGISTRY_H
#define CARDAMOM_REGISTRY_H

#include "cardamom/context.h"

/* Kinds of plug-ins; each has its own vtable type.  */
typedef enum
{
  CS_PLUGIN_PLATFORM,
  CS_PLUGIN_BALANCER,
  CS_PLUGIN_LIMITER,
  CS_PLUGIN_JUDGE,
  CS_PLUGIN_ADAPTER,
  CS_PLUGIN_KIND_COUNT
} cs_plugin_kind_t;

/* A plug-in.  VTABLE points to the vtable type of its kind, such as
   cs_judge_vtable_t.  */
typedef struct cs_plugin cs_plugin_t;

struct cs_plugin
{
  cs_plugin_kind_t kind;
  const char *name;
  const char *summary;
  const void *vtable;
  cs_plugin_t *next; /* Set by the registry.  */
};

/* The name of KIND in messages, a static string.  */
const char *cs_plugin_kind_name (cs_plugin_kind_t kind);

/* Register PLUGIN, which must stay valid until the process exits.  Call it
   from one thread only, before any look-up.  */
void cs_plugin_register (cs_plugin_t *plugin);

/* Look up the plug-in NAME of KIND.  *VTABLE is set on success only.
   CS_NOT_FOUND, with a message that lists the registered names, when there is
   none.  */
cs_status_t cs_plugin_find (cs_ctx_t *ctx, cs_plugin_kind_t kind,
                            const char *name, const void **vtable);

/* The sorted names of the plug-ins of KIND, separated by ", "; the caller
   frees the string with g_free.  */
char *cs_plugin_names (cs_plugin_kind_t kind);

/* Register VARIABLE, a static cs_plugin_t, before main runs.  */
#define CS_PLUGIN(variable)                                                   \
  __attribute__ ((constructor)) static void register_##variable (void)        \
  {                                                                           \
    cs_plugin_register (&(variable));                                         \
  }

#endif
