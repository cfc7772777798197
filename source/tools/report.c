#include "ctl.h"

int
cmd_report (ctl_t *ctl)
{
  return ctl_fail (ctl, cs_fail (ctl->ctx, CS_UNAVAILABLE,
                                 "the burn report is not built yet"));
}
