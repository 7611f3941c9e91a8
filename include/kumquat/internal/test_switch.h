/* Disables individual mechanisms in test builds, to verify that tests fail without them. */
#pragma once

#ifdef KQ_TEST_SWITCHES
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

/** kq_test_is_disabled - Return: whether the environment variable KQ_TEST_DISABLE is @mechanism */
static inline bool
kq_test_is_disabled (const char *mechanism)
{
  const char *disabled = getenv ("KQ_TEST_DISABLE");
  return disabled != NULL && strcmp (disabled, mechanism) == 0;
}
#else
#include <stdbool.h>

static inline bool
kq_test_is_disabled (const char *mechanism)
{
  (void)mechanism;
  return false;
}
#endif
