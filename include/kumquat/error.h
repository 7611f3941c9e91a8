/* Errors with a kind and a message that tells the user how to fix the problem. */
#pragma once

#include <stdarg.h>

/**
 * enum KqErrorKind - kind of failure
 * @KQ_ERROR_NONE: no failure
 * @KQ_ERROR_INVALID: the caller passed, or the network delivered, malformed data
 * @KQ_ERROR_RANGE: a value is well-formed but out of range
 * @KQ_ERROR_STALE: the data belongs to an earlier incarnation, revision or epoch
 * @KQ_ERROR_WRONG_SERVICE: the datagram names a service that the receiver does not serve
 * @KQ_ERROR_FULL: a table of limited size is full
 * @KQ_ERROR_NOT_FOUND: the named item does not exist
 * @KQ_ERROR_CONFLICT: another writer modified the value concurrently
 * @KQ_ERROR_UNAVAILABLE: an external system did not respond
 * @KQ_ERROR_UNKNOWN_OUTCOME: a write may or may not have taken effect
 * @KQ_ERROR_DENIED: authentication or authorization failed
 * @KQ_ERROR_SYSTEM: a system call or a library call failed
 */
typedef enum
{
  KQ_ERROR_NONE,
  KQ_ERROR_INVALID,
  KQ_ERROR_RANGE,
  KQ_ERROR_STALE,
  KQ_ERROR_WRONG_SERVICE,
  KQ_ERROR_FULL,
  KQ_ERROR_NOT_FOUND,
  KQ_ERROR_CONFLICT,
  KQ_ERROR_UNAVAILABLE,
  KQ_ERROR_UNKNOWN_OUTCOME,
  KQ_ERROR_DENIED,
  KQ_ERROR_SYSTEM
} KqErrorKind;

#define KQ_ERROR_MESSAGE_BYTES 256

/**
 * struct KqError - a failure, set where it is detected
 * @kind: the kind of failure
 * @message: one line that describes the failure and its remedy
 */
typedef struct
{
  KqErrorKind kind;
  char message[KQ_ERROR_MESSAGE_BYTES];
} KqError;

/**
 * kq_error_set - records a failure
 * @error: (nullable) (borrowed): where to record it; an error already set is kept
 * @kind: the kind of failure
 * @format: printf format of the message, which should include the remedy
 *
 * Return: always -1, so that a caller can write `return kq_error_set (...)`.
 */
int kq_error_set (KqError *error, KqErrorKind kind, const char *format, ...)
    __attribute__ ((format (printf, 3, 4)));

/**
 * kq_error_kind_name - returns the name of a kind, in lower case with hyphens
 * @kind: the kind
 *
 * Return: (borrowed) a static string such as "wrong-service".
 */
const char *kq_error_kind_name (KqErrorKind kind);
