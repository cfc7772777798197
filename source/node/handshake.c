/* The handshake of a connection.  Each end sends FRAME_HELLO with a random
   nonce, then FRAME_AUTH with a MAC under the cluster key over both nonces. No
   other frame is accepted from an end that is not authenticated.  */
#include <sodium.h>
#include <string.h>

#include "peer-internal.h"

#define PROTOCOL_VERSION 1

void
handshake_send_hello (peers_t *peers, conn_t *conn)
{
  const node_settings_t *settings = &peers->node->settings;
  cs_pack_t pack;
  cs_pack_init (&pack);
  cs_pack_array (&pack, 6);
  cs_pack_int64 (&pack, FRAME_HELLO);
  cs_pack_int64 (&pack, PROTOCOL_VERSION);
  cs_pack_text (&pack, settings->node);
  cs_pack_text (&pack, settings->dc);
  cs_pack_text (&pack, settings->region);
  cs_pack_bytes (&pack,
                 (cs_str_t){ (const char *)conn->nonce, sizeof conn->nonce });
  conn_send_handshake_frame (peers, conn, &pack);
  cs_pack_clear (&pack);
}

/* Compute the MAC by which the node NAME proves that it has KEY: over both
   nonces, its own first, and its name, data centre and region.  */
static void
compute_mac (const unsigned char *key, const unsigned char *sender_nonce,
             const unsigned char *receiver_nonce, const char *name,
             const char *dc, const char *region, unsigned char *mac)
{
  crypto_auth_hmacsha512256_state state;
  crypto_auth_hmacsha512256_init (&state, key, CLUSTER_KEY_BYTES);
  crypto_auth_hmacsha512256_update (&state, sender_nonce, NONCE_BYTES);
  crypto_auth_hmacsha512256_update (&state, receiver_nonce, NONCE_BYTES);
  const char *names[] = { name, dc, region };
  for (size_t i = 0; i < G_N_ELEMENTS (names); i++)
    crypto_auth_hmacsha512256_update (&state, (const unsigned char *)names[i],
                                      strlen (names[i]) + 1);
  crypto_auth_hmacsha512256_final (&state, mac);
}

/* Send one MAC per key, so that nodes with different current keys accept each
   other during a key rotation.  */
static void
send_auth (peers_t *peers, conn_t *conn)
{
  const node_settings_t *settings = &peers->node->settings;
  unsigned char mac[MAC_BYTES];
  cs_pack_t pack;
  cs_pack_init (&pack);
  cs_pack_array (&pack, 1 + peers->key_count);
  cs_pack_int64 (&pack, FRAME_AUTH);
  for (size_t i = 0; i < peers->key_count; i++)
    {
      compute_mac (peers->keys[i], conn->nonce, conn->peer_nonce,
                   settings->node, settings->dc, settings->region, mac);
      cs_pack_bytes (&pack, (cs_str_t){ (const char *)mac, MAC_BYTES });
    }
  conn_send_handshake_frame (peers, conn, &pack);
  cs_pack_clear (&pack);
}

/* Copy NAME to COPY; FALSE if it is empty, too long or contains a NUL.  */
static bool
copy_name (cs_str_t name, char copy[NODE_NAME_SIZE])
{
  if (name.len == 0 || name.len >= NODE_NAME_SIZE
      || memchr (name.data, 0, name.len))
    return false;
  memcpy (copy, name.data, name.len);
  copy[name.len] = 0;
  return true;
}

bool
handshake_handle_hello (peers_t *peers, conn_t *conn,
                        cs_unpack_cursor_t *cursor)
{
  int64_t protocol_version = cs_unpack_int64 (cursor);
  cs_str_t name = cs_unpack_str (cursor), dc = cs_unpack_str (cursor);
  cs_str_t region = cs_unpack_str (cursor), nonce = cs_unpack_str (cursor);
  if (cursor->failed || protocol_version != PROTOCOL_VERSION
      || nonce.len != NONCE_BYTES || conn->hello_received
      || !copy_name (name, conn->name) || !copy_name (dc, conn->dc)
      || !copy_name (region, conn->region))
    return false;
  memcpy (conn->peer_nonce, nonce.data, NONCE_BYTES);
  /* An echoed nonce would allow a reflection of this node's own MAC.  */
  if (memcmp (conn->nonce, conn->peer_nonce, NONCE_BYTES) == 0)
    return false;
  conn->hello_received = true;
  send_auth (peers, conn);
  return true;
}

/* Whether MAC is that of the peer under one of the keys.  */
static bool
mac_is_valid (peers_t *peers, const conn_t *conn, cs_str_t mac)
{
  unsigned char expected[MAC_BYTES];
  bool valid = false;
  if (mac.len != MAC_BYTES)
    return false;
  for (size_t i = 0; i < peers->key_count; i++)
    {
      compute_mac (peers->keys[i], conn->peer_nonce, conn->nonce, conn->name,
                   conn->dc, conn->region, expected);
      valid |= sodium_memcmp (expected, mac.data, MAC_BYTES) == 0;
    }
  return valid;
}

/* Move the frames held for authentication to the output buffer.  */
static void
send_held_frames (peers_t *peers, conn_t *conn)
{
  if (conn->held_frames)
    {
      g_byte_array_append (conn->out_buffer, conn->held_frames->data,
                           conn->held_frames->len);
      g_byte_array_unref (conn->held_frames);
      conn->held_frames = NULL;
    }
  conn_flush (peers, conn);
}

bool
handshake_handle_auth (peers_t *peers, conn_t *conn,
                       cs_unpack_cursor_t *cursor)
{
  bool valid = false;
  if (!conn->hello_received || conn->authenticated)
    return false;
  while (cursor->remaining && !cursor->failed)
    valid |= mac_is_valid (peers, conn, cs_unpack_str (cursor));
  if (cursor->failed || !valid)
    {
      cs_counter_add (CS_C_PEERS_DENIED, 1);
      return false;
    }
  conn->authenticated = true;
  conn->in_other_region
      = strcmp (conn->region, peers->node->settings.region) != 0;
  send_held_frames (peers, conn);
  return true;
}
