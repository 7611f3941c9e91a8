/* Makes and checks values of CoAP's Echo option (RFC 9175). */
#pragma once

#include "kumquat/types.h"

#define KQ_ECHO_KEY_BYTES   32
#define KQ_ECHO_VALUE_BYTES 32 /* incarnation, time of issue and a 16-byte MAC */
#define KQ_ECHO_KEYS_MAX    3

/**
 * struct KqEchoIssuer - one life of an agent, as a source of Echo values
 * @target_id: hash of the target's name
 * @incarnation: this life
 * @keys: the first makes values, all of them open values
 * @key_count: keys in use
 */
typedef struct
{
  uint64_t target_id;
  uint64_t incarnation;
  uint8_t keys[KQ_ECHO_KEYS_MAX][KQ_ECHO_KEY_BYTES];
  unsigned key_count;
} KqEchoIssuer;

void kq_echo_init (KqEchoIssuer *issuer, uint64_t target_id, uint64_t incarnation,
                   const uint8_t key[KQ_ECHO_KEY_BYTES]);

/** kq_echo_rotate - makes values with @key from now on; the last two older keys still open */
void kq_echo_rotate (KqEchoIssuer *issuer, const uint8_t key[KQ_ECHO_KEY_BYTES]);

/** kq_echo_make - writes a value for one flow, issued at @now */
void kq_echo_make (const KqEchoIssuer *issuer, const KqFlowKey *flow, KqTime now,
                   uint8_t value[KQ_ECHO_VALUE_BYTES]);

/**
 * kq_echo_open - checks a value from an untrusted sender
 * @issued: (out): when this life issued it
 *
 * Return: whether this life issued the value for this flow, at whatever time.
 */
bool kq_echo_open (const KqEchoIssuer *issuer, const KqFlowKey *flow, const uint8_t *value,
                   size_t size, KqTime *issued);
