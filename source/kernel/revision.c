#include "cardamom/revision.h"

#define VERSION_BITS 40
#define VERSION_MAX ((INT64_C (1) << VERSION_BITS) - 1)
#define ERA_MAX (INT64_MAX >> VERSION_BITS)

int
cs_revision_compare (cs_revision_t a, cs_revision_t b)
{
  if (a.era != b.era)
    return a.era < b.era ? -1 : 1;
  return (a.version > b.version) - (a.version < b.version);
}

cs_revision_t
cs_revision_max (cs_revision_t a, cs_revision_t b)
{
  return cs_revision_compare (a, b) < 0 ? b : a;
}

int64_t
cs_revision_to_number (cs_revision_t revision)
{
  return CLAMP (revision.era, 0, ERA_MAX) << VERSION_BITS
         | CLAMP (revision.version, 0, VERSION_MAX);
}

cs_revision_t
cs_revision_from_number (int64_t number)
{
  cs_revision_t revision = { 0 };
  if (number > 0)
    {
      revision.era = number >> VERSION_BITS;
      revision.version = number & VERSION_MAX;
    }
  return revision;
}
