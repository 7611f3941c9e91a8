/* Payload of answers that targets write and callers check: a head that identifies target and
 * request, and generated file content. */
#pragma once

#include "kumquat/types.h"

#define CONTENT_HEAD_BYTES  96 /* first line of each answer, padded with spaces */
#define CONTENT_SZX         5  /* CoAP block size exponent: 2^(5 + 4) = 512 bytes */
#define CONTENT_BLOCK       512
#define CONTENT_FILE_BLOCKS 40 /* blocks per file */
#define CONTENT_ID_BYTES    24

/**
 * struct ContentHead - fields of the first line of an answer
 * @service: name of the service that the target serves
 * @target: name of the target
 * @incarnation: process ID of the target; differs after a restart
 * @flow: flow name as sent by the caller
 * @request: request number as sent by the caller
 */
typedef struct
{
  char service[CONTENT_ID_BYTES];
  char target[CONTENT_ID_BYTES];
  uint32_t incarnation;
  char flow[CONTENT_ID_BYTES];
  uint32_t request;
} ContentHead;

/** content_write_head - formats @head into CONTENT_HEAD_BYTES bytes */
void content_write_head (const ContentHead *head, uint8_t *bytes);

/** content_read_head - parses the head; Return: whether @bytes start with a valid one */
bool content_read_head (const uint8_t *bytes, size_t size, ContentHead *head);

/** content_write_file - generates the bytes of @file from @offset on */
void content_write_file (uint32_t file, uint32_t offset, uint8_t *bytes, size_t size);

/** content_check_file - Return: whether @bytes equal those of @file from @offset on */
bool content_check_file (uint32_t file, uint32_t offset, const uint8_t *bytes, size_t size);
