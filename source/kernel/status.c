#include "cardamom/status.h"

const char *
cs_status_name (cs_status_t status)
{
  static const char *const names[] = {
    [CS_OK] = "ok",
    [CS_BAD_INPUT] = "bad-input",
    [CS_CONFLICT] = "conflict",
    [CS_NOT_FOUND] = "not-found",
    [CS_DENIED] = "denied",
    [CS_UNAVAILABLE] = "unavailable",
    [CS_UNKNOWN] = "unknown",
    [CS_LIMIT_EXCEEDED] = "limit",
    [CS_TOO_LARGE] = "too-large",
    [CS_CORRUPT] = "corrupt",
    [CS_INTERNAL] = "internal",
  };
  if ((unsigned)status >= sizeof names / sizeof names[0])
    return "invalid";
  return names[status];
}
