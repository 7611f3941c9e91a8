/* The two transports of the control plane: datagrams with an authentication code, and ZeroMQ for
 * what does not fit into one. */
#pragma once

#include <tevent.h>

#include "kumquat/types.h"

#define KQ_CONTROL_KEY_BYTES  32
#define KQ_CONTROL_CODE_BYTES 16 /* authentication code in front of every message */

/**
 * struct KqControlKeys - the key in use and, while keys are rotated, the one before
 */
typedef struct
{
  uint8_t key[KQ_CONTROL_KEY_BYTES];
  uint8_t old_key[KQ_CONTROL_KEY_BYTES];
  bool has_old_key;
} KqControlKeys;

/** kq_control_seal - writes the code of @size bytes in front of them; the code has its place at
 * @message, the bytes follow it */
void kq_control_seal (const KqControlKeys *keys, uint8_t *message, size_t size);

/** kq_control_check - Return: whether @message of @size bytes, the code included, has a right code
 */
bool kq_control_check (const KqControlKeys *keys, const uint8_t *message, size_t size);

typedef struct KqControlBulk KqControlBulk;

/**
 * struct KqControlBulkOps - what the bulk transport delivers; all pointers are borrowed
 * @request: a message came; writes an answer of up to @capacity bytes to @answer; Return: its size,
 *   0 for none
 * @answer: an answer came to an earlier kq_control_bulk_ask()
 */
typedef struct
{
  int (*request) (const uint8_t *bytes, size_t size, uint8_t *answer, size_t capacity, void *data);
  void (*answer) (const uint8_t *bytes, size_t size, void *data);
} KqControlBulkOps;

/** kq_control_bulk_new - Return: (owned by @parent) a listening transport, or NULL with @error set
 */
KqControlBulk *kq_control_bulk_new (const void *parent, struct tevent_context *ev,
                                    const KqAddress *listen, size_t largest,
                                    const KqControlBulkOps *ops, void *data, KqError *error);

/** kq_control_bulk_ask - sends a request; without an answer in time it is forgotten */
void kq_control_bulk_ask (KqControlBulk *bulk, const KqAddress *to, const uint8_t *bytes,
                          size_t size);

/** kq_control_bulk_refused - Return: messages dropped for their size, their frames or for want of
 * room */
uint64_t kq_control_bulk_refused (const KqControlBulk *bulk);
