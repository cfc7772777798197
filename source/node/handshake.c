/* Keyed authentication of both ends of a connection before anything else is
   taken from it.  */
#include <sodium.h>
#include <string.h>

#include "peer-internal.h"

#define PROTOCOL 1

void
handshake_send_hello (peers_t *p, conn_t *c)
{
  const node_settings_t *s = &p->node->settings;
  cs_pack_t pack;
  cs_pack_init (&pack);
  cs_pack_array (&pack, 6);
  cs_pack_int64 (&pack, FRAME_HELLO);
  cs_pack_int64 (&pack, PROTOCOL);
  cs_pack_text (&pack, s->node);
  cs_pack_text (&pack, s->dc);
  cs_pack_text (&pack, s->region);
  cs_pack_bytes (&pack, (cs_str_t){ (const char *)c->nonce, sizeof c->nonce });
  conn_send_now (p, c, &pack);
  cs_pack_clear (&pack);
}

/* The proof that the sender NAME holds the key: a MAC over both nonces, the
   sender's first, and its name, data centre and region.  */
static void
make_proof (const unsigned char *key, const unsigned char *own_nonce,
            const unsigned char *other_nonce, const char *name, const char *dc,
            const char *region, unsigned char *proof)
{
  crypto_auth_hmacsha512256_state state;
  crypto_auth_hmacsha512256_init (&state, key, KEY_BYTES);
  crypto_auth_hmacsha512256_update (&state, own_nonce, NONCE_BYTES);
  crypto_auth_hmacsha512256_update (&state, other_nonce, NONCE_BYTES);
  const char *texts[] = { name, dc, region };
  for (size_t i = 0; i < G_N_ELEMENTS (texts); i++)
    crypto_auth_hmacsha512256_update (&state, (const unsigned char *)texts[i],
                                      strlen (texts[i]) + 1);
  crypto_auth_hmacsha512256_final (&state, proof);
}

static void
send_auth (peers_t *p, conn_t *c)
{
  const node_settings_t *s = &p->node->settings;
  unsigned char proof[PROOF_BYTES];
  cs_pack_t pack;
  cs_pack_init (&pack);
  cs_pack_array (&pack, 1 + p->key_count);
  cs_pack_int64 (&pack, FRAME_AUTH);
  for (size_t i = 0; i < p->key_count; i++)
    {
      make_proof (p->keys[i], c->nonce, c->other_nonce, s->node, s->dc,
                  s->region, proof);
      cs_pack_bytes (&pack, (cs_str_t){ (const char *)proof, PROOF_BYTES });
    }
  conn_send_now (p, c, &pack);
  cs_pack_clear (&pack);
}

static bool
copy_name (cs_str_t from, char to[NODE_NAME_MAX])
{
  if (from.len == 0 || from.len >= NODE_NAME_MAX
      || memchr (from.data, 0, from.len))
    return false;
  memcpy (to, from.data, from.len);
  to[from.len] = 0;
  return true;
}

bool
handshake_take_hello (peers_t *p, conn_t *c, cs_unpack_cursor_t *in)
{
  int64_t protocol = cs_unpack_int64 (in);
  cs_str_t name = cs_unpack_str (in), dc = cs_unpack_str (in);
  cs_str_t region = cs_unpack_str (in), nonce = cs_unpack_str (in);
  if (in->failed || protocol != PROTOCOL || nonce.len != NONCE_BYTES
      || c->greeted || !copy_name (name, c->name) || !copy_name (dc, c->dc)
      || !copy_name (region, c->region))
    return false;
  memcpy (c->other_nonce, nonce.data, NONCE_BYTES);
  if (memcmp (c->nonce, c->other_nonce, NONCE_BYTES) == 0)
    return false;
  c->greeted = true;
  send_auth (p, c);
  return true;
}

static bool
proof_is_good (peers_t *p, const conn_t *c, cs_str_t proof)
{
  unsigned char expected[PROOF_BYTES];
  bool good = false;
  if (proof.len != PROOF_BYTES)
    return false;
  for (size_t i = 0; i < p->key_count; i++)
    {
      make_proof (p->keys[i], c->other_nonce, c->nonce, c->name, c->dc,
                  c->region, expected);
      good |= sodium_memcmp (expected, proof.data, PROOF_BYTES) == 0;
    }
  return good;
}

static void
release_held (peers_t *p, conn_t *c)
{
  if (c->held)
    {
      g_byte_array_append (c->out, c->held->data, c->held->len);
      g_byte_array_unref (c->held);
      c->held = NULL;
    }
  conn_flush (p, c);
}

bool
handshake_take_auth (peers_t *p, conn_t *c, cs_unpack_cursor_t *in)
{
  bool good = false;
  if (!c->greeted || c->ready)
    return false;
  while (in->remaining && !in->failed)
    good |= proof_is_good (p, c, cs_unpack_str (in));
  if (in->failed || !good)
    {
      cs_counter_add (CS_C_PEERS_DENIED, 1);
      return false;
    }
  c->ready = true;
  c->far = strcmp (c->region, p->node->settings.region) != 0;
  release_held (p, c);
  return true;
}
