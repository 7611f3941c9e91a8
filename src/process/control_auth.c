#include <sodium.h>
#include <string.h>

#include "kumquat/internal/control_wire.h"

static void
compute_mac (const uint8_t *key, const uint8_t *bytes, size_t size, uint8_t *code)
{
  crypto_generichash (code, KQ_CONTROL_MAC_BYTES, bytes, size, key, KQ_CONTROL_KEY_BYTES);
}

void
kq_control_sign (const KqControlKeys *keys, uint8_t *message, size_t size)
{
  compute_mac (keys->key, message + KQ_CONTROL_MAC_BYTES, size, message);
}

bool
kq_control_verify (const KqControlKeys *keys, const uint8_t *message, size_t size)
{
  uint8_t code[KQ_CONTROL_MAC_BYTES];
  if (size < KQ_CONTROL_MAC_BYTES)
    return false;
  const uint8_t *bytes = message + KQ_CONTROL_MAC_BYTES;
  compute_mac (keys->key, bytes, size - KQ_CONTROL_MAC_BYTES, code);
  if (sodium_memcmp (code, message, sizeof code) == 0)
    return true;
  if (!keys->has_old_key)
    return false;
  compute_mac (keys->old_key, bytes, size - KQ_CONTROL_MAC_BYTES, code);
  return sodium_memcmp (code, message, sizeof code) == 0;
}
