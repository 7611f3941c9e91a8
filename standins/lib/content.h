/* What targets answer and callers check: who answered which request, and generated file content. */
#pragma once

#include "kumquat/types.h"

#define CONTENT_HEAD_BYTES  96 /* first line of every answer, padded with spaces */
#define CONTENT_SZX         5  /* blocks of 512 bytes */
#define CONTENT_BLOCK       512
#define CONTENT_FILE_BLOCKS 40 /* blocks of a file */
#define CONTENT_ID_BYTES    24

/**
 * struct ContentHead - first line of an answer
 * @service: name of the service that the target serves
 * @target: name of the target
 * @incarnation: process id of the target, one for each life
 * @flow: the request's flow, as the caller named it
 * @request: the request's number, as the caller named it
 */
typedef struct
{
  char service[CONTENT_ID_BYTES];
  char target[CONTENT_ID_BYTES];
  uint32_t incarnation;
  char flow[CONTENT_ID_BYTES];
  uint32_t request;
} ContentHead;

/** content_write_head - writes CONTENT_HEAD_BYTES bytes */
void content_write_head (const ContentHead *head, uint8_t *bytes);

/** content_read_head - Return: whether @bytes start with a head */
bool content_read_head (const uint8_t *bytes, size_t size, ContentHead *head);

/** content_write_file - writes the bytes of @file that start at @offset */
void content_write_file (uint32_t file, uint32_t offset, uint8_t *bytes, size_t size);

/** content_check_file - Return: whether @bytes are those of @file that start at @offset */
bool content_check_file (uint32_t file, uint32_t offset, const uint8_t *bytes, size_t size);
