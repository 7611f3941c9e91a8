/* Segments of streams: what callers and targets of a connection-oriented service exchange, and what
 * the balancer may read of it. A codec, given at start, knows the bytes. */
#pragma once

#include "kumquat/types.h"

#define KQ_SEGMENT_BYTES 1400 /* largest segment that is carried, header included */

/**
 * enum KqSegmentFlag - bits of a segment
 * @KQ_SEGMENT_SYN: opens a stream
 * @KQ_SEGMENT_ACK: @acknowledged of the segment counts
 * @KQ_SEGMENT_FIN: its sender has nothing more to send
 * @KQ_SEGMENT_RST: ends the stream at once
 * @KQ_SEGMENT_BOUNCED: a target returned it: it does not hold the stream or cannot take it
 */
typedef enum
{
  KQ_SEGMENT_SYN = 1,
  KQ_SEGMENT_ACK = 2,
  KQ_SEGMENT_FIN = 4,
  KQ_SEGMENT_RST = 8,
  KQ_SEGMENT_BOUNCED = 16
} KqSegmentFlag;

/**
 * struct KqStreamKey - identifies a stream; addresses and ports in host byte order
 * @caller_ip: IPv4 address of the caller
 * @service_ip: IPv4 address that the caller dialled
 * @caller_port: port of the caller
 * @service_port: port that the caller dialled
 */
typedef struct
{
  uint32_t caller_ip;
  uint32_t service_ip;
  uint16_t caller_port;
  uint16_t service_port;
} KqStreamKey;

/** kq_stream_key_hash - Return: a hash that is equal on every instance */
uint64_t kq_stream_key_hash (const KqStreamKey *key);
bool kq_stream_key_equal (const KqStreamKey *a, const KqStreamKey *b);

#define KQ_STREAM_KEY_TEXT_BYTES 48

/** kq_stream_key_format - writes "caller:port>address:port", the id of a stream in logs; Return:
 * @text */
const char *kq_stream_key_format (const KqStreamKey *key, char text[KQ_STREAM_KEY_TEXT_BYTES]);

/**
 * struct KqSegment - one decoded segment
 * @key: its stream, the same in both directions
 * @from_target: the target sent it, and @bytes name the caller as the receiver
 * @flags: set of KqSegmentFlag
 * @sequence: number of its first byte
 * @acknowledged: number of the next byte that its sender expects
 * @tag: number of this instance's own that a bounced segment brings back; 0 for none
 * @payload_size: bytes of data
 * @bytes: (borrowed): the whole segment as received
 * @size: bytes at @bytes
 */
typedef struct
{
  KqStreamKey key;
  bool from_target;
  unsigned flags;
  uint32_t sequence;
  uint32_t acknowledged;
  uint32_t tag;
  unsigned payload_size;
  const uint8_t *bytes;
  size_t size;
} KqSegment;

/**
 * struct KqSegmentCodec - reads and writes segments; implemented by an adapter
 * @decode: reads @size bytes into @segment, which borrows them; @from_target says which end sent
 *   them, as the bytes do not. Return: 0, or -1 with @error set
 * @set_tag: writes a tag into a segment on its way to a target
 * @encode_reset: writes a reset for the caller of @key; @sequence lies in the caller's window.
 *   Return: its size
 */
typedef struct
{
  int (*decode) (const uint8_t *bytes, size_t size, bool from_target, KqSegment *segment,
                 KqError *error);
  void (*set_tag) (uint8_t *bytes, uint32_t tag);
  size_t (*encode_reset) (const KqStreamKey *key, uint32_t sequence, uint8_t *bytes);
} KqSegmentCodec;
