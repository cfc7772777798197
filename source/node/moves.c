#include "control-internal.h"

void
moves_collect_backs (control_t *control, GHashTable *backs)
{
  (void)control;
  (void)backs;
}
