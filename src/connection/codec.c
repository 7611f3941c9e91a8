/* msgpack-c allocates room for a container before it has read the elements, so a datagram of ten
 * bytes could request gigabytes. This codec rejects container types by their first byte and
 * passes only other values to msgpack-c, so that reading never allocates. */

#include <msgpack.h>
#include <string.h>

#include "kumquat/codec.h"

#define ADDRESS_BYTES 18

static int
write_bytes (void *data, const char *bytes, size_t size)
{
  KqWriter *writer = data;
  if (writer->overflow || size > writer->capacity - writer->size)
    {
      writer->overflow = true;
      return -1;
    }
  memcpy (writer->bytes + writer->size, bytes, size);
  writer->size += size;
  return 0;
}

static msgpack_packer
packer_of (KqWriter *writer)
{
  msgpack_packer packer;
  msgpack_packer_init (&packer, writer, write_bytes);
  return packer;
}

void
kq_writer_init (KqWriter *writer, uint8_t *bytes, size_t capacity)
{
  writer->bytes = bytes;
  writer->capacity = capacity;
  writer->size = 0;
  writer->overflow = false;
}

void
kq_writer_uint (KqWriter *writer, uint64_t value)
{
  msgpack_packer packer = packer_of (writer);
  msgpack_pack_uint64 (&packer, value);
}

void
kq_writer_bytes (KqWriter *writer, const void *bytes, size_t size)
{
  msgpack_packer packer = packer_of (writer);
  msgpack_pack_bin (&packer, size);
  if (size > 0)
    msgpack_pack_bin_body (&packer, bytes, size);
}

void
kq_writer_text (KqWriter *writer, const char *text)
{
  kq_writer_bytes (writer, text, strlen (text));
}

void
kq_writer_address (KqWriter *writer, const KqAddress *address)
{
  uint8_t bytes[ADDRESS_BYTES];
  memcpy (bytes, address->ip, sizeof address->ip);
  bytes[16] = (uint8_t)(address->port >> 8);
  bytes[17] = (uint8_t)address->port;
  kq_writer_bytes (writer, bytes, sizeof bytes);
}

void
kq_writer_peer (KqWriter *writer, const KqPeer *peer)
{
  kq_writer_uint (writer, peer->id);
  kq_writer_uint (writer, peer->incarnation);
  kq_writer_address (writer, &peer->data);
}

void
kq_writer_key (KqWriter *writer, const KqFlowKey *key)
{
  kq_writer_uint (writer, key->service);
  kq_writer_address (writer, &key->caller);
}

void
kq_writer_revision (KqWriter *writer, KqRevision revision)
{
  kq_writer_uint (writer, revision.epoch);
  kq_writer_uint (writer, revision.revision);
}

int
kq_writer_finish (const KqWriter *writer)
{
  return writer->overflow ? -1 : (int)writer->size;
}

void
kq_reader_init (KqReader *reader, const uint8_t *bytes, size_t size)
{
  reader->bytes = bytes;
  reader->size = size;
  reader->offset = 0;
  reader->failed = false;
}

static bool
is_container (uint8_t first)
{
  bool fixed = first >= 0x80 && first <= 0x9f;
  bool sized = first >= 0xdc && first <= 0xdf;
  return fixed || sized;
}

static int
next_value (KqReader *reader, msgpack_object *object)
{
  if (reader->failed || reader->offset >= reader->size ||
      is_container (reader->bytes[reader->offset]))
    goto error;
  msgpack_unpacked result;
  msgpack_unpacked_init (&result);
  msgpack_unpack_return status =
      msgpack_unpack_next (&result, (const char *)reader->bytes, reader->size, &reader->offset);
  *object = result.data;
  msgpack_unpacked_destroy (&result);
  if (status != MSGPACK_UNPACK_SUCCESS && status != MSGPACK_UNPACK_EXTRA_BYTES)
    goto error;
  return 0;

error:
  reader->failed = true;
  return -1;
}

uint64_t
kq_reader_uint (KqReader *reader, uint64_t max)
{
  msgpack_object object;
  if (next_value (reader, &object) < 0)
    return 0;
  if (object.type != MSGPACK_OBJECT_POSITIVE_INTEGER || object.via.u64 > max)
    {
      reader->failed = true;
      return 0;
    }
  return object.via.u64;
}

const uint8_t *
kq_reader_bytes (KqReader *reader, size_t max, size_t *size)
{
  msgpack_object object;
  *size = 0;
  if (next_value (reader, &object) < 0)
    return NULL;
  if (object.type != MSGPACK_OBJECT_BIN || object.via.bin.size > max)
    {
      reader->failed = true;
      return NULL;
    }
  *size = object.via.bin.size;
  return (const uint8_t *)object.via.bin.ptr;
}

void
kq_reader_text (KqReader *reader, char *text, size_t capacity)
{
  size_t size;
  const uint8_t *bytes = kq_reader_bytes (reader, capacity - 1, &size);
  if (size > 0)
    memcpy (text, bytes, size);
  text[size] = '\0';
  if (strlen (text) != size)
    reader->failed = true;
}

void
kq_reader_address (KqReader *reader, KqAddress *address)
{
  size_t size;
  const uint8_t *bytes = kq_reader_bytes (reader, ADDRESS_BYTES, &size);
  memset (address, 0, sizeof *address);
  if (size != ADDRESS_BYTES)
    {
      reader->failed = true;
      return;
    }
  memcpy (address->ip, bytes, sizeof address->ip);
  address->port = (uint16_t)(bytes[16] << 8 | bytes[17]);
}

void
kq_reader_peer (KqReader *reader, KqPeer *peer)
{
  peer->id = kq_reader_uint (reader, UINT64_MAX);
  peer->incarnation = kq_reader_uint (reader, UINT64_MAX);
  kq_reader_address (reader, &peer->data);
}

void
kq_reader_key (KqReader *reader, KqFlowKey *key)
{
  memset (key, 0, sizeof *key);
  key->service = (uint32_t)kq_reader_uint (reader, UINT32_MAX);
  kq_reader_address (reader, &key->caller);
}

void
kq_reader_revision (KqReader *reader, KqRevision *revision)
{
  revision->epoch = (uint32_t)kq_reader_uint (reader, UINT32_MAX);
  revision->revision = kq_reader_uint (reader, UINT64_MAX);
}

int
kq_reader_finish (const KqReader *reader)
{
  return reader->failed || reader->offset != reader->size ? -1 : 0;
}
