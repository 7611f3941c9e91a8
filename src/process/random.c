#include <assert.h>
#include <sodium.h>
#include <string.h>

#include "kumquat/random.h"

static void
fill (KqRandom *random)
{
  uint8_t key[randombytes_SEEDBYTES];
  memcpy (key, random->seed, sizeof key);
  for (unsigned i = 0; i < sizeof random->block; i++)
    key[i] ^= (uint8_t)(random->block >> (8 * i));
  randombytes_buf_deterministic (random->words, sizeof random->words, key);
  random->block++;
  random->used = 0;
}

void
kq_random_seed (KqRandom *random, uint64_t seed)
{
  memset (random, 0, sizeof *random);
  for (unsigned i = 0; i < sizeof seed; i++)
    random->seed[16 + i] = (uint8_t)(seed >> (8 * i));
  fill (random);
}

void
kq_random_seed_system (KqRandom *random)
{
  memset (random, 0, sizeof *random);
  randombytes_buf (random->seed, sizeof random->seed);
  fill (random);
}

uint64_t
kq_random_next (KqRandom *random)
{
  if (random->used == KQ_RANDOM_BLOCK_WORDS)
    fill (random);
  return random->words[random->used++];
}

uint64_t
kq_random_below (KqRandom *random, uint64_t bound)
{
  assert (bound > 0);
  return (uint64_t)(((unsigned __int128)kq_random_next (random) * bound) >> 64);
}

double
kq_random_unit (KqRandom *random)
{
  return (double)(kq_random_next (random) >> 11) * 0x1.0p-53;
}
