#include <sodium.h>
#include <string.h>
#include <talloc.h>

#include "kumquat/internal/base64.h"

char *
kq_base64_encode (const void *parent, const void *bytes, size_t size)
{
  size_t capacity = sodium_base64_ENCODED_LEN (size, sodium_base64_VARIANT_ORIGINAL);
  char *text = talloc_array (parent, char, capacity);
  return sodium_bin2base64 (text, capacity, bytes, size, sodium_base64_VARIANT_ORIGINAL);
}

uint8_t *
kq_base64_decode (const void *parent, const char *text, size_t *size)
{
  const char *end;
  *size = 0;
  if (text == NULL)
    return NULL;
  size_t length = strlen (text);
  uint8_t *bytes = talloc_array (parent, uint8_t, length / 4 * 3 + 4);
  if (sodium_base642bin (bytes, length / 4 * 3 + 3, text, length, NULL, size, &end,
                         sodium_base64_VARIANT_ORIGINAL) < 0 ||
      *end != '\0')
    {
      talloc_free (bytes);
      return NULL;
    }
  bytes[*size] = '\0';
  return bytes;
}
