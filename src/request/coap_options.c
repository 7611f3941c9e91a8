#include <coap3/coap.h>
#include <string.h>

#include "kumquat/internal/coap_options.h"

#define PAYLOAD_MARKER 0xff
#define COAP_VERSION   1
#define UINT_BYTES     4 /* longest value of a uint option */

void
kq_coap_option_reader_init (KqCoapOptionReader *reader, const uint8_t *bytes, size_t size)
{
  memset (reader, 0, sizeof *reader);
  reader->bytes = bytes;
  reader->size = size;
  reader->offset = KQ_COAP_HEADER_BYTES + (bytes[0] & 0x0f);
}

bool
kq_coap_option_next (KqCoapOptionReader *reader)
{
  if (reader->failed || reader->offset == reader->size)
    return false;
  if (reader->bytes[reader->offset] == PAYLOAD_MARKER)
    {
      reader->offset++;
      reader->failed = reader->offset == reader->size;
      return false;
    }
  coap_option_t option;
  size_t used =
      coap_opt_parse (reader->bytes + reader->offset, reader->size - reader->offset, &option);
  reader->failed = used == 0 || reader->number + option.delta > UINT16_MAX;
  if (reader->failed)
    return false;
  reader->number += option.delta;
  reader->value = option.value;
  reader->value_size = option.length;
  reader->offset += used;
  return true;
}

void
kq_coap_writer_init (KqCoapWriter *writer, uint8_t *bytes, size_t capacity)
{
  memset (writer, 0, sizeof *writer);
  writer->bytes = bytes;
  writer->capacity = capacity;
}

static uint8_t *
reserve (KqCoapWriter *writer, size_t size)
{
  if (writer->overflow || size > writer->capacity - writer->size)
    {
      writer->overflow = true;
      return NULL;
    }
  uint8_t *room = writer->bytes + writer->size;
  writer->size += size;
  return room;
}

void
kq_coap_writer_header (KqCoapWriter *writer, unsigned type, uint8_t code, uint16_t message_id,
                       const uint8_t *token, size_t token_size)
{
  uint8_t *room = reserve (writer, KQ_COAP_HEADER_BYTES + token_size);
  if (room == NULL)
    return;
  room[0] = (uint8_t)(COAP_VERSION << 6 | type << 4 | token_size);
  room[1] = code;
  room[2] = (uint8_t)(message_id >> 8);
  room[3] = (uint8_t)message_id;
  if (token_size > 0)
    memcpy (room + KQ_COAP_HEADER_BYTES, token, token_size);
}

void
kq_coap_writer_option (KqCoapWriter *writer, uint16_t number, const uint8_t *value, size_t size)
{
  uint16_t delta = (uint16_t)(number - writer->number);
  size_t needed = coap_opt_encode_size (delta, size);
  uint8_t *room = reserve (writer, needed);
  if (room == NULL)
    return;
  if (coap_opt_encode (room, needed, delta, value, size) != needed)
    writer->overflow = true;
  writer->number = number;
}

void
kq_coap_writer_uint (KqCoapWriter *writer, uint16_t number, uint32_t value)
{
  uint8_t encoded[UINT_BYTES];
  unsigned size = coap_encode_var_safe (encoded, sizeof encoded, value);
  kq_coap_writer_option (writer, number, encoded, size);
}

void
kq_coap_writer_payload (KqCoapWriter *writer, const uint8_t *payload, size_t size)
{
  if (size == 0)
    return;
  uint8_t *room = reserve (writer, size + 1);
  if (room == NULL)
    return;
  room[0] = PAYLOAD_MARKER;
  memcpy (room + 1, payload, size);
}

int
kq_coap_writer_finish (const KqCoapWriter *writer)
{
  return writer->overflow ? -1 : (int)writer->size;
}
