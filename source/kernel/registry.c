#include <string.h>

#include "cardamom/registry.h"

static cs_plugin_t *plugins[CS_PLUGIN_KIND_COUNT];

const char *
cs_plugin_kind_name (cs_plugin_kind_t kind)
{
  static const char *const names[CS_PLUGIN_KIND_COUNT] = {
    [CS_PLUGIN_PLATFORM] = "platform", [CS_PLUGIN_BALANCER] = "balancer",
    [CS_PLUGIN_LIMITER] = "limiter",   [CS_PLUGIN_JUDGE] = "judge",
    [CS_PLUGIN_ADAPTER] = "adapter",
  };
  return names[kind];
}

void
cs_plugin_register (cs_plugin_t *plugin)
{
  cs_plugin_t **link = &plugins[plugin->kind];
  while (*link && strcmp ((*link)->name, plugin->name) < 0)
    link = &(*link)->next;
  plugin->next = *link;
  *link = plugin;
}

cs_status_t
cs_plugin_find (cs_ctx_t *ctx, cs_plugin_kind_t kind, const char *name,
                const void **vtable)
{
  for (cs_plugin_t *plugin = plugins[kind]; plugin; plugin = plugin->next)
    if (strcmp (plugin->name, name) == 0)
      {
        *vtable = plugin->vtable;
        return CS_OK;
      }
  char *known = cs_plugin_names (kind);
  cs_status_t status
      = cs_fail (ctx, CS_NOT_FOUND, "no %s named '%s'; choose one of: %s",
                 cs_plugin_kind_name (kind), name, known);
  g_free (known);
  return status;
}

char *
cs_plugin_names (cs_plugin_kind_t kind)
{
  GString *names = g_string_new (NULL);
  for (cs_plugin_t *plugin = plugins[kind]; plugin; plugin = plugin->next)
    g_string_append_printf (names, "%s%s", names->len ? ", " : "",
                            plugin->name);
  return g_string_free (names, FALSE);
}
