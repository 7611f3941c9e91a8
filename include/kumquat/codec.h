/* Encoding and decoding of sequences of MessagePack values: integers and byte strings, never
 * containers. */
#pragma once

#include "kumquat/types.h"

/**
 * struct KqWriter - writes values into a buffer of fixed size
 * @bytes: (borrowed): the buffer
 * @capacity: its size in bytes
 * @size: bytes written so far
 * @overflow: a value did not fit; the contents of the buffer must not be sent
 */
typedef struct
{
  uint8_t *bytes;
  size_t capacity;
  size_t size;
  bool overflow;
} KqWriter;

/** kq_writer_init - borrows @bytes until the last write */
void kq_writer_init (KqWriter *writer, uint8_t *bytes, size_t capacity);
void kq_writer_uint (KqWriter *writer, uint64_t value);
void kq_writer_bytes (KqWriter *writer, const void *bytes, size_t size);
void kq_writer_text (KqWriter *writer, const char *text);
void kq_writer_address (KqWriter *writer, const KqAddress *address);
void kq_writer_peer (KqWriter *writer, const KqPeer *peer);
void kq_writer_key (KqWriter *writer, const KqFlowKey *key);
void kq_writer_revision (KqWriter *writer, KqRevision revision);

/** kq_writer_finish - Return: the number of bytes written, or -1 when a value did not fit */
int kq_writer_finish (const KqWriter *writer);

/**
 * struct KqReader - reads values from untrusted bytes; a failure persists until the reader is
 * initialized again
 * @bytes: (borrowed): the bytes
 * @size: bytes at @bytes
 * @offset: where the next value starts
 * @failed: a value was malformed, of another type or out of range; all later values read as 0
 */
typedef struct
{
  const uint8_t *bytes;
  size_t size;
  size_t offset;
  bool failed;
} KqReader;

/** kq_reader_init - borrows @bytes until the last use of what was read */
void kq_reader_init (KqReader *reader, const uint8_t *bytes, size_t size);

/** kq_reader_uint - Return: the next integer; a value above @max is a failure and reads as 0 */
uint64_t kq_reader_uint (KqReader *reader, uint64_t max);

/** kq_reader_bytes - Return: (borrowed) the next byte string of at most @max bytes */
const uint8_t *kq_reader_bytes (KqReader *reader, size_t max, size_t *size);

/** kq_reader_text - copies the next byte string with a NUL; one that does not fit is a failure */
void kq_reader_text (KqReader *reader, char *text, size_t capacity);
void kq_reader_address (KqReader *reader, KqAddress *address);
void kq_reader_peer (KqReader *reader, KqPeer *peer);
void kq_reader_key (KqReader *reader, KqFlowKey *key);
void kq_reader_revision (KqReader *reader, KqRevision *revision);

/** kq_reader_finish - Return: 0 if all bytes were read without a failure, else -1 */
int kq_reader_finish (const KqReader *reader);
