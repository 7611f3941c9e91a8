/* Segments of streams: the transport-level datagrams of a connection-oriented service, and the
 * header fields that the balancer reads. Their wire format is implemented by a KqSegmentCodec. */
#pragma once

#include "kumquat/types.h"

#define KQ_SEGMENT_BYTES 1400 /* largest segment that is forwarded, header included */

/**
 * enum KqSegmentFlag - flags of a segment
 * @KQ_SEGMENT_SYN: opens a stream
 * @KQ_SEGMENT_ACK: @acknowledged of the segment is valid
 * @KQ_SEGMENT_FIN: its sender has no more data to send
 * @KQ_SEGMENT_RST: aborts the stream
 * @KQ_SEGMENT_BOUNCED: returned by a target that does not own the stream or cannot accept it
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
 * @service_ip: IPv4 address that the caller connects to
 * @caller_port: port of the caller
 * @service_port: port that the caller connects to
 */
typedef struct
{
  uint32_t caller_ip;
  uint32_t service_ip;
  uint16_t caller_port;
  uint16_t service_port;
} KqStreamKey;

/** kq_stream_key_hash - Return: a hash that is the same on every instance */
uint64_t kq_stream_key_hash (const KqStreamKey *key);
bool kq_stream_key_equal (const KqStreamKey *a, const KqStreamKey *b);

#define KQ_STREAM_KEY_TEXT_BYTES 48

/** kq_stream_key_format - writes "caller:port>address:port", the id of a stream in logs; Return:
 * @text */
const char *kq_stream_key_format (const KqStreamKey *key, char text[KQ_STREAM_KEY_TEXT_BYTES]);

/**
 * struct KqSegment - one decoded segment
 * @key: its stream, the same in both directions
 * @from_target: sent by the target, so that the destination in @bytes is the caller
 * @flags: set of KqSegmentFlag
 * @sequence: sequence number of its first byte
 * @acknowledged: sequence number of the next byte that its sender expects
 * @tag: number that this instance has set and that a bounced segment returns; 0 for none
 * @payload_size: bytes of data
 * @opening_age_us: of an opening segment, how long ago its caller sent the first copy of it
 * @bytes: (borrowed): the complete segment as received
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
  KqTime opening_age_us;
  const uint8_t *bytes;
  size_t size;
} KqSegment;

/**
 * struct KqSegmentCodec - decodes and encodes segments; implemented by an adapter
 * @decode: decodes @size bytes into @segment, which borrows them; the wire format does not tell the
 *   direction, so @from_target does. Return: 0, or -1 with @error set
 * @set_tag: writes a tag into a segment that is sent to a target
 * @encode_reset: encodes a reset for the caller of @key; @sequence lies in the caller's window.
 *   Return: its size
 */
typedef struct
{
  int (*decode) (const uint8_t *bytes, size_t size, bool from_target, KqSegment *segment,
                 KqError *error);
  void (*set_tag) (uint8_t *bytes, uint32_t tag);
  size_t (*encode_reset) (const KqStreamKey *key, uint32_t sequence, uint8_t *bytes);
} KqSegmentCodec;
