#include <sodium.h>
#include <string.h>

#include "kumquat/internal/echo.h"

#define STAMP_BYTES 16 /* incarnation and time */
#define MAC_BYTES   (KQ_ECHO_VALUE_BYTES - STAMP_BYTES)
#define INPUT_BYTES (8 + STAMP_BYTES + 4 + 16 + 2) /* target, stamp, service, IP address, port */

_Static_assert(MAC_BYTES >= crypto_generichash_BYTES_MIN, "MAC too short");

static uint8_t *
put_le (uint8_t *at, uint64_t value, unsigned size)
{
  for (unsigned i = 0; i < size; i++)
    at[i] = (uint8_t)(value >> (8 * i));
  return at + size;
}

static uint64_t
get_le (const uint8_t *at, unsigned size)
{
  uint64_t value = 0;
  for (unsigned i = 0; i < size; i++)
    value |= (uint64_t)at[i] << (8 * i);
  return value;
}

static void
compute_mac (const KqEchoIssuer *issuer, const uint8_t *key, const KqFlowKey *flow,
             const uint8_t stamp[STAMP_BYTES], uint8_t mac[MAC_BYTES])
{
  uint8_t input[INPUT_BYTES];
  uint8_t *at = put_le (input, issuer->target_id, 8);
  memcpy (at, stamp, STAMP_BYTES);
  at = put_le (at + STAMP_BYTES, flow->service, 4);
  memcpy (at, flow->caller.ip, sizeof flow->caller.ip);
  put_le (at + sizeof flow->caller.ip, flow->caller.port, 2);
  crypto_generichash (mac, MAC_BYTES, input, sizeof input, key, KQ_ECHO_KEY_BYTES);
}

void
kq_echo_init (KqEchoIssuer *issuer, uint64_t target_id, uint64_t incarnation,
              const uint8_t key[KQ_ECHO_KEY_BYTES])
{
  memset (issuer, 0, sizeof *issuer);
  issuer->target_id = target_id;
  issuer->incarnation = incarnation;
  kq_echo_rotate (issuer, key);
}

void
kq_echo_rotate (KqEchoIssuer *issuer, const uint8_t key[KQ_ECHO_KEY_BYTES])
{
  memmove (issuer->keys[1], issuer->keys[0], sizeof issuer->keys - KQ_ECHO_KEY_BYTES);
  memcpy (issuer->keys[0], key, KQ_ECHO_KEY_BYTES);
  if (issuer->key_count < KQ_ECHO_KEYS_MAX)
    issuer->key_count++;
}

void
kq_echo_issue (const KqEchoIssuer *issuer, const KqFlowKey *flow, KqTime now,
               uint8_t value[KQ_ECHO_VALUE_BYTES])
{
  put_le (put_le (value, issuer->incarnation, 8), (uint64_t)now, 8);
  compute_mac (issuer, issuer->keys[0], flow, value, value + STAMP_BYTES);
}

bool
kq_echo_verify (const KqEchoIssuer *issuer, const KqFlowKey *flow, const uint8_t *value,
                size_t size, KqTime *issued)
{
  if (size != KQ_ECHO_VALUE_BYTES || get_le (value, 8) != issuer->incarnation)
    return false;
  for (unsigned i = 0; i < issuer->key_count; i++)
    {
      uint8_t mac[MAC_BYTES];
      compute_mac (issuer, issuer->keys[i], flow, value, mac);
      if (sodium_memcmp (mac, value + STAMP_BYTES, MAC_BYTES) == 0)
        {
          *issued = (KqTime)get_le (value + 8, 8);
          return true;
        }
    }
  return false;
}
