#include <coap3/coap.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "kumquat/coap_message.h"
#include "kumquat/internal/coap_options.h"

#define SZX_MAX        6 /* 7 is reserved by RFC 7959 */
#define BLOCK_NUM_MAX  0xfffff
#define NUMBER_DIGITS  10 /* of the largest 32-bit number */
#define DEADLINE_BYTES (sizeof KQ_COAP_QUERY_DEADLINE "=4294967295")

static int
parse_header (const uint8_t *bytes, size_t size, KqCoapMessage *message, KqError *error)
{
  memset (message, 0, sizeof *message);
  if (size < KQ_COAP_HEADER_BYTES || bytes[0] >> 6 != 1)
    return kq_error_set (error, KQ_ERROR_INVALID,
                         "not a CoAP version 1 message; check what sends to this port");
  message->type = (KqCoapType)(bytes[0] >> 4 & 3);
  message->token_size = bytes[0] & 0x0f;
  message->code = bytes[1];
  message->message_id = (uint16_t)(bytes[2] << 8 | bytes[3]);
  if (message->token_size > KQ_COAP_TOKEN_BYTES ||
      size < (size_t)KQ_COAP_HEADER_BYTES + message->token_size)
    return kq_error_set (error, KQ_ERROR_INVALID,
                         "CoAP token too long or truncated; check the sender's CoAP library");
  unsigned class = KQ_COAP_CLASS (message->code);
  bool empty_with_content = message->code == KQ_COAP_EMPTY && size > KQ_COAP_HEADER_BYTES;
  if (empty_with_content || class == 1 || class > 5 || (class == 0 && message->code > 31))
    return kq_error_set (error, KQ_ERROR_INVALID,
                         "reserved CoAP code or empty message with content; check the sender's "
                         "CoAP library");
  memcpy (message->token, bytes + KQ_COAP_HEADER_BYTES, message->token_size);
  return 0;
}

/* Appends one segment; rejects one that contains the separator or a NUL, which would be ambiguous
 * in the joined text. */
static bool
append_segment (char text[KQ_COAP_TEXT_BYTES], char separator, bool first, const uint8_t *value,
                size_t size)
{
  size_t used = strlen (text);
  size_t needed = used + size + (first ? 1 : 2);
  if (needed > KQ_COAP_TEXT_BYTES || memchr (value, 0, size) != NULL ||
      memchr (value, separator, size) != NULL)
    return false;
  if (!first)
    text[used++] = separator;
  memcpy (text + used, value, size);
  text[used + size] = '\0';
  return true;
}

static bool
read_uint (const KqCoapOptionReader *reader, size_t max_size, bool repeated, uint32_t *value)
{
  if (repeated || reader->value_size > max_size)
    return false;
  *value = coap_decode_var_bytes (reader->value, reader->value_size);
  return true;
}

static bool
read_block (const KqCoapOptionReader *reader, KqCoapBlock *block)
{
  uint32_t value;
  if (!read_uint (reader, 3, block->present, &value) || (value & 7) > SZX_MAX)
    return false;
  block->present = true;
  block->szx = value & 7;
  block->more = (value & 8) != 0;
  block->num = value >> 4;
  return true;
}

static bool
read_echo (const KqCoapOptionReader *reader, KqCoapMessage *message)
{
  if (message->echo_size > 0 || reader->value_size == 0 || reader->value_size > KQ_COAP_ECHO_BYTES)
    return false;
  message->echo_size = (uint8_t)reader->value_size;
  memcpy (message->echo, reader->value, reader->value_size);
  return true;
}

/* Known options without a typed field, which are forwarded to the target unchanged. */
static bool
is_forwarded (uint32_t number)
{
  return number == COAP_OPTION_IF_MATCH || number == COAP_OPTION_URI_HOST ||
         number == COAP_OPTION_IF_NONE_MATCH || number == COAP_OPTION_URI_PORT ||
         number == COAP_OPTION_ACCEPT;
}

/* Return: whether the option was understood; unknown elective options are ignored. */
static bool
read_option (const KqCoapOptionReader *reader, KqCoapMessage *message)
{
  uint32_t value;
  switch (reader->number)
    {
    case KQ_COAP_OPTION_OBSERVE:
      if (read_uint (reader, 3, message->observe_present, &message->observe))
        message->observe_present = true;
      return true;
    case KQ_COAP_OPTION_MAX_AGE:
      if (read_uint (reader, 4, message->max_age_present, &message->max_age))
        message->max_age_present = true;
      return true;
    case KQ_COAP_OPTION_CONTENT_FORMAT:
      if (read_uint (reader, 2, message->content_format_present, &value))
        {
          message->content_format_present = true;
          message->content_format = (uint16_t)value;
        }
      return true;
    case KQ_COAP_OPTION_BLOCK1:
      return read_block (reader, &message->block1);
    case KQ_COAP_OPTION_BLOCK2:
      return read_block (reader, &message->block2);
    case KQ_COAP_OPTION_ECHO:
      return read_echo (reader, message);
    default:
      return is_forwarded (reader->number);
    }
}

int
kq_coap_message_parse (const uint8_t *bytes, size_t size, KqCoapMessage *message, KqError *error)
{
  if (parse_header (bytes, size, message, error) < 0)
    return -1;
  KqCoapOptionReader reader;
  unsigned segments = 0;
  unsigned parameters = 0;
  bool fits = true;
  kq_coap_option_reader_init (&reader, bytes, size);
  while (kq_coap_option_next (&reader))
    {
      if (reader.number == KQ_COAP_OPTION_URI_PATH)
        fits &=
            append_segment (message->path, '/', segments++ == 0, reader.value, reader.value_size);
      else if (reader.number == KQ_COAP_OPTION_URI_QUERY)
        fits &= append_segment (message->query, '&', parameters++ == 0, reader.value,
                                reader.value_size);
      else if (!read_option (&reader, message) && reader.number % 2 == 1)
        message->unknown_critical = true;
    }
  if (reader.failed)
    return kq_error_set (error, KQ_ERROR_INVALID,
                         "malformed CoAP option; check the sender's CoAP library");
  if (!fits)
    return kq_error_set (error, KQ_ERROR_RANGE,
                         "Uri-Path or Uri-Query exceeds %d bytes or has a separator inside a "
                         "segment; shorten or rename the resource",
                         KQ_COAP_TEXT_BYTES - 1);
  message->payload = bytes + reader.offset;
  message->payload_size = size - reader.offset;
  return 0;
}

static void
write_segments (KqCoapWriter *writer, uint16_t number, const char *text, char separator)
{
  const char *start = text;
  while (*start != '\0')
    {
      const char *end = strchrnul (start, separator);
      kq_coap_writer_option (writer, number, (const uint8_t *)start, (size_t)(end - start));
      start = *end == '\0' ? end : end + 1;
    }
}

static void
write_block (KqCoapWriter *writer, uint16_t number, const KqCoapBlock *block)
{
  if (!block->present)
    return;
  if (block->szx > SZX_MAX || block->num > BLOCK_NUM_MAX)
    writer->overflow = true;
  kq_coap_writer_uint (writer, number, block->num << 4 | (block->more ? 8U : 0U) | block->szx);
}

int
kq_coap_message_format (const KqCoapMessage *message, uint8_t *bytes, size_t capacity)
{
  KqCoapWriter writer;
  if (message->token_size > KQ_COAP_TOKEN_BYTES || message->echo_size > KQ_COAP_ECHO_BYTES)
    return -1;
  kq_coap_writer_init (&writer, bytes, capacity);
  kq_coap_writer_header (&writer, message->type, message->code, message->message_id, message->token,
                         message->token_size);
  if (message->observe_present)
    kq_coap_writer_uint (&writer, KQ_COAP_OPTION_OBSERVE, message->observe & 0xffffff);
  write_segments (&writer, KQ_COAP_OPTION_URI_PATH, message->path, '/');
  if (message->content_format_present)
    kq_coap_writer_uint (&writer, KQ_COAP_OPTION_CONTENT_FORMAT, message->content_format);
  if (message->max_age_present)
    kq_coap_writer_uint (&writer, KQ_COAP_OPTION_MAX_AGE, message->max_age);
  write_segments (&writer, KQ_COAP_OPTION_URI_QUERY, message->query, '&');
  write_block (&writer, KQ_COAP_OPTION_BLOCK2, &message->block2);
  write_block (&writer, KQ_COAP_OPTION_BLOCK1, &message->block1);
  if (message->echo_size > 0)
    kq_coap_writer_option (&writer, KQ_COAP_OPTION_ECHO, message->echo, message->echo_size);
  kq_coap_writer_payload (&writer, message->payload, message->payload_size);
  return kq_coap_writer_finish (&writer);
}

bool
kq_coap_query_text (const KqCoapMessage *message, const char *name, char *value, size_t capacity)
{
  size_t name_size = strlen (name);
  const char *start = message->query;
  while (*start != '\0')
    {
      const char *end = strchrnul (start, '&');
      size_t size = (size_t)(end - start);
      if (size > name_size && start[name_size] == '=' && memcmp (start, name, name_size) == 0)
        {
          size_t value_size = size - name_size - 1;
          if (value_size >= capacity)
            return false;
          memcpy (value, start + name_size + 1, value_size);
          value[value_size] = '\0';
          return true;
        }
      start = *end == '\0' ? end : end + 1;
    }
  return false;
}

bool
kq_coap_query_number (const KqCoapMessage *message, const char *name, uint32_t *value)
{
  char text[NUMBER_DIGITS + 1];
  if (!kq_coap_query_text (message, name, text, sizeof text) || text[0] == '\0')
    return false;
  if (strspn (text, "0123456789") != strlen (text))
    return false;
  unsigned long long number = strtoull (text, NULL, 10);
  if (number > UINT32_MAX)
    return false;
  *value = (uint32_t)number;
  return true;
}

static bool
is_deadline (const KqCoapOptionReader *reader)
{
  static const char prefix[] = KQ_COAP_QUERY_DEADLINE "=";
  return reader->number == KQ_COAP_OPTION_URI_QUERY && reader->value_size >= sizeof prefix - 1 &&
         memcmp (reader->value, prefix, sizeof prefix - 1) == 0;
}

static void
write_deadline (KqCoapWriter *writer, uint32_t deadline_ms)
{
  char text[DEADLINE_BYTES];
  int size = snprintf (text, sizeof text, KQ_COAP_QUERY_DEADLINE "=%u", deadline_ms);
  kq_coap_writer_option (writer, KQ_COAP_OPTION_URI_QUERY, (const uint8_t *)text, (size_t)size);
}

int
kq_coap_rewrite (const uint8_t *bytes, size_t size, const KqCoapRewrite *rewrite, uint8_t *out,
                 size_t capacity)
{
  KqCoapMessage header;
  KqCoapOptionReader reader;
  KqCoapWriter writer;
  bool deadline_pending = rewrite->set_deadline;
  if (rewrite->token_size > KQ_COAP_TOKEN_BYTES || parse_header (bytes, size, &header, NULL) < 0)
    return -1;
  kq_coap_writer_init (&writer, out, capacity);
  kq_coap_writer_header (&writer, rewrite->type, header.code, rewrite->message_id, rewrite->token,
                         rewrite->token_size);
  kq_coap_option_reader_init (&reader, bytes, size);
  while (kq_coap_option_next (&reader))
    {
      if (deadline_pending && reader.number > KQ_COAP_OPTION_URI_QUERY)
        {
          write_deadline (&writer, rewrite->deadline_ms);
          deadline_pending = false;
        }
      if ((rewrite->set_deadline && is_deadline (&reader)) ||
          (rewrite->strip_echo && reader.number == KQ_COAP_OPTION_ECHO))
        continue;
      kq_coap_writer_option (&writer, (uint16_t)reader.number, reader.value, reader.value_size);
    }
  if (reader.failed)
    return -1;
  if (deadline_pending)
    write_deadline (&writer, rewrite->deadline_ms);
  kq_coap_writer_payload (&writer, bytes + reader.offset, size - reader.offset);
  return kq_coap_writer_finish (&writer);
}

int
kq_coap_reduce_deadline (const uint8_t *bytes, size_t size, KqTime elapsed_us, KqTime default_us,
                         uint8_t *out, size_t capacity)
{
  KqCoapMessage message;
  uint32_t stated_ms;
  if (kq_coap_message_parse (bytes, size, &message, NULL) < 0)
    return -1;
  KqTime left_us = default_us - elapsed_us;
  if (kq_coap_query_number (&message, KQ_COAP_QUERY_DEADLINE, &stated_ms))
    left_us = stated_ms * KQ_MS - elapsed_us;
  if (left_us < KQ_MS)
    return 0;
  KqCoapRewrite rewrite = { .type = message.type,
                            .message_id = message.message_id,
                            .token_size = message.token_size,
                            .set_deadline = true };
  rewrite.deadline_ms = left_us / KQ_MS > UINT32_MAX ? UINT32_MAX : (uint32_t)(left_us / KQ_MS);
  memcpy (rewrite.token, message.token, sizeof rewrite.token);
  return kq_coap_rewrite (bytes, size, &rewrite, out, capacity);
}
