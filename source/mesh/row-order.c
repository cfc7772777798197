#include "cardamom/row-order.h"

bool
cs_row_supersedes (const cs_row_order_t *held, const cs_row_order_t *row)
{
  if (held->document_version != row->document_version)
    return row->document_version > held->document_version;
  return cs_revision_compare (row->revision, held->revision) > 0;
}

bool
cs_row_may_be_older (cs_revision_t held, cs_revision_t revision)
{
  return revision.era > held.era && revision.version <= held.version;
}

bool
cs_row_is_gone (const cs_row_order_t *held, cs_revision_t read, bool settled)
{
  if (held->document_version)
    return false;
  return held->revision.era < read.era
             ? settled
             : cs_revision_compare (held->revision, read) <= 0;
}

bool
cs_revision_continues (cs_revision_t after, cs_revision_t revision)
{
  return revision.era == after.era && revision.version >= after.version;
}
