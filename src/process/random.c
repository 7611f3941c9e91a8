#include <assert.h>
#include <sodium.h>
#include <string.h>

#include "kumquat/random.h"

static void
generate_block (KqRandom *random)
{
  uint8_t key[randombytes_SEEDBYTES];
  memcpy (key, random->seed, sizeof key);
  for (unsigned i = 0; i < sizeof random->block; i++)
    key[i] ^= (uint8_t)(random->block >> (8 * i));
  randombytes_buf_deterministic (random->words, sizeof random->words, key);
  random->block++;
  random->used_words = 0;
}

void
kq_random_seed (KqRandom *random, uint64_t seed)
{
  memset (random, 0, sizeof *random);
  for (unsigned i = 0; i < sizeof seed; i++)
    random->seed[16 + i] = (uint8_t)(seed >> (8 * i));
  generate_block (random);
}

void
kq_random_seed_system (KqRandom *random)
{
  memset (random, 0, sizeof *random);
  randombytes_buf (random->seed, sizeof random->seed);
  generate_block (random);
}

uint64_t
kq_random_next (KqRandom *random)
{
  if (random->used_words == KQ_RANDOM_BLOCK_WORDS)
    generate_block (random);
  return random->words[random->used_words++];
}

uint64_t
kq_random_below (KqRandom *random, uint64_t bound)
{
  assert (bound > 0);
  return (uint64_t)(((unsigned __int128)kq_random_next (random) * bound) >> 64);
}

double
kq_random_double (KqRandom *random)
{
  return (double)(kq_random_next (random) >> 11) * 0x1.0p-53;
}
