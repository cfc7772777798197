/* Team tokens, kept as salted BLAKE2b hashes.  */
#include <sodium.h>
#include <stdio.h>
#include <string.h>

#include "cardamom/config-store.h"

#define TOKEN_MIN_BYTES 16
#define SALT_BYTES 16
#define HASH_BYTES 32
#define ROW_HEX_DIGITS (2 * (SALT_BYTES + HASH_BYTES))

static void
hash_token (const unsigned char *salt, const char *token, unsigned char *hash)
{
  crypto_generichash (hash, HASH_BYTES, (const unsigned char *)token,
                      strlen (token), salt, SALT_BYTES);
}

cs_status_t
cs_team_set_token (cs_ctx_t *ctx, cs_platform_t *platform, const char *team,
                   const char *token)
{
  unsigned char stored[SALT_BYTES + HASH_BYTES];
  char hex[ROW_HEX_DIGITS + 1], key[128];
  int64_t revision;
  if (strlen (token) < TOKEN_MIN_BYTES)
    return cs_fail (ctx, CS_BAD_INPUT,
                    "a token needs 16 characters or more; draw one at random");
  randombytes_buf (stored, SALT_BYTES);
  hash_token (stored, token, stored + SALT_BYTES);
  sodium_bin2hex (hex, sizeof hex, stored, sizeof stored);
  snprintf (key, sizeof key, "cs/team/%s", team);
  cs_txn_write_t write = { .key = key, .value = cs_str_of (hex) };
  cs_txn_t txn = { .writes = &write, .write_count = 1 };
  return cs_platform_commit (ctx, platform, &txn, &revision);
}

static bool
token_matches (const cs_row_t *row, const char *token)
{
  unsigned char stored[SALT_BYTES + HASH_BYTES], hash[HASH_BYTES];
  size_t len;
  if (sodium_hex2bin (stored, sizeof stored, row->value->str, row->value->len,
                      NULL, &len, NULL)
          != 0
      || len != sizeof stored)
    return false;
  hash_token (stored, token, hash);
  return sodium_memcmp (hash, stored + SALT_BYTES, HASH_BYTES) == 0;
}

cs_status_t
cs_team_check_token (cs_ctx_t *ctx, cs_platform_t *platform, const char *team,
                     const char *token)
{
  char key[128];
  cs_row_t *row = NULL;
  snprintf (key, sizeof key, "cs/team/%s", team);
  cs_status_t status = cs_platform_read_row (ctx, platform, key, &row);
  if (status != CS_OK && status != CS_NOT_FOUND)
    return status;
  bool match = row && token_matches (row, token);
  cs_row_free (row);
  if (!match)
    return cs_fail (ctx, CS_DENIED,
                    "the token is not that of team '%s'; ask the platform's "
                    "operators for a new one",
                    team);
  return CS_OK;
}
