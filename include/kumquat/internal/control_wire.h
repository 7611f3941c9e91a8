/* The two transports of the control plane: UDP datagrams, and ZeroMQ for messages that do not fit
 * into a datagram. Both carry a message authentication code. */
#pragma once

#include <tevent.h>

#include "kumquat/types.h"

#define KQ_CONTROL_KEY_BYTES 32
#define KQ_CONTROL_MAC_BYTES 16 /* message authentication code that precedes every message */

/**
 * struct KqControlKeys - the key in use and, while keys are rotated, a second accepted key
 */
typedef struct
{
  uint8_t key[KQ_CONTROL_KEY_BYTES];
  uint8_t old_key[KQ_CONTROL_KEY_BYTES];
  bool has_old_key;
} KqControlKeys;

/** kq_control_sign - writes the authentication code to the start of @message; @size is the size of
 * the content that follows the code */
void kq_control_sign (const KqControlKeys *keys, uint8_t *message, size_t size);

/** kq_control_verify - Return: whether the authentication code of @message is valid; @size includes
 * the code */
bool kq_control_verify (const KqControlKeys *keys, const uint8_t *message, size_t size);

typedef struct KqControlBulk KqControlBulk;

/**
 * struct KqControlBulkOps - callbacks of the bulk transport; all pointers are borrowed
 * @request: handles a request and writes an answer of up to @capacity bytes to @answer; Return:
 *   size of the answer, 0 for none
 * @answer: handles the answer to an earlier kq_control_bulk_request()
 */
typedef struct
{
  int (*request) (const uint8_t *bytes, size_t size, uint8_t *answer, size_t capacity, void *data);
  void (*answer) (const uint8_t *bytes, size_t size, void *data);
} KqControlBulkOps;

/** kq_control_bulk_new - Return: (owned by @parent) a listening transport, or NULL with @error set
 */
KqControlBulk *kq_control_bulk_new (const void *parent, struct tevent_context *ev,
                                    const KqAddress *listen, size_t max_bytes,
                                    const KqControlBulkOps *ops, void *data, KqError *error);

/** kq_control_bulk_request - sends a request, which is abandoned if there is no answer in time */
void kq_control_bulk_request (KqControlBulk *bulk, const KqAddress *to, const uint8_t *bytes,
                              size_t size);

/** kq_control_bulk_dropped - Return: number of messages dropped because of an invalid number of
 * frames, a full queue or too many exchanges in progress */
uint64_t kq_control_bulk_dropped (const KqControlBulk *bulk);
