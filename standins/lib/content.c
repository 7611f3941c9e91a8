#include "content.h"

#include <stdio.h>
#include <string.h>

void
content_write_head (const ContentHead *head, uint8_t *bytes)
{
  char text[CONTENT_HEAD_BYTES + 1];
  int size = snprintf (text, sizeof text, "%s %s %u %s %u", head->service, head->target,
                       head->incarnation, head->flow, head->request);
  memset (bytes, ' ', CONTENT_HEAD_BYTES);
  memcpy (bytes, text, size < CONTENT_HEAD_BYTES ? (size_t)size : CONTENT_HEAD_BYTES - 1);
  bytes[CONTENT_HEAD_BYTES - 1] = '\n';
}

bool
content_read_head (const uint8_t *bytes, size_t size, ContentHead *head)
{
  char text[CONTENT_HEAD_BYTES];
  if (size < CONTENT_HEAD_BYTES || bytes[CONTENT_HEAD_BYTES - 1] != '\n')
    return false;
  memcpy (text, bytes, CONTENT_HEAD_BYTES - 1);
  text[CONTENT_HEAD_BYTES - 1] = '\0';
  return sscanf (text, "%23s %23s %u %23s %u", head->service, head->target, &head->incarnation,
                 head->flow, &head->request) == 5;
}

static uint8_t
content_byte (uint32_t file, uint32_t offset)
{
  uint64_t mixed = ((uint64_t)file << 32 | offset / 8) * 0x9e3779b97f4a7c15u;
  mixed ^= mixed >> 29;
  mixed *= 0xbf58476d1ce4e5b9u;
  return (uint8_t)(mixed >> (offset % 8 * 8));
}

void
content_write_file (uint32_t file, uint32_t offset, uint8_t *bytes, size_t size)
{
  for (size_t i = 0; i < size; i++)
    bytes[i] = content_byte (file, offset + (uint32_t)i);
}

bool
content_check_file (uint32_t file, uint32_t offset, const uint8_t *bytes, size_t size)
{
  for (size_t i = 0; i < size; i++)
    if (bytes[i] != content_byte (file, offset + (uint32_t)i))
      return false;
  return true;
}
