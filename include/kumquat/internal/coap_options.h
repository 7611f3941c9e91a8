/* Walks over and writes the options of a CoAP datagram with libcoap's option codec. */
#pragma once

#include "kumquat/types.h"

#define KQ_COAP_HEADER_BYTES 4

/* Numbers of the options that messages carry as typed fields. */
#define KQ_COAP_OPTION_OBSERVE        6
#define KQ_COAP_OPTION_URI_PATH       11
#define KQ_COAP_OPTION_CONTENT_FORMAT 12
#define KQ_COAP_OPTION_MAX_AGE        14
#define KQ_COAP_OPTION_URI_QUERY      15
#define KQ_COAP_OPTION_BLOCK2         23
#define KQ_COAP_OPTION_BLOCK1         27
#define KQ_COAP_OPTION_ECHO           252

/**
 * struct KqCoapOptionReader - position in untrusted option bytes
 * @bytes: (borrowed): the datagram
 * @size: bytes at @bytes
 * @offset: where the next option starts; after the last one, where the payload starts
 * @number: number of the option last read
 * @value: (borrowed): its value
 * @value_size: bytes of @value
 * @failed: the bytes are malformed
 */
typedef struct
{
  const uint8_t *bytes;
  size_t size;
  size_t offset;
  uint32_t number;
  const uint8_t *value;
  size_t value_size;
  bool failed;
} KqCoapOptionReader;

/** kq_coap_option_reader_init - starts behind the token of a datagram with a checked header */
void kq_coap_option_reader_init (KqCoapOptionReader *reader, const uint8_t *bytes, size_t size);

/** kq_coap_option_next - Return: whether another option was read; false also on failure */
bool kq_coap_option_next (KqCoapOptionReader *reader);

/**
 * struct KqCoapWriter - writes one datagram; options in ascending order of their numbers
 * @bytes: (borrowed): room for it
 * @capacity: bytes at @bytes
 * @size: bytes written
 * @number: number of the option last written
 * @overflow: something did not fit
 */
typedef struct
{
  uint8_t *bytes;
  size_t capacity;
  size_t size;
  uint16_t number;
  bool overflow;
} KqCoapWriter;

/** kq_coap_writer_init - borrows @bytes until the last write */
void kq_coap_writer_init (KqCoapWriter *writer, uint8_t *bytes, size_t capacity);

/** kq_coap_writer_header - writes the header and the token, which has at most 8 bytes */
void kq_coap_writer_header (KqCoapWriter *writer, unsigned type, uint8_t code, uint16_t message_id,
                            const uint8_t *token, size_t token_size);
void kq_coap_writer_option (KqCoapWriter *writer, uint16_t number, const uint8_t *value,
                            size_t size);
void kq_coap_writer_uint (KqCoapWriter *writer, uint16_t number, uint32_t value);
void kq_coap_writer_payload (KqCoapWriter *writer, const uint8_t *payload, size_t size);

/** kq_coap_writer_finish - Return: the number of bytes written, or -1 when something did not fit */
int kq_coap_writer_finish (const KqCoapWriter *writer);
