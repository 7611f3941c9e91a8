#include <stdio.h>
#include <xxhash.h>

#include "kumquat/internal/segment.h"

#define KEY_WORDS 3

uint64_t
kq_stream_key_hash (const KqStreamKey *key)
{
  const uint32_t words[KEY_WORDS] = { key->caller_ip, key->service_ip,
                                      (uint32_t)key->caller_port << 16 | key->service_port };
  return XXH3_64bits (words, sizeof words);
}

bool
kq_stream_key_equal (const KqStreamKey *a, const KqStreamKey *b)
{
  return a->caller_ip == b->caller_ip && a->caller_port == b->caller_port &&
         a->service_ip == b->service_ip && a->service_port == b->service_port;
}

const char *
kq_stream_key_format (const KqStreamKey *key, char text[KQ_STREAM_KEY_TEXT_BYTES])
{
  uint32_t c = key->caller_ip;
  uint32_t s = key->service_ip;
  snprintf (text, KQ_STREAM_KEY_TEXT_BYTES, "%u.%u.%u.%u:%u>%u.%u.%u.%u:%u", c >> 24, c >> 16 & 255,
            c >> 8 & 255, c & 255, key->caller_port, s >> 24, s >> 16 & 255, s >> 8 & 255, s & 255,
            key->service_port);
  return text;
}
