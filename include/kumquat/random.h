/* Seeded random number generator, passed as an argument to code that makes random choices. */
#pragma once

#include <stdint.h>

#define KQ_RANDOM_BLOCK_WORDS 64

/**
 * struct KqRandom - a seeded generator; the same seed produces the same sequence
 * @seed: seed of the sequence
 * @block: index of the next block
 * @words: numbers of the current block
 * @used_words: number of @words already returned
 */
typedef struct
{
  uint8_t seed[32];
  uint64_t block;
  uint64_t words[KQ_RANDOM_BLOCK_WORDS];
  unsigned used_words;
} KqRandom;

/** kq_random_seed - initializes the generator with @seed, for reproducible tests and experiments */
void kq_random_seed (KqRandom *random, uint64_t seed);

/** kq_random_seed_system - initializes the generator with entropy of the operating system */
void kq_random_seed_system (KqRandom *random);

/** kq_random_next - Return: 64 random bits */
uint64_t kq_random_next (KqRandom *random);

/** kq_random_below - Return: a number from 0 to @bound - 1; @bound is at least 1 */
uint64_t kq_random_below (KqRandom *random, uint64_t bound);

/** kq_random_double - Return: a number from 0 inclusive to 1 exclusive */
double kq_random_double (KqRandom *random);
