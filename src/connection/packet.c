#include <string.h>

#include "kumquat/codec.h"
#include "kumquat/packet.h"

int
kq_packet_encode (const KqPacket *packet, uint8_t *bytes, size_t capacity)
{
  KqWriter writer;
  kq_writer_init (&writer, bytes, capacity);
  kq_writer_uint (&writer, KQ_PACKET_VERSION);
  kq_writer_uint (&writer, packet->type);
  kq_writer_uint (&writer, packet->reason);
  kq_writer_key (&writer, &packet->key);
  kq_writer_revision (&writer, packet->revision);
  kq_writer_uint (&writer, packet->to);
  kq_writer_address (&writer, &packet->via);
  kq_writer_peer (&writer, &packet->from);
  kq_writer_uint (&writer, packet->hops);
  kq_writer_uint (&writer, packet->candidate_count);
  for (unsigned i = 0; i < packet->candidate_count; i++)
    kq_writer_peer (&writer, &packet->candidates[i]);
  kq_writer_bytes (&writer, packet->payload, packet->payload_size);
  return kq_writer_finish (&writer);
}

static void
read_header (KqReader *reader, KqPacket *packet)
{
  packet->type = (KqPacketType)kq_reader_uint (reader, KQ_PACKET_PEER);
  packet->reason = (KqErrorKind)kq_reader_uint (reader, KQ_ERROR_SYSTEM);
  kq_reader_key (reader, &packet->key);
  kq_reader_revision (reader, &packet->revision);
  packet->to = kq_reader_uint (reader, UINT64_MAX);
  kq_reader_address (reader, &packet->via);
  kq_reader_peer (reader, &packet->from);
  packet->hops = (unsigned)kq_reader_uint (reader, KQ_HOPS_MAX);
  packet->candidate_count = (unsigned)kq_reader_uint (reader, KQ_CANDIDATES_MAX);
  for (unsigned i = 0; i < packet->candidate_count; i++)
    kq_reader_peer (reader, &packet->candidates[i]);
}

int
kq_packet_decode (const uint8_t *bytes, size_t size, KqPacket *packet, KqError *error)
{
  KqReader reader;
  memset (packet, 0, sizeof *packet);
  kq_reader_init (&reader, bytes, size);
  uint64_t version = kq_reader_uint (&reader, UINT8_MAX);
  if (!reader.failed && version != KQ_PACKET_VERSION)
    return kq_error_set (error, KQ_ERROR_RANGE,
                         "datagram of version %u; run the same release on every instance",
                         (unsigned)version);
  read_header (&reader, packet);
  packet->payload = kq_reader_bytes (&reader, KQ_DATAGRAM_BYTES, &packet->payload_size);
  if (kq_reader_finish (&reader) < 0 || packet->type == 0)
    return kq_error_set (error, KQ_ERROR_INVALID,
                         "malformed datagram; check that only instances send to this port");
  return 0;
}
