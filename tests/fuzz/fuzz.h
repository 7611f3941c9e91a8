/* Seeded mutation of valid datagrams. */
#pragma once

#include <string.h>

#include "kumquat/random.h"

#define KQ_FUZZ_BYTES 2048

/**
 * kq_fuzz_mutate - flips a bit, overwrites, inserts or removes a byte, or truncates; 1 to 4 times
 * @bytes: (inout): buffer of KQ_FUZZ_BYTES
 * @size: bytes in use
 *
 * Return: bytes in use afterwards.
 */
static inline size_t
kq_fuzz_mutate (KqRandom *random, uint8_t *bytes, size_t size)
{
  unsigned changes = 1 + (unsigned)kq_random_below (random, 4);
  for (unsigned i = 0; i < changes; i++)
    {
      size_t at = size == 0 ? 0 : kq_random_below (random, size);
      uint8_t value = (uint8_t)kq_random_next (random);
      switch (kq_random_below (random, 5))
        {
        case 0:
          bytes[at] ^= (uint8_t)(1U << kq_random_below (random, 8));
          break;
        case 1:
          bytes[at] = value;
          break;
        case 2:
          if (size < KQ_FUZZ_BYTES)
            {
              memmove (bytes + at + 1, bytes + at, size - at);
              bytes[at] = value;
              size++;
            }
          break;
        case 3:
          if (size > 0)
            {
              memmove (bytes + at, bytes + at + 1, size - at - 1);
              size--;
            }
          break;
        default:
          size = at;
          break;
        }
    }
  return size;
}
