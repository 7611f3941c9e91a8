#include <string.h>

#include "kumquat/codec.h"
#include "kumquat/internal/placement_message.h"

static bool
is_sync (KqPlacementMessageType type)
{
  return type == KQ_MESSAGE_SYNC_REQUEST || type == KQ_MESSAGE_SYNC_ANSWER;
}

int
kq_placement_message_encode (const KqPlacementMessage *message, uint8_t *bytes, size_t capacity)
{
  KqWriter writer;
  kq_writer_init (&writer, bytes, capacity);
  kq_writer_uint (&writer, KQ_PLACEMENT_VERSION);
  kq_writer_uint (&writer, message->type);
  kq_writer_uint (&writer, message->service);
  kq_writer_uint (&writer, message->number);
  kq_writer_uint (&writer, message->load);
  kq_writer_uint (&writer, message->reason);
  if (is_sync (message->type))
    {
      kq_writer_uint (&writer, message->cursor);
      kq_writer_uint (&writer, message->next);
      kq_writer_uint (&writer, message->digest);
    }
  if (message->type == KQ_MESSAGE_SYNC_REQUEST)
    kq_writer_bytes (&writer, message->buckets, sizeof message->buckets);
  kq_writer_uint (&writer, message->peer_count);
  for (unsigned i = 0; i < message->peer_count; i++)
    kq_writer_peer (&writer, &message->peers[i]);
  kq_writer_uint (&writer, message->flow_count);
  for (unsigned i = 0; i < message->flow_count; i++)
    {
      kq_writer_address (&writer, &message->flows[i].caller);
      kq_writer_uint (&writer, message->flows[i].owner);
    }
  return kq_writer_finish (&writer);
}

static void
read_buckets (KqReader *reader, KqPlacementMessage *message)
{
  size_t size;
  const uint8_t *bytes = kq_reader_bytes (reader, sizeof message->buckets, &size);
  if (size == sizeof message->buckets)
    memcpy (message->buckets, bytes, size);
  else
    reader->failed = true;
}

static void
read_lists (KqReader *reader, KqPlacementMessage *message)
{
  message->peer_count = (unsigned)kq_reader_uint (reader, KQ_MESSAGE_PEERS_MAX);
  for (unsigned i = 0; i < message->peer_count; i++)
    kq_reader_peer (reader, &message->peers[i]);
  message->flow_count = (unsigned)kq_reader_uint (reader, KQ_MESSAGE_FLOWS_MAX);
  for (unsigned i = 0; i < message->flow_count; i++)
    {
      kq_reader_address (reader, &message->flows[i].caller);
      message->flows[i].owner = (unsigned)kq_reader_uint (reader, message->peer_count);
    }
}

int
kq_placement_message_decode (const uint8_t *bytes, size_t size, KqPlacementMessage *message,
                             KqError *error)
{
  KqReader reader;
  memset (message, 0, sizeof *message);
  kq_reader_init (&reader, bytes, size);
  uint64_t version = kq_reader_uint (&reader, UINT8_MAX);
  if (!reader.failed && version != KQ_PLACEMENT_VERSION)
    return kq_error_set (error, KQ_ERROR_RANGE,
                         "placement message of version %u; run the same release on every instance",
                         (unsigned)version);
  message->type = (KqPlacementMessageType)kq_reader_uint (&reader, KQ_MESSAGE_NOT_OWNED);
  message->service = (uint32_t)kq_reader_uint (&reader, UINT32_MAX);
  message->number = kq_reader_uint (&reader, UINT64_MAX);
  message->load = (unsigned)kq_reader_uint (&reader, UINT32_MAX);
  message->reason = (KqErrorKind)kq_reader_uint (&reader, KQ_ERROR_SYSTEM);
  if (is_sync (message->type))
    {
      message->cursor = kq_reader_uint (&reader, UINT64_MAX);
      message->next = kq_reader_uint (&reader, UINT64_MAX);
      message->digest = kq_reader_uint (&reader, UINT64_MAX);
    }
  if (message->type == KQ_MESSAGE_SYNC_REQUEST)
    read_buckets (&reader, message);
  read_lists (&reader, message);
  if (kq_reader_finish (&reader) < 0 || message->type == 0)
    return kq_error_set (
        error, KQ_ERROR_INVALID,
        "malformed placement message; check that only instances send to this port");
  return 0;
}
