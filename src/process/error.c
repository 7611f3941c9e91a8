#include <stdio.h>

#include "kumquat/error.h"

int
kq_error_set (KqError *error, KqErrorKind kind, const char *format, ...)
{
  if (error == NULL || error->kind != KQ_ERROR_NONE)
    return -1;
  error->kind = kind;
  va_list args;
  va_start (args, format);
  vsnprintf (error->message, sizeof error->message, format, args);
  va_end (args);
  return -1;
}

const char *
kq_error_kind_name (KqErrorKind kind)
{
  static const char *const names[] = {
    [KQ_ERROR_NONE] = "none",
    [KQ_ERROR_INVALID] = "invalid",
    [KQ_ERROR_RANGE] = "range",
    [KQ_ERROR_STALE] = "stale",
    [KQ_ERROR_WRONG_SERVICE] = "wrong-service",
    [KQ_ERROR_FULL] = "full",
    [KQ_ERROR_NOT_FOUND] = "not-found",
    [KQ_ERROR_CONFLICT] = "conflict",
    [KQ_ERROR_UNAVAILABLE] = "unavailable",
    [KQ_ERROR_UNKNOWN_OUTCOME] = "unknown-outcome",
    [KQ_ERROR_DENIED] = "denied",
    [KQ_ERROR_SYSTEM] = "system",
  };
  if ((unsigned)kind >= sizeof names / sizeof names[0])
    return "none";
  return names[kind];
}
