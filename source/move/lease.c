#include <stdio.h>
#include <string.h>

#include "cardamom/counters.h"
#include "cardamom/lease.h"

#define OWNER_MAX 256

void
cs_lease_init (cs_lease_t *lease, const char *key, const char *owner,
               cs_usec_t ttl)
{
  *lease = (cs_lease_t){ .key = key, .owner = g_strdup (owner), .ttl = ttl };
}

void
cs_lease_clear (cs_lease_t *lease)
{
  g_free (lease->owner);
  *lease = (cs_lease_t){ 0 };
}

bool
cs_lease_is_held (const cs_ctx_t *ctx, const cs_lease_t *lease)
{
  return cs_now (ctx) < lease->expires_at;
}

/* Write the row with EPOCH if it is still at REVISION; 0: if it is absent.  */
static cs_status_t
write_row (cs_ctx_t *ctx, cs_platform_t *platform, cs_lease_t *lease,
           int64_t epoch, int64_t revision)
{
  char text[OWNER_MAX + 32];
  cs_usec_t started = cs_now (ctx);
  int64_t written;
  snprintf (text, sizeof text, "%lld %s", (long long)epoch, lease->owner);
  cs_txn_condition_t condition = { .key = lease->key, .revision = revision };
  cs_txn_write_t write = { .key = lease->key, .value = cs_str_of (text) };
  cs_txn_t txn = { .conditions = &condition,
                   .condition_count = 1,
                   .writes = &write,
                   .write_count = 1 };
  cs_status_t status = cs_platform_commit (ctx, platform, &txn, &written);
  if (status == CS_OK)
    {
      if (epoch != lease->epoch)
        cs_counter_add (CS_C_LEASES_TAKEN, 1);
      lease->epoch = epoch;
      lease->revision = written;
      lease->expires_at = started + lease->ttl;
    }
  return status;
}

/* Whether the row of another holder has stayed at REVISION for the time to
   live.  */
static bool
has_expired (const cs_ctx_t *ctx, cs_lease_t *lease, int64_t revision)
{
  if (revision != lease->observed_revision)
    {
      lease->observed_revision = revision;
      lease->observed_at = cs_now (ctx);
    }
  return cs_now (ctx) - lease->observed_at >= lease->ttl;
}

static cs_status_t
acquire_row (cs_ctx_t *ctx, cs_platform_t *platform, cs_lease_t *lease,
             const cs_row_t *row)
{
  long long epoch = 0;
  int owner_at = 0;
  if (sscanf (row->value->str, "%lld %n", &epoch, &owner_at) != 1)
    return cs_fail (ctx, CS_CORRUPT, "the row %s is damaged; remove it",
                    lease->key);
  if (strcmp (row->value->str + owner_at, lease->owner) == 0)
    return write_row (ctx, platform, lease, epoch, row->revision);
  lease->expires_at = 0;
  if (!has_expired (ctx, lease, row->revision))
    return cs_fail (ctx, CS_CONFLICT, "the lease %s is held by %s", lease->key,
                    row->value->str + owner_at);
  return write_row (ctx, platform, lease, epoch + 1, row->revision);
}

cs_status_t
cs_lease_acquire (cs_ctx_t *ctx, cs_platform_t *platform, cs_lease_t *lease)
{
  cs_row_t *row = NULL;
  cs_status_t status = cs_platform_read_row (ctx, platform, lease->key, &row);
  if (status == CS_NOT_FOUND)
    status = write_row (ctx, platform, lease, 1, 0);
  else if (status == CS_OK)
    status = acquire_row (ctx, platform, lease, row);
  cs_row_free (row);
  return status;
}
