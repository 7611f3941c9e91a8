/* Issues and verifies values of the CoAP Echo option (RFC 9175). */
#pragma once

#include "kumquat/types.h"

#define KQ_ECHO_KEY_BYTES   32
#define KQ_ECHO_VALUE_BYTES 32 /* incarnation, time of issue and a 16-byte MAC */
#define KQ_ECHO_KEYS_MAX    3

/**
 * struct KqEchoIssuer - issuer of Echo values: one incarnation of an agent
 * @target_id: hash of the target's name
 * @incarnation: incarnation of the agent
 * @keys: MAC keys; the first is used to issue values, all are used to verify them
 * @key_count: number of keys in use
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

/** kq_echo_rotate - issues values with @key from now on; the last two older keys still verify */
void kq_echo_rotate (KqEchoIssuer *issuer, const uint8_t key[KQ_ECHO_KEY_BYTES]);

/** kq_echo_issue - issues a value for one flow at @now */
void kq_echo_issue (const KqEchoIssuer *issuer, const KqFlowKey *flow, KqTime now,
                    uint8_t value[KQ_ECHO_VALUE_BYTES]);

/**
 * kq_echo_verify - verifies a value from an untrusted sender
 * @issued: (out): time of issue
 *
 * Return: whether this incarnation issued the value for this flow; the age is not checked.
 */
bool kq_echo_verify (const KqEchoIssuer *issuer, const KqFlowKey *flow, const uint8_t *value,
                     size_t size, KqTime *issued);
