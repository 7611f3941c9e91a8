/* Reader and writer of the options of CoAP datagrams, based on libcoap's option codec. */
#pragma once

#include "kumquat/types.h"

#define KQ_COAP_HEADER_BYTES 4

/* Numbers of the options that KqCoapMessage has typed fields for. */
#define KQ_COAP_OPTION_OBSERVE        6
#define KQ_COAP_OPTION_URI_PATH       11
#define KQ_COAP_OPTION_CONTENT_FORMAT 12
#define KQ_COAP_OPTION_MAX_AGE        14
#define KQ_COAP_OPTION_URI_QUERY      15
#define KQ_COAP_OPTION_BLOCK2         23
#define KQ_COAP_OPTION_BLOCK1         27
#define KQ_COAP_OPTION_ECHO           252

/**
 * struct KqCoapOptionReader - iterator over the options of an untrusted datagram
 * @bytes: (borrowed): the datagram
 * @size: bytes at @bytes
 * @offset: offset of the next option; after the last option, offset of the payload
 * @number: number of the current option
 * @value: (borrowed): its value
 * @value_size: bytes of @value
 * @failed: the datagram is malformed
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

/** kq_coap_option_reader_init - starts after the token of a datagram with a validated header */
void kq_coap_option_reader_init (KqCoapOptionReader *reader, const uint8_t *bytes, size_t size);

/** kq_coap_option_next - Return: whether another option was read; false also if malformed */
bool kq_coap_option_next (KqCoapOptionReader *reader);

/**
 * struct KqCoapWriter - writer of one datagram; options must be in ascending order of their numbers
 * @bytes: (borrowed): output buffer
 * @capacity: bytes at @bytes
 * @size: bytes written
 * @number: number of the last option written
 * @overflow: the buffer is too small or a value is out of range
 */
typedef struct
{
  uint8_t *bytes;
  size_t capacity;
  size_t size;
  uint16_t number;
  bool overflow;
} KqCoapWriter;

/** kq_coap_writer_init - borrows @bytes until kq_coap_writer_finish() */
void kq_coap_writer_init (KqCoapWriter *writer, uint8_t *bytes, size_t capacity);

/** kq_coap_writer_header - writes the header and the token of at most 8 bytes */
void kq_coap_writer_header (KqCoapWriter *writer, unsigned type, uint8_t code, uint16_t message_id,
                            const uint8_t *token, size_t token_size);
void kq_coap_writer_option (KqCoapWriter *writer, uint16_t number, const uint8_t *value,
                            size_t size);
void kq_coap_writer_uint (KqCoapWriter *writer, uint16_t number, uint32_t value);
void kq_coap_writer_payload (KqCoapWriter *writer, const uint8_t *payload, size_t size);

/** kq_coap_writer_finish - Return: the number of bytes written, or -1 on overflow */
int kq_coap_writer_finish (const KqCoapWriter *writer);
